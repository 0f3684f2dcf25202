package lab

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// runFaults injects overlapping faults among several real nodes. The judge does not rely on what nodes
// report: a change counts as delivered after its time even if it was never written to the node.
func runFaults(t *testing.T, change func(o *Options), faults ...string) *Report {
	t.Helper()
	return runFaultsAtLineRate(t, 0, change, faults...)
}

// runFaultsAtLineRate is runFaults with a discovery that sends a limited number of lines per second once all
// nodes are ready; 0 for no limit.
func runFaultsAtLineRate(t *testing.T, lines int, change func(o *Options), faults ...string) *Report {
	t.Helper()
	o := defaultOptions()
	o.Nodes, o.Plan.Servers = 4, 8
	for _, text := range faults {
		f, err := standin.ParseFault(text)
		if err != nil {
			t.Fatal(err)
		}
		o.Faults = append(o.Faults, f)
	}
	change(&o)
	l, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.Fleet.Discovery.SetLineRate(lines)
	r, err := l.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	checkReport(t, r)
	return r
}

// servedShare returns the fraction of the requests that were served in time.
func servedShare(r *Report) float64 {
	served, requests := 0, 0
	for _, c := range r.Classes {
		served, requests = served+c.Served, requests+c.Requests
	}
	return float64(served) / float64(max(1, requests))
}

// All long polls of all nodes go silent, and servers drain right after, while discovery takes three quarters
// of a second per call. Every node must have noticed and polled again by the time at which the drains count
// as delivered.
func TestServersDrainAfterPollsGoSilent(t *testing.T) {
	t.Parallel()
	r := runFaultsAtLineRate(t, 4, func(o *Options) { o.Nodes, o.Traffic.Rate, o.Traffic.Duration = 6, 120, 13*time.Second }, "blackhole:at=500ms", "leave:box=1,at=700ms,for=13s", "leave:box=4,at=1s,for=13s")
	if share := servedShare(r); share < 0.9 {
		t.Errorf("%.3f of the requests served, want at least 0.9", share)
	}
}

// Discovery is down, and servers drain as it recovers. Whatever backoff a node has reached by then, it must
// poll in time.
func TestServersDrainAsDiscoveryRecovers(t *testing.T) {
	t.Parallel()
	r := runFaults(t, func(o *Options) { o.Traffic.Rate, o.Traffic.Duration = 100, 12*time.Second },
		"outage:at=500ms,for=4s", "leave:box=1,at=4400ms,for=8s", "leave:box=5,at=4600ms,for=8s")
	if share := servedShare(r); share < 0.9 {
		t.Errorf("%.3f of the requests served, want at least 0.9", share)
	}
}

// Lists are pushed: what a node's local agent has counts as delivered at once, and the agent sends nothing
// while discovery is down. Servers leave without delay, during an outage and while nodes restart. Nodes must
// request the lists on their own.
func TestPushedListsDuringFaults(t *testing.T) {
	t.Parallel()
	r := runFaults(t, func(o *Options) {
		o.Plan.PushedLists, o.Traffic.Rate, o.Traffic.Duration = true, 150, 7*time.Second
	}, "leave:box=1,at=500ms,for=8s", "outage:at=1500ms,for=2s", "leave:box=4,at=2s,for=8s", "kill:node=1,at=2500ms,for=500ms",
		"term:node=2,at=3s,for=2s", "leave:box=5,at=5s,for=8s")
	if share := servedShare(r); share < 0.8 {
		t.Errorf("%.3f of the requests served, want at least 0.8", share)
	}
}

// Nodes are terminated one after another, while clients go on using their open connections until these close.
// No request that a node has accepted may be lost, and each node is soon back.
func TestRollingTermination(t *testing.T) {
	t.Parallel()
	var faults []string
	for n := range 4 {
		faults = append(faults, fmt.Sprintf("term:node=%d,at=%dms,for=3500ms", n, 300+1200*n))
	}
	faults = append(faults, "stuck:box=2,at=400ms,for=2s", "reset:box=3,at=3s,for=2s")
	r := runFaults(t, func(o *Options) { o.Traffic.Rate, o.Traffic.Duration = 200, 8*time.Second }, faults...)
	if share := servedShare(r); share < 0.7 {
		t.Errorf("%.3f of the requests served, want at least 0.7", share)
	}
	for _, n := range r.Nodes {
		if n.Failure != "" {
			t.Errorf("%s: %s", n.Name, n.Failure)
		}
	}
}

// Many clients cancel while servers are slow, hang and reject requests. No attempt may be sent for a request
// whose client has left.
func TestClientsCancelInABurst(t *testing.T) {
	t.Parallel()
	r := runFaults(t, func(o *Options) {
		o.Traffic.Rate, o.Traffic.Duration, o.Traffic.CancelFraction, o.Traffic.Retries = 200, 5*time.Second, 0.7, 0
	}, "slow:site=genf,at=300ms,for=4s,by=60", "slow:site=zuerich,at=300ms,for=4s,by=60", "turnaway:box=3,at=300ms,for=4s", "reset:box=4,at=300ms,for=4s",
		// Requests that wait at these servers fail and are retried, but only if their client is still
		// connected.
		"crash:box=1,at=2s,for=2s", "crash:box=2,at=2500ms,for=2s", "crash:box=5,at=3s,for=2s", "crash:box=6,at=3500ms,for=2s")
	left := 0
	for _, c := range r.Classes {
		left += c.Failed
	}
	if left < 100 {
		t.Errorf("only %d requests failed or were cancelled", left)
	}
}

// One server of a fleet with thirty nodes restarts cold. The sum of the nodes' requests must not make it
// collapse, and it must get some requests.
func TestThirtyNodesShareAColdServer(t *testing.T) {
	t.Parallel()
	r := runFaults(t, func(o *Options) {
		o.Nodes, o.Plan.Servers = 30, 4
		// an even share would make it collapse
		o.Plan.Cores, o.Plan.Speeds, o.Plan.CollapseMultiple = 1, []float64{0.3}, 1
		o.Traffic.Rate, o.Traffic.Duration = 130, 6*time.Second
	}, "crash:box=1,at=1s,for=1s")
	for _, b := range r.Servers {
		if b.Fallen {
			t.Errorf("%+v", b)
		}
	}
	if share := servedShare(r); share < 0.7 {
		t.Errorf("%.3f of the requests served, want at least 0.7", share)
	}
}

// Idle clients hold all of the nodes' client connections, discovery is down, and nodes restart. The nodes
// must be ready within 10 s, and serve.
func TestRestartWithIdleClients(t *testing.T) {
	t.Parallel()
	o := defaultOptions()
	o.Sockets, o.Nodes = 256, 2
	o.IdleConns, o.IdleInterval, o.ToolBinary = 400, 0, toolBinary
	o.Traffic.Rate, o.Traffic.Duration = 100, 7*time.Second
	for _, text := range []string{"outage:at=300ms,for=6s", "kill:node=0,at=700ms,for=500ms", "term:node=1,at=1500ms,for=2500ms"} {
		f, err := standin.ParseFault(text)
		if err != nil {
			t.Fatal(err)
		}
		o.Faults = append(o.Faults, f)
	}
	l, err := Open(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var notReady []string
	l.onStart = func(p *process) {
		start := time.Now()
		if err := p.waitReady(context.Background()); err != nil || time.Since(start) > 10*time.Second {
			notReady = append(notReady, fmt.Sprintf("%s: %v after %v", p.name, err, time.Since(start)))
		}
	}
	r, err := l.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	checkReport(t, r)
	if len(notReady) > 0 {
		t.Errorf("not ready in time: %s", strings.Join(notReady, "; "))
	}
	if share := servedShare(r); share < 0.6 {
		t.Errorf("%.3f of the requests served, want at least 0.6", share)
	}
}
