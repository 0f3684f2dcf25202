package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/leaseexec"
	"curlewring/internal/node/leases"
)

// leaseCommand is what operators do with the fleet's leases, by way of the node on their machine.
type leaseCommand struct {
	Run     leaseRun     `cmd:"" help:"Run a command while this machine holds a lease. Exit code: the command's; 75 if the lease was not to be had, 124 if it could not be kept, 125 if no node answers."`
	List    leaseList    `cmd:"" help:"Show all leases, who holds them and who waits."`
	Release leaseRelease `cmd:"" help:"Take a lease from whoever holds it."`
	Hand    leaseHand    `cmd:"" help:"Give a lease that this machine holds to a node that waits for it."`
	Status  leaseStatus  `cmd:"" help:"Show who votes on leases. Exit code 0, 1 if no leader is known or a voter is away, 2 if the node does not answer."`
	Found   leaseFound   `cmd:"" help:"Found the fleet's log of leases. Once for a fleet."`
}

// stateFolder is the node's.
type stateFolder struct {
	Folder string `type:"existingdir" env:"CURLEWRING_STATE" default:"/var/lib/curlewring/node" help:"The folder that [state] of the node's settings names."`
}

// The exit codes of lease run that are not the command's.
const (
	exitNotHeld = 75 // EX_TEMPFAIL of sysexits.h
	exitLost    = 124
	exitNoNode  = 125
)

type leaseRun struct {
	stateFolder
	TTL     time.Duration `default:"10s" help:"How long the lease lasts without word from this machine."`
	Grace   time.Duration `help:"Between SIGTERM and SIGKILL where the lease ends before the command. A quarter of --ttl."`
	Wait    time.Duration `help:"Stand in line for so long. Without it a lease that another holds is not waited for."`
	Name    string        `arg:"" help:"The lease's name."`
	Command []string      `arg:"" passthrough:"" help:"The command with its arguments, behind --. It gets CURLEWRING_LEASE and CURLEWRING_TOKEN."`
}

// Validate checks the bounds; kong calls it.
func (c *leaseRun) Validate() error {
	if c.TTL < lease.MinTTL || c.TTL > lease.MaxTTL {
		return fmt.Errorf("--ttl is %v, allowed: %v to %v", c.TTL, lease.MinTTL, lease.MaxTTL)
	}
	if c.Grace < 0 || c.Grace > c.TTL/2 {
		return fmt.Errorf("--grace is %v, allowed: up to half of --ttl, %v", c.Grace, c.TTL/2)
	}
	if c.Wait < 0 {
		return fmt.Errorf("--wait is %v, allowed: 0 and above", c.Wait)
	}
	return nil
}

// Run holds the lease and runs the command.
func (c *leaseRun) Run(ctx context.Context) error {
	command := c.Command
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return errors.New("there is no command behind --")
	}
	code, err := leaseexec.Run(ctx, leaseexec.Options{
		StateDir: c.Folder, Lease: c.Name, TTL: c.TTL, KillGrace: c.Grace, MaxWait: c.Wait, Command: command,
		Logf: func(format string, args ...any) { fmt.Fprintf(os.Stderr, "curlewctl: "+format+"\n", args...) },
	})
	switch {
	case errors.Is(err, leaseexec.ErrNotHeld):
		code = exitNotHeld
	case errors.Is(err, leaseexec.ErrLeaseLost):
		code = exitLost
	case err != nil:
		code = exitNoNode
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
	}
	if code != 0 {
		return found(code)
	}
	return nil
}

type leaseList struct {
	stateFolder
	JSON bool `help:"Print as JSON."`
}

// Run asks the leader by way of the node.
func (c *leaseList) Run(ctx context.Context) error {
	r, err := leases.Call(ctx, c.Folder, leases.Request{Do: "list"})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, r)
	}
	fmt.Printf("%d leases, as %s says, which leads in term %d\n", len(r.Leases), r.Leader, r.Term)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "lease\tholder\tlife\ttoken\tttl\tin line")
	for i := range r.Leases {
		l := &r.Leases[i]
		var line []string
		for _, w := range l.Waiters {
			line = append(line, w.Holder.Name)
		}
		fmt.Fprintf(t, "%s\t%s\t%d/%x\t%d\t%v\t%s\n", l.Name, l.Holder.Name, l.Holder.Incarnation, l.Holder.Life, l.Token, l.TTL, strings.Join(line, " "))
	}
	return t.Flush()
}

type leaseRelease struct {
	stateFolder
	Force bool   `required:"" help:"Take it whatever that risks: the holder may still act, for as long as it believes in its lease (--ttl at the most), beside the next one. Only a resource that checks tokens is safe from that."`
	Name  string `arg:"" help:"The lease's name."`
}

// Run takes the lease away.
func (c *leaseRelease) Run(ctx context.Context) error {
	r, err := leases.Call(ctx, c.Folder, leases.Request{Do: "force", Lease: c.Name})
	if err != nil {
		return err
	}
	if r.Answer.Outcome != lease.Freed {
		fmt.Printf("%s has gone to another meanwhile; nothing was taken\n", c.Name)
		return found(1)
	}
	fmt.Printf("%s was taken away; it was held under token %d, and its holder may act for as long as it believes in it\n", c.Name, r.Answer.Token)
	return nil
}

type leaseHand struct {
	stateFolder
	To   string `required:"" help:"The node that waits for it."`
	Name string `arg:"" help:"The lease's name."`
}

// Run asks the node to hand the lease on.
func (c *leaseHand) Run(ctx context.Context) error {
	_, err := leases.Call(ctx, c.Folder, leases.Request{Do: "hand", Lease: c.Name, To: c.To})
	if err == nil {
		fmt.Printf("%s goes to %s once its command here has ended\n", c.Name, c.To)
	}
	return err
}

type leaseStatus struct {
	stateFolder
	JSON bool `help:"Print as JSON."`
}

// Run asks the node.
func (c *leaseStatus) Run(ctx context.Context) error {
	r, err := leases.Call(ctx, c.Folder, leases.Request{Do: "standing"})
	if err != nil {
		return err
	}
	s := r.Standing
	if c.JSON {
		if err := printJSON(os.Stdout, s); err != nil {
			return err
		}
	} else {
		printStanding(os.Stdout, r)
	}
	if s.Leader == "" || len(s.Gone) > 0 || s.Broken != "" || s.Hung || s.Conflict {
		return found(1)
	}
	return nil
}

func printStanding(w io.Writer, r leases.Reply) {
	s := r.Standing
	if s.Seats.Founding == 0 {
		fmt.Fprintln(w, "no voters are known: curlewctl lease found, once for the fleet")
		return
	}
	fmt.Fprintf(w, "log      %016x, voters as of entry %d\n", s.Seats.Founding, s.Seats.Index)
	for _, row := range s.Seats.Rows {
		what := ""
		if row.Name == s.Leader {
			what = "  leads"
		}
		for _, g := range s.Gone {
			if g.Name == row.Name {
				what = fmt.Sprintf("  away for %v; its seat goes to another in %v", g.For.Round(time.Second), g.Within.Round(time.Second))
			}
		}
		fmt.Fprintf(w, "voter    %-20s %-12s %016x%s\n", row.Name, row.Site, row.ID, what)
	}
	if s.Leader == "" {
		fmt.Fprintln(w, "leader   none is known to this node")
	}
	switch {
	case s.Voter && s.Leads:
		fmt.Fprintf(w, "this node %s leads in term %d, %d entries, %d leases\n", s.Name, s.Term, s.Applied, s.Leases)
	case s.Voter:
		fmt.Fprintf(w, "this node %s votes, term %d, %d entries\n", s.Name, s.Term, s.Applied)
	default:
		fmt.Fprintf(w, "this node %s has no seat\n", s.Name)
	}
	if s.Voter && !s.Cleared {
		fmt.Fprintln(w, "         it waits for a majority's word that its disk is no older than it was")
	}
	if s.Voter && s.Cleared && !s.Settled {
		fmt.Fprintln(w, "         a seat changes hands: until that has ended the loss of one more voter may leave no majority")
	}
	if s.Hung {
		fmt.Fprintln(w, "         ITS DISK HANGS: it says nothing until a write ends")
	}
	if s.Broken != "" {
		fmt.Fprintf(w, "         IT CAN'T GO ON: %s\n", s.Broken)
	}
	if s.Conflict {
		fmt.Fprintln(w, "         ANOTHER LOG OF THIS FLEET WAS MET: two were founded")
	}
}

type leaseFound struct {
	stateFolder
	Voters int      `help:"How many voters, chosen across sites: 1, 3, 5 or 7." default:"3"`
	Node   []string `help:"A node that is to vote, in the place of --voters; once for each." sep:"none"`
	Tokens uint64   `help:"Tokens begin above this: where the log takes the place of one that is lost, the highest that resources have seen."`
}

// Run founds the log.
func (c *leaseFound) Run(ctx context.Context) error {
	r, err := leases.Call(ctx, c.Folder, leases.Request{Do: "found", Voters: c.Voters, Names: c.Node, Tokens: c.Tokens})
	if r.Seats != nil {
		for _, row := range r.Seats.Rows {
			fmt.Printf("voter %s %s\n", row.Name, row.Site)
		}
	}
	return err
}
