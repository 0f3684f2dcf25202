package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// seeking is what a node outside of any view knows.
type joinState struct {
	lastViewNumber   uint64           // of the last view that it, or a seed that it heard, was in
	knownAddrs       []netip.AddrPort // who may be in one
	nextJoin         time.Duration    // when it asks next
	interval         time.Duration
	viewSeenAt       time.Duration // when it last heard of a view; 0: never
	foundableSince   time.Duration // since when all is there to found the fleet
	seedReports      map[int]seedReport
	pausedUntil      time.Duration // it gives way to one of its name until then
	conflictReported bool
}

// seedWord is what another seed without a view said last.
type seedReport struct {
	receivedAt time.Duration
	lowestSeed uint32
}

func (s *joinState) reset(n *Node) {
	s.interval = joinInterval
	s.nextJoin = n.now + time.Duration(n.rng.Float64()*float64(joinInterval))
	s.viewSeenAt, s.foundableSince, s.seedReports = 0, 0, map[int]seedReport{}
}

// tick asks to be let in, and founds the fleet where that is this node's to do.
func (s *joinState) tick(n *Node) {
	if n.now < s.pausedUntil {
		return
	}
	mine := slices.Index(n.settings.founders(), n.self.Addr)
	low := s.lowestSeed(n, mine)
	if mine >= 0 && s.tryFound(n, mine, low) {
		return
	}
	if n.now < s.nextJoin {
		return
	}
	to := s.pickSeeds(n, mine >= 0)
	for range min(2, len(s.knownAddrs)) {
		if at := s.knownAddrs[n.rng.IntN(len(s.knownAddrs))]; at != n.self.Addr && !slices.Contains(to, at) {
			to = append(to, at)
		}
	}
	for _, at := range to {
		n.send(at, &Message{Kind: Join, LowestSeed: low})
	}
	if mine < 0 || s.viewSeenAt > 0 {
		s.interval = min(s.interval*3/2, maxJoinInterval)
	}
	s.nextJoin = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(s.interval))
}

// ask draws which seeds this attempt asks. The founders ask each other, or they would not hear each other within the time
// that a word counts; where there are further seeds, they ask one of those too, and the others ask as many of both.
func (s *joinState) pickSeeds(n *Node, founder bool) []netip.AddrPort {
	first, rest := n.settings.founders(), n.settings.Seeds[len(n.settings.founders()):]
	fromRest := min(maxSeedsPerJoin/2, len(rest))
	if founder {
		fromRest = min(1, len(rest))
	}
	to := n.appendRandomSeeds(nil, first, maxSeedsPerJoin-fromRest)
	return n.appendRandomSeeds(to, rest, fromRest)
}

// someSeeds appends up to most of the seeds, drawn, without this node.
func (n *Node) appendRandomSeeds(to, seeds []netip.AddrPort, most int) []netip.AddrPort {
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
func (s *Settings) founders() []netip.AddrPort { return s.Seeds[:min(len(s.Seeds), maxFounders)] }

// low is the first of the founders, from 1, that this one hears to be without a view; itself if it is one.
func (s *joinState) lowestSeed(n *Node, mine int) uint32 {
	for i := range n.settings.founders() {
		if i == mine {
			return uint32(i) + 1
		}
		if w, ok := s.seedReports[i]; ok && n.now-w.receivedAt < seedReportLifetime {
			return uint32(i) + 1
		}
	}
	return 0
}

// found founds the fleet: where a majority of the founders, for a while, hear each other without a view, and hold this
// one for the first.
func (s *joinState) tryFound(n *Node, mine int, low uint32) bool {
	agree := 1
	for i, w := range s.seedReports {
		if i != mine && n.now-w.receivedAt < seedReportLifetime && w.lowestSeed == uint32(mine)+1 {
			agree++
		}
	}
	if low != uint32(mine)+1 || agree < len(n.settings.founders())/2+1 || n.now-n.started < foundMinUptime || s.viewSeenAt > 0 && n.now-s.viewSeenAt < 2*maxJoinInterval {
		s.foundableSince = 0
		return false
	}
	if s.foundableSince == 0 {
		s.foundableSince = n.now
	}
	if n.now-s.foundableSince < foundStablePeriod {
		return false
	}
	v, err := NewView(max(1, n.rng.Uint64()), s.lastViewNumber+1, []Member{n.self}, n.settings.WatchersPerMember)
	if err != nil {
		return false
	}
	n.emit(Event{Kind: Founded, View: v})
	n.installView(v, "founded")
	return true
}

// meet takes a view that this node is not in: there is a fleet, and here are some of it.
func (s *joinState) noteView(n *Node, v *View) {
	s.lastViewNumber = max(s.lastViewNumber, v.Number)
	s.knownAddrs = n.randomAddrs(v, 8)
	if s.viewSeenAt == 0 {
		s.nextJoin, s.interval = n.now, joinInterval
	}
	s.viewSeenAt = n.now
}

// asked takes the wish of one that wants in.
func (n *Node) handleJoin(m *Message) {
	who := m.Self
	if who == nil || who.Life != m.SenderLife || who.Check() != nil {
		return
	}
	if n.view == nil {
		if i := slices.Index(n.settings.founders(), who.Addr); i >= 0 && n.phase == Seeking {
			n.joining.seedReports[i] = seedReport{n.now, m.LowestSeed}
			n.joining.lastViewNumber = max(n.joining.lastViewNumber, m.ViewNumber)
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
			if !n.isSilent(i) {
				n.send(who.Addr, &Message{Kind: NameTaken, NameHolder: &holder, Self: &self})
			}
			return
		}
		n.recordDeparture(Departure{Member: i, Ended: true})
	}
	if r := n.removed[who.Name]; r != nil && n.now < r.readmitAt {
		return
	}
	for s, sponsor := range n.view.sponsors(who.Life) {
		c := Joiner{*who, uint32(s), m.ViewNumber}
		if sponsor == n.index {
			n.startTrial(c)
		} else {
			n.send(n.view.Members[sponsor].Addr, &Message{Kind: ProbeJoiner, Joiners: []Joiner{c}})
		}
	}
}

// trial is a life that this node tries before it is let in.
type joinTrial struct {
	Joiner
	endsAt, nextProbe time.Duration
	seqs              [4]uint64
	probesSent        int
	answered          bool
}

func (n *Node) handleProbeJoiner(m *Message) {
	if n.view == nil || m.FleetID != n.view.FleetID || len(m.Joiners) != 1 {
		return
	}
	c := m.Joiners[0]
	if c.Member.Check() != nil {
		return
	}
	if all := n.view.sponsors(c.Member.Life); int(c.SponsorSlot) < len(all) && all[c.SponsorSlot] == n.index {
		n.startTrial(c)
	}
}

func (n *Node) startTrial(c Joiner) {
	t := n.trials[c.Member.Life]
	if t == nil {
		if len(n.trials) >= maxPendingJoiners {
			return
		}
		t = &joinTrial{Joiner: c, nextProbe: n.now}
		n.trials[c.Member.Life] = t
	}
	t.SponsorSlot, t.LastViewNumber, t.endsAt = c.SponsorSlot, c.LastViewNumber, n.now+joinTrialPeriod
}

// try probes the lives that this node is a sponsor of, in the order of their lives.
func (n *Node) probeJoiners() {
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
		if _, in := n.view.IndexOfLife(life); in || n.now >= t.endsAt {
			delete(n.trials, life)
			continue
		}
		if n.now < t.nextProbe {
			continue
		}
		t.nextProbe = n.now + n.settings.ProbeRetryInterval
		if t.answered {
			t.nextProbe = n.now + n.settings.ProbeInterval
		}
		n.seq++
		t.seqs[t.probesSent%len(t.seqs)] = n.seq
		t.probesSent++
		self := n.self
		n.send(t.Member.Addr, &Message{Kind: Probe, Seq: n.seq, Self: &self})
	}
}

// tried takes an answer of a life that this node is a sponsor of, and tells those who propose.
func (n *Node) handleTrialAck(t *joinTrial, seq uint64) {
	if n.view == nil || !slices.Contains(t.seqs[:], seq) || seq == 0 {
		return
	}
	t.answered = true
	c := []Joiner{t.Joiner}
	for _, i := range n.proposers(3) {
		if i == n.index {
			n.recordJoinerAnswer(c[0])
		} else {
			n.send(n.view.Members[i].Addr, &Message{Kind: JoinerAnswered, Joiners: c})
		}
	}
}

// pending is a life that wants in, and which sponsors have had an answer of it.
type pendingJoiner struct {
	member         Member
	answeredSlots  uint16
	answeredAt     time.Duration
	lastViewNumber uint64 // of the last view that it knew of
}

func (n *Node) handleJoinerAnswered(m *Message) {
	if n.view == nil || m.FleetID != n.view.FleetID || m.ViewNumber != n.view.Number {
		return
	}
	for _, c := range m.Joiners {
		if c.Member.Check() == nil && c.SponsorSlot < 16 {
			n.recordJoinerAnswer(c)
		}
	}
}

func (n *Node) recordJoinerAnswer(c Joiner) {
	if _, in := n.view.IndexOfLife(c.Member.Life); in {
		return
	}
	p := n.pending[c.Member.Life]
	if p == nil {
		if len(n.pending) >= maxPendingJoiners {
			return
		}
		p = &pendingJoiner{member: c.Member}
		n.pending[c.Member.Life] = p
	}
	p.answeredAt, p.lastViewNumber = n.now, max(p.lastViewNumber, c.LastViewNumber)
	if p.answeredSlots&(1<<c.SponsorSlot) == 0 {
		p.answeredSlots |= 1 << c.SponsorSlot
		n.detector.changedAt = n.now
	}
}

// sortPending keeps of those that want in what holds for a new view too.
func (n *Node) prunePending(v *View) {
	for life, p := range n.pending {
		if _, in := v.IndexOfLife(life); in {
			delete(n.pending, life)
		} else if bits.OnesCount16(p.answeredSlots) < highWatermark(len(v.sponsors(life))) {
			delete(n.pending, life) // its sponsors are others now
		} else {
			p.answeredSlots = 1<<len(v.sponsors(life)) - 1
		}
	}
}

// ready are those that may come in, whom of the view they replace, and the latest view that any of them knew of.
func (n *Node) readyJoiners(out []uint32) (adds []Member, replaced []uint32, number uint64) {
	if len(n.pending) == 0 {
		return nil, nil, 0
	}
	names := map[string]bool{}
	all := make([]*pendingJoiner, 0, len(n.pending))
	for life, p := range n.pending {
		if n.now-p.answeredAt > joinTrialPeriod {
			delete(n.pending, life)
			continue
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pendingJoiner) int {
		return cmp.Or(-cmp.Compare(a.member.Incarnation, b.member.Incarnation), cmp.Compare(a.member.Life, b.member.Life))
	})
	var at map[netip.AddrPort]uint32
	for _, p := range all {
		m := p.member
		if names[m.Name] || len(adds) >= maxAddsPerChange || len(n.view.Members)+len(adds) >= maxMembers ||
			bits.OnesCount16(p.answeredSlots) < highWatermark(len(n.view.sponsors(m.Life))) {
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
		number = max(number, p.lastViewNumber)
	}
	slices.SortFunc(adds, func(a, b Member) int { return cmp.Compare(a.Life, b.Life) })
	return adds, replaced, number
}

// taken gives way to one that has this node's name.
func (n *Node) handleNameTaken(m *Message) {
	if n.phase != Seeking || m.NameHolder == nil || m.NameHolder.Name != n.self.Name || m.NameHolder.Life == n.self.Life {
		return
	}
	n.joining.pausedUntil, n.joining.foundableSince = n.now+nameConflictBackoff, 0
	if !n.joining.conflictReported {
		n.joining.conflictReported = true
		n.emit(Event{Kind: NameConflict, Member: *m.NameHolder, Detail: "another process has this name, and was first"})
	}
}

// removal is what is remembered of a name that was taken out for its silence.
type removalRecord struct {
	removedAt, readmitAt time.Duration
	times                int
	incarnation          uint64
}

// mostRemoved is how many such names a node remembers.
const maxRemovedNames = 8192

// remember books who was taken out. A name that is taken out again and again waits longer each time, so that a node
// that half of the others can't use does not come and go.
func (n *Node) recordRemovals(old, v *View) {
	if old == nil || old.FleetID != v.FleetID {
		return
	}
	for i := range old.Members {
		m := &old.Members[i]
		if _, still := v.byName[m.Name]; still || slices.Contains(n.detector.departed, uint32(i)) {
			continue
		}
		r := n.removed[m.Name]
		if r == nil {
			if len(n.removed) >= maxRemovedNames {
				n.forgetOldestRemoval()
			}
			r = &removalRecord{}
			n.removed[m.Name] = r
		}
		if n.now-r.removedAt > readmitBackoffReset {
			r.times = 0
		}
		r.removedAt, r.incarnation = n.now, m.Incarnation
		if r.times++; r.times > 1 {
			r.readmitAt = n.now + min(readmitBackoff<<min(r.times-2, 8), maxReadmitBackoff)
		}
	}
}

// forget drops the removal that is longest ago.
func (n *Node) forgetOldestRemoval() {
	oldest := ""
	for name, r := range n.removed {
		if o := n.removed[oldest]; o == nil || r.removedAt < o.removedAt || r.removedAt == o.removedAt && name < oldest {
			oldest = name
		}
	}
	delete(n.removed, oldest)
}

// lookForSeeds has the first few look whether seeds that are in no view are there: they may be about to found
// another fleet, or have done so.
func (n *Node) probeAbsentSeeds() {
	if n.now < n.nextSeedProbe {
		return
	}
	n.nextSeedProbe = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(seedProbeInterval))
	if !slices.Contains(n.proposers(3), n.index) {
		return
	}
	n.seedProbes++
	first := n.settings.founders()
	n.probeIfAbsent(first[n.seedProbes%len(first)])
	if rest := n.settings.Seeds[len(first):]; len(rest) > 0 {
		n.probeIfAbsent(rest[n.seedProbes%len(rest)])
	}
}

// lookFor probes a seed that is not in the view.
func (n *Node) probeIfAbsent(at netip.AddrPort) {
	if at == n.self.Addr || slices.ContainsFunc(n.view.Members, func(m Member) bool { return m.Addr == at }) {
		return
	}
	self := n.self
	n.send(at, &Message{Kind: Probe, Self: &self})
}

// foreign settles with another fleet of the same name: the one with the later view holds.
func (n *Node) handleForeignFleet(m *Message) {
	if m.ViewNumber < n.view.Number || m.ViewNumber == n.view.Number && m.FleetID < n.view.FleetID {
		if m.Kind == Probe { // so that it learns of this one
			self := n.self
			if to, ok := n.replyAddr(m); ok {
				n.send(to, &Message{Kind: Ack, Seq: m.Seq, Self: &self})
			}
		}
		return
	}
	to, ok := n.replyAddr(m)
	if !ok {
		return
	}
	n.emit(Event{Kind: ForeignFleet, Detail: "another fleet of this name has a later view"})
	n.startNewLife()
	n.joining.knownAddrs = []netip.AddrPort{to}
	n.joining.nextJoin, n.joining.viewSeenAt = n.now, n.now
}
