package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The list of servers, and the subset of it that this node sends to.

const (
	subsetSizeFront  = 8                      // servers in a front node's subset, and nodes per server
	subsetSizeInner  = 5                      // below the front: more of a node's calls on each
	localShare       = 0.75                   // fraction of the subset in the own zone
	watchRetryMin    = 250 * time.Millisecond // first wait before renewing a failed watch
	watchRetryMax    = 3 * time.Second / 2    // a lost call and its retry fit into announcementDelay
	subsetSizeSlack  = 1.0 / 16               // allowed relative deviation from the even size
	ringStartSlack   = 32                     // a start on the ring may deviate by 1/32 of the ring
	ringStartSpacing = 0.63224128846          // multiples modulo 1 are evenly spread, every 2nd to 16th too
)

// HandleList takes an update of the server list.
func (b *Balancer) HandleList(now time.Duration, update ListUpdate, out []Action) []Action {
	b.beginEvent(now, out)
	if b.cfg.MustSubscribe && update.Kind != ListLocal {
		b.followWatch(update.Kind)
	}
	b.updateConfirmation(&update)
	if update.Kind == ListFailed {
		return b.actions
	}
	full := update.Kind != ListDiff && update.Kind != ListLocal
	b.priorRate, b.fleetSize = update.PriorRate, float64(update.FleetSize)
	if full {
		for _, s := range b.servers {
			s.inFullList, s.listed = false, false
		}
		b.localServers, b.remoteServers, b.weightSum = b.localServers[:0], b.remoteServers[:0], 0
		for _, z := range b.zones {
			z.listedServers = 0
		}
	}
	for i := range update.Servers {
		b.applyEntry(&update.Servers[i], full)
	}
	if full {
		for id, s := range b.servers {
			if !s.inFullList {
				s.Health = Removed
			}
			switch {
			case s.Health == Healthy && s.local:
				b.localServers = append(b.localServers, s)
			case s.Health == Healthy:
				b.remoteServers = append(b.remoteServers, s)
			case s.Health == Removed && s.inflight == 0:
				delete(b.servers, id)
			}
			if s.listed = s.Health == Healthy; s.listed {
				b.weightSum += s.weight
				s.zone.listedServers++
			}
		}
		slices.SortFunc(b.localServers, byRingPosition)
		slices.SortFunc(b.remoteServers, byRingPosition)
	}
	b.chooseSubset()
	return b.actions
}

// applyEntry takes one entry of a list. The cost of a change does not depend on the number of servers.
func (b *Balancer) applyEntry(e *Server, full bool) {
	s, existed := b.servers[e.ID]
	if !existed {
		s = &server{ringPosition: hash(e.ID), zone: b.zone(e.Zone)}
		b.servers[e.ID] = s
	}
	if e.Started > s.Started { // a new process does not inherit the old one's failures
		s.recordSuccess()
		s.endSuspicion(b.now)
		s.idleConns, s.uptime = nil, timeSpan{}
		s.extraSlowness, s.tokens, s.refilledAt, s.grantState = 0, b.rng.Float64(), b.now, grantState{}
	}
	if s.listed && e.Health != Healthy {
		s.zone.recordDeparture(b.now)
	}
	if !full {
		b.setListed(s, false) // while its old zone and weight are known
	}
	if existed {
		if e.Health == Removed { // a removal may name no location
			located := *e
			located.Zone, located.Cell = s.Zone, s.Cell
			e = &located
		}
		s.recordLocationChange(b.now, e)
	}
	s.Server, s.inFullList, s.local, s.weight = *e, true, e.Zone == b.cfg.Zone, e.Weight
	if s.weight <= 0 {
		s.weight = 1
	}
	if full {
		return // HandleList rebuilds the lists in one pass
	}
	if s.Health == Healthy {
		b.setListed(s, true)
	} else if s.Health == Removed && s.inflight == 0 {
		delete(b.servers, e.ID)
	}
}

// chooseSubset selects a section of the ring, mostly in the own zone. The sections of the nodes start at
// even distances: with random starts some servers would be known to twice as many nodes as others.
func (b *Balancer) chooseSubset() {
	size, all := subsetSizeFront, b.memberCount()
	if b.cfg.Tier > 0 {
		size = subsetSizeInner
	}
	want := max(float64(size), float64(size*all)/float64(max(1, b.cfg.Nodes)))
	b.subsetSize = min(max(b.subsetSize, want*(1-subsetSizeSlack)), want*(1+subsetSizeSlack))
	size = min(int(math.Ceil(b.subsetSize)), all)
	// A larger fleet is no proof of more capacity, since the tier below may be the bottleneck. The counted
	// servers follow while the latency ratio stays low.
	if b.countedServers == 0 {
		b.countedServers = float64(all)
	}
	b.meanWeight = b.weightSum / float64(max(1, all))
	localCount := min(len(b.localServers),
		max(int(math.Ceil(localShare*float64(size))), size-len(b.remoteServers)))
	b.localSubset = b.ringSection(b.localSubset[:0], b.localServers, localCount, &b.subsetStarts[0])
	b.remoteSubset = b.ringSection(b.remoteSubset[:0], b.remoteServers, size-localCount, &b.subsetStarts[1])
	for _, z := range b.zones {
		z.subsetServers = 0
	}
	for i := range len(b.localSubset) + len(b.remoteSubset) {
		b.subsetServer(i).zone.subsetServers++
	}
	b.maybeEjected = true // until countEjected has looked
}

// ringSection appends n servers of a ring from this node's start. Starts are evenly spaced by node number,
// but stay where they are on the ring while that is close enough, so that a change moves hardly more
// servers than the changed one.
func (b *Balancer) ringSection(to, ring []*server, n int, from *uint64) []*server {
	_, at := math.Modf(float64(max(0, b.cfg.Node)) * ringStartSpacing)
	start, length := int(at*float64(len(ring))), len(ring)
	byPosition := func(s *server, position uint64) int { return cmp.Compare(s.ringPosition, position) }
	current, _ := slices.BinarySearchFunc(ring, *from, byPosition)
	if slack := min(n, length/ringStartSlack); slack > 0 && *from > 0 {
		offset := (current-start+length+length/2)%length - length/2 // in the shorter direction
		start = (start + min(max(offset, -slack), slack) + length) % length
	}
	if n > 0 && start != current%length {
		*from = ring[start].ringPosition
	}
	to = append(to, ring[start:min(start+n, length)]...)
	return append(to, ring[:n-len(to)]...)
}

// countEjected counts the servers of the subset that are ejected or not yet trusted again, and those that
// are ejected now.
func (b *Balancer) countEjected() (ejected, ejectedNow int) {
	if !b.maybeEjected {
		return 0, 0
	}
	for i := range len(b.localSubset) + len(b.remoteSubset) {
		s := b.subsetServer(i)
		if s.ejections > 0 || s.zone.ejections > 0 {
			ejected++
		}
		if s.ejectedUntil > b.now || s.zone.ejectedUntil > b.now {
			ejectedNow++
		}
	}
	b.maybeEjected = ejected > 0
	return ejected, ejectedNow
}

// followWatch tracks the subscription to the server list and renews it with back-off and jitter.
func (b *Balancer) followWatch(kind ListKind) {
	b.watchRequested, b.watching = false, kind == ListDiff || kind == ListFull
	wait := max(holdInterval,
		min(watchRetryMin<<min(b.watchTries, 8), watchRetryMax, b.cfg.ResubscribeWithin/2))
	if b.watching {
		b.watchTries = 0
		return
	}
	b.watchTries++
	b.emit(Action{Kind: StartTimer, Token: watchTimerToken, Wait: b.jitter(wait)})
}
