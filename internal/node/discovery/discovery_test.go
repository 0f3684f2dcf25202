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

// onlyNode is the position of a node that is alone in its fleet.
func onlyNode() endpoints.FleetPosition { return endpoints.FleetPosition{NodeCount: 1} }

// forwardLists passes on lists, and nil for failed calls, as the balancer would receive
// them. A long poll that timed out is neither.
func forwardLists(lists chan<- *endpoints.List) func(Update) {
	return func(u Update) {
		if u.List != nil || u.Failure.Reason != endpoints.PollTimedOut {
			lists <- u.List
		}
	}
}

// startWatch runs a watch from a generation until stop is called.
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

// A long poll without any answer is lost, and must be repeated at once from the same generation:
// otherwise the node would receive no more changes. The next poll must be a short one. It isn't a
// failed call, after which the balancer pauses, because the poll has waited long enough.
func TestSilentWatchRestarts(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	unprovenPolls := make(chan bool, 10)
	watched.pollTimes = func(_ time.Duration, unproven bool) (wait, timeout time.Duration) {
		unprovenPolls <- unproven
		if unproven {
			return 2 * WaitTimeout, 2 * WaitTimeout
		}
		return 50 * time.Millisecond, 100 * time.Millisecond
	}
	stop := startWatch(t, watched, 3)
	watched.SetWatch(true)
	WaitFor(t, "the watch restarts", func() bool { return d.Calls() == 2 })
	if q := d.Query(1); !strings.HasPrefix(q, "since=3&") {
		t.Errorf("query is %q", q)
	}
	if first, second := <-unprovenPolls, <-unprovenPolls; first || !second {
		t.Errorf("poll was short: %v, then %v, want false, then true", first, second)
	}
	stop()
	if len(reports) > 0 {
		t.Errorf("reported %v, want nothing", <-reports)
	}
}

// After a failed call the next poll must be short: if the network drops it too, a long one would
// keep the node from calling again before the grace for changes ends. The first poll after an
// address change is short as well, as the new address may not answer. After an answer polls are
// long again.
func TestShortPollsAfterFailure(t *testing.T) {
	d, next := NewDiscoveryServer(t), NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	waits := func(d *DiscoveryServer, call int) time.Duration {
		t.Helper()
		WaitFor(t, "a call arrives", func() bool { return d.Calls() > call })
		q, err := url.ParseQuery(d.Query(call))
		if err != nil {
			t.Fatal(err)
		}
		ms, err := strconv.Atoi(q.Get("timeout_ms"))
		if err != nil {
			t.Fatalf("query is %q", d.Query(call))
		}
		return time.Duration(ms) * time.Millisecond
	}
	stop := startWatch(t, watched, 3)
	const short = 2 * time.Second
	watched.SetWatch(true)
	if got := waits(d, 0); got <= short {
		t.Errorf("the first poll waits %v", got)
	}
	d.SendList(t, "") // status 503: calls get through, and short polls would be too many
	<-reports
	watched.SetWatch(true)
	if got := waits(d, 1); got <= short {
		t.Errorf("after status 503 a poll waits %v", got)
	}
	d.SendList(t, "{") // an invalid answer may come from anything
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

// When a node with a list asks for the whole list in doubt and that call fails, it must keep its
// generation: the next call asks for changes, which costs discovery little and is answered sooner.
func TestFailedWholeListKeepsGeneration(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), onlyNode(), DiscardLogger(), forwardLists(reports))
	watched.queueTime = 0 // a restart doesn't wait for the pending call to leave the queue
	stop := startWatch(t, watched, 7)
	watched.SetWatch(true)
	WaitFor(t, "the watch starts", func() bool { return d.Calls() == 1 })
	watched.RestartWatch(true)
	WaitFor(t, "the whole list is requested", func() bool { return d.Calls() == 2 })
	if q := d.Query(1); q != "" {
		t.Errorf("query for the whole list is %q", q)
	}
	d.SendList(t, "")
	<-reports
	watched.SetWatch(true)
	WaitFor(t, "the watch continues", func() bool { return d.Calls() == 3 })
	if q := d.Query(2); !strings.HasPrefix(q, "since=7&") {
		t.Errorf("next query is %q", q)
	}
	stop()
}

// When discovery moves, the watch must continue at the new address at once and from the same
// generation. The end of the call to the old address must not count as a failed call, after which
// the balancer waits. The old address must get no further calls.
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
		t.Errorf("query is %q", q)
	}
	// A failed watch waits for the balancer; an address change ends that wait too.
	next.SendList(t, "")
	if l := <-reports; l != nil {
		t.Errorf("reported %v, want a failed call", l)
	}
	d.SetAddress(old.Listener.Addr().String())
	WaitFor(t, "the watch is back", func() bool { return old.Calls() == 2 })
	old.SendList(t, ServerList(5, false))
	if l := <-reports; l == nil || l.Generation != 5 {
		t.Errorf("reported %v, want the list of the first address", l)
	}
	if q := old.Query(1); !strings.HasPrefix(q, "since=4&") {
		t.Errorf("query is %q", q)
	}
	stop()
}

// An endless list or head must fail the call early: the node has little memory, and discovery may
// be broken like any other server.
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
				t.Errorf("accepted %v as a list", l)
			}
			<-sent // the connection is closed while the service is still writing
		})
	}
}

// heldServer is a discovery service whose calls the test answers piece by piece. Text that is sent
// to a call's channel is written at once; an empty text ends the call.
type heldServer struct {
	address string
	calls   chan heldCall
}

type heldCall struct {
	query string
	text  chan string
	done  chan struct{} // closed when the call ends
}

// write writes to the call, unless the client has ended it.
func (c heldCall) write(t *testing.T, text string) {
	t.Helper()
	select {
	case c.text <- text:
	case <-c.done:
		t.Errorf("the call %q was ended before its answer", c.query)
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
		t.Fatal("no call arrived")
		return heldCall{}
	}
}

// What discovery has written counts as delivered from then on. A watch that is restarted at that
// moment, because of failing servers or a new configuration, must not drop the answer that is on
// its way: the new call may have to queue for longer than the node may go on sending. The test
// writes half of the answer before the restart and the rest after it.
func TestAnswersOfReplacedCalls(t *testing.T) {
	for name, restart := range map[string]func(d *Client, next *heldServer){
		"outdated list": func(d *Client, _ *heldServer) { d.RestartWatch(false) },
		"doubtful list": func(d *Client, _ *heldServer) { d.RestartWatch(true) },
		"new address":   func(d *Client, next *heldServer) { d.SetAddress(next.address) },
	} {
		t.Run(name, func(t *testing.T) {
			s, next := newHeldServer(t), newHeldServer(t)
			reports := make(chan *endpoints.List, 10)
			d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(reports))
			d.queueTime = 0 // a restart doesn't wait for the pending call to leave the queue
			stop := startWatch(t, d, 3)
			d.SetWatch(true)
			first := s.call(t)
			text := ServerList(4, false, "127.0.0.1:1 DRAINING")
			first.write(t, text[:10])
			restart(d, next)
			var second heldCall // queued at discovery, not answered yet
			if name == "new address" {
				second = next.call(t)
			} else {
				second = s.call(t)
			}
			first.write(t, text[10:])
			first.write(t, "")
			select {
			case l := <-reports:
				if l == nil || l.Generation != 4 || len(l.Entries) != 1 {
					t.Errorf("unexpected report %v", l)
				}
			case <-time.After(WaitTimeout):
				t.Error("the answer was dropped")
			}
			// The second call was started before that, so an older list on it must be ignored.
			second.write(t, ServerList(3, second.query == "", "127.0.0.1:1"))
			second.write(t, "")
			WaitFor(t, "the watch continues", func() bool { return len(s.calls)+len(next.calls) > 0 })
			if len(reports) > 0 {
				t.Errorf("an older list was reported: %v", <-reports)
			}
			stop()
		})
	}
}

// The previous call must end soon after a newer one was answered, or a node would permanently hold
// two at discovery.
func TestPreviousCallIsCanceled(t *testing.T) {
	s := newHeldServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(reports))
	d.pollTimes = func(time.Duration, bool) (wait, timeout time.Duration) { return time.Minute, 2 * WaitTimeout }
	d.queueTime = 0 // don't wait for the queue
	stop := startWatch(t, d, 3)
	d.SetWatch(true)
	first := s.call(t)
	d.RestartWatch(false)
	second := s.call(t)
	second.write(t, ServerList(4, false))
	second.write(t, "")
	if l := <-reports; l == nil || l.Generation != 4 {
		t.Fatalf("unexpected report %v", l)
	}
	third := s.call(t)
	if !strings.HasPrefix(third.query, "since=4&") {
		t.Errorf("next query is %q", third.query)
	}
	select {
	case <-first.done:
	case <-time.After(WaitTimeout):
		t.Error("the first call is still pending")
	}
	if len(s.calls) > 0 || len(reports) > 0 {
		t.Errorf("%d more calls and %d more reports, want none", len(s.calls), len(reports))
	}
	stop()
}

// If lists are pushed, the balancer requests none, and what the agent has counts as
// delivered at once. The watch must run from the start without being requested, an unanswered call
// must end within the drain grace, and a failed call must be repeated at once. While discovery is
// down the agent doesn't answer: that is logged once, and isn't reported to the balancer for
// longer than it lasts.
func TestPushedLists(t *testing.T) {
	s := newHeldServer(t)
	reports := make(chan *endpoints.List, 100)
	d := New(s.address, endpoints.FleetPosition{NodeCount: 4, Pushed: true}, DiscardLogger(), forwardLists(reports))
	stop := startWatch(t, d, 3)
	for range 4 { // unanswered calls end by themselves and are repeated
		c := s.call(t)
		ms, err := strconv.Atoi(strings.TrimPrefix(c.query, "since=3&timeout_ms="))
		if err != nil || ms > 300 {
			t.Fatalf("query is %q", c.query)
		}
		<-c.done
	}
	c := s.call(t)
	c.write(t, ServerList(5, false, "127.0.0.1:1 DRAINING"))
	c.write(t, "")
	if l := <-reports; l == nil || l.Generation != 5 {
		t.Errorf("unexpected report %v", l)
	}
	if c := s.call(t); !strings.HasPrefix(c.query, "since=5&") {
		t.Errorf("next query is %q", c.query)
	}
	stop()
	// The time until an unanswered call is repeated must be shorter than rule 3 allows, whatever
	// happened before.
	for _, unproven := range []bool{false, true} {
		if wait, timeout := d.pollTimes(0, unproven); wait > timeout || timeout+agentRetryPause > 400*time.Millisecond {
			t.Errorf("a poll waits %v, times out after %v and is repeated after %v", wait, timeout, agentRetryPause)
		}
	}
}

// A watch is restarted, the new call fails, and the previous one is answered after all. The
// balancer takes that for a running watch and requests nothing more, so the watch has to
// continue.
func TestPreviousAnswerAfterFailureContinuesWatch(t *testing.T) {
	s := newHeldServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(s.address, onlyNode(), DiscardLogger(), forwardLists(reports))
	d.queueTime = 0 // don't wait for the queue
	stop := startWatch(t, d, 3)
	d.SetWatch(true)
	first := s.call(t)
	d.RestartWatch(false)
	second := s.call(t)
	second.write(t, "{") // not a list
	second.write(t, "")
	if l := <-reports; l != nil {
		t.Errorf("unexpected report %v", l)
	}
	first.write(t, ServerList(4, false))
	first.write(t, "")
	if l := <-reports; l == nil || l.Generation != 4 {
		t.Errorf("unexpected report %v", l)
	}
	if c := s.call(t); !strings.HasPrefix(c.query, "since=4&") {
		t.Errorf("next query is %q", c.query)
	}
	stop()
}
