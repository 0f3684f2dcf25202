package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"curlewring/internal/rig/lab"
	"curlewring/internal/rig/standin"
)

// LatencyCost is what one node adds to a call, on sockets of this machine.
type LatencyCost struct {
	Direct, Proxied []time.Duration // p99 of each round, in turns
	DirectMedian    time.Duration
	ProxiedMedian   time.Duration
}

// Added is the median over the rounds of what the node adds at p99, with the least and the most.
func (c *LatencyCost) Added() (median, least, most time.Duration) {
	added := make([]time.Duration, len(c.Proxied))
	for i := range c.Proxied {
		added[i] = c.Proxied[i] - c.Direct[i]
	}
	slices.Sort(added)
	return added[len(added)/2], added[0], added[len(added)-1]
}

// LatencySettings are those of a measurement of added latency.
type LatencySettings struct {
	Rounds    int
	RoundTime time.Duration // of each half of a round
	Rate      float64       // calls a second at each node
	Nodes     int
	Control   bool // membership, leases and lists that are handed on are switched on
}

// work of a call in these measurements, small and always the same.
const latencyWork = 2 * time.Millisecond

// MeasureLatency sends calls through real nodes and straight to the servers, in turns, on one fleet of stand-ins.
func MeasureLatency(ctx context.Context, set LatencySettings) (LatencyCost, error) {
	plan := standin.DefaultPlan()
	plan.Servers, plan.Speeds = 8*set.Nodes, []float64{1} // whoever is asked takes as long
	for i := range plan.Classes {
		plan.Classes[i].Work, plan.Classes[i].Spread = latencyWork, 0
	}
	options := lab.Options{Plan: plan, Nodes: set.Nodes}
	if set.Control {
		options.Membership, options.ReplaceVoterAfter, options.ListFromPeers = true, 10*time.Second, true
	}
	l, err := lab.Open(ctx, options)
	if err != nil {
		return LatencyCost{}, err
	}
	defer l.Close()
	return latencyIn(ctx, l, set)
}

// latencyIn measures in a lab that runs.
func latencyIn(ctx context.Context, l *lab.Lab, set LatencySettings) (LatencyCost, error) {
	var direct []*standin.Client
	for _, server := range l.Fleet.Servers {
		client := standin.NewClient("direct", server.Address, &l.Fleet.Plan, l.Fleet.Clock, l.Fleet.Judge)
		defer client.Close()
		direct = append(direct, client)
	}
	traffic := standin.Traffic{Rate: set.Rate * float64(set.Nodes), Duration: set.RoundTime}
	var cost LatencyCost
	var directMedians, throughMedians []time.Duration
	for range set.Rounds {
		median, high, err := callersLatency(ctx, standin.NewLoadGenerator(&l.Fleet.Plan, direct), traffic)
		if err != nil {
			return cost, fmt.Errorf("calls to servers: %w", err)
		}
		cost.Direct, directMedians = append(cost.Direct, high), append(directMedians, median)
		median, high, err = callersLatency(ctx, standin.NewLoadGenerator(&l.Fleet.Plan, l.Clients()), traffic)
		if err != nil {
			return cost, fmt.Errorf("calls through nodes: %w", err)
		}
		cost.Proxied, throughMedians = append(cost.Proxied, high), append(throughMedians, median)
	}
	slices.Sort(directMedians)
	slices.Sort(throughMedians)
	cost.DirectMedian, cost.ProxiedMedian = directMedians[set.Rounds/2], throughMedians[set.Rounds/2]
	return cost, nil
}

// safeClass is the class whose latency counts: the most frequent.
const safeClass = "zustand"

// callersLatency sends traffic, and returns the latency of what was served.
func callersLatency(ctx context.Context, callers *standin.LoadGenerator, traffic standin.Traffic) (median, high time.Duration, err error) {
	callers.Run(ctx, traffic)
	for _, class := range callers.Report() {
		if class.Name == safeClass {
			if class.Served*100 < class.Requests*99 || class.Served == 0 {
				return 0, 0, fmt.Errorf("%d of %d were served", class.Served, class.Requests)
			}
			return class.P50, class.P99, nil
		}
	}
	return 0, 0, fmt.Errorf("no class %q in the plan", safeClass)
}
