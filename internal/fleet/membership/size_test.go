package membership

import (
	"fmt"
	"net/netip"
	"testing"
)

// many are members of a fleet of the planned size.
func manyMembers() (all []Member) {
	for i := range 5400 {
		all = append(all, Member{
			Name: fmt.Sprintf("n%04d", i), Life: uint64(i) + 1, Incarnation: 1,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		})
	}
	return all
}

// A node remembers of each member that was taken out that it was.
func TestManyRemovalsAreRemembered(t *testing.T) {
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
		t.Errorf("%d removals are remembered, want %d", len(n.removed), want)
	}
}

// All nodes of a fleet may want in at once.
func TestManyWantIn(t *testing.T) {
	n := nodeInView(t, 1, 0)
	in, all := n.self.Life, manyMembers()
	for _, m := range all {
		n.startTrial(Joiner{Member: m})
		n.recordJoinerAnswer(Joiner{Member: m})
	}
	want := len(all) - 1 // one has the life of the only member
	if _, is := n.trials[in]; len(n.pending) != want || !is || len(n.trials) != len(all) {
		t.Errorf("%d of %d wait, %d are tried", len(n.pending), want, len(n.trials))
	}
}
