package decide

import (
	"math"
	"testing"
	"time"
)

// limitSimulation feeds a concurrencyLimit with the responses of a simulated server that has the given
// cores and service time, in latency targets. The limit knows neither.
type limitSimulation struct {
	concurrencyLimit
	now         time.Duration
	cores       float64
	serviceTime float64
}

func newLimitSimulation(cores, serviceTime float64) *limitSimulation {
	return &limitSimulation{concurrencyLimit: newConcurrencyLimit(LimitLearned, 5, 0, time.Second),
		cores: cores, serviceTime: serviceTime}
}

// hold simulates responses, one per millisecond, at a number of calls held on a server. Calls are refused
// if that number reaches the limit.
func (l *limitSimulation) hold(callsHeld float64, responses int) {
	for range responses {
		l.now += ms
		l.reached = l.reached || callsHeld >= l.perServer()
		l.concurrencyLimit.record(l.now, l.serviceTime*max(1, callsHeld/l.cores), false, callsHeld)
		if l.now%(200*ms) == 0 {
			l.update(l.now, 1)
		}
	}
}

func TestLimitBeforeFirstResponse(t *testing.T) {
	limit := newConcurrencyLimit(LimitLearned, 5, 0, time.Second)
	if c := limit.perServer(); c != clearFraction/initialMinLatency {
		t.Errorf("limit of %v calls", c)
	}
}

// A node that starts during an overload has no response times yet, but it waits for one: the longer, the
// lower the limit. Without calls it waits for nothing.
func TestLimitWhileFirstResponseIsOutstanding(t *testing.T) {
	limit := newConcurrencyLimit(LimitLearned, 5, 0, time.Second)
	limit.update(10*time.Second, 0)
	if c := limit.perServer(); c != clearFraction/initialMinLatency {
		t.Errorf("idle for 10 s: limit of %v calls", c)
	}
	limit.update(10*time.Second+50*ms, 1)
	if c := limit.perServer(); c != 10 {
		t.Errorf("50 ms without a response: limit of %v calls, want 10", c)
	}
	limit.update(10*time.Second+300*ms, 1)
	if c := limit.perServer(); c != 5 {
		t.Errorf("300 ms without a response: limit of %v calls, want the assumed 5", c)
	}
	limit.record(10*time.Second+310*ms, 0.04, false, 1) // the list of servers took long, not the response
	if c := limit.perServer(); c != 12.5 {
		t.Errorf("after one response in 0.04 latency targets: limit of %v calls, want 12.5", c)
	}
}

// Any number of calls that take a thousandth of the latency target is cleared in time; calls that take a
// third of it leave the assumed limit.
func TestLimitIsClearedWithinTarget(t *testing.T) {
	for _, c := range []struct{ serviceTime, low, high float64 }{{0.002, 200, 300}, {0.02, 20, 30},
		{0.3, 5, 5}, {2, 5, 5}} {
		l := newLimitSimulation(1, c.serviceTime)
		l.hold(1, 400)
		if got := l.perServer(); got < c.low || got > c.high {
			t.Errorf("responses in %v latency targets: limit of %v calls, want %v to %v", c.serviceTime, got,
				c.low, c.high)
		}
	}
}

// If more calls do not lengthen response times there are more cores. They are found while the limit causes
// refusals, and no more of them than there are.
func TestLimitLearnsCores(t *testing.T) {
	for _, cores := range []float64{1, 8, 64} {
		l := newLimitSimulation(cores, 0.15)
		for range 60 { // the load is as high as the limit
			l.hold(l.perServer(), 1000)
		}
		got := l.perServer()
		if want := max(5, cores); got < 0.8*want || got > 2*want {
			t.Errorf("%v cores: limit of %v calls", cores, got)
		}
	}
}

// Slow must not become the baseline: while servers are ten times slower for longer than the memory of the
// minimum, the limit only falls, and it recovers soon afterwards.
func TestLimitDuringSlowdown(t *testing.T) {
	l := newLimitSimulation(8, 0.02)
	for range 20 {
		l.hold(l.perServer(), 1000)
	}
	before := l.perServer()
	l.serviceTime = 0.2
	for range 40 {
		l.hold(6, 1000)
		if got := l.perServer(); got > before*1.05 {
			t.Fatalf("limit of %v calls during the fault, %v before", got, before)
		}
	}
	l.serviceTime = 0.02
	for range 3 {
		l.hold(l.perServer(), 1000)
	}
	if got := l.perServer(); got < before/3 {
		t.Errorf("limit of %v calls 3 s after the fault, %v before", got, before)
	}
}

// A node with two requests per second learns as well, only later.
func TestLimitFromFewSamples(t *testing.T) {
	l := newLimitSimulation(1, 0.002)
	for range 20 {
		l.now += 500 * ms
		l.concurrencyLimit.record(l.now, 0.002, false, 1)
		l.update(l.now, 1)
	}
	if got := l.perServer(); got < 200 {
		t.Errorf("limit of %v calls after 20 responses", got)
	}
}

func TestUnusedLimitDecays(t *testing.T) {
	l := newLimitSimulation(64, 0.15)
	for range 60 {
		l.hold(l.perServer(), 1000)
	}
	for range 120 {
		l.hold(1, 1000)
	}
	if l.learnedCores > 2 {
		t.Errorf("%v cores are still assumed after two minutes without need", l.learnedCores)
	}
}

func TestFixedAndUnlimitedModes(t *testing.T) {
	for mode, want := range map[LimitMode]float64{LimitFixed: 5, LimitNone: math.Inf(1)} {
		if limit := newConcurrencyLimit(mode, 5, 0, time.Second); limit.perServer() != want {
			t.Errorf("mode %d: limit of %v calls, want %v", mode, limit.perServer(), want)
		}
	}
}

// Servers with short queues reject calls long before response times rise. The limit is then what they held,
// reduced, and grows back.
func TestLimitWithShortQueues(t *testing.T) {
	l := newLimitSimulation(2, 0.001)
	l.hold(1, 200)
	for range 64 {
		l.now += ms
		l.concurrencyLimit.record(l.now, 0.001, true, 100)
	}
	l.update(l.now, 100)
	if got := l.perServer(); got != rejectionBackoff*100 {
		t.Errorf("limit of %v calls if servers were full at 100", got)
	}
	l.hold(1, 2000)
	if got := l.perServer(); got < 200 {
		t.Errorf("limit of %v calls after 2 s without rejections", got)
	}
	for i := range 64 { // one server in twenty rejects everything
		l.concurrencyLimit.record(l.now, 0.001, i%20 == 0, 100)
	}
	l.update(l.now, 100)
	if got := l.perServer(); got < 200 {
		t.Errorf("limit of %v calls because of one bad server", got)
	}
}

// A node without any request so far waits for no response: a burst before fast servers that arrives late in
// a period must not be refused because of the idle time before it.
func TestBurstAtTheStartIsNotRefused(t *testing.T) {
	for idle := time.Duration(0); idle < measurePeriod; idle += 10 * ms {
		b := newFrontNode(8)
		start := time.Second + idle
		if sent := offer(b, start, 0, 100); sent < 100 {
			t.Errorf("burst %v after the start: %d of 100 sent", idle, sent)
		}
		// The period ends before the first response.
		if next := time.Second + measurePeriod; next-start <= 20*ms && offer(b, next, 0, 1) < 1 {
			t.Errorf("refused %v after a burst", next-start)
		}
	}
}

// The time to dial is not part of the service time, and must not lower the limit.
func TestDialTimeIsNotServiceTime(t *testing.T) {
	for _, dial := range []time.Duration{0, 90 * ms} {
		b := newFrontNode(8)
		from := nextID
		offer(b, time.Second, 0, 64)
		for id := from + 1; id <= nextID; id++ {
			c := b.calls[id]
			b.HandleOutcome(time.Second+100*ms, Outcome{
				Request: id, Server: c.attempts[0].server.ID, Result: Served, Elapsed: 100 * ms,
				DialTime: dial, Final: true,
			}, nil)
		}
		if got, want := b.limit.minLatency[0], (100*ms - dial).Seconds(); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v of 100 ms spent dialling: the minimum is %v latency targets, want %v", dial, got,
				want)
		}
	}
}

// A node that may use only a few servers of a stored list counts its share of the whole fleet as capacity,
// not of these few. Requests that must not run twice do not go to servers that have not responded yet.
func TestPartOfStoredList(t *testing.T) {
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: string(rune('a' + i)), Unverified: true})
	}
	start := func(fleetSize int) *Balancer {
		b := New(Settings{
			Nodes: 300, MaxAttempts: 3, AnswerGrace: 10 * ms,
			Classes: []Class{
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1, Idempotency: AtMostOnce},
			},
		}, 1, time.Second)
		b.HandleList(time.Second, ListUpdate{Kind: ListStored, Servers: list, FleetSize: fleetSize}, nil)
		return b
	}
	for _, fleetSize := range []int{0, 300} {
		if sent := offer(start(fleetSize), time.Second, 0, 16); (sent == 16) != (fleetSize == 300) {
			t.Errorf("fleet size %d: %d of 16 sent", fleetSize, sent)
		}
	}
	b := start(300)
	if sent := offer(b, time.Second, 1, 1); sent > 0 {
		t.Error("a request that must not run twice went to an unverified server")
	}
	verified := list[0]
	verified.Unverified = false
	b.HandleList(time.Second, ListUpdate{Kind: ListLocal, Servers: []Server{verified}, FleetSize: 300},
		nil)
	if sent := offer(b, time.Second, 1, 2); sent != 2 {
		t.Errorf("%d of 2 requests that must not run twice went to the verified server", sent)
	}
}

// The first update of the latency ratio is weighted by its number of outcomes. If 128 clients arrive late
// in a period, all of them have waited a little and one or two responses have come: that is no overload. A
// node that starts during an overload must still detect it.
func TestFirstRatioIsWeightedByOutcomes(t *testing.T) {
	answer := func(b *Balancer, id uint64, at, serviceTime time.Duration) {
		c := b.calls[id]
		b.HandleOutcome(at, Outcome{Request: id, Server: c.attempts[0].server.ID, Result: Served,
			Elapsed: serviceTime, Final: true}, nil)
	}
	for late := 10 * ms; late <= 30*ms; late += 2 * ms {
		for responses := uint64(1); responses <= 4; responses++ {
			b := newFrontNode(8)
			from := nextID
			end := time.Second + measurePeriod
			offer(b, end-late, 0, 128)
			for i := range responses {
				answer(b, from+1+i, end-ms, late-ms)
			}
			if sent := offer(b, end, 0, 10); sent < 10 {
				t.Errorf("128 clients %v before the period's end, %d answered: %d of 10 sent", late,
					responses, sent)
			}
		}
	}
	// 150 requests per second at a node whose servers answer one per 70 ms: within three periods it must
	// refuse all.
	b, done := newFrontNode(8), nextID
	now := time.Second
	for ; now < time.Second+3*measurePeriod; now += 10 * ms {
		b.HandleRequest(now, Request{ID: nextID + 1, Tenant: -1, TTL: 5 * time.Second}, nil)
		nextID++
		if now%(70*ms) == 0 && b.calls[done+1] != nil {
			answer(b, done+1, now, 200*ms)
			done++
		}
	}
	b.HandleRequest(now, Request{ID: nextID + 1, Tenant: -1, TTL: 5 * time.Second}, nil)
	nextID++
	if b.latencyRatio < shedAllRatio {
		t.Errorf("after three periods of overload the latency ratio is %.2f", b.latencyRatio)
	}
}
