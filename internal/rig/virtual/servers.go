package virtual

import (
	"fmt"
	"math"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// handleArrival processes the arrival of an attempt at its server.
func (r *run) handleArrival(attempt *serverAttempt) {
	srv := attempt.server
	if srv.down {
		r.reportAfterLatency(attempt, decide.ConnectFailed)
		return
	}
	srv.attempts++
	srv.attemptsThisSecond++
	if attempt.request.judgeKey != "" {
		attempt.judgeID = r.judge.AttemptArrived(r.now, attempt.request.judgeKey, srv.id, attempt.request.judgeKey)
	}
	attempt.arrived, attempt.serverIncarnation = true, srv.incarnation
	switch {
	case srv.failsFast:
		r.recordEnd(attempt, judge.Errored)
		r.reportAfterLatency(attempt, decide.Errored)
		return
	case srv.rejectsAll || srv.inFlight >= srv.maxRequests || attempt.abandoned:
		r.recordEnd(attempt, judge.Rejected)
		r.reportAfterLatency(attempt, decide.Rejected)
		return
	}
	if r.collapses(srv, r.config.Classes[attempt.request.class].Work) {
		r.stopServer(srv)
		r.reportAfterLatency(attempt, decide.ConnectionLost)
		return
	}
	r.updateCongestion(srv)
	srv.inFlight++
	srv.backlog += attempt.work
	attempt.lowerCallsLeft = 0
	if srv.lowerNode != nil {
		attempt.lowerCallsLeft = r.config.CallsPerRequest
	}
	srv.queue = append(srv.queue, attempt)
	r.dispatch(srv)
}

// dispatch starts queued attempts on the free cores of a server.
func (r *run) dispatch(srv *server) {
	for srv.busyCores < srv.cores && len(srv.queue) > 0 {
		attempt := srv.queue[0]
		srv.queue[0] = nil
		srv.queue = srv.queue[1:]
		if attempt.abandoned && !attempt.started { // its node has cancelled it in the queue
			srv.inFlight--
			srv.backlog -= attempt.work
			continue
		}
		if !attempt.started {
			attempt.started = true
			if attempt.judgeID >= 0 && r.firstExecution(attempt) {
				r.judge.AttemptExecuted(r.now, attempt.request.judgeKey, attempt.judgeID)
			}
		}
		srv.busyCores++
		duration := time.Duration(float64(attempt.work) * srv.currentSlowdown(r) / (srv.speed * r.warmupFactor(srv)))
		incarnation := srv.incarnation
		r.after(duration, func() {
			if srv.incarnation != incarnation {
				return
			}
			srv.busyCores--
			if attempt.lowerCallsLeft > 0 {
				r.callLowerTier(attempt)
			} else {
				r.reply(attempt, true)
			}
			r.dispatch(srv)
		})
	}
}

// firstExecution reports whether an attempt's request has not run in the server's rack within its key TTL. A request
// without a key always counts as a first execution.
func (r *run) firstExecution(attempt *serverAttempt) bool {
	class := &r.config.Classes[attempt.request.class]
	if class.Idempotency != decide.Keyed {
		return true
	}
	key := fmt.Sprintf("%d/%d/%s", attempt.server.tier, r.rack(attempt.server), attempt.request.judgeKey)
	if at, ok := r.keyExecutedAt[key]; ok && r.now-at < class.KeyTTL {
		return false
	}
	r.keyExecutedAt[key] = r.now
	return true
}

// callLowerTier makes an attempt's next call to the second tier. The attempt keeps its slot, but no core, meanwhile.
func (r *run) callLowerTier(attempt *serverAttempt) {
	srv := attempt.server
	incarnation := srv.incarnation
	remaining := attempt.request.startedAt + attempt.request.ttl - r.now
	if remaining < time.Millisecond {
		r.reply(attempt, false)
		return
	}
	if srv.stuck { // until the request's deadline
		r.after(remaining, func() {
			if srv.incarnation == incarnation {
				r.reply(attempt, false)
			}
		})
		return
	}
	r.submit(srv.lowerNode, attempt.request.class, attempt.request.work, remaining, false, func(requestOutcome judge.RequestOutcome, _ time.Duration) {
		if srv.incarnation != incarnation {
			return
		}
		attempt.lowerCallsLeft--
		switch {
		case requestOutcome != judge.Served:
			r.reply(attempt, false)
		case attempt.lowerCallsLeft > 0:
			r.callLowerTier(attempt)
		default:
			r.reply(attempt, true)
		}
	})
}

// reply ends an attempt at its server, and sends the response.
func (r *run) reply(attempt *serverAttempt, success bool) {
	srv := attempt.server
	r.updateCongestion(srv)
	srv.inFlight--
	srv.backlog -= attempt.work
	result, judgeOutcome := decide.Served, judge.Succeeded
	if !success {
		result, judgeOutcome = decide.Errored, judge.Errored
	}
	r.recordEnd(attempt, judgeOutcome)
	switch {
	case r.unreachable(attempt.node, srv) || r.answerLoss > 0 && r.rng.Float64() < r.answerLoss:
		return // the response is lost: the node waits until the attempt times out
	case r.resetShare > 0 && r.rng.Float64() < r.resetShare:
		result = decide.ConnectionLost
	}
	r.reportAfterLatency(attempt, result)
}

// warmupFactor returns the fraction of its capacity that a server has.
func (r *run) warmupFactor(srv *server) float64 {
	if srv.started == 0 || r.config.WarmupTime <= 0 {
		return 1
	}
	age := float64(r.balancerTime(r.now)-srv.started) / float64(r.config.WarmupTime)
	return min(1, r.config.ColdCapacity+(1-r.config.ColdCapacity)*age)
}

// currentSlowdown returns by what factor a server is slowed down.
func (srv *server) currentSlowdown(r *run) float64 {
	if srv.congestedUntil > r.now {
		return srv.slowdown * r.config.Congestion.Slowdown
	}
	return srv.slowdown
}

// updateCongestion updates the mean number of requests in flight, and starts or ends congestion.
func (r *run) updateCongestion(srv *server) {
	congestion := r.config.Congestion
	if congestion == nil {
		return
	}
	decay := math.Exp(-float64(r.now-srv.meanUpdatedAt) / float64(congestion.AveragingTime))
	srv.meanInFlight = srv.meanInFlight*decay + float64(srv.inFlight)*(1-decay)
	srv.meanUpdatedAt = r.now
	limit := float64(srv.cores) + congestion.Threshold*math.Sqrt(float64(srv.cores))
	if srv.congestedUntil <= r.now && srv.meanInFlight > limit {
		srv.congestedUntil = r.now + congestion.MaxDuration
	} else if srv.congestedUntil > r.now && srv.meanInFlight < float64(srv.cores)*0.3 {
		srv.congestedUntil = r.now
	}
}

// collapses records work sent to a cold server, and reports whether the server fails under it. Each request counts
// with the mean work of its class, as no node can know its own. A tenth, plus two requests, is allowed for random
// variation.
func (r *run) collapses(srv *server, work time.Duration) bool {
	if r.warmupFactor(srv) >= 1 {
		srv.coldArrivals = nil
		return false
	}
	r.result.ColdAttempts++
	srv.coldArrivals = append(srv.coldArrivals, arrival{r.now, work})
	sum := time.Duration(0)
	for i := len(srv.coldArrivals) - 1; i >= 0 && r.now-srv.coldArrivals[i].at < r.settings.CollapseWindow; i-- {
		sum += srv.coldArrivals[i].work
	}
	windowCapacity := float64(r.settings.CollapseWindow) * float64(srv.cores) * srv.speed * r.warmupFactor(srv)
	maxRequests := r.settings.CollapseMultiple * windowCapacity / float64(r.config.meanWork())
	r.result.ColdRequestRatio = max(r.result.ColdRequestRatio, float64(sum)/float64(r.config.meanWork())/(maxRequests+2*math.Sqrt(maxRequests)+2))
	r.result.ColdWorkRatio = max(r.result.ColdWorkRatio, float64(sum)/(1.1*r.settings.CollapseMultiple*windowCapacity+float64(2*work)))
	if float64(sum) > 1.1*r.settings.CollapseMultiple*windowCapacity+float64(2*work) {
		srv.collapsed = true
		r.result.Collapsed++
		r.judge.ServerCollapsed(r.now, srv.id, fmt.Sprintf("%v of work in %v", sum, r.settings.CollapseWindow))
		return true
	}
	return false
}

// stopServer ends a server's process.
func (r *run) stopServer(srv *server) {
	if srv.down {
		return
	}
	srv.down = true
	srv.incarnation++
	for _, attempt := range srv.queue {
		r.cutAttempt(attempt)
	}
	srv.queue, srv.busyCores, srv.inFlight, srv.backlog, srv.meanInFlight, srv.congestedUntil = nil, 0, 0, 0, 0, 0
	// Running attempts are cut as well: their nodes find the connection broken.
	nodes := r.nodes
	if srv.tier > 0 {
		nodes = r.lowerNodes
	}
	for _, n := range nodes {
		for _, id := range sortedIDs(n.requests) {
			for _, attempt := range n.requests[id].attempts {
				if attempt.server == srv && attempt.arrived && !attempt.reported && attempt.serverIncarnation == srv.incarnation-1 && attempt.judgeID != -2 {
					r.cutAttempt(attempt)
				}
			}
		}
	}
	r.publish(srv, decide.Removed)
}

// cutAttempt ends an attempt that has arrived because its server's process ended.
func (r *run) cutAttempt(attempt *serverAttempt) {
	r.recordEnd(attempt, judge.ConnectionCut)
	attempt.judgeID = min(attempt.judgeID, -2)
	r.reportAfterLatency(attempt, decide.ConnectionLost)
}

// restartServer starts a server's process again, cold.
func (r *run) restartServer(srv *server) {
	if !srv.down || srv.collapsed {
		return
	}
	srv.down, srv.started, srv.coldArrivals = false, r.balancerTime(r.now), nil
	r.publish(srv, decide.Healthy)
}
