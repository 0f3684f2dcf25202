package members

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/node/accept"
)

// Report is what a node answers an operator.
type Report struct {
	Fleet    string
	Standing membership.Status
	Sent     int64 // datagrams
	Bytes    int64
	Received int64
	Dropped  int64
	Passed   int64                  // over: noise, damage, other fleets and versions
	Pools    []allowance.PoolStatus // of cold servers that this node deals for
}

// control answers operators: whoever connects gets the report, and the end.
func (m *Members) serveControl(ctx context.Context) {
	accept.Serve(ctx, m.controlListener, accept.Limits{MaxConnections: maxControlConnections, ConnectionTimeout: controlTimeout}, func(c net.Conn) {
		r, err := m.Report(ctx)
		if err == nil {
			json.NewEncoder(c).Encode(r)
		}
	})
}

// mostAsking is how many operators may ask at once.
const maxControlConnections = 4

// Report asks the node what it knows.
func (m *Members) Report(ctx context.Context) (Report, error) {
	r := Report{
		Fleet: m.settings.Fleet, Sent: m.counters.Datagrams.Load(), Bytes: m.counters.Bytes.Load(),
		Received: m.counters.Received.Load(), Dropped: m.counters.Dropped.Load(),
		Passed: m.counters.Malformed.Load() + m.counters.BadChecksum.Load() + m.counters.OtherFleet.Load() + m.counters.OtherVersion.Load(),
	}
	err := m.call(ctx, func(n *membership.Node, now time.Duration) {
		r.Standing, r.Pools = n.Status(now), m.allocator.PoolStatuses(now)
	})
	return r, err
}

// mostReport bounds a node's answer.
const maxReportBytes = 16 << 20

// Ask asks the node that keeps its state in a folder.
func RequestReport(ctx context.Context, folder string) (Report, error) {
	var r Report
	var d net.Dialer
	c, err := d.DialContext(ctx, "unix", SocketPath(folder))
	if err != nil {
		return r, fmt.Errorf("no node answers in %s, or its settings have no [members]: %w", folder, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * controlTimeout))
	if err := json.NewDecoder(io.LimitReader(c, maxReportBytes)).Decode(&r); err != nil {
		return r, fmt.Errorf("the node's answer: %w", err)
	}
	return r, nil
}
