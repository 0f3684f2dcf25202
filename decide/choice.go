package decide

import (
	"math"
	"slices"
	"time"
)

// Choice of the server for an attempt.

const (
	sampleThreshold         = 16              // longer lists are sampled at random instead of searched
	maxDraws                = 12              // draws after which a long list is searched anyway
	connectFailureThreshold = 0.1             // connect failure rate above which idle ones are preferred
	ejectAfterFailures      = 3               // consecutive failures that eject a server
	baseEjectionTime        = time.Second     // doubled with each further ejection
	coldOwnShare            = 0.5             // part of the cold budget used without grants, as tokens
	slownessGain            = 0.25            // weight of a server's newest response time
	slownessMemory          = 2 * time.Second // time constant with which a server's measured slowness decays
)

// recordFailure counts a failure; several in a row eject, each time for longer.
func (h *health) recordFailure(now time.Duration, after int) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= after {
		h.ejectedUntil = now + baseEjectionTime<<min(h.ejections, 3)
		h.consecutiveFailures = after - 1 // one more failure after the ejection is enough
		h.ejections++
	}
}

// recordSuccess clears all failures and ejections.
func (h *health) recordSuccess() { h.consecutiveFailures, h.ejections, h.ejectedUntil = 0, 0, 0 }

// unavailable reports whether to send nothing. After an ejection only one call at a time is allowed until
// one succeeds: otherwise a server that hangs would take a full share of the calls each time its ejection
// ends.
func (h *health) unavailable(now time.Duration) bool {
	return h.ejectedUntil > now || h.ejections > 0 && h.inflight > 0
}

// capacityFraction returns the minimum fraction of its capacity that a server has; 1 when warm.
func (b *Balancer) capacityFraction(s *server) float64 {
	age := b.now - s.Started
	if s.Started == 0 || age >= b.cfg.WarmupTime {
		return 1
	}
	return b.cfg.ColdCapacity + (1-b.cfg.ColdCapacity)*max(0, float64(age)/float64(b.cfg.WarmupTime))
}

// slowStartRate returns the sends per second that this node may make to a cold server on its own. All nodes
// together may send CollapseMultiple times the server's current capacity, and each takes a fixed share.
// Capacity is estimated from responses, since sends would count an overload as capacity.
func (b *Balancer) slowStartRate(s *server, fraction float64) float64 {
	subset, members := float64(max(1, len(b.localSubset)+len(b.remoteSubset))),
		float64(max(1, b.memberCount()))
	nodesPerServer := max(1, float64(b.cfg.Nodes)*subset/members)
	rate := max(b.currentAnswerRate()/subset, b.priorRate) * fraction *
		b.cfg.CollapseMultiple * b.capacityFraction(s)
	return max(rate, 1/nodesPerServer/b.cfg.CollapseWindow.Seconds())
}

// coldBudgetAllows reports whether a cold server's budget allows a send. While this node's share is lent to
// the pool, only granted sends are allowed.
func (b *Balancer) coldBudgetAllows(s *server) bool {
	if b.capacityFraction(s) == 1 {
		return true
	}
	if s.refilledAt < s.lentUntil { // lent tokens do not accumulate here
		s.tokens, s.refilledAt = 0, s.lentUntil
	}
	if b.now < s.lentUntil {
		s.starved = s.starved || s.grantsHeld(b.now) == 0 && (s.local || b.noLocalServer)
		return s.grantsHeld(b.now) > 0
	}
	rate := b.slowStartRate(s, coldOwnShare)
	s.tokens = min(s.tokens+rate*(b.now-s.refilledAt).Seconds(), 1+rate*b.cfg.CollapseWindow.Seconds()/4)
	s.refilledAt = b.now
	return s.tokens >= 1
}

// pickServer returns the less loaded of two random servers of the local subset, unless the same choice in
// the remote subset gives one that is less loaded by more than the cross-zone penalty. If half the subset
// is ejected, the servers are unlikely to be at fault, and ejections are ignored.
func (b *Balancer) pickServer(c *call) *server {
	if c.mayHaveRun && b.cfg.Classes[c.Class].Idempotency == Keyed &&
		b.cfg.Classes[c.Class].Group != GroupAll {
		for _, honorEjections := range [...]bool{true, false} {
			b.scratch = b.appendEligible(c, b.localServers, honorEjections, b.scratch[:0])
			if b.scratch = b.appendEligible(c, b.remoteServers, honorEjections,
				b.scratch); len(b.scratch) > 0 {
				return b.pickOfTwo(b.preferConnected(b.scratch))
			}
		}
		return b.leastDoubtful(c)
	}
	_, ejectedNow := b.countEjected()
	honorEjections := 2*ejectedNow < len(b.localSubset)+len(b.remoteSubset)
	local := b.pickFrom(c, b.localSubset, honorEjections)
	b.noLocalServer = local == nil
	remote := b.pickFrom(c, b.remoteSubset, honorEjections)
	if local == nil && remote == nil {
		return b.leastDoubtful(c)
	}
	if local == nil || remote != nil &&
		(b.penaltyFactor(b.cfg.Penalties.CrossZone)*b.load(remote) < b.load(local)) {
		return remote
	}
	return local
}

// penaltyFactor returns by what factor a server's load counts if a send to it incurs a penalty. At a mean
// latency of m targets, a server with 1/x of the load saves m*(1-1/x) targets. A target saved is valued at
// one request, and the saving must exceed the penalty.
func (b *Balancer) penaltyFactor(penalty float64) float64 {
	return 1 / max(1e-3, 1-penalty/max(b.meanLatency, 1e-6))
}

// pickFrom returns the less loaded of two random eligible servers of a list. Long lists are sampled; short
// lists, and those with few eligible servers, are searched completely.
func (b *Balancer) pickFrom(c *call, list []*server, honorEjections bool) *server {
	if len(list) > sampleThreshold && b.connectFailureRate <= connectFailureThreshold {
		var first *server
		for range maxDraws {
			s := list[b.rng.IntN(len(list))]
			if s == first || !b.eligible(c, s, honorEjections, true) {
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
	b.scratch = b.appendEligible(c, list, honorEjections, b.scratch[:0])
	return b.pickOfTwo(b.preferConnected(b.scratch))
}

// pickOfTwo is the power of two choices. A server with unused grants takes precedence, one call at a time:
// a granted send expires if it is not made soon, and no other node can use it.
func (b *Balancer) pickOfTwo(list []*server) *server {
	for _, s := range list {
		if s.inflight == 0 && s.grantsHeld(b.now) > 0 {
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

// load returns this node's open calls on a server, weighted by how slow the server has recently been. The
// count alone says little with one open call or none, as on most servers of a large fleet. If a new
// connection is needed, its penalty counts in the same way as the cross-zone penalty.
func (b *Balancer) load(s *server) float64 {
	load := float64(s.inflight+1) * b.slowness(s)
	if b.settledConn(s) < 0 {
		load *= b.penaltyFactor(b.cfg.Penalties.Handshake)
	}
	return load
}

// slowness returns a server's response time relative to all servers: what its weight predicts, plus the
// observed deviation, which decays.
func (b *Balancer) slowness(s *server) float64 {
	expected := b.meanWeight / s.weight
	if s.inflight > 0 || s.grantsHeld(b.now) == 0 {
		expected /= b.capacityFraction(s)
	}
	return expected + s.extraSlowness*math.Exp(-float64(b.now-s.extraSlownessAt)/float64(slownessMemory))
}

// recordLatency updates a server's slowness with the response time of an attempt.
func (b *Balancer) recordLatency(s *server, latency float64) {
	b.meanLatency += (latency - b.meanLatency) * slownessGain / 8
	previous := b.slowness(s)
	s.extraSlowness *= math.Exp(-float64(b.now-s.extraSlownessAt) / float64(slownessMemory))
	s.extraSlowness += (latency/max(b.meanLatency, 1e-6) - previous) * slownessGain
	s.extraSlownessAt = b.now
}

// eligible reports whether a server may take a call. Ejected servers may not, unless ejections are ignored.
func (b *Balancer) eligible(c *call, s *server, honorEjections, hasAlternative bool) bool {
	if honorEjections && (s.unavailable(b.now) || s.zone.unavailable(b.now)) ||
		b.doubtful(s) || !b.permitted(c, s) {
		return false
	}
	// Not the server that has just failed, unless a keyed call has no other: it would wait in vain.
	n := len(c.attempts)
	return !(honorEjections && n > 0 && c.attempts[n-1].server == s && hasAlternative)
}

// permitted reports whether the safety rules allow a server to take a call: the group of its key, a cold
// server's budget, and servers at whose address another process may answer.
func (b *Balancer) permitted(c *call, s *server) bool {
	return b.inKeyGroup(c, s) && b.coldBudgetAllows(s) &&
		!(s.Unverified && b.cfg.Classes[c.Class].Idempotency == AtMostOnce)
}

// appendEligible appends the servers of a list that may take a call.
func (b *Balancer) appendEligible(c *call, list []*server, honorEjections bool, to []*server) []*server {
	for _, s := range list {
		if b.eligible(c, s, honorEjections, len(list) > 1) {
			to = append(to, s)
		}
	}
	return to
}

// preferConnected keeps only servers with an idle connection that has settled if many connections fail or
// take too long.
func (b *Balancer) preferConnected(list []*server) []*server {
	idle := func(s *server) bool { return b.settledConn(s) >= 0 }
	if b.connectFailureRate > connectFailureThreshold && slices.ContainsFunc(list, idle) {
		return slices.DeleteFunc(list, func(s *server) bool { return !idle(s) })
	}
	return list
}

// inKeyGroup reports whether a server drops repeats of a keyed call that may have run.
func (b *Balancer) inKeyGroup(c *call, s *server) bool {
	if !c.mayHaveRun || b.cfg.Classes[c.Class].Idempotency != Keyed {
		return true
	}
	known := !s.mayBeSuccessor(b.now) && b.keyGroupKnown(c)
	switch b.cfg.Classes[c.Class].Group {
	case GroupZone:
		return s.Zone == c.mayHaveRunOn.Zone && !s.ZoneUnknown && known
	case GroupCell:
		return s.Cell == c.mayHaveRunOn.Cell && !s.CellUnknown && known
	}
	return true
}

// keyGroupKnown reports whether it is known which servers drop repeats of a keyed call that may have run.
func (b *Balancer) keyGroupKnown(c *call) bool {
	s, sentAt := c.mayHaveRunOn, c.mayHaveRunAt
	if s.mayBeSuccessor(sentAt) {
		return b.cfg.Classes[c.Class].Group == GroupAll
	}
	switch b.cfg.Classes[c.Class].Group {
	case GroupZone:
		return !s.ZoneUnknown && (s.zoneUnknownUntil == 0 || sentAt > s.zoneUnknownUntil)
	case GroupCell:
		return !s.CellUnknown && (s.cellUnknownUntil == 0 || sentAt > s.cellUnknownUntil)
	}
	return true
}

// recordLocationChange records, before an entry is taken, whether what was sent to the server may have run in
// another zone or cell than the entry names.
func (s *server) recordLocationChange(now time.Duration, e *Server) {
	if s.ZoneUnknown || e.ZoneUnknown || s.Zone != e.Zone {
		s.zoneUnknownUntil = now
	}
	if s.CellUnknown || e.CellUnknown || s.Cell != e.Cell {
		s.cellUnknownUntil = now
	}
}

// updateHealth ejects a server that fails repeatedly, and a whole zone if all of its servers fail: the zone
// is lost or unreachable, and it would take many calls to find that out server by server.
func (b *Balancer) updateHealth(s *server, r Result) {
	switch r {
	case Served:
		b.answerRate, b.answerRateAt = b.currentAnswerRate()+1/answerRateMemory.Seconds(), b.now
		s.recordSuccess()
		s.zone.recordSuccess()
	case TimedOut, ConnectFailed, ConnectionLost, Errored:
		// Error responses are the server's fault, not its zone's. A single bad server counts once.
		if r != Errored && (s.consecutiveFailures == 0 || s.zone.ejections > 0) {
			s.zone.recordFailure(b.now,
				min(2*ejectAfterFailures, max(ejectAfterFailures, s.zone.subsetServers)))
		}
		s.recordFailure(b.now, ejectAfterFailures)
		b.maybeEjected = true
	}
}
