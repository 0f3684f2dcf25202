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
	set   Settings
	pools map[Server]*pool
	heard map[uint64]uint64 // the last claim of each holder
	swept time.Duration
}

// pool is what is lent for one life of a server.
type pool struct {
	loans    []*loan // by holder
	tokens   float64 // sends that may be dealt, as of ...
	filled   time.Duration
	used     []time.Duration // when sends were told to be used, within the last window; ascending
	answered []time.Duration // when the server was told to have answered, of late; ascending
	out      int             // dealt, and neither used nor back
}

// loan is one node's part.
type loan struct {
	holder   uint64
	rate     float64
	until    time.Duration // by the dealer's clock; what is dealt on it must be used and out of the window by then
	dealt    int
	done     int             // of these, used, back, or no good any more
	used     int             // sends that the node last told to be used
	answered int             // requests that it last told to be answered; -1: it has told nothing yet
	out      []time.Duration // when each of the others is no good any more; ascending
}

// Bounds of a dealer's memory.
const (
	mostPools   = 8192
	mostLoans   = 20_000 // of one pool
	mostHolders = 40_000
)

// NewDealer returns a dealer that holds nothing.
func NewAllocator(set Settings) *Allocator {
	return &Allocator{set: set.Default(), pools: map[Server]*pool{}, heard: map[uint64]uint64{}}
}

// Pools is the number of servers that something is lent for.
func (d *Allocator) Pools() int { return len(d.pools) }

// Claim takes a claim, and answers it; false if it is none to answer.
func (d *Allocator) HandleClaim(now time.Duration, c *Claim) (Grant, bool) {
	if c.Check() != nil || c.Seq <= d.heard[c.Lender] {
		return Grant{}, false // late, or doubled: the holder has gone on
	}
	if d.sweep(now); d.heard[c.Lender] == 0 && len(d.heard) >= mostHolders {
		return Grant{}, false
	}
	d.heard[c.Lender] = c.Seq
	g := Grant{Seq: c.Seq, Stamp: stampOf(now)}
	if c.Stamp == 0 || c.Stamp > g.Stamp { // the second is of a life of this member that counted otherwise
		return g, true
	}
	since := time.Duration(c.Stamp - 1)
	for i := range c.Items {
		if n, total := d.lend(now, since, c.Lender, &c.Items[i]); n > 0 {
			g.Items = append(g.Items, Allotment{c.Items[i].Server, n, total})
		}
	}
	return g, true
}

// stampOf is a time as a stamp, which is never 0.
func stampOf(now time.Duration) uint64 { return uint64(max(0, now)) + 1 }

// lend books a part and deals on it: so many sends now, and so many on this loan in all.
func (d *Allocator) lend(now, since time.Duration, holder uint64, it *ClaimItem) (n, total int) {
	p := d.pools[it.Server]
	if p == nil {
		if len(d.pools) >= mostPools {
			return 0, 0
		}
		p = &pool{filled: now}
		d.pools[it.Server] = p
	}
	d.settle(p, now)
	at, found := slices.BinarySearchFunc(p.loans, holder, func(l *loan, h uint64) int { return cmp.Compare(l.holder, h) })
	if !found {
		if len(p.loans) >= mostLoans {
			return 0, 0
		}
		p.loans = slices.Insert(p.loans, at, &loan{holder: holder, answered: -1})
	}
	l := p.loans[at]
	l.told(p, now, it)
	l.rate, l.until = it.Rate, since+d.set.term()
	if n = min(it.Wanted, mostWant, d.free(p, now)); n <= 0 || !d.covers(l, now) {
		return 0, 0
	}
	p.tokens -= float64(n)
	p.out += n
	l.dealt += n
	for range n {
		l.out = append(l.out, now+d.set.SendLifetime)
	}
	return n, l.dealt
}

// told books what a node says became of its sends. It tells totals: what a lost claim told, the next tells too.
// Where it is not clear which were used, more are taken to be so.
func (l *loan) told(p *pool, now time.Duration, it *ClaimItem) {
	n := min(max(it.Used+it.Unused-l.done, 0), len(l.out))
	used := min(max(it.Used-l.used, 0), n)
	l.used = max(l.used, it.Used)
	if l.answered >= 0 { // what came before the loan tells nothing of now
		for range min(it.Answered-l.answered, mostWant) {
			p.answered = append(p.answered, now)
		}
	}
	l.answered = max(l.answered, it.Answered)
	l.done += n
	for range used { // now at the latest
		p.used = append(p.used, now)
	}
	// Which of them it was nobody knows: the oldest go, so that none that is out is forgotten too early.
	l.out = l.out[n:]
	p.out -= n
}

// covers tells whether a loan lasts until what is dealt now has left the window.
func (d *Allocator) covers(l *loan, now time.Duration) bool {
	return l.until >= now+d.set.SendLifetime+d.set.Window
}

// settle brings a pool to a time: what is no good any more was used at the latest then, and loans end.
func (d *Allocator) settle(p *pool, now time.Duration) {
	rate := 0.0
	for _, l := range p.loans {
		n := 0
		for n < len(l.out) && l.out[n] <= now {
			p.used = append(p.used, l.out[n])
			n++
		}
		l.out = l.out[n:]
		l.done += n
		p.out -= n
		if d.covers(l, now) {
			rate += l.rate
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(l *loan) bool { return l.until < now && len(l.out) == 0 })
	slices.Sort(p.used)
	n, _ := slices.BinarySearch(p.used, now-d.set.Window)
	p.used = p.used[n:]
	n, _ = slices.BinarySearch(p.answered, now-memory*d.set.Window-d.set.ClaimInterval)
	p.answered = p.answered[n:]
	p.tokens = min(p.tokens+rate*(now-p.filled).Seconds(), max(1, rate*d.set.Window.Seconds()))
	p.filled = now
}

// rate is the sum of what is lent for longer than it takes to use it.
func (d *Allocator) rate(p *pool, now time.Duration) (sum float64) {
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
	first  = 2
	growth = 1.0
	memory = 2 // windows
)

// free is how many sends may be dealt now: within the rate, and no more in the window, with those that are out, than
// the parts allow and the server has shown that it can answer. Parts that sum up to less than one send still allow one,
// as often as the rate has it.
func (d *Allocator) free(p *pool, now time.Duration) int {
	most := int(math.Ceil(d.rate(p, now)*d.set.Window.Seconds() - 1e-9))
	most = min(most, first+int(growth*float64(len(p.answered))))
	return min(int(p.tokens+1e-9), max(1, most)-p.out-len(p.used))
}

// sweep forgets servers that nothing is lent for, and lives that are not heard of any more.
func (d *Allocator) sweep(now time.Duration) {
	if now-d.swept < d.set.term() {
		return
	}
	d.swept = now
	busy := map[uint64]bool{}
	for server, p := range d.pools {
		if d.settle(p, now); len(p.loans) == 0 && len(p.used) == 0 {
			delete(d.pools, server)
		}
		for _, l := range p.loans {
			busy[l.holder] = true
		}
	}
	if len(d.heard) < mostHolders/2 {
		return
	}
	for holder := range d.heard { // its old claims would lend by stamps that are older than any loan
		if !busy[holder] {
			delete(d.heard, holder)
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
		d.settle(p, now)
		if len(p.loans) > 0 {
			all = append(all, PoolStatus{server, len(p.loans), d.rate(p, now), p.out, len(p.used)})
		}
	}
	slices.SortFunc(all, func(a, b PoolStatus) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
	})
	return all
}
