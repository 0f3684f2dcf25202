package bootstrap

import (
	"fmt"
	"testing"
	"time"
)

// A node without a list remembers every query, of however many nodes. Once it has a list, it replies to as many as
// the limit per second allows.
func TestManyPendingQueries(t *testing.T) {
	const nodes = 21*256 + 1
	b := New(Settings{Name: "x"}, false, 1, 0)
	for i := range nodes {
		b.Receive(time.Second, &Message{Kind: ListQuery, From: fmt.Sprint("n", i)})
	}
	if len(b.pendingQueries) != nodes {
		t.Errorf("%d of %d queries are remembered", len(b.pendingQueries), nodes)
	}
	b.TakeOutput()
	b.DiscoveryAnswered(2*time.Second, 1, "d")
	outgoing, _, _ := b.TakeOutput()
	replies := 0
	for _, o := range outgoing {
		if o.Kind == ListReply {
			replies++
		}
	}
	if replies != maxRepliesPerSecond {
		t.Errorf("%d replies sent at once, want %d", replies, maxRepliesPerSecond)
	}
}
