package store

import (
	"bytes"
	"slices"
)

// mirroredCopies is the number of files that the journal of a mirrored store is written to.
const mirroredCopies = 2

// checkMirrors compares the two copies of each journal. A commit is written only once the one before it is synced in
// both copies, so that after a crash one of them may lack the last commit, but no more. A copy that lacks more has lost
// commits that were durable, which is reported. The result is the files without mirrors that do not belong to a journal.
func checkMirrors(files []loadedFile, report *Report) []loadedFile {
	for _, generation := range journalGenerations(files) {
		journal := findFile(files, journalPrefix, generation)
		mirror := findFile(files, mirrorPrefix, generation)
		if journal.copies == 1 { // of a program that writes no mirrors
			files = slices.DeleteFunc(files, func(file loadedFile) bool { return file.name == mirror.name })
			continue
		}
		compareCopies(&journal, &mirror, report)
	}
	return files
}

// compareCopies reports the copy that lacks durable commits, if there is one.
func compareCopies(journal, mirror *loadedFile, report *Report) {
	for _, file := range []*loadedFile{journal, mirror} {
		if file.problem != "" || file.damagedBytes > 0 {
			return // reported already
		}
	}
	shorter, longer := journal, mirror
	if shorter.commits > longer.commits {
		shorter, longer = longer, shorter
	}
	if longer.commits-shorter.commits <= 1 {
		return
	}
	report.LostBytes += longer.committedBytes - shorter.committedBytes
	report.Damage = append(report.Damage, Damage{File: shorter.name, Offset: shorter.firstProblem})
}

// journalGenerations returns the generations of which there is a copy of the journal, in order.
func journalGenerations(files []loadedFile) (generations []uint64) {
	for _, file := range files {
		if file.prefix != snapshotPrefix {
			generations = append(generations, file.generation)
		}
	}
	slices.Sort(generations)
	return slices.Compact(generations)
}

// findFile returns a file of a generation. One that is missing has no commits.
func findFile(files []loadedFile, prefix string, generation uint64) loadedFile {
	for _, file := range files {
		if file.prefix == prefix && file.generation == generation {
			return file
		}
	}
	return loadedFile{name: fileName(prefix, generation), prefix: prefix, generation: generation}
}

// isTornStart reports whether a file has no more than the beginning of the first record of a mirrored journal, as a crash
// may leave it that interrupts the file's creation. What belongs to a program without mirrors does not count: a journal
// that does not reach to the length of the record's value may be of one.
func isTornStart(file *loadedFile, data []byte) bool {
	if file.prefix == snapshotPrefix || file.prefix == journalPrefix && len(data) <= valueLengthOffset {
		return false
	}
	begin := beginJournalRecord(file.generation, mirroredCopies)
	first := begin.append(nil, file.generation)
	return len(data) < len(first) && bytes.HasPrefix(first, data)
}
