package upstream

import (
	"context"
	"sync"
	"time"
)

// Ticket calls an attempt off, whatever it is doing: it ends a dial, and the wait
// for an answer. It stands for a context, at the price of none: the usual attempt
// is never called off. Its zero value is ready; it is for one attempt.
type Canceler struct {
	mu         sync.Mutex
	canceled   bool
	conn       *conn              // the attempt waits on this for its answer
	cancelDial context.CancelFunc // or for a connection
}

// Cancel calls the attempt off. Later calls do nothing.
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

// isOff tells whether the attempt has been called off.
func (t *Canceler) isCanceled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.canceled
}

// dialing returns a context for a dial, which a call-off ends, and what ends it otherwise.
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

// waitOn says which connection the attempt waits on until a point in time, having
// written by another, and returns false if it has been called off.
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

// leave ends the wait, and tells whether no call-off has begun: only then the
// connection is as it was.
func (t *Canceler) detach() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = nil
	return !t.canceled
}
