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
func (m *Members) control(ctx context.Context) {
	accept.Serve(ctx, m.ctl, accept.Limits{MaxConnections: mostAsking, ConnectionTimeout: controlWait}, func(c net.Conn) {
		r, err := m.Report(ctx)
		if err == nil {
			json.NewEncoder(c).Encode(r)
		}
	})
}

// mostAsking is how many operators may ask at once.
const mostAsking = 4

// Report asks the node what it knows.
func (m *Members) Report(ctx context.Context) (Report, error) {
	r := Report{
		Fleet: m.set.Fleet, Sent: m.counts.Datagrams.Load(), Bytes: m.counts.Bytes.Load(),
		Received: m.counts.Received.Load(), Dropped: m.counts.Dropped.Load(),
		Passed: m.counts.Malformed.Load() + m.counts.BadChecksum.Load() + m.counts.OtherFleet.Load() + m.counts.OtherVersion.Load(),
	}
	err := m.call(ctx, func(n *membership.Node, now time.Duration) {
		r.Standing, r.Pools = n.Status(now), m.dealer.PoolStatuses(now)
	})
	return r, err
}

// mostReport bounds a node's answer.
const mostReport = 16 << 20

// Ask asks the node that keeps its state in a folder.
func RequestReport(ctx context.Context, folder string) (Report, error) {
	var r Report
	var d net.Dialer
	c, err := d.DialContext(ctx, "unix", SocketPath(folder))
	if err != nil {
		return r, fmt.Errorf("no node answers in %s, or its settings have no [members]: %w", folder, err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * controlWait))
	if err := json.NewDecoder(io.LimitReader(c, mostReport)).Decode(&r); err != nil {
		return r, fmt.Errorf("the node's answer: %w", err)
	}
	return r, nil
}
