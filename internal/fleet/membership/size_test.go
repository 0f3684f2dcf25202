package membership

import (
	"fmt"
	"net/netip"
	"testing"
)

// manyMembers returns the members of a fleet of the planned size.
func manyMembers() (members []Member) {
	for i := range 5400 {
		members = append(members, Member{
			Name: fmt.Sprintf("n%04d", i), Life: uint64(i) + 1, Incarnation: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		})
	}
	return members
}

// A node must keep a removal record for every member of a fleet of the planned size.
func TestRemovalRecordsForWholeFleet(t *testing.T) {
	all := manyMembers()
	before, err := NewView(9, 1, all, 10)
	if err != nil {
		t.Fatal(err)
	}
	after, err := NewView(9, 2, all[:1], 10)
	if err != nil {
		t.Fatal(err)
	}
	n := nodeInView(t, 1, 0)
	n.recordRemovals(before, after)
	if want := len(all) - 1; len(n.removed) != want {
		t.Errorf("%d removal records, want %d", len(n.removed), want)
	}
}

// All nodes of a fleet of the planned size must be able to join at once.
func TestWholeFleetJoinsAtOnce(t *testing.T) {
	n := nodeInView(t, 1, 0)
	in, all := n.self.Life, manyMembers()
	for _, m := range all {
		n.startTrial(Joiner{Member: m})
		n.recordJoinerAnswer(Joiner{Member: m})
	}
	want := len(all) - 1 // one of them has the life of the only member
	if _, is := n.trials[in]; len(n.pending) != want || !is || len(n.trials) != len(all) {
		t.Errorf("%d of %d joiners are pending, %d are probed", len(n.pending), want, len(n.trials))
	}
}
