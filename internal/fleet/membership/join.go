package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

// joinState is the state of a node that is not in a view.
type joinState struct {
	lastViewNumber   uint64             // highest view number known to this node or the seeds it heard from
	knownAddrs       []netip.AddrPort   // nodes that may be in a view
	nextJoin         time.Duration      // time of the next join attempt
	interval         time.Duration      // between join attempts, with backoff
	viewSeenAt       time.Duration      // when it last learned of a view; 0 if never
	foundableSince   time.Duration      // time since which the conditions to found the fleet hold; 0 if they don't
	seedReports      map[int]seedReport // by index of the founder
	pausedUntil      time.Duration      // set while another process has this node's name
	conflictReported bool
}

// seedReport is the content of the last Join received from another founder that has no view.
type seedReport struct {
	receivedAt time.Duration
	lowestSeed uint32
}

// reset starts joining anew, with the first attempt at a random time.
func (s *joinState) reset(n *Node) {
	s.interval = joinInterval
	s.nextJoin = n.now + time.Duration(n.rng.Float64()*float64(joinInterval))
	s.viewSeenAt, s.foundableSince, s.seedReports = 0, 0, map[int]seedReport{}
}

// tick sends join requests when they are due, or founds the fleet if that is up to this node.
func (s *joinState) tick(n *Node) {
	if n.now < s.pausedUntil {
		return
	}
	ownIndex := slices.Index(n.settings.founders(), n.self.Addr)
	lowest := s.lowestSeed(n, ownIndex)
	if ownIndex >= 0 && s.tryFound(n, ownIndex, lowest) {
		return
	}
	if n.now < s.nextJoin {
		return
	}
	to := s.pickSeeds(n, ownIndex >= 0)
	for range min(2, len(s.knownAddrs)) {
		if addr := s.knownAddrs[n.rng.IntN(len(s.knownAddrs))]; addr != n.self.Addr && !slices.Contains(to, addr) {
			to = append(to, addr)
		}
	}
	for _, addr := range to {
		n.send(addr, &Message{Kind: Join, LowestSeed: lowest})
	}
	if ownIndex < 0 || s.viewSeenAt > 0 {
		s.interval = min(s.interval*3/2, maxJoinInterval)
	}
	s.nextJoin = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(s.interval))
}

// pickSeeds returns random seeds for a join attempt. A founder contacts mostly other founders, since
// they must hear from each other within seedReportLifetime, and at most one further seed. Other
// nodes contact as many further seeds as founders.
func (s *joinState) pickSeeds(n *Node, founder bool) []netip.AddrPort {
	founders, others := n.settings.founders(), n.settings.Seeds[len(n.settings.founders()):]
	fromOthers := min(maxSeedsPerJoin/2, len(others))
	if founder {
		fromOthers = min(1, len(others))
	}
	to := n.appendRandomSeeds(nil, founders, maxSeedsPerJoin-fromOthers)
	return n.appendRandomSeeds(to, others, fromOthers)
}

// appendRandomSeeds appends up to limit random seeds other than this node.
func (n *Node) appendRandomSeeds(to, seeds []netip.AddrPort, limit int) []netip.AddrPort {
	for _, i := range n.rng.Perm(len(seeds)) {
		if limit == 0 {
			break
		}
		if seeds[i] != n.self.Addr {
			to = append(to, seeds[i])
			limit--
		}
	}
	return to
}

// founders returns the seeds that may found the fleet. Their number is bounded, since each must hear
// from a majority of them within seedReportLifetime.
func (s *Settings) founders() []netip.AddrPort { return s.Seeds[:min(len(s.Seeds), maxFounders)] }

// lowestSeed returns the position, from 1, of the first founder without a view that this node has
// heard from recently; itself if it comes first, and 0 if there is none.
func (s *joinState) lowestSeed(n *Node, ownIndex int) uint32 {
	for i := range n.settings.founders() {
		if i == ownIndex {
			return uint32(i) + 1
		}
		if report, ok := s.seedReports[i]; ok && n.now-report.receivedAt < seedReportLifetime {
			return uint32(i) + 1
		}
	}
	return 0
}

// tryFound founds the fleet if, for foundStablePeriod, a majority of the founders have no view and
// report this node as the first founder they hear from.
func (s *joinState) tryFound(n *Node, ownIndex int, lowest uint32) bool {
	agreeing := 1
	for i, report := range s.seedReports {
		if i != ownIndex && n.now-report.receivedAt < seedReportLifetime && report.lowestSeed == uint32(ownIndex)+1 {
			agreeing++
		}
	}
	if lowest != uint32(ownIndex)+1 || agreeing < len(n.settings.founders())/2+1 || n.now-n.started < foundMinUptime || s.viewSeenAt > 0 && n.now-s.viewSeenAt < 2*maxJoinInterval {
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

// noteView records a view without this node: the fleet exists, and its members can be asked.
func (s *joinState) noteView(n *Node, v *View) {
	s.lastViewNumber = max(s.lastViewNumber, v.Number)
	s.knownAddrs = n.randomAddrs(v, 8)
	if s.viewSeenAt == 0 {
		s.nextJoin, s.interval = n.now, joinInterval
	}
	s.viewSeenAt = n.now
}

// handleJoin handles a join request: it asks the sponsors to probe the joiner.
func (n *Node) handleJoin(m *Message) {
	joiner := m.Self
	if joiner == nil || joiner.Life != m.SenderLife || joiner.Check() != nil {
		return
	}
	if n.view == nil {
		if i := slices.Index(n.settings.founders(), joiner.Addr); i >= 0 && n.phase == Seeking {
			n.joining.seedReports[i] = seedReport{n.now, m.LowestSeed}
			n.joining.lastViewNumber = max(n.joining.lastViewNumber, m.ViewNumber)
		}
		return
	}
	self := n.self
	if i, ok := n.view.IndexOfName(joiner.Name); ok {
		holder := n.view.Members[i]
		if holder.Life == joiner.Life { // it is a member and does not know yet: it requests the view on any message
			n.send(joiner.Addr, &Message{Kind: Gossip, Self: &self})
			return
		}
		if holder.Addr != joiner.Addr {
			if !n.isSilent(i) {
				n.send(joiner.Addr, &Message{Kind: NameTaken, NameHolder: &holder, Self: &self})
			}
			return
		}
		n.recordDeparture(Departure{Member: i, Ended: true})
	}
	if removal := n.removed[joiner.Name]; removal != nil && n.now < removal.readmitAt {
		return
	}
	for slot, sponsor := range n.view.sponsors(joiner.Life) {
		candidate := Joiner{*joiner, uint32(slot), m.ViewNumber}
		if sponsor == n.index {
			n.startTrial(candidate)
		} else {
			n.send(n.view.Members[sponsor].Addr, &Message{Kind: ProbeJoiner, Joiners: []Joiner{candidate}})
		}
	}
}

// joinTrial is a joining life that this node probes as one of its sponsors.
type joinTrial struct {
	Joiner
	endsAt, nextProbe time.Duration
	seqs              [4]uint64
	probesSent        int
	answered          bool
}

// handleProbeJoiner starts probing a joiner if this node is its sponsor.
func (n *Node) handleProbeJoiner(m *Message) {
	if n.view == nil || m.FleetID != n.view.FleetID || len(m.Joiners) != 1 {
		return
	}
	joiner := m.Joiners[0]
	if joiner.Member.Check() != nil {
		return
	}
	if sponsors := n.view.sponsors(joiner.Member.Life); int(joiner.SponsorSlot) < len(sponsors) && sponsors[joiner.SponsorSlot] == n.index {
		n.startTrial(joiner)
	}
}

// startTrial starts probing a joiner, or extends the trial in progress.
func (n *Node) startTrial(joiner Joiner) {
	trial := n.trials[joiner.Member.Life]
	if trial == nil {
		if len(n.trials) >= maxPendingJoiners {
			return
		}
		trial = &joinTrial{Joiner: joiner, nextProbe: n.now}
		n.trials[joiner.Member.Life] = trial
	}
	trial.SponsorSlot, trial.LastViewNumber, trial.endsAt = joiner.SponsorSlot, joiner.LastViewNumber, n.now+joinTrialPeriod
}

// probeJoiners sends the probes that are due to joiners, in ascending order of their lives.
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
		trial := n.trials[life]
		if _, in := n.view.IndexOfLife(life); in || n.now >= trial.endsAt {
			delete(n.trials, life)
			continue
		}
		if n.now < trial.nextProbe {
			continue
		}
		trial.nextProbe = n.now + n.settings.ProbeRetryInterval
		if trial.answered {
			trial.nextProbe = n.now + n.settings.ProbeInterval
		}
		n.seq++
		trial.seqs[trial.probesSent%len(trial.seqs)] = n.seq
		trial.probesSent++
		self := n.self
		n.send(trial.Member.Addr, &Message{Kind: Probe, Seq: n.seq, Self: &self})
	}
}

// handleTrialAck handles a joiner's answer to a probe and reports it to the proposers.
func (n *Node) handleTrialAck(trial *joinTrial, seq uint64) {
	if n.view == nil || !slices.Contains(trial.seqs[:], seq) || seq == 0 {
		return
	}
	trial.answered = true
	joiners := []Joiner{trial.Joiner}
	for _, i := range n.proposers(3) {
		if i == n.index {
			n.recordJoinerAnswer(joiners[0])
		} else {
			n.send(n.view.Members[i].Addr, &Message{Kind: JoinerAnswered, Joiners: joiners})
		}
	}
}

// pendingJoiner is a joining life and the sponsors that it has answered.
type pendingJoiner struct {
	member         Member
	answeredSlots  uint32        // bit set of sponsor slots, maxSponsors at most
	answeredAt     time.Duration // last answer
	lastViewNumber uint64        // highest view number that it knew
}

// handleJoinerAnswered records the reports of sponsors.
func (n *Node) handleJoinerAnswered(m *Message) {
	if n.view == nil || m.FleetID != n.view.FleetID || m.ViewNumber != n.view.Number {
		return
	}
	for _, joiner := range m.Joiners {
		if joiner.Member.Check() == nil {
			n.recordJoinerAnswer(joiner)
		}
	}
}

// recordJoinerAnswer records that a joiner answered one of its sponsors. It ignores slots that no
// sponsor has.
func (n *Node) recordJoinerAnswer(joiner Joiner) {
	if joiner.SponsorSlot >= maxSponsors {
		return
	}
	if _, in := n.view.IndexOfLife(joiner.Member.Life); in {
		return
	}
	p := n.pending[joiner.Member.Life]
	if p == nil {
		if len(n.pending) >= maxPendingJoiners {
			return
		}
		p = &pendingJoiner{member: joiner.Member}
		n.pending[joiner.Member.Life] = p
	}
	p.answeredAt, p.lastViewNumber = n.now, max(p.lastViewNumber, joiner.LastViewNumber)
	if p.answeredSlots&(1<<joiner.SponsorSlot) == 0 {
		p.answeredSlots |= 1 << joiner.SponsorSlot
		n.detector.changedAt = n.now
	}
}

// prunePending drops the joiners that are members of the new view or were not yet ready for
// admission. The others stay ready although their sponsors may have changed.
func (n *Node) prunePending(v *View) {
	for life, p := range n.pending {
		if _, in := v.IndexOfLife(life); in {
			delete(n.pending, life)
		} else if bits.OnesCount32(p.answeredSlots) < highWatermark(len(v.sponsors(life))) {
			delete(n.pending, life) // it has other sponsors in the new view and must answer them
		} else {
			p.answeredSlots = 1<<len(v.sponsors(life)) - 1
		}
	}
}

// readyJoiners returns the joiners to admit along with the given removals, the members that they
// replace, and the highest view number that any of them knew.
func (n *Node) readyJoiners(removed []uint32) (adds []Member, replaced []uint32, maxViewNumber uint64) {
	if len(n.pending) == 0 {
		return nil, nil, 0
	}
	usedNames := map[string]bool{}
	candidates := make([]*pendingJoiner, 0, len(n.pending))
	for life, p := range n.pending {
		if n.now-p.answeredAt > joinTrialPeriod {
			delete(n.pending, life)
			continue
		}
		candidates = append(candidates, p)
	}
	slices.SortFunc(candidates, func(a, b *pendingJoiner) int {
		return cmp.Or(-cmp.Compare(a.member.Incarnation, b.member.Incarnation), cmp.Compare(a.member.Life, b.member.Life))
	})
	var indexOfAddr map[netip.AddrPort]uint32
	for _, p := range candidates {
		m := p.member
		if usedNames[m.Name] || len(adds) >= maxAddsPerChange || len(n.view.Members)+len(adds) >= maxMembers ||
			bits.OnesCount32(p.answeredSlots) < highWatermark(len(n.view.sponsors(m.Life))) {
			continue
		}
		if i, ok := n.view.IndexOfName(m.Name); ok {
			holder := &n.view.Members[i]
			if _, isRemoved := slices.BinarySearch(removed, i); holder.Addr != m.Addr && !isRemoved {
				continue
			}
			m.Incarnation = max(m.Incarnation, holder.Incarnation+1)
		}
		if indexOfAddr == nil {
			indexOfAddr = make(map[netip.AddrPort]uint32, len(n.view.Members))
			for i := range n.view.Members {
				indexOfAddr[n.view.Members[i].Addr] = uint32(i)
			}
		}
		if i, ok := indexOfAddr[m.Addr]; ok { // the previous user of this address has ended
			replaced = append(replaced, i)
		}
		if removal := n.removed[m.Name]; removal != nil {
			m.Incarnation = max(m.Incarnation, removal.incarnation+1)
		}
		usedNames[m.Name] = true
		adds = append(adds, m)
		maxViewNumber = max(maxViewNumber, p.lastViewNumber)
	}
	slices.SortFunc(adds, func(a, b Member) int { return cmp.Compare(a.Life, b.Life) })
	return adds, replaced, maxViewNumber
}

// handleNameTaken pauses joining because another process has this node's name.
func (n *Node) handleNameTaken(m *Message) {
	if n.phase != Seeking || m.NameHolder == nil || m.NameHolder.Name != n.self.Name || m.NameHolder.Life == n.self.Life {
		return
	}
	n.joining.pausedUntil, n.joining.foundableSince = n.now+nameConflictBackoff, 0
	if !n.joining.conflictReported {
		n.joining.conflictReported = true
		n.emit(Event{Kind: NameConflict, Member: *m.NameHolder, Detail: "another process already uses this name"})
	}
}

// removalRecord is the record of a name that was removed because it was silent.
type removalRecord struct {
	removedAt, readmitAt time.Duration
	times                int // removals without a break of readmitBackoffReset
	incarnation          uint64
}

// maxRemovedNames bounds the removal records of a node.
const maxRemovedNames = 8192

// recordRemovals records the members of the old view that the new one lacks, without those that
// left. A name that is removed repeatedly waits longer each time before it is admitted again, so
// that a node that half of the others can't reach does not flap.
func (n *Node) recordRemovals(oldView, newView *View) {
	if oldView == nil || oldView.FleetID != newView.FleetID {
		return
	}
	for i := range oldView.Members {
		m := &oldView.Members[i]
		if _, still := newView.byName[m.Name]; still || slices.Contains(n.detector.departed, uint32(i)) {
			continue
		}
		record := n.removed[m.Name]
		if record == nil {
			if len(n.removed) >= maxRemovedNames {
				n.forgetOldestRemoval()
			}
			record = &removalRecord{}
			n.removed[m.Name] = record
		}
		if n.now-record.removedAt > readmitBackoffReset {
			record.times = 0
		}
		record.removedAt, record.incarnation = n.now, m.Incarnation
		if record.times++; record.times > 1 {
			record.readmitAt = n.now + min(readmitBackoff<<min(record.times-2, 8), maxReadmitBackoff)
		}
	}
}

// forgetOldestRemoval drops the oldest removal record.
func (n *Node) forgetOldestRemoval() {
	oldest := ""
	for name, record := range n.removed {
		if current := n.removed[oldest]; current == nil || record.removedAt < current.removedAt || record.removedAt == current.removedAt && name < oldest {
			oldest = name
		}
	}
	delete(n.removed, oldest)
}

// probeAbsentSeeds probes seeds that are not in the view, if this node is one of the first
// proposers: such seeds may be about to found another fleet, or have done so.
func (n *Node) probeAbsentSeeds() {
	if n.now < n.nextSeedProbe {
		return
	}
	n.nextSeedProbe = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(seedProbeInterval))
	if !slices.Contains(n.proposers(3), n.index) {
		return
	}
	n.seedProbes++
	founders := n.settings.founders()
	n.probeIfAbsent(founders[n.seedProbes%len(founders)])
	if others := n.settings.Seeds[len(founders):]; len(others) > 0 {
		n.probeIfAbsent(others[n.seedProbes%len(others)])
	}
}

// probeIfAbsent probes a seed unless it is in the view.
func (n *Node) probeIfAbsent(addr netip.AddrPort) {
	if addr == n.self.Addr || slices.ContainsFunc(n.view.Members, func(m Member) bool { return m.Addr == addr }) {
		return
	}
	self := n.self
	n.send(addr, &Message{Kind: Probe, Self: &self})
}

// handleForeignFleet resolves a conflict with another fleet of the same name: the fleet with the
// higher view number wins, and on a tie the one with the higher ID.
func (n *Node) handleForeignFleet(m *Message) {
	if m.ViewNumber < n.view.Number || m.ViewNumber == n.view.Number && m.FleetID < n.view.FleetID {
		if m.Kind == Probe { // lets the prober learn of this fleet
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
	n.emit(Event{Kind: ForeignFleet, Detail: "another fleet of the same name has a later view"})
	n.startNewLife()
	n.joining.knownAddrs = []netip.AddrPort{to}
	n.joining.nextJoin, n.joining.viewSeenAt = n.now, n.now
}
