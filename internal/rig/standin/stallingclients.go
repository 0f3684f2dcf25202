package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"curlewring/internal/rig/standin/judge"
)

const (
	stalledBodyBytes = 64 << 10 // that a stalling client announces, of which it sends half
	// reconnectInterval is the shortest time between two connections of a stalling client.
	reconnectInterval = 100 * time.Millisecond
)

// StallingClients are clients that send half of a request and then wait. A client whose connection the node ends
// connects again and does the same.
type StallingClients struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// StartStalling starts count stalling clients of the node at an address. They send requests of the plan's first
// class that may have a body.
func StartStalling(plan *Plan, address string, count int) (*StallingClients, error) {
	for i := range plan.Classes {
		class := &plan.Classes[i]
		if class.Idempotency == judge.Idempotent {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		s := &StallingClients{cancel: cancel}
		for client := range count {
			s.running.Go(func() { stallRepeatedly(ctx, address, class, client) })
		}
		return s, nil
	}
	return nil, fmt.Errorf("no class of the plan has requests with a body")
}

// Stop closes the connections of all clients and returns when they have ended.
func (s *StallingClients) Stop() {
	s.cancel()
	s.running.Wait()
}

// stallRepeatedly sends half of a request, waits for the node to end the connection, and starts again.
func stallRepeatedly(ctx context.Context, address string, class *Class, client int) {
	ticker := time.NewTicker(reconnectInterval)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		stallOnce(ctx, address, class, fmt.Sprintf("stall-%d-%d", client, number))
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// stallOnce sends half of a request and reads until the connection or the context ends.
func stallOnce(ctx context.Context, address string, class *Class, id string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	head := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n",
		class.Name, id, id, class.Name, class.Deadline.Milliseconds(), id, stalledBodyBytes)
	if _, err := conn.Write(append([]byte(head), make([]byte, stalledBodyBytes/2)...)); err != nil {
		return
	}
	io.Copy(io.Discard, conn)
}
