package discovery

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// A watch that stays silent past its time is lost, and must be reported so: the
// node would else hear of nothing any more.
func TestSilentWatchFails(t *testing.T) {
	d := NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	watch := New(d.Listener.Addr().String(), 1, Quiet(), func(l *endpoints.List) { reports <- l })
	watch.long, watch.patient = 50*time.Millisecond, 50*time.Millisecond
	since := uint64(3)
	on, wanted, from := watch.watchOnce(t.Context(), &since)
	if on || !wanted || *from != 3 {
		t.Errorf("the watch goes on: %v, from %d", on, *from)
	}
	if l := <-reports; l != nil {
		t.Errorf("reported %v", l)
	}
}

// A small fleet must notice a watch that a network has swallowed within seconds:
// it hears of no drain and no new server meanwhile. A large one must not ask more
// often than discovery can bear.
func TestWatchWaitsByFleet(t *testing.T) {
	for nodes, want := range map[int]time.Duration{0: 6 * time.Second, 2: 6 * time.Second, 20: 30 * time.Second, 500: time.Minute} {
		if got := New("127.0.0.1:1", nodes, Quiet(), nil).long; got != want {
			t.Errorf("%d nodes wait %v, want %v", nodes, got, want)
		}
	}
}

// When discovery moves, the watch must go on at the new address at once and from
// the same generation, and the end of the call at the old one must not count as
// a failed call, after which the module waits before it asks again. The old
// address must get no further call.
func TestWatchMovesWithDiscovery(t *testing.T) {
	old, next := NewDiscoveryServer(t), NewDiscoveryServer(t)
	reports := make(chan *endpoints.List, 10)
	d := New(old.Listener.Addr().String(), 1, Quiet(), func(l *endpoints.List) { reports <- l })
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
			d := New(address, 1, Quiet(), nil)
			if l, err := d.call(t.Context(), "", Patience); err == nil {
				t.Errorf("took %v for a list", l)
			}
			<-sent // the connection is closed while the service still writes
		})
	}
}
