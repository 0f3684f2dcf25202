package virtual

import (
	"math/rand/v2"
	"testing"
	"time"
)

// outageDay returns a day of random outages, with changes during them, at their ends and between them, for one tier
// whose nodes all start at once.
func outageDay(nodes int, fleetCallTime time.Duration, seed uint64) fleetDay {
	const duration = 5 * time.Minute
	rng := rand.New(rand.NewPCG(seed, 21))
	day := fleetDay{tiers: []int{nodes}, fleetCallTime: fleetCallTime, queueTimeout: 3 * time.Second, backlogFactor: 1, resubscribeWithin: defaultResubscribeWithin,
		listLines: 1, duration: duration}
	for at := 20 * time.Second; at < duration-30*time.Second; {
		kinds := []outageKind{resetsConnections, dropsCalls}
		first := rng.IntN(2)
		outageTime := time.Duration(rng.Int64N(int64(12 * time.Second)))
		if rng.IntN(3) == 0 { // one kind turns into the other
			day.outages = append(day.outages, outage{at, at + outageTime/2, kinds[first]}, outage{at + outageTime/2, at + outageTime, kinds[1-first]})
		} else {
			day.outages = append(day.outages, outage{at, at + outageTime, kinds[first]})
		}
		for _, changeAt := range []time.Duration{at + outageTime/3, at + outageTime, at + outageTime + time.Duration(rng.Int64N(int64(4*time.Second)))} {
			day.changes = append(day.changes, change{changeAt, 1})
		}
		at += outageTime + 10*time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
	}
	return day
}

// Whatever calls have failed, and in whatever order, a node must call again within 6 s from the time at which
// the registry has a change and can be reached, provided that the fleet's calls do not overload the registry.
func TestChangesAreDeliveredInTime(t *testing.T) {
	seeds := uint64(2)
	if longTests() {
		seeds = 10
	}
	for _, c := range []struct {
		nodes         int
		fleetCallTime time.Duration
		inTime        bool
	}{{4, 2 * time.Second, true}, {20, 2 * time.Second, true}, {30, 2 * time.Second, true}, {300, 2 * time.Second, true},
		// No order of calls could meet the limit here: the last node's answer alone comes after 8 s.
		{8, 8 * time.Second, false}, {300, 8 * time.Second, false}} {
		for seed := range seeds {
			result := playFleet(outageDay(c.nodes, c.fleetCallTime, seed), seed)
			t.Logf("%d nodes, one call of each in %v, seed %d: %v", c.nodes, c.fleetCallTime, seed, result)
			if last := worst(result.lateness); c.inTime && last > drainGrace {
				t.Errorf("%d nodes, seed %d: a change arrives %v after the node is deemed to know it", c.nodes, seed, last)
			}
		}
	}
}
