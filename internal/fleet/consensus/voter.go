package consensus

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Settings configure a Voter.
type Settings struct {
	TickInterval  time.Duration // 0: 100 ms
	ElectionTicks int           // ticks without a leader before an election, up to twice as many; 0: 10
	KeepEntries   int           // applied entries that stay in the log when it is compacted; 0: 256
}

// Default replaces unset values by their defaults.
func (s Settings) Default() Settings {
	if s.TickInterval <= 0 {
		s.TickInterval = 100 * time.Millisecond
	}
	if s.ElectionTicks <= 0 {
		s.ElectionTicks = 10
	}
	if s.KeepEntries <= 0 {
		s.KeepEntries = 256
	}
	return s
}

// PersistentState is what a voter keeps on disk.
type PersistentState struct {
	ID       uint64            // drawn when the disk is initialized, never 0
	Boots    map[uint64]uint64 // the latest known start of each voter, including this one
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry // after the snapshot, in ascending order
}

// Clone copies the state. The parts that are shared are never modified.
func (s *PersistentState) Clone() PersistentState {
	copied := *s
	copied.Boots, copied.Entries = maps.Clone(s.Boots), slices.Clone(s.Entries)
	return copied
}

// Update is what must be saved atomically before anything else of its Ready is done.
type Update struct {
	Boots       map[uint64]uint64 // changed ones; the greater value wins
	Hard        *raftpb.HardState // nil: unchanged
	Snapshot    *raftpb.Snapshot  // nil: none; otherwise the log restarts after it, unless CompactedTo is set
	Entries     []*raftpb.Entry   // replace all entries from the first one's index on
	CompactedTo uint64            // entries up to here may be deleted; Snapshot contains them
}

// Empty reports whether there is nothing to save.
func (u *Update) Empty() bool {
	return len(u.Boots) == 0 && u.Hard == nil && u.Snapshot == nil && len(u.Entries) == 0 && u.CompactedTo == 0
}

// Apply applies an update to the state.
func (s *PersistentState) Apply(update *Update) {
	if s.Boots == nil {
		s.Boots = map[uint64]uint64{}
	}
	for id, boot := range update.Boots {
		s.Boots[id] = max(s.Boots[id], boot)
	}
	if update.Hard != nil {
		s.Hard = update.Hard
	}
	if update.Snapshot != nil {
		s.Snapshot = update.Snapshot
		if update.CompactedTo == 0 { // the leader's snapshot: older entries are useless
			s.Entries = nil
		}
	}
	if len(update.Entries) > 0 {
		first := update.Entries[0].GetIndex()
		kept := slices.IndexFunc(s.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		if kept < 0 {
			kept = len(s.Entries)
		}
		s.Entries = append(slices.Clone(s.Entries[:kept]), update.Entries...)
	}
	if update.CompactedTo > 0 {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= update.CompactedTo })
	}
}

// Message is sent from one voter to another. It carries a raft message or, if Raft is nil, is about starts.
type Message struct {
	From, To  uint64
	Boot      uint64          // the sender's start: a count in the upper 32 bits, a random number in the lower ones
	Raft      *raftpb.Message // nil: the message is about starts
	BootQuery bool            // asks which start of the sender the receiver knows
	KnownBoot uint64          // the receiver's latest start that the sender knows
}

// Entry is a committed entry, to be applied in order.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Ready is work to be done in this order: save Update and wait for the disk; send Messages; apply Restore and
// Entries; call Advance.
type Ready struct {
	Update   Update
	Messages []Message
	Restore  []byte // a snapshot that replaces the applied state; nil: none
	Applied  uint64 // with Restore: the snapshot's index
	Entries  []Entry
}

// Voter is one voter of the log.
type Voter struct {
	settings         Settings
	id               uint64
	boot             uint64
	knownBoots       map[uint64]uint64 // latest known start of each voter
	unsavedBoots     map[uint64]uint64 // to be saved
	confirmedBy      map[uint64]bool   // voters that reported which start of this one they know
	bootConfirmed    bool              // a majority, with this voter, knows no later start of it
	diskStale        bool              // this ID is given up
	rng              *rand.Rand
	rawNode          *raft.RawNode
	storage          *raft.MemoryStorage
	confState        *raftpb.ConfState
	outgoing         []Message
	electionTimer    int // ticks until this voter's next election
	bootTicks        int // since the start, until bootConfirmed
	applied          uint64
	snapshotOutdated bool // the voters have changed since the last snapshot
	currentReady     *raft.Ready
	pendingUpdate    Update // saved with the next Ready
	brokenErr        error
	snapshotTicks    map[uint64]int // ticks since a snapshot was sent that has not been acknowledged
}

// stoppedError returns the error of a voter that has given up its ID or has stopped.
func stoppedError() error {
	return errors.New("consensus: this voter has given up its ID or has stopped")
}

// NewCluster creates the state of voters that start a log together. One process must call it, once per fleet.
func NewCluster(ids []uint64) []PersistentState {
	voters := slices.Clone(ids)
	slices.Sort(voters)
	states := make([]PersistentState, len(ids))
	for i, id := range ids {
		states[i] = PersistentState{ID: id, Boots: map[uint64]uint64{}, Snapshot: &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: voters}, Index: proto.Uint64(1), Term: proto.Uint64(1),
		}}, Hard: &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}}
	}
	return states
}

// New starts a voter from its state. The first Ready saves this start; no message is sent before.
func New(settings Settings, state *PersistentState, seed uint64) (_ *Voter, err error) {
	defer func() {
		if r := recover(); r != nil { // raft panics on inconsistent state
			err = fmt.Errorf("consensus: load persistent state: %v", r)
		}
	}()
	if state.ID == 0 {
		return nil, errors.New("consensus: the persistent state has no voter ID")
	}
	v := &Voter{
		settings: settings.Default(), id: state.ID, knownBoots: maps.Clone(state.Boots), confirmedBy: map[uint64]bool{},
		rng: rand.New(rand.NewPCG(seed, state.ID)), storage: raft.NewMemoryStorage(), snapshotTicks: map[uint64]int{},
	}
	if v.knownBoots == nil {
		v.knownBoots = map[uint64]uint64{}
	}
	v.boot = (bootCount(v.knownBoots[v.id])+1)<<32 | uint64(v.rng.Uint32())
	v.knownBoots[v.id] = v.boot
	v.unsavedBoots = map[uint64]uint64{v.id: v.boot}
	if state.Snapshot != nil {
		if err := v.storage.ApplySnapshot(state.Snapshot); err != nil {
			return nil, fmt.Errorf("consensus: load snapshot: %w", err)
		}
		v.applied = state.Snapshot.GetMetadata().GetIndex()
	}
	if state.Hard != nil {
		if err := v.storage.SetHardState(state.Hard); err != nil {
			return nil, fmt.Errorf("consensus: load hard state: %w", err)
		}
	}
	if err := v.storage.Append(state.Entries); err != nil {
		return nil, fmt.Errorf("consensus: load log entries: %w", err)
	}
	if _, v.confState, err = v.storage.InitialState(); err != nil {
		return nil, fmt.Errorf("consensus: load initial state: %w", err)
	}
	v.rawNode, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: v.settings.ElectionTicks, HeartbeatTick: 1, Storage: v.storage, Applied: v.applied,
		MaxSizePerMsg: 64 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 1 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, Logger: panicLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("consensus: create raft node: %w", err)
	}
	// Without voters, this one has acknowledged nothing that its disk could have lost; a single voter has no other one
	// to ask.
	v.bootConfirmed = len(v.confState.GetVoters()) == 0 || slices.Equal(v.confState.GetVoters(), []uint64{v.id})
	v.resetElectionTimer()
	return v, nil
}

// bootCount returns the count of starts in a Boot value. If two starts have the same count, one of them ran on a
// restored copy of the disk; their random parts differ.
func bootCount(boot uint64) uint64 { return boot >> 32 }

// resetElectionTimer draws the ticks until this voter starts an election, unless it hears from a leader first.
func (v *Voter) resetElectionTimer() {
	v.electionTimer = v.settings.ElectionTicks + v.rng.IntN(v.settings.ElectionTicks)
}

// ID returns this voter's ID, and Boot its current start.
func (v *Voter) ID() uint64   { return v.id }
func (v *Voter) Boot() uint64 { return v.boot }

// DiskStale reports whether this voter found that it runs on an older copy of its disk, and gave up its ID. It
// must be restarted with a new disk.
func (v *Voter) DiskStale() bool { return v.diskStale }

// BootConfirmed reports whether enough other voters confirmed that they know no later start of this one.
func (v *Voter) BootConfirmed() bool { return v.bootConfirmed }

// IsLeader reports whether this voter leads, as far as it knows, and the current term.
func (v *Voter) IsLeader() (bool, uint64) {
	status := v.rawNode.BasicStatus()
	return status.RaftState == raft.StateLeader && !v.diskStale && v.brokenErr == nil, status.HardState.GetTerm()
}

// Leader returns the ID of the leader; 0 if unknown.
func (v *Voter) Leader() uint64 { return v.rawNode.BasicStatus().Lead }

// Voters returns the IDs of the known voters in ascending order, including those that are being removed.
func (v *Voter) Voters() []uint64 {
	ids := slices.Concat(v.confState.GetVoters(), v.confState.GetVotersOutgoing())
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Tick must be called once per Settings.TickInterval.
func (v *Voter) Tick() {
	if v.diskStale || v.brokenErr != nil {
		return
	}
	if !v.bootConfirmed {
		if v.bootTicks%3 == 0 {
			for _, id := range v.Voters() {
				if id != v.id {
					v.outgoing = append(v.outgoing, Message{From: v.id, To: id, Boot: v.boot, BootQuery: true})
				}
			}
		}
		v.bootTicks++
		return
	}
	if isLeader, _ := v.IsLeader(); isLeader {
		v.rawNode.Tick()
		v.retryLostSnapshots()
		return
	}
	clear(v.snapshotTicks)
	// raft draws election timeouts from its own random source; they are drawn here instead so that the seed
	// determines them.
	v.rawNode.TickQuiesced()
	if v.electionTimer--; v.electionTimer <= 0 {
		v.resetElectionTimer()
		v.rawNode.Campaign() // without effect if this node is not a voter
	}
}

// retryLostSnapshots has snapshots sent again that seem to be lost: raft waits for a report of their delivery,
// which nobody else makes.
func (v *Voter) retryLostSnapshots() {
	v.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if p.State != tracker.StateSnapshot {
			delete(v.snapshotTicks, id)
			return
		}
		v.snapshotTicks[id]++
	})
	for id, ticks := range v.snapshotTicks {
		if ticks > v.settings.ElectionTicks {
			delete(v.snapshotTicks, id)
			v.rawNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// Lag returns how many of the entries that this voter has applied another voter lacks. ok is false if this one
// does not lead, or if the other is not a voter or was not active recently.
func (v *Voter) Lag(id uint64) (entries uint64, ok bool) {
	if isLeader, _ := v.IsLeader(); !isLeader {
		return 0, false
	}
	v.rawNode.WithProgress(func(progressID uint64, _ raft.ProgressType, p tracker.Progress) {
		if progressID == id {
			entries, ok = v.applied-min(v.applied, p.Match), p.RecentActive || id == v.id
		}
	})
	return entries, ok
}

// Receive handles a message of another voter.
func (v *Voter) Receive(m *Message) {
	if m.To != v.id || m.From == v.id || v.diskStale || v.brokenErr != nil {
		return
	}
	knownBoot := v.knownBoots[m.From]
	if bootCount(m.Boot) <= bootCount(knownBoot) && m.Boot != knownBoot {
		if m.BootQuery { // the sender's disk is an older copy: tell it
			v.outgoing = append(v.outgoing, Message{From: v.id, To: m.From, Boot: v.boot, KnownBoot: knownBoot})
		}
		return
	}
	if m.Boot > knownBoot {
		v.knownBoots[m.From], v.unsavedBoots[m.From] = m.Boot, m.Boot
	}
	switch {
	case m.BootQuery:
		v.outgoing = append(v.outgoing, Message{From: v.id, To: m.From, Boot: v.boot, KnownBoot: v.knownBoots[m.From]})
	case m.Raft == nil:
		v.handleBootReply(m)
	case v.bootConfirmed:
		v.stepRaft(m.Raft)
	}
}

// handleBootReply handles a reply that says which start of this voter another voter knows.
func (v *Voter) handleBootReply(m *Message) {
	switch {
	case bootCount(m.KnownBoot) < bootCount(v.boot): // a reply to the query of an earlier start
		return
	case m.KnownBoot != v.boot:
		v.diskStale = true
		return
	}
	voters := v.Voters()
	if !slices.Contains(voters, m.From) {
		return
	}
	v.confirmedBy[m.From] = true
	if 2*(len(v.confirmedBy)+1) > len(voters) {
		v.bootConfirmed = true
	}
}

// stepRaft passes a message to raft.
func (v *Voter) stepRaft(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.rawNode.BasicStatus().HardState.GetTerm() { // from the current leader
			v.resetElectionTimer()
		}
	}
	if m.GetType() == raftpb.MsgHeartbeat {
		// A leader announces no commit index beyond what this voter has acknowledged: the disk has lost entries.
		if last, err := v.storage.LastIndex(); err != nil || m.GetTerm() >= v.rawNode.BasicStatus().HardState.GetTerm() && m.GetCommit() > last && v.currentReady == nil {
			v.diskStale = true
			return
		}
	}
	v.recoverPanics(func() { v.rawNode.Step(m) }) // raft's errors are ignored: invalid messages have no effect
}

// recoverPanics calls a function of the raft library. The library panics if it can't continue, which a forged
// message can cause; the voter then stops until it is restarted from its disk.
func (v *Voter) recoverPanics(call func()) {
	defer func() {
		if r := recover(); r != nil {
			v.brokenErr = fmt.Errorf("consensus: the raft library panicked: %v", r)
		}
	}()
	call()
}

// Broken returns why this voter stopped, until it is restarted from its disk; nil if it works.
func (v *Voter) Broken() error { return v.brokenErr }

// Propose proposes an entry, through the leader. It is committed once it is returned in Ready.Entries. A proposal
// may be lost, and may be committed twice if it is repeated.
func (v *Voter) Propose(data []byte) error {
	if v.diskStale || v.brokenErr != nil {
		return stoppedError()
	}
	return v.rawNode.Propose(data)
}

// Replace replaces one voter by another in a single change. Only the leader can do this.
func (v *Voter) Replace(oldID, newID uint64) error {
	if v.diskStale || v.brokenErr != nil {
		return stoppedError()
	}
	voters := v.confState.GetVoters()
	if !slices.Contains(voters, oldID) || slices.Contains(voters, newID) || newID == 0 {
		return fmt.Errorf("consensus: voter %x can't replace %x in the configuration %x", newID, oldID, voters)
	}
	addType, removeType, transition := raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode, raftpb.ConfChangeTransitionAuto
	return v.rawNode.ProposeConfChange(&raftpb.ConfChangeV2{Transition: &transition, Changes: []*raftpb.ConfChangeSingle{
		{Type: &addType, NodeId: &newID}, {Type: &removeType, NodeId: &oldID},
	}})
}

// TransferLeadership transfers leadership to an active voter that has all applied entries. It does nothing if this
// one does not lead, or if there is no such voter.
func (v *Voter) TransferLeadership() {
	if isLeader, _ := v.IsLeader(); !isLeader {
		return
	}
	to, maxMatch := uint64(0), uint64(0)
	v.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if id != v.id && p.RecentActive && p.Match >= v.applied && (p.Match > maxMatch || p.Match == maxMatch && id < to) {
			to, maxMatch = id, p.Match
		}
	})
	if to != 0 {
		v.rawNode.TransferLeader(to)
	}
}

// WantsSnapshot reports whether Compact should be called soon: a new voter starts from a snapshot, and accepts
// only one whose configuration contains it.
func (v *Voter) WantsSnapshot() bool { return v.snapshotOutdated && v.currentReady == nil }

// Compact stores the applied state up to an index as a snapshot, and removes most of the log before it.
func (v *Voter) Compact(index uint64, state []byte) error {
	snapshot, err := v.storage.CreateSnapshot(index, v.confState, state)
	if err != nil {
		return fmt.Errorf("consensus: create snapshot at index %d: %w", index, err)
	}
	first, err := v.storage.FirstIndex()
	if err != nil {
		return fmt.Errorf("consensus: first log index: %w", err)
	}
	compactTo := max(index, uint64(v.settings.KeepEntries)) - uint64(v.settings.KeepEntries)
	if compactTo >= first {
		if err := v.storage.Compact(compactTo); err != nil {
			return fmt.Errorf("consensus: compact log up to index %d: %w", compactTo, err)
		}
	}
	v.snapshotOutdated = false
	v.pendingUpdate.Snapshot, v.pendingUpdate.CompactedTo = snapshot, max(compactTo, first-1, 1)
	return nil
}

// Ready returns the next work. It returns false if there is none or the last Ready is not finished yet.
func (v *Voter) Ready() (Ready, bool) {
	if v.currentReady != nil || v.brokenErr != nil {
		return Ready{}, false
	}
	ready := Ready{Update: v.pendingUpdate, Messages: v.outgoing}
	v.pendingUpdate, v.outgoing = Update{}, nil
	if len(v.unsavedBoots) > 0 {
		ready.Update.Boots, v.unsavedBoots = v.unsavedBoots, map[uint64]uint64{}
	}
	if v.diskStale || !v.rawNode.HasReady() {
		if ready.Update.Empty() && len(ready.Messages) == 0 {
			return ready, false
		}
		v.currentReady = &raft.Ready{}
		return ready, true
	}
	raftReady := v.rawNode.Ready()
	v.currentReady = &raftReady
	if !raft.IsEmptyHardState(raftReady.HardState) {
		ready.Update.Hard = raftReady.HardState
	}
	ready.Update.Entries = raftReady.Entries
	if !raft.IsEmptySnap(raftReady.Snapshot) {
		ready.Update.Snapshot, ready.Update.CompactedTo = raftReady.Snapshot, 0
		ready.Restore, ready.Applied = raftReady.Snapshot.GetData(), raftReady.Snapshot.GetMetadata().GetIndex()
	}
	for _, m := range raftReady.Messages {
		ready.Messages = append(ready.Messages, Message{From: v.id, To: m.GetTo(), Boot: v.boot, Raft: m})
	}
	for _, entry := range raftReady.CommittedEntries {
		if entry.GetType() == raftpb.EntryNormal && len(entry.GetData()) > 0 {
			ready.Entries = append(ready.Entries, Entry{entry.GetIndex(), entry.GetTerm(), entry.GetData()})
		}
	}
	return ready, true
}

// Advance reports that the last Ready was done completely.
func (v *Voter) Advance() (err error) {
	v.recoverPanics(func() { err = v.finishReady() })
	if v.brokenErr != nil {
		return v.brokenErr
	}
	return err
}

// finishReady updates the state in memory after a Ready was done.
func (v *Voter) finishReady() error {
	ready := v.currentReady
	if ready == nil {
		return nil
	}
	v.currentReady = nil
	if ready.HardState == nil && len(ready.Entries) == 0 && len(ready.CommittedEntries) == 0 && len(ready.Messages) == 0 && ready.SoftState == nil && ready.Snapshot == nil && len(ready.ReadStates) == 0 {
		return nil // the Ready contained nothing of raft's
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := v.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return fmt.Errorf("consensus: apply received snapshot: %w", err)
		}
		v.confState = ready.Snapshot.GetMetadata().GetConfState()
		v.applied = ready.Snapshot.GetMetadata().GetIndex()
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := v.storage.SetHardState(ready.HardState); err != nil {
			return fmt.Errorf("consensus: set hard state: %w", err)
		}
	}
	if err := v.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("consensus: append log entries: %w", err)
	}
	for _, entry := range ready.CommittedEntries {
		v.applied = entry.GetIndex()
		var change raftpb.ConfChangeI
		switch entry.GetType() {
		case raftpb.EntryConfChange:
			change = &raftpb.ConfChange{}
		case raftpb.EntryConfChangeV2:
			change = &raftpb.ConfChangeV2{}
		default:
			continue
		}
		if err := proto.Unmarshal(entry.GetData(), change.(proto.Message)); err != nil {
			return fmt.Errorf("consensus: decode configuration change at index %d: %w", entry.GetIndex(), err)
		}
		v.confState, v.snapshotOutdated = v.rawNode.ApplyConfChange(change), true
	}
	v.rawNode.Advance(*ready)
	return nil
}

// Applied returns the index up to which entries were returned and applied.
func (v *Voter) Applied() uint64 { return v.applied }

// panicLogger is the raft library's logger. It discards messages, since changes are reported through the Voter's own
// state, and panics on fatal errors to stop the voter.
type panicLogger struct{}

func (panicLogger) Debug(...any)            {}
func (panicLogger) Debugf(string, ...any)   {}
func (panicLogger) Error(...any)            {}
func (panicLogger) Errorf(string, ...any)   {}
func (panicLogger) Info(...any)             {}
func (panicLogger) Infof(string, ...any)    {}
func (panicLogger) Warning(...any)          {}
func (panicLogger) Warningf(string, ...any) {}
func (panicLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (panicLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (panicLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (panicLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
