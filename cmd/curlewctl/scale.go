package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"curlewring/internal/rig/scale"
)

// scaleCommand measures what the fleet's control costs as it grows.
type scaleCommand struct {
	Report scaleReportCommand `cmd:"" help:"Measure each cost at several sizes, and compare what follows for the planned size with what is allowed."`
	Run    scaleRunCommand    `cmd:"" help:"Run real nodes among hollow ones on loopback, and measure the real ones as others fail."`
}

type scaleReportCommand struct {
	Membership []int  `default:"50,100,200,400" help:"Fleets that are played in virtual time."`
	State      []int  `default:"40,80,160,240" help:"Fleets of which every node's own memory is weighed."`
	Servers    []int  `default:"100,300,1000,5400" help:"Lengths of a list of servers."`
	Discovery  []int  `default:"50,200,800,5400" help:"Nodes that watch one list."`
	Leases     []int  `default:"40,80,160,320" help:"Nodes with a lease each."`
	Seed       uint64 `default:"1" help:"Of all draws."`
}

// tellProgress prints what a command is at to standard error.
func tellProgress(line string) { fmt.Fprintln(os.Stderr, line) }

// Run prints the report to standard output.
func (c *scaleReportCommand) Run() error {
	sizes := scale.Sizes{Membership: c.Membership, State: c.State, Servers: c.Servers, Discovery: c.Discovery, Leases: c.Leases}
	report, err := scale.Run(scale.OperatorsPlan(), sizes, c.Seed, tellProgress)
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}

type scaleRunCommand struct {
	Hollow  int           `default:"300" help:"Nodes without a data path, all in this process."`
	Real    int           `default:"5" help:"Nodes in processes of their own, before stand-in servers."`
	Zones   int           `default:"17" help:"Of the hollow nodes; one is killed at once, and comes back."`
	Settle  time.Duration `default:"10s" help:"Wait after all agree."`
	Rest    time.Duration `default:"20s" help:"Measure this long with nothing happening."`
	Load    time.Duration `default:"30s" help:"Send calls for this long, straight to the servers and through the nodes in turns."`
	Rate    float64       `default:"100" help:"Calls a second at each real node."`
	Servers int           `default:"16" help:"Stand-in servers."`
}

// Run prints the report to standard output. A rule that was broken is an error.
func (c *scaleRunCommand) Run(ctx context.Context) error {
	set := scale.FleetSettings{
		SimulatedNodes: c.Hollow, RealNodes: c.Real, Zones: c.Zones, SettleTime: c.Settle, RestTime: c.Rest, LoadTime: c.Load, Rate: c.Rate, Servers: c.Servers,
	}
	report, err := scale.RunFleet(ctx, set, tellProgress)
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout, scale.OperatorsPlan()); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errBreach
	}
	return nil
}
