package virtual

import (
	"fmt"
	"math"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// come is the arrival of an attempt at its box.
func (r *run) come(t *task, way time.Duration, life int) {
	b := t.box
	if b.down {
		r.after(way, func() { r.outcome(t, life, decide.ConnectFailed) })
		return
	}
	b.sent++
	b.second++
	if t.call.key != "" {
		t.arrived = r.judge.AttemptArrived(r.now, t.call.key, b.id, t.call.key)
	}
	t.life = b.life
	switch {
	case b.errs:
		r.end(t, judge.Errored)
		r.after(way, func() { r.outcome(t, life, decide.Errored) })
		return
	case b.turns || b.held >= b.room || t.left:
		r.end(t, judge.Rejected)
		r.after(way, func() { r.outcome(t, life, decide.Rejected) })
		return
	}
	if r.tooMuch(b, r.c.Classes[t.call.class].Work) {
		r.down(b)
		r.after(way, func() { r.outcome(t, life, decide.ConnectionLost) })
		return
	}
	r.mean(b)
	b.held++
	b.backlog += t.work
	t.below = 0
	if b.node != nil {
		t.below = r.c.CallsPerRequest
	}
	b.waiting = append(b.waiting, t)
	r.work(b, way, life)
}

// work lets a box's free cores take what waits.
func (r *run) work(b *box, way time.Duration, life int) {
	for b.busy < b.cores && len(b.waiting) > 0 {
		t := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		if t.left && !t.begun { // dropped unseen
			b.held--
			b.backlog -= t.work
			continue
		}
		if !t.begun {
			t.begun = true
			if t.arrived >= 0 && r.first(t) {
				r.judge.AttemptExecuted(r.now, t.call.key, t.arrived)
			}
		}
		b.busy++
		took := time.Duration(float64(t.work) * b.slow(r) / (b.speed * r.warmth(b)))
		process := b.life
		owner := t.node.life
		r.after(took, func() {
			if b.life != process {
				return
			}
			b.busy--
			if t.below > 0 {
				r.callBelow(t, way, owner)
			} else {
				r.reply(t, way, owner, true)
			}
			r.work(b, way, life)
		})
	}
}

// first tells whether a box's rack has not seen a keyed request within its window.
func (r *run) first(t *task) bool {
	class := &r.c.Classes[t.call.class]
	if class.Idempotency != decide.Keyed {
		return true
	}
	key := fmt.Sprintf("%d/%d/%s", t.box.tier, r.cell(t.box), t.call.key)
	if at, ok := r.seen[key]; ok && r.now-at < class.KeyTTL {
		return false
	}
	r.seen[key] = r.now
	return true
}

// callBelow makes the next call of a task to the second tier: it keeps its slot, no core.
func (r *run) callBelow(t *task, way time.Duration, life int) {
	b := t.box
	process := b.life
	left := t.call.asked + t.call.ttl - r.now
	if left < time.Millisecond {
		r.reply(t, way, life, false)
		return
	}
	if b.stuck { // until the request's time is up
		r.after(left, func() {
			if b.life == process {
				r.reply(t, way, life, false)
			}
		})
		return
	}
	r.ask(b.node, t.call.class, t.call.work, left, false, func(e judge.RequestOutcome, _ time.Duration) {
		if b.life != process {
			return
		}
		t.below--
		switch {
		case e != judge.Served:
			r.reply(t, way, life, false)
		case t.below > 0:
			r.callBelow(t, way, life)
		default:
			r.reply(t, way, life, true)
		}
	})
}

// reply ends a task at its box.
func (r *run) reply(t *task, way time.Duration, life int, good bool) {
	b := t.box
	r.mean(b)
	b.held--
	b.backlog -= t.work
	result, how := decide.Served, judge.Succeeded
	if !good {
		result, how = decide.Errored, judge.Errored
	}
	r.end(t, how)
	switch {
	case r.cutOff(t.node, b) || r.mute > 0 && r.rng.Float64() < r.mute:
		return // the node waits until the attempt's time is up
	case r.resets > 0 && r.rng.Float64() < r.resets:
		result = decide.ConnectionLost
	}
	r.after(way, func() { r.outcome(t, life, result) })
}

// warmth is the part of its capacity that a box has.
func (r *run) warmth(b *box) float64 {
	if b.started == 0 || r.c.WarmupTime <= 0 {
		return 1
	}
	age := float64(r.start(r.now)-b.started) / float64(r.c.WarmupTime)
	return min(1, r.c.ColdCapacity+(1-r.c.ColdCapacity)*age)
}

// slow is how many times slower a box is now.
func (b *box) slow(r *run) float64 {
	if b.choked > r.now {
		return b.slower * r.c.Congestion.Slowdown
	}
	return b.slower
}

// mean follows what a box holds, and chokes it.
func (r *run) mean(b *box) {
	c := r.c.Congestion
	if c == nil {
		return
	}
	part := math.Exp(-float64(r.now-b.meanAt) / float64(c.AveragingTime))
	b.meanHeld = b.meanHeld*part + float64(b.held)*(1-part)
	b.meanAt = r.now
	limit := float64(b.cores) + c.Threshold*math.Sqrt(float64(b.cores))
	if b.choked <= r.now && b.meanHeld > limit {
		b.choked = r.now + c.MaxDuration
	} else if b.choked > r.now && b.meanHeld < float64(b.cores)*0.3 {
		b.choked = r.now
	}
}

// tooMuch books work sent to a cold box, and tells whether it falls over. What
// counts is the mean work of the class, as no node can know a request's own, and
// there is room for chance: a tenth, and two requests.
func (r *run) tooMuch(b *box, work time.Duration) bool {
	if r.warmth(b) >= 1 {
		b.fall = nil
		return false
	}
	r.result.ColdAttempts++
	b.fall = append(b.fall, arrival{r.now, work})
	sum := time.Duration(0)
	for i := len(b.fall) - 1; i >= 0 && r.now-b.fall[i].at < r.set.CollapseWindow; i-- {
		sum += b.fall[i].work
	}
	can := float64(r.set.CollapseWindow) * float64(b.cores) * b.speed * r.warmth(b)
	calls := r.set.CollapseMultiple * can / float64(r.c.meanWork())
	r.result.ColdRequestRatio = max(r.result.ColdRequestRatio, float64(sum)/float64(r.c.meanWork())/(calls+2*math.Sqrt(calls)+2))
	r.result.ColdWorkRatio = max(r.result.ColdWorkRatio, float64(sum)/(1.1*r.set.CollapseMultiple*can+float64(2*work)))
	if float64(sum) > 1.1*r.set.CollapseMultiple*can+float64(2*work) {
		b.fallen = true
		r.result.Collapsed++
		r.judge.ServerCollapsed(r.now, b.id, fmt.Sprintf("%v of work in %v", sum, r.set.CollapseWindow))
		return true
	}
	return false
}

// down ends a box's process.
func (r *run) down(b *box) {
	if b.down {
		return
	}
	b.down = true
	b.life++
	for _, t := range b.waiting {
		r.cut(t)
	}
	b.waiting, b.busy, b.held, b.backlog, b.meanHeld, b.choked = nil, 0, 0, 0, 0, 0
	// What ran is cut as well: its node finds the connection broken.
	nodes := r.nodes
	if b.tier > 0 {
		nodes = r.inner
	}
	for _, n := range nodes {
		for _, id := range ids(n.calls) {
			for _, t := range n.calls[id].tries {
				if t.box == b && !t.over && t.life == b.life-1 && t.arrived != -2 {
					r.cut(t)
				}
			}
		}
	}
	r.tell(b, decide.Removed)
}

func (r *run) cut(t *task) {
	r.end(t, judge.ConnectionCut)
	t.arrived = min(t.arrived, -2)
	life := t.node.life
	r.after(r.c.SiteLatency, func() { r.outcome(t, life, decide.ConnectionLost) })
}

// up starts a box's process again, cold.
func (r *run) up(b *box) {
	if !b.down || b.fallen {
		return
	}
	b.down, b.started, b.fall = false, r.start(r.now), nil
	r.tell(b, decide.Healthy)
}
