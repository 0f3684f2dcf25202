package consensus

import (
	"fmt"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// group is voters whose messages arrive at once, unless one is down.
type group struct {
	t     *testing.T
	disks map[uint64]*PersistentState
	up    map[uint64]*Voter
	said  map[uint64][]string // applied, with the state that snapshots carry
	held  func(m *Message) bool
	seed  uint64
}

func newGroup(t *testing.T, n int) *group {
	g := &group{t: t, disks: map[uint64]*PersistentState{}, up: map[uint64]*Voter{}, said: map[uint64][]string{}}
	var ids []uint64
	for i := range n {
		ids = append(ids, uint64(i+1))
	}
	for _, d := range NewCluster(ids) {
		g.disks[d.ID] = &d
		g.start(d.ID)
	}
	return g
}

func (g *group) start(id uint64) {
	g.t.Helper()
	d := g.disks[id].Clone()
	v, err := New(Settings{KeepEntries: 5}, &d, 7+g.seed)
	if err != nil {
		g.t.Fatal(err)
	}
	g.up[id] = v
	g.said[id] = nil
	if d.Snapshot != nil && len(d.Snapshot.GetData()) > 0 {
		g.said[id] = []string{string(d.Snapshot.GetData())}
	}
}

// settle does all work that there is.
func (g *group) settle() {
	for more := true; more; {
		more = false
		for _, id := range g.ids() {
			v := g.up[id]
			for {
				w, ok := v.Ready()
				if !ok {
					break
				}
				more = true
				g.disks[id].Apply(&w.Update)
				if w.Restore != nil {
					g.said[id] = []string{string(w.Restore)}
				}
				for _, e := range w.Entries {
					g.said[id] = append(g.said[id], string(e.Data))
				}
				if err := v.Advance(); err != nil {
					g.t.Fatal(err)
				}
				if v.WantsSnapshot() {
					if err := v.Compact(v.Applied(), []byte(fmt.Sprint("state of ", len(g.said[id])))); err != nil {
						g.t.Fatal(err)
					}
				}
				for i := range w.Messages {
					if to := g.up[w.Messages[i].To]; to != nil && (g.held == nil || !g.held(&w.Messages[i])) {
						to.Receive(&w.Messages[i])
					}
				}
			}
		}
	}
}

func (g *group) ids() (all []uint64) {
	for id := range g.up {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}

// until ticks until something holds.
func (g *group) until(what string, ok func() bool) {
	g.t.Helper()
	for range 300 {
		g.settle()
		if ok() {
			return
		}
		for _, id := range g.ids() {
			g.up[id].Tick()
		}
	}
	g.t.Fatalf("never: %s", what)
}

func (g *group) leader() *Voter {
	for _, id := range g.ids() {
		if leads, _ := g.up[id].IsLeader(); leads {
			return g.up[id]
		}
	}
	return nil
}

func (g *group) propose(n int) {
	g.t.Helper()
	for i := range n {
		g.until("a leader that takes a proposal", func() bool {
			l := g.leader()
			return l != nil && l.Propose([]byte(fmt.Sprint(i))) == nil
		})
		g.settle()
	}
}

func TestAVoterMustKnowThatItsDiskIsNoOlder(t *testing.T) {
	g := newGroup(t, 3)
	g.until("a leader", func() bool { return g.leader() != nil })
	g.propose(5)
	backup := g.disks[2].Clone()
	for range 2 { // two starts after the backup
		delete(g.up, 2)
		g.start(2)
		g.until("it is cleared", func() bool { return g.up[2].BootConfirmed() })
	}
	g.propose(5)
	delete(g.up, 2)
	g.disks[2] = &backup
	g.start(2)
	g.until("it gives its number up", func() bool { return g.up[2].DiskStale() })
	if g.up[2].Propose([]byte("x")) == nil || g.up[2].Replace(1, 9) == nil {
		t.Error("a voter that is none any more proposes")
	}
	// Nobody answers: it is not cleared, and neither votes nor asks for votes.
	h := newGroup(t, 3)
	h.held = func(m *Message) bool { return m.To == 3 || m.From == 3 }
	h.until("the others have a leader", func() bool { return h.leader() != nil })
	if h.up[3].BootConfirmed() || h.up[3].Leader() != 0 {
		t.Error("one that hears nobody is cleared")
	}
}

// A backup that is put back after a single start counts as many starts as the disk in whose place it comes; what is drawn
// with each tells them apart.
func TestABackupOfTheSameCount(t *testing.T) {
	g := newGroup(t, 3)
	g.until("a leader", func() bool { return g.leader() != nil })
	g.propose(5)
	backup := g.disks[2].Clone()
	delete(g.up, 2)
	g.start(2)
	g.until("it is cleared", func() bool { return g.up[2].BootConfirmed() })
	g.propose(5) // it has promised something since
	delete(g.up, 2)
	g.disks[2] = &backup
	g.seed++
	g.start(2)
	g.until("it gives its number up", func() bool { return g.up[2].DiskStale() })
	if g.up[2].BootConfirmed() {
		t.Error("it had a voice before")
	}
}

func TestALostDiskIsAnotherVoter(t *testing.T) {
	g := newGroup(t, 3)
	g.until("a leader", func() bool { return g.leader() != nil })
	g.propose(20)
	var gone uint64
	for _, id := range g.ids() {
		if leads, _ := g.up[id].IsLeader(); !leads {
			gone = id
		}
	}
	delete(g.up, gone)
	delete(g.disks, gone)
	g.disks[77] = &PersistentState{ID: 77}
	g.start(77)
	if err := g.leader().Replace(gone, 1000+gone); err != nil { // one that never comes
		t.Fatal(err)
	}
	g.until("the change", func() bool { return slices.Contains(g.leader().Voters(), 1000+gone) })
	if err := g.leader().Replace(1000+gone, 77); err != nil {
		t.Fatal(err)
	}
	g.until("the new one has all", func() bool { return len(g.said[77]) > 0 && g.said[77][0] == "state of 20" })
	if g.leader().Replace(gone, 5) == nil || g.leader().Replace(77, 77) == nil {
		t.Error("a change that makes no sense was taken")
	}
	// It counts: with it and one of the others there is a majority.
	for _, id := range g.ids() {
		if leads, _ := g.up[id].IsLeader(); leads {
			delete(g.up, id)
		}
	}
	g.propose(3)
}

func TestTheLogStaysShort(t *testing.T) {
	g := newGroup(t, 3)
	g.until("a leader", func() bool { return g.leader() != nil })
	behind := g.ids()[0]
	if g.leader().ID() == behind {
		behind = g.ids()[1]
	}
	delete(g.up, behind)
	for range 10 {
		g.propose(10)
		for _, id := range g.ids() {
			if err := g.up[id].Compact(g.up[id].Applied(), []byte(fmt.Sprint("state of ", len(g.said[id])))); err != nil {
				t.Fatal(err)
			}
		}
		g.settle()
	}
	for _, id := range g.ids() {
		if n := len(g.disks[id].Entries); n > 20 {
			t.Errorf("voter %d has %d entries on disk", id, n)
		}
	}
	g.start(behind)
	g.propose(1)
	g.until("the one that was away goes on from a snapshot", func() bool {
		n := len(g.said[behind])
		return n > 0 && g.said[behind][n-1] == "0" && g.said[behind][0][:5] == "state"
	})
	// Each starts again from what it has.
	for _, id := range g.ids() {
		delete(g.up, id)
		g.start(id)
	}
	g.propose(2)
}

// A snapshot that is lost on its way is sent again, however often.
func TestLostSnapshotsAreSentAgain(t *testing.T) {
	g := newGroup(t, 3)
	g.until("a leader", func() bool { return g.leader() != nil })
	behind := g.ids()[0]
	if g.leader().ID() == behind {
		behind = g.ids()[1]
	}
	delete(g.up, behind)
	g.propose(20)
	for _, id := range g.ids() {
		if err := g.up[id].Compact(g.up[id].Applied(), []byte("state")); err != nil {
			t.Fatal(err)
		}
	}
	lost := 0
	g.held = func(m *Message) bool {
		if m.Raft != nil && m.Raft.GetType() == raftpb.MsgSnap && lost < 3 {
			lost++
			return true
		}
		return false
	}
	g.start(behind)
	g.until("the one that was away has the state", func() bool { return len(g.said[behind]) > 0 && g.said[behind][0] == "state" })
	if lost < 3 {
		t.Errorf("%d snapshots were lost, wanted 3", lost)
	}
	if n, ok := g.leader().Lag(behind); !ok || n > 0 {
		t.Errorf("it is %d entries behind, known %v", n, ok)
	}
}

// What no leader can say ends the voter, not the process; one that is told that it had more than it has gives its number up.
func TestMadeUpMessages(t *testing.T) {
	g := newGroup(t, 3)
	g.until("a leader", func() bool { return g.leader() != nil })
	g.propose(3)
	for _, id := range g.ids() {
		if g.up[id] == g.leader() {
			continue
		}
		term, far := uint64(99), uint64(1000)
		beat := raftpb.MsgHeartbeat
		m := &raftpb.Message{Type: &beat, Term: &term, From: &far, To: &id, Commit: &far}
		g.up[id].Receive(&Message{From: far, To: id, Boot: 1 << 32, Raft: m})
		if !g.up[id].DiskStale() {
			t.Error("a heartbeat for what was never here was taken")
		}
		g.start(id)
		g.up[id].cleared = true
		if _, ok := g.up[id].Ready(); !ok { // its disk is at work
			t.Fatal("a start is not saved")
		}
		g.up[id].Receive(&Message{From: far, To: id, Boot: 1 << 32, Raft: m})
		if err := g.up[id].Advance(); g.up[id].Broken() == nil || err == nil {
			t.Errorf("the voter goes on: %v, %v", g.up[id].Broken(), err)
		}
		g.start(id)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(uint64(1), uint64(2), uint64(1), uint64(3), true)
	f.Fuzz(func(t *testing.T, from, to, boot, known uint64, hello bool) {
		d := NewCluster([]uint64{1, 2, 3})[0]
		v, err := New(Settings{}, &d, 1)
		if err != nil {
			t.Fatal(err)
		}
		v.Receive(&Message{From: from, To: to, Boot: boot, KnownBoot: known, BootQuery: hello})
		v.Tick()
		if w, ok := v.Ready(); ok {
			d.Apply(&w.Update)
			if err := v.Advance(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
