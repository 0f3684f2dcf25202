package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"curlewring/internal/rig/timeline"
)

// fleet is nodes that start, a discovery that works through calls in turn, and leases of sites that somebody gives out.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	events  timeline.Events
	nodes   []*node
	lines   float64       // a second, of discovery
	busy    time.Duration // until when it works
	whole   int           // whole lists that it was asked for
	granted time.Duration // when leases are to be had; 0: never
	held    map[int]bool  // sites whose lease is held
	loss    float64
	cut     int // the site that can't reach discovery; 0: each can
	doubt   int // handed lists that were taken for newer than they are
}

type node struct {
	f       *fleet
	r       *Bootstrapper
	name    string
	site    int
	started bool
	dead    bool
	had     time.Duration // when it had a list; 0: not yet
	told    time.Duration // when discovery had told it
	sending time.Duration // lists go out one after the other
	wrote   time.Duration // when the list that it has was told by discovery, to anybody
}

const (
	listLines   = 100
	changeLines = 2
)

func (f *fleet) after(d time.Duration, do func()) { f.events.At(f.now+d, do) }

// call asks discovery, which works through all calls in turn, whoever still waits.
func (f *fleet) call(lines int, do func()) {
	if lines == listLines {
		f.whole++
	}
	f.busy = max(f.busy, f.now) + time.Duration(float64(lines+1)/f.lines*float64(time.Second))
	f.events.At(f.busy, do)
}

func (n *node) start(has bool) {
	n.started = true
	n.r = New(Settings{Name: n.name}, has, n.f.rng.Uint64(), n.f.now)
	var names []string
	for _, x := range n.f.nodes[:min(3, len(n.f.nodes))] { // the seeds
		names = append(names, x.name)
	}
	n.r.SetPeers(names, nil)
	n.f.after(3*time.Second, func() { // the members have found each other
		var near, far []string
		for _, x := range n.f.nodes {
			switch {
			case x == n:
			case x.site == n.site:
				near = append(near, x.name)
			default:
				far = append(far, x.name)
			}
		}
		n.r.SetPeers(near, far)
	})
	var tick func()
	tick = func() {
		if n.dead || n.told > 0 {
			return
		}
		n.r.Tick(n.f.now)
		if n.r.WantsLease() && n.f.granted > 0 && n.f.now >= n.f.granted && !n.f.held[n.site] {
			n.f.held[n.site] = true
			n.r.LeaseAcquired(n.f.now)
		}
		n.carry()
		n.f.after(50*time.Millisecond, tick)
	}
	tick()
}

func (n *node) carry() {
	outs, asks, list := n.r.Take()
	if list != nil {
		n.had = n.f.now
		if n.wrote = n.f.now - list.List.Age; n.wrote < 0 {
			n.f.doubt++
		}
	}
	if asks {
		lines, wait := listLines, time.Duration(0)
		if n.had > 0 { // as Asking.First
			lines, wait = changeLines, time.Duration(n.f.rng.Float64()*float64(min(time.Duration(len(n.f.nodes))*10*time.Millisecond, 3*time.Second)))
		}
		n.f.after(wait, func() {
			n.f.call(lines, func() {
				if n.dead || n.f.cut == n.site && n.site > 0 {
					return
				}
				n.told = n.f.now
				if n.had == 0 {
					n.had = n.f.now
				}
				n.wrote = n.f.now
				n.r.DiscoveryAnswered(n.f.now, 5, "d")
				n.carry()
			})
		})
	}
	for _, o := range outs {
		i := slices.IndexFunc(n.f.nodes, func(x *node) bool { return x.name == o.To })
		to := n.f.nodes[i]
		if n.f.rng.Float64() < n.f.loss {
			continue
		}
		wait := time.Millisecond
		if o.Kind == ListReply {
			n.sending = max(n.sending, n.f.now) + 5*time.Millisecond
			wait = n.sending - n.f.now + 2*time.Millisecond
		}
		n.f.after(wait, func() {
			m := &Message{Kind: o.Kind, From: n.name}
			if o.Kind == ListReply {
				var ok bool
				if m.List, ok = n.r.List(n.f.now); !ok {
					return
				}
			}
			if to.started && !to.dead {
				to.r.Receive(n.f.now, m)
				to.carry()
			}
		})
	}
}

// play has nodes start within a while, and returns when the last had a list, and was told by discovery.
func play(seed uint64, count int, within time.Duration, edit func(*fleet)) (f *fleet, had, told time.Duration) {
	f = &fleet{rng: rand.New(rand.NewPCG(seed, 8)), lines: 200, held: map[int]bool{}, granted: 4 * time.Second}
	for i := range count {
		f.nodes = append(f.nodes, &node{f: f, name: fmt.Sprint("n", i), site: i % 3})
	}
	if edit != nil {
		edit(f)
	}
	for _, n := range f.nodes {
		f.after(time.Duration(f.rng.Float64()*float64(within)), func() { n.start(false) })
	}
	f.events.Run(30*time.Minute, &f.now)
	for _, n := range f.nodes {
		if !n.dead {
			if n.had == 0 || n.told == 0 {
				return f, 0, 0
			}
			had, told = max(had, n.had), max(told, n.told)
		}
	}
	return f, had, told
}

// 300 nodes start at once, none with a list, at a discovery of 200 lines a second: the control is each asking by itself
// without ever asking twice, which is its capacity's bound.
func TestAFleetStartsAtOnce(t *testing.T) {
	bound := time.Duration(300 * float64(listLines+1) / 200 * float64(time.Second))
	for name, c := range map[string]struct {
		edit  func(*fleet)
		most  float64 // of the bound
		whole int
	}{
		"with leases":                     {nil, 0.05, 10},
		"and a tenth lost":                {func(f *fleet) { f.loss = 0.1 }, 0.05, 10},
		"one site cut off from its lease": {func(f *fleet) { f.held[2] = true }, 0.1, 25},
		"without voters":                  {func(f *fleet) { f.granted = 0 }, 0.1, 25},
	} {
		t.Run(name, func(t *testing.T) {
			worst, worstTold, whole := time.Duration(0), time.Duration(0), 0
			for seed := range uint64(10) {
				f, had, told := play(seed, 300, 300*time.Millisecond, c.edit)
				if had == 0 {
					t.Fatalf("seed %d: some have no list", seed)
				}
				if f.doubt > 0 {
					t.Errorf("seed %d: %d lists are older than they say", seed, f.doubt)
				}
				worst, worstTold, whole = max(worst, had), max(worstTold, told), max(whole, f.whole)
			}
			t.Logf("all have a list after %v, %.3f of the bound of %v; discovery has told all after %v, by up to %d whole lists", worst,
				worst.Seconds()/bound.Seconds(), bound, worstTold, whole)
			if worst.Seconds() > c.most*bound.Seconds() || whole > c.whole {
				t.Errorf("%v, wanted %.2f of %v; %d whole lists, wanted %d", worst, c.most, bound, whole, c.whole)
			}
		})
	}
}

// A node that starts in a fleet that serves has a list at once; one that is alone asks as if there were nobody; one with a
// list of its own asks at once and waits for nobody.
func TestASingleNodeStarts(t *testing.T) {
	f, _, _ := play(1, 20, time.Second, nil)
	one := &node{f: f, name: "new", site: 1}
	f.nodes = append(f.nodes, one)
	begun := f.now
	one.start(false)
	f.events.Run(begun+time.Minute, &f.now)
	if one.had == 0 || one.had-begun > 100*time.Millisecond || one.told-begun > 5*time.Second {
		t.Errorf("it has a list after %v, and is told after %v", one.had-begun, one.told-begun)
	}
	_, had, _ := play(2, 1, 0, nil)
	if had > usualNear+time.Second {
		t.Errorf("one by itself has a list after %v", had)
	}
	r := New(Settings{Name: "x"}, true, 1, 0)
	if _, asks, _ := r.Take(); !asks {
		t.Error("one with a list waits")
	}
}

// The one that asks for its site dies, or its call is swallowed: the others ask for themselves in the end.
func TestTheOneThatAsksDies(t *testing.T) {
	f, had, _ := play(3, 30, 100*time.Millisecond, func(f *fleet) {
		f.after(4200*time.Millisecond, func() {
			for _, n := range f.nodes {
				if n.r.Phase() == AskingDiscovery {
					n.dead = true
				}
			}
		})
	})
	if had == 0 || had > usualHold+30*time.Second {
		t.Errorf("all have a list after %v, by %d whole lists", had, f.whole)
	}
}

// A site that can't reach discovery at all is told by another one.
func TestASiteWithoutDiscovery(t *testing.T) {
	f, _, _ := play(5, 30, 100*time.Millisecond, func(f *fleet) { f.cut = 1 })
	for _, n := range f.nodes {
		if n.had == 0 || n.had > usualHold+5*time.Second {
			t.Errorf("%s of site %d has a list after %v", n.name, n.site, n.had)
		}
	}
}

// What goes before what: discovery's word before any list that was handed on, the first of those before the next; ages
// add up.
func TestWhatGoesBeforeWhat(t *testing.T) {
	r := New(Settings{Name: "x"}, false, 1, 0)
	r.Receive(time.Second, &Message{Kind: ListReply, From: "a", List: List{3, "d", time.Minute}})
	if _, asks, m := r.Take(); m == nil || !asks {
		t.Error("the list was not taken, or discovery is not asked")
	}
	r.Receive(2*time.Second, &Message{Kind: ListReply, From: "b", List: List{9, "d", 0}})
	if _, _, m := r.Take(); m != nil {
		t.Error("a second one was taken")
	}
	if l, _ := r.List(11 * time.Second); l.Generation != 3 || l.Age != time.Minute+10*time.Second {
		t.Errorf("%+v", l)
	}
	r.DiscoveryAnswered(20*time.Second, 4, "d")
	if l, _ := r.List(21 * time.Second); l.Generation != 4 || l.Age != time.Second {
		t.Errorf("%+v", l)
	}
	x := New(Settings{Name: "x"}, false, 1, 0)
	x.Receive(0, &Message{Kind: ListReply, From: "a", List: List{3, "d", 0}})
	x.Take()
	x.ListUnusable(time.Second)
	if _, has := x.List(time.Second); has || x.Phase() != AskingDiscovery {
		t.Errorf("a list that was of no use is handed on, phase %v", x.Phase())
	}
	// However many want it, so many get it a second.
	y := New(Settings{Name: "y"}, false, 1, 0)
	y.DiscoveryAnswered(0, 1, "d")
	sent := 0
	for i := range 1000 {
		y.Receive(time.Duration(i)*time.Millisecond, &Message{Kind: ListQuery, From: fmt.Sprint(i)})
		outs, _, _ := y.Take()
		sent += len(outs)
	}
	if sent != mostHanded {
		t.Errorf("%d lists in a second", sent)
	}
}
