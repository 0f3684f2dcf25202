package members

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// protocol is a membership protocol under comparison; start starts a fleet that runs it.
type protocol struct {
	name  string
	start func(nodes int, seed uint64) *Net
}

// protocols returns the protocols that are compared.
func protocols() []protocol {
	return []protocol{
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

// countSeeingAlive counts the running nodes that consider a named other node alive.
func countSeeingAlive(n *Net, name string) (count int) {
	for _, i := range n.RunningNodes() {
		if names, _ := n.Nodes[i].Core.LiveMembers(); names[name] && n.Nodes[i].Name != name {
			count++
		}
	}
	return count
}

// countFalseDeaths counts, once per second, the pairs of running, usable nodes of which the first considers the second
// dead, and counts how often the last node, which has no fault, changes its opinion of any node. The node with index
// faulty (-1: none) is left out of the pairs.
func countFalseDeaths(n *Net, duration time.Duration, faulty int) (pairs, changes int) {
	last := map[string]bool{}
	for i := range n.Nodes {
		last[n.Nodes[i].Name] = true
	}
	for end := n.Now + duration; n.Now < end; {
		n.Run(n.Now + time.Second)
		for _, i := range n.RunningNodes() {
			if i == faulty {
				continue
			}
			names, _ := n.Nodes[i].Core.LiveMembers()
			for _, j := range n.RunningNodes() {
				if j != faulty && i != j && len(names) > 0 && !names[n.Nodes[j].Name] && n.isUsable(n.Nodes[i]) && n.isUsable(n.Nodes[j]) {
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

// median sorts durations and returns their median and maximum.
func median(all []time.Duration) (mid, worst time.Duration) {
	slices.Sort(all)
	return all[len(all)/2], all[len(all)-1]
}

// Compares this protocol with plain SWIM under the same faults and seeds; the output is the table of
// docs/design/membership.md. This protocol must not declare a usable node dead. Plain SWIM must do so under 30% loss,
// or the faults are too weak to tell the protocols apart.
func TestAgainstPlainSwim(t *testing.T) {
	seeds, nodes := uint64(1), 24
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds, nodes = 10, 50
	}
	counts := map[string]int{}
	for _, a := range protocols() {
		var took []time.Duration
		bytes, sum := 0, 0
		for seed := range seeds {
			n := a.start(nodes, seed+1)
			bytesBefore := 0
			for _, x := range n.Nodes {
				bytesBefore += x.Bytes
			}
			n.Run(n.Now + 10*time.Second)
			for _, x := range n.Nodes {
				sum += x.Bytes
			}
			sum -= bytesBefore
			at := n.Now
			n.Kill(7)
			n.RunUntil(time.Minute, func() bool { return countSeeingAlive(n, n.Nodes[7].Name) == 0 })
			took = append(took, n.Now-at)
		}
		bytes = sum / nodes / 10 / int(seeds)
		mid, worst := median(took)
		t.Logf("| %s | crash detected by all | median %.1f s, worst %.1f s | %d bytes per node and second when idle |", a.name, mid.Seconds(), worst.Seconds(), bytes)
		for _, x := range []struct {
			name   string
			faulty int
			link   func(from, to *Node) Link
			pause  bool
		}{
			{"30% lost on all links", -1, func(*Node, *Node) Link { return Link{Loss: 0.3} }, false},
			{"no messages from one node to one other", -1, func(from, to *Node) Link { return Link{Cut: from.Index == 1 && to.Index == 2} }, false},
			{"one node receives nothing", 2, func(_, to *Node) Link { return Link{Cut: to.Index == 2} }, false},
			{"no messages between one node and half of the fleet", 2, func(from, to *Node) Link {
				return Link{Cut: from.Index == 2 && to.Index/4%2 == 0 || to.Index == 2 && from.Index/4%2 == 0}
			}, false},
			{"a pause of 3 s, every 10 s", -1, healthyLink, true},
		} {
			pairs, changes := 0, 0
			for seed := range seeds {
				n := a.start(nodes, seed+1)
				n.SetLinks(x.link)
				if x.pause {
					for k := range time.Duration(6) {
						n.At(n.Now+k*10*time.Second, func() { n.Pause(3) })
						n.At(n.Now+k*10*time.Second+3*time.Second, func() { n.Resume(3) })
					}
				}
				p, c := countFalseDeaths(n, time.Minute, x.faulty)
				pairs, changes = pairs+p, changes+c
			}
			counts[a.name+"/"+x.name+"/wrong"] = pairs
			counts[a.name+"/"+x.name+"/changes"] = changes
			t.Logf("| %s | %s | false deaths %.1f pair-seconds per run | %.1f changes per run |", a.name, x.name, float64(pairs)/float64(seeds), float64(changes)/float64(seeds))
		}
	}
	for key, n := range counts {
		if len(key) > 4 && key[:4] == "this" && key[len(key)-5:] == "wrong" && n > 0 {
			t.Errorf("%s: %d false deaths, want 0", key, n)
		}
	}
	if counts["plain SWIM/30% lost on all links/wrong"] == 0 {
		t.Error("plain SWIM tolerates 30% loss as well: the faults are too weak to compare the protocols")
	}
}

// Measures crash detection in fleets of 1,000 nodes, and the cost of a node in fleets of 10 to 1,000. Runs only with
// CURLEWRING_LONG set.
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
				t.Errorf("seed %d: no agreement without node %d", n.Seed, dead)
			}
			took = append(took, n.Now-at)
		}
		if seed == 0 {
			at, viewBefore := n.Now, latestViewNumber(n)
			for i := range n.Nodes {
				if i%5 < 2 {
					n.Kill(i)
				}
			}
			ok := n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) })
			t.Logf("40%% of 1,000 killed at once: removed from all views %v after %v, %d views", ok, n.Now-at, latestViewNumber(n)-viewBefore)
		}
	}
	mid, worst := median(took)
	t.Logf("1,000 nodes, 15 crashes, time until all detect one: median %v, worst %v", mid, worst)
	for _, nodes := range []int{10, 100, 1000} {
		n := New(Config{Seed: 1, Nodes: nodes, Sites: 4, SeedCount: 3, ShareViews: true, CountBytes: nodes <= 1000})
		n.StartAll()
		if !n.RunUntil(90*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) }) {
			t.Errorf("%d nodes: no agreement at %v", nodes, n.Now)
		}
		agreedAt := n.Now
		bytes, sent := 0, 0
		for _, x := range n.Nodes {
			bytes, sent = bytes+x.Bytes, sent+x.Sent
		}
		wallStart := time.Now()
		n.Run(n.Now + 5*time.Second)
		wall := time.Since(wallStart)
		for _, x := range n.Nodes {
			bytes, sent = bytes-x.Bytes, sent-x.Sent
		}
		at := n.Now
		n.Kill(nodes / 2)
		ok := n.RunUntil(30*time.Second, func() bool { return n.Agreed(n.RunningNodes()...) })
		t.Logf("%s", fmt.Sprintf("| %d | %.1f s | %d | %.1f | %.3f%% | %v, %.1f s |", nodes, (agreedAt-time.Second).Seconds(), -bytes/nodes/5, float64(-sent)/float64(nodes)/5,
			100*wall.Seconds()/5/float64(nodes), ok, (n.Now-at).Seconds()))
	}
}
