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

// plannedNodes is the largest fleet that operators plan.
const plannedNodes = 5400

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// viewOfSize returns a view with the given number of members.
func viewOfSize(t *testing.T, nodes int) *membership.View {
	t.Helper()
	var members []membership.Member
	for i := range nodes {
		addr := netip.MustParseAddrPort(fmt.Sprintf("[2001:db8:1111:2222:3333:4444:5555:%x]:65535", 0x1000+i))
		members = append(members, membership.Member{Name: fmt.Sprint("n", i), Addr: addr, Life: uint64(i) + 1, Incarnation: 1})
	}
	view, err := membership.NewView(9, 1, members, watchersPerMember)
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// The queues between a node's goroutines must hold one message to or from every node of a planned
// fleet.
func TestQueuesHoldOneMessagePerNode(t *testing.T) {
	m, err := Open(Settings{Fleet: "x", Name: "n0", Listen: netip.MustParseAddrPort("127.0.0.1:0")}, clock.New(), discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	for i := range plannedNodes {
		m.receive(wire.Append(nil, m.fleetNumber, &membership.Message{Kind: membership.Probe, SenderLife: uint64(i) + 1}))
		m.SendClaim(uint64(i)+1, allowance.Claim{Lender: 1, Seq: uint64(i) + 1})
		m.Send(fmt.Sprint("n", i), m.Address(), wire.TopicList, nil)
	}
	if len(m.inbox) != plannedNodes || len(m.claims) != plannedNodes || len(m.payloads) != plannedNodes || m.counters.Dropped.Load() > 0 {
		t.Errorf("of %d each, %d messages, %d claims and %d payloads are queued, and %d were dropped",
			plannedNodes, len(m.inbox), len(m.claims), len(m.payloads), m.counters.Dropped.Load())
	}
}

// After a restart a node must know all members of a fleet of 1,024 nodes, and 1,024 of a larger
// one.
func TestKnownMembersSurviveRestart(t *testing.T) {
	for _, nodes := range []int{1024, plannedNodes} {
		folder := t.TempDir()
		writer, err := openState(folder, clock.New(), discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		view := viewOfSize(t, nodes)
		writer.save(savedState{Incarnation: 1, Number: view.Number, Known: sampleAddresses(view)})
		writer.write(&savedState{})
		writer.close()
		restarted, err := openState(folder, clock.New(), discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		defer restarted.close()
		known := restarted.previous().Known
		slices.SortFunc(known, netip.AddrPort.Compare)
		if distinct := len(slices.Compact(known)); distinct != 1024 {
			t.Errorf("of %d members %d are known after a restart, want 1024", nodes, distinct)
		}
	}
}
