package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// subscribedNode returns the only node, with an up-to-date list of servers that needs a subscription.
func subscribedNode(servers ...string) *Balancer {
	b := New(Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * ms, MustSubscribe: true,
		ResubscribeWithin: 10 * time.Second,
		Classes:           []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 1, time.Second)
	var list []Server
	for _, id := range servers {
		list = append(list, Server{ID: id})
	}
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	return b
}

// sendOne sends one request and ends its attempt with the given result; it returns the server, or "" if
// there was none.
func sendOne(b *Balancer, now time.Duration, result func(server string) Result) string {
	nextID++
	for _, a := range b.HandleRequest(now, Request{ID: nextID, Tenant: -1, TTL: 2 * time.Second}, nil) {
		if a.Kind == Send {
			r := result(a.Server)
			b.HandleOutcome(now+10*ms, Outcome{Request: nextID, Server: a.Server, Result: r, Elapsed: 10 * ms,
				Final: true}, nil)
			return a.Server
		}
	}
	return ""
}

// serveAll serves every request.
func serveAll(string) Result { return Served }

// serversUsed returns the servers that get requests sent every 20 ms for some time.
func serversUsed(b *Balancer, from, until time.Duration,
	result func(server string) Result) (servers []string) {
	for now := from; now < until; now += 20 * ms {
		if s := sendOne(b, now, result); s != "" && !slices.Contains(servers, s) {
			servers = append(servers, s)
		}
	}
	slices.Sort(servers)
	return servers
}

// Once drains that the node can't have received may count as announced, it must use only servers that
// accepted work lately. As soon as discovery responds it must use the others again. Until then nothing
// changes.
func TestUnconfirmedListUsesAcceptingServers(t *testing.T) {
	b := subscribedNode("a", "b", "c", "d")
	at := 2 * time.Second
	drained := func(server string) Result { // two servers have started to drain and reject work
		if server == "c" || server == "d" {
			return Rejected
		}
		return Served
	}
	b.HandleList(at, ListUpdate{Kind: ListFailed, ConfirmedUntil: 7 * time.Second}, nil)
	if got := serversUsed(b, at, 7*time.Second, drained); len(got) != 4 {
		t.Fatalf("while the list is confirmed only %v are used", got)
	}
	if got := serversUsed(b, 7*time.Second, 20*time.Second, drained); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("with the list unconfirmed %v are used, want a and b", got)
	}
	b.HandleList(20*time.Second, ListUpdate{Kind: ListDiff}, nil)
	if got := serversUsed(b, 20*time.Second, 40*time.Second, serveAll); !slices.Contains(got, "c") &&
		!slices.Contains(got, "d") {
		t.Errorf("with the list confirmed only %v are used", got)
	}
}

// A node that has sent nothing for a while has no server that accepted work lately. It must use the one
// that did so last, never one that has rejected work since, and must not refuse everything.
func TestUnconfirmedListWithoutRecentAcceptance(t *testing.T) {
	b := subscribedNode("a", "b", "c")
	b.HandleList(time.Second, ListUpdate{Kind: ListFailed, ConfirmedUntil: 3 * time.Second}, nil)
	serversUsed(b, time.Second, 2*time.Second, func(server string) Result {
		if server == "c" {
			return Rejected
		}
		return Served
	})
	last := sendOne(b, 2500*ms, serveAll)
	for last == "c" {
		t.Fatal("choose another seed: the last server that served is the draining one")
	}
	if got := sendOne(b, 30*time.Second, func(string) Result { return Rejected }); got != last {
		t.Errorf("after a pause %q is used, want %q, which served last", got, last)
	}
	if got := sendOne(b, 31*time.Second, serveAll); got == last || got == "c" || got == "" {
		t.Errorf("%q is used although it has rejected work", got)
	}
}

// A server that has started lately does not drain, so it must be used with an unconfirmed list.
func TestUnconfirmedListUsesStartedServers(t *testing.T) {
	b := subscribedNode("a", "b")
	b.HandleList(9*time.Second, ListUpdate{Kind: ListDiff,
		Servers: []Server{{ID: "new1", Started: 9 * time.Second},
			{ID: "new2", Started: 9 * time.Second}}}, nil)
	b.HandleList(9*time.Second, ListUpdate{Kind: ListFailed, ConfirmedUntil: 10 * time.Second}, nil)
	if got := serversUsed(b, 10*time.Second, 12*time.Second, serveAll); !slices.Equal(got,
		[]string{"new1", "new2"}) {
		t.Errorf("%v are used, want those that have just started", got)
	}
}

// A server that was lost and is back accepts work while its loss still counts as announced. A server whose
// connections are all newer than the last response of discovery may be one of these, until it has served
// for longer than the loss can count. A server that responds on an older connection, or that closes each
// connection but responds all the time, is not.
func TestUnconfirmedListUsesRunningProcesses(t *testing.T) {
	const confirmedAt, now = 20 * time.Second, 27 * time.Second
	type answer struct{ opened, sent time.Duration } // on a connection opened at that time
	for _, c := range []struct {
		name    string
		started time.Duration
		answers []answer
		usable  bool
	}{
		{"no response", 0, nil, false},
		{"one connection older than the confirmation", 0, []answer{{5 * time.Second, 26 * time.Second}},
			true},
		{"that connection, but some time ago", 0, []answer{{5 * time.Second, 22 * time.Second}}, false},
		{"a connection newer than the confirmation", 0,
			[]answer{{5 * time.Second, 21 * time.Second}, {24 * time.Second, 26 * time.Second}}, false},
		{"shortly after a response on an older one", 0,
			[]answer{{5 * time.Second, 23500 * ms}, {24 * time.Second, 26 * time.Second}}, true},
		{"two connections, one of them older", 0, []answer{{24 * time.Second, 26 * time.Second},
			{5 * time.Second, 26 * time.Second}}, true},
		{"a process that the list names", 23 * time.Second, []answer{{24 * time.Second, 26 * time.Second}},
			true},
		{"the list names a process that started long before", 10 * time.Second,
			[]answer{{24 * time.Second, 26 * time.Second}}, false},
	} {
		b := subscribedNode("a")
		b.HandleList(confirmedAt, ListUpdate{Kind: ListDiff,
			Servers: []Server{{ID: "a", Started: c.started}}}, nil)
		s := b.servers["a"]
		for _, x := range c.answers {
			s.recordOutcome(x.sent, &Outcome{Result: Served, ConnAge: x.sent - x.opened})
		}
		b.HandleList(now, ListUpdate{Kind: ListFailed, ConfirmedUntil: now}, nil)
		if got := !b.doubtful(s); got != c.usable {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.usable)
		}
		b.HandleList(now, ListUpdate{Kind: ListDiff}, nil)
		if b.doubtful(s) {
			t.Errorf("%s: doubtful although the list is confirmed", c.name)
		}
	}
}

// A process has been running since the connection of its response was opened, as reported by the outcome.
// The idle connections counted here say nothing, since those from before an outage are dead. If the age is
// unknown only the time of the send counts.
func TestUptimeStartsWithConnection(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{7 * time.Second: 2010 * ms, 20 * ms: 8990 * ms,
		0: 9 * time.Second} {
		b := subscribedNode("a")
		sendOne(b, time.Second, serveAll) // leaves a connection
		b.servers["a"].uptime = timeSpan{}
		nextID++
		b.HandleRequest(9*time.Second, Request{ID: nextID, Tenant: -1, TTL: time.Second}, nil)
		b.HandleOutcome(9*time.Second+10*ms, Outcome{Request: nextID, Server: "a", Result: Served,
			Elapsed: 10 * ms, ConnAge: age, Final: true}, nil)
		if got := b.servers["a"].uptime.from; got != want {
			t.Errorf("connection age %v: running since %v, want %v", age, got, want)
		}
	}
}

// A node that has just started does not know what happened to servers before, and may have been lost
// together with its zone. If the zone is too large for discovery to announce its loss in time, its servers
// must not be used from the time at which their loss may count as announced until discovery responds, even
// if they serve. Other zones are used, and so are a small zone and the only zone.
func TestStartedNodeAvoidsOwnLargeZone(t *testing.T) {
	for _, c := range []struct {
		name      string
		near, far int
		avoided   bool
	}{
		{"a large zone", slowAnnouncementSize, 50, true},
		{"a small zone", slowAnnouncementSize - 1, 50, false},
		{"the only zone", slowAnnouncementSize, 0, false},
	} {
		b := New(Settings{
			Nodes: 10, MaxAttempts: 3, AnswerGrace: 10 * ms, MustSubscribe: true,
			ResubscribeWithin: 10 * time.Second, Zone: "near",
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
		b.HandleList(time.Second, ListUpdate{Kind: ListStored, Servers: list,
			ConfirmedUntil: 3 * time.Second}, nil)
		near := func(from, until time.Duration) bool {
			return slices.ContainsFunc(serversUsed(b, from, until, serveAll),
				func(s string) bool { return strings.HasPrefix(s, "near") })
		}
		if !near(time.Second, 3*time.Second) {
			t.Errorf("%s: not used before its loss can count as announced", c.name)
		}
		if got := near(3*time.Second, 20*time.Second); got == c.avoided {
			t.Errorf("%s: used while discovery does not respond: %v", c.name, got)
		}
		if got := serversUsed(b, 20*time.Second, 21*time.Second, serveAll); len(got) == 0 {
			t.Errorf("%s: no server is used", c.name)
		}
		b.HandleList(21*time.Second, ListUpdate{Kind: ListLocal, AsOf: 20 * time.Second}, nil)
		if !near(21*time.Second, 40*time.Second) {
			t.Errorf("%s: not used although discovery responds", c.name)
		}
	}
}

// A zone drains or is lost as a whole, and this node has tried only a few of its servers. As long as
// discovery can't have listed that, and no server is known to be good, a server of another zone comes first
// although the zone's own servers accepted work later: otherwise each of them would have to be tried. A few
// refusals among successes are no sign of this.
func TestRefusingZoneIsUsedLast(t *testing.T) {
	for _, c := range []struct {
		name        string
		results     []Result // of servers of the near zone, in order
		confirmedAt time.Duration
		used        string
	}{
		{"all reject", []Result{Rejected, Rejected, Rejected}, 3 * time.Second, "far"},
		{"all unreachable", []Result{ConnectFailed, ConnectFailed, ConnectFailed}, 3 * time.Second, "far"},
		{"one serves", []Result{Rejected, Rejected, Served, Rejected}, 3 * time.Second, "near"},
		{"few refusals", []Result{Rejected, Rejected}, 3 * time.Second, "near"},
		{"discovery has listed it", []Result{Rejected, Rejected, Rejected}, 9 * time.Second, "near"},
	} {
		b := nodeWithTwoZones(20)
		for i := range 20 {
			b.servers[fmt.Sprint("far-", i)].recordOutcome(2*time.Second,
				&Outcome{Result: Served, ConnAge: time.Second})
			b.servers[fmt.Sprint("near-", i)].recordOutcome(2500*ms,
				&Outcome{Result: Served, ConnAge: time.Second})
		}
		for i, r := range c.results {
			b.servers[fmt.Sprint("near-", i)].recordOutcome(3500*ms, &Outcome{Result: r})
			b.zones["near"].recordResult(3500*ms, r)
		}
		b.HandleList(10*time.Second, ListUpdate{Kind: ListLocal, AsOf: c.confirmedAt}, nil)
		b.HandleList(10*time.Second, ListUpdate{Kind: ListFailed, ConfirmedUntil: 10 * time.Second}, nil)
		if got := sendOne(b, 12*time.Second, serveAll); !strings.HasPrefix(got, c.used) {
			t.Errorf("%s: %q is used, want a server of zone %s", c.name, got, c.used)
		}
	}
}

// A server that rejected work must not be used again because of a list that discovery made too early to
// include its drain.
func TestRejectionOutlivesOlderList(t *testing.T) {
	for confirmedAt, refused := range map[time.Duration]bool{0: true, 4 * time.Second: true,
		3*time.Second + listingDelay: false} {
		b := subscribedNode("a")
		b.servers["a"].recordOutcome(3*time.Second, &Outcome{Result: Rejected})
		b.confirmedAt = confirmedAt
		if got := b.rejectedSinceAccepted(b.servers["a"]); got != refused {
			t.Errorf("rejected at 3 s, list as of %v: still refused %v, want %v", confirmedAt, got, refused)
		}
	}
}

// nodeWithTwoZones returns a node with an up-to-date list of as many servers in its own zone as in another
// one.
func nodeWithTwoZones(servers int) *Balancer { return nodeWithZones(servers, servers) }

// nodeWithZones returns a node with an up-to-date list of servers in its own zone and in another one.
func nodeWithZones(near, far int) *Balancer {
	b := New(Settings{
		Nodes: 10, MaxAttempts: 3, AnswerGrace: 10 * ms, MustSubscribe: true,
		ResubscribeWithin: 10 * time.Second, Zone: "near",
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

// Hundreds of servers of a zone are listed as draining at once, and then discovery is too busy to announce
// the rest. These accept work, also while they drain. While the list is unconfirmed the zone must not be
// used, until discovery responds as of a time by which it had listed all. Processes that started later, the
// only zone, and a zone of which fewer servers leave are used.
func TestLeavingZoneIsNotUsed(t *testing.T) {
	const near, announcedAt = 2 * slowAnnouncementSize, 3 * time.Second
	for _, c := range []struct {
		name        string
		far         int
		leave       int
		started     time.Duration // of the zone's other servers
		confirmedAt time.Duration
		used        bool // whether the zone is used
	}{
		{"many leave", near, slowAnnouncementSize, 0, announcedAt, false},
		{"few leave", near, slowAnnouncementSize - 1, 0, announcedAt, true},
		{"the only zone", 0, slowAnnouncementSize, 0, announcedAt, true},
		{"the rest started later", near, slowAnnouncementSize, 4 * time.Second, announcedAt, true},
		{"all are listed", near, slowAnnouncementSize, 0, announcedAt + listingDelay, true},
	} {
		b := nodeWithZones(near, c.far)
		var changes []Server
		for i := range near {
			e := Server{ID: fmt.Sprint("near-", i), Zone: "near", Started: c.started}
			if i < c.leave {
				e.Health, e.Started = Draining, 0
			}
			changes = append(changes, e)
		}
		b.HandleList(announcedAt, ListUpdate{Kind: ListDiff, Servers: changes}, nil)
		b.HandleList(announcedAt, ListUpdate{Kind: ListLocal, AsOf: c.confirmedAt}, nil)
		b.HandleList(announcedAt, ListUpdate{Kind: ListFailed, ConfirmedUntil: 9 * time.Second}, nil)
		for _, s := range b.servers {
			s.recordOutcome(9*time.Second, &Outcome{Result: Served, ConnAge: 9 * time.Second})
		}
		got := slices.ContainsFunc(serversUsed(b, 9*time.Second, 10*time.Second, serveAll),
			func(s string) bool { return strings.HasPrefix(s, "near") })
		if got != c.used {
			t.Errorf("%s: servers of the zone used: %v, want %v", c.name, got, c.used)
		}
	}
}

// A zone of hundreds of servers is lost and comes back. Discovery has so much to announce that its response
// to this node's long poll is delayed, and the list seems confirmed. From the time at which the loss may
// count as announced, servers of the zone without an older connection must not be used, until discovery
// responds as of a time by which it had listed the loss, or until they have served for longer than the loss
// can count. A small zone and the only zone are used, and so is one where few sends failed, or all within a
// moment.
func TestRestartedZoneIsNotUsed(t *testing.T) {
	const lostAt, backAt = 2 * time.Second, 7 * time.Second
	for _, c := range []struct {
		name         string
		near         int
		far          int
		failures     []time.Duration // times after the loss
		connsSurvive bool            // those opened before the loss
		confirmedAt  time.Duration
		now          time.Duration
		used         bool // whether the zone is used
	}{
		{"lost", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, time.Second, 3 * time.Second},
			false, time.Second, lostAt + announcementDelay, false},
		{"not announced yet", slowAnnouncementSize, slowAnnouncementSize,
			[]time.Duration{0, time.Second, 3 * time.Second},
			false, time.Second, lostAt + announcementDelay - time.Second, true},
		{"a small zone", slowAnnouncementSize - 1, slowAnnouncementSize,
			[]time.Duration{0, time.Second, 3 * time.Second},
			false, time.Second, lostAt + announcementDelay, true},
		{"the only zone", slowAnnouncementSize, 0, []time.Duration{0, time.Second, 3 * time.Second},
			false, time.Second, lostAt + announcementDelay, true},
		{"few failures", slowAnnouncementSize, slowAnnouncementSize, []time.Duration{0, 3 * time.Second},
			false, time.Second, lostAt + announcementDelay, true},
		{"all failures at once", slowAnnouncementSize, slowAnnouncementSize,
			[]time.Duration{0, 10 * ms, 20 * ms}, false, time.Second, lostAt + announcementDelay, true},
		{"surviving connections", slowAnnouncementSize, slowAnnouncementSize,
			[]time.Duration{0, time.Second, 3 * time.Second},
			true, time.Second, lostAt + announcementDelay, true},
		{"confirmed since", slowAnnouncementSize, slowAnnouncementSize,
			[]time.Duration{0, time.Second, 3 * time.Second},
			false, lostAt + 3*time.Second + listingDelay, lostAt + 9*time.Second, true},
		{"back for long", slowAnnouncementSize, slowAnnouncementSize,
			[]time.Duration{0, time.Second, 3 * time.Second},
			false, time.Second, backAt + restartKnownAfter, true},
	} {
		b := nodeWithZones(c.near, c.far)
		for _, after := range c.failures {
			b.zones["near"].recordResult(lostAt+after, ConnectFailed)
		}
		opened := backAt
		if c.connsSurvive {
			opened = time.Second
		}
		for _, s := range b.servers {
			s.recordOutcome(c.now, &Outcome{Result: Served, ConnAge: c.now - opened})
			s.zone.recordResult(backAt, Served)
		}
		b.HandleList(c.now, ListUpdate{Kind: ListLocal, AsOf: c.confirmedAt}, nil)
		got := slices.ContainsFunc(serversUsed(b, c.now, c.now+900*ms, serveAll),
			func(s string) bool { return strings.HasPrefix(s, "near") })
		if got != c.used {
			t.Errorf("%s: servers of the zone used: %v, want %v", c.name, got, c.used)
		}
	}
}
