// The decisions of curlewring; its interface stands in decide/api.go.
package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	period       = 200 * time.Millisecond // between two readings of r
	tierCrowd    = 2                      // calls a server, for each tier on, that are surely no crowd
	repeatWorth  = 0.9                    // a client's repeat stands a step below a first try
	crowdMemory  = 8                      // arrivals over which the calls here are averaged
	mixMemory    = 64                     // arrivals over which the shares of the levels are averaged
	countMemory  = 24                     // outcomes over which r is averaged
	retryRate    = 0.2                    // retry budget: attempts earned by each first try
	retryBurst   = 10
	gapSpans     = 8                     // spans of idle time told apart, each double the one before
	gapMemory    = 10 * time.Second      // over which what became of sends after such idle times is kept
	unmadeMemory = 32                    // attempts over which the part without a connection is averaged
	holdStep     = 10 * time.Millisecond // wait before looking again for a server
	coldPooled   = 0.8                   // part of the cold budget that nodes deal among themselves
	rateMemory   = 5 * time.Second       // how slowly the send rate is followed
	mostSpare    = 256                   // calls kept to be used again
	askToken     = 1 << 62               // timer that asks for the list; others carry a request's id
)

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
	bounds  []RoutePolicy // the operators', behind those of no route; never written to: calls point into it
	levels  []float64     // distinct worths, ascending
	offered []float64     // arrivals on each, of late

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
		servers:     map[string]*server{},
		calls:       map[uint64]*call{},
		zones:       map[string]*zone{},
		tenants:     make([]tenant, len(set.Tenants)),
		bounds:      make([]RoutePolicy, 1),
		longest:     make([]time.Duration, len(set.Classes)),
		periodEnd:   now + period,
		rateAt:      now,
		retryBudget: retryBurst,
		stale:       gapSpans,
	}
	aim := time.Duration(math.MaxInt64)
	for _, c := range set.Classes {
		b.levels, aim = append(b.levels, c.Worth), min(aim, c.LatencyTarget)
	}
	if set.MarksRetries {
		b.stack(repeatWorth)
	}
	if len(set.Tenants) > 0 {
		b.stack(set.OverShareWorth)
	}
	// A server also holds the calls that wait for the tiers below.
	b.room = newRoom(set.LimitMode, float64(1+tierCrowd*max(2, set.Tiers-set.Tier)), now, aim)
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

func (b *Balancer) act(a Action) { b.out = append(b.out, a) }

// jitter takes up to half off a wait.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()/2) * float64(wait))
}

// Routes takes new bounds, for requests that come from now on; those under way keep theirs.
func (b *Balancer) SetRoutePolicies(now time.Duration, bounds []RoutePolicy, out []Action) []Action {
	b.begin(now, out)
	b.bounds = append([]RoutePolicy{{}}, bounds...)
	return b.out
}

// within returns the bounds of a request.
func (b *Balancer) within(r *Request) *RoutePolicy {
	if r.Route < 0 || r.Route >= len(b.bounds) {
		return &b.bounds[0]
	}
	return &b.bounds[r.Route]
}

// Request takes a new call: a verdict at the front, then a server. A call of an unknown class fails, one told
// twice is passed over, an unknown tenant counts as none.
func (b *Balancer) HandleRequest(now time.Duration, r Request, out []Action) []Action {
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
	if r.IsRetry { // part of its aim is gone, and refused clients would crowd out the first tries
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
		b.act(Action{Kind: Refuse, Request: r.ID, Wait: b.retryAfter(bounds, aimLeft), Reason: Overloaded})
		b.release(c)
		return b.out
	}
	b.calls[r.ID] = c
	b.held += 1 / float64(max(1, b.aim(&r)))
	b.retryBudget = min(b.retryBudget+retryRate, retryBurst)
	b.send(c)
	return b.out
}

// subset returns the i-th server of the subset.
func (b *Balancer) subset(i int) *server {
	if i < len(b.near) {
		return b.near[i]
	}
	return b.far[i-len(b.near)]
}

// Outcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome, out []Action) []Action {
	b.begin(now, out)
	c := b.calls[o.Request]
	if c != nil && (o.Attempt < 0 || o.Attempt >= len(c.attempts) || c.attempts[o.Attempt].done) {
		return b.out // not one of ours, or told before
	}
	if s := b.servers[o.Server]; s != nil {
		s.inflight = max(0, s.inflight-1)
		s.zone.inflight = max(0, s.zone.inflight-1)
		b.judge(s, o.Result)
		s.prove(now, &o)
		s.zone.book(now, o.Result)
		if s.Health == Removed && s.inflight == 0 {
			delete(b.servers, o.Server)
		}
	}
	if c == nil {
		return b.out
	}
	a := &c.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	c.ExtraAttempts -= o.Spent
	b.unmade *= 1 - 1.0/unmadeMemory
	if o.Result == ConnectFailed {
		b.unmade += 1.0 / unmadeMemory
	}
	if o.Result == Served || o.Result == Errored || o.Result == Rejected || o.Result == Malformed {
		if b.idled(a, false); !o.ConnClosed && o.Result != Malformed {
			a.server.idle = append(a.server.idle, b.now)
		}
	} else if o.Result == ConnectionLost || o.Result == TimedOut && !a.overdue {
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
		b.room.took(now, x-float64(o.DialTime)/float64(max(1, aim)), o.Result == Rejected, b.perServer())
	}
	if o.Final {
		b.drop(c, 0)
		b.cancel(c)
		b.release(c)
		return b.out
	}
	if o.Result != Rejected && o.Result != ConnectFailed && o.Result != NotSent {
		b.maybeRan(c, a)
	}
	if c.open == 0 {
		b.again(c)
	}
	return b.out
}

// Probed takes the result of a probe.
func (b *Balancer) HandleProbe(now time.Duration, p ProbeResult, out []Action) []Action {
	b.begin(now, out)
	return b.out
}

// Timer takes a due After.
func (b *Balancer) HandleTimer(now time.Duration, t Timer, out []Action) []Action {
	b.begin(now, out)
	if t.Token == askToken {
		if !b.asking && !b.watching {
			b.asking = true
			b.act(Action{Kind: WatchList})
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
func (b *Balancer) HandleDisconnect(now time.Duration, g Disconnect, out []Action) []Action {
	b.begin(now, out)
	if c := b.calls[g.Request]; c != nil {
		b.drop(c, 0)
		b.cancel(c)
		b.release(c)
	}
	return b.out
}
