package membudget

import "fmt"

// Use is what memory is taken for.
type Category uint8

const (
	ConnectionState Category = iota // rows, timers and what is known of each connection
	PartialRequests                 // requests that have come in part
	OpenRequests                    // requests that have no answer yet, with their bodies
	PendingAnswers                  // answers that their clients have yet to take
	PooledBuffers                   // buffers kept for the next use
	categoryCount
)

// String is the use's name in logs and reports.
func (u Category) String() string {
	return [...]string{"parked", "reading", "open", "answers", "pooled"}[u]
}

// Uses lists all uses in order.
func Categories() []Category {
	all := make([]Category, categoryCount)
	for i := range all {
		all[i] = Category(i)
	}
	return all
}

// Level is how full the ledger is.
type Level uint8

const (
	// Roomy: all may take more.
	Normal Level = iota
	// Tight: what has nothing yet gets no buffer. Its bytes wait in the kernel, which
	// its window tells the peer; what has begun may go on.
	Constrained
	// Full: idle connections go too.
	Full
)

// A level begins at one part of the limit and ends at a lower one, so that it does
// not change with each byte. In percent.
const (
	constrainedFromPercent, constrainedUntilPercent = 80, 70
	fullFromPercent, fullUntilPercent   = 95, 85
)

// Ledger counts bytes by use against a limit.
type Budget struct {
	limit int
	used  [categoryCount]int
	total   int
	peak  int
	level Level
	levelChanges int
}

// New makes an empty ledger of so many bytes.
func New(limit int) *Budget {
	if limit <= 0 {
		panic(fmt.Sprintf("pressure: a limit of %d bytes", limit))
	}
	return &Budget{limit: limit}
}

// Add books bytes, or with a negative number gives them back.
func (l *Budget) Add(u Category, bytes int) {
	l.used[u] += bytes
	if l.used[u] < 0 {
		panic(fmt.Sprintf("pressure: %d bytes given back too often for %s", -l.used[u], u))
	}
	l.total += bytes
	l.peak = max(l.peak, l.total)
	part := func(percent int) int { return l.limit / 100 * percent }
	was := l.level
	switch {
	case l.total >= part(fullFromPercent):
		l.level = Full
	case l.level == Full && l.total > part(fullUntilPercent):
	case l.total >= part(constrainedFromPercent), l.level != Normal && l.total > part(constrainedUntilPercent):
		l.level = Constrained
	default:
		l.level = Normal
	}
	if l.level != was {
		l.levelChanges++
	}
}

// Level is how full the ledger is.
func (l *Budget) Level() Level { return l.level }

// Used is what a use has taken, Sum all together, and Peak the most that was ever.
func (l *Budget) Used(u Category) int { return l.used[u] }
func (l *Budget) Total() int          { return l.total }
func (l *Budget) Peak() int           { return l.peak }
func (l *Budget) Limit() int          { return l.limit }

// Turns counts the changes of level.
func (l *Budget) LevelChanges() int { return l.levelChanges }
