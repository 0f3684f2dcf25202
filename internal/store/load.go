package store

import (
	"fmt"
	"slices"
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

// loadedFile is a file of the store, and what was read from it.
type loadedFile struct {
	name       string
	prefix     string // journalPrefix, mirrorPrefix or snapshotPrefix
	generation uint64
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
	report.NoSnapshot = !hasSnapshot && slices.ContainsFunc(files, func(file loadedFile) bool { return file.problem == "" })
	files = slices.DeleteFunc(files, func(file loadedFile) bool { return file.generation < snapshotGeneration }) // superseded
	if s.settings.MirrorJournal {
		files = checkMirrors(files, &report)
	}
	for _, file := range files {
		for i := range file.records {
			s.apply(&file.records[i])
		}
	}
	s.countRows()
	s.durable = s.seq
	report.Generation, report.Rows = s.generation, s.liveRows
	return report
}

// parseFileName returns what a file's name says; false: the file is not the store's.
func (s *Store) parseFileName(name string) (file loadedFile, ok bool) {
	prefixes := []string{journalPrefix, snapshotPrefix}
	if s.settings.MirrorJournal {
		prefixes = append(prefixes, mirrorPrefix)
	}
	for _, prefix := range prefixes {
		if generation, ok := parseGeneration(name, prefix); ok {
			return loadedFile{name: name, prefix: prefix, generation: generation}, true
		}
	}
	return file, false
}

// readFile reads a file and adds what is wrong with it to the report. It returns false if the file is not the store's. A
// file that can't be used has a problem and no records.
func (s *Store) readFile(name string, report *Report) (file loadedFile, ok bool) {
	if file, ok = s.parseFileName(name); !ok {
		return file, false
	}
	s.generation = max(s.generation, file.generation)
	data, err := s.fs.Read(name, maxFileBytes)
	if err != nil {
		report.Notes = append(report.Notes, fmt.Sprintf("%s can't be read: %v", name, err))
		file.problem = err.Error()
		return file, true
	}
	isSnapshot := file.prefix == snapshotPrefix
	file.scannedFile = scan(data, file.generation, s.settings.AtomicCommits && !isSnapshot)
	if s.settings.MirrorJournal && isTornStart(&file, data) {
		file.scannedFile = scannedFile{truncatedBytes: len(data), copies: mirroredCopies}
	}
	if file.problem != "" {
		report.Notes = append(report.Notes, fmt.Sprintf("%s is left alone: %s", name, file.problem))
		return file, true
	}
	incompleteSnapshot := isSnapshot && !file.complete
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
		if file.prefix == snapshotPrefix && file.complete {
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
