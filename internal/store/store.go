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
	maxFileBytes      = 64 << 20
	minCompactBytes   = 64 << 10 // bytes of a journal below which there is no snapshot
	compactGrowth     = 2        // a journal grows to this many times what is live
	snapshotBatchRows = 64       // rows between two looks whether to go on
	minRetryDelay     = time.Second
	maxRetryDelay     = time.Minute
	snapshotPrefix    = "snapshot-"
	journalPrefix     = "journal-"
	tempSuffix        = ".new"
	rowOverhead       = headerBytes + checksumBytes
	maxGeneration     = 1 << 62
)

// Error is one that does not change.
type Error string

func (e Error) Error() string { return string(e) }

// ErrFull says that a row does not fit the store's bounds. Nothing has changed.
const ErrFull = Error("store: full")

type rowKey struct {
	table byte
	key   string
}

type row struct {
	value   []byte
	seq     uint64
	deleted bool // deleted, and that is still to be written
	dirty   bool
}

// Store is a set of tables. Make one with Open.
type Store struct {
	fs       FS
	settings Settings

	rows      map[rowKey]*row
	liveRows  int // rows that are there
	liveBytes int // of them
	dirty     []rowKey
	urgent    bool // an urgent change waits
	seq       uint64

	generation   uint64
	journal      File // nil: nothing can be written for now
	journalBytes int  // bytes of the journal
	changedSince time.Duration
	hasChanges   bool          // changes wait since that time
	lastCommit   time.Duration // commit
	durable      uint64
	retryAt      time.Duration
	retryDelay   time.Duration
	writeErr     error
	snapshot     *snapshotWriter
	stats        Stats
}

// snapshot is one that is being written.
type snapshotWriter struct {
	file      File
	remaining []rowKey
	rows      int
}

// Open reads what there is. It writes nothing: the first Commit begins a generation
// of its own, so that a restart a second does not make the files grow.
func Open(fs FS, set Settings) (*Store, Report) {
	set.MaxRows, set.MaxBytes = cmp.Or(set.MaxRows, 1<<16), cmp.Or(set.MaxBytes, 16<<20)
	set.SyncInterval, set.UrgentSyncInterval = cmp.Or(set.SyncInterval, 5*time.Second), cmp.Or(set.UrgentSyncInterval, 20*time.Millisecond)
	s := &Store{fs: fs, settings: set, rows: map[rowKey]*row{}}
	return s, s.load()
}

// numbered finds the generation in a file's name.
func parseGeneration(name, kind string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, kind)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < maxGeneration && strconv.FormatUint(n, 10) == text
}

func fileName(kind string, generation uint64) string {
	return kind + strconv.FormatUint(generation, 10)
}

// recover reads the files.
func (s *Store) load() (r Report) {
	names, err := s.fs.List()
	if err != nil {
		r.Notes = append(r.Notes, "the folder can't be read: "+err.Error())
		return r
	}
	type found struct {
		generation uint64
		journal    bool
		scannedFile
	}
	var files []found
	for _, n := range names {
		generation, journal := parseGeneration(n, journalPrefix)
		snapshot := false
		if !journal {
			if generation, snapshot = parseGeneration(n, snapshotPrefix); !snapshot {
				continue
			}
		}
		s.generation = max(s.generation, generation)
		data, err := s.fs.Read(n, maxFileBytes)
		if err != nil {
			r.Notes = append(r.Notes, fmt.Sprintf("%s can't be read: %v", n, err))
			continue
		}
		f := scan(data, generation, s.settings.AtomicCommits && journal)
		if f.problem != "" {
			r.Notes = append(r.Notes, fmt.Sprintf("%s is left alone: %s", n, f.problem))
			continue
		}
		r.DamagedBytes, r.TruncatedBytes = r.DamagedBytes+f.damagedBytes, r.TruncatedBytes+f.truncatedBytes
		files = append(files, found{generation, journal, f})
	}
	from, whole := uint64(0), false
	for _, f := range files {
		if !f.journal && !f.complete {
			r.IncompleteSnapshots++
		}
		if !f.journal && f.complete && (!whole || f.generation > from) {
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
		if x.deleted {
			delete(s.rows, p)
			continue
		}
		s.liveRows++
		s.liveBytes += len(p.key) + len(x.value)
	}
	s.durable = s.seq
	r.Generation, r.Rows = s.generation, s.liveRows
	return r
}

// apply takes a record in, unless a later one of its row has been there.
func (s *Store) apply(r *record) {
	s.seq = max(s.seq, r.seq)
	p := rowKey{r.table, r.key}
	if x := s.rows[p]; x != nil && x.seq >= r.seq {
		return
	}
	s.rows[p] = &row{value: r.value, seq: r.seq, deleted: r.op == opDelete}
}

// Get returns a row's value, which must not be written to, and nil if there is none.
func (s *Store) Get(table byte, key string) []byte {
	if x := s.rows[rowKey{table, key}]; x != nil && !x.deleted {
		return x.value
	}
	return nil
}

// Keys are a table's keys in order.
func (s *Store) Keys(table byte) []string {
	var keys []string
	for p, x := range s.rows {
		if p.table == table && !x.deleted {
			keys = append(keys, p.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Len is how many rows there are, and Bytes what their keys and values take.
func (s *Store) Len() int   { return s.liveRows }
func (s *Store) Bytes() int { return s.liveBytes }

// Put sets a row. It returns the change's number: once Durable has reached that, the
// change survives a power cut. An urgent one is due to be written at once.
func (s *Store) Put(now time.Duration, table byte, key string, value []byte, urgent bool) (uint64, error) {
	if len(key) > MaxKeyBytes || len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: a row of %d and %d bytes, at most %d and %d", ErrFull, len(key), len(value), MaxKeyBytes, MaxValueBytes)
	}
	p := rowKey{table, key}
	x := s.rows[p]
	more, rows := len(value), 1
	switch {
	case x == nil || x.deleted:
		more += len(key)
	default:
		more, rows = more-len(x.value), 0
	}
	if s.liveRows+rows > s.settings.MaxRows || s.liveBytes+more > s.settings.MaxBytes {
		return 0, fmt.Errorf("%w: %d rows of %d bytes, at most %d of %d", ErrFull, s.liveRows, s.liveBytes, s.settings.MaxRows, s.settings.MaxBytes)
	}
	s.liveRows, s.liveBytes = s.liveRows+rows, s.liveBytes+more
	return s.setRow(now, p, slices.Clone(value), false, urgent), nil
}

// Delete removes a row, as Put sets it. It returns 0 if there is none.
func (s *Store) Delete(now time.Duration, table byte, key string, urgent bool) uint64 {
	p := rowKey{table, key}
	x := s.rows[p]
	if x == nil || x.deleted {
		return 0
	}
	s.liveRows, s.liveBytes = s.liveRows-1, s.liveBytes-len(key)-len(x.value)
	return s.setRow(now, p, nil, true, urgent)
}

func (s *Store) setRow(now time.Duration, p rowKey, value []byte, gone, urgent bool) uint64 {
	x := s.rows[p]
	if x == nil {
		x = &row{}
		s.rows[p] = x
	}
	s.seq++
	x.value, x.seq, x.deleted = value, s.seq, gone
	if !x.dirty { // a row that changes again before it was written is written once
		x.dirty = true
		s.dirty = append(s.dirty, p)
	}
	if !s.hasChanges {
		s.hasChanges, s.changedSince = true, now
	}
	s.urgent = s.urgent || urgent
	return s.seq
}

// Seq is the last change's number, and Durable the last one's that survives a power cut.
func (s *Store) Seq() uint64     { return s.seq }
func (s *Store) Durable() uint64 { return s.durable }

// Wrong is why nothing can be written for now, and nil if it can.
func (s *Store) WriteError() error { return s.writeErr }

// Stats are the counts so far.
func (s *Store) Stats() Stats { return s.stats }

// Due is when Commit has something to do, and false if never.
func (s *Store) Due() (at time.Duration, ok bool) {
	if !s.hasChanges {
		return 0, false
	}
	at = s.changedSince + s.settings.SyncInterval
	if s.urgent {
		at = s.lastCommit + s.settings.UrgentSyncInterval
	}
	if s.writeErr != nil {
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
		if err := s.startGeneration(); err != nil {
			return s.recordFailure(now, err)
		}
		// The generation before may end in a write that nobody knows the end of:
		// everything goes into this one.
		if err := s.writeSnapshot(); err != nil {
			return s.recordFailure(now, err)
		}
	}
	var out []byte
	for _, p := range s.dirty {
		x := s.rows[p]
		r := record{op: opPut, table: p.table, seq: x.seq, key: p.key, value: x.value}
		if x.deleted {
			r.op = opDelete
		}
		out = r.append(out, s.generation)
	}
	if s.settings.AtomicCommits {
		r := record{op: opCommit, value: binary.LittleEndian.AppendUint64(nil, uint64(len(s.dirty)))}
		out = r.append(out, s.generation)
	}
	if err := s.writeAll(s.journal, out); err != nil {
		return s.recordFailure(now, err)
	}
	s.journalBytes += len(out)
	if err := s.journal.Sync(); err != nil {
		return s.recordFailure(now, err)
	}
	s.stats.Commits++
	s.stats.Syncs++
	s.stats.Rows += len(s.dirty)
	for _, p := range s.dirty {
		if x := s.rows[p]; x.deleted {
			delete(s.rows, p)
		} else {
			x.dirty = false
		}
	}
	s.dirty, s.hasChanges, s.urgent = s.dirty[:0], false, false
	s.lastCommit, s.durable = now, s.seq
	if s.writeErr != nil {
		s.writeErr, s.retryDelay = nil, 0
	}
	return nil
}

// write is a whole write, or an error.
func (s *Store) writeAll(f File, p []byte) error {
	n, err := f.Write(p)
	s.stats.Bytes += n
	if err == nil && n < len(p) {
		err = errors.New("the write was cut short")
	}
	return err
}

// fail closes what may hold half a write.
func (s *Store) recordFailure(now time.Duration, err error) error {
	s.stats.Failures++
	s.closeFiles()
	s.retryDelay = min(max(2*s.retryDelay, minRetryDelay), maxRetryDelay)
	s.retryAt = now + s.retryDelay
	first := s.writeErr == nil
	s.writeErr = fmt.Errorf("store: generation %d: %w", s.generation, err)
	if first {
		return s.writeErr
	}
	return nil
}

// drop closes the files.
func (s *Store) closeFiles() {
	if s.journal != nil {
		s.journal.Close()
	}
	if s.snapshot != nil {
		s.snapshot.file.Close()
	}
	s.journal, s.snapshot = nil, nil
}

// rotate begins a generation with an empty journal.
func (s *Store) startGeneration() error {
	generation := s.generation + 1
	f, err := s.fs.Create(fileName(journalPrefix, generation))
	if err != nil {
		return err
	}
	s.generation = generation // also if what follows fails: its name is taken
	b := beginRecord(generation)
	out := b.append(nil, generation)
	if err = s.writeAll(f, out); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		f.Close()
		s.fs.Remove(fileName(journalPrefix, generation)) // else each try on a full disk leaves one
		return err
	}
	if s.journal != nil {
		s.journal.Close()
	}
	s.journal, s.journalBytes = f, len(out)
	s.stats.Syncs++
	return nil
}

// everything writes a snapshot in one go.
func (s *Store) writeSnapshot() error {
	if err := s.beginSnapshot(); err != nil {
		return err
	}
	for {
		more, err := s.continueSnapshot()
		if err != nil || !more {
			return err
		}
	}
}

// NeedsCompact tells whether Compact has something to do.
func (s *Store) NeedsCompact() bool {
	return s.journal != nil && (s.snapshot != nil || s.journalBytes > max(minCompactBytes, compactGrowth*(s.liveBytes+s.liveRows*rowOverhead)))
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
		err := s.startGeneration()
		if err == nil {
			err = s.beginSnapshot()
		}
		if err != nil {
			return false, s.recordFailure(now, err)
		}
		return true, nil
	}
	more, err := s.continueSnapshot()
	if err != nil {
		return false, s.recordFailure(now, err)
	}
	return more, nil
}

func (s *Store) beginSnapshot() error {
	f, err := s.fs.Create(fileName(snapshotPrefix, s.generation) + tempSuffix)
	if err != nil {
		return err
	}
	b := beginRecord(s.generation)
	if err := s.writeAll(f, b.append(nil, s.generation)); err != nil {
		f.Close()
		return err
	}
	left := make([]rowKey, 0, len(s.rows))
	for p := range s.rows {
		left = append(left, p)
	}
	slices.SortFunc(left, func(x, y rowKey) int {
		return cmp.Or(cmp.Compare(x.table, y.table), cmp.Compare(x.key, y.key))
	})
	s.snapshot = &snapshotWriter{file: f, remaining: left}
	return nil
}

// stepSnapshot writes some rows, and at the end puts the snapshot in its place.
func (s *Store) continueSnapshot() (more bool, err error) {
	n := s.snapshot
	var out []byte
	for range min(snapshotBatchRows, len(n.remaining)) {
		p := n.remaining[0]
		n.remaining = n.remaining[1:]
		// A row that is deleted meanwhile is in the journal of this generation; one that
		// was not yet written when this began stands there too.
		if x := s.rows[p]; x != nil && !x.deleted {
			r := record{op: opPut, table: p.table, seq: x.seq, key: p.key, value: x.value}
			out = r.append(out, s.generation)
			n.rows++
		}
	}
	if len(n.remaining) == 0 {
		end := record{op: opEnd, value: binary.LittleEndian.AppendUint64(nil, uint64(n.rows))}
		out = end.append(out, s.generation)
	}
	if err := s.writeAll(n.file, out); err != nil {
		return false, err
	}
	if len(n.remaining) > 0 {
		return true, nil
	}
	err = n.file.Sync()
	if err2 := n.file.Close(); err == nil {
		err = err2
	}
	s.snapshot = nil
	to := fileName(snapshotPrefix, s.generation)
	if err == nil {
		err = s.fs.Rename(to+tempSuffix, to)
	}
	if err == nil {
		err = s.fs.SyncDir()
	}
	if err != nil {
		return false, err
	}
	s.stats.Syncs++
	s.stats.Snapshots++
	return false, s.removeOldFiles()
}

// tidy removes all but this generation and the one before.
func (s *Store) removeOldFiles() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	var older []uint64 // whole snapshots before this one
	for _, n := range names {
		if g, ok := parseGeneration(n, snapshotPrefix); ok && g < s.generation {
			older = append(older, g)
		}
	}
	keep := s.generation
	if len(older) > 0 {
		keep = slices.Max(older)
	}
	for _, n := range names {
		g, ok := parseGeneration(strings.TrimSuffix(n, tempSuffix), snapshotPrefix)
		if !ok {
			g, ok = parseGeneration(n, journalPrefix)
		}
		if ok && (g < keep || strings.HasSuffix(n, tempSuffix) && g < s.generation) {
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
	if s.hasChanges {
		s.urgent, s.lastCommit, s.retryAt = true, now-s.settings.UrgentSyncInterval, now
		err = s.Commit(now)
	}
	s.closeFiles()
	return err
}
