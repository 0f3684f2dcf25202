package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// State that decisions are based on; nothing is decided in this file.

// health tracks failures of a server, or of a zone as seen from this node.
type health struct {
	inflight            int
	consecutiveFailures int
	ejections           int // since the last success
	ejectedUntil        time.Duration
}

// idleStat counts the results of sends on connections with about the same idle time.
type idleStat struct{ lost, answered float64 }

// zone is the state of a zone.
type zone struct {
	health
	subsetServers      int           // servers of this node's subset
	listedServers      int           // healthy servers in the list
	refusals           int           // consecutive sends rejected or without a connection
	doubtedAt          time.Duration // last time that refusals reached zoneRefusalLimit
	departures         int           // servers listed as draining or removed in close succession ...
	lastDeparture      time.Duration // ... and when the last of them was
	connectFailureSpan timeSpan      // of the current series of connection failures; 0: none
	connectFailures    int           // length of that series
	outage             timeSpan      // the last series that indicates the loss of the zone
}

// server is the state of one server as this node sees it.
type server struct {
	Server
	health
	zone            *zone
	ringPosition    uint64
	weight          float64
	extraSlowness   float64       // relative response time beyond what its weight explains ...
	extraSlownessAt time.Duration // ... as of this time
	acceptedAt      time.Duration // when the last request that it served was sent ...
	rejectedAt      time.Duration // ... and the last one that it rejected
	tokens          float64       // sends that it may get while cold
	refilledAt      time.Duration
	grantState
	uptime timeSpan // in which the same process is known to have been running
	// What was sent until these times may have run in another zone or cell; 0: nothing.
	zoneUnknownUntil, cellUnknownUntil time.Duration
	successor                          successorSuspicion
	idleConns                          []time.Duration // when each idle connection became idle; the last one that has settled is used first
	inFullList                         bool            // named by the full list that is being applied
	listed                             bool            // among localServers or remoteServers
	local                              bool            // in this node's zone
}

// attempt is one send of a request.
type attempt struct {
	server     *server
	sentAt     time.Duration
	dueAt      time.Duration // when the attempt is overdue
	hedgeAt    time.Duration // when a hedged attempt may start; 0: never
	idleBucket int           // bucket of its connection's idle time; -1: new or hardly idle
	overdue    bool
	done       bool
	result     Result // valid once done
}

// call is a request that has no final response yet.
type call struct {
	Request
	policy            *RoutePolicy  // the policy under which the request arrived
	arrived, giveUpAt time.Duration // giveUpAt: when a response stops being useful
	notBefore         time.Duration // no further attempt before this time
	attempts          []attempt
	openAttempts      int           // attempts without an outcome
	waiting           bool          // no server can take it at the moment
	mayHaveRun        bool          // an attempt may have run ...
	mayHaveRunAt      time.Duration // ... the first of these was sent at this time ...
	mayHaveRunOn      *server       // ... to this server
}

// tenant meters one tenant's traffic against its quota.
type tenant struct {
	tokens     float64
	refilledAt time.Duration
}

// byRingPosition orders servers by their position on the hash ring.
func byRingPosition(x, y *server) int {
	return cmp.Or(cmp.Compare(x.ringPosition, y.ringPosition), cmp.Compare(x.ID, y.ID))
}

// currentAnswerRate returns the recent responses per second. The rate decays between responses: without
// decay, a node that receives few would always assume at least one per answerRateMemory.
func (b *Balancer) currentAnswerRate() float64 {
	return b.answerRate * math.Exp(-(b.now-b.answerRateAt).Seconds()/answerRateMemory.Seconds())
}

// memberCount returns the number of healthy servers.
func (b *Balancer) memberCount() int { return len(b.localServers) + len(b.remoteServers) }

// setListed adds a server to the healthy servers or removes it.
func (b *Balancer) setListed(s *server, in bool) {
	if s.listed == in {
		return
	}
	s.listed = in
	list := &b.remoteServers
	if s.local {
		list = &b.localServers
	}
	at, _ := slices.BinarySearchFunc(*list, s, byRingPosition)
	if in {
		*list = slices.Insert(*list, at, s)
		b.weightSum += s.weight
		s.zone.listedServers++
	} else {
		*list = slices.Delete(*list, at, at+1)
		b.weightSum -= s.weight
		s.zone.listedServers--
	}
}

// zone returns the state of a zone and creates it if necessary.
func (b *Balancer) zone(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{}
		b.zones[name] = z
	}
	return z
}

// hash returns the position of a server on the hash ring, which is the same for all nodes.
func hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>29
}

// newCall returns an unused call, recycled if possible.
func (b *Balancer) newCall() *call {
	n := len(b.freeCalls)
	if n == 0 {
		return &call{}
	}
	c := b.freeCalls[n-1]
	b.freeCalls = b.freeCalls[:n-1]
	return c
}

// recycleCall makes a call available for reuse; nothing may refer to it any more.
func (b *Balancer) recycleCall(c *call) {
	clear(c.attempts)
	if c.mayHaveRunOn = nil; len(b.freeCalls) < maxFreeCalls {
		b.freeCalls = append(b.freeCalls, c)
	}
}
