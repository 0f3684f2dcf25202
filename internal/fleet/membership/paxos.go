package membership

import (
	"slices"
	"time"
)

// ballotNumber returns the number of a ballot: the round in the upper 32 bits, the proposer's rank
// plus one in the lower. Every ballot begins with the promise phase, also the first one. So a
// proposer that can't reach a majority puts no value to the vote, and no minority accepts a value
// that would have to be decided once the others are back.
func ballotNumber(round uint64, rank int) uint64 { return round<<32 | uint64(rank+1) }

// paxosState is this node's state as proposer and acceptor in the decision on the next view.
type paxosState struct {
	promisedBallot    uint64               // ballots below this are not accepted any more
	acceptedBallot    uint64               // latest ballot in which this node accepted a value
	acceptedValue     uint64               // the value accepted in that ballot
	current           Vote                 // latest known ballot; its Ballot is 0 if there is none
	startedAt         time.Duration        // of the current ballot, as known here
	progressAt        time.Duration        // when the current ballot last advanced
	proposals         map[uint64]*Proposal // by hash
	ownProposal       *Proposal            // proposed by this node if promises leave the choice to it
	rank              int                  // of this node in the proposer order
	decidedVote       *Vote                // the decision that led to the current view
	decidedProposal   *Proposal            // the proposal of decidedVote
	announcementsLeft int                  // gossip rounds that still carry decidedVote
	lastPull          time.Duration        // last request for a proposal
}

// maxProposals bounds the proposals kept for one view.
const maxProposals = 32

// reset prepares for the decision that follows view v, of which this node is member index.
func (b *paxosState) reset(v *View, index uint32) {
	*b = paxosState{proposals: map[uint64]*Proposal{}, decidedVote: b.decidedVote, decidedProposal: b.decidedProposal, rank: slices.Index(v.proposerOrder, index)}
}

// addProposal stores a proposal and returns its hash.
func (b *paxosState) addProposal(p *Proposal) uint64 {
	hash := p.Hash()
	if len(b.proposals) < maxProposals || hash == b.current.Value || hash == b.acceptedValue {
		b.proposals[hash] = p
	}
	return hash
}

// propose opens a ballot if the view should change and it is this node's turn to propose.
func (n *Node) propose() {
	v := n.view
	removed, clear := n.detector.removals(v, n.now)
	joiners, replaced, minNumber := n.readyJoiners(removed)
	if len(removed)+len(joiners) == 0 {
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
	if _, removesSelf := slices.BinarySearch(removed, n.index); removesSelf && n.phase != Leaving {
		n.advanceBallot()
		return // the other members decide on removing this node
	}
	if !n.quorumReachable(removed) || !n.mayOpenBallot(removed) {
		n.advanceBallot()
		return
	}
	removed = append(removed, replaced...)
	slices.Sort(removed)
	p := &Proposal{ViewNumber: v.Number, NextNumber: max(minNumber, v.Number) + 1, Remove: slices.Compact(removed), Add: joiners}
	b := &n.ballots
	b.openBallot(Vote{ViewNumber: v.Number, Ballot: ballotNumber(b.current.Ballot>>32+1, b.rank), Promises: NewBitSet(len(v.Members))}, n.now)
	b.ownProposal = p
	n.advanceBallot()
}

// openBallot makes v the current ballot.
func (b *paxosState) openBallot(v Vote, now time.Duration) {
	b.current, b.startedAt, b.progressAt = v, now, now
}

// quorumReachable reports whether enough members seem reachable to decide on removing the given
// ones. It saves ballots without prospect; safety rests on the promise phase alone.
func (n *Node) quorumReachable(removed []uint32) bool {
	staying := 0
	for i := range uint32(len(n.view.Members)) {
		if _, isRemoved := slices.BinarySearch(removed, i); !isRemoved && !n.isSilent(i) {
			staying++
		}
	}
	departing := 0 // departing members vote as well
	for _, i := range n.detector.departed {
		if !n.isSilent(i) {
			departing++
		}
	}
	return staying+departing >= n.view.majority()
}

// mayOpenBallot reports whether this node may open a ballot now. Proposers that are earlier in the
// order and not silent come first, and an open ballot has ballotTimeout to complete.
func (n *Node) mayOpenBallot(removed []uint32) bool {
	predecessors := 0
	for _, i := range n.view.proposerOrder {
		if i == n.index {
			break
		}
		if _, isRemoved := slices.BinarySearch(removed, i); !isRemoved && !n.isSilent(i) {
			predecessors++
		}
	}
	wait := time.Duration(predecessors) * proposerStagger
	if n.ballots.current.Ballot == 0 {
		return n.now-n.detector.removalDueSince >= proposeQuietPeriod+wait
	}
	return n.now-n.ballots.startedAt >= ballotTimeout+wait
}

// isSilent reports whether a member is accused and does not refute.
func (n *Node) isSilent(i uint32) bool {
	return n.detector.accused(n.view, i) && !n.detector.subjects[i].refutes(n.now)
}

// proposers returns the first members of the proposer order that are not silent, up to limit.
func (n *Node) proposers(limit int) []uint32 {
	var proposers []uint32
	for _, i := range n.view.proposerOrder {
		if !n.isSilent(i) {
			if proposers = append(proposers, i); len(proposers) == limit {
				break
			}
		}
	}
	return proposers
}

// mergeVote merges the ballot state of a message into the state known here.
func (n *Node) mergeVote(m *Message) {
	received := m.Vote
	if n.view == nil || received.ViewNumber != n.view.Number || received.Ballot == 0 {
		return
	}
	if p := m.Proposal; p != nil && p.ViewNumber == received.ViewNumber {
		n.ballots.addProposal(p)
	}
	b, size := &n.ballots, len(NewBitSet(len(n.view.Members)))
	if received.Ballot < b.current.Ballot || received.Value == 0 && len(received.Promises) != size || received.Value != 0 && len(received.Accepts) != size {
		return
	}
	if received.Ballot > b.current.Ballot {
		b.openBallot(Vote{ViewNumber: received.ViewNumber, Ballot: received.Ballot, Promises: NewBitSet(len(n.view.Members))}, n.now)
	}
	current := &b.current
	if received.Value == 0 {
		if current.Value == 0 {
			if current.Promises.merge(received.Promises) {
				b.progressAt = n.now
			}
			if len(received.PromisersWithValue) == size { // always sent together with Promises
				if current.PromisersWithValue == nil {
					current.PromisersWithValue = NewBitSet(len(n.view.Members))
				}
				current.PromisersWithValue.merge(received.PromisersWithValue)
			}
			if received.AcceptedBallot > current.AcceptedBallot {
				current.AcceptedBallot, current.AcceptedValue = received.AcceptedBallot, received.AcceptedValue
			}
		}
	} else {
		if current.Value == 0 {
			current.Value, current.Forced, current.Accepts = received.Value, received.Forced, NewBitSet(len(n.view.Members))
			b.progressAt = n.now
		}
		if current.Value != received.Value {
			return // two values in one ballot violate the protocol
		}
		if current.Accepts.merge(received.Accepts) {
			b.progressAt = n.now
		}
	}
	if current.Value != 0 && b.proposals[current.Value] == nil && n.now-b.lastPull >= pullInterval {
		if to, ok := n.replyAddr(m); ok {
			b.lastPull = n.now
			n.stream(to, &Message{Kind: StateRequest, WantedHash: current.Value})
		}
	}
	n.advanceBallot()
}

// advanceBallot performs the steps that the known ballot state requires of this node: promise,
// choose a value, accept, and apply a decision.
func (n *Node) advanceBallot() {
	b, current := &n.ballots, &n.ballots.current
	if n.view == nil || current.Ballot == 0 {
		return
	}
	if current.Value == 0 && current.Ballot >= b.promisedBallot && !current.Promises.Has(n.index) {
		b.promisedBallot = current.Ballot
		current.Promises.set(n.index)
		if b.acceptedBallot != 0 {
			if current.PromisersWithValue == nil {
				current.PromisersWithValue = NewBitSet(len(n.view.Members))
			}
			current.PromisersWithValue.set(n.index)
		}
		if b.acceptedBallot > current.AcceptedBallot {
			current.AcceptedBallot, current.AcceptedValue = b.acceptedBallot, b.acceptedValue
		}
	}
	if current.Value == 0 && current.Ballot == ballotNumber(current.Ballot>>32, b.rank) && current.Promises.count() >= n.view.majority() {
		if current.AcceptedBallot != 0 && !current.provesUndecided(len(n.view.Members), n.view.majority()) {
			// The accepted value may have been decided, so it must be proposed again. If this node's
			// information does not support it any more, wait up to forceAfter: further promises may
			// prove that it was not decided.
			if p := b.proposals[current.AcceptedValue]; p == nil || n.supportsProposal(p) || n.now-b.startedAt >= forceAfter {
				current.Value, current.Forced = current.AcceptedValue, true
			}
		} else if b.ownProposal != nil && n.supportsProposal(b.ownProposal) { // the alerts may have been withdrawn since
			current.Value = b.addProposal(b.ownProposal)
		}
		if current.Value != 0 {
			current.Accepts = NewBitSet(len(n.view.Members))
		}
	}
	if current.Value == 0 {
		return
	}
	p := b.proposals[current.Value]
	if current.Ballot >= b.promisedBallot && !current.Accepts.Has(n.index) && p != nil && (current.Forced || n.supportsProposal(p)) {
		b.promisedBallot, b.acceptedBallot, b.acceptedValue = current.Ballot, current.Ballot, current.Value
		current.Accepts.set(n.index)
	}
	if p != nil && current.Accepts.count() >= n.view.majority() {
		n.applyDecision(p)
	}
}

// provesUndecided reports whether the promises prove that no earlier ballot decided. Members that
// promised without having accepted a value will not accept one in an earlier ballot; if there are
// enough of them, the remaining members are not a majority.
func (v *Vote) provesUndecided(members, majority int) bool {
	return v.Promises.count()-v.PromisersWithValue.count() > members-majority
}

// supportsProposal reports whether this node's information supports the removals of a proposal. It
// never objects to joiners.
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

// applyDecision installs the view that results from a decided proposal.
func (n *Node) applyDecision(p *Proposal) {
	next, err := n.settings.NextView(n.view, p)
	if err != nil {
		return // no node can apply it; a later ballot decides on another one
	}
	description := n.describeChange(p)
	vote, oldView := n.ballots.current, n.view
	// The proposer notifies departing members first.
	if vote.Ballot == ballotNumber(vote.Ballot>>32, n.ballots.rank) {
		for _, i := range n.detector.departed {
			if i != n.index && slices.Contains(p.Remove, i) {
				m := &Message{Kind: Gossip}
				m.Vote, m.Proposal = n.voteForMessage(vote, p)
				n.send(oldView.Members[i].Addr, m)
			}
		}
	}
	n.ballots.decidedVote, n.ballots.decidedProposal = &vote, p
	n.installView(next, description)
	if n.phase == Gone { // the remaining members may not know the decision yet
		for range 2 * n.settings.Fanout {
			if i := uint32(n.rng.IntN(len(oldView.Members))); i != n.index {
				m := &Message{Kind: Gossip}
				m.Vote, m.Proposal = n.voteForMessage(vote, p)
				n.send(oldView.Members[i].Addr, m)
				m.FleetID, m.ViewNumber, m.Self = oldView.FleetID, oldView.Number, nil
			}
		}
	}
	if n.view == next {
		n.ballots.announcementsLeft = n.copiesPerItem()
	}
}
