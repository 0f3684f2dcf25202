package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

func (r *run) step(s Step) {
	if s.RateFactor > 0 {
		r.rate = s.RateFactor
	}
	if s.Cut != nil {
		r.apart = s.Cut
	}
	if s.AnswerLoss != nil {
		r.mute = *s.AnswerLoss
	}
	if s.ResetShare != nil {
		r.resets = *s.ResetShare
	}
	for i, b := range r.boxes[0] {
		if s.Servers == nil || !s.Servers(i, b.site) {
			continue
		}
		if s.Slowdown > 0 {
			b.slower = s.Slowdown
		}
		b.turns = (b.turns || s.RejectAll) && !s.AcceptAll
		b.errs = (b.errs || s.FailFast) && !s.AcceptAll
		b.stuck = (b.stuck || s.Stuck) && !s.AcceptAll
		if s.Down {
			r.down(b)
		}
		if s.Up {
			r.up(b)
		}
		if s.Replace && !b.down {
			r.replace(i)
		}
	}
	for i, n := range r.nodes {
		if s.Nodes == nil || !s.Nodes(i) {
			continue
		}
		if s.KillNodes && !n.dead {
			r.die(n)
		}
		if s.StartNodes && n.dead {
			r.begin(n)
		}
	}
}

// die kills a node: what it held is its callers' to ask again.
func (r *run) die(n *node) {
	r.judge.NodeKilled(r.now, n.name)
	n.dead = true
	n.life++
	r.unroll(n)
	calls := n.calls
	n.calls = map[uint64]*call{}
	for _, id := range ids(calls) {
		c := calls[id]
		for _, t := range c.tries {
			t.left = true
			r.end(t, judge.Abandoned)
		}
		r.answer(n, c, judge.ConnectionLost, 0, "")
	}
}

// replace drains a box and starts one of its kind in its place, cold.
func (r *run) replace(i int) {
	old := r.boxes[0][i]
	r.tell(old, decide.Draining)
	r.after(r.c.DrainTime, func() { r.down(old) })
	r.succeed(old, i)
}

// succeed starts a new box where an old one stood.
func (r *run) succeed(old *box, i int) {
	b := r.newBox(0, ServerKind{Cores: old.cores, Speed: old.speed, Slots: old.slots, Queue: old.room - old.slots}, old.site)
	r.boxes[0] = r.boxes[0][:len(r.boxes[0])-1]
	b.index = i
	r.judge.AddServer(b.id, r.place(b)) // it stands where the old one stood
	r.boxes[0][i] = b
	b.started = r.start(r.now)
	b.node = old.node
	r.tell(b, decide.Healthy)
}

// cutOff tells whether nothing passes between a node's site and a box's.
func (r *run) cutOff(n *node, b *box) bool {
	return r.apart != nil && n.site != b.site && (r.apart(n.site, b.site) || r.apart(b.site, n.site))
}

// churn replaces boxes by new ones at a steady rate.
func (r *run) churn() {
	wait := time.Duration(float64(time.Second) / (r.c.Churn * float64(len(r.boxes[0]))))
	r.after(wait, func() {
		if r.now > r.c.Duration {
			return
		}
		i := r.rng.IntN(len(r.boxes[0]))
		old := r.boxes[0][i]
		r.down(old)
		r.succeed(old, i)
		r.churn()
	})
}
