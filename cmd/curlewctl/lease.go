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

// leaseCommand groups the commands on the fleet's leases. Each sends a request to the node on this machine.
type leaseCommand struct {
	Run     leaseRun     `cmd:"" help:"Run a command while this machine holds a lease. Exit code: the command's; 75 if the lease could not be acquired, 124 if it was lost, 125 if no node answers."`
	List    leaseList    `cmd:"" help:"List all leases with their holders and waiters."`
	Release leaseRelease `cmd:"" help:"Take a lease away from its holder."`
	Hand    leaseHand    `cmd:"" help:"Transfer a lease that this machine holds to a node that waits for it."`
	Status  leaseStatus  `cmd:"" help:"Show the voters of the lease log. Exit code 0, 1 if no leader is known or a voter is unreachable, 2 if the node does not answer."`
	Found   leaseFound   `cmd:"" help:"Create the fleet's lease log, once for a fleet."`
}

// stateFolder is the flag that names the state folder of the node on this machine.
type stateFolder struct {
	Folder string `type:"existingdir" env:"CURLEWRING_STATE" default:"/var/lib/curlewring/node" help:"The folder that [state] of the node's settings names."`
}

// Exit codes of lease run where it does not end with that of the command.
const (
	exitNotHeld   = 75 // EX_TEMPFAIL of sysexits.h
	exitLeaseLost = 124
	exitNoNode    = 125
)

// leaseRun runs a command under a lease.
type leaseRun struct {
	stateFolder
	TTL       time.Duration `default:"10s" help:"How long the lease lasts without a renewal from this machine."`
	KillGrace time.Duration `name:"grace" help:"Time between SIGTERM and SIGKILL if the lease ends before the command. By default a quarter of --ttl."`
	MaxWait   time.Duration `name:"wait" help:"How long to wait for a lease that another node holds. By default it is not waited for."`
	Name      string        `arg:"" help:"The lease's name."`
	Command   []string      `arg:"" passthrough:"" help:"The command with its arguments, after --. It gets CURLEWRING_LEASE and CURLEWRING_TOKEN in its environment."`
}

// Validate checks the bounds of the flags. It is called by kong.
func (c *leaseRun) Validate() error {
	if c.TTL < lease.MinTTL || c.TTL > lease.MaxTTL {
		return fmt.Errorf("--ttl is %v, allowed: %v to %v", c.TTL, lease.MinTTL, lease.MaxTTL)
	}
	if c.KillGrace < 0 || c.KillGrace > c.TTL/2 {
		return fmt.Errorf("--grace is %v, allowed: up to half of --ttl, %v", c.KillGrace, c.TTL/2)
	}
	if c.MaxWait < 0 {
		return fmt.Errorf("--wait is %v, allowed: 0 and above", c.MaxWait)
	}
	return nil
}

// Run acquires the lease and runs the command while the lease is held. Any exit code but 0 is returned as an exitCode
// error.
func (c *leaseRun) Run(ctx context.Context) error {
	command := c.Command
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return errors.New("there is no command behind --")
	}
	code, err := leaseexec.Run(ctx, leaseexec.Options{
		StateDir: c.Folder, Lease: c.Name, TTL: c.TTL, KillGrace: c.KillGrace, MaxWait: c.MaxWait, Command: command,
		Logf: func(format string, args ...any) { fmt.Fprintf(os.Stderr, "curlewctl: "+format+"\n", args...) },
	})
	switch {
	case errors.Is(err, leaseexec.ErrNotHeld):
		code = exitNotHeld
	case errors.Is(err, leaseexec.ErrLeaseLost):
		code = exitLeaseLost
	case err != nil:
		code = exitNoNode
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "curlewctl:", err)
	}
	if code != 0 {
		return exitCode(code)
	}
	return nil
}

// leaseList lists the leases of the fleet.
type leaseList struct {
	stateFolder
	JSON bool `help:"Print as JSON."`
}

// Run requests the list from the leader, through the node on this machine.
func (c *leaseList) Run(ctx context.Context) error {
	reply, err := leases.Call(ctx, c.Folder, leases.Request{Do: "list"})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(os.Stdout, reply)
	}
	fmt.Printf("%d leases, as %s says, which leads in term %d\n", len(reply.Leases), reply.Leader, reply.Term)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lease\tholder\tlife\ttoken\tttl\tin line")
	for i := range reply.Leases {
		entry := &reply.Leases[i]
		var waiters []string
		for _, waiter := range entry.Waiters {
			waiters = append(waiters, waiter.Holder.Name)
		}
		fmt.Fprintf(table, "%s\t%s\t%d/%x\t%d\t%v\t%s\n", entry.Name, entry.Holder.Name, entry.Holder.Incarnation, entry.Holder.Life,
			entry.Token, entry.TTL, strings.Join(waiters, " "))
	}
	return table.Flush()
}

// leaseRelease takes a lease away from its holder.
type leaseRelease struct {
	stateFolder
	Force bool   `required:"" help:"Accept the risk: until its lease expires (--ttl at the most), the old holder may act at the same time as the next one. Only a resource that checks tokens is safe from that."`
	Name  string `arg:"" help:"The lease's name."`
}

// Run releases the lease by force. The exit code is 1 if its holder has changed meanwhile.
func (c *leaseRelease) Run(ctx context.Context) error {
	reply, err := leases.Call(ctx, c.Folder, leases.Request{Do: "force", Lease: c.Name})
	if err != nil {
		return err
	}
	if reply.Answer.Outcome != lease.Freed {
		fmt.Printf("%s has gone to another meanwhile; nothing was taken\n", c.Name)
		return exitCode(1)
	}
	fmt.Printf("%s was taken away; it was held under token %d, and its holder may act for as long as it believes in it\n", c.Name, reply.Answer.Token)
	return nil
}

// leaseHand transfers a lease to another node.
type leaseHand struct {
	stateFolder
	To   string `required:"" help:"The node that gets the lease; it must be waiting for it."`
	Name string `arg:"" help:"The lease's name."`
}

// Run requests the transfer. The node carries it out once the command that runs under the lease has ended.
func (c *leaseHand) Run(ctx context.Context) error {
	_, err := leases.Call(ctx, c.Folder, leases.Request{Do: "hand", Lease: c.Name, To: c.To})
	if err == nil {
		fmt.Printf("%s goes to %s once its command here has ended\n", c.Name, c.To)
	}
	return err
}

// leaseStatus shows the state of the lease log as this node knows it.
type leaseStatus struct {
	stateFolder
	JSON bool `help:"Print as JSON."`
}

// Run requests the status of the lease log from the node. The exit code is 1 if no leader is
// known, a voter is away, or the node reports a fault.
func (c *leaseStatus) Run(ctx context.Context) error {
	reply, err := leases.Call(ctx, c.Folder, leases.Request{Do: "standing"})
	if err != nil {
		return err
	}
	status := reply.Standing
	if c.JSON {
		if err := printJSON(os.Stdout, status); err != nil {
			return err
		}
	} else {
		printStatus(os.Stdout, reply)
	}
	if status.Leader == "" || len(status.Gone) > 0 || status.Broken != "" || status.Hung || status.Conflict {
		return exitCode(1)
	}
	return nil
}

// printStatus prints the voters, the leader, and the state of this node.
func printStatus(w io.Writer, reply leases.Reply) {
	status := reply.Standing
	if status.Seats.Founding == 0 {
		fmt.Fprintln(w, "no voters are known: curlewctl lease found, once for the fleet")
		return
	}
	fmt.Fprintf(w, "log      %016x, voters as of entry %d\n", status.Seats.Founding, status.Seats.Index)
	for _, seat := range status.Seats.Rows {
		remark := ""
		if seat.Name == status.Leader {
			remark = "  leads"
		}
		for _, absent := range status.Gone {
			if absent.Name == seat.Name {
				remark = fmt.Sprintf("  away for %v; its seat goes to another in %v", absent.For.Round(time.Second), absent.Within.Round(time.Second))
			}
		}
		fmt.Fprintf(w, "voter    %-20s %-12s %016x%s\n", seat.Name, seat.Site, seat.ID, remark)
	}
	if status.Leader == "" {
		fmt.Fprintln(w, "leader   none is known to this node")
	}
	switch {
	case status.Voter && status.Leads:
		fmt.Fprintf(w, "this node %s leads in term %d, %d entries, %d leases\n", status.Name, status.Term, status.Applied, status.Leases)
	case status.Voter:
		fmt.Fprintf(w, "this node %s votes, term %d, %d entries\n", status.Name, status.Term, status.Applied)
	default:
		fmt.Fprintf(w, "this node %s has no seat\n", status.Name)
	}
	if status.Voter && !status.Cleared {
		fmt.Fprintln(w, "         it waits for a majority's word that its disk is no older than it was")
	}
	if status.Voter && status.Cleared && !status.Settled {
		fmt.Fprintln(w, "         a seat changes hands: until that has ended the loss of one more voter may leave no majority")
	}
	if status.Hung {
		fmt.Fprintln(w, "         ITS DISK HANGS: it says nothing until a write ends")
	}
	if status.Broken != "" {
		fmt.Fprintf(w, "         IT CAN'T GO ON: %s\n", status.Broken)
	}
	if status.Conflict {
		fmt.Fprintln(w, "         ANOTHER LOG OF THIS FLEET WAS MET: two were founded")
	}
}

// leaseFound creates the lease log of a fleet.
type leaseFound struct {
	stateFolder
	Voters    int      `help:"Number of voters, chosen across sites: 1, 3, 5 or 7." default:"3"`
	Nodes     []string `name:"node" help:"A node that becomes a voter, instead of --voters; once for each." sep:"none"`
	LastToken uint64   `name:"tokens" help:"Tokens begin above this. If the log replaces one that is lost: the highest token that resources have seen."`
}

// Run creates the log through the node, and prints the chosen voters.
func (c *leaseFound) Run(ctx context.Context) error {
	reply, err := leases.Call(ctx, c.Folder, leases.Request{Do: "found", Voters: c.Voters, Names: c.Nodes, Tokens: c.LastToken})
	if reply.Seats != nil {
		for _, seat := range reply.Seats.Rows {
			fmt.Printf("voter %s %s\n", seat.Name, seat.Site)
		}
	}
	return err
}
