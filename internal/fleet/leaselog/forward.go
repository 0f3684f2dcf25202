package leaselog

import (
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// asked takes a request: the leader puts it into its next entry, another voter passes it on. What only a leader's clock
// says is no request.
func (c *Node) asked(m *Message) {
	if op := m.Command.Command.Op; m.Command.Maintenance == nil && (op == lease.Expire || op == lease.ExpireWaiter) {
		return
	}
	switch to := c.toLeader(m); {
	case to == c.set.Name:
		if len(c.batch) >= mostBatch {
			c.helpless(m.Command)
			return
		}
		c.batch = append(c.batch, *m.Command)
	case to != "":
		c.send(to, &Message{Kind: SubmitCommand, Hops: m.Hops + 1, Command: m.Command})
	default:
		c.helpless(m.Command)
	}
}

// toLeader is where to pass on what is for the leader; "": nowhere.
func (c *Node) toLeader(m *Message) string {
	if c.IsLeader() && c.broken == nil {
		return c.set.Name
	}
	if c.voter == nil || c.hung() || c.broken != nil || m.Hops >= mostHops-1 {
		return ""
	}
	lead := c.voter.Leader()
	if lead == 0 || lead == c.voter.ID() {
		return ""
	}
	return c.nameOf(lead)
}

func (c *Node) list(m *Message) {
	switch to := c.toLeader(m); {
	case to == c.set.Name:
		all := c.machine.Leases()
		pages := max(1, (len(all)+mostListed-1)/mostListed)
		_, term := c.voter.IsLeader()
		for page := range pages {
			part := all[page*mostListed : min(len(all), (page+1)*mostListed)]
			c.send(m.Origin, &Message{Kind: LeasePage, Ref: m.Ref, Term: term, Page: page, Pages: pages, Leases: part})
		}
	case to != "":
		c.send(to, &Message{Kind: QueryLeases, Hops: m.Hops + 1, Origin: m.Origin, Ref: m.Ref})
	default:
		c.send(m.Origin, &Message{Kind: CannotServe, Ref: m.Ref})
	}
}

// Error is one that does not change.
type Error string

func (e Error) Error() string { return string(e) }

// ErrNoVoters says that this node knows of nobody who votes.
const ErrNoVoters = Error("no voters are known: is the log of leases founded?")

// Ask sends a request of this node's own to a voter: the leader, if it is known, and with each further try another one.
// An error tells that there is nobody to ask.
func (c *Node) SendLeaseCommand(now time.Duration, cmd lease.Command, ref uint64, try int) error {
	return c.askVoter(now, cmd.Holder.Life^ref, try, &Message{Kind: SubmitCommand, Command: &ForwardedCommand{Command: cmd, Origin: c.set.Name, Ref: ref}})
}

// AskList asks which leases there are.
func (c *Node) RequestLeaseList(now time.Duration, ref uint64, try int) error {
	return c.askVoter(now, ref, try, &Message{Kind: QueryLeases, Origin: c.set.Name, Ref: ref})
}

// voterFor is whom to ask at a try, from 0.
func (c *Node) voterFor(who uint64, try int) string {
	rows := c.note.Seats.Rows
	if c.applies() {
		rows = c.seats.Rows
	}
	if len(rows) == 0 {
		return ""
	}
	if try == 0 && c.leader != "" {
		return c.leader
	}
	return rows[(who+uint64(try))%uint64(len(rows))].Name
}

func (c *Node) askVoter(now time.Duration, ref uint64, try int, m *Message) error {
	c.now = max(c.now, now)
	to := c.voterFor(ref, try)
	if to == "" {
		return ErrNoVoters
	}
	c.send(to, m)
	c.settle()
	return nil
}

// works tells how the machines out for work stand, if this node leads.
func (c *Node) works(m *Message) {
	switch to := c.toLeader(m); {
	case to == c.set.Name:
		c.send(m.Origin, &Message{Kind: MaintenanceReply, Ref: m.Ref, MaintenanceTable: maintenance.AppendTable(nil, c.table)})
	case to != "":
		c.send(to, &Message{Kind: QueryMaintenance, Hops: m.Hops + 1, Origin: m.Origin, Ref: m.Ref})
	default:
		c.send(m.Origin, &Message{Kind: CannotServe, Ref: m.Ref})
	}
}

// AskWork sends a command about machines out for work; an error tells that there is nobody to ask. A command that is sent
// again may be applied twice: each names what it rests on, or does nothing the second time.
func (c *Node) SendMaintenanceCommand(now time.Duration, cmd *maintenance.Command, ref uint64, try int) error {
	return c.askVoter(now, ref, try, &Message{Kind: SubmitCommand, Command: &ForwardedCommand{Maintenance: cmd, Origin: c.set.Name, Ref: ref}})
}

// AskWorks asks how the machines out for work stand.
func (c *Node) RequestMaintenanceTable(now time.Duration, ref uint64, try int) error {
	return c.askVoter(now, ref, try, &Message{Kind: QueryMaintenance, Origin: c.set.Name, Ref: ref})
}

// size is about what an item takes in an entry.
func (i *ForwardedCommand) size() int {
	n := len(i.Command.Lease) + 2*mostName + 64
	if i.Maintenance != nil {
		n += 128 * (1 + len(i.Maintenance.Requests) + len(i.Maintenance.Lost))
	}
	return n
}
