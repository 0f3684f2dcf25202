package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// promise writes one number into three rows in one commit; the store says whether it is durable.
func promise(s *Store, now *time.Duration, n int, pad string) bool {
	var last uint64
	for _, key := range []string{"a", "b", "c"} {
		last, _ = s.Put(*now, 1, key, fmt.Appendf(nil, "%d%s", n, pad), true)
	}
	*now += 2 * time.Minute // beyond any wait after a failure
	s.Commit(*now)
	return last > 0 && s.Durable() >= last
}

func kept(s *Store) []string {
	return slices.Compact([]string{string(s.Get(1, "a")), string(s.Get(1, "b")), string(s.Get(1, "c"))})
}

// What one commit wrote is there all of it or none after any power cut, and nothing that was durable is lost.
func TestCommitsAreWhole(t *testing.T) {
	for seed := range uint64(3000) { // drawn evenly: what matters is rare among small draws
		draw := rand.New(rand.NewPCG(seed, 5)).IntN
		d, now, n, durable := newDisk(), time.Hour, 0, 0
		for range 1 + draw(4) {
			s, report := Open(d, Settings{AtomicCommits: true, UrgentSyncInterval: 1})
			got := kept(s)
			if len(got) != 1 {
				t.Fatalf("seed %d: half of a commit: %q (%v)", seed, got, report)
			}
			have := 0
			fmt.Sscan(got[0], &have)
			if have < durable || have > n {
				t.Fatalf("seed %d: %d is there; %d was durable, %d the last (%v)", seed, have, durable, n, report)
			}
			n, durable = have, have
			for range draw(4) {
				d.fails[d.ops+1+draw(40)] = []string{"error", "torn", "short", "power"}[draw(4)]
			}
			for range draw(20) {
				n++
				if promise(s, &now, n, "") {
					durable = n
				}
				if draw(4) == 0 {
					s.journalBytes += minCompactBytes
					for more := true; more; {
						more, _ = s.Compact(now)
					}
				}
			}
			d = d.crash(draw)
		}
	}
}

// A byte that changes in what was written is told, or changes nothing; the last commit alone may look as if it was never
// ended.
func TestDamageOfWholeCommitsIsTold(t *testing.T) {
	d, now := newDisk(), time.Hour
	s, _ := Open(d, Settings{AtomicCommits: true, UrgentSyncInterval: 1})
	const last = 6
	for n := 1; n <= last; n++ {
		if !promise(s, &now, n, "") {
			t.Fatal("not durable")
		}
	}
	silent := 0
	for name, n := range d.files {
		for at := range n.synced {
			n.synced[at] ^= 0x41
			s, report := Open(d, Settings{AtomicCommits: true})
			told := report.DamagedBytes > 0 || report.NoSnapshot || report.IncompleteSnapshots > 0 || len(report.Notes) > 0
			switch got := kept(s); {
			case len(got) == 1 && got[0] == fmt.Sprint(last):
			case told:
			case len(got) == 1 && got[0] == fmt.Sprint(last-1) && report.TruncatedBytes > 0:
				silent++
			default:
				t.Errorf("%s, byte %d: %q, and the report says %v", name, at, got, report)
			}
			n.synced[at] ^= 0x41
		}
	}
	if silent == 0 {
		t.Error("damage of the last commit was never taken for a torn write")
	}
}
