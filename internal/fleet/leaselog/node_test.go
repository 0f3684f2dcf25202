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
)

// fleet is councils whose messages arrive at once, and whose disks end their writes at once unless they hang.
type fleet struct {
	t       *testing.T
	now     time.Duration
	view    map[string]Member
	up      map[string]*Node
	disks   map[string]*consensus.PersistentState
	notes   map[string][]byte
	hangs   map[string]bool
	held    func(from, to string, m *Message) bool
	told    map[string][]LocalReply
	entries int // that some voter has saved
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{
		t: t, now: time.Hour, view: map[string]Member{}, up: map[string]*Node{}, disks: map[string]*consensus.PersistentState{},
		notes: map[string][]byte{}, hangs: map[string]bool{}, told: map[string][]LocalReply{},
	}
	for i, n := range names {
		f.view[n] = Member{Site: fmt.Sprint("s", i%3), Addr: "127.0.0.1:1"}
		f.disks[n] = &consensus.PersistentState{}
	}
	for _, n := range names {
		f.start(n)
	}
	return f
}

func (f *fleet) start(name string) {
	d := f.disks[name].Clone()
	set := Settings{Name: name, Site: f.view[name].Site, ReplaceAfter: 20 * time.Second, CompactEvery: 50, Consensus: consensus.Settings{KeepEntries: 20}}
	f.up[name] = New(set, &d, f.notes[name], "", rank(name)+uint64(len(f.disks)), f.now)
}

func (f *fleet) names() (all []string) {
	for n := range f.up {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// settle does all that there is to do at one moment.
func (f *fleet) settle() {
	for more := true; more; {
		more = false
		for _, n := range f.names() {
			c := f.up[n]
			if s := c.TakeSave(); s != nil {
				more = true
				if s.NewState != nil {
					d := s.NewState.Clone()
					f.disks[n] = &d
				}
				f.entries += len(s.Update.Entries)
				if !f.hangs[n] {
					f.disks[n].Apply(&s.Update)
					if s.UserData != nil {
						f.notes[n] = s.UserData
					}
					c.Saved(f.now)
				}
			}
			outs, told := c.TakeOutgoing()
			f.told[n] = append(f.told[n], told...)
			for _, o := range outs {
				more = true
				to := f.up[o.To]
				if to == nil || f.held != nil && f.held(n, o.To, o.Message) {
					continue
				}
				b, err := AppendMessage(nil, o.Message)
				if err != nil {
					f.t.Fatal(err)
				}
				m, err := ParseMessage(b) // as it comes over a socket
				if err != nil {
					f.t.Fatalf("%+v: %v", o.Message, err)
				}
				to.Receive(f.now, m)
			}
		}
	}
}

// run lets time go on.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for _, n := range f.names() {
			f.up[n].SetMembers(f.now, f.view)
			f.up[n].Tick(f.now)
		}
		f.settle()
	}
}

func (f *fleet) until(what string, within time.Duration, ok func() bool) {
	f.t.Helper()
	for end := f.now + within; !ok(); f.run(100 * time.Millisecond) {
		if f.now > end {
			f.t.Fatalf("not within %v: %s", within, what)
		}
	}
}

func (f *fleet) leader() *Node {
	var best *Node
	for _, n := range f.names() {
		if c := f.up[n]; c.IsLeader() && (best == nil || c.Status().Term > best.Status().Term) {
			best = c
		}
	}
	return best
}

// found founds a log, and returns what came of it.
func (f *fleet) found(at string, voters int, names ...string) (seats VoterSet, err error) {
	ended := false
	if err := f.up[at].FoundLog(f.now, names, voters, 0, func(s VoterSet, e error) { seats, err, ended = s, e, true }); err != nil {
		return VoterSet{}, err
	}
	f.until("the founding's end", 40*time.Second, func() bool { return ended })
	return seats, err
}

func founded(t *testing.T, nodes, voters int) (*fleet, VoterSet) {
	t.Helper()
	var names []string
	for i := range nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	f := newFleet(t, names...)
	f.run(time.Second)
	s, err := f.found("n0", voters)
	if err != nil {
		t.Fatal(err)
	}
	f.until("a leader", 10*time.Second, func() bool { return f.leader() != nil })
	return f, s
}

// ask sends a command from a node until it is answered.
func (f *fleet) ask(node string, c lease.Command) lease.Answer {
	f.t.Helper()
	for try := range 30 {
		f.told[node] = nil
		f.up[node].SendLeaseCommand(f.now, c, 0, try)
		f.run(300 * time.Millisecond)
		for _, m := range f.told[node] {
			if m.Kind == CommandAnswer && m.Life == c.Holder.Life && m.Seq == c.Seq {
				return m.Answer
			}
		}
	}
	f.t.Fatalf("no answer to %+v", c)
	return lease.Answer{}
}

func holder(node string, life uint64) lease.Holder {
	return lease.Holder{Name: node, Incarnation: 1, Life: life}
}

func TestFounding(t *testing.T) {
	f, s := founded(t, 7, 3)
	sites := map[string]bool{}
	for _, r := range s.Rows {
		sites[r.Site] = true
	}
	if len(s.Rows) != 3 || len(sites) != 3 {
		t.Errorf("voters %v: wanted one of each site", s.Rows)
	}
	f.until("all know", 40*time.Second, func() bool {
		return !slices.ContainsFunc(f.names(), func(n string) bool { return f.up[n].Status().Seats.Founding != s.Founding })
	})
	// Once is enough, whoever asks and whatever for.
	for _, at := range []string{"n0", "n3"} {
		if again, err := f.found(at, 5); err == nil || !strings.Contains(err.Error(), "voters already") || again.Founding != s.Founding {
			t.Errorf("%s founds a second log: %v, %v", at, again, err)
		}
	}
	for _, bad := range []struct {
		n     int
		names []string
	}{{2, nil}, {9, nil}, {0, nil}, {0, []string{"n0", "n1"}}, {0, []string{"n0", "n1", "nobody"}}} {
		if _, err := f.found("n0", bad.n, bad.names...); err == nil {
			t.Errorf("%+v was founded", bad)
		}
	}
	alone := newFleet(t, "n0")
	if _, err := alone.found("n0", 1); err == nil {
		t.Error("a node in no view founds")
	}
}

// A founder that ends at any moment leaves nothing that a second founding, at another node, can't bring to one log.
func TestFoundersThatEnd(t *testing.T) {
	for _, cut := range []time.Duration{200, 1600, 1800, 1900, 2000, 2100, 2300, 2600} {
		f := newFleet(t, "n0", "n1", "n2", "n3", "n4")
		f.run(time.Second)
		if err := f.up["n0"].FoundLog(f.now, []string{"n1", "n2", "n3"}, 0, 0, func(VoterSet, error) {}); err != nil {
			t.Fatal(err)
		}
		lost := 0
		f.held = func(from, _ string, m *Message) bool { // a third of what it says is lost
			lost++
			return from == "n0" && lost%3 == 0
		}
		f.run(cut * time.Millisecond)
		f.held = nil
		delete(f.up, "n0")
		f.run(time.Second)
		f.found("n4", 3)
		f.found("n4", 3) // says that there are voters, and ends what was half done
		f.until("a leader", 10*time.Second, func() bool { return f.leader() != nil })
		logs := map[uint64]bool{}
		for _, n := range f.names() {
			if s := f.up[n].Status(); s.Voter && s.Applied > 0 {
				logs[s.Seats.Founding] = true
			}
		}
		if len(logs) != 1 {
			t.Errorf("cut after %v: %d logs", cut*time.Millisecond, len(logs))
		}
	}
}

// Two who found at once make one log, or none.
func TestTwoFounders(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(t, "n0", "n1", "n2", "n3", "n4")
		f.run(time.Second)
		f.up["n0"].FoundLog(f.now, nil, 3, 0, func(VoterSet, error) {})
		f.run(time.Duration(rng.IntN(25)) * 100 * time.Millisecond)
		f.up["n1"].FoundLog(f.now, []string{"n2", "n3", "n4"}, 0, 0, func(VoterSet, error) {})
		f.run(30 * time.Second)
		leaders := map[uint64]int{}
		for _, n := range f.names() {
			if f.up[n].IsLeader() {
				leaders[f.up[n].Status().Seats.Founding]++
			}
		}
		if len(leaders) > 1 {
			t.Errorf("seed %d: %d logs have leaders", seed, len(leaders))
		}
	}
}

func TestAskingWithoutVoters(t *testing.T) {
	f := newFleet(t, "n0", "n1", "n2")
	f.run(time.Second)
	c := lease.Command{Op: lease.Acquire, Lease: "l", Holder: holder("n0", 5), Seq: 1, TTL: time.Second}
	if err := f.up["n0"].SendLeaseCommand(f.now, c, 0, 0); !errors.Is(err, ErrNoVoters) {
		t.Errorf("%v", err)
	}
	g, s := founded(t, 5, 3)
	for _, r := range s.Rows[:2] { // a majority
		delete(g.up, r.Name)
	}
	g.run(5 * time.Second)
	asker := ""
	for _, n := range g.names() {
		if _, seated := s.of(n); !seated {
			asker = n
		}
	}
	g.told[asker] = nil
	for try := range 3 {
		g.up[asker].SendLeaseCommand(g.now, lease.Command{Op: lease.Acquire, Lease: "l", Holder: holder(asker, 5), Seq: 1, TTL: time.Second}, 0, try)
	}
	g.settle()
	if len(g.told[asker]) != 1 || g.told[asker][0].Kind != CannotServe || g.told[asker][0].Seq != 1 {
		t.Errorf("the one voter that is left says %+v", g.told[asker])
	}
}

// A disk that does not end its write keeps its voter silent: another leads, and what it is asked is not swallowed.
func TestADiskThatHangs(t *testing.T) {
	f, _ := founded(t, 5, 3)
	was := f.leader()
	name := was.set.Name
	f.hangs[name] = true
	c := lease.Command{Op: lease.Acquire, Lease: "l", Holder: holder("n0", 5), Seq: 1, TTL: time.Minute}
	was.SendLeaseCommand(f.now, c, 0, 0)
	f.until("another leads", 10*time.Second, func() bool { l := f.leader(); return l != nil && l != was })
	f.run(3 * time.Second)
	if s := was.Status(); !s.Hung || s.Leads {
		t.Errorf("%+v", s)
	}
	if a := f.ask("n0", c); a.Outcome != lease.Granted {
		t.Errorf("%+v", a)
	}
	f.told[name] = nil
	was.take(&Message{Kind: SubmitCommand, From: name, Command: &ForwardedCommand{Command: c, Origin: name}})
	was.settle()
	f.settle()
	if len(f.told[name]) != 1 || f.told[name][0].Kind != CannotServe {
		t.Errorf("asked while its disk hangs: %+v", f.told[name])
	}
}

// What came while the disk was at work goes into one entry.
func TestRequestsShareEntries(t *testing.T) {
	f, _ := founded(t, 3, 3)
	l := f.leader()
	f.entries = 0
	const n = 1000
	for i := range uint64(n) {
		l.SendLeaseCommand(f.now, lease.Command{Op: lease.Acquire, Lease: fmt.Sprint("l", i), Holder: holder(l.set.Name, i+1), Seq: 1, TTL: time.Minute}, 0, 0)
	}
	f.run(2 * time.Second)
	granted := 0
	for _, m := range f.told[l.set.Name] {
		if m.Kind == CommandAnswer && m.Answer.Outcome == lease.Granted {
			granted++
		}
	}
	if granted != n || f.entries > 3*12 {
		t.Errorf("%d granted of %d, by %d entries at three voters", granted, n, f.entries)
	}
	if err := l.RequestLeaseList(f.now, 9, 0); err != nil {
		t.Fatal(err)
	}
	f.settle()
	listed, pages := 0, 0
	for _, m := range f.told[l.set.Name] {
		if m.Kind == LeasePage {
			listed, pages = listed+len(m.Leases), m.Pages
		}
	}
	if listed != n || pages != (n+mostListed-1)/mostListed {
		t.Errorf("%d listed on %d pages", listed, pages)
	}
}

// An operator's word that comes twice takes a lease away once.
func TestForceTwice(t *testing.T) {
	f, _ := founded(t, 3, 3)
	for life := range uint64(3) {
		f.ask("n0", lease.Command{Op: lease.Acquire, Lease: "l", Holder: holder("n0", life+1), Seq: 1, TTL: time.Hour})
	}
	force := lease.Command{Op: lease.ForceRelease, Lease: "l", Token: 1}
	for ref := range uint64(2) {
		f.up["n1"].SendLeaseCommand(f.now, force, ref+7, 0)
		f.run(300 * time.Millisecond)
	}
	l, _ := f.leader().machine.Lease("l")
	if l.Holder.Life != 2 || l.Token != 2 {
		t.Errorf("%+v", l)
	}
}

// Ends and drops are the leader's own: nobody can ask for them.
func TestOnlyTheLeaderEnds(t *testing.T) {
	f, _ := founded(t, 3, 3)
	f.ask("n0", lease.Command{Op: lease.Acquire, Lease: "l", Holder: holder("n0", 1), Seq: 1, TTL: time.Hour})
	l, _ := f.leader().machine.Lease("l")
	for try := range 3 {
		f.up["n1"].SendLeaseCommand(f.now, lease.Command{Op: lease.Expire, Lease: "l", Holder: l.Holder, Serial: l.Serial}, 0, try)
	}
	f.run(time.Second)
	if l, _ := f.leader().machine.Lease("l"); l.Holder.Life != 1 {
		t.Errorf("%+v", l)
	}
}

// A voter that meets an entry of a later program's stops, and tells why: it must not leave out what others apply.
func TestEntriesOfALaterVersion(t *testing.T) {
	f, _ := founded(t, 3, 3)
	l := f.leader()
	if err := l.voter.Propose(appendEntry(nil, &entry{Level: level + 1})); err != nil {
		t.Fatal(err)
	}
	f.run(time.Second)
	for _, n := range f.names() {
		c := f.up[n]
		if c.Broken() == nil || !strings.Contains(c.Broken().Error(), "level 2") || c.IsLeader() && c.toLeader(&Message{}) == n {
			t.Errorf("%s goes on: %v", n, c.Broken())
		}
		f.start(n)
	}
	f.run(5 * time.Second)
	if f.up["n0"].Broken() == nil {
		t.Error("the entry is forgotten after a start")
	}
	// A message of a later version's kind is passed over.
	b, _ := AppendMessage(nil, &Message{Kind: NoVotersKnown + 1, From: "n0"})
	if _, err := ParseMessage(b); err == nil {
		t.Error("a kind that is not known was taken")
	}
}

// A seat goes to a node that answers, of the site that has least; a voter that comes back gives its number up.
func TestASeatGoesToAnother(t *testing.T) {
	f, s := founded(t, 9, 3)
	l := f.leader()
	gone := ""
	for _, r := range s.Rows {
		if r.Name != l.set.Name {
			gone = r.Name
		}
	}
	site := f.view[gone].Site
	was := f.up[gone]
	delete(f.up, gone)
	member := f.view[gone]
	delete(f.view, gone)
	f.run(19 * time.Second)
	if _, still := f.leader().seats.of(gone); !still {
		t.Fatal("it was replaced before its time")
	}
	deaf := choose(f.view, slices.DeleteFunc(slices.Clone(s.Rows), func(r VoterInfo) bool { return r.Name == gone }), 1)[0]
	f.held = func(_, to string, m *Message) bool { return to == deaf && m.Kind == RequestID }
	f.until("another has the seat", 30*time.Second, func() bool { _, still := f.leader().seats.of(gone); return !still })
	for _, r := range f.leader().seats.Rows {
		if _, old := s.of(r.Name); !old && (r.Site != site || r.Name == deaf || r.Addr == "") {
			t.Errorf("%+v has the seat of %s in %s; %s is deaf", r, gone, site, deaf)
		}
	}
	// As long as the voters have not changed as the seats have, it is one of those whose majority counts.
	for _, n := range f.names() {
		f.up[n].decided = f.now + time.Hour
	}
	f.view[gone], f.up[gone] = member, was
	f.run(35 * time.Second)
	if l := f.leader(); l == nil || l.agreed() || !f.up[gone].Status().Voter {
		t.Error("it gave its number up before another had its voice, or the voters had changed already")
	}
	for _, n := range f.names() {
		f.up[n].decided = 0
	}
	f.until("it gives its number up", 40*time.Second, func() bool { return !f.up[gone].Status().Voter })
	if f.disks[gone].ID != 0 {
		t.Error("its disk keeps the number")
	}
}

// A majority that is all in one lost site: nothing goes on, and nothing is replaced, until it is back.
func TestAMajorityIsLost(t *testing.T) {
	f, s := founded(t, 7, 3)
	away := map[string]*Node{}
	for _, r := range s.Rows[:2] {
		away[r.Name] = f.up[r.Name]
		delete(f.up, r.Name)
		delete(f.view, r.Name)
	}
	f.run(60 * time.Second)
	if f.leader() != nil || f.up[s.Rows[2].Name].seats.Index != s.Index {
		t.Error("a minority goes on")
	}
	for n := range away { // new processes on the old disks
		f.view[n] = Member{Site: "s0"}
		f.start(n)
	}
	f.until("a leader again", 10*time.Second, func() bool { return f.leader() != nil })
}

func TestChoose(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 2))
		members, sizes := map[string]Member{}, map[string]int{}
		for i := range 1 + rng.IntN(30) {
			site := fmt.Sprint("s", rng.IntN(1+rng.IntN(6)))
			members[fmt.Sprint("n", i)] = Member{Site: site}
			sizes[site]++
		}
		n := min(1+2*rng.IntN(4), len(members))
		names := choose(members, nil, n)
		count := map[string]int{}
		for _, name := range names {
			count[members[name].Site]++
		}
		if len(names) != n {
			t.Fatalf("seed %d: %d of %d", seed, len(names), n)
		}
		for a := range sizes {
			for b := range sizes {
				if count[a] > count[b]+1 && count[b] < sizes[b] {
					t.Fatalf("seed %d: %v of %v", seed, count, sizes)
				}
			}
		}
		if again := choose(members, nil, n); !slices.Equal(names, again) {
			t.Fatalf("seed %d: %v, then %v", seed, names, again)
		}
	}
}

// Two disks are lost: the second seat is not given on before the first newcomer has what is agreed on, as both together
// would make a majority with one of the others that knows nothing.
func TestOneNewcomerAtATime(t *testing.T) {
	f, s := founded(t, 5, 5)
	l := f.leader().set.Name
	var lost []string
	for _, r := range s.Rows {
		if r.Name != l && len(lost) < 2 {
			lost = append(lost, r.Name)
		}
	}
	for _, n := range lost {
		f.disks[n], f.notes[n] = &consensus.PersistentState{}, nil
		f.start(n)
	}
	f.held = func(from, to string, m *Message) bool { // newcomers take nothing in
		return m.Kind == RaftMessage && m.Voter.Raft != nil && slices.Contains(lost, to)
	}
	changed := func() (n int) {
		for _, r := range f.leader().seats.Rows {
			if old, _ := s.of(r.Name); old.ID != r.ID {
				n++
			}
		}
		return n
	}
	f.run(15 * time.Second)
	if n := changed(); n != 1 {
		t.Errorf("%d seats were given on before any newcomer has taken anything in", n)
	}
	f.held = nil
	f.until("both are in", 20*time.Second, func() bool { return f.leader() != nil && changed() == 2 })
}

// A voter's disk is lost, and another voter ends so many messages after it is taken in anew. Its old number counts until
// the voters have changed, so that may leave no majority until the other is back; once both that are left say that the
// change has ended, they must go on by themselves.
func TestASecondLossAfterALostDisk(t *testing.T) {
	early, late := 0, 0
	for _, ofLeader := range []bool{true, false} {
		for messages := range 24 {
			f, seats := founded(t, 5, 3)
			loss := newSecondLoss(f, seats, ofLeader)
			settled := loss.play(messages)
			f.run(10 * time.Second)
			switch led := f.leader() != nil; {
			case settled && !led:
				t.Errorf("leader %v, after %d messages: no leader, though the change of voters had ended", ofLeader, messages)
			case settled:
				late++
			case !led:
				early++
			}
			f.held = nil
			f.start(loss.second)
			f.until("a leader once the other is back", 20*time.Second, func() bool { return f.leader() != nil })
		}
	}
	if early == 0 || late == 0 {
		t.Errorf("%d losses that leave no majority, and %d after the change: the test shows nothing", early, late)
	}
}

// secondLoss is a voter that ends while another, whose disk was lost, is taken in anew.
type secondLoss struct {
	*fleet
	leader, lost, second, rest string
	was                        uint64 // the number whose disk is lost
}

func newSecondLoss(f *fleet, seats VoterSet, ofLeader bool) *secondLoss {
	l := &secondLoss{fleet: f, leader: f.leader().set.Name}
	others := slices.DeleteFunc(seats.nodes(), func(n string) bool { return n == l.leader })
	l.lost, l.second, l.rest = others[0], others[1], l.leader
	if ofLeader {
		l.second, l.rest = l.leader, others[1]
	}
	old, _ := seats.of(l.lost)
	l.was = old.ID
	return l
}

// play loses the disk and then the other voter, so many messages after the first is taken in. It tells whether both voters that
// are left say that the change has ended.
func (l *secondLoss) play(messages int) (settled bool) {
	l.disks[l.lost], l.notes[l.lost] = &consensus.PersistentState{}, nil
	l.start(l.lost)
	ended := false
	l.held = func(from, to string, _ *Message) bool {
		if !ended && l.takenIn() {
			messages--
			ended = messages < 0
		}
		return ended && (from == l.second || to == l.second)
	}
	l.until("the second loss", 20*time.Second, func() bool { return ended })
	delete(l.up, l.second)
	return l.settled(l.lost) && l.settled(l.rest)
}

// takenIn tells whether the leader has given the seat to the new number, and that has begun to take in the log.
func (l *secondLoss) takenIn() bool {
	seats := l.up[l.leader].Status().Seats
	seat, _ := seats.of(l.lost)
	newcomer := l.up[l.lost].Status()
	return seat.ID != l.was && newcomer.ID == seat.ID && newcomer.Applied > 1
}

func (l *secondLoss) settled(name string) bool {
	s := l.up[name].Status()
	_, old := s.Seats.by(l.was)
	return s.Settled && !old
}
