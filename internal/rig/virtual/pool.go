package virtual

import (
	"slices"
	"strconv"
	"time"

	"curlewring/decide"
	"curlewring/internal/fleet/allowance"
)

// Pool makes the nodes of the first tier pool the budgets of cold servers: the real lenders and allocators, on a
// simulated network between the nodes. All nodes learn of a change of membership at the same time, with a delay;
// package members simulates membership itself under faults.
type Pool struct {
	DetectionTime time.Duration // from a node's death until all other nodes know of it
	MessageLoss   float64       // fraction of the messages between nodes that are lost
}

// poolTickInterval is the interval of real nodes.
const poolTickInterval = 100 * time.Millisecond

// poolParticipant is the state of a node that takes part in the pool.
type poolParticipant struct {
	memberID    uint64 // identifies the node and its incarnation
	lender      *allowance.Lender
	allocator   *allowance.Allocator
	coldServers []decide.ColdServer
}

// joinPool makes a starting node take part in the pool.
func (r *run) joinPool(n *node) {
	if r.config.Pool == nil || n.tier > 0 {
		return
	}
	now := r.balancerTime(r.now)
	settings := allowance.Settings{Window: r.settings.CollapseWindow}
	startedAt := now
	if r.now == 0 { // no process ran before, so the lender need not wait until earlier loans have ended
		startedAt = now - time.Minute
	}
	n.pool = &poolParticipant{
		memberID: uint64(n.index+1)<<20 | uint64(n.incarnation+1),
		lender:   allowance.NewLender(settings, r.rng.Uint64(), startedAt), allocator: allowance.NewAllocator(settings),
	}
	incarnation := n.incarnation
	member := allowance.Member{Life: n.pool.memberID, Site: strconv.Itoa(n.site)}
	join := func() {
		if n.incarnation == incarnation && !n.dead {
			r.poolMembers = append(r.poolMembers, member)
		}
	}
	if r.now == 0 { // the membership is settled at the start
		join()
	} else {
		r.after(r.config.Pool.DetectionTime/2, join)
	}
	var tick func()
	tick = func() {
		if n.incarnation != incarnation || n.dead {
			return
		}
		r.runPoolTick(n)
		if r.now < r.config.Duration {
			r.after(poolTickInterval, tick)
		}
	}
	r.after(time.Duration(r.rng.Int64N(int64(poolTickInterval))), tick)
}

// leavePool removes a dead node from the members once its death is detected.
func (r *run) leavePool(n *node) {
	if n.pool == nil {
		return
	}
	memberID := n.pool.memberID
	r.after(r.config.Pool.DetectionTime, func() {
		r.poolMembers = slices.DeleteFunc(r.poolMembers, func(m allowance.Member) bool { return m.Life == memberID })
	})
}

// runPoolTick runs one tick of a node's lender, and exchanges its claims for grants.
func (r *run) runPoolTick(n *node) {
	now := r.balancerTime(r.now)
	n.pool.coldServers = n.balancer.ColdServers(now, n.pool.coldServers[:0])
	if len(n.pool.coldServers) == 0 && n.pool.lender.LentServers(now) == 0 {
		return
	}
	claims, grants := n.pool.lender.Tick(now, r.poolMembers, n.pool.coldServers)
	if len(grants) > 0 {
		r.perform(n, n.balancer.HandleGrants(now, grants, n.actionBuffer[:0]))
	}
	for _, out := range claims {
		claim := out.Claim
		r.result.Claims++
		r.sendPoolMessage(n, out.To, func(allocatorNode *node) {
			grant, ok := allocatorNode.pool.allocator.HandleClaim(r.balancerTime(r.now), &claim)
			if !ok {
				return
			}
			from := allocatorNode.pool.memberID
			r.sendPoolMessage(allocatorNode, n.pool.memberID, func(n *node) {
				now := r.balancerTime(r.now)
				if grants := n.pool.lender.HandleGrant(now, from, &grant); len(grants) > 0 {
					for _, granted := range grants {
						r.result.GrantedSends += granted.Sends
					}
					r.perform(n, n.balancer.HandleGrants(now, grants, n.actionBuffer[:0]))
				}
			})
		})
	}
}

// sendPoolMessage delivers a message to an incarnation of another node, unless it is lost.
func (r *run) sendPoolMessage(from *node, to uint64, handle func(*node)) {
	nodeIndex := int(to>>20) - 1
	if nodeIndex < 0 || nodeIndex >= len(r.nodes) || r.rng.Float64() < r.config.Pool.MessageLoss {
		return
	}
	n := r.nodes[nodeIndex]
	latency := r.config.SiteLatency
	if n.site != from.site {
		latency = r.config.CrossSiteLatency
	}
	r.after(latency, func() {
		if n.dead || n.pool == nil || n.pool.memberID != to || n.site != from.site && r.sitesCut != nil && (r.sitesCut(n.site, from.site) || r.sitesCut(from.site, n.site)) {
			return
		}
		handle(n)
	})
}
