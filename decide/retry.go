package decide

import (
	"slices"
	"time"
)

// Attempts, retries and the final response of a request.

const (
	overdueFactor  = 4                      // multiple of the mean response time that few responses exceed
	minMeanLatency = 0.1                    // lower bound of the mean, in latency targets
	minIdleTime    = 100 * time.Millisecond // connections idle for less are always usable
	minLostSends   = 2                      // mark an idle time as stale if they outnumber the answered
)

// send makes a call's next attempt, or holds the call until a server is available.
func (b *Balancer) send(c *call) {
	left := c.giveUpAt - b.now
	if left <= 0 || b.keyExpired(c, b.now) { // also for held calls
		b.finishUnserved(c, b.expiryReason(c, left))
		return
	}
	s := b.pickServer(c)
	if c.waiting = s == nil; c.waiting {
		if c.openAttempts == 0 { // a hedged attempt does not wait
			b.emit(Action{Kind: StartTimer, Token: c.ID, Wait: min(holdInterval, left)})
		}
		return
	}
	if b.capacityFraction(s) < 1 && !s.spendGrant(b.now) {
		s.tokens--
	}
	s.inflight++
	s.zone.inflight++
	if c.policy.AttemptTimeout > 0 {
		left = min(left, c.policy.AttemptTimeout)
	}
	overdueAfter := b.overdueAfter(c)
	a := attempt{server: s, sentAt: b.now, dueAt: b.now + overdueAfter, idleBucket: b.takeConnection(s)}
	hedgeAfter := c.policy.HedgeAfter
	if hedgeAfter > 0 && hedgeAfter < left && c.openAttempts == 0 &&
		b.cfg.Classes[c.Class].Idempotency == Idempotent {
		a.hedgeAt = b.now + hedgeAfter
	}
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	action := Action{Kind: Send, Request: c.ID, Server: s.ID, Wait: left}
	if class := &b.cfg.Classes[c.Class]; c.mayHaveRun && class.Idempotency == Keyed {
		// It may have to wait for a connection.
		action.SendWithin = max(1, class.KeyTTL*9/10-(b.now-c.mayHaveRunAt))
	}
	b.emit(action)
	if a.idleBucket >= 0 && overdueAfter < left {
		b.emit(Action{Kind: StartTimer, Token: c.ID, Wait: overdueAfter})
	}
	if a.hedgeAt > 0 {
		b.emit(Action{Kind: StartTimer, Token: c.ID, Wait: hedgeAfter})
	}
}

// expiryReason returns why a call that has expired gets no further attempt.
func (b *Balancer) expiryReason(c *call, left time.Duration) Reason {
	switch {
	case c.waiting:
		return NoServer
	case left <= 0:
		return DeadlineExceeded
	}
	return KeyExpired
}

// keyExpired reports whether servers may have dropped a keyed call's key at a time, with a safety margin.
func (b *Balancer) keyExpired(c *call, at time.Duration) bool {
	class := &b.cfg.Classes[c.Class]
	return c.mayHaveRun && class.Idempotency == Keyed && at-c.mayHaveRunAt > class.KeyTTL*9/10
}

// takeConnection takes the connection for a send and returns the bucket of its idle time. Connections that
// have been idle for as long as those found dead are closed first: a new connection costs a handshake, a
// dead one loses the request. This applies only while more sends after such idle times are lost than
// answered over all servers, so that a single hanging server does not cause it.
func (b *Balancer) takeConnection(s *server) int {
	if len(s.idleConns) == 0 {
		return -1
	}
	// If none has settled, the request waits for the one that does so first.
	used := max(0, b.settledConn(s))
	idleTime := b.now - s.idleConns[used]
	if b.cfg.ConnIdleTimeout > 0 && idleTime >= b.cfg.ConnIdleTimeout {
		s.idleConns = slices.Delete(s.idleConns, 0, used+1) // closed by the time-out, as were all before it
		return -1
	}
	s.idleConns = slices.Delete(s.idleConns, used, used+1)
	bucket := -1
	for bound := minIdleTime; idleTime >= bound && bucket < idleBuckets-1; bound *= 2 {
		bucket++
	}
	if bucket >= b.staleBucket {
		s.idleConns = s.idleConns[:0]
		b.emit(Action{Kind: CloseIdle, Server: s.ID})
		return -1
	}
	return bucket
}

// settledConn returns the index of the idle connection that is used next, the last one that has settled, or
// -1 if there is none.
func (b *Balancer) settledConn(s *server) int {
	for i := len(s.idleConns) - 1; i >= 0; i-- {
		if b.now-s.idleConns[i] >= b.cfg.ConnSettleTime {
			return i
		}
	}
	return -1
}

// recordIdleSend counts whether a send on an idle connection was lost, and finds the shortest idle time
// after which connections are dead.
func (b *Balancer) recordIdleSend(a *attempt, lost bool) {
	if a.idleBucket >= 0 && lost {
		b.idleStats[a.idleBucket].lost++
	} else if a.idleBucket >= 0 {
		b.idleStats[a.idleBucket].answered++
	}
	var sum idleStat
	b.staleBucket = idleBuckets
	for i := idleBuckets - 1; i >= 0; i-- {
		stat := b.idleStats[i]
		sum.lost, sum.answered = sum.lost+stat.lost, sum.answered+stat.answered
		if sum.lost >= minLostSends && sum.lost > sum.answered && stat.lost > stat.answered {
			b.staleBucket = i
		}
	}
}

// overdueAfter returns the time that few responses exceed.
func (b *Balancer) overdueAfter(c *call) time.Duration {
	return time.Duration(
		overdueFactor * max(b.meanLatency, minMeanLatency) * float64(b.latencyTarget(&c.Request)))
}

// checkOverdue handles attempts without a response in the usual time. If the connection turns out to be
// dead, the request hardly reached the server, and a hedged attempt is made where that is harmless and the
// retry budget allows it. Hedging requests that are merely slow costs more than it saves, so these just
// continue.
func (b *Balancer) checkOverdue(c *call) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.done && a.hedgeAt > 0 && b.now >= a.hedgeAt {
			a.hedgeAt = 0
			if b.mayHedge(c, a) {
				b.retryBudget--
				b.markMayHaveRun(c, a)
				b.send(c)
				return
			}
		}
		if a.done || a.overdue || b.now < a.dueAt {
			continue
		}
		a.overdue = true
		if b.recordIdleSend(a, true); a.idleBucket >= b.staleBucket && b.mayHedge(c, a) {
			b.retryBudget--
			b.markMayHaveRun(c, a)
			b.send(c)
			return
		}
	}
}

// mayHedge reports whether a hedged attempt may be made.
func (b *Balancer) mayHedge(c *call, a *attempt) bool {
	class := &b.cfg.Classes[c.Class]
	since := a.sentAt
	if c.mayHaveRun {
		since = c.mayHaveRunAt
	}
	return b.cfg.MayHedge && class.Idempotency != AtMostOnce && c.openAttempts == 1 &&
		len(c.attempts) < b.maxAttempts(c) && b.retryBudget >= 1 && c.giveUpAt > b.now &&
		(class.Idempotency != Keyed || b.now-since < class.KeyTTL*9/10)
}

// maxAttempts returns the number of attempts that a call may have.
func (b *Balancer) maxAttempts(c *call) int {
	limit := b.cfg.MaxAttempts
	if c.policy.MaxAttempts > 0 {
		limit = min(limit, c.policy.MaxAttempts)
	}
	if c.Budgeted {
		limit = min(limit, 1+c.ExtraAttempts)
	}
	return limit
}

// backoff returns the wait before a call's next attempt.
func (b *Balancer) backoff(c *call) time.Duration {
	wait := c.policy.BackoffInitial << min(len(c.attempts)-1, 16)
	if limit := c.policy.BackoffMax; limit > 0 {
		wait = min(wait, limit)
	}
	return wait - time.Duration(c.policy.BackoffJitter*b.rng.Float64()*float64(wait))
}

// markMayHaveRun records that an attempt may have run.
func (b *Balancer) markMayHaveRun(c *call, a *attempt) {
	if !c.mayHaveRun {
		c.mayHaveRun, c.mayHaveRunAt, c.mayHaveRunOn = true, a.sentAt, a.server
	}
}

// retryOrFinish decides between another attempt and giving up.
func (b *Balancer) retryOrFinish(c *call) {
	class := &b.cfg.Classes[c.Class]
	// The retry budget also pays for attempts that did not run: those rejected by a full tier multiply from
	// tier to tier and would keep it full. Attempts without a connection reached no server's queue and are
	// free.
	last := c.attempts[len(c.attempts)-1].result
	free := last == ConnectFailed
	allowed := c.policy.RetryOn == 0 || c.policy.RetryOn&last.Bit() != 0
	reason := NoReason
	switch {
	case len(c.attempts) >= b.maxAttempts(c):
		reason = OutOfAttempts
	case b.now >= c.giveUpAt:
		reason = DeadlineExceeded
	case !free && b.retryBudget < 1:
		reason = OutOfRetryBudget
	case c.mayHaveRun && (class.Idempotency == AtMostOnce ||
		class.Idempotency == Keyed && !b.keyGroupKnown(c)):
		reason = MayHaveRun
	case !allowed:
		reason = RouteDisallowsRetry
	}
	wait := time.Duration(0)
	if reason == NoReason && c.policy.BackoffInitial > 0 {
		// Give up now if the attempt would come too late after the wait.
		wait = b.backoff(c)
		if b.now+wait >= c.giveUpAt {
			reason = DeadlineExceeded
		} else if b.keyExpired(c, b.now+wait) {
			reason = KeyExpired
		}
	}
	if reason != NoReason {
		b.finishUnserved(c, reason)
		return
	}
	if !free {
		b.retryBudget--
	}
	if wait > 0 {
		c.notBefore = b.now + wait
		b.emit(Action{Kind: StartTimer, Token: c.ID, Wait: wait})
		return
	}
	b.send(c)
}

// finishUnserved gives the final response of a call that was not served. A refusal promises that a retry is
// harmless, so it is given only if that is true.
func (b *Balancer) finishUnserved(c *call, reason Reason) {
	class := &b.cfg.Classes[c.Class]
	harmless := !c.mayHaveRun || class.Idempotency == Idempotent ||
		class.Idempotency == Keyed && class.Group == GroupAll && !b.keyExpired(c, b.now)
	if harmless && b.now < c.giveUpAt {
		wait := b.retryAfter(c.policy, b.latencyTarget(&c.Request)-(b.now-c.arrived))
		if c.mayHaveRun && class.Idempotency == Keyed { // the client must retry while its key is remembered
			wait = min(wait, class.KeyTTL*9/10-(b.now-c.mayHaveRunAt))
		}
		b.emit(Action{Kind: Refuse, Request: c.ID, Wait: wait, Reason: reason})
	} else {
		b.emit(Action{Kind: Fail, Request: c.ID, Reason: reason})
	}
	b.removeCall(c, b.latencyTarget(&c.Request))
	b.recycleCall(c)
}

// removeCall deletes a finished call and records its response time in units of its latency target. An
// unserved call counts with at least minLatency: otherwise quick failures would look like a fast service and
// admit more.
func (b *Balancer) removeCall(c *call, minLatency time.Duration) {
	delete(b.calls, c.ID)
	target := float64(max(1, b.latencyTarget(&c.Request)))
	b.openLoad = max(0, b.openLoad-1/target)
	b.periodLatency += float64(max(0, minLatency-(b.now-c.arrived))) / target
	b.periodCalls++
}

// cancelAttempts cancels the open attempts of a finished call.
func (b *Balancer) cancelAttempts(c *call) {
	for i := range c.attempts {
		if b.cfg.MayCancel && !c.attempts[i].done {
			b.emit(Action{Kind: Cancel, Request: c.ID, Attempt: i})
		}
	}
}
