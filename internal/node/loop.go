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
	// The module is told of a little less time than the client has, so that the
	// last byte of its answer is out in time; what it still holds then is failed
	// by the loop.
	answerMargin = 10 * time.Millisecond
	safetyMargin = 5 * time.Millisecond
	sweepEvery   = time.Second
)

// ending is how a request ended.
type answerStatus int

const (
	served  answerStatus = iota
	refused              // trying again is harmless
	failed
	overdue // failed by the loop: the module had no answer in time
)

// answer is the final answer to a request.
type answer struct {
	answerStatus
	response   *upstream.Response // served
	retryAfter time.Duration      // refused; 0: no advice
	spent      string             // header of a budget; "": none
}

// pending is a request that has no final answer yet, or attempts still out.
type pendingRequest struct {
	upstreamRequest *upstream.Request
	path            string // decoded
	request         decide.Request
	deadline        time.Duration // the client waits no longer
	token           front.Token   // the connection that its answer goes to
	txn             string        // its X-Txn, which is no longer open once it is answered
	arrivedAt       time.Duration // on the clock, whole
	answered        bool
	finished        atomic.Bool // it is answered, or its client has left: nothing goes out for it any more
	attempts        []*attempt
	openAttempts    int            // attempts without an outcome
	budget          *requestBudget // its budget; nil: none
	mayHaveRun      bool           // an attempt may have run; told where there is a budget
}

// attempt is one send of a request.
type attempt struct {
	pending *pendingRequest
	number  int
	server  string
	upstream.Canceler
}

// Events of the loop, besides timers.
type (
	requestArrived     struct{ *pendingRequest }
	clientDisconnected struct{ *pendingRequest }
	attemptEnded       struct {
		*attempt
		upstream.Outcome
		elapsed time.Duration
	}
	shutdownRequested struct{} // the node ends: fail what is left

	// stepped is a piece of background work on what the loop owns.
	backgroundStep struct {
		step  func(slice time.Duration) (took time.Duration, more bool)
		slice time.Duration
		done  chan<- stepResult
	}

	configReloaded struct {
		routes    *routes.Table
		discovery string        // its address
		done      chan struct{} // closed once both are in use
	}
)

// result is what a step of background work says of itself.
type stepResult struct {
	took time.Duration
	more bool
}

// peer is a server as the loop knows it.
type knownServer struct {
	upstream.Target
	sendable     bool          // among those that may get something new
	lastServed   time.Duration // when it served last, where the node remembers ...
	lastRecorded time.Duration // ... and up to when that was told
}

// loop is the sole owner of the module. It takes events in, carries out the
// actions that come of them, and never waits for a socket.
type loop struct {
	clock             clock.Clock
	settings          *decide.Settings
	balancer          *decide.Balancer
	upstream          *upstream.Pool
	discovery         *discovery.Client
	log               *slog.Logger
	trace             *trace                        // nil: off
	budgets           *budgets                      // nil: off
	initialRoutes     *routes.Table                 // those of the start
	respond           func(*pendingRequest, answer) // passes a final answer on; does not wait
	scheduleApplyList func()                        // a long list is to be taken in, by takeIn
	maxListAtOnce     int                           // entries of a list up to which it is taken in at once
	onSweep           func()                        // called every sweepEvery: what is old may go
	reportLag         func(now, lag time.Duration)  // told how long requests wait for the loop

	view         *endpoints.View              // what to believe of discovery
	staleness    *endpoints.StalenessDetector // when to ask it early
	confirmation *endpoints.Confirmation      // until when its list is as good as confirmed
	callTiming   *endpoints.CallTiming        // when to ask it first
	saved        *savedState                  // what is left of the last life; nil: nothing
	bootstrap    *bootstrap.Runner            // how a node without a list comes by one; nil: it asks discovery
	pool         *coldServerPool              // cold servers' budgets, pooled with other nodes'; nil: this node goes by itself

	ctx    context.Context // its end ends the loop and all attempts
	events chan any
	ready  atomic.Bool // there is a server to send to

	// What follows belongs to the goroutine in run.
	mayAskDiscovery bool // discovery may be asked; of use with a record
	watchDeferred   bool // for that
	now             time.Duration
	runningAttempts sync.WaitGroup
	shuttingDown    bool // the node ends: nothing new is begun
	nextID          uint64
	routes          *routes.Table
	pending         map[uint64]*pendingRequest
	servers         map[string]*knownServer
	startTimes      map[string]time.Duration
	sendable        int                   // peers that may get something new
	queuedChanges   endpoints.ChangeQueue // of long lists, still to be taken in
	lastGeneration  uint64                // generation of the last list that came
	watchRequested  bool                  // the watch was wanted before
	releaseAt       time.Duration         // when the view is looked at again; 0: never
	retryAt         time.Duration         // when servers of the past that failed are; 0: never
	timers          timers
	actions         []decide.Action
	rng             *rand.Rand
	unsent          []attemptEnded // outcomes of sends that could not be made
}

func newLoop(ctx context.Context, c *Config, clock clock.Clock, up *upstream.Pool, log *slog.Logger) *loop {
	return &loop{
		ctx:   ctx,
		clock: clock, settings: &c.Settings, upstream: up, log: log, trace: newTrace(log), initialRoutes: c.Routes,
		balancer:      decide.New(c.Settings, c.Seed, clock.Now()),
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

// post hands an event to the loop. It returns without doing so once the loop has ended.
func (l *loop) post(event any) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// run handles events until the context ends, and then waits for the attempts it started.
func (l *loop) run(known *endpoints.List) {
	defer l.runningAttempts.Wait()
	l.now = l.clock.Now()
	l.setRoutes(l.initialRoutes)
	l.loadInitialList(known)
	l.after(sweepEvery, timer{sweep: true})
	if l.pool != nil {
		l.schedulePoolTick()
	}
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.cancelAttempts()
			return
		case e := <-l.events:
			l.now = l.clock.Now()
			l.handle(e)
		case <-alarm.C:
		}
		l.now = l.clock.Now()
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			l.fire(heap.Pop(&l.timers).(timer))
		}
		if len(l.timers) > 0 {
			alarm.Reset(l.timers[0].at - l.clock.Now())
		}
	}
}

// callOff ends all attempts: the loop has ended.
func (l *loop) cancelAttempts() {
	for _, p := range l.pending {
		for _, t := range p.attempts {
			t.Cancel()
		}
	}
}

// handle takes one event.
func (l *loop) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		l.reportLag(l.now, l.now-e.pendingRequest.arrivedAt)
		l.startRequest(e.pendingRequest)
	case clientDisconnected:
		if p := e.pendingRequest; !p.answered {
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
		if was := l.discovery.Address(); e.discovery != was {
			l.log.Info("discovery moves", "from", was, "to", e.discovery)
			l.discovery.SetAddress(e.discovery)
			l.handleDiscoveryMove()
			if l.saved != nil {
				l.saved.discoveryAddress = e.discovery
			}
		}
		close(e.done)
	case shutdownRequested:
		l.shuttingDown = true
		for _, p := range l.pending { // in any order: nothing follows from one to the next
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

// route takes the operators' rules, and gives the module their bounds: rows and
// table always change together.
func (l *loop) setRoutes(t *routes.Table) {
	l.routes = t
	var bounds []decide.RoutePolicy
	if t != nil {
		bounds = t.Bounds()
	}
	l.execute(l.balancer.SetRoutePolicies(l.now, bounds, l.actions[:0]))
}

// arrive gives a request to the module.
func (l *loop) startRequest(p *pendingRequest) {
	if l.shuttingDown {
		p.answered = true
		l.respond(p, answer{answerStatus: failed})
		return
	}
	if l.settings.MaxOpenRequests > 0 && len(l.pending) >= l.settings.MaxOpenRequests {
		p.answered = true
		l.respond(p, answer{answerStatus: refused})
		return
	}
	if p.finished.Load() { // its client has left while it waited for the loop, and departed follows
		p.answered = true
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
	l.trace.requestArrived(p)
	l.execute(l.balancer.HandleRequest(l.now, p.request, l.actions[:0]))
	if !p.answered {
		l.at(p.deadline-safetyMargin, timer{overdue: p})
	}
}

// leave tells the module that a request is over, whatever it holds, and calls
// its attempts off.
func (l *loop) abandon(p *pendingRequest) {
	l.execute(l.balancer.HandleDisconnect(l.now, decide.Disconnect{Request: p.request.ID}, l.actions[:0]))
	for _, t := range p.attempts {
		t.Cancel()
	}
	l.dropIfDone(p)
}

// expire fails a request in the module's place.
func (l *loop) failOverdue(p *pendingRequest) {
	if !p.answered {
		l.finish(p, answer{answerStatus: overdue}, decide.DeadlineExceeded)
		l.abandon(p)
	}
}

// finish gives a request its final answer, unless it has one.
func (l *loop) finish(p *pendingRequest, a answer, why decide.Reason) {
	if p == nil || p.answered {
		return
	}
	l.trace.answered(p, a.answerStatus, why)
	l.markAnswered(p)
	if l.budgets != nil {
		a.spent = l.budgets.close(p.budget, a.answerStatus, p.mayHaveRun)
	}
	l.respond(p, a)
	l.dropIfDone(p)
}

// conclude marks a request as over: no attempt that has not begun goes out for it.
func (l *loop) markAnswered(p *pendingRequest) {
	p.answered = true
	p.finished.Store(true)
}

// forget drops a request that is answered and has nothing out. Its timer may be
// set for seconds yet, and must not hold its body for so long.
func (l *loop) dropIfDone(p *pendingRequest) {
	if p.answered && p.openAttempts == 0 {
		delete(l.pending, p.request.ID)
		p.upstreamRequest = nil
	}
}

// end takes the outcome of an attempt.
func (l *loop) handleOutcome(e attemptEnded) {
	l.trace.attemptEnded(&e)
	p := e.attempt.pending
	p.openAttempts--
	below := 0
	if l.budgets != nil {
		below = l.budgets.endAttempt(p.budget, &e.Outcome)
		p.mayHaveRun = p.mayHaveRun || e.Result != decide.Rejected && e.Result != decide.ConnectFailed && e.Result != decide.NotSent
	}
	if e.Result == decide.Served {
		l.finish(p, answer{answerStatus: served, response: e.Response}, decide.NoReason)
	}
	final := p.answered
	l.dropIfDone(p)
	l.execute(l.balancer.HandleOutcome(l.now, decide.Outcome{
		Request: p.request.ID, Attempt: e.number, Server: e.server, Result: e.Result,
		Elapsed: e.elapsed, ConnAge: e.ConnAge, DialTime: e.DialTime, Final: final, ConnClosed: e.ConnClosed, Spent: below,
	}, l.actions[:0]))
	l.recordResult(e.server, e.Result, e.elapsed-e.DialTime)
}

// carryOut does what the module wants done.
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
			l.upstream.CloseServer(a.Server)
		case decide.StartTimer:
			l.after(a.Wait, timer{token: a.Token})
		case decide.Log:
			l.log.Info("module", "text", a.Text)
		default:
			l.log.Warn("the module wants what this node can't do", "action", a.Kind)
		}
	}
	l.actions = actions
	for len(l.unsent) > 0 { // told only now: the module's handlers do not nest
		e := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.handleOutcome(e)
	}
}

// send starts an attempt.
func (l *loop) send(p *pendingRequest, a *decide.Action) {
	if p == nil {
		l.log.Warn("the module sends for a request that is over", "request", a.Request)
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
	sent, call, more := l.now, p.upstreamRequest, ""
	if l.budgets != nil {
		more = l.budgets.beginAttempt(l.now, p.budget)
	}
	until := min(sent+a.Wait, p.deadline-safetyMargin)
	by := until
	if a.SendWithin > 0 {
		by = sent + a.SendWithin
	}
	l.runningAttempts.Go(func() {
		o := l.upstream.Attempt(&t.Canceler, &server.Target, call, more, by, until)
		l.post(attemptEnded{attempt: t, Outcome: o, elapsed: l.clock.Now() - sent})
	})
}

// timer is something to do later: one of the module's, a request's end, or a sweep.
type timer struct {
	at      time.Duration
	token   uint64
	overdue *pendingRequest
	sweep   bool
	run     func() // something rare
}

func (l *loop) after(wait time.Duration, t timer) { l.at(l.now+max(0, wait), t) }

func (l *loop) at(at time.Duration, t timer) {
	t.at = at
	heap.Push(&l.timers, t)
}

// due handles a timer.
func (l *loop) fire(t timer) {
	switch {
	case t.run != nil:
		t.run()
	case t.sweep:
		if l.saved != nil {
			l.updateAnswerRate()
		}
		l.onSweep()
		l.after(sweepEvery, t)
	case t.overdue != nil:
		if p := t.overdue; !p.answered {
			l.log.Warn("a request was overdue", "class", p.request.Class, "attempts", len(p.attempts), "out", p.openAttempts)
			l.failOverdue(p)
		}
	default:
		l.execute(l.balancer.HandleTimer(l.now, decide.Timer{Token: t.token}, l.actions[:0]))
	}
}

// timers is a heap, the earliest first.
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
