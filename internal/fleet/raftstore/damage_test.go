package raftstore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/store"
)

// saveStates saves a few updates, with rows of all kinds, and returns the folder and the text of the state after each.
func saveStates(t *testing.T) (f *folder, states []string) {
	t.Helper()
	f = newFolder()
	model := consensus.NewCluster([]uint64{7, 8, 9})[0]
	s, _ := openStore(f)
	if err := s.Reset(time.Hour, &model, nil); err != nil {
		t.Fatal(err)
	}
	states = append(states, stateText(&model))
	rng := rand.New(rand.NewPCG(1, 4))
	for i := uint64(2); i < 8; i++ {
		update := consensus.Update{
			Boots:   map[uint64]uint64{7: i << 32},
			Entries: newEntries(i, i, i, rng),
			Hard:    &raftpb.HardState{Term: proto.Uint64(i), Vote: proto.Uint64(8), Commit: proto.Uint64(i)},
		}
		update.Entries[0].Data = []byte("data")
		if i == 5 {
			update.CompactedTo = 3
			update.Snapshot = &raftpb.Snapshot{Data: []byte("snapshot"), Metadata: &raftpb.SnapshotMetadata{
				ConfState: &raftpb.ConfState{Voters: []uint64{7, 8, 9}}, Index: proto.Uint64(4), Term: proto.Uint64(4)}}
		}
		if err := s.Save(time.Hour, &update, nil); err != nil {
			t.Fatal(err)
		}
		model.Apply(&update)
		states = append(states, stateText(&model))
	}
	return f, states
}

// A changed byte in a file, or a file that is cut, must be reported with the file and an offset up to that byte, or be
// without effect. Of damage at the end of a journal this check allows that it is taken for a write that a crash
// interrupted, which leaves the state of an earlier Save; TestDamageLosesNoSaveUnnoticed does not.
func TestDamagedFilesAreNamed(t *testing.T) {
	f, states := saveStates(t)
	counts := map[string]int{}
	check := func(what, name string, offset, earliest int) {
		_, loaded := openStore(f)
		index := slices.Index(states, stateText(&loaded.State))
		switch {
		case loaded.DistrustReason != "":
			counts[what+", distrusted"]++
			_, after, found := strings.Cut(loaded.DistrustReason, name+" damaged or cut at byte ")
			at := offset + 1
			fmt.Sscan(after, &at)
			if notRead := strings.Contains(loaded.DistrustReason, name+" is left alone"); found == notRead || found && at > offset {
				t.Errorf("%s, %s at byte %d: %s", name, what, offset, loaded.DistrustReason)
			}
		case index == len(states)-1:
			counts[what+", without effect"]++
		case index >= earliest && strings.HasPrefix(name, "journal"):
			counts[what+", taken for an interrupted write"]++
		default:
			t.Errorf("%s, %s at byte %d: state %d of %d is trusted", name, what, offset, index, len(states))
		}
	}
	for name, intact := range f.files {
		for offset := range intact {
			f.files[name] = slices.Clone(intact)
			f.files[name][offset] ^= 0x41
			check("changed", name, offset, len(states)-2)
			f.files[name] = intact[:offset]
			check("cut", name, offset, 0)
		}
		f.files[name] = intact
	}
	t.Log(counts)
}

// Rows that reach this package damaged, as the store's checksums let none through, must be reported with their table
// and key wherever that can be seen: at each cut of a row, but of an entry before its data and of the last chunk. No
// changed bit may lead to a panic or to an error without a row.
func TestDamagedRowsAreNamed(t *testing.T) {
	f, states := saveStates(t)
	for _, test := range []struct {
		table      byte
		key        string
		want       string
		hiddenCuts int
	}{
		{tableVoter, rowID, "row id of table voter: ", 0},
		{tableVoter, rowHard, "row hard of table voter: ", 0},
		{tableVoter, rowSnapshot, "row snapshot of table voter: ", 0},
		{tableBoots, encodeUint64(7), "row 7 of table boots: ", 0},
		{tableChunks, encodeUint64(0), "", len("snapshot")},
		{tableEntries, encodeUint64(6), "row 6 of table entries: ", 1},
	} {
		opened, report := store.Open(f, Settings())
		value := slices.Clone(opened.Get(test.table, test.key))
		load := func(damaged []byte) Loaded {
			if _, err := opened.Put(time.Hour, test.table, test.key, damaged, true); err != nil {
				t.Fatal(err)
			}
			_, loaded := New(opened, report)
			if (loaded.RowError != nil) != (loaded.DistrustReason != "") {
				t.Errorf("%x: distrust %q, error %v", damaged, loaded.DistrustReason, loaded.RowError)
			}
			return loaded
		}
		hiddenCuts, hiddenFlips := 0, 0
		for size := range value {
			if loaded := load(value[:size]); loaded.RowError == nil {
				hiddenCuts++
			} else if !strings.Contains(loaded.DistrustReason, test.want) {
				t.Errorf("%scut at byte %d of %d: %s", test.want, size, len(value), loaded.DistrustReason)
			}
		}
		for bit := range 8 * len(value) {
			damaged := slices.Clone(value)
			damaged[bit/8] ^= 1 << (bit % 8)
			if load(damaged).RowError == nil {
				hiddenFlips++
			}
		}
		t.Logf("%s%d of %d cuts and %d of %d changed bits are not seen here",
			test.want, hiddenCuts, len(value), hiddenFlips, 8*len(value))
		if hiddenCuts != test.hiddenCuts {
			t.Errorf("%s%d cuts are not seen, want %d", test.want, hiddenCuts, test.hiddenCuts)
		}
		if loaded := load(value); stateText(&loaded.State) != states[len(states)-1] {
			t.Errorf("%sthe intact rows are not loaded: %s", test.want, loaded.DistrustReason)
		}
	}
}

// A malformed value must be reported with the byte that it is malformed from.
func TestRowErrorNamesByte(t *testing.T) {
	f, _ := saveStates(t)
	opened, report := store.Open(f, Settings())
	value := opened.Get(tableVoter, rowHard)
	if _, err := opened.Put(time.Hour, tableVoter, rowHard, value[:3], true); err != nil {
		t.Fatal(err)
	}
	_, loaded := New(opened, report)
	if !strings.Contains(loaded.DistrustReason, "row hard of table voter: the field at byte 2 of 3: ") {
		t.Errorf("reason for distrust: %s", loaded.DistrustReason)
	}
}
