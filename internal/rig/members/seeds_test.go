package members

import (
	"testing"
	"time"
)

// Every node of a fleet may be listed as a seed: the fleet is founded exactly once and all nodes join. A node that
// knows only the seeds must also join after the first seeds, which founded the fleet, are gone.
func TestEachNodeIsASeed(t *testing.T) {
	const nodes = 1024
	n := New(Config{Seed: 1, Nodes: nodes, Sites: 4, SeedCount: nodes, ShareViews: true})
	n.StartAll()
	if !n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) || len(n.Violations) > 0 {
		t.Fatalf("%d nodes, each a seed: no agreement at %v: %v", nodes, n.Now, n.Violations)
	}
	t.Logf("%d nodes, each a seed, agree after %v", nodes, n.Now-time.Second)
	const founders = 16
	for i := range founders + 1 {
		n.Kill(i)
	}
	if !n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
		t.Fatalf("no agreement without the founders at %v", n.Now)
	}
	began := n.Now
	n.Start(founders, false)
	if !n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
		t.Fatalf("with the founders gone, a node has not joined through the other seeds after %v", n.Now-began)
	}
	t.Logf("with the founders gone, a node joined after %v", n.Now-began)
}
