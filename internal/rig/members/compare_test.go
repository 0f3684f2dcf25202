package members

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// arm is a protocol on a net of its own.
type arm struct {
	name  string
	start func(nodes int, seed uint64) *Net
}

func arms() []arm {
	return []arm{
		{"this", func(nodes int, seed uint64) *Net {
			n := New(Config{Seed: seed, Nodes: nodes, Sites: 4, SeedCount: 3, CountBytes: nodes <= 100, ShareViews: true})
			n.StartAll()
			n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) })
			return n
		}},
		{"plain SWIM", func(nodes int, seed uint64) *Net {
			n := New(Config{Seed: seed, Nodes: nodes, Sites: 4, CountBytes: true, NewCore: func(n *Net, i, _ int) Core { return NewSwim(n, i) }})
			n.StartAll()
			n.Run(n.Now + 5*time.Second)
			return n
		}},
	}
}

// sees counts the living nodes that hold another to be alive.
func sees(n *Net, name string) (all int) {
	for _, i := range n.RunningNodes() {
		if names, _ := n.Nodes[i].Core.LiveMembers(); names[name] && n.Nodes[i].Name != name {
			all++
		}
	}
	return all
}

// wrong counts pairs of living, usable nodes of which the first holds the second to be dead, looked at every
// second, and how often that changed at a node that nothing is wrong with.
func wrong(n *Net, lasts time.Duration, sick int) (pairs, changes int) {
	last := map[string]bool{}
	for i := range n.Nodes {
		last[n.Nodes[i].Name] = true
	}
	for end := n.Now + lasts; n.Now < end; {
		n.Run(n.Now + time.Second)
		for _, i := range n.RunningNodes() {
			if i == sick {
				continue
			}
			names, _ := n.Nodes[i].Core.LiveMembers()
			for _, j := range n.RunningNodes() {
				if j != sick && i != j && len(names) > 0 && !names[n.Nodes[j].Name] && n.usable(n.Nodes[i]) && n.usable(n.Nodes[j]) {
					pairs++
				}
			}
			if i == len(n.Nodes)-1 {
				for j := range n.Nodes {
					if name := n.Nodes[j].Name; len(names) > 0 && names[name] != last[name] {
						last[name] = names[name]
						changes++
					}
				}
			}
		}
	}
	return pairs, changes
}

func median(all []time.Duration) (mid, worst time.Duration) {
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// The table of docs/design/membership.md: this protocol beside plain SWIM, the same faults and seeds.
func TestAgainstPlainSwim(t *testing.T) {
	seeds, nodes := uint64(1), 24
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds, nodes = 10, 50
	}
	found := map[string]int{}
	for _, a := range arms() {
		var took []time.Duration
		bytes, sum := 0, 0
		for seed := range seeds {
			n := a.start(nodes, seed+1)
			from := 0
			for _, x := range n.Nodes {
				from += x.Bytes
			}
			n.Run(n.Now + 10*time.Second)
			for _, x := range n.Nodes {
				sum += x.Bytes
			}
			sum -= from
			at := n.Now
			n.Kill(7)
			n.RunUntil(time.Minute, func() bool { return sees(n, n.Nodes[7].Name) == 0 })
			took = append(took, n.Now-at)
		}
		bytes = sum / nodes / 10 / int(seeds)
		mid, worst := median(took)
		t.Logf("| %s | crash told to all | median %.1f s, worst %.1f s | %d bytes a node a second at rest |", a.name, mid.Seconds(), worst.Seconds(), bytes)
		for _, x := range []struct {
			name string
			sick int
			link func(from, to *Node) Link
			stop bool
		}{
			{"30% lost on all links", -1, func(*Node, *Node) Link { return Link{Loss: 0.3} }, false},
			{"one does not hear one other", -1, func(from, to *Node) Link { return Link{Cut: from.Index == 1 && to.Index == 2} }, false},
			{"one is deaf to all", 2, func(_, to *Node) Link { return Link{Cut: to.Index == 2} }, false},
			{"half of the fleet can't use one", 2, func(from, to *Node) Link {
				return Link{Cut: from.Index == 2 && to.Index/4%2 == 0 || to.Index == 2 && from.Index/4%2 == 0}
			}, false},
			{"a pause of 3 s, every 10 s", -1, whole, true},
		} {
			pairs, changes := 0, 0
			for seed := range seeds {
				n := a.start(nodes, seed+1)
				n.SetLinks(x.link)
				if x.stop {
					for k := range time.Duration(6) {
						n.At(n.Now+k*10*time.Second, func() { n.Pause(3) })
						n.At(n.Now+k*10*time.Second+3*time.Second, func() { n.Resume(3) })
					}
				}
				p, c := wrong(n, time.Minute, x.sick)
				pairs, changes = pairs+p, changes+c
			}
			found[a.name+"/"+x.name+"/wrong"] = pairs
			found[a.name+"/"+x.name+"/changes"] = changes
			t.Logf("| %s | %s | wrong deaths %.1f pair-seconds a run | %.1f changes a run |", a.name, x.name, float64(pairs)/float64(seeds), float64(changes)/float64(seeds))
		}
	}
	for key, n := range found {
		if len(key) > 4 && key[:4] == "this" && key[len(key)-5:] == "wrong" && n > 0 {
			t.Errorf("%s: %d", key, n)
		}
	}
	if found["plain SWIM/30% lost on all links/wrong"] == 0 {
		t.Error("the control bears it as well: the comparison shows nothing")
	}
}

// Detection at 1,000 by hand, and what a node costs from 10 to 1,000.
func TestLargeFleets(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("set CURLEWRING_LONG=1")
	}
	var took []time.Duration
	for seed := range uint64(5) {
		n := New(Config{Seed: seed + 1, Nodes: 1000, Sites: 4, SeedCount: 3, ShareViews: true})
		n.StartAll()
		if !n.RunUntil(60*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
			t.Fatalf("seed %d: no agreement", n.Seed)
		}
		for _, dead := range []int{7, 500, 801} {
			at := n.Now
			n.Kill(dead)
			if !n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
				t.Errorf("seed %d: no agreement without %d", n.Seed, dead)
			}
			took = append(took, n.Now-at)
		}
		if seed == 0 {
			at, before := n.Now, views(n)
			for i := range n.Nodes {
				if i%5 < 2 {
					n.Kill(i)
				}
			}
			ok := n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) })
			t.Logf("40%% of 1,000 killed at once: out of all views %v after %v, %d views", ok, n.Now-at, views(n)-before)
		}
	}
	mid, worst := median(took)
	t.Logf("1,000 nodes, a crash told to all, 15 of them: median %v, worst %v", mid, worst)
	for _, nodes := range []int{10, 100, 1000} {
		n := New(Config{Seed: 1, Nodes: nodes, Sites: 4, SeedCount: 3, ShareViews: true, CountBytes: nodes <= 1000})
		n.StartAll()
		if !n.RunUntil(90*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
			t.Errorf("%d nodes: no agreement after %v", nodes, n.Now)
		}
		ready := n.Now
		from, sent := 0, 0
		for _, x := range n.Nodes {
			from, sent = from+x.Bytes, sent+x.Sent
		}
		begun := time.Now()
		n.Run(n.Now + 5*time.Second)
		wall := time.Since(begun)
		for _, x := range n.Nodes {
			from, sent = from-x.Bytes, sent-x.Sent
		}
		at := n.Now
		n.Kill(nodes / 2)
		ok := n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) })
		t.Logf("%s", fmt.Sprintf("| %d | %.1f s | %d | %.1f | %.3f%% | %v, %.1f s |", nodes, (ready-time.Second).Seconds(), -from/nodes/5, float64(-sent)/float64(nodes)/5,
			100*wall.Seconds()/5/float64(nodes), ok, (n.Now-at).Seconds()))
	}
}
