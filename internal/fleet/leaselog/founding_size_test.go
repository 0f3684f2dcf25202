package leaselog

import (
	"fmt"
	"testing"
	"time"
)

// A founder asks each member of a large fleet whether it knows of voters before anybody draws a number: the only one that
// does may be any. A step asks a part of them.
func TestAFoundingAsksAllMembers(t *testing.T) {
	const nodes = 20_000     // as many as a view holds
	const mostInAStep = 1027 // a node's inbox for leases holds 1,024 answers; the chosen ones are asked in each step
	members := map[string]Member{}
	for i := range nodes {
		members[fmt.Sprintf("n%05d", i)] = Member{Site: "a", Addr: "127.0.0.1:1"}
	}
	f := newFleet(t, "n00000")
	c := f.up["n00000"]
	c.SetMembers(f.now, members)
	chosen := []string{"n00000", "n00001", "n00002"}
	if err := c.FoundLog(f.now, chosen, 0, 0, func(VoterSet, error) {}); err != nil {
		t.Fatal(err)
	}
	asked, drawing := map[string]bool{}, false
	for end := f.now + drawFor; !drawing; f.now += 100 * time.Millisecond {
		if f.now > end {
			t.Fatalf("%d of %d members were asked, and no number is drawn within %v", len(asked), nodes-1, drawFor)
		}
		c.Tick(f.now)
		outs, _ := c.TakeOutgoing()
		step := 0
		for _, o := range outs {
			switch o.Message.Kind {
			case QueryVoters:
				step++
				asked[o.To] = true
				if o.To == chosen[1] || o.To == chosen[2] {
					c.Receive(f.now, &Message{Kind: NoVotersKnown, From: o.To, Founding: o.Message.Founding})
				}
			case RequestID:
				drawing = true
			}
		}
		if step > mostInAStep {
			t.Errorf("a step asks %d members, at most %d", step, mostInAStep)
		}
	}
	if len(asked) != nodes-1 {
		t.Errorf("numbers are drawn after %d of %d members were asked", len(asked), nodes-1)
	}
}
