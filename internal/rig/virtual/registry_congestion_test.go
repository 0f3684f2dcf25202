package virtual

import (
	"testing"
	"time"
)

// thunderingHerdDay is a day on which the registry is down for 8 s until a release has begun, and most front nodes
// restart after it.
func thunderingHerdDay() fleetDay {
	const callsPerSecond = 42
	day := fleetDay{
		tiers: []int{47, 120, 153}, backlogFactor: defaultBacklogFactor, resubscribeWithin: defaultResubscribeWithin,
		listLines: 100,
		warmUp:    30 * time.Second, duration: 48 * time.Second,
		outages:  []outage{{3200 * time.Millisecond, 11200 * time.Millisecond, failsSlowly}},
		restarts: []restart{{at: 12760 * time.Millisecond, share: 0.7}},
	}
	day.fleetCallTime = time.Duration(float64(day.nodeCount()) / callsPerSecond * float64(time.Second))
	for at := 11060 * time.Millisecond; at < 23*time.Second; at += 850 * time.Millisecond {
		day.changes = append(day.changes, change{at, 20})
	}
	return day
}

// After an outage the calls of a fleet must not exceed the capacity of the registry. Otherwise every call times
// out in its queue, the work on it is lost, and the registry answers no one (congestion collapse).
func TestNoCongestionCollapse(t *testing.T) {
	seeds := uint64(3)
	if longTests() {
		seeds = 10
	}
	for seed := range seeds {
		result := playFleet(thunderingHerdDay(), seed)
		last := result.sumBetween(43*time.Second, 48*time.Second)
		t.Logf("seed %d: %v", seed, result)
		t.Logf("the last 5 s: %+v", last)
		if seed == 0 {
			for i, counts := range result.perSecond {
				t.Logf("%2d s: %+v", i, counts)
			}
		}
		if share := last.answeredShare(); share < 0.9 {
			t.Errorf("seed %d: %.3f of the calls of the last 5 s were answered, want at least 0.9", seed, share)
		}
	}
}
