package virtual

import (
	"os"
	"slices"
	"testing"
	"time"

	"curlewring/decide"
)

// staleListConfig returns a fleet of 20 nodes that start at once with a list that is a week old, of which three
// fifths are stale. The 24 servers have just started, and the load is constant from the start.
func staleListConfig(mode StaleListMode, seed uint64, load float64) Config {
	c := Default()
	c.Seed, c.Nodes = seed, 20
	c.Kinds = []ServerKind{{Count: 24, Cores: 2, Speed: 1}}
	c.Rate = load * c.Capacity()
	c.Duration = 40 * time.Second
	c.StaleList = &StaleList{Mode: mode, Age: 7 * 24 * time.Hour, StaleEntries: 36, Outage: 30 * time.Second, ColdServers: true}
	c.Classes[0].Idempotency = decide.AtMostOnce // such requests must not reach a wrong process
	return c
}

// Nodes that verify a stale list must not make servers collapse, and must send hardly anything to wrong
// processes, least of all unsafe requests. The two control modes show what that costs and saves.
func TestOldListWithoutDiscovery(t *testing.T) {
	seeds := uint64(2)
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds = 10
	}
	for _, load := range []float64{0.5, 0.9} {
		for mode, name := range []string{"verify", "trust", "discard"} {
			var servedWorth, firstClass, staleAttempts, attempts []float64
			breaches, wrongProcess, unsafe := 0, 0, 0
			for seed := range seeds {
				c := staleListConfig(StaleListMode(mode), seed+1, load)
				r := Run(c)
				requests := r.Classes[0].Requests + r.Classes[1].Requests
				servedWorth, firstClass = append(servedWorth, r.ServedWorth), append(firstClass, float64(r.Classes[0].Served)/float64(r.Classes[0].Requests))
				staleAttempts = append(staleAttempts, float64(r.StaleAttempts)/float64(requests))
				attempts = append(attempts, float64(r.Attempts)/float64(requests))
				wrongProcess, unsafe = wrongProcess+r.WrongProcessAttempts, unsafe+r.UnsafeMisdeliveries
				for _, breach := range r.Breaches {
					if breaches++; mode == int(VerifyList) {
						t.Errorf("seed %d: %s", seed+1, breach)
					}
				}
			}
			for _, figures := range [][]float64{servedWorth, firstClass, staleAttempts, attempts} {
				slices.Sort(figures)
			}
			median := len(servedWorth) / 2
			if (unsafe > 0) != (mode == int(TrustList)) {
				t.Errorf("%s: %d unsafe requests reached wrong processes", name, unsafe)
			}
			t.Logf("load %.1f, %s: served worth %.3f (%.3f to %.3f), first class served %.3f, stale attempts per request %.4f, attempts %.3f, wrong processes %d (%d unsafe), breaches %d",
				load, name, servedWorth[median], servedWorth[0], servedWorth[len(servedWorth)-1], firstClass[median], staleAttempts[median], attempts[median], wrongProcess, unsafe, breaches)
		}
	}
}

// 300 nodes that start at once with such a list must not make the few, cold servers that are left collapse.
func TestManyNodesOnAnOldList(t *testing.T) {
	for _, mode := range []StaleListMode{VerifyList, TrustList} {
		c := staleListConfig(mode, 1, 0.8)
		c.Nodes, c.Duration = 300, 12*time.Second
		c.StaleList.Outage = 8 * time.Second
		c.StaleList.StaleEntries = 400
		r := Run(c)
		t.Logf("mode %d: served worth %.3f, peak load ratio %.2f, breaches %d", mode, r.ServedWorth, r.PeakLoadRatio, len(r.Breaches))
		if mode == VerifyList && len(r.Breaches) > 0 {
			t.Errorf("breaches: %v", r.Breaches)
		}
	}
}
