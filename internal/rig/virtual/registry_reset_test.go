package virtual

import (
	"fmt"
	"testing"
	"time"
)

// resetDay is a day on which all open polls are reset at once, some seconds before servers drain one after another.
func resetDay(tiers []int, callOfEach time.Duration) fleetDay {
	nodes := 0
	for _, n := range tiers {
		nodes += n
	}
	day := uneventfulDay(nodes, callOfEach)
	day.tiers = tiers
	day.outages = []outage{{3 * time.Second, 3010 * time.Millisecond, resetsConnections}}
	for i := range 4 {
		day.changes = append(day.changes, change{8*time.Second + time.Duration(i)*300*time.Millisecond, 1})
	}
	day.duration = recoveryPeriod
	return day
}

// Polls that are reset at once must not bring all nodes back to the registry at once: calls that wait in its queue for too
// long fail, have cost it their work, and keep those after them from being answered. Where only a part of the nodes watches
// the list that changes, changes must be told in time; where all do, each change has all of them call again, and some are late.
func TestResetPollsReconnectInTurn(t *testing.T) {
	seeds := 15 * registrySeeds()
	for _, c := range []struct {
		tiers      []int
		callOfEach time.Duration
		late       float64 // share of the tellings, at the most
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
		t.Run(fmt.Sprintf("%v nodes, %v", c.tiers, c.callOfEach), func(t *testing.T) {
			tellings, late := 0, 0
			last := time.Duration(0)
			for seed := range seeds {
				x := playFleet(resetDay(c.tiers, c.callOfEach), seed)
				for _, lateness := range x.lateness {
					tellings++
					if lateness > drainGrace {
						late++
					}
				}
				last = max(last, worst(x.lateness))
			}
			share := float64(late) / float64(tellings)
			t.Logf("%.3f of %d tellings late, the worst by %v", share, tellings, last)
			if tellings == 0 || share > c.late {
				t.Errorf("%.3f of the changes come too late, at most %.3f may", share, c.late)
			}
		})
	}
}
