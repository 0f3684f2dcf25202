package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// writeTriple writes one number into three rows with one commit, and returns whether the commit is
// durable.
func writeTriple(store *Store, now *time.Duration, number int, suffix string) bool {
	var last uint64
	for _, key := range []string{"a", "b", "c"} {
		last, _ = store.Put(*now, 1, key, fmt.Appendf(nil, "%d%s", number, suffix), true)
	}
	*now += 2 * time.Minute // longer than any retry delay
	store.Commit(*now)
	return last > 0 && store.Durable() >= last
}

func readTriple(store *Store) []string {
	return slices.Compact([]string{string(store.Get(1, "a")), string(store.Get(1, "b")), string(store.Get(1, "c"))})
}

// After any power failure each commit must be there as a whole or not at all, and nothing that was
// durable may be lost.
func TestCommitsAreWhole(t *testing.T) {
	for seed := range uint64(3000) { // drawn uniformly: rapid favours small numbers and misses the relevant cases
		draw := rand.New(rand.NewPCG(seed, 5)).IntN
		disk, now, written, durable := newDisk(), time.Hour, 0, 0
		for range 1 + draw(4) {
			store, report := Open(disk, Settings{AtomicCommits: true, UrgentSyncInterval: 1})
			rows := readTriple(store)
			if len(rows) != 1 {
				t.Fatalf("seed %d: part of a commit was recovered: %q (%v)", seed, rows, report)
			}
			recovered := 0
			fmt.Sscan(rows[0], &recovered)
			if recovered < durable || recovered > written {
				t.Fatalf("seed %d: recovered %d, want %d, which was durable, up to %d, the last written (%v)", seed, recovered, durable, written, report)
			}
			written, durable = recovered, recovered
			for range draw(4) {
				disk.faults[disk.ops+1+draw(40)] = []string{"error", "torn", "short", "power"}[draw(4)]
			}
			for range draw(20) {
				written++
				if writeTriple(store, &now, written, "") {
					durable = written
				}
				if draw(4) == 0 {
					store.journalBytes += minCompactBytes
					for more := true; more; {
						more, _ = store.Compact(now)
					}
				}
			}
			disk = disk.crash(draw)
		}
	}
}

// A changed byte in a file must be reported or change nothing. Only the last commit may look as if
// it had never been completed.
func TestDamagedAtomicCommitsAreReported(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, Settings{AtomicCommits: true, UrgentSyncInterval: 1})
	const last = 6
	for n := 1; n <= last; n++ {
		if !writeTriple(store, &now, n, "") {
			t.Fatal("the commit is not durable")
		}
	}
	tornWrites := 0
	for name, file := range disk.files {
		for offset := range file.synced {
			file.synced[offset] ^= 0x41
			store, report := Open(disk, Settings{AtomicCommits: true})
			reported := report.DamagedBytes > 0 || report.NoSnapshot || report.IncompleteSnapshots > 0 || len(report.Notes) > 0
			switch rows := readTriple(store); {
			case len(rows) == 1 && rows[0] == fmt.Sprint(last):
			case reported:
			case len(rows) == 1 && rows[0] == fmt.Sprint(last-1) && report.TruncatedBytes > 0:
				tornWrites++
			default:
				t.Errorf("%s, byte %d changed: rows %q, report: %v", name, offset, rows, report)
			}
			file.synced[offset] ^= 0x41
		}
	}
	if tornWrites == 0 {
		t.Error("no damage to the last commit was reported as a torn write")
	}
}
