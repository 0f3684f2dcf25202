package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"curlewring/internal/rig/lab"
	"curlewring/internal/rig/standin"
	"curlewring/internal/rig/standin/judge"
	"curlewring/internal/servers/endpoints"
)

// labCommand runs nodes in front of stand-in servers, sends traffic, injects faults and checks the nodes' behaviour.
type labCommand struct {
	Rate           float64       `default:"300" help:"First tries a second."`
	Concurrency    int           `name:"at-once" help:"Number of clients that each send one request after another, instead of a rate."`
	Duration       time.Duration `name:"for" default:"8s" help:"How long requests are sent."`
	Servers        int           `name:"boxes" default:"8" help:"Servers in each tier."`
	Cores          int           `default:"2" help:"Cores of a server."`
	Nodes          int           `default:"2" help:"Nodes in front of the first tier."`
	Sidecars       int           `help:"Run this many sidecars instead of nodes, each for its own application, from generated configurations."`
	Tiers          int           `default:"1" help:"Tiers of servers; each server calls the next tier through a node of its own."`
	Work           float64       `default:"1" help:"Factor on the usual work of a request."`
	Retries        int           `default:"1" help:"Retries of a request by its client."`
	Seed           uint64        `default:"1" help:"Seed of all random draws."`
	Faults         []string      `name:"fault" sep:"none" help:"A fault to inject, as slow:box=2,at=3s,for=2s,by=8. Kinds: ${kinds}."`
	OperatorFile   string        `name:"operator" type:"existingfile" help:"The operators' file for the nodes."`
	ShareBudgets   bool          `name:"budgets" help:"Nodes share a budget of further attempts with the tiers below."`
	AllowHedging   bool          `name:"copies" help:"The platform lets attempts of a request overlap."`
	MaxRetryAfter  time.Duration `name:"advice" default:"1s" help:"The platform's longest Retry-After; 0s: refusals carry none."`
	Binary         string        `type:"existingfile" help:"The node's program; built if not given."`
	MemoryMB       int           `default:"192" help:"Memory limit configured at each node."`
	Sockets        int           `default:"1024" help:"Socket limit configured at each node."`
	IdleConns      int           `name:"idle" help:"Idle connections held beside the traffic, over all nodes."`
	IdleInterval   time.Duration `name:"wake" help:"Interval at which each idle connection sends a request; 0s: never. For up to 15000 connections."`
	StartFrom      string        `type:"existingfile" placeholder:"FILE" help:"Nodes start with the list in this file, in discovery's format, in addition to the servers."`
	ListAge        time.Duration `help:"Nodes start with a stored list of this age, while discovery is unavailable."`
	StaleEntries   int           `name:"stale" help:"Entries of that list without a server: half refuse connections, a quarter hang, a quarter are used by something else."`
	Outage         time.Duration `default:"5s" help:"With --list-age: how long discovery is unavailable."`
	ColdServers    bool          `name:"cold" help:"With --list-age: the servers have just started."`
	StaleListMode  string        `name:"arm" default:"doubts" enum:"doubts,trusts,waits" help:"With --list-age: how nodes use the list; trusts and waits are baselines to compare with."`
	Membership     bool          `name:"members" help:"Nodes know each other; faults of the links between them: cut, lose, late, twice, damage, and stop, kill."`
	JSON           bool          `help:"Print the report as JSON."`
	CompareForward bool          `name:"control" help:"Afterwards run plain forwarding with the same servers and load, and print ratios."`
}

// Bounds of the flags.
const (
	maxRate            = 20000
	maxDuration        = 30 * time.Minute
	maxServers         = 3200
	maxServersWithNode = 200 // servers that call a further tier, each through a node of its own
	maxNodes           = 64
)

// Validate checks the bounds of the flags, and which of them go together. It is called by kong.
func (c *labCommand) Validate() error {
	switch {
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return fmt.Errorf("--rate is %v, allowed: above 0, up to %d", c.Rate, maxRate)
	case c.Concurrency < 0 || c.Concurrency > 5000:
		return fmt.Errorf("--at-once is %d, allowed: 0 to 5000", c.Concurrency)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return fmt.Errorf("--for is %v, allowed: above 0, up to %v", c.Duration, maxDuration)
	case c.Servers < 1 || c.Servers > maxServers:
		return fmt.Errorf("--boxes is %d, allowed: 1 to %d", c.Servers, maxServers)
	case c.Tiers > 1 && c.Servers > maxServersWithNode:
		return fmt.Errorf("--boxes is %d, allowed with --tiers above 1: 1 to %d, as each box has a node", c.Servers, maxServersWithNode)
	case c.Cores < 1 || c.Cores > 256:
		return fmt.Errorf("--cores is %d, allowed: 1 to 256", c.Cores)
	case c.Nodes < 1 || c.Nodes > maxNodes:
		return fmt.Errorf("--nodes is %d, allowed: 1 to %d", c.Nodes, maxNodes)
	case c.Sidecars < 0 || c.Sidecars > maxNodes:
		return fmt.Errorf("--sidecars is %d, allowed: 0 to %d", c.Sidecars, maxNodes)
	case c.Sidecars > 0 && (c.OperatorFile != "" || c.CompareForward):
		return fmt.Errorf("--sidecars does not go with --operator or --control")
	case c.Tiers < 1 || c.Tiers > 4:
		return fmt.Errorf("--tiers is %d, allowed: 1 to 4", c.Tiers)
	case !(c.Work > 0 && c.Work <= 1000):
		return fmt.Errorf("--work is %v, allowed: above 0, up to 1000", c.Work)
	case c.Retries < 0 || c.Retries > 3:
		return fmt.Errorf("--retries is %d, allowed: 0 to 3", c.Retries)
	case c.IdleConns < 0 || c.IdleConns > 19500*c.Nodes:
		return fmt.Errorf("--idle is %d, allowed: 0 to %d, 19500 a node", c.IdleConns, 19500*c.Nodes)
	case c.IdleInterval < 0 || c.IdleInterval > 0 && c.IdleInterval < time.Second:
		return fmt.Errorf("--wake is %v, allowed: 0s, or from 1s", c.IdleInterval)
	case c.IdleInterval > 0 && (c.IdleConns == 0 || c.IdleConns > 15000):
		return fmt.Errorf("--wake goes with --idle from 1 to 15000")
	case c.IdleConns > 0 && (c.Sidecars > 0 || c.CompareForward):
		return fmt.Errorf("--idle does not go with --sidecars or --control")
	case (c.ListAge > 0 || c.StartFrom != "") && (c.Sidecars > 0 || c.CompareForward || c.Tiers > 1):
		return fmt.Errorf("--list-age and --start-from do not go with --sidecars, --control or --tiers")
	case c.StaleEntries > 0 && c.ListAge == 0:
		return fmt.Errorf("--stale goes with --list-age")
	case c.Outage < 0 || c.Outage > maxDuration:
		return fmt.Errorf("--outage is %v, allowed: 0s to %v", c.Outage, maxDuration)
	case c.ShareBudgets && c.AllowHedging:
		return fmt.Errorf("--budgets does not go with --copies")
	case c.MaxRetryAfter < 0 || c.MaxRetryAfter > time.Minute:
		return fmt.Errorf("--advice is %v, allowed: 0s to 1m", c.MaxRetryAfter)
	case c.Membership && (c.Sidecars > 0 || c.CompareForward || c.ListAge > 0 || c.StartFrom != "" || c.Nodes > 32):
		return fmt.Errorf("--members goes with up to 32 nodes, and not with --sidecars, --control, --list-age or --start-from")
	case c.CompareForward && c.Tiers > 1:
		return fmt.Errorf("--control goes with one tier")
	}
	return nil
}

// options returns the options of the lab that the flags select.
func (c *labCommand) options() (lab.Options, error) {
	plan := standin.DefaultPlan()
	plan.Seed, plan.Servers, plan.Cores, plan.Tiers = c.Seed, c.Servers, c.Cores, c.Tiers
	for i := range plan.Classes {
		plan.Classes[i].Work = time.Duration(float64(plan.Classes[i].Work) * c.Work)
	}
	options := lab.Options{
		Plan: plan, Nodes: c.Nodes, Binary: c.Binary, Operator: c.OperatorFile, MemoryMB: c.MemoryMB, Sockets: c.Sockets,
		ShareBudgets: c.ShareBudgets, AllowHedging: c.AllowHedging, MaxRetryAfter: c.MaxRetryAfter, Membership: c.Membership,
		Traffic: standin.Traffic{Rate: c.Rate, Concurrency: c.Concurrency, Duration: c.Duration, Retries: c.Retries, Backoff: 100 * time.Millisecond, BodyBytes: 200},
	}
	if c.IdleConns > 0 {
		self, err := os.Executable()
		if err != nil {
			return options, err
		}
		options.IdleConns, options.IdleInterval, options.ToolBinary = c.IdleConns, c.IdleInterval, self
	}
	if c.ListAge > 0 || c.StartFrom != "" {
		modes := map[string]lab.StaleListMode{"doubts": lab.VerifyList, "trusts": lab.TrustList, "waits": lab.DiscardList}
		options.StaleList = &lab.StaleList{Mode: modes[c.StaleListMode], Age: c.ListAge, StaleEntries: c.StaleEntries, Outage: c.Outage, ColdServers: c.ColdServers}
		if err := options.StaleList.Validate(); err != nil {
			return options, err
		}
		if c.StartFrom != "" {
			text, err := os.ReadFile(c.StartFrom)
			if err != nil {
				return options, err
			}
			if options.StaleList.Extra, err = endpoints.Parse(text); err != nil {
				return options, fmt.Errorf("%s: %w", c.StartFrom, err)
			}
		}
	}
	if c.Sidecars > 0 {
		options.Nodes, options.Sidecars, options.MemoryMB, options.Sockets = c.Sidecars, true, 32, 256
	}
	for _, text := range c.Faults {
		fault, err := standin.ParseFault(text)
		if err != nil {
			return options, err
		}
		options.Faults = append(options.Faults, fault)
	}
	return options, nil
}

// Run runs the lab once, and once more with plain forwarding if a comparison is wanted. It returns errRuleBroken if the
// nodes broke a rule.
func (c *labCommand) Run(ctx context.Context) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	printf := func(format string, args ...any) {
		if !c.JSON {
			fmt.Printf(format, args...)
		}
	}
	printf("%d nodes, %d tier(s) of %d boxes with %d cores, %.0f requests a second for %v (capacity about %.0f), seed %d\n",
		options.Nodes, c.Tiers, c.Servers, c.Cores, c.Rate, c.Duration, options.Plan.Capacity(), c.Seed)
	nodeReport, err := c.runOnce(ctx, options, printf)
	if err != nil {
		return err
	}
	reports := map[string]*lab.Report{"node": nodeReport}
	if c.CompareForward {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		options.ForwardCommand = []string{self, "forward"}
		printf("\nthe control: plain forwarding by net/http/httputil.ReverseProxy\n")
		if reports["control"], err = c.runOnce(ctx, options, printf); err != nil {
			return err
		}
		ratio := func(value, baseline float64) float64 { return value / max(baseline, 1e-9) }
		printf("\nnode to control     CPU a request %.2f; weighted service %.2f\n", ratio(nodeReport.CPUMicrosPerRequest, reports["control"].CPUMicrosPerRequest),
			ratio(nodeReport.ServedWorth, reports["control"].ServedWorth))
		for i, class := range nodeReport.Classes {
			baseline := reports["control"].Classes[i]
			printf("  %-16s p50 %.2f  p90 %.2f  p99 %.2f\n", class.Class, ratio(class.P50, baseline.P50), ratio(class.P90, baseline.P90),
				ratio(class.P99, baseline.P99))
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		var output any = nodeReport
		if c.CompareForward {
			output = reports
		}
		if err := encoder.Encode(output); err != nil {
			return err
		}
	}
	if !nodeReport.Passed() {
		return errRuleBroken
	}
	return nil
}

// runOnce runs one lab to its end, and prints its progress and its report through printf.
func (c *labCommand) runOnce(ctx context.Context, options lab.Options, printf func(string, ...any)) (*lab.Report, error) {
	testLab, err := lab.Open(ctx, options)
	if err != nil {
		return nil, err
	}
	defer testLab.Close()
	report, err := testLab.Run(ctx, func(progress lab.Progress) {
		printf("%4.0fs  asked %6d  out %4d  served %6d  refused %5d  failed %4d  lost %d\n", progress.At.Seconds(), progress.Requests, progress.Pending,
			progress.Tries[judge.Served], progress.Tries[judge.Refused], progress.Tries[judge.Failed], progress.Tries[judge.ConnectionLost]+progress.Tries[judge.ClientLeft])
	})
	if err != nil {
		return nil, err
	}
	printf("\n")
	if !c.JSON {
		report.Print(os.Stdout)
	}
	return report, nil
}
