package lab

import (
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// runConcurrentClients runs clients that each send one request after another, to eight servers of 16 cores
// with the given service time.
func runConcurrentClients(t *testing.T, clients int, serviceTime time.Duration) *Report {
	t.Helper()
	o := defaultOptions()
	o.Nodes, o.Plan.Servers, o.Plan.Cores, o.Plan.Speeds = 1, 8, 16, []float64{1}
	o.Plan.Slots, o.Plan.Queue, o.Plan.MaxConns, o.Sockets = 64, 64, 1000, 4096
	for i := range o.Plan.Classes {
		o.Plan.Classes[i].Work, o.Plan.Classes[i].Spread = serviceTime, 0
	}
	o.Traffic = standin.Traffic{Concurrency: clients, Duration: 3 * time.Second, Backoff: 50 * time.Millisecond}
	return runLab(t, o)
}

// With responses in 2 ms and latency targets of 1 to 2 s, 128 concurrent requests are no overload, and none
// may be rejected. An assumed limit of five requests per server rejected most of them.
func TestFastResponsesNotRejected(t *testing.T) {
	for _, c := range runConcurrentClients(t, 128, 2*time.Millisecond).Classes {
		if c.Refused > 0 || c.Failed > 0 {
			t.Errorf("%+v", c)
		}
	}
}

// The same servers with a service time of 300 ms must still be protected against far more clients than they
// can serve in time: some requests are rejected, and those that are admitted are served in time.
func TestSlowResponsesShedLoad(t *testing.T) {
	refused, late, served := 0, 0, 0
	for _, c := range runConcurrentClients(t, 700, 300*time.Millisecond).Classes {
		refused, late, served = refused+c.Refused, late+c.Late, served+c.Served
	}
	if refused == 0 || served == 0 || late*10 > served {
		t.Errorf("%d served in time, %d late, %d refused", served, late, refused)
	}
}
