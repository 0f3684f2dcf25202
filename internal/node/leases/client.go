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

// mostReply bounds a node's answers on one connection.
const maxReplyBytes = 64 << 20

func dial(ctx context.Context, folder string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "unix", SocketPath(folder))
	if err != nil {
		return nil, fmt.Errorf("no node answers in %s, or its settings have no [leases]: %w", folder, err)
	}
	return c, nil
}

// Ask asks the node that keeps its state in a folder for something other than a lease.
func Call(ctx context.Context, folder string, q Request) (Reply, error) {
	var r Reply
	c, err := dial(ctx, folder)
	if err != nil {
		return r, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := json.NewEncoder(c).Encode(q); err != nil {
		return r, fmt.Errorf("asking the node: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(c, maxReplyBytes)).Decode(&r); err != nil {
		return r, fmt.Errorf("the node's answer: %w", err)
	}
	if r.Error != "" {
		return r, errors.New(r.Error)
	}
	return r, nil
}

// Held is a lease that is asked for, or held, by way of a node.
type ClientLease struct {
	Events chan lease.Event // closed when the node says nothing more
	conn   net.Conn
	mu     sync.Mutex // one line at a time
	closed chan struct{}
}

// Hold asks the node for a lease. The caller must Close what it gets.
func Acquire(ctx context.Context, folder, name string, ttl time.Duration) (*ClientLease, error) {
	c, err := dial(ctx, folder)
	if err != nil {
		return nil, err
	}
	h := &ClientLease{Events: make(chan lease.Event, eventBuffer), conn: c, closed: make(chan struct{})}
	if err := h.send(Request{Do: "hold", Lease: name, TTL: ttl}); err != nil {
		c.Close()
		return nil, fmt.Errorf("asking the node: %w", err)
	}
	in := json.NewDecoder(c)
	var first Reply
	if err := in.Decode(&first); err != nil {
		c.Close()
		return nil, fmt.Errorf("the node's answer: %w", err)
	}
	if first.Error != "" {
		c.Close()
		return nil, errors.New(first.Error)
	}
	go func() { // ends with Close
		defer close(h.Events)
		for r := first; ; {
			if r.Event != nil {
				select {
				case h.Events <- *r.Event:
				case <-h.closed:
					return
				}
			}
			r = Reply{}
			if in.Decode(&r) != nil {
				return
			}
		}
	}()
	return h, nil
}

func (h *ClientLease) send(q Request) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return json.NewEncoder(h.conn).Encode(q)
}

// Stop tells the node that the lease is not wanted any more; the user may still act until it says Stopped.
func (h *ClientLease) RequestRelease() error { return h.send(Request{Do: "stop"}) }

// Stopped tells the node that the user acts no more, so the lease can pass on at once.
func (h *ClientLease) ConfirmStopped() error { return h.send(Request{Do: "stopped"}) }

// Close ends the connection. A lease whose user has not said Stopped runs out by its time.
func (h *ClientLease) Close() {
	select {
	case <-h.closed:
	default:
		close(h.closed)
		h.conn.Close()
	}
}
