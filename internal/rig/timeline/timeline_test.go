package timeline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Events must come by their time, and those of one moment in the order in which they were planned, whatever is planned while
// others are carried out: a run would else not repeat from its seed.
func TestEventsRunInOrder(t *testing.T) {
	type planned struct {
		at    time.Duration
		order int
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var events Events
		var now time.Duration
		var all, came []planned
		var plan func()
		plan = func() {
			p := planned{now + time.Duration(rng.IntN(20)), len(all)}
			all = append(all, p)
			events.At(p.at, func() {
				if now != p.at {
					t.Fatalf("seed %d: planned for %d, came at %d", seed, p.at, now)
				}
				came = append(came, p)
				for range rng.IntN(3) {
					if len(all) < 2000 {
						plan()
					}
				}
			})
		}
		for range 100 {
			plan()
		}
		if at, ok := events.Next(); !ok || at != slices.MinFunc(all, func(a, b planned) int { return cmp.Compare(a.at, b.at) }).at {
			t.Fatalf("seed %d: the next comes at %v, %v", seed, at, ok)
		}
		events.Run(time.Hour, &now)
		if now != time.Hour || len(came) != len(all) {
			t.Fatalf("seed %d: %d of %d events came up to %v", seed, len(came), len(all), now)
		}
		if !slices.IsSortedFunc(came, func(a, b planned) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) }) {
			t.Fatalf("seed %d: events come out of order", seed)
		}
	}
}
