package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// disk is a folder in memory that forgets what was not synced when the power goes,
// and whose operations fail on demand.
type disk struct {
	files map[string]*inode // as a running program sees them
	safe  map[string]*inode // names that survive
	ops   int
	fails map[int]string // by operation's number: "error", "torn", "short", or "power", from which on none does anything
	off   bool
}

type inode struct {
	synced []byte
	writes [][]byte // since
}

func newDisk() *disk {
	return &disk{files: map[string]*inode{}, safe: map[string]*inode{}, fails: map[int]string{}}
}

var errDisk = errors.New("input/output error")

func (d *disk) op() string {
	d.ops++
	if d.off = d.off || d.fails[d.ops] == "power"; d.off {
		return "error"
	}
	return d.fails[d.ops]
}

func (n *inode) all() []byte {
	return slices.Concat(append([][]byte{n.synced}, n.writes...)...)
}

func (d *disk) List() (names []string, _ error) {
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) Read(name string, most int) ([]byte, error) {
	n := d.files[name]
	if n == nil {
		return nil, errDisk
	}
	return n.all(), nil
}

func (d *disk) Create(name string) (File, error) {
	if d.op() != "" {
		return nil, errDisk
	}
	n := &inode{}
	d.files[name] = n
	return &handle{d, n}, nil
}

func (d *disk) Rename(from, to string) error {
	if d.op() != "" {
		return errDisk
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if d.op() != "" {
		return errDisk
	}
	delete(d.files, name)
	return nil
}

func (d *disk) SyncDir() error {
	if d.op() != "" {
		return errDisk
	}
	d.safe = map[string]*inode{}
	for name, n := range d.files {
		d.safe[name] = n
	}
	return nil
}

type handle struct {
	disk *disk
	node *inode
}

func (h *handle) Write(p []byte) (int, error) {
	switch h.disk.op() {
	case "torn":
		h.node.writes = append(h.node.writes, slices.Clone(p[:len(p)/2]))
		return len(p) / 2, errDisk
	case "short":
		h.node.writes = append(h.node.writes, slices.Clone(p[:len(p)/3]))
		return len(p) / 3, nil
	case "error":
		return 0, errDisk
	}
	h.node.writes = append(h.node.writes, slices.Clone(p))
	return len(p), nil
}

func (h *handle) Sync() error {
	if h.disk.op() != "" {
		if h.disk.off {
			return errDisk
		}
		h.node.writes = nil // the kernel may drop what it could not write, and say so once
		return errDisk
	}
	h.node.synced, h.node.writes = h.node.all(), nil
	return nil
}

func (h *handle) Close() error { return nil }

// crash is the disk after a power cut: names and bytes that were not synced may be
// there or not, in any mixture, and one write may be torn.
func (d *disk) crash(draw func(n int) int) *disk {
	next := newDisk()
	keep := func(name string, n *inode) {
		data := slices.Clone(n.synced)
		for k, w := range n.writes {
			switch draw(4) {
			case 0: // it is there
				data = append(data, w...)
			case 1: // torn
				data = append(data, w[:draw(len(w)+1)]...)
			case 2: // lost, and what follows it is not
				if k < len(n.writes)-1 {
					data = append(data, make([]byte, len(w))...)
				}
			}
		}
		next.files[name] = &inode{synced: data}
	}
	for name, n := range d.safe {
		if d.files[name] == n || draw(2) == 0 {
			keep(name, n)
		}
	}
	for name, n := range d.files {
		if d.safe[name] != n && draw(2) == 0 {
			keep(name, n)
		}
	}
	next.SyncDir()
	return next
}

// model is a plain map of what each row may be after a crash.
type model struct {
	values  map[string][]version // of each key, in order; "" is deleted
	durable uint64
}

type version struct {
	seq   uint64
	value string
}

func (m *model) set(key, value string, seq uint64) {
	m.values[key] = append(m.values[key], version{seq, value})
}

// check tells what is wrong with a store after a crash: each row must be the last
// version that was durable, or a later one.
func (m *model) check(s *Store) error {
	for key, all := range m.values {
		got := string(s.Get(1, key))
		ok := false
		for k := len(all) - 1; k >= 0; k-- {
			if all[k].value == got {
				ok = true
				break
			}
			if all[k].seq <= m.durable {
				break // older ones must not come back
			}
			if k == 0 && got == "" {
				ok = true // none of it was durable
			}
		}
		if !ok {
			return fmt.Errorf("row %q is %q of %v, durable up to %d", key, got, all, m.durable)
		}
	}
	for _, key := range s.Keys(1) {
		if m.values[key] == nil {
			return fmt.Errorf("row %q was never set", key)
		}
	}
	return nil
}

// restart makes the model know only what the store has.
func (m *model) restart(s *Store) {
	for key := range m.values {
		m.values[key] = []version{{0, string(s.Get(1, key))}}
	}
	m.durable = s.Durable()
}

// play does things to a store, and to the model what the store says of them.
func play(s *Store, m *model, now *time.Duration, draw func(n int) int, steps int) {
	for range steps {
		key := fmt.Sprint("k", draw(12))
		switch draw(8) {
		case 0, 1, 2:
			value := fmt.Sprint("v", draw(1000), strings.Repeat(".", draw(40)))
			if seq, err := s.Put(*now, 1, key, []byte(value), draw(3) == 0); err == nil {
				m.set(key, value, seq)
			}
		case 3:
			if seq := s.Delete(*now, 1, key, draw(3) == 0); seq > 0 {
				m.set(key, "", seq)
			}
		case 4, 5:
			*now += time.Duration(draw(8)) * time.Second
			s.Commit(*now)
		case 6:
			s.journalBytes += minCompactBytes // the journal has grown
			for more := true; more; {
				more, _ = s.Compact(*now)
				if draw(3) == 0 {
					break
				}
			}
		default:
			*now += 10 * time.Millisecond
			s.Commit(*now)
		}
		m.durable = max(m.durable, s.Durable())
	}
}

// Whatever is done, whichever operations fail, wherever the power goes and whatever of
// the unsynced is left: the store opens, nothing that was durable is lost, nothing
// comes back, and it goes on from there. Several lives in a row.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		d, m, now := newDisk(), &model{values: map[string][]version{}}, time.Hour
		for life := range rapid.IntRange(1, 4).Draw(t, "lives") {
			s, report := Open(d, Settings{})
			if err := m.check(s); err != nil {
				t.Fatalf("life %d (%v): %v", life, report, err)
			}
			m.restart(s)
			for range draw(4) {
				d.fails[d.ops+1+draw(40)] = []string{"error", "torn", "short"}[draw(3)]
			}
			play(s, m, &now, draw, rapid.IntRange(0, 40).Draw(t, "steps"))
			if draw(3) == 0 {
				s.Close(now)
				m.durable = max(m.durable, s.Durable())
			}
			d = d.crash(draw)
		}
	})
}

// Each operation in turn fails, in each way, in one fixed life; then the power goes.
func TestEachOperationFails(t *testing.T) {
	for _, how := range []string{"error", "torn", "short"} {
		for at := 1; ; at++ {
			r := rand.New(rand.NewPCG(7, 7))
			d, m, now := newDisk(), &model{values: map[string][]version{}}, time.Hour
			d.fails[at] = how
			s, _ := Open(d, Settings{})
			play(s, m, &now, r.IntN, 120)
			if d.ops < at {
				break
			}
			for n := range 8 {
				x := rand.New(rand.NewPCG(uint64(at), uint64(n)))
				after, report := Open(d.crash(x.IntN), Settings{})
				if err := m.check(after); err != nil {
					t.Fatalf("%s at %d, power cut %d (%v): %v", how, at, n, report, err)
				}
			}
			// It heals: later changes become durable.
			now += 3 * time.Minute
			seq, _ := s.Put(now, 1, "last", []byte("x"), true)
			s.Commit(now)
			if s.Durable() < seq || s.WriteError() != nil {
				t.Fatalf("%s at %d: durable up to %d of %d, %v", how, at, s.Durable(), seq, s.WriteError())
			}
		}
	}
}

// A file that was cut at any byte, or has any one byte changed, opens, and rows that
// the damage did not touch are there.
func TestDamage(t *testing.T) {
	d, now := newDisk(), time.Hour
	s, _ := Open(d, Settings{})
	const rows = 40
	for n := range rows {
		s.Put(now, 1, fmt.Sprint("k", n), []byte(strings.Repeat("v", n)), true)
		now += time.Second
		s.Commit(now)
	}
	journal := fileName(journalPrefix, s.generation)
	whole := d.files[journal].all()
	for at := range whole {
		for _, cut := range []bool{true, false} {
			c := newDisk()
			data := slices.Clone(whole)
			if cut {
				data = data[:at]
			} else {
				data[at] ^= 1 << (at % 8)
			}
			c.files[journal] = &inode{synced: data}
			got, report := Open(c, Settings{})
			lost := rows - got.Len()
			if !cut && lost > 1 || cut && got.Len() > rows || len(report.Notes) > 0 && at > 60 {
				t.Fatalf("byte %d, cut %v: %d rows lost, %v", at, cut, lost, report)
			}
			for _, key := range got.Keys(1) {
				var n int
				fmt.Sscanf(key, "k%d", &n)
				if string(got.Get(1, key)) != strings.Repeat("v", n) {
					t.Fatalf("byte %d, cut %v: row %s is %q", at, cut, key, got.Get(1, key))
				}
			}
		}
	}
}

// Files of others, of a later version, of another generation and unreadable ones are
// left alone, each with a note.
func TestFilesOfOthers(t *testing.T) {
	d := newDisk()
	later := record{op: opBegin, value: []byte{Version + 1, 0}}
	put := record{op: opPut, table: 1, seq: 9, key: "k", value: []byte("other")}
	d.files["journal-5"] = &inode{synced: put.append(later.append(nil, 5), 5)}
	d.files["journal-6"] = &inode{synced: []byte(strings.Repeat("not ours\n", 100))}
	d.files["journal-7"] = &inode{synced: put.append(nil, 3)}
	d.files["journal-08"] = &inode{synced: []byte("x")}
	d.files["notes.txt"] = &inode{synced: []byte("x")}
	s, report := Open(d, Settings{})
	if s.Len() != 0 || len(report.Notes) != 3 || strings.Contains(report.String(), "\n") {
		t.Errorf("%d rows, %v", s.Len(), report)
	}
	s.Put(0, 1, "k", []byte("mine"), true)
	if err := s.Commit(time.Hour); err != nil || s.generation != 8 {
		t.Errorf("generation %d, %v", s.generation, err)
	}
	if d.files["notes.txt"] == nil {
		t.Error("a file of another was removed")
	}
}

// A restart a second neither grows the files nor loses anything; bounds are kept.
func TestRestartLoopAndBounds(t *testing.T) {
	d, now := newDisk(), time.Hour
	set := Settings{MaxRows: 100, MaxBytes: 4000}
	for life := range 200 {
		s, _ := Open(d, set)
		if want := min(life, 100); s.Len() != want {
			t.Fatalf("life %d: %d rows", life, s.Len())
		}
		_, err := s.Put(now, 1, fmt.Sprintf("k%03d", life), []byte("value"), true)
		if (err != nil) != (life >= 100) || err != nil && !errors.Is(err, ErrFull) {
			t.Fatalf("life %d: %v", life, err)
		}
		s.Put(now, 1, "k000", []byte(fmt.Sprint(life)), false)
		now += time.Second
		if err := s.Close(now); err != nil {
			t.Fatal(err)
		}
		bytes := 0
		for _, n := range d.files {
			bytes += len(n.all())
		}
		if len(d.files) > 4 || bytes > 30_000 {
			t.Fatalf("life %d: %d files, %d bytes", life, len(d.files), bytes)
		}
	}
}

// A month of churn: a hundredth of 10,000 rows changes each hour, and each is seen
// again each hour. What is written stays within a stated multiple of that.
func TestWritesOfAMonth(t *testing.T) {
	d, now := newDisk(), time.Hour
	s, _ := Open(d, Settings{})
	r := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, 80)
	for n := range 10_000 {
		s.Put(now, 1, fmt.Sprint("box-", n), value, false)
	}
	payload, largest := 0, 0
	hours := 24 * 7
	for range hours {
		now += time.Hour
		for range 100 {
			key := fmt.Sprint("box-", r.IntN(10_000))
			value[r.IntN(80)]++
			s.Put(now, 1, key, value, false)
			payload += len(key) + len(value)
		}
		s.Commit(now + time.Minute)
		for more := true; more; {
			more, _ = s.Compact(now)
		}
		bytes := 0
		for _, n := range d.files {
			bytes += len(n.all())
		}
		largest = max(largest, bytes)
	}
	st := s.Stats()
	t.Logf("%d hours: %.1f kB an hour for %.1f kB of rows, %d snapshots; files of %.1f MB at the most", hours,
		float64(st.Bytes)/float64(hours)/1000, float64(payload)/float64(hours)/1000, st.Snapshots, float64(largest)/1e6)
	if largest > 10<<20 {
		t.Errorf("%d bytes of files", largest)
	}
}

// The reader takes whatever it is given.
func FuzzScan(f *testing.F) {
	b, p := beginRecord(3), record{op: opPut, table: 1, seq: 1, key: "k", value: []byte("v")}
	f.Add(p.append(b.append(nil, 3), 3), uint64(3))
	f.Add([]byte(magic+magic+"x"), uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, generation uint64) {
		got := scan(data, generation, false)
		size := got.damagedBytes + got.truncatedBytes
		for i := range got.records {
			size += got.records[i].size()
		}
		if size > len(data) {
			t.Fatalf("%d bytes of records and damage in %d", size, len(data))
		}
	})
}

// A journal's name is safe before anything in it is called durable.
func TestNameOfANewJournalIsSafe(t *testing.T) {
	d, now := newDisk(), time.Hour
	s, _ := Open(d, Settings{})
	s.Put(now, 1, "old", []byte("x"), true)
	s.Commit(now)
	s.journalBytes += minCompactBytes
	if more, err := s.Compact(now); !more || err != nil { // a new journal, and no snapshot yet
		t.Fatal(more, err)
	}
	now += time.Second
	seq, _ := s.Put(now, 1, "new", []byte("y"), true)
	if err := s.Commit(now); err != nil || s.Durable() < seq {
		t.Fatal(err)
	}
	after, report := Open(d.crash(func(int) int { return 1 }), Settings{}) // what is not synced is lost
	if string(after.Get(1, "new")) != "y" || string(after.Get(1, "old")) != "x" {
		t.Errorf("lost: %v", report)
	}
}

// With the newest snapshot damaged, the generation before gives what it had, and the
// journals what has come since.
func TestDamagedSnapshotFallsBack(t *testing.T) {
	d, now := newDisk(), time.Hour
	s, _ := Open(d, Settings{})
	const rows = 100
	for generation := range 3 {
		for n := range rows {
			s.Put(now, 1, fmt.Sprint("k", n), []byte(fmt.Sprint("v", generation, "-", n)), false)
		}
		now += time.Minute
		if err := s.Commit(now); err != nil {
			t.Fatal(err)
		}
		s.journalBytes += minCompactBytes
		for more := true; more; {
			var err error
			if more, err = s.Compact(now); err != nil {
				t.Fatal(err)
			}
		}
	}
	newest := d.files[fileName(snapshotPrefix, s.generation)]
	for at := 100; at < len(newest.synced); at += 50 { // hardly a record is left
		newest.synced[at] ^= 0xff
	}
	got, report := Open(d, Settings{})
	if got.Len() != rows || report.DamagedBytes == 0 {
		t.Fatalf("%d of %d rows: %v", got.Len(), rows, report)
	}
	for n := range rows {
		if value := string(got.Get(1, fmt.Sprint("k", n))); value != fmt.Sprint("v2-", n) {
			t.Fatalf("row %d is %q: %v", n, value, report)
		}
	}
}
