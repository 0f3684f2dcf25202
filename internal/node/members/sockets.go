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
		m.counts.Received.Add(1)
		if size > wire.MaxDatagram {
			m.counts.Malformed.Add(1)
			continue
		}
		m.take(b[:size])
	}
}

// take reads a message, and hands it over if there is room.
func (m *Members) take(b []byte) {
	x, err := wire.Parse(b, m.fleet, watchers)
	var bad *wire.Error
	if errors.As(err, &bad) {
		switch bad.Fault {
		case wire.BadChecksum:
			m.counts.BadChecksum.Add(1)
		case wire.OtherFleet:
			m.counts.OtherFleet.Add(1)
		case wire.OtherVersion:
			m.counts.OtherVersion.Add(1)
		default:
			m.counts.Malformed.Add(1)
		}
		return
	}
	select {
	case m.in <- x:
	default:
		m.counts.Dropped.Add(1)
	}
}

// accept takes long messages by TCP: one a connection, a few connections at once.
func (m *Members) accept(ctx context.Context) {
	bounds := accept.Limits{MaxConnections: mostStreams, ConnectionTimeout: streamWait, OnReject: func() { m.counts.Dropped.Add(1) }}
	accept.Serve(ctx, m.tcp, bounds, func(c net.Conn) {
		b, err := io.ReadAll(io.LimitReader(c, wire.MaxStreamMessage+1))
		if err != nil || len(b) > wire.MaxStreamMessage {
			m.counts.Malformed.Add(1)
			return
		}
		m.take(b)
	})
}

// stream sends one long message.
func (m *Members) stream(ctx context.Context, to netip.AddrPort, b []byte) {
	ctx, cancel := context.WithTimeout(ctx, streamWait)
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
		m.counts.Streams.Add(1)
		m.counts.Bytes.Add(int64(len(b)))
	}
}
