package lab

import (
	"os"
	"sync"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin"
	"curlewring/internal/rig/standin/judge"
	"curlewring/internal/rig/virtual"
)

// virtualConfig returns the lab's plan as a configuration of the virtual-time simulation.
func virtualConfig(p *standin.Plan, nodes int, t standin.Traffic, advice time.Duration) virtual.Config {
	c := virtual.Config{
		Seed: p.Seed, Nodes: nodes, Sites: len(p.Sites), Rate: t.Rate, Duration: t.Duration, Retries: t.Retries, Backoff: t.Backoff,
		MaxRetryAfter: advice, ListDelay: p.PublishDelay, ColdCapacity: p.ColdCapacity, WarmupTime: p.WarmupTime, SiteLatency: 300 * time.Microsecond,
		CrossSiteLatency: 300 * time.Microsecond,
	}
	for i := range p.Servers {
		c.Kinds = append(c.Kinds, virtual.ServerKind{Count: 1, Cores: p.Cores, Speed: p.Speeds[i%len(p.Speeds)], Slots: p.Slots, Queue: p.Queue})
	}
	effects := map[judge.Idempotency]decide.Idempotency{judge.Idempotent: decide.Idempotent, judge.Keyed: decide.Keyed, judge.AtMostOnce: decide.AtMostOnce}
	for _, x := range p.Classes {
		c.Classes = append(c.Classes, virtual.Class{
			Class: decide.Class{LatencyTarget: x.LatencyTarget, Deadline: x.Deadline, Worth: x.Worth, Idempotency: effects[x.Idempotency], Group: decide.GroupCell, KeyTTL: x.KeyTTL},
			Share: x.Share, Work: x.Work, Spread: x.Spread,
		})
	}
	return c
}

// The virtual-time simulation of a small fleet must give the same results as the lab's real sockets, at half
// load, at the limit and above. Ten seeds; it takes minutes and needs free cores.
func TestVirtualMatchesLab(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("a long measurement: CURLEWRING_LONG=1")
	}
	for _, load := range []float64{0.5, 1, 1.6} {
		const seeds = 10
		var sockets, virtually [seeds]float64
		for from := 0; from < seeds; from += 5 {
			var all sync.WaitGroup
			for seed := from; seed < from+5; seed++ {
				all.Go(func() {
					o := defaultOptions()
					o.Plan.Seed, o.Plan.Servers = uint64(seed+1), 8
					for i := range o.Plan.Classes {
						o.Plan.Classes[i].Work *= 25
					}
					o.Traffic.Duration = 12 * time.Second
					o.Traffic.Rate = load * o.Plan.Capacity()
					sockets[seed] = runLab(t, o).ServedWorth
					virtually[seed] = virtual.Run(virtualConfig(&o.Plan, o.Nodes, o.Traffic, o.MaxRetryAfter)).ServedWorth
				})
			}
			all.Wait()
		}
		a, b, worst := 0.0, 0.0, 0.0
		for i := range seeds {
			a, b = a+sockets[i]/seeds, b+virtually[i]/seeds
			worst = max(worst, sockets[i]-virtually[i], virtually[i]-sockets[i])
		}
		t.Logf("load %.1f: weighted service on sockets %.4f, in virtual time %.4f, largest difference of one seed %.4f", load, a, b, worst)
		if d := a - b; d > 0.03 || d < -0.03 {
			t.Errorf("load %.1f: %.4f on sockets, %.4f in virtual time", load, a, b)
		}
	}
}
