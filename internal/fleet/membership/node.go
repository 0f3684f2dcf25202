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
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	phase        Phase
	self         Member
	view         *View // nil while seeking
	previousView *View // the one before this life; nil: none
	index        uint32

	outgoing []Outgoing
	events   []Event

	started   time.Duration // of this life
	lastTick  time.Duration
	stalls    int
	lastStall time.Duration // when it last stood still
	isolated  bool
	edges     map[uint32]*edge // by the place of the watched
	seq       uint64

	detector cutDetector
	ballots  paxosState
	queue    gossipQueue
	lastPull time.Duration

	joining       joinState
	trials        map[uint64]*joinTrial     // lives that this node tries, as a sponsor
	pending       map[uint64]*pendingJoiner // lives that want in, as one who proposes
	removed       map[string]*removalRecord // names taken out of late
	nextSeedProbe time.Duration
	seedProbes    int
	leaveDeadline time.Duration
	stats         Stats
}

// Stats counts what a node has done.
type Stats struct {
	Sent, Received, Stale, Views, Accusations int
}

// New returns a node that starts now and wants in.
func New(set Settings, seed uint64, now time.Duration) *Node {
	n := &Node{settings: set.Default(), rng: rand.New(rand.NewPCG(seed, 0x51f15e)), now: now, lastTick: now}
	n.self = n.settings.Self
	n.self.Incarnation = n.settings.Incarnation
	n.removed = map[string]*removalRecord{}
	n.joining.lastViewNumber = n.settings.LastViewNumber
	n.joining.knownAddrs = n.settings.KnownAddrs
	n.startNewLife()
	return n
}

// reborn begins a new life outside of any view.
func (n *Node) startNewLife() {
	if n.view != nil {
		n.joining.lastViewNumber = max(n.joining.lastViewNumber, n.view.Number)
		n.joining.knownAddrs = n.randomAddrs(n.view, 8)
		n.previousView = n.view
	}
	n.self.Life = max(1, n.rng.Uint64())
	n.self.Incarnation++
	n.phase, n.view, n.started = Seeking, nil, n.now
	n.edges, n.trials, n.pending = map[uint32]*edge{}, map[uint64]*joinTrial{}, map[uint64]*pendingJoiner{}
	n.detector, n.ballots = cutDetector{}, paxosState{}
	n.queue.clear()
	n.joining.reset(n)
	n.emit(Event{Kind: NewIncarnation, Member: n.self})
}

func (n *Node) randomAddrs(v *View, most int) []netip.AddrPort {
	var all []netip.AddrPort
	for range most {
		if m := &v.Members[n.rng.IntN(len(v.Members))]; m.Life != n.self.Life {
			all = append(all, m.Addr)
		}
	}
	return all
}

func (n *Node) emit(e Event) { n.events = append(n.events, e) }

// send puts a message out, with the sender's place in the world, and such news as there is room for.
func (n *Node) send(to netip.AddrPort, m *Message) {
	n.setSender(m)
	n.stats.Sent++
	n.outgoing = append(n.outgoing, Outgoing{To: to, Message: m})
}

// stream puts a message out that may be long.
func (n *Node) stream(to netip.AddrPort, m *Message) {
	n.setSender(m)
	n.outgoing = append(n.outgoing, Outgoing{To: to, Message: m, Stream: true})
}

func (n *Node) setSender(m *Message) {
	m.SenderLife = n.self.Life
	if n.view != nil {
		m.FleetID, m.ViewNumber = n.view.FleetID, n.view.Number
	} else {
		m.ViewNumber = n.joining.lastViewNumber
		self := n.self
		m.Self = &self
	}
}

// Take hands over what came of the calls since the last one: messages to send, and events. Both
// are the caller's until its next call of the node.
func (n *Node) TakeOutput() ([]Outgoing, []Event) {
	sends, events := n.outgoing, n.events
	n.outgoing, n.events = nil, nil
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
	gap := now - n.lastTick
	n.now, n.lastTick = now, now
	if gap > stallThreshold {
		n.handleStall(gap)
	}
	switch n.phase {
	case Seeking:
		n.joining.tick(n)
	case Serving, Leaving:
		if len(n.view.Members)-len(n.detector.ended) < n.view.majority() {
			n.abandonView()
			return
		}
		n.probeWatched()
		n.probeJoiners()
		n.refuteAccusations()
		if n.propose(); n.view == nil { // decided, and without this life
			return
		}
		n.gossip()
		n.probeAbsentSeeds()
		if n.phase == Leaving && now >= n.leaveDeadline {
			n.finishLeaving()
		}
	}
}

// abandon leaves a view that can never change again: so many of its lives have ended that no majority is left.
// The seeds found the fleet anew, with a higher number.
func (n *Node) abandonView() {
	n.emit(Event{Kind: Evicted, View: n.view, Detail: fmt.Sprintf("%d of %d lives of this view have ended: it can't decide any more", len(n.detector.ended), len(n.view.Members))})
	n.startNewLife()
}

// stall forgives what the node slept through: whoever was silent meanwhile has not been silent for it.
func (n *Node) handleStall(gap time.Duration) {
	n.stalls++
	n.lastStall = n.now
	n.emit(Event{Kind: Stalled, Detail: gap.String()})
	for _, e := range n.edges {
		e.startedAt = n.now
		e.nextRound, e.attemptsMade = n.now+time.Duration(n.rng.Float64()*float64(n.settings.ProbeInterval)), 0
	}
	for _, t := range n.trials {
		t.endsAt = max(t.endsAt, n.now+n.settings.ProbeInterval)
	}
	if n.phase == Seeking {
		n.joining.foundableSince = 0
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
		n.handleForeignFleet(m)
		return
	}
	same := n.view != nil && m.ViewNumber == n.view.Number
	if m.Vote != nil && m.FleetID != 0 {
		n.mergeVote(m)
		if !same && n.view != nil && n.ballots.decidedVote != nil && m.Vote.ViewNumber == n.ballots.decidedVote.ViewNumber && m.ViewNumber < n.view.Number {
			n.sendDecision(m)
		}
	}
	if m.FleetID != 0 && (n.view == nil || m.ViewNumber > n.view.Number) {
		n.requestView(m)
	}
	switch m.Kind {
	case Probe:
		n.handleProbe(m)
	case Ack:
		n.handleAck(m)
	case Join:
		n.handleJoin(m)
	case ProbeJoiner:
		n.handleProbeJoiner(m)
	case JoinerAnswered:
		n.handleJoinerAnswered(m)
	case NameTaken:
		n.handleNameTaken(m)
	case StateRequest:
		n.handleStateRequest(m)
	case State:
		n.handleState(m)
	}
	if same && n.view != nil && m.FleetID == n.view.FleetID && m.ViewNumber == n.view.Number {
		n.mergeNews(m)
	} else if m.FleetID != 0 && n.view != nil {
		n.stats.Stale++
	}
}

// addressOf is where the sender of a message is reached: as a member, or as it says itself.
func (n *Node) replyAddr(m *Message) (netip.AddrPort, bool) {
	if n.view != nil {
		if i, ok := n.view.IndexOfLife(m.SenderLife); ok {
			return n.view.Members[i].Addr, true
		}
	}
	if m.Self != nil && m.Self.Life == m.SenderLife && m.Self.Addr.IsValid() {
		return m.Self.Addr, true
	}
	if n.previousView != nil {
		if i, ok := n.previousView.IndexOfLife(m.SenderLife); ok {
			return n.previousView.Members[i].Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// behind asks for the view of one that has a later one.
func (n *Node) requestView(m *Message) {
	to, ok := n.replyAddr(m)
	if !ok || m.Kind == State || n.lastPull != 0 && n.now-n.lastPull < pullInterval {
		return
	}
	n.lastPull = n.now
	self := n.self
	n.stream(to, &Message{Kind: StateRequest, Self: &self})
}

// catchUp tells one that still votes on what is decided how it was.
func (n *Node) sendDecision(m *Message) {
	if to, ok := n.replyAddr(m); ok {
		c := &Message{Kind: Gossip}
		if c.Vote, c.Proposal = n.voteForMessage(*n.ballots.decidedVote, n.ballots.decidedProposal); c.Proposal != nil {
			n.send(to, c)
		}
	}
}

// give hands out the view, or a proposal.
func (n *Node) handleStateRequest(m *Message) {
	to, ok := n.replyAddr(m)
	if !ok || n.view == nil {
		return
	}
	if m.WantedHash != 0 {
		if p := n.ballots.proposals[m.WantedHash]; p != nil {
			n.stream(to, &Message{Kind: State, Proposal: p, WantedHash: m.WantedHash})
		}
		return
	}
	n.stream(to, &Message{Kind: State, View: n.view})
}

// state takes what was pulled.
func (n *Node) handleState(m *Message) {
	if p := m.Proposal; p != nil && n.view != nil && p.ViewNumber == n.view.Number && p.Hash() == m.WantedHash {
		n.ballots.addProposal(p)
		n.advanceBallot()
		return
	}
	v := m.View
	if v == nil || v.FleetID == 0 || len(v.Members) > maxMembers || n.view != nil && (v.FleetID != n.view.FleetID || v.Number <= n.view.Number) {
		return
	}
	if n.phase == Seeking {
		if _, in := v.IndexOfLife(n.self.Life); !in {
			n.joining.noteView(n, v)
			return
		}
	}
	n.ballots.decidedVote, n.ballots.decidedProposal = nil, nil
	n.installView(v, "")
}

// install begins a view.
func (n *Node) installView(v *View, why string) {
	old := n.view
	at, in := v.IndexOfLife(n.self.Life)
	if !in {
		if n.phase == Leaving {
			n.phase, n.view = Gone, nil
			n.emit(Event{Kind: Left, View: v})
			return
		}
		n.view = v
		n.emit(Event{Kind: Evicted, View: v, Detail: why})
		n.startNewLife()
		return
	}
	n.recordRemovals(old, v)
	edges := n.edges
	n.view, n.index = v, at
	n.self = v.Members[at]
	if n.phase == Seeking {
		n.phase = Serving
	}
	n.edges = make(map[uint32]*edge, len(v.watchedBy[at]))
	for _, subject := range v.watchedBy[at] {
		e := n.newEdge(v.Members[subject])
		for _, kept := range edges {
			if kept.member.Life == e.member.Life {
				*e = *kept
				e.member, e.hasView = v.Members[subject], false
				break
			}
		}
		e.subject, e.slot = subject, slotOf(v.watchers[subject], at)
		n.edges[subject] = e
	}
	n.detector = cutDetector{}
	n.ballots.reset(v, at)
	n.queue.clear()
	n.prunePending(v)
	n.stats.Views++
	n.emit(Event{Kind: ViewChanged, View: v, Detail: why})
	for subject, e := range n.edges {
		if e.accused { // as seen from here it is so in this view too
			n.publishAlert(subject, e)
		}
	}
	if n.phase == Leaving {
		n.queue.add(gossipItem{departure: true, subject: n.index}, n.copiesPerItem())
	}
}

func slotOf(watchers []uint32, at uint32) uint32 {
	for i, w := range watchers {
		if w == at {
			return uint32(i)
		}
	}
	return math.MaxUint32
}

// copies is how often an item of news is passed on.
func (n *Node) copiesPerItem() int { return 3 + bits.Len(uint(len(n.view.Members))) }

// Leave tells the others that this node goes, and that nobody need miss it. The node is gone with the view
// that lacks it, or after patience.
func (n *Node) Leave(now, patience time.Duration) {
	n.now = now
	if n.phase != Serving || len(n.view.Members) == 1 {
		n.finishLeaving()
		return
	}
	n.phase, n.leaveDeadline = Leaving, now+patience
	n.detector.recordDeparture(n.index, false)
	n.queue.add(gossipItem{departure: true, subject: n.index}, n.copiesPerItem())
	for _, i := range n.proposers(3) {
		n.send(n.view.Members[i].Addr, &Message{Kind: Gossip, Departures: []Departure{{Member: n.index}}})
	}
}

func (n *Node) finishLeaving() {
	n.phase, n.view = Gone, nil
	n.emit(Event{Kind: Left})
}
