package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What follows keeps the rows that decisions go by, and decides nothing.

// health tells whether something may be sent to: one server, or a zone as seen from here.
type health struct {
	inflight  int
	fails     int // in a row
	ejections int // ejections since it last served
	outUntil  time.Duration
}

// idling counts what became of sends on connections that had idled for about as long.
type idling struct{ lost, answered float64 }

// zone is what a node knows of a zone.
type zone struct {
	health
	members  int           // of the subset
	listed   int           // servers that may be sent to
	refusals int           // sends in a row that its servers turned away, or that found no connection
	doubted  time.Duration // when these were the last time as many as zoneRefuses
	left     int           // its servers that were listed as draining or gone, one soon after the other ...
	leftAt   time.Duration // ... and the last of them
	unmade   lifetime      // of the present row of sends that found no connection; 0: none
	missed   int           // how many these are
	lost     lifetime      // of the last such row that says that the zone was lost or cut off
}

// server is one server as this node sees it.
type server struct {
	Server
	health
	zone     *zone
	rank     uint64 // place on the ring
	weight   float64
	late     float64       // response time against that of all servers, beyond what its size says ...
	lateAt   time.Duration // ... as of this time
	provenAt time.Duration // the last send that it served ...
	deniedAt time.Duration // ... and the last one that it turned away
	tokens   float64       // sends it may get while cold
	filled   time.Duration
	pooled
	alive  lifetime        // of its process, as far as this node knows
	idle   []time.Duration // since when its idle connections have been so; the last is used first
	seen   bool            // named by the whole list that comes now
	listed bool            // among the members
	near   bool
}

// attempt is one send of a request.
type attempt struct {
	server  *server
	sent    time.Duration
	due     time.Duration // when an answer is out of the usual
	copyAt  time.Duration // when a second copy may go out; 0: never
	span    int           // of the idle time of its connection; -1: none to speak of
	overdue bool
	done    bool
	result  Result // once done
}

// call is a request that still needs its final answer.
type call struct {
	Request
	bounds         *RoutePolicy  // those that it arrived under
	arrived, until time.Duration // until: when an answer stops being of use
	resume         time.Duration // no further attempt before this
	attempts       []attempt
	open           int           // attempts without an outcome
	held           bool          // no server may take it at the moment
	ran            bool          // an attempt may have run ...
	ranAt          time.Duration // ... sent first at this time ...
	ranOn          *server       // ... to this server
}

// tenant meters one tenant's traffic against its share.
type tenant struct {
	tokens float64
	filled time.Duration
}

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
		s.zone.listed++
	} else {
		*list = slices.Delete(*list, at, at+1)
		b.sums -= s.weight
		s.zone.listed--
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
