package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewring/internal/rig/timeline"
)

// simulation is a fleet of starting nodes, a discovery that serves calls one after the other, and a lease per site.
type simulation struct {
	rng                *rand.Rand
	now                time.Duration
	events             timeline.Events
	nodes              []*simNode
	linesPerSecond     float64       // lines per second that discovery can serve
	discoveryBusyUntil time.Duration // when discovery has served all calls so far
	fullLists          int           // calls for the full list
	leasesFrom         time.Duration // from when leases can be acquired; 0: never
	leasedSites        map[int]bool  // sites whose lease is held
	messageLoss        float64
	cutOffSite         int // the site that can't reach discovery; 0: none
	understatedAges    int // received lists whose stated age dates them before the start
}

type simNode struct {
	sim           *simulation
	bootstrapper  *Bootstrapper
	name          string
	site          int
	started       bool
	dead          bool
	listAt        time.Duration // when it first had a list; 0: not yet
	discoveryAt   time.Duration // when discovery answered it; 0: not yet
	sendingUntil  time.Duration // when its last list is sent, as it sends one after the other
	listWrittenAt time.Duration // when discovery returned its list, to this or another node
}

const (
	fullListLines = 100
	changeLines   = 2
)

func (sim *simulation) after(d time.Duration, do func()) { sim.events.At(sim.now+d, do) }

// callDiscovery queues a call. Discovery serves all calls in order, also those whose caller waits no longer.
func (sim *simulation) callDiscovery(lines int, do func()) {
	if lines == fullListLines {
		sim.fullLists++
	}
	sim.discoveryBusyUntil = max(sim.discoveryBusyUntil, sim.now) + time.Duration(float64(lines+1)/sim.linesPerSecond*float64(time.Second))
	sim.events.At(sim.discoveryBusyUntil, do)
}

func (n *simNode) start(hasList bool) {
	n.started = true
	n.bootstrapper = New(Settings{Name: n.name}, hasList, n.sim.rng.Uint64(), n.sim.now)
	var names []string
	for _, x := range n.sim.nodes[:min(3, len(n.sim.nodes))] { // the seeds
		names = append(names, x.name)
	}
	n.bootstrapper.SetPeers(names, nil)
	n.sim.after(3*time.Second, func() { // membership has converged
		var near, far []string
		for _, x := range n.sim.nodes {
			switch {
			case x == n:
			case x.site == n.site:
				near = append(near, x.name)
			default:
				far = append(far, x.name)
			}
		}
		n.bootstrapper.SetPeers(near, far)
	})
	var tick func()
	tick = func() {
		if n.dead || n.discoveryAt > 0 {
			return
		}
		n.bootstrapper.Tick(n.sim.now)
		if n.bootstrapper.WantsLease() && n.sim.leasesFrom > 0 && n.sim.now >= n.sim.leasesFrom && !n.sim.leasedSites[n.site] {
			n.sim.leasedSites[n.site] = true
			n.bootstrapper.LeaseAcquired(n.sim.now)
		}
		n.process()
		n.sim.after(50*time.Millisecond, tick)
	}
	tick()
}

func (n *simNode) process() {
	outgoing, callDiscovery, list := n.bootstrapper.TakeOutput()
	if list != nil {
		n.listAt = n.sim.now
		if n.listWrittenAt = n.sim.now - list.List.Age; n.listWrittenAt < 0 {
			n.sim.understatedAges++
		}
	}
	if callDiscovery {
		lines, wait := fullListLines, time.Duration(0)
		if n.listAt > 0 { // a call for changes after a random wait, as nodes do it
			lines, wait = changeLines, time.Duration(n.sim.rng.Float64()*float64(min(time.Duration(len(n.sim.nodes))*10*time.Millisecond, 3*time.Second)))
		}
		n.sim.after(wait, func() {
			n.sim.callDiscovery(lines, func() {
				if n.dead || n.sim.cutOffSite == n.site && n.site > 0 {
					return
				}
				n.discoveryAt = n.sim.now
				if n.listAt == 0 {
					n.listAt = n.sim.now
				}
				n.listWrittenAt = n.sim.now
				n.bootstrapper.DiscoveryAnswered(n.sim.now, 5, "d")
				n.process()
			})
		})
	}
	for _, o := range outgoing {
		i := slices.IndexFunc(n.sim.nodes, func(x *simNode) bool { return x.name == o.To })
		to := n.sim.nodes[i]
		if n.sim.rng.Float64() < n.sim.messageLoss {
			continue
		}
		wait := time.Millisecond
		if o.Kind == ListReply {
			n.sendingUntil = max(n.sendingUntil, n.sim.now) + 5*time.Millisecond
			wait = n.sendingUntil - n.sim.now + 2*time.Millisecond
		}
		n.sim.after(wait, func() {
			m := &Message{Kind: o.Kind, From: n.name}
			if o.Kind == ListReply {
				var ok bool
				if m.List, ok = n.bootstrapper.List(n.sim.now); !ok {
					return
				}
			}
			if to.started && !to.dead {
				to.bootstrapper.Receive(n.sim.now, m)
				to.process()
			}
		})
	}
}

// runSimulation starts nodes at random times and returns when the last one had a list and when discovery had answered
// the last one; 0 if some have no list or no answer.
func runSimulation(seed uint64, count int, within time.Duration, edit func(*simulation)) (sim *simulation, lastList, lastAnswer time.Duration) {
	sim = &simulation{rng: rand.New(rand.NewPCG(seed, 8)), linesPerSecond: 200, leasedSites: map[int]bool{}, leasesFrom: 4 * time.Second}
	for i := range count {
		sim.nodes = append(sim.nodes, &simNode{sim: sim, name: fmt.Sprint("n", i), site: i % 3})
	}
	if edit != nil {
		edit(sim)
	}
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.rng.Float64()*float64(within)), func() { n.start(false) })
	}
	sim.events.Run(30*time.Minute, &sim.now)
	for _, n := range sim.nodes {
		if !n.dead {
			if n.listAt == 0 || n.discoveryAt == 0 {
				return sim, 0, 0
			}
			lastList, lastAnswer = max(lastList, n.listAt), max(lastAnswer, n.discoveryAt)
		}
	}
	return sim, lastList, lastAnswer
}

// 300 nodes without a list start at once, with a discovery that serves 200 lines per second. The bound to compare
// with is the time that discovery needs to serve the full list to each node once.
func TestFleetStartsAtOnce(t *testing.T) {
	bound := time.Duration(300 * float64(fullListLines+1) / 200 * float64(time.Second))
	for name, c := range map[string]struct {
		edit      func(*simulation)
		maxPart   float64 // of the bound
		fullLists int
	}{
		"with leases": {nil, 0.05, 10},
		"with leases and a tenth of messages lost": {func(sim *simulation) { sim.messageLoss = 0.1 }, 0.05, 10},
		"one site can't get its lease":             {func(sim *simulation) { sim.leasedSites[2] = true }, 0.1, 25},
		"without voters":                           {func(sim *simulation) { sim.leasesFrom = 0 }, 0.1, 25},
	} {
		t.Run(name, func(t *testing.T) {
			worstList, worstAnswer, fullLists := time.Duration(0), time.Duration(0), 0
			for seed := range uint64(10) {
				sim, lastList, lastAnswer := runSimulation(seed, 300, 300*time.Millisecond, c.edit)
				if lastList == 0 {
					t.Fatalf("seed %d: some nodes have no list or no answer of discovery", seed)
				}
				if sim.understatedAges > 0 {
					t.Errorf("seed %d: %d lists with a wrong age", seed, sim.understatedAges)
				}
				worstList, worstAnswer, fullLists = max(worstList, lastList), max(worstAnswer, lastAnswer), max(fullLists, sim.fullLists)
			}
			t.Logf("all have a list after %v, %.3f of the bound of %v; discovery has answered all after %v, with up to %d full lists", worstList,
				worstList.Seconds()/bound.Seconds(), bound, worstAnswer, fullLists)
			if worstList.Seconds() > c.maxPart*bound.Seconds() || fullLists > c.fullLists {
				t.Errorf("all have a list after %v, want at most %.2f of %v; %d full lists, want at most %d", worstList, c.maxPart, bound, fullLists, c.fullLists)
			}
		})
	}
}

// A node that starts in a running fleet gets a list at once, a node alone asks discovery after PeerTimeout, and a
// node with a list of its own asks discovery at once.
func TestSingleNodeStarts(t *testing.T) {
	sim, _, _ := runSimulation(1, 20, time.Second, nil)
	joiner := &simNode{sim: sim, name: "new", site: 1}
	sim.nodes = append(sim.nodes, joiner)
	started := sim.now
	joiner.start(false)
	sim.events.Run(started+time.Minute, &sim.now)
	if joiner.listAt == 0 || joiner.listAt-started > 100*time.Millisecond || joiner.discoveryAt-started > 5*time.Second {
		t.Errorf("list after %v, answer of discovery after %v", joiner.listAt-started, joiner.discoveryAt-started)
	}
	_, lastList, _ := runSimulation(2, 1, 0, nil)
	if lastList > defaultPeerTimeout+time.Second {
		t.Errorf("a node alone has a list after %v", lastList)
	}
	b := New(Settings{Name: "x"}, true, 1, 0)
	if _, callDiscovery, _ := b.TakeOutput(); !callDiscovery {
		t.Error("a node with a list does not ask discovery at once")
	}
}

// If the nodes that ask discovery for their sites die, the others ask it themselves in the end.
func TestLeaseholderDies(t *testing.T) {
	sim, lastList, _ := runSimulation(3, 30, 100*time.Millisecond, func(sim *simulation) {
		sim.after(4200*time.Millisecond, func() {
			for _, n := range sim.nodes {
				if n.bootstrapper.Phase() == AskingDiscovery {
					n.dead = true
				}
			}
		})
	})
	if lastList == 0 || lastList > defaultMaxWait+30*time.Second {
		t.Errorf("all have a list after %v, with %d full lists", lastList, sim.fullLists)
	}
}

// A site that can't reach discovery gets its list from another site.
func TestSiteWithoutDiscovery(t *testing.T) {
	sim, _, _ := runSimulation(5, 30, 100*time.Millisecond, func(sim *simulation) { sim.cutOffSite = 1 })
	for _, n := range sim.nodes {
		if n.listAt == 0 || n.listAt > defaultMaxWait+5*time.Second {
			t.Errorf("%s of site %d has a list after %v", n.name, n.site, n.listAt)
		}
	}
}

// A list from discovery takes precedence over lists from peers, and the first list from a peer over later ones. The
// age of a list grows from the age that it was received with. A node sends at most maxRepliesPerSecond lists.
func TestListPrecedence(t *testing.T) {
	b := New(Settings{Name: "x"}, false, 1, 0)
	b.Receive(time.Second, &Message{Kind: ListReply, From: "a", List: List{3, "d", time.Minute}})
	if _, callDiscovery, m := b.TakeOutput(); m == nil || !callDiscovery {
		t.Error("the list was not accepted, or discovery is not asked")
	}
	b.Receive(2*time.Second, &Message{Kind: ListReply, From: "b", List: List{9, "d", 0}})
	if _, _, m := b.TakeOutput(); m != nil {
		t.Error("a second list was accepted")
	}
	if l, _ := b.List(11 * time.Second); l.Generation != 3 || l.Age != time.Minute+10*time.Second {
		t.Errorf("list from a peer with generation 3, ten seconds later: %+v", l)
	}
	b.DiscoveryAnswered(20*time.Second, 4, "d")
	if l, _ := b.List(21 * time.Second); l.Generation != 4 || l.Age != time.Second {
		t.Errorf("list from discovery with generation 4, one second later: %+v", l)
	}
	unusable := New(Settings{Name: "x"}, false, 1, 0)
	unusable.Receive(0, &Message{Kind: ListReply, From: "a", List: List{3, "d", 0}})
	unusable.TakeOutput()
	unusable.ListUnusable(time.Second)
	if _, has := unusable.List(time.Second); has || unusable.Phase() != AskingDiscovery {
		t.Errorf("an unusable list is still known, or discovery is not asked: phase %v", unusable.Phase())
	}
	// However many nodes ask, the number of replies per second is limited.
	limited := New(Settings{Name: "y"}, false, 1, 0)
	limited.DiscoveryAnswered(0, 1, "d")
	sent := 0
	for i := range 1000 {
		limited.Receive(time.Duration(i)*time.Millisecond, &Message{Kind: ListQuery, From: fmt.Sprint(i)})
		outgoing, _, _ := limited.TakeOutput()
		sent += len(outgoing)
	}
	if sent != maxRepliesPerSecond {
		t.Errorf("%d lists sent in a second", sent)
	}
}
