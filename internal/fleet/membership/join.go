package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// seeking is what a node outside of any view knows.
type seeking struct {
	number uint64           // of the last view that it, or a seed that it heard, was in
	known  []netip.AddrPort // who may be in one
	at     time.Duration    // when it asks next
	every  time.Duration
	met    time.Duration // when it last heard of a view; 0: never
	steady time.Duration // since when all is there to found the fleet
	heard  map[int]seedWord
	held   time.Duration // it gives way to one of its name until then
	told   bool
}

// seedWord is what another seed without a view said last.
type seedWord struct {
	at  time.Duration
	low uint32
}

func (s *seeking) begin(n *Node) {
	s.every = joinEvery
	s.at = n.now + time.Duration(n.rng.Float64()*float64(joinEvery))
	s.met, s.steady, s.heard = 0, 0, map[int]seedWord{}
}

// tick asks to be let in, and founds the fleet where that is this node's to do.
func (s *seeking) tick(n *Node) {
	if n.now < s.held {
		return
	}
	mine := slices.Index(n.set.founders(), n.self.Addr)
	low := s.low(n, mine)
	if mine >= 0 && s.found(n, mine, low) {
		return
	}
	if n.now < s.at {
		return
	}
	to := s.ask(n, mine >= 0)
	for range min(2, len(s.known)) {
		if at := s.known[n.rng.IntN(len(s.known))]; at != n.self.Addr && !slices.Contains(to, at) {
			to = append(to, at)
		}
	}
	for _, at := range to {
		n.send(at, &Message{Kind: Join, LowestSeed: low})
	}
	if mine < 0 || s.met > 0 {
		s.every = min(s.every*3/2, joinMost)
	}
	s.at = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(s.every))
}

// ask draws which seeds this attempt asks. The founders ask each other, or they would not hear each other within the time
// that a word counts; where there are further seeds, they ask one of those too, and the others ask as many of both.
func (s *seeking) ask(n *Node, founder bool) []netip.AddrPort {
	first, rest := n.set.founders(), n.set.Seeds[len(n.set.founders()):]
	fromRest := min(mostAsked/2, len(rest))
	if founder {
		fromRest = min(1, len(rest))
	}
	to := n.someSeeds(nil, first, mostAsked-fromRest)
	return n.someSeeds(to, rest, fromRest)
}

// someSeeds appends up to most of the seeds, drawn, without this node.
func (n *Node) someSeeds(to, seeds []netip.AddrPort, most int) []netip.AddrPort {
	for _, i := range n.rng.Perm(len(seeds)) {
		if most == 0 {
			break
		}
		if seeds[i] != n.self.Addr {
			to = append(to, seeds[i])
			most--
		}
	}
	return to
}

// founders are the seeds that found the fleet. They are few however long the list is: each must hear a majority of them
// within seedHeard.
func (s *Settings) founders() []netip.AddrPort { return s.Seeds[:min(len(s.Seeds), mostFounders)] }

// low is the first of the founders, from 1, that this one hears to be without a view; itself if it is one.
func (s *seeking) low(n *Node, mine int) uint32 {
	for i := range n.set.founders() {
		if i == mine {
			return uint32(i) + 1
		}
		if w, ok := s.heard[i]; ok && n.now-w.at < seedHeard {
			return uint32(i) + 1
		}
	}
	return 0
}

// found founds the fleet: where a majority of the founders, for a while, hear each other without a view, and hold this
// one for the first.
func (s *seeking) found(n *Node, mine int, low uint32) bool {
	agree := 1
	for i, w := range s.heard {
		if i != mine && n.now-w.at < seedHeard && w.low == uint32(mine)+1 {
			agree++
		}
	}
	if low != uint32(mine)+1 || agree < len(n.set.founders())/2+1 || n.now-n.started < foundAfter || s.met > 0 && n.now-s.met < 2*joinMost {
		s.steady = 0
		return false
	}
	if s.steady == 0 {
		s.steady = n.now
	}
	if n.now-s.steady < foundSteady {
		return false
	}
	v, err := NewView(max(1, n.rng.Uint64()), s.number+1, []Member{n.self}, n.set.WatchersPerMember)
	if err != nil {
		return false
	}
	n.event(Event{Kind: Founded, View: v})
	n.install(v, "founded")
	return true
}

// meet takes a view that this node is not in: there is a fleet, and here are some of it.
func (s *seeking) meet(n *Node, v *View) {
	s.number = max(s.number, v.Number)
	s.known = n.someOf(v, 8)
	if s.met == 0 {
		s.at, s.every = n.now, joinEvery
	}
	s.met = n.now
}

// asked takes the wish of one that wants in.
func (n *Node) asked(m *Message) {
	who := m.Self
	if who == nil || who.Life != m.SenderLife || who.Check() != nil {
		return
	}
	if n.view == nil {
		if i := slices.Index(n.set.founders(), who.Addr); i >= 0 && n.phase == Seeking {
			n.seek.heard[i] = seedWord{n.now, m.LowestSeed}
			n.seek.number = max(n.seek.number, m.ViewNumber)
		}
		return
	}
	self := n.self
	if i, ok := n.view.IndexOfName(who.Name); ok {
		holder := n.view.Members[i]
		if holder.Life == who.Life { // it is in, and does not know
			n.send(who.Addr, &Message{Kind: Gossip, Self: &self})
			return
		}
		if holder.Addr != who.Addr {
			if !n.silent(i) {
				n.send(who.Addr, &Message{Kind: NameTaken, NameHolder: &holder, Self: &self})
			}
			return
		}
		n.leaving(Departure{Member: i, Ended: true})
	}
	if r := n.removed[who.Name]; r != nil && n.now < r.until {
		return
	}
	for s, sponsor := range n.view.sponsors(who.Life) {
		c := Joiner{*who, uint32(s), m.ViewNumber}
		if sponsor == n.at {
			n.sponsor(c)
		} else {
			n.send(n.view.Members[sponsor].Addr, &Message{Kind: ProbeJoiner, Joiners: []Joiner{c}})
		}
	}
}

// trial is a life that this node tries before it is let in.
type trial struct {
	Joiner
	until, next time.Duration
	seqs        [4]uint64
	turn        int
	answered    bool
}

func (n *Node) watch(m *Message) {
	if n.view == nil || m.FleetID != n.view.FleetID || len(m.Joiners) != 1 {
		return
	}
	c := m.Joiners[0]
	if c.Member.Check() != nil {
		return
	}
	if all := n.view.sponsors(c.Member.Life); int(c.SponsorSlot) < len(all) && all[c.SponsorSlot] == n.at {
		n.sponsor(c)
	}
}

func (n *Node) sponsor(c Joiner) {
	t := n.trials[c.Member.Life]
	if t == nil {
		if len(n.trials) >= mostPending {
			return
		}
		t = &trial{Joiner: c, next: n.now}
		n.trials[c.Member.Life] = t
	}
	t.SponsorSlot, t.LastViewNumber, t.until = c.SponsorSlot, c.LastViewNumber, n.now+tryFor
}

// try probes the lives that this node is a sponsor of, in the order of their lives.
func (n *Node) try() {
	if len(n.trials) == 0 {
		return
	}
	lives := make([]uint64, 0, len(n.trials))
	for life := range n.trials {
		lives = append(lives, life)
	}
	slices.Sort(lives)
	for _, life := range lives {
		t := n.trials[life]
		if _, in := n.view.IndexOfLife(life); in || n.now >= t.until {
			delete(n.trials, life)
			continue
		}
		if n.now < t.next {
			continue
		}
		t.next = n.now + n.set.ProbeRetryInterval
		if t.answered {
			t.next = n.now + n.set.ProbeInterval
		}
		n.seq++
		t.seqs[t.turn%len(t.seqs)] = n.seq
		t.turn++
		self := n.self
		n.send(t.Member.Addr, &Message{Kind: Probe, Seq: n.seq, Self: &self})
	}
}

// tried takes an answer of a life that this node is a sponsor of, and tells those who propose.
func (n *Node) tried(t *trial, seq uint64) {
	if n.view == nil || !slices.Contains(t.seqs[:], seq) || seq == 0 {
		return
	}
	t.answered = true
	c := []Joiner{t.Joiner}
	for _, i := range n.proposers(3) {
		if i == n.at {
			n.admitted(c[0])
		} else {
			n.send(n.view.Members[i].Addr, &Message{Kind: JoinerAnswered, Joiners: c})
		}
	}
}

// pending is a life that wants in, and which sponsors have had an answer of it.
type pending struct {
	member Member
	slots  uint16
	at     time.Duration
	number uint64 // of the last view that it knew of
}

func (n *Node) admit(m *Message) {
	if n.view == nil || m.FleetID != n.view.FleetID || m.ViewNumber != n.view.Number {
		return
	}
	for _, c := range m.Joiners {
		if c.Member.Check() == nil && c.SponsorSlot < 16 {
			n.admitted(c)
		}
	}
}

func (n *Node) admitted(c Joiner) {
	if _, in := n.view.IndexOfLife(c.Member.Life); in {
		return
	}
	p := n.pending[c.Member.Life]
	if p == nil {
		if len(n.pending) >= mostPending {
			return
		}
		p = &pending{member: c.Member}
		n.pending[c.Member.Life] = p
	}
	p.at, p.number = n.now, max(p.number, c.LastViewNumber)
	if p.slots&(1<<c.SponsorSlot) == 0 {
		p.slots |= 1 << c.SponsorSlot
		n.cut.changed = n.now
	}
}

// sortPending keeps of those that want in what holds for a new view too.
func (n *Node) sortPending(v *View) {
	for life, p := range n.pending {
		if _, in := v.IndexOfLife(life); in {
			delete(n.pending, life)
		} else if bits.OnesCount16(p.slots) < high(len(v.sponsors(life))) {
			delete(n.pending, life) // its sponsors are others now
		} else {
			p.slots = 1<<len(v.sponsors(life)) - 1
		}
	}
}

// ready are those that may come in, whom of the view they replace, and the latest view that any of them knew of.
func (n *Node) ready(out []uint32) (adds []Member, replaced []uint32, number uint64) {
	if len(n.pending) == 0 {
		return nil, nil, 0
	}
	names := map[string]bool{}
	all := make([]*pending, 0, len(n.pending))
	for life, p := range n.pending {
		if n.now-p.at > tryFor {
			delete(n.pending, life)
			continue
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pending) int {
		return cmp.Or(-cmp.Compare(a.member.Incarnation, b.member.Incarnation), cmp.Compare(a.member.Life, b.member.Life))
	})
	var at map[netip.AddrPort]uint32
	for _, p := range all {
		m := p.member
		if names[m.Name] || len(adds) >= mostAdds || len(n.view.Members)+len(adds) >= mostMembers ||
			bits.OnesCount16(p.slots) < high(len(n.view.sponsors(m.Life))) {
			continue
		}
		if i, ok := n.view.IndexOfName(m.Name); ok {
			holder := &n.view.Members[i]
			if _, goes := slices.BinarySearch(out, i); holder.Addr != m.Addr && !goes {
				continue
			}
			m.Incarnation = max(m.Incarnation, holder.Incarnation+1)
		}
		if at == nil {
			at = make(map[netip.AddrPort]uint32, len(n.view.Members))
			for i := range n.view.Members {
				at[n.view.Members[i].Addr] = uint32(i)
			}
		}
		if i, ok := at[m.Addr]; ok { // whoever had this address is no more
			replaced = append(replaced, i)
		}
		if r := n.removed[m.Name]; r != nil {
			m.Incarnation = max(m.Incarnation, r.incarnation+1)
		}
		names[m.Name] = true
		adds = append(adds, m)
		number = max(number, p.number)
	}
	slices.SortFunc(adds, func(a, b Member) int { return cmp.Compare(a.Life, b.Life) })
	return adds, replaced, number
}

// taken gives way to one that has this node's name.
func (n *Node) taken(m *Message) {
	if n.phase != Seeking || m.NameHolder == nil || m.NameHolder.Name != n.self.Name || m.NameHolder.Life == n.self.Life {
		return
	}
	n.seek.held, n.seek.steady = n.now+conflictWait, 0
	if !n.seek.told {
		n.seek.told = true
		n.event(Event{Kind: NameConflict, Member: *m.NameHolder, Detail: "another process has this name, and was first"})
	}
}

// removal is what is remembered of a name that was taken out for its silence.
type removal struct {
	at, until   time.Duration
	times       int
	incarnation uint64
}

// mostRemoved is how many such names a node remembers.
const mostRemoved = 8192

// remember books who was taken out. A name that is taken out again and again waits longer each time, so that a node
// that half of the others can't use does not come and go.
func (n *Node) remember(old, v *View) {
	if old == nil || old.FleetID != v.FleetID {
		return
	}
	for i := range old.Members {
		m := &old.Members[i]
		if _, still := v.byName[m.Name]; still || slices.Contains(n.cut.left, uint32(i)) {
			continue
		}
		r := n.removed[m.Name]
		if r == nil {
			if len(n.removed) >= mostRemoved {
				n.forget()
			}
			r = &removal{}
			n.removed[m.Name] = r
		}
		if n.now-r.at > againForget {
			r.times = 0
		}
		r.at, r.incarnation = n.now, m.Incarnation
		if r.times++; r.times > 1 {
			r.until = n.now + min(againFirst<<min(r.times-2, 8), againMost)
		}
	}
}

// forget drops the removal that is longest ago.
func (n *Node) forget() {
	oldest := ""
	for name, r := range n.removed {
		if o := n.removed[oldest]; o == nil || r.at < o.at || r.at == o.at && name < oldest {
			oldest = name
		}
	}
	delete(n.removed, oldest)
}

// lookForSeeds has the first few look whether seeds that are in no view are there: they may be about to found
// another fleet, or have done so.
func (n *Node) lookForSeeds() {
	if n.now < n.seedAt {
		return
	}
	n.seedAt = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(seedEvery))
	if !slices.Contains(n.proposers(3), n.at) {
		return
	}
	n.seedTurn++
	first := n.set.founders()
	n.lookFor(first[n.seedTurn%len(first)])
	if rest := n.set.Seeds[len(first):]; len(rest) > 0 {
		n.lookFor(rest[n.seedTurn%len(rest)])
	}
}

// lookFor probes a seed that is not in the view.
func (n *Node) lookFor(at netip.AddrPort) {
	if at == n.self.Addr || slices.ContainsFunc(n.view.Members, func(m Member) bool { return m.Addr == at }) {
		return
	}
	self := n.self
	n.send(at, &Message{Kind: Probe, Self: &self})
}

// foreign settles with another fleet of the same name: the one with the later view holds.
func (n *Node) foreign(m *Message) {
	if m.ViewNumber < n.view.Number || m.ViewNumber == n.view.Number && m.FleetID < n.view.FleetID {
		if m.Kind == Probe { // so that it learns of this one
			self := n.self
			if to, ok := n.addressOf(m); ok {
				n.send(to, &Message{Kind: Ack, Seq: m.Seq, Self: &self})
			}
		}
		return
	}
	to, ok := n.addressOf(m)
	if !ok {
		return
	}
	n.event(Event{Kind: ForeignFleet, Detail: "another fleet of this name has a later view"})
	n.reborn()
	n.seek.known = []netip.AddrPort{to}
	n.seek.at, n.seek.met = n.now, n.now
}
