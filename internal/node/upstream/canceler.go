package upstream

import (
	"context"
	"sync"
	"time"
)

// Canceler cancels one attempt in any phase: it ends a dial, or the wait for a response. It
// replaces a context, whose cost would be wasted on the usual attempt, which is never canceled. The
// zero value is ready for use.
type Canceler struct {
	mu         sync.Mutex
	canceled   bool
	conn       *conn              // the attempt is waiting for a response on this connection
	cancelDial context.CancelFunc // the attempt is dialing
}

// Cancel cancels the attempt. Later calls have no effect.
func (t *Canceler) Cancel() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.canceled = true
	if t.cancelDial != nil {
		t.cancelDial()
	}
	if t.conn != nil {
		t.conn.SetDeadline(time.Unix(1, 0))
	}
}

// isCanceled reports whether the attempt has been canceled.
func (t *Canceler) isCanceled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.canceled
}

// dialContext returns a context for a dial, which Cancel cancels, and a function that releases it.
func (t *Canceler) dialContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelDial = cancel; t.canceled {
		cancel()
	}
	return ctx, func() {
		cancel()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.cancelDial = nil
	}
}

// attach sets the connection that the attempt is waiting on, with deadlines for the response and
// for writing the request. It returns false if the attempt has been canceled.
func (t *Canceler) attach(c *conn, until, written time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.canceled {
		return false
	}
	t.conn = c
	c.SetDeadline(until)
	if written.Before(until) {
		c.SetWriteDeadline(written)
	}
	return true
}

// setReadDeadline changes the deadline for reading, unless the attempt has been canceled.
func (t *Canceler) setReadDeadline(deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && !t.canceled {
		t.conn.SetReadDeadline(deadline)
	}
}

// detach ends the wait and reports whether the attempt was not canceled. Only then is the
// connection still usable.
func (t *Canceler) detach() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = nil
	return !t.canceled
}
