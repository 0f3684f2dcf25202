package membership

import (
	"slices"
	"time"
)

// A ballot is a round in the upper half and, in the lower, one plus the proposer's rank. Every ballot begins with
// promises, the first one too: who cannot get them from a majority puts nothing to the vote, and no minority is
// left with something accepted that would have to be decided once the others are back.
func ballotOf(round uint64, rank int) uint64 { return round<<32 | uint64(rank+1) }

// ballots is this node's part in the decision on the next view.
type ballots struct {
	promised  uint64 // nothing below is accepted any more
	accepted  uint64 // the latest ballot in which this node accepted ...
	value     uint64 // ... this
	cur       Vote   // the latest ballot that is known; Ballot 0: none
	begun     time.Duration
	grown     time.Duration // when more was last heard of it
	proposals map[uint64]*Proposal
	wish      *Proposal // what this node puts to the vote, if it is free to choose
	rank      int       // of this node among those who propose
	last      *Vote     // what made this view, with ...
	made      *Proposal
	tell      int // ... so many tellings left
	asked     time.Duration
}

// mostProposals is how many a node keeps of one view.
const mostProposals = 32

func (b *ballots) begin(v *View, at uint32) {
	*b = ballots{proposals: map[uint64]*Proposal{}, last: b.last, made: b.made, rank: slices.Index(v.order, at)}
}

func (b *ballots) learn(p *Proposal) uint64 {
	h := p.Hash()
	if len(b.proposals) < mostProposals || h == b.cur.Value || h == b.value {
		b.proposals[h] = p
	}
	return h
}

// propose opens a ballot where there is something to change and it is this node's turn.
func (n *Node) propose() {
	v := n.view
	out, clear := n.cut.verdict(v, n.now)
	adds, replaced, number := n.ready(out)
	if len(out)+len(adds) == 0 {
		n.cut.ripe = 0
		n.weigh()
		return
	}
	if n.cut.ripe == 0 {
		n.cut.ripe = n.now
	}
	if !(clear && n.now-n.cut.changed >= steady) && n.now-n.cut.ripe < steadyMost {
		n.weigh()
		return
	}
	if _, me := slices.BinarySearch(out, n.at); me && n.phase != Leaving {
		n.weigh()
		return // it is for the others to say so
	}
	if !n.carries(out) || !n.turn(out) {
		n.weigh()
		return
	}
	out = append(out, replaced...)
	slices.Sort(out)
	p := &Proposal{ViewNumber: v.Number, NextNumber: max(number, v.Number) + 1, Remove: slices.Compact(out), Add: adds}
	b := &n.vote
	b.open(Vote{ViewNumber: v.Number, Ballot: ballotOf(b.cur.Ballot>>32+1, b.rank), Promises: NewBitSet(len(v.Members))}, n.now)
	b.wish = p
	n.weigh()
}

func (b *ballots) open(v Vote, now time.Duration) { b.cur, b.begun, b.grown = v, now, now }

// carries tells whether those who would decide are enough, as far as is known here: votes that can't decide are spared.
// It is the promises that keep a minority from leaving something accepted behind.
func (n *Node) carries(out []uint32) bool {
	stay := 0
	for i := range uint32(len(n.view.Members)) {
		if _, goes := slices.BinarySearch(out, i); !goes && !n.silent(i) {
			stay++
		}
	}
	leave := 0 // they vote as well
	for _, i := range n.cut.left {
		if !n.silent(i) {
			leave++
		}
	}
	return stay+leave >= n.view.majority()
}

// turn tells whether this node may open a ballot now: those before it in the order, who are not accused, come
// first, and a ballot that is open has its time.
func (n *Node) turn(out []uint32) bool {
	before := 0
	for _, i := range n.view.order {
		if i == n.at {
			break
		}
		if _, gone := slices.BinarySearch(out, i); !gone && !n.silent(i) {
			before++
		}
	}
	wait := time.Duration(before) * ballotWait
	if n.vote.cur.Ballot == 0 {
		return n.now-n.cut.ripe >= steady+wait
	}
	return n.now-n.vote.begun >= ballotLong+wait
}

// silent tells whether a member is accused and does not speak.
func (n *Node) silent(i uint32) bool { return n.cut.accused(n.view, i) && !n.cut.rows[i].speaks(n.now) }

// proposers are the first so many who would propose.
func (n *Node) proposers(most int) []uint32 {
	var all []uint32
	for _, i := range n.view.order {
		if !n.silent(i) {
			if all = append(all, i); len(all) == most {
				break
			}
		}
	}
	return all
}

// hearVote takes the state of a decision and joins it with what is known here.
func (n *Node) hearVote(m *Message) {
	x := m.Vote
	if n.view == nil || x.ViewNumber != n.view.Number || x.Ballot == 0 {
		return
	}
	if p := m.Proposal; p != nil && p.ViewNumber == x.ViewNumber {
		n.vote.learn(p)
	}
	b, size := &n.vote, len(NewBitSet(len(n.view.Members)))
	if x.Ballot < b.cur.Ballot || x.Value == 0 && len(x.Promises) != size || x.Value != 0 && len(x.Accepts) != size {
		return
	}
	if x.Ballot > b.cur.Ballot {
		b.open(Vote{ViewNumber: x.ViewNumber, Ballot: x.Ballot, Promises: NewBitSet(len(n.view.Members))}, n.now)
	}
	c := &b.cur
	if x.Value == 0 {
		if c.Value == 0 {
			if c.Promises.merge(x.Promises) {
				b.grown = n.now
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
			b.grown = n.now
		}
		if c.Value != x.Value {
			return // two values in one ballot: not of this protocol
		}
		if c.Accepts.merge(x.Accepts) {
			b.grown = n.now
		}
	}
	if c.Value != 0 && b.proposals[c.Value] == nil && n.now-b.asked >= pullEvery {
		if to, ok := n.addressOf(m); ok {
			b.asked = n.now
			n.stream(to, &Message{Kind: StateRequest, WantedHash: c.Value})
		}
	}
	n.weigh()
}

// weigh does what the known state of the decision asks of this node: promise, choose, accept, decide.
func (n *Node) weigh() {
	b, c := &n.vote, &n.vote.cur
	if n.view == nil || c.Ballot == 0 {
		return
	}
	if c.Value == 0 && c.Ballot >= b.promised && !c.Promises.Has(n.at) {
		b.promised = c.Ballot
		c.Promises.set(n.at)
		if b.accepted != 0 {
			if c.PromisersWithValue == nil {
				c.PromisersWithValue = NewBitSet(len(n.view.Members))
			}
			c.PromisersWithValue.set(n.at)
		}
		if b.accepted > c.AcceptedBallot {
			c.AcceptedBallot, c.AcceptedValue = b.accepted, b.value
		}
	}
	if c.Value == 0 && c.Ballot == ballotOf(c.Ballot>>32, b.rank) && c.Promises.count() >= n.view.majority() {
		if c.AcceptedBallot != 0 && !c.undecided(len(n.view.Members), n.view.majority()) {
			// What was accepted may have been decided. If nothing speaks for it here any more, a little later more
			// promises may show that it can't have been.
			if p := b.proposals[c.AcceptedValue]; p == nil || n.agrees(p) || n.now-b.begun >= forceAfter {
				c.Value, c.Forced = c.AcceptedValue, true
			}
		} else if b.wish != nil && n.agrees(b.wish) { // it may have been taken back since
			c.Value = b.learn(b.wish)
		}
		if c.Value != 0 {
			c.Accepts = NewBitSet(len(n.view.Members))
		}
	}
	if c.Value == 0 {
		return
	}
	p := b.proposals[c.Value]
	if c.Ballot >= b.promised && !c.Accepts.Has(n.at) && p != nil && (c.Forced || n.agrees(p)) {
		b.promised, b.accepted, b.value = c.Ballot, c.Ballot, c.Value
		c.Accepts.set(n.at)
	}
	if p != nil && c.Accepts.count() >= n.view.majority() {
		n.decided(p)
	}
}

// undecided tells whether nothing can have been decided in an earlier ballot: so many of those who have promised this one
// had accepted nothing, and will not in an earlier one any more, that the others are no majority.
func (v *Vote) undecided(members, majority int) bool {
	return v.Promises.count()-v.PromisersWithValue.count() > members-majority
}

// agrees tells whether what this node knows speaks for a proposal. It says nothing against those that come in.
func (n *Node) agrees(p *Proposal) bool {
	for _, i := range p.Remove {
		if int(i) >= len(n.view.Members) {
			return false
		}
		replaced := slices.ContainsFunc(p.Add, func(a Member) bool { return a.Addr == n.view.Members[i].Addr })
		if !replaced && !n.cut.supports(n.view, i, n.now) {
			return false
		}
	}
	return true
}

// decided makes the next view.
func (n *Node) decided(p *Proposal) {
	next, err := n.set.NextView(n.view, p)
	if err != nil {
		return // nobody can make a view of it: a later ballot brings another
	}
	why := n.reason(p)
	last, old := n.vote.cur, n.view
	if last.Ballot == ballotOf(last.Ballot>>32, n.vote.rank) { // those who asked to go are told first
		for _, i := range n.cut.left {
			if i != n.at && slices.Contains(p.Remove, i) {
				m := &Message{Kind: Gossip}
				m.Vote, m.Proposal = n.ballot(last, p)
				n.send(old.Members[i].Addr, m)
			}
		}
	}
	n.vote.last, n.vote.made = &last, p
	n.install(next, why)
	if n.phase == Gone { // the others may not know yet
		for range 2 * n.set.Fanout {
			if i := uint32(n.rng.IntN(len(old.Members))); i != n.at {
				m := &Message{Kind: Gossip}
				m.Vote, m.Proposal = n.ballot(last, p)
				n.send(old.Members[i].Addr, m)
				m.FleetID, m.ViewNumber, m.Self = old.FleetID, old.Number, nil
			}
		}
	}
	if n.view == next {
		n.vote.tell = n.copies()
	}
}
