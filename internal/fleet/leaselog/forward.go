package leaselog

import (
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// handleCommand queues a command for the next log entry if this node leads, and forwards it to the leader
// otherwise. Expire and ExpireWaiter are dropped: only the leader's expiry tracker may issue them.
func (n *Node) handleCommand(m *Message) {
	if op := m.Command.Command.Op; m.Command.Maintenance == nil && (op == lease.Expire || op == lease.ExpireWaiter) {
		return
	}
	switch target := n.forwardTarget(m); {
	case target == n.settings.Name:
		if len(n.pendingCommands) >= maxPendingCommands {
			n.reject(m.Command)
			return
		}
		n.pendingCommands = append(n.pendingCommands, *m.Command)
	case target != "":
		n.send(target, &Message{Kind: SubmitCommand, Hops: m.Hops + 1, Command: m.Command})
	default:
		n.reject(m.Command)
	}
}

// forwardTarget returns the node that a request for the leader is sent to: this node if it leads, else the leader
// that its voter knows. It returns "" if there is none or the hop limit is reached.
func (n *Node) forwardTarget(m *Message) string {
	if n.IsLeader() && n.brokenErr == nil {
		return n.settings.Name
	}
	if n.voter == nil || n.diskHung() || n.brokenErr != nil || m.Hops >= maxHops-1 {
		return ""
	}
	leader := n.voter.Leader()
	if leader == 0 || leader == n.voter.ID() {
		return ""
	}
	return n.nodeName(leader)
}

// handleLeaseQuery answers with all leases, in pages, if this node leads. Otherwise it forwards the query to the
// leader.
func (n *Node) handleLeaseQuery(m *Message) {
	switch target := n.forwardTarget(m); {
	case target == n.settings.Name:
		all := n.stateMachine.Leases()
		pages := max(1, (len(all)+maxLeasesPerPage-1)/maxLeasesPerPage)
		_, term := n.voter.IsLeader()
		for page := range pages {
			leases := all[page*maxLeasesPerPage : min(len(all), (page+1)*maxLeasesPerPage)]
			n.send(m.Origin, &Message{Kind: LeasePage, Ref: m.Ref, Term: term, Page: page, Pages: pages, Leases: leases})
		}
	case target != "":
		n.send(target, &Message{Kind: QueryLeases, Hops: m.Hops + 1, Origin: m.Origin, Ref: m.Ref})
	default:
		n.send(m.Origin, &Message{Kind: CannotServe, Ref: m.Ref})
	}
}

// Error is a constant error.
type Error string

func (e Error) Error() string { return string(e) }

// ErrNoVoters is returned when this node knows no voters.
const ErrNoVoters = Error("no voters are known: the log of leases may not have been founded yet")

// SendLeaseCommand sends a command of this node to a voter: on the first attempt (0) to the last known leader,
// on each further attempt to another voter. It returns an error if no voter is known.
func (n *Node) SendLeaseCommand(now time.Duration, cmd lease.Command, ref uint64, attempt int) error {
	return n.sendToVoter(now, cmd.Holder.Life^ref, attempt, &Message{Kind: SubmitCommand, Command: &ForwardedCommand{Command: cmd, Origin: n.settings.Name, Ref: ref}})
}

// RequestLeaseList requests the list of all leases.
func (n *Node) RequestLeaseList(now time.Duration, ref uint64, attempt int) error {
	return n.sendToVoter(now, ref, attempt, &Message{Kind: QueryLeases, Origin: n.settings.Name, Ref: ref})
}

// targetVoter returns the voter to contact on an attempt, counted from 0; "" if no voter is known.
func (n *Node) targetVoter(key uint64, attempt int) string {
	voters := n.localRecord.Voters.Rows
	if n.hasAppliedState() {
		voters = n.voters.Rows
	}
	if len(voters) == 0 {
		return ""
	}
	if attempt == 0 && n.lastLeader != "" {
		return n.lastLeader
	}
	return voters[(key+uint64(attempt))%uint64(len(voters))].Name
}

// sendToVoter sends a message to the voter that this attempt is for. It returns ErrNoVoters if no voter is known.
func (n *Node) sendToVoter(now time.Duration, ref uint64, attempt int, m *Message) error {
	n.now = max(n.now, now)
	target := n.targetVoter(ref, attempt)
	if target == "" {
		return ErrNoVoters
	}
	n.send(target, m)
	n.processPending()
	return nil
}

// handleMaintenanceQuery answers with the maintenance table if this node leads. Otherwise it forwards the query to
// the leader.
func (n *Node) handleMaintenanceQuery(m *Message) {
	switch target := n.forwardTarget(m); {
	case target == n.settings.Name:
		n.send(m.Origin, &Message{Kind: MaintenanceReply, Ref: m.Ref, MaintenanceTable: maintenance.AppendTable(nil, n.maintenanceTable)})
	case target != "":
		n.send(target, &Message{Kind: QueryMaintenance, Hops: m.Hops + 1, Origin: m.Origin, Ref: m.Ref})
	default:
		n.send(m.Origin, &Message{Kind: CannotServe, Ref: m.Ref})
	}
}

// SendMaintenanceCommand sends a maintenance command; it returns an error if no voter is known. A command that is
// sent again may be applied twice: each command names the state that it expects, or has no effect the second time.
func (n *Node) SendMaintenanceCommand(now time.Duration, cmd *maintenance.Command, ref uint64, attempt int) error {
	return n.sendToVoter(now, ref, attempt, &Message{Kind: SubmitCommand, Command: &ForwardedCommand{Maintenance: cmd, Origin: n.settings.Name, Ref: ref}})
}

// RequestMaintenanceTable requests the maintenance table.
func (n *Node) RequestMaintenanceTable(now time.Duration, ref uint64, attempt int) error {
	return n.sendToVoter(now, ref, attempt, &Message{Kind: QueryMaintenance, Origin: n.settings.Name, Ref: ref})
}

// approximateSize estimates the encoded size of the command in a log entry.
func (c *ForwardedCommand) approximateSize() int {
	size := len(c.Command.Lease) + 2*maxNameBytes + 64
	if c.Maintenance != nil {
		size += 128 * (1 + len(c.Maintenance.Requests) + len(c.Maintenance.Lost))
	}
	return size
}
