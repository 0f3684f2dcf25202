package budget

import "time"

// Ledger tracks what the calls of one attempt have spent. An application makes several calls and gives each
// the same budget, since it does not count attempts. The node next to it does, by the id of the attempt.
//
// An attempt that the ledger does not know is treated as a new one that has spent nothing. So the ledger
// keeps attempts for as long as their time runs. When it is full it grants no extra attempts rather than
// forget an attempt that may still spend.
type Ledger struct {
	maxAttempts int
	entries     map[string]*ledgerEntry
	sweepOrder  []string // ids in the order in which Expire checks them
}

type ledgerEntry struct {
	expiresAt time.Duration // on the node's clock: the budget's time is over then
	spent     int
	granted   int // granted to open calls
}

// NewLedger returns a ledger of at most the given number of attempts.
func NewLedger(maxAttempts int) *Ledger {
	return &Ledger{maxAttempts: max(1, maxAttempts), entries: map[string]*ledgerEntry{}}
}

// Len returns the number of attempts that are kept.
func (l *Ledger) Len() int { return len(l.entries) }

// BeginCall registers a call and returns its budget: the given one, less what earlier calls of the attempt
// have spent and what concurrent ones may spend.
func (l *Ledger) BeginCall(now time.Duration, b Budget) Budget {
	if b.AttemptID == "" {
		return b
	}
	entry := l.entries[b.AttemptID]
	if entry == nil {
		if len(l.entries) >= l.maxAttempts {
			l.Expire(now, sweepBatch)
		}
		if len(l.entries) >= l.maxAttempts {
			b.ExtraAttempts = 0
			return b
		}
		entry = &ledgerEntry{}
		l.entries[b.AttemptID] = entry
		l.sweepOrder = append(l.sweepOrder, b.AttemptID)
	}
	entry.expiresAt = max(entry.expiresAt, now+b.TimeLeft)
	b.ExtraAttempts = max(0, b.ExtraAttempts-entry.spent-entry.granted)
	entry.granted += b.ExtraAttempts
	return b
}

// EndCall records what a call has spent of the budget that BeginCall returned. It returns what all calls of
// the attempt have spent, for the response.
func (l *Ledger) EndCall(b Budget, spent int) (total int) {
	entry := l.entries[b.AttemptID]
	if b.AttemptID == "" || entry == nil {
		return spent
	}
	entry.granted = max(0, entry.granted-b.ExtraAttempts)
	entry.spent += min(max(0, spent), b.ExtraAttempts)
	return entry.spent
}

// sweepBatch is the number of attempts that a full ledger checks for each new one.
const sweepBatch = 64

// Expire checks the next few attempts and deletes those whose time is over.
func (l *Ledger) Expire(now time.Duration, maxChecks int) {
	for range min(maxChecks, len(l.sweepOrder)) {
		id := l.sweepOrder[0]
		l.sweepOrder = l.sweepOrder[1:]
		if entry := l.entries[id]; now >= entry.expiresAt && entry.granted == 0 {
			delete(l.entries, id)
		} else {
			l.sweepOrder = append(l.sweepOrder, id)
		}
	}
}
