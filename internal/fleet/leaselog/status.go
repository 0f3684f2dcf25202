package leaselog

import "time"

// Status is what a node knows of the log and its voters, for operators.
type Status struct {
	Name     string
	Seats    VoterSet
	Voter    bool   // this node has a voter ID
	ID       uint64 // that voter ID
	Cleared  bool   // the other voters confirmed that this voter's disk is not an older copy
	Leader   string // as this node knows; "": none or unknown
	Term     uint64
	Leads    bool
	Applied  uint64
	Hung     bool   // a disk write has been running for too long
	Broken   string // why the voter stopped
	Conflict bool   // another log of this fleet was seen: two were founded
	// Settled: raft's configuration matches the voter set that this node knows. While a voter is being replaced,
	// the old one still counts: the loss of one more voter may leave no majority.
	Settled bool
	Gone    []AbsentVoter // leader: voters that are missing from the membership view
	Leases  int
}

// AbsentVoter is a voter whose node is missing from the membership view.
type AbsentVoter struct {
	Name   string
	For    time.Duration
	Within time.Duration // time left until it is replaced
}

// StatusSummary holds the parts of the status whose changes are worth reporting. It is cheap to compute.
type StatusSummary struct {
	IsLeader, DiskHung, Conflict bool
	ID, Index                    uint64 // this node's voter ID, and the log index of the last change of the voter set
	Broken                       bool
}

// StatusSummary returns the current summary.
func (n *Node) StatusSummary() StatusSummary {
	summary := StatusSummary{IsLeader: n.IsLeader(), DiskHung: n.diskHung(), Conflict: n.foundingConflict, Index: n.localRecord.Voters.Index, Broken: n.brokenErr != nil}
	if n.voter != nil {
		summary.ID = n.voter.ID()
	}
	return summary
}

// Status returns what this node knows.
func (n *Node) Status() Status {
	status := Status{Name: n.settings.Name, Seats: n.localRecord.Voters.clone(), Conflict: n.foundingConflict, Hung: n.diskHung(), Leader: n.lastLeader}
	if n.brokenErr != nil {
		status.Broken = n.brokenErr.Error()
	}
	if n.voter == nil {
		return status
	}
	status.Voter, status.ID, status.Cleared, status.Applied = true, n.voter.ID(), n.voter.BootConfirmed(), n.voter.Applied()
	_, status.Term = n.voter.IsLeader()
	status.Leads = n.IsLeader()
	if !n.hasAppliedState() {
		return status
	}
	status.Seats, status.Leases, status.Settled = n.voters.clone(), n.stateMachine.Len(), n.votersSettled()
	status.Leader = n.nodeName(n.voter.Leader())
	for _, voter := range n.voters.Rows {
		if absence := n.absentFor(voter.Name); absence > 0 {
			status.Gone = append(status.Gone, AbsentVoter{voter.Name, absence, max(0, n.settings.ReplaceAfter-absence)})
		}
	}
	return status
}

// Broken returns why this node's voter stopped, until it is restarted from its disk; nil if it works.
func (n *Node) Broken() error { return n.brokenErr }
