package decide

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

func TestCurveFallsLinearly(t *testing.T) {
	for _, c := range []struct{ r, a, b, want float64 }{
		{0, 0.55, 1.05, 1},
		{0.55, 0.55, 1.05, 1},
		{0.80, 0.55, 1.05, 0.5},
		{0.95, 0.55, 1.05, 0.2}, // the formula as printed in the paper would give 0.8
		{1.05, 0.55, 1.05, 0},
		{9, 0.55, 1.05, 0},
	} {
		if got := curve(c.r, c.a, c.b); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("curve(%v, %v, %v) = %v, want %v", c.r, c.a, c.b, got, c.want)
		}
	}
}

// newFrontNode returns the only front proxy before n servers, with classes of worth 1 and worth 9.
func newFrontNode(n int) *Balancer {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms,
		Classes: []Class{
			{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 9},
		},
	}, 1, time.Second)
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	return b
}

// offer sends n requests of a class to a node at once and returns how many it forwards.
func offer(b *Balancer, now time.Duration, class, n int) int {
	sent := 0
	for range n {
		nextID++
		r := Request{ID: nextID, Class: class, Tenant: -1, TTL: 2 * time.Second}
		for _, a := range b.HandleRequest(now, r, nil) {
			if a.Kind == Send {
				sent++
			}
		}
	}
	return sent
}

var nextID uint64

// Overloaded servers can slow down before the latency ratio rises. A second of overload without any
// response must not pile up on them, and the capacity that is left goes to the higher worth.
func TestOverloadIsRefusedBeforeResponses(t *testing.T) {
	b := newFrontNode(4)
	limit := int(4 * b.limit.perServer()) // the assumed limit before any response
	low := offer(b, time.Second, 0, 500)
	if low < limit || low > 2*limit {
		t.Errorf("%d requests of low worth admitted to 4 servers, whose limit is %d", low, limit)
	}
	if high := offer(b, time.Second, 1, 500); high == 0 || low+high > 3*limit {
		t.Errorf("%d requests of high worth admitted after %d", high, low)
	}
}

// newFrontNodeInZoneX returns one of four front proxies in zone x, before two servers in each of the zones
// x and y.
func newFrontNodeInZoneX(penalty float64) *Balancer {
	b := New(Settings{
		Nodes: 4, MaxAttempts: 3, AnswerGrace: 10 * ms, Zone: "x", Penalties: Penalties{CrossZone: penalty},
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: []Server{
		{ID: "x1", Zone: "x"}, {ID: "x2", Zone: "x"}, {ID: "y1", Zone: "y"}, {ID: "y2", Zone: "y"},
	}}, nil)
	return b
}

// A request goes to a less loaded server of another zone only if the time saved is worth the penalty.
func TestCrossZonePenalty(t *testing.T) {
	for _, c := range []struct {
		penalty, meanLatency, want float64
	}{{0, 0.4, 1}, {0.2, 0.4, 2}, {0.2, 0.25, 5}, {0.2, 0.1, 1000}, {0.2, 0, 1000}} {
		b := newFrontNodeInZoneX(c.penalty)
		b.meanLatency = c.meanLatency
		if got := b.penaltyFactor(b.cfg.Penalties.CrossZone); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("penalty %v, response time %v: the load of a remote server counts %v times, want %v",
				c.penalty, c.meanLatency, got, c.want)
		}
	}
}

// New connections incur a penalty. Of two servers with about the same load the one with an idle connection
// is chosen, but not if the other's load is lower by more than the penalty.
func TestHandshakePenalty(t *testing.T) {
	for _, c := range []struct {
		penalty, slower float64 // of the server with an idle connection
		want            string
	}{{0, 1.05, "b"}, {0.03, 1.05, "a"}, {0.03, 1.2, "b"}} {
		b := newFrontNode(0)
		b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}}}, nil)
		b.cfg.Penalties.Handshake, b.meanLatency = c.penalty, 0.3
		b.servers["a"].idleConns = []time.Duration{time.Second}
		b.servers["a"].extraSlowness, b.servers["a"].extraSlownessAt = c.slower-1, time.Second
		out := b.HandleRequest(time.Second, Request{ID: 1, Tenant: -1, TTL: time.Second}, nil)
		if len(out) == 0 || out[0].Kind != Send || out[0].Server != c.want {
			t.Errorf("penalty %v, the connected server %v times as slow: %+v, want a send to %s", c.penalty,
				c.slower, out, c.want)
		}
	}
}

// timeOut ends every call on a server with a time-out.
func timeOut(b *Balancer, now time.Duration, server string) {
	for _, id := range slices.Sorted(maps.Keys(b.calls)) {
		c := b.calls[id]
		if n := len(c.attempts) - 1; n >= 0 && c.openAttempts > 0 && c.attempts[n].server.ID == server {
			b.HandleOutcome(now, Outcome{Request: id, Attempt: n, Server: server, Result: TimedOut,
				Elapsed: time.Second}, nil)
		}
	}
}

// A server that hangs must not get a full share of calls each time its ejection ends, and its former calls
// must not overload the other servers.
func TestHungServerIsTriedOneCallAtATime(t *testing.T) {
	b := newFrontNode(4)
	now := time.Second
	offer(b, now, 1, 20)
	now += time.Second
	timeOut(b, now, "s0")
	hung := b.servers["s0"]
	if hung.ejectedUntil <= now {
		t.Fatal("a server with nothing but time-outs is not ejected")
	}
	limit := 3 * b.limit.perServer()
	if got, want := b.utilization(), b.meanOpenCalls/(limit+math.Sqrt(limit)/2); math.Abs(got-want) > 1e-9 {
		t.Errorf("utilization %v, want %v: an ejected server is not capacity", got, want)
	}
	now = hung.ejectedUntil + ms
	for range 50 {
		b.latencyRatio = 0
		offer(b, now, 1, 1)
		if hung.inflight > 1 {
			t.Fatalf("%d calls to a server whose ejection has just ended", hung.inflight)
		}
	}
	if hung.inflight == 0 {
		t.Error("an ejected server is never tried again")
	}
}

// A zone that this node can't reach must be ejected as a whole: ejecting its servers one by one takes many
// calls, and each call that can't connect loses time.
func TestUnreachableZoneIsEjected(t *testing.T) {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms, Zone: "x",
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	var list []Server
	for i := range 5 {
		list = append(list, Server{ID: fmt.Sprint("x", i), Zone: "x"},
			Server{ID: fmt.Sprint("y", i), Zone: "y"})
	}
	now := time.Second
	b.HandleList(now, ListUpdate{Kind: ListFull, Servers: list}, nil)
	for _, id := range []string{"y0", "y0", "y0", "y0", "y1", "y2", "y3"} {
		b.updateHealth(b.servers[id], ConnectFailed)
	}
	if b.zones["y"].unavailable(now) {
		t.Error("a zone is ejected though one of its servers was not tried")
	}
	b.updateHealth(b.servers["y4"], ConnectFailed)
	if !b.zones["y"].unavailable(now) {
		t.Fatal("all servers of a zone failed in a row, and it is not ejected")
	}
	for id, s := range b.servers {
		s.recordSuccess() // leave only the zone's ejection
		if s.local == (id[0] == 'y') {
			t.Errorf("%s local: %v", id, s.local)
		}
	}
	c := &call{}
	for range 50 {
		if s := b.pickServer(c); s.Zone == "y" {
			t.Fatalf("%s of the ejected zone is picked", s.ID)
		}
	}
	b.updateHealth(b.servers["y0"], Served)
	if b.zones["y"].unavailable(now) {
		t.Error("a zone that serves again stays ejected")
	}
}

// A restarted process must not inherit the failures of the one before.
func TestRestartClearsFailures(t *testing.T) {
	b := newFrontNode(4)
	s := b.servers["s1"]
	for range 3 {
		b.updateHealth(s, ConnectionLost)
		b.recordLatency(s, 5)
	}
	now := 2 * time.Second
	b.cfg.ColdCapacity, b.cfg.WarmupTime, b.cfg.CollapseWindow,
		b.cfg.CollapseMultiple = 1, time.Second, time.Second, 2
	b.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "s1", Started: now}}}, nil)
	if s.unavailable(now) {
		t.Error("a new process is ejected for the old one's failures")
	}
	if got := b.slowness(s); got != 1 {
		t.Errorf("a new process counts as %v times as slow because of the old one's responses", got)
	}
}

// The few calls of a node with little capacity fluctuate at random. That does not overload the servers,
// since other nodes have fewer calls at the same time.
func TestRandomVariationIsNoOverload(t *testing.T) {
	few, many := newFrontNode(1), newFrontNode(100)
	for b, n := range map[*Balancer]float64{few: 1, many: 100} {
		b.limit.mode = LimitFixed
		b.meanOpenCalls = n * b.limit.perServer()
	}
	if c := few.utilization(); c > 0.9 {
		t.Errorf("utilization %v with one server at its limit on average", c)
	}
	if c := many.utilization(); c < 0.9 {
		t.Errorf("utilization %v with a hundred servers at their limit", c)
	}
}

// A short burst of calls at a node with little traffic is random and no reason to refuse the highest worth,
// whereas as many calls all the time are.
func TestOpenCallsAreAveraged(t *testing.T) {
	const burst = 60
	b := newFrontNode(1)
	b.meanOpenCalls = burst
	if p := b.admitProbability(9); p > 0 {
		t.Fatalf("the highest worth is admitted with probability %v at a mean of %d calls", p, burst)
	}
	b.meanOpenCalls = 1
	for range burst {
		nextID++
		b.calls[nextID] = &call{}
	}
	offer(b, time.Second, 1, 1)
	if p := b.admitProbability(9); p < 1 {
		t.Errorf("the highest worth is admitted with probability %v after a moment of %d calls", p, burst)
	}
	offer(b, time.Second, 1, 50)
	if p := b.admitProbability(9); p > 0 {
		t.Errorf("the highest worth is admitted with probability %v with %d or more calls all the time", p, burst)
	}
}

// When the first tier grows threefold, it must not admit more calls until the latency ratio has stayed low
// for a while: the tiers below may be the bottleneck.
func TestAddedServersCountGradually(t *testing.T) {
	b := newFrontNode(4)
	b.meanOpenCalls = 10
	before := b.utilization()
	var list []Server
	for i := range 12 {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	b.HandleList(2*time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	if c := b.utilization(); c < before {
		t.Errorf("utilization falls from %v to %v as servers are added", before, c)
	}
	b.latencyRatio = 0.2
	for now := 3 * time.Second; now < 20*time.Second; now += measurePeriod {
		b.limitReached = true
		b.beginEvent(now, nil)
	}
	if b.countedServers != 12 {
		t.Errorf("%v servers count as capacity after refusals at a low latency ratio, want 12",
			b.countedServers)
	}
}

// Retries of rejected attempts must draw on the retry budget, since they multiply from tier to tier and
// keep a full tier full. Attempts without a connection are free: if servers accept few connections, a
// request must be able to find the one that does.
func TestRetriesUseRetryBudget(t *testing.T) {
	for result, limit := range map[Result]int{Rejected: 8 + retryBudgetMax, TimedOut: 8 + retryBudgetMax,
		ConnectFailed: 8 * 3} {
		if sends := countSends(result); sends > limit || result == ConnectFailed && sends < limit {
			t.Errorf("%d sends of 8 requests that all end with %d, want %d", sends, result, limit)
		}
	}
}

// countSends returns the number of sends for 8 requests whose attempts all end with the given result.
func countSends(result Result) int {
	b := newFrontNode(4)
	sends := offer(b, time.Second, 1, 8)
	for range 50 {
		for _, id := range slices.Sorted(maps.Keys(b.calls)) {
			c := b.calls[id]
			n := len(c.attempts) - 1
			end := Outcome{Request: id, Attempt: n, Server: c.attempts[n].server.ID, Result: result}
			for _, a := range b.HandleOutcome(time.Second, end, nil) {
				if a.Kind == Send {
					sends++
				}
			}
		}
	}
	return sends
}

// Admitting a rare high worth costs little: its curve must be shifted so that random fluctuation at one
// node does not refuse it. If it is most of the traffic it must not be shifted, or nothing limits the load.
func TestRareWorthIsRefusedLater(t *testing.T) {
	refusedAt := func(classes ...int) float64 {
		b := newFrontNode(4)
		for i := range 1000 {
			b.calls = map[uint64]*call{}
			offer(b, time.Second, classes[i%len(classes)], 1)
		}
		for p := 0.5; ; p += 0.01 {
			if b.latencyRatio, b.meanOpenCalls = shedStartRatio+p*(shedAllRatio-shedStartRatio),
				0; b.admitProbability(9) < 1 {
				return p
			}
		}
	}
	if rare, frequent := refusedAt(0, 0, 0, 0, 0, 0, 0, 1), refusedAt(1, 1, 1, 0); rare < 0.9 ||
		frequent > 0.6 {
		t.Errorf("worth 9 begins to be refused at pressure %.2f if it is rare, at %.2f if it is frequent",
			rare, frequent)
	}
}

// If a proxy silently drops idle connections, sends on them are lost at every server. Once that is
// detected, such connections must be closed first and the lost sends hedged. A single server that hangs is
// no such case.
func TestStaleIdleConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name string
		lost func(server string) bool
		want bool
	}{
		{"all lost", func(string) bool { return true }, true},
		{"one server hangs", func(id string) bool { return id == "s0" }, false},
	} {
		b := newFrontNode(6)
		b.cfg.MayHedge = true
		now, closed, hedged := time.Second, false, 0
		for range 12 {
			for range 4 { // leave some connections idle
				nextID++
				b.calls = map[uint64]*call{}
				for _, a := range b.HandleRequest(now, Request{ID: nextID, Class: 1, Tenant: -1,
					TTL: 2 * time.Second}, nil) {
					closed = closed || a.Kind == CloseIdle
					if a.Kind != Send {
						continue
					}
					if bucket := b.calls[nextID].attempts[0].idleBucket; bucket < 0 || !c.lost(a.Server) {
						b.HandleOutcome(now, Outcome{Request: nextID, Server: a.Server, Elapsed: ms,
							Final: true}, nil)
						continue
					}
					for _, action := range b.HandleTimer(now+900*ms, Timer{nextID}, nil) {
						if action.Kind == Send {
							hedged++
						}
					}
				}
			}
			now += 2 * time.Second
		}
		if closed != c.want || (hedged > 0) != c.want {
			t.Errorf("%s: connections closed %v, %d hedged sends, want %v", c.name, closed, hedged, c.want)
		}
	}
}

// If most servers accept no new connections, those with an idle one must be tried first: many connection
// attempts cost the servers work and the calls their time.
func TestIdleConnectionsArePreferredWhenConnectsFail(t *testing.T) {
	b := newFrontNode(6)
	b.servers["s3"].idleConns = []time.Duration{time.Second}
	otherPicks := 0
	for range 40 {
		if b.pickServer(&call{}).ID != "s3" {
			otherPicks++
		}
	}
	b.connectFailureRate = 2 * connectFailureThreshold
	for range 40 {
		if s := b.pickServer(&call{}); s.ID != "s3" {
			t.Fatalf("%s is picked although there is no connection to it", s.ID)
		}
	}
	if otherPicks == 0 {
		t.Error("nothing else is picked where connections can be had")
	}
}

// When a client has left, its open attempts are cancelled where that is allowed.
func TestDisconnectCancelsAttempts(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		b := newFrontNode(4)
		b.cfg.MayCancel = allowed
		offer(b, time.Second, 0, 1)
		out := b.HandleDisconnect(time.Second, Disconnect{nextID}, nil)
		if got := len(out) == 1 && out[0] == (Action{Kind: Cancel, Request: nextID}); got != allowed {
			t.Errorf("cancelling allowed: %v, actions %v", allowed, out)
		}
	}
}

// Refused clients retry at once. Marked retries must not displace first attempts of their worth, nor rank
// below first attempts of a lower worth.
func TestRetriesRankBelowFirstAttempts(t *testing.T) {
	b := New(Settings{MarksRetries: true, Classes: []Class{{Worth: 1}, {Worth: 9}}}, 1, 0)
	for at := 0.0; at < 1; at += 0.01 {
		b.latencyRatio = shedStartRatio + at*(shedAllRatio-shedStartRatio)
		p := []float64{b.admitProbability(1 * retryWorthFactor), b.admitProbability(1),
			b.admitProbability(9 * retryWorthFactor), b.admitProbability(9)}
		for i := range 3 {
			if p[i] > 0 && p[i+1] < 1 {
				t.Fatalf("at %v of the curves level %d is admitted with probability %v, the next with %v", at,
					i, p[i], p[i+1])
			}
		}
	}
}

// Each server must be in the subsets of about as many nodes as any other, whatever the nodes' numbers. A
// server in twice as many subsets would be overloaded while others idle, and no node could see it.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 76, 91
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: fmt.Sprintf("10.0.%d.%d:80", i%7, i)})
	}
	known := map[string]int{}
	half := map[string]int{} // counts the first half of the nodes only, as if they were one zone
	for i := range nodes {
		b := New(Settings{Node: i, Nodes: nodes, Classes: []Class{{Worth: 1}}}, uint64(i), 0)
		b.HandleList(0, ListUpdate{Kind: ListFull, Servers: list}, nil)
		for k := range len(b.localSubset) + len(b.remoteSubset) {
			known[b.subsetServer(k).ID]++
			if i < nodes/2 {
				half[b.subsetServer(k).ID]++
			}
		}
	}
	mean := float64(subsetSizeFront*servers/nodes*nodes) / servers
	for _, s := range list {
		if n := float64(known[s.ID]); math.Abs(n-mean) > 3 {
			t.Errorf("%s is known to %v nodes, %.1f on average", s.ID, n, mean)
		}
		if n := float64(half[s.ID]); math.Abs(n-mean/2) > 3 {
			t.Errorf("%s is known to %v of half the nodes, %.1f on average", s.ID, n, mean/2)
		}
	}
}

// A duplicate outcome, or one of an unknown attempt, must not change any state.
func TestInvalidOutcomesAreIgnored(t *testing.T) {
	b := newFrontNode(1)
	offer(b, time.Second, 0, 2)
	id := nextID
	lost := Outcome{Request: id, Server: "s0", Result: ConnectionLost, Elapsed: ms}
	for _, attempt := range []int{-1, 1, 7} {
		lost.Attempt = attempt
		b.HandleOutcome(time.Second, lost, nil)
	}
	if got := b.servers["s0"].inflight; got != 2 {
		t.Errorf("%d calls in flight after invalid outcomes, want 2", got)
	}
	lost.Attempt = 0
	b.HandleOutcome(time.Second, lost, nil) // the call is retried
	b.HandleOutcome(time.Second, lost, nil)
	if c := b.calls[id]; c == nil || c.openAttempts != 1 || len(c.attempts) != 2 {
		t.Errorf("a duplicate outcome counts twice: %+v", c)
	}
}

// Invalid settings and events must not panic, and every request must still get exactly one final response.
func TestInvalidInputIsAnswered(t *testing.T) {
	for i, cfg := range []Settings{
		{},
		{Node: -7, Nodes: -2, MaxAttempts: -1, Classes: []Class{{LatencyTarget: -time.Second, Deadline: -1,
			Worth: -3}}},
		{Tier: 9, Tiers: 2, MayAdviseRetry: true, MaxRetryAfter: -time.Second, Classes: []Class{{Worth: 1}},
			MustSubscribe: true},
		{Tenants: []Tenant{{Quota: -5}}, Classes: []Class{{Idempotency: 77, Group: 99, KeyTTL: -1}},
			WarmupTime: -1, CollapseWindow: -1},
	} {
		b := New(cfg, 1, time.Second)
		b.HandleList(time.Second, ListUpdate{Kind: ListFull,
			Servers: []Server{{}, {ID: "s", Weight: -1, Started: 5}}}, nil)
		responses, sends := map[uint64]int{}, map[uint64]string{}
		check := func(out []Action) {
			for _, a := range out {
				if a.Kind == Refuse || a.Kind == Fail {
					responses[a.Request]++
				}
				if a.Kind == Send {
					sends[a.Request] = a.Server
				}
				if a.Wait < 0 {
					t.Errorf("settings %d: a wait of %v", i, a.Wait)
				}
			}
		}
		for id := range uint64(6) {
			r := Request{ID: id, Class: int(id) - 2, Tenant: int(id) - 1,
				TTL: time.Duration(int(id)-1) * time.Second, Work: -1}
			check(b.HandleRequest(time.Second, r, nil))
			if id == 3 && sends[id] != "" { // duplicate
				check(b.HandleRequest(time.Second, r, nil))
			}
			check(b.HandleOutcome(time.Second, Outcome{Request: id, Attempt: 5, Server: "never", Result: 99,
				Elapsed: -1}, nil))
			check(b.HandleProbe(time.Second, ProbeResult{Server: "never"}, nil))
		}
		now := 20 * time.Second
		for range 3 {
			for _, id := range slices.Sorted(maps.Keys(b.calls)) {
				check(b.HandleTimer(now, Timer{id}, nil))
				if c := b.calls[id]; c != nil && c.openAttempts > 0 {
					n := len(c.attempts) - 1
					check(b.HandleOutcome(now, Outcome{Request: id, Attempt: n, Server: sends[id],
						Result: TimedOut}, nil))
				}
			}
		}
		for id := range uint64(6) {
			if responses[id] != 1 {
				t.Errorf("settings %d: %d answers to request %d", i, responses[id], id)
			}
		}
	}
}

// BenchmarkCall measures a request and its outcome at a node before many servers.
func BenchmarkCall(b *testing.B) {
	n := newFrontNode(300)
	var out []Action
	now := time.Second
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now += ms
		out = n.HandleRequest(now, Request{ID: id, Class: 1, Tenant: -1, TTL: time.Second}, out[:0])
		if out[0].Kind == Send {
			n.HandleOutcome(now+ms/2, Outcome{Request: id, Server: out[0].Server, Elapsed: ms / 2,
				Final: true}, out[:0])
		}
	}
}

// The slowness that was learned from one or two calls must decay quickly, because a slow server is seldom
// chosen: otherwise random measurements would starve good servers and overload the rest.
func TestSlownessDecays(t *testing.T) {
	b := newFrontNode(4)
	s := b.servers["s0"]
	for range 20 {
		b.recordLatency(b.servers["s1"], 0.2)
	}
	b.recordLatency(s, 2)
	fresh := b.slowness(s) - 1
	b.now += 5 * time.Second
	if left := (b.slowness(s) - 1) / fresh; fresh <= 0 || left > 0.1 {
		t.Errorf("after 5 s %.0f%% of a slowness of %.1f is left", 100*left, fresh)
	}
}

// A keyed call whose cell has only one server may be retried there instead of waiting until its deadline.
func TestKeyedCallReturnsToItsOnlyServer(t *testing.T) {
	b := newFrontNode(3) // all servers but the first one are in the same cell
	b.cfg.Classes[0].Idempotency, b.cfg.Classes[0].Group,
		b.cfg.Classes[0].KeyTTL = Keyed, GroupCell, time.Second
	b.servers["s0"].Cell = 1
	c := &call{Request: Request{ID: 1, TTL: time.Second}, mayHaveRun: true, mayHaveRunOn: b.servers["s0"]}
	c.attempts = []attempt{{server: b.servers["s0"], done: true}}
	if s := b.pickServer(c); s == nil || s.ID != "s0" {
		t.Errorf("picked %v, want the only server that knows the key", s)
	}
}

// A server that answers every call with an error at once has no open calls and would look the least loaded:
// it must be ejected. Its zone is not at fault.
func TestErringServerIsEjected(t *testing.T) {
	b := newFrontNode(4)
	s := b.servers["s1"]
	for range ejectAfterFailures {
		b.updateHealth(s, Errored)
	}
	if !s.unavailable(b.now) || s.zone.unavailable(b.now) {
		t.Errorf("ejected %v, its zone %v", s.unavailable(b.now), s.zone.unavailable(b.now))
	}
	if b.updateHealth(s, Served); s.unavailable(b.now) {
		t.Error("a server that serves again stays ejected")
	}
}

// A request with a malformed response may have run, but there was a response. So it must not eject the
// server or the zone, since all servers may behave alike, nor mark idle connections as dead. Its connection
// is closed, as is one whose response closed it: the next send must not count on it.
func TestMalformedResponses(t *testing.T) {
	now := time.Second
	b := newFrontNode(1)
	s := b.servers["s0"]
	send := func(result Result, closed bool) {
		t.Helper()
		now += 10 * time.Second // idle for long
		nextID++
		sent := false
		for _, a := range b.HandleRequest(now, Request{ID: nextID, Tenant: -1, TTL: 2 * time.Second}, nil) {
			sent = sent || a.Kind == Send
		}
		if !sent {
			t.Fatal("not sent")
		}
		b.HandleOutcome(now+ms, Outcome{Request: nextID, Server: "s0", Result: result, Final: true,
			ConnClosed: closed}, nil)
	}
	send(Served, false)
	if len(s.idleConns) != 1 {
		t.Errorf("%d idle connections after a response", len(s.idleConns))
	}
	for range 2 * ejectAfterFailures {
		send(Malformed, true)
		if len(s.idleConns) != 0 {
			t.Errorf("%d idle connections after a malformed response", len(s.idleConns))
		}
	}
	if s.ejections > 0 || s.zone.ejections > 0 || b.staleBucket < idleBuckets {
		t.Errorf("ejected %d times, its zone %d; stale from bucket %d", s.ejections, s.zone.ejections,
			b.staleBucket)
	}
	if send(Served, true); len(s.idleConns) != 0 {
		t.Errorf("%d idle connections after a response that closed its own", len(s.idleConns))
	}
}

// A connection that settles after its response must not be counted on: neither its price nor its idle time is
// that of the next send, and a server with a settled one is preferred while new connections fail.
func TestSettlingConnections(t *testing.T) {
	b := newFrontNode(2)
	b.cfg.ConnSettleTime, b.cfg.Penalties.Handshake = 10*ms, 0.5
	b.now = time.Minute
	settling, settled := b.servers["s0"], b.servers["s1"]
	settling.idleConns = []time.Duration{b.now - 5*ms}
	settled.idleConns = []time.Duration{b.now - time.Second, b.now - 300*ms, b.now - 5*ms}
	if b.load(settling) <= b.load(settled) {
		t.Errorf("load %v with a settling connection, %v with a settled one", b.load(settling), b.load(settled))
	}
	b.connectFailureRate = 2 * connectFailureThreshold
	if got := b.preferConnected([]*server{settling, settled}); len(got) != 1 || got[0] != settled {
		t.Errorf("prefers %d servers, want the one with a settled connection", len(got))
	}
	if bucket := b.takeConnection(settled); bucket != 1 || len(settled.idleConns) != 2 || settled.idleConns[1] != b.now-5*ms {
		t.Errorf("took a connection of bucket %d, left %v", bucket, settled.idleConns)
	}
	if bucket := b.takeConnection(settling); bucket != -1 || len(settling.idleConns) != 0 {
		t.Errorf("took a connection of bucket %d, left %v", bucket, settling.idleConns)
	}
	b.cfg.ConnIdleTimeout = 10 * time.Second
	settled.idleConns = []time.Duration{b.now - 20*time.Second, b.now - 11*time.Second, b.now - 5*ms}
	if bucket := b.takeConnection(settled); bucket != -1 || len(settled.idleConns) != 1 {
		t.Errorf("took an expired connection of bucket %d, left %v", bucket, settled.idleConns)
	}
}
