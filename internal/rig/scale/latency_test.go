package scale

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// Calls through nodes and calls directly to servers must not be taken for each other. What a real node adds is less
// than the noise of a busy machine, so a forwarder stands in for the node here and holds each request for longer than
// any such noise.
func TestLatencyOfNodesIsToldFromThatOfServers(t *testing.T) {
	const delay = 100 * time.Millisecond
	fleet, err := standin.Start(latencyPlan(2))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	forwarder := startForwarder(t, fleet.Servers[0].Address, delay)
	defer forwarder.close()
	node := standin.NewClient("n0", forwarder.address(), &fleet.Plan, fleet.Clock, fleet.Judge)
	defer node.Close()
	settings := LatencySettings{Rounds: 3, RoundTime: minPhaseTime, Rate: 200}
	cost, err := measureLatency(t.Context(), fleet, []*standin.Client{node}, settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", cost)
	if cost.DirectMedian < latencyWork || cost.DirectMedian >= delay {
		t.Errorf("direct calls took %v, want from %v to %v", cost.DirectMedian, latencyWork, delay)
	}
	if cost.ProxiedMedian < delay+latencyWork {
		t.Errorf("calls through the forwarder took %v, want at least %v", cost.ProxiedMedian, delay+latencyWork)
	}
	for i := range settings.Rounds {
		if cost.Proxied[i] < delay+latencyWork {
			t.Errorf("round %d: p99 through the forwarder is %v, want at least %v", i, cost.Proxied[i], delay+latencyWork)
		}
	}
	if median, lowest, highest := cost.Added(); lowest > median || median > highest {
		t.Errorf("added latency: median %v, lowest %v, highest %v", median, lowest, highest)
	}
}

// The load of a fleet must be measured through each of its real nodes: a client that has opened no connection has sent
// nothing to its node.
func TestLoadIsMeasuredThroughEachRealNode(t *testing.T) {
	settings := FleetSettings{RealNodes: 3, Zones: 1, LoadTime: time.Second, Rate: 50, Servers: 6}
	run := fleetRun{settings: settings, simulated: &simulatedNodes{}}
	defer run.close()
	if err := run.start(t.Context(), func(string) {}); err != nil {
		t.Fatal(err)
	}
	var report FleetReport
	if err := run.measureLoad(t.Context(), &report); err != nil {
		t.Fatal(err)
	}
	clients := run.lab.Clients()
	if len(clients) != settings.RealNodes {
		t.Fatalf("%d clients, want %d", len(clients), settings.RealNodes)
	}
	for _, client := range clients {
		if client.ConnsOpened() == 0 {
			t.Errorf("no call went to node %s", client.Node)
		}
	}
}

// forwarder forwards connections to a server and delays what clients send.
type forwarder struct {
	listener net.Listener
	target   string
	delay    time.Duration
	cancel   context.CancelFunc
	workers  sync.WaitGroup
}

func startForwarder(t *testing.T, target string, delay time.Duration) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	f := &forwarder{listener: listener, target: target, delay: delay, cancel: cancel}
	f.workers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.workers.Go(func() { f.forward(ctx, conn) })
		}
	})
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) close() {
	f.listener.Close()
	f.cancel()
	f.workers.Wait()
}

// forward forwards a connection until either side closes it or the context ends.
func (f *forwarder) forward(ctx context.Context, client net.Conn) {
	defer client.Close()
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		return
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() { client.Close(); server.Close() })
	defer stop()
	var answers sync.WaitGroup
	answers.Go(func() { io.Copy(client, server) })
	buffer := make([]byte, 4096)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			break
		}
		if sleep(ctx, f.delay) != nil {
			break
		}
		if _, err := server.Write(buffer[:n]); err != nil {
			break
		}
	}
	server.Close()
	answers.Wait()
}
