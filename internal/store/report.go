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

// Report says what Open found.
type Report struct {
	Generation          uint64
	Rows                int
	DamagedBytes        int      // damaged bytes that were skipped
	TruncatedBytes      int      // bytes of torn writes
	LostBytes           int      // bytes of durable commits that one copy of a journal lacks
	IncompleteSnapshots int      // snapshots without all their rows
	Damage              []Damage // of each file with damaged or lost bytes, and of each incomplete snapshot
	Notes               []string // problems, one line each
	// NoSnapshot: there are files, but no complete snapshot. Rows may be missing, or deleted ones restored.
	NoSnapshot bool
}

// Damage says where a file begins to be damaged, or where an incomplete snapshot ends.
type Damage struct {
	File   string
	Offset int // in bytes
}

// String returns the report on one line.
func (r Report) String() string {
	text := fmt.Sprintf("generation %d, %d rows", r.Generation, r.Rows)
	if r.DamagedBytes > 0 {
		text += fmt.Sprintf(", %d damaged bytes passed over", r.DamagedBytes)
	}
	if r.TruncatedBytes > 0 {
		text += fmt.Sprintf(", %d bytes of unfinished writes", r.TruncatedBytes)
	}
	if r.LostBytes > 0 {
		text += fmt.Sprintf(", %d durable bytes lost", r.LostBytes)
	}
	if r.NoSnapshot {
		text += ", no whole snapshot"
	}
	for _, damage := range r.Damage {
		text += fmt.Sprintf(", %s damaged or cut at byte %d", damage.File, damage.Offset)
	}
	if len(r.Notes) > 0 {
		text += ": " + strings.Join(r.Notes, "; ")
	}
	return text
}
