package members

import (
	"testing"
	"time"
)

// Each node of a fleet may be a seed: the fleet is founded, once, and all get in. So it is where the first of the seeds, who
// found it, have gone since, and one comes that knows nobody but the seeds.
func TestEachNodeIsASeed(t *testing.T) {
	const nodes = 1024
	n := New(Config{Seed: 1, Nodes: nodes, Sites: 4, SeedCount: nodes, ShareViews: true})
	n.StartAll()
	if !n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) || len(n.Violations) > 0 {
		t.Fatalf("%d nodes, each a seed: no agreement after %v: %v", nodes, n.Now, n.Violations)
	}
	t.Logf("%d nodes, each a seed, agree after %v", nodes, n.Now-time.Second)
	const founders = 16
	for i := range founders + 1 {
		n.Kill(i)
	}
	if !n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
		t.Fatalf("no agreement without the founders after %v", n.Now)
	}
	began := n.Now
	n.Start(founders, false)
	if !n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
		t.Fatalf("with the founders gone, a node does not get in by the other seeds within %v", n.Now-began)
	}
	t.Logf("with the founders gone, a node is in after %v", n.Now-began)
}
