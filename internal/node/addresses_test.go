package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/serverdb"
)

// cellEntry is a server in a list of discovery.
func cellEntry(id, address string, cell int, lifecycle string, startedMs int64) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","cell":%d,"lifecycle":%q,"weight":1,"startedAtMs":%d}`,
		id, address, cell, lifecycle, startedMs)
}

func listOf(generation int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(entries, ","))
}

// transactions returns the IDs of the requests that a server has received.
func transactions(s *Server) map[string]bool {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	all := map[string]bool{}
	for _, r := range s.Requests {
		all[r.Header.Get("X-Txn")] = true
	}
	return all
}

// listSource is where a node has its list from.
type listSource int

const (
	fromDiscovery listSource = iota
	fromConfiguration
	fromSavedState
)

// Guards against a keyed request that runs in two cells: a server with the start time 0 and the process after it stood
// at one address, and requests went on under the ID of the first.
func TestKeyedRequestRunsInOneCellAtAReplacedServer(t *testing.T) {
	const restartMs = 1_000
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, c := range map[string]struct {
		lifecycle string // of the next process
		startedMs int64
		source    listSource
	}{
		"told by discovery":             {"SERVING", restartMs, fromDiscovery},
		"in the configuration's list":   {"SERVING", restartMs, fromConfiguration},
		"draining":                      {"DRAINING", restartMs, fromDiscovery},
		"draining in the configuration": {"DRAINING", restartMs, fromConfiguration},
		"in the saved list":             {"SERVING", restartMs, fromSavedState},
		"started at the same time":      {"SERVING", 0, fromDiscovery},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replaced, peer := NewServer(t, fail), NewServer(t, fail)
			old := []string{cellEntry("old", replaced.Addr(), 1, "SERVING", 0), cellEntry("peer", peer.Addr(), 1, "SERVING", 0)}
			next := cellEntry("next", replaced.Addr(), 2, c.lifecycle, c.startedMs)
			var n *testNode
			switch c.source {
			case fromConfiguration:
				n = startNode(t, testConfig(t, DeadAddress(t), listOf(1, true, append(old, next)...), 1024))
			case fromSavedState:
				saved := []serverdb.Server{
					savedServer("old", replaced.Addr(), serverdb.Serving), savedServer("peer", peer.Addr(), serverdb.Serving),
					savedServer("next", replaced.Addr(), serverdb.Serving),
				}
				saved[0].Cell, saved[1].Cell, saved[2].Cell = 1, 1, 2
				saved[2].Started = restartMs * time.Millisecond
				n = startWithState(t, DeadAddress(t), writeSavedState(t, time.Minute, saved...))
			case fromDiscovery:
				d := NewDiscoveryServer(t)
				n = startNode(t, testConfig(t, d.Listener.Addr().String(), listOf(1, true, old...), 1024))
				d.SendList(t, listOf(2, false, next))
				WaitFor(t, "the next process is known", func() bool { return n.serverCount() == 3 })
			}
			for range 40 {
				if resp, _ := exchange(t, request(t, n.url, "/note/1", "x")); resp.StatusCode != http.StatusBadGateway {
					t.Errorf("answered %s, want a failure that is no refusal", resp.Status)
				}
			}
			atReplaced, atPeer := transactions(replaced), transactions(peer)
			for id := range atReplaced {
				if atPeer[id] {
					t.Errorf("request %s went to the address of another cell as well", id)
				}
			}
			if c.lifecycle == "DRAINING" && len(atReplaced) > 0 {
				t.Errorf("%d requests went to a server that drains", len(atReplaced))
			}
		})
	}
}

// Guards against a keyed request that runs in two cells: the servers of an old list have not answered yet, and another
// process may be at the address of each.
func TestKeyedRequestRunsOnceInAnUntriedList(t *testing.T) {
	t.Parallel()
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	a, b := NewServer(t, fail), NewServer(t, fail)
	n := startWithState(t, DeadAddress(t), writeSavedState(t, 7*24*time.Hour,
		savedServer("a", a.Addr(), serverdb.Serving), savedServer("b", b.Addr(), serverdb.Serving)))
	for range 3 {
		if resp, _ := exchange(t, request(t, n.url, "/note/1", "x")); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("answered %s, want a failure that is no refusal", resp.Status)
		}
	}
	atB := transactions(b)
	for id := range transactions(a) {
		if atB[id] {
			t.Errorf("request %s went to a second server, though nobody knows the cell of the first", id)
		}
	}
}

// Guards against a keyed request that runs in two cells: the process at an address has ended, and what answers there is
// another one that discovery has not listed yet.
func TestKeyedRequestRunsOnceWhereAnUnlistedProcessAnswers(t *testing.T) {
	t.Parallel()
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	peer := NewServer(t, fail)
	reserved := ReserveAddress(t)
	n := startNode(t, testConfig(t, DeadAddress(t), listOf(1, true,
		cellEntry("old", reserved.Address, 1, "SERVING", 0), cellEntry("peer", peer.Addr(), 1, "SERVING", 0)), 1024))
	for range 10 { // some of them find out that nobody listens
		exchange(t, request(t, n.url, "/note/1", "x"))
	}
	next := NewServerOn(t, reserved.Listen(t), fail)
	WaitFor(t, "the next process gets a request", func() bool {
		exchange(t, request(t, n.url, "/note/1", "x"))
		return next.RequestCount() > 3
	})
	atPeer := transactions(peer)
	for id := range transactions(next) {
		if atPeer[id] {
			t.Errorf("request %s went to the listed cell of the old process as well", id)
		}
	}
}
