package decide

import (
	"cmp"
	"math"
	"slices"
)

// What follows keeps the rows that decisions go by, and decides nothing.

// byRing orders servers by their place on the ring.
func byRing(x, y *server) int { return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.ID, y.ID)) }

// answers is how many a second have come of late. Between two it fades: read as of the last one, it would tell a node that
// sees few of at least one in rateMemory.
func (b *Balancer) answers() float64 {
	return b.rate * math.Exp(-(b.now-b.rateAt).Seconds()/rateMemory.Seconds())
}

// members is the number of servers that may be sent to.
func (b *Balancer) members() int { return len(b.homes) + len(b.others) }

// enlist puts a server among the members, or takes it out.
func (b *Balancer) enlist(s *server, in bool) {
	if s.listed == in {
		return
	}
	s.listed = in
	list := &b.others
	if s.near {
		list = &b.homes
	}
	at, _ := slices.BinarySearchFunc(*list, s, byRing)
	if in {
		*list = slices.Insert(*list, at, s)
		b.sums += s.weight
	} else {
		*list = slices.Delete(*list, at, at+1)
		b.sums -= s.weight
	}
}

// zone returns what is known of a zone.
func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// hash places a server on the ring that all nodes share.
func hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>29
}

// newCall returns a call to be filled, used before if there is one.
func (b *Balancer) newCall() *call {
	n := len(b.spare)
	if n == 0 {
		return &call{}
	}
	c := b.spare[n-1]
	b.spare = b.spare[:n-1]
	return c
}

// release gives back a call that nothing points to any more.
func (b *Balancer) release(c *call) {
	clear(c.attempts)
	if c.ranOn = nil; len(b.spare) < mostSpare {
		b.spare = append(b.spare, c)
	}
}
