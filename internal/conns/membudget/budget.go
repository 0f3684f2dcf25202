package membudget

import "fmt"

// Category is what memory is used for.
type Category uint8

const (
	ConnectionState Category = iota // table rows, timers and per-connection state
	PartialRequests                 // requests that have arrived in part
	OpenRequests                    // requests without an answer yet, including their bodies
	PendingAnswers                  // answers not yet sent to their clients
	PooledBuffers                   // free buffers kept for reuse
	categoryCount
)

// String returns the name of the category in logs and reports.
func (c Category) String() string {
	return [...]string{"parked", "reading", "open", "answers", "pooled"}[c]
}

// Categories returns all categories in order.
func Categories() []Category {
	all := make([]Category, categoryCount)
	for i := range all {
		all[i] = Category(i)
	}
	return all
}

// Level is how much of a budget is used.
type Level uint8

const (
	// Normal: all categories may take more memory.
	Normal Level = iota
	// Constrained: unfinished requests get no buffer, so their data waits in the kernel and TCP
	// flow control slows the peer. Requests that have begun may continue, and requests that
	// have arrived whole are handled.
	Constrained
	// Full: requests that have arrived whole wait too, and idle connections are closed.
	Full
)

// Thresholds of the levels in percent of the limit. A level ends at a lower threshold than
// it begins, so that it does not change with each byte.
const (
	constrainedFromPercent, constrainedUntilPercent = 80, 70
	fullFromPercent, fullUntilPercent               = 95, 85
)

// Budget counts the bytes used in each category against a limit.
type Budget struct {
	limit        int
	used         [categoryCount]int
	total        int
	peak         int
	level        Level
	levelChanges int
}

// New returns an empty budget with a limit in bytes.
func New(limit int) *Budget {
	if limit <= 0 {
		panic(fmt.Sprintf("membudget: limit is %d bytes, must be positive", limit))
	}
	return &Budget{limit: limit}
}

// Add adds bytes to a category or, with a negative number, returns them.
func (b *Budget) Add(category Category, bytes int) {
	b.used[category] += bytes
	if b.used[category] < 0 {
		panic(fmt.Sprintf("membudget: %d bytes more returned than added in category %s", -b.used[category], category))
	}
	b.total += bytes
	b.peak = max(b.peak, b.total)
	percentOfLimit := func(percent int) int { return b.limit / 100 * percent }
	was := b.level
	switch {
	case b.total >= percentOfLimit(fullFromPercent):
		b.level = Full
	case b.level == Full && b.total > percentOfLimit(fullUntilPercent):
	case b.total >= percentOfLimit(constrainedFromPercent), b.level != Normal && b.total > percentOfLimit(constrainedUntilPercent):
		b.level = Constrained
	default:
		b.level = Normal
	}
	if b.level != was {
		b.levelChanges++
	}
}

// Level returns the current level.
func (b *Budget) Level() Level { return b.level }

// Used returns the bytes used in a category.
func (b *Budget) Used(category Category) int { return b.used[category] }

// Total returns the bytes used in all categories.
func (b *Budget) Total() int { return b.total }

// Peak returns the highest total so far.
func (b *Budget) Peak() int { return b.peak }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int { return b.limit }

// LevelChanges returns how often the level has changed.
func (b *Budget) LevelChanges() int { return b.levelChanges }
