package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

func testMember(i int) Member {
	return Member{
		Name: fmt.Sprintf("n%02d", i), Site: fmt.Sprint("s", i%3), Life: uint64(i) + 1, Incarnation: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
	}
}

// among returns the node of one place in a view of so many.
func nodeInView(t *testing.T, nodes, i int) *Node {
	t.Helper()
	var all []Member
	for k := range nodes {
		all = append(all, testMember(k))
	}
	v, err := NewView(9, 1, all, 10)
	if err != nil {
		t.Fatal(err)
	}
	n := New(Settings{Self: testMember(i), Seeds: []netip.AddrPort{testMember(0).Addr}}, uint64(i), time.Second)
	n.self = testMember(i)
	n.installView(v, "")
	n.TakeOutput()
	return n
}

// live ticks a node for a while; those who answer do so at once.
func runFor(n *Node, lasts time.Duration, answers func(m Member) bool) {
	for end := n.now + lasts; n.now < end; {
		n.Tick(n.now + 100*ms)
		sends, _ := n.TakeOutput()
		for _, s := range sends {
			for _, m := range n.view.Members {
				if s.Message.Kind == Probe && m.Addr == s.To && answers(m) {
					n.Receive(n.now, &Message{Kind: Ack, SenderLife: m.Life, Seq: s.Message.Seq, FleetID: 9, ViewNumber: 1})
				}
			}
		}
	}
}

// Whoever was silent while this node stood still has not been silent for it.
func TestPauseIsForgiven(t *testing.T) {
	n := nodeInView(t, 12, 0)
	one := n.view.Members[n.view.watchedBy[n.index][0]].Life
	runFor(n, 3*time.Second, func(m Member) bool { return m.Life == one })
	n.Tick(n.now + 10*time.Second)
	if n.stats.Accusations > 0 || n.stalls != 1 {
		t.Errorf("%d accusations after a pause, %d pauses seen", n.stats.Accusations, n.stalls)
	}
	runFor(n, 5*time.Second, func(m Member) bool { return m.Life == one })
	if want := len(n.edges) - 1; n.stats.Accusations != want {
		t.Errorf("%d accusations of those who stayed silent, want %d", n.stats.Accusations, want)
	}
}

// Who hears nobody is itself cut off, and accuses nobody; nor as soon as one is heard again.
func TestWhoHearsNobodyAccusesNobody(t *testing.T) {
	n := nodeInView(t, 12, 0)
	runFor(n, 20*time.Second, func(Member) bool { return false })
	if n.stats.Accusations > 0 || !n.isolated {
		t.Errorf("%d accusations, isolated %v", n.stats.Accusations, n.isolated)
	}
	one := n.view.Members[n.view.watchedBy[n.index][0]].Life
	runFor(n, 2*time.Second, func(m Member) bool { return m.Life == one })
	if n.stats.Accusations > 0 {
		t.Errorf("%d accusations right after", n.stats.Accusations)
	}
}

// An answer of a life that is not in the view, or to nothing that was asked, is no contact.
func TestOldAnswersAreNoContact(t *testing.T) {
	n := nodeInView(t, 5, 0)
	runFor(n, 2*time.Second, func(Member) bool { return false })
	for seq := range uint64(40) {
		n.Receive(n.now, &Message{Kind: Ack, SenderLife: 77, Seq: seq, FleetID: 9, ViewNumber: 1})
		n.Receive(n.now, &Message{Kind: Ack, SenderLife: 2, Seq: seq + 1000, FleetID: 9, ViewNumber: 1})
	}
	for _, e := range n.edges {
		if e.lastContact > 0 {
			t.Errorf("contact with %s", e.member.Name)
		}
	}
}

func accuseByFirst(n *Node, subject uint32, watchers int) {
	for s := range uint32(watchers) {
		n.detector.recordAlert(n.view, Alert{Subject: subject, WatcherSlot: s, Seq: n.detector.subject(subject).alertSeqs[s] + 1, Down: true}, n.now)
	}
}

// Two watermarks: below the low one is noise, above the high one a member goes, and between them all wait.
func TestWatermarks(t *testing.T) {
	for _, x := range []struct {
		accusers, beside int
		out              int
		clear            bool
	}{{8, 0, 1, true}, {10, 2, 1, true}, {8, 3, 1, false}, {7, 0, 0, false}, {2, 2, 0, true}} {
		n := nodeInView(t, 30, 0)
		accuseByFirst(n, 5, x.accusers)
		accuseByFirst(n, 17, x.beside)
		out, clear := n.detector.removals(n.view, n.now+time.Second)
		if len(out) != x.out || clear != x.clear {
			t.Errorf("accused by %d and another by %d: out %v, clear %v", x.accusers, x.beside, out, clear)
		}
	}
}

// Who is accused is told, says that it lives, and is not taken out while it does.
func TestTheAccusedSpeaks(t *testing.T) {
	n := nodeInView(t, 30, 0)
	m := &Message{Kind: Probe, SenderLife: testMember(1).Life, FleetID: 9, ViewNumber: 1, Seq: 1}
	for s := range uint32(8) {
		m.Alerts = append(m.Alerts, Alert{Subject: n.index, WatcherSlot: s, Seq: 1, Down: true})
	}
	n.Receive(n.now, m)
	n.TakeOutput()
	n.Tick(n.now + 100*ms)
	sends, _ := n.TakeOutput()
	if !slices.ContainsFunc(sends, func(s Outgoing) bool {
		return len(s.Message.Refutations) == 1 && s.Message.Refutations[0].Member == n.index
	}) {
		t.Error("it does not say that it lives")
	}
	other := nodeInView(t, 30, 3)
	subject := other.view.watchedBy[other.index][0]
	accuseByFirst(other, subject, 8)
	if out, _ := other.detector.removals(other.view, other.now+time.Second); !slices.Equal(out, []uint32{subject}) {
		t.Errorf("mute: out %v", out)
	}
	other.Receive(other.now, &Message{Kind: Gossip, SenderLife: 2, FleetID: 9, ViewNumber: 1, Refutations: []Refutation{{subject, 1}}})
	if out, _ := other.detector.removals(other.view, other.now+time.Second); len(out) > 0 {
		t.Errorf("it speaks: out %v", out)
	}
	told := false
	for range 15 {
		other.Tick(other.now + 100*ms)
		sends, _ = other.TakeOutput()
		for _, s := range sends {
			told = told || s.Message.Kind == Probe && s.To == other.view.Members[subject].Addr && len(s.Message.Alerts) >= 7
		}
	}
	if !told {
		t.Error("nobody tells the accused")
	}
}

// A name that is taken out again and again waits, longer each time.
func TestTakenOutAgain(t *testing.T) {
	n := nodeInView(t, 5, 0)
	v := n.view
	without, err := v.Next(&Proposal{ViewNumber: 1, NextNumber: 2, Remove: []uint32{4}}, 10)
	if err != nil {
		t.Fatal(err)
	}
	last := time.Duration(-1)
	for k := range 4 {
		n.recordRemovals(v, without)
		r := n.removed[testMember(4).Name]
		if wait := max(0, r.readmitAt-n.now); wait <= last && k > 0 {
			t.Errorf("time %d: waits %v after %v", k+1, wait, last)
		} else {
			last = wait
		}
	}
	n.view = without
	joiner := testMember(4)
	joiner.Life = 99
	n.Receive(n.now+time.Second, &Message{Kind: Join, SenderLife: 99, Self: &joiner})
	if len(n.trials) > 0 {
		t.Error("it is tried while it must wait")
	}
	n.Receive(n.now+last+time.Second, &Message{Kind: Join, SenderLife: 99, Self: &joiner})
	if len(n.trials) == 0 {
		t.Error("it is not tried once it has waited")
	}
}

// Whatever ballots are opened by whom, and whatever of the votes is lost, late or doubled, no two nodes make different
// views of one number.
func TestOneDecision(t *testing.T) {
	decided := 0
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		size := 3 + rng.IntN(3)
		var nodes []*Node
		for i := range size {
			n := nodeInView(t, size, i)
			extra := testMember(20 + i) // each would have another change
			n.ballots.ownProposal = &Proposal{ViewNumber: 1, NextNumber: 2, Add: []Member{extra}}
			nodes = append(nodes, n)
		}
		type letter struct {
			to int
			m  *Message
		}
		var post []letter
		digest := uint64(0)
		for range 120 {
			i := rng.IntN(size)
			n := nodes[i]
			switch b := &n.ballots; {
			case n.view.Number == 1 && rng.IntN(6) == 0:
				b.openBallot(Vote{ViewNumber: 1, Ballot: ballotNumber(b.current.Ballot>>32+1, b.rank), Promises: NewBitSet(size)}, n.now)
				n.advanceBallot()
			case len(post) > 0 && rng.IntN(2) == 0:
				k := rng.IntN(len(post))
				l := post[k]
				if rng.IntN(4) > 0 { // else it comes again later
					post = slices.Delete(post, k, k+1)
				}
				nodes[l.to].mergeVote(l.m)
			case n.view.Number == 1 && b.current.Ballot != 0:
				m := &Message{Kind: Gossip, SenderLife: n.self.Life, FleetID: 9, ViewNumber: 1}
				m.Vote, m.Proposal = n.voteForMessage(b.current, b.proposals[b.current.Value])
				if to := rng.IntN(size); to != i {
					post = append(post, letter{to, m})
				}
			}
			for _, n := range nodes {
				if n.view.Number == 2 {
					decided++
					if digest == 0 {
						digest = n.view.Digest
					}
					if digest != n.view.Digest {
						t.Fatalf("seed %d: two views of one number", seed)
					}
				}
			}
		}
	}
	if decided == 0 {
		t.Error("nothing was ever decided: the test shows nothing")
	}
}
