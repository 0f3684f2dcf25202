package raftstore

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/internal/fleet/consensus"
)

// damagedFolders calls check with copies of a folder of which one file is damaged: cut at each byte, one byte changed,
// or removed. The name and the offset say where.
func damagedFolders(intact *folder, check func(damaged *folder, what, name string, offset int)) {
	for name, content := range intact.files {
		damage := func(what string, offset int, damagedContent []byte) {
			damaged := newFolder()
			damaged.files = maps.Clone(intact.files)
			damaged.files[name] = damagedContent
			if what == "removed" {
				delete(damaged.files, name)
			}
			check(damaged, what, name, offset)
		}
		damage("removed", 0, nil)
		for offset := range content {
			damage("cut", offset, slices.Clone(content[:offset]))
			changed := slices.Clone(content)
			changed[offset] ^= 0x41
			damage("changed", offset, changed)
		}
	}
}

// Whichever one file is damaged, a voter must have all that it has saved, or must be told that it has not and where.
// Nothing that was saved may count as a write that a crash interrupted.
func TestDamageLosesNoSaveUnnoticed(t *testing.T) {
	f, states := saveStates(t)
	counts, failures := map[string]int{}, 0
	damagedFolders(f, func(damaged *folder, what, name string, offset int) {
		_, loaded := openStore(damaged)
		index := slices.Index(states, stateText(&loaded.State))
		switch {
		case loaded.DistrustReason != "":
			counts[what+", distrusted"]++
			if !strings.Contains(loaded.DistrustReason, name) && what != "removed" {
				t.Errorf("%s %s at byte %d: the reason does not name the file: %s", name, what, offset, loaded.DistrustReason)
			}
		case index == len(states)-1:
			counts[what+", nothing lost"]++
		default:
			counts[what+", an earlier state is trusted"]++
			if failures++; failures <= 5 {
				t.Errorf("%s %s at byte %d: state %d of %d is trusted", name, what, offset, index, len(states)-1)
			}
		}
	})
	t.Log(counts)
}

// With both copies of the journal cut, the state must be the later one that they hold, or be distrusted, with the copy
// that lacks more than a crash can have cut off.
func TestCutsOfBothCopies(t *testing.T) {
	const step = 37
	f, states := saveStates(t)
	journal, mirror := f.files["journal-1"], f.files["mirror-1"]
	open := func(journalSize, mirrorSize int) Loaded {
		f.files["journal-1"], f.files["mirror-1"] = journal[:journalSize], mirror[:mirrorSize]
		_, loaded := openStore(f)
		return loaded
	}
	stateAt := func(size int) int {
		loaded := open(size, size)
		return slices.Index(states, stateText(&loaded.State))
	}
	const header = 39
	trusted, distrusted := 0, 0
	check := func(journalSize, mirrorSize int) {
		loaded := open(journalSize, mirrorSize)
		journalState, mirrorState := stateAt(journalSize), stateAt(mirrorSize)
		earlier, later, shorter := journalState, mirrorState, "journal-1"
		if mirrorState < journalState {
			earlier, later, shorter = mirrorState, journalState, "mirror-1"
		}
		// The snapshot and the first commit have the same state.
		crashExplains := later == earlier || later == earlier+1 && earlier > 0
		where := fmt.Sprintf("cut at bytes %d and %d, states %d and %d", journalSize, mirrorSize, journalState, mirrorState)
		switch state := slices.Index(states, stateText(&loaded.State)); {
		case loaded.DistrustReason == "":
			trusted++
			if state != later || later > earlier+1 {
				t.Errorf("%s: state %d is trusted", where, state)
			}
		case crashExplains || !strings.Contains(loaded.DistrustReason, shorter+" damaged or cut at byte "):
			t.Errorf("%s: distrusted: %s", where, loaded.DistrustReason)
		default:
			distrusted++
		}
	}
	for journalSize := header; journalSize <= len(journal); journalSize += step {
		for mirrorSize := header; mirrorSize <= len(mirror); mirrorSize += step {
			check(journalSize, mirrorSize)
		}
	}
	t.Logf("%d pairs of cuts trusted, %d distrusted", trusted, distrusted)
	if trusted == 0 || distrusted == 0 {
		t.Error("one of the outcomes was not reached")
	}
}

// storedVoters are voters whose state is in stores and whose messages arrive at once.
type storedVoters struct {
	t       *testing.T
	folders map[uint64]*folder
	stores  map[uint64]*Store
	voters  map[uint64]*consensus.Voter
}

// start starts a voter from its folder. It returns false if the saved state must not be trusted.
func (c *storedVoters) start(id uint64) bool {
	c.t.Helper()
	opened, loaded := openStore(c.folders[id])
	if loaded.DistrustReason != "" {
		return false
	}
	voter, err := consensus.New(consensus.Settings{}, &loaded.State, id)
	if err != nil {
		c.t.Fatal(err)
	}
	c.stores[id], c.voters[id] = opened, voter
	return true
}

// process saves and delivers until the voters have nothing to do. Appended entries are not delivered.
func (c *storedVoters) process() {
	for more := true; more; {
		more = false
		for _, id := range slices.Sorted(maps.Keys(c.voters)) {
			ready, ok := c.voters[id].Ready()
			if !ok {
				continue
			}
			more = true
			if err := c.stores[id].Save(time.Hour, &ready.Update, nil); err != nil {
				c.t.Fatal(err)
			}
			for i := range ready.Messages {
				message := &ready.Messages[i]
				receiver := c.voters[message.To]
				if receiver == nil || len(message.Raft.GetEntries()) > 0 {
					continue
				}
				receiver.Receive(message)
			}
			if err := c.voters[id].Advance(); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// tickUntil ticks one voter until a condition holds.
func (c *storedVoters) tickUntil(id uint64, what string, condition func() bool) {
	c.t.Helper()
	for range 200 {
		if c.process(); condition() {
			return
		}
		c.voters[id].Tick()
	}
	c.t.Fatalf("voter %d: condition did not occur: %s", id, what)
}

// Voter 2 has become leader by the vote of voter 1, which is restarted after one file of its disk was damaged. Whatever
// that leaves of its state, voter 3 must not become leader of the same term.
func TestDamagedVoterVotesOncePerTerm(t *testing.T) {
	cluster := &storedVoters{t: t, folders: map[uint64]*folder{}, stores: map[uint64]*Store{}, voters: map[uint64]*consensus.Voter{}}
	for _, state := range consensus.NewCluster([]uint64{1, 2, 3}) {
		cluster.folders[state.ID] = newFolder()
		opened, _ := openStore(cluster.folders[state.ID])
		if err := opened.Reset(time.Hour, &state, nil); err != nil {
			t.Fatal(err)
		}
		cluster.start(state.ID)
	}
	for id, voter := range cluster.voters {
		cluster.tickUntil(id, "the start is confirmed", voter.BootConfirmed)
	}
	third := cluster.folders[3].clone()
	delete(cluster.voters, 3)
	isLeader := func(id uint64) func() bool {
		return func() bool { leads, _ := cluster.voters[id].IsLeader(); return leads }
	}
	cluster.tickUntil(2, "it leads", isLeader(2))
	_, term := cluster.voters[2].IsLeader()
	delete(cluster.voters, 2)
	delete(cluster.voters, 1)

	counts, failures := map[string]int{}, 0
	damagedFolders(cluster.folders[1].clone(), func(damaged *folder, what, name string, offset int) {
		cluster.folders[1], cluster.folders[3] = damaged, third.clone()
		if !cluster.start(1) {
			counts[what+", voter distrusts its disk"]++
			return
		}
		cluster.start(3)
		cluster.tickUntil(1, "the start is confirmed", func() bool { return cluster.voters[1].BootConfirmed() || cluster.voters[1].DiskStale() })
		if cluster.voters[1].DiskStale() {
			counts[what+", another voter knows of a later start"]++
			return
		}
		cluster.tickUntil(3, "it leads", isLeader(3))
		if _, nextTerm := cluster.voters[3].IsLeader(); nextTerm > term {
			counts[what+", the vote is kept"]++
			return
		}
		counts[what+", two leaders of one term"]++
		if failures++; failures <= 5 {
			t.Errorf("%s %s at byte %d: voters 2 and 3 both lead in term %d", name, what, offset, term)
		}
	})
	t.Log(counts)
	if counts["cut, the vote is kept"] == 0 {
		t.Error("no damage left a voter that goes on")
	}
}

// clone returns a copy of the folder.
func (f *folder) clone() *folder {
	next := newFolder()
	for name, content := range f.files {
		next.files[name], next.synced[name] = slices.Clone(content), f.synced[name]
	}
	return next
}

// A voter that gave up its ID because of a damaged file must keep the state that it was given then, at each start.
func TestStateAfterDamageIsKept(t *testing.T) {
	f, _ := saveStates(t)
	again := map[string]int{}
	damagedFolders(f, func(damaged *folder, what, name string, offset int) {
		if offset%5 != 0 { // each start writes a generation
			return
		}
		opened, loaded := openStore(damaged)
		if loaded.DistrustReason == "" {
			return
		}
		admitted := consensus.NewCluster([]uint64{10, 8, 9})[0]
		if err := opened.Reset(time.Hour, &admitted, nil); err != nil {
			t.Fatal(err)
		}
		for start := range 3 {
			opened, loaded = openStore(damaged)
			if loaded.DistrustReason != "" || stateText(&loaded.State) != stateText(&admitted) {
				again[fmt.Sprintf("%s, start %d", what, start+1)]++
				t.Errorf("%s %s at byte %d, start %d: state %s, distrusted: %s", name, what, offset, start+1, stateText(&loaded.State), loaded.DistrustReason)
				return
			}
			update := consensus.Update{Boots: map[uint64]uint64{10: uint64(start+1) << 32}}
			if err := opened.Save(time.Hour, &update, nil); err != nil {
				t.Fatal(err)
			}
			admitted.Apply(&update)
		}
	})
	t.Log(again)
}
