package members

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"time"

	"curlewring/internal/fleet/wire"
	"curlewring/internal/node/accept"
)

// readDatagrams hands over what comes by UDP, until the socket is closed.
func (m *Members) readDatagrams() {
	b := make([]byte, wire.MaxDatagram+1)
	for {
		size, _, err := m.udp.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a port that nobody has any more answers to what was sent there
		}
		m.counters.Received.Add(1)
		if size > wire.MaxDatagram {
			m.counters.Malformed.Add(1)
			continue
		}
		m.receive(b[:size])
	}
}

// take reads a message, and hands it over if there is room.
func (m *Members) receive(b []byte) {
	x, err := wire.Parse(b, m.fleetNumber, watchersPerMember)
	var bad *wire.Error
	if errors.As(err, &bad) {
		switch bad.Fault {
		case wire.BadChecksum:
			m.counters.BadChecksum.Add(1)
		case wire.OtherFleet:
			m.counters.OtherFleet.Add(1)
		case wire.OtherVersion:
			m.counters.OtherVersion.Add(1)
		default:
			m.counters.Malformed.Add(1)
		}
		return
	}
	select {
	case m.inbox <- x:
	default:
		m.counters.Dropped.Add(1)
	}
}

// accept takes long messages by TCP: one a connection, a few connections at once.
func (m *Members) acceptStreams(ctx context.Context) {
	bounds := accept.Limits{MaxConnections: maxStreams, ConnectionTimeout: streamTimeout, OnReject: func() { m.counters.Dropped.Add(1) }}
	accept.Serve(ctx, m.tcp, bounds, func(c net.Conn) {
		b, err := io.ReadAll(io.LimitReader(c, wire.MaxStreamMessage+1))
		if err != nil || len(b) > wire.MaxStreamMessage {
			m.counters.Malformed.Add(1)
			return
		}
		m.receive(b)
	})
}

// stream sends one long message.
func (m *Members) sendStream(ctx context.Context, to netip.AddrPort, b []byte) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return // it is asked for again
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.Write(b); err == nil {
		m.counters.Streams.Add(1)
		m.counters.Bytes.Add(int64(len(b)))
	}
}
