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

// silentFleet has no members, and keeps who takes what comes.
type silentFleet struct{ take func(body []byte) }

func (f *silentFleet) View() *membership.View                           { return nil }
func (f *silentFleet) Address() netip.AddrPort                          { return netip.AddrPort{} }
func (f *silentFleet) Send(string, netip.AddrPort, uint32, []byte) bool { return true }
func (f *silentFleet) OnMessage(_ uint32, take func(body []byte))       { f.take = take }
func (f *silentFleet) LearnAddress(string, netip.AddrPort)              {}

// All nodes that are planned may ask one for its list at once.
func TestManyAskAtOnce(t *testing.T) {
	const nodes = 5400
	f := &silentFleet{}
	r := New(Settings{Name: "x"}, f, nil, Hooks{}, slog.New(slog.DiscardHandler))
	for i := range nodes {
		f.take(wire.AppendList(nil, &wire.ListMessage{Message: bootstrap.Message{Kind: bootstrap.ListQuery, From: fmt.Sprint("n", i)}}))
	}
	if len(r.inbox) != nodes {
		t.Errorf("%d of %d questions wait", len(r.inbox), nodes)
	}
}
