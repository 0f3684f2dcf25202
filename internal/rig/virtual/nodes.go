package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// connectTimeout is how long a node waits for a connection.
const connectTimeout = 250 * time.Millisecond

// perform carries out the actions that a node's balancer returned.
func (r *run) perform(n *node, actions []decide.Action) {
	n.actionBuffer = nil // calls of perform nest, and each needs a buffer of its own
	incarnation := n.incarnation
	for _, action := range actions {
		switch action.Kind {
		case decide.Send:
			r.send(n, n.requests[action.Request], action)
		case decide.Refuse:
			if req := n.requests[action.Request]; req != nil {
				r.finishRequest(n, req, judge.Refused, action.Wait, "")
			}
		case decide.Fail:
			if req := n.requests[action.Request]; req != nil {
				r.finishRequest(n, req, judge.Failed, 0, "")
			}
		case decide.StartTimer:
			token := action.Token
			r.after(action.Wait, func() {
				if n.incarnation == incarnation && !n.dead {
					r.perform(n, n.balancer.HandleTimer(r.balancerTime(r.now), decide.Timer{Token: token}, n.actionBuffer[:0]))
				}
			})
		}
	}
	if n.incarnation == incarnation {
		n.actionBuffer = actions[:0]
	}
}

// send makes an attempt of a request.
func (r *run) send(n *node, req *nodeRequest, action decide.Action) {
	srv := r.serversByID[n.tier][action.Server]
	if req == nil || srv == nil {
		return
	}
	latency := r.config.SiteLatency
	if srv.site != n.site {
		latency = r.config.CrossSiteLatency
	}
	attempt := &serverAttempt{
		request: req, node: n, number: len(req.attempts), server: srv, sentAt: r.now, latency: latency, nodeIncarnation: n.incarnation,
		judgeID: -1, work: req.work,
	}
	req.attempts = append(req.attempts, attempt)
	r.result.Attempts++
	if srv.staleKind > 0 {
		r.sendToStaleAddress(attempt, action.Wait)
		return
	}
	cut := r.unreachable(n, srv)
	if srv.down && !cut {
		r.after(2*latency, func() { r.reportOutcome(attempt, decide.ConnectFailed) })
		return
	}
	if _, connected := n.connectedSince[srv]; cut && !connected { // no connection can be made across the partition
		r.after(min(action.Wait, connectTimeout), func() { r.reportOutcome(attempt, decide.ConnectFailed) })
		return
	}
	r.after(action.Wait, func() { // the attempt's timeout
		if !attempt.reported {
			attempt.abandoned = true
			r.recordEnd(attempt, judge.Abandoned)
			r.reportOutcome(attempt, decide.TimedOut)
		}
	})
	if cut { // it is sent on an existing connection, and lost
		return
	}
	if _, connected := n.connectedSince[srv]; !connected {
		n.connectedSince[srv] = r.now
	}
	if n.idleConns[srv] > 0 {
		n.idleConns[srv]--
	} else {
		r.result.Handshakes++
	}
	r.after(latency, func() { r.handleArrival(attempt) })
}

// reportAfterLatency gives a node the outcome of an attempt once it has come from the server.
func (r *run) reportAfterLatency(attempt *serverAttempt, result decide.Result) {
	r.after(attempt.latency, func() { r.reportOutcome(attempt, result) })
}

// reportOutcome gives a node the outcome of an attempt, unless it has one or its process has ended.
func (r *run) reportOutcome(attempt *serverAttempt, result decide.Result) {
	n := attempt.node
	if attempt.reported || n.incarnation != attempt.nodeIncarnation || n.dead {
		return
	}
	attempt.reported = true
	if result == decide.Served || result == decide.Errored || result == decide.Rejected {
		n.idleConns[attempt.server]++
	}
	connAge := time.Duration(0)
	if since, connected := n.connectedSince[attempt.server]; connected {
		connAge = r.now - since
	}
	if result == decide.ConnectFailed {
		delete(n.connectedSince, attempt.server)
	}
	final := attempt.request.answered
	if result == decide.Served && !final {
		r.finishRequest(n, attempt.request, judge.Served, 0, attempt.server.id)
		final = true
	}
	r.perform(n, n.balancer.HandleOutcome(r.balancerTime(r.now), decide.Outcome{
		Request: attempt.request.id, Attempt: attempt.number, Server: attempt.server.id, Result: result, Elapsed: r.now - attempt.sentAt, ConnAge: connAge, Final: final,
	}, n.actionBuffer[:0]))
	r.recordListResult(n, attempt.server.id, result)
}

// recordEnd gives the judge the outcome of an attempt, once.
func (r *run) recordEnd(attempt *serverAttempt, outcome judge.AttemptOutcome) {
	if attempt.judgeID >= 0 && !attempt.endRecorded {
		attempt.endRecorded = true
		r.judge.AttemptEnded(r.now, attempt.request.judgeKey, attempt.judgeID, outcome)
	}
}
