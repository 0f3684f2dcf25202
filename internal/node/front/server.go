package front

import (
	"context"
	"hash/maphash"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/conns/membudget"
	"curlewring/internal/sched/dutycycle"
	"curlewring/internal/sched/timerwheel"
)

// Timeouts and limits that are the same for every node.
const (
	RequestTimeout      = 2 * time.Second // for a complete request, from its first byte or the connection's start
	WriteGrace          = time.Second     // after its request's deadline, a client that doesn't read is cut off
	defaultWriteTimeout = 10 * time.Second
	// A new connection is expected to send its first request within this time.
	NewConnGrace = 250 * time.Millisecond
	// The rest of a request that has begun is expected within this time while others wait to be accepted
	// and no connection is idle.
	partialGrace        = 20 * time.Millisecond
	acceptRetryInterval = 20 * time.Millisecond // between attempts to accept while at the connection limit
	timerTick           = 8 * time.Millisecond

	maxTimersPerTurn       = 256
	maxAcceptsPerTurn      = 64
	maxAvertedCloses       = 64 // connections that are read instead of being closed, in one search for one to close
	eventsPerResponseCheck = 16 // events handled between two checks for responses
	minReadBufferSize      = 8 << 10
)

// Handler handles complete requests. The server's goroutine calls it, so its methods must not
// block.
type Handler interface {
	// HandleRequest handles a request whose body is complete. It returns either the response, or a
	// handle that ClientGone identifies the request by until Server.Respond is called. class is the
	// request's class in the idle rules, or -1 if the request has none.
	HandleRequest(t Token, r *http.Request, a Arrival) (handle any, class int, response *Response)
	// TimeLeft returns how long the client of a request waits for its answer, by the request's head.
	// It returns 0 if the head does not tell.
	TimeLeft(r *http.Request) time.Duration
	// ClientGone reports that the client of an open request has disconnected.
	ClientGone(handle any)
}

// Arrival tells a Handler how a request arrived.
type Arrival struct {
	// Refuse is set if the request has to be refused because the server is short of connections or
	// memory. Its body may not have been read.
	Refuse bool
	// EndHidden is set if so many bytes are unread behind the request that the client may have closed the connection
	// unnoticed. The request must not be sent on.
	EndHidden bool
	Waited    time.Duration // how long the request waited for memory before it was read
}

// Config configures a Server.
type Config struct {
	Transport         Transport
	Handler           Handler
	Log               *slog.Logger
	Now               func() time.Duration
	MaxConns          int              // maximum number of connections, without MaxRefusalConns
	MaxRefusalConns   int              // connections accepted above MaxConns to be refused, if all others are busy
	MemoryBudget      int              // bytes that all connections together may take
	ClassWorths       []float64        // worth of a request of each class
	EvictionPolicy    idleconns.Policy // order in which idle connections are closed
	RememberedClients int              // clients whose past behavior is remembered after they disconnect
	IdleRules         *idleconns.Rules // idle timeouts; nil: the defaults of package idleconns
	Hooks             Hooks            // schedule background work; if unset, it runs at once
	MaxHeadSize       int              // maximum size of a request's head
	MaxBodySize       int64            // maximum size of a request's body
}

// Hooks are called when background work is due; they must not block. Each hook has to arrange that
// the Server method of the same name is called until it reports no more work. Such a method works
// for about the given time slice.
type Hooks struct {
	CloseExpired   func() // schedules Server.CloseExpired
	EvictIdle      func() // schedules Server.EvictIdle
	ReleaseBuffers func() // schedules Server.ReleaseBuffers
	ReapplyRules   func() // schedules Server.ReapplyRules
	// ProcessStalled reports whether the process was stalled just now, so that received requests
	// may be old and their clients gone. It is called often and must be cheap. nil: unknown.
	ProcessStalled func() bool
}

// Server accepts clients' connections and serves their requests.
type Server struct {
	config            Config
	table             connTable
	wheel             *timerwheel.Wheel
	idleConns         *idleconns.Table
	memory            *membudget.Budget
	readBuffer        []byte
	writeBuffer       []byte
	parser            headParser
	dueTimers         []int32
	peekBuffer        [1]byte
	backlogBuffer     []byte             // for hidesEnd
	expired           tokenQueue         // tokens of parked connections whose idle time is over
	runnable          tokenQueue         // connections with unprocessed bytes, served in turn
	pipelining        *dutycycle.Limiter // spaces the rounds in which they are served
	deferrals         map[int32]deferral // state of the deferred connections
	deferredWhole     bandQueue          // deferred connections whose request has arrived whole
	deferredPartial   bandQueue          // deferred connections in the order of their deferral
	lingering         tokenQueue         // connections that are or were lingering, in the order in which that began
	unfinished        tokenQueue         // connections that hold memory for a part of a request, or held some
	reclaimAt         time.Duration      // when stalled requests are searched next
	pool              []*activeState
	acceptRetryAt     time.Duration
	date              dateCache
	rulesVersion      uint8 // incremented when the idle rules change
	reapplyNext       int32
	shuttingDown      bool // every connection closes after its next response
	acceptErrorLogged bool // an accept error was logged; later ones are not
	stalled           bool // the process was stalled just now
	capacityFreed     bool // a connection was closed or parked in this turn
	logsDebug         bool // debug logging: log closes and waits for memory
	seed              maphash.Seed
	stats             Stats
	monitor           *loadMonitor
	now               time.Duration
	tasks             chan func()
	stopped           chan struct{}
	lastAccept        atomic.Int64
	openCount         atomic.Int64

	mu            sync.Mutex
	responses     []queuedResponse
	responseReady chan struct{}
}

// Stats holds the server's statistics. All fields but those of the first group are counters or
// maxima.
type Stats struct {
	Open, Parked, Reading, Busy int // connections by state
	Memory, MemoryPeak          int // bytes by the memory budget
	PressureChanges             int

	Accepted, Requests, Responses                        uint64
	Expired, Evicted, Refused                            uint64
	Deferred, RequestTimeouts, WriteTimeouts, PeerClosed uint64
	MemoryTimeouts                                       uint64        // waits for memory that ended without memory
	Reclaimed                                            uint64        // stalled requests that gave way to others
	AvertedCloses                                        uint64        // closes that were averted because bytes had arrived
	MaxTimersDue                                         int           // timers due at the same time
	MaxTurnTime                                          time.Duration // longest turn of the server's goroutine
	MaxTimersTime                                        time.Duration // longest time in a turn for due timers
}

type queuedResponse struct {
	token Token
	Response
}

// New returns a server for a transport, which the server owns from then on.
func New(c Config) *Server {
	now := c.Now()
	logsDebug := c.Log != nil && c.Log.Enabled(context.Background(), slog.LevelDebug)
	return &Server{
		config: c, pipelining: dutycycle.New(pipelinePauseFactor, maxPipelinePause), wheel: timerwheel.New(timerTick, now), now: now,
		idleConns: idleconns.New(idleconns.Settings{Policy: c.EvictionPolicy, ClassWorths: c.ClassWorths, NewcomerGrace: NewConnGrace, PartialGrace: partialGrace, RememberedClients: c.RememberedClients}, c.IdleRules, now),
		memory:    membudget.New(c.MemoryBudget), deferrals: map[int32]deferral{},
		readBuffer: make([]byte, max(minReadBufferSize, c.MaxHeadSize+headSizeSlack+maxSkippedBytes+1)), // a head fits in
		seed:       maphash.MakeSeed(),
		logsDebug:  logsDebug,
		monitor:    newLoadMonitor(c.Log, logsDebug, now),
		tasks:      make(chan func()), stopped: make(chan struct{}), responseReady: make(chan struct{}, 1),
	}
}

// Respond sends the response to an open request. Any goroutine may call it, and it doesn't block.
// If the client has disconnected, the response is dropped.
func (s *Server) Respond(t Token, r Response) {
	s.mu.Lock()
	s.responses = append(s.responses, queuedResponse{t, r})
	s.mu.Unlock()
	select {
	case s.responseReady <- struct{}{}:
	default:
	}
}

// Do runs a function on the server's goroutine and returns when it has finished, or returns false
// if the server has stopped.
func (s *Server) Do(f func()) bool {
	done := make(chan struct{})
	select {
	case s.tasks <- func() { f(); close(done) }:
	case <-s.stopped:
		return false
	}
	<-done
	return true
}

// Stats returns the current statistics, or zeros if the server has stopped.
func (s *Server) Stats() (st Stats) {
	s.Do(func() {
		st = s.stats
		st.Open, st.Parked, st.Reading = s.table.inUse, s.idleConns.Idle(), s.idleConns.Incomplete()
		st.Busy = st.Open - st.Parked - st.Reading
		st.Memory, st.MemoryPeak, st.PressureChanges = s.memory.Total(), s.memory.Peak(), s.memory.LevelChanges()
	})
	return st
}

// LastAccept returns when the last connection was accepted, and OpenConns the number of
// connections.
func (s *Server) LastAccept() time.Duration { return time.Duration(s.lastAccept.Load()) }
func (s *Server) OpenConns() int            { return int(s.openCount.Load()) }

// Run serves until the context ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) {
	defer s.closeAll()
	t := s.config.Transport
	t.SetAccepting(true)
	wakeTimer := time.NewTimer(0)
	defer wakeTimer.Stop()
	var wakeAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case batch, ok := <-t.Events():
			if !ok {
				return
			}
			s.runTurn(func() { s.handleEvents(batch) })
			t.BatchDone()
		case <-s.responseReady:
			s.runTurn(s.writeResponses)
		case f := <-s.tasks:
			s.runTurn(f)
		case <-wakeTimer.C:
			wakeAt = 0
			s.runTurn(func() {})
		}
		if at, ok := s.nextWake(); ok && (wakeAt == 0 || at < wakeAt) {
			wakeTimer.Reset(max(at-s.config.Now(), 0))
			wakeAt = at
		}
	}
}

// runTurn runs a function and then everything that is due.
func (s *Server) runTurn(f func()) {
	started := s.config.Now()
	s.now = max(s.now, started)
	s.stalled = s.config.Hooks.ProcessStalled != nil && s.config.Hooks.ProcessStalled()
	f()
	s.now = max(s.now, s.config.Now())
	timers := s.now
	s.handleTimers()
	if s.acceptRetryAt > 0 && (s.capacityFreed || s.now >= s.acceptRetryAt) { // a connection is waiting to be accepted
		s.acceptRetryAt = 0
		s.acceptPending()
		if s.acceptRetryAt == 0 {
			s.config.Transport.SetAccepting(true)
		}
	}
	s.capacityFreed = false
	s.processRunnable()
	s.reclaimStalled()
	s.resumeDeferred()
	end := s.config.Now()
	s.stats.MaxTurnTime = max(s.stats.MaxTurnTime, end-started)
	s.stats.MaxTimersTime = max(s.stats.MaxTimersTime, end-timers)
	s.openCount.Store(int64(s.table.inUse))
	s.monitor.turnEnded(started, end, s.runnable.len())
}

// nextWake returns when the goroutine has to run without an event.
func (s *Server) nextWake() (time.Duration, bool) {
	at, ok := s.wheel.Next()
	if s.acceptRetryAt > 0 && (!ok || s.acceptRetryAt < at) {
		at, ok = s.acceptRetryAt, true
	}
	if s.needsReclaim() && (!ok || s.reclaimAt < at) {
		at, ok = s.reclaimAt, true
	}
	if s.runnable.len() > 0 && (!ok || s.pipelining.NextAt() < at) {
		at, ok = max(s.now, s.pipelining.NextAt()), true
	}
	if s.canResume() {
		at, ok = s.now, true
	}
	return at, ok
}

// handleEvents handles a batch of the transport's events, and sends waiting responses in between.
func (s *Server) handleEvents(batch []Event) {
	for n, e := range batch {
		if n%eventsPerResponseCheck == eventsPerResponseCheck-1 {
			s.writeResponses()
		}
		if e.Token == listenerToken {
			s.acceptPending()
			continue
		}
		i, c := s.table.lookup(e.Token)
		if c == nil {
			continue // the connection has been closed since
		}
		if e.Ready&ConnReset != 0 && (e.Ready&Readable == 0 || c.state == stateOpen) {
			s.clientGone(i, c)
			continue
		}
		if e.Ready&Writable != 0 && c.state == stateWriting {
			s.flushResponse(i, c)
		}
		if i, c = s.table.lookup(e.Token); c == nil {
			continue
		}
		// The client's close may come in one event with the request before it, and while earlier
		// bytes are unread.
		if e.Ready&PeerEnded != 0 {
			c.peerEnded = true
		}
		if e.Ready&Readable != 0 {
			s.handleReadable(i, c)
		}
	}
}

// writeResponses sends the responses passed to Respond.
func (s *Server) writeResponses() {
	for {
		s.mu.Lock()
		batch := s.responses
		s.responses = nil
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for n := range batch {
			if i, c := s.table.lookup(uint64(batch[n].token)); c != nil && c.state == stateOpen {
				s.sendResponse(i, c, &batch[n].Response)
			}
		}
		s.mu.Lock()
		if s.responses == nil && cap(batch) <= 1024 {
			clear(batch)
			s.responses = batch[:0]
		}
		s.mu.Unlock()
	}
}

// handleTimers handles due timers, up to maxTimersPerTurn.
func (s *Server) handleTimers() {
	s.dueTimers = s.wheel.Advance(s.now, maxTimersPerTurn, s.dueTimers[:0])
	s.stats.MaxTimersDue = max(s.stats.MaxTimersDue, len(s.dueTimers))
	for _, i := range s.dueTimers {
		c := s.table.at(i)
		switch c.state {
		case stateParked:
			s.expired.push(s.table.token(i))
		case stateReading:
			s.stats.RequestTimeouts++
			s.requestTimedOut(i, c)
		case stateDeferred:
			s.stats.MemoryTimeouts++
			s.refuseDeferred(i, c)
		case stateWriting:
			s.stats.WriteTimeouts++
			s.closeConn(i, c, closeWriteTimeout)
		case stateLingering:
			s.closeConn(i, c, closeLingered)
		}
	}
	if s.expired.len() > 0 {
		if s.config.Hooks.CloseExpired != nil {
			s.config.Hooks.CloseExpired()
		} else {
			s.closeExpired(func() bool { return true })
		}
	}
}
