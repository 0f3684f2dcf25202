package leaselog

import "time"

// Standing is what a node knows of the log and its voters, for operators.
type Status struct {
	Name     string
	Seats    VoterSet
	Voter    bool   // this node has a number
	ID       uint64 // that number
	Cleared  bool   // its voter has found that its disk is no older than it was
	Leader   string // as this node knows; "": none, or not told here
	Term     uint64
	Leads    bool
	Applied  uint64
	Hung     bool   // its disk has not ended a write for long
	Broken   string // why its voter can't go on
	Conflict bool   // another log of this fleet was met: two were founded
	// Settled: the voters that this node knows of are those that have the seats. While a seat changes hands the one that is out
	// still counts: the loss of one more voter may leave no majority.
	Settled bool
	Gone    []AbsentVoter // leader: nodes with seats that are out of the members' view
	Leases  int
}

// Absent is a node with a seat that is out of the view.
type AbsentVoter struct {
	Name   string
	For    time.Duration
	Within time.Duration // its seat goes to another then
}

// Mark is what of a standing is worth a look when it changes; it costs nothing to take.
type StatusSummary struct {
	IsLeader, DiskHung, Conflict bool
	ID, Index                    uint64 // this node's number, and the log's at the last change of seats
	Broken                       bool
}

// Mark is the present one.
func (c *Node) StatusSummary() StatusSummary {
	m := StatusSummary{IsLeader: c.IsLeader(), DiskHung: c.hung(), Conflict: c.conflict, Index: c.note.Seats.Index, Broken: c.broken != nil}
	if c.voter != nil {
		m.ID = c.voter.ID()
	}
	return m
}

// Standing tells what this node knows.
func (c *Node) Status() Status {
	s := Status{Name: c.set.Name, Seats: c.note.Seats.clone(), Conflict: c.conflict, Hung: c.hung(), Leader: c.leader}
	if c.broken != nil {
		s.Broken = c.broken.Error()
	}
	if c.voter == nil {
		return s
	}
	s.Voter, s.ID, s.Cleared, s.Applied = true, c.voter.ID(), c.voter.BootConfirmed(), c.voter.Applied()
	_, s.Term = c.voter.IsLeader()
	s.Leads = c.IsLeader()
	if !c.applies() {
		return s
	}
	s.Seats, s.Leases, s.Settled = c.seats.clone(), c.machine.Len(), c.agreed()
	s.Leader = c.nameOf(c.voter.Leader())
	for _, r := range c.seats.Rows {
		if d := c.since(r.Name); d > 0 {
			s.Gone = append(s.Gone, AbsentVoter{r.Name, d, max(0, c.set.ReplaceAfter-d)})
		}
	}
	return s
}

// Broken is why this node's voter can't go on until it is started from its disk again; nil: it can.
func (c *Node) Broken() error { return c.broken }
