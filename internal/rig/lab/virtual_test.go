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
func virtualConfig(plan *standin.Plan, nodes int, traffic standin.Traffic, maxRetryAfter time.Duration) virtual.Config {
	config := virtual.Config{
		Seed: plan.Seed, Nodes: nodes, Sites: len(plan.Sites), Rate: traffic.Rate, Duration: traffic.Duration, Retries: traffic.Retries, Backoff: traffic.Backoff,
		MaxRetryAfter: maxRetryAfter, ListDelay: plan.PublishDelay, ColdCapacity: plan.ColdCapacity, WarmupTime: plan.WarmupTime, SiteLatency: 300 * time.Microsecond,
		CrossSiteLatency: 300 * time.Microsecond,
	}
	for i := range plan.Servers {
		config.Kinds = append(config.Kinds, virtual.ServerKind{Count: 1, Cores: plan.Cores, Speed: plan.Speeds[i%len(plan.Speeds)], Slots: plan.Slots, Queue: plan.Queue})
	}
	effects := map[judge.Idempotency]decide.Idempotency{judge.Idempotent: decide.Idempotent, judge.Keyed: decide.Keyed, judge.AtMostOnce: decide.AtMostOnce}
	for _, class := range plan.Classes {
		config.Classes = append(config.Classes, virtual.Class{
			Class: decide.Class{LatencyTarget: class.LatencyTarget, Deadline: class.Deadline, Worth: class.Worth, Idempotency: effects[class.Idempotency], Group: decide.GroupCell, KeyTTL: class.KeyTTL},
			Share: class.Share, Work: class.Work, Spread: class.Spread,
		})
	}
	return config
}

// The virtual-time simulation of a small fleet must give the same results as the lab's real sockets, at half
// load, at the limit and above. Ten seeds; it takes minutes and needs free cores.
func TestVirtualMatchesLab(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("a long measurement: CURLEWRING_LONG=1")
	}
	for _, load := range []float64{0.5, 1, 1.6} {
		const seeds = 10
		var sockets, simulated [seeds]float64
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
					simulated[seed] = virtual.Run(virtualConfig(&o.Plan, o.Nodes, o.Traffic, o.MaxRetryAfter)).ServedWorth
				})
			}
			all.Wait()
		}
		meanOnSockets, meanVirtual, maxDifference := 0.0, 0.0, 0.0
		for i := range seeds {
			meanOnSockets, meanVirtual = meanOnSockets+sockets[i]/seeds, meanVirtual+simulated[i]/seeds
			maxDifference = max(maxDifference, sockets[i]-simulated[i], simulated[i]-sockets[i])
		}
		t.Logf("load %.1f: weighted service on sockets %.4f, in virtual time %.4f, largest difference of one seed %.4f", load, meanOnSockets, meanVirtual, maxDifference)
		if d := meanOnSockets - meanVirtual; d > 0.03 || d < -0.03 {
			t.Errorf("load %.1f: %.4f on sockets, %.4f in virtual time", load, meanOnSockets, meanVirtual)
		}
	}
}
