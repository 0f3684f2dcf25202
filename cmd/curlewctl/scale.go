package main

import (
	"fmt"
	"os"

	"curlewring/internal/rig/scale"
)

// scaleCommand measures what the fleet's control costs as it grows.
type scaleCommand struct {
	Report scaleReportCommand `cmd:"" help:"Measure each cost at several sizes, and compare what follows for the planned size with what is allowed."`
}

type scaleReportCommand struct {
	Membership []int  `default:"50,100,200,400" help:"Fleets that are played in virtual time."`
	State      []int  `default:"40,80,160,240" help:"Fleets of which every node's own memory is weighed."`
	Servers    []int  `default:"100,300,1000,5400" help:"Lengths of a list of servers."`
	Discovery  []int  `default:"50,200,800,5400" help:"Nodes that watch one list."`
	Seed       uint64 `default:"1" help:"Of all draws."`
}

// Run prints the report to standard output, and what it is at to standard error.
func (c *scaleReportCommand) Run() error {
	sizes := scale.Sizes{Membership: c.Membership, State: c.State, Servers: c.Servers, Discovery: c.Discovery}
	report, err := scale.Run(scale.OperatorsPlan(), sizes, c.Seed, func(line string) { fmt.Fprintln(os.Stderr, line) })
	if err != nil {
		return err
	}
	return report.Write(os.Stdout)
}
