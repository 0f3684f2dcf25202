package endpoints

import (
	"math/rand/v2"
	"time"
)

const (
	// Signs that the list is old: so many failures within a time, of one server or of several.
	signWindow  = 10 * time.Second
	signsOfOne  = 3
	signsOfMany = 2 // servers
	mostSigns   = 8 // servers remembered
	// Early questions are apart by at least this, doubled by each that brought nothing new ...
	leastGap = 2 * time.Second
	mostGap  = time.Minute
	// ... and each waits for a random part of a time that grows with the nodes: they see the same.
	spreadANode = 5 * time.Millisecond
	mostSpread  = 2 * time.Second

	// A node with a list asks for its changes later than one that has none, as each of these.
	firstANode = 100 * time.Millisecond
	mostFirst  = 4 * time.Second
	// A node that starts may have been away for 5 s. A loss that discovery lists 2 s after it counts as told 6 s later, so 3 s
	// after the start: the first call must have been answered by then.
	mostAtStart = 2500 * time.Millisecond
	// A call that was given up in discovery's queue cost discovery its work all the same: the next waits longer, up to
	// what a fleet of this size may have to wait. In a small one a network that swallows calls is found sooner.
	patienceTimes = 2
	leastANode    = 50 * time.Millisecond
	mostANode     = time.Second
)

// Signs weighs signs that the list is old, and says when to ask early.
type StalenessDetector struct {
	nodes   int
	rng     *rand.Rand
	servers []sign // bounded: the oldest gives way
	gap     time.Duration
	nextAt  time.Duration // no early question before
	asked   bool          // one is out, or about to go
}

type sign struct {
	id    string
	count int
	last  time.Duration
}

// NewSigns returns signs of nothing, for one of so many nodes.
func NewStalenessDetector(nodes int, seed uint64) *StalenessDetector {
	return &StalenessDetector{nodes: max(1, nodes), rng: rand.New(rand.NewPCG(seed, 0x51475)), gap: leastGap}
}

// Failed takes a connection that failed, or an attempt that was turned away. If ok, discovery is to be asked
// after the wait.
func (s *StalenessDetector) RecordFailure(now time.Duration, id string) (wait time.Duration, ok bool) {
	kept := s.servers[:0]
	found := -1
	for _, x := range s.servers {
		if now-x.last > signWindow {
			continue
		}
		if x.id == id {
			x.count++
			x.last = now
			found = x.count
		}
		kept = append(kept, x)
	}
	if found < 0 {
		if len(kept) == mostSigns {
			kept = append(kept[:0], kept[1:]...)
		}
		kept = append(kept, sign{id, 1, now})
		found = 1
	}
	s.servers = kept
	if s.asked || now < s.nextAt || found < signsOfOne && len(kept) < signsOfMany {
		return 0, false
	}
	s.asked = true
	return s.spread(), true
}

// Served takes an answer: what was held against its server is void.
func (s *StalenessDetector) RecordSuccess(id string) {
	for i := range s.servers {
		if s.servers[i].id == id {
			s.servers = append(s.servers[:i], s.servers[i+1:]...)
			return
		}
	}
}

// Quiet tells whether there is nothing to forget: the usual case.
func (s *StalenessDetector) Empty() bool { return len(s.servers) == 0 }

// Doubted asks for a second look at a list. One beyond the budget waits for it, as no further sign may come.
func (s *StalenessDetector) RequestRefetch(now time.Duration) (wait time.Duration, ok bool) {
	if s.asked {
		return 0, false
	}
	s.asked = true
	return max(0, s.nextAt-now) + s.spread(), true
}

func (s *StalenessDetector) spread() time.Duration {
	most := min(time.Duration(s.nodes)*spreadANode, mostSpread)
	return time.Duration(s.rng.Float64() * float64(most))
}

// Answered takes what came of a question, early or not: whether it was an answer, and brought news.
func (s *StalenessDetector) RecordFetch(now time.Duration, news bool) {
	if news {
		s.gap, s.servers = leastGap, s.servers[:0]
	} else if s.asked {
		s.gap = min(2*s.gap, mostGap)
	}
	if s.asked {
		s.asked, s.nextAt = false, now+s.gap
	}
}

// Asking says when a starting node asks first, and how long a call may take.
type CallTiming struct {
	nodes    int
	least    time.Duration
	most     time.Duration
	patience time.Duration
}

// NewAsking is for one of so many nodes, whose calls may take that long at the least.
func NewCallTiming(nodes int, least time.Duration) *CallTiming {
	nodes = max(1, nodes)
	least = max(least, time.Duration(nodes)*leastANode)
	return &CallTiming{nodes: nodes, least: least, most: max(patienceTimes*least, time.Duration(nodes)*mostANode), patience: least}
}

// First is how long a starting node waits before it asks discovery, if its turn is after such a part of the time that the
// fleet needs. One that has a list serves meanwhile, and leaves the turn to those that have none.
func (a *CallTiming) StartDelay(haveList bool, turn float64) time.Duration {
	if !haveList {
		return 0
	}
	return time.Duration(turn * float64(min(a.StartSpread(), mostAtStart)))
}

// Spread is the time over which the first calls of a fleet are spread.
func (a *CallTiming) StartSpread() time.Duration {
	return min(time.Duration(a.nodes)*firstANode, mostFirst)
}

// Patience is how long a call may take: the more its kind was lost of late, the longer.
func (a *CallTiming) Timeout() time.Duration { return a.patience }

// Ended takes how long a call took, and whether it ended by its own patience.
func (a *CallTiming) RecordCall(took time.Duration, lost bool) {
	if lost {
		a.patience = min(patienceTimes*a.patience, a.most)
	} else {
		a.patience = min(max(a.least, patienceTimes*took), a.most)
	}
}
