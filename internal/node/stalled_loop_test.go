package node

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
)

// hold blocks the loop until the returned function is called.
func (n *testNode) hold(t *testing.T) (release func()) {
	t.Helper()
	held, free := make(chan struct{}), make(chan struct{})
	go n.loop.post(backgroundStep{
		step: func(time.Duration) (time.Duration, bool) { close(held); <-free; return 0, false },
		done: make(chan stepResult, 1),
	})
	select {
	case <-held:
	case <-time.After(WaitTimeout):
		t.Fatal("the loop takes no step")
	}
	return func() { close(free) }
}

// Nothing may be sent for a client that disconnects while its request waits for the loop, however
// many requests are queued before it, and although the loop handles the request before the
// disconnect.
func TestDisconnectWhileLoopIsBusy(t *testing.T) {
	t.Parallel()
	s := NewServer(t, RespondWith("fine"))
	n := startWithServers(t, s)
	if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
		t.Fatalf("answered %q", body)
	}
	was := s.RequestCount()
	release := n.hold(t)
	const clients = 50
	var all []net.Conn
	before := n.front.Stats()
	for range clients {
		c, err := net.Dial("tcp", n.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "GET /look/1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: "+NewRequestID()+"\r\nX-Remaining-Ms: 15000\r\n\r\n")
		all = append(all, c)
	}
	WaitFor(t, "all requests wait for the loop", func() bool { return n.front.Stats().Requests == before.Requests+clients })
	for _, c := range all { // all requests are queued before the first disconnect
		c.Close()
	}
	WaitFor(t, "all clients have left", func() bool { return n.front.Stats().PeerClosed >= before.PeerClosed+clients })
	release()
	if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
		t.Errorf("then answered %q", body)
	}
	if got := s.RequestCount() - was; got != 1 {
		t.Errorf("%d requests came to the server, of which one has a client", got)
	}
}

// With pushed lists, discovery's address is an agent's, and what the agent has counts as received
// whether or not the node has called it. The node must follow it from its start, though the
// balancer requests nothing.
func TestNodeFollowsPushedLists(t *testing.T) {
	t.Parallel()
	s, other := NewServer(t, RespondWith("drains")), NewServer(t, RespondWith("fine"))
	d := NewDiscoveryServer(t)
	text := configText(d.Listener.Addr().String(), ServerList(1, true, s.Addr()), 1024)
	c, err := parseConfig([]byte(strings.Replace(text, `"subscribe"`, `"automatic"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	n := startNode(t, c)
	d.SendList(t, ServerList(2, false, s.Addr()+" DRAINING", other.Addr()))
	WaitFor(t, "the drain is known", func() bool {
		_, body := exchange(t, request(t, n.url, "/look/1", ""))
		return body == "fine"
	})
	before := s.RequestCount()
	d.SendList(t, "") // a call that fails ends nothing
	d.SendList(t, ServerList(3, false))
	for range 20 {
		if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
			t.Fatalf("answered %s %q", resp.Status, body)
		}
	}
	if s.RequestCount() != before {
		t.Error("a request went to a draining server")
	}
	if _, err := parseConfig([]byte(strings.Replace(text, `"subscribe"`, `"sometimes"`, 1))); err == nil || !strings.Contains(err.Error(), "registry_mode") || !strings.Contains(err.Error(), "sometimes") {
		t.Errorf("an unknown registry_mode: %v", err)
	}
}
