package endpoints

import "time"

// forgottenRemovals describes the removed servers that have no record any more.
type forgottenRemovals struct {
	generation uint64        // highest departureGeneration
	started    time.Duration // latest start time
	heldUntil  time.Duration // end of RollbackDelay from the first of the older lists; 0: the newest list is not older
}

// add extends the description by a server.
func (f *forgottenRemovals) add(r *serverRecord) {
	f.generation, f.started = max(f.generation, r.departureGeneration), max(f.started, r.Started)
}

// recordList notes whether a list is older than the removals. Discovery may have been restored from a backup: if all its
// lists are older, they are believed after rollbackDelay.
func (f *forgottenRemovals) recordList(info *listInfo, rollbackDelay time.Duration) {
	if info.generation >= f.generation {
		f.heldUntil = 0
	} else if f.heldUntil == 0 {
		f.heldUntil = info.receivedAt + rollbackDelay
	}
}

// mayInclude reports whether a server without a record may have been removed after the recorded list.
func (f *forgottenRemovals) mayInclude(info *listInfo, e *Entry) bool {
	return info.receivedAt < f.heldUntil && e.Started <= f.started
}

// listInfo describes the list whose entries are being processed.
type listInfo struct {
	receivedAt   time.Duration
	generation   uint64
	backwards    bool // it is older than the list before it
	aboveHighest bool // its generation is above the highest so far
}

// olderThan reports whether the list is older than a generation.
func (l *listInfo) olderThan(generation uint64) bool { return l.backwards || l.generation < generation }

// KeepDepartures changes the entries of a list from before a partial answer: what the answer reported as draining or
// removed stays so, except for newer processes.
func (v *View) KeepDepartures(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if r := v.records[e.ID]; r != nil && r.Health > e.Health && r.Started >= e.Started {
			e.Health = r.Health
		}
	}
}

// HighestGeneration returns the highest generation of any list or partial answer, including those from before Restore.
func (v *View) HighestGeneration() uint64 { return max(v.highestGeneration, v.departuresUpTo) }

// addTombstone marks a server as removed and forgets the oldest removals beyond the limit.
func (v *View) addTombstone(r *serverRecord) {
	v.tombstones.Add(r.ID)
	for v.tombstones.Len() > v.settings.MaxTombstones {
		oldest, _ := v.tombstones.Oldest()
		v.forgotten.add(v.records[oldest])
		v.tombstones.Delete(oldest)
		delete(v.records, oldest)
	}
}
