package lab

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/internal/rig/relay"
	"curlewring/internal/rig/standin"
)

// configureColdFleet sets up servers whose whole cold budget is a few requests. One in three has a third of
// the others' speed.
func configureColdFleet(p *standin.Plan) {
	p.Servers, p.Cores, p.RackSize, p.Speeds = 12, 1, 3, []float64{1.2, 1.2, 0.4}
	for i := range p.Classes {
		p.Classes[i].Work, p.Classes[i].Spread = 40*time.Millisecond, 0
	}
	p.ColdCapacity, p.WarmupTime = 0.4, 6*time.Second
}

// startColdFleet starts nodes for such a fleet, with traffic at the given fraction of its capacity.
func startColdFleet(t *testing.T, nodes int, seed uint64, load float64, alone bool) *memberLab {
	return startMemberLabWith(t, nodes, seed, func(o *Options) {
		configureColdFleet(&o.Plan)
		o.NoPooling = alone
		o.Traffic.Rate = load * o.Plan.Capacity()
	})
}

// restartServers crashes servers one after another; each comes back cold.
func (x *memberLab) restartServers(boxes []int, each time.Duration) {
	x.t.Helper()
	var faults []standin.Fault
	for i, b := range boxes {
		faults = append(faults, standin.Fault{Kind: "crash", Server: fmt.Sprint(b), At: time.Duration(i) * each, Duration: 300 * time.Millisecond})
	}
	for _, err := range x.Fleet.RunFaults(context.Background(), faults, x.Lab) {
		x.noError(err)
	}
}

// poolStats holds maxima of the nodes' budget pools, from repeated samples.
type poolStats struct{ maxPools, maxLenders, grantedSends atomic.Int64 }

func (x *memberLab) watchPools(ctx context.Context, p *poolStats) {
	look := time.NewTicker(100 * time.Millisecond)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
		n := int64(0)
		for _, name := range x.names {
			r, err := x.MembershipOf(ctx, name)
			if err != nil {
				continue
			}
			n += int64(len(r.Pools))
			for _, one := range r.Pools {
				p.maxLenders.Store(max(p.maxLenders.Load(), int64(one.Lenders)))
				p.grantedSends.Add(int64(one.Used))
			}
		}
		p.maxPools.Store(max(p.maxPools.Load(), n))
	}
}

// Servers restart cold while nodes that coordinate their budgets are killed, partitioned and paused. No
// server may get more than its budget, pooled budgets must be granted, and requests must go on.
func TestPooledBudgetsUnderFaults(t *testing.T) {
	t.Parallel()
	x := startColdFleet(t, 6, 21, 0.5, false)
	x.minServed = 0.9
	defer x.finishTraffic()
	x.waitForView(30*time.Second, x.names...)
	ctx, stop := context.WithCancel(context.Background())
	var p poolStats
	watched := make(chan struct{})
	go func() { // ends with stop
		defer close(watched)
		x.watchPools(ctx, &p)
	}()
	x.restartServers([]int{0, 2, 5, 8}, 800*time.Millisecond)
	x.noError(x.Kill("n3")) // coordinates some of the pools
	x.restartServers([]int{1, 3, 11}, 600*time.Millisecond)
	x.noError(x.Start("n3"))
	x.noError(x.Pause("n4"))
	x.restartServers([]int{4, 6}, 600*time.Millisecond)
	x.noError(x.Resume("n4"))
	x.SetLinkConditions(func(from, to int) relay.Conditions { return relay.Conditions{Cut: (from < 2) != (to < 2)} })
	x.restartServers([]int{2, 7, 9}, 600*time.Millisecond)
	x.SetLinkConditions(func(int, int) relay.Conditions {
		return relay.Conditions{Loss: 0.3, Duplicate: 0.1, Delay: 60 * time.Millisecond}
	})
	x.restartServers([]int{5, 10}, 600*time.Millisecond)
	x.SetLinkConditions(perfectLinks)
	stop()
	<-watched
	t.Logf("at most %d pools at once, of up to %d nodes each; %d granted sends observed", p.maxPools.Load(), p.maxLenders.Load(), p.grantedSends.Load())
	if p.maxPools.Load() < 2 || p.maxLenders.Load() < 3 || p.grantedSends.Load() < 10 {
		t.Error("too few pooled budgets for the test to be meaningful")
	}
}

// Compares collapsed servers and served requests with and without pooled budgets. Run by hand.
func TestPooledAgainstSeparateBudgets(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("set CURLEWRING_LONG=1")
	}
	for _, load := range []float64{0.6, 0.8} {
		for seed := range uint64(3) {
			for _, alone := range []bool{true, false} {
				x := startColdFleet(t, 8, seed+1, load, alone)
				x.waitForView(30*time.Second, x.names...)
				x.restartServers([]int{0, 1, 2, 3, 5, 6, 8, 9, 11}, 500*time.Millisecond)
				time.Sleep(5 * time.Second) // until they are warm
				x.stop()
				r := <-x.report
				x.Close()
				fell := 0
				for _, b := range r.Breaches {
					if b.Rule == 4 {
						fell++
					}
				}
				t.Logf("load %.1f seed %d, separate budgets %v: %d of 9 collapsed, %d breaches in all, weighted service %.3f", load, seed+1, alone, fell, len(r.Breaches), r.ServedWorth)
			}
		}
	}
}
