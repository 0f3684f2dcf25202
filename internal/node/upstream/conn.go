package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	number        uint64 // counts the pool's connections, from 1
	address       string
	opened        time.Duration
	serverID      string            // set once the connection has been idle
	responseLimit *io.LimitedReader // limits the size of the response
	reader        *bufio.Reader     // reads from responseLimit
	raw           syscall.RawConn
	limiter       *ConnLimiter
	responses     int  // responses read, without interim ones
	lastServed    bool // the last response was a successful one, of which copies may be told
	idleSince     time.Duration
	timer         int32  // its timer ID while idle
	writeBuffer   []byte // reused for the next request
}

func (c *conn) close() {
	c.Conn.Close()
	c.limiter.release()
}

// probe reports whether an idle connection is alive, that is, has nothing to read and was not
// closed by the server. If it isn't, hasData reports whether bytes have arrived on it.
func (c *conn) probe() (alive, hasData bool) {
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive, hasData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK, n > 0
		return true
	})
	return err == nil && alive, hasData
}

// dial opens a connection to a server.
func (u *Pool) dial(ctx context.Context, target *Target, until time.Duration) (*conn, error) {
	for !u.limiter.acquire() {
		if !u.evictLongestIdle() {
			return nil, fmt.Errorf("dialing %s: connection limit reached", target.ID)
		}
	}
	dialer := net.Dialer{Timeout: min(u.connectTimeout, until-u.clock.Now()), KeepAlive: -1}
	if dialer.Timeout <= 0 {
		u.limiter.release()
		return nil, fmt.Errorf("dialing %s: no time left", target.ID)
	}
	nc, err := dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		u.limiter.release()
		return nil, fmt.Errorf("dialing %s: %w", target.ID, err)
	}
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		nc.Close()
		u.limiter.release()
		return nil, fmt.Errorf("dialing %s: %w", target.ID, err)
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{
		Conn: nc, number: u.connsOpened.Add(1), address: target.Address, opened: u.clock.Now(), responseLimit: limit, reader: bufio.NewReader(limit),
		raw: raw, limiter: u.limiter,
	}, nil
}
