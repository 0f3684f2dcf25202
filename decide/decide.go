// The decisions of curlewring; its interface stands in decide/api.go.
package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	curveTop     = 1.0                    // r, in aims, at which even the highest worth is shut out
	curveFoot    = 0.6                    // r, in aims, below which the lowest worth is let in whole
	period       = 200 * time.Millisecond // between two readings of r
	tierCrowd    = 2                      // calls a server, for each tier on, that are surely no crowd
	repeatWorth  = 0.9                    // a client's repeat stands a step below a first try
	crowdMemory  = 8                      // arrivals over which the calls here are averaged
	rareGap      = 4                      // power of the rest of the traffic by which a curve stands off
	mixMemory    = 64                     // arrivals over which the shares of the levels are averaged
	crowdTop     = 2                      // crowding at which even the highest worth is shut out
	roomGrowth   = 0.15                   // a second, of the servers that count as room
	countMemory  = 24                     // the same for r
	subsetFront  = 8                      // servers a front node keeps to, and nodes that know each
	subsetInner  = 5                      // the same below: more of a node's calls on each
	nearPart     = 0.75                   // part of the subset that lies in the own zone
	retryRate    = 0.2                    // retry budget: attempts earned by each first try
	retryBurst   = 10
	usualTimes   = 4                      // mean response times: all answers but few come sooner
	usualLeast   = 0.1                    // aims that the mean is taken to be, at the least
	gapLeast     = 100 * time.Millisecond // connections idle for less are never in question
	gapSpans     = 8                      // spans of idle time told apart, each double the one before
	gapMemory    = 10 * time.Second       // over which what became of sends after such idle times is kept
	gapProof     = 2                      // lost sends that prove it, where they outnumber the answered
	longList     = 16                     // servers, above which not all are looked at
	manyDraws    = 12                     // after which they are all the same
	unmadeMost   = 0.1                    // part of attempts unconnected, above which made ones are sought
	unmadeMemory = 32                     // attempts over which that part is averaged
	ejectAfter   = 3                      // failures in a row that take a server out
	ejectFor     = time.Second            // doubled with each further ejection
	holdStep     = 10 * time.Millisecond  // wait before looking again for a server
	askStep      = 250 * time.Millisecond // first wait before asking for the list again
	askMost      = 3 * time.Second / 2    // the longest: what discovery has known for 6 s counts as told
	sizeSlack    = 1.0 / 16               // part by which a subset may be larger or smaller than its share
	startSlack   = 32                     // part of a ring (one in so many) by which its start may be off
	spread       = 0.63224128846          // multiples of it spread evenly, every 2nd to 16th of them too
	coldSafety   = 0.5                    // part of the cold budget that is used at all, as chances ...
	coldPooled   = 0.8                    // ... and as whole sends that the nodes deal among themselves
	rateMemory   = 5 * time.Second        // how slowly the send rate is followed
	lateGain     = 0.25                   // weight of the newest response time of a server
	lateMemory   = 2 * time.Second        // after which a server's slowness is mostly forgotten
	mostSpare    = 256                    // calls kept to be used again
	askToken     = 1 << 62                // timer that asks for the list; others carry a request's id
)

// fail counts a failure, and ejects after some in a row, each time for longer.
func (h *health) fail(now time.Duration, after int) {
	h.fails++
	if h.fails >= after {
		h.outUntil = now + ejectFor<<min(h.ejections, 3)
		h.fails = after - 1 // one more failure afterwards is enough
		h.ejections++
	}
}

// served clears what was held against it.
func (h *health) served() { h.fails, h.ejections, h.outUntil = 0, 0, 0 }

// out tells whether to keep away. After an ejection there is one call at a time until it has served one:
// what hangs would else swallow a full share of calls at each return.
func (h *health) out(now time.Duration) bool {
	return h.outUntil > now || h.ejections > 0 && h.inflight > 0
}

// Balancer decides for one node.
type Balancer struct {
	noNear  bool // no near server may take the call that is looked at
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	out     []Action
	servers map[string]*server
	homes   []*server // all of the own zone that may be sent to, in the ring's order
	others  []*server // the same of other zones
	near    []*server // the subset: own zone
	far     []*server // the subset: other zones
	size    float64   // of the subset
	starts  [2]uint64 // of the subset, on the rings of the own zone and of the others
	scratch []*server
	faulty  bool    // a server of the subset, or its zone, may be ejected
	spare   []*call // to be used again
	zones   map[string]*zone
	calls   map[uint64]*call
	tenants []tenant
	bounds  []Bounds  // the operators', behind those of no route; never written to: calls point into it
	levels  []float64 // distinct worths, ascending
	offered []float64 // arrivals on each, of late

	r            float64 // smoothed response time in units of the aim
	sum          float64 // time that calls spent here this period, in aims
	outcomes     float64 // in all
	room         room    // what a server holds without a crowd
	crowd        float64 // calls here, averaged over arrivals
	known        float64 // servers that count as room
	limited      bool    // crowding made for a refusal this period
	held         float64 // calls here now, each as one over its aim
	count        float64
	periodEnd    time.Duration
	rate         float64 // answers a second, smoothed
	rateAt       time.Duration
	before       float64 // answers a second of a server to one node, as of the last life; 0: not gone by
	there        float64 // servers that there are, if the members are a part of an old list; 0: the members
	retryBudget  float64
	gaps         [gapSpans]idling
	stale        int     // the span from which connections are dead; gapSpans: none
	unmade       float64 // part of the attempts that found no connection
	late         float64 // mean response time of attempts in aims
	weight, sums float64 // mean weight of the members, and its sum
	asking       bool
	watching     bool
	askTries     int
	born         time.Duration   // when the node started
	heard        time.Duration   // as of when discovery last confirmed the list; 0: never
	unconfirmed  time.Duration   // from then on unheard drains may count as told; 0: never
	longest      []time.Duration // largest TTL seen, by class
}

// New returns the decisions of a node that starts now.
func New(set Settings, seed uint64, now time.Duration) *Balancer {
	b := &Balancer{
		set:         set,
		rng:         rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now:         now,
		born:        now,
		servers:     map[string]*server{},
		calls:       map[uint64]*call{},
		zones:       map[string]*zone{},
		tenants:     make([]tenant, len(set.Tenants)),
		bounds:      make([]Bounds, 1),
		longest:     make([]time.Duration, len(set.Classes)),
		periodEnd:   now + period,
		rateAt:      now,
		retryBudget: retryBurst,
		stale:       gapSpans,
	}
	aim := time.Duration(math.MaxInt64)
	for _, c := range set.Classes {
		b.levels, aim = append(b.levels, c.Worth), min(aim, c.Aim)
	}
	if set.MarksRepeats {
		b.stack(repeatWorth)
	}
	if len(set.Tenants) > 0 {
		b.stack(set.OverShareWorth)
	}
	// A server also holds the calls that wait for the tiers below.
	b.room = newRoom(set.Room, float64(1+tierCrowd*max(2, set.Tiers-set.Tier)), now, aim)
	slices.Sort(b.levels)
	b.levels = slices.Compact(b.levels)
	b.offered = slices.Repeat([]float64{mixMemory / float64(max(1, len(b.levels)))}, len(b.levels))
	return b
}

// stack adds to the levels each of them times some share.
func (b *Balancer) stack(share float64) {
	for _, worth := range b.levels {
		b.levels = append(b.levels, worth*share)
	}
}

// begin takes an event's time and buffer; every handler calls it first.
func (b *Balancer) begin(now time.Duration, out []Action) {
	b.sum += b.held * float64(now-b.now)
	b.now, b.out = now, out
	if now < b.periodEnd {
		return
	}
	// A period without outcomes keeps r; few move it little, lest one slow answer shut a node that sees few.
	// So with the first reading: a burst late in a period has many calls here, and one or two that ended.
	if memory := min(countMemory, b.outcomes); b.count > 0 {
		if memory == 0 {
			memory = firstSamples
		}
		b.r += (b.sum/b.count - b.r) * b.count / (b.count + memory)
		b.outcomes += b.count
	}
	b.widen()
	b.room.measure(now, b.perServer())
	for i := range b.gaps {
		b.gaps[i].lost *= 1 - float64(period)/float64(gapMemory)
		b.gaps[i].answered *= 1 - float64(period)/float64(gapMemory)
	}
	b.sum, b.count = 0, 0
	b.periodEnd = now + period
}

// widen lets servers that were added count as room while calls are refused and r does not say overload.
func (b *Balancer) widen() {
	if n := float64(b.members()); b.limited && b.known < n && b.r < curveFoot {
		b.known = min(b.known*(1+roomGrowth*period.Seconds()), n)
	}
	b.limited = false
}

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

// Members takes word of the servers.
func (b *Balancer) Members(now time.Duration, m Members, out []Action) []Action {
	b.begin(now, out)
	if b.set.MustAsk && m.Change != ListKept {
		b.follow(m.Change)
	}
	b.confirm(&m)
	if m.Change == ListFailed {
		return b.out
	}
	whole := m.Change != ListDiff && m.Change != ListKept
	b.before, b.there = m.Rate, float64(m.There)
	if whole {
		for _, s := range b.servers {
			s.seen, s.listed = false, false
		}
		b.homes, b.others, b.sums = b.homes[:0], b.others[:0], 0
	}
	for i := range m.Servers {
		b.enter(&m.Servers[i], whole)
	}
	if whole {
		for id, s := range b.servers {
			if !s.seen {
				s.Health = Removed
			}
			switch {
			case s.Health == Healthy && s.near:
				b.homes = append(b.homes, s)
			case s.Health == Healthy:
				b.others = append(b.others, s)
			case s.Health == Removed && s.inflight == 0:
				delete(b.servers, id)
			}
			if s.listed = s.Health == Healthy; s.listed {
				b.sums += s.weight
			}
		}
		slices.SortFunc(b.homes, byRing)
		slices.SortFunc(b.others, byRing)
	}
	b.choose()
	return b.out
}

// enter takes one entry of a list. Changes cost what the entry costs, whatever the number of servers.
func (b *Balancer) enter(e *Server, whole bool) {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{rank: hash(e.ID), zone: b.zone(e.Zone)}
		b.servers[e.ID] = s
	}
	if e.Started > s.Started { // a new process: what was held against the old one is void
		s.served()
		s.idle, s.alive = nil, lifetime{}
		s.late, s.tokens, s.filled, s.pooled = 0, b.rng.Float64(), b.now, pooled{}
	}
	if !whole {
		b.enlist(s, false) // by what it was
	}
	s.Server, s.seen, s.near, s.weight = *e, true, e.Zone == b.set.Zone, e.Weight
	if s.weight <= 0 {
		s.weight = 1
	}
	if whole {
		return // all of them in one go
	}
	if s.Health == Healthy {
		b.enlist(s, true)
	} else if s.Health == Removed && s.inflight == 0 {
		delete(b.servers, e.ID)
	}
}

// choose draws the subset: a stretch of the ring, mostly of the own zone. The nodes' stretches start evenly
// along it: were each drawn for itself, chance would let twice as many nodes know one server as another.
func (b *Balancer) choose() {
	size, all := subsetFront, b.members()
	if b.set.Tier > 0 {
		size = subsetInner
	}
	want := max(float64(size), float64(size*all)/float64(max(1, b.set.Nodes)))
	b.size = min(max(b.size, want*(1-sizeSlack)), want*(1+sizeSlack))
	size = min(int(math.Ceil(b.size)), all)
	// A fleet that has grown is no proof of room: the tier below may be the one that is short. Room follows
	// as long as r stays calm.
	if b.known == 0 {
		b.known = float64(all)
	}
	b.weight = b.sums / float64(max(1, all))
	nears := min(len(b.homes), max(int(math.Ceil(nearPart*float64(size))), size-len(b.others)))
	b.near = b.stretch(b.near[:0], b.homes, nears, &b.starts[0])
	b.far = b.stretch(b.far[:0], b.others, size-nears, &b.starts[1])
	for _, z := range b.zones {
		z.members = 0
	}
	for i := range len(b.near) + len(b.far) {
		b.subset(i).zone.members++
	}
	b.faulty = true // until it was looked at
}

// stretch appends n members of a ring, from this node's start. Starts spread evenly by place, and keep to
// where they are on the ring while that is near enough, so that one change moves hardly more than its own.
func (b *Balancer) stretch(to, ring []*server, n int, from *uint64) []*server {
	_, at := math.Modf(float64(max(0, b.set.Node)) * spread)
	start, length := int(at*float64(len(ring))), len(ring)
	byRank := func(s *server, rank uint64) int { return cmp.Compare(s.rank, rank) }
	i, _ := slices.BinarySearchFunc(ring, *from, byRank)
	if slack := min(n, length/startSlack); slack > 0 && *from > 0 {
		off := (i-start+length+length/2)%length - length/2 // the shorter way round
		start = (start + min(max(off, -slack), slack) + length) % length
	}
	if n > 0 && start != i%length {
		*from = ring[start].rank
	}
	to = append(to, ring[start:min(start+n, length)]...)
	return append(to, ring[:n-len(to)]...)
}

// faults counts the servers of the subset that are ejected or on trial, and those to keep away from now.
func (b *Balancer) faults() (ejected, out int) {
	if !b.faulty {
		return 0, 0
	}
	for i := range len(b.near) + len(b.far) {
		s := b.subset(i)
		if s.ejections > 0 || s.zone.ejections > 0 {
			ejected++
		}
		if s.outUntil > b.now || s.zone.outUntil > b.now {
			out++
		}
	}
	b.faulty = ejected > 0
	return ejected, out
}

// jitter takes up to half off a wait.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()/2) * float64(wait))
}

// follow keeps a watch on a list that comes only when asked for, and asks again with back-off and jitter.
func (b *Balancer) follow(c Change) {
	b.asking, b.watching = false, c == ListDiff || c == ListFull
	wait := max(holdStep, min(askStep<<min(b.askTries, 8), askMost, b.set.AskWithin/2))
	if b.watching {
		b.askTries = 0
		return
	}
	b.askTries++
	b.act(Action{Kind: After, Token: askToken, Wait: b.jitter(wait)})
}

// Routes takes new bounds, for requests that come from now on; those under way keep theirs.
func (b *Balancer) Routes(now time.Duration, bounds []Bounds, out []Action) []Action {
	b.begin(now, out)
	b.bounds = append([]Bounds{{}}, bounds...)
	return b.out
}

// within returns the bounds of a request.
func (b *Balancer) within(r *Request) *Bounds {
	if r.Route < 0 || r.Route >= len(b.bounds) {
		return &b.bounds[0]
	}
	return &b.bounds[r.Route]
}

// Request takes a new call: a verdict at the front, then a server. A call of an unknown class fails, one told
// twice is passed over, an unknown tenant counts as none.
func (b *Balancer) Request(now time.Duration, r Request, out []Action) []Action {
	b.begin(now, out)
	if b.calls[r.ID] != nil {
		return b.out // told twice
	}
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		b.act(Action{Kind: Fail, Request: r.ID, Reason: UnknownClass})
		return b.out
	}
	class := &b.set.Classes[r.Class]
	worth := class.Worth
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) && !b.withinShare(r.Tenant) {
		worth *= b.set.OverShareWorth
	}
	if r.Repeat { // part of its aim is gone, and refused clients would crowd out the first tries
		worth *= repeatWorth
	}
	bounds := b.within(&r)
	c := b.newCall()
	*c = call{Request: r, bounds: bounds, arrived: now, until: now + r.TTL, attempts: c.attempts[:0]}
	if bounds.DeadlineCap > 0 {
		c.until = min(c.until, now+bounds.DeadlineCap)
	}
	aimLeft := b.aimLeft(&r)
	if b.set.Tier == 0 && class.LateWorth == 0 {
		// An answer past the aim is worth nothing: stop before it, and spare the servers.
		if aimLeft <= b.set.AnswerGrace {
			worth = 0
		} else {
			c.until = min(c.until, now+aimLeft-b.set.AnswerGrace)
		}
	}
	for i := range b.offered {
		b.offered[i] *= 1 - 1.0/mixMemory
	}
	b.offered[b.level(worth)]++
	if b.crowd == 0 && b.room.count == 0 { // nothing has been asked for yet: nothing is waited for
		b.room.since = now
	}
	b.crowd += (float64(len(b.calls)) - b.crowd) / crowdMemory
	if b.set.Tier == 0 && len(b.calls) > 0 && b.rng.Float64() >= b.admits(worth) {
		if b.crowding() > 1 {
			b.limited, b.room.wanted = true, true
		}
		b.act(Action{Kind: Refuse, Request: r.ID, Wait: b.retryAfter(bounds, aimLeft), Reason: Crowded})
		b.release(c)
		return b.out
	}
	b.calls[r.ID] = c
	b.held += 1 / float64(max(1, b.aim(&r)))
	b.retryBudget = min(b.retryBudget+retryRate, retryBurst)
	b.send(c)
	return b.out
}

// aim is the time within which a request earns its full worth.
func (b *Balancer) aim(r *Request) time.Duration {
	class := &b.set.Classes[r.Class]
	return min(class.Aim+time.Duration(class.AimStretch*float64(r.Work)), class.Deadline)
}

// aimLeft is what remains of the aim. A try with less time than others of its class is a later one, cut
// by the client's deadline, and that tells how long the client has waited.
func (b *Balancer) aimLeft(r *Request) time.Duration {
	b.longest[r.Class] = max(b.longest[r.Class], r.TTL)
	left := b.aim(r)
	if r.TTL < b.longest[r.Class]*49/50 {
		left -= b.set.Classes[r.Class].Deadline - r.TTL
	}
	return left
}

// admits is the paper's P(a,b) for the curve of this worth: one below a, zero above b, linear between.
// The curves are stacked, so that a lower worth is shut out before a higher one starts to be refused.
func (b *Balancer) admits(worth float64) float64 {
	level := b.level(worth)
	width := 1 / float64(len(b.levels))
	lo := width * float64(level)
	if worth < b.levels[0] { // a request worth nothing any more: below all others
		lo -= width
	} else if level > 0 {
		lo += math.Pow(1-b.share(level), rareGap)
	}
	return curve(b.pressure(), lo, lo+width)
}

// level is the place of a worth on the stack.
func (b *Balancer) level(worth float64) int {
	at, _ := slices.BinarySearch(b.levels, worth)
	return min(at, len(b.levels)-1)
}

// share is the part of the traffic that lies on a level or above.
func (b *Balancer) share(level int) float64 {
	above, all := 0.0, 0.0
	for i, n := range b.offered {
		all += n
		if i >= level {
			above += n
		}
	}
	return above / all
}

// pressure says where on the stack of curves this node stands: 0 at its foot, 1 at its top. It is what r
// says, or what the calls here say where that is more: some servers turn slow at once when they hold too
// many, long before response times have risen.
func (b *Balancer) pressure() float64 {
	return max((b.r-curveFoot)/(curveTop-curveFoot), (b.crowding()-1)/(crowdTop-1))
}

// crowding is the number of calls here against what this node's part of the servers holds without a crowd.
// Servers that are ejected are no room: the others would else be crowded in their place. A node's few calls
// vary by chance, while the servers see the sum over nodes: so the calls are averaged over some arrivals,
// and what chance leaves of that is no crowd.
func (b *Balancer) crowding() float64 {
	all := len(b.near) + len(b.far)
	ejected, _ := b.faults()
	room := b.room.calls() * b.fleet() / float64(max(1, b.set.Nodes))
	room *= float64(all-ejected) / float64(max(1, all))
	return b.crowd / max(1, room+math.Sqrt(room)/2)
}

// perServer is the number of calls that a server holds, if other nodes have as many as this one.
func (b *Balancer) perServer() float64 {
	return b.crowd * float64(max(1, b.set.Nodes)) / max(1, b.fleet())
}

// fleet is the number of servers that count as room.
func (b *Balancer) fleet() float64 {
	if b.there > 0 {
		return b.there
	}
	return min(float64(b.members()), b.known)
}

// subset returns the i-th server of the subset.
func (b *Balancer) subset(i int) *server {
	if i < len(b.near) {
		return b.near[i]
	}
	return b.far[i-len(b.near)]
}

// curve is (b-r)/(b-a) between a and b; the paper prints (r-a)/(b-a), which would rise with r.
func curve(r, a, b float64) float64 {
	if r <= a {
		return 1
	}
	if r >= b {
		return 0
	}
	return (b - r) / (b - a)
}

// retryAfter spreads the return of refused clients.
func (b *Balancer) retryAfter(bounds *Bounds, aimLeft time.Duration) time.Duration {
	if !b.set.MayAdviseReturn {
		return 0
	}
	wait := max(0, b.set.MaxRetryAfter)
	if bounds.RetryAfter > 0 {
		wait = min(wait, bounds.RetryAfter)
	}
	if aimLeft > 0 {
		wait = min(wait, aimLeft/2)
	}
	return b.jitter(wait)
}

// withinShare meters a tenant's request by a token bucket of one second of its quota.
func (b *Balancer) withinShare(i int) bool {
	t := &b.tenants[i]
	q := b.set.Tenants[i].Quota / float64(max(1, b.set.Nodes))
	t.tokens = min(t.tokens+q*(b.now-t.filled).Seconds(), max(q, 1))
	t.filled = b.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// send gives a call its next attempt, or holds it until a server may take it.
func (b *Balancer) send(c *call) {
	left := c.until - b.now
	if left <= 0 || b.forgotten(c, b.now) { // also while it is held
		b.end(c, b.outOfTime(c, left))
		return
	}
	s := b.pick(c)
	if c.held = s == nil; c.held {
		if c.open == 0 { // a second copy does not wait
			b.act(Action{Kind: After, Token: c.ID, Wait: min(holdStep, left)})
		}
		return
	}
	if b.cold(s) < 1 && !s.spend(b.now) {
		s.tokens--
	}
	s.inflight++
	s.zone.inflight++
	if c.bounds.AttemptTimeout > 0 {
		left = min(left, c.bounds.AttemptTimeout)
	}
	due := b.usually(c)
	span, opened := b.connect(s)
	a := attempt{server: s, sent: b.now, due: b.now + due, span: span, opened: opened}
	copying := c.bounds.SecondCopyAfter
	if copying > 0 && copying < left && c.open == 0 && b.set.Classes[c.Class].Effect == Repeatable {
		a.copyAt = b.now + copying
	}
	c.attempts = append(c.attempts, a)
	c.open++
	act := Action{Kind: Send, Request: c.ID, Server: s.ID, Wait: left}
	if class := &b.set.Classes[c.Class]; c.ran && class.Effect == Keyed { // it may wait for a connection
		act.Within = max(1, class.KeyTTL*9/10-(b.now-c.ranAt))
	}
	b.act(act)
	if a.span >= 0 && due < left {
		b.act(Action{Kind: After, Token: c.ID, Wait: due})
	}
	if a.copyAt > 0 {
		b.act(Action{Kind: After, Token: c.ID, Wait: copying})
	}
}

// outOfTime is why a call that can wait no longer gets no further attempt.
func (b *Balancer) outOfTime(c *call, left time.Duration) Reason {
	switch {
	case c.held:
		return NoServer
	case left <= 0:
		return OutOfTime
	}
	return KeyForgotten
}

// forgotten tells whether the servers may have dropped a keyed call's key by then, some time kept in hand.
func (b *Balancer) forgotten(c *call, then time.Duration) bool {
	class := &b.set.Classes[c.Class]
	return c.ran && class.Effect == Keyed && then-c.ranAt > class.KeyTTL*9/10
}

// connect takes the connection for a send and returns the span of its idle time, and when it was opened.
// Connections that idled for as long as those that proved dead are closed first: a new one costs a
// handshake, a dead one the request. It acts only while sends after such idle times are lost more often than
// answered, at whatever servers: one server that hangs does not make it so.
func (b *Balancer) connect(s *server) (span int, opened time.Duration) {
	if len(s.idle) == 0 {
		return -1, b.now
	}
	last := s.idle[len(s.idle)-1]
	gap := b.now - last.since
	s.idle = s.idle[:len(s.idle)-1]
	if b.set.ConnIdle > 0 && gap >= b.set.ConnIdle {
		s.idle = s.idle[:0] // closed by itself, and so are those that idled for longer
		return -1, b.now
	}
	span = -1
	for d := gapLeast; gap >= d && span < gapSpans-1; d *= 2 {
		span++
	}
	if span >= b.stale {
		s.idle = s.idle[:0]
		b.act(Action{Kind: HangUp, Server: s.ID})
		return -1, b.now
	}
	return span, last.opened
}

// idled books whether a send on an idle connection was lost, and finds the shortest idle time after which
// they are dead.
func (b *Balancer) idled(a *attempt, lost bool) {
	if a.span >= 0 && lost {
		b.gaps[a.span].lost++
	} else if a.span >= 0 {
		b.gaps[a.span].answered++
	}
	var sum idling
	b.stale = gapSpans
	for i := gapSpans - 1; i >= 0; i-- {
		g := b.gaps[i]
		sum.lost, sum.answered = sum.lost+g.lost, sum.answered+g.answered
		if sum.lost >= gapProof && sum.lost > sum.answered && g.lost > g.answered {
			b.stale = i
		}
	}
}

// usually is the time that all answers but few take.
func (b *Balancer) usually(c *call) time.Duration {
	return time.Duration(usualTimes * max(b.late, usualLeast) * float64(b.aim(&c.Request)))
}

// overdue looks for attempts that have had no answer in the usual time. One sent on a connection that proves
// dead hardly reached the server: a second copy goes out where that is harmless, within the retry budget.
// Copies of what is merely slow cost more than they save: the first goes on running.
func (b *Balancer) overdue(c *call) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.done && a.copyAt > 0 && b.now >= a.copyAt {
			a.copyAt = 0
			if b.mayCopy(c, a) {
				b.retryBudget--
				b.maybeRan(c, a)
				b.send(c)
				return
			}
		}
		if a.done || a.overdue || b.now < a.due {
			continue
		}
		a.overdue = true
		if b.idled(a, true); a.span >= b.stale && b.mayCopy(c, a) {
			b.retryBudget--
			b.maybeRan(c, a)
			b.send(c)
			return
		}
	}
}

// mayCopy tells whether a second copy of an attempt may go out.
func (b *Balancer) mayCopy(c *call, a *attempt) bool {
	class := &b.set.Classes[c.Class]
	since := a.sent
	if c.ran {
		since = c.ranAt
	}
	return b.set.MaySecondCopy && class.Effect != Once && c.open == 1 && len(c.attempts) < b.most(c) &&
		b.retryBudget >= 1 && c.until > b.now && (class.Effect != Keyed || b.now-since < class.KeyTTL*9/10)
}

// most is the number of attempts that a call may have.
func (b *Balancer) most(c *call) int {
	most := b.set.MaxTries
	if c.bounds.Attempts > 0 {
		most = min(most, c.bounds.Attempts)
	}
	if c.Budgeted {
		most = min(most, 1+c.Extra)
	}
	return most
}

// backoff is the wait before a call's next attempt.
func (b *Balancer) backoff(c *call) time.Duration {
	wait := c.bounds.BackoffFirst << min(len(c.attempts)-1, 16)
	if most := c.bounds.BackoffMost; most > 0 {
		wait = min(wait, most)
	}
	return wait - time.Duration(c.bounds.BackoffJitter*b.rng.Float64()*float64(wait))
}

// maybeRan notes that an attempt may have run.
func (b *Balancer) maybeRan(c *call, a *attempt) {
	if !c.ran {
		c.ran, c.ranAt, c.ranOn = true, a.sent, a.server
	}
}

// cold is the part of its capacity that a server surely has; 1 when warm.
func (b *Balancer) cold(s *server) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.set.ColdFor {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, float64(age)/float64(b.set.ColdFor))
}

// slowStart is what this node may send a cold server by itself, in sends a second. All nodes together may
// send FallMultiple times what it can do; each takes a fixed part, measured by what its servers answer:
// sends would count a storm as capacity.
func (b *Balancer) slowStart(s *server, safety float64) float64 {
	subset, members := float64(max(1, len(b.near)+len(b.far))), float64(max(1, b.members()))
	sharing := max(1, float64(b.set.Nodes)*subset/members)
	rate := max(b.answers()/subset, b.before) * safety * b.set.FallMultiple * b.cold(s)
	return max(rate, 1/sharing/b.set.FallFor.Seconds())
}

// may tells if a cold server's budget has room. While its part is lent a node sends what it is dealt.
func (b *Balancer) may(s *server) bool {
	if b.cold(s) == 1 {
		return true
	}
	if s.filled < s.lent { // what is lent does not add up here
		s.tokens, s.filled = 0, s.lent
	}
	if b.now < s.lent {
		s.short = s.short || s.held(b.now) == 0 && (s.near || b.noNear)
		return s.held(b.now) > 0
	}
	rate := b.slowStart(s, coldSafety)
	s.tokens = min(s.tokens+rate*(b.now-s.filled).Seconds(), 1+rate*b.set.FallFor.Seconds()/4)
	s.filled = b.now
	return s.tokens >= 1
}

// pick finds the less loaded of two random members of the subset, and in other zones likewise; the far one
// is taken where it is idler by its cost. Where half the subset is ejected the fault is hardly the servers',
// and none of it is trusted.
func (b *Balancer) pick(c *call) *server {
	if c.ran && b.set.Classes[c.Class].Effect == Keyed && b.set.Classes[c.Class].Group != GroupAll {
		for _, trust := range [...]bool{true, false} {
			b.scratch = b.usable(c, b.homes, trust, b.scratch[:0])
			if b.scratch = b.usable(c, b.others, trust, b.scratch); len(b.scratch) > 0 {
				return b.two(b.connected(b.scratch))
			}
		}
		return b.leastDoubtful(c)
	}
	_, out := b.faults()
	trust := 2*out < len(b.near)+len(b.far)
	near := b.choice(c, b.near, trust)
	b.noNear = near == nil
	far := b.choice(c, b.far, trust)
	if near == nil && far == nil {
		return b.leastDoubtful(c)
	}
	if near == nil || far != nil && (b.cost(b.set.Prices.CrossZone)*b.load(far) < b.load(near)) {
		return far
	}
	return near
}

// cost is how many times as loaded a server counts where a send there has a price. A call of b.late aims
// saves b.late*(1-1/x) at one x times as idle; an aim saved is taken to be worth a request, and must exceed
// the price.
func (b *Balancer) cost(price float64) float64 {
	return 1 / max(1e-3, 1-price/max(b.late, 1e-6))
}

// choice picks the less loaded of two random servers of a list that may take a call. Of a long list two are
// drawn until they may; a short one, or one of which few may, is gone through.
func (b *Balancer) choice(c *call, list []*server, trust bool) *server {
	if len(list) > longList && b.unmade <= unmadeMost {
		var first *server
		for range manyDraws {
			s := list[b.rng.IntN(len(list))]
			if s == first || !b.fits(c, s, trust, true) {
				continue
			}
			if first == nil {
				first = s
			} else if b.load(s) < b.load(first) {
				return s
			} else {
				return first
			}
		}
	}
	b.scratch = b.usable(c, list, trust, b.scratch[:0])
	return b.two(b.connected(b.scratch))
}

// two is the power of two choices. A send that was dealt is lost if it is not made soon, and others go
// without it: it comes first, one at a time.
func (b *Balancer) two(list []*server) *server {
	for _, s := range list {
		if s.inflight == 0 && s.held(b.now) > 0 {
			return s
		}
	}
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	i := b.rng.IntN(len(list))
	j := (i + 1 + b.rng.IntN(len(list)-1)) % len(list)
	if b.load(list[j]) < b.load(list[i]) {
		i = j
	}
	return list[i]
}

// load is a server's load: this node's own calls there, each weighed by how slow the server has lately
// been. With one call in flight or none, as on most servers of a large fleet, the count alone is blind. Where
// a connection would have to be made, its price counts as a far server's does.
func (b *Balancer) load(s *server) float64 {
	load := float64(s.inflight+1) * b.slowness(s)
	if len(s.idle) == 0 {
		load *= b.cost(b.set.Prices.Handshake)
	}
	return load
}

// slowness is a server's response time against that of all: what its size says, and what was seen beyond
// that, which fades.
func (b *Balancer) slowness(s *server) float64 {
	usual := b.weight / s.weight
	if s.inflight > 0 || s.held(b.now) == 0 {
		usual /= b.cold(s)
	}
	return usual + s.late*math.Exp(-float64(b.now-s.lateAt)/float64(lateMemory))
}

// learn books the response time of an attempt against that of all servers.
func (b *Balancer) learn(s *server, x float64) {
	b.late += (x - b.late) * lateGain / 8
	slow := b.slowness(s)
	s.late *= math.Exp(-float64(b.now-s.lateAt) / float64(lateMemory))
	s.late += (x/max(b.late, 1e-6) - slow) * lateGain
	s.lateAt = b.now
}

// fits tells whether a server may take a call; ejected ones may not where that is trusted.
func (b *Balancer) fits(c *call, s *server, trust, others bool) bool {
	if trust && (s.out(b.now) || s.zone.out(b.now)) || b.unproven(s) || !b.allowed(c, s) {
		return false
	}
	// Not the server that just failed, unless a keyed call has no other: it would wait in vain.
	n := len(c.attempts)
	return !(trust && n > 0 && c.attempts[n-1].server == s && others)
}

// allowed tells whether the rules let a server take a call: its key's group, a cold server's budget, and
// what may answer at its address.
func (b *Balancer) allowed(c *call, s *server) bool {
	return b.inGroup(c, s) && b.may(s) && !(s.Untried && b.set.Classes[c.Class].Effect == Once)
}

// usable appends the servers of a list that may take a call.
func (b *Balancer) usable(c *call, list []*server, trust bool, to []*server) []*server {
	for _, s := range list {
		if b.fits(c, s, trust, len(list) > 1) {
			to = append(to, s)
		}
	}
	return to
}

// connected keeps the servers with a connection to spare, where many accept none, or too slowly.
func (b *Balancer) connected(list []*server) []*server {
	idle := func(s *server) bool { return len(s.idle) > 0 }
	if b.unmade > unmadeMost && slices.ContainsFunc(list, idle) {
		return slices.DeleteFunc(list, func(s *server) bool { return !idle(s) })
	}
	return list
}

// inGroup tells whether a keyed call that may have run is known to this server.
func (b *Balancer) inGroup(c *call, s *server) bool {
	class := &b.set.Classes[c.Class]
	return !c.ran || class.Effect != Keyed || class.Group == GroupAll ||
		class.Group == GroupZone && s.Zone == c.ranOn.Zone ||
		class.Group == GroupCell && s.Cell == c.ranOn.Cell
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome, out []Action) []Action {
	b.begin(now, out)
	c := b.calls[o.Request]
	if c != nil && (o.Attempt < 0 || o.Attempt >= len(c.attempts) || c.attempts[o.Attempt].done) {
		return b.out // not one of ours, or told before
	}
	if s := b.servers[o.Server]; s != nil {
		s.inflight = max(0, s.inflight-1)
		s.zone.inflight = max(0, s.zone.inflight-1)
		b.judge(s, o.Result)
		opened := now - o.Elapsed
		if c != nil {
			opened = c.attempts[o.Attempt].connected(&o)
		}
		s.prove(now, &o, opened)
		if s.Health == Removed && s.inflight == 0 {
			delete(b.servers, o.Server)
		}
	}
	if c == nil {
		return b.out
	}
	a := &c.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	c.Extra -= o.Spent
	b.unmade *= 1 - 1.0/unmadeMemory
	if o.Result == Unconnected {
		b.unmade += 1.0 / unmadeMemory
	}
	if o.Result == Served || o.Result == Errored || o.Result == Full || o.Result == Spoilt {
		if b.idled(a, false); !o.Closed && o.Result != Spoilt {
			a.server.idle = append(a.server.idle, idleConn{since: b.now, opened: a.opened})
		}
	} else if o.Result == Broken || o.Result == TimedOut && !a.overdue {
		b.idled(a, true)
	}
	c.open--
	if o.Result != Cancelled && o.Result != NotSent {
		took, aim := o.Elapsed, b.aim(&c.Request)
		if o.Result != Served { // else a server that fails fast would look fast, and draw all calls
			took = max(took, aim)
		} else {
			a.server.answered++
		}
		x := float64(took) / float64(max(1, aim))
		b.learn(a.server, x)
		b.room.took(now, x-float64(o.Dial)/float64(max(1, aim)), o.Result == Full, b.perServer())
	}
	if o.Final {
		b.drop(c, 0)
		b.cancel(c)
		b.release(c)
		return b.out
	}
	if o.Result != Full && o.Result != Unconnected && o.Result != NotSent {
		b.maybeRan(c, a)
	}
	if c.open == 0 {
		b.again(c)
	}
	return b.out
}

// judge ejects a server that fails again and again, and a whole zone where all of its servers do: it is
// lost, or cut off from here, and to find that out server by server would take many calls.
func (b *Balancer) judge(s *server, r Result) {
	switch r {
	case Served:
		b.rate, b.rateAt = b.answers()+1/rateMemory.Seconds(), b.now
		s.served()
		s.zone.served()
	case TimedOut, Unconnected, Broken, Errored: // errors in a row are the server's own, not its zone's
		if r != Errored && (s.fails == 0 || s.zone.ejections > 0) { // one bad server is counted once
			s.zone.fail(b.now, min(2*ejectAfter, max(ejectAfter, s.zone.members)))
		}
		s.fail(b.now, ejectAfter)
		b.faulty = true
	}
}

// again decides between a further attempt and giving up.
func (b *Balancer) again(c *call) {
	class := &b.set.Classes[c.Class]
	// Drawn on also where nothing ran: tries turned away by a full tier multiply from tier to tier into the
	// storm that keeps it full. Those that found no connection reached no server's queue, and are free.
	last := c.attempts[len(c.attempts)-1].result
	free := last == Unconnected
	allowed := c.bounds.RetryOn == 0 || c.bounds.RetryOn&last.Bit() != 0
	stop := NoReason
	switch {
	case len(c.attempts) >= b.most(c):
		stop = OutOfAttempts
	case b.now >= c.until:
		stop = OutOfTime
	case !free && b.retryBudget < 1:
		stop = OutOfRetryBudget
	case c.ran && class.Effect == Once:
		stop = MayHaveRun
	case !allowed:
		stop = RouteForbids
	}
	wait := time.Duration(0)
	if stop == NoReason && c.bounds.BackoffFirst > 0 {
		// What would come too late after the wait is given up now.
		wait = b.backoff(c)
		if b.now+wait >= c.until {
			stop = OutOfTime
		} else if b.forgotten(c, b.now+wait) {
			stop = KeyForgotten
		}
	}
	if stop != NoReason {
		b.end(c, stop)
		return
	}
	if !free {
		b.retryBudget--
	}
	if wait > 0 {
		c.resume = b.now + wait
		b.act(Action{Kind: After, Token: c.ID, Wait: wait})
		return
	}
	b.send(c)
}

// end gives the final answer. A refusal is a promise that trying again is harmless, so it is given only
// where that is true.
func (b *Balancer) end(c *call, why Reason) {
	class := &b.set.Classes[c.Class]
	harmless := !c.ran || class.Effect == Repeatable ||
		class.Effect == Keyed && class.Group == GroupAll && !b.forgotten(c, b.now)
	if harmless && b.now < c.until {
		wait := b.retryAfter(c.bounds, b.aim(&c.Request)-(b.now-c.arrived))
		if c.ran && class.Effect == Keyed { // the client must be back while its key is known
			wait = min(wait, class.KeyTTL*9/10-(b.now-c.ranAt))
		}
		b.act(Action{Kind: Refuse, Request: c.ID, Wait: wait, Reason: why})
	} else {
		b.act(Action{Kind: Fail, Request: c.ID, Reason: why})
	}
	b.drop(c, b.aim(&c.Request))
	b.release(c)
}

// drop forgets a finished call and books its response time, in units of its aim. One that was not served
// counts as least at its aim: else quick failures would read as a quick service and let in more.
func (b *Balancer) drop(c *call, least time.Duration) {
	delete(b.calls, c.ID)
	aim := float64(max(1, b.aim(&c.Request)))
	b.held = max(0, b.held-1/aim)
	b.sum += float64(max(0, least-(b.now-c.arrived))) / aim
	b.count++
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Duration, p Probed, out []Action) []Action {
	b.begin(now, out)
	return b.out
}

// Timer takes a due After.
func (b *Balancer) Timer(now time.Duration, t Timer, out []Action) []Action {
	b.begin(now, out)
	if t.Token == askToken {
		if !b.asking && !b.watching {
			b.asking = true
			b.act(Action{Kind: Watch})
		}
		return b.out
	}
	if c := b.calls[t.Token]; c != nil && c.open == 0 {
		if b.now >= c.resume { // else a timer from before its back-off
			b.send(c)
		}
	} else if c != nil {
		b.overdue(c)
	}
	return b.out
}

// Gone takes word that a client has left.
func (b *Balancer) Gone(now time.Duration, g Gone, out []Action) []Action {
	b.begin(now, out)
	if c := b.calls[g.Request]; c != nil {
		b.drop(c, 0)
		b.cancel(c)
		b.release(c)
	}
	return b.out
}

// cancel calls off what a finished call has out.
func (b *Balancer) cancel(c *call) {
	for i := range c.attempts {
		if b.set.MayCancel && !c.attempts[i].done {
			b.act(Action{Kind: Cancel, Request: c.ID, Attempt: i})
		}
	}
}
