package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"curlewring/internal/fleet/membership"
	"curlewring/internal/node/members"
)

// membersCommand shows the members of the fleet as a node knows them.
type membersCommand struct {
	Folder   string        `arg:"" type:"existingdir" help:"The folder that [state] of the node's settings names."`
	JSON     bool          `help:"Print as JSON, one object per report."`
	Watch    bool          `help:"Print a new report every --every, until interrupted."`
	Interval time.Duration `name:"every" default:"1s" help:"Time between two reports."`
}

// Validate checks the bounds of the flags. It is called by kong.
func (c *membersCommand) Validate() error {
	if c.Interval < 100*time.Millisecond || c.Interval > time.Hour {
		return fmt.Errorf("--every is %v, allowed: 100ms to 1h", c.Interval)
	}
	return nil
}

// Run requests a report from the node and prints it. The exit code is 0 if the node is in a view and no member is
// silent, 1 if not, and 2 if the node does not answer.
func (c *membersCommand) Run(ctx context.Context) error {
	for {
		report, err := members.RequestReport(ctx, c.Folder)
		if err != nil {
			return err
		}
		if c.JSON {
			if err := printJSON(os.Stdout, report); err != nil {
				return err
			}
		} else if err := printMembers(os.Stdout, &report); err != nil {
			return err
		}
		if !c.Watch {
			if status := &report.Standing; status.Phase != membership.Serving || status.Speaking < len(status.Members) {
				return exitCode(1)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Interval):
		}
	}
}

// printMembers prints the view, the traffic and the members in a table, and the members that were removed.
func printMembers(w io.Writer, report *members.Report) error {
	status := &report.Standing
	phase := map[membership.Phase]string{
		membership.Seeking: "in no view, and seeking one", membership.Serving: "in the view",
		membership.Leaving: "leaving", membership.Gone: "gone",
	}[status.Phase]
	fmt.Fprintf(w, "fleet     %s\n", report.Fleet)
	fmt.Fprintf(w, "this node %s, incarnation %d, %s\n", status.Self.Name, status.Self.Incarnation, phase)
	fmt.Fprintf(w, "view      %d of %016x: %d members, %d of them speak, %d votes decide\n",
		status.Number, status.Root, len(status.Members), status.Speaking, status.Majority)
	if len(status.Members) > 0 && status.Speaking < status.Majority {
		fmt.Fprintln(w, "          NO MAJORITY: the view can't change until more members speak")
	}
	if status.Isolated {
		fmt.Fprintln(w, "          this node hears none of those that it watches: it is cut off itself")
	}
	if status.Ballot {
		fmt.Fprintln(w, "          a change is being voted on")
	}
	if status.Stalls > 0 {
		fmt.Fprintf(w, "stalls    %d, the last %v ago\n", status.Stalls, status.Stalled.Round(time.Second))
	}
	fmt.Fprintf(w, "traffic   %d datagrams sent, %d received, %d dropped, %d passed over\n\n", report.Sent, report.Received, report.Dropped, report.Passed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tsite\taddress\tincarnation\tstate\tfrom here\trtt\tlost\taccused by")
	for i := range status.Members {
		member := &status.Members[i]
		state := "alive"
		switch {
		case member.Leaving:
			state = "leaving"
		case len(member.Accusers) > 0 && member.Speaks:
			state = "accused, speaks"
		case len(member.Accusers) > 0:
			state = "accused"
		}
		contact, rtt, lost := "-", "-", "-"
		if member.Life == status.Self.Life {
			contact = "itself"
		} else if member.Watched {
			contact, lost = "reachable", fmt.Sprintf("%.0f%%", 100*member.Loss)
			if !member.Reachable {
				contact = "no contact"
			}
			if member.RTT > 0 {
				rtt = member.RTT.Round(10 * time.Microsecond).String()
			}
		}
		accusers := "-"
		if n := len(member.Accusers); n > 0 {
			accusers = fmt.Sprintf("%d of %d: %s", n, member.Watchers, strings.Join(member.Accusers[:min(n, 4)], " "))
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n",
			member.Name, member.Site, member.Addr, member.Incarnation, state, contact, rtt, lost, accusers)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i := range report.Pools {
		pool := &report.Pools[i]
		fmt.Fprintf(w, "deals for %s: %d nodes lend, %.2f sends a second, %d out, %d used in the last window\n",
			pool.ID, pool.Lenders, pool.Rate, pool.Out, pool.Used)
	}
	slices.SortFunc(status.Gone, func(a, b membership.RemovedMember) int { return int(a.Ago - b.Ago) })
	for _, removed := range status.Gone[:min(len(status.Gone), 10)] {
		fmt.Fprintf(w, "taken out %s, %v ago, %d times of late", removed.Name, removed.Ago.Round(time.Second), removed.Times)
		if removed.Wait > 0 {
			fmt.Fprintf(w, "; let in again in %v at the earliest", removed.Wait.Round(time.Second))
		}
		fmt.Fprintln(w)
	}
	return nil
}
