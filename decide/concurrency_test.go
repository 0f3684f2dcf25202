package decide

import (
	"math"
	"testing"
	"time"
)

// learner feeds a room answers of a plant: a server of so many cores with a
// service time in aims, at so many calls held, of which the room knows nothing.
type learner struct {
	concurrencyLimit
	now   time.Duration
	cores float64
	took  float64
}

func newLearner(cores, took float64) *learner {
	return &learner{concurrencyLimit: newConcurrencyLimit(LimitLearned, 5, 0, time.Second), cores: cores, took: took}
}

// hold plays so many answers at so many calls held a server, a millisecond apart;
// calls are refused where that is above the room.
func (l *learner) hold(held float64, answers int) {
	for range answers {
		l.now += ms
		l.reached = l.reached || held >= l.perServer()
		l.concurrencyLimit.record(l.now, l.took*max(1, held/l.cores), false, held)
		if l.now%(200*ms) == 0 {
			l.update(l.now, 1)
		}
	}
}

func TestRoomBeforeAnyAnswer(t *testing.T) {
	m := newConcurrencyLimit(LimitLearned, 5, 0, time.Second)
	if c := m.perServer(); c != clearFraction/initialMinLatency {
		t.Errorf("room for %v calls", c)
	}
}

// A node that starts in the midst of an overload has no answer to go by, but it
// waits for one: the longer, the less room. Without calls it waits for nothing.
func TestRoomWhileTheFirstAnswerIsWaitedFor(t *testing.T) {
	m := newConcurrencyLimit(LimitLearned, 5, 0, time.Second)
	m.update(10*time.Second, 0)
	if c := m.perServer(); c != clearFraction/initialMinLatency {
		t.Errorf("idle for 10 s: room for %v calls", c)
	}
	m.update(10*time.Second+50*ms, 1)
	if c := m.perServer(); c != 10 {
		t.Errorf("50 ms without an answer: room for %v calls, want 10", c)
	}
	m.update(10*time.Second+300*ms, 1)
	if c := m.perServer(); c != 5 {
		t.Errorf("300 ms without an answer: room for %v calls, want the presumed 5", c)
	}
	m.record(10*time.Second+310*ms, 0.04, false, 1) // it was the listing that took long
	if c := m.perServer(); c != 12.5 {
		t.Errorf("after one answer in 0.04 aims: room for %v calls, want 12.5", c)
	}
}

// Answers in a thousandth of the aim are cleared in time whatever their number;
// those in a third of it leave the presumed room.
func TestRoomIsWhatIsClearedInTheAim(t *testing.T) {
	for _, c := range []struct{ took, least, most float64 }{{0.002, 200, 300}, {0.02, 20, 30}, {0.3, 5, 5}, {2, 5, 5}} {
		l := newLearner(1, c.took)
		l.hold(1, 400)
		if got := l.perServer(); got < c.least || got > c.most {
			t.Errorf("answers in %v aims: room for %v calls, want %v to %v", c.took, got, c.least, c.most)
		}
	}
}

// Where more calls do not lengthen answers there are more cores; they are found
// while calls are refused for want of room, and not beyond what is there.
func TestRoomLearnsCores(t *testing.T) {
	for _, cores := range []float64{1, 8, 64} {
		l := newLearner(cores, 0.15)
		for range 60 { // the load is as much as is let in
			l.hold(l.perServer(), 1000)
		}
		got := l.perServer()
		if want := max(5, cores); got < 0.8*want || got > 2*want {
			t.Errorf("%v cores: room for %v calls", cores, got)
		}
	}
}

// Slow must not become the normal: while servers are ten times slower for longer
// than the memory, room only shrinks, and it is back soon after.
func TestRoomThroughAFault(t *testing.T) {
	l := newLearner(8, 0.02)
	for range 20 {
		l.hold(l.perServer(), 1000)
	}
	before := l.perServer()
	l.took = 0.2
	for range 40 {
		l.hold(6, 1000)
		if got := l.perServer(); got > before*1.05 {
			t.Fatalf("room for %v calls in the fault, %v before", got, before)
		}
	}
	l.took = 0.02
	for range 3 {
		l.hold(l.perServer(), 1000)
	}
	if got := l.perServer(); got < before/3 {
		t.Errorf("room for %v calls 3 s after the fault, %v before", got, before)
	}
}

// A node with two requests a second learns as well, if later.
func TestRoomFromFewSamples(t *testing.T) {
	l := newLearner(1, 0.002)
	for range 20 {
		l.now += 500 * ms
		l.concurrencyLimit.record(l.now, 0.002, false, 1)
		l.update(l.now, 1)
	}
	if got := l.perServer(); got < 200 {
		t.Errorf("room for %v calls after 20 answers", got)
	}
}

func TestRoomIsForgotten(t *testing.T) {
	l := newLearner(64, 0.15)
	for range 60 {
		l.hold(l.perServer(), 1000)
	}
	for range 120 {
		l.hold(1, 1000)
	}
	if l.learnedCores > 2 {
		t.Errorf("%v cores are still held to be there after two minutes without need", l.learnedCores)
	}
}

func TestRulesForComparison(t *testing.T) {
	for rule, want := range map[LimitMode]float64{LimitFixed: 5, LimitNone: math.Inf(1)} {
		if m := newConcurrencyLimit(rule, 5, 0, time.Second); m.perServer() != want {
			t.Errorf("rule %d: room for %v calls, want %v", rule, m.perServer(), want)
		}
	}
}

// Boxes with short queues turn calls away long before answers take longer: their
// room is what they held then, less some, and grows back.
func TestRoomOfShortQueues(t *testing.T) {
	l := newLearner(2, 0.001)
	l.hold(1, 200)
	for range 64 {
		l.now += ms
		l.concurrencyLimit.record(l.now, 0.001, true, 100)
	}
	l.update(l.now, 100)
	if got := l.perServer(); got != rejectionBackoff*100 {
		t.Errorf("room for %v calls where boxes were full at 100", got)
	}
	l.hold(1, 2000)
	if got := l.perServer(); got < 200 {
		t.Errorf("room for %v calls after 2 s without", got)
	}
	for i := range 64 { // one box in twenty turns all away
		l.concurrencyLimit.record(l.now, 0.001, i%20 == 0, 100)
	}
	l.update(l.now, 100)
	if got := l.perServer(); got < 200 {
		t.Errorf("room for %v calls for one bad box", got)
	}
}

// A node that nobody has asked for anything waits for no answer: a burst before quick servers that comes late
// in a period is not refused for the time before it.
func TestBurstAtTheStartIsNotRefused(t *testing.T) {
	for idle := time.Duration(0); idle < measurePeriod; idle += 10 * ms {
		b := node(8)
		start := time.Second + idle
		if sent := offer(b, start, 0, 100); sent < 100 {
			t.Errorf("a burst %v after the start: %d of 100 sent", idle, sent)
		}
		// The period ends before the first answer.
		if next := time.Second + measurePeriod; next-start <= 20*ms && offer(b, next, 0, 1) < 1 {
			t.Errorf("%v after a burst: refused", next-start)
		}
	}
}

// What an answer took to dial for is not what calls need: with it the room would shrink.
func TestDiallingIsNotServing(t *testing.T) {
	for _, dial := range []time.Duration{0, 90 * ms} {
		b := node(8)
		from := nextID
		offer(b, time.Second, 0, 64)
		for id := from + 1; id <= nextID; id++ {
			c := b.calls[id]
			b.HandleOutcome(time.Second+100*ms, Outcome{
				Request: id, Server: c.attempts[0].server.ID, Result: Served, Elapsed: 100 * ms, DialTime: dial, Final: true,
			}, nil)
		}
		if got, want := b.limit.minLatency[0], (100*ms - dial).Seconds(); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v of 100 ms spent dialling: the least is %v aims, want %v", dial, got, want)
		}
	}
}

// A node of many that may send to a few of an old list has its share of all that are there, not of the few; and
// nothing unsafe goes to those of them that have not answered yet.
func TestPartOfAnOldList(t *testing.T) {
	var list []Server
	for i := range 8 {
		list = append(list, Server{ID: string(rune('a' + i)), Unverified: true})
	}
	start := func(there int) *Balancer {
		b := New(Settings{
			Nodes: 300, MaxAttempts: 3, AnswerGrace: 10 * ms,
			Classes: []Class{
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
				{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1, Idempotency: AtMostOnce},
			},
		}, 1, time.Second)
		b.HandleList(time.Second, ListUpdate{Kind: ListStored, Servers: list, FleetSize: there}, nil)
		return b
	}
	for _, there := range []int{0, 300} {
		if sent := offer(start(there), time.Second, 0, 16); (sent == 16) != (there == 300) {
			t.Errorf("%d taken to be there: %d of 16 sent", there, sent)
		}
	}
	b := start(300)
	if sent := offer(b, time.Second, 1, 1); sent > 0 {
		t.Error("an unsafe request went to an untried server")
	}
	proven := list[0]
	proven.Unverified = false
	b.HandleList(time.Second, ListUpdate{Kind: ListRestored, Servers: []Server{proven}, FleetSize: 300}, nil)
	if sent := offer(b, time.Second, 1, 2); sent != 2 {
		t.Errorf("%d of 2 unsafe requests went to the one that has answered", sent)
	}
}

// The first reading of r counts by the outcomes behind it. 128 callers who come late in a period have all waited a
// little, and one or two answers have come: that is no overload. A node that starts into one still finds out.
func TestFirstReadingCountsByItsOutcomes(t *testing.T) {
	answer := func(b *Balancer, id uint64, at, took time.Duration) {
		c := b.calls[id]
		b.HandleOutcome(at, Outcome{Request: id, Server: c.attempts[0].server.ID, Result: Served, Elapsed: took, Final: true}, nil)
	}
	for late := 10 * ms; late <= 30*ms; late += 2 * ms {
		for answers := uint64(1); answers <= 4; answers++ {
			b := node(8)
			from := nextID
			end := time.Second + measurePeriod
			offer(b, end-late, 0, 128)
			for i := range answers {
				answer(b, from+1+i, end-ms, late-ms)
			}
			if sent := offer(b, end, 0, 10); sent < 10 {
				t.Errorf("128 callers %v before the period's end, %d answered: %d of 10 sent", late, answers, sent)
			}
		}
	}
	// 150 requests a second at a node whose servers answer one in 70 ms: within three periods it is shut.
	b, done := node(8), nextID
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
		t.Errorf("after three periods of overload r is %.2f", b.latencyRatio)
	}
}
