package leaselog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// Timeouts and limits of the steps of a founding.
const (
	minQueryTime          = 1500 * time.Millisecond // minimum time to find out whether a member knows voters
	answerTimeout         = 10 * time.Second        // for the chosen nodes to answer the query, and to draw an ID
	startTimeout          = 10 * time.Second        // for all chosen nodes to start
	foundingRetryInterval = 300 * time.Millisecond
	maxQueriesAtOnce      = 1024 // members queried at a time besides the chosen ones; the others follow in later attempts
)

// founding is the one-time creation of the fleet's log, run by this node.
type founding struct {
	id            uint64
	chosen        []string
	tokens        uint64
	step          int    // 0: query members, 1: collect voter IDs, 2: start the voters
	lastQueried   string // the last member, by name, that was queried in this round
	rounds        int    // completed rounds of querying all members
	stepStarted   time.Duration
	nextAttempt   time.Duration
	withoutVoters map[string]bool
	drawnIDs      map[string]uint64
	started       map[string]bool
	existing      *VoterSet // a voter set that a member knows already
	voters        VoterSet
	done          func(VoterSet, error)
}

// receiveVoterSet handles a member's reply with a voter set: one that exists already, or a confirmation that its
// voter started.
func (f *founding) receiveVoterSet(m *Message) {
	switch {
	case f.step == 2 && m.VoterSet.Founding == f.id:
		f.started[m.From] = true
	case f.step < 2:
		voters := m.VoterSet.clone()
		f.existing = &voters
	}
}

// FoundLog founds the fleet's log with the named voters, or with count voters chosen by site. Tokens are issued above
// the given one. It must be done once per fleet, and detects a log that exists already. done is called with the
// resulting voter set. An error that is returned at once means that nothing was started.
func (n *Node) FoundLog(now time.Duration, names []string, count int, tokens uint64, done func(VoterSet, error)) error {
	n.now = max(n.now, now)
	switch {
	case n.founding != nil:
		return Error("this node is already founding a log")
	case !n.inView:
		return Error("this node is not in the membership view")
	case len(names) == 0:
		if count < MinVoters || count > MaxVoters || count%2 == 0 {
			return fmt.Errorf("voter count is %d, want an odd number from %d to %d", count, MinVoters, MaxVoters)
		}
		names = chooseVoters(n.members, nil, count)
		if len(names) < count {
			return fmt.Errorf("voter count is %d, but the membership view has only %d nodes", count, len(names))
		}
	}
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if len(names) > MaxVoters || len(names)%2 == 0 {
		return fmt.Errorf("voter count is %d, want an odd number from %d to %d", len(names), MinVoters, MaxVoters)
	}
	for _, name := range names {
		if _, isMember := n.members[name]; !isMember {
			return fmt.Errorf("node %q is not in the membership view", name)
		}
	}
	n.founding = &founding{
		id: n.rng.Uint64() | 1, chosen: names, tokens: tokens, stepStarted: n.now, done: done,
		withoutVoters: map[string]bool{}, drawnIDs: map[string]uint64{}, started: map[string]bool{},
	}
	n.stepFounding()
	n.processPending()
	return nil
}

// finishFounding reports the result of the founding.
func (n *Node) finishFounding(err error) {
	f := n.founding
	n.founding = nil
	f.done(f.voters.clone(), err)
}

// stepFounding continues the founding that runs at this node, if any.
func (n *Node) stepFounding() {
	f := n.founding
	if f == nil || n.now < f.nextAttempt {
		return
	}
	f.nextAttempt = n.now + foundingRetryInterval
	if f.existing == nil && n.localRecord.Voters.Founding != 0 && n.localRecord.Voters.Founding != f.id {
		voters := n.localRecord.Voters.clone()
		f.existing = &voters
	}
	if f.existing != nil && f.step < 2 { // an earlier founding may have been interrupted: complete it
		for _, voter := range f.existing.Rows {
			voters := f.existing.clone()
			n.send(voter.Name, &Message{Kind: VotersKnown, VoterSet: &voters, StartVoter: true})
		}
		f.voters = *f.existing
		n.finishFounding(fmt.Errorf("the fleet has voters already: %s", f.existing.joinedNames()))
		return
	}
	elapsed := n.now - f.stepStarted
	switch f.step {
	case 0:
		n.queryExistingVoters(f, elapsed)
	case 1:
		n.collectIDs(f, elapsed)
	case 2:
		n.startVoters(f, elapsed)
	}
}

// nextStep starts the next step.
func (f *founding) nextStep(now time.Duration) {
	f.step, f.stepStarted, f.nextAttempt = f.step+1, now, now
}

// queryExistingVoters asks the members whether they know voters: the next ones at each attempt, and the chosen ones
// at every attempt. It ends once all have answered, or once all were queried, the minimum time has passed and the
// chosen ones have answered.
func (n *Node) queryExistingVoters(f *founding, elapsed time.Duration) {
	silent := slices.DeleteFunc(slices.Clone(f.chosen), func(member string) bool { return member == n.settings.Name || f.withoutVoters[member] })
	waiting := n.unansweredMembers(f)
	for _, name := range n.nextQueried(f, waiting, silent) {
		n.send(name, &Message{Kind: QueryVoters, Founding: f.id})
	}
	switch {
	case len(waiting)+len(silent) == 0 || f.rounds > 0 && elapsed >= minQueryTime && len(silent) == 0:
		f.nextStep(n.now)
	case elapsed >= answerTimeout:
		n.finishFounding(fmt.Errorf("no answer to the query for voters from %s; nothing was founded", strings.Join(silent, ", ")))
	}
}

// unansweredMembers returns the other members that have not reported that they know no voters, sorted by name.
func (n *Node) unansweredMembers(f *founding) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(n.members)), func(member string) bool { return member == n.settings.Name || f.withoutVoters[member] })
}

// nextQueried returns the members to query now: the next ones that have not answered, and those of the chosen
// ones.
func (n *Node) nextQueried(f *founding, waiting, chosen []string) []string {
	from, found := slices.BinarySearch(waiting, f.lastQueried)
	if found {
		from++
	}
	next := waiting[from:min(len(waiting), from+maxQueriesAtOnce)]
	if from+len(next) == len(waiting) {
		f.lastQueried, f.rounds = "", f.rounds+1
	} else {
		f.lastQueried = next[len(next)-1]
	}
	next = append(slices.Clone(next), chosen...)
	slices.Sort(next)
	return slices.Compact(next)
}

// collectIDs asks all chosen nodes to draw a voter ID.
func (n *Node) collectIDs(f *founding, elapsed time.Duration) {
	var silent []string
	for _, name := range f.chosen {
		if f.drawnIDs[name] == 0 {
			silent = append(silent, name)
			n.send(name, &Message{Kind: RequestID, Founding: f.id})
		}
	}
	switch {
	case len(silent) == 0:
		f.voters = VoterSet{Founding: f.id, Index: 1, Tokens: f.tokens}
		for _, name := range f.chosen {
			f.voters.Rows = append(f.voters.Rows, VoterInfo{ID: f.drawnIDs[name], Name: name, Site: n.members[name].Site, Addr: n.members[name].Addr})
		}
		f.nextStep(n.now)
	case elapsed >= answerTimeout:
		n.finishFounding(fmt.Errorf("no voter ID was drawn by %s; nothing was founded", strings.Join(silent, ", ")))
	}
}

// startVoters sends the complete voter set to all chosen nodes.
func (n *Node) startVoters(f *founding, elapsed time.Duration) {
	var silent []string
	for _, name := range f.chosen {
		if !f.started[name] {
			silent = append(silent, name)
			voters := f.voters.clone()
			n.send(name, &Message{Kind: VotersKnown, VoterSet: &voters, StartVoter: true, Founding: f.id})
		}
	}
	switch {
	case len(silent) == 0:
		n.finishFounding(nil)
	case elapsed >= startTimeout:
		n.finishFounding(fmt.Errorf("no confirmation of the start from %s; founding again continues from here", strings.Join(silent, ", ")))
	}
}

// joinedNames returns the voters' names, separated by commas.
func (s *VoterSet) joinedNames() string {
	var names []string
	for _, voter := range s.Rows {
		names = append(names, cmp.Or(voter.Name, "?"))
	}
	return strings.Join(names, ", ")
}

// initialSnapshot returns the encoded state of a log without entries.
func initialSnapshot(voters *VoterSet) []byte {
	snapshot := lease.NewStateMachine().Snapshot()
	snapshot.Tokens = voters.Tokens
	return appendSnapshot(nil, voters, &snapshot, maintenance.NewTable())
}
