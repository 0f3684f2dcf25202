package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Which servers there are to a node, and which of them it keeps to.

const (
	subsetFront = 8                      // servers a front node keeps to, and nodes that know each
	subsetInner = 5                      // the same below: more of a node's calls on each
	nearPart    = 0.75                   // part of the subset that lies in the own zone
	askStep     = 250 * time.Millisecond // first wait before asking for the list again
	askMost     = 3 * time.Second / 2    // the longest: what discovery has known for 6 s counts as told
	sizeSlack   = 1.0 / 16               // part by which a subset may be larger or smaller than its share
	startSlack  = 32                     // part of a ring (one in so many) by which its start may be off
	spread      = 0.63224128846          // multiples of it spread evenly, every 2nd to 16th of them too
)

// Members takes word of the servers.
func (b *Balancer) HandleList(now time.Duration, m ListUpdate, out []Action) []Action {
	b.begin(now, out)
	if b.set.MustSubscribe && m.Kind != ListRestored {
		b.follow(m.Kind)
	}
	b.confirm(&m)
	if m.Kind == ListFailed {
		return b.out
	}
	whole := m.Kind != ListDiff && m.Kind != ListRestored
	b.before, b.there = m.PriorRate, float64(m.FleetSize)
	if whole {
		for _, s := range b.servers {
			s.seen, s.listed = false, false
		}
		b.homes, b.others, b.sums = b.homes[:0], b.others[:0], 0
		for _, z := range b.zones {
			z.listed = 0
		}
	}
	for i := range m.Servers {
		b.enter(&m.Servers[i], whole)
	}
	if whole {
		for id, s := range b.servers {
			if !s.seen {
				s.Health = Removed
			}
			switch {
			case s.Health == Healthy && s.near:
				b.homes = append(b.homes, s)
			case s.Health == Healthy:
				b.others = append(b.others, s)
			case s.Health == Removed && s.inflight == 0:
				delete(b.servers, id)
			}
			if s.listed = s.Health == Healthy; s.listed {
				b.sums += s.weight
				s.zone.listed++
			}
		}
		slices.SortFunc(b.homes, byRing)
		slices.SortFunc(b.others, byRing)
	}
	b.choose()
	return b.out
}

// enter takes one entry of a list. Changes cost what the entry costs, whatever the number of servers.
func (b *Balancer) enter(e *Server, whole bool) {
	s := b.servers[e.ID]
	if s == nil {
		s = &server{rank: hash(e.ID), zone: b.zone(e.Zone)}
		b.servers[e.ID] = s
	}
	if e.Started > s.Started { // a new process: what was held against the old one is void
		s.served()
		s.idle, s.alive = nil, lifetime{}
		s.late, s.tokens, s.filled, s.pooled = 0, b.rng.Float64(), b.now, pooled{}
	}
	if s.listed && e.Health != Healthy {
		s.zone.leave(b.now)
	}
	if !whole {
		b.enlist(s, false) // by what it was
	}
	s.Server, s.seen, s.near, s.weight = *e, true, e.Zone == b.set.Zone, e.Weight
	if s.weight <= 0 {
		s.weight = 1
	}
	if whole {
		return // all of them in one go
	}
	if s.Health == Healthy {
		b.enlist(s, true)
	} else if s.Health == Removed && s.inflight == 0 {
		delete(b.servers, e.ID)
	}
}

// choose draws the subset: a stretch of the ring, mostly of the own zone. The nodes' stretches start evenly
// along it: were each drawn for itself, chance would let twice as many nodes know one server as another.
func (b *Balancer) choose() {
	size, all := subsetFront, b.members()
	if b.set.Tier > 0 {
		size = subsetInner
	}
	want := max(float64(size), float64(size*all)/float64(max(1, b.set.Nodes)))
	b.size = min(max(b.size, want*(1-sizeSlack)), want*(1+sizeSlack))
	size = min(int(math.Ceil(b.size)), all)
	// A fleet that has grown is no proof of room: the tier below may be the one that is short. Room follows
	// as long as r stays calm.
	if b.known == 0 {
		b.known = float64(all)
	}
	b.weight = b.sums / float64(max(1, all))
	nears := min(len(b.homes), max(int(math.Ceil(nearPart*float64(size))), size-len(b.others)))
	b.near = b.stretch(b.near[:0], b.homes, nears, &b.starts[0])
	b.far = b.stretch(b.far[:0], b.others, size-nears, &b.starts[1])
	for _, z := range b.zones {
		z.members = 0
	}
	for i := range len(b.near) + len(b.far) {
		b.subset(i).zone.members++
	}
	b.faulty = true // until it was looked at
}

// stretch appends n members of a ring, from this node's start. Starts spread evenly by place, and keep to
// where they are on the ring while that is near enough, so that one change moves hardly more than its own.
func (b *Balancer) stretch(to, ring []*server, n int, from *uint64) []*server {
	_, at := math.Modf(float64(max(0, b.set.Node)) * spread)
	start, length := int(at*float64(len(ring))), len(ring)
	byRank := func(s *server, rank uint64) int { return cmp.Compare(s.rank, rank) }
	i, _ := slices.BinarySearchFunc(ring, *from, byRank)
	if slack := min(n, length/startSlack); slack > 0 && *from > 0 {
		off := (i-start+length+length/2)%length - length/2 // the shorter way round
		start = (start + min(max(off, -slack), slack) + length) % length
	}
	if n > 0 && start != i%length {
		*from = ring[start].rank
	}
	to = append(to, ring[start:min(start+n, length)]...)
	return append(to, ring[:n-len(to)]...)
}

// faults counts the servers of the subset that are ejected or on trial, and those to keep away from now.
func (b *Balancer) faults() (ejected, out int) {
	if !b.faulty {
		return 0, 0
	}
	for i := range len(b.near) + len(b.far) {
		s := b.subset(i)
		if s.ejections > 0 || s.zone.ejections > 0 {
			ejected++
		}
		if s.outUntil > b.now || s.zone.outUntil > b.now {
			out++
		}
	}
	b.faulty = ejected > 0
	return ejected, out
}

// follow keeps a watch on a list that comes only when asked for, and asks again with back-off and jitter.
func (b *Balancer) follow(c ListKind) {
	b.asking, b.watching = false, c == ListDiff || c == ListFull
	wait := max(holdStep, min(askStep<<min(b.askTries, 8), askMost, b.set.ResubscribeWithin/2))
	if b.watching {
		b.askTries = 0
		return
	}
	b.askTries++
	b.act(Action{Kind: StartTimer, Token: askToken, Wait: b.jitter(wait)})
}
