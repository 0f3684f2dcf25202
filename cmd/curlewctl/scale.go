package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"curlewring/internal/rig/scale"
)

// scaleCommand measures how the cost of the fleet's control grows with its size.
type scaleCommand struct {
	Report scaleReportCommand `cmd:"" help:"Measure each cost at several sizes, extrapolate to the planned size, and compare with the limits."`
	Run    scaleRunCommand    `cmd:"" help:"Run real nodes among simulated ones on loopback, and measure the real ones while others fail."`
}

// scaleReportCommand measures the growth of each cost. Each flag lists the sizes that are measured.
type scaleReportCommand struct {
	Membership []int  `default:"50,100,200,400" help:"Nodes of fleets that are simulated in virtual time."`
	State      []int  `default:"40,80,160,240" help:"Nodes of fleets in which the memory of each node's state is measured."`
	Servers    []int  `default:"100,300,1000,5400" help:"Lengths of a list of servers."`
	Discovery  []int  `default:"50,200,800,5400" help:"Nodes that watch one list."`
	Leases     []int  `default:"40,80,160,320" help:"Nodes that hold a lease each."`
	Seed       uint64 `default:"1" help:"Seed of all random draws."`
}

// printProgress prints a progress line to standard error.
func printProgress(line string) { fmt.Fprintln(os.Stderr, line) }

// Run measures all sizes and prints the report to standard output.
func (c *scaleReportCommand) Run() error {
	sizes := scale.Sizes{Membership: c.Membership, State: c.State, Servers: c.Servers, Discovery: c.Discovery, Leases: c.Leases}
	report, err := scale.Run(scale.OperatorsPlan(), sizes, c.Seed, printProgress)
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}

// scaleRunCommand runs a fleet of real and simulated nodes.
type scaleRunCommand struct {
	SimulatedNodes int           `name:"hollow" default:"300" help:"Simulated nodes: without a data path, all in this process."`
	RealNodes      int           `name:"real" default:"5" help:"Nodes in processes of their own, in front of stand-in servers."`
	Zones          int           `default:"17" help:"Zones of the simulated nodes; the nodes of one zone are killed together and restarted."`
	SettleTime     time.Duration `name:"settle" default:"10s" help:"Wait this long after all nodes have the same view."`
	RestTime       time.Duration `name:"rest" default:"20s" help:"Measure this long without traffic or faults."`
	LoadTime       time.Duration `name:"load" default:"30s" help:"Send calls for this long, alternately straight to the servers and through the nodes."`
	Rate           float64       `default:"100" help:"Calls a second at each real node."`
	Servers        int           `default:"16" help:"Stand-in servers."`
}

// Run runs the fleet and prints the report to standard output. It returns errRuleBroken if a rule was broken.
func (c *scaleRunCommand) Run(ctx context.Context) error {
	settings := scale.FleetSettings{
		SimulatedNodes: c.SimulatedNodes, RealNodes: c.RealNodes, Zones: c.Zones, SettleTime: c.SettleTime, RestTime: c.RestTime,
		LoadTime: c.LoadTime, Rate: c.Rate, Servers: c.Servers,
	}
	report, err := scale.RunFleet(ctx, settings, printProgress)
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout, scale.OperatorsPlan()); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}
