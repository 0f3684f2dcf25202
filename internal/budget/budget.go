package budget

import (
	"math"
	"time"
)

// Limits on the content of a header.
const (
	MaxHeaderBytes   = 1280 // a full path of the longest names, and all other fields
	MaxHops          = 32   // nodes on a path; the planned fleet has calls through 22
	MaxNameBytes     = 32   // of a node's or class's name
	MaxExtraAttempts = 15
	MaxTimeLeft      = 10 * time.Minute // longer times are considered invalid
	MaxWorth         = 1e6
)

// Budget is what a request may still spend when it arrives at a node.
type Budget struct {
	TimeLeft      time.Duration // until its client gives up, counted from its arrival
	ExtraAttempts int           // beyond the first attempt of each call, in this tier and all below together
	Worth         float64       // of the request at the entry node
	Class         string        // of the request at the entry node
	AttemptID     string        // attempt of the tier above that the call belongs to; "": none
	Path          []string      // nodes that the request has passed, starting at the entry
}

// Hops returns the number of nodes that the request has passed.
func (b *Budget) Hops() int { return len(b.Path) }

// FindLoop reports whether the request has passed a node, and returns the loop: the path from that node on,
// followed by the node again.
func (b *Budget) FindLoop(node string) (loop []string, found bool) {
	for i, name := range b.Path {
		if name == node {
			return append(append([]string{}, b.Path[i:]...), node), true
		}
	}
	return nil, false
}

// LocalLimits is what a node knows about a request without its budget.
type LocalLimits struct {
	TimeLeft      time.Duration // from the platform's header
	ExtraAttempts int           // extra attempts of the class
	Worth         float64       // of the class
	Class         string
}

// Excess is a set of the values in which a budget exceeds the local limits, one bit each.
type Excess uint8

// Values that a budget can exceed.
const (
	ExcessTime Excess = 1 << iota
	ExcessAttempts
	ExcessWorth
)

// Clamp returns the smaller of a budget and the local limits, and reports which values the budget exceeds.
// Without a budget the limits become the budget: the node is the entry, or the tier above sends no budgets.
func Clamp(b *Budget, limits LocalLimits) (Budget, Excess) {
	if b == nil {
		return Budget{TimeLeft: limits.TimeLeft, ExtraAttempts: limits.ExtraAttempts, Worth: limits.Worth, Class: limits.Class}, 0
	}
	out, excess := *b, Excess(0)
	if out.TimeLeft > limits.TimeLeft {
		out.TimeLeft, excess = limits.TimeLeft, excess|ExcessTime
	}
	if out.ExtraAttempts > limits.ExtraAttempts {
		out.ExtraAttempts, excess = limits.ExtraAttempts, excess|ExcessAttempts
	}
	if out.Worth > limits.Worth {
		out.Worth, excess = limits.Worth, excess|ExcessWorth
	}
	return out, excess
}

// Account tracks how one node spends a request's budget. The sum of what is spent, granted to an attempt
// and remaining always equals the grant.
type Account struct {
	grant       Budget
	spent       int // extra attempts, here and below
	granted     int // extra attempts granted to the open attempt
	attempts    int // attempts made here
	attemptOpen bool
	returnTime  time.Duration // time that a response takes from here to the client
}

// OpenAccount returns an account for a request that has arrived with a budget. returnTime is the measured
// time that a response takes back to the client.
func OpenAccount(grant Budget, returnTime time.Duration) Account {
	return Account{grant: grant, returnTime: max(0, returnTime)}
}

// Spent returns the extra attempts spent here and below, as reported in the response.
func (a *Account) Spent() int { return a.spent }

// Committed returns Spent plus what an open attempt may still spend, which is what the tier above has to
// assume.
func (a *Account) Committed() int { return a.spent + a.granted }

// SpentBelow returns the part of Spent that the tiers below spent.
func (a *Account) SpentBelow() int { return a.spent - max(0, a.attempts-1) }

// Remaining returns the extra attempts left to this node and those below.
func (a *Account) Remaining() int { return max(0, a.grant.ExtraAttempts-a.spent-a.granted) }

// CanAttempt reports whether another attempt can be paid for. The first one is free, each further one uses
// an extra attempt.
func (a *Account) CanAttempt() bool {
	return !a.attemptOpen && (a.attempts == 0 || a.grant.ExtraAttempts-a.spent >= 1)
}

// AttemptTimeout returns how long an attempt may take that starts when the request has been here for the
// given time: the time left, less the return time.
func (a *Account) AttemptTimeout(passed time.Duration) time.Duration {
	return max(0, a.grant.TimeLeft-passed-a.returnTime)
}

// BeginAttempt starts an attempt and returns the budget to send with it; id identifies the attempt. One
// extra attempt is kept back: if the tier below does not report what it spent, all that was granted counts
// as spent, and this tier can still retry once.
func (a *Account) BeginAttempt(node, id string, passed time.Duration) (Budget, bool) {
	if !a.CanAttempt() {
		return Budget{}, false
	}
	if a.attempts > 0 {
		a.spent++
	}
	a.attempts++
	a.attemptOpen = true
	a.granted = max(0, a.grant.ExtraAttempts-a.spent-1)
	b := a.grant
	b.TimeLeft, b.ExtraAttempts, b.AttemptID = a.AttemptTimeout(passed), a.granted, id
	b.Path = append(append(make([]string, 0, len(a.grant.Path)+1), a.grant.Path...), node)
	return b, true
}

// RevokeGrant takes back the grant of the open attempt because no tier below can spend it.
func (a *Account) RevokeGrant() { a.granted = 0 }

// UnknownSpent is the value used if the tier below did not report what it spent.
const UnknownSpent = -1

// EndAttempt ends the open attempt with what was spent below, or UnknownSpent. A value greater than the
// grant is invalid and counts as all of it. An attempt that is known not to have run has spent nothing.
func (a *Account) EndAttempt(spent int, ran bool) {
	if !a.attemptOpen {
		return
	}
	switch {
	case !ran:
		spent = 0
	case spent < 0 || spent > a.granted:
		spent = a.granted
	}
	a.spent += spent
	a.granted, a.attemptOpen = 0, false
}

// RetryAdvice tells the tier above whether a retry after an error makes sense.
type RetryAdvice string

// Kinds of retry advice.
const (
	Overloaded  RetryAdvice = "overloaded"    // it has not run; another server may have capacity
	OutOfBudget RetryAdvice = "out-of-budget" // nothing is left, so a retry is useless
	MayHaveRun  RetryAdvice = "may-have-run"
	HasNotRun   RetryAdvice = "has-not-run"
	Loop        RetryAdvice = "loop" // the request has passed this node before
)

// RetryUseful reports whether a retry makes sense as far as the budget is concerned. Whether it is safe is
// for package decide to say.
func (a RetryAdvice) RetryUseful() bool { return a != OutOfBudget && a != Loop }

// Merge returns the smaller of two budgets that came with one request, for example in the budget header and
// in the baggage.
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
