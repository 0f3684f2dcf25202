package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

func (r *run) applyStep(s Step) {
	if s.RateFactor > 0 {
		r.rateFactor = s.RateFactor
	}
	if s.Cut != nil {
		r.sitesCut = s.Cut
	}
	if s.AnswerLoss != nil {
		r.answerLoss = *s.AnswerLoss
	}
	if s.ResetShare != nil {
		r.resetShare = *s.ResetShare
	}
	for i, b := range r.servers[0] {
		if s.Servers == nil || !s.Servers(i, b.site) {
			continue
		}
		if s.Slowdown > 0 {
			b.slowdown = s.Slowdown
		}
		b.rejectsAll = (b.rejectsAll || s.RejectAll) && !s.AcceptAll
		b.failsFast = (b.failsFast || s.FailFast) && !s.AcceptAll
		b.stuck = (b.stuck || s.Stuck) && !s.AcceptAll
		if s.Down {
			r.stopServer(b)
		}
		if s.Up {
			r.restartServer(b)
		}
		if s.Replace && !b.down {
			r.replaceServer(i)
		}
	}
	for i, n := range r.nodes {
		if s.Nodes == nil || !s.Nodes(i) {
			continue
		}
		if s.KillNodes && !n.dead {
			r.killNode(n)
		}
		if s.StartNodes && n.dead {
			r.startNode(n)
		}
	}
}

// die kills a node: what it held is its callers' to ask again.
func (r *run) killNode(n *node) {
	r.judge.NodeKilled(r.now, n.name)
	n.dead = true
	n.incarnation++
	r.leavePool(n)
	calls := n.requests
	n.requests = map[uint64]*nodeRequest{}
	for _, id := range sortedIDs(calls) {
		c := calls[id]
		for _, t := range c.attempts {
			t.abandoned = true
			r.recordEnd(t, judge.Abandoned)
		}
		r.finishRequest(n, c, judge.ConnectionLost, 0, "")
	}
}

// replace drains a box and starts one of its kind in its place, cold.
func (r *run) replaceServer(i int) {
	old := r.servers[0][i]
	r.publish(old, decide.Draining)
	r.after(r.config.DrainTime, func() { r.stopServer(old) })
	r.startSuccessor(old, i)
}

// succeed starts a new box where an old one stood.
func (r *run) startSuccessor(old *server, i int) {
	b := r.newServer(0, ServerKind{Cores: old.cores, Speed: old.speed, Slots: old.slots, Queue: old.maxRequests - old.slots}, old.site)
	r.servers[0] = r.servers[0][:len(r.servers[0])-1]
	b.index = i
	r.judge.AddServer(b.id, r.location(b)) // it stands where the old one stood
	r.servers[0][i] = b
	b.started = r.balancerTime(r.now)
	b.lowerNode = old.lowerNode
	r.publish(b, decide.Healthy)
}

// cutOff tells whether nothing passes between a node's site and a box's.
func (r *run) unreachable(n *node, b *server) bool {
	return r.sitesCut != nil && n.site != b.site && (r.sitesCut(n.site, b.site) || r.sitesCut(b.site, n.site))
}

// churn replaces boxes by new ones at a steady rate.
func (r *run) scheduleChurn() {
	wait := time.Duration(float64(time.Second) / (r.config.Churn * float64(len(r.servers[0]))))
	r.after(wait, func() {
		if r.now > r.config.Duration {
			return
		}
		i := r.rng.IntN(len(r.servers[0]))
		old := r.servers[0][i]
		r.stopServer(old)
		r.startSuccessor(old, i)
		r.scheduleChurn()
	})
}
