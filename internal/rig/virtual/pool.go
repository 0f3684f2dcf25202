package virtual

import (
	"slices"
	"strconv"
	"time"

	"curlewring/decide"
	"curlewring/internal/fleet/allowance"
)

// Pool lets the nodes of the first tier pool cold boxes' budgets: the real holders and dealers, on a network between the
// nodes. Who is a member is told to all alike, so long after it is so; what membership itself does under faults is
// played in package members.
type Pool struct {
	DetectionTime time.Duration // after a node's death all know it
	MessageLoss   float64       // part of the messages between nodes that are lost
}

// poolTick is what the real node has.
const poolTickInterval = 100 * time.Millisecond

// pooling is a node's part.
type poolParticipant struct {
	memberID uint64 // of its life
	lender *allowance.Lender
	allocator *allowance.Allocator
	coldServers  []decide.ColdServer
}

// enroll begins a life's part in the pool.
func (r *run) joinPool(n *node) {
	if r.config.Pool == nil || n.tier > 0 {
		return
	}
	now := r.balancerTime(r.now)
	set := allowance.Settings{Window: r.settings.CollapseWindow}
	born := now
	if r.now == 0 { // none has had a life before
		born = now - time.Minute
	}
	n.pool = &poolParticipant{
		memberID: uint64(n.index+1)<<20 | uint64(n.incarnation+1),
		lender: allowance.NewLender(set, r.rng.Uint64(), born), allocator: allowance.NewAllocator(set),
	}
	life := n.incarnation
	me := allowance.Member{Life: n.pool.memberID, Site: strconv.Itoa(n.site)}
	join := func() {
		if n.incarnation == life && !n.dead {
			r.poolMembers = append(r.poolMembers, me)
		}
	}
	if r.now == 0 { // the fleet has long agreed
		join()
	} else {
		r.after(r.config.Pool.DetectionTime/2, join)
	}
	var tick func()
	tick = func() {
		if n.incarnation != life || n.dead {
			return
		}
		r.runPoolTick(n)
		if r.now < r.config.Duration {
			r.after(poolTickInterval, tick)
		}
	}
	r.after(time.Duration(r.rng.Int64N(int64(poolTickInterval))), tick)
}

// unroll has all others know of a node's death, later.
func (r *run) leavePool(n *node) {
	if n.pool == nil {
		return
	}
	gone := n.pool.memberID
	r.after(r.config.Pool.DetectionTime, func() {
		r.poolMembers = slices.DeleteFunc(r.poolMembers, func(m allowance.Member) bool { return m.Life == gone })
	})
}

// poolStep is one tick of a node's holder.
func (r *run) runPoolTick(n *node) {
	now := r.balancerTime(r.now)
	n.pool.coldServers = n.balancer.ColdServers(now, n.pool.coldServers[:0])
	if len(n.pool.coldServers) == 0 && n.pool.lender.LentServers(now) == 0 {
		return
	}
	outs, deals := n.pool.lender.Tick(now, r.poolMembers, n.pool.coldServers)
	if len(deals) > 0 {
		r.perform(n, n.balancer.HandleGrants(now, deals, n.actionBuffer[:0]))
	}
	for _, o := range outs {
		claim := o.Claim
		r.result.Claims++
		r.sendPoolMessage(n, o.To, func(d *node) {
			g, ok := d.pool.allocator.HandleClaim(r.balancerTime(r.now), &claim)
			if !ok {
				return
			}
			from := d.pool.memberID
			r.sendPoolMessage(d, n.pool.memberID, func(n *node) {
				now := r.balancerTime(r.now)
				if deals := n.pool.lender.HandleGrant(now, from, &g); len(deals) > 0 {
					for _, x := range deals {
						r.result.GrantedSends += x.Sends
					}
					r.perform(n, n.balancer.HandleGrants(now, deals, n.actionBuffer[:0]))
				}
			})
		})
	}
}

// word brings a message from one node to another's life.
func (r *run) sendPoolMessage(from *node, to uint64, do func(*node)) {
	i := int(to>>20) - 1
	if i < 0 || i >= len(r.nodes) || r.rng.Float64() < r.config.Pool.MessageLoss {
		return
	}
	n := r.nodes[i]
	way := r.config.SiteLatency
	if n.site != from.site {
		way = r.config.CrossSiteLatency
	}
	r.after(way, func() {
		if n.dead || n.pool == nil || n.pool.memberID != to || n.site != from.site && r.sitesCut != nil && (r.sitesCut(n.site, from.site) || r.sitesCut(from.site, n.site)) {
			return
		}
		do(n)
	})
}
