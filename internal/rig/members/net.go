package members

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
	"curlewring/internal/rig/timeline"
)

// Core is a membership protocol's part at one node.
type Core interface {
	Tick(now time.Duration)
	Receive(now time.Duration, m any)
	TakePackets() []Packet
	// Believes tells which names it holds to be alive, and the number of its view, if it has such.
	LiveMembers() (names map[string]bool, view uint64)
}

// Packet is a message on its way.
type Packet struct {
	To      netip.AddrPort
	Message any
	Bytes   int
	Stream  bool
}

// Link is what happens to messages from one node to another.
type Link struct {
	Cut       bool
	Loss      float64 // part of the datagrams; a stream is tried again and takes longer
	Delay     time.Duration
	Duplicate float64 // part of the datagrams that come twice
}

// Config describes a net.
type Config struct {
	Seed           uint64
	Nodes          int
	Sites          int
	SeedCount      int           // the first so many nodes are the list of seeds
	Tick           time.Duration // of each core; 0: 100 ms
	Delay          time.Duration // one way; up to half as much again
	EncodeMessages bool          // messages go through their form and back
	CountBytes     bool          // bytes are counted
	EditSettings   func(*membership.Settings)
	NewCore        func(n *Net, i int, life int) Core // nil: the real core
	ShareViews     bool                               // views are made once for all
}

// Node is one process.
type Node struct {
	Index       int
	Name, Site  string
	Addr        netip.AddrPort
	Core        Core
	Dead        bool
	stopped     bool
	stoppedAt   time.Duration
	slow        time.Duration // its ticks come so late
	life        int
	waiting     []func() // what comes while it stands still
	incarnation uint64
	number      uint64
	known       []netip.AddrPort
	Sent, Bytes int
	Views       int // changes that it has seen
	Evictions   int
}

// Net is nodes and the network between them.
type Net struct {
	Config
	Now   time.Duration
	Nodes []*Node
	Log   func(format string, args ...any)

	rng        *rand.Rand
	events     timeline.Events
	link       func(from, to *Node) Link
	byAddr     map[netip.AddrPort]*Node
	views      map[viewKey]*membership.View
	shared     map[nextKey]*membership.View
	Violations []string // promises that were broken
	Changes    []ViewChange
	Reasons    []string // of each view, once
	Deaths     int      // of nodes that lived and could be used
}

// Change is a view that a node began.
type ViewChange struct {
	At   time.Duration
	Node int
	View *membership.View
	Text string
}

type viewKey struct{ root, number uint64 }

type nextKey struct{ view, proposal uint64 }

// New makes a net whose nodes have not started yet.
func New(c Config) *Net {
	if c.Tick == 0 {
		c.Tick = 100 * time.Millisecond
	}
	if c.Delay == 0 {
		c.Delay = time.Millisecond
	}
	n := &Net{
		Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0xfee1)), byAddr: map[netip.AddrPort]*Node{}, Now: time.Second,
		views: map[viewKey]*membership.View{}, shared: map[nextKey]*membership.View{}, link: func(*Node, *Node) Link { return Link{} },
	}
	for i := range c.Nodes {
		x := &Node{
			Index: i, Name: fmt.Sprintf("n%05d", i), Site: fmt.Sprintf("s%d", i%max(1, c.Sites)), Dead: true,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
		}
		n.Nodes = append(n.Nodes, x)
		n.byAddr[x.Addr] = x
	}
	return n
}

// At has something done at a time.
func (n *Net) At(at time.Duration, do func()) {
	n.events.At(max(at, n.Now), do)
}

// Links says from now on what happens between nodes.
func (n *Net) SetLinks(link func(from, to *Node) Link) { n.link = link }

// Start starts a node; with what it kept of its last life, or without.
func (n *Net) Start(i int, kept bool) {
	x := n.Nodes[i]
	if !x.Dead {
		return
	}
	if !kept {
		x.incarnation, x.number, x.known = 0, 0, nil
	}
	x.life++
	x.Dead, x.stopped, x.waiting = false, false, nil
	if n.NewCore != nil {
		x.Core = n.NewCore(n, i, x.life)
	} else {
		x.Core = n.real(x)
	}
	n.tick(x, x.life, time.Duration(n.rng.Float64()*float64(n.Tick)))
}

// StartAll starts all nodes at once.
func (n *Net) StartAll() {
	for i := range n.Nodes {
		n.Start(i, false)
	}
}

// Kill ends a node's process.
func (n *Net) Kill(i int) {
	x := n.Nodes[i]
	x.Dead, x.stopped, x.waiting = true, false, nil
	x.life++
}

// Stop has a node stand still, as SIGSTOP does: what comes waits.
func (n *Net) Pause(i int) {
	x := n.Nodes[i]
	if !x.Dead && !x.stopped {
		x.stopped, x.stoppedAt = true, n.Now
	}
}

// Slow has each of a node's steps come so much later.
func (n *Net) SetTickDelay(i int, by time.Duration) { n.Nodes[i].slow = by }

// Cont lets it go on.
func (n *Net) Resume(i int) {
	x := n.Nodes[i]
	if !x.stopped {
		return
	}
	x.stopped = false
	waiting := x.waiting
	x.waiting = nil
	for _, do := range waiting {
		do()
	}
}

// on runs a step of a node's process, once it does not stand still.
func (n *Net) on(x *Node, life int, do func()) {
	if x.life != life || x.Dead {
		return
	}
	if x.stopped {
		const kernel = 512 // datagrams that wait in a socket's buffer
		if len(x.waiting) < kernel {
			x.waiting = append(x.waiting, func() { n.on(x, life, do) })
		}
		return
	}
	do()
	n.out(x)
}

func (n *Net) tick(x *Node, life int, wait time.Duration) {
	n.At(n.Now+wait, func() {
		if x.life != life {
			return
		}
		if x.stopped { // its timer is looked at once it goes on
			n.tick(x, life, n.Tick/10)
			return
		}
		n.on(x, life, func() { x.Core.Tick(n.Now) })
		n.tick(x, life, n.Tick+x.slow)
	})
}

// out carries what a node sends.
func (n *Net) out(x *Node) {
	for _, p := range x.Core.TakePackets() {
		x.Sent++
		x.Bytes += p.Bytes + 28 // with the heads of UDP and IP
		y := n.byAddr[p.To]
		if y == nil || y.Dead {
			continue
		}
		l := n.link(x, y)
		if l.Cut {
			continue
		}
		copies := 1
		wait := time.Duration(0)
		if p.Stream { // a handshake, and again what was lost
			wait = 2 * n.Delay
			for l.Loss > 0 && n.rng.Float64() < 1-(1-l.Loss)*(1-l.Loss) && wait < 3*time.Second {
				wait += 200 * time.Millisecond
			}
		} else if n.rng.Float64() < l.Loss {
			continue
		} else if n.rng.Float64() < l.Duplicate {
			copies = 2
		}
		for range copies {
			at := n.Now + wait + l.Delay + time.Duration((1+n.rng.Float64()/2)*float64(n.Delay)) + x.slow/2 + y.slow/2
			m, life := p.Message, y.life
			n.At(at, func() {
				if !n.link(x, y).Cut {
					n.on(y, life, func() { y.Core.Receive(n.Now, m) })
				}
			})
		}
	}
}

// Run goes on until a time.
func (n *Net) Run(until time.Duration) { n.events.Run(until, &n.Now) }

// Until goes on until something holds, looked at every tick; false if it does not by then.
func (n *Net) RunUntil(most time.Duration, ok func() bool) bool {
	for end := n.Now + most; n.Now < end; {
		if ok() {
			return true
		}
		n.Run(n.Now + n.Tick)
	}
	return ok()
}

// real is the real core of a node.
type real struct {
	*membership.Node
	net   *Net
	node  *Node
	fleet uint32
}

func (n *Net) real(x *Node) Core {
	s := membership.Settings{
		Self:        membership.Member{Name: x.Name, Site: x.Site, Addr: x.Addr},
		Incarnation: x.incarnation, LastViewNumber: x.number, KnownAddrs: x.known, GossipInterval: n.Tick,
	}
	for i := range max(1, n.SeedCount) {
		s.Seeds = append(s.Seeds, n.Nodes[i].Addr)
	}
	if n.EditSettings != nil {
		n.EditSettings(&s)
	}
	if n.ShareViews {
		k := s.Default().WatchersPerMember
		s.NextView = func(v *membership.View, p *membership.Proposal) (*membership.View, error) {
			key := nextKey{v.Digest, p.Hash()}
			if next := n.shared[key]; next != nil {
				return next, nil
			}
			next, err := v.Next(p, k)
			n.shared[key] = next
			return next, err
		}
	}
	return &real{Node: membership.New(s, n.rng.Uint64(), n.Now), net: n, node: x}
}

func (r *real) Receive(now time.Duration, m any) {
	switch m := m.(type) {
	case []byte:
		parsed, err := wire.Parse(m, r.fleet, 10)
		if err != nil {
			r.net.Violations = append(r.net.Violations, fmt.Sprintf("%s cannot read what was sent: %v", r.node.Name, err))
			return
		}
		r.Node.Receive(now, parsed)
	case *membership.Message:
		r.Node.Receive(now, m)
	}
}

func (r *real) TakePackets() []Packet {
	sends, events := r.Node.TakeOutput()
	for _, e := range events {
		r.net.note(r.node, e)
	}
	packets := make([]Packet, 0, len(sends))
	for _, s := range sends {
		p := Packet{To: s.To, Message: s.Message, Stream: s.Stream}
		if r.net.EncodeMessages || r.net.CountBytes {
			b := wire.Append(nil, r.fleet, s.Message)
			p.Bytes = len(b)
			if len(b) > wire.MaxDatagram && !s.Stream {
				r.net.Violations = append(r.net.Violations, fmt.Sprintf("%s sends a datagram of %d bytes, kind %d", r.node.Name, len(b), s.Message.Kind))
			}
			if r.net.EncodeMessages {
				p.Message = b
			}
		}
		packets = append(packets, p)
	}
	return packets
}

func (r *real) LiveMembers() (map[string]bool, uint64) {
	v := r.View()
	if v == nil {
		return nil, 0
	}
	names := make(map[string]bool, len(v.Members))
	for i := range v.Members {
		names[v.Members[i].Name] = true
	}
	return names, v.Number
}

// note books an event of a node, and checks that of each number there is one view.
func (n *Net) note(x *Node, e membership.Event) {
	switch e.Kind {
	case membership.ViewChanged, membership.Founded:
		if e.Kind == membership.ViewChanged {
			x.Views++
			n.Changes = append(n.Changes, ViewChange{n.Now, x.Index, e.View, e.Detail})
		}
		key := viewKey{e.View.FleetID, e.View.Number}
		if first := n.views[key]; first == nil {
			n.views[key] = e.View
			n.Reasons = append(n.Reasons, fmt.Sprintf("%v view %d: %s", n.Now.Round(time.Millisecond), e.View.Number, e.Detail))
			if before := n.views[viewKey{e.View.FleetID, e.View.Number - 1}]; before != nil {
				n.deaths(before, e.View)
			}
		} else if first.Digest != e.View.Digest {
			n.Violations = append(n.Violations, fmt.Sprintf("%v: %s has another view %d than a node before it", n.Now, x.Name, e.View.Number))
		}
		if e.View.Number < x.number && e.Kind == membership.ViewChanged && x.incarnation > 0 {
			n.Violations = append(n.Violations, fmt.Sprintf("%v: %s went from view %d back to %d", n.Now, x.Name, x.number, e.View.Number))
		}
		x.number = e.View.Number
		x.known = nil
		for i := range min(8, len(e.View.Members)) {
			x.known = append(x.known, e.View.Members[i*len(e.View.Members)/8%len(e.View.Members)].Addr)
		}
		if i, ok := e.View.IndexOfName(x.Name); ok {
			x.incarnation = e.View.Members[i].Incarnation
		}
	case membership.NewIncarnation:
		x.incarnation = e.Member.Incarnation
	case membership.Evicted:
		x.Evictions++
	}
	if n.Log != nil {
		n.Log("%v %s: kind %d %s %s", n.Now.Round(time.Millisecond), x.Name, e.Kind, e.Member.Name, e.Detail)
	}
}

// deaths looks whether a view lacks somebody who lives and can be used.
func (n *Net) deaths(before, now *membership.View) {
	for i := range before.Members {
		m := &before.Members[i]
		if _, still := now.IndexOfLife(m.Life); still {
			continue
		}
		x := n.byAddr[m.Addr]
		if r, ok := x.Core.(*real); ok && !x.Dead && r.Self().Life == m.Life && r.Phase() != membership.Leaving && n.usable(x) {
			n.Deaths++
			n.Violations = append(n.Violations, fmt.Sprintf("%v: view %d lacks %s, which lives and can be used", n.Now, now.Number, x.Name))
		}
	}
}

// Bearable is how long a node may stand still and count as one that can be used.
const MaxUsablePause = 3 * time.Second

// usable tells whether a node runs, and more than half of the others can reach it and be reached.
func (n *Net) usable(x *Node) bool {
	if x.stopped && n.Now-x.stoppedAt > MaxUsablePause {
		return false
	}
	all, good := 0, 0
	for _, y := range n.Nodes {
		if y.Dead || y == x {
			continue
		}
		all++
		if a, b := n.link(x, y), n.link(y, x); !a.Cut && !b.Cut && a.Loss < 0.5 && b.Loss < 0.5 {
			good++
		}
	}
	return 2*good > all
}

// View is a real node's view; nil if it has none or is dead.
func (n *Net) View(i int) *membership.View {
	if r, ok := n.Nodes[i].Core.(*real); ok && !n.Nodes[i].Dead {
		return r.View()
	}
	return nil
}

// Agreed tells whether all of some nodes are in one and the same view, and it holds just them.
func (n *Net) Agreed(nodes ...int) bool {
	var first *membership.View
	for _, i := range nodes {
		v := n.View(i)
		if v == nil || len(v.Members) != len(nodes) || first != nil && v.Digest != first.Digest {
			return false
		}
		if _, in := v.IndexOfName(n.Nodes[i].Name); !in {
			return false
		}
		first = v
	}
	return true
}

// Living are the nodes that run.
func (n *Net) RunningNodes() (all []int) {
	for i, x := range n.Nodes {
		if !x.Dead {
			all = append(all, i)
		}
	}
	return all
}
