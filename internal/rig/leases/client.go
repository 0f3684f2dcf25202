package leases

import (
	"fmt"
	"slices"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/leaselog"
)

// leaseClient is a client on a node that requests a lease, holds it and gives it up.
type leaseClient struct {
	client    *lease.Client
	stopAt    time.Duration // when it gives the lease up, by the clock of its node
	lastToken uint64        // of the last grant; 0: none yet
	handsOver bool          // the lease is transferred to a queued holder, if there is one, when it is given up
}

// stepClients runs a step of each client of the node, and now and then starts a missing client.
func (n *node) stepClients() {
	now := n.clock()
	if len(n.clients) < max(1, n.sim.LeasesPerNode) && n.sim.rng.IntN(10) == 0 {
		name, stopAt := "l", now+time.Duration(5+n.sim.rng.IntN(20))*time.Second
		if n.sim.LeasesPerNode > 0 {
			name, stopAt = fmt.Sprint(n.name, "/", len(n.clients)), now+time.Hour
		}
		holder := lease.Holder{Name: n.name, Incarnation: uint64(n.epoch), Life: n.sim.rng.Uint64() | 1}
		client, err := lease.NewClient(n.sim.timing, name, holder, simTTL, now)
		if err != nil {
			n.sim.Violations = append(n.sim.Violations, err.Error())
			return
		}
		n.clients = append(n.clients, &leaseClient{client: client, stopAt: stopAt, handsOver: n.sim.rng.IntN(3) == 0})
	}
	for _, x := range n.clients { // at most one if all nodes compete for one lease
		n.stepClient(x, now)
	}
	n.clients = slices.DeleteFunc(n.clients, func(x *leaseClient) bool { return x.client.Phase() == lease.Over })
	n.processOutput()
}

// stepClient accesses the resource if the client may, starts the release when it is due, and sends the client's
// command.
func (n *node) stepClient(x *leaseClient, now time.Duration) {
	maxDuration := time.Duration(20+n.sim.rng.IntN(200)) * time.Millisecond
	token, ok := x.client.BeginAct(now, maxDuration)
	if n.sim.ActAfterExpiry && x.lastToken != 0 {
		token, ok = x.lastToken, true
	}
	if ok {
		duration := time.Duration(n.sim.rng.Float64() * float64(maxDuration) / n.clockRate)
		n.sim.Accesses = append(n.sim.Accesses, Access{n.sim.now, n.sim.now + duration, token, fmt.Sprint(n.name, "/", n.epoch, "/", x.client.Holder().Life%1000)})
	}
	if phase := x.client.Phase(); now > x.stopAt && phase != lease.Stopping && phase != lease.Releasing {
		var successor lease.Holder
		if x.handsOver {
			successor = n.sim.anyQueuedHolder()
		}
		x.client.Stop(now, successor)
	}
	attempts := x.client.Attempts()
	if command := x.client.Tick(now); command != nil && n.log.SendLeaseCommand(now, *command, 0, attempts) != nil {
		x.client.RetrySoon(now, command.Seq)
	}
	for _, event := range x.client.Events() {
		if event.Kind == lease.PhaseChanged && event.Phase == lease.Holding {
			n.sim.Grants++
			x.lastToken = event.Token
			if n.sim.LeasesPerNode == 0 {
				x.stopAt = now + time.Duration(1+n.sim.rng.IntN(6))*time.Second
			}
		}
	}
}

// anyQueuedHolder returns a holder that waits in the queue; the zero Holder if there is none.
func (s *Sim) anyQueuedHolder() lease.Holder {
	for _, n := range s.nodes {
		for _, x := range n.clients {
			if x.client.Phase() == lease.Queued {
				return x.client.Holder()
			}
		}
	}
	return lease.Holder{}
}

// handleReply passes a reply of the lease log to the client that it belongs to, if that still exists.
func (n *node) handleReply(reply *leaselog.LocalReply) {
	i := slices.IndexFunc(n.clients, func(x *leaseClient) bool { return x.client.Holder().Life == reply.Life })
	if i < 0 {
		return
	}
	x := n.clients[i]
	switch reply.Kind {
	case leaselog.CommandAnswer:
		x.client.HandleAnswer(n.clock(), reply.Answer)
	case leaselog.CannotServe:
		x.client.RetrySoon(n.clock(), reply.Seq)
	}
}
