package virtual

import (
	"fmt"
	"math"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// come is the arrival of an attempt at its box.
func (r *run) handleArrival(t *serverAttempt, way time.Duration, life int) {
	b := t.server
	if b.down {
		r.after(way, func() { r.reportOutcome(t, life, decide.ConnectFailed) })
		return
	}
	b.attempts++
	b.attemptsThisSecond++
	if t.request.judgeKey != "" {
		t.judgeID = r.judge.AttemptArrived(r.now, t.request.judgeKey, b.id, t.request.judgeKey)
	}
	t.serverIncarnation = b.incarnation
	switch {
	case b.failsFast:
		r.recordEnd(t, judge.Errored)
		r.after(way, func() { r.reportOutcome(t, life, decide.Errored) })
		return
	case b.rejectsAll || b.inFlight >= b.maxRequests || t.abandoned:
		r.recordEnd(t, judge.Rejected)
		r.after(way, func() { r.reportOutcome(t, life, decide.Rejected) })
		return
	}
	if r.collapses(b, r.config.Classes[t.request.class].Work) {
		r.stopServer(b)
		r.after(way, func() { r.reportOutcome(t, life, decide.ConnectionLost) })
		return
	}
	r.updateCongestion(b)
	b.inFlight++
	b.backlog += t.work
	t.lowerCallsLeft = 0
	if b.lowerNode != nil {
		t.lowerCallsLeft = r.config.CallsPerRequest
	}
	b.queue = append(b.queue, t)
	r.dispatch(b, way, life)
}

// work lets a box's free cores take what waits.
func (r *run) dispatch(b *server, way time.Duration, life int) {
	for b.busyCores < b.cores && len(b.queue) > 0 {
		t := b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
		if t.abandoned && !t.started { // dropped unseen
			b.inFlight--
			b.backlog -= t.work
			continue
		}
		if !t.started {
			t.started = true
			if t.judgeID >= 0 && r.firstExecution(t) {
				r.judge.AttemptExecuted(r.now, t.request.judgeKey, t.judgeID)
			}
		}
		b.busyCores++
		took := time.Duration(float64(t.work) * b.currentSlowdown(r) / (b.speed * r.warmupFactor(b)))
		process := b.incarnation
		owner := t.node.incarnation
		r.after(took, func() {
			if b.incarnation != process {
				return
			}
			b.busyCores--
			if t.lowerCallsLeft > 0 {
				r.callLowerTier(t, way, owner)
			} else {
				r.reply(t, way, owner, true)
			}
			r.dispatch(b, way, life)
		})
	}
}

// first tells whether a box's rack has not seen a keyed request within its window.
func (r *run) firstExecution(t *serverAttempt) bool {
	class := &r.config.Classes[t.request.class]
	if class.Idempotency != decide.Keyed {
		return true
	}
	key := fmt.Sprintf("%d/%d/%s", t.server.tier, r.rack(t.server), t.request.judgeKey)
	if at, ok := r.keyExecutedAt[key]; ok && r.now-at < class.KeyTTL {
		return false
	}
	r.keyExecutedAt[key] = r.now
	return true
}

// callBelow makes the next call of a task to the second tier: it keeps its slot, no core.
func (r *run) callLowerTier(t *serverAttempt, way time.Duration, life int) {
	b := t.server
	process := b.incarnation
	left := t.request.startedAt + t.request.ttl - r.now
	if left < time.Millisecond {
		r.reply(t, way, life, false)
		return
	}
	if b.stuck { // until the request's time is up
		r.after(left, func() {
			if b.incarnation == process {
				r.reply(t, way, life, false)
			}
		})
		return
	}
	r.submit(b.lowerNode, t.request.class, t.request.work, left, false, func(e judge.RequestOutcome, _ time.Duration) {
		if b.incarnation != process {
			return
		}
		t.lowerCallsLeft--
		switch {
		case e != judge.Served:
			r.reply(t, way, life, false)
		case t.lowerCallsLeft > 0:
			r.callLowerTier(t, way, life)
		default:
			r.reply(t, way, life, true)
		}
	})
}

// reply ends a task at its box.
func (r *run) reply(t *serverAttempt, way time.Duration, life int, good bool) {
	b := t.server
	r.updateCongestion(b)
	b.inFlight--
	b.backlog -= t.work
	result, how := decide.Served, judge.Succeeded
	if !good {
		result, how = decide.Errored, judge.Errored
	}
	r.recordEnd(t, how)
	switch {
	case r.unreachable(t.node, b) || r.answerLoss > 0 && r.rng.Float64() < r.answerLoss:
		return // the node waits until the attempt's time is up
	case r.resetShare > 0 && r.rng.Float64() < r.resetShare:
		result = decide.ConnectionLost
	}
	r.after(way, func() { r.reportOutcome(t, life, result) })
}

// warmth is the part of its capacity that a box has.
func (r *run) warmupFactor(b *server) float64 {
	if b.started == 0 || r.config.WarmupTime <= 0 {
		return 1
	}
	age := float64(r.balancerTime(r.now)-b.started) / float64(r.config.WarmupTime)
	return min(1, r.config.ColdCapacity+(1-r.config.ColdCapacity)*age)
}

// slow is how many times slower a box is now.
func (b *server) currentSlowdown(r *run) float64 {
	if b.congestedUntil > r.now {
		return b.slowdown * r.config.Congestion.Slowdown
	}
	return b.slowdown
}

// mean follows what a box holds, and chokes it.
func (r *run) updateCongestion(b *server) {
	c := r.config.Congestion
	if c == nil {
		return
	}
	part := math.Exp(-float64(r.now-b.meanUpdatedAt) / float64(c.AveragingTime))
	b.meanInFlight = b.meanInFlight*part + float64(b.inFlight)*(1-part)
	b.meanUpdatedAt = r.now
	limit := float64(b.cores) + c.Threshold*math.Sqrt(float64(b.cores))
	if b.congestedUntil <= r.now && b.meanInFlight > limit {
		b.congestedUntil = r.now + c.MaxDuration
	} else if b.congestedUntil > r.now && b.meanInFlight < float64(b.cores)*0.3 {
		b.congestedUntil = r.now
	}
}

// tooMuch books work sent to a cold box, and tells whether it falls over. What
// counts is the mean work of the class, as no node can know a request's own, and
// there is room for chance: a tenth, and two requests.
func (r *run) collapses(b *server, work time.Duration) bool {
	if r.warmupFactor(b) >= 1 {
		b.coldArrivals = nil
		return false
	}
	r.result.ColdAttempts++
	b.coldArrivals = append(b.coldArrivals, arrival{r.now, work})
	sum := time.Duration(0)
	for i := len(b.coldArrivals) - 1; i >= 0 && r.now-b.coldArrivals[i].at < r.settings.CollapseWindow; i-- {
		sum += b.coldArrivals[i].work
	}
	can := float64(r.settings.CollapseWindow) * float64(b.cores) * b.speed * r.warmupFactor(b)
	calls := r.settings.CollapseMultiple * can / float64(r.config.meanWork())
	r.result.ColdRequestRatio = max(r.result.ColdRequestRatio, float64(sum)/float64(r.config.meanWork())/(calls+2*math.Sqrt(calls)+2))
	r.result.ColdWorkRatio = max(r.result.ColdWorkRatio, float64(sum)/(1.1*r.settings.CollapseMultiple*can+float64(2*work)))
	if float64(sum) > 1.1*r.settings.CollapseMultiple*can+float64(2*work) {
		b.collapsed = true
		r.result.Collapsed++
		r.judge.ServerCollapsed(r.now, b.id, fmt.Sprintf("%v of work in %v", sum, r.settings.CollapseWindow))
		return true
	}
	return false
}

// down ends a box's process.
func (r *run) stopServer(b *server) {
	if b.down {
		return
	}
	b.down = true
	b.incarnation++
	for _, t := range b.queue {
		r.cutAttempt(t)
	}
	b.queue, b.busyCores, b.inFlight, b.backlog, b.meanInFlight, b.congestedUntil = nil, 0, 0, 0, 0, 0
	// What ran is cut as well: its node finds the connection broken.
	nodes := r.nodes
	if b.tier > 0 {
		nodes = r.lowerNodes
	}
	for _, n := range nodes {
		for _, id := range sortedIDs(n.requests) {
			for _, t := range n.requests[id].attempts {
				if t.server == b && !t.reported && t.serverIncarnation == b.incarnation-1 && t.judgeID != -2 {
					r.cutAttempt(t)
				}
			}
		}
	}
	r.publish(b, decide.Removed)
}

func (r *run) cutAttempt(t *serverAttempt) {
	r.recordEnd(t, judge.ConnectionCut)
	t.judgeID = min(t.judgeID, -2)
	life := t.node.incarnation
	r.after(r.config.SiteLatency, func() { r.reportOutcome(t, life, decide.ConnectionLost) })
}

// up starts a box's process again, cold.
func (r *run) restartServer(b *server) {
	if !b.down || b.collapsed {
		return
	}
	b.down, b.started, b.coldArrivals = false, r.balancerTime(r.now), nil
	r.publish(b, decide.Healthy)
}
