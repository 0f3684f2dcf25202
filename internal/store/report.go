package store

import (
	"fmt"
	"strings"
)

// Stats counts what a store has written.
type Stats struct {
	Commits, Syncs, Snapshots, Failures int
	Bytes                               int // to journals and snapshots
	Rows                                int // written to journals
}

// Report is what Open has found.
type Report struct {
	Generation          uint64
	Rows                int
	DamagedBytes        int      // damaged bytes that were passed over
	TruncatedBytes      int      // bytes of writes that were cut
	IncompleteSnapshots int      // snapshots that are not whole
	Notes               []string // what was wrong, a line each
	NoSnapshot          bool     // no whole snapshot was there though there were files: rows may be missing, or deleted ones back
}

// String is the report on one line.
func (r Report) String() string {
	text := fmt.Sprintf("generation %d, %d rows", r.Generation, r.Rows)
	if r.DamagedBytes > 0 {
		text += fmt.Sprintf(", %d damaged bytes passed over", r.DamagedBytes)
	}
	if r.TruncatedBytes > 0 {
		text += fmt.Sprintf(", %d bytes of unfinished writes", r.TruncatedBytes)
	}
	if r.NoSnapshot {
		text += ", no whole snapshot"
	}
	if len(r.Notes) > 0 {
		text += ": " + strings.Join(r.Notes, "; ")
	}
	return text
}
