// Event handlers of the Balancer; see api.go for the package's interface.
package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	measurePeriod         = 200 * time.Millisecond // interval between updates of the latency ratio
	assumedCallsPerTier   = 2                      // calls per server and remaining tier without queueing
	retryWorthFactor      = 0.9                    // retries rank just below first attempts
	openCallsMemory       = 8                      // arrivals over which the open calls are averaged
	trafficMixMemory      = 64                     // arrivals over which the mix of worths is averaged
	latencyRatioMemory    = 24                     // outcomes over which the latency ratio is averaged
	retryBudgetPerRequest = 0.2                    // retries that each admitted request adds to the budget
	retryBudgetMax        = 10
	idleBuckets           = 8                     // buckets of idle time, each twice as long as the previous
	idleStatsMemory       = 10 * time.Second      // time constant of the idle statistics
	connectFailureMemory  = 32                    // attempts over which connection failures are averaged
	holdInterval          = 10 * time.Millisecond // wait before looking for an available server again
	coldPoolShare         = 0.8                   // fraction of the cold budget that is granted by the pool
	answerRateMemory      = 5 * time.Second       // time constant of the answer rate
	maxFreeCalls          = 256                   // calls kept for reuse
	watchTimerToken       = 1 << 62               // timer that renews the watch; others carry a request id
)

// Balancer makes the decisions of one node.
type Balancer struct {
	noLocalServer bool // no server of the own zone can take the current call
	cfg           Settings
	rng           *rand.Rand
	now           time.Duration
	actions       []Action
	servers       map[string]*server
	localServers  []*server // healthy servers of the own zone, in ring order
	remoteServers []*server // healthy servers of other zones, in ring order
	localSubset   []*server // servers of the own zone that this node sends to
	remoteSubset  []*server // servers of other zones that this node sends to
	subsetSize    float64
	subsetStarts  [2]uint64 // where the subsets start on the rings of the own zone and of the others
	scratch       []*server
	maybeEjected  bool    // a server of the subset, or its zone, may be ejected
	freeCalls     []*call // for reuse
	zones         map[string]*zone
	calls         map[uint64]*call
	tenants       []tenant
	// policies holds the empty policy at index 0, then the operators'. It is replaced, never modified,
	// since calls point into it.
	policies        []RoutePolicy
	worthLevels     []float64 // distinct worths, ascending
	arrivalsByLevel []float64 // recent arrivals at each level

	latencyRatio          float64          // response time as a multiple of the latency target, smoothed
	periodLatency         float64          // time that calls spent here in this period, in latency targets
	finishedCalls         float64          // calls of all previous periods
	limit                 concurrencyLimit // concurrency limit of a server
	meanOpenCalls         float64          // open calls, averaged over arrivals
	countedServers        float64          // servers that count as capacity
	limitReached          bool             // the limit has caused a refusal in this period
	openLoad              float64          // open calls, each counted as 1 / its latency target
	periodCalls           float64
	periodEnd             time.Duration
	answerRate            float64 // responses per second, smoothed
	answerRateAt          time.Duration
	priorRate             float64 // responses/s of a server to one node before the restart; 0: unknown
	fleetSize             float64 // number of servers if the list is part of a stored one, else 0
	retryBudget           float64
	idleStats             [idleBuckets]idleStat
	staleBucket           int     // first bucket whose connections are dead; idleBuckets: none
	connectFailureRate    float64 // fraction of the attempts that found no connection
	meanLatency           float64 // mean response time of attempts, in latency targets
	meanWeight, weightSum float64 // over the healthy servers
	watchRequested        bool
	watching              bool
	watchTries            int
	confirmedAt           time.Duration   // as of when discovery last confirmed the list; 0: never
	confirmedUntil        time.Duration   // from then on missed changes may count as announced; 0: never
	maxTTL                []time.Duration // largest TTL seen, by class
}

// New returns the Balancer of a node that starts now.
func New(cfg Settings, seed uint64, now time.Duration) *Balancer {
	b := &Balancer{
		cfg:          cfg,
		rng:          rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now:          now,
		servers:      map[string]*server{},
		calls:        map[uint64]*call{},
		zones:        map[string]*zone{},
		tenants:      make([]tenant, len(cfg.Tenants)),
		policies:     make([]RoutePolicy, 1),
		maxTTL:       make([]time.Duration, len(cfg.Classes)),
		periodEnd:    now + measurePeriod,
		answerRateAt: now,
		retryBudget:  retryBudgetMax,
		staleBucket:  idleBuckets,
	}
	shortestTarget := time.Duration(math.MaxInt64)
	for _, c := range cfg.Classes {
		b.worthLevels, shortestTarget = append(b.worthLevels, c.Worth), min(shortestTarget, c.LatencyTarget)
	}
	if cfg.MarksRetries {
		b.addScaledLevels(retryWorthFactor)
	}
	if len(cfg.Tenants) > 0 {
		b.addScaledLevels(cfg.OverShareWorth)
	}
	// A server also holds the calls that wait for the tiers below.
	b.limit = newConcurrencyLimit(cfg.LimitMode,
		float64(1+assumedCallsPerTier*max(2, cfg.Tiers-cfg.Tier)), now, shortestTarget)
	slices.Sort(b.worthLevels)
	b.worthLevels = slices.Compact(b.worthLevels)
	b.arrivalsByLevel = slices.Repeat(
		[]float64{trafficMixMemory / float64(max(1, len(b.worthLevels)))}, len(b.worthLevels))
	return b
}

// addScaledLevels adds a level for each existing one, its worth multiplied by a factor.
func (b *Balancer) addScaledLevels(factor float64) {
	for _, worth := range b.worthLevels {
		b.worthLevels = append(b.worthLevels, worth*factor)
	}
}

// beginEvent sets the time and the output buffer of an event; every handler calls it first.
func (b *Balancer) beginEvent(now time.Duration, out []Action) {
	b.periodLatency += b.openLoad * float64(now-b.now)
	b.now, b.actions = now, out
	if now < b.periodEnd {
		return
	}
	// Without finished calls the ratio stays as it is. Few of them change it little: otherwise one slow
	// response would make a node with little traffic refuse everything. The same holds for the first
	// update, where a burst late in the period has many open calls and one or two finished ones.
	if memory := min(latencyRatioMemory, b.finishedCalls); b.periodCalls > 0 {
		if memory == 0 {
			memory = firstSamples
		}
		b.latencyRatio += (b.periodLatency/b.periodCalls - b.latencyRatio) *
			b.periodCalls / (b.periodCalls + memory)
		b.finishedCalls += b.periodCalls
	}
	b.growCountedServers()
	b.limit.update(now, b.callsPerServer())
	for i := range b.idleStats {
		b.idleStats[i].lost *= 1 - float64(measurePeriod)/float64(idleStatsMemory)
		b.idleStats[i].answered *= 1 - float64(measurePeriod)/float64(idleStatsMemory)
	}
	b.periodLatency, b.periodCalls = 0, 0
	b.periodEnd = now + measurePeriod
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter shortens a wait by up to half, at random.
func (b *Balancer) jitter(wait time.Duration) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()/2) * float64(wait))
}

// SetRoutePolicies replaces the policies for new requests; open requests keep theirs.
func (b *Balancer) SetRoutePolicies(now time.Duration, policies []RoutePolicy, out []Action) []Action {
	b.beginEvent(now, out)
	b.policies = append([]RoutePolicy{{}}, policies...)
	return b.actions
}

// policyFor returns the policy of a request.
func (b *Balancer) policyFor(r *Request) *RoutePolicy {
	if r.Route < 0 || r.Route >= len(b.policies) {
		return &b.policies[0]
	}
	return &b.policies[r.Route]
}

// HandleRequest takes a new request: first the front tier decides on admission, then a server is chosen. A
// request of an unknown class or with no time left fails, one with the id of an open request is ignored, and
// an unknown tenant counts as none.
func (b *Balancer) HandleRequest(now time.Duration, r Request, out []Action) []Action {
	b.beginEvent(now, out)
	if b.calls[r.ID] != nil {
		return b.actions // duplicate
	}
	if r.Class < 0 || r.Class >= len(b.cfg.Classes) {
		b.emit(Action{Kind: Fail, Request: r.ID, Reason: UnknownClass})
		return b.actions
	}
	if r.TTL <= 0 { // it says nothing of the servers or of the traffic that they could serve
		b.emit(Action{Kind: Fail, Request: r.ID, Reason: DeadlineExceeded})
		return b.actions
	}
	class := &b.cfg.Classes[r.Class]
	worth := class.Worth
	if r.Tenant >= 0 && r.Tenant < len(b.tenants) && !b.takeQuotaToken(r.Tenant) {
		worth *= b.cfg.OverShareWorth
	}
	if r.IsRetry {
		// It has used up part of its latency target, and retries of refused clients must not displace first
		// attempts.
		worth *= retryWorthFactor
	}
	policy := b.policyFor(&r)
	c := b.newCall()
	*c = call{Request: r, policy: policy, arrived: now, giveUpAt: now + r.TTL, attempts: c.attempts[:0]}
	if policy.DeadlineCap > 0 {
		c.giveUpAt = min(c.giveUpAt, now+policy.DeadlineCap)
	}
	targetLeft := b.targetLeft(&r)
	if b.cfg.Tier == 0 && class.LateWorth == 0 {
		// A response after the latency target is worth nothing: give up before it to spare the servers.
		if targetLeft <= b.cfg.AnswerGrace {
			worth = 0
		} else {
			c.giveUpAt = min(c.giveUpAt, now+targetLeft-b.cfg.AnswerGrace)
		}
	}
	for i := range b.arrivalsByLevel {
		b.arrivalsByLevel[i] *= 1 - 1.0/trafficMixMemory
	}
	b.arrivalsByLevel[b.worthLevel(worth)]++
	if b.meanOpenCalls == 0 && b.limit.count == 0 { // no request so far, so no response is outstanding
		b.limit.since = now
	}
	b.meanOpenCalls += (float64(len(b.calls)) - b.meanOpenCalls) / openCallsMemory
	if b.cfg.Tier == 0 && len(b.calls) > 0 && b.rng.Float64() >= b.admitProbability(worth) {
		if b.utilization() > 1 {
			b.limitReached, b.limit.reached = true, true
		}
		b.emit(Action{Kind: Refuse, Request: r.ID,
			Wait: b.retryAfter(policy, targetLeft), Reason: Overloaded})
		b.recycleCall(c)
		return b.actions
	}
	b.calls[r.ID] = c
	b.openLoad += 1 / float64(max(1, b.latencyTarget(&r)))
	b.retryBudget = min(b.retryBudget+retryBudgetPerRequest, retryBudgetMax)
	b.send(c)
	return b.actions
}

// subsetServer returns the i-th server of the subset.
func (b *Balancer) subsetServer(i int) *server {
	if i < len(b.localSubset) {
		return b.localSubset[i]
	}
	return b.remoteSubset[i-len(b.localSubset)]
}

// HandleOutcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome, out []Action) []Action {
	b.beginEvent(now, out)
	c := b.calls[o.Request]
	if c != nil && (o.Attempt < 0 || o.Attempt >= len(c.attempts) || c.attempts[o.Attempt].done) {
		return b.actions // unknown attempt or duplicate outcome
	}
	if s := b.servers[o.Server]; s != nil {
		s.inflight = max(0, s.inflight-1)
		s.zone.inflight = max(0, s.zone.inflight-1)
		b.updateHealth(s, o.Result)
		s.recordOutcome(now, &o)
		s.recordSuccessor(now, &o)
		s.zone.recordResult(now, o.Result)
		if s.Health == Removed && s.inflight == 0 {
			delete(b.servers, o.Server)
		}
	}
	if c == nil {
		return b.actions
	}
	a := &c.attempts[o.Attempt]
	a.done, a.result = true, o.Result
	c.ExtraAttempts -= o.Spent
	b.connectFailureRate *= 1 - 1.0/connectFailureMemory
	if o.Result == ConnectFailed {
		b.connectFailureRate += 1.0 / connectFailureMemory
	}
	if o.Result == Served || o.Result == Errored || o.Result == Rejected || o.Result == Malformed {
		if b.recordIdleSend(a, false); !o.ConnClosed && o.Result != Malformed {
			a.server.idleConns = append(a.server.idleConns, b.now)
		}
	} else if o.Result == ConnectionLost || o.Result == TimedOut && !a.overdue {
		b.recordIdleSend(a, true)
	}
	c.openAttempts--
	if o.Result != Cancelled && o.Result != NotSent {
		took, target := o.Elapsed, b.latencyTarget(&c.Request)
		if o.Result != Served { // otherwise a server that fails fast would look fast and attract all calls
			took = max(took, target)
		} else {
			a.server.answered++
		}
		latency := float64(took) / float64(max(1, target))
		b.recordLatency(a.server, latency)
		b.limit.record(now, latency-float64(o.DialTime)/float64(max(1, target)),
			o.Result == Rejected, b.callsPerServer())
	}
	if o.Final {
		b.removeCall(c, 0)
		b.cancelAttempts(c)
		b.recycleCall(c)
		return b.actions
	}
	if o.Result != Rejected && o.Result != ConnectFailed && o.Result != NotSent {
		b.markMayHaveRun(c, a)
	}
	if c.openAttempts == 0 {
		b.retryOrFinish(c)
	}
	return b.actions
}

// HandleProbe takes the result of a probe, which no decision uses.
func (b *Balancer) HandleProbe(now time.Duration, p ProbeResult, out []Action) []Action {
	b.beginEvent(now, out)
	return b.actions
}

// HandleTimer takes a timer that has fired.
func (b *Balancer) HandleTimer(now time.Duration, t Timer, out []Action) []Action {
	b.beginEvent(now, out)
	if t.Token == watchTimerToken {
		if !b.watchRequested && !b.watching {
			b.watchRequested = true
			b.emit(Action{Kind: WatchList})
		}
		return b.actions
	}
	if c := b.calls[t.Token]; c != nil && c.openAttempts == 0 {
		if b.now >= c.notBefore { // otherwise the timer was started before the back-off
			b.send(c)
		}
	} else if c != nil {
		b.checkOverdue(c)
	}
	return b.actions
}

// HandleDisconnect takes the departure of a client.
func (b *Balancer) HandleDisconnect(now time.Duration, d Disconnect, out []Action) []Action {
	b.beginEvent(now, out)
	if c := b.calls[d.Request]; c != nil {
		b.removeCall(c, 0)
		b.cancelAttempts(c)
		b.recycleCall(c)
	}
	return b.actions
}
