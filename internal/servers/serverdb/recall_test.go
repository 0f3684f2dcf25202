package serverdb

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/internal/store"
)

// folder is a store's folder in memory, whose last file may be cut, and which may be full.
type memoryFS struct {
	files map[string][]byte
	full  bool
}

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string][]byte{}} }

type memoryFile struct {
	f    *memoryFS
	name string
}

var errFull = errors.New("no space left on device")

func (f *memoryFS) List() (names []string, _ error) {
	for name := range f.files {
		names = append(names, name)
	}
	return names, nil
}
func (f *memoryFS) Read(name string, _ int) ([]byte, error) { return f.files[name], nil }
func (f *memoryFS) Create(name string) (store.File, error) {
	if f.full {
		return nil, errFull
	}
	f.files[name] = nil
	return &memoryFile{f, name}, nil
}
func (f *memoryFS) Rename(from, to string) error {
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}
func (f *memoryFS) Remove(name string) error { delete(f.files, name); return nil }
func (f *memoryFS) SyncDir() error           { return nil }
func (h *memoryFile) Write(p []byte) (int, error) {
	if h.f.full {
		return 0, errFull
	}
	h.f.files[h.name] = append(h.f.files[h.name], p...)
	return len(p), nil
}
func (h *memoryFile) Sync() error  { return nil }
func (h *memoryFile) Close() error { return nil }

func (f *memoryFS) size() (n int) {
	for _, data := range f.files {
		n += len(data)
	}
	return n
}

// life is a memory in one process.
type process struct {
	*DB
	store *store.Store
}

func open(f *memoryFS, set Settings, now time.Duration) (process, []string) {
	s, _ := store.Open(f, store.Settings{})
	m, notes := Open(s, set, now)
	return process{m, s}, notes
}

// commit writes what waits, as the keeper does, with all the time it takes.
func (l process) commit(t interface{ Fatal(...any) }, now time.Duration) time.Duration {
	for range 10_000 {
		more := l.WritePending(now)
		now += 10 * time.Second
		if err := l.store.Commit(now); err != nil {
			t.Fatal(err)
		}
		for l.store.NeedsCompact() {
			if _, err := l.store.Compact(now); err != nil {
				t.Fatal(err)
			}
		}
		if !more {
			return now
		}
	}
	t.Fatal("it never ends")
	return now
}

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func fromDiscovery(id string, s State, started time.Duration, at time.Time) Observation {
	return Observation{Server: Server{ID: id, Address: id + ":1", Zone: "a", Cell: 3, Weight: 2, State: s, Started: started, StateSince: at}, FromDiscovery: true}
}

func TestRowsComeBack(t *testing.T) {
	f := newMemoryFS()
	l, _ := open(f, Settings{}, 0)
	l.Record(0, []Observation{fromDiscovery("a", Serving, time.Hour, noon), fromDiscovery("b", Draining, 0, noon), fromDiscovery("c", Serving, 0, noon)})
	l.Record(0, []Observation{{Server: Server{ID: "a", LastServed: noon.Add(time.Minute)}}, fromDiscovery("c", Gone, 0, noon.Add(time.Second))})
	l.Record(0, []Observation{{Server: Server{ID: "nobody told of it", LastServed: noon}}})
	l.RecordConfirmation(0, List{Generation: 7, Discovery: "d:1", Confirmed: noon, ServerRate: 12.5, ServingCount: 1})
	l.commit(t, time.Second)
	again, notes := open(f, Settings{}, 0)
	if len(notes) > 0 || !slices.Equal(again.Servers(), l.Servers()) || len(again.Servers()) != 3 {
		t.Errorf("%v: %v, want %v", notes, again.Servers(), l.Servers())
	}
	if got := again.List(); !got.Consistent || got.Generation != 7 || got.ServerRate != 12.5 || got.ServingCount != 1 || got.Discovery != "d:1" || !got.Confirmed.Equal(noon) {
		t.Errorf("the list: %+v", got)
	}
	a := again.Servers()[0]
	if a.LastServed.IsZero() || a.Started != time.Hour || a.Weight != 2 || a.Cell != 3 || a.Zone != "a" {
		t.Errorf("a row: %+v", a)
	}
}

// A row that was lost, or is newer than the list's row, is noticed: changes since that generation would not be all.
func TestUnsoundRowsAreNoticed(t *testing.T) {
	for name, change := range map[string]func(process){
		"a newer row": func(l process) { l.Record(0, []Observation{fromDiscovery("b", Draining, 1, noon)}) },
		"a lost row":  func(l process) { l.store.Delete(0, tableServers, "a", true) },
	} {
		f := newMemoryFS()
		l, _ := open(f, Settings{}, 0)
		l.Record(0, []Observation{fromDiscovery("a", Serving, 1, noon), fromDiscovery("b", Serving, 1, noon)})
		l.RecordConfirmation(0, List{Generation: 7, Confirmed: noon})
		l.commit(t, 0)
		if l, _ = open(f, Settings{}, 0); !l.List().Consistent {
			t.Fatal("not sound before")
		}
		change(l)
		l.commit(t, 0)
		if x, _ := open(f, Settings{}, 0); x.List().Consistent {
			t.Errorf("%s is not noticed", name)
		}
	}
}

func TestAge(t *testing.T) {
	for _, c := range []struct {
		confirmed, wall time.Time
		age             time.Duration
		known           bool
	}{
		{noon, noon.Add(time.Hour), time.Hour, true},
		{noon, noon.Add(-30 * time.Second), 0, true},
		{noon, noon.Add(-time.Hour), 0, false}, // the clock is before the list's time
		{time.Time{}, noon, 0, false},
		{noon, noon.AddDate(1, 0, 0), 365 * 24 * time.Hour, true},
	} {
		l := List{Confirmed: c.confirmed}
		if age, known := l.Age(c.wall); age != c.age || known != c.known {
			t.Errorf("%v at %v: %v, %v", c.confirmed, c.wall, age, known)
		}
	}
}

// A clock that is a year ahead, or behind, forgets no drain; what is forgotten is the oldest, by number.
func TestTombstonesGoByNumber(t *testing.T) {
	f := newMemoryFS()
	for _, wall := range []time.Time{noon, noon.AddDate(1, 0, 0), noon.AddDate(-1, 0, 0)} {
		l, _ := open(f, Settings{MaxTombstones: 3}, 0)
		l.Record(0, []Observation{fromDiscovery("x"+wall.Format("2006"), Serving, 1, wall)})
		l.Record(0, []Observation{fromDiscovery("x"+wall.Format("2006"), Gone, 1, wall)})
		l.commit(t, 0)
	}
	l, _ := open(f, Settings{MaxTombstones: 3}, 0)
	if len(l.Servers()) != 3 {
		t.Fatalf("known: %v", l.Servers())
	}
	for i := range 10 {
		l.Record(0, []Observation{fromDiscovery(fmt.Sprint("y", i), Gone, 1, noon)})
	}
	if got := fmt.Sprint(ids(l.Servers())); got != "[y7 y8 y9]" {
		t.Errorf("left: %v", got)
	}
	// One that came back and went again is the newest.
	l.Record(0, []Observation{fromDiscovery("y7", Serving, 2, noon), fromDiscovery("y7", Gone, 2, noon), fromDiscovery("y10", Gone, 1, noon)})
	if got := fmt.Sprint(ids(l.Servers())); got != "[y10 y7 y9]" {
		t.Errorf("left: %v", got)
	}
}

func ids(all []Server) (names []string) {
	for _, s := range all {
		names = append(names, s.ID)
	}
	return names
}

// A month of 1% churn an hour, a confirmation every 20 s and answers all the time: the file and the writes an hour
// stay bounded.
func TestMonthOfChurn(t *testing.T) {
	hours := 72
	if os.Getenv("CURLEWRING_LONG") != "" {
		hours = 720
	}
	f := newMemoryFS()
	const boxes = 1000
	l, _ := open(f, Settings{}, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	names, next := make([]string, boxes), 0
	now, wall, largest := time.Duration(0), noon, 0
	fresh := func() Observation {
		next++
		return fromDiscovery(fmt.Sprintf("box-%08x", next), Serving, time.Duration(next)*time.Second, wall)
	}
	for i := range names {
		n := fresh()
		names[i] = n.ID
		l.Record(now, []Observation{n})
	}
	now = l.commit(t, now)
	before := l.store.Stats()
	for hour := range hours {
		for minute := range 60 {
			now, wall = now+time.Minute, wall.Add(time.Minute)
			var notes []Observation
			if minute%6 == 0 { // ten an hour: one percent
				i := rng.IntN(boxes)
				gone := fromDiscovery(names[i], Gone, 0, wall)
				n := fresh()
				names[i] = n.ID
				notes = append(notes, gone, n)
			}
			for range 50 { // those that have served
				notes = append(notes, Observation{Server: Server{ID: names[rng.IntN(boxes)], LastServed: wall}})
			}
			l.Record(now, notes)
			l.RecordConfirmation(now, List{Generation: uint64(hour*60 + minute), Confirmed: wall, ServerRate: 3, ServingCount: boxes})
			l.WritePending(now)
			if err := l.store.Commit(now); err != nil {
				t.Fatal(err)
			}
			for l.store.NeedsCompact() {
				if _, err := l.store.Compact(now); err != nil {
					t.Fatal(err)
				}
			}
		}
		largest = max(largest, f.size())
	}
	stats := l.store.Stats()
	rows, bytes := float64(stats.Rows-before.Rows)/float64(hours), float64(stats.Bytes-before.Bytes)/float64(hours)
	t.Logf("%d rows; files of %d kB at the end, %d kB at the most; an hour: %.0f rows, %.0f kB, %.0f syncs",
		l.store.Len(), f.size()>>10, largest>>10, rows, bytes/1024, float64(stats.Syncs-before.Syncs)/float64(hours))
	if largest > 3<<20 || l.store.Len() > boxes+4096+1 || rows > 4000 {
		t.Errorf("%d bytes, %d rows, %.0f rows an hour", largest, l.store.Len(), rows)
	}
	again, _ := open(f, Settings{}, now)
	if !again.List().Consistent || len(again.Servers()) != l.store.Len()-1 {
		t.Errorf("not as it was: %+v", again.List())
	}
}

// Restarts each second reset nothing and grow nothing: a life that learns nothing writes nothing.
func TestRestartLoop(t *testing.T) {
	f := newMemoryFS()
	l, _ := open(f, Settings{}, 0)
	for i := range 500 {
		l.Record(0, []Observation{fromDiscovery(fmt.Sprint("s", i), Serving, time.Second, noon)})
	}
	l.RecordConfirmation(0, List{Generation: 3, Confirmed: noon, ServerRate: 2})
	now := l.commit(t, 0)
	size, want := f.size(), l.Servers()
	for i := range 300 {
		x, _ := open(f, Settings{}, now)
		now += time.Second
		x.Record(now, []Observation{{Server: Server{ID: fmt.Sprint("s", i), LastServed: noon.Add(time.Second)}}})
		if err := x.store.Commit(now); err != nil { // not due yet
			t.Fatal(err)
		}
		if x.List().ServerRate != 2 || !x.List().Consistent {
			t.Fatalf("life %d: %+v", i, x.List())
		}
	}
	if f.size() != size {
		t.Errorf("%d bytes, %d before", f.size(), size)
	}
	if x, _ := open(f, Settings{}, now); !slices.Equal(x.Servers(), want) {
		t.Errorf("rows have changed: %v, then %v", want[0], x.Servers()[0])
	}
}

// Over lives that are killed at any byte of a write, or on a full disk: what was drained or gone as of a commit is
// so in the next life, nothing serves that no list said to serve, and a sound list has all rows of its generation.
func TestLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		f := newMemoryFS()
		now, wall := time.Hour, noon
		truth := map[string]Server{}         // as told
		at := map[uint64]map[string]Server{} // and as of each generation
		safe := map[string]State{}           // bad news as of the last commit
		generation := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "lives") {
			l, notes := open(f, Settings{MaxTombstones: 1000, WritesPerSecond: 1 + float64(rng.IntN(20))}, now)
			if len(notes) > 0 {
				t.Fatalf("notes: %v", notes)
			}
			known := map[string]Server{}
			for _, s := range l.Servers() {
				known[s.ID] = s
				if s.State == Serving && truth[s.ID].ID == "" {
					t.Fatalf("%s serves, and no list said so", s.ID)
				}
			}
			for id, state := range safe {
				if truth[id].State == state && known[id].State < state && known[id].Started >= truth[id].Started {
					t.Fatalf("%s was told %v, and comes back as %v", id, state, known[id].State)
				}
			}
			if g := l.List(); g.Consistent {
				for id, s := range at[g.Generation] {
					k := known[id]
					if s.State != Gone && (k.State != s.State || k.Started != s.Started || k.Address != s.Address) {
						t.Fatalf("generation %d is said to be complete, and %s is %v for %v", g.Generation, id, k, s)
					}
				}
			}
			// The next life goes on from what was known, as discovery tells all anew.
			var all []Observation
			for _, s := range truth {
				all = append(all, Observation{Server: s, FromDiscovery: true})
			}
			l.Record(now, all)
			for range rng.IntN(30) {
				now += time.Duration(rng.IntN(2000)) * time.Millisecond
				wall = wall.Add(time.Second)
				var changes []Observation
				for range rng.IntN(4) {
					id := string(rune('a' + rng.IntN(8)))
					n := fromDiscovery(id, State(rng.IntN(3)), max(truth[id].Started, time.Duration(rng.IntN(4))*time.Second), wall)
					if rng.IntN(3) > 0 {
						n.Started = truth[id].Started
					}
					changes = append(changes, n)
					truth[id] = n.Server
				}
				l.Record(now, changes)
				generation++
				m := map[string]Server{}
				for id, s := range truth {
					m[id] = s
				}
				at[generation] = m
				l.RecordConfirmation(now, List{Generation: generation, Confirmed: wall})
				l.WritePending(now)
				f.full = rng.IntN(5) == 0
				before := l.store.Durable()
				l.store.Commit(now)
				f.full = false
				if l.store.Durable() > before && l.store.Durable() == l.store.Seq() {
					for id, s := range truth {
						delete(safe, id)
						if s.State != Serving {
							safe[id] = s.State
						}
					}
				} else {
					for id, s := range truth {
						if safe[id] != s.State {
							delete(safe, id)
						}
					}
				}
				if l.store.NeedsCompact() {
					l.store.Compact(now)
				}
			}
			now += time.Minute
			// It is killed in the middle of a write: the newest journal's last bytes are not there.
			if rng.IntN(2) == 0 {
				newest := ""
				for name := range f.files {
					if strings.HasPrefix(name, "journal-") && (len(name) > len(newest) || len(name) == len(newest) && name > newest) {
						newest = name
					}
				}
				if data := f.files[newest]; len(data) > 0 {
					f.files[newest] = data[:len(data)-rng.IntN(min(len(data), 200))]
					clear(safe) // what was cut had been synced: the bound holds no longer, but the rest does
				}
			}
		}
	})
}

func TestMerge(t *testing.T) {
	at := func(id string, s State, started time.Duration) Server {
		return Server{ID: id, State: s, Started: started}
	}
	known := []Server{at("drained", Draining, 1), at("gone", Gone, 1), at("again", Gone, 1), at("mine", Serving, 1), at("worse", Serving, 1)}
	brought := []Server{at("drained", Serving, 1), at("gone", Serving, 1), at("again", Serving, 2), at("yours", Serving, 1), at("worse", Draining, 1)}
	var got []string
	for _, s := range Merge(known, brought) {
		got = append(got, fmt.Sprint(s.ID, " ", s.State))
	}
	if want := "[again serving drained draining gone gone mine serving worse draining yours serving]"; fmt.Sprint(got) != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// Any bytes are a row or an error, and a row that is read is written as it was.
func FuzzRows(f *testing.F) {
	s := fromDiscovery("a", Draining, time.Hour, noon).Server
	f.Add(s.encode(nil))
	l := List{Generation: 9, Discovery: "d:1", Confirmed: noon, ServerRate: 2, ServingCount: 4}
	f.Add(l.encode(nil))
	f.Fuzz(func(t *testing.T, value []byte) {
		if s, err := decodeServer("a", value); err == nil {
			again, err := decodeServer("a", s.encode(nil))
			if err != nil || again != s {
				t.Fatalf("%+v, then %+v (%v)", s, again, err)
			}
			// A later version's further fields are passed over.
			if longer, err := decodeServer("a", append(s.encode(nil), 1, 2, 3)); err != nil || longer != s {
				t.Fatalf("with more behind: %+v (%v)", longer, err)
			}
		}
		if l, err := decodeList(value); err == nil {
			if again, err := decodeList(l.encode(nil)); err != nil || again != l {
				t.Fatalf("%+v, then %+v (%v)", l, again, err)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	l, _ := open(newMemoryFS(), Settings{WritesPerSecond: 1e9}, 0)
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("box-", i)
		l.Record(0, []Observation{fromDiscovery(names[i], Serving, 1, noon)})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := fromDiscovery(names[i%len(names)], Serving, time.Duration(i+2), noon)
		l.Record(0, []Observation{n})
	}
}

func BenchmarkOpen(b *testing.B) {
	f := newMemoryFS()
	l, _ := open(f, Settings{WritesPerSecond: 1e9}, 0)
	for i := range 10_000 {
		l.Record(0, []Observation{fromDiscovery(fmt.Sprintf("box-%08x", i), Serving, time.Second, noon)})
	}
	l.RecordConfirmation(0, List{Generation: 1, Confirmed: noon})
	l.WritePending(0)
	if err := l.store.Close(time.Hour); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(f.size()), "bytes")
	for b.Loop() {
		if x, _ := open(f, Settings{}, 0); len(x.Servers()) != 10_000 || !x.List().Consistent {
			b.Fatal("not all is there")
		}
	}
}
