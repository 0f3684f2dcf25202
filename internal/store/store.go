package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// FS is the folder of a store. Data is durable only after File.Sync, and names only after SyncDir.
type FS interface {
	List() ([]string, error)
	Read(name string, maxBytes int) ([]byte, error)
	Create(name string) (File, error) // the file is empty
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
}

// File is written sequentially, from start to end.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Settings configure a store.
type Settings struct {
	MaxRows            int           // in all tables; 65,536 if 0
	MaxBytes           int           // of keys and values; 16 MiB if 0
	SyncInterval       time.Duration // interval between commits of changes that are not urgent; 5 s if 0
	UrgentSyncInterval time.Duration // minimum interval between commits of urgent changes; 20 ms if 0
	// AtomicCommits: each Commit is recovered whole or not at all. A store is always opened with the same value.
	AtomicCommits bool
	// MirrorJournal: each Commit is written to two files, so that one that is cut at its end is told from a write that a
	// crash interrupted, and is read from the other file or reported. It needs AtomicCommits.
	MirrorJournal bool
}

const (
	maxFileBytes      = 64 << 20
	minCompactBytes   = 64 << 10 // a smaller journal is not compacted
	compactGrowth     = 2        // a journal is compacted once it exceeds this multiple of the live data
	snapshotBatchRows = 64       // rows written per call of Compact
	minRetryDelay     = time.Second
	maxRetryDelay     = time.Minute
	snapshotPrefix    = "snapshot-"
	journalPrefix     = "journal-"
	mirrorPrefix      = "mirror-" // of the second copies of journals
	tempSuffix        = ".new"
	rowOverhead       = headerBytes + checksumBytes
	maxGeneration     = 1 << 62
)

// Error is a constant error.
type Error string

func (e Error) Error() string { return string(e) }

// ErrFull means that a row would exceed the store's limits. Nothing has changed.
const ErrFull = Error("store: full")

// rowKey identifies a row.
type rowKey struct {
	table byte
	key   string
}

// row is the state of a row, or of its deletion until that is written.
type row struct {
	value   []byte
	seq     uint64
	deleted bool // the deletion is not written yet
	dirty   bool
}

// Store is a set of tables. Create one with Open.
type Store struct {
	fs       FS
	settings Settings

	rows      map[rowKey]*row
	liveRows  int // rows that are not deleted
	liveBytes int // of their keys and values
	dirty     []rowKey
	urgent    bool // an urgent change is waiting
	seq       uint64

	generation   uint64
	journal      []File // its copies; nil: no generation is open for writing
	journalBytes int    // size of each copy
	changedSince time.Duration
	hasChanges   bool          // changes have been waiting since changedSince
	lastCommit   time.Duration // time of the last commit
	durable      uint64
	retryAt      time.Duration
	retryDelay   time.Duration
	writeErr     error
	snapshot     *snapshotWriter
	stats        Stats
}

// snapshotWriter is a snapshot being written.
type snapshotWriter struct {
	file      File
	remaining []rowKey
	rows      int
}

// Open loads the existing files. It writes nothing: the first Commit starts a new generation, so
// that a process that restarts every second does not make the files grow.
func Open(fs FS, settings Settings) (*Store, Report) {
	settings.MaxRows, settings.MaxBytes = cmp.Or(settings.MaxRows, 1<<16), cmp.Or(settings.MaxBytes, 16<<20)
	settings.SyncInterval, settings.UrgentSyncInterval = cmp.Or(settings.SyncInterval, 5*time.Second), cmp.Or(settings.UrgentSyncInterval, 20*time.Millisecond)
	store := &Store{fs: fs, settings: settings, rows: map[rowKey]*row{}}
	return store, store.load()
}

// fileName returns the name of a journal or snapshot of a generation.
func fileName(kind string, generation uint64) string {
	return kind + strconv.FormatUint(generation, 10)
}

// Get returns a row's value, or nil if there is none. The value must not be modified.
func (s *Store) Get(table byte, key string) []byte {
	if entry := s.rows[rowKey{table, key}]; entry != nil && !entry.deleted {
		return entry.value
	}
	return nil
}

// Keys returns a table's keys in order.
func (s *Store) Keys(table byte) []string {
	var keys []string
	for entryKey, entry := range s.rows {
		if entryKey.table == table && !entry.deleted {
			keys = append(keys, entryKey.key)
		}
	}
	slices.Sort(keys)
	return keys
}

// Len returns the number of rows, and Bytes the size of their keys and values.
func (s *Store) Len() int   { return s.liveRows }
func (s *Store) Bytes() int { return s.liveBytes }

// Put sets a row and returns the change's sequence number: the change survives a power failure once
// Durable has reached that number. An urgent change is due to be written as soon as
// UrgentSyncInterval allows.
func (s *Store) Put(now time.Duration, table byte, key string, value []byte, urgent bool) (uint64, error) {
	if len(key) > MaxKeyBytes || len(value) > MaxValueBytes {
		return 0, fmt.Errorf("%w: a row with a key of %d and a value of %d bytes, at most %d and %d", ErrFull, len(key), len(value), MaxKeyBytes, MaxValueBytes)
	}
	entryKey := rowKey{table, key}
	entry := s.rows[entryKey]
	addedBytes, addedRows := len(value), 1
	switch {
	case entry == nil || entry.deleted:
		addedBytes += len(key)
	default:
		addedBytes, addedRows = addedBytes-len(entry.value), 0
	}
	if s.liveRows+addedRows > s.settings.MaxRows || s.liveBytes+addedBytes > s.settings.MaxBytes {
		return 0, fmt.Errorf("%w: %d rows with %d bytes, at most %d with %d", ErrFull, s.liveRows, s.liveBytes, s.settings.MaxRows, s.settings.MaxBytes)
	}
	s.liveRows, s.liveBytes = s.liveRows+addedRows, s.liveBytes+addedBytes
	return s.setRow(now, entryKey, slices.Clone(value), false, urgent), nil
}

// Delete removes a row and returns the change's sequence number, like Put. It returns 0 if there is
// no such row.
func (s *Store) Delete(now time.Duration, table byte, key string, urgent bool) uint64 {
	entryKey := rowKey{table, key}
	entry := s.rows[entryKey]
	if entry == nil || entry.deleted {
		return 0
	}
	s.liveRows, s.liveBytes = s.liveRows-1, s.liveBytes-len(key)-len(entry.value)
	return s.setRow(now, entryKey, nil, true, urgent)
}

// setRow changes a row in memory and marks it to be written.
func (s *Store) setRow(now time.Duration, key rowKey, value []byte, deleted, urgent bool) uint64 {
	entry := s.rows[key]
	if entry == nil {
		entry = &row{}
		s.rows[key] = entry
	}
	s.seq++
	entry.value, entry.seq, entry.deleted = value, s.seq, deleted
	if !entry.dirty { // a row that changes again before it is written is written once
		entry.dirty = true
		s.dirty = append(s.dirty, key)
	}
	if !s.hasChanges {
		s.hasChanges, s.changedSince = true, now
	}
	s.urgent = s.urgent || urgent
	return s.seq
}

// Seq returns the sequence number of the last change, and Durable that of the last change that
// survives a power failure.
func (s *Store) Seq() uint64     { return s.seq }
func (s *Store) Durable() uint64 { return s.durable }

// WriteError returns why nothing can be written at present, or nil.
func (s *Store) WriteError() error { return s.writeErr }

// Stats returns the counts so far.
func (s *Store) Stats() Stats { return s.stats }

// Due returns when Commit next has something to do, and false if there is nothing to write.
func (s *Store) Due() (due time.Duration, ok bool) {
	if !s.hasChanges {
		return 0, false
	}
	due = s.changedSince + s.settings.SyncInterval
	if s.urgent {
		due = s.lastCommit + s.settings.UrgentSyncInterval
	}
	if s.writeErr != nil {
		due = max(due, s.retryAt)
	}
	return due, true
}

// Commit writes and syncs what has changed, if it is due. Of consecutive failures only the first is
// returned; the store goes on in memory and retries later.
func (s *Store) Commit(now time.Duration) error {
	if due, ok := s.Due(); !ok || now < due {
		return nil
	}
	if s.journal == nil {
		if err := s.startGeneration(); err != nil {
			return s.recordFailure(now, err)
		}
		// The previous generation may end in a write of unknown outcome, so all rows are written to
		// this one.
		if err := s.writeSnapshot(); err != nil {
			return s.recordFailure(now, err)
		}
	}
	var data []byte
	for _, key := range s.dirty {
		entry := s.rows[key]
		change := record{op: opPut, table: key.table, seq: entry.seq, key: key.key, value: entry.value}
		if entry.deleted {
			change.op = opDelete
		}
		data = change.append(data, s.generation)
	}
	if s.settings.AtomicCommits {
		commit := record{op: opCommit, value: binary.LittleEndian.AppendUint64(nil, uint64(len(s.dirty)))}
		data = commit.append(data, s.generation)
	}
	if err := s.appendToJournal(data); err != nil {
		return s.recordFailure(now, err)
	}
	s.stats.Commits++
	s.stats.Rows += len(s.dirty)
	for _, key := range s.dirty {
		if entry := s.rows[key]; entry.deleted {
			delete(s.rows, key)
		} else {
			entry.dirty = false
		}
	}
	s.dirty, s.hasChanges, s.urgent = s.dirty[:0], false, false
	s.lastCommit, s.durable = now, s.seq
	if s.writeErr != nil {
		s.writeErr, s.retryDelay = nil, 0
	}
	return nil
}

// writeAll writes all of the data or returns an error.
func (s *Store) writeAll(file File, data []byte) error {
	written, err := file.Write(data)
	s.stats.Bytes += written
	if err == nil && written < len(data) {
		err = errors.New("the write was cut short")
	}
	return err
}

// recordFailure closes the files, which may end in a partial write, and schedules a retry. It
// returns the error if it is the first of a series.
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

// closeFiles closes the open files.
func (s *Store) closeFiles() {
	s.closeJournal()
	if s.snapshot != nil {
		s.snapshot.file.Close()
	}
	s.snapshot = nil
}

// writeSnapshot writes a complete snapshot at once.
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

// NeedsCompact reports whether Compact has something to do.
func (s *Store) NeedsCompact() bool {
	return s.journal != nil && (s.snapshot != nil || s.journalBytes > max(minCompactBytes, compactGrowth*(s.liveBytes+s.liveRows*rowOverhead)))
}

// Compact continues a snapshot by a bounded number of rows, or starts one if the journal has grown
// too long. It reports whether there is more to do.
func (s *Store) Compact(now time.Duration) (more bool, _ error) {
	if !s.NeedsCompact() {
		return false, nil
	}
	if s.snapshot == nil {
		// Later changes, and those that Commit has yet to write, go to the new journal. When both
		// are read, a row's highest sequence number decides.
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

// beginSnapshot creates the temporary file of this generation's snapshot, and lists the rows to write.
func (s *Store) beginSnapshot() error {
	file, err := s.fs.Create(fileName(snapshotPrefix, s.generation) + tempSuffix)
	if err != nil {
		return err
	}
	first := beginRecord(s.generation)
	if err := s.writeAll(file, first.append(nil, s.generation)); err != nil {
		file.Close()
		return err
	}
	keys := make([]rowKey, 0, len(s.rows))
	for key := range s.rows {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		return cmp.Or(cmp.Compare(a.table, b.table), cmp.Compare(a.key, b.key))
	})
	s.snapshot = &snapshotWriter{file: file, remaining: keys}
	return nil
}

// continueSnapshot writes some rows, and renames the snapshot to its final name when it is
// complete.
func (s *Store) continueSnapshot() (more bool, err error) {
	writer := s.snapshot
	var data []byte
	for range min(snapshotBatchRows, len(writer.remaining)) {
		key := writer.remaining[0]
		writer.remaining = writer.remaining[1:]
		// A row that has been deleted since the snapshot was started is in this generation's
		// journal, and so is one that was not committed at that time.
		if entry := s.rows[key]; entry != nil && !entry.deleted {
			put := record{op: opPut, table: key.table, seq: entry.seq, key: key.key, value: entry.value}
			data = put.append(data, s.generation)
			writer.rows++
		}
	}
	if len(writer.remaining) == 0 {
		end := record{op: opEnd, value: binary.LittleEndian.AppendUint64(nil, uint64(writer.rows))}
		data = end.append(data, s.generation)
	}
	if err := s.writeAll(writer.file, data); err != nil {
		return false, err
	}
	if len(writer.remaining) > 0 {
		return true, nil
	}
	err = writer.file.Sync()
	if closeErr := writer.file.Close(); err == nil {
		err = closeErr
	}
	s.snapshot = nil
	path := fileName(snapshotPrefix, s.generation)
	if err == nil {
		err = s.fs.Rename(path+tempSuffix, path)
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

// Close writes pending changes, even if they are not due yet, and closes the files.
func (s *Store) Close(now time.Duration) error {
	var err error
	if s.hasChanges {
		s.urgent, s.lastCommit, s.retryAt = true, now-s.settings.UrgentSyncInterval, now
		err = s.Commit(now)
	}
	s.closeFiles()
	return err
}
