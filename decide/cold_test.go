package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// simulateBurst runs several nodes with one server that all of them have kept busy. The server restarts, no
// requests come during a lull, and then each node gets some at once. It returns the largest number of sends
// in a window, and the bound on it, for the window that comes closest to its bound.
func simulateBurst(nodes int, requestRate float64, lull time.Duration, each int, seed uint64) (
	worst, bound float64) {
	cfg := Settings{
		Nodes: nodes, MaxAttempts: 4, ColdCapacity: 0.3, WarmupTime: 8400 * ms, CollapseMultiple: 2.5,
		CollapseWindow: time.Second, AnswerGrace: 10 * ms,
		Tier: 1, Tiers: 2, // below the front tier nothing is refused
		Classes: []Class{{LatencyTarget: 3 * time.Second, Deadline: 3 * time.Second, Worth: 1}},
	}
	const warm, start = 30 * time.Second, 60 * time.Second
	all := make([]*Balancer, nodes)
	for i := range all {
		cfg.Node = i
		all[i] = New(cfg, seed*1000+uint64(i), 0)
		all[i].HandleList(0, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}}}, nil)
		every := time.Duration(float64(nodes) / requestRate * float64(time.Second))
		id := uint64(0)
		for now := warm + every*time.Duration(i)/time.Duration(nodes); now < start; now += every {
			id++
			all[i].HandleRequest(now, Request{ID: id, Tenant: -1, TTL: 3 * time.Second}, nil)
			all[i].HandleOutcome(now+20*ms, Outcome{Request: id, Server: "a", Result: Served,
				Elapsed: 20 * ms, Final: true}, nil)
		}
		all[i].HandleList(start, ListUpdate{Kind: ListDiff, Servers: []Server{{ID: "a", Started: start}}},
			nil)
	}
	type due struct {
		node int
		id   uint64
	}
	var sent []time.Duration
	timers := map[time.Duration][]due{}
	apply := func(now time.Duration, node int, id uint64, out []Action) {
		for _, a := range out {
			switch a.Kind {
			case Send:
				sent = append(sent, now)
				all[node].HandleOutcome(now, Outcome{Request: id, Server: "a", Result: Served,
					Elapsed: 20 * ms, Final: true}, nil)
			case StartTimer:
				at := now + max(a.Wait, ms)
				timers[at] = append(timers[at], due{node, id})
			}
		}
	}
	begin := start + lull
	for i := range all {
		for k := range each {
			id := uint64(1_000_000 + k)
			apply(begin, i, id, all[i].HandleRequest(begin, Request{ID: id, Tenant: -1, TTL: 2 * time.Second},
				nil))
		}
	}
	for now := begin; now < begin+2*time.Second; now += ms {
		for _, d := range timers[now] {
			apply(now, d.node, d.id, all[d.node].HandleTimer(now, Timer{d.id}, nil))
		}
	}
	for i, at := range sent {
		n := 0
		for _, x := range sent[i:] {
			if x < at+cfg.CollapseWindow && x < start+cfg.WarmupTime { // a warm server does not collapse
				n++
			}
		}
		capacity := cfg.ColdCapacity + (1-cfg.ColdCapacity)*min(1, float64(at-start)/float64(cfg.WarmupTime))
		if calls := cfg.CollapseMultiple * capacity * requestRate; capacity < 1 &&
			float64(n)/(calls+2*math.Sqrt(calls)+2) > worst/max(bound, 1e-9) {
			worst, bound = float64(n), calls+2*math.Sqrt(calls)+2
		}
	}
	return worst, bound
}

// Many nodes use one cold server, and there is a lull. Each node derives its budget from its rate of
// responses, which must decay with time. Without decay the rate is far too high at nodes with few requests,
// and all of them earn a send during the lull, which they use at once when requests come again.
func TestLullEarnsNoColdBudget(t *testing.T) {
	for _, c := range []struct {
		nodes       int
		requestRate float64
		lull        time.Duration
	}{{20, 3, 7 * time.Second}, {30, 5, 7 * time.Second}, {30, 5, 5 * time.Second},
		{60, 10, 7 * time.Second}, {300, 40, 7 * time.Second}} {
		t.Run(fmt.Sprintf("%d nodes, %v a second, %v", c.nodes, c.requestRate, c.lull), func(t *testing.T) {
			over, worstRatio := 0, 0.0
			for seed := range uint64(10) {
				worst, bound := simulateBurst(c.nodes, c.requestRate, c.lull, 3, seed)
				worstRatio = max(worstRatio, worst/bound)
				if worst > bound {
					over++
				}
			}
			t.Logf("worst window %.2f of the bound; above it in %d of 10 runs", worstRatio, over)
			if over > 0 {
				t.Errorf(
					"in %d of 10 runs the server is sent more than chance explains, up to %.2f of the bound",
					over, worstRatio)
			}
			if worstRatio < 0.1 {
				t.Error("hardly anything is sent")
			}
		})
	}
}
