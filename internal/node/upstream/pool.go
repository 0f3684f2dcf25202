package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/clock"
	"curlewring/internal/sched/timerwheel"
)

const (
	MaxBodySize     = 64 << 10
	maxResponseSize = MaxBodySize + 64<<10 // with heads, interim answers and chunks
	maxKeptBuffer   = 2 << 10              // bytes kept with a connection for its next request
)

// Peer is a server as the loop knows it, for the attempts that are on their way
// to it.
type Target struct {
	ID      string
	Address string      // fixed: a server that moves gets a new peer
	Closed  atomic.Bool // drains or is gone: nothing new may be sent
}

// Call is a request as its client sent it.
type Request struct {
	Method, URI, Host   string
	Txn, IdempotencyKey string // X-Txn and Idempotency-Key
	ContentType         string // Content-Type
	Body                []byte
	Finished            *atomic.Bool // it has its answer, or its client has left
}

func (q *Request) isFinished() bool { return q.Finished != nil && q.Finished.Load() }

// Response is the body of a server's answer.
type Response struct {
	ContentType string // Content-Type
	Body        []byte
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result      decide.Result
	Response    *Response     // served
	ConnClosed  bool          // its connection is not kept
	SpentBudget []string      // the answer's word of what was spent of a budget
	ConnAge     time.Duration // of the connection on which it was made
	DialTime    time.Duration // how long a new connection took; 0: it went out on one that was there
}

// Pool makes attempts. It keeps connections to servers, of which each
// carries one request at a time. net/http's Transport is no use here: it sends
// requests again by itself, which may let an effect happen twice.
type Pool struct {
	clock            clock.Clock
	limiter          *ConnLimiter
	connectTimeout   time.Duration
	idleTimeout      time.Duration // connections are closed when idle for this
	sawTrailingBytes atomic.Bool   // a server has sent more than its answer
	onClose          func(server string, why CloseReason)

	mu         sync.Mutex
	idle       map[string][]*conn // by server; the last was used last
	idleTimers *timerwheel.Wheel  // when idle connections have idled for too long
	timerConns []*conn            // by timer
	freeTimers []int32            // timers that no connection has
	dueTimers  []int32
}

type conn struct {
	net.Conn
	address       string
	opened        time.Duration
	serverID      string            // whose it is, once it has idled
	responseLimit *io.LimitedReader // what the answer may still bring
	reader        *bufio.Reader     // reads from limit
	raw           syscall.RawConn
	limiter       *ConnLimiter
	idleSince     time.Duration
	timer         int32  // its row
	writeBuffer   []byte // room for the next request
}

func (c *conn) close() {
	c.Conn.Close()
	c.limiter.release()
}

// CloseReason is why a connection to a server is closed, as logs have it.
type CloseReason string

// The reasons.
const (
	CloseExpired        CloseReason = "idle for too long"
	CloseAddressChanged CloseReason = "its server has another address"
	CloseByServer       CloseReason = "the server ended it, or sent what nobody asked for"
	CloseUnusable       CloseReason = "its attempt left it unusable"
	CloseServerClosed   CloseReason = "its server gets nothing new"
	CloseEvicted        CloseReason = "room for another"
	CloseShutdown       CloseReason = "the node ends"
)

// OnClose has a function called for each connection that is closed; it must not call the pool. It is set before the first
// attempt.
func (u *Pool) OnClose(f func(server string, why CloseReason)) { u.onClose = f }

// discard closes a connection to a server, and tells why.
func (u *Pool) discard(c *conn, server string, why CloseReason) {
	if u.onClose != nil {
		u.onClose(server, why)
	}
	c.close()
}

// idleMargin is how long before the server's own time a connection is closed,
// lest a request cross the server's closing on the way.
const idleMargin = 250 * time.Millisecond

// settling is how long a connection rests after an answer, once any server has
// sent something behind one. It is seen by then; in use again, the connection
// would pass it for the next request's answer. Until then no connection rests:
// calls that follow each other closely would each need a new one.
const settleTime = 5 * time.Millisecond

func New(clock clock.Clock, sockets *ConnLimiter, set *decide.Settings) *Pool {
	u := &Pool{
		clock: clock, limiter: sockets, connectTimeout: set.ConnectTimeout, idleTimeout: set.ConnIdleTimeout,
		idle: map[string][]*conn{}, idleTimers: timerwheel.New(idleTick, clock.Now()),
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

// get returns the connection to a server that was used last and has come to
// rest, or nil.
func (u *Pool) takeIdle(p *Target) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for at := len(u.idle[p.ID]) - 1; at >= 0; at-- {
		c := u.idle[p.ID][at]
		rested := u.clock.Now() - c.idleSince
		if u.sawTrailingBytes.Load() && rested < settleTime && c.address == p.Address {
			continue
		}
		u.idle[p.ID] = slices.Delete(u.idle[p.ID], at, at+1)
		u.cancelIdleTimer(c)
		why := CloseExpired
		switch {
		case c.address != p.Address:
			why = CloseAddressChanged
		case rested < u.idleTimeout:
			alive, more := c.probe()
			if alive {
				return c
			}
			if more {
				u.sawTrailingBytes.Store(true)
			}
			why = CloseByServer
		}
		u.discard(c, p.ID, why)
	}
	return nil
}

// put keeps a connection for the next request, unless its server wants none.
func (u *Pool) keepIdle(p *Target, c *conn) bool {
	c.SetDeadline(time.Time{}) // once past, it would fail the look that get takes
	c.idleSince = u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.Closed.Load() {
		return false
	}
	u.idle[p.ID] = append(u.idle[p.ID], c)
	c.serverID = p.ID
	u.armIdleTimer(c)
	return true
}

// HangUp closes the idle connections to a server.
func (u *Pool) CloseServer(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[id] {
		u.cancelIdleTimer(c)
		u.discard(c, id, CloseServerClosed)
	}
	delete(u.idle, id)
}

// arm has a connection closed once it has idled for too long. u.mu is held.
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

// unarm is arm's end: the connection is in use again or closes. u.mu is held.
func (u *Pool) cancelIdleTimer(c *conn) {
	u.idleTimers.Cancel(c.timer)
	u.timerConns[c.timer] = nil
	u.freeTimers = append(u.freeTimers, c.timer)
}

// mostIdleClosed bounds what is closed between two looks at the clock.
const (
	maxExpiredPerBatch = 8
	idleTick           = 20 * time.Millisecond
)

// Sweep closes connections that have idled for too long, as background work.
func (u *Pool) CloseExpired(slice time.Duration) (took time.Duration, more bool) {
	begun := u.clock.Now()
	for now := begun; now < begun+slice; now = u.clock.Now() {
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
			return u.clock.Now() - begun, false
		}
	}
	return u.clock.Now() - begun, true
}

// CloseIdle closes all idle connections: the node ends.
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

// Open is how many connections there are, idle and in use.
func (u *Pool) OpenConns() int { return int(u.limiter.open.Load()) }

// Alive is how many idle connections to a server have nothing to read.
func (u *Pool) AliveIdle(id string) (n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[id] {
		if alive, _ := c.probe(); alive {
			n++
		}
	}
	return n
}

// relieve closes the connection that has idled longest, to make room for another.
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

// look tells whether an idle connection has nothing to read, not even its end,
// and if not, whether something came on it.
func (c *conn) probe() (alive, more bool) {
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive, more = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK, n > 0
		return true
	})
	return err == nil && alive, more
}

// dial opens a connection to a server.
func (u *Pool) dial(ctx context.Context, p *Target, until time.Duration) (*conn, error) {
	for !u.limiter.acquire() {
		if !u.evictLongestIdle() {
			return nil, fmt.Errorf("dialing %s: no socket left", p.ID)
		}
	}
	dialer := net.Dialer{Timeout: min(u.connectTimeout, until-u.clock.Now()), KeepAlive: -1}
	if dialer.Timeout <= 0 {
		u.limiter.release()
		return nil, fmt.Errorf("dialing %s: no time left", p.ID)
	}
	nc, err := dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		u.limiter.release()
		return nil, fmt.Errorf("dialing %s: %w", p.ID, err)
	}
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		u.limiter.release()
		return nil, fmt.Errorf("dialing %s: %w", p.ID, err)
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{
		Conn: nc, address: p.Address, opened: u.clock.Now(), responseLimit: limit, reader: bufio.NewReader(limit), raw: raw, limiter: u.limiter,
	}, nil
}
