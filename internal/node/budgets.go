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

// mostLedger is how many attempts of tiers above a node keeps accounts of.
const maxLedgerEntries = 8192

// budgets reads, keeps and writes the budgets that requests share with other
// tiers. Nil: they are off, and cost nothing. What a client's goroutine uses is
// fixed or atomic; ledger and graphs belong to the loop.
type budgets struct {
	name          string // this node's on paths
	leaf          bool   // its servers are the last tier
	classes       []string
	settings      *decide.Settings
	log           *slog.Logger
	ledger        *budget.Ledger
	nextAttemptID uint64 // attempts' ids

	malformed, excessive, loops atomic.Int64 // headers that were none, said too much, or told of a loop
}

func newBudgets(c *Config, log *slog.Logger) *budgets {
	if !c.SharedBudgets {
		return nil
	}
	return &budgets{
		name: budget.NodeName(c.Name), leaf: c.Settings.Tiers > 1 && c.Settings.Tier == c.Settings.Tiers-1, classes: c.Classes, settings: &c.Settings, log: log, ledger: budget.NewLedger(maxLedgerEntries),
	}
}

// graph is the budget of one request.
type requestBudget struct {
	grant       budget.Budget // as the ledger gave it
	account     budget.Account
	baggage     string // the request's, which travels on
	openedAt    time.Duration
	closed      bool
	retryAdvice budget.RetryAdvice // what the last attempt's error said
}

// once counts something rare, and logs it when it is seen for the first time.
func (b *budgets) logFirst(n *atomic.Int64, text string, args ...any) {
	if n.Add(1) == 1 {
		b.log.Warn(text+"; further ones are counted", args...)
	}
}

// read finds a request's budget, cut to what is true. loop is not empty if the
// request has been here before.
func (b *budgets) read(r *http.Request, class int, left time.Duration) (g *requestBudget, loop string) {
	own, baggage := r.Header[budget.HeaderName], r.Header[budget.BaggageHeaderName]
	given, err := budget.FromHeaders(own, baggage)
	if err != nil {
		b.logFirst(&b.malformed, "a request's budget is odd, and not taken", "err", err)
	}
	truth := budget.LocalLimits{
		TimeLeft: left, ExtraAttempts: max(0, b.settings.MaxAttempts-1), Worth: b.settings.Classes[class].Worth, Class: b.classes[class],
	}
	grant, lies := budget.Clamp(given, truth)
	if lies != 0 {
		b.logFirst(&b.excessive, "a request's budget says more than is true, and is cut", "budget", given.Encode())
	}
	if round, crossed := grant.FindLoop(b.name); crossed {
		b.logFirst(&b.loops, "a request has come round in a loop", "loop", strings.Join(round, " -> "))
		return nil, strings.Join(round, " -> ")
	}
	g = &requestBudget{grant: grant}
	if len(baggage) == 1 {
		g.baggage = baggage[0]
	}
	return g, ""
}

// open begins a request's account. The loop calls it.
func (b *budgets) open(now time.Duration, p *pendingRequest) {
	if p.budget == nil {
		return
	}
	p.budget.grant = b.ledger.BeginCall(now, p.budget.grant)
	p.budget.account = budget.OpenAccount(p.budget.grant, answerMargin)
	p.budget.openedAt = now
	p.request.Budgeted, p.request.ExtraAttempts = true, p.budget.grant.ExtraAttempts
}

// send takes an attempt out of a request's account, and returns the headers that
// travel with it.
func (b *budgets) beginAttempt(now time.Duration, g *requestBudget) string {
	if g == nil {
		return ""
	}
	b.nextAttemptID++
	down, ok := g.account.BeginAttempt(b.name, b.name[:min(len(b.name), 15)]+"."+strconv.FormatUint(b.nextAttemptID, 36), now-g.openedAt)
	if b.leaf {
		g.account.RevokeGrant()
		down.ExtraAttempts = 0
	}
	if !ok { // the module has made sure that there is one; without, the tier below goes by its own
		return ""
	}
	lines := budget.HeaderName + ": " + down.Encode() + "\r\n"
	if g.baggage != "" {
		lines += budget.BaggageHeaderName + ": " + down.AddToBaggage(g.baggage) + "\r\n"
	}
	return lines
}

// back books an attempt's end, and returns what the tiers below have spent of
// the budget with it.
func (b *budgets) endAttempt(g *requestBudget, o *upstream.Outcome) (below int) {
	if g == nil {
		return 0
	}
	before := g.account.SpentBelow()
	spent, word, err := budget.ParseSpent(o.SpentBudget)
	if err != nil {
		b.logFirst(&b.malformed, "an answer's word of what was spent is odd, and not taken", "err", err)
	}
	ran := o.Result != decide.Rejected && o.Result != decide.ConnectFailed && o.Result != decide.NotSent
	g.account.EndAttempt(spent, ran)
	g.retryAdvice = word
	below = g.account.SpentBelow() - before
	if !word.RetryUseful() { // another attempt would end as this one
		below = max(below, g.account.Remaining())
	}
	return below
}

// close ends a request's account, and returns the header of its answer.
func (b *budgets) close(g *requestBudget, e answerStatus, ran bool) string {
	if g == nil || g.closed {
		return ""
	}
	g.closed = true
	all := b.ledger.EndCall(g.grant, g.account.Committed())
	word := budget.RetryAdvice("")
	switch {
	case e == served:
	case e == refused && !ran:
		word = budget.Overloaded
	case g.retryAdvice == budget.Loop:
		word = budget.Loop
	case g.account.Remaining() == 0 && g.grant.ExtraAttempts > 0:
		word = budget.OutOfBudget
	case ran:
		word = budget.MayHaveRun
	default:
		word = budget.HasNotRun
	}
	return budget.EncodeSpent(all, word)
}
