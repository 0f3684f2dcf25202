package bootstrap

import (
	"fmt"
	"testing"
	"time"
)

// However many nodes ask one that has no list yet, it remembers them: as many as a second allows are handed one at once.
func TestManyThatWantAList(t *testing.T) {
	const nodes = 21*256 + 1
	r := New(Settings{Name: "x"}, false, 1, 0)
	for i := range nodes {
		r.Receive(time.Second, &Message{Kind: ListQuery, From: fmt.Sprint("n", i)})
	}
	if len(r.wanting) != nodes {
		t.Errorf("%d of %d are remembered", len(r.wanting), nodes)
	}
	r.Take()
	r.DiscoveryAnswered(2*time.Second, 1, "d")
	outs, _, _ := r.Take()
	handed := 0
	for _, o := range outs {
		if o.Kind == ListReply {
			handed++
		}
	}
	if handed != mostHanded {
		t.Errorf("%d are handed a list at once, want %d", handed, mostHanded)
	}
}
