package membership

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Phase is where a node stands.
type Phase uint8

// The phases.
const (
	Seeking Phase = 1 + iota // it wants in
	Serving                  // it is in a view
	Leaving                  // it has said that it goes
	Gone                     // it has gone
)

// Node is one node's part in the membership.
type Node struct {
	set   Settings
	rng   *rand.Rand
	now   time.Duration
	phase Phase
	self  Member
	view  *View // nil while seeking
	past  *View // the one before this life; nil: none
	at    uint32

	sends  []Outgoing
	events []Event

	started  time.Duration // of this life
	ticked   time.Duration
	stalls   int
	stalled  time.Duration // when it last stood still
	isolated bool
	edges    map[uint32]*edge // by the place of the watched
	seq      uint64

	cut    cut
	vote   ballots
	news   news
	pulled time.Duration

	seek     seeking
	trials   map[uint64]*trial   // lives that this node tries, as a sponsor
	pending  map[uint64]*pending // lives that want in, as one who proposes
	removed  map[string]*removal // names taken out of late
	seedAt   time.Duration
	seedTurn int
	leaveAt  time.Duration
	stats    Stats
}

// Stats counts what a node has done.
type Stats struct {
	Sent, Received, Stale, Views, Accusations int
}

// New returns a node that starts now and wants in.
func New(set Settings, seed uint64, now time.Duration) *Node {
	n := &Node{set: set.Default(), rng: rand.New(rand.NewPCG(seed, 0x51f15e)), now: now, ticked: now}
	n.self = n.set.Self
	n.self.Incarnation = n.set.Incarnation
	n.removed = map[string]*removal{}
	n.seek.number = n.set.LastViewNumber
	n.seek.known = n.set.KnownAddrs
	n.reborn()
	return n
}

// reborn begins a new life outside of any view.
func (n *Node) reborn() {
	if n.view != nil {
		n.seek.number = max(n.seek.number, n.view.Number)
		n.seek.known = n.someOf(n.view, 8)
		n.past = n.view
	}
	n.self.Life = max(1, n.rng.Uint64())
	n.self.Incarnation++
	n.phase, n.view, n.started = Seeking, nil, n.now
	n.edges, n.trials, n.pending = map[uint32]*edge{}, map[uint64]*trial{}, map[uint64]*pending{}
	n.cut, n.vote = cut{}, ballots{}
	n.news.clear()
	n.seek.begin(n)
	n.event(Event{Kind: NewIncarnation, Member: n.self})
}

func (n *Node) someOf(v *View, most int) []netip.AddrPort {
	var all []netip.AddrPort
	for range most {
		if m := &v.Members[n.rng.IntN(len(v.Members))]; m.Life != n.self.Life {
			all = append(all, m.Addr)
		}
	}
	return all
}

func (n *Node) event(e Event) { n.events = append(n.events, e) }

// send puts a message out, with the sender's place in the world, and such news as there is room for.
func (n *Node) send(to netip.AddrPort, m *Message) {
	n.stamp(m)
	n.stats.Sent++
	n.sends = append(n.sends, Outgoing{To: to, Message: m})
}

// stream puts a message out that may be long.
func (n *Node) stream(to netip.AddrPort, m *Message) {
	n.stamp(m)
	n.sends = append(n.sends, Outgoing{To: to, Message: m, Stream: true})
}

func (n *Node) stamp(m *Message) {
	m.SenderLife = n.self.Life
	if n.view != nil {
		m.FleetID, m.ViewNumber = n.view.FleetID, n.view.Number
	} else {
		m.ViewNumber = n.seek.number
		self := n.self
		m.Self = &self
	}
}

// Take hands over what came of the calls since the last one: messages to send, and events. Both
// are the caller's until its next call of the node.
func (n *Node) TakeOutput() ([]Outgoing, []Event) {
	sends, events := n.sends, n.events
	n.sends, n.events = nil, nil
	return sends, events
}

// View is the present view; nil while the node is in none.
func (n *Node) View() *View { return n.view }

// Self is this life.
func (n *Node) Self() Member { return n.self }

// Phase is where the node stands.
func (n *Node) Phase() Phase { return n.phase }

// Stats counts what the node has done.
func (n *Node) Stats() Stats { return n.stats }

// Tick is to be called every Settings.Round; a later call tells that the node stood still.
func (n *Node) Tick(now time.Duration) {
	gap := now - n.ticked
	n.now, n.ticked = now, now
	if gap > stallAfter {
		n.stall(gap)
	}
	switch n.phase {
	case Seeking:
		n.seek.tick(n)
	case Serving, Leaving:
		if len(n.view.Members)-len(n.cut.ended) < n.view.majority() {
			n.abandon()
			return
		}
		n.probe()
		n.try()
		n.defend()
		if n.propose(); n.view == nil { // decided, and without this life
			return
		}
		n.gossip()
		n.lookForSeeds()
		if n.phase == Leaving && now >= n.leaveAt {
			n.leave()
		}
	}
}

// abandon leaves a view that can never change again: so many of its lives have ended that no majority is left.
// The seeds found the fleet anew, with a higher number.
func (n *Node) abandon() {
	n.event(Event{Kind: Evicted, View: n.view, Detail: fmt.Sprintf("%d of %d lives of this view have ended: it can't decide any more", len(n.cut.ended), len(n.view.Members))})
	n.reborn()
}

// stall forgives what the node slept through: whoever was silent meanwhile has not been silent for it.
func (n *Node) stall(gap time.Duration) {
	n.stalls++
	n.stalled = n.now
	n.event(Event{Kind: Stalled, Detail: gap.String()})
	for _, e := range n.edges {
		e.begun = n.now
		e.round, e.tries = n.now+time.Duration(n.rng.Float64()*float64(n.set.ProbeInterval)), 0
	}
	for _, t := range n.trials {
		t.until = max(t.until, n.now+n.set.ProbeInterval)
	}
	if n.phase == Seeking {
		n.seek.steady = 0
	}
}

// Receive takes a message.
func (n *Node) Receive(now time.Duration, m *Message) {
	n.now = now
	n.stats.Received++
	if n.phase == Gone || m.SenderLife == 0 || m.SenderLife == n.self.Life {
		return
	}
	if m.FleetID != 0 && n.view != nil && m.FleetID != n.view.FleetID {
		n.foreign(m)
		return
	}
	same := n.view != nil && m.ViewNumber == n.view.Number
	if m.Vote != nil && m.FleetID != 0 {
		n.hearVote(m)
		if !same && n.view != nil && n.vote.last != nil && m.Vote.ViewNumber == n.vote.last.ViewNumber && m.ViewNumber < n.view.Number {
			n.catchUp(m)
		}
	}
	if m.FleetID != 0 && (n.view == nil || m.ViewNumber > n.view.Number) {
		n.behind(m)
	}
	switch m.Kind {
	case Probe:
		n.answer(m)
	case Ack:
		n.acked(m)
	case Join:
		n.asked(m)
	case ProbeJoiner:
		n.watch(m)
	case JoinerAnswered:
		n.admit(m)
	case NameTaken:
		n.taken(m)
	case StateRequest:
		n.give(m)
	case State:
		n.state(m)
	}
	if same && n.view != nil && m.FleetID == n.view.FleetID && m.ViewNumber == n.view.Number {
		n.heardNews(m)
	} else if m.FleetID != 0 && n.view != nil {
		n.stats.Stale++
	}
}

// addressOf is where the sender of a message is reached: as a member, or as it says itself.
func (n *Node) addressOf(m *Message) (netip.AddrPort, bool) {
	if n.view != nil {
		if i, ok := n.view.IndexOfLife(m.SenderLife); ok {
			return n.view.Members[i].Addr, true
		}
	}
	if m.Self != nil && m.Self.Life == m.SenderLife && m.Self.Addr.IsValid() {
		return m.Self.Addr, true
	}
	if n.past != nil {
		if i, ok := n.past.IndexOfLife(m.SenderLife); ok {
			return n.past.Members[i].Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// behind asks for the view of one that has a later one.
func (n *Node) behind(m *Message) {
	to, ok := n.addressOf(m)
	if !ok || m.Kind == State || n.pulled != 0 && n.now-n.pulled < pullEvery {
		return
	}
	n.pulled = n.now
	self := n.self
	n.stream(to, &Message{Kind: StateRequest, Self: &self})
}

// catchUp tells one that still votes on what is decided how it was.
func (n *Node) catchUp(m *Message) {
	if to, ok := n.addressOf(m); ok {
		c := &Message{Kind: Gossip}
		if c.Vote, c.Proposal = n.ballot(*n.vote.last, n.vote.made); c.Proposal != nil {
			n.send(to, c)
		}
	}
}

// give hands out the view, or a proposal.
func (n *Node) give(m *Message) {
	to, ok := n.addressOf(m)
	if !ok || n.view == nil {
		return
	}
	if m.WantedHash != 0 {
		if p := n.vote.proposals[m.WantedHash]; p != nil {
			n.stream(to, &Message{Kind: State, Proposal: p, WantedHash: m.WantedHash})
		}
		return
	}
	n.stream(to, &Message{Kind: State, View: n.view})
}

// state takes what was pulled.
func (n *Node) state(m *Message) {
	if p := m.Proposal; p != nil && n.view != nil && p.ViewNumber == n.view.Number && p.Hash() == m.WantedHash {
		n.vote.learn(p)
		n.weigh()
		return
	}
	v := m.View
	if v == nil || v.FleetID == 0 || len(v.Members) > mostMembers || n.view != nil && (v.FleetID != n.view.FleetID || v.Number <= n.view.Number) {
		return
	}
	if n.phase == Seeking {
		if _, in := v.IndexOfLife(n.self.Life); !in {
			n.seek.meet(n, v)
			return
		}
	}
	n.vote.last, n.vote.made = nil, nil
	n.install(v, "")
}

// install begins a view.
func (n *Node) install(v *View, why string) {
	old := n.view
	at, in := v.IndexOfLife(n.self.Life)
	if !in {
		if n.phase == Leaving {
			n.phase, n.view = Gone, nil
			n.event(Event{Kind: Left, View: v})
			return
		}
		n.view = v
		n.event(Event{Kind: Evicted, View: v, Detail: why})
		n.reborn()
		return
	}
	n.remember(old, v)
	edges := n.edges
	n.view, n.at = v, at
	n.self = v.Members[at]
	if n.phase == Seeking {
		n.phase = Serving
	}
	n.edges = make(map[uint32]*edge, len(v.watched[at]))
	for _, subject := range v.watched[at] {
		e := n.edge(v.Members[subject])
		for _, kept := range edges {
			if kept.member.Life == e.member.Life {
				*e = *kept
				e.member, e.knows = v.Members[subject], false
				break
			}
		}
		e.subject, e.slot = subject, slot(v.watchers[subject], at)
		n.edges[subject] = e
	}
	n.cut = cut{}
	n.vote.begin(v, at)
	n.news.clear()
	n.sortPending(v)
	n.stats.Views++
	n.event(Event{Kind: ViewChanged, View: v, Detail: why})
	for subject, e := range n.edges {
		if e.down { // as seen from here it is so in this view too
			n.accuse(subject, e)
		}
	}
	if n.phase == Leaving {
		n.news.add(newsItem{leaving: true, subject: n.at}, n.copies())
	}
}

func slot(watchers []uint32, at uint32) uint32 {
	for i, w := range watchers {
		if w == at {
			return uint32(i)
		}
	}
	return math.MaxUint32
}

// copies is how often an item of news is passed on.
func (n *Node) copies() int { return 3 + bits.Len(uint(len(n.view.Members))) }

// Leave tells the others that this node goes, and that nobody need miss it. The node is gone with the view
// that lacks it, or after patience.
func (n *Node) Leave(now, patience time.Duration) {
	n.now = now
	if n.phase != Serving || len(n.view.Members) == 1 {
		n.leave()
		return
	}
	n.phase, n.leaveAt = Leaving, now+patience
	n.cut.leaves(n.at, false)
	n.news.add(newsItem{leaving: true, subject: n.at}, n.copies())
	for _, i := range n.proposers(3) {
		n.send(n.view.Members[i].Addr, &Message{Kind: Gossip, Departures: []Departure{{Member: n.at}}})
	}
}

func (n *Node) leave() {
	n.phase, n.view = Gone, nil
	n.event(Event{Kind: Left})
}
