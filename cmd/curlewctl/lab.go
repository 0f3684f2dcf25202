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

type labCommand struct {
	Rate      float64       `default:"300" help:"First tries a second."`
	AtOnce    int           `help:"So many callers, each asking one request after another, instead of a rate."`
	For       time.Duration `default:"8s" help:"How long requests come."`
	Boxes     int           `default:"8" help:"Boxes in each tier."`
	Cores     int           `default:"2" help:"Cores of a box."`
	Nodes     int           `default:"2" help:"Nodes before the first tier."`
	Sidecars  int           `help:"So many sidecars instead of nodes, each for an application of its own, from written files."`
	Tiers     int           `default:"1" help:"Tiers of boxes; each box calls the next through a node of its own."`
	Work      float64       `default:"1" help:"Times the usual work a request."`
	Retries   int           `default:"1" help:"Retries of a request by its caller."`
	Seed      uint64        `default:"1" help:"For all that is drawn."`
	Fault     []string      `sep:"none" help:"What goes wrong, as slow:box=2,at=3s,for=2s,by=8. Kinds: ${kinds}."`
	Operator  string        `type:"existingfile" help:"The operators' file for the nodes."`
	Budgets   bool          `help:"Nodes share a budget of further attempts with the tiers below."`
	Copies    bool          `help:"The platform lets attempts of a request overlap."`
	Advice    time.Duration `default:"1s" help:"The platform's longest Retry-After; 0s: refusals carry none."`
	Binary    string        `type:"existingfile" help:"The node's program; else it is built."`
	MemoryMB  int           `default:"192" help:"Limit told to each node."`
	Sockets   int           `default:"1024" help:"Limit told to each node."`
	Idle      int           `help:"So many idle connections beside the traffic, over all nodes."`
	Wake      time.Duration `help:"Each idle connection asks again so often; 0s: never. Up to 15000 of them do."`
	StartFrom string        `type:"existingfile" placeholder:"FILE" help:"Nodes remember the list in this file, in discovery's form, beside the boxes."`
	ListAge   time.Duration `help:"Nodes start on a list so old that they remember, while discovery is out."`
	Stale     int           `help:"So many entries of that list are no more: half refuse, a quarter hang, a quarter are others'."`
	Outage    time.Duration `default:"5s" help:"With --list-age: how long discovery stays out."`
	Cold      bool          `help:"With --list-age: the boxes have just started."`
	Arm       string        `default:"doubts" enum:"doubts,trusts,waits" help:"With --list-age: what nodes make of the list; trusts and waits are controls."`
	Members   bool          `help:"Nodes know each other; faults of the links between them: cut, lose, late, twice, damage, and stop, kill."`
	JSON      bool          `help:"Print the report as JSON."`
	Control   bool          `help:"Afterwards run plain forwarding on the same boxes and load, and print ratios."`
}

const (
	mostRate  = 20000
	mostFor   = 30 * time.Minute
	mostBoxes = 3200
	mostHosts = 200 // boxes that have a node of their own, in front of a further tier
	mostNodes = 64
)

// Validate checks the bounds; kong calls it.
func (c *labCommand) Validate() error {
	switch {
	case !(c.Rate > 0 && c.Rate <= mostRate):
		return fmt.Errorf("--rate is %v, allowed: above 0, up to %d", c.Rate, mostRate)
	case c.AtOnce < 0 || c.AtOnce > 5000:
		return fmt.Errorf("--at-once is %d, allowed: 0 to 5000", c.AtOnce)
	case c.For <= 0 || c.For > mostFor:
		return fmt.Errorf("--for is %v, allowed: above 0, up to %v", c.For, mostFor)
	case c.Boxes < 1 || c.Boxes > mostBoxes:
		return fmt.Errorf("--boxes is %d, allowed: 1 to %d", c.Boxes, mostBoxes)
	case c.Tiers > 1 && c.Boxes > mostHosts:
		return fmt.Errorf("--boxes is %d, allowed with --tiers above 1: 1 to %d, as each box has a node", c.Boxes, mostHosts)
	case c.Cores < 1 || c.Cores > 256:
		return fmt.Errorf("--cores is %d, allowed: 1 to 256", c.Cores)
	case c.Nodes < 1 || c.Nodes > mostNodes:
		return fmt.Errorf("--nodes is %d, allowed: 1 to %d", c.Nodes, mostNodes)
	case c.Sidecars < 0 || c.Sidecars > mostNodes:
		return fmt.Errorf("--sidecars is %d, allowed: 0 to %d", c.Sidecars, mostNodes)
	case c.Sidecars > 0 && (c.Operator != "" || c.Control):
		return fmt.Errorf("--sidecars does not go with --operator or --control")
	case c.Tiers < 1 || c.Tiers > 4:
		return fmt.Errorf("--tiers is %d, allowed: 1 to 4", c.Tiers)
	case !(c.Work > 0 && c.Work <= 1000):
		return fmt.Errorf("--work is %v, allowed: above 0, up to 1000", c.Work)
	case c.Retries < 0 || c.Retries > 3:
		return fmt.Errorf("--retries is %d, allowed: 0 to 3", c.Retries)
	case c.Idle < 0 || c.Idle > 19500*c.Nodes:
		return fmt.Errorf("--idle is %d, allowed: 0 to %d, 19500 a node", c.Idle, 19500*c.Nodes)
	case c.Wake < 0 || c.Wake > 0 && c.Wake < time.Second:
		return fmt.Errorf("--wake is %v, allowed: 0s, or from 1s", c.Wake)
	case c.Wake > 0 && (c.Idle == 0 || c.Idle > 15000):
		return fmt.Errorf("--wake goes with --idle from 1 to 15000")
	case c.Idle > 0 && (c.Sidecars > 0 || c.Control):
		return fmt.Errorf("--idle does not go with --sidecars or --control")
	case (c.ListAge > 0 || c.StartFrom != "") && (c.Sidecars > 0 || c.Control || c.Tiers > 1):
		return fmt.Errorf("--list-age and --start-from do not go with --sidecars, --control or --tiers")
	case c.Stale > 0 && c.ListAge == 0:
		return fmt.Errorf("--stale goes with --list-age")
	case c.Outage < 0 || c.Outage > mostFor:
		return fmt.Errorf("--outage is %v, allowed: 0s to %v", c.Outage, mostFor)
	case c.Budgets && c.Copies:
		return fmt.Errorf("--budgets does not go with --copies")
	case c.Advice < 0 || c.Advice > time.Minute:
		return fmt.Errorf("--advice is %v, allowed: 0s to 1m", c.Advice)
	case c.Members && (c.Sidecars > 0 || c.Control || c.ListAge > 0 || c.StartFrom != "" || c.Nodes > 32):
		return fmt.Errorf("--members goes with up to 32 nodes, and not with --sidecars, --control, --list-age or --start-from")
	case c.Control && c.Tiers > 1:
		return fmt.Errorf("--control goes with one tier")
	}
	return nil
}

// options are the lab's from the command line.
func (c *labCommand) options() (lab.Options, error) {
	plan := standin.DefaultPlan()
	plan.Seed, plan.Servers, plan.Cores, plan.Tiers = c.Seed, c.Boxes, c.Cores, c.Tiers
	for i := range plan.Classes {
		plan.Classes[i].Work = time.Duration(float64(plan.Classes[i].Work) * c.Work)
	}
	o := lab.Options{
		Plan: plan, Nodes: c.Nodes, Binary: c.Binary, Operator: c.Operator, MemoryMB: c.MemoryMB, Sockets: c.Sockets,
		ShareBudgets: c.Budgets, AllowHedging: c.Copies, MaxRetryAfter: c.Advice, Membership: c.Members,
		Traffic: standin.Traffic{Rate: c.Rate, Concurrency: c.AtOnce, Duration: c.For, Retries: c.Retries, Backoff: 100 * time.Millisecond, BodyBytes: 200},
	}
	if c.Idle > 0 {
		self, err := os.Executable()
		if err != nil {
			return o, err
		}
		o.IdleConns, o.IdleInterval, o.ToolBinary = c.Idle, c.Wake, self
	}
	if c.ListAge > 0 || c.StartFrom != "" {
		arms := map[string]lab.OldListMode{"doubts": lab.VerifyList, "trusts": lab.TrustList, "waits": lab.DiscardList}
		o.OldList = &lab.OldList{Mode: arms[c.Arm], Age: c.ListAge, StaleEntries: c.Stale, Outage: c.Outage, ColdServers: c.Cold}
		if err := o.OldList.Validate(); err != nil {
			return o, err
		}
		if c.StartFrom != "" {
			text, err := os.ReadFile(c.StartFrom)
			if err != nil {
				return o, err
			}
			if o.OldList.Extra, err = endpoints.Parse(text); err != nil {
				return o, fmt.Errorf("%s: %w", c.StartFrom, err)
			}
		}
	}
	if c.Sidecars > 0 {
		o.Nodes, o.Sidecars, o.MemoryMB, o.Sockets = c.Sidecars, true, 32, 256
	}
	for _, text := range c.Fault {
		f, err := standin.ParseFault(text)
		if err != nil {
			return o, err
		}
		o.Faults = append(o.Faults, f)
	}
	return o, nil
}

// Run plays the lab.
func (c *labCommand) Run(ctx context.Context) error {
	o, err := c.options()
	if err != nil {
		return err
	}
	say := func(format string, args ...any) {
		if !c.JSON {
			fmt.Printf(format, args...)
		}
	}
	say("%d nodes, %d tier(s) of %d boxes with %d cores, %.0f requests a second for %v (capacity about %.0f), seed %d\n",
		o.Nodes, c.Tiers, c.Boxes, c.Cores, c.Rate, c.For, o.Plan.Capacity(), c.Seed)
	first, err := c.play(ctx, o, say)
	if err != nil {
		return err
	}
	reports := map[string]*lab.Report{"node": first}
	if c.Control {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.ForwardCommand = []string{self, "forward"}
		say("\nthe control: plain forwarding by net/http/httputil.ReverseProxy\n")
		if reports["control"], err = c.play(ctx, o, say); err != nil {
			return err
		}
		ratio := func(x, y float64) float64 { return x / max(y, 1e-9) }
		say("\nnode to control     CPU a request %.2f; weighted service %.2f\n", ratio(first.CPUMicrosPerRequest, reports["control"].CPUMicrosPerRequest),
			ratio(first.ServedWorth, reports["control"].ServedWorth))
		for i, row := range first.Classes {
			other := reports["control"].Classes[i]
			say("  %-16s p50 %.2f  p90 %.2f  p99 %.2f\n", row.Class, ratio(row.P50, other.P50), ratio(row.P90, other.P90),
				ratio(row.P99, other.P99))
		}
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		var value any = first
		if c.Control {
			value = reports
		}
		if err := out.Encode(value); err != nil {
			return err
		}
	}
	if !first.Passed() {
		return errBreach
	}
	return nil
}

// play runs one lab to its end.
func (c *labCommand) play(ctx context.Context, o lab.Options, say func(string, ...any)) (*lab.Report, error) {
	l, err := lab.Open(ctx, o)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	r, err := l.Run(ctx, func(p lab.Progress) {
		say("%4.0fs  asked %6d  out %4d  served %6d  refused %5d  failed %4d  lost %d\n", p.At.Seconds(), p.Requests, p.Pending,
			p.Tries[judge.Served], p.Tries[judge.Refused], p.Tries[judge.Failed], p.Tries[judge.ConnectionLost]+p.Tries[judge.ClientLeft])
	})
	if err != nil {
		return nil, err
	}
	say("\n")
	if !c.JSON {
		r.Print(os.Stdout)
	}
	return r, nil
}
