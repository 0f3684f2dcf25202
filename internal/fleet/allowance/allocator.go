package allowance

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Dealer deals what was lent to it.
type Allocator struct {
	settings  Settings
	pools     map[Server]*pool
	lastSeqs  map[uint64]uint64 // the last claim of each holder
	lastSweep time.Duration
}

// pool is what is lent for one life of a server.
type pool struct {
	loans       []*loan // by holder
	tokens      float64 // sends that may be dealt, as of ...
	refilledAt  time.Duration
	usedAt      []time.Duration // when sends were told to be used, within the last window; ascending
	answeredAt  []time.Duration // when the server was told to have answered, of late; ascending
	outstanding int             // dealt, and neither used nor back
}

// loan is one node's part.
type loan struct {
	lender           uint64
	rate             float64
	endsAt           time.Duration // by the dealer's clock; what is dealt on it must be used and out of the window by then
	allotted         int
	resolved         int             // of these, used, back, or no good any more
	reportedUsed     int             // sends that the node last told to be used
	reportedAnswered int             // requests that it last told to be answered; -1: it has told nothing yet
	expiries         []time.Duration // when each of the others is no good any more; ascending
}

// Bounds of a dealer's memory.
const (
	maxPools        = 8192
	maxLoansPerPool = 20_000 // of one pool
	maxLenders      = 40_000
)

// NewDealer returns a dealer that holds nothing.
func NewAllocator(set Settings) *Allocator {
	return &Allocator{settings: set.Default(), pools: map[Server]*pool{}, lastSeqs: map[uint64]uint64{}}
}

// Pools is the number of servers that something is lent for.
func (d *Allocator) Pools() int { return len(d.pools) }

// Claim takes a claim, and answers it; false if it is none to answer.
func (d *Allocator) HandleClaim(now time.Duration, c *Claim) (Grant, bool) {
	if c.Check() != nil || c.Seq <= d.lastSeqs[c.Lender] {
		return Grant{}, false // late, or doubled: the holder has gone on
	}
	if d.sweep(now); d.lastSeqs[c.Lender] == 0 && len(d.lastSeqs) >= maxLenders {
		return Grant{}, false
	}
	d.lastSeqs[c.Lender] = c.Seq
	g := Grant{Seq: c.Seq, Stamp: stampOf(now)}
	if c.Stamp == 0 || c.Stamp > g.Stamp { // the second is of a life of this member that counted otherwise
		return g, true
	}
	since := time.Duration(c.Stamp - 1)
	for i := range c.Items {
		if n, total := d.recordLoan(now, since, c.Lender, &c.Items[i]); n > 0 {
			g.Items = append(g.Items, Allotment{c.Items[i].Server, n, total})
		}
	}
	return g, true
}

// stampOf is a time as a stamp, which is never 0.
func stampOf(now time.Duration) uint64 { return uint64(max(0, now)) + 1 }

// lend books a part and deals on it: so many sends now, and so many on this loan in all.
func (d *Allocator) recordLoan(now, since time.Duration, holder uint64, it *ClaimItem) (n, total int) {
	p := d.pools[it.Server]
	if p == nil {
		if len(d.pools) >= maxPools {
			return 0, 0
		}
		p = &pool{refilledAt: now}
		d.pools[it.Server] = p
	}
	d.advance(p, now)
	at, found := slices.BinarySearchFunc(p.loans, holder, func(l *loan, h uint64) int { return cmp.Compare(l.lender, h) })
	if !found {
		if len(p.loans) >= maxLoansPerPool {
			return 0, 0
		}
		p.loans = slices.Insert(p.loans, at, &loan{lender: holder, reportedAnswered: -1})
	}
	l := p.loans[at]
	l.applyReport(p, now, it)
	l.rate, l.endsAt = it.Rate, since+d.settings.loanTerm()
	if n = min(it.Wanted, maxWantedSends, d.available(p, now)); n <= 0 || !d.covers(l, now) {
		return 0, 0
	}
	p.tokens -= float64(n)
	p.outstanding += n
	l.allotted += n
	for range n {
		l.expiries = append(l.expiries, now+d.settings.SendLifetime)
	}
	return n, l.allotted
}

// told books what a node says became of its sends. It tells totals: what a lost claim told, the next tells too.
// Where it is not clear which were used, more are taken to be so.
func (l *loan) applyReport(p *pool, now time.Duration, it *ClaimItem) {
	n := min(max(it.Used+it.Unused-l.resolved, 0), len(l.expiries))
	used := min(max(it.Used-l.reportedUsed, 0), n)
	l.reportedUsed = max(l.reportedUsed, it.Used)
	if l.reportedAnswered >= 0 { // what came before the loan tells nothing of now
		for range min(it.Answered-l.reportedAnswered, maxWantedSends) {
			p.answeredAt = append(p.answeredAt, now)
		}
	}
	l.reportedAnswered = max(l.reportedAnswered, it.Answered)
	l.resolved += n
	for range used { // now at the latest
		p.usedAt = append(p.usedAt, now)
	}
	// Which of them it was nobody knows: the oldest go, so that none that is out is forgotten too early.
	l.expiries = l.expiries[n:]
	p.outstanding -= n
}

// covers tells whether a loan lasts until what is dealt now has left the window.
func (d *Allocator) covers(l *loan, now time.Duration) bool {
	return l.endsAt >= now+d.settings.SendLifetime+d.settings.Window
}

// settle brings a pool to a time: what is no good any more was used at the latest then, and loans end.
func (d *Allocator) advance(p *pool, now time.Duration) {
	rate := 0.0
	for _, l := range p.loans {
		n := 0
		for n < len(l.expiries) && l.expiries[n] <= now {
			p.usedAt = append(p.usedAt, l.expiries[n])
			n++
		}
		l.expiries = l.expiries[n:]
		l.resolved += n
		p.outstanding -= n
		if d.covers(l, now) {
			rate += l.rate
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(l *loan) bool { return l.endsAt < now && len(l.expiries) == 0 })
	slices.Sort(p.usedAt)
	n, _ := slices.BinarySearch(p.usedAt, now-d.settings.Window)
	p.usedAt = p.usedAt[n:]
	n, _ = slices.BinarySearch(p.answeredAt, now-answerWindows*d.settings.Window-d.settings.ClaimInterval)
	p.answeredAt = p.answeredAt[n:]
	p.tokens = min(p.tokens+rate*(now-p.refilledAt).Seconds(), max(1, rate*d.settings.Window.Seconds()))
	p.refilledAt = now
}

// rate is the sum of what is lent for longer than it takes to use it.
func (d *Allocator) lentRate(p *pool, now time.Duration) (sum float64) {
	for _, l := range p.loans {
		if d.covers(l, now) {
			sum += l.rate
		}
	}
	return sum
}

// What a server may get before it has answered anybody, and for each answer of the last two windows: nobody knows what
// this one can do, but what it has answered to all of them together, it could. A server of a sixth of the others' size is
// found out so within a window.
const (
	initialSends   = 2
	sendsPerAnswer = 1.0
	answerWindows  = 2 // windows
)

// free is how many sends may be dealt now: within the rate, and no more in the window, with those that are out, than
// the parts allow and the server has shown that it can answer. Parts that sum up to less than one send still allow one,
// as often as the rate has it.
func (d *Allocator) available(p *pool, now time.Duration) int {
	most := int(math.Ceil(d.lentRate(p, now)*d.settings.Window.Seconds() - 1e-9))
	most = min(most, initialSends+int(sendsPerAnswer*float64(len(p.answeredAt))))
	return min(int(p.tokens+1e-9), max(1, most)-p.outstanding-len(p.usedAt))
}

// sweep forgets servers that nothing is lent for, and lives that are not heard of any more.
func (d *Allocator) sweep(now time.Duration) {
	if now-d.lastSweep < d.settings.loanTerm() {
		return
	}
	d.lastSweep = now
	busy := map[uint64]bool{}
	for server, p := range d.pools {
		if d.advance(p, now); len(p.loans) == 0 && len(p.usedAt) == 0 {
			delete(d.pools, server)
		}
		for _, l := range p.loans {
			busy[l.lender] = true
		}
	}
	if len(d.lastSeqs) < maxLenders/2 {
		return
	}
	for holder := range d.lastSeqs { // its old claims would lend by stamps that are older than any loan
		if !busy[holder] {
			delete(d.lastSeqs, holder)
		}
	}
}

// Standing is a pool as operators see it.
type PoolStatus struct {
	Server
	Lenders int
	Rate    float64 // sends a second, of what is lent
	Out     int     // dealt, and not yet told of
	Used    int     // within the last window
}

// Standings are all pools, by server.
func (d *Allocator) PoolStatuses(now time.Duration) []PoolStatus {
	var all []PoolStatus
	for server, p := range d.pools {
		d.advance(p, now)
		if len(p.loans) > 0 {
			all = append(all, PoolStatus{server, len(p.loans), d.lentRate(p, now), p.outstanding, len(p.usedAt)})
		}
	}
	slices.SortFunc(all, func(a, b PoolStatus) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
	})
	return all
}
