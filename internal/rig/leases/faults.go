package leases

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"curlewring/internal/fleet/consensus"
)

// injectFault injects a random fault. With loseVoter it is the loss of a voter's disk, or an absence that is long
// enough for the voter to be replaced.
func (s *Sim) injectFault(loseVoter bool) {
	target := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := time.Duration((0.2 + 5*s.rng.Float64()) * float64(time.Second))
	voters, leader := s.voters()
	if len(voters) > 0 && s.rng.IntN(2) == 0 {
		target = voters[s.rng.IntN(len(voters))]
	}
	if leader == nil {
		leader = target
	}
	kind := s.rng.IntN(12)
	if loseVoter && len(voters) > 0 {
		target, kind = voters[s.rng.IntN(len(voters))], 12+s.rng.IntN(2)
	}
	switch kind {
	case 0:
		target = leader
		fallthrough
	case 1:
		s.crashFor(target, duration)
	case 2:
		leader.pause(duration)
	case 3:
		target.pause(duration)
	case 4:
		for _, n := range s.nodes { // every holder
			if n.holdsLease() {
				n.pause(duration)
			}
		}
	case 5:
		for _, n := range s.nodes {
			if n.holdsLease() {
				s.crashFor(n, duration)
			}
		}
	case 6:
		s.disturb(duration, conditions{lossProbability: 0.3 * s.rng.Float64(), duplicateProbability: 0.2})
	case 7:
		s.disturb(duration, conditions{maxExtraDelay: 4 * time.Second})
	case 8:
		split := s.rng.IntN(len(s.nodes))
		inFirstPart := func(n *node) bool { return slices.Index(s.nodes, n) < split }
		s.disturb(duration, conditions{isCut: func(from, to *node) bool { return inFirstPart(from) != inFirstPart(to) }})
	case 9: // a leader that cannot receive, or one that cannot send
		canReceive := s.rng.IntN(2) == 0
		s.disturb(duration, conditions{isCut: func(from, to *node) bool { return canReceive && from == leader || !canReceive && to == leader }})
	case 10:
		s.disturb(duration, conditions{maxSyncTime: 400 * time.Millisecond})
	case 11:
		for _, n := range voters {
			s.crashFor(n, duration+time.Duration(s.rng.Int64N(int64(time.Second))))
		}
	case 12:
		s.loseDisk(target, duration)
	case 13: // absent for so long that the voter is replaced
		s.crashFor(target, 5*time.Second+simReplaceAfter+duration)
	}
}

// holdsLease reports whether a client of the running process may access the resource.
func (n *node) holdsLease() bool {
	return !n.dead && slices.ContainsFunc(n.clients, func(x *leaseClient) bool { return x.client.MaxActDuration(n.clock()) > 0 })
}

// crashFor kills a process and restarts it after a while, or later if another fault keeps it down for longer.
func (s *Sim) crashFor(n *node, duration time.Duration) {
	n.kill()
	n.downUntil = max(n.downUntil, s.now+duration)
	s.after(duration, func() {
		if n.dead && s.now >= n.downUntil {
			n.start()
		}
	})
}

// loseDisk kills a node and restarts it later with an empty disk, or with the contents that its disk had two starts
// ago.
func (s *Sim) loseDisk(n *node, duration time.Duration) {
	if n.dead {
		return
	}
	const restartTime = 100 * time.Millisecond
	oldDisk, oldUserData := consensus.PersistentState{}, []byte(nil)
	if s.rng.IntN(2) == 0 {
		oldDisk, oldUserData = n.disk.Clone(), n.userData
	}
	duration += 1500 * time.Millisecond
	s.after(duration, func() { // before the process starts, whose event is scheduled later
		n.kill()
		n.disk, n.userData = oldDisk, oldUserData
	})
	if oldDisk.ID == 0 {
		s.crashFor(n, duration)
		return
	}
	s.crashFor(n, restartTime) // two starts before the old contents come back
	s.after(700*time.Millisecond, func() { s.crashFor(n, restartTime) })
	s.after(1400*time.Millisecond, func() { s.crashFor(n, duration-1400*time.Millisecond) })
}

// checkAccesses checks the record of the resource: accesses under different tokens must not overlap, tokens must not
// decrease, and a token must belong to one holder.
func (s *Sim) checkAccesses() {
	slices.SortStableFunc(s.Accesses, func(a, b Access) int { return int(a.start - b.start) })
	last := Access{}
	highest := uint64(0)
	for _, a := range s.Accesses {
		if a.start < last.end && a.token != last.token {
			s.Violations = append(s.Violations, fmt.Sprintf("%v: %s accesses the resource under token %d while %s does under token %d until %v", a.start, a.holder, a.token, last.holder, last.token, last.end))
		}
		if a.token < highest {
			s.Violations = append(s.Violations, fmt.Sprintf("%v: %s accesses the resource under token %d after token %d was used", a.start, a.holder, a.token, highest))
		}
		highest = max(highest, a.token)
		if a.end > last.end || a.token != last.token {
			last = a
		}
	}
	for i, a := range s.Accesses { // a token belongs to one holder
		for _, b := range s.Accesses[max(0, i-200):i] {
			if a.token == b.token && a.holder != b.holder {
				s.Violations = append(s.Violations, fmt.Sprintf("token %d is used by both %s and %s", a.token, b.holder, a.holder))
				return
			}
		}
	}
}

// allVotersUpToDate reports whether every voter runs under its ID and has nearly the whole log, so that one of the
// disks may be lost.
func (s *Sim) allVotersUpToDate(voters int) bool {
	violationsBefore := len(s.Violations)
	s.checkVoters(voters)
	violated := len(s.Violations) > violationsBefore
	s.Violations = s.Violations[:violationsBefore]
	_, leader := s.voters()
	if violated || leader == nil {
		return false
	}
	applied := leader.log.Status().Applied
	for _, row := range leader.log.Status().Seats.Rows {
		if status := s.nodesByName[row.Name].log.Status(); s.nodesByName[row.Name].dead || status.Applied+20 < applied {
			return false
		}
	}
	return true
}

// checkVoters checks that there are as many voters as the log was founded with, that each runs under the voter ID that
// the voter set gives it, and that no other node has a voter ID.
func (s *Sim) checkVoters(voters int) {
	current, leader := s.voters()
	if leader == nil || len(current) != voters {
		s.Violations = append(s.Violations, fmt.Sprintf("%d voters, want %d; there is a leader: %v", len(current), voters, leader != nil))
		return
	}
	seats := leader.log.Status().Seats
	for _, n := range s.nodes {
		status, id := n.log.Status(), uint64(0)
		for _, row := range seats.Rows {
			if row.Name == n.name {
				id = row.ID
			}
		}
		if id != 0 && status.ID != id || id == 0 && status.ID != 0 && status.Seats.Index < seats.Index {
			s.Violations = append(s.Violations, fmt.Sprintf("%s has voter ID %x, the voter set says %x", n.name, status.ID, id))
		}
	}
}

// RunSchedule runs one random schedule: a minute of faults, then 15 s without any, in which somebody must hold the
// lease again. It returns the first failure, or "" if there is none.
func RunSchedule(seed uint64, edit func(*Sim)) (*Sim, string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	voters := 3 + 2*rng.IntN(2)
	s := New(seed, voters+rng.IntN(5), voters)
	if edit != nil {
		edit(s)
	}
	s.run(8 * time.Second)
	founders, _ := s.voters()
	if len(founders) != voters {
		return s, fmt.Sprintf("%d of %d voters after 8 s", len(founders), voters)
	}
	// Two disks lost within the time that the replacement of one voter takes may be those of a majority.
	nextDiskLoss := 9*time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
	for s.now < time.Minute {
		s.run(s.now + time.Duration(rng.ExpFloat64()*float64(2*time.Second)))
		loseVoter := s.now >= nextDiskLoss && s.allVotersUpToDate(voters)
		if loseVoter {
			nextDiskLoss += 40 * time.Second
		}
		s.injectFault(loseVoter)
	}
	s.run(s.now + 7*time.Second) // until the last fault is over
	s.disturbances = nil
	for _, n := range s.nodes {
		if n.dead {
			n.start()
		}
	}
	accessesBefore := len(s.Accesses)
	s.run(s.now + 15*time.Second)
	s.checkAccesses()
	s.checkVoters(voters)
	if len(s.Violations) > 0 {
		return s, s.Violations[0]
	}
	if len(s.Accesses) == accessesBefore {
		return s, "nobody holds the lease 15 s after the last fault"
	}
	return s, ""
}
