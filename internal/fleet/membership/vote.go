package membership

import (
	"slices"
	"time"
)

// A ballot is a round in the upper half and, in the lower, one plus the proposer's rank. Every ballot begins with
// promises, the first one too: who cannot get them from a majority puts nothing to the vote, and no minority is
// left with something accepted that would have to be decided once the others are back.
func ballotNumber(round uint64, rank int) uint64 { return round<<32 | uint64(rank+1) }

// ballots is this node's part in the decision on the next view.
type paxosState struct {
	promisedBallot    uint64 // nothing below is accepted any more
	acceptedBallot    uint64 // the latest ballot in which this node accepted ...
	acceptedValue     uint64 // ... this
	current           Vote   // the latest ballot that is known; Ballot 0: none
	startedAt         time.Duration
	progressAt        time.Duration // when more was last heard of it
	proposals         map[uint64]*Proposal
	ownProposal       *Proposal // what this node puts to the vote, if it is free to choose
	rank              int       // of this node among those who propose
	decidedVote       *Vote     // what made this view, with ...
	decidedProposal   *Proposal
	announcementsLeft int // ... so many tellings left
	lastPull          time.Duration
}

// mostProposals is how many a node keeps of one view.
const maxProposals = 32

func (b *paxosState) reset(v *View, at uint32) {
	*b = paxosState{proposals: map[uint64]*Proposal{}, decidedVote: b.decidedVote, decidedProposal: b.decidedProposal, rank: slices.Index(v.proposerOrder, at)}
}

func (b *paxosState) addProposal(p *Proposal) uint64 {
	h := p.Hash()
	if len(b.proposals) < maxProposals || h == b.current.Value || h == b.acceptedValue {
		b.proposals[h] = p
	}
	return h
}

// propose opens a ballot where there is something to change and it is this node's turn.
func (n *Node) propose() {
	v := n.view
	out, clear := n.detector.removals(v, n.now)
	adds, replaced, number := n.readyJoiners(out)
	if len(out)+len(adds) == 0 {
		n.detector.removalDueSince = 0
		n.advanceBallot()
		return
	}
	if n.detector.removalDueSince == 0 {
		n.detector.removalDueSince = n.now
	}
	if !(clear && n.now-n.detector.changedAt >= proposeQuietPeriod) && n.now-n.detector.removalDueSince < maxProposeDelay {
		n.advanceBallot()
		return
	}
	if _, me := slices.BinarySearch(out, n.index); me && n.phase != Leaving {
		n.advanceBallot()
		return // it is for the others to say so
	}
	if !n.quorumReachable(out) || !n.mayOpenBallot(out) {
		n.advanceBallot()
		return
	}
	out = append(out, replaced...)
	slices.Sort(out)
	p := &Proposal{ViewNumber: v.Number, NextNumber: max(number, v.Number) + 1, Remove: slices.Compact(out), Add: adds}
	b := &n.ballots
	b.openBallot(Vote{ViewNumber: v.Number, Ballot: ballotNumber(b.current.Ballot>>32+1, b.rank), Promises: NewBitSet(len(v.Members))}, n.now)
	b.ownProposal = p
	n.advanceBallot()
}

func (b *paxosState) openBallot(v Vote, now time.Duration) {
	b.current, b.startedAt, b.progressAt = v, now, now
}

// carries tells whether those who would decide are enough, as far as is known here: votes that can't decide are spared.
// It is the promises that keep a minority from leaving something accepted behind.
func (n *Node) quorumReachable(out []uint32) bool {
	stay := 0
	for i := range uint32(len(n.view.Members)) {
		if _, goes := slices.BinarySearch(out, i); !goes && !n.isSilent(i) {
			stay++
		}
	}
	leave := 0 // they vote as well
	for _, i := range n.detector.departed {
		if !n.isSilent(i) {
			leave++
		}
	}
	return stay+leave >= n.view.majority()
}

// turn tells whether this node may open a ballot now: those before it in the order, who are not accused, come
// first, and a ballot that is open has its time.
func (n *Node) mayOpenBallot(out []uint32) bool {
	before := 0
	for _, i := range n.view.proposerOrder {
		if i == n.index {
			break
		}
		if _, gone := slices.BinarySearch(out, i); !gone && !n.isSilent(i) {
			before++
		}
	}
	wait := time.Duration(before) * proposerStagger
	if n.ballots.current.Ballot == 0 {
		return n.now-n.detector.removalDueSince >= proposeQuietPeriod+wait
	}
	return n.now-n.ballots.startedAt >= ballotTimeout+wait
}

// silent tells whether a member is accused and does not speak.
func (n *Node) isSilent(i uint32) bool {
	return n.detector.accused(n.view, i) && !n.detector.subjects[i].refutes(n.now)
}

// proposers are the first so many who would propose.
func (n *Node) proposers(most int) []uint32 {
	var all []uint32
	for _, i := range n.view.proposerOrder {
		if !n.isSilent(i) {
			if all = append(all, i); len(all) == most {
				break
			}
		}
	}
	return all
}

// hearVote takes the state of a decision and joins it with what is known here.
func (n *Node) mergeVote(m *Message) {
	x := m.Vote
	if n.view == nil || x.ViewNumber != n.view.Number || x.Ballot == 0 {
		return
	}
	if p := m.Proposal; p != nil && p.ViewNumber == x.ViewNumber {
		n.ballots.addProposal(p)
	}
	b, size := &n.ballots, len(NewBitSet(len(n.view.Members)))
	if x.Ballot < b.current.Ballot || x.Value == 0 && len(x.Promises) != size || x.Value != 0 && len(x.Accepts) != size {
		return
	}
	if x.Ballot > b.current.Ballot {
		b.openBallot(Vote{ViewNumber: x.ViewNumber, Ballot: x.Ballot, Promises: NewBitSet(len(n.view.Members))}, n.now)
	}
	c := &b.current
	if x.Value == 0 {
		if c.Value == 0 {
			if c.Promises.merge(x.Promises) {
				b.progressAt = n.now
			}
			if len(x.PromisersWithValue) == size { // it comes with the promises that it belongs to
				if c.PromisersWithValue == nil {
					c.PromisersWithValue = NewBitSet(len(n.view.Members))
				}
				c.PromisersWithValue.merge(x.PromisersWithValue)
			}
			if x.AcceptedBallot > c.AcceptedBallot {
				c.AcceptedBallot, c.AcceptedValue = x.AcceptedBallot, x.AcceptedValue
			}
		}
	} else {
		if c.Value == 0 {
			c.Value, c.Forced, c.Accepts = x.Value, x.Forced, NewBitSet(len(n.view.Members))
			b.progressAt = n.now
		}
		if c.Value != x.Value {
			return // two values in one ballot: not of this protocol
		}
		if c.Accepts.merge(x.Accepts) {
			b.progressAt = n.now
		}
	}
	if c.Value != 0 && b.proposals[c.Value] == nil && n.now-b.lastPull >= pullInterval {
		if to, ok := n.replyAddr(m); ok {
			b.lastPull = n.now
			n.stream(to, &Message{Kind: StateRequest, WantedHash: c.Value})
		}
	}
	n.advanceBallot()
}

// weigh does what the known state of the decision asks of this node: promise, choose, accept, decide.
func (n *Node) advanceBallot() {
	b, c := &n.ballots, &n.ballots.current
	if n.view == nil || c.Ballot == 0 {
		return
	}
	if c.Value == 0 && c.Ballot >= b.promisedBallot && !c.Promises.Has(n.index) {
		b.promisedBallot = c.Ballot
		c.Promises.set(n.index)
		if b.acceptedBallot != 0 {
			if c.PromisersWithValue == nil {
				c.PromisersWithValue = NewBitSet(len(n.view.Members))
			}
			c.PromisersWithValue.set(n.index)
		}
		if b.acceptedBallot > c.AcceptedBallot {
			c.AcceptedBallot, c.AcceptedValue = b.acceptedBallot, b.acceptedValue
		}
	}
	if c.Value == 0 && c.Ballot == ballotNumber(c.Ballot>>32, b.rank) && c.Promises.count() >= n.view.majority() {
		if c.AcceptedBallot != 0 && !c.provesUndecided(len(n.view.Members), n.view.majority()) {
			// What was accepted may have been decided. If nothing speaks for it here any more, a little later more
			// promises may show that it can't have been.
			if p := b.proposals[c.AcceptedValue]; p == nil || n.supportsProposal(p) || n.now-b.startedAt >= forceAfter {
				c.Value, c.Forced = c.AcceptedValue, true
			}
		} else if b.ownProposal != nil && n.supportsProposal(b.ownProposal) { // it may have been taken back since
			c.Value = b.addProposal(b.ownProposal)
		}
		if c.Value != 0 {
			c.Accepts = NewBitSet(len(n.view.Members))
		}
	}
	if c.Value == 0 {
		return
	}
	p := b.proposals[c.Value]
	if c.Ballot >= b.promisedBallot && !c.Accepts.Has(n.index) && p != nil && (c.Forced || n.supportsProposal(p)) {
		b.promisedBallot, b.acceptedBallot, b.acceptedValue = c.Ballot, c.Ballot, c.Value
		c.Accepts.set(n.index)
	}
	if p != nil && c.Accepts.count() >= n.view.majority() {
		n.applyDecision(p)
	}
}

// undecided tells whether nothing can have been decided in an earlier ballot: so many of those who have promised this one
// had accepted nothing, and will not in an earlier one any more, that the others are no majority.
func (v *Vote) provesUndecided(members, majority int) bool {
	return v.Promises.count()-v.PromisersWithValue.count() > members-majority
}

// agrees tells whether what this node knows speaks for a proposal. It says nothing against those that come in.
func (n *Node) supportsProposal(p *Proposal) bool {
	for _, i := range p.Remove {
		if int(i) >= len(n.view.Members) {
			return false
		}
		replaced := slices.ContainsFunc(p.Add, func(a Member) bool { return a.Addr == n.view.Members[i].Addr })
		if !replaced && !n.detector.supportsRemoval(n.view, i, n.now) {
			return false
		}
	}
	return true
}

// decided makes the next view.
func (n *Node) applyDecision(p *Proposal) {
	next, err := n.settings.NextView(n.view, p)
	if err != nil {
		return // nobody can make a view of it: a later ballot brings another
	}
	why := n.describeChange(p)
	last, old := n.ballots.current, n.view
	if last.Ballot == ballotNumber(last.Ballot>>32, n.ballots.rank) { // those who asked to go are told first
		for _, i := range n.detector.departed {
			if i != n.index && slices.Contains(p.Remove, i) {
				m := &Message{Kind: Gossip}
				m.Vote, m.Proposal = n.voteForMessage(last, p)
				n.send(old.Members[i].Addr, m)
			}
		}
	}
	n.ballots.decidedVote, n.ballots.decidedProposal = &last, p
	n.installView(next, why)
	if n.phase == Gone { // the others may not know yet
		for range 2 * n.settings.Fanout {
			if i := uint32(n.rng.IntN(len(old.Members))); i != n.index {
				m := &Message{Kind: Gossip}
				m.Vote, m.Proposal = n.voteForMessage(last, p)
				n.send(old.Members[i].Addr, m)
				m.FleetID, m.ViewNumber, m.Self = old.FleetID, old.Number, nil
			}
		}
	}
	if n.view == next {
		n.ballots.announcementsLeft = n.copiesPerItem()
	}
}
