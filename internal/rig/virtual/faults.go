package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// applyStep applies a step to the traffic, the servers and the nodes.
func (r *run) applyStep(step Step) {
	if step.RateFactor > 0 {
		r.rateFactor = step.RateFactor
	}
	if step.Cut != nil {
		r.sitesCut = step.Cut
	}
	if step.AnswerLoss != nil {
		r.answerLoss = *step.AnswerLoss
	}
	if step.ResetShare != nil {
		r.resetShare = *step.ResetShare
	}
	for i, srv := range r.servers[0] {
		if step.Servers == nil || !step.Servers(i, srv.site) {
			continue
		}
		if step.Slowdown > 0 {
			srv.slowdown = step.Slowdown
		}
		srv.rejectsAll = (srv.rejectsAll || step.RejectAll) && !step.AcceptAll
		srv.failsFast = (srv.failsFast || step.FailFast) && !step.AcceptAll
		srv.stuck = (srv.stuck || step.Stuck) && !step.AcceptAll
		if step.Down {
			r.stopServer(srv)
		}
		if step.Up {
			r.restartServer(srv)
		}
		if step.Replace && !srv.down {
			r.replaceServer(i)
		}
	}
	for i, n := range r.nodes {
		if step.Nodes == nil || !step.Nodes(i) {
			continue
		}
		if step.KillNodes && !n.dead {
			r.killNode(n)
		}
		if step.StartNodes && n.dead {
			r.startNode(n)
		}
	}
}

// killNode kills a node. The clients of its open requests lose the connection, and may retry.
func (r *run) killNode(n *node) {
	r.judge.NodeKilled(r.now, n.name)
	n.dead = true
	n.incarnation++
	r.leavePool(n)
	requests := n.requests
	n.requests = map[uint64]*nodeRequest{}
	for _, id := range sortedIDs(requests) {
		req := requests[id]
		for _, attempt := range req.attempts {
			attempt.abandoned = true
			r.recordEnd(attempt, judge.Abandoned)
		}
		r.finishRequest(n, req, judge.ConnectionLost, 0, "")
	}
}

// replaceServer drains a server and starts one of its kind in its place, cold.
func (r *run) replaceServer(i int) {
	old := r.servers[0][i]
	r.publish(old, decide.Draining)
	r.after(r.config.DrainTime, func() { r.stopServer(old) })
	r.startSuccessor(old, i)
}

// startSuccessor starts a new server at the index and location of an old one.
func (r *run) startSuccessor(old *server, i int) {
	srv := r.newServer(0, ServerKind{Cores: old.cores, Speed: old.speed, Slots: old.slots, Queue: old.maxRequests - old.slots}, old.site)
	r.servers[0] = r.servers[0][:len(r.servers[0])-1]
	srv.index = i
	r.judge.AddServer(srv.id, r.location(srv)) // again, as the new index determines its rack
	r.servers[0][i] = srv
	srv.started = r.balancerTime(r.now)
	srv.lowerNode = old.lowerNode
	r.publish(srv, decide.Healthy)
}

// unreachable reports whether a partition separates a node's site from a server's.
func (r *run) unreachable(n *node, srv *server) bool {
	return r.sitesCut != nil && n.site != srv.site && (r.sitesCut(n.site, srv.site) || r.sitesCut(srv.site, n.site))
}

// scheduleChurn replaces random servers by new ones at a constant rate.
func (r *run) scheduleChurn() {
	delay := time.Duration(float64(time.Second) / (r.config.Churn * float64(len(r.servers[0]))))
	r.after(delay, func() {
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
