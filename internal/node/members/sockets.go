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

// readDatagrams receives UDP datagrams until the socket is closed.
func (m *Members) readDatagrams() {
	buf := make([]byte, wire.MaxDatagram+1)
	for {
		size, _, err := m.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier datagram to a closed port
		}
		m.counters.Received.Add(1)
		if size > wire.MaxDatagram {
			m.counters.Malformed.Add(1)
			continue
		}
		m.receive(buf[:size])
	}
}

// receive decodes a message and queues it for Run; a message that does not fit is dropped.
func (m *Members) receive(data []byte) {
	message, err := wire.Parse(data, m.fleetNumber, watchersPerMember)
	var parseErr *wire.Error
	if errors.As(err, &parseErr) {
		switch parseErr.Fault {
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
	case m.inbox <- message:
	default:
		m.counters.Dropped.Add(1)
	}
}

// acceptStreams receives long messages over TCP: one per connection, a few connections at once.
func (m *Members) acceptStreams(ctx context.Context) {
	limits := accept.Limits{MaxConnections: maxStreams, ConnectionTimeout: streamTimeout, OnReject: func() { m.counters.Dropped.Add(1) }}
	accept.Serve(ctx, m.tcp, limits, func(conn net.Conn) {
		data, err := io.ReadAll(io.LimitReader(conn, wire.MaxStreamMessage+1))
		if err != nil || len(data) > wire.MaxStreamMessage {
			m.counters.Malformed.Add(1)
			return
		}
		m.receive(data)
	})
}

// sendStream sends one long message over TCP.
func (m *Members) sendStream(ctx context.Context, addr netip.AddrPort, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return // the recipient requests it again
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(data); err == nil {
		m.counters.Streams.Add(1)
		m.counters.Bytes.Add(int64(len(data)))
	}
}
