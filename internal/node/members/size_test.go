package members

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"

	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
	"curlewring/internal/node/clock"
)

// plannedSize is how many nodes the operators plan.
const plannedSize = 5400

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// viewOf is a view of so many members.
func viewOf(t *testing.T, nodes int) *membership.View {
	t.Helper()
	var all []membership.Member
	for i := range nodes {
		at := netip.MustParseAddrPort(fmt.Sprintf("[2001:db8:1111:2222:3333:4444:5555:%x]:65535", 0x1000+i))
		all = append(all, membership.Member{Name: fmt.Sprint("n", i), Addr: at, Life: uint64(i) + 1, Incarnation: 1})
	}
	v, err := membership.NewView(9, 1, all, watchersPerMember)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// What waits between a node's goroutines has room for a message to each node, or of each, at once.
func TestQueuesHoldAMessageANode(t *testing.T) {
	m, err := Open(Settings{Fleet: "x", Name: "n0", Listen: netip.MustParseAddrPort("127.0.0.1:0")}, clock.New(), quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	for i := range plannedSize {
		m.receive(wire.Append(nil, m.fleetNumber, &membership.Message{Kind: membership.Probe, SenderLife: uint64(i) + 1}))
		m.SendClaim(uint64(i)+1, allowance.Claim{Lender: 1, Seq: uint64(i) + 1})
		m.Send(fmt.Sprint("n", i), m.Address(), wire.TopicList, nil)
	}
	if len(m.inbox) != plannedSize || len(m.claims) != plannedSize || len(m.payloads) != plannedSize || m.counters.Dropped.Load() > 0 {
		t.Errorf("of %d each, %d messages, %d claims and %d loads wait, %d are dropped",
			plannedSize, len(m.inbox), len(m.claims), len(m.payloads), m.counters.Dropped.Load())
	}
}

// The next life of a node knows all members of a fleet of 1,024, or as many of a larger one.
func TestManyMembersOverARestart(t *testing.T) {
	for _, nodes := range []int{1024, plannedSize} {
		folder := t.TempDir()
		k, err := openState(folder, clock.New(), quiet())
		if err != nil {
			t.Fatal(err)
		}
		v := viewOf(t, nodes)
		k.save(savedState{Incarnation: 1, Number: v.Number, Known: sampleAddresses(v)})
		k.write(&savedState{})
		k.close()
		next, err := openState(folder, clock.New(), quiet())
		if err != nil {
			t.Fatal(err)
		}
		defer next.close()
		known := next.previous().Known
		slices.SortFunc(known, netip.AddrPort.Compare)
		if different := len(slices.Compact(known)); different != 1024 {
			t.Errorf("of %d members %d are known after a restart, want 1024", nodes, different)
		}
	}
}
