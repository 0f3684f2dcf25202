package node

import (
	"container/heap"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/bootstrap"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/discovery"
	"curlewring/internal/node/front"
	"curlewring/internal/node/upstream"
	"curlewring/internal/operators/routes"
	"curlewring/internal/servers/endpoints"
)

const (
	// answerMargin is taken off a request's TTL before the balancer sees it, so that the
	// last byte of the response is written before the client's deadline.
	answerMargin = 10 * time.Millisecond
	// safetyMargin before the deadline, the loop itself fails a request that the balancer
	// has not answered.
	safetyMargin  = 5 * time.Millisecond
	sweepInterval = time.Second
)

// answerStatus is the kind of final answer that a request got.
type answerStatus int

const (
	served  answerStatus = iota
	refused              // a retry is safe
	failed
	overdue // failed by the loop, as the balancer had no answer in time
)

// String returns the name of the status in logs.
func (s answerStatus) String() string {
	return [...]string{served: "served", refused: "refused", failed: "failed", overdue: "overdue"}[s]
}

// answer is the final answer to a request, as handed to requestHandler.respond.
type answer struct {
	answerStatus
	response   *upstream.Response // set for served
	retryAfter time.Duration      // set for refused; 0: none
	spent      string             // value of the spent-budget header; "": none
}

// pendingRequest is a request without a final answer, or with attempts still in flight.
type pendingRequest struct {
	upstreamRequest *upstream.Request
	path            string // percent-decoded
	request         decide.Request
	deadline        time.Duration // when the client stops waiting
	token           front.Token   // identifies the client connection to answer on
	txn             string        // X-Txn header; reserved until the request is answered and no attempt is out
	arrivedAt       time.Duration // when the whole request had been read
	answered        bool
	finished        atomic.Bool // answered, or its client disconnected: no further attempt is sent
	attempts        []*attempt
	openAttempts    int            // attempts in flight
	budget          *requestBudget // nil: budgets are off
	mayHaveRun      bool           // an attempt may have been executed
	txnReleased     bool           // the reservation of txn has ended
}

// attempt is one try of a request at one server.
type attempt struct {
	pending *pendingRequest
	number  int
	server  string
	upstream.Canceler
}

// Events that the loop handles, besides timers and discovery.Update.
type (
	requestArrived     struct{ *pendingRequest }
	clientDisconnected struct{ *pendingRequest }
	attemptEnded       struct {
		*attempt
		upstream.Outcome
		elapsed time.Duration
	}
	shutdownRequested struct{} // fail every request that is still pending

	// backgroundStep is a slice of background work on state that the loop owns.
	backgroundStep struct {
		step  func(slice time.Duration) (took time.Duration, more bool)
		slice time.Duration
		done  chan<- stepResult
	}

	configReloaded struct {
		routes    *routes.Table
		discovery string        // address
		done      chan struct{} // closed once both are applied
	}
)

// stepResult is the outcome of one step of background work.
type stepResult struct {
	took time.Duration
	more bool
}

// knownServer is a server of the current list.
type knownServer struct {
	upstream.Target
	sendable     bool          // may receive new attempts
	lastServed   time.Duration // last served answer; maintained only when state is saved
	lastRecorded time.Duration // value of lastServed that was saved last
}

// loop owns the decide.Balancer. It handles events one at a time on a single goroutine,
// executes the actions that the balancer returns, and never blocks on a socket.
type loop struct {
	clock             clock.Clock
	settings          *decide.Settings
	balancer          *decide.Balancer
	upstream          *upstream.Pool
	discovery         *discovery.Client
	log               *slog.Logger
	trace             *trace                        // nil: debug logging is off
	budgets           *budgets                      // nil: budgets are off
	initialRoutes     *routes.Table                 // route table of the configuration at startup
	respond           func(*pendingRequest, answer) // delivers a final answer; must not block
	releaseTxn        func(*pendingRequest, time.Duration)
	scheduleApplyList func()                       // wakes the job that runs applyQueuedChanges
	maxListAtOnce     int                          // longer lists are applied in steps
	onSweep           func()                       // called every sweepInterval to expire old state
	reportLag         func(now, lag time.Duration) // reports how long a request waited for the loop

	view         *endpoints.View              // reconciles the lists that discovery sends
	staleness    *endpoints.StalenessDetector // decides when to refetch the list early
	confirmation *endpoints.Confirmation      // tracks until when the list counts as confirmed
	callTiming   *endpoints.CallTiming        // spreads the nodes' first calls to discovery
	saved        *savedState                  // state kept over restarts; nil: none
	bootstrap    *bootstrap.Runner            // gets a first list from other nodes; nil: only from discovery
	pool         *coldServerPool              // cold-server budgets shared with other nodes; nil: not shared

	ctx    context.Context // cancellation stops the loop and all attempts
	events chan any
	ready  atomic.Bool // at least one server may receive attempts

	// The fields below belong to the goroutine in run.
	mayAskDiscovery bool // bootstrap has allowed a call to discovery
	watchDeferred   bool // startWatch was called before mayAskDiscovery
	now             time.Duration
	runningAttempts sync.WaitGroup
	shuttingDown    bool // new requests are failed at once
	nextID          uint64
	routes          *routes.Table
	pending         map[uint64]*pendingRequest
	servers         map[string]*knownServer
	startTimes      map[string]time.Duration
	sendable        int                   // servers that may receive new attempts
	queuedChanges   endpoints.ChangeQueue // changes of long lists that are not applied yet
	lastGeneration  uint64                // generation of the last list from discovery
	watchRequested  bool                  // startWatch has begun a first watch
	releaseAt       time.Duration         // when the view releases held-back changes; 0: never
	retryAt         time.Duration         // when failed servers of a stale list are retried; 0: never
	timers          timers
	actions         []decide.Action
	rng             *rand.Rand
	unsent          []attemptEnded // outcomes of attempts that could not be sent
}

func newLoop(ctx context.Context, c *Config, clock clock.Clock, up *upstream.Pool, log *slog.Logger) *loop {
	settings := c.Settings
	settings.ConnSettleTime = upstream.SettleTime
	return &loop{
		ctx:   ctx,
		clock: clock, settings: &c.Settings, upstream: up, log: log, trace: newTrace(log), initialRoutes: c.Routes,
		balancer:      decide.New(settings, c.Seed, clock.Now()),
		events:        make(chan any, 256),
		pending:       map[uint64]*pendingRequest{},
		servers:       map[string]*knownServer{},
		startTimes:    map[string]time.Duration{},
		maxListAtOnce: longListEntries,
		view:          endpoints.New(endpoints.Settings{}),
		staleness:     endpoints.NewStalenessDetector(c.Settings.Nodes, c.Seed),
		confirmation:  endpoints.NewConfirmation(clock.Now()),
		callTiming:    endpoints.NewCallTiming(c.Settings.Nodes, 0),
		rng:           rand.New(rand.NewPCG(c.Seed, 0x6e6f6465)),
	}
}

// post sends an event to the loop. It drops the event once the loop has stopped.
func (l *loop) post(event any) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// run handles events until the context is cancelled, then waits for the attempts in flight.
func (l *loop) run(known *endpoints.List) {
	defer l.runningAttempts.Wait()
	l.now = l.clock.Now()
	l.setRoutes(l.initialRoutes)
	l.loadInitialList(known)
	l.after(sweepInterval, timer{sweep: true})
	if l.pool != nil {
		l.schedulePoolTick()
	}
	nextTimer := time.NewTimer(0)
	defer nextTimer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.cancelAttempts()
			return
		case e := <-l.events:
			l.now = l.clock.Now()
			l.handle(e)
		case <-nextTimer.C:
		}
		l.now = l.clock.Now()
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			l.fire(heap.Pop(&l.timers).(timer))
		}
		if len(l.timers) > 0 {
			nextTimer.Reset(l.timers[0].at - l.clock.Now())
		}
	}
}

// cancelAttempts cancels all attempts in flight when the loop stops.
func (l *loop) cancelAttempts() {
	for _, p := range l.pending {
		for _, t := range p.attempts {
			t.Cancel()
		}
	}
}

// handle dispatches one event.
func (l *loop) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.reportLag(l.now, l.now-e.pendingRequest.arrivedAt)
		l.startRequest(e.pendingRequest)
	case clientDisconnected:
		if p := e.pendingRequest; !p.answered {
			l.trace.clientLeft(p)
			l.markAnswered(p)
			if l.budgets != nil {
				l.budgets.close(p.budget, failed, p.mayHaveRun)
			}
			l.abandon(p)
		}
	case attemptEnded:
		l.handleOutcome(e)
	case configReloaded:
		l.setRoutes(e.routes)
		if old := l.discovery.Address(); e.discovery != old {
			l.log.Info("discovery moves", "from", old, "to", e.discovery)
			l.discovery.SetAddress(e.discovery)
			l.handleDiscoveryMove()
			if l.saved != nil {
				l.saved.discoveryAddress = e.discovery
			}
		}
		close(e.done)
	case shutdownRequested:
		l.shuttingDown = true
		for _, p := range l.pending { // the order does not matter: requests are independent
			l.failOverdue(p)
		}
	case discovery.Update:
		switch {
		case e.List != nil:
			l.handleList(&e)
		case e.PollAccepted:
			l.handleOpenPoll()
		default:
			l.handleNoList(&e)
		}
	case discoveryAllowed:
		l.mayAskDiscovery = true
		if l.watchDeferred {
			l.watchDeferred = false
			l.startWatch()
		}
	case listHandedOver:
		l.adoptHandedList(e)
	case listRequested:
		e.reply <- l.currentList()
	case grantReceived:
		l.applyGrants(l.pool.lender.HandleGrant(l.now, e.from, e.Grant))
	case backgroundStep:
		took, more := e.step(e.slice)
		e.done <- stepResult{took, more}
	}
}

// setRoutes installs the operators' route table and passes its policies to the balancer, so
// that the route numbers of both always match.
func (l *loop) setRoutes(t *routes.Table) {
	l.routes = t
	var policies []decide.RoutePolicy
	if t != nil {
		policies = t.Policies()
	}
	l.execute(l.balancer.SetRoutePolicies(l.now, policies, l.actions[:0]))
}

// startRequest passes a new request to the balancer.
func (l *loop) startRequest(p *pendingRequest) {
	if l.shuttingDown {
		l.answerUnopened(p, failed, "the node is shutting down")
		return
	}
	if l.settings.MaxOpenRequests > 0 && len(l.pending) >= l.settings.MaxOpenRequests {
		l.answerUnopened(p, refused, "too many open requests")
		return
	}
	if p.finished.Load() { // the client left while the request was queued; clientDisconnected follows
		p.answered = true
		l.releaseIfDone(p)
		return
	}
	p.request.ID = l.nextID
	l.nextID++
	p.request.TTL = max(0, p.deadline-answerMargin-l.now)
	p.request.Route = l.routes.Match(p.request.Class, p.path, p.request.Tenant)
	l.pending[p.request.ID] = p
	if l.budgets != nil {
		l.budgets.open(l.now, p)
	}
	l.trace.requestArrived(p, l.now)
	l.execute(l.balancer.HandleRequest(l.now, p.request, l.actions[:0]))
	if !p.answered {
		l.at(p.deadline-safetyMargin, timer{overdue: p})
	}
}

// answerUnopened answers a request that the balancer never hears of.
func (l *loop) answerUnopened(p *pendingRequest, status answerStatus, reason string) {
	l.trace.answeredUnopened(p, status, reason)
	p.answered = true
	l.releaseIfDone(p)
	l.respond(p, answer{answerStatus: status})
}

// abandon tells the balancer that a request has ended, and cancels its attempts.
func (l *loop) abandon(p *pendingRequest) {
	l.execute(l.balancer.HandleDisconnect(l.now, decide.Disconnect{Request: p.request.ID}, l.actions[:0]))
	for _, t := range p.attempts {
		t.Cancel()
	}
	l.dropIfDone(p)
}

// failOverdue fails a request that the balancer has not answered.
func (l *loop) failOverdue(p *pendingRequest) {
	if !p.answered {
		l.finish(p, answer{answerStatus: overdue}, decide.DeadlineExceeded)
		l.abandon(p)
	}
}

// finish delivers the final answer to a request, unless it has been answered.
func (l *loop) finish(p *pendingRequest, a answer, reason decide.Reason) {
	if p == nil || p.answered {
		return
	}
	l.trace.answered(p, a.answerStatus, reason)
	l.markAnswered(p)
	if l.budgets != nil {
		a.spent = l.budgets.close(p.budget, a.answerStatus, p.mayHaveRun)
	}
	l.releaseIfDone(p) // before its client can send again
	l.respond(p, a)
	l.dropIfDone(p)
}

// markAnswered marks a request as answered: no attempt that is not yet on the wire is sent.
func (l *loop) markAnswered(p *pendingRequest) {
	p.answered = true
	p.finished.Store(true)
}

// dropIfDone removes a request that is answered and has no attempts in flight. Its timer may
// keep the request alive for seconds, so the body is released here.
func (l *loop) dropIfDone(p *pendingRequest) {
	if p.answered && p.openAttempts == 0 {
		delete(l.pending, p.request.ID)
		p.upstreamRequest = nil
		l.releaseIfDone(p)
	}
}

// releaseIfDone ends the reservation of a request's X-Txn if it is answered and has no attempts in flight.
func (l *loop) releaseIfDone(p *pendingRequest) {
	if p.answered && p.openAttempts == 0 && !p.txnReleased {
		p.txnReleased = true
		l.releaseTxn(p, l.now)
	}
}

// mayHaveRun reports whether an attempt with a result may have been executed.
func mayHaveRun(r decide.Result) bool {
	return r != decide.Rejected && r != decide.ConnectFailed && r != decide.NotSent
}

// handleOutcome processes the outcome of an attempt.
func (l *loop) handleOutcome(e attemptEnded) {
	l.trace.attemptEnded(&e)
	p := e.attempt.pending
	p.openAttempts--
	spentBelow := 0
	if l.budgets != nil {
		spentBelow = l.budgets.endAttempt(p.budget, &e.Outcome)
	}
	p.mayHaveRun = p.mayHaveRun || mayHaveRun(e.Result)
	if e.Result == decide.Served {
		l.finish(p, answer{answerStatus: served, response: e.Response}, decide.NoReason)
	}
	final := p.answered
	l.dropIfDone(p)
	l.execute(l.balancer.HandleOutcome(l.now, decide.Outcome{
		Request: p.request.ID, Attempt: e.number, Server: e.server, Result: e.Result,
		Elapsed: e.elapsed, ConnAge: e.ConnAge, DialTime: e.DialTime, ConnRefused: e.ConnRefused, Final: final, ConnClosed: e.ConnClosed, Spent: spentBelow,
	}, l.actions[:0]))
	l.recordResult(e.server, e.Result, e.elapsed-e.DialTime)
}

// execute carries out the balancer's actions.
func (l *loop) execute(actions []decide.Action) {
	for i := range actions {
		a := &actions[i]
		p := l.pending[a.Request]
		switch a.Kind {
		case decide.Send:
			l.send(p, a)
		case decide.Refuse:
			l.finish(p, answer{answerStatus: refused, retryAfter: a.Wait}, a.Reason)
		case decide.Fail:
			l.finish(p, answer{answerStatus: failed}, a.Reason)
		case decide.Cancel:
			if p != nil && a.Attempt < len(p.attempts) {
				p.attempts[a.Attempt].Cancel()
			}
		case decide.WatchList:
			l.startWatch()
		case decide.UnwatchList:
			l.discovery.SetWatch(false)
		case decide.FetchList:
			l.discovery.FetchList()
		case decide.CloseIdle:
			l.upstream.CloseIdleTo(a.Server)
		case decide.StartTimer:
			l.after(a.Wait, timer{token: a.Token})
		case decide.Log:
			l.log.Info("module", "text", a.Text)
		default:
			l.log.Warn("the balancer returned an action of an unknown kind", "action", a.Kind)
		}
	}
	l.actions = actions
	for len(l.unsent) > 0 { // deferred until now because the balancer's handlers do not nest
		e := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.handleOutcome(e)
	}
}

// send starts an attempt on a goroutine of its own.
func (l *loop) send(p *pendingRequest, a *decide.Action) {
	if p == nil {
		l.log.Warn("the balancer sent an attempt for a request that has ended", "request", a.Request)
		return
	}
	t := &attempt{pending: p, number: len(p.attempts), server: a.Server}
	p.attempts = append(p.attempts, t)
	p.openAttempts++
	server := l.servers[a.Server]
	if server == nil || p.finished.Load() {
		l.unsent = append(l.unsent, attemptEnded{attempt: t, Outcome: upstream.Outcome{Result: decide.NotSent, ConnClosed: true}})
		return
	}
	l.trace.attemptSent(p, t, l.lastGeneration, l.balancer.Unconfirmed(l.now))
	sent, request, budgetHeaders := l.now, p.upstreamRequest, ""
	if l.budgets != nil {
		budgetHeaders = l.budgets.beginAttempt(l.now, p.budget)
	}
	until := min(sent+a.Wait, p.deadline-safetyMargin)
	sendBy := until
	if a.SendWithin > 0 {
		sendBy = sent + a.SendWithin
	}
	l.runningAttempts.Go(func() {
		o := l.upstream.Attempt(&t.Canceler, &server.Target, request, budgetHeaders, sendBy, until)
		l.post(attemptEnded{attempt: t, Outcome: o, elapsed: l.clock.Now() - sent})
	})
}

// timer is a scheduled call: one of the balancer's, a request's deadline, a sweep or run.
type timer struct {
	at      time.Duration
	token   uint64
	overdue *pendingRequest
	sweep   bool
	release bool   // the timer of scheduleRelease, of which there is one at most
	run     func() // any other call; takes precedence
}

func (l *loop) after(wait time.Duration, t timer) { l.at(l.now+max(0, wait), t) }

func (l *loop) at(at time.Duration, t timer) {
	t.at = at
	heap.Push(&l.timers, t)
}

// fire handles a timer that has expired.
func (l *loop) fire(t timer) {
	switch {
	case t.run != nil:
		t.run()
	case t.sweep:
		if l.saved != nil {
			l.updateAnswerRate()
		}
		l.onSweep()
		l.after(sweepInterval, t)
	case t.overdue != nil:
		if p := t.overdue; !p.answered {
			l.log.Warn("the balancer did not answer a request in time", "class", p.request.Class, "attempts", len(p.attempts), "out", p.openAttempts)
			l.failOverdue(p)
		}
	default:
		l.execute(l.balancer.HandleTimer(l.now, decide.Timer{Token: t.token}, l.actions[:0]))
	}
}

// timers is a min-heap by expiry time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}
