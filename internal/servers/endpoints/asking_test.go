package endpoints

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestSigns(t *testing.T) {
	x := NewStalenessDetector(2, 1)
	if _, ok := x.RecordFailure(0, "a"); ok {
		t.Error("one failure makes the node ask")
	}
	if wait, ok := x.RecordFailure(time.Second, "b"); !ok || wait > 10*time.Millisecond {
		t.Errorf("two servers: %v, %v", wait, ok)
	}
	if _, ok := x.RecordFailure(time.Second, "c"); ok {
		t.Error("asked twice at once")
	}
	x.RecordFetch(2*time.Second, true)
	for i := range 3 {
		_, ok := x.RecordFailure(4*time.Second+time.Duration(i), "a")
		if ok != (i == 2) {
			t.Errorf("failure %d of one server: %v", i+1, ok)
		}
	}
	// What brought nothing makes the next question wait for longer.
	x.RecordFetch(5*time.Second, false)
	for i := range 3 {
		if _, ok := x.RecordFailure(8*time.Second+time.Duration(i), "a"); ok {
			t.Error("asked again 3 s after a question that brought nothing")
		}
	}
	if _, ok := x.RecordFailure(9*time.Second+1, "a"); !ok {
		t.Error("not asked 4 s after it")
	}
	// Failures far apart, and those of a server that has answered since, are no signs.
	x = NewStalenessDetector(2, 1)
	x.RecordFailure(0, "a")
	if _, ok := x.RecordFailure(20*time.Second, "b"); ok {
		t.Error("failures 20 s apart make the node ask")
	}
	x.RecordSuccess("b")
	if !x.Empty() {
		t.Error("not quiet after an answer")
	}
}

// With failures all the time an early question that brings nothing comes once a minute in the end, whatever fails;
// memory is bounded.
func TestSignsAreWithinABudget(t *testing.T) {
	x := NewStalenessDetector(100, 1)
	var asked []time.Duration
	for now := time.Duration(0); now < time.Hour; now += 10 * time.Millisecond {
		if _, ok := x.RecordFailure(now, fmt.Sprint(now)); ok {
			asked = append(asked, now)
			x.RecordFetch(now+time.Second, false)
		}
		if len(x.failures) > maxTrackedServers {
			t.Fatalf("%d servers remembered", len(x.failures))
		}
	}
	if len(asked) > 70 || len(asked) < 55 {
		t.Errorf("%d questions in an hour", len(asked))
	}
}

// slowRegistry works through calls in turn at so many lines a second, whether or not the caller waits.
type simulatedRegistry struct {
	rate  float64
	busy  time.Duration
	calls int
}

func (l *simulatedRegistry) call(now time.Duration, lines int) (answered time.Duration) {
	l.calls++
	l.busy = max(l.busy, now) + time.Duration(float64(lines+1)/l.rate*float64(time.Second))
	return l.busy
}

type event struct {
	at time.Duration
	do func()
}
type eventQueue []event

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// restart has nodes start at once, of which some have a list and ask for its changes alone, and returns when the
// last was told, beside the bound from capacity.
func simulateRestart(nodes, stored, lines, changed int, patient bool, seed uint64) (last, bound time.Duration, calls int) {
	l := &simulatedRegistry{rate: 200}
	rng := rand.New(rand.NewPCG(seed, 9))
	var q eventQueue
	told := 0
	for n := range nodes {
		a := NewCallTiming(nodes, 5*time.Second)
		want := lines
		if n < stored {
			want = changed
		}
		bound += time.Duration(float64(want+1) / 200 * float64(time.Second))
		tries := 0
		var ask func(now time.Duration)
		ask = func(now time.Duration) {
			wait := 5 * time.Second
			if patient {
				wait = a.Timeout()
			}
			end := l.call(now, want)
			if end-now <= wait {
				a.RecordCall(end-now, false)
				told++
				last = max(last, end)
				return
			}
			a.RecordCall(wait, true)
			tries++
			back := time.Duration((0.5 + rng.Float64()/2) * float64(250*time.Millisecond<<min(tries, 8)))
			heap.Push(&q, event{now + wait + back, func() { ask(now + wait + back) }})
		}
		first := time.Duration((0.5 + rng.Float64()/2) * float64(250*time.Millisecond))
		if patient {
			first += a.StartDelay(n < stored, rng.Float64())
		}
		heap.Push(&q, event{first, func() { ask(first) }})
	}
	for len(q) > 0 && told < nodes {
		e := heap.Pop(&q).(event)
		if e.at > time.Hour {
			return time.Hour, bound, l.calls
		}
		e.do()
	}
	return last, bound, l.calls
}

// 300 nodes restart at once at a registry of 200 lines a second: all are told within a small multiple of what its
// capacity allows. With a fixed patience of 5 s calls that were given up keep it busy, and it takes far longer.
func TestRestartOfAFleet(t *testing.T) {
	for _, c := range []struct {
		stored, lines, changed int
		most                   float64
	}{{0, 100, 0, 6.5}, {300, 100, 2, 1.3}, {200, 100, 2, 3.5}} {
		var worst, control, calls, controlCalls float64
		for seed := range uint64(10) {
			last, bound, n := simulateRestart(300, c.stored, c.lines, c.changed, true, seed)
			fixed, _, m := simulateRestart(300, c.stored, c.lines, c.changed, false, seed)
			worst, control = max(worst, float64(last)/float64(bound)), max(control, float64(fixed)/float64(bound))
			calls, controlCalls = calls+float64(n)/10, controlCalls+float64(m)/10
		}
		t.Logf("%d of 300 with a list: all told after %.2f times the bound at the most, %.0f calls; with 5 s each %.2f, %.0f calls",
			c.stored, worst, calls, control, controlCalls)
		if worst > c.most || c.stored == 0 && control < 1.5*worst {
			t.Errorf("%.2f times the bound, and %.2f with 5 s", worst, control)
		}
	}
}

// A node that was lost with its zone and starts again must have asked, with time left for the answer, before the loss counts as
// told to it: the zone is away for 5 s, and listed as gone 2 s after its loss at the soonest. Whatever the size of its tier,
// and whichever its turn.
func TestStartedNodesAskBeforeALossCounts(t *testing.T) {
	const away, noticed, forTheAnswer = 5 * time.Second, 2 * time.Second, 500 * time.Millisecond
	counts := noticed + notifiedAfterFailure - away
	for _, nodes := range []int{1, 8, 47, 267, 900, 5400} {
		if last := NewCallTiming(nodes, 0).StartDelay(true, 1); last+forTheAnswer > counts {
			t.Errorf("%d nodes: the last asks %v after its start, a loss counts after %v", nodes, last, counts)
		}
	}
}
