package endpoints

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// A network may swallow a long poll in silence, and then the node goes on with an old list until its wait is over.
	// But discovery can send so many lines a second to the whole fleet, and every call costs some: so a poll waits
	// the longer the more nodes there are.
	pollANode  = 1500 * time.Millisecond
	pollLeast  = 6 * time.Second
	pollMost   = 48 * time.Second // the longest wait is a quarter more, and the protocol's bound a minute
	pollDither = 32               // up to one part in so many on top, where nodes share a number
	// A poll that would end sooner than this, or than a quarter of the period, waits for the turn after that.
	pollShortest = 3 * time.Second
	// What a poll has to tell counts as told 2 s after its wait is over, whether or not it came, and discovery may take
	// most of that for the next call: one without an answer by now is lost.
	pollLate = 300 * time.Millisecond
	// After a call that did not get through whatever discovery has known for 6 s counts as told: the next poll proves
	// early that calls do, and leaves the time for one more.
	proofWait     = 1500 * time.Millisecond
	proofPatience = 4 * time.Second // discovery may let it wait in turn first

	// Where lists are pushed an agent on the node's own machine has them. What it has counts as told at once, while it is
	// silent as long as discovery is down: a poll must be over, and the next one answered, within the grace of drains.
	agentWait     = 200 * time.Millisecond
	agentPatience = 300 * time.Millisecond

	turnsApart = 0.63224128846 // multiples of it, less whole numbers, lie evenly between 0 and 1
)

// Place is where a node stands in its fleet.
type FleetPosition struct {
	NodeIndex, NodeCount int // its number in its tier; under 0: unknown
	Tier                 int
	ListObligation       time.Duration // a node without a watch is held to its list for so long after a call; 0: for good
	Pushed               bool          // lists come from an agent beside it, at no cost
	Seed                 uint64
}

// PollSchedule says how long each long poll of a watch may wait. The polls of a fleet end one after the other: a network
// that swallows all of them at once, or discovery that starts anew, would else get all the next calls at the same time,
// and keep the last of them waiting for longer than the rules allow. So each node has a turn in a period on the
// wall clock, by its number; where clocks differ, turns do so by chance.
type PollSchedule struct {
	period, phase time.Duration
	pushed        bool
	rng           *rand.Rand
}

// NewPollSchedule returns the schedule of one node.
func NewPollSchedule(p FleetPosition) *PollSchedule {
	s := &PollSchedule{pushed: p.Pushed, rng: rand.New(rand.NewPCG(p.Seed, 0x706f6c6c))}
	s.period = min(max(pollLeast, time.Duration(max(0, p.NodeCount))*pollANode), pollMost)
	s.phase = time.Duration(p.turn() * float64(s.period))
	return s
}

// turn is the part of a period after which the node's turn is. One with no number, or alone, has it by chance.
func (p FleetPosition) turn() float64 {
	if p.NodeIndex < 0 || p.NodeCount <= 1 {
		return rand.New(rand.NewPCG(p.Seed, 0x7475726e)).Float64()
	}
	_, at := math.Modf(float64(p.NodeIndex)*turnsApart + between(p.Tier))
	return at
}

// between is where the turns of a tier begin, halfway between those of the tiers before: van der Corput's sequence.
func between(tier int) (at float64) {
	for half := 0.5; tier > 0; tier, half = tier/2, half/2 {
		at += float64(tier%2) * half
	}
	return at
}

// Wait returns how long a poll that begins at a time of the wall clock may wait at discovery, and after which time
// without an answer it is lost. lost: the call before it did not get through. Discovery that turns calls away has too many,
// and gets no short ones.
func (s *PollSchedule) NextPoll(wall time.Duration, lost bool) (wait, patience time.Duration) {
	if s.pushed {
		return agentWait, agentPatience
	}
	wait = (s.phase - wall%s.period + s.period) % s.period
	if wait < max(pollShortest, s.period/4) {
		wait += s.period
	}
	wait -= time.Duration(s.rng.Float64() * float64(s.period) / pollDither)
	if lost && wait > proofWait {
		return proofWait, proofPatience
	}
	return wait, wait + pollLate
}
