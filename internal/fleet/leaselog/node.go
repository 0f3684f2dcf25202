package leaselog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// Settings configure a Node. Timing, Consensus and ReplaceAfter must be the same on all nodes of a fleet.
type Settings struct {
	Name, Site   string
	Timing       lease.Timing
	Consensus    consensus.Settings
	ReplaceAfter time.Duration // absence from the membership view after which a voter is replaced; 0: 5 min
	CompactEvery int           // commands between two snapshots; 0: 2,000
}

const (
	defaultReplaceAfter = 5 * time.Minute
	defaultCompactEvery = 2000

	maxEntryCommands, maxEntryBytes = 256, 32 << 10 // per log entry
	maxPendingCommands              = 4096          // commands waiting for the next entry
	hungAfterTicks                  = 20            // a write that takes longer counts as hung
	voterQueryIntervalUnknown       = time.Second
	voterQueryIntervalKnown         = 15 * time.Second
	lossReportInterval              = time.Second
	replacementLifetime             = 5 * time.Second // a reported loss is ignored after this time
	voterCheckInterval              = time.Second
	idRequestTimeout                = 5 * time.Second // a node that does not draw an ID within this time is skipped
	maxLearnedNames                 = 64              // voters whose names were learned from messages
)

// LocalReply is a reply for a client or operator of this node.
type LocalReply struct {
	Kind              Kind // CommandAnswer, CannotServe, MaintenanceReply or LeasePage
	Life              uint64
	Seq               uint64
	Ref               uint64
	Answer            lease.Answer
	From              string // the node that replied
	Term              uint64
	Page              int
	Pages             int
	Leases            []lease.Lease
	MaintenanceAnswer *maintenance.Answer
	MaintenanceTable  []byte
}

// PendingSave is what must be durable before the node continues.
type PendingSave struct {
	NewState *consensus.PersistentState // replaces all persistent state; nil: only Update is applied
	Update   consensus.Update
	UserData []byte // nil: unchanged
}

// Node is one node's part of the lease log.
type Node struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	members  map[string]Member // the current membership view, by name
	inView   bool              // this node is in the membership view

	localRecord           localRecord
	localRecordDirty      bool
	voter                 *consensus.Voter // nil: this node has no voter ID
	stateMachine          *lease.StateMachine
	maintenanceTable      *maintenance.Table
	voters                VoterSet // as applied; valid if hasAppliedState
	expiry                *lease.ExpiryTracker
	expiryTerm            uint64 // the term that expiry was created in
	commandsSinceSnapshot int
	pendingCommands       []ForwardedCommand // waiting for the next entry
	learnedNames          map[uint64]string  // node names by voter ID, learned from messages
	foundingConflict      bool               // a log with another founding ID was seen
	brokenErr             error              // why the voter stopped

	newState       *consensus.PersistentState // to be saved, and restarted from
	pendingSave    *PendingSave               // to be written, or being written
	pendingReady   *consensus.Ready           // the Ready that pendingSave belongs to; nil: none
	saveInProgress bool                       // pendingSave was handed out
	saveTicks      int                        // ticks since then
	localQueue     []*Message                 // messages to this node itself
	outgoing       []Outgoing
	replies        []LocalReply

	lastLeader     string                   // the last node that answered a command
	nextVoterQuery time.Duration            // when to query the voters next
	nextLossReport time.Duration            // when to report the lost disk next
	lastVoterCheck time.Duration            // when the leader last checked the voters
	absentSince    map[string]time.Duration // leader: voters missing from the view, and since when
	replacements   map[string]replacement   // leader: voters whose disk was lost
	idRequests     map[string]*idRequest    // leader: nodes that were asked to draw a voter ID
	founding       *founding                // the founding that this node runs; nil: none
}

// replacement is a new voter ID that a node reported after it lost its disk.
type replacement struct {
	id         uint64
	reportedAt time.Duration
}

// idRequest is a request to draw a voter ID, and the ID that was drawn; 0: none yet.
type idRequest struct {
	requestedAt time.Duration
	id          uint64
}

// New creates a Node from its saved state. A non-empty distrustReason says why that state must not be trusted; it
// is then discarded together with the voter ID. State that is trusted but can't be read, such as that of a later
// version, leaves the node Broken.
func New(settings Settings, state *consensus.PersistentState, savedRecord []byte, distrustReason string, seed uint64, now time.Duration) *Node {
	if settings.ReplaceAfter <= 0 {
		settings.ReplaceAfter = defaultReplaceAfter
	}
	if settings.CompactEvery <= 0 {
		settings.CompactEvery = defaultCompactEvery
	}
	settings.Timing = settings.Timing.Default()
	n := &Node{
		settings: settings, now: now, rng: rand.New(rand.NewPCG(seed, 0xc0c)), stateMachine: lease.NewStateMachine(), maintenanceTable: maintenance.NewTable(), members: map[string]Member{},
		learnedNames: map[uint64]string{}, absentSince: map[string]time.Duration{}, replacements: map[string]replacement{}, idRequests: map[string]*idRequest{},
	}
	var err error
	if n.localRecord, err = parseLocalRecord(savedRecord); err != nil && distrustReason == "" {
		distrustReason = fmt.Sprint("decode the local record: ", err)
	}
	if distrustReason != "" {
		n.localRecord = localRecord{}
		if state.ID != 0 {
			n.newState = &consensus.PersistentState{} // its voter ID is discarded with it
		}
		return n
	}
	n.voters = n.localRecord.Voters.clone()
	if state.ID != 0 {
		n.startVoter(state)
	}
	return n
}

// startVoter starts the voter from its persistent state.
func (n *Node) startVoter(state *consensus.PersistentState) {
	n.stateMachine, n.maintenanceTable = lease.NewStateMachine(), maintenance.NewTable()
	n.expiry, n.commandsSinceSnapshot, n.brokenErr, n.pendingReady = nil, 0, nil, nil
	if n.voter, n.brokenErr = consensus.New(n.settings.Consensus, state, n.rng.Uint64()); n.brokenErr != nil {
		n.voter = nil
		return
	}
	if data := state.Snapshot.GetData(); len(data) > 0 {
		n.brokenErr = n.restoreSnapshot(data)
	}
}

// restoreSnapshot replaces the replicated state by that of a snapshot.
func (n *Node) restoreSnapshot(data []byte) error {
	voters, leases, maintenanceTable, err := parseSnapshot(data)
	if err != nil {
		return fmt.Errorf("lease log: decode snapshot: %w", err)
	}
	n.stateMachine, n.maintenanceTable = lease.Restore(leases), maintenanceTable
	n.expiry = nil
	n.learnVoters(voters)
	n.voters = voters
	return nil
}

// learnVoters takes over a voter set if it is newer than the known one.
func (n *Node) learnVoters(voters VoterSet) {
	known := &n.localRecord.Voters
	switch {
	case known.Founding == 0:
	case known.Founding != voters.Founding:
		n.foundingConflict = true
		return
	case known.Index >= voters.Index:
		return
	}
	n.localRecord.Voters, n.localRecordDirty = voters.clone(), true
	if !n.hasAppliedState() {
		n.voters = voters.clone()
	}
}

// hasAppliedState reports whether this node's own applied state contains a voter set.
func (n *Node) hasAppliedState() bool { return n.voter != nil && len(n.voter.Voters()) > 0 }

// IsLeader reports whether this node's voter leads.
func (n *Node) IsLeader() bool {
	if n.voter == nil || n.diskHung() {
		return false
	}
	isLeader, _ := n.voter.IsLeader()
	return isLeader
}

// diskHung reports whether a write has been running for too long.
func (n *Node) diskHung() bool { return n.saveInProgress && n.saveTicks > hungAfterTicks }

// Leave must be called before this node ends. It transfers leadership, which saves the wait for an election.
func (n *Node) Leave(now time.Duration) {
	n.now = max(n.now, now)
	if n.IsLeader() {
		n.voter.TransferLeadership()
	}
	n.processPending()
}

// SetMembers sets the membership view, by node name; nil means that this node is not in the view.
func (n *Node) SetMembers(now time.Duration, members map[string]Member) {
	n.now = max(n.now, now)
	if n.inView = members != nil; n.inView {
		n.members = members
	}
}

// Tick must be called once per Settings.Consensus.TickInterval.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.saveInProgress {
		n.saveTicks++
	}
	if n.voter != nil && !n.diskHung() {
		n.voter.Tick()
		n.runLeaderDuties()
		n.discardIfRemoved()
	}
	n.discoverVoters()
	n.stepFounding()
	n.processPending()
}

// Receive handles a message of another node.
func (n *Node) Receive(now time.Duration, m *Message) {
	n.now = max(n.now, now)
	n.handle(m)
	n.processPending()
}

// TakeOutgoing returns the messages to send and the replies for this node's own clients since the last call.
func (n *Node) TakeOutgoing() (outgoing []Outgoing, replies []LocalReply) {
	outgoing, replies = n.outgoing, n.replies
	n.outgoing, n.replies = nil, nil
	return outgoing, replies
}

// Busy reports whether a save was handed out and is not durable yet.
func (n *Node) Busy() bool { return n.saveInProgress }

// TakeSave returns what must be saved. It returns nil if there is nothing to save or the last PendingSave is not
// durable yet.
func (n *Node) TakeSave() *PendingSave {
	if n.pendingSave == nil || n.saveInProgress {
		return nil
	}
	n.saveInProgress, n.saveTicks = true, 0
	return n.pendingSave
}

// Saved reports that the PendingSave that was handed out is durable.
func (n *Node) Saved(now time.Duration) {
	n.now = max(n.now, now)
	save := n.pendingSave
	if !n.saveInProgress {
		return
	}
	n.pendingSave, n.saveInProgress = nil, false
	if save.NewState != nil {
		n.restartFrom(save.NewState)
	} else if ready := n.pendingReady; ready != nil {
		n.pendingReady = nil
		n.completeReady(ready)
	}
	n.processPending()
}

// restartFrom starts the voter from newly saved state.
func (n *Node) restartFrom(state *consensus.PersistentState) {
	n.voter, n.pendingReady = nil, nil
	if state.ID != 0 {
		n.startVoter(state)
		if n.localRecord.IDFounding != 0 && !n.hasAppliedState() {
			n.nextLossReport = n.now
		}
	}
}

// send queues a message to another node or to this one.
func (n *Node) send(to string, m *Message) {
	m.From = n.settings.Name
	if to == n.settings.Name {
		n.localQueue = append(n.localQueue, m)
		return
	}
	voter, ok := n.voters.byName(to)
	if !ok {
		voter, _ = n.localRecord.Voters.byName(to)
	}
	n.outgoing = append(n.outgoing, Outgoing{to, voter.Addr, m})
}

// processPending works until nothing more can be done without the disk or another node.
func (n *Node) processPending() {
	for {
		for len(n.localQueue) > 0 {
			message := n.localQueue[0]
			n.localQueue = n.localQueue[1:]
			n.handle(message)
		}
		if !n.step() && len(n.localQueue) == 0 {
			return
		}
	}
}

// step does the next piece of work and reports whether there may be more.
func (n *Node) step() bool {
	if n.pendingSave != nil {
		return false
	}
	if n.newState != nil {
		n.pendingSave = &PendingSave{NewState: n.newState, UserData: appendLocalRecord(nil, &n.localRecord)}
		n.newState, n.localRecordDirty = nil, false
		return false
	}
	if n.voter != nil && n.brokenErr == nil {
		if n.brokenErr = n.voter.Broken(); n.voter.DiskStale() {
			n.discardVoter()
			return true
		}
		n.proposePending()
		if ready, ok := n.voter.Ready(); ok {
			if ready.Update.Empty() && !n.localRecordDirty {
				n.completeReady(&ready)
				return true
			}
			n.pendingReady = &ready
			n.pendingSave = &PendingSave{Update: ready.Update}
		}
	}
	if n.localRecordDirty {
		if n.pendingSave == nil {
			n.pendingSave = &PendingSave{}
		}
		n.pendingSave.UserData, n.localRecordDirty = appendLocalRecord(nil, &n.localRecord), false
	}
	return false
}

// discardVoter removes this node's voter for good: its ID was replaced, or its disk has lost acknowledged state.
func (n *Node) discardVoter() {
	n.voter, n.pendingReady, n.brokenErr = nil, nil, nil
	n.newState = &consensus.PersistentState{}
	n.localRecord.IDFounding = 0
	n.rejectPending()
}

// completeReady does what may be done once a Ready is saved.
func (n *Node) completeReady(ready *consensus.Ready) {
	for i := range ready.Messages {
		m := ready.Messages[i]
		if to := n.nodeName(m.To); to != "" {
			n.send(to, &Message{Kind: RaftMessage, Voter: &m})
		}
	}
	if ready.Restore != nil {
		if err := n.restoreSnapshot(ready.Restore); err != nil {
			n.brokenErr = err
			return
		}
	}
	for i := range ready.Entries {
		if err := n.applyEntry(&ready.Entries[i]); err != nil {
			n.brokenErr = err
			return
		}
	}
	if err := n.voter.Advance(); err != nil {
		n.brokenErr = err
		return
	}
	if n.commandsSinceSnapshot >= n.settings.CompactEvery || n.voter.WantsSnapshot() && n.hasAppliedState() && n.voters.Founding != 0 {
		n.commandsSinceSnapshot = 0
		snapshot := n.stateMachine.Snapshot()
		if err := n.voter.Compact(n.voter.Applied(), appendSnapshot(nil, &n.voters, &snapshot, n.maintenanceTable)); err != nil {
			n.brokenErr = err
		}
	}
}

// nodeName returns the node of a voter ID; "" if it is unknown.
func (n *Node) nodeName(id uint64) string {
	if voter, ok := n.voters.byID(id); ok {
		return voter.Name
	}
	if voter, ok := n.localRecord.Voters.byID(id); ok {
		return voter.Name
	}
	return n.learnedNames[id]
}

// applyEntry applies a committed entry. If this node leads, it also answers the commands' origins.
func (n *Node) applyEntry(entry *consensus.Entry) error {
	parsed, err := parseEntry(entry.Data)
	if err != nil {
		return fmt.Errorf("lease log: decode entry %d: %w", entry.Index, err)
	}
	if parsed.Version > entryVersion {
		return fmt.Errorf("lease log: entry %d has version %d, and this program supports %d: a later version is required", entry.Index, parsed.Version, entryVersion)
	}
	isLeader := n.IsLeader()
	if parsed.Change != nil && n.voters.replace(parsed.Change.Out, parsed.Change.In, entry.Index) {
		n.learnVoters(n.voters)
	}
	for i := range parsed.Commands {
		command := &parsed.Commands[i]
		n.commandsSinceSnapshot++
		if command.Maintenance != nil {
			answer := n.maintenanceTable.Apply(command.Maintenance, n.voters.nodeNames())
			if isLeader && command.Origin != "" {
				n.send(command.Origin, &Message{Kind: MaintenanceReply, Ref: command.Ref, MaintenanceAnswer: &answer})
			}
			continue
		}
		answer, grants := n.stateMachine.Apply(&command.Command)
		if !isLeader {
			continue
		}
		if command.Origin != "" {
			n.send(command.Origin, &Message{Kind: CommandAnswer, Life: command.Command.Holder.Life, Seq: command.Command.Seq, Ref: command.Ref, Answer: &answer})
		}
		for _, grant := range grants {
			grantAnswer := grant.Answer
			n.send(grant.Holder.Name, &Message{Kind: CommandAnswer, Life: grant.Holder.Life, Answer: &grantAnswer})
		}
	}
	return nil
}

// proposePending proposes the pending commands as one entry if this node leads, and rejects them otherwise.
func (n *Node) proposePending() {
	if len(n.pendingCommands) == 0 {
		return
	}
	if !n.IsLeader() {
		n.rejectPending()
		return
	}
	count, size := 0, 0
	entry := logEntry{Version: entryVersion}
	for ; count < len(n.pendingCommands) && count < maxEntryCommands && size < maxEntryBytes; count++ {
		size += n.pendingCommands[count].approximateSize()
	}
	entry.Commands = n.pendingCommands[:count]
	err := n.voter.Propose(appendEntry(nil, &entry))
	if err != nil { // too many proposals are in flight, or leadership was just lost
		n.rejectPending()
		return
	}
	n.pendingCommands = slices.Clone(n.pendingCommands[count:])
}

// rejectPending tells all senders of pending commands to try again.
func (n *Node) rejectPending() {
	commands := n.pendingCommands
	n.pendingCommands = nil
	for i := range commands {
		n.reject(&commands[i])
	}
}

// reject answers a command with CannotServe and the known voters.
func (n *Node) reject(command *ForwardedCommand) {
	if command.Origin == "" {
		return
	}
	reply := &Message{Kind: CannotServe, Life: command.Command.Holder.Life, Seq: command.Command.Seq, Ref: command.Ref}
	if n.localRecord.Voters.Founding != 0 {
		voters := n.localRecord.Voters.clone()
		reply.VoterSet = &voters
	}
	n.send(command.Origin, reply)
}

// runLeaderDuties proposes expired leases and keeps the voters up to date, if this node leads.
func (n *Node) runLeaderDuties() {
	isLeader, term := n.voter.IsLeader()
	if !isLeader || !n.hasAppliedState() {
		n.expiry = nil
		return
	}
	if n.expiry == nil || n.expiryTerm != term {
		n.expiry, n.expiryTerm = lease.NewExpiryTracker(n.settings.Timing), term
		clear(n.absentSince)
		clear(n.idRequests)
		n.lastVoterCheck = n.now
	}
	for _, command := range n.expiry.Expired(n.now, n.stateMachine) {
		n.pendingCommands = append(n.pendingCommands, ForwardedCommand{Command: command})
	}
	n.reconcileVoters()
}

// handle processes a message.
func (n *Node) handle(m *Message) {
	if m.VoterSet != nil && m.Kind != VotersKnown {
		n.learnVoters(*m.VoterSet)
	}
	switch m.Kind {
	case RaftMessage:
		n.handleRaftMessage(m)
	case SubmitCommand:
		n.handleCommand(m)
	case CommandAnswer:
		n.lastLeader = m.From
		n.replies = append(n.replies, LocalReply{Kind: CommandAnswer, Life: m.Life, Seq: m.Answer.Seq, Ref: m.Ref, Answer: *m.Answer, From: m.From})
	case CannotServe:
		if n.lastLeader == m.From {
			n.lastLeader = ""
		}
		n.replies = append(n.replies, LocalReply{Kind: CannotServe, Life: m.Life, Seq: m.Seq, Ref: m.Ref, From: m.From})
	case QueryVoters:
		if n.localRecord.Voters.Founding != 0 {
			voterSet := n.localRecord.Voters.clone()
			n.send(m.From, &Message{Kind: VotersKnown, VoterSet: &voterSet, Founding: m.Founding, Settled: n.votersSettled()})
		} else {
			n.send(m.From, &Message{Kind: NoVotersKnown, Founding: m.Founding})
		}
	case NoVotersKnown:
		if f := n.founding; f != nil && m.Founding == f.id {
			f.withoutVoters[m.From] = true
		}
	case VotersKnown:
		n.handleVotersKnown(m)
	case RequestID:
		n.handleIDRequest(m)
	case IDOffered:
		n.handleIDOffered(m)
	case ReplacementVoter:
		if voter, ok := n.voters.byName(m.From); ok && voter.ID != m.ID && m.Founding == n.voters.Founding {
			n.replacements[m.From] = replacement{m.ID, n.now}
		}
	case QueryLeases:
		n.handleLeaseQuery(m)
	case QueryMaintenance:
		n.handleMaintenanceQuery(m)
	case MaintenanceReply:
		n.replies = append(n.replies, LocalReply{Kind: MaintenanceReply, Ref: m.Ref, From: m.From, MaintenanceAnswer: m.MaintenanceAnswer, MaintenanceTable: m.MaintenanceTable})
	case LeasePage:
		n.replies = append(n.replies, LocalReply{Kind: LeasePage, Ref: m.Ref, From: m.From, Term: m.Term, Page: m.Page, Pages: m.Pages, Leases: m.Leases})
	}
}

// handleRaftMessage passes a message of another voter to this node's voter.
func (n *Node) handleRaftMessage(m *Message) {
	if n.nodeName(m.Voter.From) == "" {
		if len(n.learnedNames) >= maxLearnedNames {
			clear(n.learnedNames)
		}
		n.learnedNames[m.Voter.From] = m.From
	}
	if n.voter != nil && !n.diskHung() && n.brokenErr == nil {
		n.voter.Receive(m.Voter)
	}
}
