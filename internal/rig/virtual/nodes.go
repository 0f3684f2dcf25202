package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// connectWithin is how long a node waits for a connection.
const connectWithin = 250 * time.Millisecond

// carry does what a module wants done.
func (r *run) carry(n *node, actions []decide.Action) {
	n.buf = nil // handlers nest here: each has a buffer of its own
	life := n.life
	for _, a := range actions {
		switch a.Kind {
		case decide.Send:
			r.send(n, n.calls[a.Request], a)
		case decide.Refuse:
			if c := n.calls[a.Request]; c != nil {
				r.answer(n, c, judge.Refused, a.Wait, "")
			}
		case decide.Fail:
			if c := n.calls[a.Request]; c != nil {
				r.answer(n, c, judge.Failed, 0, "")
			}
		case decide.StartTimer:
			token := a.Token
			r.after(a.Wait, func() {
				if n.life == life && !n.dead {
					r.carry(n, n.b.HandleTimer(r.start(r.now), decide.Timer{Token: token}, n.buf[:0]))
				}
			})
		}
	}
	if n.life == life {
		n.buf = actions[:0]
	}
}

// send makes an attempt.
func (r *run) send(n *node, c *call, a decide.Action) {
	b := r.byID[n.tier][a.Server]
	if c == nil || b == nil {
		return
	}
	t := &task{call: c, node: n, number: len(c.tries), box: b, sent: r.now, arrived: -1, work: c.work}
	c.tries = append(c.tries, t)
	r.result.Attempts++
	way := r.c.SiteLatency
	if b.site != n.site {
		way = r.c.CrossSiteLatency
	}
	life := n.life
	if b.stale > 0 {
		r.sendOld(t, a.Wait, way)
		return
	}
	cut := r.cutOff(n, b)
	if b.down && !cut {
		r.after(2*way, func() { r.outcome(t, life, decide.ConnectFailed) })
		return
	}
	if _, has := n.used[b]; cut && !has { // no connection can be made
		r.after(min(a.Wait, connectWithin), func() { r.outcome(t, life, decide.ConnectFailed) })
		return
	}
	r.after(a.Wait, func() { // the node stops waiting
		if !t.over {
			t.left = true
			r.end(t, judge.Abandoned)
			r.outcome(t, life, decide.TimedOut)
		}
	})
	if cut { // it goes out on a connection that is there, and is never heard of again
		return
	}
	if _, has := n.used[b]; !has {
		n.used[b] = r.now
	}
	if n.idle[b] > 0 {
		n.idle[b]--
	} else {
		r.result.Handshakes++
	}
	r.after(way, func() { r.come(t, way, life) })
}

// outcome tells a node how an attempt ended.
func (r *run) outcome(t *task, life int, result decide.Result) {
	n := t.node
	if t.over || n.life != life || n.dead {
		return
	}
	t.over = true
	if result == decide.Served || result == decide.Errored || result == decide.Rejected {
		n.idle[t.box]++
	}
	age := time.Duration(0)
	if since, has := n.used[t.box]; has {
		age = r.now - since
	}
	if result == decide.ConnectFailed {
		delete(n.used, t.box)
	}
	final := t.call.answered
	if result == decide.Served && !final {
		r.answer(n, t.call, judge.Served, 0, t.box.id)
		final = true
	}
	r.carry(n, n.b.HandleOutcome(r.start(r.now), decide.Outcome{
		Request: t.call.id, Attempt: t.number, Server: t.box.id, Result: result, Elapsed: r.now - t.sent, ConnAge: age, Final: final,
	}, n.buf[:0]))
	r.weigh(n, t.box.id, result)
}

func (r *run) end(t *task, how judge.AttemptOutcome) {
	if t.arrived >= 0 && !t.ended {
		t.ended = true
		r.judge.AttemptEnded(r.now, t.call.key, t.arrived, how)
	}
}
