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

// world feeds a Balancer random legal events and checks every action against the
// four rules, from the events alone.
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
	expectViolation bool // the rules are broken on purpose
}

type listedServer struct {
	Server
	unavailable bool
}

type openRequest struct {
	Request
	policy    RoutePolicy // those that it arrived under
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  []sentAttempt
}

type sentAttempt struct {
	server     *listedServer
	sentAt     time.Duration
	open       bool
	mayHaveRun bool // may have run
	result     Result
}

type pendingOutcome struct {
	at      time.Duration
	request uint64
	attempt int
	server  string
	result  Result
	took    time.Duration
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

// violation is what fail panics with where a test means the rules to be broken.
type violation string

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	if w.expectViolation {
		panic(violation(fmt.Sprintf(format, args...)))
	}
	w.t.Fatalf("at %v: %s", w.now, fmt.Sprintf(format, args...))
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	zones := []string{"x", "y", "z"}[:1+rng.IntN(3)]
	set := Settings{
		Node: rng.IntN(3), Nodes: 3, Tier: rng.IntN(3), Zone: zones[0], MustSubscribe: rng.IntN(2) == 0,
		ResubscribeWithin: 4 * time.Second, ColdCapacity: 0.3, WarmupTime: 5 * time.Second, CollapseMultiple: 3, CollapseWindow: 2 * time.Second,
		AnswerGrace: 8 * ms, MaxAttempts: 1 + rng.IntN(6), MaxRetryAfter: time.Duration(rng.IntN(2)) * time.Second,
		MayHedge: rng.IntN(2) == 0, MayCancel: rng.IntN(2) == 0, MayAdviseRetry: rng.IntN(2) == 0,
		OverShareWorth: 0.2,
	}
	for effect := Idempotent; effect <= AtMostOnce; effect++ {
		for group := GroupAll; group <= GroupCell; group++ {
			set.Classes = append(set.Classes, Class{
				LatencyTarget: 300 * ms, Deadline: 900 * ms, Worth: float64(1 + rng.IntN(3)), LateWorth: float64(rng.IntN(2)) / 2,
				Idempotency: effect, Group: group, KeyTTL: 400 * ms,
			})
		}
	}
	if rng.IntN(2) == 0 {
		set.Tenants = []Tenant{{Quota: 30}, {}}
	}
	w := &simulation{
		t: t, cfg: set, rng: rng, now: time.Second, servers: map[string]*listedServer{}, requests: map[uint64]*openRequest{},
		sends: map[string][]time.Duration{}, balancer: New(set, seed, time.Second),
	}
	first := make([]Server, rng.IntN(9))
	for i := range first {
		first[i] = w.newServer(zones)
	}
	w.updateList(ListUpdate{Kind: ListStored, Servers: first})
	return w
}

func (w *simulation) newServer(zones []string) Server {
	id := fmt.Sprintf("s%d", len(w.ids))
	w.ids = append(w.ids, id)
	s := Server{ID: id, Zone: zones[w.rng.IntN(len(zones))], Cell: w.rng.IntN(3), Weight: float64(w.rng.IntN(3))}
	if w.rng.IntN(3) == 0 {
		s.Started = w.now - time.Duration(w.rng.IntN(900))*ms
	}
	return s
}

func (w *simulation) updateList(m ListUpdate) {
	if m.Kind == ListFull || m.Kind == ListStored {
		for _, s := range w.servers {
			s.unavailable = true
		}
	}
	for _, e := range m.Servers {
		w.servers[e.ID] = &listedServer{Server: e, unavailable: e.Health != Healthy}
	}
	w.apply(w.balancer.HandleList(w.now, m, w.buf[:0]))
}

// step plays the next millisecond.
func (w *simulation) step(zones []string, until time.Duration) {
	w.now += ms
	if w.rng.IntN(700) == 0 { // the node stands still, and then finds all that came meanwhile
		w.now += time.Duration(w.rng.IntN(400)) * ms
	}
	for _, f := range w.due() {
		c := w.requests[f.request]
		if c != nil {
			c.attempts[f.attempt].open, c.attempts[f.attempt].result = false, f.result
			c.attempts[f.attempt].mayHaveRun = f.result != Rejected && f.result != ConnectFailed && f.result != NotSent
		}
		final := f.result == Served && c != nil && w.now <= c.deadline
		w.handle(func(out []Action) []Action {
			return w.balancer.HandleOutcome(w.now, Outcome{
				Request: f.request, Attempt: f.attempt, Server: f.server, Result: f.result, Elapsed: f.took,
				Final: final, ConnClosed: f.result == Malformed,
			}, out)
		}, func() {
			if final {
				delete(w.requests, f.request)
			}
		})
	}
	for i := 0; i < len(w.timers); i++ {
		if tm := w.timers[i]; tm.at <= w.now {
			w.timers = append(w.timers[:i], w.timers[i+1:]...)
			i--
			w.apply(w.balancer.HandleTimer(w.now, Timer{tm.token}, w.buf[:0]))
		}
	}
	if w.now < until {
		w.randomEvent(zones)
	}
	for id, c := range w.requests {
		if w.now > c.deadline+w.cfg.AnswerGrace {
			w.fail("request %d got no final answer", id)
		}
	}
}

// handle runs before, then hands an event to the module.
func (w *simulation) handle(event func([]Action) []Action, before func()) {
	before()
	w.apply(event(w.buf[:0]))
}

func (w *simulation) due() []pendingOutcome {
	var due, rest []pendingOutcome
	for _, f := range w.pending {
		if f.at <= w.now {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.pending = rest
	return due
}

func (w *simulation) randomEvent(zones []string) {
	switch p := w.rng.IntN(1000); {
	case p < 200:
		w.nextID++
		tenant := -1
		if n := len(w.cfg.Tenants); n > 0 {
			tenant = w.rng.IntN(n+1) - 1
		}
		r := Request{
			ID: w.nextID, Class: w.rng.IntN(len(w.cfg.Classes)), Tenant: tenant,
			TTL: time.Duration(w.rng.IntN(800)) * ms, Work: time.Duration(w.rng.IntN(2)) * 20 * ms,
		}
		r.Route = w.rng.IntN(len(w.policies) + 2)
		c := &openRequest{Request: r, deadline: w.now + r.TTL, arrivedAt: w.now}
		if at := r.Route - 1; at >= 0 && at < len(w.policies) {
			c.policy = w.policies[at]
			if limit := c.policy.DeadlineCap; limit > 0 {
				c.deadline = min(c.deadline, w.now+limit)
			}
		}
		w.requests[r.ID] = c
		w.apply(w.balancer.HandleRequest(w.now, r, w.buf[:0]))
	case p < 203:
		w.updateList(ListUpdate{Kind: ListDiff, Servers: []Server{w.newServer(zones)}})
	case p < 208 && len(w.ids) > 0:
		if s := w.servers[w.ids[w.rng.IntN(len(w.ids))]]; s != nil {
			e := s.Server
			e.Health = Health(w.rng.IntN(3))
			if e.Health == Healthy {
				e.Started = w.now
			}
			w.updateList(ListUpdate{Kind: ListDiff, Servers: []Server{e}})
		}
	case p < 209:
		var full []Server
		for _, id := range w.ids {
			if s := w.servers[id]; s != nil && !s.unavailable && w.rng.IntN(5) > 0 {
				full = append(full, s.Server)
			}
		}
		w.updateList(ListUpdate{Kind: ListFull, Servers: full})
	case p >= 990 && p < 992:
		w.randomPolicies()
	case p < 210 && w.cfg.MustSubscribe:
		w.updateList(ListUpdate{Kind: ListFailed, ConfirmedUntil: time.Duration(w.rng.IntN(2)) * (w.now + time.Duration(w.rng.IntN(6000))*ms)})
	case p < 215:
		for _, id := range slices.Sorted(maps.Keys(w.requests)) {
			if id%7 == 0 {
				delete(w.requests, id)
				w.apply(w.balancer.HandleDisconnect(w.now, Disconnect{id}, w.buf[:0]))
				break
			}
		}
	case p < 217: // events for what is not held
		w.apply(w.balancer.HandleDisconnect(w.now, Disconnect{1 << 40}, w.buf[:0]))
		w.apply(w.balancer.HandleTimer(w.now, Timer{1 << 41}, w.buf[:0]))
		w.apply(w.balancer.HandleOutcome(w.now, Outcome{Request: 1 << 40, Server: "unknown"}, w.buf[:0]))
		w.apply(w.balancer.HandleProbe(w.now, ProbeResult{Server: "unknown"}, w.buf[:0]))
	}
}

// route gives the module new bounds, whatever they are: those that make no sense must break no rule either.
func (w *simulation) randomPolicies() {
	span := func(most int) time.Duration { return time.Duration(w.rng.IntN(2)*w.rng.IntN(most)) * ms }
	w.policies = make([]RoutePolicy, w.rng.IntN(4))
	for i := range w.policies {
		w.policies[i] = RoutePolicy{
			AttemptTimeout: span(400), MaxAttempts: w.rng.IntN(8), BackoffInitial: span(200), BackoffMax: span(300),
			BackoffJitter: w.rng.Float64(), RetryOn: ResultSet(w.rng.IntN(2) * w.rng.IntN(1<<9)),
			HedgeAfter: span(200), DeadlineCap: span(500), MaxRetryAfter: span(1500),
		}
	}
	w.apply(w.balancer.SetRoutePolicies(w.now, w.policies, w.buf[:0]))
}

// take checks and carries out a reply.
func (w *simulation) apply(actions []Action) {
	for _, a := range actions {
		c := w.requests[a.Request]
		switch a.Kind {
		case Send:
			w.checkSend(c, a)
		case Refuse, Fail:
			if c == nil {
				w.fail("a second answer to request %d", a.Request)
			}
			if a.Kind == Refuse {
				w.checkRefuse(c)
				if limit := c.policy.MaxRetryAfter; limit > 0 && a.Wait > limit {
					w.fail("retry-after of %v, %v are allowed", a.Wait, limit)
				}
				if a.Wait < 0 || a.Wait > w.cfg.MaxRetryAfter || a.Wait > 0 && !w.cfg.MayAdviseRetry {
					w.fail("retry-after of %v", a.Wait)
				}
			}
			delete(w.requests, a.Request)
		case StartTimer:
			if a.Wait < 0 {
				w.fail("a timer in the past")
			}
			w.timers = append(w.timers, pendingTimer{w.now + a.Wait, a.Token})
		case Cancel:
			if !w.cfg.MayCancel {
				w.fail("a cancel that is not permitted")
			}
		case WatchList, FetchList:
			if !w.cfg.MustSubscribe {
				w.fail("asked for a list that comes by itself")
			}
		case Probe:
			if !w.cfg.MayProbe {
				w.fail("a probe that is not permitted")
			}
		}
	}
	w.buf = actions
}

func (w *simulation) checkSend(c *openRequest, a Action) {
	s := w.servers[a.Server]
	switch {
	case c == nil:
		w.fail("a send for request %d, which is not owed", a.Request)
	case s == nil || s.unavailable:
		w.fail("a send to %s, which drains or is gone", a.Server)
	case len(c.attempts) >= w.cfg.MaxAttempts:
		w.fail("more than %d attempts", w.cfg.MaxAttempts)
	case c.policy.MaxAttempts > 0 && len(c.attempts) >= c.policy.MaxAttempts:
		w.fail("more than the %d attempts of its bounds", c.policy.MaxAttempts)
	case c.policy.AttemptTimeout > 0 && a.Wait > c.policy.AttemptTimeout:
		w.fail("an attempt of %v, its bounds allow %v", a.Wait, c.policy.AttemptTimeout)
	case a.Wait <= 0 || w.now+a.Wait > c.deadline:
		w.fail("an attempt of %v, %v are left", a.Wait, c.deadline-w.now)
	}
	class := w.cfg.Classes[c.Class]
	open := 0
	if n := len(c.attempts); n > 0 && !c.attempts[n-1].open && c.policy.RetryOn != 0 &&
		c.policy.RetryOn&c.attempts[n-1].result.Bit() == 0 {
		w.fail("an attempt after an outcome that its bounds do not name")
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
			w.fail("an effect could happen twice")
		case class.Idempotency == Keyed && w.now-t.sentAt > class.KeyTTL:
			w.fail("a repeat after the key was forgotten")
		case class.Idempotency == Keyed && class.Group == GroupZone && s.Zone != t.server.Zone,
			class.Idempotency == Keyed && class.Group == GroupCell && s.Cell != t.server.Cell:
			w.fail("a repeat outside the group that drops it")
		}
	}
	if open > 1 || open == 1 && !w.cfg.MayHedge {
		w.fail("%d attempts at once", open+1)
	}
	c.attempts = append(c.attempts, sentAttempt{server: s, sentAt: w.now, open: true})
	if s.Started > 0 && w.now-s.Started < w.cfg.WarmupTime {
		// The budget of one of three nodes, were the server able to do 100 requests a second.
		w.sends[s.ID] = append(w.sends[s.ID], w.now)
		n := 0
		for _, at := range w.sends[s.ID] {
			if w.now-at < w.cfg.CollapseWindow {
				n++
			}
		}
		if room := w.cfg.CollapseMultiple * w.cfg.ColdCapacity * 100 * w.cfg.CollapseWindow.Seconds() / 3; float64(n) > room+0.5 {
			w.fail("%d sends to cold %s within %v, room for %.0f", n, s.ID, w.cfg.CollapseWindow, room)
		}
	}
	took := time.Duration(1+w.rng.IntN(300)) * ms
	result := []Result{Served, Served, Served, Errored, Rejected, ConnectFailed, ConnectionLost, Served, Malformed}[w.rng.IntN(9)]
	if took >= a.Wait || w.rng.IntN(20) == 0 { // slow, or silent for ever
		took, result = a.Wait, TimedOut
	}
	w.pending = append(w.pending, pendingOutcome{w.now + took, c.ID, len(c.attempts) - 1, s.ID, result, took})
}

func (w *simulation) checkRefuse(c *openRequest) {
	class := w.cfg.Classes[c.Class]
	for _, t := range c.attempts {
		if !t.open && !t.mayHaveRun {
			continue
		}
		if class.Idempotency == AtMostOnce || class.Idempotency == Keyed && class.Group != GroupAll {
			w.fail("a refusal of what may have run")
		}
	}
}

func TestRulesOnRandomEvents(t *testing.T) {
	for seed := uint64(0); seed < 60; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, seed)
			zones := []string{"x", "y", "z"}
			for end := w.now + 8*time.Second; w.now < end; {
				w.step(zones, end-time.Second)
			}
			if n := len(w.balancer.calls); n != 0 || len(w.requests) != 0 {
				t.Errorf("%d calls are kept after their end, %d owed", n, len(w.requests))
			}
			for id, s := range w.balancer.servers {
				if s.inflight != 0 {
					t.Errorf("%s keeps %d in flight", id, s.inflight)
				}
			}
		})
	}
}

// The reading of the rules above must itself see a violation of each.
func TestTheRulesAreSeenBroken(t *testing.T) {
	wait := 50 * ms
	for _, c := range []struct {
		name, want string
		act        func(w *simulation)
	}{
		{"two answers", "second answer", func(w *simulation) {
			w.apply([]Action{{Kind: Fail, Request: 1}, {Kind: Refuse, Request: 1}})
		}},
		{"sent after the end", "not owed", func(w *simulation) {
			w.apply([]Action{{Kind: Fail, Request: 1}, {Kind: Send, Request: 1, Server: "a", Wait: wait}})
		}},
		{"no answer", "no final answer", func(w *simulation) {
			for range 2000 {
				w.step(nil, 0)
			}
		}},
		{"an effect twice", "effect could happen twice", func(w *simulation) {
			w.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
			w.requests[1].attempts[0].open, w.requests[1].attempts[0].mayHaveRun = false, true
			w.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
		}},
		{"refused after it may have run", "may have run", func(w *simulation) {
			w.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}, {Kind: Refuse, Request: 1}})
		}},
		{"outside the group", "outside the group", func(w *simulation) {
			w.requests[1].Class = 5 // keyed, by cell
			w.apply([]Action{{Kind: Send, Request: 1, Server: "a", Wait: wait}})
			w.requests[1].attempts[0].open, w.requests[1].attempts[0].mayHaveRun = false, true
			w.apply([]Action{{Kind: Send, Request: 1, Server: "cold", Wait: wait}})
		}},
		{"sent to a draining server", "drains or is gone", func(w *simulation) {
			w.apply([]Action{{Kind: Send, Request: 1, Server: "draining", Wait: wait}})
		}},
		{"a cold server pushed over", "sends to cold", func(w *simulation) {
			for id := uint64(2); id < 200; id++ {
				w.requests[id] = &openRequest{Request: Request{ID: id}, deadline: w.now + time.Second}
				w.apply([]Action{{Kind: Send, Request: id, Server: "cold", Wait: wait}})
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, 3)
			w.expectViolation, w.cfg.MaxAttempts = true, 9
			w.servers = map[string]*listedServer{
				"a": {Server: Server{ID: "a"}}, "draining": {Server: Server{ID: "draining"}, unavailable: true},
				"cold": {Server: Server{ID: "cold", Cell: 1, Started: w.now}},
			}
			w.requests = map[uint64]*openRequest{1: {Request: Request{ID: 1, Class: 8}, deadline: w.now + time.Second}}
			defer func() {
				if v, _ := recover().(violation); !strings.Contains(string(v), c.want) {
					t.Errorf("seen: %q, want %q", v, c.want)
				}
			}()
			c.act(w)
		})
	}
}

// fleet plays several nodes before the same servers, each of which answers after took, and counts what all
// nodes together send to one of them.
func fleet(nodes, servers int, set Settings, took, length time.Duration, restart func(i int) (time.Duration, bool)) []time.Duration {
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
	set.Nodes = nodes
	for i := range nodes {
		set.Node = i
		b := New(set, uint64(i), 0)
		b.HandleList(0, ListUpdate{Kind: ListStored, Servers: list}, nil)
		all = append(all, b)
	}
	var sends []time.Duration
	var flying []due
	id := uint64(0)
	for now := time.Duration(0); now < length; now += 10 * ms {
		if started, yes := restart(int(now / (10 * ms))); yes {
			for _, b := range all {
				b.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "s0", Started: started}}}, nil)
			}
		}
		for len(flying) > 0 && flying[0].at <= now {
			all[flying[0].node].HandleOutcome(now, flying[0].outcome, nil)
			flying = flying[1:]
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
				flying = append(flying, due{now + took, i, Outcome{Request: id, Server: a.Server, Elapsed: took, Final: true}})
			}
		}
	}
	return sends
}

// All nodes together must keep under the multiple of what a cold server can do, in every window, though each
// knows only its own sends; and they must use it.
func TestColdBudgetOverManyNodes(t *testing.T) {
	const restartAt = 5 * time.Second
	for _, nodes := range []int{4, 24} {
		set := Settings{
			ColdCapacity: 0.1, WarmupTime: 20 * time.Second, CollapseMultiple: 2.5, CollapseWindow: time.Second, MaxAttempts: 2,
			Tier: 1, AnswerGrace: 10 * ms, Classes: []Class{{LatencyTarget: 9 * time.Second, Deadline: 9 * time.Second, Worth: 1}},
		}
		// Every node takes 100 requests a second; the servers, twice as many, can just do that, and hold so
		// many calls that a cold one looks idle.
		sends := fleet(nodes, 2*nodes, set, 900*ms, 15*time.Second, func(step int) (time.Duration, bool) {
			return restartAt, step == int(restartAt/(10*ms))
		})
		const capacity = 50.0
		cold := 0
		for i, at := range sends {
			if at < restartAt {
				continue
			}
			cold++
			n := 0
			for _, other := range sends[:i+1] {
				if other > at-set.CollapseWindow && other >= restartAt {
					n++
				}
			}
			age := (at - restartAt).Seconds() / set.WarmupTime.Seconds()
			if room := set.CollapseMultiple * (set.ColdCapacity + (1-set.ColdCapacity)*age) * capacity; float64(n) > room {
				t.Fatalf("%d nodes: %d sends within %v at age %v, room for %.1f", nodes, n, set.CollapseWindow, at-restartAt, room)
			}
		}
		if cold < 5 {
			t.Errorf("%d nodes: only %d sends in 10 s to a server that warms up", nodes, cold)
		}
	}
}

// A node that starts with an old stored list must follow what it then learns: nothing to a server told as
// draining or gone, whatever the order of lists, failures and repeats; and an empty list loses no call.
func TestStaleListIsFollowed(t *testing.T) {
	set := Settings{
		Nodes: 1, MustSubscribe: true, ResubscribeWithin: 4 * time.Second, MaxAttempts: 3, AnswerGrace: 10 * ms,
		Classes: []Class{{LatencyTarget: time.Second, Deadline: time.Second, Worth: 1}},
	}
	b := New(set, 1, 0)
	asked := 0
	watch := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == WatchList || a.Kind == StartTimer && a.Token == watchTimerToken {
				asked++
			}
		}
	}
	watch(b.HandleList(0, ListUpdate{Kind: ListStored, Servers: []Server{{ID: "old"}, {ID: "kept"}}}, nil))
	watch(b.HandleTimer(ms, Timer{watchTimerToken}, nil))
	watch(b.HandleList(2*ms, ListUpdate{Kind: ListFailed}, nil))
	if asked < 3 {
		t.Errorf("asked %d times after a stored list and a failure", asked)
	}
	b.HandleList(3*ms, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "kept"}}}, nil)
	b.HandleList(3*ms, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "kept"}}}, nil)
	b.HandleList(3*ms, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "new", Health: Draining}, {ID: "odd", Health: Removed}}}, nil)
	for id := range uint64(20) {
		for _, a := range b.HandleRequest(4*ms, Request{ID: id, Tenant: -1, TTL: time.Second}, nil) {
			if a.Kind == Send && a.Server != "kept" {
				t.Errorf("sent to %s, which drains or is gone", a.Server)
			}
		}
	}
	b.HandleList(5*ms, ListUpdate{Kind: ListFull}, nil)
	b.calls = map[uint64]*call{}
	held := b.HandleRequest(6*ms, Request{ID: 99, Tenant: -1, TTL: 20 * ms}, nil)
	if len(held) != 1 || held[0].Kind != StartTimer {
		t.Fatalf("with no server: %v, want the call held", held)
	}
	if end := b.HandleTimer(26*ms, Timer{99}, nil); len(end) != 1 || end[0].Kind != Fail && end[0].Kind != Refuse {
		t.Errorf("at the end of its time: %v, want an answer", end)
	}
}

// What discovery has known for 6 s counts as told, whatever calls have failed: after any number of failures the module must
// ask again so soon that one call that is lost, and one that waits in turn, still fit into that.
func TestAskingNeverPausesForLong(t *testing.T) {
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
		if out := b.HandleTimer(now, Timer{Token: watchTimerToken}, nil); len(out) != 1 || out[0].Kind != WatchList {
			t.Fatalf("after the pause: %v", out)
		}
		now += time.Second
	}
	if longest > 1500*ms || longest < 500*ms {
		t.Errorf("pauses of up to %v, want some growth, and 1.5 s at the most", longest)
	}
	if len(pauses) < 20 {
		t.Errorf("only %d different pauses: the calls of a fleet fall together", len(pauses))
	}
}

// Servers drop the repeats of a keyed request for a time alone, which runs on while a repeat waits for its connection: each
// attempt after one that may have run must say by when its last byte has to leave, at the latest when the window ends. The
// first attempt, and those of other effects, are bound by nothing but the client's time.
func TestRepeatsSayByWhenTheyLeave(t *testing.T) {
	const window = 400 * ms
	for _, effect := range []Idempotency{Idempotent, Keyed} {
		b := New(Settings{
			Nodes: 1, MaxAttempts: 4, AnswerGrace: 10 * ms,
			Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1, Idempotency: effect, Group: GroupAll, KeyTTL: window}},
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
				repeat := effect == Keyed && attempts > 0
				if (a.SendWithin > 0) != repeat || repeat && now+a.SendWithin > first+window {
					t.Errorf("effect %v: attempt %d at %v must leave within %v", effect, attempts, now, a.SendWithin)
				}
				now += 100 * ms
				out = b.HandleOutcome(now, Outcome{Request: 1, Attempt: attempts, Server: a.Server, Result: ConnectionLost, Elapsed: 100 * ms}, nil)
				attempts++
				break
			}
			if !sent {
				break
			}
		}
		if attempts < 3 {
			t.Errorf("effect %v: only %d attempts", effect, attempts)
		}
	}
}
