package virtual

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Large fleets must serve nearly all requests and keep the rules. The log shows how evenly servers are loaded,
// how many connections they hold, and how long a virtual minute takes. CI runs the small fleets.
func TestScale(t *testing.T) {
	type size struct {
		nodes, servers, sites int
		duration              time.Duration
		churn                 float64
	}
	sizes := []size{{10, 10, 1, 4 * time.Second, 0}, {10, 100, 4, 4 * time.Second, 0.05}}
	if longTests() {
		sizes = append(sizes, size{100, 1000, 12, 20 * time.Second, 0}, size{100, 1000, 12, 20 * time.Second, 0.05},
			size{2000, 1000, 12, 10 * time.Second, 0}, size{2000, 10000, 12, 4 * time.Second, 0.05}, size{2000, 10000, 12, 60 * time.Second, 0})
	}
	for _, fleet := range sizes {
		c := Default()
		c.Nodes, c.Sites, c.Kinds = fleet.nodes, fleet.sites, []ServerKind{{Count: fleet.servers, Cores: 2, Speed: 1}}
		c.Duration, c.Churn, c.JudgeEvery = fleet.duration, fleet.churn, max(1, fleet.servers/100)
		c.Rate = c.Capacity() * 0.3
		startedAt := time.Now()
		r := Run(c)
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		t.Logf("| %d | %d | %d | %.0f%% | %.4f | %.2f | %.1f | %v virtual in %.1f s, %.1f million events, %.1f GB |",
			fleet.nodes, fleet.servers, fleet.sites, 100*fleet.churn, r.ServedWorth, r.PeakLoadRatio, r.ConnsPerServer, fleet.duration, time.Since(startedAt).Seconds(),
			float64(r.Events)/1e6, float64(memory.HeapSys)/(1<<30))
		if r.ServedWorth < 0.98 || len(r.Breaches) > 0 {
			t.Errorf("%+v: served worth %.4f, %v", fleet, r.ServedWorth, firstBreach(r.Breaches))
		}
	}
}

// firstBreach describes breaches by their number and the first one.
func firstBreach(breaches []string) string {
	if len(breaches) == 0 {
		return "no breach"
	}
	return fmt.Sprintf("%d breaches, the first: %s", len(breaches), breaches[0])
}

// A site that fails and returns cold must not overload the others, nor be overloaded itself.
func TestSiteLossAndReturn(t *testing.T) {
	c := Default()
	c.Nodes, c.Sites, c.Kinds = 8, 4, []ServerKind{{Count: 40, Cores: 2, Speed: 1}}
	c.Duration = 20 * time.Second
	c.Rate = c.Capacity() * 0.6
	lost := func(_, site int) bool { return site == 1 }
	c.Steps = []Step{{At: 5 * time.Second, Servers: lost, Down: true}, {At: 12 * time.Second, Servers: lost, Up: true}}
	r := Run(c)
	t.Logf("served worth %.4f, %d attempts, %+v", r.ServedWorth, r.Attempts, r.Classes)
	if len(r.Breaches) > 0 {
		t.Error(firstBreach(r.Breaches))
	}
	// Three quarters of the servers are left, and the traffic is four fifths of their capacity.
	if r.ServedWorth < 0.95 {
		t.Errorf("served worth %.4f, want at least 0.95", r.ServedWorth)
	}
}
