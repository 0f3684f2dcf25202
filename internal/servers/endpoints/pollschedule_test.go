package endpoints

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetPositions lists the positions of a fleet with the given numbers of nodes in its tiers.
func fleetPositions(tiers ...int) (all []FleetPosition) {
	for tier, nodes := range tiers {
		for node := range nodes {
			all = append(all, FleetPosition{NodeIndex: node, NodeCount: nodes, Tier: tier, Seed: uint64(len(all))})
		}
	}
	return all
}

// A poll must not wait for longer than the protocol allows, nor for so short a time that the calls of the fleet are
// too many for discovery. Small fleets must notice within seconds that a network has swallowed a poll.
func TestPollWaitGrowsWithTheFleet(t *testing.T) {
	for nodes, want := range map[int]struct{ minWait, maxWait, period time.Duration }{
		0: {2800, 9000, 6000}, 2: {2800, 9000, 6000}, 20: {6500, 37500, 30000}, 500: {10500, 60000, 48000},
	} {
		s := NewPollSchedule(FleetPosition{NodeCount: nodes, Seed: 3})
		wall, polls := time.Duration(rand.Int64N(int64(time.Hour))), 0
		end := wall + time.Hour
		for wall < end {
			wait, timeout := s.NextPoll(wall, false)
			if wait < want.minWait*time.Millisecond || wait > want.maxWait*time.Millisecond || timeout <= wait || timeout > wait+time.Second {
				t.Fatalf("%d nodes: a poll waits for %v and times out after %v", nodes, wait, timeout)
			}
			wall += wait + 20*time.Millisecond
			polls++
		}
		if maxPolls := int(time.Hour/(want.period*time.Millisecond)) * 21 / 20; polls > maxPolls {
			t.Errorf("%d nodes: %d polls an hour each, want at most %d", nodes, polls, maxPolls)
		}
	}
}

// maxAnswerDelay simulates that all polls of a fleet have been swallowed, and returns the longest time from the end
// of a wait to the answer of the next call of that node. Discovery processes the calls one after the other, all of
// them in allCalls. Each node notices the loss after margin and backs off for up to 250 ms, as in package decide.
func maxAnswerDelay(ends []time.Duration, margin, allCalls time.Duration, rng *rand.Rand) (worst time.Duration) {
	type call struct{ waitEnd, at time.Duration }
	calls := make([]call, len(ends))
	for i, end := range ends {
		calls[i] = call{end, end + margin + time.Duration((0.5+rng.Float64()/2)*float64(250*time.Millisecond))}
	}
	slices.SortFunc(calls, func(a, b call) int { return int(a.at - b.at) })
	busyUntil := time.Duration(0)
	for _, c := range calls {
		busyUntil = max(busyUntil, c.at) + allCalls/time.Duration(len(calls))
		worst = max(worst, busyUntil-c.waitEnd)
	}
	return worst
}

// All watches of a fleet stop receiving answers at once, just after all nodes have started a poll. Each node must
// have its next answer within 2 s of the end of its wait, while discovery takes 4 s (few nodes) or 8 s for one call
// of each node. The control uses polls of equal length with a random part: they end together, and the last node waits
// in the queue for longer.
func TestPollsOfAFleetEndInTimeSlots(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		tiers    []int
		allCalls time.Duration
	}{{[]int{4, 4}, 4 * time.Second}, {[]int{3, 7}, 4 * time.Second}, {[]int{6}, 4 * time.Second}, {[]int{50, 250}, 8 * time.Second}} {
		var worst, control time.Duration
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 5))
			wall := time.Duration(rng.Int64N(int64(time.Hour)))
			var ends, controlEnds []time.Duration
			for _, p := range fleetPositions(c.tiers...) {
				p.Seed += seed * 1000
				start := wall + time.Duration(rng.Int64N(int64(200*time.Millisecond)))
				wait, _ := NewPollSchedule(p).NextPoll(start, false)
				ends = append(ends, start+wait)
				equalWait := min(max(6*time.Second, time.Duration(p.NodeCount)*1500*time.Millisecond), time.Minute)
				controlEnds = append(controlEnds, start+equalWait-time.Duration(rng.Int64N(int64(equalWait/10))))
			}
			worst = max(worst, maxAnswerDelay(ends, pollAnswerMargin, c.allCalls, rng))
			control = max(control, maxAnswerDelay(controlEnds, pollAnswerMargin, c.allCalls, rng))
		}
		t.Logf("%v nodes: answer at most %v after the end of a wait; with waits of equal length %v", c.tiers, worst, control)
		if worst > bound {
			t.Errorf("%v nodes: a node has its next answer %v after the end of its wait", c.tiers, worst)
		}
		if control <= bound {
			t.Errorf("%v nodes: waits of equal length pass too (%v): the test proves nothing", c.tiers, control)
		}
	}
}

// After a failed call the next poll is short whatever the size of the fleet, and its timeout leaves time for the
// queue of discovery.
func TestPollsAfterAFailureAreShort(t *testing.T) {
	for _, p := range fleetPositions(2, 40) {
		if wait, timeout := NewPollSchedule(p).NextPoll(time.Hour, true); wait > 2*time.Second || timeout < wait+time.Second || timeout > 4*time.Second {
			t.Fatalf("%+v: waits for %v and times out after %v", p, wait, timeout)
		}
	}
}

// Nodes without a known number, or with the same number, must not all call at the same time.
func TestPollsWithoutANumberAreSpread(t *testing.T) {
	for name, p := range map[string]FleetPosition{"unknown": {NodeIndex: -1, NodeCount: 40}, "alone": {NodeIndex: 0, NodeCount: 1}} {
		var ends []time.Duration
		for seed := range uint64(200) {
			p.Seed = seed
			wait, _ := NewPollSchedule(p).NextPoll(0, false)
			ends = append(ends, wait)
		}
		slices.Sort(ends)
		if within := ends[150] - ends[50]; within < 2*time.Second {
			t.Errorf("%s: half of all polls end within %v", name, within)
		}
	}
}
