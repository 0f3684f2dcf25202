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

// folder is a store's folder in memory.
type folder struct {
	files map[string][]byte
	safe  map[string]int // bytes of each that are synced
	full  bool
}

func newFolder() *folder { return &folder{files: map[string][]byte{}, safe: map[string]int{}} }

func (f *folder) List() ([]string, error) { return slices.Collect(maps.Keys(f.files)), nil }
func (f *folder) Read(name string, most int) ([]byte, error) {
	return slices.Clone(f.files[name]), nil
}
func (f *folder) Create(name string) (store.File, error) {
	if f.full {
		return nil, errors.New("no space left on device")
	}
	f.files[name], f.safe[name] = nil, 0
	return &file{f, name}, nil
}
func (f *folder) Rename(from, to string) error {
	f.files[to], f.safe[to] = f.files[from], f.safe[from]
	delete(f.files, from)
	return nil
}
func (f *folder) Remove(name string) error { delete(f.files, name); return nil }
func (f *folder) SyncDir() error           { return nil }

// torn is the folder after a crash: of what was not synced some is there.
func (f *folder) torn(rng *rand.Rand) *folder {
	next := newFolder()
	for name, b := range f.files {
		safe := min(f.safe[name], len(b))
		next.files[name] = slices.Clone(b[:safe+rng.IntN(len(b)-safe+1)])
		next.safe[name] = len(next.files[name])
	}
	return next
}

type file struct {
	f    *folder
	name string
}

func (x *file) Write(p []byte) (int, error) {
	if x.f.full {
		return 0, errors.New("no space left on device")
	}
	x.f.files[x.name] = append(x.f.files[x.name], p...)
	return len(p), nil
}
func (x *file) Sync() error  { x.f.safe[x.name] = len(x.f.files[x.name]); return nil }
func (x *file) Close() error { return nil }

func open(f *folder) (*Store, Loaded) { return New(store.Open(f, Settings())) }

// text is a disk as a test compares it.
func text(d *consensus.PersistentState) string {
	var s strings.Builder
	fmt.Fprint(&s, d.ID, " ", d.Boots, " ", d.Hard, " ", d.Snapshot.GetMetadata(), " ", len(d.Snapshot.GetData()), " ")
	from := d.Snapshot.GetMetadata().GetIndex()
	for _, e := range d.Entries {
		if e.GetIndex() > from {
			fmt.Fprint(&s, e, " ")
		}
	}
	return s.String()
}

func entries(from, to, term uint64, rng *rand.Rand) (all []*raftpb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, &raftpb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(term), Data: make([]byte, rng.IntN(200))})
	}
	return all
}

// What is read back is what was put, or that and the Save whose write was cut, and it is never half of one: with entries
// that take others' place, snapshots of this voter and of others, in several pieces, and cuts.
func TestSavesAreReadBack(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := newFolder()
		model := consensus.NewCluster([]uint64{7, 8, 9})[0]
		l, found := open(f)
		if found.State.ID != 0 || found.DistrustReason != "" {
			t.Fatalf("an empty folder: %+v", found)
		}
		now := time.Hour
		if err := l.Reset(now, &model, []byte("note")); err != nil {
			t.Fatal(err)
		}
		term, last := uint64(1), uint64(1)
		for range 40 {
			save := consensus.Update{}
			if rng.IntN(3) == 0 {
				save.Boots = map[uint64]uint64{7: model.Boots[7] + 1}
			}
			switch rng.IntN(6) {
			case 0: // another's snapshot
				last += uint64(1 + rng.IntN(20))
				save.Snapshot = &raftpb.Snapshot{Data: make([]byte, rng.IntN(4)*40<<10), Metadata: &raftpb.SnapshotMetadata{
					ConfState: &raftpb.ConfState{Voters: []uint64{7, 8, 9}}, Index: proto.Uint64(last), Term: proto.Uint64(term)}}
			case 1: // its own, and a cut
				index := model.Snapshot.GetMetadata().GetIndex()
				index += uint64(rng.IntN(int(last-index) + 1))
				save.Snapshot = &raftpb.Snapshot{Data: make([]byte, rng.IntN(100<<10)), Metadata: &raftpb.SnapshotMetadata{
					ConfState: &raftpb.ConfState{Voters: []uint64{7, 8, 9}}, Index: proto.Uint64(index), Term: proto.Uint64(term)}}
				save.CompactedTo = max(1, index-min(index, uint64(rng.IntN(5))))
			default:
				from := last + 1
				if first := model.Snapshot.GetMetadata().GetIndex() + 1; rng.IntN(4) == 0 && from > first { // others' place
					from = first + uint64(rng.IntN(int(from-first)))
				}
				term++
				last = from + uint64(rng.IntN(5))
				save.Entries = entries(from, last, term, rng)
			}
			if rng.IntN(2) == 0 {
				save.Hard = &raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(model.Snapshot.GetMetadata().GetIndex())}
			}
			before := text(&model)
			sizes := maps.Clone(f.safe)
			if err := l.Save(now, &save, nil); err != nil {
				t.Fatal(err)
			}
			model.Apply(&save)
			now += time.Millisecond
			after := text(&model)
			if rng.IntN(3) == 0 { // it was cut, as if the sync had not ended
				cut := newFolder()
				cut.files, cut.safe = maps.Clone(f.files), sizes
				for name := range cut.files {
					if _, had := sizes[name]; !had {
						cut.safe[name] = len(cut.files[name])
					}
				}
				_, found := open(cut.torn(rng))
				if got := text(&found.State); found.DistrustReason != "" || got != before && got != after {
					t.Fatalf("seed %d: %.300s\nbefore %.300s\nafter %.300s\ndoubt %s", seed, got, before, after, found.DistrustReason)
				}
			}
			for more := true; more; {
				var err error
				if more, err = l.Compact(now); err != nil {
					t.Fatal(err)
				}
			}
			if rng.IntN(5) == 0 {
				l, found = open(f)
				if got := text(&found.State); found.DistrustReason != "" || got != after || string(found.UserData) != "note" {
					t.Fatalf("seed %d: %.300s\nwanted %.300s\ndoubt %s", seed, got, after, found.DistrustReason)
				}
			}
		}
	}
}

// What can't be trusted is told: a row that is missing, a file that is, a byte that has changed.
func TestADoubtfulDiskIsTold(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	whole := newFolder()
	d := consensus.NewCluster([]uint64{7, 8, 9})[0]
	l, _ := open(whole)
	if err := l.Reset(time.Hour, &d, nil); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i < 20; i++ {
		save := consensus.Update{Entries: entries(i, i, 2, rng), Hard: &raftpb.HardState{Term: proto.Uint64(2), Commit: proto.Uint64(i)}}
		if err := l.Save(time.Hour, &save, nil); err != nil {
			t.Fatal(err)
		}
	}
	if _, found := open(whole); found.DistrustReason != "" || len(found.State.Entries) != 18 {
		t.Fatalf("%d entries, doubt %q", len(found.State.Entries), found.DistrustReason)
	}
	damaged := func(what string, do func(f *folder, s *store.Store)) {
		f := whole.torn(rng)
		s, _ := store.Open(f, Settings())
		do(f, s)
		if _, found := open(f); found.DistrustReason == "" && found.State.ID != 0 || len(found.State.Entries) > 0 {
			t.Errorf("%s: trusted, with %d entries", what, len(found.State.Entries))
		}
	}
	drop := func(table byte, key string) func(*folder, *store.Store) {
		return func(_ *folder, s *store.Store) {
			s.Delete(2*time.Hour, table, key, true)
			if err := s.Commit(3 * time.Hour); err != nil {
				t.Fatal(err)
			}
		}
	}
	damaged("an entry in the middle", drop(tableEntries, key(9)))
	damaged("the last entry, which is agreed on", drop(tableEntries, key(19)))
	damaged("the first entry", drop(tableEntries, key(2)))
	damaged("the number", drop(tableSelf, rowID))
	damaged("the snapshot", drop(tableSelf, rowSnapshot))
	damaged("a byte in the middle of the journal", func(f *folder, _ *store.Store) {
		for name, b := range f.files {
			if strings.HasPrefix(name, "journal") {
				b[len(b)/2] ^= 1
			}
		}
	})
	damaged("the snapshot's file", func(f *folder, _ *store.Store) {
		for name := range f.files {
			if strings.HasPrefix(name, "snapshot") {
				delete(f.files, name)
			}
		}
	})
}

// A full disk is told each time, and what was put is there once there is room.
func TestAFullDisk(t *testing.T) {
	f := newFolder()
	l, _ := open(f)
	d := consensus.NewCluster([]uint64{7, 8, 9})[0]
	if err := l.Reset(time.Hour, &d, nil); err != nil {
		t.Fatal(err)
	}
	f.full = true
	save := consensus.Update{Entries: entries(2, 4, 1, rand.New(rand.NewPCG(1, 2)))}
	for i := range 5 {
		if l.Save(time.Hour+time.Duration(i)*10*time.Millisecond, &save, nil) == nil {
			t.Fatal("a full disk took it")
		}
	}
	if _, found := open(f); len(found.State.Entries) > 0 {
		t.Error("what was not acknowledged is there")
	}
	f.full = false
	if err := l.Save(2*time.Hour, &save, nil); err != nil {
		t.Fatal(err)
	}
	if _, found := open(f); found.DistrustReason != "" || len(found.State.Entries) != 3 {
		t.Errorf("%+v", found)
	}
}

// Whatever stands in a file, opening ends, and what it gives starts a voter or is doubted.
func FuzzOpen(f *testing.F) {
	d := newFolder()
	l, _ := open(d)
	disk := consensus.NewCluster([]uint64{7, 8, 9})[0]
	if err := l.Reset(time.Hour, &disk, []byte("n")); err != nil {
		f.Fatal(err)
	}
	for name, b := range d.files {
		f.Add(name, b)
	}
	f.Fuzz(func(t *testing.T, name string, b []byte) {
		d := newFolder()
		d.files[name] = b
		if _, found := open(d); found.DistrustReason == "" && found.State.ID != 0 {
			consensus.New(consensus.Settings{}, &found.State, 1)
		}
	})
}
