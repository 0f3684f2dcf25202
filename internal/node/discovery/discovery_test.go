package discovery

import (
	"context"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// place is that of the only node.
func place() endpoints.Place { return endpoints.Place{Nodes: 1} }

// A watch that stays silent past its time is lost, and must be reported so: the
// node would else hear of nothing any more.
func TestSilentWatchFails(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), place(), Quiet(), func(l *endpoints.List) { reports <- l })
	watched.poll = func(time.Duration, bool) (wait, patience time.Duration) {
		return 50 * time.Millisecond, 100 * time.Millisecond
	}
	since := uint64(3)
	w := watch{on: true, wanted: true, since: &since}
	watched.watchOnce(t.Context(), &w)
	if w.on || !w.wanted || *w.since != 3 || !w.lost {
		t.Errorf("the watch is %+v, from %d", w, *w.since)
	}
	if l := <-reports; l != nil {
		t.Errorf("reported %v", l)
	}
}

// After a call that failed the next poll must be a short one: a network that swallows it too would else keep the node
// from asking once more before what discovery knows counts as told. A call that is made anew as discovery has moved is
// short as well, for the new address may be silent. One that was answered ends that.
func TestPollsProveThemselvesAfterAFailure(t *testing.T) {
	d, next := NewDiscoveryServer(t), NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), place(), Quiet(), func(l *endpoints.List) { reports <- l })
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
	since := uint64(3)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watched.RunWatch(ctx, &since)
	}()
	const short = 2 * time.Second
	watched.SetWatch(true)
	if got := waits(d, 0); got <= short {
		t.Errorf("the first poll waits %v", got)
	}
	d.Tell(t, "")
	<-reports
	watched.SetWatch(true)
	if got := waits(d, 1); got > short {
		t.Errorf("after a failure a poll waits %v", got)
	}
	d.Tell(t, ListOf(4, false))
	<-reports
	if got := waits(d, 2); got <= short {
		t.Errorf("after an answer a poll waits %v", got)
	}
	watched.Move(next.Listener.Addr().String())
	if got := waits(next, 0); got > short {
		t.Errorf("at a new address the poll waits %v", got)
	}
	cancel()
	<-done
}

// A node that has a list and asks for the whole in doubt must not lose by that what it has: if the call fails, the next
// one is for the changes, which costs discovery little and is answered sooner.
func TestAWholeListInVainKeepsTheGeneration(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watched := New(d.Listener.Addr().String(), place(), Quiet(), func(l *endpoints.List) { reports <- l })
	since := uint64(7)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watched.RunWatch(ctx, &since)
	}()
	watched.SetWatch(true)
	WaitFor(t, "the watch begins", func() bool { return d.Calls() == 1 })
	watched.Renew(true)
	WaitFor(t, "the whole is asked for", func() bool { return d.Calls() == 2 })
	if q := d.Query(1); q != "" {
		t.Errorf("asked %q for the whole", q)
	}
	d.Tell(t, "")
	<-reports
	watched.SetWatch(true)
	WaitFor(t, "the watch goes on", func() bool { return d.Calls() == 3 })
	if q := d.Query(2); !strings.HasPrefix(q, "since=7&") {
		t.Errorf("then asked %q", q)
	}
	cancel()
	<-done
}

// When discovery moves, the watch must go on at the new address at once and from
// the same generation, and the end of the call at the old one must not count as
// a failed call, after which the module waits before it asks again. The old
// address must get no further call.
func TestWatchMovesWithDiscovery(t *testing.T) {
	old, next := NewDiscoveryServer(t), NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(old.Listener.Addr().String(), place(), Quiet(), func(l *endpoints.List) { reports <- l })
	since := uint64(3)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.RunWatch(ctx, &since)
	}()
	d.SetWatch(true)
	WaitFor(t, "the watch is at the old address", func() bool { return old.Calls() == 1 })
	d.Move(next.Listener.Addr().String())
	next.Tell(t, ListOf(4, false))
	if l := <-reports; l == nil || l.Generation != 4 {
		t.Errorf("reported %v, want the list of the new address", l)
	}
	if q := next.Query(0); !strings.HasPrefix(q, "since=3&") {
		t.Errorf("asked with %q", q)
	}
	// A watch that has failed waits for the module; a move ends that wait too.
	next.Tell(t, "")
	if l := <-reports; l != nil {
		t.Errorf("reported %v, want a failed call", l)
	}
	d.Move(old.Listener.Addr().String())
	old.Tell(t, ListOf(5, false)) // the new watch: the first call here has ended
	if l := <-reports; l == nil || l.Generation != 5 {
		t.Errorf("reported %v, want the list of the address moved back to", l)
	}
	if q := old.Query(1); !strings.HasPrefix(q, "since=4&") {
		t.Errorf("asked with %q", q)
	}
	cancel()
	<-done
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
				Endless(parts[1], sent)(c)
			})
			d := New(address, place(), Quiet(), nil)
			if l, err := d.call(t.Context(), "", Patience); err == nil {
				t.Errorf("took %v for a list", l)
			}
			<-sent // the connection is closed while the service still writes
		})
	}
}
