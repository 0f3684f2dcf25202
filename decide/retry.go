package decide

import (
	"time"
)

// When an attempt goes out, when another follows, and when a request gets its final answer.

const (
	usualTimes = 4                      // mean response times: all answers but few come sooner
	usualLeast = 0.1                    // aims that the mean is taken to be, at the least
	gapLeast   = 100 * time.Millisecond // connections idle for less are never in question
	gapProof   = 2                      // lost sends that prove it, where they outnumber the answered
)

// send gives a call its next attempt, or holds it until a server may take it.
func (b *Balancer) send(c *call) {
	left := c.until - b.now
	if left <= 0 || b.forgotten(c, b.now) { // also while it is held
		b.end(c, b.outOfTime(c, left))
		return
	}
	s := b.pick(c)
	if c.held = s == nil; c.held {
		if c.open == 0 { // a second copy does not wait
			b.act(Action{Kind: StartTimer, Token: c.ID, Wait: min(holdStep, left)})
		}
		return
	}
	if b.cold(s) < 1 && !s.spend(b.now) {
		s.tokens--
	}
	s.inflight++
	s.zone.inflight++
	if c.bounds.AttemptTimeout > 0 {
		left = min(left, c.bounds.AttemptTimeout)
	}
	due := b.usually(c)
	a := attempt{server: s, sent: b.now, due: b.now + due, span: b.connect(s)}
	copying := c.bounds.HedgeAfter
	if copying > 0 && copying < left && c.open == 0 && b.set.Classes[c.Class].Idempotency == Idempotent {
		a.copyAt = b.now + copying
	}
	c.attempts = append(c.attempts, a)
	c.open++
	act := Action{Kind: Send, Request: c.ID, Server: s.ID, Wait: left}
	if class := &b.set.Classes[c.Class]; c.ran && class.Idempotency == Keyed { // it may wait for a connection
		act.SendWithin = max(1, class.KeyTTL*9/10-(b.now-c.ranAt))
	}
	b.act(act)
	if a.span >= 0 && due < left {
		b.act(Action{Kind: StartTimer, Token: c.ID, Wait: due})
	}
	if a.copyAt > 0 {
		b.act(Action{Kind: StartTimer, Token: c.ID, Wait: copying})
	}
}

// outOfTime is why a call that can wait no longer gets no further attempt.
func (b *Balancer) outOfTime(c *call, left time.Duration) Reason {
	switch {
	case c.held:
		return NoServer
	case left <= 0:
		return DeadlineExceeded
	}
	return KeyExpired
}

// forgotten tells whether the servers may have dropped a keyed call's key by then, some time kept in hand.
func (b *Balancer) forgotten(c *call, then time.Duration) bool {
	class := &b.set.Classes[c.Class]
	return c.ran && class.Idempotency == Keyed && then-c.ranAt > class.KeyTTL*9/10
}

// connect takes the connection for a send and returns the span of its idle time. Connections that idled for
// as long as those that proved dead are closed first: a new one costs a handshake, a dead one the request.
// It acts only while sends after such idle times are lost more often than answered, at whatever servers: one
// server that hangs does not make it so.
func (b *Balancer) connect(s *server) int {
	if len(s.idle) == 0 {
		return -1
	}
	gap := b.now - s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	if b.set.ConnIdleTimeout > 0 && gap >= b.set.ConnIdleTimeout {
		s.idle = s.idle[:0] // closed by itself, and so are those that idled for longer
		return -1
	}
	span := -1
	for d := gapLeast; gap >= d && span < gapSpans-1; d *= 2 {
		span++
	}
	if span >= b.stale {
		s.idle = s.idle[:0]
		b.act(Action{Kind: CloseIdle, Server: s.ID})
		return -1
	}
	return span
}

// idled books whether a send on an idle connection was lost, and finds the shortest idle time after which
// they are dead.
func (b *Balancer) idled(a *attempt, lost bool) {
	if a.span >= 0 && lost {
		b.gaps[a.span].lost++
	} else if a.span >= 0 {
		b.gaps[a.span].answered++
	}
	var sum idling
	b.stale = gapSpans
	for i := gapSpans - 1; i >= 0; i-- {
		g := b.gaps[i]
		sum.lost, sum.answered = sum.lost+g.lost, sum.answered+g.answered
		if sum.lost >= gapProof && sum.lost > sum.answered && g.lost > g.answered {
			b.stale = i
		}
	}
}

// usually is the time that all answers but few take.
func (b *Balancer) usually(c *call) time.Duration {
	return time.Duration(usualTimes * max(b.late, usualLeast) * float64(b.aim(&c.Request)))
}

// overdue looks for attempts that have had no answer in the usual time. One sent on a connection that proves
// dead hardly reached the server: a second copy goes out where that is harmless, within the retry budget.
// Copies of what is merely slow cost more than they save: the first goes on running.
func (b *Balancer) overdue(c *call) {
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.done && a.copyAt > 0 && b.now >= a.copyAt {
			a.copyAt = 0
			if b.mayCopy(c, a) {
				b.retryBudget--
				b.maybeRan(c, a)
				b.send(c)
				return
			}
		}
		if a.done || a.overdue || b.now < a.due {
			continue
		}
		a.overdue = true
		if b.idled(a, true); a.span >= b.stale && b.mayCopy(c, a) {
			b.retryBudget--
			b.maybeRan(c, a)
			b.send(c)
			return
		}
	}
}

// mayCopy tells whether a second copy of an attempt may go out.
func (b *Balancer) mayCopy(c *call, a *attempt) bool {
	class := &b.set.Classes[c.Class]
	since := a.sent
	if c.ran {
		since = c.ranAt
	}
	return b.set.MayHedge && class.Idempotency != AtMostOnce && c.open == 1 && len(c.attempts) < b.most(c) &&
		b.retryBudget >= 1 && c.until > b.now && (class.Idempotency != Keyed || b.now-since < class.KeyTTL*9/10)
}

// most is the number of attempts that a call may have.
func (b *Balancer) most(c *call) int {
	most := b.set.MaxAttempts
	if c.bounds.MaxAttempts > 0 {
		most = min(most, c.bounds.MaxAttempts)
	}
	if c.Budgeted {
		most = min(most, 1+c.ExtraAttempts)
	}
	return most
}

// backoff is the wait before a call's next attempt.
func (b *Balancer) backoff(c *call) time.Duration {
	wait := c.bounds.BackoffInitial << min(len(c.attempts)-1, 16)
	if most := c.bounds.BackoffMax; most > 0 {
		wait = min(wait, most)
	}
	return wait - time.Duration(c.bounds.BackoffJitter*b.rng.Float64()*float64(wait))
}

// maybeRan notes that an attempt may have run.
func (b *Balancer) maybeRan(c *call, a *attempt) {
	if !c.ran {
		c.ran, c.ranAt, c.ranOn = true, a.sent, a.server
	}
}

// again decides between a further attempt and giving up.
func (b *Balancer) again(c *call) {
	class := &b.set.Classes[c.Class]
	// Drawn on also where nothing ran: tries turned away by a full tier multiply from tier to tier into the
	// storm that keeps it full. Those that found no connection reached no server's queue, and are free.
	last := c.attempts[len(c.attempts)-1].result
	free := last == ConnectFailed
	allowed := c.bounds.RetryOn == 0 || c.bounds.RetryOn&last.Bit() != 0
	stop := NoReason
	switch {
	case len(c.attempts) >= b.most(c):
		stop = OutOfAttempts
	case b.now >= c.until:
		stop = DeadlineExceeded
	case !free && b.retryBudget < 1:
		stop = OutOfRetryBudget
	case c.ran && class.Idempotency == AtMostOnce:
		stop = MayHaveRun
	case !allowed:
		stop = RouteDisallowsRetry
	}
	wait := time.Duration(0)
	if stop == NoReason && c.bounds.BackoffInitial > 0 {
		// What would come too late after the wait is given up now.
		wait = b.backoff(c)
		if b.now+wait >= c.until {
			stop = DeadlineExceeded
		} else if b.forgotten(c, b.now+wait) {
			stop = KeyExpired
		}
	}
	if stop != NoReason {
		b.end(c, stop)
		return
	}
	if !free {
		b.retryBudget--
	}
	if wait > 0 {
		c.resume = b.now + wait
		b.act(Action{Kind: StartTimer, Token: c.ID, Wait: wait})
		return
	}
	b.send(c)
}

// end gives the final answer. A refusal is a promise that trying again is harmless, so it is given only
// where that is true.
func (b *Balancer) end(c *call, why Reason) {
	class := &b.set.Classes[c.Class]
	harmless := !c.ran || class.Idempotency == Idempotent ||
		class.Idempotency == Keyed && class.Group == GroupAll && !b.forgotten(c, b.now)
	if harmless && b.now < c.until {
		wait := b.retryAfter(c.bounds, b.aim(&c.Request)-(b.now-c.arrived))
		if c.ran && class.Idempotency == Keyed { // the client must be back while its key is known
			wait = min(wait, class.KeyTTL*9/10-(b.now-c.ranAt))
		}
		b.act(Action{Kind: Refuse, Request: c.ID, Wait: wait, Reason: why})
	} else {
		b.act(Action{Kind: Fail, Request: c.ID, Reason: why})
	}
	b.drop(c, b.aim(&c.Request))
	b.release(c)
}

// drop forgets a finished call and books its response time, in units of its aim. One that was not served
// counts as least at its aim: else quick failures would read as a quick service and let in more.
func (b *Balancer) drop(c *call, least time.Duration) {
	delete(b.calls, c.ID)
	aim := float64(max(1, b.aim(&c.Request)))
	b.held = max(0, b.held-1/aim)
	b.sum += float64(max(0, least-(b.now-c.arrived))) / aim
	b.count++
}

// cancel calls off what a finished call has out.
func (b *Balancer) cancel(c *call) {
	for i := range c.attempts {
		if b.set.MayCancel && !c.attempts[i].done {
			b.act(Action{Kind: Cancel, Request: c.ID, Attempt: i})
		}
	}
}
