package virtual

import (
	"os"
	"slices"
	"testing"
	"time"

	"curlewring/decide"
)

// oldList is 20 nodes that start at once on a list of a week with three fifths of it stale, before 24 boxes that
// have just started, with the load of all day.
func oldListConfig(arm OldListMode, seed uint64, load float64) Config {
	c := Default()
	c.Seed, c.Nodes = seed, 20
	c.Kinds = []ServerKind{{Count: 24, Cores: 2, Speed: 1}}
	c.Rate = load * c.Capacity()
	c.Duration = 40 * time.Second
	c.OldList = &OldList{Mode: arm, Age: 7 * 24 * time.Hour, StaleEntries: 36, Outage: 30 * time.Second, ColdServers: true}
	c.Classes[0].Idempotency = decide.AtMostOnce // an unsafe request to a stranger is what must not happen
	return c
}

// A node that doubts an old list pushes no box over and sends a stranger hardly anything; the two controls show what
// it costs and what it saves.
func TestOldListWithoutDiscovery(t *testing.T) {
	seeds := uint64(2)
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds = 10
	}
	for _, load := range []float64{0.5, 0.9} {
		for arm, name := range []string{"doubts", "trusts", "waits"} {
			var service, desk, misses, attempts []float64
			fallen, strangers, unsafe := 0, 0, 0
			for seed := range seeds {
				c := oldListConfig(OldListMode(arm), seed+1, load)
				r := Run(c)
				asked := r.Classes[0].Requests + r.Classes[1].Requests
				service, desk = append(service, r.ServedWorth), append(desk, float64(r.Classes[0].Served)/float64(r.Classes[0].Requests))
				misses = append(misses, float64(r.StaleAttempts)/float64(asked))
				attempts = append(attempts, float64(r.Attempts)/float64(asked))
				strangers, unsafe = strangers+r.WrongProcessAttempts, unsafe+r.UnsafeMisdeliveries
				for _, b := range r.Breaches {
					if fallen++; arm == int(VerifyList) {
						t.Errorf("seed %d: %s", seed+1, b)
					}
				}
			}
			for _, x := range [][]float64{service, desk, misses, attempts} {
				slices.Sort(x)
			}
			mid := len(service) / 2
			if (unsafe > 0) != (arm == int(TrustList)) {
				t.Errorf("%s: %d unsafe requests went to strangers", name, unsafe)
			}
			t.Logf("load %.1f, %s: service %.3f (%.3f to %.3f), desk %.3f, misses a request %.4f, attempts %.3f, strangers %d (%d unsafe), broken %d",
				load, name, service[mid], service[0], service[len(service)-1], desk[mid], misses[mid], attempts[mid], strangers, unsafe, fallen)
		}
	}
}

// 300 nodes that start at once on such a list: the boxes that are left, few and cold, are not pushed over.
func TestManyNodesOnAnOldList(t *testing.T) {
	for _, arm := range []OldListMode{VerifyList, TrustList} {
		c := oldListConfig(arm, 1, 0.8)
		c.Nodes, c.Duration = 300, 12*time.Second
		c.OldList.Outage = 8 * time.Second
		c.OldList.StaleEntries = 400
		r := Run(c)
		t.Logf("arm %d: service %.3f, busiest %.2f, broken %d", arm, r.ServedWorth, r.PeakLoadRatio, len(r.Breaches))
		if arm == VerifyList && len(r.Breaches) > 0 {
			t.Errorf("%v", r.Breaches)
		}
	}
}
