package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/conns/repeats"
	. "curlewring/internal/node/nodetest"
)

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
