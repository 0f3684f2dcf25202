package allowance

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Allocator grants sends to cold servers from the parts that lenders lent to it.
type Allocator struct {
	settings  Settings
	pools     map[Server]*pool
	lastSeqs  map[uint64]uint64 // Seq of the last claim of each lender
	lastSweep time.Duration
}

// pool holds the loans for one life of a server.
type pool struct {
	loans       []*loan // sorted by lender
	tokens      float64 // token bucket of sends, as of refilledAt
	refilledAt  time.Duration
	usedAt      []time.Duration // when sends were reported as used, within the last window; ascending
	answeredAt  []time.Duration // when answers of the server were reported recently; ascending
	outstanding int             // sends that are granted and neither used nor returned
}

// loan is the part that one node lent.
type loan struct {
	lender           uint64
	rate             float64         // sends per second
	endsAt           time.Duration   // by the allocator's clock; by then granted sends must have left the window
	allotted         int             // sends granted on the loan
	resolved         int             // those of allotted that were used, returned or have expired
	reportedUsed     int             // used sends by the lender's last report
	reportedAnswered int             // answered requests by the lender's last report; -1 if there was none
	expiries         []time.Duration // expiry times of the outstanding sends; ascending
}

// Limits on an allocator's memory.
const (
	maxPools        = 8192
	maxLoansPerPool = 20_000
	maxLenders      = 40_000
)

// NewAllocator returns an allocator without loans.
func NewAllocator(settings Settings) *Allocator {
	return &Allocator{settings: settings.Default(), pools: map[Server]*pool{}, lastSeqs: map[uint64]uint64{}}
}

// Pools returns the number of servers with a pool.
func (a *Allocator) Pools() int { return len(a.pools) }

// HandleClaim records the loans of a claim and returns the grant to answer with. It returns false if
// the claim must not be answered.
func (a *Allocator) HandleClaim(now time.Duration, c *Claim) (Grant, bool) {
	if c.Check() != nil || c.Seq <= a.lastSeqs[c.Lender] {
		return Grant{}, false // invalid, out of order or duplicated
	}
	if a.sweep(now); a.lastSeqs[c.Lender] == 0 && len(a.lastSeqs) >= maxLenders {
		return Grant{}, false
	}
	a.lastSeqs[c.Lender] = c.Seq
	grant := Grant{Seq: c.Seq, Stamp: stampOf(now)}
	// A stamp from the future is from an earlier life of this member, with another clock.
	if c.Stamp == 0 || c.Stamp > grant.Stamp {
		return grant, true
	}
	since := time.Duration(c.Stamp - 1)
	for i := range c.Items {
		if sends, total := a.recordLoan(now, since, c.Lender, &c.Items[i]); sends > 0 {
			grant.Items = append(grant.Items, Allotment{c.Items[i].Server, sends, total})
		}
	}
	return grant, true
}

// stampOf returns a time as a stamp, which is never 0.
func stampOf(now time.Duration) uint64 { return uint64(max(0, now)) + 1 }

// recordLoan records a loan for one server and grants sends on it. It returns the number of sends
// granted now and on this loan in total.
func (a *Allocator) recordLoan(now, since time.Duration, lender uint64, item *ClaimItem) (sends, total int) {
	p := a.pools[item.Server]
	if p == nil {
		if len(a.pools) >= maxPools {
			return 0, 0
		}
		p = &pool{refilledAt: now}
		a.pools[item.Server] = p
	}
	a.advance(p, now)
	index, found := slices.BinarySearchFunc(p.loans, lender, func(l *loan, h uint64) int { return cmp.Compare(l.lender, h) })
	if !found {
		if len(p.loans) >= maxLoansPerPool {
			return 0, 0
		}
		p.loans = slices.Insert(p.loans, index, &loan{lender: lender, reportedAnswered: -1})
	}
	l := p.loans[index]
	l.applyReport(p, now, item)
	l.rate, l.endsAt = item.Rate, since+a.settings.loanTerm()
	if sends = min(item.Wanted, maxWantedSends, a.available(p, now)); sends <= 0 || !a.covers(l, now) {
		return 0, 0
	}
	p.tokens -= float64(sends)
	p.outstanding += sends
	l.allotted += sends
	for range sends {
		l.expiries = append(l.expiries, now+a.settings.SendLifetime)
	}
	return sends, l.allotted
}

// applyReport records how many of a lender's sends were used and returned. Claims report totals, so
// the next one makes up for a lost one. If it is unclear which sends were used, the larger number
// is assumed.
func (l *loan) applyReport(p *pool, now time.Duration, item *ClaimItem) {
	newlyResolved := min(max(item.Used+item.Unused-l.resolved, 0), len(l.expiries))
	newlyUsed := min(max(item.Used-l.reportedUsed, 0), newlyResolved)
	l.reportedUsed = max(l.reportedUsed, item.Used)
	if l.reportedAnswered >= 0 { // answers from before the loan say nothing about the present
		for range min(item.Answered-l.reportedAnswered, maxWantedSends) {
			p.answeredAt = append(p.answeredAt, now)
		}
	}
	l.reportedAnswered = max(l.reportedAnswered, item.Answered)
	l.resolved += newlyResolved
	for range newlyUsed { // the exact times are unknown: assume the latest possible one
		p.usedAt = append(p.usedAt, now)
	}
	// It is unknown which sends these were. Dropping the oldest expiries keeps the outstanding sends
	// counted for long enough.
	l.expiries = l.expiries[newlyResolved:]
	p.outstanding -= newlyResolved
}

// covers reports whether a loan lasts until a send granted now has left the window.
func (a *Allocator) covers(l *loan, now time.Duration) bool {
	return l.endsAt >= now+a.settings.SendLifetime+a.settings.Window
}

// advance updates a pool to time now. Sends that have expired are counted as used at their expiry,
// and ended loans are dropped.
func (a *Allocator) advance(p *pool, now time.Duration) {
	rate := 0.0
	for _, l := range p.loans {
		expired := 0
		for expired < len(l.expiries) && l.expiries[expired] <= now {
			p.usedAt = append(p.usedAt, l.expiries[expired])
			expired++
		}
		l.expiries = l.expiries[expired:]
		l.resolved += expired
		p.outstanding -= expired
		if a.covers(l, now) {
			rate += l.rate
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(l *loan) bool { return l.endsAt < now && len(l.expiries) == 0 })
	slices.Sort(p.usedAt)
	outdated, _ := slices.BinarySearch(p.usedAt, now-a.settings.Window)
	p.usedAt = p.usedAt[outdated:]
	outdated, _ = slices.BinarySearch(p.answeredAt, now-answerWindows*a.settings.Window-a.settings.ClaimInterval)
	p.answeredAt = p.answeredAt[outdated:]
	p.tokens = min(p.tokens+rate*(now-p.refilledAt).Seconds(), max(1, rate*a.settings.Window.Seconds()))
	p.refilledAt = now
}

// lentRate returns the summed rate of the loans that last long enough to grant sends on them.
func (a *Allocator) lentRate(p *pool, now time.Duration) (sum float64) {
	for _, l := range p.loans {
		if a.covers(l, now) {
			sum += l.rate
		}
	}
	return sum
}

// Limits on the sends per window by the answers of a server. Its capacity is unknown, but what it
// has answered to all nodes together is within it. A server gets initialSends before its first
// answer, and sendsPerAnswer for each answer to any node within the last answerWindows windows.
// This detects a server of a sixth of the others' size within a window.
const (
	initialSends   = 2
	sendsPerAnswer = 1.0
	answerWindows  = 2 // window lengths
)

// available returns how many sends may be granted now. They must fit the rate, and the sends of the
// window including the outstanding ones must not exceed what the parts and the server's answers
// allow. Parts that add up to less than one send per window still allow one, as often as the rate
// permits.
func (a *Allocator) available(p *pool, now time.Duration) int {
	maxPerWindow := int(math.Ceil(a.lentRate(p, now)*a.settings.Window.Seconds() - 1e-9))
	maxPerWindow = min(maxPerWindow, initialSends+int(sendsPerAnswer*float64(len(p.answeredAt))))
	return min(int(p.tokens+1e-9), max(1, maxPerWindow)-p.outstanding-len(p.usedAt))
}

// sweep drops pools without loans, and lenders without loans if there are many lenders.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.lastSweep < a.settings.loanTerm() {
		return
	}
	a.lastSweep = now
	withLoans := map[uint64]bool{}
	for server, p := range a.pools {
		if a.advance(p, now); len(p.loans) == 0 && len(p.usedAt) == 0 {
			delete(a.pools, server)
		}
		for _, l := range p.loans {
			withLoans[l.lender] = true
		}
	}
	if len(a.lastSeqs) < maxLenders/2 {
		return
	}
	for lender := range a.lastSeqs { // an old claim that arrives late carries a stamp too old to lend anything
		if !withLoans[lender] {
			delete(a.lastSeqs, lender)
		}
	}
}

// PoolStatus describes a pool for operators. Its fields are JSON keys.
type PoolStatus struct {
	Server
	Lenders int
	Rate    float64 // sends per second, of all loans
	Out     int     // sends granted and not reported yet
	Used    int     // sends used within the last window
}

// PoolStatuses returns the status of all pools with loans, sorted by server.
func (a *Allocator) PoolStatuses(now time.Duration) []PoolStatus {
	var statuses []PoolStatus
	for server, p := range a.pools {
		a.advance(p, now)
		if len(p.loans) > 0 {
			statuses = append(statuses, PoolStatus{server, len(p.loans), a.lentRate(p, now), p.outstanding, len(p.usedAt)})
		}
	}
	slices.SortFunc(statuses, func(a, b PoolStatus) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
	})
	return statuses
}
