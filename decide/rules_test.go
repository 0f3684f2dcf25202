package decide

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// simulation feeds a Balancer random valid events and checks every action against the four safety rules,
// using the events alone.
type simulation struct {
	t               *testing.T
	cfg             Settings
	rng             *rand.Rand
	balancer        *Balancer
	now             time.Duration
	buf             []Action
	servers         map[string]*listedServer
	ids             []string
	requests        map[uint64]*openRequest
	pending         []pendingOutcome
	timers          []pendingTimer
	nextID          uint64
	sends           map[string][]time.Duration // to cold servers
	policies        []RoutePolicy
	expectViolation bool // the test breaks a rule on purpose
}

type listedServer struct {
	Server
	unavailable bool
}

type openRequest struct {
	Request
	policy    RoutePolicy // the policy under which it arrived
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  []sentAttempt
}

type sentAttempt struct {
	server     *listedServer
	sentAt     time.Duration
	open       bool
	mayHaveRun bool
	result     Result
}

type pendingOutcome struct {
	at      time.Duration
	request uint64
	attempt int
	server  string
	result  Result
	elapsed time.Duration
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

// violation is the value that fail panics with if the test expects a violation.
type violation string

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	if sim.expectViolation {
		panic(violation(fmt.Sprintf(format, args...)))
	}
	sim.t.Fatalf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	zones := []string{"x", "y", "z"}[:1+rng.IntN(3)]
	cfg := Settings{
		Node: rng.IntN(3), Nodes: 3, Tier: rng.IntN(3), Zone: zones[0], MustSubscribe: rng.IntN(2) == 0,
		ResubscribeWithin: 4 * time.Second, ColdCapacity: 0.3, WarmupTime: 5 * time.Second,
		CollapseMultiple: 3, CollapseWindow: 2 * time.Second,
		AnswerGrace: 8 * ms, MaxAttempts: 1 + rng.IntN(6),
		MaxRetryAfter: time.Duration(rng.IntN(2)) * time.Second,
		MayHedge:      rng.IntN(2) == 0, MayCancel: rng.IntN(2) == 0, MayAdviseRetry: rng.IntN(2) == 0,
		OverShareWorth: 0.2,
	}
	for idempotency := Idempotent; idempotency <= AtMostOnce; idempotency++ {
		for group := GroupAll; group <= GroupCell; group++ {
			cfg.Classes = append(cfg.Classes, Class{
				LatencyTarget: 300 * ms, Deadline: 900 * ms, Worth: float64(1 + rng.IntN(3)),
				LateWorth:   float64(rng.IntN(2)) / 2,
				Idempotency: idempotency, Group: group, KeyTTL: 400 * ms,
			})
		}
	}
	if rng.IntN(2) == 0 {
		cfg.Tenants = []Tenant{{Quota: 30}, {}}
	}
	sim := &simulation{
		t: t, cfg: cfg, rng: rng, now: time.Second, servers: map[string]*listedServer{},
		requests: map[uint64]*openRequest{},
		sends:    map[string][]time.Duration{}, balancer: New(cfg, seed, time.Second),
	}
	first := make([]Server, rng.IntN(9))
	for i := range first {
		first[i] = sim.newServer(zones)
	}
	sim.updateList(ListUpdate{Kind: ListStored, Servers: first})
	return sim
}

func (sim *simulation) newServer(zones []string) Server {
	id := fmt.Sprintf("s%d", len(sim.ids))
	sim.ids = append(sim.ids, id)
	s := Server{ID: id, Zone: zones[sim.rng.IntN(len(zones))], Cell: sim.rng.IntN(3),
		Weight: float64(sim.rng.IntN(3))}
	if sim.rng.IntN(3) == 0 {
		s.Started = sim.now - time.Duration(sim.rng.IntN(900))*ms
	}
	return s
}

func (sim *simulation) updateList(m ListUpdate) {
	if m.Kind == ListFull || m.Kind == ListStored {
		for _, s := range sim.servers {
			s.unavailable = true
		}
	}
	for _, e := range m.Servers {
		sim.servers[e.ID] = &listedServer{Server: e, unavailable: e.Health != Healthy}
	}
	sim.apply(sim.balancer.HandleList(sim.now, m, sim.buf[:0]))
}

// step simulates the next millisecond.
func (sim *simulation) step(zones []string, until time.Duration) {
	sim.now += ms
	if sim.rng.IntN(700) == 0 { // the node stalls, and then finds all events that arrived meanwhile
		sim.now += time.Duration(sim.rng.IntN(400)) * ms
	}
	for _, f := range sim.due() {
		c := sim.requests[f.request]
		if c != nil {
			c.attempts[f.attempt].open, c.attempts[f.attempt].result = false, f.result
			c.attempts[f.attempt].mayHaveRun = f.result != Rejected && f.result != ConnectFailed &&
				f.result != NotSent
		}
		final := f.result == Served && c != nil && sim.now <= c.deadline
		sim.handle(func(out []Action) []Action {
			return sim.balancer.HandleOutcome(sim.now, Outcome{
				Request: f.request, Attempt: f.attempt, Server: f.server, Result: f.result,
				Elapsed: f.elapsed,
				Final:   final, ConnClosed: f.result == Malformed,
			}, out)
		}, func() {
			if final {
				delete(sim.requests, f.request)
			}
		})
	}
	for i := 0; i < len(sim.timers); i++ {
		if tm := sim.timers[i]; tm.at <= sim.now {
			sim.timers = append(sim.timers[:i], sim.timers[i+1:]...)
			i--
			sim.apply(sim.balancer.HandleTimer(sim.now, Timer{tm.token}, sim.buf[:0]))
		}
	}
	if sim.now < until {
		sim.randomEvent(zones)
	}
	for id, c := range sim.requests {
		if sim.now > c.deadline+sim.cfg.AnswerGrace {
			sim.fail("request %d got no final response", id)
		}
	}
}

// handle runs before, then passes an event to the Balancer.
func (sim *simulation) handle(event func([]Action) []Action, before func()) {
	before()
	sim.apply(event(sim.buf[:0]))
}

func (sim *simulation) due() []pendingOutcome {
	var due, rest []pendingOutcome
	for _, f := range sim.pending {
		if f.at <= sim.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	sim.pending = rest
	return due
}

func (sim *simulation) randomEvent(zones []string) {
	switch p := sim.rng.IntN(1000); {
	case p < 200:
		sim.nextID++
		tenant := -1
		if n := len(sim.cfg.Tenants); n > 0 {
			tenant = sim.rng.IntN(n+1) - 1
		}
		r := Request{
			ID: sim.nextID, Class: sim.rng.IntN(len(sim.cfg.Classes)), Tenant: tenant,
			TTL: time.Duration(sim.rng.IntN(800)) * ms, Work: time.Duration(sim.rng.IntN(2)) * 20 * ms,
		}
		r.Route = sim.rng.IntN(len(sim.policies) + 2)
		c := &openRequest{Request: r, deadline: sim.now + r.TTL, arrivedAt: sim.now}
		if at := r.Route - 1; at >= 0 && at < len(sim.policies) {
			c.policy = sim.policies[at]
			if limit := c.policy.DeadlineCap; limit > 0 {
				c.deadline = min(c.deadline, sim.now+limit)
			}
		}
		sim.requests[r.ID] = c
		sim.apply(sim.balancer.HandleRequest(sim.now, r, sim.buf[:0]))
	case p < 203:
		sim.updateList(ListUpdate{Kind: ListDiff, Servers: []Server{sim.newServer(zones)}})
	case p < 208 && len(sim.ids) > 0:
		if s := sim.servers[sim.ids[sim.rng.IntN(len(sim.ids))]]; s != nil {
			e := s.Server
			e.Health = Health(sim.rng.IntN(3))
			if e.Health == Healthy {
				e.Started = sim.now
			}
			sim.updateList(ListUpdate{Kind: ListDiff, Servers: []Server{e}})
		}
	case p < 209:
		var full []Server
		for _, id := range sim.ids {
			if s := sim.servers[id]; s != nil && !s.unavailable && sim.rng.IntN(5) > 0 {
				full = append(full, s.Server)
			}
		}
		sim.updateList(ListUpdate{Kind: ListFull, Servers: full})
	case p >= 990 && p < 992:
		sim.randomPolicies()
	case p < 210 && sim.cfg.MustSubscribe:
		sim.updateList(ListUpdate{Kind: ListFailed,
			ConfirmedUntil: time.Duration(sim.rng.IntN(2)) *
				(sim.now + time.Duration(sim.rng.IntN(6000))*ms)})
	case p < 215:
		for _, id := range slices.Sorted(maps.Keys(sim.requests)) {
			if id%7 == 0 {
				delete(sim.requests, id)
				sim.apply(sim.balancer.HandleDisconnect(sim.now, Disconnect{id}, sim.buf[:0]))
				break
			}
		}
	case p < 217: // events for unknown requests and servers
		sim.apply(sim.balancer.HandleDisconnect(sim.now, Disconnect{1 << 40}, sim.buf[:0]))
		sim.apply(sim.balancer.HandleTimer(sim.now, Timer{1 << 41}, sim.buf[:0]))
		sim.apply(sim.balancer.HandleOutcome(sim.now, Outcome{Request: 1 << 40, Server: "unknown"},
			sim.buf[:0]))
		sim.apply(sim.balancer.HandleProbe(sim.now, ProbeResult{Server: "unknown"}, sim.buf[:0]))
	}
}

// randomPolicies sets arbitrary policies: even invalid ones must not break a rule.
func (sim *simulation) randomPolicies() {
	duration := func(limit int) time.Duration {
		return time.Duration(sim.rng.IntN(2)*sim.rng.IntN(limit)) * ms
	}
	sim.policies = make([]RoutePolicy, sim.rng.IntN(4))
	for i := range sim.policies {
		sim.policies[i] = RoutePolicy{
			AttemptTimeout: duration(400), MaxAttempts: sim.rng.IntN(8), BackoffInitial: duration(200),
			BackoffMax:    duration(300),
			BackoffJitter: sim.rng.Float64(), RetryOn: ResultSet(sim.rng.IntN(2) * sim.rng.IntN(1<<9)),
			HedgeAfter: duration(200), DeadlineCap: duration(500), MaxRetryAfter: duration(1500),
		}
	}
	sim.apply(sim.balancer.SetRoutePolicies(sim.now, sim.policies, sim.buf[:0]))
}

// apply checks and carries out actions.
func (sim *simulation) apply(actions []Action) {
	for _, a := range actions {
		c := sim.requests[a.Request]
		switch a.Kind {
		case Send:
			sim.checkSend(c, a)
		case Refuse, Fail:
			if c == nil {
				sim.fail("second final response to request %d", a.Request)
			}
			if a.Kind == Refuse {
				sim.checkRefuse(c)
				if limit := c.policy.MaxRetryAfter; limit > 0 && a.Wait > limit {
					sim.fail("retry-after of %v, %v are allowed", a.Wait, limit)
				}
				if a.Wait < 0 || a.Wait > sim.cfg.MaxRetryAfter || a.Wait > 0 && !sim.cfg.MayAdviseRetry {
					sim.fail("retry-after of %v", a.Wait)
				}
			}
			delete(sim.requests, a.Request)
		case StartTimer:
			if a.Wait < 0 {
				sim.fail("a timer in the past")
			}
			sim.timers = append(sim.timers, pendingTimer{sim.now + a.Wait, a.Token})
		case Cancel:
			if !sim.cfg.MayCancel {
				sim.fail("a cancel that is not permitted")
			}
		case WatchList, FetchList:
			if !sim.cfg.MustSubscribe {
				sim.fail("subscribed to a list that discovery sends anyway")
			}
		case Probe:
			if !sim.cfg.MayProbe {
				sim.fail("a probe that is not permitted")
			}
		}
	}
	sim.buf = actions
}

func (sim *simulation) checkSend(c *openRequest, a Action) {
	s := sim.servers[a.Server]
	switch {
	case c == nil:
		sim.fail("a send for request %d, which is not open", a.Request)
	case s == nil || s.unavailable:
		sim.fail("a send to %s, which is draining or removed", a.Server)
	case len(c.attempts) >= sim.cfg.MaxAttempts:
		sim.fail("more than %d attempts", sim.cfg.MaxAttempts)
	case c.policy.MaxAttempts > 0 && len(c.attempts) >= c.policy.MaxAttempts:
		sim.fail("more than the %d attempts of its policy", c.policy.MaxAttempts)
	case c.policy.AttemptTimeout > 0 && a.Wait > c.policy.AttemptTimeout:
		sim.fail("an attempt of %v, its policy allows %v", a.Wait, c.policy.AttemptTimeout)
	case a.Wait <= 0 || sim.now+a.Wait > c.deadline:
		sim.fail("an attempt of %v with %v left", a.Wait, c.deadline-sim.now)
	}
	class := sim.cfg.Classes[c.Class]
	open := 0
	if n := len(c.attempts); n > 0 && !c.attempts[n-1].open && c.policy.RetryOn != 0 &&
		c.policy.RetryOn&c.attempts[n-1].result.Bit() == 0 {
		sim.fail("a retry of a result that its policy does not list")
	}
	for _, t := range c.attempts {
		if t.open {
			open++
		}
		if !t.open && !t.mayHaveRun {
			continue
		}
		switch {
		case class.Idempotency == AtMostOnce:
			sim.fail("a request could run twice")
		case class.Idempotency == Keyed && sim.now-t.sentAt > class.KeyTTL:
			sim.fail("a retry after the key expired")
		case class.Idempotency == Keyed && class.Group == GroupZone && s.Zone != t.server.Zone,
			class.Idempotency == Keyed && class.Group == GroupCell && s.Cell != t.server.Cell:
			sim.fail("a retry outside the group that drops it")
		}
	}
	if open > 1 || open == 1 && !sim.cfg.MayHedge {
		sim.fail("%d concurrent attempts", open+1)
	}
	c.attempts = append(c.attempts, sentAttempt{server: s, sentAt: sim.now, open: true})
	if s.Started > 0 && sim.now-s.Started < sim.cfg.WarmupTime {
		// One of three nodes' share of the budget, for a server that can do 100 requests per second.
		sim.sends[s.ID] = append(sim.sends[s.ID], sim.now)
		n := 0
		for _, at := range sim.sends[s.ID] {
			if sim.now-at < sim.cfg.CollapseWindow {
				n++
			}
		}
		if allowed := sim.cfg.CollapseMultiple * sim.cfg.ColdCapacity * 100 *
			sim.cfg.CollapseWindow.Seconds() / 3; float64(n) > allowed+0.5 {
			sim.fail("%d sends to cold %s within %v, %.0f are allowed", n, s.ID, sim.cfg.CollapseWindow,
				allowed)
		}
	}
	elapsed := time.Duration(1+sim.rng.IntN(300)) * ms
	result := []Result{Served, Served, Served, Errored, Rejected, ConnectFailed, ConnectionLost, Served,
		Malformed}[sim.rng.IntN(9)]
	if elapsed >= a.Wait || sim.rng.IntN(20) == 0 { // slow, or no response at all
		elapsed, result = a.Wait, TimedOut
	}
	sim.pending = append(sim.pending, pendingOutcome{sim.now + elapsed, c.ID, len(c.attempts) - 1, s.ID,
		result, elapsed})
}

func (sim *simulation) checkRefuse(c *openRequest) {
	class := sim.cfg.Classes[c.Class]
	for _, t := range c.attempts {
		if !t.open && !t.mayHaveRun {
			continue
		}
		if class.Idempotency == AtMostOnce || class.Idempotency == Keyed && class.Group != GroupAll {
			sim.fail("refused a request that may have run")
		}
	}
}

func TestSafetyRulesOnRandomEvents(t *testing.T) {
	for seed := uint64(0); seed < 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed)
			zones := []string{"x", "y", "z"}
			for end := sim.now + 8*time.Second; sim.now < end; {
				sim.step(zones, end-time.Second)
			}
			if n := len(sim.balancer.calls); n != 0 || len(sim.requests) != 0 {
				t.Errorf("%d calls are kept after their end, %d requests are open", n, len(sim.requests))
			}
			for id, s := range sim.balancer.servers {
				if s.inflight != 0 {
					t.Errorf("%s keeps %d calls in flight", id, s.inflight)
				}
			}
		})
	}
}

// The checks above must themselves detect a violation of each rule.
func TestRuleViolationsAreDetected(t *testing.T) {
	wait := 50 * ms
	for _, c := range []struct {
		name, want string
		act        func(sim *simulation)
	}{
		{"two responses", "second final response", func(sim *simulation) {
			sim.apply([]Action{{Kind: Fail, Request: 1}, {Kind: Refuse, Request: 1}})
		}},
		{"sent after the end", "not open", func(sim *simulation) {
			sim.apply([]Action{{Kind: Fail, Request: 1}, {Kind: Send, Request: 1, Server: "a", Wait: wait}})
		}},
		{"no response", "no final response", func(sim *simulation) {
			for range 2000 {
				sim.step(nil, 0)
			}
		}},
		{"run twice", "request could run twice", func(sim *simulation) {
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
			sim.requests[1].attempts[0].open, sim.requests[1].attempts[0].mayHaveRun = false, true
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
		}},
		{"refused after it may have run", "may have run", func(sim *simulation) {
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}, {Kind: Refuse, Request: 1}})
		}},
		{"outside the group", "outside the group", func(sim *simulation) {
			sim.requests[1].Class = 5 // keyed, by cell
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
			sim.requests[1].attempts[0].open, sim.requests[1].attempts[0].mayHaveRun = false, true
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "cold", Wait: wait}})
		}},
		{"sent to a draining server", "draining or removed", func(sim *simulation) {
			sim.apply([]Action{{Kind: Send, Request: 1, Server: "draining", Wait: wait}})
		}},
		{"overloaded cold server", "sends to cold", func(sim *simulation) {
			for id := uint64(2); id < 200; id++ {
				sim.requests[id] = &openRequest{Request: Request{ID: id}, deadline: sim.now + time.Second}
				sim.apply([]Action{{Kind: Send, Request: id, Server: "cold", Wait: wait}})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 3)
			sim.expectViolation, sim.cfg.MaxAttempts = true, 9
			sim.servers = map[string]*listedServer{
				"a": {Server: Server{ID: "a"}}, "draining": {Server: Server{ID: "draining"},
					unavailable: true},
				"cold": {Server: Server{ID: "cold", Cell: 1, Started: sim.now}},
			}
			sim.requests = map[uint64]*openRequest{1: {Request: Request{ID: 1, Class: 8},
				deadline: sim.now + time.Second}}
			defer func() {
				if v, _ := recover().(violation); !strings.Contains(string(v), c.want) {
					t.Errorf("got violation %q, want %q", v, c.want)
				}
			}()
			c.act(sim)
		})
	}
}

// simulateFleet runs several nodes with the same servers, which answer after the given time. It returns the
// times of all sends to one of the servers.
func simulateFleet(nodes, servers int, cfg Settings, elapsed, length time.Duration,
	restart func(i int) (time.Duration, bool)) []time.Duration {
	type due struct {
		at      time.Duration
		node    int
		outcome Outcome
	}
	var all []*Balancer
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	cfg.Nodes = nodes
	for i := range nodes {
		cfg.Node = i
		b := New(cfg, uint64(i), 0)
		b.HandleList(0, ListUpdate{Kind: ListStored, Servers: list}, nil)
		all = append(all, b)
	}
	var sends []time.Duration
	var outstanding []due
	id := uint64(0)
	for now := time.Duration(0); now < length; now += 10 * ms {
		if started, yes := restart(int(now / (10 * ms))); yes {
			for _, b := range all {
				b.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "s0", Started: started}}},
					nil)
			}
		}
		for len(outstanding) > 0 && outstanding[0].at <= now {
			all[outstanding[0].node].HandleOutcome(now, outstanding[0].outcome, nil)
			outstanding = outstanding[1:]
		}
		for i, b := range all {
			id++
			for _, a := range b.HandleRequest(now, Request{ID: id, Tenant: -1, TTL: 9 * time.Second}, nil) {
				if a.Kind != Send {
					continue
				}
				if a.Server == "s0" {
					sends = append(sends, now)
				}
				outstanding = append(outstanding, due{now + elapsed, i,
					Outcome{Request: id, Server: a.Server, Elapsed: elapsed, Final: true}})
			}
		}
	}
	return sends
}

// All nodes together must stay below the multiple of a cold server's capacity in every window, although
// each knows only its own sends. They must also use that capacity.
func TestColdBudgetOverManyNodes(t *testing.T) {
	const restartAt = 5 * time.Second
	for _, nodes := range []int{4, 24} {
		cfg := Settings{
			ColdCapacity: 0.1, WarmupTime: 20 * time.Second, CollapseMultiple: 2.5,
			CollapseWindow: time.Second, MaxAttempts: 2,
			Tier: 1, AnswerGrace: 10 * ms, Classes: []Class{{LatencyTarget: 9 * time.Second,
				Deadline: 9 * time.Second, Worth: 1}},
		}
		// Every node gets 100 requests per second. The servers, twice as many as nodes, can just serve
		// that, and hold so many calls that a cold one looks idle.
		sends := simulateFleet(nodes, 2*nodes, cfg, 900*ms, 15*time.Second,
			func(step int) (time.Duration, bool) {
				return restartAt, step == int(restartAt/(10*ms))
			})
		const capacity = 50.0
		coldSends := 0
		for i, at := range sends {
			if at < restartAt {
				continue
			}
			coldSends++
			n := 0
			for _, other := range sends[:i+1] {
				if other > at-cfg.CollapseWindow && other >= restartAt {
					n++
				}
			}
			age := (at - restartAt).Seconds() / cfg.WarmupTime.Seconds()
			if allowed := cfg.CollapseMultiple * (cfg.ColdCapacity + (1-cfg.ColdCapacity)*age) *
				capacity; float64(n) > allowed {
				t.Fatalf("%d nodes: %d sends within %v at age %v, %.1f are allowed", nodes, n,
					cfg.CollapseWindow, at-restartAt, allowed)
			}
		}
		if coldSends < 5 {
			t.Errorf("%d nodes: only %d sends in 10 s to a server that is warming up", nodes, coldSends)
		}
	}
}

// A node that starts with a stored list must apply later updates: it sends nothing to a server that was
// announced as draining or removed, in whatever order lists, failures and duplicates arrive, and an empty
// list loses no call.
func TestStoredListIsReplaced(t *testing.T) {
	cfg := Settings{
		Nodes: 1, MustSubscribe: true, ResubscribeWithin: 4 * time.Second, MaxAttempts: 3,
		AnswerGrace: 10 * ms,
		Classes:     []Class{{LatencyTarget: time.Second, Deadline: time.Second, Worth: 1}},
	}
	b := New(cfg, 1, 0)
	subscriptions := 0
	watch := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == WatchList || a.Kind == StartTimer && a.Token == watchTimerToken {
				subscriptions++
			}
		}
	}
	watch(b.HandleList(0, ListUpdate{Kind: ListStored, Servers: []Server{{ID: "old"}, {ID: "kept"}}}, nil))
	watch(b.HandleTimer(ms, Timer{watchTimerToken}, nil))
	watch(b.HandleList(2*ms, ListUpdate{Kind: ListFailed}, nil))
	if subscriptions < 3 {
		t.Errorf("%d subscriptions after a stored list and a failure", subscriptions)
	}
	b.HandleList(3*ms, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "kept"}}}, nil)
	b.HandleList(3*ms, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "kept"}}}, nil)
	b.HandleList(3*ms, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "new", Health: Draining},
		{ID: "odd", Health: Removed}}}, nil)
	for id := range uint64(20) {
		for _, a := range b.HandleRequest(4*ms, Request{ID: id, Tenant: -1, TTL: time.Second}, nil) {
			if a.Kind == Send && a.Server != "kept" {
				t.Errorf("sent to %s, which is draining or removed", a.Server)
			}
		}
	}
	b.HandleList(5*ms, ListUpdate{Kind: ListFull}, nil)
	b.calls = map[uint64]*call{}
	actions := b.HandleRequest(6*ms, Request{ID: 99, Tenant: -1, TTL: 20 * ms}, nil)
	if len(actions) != 1 || actions[0].Kind != StartTimer {
		t.Fatalf("with no server: %v, want the call to wait", actions)
	}
	if last := b.HandleTimer(26*ms, Timer{99}, nil); len(last) != 1 || last[0].Kind != Fail &&
		last[0].Kind != Refuse {
		t.Errorf("at its deadline: %v, want a final response", last)
	}
}

// Changes count as announced after 6 s, whatever calls have failed. After any number of failures the watch
// must be renewed so soon that a lost call and one that waits at discovery still fit into that time.
func TestWatchRetryIntervalIsBounded(t *testing.T) {
	b := New(Settings{MustSubscribe: true, ResubscribeWithin: 10 * time.Second}, 1, 0)
	now, longest := time.Duration(0), time.Duration(0)
	pauses := map[time.Duration]bool{}
	for range 40 {
		wait := time.Duration(-1)
		for _, a := range b.HandleList(now, ListUpdate{Kind: ListFailed}, nil) {
			if a.Kind == StartTimer {
				wait = a.Wait
			}
		}
		if wait < 0 {
			t.Fatal("a failed call is not followed by another")
		}
		longest = max(longest, wait)
		pauses[wait] = true
		now += wait
		if out := b.HandleTimer(now, Timer{Token: watchTimerToken}, nil); len(out) != 1 ||
			out[0].Kind != WatchList {
			t.Fatalf("after the pause: %v", out)
		}
		now += time.Second
	}
	if longest > 1500*ms || longest < 500*ms {
		t.Errorf("pauses of up to %v, want some growth and at most 1.5 s", longest)
	}
	if len(pauses) < 20 {
		t.Errorf("only %d different pauses: the calls of a fleet would coincide", len(pauses))
	}
}

// Servers drop repeats of a keyed request only for a limited time, which also passes while a retry waits
// for its connection. So each attempt after one that may have run must carry the time within which its last
// byte has to leave, at the latest when the key expires. The first attempt, and requests that are not
// keyed, are limited by the client's deadline alone.
func TestKeyedRetriesHaveSendDeadline(t *testing.T) {
	const window = 400 * ms
	for _, idempotency := range []Idempotency{Idempotent, Keyed} {
		b := New(Settings{
			Nodes: 1, MaxAttempts: 4, AnswerGrace: 10 * ms,
			Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1,
				Idempotency: idempotency, Group: GroupAll, KeyTTL: window}},
		}, 1, 0)
		b.HandleList(0, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil)
		now, attempts := 10*ms, 0
		first := now
		out := b.HandleRequest(now, Request{ID: 1, Tenant: -1, TTL: 2 * time.Second}, nil)
		for len(out) > 0 {
			sent := false
			for _, a := range out {
				if a.Kind != Send {
					continue
				}
				sent = true
				retry := idempotency == Keyed && attempts > 0
				if (a.SendWithin > 0) != retry || retry && now+a.SendWithin > first+window {
					t.Errorf("idempotency %v: attempt %d at %v must leave within %v", idempotency, attempts,
						now, a.SendWithin)
				}
				now += 100 * ms
				out = b.HandleOutcome(now, Outcome{Request: 1, Attempt: attempts, Server: a.Server,
					Result: ConnectionLost, Elapsed: 100 * ms}, nil)
				attempts++
				break
			}
			if !sent {
				break
			}
		}
		if attempts < 3 {
			t.Errorf("idempotency %v: only %d attempts", idempotency, attempts)
		}
	}
}
