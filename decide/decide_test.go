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
		{0.95, 0.55, 1.05, 0.2}, // the paper's printed middle would give 0.8
		{1.05, 0.55, 1.05, 0},
		{9, 0.55, 1.05, 0},
	} {
		if got := curve(c.r, c.a, c.b); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("curve(%v, %v, %v) = %v, want %v", c.r, c.a, c.b, got, c.want)
		}
	}
}

// node returns a front proxy, alone before n servers, with a low and a high worth.
func node(n int) *Balancer {
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

// offer sends a node n requests of a class at once and counts those it sends on.
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

// Servers that turn slow when crowded do so before r has risen: a second of overload with no answer yet
// must not pile up on them, and what there is room for goes to the higher worth.
func TestCrowdingIsRefusedBeforeAnswers(t *testing.T) {
	b := node(4)
	room := int(4 * b.limit.perServer()) // before any answer, what it is taken to be
	low := offer(b, time.Second, 0, 500)
	if low < room || low > 2*room {
		t.Errorf("%d calls of low worth let in on 4 servers, no crowd is %d", low, room)
	}
	if high := offer(b, time.Second, 1, 500); high == 0 || low+high > 3*room {
		t.Errorf("%d calls of high worth let in after %d", high, low)
	}
}

// twoZones returns a front proxy of zone x among four, before two servers in each of zones x and y.
func twoZones(price float64) *Balancer {
	b := New(Settings{
		Nodes: 4, MaxAttempts: 3, AnswerGrace: 10 * ms, Zone: "x", Penalties: Penalties{CrossZone: price},
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: []Server{
		{ID: "x1", Zone: "x"}, {ID: "x2", Zone: "x"}, {ID: "y1", Zone: "y"}, {ID: "y2", Zone: "y"},
	}}, nil)
	return b
}

// A call goes to another zone for an idler server only where the time saved is worth the crossing.
func TestCrossingIsWeighedByItsPrice(t *testing.T) {
	for _, c := range []struct {
		price, late, want float64
	}{{0, 0.4, 1}, {0.2, 0.4, 2}, {0.2, 0.25, 5}, {0.2, 0.1, 1000}, {0.2, 0, 1000}} {
		b := twoZones(c.price)
		b.meanLatency = c.late
		if got := b.priceFactor(b.cfg.Penalties.CrossZone); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("price %v, response time %v: a far server counts %v times, want %v", c.price, c.late, got, c.want)
		}
	}
}

// A new connection has a price: of two servers that are about as loaded the one with a connection to spare is
// taken, and one that is idler by more than the price all the same.
func TestNewConnectionIsWeighedByItsPrice(t *testing.T) {
	for _, c := range []struct {
		price, slower float64 // of the server with a connection
		want          string
	}{{0, 1.05, "b"}, {0.03, 1.05, "a"}, {0.03, 1.2, "b"}} {
		b := node(0)
		b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}}}, nil)
		b.cfg.Penalties.Handshake, b.meanLatency = c.price, 0.3
		b.servers["a"].idleConns = []time.Duration{time.Second}
		b.servers["a"].extraSlowness, b.servers["a"].extraSlownessAt = c.slower-1, time.Second
		out := b.HandleRequest(time.Second, Request{ID: 1, Tenant: -1, TTL: time.Second}, nil)
		if len(out) == 0 || out[0].Kind != Send || out[0].Server != c.want {
			t.Errorf("price %v, the connected one %v times as slow: %+v, want a send to %s", c.price, c.slower, out, c.want)
		}
	}
}

// timeOut ends every call sent to a server with a time-out.
func timeOut(b *Balancer, now time.Duration, server string) {
	for _, id := range slices.Sorted(maps.Keys(b.calls)) {
		c := b.calls[id]
		if n := len(c.attempts) - 1; n >= 0 && c.openAttempts > 0 && c.attempts[n].server.ID == server {
			b.HandleOutcome(now, Outcome{Request: id, Attempt: n, Server: server, Result: TimedOut, Elapsed: time.Second}, nil)
		}
	}
}

// A server that hangs must not swallow a full share of calls each time its ejection ends, and what it held
// must not move on to crowd the others.
func TestHungServerIsTriedOneCallAtATime(t *testing.T) {
	b := node(4)
	now := time.Second
	offer(b, now, 1, 20)
	now += time.Second
	timeOut(b, now, "s0")
	hung := b.servers["s0"]
	if hung.ejectedUntil <= now {
		t.Fatal("a server with nothing but time-outs is not ejected")
	}
	room := 3 * b.limit.perServer()
	if got, want := b.utilization(), b.meanOpenCalls/(room+math.Sqrt(room)/2); math.Abs(got-want) > 1e-9 {
		t.Errorf("crowding %v, want %v: an ejected server is no room", got, want)
	}
	now = hung.ejectedUntil + ms
	for range 50 {
		b.latencyRatio = 0
		offer(b, now, 1, 1)
		if hung.inflight > 1 {
			t.Fatalf("%d calls to a server on trial", hung.inflight)
		}
	}
	if hung.inflight == 0 {
		t.Error("an ejected server is never tried again")
	}
}

// A zone cut off from this node must be given up as one: to eject its servers one by one takes many calls,
// and each call that cannot connect loses time.
func TestZoneCutOffIsEjected(t *testing.T) {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms, Zone: "x",
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	var list []Server
	for i := range 5 {
		list = append(list, Server{ID: fmt.Sprint("x", i), Zone: "x"}, Server{ID: fmt.Sprint("y", i), Zone: "y"})
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
		s.recordSuccess() // leave only what is held against the zone
		if s.local == (id[0] == 'y') {
			t.Errorf("%s near: %v", id, s.local)
		}
	}
	c := &call{}
	for range 50 {
		if s := b.pickServer(c); s.Zone == "y" {
			t.Fatalf("%s is picked, of a zone that is cut off", s.ID)
		}
	}
	b.updateHealth(b.servers["y0"], Served)
	if b.zones["y"].unavailable(now) {
		t.Error("a zone that serves again stays ejected")
	}
}

// A restarted process must not inherit what was held against the one before.
func TestRestartClearsWhatWasHeldAgainstAServer(t *testing.T) {
	b := node(4)
	s := b.servers["s1"]
	for range 3 {
		b.updateHealth(s, ConnectionLost)
		b.recordLatency(s, 5)
	}
	now := 2 * time.Second
	b.cfg.ColdCapacity, b.cfg.WarmupTime, b.cfg.CollapseWindow, b.cfg.CollapseMultiple = 1, time.Second, time.Second, 2
	b.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "s1", Started: now}}}, nil)
	if s.unavailable(now) {
		t.Error("a new process is ejected for the old one's failures")
	}
	if got := b.slowness(s); got != 1 {
		t.Errorf("a new process counts as %v times as slow, for the old one's answers", got)
	}
}

// A node with room for few calls sees them vary by chance; that is no crowd of the servers, as other nodes
// then have fewer.
func TestChanceIsNoCrowd(t *testing.T) {
	few, many := node(1), node(100)
	for b, n := range map[*Balancer]float64{few: 1, many: 100} {
		b.limit.mode = LimitFixed
		b.meanOpenCalls = n * b.limit.perServer()
	}
	if c := few.utilization(); c > 0.9 {
		t.Errorf("crowding %v where one server has what it holds on average", c)
	}
	if c := many.utilization(); c < 0.9 {
		t.Errorf("crowding %v where a hundred servers have", c)
	}
}

// A moment with many calls at a node that sees few is chance, and no reason to refuse the highest worth.
func TestMomentaryCrowdIsAveraged(t *testing.T) {
	b := node(1)
	b.meanOpenCalls = 1
	for i := range 9 {
		b.calls[1000+uint64(i)] = &call{}
	}
	offer(b, time.Second, 1, 1)
	if p := b.admitProbability(9); p < 1 {
		t.Errorf("the highest worth is let in with %v after a moment of 9 calls", p)
	}
	offer(b, time.Second, 1, 50)
	if p := b.admitProbability(9); p > 0 {
		t.Errorf("the highest worth is let in with %v where 9 calls and more stay", p)
	}
}

// A fleet whose first tier grows threefold has room for no more calls until r has stayed calm for a while:
// the tiers below may be what is short.
func TestGrownFleetIsNoRoomAtOnce(t *testing.T) {
	b := node(4)
	b.meanOpenCalls = 10
	before := b.utilization()
	var list []Server
	for i := range 12 {
		list = append(list, Server{ID: fmt.Sprint("s", i)})
	}
	b.HandleList(2*time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	if c := b.utilization(); c < before {
		t.Errorf("crowding falls from %v to %v as servers are added", before, c)
	}
	b.latencyRatio = 0.2
	for now := 3 * time.Second; now < 20*time.Second; now += measurePeriod {
		b.limitReached = true
		b.beginEvent(now, nil)
	}
	if b.countedServers != 12 {
		t.Errorf("%v servers count as room after calm refusals, want 12", b.countedServers)
	}
}

// Tries that were turned away unseen must be counted too: tier by tier they multiply into the storm that
// keeps a tier full.
// Those without a connection did not; where servers accept few, a request must find the one that does.
func TestRetriesDrawOnTheBudget(t *testing.T) {
	for result, most := range map[Result]int{Rejected: 8 + retryBudgetMax, TimedOut: 8 + retryBudgetMax, ConnectFailed: 8 * 3} {
		if sends := storm(result); sends > most || result == ConnectFailed && sends < most {
			t.Errorf("%d sends of 8 requests that all end with %d, want %d", sends, result, most)
		}
	}
}

// storm counts the sends of 8 requests whose attempts all end with a result.
func storm(result Result) int {
	b := node(4)
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

// Where a high worth is rare, letting it in costs little: its curve must stand off, so that the noise of one
// node does not refuse it. Where it is most of the traffic it must not, or nothing holds the load down.
func TestRareWorthStandsOff(t *testing.T) {
	refusedAt := func(classes ...int) float64 {
		b := node(4)
		for i := range 1000 {
			b.calls = map[uint64]*call{}
			offer(b, time.Second, classes[i%len(classes)], 1)
		}
		for p := 0.5; ; p += 0.01 {
			if b.latencyRatio, b.meanOpenCalls = shedStartRatio+p*(shedAllRatio-shedStartRatio), 0; b.admitProbability(9) < 1 {
				return p
			}
		}
	}
	if rare, most := refusedAt(0, 0, 0, 0, 0, 0, 0, 1), refusedAt(1, 1, 1, 0); rare < 0.9 || most > 0.6 {
		t.Errorf("worth 9 begins to be refused at pressure %.2f where it is rare, at %.2f where it is most", rare, most)
	}
}

// Connections that a proxy drops unseen when idle lose what is sent on them, at whatever server: once that is
// proven they must be hung up first, what was lost goes again, and one server that hangs proves nothing.
func TestDeadIdleConnectionsAreHungUp(t *testing.T) {
	for _, c := range []struct {
		name string
		lost func(server string) bool
		want bool
	}{
		{"all lost", func(string) bool { return true }, true},
		{"one server hangs", func(id string) bool { return id == "s0" }, false},
	} {
		b := node(6)
		b.cfg.MayHedge = true
		now, hung, copies := time.Second, false, 0
		for range 12 {
			for range 4 { // leave some idle
				nextID++
				b.calls = map[uint64]*call{}
				for _, a := range b.HandleRequest(now, Request{ID: nextID, Class: 1, Tenant: -1, TTL: 2 * time.Second}, nil) {
					hung = hung || a.Kind == CloseIdle
					if a.Kind != Send {
						continue
					}
					if span := b.calls[nextID].attempts[0].idleBucket; span < 0 || !c.lost(a.Server) {
						b.HandleOutcome(now, Outcome{Request: nextID, Server: a.Server, Elapsed: ms, Final: true}, nil)
						continue
					}
					for _, again := range b.HandleTimer(now+900*ms, Timer{nextID}, nil) {
						if again.Kind == Send {
							copies++
						}
					}
				}
			}
			now += 2 * time.Second
		}
		if hung != c.want || (copies > 0) != c.want {
			t.Errorf("%s: hung up %v, %d copies, want %v", c.name, hung, copies, c.want)
		}
	}
}

// Where most servers accept no new connection, those with one to spare must be tried first; a storm of
// connects costs the servers work and the calls their time.
func TestMadeConnectionsArePreferredWhereNewOnesFail(t *testing.T) {
	b := node(6)
	b.servers["s3"].idleConns = []time.Duration{time.Second}
	others := 0
	for range 40 {
		if b.pickServer(&call{}).ID != "s3" {
			others++
		}
	}
	b.connectFailureRate = 2 * connectFailureThreshold
	for range 40 {
		if s := b.pickServer(&call{}); s.ID != "s3" {
			t.Fatalf("%s is picked, to which there is no connection", s.ID)
		}
	}
	if others == 0 {
		t.Error("nothing else is picked where connections can be had")
	}
}

// A client that has left wants no answer: what is out for it is called off where that is allowed.
func TestAttemptsOfALeftClientAreCancelled(t *testing.T) {
	for _, may := range []bool{true, false} {
		b := node(4)
		b.cfg.MayCancel = may
		offer(b, time.Second, 0, 1)
		out := b.HandleDisconnect(time.Second, Disconnect{nextID}, nil)
		if got := len(out) == 1 && out[0] == (Action{Kind: Cancel, Request: nextID}); got != may {
			t.Errorf("cancels allowed: %v, actions %v", may, out)
		}
	}
}

// Refused clients come back at once; marked repeats must not crowd out the first tries of their worth, nor
// give way to first tries of a lesser one.
func TestRepeatsGiveWayToFirstTries(t *testing.T) {
	b := New(Settings{MarksRetries: true, Classes: []Class{{Worth: 1}, {Worth: 9}}}, 1, 0)
	for at := 0.0; at < 1; at += 0.01 {
		b.latencyRatio = shedStartRatio + at*(shedAllRatio-shedStartRatio)
		p := []float64{b.admitProbability(1 * retryWorthFactor), b.admitProbability(1), b.admitProbability(9 * retryWorthFactor), b.admitProbability(9)}
		for i := range 3 {
			if p[i] > 0 && p[i+1] < 1 {
				t.Fatalf("at %v of the stack level %d is let in with %v, the next with %v", at, i, p[i], p[i+1])
			}
		}
	}
}

// Each server must be known by about as many nodes as any other, whatever the nodes' numbers: where one is
// known by twice as many, it is crowded while others idle, and no node can see it.
func TestSubsetsCoverServersEvenly(t *testing.T) {
	const nodes, servers = 76, 91
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: fmt.Sprintf("10.0.%d.%d:80", i%7, i)})
	}
	known := map[string]int{}
	half := map[string]int{} // by the first half of the nodes, as if these were one zone's
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
			t.Errorf("%s is known by %v nodes, %.1f on average", s.ID, n, mean)
		}
		if n := float64(half[s.ID]); math.Abs(n-mean/2) > 3 {
			t.Errorf("%s is known by %v of half the nodes, %.1f on average", s.ID, n, mean/2)
		}
	}
}

// An outcome told twice, or of an attempt never made, must not change what is known.
func TestOddOutcomesAreIgnored(t *testing.T) {
	b := node(1)
	offer(b, time.Second, 0, 2)
	id := nextID
	lost := Outcome{Request: id, Server: "s0", Result: ConnectionLost, Elapsed: ms}
	for _, attempt := range []int{-1, 1, 7} {
		lost.Attempt = attempt
		b.HandleOutcome(time.Second, lost, nil)
	}
	if got := b.servers["s0"].inflight; got != 2 {
		t.Errorf("%d calls in flight after odd outcomes, want 2", got)
	}
	lost.Attempt = 0
	b.HandleOutcome(time.Second, lost, nil) // goes again
	b.HandleOutcome(time.Second, lost, nil)
	if c := b.calls[id]; c == nil || c.openAttempts != 1 || len(c.attempts) != 2 {
		t.Errorf("an outcome told twice counts twice: %+v", c)
	}
}

// Settings and events that make no sense must not panic, and every request must still get its one answer.
func TestNonsenseIsAnswered(t *testing.T) {
	for i, set := range []Settings{
		{},
		{Node: -7, Nodes: -2, MaxAttempts: -1, Classes: []Class{{LatencyTarget: -time.Second, Deadline: -1, Worth: -3}}},
		{Tier: 9, Tiers: 2, MayAdviseRetry: true, MaxRetryAfter: -time.Second, Classes: []Class{{Worth: 1}}, MustSubscribe: true},
		{Tenants: []Tenant{{Quota: -5}}, Classes: []Class{{Idempotency: 77, Group: 99, KeyTTL: -1}}, WarmupTime: -1, CollapseWindow: -1},
	} {
		b := New(set, 1, time.Second)
		b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: []Server{{}, {ID: "s", Weight: -1, Started: 5}}}, nil)
		answers, sends := map[uint64]int{}, map[uint64]string{}
		take := func(out []Action) {
			for _, a := range out {
				if a.Kind == Refuse || a.Kind == Fail {
					answers[a.Request]++
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
			r := Request{ID: id, Class: int(id) - 2, Tenant: int(id) - 1, TTL: time.Duration(int(id)-1) * time.Second, Work: -1}
			take(b.HandleRequest(time.Second, r, nil))
			if id == 3 && sends[id] != "" { // told twice
				take(b.HandleRequest(time.Second, r, nil))
			}
			take(b.HandleOutcome(time.Second, Outcome{Request: id, Attempt: 5, Server: "never", Result: 99, Elapsed: -1}, nil))
			take(b.HandleProbe(time.Second, ProbeResult{Server: "never"}, nil))
		}
		now := 20 * time.Second
		for range 3 {
			for _, id := range slices.Sorted(maps.Keys(b.calls)) {
				take(b.HandleTimer(now, Timer{id}, nil))
				if c := b.calls[id]; c != nil && c.openAttempts > 0 {
					n := len(c.attempts) - 1
					take(b.HandleOutcome(now, Outcome{Request: id, Attempt: n, Server: sends[id], Result: TimedOut}, nil))
				}
			}
		}
		for id := range uint64(6) {
			if answers[id] != 1 {
				t.Errorf("settings %d: %d answers to request %d", i, answers[id], id)
			}
		}
	}
}

// BenchmarkCall measures a request and its outcome at a node before a large fleet.
func BenchmarkCall(b *testing.B) {
	n := node(300)
	var out []Action
	now := time.Second
	b.ReportAllocs()
	for id := uint64(1); b.Loop(); id++ {
		now += ms
		out = n.HandleRequest(now, Request{ID: id, Class: 1, Tenant: -1, TTL: time.Second}, out[:0])
		if out[0].Kind == Send {
			n.HandleOutcome(now+ms/2, Outcome{Request: id, Server: out[0].Server, Elapsed: ms / 2, Final: true}, out[:0])
		}
	}
}

// What was learnt of a server from a call or two must fade before it is seldom asked again: kept for long,
// chance judgements starve good servers and crowd the rest.
func TestSlownessFades(t *testing.T) {
	b := node(4)
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

// A keyed call whose cell has one server may go there again; it must not wait, polling, until its end.
func TestKeyedCallReturnsToItsOnlyServer(t *testing.T) {
	b := node(3) // all servers in one cell but for the first
	b.cfg.Classes[0].Idempotency, b.cfg.Classes[0].Group, b.cfg.Classes[0].KeyTTL = Keyed, GroupCell, time.Second
	b.servers["s0"].Cell = 1
	c := &call{Request: Request{ID: 1, TTL: time.Second}, mayHaveRun: true, mayHaveRunOn: b.servers["s0"]}
	c.attempts = []attempt{{server: b.servers["s0"], done: true}}
	if s := b.pickServer(c); s == nil || s.ID != "s0" {
		t.Errorf("picked %v, want the only server that knows the call", s)
	}
}

// A server that answers every call with an error at once holds none, and would
// look the least loaded of all: it must be ejected. Its zone is not at fault.
func TestErringServerIsEjected(t *testing.T) {
	b := node(4)
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

// A spoilt answer may have run, but it came: it must not eject its server or
// zone, for all servers may spoil alike, nor count as proof that connections die
// while idle. Its connection is gone, and so is one that its answer closed: a
// send that counted on it would need a new one.
func TestSpoiltAnswers(t *testing.T) {
	now := time.Second
	b := node(1)
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
		b.HandleOutcome(now+ms, Outcome{Request: nextID, Server: "s0", Result: result, Final: true, ConnClosed: closed}, nil)
	}
	send(Served, false)
	if len(s.idleConns) != 1 {
		t.Errorf("%d idle connections after an answer", len(s.idleConns))
	}
	for range 2 * ejectAfterFailures {
		send(Malformed, true)
		if len(s.idleConns) != 0 {
			t.Errorf("%d idle connections after a spoilt answer", len(s.idleConns))
		}
	}
	if s.ejections > 0 || s.zone.ejections > 0 || b.staleBucket < idleBuckets {
		t.Errorf("ejected %d times, its zone %d; dead from span %d", s.ejections, s.zone.ejections, b.staleBucket)
	}
	if send(Served, true); len(s.idleConns) != 0 {
		t.Errorf("%d idle connections after an answer that closed its own", len(s.idleConns))
	}
}
