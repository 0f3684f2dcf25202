package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// askingNode returns the only node before servers of a list that comes when asked for, as discovery has just told it.
func askingNode(servers ...string) *Balancer {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms, MustSubscribe: true, ResubscribeWithin: 10 * time.Second,
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	var list []Server
	for _, id := range servers {
		list = append(list, Server{ID: id})
	}
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	return b
}

// ask sends one request and ends its attempt with what the server answers; it returns the server, "" if there was none.
func ask(b *Balancer, now time.Duration, result func(server string) Result) string {
	nextID++
	for _, a := range b.HandleRequest(now, Request{ID: nextID, Tenant: -1, TTL: 2 * time.Second}, nil) {
		if a.Kind == Send {
			r := result(a.Server)
			b.HandleOutcome(now+10*ms, Outcome{Request: nextID, Server: a.Server, Result: r, Elapsed: 10 * ms, Final: true}, nil)
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
			return Rejected
		}
		return Served
	}
	b.HandleList(at, ListUpdate{Kind: ListFailed, ConfirmedUntil: 7 * time.Second}, nil)
	if got := asked(b, at, 7*time.Second, drained); len(got) != 4 {
		t.Fatalf("while the list is confirmed only %v are asked", got)
	}
	if got := asked(b, 7*time.Second, 20*time.Second, drained); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("with the list unconfirmed %v are asked, want a and b", got)
	}
	b.HandleList(20*time.Second, ListUpdate{Kind: ListDiff}, nil)
	if got := asked(b, 20*time.Second, 40*time.Second, serveAll); !slices.Contains(got, "c") && !slices.Contains(got, "d") {
		t.Errorf("with the list confirmed only %v are asked", got)
	}
}

// A node that has sent nothing for a while has no server that took new work lately. It must go on with the one that did so
// last, never with one that has turned it away since, and not refuse all it gets.
func TestUnconfirmedListWithoutProof(t *testing.T) {
	b := askingNode("a", "b", "c")
	b.HandleList(time.Second, ListUpdate{Kind: ListFailed, ConfirmedUntil: 3 * time.Second}, nil)
	asked(b, time.Second, 2*time.Second, func(server string) Result {
		if server == "c" {
			return Rejected
		}
		return Served
	})
	last := ask(b, 2500*ms, serveAll)
	for last == "c" {
		t.Fatal("the seed has to be another: the last one served is the one that drains")
	}
	if got := ask(b, 30*time.Second, func(string) Result { return Rejected }); got != last {
		t.Errorf("after a pause %q is asked, want %q, which served last", got, last)
	}
	if got := ask(b, 31*time.Second, serveAll); got == last || got == "c" || got == "" {
		t.Errorf("%q is asked, though it has turned work away", got)
	}
}

// A server that has started lately is none that drains: it must be among those that an unconfirmed list leaves.
func TestUnconfirmedListLeavesStartedServers(t *testing.T) {
	b := askingNode("a", "b")
	b.HandleList(9*time.Second, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "new1", Started: 9 * time.Second}, {ID: "new2", Started: 9 * time.Second}}}, nil)
	b.HandleList(9*time.Second, ListUpdate{Kind: ListFailed, ConfirmedUntil: 10 * time.Second}, nil)
	if got := asked(b, 10*time.Second, 12*time.Second, serveAll); !slices.Equal(got, []string{"new1", "new2"}) {
		t.Errorf("%v are asked, want those that have just started", got)
	}
}

// A server that was lost and is back takes new work while its loss still counts as told. One whose connections have all been
// made anew since the last answer may be such a one, until it has served for longer than that can count; one that answers on
// a connection from before, or closes each and answers all the time, is none.
func TestUnconfirmedListLeavesServersThatLivedOn(t *testing.T) {
	const heard, now = 20 * time.Second, 27 * time.Second
	type answer struct{ opened, sent time.Duration } // on a connection that was opened then
	for _, c := range []struct {
		name    string
		started time.Duration
		answers []answer
		proven  bool
	}{
		{"never asked", 0, nil, false},
		{"one connection since before the last answer", 0, []answer{{5 * time.Second, 26 * time.Second}}, true},
		{"that connection, but a while ago", 0, []answer{{5 * time.Second, 22 * time.Second}}, false},
		{"a connection made after the last answer", 0, []answer{{5 * time.Second, 21 * time.Second}, {24 * time.Second, 26 * time.Second}}, false},
		{"it follows closely on one from before", 0, []answer{{5 * time.Second, 23500 * ms}, {24 * time.Second, 26 * time.Second}}, true},
		{"two side by side, one from before", 0, []answer{{24 * time.Second, 26 * time.Second}, {5 * time.Second, 26 * time.Second}}, true},
		{"a process that the list names", 23 * time.Second, []answer{{24 * time.Second, 26 * time.Second}}, true},
		{"the list names one that started long before", 10 * time.Second, []answer{{24 * time.Second, 26 * time.Second}}, false},
	} {
		b := askingNode("a")
		b.HandleList(heard, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "a", Started: c.started}}}, nil)
		s := b.servers["a"]
		for _, x := range c.answers {
			s.recordOutcome(x.sent, &Outcome{Result: Served, ConnAge: x.sent - x.opened})
		}
		b.HandleList(now, ListUpdate{Kind: ListFailed, ConfirmedUntil: now}, nil)
		if got := !b.doubtful(s); got != c.proven {
			t.Errorf("%s: proven %v, want %v", c.name, got, c.proven)
		}
		b.HandleList(now, ListUpdate{Kind: ListDiff}, nil)
		if b.doubtful(s) {
			t.Errorf("%s: doubted though the list is confirmed", c.name)
		}
	}
}

// A process has lived on since the connection was opened on which it answered, as the outcome tells, whatever connections the
// module counts: those that idled while a server was away are dead. Untold, only the send counts.
func TestLifeBeginsWithTheConnection(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{7 * time.Second: 2010 * ms, 20 * ms: 8990 * ms, 0: 9 * time.Second} {
		b := askingNode("a")
		ask(b, time.Second, serveAll) // leaves a connection
		b.servers["a"].uptime = timeSpan{}
		nextID++
		b.HandleRequest(9*time.Second, Request{ID: nextID, Tenant: -1, TTL: time.Second}, nil)
		b.HandleOutcome(9*time.Second+10*ms, Outcome{Request: nextID, Server: "a", Result: Served, Elapsed: 10 * ms, ConnAge: age, Final: true}, nil)
		if got := b.servers["a"].uptime.from; got != want {
			t.Errorf("on a connection of %v: it lives since %v, want %v", age, got, want)
		}
	}
}

// A node that has started knows of no server what became of it before, and may have been lost with its zone. Where that is so
// large that discovery can't tell of it in time, servers there that serve prove nothing from the time on at which their loss may
// count, until discovery is heard. Those of other zones do; and neither a small zone nor the only one is doubted.
func TestStartedNodeDoubtsItsOwnZone(t *testing.T) {
	for _, c := range []struct {
		name          string
		near, far     int
		nearIsDoubted bool
	}{
		{"a large zone", slowAnnouncementSize, 50, true},
		{"a small zone", slowAnnouncementSize - 1, 50, false},
		{"the only zone", slowAnnouncementSize, 0, false},
	} {
		b := New(Settings{
			Nodes: 10, MaxAttempts: 3, AnswerGrace: 10 * ms, MustSubscribe: true, ResubscribeWithin: 10 * time.Second, Zone: "near",
			Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		}, 1, time.Second)
		var list []Server
		for i := range c.near + c.far {
			zone := "near"
			if i >= c.near {
				zone = "far"
			}
			list = append(list, Server{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone})
		}
		b.HandleList(time.Second, ListUpdate{Kind: ListStored, Servers: list, ConfirmedUntil: 3 * time.Second}, nil)
		near := func(from, until time.Duration) bool {
			return slices.ContainsFunc(asked(b, from, until, serveAll), func(s string) bool { return strings.HasPrefix(s, "near") })
		}
		if !near(time.Second, 3*time.Second) {
			t.Errorf("%s: none of it is asked before its loss can count", c.name)
		}
		if got := near(3*time.Second, 20*time.Second); got == c.nearIsDoubted {
			t.Errorf("%s: asked while discovery is not heard: %v", c.name, got)
		}
		if got := asked(b, 20*time.Second, 21*time.Second, serveAll); len(got) == 0 {
			t.Errorf("%s: nobody is asked", c.name)
		}
		b.HandleList(21*time.Second, ListUpdate{Kind: ListRestored, AsOf: 20 * time.Second}, nil)
		if !near(21*time.Second, 40*time.Second) {
			t.Errorf("%s: none of it is asked once discovery is heard", c.name)
		}
	}
}

// A zone drains or is lost as a whole, and this node has asked few of its servers. As long as discovery can't have listed that, a
// server of another zone goes first where none is proven, though the zone's own were proven later: each of them would have to be
// asked to be known. Some refusals among answers are no sign of that.
func TestZoneThatRefusesIsAskedLast(t *testing.T) {
	for _, c := range []struct {
		name    string
		results []Result // of the near zone's servers, in turn
		heard   time.Duration
		asked   string
	}{
		{"all turned away", []Result{Rejected, Rejected, Rejected}, 3 * time.Second, "far"},
		{"all unreachable", []Result{ConnectFailed, ConnectFailed, ConnectFailed}, 3 * time.Second, "far"},
		{"one serves", []Result{Rejected, Rejected, Served, Rejected}, 3 * time.Second, "near"},
		{"few refusals", []Result{Rejected, Rejected}, 3 * time.Second, "near"},
		{"discovery has listed it", []Result{Rejected, Rejected, Rejected}, 9 * time.Second, "near"},
	} {
		b := nodeOfTwoZones(20)
		for i := range 20 {
			b.servers[fmt.Sprint("far-", i)].recordOutcome(2*time.Second, &Outcome{Result: Served, ConnAge: time.Second})
			b.servers[fmt.Sprint("near-", i)].recordOutcome(2500*ms, &Outcome{Result: Served, ConnAge: time.Second})
		}
		for i, r := range c.results {
			b.servers[fmt.Sprint("near-", i)].recordOutcome(3500*ms, &Outcome{Result: r})
			b.zones["near"].recordResult(3500*ms, r)
		}
		b.HandleList(10*time.Second, ListUpdate{Kind: ListRestored, AsOf: c.heard}, nil)
		b.HandleList(10*time.Second, ListUpdate{Kind: ListFailed, ConfirmedUntil: 10 * time.Second}, nil)
		if got := ask(b, 12*time.Second, serveAll); !strings.HasPrefix(got, c.asked) {
			t.Errorf("%s: %q is asked, want one that is %s", c.name, got, c.asked)
		}
	}
}

// A server that turned work away is not asked again because of a list that discovery made before it could name that.
func TestDenialOutlivesAnOlderList(t *testing.T) {
	for heard, denied := range map[time.Duration]bool{0: true, 4 * time.Second: true, 3*time.Second + listingDelay: false} {
		b := askingNode("a")
		b.servers["a"].recordOutcome(3*time.Second, &Outcome{Result: Rejected})
		b.confirmedAt = heard
		if got := b.refusedSince(b.servers["a"]); got != denied {
			t.Errorf("denied at 3 s, the list is as of %v: denied still %v, want %v", heard, got, denied)
		}
	}
}

// nodeOfTwoZones returns a node before so many servers in its own zone and as many in another, as discovery has just told it.
func nodeOfTwoZones(servers int) *Balancer { return nodeOfZones(servers, servers) }

// nodeOfZones returns a node before so many servers in its own zone and so many in another, as discovery has just told it.
func nodeOfZones(near, far int) *Balancer {
	b := New(Settings{
		Nodes: 10, MaxAttempts: 3, AnswerGrace: 10 * ms, MustSubscribe: true, ResubscribeWithin: 10 * time.Second, Zone: "near",
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	var list []Server
	for i := range near {
		list = append(list, Server{ID: fmt.Sprint("near-", i), Zone: "near"})
	}
	for i := range far {
		list = append(list, Server{ID: fmt.Sprint("far-", i), Zone: "far"})
	}
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	return b
}

// Hundreds of servers of a zone are listed as draining at once, and then discovery is too busy to tell of the rest. These take work as
// well, and go on doing so while they drain: while the list is unconfirmed the zone is left alone, until discovery was heard as of a time
// at which it had listed all. Processes that have started since, the only zone, and one of which fewer leave are asked.
func TestZoneThatLeavesIsNotAsked(t *testing.T) {
	const near, told = 2 * slowAnnouncementSize, 3 * time.Second
	for _, c := range []struct {
		name    string
		far     int
		leave   int
		started time.Duration // the rest of the zone's servers
		heard   time.Duration
		asked   bool // the zone
	}{
		{"many leave", near, slowAnnouncementSize, 0, told, false},
		{"few leave", near, slowAnnouncementSize - 1, 0, told, true},
		{"the only zone", 0, slowAnnouncementSize, 0, told, true},
		{"the rest has started since", near, slowAnnouncementSize, 4 * time.Second, told, true},
		{"all are listed", near, slowAnnouncementSize, 0, told + listingDelay, true},
	} {
		b := nodeOfZones(near, c.far)
		var changes []Server
		for i := range near {
			e := Server{ID: fmt.Sprint("near-", i), Zone: "near", Started: c.started}
			if i < c.leave {
				e.Health, e.Started = Draining, 0
			}
			changes = append(changes, e)
		}
		b.HandleList(told, ListUpdate{Kind: ListDiff, Servers: changes}, nil)
		b.HandleList(told, ListUpdate{Kind: ListRestored, AsOf: c.heard}, nil)
		b.HandleList(told, ListUpdate{Kind: ListFailed, ConfirmedUntil: 9 * time.Second}, nil)
		for _, s := range b.servers {
			s.recordOutcome(9*time.Second, &Outcome{Result: Served, ConnAge: 9 * time.Second})
		}
		got := slices.ContainsFunc(asked(b, 9*time.Second, 10*time.Second, serveAll), func(s string) bool { return strings.HasPrefix(s, "near") })
		if got != c.asked {
			t.Errorf("%s: servers of the zone are asked: %v, want %v", c.name, got, c.asked)
		}
	}
}

// A zone of hundreds of servers is lost and comes back. Discovery has so much to tell that its answer to this node's open long poll
// waits, and the list seems confirmed. From the time on at which the loss may count as told, servers there that have no connection from
// before it are not asked, until discovery is heard as of a time at which it had listed the loss, or they have served for longer than
// it can count. Neither a small zone nor the only one is left alone, nor one where few sends failed or all within a moment.
func TestZoneThatIsBackUntoldIsNotAsked(t *testing.T) {
	const lost, back = 2 * time.Second, 7 * time.Second
	for _, c := range []struct {
		name     string
		near     int
		far      int
		failures []time.Duration // after the loss
		kept     bool            // connections
		heard    time.Duration
		now      time.Duration
		asked    bool // the zone
	}{
		{"lost", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second}, false, time.Second, lost + announcementDelay, false},
		{"not told yet", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second}, false, time.Second, lost + announcementDelay - time.Second, true},
		{"a small zone", slowAnnouncementSize - 1, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second}, false, time.Second, lost + announcementDelay, true},
		{"the only zone", slowAnnouncementSize, 0, []time.Duration{0, time.Second, 3 * time.Second}, false, time.Second, lost + announcementDelay, true},
		{"few failures", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, 3 * time.Second}, false, time.Second, lost + announcementDelay, true},
		{"a moment", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, 10 * ms, 20 * ms}, false, time.Second, lost + announcementDelay, true},
		{"connections that lasted", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second}, true, time.Second, lost + announcementDelay, true},
		{"heard since", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second}, false, lost + 3*time.Second + listingDelay, lost + 9*time.Second, true},
		{"back for long", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second}, false, time.Second, back + restartKnownAfter, true},
	} {
		b := nodeOfZones(c.near, c.far)
		for _, after := range c.failures {
			b.zones["near"].recordResult(lost+after, ConnectFailed)
		}
		opened := back
		if c.kept {
			opened = time.Second
		}
		for _, s := range b.servers {
			s.recordOutcome(c.now, &Outcome{Result: Served, ConnAge: c.now - opened})
			s.zone.recordResult(back, Served)
		}
		b.HandleList(c.now, ListUpdate{Kind: ListRestored, AsOf: c.heard}, nil)
		got := slices.ContainsFunc(asked(b, c.now, c.now+900*ms, serveAll), func(s string) bool { return strings.HasPrefix(s, "near") })
		if got != c.asked {
			t.Errorf("%s: servers of the zone are asked: %v, want %v", c.name, got, c.asked)
		}
	}
}
