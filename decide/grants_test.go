package decide

import (
	"testing"
	"time"
)

// coldNode returns a node with one cold server, and optionally a warm one.
func coldNode(warm bool) *Balancer {
	b := New(Settings{
		Node: 0, Nodes: 6, Classes: []Class{{LatencyTarget: time.Second, Deadline: time.Second,
			Worth: 1}}, MaxAttempts: 1,
		ColdCapacity: 0.3, WarmupTime: 100 * time.Second, CollapseMultiple: 2.5, CollapseWindow: time.Second,
	}, 1, time.Hour)
	list := []Server{{ID: "cold", Started: time.Hour}}
	if warm {
		list = append(list, Server{ID: "warm"})
	}
	b.HandleList(time.Hour, ListUpdate{Kind: ListFull, Servers: list}, nil)
	return b
}

// countColdSends offers requests every 100 ms, each answered at once, and counts those sent to the cold
// server.
func countColdSends(b *Balancer, from time.Duration, n int) (cold int) {
	for i := range n {
		now := from + time.Duration(i)*100*ms
		id := uint64(now)
		for _, a := range b.HandleRequest(now, Request{ID: id, Tenant: -1, TTL: 50 * ms}, nil) {
			if a.Kind == Send {
				if a.Server == "cold" {
					cold++
				}
				b.HandleOutcome(now+ms, Outcome{Request: id, Server: a.Server, Result: Served, Elapsed: ms,
					Final: true}, nil)
			}
		}
		b.HandleDisconnect(now+ms, Disconnect{Request: id}, nil)
	}
	return cold
}

// While its share is lent, a node makes only granted sends to a cold server. Afterwards it uses its own
// share again, which has not grown meanwhile.
func TestOnlyGrantedSendsWhileShareIsLent(t *testing.T) {
	b := coldNode(false)
	now := time.Hour + time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + 10*time.Second}}, nil)
	if n := countColdSends(b, now, 50); n != 0 {
		t.Errorf("%d sent without a grant", n)
	}
	now += 5 * time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + 10*time.Second,
		Sends: 3, ValidUntil: now + 5*time.Second}}, nil)
	if n := countColdSends(b, now, 40); n != 3 {
		t.Errorf("%d sent of 3 granted", n)
	}
	c := b.ColdServers(now+4*time.Second, nil)
	if len(c) != 1 || c[0].GrantsUsed != 3 || c[0].GrantsHeld != 0 || c[0].Answered != 3 || !c[0].Starved ||
		c[0].SendRate <= 0 {
		t.Errorf("%+v", c)
	}
	b.HandleGrants(now+4*time.Second, []Grant{{Server: "cold", Started: time.Hour, Sends: 5,
		ValidUntil: now + 4*time.Second + 50*ms}}, nil)
	if n := countColdSends(b, now+4*time.Second+60*ms, 10); n != 0 {
		t.Errorf("%d sent with expired grants", n)
	}
	now += 10 * time.Second // the loan has ended
	if n := countColdSends(b, now, 5); n != 0 {
		t.Errorf("%d sent at once: the share grew while it was lent", n)
	}
	if n := countColdSends(b, now+time.Second, 300); n == 0 || n > 100 {
		t.Errorf("%d sent in 30 s from the node's own share", n)
	}
}

// Grants for another process of a server are void, and so are loans.
func TestGrantsApplyToOneProcess(t *testing.T) {
	b := coldNode(false)
	now := time.Hour + time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour - 1, LentUntil: now + time.Minute,
		Sends: 9, ValidUntil: now + time.Minute}, {Server: "who"}}, nil)
	if c := b.ColdServers(now, nil); c[0].GrantsHeld != 0 {
		t.Errorf("%+v", c)
	}
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + time.Minute, Sends: 9,
		ValidUntil: now + time.Minute}}, nil)
	b.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "cold", Started: now}}}, nil)
	if c := b.ColdServers(now, nil); c[0].GrantsHeld != 0 || c[0].GrantsUsed != 0 || c[0].Started != now {
		t.Errorf("%+v", c)
	}
}

// A granted send takes precedence over the choice of two, one at a time; without grants a cold server gets
// nothing.
func TestGrantedSendsComeFirst(t *testing.T) {
	b := coldNode(true)
	now := time.Hour + time.Second
	countColdSends(b, now, 20)
	now += 3 * time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + time.Minute, Sends: 4,
		ValidUntil: now + time.Minute}}, nil)
	if n := countColdSends(b, now, 4); n != 4 {
		t.Errorf("%d of 4 granted sends came first", n)
	}
	if n := countColdSends(b, now+time.Second, 4); n != 0 {
		t.Errorf("%d sent beyond the grants", n)
	}
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, Sends: 2,
		ValidUntil: now + time.Minute}}, nil)
	servers := map[string]int{}
	for i := range uint64(2) { // without responses
		for _, a := range b.HandleRequest(now+2*time.Second, Request{ID: i, Tenant: -1, TTL: time.Second},
			nil) {
			if a.Kind == Send {
				servers[a.Server]++
			}
		}
	}
	if servers["cold"] != 1 {
		t.Errorf("two concurrent requests: %v", servers)
	}
}
