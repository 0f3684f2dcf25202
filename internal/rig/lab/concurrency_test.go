package lab

import (
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// atOnce plays so many callers, one request after another, against eight boxes of
// 16 cores whose answers take so long.
func runConcurrentClients(t *testing.T, callers int, took time.Duration) *Report {
	t.Helper()
	o := defaultOptions()
	o.Nodes, o.Plan.Servers, o.Plan.Cores, o.Plan.Speeds = 1, 8, 16, []float64{1}
	o.Plan.Slots, o.Plan.Queue, o.Plan.MaxConns, o.Sockets = 64, 64, 1000, 4096
	for i := range o.Plan.Classes {
		o.Plan.Classes[i].Work, o.Plan.Classes[i].Spread = took, 0
	}
	o.Traffic = standin.Traffic{Concurrency: callers, Duration: 3 * time.Second, Backoff: 50 * time.Millisecond}
	return runLab(t, o)
}

// Answers in 2 ms with aims of 1 to 2 s: 128 calls at once are no crowd, and
// none may be refused. With a presumed room of five calls a box, most were.
func TestFastResponsesNotRejected(t *testing.T) {
	for _, c := range runConcurrentClients(t, 128, 2*time.Millisecond).Classes {
		if c.Refused > 0 || c.Failed > 0 {
			t.Errorf("%+v", c)
		}
	}
}

// The same boxes with 300 ms a call must still be protected: far more callers
// than they can serve in time, and what is let in is served in time.
func TestSlowResponsesShedLoad(t *testing.T) {
	refused, late, served := 0, 0, 0
	for _, c := range runConcurrentClients(t, 700, 300*time.Millisecond).Classes {
		refused, late, served = refused+c.Refused, late+c.Late, served+c.Served
	}
	if refused == 0 || served == 0 || late*10 > served {
		t.Errorf("%d served in time, %d late, %d refused", served, late, refused)
	}
}
