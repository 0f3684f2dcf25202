// Package requestids keeps which request IDs are in use, and which ones belong to requests that may have run and must
// not run again. It does no I/O and reads no clock.
package requestids

import (
	"hash/maphash"
	"time"
)

// Status says whether an ID may be used for a new request.
type Status int

// Statuses of an ID.
const (
	Free   Status = iota // it is reserved for the new request now
	InUse                // another request has it that is open, or whose attempts are
	HasRun               // an earlier request had it that may have run
)

// Settings configures a Table.
type Settings struct {
	Retention time.Duration // how long the ID of a request that may have run is remembered, at least
	// MaxRemembered limits the IDs that are remembered. Beyond it the oldest half is forgotten.
	MaxRemembered int
	Seed          maphash.Seed // of the hashes that are remembered in the place of IDs
}

// Table holds the IDs of a node's requests.
type Table struct {
	settings      Settings
	inUse         map[string]struct{}
	recent, older map[uint64]struct{} // hashes of the IDs of requests that may have run
	rotatedAt     time.Duration
}

// New returns an empty table.
func New(s Settings, now time.Duration) *Table {
	return &Table{settings: s, inUse: map[string]struct{}{}, recent: map[uint64]struct{}{}, rotatedAt: now}
}

// Reserve reserves an ID for a new request if it is free.
func (t *Table) Reserve(now time.Duration, id string) Status {
	t.rotate(now)
	if _, found := t.inUse[id]; found {
		return InUse
	}
	if t.isRemembered(id) {
		return HasRun
	}
	t.inUse[id] = struct{}{}
	return Free
}

// Release ends the use of an ID. If its request may have run and must not run twice, the ID is remembered.
func (t *Table) Release(now time.Duration, id string, remember bool) {
	delete(t.inUse, id)
	if !remember {
		return
	}
	t.rotate(now)
	t.recent[t.hash(id)] = struct{}{}
}

// InUse returns the number of IDs in use.
func (t *Table) InUse() int { return len(t.inUse) }

// Remembered returns the number of IDs that are remembered.
func (t *Table) Remembered() int { return len(t.recent) + len(t.older) }

func (t *Table) hash(id string) uint64 { return maphash.String(t.settings.Seed, id) }

func (t *Table) isRemembered(id string) bool {
	if t.Remembered() == 0 {
		return false
	}
	hash := t.hash(id)
	_, inRecent := t.recent[hash]
	_, inOlder := t.older[hash]
	return inRecent || inOlder
}

// rotate forgets the older half of the remembered IDs once all of the recent half have been remembered for long enough,
// or if there are too many.
func (t *Table) rotate(now time.Duration) {
	age := now - t.rotatedAt
	full := len(t.recent) >= max(1, t.settings.MaxRemembered/2)
	if age < t.settings.Retention && !full {
		return
	}
	t.older, t.recent, t.rotatedAt = t.recent, map[uint64]struct{}{}, now
	if age >= 2*t.settings.Retention {
		t.older = nil
	}
}
