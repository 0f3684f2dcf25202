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

// memoryFS is the folder of a store in memory. It can be set to be full, and tests truncate its files.
type memoryFS struct {
	files map[string][]byte
	full  bool
}

func newMemoryFS() *memoryFS { return &memoryFS{files: map[string][]byte{}} }

// memoryFile is an open file of a memoryFS.
type memoryFile struct {
	fs   *memoryFS
	name string
}

var errFull = errors.New("no space left on device")

func (fs *memoryFS) List() (names []string, _ error) {
	for name := range fs.files {
		names = append(names, name)
	}
	return names, nil
}
func (fs *memoryFS) Read(name string, _ int) ([]byte, error) { return fs.files[name], nil }
func (fs *memoryFS) Create(name string) (store.File, error) {
	if fs.full {
		return nil, errFull
	}
	fs.files[name] = nil
	return &memoryFile{fs, name}, nil
}
func (fs *memoryFS) Rename(from, to string) error {
	fs.files[to] = fs.files[from]
	delete(fs.files, from)
	return nil
}
func (fs *memoryFS) Remove(name string) error { delete(fs.files, name); return nil }
func (fs *memoryFS) SyncDir() error           { return nil }
func (m *memoryFile) Write(p []byte) (int, error) {
	if m.fs.full {
		return 0, errFull
	}
	m.fs.files[m.name] = append(m.fs.files[m.name], p...)
	return len(p), nil
}
func (m *memoryFile) Sync() error  { return nil }
func (m *memoryFile) Close() error { return nil }

func (fs *memoryFS) size() (n int) {
	for _, data := range fs.files {
		n += len(data)
	}
	return n
}

// process is a DB with its store in one run of the node.
type process struct {
	*DB
	store *store.Store
}

func open(fs *memoryFS, set Settings, now time.Duration) (process, []string) {
	s, _ := store.Open(fs, store.Settings{})
	db, warnings := Open(s, set, now)
	return process{db, s}, warnings
}

// commit writes all pending rows, as the goroutine that owns the DB does, and returns the time afterwards.
func (p process) commit(t interface{ Fatal(...any) }, now time.Duration) time.Duration {
	for range 10_000 {
		more := p.WritePending(now)
		now += 10 * time.Second
		if err := p.store.Commit(now); err != nil {
			t.Fatal(err)
		}
		for p.store.NeedsCompact() {
			if _, err := p.store.Compact(now); err != nil {
				t.Fatal(err)
			}
		}
		if !more {
			return now
		}
	}
	t.Fatal("rows are still pending after 10,000 commits")
	return now
}

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// fromDiscovery returns an observation of a server as reported by discovery.
func fromDiscovery(id string, s State, started time.Duration, at time.Time) Observation {
	return Observation{Server: Server{ID: id, Address: id + ":1", Zone: "a", Cell: 3, Weight: 2, State: s, Started: started, StateSince: at}, FromDiscovery: true}
}

func TestRowsSurviveARestart(t *testing.T) {
	fs := newMemoryFS()
	p, _ := open(fs, Settings{}, 0)
	p.Record(0, []Observation{fromDiscovery("a", Serving, time.Hour, noon), fromDiscovery("b", Draining, 0, noon), fromDiscovery("c", Serving, 0, noon)})
	p.Record(0, []Observation{{Server: Server{ID: "a", LastServed: noon.Add(time.Minute)}}, fromDiscovery("c", Gone, 0, noon.Add(time.Second))})
	p.Record(0, []Observation{{Server: Server{ID: "never listed", LastServed: noon}}})
	p.RecordConfirmation(0, List{Generation: 7, Discovery: "d:1", Confirmed: noon, ServerRate: 12.5, ServingCount: 1})
	p.commit(t, time.Second)
	again, warnings := open(fs, Settings{}, 0)
	if len(warnings) > 0 || !slices.Equal(again.Servers(), p.Servers()) || len(again.Servers()) != 3 {
		t.Errorf("warnings %v, servers %v, want %v", warnings, again.Servers(), p.Servers())
	}
	if got := again.List(); !got.Consistent || got.Generation != 7 || got.ServerRate != 12.5 || got.ServingCount != 1 || got.Discovery != "d:1" || !got.Confirmed.Equal(noon) {
		t.Errorf("list: %+v", got)
	}
	a := again.Servers()[0]
	if a.LastServed.IsZero() || a.Started != time.Hour || a.Weight != 2 || a.Cell != 3 || a.Zone != "a" {
		t.Errorf("row: %+v", a)
	}
}

// A row that is missing, or newer than the row of the list, must be detected, because the changes since that
// generation would be incomplete.
func TestInconsistentRowsAreDetected(t *testing.T) {
	for name, change := range map[string]func(process){
		"a newer row":   func(p process) { p.Record(0, []Observation{fromDiscovery("b", Draining, 1, noon)}) },
		"a missing row": func(p process) { p.store.Delete(0, tableServers, "a", true) },
		"a held server": func(p process) {
			p.RecordConfirmation(0, List{Generation: 7, Confirmed: noon, Incomplete: true})
		},
	} {
		fs := newMemoryFS()
		p, _ := open(fs, Settings{}, 0)
		p.Record(0, []Observation{fromDiscovery("a", Serving, 1, noon), fromDiscovery("b", Serving, 1, noon)})
		p.RecordConfirmation(0, List{Generation: 7, Confirmed: noon})
		p.commit(t, 0)
		if p, _ = open(fs, Settings{}, 0); !p.List().Consistent {
			t.Fatal("the list is inconsistent before the change")
		}
		change(p)
		p.commit(t, 0)
		if x, _ := open(fs, Settings{}, 0); x.List().Consistent {
			t.Errorf("%s is not detected", name)
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
		{noon, noon.Add(-time.Hour), 0, false}, // the wall clock is before the time of the list
		{time.Time{}, noon, 0, false},
		{noon, noon.AddDate(1, 0, 0), 365 * 24 * time.Hour, true},
	} {
		l := List{Confirmed: c.confirmed}
		if age, known := l.Age(c.wall); age != c.age || known != c.known {
			t.Errorf("confirmed %v, wall %v: age %v, known %v", c.confirmed, c.wall, age, known)
		}
	}
}

// A clock that is a year ahead or behind must not evict a removal. Tombstones are evicted in order of their sequence
// numbers.
func TestTombstonesAreEvictedInSequence(t *testing.T) {
	fs := newMemoryFS()
	for _, wall := range []time.Time{noon, noon.AddDate(1, 0, 0), noon.AddDate(-1, 0, 0)} {
		p, _ := open(fs, Settings{MaxTombstones: 3}, 0)
		p.Record(0, []Observation{fromDiscovery("x"+wall.Format("2006"), Serving, 1, wall)})
		p.Record(0, []Observation{fromDiscovery("x"+wall.Format("2006"), Gone, 1, wall)})
		p.commit(t, 0)
	}
	p, _ := open(fs, Settings{MaxTombstones: 3}, 0)
	if len(p.Servers()) != 3 {
		t.Fatalf("known servers: %v", p.Servers())
	}
	for i := range 10 {
		p.Record(0, []Observation{fromDiscovery(fmt.Sprint("y", i), Gone, 1, noon)})
	}
	if got := fmt.Sprint(ids(p.Servers())); got != "[y7 y8 y9]" {
		t.Errorf("remaining servers: %v", got)
	}
	// A server that returned and was removed again is the newest.
	p.Record(0, []Observation{fromDiscovery("y7", Serving, 2, noon), fromDiscovery("y7", Gone, 2, noon), fromDiscovery("y10", Gone, 1, noon)})
	if got := fmt.Sprint(ids(p.Servers())); got != "[y10 y7 y9]" {
		t.Errorf("remaining servers: %v", got)
	}
}

func ids(all []Server) (names []string) {
	for _, s := range all {
		names = append(names, s.ID)
	}
	return names
}

// With 1% churn an hour, a confirmation every minute and answers all the time, the size of the files and the writes
// per hour stay bounded. It simulates a month if CURLEWRING_LONG is set, and otherwise three days.
func TestMonthOfChurn(t *testing.T) {
	hours := 72
	if os.Getenv("CURLEWRING_LONG") != "" {
		hours = 720
	}
	fs := newMemoryFS()
	const serverCount = 1000
	p, _ := open(fs, Settings{}, 0)
	rng := rand.New(rand.NewPCG(1, 1))
	names, next := make([]string, serverCount), 0
	now, wall, largest := time.Duration(0), noon, 0
	newServer := func() Observation {
		next++
		return fromDiscovery(fmt.Sprintf("srv-%08x", next), Serving, time.Duration(next)*time.Second, wall)
	}
	for i := range names {
		n := newServer()
		names[i] = n.ID
		p.Record(now, []Observation{n})
	}
	now = p.commit(t, now)
	before := p.store.Stats()
	for hour := range hours {
		for minute := range 60 {
			now, wall = now+time.Minute, wall.Add(time.Minute)
			var observations []Observation
			if minute%6 == 0 { // ten an hour: 1%
				i := rng.IntN(serverCount)
				gone := fromDiscovery(names[i], Gone, 0, wall)
				n := newServer()
				names[i] = n.ID
				observations = append(observations, gone, n)
			}
			for range 50 { // servers that have answered
				observations = append(observations, Observation{Server: Server{ID: names[rng.IntN(serverCount)], LastServed: wall}})
			}
			p.Record(now, observations)
			p.RecordConfirmation(now, List{Generation: uint64(hour*60 + minute), Confirmed: wall, ServerRate: 3, ServingCount: serverCount})
			p.WritePending(now)
			if err := p.store.Commit(now); err != nil {
				t.Fatal(err)
			}
			for p.store.NeedsCompact() {
				if _, err := p.store.Compact(now); err != nil {
					t.Fatal(err)
				}
			}
		}
		largest = max(largest, fs.size())
	}
	stats := p.store.Stats()
	rows, bytes := float64(stats.Rows-before.Rows)/float64(hours), float64(stats.Bytes-before.Bytes)/float64(hours)
	t.Logf("%d rows; files: %d kB at the end, at most %d kB; per hour: %.0f rows, %.0f kB, %.0f syncs",
		p.store.Len(), fs.size()>>10, largest>>10, rows, bytes/1024, float64(stats.Syncs-before.Syncs)/float64(hours))
	if largest > 3<<20 || p.store.Len() > serverCount+4096+1 || rows > 4000 {
		t.Errorf("%d bytes, %d rows, %.0f rows written per hour", largest, p.store.Len(), rows)
	}
	again, _ := open(fs, Settings{}, now)
	if !again.List().Consistent || len(again.Servers()) != p.store.Len()-1 {
		t.Errorf("the reopened list differs: %+v", again.List())
	}
}

// Restarts once a second must lose nothing and let no file grow: a process that learns nothing new writes nothing.
func TestRestartLoop(t *testing.T) {
	fs := newMemoryFS()
	p, _ := open(fs, Settings{}, 0)
	for i := range 500 {
		p.Record(0, []Observation{fromDiscovery(fmt.Sprint("s", i), Serving, time.Second, noon)})
	}
	p.RecordConfirmation(0, List{Generation: 3, Confirmed: noon, ServerRate: 2})
	now := p.commit(t, 0)
	size, want := fs.size(), p.Servers()
	for i := range 300 {
		x, _ := open(fs, Settings{}, now)
		now += time.Second
		x.Record(now, []Observation{{Server: Server{ID: fmt.Sprint("s", i), LastServed: noon.Add(time.Second)}}})
		if err := x.store.Commit(now); err != nil { // not due yet
			t.Fatal(err)
		}
		if x.List().ServerRate != 2 || !x.List().Consistent {
			t.Fatalf("process %d: %+v", i, x.List())
		}
	}
	if fs.size() != size {
		t.Errorf("%d bytes of files, %d before", fs.size(), size)
	}
	if x, _ := open(fs, Settings{}, now); !slices.Equal(x.Servers(), want) {
		t.Errorf("rows have changed: want %v, got %v", want[0], x.Servers()[0])
	}
}

// Processes are killed at any byte of a write, or their disk is full. Servers that were draining or removed as of a
// commit must still be so in the next process, no server may be serving that was never listed, and a consistent list
// must have all rows of its generation.
func TestKilledProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		fs := newMemoryFS()
		now, wall := time.Hour, noon
		reported := map[string]Server{}              // as reported by discovery
		reportedAt := map[uint64]map[string]Server{} // reported as of each generation
		committed := map[string]State{}              // drains and removals as of the last commit
		generation := uint64(0)
		for range rapid.IntRange(1, 6).Draw(t, "processes") {
			p, warnings := open(fs, Settings{MaxTombstones: 1000, WritesPerSecond: 1 + float64(rng.IntN(20))}, now)
			if len(warnings) > 0 {
				t.Fatalf("warnings: %v", warnings)
			}
			known := map[string]Server{}
			for _, s := range p.Servers() {
				known[s.ID] = s
				if s.State == Serving && reported[s.ID].ID == "" {
					t.Fatalf("%s is serving and was never listed", s.ID)
				}
			}
			for id, state := range committed {
				if reported[id].State == state && known[id].State < state && known[id].Started >= reported[id].Started {
					t.Fatalf("%s was reported as %v and restored as %v", id, state, known[id].State)
				}
			}
			if g := p.List(); g.Consistent {
				for id, s := range reportedAt[g.Generation] {
					k := known[id]
					if s.State != Gone && (k.State != s.State || k.Started != s.Started || k.Address != s.Address) {
						t.Fatalf("generation %d counts as consistent, but %s is %v, want %v", g.Generation, id, k, s)
					}
				}
			}
			// The process continues from the latest state, as discovery reports everything again.
			var all []Observation
			for _, s := range reported {
				all = append(all, Observation{Server: s, FromDiscovery: true})
			}
			p.Record(now, all)
			for range rng.IntN(30) {
				now += time.Duration(rng.IntN(2000)) * time.Millisecond
				wall = wall.Add(time.Second)
				var changes []Observation
				for range rng.IntN(4) {
					id := string(rune('a' + rng.IntN(8)))
					n := fromDiscovery(id, State(rng.IntN(3)), max(reported[id].Started, time.Duration(rng.IntN(4))*time.Second), wall)
					if rng.IntN(3) > 0 {
						n.Started = reported[id].Started
					}
					changes = append(changes, n)
					reported[id] = n.Server
				}
				p.Record(now, changes)
				generation++
				m := map[string]Server{}
				for id, s := range reported {
					m[id] = s
				}
				reportedAt[generation] = m
				p.RecordConfirmation(now, List{Generation: generation, Confirmed: wall})
				p.WritePending(now)
				fs.full = rng.IntN(5) == 0
				before := p.store.Durable()
				p.store.Commit(now)
				fs.full = false
				if p.store.Durable() > before && p.store.Durable() == p.store.Seq() {
					for id, s := range reported {
						delete(committed, id)
						if s.State != Serving {
							committed[id] = s.State
						}
					}
				} else {
					for id, s := range reported {
						if committed[id] != s.State {
							delete(committed, id)
						}
					}
				}
				if p.store.NeedsCompact() {
					p.store.Compact(now)
				}
			}
			now += time.Minute
			// The process is killed during a write: the last bytes of the newest journal are missing.
			if rng.IntN(2) == 0 {
				newest := ""
				for name := range fs.files {
					if strings.HasPrefix(name, "journal-") && (len(name) > len(newest) || len(name) == len(newest) && name > newest) {
						newest = name
					}
				}
				if data := fs.files[newest]; len(data) > 0 {
					fs.files[newest] = data[:len(data)-rng.IntN(min(len(data), 200))]
					clear(committed) // the bytes had been synced: this guarantee is void, the others hold
				}
			}
		}
	})
}

func TestMerge(t *testing.T) {
	at := func(id string, s State, started time.Duration) Server {
		return Server{ID: id, State: s, Started: started}
	}
	known := []Server{at("drained", Draining, 1), at("gone", Gone, 1), at("again", Gone, 1), at("db only", Serving, 1), at("worse", Serving, 1)}
	configured := []Server{at("drained", Serving, 1), at("gone", Serving, 1), at("again", Serving, 2), at("config only", Serving, 1), at("worse", Draining, 1)}
	var got []string
	for _, s := range Merge(known, configured) {
		got = append(got, fmt.Sprint(s.ID, " ", s.State))
	}
	if want := "[again serving config only serving db only serving drained draining gone gone worse draining]"; fmt.Sprint(got) != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// Any bytes decode to a row or an error, and a decoded row is encoded to the same row.
func FuzzRows(f *testing.F) {
	r := row{Server: fromDiscovery("a", Draining, time.Hour, noon).Server}
	f.Add(r.encode(nil))
	f.Add(r.encode(nil)[:len(r.encode(nil))-1]) // an earlier version wrote no sequence number of the removal
	r = row{Server: fromDiscovery("a", Gone, time.Hour, noon).Server, removalSeq: 300}
	f.Add(r.encode(nil))
	l := List{Generation: 9, Discovery: "d:1", Confirmed: noon, ServerRate: 2, ServingCount: 4}
	f.Add(l.encode(nil))
	f.Add(l.encode(nil)[:len(l.encode(nil))-1]) // an earlier version wrote no highest generation
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := decodeRow("a", value); err == nil {
			again, err := decodeRow("a", r.encode(nil))
			if err != nil || *again != *r {
				t.Fatalf("%+v, decoded again %+v (%v)", r, again, err)
			}
			// Additional fields of a later version are skipped.
			if longer, err := decodeRow("a", append(r.encode(nil), 1, 2, 3)); err != nil || *longer != *r {
				t.Fatalf("with additional fields: %+v (%v)", longer, err)
			}
		}
		if l, err := decodeList(value); err == nil {
			if again, err := decodeList(l.encode(nil)); err != nil || again != l {
				t.Fatalf("%+v, decoded again %+v (%v)", l, again, err)
			}
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	p, _ := open(newMemoryFS(), Settings{WritesPerSecond: 1e9}, 0)
	names := make([]string, 10_000)
	for i := range names {
		names[i] = fmt.Sprint("srv-", i)
		p.Record(0, []Observation{fromDiscovery(names[i], Serving, 1, noon)})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n := fromDiscovery(names[i%len(names)], Serving, time.Duration(i+2), noon)
		p.Record(0, []Observation{n})
	}
}

func BenchmarkOpen(b *testing.B) {
	fs := newMemoryFS()
	p, _ := open(fs, Settings{WritesPerSecond: 1e9}, 0)
	for i := range 10_000 {
		p.Record(0, []Observation{fromDiscovery(fmt.Sprintf("srv-%08x", i), Serving, time.Second, noon)})
	}
	p.RecordConfirmation(0, List{Generation: 1, Confirmed: noon})
	p.WritePending(0)
	if err := p.store.Close(time.Hour); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(fs.size()), "bytes")
	for b.Loop() {
		if x, _ := open(fs, Settings{}, 0); len(x.Servers()) != 10_000 || !x.List().Consistent {
			b.Fatal("rows are missing")
		}
	}
}
