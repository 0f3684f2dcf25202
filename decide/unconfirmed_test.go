package decide

import (
	"slices"
	"testing"
	"time"
)

// askingNode returns the only node before servers of a list that comes when asked for, as discovery has just told it.
func askingNode(servers ...string) *Balancer {
	b := New(Settings{
		Nodes: 1, MaxTries: 3, AnswerGrace: 10 * ms, MustAsk: true, AskWithin: 10 * time.Second,
		Classes: []Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	var list []Server
	for _, id := range servers {
		list = append(list, Server{ID: id})
	}
	b.Members(time.Second, Members{Change: ListFull, Servers: list}, nil)
	return b
}

// ask sends one request and ends its attempt with what the server answers; it returns the server, "" if there was none.
func ask(b *Balancer, now time.Duration, result func(server string) Result) string {
	nextID++
	for _, a := range b.Request(now, Request{ID: nextID, Tenant: -1, TTL: 2 * time.Second}, nil) {
		if a.Kind == Send {
			r := result(a.Server)
			b.Outcome(now+10*ms, Outcome{Request: nextID, Server: a.Server, Result: r, Elapsed: 10 * ms, Final: true}, nil)
			return a.Server
		}
	}
	return ""
}

// serveAll answers every request.
func serveAll(string) Result { return Served }

// asked returns which servers get requests that are sent every 20 ms for a time.
func asked(b *Balancer, from, until time.Duration, result func(server string) Result) (servers []string) {
	for now := from; now < until; now += 20 * ms {
		if s := ask(b, now, result); s != "" && !slices.Contains(servers, s) {
			servers = append(servers, s)
		}
	}
	slices.Sort(servers)
	return servers
}

// Once drains may count as told that the node can't have heard of, it must send to servers that took new work lately alone,
// and to others of the list again as soon as discovery answers. Before that time nothing changes.
func TestUnconfirmedListLeavesProvenServers(t *testing.T) {
	b := askingNode("a", "b", "c", "d")
	at := 2 * time.Second
	drained := func(server string) Result { // two have drained in between, and turn away what comes
		if server == "c" || server == "d" {
			return Full
		}
		return Served
	}
	b.Members(at, Members{Change: ListFailed, Confirmed: 7 * time.Second}, nil)
	if got := asked(b, at, 7*time.Second, drained); len(got) != 4 {
		t.Fatalf("while the list is confirmed only %v are asked", got)
	}
	if got := asked(b, 7*time.Second, 20*time.Second, drained); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("with the list unconfirmed %v are asked, want a and b", got)
	}
	b.Members(20*time.Second, Members{Change: ListDiff}, nil)
	if got := asked(b, 20*time.Second, 40*time.Second, serveAll); !slices.Contains(got, "c") && !slices.Contains(got, "d") {
		t.Errorf("with the list confirmed only %v are asked", got)
	}
}

// A node that has sent nothing for a while has no server that took new work lately. It must go on with the one that did so
// last, never with one that has turned it away since, and not refuse all it gets.
func TestUnconfirmedListWithoutProof(t *testing.T) {
	b := askingNode("a", "b", "c")
	b.Members(time.Second, Members{Change: ListFailed, Confirmed: 3 * time.Second}, nil)
	asked(b, time.Second, 2*time.Second, func(server string) Result {
		if server == "c" {
			return Full
		}
		return Served
	})
	last := ask(b, 2500*ms, serveAll)
	for last == "c" {
		t.Fatal("the seed has to be another: the last one served is the one that drains")
	}
	if got := ask(b, 30*time.Second, func(string) Result { return Full }); got != last {
		t.Errorf("after a pause %q is asked, want %q, which served last", got, last)
	}
	if got := ask(b, 31*time.Second, serveAll); got == last || got == "c" || got == "" {
		t.Errorf("%q is asked, though it has turned work away", got)
	}
}

// A server that has started lately is none that drains: it must be among those that an unconfirmed list leaves.
func TestUnconfirmedListLeavesStartedServers(t *testing.T) {
	b := askingNode("a", "b")
	b.Members(9*time.Second, Members{Change: ListDiff, Servers: []Server{{ID: "new1", Started: 9 * time.Second}, {ID: "new2", Started: 9 * time.Second}}}, nil)
	b.Members(9*time.Second, Members{Change: ListFailed, Confirmed: 10 * time.Second}, nil)
	if got := asked(b, 10*time.Second, 12*time.Second, serveAll); !slices.Equal(got, []string{"new1", "new2"}) {
		t.Errorf("%v are asked, want those that have just started", got)
	}
}

// A server that was lost and is back takes new work while its loss still counts as told. One whose connections have all been
// made anew may be such a one; one that answers on a connection from before is none.
func TestUnconfirmedListLeavesServersThatLivedOn(t *testing.T) {
	b := askingNode("a", "b")
	asked(b, time.Second, 5*time.Second, serveAll)
	b.Members(5*time.Second, Members{Change: ListFailed, Confirmed: 9 * time.Second}, nil)
	back := func(from, until time.Duration) (asked map[string]int) {
		asked = map[string]int{}
		for now := from; now < until; now += 20 * ms {
			nextID++
			for _, a := range b.Request(now, Request{ID: nextID, Tenant: -1, TTL: 2 * time.Second}, nil) {
				if a.Kind != Send {
					continue
				}
				asked[a.Server]++
				o := Outcome{Request: nextID, Server: a.Server, Result: Served, Elapsed: 10 * ms, Final: true}
				if a.Server == "b" && now < 8*time.Second { // it was away
					o.Result = Unconnected
					if now >= 7*time.Second {
						o.Result, o.Dial = Served, ms
					}
				}
				b.Outcome(now+10*ms, o, nil)
			}
		}
		return asked
	}
	if asked := back(5*time.Second, 9*time.Second); asked["b"] == 0 {
		t.Fatal("b is not asked while the list is confirmed: the test shows nothing")
	}
	if asked := back(9*time.Second, 16*time.Second); asked["b"] > 0 || asked["a"] == 0 {
		t.Errorf("with the list unconfirmed %v are asked, want a alone", asked)
	}
	b.Members(16*time.Second, Members{Change: ListDiff}, nil)
	if b.unproven(b.servers["b"]) {
		t.Error("with the list confirmed b is doubted")
	}
}

// A node that has started knows of no server what became of it before, and may have been lost with its zone: servers there
// that serve are no proof until they have done so for longer than a loss can count. Those of other zones are; and where there
// are none it refuses rather than break the rule on servers that are gone.
func TestStartedNodeDoubtsItsOwnZone(t *testing.T) {
	for _, zones := range []int{1, 2} {
		b := New(Settings{
			Nodes: 1, MaxTries: 3, AnswerGrace: 10 * ms, MustAsk: true, AskWithin: 10 * time.Second, Zone: "0",
			Classes: []Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		}, 1, time.Second)
		list := []Server{{ID: "a", Zone: "0"}, {ID: "b", Zone: "0"}}
		if zones == 2 {
			list = append(list, Server{ID: "far", Zone: "1"})
		}
		b.Members(time.Second, Members{Change: ListStored, Servers: list, Confirmed: 3 * time.Second}, nil)
		if got := asked(b, time.Second, 3*time.Second, serveAll); len(got) != zones+1 {
			t.Errorf("%d zones: before changes count %v are asked", zones, got)
		}
		var want []string
		if zones == 2 {
			want = []string{"far"}
		}
		if got := asked(b, 3*time.Second, 10*time.Second, serveAll); !slices.Equal(got, want) {
			t.Errorf("%d zones: unheard of, %v are asked, want %v", zones, got, want)
		}
		b.Members(10*time.Second, Members{Change: ListDiff}, nil)
		if got := asked(b, 10*time.Second, 12*time.Second, serveAll); len(got) == 0 || b.unproven(b.servers["a"]) {
			t.Errorf("%d zones: once discovery has answered %v are asked", zones, got)
		}
	}
}
