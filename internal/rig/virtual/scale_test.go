package virtual

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// Large fleets: how evenly boxes are loaded, how many connections they hold, and
// how long a virtual minute takes. CI plays the small ones.
func TestScale(t *testing.T) {
	type size struct {
		nodes, boxes, sites int
		length              time.Duration
		churn               float64
	}
	sizes := []size{{10, 10, 1, 4 * time.Second, 0}, {10, 100, 4, 4 * time.Second, 0.05}}
	if longTests() {
		sizes = append(sizes, size{100, 1000, 12, 20 * time.Second, 0}, size{100, 1000, 12, 20 * time.Second, 0.05},
			size{2000, 1000, 12, 10 * time.Second, 0}, size{2000, 10000, 12, 4 * time.Second, 0.05}, size{2000, 10000, 12, 60 * time.Second, 0})
	}
	for _, s := range sizes {
		c := Default()
		c.Nodes, c.Sites, c.Kinds = s.nodes, s.sites, []ServerKind{{Count: s.boxes, Cores: 2, Speed: 1}}
		c.Duration, c.Churn, c.JudgeEvery = s.length, s.churn, max(1, s.boxes/100)
		c.Rate = c.Capacity() * 0.3
		begun := time.Now()
		r := Run(c)
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		t.Logf("| %d | %d | %d | %.0f%% | %.4f | %.2f | %.1f | %v virtual in %.1f s, %.1f million events, %.1f GB |",
			s.nodes, s.boxes, s.sites, 100*s.churn, r.ServedWorth, r.PeakLoadRatio, r.ConnsPerServer, s.length, time.Since(begun).Seconds(),
			float64(r.Events)/1e6, float64(m.HeapSys)/(1<<30))
		if r.ServedWorth < 0.98 || len(r.Breaches) > 0 {
			t.Errorf("%+v: service %.4f, %v", s, r.ServedWorth, firstBreach(r.Breaches))
		}
	}
}

func firstBreach(all []string) string {
	if len(all) == 0 {
		return "no breach"
	}
	return fmt.Sprintf("%d breaches, the first: %s", len(all), all[0])
}

// A site that is lost and comes back cold must not drown the others, nor be
// pushed over itself.
func TestSiteLossAndReturn(t *testing.T) {
	c := Default()
	c.Nodes, c.Sites, c.Kinds = 8, 4, []ServerKind{{Count: 40, Cores: 2, Speed: 1}}
	c.Duration = 20 * time.Second
	c.Rate = c.Capacity() * 0.6
	lost := func(_, site int) bool { return site == 1 }
	c.Steps = []Step{{At: 5 * time.Second, Servers: lost, Down: true}, {At: 12 * time.Second, Servers: lost, Up: true}}
	r := Run(c)
	t.Logf("service %.4f, %d attempts, %+v", r.ServedWorth, r.Attempts, r.Classes)
	if len(r.Breaches) > 0 {
		t.Error(firstBreach(r.Breaches))
	}
	// Three quarters of the boxes are left for four fifths of their capacity in traffic.
	if r.ServedWorth < 0.95 {
		t.Errorf("service %.4f", r.ServedWorth)
	}
}
