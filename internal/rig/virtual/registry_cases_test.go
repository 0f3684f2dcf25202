package virtual

import (
	"testing"
	"time"
)

// herdDay is a day on which the registry is down for 8 s into a release, and most front nodes start anew after it.
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

// After an outage the calls of a fleet must not outgrow what the registry can work through, or it answers nobody.
func TestNoCongestionCollapse(t *testing.T) {
	seeds := uint64(3)
	if longTests() {
		seeds = 10
	}
	for seed := range seeds {
		x := playFleet(thunderingHerdDay(), seed)
		last := x.sumBetween(43*time.Second, 48*time.Second)
		t.Logf("seed %d: %v", seed, x)
		t.Logf("last 5 s: %+v", last)
		if seed == 0 {
			for i, s := range x.perSecond {
				t.Logf("%2d s: %+v", i, s)
			}
		}
		if share := last.answeredShare(); share < 0.9 {
			t.Errorf("seed %d: %.3f of the calls of the last 5 s are answered", seed, share)
		}
	}
}
