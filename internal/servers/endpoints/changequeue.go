package endpoints

import "curlewring/decide"

// ChangeQueue holds changes of a list that are still to be applied, where they are too many for one step. It keeps
// the newest change of each server only: applying an older one later would readmit a server that has been reported as
// draining or removed. Drains and removals come first.
type ChangeQueue struct {
	entries []Entry
	next    int // index of the first entry that is still queued
}

// Len returns how many changes are queued.
func (q *ChangeQueue) Len() int { return len(q.entries) - q.next }

// Add queues changes. The last change of a server replaces the earlier ones.
func (q *ChangeQueue) Add(changes []Entry) {
	last := make(map[string]int, len(changes)) // by server: index of its last change
	for i := range changes {
		last[changes[i].ID] = i
	}
	all := make([]Entry, 0, q.Len()+len(changes))
	for _, notServing := range [...]bool{true, false} {
		for _, e := range q.entries[q.next:] {
			if _, replaced := last[e.ID]; !replaced && (e.Health != decide.Healthy) == notServing {
				all = append(all, e)
			}
		}
		for i, e := range changes {
			if last[e.ID] == i && (e.Health != decide.Healthy) == notServing {
				all = append(all, e)
			}
		}
	}
	q.entries, q.next = all, 0
}

// Take removes and returns up to the given number of changes. They are valid until the next call.
func (q *ChangeQueue) Take(limit int) []Entry {
	taken := q.entries[q.next:min(len(q.entries), q.next+limit)]
	if q.next += len(taken); q.next == len(q.entries) {
		q.entries, q.next = nil, 0
	}
	return taken
}
