package node

import (
	"strconv"
	"strings"
	"testing"

	. "curlewring/internal/node/nodetest"
)

// Each call of a watch must start from the generation of the last answer, or changes in between
// are missed, and must follow at once: a later call is a new watch.
func TestWatchContinues(t *testing.T) {
	t.Parallel()
	s, moved := NewServer(t, RespondWith("first")), NewServer(t, RespondWith("second"))
	d := NewDiscoveryServer(t)
	n := startNode(t, testConfig(t, d.Listener.Addr().String(), ServerList(41, true, s.Addr()), 1024))
	WaitFor(t, "the watch begins", func() bool { return d.Calls() == 1 })
	if q := d.Query(0); !strings.HasPrefix(q, "since=41&timeout_ms=") {
		t.Errorf("the watch begins with %q, want changes since the known list", q)
	}
	d.SendList(t, ServerList(43, false))
	WaitFor(t, "the watch continues", func() bool { return d.Calls() == 2 })
	if q := d.Query(1); !strings.HasPrefix(q, "since=43&") {
		t.Errorf("the watch continues with %q", q)
	}
	if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "first" {
		t.Errorf("answered %q", body)
	}
	// A server with a new address must be dialed there, even with idle connections to the old one.
	d.SendList(t, ServerList(44, false, moved.Addr()))
	WaitFor(t, "the watch continues", func() bool { return d.Calls() == 3 })
	WaitFor(t, "the new address is used", func() bool {
		_, body := exchange(t, request(t, n.url, "/look/1", ""))
		return body == "second"
	})
}

// A malformed list must count as a failed call, never as an empty or partial list.
func TestMalformedListIsAFailedCall(t *testing.T) {
	s := NewServer(t, RespondWith("fine"))
	for i, list := range []string{
		"", "{", "{}", "[]", "null", `{"generation":2,"reset":true}`, `{"reset":true,"instances":[]}`,
		`{"generation":2,"reset":true,"instances":[{"hostPort":"127.0.0.1:1","lifecycle":"SERVING"}]}`,
		strings.Replace(ServerList(2, true, s.Addr()), "SERVING", "HAPPY", 1),
		ServerList(2, true, "nowhere"),
	} {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			d := NewDiscoveryServer(t)
			n := startNode(t, testConfig(t, d.Listener.Addr().String(), ServerList(1, true, s.Addr()), 1024))
			d.SendList(t, list)
			WaitFor(t, "discovery is called again", func() bool { return d.Calls() == 2 })
			if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
				t.Errorf("after %q: answered %s %q", list, resp.Status, body)
			}
			if q := d.Query(1); !strings.HasPrefix(q, "since=1&") {
				t.Errorf("after %q the node calls with %q", list, q)
			}
		})
	}
}

// Once the list says that a server drains or is removed, it must get no new request, not even
// an attempt that was waiting for a connection.
func TestNothingToADrainingServer(t *testing.T) {
	for _, state := range []string{"DRAINING", "DELETED"} {
		t.Run(state, func(t *testing.T) {
			s, other := NewServer(t, RespondWith("drains")), NewServer(t, RespondWith("fine"))
			d := NewDiscoveryServer(t)
			n := startNode(t, testConfig(t, d.Listener.Addr().String(), ServerList(1, true, s.Addr()), 1024))
			if _, body := exchange(t, request(t, n.url, "/look/1", "")); body != "drains" {
				t.Fatalf("answered %q", body)
			}
			d.SendList(t, ServerList(2, false, s.Addr()+" "+state, other.Addr()))
			WaitFor(t, "the idle connection is closed", func() bool { _, ended := s.Connections(); return ended == 1 })
			before := s.RequestCount()
			for range 20 {
				if resp, body := exchange(t, request(t, n.url, "/look/1", "")); body != "fine" {
					t.Fatalf("answered %s %q", resp.Status, body)
				}
			}
			if s.RequestCount() != before {
				t.Error("a request went to it")
			}
		})
	}
}
