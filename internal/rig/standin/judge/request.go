package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// requestCheck checks one request.
type requestCheck struct {
	*Judge
	*request
	verdict *Verdict
	now     time.Duration
}

func (c *requestCheck) addBreach(rule int, at time.Duration, format string, args ...any) {
	c.verdict.Breaches = append(c.verdict.Breaches, Breach{
		Rule: rule, What: fmt.Sprintf(format, args...), Request: c.id, At: at, History: c.history(),
	})
}

// isLate reports whether an event missed its limit by more than the tolerance and the machine's delays near
// it. An event within these delays is counted as excused.
func (c *requestCheck) isLate(limit, at time.Duration) bool {
	excess := at - limit - c.rules.Tolerance
	if excess <= 0 {
		return false
	}
	delayed := time.Duration(0)
	from, _ := slices.BinarySearchFunc(c.delays, limit-2*time.Second, func(d delay, t time.Duration) int {
		return cmp.Compare(d.at, t)
	})
	for _, d := range c.delays[from:] {
		if d.at > at+2*time.Second {
			break
		}
		delayed += d.length
	}
	if excess <= 2*delayed { // the delay of this process and the same in a node
		c.verdict.Excused++
		return false
	}
	return true
}

// checkAnswer checks rule 1: each request gets one final answer in time, made by a server that answered one
// of its attempts, and no attempt is sent after the answer.
func (c *requestCheck) checkAnswer() {
	killed := false
	end := c.endedAt
	if c.outcome == Unanswered {
		end = c.now
	}
	for _, at := range c.kills[c.node] {
		killed = killed || at >= c.sentAt-c.rules.Tolerance && at <= end+c.rules.Tolerance
	}
	limit := c.sentAt + c.timeout
	paused := false
	for _, pause := range c.pauses[c.node] {
		paused = paused || pause[0] <= end+c.rules.Tolerance && pause[1] >= c.sentAt-c.rules.Tolerance
	}
	switch {
	case killed:
	case paused && (c.outcome == ClientLeft || c.outcome != Unanswered && c.outcome != ConnectionLost && c.endedAt > limit):
		c.verdict.Excused++
	case c.outcome == Unanswered:
		if c.isLate(limit, c.now) {
			c.addBreach(1, c.now, "no final answer")
		}
	case c.outcome == ConnectionLost:
		c.addBreach(1, c.endedAt, "the connection ended without a whole answer")
	case c.outcome == ClientLeft && c.isLate(limit, c.endedAt):
		c.addBreach(1, c.endedAt, "no final answer in %v: the caller gave up", c.timeout)
	case c.isLate(limit, c.endedAt):
		c.addBreach(1, c.endedAt, "answered %v after %v, its caller waits for %v", c.outcome, c.endedAt-c.sentAt, c.timeout)
	}
	if c.outcome == Served && !slices.ContainsFunc(c.attempts, func(a attempt) bool {
		return a.server == c.answeredBy && a.outcome == Succeeded
	}) {
		c.addBreach(1, c.endedAt, "served with an answer of box %q, which answered no attempt of it", c.answeredBy)
	}
	if c.outcome == Unanswered || c.outcome == ConnectionLost || killed {
		return
	}
	for _, a := range c.attempts {
		if a.arrivedAt > c.endedAt && c.isLate(c.endedAt, a.arrivedAt) {
			c.addBreach(1, a.arrivedAt, "box %s got it %v after its final answer", a.server, a.arrivedAt-c.endedAt)
		}
	}
}

// checkAttempts checks rule 2: no more attempts than allowed, no overlapping ones unless hedging is allowed,
// and no repeated execution.
func (c *requestCheck) checkAttempts() {
	class := c.rules.Classes[c.class]
	if len(c.attempts) > c.rules.MaxAttempts {
		c.addBreach(2, c.attempts[len(c.attempts)-1].arrivedAt, "%d attempts, at most %d are allowed", len(c.attempts), c.rules.MaxAttempts)
	}
	effects := 0
	mayHaveRun := -1 // index of the first attempt that may have been executed
	for i, a := range c.attempts {
		for _, b := range c.attempts[:i] {
			overlaps := b.outcome == InProgress || b.endedAt > a.arrivedAt && c.isLate(a.arrivedAt, b.endedAt)
			if overlaps && !(c.rules.AllowHedging && class.Idempotency == Idempotent) {
				c.addBreach(2, a.arrivedAt, "two attempts out at once: at %s and %s", b.server, a.server)
			}
		}
		if mayHaveRun >= 0 {
			c.checkRepeat(class, &c.attempts[mayHaveRun], &a)
		}
		if a.outcome != Rejected && mayHaveRun < 0 {
			mayHaveRun = i
		}
		if effects += a.effects; a.effects > 0 && effects > 1 && class.Idempotency != Idempotent {
			c.addBreach(2, a.ranAt, "its effect happened %d times", effects)
		}
	}
	if c.outcome == Refused && mayHaveRun >= 0 &&
		(class.Idempotency == AtMostOnce || class.Idempotency == Keyed && class.Group != GroupAll) {
		c.addBreach(2, c.endedAt, "refused though the attempt at %s may have run", c.attempts[mayHaveRun].server)
	}
}

// checkRepeat checks an attempt after one that may have been executed.
func (c *requestCheck) checkRepeat(class Class, first, a *attempt) {
	switch class.Idempotency {
	case AtMostOnce:
		c.addBreach(2, a.arrivedAt, "sent to %s though the attempt at %s may have run", a.server, first.server)
	case Keyed:
		if c.isLate(first.arrivedAt+class.KeyTTL, a.arrivedAt) {
			c.addBreach(2, a.arrivedAt, "repeated %v after the first, boxes drop repeats for %v", a.arrivedAt-first.arrivedAt, class.KeyTTL)
		}
		firstLocation, location := c.locations[first.server], c.locations[a.server]
		if class.Group == GroupSite && firstLocation.Site != location.Site || class.Group == GroupRack && firstLocation != location {
			c.addBreach(2, a.arrivedAt, "repeated at %s, which does not drop repeats of what ran at %s", a.server, first.server)
		}
	}
}
