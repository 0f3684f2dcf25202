package lab

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/node/leases"
	"curlewring/internal/rig/standin"
)

// Measures latencies and cost of leases on five real nodes with three voters. Run by hand on a quiet machine.
func TestLeaseMeasurements(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("set CURLEWRING_LONG=1")
	}
	lab := startLeaseLab(t, 5, 3, 71, false)
	lab.waitFor("a leader", 10*time.Second, func() bool { return lab.leader() != "" })
	others := lab.namesExcept(lab.voters...)
	acquire := func(node, name string, ttl time.Duration) (*leases.ClientLease, time.Duration) {
		start := time.Now()
		h, err := leases.Acquire(lab.ctx, lab.StateFolder(node), name, ttl)
		if err != nil {
			t.Fatal(err)
		}
		for e := range h.Events {
			if e.Kind == lease.PhaseChanged && e.Phase == lease.Holding {
				return h, time.Since(start)
			}
		}
		t.Fatal("the lease was not acquired")
		return nil, 0
	}
	release := func(h *leases.ClientLease) time.Duration {
		start := time.Now()
		h.ConfirmStopped()
		for e := range h.Events {
			if e.Kind == lease.PhaseChanged && e.Phase == lease.Over {
				break
			}
		}
		elapsed := time.Since(start)
		h.Close()
		return elapsed
	}
	var acquires, releases []time.Duration
	for i := range 400 {
		h, elapsed := acquire(others[0], fmt.Sprint("x", i), 10*time.Second)
		acquires, releases = append(acquires, elapsed), append(releases, release(h))
	}
	quantile := func(all []time.Duration, q float64) time.Duration {
		slices.Sort(all)
		return all[int(q*float64(len(all)-1))].Round(10 * time.Microsecond)
	}
	t.Logf("from a node that does not vote: acquire p50 %v p99 %v, release p50 %v p99 %v", quantile(acquires, 0.5), quantile(acquires, 0.99), quantile(releases, 0.5), quantile(releases, 0.99))
	disk := func() (syncs, bytes int64) {
		for _, n := range lab.voters {
			if r, err := leases.Call(lab.ctx, lab.StateFolder(n), leases.Request{Do: "standing"}); err == nil {
				syncs, bytes = syncs+r.Syncs, bytes+r.Written
			}
		}
		return syncs, bytes
	}
	// Renewals: n leases of one second, each renewed every third of a second.
	for _, n := range []int{0, 1, 10, 1000} {
		var extended atomic.Int64
		var acquiring sync.WaitGroup
		var held []*leases.ClientLease
		var mu sync.Mutex
		for i := range n {
			acquiring.Go(func() {
				h, _ := acquire(lab.names[i%5], fmt.Sprint("r", i), time.Second)
				mu.Lock()
				held = append(held, h)
				mu.Unlock()
			})
		}
		acquiring.Wait()
		for _, h := range held {
			go func() { // ends with the lease
				for e := range h.Events {
					if e.Kind == lease.Extended {
						extended.Add(1)
					}
				}
			}()
		}
		extended.Store(0)
		syncs, bytes := disk()
		cpu := lab.CPUTime()
		start := time.Now()
		time.Sleep(10 * time.Second) // the measured interval
		length := time.Since(start).Seconds()
		syncsNow, bytesNow := disk()
		t.Logf("%4d leases of 1 s: %6.1f renewals per second; per voter %.1f syncs and %.0f bytes per second; %.2f%% of a core per node",
			n, float64(extended.Load())/length, float64(syncsNow-syncs)/length/3, float64(bytesNow-bytes)/length/3, 100*(lab.CPUTime()-cpu).Seconds()/length/5)
		for _, h := range held {
			h.ConfirmStopped()
		}
		time.Sleep(300 * time.Millisecond)
		for _, h := range held {
			h.Close()
		}
	}
	// Time without a holder.
	for name, targets := range map[string]func() []string{
		"the holder's node": func() []string { return others[:1] },
		"the leader":        func() []string { return []string{lab.leader()} },
		"both":              func() []string { return []string{others[0], lab.leader()} },
	} {
		var gaps []time.Duration
		for range 5 {
			lab.waitFor("all nodes and a leader", 30*time.Second, func() bool { n, _ := lab.currentView(lab.names); return n > 0 && lab.leader() != "" })
			h, _ := acquire(others[0], "gap", leaseTTL)
			next := make(chan time.Time, 1)
			go func() { // ends when the lease is acquired
				w, _ := acquire(others[1], "gap", leaseTTL)
				next <- time.Now()
				w.ConfirmStopped()
				w.Close()
			}()
			time.Sleep(700 * time.Millisecond)
			killed := targets()
			start := time.Now()
			for _, n := range killed {
				lab.noError(lab.Kill(n))
			}
			// the holder's node runs, and releases the lease as soon as it can
			if len(killed) == 1 && killed[0] != others[0] {
				go func() { h.ConfirmStopped() }()
			}
			gaps = append(gaps, (<-next).Sub(start))
			h.Close()
			for _, n := range killed {
				lab.noError(lab.Start(n))
			}
		}
		t.Logf("killed: %s; next holder after %v (median), %v (max of 5); lease time %v", name, quantile(gaps, 0.5), quantile(gaps, 1), leaseTTL)
	}
	lab.cancel()
	lab.contenders.Wait()
	lab.resource.Close()
	lab.minServed = 0
	lab.finishTraffic()
}

// Measures what leases cost requests: rounds with 100 leases being renewed alternate with rounds without
// leases. Run by hand.
func TestLeasesRequestCost(t *testing.T) {
	if os.Getenv("CURLEWRING_LONG") == "" {
		t.Skip("set CURLEWRING_LONG=1")
	}
	sum := map[bool][2]float64{}
	const rounds = 8
	for round := range rounds {
		withLeases := round%2 == 1
		o := defaultOptions()
		o.Nodes, o.Membership, o.Plan.Servers = 5, true, 16
		if withLeases {
			o.ReplaceVoterAfter = time.Minute
		}
		o.Traffic = standin.Traffic{Rate: 1500, Duration: 6 * time.Second, Backoff: 50 * time.Millisecond, BodyBytes: 100}
		l, err := Open(t.Context(), o)
		if err != nil {
			t.Fatal(err)
		}
		lab := &memberLab{Lab: l, t: t}
		for i := range 5 {
			lab.names = append(lab.names, fmt.Sprint("n", i))
		}
		lab.waitForView(30*time.Second, lab.names...)
		var held []*leases.ClientLease
		if withLeases {
			if _, err := leases.Call(t.Context(), l.StateFolder("n0"), leases.Request{Do: "found", Voters: 3}); err != nil {
				t.Fatal(err)
			}
			for i := range 100 {
				h, err := leases.Acquire(t.Context(), l.StateFolder(lab.names[i%5]), fmt.Sprint("l", i), 10*time.Second)
				if err != nil {
					t.Fatal(err)
				}
				held = append(held, h)
				go func() { // ends with Close
					for range h.Events {
					}
				}()
			}
			time.Sleep(2 * time.Second)
		}
		r, err := l.Run(t.Context(), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, h := range held {
			h.Close()
		}
		l.Close()
		meanP99 := 0.0
		for _, c := range r.Classes {
			meanP99 += c.P99 / float64(len(r.Classes))
		}
		totals := sum[withLeases]
		sum[withLeases] = [2]float64{totals[0] + r.CPUMicrosPerRequest/(rounds/2), totals[1] + meanP99/(rounds/2)}
		t.Logf("leases %v: %.0f us of CPU per request, p99 %.2f ms", withLeases, r.CPUMicrosPerRequest, meanP99)
	}
	t.Logf("ratio of on to off: CPU per request %.3f, p99 %.3f", sum[true][0]/sum[false][0], sum[true][1]/sum[false][1])
}
