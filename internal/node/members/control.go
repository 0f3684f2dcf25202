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

// Report is the status that a node returns to an operator.
type Report struct {
	Fleet    string
	Standing membership.Status
	Sent     int64 // datagrams
	Bytes    int64
	Received int64
	Dropped  int64
	Passed   int64                  // ignored datagrams: malformed, damaged, of other fleets or protocol versions
	Pools    []allowance.PoolStatus // cold servers' budgets that this node allocates
}

// serveControl serves operators: each connection receives one report and is closed.
func (m *Members) serveControl(ctx context.Context) {
	accept.Serve(ctx, m.controlListener, accept.Limits{MaxConnections: maxControlConnections, ConnectionTimeout: controlTimeout}, func(conn net.Conn) {
		r, err := m.Report(ctx)
		if err == nil {
			json.NewEncoder(conn).Encode(r)
		}
	})
}

// maxControlConnections bounds concurrent operator connections.
const maxControlConnections = 4

// Report collects the node's present status.
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

// maxReportBytes bounds the report that a client accepts.
const maxReportBytes = 16 << 20

// RequestReport fetches the report of the node whose state is in the given folder.
func RequestReport(ctx context.Context, folder string) (Report, error) {
	var r Report
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "unix", SocketPath(folder))
	if err != nil {
		return r, fmt.Errorf("members: no node answers on the socket in %s, or its settings have no [members]: %w", folder, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * controlTimeout))
	if err := json.NewDecoder(io.LimitReader(conn, maxReportBytes)).Decode(&r); err != nil {
		return r, fmt.Errorf("members: reading the node's report: %w", err)
	}
	return r, nil
}
