package store

import "time"

// Rewrite begins a generation with a journal and a snapshot of everything.
func (s *Store) Rewrite(now time.Duration) error {
	s.closeFiles()
	if err := s.startGeneration(); err != nil {
		return s.recordFailure(now, err)
	}
	if err := s.writeSnapshot(); err != nil {
		return s.recordFailure(now, err)
	}
	s.dirty, s.hasChanges, s.urgent, s.lastCommit, s.durable = s.dirty[:0], false, false, now, s.seq
	for p, x := range s.rows {
		if x.dirty = false; x.deleted {
			delete(s.rows, p)
		}
	}
	return nil
}
