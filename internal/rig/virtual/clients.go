package virtual

import (
	"math"
	"strconv"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// scheduleArrival schedules the next new request.
func (r *run) scheduleArrival() {
	delay := time.Duration(r.rng.ExpFloat64() / (r.config.Rate * r.rateFactor) * float64(time.Second))
	if r.now+delay >= r.config.Duration {
		return
	}
	r.after(delay, func() {
		r.startRequest()
		r.scheduleArrival()
	})
}

// startRequest simulates a client that sends a request, with its retries.
func (r *run) startRequest() {
	draw, class := r.rng.Float64(), 0
	sum := 0.0
	for _, c := range r.config.Classes {
		sum += c.Share
	}
	for draw *= sum; draw >= r.config.Classes[class].Share && class < len(r.config.Classes)-1; class++ {
		draw -= r.config.Classes[class].Share
	}
	kind := &r.config.Classes[class]
	work := float64(kind.Work)
	if kind.Spread > 0 {
		variance := math.Log(1 + kind.Spread*kind.Spread)
		work *= math.Exp(r.rng.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	if r.rng.Float64() < kind.HeavyShare {
		work *= kind.HeavyFactor
	}
	result := &r.result.Classes[class]
	result.Requests++
	r.openRequests++
	startedAt, attempts := r.now, 0
	nodeIndex := r.rng.IntN(len(r.nodes))
	site := &r.worthBySite[r.nodes[nodeIndex].site]
	site[1] += kind.Worth
	var attempt func()
	finish := func(outcome judge.RequestOutcome) {
		r.openRequests--
		responseTime := r.now - startedAt
		switch {
		case outcome == judge.Served && responseTime <= kind.LatencyTarget:
			site[0] += kind.Worth
			result.Served++
			result.totalResponseTime += responseTime
		case outcome == judge.Served:
			result.Late++
			result.totalResponseTime += responseTime
		case outcome == judge.Refused:
			result.Refused++
		default:
			result.Failed++
		}
	}
	attempt = func() {
		n := r.nodes[nodeIndex%len(r.nodes)]
		for i := 0; n.dead && i < len(r.nodes); i++ {
			nodeIndex++
			n = r.nodes[nodeIndex%len(r.nodes)]
		}
		remaining := kind.Deadline - (r.now - startedAt)
		if remaining < time.Millisecond || n.dead {
			finish(judge.Failed)
			return
		}
		attempts++
		result.ClientAttempts++
		isRetry := attempts > 1
		r.submit(n, class, time.Duration(work), remaining, isRetry, func(outcome judge.RequestOutcome, retryAfter time.Duration) {
			if outcome == judge.Refused && r.wouldServeInTime(n, class, time.Duration(work), startedAt) {
				result.WrongRefusals++
			}
			if outcome == judge.Served || attempts > r.config.Retries {
				finish(outcome)
				return
			}
			delay := r.config.Backoff
			if !r.config.NoJitter {
				delay = time.Duration((0.5 + r.rng.Float64()) * float64(delay))
			}
			delay = max(delay, retryAfter)
			if r.now+delay-startedAt >= kind.Deadline {
				finish(outcome)
				return
			}
			nodeIndex++
			r.after(delay, attempt)
		})
	}
	attempt()
}

// wouldServeInTime reports whether a randomly chosen server, in its current state, would have answered a refused
// request within the latency target.
func (r *run) wouldServeInTime(n *node, class int, work time.Duration, startedAt time.Duration) bool {
	srv := r.servers[0][r.rng.IntN(len(r.servers[0]))]
	if srv.down || srv.rejectsAll || srv.inFlight >= srv.maxRequests {
		return false
	}
	coreSpeed := srv.speed * r.warmupFactor(srv) / srv.currentSlowdown(r)
	responseTime := float64(srv.backlog)/float64(srv.cores)/coreSpeed + float64(work)/coreSpeed
	return r.now-startedAt+time.Duration(responseTime) <= r.config.Classes[class].LatencyTarget
}

// submit passes a request to a node.
func (r *run) submit(n *node, class int, work, ttl time.Duration, isRetry bool, done func(judge.RequestOutcome, time.Duration)) {
	n.nextRequestID++
	req := &nodeRequest{id: n.nextRequestID, class: class, work: work, startedAt: r.now, ttl: ttl, done: done}
	if r.nextRequestKey++; r.config.JudgeEvery <= 1 || r.nextRequestKey%uint64(r.config.JudgeEvery) == 0 {
		req.judgeKey = strconv.FormatUint(r.nextRequestKey, 36)
		r.judge.RequestSent(r.now, req.judgeKey, class, n.name, ttl)
	}
	n.requests[req.id] = req
	const margin = 10 * time.Millisecond
	r.perform(n, n.balancer.HandleRequest(r.balancerTime(r.now), decide.Request{
		ID: req.id, Class: class, Tenant: -1, TTL: max(0, ttl-margin), IsRetry: isRetry,
	}, n.actionBuffer[:0]))
	if !req.answered {
		incarnation := n.incarnation
		r.after(max(0, ttl-margin/2), func() {
			if !req.answered && n.incarnation == incarnation { // as real nodes do, in place of the balancer
				r.finishRequest(n, req, judge.Failed, 0, "")
				r.perform(n, n.balancer.HandleDisconnect(r.balancerTime(r.now), decide.Disconnect{Request: req.id}, n.actionBuffer[:0]))
			}
		})
	}
}

// finishRequest ends a request.
func (r *run) finishRequest(n *node, req *nodeRequest, outcome judge.RequestOutcome, retryAfter time.Duration, serverID string) {
	if req.answered {
		return
	}
	req.answered = true
	delete(n.requests, req.id)
	if req.judgeKey != "" {
		r.judge.RequestEnded(r.now, req.judgeKey, outcome, serverID)
	}
	req.done(outcome, retryAfter)
}
