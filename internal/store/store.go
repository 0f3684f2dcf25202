package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// FS is the folder of a store. Nothing written is safe before File.Sync, and no name
// before SyncDir.
type FS interface {
	List() ([]string, error)
	Read(name string, most int) ([]byte, error)
	Create(name string) (File, error) // empty
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is one that is written from its start to its end.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Settings bound a store.
type Settings struct {
	MaxRows            int           // in all tables; 65,536 if 0
	MaxBytes           int           // of their keys and values; 16 MiB if 0
	SyncInterval       time.Duration // changes that are not urgent are synced so often; 5 s if 0
	UrgentSyncInterval time.Duration // urgent ones at the most so often; 20 ms if 0
	AtomicCommits      bool          // what one Commit writes is read back all of it or none; a store is opened with it always or never
}

const (
	mostFile      = 64 << 20
	compactFrom   = 64 << 10 // bytes of a journal below which there is no snapshot
	compactTimes  = 2        // a journal grows to this many times what is live
	compactRows   = 64       // rows between two looks whether to go on
	firstRetry    = time.Second
	longestRetry  = time.Minute
	snapshotName  = "snapshot-"
	journalName   = "journal-"
	unfinished    = ".new"
	rowOverhead   = headBytes + sumBytes
	maxGeneration = 1 << 62
)

// Error is one that does not change.
type Error string

func (e Error) Error() string { return string(e) }

// ErrFull says that a row does not fit the store's bounds. Nothing has changed.
const ErrFull = Error("store: full")

type place struct {
	table byte
	key   string
}

type row struct {
	value []byte
	seq   uint64
	gone  bool // deleted, and that is still to be written
	dirty bool
}

// Store is a set of tables. Make one with Open.
type Store struct {
	fs  FS
	set Settings

	rows  map[place]*row
	live  int // rows that are there
	bytes int // of them
	dirty []place
	rush  bool // an urgent change waits
	seq   uint64

	generation uint64
	journal    File // nil: nothing can be written for now
	written    int  // bytes of the journal
	since      time.Duration
	changed    bool          // changes wait since that time
	last       time.Duration // commit
	durable    uint64
	retryAt    time.Duration
	retry      time.Duration
	wrong      error
	snapshot   *snapshot
	stats      Stats
}

// snapshot is one that is being written.
type snapshot struct {
	file File
	left []place
	rows int
}

// Open reads what there is. It writes nothing: the first Commit begins a generation
// of its own, so that a restart a second does not make the files grow.
func Open(fs FS, set Settings) (*Store, Report) {
	set.MaxRows, set.MaxBytes = cmp.Or(set.MaxRows, 1<<16), cmp.Or(set.MaxBytes, 16<<20)
	set.SyncInterval, set.UrgentSyncInterval = cmp.Or(set.SyncInterval, 5*time.Second), cmp.Or(set.UrgentSyncInterval, 20*time.Millisecond)
	s := &Store{fs: fs, set: set, rows: map[place]*row{}}
	return s, s.recover()
}

// numbered finds the generation in a file's name.
func numbered(name, kind string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, kind)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < maxGeneration && strconv.FormatUint(n, 10) == text
}

func name(kind string, generation uint64) string { return kind + strconv.FormatUint(generation, 10) }

// recover reads the files.
func (s *Store) recover() (r Report) {
	names, err := s.fs.List()
	if err != nil {
		r.Notes = append(r.Notes, "the folder can't be read: "+err.Error())
		return r
	}
	type found struct {
		generation uint64
		journal    bool
		file
	}
	var files []found
	for _, n := range names {
		generation, journal := numbered(n, journalName)
		snapshot := false
		if !journal {
			if generation, snapshot = numbered(n, snapshotName); !snapshot {
				continue
			}
		}
		s.generation = max(s.generation, generation)
		data, err := s.fs.Read(n, mostFile)
		if err != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("%s can't be read: %v", n, err))
			continue
		}
		f := scan(data, generation, s.set.AtomicCommits && journal)
		if f.wrong != "" {
			r.Notes = append(r.Notes, fmt.Sprintf("%s is left alone: %s", n, f.wrong))
			continue
		}
		r.DamagedBytes, r.TruncatedBytes = r.DamagedBytes+f.skipped, r.TruncatedBytes+f.tail
		files = append(files, found{generation, journal, f})
	}
	from, whole := uint64(0), false
	for _, f := range files {
		if !f.journal && !f.whole {
			r.IncompleteSnapshots++
		}
		if !f.journal && f.whole && (!whole || f.generation > from) {
			from, whole = f.generation, true
		}
	}
	r.NoSnapshot = !whole && len(files) > 0
	for _, f := range files {
		if whole && f.generation < from {
			continue // the snapshot says what became of it
		}
		for i := range f.records {
			s.apply(&f.records[i])
		}
	}
	for p, x := range s.rows {
		if x.gone {
			delete(s.rows, p)
			continue
		}
		s.live++
		s.bytes += len(p.key) + len(x.value)
	}
	s.durable = s.seq
	r.Generation, r.Rows = s.generation, s.live
	return r
}

// apply takes a record in, unless a later one of its row has been there.
func (s *Store) apply(r *record) {
	s.seq = max(s.seq, r.seq)
	p := place{r.table, r.key}
	if x := s.rows[p]; x != nil && x.seq >= r.seq {
		return
	}
	s.rows[p] = &row{value: r.value, seq: r.seq, gone: r.op == opDelete}
}

// Get returns a row's value, which must not be written to, and nil if there is none.
func (s *Store) Get(table byte, key string) []byte {
	if x := s.rows[place{table, key}]; x != nil && !x.gone {
		return x.value
	}
	return nil
}

// Keys are a table's keys in order.
func (s *Store) Keys(table byte) []string {
	var keys []string
	for p, x := range s.rows {
		if p.table == table && !x.gone {
			keys = append(keys, p.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Len is how many rows there are, and Bytes what their keys and values take.
func (s *Store) Len() int   { return s.live }
func (s *Store) Bytes() int { return s.bytes }

// Put sets a row. It returns the change's number: once Durable has reached that, the
// change survives a power cut. An urgent one is due to be written at once.
func (s *Store) Put(now time.Duration, table byte, key string, value []byte, urgent bool) (uint64, error) {
	if len(key) > MaxKeyBytes || len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: a row of %d and %d bytes, at most %d and %d", ErrFull, len(key), len(value), MaxKeyBytes, MaxValueBytes)
	}
	p := place{table, key}
	x := s.rows[p]
	more, rows := len(value), 1
	switch {
	case x == nil || x.gone:
		more += len(key)
	default:
		more, rows = more-len(x.value), 0
	}
	if s.live+rows > s.set.MaxRows || s.bytes+more > s.set.MaxBytes {
		return 0, fmt.Errorf("%w: %d rows of %d bytes, at most %d of %d", ErrFull, s.live, s.bytes, s.set.MaxRows, s.set.MaxBytes)
	}
	s.live, s.bytes = s.live+rows, s.bytes+more
	return s.change(now, p, slices.Clone(value), false, urgent), nil
}

// Delete removes a row, as Put sets it. It returns 0 if there is none.
func (s *Store) Delete(now time.Duration, table byte, key string, urgent bool) uint64 {
	p := place{table, key}
	x := s.rows[p]
	if x == nil || x.gone {
		return 0
	}
	s.live, s.bytes = s.live-1, s.bytes-len(key)-len(x.value)
	return s.change(now, p, nil, true, urgent)
}

func (s *Store) change(now time.Duration, p place, value []byte, gone, urgent bool) uint64 {
	x := s.rows[p]
	if x == nil {
		x = &row{}
		s.rows[p] = x
	}
	s.seq++
	x.value, x.seq, x.gone = value, s.seq, gone
	if !x.dirty { // a row that changes again before it was written is written once
		x.dirty = true
		s.dirty = append(s.dirty, p)
	}
	if !s.changed {
		s.changed, s.since = true, now
	}
	s.rush = s.rush || urgent
	return s.seq
}

// Seq is the last change's number, and Durable the last one's that survives a power cut.
func (s *Store) Seq() uint64     { return s.seq }
func (s *Store) Durable() uint64 { return s.durable }

// Wrong is why nothing can be written for now, and nil if it can.
func (s *Store) WriteError() error { return s.wrong }

// Stats are the counts so far.
func (s *Store) Stats() Stats { return s.stats }

// Due is when Commit has something to do, and false if never.
func (s *Store) Due() (at time.Duration, ok bool) {
	if !s.changed {
		return 0, false
	}
	at = s.since + s.set.SyncInterval
	if s.rush {
		at = s.last + s.set.UrgentSyncInterval
	}
	if s.wrong != nil {
		at = max(at, s.retryAt)
	}
	return at, true
}

// Commit writes and syncs what has changed, if it is due. An error is told once; the
// store goes on in memory, and tries again later.
func (s *Store) Commit(now time.Duration) error {
	if at, ok := s.Due(); !ok || now < at {
		return nil
	}
	if s.journal == nil {
		if err := s.rotate(); err != nil {
			return s.fail(now, err)
		}
		// The generation before may end in a write that nobody knows the end of:
		// everything goes into this one.
		if err := s.everything(); err != nil {
			return s.fail(now, err)
		}
	}
	var out []byte
	for _, p := range s.dirty {
		x := s.rows[p]
		r := record{op: opPut, table: p.table, seq: x.seq, key: p.key, value: x.value}
		if x.gone {
			r.op = opDelete
		}
		out = r.append(out, s.generation)
	}
	if s.set.AtomicCommits {
		r := record{op: opWhole, value: binary.LittleEndian.AppendUint64(nil, uint64(len(s.dirty)))}
		out = r.append(out, s.generation)
	}
	if err := s.write(s.journal, out); err != nil {
		return s.fail(now, err)
	}
	s.written += len(out)
	if err := s.journal.Sync(); err != nil {
		return s.fail(now, err)
	}
	s.stats.Commits++
	s.stats.Syncs++
	s.stats.Rows += len(s.dirty)
	for _, p := range s.dirty {
		if x := s.rows[p]; x.gone {
			delete(s.rows, p)
		} else {
			x.dirty = false
		}
	}
	s.dirty, s.changed, s.rush = s.dirty[:0], false, false
	s.last, s.durable = now, s.seq
	if s.wrong != nil {
		s.wrong, s.retry = nil, 0
	}
	return nil
}

// write is a whole write, or an error.
func (s *Store) write(f File, p []byte) error {
	n, err := f.Write(p)
	s.stats.Bytes += n
	if err == nil && n < len(p) {
		err = errors.New("the write was cut short")
	}
	return err
}

// fail closes what may hold half a write.
func (s *Store) fail(now time.Duration, err error) error {
	s.stats.Failures++
	s.drop()
	s.retry = min(max(2*s.retry, firstRetry), longestRetry)
	s.retryAt = now + s.retry
	first := s.wrong == nil
	s.wrong = fmt.Errorf("store: generation %d: %w", s.generation, err)
	if first {
		return s.wrong
	}
	return nil
}

// drop closes the files.
func (s *Store) drop() {
	if s.journal != nil {
		s.journal.Close()
	}
	if s.snapshot != nil {
		s.snapshot.file.Close()
	}
	s.journal, s.snapshot = nil, nil
}

// rotate begins a generation with an empty journal.
func (s *Store) rotate() error {
	generation := s.generation + 1
	f, err := s.fs.Create(name(journalName, generation))
	if err != nil {
		return err
	}
	s.generation = generation // also if what follows fails: its name is taken
	b := begin(generation)
	out := b.append(nil, generation)
	if err = s.write(f, out); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		s.fs.Remove(name(journalName, generation)) // else each try on a full disk leaves one
		return err
	}
	if s.journal != nil {
		s.journal.Close()
	}
	s.journal, s.written = f, len(out)
	s.stats.Syncs++
	return nil
}

// everything writes a snapshot in one go.
func (s *Store) everything() error {
	if err := s.beginSnapshot(); err != nil {
		return err
	}
	for {
		more, err := s.stepSnapshot()
		if err != nil || !more {
			return err
		}
	}
}

// NeedsCompact tells whether Compact has something to do.
func (s *Store) NeedsCompact() bool {
	return s.journal != nil && (s.snapshot != nil || s.written > max(compactFrom, compactTimes*(s.bytes+s.live*rowOverhead)))
}

// Compact goes on with a snapshot by a bounded number of rows, and begins one if the
// journal has grown too long. It tells whether there is more.
func (s *Store) Compact(now time.Duration) (more bool, _ error) {
	if !s.NeedsCompact() {
		return false, nil
	}
	if s.snapshot == nil {
		// What changes from now on goes to the new journal, and so does what Commit has
		// yet to write: a row's latest number decides when both are read.
		err := s.rotate()
		if err == nil {
			err = s.beginSnapshot()
		}
		if err != nil {
			return false, s.fail(now, err)
		}
		return true, nil
	}
	more, err := s.stepSnapshot()
	if err != nil {
		return false, s.fail(now, err)
	}
	return more, nil
}

func (s *Store) beginSnapshot() error {
	f, err := s.fs.Create(name(snapshotName, s.generation) + unfinished)
	if err != nil {
		return err
	}
	b := begin(s.generation)
	if err := s.write(f, b.append(nil, s.generation)); err != nil {
		f.Close()
		return err
	}
	left := make([]place, 0, len(s.rows))
	for p := range s.rows {
		left = append(left, p)
	}
	slices.SortFunc(left, func(x, y place) int {
		return cmp.Or(cmp.Compare(x.table, y.table), cmp.Compare(x.key, y.key))
	})
	s.snapshot = &snapshot{file: f, left: left}
	return nil
}

// stepSnapshot writes some rows, and at the end puts the snapshot in its place.
func (s *Store) stepSnapshot() (more bool, err error) {
	n := s.snapshot
	var out []byte
	for range min(compactRows, len(n.left)) {
		p := n.left[0]
		n.left = n.left[1:]
		// A row that is deleted meanwhile is in the journal of this generation; one that
		// was not yet written when this began stands there too.
		if x := s.rows[p]; x != nil && !x.gone {
			r := record{op: opPut, table: p.table, seq: x.seq, key: p.key, value: x.value}
			out = r.append(out, s.generation)
			n.rows++
		}
	}
	if len(n.left) == 0 {
		end := record{op: opEnd, value: binary.LittleEndian.AppendUint64(nil, uint64(n.rows))}
		out = end.append(out, s.generation)
	}
	if err := s.write(n.file, out); err != nil {
		return false, err
	}
	if len(n.left) > 0 {
		return true, nil
	}
	err = n.file.Sync()
	if err2 := n.file.Close(); err == nil {
		err = err2
	}
	s.snapshot = nil
	to := name(snapshotName, s.generation)
	if err == nil {
		err = s.fs.Rename(to+unfinished, to)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		return false, err
	}
	s.stats.Syncs++
	s.stats.Snapshots++
	return false, s.tidy()
}

// tidy removes all but this generation and the one before.
func (s *Store) tidy() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	var older []uint64 // whole snapshots before this one
	for _, n := range names {
		if g, ok := numbered(n, snapshotName); ok && g < s.generation {
			older = append(older, g)
		}
	}
	keep := s.generation
	if len(older) > 0 {
		keep = slices.Max(older)
	}
	for _, n := range names {
		g, ok := numbered(strings.TrimSuffix(n, unfinished), snapshotName)
		if !ok {
			g, ok = numbered(n, journalName)
		}
		if ok && (g < keep || strings.HasSuffix(n, unfinished) && g < s.generation) {
			if err := s.fs.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close writes what has changed, whatever is due, and ends the store.
func (s *Store) Close(now time.Duration) error {
	var err error
	if s.changed {
		s.rush, s.last, s.retryAt = true, now-s.set.UrgentSyncInterval, now
		err = s.Commit(now)
	}
	s.drop()
	return err
}
