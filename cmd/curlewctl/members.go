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

// membersCommand shows what a node knows of the others.
type membersCommand struct {
	Folder string        `arg:"" type:"existingdir" help:"The folder that [state] of the node's settings names."`
	JSON   bool          `help:"Print as JSON, one object a look."`
	Watch  bool          `help:"Look again every --every, until interrupted."`
	Every  time.Duration `default:"1s" help:"Between two looks."`
}

// Validate checks the bounds; kong calls it.
func (c *membersCommand) Validate() error {
	if c.Every < 100*time.Millisecond || c.Every > time.Hour {
		return fmt.Errorf("--every is %v, allowed: 100ms to 1h", c.Every)
	}
	return nil
}

// Run asks the node. Exit code 0 if it is in a view and no member is silent, 1 if not, 2 if it does not answer.
func (c *membersCommand) Run(ctx context.Context) error {
	for {
		r, err := members.RequestReport(ctx, c.Folder)
		if err != nil {
			return err
		}
		if c.JSON {
			if err := printJSON(os.Stdout, r); err != nil {
				return err
			}
		} else if err := printMembers(os.Stdout, &r); err != nil {
			return err
		}
		if !c.Watch {
			if s := &r.Standing; s.Phase != membership.Serving || s.Speaking < len(s.Members) {
				return found(1)
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
		}
	}
}

func printMembers(w io.Writer, r *members.Report) error {
	s := &r.Standing
	phase := map[membership.Phase]string{
		membership.Seeking: "in no view, and seeking one", membership.Serving: "in the view",
		membership.Leaving: "leaving", membership.Gone: "gone",
	}[s.Phase]
	fmt.Fprintf(w, "fleet     %s\n", r.Fleet)
	fmt.Fprintf(w, "this node %s, incarnation %d, %s\n", s.Self.Name, s.Self.Incarnation, phase)
	fmt.Fprintf(w, "view      %d of %016x: %d members, %d of them speak, %d votes decide\n", s.Number, s.Root, len(s.Members), s.Speaking, s.Majority)
	if len(s.Members) > 0 && s.Speaking < s.Majority {
		fmt.Fprintln(w, "          NO MAJORITY: the view can't change until more members speak")
	}
	if s.Isolated {
		fmt.Fprintln(w, "          this node hears none of those that it watches: it is cut off itself")
	}
	if s.Ballot {
		fmt.Fprintln(w, "          a change is being voted on")
	}
	if s.Stalls > 0 {
		fmt.Fprintf(w, "stalls    %d, the last %v ago\n", s.Stalls, s.Stalled.Round(time.Second))
	}
	fmt.Fprintf(w, "traffic   %d datagrams sent, %d received, %d dropped, %d passed over\n\n", r.Sent, r.Received, r.Dropped, r.Passed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tsite\taddress\tincarnation\tstate\tfrom here\trtt\tlost\taccused by")
	for i := range s.Members {
		m := &s.Members[i]
		state := "alive"
		switch {
		case m.Leaving:
			state = "leaving"
		case len(m.Accusers) > 0 && m.Speaks:
			state = "accused, speaks"
		case len(m.Accusers) > 0:
			state = "accused"
		}
		here, rtt, lost := "-", "-", "-"
		if m.Life == s.Self.Life {
			here = "itself"
		} else if m.Watched {
			here, lost = "reachable", fmt.Sprintf("%.0f%%", 100*m.Loss)
			if !m.Reachable {
				here = "no contact"
			}
			if m.RTT > 0 {
				rtt = m.RTT.Round(10 * time.Microsecond).String()
			}
		}
		accusers := "-"
		if n := len(m.Accusers); n > 0 {
			accusers = fmt.Sprintf("%d of %d: %s", n, m.Watchers, strings.Join(m.Accusers[:min(n, 4)], " "))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Site, m.Addr, m.Incarnation, state, here, rtt, lost, accusers)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range r.Pools {
		p := &r.Pools[i]
		fmt.Fprintf(w, "deals for %s: %d nodes lend, %.2f sends a second, %d out, %d used in the last window\n", p.ID, p.Lenders, p.Rate, p.Out, p.Used)
	}
	slices.SortFunc(s.Gone, func(a, b membership.RemovedMember) int { return int(a.Ago - b.Ago) })
	for _, g := range s.Gone[:min(len(s.Gone), 10)] {
		fmt.Fprintf(w, "taken out %s, %v ago, %d times of late", g.Name, g.Ago.Round(time.Second), g.Times)
		if g.Wait > 0 {
			fmt.Fprintf(w, "; let in again in %v at the earliest", g.Wait.Round(time.Second))
		}
		fmt.Fprintln(w)
	}
	return nil
}
