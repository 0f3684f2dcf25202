package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// connectWithin is how long a node waits for a connection.
const connectTimeout = 250 * time.Millisecond

// carry does what a module wants done.
func (r *run) perform(n *node, actions []decide.Action) {
	n.actionBuffer = nil // handlers nest here: each has a buffer of its own
	life := n.incarnation
	for _, a := range actions {
		switch a.Kind {
		case decide.Send:
			r.send(n, n.requests[a.Request], a)
		case decide.Refuse:
			if c := n.requests[a.Request]; c != nil {
				r.finishRequest(n, c, judge.Refused, a.Wait, "")
			}
		case decide.Fail:
			if c := n.requests[a.Request]; c != nil {
				r.finishRequest(n, c, judge.Failed, 0, "")
			}
		case decide.StartTimer:
			token := a.Token
			r.after(a.Wait, func() {
				if n.incarnation == life && !n.dead {
					r.perform(n, n.balancer.HandleTimer(r.balancerTime(r.now), decide.Timer{Token: token}, n.actionBuffer[:0]))
				}
			})
		}
	}
	if n.incarnation == life {
		n.actionBuffer = actions[:0]
	}
}

// send makes an attempt.
func (r *run) send(n *node, c *nodeRequest, a decide.Action) {
	b := r.serversByID[n.tier][a.Server]
	if c == nil || b == nil {
		return
	}
	t := &serverAttempt{request: c, node: n, number: len(c.attempts), server: b, sentAt: r.now, judgeID: -1, work: c.work}
	c.attempts = append(c.attempts, t)
	r.result.Attempts++
	way := r.config.SiteLatency
	if b.site != n.site {
		way = r.config.CrossSiteLatency
	}
	life := n.incarnation
	if b.staleKind > 0 {
		r.sendToStaleAddress(t, a.Wait, way)
		return
	}
	cut := r.unreachable(n, b)
	if b.down && !cut {
		r.after(2*way, func() { r.reportOutcome(t, life, decide.ConnectFailed) })
		return
	}
	if _, has := n.connectedSince[b]; cut && !has { // no connection can be made
		r.after(min(a.Wait, connectTimeout), func() { r.reportOutcome(t, life, decide.ConnectFailed) })
		return
	}
	r.after(a.Wait, func() { // the node stops waiting
		if !t.reported {
			t.abandoned = true
			r.recordEnd(t, judge.Abandoned)
			r.reportOutcome(t, life, decide.TimedOut)
		}
	})
	if cut { // it goes out on a connection that is there, and is never heard of again
		return
	}
	if _, has := n.connectedSince[b]; !has {
		n.connectedSince[b] = r.now
	}
	if n.idleConns[b] > 0 {
		n.idleConns[b]--
	} else {
		r.result.Handshakes++
	}
	r.after(way, func() { r.handleArrival(t, way, life) })
}

// outcome tells a node how an attempt ended.
func (r *run) reportOutcome(t *serverAttempt, life int, result decide.Result) {
	n := t.node
	if t.reported || n.incarnation != life || n.dead {
		return
	}
	t.reported = true
	if result == decide.Served || result == decide.Errored || result == decide.Rejected {
		n.idleConns[t.server]++
	}
	age := time.Duration(0)
	if since, has := n.connectedSince[t.server]; has {
		age = r.now - since
	}
	if result == decide.ConnectFailed {
		delete(n.connectedSince, t.server)
	}
	final := t.request.answered
	if result == decide.Served && !final {
		r.finishRequest(n, t.request, judge.Served, 0, t.server.id)
		final = true
	}
	r.perform(n, n.balancer.HandleOutcome(r.balancerTime(r.now), decide.Outcome{
		Request: t.request.id, Attempt: t.number, Server: t.server.id, Result: result, Elapsed: r.now - t.sentAt, ConnAge: age, Final: final,
	}, n.actionBuffer[:0]))
	r.recordListResult(n, t.server.id, result)
}

func (r *run) recordEnd(t *serverAttempt, how judge.AttemptOutcome) {
	if t.judgeID >= 0 && !t.endRecorded {
		t.endRecorded = true
		r.judge.AttemptEnded(r.now, t.request.judgeKey, t.judgeID, how)
	}
}
