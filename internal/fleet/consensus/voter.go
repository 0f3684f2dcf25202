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

// Settings are what a voter goes by.
type Settings struct {
	TickInterval  time.Duration // between two ticks; 0: 100 ms
	ElectionTicks int           // ticks without a leader before a voter asks for votes, up to twice as many; 0: 10
	KeepEntries   int           // entries behind the applied ones that stay in the log when it is cut; 0: 256
}

// Default fills in what is not set.
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

// Disk is what a voter has on disk.
type PersistentState struct {
	ID       uint64            // drawn with the disk, never 0
	Boots    map[uint64]uint64 // the latest start of each voter, as far as this one knows; itself included
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry // after the snapshot, ascending
}

// Clone copies a disk; what is in it is never written to.
func (d *PersistentState) Clone() PersistentState {
	c := *d
	c.Boots, c.Entries = maps.Clone(d.Boots), slices.Clone(d.Entries)
	return c
}

// Save is what must be on disk, all of it or none, before anything else of its Work is done.
type Update struct {
	Boots       map[uint64]uint64 // those that changed; the greater holds
	Hard        *raftpb.HardState // nil: as it was
	Snapshot    *raftpb.Snapshot  // nil: none; else the log begins anew after it
	Entries     []*raftpb.Entry   // they take the place of all from the first one's index on
	CompactedTo uint64            // entries up to here may go; they are in the snapshot that stands beside
}

// Empty tells whether there is nothing to save.
func (s *Update) Empty() bool {
	return len(s.Boots) == 0 && s.Hard == nil && s.Snapshot == nil && len(s.Entries) == 0 && s.CompactedTo == 0
}

// Put brings a disk to what a save says.
func (d *PersistentState) Apply(s *Update) {
	if d.Boots == nil {
		d.Boots = map[uint64]uint64{}
	}
	for id, n := range s.Boots {
		d.Boots[id] = max(d.Boots[id], n)
	}
	if s.Hard != nil {
		d.Hard = s.Hard
	}
	if s.Snapshot != nil {
		d.Snapshot = s.Snapshot
		if s.CompactedTo == 0 { // another's: what was here is of no use
			d.Entries = nil
		}
	}
	if len(s.Entries) > 0 {
		first := s.Entries[0].GetIndex()
		n := slices.IndexFunc(d.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		if n < 0 {
			n = len(d.Entries)
		}
		d.Entries = append(slices.Clone(d.Entries[:n]), s.Entries...)
	}
	if s.CompactedTo > 0 {
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= s.CompactedTo })
	}
}

// Message is what one voter tells another. Either Raft is set, or it is about starts.
type Message struct {
	From, To  uint64
	Boot      uint64          // the sender's start: a count above 32 bits that are drawn with it
	Raft      *raftpb.Message // nil: about starts
	BootQuery bool            // tell the sender which start of it is known
	KnownBoot uint64          // the latest start of the receiver that the sender knows of
}

// Entry is one that a majority has agreed on, to be applied in order.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Work is what is to be done, in this order: save, and wait for the disk; then send, restore, apply; then Done.
type Ready struct {
	Update   Update
	Messages []Message
	Restore  []byte // a snapshot of the applied state that takes the place of what there is; nil: none
	Applied  uint64 // with Restore: the index that it stands for
	Entries  []Entry
}

// Voter is one voter's part.
type Voter struct {
	set     Settings
	id      uint64
	boot    uint64
	boots   map[uint64]uint64
	newBoot map[uint64]uint64 // to be saved
	known   map[uint64]bool   // voters who have said which start of this one they know
	cleared bool              // enough have, and none knew a later one
	given   bool              // this number is given up
	rng     *rand.Rand
	node    *raft.RawNode
	log     *raft.MemoryStorage
	conf    *raftpb.ConfState
	sends   []Message
	wait    int // ticks until the next election of this voter's
	ticks   int
	applied uint64
	stale   bool // the voters have changed since the last snapshot
	ready   *raft.Ready
	pending Update // beside Ready's
	broken  error
	snaps   map[uint64]int // ticks since a snapshot went to one that has not said since that it has it
}

// none is the error of a voter that is none any more.
func none() error { return errors.New("agree: this voter has given its number up") }

// Found makes the disks of voters that begin a log together; it is done once for a fleet, by one process.
func NewCluster(ids []uint64) []PersistentState {
	voters := slices.Clone(ids)
	slices.Sort(voters)
	disks := make([]PersistentState, len(ids))
	for i, id := range ids {
		disks[i] = PersistentState{ID: id, Boots: map[uint64]uint64{}, Snapshot: &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: voters}, Index: proto.Uint64(1), Term: proto.Uint64(1),
		}}, Hard: &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}}
	}
	return disks
}

// New starts a voter from its disk. The first Work saves this start; until then nothing leaves.
func New(set Settings, disk *PersistentState, seed uint64) (_ *Voter, err error) {
	defer func() {
		if r := recover(); r != nil { // the library's word on a disk that makes no sense
			err = fmt.Errorf("agree: the disk: %v", r)
		}
	}()
	if disk.ID == 0 {
		return nil, errors.New("agree: a voter without a number")
	}
	v := &Voter{
		set: set.Default(), id: disk.ID, boots: maps.Clone(disk.Boots), known: map[uint64]bool{},
		rng: rand.New(rand.NewPCG(seed, disk.ID)), log: raft.NewMemoryStorage(), snaps: map[uint64]int{},
	}
	if v.boots == nil {
		v.boots = map[uint64]uint64{}
	}
	v.boot = (starts(v.boots[v.id])+1)<<32 | uint64(v.rng.Uint32())
	v.boots[v.id] = v.boot
	v.newBoot = map[uint64]uint64{v.id: v.boot}
	if disk.Snapshot != nil {
		if err := v.log.ApplySnapshot(disk.Snapshot); err != nil {
			return nil, fmt.Errorf("agree: the snapshot on disk: %w", err)
		}
		v.applied = disk.Snapshot.GetMetadata().GetIndex()
	}
	if disk.Hard != nil {
		if err := v.log.SetHardState(disk.Hard); err != nil {
			return nil, fmt.Errorf("agree: the state on disk: %w", err)
		}
	}
	if err := v.log.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("agree: the log on disk: %w", err)
	}
	if _, v.conf, err = v.log.InitialState(); err != nil {
		return nil, fmt.Errorf("agree: the disk: %w", err)
	}
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: v.set.ElectionTicks, HeartbeatTick: 1, Storage: v.log, Applied: v.applied,
		MaxSizePerMsg: 64 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: 1 << 20, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, Logger: quiet{},
	})
	if err != nil {
		return nil, fmt.Errorf("agree: %w", err)
	}
	// One that has never been anything has nothing to forget.
	v.cleared = len(v.conf.GetVoters()) == 0 || slices.Equal(v.conf.GetVoters(), []uint64{v.id})
	v.draw()
	return v, nil
}

// starts is how many starts there were by this one. Two of one count are of two disks, one of which was put back: what is
// drawn with each tells them apart.
func starts(boot uint64) uint64 { return boot >> 32 }

// draw says when this voter asks for votes, if it hears no leader till then.
func (v *Voter) draw() { v.wait = v.set.ElectionTicks + v.rng.IntN(v.set.ElectionTicks) }

// ID is this voter's number, and Boot its start.
func (v *Voter) ID() uint64   { return v.id }
func (v *Voter) Boot() uint64 { return v.boot }

// Given tells whether this voter has found that its disk is older than it was, and has given its number up. It must
// come back with a new disk.
func (v *Voter) DiskStale() bool { return v.given }

// Cleared tells whether enough others have said that they know of no later start of this voter.
func (v *Voter) BootConfirmed() bool { return v.cleared }

// Leads tells whether this voter leads, as far as it knows, and in which term.
func (v *Voter) IsLeader() (bool, uint64) {
	s := v.node.BasicStatus()
	return s.RaftState == raft.StateLeader && !v.given && v.broken == nil, s.HardState.GetTerm()
}

// Leader is the number of the voter that leads, as far as is known; 0: none is known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Voters are the voters that this one knows of, ascending.
func (v *Voter) Voters() []uint64 {
	all := slices.Concat(v.conf.GetVoters(), v.conf.GetVotersOutgoing())
	slices.Sort(all)
	return slices.Compact(all)
}

// Tick is to be called every Settings.Round.
func (v *Voter) Tick() {
	if v.given || v.broken != nil {
		return
	}
	if !v.cleared {
		if v.ticks%3 == 0 {
			for _, id := range v.Voters() {
				if id != v.id {
					v.sends = append(v.sends, Message{From: v.id, To: id, Boot: v.boot, BootQuery: true})
				}
			}
		}
		v.ticks++
		return
	}
	if leads, _ := v.IsLeader(); leads {
		v.node.Tick()
		v.again()
		return
	}
	clear(v.snaps)
	// The library draws its elections from a source of its own; here they are drawn by the seed.
	v.node.TickQuiesced()
	if v.wait--; v.wait <= 0 {
		v.draw()
		v.node.Campaign() // one that is no voter is not heard
	}
}

// again has snapshots sent anew that seem to be lost: the library waits for word of them, which nobody else gives.
func (v *Voter) again() {
	v.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if p.State != tracker.StateSnapshot {
			delete(v.snaps, id)
			return
		}
		v.snaps[id]++
	})
	for id, n := range v.snaps {
		if n > v.set.ElectionTicks {
			delete(v.snaps, id)
			v.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// Behind is how many entries another voter lacks of those that this one has handed out; false if this one does not lead,
// or the other is no voter or has not been heard of late. The leader alone knows.
func (v *Voter) Lag(id uint64) (entries uint64, ok bool) {
	if leads, _ := v.IsLeader(); !leads {
		return 0, false
	}
	v.node.WithProgress(func(x uint64, _ raft.ProgressType, p tracker.Progress) {
		if x == id {
			entries, ok = v.applied-min(v.applied, p.Match), p.RecentActive || id == v.id
		}
	})
	return entries, ok
}

// Receive takes a message of another voter.
func (v *Voter) Receive(m *Message) {
	if m.To != v.id || m.From == v.id || v.given || v.broken != nil {
		return
	}
	known := v.boots[m.From]
	if starts(m.Boot) <= starts(known) && m.Boot != known {
		if m.BootQuery { // its disk is older than it was: it must be told
			v.sends = append(v.sends, Message{From: v.id, To: m.From, Boot: v.boot, KnownBoot: known})
		}
		return
	}
	if m.Boot > known {
		v.boots[m.From], v.newBoot[m.From] = m.Boot, m.Boot
	}
	switch {
	case m.BootQuery:
		v.sends = append(v.sends, Message{From: v.id, To: m.From, Boot: v.boot, KnownBoot: v.boots[m.From]})
	case m.Raft == nil:
		v.told(m)
	case v.cleared:
		v.step(m.Raft)
	}
}

// told takes what another knows of this voter's starts.
func (v *Voter) told(m *Message) {
	switch {
	case starts(m.KnownBoot) < starts(v.boot): // of an earlier asking
		return
	case m.KnownBoot != v.boot:
		v.given = true
		return
	}
	voters := v.Voters()
	if !slices.Contains(voters, m.From) {
		return
	}
	v.known[m.From] = true
	if 2*(len(v.known)+1) > len(voters) {
		v.cleared = true
	}
}

func (v *Voter) step(m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.node.BasicStatus().HardState.GetTerm() { // its leader's
			v.draw()
		}
	}
	if m.GetType() == raftpb.MsgHeartbeat {
		// A leader tells no more than what it was told to be here: the disk has lost some of it.
		if last, err := v.log.LastIndex(); err != nil || m.GetTerm() >= v.node.BasicStatus().HardState.GetTerm() && m.GetCommit() > last && v.ready == nil {
			v.given = true
			return
		}
	}
	v.safely(func() { v.node.Step(m) }) // what makes no sense is passed over
}

// safely does something of the library's. Where it can't go on it panics, which a message that was made up can bring
// about: then this voter is none any more until it is started from its disk again.
func (v *Voter) safely(do func()) {
	defer func() {
		if r := recover(); r != nil {
			v.broken = fmt.Errorf("agree: the voter can't go on: %v", r)
		}
	}()
	do()
}

// Broken is why this voter can't go on, until it is started from its disk again; nil: it can.
func (v *Voter) Broken() error { return v.broken }

// Propose puts something into the log, by way of the leader. That it is taken is not known until it comes back as an
// Entry; it may be lost, and it may come twice if it is proposed again.
func (v *Voter) Propose(data []byte) error {
	if v.given || v.broken != nil {
		return none()
	}
	return v.node.Propose(data)
}

// Replace takes one voter out and another one in, in one change. The leader alone can.
func (v *Voter) Replace(out, in uint64) error {
	if v.given || v.broken != nil {
		return none()
	}
	voters := v.conf.GetVoters()
	if !slices.Contains(voters, out) || slices.Contains(voters, in) || in == 0 {
		return fmt.Errorf("agree: %x can't take the place of %x among %x", in, out, voters)
	}
	add, remove, auto := raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode, raftpb.ConfChangeTransitionAuto
	return v.node.ProposeConfChange(&raftpb.ConfChangeV2{Transition: &auto, Changes: []*raftpb.ConfChangeSingle{
		{Type: &add, NodeId: &in}, {Type: &remove, NodeId: &out},
	}})
}

// HandLead has another voter lead in this one's place, which has what is agreed on; it does nothing if this one does not
// lead, or there is no such voter.
func (v *Voter) TransferLeadership() {
	if leads, _ := v.IsLeader(); !leads {
		return
	}
	to, most := uint64(0), uint64(0)
	v.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if id != v.id && p.RecentActive && p.Match >= v.applied && (p.Match > most || p.Match == most && id < to) {
			to, most = id, p.Match
		}
	})
	if to != 0 {
		v.node.TransferLeader(to)
	}
}

// Wants tells whether Compact is to be called soon: a voter that was taken in is started from a snapshot, and takes none
// that does not name it.
func (v *Voter) WantsSnapshot() bool { return v.stale && v.ready == nil }

// Compact takes the applied state up to an index as a snapshot, and lets most of the log before it go.
func (v *Voter) Compact(index uint64, state []byte) error {
	s, err := v.log.CreateSnapshot(index, v.conf, state)
	if err != nil {
		return fmt.Errorf("agree: a snapshot at %d: %w", index, err)
	}
	first, err := v.log.FirstIndex()
	if err != nil {
		return fmt.Errorf("agree: %w", err)
	}
	cut := max(index, uint64(v.set.KeepEntries)) - uint64(v.set.KeepEntries)
	if cut >= first {
		if err := v.log.Compact(cut); err != nil {
			return fmt.Errorf("agree: the log up to %d: %w", cut, err)
		}
	}
	v.stale = false
	v.pending.Snapshot, v.pending.CompactedTo = s, max(cut, first-1, 1)
	return nil
}

// Take returns what is to be done; false if there is nothing, or the last Work is not done yet.
func (v *Voter) Ready() (Ready, bool) {
	if v.ready != nil || v.broken != nil {
		return Ready{}, false
	}
	w := Ready{Update: v.pending, Messages: v.sends}
	v.pending, v.sends = Update{}, nil
	if len(v.newBoot) > 0 {
		w.Update.Boots, v.newBoot = v.newBoot, map[uint64]uint64{}
	}
	if v.given || !v.node.HasReady() {
		if w.Update.Empty() && len(w.Messages) == 0 {
			return w, false
		}
		v.ready = &raft.Ready{}
		return w, true
	}
	r := v.node.Ready()
	v.ready = &r
	if !raft.IsEmptyHardState(r.HardState) {
		w.Update.Hard = r.HardState
	}
	w.Update.Entries = r.Entries
	if !raft.IsEmptySnap(r.Snapshot) {
		w.Update.Snapshot, w.Update.CompactedTo = r.Snapshot, 0
		w.Restore, w.Applied = r.Snapshot.GetData(), r.Snapshot.GetMetadata().GetIndex()
	}
	for _, m := range r.Messages {
		w.Messages = append(w.Messages, Message{From: v.id, To: m.GetTo(), Boot: v.boot, Raft: m})
	}
	for _, e := range r.CommittedEntries {
		if e.GetType() == raftpb.EntryNormal && len(e.GetData()) > 0 {
			w.Entries = append(w.Entries, Entry{e.GetIndex(), e.GetTerm(), e.GetData()})
		}
	}
	return w, true
}

// Done says that the last Work was done, all of it.
func (v *Voter) Advance() (err error) {
	v.safely(func() { err = v.done() })
	if v.broken != nil {
		return v.broken
	}
	return err
}

func (v *Voter) done() error {
	r := v.ready
	if r == nil {
		return nil
	}
	v.ready = nil
	if r.HardState == nil && len(r.Entries) == 0 && len(r.CommittedEntries) == 0 && len(r.Messages) == 0 && r.SoftState == nil && r.Snapshot == nil && len(r.ReadStates) == 0 {
		return nil // none of the library's
	}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := v.log.ApplySnapshot(r.Snapshot); err != nil {
			return fmt.Errorf("agree: a snapshot of another: %w", err)
		}
		v.conf = r.Snapshot.GetMetadata().GetConfState()
		v.applied = r.Snapshot.GetMetadata().GetIndex()
	}
	if !raft.IsEmptyHardState(r.HardState) {
		if err := v.log.SetHardState(r.HardState); err != nil {
			return fmt.Errorf("agree: %w", err)
		}
	}
	if err := v.log.Append(r.Entries); err != nil {
		return fmt.Errorf("agree: %w", err)
	}
	for _, e := range r.CommittedEntries {
		v.applied = e.GetIndex()
		var change raftpb.ConfChangeI
		switch e.GetType() {
		case raftpb.EntryConfChange:
			change = &raftpb.ConfChange{}
		case raftpb.EntryConfChangeV2:
			change = &raftpb.ConfChangeV2{}
		default:
			continue
		}
		if err := proto.Unmarshal(e.GetData(), change.(proto.Message)); err != nil {
			return fmt.Errorf("agree: a change of the voters at %d: %w", e.GetIndex(), err)
		}
		v.conf, v.stale = v.node.ApplyConfChange(change), true
	}
	v.node.Advance(*r)
	return nil
}

// Applied is the index up to which entries were handed out and done.
func (v *Voter) Applied() uint64 { return v.applied }

// quiet is the library's log: what it says is told by this package's events, and what it can't go on from ends the voter.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
