package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// requestCheck judges one request.
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

// late tells whether an event came after its limit, by more than the slack and
// what the machine itself was late by.
func (c *requestCheck) isLate(limit, at time.Duration) bool {
	over := at - limit - c.rules.Tolerance
	if over <= 0 {
		return false
	}
	lag := time.Duration(0)
	from, _ := slices.BinarySearchFunc(c.delays, limit-2*time.Second, func(l delay, t time.Duration) int {
		return cmp.Compare(l.at, t)
	})
	for _, l := range c.delays[from:] {
		if l.at > at+2*time.Second {
			break
		}
		lag += l.length
	}
	if over <= 2*lag { // the delay of this process, and as much in a node's
		c.verdict.Excused++
		return false
	}
	return true
}

// answer checks rule 1.
func (c *requestCheck) checkAnswer() {
	died := false
	end := c.endedAt
	if c.outcome == Unanswered {
		end = c.now
	}
	for _, at := range c.kills[c.node] {
		died = died || at >= c.sentAt-c.rules.Tolerance && at <= end+c.rules.Tolerance
	}
	limit := c.sentAt + c.timeout
	stood := false
	for _, x := range c.pauses[c.node] {
		stood = stood || x[0] <= end+c.rules.Tolerance && x[1] >= c.sentAt-c.rules.Tolerance
	}
	switch {
	case died:
	case stood && (c.outcome == ClientLeft || c.outcome != Unanswered && c.outcome != ConnectionLost && c.endedAt > limit):
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
	if c.outcome == Unanswered || c.outcome == ConnectionLost || died {
		return
	}
	for _, a := range c.attempts {
		if a.arrivedAt > c.endedAt && c.isLate(c.endedAt, a.arrivedAt) {
			c.addBreach(1, a.arrivedAt, "box %s got it %v after its final answer", a.server, a.arrivedAt-c.endedAt)
		}
	}
}

// effects checks rule 2.
func (c *requestCheck) checkAttempts() {
	class := c.rules.Classes[c.class]
	if len(c.attempts) > c.rules.MaxAttempts {
		c.addBreach(2, c.attempts[len(c.attempts)-1].arrivedAt, "%d attempts, at most %d are allowed", len(c.attempts), c.rules.MaxAttempts)
	}
	ran := 0
	may := -1 // the first that may have run
	for i, a := range c.attempts {
		for _, b := range c.attempts[:i] {
			out := b.outcome == InProgress || b.endedAt > a.arrivedAt && c.isLate(a.arrivedAt, b.endedAt)
			if out && !(c.rules.AllowHedging && class.Idempotency == Idempotent) {
				c.addBreach(2, a.arrivedAt, "two attempts out at once: at %s and %s", b.server, a.server)
			}
		}
		if may >= 0 {
			c.checkRepeat(class, &c.attempts[may], &a)
		}
		if a.outcome != Rejected && may < 0 {
			may = i
		}
		if ran += a.effects; a.effects > 0 && ran > 1 && class.Idempotency != Idempotent {
			c.addBreach(2, a.ranAt, "its effect happened %d times", ran)
		}
	}
	if c.outcome == Refused && may >= 0 &&
		(class.Idempotency == AtMostOnce || class.Idempotency == Keyed && class.Group != GroupAll) {
		c.addBreach(2, c.endedAt, "refused though the attempt at %s may have run", c.attempts[may].server)
	}
}

// again checks an attempt after one that may have run.
func (c *requestCheck) checkRepeat(class Class, first, a *attempt) {
	switch class.Idempotency {
	case AtMostOnce:
		c.addBreach(2, a.arrivedAt, "sent to %s though the attempt at %s may have run", a.server, first.server)
	case Keyed:
		if c.isLate(first.arrivedAt+class.KeyTTL, a.arrivedAt) {
			c.addBreach(2, a.arrivedAt, "repeated %v after the first, boxes drop repeats for %v", a.arrivedAt-first.arrivedAt, class.KeyTTL)
		}
		here, there := c.locations[first.server], c.locations[a.server]
		if class.Group == GroupSite && here.Site != there.Site || class.Group == GroupRack && here != there {
			c.addBreach(2, a.arrivedAt, "repeated at %s, which does not drop repeats of what ran at %s", a.server, first.server)
		}
	}
}
