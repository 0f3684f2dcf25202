package store

import (
	"fmt"
	"strconv"
	"strings"
)

// parseGeneration returns the generation in a file's name.
func parseGeneration(name, kind string) (uint64, bool) {
	text, ok := strings.CutPrefix(name, kind)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n < maxGeneration && strconv.FormatUint(n, 10) == text
}

// loadedFile is a journal or snapshot, and what was read from it.
type loadedFile struct {
	name       string
	generation uint64
	journal    bool // false: a snapshot
	scannedFile
}

// load reads the files.
func (s *Store) load() (report Report) {
	names, err := s.fs.List()
	if err != nil {
		report.Notes = append(report.Notes, "the folder can't be read: "+err.Error())
		return report
	}
	var files []loadedFile
	for _, name := range names {
		if file, ok := s.readFile(name, &report); ok {
			files = append(files, file)
		}
	}
	snapshotGeneration, hasSnapshot := newestSnapshot(files)
	report.NoSnapshot = !hasSnapshot && len(files) > 0
	for _, file := range files {
		if hasSnapshot && file.generation < snapshotGeneration {
			continue // superseded by the snapshot
		}
		for i := range file.records {
			s.apply(&file.records[i])
		}
	}
	s.countRows()
	s.durable = s.seq
	report.Generation, report.Rows = s.generation, s.liveRows
	return report
}

// readFile reads a file and adds what is wrong with it to the report. It returns false if the file is not the store's,
// or can't be used.
func (s *Store) readFile(name string, report *Report) (file loadedFile, ok bool) {
	file.name = name
	if file.generation, file.journal = parseGeneration(name, journalPrefix); !file.journal {
		if file.generation, ok = parseGeneration(name, snapshotPrefix); !ok {
			return file, false
		}
	}
	s.generation = max(s.generation, file.generation)
	data, err := s.fs.Read(name, maxFileBytes)
	if err != nil {
		report.Notes = append(report.Notes, fmt.Sprintf("%s can't be read: %v", name, err))
		return file, false
	}
	file.scannedFile = scan(data, file.generation, s.settings.AtomicCommits && file.journal)
	if file.problem != "" {
		report.Notes = append(report.Notes, fmt.Sprintf("%s is left alone: %s", name, file.problem))
		return file, false
	}
	incompleteSnapshot := !file.journal && !file.complete
	if incompleteSnapshot {
		report.IncompleteSnapshots++
	}
	report.DamagedBytes += file.damagedBytes
	report.TruncatedBytes += file.truncatedBytes
	if file.damagedBytes > 0 || incompleteSnapshot {
		report.Damage = append(report.Damage, Damage{File: name, Offset: file.firstProblem})
	}
	return file, true
}

// newestSnapshot returns the highest generation that has a complete snapshot; false if none has.
func newestSnapshot(files []loadedFile) (generation uint64, found bool) {
	for _, file := range files {
		if !file.journal && file.complete {
			generation, found = max(generation, file.generation), true
		}
	}
	return generation, found
}

// apply applies a record, unless a later one of the same row has been applied.
func (s *Store) apply(change *record) {
	s.seq = max(s.seq, change.seq)
	key := rowKey{change.table, change.key}
	if entry := s.rows[key]; entry != nil && entry.seq >= change.seq {
		return
	}
	s.rows[key] = &row{value: change.value, seq: change.seq, deleted: change.op == opDelete}
}

// countRows drops deleted rows and counts the others.
func (s *Store) countRows() {
	for key, entry := range s.rows {
		if entry.deleted {
			delete(s.rows, key)
			continue
		}
		s.liveRows++
		s.liveBytes += len(key.key) + len(entry.value)
	}
}
