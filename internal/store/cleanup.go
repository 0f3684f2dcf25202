package store

import (
	"slices"
	"strings"
)

// removeOldFiles removes the files of all generations before the previous snapshot's.
func (s *Store) removeOldFiles() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	older := slices.DeleteFunc(snapshotGenerations(names), func(generation uint64) bool { return generation >= s.generation })
	if len(older) == 0 {
		return s.removeBefore(s.generation, names)
	}
	return s.removeBefore(slices.Max(older), names)
}

// RemoveSuperseded removes the files of all generations before the newest snapshot's, which are not needed any more. What
// is damaged in them is not reported again.
func (s *Store) RemoveSuperseded() error {
	names, err := s.fs.List()
	if err != nil {
		return err
	}
	generations := snapshotGenerations(names)
	if len(generations) == 0 {
		return nil
	}
	return s.removeBefore(slices.Max(generations), names)
}

// snapshotGenerations returns the generations that have a snapshot, of which only complete ones have their final name.
func snapshotGenerations(names []string) (generations []uint64) {
	for _, name := range names {
		if generation, ok := parseGeneration(name, snapshotPrefix); ok {
			generations = append(generations, generation)
		}
	}
	return generations
}

// removeBefore removes the files of generations before the given one, and unfinished snapshots of earlier ones than
// the current.
func (s *Store) removeBefore(keep uint64, names []string) error {
	for _, name := range names {
		generation, ok := generationOf(name)
		unfinished := strings.HasSuffix(name, tempSuffix)
		if !ok || generation >= keep && !(unfinished && generation < s.generation) {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// generationOf returns the generation of a file with any of the store's names, also of an unfinished snapshot.
func generationOf(name string) (generation uint64, ok bool) {
	if generation, ok = parseGeneration(strings.TrimSuffix(name, tempSuffix), snapshotPrefix); ok {
		return generation, true
	}
	for _, prefix := range []string{journalPrefix, mirrorPrefix} {
		if generation, ok = parseGeneration(name, prefix); ok {
			return generation, true
		}
	}
	return 0, false
}
