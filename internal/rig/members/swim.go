package members

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Swim is plain SWIM (Das, Gupta, Motivala 2002) with suspicion, as a control: each period one
// member in turn is probed, then by way of three others; who answers neither is suspected, and
// after a fixed time dead, unless it refutes with a higher incarnation. News rides on probes.
// A dead one that speaks with a higher incarnation is alive again.
type Swim struct {
	self    int
	rng     *rand.Rand
	now     time.Duration
	addrs   []netip.AddrPort
	names   []string
	peers   []swimPeer
	order   []int
	turn    int
	period  time.Duration // end of the present one
	probed  int           // -1: none
	seq     int
	acked   bool
	asked   bool // the three others were
	relays  map[int]swimRelay
	news    map[int]int // member: copies left
	out     []Packet
	Changes int // from alive to dead or back, as seen here
}

type swimPeer struct {
	state       int // swimAlive, swimSuspect, swimDead
	incarnation int
	until       time.Duration // of the suspicion
}

const (
	swimAlive = iota
	swimSuspect
	swimDead

	swimPeriod    = time.Second
	swimWait      = 300 * time.Millisecond
	swimSuspicion = 3 * time.Second
	swimNews      = 8
)

type swimRelay struct {
	to  int // who asked
	seq int
}

type swimMsg struct {
	kind, from, target, seq int // kind 0 ping, 1 ack, 2 ping-req
	news                    []swimNote
}

type swimNote struct{ member, state, incarnation int }

// NewSwim is a node's part; it knows all the others from the start.
func NewSwim(n *Net, i int) *Swim {
	s := &Swim{self: i, rng: rand.New(rand.NewPCG(n.Seed, uint64(i))), probed: -1, relays: map[int]swimRelay{}, news: map[int]int{}}
	for _, x := range n.Nodes {
		s.addrs, s.names = append(s.addrs, x.Addr), append(s.names, x.Name)
		s.order = append(s.order, x.Index)
	}
	s.peers = make([]swimPeer, len(s.addrs))
	s.shuffle()
	s.period = n.Now + time.Duration(s.rng.Float64()*float64(swimPeriod))
	return s
}

func (s *Swim) shuffle() {
	s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

func (s *Swim) send(to, kind, target, seq int) {
	m := swimMsg{kind: kind, from: s.self, target: target, seq: seq}
	var all []int
	for i := range s.news {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b int) int {
		if s.news[a] != s.news[b] {
			return s.news[b] - s.news[a]
		}
		return a - b
	})
	for _, i := range all[:min(len(all), swimNews)] {
		m.news = append(m.news, swimNote{i, s.peers[i].state, s.peers[i].incarnation})
		if s.news[i]--; s.news[i] <= 0 {
			delete(s.news, i)
		}
	}
	s.out = append(s.out, Packet{To: s.addrs[to], Message: m, Bytes: 24 + 10*len(m.news)})
}

// Tick is called every 100 ms.
func (s *Swim) Tick(now time.Duration) {
	s.now = now
	for i := range s.peers {
		if p := &s.peers[i]; p.state == swimSuspect && now >= p.until {
			s.learn(swimNote{i, swimDead, p.incarnation})
		}
	}
	if s.probed >= 0 && !s.acked && !s.asked && now >= s.period-swimPeriod+swimWait {
		s.asked = true
		for range 3 {
			if k := s.rng.IntN(len(s.peers)); k != s.self && k != s.probed && s.peers[k].state != swimDead {
				s.send(k, 2, s.probed, s.seq)
			}
		}
	}
	if now < s.period {
		return
	}
	if s.probed >= 0 && !s.acked {
		s.learn(swimNote{s.probed, swimSuspect, s.peers[s.probed].incarnation})
	}
	s.period += swimPeriod
	if s.period <= now {
		s.period = now + swimPeriod
	}
	s.probed, s.acked, s.asked = -1, false, false
	for range s.order {
		k := s.order[s.turn%len(s.order)]
		if s.turn++; s.turn%len(s.order) == 0 {
			s.shuffle()
		}
		if k != s.self && s.peers[k].state != swimDead {
			s.seq++
			s.probed = k
			s.send(k, 0, k, s.seq)
			return
		}
	}
}

// learn takes what is said of a member, if it is later than what is known.
func (s *Swim) learn(x swimNote) {
	p := &s.peers[x.member]
	if x.member == s.self {
		if x.state != swimAlive && x.incarnation >= p.incarnation {
			p.incarnation = x.incarnation + 1
			s.news[s.self] = s.copies()
		}
		return
	}
	later := x.incarnation > p.incarnation || x.incarnation == p.incarnation && x.state > p.state
	if !later || p.state == swimDead && x.state == swimSuspect {
		return
	}
	if (p.state == swimDead) != (x.state == swimDead) {
		s.Changes++
	}
	p.state, p.incarnation = x.state, x.incarnation
	if x.state == swimSuspect {
		p.until = s.now + swimSuspicion
	}
	s.news[x.member] = s.copies()
}

func (s *Swim) copies() int { return 3 * bits.Len(uint(len(s.peers))) }

// Receive takes a message.
func (s *Swim) Receive(now time.Duration, m any) {
	s.now = now
	x := m.(swimMsg)
	for _, note := range x.news {
		s.learn(note)
	}
	switch x.kind {
	case 0:
		if s.peers[x.from].state == swimDead { // so that it hears of it and refutes
			s.news[x.from] = max(1, s.news[x.from])
		}
		s.send(x.from, 1, s.self, x.seq)
	case 1:
		if x.target == s.probed && x.seq == s.seq {
			s.acked = true
		} else if r, ok := s.relays[x.seq]; ok {
			delete(s.relays, x.seq)
			s.send(r.to, 1, x.target, r.seq)
		}
	case 2:
		mine := 1<<30 + s.rng.IntN(1<<29)
		if len(s.relays) < 64 {
			s.relays[mine] = swimRelay{x.from, x.seq}
			s.send(x.target, 0, x.target, mine)
		}
	}
}

// Take hands over what is to be sent.
func (s *Swim) TakePackets() []Packet {
	out := s.out
	s.out = nil
	return out
}

// Believes names those that are not held to be dead.
func (s *Swim) LiveMembers() (map[string]bool, uint64) {
	all := map[string]bool{}
	for i, p := range s.peers {
		if p.state != swimDead {
			all[s.names[i]] = true
		}
	}
	return all, 0
}
