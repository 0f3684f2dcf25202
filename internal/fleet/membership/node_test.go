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

// testMember returns member i of a test fleet with three sites.
func testMember(i int) Member {
	return Member{
		Name: fmt.Sprintf("n%02d", i), Site: fmt.Sprint("s", i%3), Life: uint64(i) + 1, Incarnation: 1,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000),
	}
}

// nodeInView returns the node with index i in a view with the given number of members.
func nodeInView(t *testing.T, size, i int) *Node {
	t.Helper()
	var members []Member
	for k := range size {
		members = append(members, testMember(k))
	}
	v, err := NewView(9, 1, members, 10)
	if err != nil {
		t.Fatal(err)
	}
	n := New(Settings{Self: testMember(i), Seeds: []netip.AddrPort{testMember(0).Addr}}, uint64(i), time.Second)
	n.self = testMember(i)
	n.installView(v, "")
	n.TakeOutput()
	return n
}

// runFor ticks a node for a duration. Members for which answers returns true answer probes at once.
func runFor(n *Node, duration time.Duration, answers func(m Member) bool) {
	for end := n.now + duration; n.now < end; {
		n.Tick(n.now + 100*ms)
		sends, _ := n.TakeOutput()
		for _, out := range sends {
			for _, m := range n.view.Members {
				if out.Message.Kind == Probe && m.Addr == out.To && answers(m) {
					n.Receive(n.now, &Message{Kind: Ack, SenderLife: m.Life, Seq: out.Message.Seq, FleetID: 9, ViewNumber: 1})
				}
			}
		}
	}
}

// A pause of this process must not count as silence of the watched members.
func TestPauseCausesNoAccusations(t *testing.T) {
	n := nodeInView(t, 12, 0)
	one := n.view.Members[n.view.watchedBy[n.index][0]].Life
	runFor(n, 3*time.Second, func(m Member) bool { return m.Life == one })
	n.Tick(n.now + 10*time.Second)
	if n.stats.Accusations > 0 || n.stalls != 1 {
		t.Errorf("after a pause: %d accusations, want 0; %d stalls, want 1", n.stats.Accusations, n.stalls)
	}
	runFor(n, 5*time.Second, func(m Member) bool { return m.Life == one })
	if want := len(n.edges) - 1; n.stats.Accusations != want {
		t.Errorf("%d accusations of members that stayed silent, want %d", n.stats.Accusations, want)
	}
}

// A node without any contact is isolated itself: it must accuse nobody, also right after contact
// with one member is restored.
func TestIsolatedNodeAccusesNobody(t *testing.T) {
	n := nodeInView(t, 12, 0)
	runFor(n, 20*time.Second, func(Member) bool { return false })
	if n.stats.Accusations > 0 || !n.isolated {
		t.Errorf("%d accusations, want 0; isolated is %v, want true", n.stats.Accusations, n.isolated)
	}
	one := n.view.Members[n.view.watchedBy[n.index][0]].Life
	runFor(n, 2*time.Second, func(m Member) bool { return m.Life == one })
	if n.stats.Accusations > 0 {
		t.Errorf("%d accusations right after contact is restored, want 0", n.stats.Accusations)
	}
}

// An answer from a life that is not in the view, or with an unknown sequence number, must not count
// as contact.
func TestUnexpectedAcksAreNoContact(t *testing.T) {
	n := nodeInView(t, 5, 0)
	runFor(n, 2*time.Second, func(Member) bool { return false })
	for seq := range uint64(40) {
		n.Receive(n.now, &Message{Kind: Ack, SenderLife: 77, Seq: seq, FleetID: 9, ViewNumber: 1})
		n.Receive(n.now, &Message{Kind: Ack, SenderLife: 2, Seq: seq + 1000, FleetID: 9, ViewNumber: 1})
	}
	for _, e := range n.edges {
		if e.lastContact > 0 {
			t.Errorf("contact with %s is recorded", e.member.Name)
		}
	}
}

// accuseByFirst records accusations of a member by the first of its watchers.
func accuseByFirst(n *Node, subject uint32, watchers int) {
	for slot := range uint32(watchers) {
		n.detector.recordAlert(n.view, Alert{Subject: subject, WatcherSlot: slot, Seq: n.detector.subject(subject).alertSeqs[slot] + 1, Down: true}, n.now)
	}
}

// Accusations below the low watermark are noise, a member at the high watermark is removed, and a
// member between the two delays all removals.
func TestWatermarks(t *testing.T) {
	for _, test := range []struct {
		accusers, accusersOfOther int
		removed                   int
		clear                     bool
	}{{8, 0, 1, true}, {10, 2, 1, true}, {8, 3, 1, false}, {7, 0, 0, false}, {2, 2, 0, true}} {
		n := nodeInView(t, 30, 0)
		accuseByFirst(n, 5, test.accusers)
		accuseByFirst(n, 17, test.accusersOfOther)
		removed, clear := n.detector.removals(n.view, n.now+time.Second)
		if len(removed) != test.removed || clear != test.clear {
			t.Errorf("one member accused by %d and another by %d: removed %v, clear %v", test.accusers, test.accusersOfOther, removed, clear)
		}
	}
}

// An accused member is informed of the accusations, sends refutations, and is not removed while
// they arrive.
func TestAccusedMemberRefutes(t *testing.T) {
	n := nodeInView(t, 30, 0)
	m := &Message{Kind: Probe, SenderLife: testMember(1).Life, FleetID: 9, ViewNumber: 1, Seq: 1}
	for slot := range uint32(8) {
		m.Alerts = append(m.Alerts, Alert{Subject: n.index, WatcherSlot: slot, Seq: 1, Down: true})
	}
	n.Receive(n.now, m)
	n.TakeOutput()
	n.Tick(n.now + 100*ms)
	sends, _ := n.TakeOutput()
	if !slices.ContainsFunc(sends, func(s Outgoing) bool {
		return len(s.Message.Refutations) == 1 && s.Message.Refutations[0].Member == n.index
	}) {
		t.Error("the accused node sends no refutation")
	}
	other := nodeInView(t, 30, 3)
	subject := other.view.watchedBy[other.index][0]
	accuseByFirst(other, subject, 8)
	if out, _ := other.detector.removals(other.view, other.now+time.Second); !slices.Equal(out, []uint32{subject}) {
		t.Errorf("without a refutation: removed %v", out)
	}
	other.Receive(other.now, &Message{Kind: Gossip, SenderLife: 2, FleetID: 9, ViewNumber: 1, Refutations: []Refutation{{subject, 1}}})
	if out, _ := other.detector.removals(other.view, other.now+time.Second); len(out) > 0 {
		t.Errorf("with a refutation: removed %v, want none", out)
	}
	informed := false
	for range 15 {
		other.Tick(other.now + 100*ms)
		sends, _ = other.TakeOutput()
		for _, s := range sends {
			informed = informed || s.Message.Kind == Probe && s.To == other.view.Members[subject].Addr && len(s.Message.Alerts) >= 7
		}
	}
	if !informed {
		t.Error("no probe informs the accused member of the accusations")
	}
}

// A name that is removed repeatedly must wait longer each time before it is admitted again.
func TestReadmitBackoffGrows(t *testing.T) {
	n := nodeInView(t, 5, 0)
	v := n.view
	without, err := v.Next(&Proposal{ViewNumber: 1, NextNumber: 2, Remove: []uint32{4}}, 10)
	if err != nil {
		t.Fatal(err)
	}
	lastWait := time.Duration(-1)
	for k := range 4 {
		n.recordRemovals(v, without)
		removal := n.removed[testMember(4).Name]
		if wait := max(0, removal.readmitAt-n.now); wait <= lastWait && k > 0 {
			t.Errorf("removal %d: wait %v is not longer than the previous %v", k+1, wait, lastWait)
		} else {
			lastWait = wait
		}
	}
	n.view = without
	joiner := testMember(4)
	joiner.Life = 99
	n.Receive(n.now+time.Second, &Message{Kind: Join, SenderLife: 99, Self: &joiner})
	if len(n.trials) > 0 {
		t.Error("the joiner is probed before its wait is over")
	}
	n.Receive(n.now+lastWait+time.Second, &Message{Kind: Join, SenderLife: 99, Self: &joiner})
	if len(n.trials) == 0 {
		t.Error("the joiner is not probed after its wait")
	}
}

// Whichever nodes open ballots, and whichever votes are lost, delayed or duplicated, no two nodes may
// install different views with the same number.
func TestOneViewPerNumber(t *testing.T) {
	decided := 0
	for seed := range uint64(4000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		size := 3 + rng.IntN(3)
		var nodes []*Node
		for i := range size {
			n := nodeInView(t, size, i)
			extra := testMember(20 + i) // each node proposes a different joiner
			n.ballots.ownProposal = &Proposal{ViewNumber: 1, NextNumber: 2, Add: []Member{extra}}
			nodes = append(nodes, n)
		}
		type delivery struct {
			to int
			m  *Message
		}
		var inFlight []delivery
		digest := uint64(0)
		for range 120 {
			i := rng.IntN(size)
			n := nodes[i]
			switch b := &n.ballots; {
			case n.view.Number == 1 && rng.IntN(6) == 0:
				b.openBallot(Vote{ViewNumber: 1, Ballot: ballotNumber(b.current.Ballot>>32+1, b.rank), Promises: NewBitSet(size)}, n.now)
				n.advanceBallot()
			case len(inFlight) > 0 && rng.IntN(2) == 0:
				pick := rng.IntN(len(inFlight))
				d := inFlight[pick]
				if rng.IntN(4) > 0 { // otherwise it is delivered again later
					inFlight = slices.Delete(inFlight, pick, pick+1)
				}
				nodes[d.to].mergeVote(d.m)
			case n.view.Number == 1 && b.current.Ballot != 0:
				m := &Message{Kind: Gossip, SenderLife: n.self.Life, FleetID: 9, ViewNumber: 1}
				m.Vote, m.Proposal = n.voteForMessage(b.current, b.proposals[b.current.Value])
				if to := rng.IntN(size); to != i {
					inFlight = append(inFlight, delivery{to, m})
				}
			}
			for _, n := range nodes {
				if n.view.Number == 2 {
					decided++
					if digest == 0 {
						digest = n.view.Digest
					}
					if digest != n.view.Digest {
						t.Fatalf("seed %d: two views have the same number", seed)
					}
				}
			}
		}
	}
	if decided == 0 {
		t.Error("no run decided anything, so nothing was tested")
	}
}

// Each slot that a sponsor can have must count once, also the last one of the largest view whose members all watch each
// other: an answer that never counts restarts the quiet period before a proposal each time. Other slots are ignored.
func TestEachSponsorSlotCountsOnce(t *testing.T) {
	n := nodeInView(t, 3, 0)
	joiner := Joiner{Member: testMember(9)}
	for slot := range uint32(maxSponsors + 20) {
		joiner.SponsorSlot = slot
		n.detector.changedAt = 0
		n.recordJoinerAnswer(joiner)
		if isNew := n.detector.changedAt != 0; isNew != (slot < maxSponsors) {
			t.Errorf("slot %d: counted is %v", slot, isNew)
		}
		n.detector.changedAt = 0
		if n.recordJoinerAnswer(joiner); n.detector.changedAt != 0 {
			t.Errorf("slot %d: a repeated answer counts as new", slot)
		}
	}
	if slots := uint64(n.pending[joiner.Member.Life].answeredSlots); slots != 1<<maxSponsors-1 {
		t.Errorf("slots answered: %b", slots)
	}
}

// No view may have more watchers or sponsors than the bit sets hold, at the most watchers that the settings allow.
func TestSlotsFitBitSets(t *testing.T) {
	settings := Settings{Self: testMember(0), WatchersPerMember: maxWatchers}.Default()
	if err := settings.Check(); err != nil {
		t.Error(err)
	}
	if settings.WatchersPerMember++; settings.Check() == nil {
		t.Errorf("%d watchers are accepted", settings.WatchersPerMember)
	}
	most, mostSponsors := 0, 0
	for size := 1; size <= 3*maxWatchers; size++ {
		v, err := NewView(9, 1, manyMembers()[:size], maxWatchers)
		if err != nil {
			t.Fatal(err)
		}
		most, mostSponsors = max(most, len(v.WatchersOf(0))), max(mostSponsors, len(v.sponsors(1e6)))
	}
	if most != maxWatchers || mostSponsors != maxSponsors {
		t.Errorf("at most %d watchers and %d sponsors, want %d and %d", most, mostSponsors, maxWatchers, maxSponsors)
	}
}
