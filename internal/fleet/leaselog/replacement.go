package leaselog

import (
	"maps"
	"slices"
	"time"

	"curlewring/internal/fleet/consensus"
)

// discoverVoters queries the known voters from time to time. If this node is in the voter set without the voter's
// disk, it draws a new ID and reports it to the other voters.
func (n *Node) discoverVoters() {
	voters := &n.localRecord.Voters
	if n.now >= n.nextVoterQuery {
		interval := voterQueryIntervalKnown
		if voters.Founding == 0 {
			interval = voterQueryIntervalUnknown
		}
		n.nextVoterQuery = n.now + interval
		if target := n.queryTarget(); target != "" {
			n.send(target, &Message{Kind: QueryVoters})
		}
	}
	own, isVoter := voters.byName(n.settings.Name)
	if !isVoter || n.diskHung() || n.brokenErr != nil {
		return
	}
	if n.voter == nil && n.newState == nil && n.pendingSave == nil || n.voter != nil && !n.hasAppliedState() && n.localRecord.IDFounding != voters.Founding {
		n.drawID(voters.Founding) // in the voter set, but its disk was lost
		return
	}
	if n.voter != nil && n.voter.ID() != own.ID && n.now >= n.nextLossReport {
		n.nextLossReport = n.now + lossReportInterval
		for _, voter := range voters.Rows {
			if voter.Name != n.settings.Name {
				n.send(voter.Name, &Message{Kind: ReplacementVoter, Founding: voters.Founding, ID: n.voter.ID()})
			}
		}
	}
}

// queryTarget returns a random voter to query, or any member if no voters are known.
func (n *Node) queryTarget() string {
	var names []string
	for _, voter := range n.localRecord.Voters.Rows {
		names = append(names, voter.Name)
	}
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(n.members))
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == n.settings.Name })
	if len(names) == 0 {
		return ""
	}
	return names[n.rng.IntN(len(names))]
}

// drawID draws a voter ID for a log, and prepares an empty voter.
func (n *Node) drawID(founding uint64) {
	n.localRecord.IDFounding = founding
	n.newState = &consensus.PersistentState{ID: n.rng.Uint64() | 1}
}

// handleVotersKnown takes over a voter set that another node reports.
func (n *Node) handleVotersKnown(m *Message) {
	if f := n.founding; f != nil && m.Founding == f.id {
		f.receiveVoterSet(m)
	}
	n.learnVoters(*m.VoterSet)
	if m.StartVoter {
		n.startFromVoterSet(m)
		return
	}
	if m.Settled {
		n.resignIfReplaced()
	}
}

// votersSettled reports whether this node votes and raft's configuration matches the voter set.
func (n *Node) votersSettled() bool {
	if !n.hasAppliedState() || n.voters.Index != n.localRecord.Voters.Index {
		return false
	}
	voters := n.voter.Voters()
	removed, added := diffVoters(voters, n.voters.Rows)
	return removed == 0 && added == 0 && len(voters) == len(n.voters.Rows)
}

// resignIfReplaced discards this node's voter if another has replaced it in the voter set and in raft's
// configuration. Until both have changed, the old voter still counts towards the majority and must stay.
func (n *Node) resignIfReplaced() {
	if n.voter == nil || !n.hasAppliedState() || n.localRecord.Voters.Index <= n.voters.Index || n.localRecord.Voters.Founding != n.voters.Founding {
		return
	}
	if _, isVoter := n.localRecord.Voters.byID(n.voter.ID()); !isVoter {
		n.voters = n.localRecord.Voters.clone()
		n.discardVoter()
	}
}

// startFromVoterSet starts the voter of a node that drew an ID for this log, unless it has started already.
func (n *Node) startFromVoterSet(m *Message) {
	own, isVoter := m.VoterSet.byName(n.settings.Name)
	if !isVoter || m.VoterSet.Founding != n.localRecord.IDFounding || n.voter == nil || n.voter.ID() != own.ID {
		return
	}
	if !n.hasAppliedState() && n.newState == nil {
		n.newState = initialState(m.VoterSet, own.ID)
	}
	if n.hasAppliedState() {
		voters := m.VoterSet.clone()
		n.send(m.From, &Message{Kind: VotersKnown, VoterSet: &voters, Founding: m.Founding})
	}
}

// handleIDRequest draws a voter ID unless this node votes already.
func (n *Node) handleIDRequest(m *Message) {
	if n.hasAppliedState() || n.brokenErr != nil || n.localRecord.Voters.Founding != 0 && n.localRecord.Voters.Founding != m.Founding || n.newState != nil {
		return
	}
	if n.voter == nil || n.localRecord.IDFounding != m.Founding {
		n.drawID(m.Founding)
		return // the answer follows once the request is repeated
	}
	n.send(m.From, &Message{Kind: IDOffered, Founding: m.Founding, ID: n.voter.ID()})
}

// handleIDOffered records a voter ID that another node drew on request.
func (n *Node) handleIDOffered(m *Message) {
	if f := n.founding; f != nil && m.Founding == f.id {
		f.drawnIDs[m.From] = m.ID
	}
	if request := n.idRequests[m.From]; request != nil && m.Founding == n.voters.Founding {
		request.id = m.ID
	}
}

// reconcileVoters is run by the leader. It brings raft's configuration in line with the voter set, and the voter
// set in line with the membership view, one voter at a time.
func (n *Node) reconcileVoters() {
	for _, voter := range n.voters.Rows { // on every tick: a single view that contains the node resets its absence
		if _, present := n.members[voter.Name]; present || !n.inView {
			delete(n.absentSince, voter.Name)
		} else if _, wasAbsent := n.absentSince[voter.Name]; !wasAbsent {
			n.absentSince[voter.Name] = n.now
		}
	}
	if n.now-n.lastVoterCheck < voterCheckInterval || n.pendingReady != nil {
		return
	}
	n.lastVoterCheck = n.now
	voters := n.voter.Voters()
	if removed, added := diffVoters(voters, n.voters.Rows); removed != 0 || added != 0 {
		if removed != 0 && added != 0 && len(voters) == len(n.voters.Rows) {
			n.voter.Replace(removed, added) // on an error a change is in progress; it is retried
		}
		return
	}
	if !n.votersCaughtUp() {
		return
	}
	if change := n.nextVoterChange(); change != nil {
		// A lost proposal is decided again.
		n.voter.Propose(appendEntry(nil, &logEntry{Version: entryVersion, Change: change}))
	}
}

// diffVoters returns a raft voter that is not in the voter set and one of the set that is not a raft voter; 0:
// none.
func diffVoters(voters []uint64, rows []VoterInfo) (removed, added uint64) {
	for _, id := range voters {
		if !slices.ContainsFunc(rows, func(voter VoterInfo) bool { return voter.ID == id }) {
			removed = id
		}
	}
	for _, voter := range rows {
		if !slices.Contains(voters, voter.ID) {
			added = voter.ID
		}
	}
	return removed, added
}

// votersCaughtUp reports whether all available voters have the committed entries. A replacement that is still
// catching up counts towards the quorum size, and a second one could form a majority of voters that lack those
// entries.
func (n *Node) votersCaughtUp() bool {
	caughtUp := 0
	for _, voter := range n.voters.Rows {
		lag, recentlyActive := n.voter.Lag(voter.ID)
		_, absent := n.absentSince[voter.Name]
		replacement, diskLost := n.replacements[voter.Name]
		diskLost = diskLost && replacement.id != voter.ID
		switch {
		case recentlyActive && lag <= uint64(maxEntryCommands):
			caughtUp++
		case !absent && !diskLost:
			return false
		}
	}
	return caughtUp >= n.voters.majority()
}

// nextVoterChange returns the next change of the voter set; nil: none.
func (n *Node) nextVoterChange() *voterChange {
	for _, voter := range n.voters.Rows {
		replacement, ok := n.replacements[voter.Name]
		if !ok || replacement.id == voter.ID || n.now-replacement.reportedAt > replacementLifetime {
			delete(n.replacements, voter.Name)
			continue
		}
		return &voterChange{Out: voter.ID, In: VoterInfo{ID: replacement.id, Name: voter.Name, Site: voter.Site, Addr: voter.Addr}}
	}
	for _, voter := range n.voters.Rows {
		since, absent := n.absentSince[voter.Name]
		if !absent || n.now-since < n.settings.ReplaceAfter {
			continue
		}
		if change := n.findSuccessor(voter); change != nil {
			return change
		}
	}
	return nil
}

// findSuccessor asks the node that is to replace a voter for an ID, and returns the change once the ID is drawn.
func (n *Node) findSuccessor(absent VoterInfo) *voterChange {
	remaining := slices.DeleteFunc(slices.Clone(n.voters.Rows), func(voter VoterInfo) bool { return voter.ID == absent.ID })
	members := maps.Clone(n.members)
	for name, request := range n.idRequests {
		if request.id == 0 && n.now-request.requestedAt > idRequestTimeout {
			delete(members, name) // it does not answer: try another one, and this one again once none answers
		}
	}
	names := chooseVoters(members, remaining, 1)
	if len(names) == 0 {
		clear(n.idRequests)
		return nil
	}
	name := names[0]
	request := n.idRequests[name]
	if request == nil {
		request = &idRequest{requestedAt: n.now}
		n.idRequests[name] = request
	}
	if request.id != 0 {
		delete(n.idRequests, name)
		return &voterChange{Out: absent.ID, In: VoterInfo{ID: request.id, Name: name, Site: n.members[name].Site, Addr: n.members[name].Addr}}
	}
	n.send(name, &Message{Kind: RequestID, Founding: n.voters.Founding})
	return nil
}

// discardIfRemoved discards a voter that its own applied state no longer contains: it was replaced.
func (n *Node) discardIfRemoved() {
	if !n.hasAppliedState() || n.voters.Founding == 0 {
		return
	}
	if _, isVoter := n.voters.byID(n.voter.ID()); !isVoter && !slices.Contains(n.voter.Voters(), n.voter.ID()) {
		n.discardVoter()
	}
}

// initialState returns the persistent state of a voter that starts a log together with the others.
func initialState(voters *VoterSet, id uint64) *consensus.PersistentState {
	var ids []uint64
	for _, voter := range voters.Rows {
		ids = append(ids, voter.ID)
	}
	for _, state := range consensus.NewCluster(ids) {
		if state.ID == id {
			state.Snapshot.Data = initialSnapshot(voters)
			return &state
		}
	}
	return nil
}

// absentFor returns how long a voter's node has been missing from the membership view, as this leader counts. It
// returns 0 if the node is in the view or this node does not lead.
func (n *Node) absentFor(name string) time.Duration {
	if since, absent := n.absentSince[name]; absent && n.IsLeader() {
		return n.now - since
	}
	return 0
}
