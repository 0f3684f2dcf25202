package membership

import "time"

// Standing is what a node knows of all, for operators.
type Status struct {
	Self     Member
	Phase    Phase
	Root     uint64
	Number   uint64
	Majority int           // votes that decide
	Speaking int           // members not taken to be silent
	Isolated bool          // this node hears none of those that it watches
	Stalls   int           // times that it stood still
	Stalled  time.Duration // the last of these, ago; 0: never
	Ballot   bool          // a change is being voted on
	Members  []MemberStatus
	Gone     []RemovedMember // of late, for their silence
	Stats    Stats
}

// Seen is a member as a node sees it.
type MemberStatus struct {
	Member
	Watched   bool // by this node; what follows holds then
	Reachable bool
	Heard     time.Duration // the last contact, ago; 0: none yet
	RTT       time.Duration
	Loss      float64  // of late, of rounds of probes
	Accusers  []string // who has no contact with it
	Watchers  int
	Speaks    bool // it has lately said that it lives
	Leaving   bool
}

// Removed is a name that was taken out.
type RemovedMember struct {
	Name  string
	Ago   time.Duration
	Times int
	Wait  time.Duration // before it is let in again
}

// Standing tells what the node knows.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Self: n.self, Phase: n.phase, Isolated: n.isolated, Stalls: n.stalls, Stats: n.stats, Number: n.joining.lastViewNumber,
		Ballot: n.ballots.current.Ballot != 0 && now-n.ballots.progressAt < ballotTimeout,
	}
	if n.stalls > 0 {
		s.Stalled = now - n.lastStall
	}
	for name, r := range n.removed {
		s.Gone = append(s.Gone, RemovedMember{name, now - r.removedAt, r.times, max(0, r.readmitAt-now)})
	}
	if n.view == nil {
		return s
	}
	s.Root, s.Number, s.Majority = n.view.FleetID, n.view.Number, n.view.majority()
	for i := range n.view.Members {
		at := uint32(i)
		m := MemberStatus{Member: n.view.Members[i], Watchers: len(n.view.watchers[i])}
		if e := n.edges[at]; e != nil {
			m.Watched, m.Reachable, m.RTT, m.Loss = true, !e.accused, e.rtt, e.loss
			if e.lastContact > 0 {
				m.Heard = now - e.lastContact
			}
		}
		if r := n.detector.subjects[at]; r != nil {
			for _, a := range n.accusationsOf(at) {
				m.Accusers = append(m.Accusers, n.view.Members[n.view.watchers[i][a.WatcherSlot]].Name)
			}
			m.Speaks = r.refutes(now)
		}
		for _, l := range n.detector.departed {
			m.Leaving = m.Leaving || l == at
		}
		if !n.isSilent(at) {
			s.Speaking++
		}
		s.Members = append(s.Members, m)
	}
	return s
}
