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
func startColdFleet(t *testing.T, nodes int, seed uint64, load float64, separateBudgets bool) *memberLab {
	return startMemberLabWith(t, nodes, seed, func(o *Options) {
		configureColdFleet(&o.Plan)
		o.DisableBudgetPooling = separateBudgets
		o.Traffic.Rate = load * o.Plan.Capacity()
	})
}

// restartServers crashes servers one after another; each comes back cold.
func (lab *memberLab) restartServers(servers []int, each time.Duration) {
	lab.t.Helper()
	var faults []standin.Fault
	for i, server := range servers {
		faults = append(faults, standin.Fault{Kind: "crash", Server: fmt.Sprint(server), At: time.Duration(i) * each, Duration: 300 * time.Millisecond})
	}
	for _, err := range lab.Fleet.RunFaults(context.Background(), faults, lab.Lab) {
		lab.noError(err)
	}
}

// poolStats sums up repeated samples of the nodes' budget pools. grantedSends adds up what each sample reports as
// used within the last window, so one send may count several times.
type poolStats struct{ maxPools, maxLenders, grantedSends atomic.Int64 }

// watchPools samples the pools of all nodes until the context ends.
func (lab *memberLab) watchPools(ctx context.Context, p *poolStats) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		pools := int64(0)
		for _, name := range lab.names {
			r, err := lab.MembershipOf(ctx, name)
			if err != nil {
				continue
			}
			pools += int64(len(r.Pools))
			for _, pool := range r.Pools {
				p.maxLenders.Store(max(p.maxLenders.Load(), int64(pool.Lenders)))
				p.grantedSends.Add(int64(pool.Used))
			}
		}
		p.maxPools.Store(max(p.maxPools.Load(), pools))
	}
}

// Servers restart cold while nodes that allocate their pooled budgets are killed, partitioned and paused. No
// server may get more than its budget, pooled budgets must be granted, and requests must go on.
func TestPooledBudgetsUnderFaults(t *testing.T) {
	t.Parallel()
	lab := startColdFleet(t, 6, 21, 0.5, false)
	lab.minServed = 0.9
	defer lab.finishTraffic()
	lab.waitForView(30*time.Second, lab.names...)
	ctx, stop := context.WithCancel(context.Background())
	var p poolStats
	watched := make(chan struct{})
	go func() { // ends with stop
		defer close(watched)
		lab.watchPools(ctx, &p)
	}()
	lab.restartServers([]int{0, 2, 5, 8}, 800*time.Millisecond)
	lab.noError(lab.Kill("n3")) // allocator of some of the pools
	lab.restartServers([]int{1, 3, 11}, 600*time.Millisecond)
	lab.noError(lab.Start("n3"))
	lab.noError(lab.Pause("n4"))
	lab.restartServers([]int{4, 6}, 600*time.Millisecond)
	lab.noError(lab.Resume("n4"))
	lab.SetLinkConditions(func(from, to int) relay.Conditions { return relay.Conditions{Cut: (from < 2) != (to < 2)} })
	lab.restartServers([]int{2, 7, 9}, 600*time.Millisecond)
	lab.SetLinkConditions(func(int, int) relay.Conditions {
		return relay.Conditions{Loss: 0.3, Duplicate: 0.1, Delay: 60 * time.Millisecond}
	})
	lab.restartServers([]int{5, 10}, 600*time.Millisecond)
	lab.SetLinkConditions(perfectLinks)
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
			for _, separateBudgets := range []bool{true, false} {
				lab := startColdFleet(t, 8, seed+1, load, separateBudgets)
				lab.waitForView(30*time.Second, lab.names...)
				lab.restartServers([]int{0, 1, 2, 3, 5, 6, 8, 9, 11}, 500*time.Millisecond)
				time.Sleep(5 * time.Second) // until they are warm
				lab.stop()
				r := <-lab.report
				lab.Close()
				collapsed := 0
				for _, b := range r.Breaches {
					if b.Rule == 4 {
						collapsed++
					}
				}
				t.Logf("load %.1f seed %d, separate budgets %v: %d of 9 collapsed, %d breaches in all, weighted service %.3f", load, seed+1, separateBudgets, collapsed, len(r.Breaches), r.ServedWorth)
			}
		}
	}
}
