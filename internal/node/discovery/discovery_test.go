package discovery

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// place is that of the only node.
func onlyNode() endpoints.FleetPosition { return endpoints.FleetPosition{NodeCount: 1} }

// listsTo passes on what the module would be told of: lists, and nil for calls that failed. A silent long poll is none of
// these.
func forwardLists(lists chan<- *endpoints.List) func(Update) {
	return func(u Update) {
		if u.List != nil || u.Failure.Reason != endpoints.PollTimedOut {
			lists <- u.List
		}
	}
}

// running keeps a watch from a generation on until stop.
func startWatch(t *testing.T, d *Client, since uint64) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.RunWatch(ctx, &since)
	}()
	return func() {
		cancel()
		<-done
	}
}

// A watch that stays silent past its time is lost, and must begin anew at once from the same generation: the node would
// else hear of nothing any more. The next poll must be one that proves itself. It is no failed call, after which the module
// makes a pause: the poll has taken long enough.
func TestSilentWatchRestarts(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	losts := make(chan bool, 10)
	watched.pollTimes = func(_ time.Duration, lost bool) (wait, patience time.Duration) {
		losts <- lost
		if lost {
			return 2 * WaitTimeout, 2 * WaitTimeout
		}
		return 50 * time.Millisecond, 100 * time.Millisecond
	}
	stop := startWatch(t, watched, 3)
	watched.SetWatch(true)
	WaitFor(t, "the watch begins anew", func() bool { return d.Calls() == 2 })
	if q := d.Query(1); !strings.HasPrefix(q, "since=3&") {
		t.Errorf("asked with %q", q)
	}
	if first, second := <-losts, <-losts; first || !second {
		t.Errorf("the calls before failed: %v, %v", first, second)
	}
	stop()
	if len(reports) > 0 {
		t.Errorf("reported %v", <-reports)
	}
}

// After a call that failed the next poll must be a short one: a network that swallows it too would else keep the node
// from asking once more before what discovery knows counts as told. A call that is made anew as discovery has moved is
// short as well, for the new address may be silent. One that was answered ends that.
func TestShortPollsAfterFailure(t *testing.T) {
	d, next := NewDiscoveryServer(t), NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	waits := func(d *DiscoveryServer, call int) time.Duration {
		t.Helper()
		WaitFor(t, "a call comes", func() bool { return d.Calls() > call })
		q, err := url.ParseQuery(d.Query(call))
		if err != nil {
			t.Fatal(err)
		}
		ms, err := strconv.Atoi(q.Get("timeout_ms"))
		if err != nil {
			t.Fatalf("asked %q", d.Query(call))
		}
		return time.Duration(ms) * time.Millisecond
	}
	stop := startWatch(t, watched, 3)
	const short = 2 * time.Second
	watched.SetWatch(true)
	if got := waits(d, 0); got <= short {
		t.Errorf("the first poll waits %v", got)
	}
	d.SendList(t, "") // it says that it can't: calls get through, and short ones would be too many
	<-reports
	watched.SetWatch(true)
	if got := waits(d, 1); got <= short {
		t.Errorf("turned away, a poll waits %v", got)
	}
	d.SendList(t, "{") // what can't be read may be anybody's
	<-reports
	watched.SetWatch(true)
	if got := waits(d, 2); got > short {
		t.Errorf("after a failure a poll waits %v", got)
	}
	d.SendList(t, ServerList(4, false))
	<-reports
	if got := waits(d, 3); got <= short {
		t.Errorf("after an answer a poll waits %v", got)
	}
	watched.SetAddress(next.Listener.Addr().String())
	if got := waits(next, 0); got > short {
		t.Errorf("at a new address the poll waits %v", got)
	}
	stop()
}

// A node that has a list and asks for the whole in doubt must not lose by that what it has: if the call fails, the next
// one is for the changes, which costs discovery little and is answered sooner.
func TestFailedWholeListKeepsGeneration(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	watched.queueTime = 0 // an early question does not wait for the first call to have left the queue
	stop := startWatch(t, watched, 7)
	watched.SetWatch(true)
	WaitFor(t, "the watch begins", func() bool { return d.Calls() == 1 })
	watched.RestartWatch(true)
	WaitFor(t, "the whole is asked for", func() bool { return d.Calls() == 2 })
	if q := d.Query(1); q != "" {
		t.Errorf("asked %q for the whole", q)
	}
	d.SendList(t, "")
	<-reports
	watched.SetWatch(true)
	WaitFor(t, "the watch goes on", func() bool { return d.Calls() == 3 })
	if q := d.Query(2); !strings.HasPrefix(q, "since=7&") {
		t.Errorf("then asked %q", q)
	}
	stop()
}

// When discovery moves, the watch must go on at the new address at once and from
// the same generation, and the end of the call at the old one must not count as
// a failed call, after which the module waits before it asks again. The old
// address must get no further call.
func TestWatchFollowsAddressChange(t *testing.T) {
	old, next := NewDiscoveryServer(t), NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(old.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	stop := startWatch(t, d, 3)
	d.SetWatch(true)
	WaitFor(t, "the watch is at the old address", func() bool { return old.Calls() == 1 })
	d.SetAddress(next.Listener.Addr().String())
	next.SendList(t, ServerList(4, false))
	if l := <-reports; l == nil || l.Generation != 4 {
		t.Errorf("reported %v, want the list of the new address", l)
	}
	if q := next.Query(0); !strings.HasPrefix(q, "since=3&") {
		t.Errorf("asked with %q", q)
	}
	// A watch that has failed waits for the module; a move ends that wait too.
	next.SendList(t, "")
	if l := <-reports; l != nil {
		t.Errorf("reported %v, want a failed call", l)
	}
	d.SetAddress(old.Listener.Addr().String())
	WaitFor(t, "the watch is back", func() bool { return old.Calls() == 2 })
	old.SendList(t, ServerList(5, false))
	if l := <-reports; l == nil || l.Generation != 5 {
		t.Errorf("reported %v, want the list of the address moved back to", l)
	}
	if q := old.Query(1); !strings.HasPrefix(q, "since=4&") {
		t.Errorf("asked with %q", q)
	}
	stop()
}

// A list or a head without end must fail the call early: the node's memory is
// small, and discovery may be broken like any other server.
func TestEndlessLists(t *testing.T) {
	for name, parts := range map[string][2]string{
		"list": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n[", "[],"},
		"head": {"HTTP/1.1 200 OK\r\n", "X-More: more\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := RawServer(t, func(c net.Conn) {
				io.WriteString(c, parts[0])
				StreamForever(parts[1], sent)(c)
			})
			d := New(address, onlyNode(), DiscardLogger(), func(Update) {})
			if l, err := d.call(t.Context(), "", WaitTimeout); err == nil {
				t.Errorf("took %v for a list", l)
			}
			<-sent // the connection is closed while the service still writes
		})
	}
}

// heldServer is a discovery whose calls the test answers byte by byte. What it is sent on a call's channel is written at
// once; an empty text ends the call.
type heldServer struct {
	address string
	calls   chan heldCall
}

type heldCall struct {
	query string
	text  chan string
	done  chan struct{} // closed as the call ends
}

// write writes to the call, unless its caller has ended it.
func (c heldCall) write(t *testing.T, text string) {
	t.Helper()
	select {
	case c.text <- text:
	case <-c.done:
		t.Errorf("the call %q has been given up before its answer", c.query)
	}
}

func newHeldServer(t *testing.T) *heldServer {
	t.Helper()
	s := &heldServer{calls: make(chan heldCall, 16)}
	end := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := heldCall{r.URL.RawQuery, make(chan string), make(chan struct{})}
		defer close(c.done)
		s.calls <- c
		for {
			select {
			case text := <-c.text:
				if text == "" {
					return
				}
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-end:
				return
			}
		}
	}))
	s.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		close(end)
		server.CloseClientConnections()
		server.Close()
	})
	return s
}

func (s *heldServer) call(t *testing.T) heldCall {
	t.Helper()
	select {
	case c := <-s.calls:
		return c
	case <-time.After(WaitTimeout):
		t.Fatal("no call came")
		return heldCall{}
	}
}

// What discovery has written counts as told from then on. A watch that is made anew just then, as failing servers or a
// new configuration want it, must not throw the answer away that is on its way: the new call may have to wait in turn for
// longer than a node may go on sending. Either order is forced: half of the answer is written before, the rest after.
func TestAnswersOfReplacedCalls(t *testing.T) {
	for name, anew := range map[string]func(d *Client, next *heldServer){
		"signs that the list is old": func(d *Client, _ *heldServer) { d.RestartWatch(false) },
		"doubts of a list":           func(d *Client, _ *heldServer) { d.RestartWatch(true) },
		"a new configuration":        func(d *Client, next *heldServer) { d.SetAddress(next.address) },
	} {
		t.Run(name, func(t *testing.T) {
			s, next := newHeldServer(t), newHeldServer(t)
			reports := make(chan *endpoints.List, 10)
			d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(reports))
			d.queueTime = 0 // an early question does not wait for the first call to have left the queue
			stop := startWatch(t, d, 3)
			d.SetWatch(true)
			first := s.call(t)
			text := ServerList(4, false, "127.0.0.1:1 DRAINING")
			first.write(t, text[:10])
			anew(d, next)
			var second heldCall // it waits in turn, and is not answered at all
			if name == "a new configuration" {
				second = next.call(t)
			} else {
				second = s.call(t)
			}
			first.write(t, text[10:])
			first.write(t, "")
			select {
			case l := <-reports:
				if l == nil || l.Generation != 4 || len(l.Entries) != 1 {
					t.Errorf("reported %v", l)
				}
			case <-time.After(WaitTimeout):
				t.Error("the answer is lost")
			}
			// The second call was begun before that: an older list of its is no news.
			second.write(t, ServerList(3, second.query == "", "127.0.0.1:1"))
			second.write(t, "")
			WaitFor(t, "the watch goes on", func() bool { return len(s.calls)+len(next.calls) > 0 })
			if len(reports) > 0 {
				t.Errorf("an older list was reported: %v", <-reports)
			}
			stop()
		})
	}
}

// The call before must end soon after a newer one was answered, or a node would hold two at discovery for good.
func TestPreviousCallIsCanceled(t *testing.T) {
	s := newHeldServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(reports))
	d.pollTimes = func(time.Duration, bool) (wait, patience time.Duration) { return time.Minute, 2 * WaitTimeout }
	d.queueTime = 0 // as above
	stop := startWatch(t, d, 3)
	d.SetWatch(true)
	first := s.call(t)
	d.RestartWatch(false)
	second := s.call(t)
	second.write(t, ServerList(4, false))
	second.write(t, "")
	if l := <-reports; l == nil || l.Generation != 4 {
		t.Fatalf("reported %v", l)
	}
	third := s.call(t)
	if !strings.HasPrefix(third.query, "since=4&") {
		t.Errorf("goes on with %q", third.query)
	}
	select {
	case <-first.done:
	case <-time.After(WaitTimeout):
		t.Error("the first call is still out")
	}
	if len(s.calls) > 0 || len(reports) > 0 {
		t.Errorf("%d more calls, %d more reports", len(s.calls), len(reports))
	}
	stop()
}

// Where lists are pushed the module asks for none, and what the agent has counts as told at once: the watch must go on by
// itself from the start, a call that the agent does not answer must be over within the grace of drains, and one that fails
// must be made again at once. An agent is silent while discovery is down; that is told once, and not to the module again
// and again for longer than it lasts.
func TestPushedLists(t *testing.T) {
	s := newHeldServer(t)
	reports := make(chan *endpoints.List, 100)
	d := New(s.address, endpoints.FleetPosition{NodeCount: 4, Pushed: true}, DiscardLogger(), forwardLists(reports))
	stop := startWatch(t, d, 3)
	for range 4 { // silent: each call ends by itself, and the next one comes
		c := s.call(t)
		ms, err := strconv.Atoi(strings.TrimPrefix(c.query, "since=3&timeout_ms="))
		if err != nil || ms > 300 {
			t.Fatalf("asked %q", c.query)
		}
		<-c.done
	}
	c := s.call(t)
	c.write(t, ServerList(5, false, "127.0.0.1:1 DRAINING"))
	c.write(t, "")
	if l := <-reports; l == nil || l.Generation != 5 {
		t.Errorf("reported %v", l)
	}
	if c := s.call(t); !strings.HasPrefix(c.query, "since=5&") {
		t.Errorf("goes on with %q", c.query)
	}
	stop()
	// How long a call that is not answered keeps the next one waiting: less than rule 3 gives, whatever came before.
	for _, lost := range []bool{false, true} {
		if wait, patience := d.pollTimes(0, lost); wait > patience || patience+agentRetryPause > 400*time.Millisecond {
			t.Errorf("a poll waits %v, and is lost after %v and %v", wait, patience, agentRetryPause)
		}
	}
}

// A watch is made anew, the new call fails, and the one before brings its answer after all: the module takes that for a watch
// that goes on, and asks for nothing more. So it has to go on.
func TestPreviousAnswerAfterFailureContinuesWatch(t *testing.T) {
	s := newHeldServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(reports))
	d.queueTime = 0 // as above
	stop := startWatch(t, d, 3)
	d.SetWatch(true)
	first := s.call(t)
	d.RestartWatch(false)
	second := s.call(t)
	second.write(t, "{") // no list
	second.write(t, "")
	if l := <-reports; l != nil {
		t.Errorf("reported %v", l)
	}
	first.write(t, ServerList(4, false))
	first.write(t, "")
	if l := <-reports; l == nil || l.Generation != 4 {
		t.Errorf("reported %v", l)
	}
	if c := s.call(t); !strings.HasPrefix(c.query, "since=4&") {
		t.Errorf("goes on with %q", c.query)
	}
	stop()
}
