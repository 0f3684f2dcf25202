package node

import (
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"curlewring/decide"
	"curlewring/internal/budget"
	"curlewring/internal/node/upstream"
)

// maxLedgerEntries is how many attempts of the tiers above the ledger keeps.
const maxLedgerEntries = 8192

// budgets reads, tracks and writes the retry budgets that requests share with other tiers. It
// is nil where budgets are off. The fields that clients' goroutines use are constant or
// atomic; the ledger and each requestBudget belong to the loop.
type budgets struct {
	name          string // this node's name in the paths of budgets
	leaf          bool   // the servers behind this node are the last tier
	classes       []string
	settings      *decide.Settings
	log           *slog.Logger
	ledger        *budget.Ledger
	nextAttemptID uint64

	malformed, excessive, loops atomic.Int64 // headers that could not be read, claimed too much, or showed a loop
}

func newBudgets(c *Config, log *slog.Logger) *budgets {
	if !c.ShareBudgets {
		return nil
	}
	return &budgets{
		name: budget.NodeName(c.Name), leaf: c.Settings.Tiers > 1 && c.Settings.Tier == c.Settings.Tiers-1,
		classes: c.Classes, settings: &c.Settings, log: log, ledger: budget.NewLedger(maxLedgerEntries),
	}
}

// requestBudget is the budget of one request.
type requestBudget struct {
	grant       budget.Budget // as granted by the ledger
	account     budget.Account
	baggage     string // the request's baggage header, passed on to the server
	openedAt    time.Duration
	closed      bool
	retryAdvice budget.RetryAdvice // from the answer to the last attempt
}

// logFirst counts a rare event, and logs its first occurrence.
func (b *budgets) logFirst(n *atomic.Int64, text string, args ...any) {
	if n.Add(1) == 1 {
		b.log.Warn(text+"; further ones are counted", args...)
	}
}

// read returns a request's budget, clamped to this node's limits. If the request has crossed
// this node before, it returns nil and the loop.
func (b *budgets) read(r *http.Request, class int, left time.Duration) (rb *requestBudget, loop string) {
	values, baggage := r.Header[budget.HeaderName], r.Header[budget.BaggageHeaderName]
	given, err := budget.FromHeaders(values, baggage)
	if err != nil {
		b.logFirst(&b.malformed, "ignoring a request's malformed budget", "err", err)
	}
	limits := budget.LocalLimits{
		TimeLeft: left, ExtraAttempts: max(0, b.settings.MaxAttempts-1), Worth: b.settings.Classes[class].Worth, Class: b.classes[class],
	}
	grant, excess := budget.Clamp(given, limits)
	if excess != 0 {
		b.logFirst(&b.excessive, "clamping a request's budget that exceeds the limits of its class", "budget", given.Encode())
	}
	if cycle, crossed := grant.FindLoop(b.name); crossed {
		b.logFirst(&b.loops, "rejecting a request that has come round in a loop", "loop", strings.Join(cycle, " -> "))
		return nil, strings.Join(cycle, " -> ")
	}
	rb = &requestBudget{grant: grant}
	if len(baggage) == 1 {
		rb.baggage = baggage[0]
	}
	return rb, ""
}

// open opens a request's account. Only the loop calls it.
func (b *budgets) open(now time.Duration, p *pendingRequest) {
	if p.budget == nil {
		return
	}
	p.budget.grant = b.ledger.BeginCall(now, p.budget.grant)
	p.budget.account = budget.OpenAccount(p.budget.grant, answerMargin)
	p.budget.openedAt = now
	p.request.Budgeted, p.request.ExtraAttempts = true, p.budget.grant.ExtraAttempts
}

// beginAttempt charges an attempt to a request's account, and returns the header lines to
// send with it.
func (b *budgets) beginAttempt(now time.Duration, rb *requestBudget) string {
	if rb == nil {
		return ""
	}
	b.nextAttemptID++
	down, ok := rb.account.BeginAttempt(b.name, b.name[:min(len(b.name), 15)]+"."+strconv.FormatUint(b.nextAttemptID, 36), now-rb.openedAt)
	if b.leaf {
		rb.account.RevokeGrant()
		down.ExtraAttempts = 0
	}
	if !ok { // the balancer has checked the account; without a header, the tier below uses its own limits
		return ""
	}
	lines := budget.HeaderName + ": " + down.Encode() + "\r\n"
	if rb.baggage != "" {
		lines += budget.BaggageHeaderName + ": " + down.AddToBaggage(rb.baggage) + "\r\n"
	}
	return lines
}

// endAttempt settles an attempt, and returns how many attempts of the budget the tiers below
// have spent with it.
func (b *budgets) endAttempt(rb *requestBudget, o *upstream.Outcome) (below int) {
	if rb == nil {
		return 0
	}
	before := rb.account.SpentBelow()
	spent, advice, err := budget.ParseSpent(o.SpentBudget)
	if err != nil {
		b.logFirst(&b.malformed, "ignoring the malformed spent budget of an answer", "err", err)
	}
	rb.account.EndAttempt(spent, mayHaveRun(o.Result))
	rb.retryAdvice = advice
	below = rb.account.SpentBelow() - before
	if !advice.RetryUseful() { // another attempt would have the same result
		below = max(below, rb.account.Remaining())
	}
	return below
}

// close closes a request's account, and returns the value of its answer's spent-budget header.
func (b *budgets) close(rb *requestBudget, status answerStatus, mayHaveRun bool) string {
	if rb == nil || rb.closed {
		return ""
	}
	rb.closed = true
	totalSpent := b.ledger.EndCall(rb.grant, rb.account.Committed())
	advice := budget.RetryAdvice("")
	switch {
	case status == served:
	case status == refused && !mayHaveRun:
		advice = budget.Overloaded
	case rb.retryAdvice == budget.Loop:
		advice = budget.Loop
	case rb.account.Remaining() == 0 && rb.grant.ExtraAttempts > 0:
		advice = budget.OutOfBudget
	case mayHaveRun:
		advice = budget.MayHaveRun
	default:
		advice = budget.HasNotRun
	}
	return budget.EncodeSpent(totalSpent, advice)
}
