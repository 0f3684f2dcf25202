package decide

import (
	"math"
	"slices"
	"time"
)

// Which server an attempt goes to.

const (
	longList   = 16              // servers, above which not all are looked at
	manyDraws  = 12              // after which they are all the same
	unmadeMost = 0.1             // part of attempts unconnected, above which made ones are sought
	ejectAfter = 3               // failures in a row that take a server out
	ejectFor   = time.Second     // doubled with each further ejection
	coldSafety = 0.5             // part of the cold budget that a node uses by itself, as chances
	lateGain   = 0.25            // weight of the newest response time of a server
	lateMemory = 2 * time.Second // after which a server's slowness is mostly forgotten
)

// fail counts a failure, and ejects after some in a row, each time for longer.
func (h *health) fail(now time.Duration, after int) {
	h.fails++
	if h.fails >= after {
		h.outUntil = now + ejectFor<<min(h.ejections, 3)
		h.fails = after - 1 // one more failure afterwards is enough
		h.ejections++
	}
}

// served clears what was held against it.
func (h *health) served() { h.fails, h.ejections, h.outUntil = 0, 0, 0 }

// out tells whether to keep away. After an ejection there is one call at a time until it has served one:
// what hangs would else swallow a full share of calls at each return.
func (h *health) out(now time.Duration) bool {
	return h.outUntil > now || h.ejections > 0 && h.inflight > 0
}

// cold is the part of its capacity that a server surely has; 1 when warm.
func (b *Balancer) cold(s *server) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.set.WarmupTime {
		return 1
	}
	return b.set.ColdCapacity + (1-b.set.ColdCapacity)*max(0, float64(age)/float64(b.set.WarmupTime))
}

// slowStart is what this node may send a cold server by itself, in sends a second. All nodes together may
// send FallMultiple times what it can do; each takes a fixed part, measured by what its servers answer:
// sends would count a storm as capacity.
func (b *Balancer) slowStart(s *server, safety float64) float64 {
	subset, members := float64(max(1, len(b.near)+len(b.far))), float64(max(1, b.members()))
	sharing := max(1, float64(b.set.Nodes)*subset/members)
	rate := max(b.answers()/subset, b.before) * safety * b.set.CollapseMultiple * b.cold(s)
	return max(rate, 1/sharing/b.set.CollapseWindow.Seconds())
}

// may tells if a cold server's budget has room. While its part is lent a node sends what it is dealt.
func (b *Balancer) may(s *server) bool {
	if b.cold(s) == 1 {
		return true
	}
	if s.filled < s.lent { // what is lent does not add up here
		s.tokens, s.filled = 0, s.lent
	}
	if b.now < s.lent {
		s.short = s.short || s.held(b.now) == 0 && (s.near || b.noNear)
		return s.held(b.now) > 0
	}
	rate := b.slowStart(s, coldSafety)
	s.tokens = min(s.tokens+rate*(b.now-s.filled).Seconds(), 1+rate*b.set.CollapseWindow.Seconds()/4)
	s.filled = b.now
	return s.tokens >= 1
}

// pick finds the less loaded of two random members of the subset, and in other zones likewise; the far one
// is taken where it is idler by its cost. Where half the subset is ejected the fault is hardly the servers',
// and none of it is trusted.
func (b *Balancer) pick(c *call) *server {
	if c.ran && b.set.Classes[c.Class].Idempotency == Keyed && b.set.Classes[c.Class].Group != GroupAll {
		for _, trust := range [...]bool{true, false} {
			b.scratch = b.usable(c, b.homes, trust, b.scratch[:0])
			if b.scratch = b.usable(c, b.others, trust, b.scratch); len(b.scratch) > 0 {
				return b.two(b.connected(b.scratch))
			}
		}
		return b.leastDoubtful(c)
	}
	_, out := b.faults()
	trust := 2*out < len(b.near)+len(b.far)
	near := b.choice(c, b.near, trust)
	b.noNear = near == nil
	far := b.choice(c, b.far, trust)
	if near == nil && far == nil {
		return b.leastDoubtful(c)
	}
	if near == nil || far != nil && (b.cost(b.set.Penalties.CrossZone)*b.load(far) < b.load(near)) {
		return far
	}
	return near
}

// cost is how many times as loaded a server counts where a send there has a price. A call of b.late aims
// saves b.late*(1-1/x) at one x times as idle; an aim saved is taken to be worth a request, and must exceed
// the price.
func (b *Balancer) cost(price float64) float64 {
	return 1 / max(1e-3, 1-price/max(b.late, 1e-6))
}

// choice picks the less loaded of two random servers of a list that may take a call. Of a long list two are
// drawn until they may; a short one, or one of which few may, is gone through.
func (b *Balancer) choice(c *call, list []*server, trust bool) *server {
	if len(list) > longList && b.unmade <= unmadeMost {
		var first *server
		for range manyDraws {
			s := list[b.rng.IntN(len(list))]
			if s == first || !b.fits(c, s, trust, true) {
				continue
			}
			if first == nil {
				first = s
			} else if b.load(s) < b.load(first) {
				return s
			} else {
				return first
			}
		}
	}
	b.scratch = b.usable(c, list, trust, b.scratch[:0])
	return b.two(b.connected(b.scratch))
}

// two is the power of two choices. A send that was dealt is lost if it is not made soon, and others go
// without it: it comes first, one at a time.
func (b *Balancer) two(list []*server) *server {
	for _, s := range list {
		if s.inflight == 0 && s.held(b.now) > 0 {
			return s
		}
	}
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	i := b.rng.IntN(len(list))
	j := (i + 1 + b.rng.IntN(len(list)-1)) % len(list)
	if b.load(list[j]) < b.load(list[i]) {
		i = j
	}
	return list[i]
}

// load is a server's load: this node's own calls there, each weighed by how slow the server has lately
// been. With one call in flight or none, as on most servers of a large fleet, the count alone is blind. Where
// a connection would have to be made, its price counts as a far server's does.
func (b *Balancer) load(s *server) float64 {
	load := float64(s.inflight+1) * b.slowness(s)
	if len(s.idle) == 0 {
		load *= b.cost(b.set.Penalties.Handshake)
	}
	return load
}

// slowness is a server's response time against that of all: what its size says, and what was seen beyond
// that, which fades.
func (b *Balancer) slowness(s *server) float64 {
	usual := b.weight / s.weight
	if s.inflight > 0 || s.held(b.now) == 0 {
		usual /= b.cold(s)
	}
	return usual + s.late*math.Exp(-float64(b.now-s.lateAt)/float64(lateMemory))
}

// learn books the response time of an attempt against that of all servers.
func (b *Balancer) learn(s *server, x float64) {
	b.late += (x - b.late) * lateGain / 8
	slow := b.slowness(s)
	s.late *= math.Exp(-float64(b.now-s.lateAt) / float64(lateMemory))
	s.late += (x/max(b.late, 1e-6) - slow) * lateGain
	s.lateAt = b.now
}

// fits tells whether a server may take a call; ejected ones may not where that is trusted.
func (b *Balancer) fits(c *call, s *server, trust, others bool) bool {
	if trust && (s.out(b.now) || s.zone.out(b.now)) || b.unproven(s) || !b.allowed(c, s) {
		return false
	}
	// Not the server that just failed, unless a keyed call has no other: it would wait in vain.
	n := len(c.attempts)
	return !(trust && n > 0 && c.attempts[n-1].server == s && others)
}

// allowed tells whether the rules let a server take a call: its key's group, a cold server's budget, and
// what may answer at its address.
func (b *Balancer) allowed(c *call, s *server) bool {
	return b.inGroup(c, s) && b.may(s) && !(s.Unverified && b.set.Classes[c.Class].Idempotency == AtMostOnce)
}

// usable appends the servers of a list that may take a call.
func (b *Balancer) usable(c *call, list []*server, trust bool, to []*server) []*server {
	for _, s := range list {
		if b.fits(c, s, trust, len(list) > 1) {
			to = append(to, s)
		}
	}
	return to
}

// connected keeps the servers with a connection to spare, where many accept none, or too slowly.
func (b *Balancer) connected(list []*server) []*server {
	idle := func(s *server) bool { return len(s.idle) > 0 }
	if b.unmade > unmadeMost && slices.ContainsFunc(list, idle) {
		return slices.DeleteFunc(list, func(s *server) bool { return !idle(s) })
	}
	return list
}

// inGroup tells whether a keyed call that may have run is known to this server.
func (b *Balancer) inGroup(c *call, s *server) bool {
	class := &b.set.Classes[c.Class]
	return !c.ran || class.Idempotency != Keyed || class.Group == GroupAll ||
		class.Group == GroupZone && s.Zone == c.ranOn.Zone ||
		class.Group == GroupCell && s.Cell == c.ranOn.Cell
}

// judge ejects a server that fails again and again, and a whole zone where all of its servers do: it is
// lost, or cut off from here, and to find that out server by server would take many calls.
func (b *Balancer) judge(s *server, r Result) {
	switch r {
	case Served:
		b.rate, b.rateAt = b.answers()+1/rateMemory.Seconds(), b.now
		s.served()
		s.zone.served()
	case TimedOut, ConnectFailed, ConnectionLost, Errored: // errors in a row are the server's own, not its zone's
		if r != Errored && (s.fails == 0 || s.zone.ejections > 0) { // one bad server is counted once
			s.zone.fail(b.now, min(2*ejectAfter, max(ejectAfter, s.zone.members)))
		}
		s.fail(b.now, ejectAfter)
		b.faulty = true
	}
}
