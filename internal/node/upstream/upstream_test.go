package upstream

import (
	"net/http"
	"sync/atomic"
	"testing"

	"curlewring/decide"
	"curlewring/internal/node/clock"
	. "curlewring/internal/node/nodetest"
)

// testAttempt makes one attempt at a server.
func testAttempt(t *testing.T, u *Pool, address string) Outcome {
	t.Helper()
	q := &Request{Method: http.MethodGet, URI: "/look/1", Host: "app.svc", Txn: NewRequestID()}
	return u.Attempt(&Canceler{}, &Target{ID: "s0", Address: address}, q, "", u.clock.Now()+WaitTimeout, u.clock.Now()+WaitTimeout)
}

func newTestPool() *Pool {
	return New(clock.New(), NewConnLimiter(100), &decide.Settings{ConnectTimeout: WaitTimeout, ConnIdleTimeout: WaitTimeout})
}

// Between the decision to send and the first byte, a server may have started to drain and a request
// may be finished. Both are checked again before writing.
func TestChecksAgainBeforeWriting(t *testing.T) {
	s := NewServer(t, RespondWith("fine"))
	set := &decide.Settings{ConnectTimeout: WaitTimeout, ConnIdleTimeout: WaitTimeout}
	clock, limiter := clock.New(), NewConnLimiter(1000)
	up := New(clock, limiter, set)
	q := &Request{Method: http.MethodGet, URI: "/look/1", Host: "app.svc", Txn: "1"}
	var finished atomic.Bool
	q.Finished = &finished
	p := &Target{ID: "s0", Address: s.Addr()}
	p.Closed.Store(true)
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()+WaitTimeout); o.Result != decide.NotSent {
		t.Errorf("to a draining server: %v", o.Result)
	}
	p.Closed.Store(false)
	finished.Store(true)
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()+WaitTimeout); o.Result != decide.NotSent {
		t.Errorf("for a finished request: %v", o.Result)
	}
	finished.Store(false)
	// A connection that is established after the time by which a retry may be sent is of no use for
	// it.
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()-1, clock.Now()+WaitTimeout); o.Result != decide.NotSent {
		t.Errorf("after the time for sending: %v", o.Result)
	}
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()-1); o.Result != decide.ConnectFailed {
		t.Errorf("with no time left: %v", o.Result)
	}
	if s.RequestCount() != 0 || limiter.open.Load() != 0 {
		t.Errorf("%d requests received, %d connections open", s.RequestCount(), limiter.open.Load())
	}
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()+WaitTimeout); o.Result != decide.Served || string(o.Response.Body) != "fine" {
		t.Errorf("next attempt: %v", o.Result)
	}
	up.CloseIdle()
	if limiter.open.Load() != 0 {
		t.Errorf("%d connections are left open", limiter.open.Load())
	}
}

// The age of a connection shows for how long its server's process has been running: it must
// increase from attempt to attempt and restart with a new connection after the old one died.
func TestConnAge(t *testing.T) {
	u := newTestPool()
	s := NewServer(t, RespondWith("fine"))
	first := testAttempt(t, u, s.Addr())
	WaitFor(t, "the connection has settled", func() bool { return u.clock.Now()-u.idle["s0"][0].idleSince > CautiousSettleTime })
	started := u.clock.Now()
	second := testAttempt(t, u, s.Addr())
	if second.ConnAge <= first.ConnAge || second.DialTime > 0 {
		t.Errorf("connection age is %v, then %v on a reused connection", first.ConnAge, second.ConnAge)
	}
	s.CloseClientConnections() // as if the process had been restarted
	WaitFor(t, "the connection is dead", func() bool { return u.LiveIdleConns("s0") == 0 })
	if third := testAttempt(t, u, s.Addr()); third.Result != decide.Served || third.ConnAge > u.clock.Now()-started {
		t.Errorf("after the connection died: %v, connection age %v", third.Result, third.ConnAge)
	}
}
