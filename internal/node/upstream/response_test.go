package upstream

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"curlewring/decide"
	. "curlewring/internal/node/nodetest"
)

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
		"many short fields":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 1000) + "Content-Length: 4\r\n\r\nfine",
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
		"reset":              {ok, "fine", true, decide.Malformed},
		"reset, no body":     {ok, "", true, decide.Malformed},
		"reset, refused":     {busy, "try", true, decide.Malformed},
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

// Silence in a response without a length is the end of the attempt's time if that comes first, and a
// malformed response otherwise.
func TestSilenceInAResponseWithoutALength(t *testing.T) {
	u := newTestPool()
	for name, test := range map[string]struct {
		left   time.Duration
		result decide.Result
	}{"the attempt ends first": {closeTimeout / 2, decide.TimedOut}, "the silence is too long": {WaitTimeout, decide.Malformed}} {
		silent := iotest.ErrReader(os.ErrDeadlineExceeded)
		body := &closeDelimitedBody{body: silent, pool: u, canceler: &Canceler{}, until: u.clock.Now() + test.left}
		_, err := body.Read(make([]byte, 1))
		open := &conn{responseLimit: &io.LimitedReader{N: maxResponseSize}}
		if result := failureOf(err, body.canceler, open); result != test.result {
			t.Errorf("%s: result %v, error %v", name, result, err)
		}
	}
}

// Cancelling an attempt must end the wait for the end of a response without a length.
func TestCancelInAResponseWithoutALength(t *testing.T) {
	u, sent, canceler := newTestPool(), make(chan struct{}), &Canceler{}
	address := RawServer(t, func(c net.Conn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfine")
		close(sent)
	})
	canceled := make(chan struct{})
	go func() {
		defer close(canceled)
		<-sent
		canceler.Cancel()
	}()
	q := &Request{Method: http.MethodGet, URI: "/look/1", Host: "app.svc", Txn: NewRequestID()}
	until := u.clock.Now() + WaitTimeout
	if o := u.Attempt(canceler, &Target{ID: "s0", Address: address}, q, "", until, until); o.Result != decide.Cancelled {
		t.Errorf("result %v", o.Result)
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
