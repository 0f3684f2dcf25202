package leaselog

import (
	"fmt"
	"testing"
	"time"
)

// A founding must query each member of a large fleet for existing voters before any voter ID is drawn, because a
// single member may be the only one that knows them. Only some members are queried at a time.
func TestFoundingQueriesAllMembers(t *testing.T) {
	const nodes = 20_000          // the size limit of a membership view
	const maxQueriedAtOnce = 1027 // a node's inbox holds 1,024 replies; the chosen nodes are queried each time
	members := map[string]Member{}
	for i := range nodes {
		members[fmt.Sprintf("n%05d", i)] = Member{Site: "a", Addr: "127.0.0.1:1"}
	}
	f := newFleet(t, "n00000")
	n := f.running["n00000"]
	n.SetMembers(f.now, members)
	chosen := []string{"n00000", "n00001", "n00002"}
	if err := n.FoundLog(f.now, chosen, 0, 0, func(VoterSet, error) {}); err != nil {
		t.Fatal(err)
	}
	queried, idRequested := map[string]bool{}, false
	for end := f.now + answerTimeout; !idRequested; f.now += 100 * time.Millisecond {
		if f.now > end {
			t.Fatalf("%d of %d members were queried, and no voter ID was requested within %v", len(queried), nodes-1, answerTimeout)
		}
		n.Tick(f.now)
		outgoing, _ := n.TakeOutgoing()
		queriedAtOnce := 0
		for _, out := range outgoing {
			switch out.Message.Kind {
			case QueryVoters:
				queriedAtOnce++
				queried[out.To] = true
				if out.To == chosen[1] || out.To == chosen[2] {
					n.Receive(f.now, &Message{Kind: NoVotersKnown, From: out.To, Founding: out.Message.Founding})
				}
			case RequestID:
				idRequested = true
			}
		}
		if queriedAtOnce > maxQueriedAtOnce {
			t.Errorf("%d members were queried at once, want at most %d", queriedAtOnce, maxQueriedAtOnce)
		}
	}
	if len(queried) != nodes-1 {
		t.Errorf("voter IDs were requested after %d of %d members were queried", len(queried), nodes-1)
	}
}
