package consensus

import (
	"fmt"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// cluster is a set of voters whose messages arrive at once, except those of stopped voters.
type cluster struct {
	t       *testing.T
	disks   map[uint64]*PersistentState
	running map[uint64]*Voter
	applied map[uint64][]string // applied entries, after the state of the last snapshot
	dropped func(m *Message) bool
	seed    uint64
}

func newTestCluster(t *testing.T, n int) *cluster {
	c := &cluster{t: t, disks: map[uint64]*PersistentState{}, running: map[uint64]*Voter{}, applied: map[uint64][]string{}}
	var ids []uint64
	for i := range n {
		ids = append(ids, uint64(i+1))
	}
	for _, state := range NewCluster(ids) {
		c.disks[state.ID] = &state
		c.startVoter(state.ID)
	}
	return c
}

func (c *cluster) startVoter(id uint64) {
	c.t.Helper()
	state := c.disks[id].Clone()
	v, err := New(Settings{KeepEntries: 5}, &state, 7+c.seed)
	if err != nil {
		c.t.Fatal(err)
	}
	c.running[id] = v
	c.applied[id] = nil
	if state.Snapshot != nil && len(state.Snapshot.GetData()) > 0 {
		c.applied[id] = []string{string(state.Snapshot.GetData())}
	}
}

// processReady handles all pending work.
func (c *cluster) processReady() {
	for more := true; more; {
		more = false
		for _, id := range c.ids() {
			v := c.running[id]
			for {
				ready, ok := v.Ready()
				if !ok {
					break
				}
				more = true
				c.disks[id].Apply(&ready.Update)
				if ready.Restore != nil {
					c.applied[id] = []string{string(ready.Restore)}
				}
				for _, entry := range ready.Entries {
					c.applied[id] = append(c.applied[id], string(entry.Data))
				}
				if err := v.Advance(); err != nil {
					c.t.Fatal(err)
				}
				if v.WantsSnapshot() {
					if err := v.Compact(v.Applied(), []byte(fmt.Sprint("state of ", len(c.applied[id])))); err != nil {
						c.t.Fatal(err)
					}
				}
				for i := range ready.Messages {
					if receiver := c.running[ready.Messages[i].To]; receiver != nil && (c.dropped == nil || !c.dropped(&ready.Messages[i])) {
						receiver.Receive(&ready.Messages[i])
					}
				}
			}
		}
	}
}

func (c *cluster) ids() (ids []uint64) {
	for id := range c.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// waitFor ticks until a condition holds.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for range 300 {
		c.processReady()
		if condition() {
			return
		}
		for _, id := range c.ids() {
			c.running[id].Tick()
		}
	}
	c.t.Fatalf("condition did not occur: %s", what)
}

func (c *cluster) leader() *Voter {
	for _, id := range c.ids() {
		if isLeader, _ := c.running[id].IsLeader(); isLeader {
			return c.running[id]
		}
	}
	return nil
}

func (c *cluster) propose(n int) {
	c.t.Helper()
	for i := range n {
		c.waitFor("a leader that accepts a proposal", func() bool {
			leader := c.leader()
			return leader != nil && leader.Propose([]byte(fmt.Sprint(i))) == nil
		})
		c.processReady()
	}
}

func TestOldDiskIsDetectedByBootCount(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitFor("a leader", func() bool { return c.leader() != nil })
	c.propose(5)
	backup := c.disks[2].Clone()
	for range 2 { // two starts after the backup
		delete(c.running, 2)
		c.startVoter(2)
		c.waitFor("confirmation of the start", func() bool { return c.running[2].BootConfirmed() })
	}
	c.propose(5)
	delete(c.running, 2)
	c.disks[2] = &backup
	c.startVoter(2)
	c.waitFor("detection of the old disk", func() bool { return c.running[2].DiskStale() })
	if c.running[2].Propose([]byte("x")) == nil || c.running[2].Replace(1, 9) == nil {
		t.Error("a voter that has given up its ID accepted a proposal")
	}
	// Without replies, a voter's start is not confirmed, and it neither votes nor starts elections.
	isolated := newTestCluster(t, 3)
	isolated.dropped = func(m *Message) bool { return m.To == 3 || m.From == 3 }
	isolated.waitFor("a leader of the others", func() bool { return isolated.leader() != nil })
	if isolated.running[3].BootConfirmed() || isolated.running[3].Leader() != 0 {
		t.Error("the start of an isolated voter was confirmed")
	}
}

// If a backup is restored after a single start, its next start has the same count as the one on the disk that it
// replaces. The random part of the start must reveal the old disk.
func TestOldDiskWithEqualBootCountIsDetected(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitFor("a leader", func() bool { return c.leader() != nil })
	c.propose(5)
	backup := c.disks[2].Clone()
	delete(c.running, 2)
	c.startVoter(2)
	c.waitFor("confirmation of the start", func() bool { return c.running[2].BootConfirmed() })
	c.propose(5) // it has acknowledged entries since the backup
	delete(c.running, 2)
	c.disks[2] = &backup
	c.seed++
	c.startVoter(2)
	c.waitFor("detection of the old disk", func() bool { return c.running[2].DiskStale() })
	if c.running[2].BootConfirmed() {
		t.Error("the start was confirmed on an old disk")
	}
}

func TestVoterWithLostDiskIsReplaced(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitFor("a leader", func() bool { return c.leader() != nil })
	c.propose(20)
	var lost uint64
	for _, id := range c.ids() {
		if isLeader, _ := c.running[id].IsLeader(); !isLeader {
			lost = id
		}
	}
	delete(c.running, lost)
	delete(c.disks, lost)
	c.disks[77] = &PersistentState{ID: 77}
	c.startVoter(77)
	if err := c.leader().Replace(lost, 1000+lost); err != nil { // a voter that never starts
		t.Fatal(err)
	}
	c.waitFor("the configuration change", func() bool { return slices.Contains(c.leader().Voters(), 1000+lost) })
	if err := c.leader().Replace(1000+lost, 77); err != nil {
		t.Fatal(err)
	}
	c.waitFor("all entries at the new voter", func() bool { return len(c.applied[77]) > 0 && c.applied[77][0] == "state of 20" })
	if c.leader().Replace(lost, 5) == nil || c.leader().Replace(77, 77) == nil {
		t.Error("an invalid change was accepted")
	}
	// The new voter counts: together with one of the others it is a majority.
	for _, id := range c.ids() {
		if isLeader, _ := c.running[id].IsLeader(); isLeader {
			delete(c.running, id)
		}
	}
	c.propose(3)
}

func TestCompactionKeepsLogShort(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitFor("a leader", func() bool { return c.leader() != nil })
	behind := c.ids()[0]
	if c.leader().ID() == behind {
		behind = c.ids()[1]
	}
	delete(c.running, behind)
	for range 10 {
		c.propose(10)
		for _, id := range c.ids() {
			if err := c.running[id].Compact(c.running[id].Applied(), []byte(fmt.Sprint("state of ", len(c.applied[id])))); err != nil {
				t.Fatal(err)
			}
		}
		c.processReady()
	}
	for _, id := range c.ids() {
		if n := len(c.disks[id].Entries); n > 20 {
			t.Errorf("voter %d has %d entries on disk, want at most 20", id, n)
		}
	}
	c.startVoter(behind)
	c.propose(1)
	c.waitFor("the snapshot at the voter that was stopped", func() bool {
		n := len(c.applied[behind])
		return n > 0 && c.applied[behind][n-1] == "0" && c.applied[behind][0][:5] == "state"
	})
	// All voters must be able to restart from their disks.
	for _, id := range c.ids() {
		delete(c.running, id)
		c.startVoter(id)
	}
	c.propose(2)
}

// A snapshot that is lost must be sent again, every time.
func TestLostSnapshotsAreRetried(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitFor("a leader", func() bool { return c.leader() != nil })
	behind := c.ids()[0]
	if c.leader().ID() == behind {
		behind = c.ids()[1]
	}
	delete(c.running, behind)
	c.propose(20)
	for _, id := range c.ids() {
		if err := c.running[id].Compact(c.running[id].Applied(), []byte("state")); err != nil {
			t.Fatal(err)
		}
	}
	lost := 0
	c.dropped = func(m *Message) bool {
		if m.Raft != nil && m.Raft.GetType() == raftpb.MsgSnap && lost < 3 {
			lost++
			return true
		}
		return false
	}
	c.startVoter(behind)
	c.waitFor("the snapshot at the voter that was stopped", func() bool { return len(c.applied[behind]) > 0 && c.applied[behind][0] == "state" })
	if lost < 3 {
		t.Errorf("%d snapshots were lost, want 3", lost)
	}
	if n, ok := c.leader().Lag(behind); !ok || n > 0 {
		t.Errorf("lag is %d entries, known %v", n, ok)
	}
}

// A message that no leader can send must stop the voter, not the process. A heartbeat with a commit index beyond
// the voter's log must make it give up its ID.
func TestForgedMessages(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitFor("a leader", func() bool { return c.leader() != nil })
	c.propose(3)
	for _, id := range c.ids() {
		if c.running[id] == c.leader() {
			continue
		}
		term, forged := uint64(99), uint64(1000)
		heartbeat := raftpb.MsgHeartbeat
		m := &raftpb.Message{Type: &heartbeat, Term: &term, From: &forged, To: &id, Commit: &forged}
		c.running[id].Receive(&Message{From: forged, To: id, Boot: 1 << 32, Raft: m})
		if !c.running[id].DiskStale() {
			t.Error("a heartbeat with an impossible commit index was accepted")
		}
		c.startVoter(id)
		c.running[id].bootConfirmed = true
		if _, ok := c.running[id].Ready(); !ok { // a disk write is in progress
			t.Fatal("the start was not saved")
		}
		c.running[id].Receive(&Message{From: forged, To: id, Boot: 1 << 32, Raft: m})
		if err := c.running[id].Advance(); c.running[id].Broken() == nil || err == nil {
			t.Errorf("the voter was not stopped: %v, %v", c.running[id].Broken(), err)
		}
		c.startVoter(id)
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(uint64(1), uint64(2), uint64(1), uint64(3), true)
	f.Fuzz(func(t *testing.T, from, to, boot, knownBoot uint64, bootQuery bool) {
		state := NewCluster([]uint64{1, 2, 3})[0]
		v, err := New(Settings{}, &state, 1)
		if err != nil {
			t.Fatal(err)
		}
		v.Receive(&Message{From: from, To: to, Boot: boot, KnownBoot: knownBoot, BootQuery: bootQuery})
		v.Tick()
		if ready, ok := v.Ready(); ok {
			state.Apply(&ready.Update)
			if err := v.Advance(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
