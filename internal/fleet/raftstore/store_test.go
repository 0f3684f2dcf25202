package raftstore

import (
	"errors"
	"fmt"
	"maps"
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

// folder is an in-memory store.FS.
type folder struct {
	files  map[string][]byte
	synced map[string]int // bytes of each file that are synced
	full   bool
}

func newFolder() *folder { return &folder{files: map[string][]byte{}, synced: map[string]int{}} }

func (f *folder) List() ([]string, error) { return slices.Collect(maps.Keys(f.files)), nil }
func (f *folder) Read(name string, limit int) ([]byte, error) {
	return slices.Clone(f.files[name]), nil
}
func (f *folder) Create(name string) (store.File, error) {
	if f.full {
		return nil, errors.New("no space left on device")
	}
	f.files[name], f.synced[name] = nil, 0
	return &file{f, name}, nil
}
func (f *folder) Rename(from, to string) error {
	f.files[to], f.synced[to] = f.files[from], f.synced[from]
	delete(f.files, from)
	return nil
}
func (f *folder) Remove(name string) error { delete(f.files, name); return nil }
func (f *folder) SyncDir() error           { return nil }

// afterCrash returns the folder after a crash: part of the unsynced bytes is lost.
func (f *folder) afterCrash(rng *rand.Rand) *folder {
	next := newFolder()
	for name, b := range f.files {
		synced := min(f.synced[name], len(b))
		next.files[name] = slices.Clone(b[:synced+rng.IntN(len(b)-synced+1)])
		next.synced[name] = len(next.files[name])
	}
	return next
}

type file struct {
	folder *folder
	name   string
}

func (f *file) Write(p []byte) (int, error) {
	if f.folder.full {
		return 0, errors.New("no space left on device")
	}
	f.folder.files[f.name] = append(f.folder.files[f.name], p...)
	return len(p), nil
}
func (f *file) Sync() error  { f.folder.synced[f.name] = len(f.folder.files[f.name]); return nil }
func (f *file) Close() error { return nil }

func openStore(f *folder) (*Store, Loaded) { return New(store.Open(f, Settings())) }

// stateText formats a state for comparison.
func stateText(state *consensus.PersistentState) string {
	var text strings.Builder
	fmt.Fprint(&text, state.ID, " ", state.Boots, " ", state.Hard, " ", state.Snapshot.GetMetadata(), " ", len(state.Snapshot.GetData()), " ")
	snapshotIndex := state.Snapshot.GetMetadata().GetIndex()
	for _, entry := range state.Entries {
		if entry.GetIndex() > snapshotIndex {
			fmt.Fprint(&text, entry, " ")
		}
	}
	return text.String()
}

func newEntries(from, to, term uint64, rng *rand.Rand) (entries []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		entries = append(entries, &raftpb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(term), Data: make([]byte, rng.IntN(200))})
	}
	return entries
}

// Loading must return the saved state, or, if the last write was cut, the state before or after that Save, but
// never part of it. Saves replace entries, store own and received snapshots of several chunks, and compact the
// log.
func TestSavedStateIsLoaded(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFolder()
		model := consensus.NewCluster([]uint64{7, 8, 9})[0]
		s, loaded := openStore(f)
		if loaded.State.ID != 0 || loaded.DistrustReason != "" {
			t.Fatalf("state loaded from an empty folder: %+v", loaded)
		}
		now := time.Hour
		if err := s.Reset(now, &model, []byte("note")); err != nil {
			t.Fatal(err)
		}
		term, last := uint64(1), uint64(1)
		for range 40 {
			update := consensus.Update{}
			if rng.IntN(3) == 0 {
				update.Boots = map[uint64]uint64{7: model.Boots[7] + 1}
			}
			switch rng.IntN(6) {
			case 0: // a received snapshot
				last += uint64(1 + rng.IntN(20))
				update.Snapshot = &raftpb.Snapshot{Data: make([]byte, rng.IntN(4)*40<<10), Metadata: &raftpb.SnapshotMetadata{
					ConfState: &raftpb.ConfState{Voters: []uint64{7, 8, 9}}, Index: proto.Uint64(last), Term: proto.Uint64(term)}}
			case 1: // an own snapshot, and compaction
				index := model.Snapshot.GetMetadata().GetIndex()
				index += uint64(rng.IntN(int(last-index) + 1))
				update.Snapshot = &raftpb.Snapshot{Data: make([]byte, rng.IntN(100<<10)), Metadata: &raftpb.SnapshotMetadata{
					ConfState: &raftpb.ConfState{Voters: []uint64{7, 8, 9}}, Index: proto.Uint64(index), Term: proto.Uint64(term)}}
				update.CompactedTo = max(1, index-min(index, uint64(rng.IntN(5))))
			default:
				from := last + 1
				// Replace existing entries.
				if first := model.Snapshot.GetMetadata().GetIndex() + 1; rng.IntN(4) == 0 && from > first {
					from = first + uint64(rng.IntN(int(from-first)))
				}
				term += uint64(rng.IntN(2))
				last = from + uint64(rng.IntN(5))
				update.Entries = newEntries(from, last, term, rng)
			}
			// As raft does, the hard state is saved with what raises it.
			commit := max(model.Snapshot.GetMetadata().GetIndex(), update.Snapshot.GetMetadata().GetIndex())
			if rng.IntN(2) == 0 || term > model.Hard.GetTerm() || commit > model.Hard.GetCommit() {
				update.Hard = &raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(commit)}
			}
			before := stateText(&model)
			sizes := maps.Clone(f.synced)
			if err := s.Save(now, &update, nil); err != nil {
				t.Fatal(err)
			}
			model.Apply(&update)
			now += time.Millisecond
			after := stateText(&model)
			if rng.IntN(3) == 0 { // a crash before the sync ended
				crashed := newFolder()
				crashed.files, crashed.synced = maps.Clone(f.files), sizes
				for name := range crashed.files {
					if _, existed := sizes[name]; !existed {
						crashed.synced[name] = len(crashed.files[name])
					}
				}
				_, loaded := openStore(crashed.afterCrash(rng))
				if got := stateText(&loaded.State); loaded.DistrustReason != "" || got != before && got != after {
					t.Fatalf("seed %d: %.300s\nbefore %.300s\nafter %.300s\nreason for distrust %s", seed, got, before, after, loaded.DistrustReason)
				}
			}
			for more := true; more; {
				var err error
				if more, err = s.Compact(now); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(5) == 0 {
				s, loaded = openStore(f)
				if got := stateText(&loaded.State); loaded.DistrustReason != "" || got != after || string(loaded.UserData) != "note" {
					t.Fatalf("seed %d: %.300s\nwant %.300s\nreason for distrust %s", seed, got, after, loaded.DistrustReason)
				}
			}
		}
	}
}

// State with a missing row, a missing file or a changed byte must not be trusted.
func TestDamagedStateIsDistrusted(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	intact := newFolder()
	state := consensus.NewCluster([]uint64{7, 8, 9})[0]
	s, _ := openStore(intact)
	if err := s.Reset(time.Hour, &state, nil); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i < 20; i++ {
		update := consensus.Update{Entries: newEntries(i, i, 2, rng), Hard: &raftpb.HardState{Term: proto.Uint64(2), Commit: proto.Uint64(i)}}
		if err := s.Save(time.Hour, &update, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, loaded := openStore(intact); loaded.DistrustReason != "" || len(loaded.State.Entries) != 18 {
		t.Fatalf("%d entries, reason for distrust %q", len(loaded.State.Entries), loaded.DistrustReason)
	}
	checkDamage := func(what string, damage func(f *folder, opened *store.Store)) {
		f := intact.afterCrash(rng)
		opened, _ := store.Open(f, Settings())
		damage(f, opened)
		if _, loaded := openStore(f); loaded.DistrustReason == "" && loaded.State.ID != 0 || len(loaded.State.Entries) > 0 {
			t.Errorf("%s is damaged, but the state was trusted, with %d entries", what, len(loaded.State.Entries))
		}
	}
	deleteRow := func(table byte, key string) func(*folder, *store.Store) {
		return func(_ *folder, opened *store.Store) {
			opened.Delete(2*time.Hour, table, key, true)
			if err := opened.Commit(3 * time.Hour); err != nil {
				t.Fatal(err)
			}
		}
	}
	checkDamage("an entry in the middle", deleteRow(tableEntries, encodeUint64(9)))
	checkDamage("the last entry, which is committed", deleteRow(tableEntries, encodeUint64(19)))
	checkDamage("the first entry", deleteRow(tableEntries, encodeUint64(2)))
	checkDamage("the voter ID", deleteRow(tableVoter, rowID))
	checkDamage("the hard state", deleteRow(tableVoter, rowHard))
	checkDamage("the snapshot", deleteRow(tableVoter, rowSnapshot))
	checkDamage("a byte in the middle of the journal", func(f *folder, _ *store.Store) {
		for name, b := range f.files {
			if strings.HasPrefix(name, "journal") {
				b[len(b)/2] ^= 1
			}
		}
	})
	checkDamage("the snapshot file", func(f *folder, _ *store.Store) {
		for name := range f.files {
			if strings.HasPrefix(name, "snapshot") {
				delete(f.files, name)
			}
		}
	})
}

// Every Save to a full disk must fail, and the saved state must be there once the disk has space again.
func TestFullDiskFailsSave(t *testing.T) {
	f := newFolder()
	s, _ := openStore(f)
	state := consensus.NewCluster([]uint64{7, 8, 9})[0]
	if err := s.Reset(time.Hour, &state, nil); err != nil {
		t.Fatal(err)
	}
	f.full = true
	update := consensus.Update{Entries: newEntries(2, 4, 1, rand.New(rand.NewPCG(1, 2)))}
	for i := range 5 {
		if s.Save(time.Hour+time.Duration(i)*10*time.Millisecond, &update, nil) == nil {
			t.Fatal("Save succeeded on a full disk")
		}
	}
	if _, loaded := openStore(f); len(loaded.State.Entries) > 0 {
		t.Error("entries of a failed Save were loaded")
	}
	f.full = false
	if err := s.Save(2*time.Hour, &update, nil); err != nil {
		t.Fatal(err)
	}
	if _, loaded := openStore(f); loaded.DistrustReason != "" || len(loaded.State.Entries) != 3 {
		t.Errorf("loaded state: %+v", loaded)
	}
}

// Opening arbitrary files must not panic, and must yield either a state that starts a voter or a reason for
// distrust.
func FuzzOpen(f *testing.F) {
	d := newFolder()
	s, _ := openStore(d)
	state := consensus.NewCluster([]uint64{7, 8, 9})[0]
	if err := s.Reset(time.Hour, &state, []byte("n")); err != nil {
		f.Fatal(err)
	}
	for name, b := range d.files {
		f.Add(name, b)
	}
	f.Fuzz(func(t *testing.T, name string, b []byte) {
		d := newFolder()
		d.files[name] = b
		if _, loaded := openStore(d); loaded.DistrustReason == "" && loaded.State.ID != 0 {
			consensus.New(consensus.Settings{}, &loaded.State, 1)
		}
	})
}
