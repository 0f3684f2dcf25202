package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"curlewring/internal/rig/standin"
)

// LatencyCost is the latency of calls with and without one node on their path, on sockets of this machine.
type LatencyCost struct {
	Direct, Proxied []time.Duration // p99 of each round; the rounds alternate
	DirectMedian    time.Duration
	ProxiedMedian   time.Duration
}

// Added returns what the node adds at p99: the median, minimum and maximum of the rounds.
func (c *LatencyCost) Added() (median, lowest, highest time.Duration) {
	added := make([]time.Duration, len(c.Proxied))
	for i := range c.Proxied {
		added[i] = c.Proxied[i] - c.Direct[i]
	}
	slices.Sort(added)
	return added[len(added)/2], added[0], added[len(added)-1]
}

// LatencySettings describes a measurement of added latency.
type LatencySettings struct {
	Rounds    int
	RoundTime time.Duration // of each half of a round, direct and through the nodes
	Rate      float64       // calls per second at each node
}

// latencyWork is the processing time of a call in these measurements: short and without variance.
const latencyWork = 2 * time.Millisecond

// latencyPlan returns a plan of equally fast servers whose calls all take latencyWork.
func latencyPlan(servers int) standin.Plan {
	plan := standin.DefaultPlan()
	plan.Servers, plan.Speeds = servers, []float64{1}
	for i := range plan.Classes {
		plan.Classes[i].Work, plan.Classes[i].Spread = latencyWork, 0
	}
	return plan
}

// measureLatency sends calls directly to the servers of a fleet and through nodes in front of them, alternately.
func measureLatency(ctx context.Context, fleet *standin.Fleet, nodes []*standin.Client, settings LatencySettings) (LatencyCost, error) {
	var direct []*standin.Client
	for _, server := range fleet.Servers {
		client := standin.NewClient("direct", server.Address, &fleet.Plan, fleet.Clock, fleet.Judge)
		defer client.Close()
		direct = append(direct, client)
	}
	traffic := standin.Traffic{Rate: settings.Rate * float64(len(nodes)), Duration: settings.RoundTime}
	var cost LatencyCost
	var directMedians, proxiedMedians []time.Duration
	for range settings.Rounds {
		median, p99, err := measureTraffic(ctx, standin.NewLoadGenerator(&fleet.Plan, direct), traffic)
		if err != nil {
			return cost, fmt.Errorf("calls directly to servers: %w", err)
		}
		cost.Direct, directMedians = append(cost.Direct, p99), append(directMedians, median)
		median, p99, err = measureTraffic(ctx, standin.NewLoadGenerator(&fleet.Plan, nodes), traffic)
		if err != nil {
			return cost, fmt.Errorf("calls through nodes: %w", err)
		}
		cost.Proxied, proxiedMedians = append(cost.Proxied, p99), append(proxiedMedians, median)
	}
	slices.Sort(directMedians)
	slices.Sort(proxiedMedians)
	cost.DirectMedian, cost.ProxiedMedian = directMedians[settings.Rounds/2], proxiedMedians[settings.Rounds/2]
	return cost, nil
}

// measuredClass is the class whose latency is measured: the most frequent one.
const measuredClass = "zustand"

// measureTraffic sends traffic and returns the median and p99 latency of the served requests of measuredClass. It is
// an error if less than 99% of them were served.
func measureTraffic(ctx context.Context, generator *standin.LoadGenerator, traffic standin.Traffic) (median, p99 time.Duration, err error) {
	generator.Run(ctx, traffic)
	for _, class := range generator.Report() {
		if class.Name == measuredClass {
			if class.Served*100 < class.Requests*99 || class.Served == 0 {
				return 0, 0, fmt.Errorf("only %d of %d requests were served; %d late, %d refused, %d failed, %d tries, slowest %v",
					class.Served, class.Requests, class.Late, class.Refused, class.Failed, class.Tries, class.Max)
			}
			return class.P50, class.P99, nil
		}
	}
	return 0, 0, fmt.Errorf("class %q is not in the plan", measuredClass)
}
