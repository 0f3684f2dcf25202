package members

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Swim is plain SWIM (Das, Gupta, Motivala 2002) with suspicion, as a control. In each period it probes one member,
// then indirectly through three others. A member that answers neither probe is suspected, and declared dead after a
// fixed time unless it refutes the suspicion with a higher incarnation. Updates are piggybacked on probes. A dead
// member that sends a higher incarnation is alive again.
type Swim struct {
	self           int
	rng            *rand.Rand
	now            time.Duration
	addrs          []netip.AddrPort
	names          []string
	peers          []swimPeer
	order          []int
	nextInOrder    int
	periodEnd      time.Duration // end of the current period
	probeTarget    int           // -1: none
	seq            int
	acked          bool
	indirectSent   bool              // indirect probes were sent
	relays         map[int]swimRelay // by the sequence number of the relayed probe
	pendingUpdates map[int]int       // by member: how many more times its state is sent
	outgoing       []Packet
	Changes        int // of a member from alive to dead or back, as seen by this node
}

type swimPeer struct {
	state        int // swimAlive, swimSuspect, swimDead
	incarnation  int
	suspectUntil time.Duration // end of the suspicion
}

const (
	swimAlive = iota
	swimSuspect
	swimDead

	swimPeriod           = time.Second
	swimAckTimeout       = 300 * time.Millisecond
	swimSuspicionTimeout = 3 * time.Second
	maxSwimUpdates       = 8
)

type swimRelay struct {
	requester int // member that requested the indirect probe
	seq       int // sequence number of its request
}

type swimMessage struct {
	kind, from, target, seq int // kind: 0 ping, 1 ack, 2 ping-req
	updates                 []swimUpdate
}

type swimUpdate struct{ member, state, incarnation int }

// NewSwim returns the protocol of one node, which knows all other nodes from the start.
func NewSwim(n *Net, i int) *Swim {
	s := &Swim{self: i, rng: rand.New(rand.NewPCG(n.Seed, uint64(i))), probeTarget: -1, relays: map[int]swimRelay{}, pendingUpdates: map[int]int{}}
	for _, x := range n.Nodes {
		s.addrs, s.names = append(s.addrs, x.Addr), append(s.names, x.Name)
		s.order = append(s.order, x.Index)
	}
	s.peers = make([]swimPeer, len(s.addrs))
	s.shuffle()
	s.periodEnd = n.Now + time.Duration(s.rng.Float64()*float64(swimPeriod))
	return s
}

// shuffle draws a new probe order.
func (s *Swim) shuffle() {
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

// send queues a message with the pending updates that were sent the fewest times.
func (s *Swim) send(to, kind, target, seq int) {
	m := swimMessage{kind: kind, from: s.self, target: target, seq: seq}
	var members []int
	for i := range s.pendingUpdates {
		members = append(members, i)
	}
	slices.SortFunc(members, func(a, b int) int {
		if s.pendingUpdates[a] != s.pendingUpdates[b] {
			return s.pendingUpdates[b] - s.pendingUpdates[a]
		}
		return a - b
	})
	for _, i := range members[:min(len(members), maxSwimUpdates)] {
		m.updates = append(m.updates, swimUpdate{i, s.peers[i].state, s.peers[i].incarnation})
		if s.pendingUpdates[i]--; s.pendingUpdates[i] <= 0 {
			delete(s.pendingUpdates, i)
		}
	}
	s.outgoing = append(s.outgoing, Packet{To: s.addrs[to], Message: m, Bytes: 24 + 10*len(m.updates)})
}

// Tick must be called every 100 ms. It ends suspicions, sends indirect probes and starts the next period.
func (s *Swim) Tick(now time.Duration) {
	s.now = now
	for i := range s.peers {
		if p := &s.peers[i]; p.state == swimSuspect && now >= p.suspectUntil {
			s.applyUpdate(swimUpdate{i, swimDead, p.incarnation})
		}
	}
	if s.probeTarget >= 0 && !s.acked && !s.indirectSent && now >= s.periodEnd-swimPeriod+swimAckTimeout {
		s.indirectSent = true
		for range 3 {
			if relay := s.rng.IntN(len(s.peers)); relay != s.self && relay != s.probeTarget && s.peers[relay].state != swimDead {
				s.send(relay, 2, s.probeTarget, s.seq)
			}
		}
	}
	if now < s.periodEnd {
		return
	}
	if s.probeTarget >= 0 && !s.acked {
		s.applyUpdate(swimUpdate{s.probeTarget, swimSuspect, s.peers[s.probeTarget].incarnation})
	}
	s.periodEnd += swimPeriod
	if s.periodEnd <= now {
		s.periodEnd = now + swimPeriod
	}
	s.probeTarget, s.acked, s.indirectSent = -1, false, false
	for range s.order {
		target := s.order[s.nextInOrder%len(s.order)]
		if s.nextInOrder++; s.nextInOrder%len(s.order) == 0 {
			s.shuffle()
		}
		if target != s.self && s.peers[target].state != swimDead {
			s.seq++
			s.probeTarget = target
			s.send(target, 0, target, s.seq)
			return
		}
	}
}

// applyUpdate applies an update about a member if it supersedes the known state. An update that calls this node itself
// suspect or dead is refuted with a higher incarnation.
func (s *Swim) applyUpdate(x swimUpdate) {
	p := &s.peers[x.member]
	if x.member == s.self {
		if x.state != swimAlive && x.incarnation >= p.incarnation {
			p.incarnation = x.incarnation + 1
			s.pendingUpdates[s.self] = s.updateCopies()
		}
		return
	}
	newer := x.incarnation > p.incarnation || x.incarnation == p.incarnation && x.state > p.state
	if !newer || p.state == swimDead && x.state == swimSuspect {
		return
	}
	if (p.state == swimDead) != (x.state == swimDead) {
		s.Changes++
	}
	p.state, p.incarnation = x.state, x.incarnation
	if x.state == swimSuspect {
		p.suspectUntil = s.now + swimSuspicionTimeout
	}
	s.pendingUpdates[x.member] = s.updateCopies()
}

// updateCopies returns how many times an update is sent: logarithmic in the number of members.
func (s *Swim) updateCopies() int { return 3 * bits.Len(uint(len(s.peers))) }

// Receive handles a message.
func (s *Swim) Receive(now time.Duration, m any) {
	s.now = now
	x := m.(swimMessage)
	for _, update := range x.updates {
		s.applyUpdate(update)
	}
	switch x.kind {
	case 0:
		if s.peers[x.from].state == swimDead { // the ack carries this state, so that the sender can refute it
			s.pendingUpdates[x.from] = max(1, s.pendingUpdates[x.from])
		}
		s.send(x.from, 1, s.self, x.seq)
	case 1:
		if x.target == s.probeTarget && x.seq == s.seq {
			s.acked = true
		} else if r, ok := s.relays[x.seq]; ok {
			delete(s.relays, x.seq)
			s.send(r.requester, 1, x.target, r.seq)
		}
	case 2:
		relayedSeq := 1<<30 + s.rng.IntN(1<<29)
		if len(s.relays) < 64 {
			s.relays[relayedSeq] = swimRelay{x.from, x.seq}
			s.send(x.target, 0, x.target, relayedSeq)
		}
	}
}

// TakePackets returns the messages to send and clears the queue.
func (s *Swim) TakePackets() []Packet {
	outgoing := s.outgoing
	s.outgoing = nil
	return outgoing
}

// LiveMembers returns the names of all members that are not declared dead. SWIM has no views, so the number is 0.
func (s *Swim) LiveMembers() (map[string]bool, uint64) {
	names := map[string]bool{}
	for i, p := range s.peers {
		if p.state != swimDead {
			names[s.names[i]] = true
		}
	}
	return names, 0
}
