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

// Settings are what a council goes by. Terms, Agree and ReplaceAfter must be the same at all nodes of a fleet.
type Settings struct {
	Name, Site   string
	Timing       lease.Timing
	Consensus    consensus.Settings
	ReplaceAfter time.Duration // a voter out of the members' view for so long loses its seat; 0: 5 min
	CompactEvery int           // commands between two snapshots; 0: 2,000
}

const (
	usualReplaceAfter = 5 * time.Minute
	usualCompact      = 2000

	mostItems, mostItemBytes = 256, 32 << 10 // in an entry
	mostBatch                = 4096          // items that wait for the next one
	stuckTicks               = 20            // of a write: the disk hangs
	askSeatsUnknown          = time.Second
	askSeatsKnown            = 15 * time.Second
	newcomerEvery            = time.Second
	newcomerFor              = 5 * time.Second
	decideEvery              = time.Second
	offerFor                 = 5 * time.Second // a node that does not answer an offer is passed over for so long
	mostHeard                = 64
)

// Told is something for this node's own tenants and operators.
type LocalReply struct {
	Kind              Kind // Answers, Helpless or Listed
	Life              uint64
	Seq               uint64
	Ref               uint64
	Answer            lease.Answer
	From              string // who answered
	Term              uint64
	Page              int
	Pages             int
	Leases            []lease.Lease
	MaintenanceAnswer *maintenance.Answer
	MaintenanceTable  []byte
}

// Saving is what must be on disk before the council goes on.
type PendingSave struct {
	NewState *consensus.PersistentState // all that there was gives way to this; nil: it stays
	Update   consensus.Update
	UserData []byte // nil: as it was
}

// Council is one node's part.
type Node struct {
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	members map[string]Member // by name, as agreed on
	inView  bool

	note      note
	noteDirty bool
	voter     *consensus.Voter // nil: this node has no number
	machine   *lease.StateMachine
	table     *maintenance.Table
	seats     VoterSet // as applied; of use while the voter has a state
	keeper    *lease.ExpiryTracker
	term      uint64 // of the keeper
	commands  int    // since the last snapshot
	batch     []ForwardedCommand
	heard     map[uint64]string // nodes by number, as their messages said
	conflict  bool              // another log than this node's was met
	broken    error

	begin  *consensus.PersistentState // to be saved, and begun from
	saving *PendingSave               // on its way to the disk
	work   *consensus.Ready           // that it is part of; nil: of none
	taken  bool
	ticks  int        // since it was taken
	queue  []*Message // to this node itself
	outs   []Outgoing
	told   []LocalReply

	leader     string        // who has answered last
	askSeats   time.Duration // when to ask again who votes
	asNewcomer time.Duration // when to say again that the old disk is lost
	decided    time.Duration
	absent     map[string]time.Duration // leader: since when nodes with seats are out of the view
	newcomers  map[string]newcomer      // leader: nodes whose disk is lost
	offers     map[string]*offer        // leader: nodes that were asked to draw a number
	founding   *founding                // begun here
}

type newcomer struct {
	id uint64
	at time.Duration
}

type offer struct {
	at time.Duration
	id uint64
}

// New makes a council of what the disk holds. Doubt is why that is not to be trusted; "": it is. What can't be read though
// it can be trusted, as it is a later version's, leaves the council Broken.
func New(set Settings, disk *consensus.PersistentState, kept []byte, doubt string, seed uint64, now time.Duration) *Node {
	if set.ReplaceAfter <= 0 {
		set.ReplaceAfter = usualReplaceAfter
	}
	if set.CompactEvery <= 0 {
		set.CompactEvery = usualCompact
	}
	set.Timing = set.Timing.Default()
	c := &Node{
		set: set, now: now, rng: rand.New(rand.NewPCG(seed, 0xc0c)), machine: lease.NewStateMachine(), table: maintenance.NewTable(), members: map[string]Member{},
		heard: map[uint64]string{}, absent: map[string]time.Duration{}, newcomers: map[string]newcomer{}, offers: map[string]*offer{},
	}
	var err error
	if c.note, err = parseNote(kept); err != nil && doubt == "" {
		doubt = fmt.Sprint("the note: ", err)
	}
	if doubt != "" {
		c.note = note{}
		if disk.ID != 0 {
			c.begin = &consensus.PersistentState{} // the number goes with it
		}
		return c
	}
	c.seats = c.note.Seats.clone()
	if disk.ID != 0 {
		c.start(disk)
	}
	return c
}

// start begins as a voter from its disk.
func (c *Node) start(disk *consensus.PersistentState) {
	c.machine, c.table = lease.NewStateMachine(), maintenance.NewTable()
	c.keeper, c.commands, c.broken, c.work = nil, 0, nil, nil
	if c.voter, c.broken = consensus.New(c.set.Consensus, disk, c.rng.Uint64()); c.broken != nil {
		c.voter = nil
		return
	}
	if data := disk.Snapshot.GetData(); len(data) > 0 {
		c.broken = c.restore(data)
	}
}

func (c *Node) restore(data []byte) error {
	seats, s, t, err := parseState(data)
	if err != nil {
		return fmt.Errorf("council: the state: %w", err)
	}
	c.machine, c.table = lease.Restore(s), t
	c.keeper = nil
	c.learn(seats)
	c.seats = seats
	return nil
}

// learn takes in who votes, if that is newer than what is known.
func (c *Node) learn(s VoterSet) {
	have := &c.note.Seats
	switch {
	case have.Founding == 0:
	case have.Founding != s.Founding:
		c.conflict = true
		return
	case have.Index >= s.Index:
		return
	}
	c.note.Seats, c.noteDirty = s.clone(), true
	if !c.applies() {
		c.seats = s.clone()
	}
}

// applies tells whether this node's own state says who votes.
func (c *Node) applies() bool { return c.voter != nil && len(c.voter.Voters()) > 0 }

// Leads tells whether this node's voter leads.
func (c *Node) IsLeader() bool {
	if c.voter == nil || c.hung() {
		return false
	}
	leads, _ := c.voter.IsLeader()
	return leads
}

// hung tells whether the disk has not ended a write for long.
func (c *Node) hung() bool { return c.taken && c.ticks > stuckTicks }

// Leave is to be called before this node ends: another voter leads then, without an election's wait.
func (c *Node) Leave(now time.Duration) {
	c.now = max(c.now, now)
	if c.IsLeader() {
		c.voter.TransferLeadership()
	}
	c.settle()
}

// View takes the members as agreed on, by name; nil: this node is in no view.
func (c *Node) SetMembers(now time.Duration, members map[string]Member) {
	c.now = max(c.now, now)
	if c.inView = members != nil; c.inView {
		c.members = members
	}
}

// Tick is to be called every Settings.Agree.Round.
func (c *Node) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.taken {
		c.ticks++
	}
	if c.voter != nil && !c.hung() {
		c.voter.Tick()
		c.lead()
		c.stray()
	}
	c.seek()
	c.found()
	c.settle()
}

// Receive takes a message of another node.
func (c *Node) Receive(now time.Duration, m *Message) {
	c.now = max(c.now, now)
	c.take(m)
	c.settle()
}

// Outs are the messages that may leave, and Told what is for this node's own, since the last call.
func (c *Node) TakeOutgoing() (outs []Outgoing, told []LocalReply) {
	outs, told = c.outs, c.told
	c.outs, c.told = nil, nil
	return outs, told
}

// Busy tells whether something that was taken is not on the disk yet.
func (c *Node) Busy() bool { return c.taken }

// Take returns what must be saved; nil if nothing, or if the last Saving is not on the disk yet.
func (c *Node) TakeSave() *PendingSave {
	if c.saving == nil || c.taken {
		return nil
	}
	c.taken, c.ticks = true, 0
	return c.saving
}

// Saved tells that what was taken is on the disk.
func (c *Node) Saved(now time.Duration) {
	c.now = max(c.now, now)
	s := c.saving
	if !c.taken {
		return
	}
	c.saving, c.taken = nil, false
	if s.NewState != nil {
		c.begun(s.NewState)
	} else if w := c.work; w != nil {
		c.work = nil
		c.finish(w)
	}
	c.settle()
}

// begun goes on from a new disk.
func (c *Node) begun(d *consensus.PersistentState) {
	c.voter, c.work = nil, nil
	if d.ID != 0 {
		c.start(d)
		if c.note.Pledged != 0 && !c.applies() {
			c.asNewcomer = c.now
		}
	}
}

// send lets a message leave.
func (c *Node) send(to string, m *Message) {
	m.From = c.set.Name
	if to == c.set.Name {
		c.queue = append(c.queue, m)
		return
	}
	s, ok := c.seats.of(to)
	if !ok {
		s, _ = c.note.Seats.of(to)
	}
	c.outs = append(c.outs, Outgoing{to, s.Addr, m})
}

// settle goes on until there is nothing more to do without the disk or another node.
func (c *Node) settle() {
	for {
		for len(c.queue) > 0 {
			m := c.queue[0]
			c.queue = c.queue[1:]
			c.take(m)
		}
		if !c.step() && len(c.queue) == 0 {
			return
		}
	}
}

// step does the next piece of work, and tells whether there may be more.
func (c *Node) step() bool {
	if c.saving != nil {
		return false
	}
	if c.begin != nil {
		c.saving = &PendingSave{NewState: c.begin, UserData: appendNote(nil, &c.note)}
		c.begin, c.noteDirty = nil, false
		return false
	}
	if c.voter != nil && c.broken == nil {
		if c.broken = c.voter.Broken(); c.voter.DiskStale() {
			c.giveUp()
			return true
		}
		c.propose()
		if w, ok := c.voter.Ready(); ok {
			if w.Update.Empty() && !c.noteDirty {
				c.finish(&w)
				return true
			}
			c.work = &w
			c.saving = &PendingSave{Update: w.Update}
		}
	}
	if c.noteDirty {
		if c.saving == nil {
			c.saving = &PendingSave{}
		}
		c.saving.UserData, c.noteDirty = appendNote(nil, &c.note), false
	}
	return false
}

// giveUp ends this node's voter for good: its number is another's, or its disk has forgotten something.
func (c *Node) giveUp() {
	c.voter, c.work, c.broken = nil, nil, nil
	c.begin = &consensus.PersistentState{}
	c.note.Pledged = 0
	c.refuse()
}

// finish does what may be done once a Work is saved.
func (c *Node) finish(w *consensus.Ready) {
	for i := range w.Messages {
		m := w.Messages[i]
		if to := c.nameOf(m.To); to != "" {
			c.send(to, &Message{Kind: RaftMessage, Voter: &m})
		}
	}
	if w.Restore != nil {
		if err := c.restore(w.Restore); err != nil {
			c.broken = err
			return
		}
	}
	for i := range w.Entries {
		if err := c.apply(&w.Entries[i]); err != nil {
			c.broken = err
			return
		}
	}
	if err := c.voter.Advance(); err != nil {
		c.broken = err
		return
	}
	if c.commands >= c.set.CompactEvery || c.voter.WantsSnapshot() && c.applies() && c.seats.Founding != 0 {
		c.commands = 0
		snap := c.machine.Snapshot()
		if err := c.voter.Compact(c.voter.Applied(), appendState(nil, &c.seats, &snap, c.table)); err != nil {
			c.broken = err
		}
	}
}

// nameOf is the node of a number; "": it is not known.
func (c *Node) nameOf(id uint64) string {
	if s, ok := c.seats.by(id); ok {
		return s.Name
	}
	if s, ok := c.note.Seats.by(id); ok {
		return s.Name
	}
	return c.heard[id]
}

// apply does what an entry says, and answers if this node leads.
func (c *Node) apply(e *consensus.Entry) error {
	x, err := parseEntry(e.Data)
	if err != nil {
		return fmt.Errorf("council: entry %d: %w", e.Index, err)
	}
	if x.Level > level {
		return fmt.Errorf("council: entry %d is of level %d, and this program knows %d: it must be a later one", e.Index, x.Level, level)
	}
	leads := c.IsLeader()
	if x.Change != nil && c.seats.change(x.Change.Out, x.Change.In, e.Index) {
		c.learn(c.seats)
	}
	for i := range x.Items {
		it := &x.Items[i]
		c.commands++
		if it.Maintenance != nil {
			a := c.table.Apply(it.Maintenance, c.seats.nodes())
			if leads && it.Origin != "" {
				c.send(it.Origin, &Message{Kind: MaintenanceReply, Ref: it.Ref, MaintenanceAnswer: &a})
			}
			continue
		}
		a, grants := c.machine.Apply(&it.Command)
		if !leads {
			continue
		}
		if it.Origin != "" {
			c.send(it.Origin, &Message{Kind: CommandAnswer, Life: it.Command.Holder.Life, Seq: it.Command.Seq, Ref: it.Ref, Answer: &a})
		}
		for _, g := range grants {
			answer := g.Answer
			c.send(g.Holder.Name, &Message{Kind: CommandAnswer, Life: g.Holder.Life, Answer: &answer})
		}
	}
	return nil
}

// propose puts what has come into one entry, if this node leads; else it goes to who does.
func (c *Node) propose() {
	if len(c.batch) == 0 {
		return
	}
	if !c.IsLeader() {
		c.refuse()
		return
	}
	n, size := 0, 0
	e := entry{Level: level}
	for ; n < len(c.batch) && n < mostItems && size < mostItemBytes; n++ {
		size += c.batch[n].size()
	}
	e.Items = c.batch[:n]
	err := c.voter.Propose(appendEntry(nil, &e))
	if err != nil { // too much is under way, or the lead was lost just now
		c.refuse()
		return
	}
	c.batch = slices.Clone(c.batch[n:])
}

// refuse tells all who wait for the next entry to ask again.
func (c *Node) refuse() {
	batch := c.batch
	c.batch = nil
	for i := range batch {
		c.helpless(&batch[i])
	}
}

func (c *Node) helpless(i *ForwardedCommand) {
	if i.Origin == "" {
		return
	}
	m := &Message{Kind: CannotServe, Life: i.Command.Holder.Life, Seq: i.Command.Seq, Ref: i.Ref}
	if c.note.Seats.Founding != 0 {
		s := c.note.Seats.clone()
		m.VoterSet = &s
	}
	c.send(i.Origin, m)
}

// lead does what a leader's clock says.
func (c *Node) lead() {
	leads, term := c.voter.IsLeader()
	if !leads || !c.applies() {
		c.keeper = nil
		return
	}
	if c.keeper == nil || c.term != term {
		c.keeper, c.term = lease.NewExpiryTracker(c.set.Timing), term
		clear(c.absent)
		clear(c.offers)
		c.decided = c.now
	}
	for _, x := range c.keeper.Expired(c.now, c.machine) {
		c.batch = append(c.batch, ForwardedCommand{Command: x})
	}
	c.settleSeats()
}

// take does what a message says.
func (c *Node) take(m *Message) {
	if m.VoterSet != nil && m.Kind != VotersKnown {
		c.learn(*m.VoterSet)
	}
	switch m.Kind {
	case RaftMessage:
		c.voted(m)
	case SubmitCommand:
		c.asked(m)
	case CommandAnswer:
		c.leader = m.From
		c.told = append(c.told, LocalReply{Kind: CommandAnswer, Life: m.Life, Seq: m.Answer.Seq, Ref: m.Ref, Answer: *m.Answer, From: m.From})
	case CannotServe:
		if c.leader == m.From {
			c.leader = ""
		}
		c.told = append(c.told, LocalReply{Kind: CannotServe, Life: m.Life, Seq: m.Seq, Ref: m.Ref, From: m.From})
	case QueryVoters:
		if c.note.Seats.Founding != 0 {
			s := c.note.Seats.clone()
			c.send(m.From, &Message{Kind: VotersKnown, VoterSet: &s, Founding: m.Founding, Settled: c.agreed()})
		} else {
			c.send(m.From, &Message{Kind: NoVotersKnown, Founding: m.Founding})
		}
	case NoVotersKnown:
		if f := c.founding; f != nil && m.Founding == f.id {
			f.unseated[m.From] = true
		}
	case VotersKnown:
		c.seated(m)
	case RequestID:
		c.offered(m)
	case IDOffered:
		c.accepted(m)
	case ReplacementVoter:
		if s, ok := c.seats.of(m.From); ok && s.ID != m.ID && m.Founding == c.seats.Founding {
			c.newcomers[m.From] = newcomer{m.ID, c.now}
		}
	case QueryLeases:
		c.list(m)
	case QueryMaintenance:
		c.works(m)
	case MaintenanceReply:
		c.told = append(c.told, LocalReply{Kind: MaintenanceReply, Ref: m.Ref, From: m.From, MaintenanceAnswer: m.MaintenanceAnswer, MaintenanceTable: m.MaintenanceTable})
	case LeasePage:
		c.told = append(c.told, LocalReply{Kind: LeasePage, Ref: m.Ref, From: m.From, Term: m.Term, Page: m.Page, Pages: m.Pages, Leases: m.Leases})
	}
}

// voted takes a message of another voter.
func (c *Node) voted(m *Message) {
	if c.nameOf(m.Voter.From) == "" {
		if len(c.heard) >= mostHeard {
			clear(c.heard)
		}
		c.heard[m.Voter.From] = m.From
	}
	if c.voter != nil && !c.hung() && c.broken == nil {
		c.voter.Receive(m.Voter)
	}
}
