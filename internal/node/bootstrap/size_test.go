package bootstrap

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
)

// silentFleet has no members, and records the message handler.
type silentFleet struct{ handler func(body []byte) }

func (f *silentFleet) View() *membership.View                           { return nil }
func (f *silentFleet) Address() netip.AddrPort                          { return netip.AddrPort{} }
func (f *silentFleet) Send(string, netip.AddrPort, uint32, []byte) bool { return true }
func (f *silentFleet) OnMessage(_ uint32, handle func(body []byte))     { f.handler = handle }
func (f *silentFleet) LearnAddress(string, netip.AddrPort)              {}

// The inbox must hold a query from every node of a planned fleet at once.
func TestInboxHoldsQueryFromEveryNode(t *testing.T) {
	const nodes = 5400
	fleet := &silentFleet{}
	runner := New(Settings{Name: "x"}, fleet, nil, Hooks{}, slog.New(slog.DiscardHandler))
	for i := range nodes {
		fleet.handler(wire.AppendList(nil, &wire.ListMessage{Message: bootstrap.Message{Kind: bootstrap.ListQuery, From: fmt.Sprint("n", i)}}))
	}
	if len(runner.inbox) != nodes {
		t.Errorf("%d of %d queries are queued", len(runner.inbox), nodes)
	}
}
