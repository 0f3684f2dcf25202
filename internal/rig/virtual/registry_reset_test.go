package virtual

import (
	"fmt"
	"testing"
	"time"
)

// resetDay is a day on which all open polls are reset at once, some seconds before servers drain one after the
// other.
func resetDay(tiers []int, fleetCallTime time.Duration) fleetDay {
	nodes := 0
	for _, n := range tiers {
		nodes += n
	}
	day := uneventfulDay(nodes, fleetCallTime)
	day.tiers = tiers
	day.outages = []outage{{3 * time.Second, 3010 * time.Millisecond, resetsConnections}}
	for i := range 4 {
		day.changes = append(day.changes, change{8*time.Second + time.Duration(i)*300*time.Millisecond, 1})
	}
	day.duration = recoveryPeriod
	return day
}

// When all polls are reset at once, the nodes must not all call the registry again at once. Calls that wait in
// its queue for too long fail, although the registry has done their work, and delay those behind them. Where
// only some of the nodes watch the list that changes, changes must arrive in time. Where all do, each change
// makes all of them call again, and some changes are late.
func TestResetPollsReconnectInTurn(t *testing.T) {
	seeds := 15 * registrySeeds()
	for _, c := range []struct {
		tiers         []int
		fleetCallTime time.Duration
		maxLate       float64 // maximum fraction of the deliveries
	}{
		{[]int{3, 5}, 2 * time.Second, 0},
		{[]int{12, 36}, 2 * time.Second, 0},
		{[]int{2, 3}, 4 * time.Second, 0.1},
		{[]int{3, 5}, 4 * time.Second, 0.1},
		{[]int{4, 8}, 4 * time.Second, 0},
		{[]int{12, 36}, 4 * time.Second, 0},
		{[]int{30}, 4 * time.Second, 0.4},
		{[]int{12, 36}, 8 * time.Second, 0.6},
	} {
		t.Run(fmt.Sprintf("%v nodes, %v", c.tiers, c.fleetCallTime), func(t *testing.T) {
			deliveries, late := 0, 0
			last := time.Duration(0)
			for seed := range seeds {
				result := playFleet(resetDay(c.tiers, c.fleetCallTime), seed)
				for _, lateness := range result.lateness {
					deliveries++
					if lateness > drainGrace {
						late++
					}
				}
				last = max(last, worst(result.lateness))
			}
			share := float64(late) / float64(deliveries)
			t.Logf("%.3f of %d deliveries late, the worst by %v", share, deliveries, last)
			if deliveries == 0 || share > c.maxLate {
				t.Errorf("%.3f of the changes arrive too late, want at most %.3f", share, c.maxLate)
			}
		})
	}
}
