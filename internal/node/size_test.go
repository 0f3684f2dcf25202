package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewring/decide"
	fleetbootstrap "curlewring/internal/fleet/bootstrap"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
	"curlewring/internal/servers/serverdb"
)

// plannedSize is the planned number of nodes and of servers. Every list and message must hold
// that many.
const plannedSize = 5400

// plannedServers returns plannedSize servers with ids of one length. Nothing listens at their
// addresses.
func plannedServers(idLength int) *endpoints.List {
	l := &endpoints.List{Generation: 1, Whole: true}
	for i := range plannedSize {
		l.Entries = append(l.Entries, endpoints.Entry{
			Server: decide.Server{
				ID: fmt.Sprintf("%0*d", idLength, i), Zone: "zone-of-some-length", Cell: i % 60, Weight: 1.25,
				Started: time.Duration(i) * time.Second, Health: decide.Healthy,
			},
			Address: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250+1),
		})
	}
	return l
}

func plannedAddresses() (all []netip.AddrPort) {
	for i := range plannedSize {
		all = append(all, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250+1)))
	}
	return all
}

func encodeList(t *testing.T, l *endpoints.List) []byte {
	t.Helper()
	text, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// waitForAll waits until the loop knows all servers, and checks that it can send to each.
func (n *testNode) waitForAll(t *testing.T) {
	t.Helper()
	WaitFor(t, "the node knows all servers", func() bool { return n.serverCount() == plannedSize })
	sendable := 0
	n.loop.backgroundStep(func(time.Duration) (time.Duration, bool) {
		sendable = n.loop.sendable
		return 0, false
	})(0)
	if sendable != plannedSize {
		t.Errorf("%d of %d servers may be sent to", sendable, plannedSize)
	}
}

// The known list of a configuration must hold the planned number of servers.
func TestPlannedServersInTheConfiguration(t *testing.T) {
	d := NewDiscoveryServer(t)
	c := testConfig(t, d.Listener.Addr().String(), string(encodeList(t, plannedServers(16))), 1024)
	startNode(t, c).waitForAll(t)
}

// An answer of discovery must hold them however the JSON is formatted, and they must reach the
// view, the loop and the balancer.
func TestPlannedServersFromDiscovery(t *testing.T) {
	for name, tc := range map[string]struct {
		idLength int
		indent   string
	}{
		"plain":                {16, ""},
		"indented":             {16, "    "},
		"long names, indented": {253, "    "},
	} {
		t.Run(name, func(t *testing.T) {
			text := encodeList(t, plannedServers(tc.idLength))
			if tc.indent != "" {
				var indented bytes.Buffer
				if err := json.Indent(&indented, text, "", tc.indent); err != nil {
					t.Fatal(err)
				}
				text = indented.Bytes()
			}
			t.Logf("%d bytes", len(text))
			d := NewDiscoveryServer(t)
			n := startNode(t, testConfig(t, d.Listener.Addr().String(), "null", 1024))
			d.SendList(t, string(text))
			n.waitForAll(t)
		})
	}
}

// The saved state must hold them over a restart, with the smallest limit that may be set.
func TestPlannedServersOverARestart(t *testing.T) {
	all := plannedServers(64)
	servers := make([]serverdb.Server, len(all.Entries))
	for i := range all.Entries {
		servers[i] = toRow(&all.Entries[i], time.Time{})
	}
	d := NewDiscoveryServer(t)
	c := testConfig(t, d.Listener.Addr().String(), "null", 1024)
	c.State = State{Folder: writeSavedState(t, 0, servers...), MaxMB: minStateMB}
	startNode(t, c).waitForAll(t)
}

// A list that a node hands to another must hold them in one stream message.
func TestPlannedServersHandedOn(t *testing.T) {
	list := encodeList(t, plannedServers(64))
	body := wire.AppendList(nil, &wire.ListMessage{Message: fleetbootstrap.Message{
		Kind: fleetbootstrap.ListReply, From: "n0", List: fleetbootstrap.List{Generation: 1, Discovery: "127.0.0.1:1"}, Body: list,
	}})
	const fleet, watchers = 7, 10
	sent := wire.Append(nil, fleet, &membership.Message{Kind: membership.Payload, SenderLife: 1, Topic: wire.TopicList, Body: body})
	if len(sent) > wire.MaxStreamMessage {
		t.Fatalf("%d bytes, at most %d are read", len(sent), wire.MaxStreamMessage)
	}
	received, err := wire.Parse(sent, fleet, watchers)
	if err != nil {
		t.Fatal(err)
	}
	m, err := wire.ParseList(received.Body)
	if err != nil {
		t.Fatal(err)
	}
	if l, err := endpoints.Parse(m.Body); err != nil || len(l.Entries) != plannedSize {
		t.Errorf("%v, %+v", err, l)
	}
}

// A view of the planned number of nodes must fit into one stream message.
func TestPlannedNodesInAView(t *testing.T) {
	const fleet, watchers = 7, 10
	var all []membership.Member
	for i, at := range plannedAddresses() {
		all = append(all, membership.Member{
			Name: fmt.Sprintf("%064d", i), Site: strings.Repeat("s", 64), Addr: at, Life: 1<<63 + uint64(i), Incarnation: 1 << 40,
		})
	}
	v, err := membership.NewView(9, 1, all, watchers)
	if err != nil {
		t.Fatal(err)
	}
	sent := wire.Append(nil, fleet, &membership.Message{Kind: membership.Gossip, SenderLife: 1, View: v})
	if len(sent) > wire.MaxStreamMessage {
		t.Fatalf("%d bytes, at most %d are read", len(sent), wire.MaxStreamMessage)
	}
	if m, err := wire.Parse(sent, fleet, watchers); err != nil || len(m.View.Members) != plannedSize {
		t.Errorf("%v, %+v", err, m)
	}
}

// The local settings must hold the planned number of nodes as seeds and in the via table. Above
// the limits, the faults must name the key and the limit.
func TestPlannedNodesInLocalSettings(t *testing.T) {
	settings := func(nodes int) string {
		var seeds, via strings.Builder
		for i := range nodes {
			at := fmt.Sprintf("\"10.0.%d.%d:7946\"", i/250, i%250+1)
			fmt.Fprintf(&seeds, "%s, ", at)
			fmt.Fprintf(&via, "%s = %s\n", at, at)
		}
		return "[members]\nfleet = \"x\"\nlisten = \":7946\"\nseeds = [" + seeds.String() + "]\n[members.via]\n" + via.String()
	}
	local, faults := parseLocalSettings([]byte(settings(plannedSize)))
	if len(faults) > 0 || len(local.Members.Seeds) != plannedSize || len(local.Members.RouteVia) != plannedSize {
		t.Errorf("%v, %+v", faults, local.Members)
	}
	_, faults = parseLocalSettings([]byte(settings(maxSeeds + 1)))
	for _, want := range []string{
		`4: members.seeds = `, fmt.Sprintf("want a list of 1 to %d addresses", maxSeeds), fmt.Sprintf("more than %d keys in one table", maxVia),
	} {
		if !slices.ContainsFunc(faults, func(f string) bool { return strings.Contains(f, want) }) {
			t.Errorf("%d seeds: no fault in %q contains %q", maxSeeds+1, faults, want)
		}
	}
}
