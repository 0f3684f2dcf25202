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

// fakeDisk is a folder in memory that loses what was not synced when the power fails, and whose
// operations fail on demand.
type fakeDisk struct {
	files      map[string]*inode // as seen by the running process
	durable    map[string]*inode // names that survive a power failure
	ops        int
	faults     map[int]string // by operation number: "error", "torn", "short", or "power": all operations fail from then on
	poweredOff bool
}

type inode struct {
	synced []byte
	writes [][]byte // since the last sync
}

func newDisk() *fakeDisk {
	return &fakeDisk{files: map[string]*inode{}, durable: map[string]*inode{}, faults: map[int]string{}}
}

var errDisk = errors.New("input/output error")

func (d *fakeDisk) nextFault() string {
	d.ops++
	if d.poweredOff = d.poweredOff || d.faults[d.ops] == "power"; d.poweredOff {
		return "error"
	}
	return d.faults[d.ops]
}

func (n *inode) contents() []byte {
	return slices.Concat(append([][]byte{n.synced}, n.writes...)...)
}

func (d *fakeDisk) List() (names []string, _ error) {
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *fakeDisk) Read(name string, maxBytes int) ([]byte, error) {
	file := d.files[name]
	if file == nil {
		return nil, errDisk
	}
	return file.contents(), nil
}

func (d *fakeDisk) Create(name string) (File, error) {
	if d.nextFault() != "" {
		return nil, errDisk
	}
	file := &inode{}
	d.files[name] = file
	return &fakeFile{d, file}, nil
}

func (d *fakeDisk) Rename(from, to string) error {
	if d.nextFault() != "" {
		return errDisk
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	if d.nextFault() != "" {
		return errDisk
	}
	delete(d.files, name)
	return nil
}

func (d *fakeDisk) SyncDir() error {
	if d.nextFault() != "" {
		return errDisk
	}
	d.durable = map[string]*inode{}
	for name, file := range d.files {
		d.durable[name] = file
	}
	return nil
}

type fakeFile struct {
	disk  *fakeDisk
	inode *inode
}

func (f *fakeFile) Write(data []byte) (int, error) {
	switch f.disk.nextFault() {
	case "torn":
		f.inode.writes = append(f.inode.writes, slices.Clone(data[:len(data)/2]))
		return len(data) / 2, errDisk
	case "short":
		f.inode.writes = append(f.inode.writes, slices.Clone(data[:len(data)/3]))
		return len(data) / 3, nil
	case "error":
		return 0, errDisk
	}
	f.inode.writes = append(f.inode.writes, slices.Clone(data))
	return len(data), nil
}

func (f *fakeFile) Sync() error {
	if f.disk.nextFault() != "" {
		if f.disk.poweredOff {
			return errDisk
		}
		f.inode.writes = nil // the kernel may drop pages that it could not write, and report the error once
		return errDisk
	}
	f.inode.synced, f.inode.writes = f.inode.contents(), nil
	return nil
}

func (f *fakeFile) Close() error { return nil }

// crash returns the disk after a power failure: names and bytes that were not synced may be there
// or not, in any combination, and a write may be torn.
func (d *fakeDisk) crash(draw func(bound int) int) *fakeDisk {
	next := newDisk()
	keepFile := func(name string, file *inode) {
		data := slices.Clone(file.synced)
		for i, write := range file.writes {
			switch draw(4) {
			case 0: // written
				data = append(data, write...)
			case 1: // written in part
				data = append(data, write[:draw(len(write)+1)]...)
			case 2: // lost, although later writes may not be
				if i < len(file.writes)-1 {
					data = append(data, make([]byte, len(write))...)
				}
			}
		}
		next.files[name] = &inode{synced: data}
	}
	for name, file := range d.durable {
		if d.files[name] == file || draw(2) == 0 {
			keepFile(name, file)
		}
	}
	for name, file := range d.files {
		if d.durable[name] != file && draw(2) == 0 {
			keepFile(name, file)
		}
	}
	next.SyncDir()
	return next
}

// model records which values each row may have after a crash.
type model struct {
	values  map[string][]version // versions of each key, in order; "" means deleted
	durable uint64
}

type version struct {
	seq   uint64
	value string
}

func (m *model) set(key, value string, seq uint64) {
	m.values[key] = append(m.values[key], version{seq, value})
}

// check compares a reopened store with the model: each row must have its last durable version or a
// later one.
func (m *model) check(s *Store) error {
	for key, versions := range m.values {
		value := string(s.Get(1, key))
		ok := false
		for i := len(versions) - 1; i >= 0; i-- {
			if versions[i].value == value {
				ok = true
				break
			}
			if versions[i].seq <= m.durable {
				break // older versions must not reappear
			}
			if i == 0 && value == "" {
				ok = true // no version was durable
			}
		}
		if !ok {
			return fmt.Errorf("row %q is %q; its versions are %v, durable up to change %d", key, value, versions, m.durable)
		}
	}
	for _, key := range s.Keys(1) {
		if m.values[key] == nil {
			return fmt.Errorf("row %q was never set", key)
		}
	}
	return nil
}

// reset reduces the model to what the store contains.
func (m *model) reset(s *Store) {
	for key := range m.values {
		m.values[key] = []version{{0, string(s.Get(1, key))}}
	}
	m.durable = s.Durable()
}

// applyRandomSteps applies random operations to a store and records the results in the model.
func applyRandomSteps(store *Store, expected *model, now *time.Duration, draw func(bound int) int, steps int) {
	for range steps {
		key := fmt.Sprint("k", draw(12))
		switch draw(8) {
		case 0, 1, 2:
			value := fmt.Sprint("v", draw(1000), strings.Repeat(".", draw(40)))
			if seq, err := store.Put(*now, 1, key, []byte(value), draw(3) == 0); err == nil {
				expected.set(key, value, seq)
			}
		case 3:
			if seq := store.Delete(*now, 1, key, draw(3) == 0); seq > 0 {
				expected.set(key, "", seq)
			}
		case 4, 5:
			*now += time.Duration(draw(8)) * time.Second
			store.Commit(*now)
		case 6:
			store.journalBytes += minCompactBytes // makes the journal long enough to be compacted
			for more := true; more; {
				more, _ = store.Compact(*now)
				if draw(3) == 0 {
					break
				}
			}
		default:
			*now += 10 * time.Millisecond
			store.Commit(*now)
		}
		expected.durable = max(expected.durable, store.Durable())
	}
}

// After any sequence of operations, disk faults and power failures, whatever of the unsynced data
// is left, the store must open, lose nothing that was durable, restore nothing older, and go on
// from there. Each case covers several runs of the store.
func TestRandomCrashesKeepDurableRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(bound int) int { return rapid.IntRange(0, bound-1).Draw(t, "n") }
		disk, expected, now := newDisk(), &model{values: map[string][]version{}}, time.Hour
		for run := range rapid.IntRange(1, 4).Draw(t, "lives") {
			store, report := Open(disk, Settings{})
			if err := expected.check(store); err != nil {
				t.Fatalf("run %d (%v): %v", run, report, err)
			}
			expected.reset(store)
			for range draw(4) {
				disk.faults[disk.ops+1+draw(40)] = []string{"error", "torn", "short"}[draw(3)]
			}
			applyRandomSteps(store, expected, &now, draw, rapid.IntRange(0, 40).Draw(t, "steps"))
			if draw(3) == 0 {
				store.Close(now)
				expected.durable = max(expected.durable, store.Durable())
			}
			disk = disk.crash(draw)
		}
	})
}

// Each disk operation of a fixed run fails in turn, in each way, followed by a power failure.
func TestFaultAtEachOperation(t *testing.T) {
	for _, fault := range []string{"error", "torn", "short"} {
		for operation := 1; ; operation++ {
			random := rand.New(rand.NewPCG(7, 7))
			disk, expected, now := newDisk(), &model{values: map[string][]version{}}, time.Hour
			disk.faults[operation] = fault
			store, _ := Open(disk, Settings{})
			applyRandomSteps(store, expected, &now, random.IntN, 120)
			if disk.ops < operation {
				break
			}
			for powerFailure := range 8 {
				random := rand.New(rand.NewPCG(uint64(operation), uint64(powerFailure)))
				reopened, report := Open(disk.crash(random.IntN), Settings{})
				if err := expected.check(reopened); err != nil {
					t.Fatalf("%s at operation %d, power failure %d (%v): %v", fault, operation, powerFailure, report, err)
				}
			}
			// It recovers: later changes become durable.
			now += 3 * time.Minute
			seq, _ := store.Put(now, 1, "last", []byte("x"), true)
			store.Commit(now)
			if store.Durable() < seq || store.WriteError() != nil {
				t.Fatalf("%s at operation %d: durable up to change %d, want %d; write error %v", fault, operation, store.Durable(), seq, store.WriteError())
			}
		}
	}
}

// A file that is truncated at any byte, or has any one byte changed, must open, with the rows that
// the damage did not touch.
func TestTruncationAndChangedBytes(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, Settings{})
	const rows = 40
	for i := range rows {
		store.Put(now, 1, fmt.Sprint("k", i), []byte(strings.Repeat("v", i)), true)
		now += time.Second
		store.Commit(now)
	}
	journal := fileName(journalPrefix, store.generation)
	intact := disk.files[journal].contents()
	for offset := range intact {
		for _, truncate := range []bool{true, false} {
			damaged := newDisk()
			data := slices.Clone(intact)
			if truncate {
				data = data[:offset]
			} else {
				data[offset] ^= 1 << (offset % 8)
			}
			damaged.files[journal] = &inode{synced: data}
			reopened, report := Open(damaged, Settings{})
			lostRows := rows - reopened.Len()
			if !truncate && lostRows > 1 || truncate && reopened.Len() > rows || len(report.Notes) > 0 && offset > 60 {
				t.Fatalf("byte %d, truncated %v: %d rows lost, report: %v", offset, truncate, lostRows, report)
			}
			for _, key := range reopened.Keys(1) {
				var i int
				fmt.Sscanf(key, "k%d", &i)
				if string(reopened.Get(1, key)) != strings.Repeat("v", i) {
					t.Fatalf("byte %d, truncated %v: row %s is %q", offset, truncate, key, reopened.Get(1, key))
				}
			}
		}
	}
}

// Files of a later version, of another generation or with unreadable contents must be left alone,
// with a note each. Files with other names must be left alone, too.
func TestForeignFilesAreLeftAlone(t *testing.T) {
	disk := newDisk()
	later := record{op: opBegin, value: []byte{Version + 1, 0}}
	put := record{op: opPut, table: 1, seq: 9, key: "k", value: []byte("other")}
	disk.files["journal-5"] = &inode{synced: put.append(later.append(nil, 5), 5)}
	disk.files["journal-6"] = &inode{synced: []byte(strings.Repeat("not ours\n", 100))}
	disk.files["journal-7"] = &inode{synced: put.append(nil, 3)}
	disk.files["journal-08"] = &inode{synced: []byte("x")}
	disk.files["notes.txt"] = &inode{synced: []byte("x")}
	store, report := Open(disk, Settings{})
	if store.Len() != 0 || len(report.Notes) != 3 || strings.Contains(report.String(), "\n") {
		t.Errorf("%d rows, want 0 and 3 notes; report: %v", store.Len(), report)
	}
	store.Put(0, 1, "k", []byte("mine"), true)
	if err := store.Commit(time.Hour); err != nil || store.generation != 8 {
		t.Errorf("generation %d, want 8; error %v", store.generation, err)
	}
	if disk.files["notes.txt"] == nil {
		t.Error("a foreign file was removed")
	}
}

// A process that restarts every second must neither make the files grow nor lose rows, and the
// limits must hold.
func TestRestartLoopStaysWithinLimits(t *testing.T) {
	disk, now := newDisk(), time.Hour
	settings := Settings{MaxRows: 100, MaxBytes: 4000}
	for run := range 200 {
		store, _ := Open(disk, settings)
		if want := min(run, 100); store.Len() != want {
			t.Fatalf("run %d: %d rows", run, store.Len())
		}
		_, err := store.Put(now, 1, fmt.Sprintf("k%03d", run), []byte("value"), true)
		if (err != nil) != (run >= 100) || err != nil && !errors.Is(err, ErrFull) {
			t.Fatalf("run %d: %v", run, err)
		}
		store.Put(now, 1, "k000", []byte(fmt.Sprint(run)), false)
		now += time.Second
		if err := store.Close(now); err != nil {
			t.Fatal(err)
		}
		totalBytes := 0
		for _, file := range disk.files {
			totalBytes += len(file.contents())
		}
		if len(disk.files) > 4 || totalBytes > 30_000 {
			t.Fatalf("run %d: %d files, %d bytes", run, len(disk.files), totalBytes)
		}
	}
}

// One week in which 100 random rows of 10,000 change each hour. The files must stay below a fixed
// size; the log shows how much is written for how much payload.
func TestWriteVolumeOfAWeek(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, Settings{})
	random := rand.New(rand.NewPCG(1, 1))
	value := make([]byte, 80)
	for i := range 10_000 {
		store.Put(now, 1, fmt.Sprint("srv-", i), value, false)
	}
	payload, largest := 0, 0
	hours := 24 * 7
	for range hours {
		now += time.Hour
		for range 100 {
			key := fmt.Sprint("srv-", random.IntN(10_000))
			value[random.IntN(80)]++
			store.Put(now, 1, key, value, false)
			payload += len(key) + len(value)
		}
		store.Commit(now + time.Minute)
		for more := true; more; {
			more, _ = store.Compact(now)
		}
		totalBytes := 0
		for _, file := range disk.files {
			totalBytes += len(file.contents())
		}
		largest = max(largest, totalBytes)
	}
	stats := store.Stats()
	t.Logf("%d hours: %.1f kB written per hour for %.1f kB of rows, %d snapshots; files of at most %.1f MB", hours,
		float64(stats.Bytes)/float64(hours)/1000, float64(payload)/float64(hours)/1000, stats.Snapshots, float64(largest)/1e6)
	if largest > 10<<20 {
		t.Errorf("the files grew to %d bytes", largest)
	}
}

// scan must accept any input.
func FuzzScan(f *testing.F) {
	first, put := beginRecord(3), record{op: opPut, table: 1, seq: 1, key: "k", value: []byte("v")}
	f.Add(put.append(first.append(nil, 3), 3), uint64(3))
	f.Add([]byte(magic+magic+"x"), uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, generation uint64) {
		result := scan(data, generation, false)
		size := result.damagedBytes + result.truncatedBytes
		for i := range result.records {
			size += result.records[i].size()
		}
		if size > len(data) {
			t.Fatalf("%d bytes of records and damage in %d bytes of data", size, len(data))
		}
	})
}

// A new journal's name must be durable before anything in the journal is reported as durable.
func TestNewJournalNameIsDurable(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, Settings{})
	store.Put(now, 1, "old", []byte("x"), true)
	store.Commit(now)
	store.journalBytes += minCompactBytes
	if more, err := store.Compact(now); !more || err != nil { // starts a new journal; no snapshot is written yet
		t.Fatal(more, err)
	}
	now += time.Second
	seq, _ := store.Put(now, 1, "new", []byte("y"), true)
	if err := store.Commit(now); err != nil || store.Durable() < seq {
		t.Fatal(err)
	}
	reopened, report := Open(disk.crash(func(int) int { return 1 }), Settings{}) // loses what is not synced
	if string(reopened.Get(1, "new")) != "y" || string(reopened.Get(1, "old")) != "x" {
		t.Errorf("rows lost; report: %v", report)
	}
}

// If the newest snapshot is damaged, the previous one and the journals since must provide all rows.
func TestDamagedSnapshotFallsBackToPrevious(t *testing.T) {
	disk, now := newDisk(), time.Hour
	store, _ := Open(disk, Settings{})
	const rows = 100
	for generation := range 3 {
		for i := range rows {
			store.Put(now, 1, fmt.Sprint("k", i), []byte(fmt.Sprint("v", generation, "-", i)), false)
		}
		now += time.Minute
		if err := store.Commit(now); err != nil {
			t.Fatal(err)
		}
		store.journalBytes += minCompactBytes
		for more := true; more; {
			var err error
			if more, err = store.Compact(now); err != nil {
				t.Fatal(err)
			}
		}
	}
	newest := disk.files[fileName(snapshotPrefix, store.generation)]
	for offset := 100; offset < len(newest.synced); offset += 50 { // leaves hardly any record intact
		newest.synced[offset] ^= 0xff
	}
	reopened, report := Open(disk, Settings{})
	if reopened.Len() != rows || report.DamagedBytes == 0 {
		t.Fatalf("%d of %d rows; report: %v", reopened.Len(), rows, report)
	}
	for i := range rows {
		if value := string(reopened.Get(1, fmt.Sprint("k", i))); value != fmt.Sprint("v2-", i) {
			t.Fatalf("row %d is %q: %v", i, value, report)
		}
	}
}
