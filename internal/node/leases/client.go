package leases

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"curlewring/internal/fleet/lease"
)

// maxReplyBytes bounds what a client reads from one connection to a node.
const maxReplyBytes = 64 << 20

func dial(ctx context.Context, folder string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "unix", SocketPath(folder))
	if err != nil {
		return nil, fmt.Errorf("leases: no node answers on the socket in %s, or its settings have no [leases]: %w", folder, err)
	}
	return conn, nil
}

// Call sends a request other than "hold" to the node whose state is in the given folder, and
// returns its reply.
func Call(ctx context.Context, folder string, request Request) (Reply, error) {
	var reply Reply
	conn, err := dial(ctx, folder)
	if err != nil {
		return reply, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return reply, fmt.Errorf("leases: sending the request to the node: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(conn, maxReplyBytes)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("leases: reading the node's reply: %w", err)
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

// ClientLease is a lease that is requested, or held, through a node's socket.
type ClientLease struct {
	Events chan lease.Event // closed when the connection to the node has ended
	conn   net.Conn
	mu     sync.Mutex // serializes writes to conn
	closed chan struct{}
}

// Acquire requests a lease from the node whose state is in the given folder. The caller must Close
// the returned lease.
func Acquire(ctx context.Context, folder, name string, ttl time.Duration) (*ClientLease, error) {
	conn, err := dial(ctx, folder)
	if err != nil {
		return nil, err
	}
	held := &ClientLease{Events: make(chan lease.Event, eventBuffer), conn: conn, closed: make(chan struct{})}
	if err := held.send(Request{Do: "hold", Lease: name, TTL: ttl}); err != nil {
		conn.Close()
		return nil, fmt.Errorf("leases: sending the request to the node: %w", err)
	}
	decoder := json.NewDecoder(conn)
	var first Reply
	if err := decoder.Decode(&first); err != nil {
		conn.Close()
		return nil, fmt.Errorf("leases: reading the node's reply: %w", err)
	}
	if first.Error != "" {
		conn.Close()
		return nil, errors.New(first.Error)
	}
	go func() { // ends after Close, or with the connection
		defer close(held.Events)
		for reply := first; ; {
			if reply.Event != nil {
				select {
				case held.Events <- *reply.Event:
				case <-held.closed:
					return
				}
			}
			reply = Reply{}
			if decoder.Decode(&reply) != nil {
				return
			}
		}
	}()
	return held, nil
}

func (l *ClientLease) send(request Request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return json.NewEncoder(l.conn).Encode(request)
}

// RequestRelease tells the node that the lease is no longer wanted. The user may still act until
// ConfirmStopped.
func (l *ClientLease) RequestRelease() error { return l.send(Request{Do: "stop"}) }

// ConfirmStopped tells the node that the user no longer acts under the lease, so that it can pass
// on at once.
func (l *ClientLease) ConfirmStopped() error { return l.send(Request{Do: "stopped"}) }

// Close ends the connection. A lease whose end of use was not confirmed expires after its TTL.
func (l *ClientLease) Close() {
	select {
	case <-l.closed:
	default:
		close(l.closed)
		l.conn.Close()
	}
}
