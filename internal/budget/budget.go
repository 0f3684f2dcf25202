package budget

import (
	"math"
	"time"
)

// Bounds of what a header may say.
const (
	MaxHeaderBytes   = 1280             // bytes: a full path of the longest names, and all other fields
	MaxHops          = 32               // nodes on a path: the planned fleet has calls through 22
	MaxNameBytes     = 32               // bytes of a node's name
	MaxExtraAttempts = 15               // further attempts
	MaxTimeLeft      = 10 * time.Minute // longer waits are taken for nonsense
	MaxWorth         = 1e6
)

// Budget is what a request may still spend, as it comes to a node.
type Budget struct {
	TimeLeft      time.Duration // until its client gives up, counted from its arrival
	ExtraAttempts int           // attempts beyond the first of each call, in all tiers below together
	Worth         float64       // of the graph's entry
	Class         string        // of the graph's entry
	AttemptID     string        // of the attempt above that the call belongs to; "": none
	Path          []string      // the nodes that it has crossed, the entry first
}

// Hops is how many nodes the request has crossed.
func (b *Budget) Hops() int { return len(b.Path) }

// Crossed tells whether the request has crossed a node, and returns the loop that
// it makes there: the path from that node on, and the node again.
func (b *Budget) FindLoop(node string) (loop []string, crossed bool) {
	for i, name := range b.Path {
		if name == node {
			return append(append([]string{}, b.Path[i:]...), node), true
		}
	}
	return nil, false
}

// Truth is what a node knows of a request by itself.
type LocalLimits struct {
	TimeLeft      time.Duration // by the platform's header
	ExtraAttempts int           // further attempts that the class has
	Worth         float64       // of its class
	Class         string
}

// Lie is a bit for each thing that a budget said beyond the truth.
type Excess uint8

// What a budget may say too much of.
const (
	ExcessTime Excess = 1 << iota
	ExcessAttempts
	ExcessWorth
)

// Clamp takes the smaller of a budget and the truth, and says where it was told
// more than is true. Without a budget the truth is the budget: the node is the
// entry, or stands behind one that knows none.
func Clamp(b *Budget, t LocalLimits) (Budget, Excess) {
	if b == nil {
		return Budget{TimeLeft: t.TimeLeft, ExtraAttempts: t.ExtraAttempts, Worth: t.Worth, Class: t.Class}, 0
	}
	out, lies := *b, Excess(0)
	if out.TimeLeft > t.TimeLeft {
		out.TimeLeft, lies = t.TimeLeft, lies|ExcessTime
	}
	if out.ExtraAttempts > t.ExtraAttempts {
		out.ExtraAttempts, lies = t.ExtraAttempts, lies|ExcessAttempts
	}
	if out.Worth > t.Worth {
		out.Worth, lies = t.Worth, lies|ExcessWorth
	}
	return out, lies
}

// Account is what one node does with one request's budget. The sum of what is
// spent, what is out and what is left is the grant at all times.
type Account struct {
	grant Budget
	spent int // further attempts, here and below
	out   int // granted to the attempt under way
	sent  int // attempts from here
	open  bool
	wayUp time.Duration // what an answer's way back takes from here
}

// Open begins an account for a request that has come with a budget. wayUp is what
// the way back to the caller costs, as it is measured.
func OpenAccount(grant Budget, wayUp time.Duration) Account {
	return Account{grant: grant, wayUp: max(0, wayUp)}
}

// Spent is what the request has spent here and below, for its answer.
func (a *Account) Spent() int { return a.spent }

// Committed is Spent and what may yet be spent by an attempt that is still out:
// what the tier above must reckon with.
func (a *Account) Committed() int { return a.spent + a.out }

// Below is how much of what was spent was not spent from here.
func (a *Account) SpentBelow() int { return a.spent - max(0, a.sent-1) }

// Remains is how many further attempts are left to this node and those below.
func (a *Account) Remaining() int { return max(0, a.grant.ExtraAttempts-a.spent-a.out) }

// MayTry tells whether another attempt can be paid for: the first is free, every
// further one takes one of the extra attempts.
func (a *Account) CanAttempt() bool {
	return !a.open && (a.sent == 0 || a.grant.ExtraAttempts-a.spent >= 1)
}

// Time is what an attempt may last that begins when so much of the request's time
// has passed here: what is left, less the way back.
func (a *Account) AttemptTimeout(passed time.Duration) time.Duration {
	return max(0, a.grant.TimeLeft-passed-a.wayUp)
}

// Send takes an attempt out, and returns what travels with it; id tells it from
// all others. One further
// attempt is held back here: if no word comes of what was spent below, all that
// was granted counts as spent, and this tier can still try once more.
func (a *Account) BeginAttempt(node, id string, passed time.Duration) (Budget, bool) {
	if !a.CanAttempt() {
		return Budget{}, false
	}
	if a.sent > 0 {
		a.spent++
	}
	a.sent++
	a.open = true
	a.out = max(0, a.grant.ExtraAttempts-a.spent-1)
	b := a.grant
	b.TimeLeft, b.ExtraAttempts, b.AttemptID = a.AttemptTimeout(passed), a.out, id
	b.Path = append(append(make([]string, 0, len(a.grant.Path)+1), a.grant.Path...), node)
	return b, true
}

// Keep takes back what was granted to the attempt under way: there is no tier
// below that could spend it.
func (a *Account) RevokeGrant() { a.out = 0 }

// Unknown is what is said where no word came of what was spent below.
const UnknownSpent = -1

// Back takes in an attempt's end: what was spent below, or Unknown. More than was
// granted cannot be true, and counts as all of it. An attempt that is known not
// to have run has spent nothing below.
func (a *Account) EndAttempt(spent int, ran bool) {
	if !a.open {
		return
	}
	switch {
	case !ran:
		spent = 0
	case spent < 0 || spent > a.out:
		spent = a.out
	}
	a.spent += spent
	a.out, a.open = 0, false
}

// Word is what an error says to the tier above about trying again.
type RetryAdvice string

// The words.
const (
	Overloaded  RetryAdvice = "overloaded"    // it has not run; another server may have room
	OutOfBudget RetryAdvice = "out-of-budget" // nothing is left: trying again is of no use
	MayHaveRun  RetryAdvice = "may-have-run"
	HasNotRun   RetryAdvice = "has-not-run"
	Loop        RetryAdvice = "loop" // it has been here before
)

// Again tells whether trying again after this word is of any use, by the budget
// alone; rule 2 is the module's.
func (w RetryAdvice) RetryUseful() bool { return w != OutOfBudget && w != Loop }

// Merge takes the smaller of two budgets that came with one request: a header of
// our own and one carried by others, say.
func Merge(x, y *Budget) *Budget {
	switch {
	case x == nil:
		return y
	case y == nil:
		return x
	}
	b := *x
	b.TimeLeft, b.ExtraAttempts, b.Worth = min(x.TimeLeft, y.TimeLeft), min(x.ExtraAttempts, y.ExtraAttempts), math.Min(x.Worth, y.Worth)
	if len(y.Path) > len(x.Path) {
		b.Path = y.Path
	}
	return &b
}
