package lab

import (
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// Guards against requests that are answered late or never, and against memory that grows without end, while other
// clients send small or unsound requests at full speed.
func TestRequestsAreAnsweredBesideFloodingClients(t *testing.T) {
	for _, what := range standin.FloodNames() {
		t.Run(what, func(t *testing.T) { checkServiceBeside(t, 256, "flood:node=0,at=1s,for=4s,by=6,with="+what) })
	}
}

// Guards against memory that grows beyond the limit, and requests that are answered late, while hundreds of clients
// write slowly, stop in the middle of a request, or send heads of very many short fields.
func TestMemoryIsKeptBesideHundredsOfStallingClients(t *testing.T) {
	for _, what := range standin.StallNames() {
		t.Run(what, func(t *testing.T) { checkServiceBeside(t, 1024, "stall:node=0,at=1s,for=4s,by=300,with="+what) })
	}
}

// checkServiceBeside checks that two nodes with little memory and some descriptors serve others in time beside the
// clients of a fault.
func checkServiceBeside(t *testing.T, sockets int, fault string) {
	t.Helper()
	const memoryMB = 32
	r := runFaults(t, func(o *Options) {
		o.Nodes, o.MemoryMB, o.Sockets, o.Traffic.Rate, o.Traffic.Duration = 2, memoryMB, sockets, 200, 6*time.Second
		for i := range o.Plan.Classes {
			o.Plan.Classes[i].Deadline = 500 * time.Millisecond
		}
	}, fault)
	if share := servedShare(r); share < 0.95 {
		t.Errorf("%.3f of the requests served, want at least 0.95: %+v", share, r.Classes)
	}
	checkMemory(t, r, memoryMB)
}

// checkMemory checks that no node took more memory than its limit.
func checkMemory(t *testing.T, r *Report, limitMB float64) {
	t.Helper()
	for _, n := range r.Nodes {
		if n.PeakMB > limitMB {
			t.Errorf("%s took %.1f MB, its limit is %.0f", n.Name, n.PeakMB, limitMB)
		}
	}
}
