package scale

import (
	"context"
	"fmt"
	"slices"
	"time"

	"curlewring/internal/rig/lab"
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
	Nodes     int
	Control   bool // enables membership, leases and server lists from peers
}

// latencyWork is the processing time of a call in these measurements: short and without variance.
const latencyWork = 2 * time.Millisecond

// MeasureLatency sends calls through real nodes and directly to the servers, alternately, with the same stand-in
// servers.
func MeasureLatency(ctx context.Context, settings LatencySettings) (LatencyCost, error) {
	plan := standin.DefaultPlan()
	plan.Servers, plan.Speeds = 8*settings.Nodes, []float64{1} // all servers are equally fast
	for i := range plan.Classes {
		plan.Classes[i].Work, plan.Classes[i].Spread = latencyWork, 0
	}
	options := lab.Options{Plan: plan, Nodes: settings.Nodes}
	if settings.Control {
		options.Membership, options.ReplaceVoterAfter, options.ShareLists = true, 10*time.Second, true
	}
	l, err := lab.Open(ctx, options)
	if err != nil {
		return LatencyCost{}, err
	}
	defer l.Close()
	return measureLatencyInLab(ctx, l, settings)
}

// measureLatencyInLab measures in a lab that is already running.
func measureLatencyInLab(ctx context.Context, l *lab.Lab, settings LatencySettings) (LatencyCost, error) {
	var direct []*standin.Client
	for _, server := range l.Fleet.Servers {
		client := standin.NewClient("direct", server.Address, &l.Fleet.Plan, l.Fleet.Clock, l.Fleet.Judge)
		defer client.Close()
		direct = append(direct, client)
	}
	traffic := standin.Traffic{Rate: settings.Rate * float64(settings.Nodes), Duration: settings.RoundTime}
	var cost LatencyCost
	var directMedians, proxiedMedians []time.Duration
	for range settings.Rounds {
		median, p99, err := measureTraffic(ctx, standin.NewLoadGenerator(&l.Fleet.Plan, direct), traffic)
		if err != nil {
			return cost, fmt.Errorf("calls directly to servers: %w", err)
		}
		cost.Direct, directMedians = append(cost.Direct, p99), append(directMedians, median)
		median, p99, err = measureTraffic(ctx, standin.NewLoadGenerator(&l.Fleet.Plan, l.Clients()), traffic)
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
				return 0, 0, fmt.Errorf("only %d of %d requests were served", class.Served, class.Requests)
			}
			return class.P50, class.P99, nil
		}
	}
	return 0, 0, fmt.Errorf("class %q is not in the plan", measuredClass)
}
