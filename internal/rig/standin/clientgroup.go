package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// ClientGroup is a group of clients that disturb a node until they are stopped.
type ClientGroup struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startGroup starts count clients, each of which runs until its context ends.
func startGroup(count int, run func(ctx context.Context, client int)) *ClientGroup {
	ctx, cancel := context.WithCancel(context.Background())
	g := &ClientGroup{cancel: cancel}
	for client := range count {
		g.running.Go(func() { run(ctx, client) })
	}
	return g
}

// Stop closes the connections of all clients and returns when they have ended.
func (g *ClientGroup) Stop() {
	g.cancel()
	g.running.Wait()
}

// reconnectInterval is the shortest time between two connections of one client of a group.
const reconnectInterval = 100 * time.Millisecond

// repeatEvery runs a function again and again, at an interval or when it has returned, until the context ends.
func repeatEvery(ctx context.Context, interval time.Duration, run func(number int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		run(number)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// withConn connects to an address and passes the connection on. All its waits end when the context ends.
func withConn(ctx context.Context, address string, use func(conn net.Conn)) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	use(conn)
}

// clientFault is a kind of fault that starts clients of a node.
type clientFault struct {
	start    func(f *Fleet, node, address string, count int, requests string) (*ClientGroup, error)
	requests []string // what its clients may do
	usual    string   // what they do if the fault does not say
}

// clientFaults returns the faults that start clients, by their kind.
func clientFaults() map[string]clientFault {
	return map[string]clientFault{
		"stall":   {startStalling, StallNames(), "body"},
		"flood":   {startFlooding, FloodNames(), "ready"},
		"abandon": {startLeaving, LeaveNames(), "pipelined"},
	}
}

// StartClientGroup starts the clients of a fault that disturb a node.
func (f *Fleet) StartClientGroup(fault *Fault, node, address string) (*ClientGroup, error) {
	kind, ok := clientFaults()[fault.Kind]
	if !ok {
		return nil, fmt.Errorf("fault %s starts no clients", fault.Kind)
	}
	return kind.start(f, node, address, int(fault.Magnitude), fault.Requests)
}
