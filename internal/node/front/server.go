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
	RequestTimeout = 2 * time.Second // for a whole request, from its first byte or the connection's start
	WriteGrace     = time.Second     // after its deadline a client that does not read is cut off
	writeWait      = 10 * time.Second
	lingerFor      = 500 * time.Millisecond
	// A connection that has just come has its request on the way.
	NewConnGrace = 250 * time.Millisecond
	roomLook     = 20 * time.Millisecond // between two looks for room
	timerTick    = 8 * time.Millisecond

	mostDue       = 256 // timers handled in one turn
	acceptAtOnce  = 64
	answersEvery  = 16 // events between two looks for answers
	readSize      = 8 << 10
	mostLingering = 64 << 10 // bytes dropped of what follows a last answer
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
	set       Config
	table     table
	wheel     *timerwheel.Wheel
	hold      *idleconns.Table
	ledger    *membudget.Budget
	scratch   []byte
	out       []byte
	parser    parser
	due       []int32
	expired   fifo        // parked connections whose time is over, by token
	again     fifo        // connections with bytes of a next request, which take turns
	later     [bands]fifo // deferred ones, by the worth of what they last asked for
	pool      []*work
	lookAt    time.Duration
	date      dateCache
	rules     uint8 // counts the rules that were in use
	recheckAt int32
	leaving   bool // no connection is kept after its answer
	emfile    bool // told once
	wary      bool // the process has just stood still
	freed     bool // a connection has ended or come to rest in this turn
	tracing   bool // each close is logged
	seed      maphash.Seed
	stats     Stats
	now       time.Duration
	steps     chan func()
	ended     chan struct{}
	accepted  atomic.Int64
	openCount atomic.Int64

	mu      sync.Mutex
	answers []queued
	answer  chan struct{}
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

type queued struct {
	token Token
	Response
}

// New makes a server of a transport, which it owns from then on.
func New(c Config) *Server {
	now := c.Now()
	return &Server{
		set: c, wheel: timerwheel.New(timerTick, now), now: now,
		hold:   idleconns.New(idleconns.Settings{Policy: c.EvictionPolicy, ClassWorths: c.ClassWorths, NewcomerGrace: NewConnGrace, RememberedClients: c.RememberedClients}, c.IdleRules, now),
		ledger: membudget.New(c.MemoryBudget), scratch: make([]byte, readSize),
		seed:    maphash.MakeSeed(),
		tracing: c.Log != nil && c.Log.Enabled(context.Background(), slog.LevelDebug),
		steps:   make(chan func()), ended: make(chan struct{}), answer: make(chan struct{}, 1),
	}
}

// Answer gives an open request its one answer. It may be called by any goroutine, and
// does not wait. The answer to a client that has left goes nowhere.
func (s *Server) Respond(t Token, a Response) {
	s.mu.Lock()
	s.answers = append(s.answers, queued{t, a})
	s.mu.Unlock()
	select {
	case s.answer <- struct{}{}:
	default:
	}
}

// Do runs a function on the front's goroutine and returns when it has run, or false
// if the front has ended.
func (s *Server) Do(f func()) bool {
	done := make(chan struct{})
	select {
	case s.steps <- func() { f(); close(done) }:
	case <-s.ended:
		return false
	}
	<-done
	return true
}

// Stats returns the counts as they are now; zero after the end.
func (s *Server) Stats() (st Stats) {
	s.Do(func() {
		st = s.stats
		st.Open, st.Parked, st.Reading = s.table.open, s.hold.Idle(), s.hold.Incomplete()
		st.Busy = st.Open - st.Parked - st.Reading
		st.Memory, st.MemoryPeak, st.PressureChanges = s.ledger.Total(), s.ledger.Peak(), s.ledger.LevelChanges()
	})
	return st
}

// Accepted is when the last connection came, and Conns how many there are.
func (s *Server) LastAccept() time.Duration { return time.Duration(s.accepted.Load()) }
func (s *Server) OpenConns() int            { return int(s.openCount.Load()) }

// UseRules takes other rules for idle connections. What is parked keeps no more and no
// less time than they give it: Recheck brings them to it by and by.
func (s *Server) SetIdleRules(r *idleconns.Rules) {
	s.Do(func() {
		s.set.IdleRules = r
		s.hold.SetRules(r)
		s.rules++
		s.recheckAt = 0
		if s.set.Hooks.ReapplyRules != nil {
			s.set.Hooks.ReapplyRules()
		}
	})
}

// Recheck goes on with what UseRules has begun.
func (s *Server) ReapplyRules(slice time.Duration) (took time.Duration, more bool) {
	return s.step(slice, func(may func() bool) bool {
		for ; int(s.recheckAt) < s.table.low; s.recheckAt++ {
			if !may() {
				return true
			}
			i, c := s.recheckAt, s.table.at(s.recheckAt)
			if c.state != parked || c.rules == s.rules {
				continue
			}
			s.sourced(i, c)
			since, limit, slack := s.hold.IdleTimeout(i)
			if s.wheel.Cancel(i) { // else its time is over already
				s.wheel.ArmSpread(i, since+limit, slack)
			}
		}
		return false
	})
}

// sourced finds out anew which network a connection is from: the rules have changed.
func (s *Server) sourced(i int32, c *conn) {
	c.rules = s.rules
	s.hold.SetSource(i, s.set.IdleRules.Source(s.set.Transport.RemoteAddr(c.socket)))
}

// Run serves until the context ends, and closes all that is left then.
func (s *Server) Run(ctx context.Context) {
	defer s.close()
	t := s.set.Transport
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
			s.turn(func() { s.events(batch) })
			t.BatchDone()
		case <-s.answer:
			s.turn(s.drain)
		case f := <-s.steps:
			s.turn(f)
		case <-alarm.C:
			alarmAt = 0
			s.turn(func() {})
		}
		if at, ok := s.next(); ok && (alarmAt == 0 || at < alarmAt) {
			alarm.Reset(max(at-s.set.Now(), 0))
			alarmAt = at
		}
	}
}

// turn does one piece of work and then what is due.
func (s *Server) turn(f func()) {
	begun := s.set.Now()
	s.now = max(s.now, begun)
	s.wary = s.set.Hooks.ProcessStalled != nil && s.set.Hooks.ProcessStalled()
	f()
	s.now = max(s.now, s.set.Now())
	timers := s.now
	s.timers()
	if s.lookAt > 0 && (s.freed || s.now >= s.lookAt) { // somebody waits
		s.lookAt = 0
		s.accept()
		if s.lookAt == 0 {
			s.set.Transport.SetAccepting(true)
		}
	}
	s.freed = false
	s.proceed()
	s.resume()
	end := s.set.Now()
	s.stats.MaxTurnTime = max(s.stats.MaxTurnTime, end-begun)
	s.stats.MaxTimersTime = max(s.stats.MaxTimersTime, end-timers)
	s.openCount.Store(int64(s.table.open))
}

// next is when the goroutine has to look again without an event.
func (s *Server) next() (time.Duration, bool) {
	at, ok := s.wheel.Next()
	if s.lookAt > 0 && (!ok || s.lookAt < at) {
		at, ok = s.lookAt, true
	}
	if s.again.len() > 0 || s.waiting() {
		at, ok = s.now, true
	}
	return at, ok
}

// events handles a batch of the transport's. Answers are not kept waiting for it.
func (s *Server) events(batch []Event) {
	for n, e := range batch {
		if n%answersEvery == answersEvery-1 {
			s.drain()
		}
		if e.Token == listenerToken {
			s.accept()
			continue
		}
		i, c := s.table.find(e.Token)
		if c == nil {
			continue // an event for a connection that has closed since
		}
		if e.Ready&ConnReset != 0 && (e.Ready&Readable == 0 || c.state == open) {
			s.gone(i, c)
			continue
		}
		if e.Ready&Writable != 0 && c.state == writing {
			s.flush(i, c)
		}
		if i, c = s.table.find(e.Token); c == nil {
			continue
		}
		// The end may come in one event with the request before it, and behind bytes that nobody reads yet.
		if e.Ready&PeerEnded != 0 {
			c.left = true
		}
		if e.Ready&Readable != 0 {
			s.readable(i, c)
		}
	}
}

// drain writes the answers that have been given.
func (s *Server) drain() {
	for {
		s.mu.Lock()
		all := s.answers
		s.answers = nil
		s.mu.Unlock()
		if len(all) == 0 {
			return
		}
		for n := range all {
			if i, c := s.table.find(uint64(all[n].token)); c != nil && c.state == open {
				s.write(i, c, &all[n].Response)
			}
		}
		s.mu.Lock()
		if s.answers == nil && cap(all) <= 1024 {
			clear(all)
			s.answers = all[:0]
		}
		s.mu.Unlock()
	}
}

// accept takes in what waits, as far as there is room.
func (s *Server) accept() {
	for n := range acceptAtOnce {
		if n > 0 && s.table.open >= s.set.MaxConns {
			return // nobody may wait any more: no connection is closed for that
		}
		if !s.room() {
			s.set.Transport.SetAccepting(false)
			s.lookAt = s.now + roomLook
			return
		}
		socket, from, err := s.set.Transport.Accept()
		if errors.Is(err, ErrWouldBlock) {
			return
		}
		if err != nil {
			// Out of descriptors, most likely: those that are freed meanwhile count, and
			// the rest waits in the backlog.
			if !s.emfile {
				s.emfile = true
				s.set.Log.Warn("a connection can't be taken; told once", "err", err, "open", s.table.open)
			}
			s.set.Transport.SetAccepting(false)
			s.lookAt = s.now + roomLook
			return
		}
		s.enter(socket, from)
	}
}

// enter books a new connection.
func (s *Server) enter(socket Socket, from netip.Addr) {
	crowded := s.table.open >= s.set.MaxConns
	i, c := s.table.take()
	c.socket, c.state, c.crowded = socket, reading, crowded
	c.rules = s.rules
	s.ledger.Add(membudget.ConnectionState, rowBytes)
	s.hold.Add(s.now, i, s.set.IdleRules.Source(from), s.who(from))
	s.wheel.Arm(i, s.now+RequestTimeout)
	s.accepted.Store(int64(s.now))
	s.stats.Accepted++
	if err := s.set.Transport.Register(socket, s.table.token(i)); err != nil {
		s.set.Log.Warn("a connection can't be waited for", "err", err)
		s.drop(i, c, closeTransport)
	}
}

// who is a hash of an address by a key of this process: nobody outside can pick
// addresses that fall together. 0: no address.
func (s *Server) who(a netip.Addr) uint32 {
	if !a.IsValid() || s.set.EvictionPolicy != idleconns.LowestValue {
		return 0
	}
	b := a.As16()
	return uint32(maphash.Bytes(s.seed, b[:])) | 1
}

// room tells whether another connection may be taken in, and closes one for it if
// need be. With a request open on each, a few more are let in to be refused.
func (s *Server) room() bool {
	if s.table.open < s.set.MaxConns {
		return true
	}
	if s.set.Hooks.EvictIdle != nil {
		s.set.Hooks.EvictIdle()
	}
	switch s.oust() {
	case idleconns.Found:
		return true
	case idleconns.AllBusy:
		return s.table.open < s.set.MaxConns+s.set.MaxRefusalConns
	}
	return false
}

// oust closes the connection that goes first. One on which bytes have come
// meanwhile is no longer idle: it is read instead.
func (s *Server) oust() idleconns.VictimStatus {
	for tries := 0; ; tries++ {
		i, word := s.hold.Victim(s.now)
		if word != idleconns.Found {
			return word
		}
		c := s.table.at(i)
		if tries < 4 && s.looks(i, c) {
			continue
		}
		s.stats.Evicted++
		s.drop(i, c, closeForRoom)
		return idleconns.Found
	}
}

// looks tells whether bytes have come on a connection that is parked, or of which none have ever been read, and
// reads them.
func (s *Server) looks(i int32, c *conn) bool {
	if c.state != parked && (c.state != reading || c.work != nil) || s.set.Transport.Peek(c.socket) != nil {
		return false
	}
	s.stats.AvertedCloses++
	s.readable(i, c)
	return true
}

// timers handles what is due, a bounded number at a time.
func (s *Server) timers() {
	s.due = s.wheel.Advance(s.now, mostDue, s.due[:0])
	s.stats.MaxTimersDue = max(s.stats.MaxTimersDue, len(s.due))
	for _, i := range s.due {
		c := s.table.at(i)
		switch c.state {
		case parked:
			s.expired.push(s.table.token(i))
		case reading, deferred:
			s.stats.RequestTimeouts++
			s.late(i, c)
		case writing:
			s.stats.WriteTimeouts++
			s.drop(i, c, closeNotRead)
		case lingering:
			s.drop(i, c, closeLingered)
		}
	}
	if s.expired.len() > 0 {
		if s.set.Hooks.CloseExpired != nil {
			s.set.Hooks.CloseExpired()
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
		i, c := s.table.find(s.expired.pop())
		// A request's bytes may cross the close; and one that has been in use since and
		// is parked again has its timer armed anew.
		if c == nil || c.state != parked || s.wheel.Armed(i) || s.looks(i, c) {
			continue
		}
		s.stats.Expired++
		s.drop(i, c, closeIdle)
	}
	return false
}

// step runs a piece of background work on the front's goroutine. It looks at the
// clock every few rounds.
func (s *Server) step(slice time.Duration, f func(may func() bool) bool) (took time.Duration, more bool) {
	s.Do(func() {
		begun, rounds := s.set.Now(), 0
		more = f(func() bool {
			rounds++
			return rounds%8 != 0 || s.set.Now() < begun+slice
		})
		s.now = max(s.now, s.set.Now())
		took = s.now - begun
	})
	return took, more
}

// CloseExpired closes idle connections whose time is over.
func (s *Server) CloseExpired(slice time.Duration) (took time.Duration, more bool) {
	return s.step(slice, s.closeExpired)
}

// MakeRoom closes idle connections until there is room for a few newcomers, so that
// not each has to wait for a close of its own.
func (s *Server) EvictIdle(slice time.Duration) (took time.Duration, more bool) {
	return s.step(slice, func(may func() bool) bool {
		for s.table.open > s.set.MaxConns-s.set.MaxConns/64 || s.ledger.Level() == membudget.Full {
			if !may() {
				return true
			}
			if s.hold.Idle() == 0 || s.oust() != idleconns.Found {
				return false
			}
		}
		return false
	})
}

// Release gives buffers back that the last while had no use for.
func (s *Server) ReleaseBuffers(slice time.Duration) (took time.Duration, more bool) {
	return s.step(slice, func(may func() bool) bool {
		for len(s.pool) > leastPool {
			if !may() {
				return true
			}
			n := len(s.pool) - 1
			s.ledger.Add(membudget.PooledBuffers, -s.pool[n].bytes())
			s.pool[n] = nil
			s.pool = s.pool[:n]
		}
		return false
	})
}
