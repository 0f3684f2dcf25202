package endpoints

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestStalenessDetector(t *testing.T) {
	detector := NewStalenessDetector(2, 1)
	if _, ok := detector.RecordFailure(0, "a"); ok {
		t.Error("a single failure triggers a fetch")
	}
	if wait, ok := detector.RecordFailure(time.Second, "b"); !ok || wait > 10*time.Millisecond {
		t.Errorf("failures of two servers: wait %v, ok %v", wait, ok)
	}
	if _, ok := detector.RecordFailure(time.Second, "c"); ok {
		t.Error("a second fetch is triggered while one is pending")
	}
	detector.RecordFetch(2*time.Second, true)
	for i := range 3 {
		_, ok := detector.RecordFailure(4*time.Second+time.Duration(i), "a")
		if ok != (i == 2) {
			t.Errorf("failure %d of one server: triggers a fetch: %v", i+1, ok)
		}
	}
	// A fetch that brought nothing new doubles the interval.
	detector.RecordFetch(5*time.Second, false)
	for i := range 3 {
		if _, ok := detector.RecordFailure(8*time.Second+time.Duration(i), "a"); ok {
			t.Error("a fetch is triggered 3 s after one that brought nothing new")
		}
	}
	if _, ok := detector.RecordFailure(9*time.Second+1, "a"); !ok {
		t.Error("no fetch is triggered 4 s after one that brought nothing new")
	}
	// Failures that are far apart, and those of a server that has answered since, do not count.
	detector = NewStalenessDetector(2, 1)
	detector.RecordFailure(0, "a")
	if _, ok := detector.RecordFailure(20*time.Second, "b"); ok {
		t.Error("failures 20 s apart trigger a fetch")
	}
	detector.RecordSuccess("b")
	if !detector.Empty() {
		t.Error("failures are left after an answer")
	}
}

// If servers fail all the time and early fetches bring nothing new, the fetches slow down to one a minute. Memory is
// bounded.
func TestEarlyFetchesAreBounded(t *testing.T) {
	detector := NewStalenessDetector(100, 1)
	var fetches []time.Duration
	for now := time.Duration(0); now < time.Hour; now += 10 * time.Millisecond {
		if _, ok := detector.RecordFailure(now, fmt.Sprint(now)); ok {
			fetches = append(fetches, now)
			detector.RecordFetch(now+time.Second, false)
		}
		if len(detector.failures) > maxTrackedServers {
			t.Fatalf("%d servers tracked", len(detector.failures))
		}
	}
	if len(fetches) > 70 || len(fetches) < 55 {
		t.Errorf("%d early fetches in an hour, want 55 to 70", len(fetches))
	}
}

// simulatedRegistry processes calls one after the other at a rate of lines per second, whether or not the caller
// still waits.
type simulatedRegistry struct {
	linesPerSecond float64
	busyUntil      time.Duration
	calls          int
}

func (r *simulatedRegistry) call(now time.Duration, lines int) (answered time.Duration) {
	r.calls++
	r.busyUntil = max(r.busyUntil, now) + time.Duration(float64(lines+1)/r.linesPerSecond*float64(time.Second))
	return r.busyUntil
}

// event is a function that runs at a simulated time.
type event struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events, the earliest first.
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

// simulateRestart starts all nodes at once. The first storedLists of them have a list and fetch only its changes. It
// returns when the last node has its answer, the lower bound that follows from the capacity of the registry, and the
// number of calls. If adaptive, timeouts and start delays come from a CallTiming; otherwise each call has a timeout
// of 5 s.
func simulateRestart(nodes, storedLists, listLines, changedLines int, adaptive bool, seed uint64) (last, bound time.Duration, calls int) {
	r := &simulatedRegistry{linesPerSecond: 200}
	rng := rand.New(rand.NewPCG(seed, 9))
	var queue eventQueue
	answered := 0
	for n := range nodes {
		timing := NewCallTiming(nodes, 5*time.Second)
		lines := listLines
		if n < storedLists {
			lines = changedLines
		}
		bound += time.Duration(float64(lines+1) / 200 * float64(time.Second))
		attempts := 0
		var call func(now time.Duration)
		call = func(now time.Duration) {
			timeout := 5 * time.Second
			if adaptive {
				timeout = timing.Timeout()
			}
			end := r.call(now, lines)
			if end-now <= timeout {
				timing.RecordCall(end-now, false)
				answered++
				last = max(last, end)
				return
			}
			timing.RecordCall(timeout, true)
			attempts++
			backoff := time.Duration((0.5 + rng.Float64()/2) * float64(250*time.Millisecond<<min(attempts, 8)))
			heap.Push(&queue, event{now + timeout + backoff, func() { call(now + timeout + backoff) }})
		}
		first := time.Duration((0.5 + rng.Float64()/2) * float64(250*time.Millisecond))
		if adaptive {
			first += timing.StartDelay(n < storedLists, rng.Float64())
		}
		heap.Push(&queue, event{first, func() { call(first) }})
	}
	for len(queue) > 0 && answered < nodes {
		e := heap.Pop(&queue).(event)
		if e.at > time.Hour {
			return time.Hour, bound, r.calls
		}
		e.do()
	}
	return last, bound, r.calls
}

// 300 nodes restart at once with a registry of 200 lines a second. All of them must have an answer within a small
// multiple of what the capacity allows. With a fixed timeout of 5 s the registry is kept busy by calls that were
// given up, and it takes far longer.
func TestRestartOfAFleet(t *testing.T) {
	for _, c := range []struct {
		storedLists, listLines, changedLines int
		maxRatio                             float64
	}{{0, 100, 0, 6.5}, {300, 100, 2, 1.3}, {200, 100, 2, 3.5}} {
		var worst, control, calls, controlCalls float64
		for seed := range uint64(10) {
			last, bound, n := simulateRestart(300, c.storedLists, c.listLines, c.changedLines, true, seed)
			fixed, _, m := simulateRestart(300, c.storedLists, c.listLines, c.changedLines, false, seed)
			worst, control = max(worst, float64(last)/float64(bound)), max(control, float64(fixed)/float64(bound))
			calls, controlCalls = calls+float64(n)/10, controlCalls+float64(m)/10
		}
		t.Logf("%d of 300 nodes with a list: at most %.2f times the bound, %.0f calls; with a fixed timeout %.2f times, %.0f calls",
			c.storedLists, worst, calls, control, controlCalls)
		if worst > c.maxRatio || c.storedLists == 0 && control < 1.5*worst {
			t.Errorf("%.2f times the bound, %.2f with a fixed timeout", worst, control)
		}
	}
}

// A node that was lost with its zone and starts again must have called discovery, with time left for the answer,
// before it counts as notified of the loss: the zone is away for 5 s, and listed as gone 2 s after its loss at the
// earliest. This must hold for each size of the tier and each time slot.
func TestStartedNodesCallBeforeALossCounts(t *testing.T) {
	const away, detection, answerTime = 5 * time.Second, 2 * time.Second, 500 * time.Millisecond
	deadline := detection + notifiedAfterFailure - away
	for _, nodes := range []int{1, 8, 47, 267, 900, 5400} {
		if last := NewCallTiming(nodes, 0).StartDelay(true, 1); last+answerTime > deadline {
			t.Errorf("%d nodes: the last node calls %v after its start, the loss counts after %v", nodes, last, deadline)
		}
	}
}
