package virtual

import (
	"math/rand/v2"
	"testing"
	"time"
)

// troubledDay has troubles one after the other, with changes within them, at their ends and in between, for one tier
// whose nodes all begin at once.
func outageDay(nodes int, callOfEach time.Duration, seed uint64) fleetDay {
	const length = 5 * time.Minute
	rng := rand.New(rand.NewPCG(seed, 21))
	day := fleetDay{tiers: []int{nodes}, fleetCallTime: callOfEach, queueTimeout: 3 * time.Second, backlogFactor: 1, resubscribeWithin: defaultResubscribeWithin,
		listLines: 1, duration: length}
	for at := 20 * time.Second; at < length-30*time.Second; {
		kinds := []outageKind{resetsConnections, dropsCalls}
		first := rng.IntN(2)
		long := time.Duration(rng.Int64N(int64(12 * time.Second)))
		if rng.IntN(3) == 0 { // one becomes the other
			day.outages = append(day.outages, outage{at, at + long/2, kinds[first]}, outage{at + long/2, at + long, kinds[1-first]})
		} else {
			day.outages = append(day.outages, outage{at, at + long, kinds[first]})
		}
		for _, when := range []time.Duration{at + long/3, at + long, at + long + time.Duration(rng.Int64N(int64(4*time.Second)))} {
			day.changes = append(day.changes, change{when, 1})
		}
		at += long + 10*time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
	}
	return day
}

// Whatever calls have failed, and in whatever order, a node has asked again within 6 s of the time from which the registry
// has a change and can be reached, where the fleet's calls leave the registry the time to answer.
func TestChangesAreDeliveredInTime(t *testing.T) {
	seeds := uint64(2)
	if longTests() {
		seeds = 10
	}
	for _, c := range []struct {
		nodes      int
		callOfEach time.Duration
		held       bool
	}{{4, 2 * time.Second, true}, {20, 2 * time.Second, true}, {30, 2 * time.Second, true}, {300, 2 * time.Second, true},
		// Here no order of calls would do: the last node's turn alone comes after 8 s.
		{8, 8 * time.Second, false}, {300, 8 * time.Second, false}} {
		for seed := range seeds {
			x := playFleet(outageDay(c.nodes, c.callOfEach, seed), seed)
			t.Logf("%d nodes, a call of each in %v, seed %d: %v", c.nodes, c.callOfEach, seed, x)
			if last := worst(x.lateness); c.held && last > drainGrace {
				t.Errorf("%d nodes, seed %d: a change comes %v after it counts as told", c.nodes, seed, last)
			}
		}
	}
}
