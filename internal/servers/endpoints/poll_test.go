package endpoints

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetOf lists the places of a fleet with so many nodes in each tier.
func fleetPositions(tiers ...int) (all []FleetPosition) {
	for tier, nodes := range tiers {
		for node := range nodes {
			all = append(all, FleetPosition{NodeIndex: node, NodeCount: nodes, Tier: tier, Seed: uint64(len(all))})
		}
	}
	return all
}

// A poll must not wait for longer than the protocol allows, nor for so short a time that the fleet's calls are more
// than discovery bears; small fleets must notice within seconds that a network has swallowed one.
func TestPollsWaitByFleet(t *testing.T) {
	for nodes, want := range map[int]struct{ least, most, period time.Duration }{
		0: {2800, 9000, 6000}, 2: {2800, 9000, 6000}, 20: {6500, 37500, 30000}, 500: {10500, 60000, 48000},
	} {
		s := NewPollSchedule(FleetPosition{NodeCount: nodes, Seed: 3})
		wall, polls := time.Duration(rand.Int64N(int64(time.Hour))), 0
		end := wall + time.Hour
		for wall < end {
			wait, patience := s.NextPoll(wall, false)
			if wait < want.least*time.Millisecond || wait > want.most*time.Millisecond || patience <= wait || patience > wait+time.Second {
				t.Fatalf("%d nodes: a poll waits %v, and is lost after %v", nodes, wait, patience)
			}
			wall += wait + 20*time.Millisecond
			polls++
		}
		if most := int(time.Hour/(want.period*time.Millisecond)) * 21 / 20; polls > most {
			t.Errorf("%d nodes: %d polls an hour each, want %d at the most", nodes, polls, most)
		}
	}
}

// answered plays a moment in which all polls of a fleet have been swallowed, and returns how long after the end of its
// wait a node has had the answer to its next call at the latest. Discovery takes the calls in turn, all of them in so
// long. Each node comes back late, and after up to 250 ms of back-off, as the module does.
func maxAnswerDelay(ends []time.Duration, late, all time.Duration, rng *rand.Rand) (worst time.Duration) {
	type call struct{ ended, at time.Duration }
	calls := make([]call, len(ends))
	for i, end := range ends {
		calls[i] = call{end, end + late + time.Duration((0.5+rng.Float64()/2)*float64(250*time.Millisecond))}
	}
	slices.SortFunc(calls, func(a, b call) int { return int(a.at - b.at) })
	busy := time.Duration(0)
	for _, c := range calls {
		busy = max(busy, c.at) + all/time.Duration(len(calls))
		worst = max(worst, busy-c.ended)
	}
	return worst
}

// All watches of a fleet fall silent at once, just after all nodes have begun them: each must have its next answer 2 s
// after the end of its wait, and discovery can take one call of each node in 4 s (few nodes) or 8 s. Polls of one length
// with a random part, as they were, end together, and the last node waits in turn for longer.
func TestPollsOfAFleetEndInTurn(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		tiers []int
		all   time.Duration
	}{{[]int{4, 4}, 4 * time.Second}, {[]int{3, 7}, 4 * time.Second}, {[]int{6}, 4 * time.Second}, {[]int{50, 250}, 8 * time.Second}} {
		var worst, control time.Duration
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 5))
			wall := time.Duration(rng.Int64N(int64(time.Hour)))
			var ends, together []time.Duration
			for _, p := range fleetPositions(c.tiers...) {
				p.Seed += seed * 1000
				begun := wall + time.Duration(rng.Int64N(int64(200*time.Millisecond)))
				wait, _ := NewPollSchedule(p).NextPoll(begun, false)
				ends = append(ends, begun+wait)
				long := min(max(6*time.Second, time.Duration(p.NodeCount)*1500*time.Millisecond), time.Minute)
				together = append(together, begun+long-time.Duration(rng.Int64N(int64(long/10))))
			}
			worst = max(worst, maxAnswerDelay(ends, pollAnswerMargin, c.all, rng))
			control = max(control, maxAnswerDelay(together, pollAnswerMargin, c.all, rng))
		}
		t.Logf("%v nodes: %v after the end of a wait at the latest; with waits of one length %v", c.tiers, worst, control)
		if worst > bound {
			t.Errorf("%v nodes: a node waits %v for the answer to its next call", c.tiers, worst)
		}
		if control <= bound {
			t.Errorf("%v nodes: waits of one length would do (%v): the test shows nothing", c.tiers, control)
		}
	}
}

// After a failed call the next poll is short whatever the fleet's size, and discovery may let it wait in turn.
func TestPollsAfterAFailureAreShort(t *testing.T) {
	for _, p := range fleetPositions(2, 40) {
		if wait, patience := NewPollSchedule(p).NextPoll(time.Hour, true); wait > 2*time.Second || patience < wait+time.Second || patience > 4*time.Second {
			t.Fatalf("%+v: waits %v, and is lost after %v", p, wait, patience)
		}
	}
}

// Nodes that do not know their number, or are told the same one, must not all call at the same moment.
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
