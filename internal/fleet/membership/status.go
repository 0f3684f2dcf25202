package membership

import "time"

// Status is a node's knowledge of the fleet, for operators. Its fields are JSON keys.
type Status struct {
	Self     Member
	Phase    Phase
	Root     uint64
	Number   uint64
	Majority int           // number of votes needed for a decision
	Speaking int           // members that are not accused, or refute
	Isolated bool          // this node has no contact with any member that it watches
	Stalls   int           // number of pauses of this process
	Stalled  time.Duration // time since the last pause; 0 if there was none
	Ballot   bool          // a ballot is in progress
	Members  []MemberStatus
	Gone     []RemovedMember // removed recently because they were silent
	Stats    Stats
}

// MemberStatus is a member as this node sees it. Its fields are JSON keys.
type MemberStatus struct {
	Member
	Watched   bool // by this node; Reachable, Heard, RTT and Loss are set only then
	Reachable bool
	Heard     time.Duration // time since the last contact; 0 if there was none
	RTT       time.Duration
	Loss      float64  // recent share of probe rounds without an answer
	Accusers  []string // names of the watchers that accuse it
	Watchers  int
	Speaks    bool // it has sent a refutation recently
	Leaving   bool
}

// RemovedMember is a name that was removed because it was silent. Its fields are JSON keys.
type RemovedMember struct {
	Name  string
	Ago   time.Duration
	Times int
	Wait  time.Duration // remaining time before it is admitted again
}

// Status returns what the node knows at time now.
func (n *Node) Status(now time.Duration) Status {
	s := Status{
		Self: n.self, Phase: n.phase, Isolated: n.isolated, Stalls: n.stalls, Stats: n.stats, Number: n.joining.lastViewNumber,
		Ballot: n.ballots.current.Ballot != 0 && now-n.ballots.progressAt < ballotTimeout,
	}
	if n.stalls > 0 {
		s.Stalled = now - n.lastStall
	}
	for name, removal := range n.removed {
		s.Gone = append(s.Gone, RemovedMember{name, now - removal.removedAt, removal.times, max(0, removal.readmitAt-now)})
	}
	if n.view == nil {
		return s
	}
	s.Root, s.Number, s.Majority = n.view.FleetID, n.view.Number, n.view.majority()
	for i := range n.view.Members {
		index := uint32(i)
		m := MemberStatus{Member: n.view.Members[i], Watchers: len(n.view.watchers[i])}
		if e := n.edges[index]; e != nil {
			m.Watched, m.Reachable, m.RTT, m.Loss = true, !e.accused, e.rtt, e.loss
			if e.lastContact > 0 {
				m.Heard = now - e.lastContact
			}
		}
		if state := n.detector.subjects[index]; state != nil {
			for _, a := range n.accusationsOf(index) {
				m.Accusers = append(m.Accusers, n.view.Members[n.view.watchers[i][a.WatcherSlot]].Name)
			}
			m.Speaks = state.refutes(now)
		}
		for _, departed := range n.detector.departed {
			m.Leaving = m.Leaving || departed == index
		}
		if !n.isSilent(index) {
			s.Speaking++
		}
		s.Members = append(s.Members, m)
	}
	return s
}
