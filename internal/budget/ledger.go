package budget

import "time"

// Ledger remembers what the calls of one attempt have spent: an application makes
// several, one after another, and hands each the same budget, since it does not
// count. The node beside it does, by the attempt's id.
//
// What the ledger does not know any more is a new attempt to it, with all that
// was granted; so it keeps an attempt for as long as its time runs, and when it
// is full it lets nobody in with further attempts rather than forget one that
// may still spend.
type Ledger struct {
	most  int
	rows  map[string]*row
	order []string // ids in the order in which they are looked at next
}

type row struct {
	until time.Duration // on the node's clock: the grant's time is over then
	spent int
	out   int // granted to calls under way
}

// NewLedger makes a ledger of so many attempts.
func NewLedger(most int) *Ledger { return &Ledger{most: max(1, most), rows: map[string]*row{}} }

// Len is how many attempts are kept.
func (l *Ledger) Len() int { return len(l.rows) }

// Open takes a call in, and returns its budget: what was granted, less what the
// calls before it have spent and those beside it may.
func (l *Ledger) BeginCall(now time.Duration, b Budget) Budget {
	if b.AttemptID == "" {
		return b
	}
	r := l.rows[b.AttemptID]
	if r == nil {
		if len(l.rows) >= l.most {
			l.Expire(now, sweepAtOnce)
		}
		if len(l.rows) >= l.most {
			b.ExtraAttempts = 0
			return b
		}
		r = &row{}
		l.rows[b.AttemptID] = r
		l.order = append(l.order, b.AttemptID)
	}
	r.until = max(r.until, now+b.TimeLeft)
	b.ExtraAttempts = max(0, b.ExtraAttempts-r.spent-r.out)
	r.out += b.ExtraAttempts
	return b
}

// Close books what a call has spent of the budget that Open gave it, and returns
// what all calls of the attempt have spent: that goes into the answer.
func (l *Ledger) EndCall(b Budget, spent int) (all int) {
	r := l.rows[b.AttemptID]
	if b.AttemptID == "" || r == nil {
		return spent
	}
	r.out = max(0, r.out-b.ExtraAttempts)
	r.spent += min(max(0, spent), b.ExtraAttempts)
	return r.spent
}

// sweepAtOnce is how many attempts a full ledger looks at for one that comes.
const sweepAtOnce = 64

// Forget looks at the next few attempts, and forgets those whose time is over.
func (l *Ledger) Expire(now time.Duration, most int) {
	for range min(most, len(l.order)) {
		id := l.order[0]
		l.order = l.order[1:]
		if r := l.rows[id]; now >= r.until && r.out == 0 {
			delete(l.rows, id)
		} else {
			l.order = append(l.order, id)
		}
	}
}
