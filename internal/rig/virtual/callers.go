package virtual

import (
	"math"
	"strconv"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// arrive plans the next first try.
func (r *run) scheduleArrival() {
	wait := time.Duration(r.rng.ExpFloat64() / (r.config.Rate * r.rateFactor) * float64(time.Second))
	if r.now+wait >= r.config.Duration {
		return
	}
	r.after(wait, func() {
		r.startRequest()
		r.scheduleArrival()
	})
}

// request plays one request with its caller's retries.
func (r *run) startRequest() {
	x, class := r.rng.Float64(), 0
	sum := 0.0
	for _, c := range r.config.Classes {
		sum += c.Share
	}
	for x *= sum; x >= r.config.Classes[class].Share && class < len(r.config.Classes)-1; class++ {
		x -= r.config.Classes[class].Share
	}
	k := &r.config.Classes[class]
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
	r.openRequests++
	begun, tries := r.now, 0
	at := r.rng.IntN(len(r.nodes))
	site := &r.worthBySite[r.nodes[at].site]
	site[1] += k.Worth
	var try func()
	end := func(e judge.RequestOutcome) {
		r.openRequests--
		took := r.now - begun
		switch {
		case e == judge.Served && took <= k.LatencyTarget:
			site[0] += k.Worth
			count.Served++
			count.totalResponseTime += took
		case e == judge.Served:
			count.Late++
			count.totalResponseTime += took
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
		count.ClientAttempts++
		again := tries > 1
		r.submit(n, class, time.Duration(work), left, again, func(e judge.RequestOutcome, advice time.Duration) {
			if e == judge.Refused && r.wouldServeInTime(n, class, time.Duration(work), begun) {
				count.WrongRefusals++
			}
			if e == judge.Served || tries > r.config.Retries {
				end(e)
				return
			}
			wait := r.config.Backoff
			if !r.config.NoJitter {
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
func (r *run) wouldServeInTime(n *node, class int, work time.Duration, begun time.Duration) bool {
	b := r.servers[0][r.rng.IntN(len(r.servers[0]))]
	if b.down || b.rejectsAll || b.inFlight >= b.maxRequests {
		return false
	}
	power := b.speed * r.warmupFactor(b) / b.currentSlowdown(r)
	took := float64(b.backlog)/float64(b.cores)/power + float64(work)/power
	return r.now-begun+time.Duration(took) <= r.config.Classes[class].LatencyTarget
}

// ask gives a request to a node.
func (r *run) submit(n *node, class int, work, ttl time.Duration, again bool, done func(judge.RequestOutcome, time.Duration)) {
	n.nextRequestID++
	c := &nodeRequest{id: n.nextRequestID, class: class, work: work, startedAt: r.now, ttl: ttl, done: done}
	if r.nextRequestKey++; r.config.JudgeEvery <= 1 || r.nextRequestKey%uint64(r.config.JudgeEvery) == 0 {
		c.judgeKey = strconv.FormatUint(r.nextRequestKey, 36)
		r.judge.RequestSent(r.now, c.judgeKey, class, n.name, ttl)
	}
	n.requests[c.id] = c
	const margin = 10 * time.Millisecond
	r.perform(n, n.balancer.HandleRequest(r.balancerTime(r.now), decide.Request{
		ID: c.id, Class: class, Tenant: -1, TTL: max(0, ttl-margin), IsRetry: again,
	}, n.actionBuffer[:0]))
	if !c.answered {
		life := n.incarnation
		r.after(max(0, ttl-margin/2), func() {
			if !c.answered && n.incarnation == life { // as a real node does in the module's place
				r.finishRequest(n, c, judge.Failed, 0, "")
				r.perform(n, n.balancer.HandleDisconnect(r.balancerTime(r.now), decide.Disconnect{Request: c.id}, n.actionBuffer[:0]))
			}
		})
	}
}

// answer ends a request.
func (r *run) finishRequest(n *node, c *nodeRequest, e judge.RequestOutcome, advice time.Duration, maker string) {
	if c.answered {
		return
	}
	c.answered = true
	delete(n.requests, c.id)
	if c.judgeKey != "" {
		r.judge.RequestEnded(r.now, c.judgeKey, e, maker)
	}
	c.done(e, advice)
}
