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

func (c *requestCheck) breach(rule int, at time.Duration, format string, args ...any) {
	c.verdict.Breaches = append(c.verdict.Breaches, Breach{
		Rule: rule, What: fmt.Sprintf(format, args...), Request: c.id, At: at, History: c.history(),
	})
}

// late tells whether an event came after its limit, by more than the slack and
// what the machine itself was late by.
func (c *requestCheck) late(limit, at time.Duration) bool {
	over := at - limit - c.rules.Tolerance
	if over <= 0 {
		return false
	}
	lag := time.Duration(0)
	from, _ := slices.BinarySearchFunc(c.lags, limit-2*time.Second, func(l delay, t time.Duration) int {
		return cmp.Compare(l.at, t)
	})
	for _, l := range c.lags[from:] {
		if l.at > at+2*time.Second {
			break
		}
		lag += l.long
	}
	if over <= 2*lag { // the delay of this process, and as much in a node's
		c.verdict.Excused++
		return false
	}
	return true
}

// answer checks rule 1.
func (c *requestCheck) answer() {
	died := false
	end := c.ended
	if c.ending == Unanswered {
		end = c.now
	}
	for _, at := range c.deaths[c.node] {
		died = died || at >= c.asked-c.rules.Tolerance && at <= end+c.rules.Tolerance
	}
	limit := c.asked + c.wait
	stood := false
	for _, x := range c.stood[c.node] {
		stood = stood || x[0] <= end+c.rules.Tolerance && x[1] >= c.asked-c.rules.Tolerance
	}
	switch {
	case died:
	case stood && (c.ending == ClientLeft || c.ending != Unanswered && c.ending != ConnectionLost && c.ended > limit):
		c.verdict.Excused++
	case c.ending == Unanswered:
		if c.late(limit, c.now) {
			c.breach(1, c.now, "no final answer")
		}
	case c.ending == ConnectionLost:
		c.breach(1, c.ended, "the connection ended without a whole answer")
	case c.ending == ClientLeft && c.late(limit, c.ended):
		c.breach(1, c.ended, "no final answer in %v: the caller gave up", c.wait)
	case c.late(limit, c.ended):
		c.breach(1, c.ended, "answered %v after %v, its caller waits for %v", c.ending, c.ended-c.asked, c.wait)
	}
	if c.ending == Served && !slices.ContainsFunc(c.attempts, func(a attempt) bool {
		return a.box == c.maker && a.how == Succeeded
	}) {
		c.breach(1, c.ended, "served with an answer of box %q, which answered no attempt of it", c.maker)
	}
	if c.ending == Unanswered || c.ending == ConnectionLost || died {
		return
	}
	for _, a := range c.attempts {
		if a.at > c.ended && c.late(c.ended, a.at) {
			c.breach(1, a.at, "box %s got it %v after its final answer", a.box, a.at-c.ended)
		}
	}
}

// effects checks rule 2.
func (c *requestCheck) effects() {
	class := c.rules.Classes[c.class]
	if len(c.attempts) > c.rules.MaxAttempts {
		c.breach(2, c.attempts[len(c.attempts)-1].at, "%d attempts, at most %d are allowed", len(c.attempts), c.rules.MaxAttempts)
	}
	ran := 0
	may := -1 // the first that may have run
	for i, a := range c.attempts {
		for _, b := range c.attempts[:i] {
			out := b.how == InProgress || b.ended > a.at && c.late(a.at, b.ended)
			if out && !(c.rules.AllowHedging && class.Idempotency == Idempotent) {
				c.breach(2, a.at, "two attempts out at once: at %s and %s", b.box, a.box)
			}
		}
		if may >= 0 {
			c.again(class, &c.attempts[may], &a)
		}
		if a.how != Rejected && may < 0 {
			may = i
		}
		if ran += a.effects; a.effects > 0 && ran > 1 && class.Idempotency != Idempotent {
			c.breach(2, a.ranAt, "its effect happened %d times", ran)
		}
	}
	if c.ending == Refused && may >= 0 &&
		(class.Idempotency == AtMostOnce || class.Idempotency == Keyed && class.Group != GroupAll) {
		c.breach(2, c.ended, "refused though the attempt at %s may have run", c.attempts[may].box)
	}
}

// again checks an attempt after one that may have run.
func (c *requestCheck) again(class Class, first, a *attempt) {
	switch class.Idempotency {
	case AtMostOnce:
		c.breach(2, a.at, "sent to %s though the attempt at %s may have run", a.box, first.box)
	case Keyed:
		if c.late(first.at+class.KeyTTL, a.at) {
			c.breach(2, a.at, "repeated %v after the first, boxes drop repeats for %v", a.at-first.at, class.KeyTTL)
		}
		here, there := c.places[first.box], c.places[a.box]
		if class.Group == GroupSite && here.Site != there.Site || class.Group == GroupRack && here != there {
			c.breach(2, a.at, "repeated at %s, which does not drop repeats of what ran at %s", a.box, first.box)
		}
	}
}
