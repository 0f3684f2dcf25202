package leaselog

import (
	"maps"
	"slices"
	"time"

	"curlewring/internal/fleet/consensus"
)

// seek finds out who votes, and says that this node's old disk is lost where it has a seat under another number.
func (c *Node) seek() {
	s := &c.note.Seats
	if c.now >= c.askSeats {
		every := askSeatsKnown
		if s.Founding == 0 {
			every = askSeatsUnknown
		}
		c.askSeats = c.now + every
		if to := c.somebody(); to != "" {
			c.send(to, &Message{Kind: QueryVoters})
		}
	}
	own, seated := s.of(c.set.Name)
	if !seated || c.hung() || c.broken != nil {
		return
	}
	if c.voter == nil && c.begin == nil && c.saving == nil || c.voter != nil && !c.applies() && c.note.Pledged != s.Founding {
		c.draw(s.Founding) // a seat, and no disk
		return
	}
	if c.voter != nil && c.voter.ID() != own.ID && c.now >= c.asNewcomer {
		c.asNewcomer = c.now + newcomerEvery
		for _, r := range s.Rows {
			if r.Name != c.set.Name {
				c.send(r.Name, &Message{Kind: ReplacementVoter, Founding: s.Founding, ID: c.voter.ID()})
			}
		}
	}
}

// somebody is whom to ask who votes: one who does, or any member.
func (c *Node) somebody() string {
	var names []string
	for _, r := range c.note.Seats.Rows {
		names = append(names, r.Name)
	}
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(c.members))
	}
	names = slices.DeleteFunc(names, func(n string) bool { return n == c.set.Name })
	if len(names) == 0 {
		return ""
	}
	return names[c.rng.IntN(len(names))]
}

// draw draws a number for a log, and starts a voter that knows nothing yet.
func (c *Node) draw(founding uint64) {
	c.note.Pledged = founding
	c.begin = &consensus.PersistentState{ID: c.rng.Uint64() | 1}
}

// seated takes who votes, as another knows it.
func (c *Node) seated(m *Message) {
	if f := c.founding; f != nil && m.Founding == f.id {
		f.heard(m)
	}
	c.learn(*m.VoterSet)
	if m.StartVoter {
		c.beginFrom(m)
		return
	}
	if m.Settled {
		c.leaveSeat()
	}
}

// agreed tells whether this node votes, and those who vote are those who have the seats.
func (c *Node) agreed() bool {
	if !c.applies() || c.seats.Index != c.note.Seats.Index {
		return false
	}
	voters := c.voter.Voters()
	out, in := differ(voters, c.seats.Rows)
	return out == 0 && in == 0 && len(voters) == len(c.seats.Rows)
}

// leaveSeat gives this voter's number up, as another has its seat by now and its voice too: until the voters have changed
// as the seats have, it counts among those of whom a majority must be there.
func (c *Node) leaveSeat() {
	if c.voter == nil || !c.applies() || c.note.Seats.Index <= c.seats.Index || c.note.Seats.Founding != c.seats.Founding {
		return
	}
	if _, has := c.note.Seats.by(c.voter.ID()); !has {
		c.seats = c.note.Seats.clone()
		c.giveUp()
	}
}

// beginFrom has a node that drew a number for this log start from its seats, unless it has.
func (c *Node) beginFrom(m *Message) {
	own, has := m.VoterSet.of(c.set.Name)
	if !has || m.VoterSet.Founding != c.note.Pledged || c.voter == nil || c.voter.ID() != own.ID {
		return
	}
	if !c.applies() && c.begin == nil {
		c.begin = first(m.VoterSet, own.ID)
	}
	if c.applies() {
		s := m.VoterSet.clone()
		c.send(m.From, &Message{Kind: VotersKnown, VoterSet: &s, Founding: m.Founding})
	}
}

// offered has this node draw a number, if it has no seat.
func (c *Node) offered(m *Message) {
	if c.applies() || c.broken != nil || c.note.Seats.Founding != 0 && c.note.Seats.Founding != m.Founding || c.begin != nil {
		return
	}
	if c.voter == nil || c.note.Pledged != m.Founding {
		c.draw(m.Founding)
		return // it is asked again, and answers then
	}
	c.send(m.From, &Message{Kind: IDOffered, Founding: m.Founding, ID: c.voter.ID()})
}

// accepted takes a number that was drawn for an offer.
func (c *Node) accepted(m *Message) {
	if f := c.founding; f != nil && m.Founding == f.id {
		f.drawn[m.From] = m.ID
	}
	if o := c.offers[m.From]; o != nil && m.Founding == c.seats.Founding {
		o.id = m.ID
	}
}

// settleSeats is the leader's: it brings the voters to the seats, and the seats to who is there, one at a time.
func (c *Node) settleSeats() {
	for _, s := range c.seats.Rows { // every tick, so that one look into the view that shows it starts anew
		if _, in := c.members[s.Name]; in || !c.inView {
			delete(c.absent, s.Name)
		} else if _, known := c.absent[s.Name]; !known {
			c.absent[s.Name] = c.now
		}
	}
	if c.now-c.decided < decideEvery || c.work != nil {
		return
	}
	c.decided = c.now
	voters := c.voter.Voters()
	if out, in := differ(voters, c.seats.Rows); out != 0 || in != 0 {
		if out != 0 && in != 0 && len(voters) == len(c.seats.Rows) {
			c.voter.Replace(out, in) // an error: a change is under way, and this is tried again
		}
		return
	}
	if !c.settled() {
		return
	}
	if x := c.nextChange(); x != nil {
		c.voter.Propose(appendEntry(nil, &entry{Level: level, Change: x})) // if it is lost, it is decided again
	}
}

// differ finds a voter without a seat and a seat without a voter; 0: there is none.
func differ(voters []uint64, rows []VoterInfo) (out, in uint64) {
	for _, id := range voters {
		if !slices.ContainsFunc(rows, func(s VoterInfo) bool { return s.ID == id }) {
			out = id
		}
	}
	for _, s := range rows {
		if !slices.Contains(voters, s.ID) {
			in = s.ID
		}
	}
	return out, in
}

// settled tells whether those who are there have what is agreed on: a newcomer that is still taking it in counts in each
// majority, and a second one would make a majority of voters that know nothing.
func (c *Node) settled() bool {
	there := 0
	for _, s := range c.seats.Rows {
		behind, heard := c.voter.Lag(s.ID)
		_, gone := c.absent[s.Name]
		n, lost := c.newcomers[s.Name]
		lost = lost && n.id != s.ID
		switch {
		case heard && behind <= uint64(mostItems):
			there++
		case !gone && !lost:
			return false
		}
	}
	return there >= c.seats.majority()
}

// nextChange is which seat goes to whom; nil: all stay.
func (c *Node) nextChange() *change {
	for _, s := range c.seats.Rows {
		n, ok := c.newcomers[s.Name]
		if !ok || n.id == s.ID || c.now-n.at > newcomerFor {
			delete(c.newcomers, s.Name)
			continue
		}
		return &change{Out: s.ID, In: VoterInfo{ID: n.id, Name: s.Name, Site: s.Site, Addr: s.Addr}}
	}
	for _, s := range c.seats.Rows {
		since, gone := c.absent[s.Name]
		if !gone || c.now-since < c.set.ReplaceAfter {
			continue
		}
		if x := c.successor(s); x != nil {
			return x
		}
	}
	return nil
}

// successor asks the node that is to have a seat, and says so once it has drawn a number.
func (c *Node) successor(gone VoterInfo) *change {
	rest := slices.DeleteFunc(slices.Clone(c.seats.Rows), func(s VoterInfo) bool { return s.ID == gone.ID })
	members := maps.Clone(c.members)
	for name, o := range c.offers {
		if o.id == 0 && c.now-o.at > offerFor {
			delete(members, name) // it does not answer; another is asked, and this one again if all don't
		}
	}
	names := choose(members, rest, 1)
	if len(names) == 0 {
		clear(c.offers)
		return nil
	}
	name := names[0]
	o := c.offers[name]
	if o == nil {
		o = &offer{at: c.now}
		c.offers[name] = o
	}
	if o.id != 0 {
		delete(c.offers, name)
		return &change{Out: gone.ID, In: VoterInfo{ID: o.id, Name: name, Site: c.members[name].Site, Addr: c.members[name].Addr}}
	}
	c.send(name, &Message{Kind: RequestID, Founding: c.seats.Founding})
	return nil
}

// stray gives up a voter that has no seat in what it has applied itself: it was replaced, and knows.
func (c *Node) stray() {
	if !c.applies() || c.seats.Founding == 0 {
		return
	}
	if _, has := c.seats.by(c.voter.ID()); !has && !slices.Contains(c.voter.Voters(), c.voter.ID()) {
		c.giveUp()
	}
}

// first is the disk of a voter that begins a log together with the others.
func first(s *VoterSet, id uint64) *consensus.PersistentState {
	var ids []uint64
	for _, r := range s.Rows {
		ids = append(ids, r.ID)
	}
	for _, d := range consensus.NewCluster(ids) {
		if d.ID == id {
			d.Snapshot.Data = emptyState(s)
			return &d
		}
	}
	return nil
}

// Since is for how long a node with a seat has been out of the members' view, as this node's leader counts; 0: it is there,
// or this node does not lead.
func (c *Node) since(name string) time.Duration {
	if at, gone := c.absent[name]; gone && c.IsLeader() {
		return c.now - at
	}
	return 0
}
