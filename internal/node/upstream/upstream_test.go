package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// Whatever a server sends for an answer, it must be told apart from one that is
// whole, may have run, says nothing of the server's health, and ends its
// connection: what else comes on it would pass for the next request's answer. It
// is known at once: closing a body reads all that it is said to hold, which kept
// the request waiting for as long as it had time.
func TestMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"noise":                "\x00\xff\x13\r\n\r\n",
		"odd head":             "HTTP/1.1 200 OK\r\nbad header\r\n\r\n",
		"odd status":           "HTTP/1.1 abc OK\r\nContent-Length: 4\r\n\r\nfine",
		"negative length":      "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine!",
		"3 GB":                 "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine",
		"no length":            "HTTP/1.1 200 OK\r\n\r\nfine",
		"odd chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nfine\r\n",
		"too large":            "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537),
		"another protocol":     "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"a head as large as 1": "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 2*maxResponseSize),
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestPool()
			address := RawServer(t, func(c net.Conn) { io.WriteString(c, text) })
			begun := u.clock.Now()
			if o := testAttempt(t, u, address); o.Result != decide.Malformed || !o.ConnClosed {
				t.Errorf("ended as %v, closed %v", o.Result, o.ConnClosed)
			}
			if took := u.clock.Now() - begun; took > WaitTimeout/2 {
				t.Errorf("took %v", took)
			}
			if open := u.limiter.open.Load(); open != 0 {
				t.Errorf("%d connections are left", open)
			}
		})
	}
}

// An answer without end must be cut off early: at full speed it would pass the
// limit on memory within a moment.
func TestEndlessResponses(t *testing.T) {
	for name, parts := range map[string][2]string{
		"head":    {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
		"line":    {"HTTP/1.1 200 OK\r\nX-Long: ", "more"},
		"interim": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n"},
		"body":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "more"},
	} {
		t.Run(name, func(t *testing.T) {
			u, sent := newTestPool(), make(chan int, 1)
			address := RawServer(t, func(c net.Conn) {
				io.WriteString(c, parts[0])
				StreamForever(parts[1], sent)(c)
			})
			if o := testAttempt(t, u, address); o.Result != decide.Malformed || !o.ConnClosed {
				t.Errorf("ended as %v, closed %v", o.Result, o.ConnClosed)
			}
			<-sent // the connection is closed while the server still writes
		})
	}
}

// Interim answers belong to a good one, and so do odd headers that the node has
// no use for.
func TestInterimResponsesAndUnknownHeaders(t *testing.T) {
	u := newTestPool()
	address := RawServer(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+
			"HTTP/1.1 200 OK\r\nX-Pressure: {{\r\nContent-Length: 4\r\n\r\nfine")
	})
	if o := testAttempt(t, u, address); o.Result != decide.Served || string(o.Response.Body) != "fine" || o.ConnClosed {
		t.Errorf("ended as %v, closed %v", o.Result, o.ConnClosed)
	}
	u.CloseIdle()
}

// What comes behind an answer must not pass for the next request's, whether it
// comes with the answer or a moment later: the connection rests before it is
// used again, and is looked at right before.
func TestTrailingBytesAreNotServed(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, later := range map[string]bool{"at once": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			u, served := newTestPool(), make(chan struct{})
			address := RawServer(t, func(c net.Conn) {
				if !later {
					io.WriteString(c, whole+"fine"+whole+"copy")
					return
				}
				io.WriteString(c, whole+"fine")
				<-served
				io.WriteString(c, whole+"copy")
			})
			first := testAttempt(t, u, address)
			if first.Result != decide.Served || string(first.Response.Body) != "fine" || first.ConnClosed == later {
				t.Fatalf("ended as %v, closed %v", first.Result, first.ConnClosed)
			}
			close(served)
			if later {
				c := u.idle["s0"][0]
				WaitFor(t, "the copy is there", func() bool { alive, _ := c.probe(); return !alive })
			}
			if o := testAttempt(t, u, address); o.Result != decide.Served || string(o.Response.Body) != "fine" {
				t.Errorf("then: %v", o)
			}
			if !u.sawTrailingBytes.Load() {
				t.Error("it was not noticed")
			}
			u.CloseIdle()
		})
	}
}

// Once a server has sent something behind an answer, a connection that has just
// had its answer must not be used again before what may come has had a moment to
// arrive. Where none does, that would only cost new connections.
func TestConnectionsSettleBeforeReuse(t *testing.T) {
	u := newTestPool()
	address := RawServer(t, func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	p := &Target{ID: "s0", Address: address}
	testAttempt(t, u, address)
	c := u.idle["s0"][0]
	if got := u.takeIdle(p); got != c {
		t.Errorf("got %v where nothing came behind an answer", got)
	}
	u.keepIdle(p, c)
	u.sawTrailingBytes.Store(true)
	c.idleSince = u.clock.Now() + time.Hour // it never comes to rest
	if got := u.takeIdle(p); got != nil || len(u.idle["s0"]) != 1 {
		t.Errorf("got %v of %d connections", got, len(u.idle["s0"]))
	}
	c.idleSince = u.clock.Now() - settleTime
	if got := u.takeIdle(p); got != c {
		t.Errorf("got %v once it has rested", got)
	}
	c.close()
}

// Between the module's decision and the first byte a server may have drained and
// a request may be over. The code looks again before it writes.
func TestChecksAgainBeforeWriting(t *testing.T) {
	s := NewServer(t, RespondWith("fine"))
	set := &decide.Settings{ConnectTimeout: WaitTimeout, ConnIdleTimeout: WaitTimeout}
	clock, budget := clock.New(), NewConnLimiter(1000)
	up := New(clock, budget, set)
	q := &Request{Method: http.MethodGet, URI: "/look/1", Host: "app.svc", Txn: "1"}
	var over atomic.Bool
	q.Finished = &over
	p := &Target{ID: "s0", Address: s.Addr()}
	p.Closed.Store(true)
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()+WaitTimeout); o.Result != decide.NotSent {
		t.Errorf("to a drained server: %v", o.Result)
	}
	p.Closed.Store(false)
	over.Store(true)
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()+WaitTimeout); o.Result != decide.NotSent {
		t.Errorf("for a request that is over: %v", o.Result)
	}
	over.Store(false)
	// A connection that came up after the time by which a repeat may be sent is of no use for it.
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()-1, clock.Now()+WaitTimeout); o.Result != decide.NotSent {
		t.Errorf("after the window for repeats: %v", o.Result)
	}
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()-1); o.Result != decide.ConnectFailed {
		t.Errorf("with no time left: %v", o.Result)
	}
	if s.RequestCount() != 0 || budget.open.Load() != 0 {
		t.Errorf("%d requests came, %d sockets are open", s.RequestCount(), budget.open.Load())
	}
	if o := up.Attempt(&Canceler{}, p, q, "", clock.Now()+WaitTimeout, clock.Now()+WaitTimeout); o.Result != decide.Served || string(o.Response.Body) != "fine" {
		t.Errorf("then: %v", o.Result)
	}
	up.CloseIdle()
	if budget.open.Load() != 0 {
		t.Errorf("%d sockets are left", budget.open.Load())
	}
}

// The age of a connection tells for how long its server's process has lived on: it must go on from one attempt to the next, and
// begin anew with a connection that had to be made because the one before was dead.
func TestConnAge(t *testing.T) {
	u := newTestPool()
	s := NewServer(t, RespondWith("fine"))
	first := testAttempt(t, u, s.Addr())
	WaitFor(t, "some time passes", func() bool { return u.clock.Now() > 20*time.Millisecond })
	begun := u.clock.Now()
	second := testAttempt(t, u, s.Addr())
	if second.ConnAge <= first.ConnAge || second.DialTime > 0 {
		t.Errorf("used again after %v: %v old", first.ConnAge, second.ConnAge)
	}
	s.CloseClientConnections() // its process is another one
	WaitFor(t, "the connection is dead", func() bool { return u.AliveIdle("s0") == 0 })
	if third := testAttempt(t, u, s.Addr()); third.Result != decide.Served || third.ConnAge > u.clock.Now()-begun {
		t.Errorf("after the connection died: %v, %v old", third.Result, third.ConnAge)
	}
}
