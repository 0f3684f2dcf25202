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
const poolTick = 100 * time.Millisecond

// pooling is a node's part.
type pooling struct {
	member uint64 // of its life
	holder *allowance.Lender
	dealer *allowance.Allocator
	colds  []decide.ColdServer
}

// enroll begins a life's part in the pool.
func (r *run) enroll(n *node) {
	if r.c.Pool == nil || n.tier > 0 {
		return
	}
	now := r.start(r.now)
	set := allowance.Settings{Window: r.set.CollapseWindow}
	born := now
	if r.now == 0 { // none has had a life before
		born = now - time.Minute
	}
	n.pool = &pooling{
		member: uint64(n.index+1)<<20 | uint64(n.life+1),
		holder: allowance.NewLender(set, r.rng.Uint64(), born), dealer: allowance.NewAllocator(set),
	}
	life := n.life
	me := allowance.Member{Life: n.pool.member, Site: strconv.Itoa(n.site)}
	join := func() {
		if n.life == life && !n.dead {
			r.roll = append(r.roll, me)
		}
	}
	if r.now == 0 { // the fleet has long agreed
		join()
	} else {
		r.after(r.c.Pool.DetectionTime/2, join)
	}
	var tick func()
	tick = func() {
		if n.life != life || n.dead {
			return
		}
		r.poolStep(n)
		if r.now < r.c.Duration {
			r.after(poolTick, tick)
		}
	}
	r.after(time.Duration(r.rng.Int64N(int64(poolTick))), tick)
}

// unroll has all others know of a node's death, later.
func (r *run) unroll(n *node) {
	if n.pool == nil {
		return
	}
	gone := n.pool.member
	r.after(r.c.Pool.DetectionTime, func() {
		r.roll = slices.DeleteFunc(r.roll, func(m allowance.Member) bool { return m.Life == gone })
	})
}

// poolStep is one tick of a node's holder.
func (r *run) poolStep(n *node) {
	now := r.start(r.now)
	n.pool.colds = n.b.ColdServers(now, n.pool.colds[:0])
	if len(n.pool.colds) == 0 && n.pool.holder.LentServers(now) == 0 {
		return
	}
	outs, deals := n.pool.holder.Tick(now, r.roll, n.pool.colds)
	if len(deals) > 0 {
		r.carry(n, n.b.HandleGrants(now, deals, n.buf[:0]))
	}
	for _, o := range outs {
		claim := o.Claim
		r.result.Claims++
		r.word(n, o.To, func(d *node) {
			g, ok := d.pool.dealer.HandleClaim(r.start(r.now), &claim)
			if !ok {
				return
			}
			from := d.pool.member
			r.word(d, n.pool.member, func(n *node) {
				now := r.start(r.now)
				if deals := n.pool.holder.HandleGrant(now, from, &g); len(deals) > 0 {
					for _, x := range deals {
						r.result.GrantedSends += x.Sends
					}
					r.carry(n, n.b.HandleGrants(now, deals, n.buf[:0]))
				}
			})
		})
	}
}

// word brings a message from one node to another's life.
func (r *run) word(from *node, to uint64, do func(*node)) {
	i := int(to>>20) - 1
	if i < 0 || i >= len(r.nodes) || r.rng.Float64() < r.c.Pool.MessageLoss {
		return
	}
	n := r.nodes[i]
	way := r.c.SiteLatency
	if n.site != from.site {
		way = r.c.CrossSiteLatency
	}
	r.after(way, func() {
		if n.dead || n.pool == nil || n.pool.member != to || n.site != from.site && r.apart != nil && (r.apart(n.site, from.site) || r.apart(from.site, n.site)) {
			return
		}
		do(n)
	})
}
