package timeline

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Events must run in order of their time, and events of the same time in the order in which they were scheduled,
// also if running events schedule more. Otherwise a simulation would not repeat from its seed.
func TestEventsRunInOrder(t *testing.T) {
	type scheduled struct {
		at    time.Duration
		order int
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var events Events
		var now time.Duration
		var all, ran []scheduled
		var schedule func()
		schedule = func() {
			p := scheduled{now + time.Duration(rng.IntN(20)), len(all)}
			all = append(all, p)
			events.At(p.at, func() {
				if now != p.at {
					t.Fatalf("seed %d: event scheduled for %d ran at %d", seed, p.at, now)
				}
				ran = append(ran, p)
				for range rng.IntN(3) {
					if len(all) < 2000 {
						schedule()
					}
				}
			})
		}
		for range 100 {
			schedule()
		}
		if at, ok := events.Next(); !ok || at != slices.MinFunc(all, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) }).at {
			t.Fatalf("seed %d: Next returned %v, %v", seed, at, ok)
		}
		events.Run(time.Hour, &now)
		if now != time.Hour || len(ran) != len(all) {
			t.Fatalf("seed %d: %d of %d events ran up to %v", seed, len(ran), len(all), now)
		}
		if !slices.IsSortedFunc(ran, func(a, b scheduled) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) }) {
			t.Fatalf("seed %d: events ran out of order", seed)
		}
	}
}
