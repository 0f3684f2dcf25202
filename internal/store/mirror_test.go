package store

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var mirrored = Settings{AtomicCommits: true, MirrorJournal: true, UrgentSyncInterval: 1}

// distrusted reports whether anything was found that no crash leaves behind.
func distrusted(report Report) bool {
	return report.DamagedBytes > 0 || report.LostBytes > 0 || report.NoSnapshot && report.Rows > 0 ||
		report.IncompleteSnapshots > 0 || len(report.Notes) > 0
}

// recoveredTriple returns the number that the rows hold, or -1 if they are of different commits.
func recoveredTriple(store *Store) (number int) {
	rows := readTriple(store)
	if len(rows) != 1 {
		return -1
	}
	fmt.Sscan(rows[0], &number)
	return number
}

// A power failure must not be taken for a lost commit, whichever operations failed before. After it, no cut of one
// file, and no loss of one, may lose a durable commit unnoticed.
func TestCutOfOneFileLosesNoCommitUnnoticed(t *testing.T) {
	cuts, noticed := 0, 0
	for seed := range uint64(500) {
		draw := rand.New(rand.NewPCG(seed, 6)).IntN
		disk, now, written, durable := newDisk(), time.Hour, 0, 0
		for range 1 + draw(3) {
			store, report := Open(disk, mirrored)
			if recovered := recoveredTriple(store); recovered < durable || recovered > written || report.LostBytes > 0 || report.DamagedBytes > 0 {
				t.Fatalf("seed %d: after a power failure: recovered %d, want %d to %d, and no damage (%v)", seed, recovered, durable, written, report)
			}
			for range draw(3) {
				disk.faults[disk.ops+1+draw(60)] = []string{"error", "torn", "short", "power"}[draw(4)]
			}
			for range draw(12) {
				written++
				if writeTriple(store, &now, written, "") {
					durable = written
				}
				if draw(4) == 0 {
					store.journalBytes += minCompactBytes
					for more := true; more && draw(5) > 0; {
						more, _ = store.Compact(now)
					}
				}
			}
			disk = disk.crash(draw)
		}
		for name, intact := range disk.files {
			offsets := []int{-1, 0, draw(len(intact.synced) + 1), draw(len(intact.synced) + 1), max(0, len(intact.synced)-1)} // -1: removed
			for _, offset := range offsets {
				disk.files[name] = &inode{synced: intact.synced[:min(max(offset, 0), len(intact.synced))]}
				if offset < 0 {
					delete(disk.files, name)
				}
				store, report := Open(disk, mirrored)
				cuts++
				if distrusted(report) {
					noticed++
				} else if recovered := recoveredTriple(store); recovered < durable {
					t.Fatalf("seed %d: %s cut at byte %d: recovered %d, durable was %d (%v)", seed, name, offset, recovered, durable, report)
				}
			}
			disk.files[name] = intact
		}
	}
	t.Logf("%d of %d cuts noticed, the others lost nothing", noticed, cuts)
}

// With both copies of a journal cut, what is left must be reported unless the copies differ by one commit at most.
func TestUnequalCutsAreReported(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, mirrored)
	journal, mirror := "journal-1", "mirror-1"
	var ends []int // sizes after each commit
	for n := 1; n <= 6; n++ {
		writeTriple(store, &now, n, "")
		ends = append(ends, len(disk.files[journal].synced))
	}
	intact := disk.files[journal].synced
	if !slices.Equal(intact, disk.files[mirror].synced) {
		t.Fatal("the copies of the journal differ")
	}
	for i, journalEnd := range ends {
		for j, mirrorEnd := range ends {
			disk.files[journal], disk.files[mirror] = &inode{synced: intact[:journalEnd]}, &inode{synced: intact[:mirrorEnd]}
			store, report := Open(disk, mirrored)
			wantDamage := []Damage{{File: journal, Offset: journalEnd}}
			if i > j {
				wantDamage[0] = Damage{File: mirror, Offset: mirrorEnd}
			}
			if max(i, j)-min(i, j) <= 1 {
				wantDamage = nil
			}
			if !slices.Equal(report.Damage, wantDamage) || distrusted(report) != (wantDamage != nil) {
				t.Errorf("cut after commits %d and %d: report %v, want damage %v", i+1, j+1, report, wantDamage)
			}
			if recovered := recoveredTriple(store); recovered != max(i, j)+1 {
				t.Errorf("cut after commits %d and %d: recovered %d", i+1, j+1, recovered)
			}
			if lost := ends[max(i, j)] - ends[min(i, j)]; report.LostBytes > 0 && report.LostBytes != lost {
				t.Errorf("cut after commits %d and %d: %d bytes reported as lost, want %d", i+1, j+1, report.LostBytes, lost)
			}
		}
	}
}

// Files of a program without mirrors must load without a report, also beside a mirror of the same generation that such
// a program has left; that program must be able to read the journal of a mirrored store.
func TestFilesWithoutMirror(t *testing.T) {
	disk, now := newDisk(), time.Hour
	earlier := mirrored
	earlier.MirrorJournal = false
	store, _ := Open(disk, earlier)
	for n := 1; n <= 4; n++ {
		writeTriple(store, &now, n, "")
	}
	foreign := beginJournalRecord(1, 2)
	disk.files["mirror-1"] = &inode{synced: foreign.append(nil, 1)}
	store, report := Open(disk, mirrored)
	if recoveredTriple(store) != 4 || distrusted(report) {
		t.Fatalf("files of a program without mirrors: recovered %d, report %v", recoveredTriple(store), report)
	}
	for n := 5; n <= 8; n++ {
		writeTriple(store, &now, n, "")
	}
	if store, report = Open(disk, earlier); recoveredTriple(store) != 8 || distrusted(report) {
		t.Errorf("files of a mirrored store: recovered %d, report %v", recoveredTriple(store), report)
	}
	writeTriple(store, &now, 9, "") // a generation without a mirror
	if store, report = Open(disk, mirrored); recoveredTriple(store) != 9 || distrusted(report) {
		t.Errorf("after a program without mirrors: recovered %d, report %v", recoveredTriple(store), report)
	}
	for n := 10; n <= 12; n++ {
		writeTriple(store, &now, n, "")
		store.journalBytes += minCompactBytes
		for more := true; more; {
			more, _ = store.Compact(now)
		}
	}
	for name := range disk.files {
		if strings.HasSuffix(name, "-1") {
			t.Errorf("%s was not removed", name)
		}
	}
}

// What a crash leaves of the journal of a new generation must not be distrusted, but where it may be the journal of a
// program without mirrors that was cut. A journal that had commits must be distrusted when it is cut there.
func TestTornStartOfGeneration(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, mirrored)
	for n := 1; n <= 3; n++ {
		writeTriple(store, &now, n, "")
	}
	begin := beginJournalRecord(2, 2)
	first := begin.append(nil, 2)
	for journalSize := range len(first) + 1 {
		for mirrorSize := range len(first) + 1 {
			disk.files["journal-2"], disk.files["mirror-2"] = &inode{synced: first[:journalSize]}, &inode{synced: first[:mirrorSize]}
			reopened, report := Open(disk, mirrored)
			ambiguous := journalSize > 0 && journalSize <= 8 // the length of the value is not there
			if recovered := recoveredTriple(reopened); recovered != 3 || distrusted(report) != ambiguous {
				t.Errorf("%d and %d bytes of the first record: recovered %d, report %v", journalSize, mirrorSize, recovered, report)
			}
		}
	}
	earlier := beginRecord(2)
	delete(disk.files, "mirror-2")
	for size := 1; size < earlier.size(); size++ {
		disk.files["journal-2"] = &inode{synced: earlier.append(nil, 2)[:size]}
		if _, report := Open(disk, mirrored); !distrusted(report) {
			t.Errorf("%d bytes of the first record of a program without mirrors: report %v", size, report)
		}
	}
	delete(disk.files, "journal-2")
	intact := disk.files["journal-1"].synced
	for size := range first {
		disk.files["journal-1"] = &inode{synced: intact[:size]}
		if _, report := Open(disk, mirrored); !distrusted(report) {
			t.Errorf("journal-1 cut at byte %d: report %v", size, report)
		}
	}
}
