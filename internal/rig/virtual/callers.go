package virtual

import (
	"math"
	"strconv"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// arrive plans the next first try.
func (r *run) arrive() {
	wait := time.Duration(r.rng.ExpFloat64() / (r.c.Rate * r.rate) * float64(time.Second))
	if r.now+wait >= r.c.Duration {
		return
	}
	r.after(wait, func() {
		r.request()
		r.arrive()
	})
}

// request plays one request with its caller's retries.
func (r *run) request() {
	x, class := r.rng.Float64(), 0
	sum := 0.0
	for _, c := range r.c.Classes {
		sum += c.Share
	}
	for x *= sum; x >= r.c.Classes[class].Share && class < len(r.c.Classes)-1; class++ {
		x -= r.c.Classes[class].Share
	}
	k := &r.c.Classes[class]
	work := float64(k.Work)
	if k.Spread > 0 {
		s2 := math.Log(1 + k.Spread*k.Spread)
		work *= math.Exp(r.rng.NormFloat64()*math.Sqrt(s2) - s2/2)
	}
	if r.rng.Float64() < k.HeavyShare {
		work *= k.HeavyFactor
	}
	count := &r.result.Classes[class]
	count.Requests++
	r.open++
	begun, tries := r.now, 0
	at := r.rng.IntN(len(r.nodes))
	site := &r.sites[r.nodes[at].site]
	site[1] += k.Worth
	var try func()
	end := func(e judge.RequestOutcome) {
		r.open--
		took := r.now - begun
		switch {
		case e == judge.Served && took <= k.LatencyTarget:
			site[0] += k.Worth
			count.Served++
			count.sum += took
		case e == judge.Served:
			count.Late++
			count.sum += took
		case e == judge.Refused:
			count.Refused++
		default:
			count.Failed++
		}
	}
	try = func() {
		n := r.nodes[at%len(r.nodes)]
		for i := 0; n.dead && i < len(r.nodes); i++ {
			at++
			n = r.nodes[at%len(r.nodes)]
		}
		left := k.Deadline - (r.now - begun)
		if left < time.Millisecond || n.dead {
			end(judge.Failed)
			return
		}
		tries++
		count.Tries++
		again := tries > 1
		r.ask(n, class, time.Duration(work), left, again, func(e judge.RequestOutcome, advice time.Duration) {
			if e == judge.Refused && r.wouldDo(n, class, time.Duration(work), begun) {
				count.WrongRefusals++
			}
			if e == judge.Served || tries > r.c.Retries {
				end(e)
				return
			}
			wait := r.c.Backoff
			if !r.c.NoJitter {
				wait = time.Duration((0.5 + r.rng.Float64()) * float64(wait))
			}
			wait = max(wait, advice)
			if r.now+wait-begun >= k.Deadline {
				end(e)
				return
			}
			at++
			r.after(wait, try)
		})
	}
	try()
}

// wouldDo tells whether a box drawn at random would answer a refused try within
// the aim, as it stands.
func (r *run) wouldDo(n *node, class int, work time.Duration, begun time.Duration) bool {
	b := r.boxes[0][r.rng.IntN(len(r.boxes[0]))]
	if b.down || b.turns || b.held >= b.room {
		return false
	}
	power := b.speed * r.warmth(b) / b.slow(r)
	took := float64(b.backlog)/float64(b.cores)/power + float64(work)/power
	return r.now-begun+time.Duration(took) <= r.c.Classes[class].LatencyTarget
}

// ask gives a request to a node.
func (r *run) ask(n *node, class int, work, ttl time.Duration, again bool, done func(judge.RequestOutcome, time.Duration)) {
	n.nextID++
	c := &call{id: n.nextID, class: class, work: work, asked: r.now, ttl: ttl, done: done}
	if r.nextKey++; r.c.JudgeEvery <= 1 || r.nextKey%uint64(r.c.JudgeEvery) == 0 {
		c.key = strconv.FormatUint(r.nextKey, 36)
		r.judge.RequestSent(r.now, c.key, class, n.name, ttl)
	}
	n.calls[c.id] = c
	const margin = 10 * time.Millisecond
	r.carry(n, n.b.HandleRequest(r.start(r.now), decide.Request{
		ID: c.id, Class: class, Tenant: -1, TTL: max(0, ttl-margin), IsRetry: again,
	}, n.buf[:0]))
	if !c.answered {
		life := n.life
		r.after(max(0, ttl-margin/2), func() {
			if !c.answered && n.life == life { // as a real node does in the module's place
				r.answer(n, c, judge.Failed, 0, "")
				r.carry(n, n.b.HandleDisconnect(r.start(r.now), decide.Disconnect{Request: c.id}, n.buf[:0]))
			}
		})
	}
}

// answer ends a request.
func (r *run) answer(n *node, c *call, e judge.RequestOutcome, advice time.Duration, maker string) {
	if c.answered {
		return
	}
	c.answered = true
	delete(n.calls, c.id)
	if c.key != "" {
		r.judge.RequestEnded(r.now, c.key, e, maker)
	}
	c.done(e, advice)
}
