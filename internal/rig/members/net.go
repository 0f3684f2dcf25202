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

// Core is the membership protocol of one node.
type Core interface {
	Tick(now time.Duration)
	Receive(now time.Duration, m any)
	TakePackets() []Packet
	// LiveMembers returns the names of the members that the core considers alive, and the number of its view (0 if the
	// protocol has no views).
	LiveMembers() (names map[string]bool, view uint64)
}

// Packet is a message in transit.
type Packet struct {
	To      netip.AddrPort
	Message any
	Bytes   int  // encoded length, 0 if it is not counted
	Stream  bool // sent over a connection, not as a datagram
}

// Link describes what the network does to messages from one node to another.
type Link struct {
	Cut       bool
	Loss      float64 // fraction of the datagrams; a stream retransmits and takes longer instead
	Delay     time.Duration
	Duplicate float64 // fraction of the datagrams that arrive twice
}

// Config describes a simulated network of nodes.
type Config struct {
	Seed           uint64
	Nodes          int
	Sites          int
	SeedCount      int           // the first SeedCount nodes form the seed list
	Tick           time.Duration // tick interval of each core; 0: 100 ms
	Delay          time.Duration // one-way latency, plus a random extra of up to half of it; 0: 1 ms
	EncodeMessages bool          // messages are encoded, and parsed again at the receiver
	CountBytes     bool          // messages are encoded to count their bytes
	EditSettings   func(*membership.Settings)
	NewCore        func(n *Net, i int, epoch int) Core // nil: the real core
	ShareViews     bool                                // nodes share each computed view, which saves time and memory
}

// Node is one simulated process.
type Node struct {
	Index          int
	Name, Site     string
	Addr           netip.AddrPort
	Core           Core
	Dead           bool
	paused         bool
	pausedAt       time.Duration
	tickDelay      time.Duration // added to its tick interval; half of it to each of its messages
	epoch          int           // changes at every start and kill, so that steps of an earlier process are dropped
	queued         []func()      // steps that arrived while the process was paused
	incarnation    uint64
	lastViewNumber uint64
	knownAddrs     []netip.AddrPort
	Sent, Bytes    int
	Views          int // view changes that the node has adopted
	Evictions      int
}

// Net holds the nodes and the network between them.
type Net struct {
	Config
	Now   time.Duration
	Nodes []*Node
	Log   func(format string, args ...any)

	rng           *rand.Rand
	events        timeline.Events
	link          func(from, to *Node) Link
	byAddr        map[netip.AddrPort]*Node
	views         map[viewKey]*membership.View
	nextViews     map[nextKey]*membership.View
	Violations    []string // broken guarantees of the protocol
	Changes       []ViewChange
	Reasons       []string // of each view, when the first node adopts it
	WrongRemovals int      // members removed from a view although they were alive and usable
}

// ViewChange records that a node adopted a view.
type ViewChange struct {
	At   time.Duration
	Node int
	View *membership.View
	Text string
}

type viewKey struct{ fleetID, number uint64 }

type nextKey struct{ viewDigest, proposalHash uint64 }

// New creates a network whose nodes are not started yet.
func New(c Config) *Net {
	if c.Tick == 0 {
		c.Tick = 100 * time.Millisecond
	}
	if c.Delay == 0 {
		c.Delay = time.Millisecond
	}
	n := &Net{
		Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0xfee1)), byAddr: map[netip.AddrPort]*Node{}, Now: time.Second,
		views: map[viewKey]*membership.View{}, nextViews: map[nextKey]*membership.View{}, link: func(*Node, *Node) Link { return Link{} },
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

// At schedules a function at a virtual time, or now if that time has passed.
func (n *Net) At(at time.Duration, do func()) {
	n.events.At(max(at, n.Now), do)
}

// SetLinks replaces the function that returns the link from one node to another.
func (n *Net) SetLinks(link func(from, to *Node) Link) { n.link = link }

// Start starts a node that is not running. With keepState it starts with the state that its last process persisted:
// incarnation, last view number and known addresses.
func (n *Net) Start(i int, keepState bool) {
	x := n.Nodes[i]
	if !x.Dead {
		return
	}
	if !keepState {
		x.incarnation, x.lastViewNumber, x.knownAddrs = 0, 0, nil
	}
	x.epoch++
	x.Dead, x.paused, x.queued = false, false, nil
	if n.NewCore != nil {
		x.Core = n.NewCore(n, i, x.epoch)
	} else {
		x.Core = n.newRealCore(x)
	}
	n.scheduleTick(x, x.epoch, time.Duration(n.rng.Float64()*float64(n.Tick)))
}

// StartAll starts all nodes at once.
func (n *Net) StartAll() {
	for i := range n.Nodes {
		n.Start(i, false)
	}
}

// Kill ends a node's process without warning to the others.
func (n *Net) Kill(i int) {
	x := n.Nodes[i]
	x.Dead, x.paused, x.queued = true, false, nil
	x.epoch++
}

// Pause suspends a node's process, as SIGSTOP does. Messages that arrive are queued.
func (n *Net) Pause(i int) {
	x := n.Nodes[i]
	if !x.Dead && !x.paused {
		x.paused, x.pausedAt = true, n.Now
	}
}

// SetTickDelay adds a delay to each tick of a node, and half of it to each message that it sends or receives.
func (n *Net) SetTickDelay(i int, delay time.Duration) { n.Nodes[i].tickDelay = delay }

// Resume continues a paused process, as SIGCONT does, and runs its queued steps.
func (n *Net) Resume(i int) {
	x := n.Nodes[i]
	if !x.paused {
		return
	}
	x.paused = false
	queued := x.queued
	x.queued = nil
	for _, do := range queued {
		do()
	}
}

// runStep runs a step of a node's process and sends the resulting packets. If the process is paused, the step is
// queued until it resumes; if the process has ended, the step is dropped.
func (n *Net) runStep(x *Node, epoch int, do func()) {
	if x.epoch != epoch || x.Dead {
		return
	}
	if x.paused {
		const socketBuffer = 512 // datagrams that the receive buffer of a socket holds
		if len(x.queued) < socketBuffer {
			x.queued = append(x.queued, func() { n.runStep(x, epoch, do) })
		}
		return
	}
	do()
	n.sendPackets(x)
}

// scheduleTick schedules the next tick of a node's process and all further ones.
func (n *Net) scheduleTick(x *Node, epoch int, wait time.Duration) {
	n.At(n.Now+wait, func() {
		if x.epoch != epoch {
			return
		}
		if x.paused { // the timer fires shortly after the process resumes
			n.scheduleTick(x, epoch, n.Tick/10)
			return
		}
		n.runStep(x, epoch, func() { x.Core.Tick(n.Now) })
		n.scheduleTick(x, epoch, n.Tick+x.tickDelay)
	})
}

// sendPackets takes a node's packets and delivers them as the links between the nodes allow.
func (n *Net) sendPackets(x *Node) {
	for _, p := range x.Core.TakePackets() {
		x.Sent++
		x.Bytes += p.Bytes + 28 // with the UDP and IP headers
		y := n.byAddr[p.To]
		if y == nil || y.Dead {
			continue
		}
		link := n.link(x, y)
		if link.Cut {
			continue
		}
		copies := 1
		wait := time.Duration(0)
		if p.Stream { // one round trip for the handshake, and retransmissions of lost segments
			wait = 2 * n.Delay
			for link.Loss > 0 && n.rng.Float64() < 1-(1-link.Loss)*(1-link.Loss) && wait < 3*time.Second {
				wait += 200 * time.Millisecond
			}
		} else if n.rng.Float64() < link.Loss {
			continue
		} else if n.rng.Float64() < link.Duplicate {
			copies = 2
		}
		for range copies {
			at := n.Now + wait + link.Delay + time.Duration((1+n.rng.Float64()/2)*float64(n.Delay)) + x.tickDelay/2 + y.tickDelay/2
			message, epoch := p.Message, y.epoch
			n.At(at, func() {
				if !n.link(x, y).Cut {
					n.runStep(y, epoch, func() { y.Core.Receive(n.Now, message) })
				}
			})
		}
	}
}

// Run runs all events up to a virtual time.
func (n *Net) Run(until time.Duration) { n.events.Run(until, &n.Now) }

// RunUntil runs until a condition holds, which it checks every tick. It returns false if the condition does not hold
// within the timeout.
func (n *Net) RunUntil(timeout time.Duration, ok func() bool) bool {
	for end := n.Now + timeout; n.Now < end; {
		if ok() {
			return true
		}
		n.Run(n.Now + n.Tick)
	}
	return ok()
}

// realCore runs the membership protocol of package membership for one node.
type realCore struct {
	*membership.Node
	net         *Net
	node        *Node
	fleetNumber uint32
}

// newRealCore starts a membership core with the state that the node persisted.
func (n *Net) newRealCore(x *Node) Core {
	s := membership.Settings{
		Self:        membership.Member{Name: x.Name, Site: x.Site, Addr: x.Addr},
		Incarnation: x.incarnation, LastViewNumber: x.lastViewNumber, KnownAddrs: x.knownAddrs, GossipInterval: n.Tick,
	}
	for i := range max(1, n.SeedCount) {
		s.Seeds = append(s.Seeds, n.Nodes[i].Addr)
	}
	if n.EditSettings != nil {
		n.EditSettings(&s)
	}
	if n.ShareViews {
		watchers := s.Default().WatchersPerMember
		s.NextView = func(v *membership.View, p *membership.Proposal) (*membership.View, error) {
			key := nextKey{v.Digest, p.Hash()}
			if next := n.nextViews[key]; next != nil {
				return next, nil
			}
			next, err := v.Next(p, watchers)
			n.nextViews[key] = next
			return next, err
		}
	}
	return &realCore{Node: membership.New(s, n.rng.Uint64(), n.Now), net: n, node: x}
}

func (r *realCore) Receive(now time.Duration, m any) {
	switch m := m.(type) {
	case []byte:
		parsed, err := wire.Parse(m, r.fleetNumber, 10)
		if err != nil {
			r.net.Violations = append(r.net.Violations, fmt.Sprintf("%s cannot parse a message: %v", r.node.Name, err))
			return
		}
		r.Node.Receive(now, parsed)
	case *membership.Message:
		r.Node.Receive(now, m)
	}
}

func (r *realCore) TakePackets() []Packet {
	sends, events := r.Node.TakeOutput()
	for _, e := range events {
		r.net.recordEvent(r.node, e)
	}
	packets := make([]Packet, 0, len(sends))
	for _, s := range sends {
		p := Packet{To: s.To, Message: s.Message, Stream: s.Stream}
		if r.net.EncodeMessages || r.net.CountBytes {
			b := wire.Append(nil, r.fleetNumber, s.Message)
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

func (r *realCore) LiveMembers() (map[string]bool, uint64) {
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

// recordEvent records an event of a node, and checks that all nodes have the same view of each number and that no node
// goes back to an earlier view.
func (n *Net) recordEvent(x *Node, e membership.Event) {
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
			if previous := n.views[viewKey{e.View.FleetID, e.View.Number - 1}]; previous != nil {
				n.checkRemovals(previous, e.View)
			}
		} else if first.Digest != e.View.Digest {
			n.Violations = append(n.Violations, fmt.Sprintf("%v: %s has a view %d that differs from another node's", n.Now, x.Name, e.View.Number))
		}
		if e.View.Number < x.lastViewNumber && e.Kind == membership.ViewChanged && x.incarnation > 0 {
			n.Violations = append(n.Violations, fmt.Sprintf("%v: %s went from view %d back to %d", n.Now, x.Name, x.lastViewNumber, e.View.Number))
		}
		x.lastViewNumber = e.View.Number
		x.knownAddrs = nil
		for i := range min(8, len(e.View.Members)) {
			x.knownAddrs = append(x.knownAddrs, e.View.Members[i*len(e.View.Members)/8%len(e.View.Members)].Addr)
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

// checkRemovals reports members that a view no longer has although they are alive and usable.
func (n *Net) checkRemovals(previous, current *membership.View) {
	for i := range previous.Members {
		m := &previous.Members[i]
		if _, present := current.IndexOfLife(m.Life); present {
			continue
		}
		x := n.byAddr[m.Addr]
		if r, ok := x.Core.(*realCore); ok && !x.Dead && r.Self().Life == m.Life && r.Phase() != membership.Leaving && n.isUsable(x) {
			n.WrongRemovals++
			n.Violations = append(n.Violations, fmt.Sprintf("%v: view %d lacks %s, which is alive and usable", n.Now, current.Number, x.Name))
		}
	}
}

// MaxUsablePause is the longest pause during which a node still counts as usable.
const MaxUsablePause = 3 * time.Second

// isUsable reports whether a node has not been paused for longer than MaxUsablePause, and has working links in both
// directions to more than half of the other running nodes.
func (n *Net) isUsable(x *Node) bool {
	if x.paused && n.Now-x.pausedAt > MaxUsablePause {
		return false
	}
	running, reachable := 0, 0
	for _, y := range n.Nodes {
		if y.Dead || y == x {
			continue
		}
		running++
		if to, from := n.link(x, y), n.link(y, x); !to.Cut && !from.Cut && to.Loss < 0.5 && from.Loss < 0.5 {
			reachable++
		}
	}
	return 2*reachable > running
}

// View returns the view of a node with a real core; nil if it has none or is not running.
func (n *Net) View(i int) *membership.View {
	if r, ok := n.Nodes[i].Core.(*realCore); ok && !n.Nodes[i].Dead {
		return r.View()
	}
	return nil
}

// Agreed reports whether the given nodes all have the same view and its members are exactly these nodes.
func (n *Net) Agreed(nodes ...int) bool {
	var first *membership.View
	for _, i := range nodes {
		v := n.View(i)
		if v == nil || len(v.Members) != len(nodes) || first != nil && v.Digest != first.Digest {
			return false
		}
		if _, present := v.IndexOfName(n.Nodes[i].Name); !present {
			return false
		}
		first = v
	}
	return true
}

// RunningNodes returns the indices of the nodes that are running, paused ones included.
func (n *Net) RunningNodes() (running []int) {
	for i, x := range n.Nodes {
		if !x.Dead {
			running = append(running, i)
		}
	}
	return running
}
