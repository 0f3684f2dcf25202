package decide

import (
	"testing"
	"time"
)

// coldNode knows one cold server and no other, or a warm one too.
func coldNode(warm bool) *Balancer {
	b := New(Settings{
		Node: 0, Nodes: 6, Classes: []Class{{LatencyTarget: time.Second, Deadline: time.Second, Worth: 1}}, MaxAttempts: 1,
		ColdCapacity: 0.3, WarmupTime: 100 * time.Second, CollapseMultiple: 2.5, CollapseWindow: time.Second,
	}, 1, time.Hour)
	list := []Server{{ID: "cold", Started: time.Hour}}
	if warm {
		list = append(list, Server{ID: "warm"})
	}
	b.HandleList(time.Hour, ListUpdate{Kind: ListFull, Servers: list}, nil)
	return b
}

// sent offers requests a tenth of a second apart, each answered at once, and counts those that went to the cold server.
func sent(b *Balancer, from time.Duration, n int) (cold int) {
	for i := range n {
		now := from + time.Duration(i)*100*ms
		id := uint64(now)
		for _, a := range b.HandleRequest(now, Request{ID: id, Tenant: -1, TTL: 50 * ms}, nil) {
			if a.Kind == Send {
				if a.Server == "cold" {
					cold++
				}
				b.HandleOutcome(now+ms, Outcome{Request: id, Server: a.Server, Result: Served, Elapsed: ms, Final: true}, nil)
			}
		}
		b.HandleDisconnect(now+ms, Disconnect{Request: id}, nil)
	}
	return cold
}

// While its part is lent a node sends a cold server what it is dealt and no more; afterwards by its own part again,
// which has not grown meanwhile.
func TestDealtSendsAloneWhileThePartIsLent(t *testing.T) {
	b := coldNode(false)
	now := time.Hour + time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + 10*time.Second}}, nil)
	if n := sent(b, now, 50); n != 0 {
		t.Errorf("%d sent with nothing dealt", n)
	}
	now += 5 * time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + 10*time.Second, Sends: 3, ValidUntil: now + 5*time.Second}}, nil)
	if n := sent(b, now, 40); n != 3 {
		t.Errorf("%d sent of 3 that were dealt", n)
	}
	c := b.ColdServers(now+4*time.Second, nil)
	if len(c) != 1 || c[0].GrantsUsed != 3 || c[0].GrantsHeld != 0 || c[0].Answered != 3 || !c[0].Starved || c[0].SendRate <= 0 {
		t.Errorf("%+v", c)
	}
	b.HandleGrants(now+4*time.Second, []Grant{{Server: "cold", Started: time.Hour, Sends: 5, ValidUntil: now + 4*time.Second + 50*ms}}, nil)
	if n := sent(b, now+4*time.Second+60*ms, 10); n != 0 {
		t.Errorf("%d sent that were no good any more", n)
	}
	now += 10 * time.Second // the loan is over
	if n := sent(b, now, 5); n != 0 {
		t.Errorf("%d sent at once: the part had grown while it was lent", n)
	}
	if n := sent(b, now+time.Second, 300); n == 0 || n > 100 {
		t.Errorf("%d sent in 30 s by the node's own part", n)
	}
}

// What is dealt to another life of a server is void, and so is what was lent of it.
func TestDealsAreOfOneLife(t *testing.T) {
	b := coldNode(false)
	now := time.Hour + time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour - 1, LentUntil: now + time.Minute, Sends: 9, ValidUntil: now + time.Minute}, {Server: "who"}}, nil)
	if c := b.ColdServers(now, nil); c[0].GrantsHeld != 0 {
		t.Errorf("%+v", c)
	}
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + time.Minute, Sends: 9, ValidUntil: now + time.Minute}}, nil)
	b.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "cold", Started: now}}}, nil)
	if c := b.ColdServers(now, nil); c[0].GrantsHeld != 0 || c[0].GrantsUsed != 0 || c[0].Started != now {
		t.Errorf("%+v", c)
	}
}

// A send that was dealt comes before the choice of two, one at a time; without it a cold server stands back.
func TestDealtSendsComeFirst(t *testing.T) {
	b := coldNode(true)
	now := time.Hour + time.Second
	sent(b, now, 20)
	now += 3 * time.Second
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, LentUntil: now + time.Minute, Sends: 4, ValidUntil: now + time.Minute}}, nil)
	if n := sent(b, now, 4); n != 4 {
		t.Errorf("%d of 4 dealt sends came first", n)
	}
	if n := sent(b, now+time.Second, 4); n != 0 {
		t.Errorf("%d sent beyond what was dealt", n)
	}
	b.HandleGrants(now, []Grant{{Server: "cold", Started: time.Hour, Sends: 2, ValidUntil: now + time.Minute}}, nil)
	servers := map[string]int{}
	for i := range uint64(2) { // none answered yet
		for _, a := range b.HandleRequest(now+2*time.Second, Request{ID: i, Tenant: -1, TTL: time.Second}, nil) {
			if a.Kind == Send {
				servers[a.Server]++
			}
		}
	}
	if servers["cold"] != 1 {
		t.Errorf("two at once: %v", servers)
	}
}
