package front

import (
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/conns/membudget"
	"curlewring/internal/sched/timerwheel"
)

// Times and bounds that are the same for every node.
const (
	RequestTimeout      = 2 * time.Second // for a whole request, from its first byte or the connection's start
	WriteGrace          = time.Second     // after its deadline a client that does not read is cut off
	defaultWriteTimeout = 10 * time.Second
	lingerTimeout       = 500 * time.Millisecond
	// A connection that has just come has its request on the way.
	NewConnGrace        = 250 * time.Millisecond
	acceptRetryInterval = 20 * time.Millisecond // between two looks for room
	timerTick           = 8 * time.Millisecond

	maxTimersPerTurn       = 256 // timers handled in one turn
	maxAcceptsPerTurn      = 64
	eventsPerResponseCheck = 16 // events between two looks for answers
	readBufferSize         = 8 << 10
	maxLingerDiscard       = 64 << 10 // bytes dropped of what follows a last answer
)

// Handler is given whole requests. The front's goroutine calls it, so it must not
// wait for that.
type Handler interface {
	// Request takes a request, whose body is all there, and returns its answer, or what
	// Gone names it by until Server.Answer. class is as hold's settings count them, and
	// -1 for a request of none.
	HandleRequest(t Token, r *http.Request, crowded bool) (open any, class int, answer *Response)
	// Gone tells that a client has left before its answer.
	ClientGone(open any)
}

// Config is what a Server is made of.
type Config struct {
	Transport         Transport
	Handler           Handler
	Log               *slog.Logger
	Now               func() time.Duration
	MaxConns          int              // connections at the most, besides Spare
	MaxRefusalConns   int              // let in over that to be refused, while each of the others has a request open
	MemoryBudget      int              // bytes that connections may take
	ClassWorths       []float64        // of classes
	EvictionPolicy    idleconns.Policy // in what order idle connections go
	RememberedClients int              // clients whose habits are remembered beyond their connections
	IdleRules         *idleconns.Rules // how long they may stay; nil: hold.DefaultFor
	Hooks             Hooks            // background work; the zero value does it at once
	MaxHeadSize       int              // bytes of a request's head
	MaxBodySize       int64            // of its body
}

// Hooks tell that background work has come up; they must not wait. Whoever sets them
// calls the step of the same name, until it returns false. A step works for no
// longer than it is given, but for its last piece.
type Hooks struct {
	CloseExpired   func() // Server.CloseExpired
	EvictIdle      func() // Server.MakeRoom
	ReleaseBuffers func() // Server.Release
	ReapplyRules   func() // Server.Recheck
	// Stood tells whether the process has stood still a moment ago: then what comes may be long old, and its client gone.
	// It must be cheap; nil: nobody knows.
	ProcessStalled func() bool
}

// Server is the front of a node.
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
	expired           tokenQueue                // parked connections whose time is over, by token
	runnable          tokenQueue                // connections with bytes of a next request, which take turns
	deferredConns     [deferredBands]tokenQueue // deferred ones, by the worth of what they last asked for
	pool              []*activeState
	acceptRetryAt     time.Duration
	date              dateCache
	rulesVersion      uint8 // counts the rules that were in use
	reapplyNext       int32
	shuttingDown      bool // no connection is kept after its answer
	acceptErrorLogged bool // told once
	stalled           bool // the process has just stood still
	capacityFreed     bool // a connection has ended or come to rest in this turn
	logsCloses        bool // each close is logged
	seed              maphash.Seed
	stats             Stats
	now               time.Duration
	tasks             chan func()
	stopped           chan struct{}
	lastAccept        atomic.Int64
	openCount         atomic.Int64

	mu            sync.Mutex
	responses     []queuedResponse
	responseReady chan struct{}
}

// Stats counts what the front has done. All but the first group only grow.
type Stats struct {
	Open, Parked, Reading, Busy int // connections, by what they do
	Memory, MemoryPeak          int // bytes by the ledger
	PressureChanges             int

	Accepted, Requests, Responses                        uint64
	Expired, Evicted, Refused                            uint64
	Deferred, RequestTimeouts, WriteTimeouts, PeerClosed uint64
	AvertedCloses                                        uint64        // closes that were called off because bytes had come
	MaxTimersDue                                         int           // timers due at once
	MaxTurnTime                                          time.Duration // of the goroutine over one batch
	MaxTimersTime                                        time.Duration // of that, over due timers
}

type queuedResponse struct {
	token Token
	Response
}

// New makes a server of a transport, which it owns from then on.
func New(c Config) *Server {
	now := c.Now()
	return &Server{
		config: c, wheel: timerwheel.New(timerTick, now), now: now,
		idleConns: idleconns.New(idleconns.Settings{Policy: c.EvictionPolicy, ClassWorths: c.ClassWorths, NewcomerGrace: NewConnGrace, RememberedClients: c.RememberedClients}, c.IdleRules, now),
		memory:    membudget.New(c.MemoryBudget), readBuffer: make([]byte, readBufferSize),
		seed:       maphash.MakeSeed(),
		logsCloses: c.Log != nil && c.Log.Enabled(context.Background(), slog.LevelDebug),
		tasks:      make(chan func()), stopped: make(chan struct{}), responseReady: make(chan struct{}, 1),
	}
}

// Answer gives an open request its one answer. It may be called by any goroutine, and
// does not wait. The answer to a client that has left goes nowhere.
func (s *Server) Respond(t Token, a Response) {
	s.mu.Lock()
	s.responses = append(s.responses, queuedResponse{t, a})
	s.mu.Unlock()
	select {
	case s.responseReady <- struct{}{}:
	default:
	}
}

// Do runs a function on the front's goroutine and returns when it has run, or false
// if the front has ended.
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

// Stats returns the counts as they are now; zero after the end.
func (s *Server) Stats() (st Stats) {
	s.Do(func() {
		st = s.stats
		st.Open, st.Parked, st.Reading = s.table.inUse, s.idleConns.Idle(), s.idleConns.Incomplete()
		st.Busy = st.Open - st.Parked - st.Reading
		st.Memory, st.MemoryPeak, st.PressureChanges = s.memory.Total(), s.memory.Peak(), s.memory.LevelChanges()
	})
	return st
}

// Accepted is when the last connection came, and Conns how many there are.
func (s *Server) LastAccept() time.Duration { return time.Duration(s.lastAccept.Load()) }
func (s *Server) OpenConns() int            { return int(s.openCount.Load()) }

// UseRules takes other rules for idle connections. What is parked keeps no more and no
// less time than they give it: Recheck brings them to it by and by.
func (s *Server) SetIdleRules(r *idleconns.Rules) {
	s.Do(func() {
		s.config.IdleRules = r
		s.idleConns.SetRules(r)
		s.rulesVersion++
		s.reapplyNext = 0
		if s.config.Hooks.ReapplyRules != nil {
			s.config.Hooks.ReapplyRules()
		}
	})
}

// Recheck goes on with what UseRules has begun.
func (s *Server) ReapplyRules(slice time.Duration) (took time.Duration, more bool) {
	return s.runStep(slice, func(may func() bool) bool {
		for ; int(s.reapplyNext) < s.table.allocated; s.reapplyNext++ {
			if !may() {
				return true
			}
			i, c := s.reapplyNext, s.table.at(s.reapplyNext)
			if c.state != stateParked || c.rulesVersion == s.rulesVersion {
				continue
			}
			s.assignNetwork(i, c)
			since, limit, slack := s.idleConns.IdleTimeout(i)
			if s.wheel.Cancel(i) { // else its time is over already
				s.wheel.ArmSpread(i, since+limit, slack)
			}
		}
		return false
	})
}

// sourced finds out anew which network a connection is from: the rules have changed.
func (s *Server) assignNetwork(i int32, c *conn) {
	c.rulesVersion = s.rulesVersion
	s.idleConns.SetSource(i, s.config.IdleRules.Source(s.config.Transport.RemoteAddr(c.socket)))
}

// Run serves until the context ends, and closes all that is left then.
func (s *Server) Run(ctx context.Context) {
	defer s.closeAll()
	t := s.config.Transport
	t.SetAccepting(true)
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	var alarmAt time.Duration
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
		case <-alarm.C:
			alarmAt = 0
			s.runTurn(func() {})
		}
		if at, ok := s.nextWake(); ok && (alarmAt == 0 || at < alarmAt) {
			alarm.Reset(max(at-s.config.Now(), 0))
			alarmAt = at
		}
	}
}

// turn does one piece of work and then what is due.
func (s *Server) runTurn(f func()) {
	begun := s.config.Now()
	s.now = max(s.now, begun)
	s.stalled = s.config.Hooks.ProcessStalled != nil && s.config.Hooks.ProcessStalled()
	f()
	s.now = max(s.now, s.config.Now())
	timers := s.now
	s.handleTimers()
	if s.acceptRetryAt > 0 && (s.capacityFreed || s.now >= s.acceptRetryAt) { // somebody waits
		s.acceptRetryAt = 0
		s.acceptPending()
		if s.acceptRetryAt == 0 {
			s.config.Transport.SetAccepting(true)
		}
	}
	s.capacityFreed = false
	s.processRunnable()
	s.resumeDeferred()
	end := s.config.Now()
	s.stats.MaxTurnTime = max(s.stats.MaxTurnTime, end-begun)
	s.stats.MaxTimersTime = max(s.stats.MaxTimersTime, end-timers)
	s.openCount.Store(int64(s.table.inUse))
}

// next is when the goroutine has to look again without an event.
func (s *Server) nextWake() (time.Duration, bool) {
	at, ok := s.wheel.Next()
	if s.acceptRetryAt > 0 && (!ok || s.acceptRetryAt < at) {
		at, ok = s.acceptRetryAt, true
	}
	if s.runnable.len() > 0 || s.canResume() {
		at, ok = s.now, true
	}
	return at, ok
}

// events handles a batch of the transport's. Answers are not kept waiting for it.
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
			continue // an event for a connection that has closed since
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
		// The end may come in one event with the request before it, and behind bytes that nobody reads yet.
		if e.Ready&PeerEnded != 0 {
			c.peerEnded = true
		}
		if e.Ready&Readable != 0 {
			s.handleReadable(i, c)
		}
	}
}

// drain writes the answers that have been given.
func (s *Server) writeResponses() {
	for {
		s.mu.Lock()
		all := s.responses
		s.responses = nil
		s.mu.Unlock()
		if len(all) == 0 {
			return
		}
		for n := range all {
			if i, c := s.table.lookup(uint64(all[n].token)); c != nil && c.state == stateOpen {
				s.sendResponse(i, c, &all[n].Response)
			}
		}
		s.mu.Lock()
		if s.responses == nil && cap(all) <= 1024 {
			clear(all)
			s.responses = all[:0]
		}
		s.mu.Unlock()
	}
}

// accept takes in what waits, as far as there is room.
func (s *Server) acceptPending() {
	for n := range maxAcceptsPerTurn {
		if n > 0 && s.table.inUse >= s.config.MaxConns {
			return // nobody may wait any more: no connection is closed for that
		}
		if !s.makeRoom() {
			s.config.Transport.SetAccepting(false)
			s.acceptRetryAt = s.now + acceptRetryInterval
			return
		}
		socket, from, err := s.config.Transport.Accept()
		if errors.Is(err, ErrWouldBlock) {
			return
		}
		if err != nil {
			// Out of descriptors, most likely: those that are freed meanwhile count, and
			// the rest waits in the backlog.
			if !s.acceptErrorLogged {
				s.acceptErrorLogged = true
				s.config.Log.Warn("a connection can't be taken; told once", "err", err, "open", s.table.inUse)
			}
			s.config.Transport.SetAccepting(false)
			s.acceptRetryAt = s.now + acceptRetryInterval
			return
		}
		s.addConn(socket, from)
	}
}

// enter books a new connection.
func (s *Server) addConn(socket Socket, from netip.Addr) {
	crowded := s.table.inUse >= s.config.MaxConns
	i, c := s.table.allocate()
	c.socket, c.state, c.overLimit = socket, stateReading, crowded
	c.rulesVersion = s.rulesVersion
	s.memory.Add(membudget.ConnectionState, parkedConnBytes)
	s.idleConns.Add(s.now, i, s.config.IdleRules.Source(from), s.clientHash(from))
	s.wheel.Arm(i, s.now+RequestTimeout)
	s.lastAccept.Store(int64(s.now))
	s.stats.Accepted++
	if err := s.config.Transport.Register(socket, s.table.token(i)); err != nil {
		s.config.Log.Warn("a connection can't be waited for", "err", err)
		s.closeConn(i, c, closeTransport)
	}
}

// who is a hash of an address by a key of this process: nobody outside can pick
// addresses that fall together. 0: no address.
func (s *Server) clientHash(a netip.Addr) uint32 {
	if !a.IsValid() || s.config.EvictionPolicy != idleconns.LowestValue {
		return 0
	}
	b := a.As16()
	return uint32(maphash.Bytes(s.seed, b[:])) | 1
}

// room tells whether another connection may be taken in, and closes one for it if
// need be. With a request open on each, a few more are let in to be refused.
func (s *Server) makeRoom() bool {
	if s.table.inUse < s.config.MaxConns {
		return true
	}
	if s.config.Hooks.EvictIdle != nil {
		s.config.Hooks.EvictIdle()
	}
	switch s.evictOne() {
	case idleconns.Found:
		return true
	case idleconns.AllBusy:
		return s.table.inUse < s.config.MaxConns+s.config.MaxRefusalConns
	}
	return false
}

// oust closes the connection that goes first. One on which bytes have come
// meanwhile is no longer idle: it is read instead.
func (s *Server) evictOne() idleconns.VictimStatus {
	for tries := 0; ; tries++ {
		i, word := s.idleConns.Victim(s.now)
		if word != idleconns.Found {
			return word
		}
		c := s.table.at(i)
		if tries < 4 && s.readArrived(i, c) {
			continue
		}
		s.stats.Evicted++
		s.closeConn(i, c, closeEvicted)
		return idleconns.Found
	}
}

// looks tells whether bytes have come on a connection that is parked, or of which none have ever been read, and
// reads them.
func (s *Server) readArrived(i int32, c *conn) bool {
	if c.state != stateParked && (c.state != stateReading || c.active != nil) || s.config.Transport.Peek(c.socket) != nil {
		return false
	}
	s.stats.AvertedCloses++
	s.handleReadable(i, c)
	return true
}

// timers handles what is due, a bounded number at a time.
func (s *Server) handleTimers() {
	s.dueTimers = s.wheel.Advance(s.now, maxTimersPerTurn, s.dueTimers[:0])
	s.stats.MaxTimersDue = max(s.stats.MaxTimersDue, len(s.dueTimers))
	for _, i := range s.dueTimers {
		c := s.table.at(i)
		switch c.state {
		case stateParked:
			s.expired.push(s.table.token(i))
		case stateReading, stateDeferred:
			s.stats.RequestTimeouts++
			s.requestTimedOut(i, c)
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

// closeExpired closes connections whose time is over while it may, and tells whether
// there are more.
func (s *Server) closeExpired(may func() bool) bool {
	for s.expired.len() > 0 {
		if !may() {
			return true
		}
		i, c := s.table.lookup(s.expired.pop())
		// A request's bytes may cross the close; and one that has been in use since and
		// is parked again has its timer armed anew.
		if c == nil || c.state != stateParked || s.wheel.Armed(i) || s.readArrived(i, c) {
			continue
		}
		s.stats.Expired++
		s.closeConn(i, c, closeIdle)
	}
	return false
}

// step runs a piece of background work on the front's goroutine. It looks at the
// clock every few rounds.
func (s *Server) runStep(slice time.Duration, f func(may func() bool) bool) (took time.Duration, more bool) {
	s.Do(func() {
		begun, rounds := s.config.Now(), 0
		more = f(func() bool {
			rounds++
			return rounds%8 != 0 || s.config.Now() < begun+slice
		})
		s.now = max(s.now, s.config.Now())
		took = s.now - begun
	})
	return took, more
}

// CloseExpired closes idle connections whose time is over.
func (s *Server) CloseExpired(slice time.Duration) (took time.Duration, more bool) {
	return s.runStep(slice, s.closeExpired)
}

// MakeRoom closes idle connections until there is room for a few newcomers, so that
// not each has to wait for a close of its own.
func (s *Server) EvictIdle(slice time.Duration) (took time.Duration, more bool) {
	return s.runStep(slice, func(may func() bool) bool {
		for s.table.inUse > s.config.MaxConns-s.config.MaxConns/64 || s.memory.Level() == membudget.Full {
			if !may() {
				return true
			}
			if s.idleConns.Idle() == 0 || s.evictOne() != idleconns.Found {
				return false
			}
		}
		return false
	})
}

// Release gives buffers back that the last while had no use for.
func (s *Server) ReleaseBuffers(slice time.Duration) (took time.Duration, more bool) {
	return s.runStep(slice, func(may func() bool) bool {
		for len(s.pool) > minPooled {
			if !may() {
				return true
			}
			n := len(s.pool) - 1
			s.memory.Add(membudget.PooledBuffers, -s.pool[n].bytes())
			s.pool[n] = nil
			s.pool = s.pool[:n]
		}
		return false
	})
}
