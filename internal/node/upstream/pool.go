package upstream

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/clock"
	"curlewring/internal/sched/timerwheel"
)

const (
	MaxBodySize     = 64 << 10             // largest body of a request or a response
	maxResponseSize = MaxBodySize + 64<<10 // including heads, interim responses and chunk framing
	maxKeptBuffer   = 2 << 10              // larger write buffers are not kept with a connection
)

// Target is a server to which attempts are being made. The node's loop owns it.
type Target struct {
	ID      string
	Address string      // never changes: a server that moves gets a new Target
	Closed  atomic.Bool // draining or removed: nothing new may be sent
}

// Request is a request as received from the client.
type Request struct {
	Method, URI, Host   string
	Txn, IdempotencyKey string // the X-Txn and Idempotency-Key headers
	ContentType         string
	Body                []byte
	Finished            *atomic.Bool // it has been answered, or its client has disconnected
}

func (q *Request) isFinished() bool { return q.Finished != nil && q.Finished.Load() }

// Response is the body of a server's response and its type.
type Response struct {
	ContentType string
	Body        []byte
}

// Outcome says how an attempt ended.
type Outcome struct {
	Result      decide.Result
	Response    *Response     // set if Result is decide.Served
	ConnClosed  bool          // the connection is not kept
	SpentBudget []string      // values of the response header that reports budget spent
	ConnAge     time.Duration // age of the connection that was used
	ConnRefused bool          // nobody listened at the server's address
	DialTime    time.Duration // time to open a new connection; 0: an idle one was used
	ConnNumber  uint64        // the connection that was used, counted from 1; 0: none
	IdleTime    time.Duration // how long that connection had been idle; 0: it was new
	Err         error         // why there is no usable response; nil if there is one
}

// Pool makes attempts. It keeps connections to servers, each of which carries one request at a
// time. It doesn't use net/http's Transport, which may send a request again by itself, so that an
// effect could happen twice.
type Pool struct {
	clock          clock.Clock
	limiter        *ConnLimiter
	connectTimeout time.Duration
	idleTimeout    time.Duration // connections that are idle for longer are closed
	connsOpened    atomic.Uint64
	desync         *desyncGuard
	onClose        func(ClosedConn)

	mu         sync.Mutex
	idle       map[string][]*conn // by server ID; the most recently used is last
	waiting    map[string]int     // requests that wait for a settling connection, by server ID
	idleTimers *timerwheel.Wheel  // closing times of idle connections
	timerConns []*conn            // idle connections by timer ID
	freeTimers []int32            // unused timer IDs
	dueTimers  []int32
}

// OnClose sets a function that is called for each closed connection and must not call the pool. It
// has to be set before the first attempt.
func (u *Pool) OnClose(f func(ClosedConn)) { u.onClose = f }

// discard closes a connection to a server and reports the reason.
func (u *Pool) discard(c *conn, server string, reason CloseReason) {
	if u.onClose != nil {
		u.onClose(ClosedConn{Server: server, Number: c.number, Age: u.clock.Now() - c.opened, Reason: reason})
	}
	c.close()
}

// idleMargin is how much sooner than the server's own idle timeout a connection is closed, so that
// no request is sent while the server is closing it.
const idleMargin = 250 * time.Millisecond

// New returns a pool without connections.
func New(clock clock.Clock, limiter *ConnLimiter, set *decide.Settings) *Pool {
	u := &Pool{
		clock: clock, limiter: limiter, connectTimeout: set.ConnectTimeout, idleTimeout: set.ConnIdleTimeout,
		idle: map[string][]*conn{}, waiting: map[string]int{}, idleTimers: timerwheel.New(idleTick, clock.Now()),
		desync: newDesyncGuard(),
	}
	if u.connectTimeout <= 0 {
		u.connectTimeout = time.Second
	}
	if u.idleTimeout <= 0 {
		u.idleTimeout = 10 * time.Second
	}
	u.idleTimeout -= min(idleMargin, u.idleTimeout/10)
	return u
}

// takeIdle removes and returns the most recently used idle connection to a server that has settled.
// It returns nil if there is none.
func (u *Pool) takeIdle(target *Target) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for at := len(u.idle[target.ID]) - 1; at >= 0; at-- {
		c := u.idle[target.ID][at]
		idleTime := u.clock.Now() - c.idleSince
		if c.address == target.Address && idleTime < u.desync.settleTime(u.clock.Now(), c) {
			continue
		}
		u.idle[target.ID] = slices.Delete(u.idle[target.ID], at, at+1)
		u.cancelIdleTimer(c)
		if reason := u.checkIdle(c, target, idleTime); reason != keepOpen {
			u.discard(c, target.ID, reason)
			continue
		}
		return c
	}
	return nil
}

// beginWait returns the time until a connection to a server settles that no other request waits
// for, and counts the caller as waiting for it until endWait is called. It returns 0 and counts
// nothing if there is no such connection or it takes longer than maxSettleWait.
func (u *Pool) beginWait(id string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := u.waiting[id] // the connections before it are waited for already
	if next >= len(u.idle[id]) {
		return 0
	}
	c, now := u.idle[id][next], u.clock.Now()
	wait := u.desync.settleTime(now, c) - (now - c.idleSince)
	if wait > maxSettleWait {
		return 0
	}
	u.waiting[id]++
	return max(wait, time.Nanosecond)
}

// endWait ends the wait of a request for a connection to a server.
func (u *Pool) endWait(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.waiting[id]--; u.waiting[id] == 0 {
		delete(u.waiting, id)
	}
}

// checkIdle returns the reason for closing a connection that has been idle, or keepOpen if it can
// be used for the next request.
func (u *Pool) checkIdle(c *conn, target *Target, idleTime time.Duration) CloseReason {
	if c.address != target.Address {
		return CloseAddressChanged
	}
	if idleTime >= u.idleTimeout {
		return CloseExpired
	}
	alive, hasData := c.probe()
	switch {
	case alive:
		return keepOpen
	case hasData:
		u.desync.unsolicitedBytes(u.clock.Now())
		return CloseUnsolicited
	}
	return CloseByServer
}

// keepIdle keeps a connection for the next request, unless nothing may be sent to its server.
func (u *Pool) keepIdle(target *Target, c *conn) bool {
	c.SetDeadline(time.Time{}) // an expired deadline would fail the probe in takeIdle
	c.idleSince = u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if target.Closed.Load() {
		return false
	}
	u.idle[target.ID] = append(u.idle[target.ID], c)
	c.serverID = target.ID
	u.armIdleTimer(c)
	return true
}

// CloseIdleTo closes the idle connections to a server.
func (u *Pool) CloseIdleTo(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[id] {
		u.cancelIdleTimer(c)
		u.discard(c, id, CloseServerClosed)
	}
	delete(u.idle, id)
}

// armIdleTimer sets a timer to close a connection after the idle timeout. u.mu must be held.
func (u *Pool) armIdleTimer(c *conn) {
	if n := len(u.freeTimers); n > 0 {
		c.timer, u.freeTimers = u.freeTimers[n-1], u.freeTimers[:n-1]
	} else {
		c.timer = int32(len(u.timerConns))
		u.timerConns = append(u.timerConns, nil)
	}
	u.timerConns[c.timer] = c
	u.idleTimers.Arm(c.timer, c.idleSince+u.idleTimeout)
}

// cancelIdleTimer cancels the timer of a connection that is used again or closed. u.mu must be
// held.
func (u *Pool) cancelIdleTimer(c *conn) {
	u.idleTimers.Cancel(c.timer)
	u.timerConns[c.timer] = nil
	u.freeTimers = append(u.freeTimers, c.timer)
}

// maxExpiredPerBatch is the maximum number of connections closed between two looks at the clock.
const (
	maxExpiredPerBatch = 8
	idleTick           = 20 * time.Millisecond
)

// CloseExpired closes connections whose idle timeout is over, for about a time slice. It is
// background work.
func (u *Pool) CloseExpired(slice time.Duration) (elapsed time.Duration, more bool) {
	started := u.clock.Now()
	for now := started; now < started+slice; now = u.clock.Now() {
		u.mu.Lock()
		u.dueTimers = u.idleTimers.Advance(now, maxExpiredPerBatch, u.dueTimers[:0])
		for _, t := range u.dueTimers {
			c := u.timerConns[t]
			stack := u.idle[c.serverID]
			if at := slices.Index(stack, c); at >= 0 {
				if stack = slices.Delete(stack, at, at+1); len(stack) == 0 {
					delete(u.idle, c.serverID)
				} else {
					u.idle[c.serverID] = stack
				}
			}
			u.cancelIdleTimer(c)
			u.discard(c, c.serverID, CloseExpired)
		}
		done := len(u.dueTimers) < maxExpiredPerBatch
		u.mu.Unlock()
		if done {
			return u.clock.Now() - started, false
		}
	}
	return u.clock.Now() - started, true
}

// CloseIdle closes all idle connections when the node shuts down.
func (u *Pool) CloseIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, stack := range u.idle {
		for _, c := range stack {
			u.cancelIdleTimer(c)
			u.discard(c, id, CloseShutdown)
		}
		delete(u.idle, id)
	}
}

// OpenConns returns the number of connections, idle and in use.
func (u *Pool) OpenConns() int { return int(u.limiter.open.Load()) }

// LiveIdleConns returns the number of idle connections to a server that have nothing to read.
func (u *Pool) LiveIdleConns(id string) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[id] {
		if alive, _ := c.probe(); alive {
			n++
		}
	}
	return n
}

// evictLongestIdle closes the connection that has been idle longest to make room for another. It
// returns false if there is none.
func (u *Pool) evictLongestIdle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := ""
	for id, stack := range u.idle {
		if len(stack) > 0 && (oldest == "" || stack[0].idleSince < u.idle[oldest][0].idleSince) {
			oldest = id
		}
	}
	if oldest == "" {
		return false
	}
	u.cancelIdleTimer(u.idle[oldest][0])
	u.discard(u.idle[oldest][0], oldest, CloseEvicted)
	u.idle[oldest] = u.idle[oldest][1:]
	return true
}
