package requestids

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"testing"
	"time"
)

const retention = 10 * time.Second

func newTable(limit int) *Table {
	return New(Settings{Retention: retention, MaxRemembered: limit, Seed: maphash.MakeSeed()}, 0)
}

// Any history of IDs: one in use is never given out again, and one that may have run is remembered for Retention.
func TestAnyHistory(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 77))
		table, now := newTable(1<<20), time.Duration(0)
		inUse, ranAt := map[string]bool{}, map[string]time.Duration{}
		for range 5000 {
			now += time.Duration(rng.IntN(30)) * time.Millisecond
			id := fmt.Sprint(rng.IntN(300))
			if inUse[id] && rng.IntN(2) == 0 {
				remember := rng.IntN(2) == 0
				table.Release(now, id, remember)
				delete(inUse, id)
				if remember {
					ranAt[id] = now
				}
				continue
			}
			at, ran := ranAt[id]
			switch got := table.Reserve(now, id); {
			case inUse[id]:
				if got != InUse {
					t.Fatalf("seed %d: %v for an ID in use", seed, got)
				}
			case ran && now <= at+retention && got != HasRun, ran && now > at+2*retention+time.Second && got == HasRun, !ran && got != Free:
				t.Fatalf("seed %d: %v for an ID that ran %v ago: %v", seed, got, now-at, ran)
			case got == Free:
				inUse[id] = true
			}
		}
		if table.InUse() != len(inUse) {
			t.Fatalf("seed %d: %d in use, want %d", seed, table.InUse(), len(inUse))
		}
	}
}

// Guards against memory that grows with ever new IDs.
func TestRememberedIDsAreLimited(t *testing.T) {
	const limit = 1000
	table := newTable(limit)
	for n := range 10 * limit {
		id := fmt.Sprint(n)
		table.Reserve(0, id)
		table.Release(0, id, true)
		if table.Remembered() > limit {
			t.Fatalf("%d IDs are remembered, the limit is %d", table.Remembered(), limit)
		}
		if table.Reserve(0, id) != HasRun {
			t.Fatalf("the newest ID is forgotten")
		}
	}
}
