package endpoints

import (
	"testing"
	"time"
)

// recordOverloads records overloaded calls in a row at a node that has had an answer before, and returns the
// backoffs.
func recordOverloads(p *CallPacer, wall, took time.Duration, n int) (backoffs []time.Duration) {
	for range n {
		backoff := p.RecordOverload(wall, OverloadedCall{Took: took, AnsweredBefore: true})
		backoffs = append(backoffs, backoff)
		wall += backoff + took
	}
	return backoffs
}

// Retries of a whole fleet would keep an overloaded discovery from recovering. In a large fleet backoffs must grow
// far beyond the first ones, by less for calls that cost discovery nothing, and stay short for a node alone. The
// first two leave time for another call before the node counts as notified of pending changes.
func TestBackoffsGrowWithOverload(t *testing.T) {
	const queueTime = 2 * time.Second
	for node := range 20 {
		position := FleetPosition{NodeIndex: node, NodeCount: 60}
		backoffs := recordOverloads(NewCallPacer(position), time.Hour, queueTime, 8)
		if backoffs[0] > 6250*time.Millisecond || backoffs[1] > 6250*time.Millisecond || backoffs[7] < 12*time.Second || backoffs[7] > 60*time.Second {
			t.Errorf("node %d of 60: backoffs %v", node, backoffs)
		}
		sum, sumRejected := time.Duration(0), time.Duration(0)
		for i, backoff := range recordOverloads(NewCallPacer(position), time.Hour, 0, 8) {
			sum, sumRejected = sum+backoffs[i], sumRejected+backoff
		}
		if sumRejected > sum/2 {
			t.Errorf("node %d: rejected calls lead to %v of backoffs, calls that waited to %v", node, sumRejected, sum)
		}
	}
	for _, backoff := range recordOverloads(NewCallPacer(FleetPosition{NodeCount: 1, Seed: 7}), time.Hour, queueTime, 8) {
		if backoff > 2500*time.Millisecond {
			t.Errorf("a node alone: backoff of %v", backoff)
		}
	}
}

// Nodes whose calls fail together must not call again together: their next calls are spread evenly over the backoff,
// across tiers too.
func TestBackoffsEndInTimeSlots(t *testing.T) {
	const slotCount = 5
	var calls [slotCount]int
	fleet := fleetPositions(30, 70)
	for _, position := range fleet {
		p := NewCallPacer(position)
		recordOverloads(p, time.Hour, 2*time.Second, 4)
		const period = 40 * time.Second // the fifth backoff
		backoff := p.RecordOverload(2*time.Hour, OverloadedCall{Took: 2 * time.Second})
		calls[int(backoff%period*slotCount/period)]++
	}
	for slot, n := range calls {
		if n < len(fleet)/slotCount/2 || n > 2*len(fleet)/slotCount {
			t.Errorf("%d of %d calls fall into part %d of the backoff: %v", n, len(fleet), slot, calls)
		}
	}
}

// A call that timed out in the queue of a small fleet shows that discovery is slow, and the backoff gives the queue
// time to clear. But the first backoff after the start leaves time for one more call before the node counts as
// notified of pending changes. If calls go on failing, the backoffs grow beyond what the few nodes of one tier need,
// as other nodes call too.
func TestBackoffsOfASmallFleet(t *testing.T) {
	position := FleetPosition{NodeIndex: 1, NodeCount: 3}
	const wall, took = time.Hour, 2 * time.Second
	for step := range 20 {
		now := wall + time.Duration(step)*100*time.Millisecond
		if backoff := NewCallPacer(position).RecordOverload(now, OverloadedCall{Took: took}); backoff < minFirstBackoff/4 || took+backoff+took > notifiedAfterFailure {
			t.Errorf("after the start: backoff of %v", backoff)
		}
		if backoff := NewCallPacer(position).RecordOverload(now, OverloadedCall{Took: took, AnsweredBefore: true}); backoff < maxFirstBackoff/4 || backoff > maxFirstBackoff*5/4 {
			t.Errorf("after an earlier answer: backoff of %v", backoff)
		}
	}
	if backoffs := recordOverloads(NewCallPacer(position), wall, took, 10); backoffs[9] < 4*time.Second || backoffs[9] > maxBackoffFloor*5/4 {
		t.Errorf("the tenth backoff is %v", backoffs[9])
	}
}

// Long polls that are reset together are followed by calls spread over time, early enough for an answer before the
// nodes count as notified of pending changes.
func TestCallsAfterResetsAreSpread(t *testing.T) {
	if backoff := NewCallPacer(FleetPosition{NodeCount: 1, Seed: 7}).RecordReset(); backoff != 0 {
		t.Errorf("a node alone: pause of %v", backoff)
	}
	for _, fleet := range [][]FleetPosition{fleetPositions(2), fleetPositions(3, 5), fleetPositions(50, 250)} {
		const parts = 2
		var calls [parts]int
		for _, position := range fleet {
			p := NewCallPacer(position)
			backoff := p.RecordReset()
			if backoff < 0 || backoff > notifiedAfterFailure-2*time.Second {
				t.Errorf("%+v: pause of %v", position, backoff)
			}
			calls[min(parts-1, int(backoff*parts/p.resetSpread))]++
		}
		if calls[0] < len(fleet)/3 || calls[1] < len(fleet)/3 {
			t.Errorf("%d nodes: %v calls in the halves of the time", len(fleet), calls)
		}
	}
}

// A single answer does not end an overload: the next backoff is shorter than the last one but not the first one.
// Several answers end it.
func TestAnswersEndAnOverload(t *testing.T) {
	p := NewCallPacer(FleetPosition{NodeIndex: 3, NodeCount: 60})
	recordOverloads(p, time.Hour, 2*time.Second, 6)
	p.RecordAnswer(2*time.Hour, Answer{})
	if p.overloads != 3 {
		t.Errorf("after one answer the overload count is %v, want 3", p.overloads)
	}
	for range 8 {
		p.RecordAnswer(2*time.Hour, Answer{})
	}
	if backoff := p.RecordOverload(3*time.Hour, OverloadedCall{Took: 2 * time.Second}); backoff > 6250*time.Millisecond {
		t.Errorf("after many answers: backoff of %v", backoff)
	}
}

// newPeriodicPacer returns the pacer of a node with a short list whose call has just timed out in the queue.
func newPeriodicPacer(t *testing.T) *CallPacer {
	t.Helper()
	p := NewCallPacer(FleetPosition{NodeIndex: 5, NodeCount: 24})
	backoff := p.RecordOverload(time.Hour, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: maxPeriodicServers})
	if !p.FetchesWholeList() || backoff < periodicInterval/2 || backoff > periodicInterval*3/2 {
		t.Fatalf("fetches the whole list: %v, after %v", p.FetchesWholeList(), backoff)
	}
	return p
}

// In an overload a node with a short list fetches the whole list once in each interval, because answers to long polls
// cost discovery a call of each node for each change. A long list would cost it more than that. A node that is alone,
// or that has had no answer yet, calls soon. A node that must call again within less than an interval has to keep a
// watch.
func TestShortListsAreFetchedInAnOverload(t *testing.T) {
	position := FleetPosition{NodeIndex: 5, NodeCount: 24}
	for name, c := range map[string]struct {
		position FleetPosition
		overload OverloadedCall
		whole    bool
	}{
		"a short list":           {position, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: maxPeriodicServers}, true},
		"rejected":               {position, OverloadedCall{AnsweredBefore: true, Servers: 1}, true},
		"a long list":            {position, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: maxPeriodicServers + 1}, false},
		"unknown length":         {position, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true}, false},
		"a new process":          {position, OverloadedCall{Took: 2 * time.Second, Servers: maxPeriodicServers}, false},
		"long resubscribe time":  {FleetPosition{NodeIndex: 5, NodeCount: 24, ResubscribeWithin: minPeriodicResubscribe}, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: 1}, true},
		"short resubscribe time": {FleetPosition{NodeIndex: 5, NodeCount: 24, ResubscribeWithin: minPeriodicResubscribe - 1}, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: 1}, false},
		"one node alone":         {FleetPosition{NodeCount: 1}, OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: maxPeriodicServers}, false},
	} {
		p := NewCallPacer(c.position)
		p.RecordOverload(time.Hour, c.overload)
		if p.FetchesWholeList() != c.whole {
			t.Errorf("%s: fetches the whole list: %v", name, p.FetchesWholeList())
		}
	}
}

// Periodic calls, each in the time slot of the node, go on while they bring changes, and end when the list is stable.
func TestPeriodicCallsEndWhenTheListIsStable(t *testing.T) {
	p, wall := newPeriodicPacer(t), time.Hour
	for range 5 {
		backoff := p.RecordAnswer(wall, Answer{Took: time.Second / 10, Whole: true, Changed: true})
		if backoff < periodicInterval/2 || backoff > periodicInterval*3/2 || !p.FetchesWholeList() {
			t.Fatalf("after a change: pause of %v", backoff)
		}
		wall += backoff
	}
	if backoff := p.RecordAnswer(wall, Answer{Whole: true}); backoff == 0 {
		t.Error("a single unchanged answer ends periodic calls")
	}
	if backoff := p.RecordAnswer(wall, Answer{Whole: true}); backoff != 0 || p.FetchesWholeList() {
		t.Errorf("after two unchanged answers: pause of %v", backoff)
	}
	if backoff := p.RecordAnswer(wall, Answer{Changed: true}); backoff != 0 {
		t.Errorf("after the answer to a long poll: pause of %v", backoff)
	}
}

// While discovery is slow to send whole lists, long polls at the same interval replace them. A poll that was open for
// long ends the overload.
func TestSlowAnswersEndWholeLists(t *testing.T) {
	p := newPeriodicPacer(t)
	if backoff := p.RecordAnswer(time.Hour, Answer{Took: slowAnswer * 3 / 2, Whole: true, Changed: true}); backoff == 0 || p.FetchesWholeList() {
		t.Errorf("after a slow answer: pause of %v, fetches the whole list: %v", backoff, p.FetchesWholeList())
	}
	if backoff := p.RecordAnswer(time.Hour, Answer{Took: slowAnswer, Changed: true}); backoff == 0 || p.FetchesWholeList() {
		t.Errorf("after a long poll: pause of %v, fetches the whole list: %v", backoff, p.FetchesWholeList())
	}
	if backoff := p.RecordAnswer(time.Hour, Answer{Took: fastAnswer / 2, Changed: true}); backoff == 0 || !p.FetchesWholeList() {
		t.Errorf("after a fast answer: pause of %v, fetches the whole list: %v", backoff, p.FetchesWholeList())
	}
	p.RecordAnswer(time.Hour, Answer{Took: slowAnswer * 3 / 2, Whole: true, Changed: true})
	if backoff := p.RecordAnswer(time.Hour, Answer{Took: 2 * periodicInterval, Changed: true}); backoff != 0 {
		t.Errorf("after a poll that was open for long: pause of %v", backoff)
	}
}

// Periodic calls that fail first become cheaper for discovery, then less frequent, and then long polls with growing
// backoffs replace them until the overload has ended.
func TestFailedPeriodicCalls(t *testing.T) {
	p := newPeriodicPacer(t)
	failed := OverloadedCall{Took: 2 * time.Second, AnsweredBefore: true, Servers: maxPeriodicServers}
	if backoff := p.RecordOverload(time.Hour, failed); backoff > periodicInterval*3/2 || p.FetchesWholeList() {
		t.Errorf("after one failed call: pause of %v, fetches the whole list: %v", backoff, p.FetchesWholeList())
	}
	if backoff := p.RecordOverload(time.Hour, failed); backoff < periodicInterval || backoff > 3*periodicInterval {
		t.Errorf("after two failed calls: pause of %v", backoff)
	}
	for range 3 {
		p.RecordOverload(time.Hour, failed)
	}
	if p.FetchesWholeList() || p.mode != longPollOnly {
		t.Errorf("after many failed calls the mode is %v", p.mode)
	}
	for range 8 {
		p.RecordAnswer(time.Hour, Answer{Changed: true})
	}
	p.RecordOverload(time.Hour, failed)
	if !p.FetchesWholeList() {
		t.Error("the next overload does not lead to periodic calls")
	}
}
