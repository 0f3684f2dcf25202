package membership

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"time"
)

// Phase is the state of a node's membership.
type Phase uint8

// The phases, in their usual order.
const (
	Seeking Phase = 1 + iota // not in a view; tries to join or to found the fleet
	Serving                  // member of a view
	Leaving                  // has announced its departure
	Gone                     // has left
)

// Node is one node's instance of the membership protocol.
type Node struct {
	settings     Settings
	rng          *rand.Rand
	now          time.Duration
	phase        Phase
	self         Member
	view         *View  // nil while not in a view
	previousView *View  // last view of the previous life; nil if there was none
	index        uint32 // of this node in view

	outgoing []Outgoing
	events   []Event

	started   time.Duration // of this life
	lastTick  time.Duration
	stalls    int
	lastStall time.Duration    // end of the last pause of this process
	isolated  bool             // no contact with any watched member
	edges     map[uint32]*edge // by index of the watched member
	seq       uint64           // of the last probe

	detector cutDetector
	ballots  paxosState
	queue    gossipQueue
	lastPull time.Duration // last request for a view

	joining       joinState
	trials        map[uint64]*joinTrial     // lives that this node probes as a sponsor
	pending       map[uint64]*pendingJoiner // lives that may be proposed for admission
	removed       map[string]*removalRecord // names removed recently
	nextSeedProbe time.Duration
	seedProbes    int
	leaveDeadline time.Duration
	stats         Stats
}

// Stats counts messages and events of a node. Its fields are JSON keys.
type Stats struct {
	Sent, Received, Stale, Views, Accusations int
}

// New returns a node that starts at time now and tries to join.
func New(settings Settings, seed uint64, now time.Duration) *Node {
	n := &Node{settings: settings.Default(), rng: rand.New(rand.NewPCG(seed, 0x51f15e)), now: now, lastTick: now}
	n.self = n.settings.Self
	n.self.Incarnation = n.settings.Incarnation
	n.removed = map[string]*removalRecord{}
	n.joining.lastViewNumber = n.settings.LastViewNumber
	n.joining.knownAddrs = n.settings.KnownAddrs
	n.startNewLife()
	return n
}

// startNewLife begins a new life outside of any view.
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

// randomAddrs returns the addresses of up to limit random members of v, other than this node.
func (n *Node) randomAddrs(v *View, limit int) []netip.AddrPort {
	var addrs []netip.AddrPort
	for range limit {
		if m := &v.Members[n.rng.IntN(len(v.Members))]; m.Life != n.self.Life {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

func (n *Node) emit(e Event) { n.events = append(n.events, e) }

// send queues a message for a datagram and fills in the sender.
func (n *Node) send(to netip.AddrPort, m *Message) {
	n.setSender(m)
	n.stats.Sent++
	n.outgoing = append(n.outgoing, Outgoing{To: to, Message: m})
}

// stream queues a message that may be too long for a datagram.
func (n *Node) stream(to netip.AddrPort, m *Message) {
	n.setSender(m)
	n.outgoing = append(n.outgoing, Outgoing{To: to, Message: m, Stream: true})
}

// setSender fills in the fields that identify the sender and its view.
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

// TakeOutput returns the messages to send and the events that have accumulated since the last
// call. Both are valid until the next call of a method of the node.
func (n *Node) TakeOutput() ([]Outgoing, []Event) {
	outgoing, events := n.outgoing, n.events
	n.outgoing, n.events = nil, nil
	return outgoing, events
}

// View returns the current view; nil while the node is not in one.
func (n *Node) View() *View { return n.view }

// Self returns this node's current life.
func (n *Node) Self() Member { return n.self }

// Phase returns the node's phase.
func (n *Node) Phase() Phase { return n.phase }

// Stats returns the counters.
func (n *Node) Stats() Stats { return n.stats }

// Tick must be called every Settings.GossipInterval. A long gap between calls is taken as a pause
// of this process.
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
		if n.propose(); n.view == nil { // a view without this life was decided
			return
		}
		n.gossip()
		n.probeAbsentSeeds()
		if n.phase == Leaving && now >= n.leaveDeadline {
			n.finishLeaving()
		}
	}
}

// abandonView leaves a view in which so many lives have ended that no majority is left, so that it
// can never change again. The seeds then found the fleet again, with a higher view number.
func (n *Node) abandonView() {
	n.emit(Event{Kind: Evicted, View: n.view, Detail: fmt.Sprintf("%d of %d lives of this view have ended: no majority is left", len(n.detector.ended), len(n.view.Members))})
	n.startNewLife()
}

// handleStall restarts all timers after a pause of this process: members were not silent while this
// node could not hear them.
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

// Receive handles a message from another node.
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
	sameView := n.view != nil && m.ViewNumber == n.view.Number
	if m.Vote != nil && m.FleetID != 0 {
		n.mergeVote(m)
		if !sameView && n.view != nil && n.ballots.decidedVote != nil && m.Vote.ViewNumber == n.ballots.decidedVote.ViewNumber && m.ViewNumber < n.view.Number {
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
	if sameView && n.view != nil && m.FleetID == n.view.FleetID && m.ViewNumber == n.view.Number {
		n.mergeNews(m)
	} else if m.FleetID != 0 && n.view != nil {
		n.stats.Stale++
	}
}

// replyAddr returns the address of a message's sender: from the view, from the message itself, or
// from the previous view.
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

// requestView asks the sender of a message, which has a newer view, for that view.
func (n *Node) requestView(m *Message) {
	to, ok := n.replyAddr(m)
	if !ok || m.Kind == State || n.lastPull != 0 && n.now-n.lastPull < pullInterval {
		return
	}
	n.lastPull = n.now
	self := n.self
	n.stream(to, &Message{Kind: StateRequest, Self: &self})
}

// sendDecision sends the decided vote to a member that still votes on the previous view.
func (n *Node) sendDecision(m *Message) {
	if to, ok := n.replyAddr(m); ok {
		reply := &Message{Kind: Gossip}
		if reply.Vote, reply.Proposal = n.voteForMessage(*n.ballots.decidedVote, n.ballots.decidedProposal); reply.Proposal != nil {
			n.send(to, reply)
		}
	}
}

// handleStateRequest sends the view or the requested proposal.
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

// handleState handles a view or proposal that this node requested.
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

// installView replaces the current view by v. If v lacks this life, the node has left or begins a
// new life. why describes the change for the event.
func (n *Node) installView(v *View, why string) {
	old := n.view
	index, in := v.IndexOfLife(n.self.Life)
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
	previousEdges := n.edges
	n.view, n.index = v, index
	n.self = v.Members[index]
	if n.phase == Seeking {
		n.phase = Serving
	}
	n.edges = make(map[uint32]*edge, len(v.watchedBy[index]))
	for _, subject := range v.watchedBy[index] {
		e := n.newEdge(v.Members[subject])
		for _, previous := range previousEdges {
			if previous.member.Life == e.member.Life {
				*e = *previous
				e.member, e.hasView = v.Members[subject], false
				break
			}
		}
		e.subject, e.slot = subject, slotOf(v.watchers[subject], index)
		n.edges[subject] = e
	}
	n.detector = cutDetector{}
	n.ballots.reset(v, index)
	n.queue.clear()
	n.prunePending(v)
	n.stats.Views++
	n.emit(Event{Kind: ViewChanged, View: v, Detail: why})
	for subject, e := range n.edges {
		if e.accused { // still silent, so it is accused in the new view as well
			n.publishAlert(subject, e)
		}
	}
	if n.phase == Leaving {
		n.queue.add(gossipItem{departure: true, subject: n.index}, n.copiesPerItem())
	}
}

// slotOf returns the position of a member among the watchers of another.
func slotOf(watchers []uint32, member uint32) uint32 {
	for i, watcher := range watchers {
		if watcher == member {
			return uint32(i)
		}
	}
	return math.MaxUint32
}

// copiesPerItem returns how often a node sends each gossip item; it grows with the logarithm of the
// number of members.
func (n *Node) copiesPerItem() int { return 3 + bits.Len(uint(len(n.view.Members))) }

// Leave announces the departure of this node, so that it is removed without accusations. The node
// is Gone once a view without it is in effect, or after patience.
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

// finishLeaving ends the membership of this node.
func (n *Node) finishLeaving() {
	n.phase, n.view = Gone, nil
	n.emit(Event{Kind: Left})
}
