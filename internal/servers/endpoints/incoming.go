package endpoints

import "curlewring/decide"

// Incoming holds changes of a list that are still to be taken in, where they are too many for one go. Of each server it holds the
// newest word alone: an older one, taken in later, would open a server again that has been said to drain or to be gone. Word of
// these goes first.
type ChangeQueue struct {
	entries []Entry
	next    int // the first that is still there
}

// Len is how many changes wait.
func (q *ChangeQueue) Len() int { return len(q.entries) - q.next }

// Add takes further changes, one of each server. They are newer than all that wait.
func (q *ChangeQueue) Add(changes []Entry) {
	newer := make(map[string]struct{}, len(changes))
	for i := range changes {
		newer[changes[i].ID] = struct{}{}
	}
	all := make([]Entry, 0, q.Len()+len(changes))
	for _, bad := range [...]bool{true, false} {
		for _, e := range q.entries[q.next:] {
			if _, replaced := newer[e.ID]; !replaced && (e.Health != decide.Healthy) == bad {
				all = append(all, e)
			}
		}
		for _, e := range changes {
			if (e.Health != decide.Healthy) == bad {
				all = append(all, e)
			}
		}
	}
	q.entries, q.next = all, 0
}

// Take takes up to so many changes out. They are valid until the next call.
func (q *ChangeQueue) Take(most int) []Entry {
	part := q.entries[q.next:min(len(q.entries), q.next+most)]
	if q.next += len(part); q.next == len(q.entries) {
		q.entries, q.next = nil, 0
	}
	return part
}
