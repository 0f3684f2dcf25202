package store

import "time"

// Rewrite starts a generation with an empty journal and a snapshot of all rows.
func (s *Store) Rewrite(now time.Duration) error {
	s.closeFiles()
	if err := s.startGeneration(); err != nil {
		return s.recordFailure(now, err)
	}
	if err := s.writeSnapshot(); err != nil {
		return s.recordFailure(now, err)
	}
	s.dirty, s.hasChanges, s.urgent, s.lastCommit, s.durable = s.dirty[:0], false, false, now, s.seq
	for key, entry := range s.rows {
		if entry.dirty = false; entry.deleted {
			delete(s.rows, key)
		}
	}
	return nil
}
