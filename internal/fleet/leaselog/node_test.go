package leaselog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/protofields"
)

// testFleet is a set of nodes whose messages arrive at once and whose disk writes end at once unless they hang.
type testFleet struct {
	t            *testing.T
	now          time.Duration
	members      map[string]Member
	running      map[string]*Node
	disks        map[string]*consensus.PersistentState
	userData     map[string][]byte
	diskHangs    map[string]bool
	dropped      func(from, to string, m *Message) bool
	replies      map[string][]LocalReply
	savedEntries int // saved by any voter
}

func newFleet(t *testing.T, names ...string) *testFleet {
	f := &testFleet{
		t: t, now: time.Hour, members: map[string]Member{}, running: map[string]*Node{}, disks: map[string]*consensus.PersistentState{},
		userData: map[string][]byte{}, diskHangs: map[string]bool{}, replies: map[string][]LocalReply{},
	}
	for i, name := range names {
		f.members[name] = Member{Site: fmt.Sprint("s", i%3), Addr: "127.0.0.1:1"}
		f.disks[name] = &consensus.PersistentState{}
	}
	for _, name := range names {
		f.startNode(name)
	}
	return f
}

func (f *testFleet) startNode(name string) {
	state := f.disks[name].Clone()
	settings := Settings{Name: name, Site: f.members[name].Site, ReplaceAfter: 20 * time.Second, CompactEvery: 50, Consensus: consensus.Settings{KeepEntries: 20}}
	f.running[name] = New(settings, &state, f.userData[name], "", nameHash(name)+uint64(len(f.disks)), f.now)
}

func (f *testFleet) names() (names []string) {
	for name := range f.running {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// processPending does all that can be done at the present time.
func (f *testFleet) processPending() {
	for more := true; more; {
		more = false
		for _, name := range f.names() {
			n := f.running[name]
			if save := n.TakeSave(); save != nil {
				more = true
				if save.NewState != nil {
					state := save.NewState.Clone()
					f.disks[name] = &state
				}
				f.savedEntries += len(save.Update.Entries)
				if !f.diskHangs[name] {
					f.disks[name].Apply(&save.Update)
					if save.UserData != nil {
						f.userData[name] = save.UserData
					}
					n.Saved(f.now)
				}
			}
			outgoing, replies := n.TakeOutgoing()
			f.replies[name] = append(f.replies[name], replies...)
			for _, out := range outgoing {
				more = true
				receiver := f.running[out.To]
				if receiver == nil || f.dropped != nil && f.dropped(name, out.To, out.Message) {
					continue
				}
				b, err := AppendMessage(nil, out.Message)
				if err != nil {
					f.t.Fatal(err)
				}
				m, err := ParseMessage(b) // as received from a socket
				if err != nil {
					f.t.Fatalf("%+v: %v", out.Message, err)
				}
				receiver.Receive(f.now, m)
			}
		}
	}
}

// advance lets time pass.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for _, name := range f.names() {
			f.running[name].SetMembers(f.now, f.members)
			f.running[name].Tick(f.now)
		}
		f.processPending()
	}
}

func (f *testFleet) waitFor(what string, within time.Duration, condition func() bool) {
	f.t.Helper()
	for end := f.now + within; !condition(); f.advance(100 * time.Millisecond) {
		if f.now > end {
			f.t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func (f *testFleet) leader() *Node {
	var leader *Node
	for _, name := range f.names() {
		if n := f.running[name]; n.IsLeader() && (leader == nil || n.Status().Term > leader.Status().Term) {
			leader = n
		}
	}
	return leader
}

// foundLog founds a log and returns its result.
func (f *testFleet) foundLog(founder string, count int, names ...string) (voters VoterSet, err error) {
	ended := false
	if err := f.running[founder].FoundLog(f.now, names, count, 0, func(result VoterSet, foundingErr error) { voters, err, ended = result, foundingErr, true }); err != nil {
		return VoterSet{}, err
	}
	f.waitFor("the end of the founding", 40*time.Second, func() bool { return ended })
	return voters, err
}

func newFoundedFleet(t *testing.T, nodes, voters int) (*testFleet, VoterSet) {
	t.Helper()
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	f := newFleet(t, names...)
	f.advance(time.Second)
	voterSet, err := f.foundLog("n0", voters)
	if err != nil {
		t.Fatal(err)
	}
	f.waitFor("a leader", 10*time.Second, func() bool { return f.leader() != nil })
	return f, voterSet
}

// sendUntilAnswered sends a command from a node until it is answered.
func (f *testFleet) sendUntilAnswered(node string, command lease.Command) lease.Answer {
	f.t.Helper()
	for attempt := range 30 {
		f.replies[node] = nil
		f.running[node].SendLeaseCommand(f.now, command, 0, attempt)
		f.advance(300 * time.Millisecond)
		for _, reply := range f.replies[node] {
			if reply.Kind == CommandAnswer && reply.Life == command.Holder.Life && reply.Seq == command.Seq {
				return reply.Answer
			}
		}
	}
	f.t.Fatalf("no answer to %+v", command)
	return lease.Answer{}
}

func newHolder(node string, life uint64) lease.Holder {
	return lease.Holder{Name: node, Incarnation: 1, Life: life}
}

func TestFounding(t *testing.T) {
	f, voters := newFoundedFleet(t, 7, 3)
	sites := map[string]bool{}
	for _, voter := range voters.Rows {
		sites[voter.Site] = true
	}
	if len(voters.Rows) != 3 || len(sites) != 3 {
		t.Errorf("voters %v: want one in each site", voters.Rows)
	}
	f.waitFor("all nodes know the voters", 40*time.Second, func() bool {
		return !slices.ContainsFunc(f.names(), func(name string) bool { return f.running[name].Status().Seats.Founding != voters.Founding })
	})
	// A second founding must fail, at any node and with any number of voters.
	for _, founder := range []string{"n0", "n3"} {
		if again, err := f.foundLog(founder, 5); err == nil || !strings.Contains(err.Error(), "voters already") || again.Founding != voters.Founding {
			t.Errorf("%s founded a second log: %v, error %v", founder, again, err)
		}
	}
	for _, invalid := range []struct {
		n     int
		names []string
	}{{2, nil}, {9, nil}, {0, nil}, {0, []string{"n0", "n1"}}, {0, []string{"n0", "n1", "nobody"}}} {
		if _, err := f.foundLog("n0", invalid.n, invalid.names...); err == nil {
			t.Errorf("FoundLog accepted %+v", invalid)
		}
	}
	alone := newFleet(t, "n0")
	if _, err := alone.foundLog("n0", 1); err == nil {
		t.Error("a node outside the membership view founded a log")
	}
}

// A founding that is interrupted at any time must leave a state from which a second founding, at another node,
// leads to one log.
func TestInterruptedFoundingCanBeCompleted(t *testing.T) {
	for _, interruptedAfter := range []time.Duration{200, 1600, 1800, 1900, 2000, 2100, 2300, 2600} {
		f := newFleet(t, "n0", "n1", "n2", "n3", "n4")
		f.advance(time.Second)
		if err := f.running["n0"].FoundLog(f.now, []string{"n1", "n2", "n3"}, 0, 0, func(VoterSet, error) {}); err != nil {
			t.Fatal(err)
		}
		messages := 0
		f.dropped = func(from, _ string, m *Message) bool { // drop a third of the founder's messages
			messages++
			return from == "n0" && messages%3 == 0
		}
		f.advance(interruptedAfter * time.Millisecond)
		f.dropped = nil
		delete(f.running, "n0")
		f.advance(time.Second)
		f.foundLog("n4", 3)
		f.foundLog("n4", 3) // reports that there are voters, and completes the interrupted founding
		f.waitFor("a leader", 10*time.Second, func() bool { return f.leader() != nil })
		logs := map[uint64]bool{}
		for _, name := range f.names() {
			if status := f.running[name].Status(); status.Voter && status.Applied > 0 {
				logs[status.Seats.Founding] = true
			}
		}
		if len(logs) != 1 {
			t.Errorf("interrupted after %v: %d logs, want 1", interruptedAfter*time.Millisecond, len(logs))
		}
	}
}

// Two concurrent foundings must result in at most one log.
func TestConcurrentFoundings(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, "n0", "n1", "n2", "n3", "n4")
		f.advance(time.Second)
		f.running["n0"].FoundLog(f.now, nil, 3, 0, func(VoterSet, error) {})
		f.advance(time.Duration(rng.IntN(25)) * 100 * time.Millisecond)
		f.running["n1"].FoundLog(f.now, []string{"n2", "n3", "n4"}, 0, 0, func(VoterSet, error) {})
		f.advance(30 * time.Second)
		leaders := map[uint64]int{}
		for _, name := range f.names() {
			if f.running[name].IsLeader() {
				leaders[f.running[name].Status().Seats.Founding]++
			}
		}
		if len(leaders) > 1 {
			t.Errorf("seed %d: %d logs have leaders", seed, len(leaders))
		}
	}
}

func TestCommandWithoutVoters(t *testing.T) {
	unfounded := newFleet(t, "n0", "n1", "n2")
	unfounded.advance(time.Second)
	command := lease.Command{Op: lease.Acquire, Lease: "l", Holder: newHolder("n0", 5), Seq: 1, TTL: time.Second}
	if err := unfounded.running["n0"].SendLeaseCommand(unfounded.now, command, 0, 0); !errors.Is(err, ErrNoVoters) {
		t.Errorf("%v", err)
	}
	founded, voters := newFoundedFleet(t, 5, 3)
	for _, voter := range voters.Rows[:2] { // stop a majority
		delete(founded.running, voter.Name)
	}
	founded.advance(5 * time.Second)
	sender := ""
	for _, name := range founded.names() {
		if _, isVoter := voters.byName(name); !isVoter {
			sender = name
		}
	}
	founded.replies[sender] = nil
	for attempt := range 3 {
		founded.running[sender].SendLeaseCommand(founded.now, lease.Command{Op: lease.Acquire, Lease: "l", Holder: newHolder(sender, 5), Seq: 1, TTL: time.Second}, 0, attempt)
	}
	founded.processPending()
	if len(founded.replies[sender]) != 1 || founded.replies[sender][0].Kind != CannotServe || founded.replies[sender][0].Seq != 1 {
		t.Errorf("replies of the one remaining voter: %+v, want CannotServe", founded.replies[sender])
	}
}

// A voter whose disk write hangs must stay silent so that another one leads, and must answer commands with
// CannotServe.
func TestHungDiskLosesLeadership(t *testing.T) {
	f, _ := newFoundedFleet(t, 5, 3)
	hung := f.leader()
	name := hung.settings.Name
	f.diskHangs[name] = true
	command := lease.Command{Op: lease.Acquire, Lease: "l", Holder: newHolder("n0", 5), Seq: 1, TTL: time.Minute}
	hung.SendLeaseCommand(f.now, command, 0, 0)
	f.waitFor("another leader", 10*time.Second, func() bool { leader := f.leader(); return leader != nil && leader != hung })
	f.advance(3 * time.Second)
	if status := hung.Status(); !status.Hung || status.Leads {
		t.Errorf("status of the hung voter: %+v", status)
	}
	if answer := f.sendUntilAnswered("n0", command); answer.Outcome != lease.Granted {
		t.Errorf("answer: %+v, want Granted", answer)
	}
	f.replies[name] = nil
	hung.handle(&Message{Kind: SubmitCommand, From: name, Command: &ForwardedCommand{Command: command, Origin: name}})
	hung.processPending()
	f.processPending()
	if len(f.replies[name]) != 1 || f.replies[name][0].Kind != CannotServe {
		t.Errorf("replies while the disk hangs: %+v, want CannotServe", f.replies[name])
	}
}

// Commands that arrive during a disk write must share one entry.
func TestCommandsShareEntries(t *testing.T) {
	f, _ := newFoundedFleet(t, 3, 3)
	leader := f.leader()
	f.savedEntries = 0
	const commands = 1000
	for i := range uint64(commands) {
		leader.SendLeaseCommand(f.now, lease.Command{Op: lease.Acquire, Lease: fmt.Sprint("l", i), Holder: newHolder(leader.settings.Name, i+1), Seq: 1, TTL: time.Minute}, 0, 0)
	}
	f.advance(2 * time.Second)
	granted := 0
	for _, reply := range f.replies[leader.settings.Name] {
		if reply.Kind == CommandAnswer && reply.Answer.Outcome == lease.Granted {
			granted++
		}
	}
	if granted != commands || f.savedEntries > 3*12 {
		t.Errorf("%d of %d commands granted, with %d entries saved by three voters", granted, commands, f.savedEntries)
	}
	if err := leader.RequestLeaseList(f.now, 9, 0); err != nil {
		t.Fatal(err)
	}
	f.processPending()
	listed, pages := 0, 0
	for _, reply := range f.replies[leader.settings.Name] {
		if reply.Kind == LeasePage {
			listed, pages = listed+len(reply.Leases), reply.Pages
		}
	}
	if listed != commands || pages != (commands+maxLeasesPerPage-1)/maxLeasesPerPage {
		t.Errorf("%d leases listed on %d pages", listed, pages)
	}
}

// A forced release that is sent twice must release the lease only once.
func TestForceReleaseIsIdempotent(t *testing.T) {
	f, _ := newFoundedFleet(t, 3, 3)
	for life := range uint64(3) {
		f.sendUntilAnswered("n0", lease.Command{Op: lease.Acquire, Lease: "l", Holder: newHolder("n0", life+1), Seq: 1, TTL: time.Hour})
	}
	force := lease.Command{Op: lease.ForceRelease, Lease: "l", Token: 1}
	for ref := range uint64(2) {
		f.running["n1"].SendLeaseCommand(f.now, force, ref+7, 0)
		f.advance(300 * time.Millisecond)
	}
	leaseRecord, _ := f.leader().stateMachine.Lease("l")
	if leaseRecord.Holder.Life != 2 || leaseRecord.Token != 2 {
		t.Errorf("lease: %+v, want life 2 and token 2", leaseRecord)
	}
}

// Expire commands of other nodes must be dropped: only the leader may issue them.
func TestOnlyTheLeaderExpiresLeases(t *testing.T) {
	f, _ := newFoundedFleet(t, 3, 3)
	f.sendUntilAnswered("n0", lease.Command{Op: lease.Acquire, Lease: "l", Holder: newHolder("n0", 1), Seq: 1, TTL: time.Hour})
	leaseRecord, _ := f.leader().stateMachine.Lease("l")
	for attempt := range 3 {
		f.running["n1"].SendLeaseCommand(f.now, lease.Command{Op: lease.Expire, Lease: "l", Holder: leaseRecord.Holder, Serial: leaseRecord.Serial}, 0, attempt)
	}
	f.advance(time.Second)
	if leaseRecord, _ := f.leader().stateMachine.Lease("l"); leaseRecord.Holder.Life != 1 {
		t.Errorf("lease: %+v, want life 1", leaseRecord)
	}
}

// A voter that reads an entry of a later program version must stop, apply nothing of it and report the reason, also after
// a restart: skipping the entry would make its state differ from that of the other voters.
func TestEntryOfLaterVersionStopsVoter(t *testing.T) {
	f, _ := newFoundedFleet(t, 3, 3)
	leader := f.leader()
	acquire := lease.Command{Op: lease.Acquire, Lease: "later", Holder: newHolder("n0", 5), Seq: 1, TTL: time.Minute}
	entry := logEntry{Version: entryVersion + 1, Commands: []ForwardedCommand{{Command: acquire, Origin: "n0"}}}
	if err := leader.voter.Propose(appendEntry(nil, &entry)); err != nil {
		t.Fatal(err)
	}
	checkStopped := func(when string) {
		t.Helper()
		for _, name := range f.names() {
			n := f.running[name]
			want := fmt.Sprintf("has version %d, and this program supports %d", entryVersion+1, entryVersion)
			if n.Broken() == nil || !strings.Contains(n.Broken().Error(), want) {
				t.Errorf("%s: %s was not stopped by the entry: %v", when, name, n.Broken())
			}
			if target := n.forwardTarget(&Message{}); target != "" {
				t.Errorf("%s: %s sends requests on to %s", when, name, target)
			}
			if _, found := n.stateMachine.Lease("later"); found {
				t.Errorf("%s: %s applied a command of the entry", when, name)
			}
		}
	}
	f.advance(time.Second)
	checkStopped("running")
	for _, name := range f.names() {
		f.startNode(name)
	}
	f.advance(5 * time.Second)
	checkStopped("restarted")
}

// A message of a kind that this program does not know must be rejected for its kind, whatever else it holds, and however
// large the number is: read as another kind it would be acted on.
func TestMessageOfUnknownKindIsRejected(t *testing.T) {
	voters := &VoterSet{Founding: 9, Index: 4, Rows: []VoterInfo{{ID: 1, Name: "a"}}}
	acquire := lease.Command{Op: lease.Acquire, Lease: "l", Holder: newHolder("n0", 5), Seq: 1, TTL: time.Second}
	rest, err := AppendMessage(nil, &Message{ // all that any kind requires
		From: "n0", Origin: "n0", Founding: 9, ID: 5, VoterSet: voters, Voter: &consensus.Message{From: 1, To: 2},
		Command:          &ForwardedCommand{Command: acquire, Origin: "n0"},
		Answer:           &lease.Answer{Outcome: lease.Granted, Lease: "l", Token: 1},
		MaintenanceTable: []byte("t"),
	})
	if err != nil {
		t.Fatal(err)
	}
	for kind := uint64(1); kind < 1<<10; kind++ {
		m, err := ParseMessage(append(protofields.AppendUint(nil, 1, kind), rest...))
		switch known := kind <= uint64(lastKind); {
		case known && (err != nil || m.Kind != Kind(kind)):
			t.Errorf("kind %d: %v, %v", kind, m, err)
		case !known && (err == nil || !strings.Contains(err.Error(), fmt.Sprint("unknown message kind ", kind))):
			t.Errorf("kind %d is not known, but the error is %v", kind, err)
		}
	}
}

// An absent voter must be replaced by a node that answers, in the site with the fewest voters. A replaced voter
// that returns must discard its voter ID.
func TestAbsentVoterIsReplaced(t *testing.T) {
	f, voters := newFoundedFleet(t, 9, 3)
	leader := f.leader()
	absent := ""
	for _, voter := range voters.Rows {
		if voter.Name != leader.settings.Name {
			absent = voter.Name
		}
	}
	site := f.members[absent].Site
	absentNode := f.running[absent]
	delete(f.running, absent)
	member := f.members[absent]
	delete(f.members, absent)
	f.advance(19 * time.Second)
	if _, isVoter := f.leader().voters.byName(absent); !isVoter {
		t.Fatal("the voter was replaced before ReplaceAfter")
	}
	unreachable := chooseVoters(f.members, slices.DeleteFunc(slices.Clone(voters.Rows), func(voter VoterInfo) bool { return voter.Name == absent }), 1)[0]
	f.dropped = func(_, to string, m *Message) bool { return to == unreachable && m.Kind == RequestID }
	f.waitFor("the replacement of the voter", 30*time.Second, func() bool { _, isVoter := f.leader().voters.byName(absent); return !isVoter })
	for _, voter := range f.leader().voters.Rows {
		if _, wasVoter := voters.byName(voter.Name); !wasVoter && (voter.Site != site || voter.Name == unreachable || voter.Addr == "") {
			t.Errorf("%+v replaced %s in %s; %s does not receive requests", voter, absent, site, unreachable)
		}
	}
	// As long as raft's configuration has not changed, the old voter counts towards the majority and must keep its
	// ID.
	for _, name := range f.names() {
		f.running[name].lastVoterCheck = f.now + time.Hour
	}
	f.members[absent], f.running[absent] = member, absentNode
	f.advance(35 * time.Second)
	if leader := f.leader(); leader == nil || leader.votersSettled() || !f.running[absent].Status().Voter {
		t.Error("the old voter discarded its ID before raft's configuration changed, or that had changed already")
	}
	for _, name := range f.names() {
		f.running[name].lastVoterCheck = 0
	}
	f.waitFor("the discarding of the voter ID", 40*time.Second, func() bool { return !f.running[absent].Status().Voter })
	if f.disks[absent].ID != 0 {
		t.Error("the voter ID is still on disk")
	}
}

// If a majority is lost with one site, the log must stop and no voter may be replaced until the majority is back.
func TestLostMajorityStopsTheLog(t *testing.T) {
	f, voters := newFoundedFleet(t, 7, 3)
	stopped := map[string]*Node{}
	for _, voter := range voters.Rows[:2] {
		stopped[voter.Name] = f.running[voter.Name]
		delete(f.running, voter.Name)
		delete(f.members, voter.Name)
	}
	f.advance(60 * time.Second)
	if f.leader() != nil || f.running[voters.Rows[2].Name].voters.Index != voters.Index {
		t.Error("a minority elected a leader or changed the voter set")
	}
	for name := range stopped { // restart with the old disks
		f.members[name] = Member{Site: "s0"}
		f.startNode(name)
	}
	f.waitFor("a leader again", 10*time.Second, func() bool { return f.leader() != nil })
}

func TestChooseVotersBalancesSites(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 2))
		members, nodesPerSite := map[string]Member{}, map[string]int{}
		for i := range 1 + rng.IntN(30) {
			site := fmt.Sprint("s", rng.IntN(1+rng.IntN(6)))
			members[fmt.Sprint("n", i)] = Member{Site: site}
			nodesPerSite[site]++
		}
		n := min(1+2*rng.IntN(4), len(members))
		names := chooseVoters(members, nil, n)
		votersPerSite := map[string]int{}
		for _, name := range names {
			votersPerSite[members[name].Site]++
		}
		if len(names) != n {
			t.Fatalf("seed %d: %d voters chosen, want %d", seed, len(names), n)
		}
		for a := range nodesPerSite {
			for b := range nodesPerSite {
				if votersPerSite[a] > votersPerSite[b]+1 && votersPerSite[b] < nodesPerSite[b] {
					t.Fatalf("seed %d: voters per site %v, nodes per site %v", seed, votersPerSite, nodesPerSite)
				}
			}
		}
		if again := chooseVoters(members, nil, n); !slices.Equal(names, again) {
			t.Fatalf("seed %d: first choice %v, second choice %v", seed, names, again)
		}
	}
}

// If two disks are lost, the second voter must not be replaced before the first replacement has caught up: both
// together with one other voter would be a majority that lacks committed entries.
func TestOneReplacementAtATime(t *testing.T) {
	f, voters := newFoundedFleet(t, 5, 5)
	leader := f.leader().settings.Name
	var lost []string
	for _, voter := range voters.Rows {
		if voter.Name != leader && len(lost) < 2 {
			lost = append(lost, voter.Name)
		}
	}
	for _, name := range lost {
		f.disks[name], f.userData[name] = &consensus.PersistentState{}, nil
		f.startNode(name)
	}
	f.dropped = func(from, to string, m *Message) bool { // keep the replacements from catching up
		return m.Kind == RaftMessage && m.Voter.Raft != nil && slices.Contains(lost, to)
	}
	changed := func() (count int) {
		for _, voter := range f.leader().voters.Rows {
			if old, _ := voters.byName(voter.Name); old.ID != voter.ID {
				count++
			}
		}
		return count
	}
	f.advance(15 * time.Second)
	if count := changed(); count != 1 {
		t.Errorf("%d voters were replaced before the first replacement caught up, want 1", count)
	}
	f.dropped = nil
	f.waitFor("both replacements", 20*time.Second, func() bool { return f.leader() != nil && changed() == 2 })
}

// One voter's disk is lost, and another voter stops some messages after the replacement starts to catch up. The
// lost voter ID counts until raft's configuration has changed, so there may be no majority until the stopped voter
// is back. Once both remaining voters report that the change is complete, they must elect a leader without it.
func TestSecondLossAfterLostDisk(t *testing.T) {
	withoutMajority, afterChange := 0, 0
	for _, ofLeader := range []bool{true, false} {
		for messages := range 24 {
			f, voters := newFoundedFleet(t, 5, 3)
			scenario := newSecondLoss(f, voters, ofLeader)
			settled := scenario.play(messages)
			f.advance(10 * time.Second)
			switch hasLeader := f.leader() != nil; {
			case settled && !hasLeader:
				t.Errorf("leader stopped %v, after %d messages: no leader, though the voter change was complete", ofLeader, messages)
			case settled:
				afterChange++
			case !hasLeader:
				withoutMajority++
			}
			f.dropped = nil
			f.startNode(scenario.stopped)
			f.waitFor("a leader after the restart of the stopped voter", 20*time.Second, func() bool { return f.leader() != nil })
		}
	}
	if withoutMajority == 0 || afterChange == 0 {
		t.Errorf("%d losses left no majority, and %d came after the voter change: want some of both", withoutMajority, afterChange)
	}
}

// secondLossScenario stops a voter while another one, whose disk was lost, is being replaced.
type secondLossScenario struct {
	*testFleet
	leaderName, diskLost, stopped, remaining string
	lostID                                   uint64 // the voter ID whose disk is lost
}

func newSecondLoss(f *testFleet, voters VoterSet, ofLeader bool) *secondLossScenario {
	scenario := &secondLossScenario{testFleet: f, leaderName: f.leader().settings.Name}
	others := slices.DeleteFunc(voters.nodeNames(), func(name string) bool { return name == scenario.leaderName })
	scenario.diskLost, scenario.stopped, scenario.remaining = others[0], others[1], scenario.leaderName
	if ofLeader {
		scenario.stopped, scenario.remaining = scenario.leaderName, others[1]
	}
	old, _ := voters.byName(scenario.diskLost)
	scenario.lostID = old.ID
	return scenario
}

// play loses the disk, and stops the other voter the given number of messages after the replacement starts to
// catch up. It reports whether both remaining voters consider the voter change complete.
func (s *secondLossScenario) play(messages int) (settled bool) {
	s.disks[s.diskLost], s.userData[s.diskLost] = &consensus.PersistentState{}, nil
	s.startNode(s.diskLost)
	ended := false
	s.dropped = func(from, to string, _ *Message) bool {
		if !ended && s.replacementCatchingUp() {
			messages--
			ended = messages < 0
		}
		return ended && (from == s.stopped || to == s.stopped)
	}
	s.waitFor("the second loss", 20*time.Second, func() bool { return ended })
	delete(s.running, s.stopped)
	return s.settled(s.diskLost) && s.settled(s.remaining)
}

// replacementCatchingUp reports whether the voter set has the new ID and the new voter has started to apply the
// log.
func (s *secondLossScenario) replacementCatchingUp() bool {
	voters := s.running[s.leaderName].Status().Seats
	voter, _ := voters.byName(s.diskLost)
	newVoter := s.running[s.diskLost].Status()
	return voter.ID != s.lostID && newVoter.ID == voter.ID && newVoter.Applied > 1
}

func (s *secondLossScenario) settled(name string) bool {
	status := s.running[name].Status()
	_, isVoter := status.Seats.byID(s.lostID)
	return status.Settled && !isVoter
}
