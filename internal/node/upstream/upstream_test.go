package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/conns/repeats"
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

// A malformed response must be distinguished from a complete one: the request may have run, the
// response says nothing about the server's health, and the connection is closed, as further bytes
// on it would be taken for the next response. It must be detected at once. Closing a response's
// body used to read all of its declared length, which kept the request waiting until its deadline.
func TestMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"garbage":             "\x00\xff\x13\r\n\r\n",
		"malformed header":    "HTTP/1.1 200 OK\r\nbad header\r\n\r\n",
		"malformed status":    "HTTP/1.1 abc OK\r\nContent-Length: 4\r\n\r\nfine",
		"negative length":     "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine",
		"conflicting lengths": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine!",
		"two kinds of length": "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"two kinds, bare LF":  "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nContent-Length: 4\n\n4\nfine\n0\n\n",
		"3 GB length":         "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nfine",
		"no length":           "HTTP/1.1 200 OK\r\n\r\nfine",
		"malformed chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nfine\r\n",
		"body too large":      "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537),
		"protocol switch":     "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"head too large":      "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 2*maxResponseSize),
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestPool()
			address := RawServer(t, func(c net.Conn) { io.WriteString(c, text) })
			started := u.clock.Now()
			if o := testAttempt(t, u, address); o.Result != decide.Malformed || !o.ConnClosed {
				t.Errorf("result %v, connection closed: %v", o.Result, o.ConnClosed)
			}
			if took := u.clock.Now() - started; took > WaitTimeout/2 {
				t.Errorf("took %v", took)
			}
			if open := u.limiter.open.Load(); open != 0 {
				t.Errorf("%d connections are left open", open)
			}
		})
	}
}

// An endless response must be cut off early: at full speed it would exceed the memory limit within
// a moment.
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
				t.Errorf("result %v, connection closed: %v", o.Result, o.ConnClosed)
			}
			<-sent // the connection is closed while the server is still writing
		})
	}
}

// A response without a length is complete if the server closes the connection in order, and broken
// off if it resets the connection.
func TestResponsesWithoutALength(t *testing.T) {
	const ok, busy = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\n\r\n"
	for name, test := range map[string]struct {
		head, body string
		reset      bool
		result     decide.Result
	}{
		"closed":             {ok, "fine", false, decide.Served},
		"closed, no body":    {ok, "", false, decide.Served},
		"closed, HTTP/1.0":   {"HTTP/1.0 200 OK\r\n\r\n", "fine", false, decide.Served},
		"closed, refused":    {busy, "try later", false, decide.Rejected},
		"closed, largest":    {ok, strings.Repeat("x", MaxBodySize), false, decide.Served},
		"closed, too large":  {ok, strings.Repeat("x", MaxBodySize+1), false, decide.Malformed},
		"closed, large head": {"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxResponseSize-MaxBodySize) + "\r\n\r\n", strings.Repeat("x", MaxBodySize), false, decide.Malformed},
		"reset":              {ok, "fine", true, decide.ConnectionLost},
		"reset, no body":     {ok, "", true, decide.ConnectionLost},
		"reset, refused":     {busy, "try", true, decide.ConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestPool()
			address := RawServer(t, func(c net.Conn) {
				io.WriteString(c, test.head+test.body)
				if test.reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
			})
			o := testAttempt(t, u, address)
			if o.Result != test.result || !o.ConnClosed {
				t.Errorf("result %v, connection closed: %v, error %v", o.Result, o.ConnClosed, o.Err)
			}
			if o.Result == decide.Served && string(o.Response.Body) != test.body {
				t.Errorf("a body of %d bytes, want %d", len(o.Response.Body), len(test.body))
			}
		})
	}
}

// Waiting for the end of a response without a length must end with the attempt.
func TestEndOfWaitForAClose(t *testing.T) {
	u, sent := newTestPool(), make(chan struct{}, 1)
	address := RawServer(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
		sent <- struct{}{}
	})
	q := &Request{Method: http.MethodGet, URI: "/look/1", Host: "app.svc", Txn: NewRequestID()}
	until := u.clock.Now() + closeTimeout/2
	if o := u.Attempt(&Canceler{}, &Target{ID: "s0", Address: address}, q, "", until, until); o.Result != decide.TimedOut {
		t.Errorf("at the deadline: result %v", o.Result)
	}
	<-sent
	canceler, canceled := &Canceler{}, make(chan struct{})
	go func() {
		defer close(canceled)
		<-sent
		canceler.Cancel()
	}()
	until = u.clock.Now() + WaitTimeout
	if o := u.Attempt(canceler, &Target{ID: "s0", Address: address}, q, "", until, until); o.Result != decide.Cancelled {
		t.Errorf("canceled: result %v", o.Result)
	}
	<-canceled
}

// Interim responses, and malformed values of headers that the node doesn't use, don't spoil a valid
// response.
func TestInterimResponsesAndUnknownHeaders(t *testing.T) {
	u := newTestPool()
	address := RawServer(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"+
			"HTTP/1.1 200 OK\r\nX-Pressure: {{\r\nContent-Length: 4\r\n\r\nfine")
	})
	if o := testAttempt(t, u, address); o.Result != decide.Served || string(o.Response.Body) != "fine" || o.ConnClosed {
		t.Errorf("result %v, connection closed: %v", o.Result, o.ConnClosed)
	}
	u.CloseIdle()
}

// Bytes after a response must not be taken for the response to the next request, whether they
// arrive with the response or a moment later: the connection settles before it is reused, and is
// probed right before.
func TestTrailingBytesAreNotServed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	for name, later := range map[string]bool{"at once": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			u, served := newTestPool(), make(chan struct{})
			address := RawServer(t, func(c net.Conn) {
				if !later {
					io.WriteString(c, head+"fine"+head+"copy")
					return
				}
				io.WriteString(c, head+"fine")
				<-served
				io.WriteString(c, head+"copy")
			})
			first := testAttempt(t, u, address)
			if first.Result != decide.Served || string(first.Response.Body) != "fine" || first.ConnClosed == later {
				t.Fatalf("result %v, connection closed: %v", first.Result, first.ConnClosed)
			}
			close(served)
			if later {
				c := u.idle["s0"][0]
				WaitFor(t, "the second response has arrived", func() bool { alive, _ := c.probe(); return !alive })
				c.idleSince -= CautiousSettleTime
			}
			if o := testAttempt(t, u, address); o.Result != decide.Served || string(o.Response.Body) != "fine" {
				t.Errorf("next attempt: %v", o)
			}
			if got := u.desync.settleTime(u.clock.Now(), &conn{}); got != CautiousSettleTime {
				t.Errorf("connections rest for %v after the trailing bytes", got)
			}
			u.CloseIdle()
		})
	}
}

// learnResponses makes a pool believe that it has received enough responses, all different or all
// equal.
func learnResponses(u *Pool, different bool) {
	for i := uint64(0); u.desync.repeats.Learning(); i++ {
		r := repeats.Response{Conn: 1<<32 + i, Request: i}
		if different {
			r.Digest = i
		}
		u.desync.repeats.IsCopy(u.clock.Now(), r)
	}
}

// A connection must not be reused right after a response, before bytes that follow it could have
// arrived: whether or not a server has ever sent any, and longer where copies can't be told by
// their contents.
func TestConnectionsSettleBeforeReuse(t *testing.T) {
	const learning, different, equal = 0, 1, 2
	for name, test := range map[string]struct {
		responses               int
		sawTrailing, lastFailed bool
		settle                  time.Duration
	}{
		"too few responses":                  {learning, false, false, CautiousSettleTime},
		"different responses":                {different, false, false, SettleTime},
		"trailing bytes":                     {different, true, false, SettleTime},
		"trailing bytes, last one an error":  {different, true, true, CautiousSettleTime},
		"equal responses":                    {equal, false, false, SettleTime},
		"equal responses and trailing bytes": {equal, true, false, CautiousSettleTime},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestPool()
			address := RawServer(t, func(c net.Conn) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
			p := &Target{ID: "s0", Address: address}
			testAttempt(t, u, address)
			c := u.idle["s0"][0]
			c.lastServed = !test.lastFailed
			if test.responses != learning {
				learnResponses(u, test.responses == different)
			}
			if test.sawTrailing {
				u.desync.unsolicitedBytes(u.clock.Now())
			}
			c.idleSince = u.clock.Now() + time.Hour // it never settles
			if got := u.takeIdle(p); got != nil || len(u.idle["s0"]) != 1 {
				t.Errorf("got %v of %d unsettled connections, want none", got, len(u.idle["s0"]))
			}
			c.idleSince = u.clock.Now() - test.settle
			if got := u.takeIdle(p); got != c {
				t.Errorf("got %v after it has settled", got)
			}
			if got := u.desync.settleTime(u.clock.Now(), c); got != test.settle {
				t.Errorf("connections settle for %v, want %v", got, test.settle)
			}
			later := u.clock.Now() + cautionPeriod
			if got := u.desync.settleTime(later, c); test.responses != learning && got != SettleTime {
				t.Errorf("connections settle for %v after the time of caution", got)
			}
			c.close()
		})
	}
}

// A copy of an earlier response that arrives after the next request has been sent must be skipped,
// and the connection closed: HTTP/1.1 doesn't say which request a response belongs to.
func TestCopyOfEarlierResponseIsSkipped(t *testing.T) {
	for name, test := range map[string]struct {
		copies int
		want   decide.Result
	}{
		"one": {1, decide.Served}, "several": {maxCopies, decide.Served}, "too many": {maxCopies + 1, decide.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			u := newTestPool()
			var responses atomic.Int64
			address := RawServer(t, func(c net.Conn) {
				respond := func(number int64) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nresponse%4d", number)
				}
				number := responses.Add(1)
				if number == 100 {
					for range test.copies {
						respond(number - 1)
					}
				}
				respond(number)
			})
			var o Outcome
			for range 100 {
				if stack := u.idle["s0"]; len(stack) > 0 {
					stack[0].idleSince -= CautiousSettleTime
				}
				o = testAttempt(t, u, address)
			}
			if o.Result != test.want || !o.ConnClosed {
				t.Errorf("result %v, connection closed: %v, want %v", o.Result, o.ConnClosed, test.want)
			}
			if want := "response 100"; o.Result == decide.Served && string(o.Response.Body) != want {
				t.Errorf("served %q, want %q", o.Response.Body, want)
			}
			if got := u.desync.settleTime(u.clock.Now(), &conn{}); got != CautiousSettleTime {
				t.Errorf("connections settle for %v after a copy", got)
			}
			u.CloseIdle()
		})
	}
}

// equalResponses makes five requests on one connection, whose responses are equal but not copies,
// and returns the results.
func equalResponses(t *testing.T, uri func(i int) string) []decide.Result {
	t.Helper()
	u := newTestPool()
	defer u.CloseIdle()
	s := NewServer(t, RespondWith("fine"))
	learnResponses(u, true)
	var results []decide.Result
	for i := range 5 {
		if stack := u.idle["s0"]; len(stack) > 0 {
			stack[0].idleSince -= CautiousSettleTime
		}
		q := &Request{Method: http.MethodGet, URI: uri(i), Host: "app.svc", Txn: NewRequestID()}
		until := u.clock.Now() + 200*time.Millisecond
		results = append(results, u.Attempt(&Canceler{}, &Target{ID: "s0", Address: s.Addr()}, q, "", until, until).Result)
	}
	return results
}

// A response that only looks like a copy, as no other one arrives in its place, costs one attempt.
// Equal responses after it are served.
func TestWrongSuspicionCostsOneAttempt(t *testing.T) {
	results := equalResponses(t, func(i int) string { return fmt.Sprintf("/look/%d", i) })
	if want := []decide.Result{decide.Served, decide.TimedOut, decide.Served, decide.Served, decide.Served}; !slices.Equal(results, want) {
		t.Errorf("results %v, want %v", results, want)
	}
}

// Asking for the same again on a connection must not be mistaken for the server repeating itself.
func TestEqualRequestsAreServed(t *testing.T) {
	results := equalResponses(t, func(int) string { return "/look/1" })
	if want := slices.Repeat([]decide.Result{decide.Served}, 5); !slices.Equal(results, want) {
		t.Errorf("results %v, want %v", results, want)
	}
}

// Requests in quick succession must not open a new connection each: a request waits for one that
// settles soon, unless another request waits for it already.
func TestQuickSuccessionReusesConnections(t *testing.T) {
	u := newTestPool()
	learnResponses(u, false)
	s := NewServer(t, RespondWith("fine"))
	for range 40 {
		if o := testAttempt(t, u, s.Addr()); o.Result != decide.Served {
			t.Fatalf("attempt: %v", o.Result)
		}
	}
	if opened, _ := s.Connections(); opened != 1 {
		t.Errorf("%d connections for 40 requests one after another", opened)
	}
	u.idle["s0"][0].idleSince = u.clock.Now()
	if wait := u.beginWait("s0"); wait <= 0 || wait > maxSettleWait {
		t.Errorf("the first request waits for %v", wait)
	}
	if wait := u.beginWait("s0"); wait != 0 {
		t.Errorf("the second request waits for %v for the same connection", wait)
	}
	u.endWait("s0")
	if len(u.waiting) != 0 {
		t.Errorf("%d servers are still waited for", len(u.waiting))
	}
	u.CloseIdle()
}

// A request that waits for a settling connection must end at once when it is canceled.
func TestCancelWhileConnectionsSettle(t *testing.T) {
	u := newTestPool()
	s := NewServer(t, RespondWith("fine"))
	testAttempt(t, u, s.Addr())
	u.mu.Lock()
	for _, c := range u.idle["s0"] {
		c.idleSince = u.clock.Now() - CautiousSettleTime + maxSettleWait // they settle just in time to be waited for
	}
	u.mu.Unlock()
	canceler, ended := &Canceler{}, make(chan Outcome, 1)
	canceler.Cancel()
	go func() {
		q := &Request{Method: http.MethodGet, URI: "/look/1", Host: "app.svc", Txn: NewRequestID()}
		ended <- u.Attempt(canceler, &Target{ID: "s0", Address: s.Addr()}, q, "", u.clock.Now()+WaitTimeout, u.clock.Now()+WaitTimeout)
	}()
	select {
	case o := <-ended:
		if o.Result != decide.NotSent {
			t.Errorf("canceled attempt: %v", o.Result)
		}
	case <-time.After(WaitTimeout / 2):
		t.Error("the canceled attempt does not end")
	}
	u.CloseIdle()
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
