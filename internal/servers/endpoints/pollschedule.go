package endpoints

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// A network may swallow a long poll silently, and the node then uses an old list until the wait of the poll is
	// over. But discovery can send only so many lines a second to the whole fleet, and every call costs some. So
	// polls wait longer in a larger fleet.
	pollPeriodPerNode = 1500 * time.Millisecond
	minPollPeriod     = 6 * time.Second
	maxPollPeriod     = 48 * time.Second // a wait can be a quarter longer; the limit of the protocol is a minute
	pollJitterDivisor = 32               // up to 1/32 of the period, at random, separates nodes with the same number
	// A poll that would end sooner than this, or than a quarter of the period, waits for the time slot after that.
	minPollWait = 3 * time.Second
	// The node counts as notified of what a poll has to deliver 2 s after the end of its wait, whether or not the
	// answer came, and discovery may need most of that time for the next call. So a poll without an answer by then is
	// lost.
	pollAnswerMargin = 300 * time.Millisecond
	// After a call that did not get through, the node counts as notified of each change that discovery has had for 6
	// s. The next poll is a short probe: it shows early whether calls get through, and leaves time for one more.
	probeWait    = 1500 * time.Millisecond
	probeTimeout = 4 * time.Second // includes the time that the call may wait in the queue of discovery

	// Where lists are pushed, an agent on the machine of the node has them. The node counts as notified at once of
	// what the agent has, but the agent does not answer while discovery is down. A poll must be over and the next one
	// answered within the grace period of drains.
	agentWait    = 200 * time.Millisecond
	agentTimeout = 300 * time.Millisecond

	turnSpacing = 0.63224128846 // the fractional parts of its multiples are spread evenly between 0 and 1
)

// FleetPosition is the position of a node in its fleet.
type FleetPosition struct {
	NodeIndex, NodeCount int // number of the node in its tier, negative if unknown; and nodes of the tier
	Tier                 int
	ResubscribeWithin    time.Duration // without a watch, the longest time between two calls; 0: no limit
	Pushed               bool          // lists come from an agent on the same machine, at no cost
	Seed                 uint64
}

// PollSchedule determines how long each long poll of a watch may wait. The polls of a fleet end one after the other.
// Otherwise a network that swallows all of them at once, or a restart of discovery, would cause all next calls at the
// same time, and the last of them would wait for longer than the rules allow. So each node has a time slot in a
// period of the wall clock, determined by its number. Where clocks differ, the slots are random.
type PollSchedule struct {
	period, phase time.Duration
	pushed        bool
	rng           *rand.Rand
}

// NewPollSchedule returns the schedule of the node at a position in its fleet.
func NewPollSchedule(p FleetPosition) *PollSchedule {
	s := &PollSchedule{pushed: p.Pushed, rng: rand.New(rand.NewPCG(p.Seed, 0x706f6c6c))}
	s.period = min(max(minPollPeriod, time.Duration(max(0, p.NodeCount))*pollPeriodPerNode), maxPollPeriod)
	s.phase = time.Duration(p.turnOffset() * float64(s.period))
	return s
}

// turnOffset returns the fraction of a period at which the time slot of the node begins. It is random if the number
// is unknown or the node is alone.
func (p FleetPosition) turnOffset() float64 {
	if p.NodeIndex < 0 || p.NodeCount <= 1 {
		return rand.New(rand.NewPCG(p.Seed, 0x7475726e)).Float64()
	}
	_, offset := math.Modf(float64(p.NodeIndex)*turnSpacing + tierOffset(p.Tier))
	return offset
}

// tierOffset returns the offset of the time slots of a tier: halfway between those of the tiers before it (van der
// Corput sequence).
func tierOffset(tier int) (offset float64) {
	for half := 0.5; tier > 0; tier, half = tier/2, half/2 {
		offset += float64(tier%2) * half
	}
	return offset
}

// NextPoll returns how long a poll that starts at a wall clock time may wait at discovery, and the timeout after
// which it is lost. lastFailed: the previous call did not get through. The caller doesn't set it if discovery
// rejected that call: discovery has too many calls then, and short polls would add to them.
func (s *PollSchedule) NextPoll(wall time.Duration, lastFailed bool) (wait, timeout time.Duration) {
	if s.pushed {
		return agentWait, agentTimeout
	}
	wait = (s.phase - wall%s.period + s.period) % s.period
	if wait < max(minPollWait, s.period/4) {
		wait += s.period
	}
	wait -= time.Duration(s.rng.Float64() * float64(s.period) / pollJitterDivisor)
	if lastFailed && wait > probeWait {
		return probeWait, probeTimeout
	}
	return wait, wait + pollAnswerMargin
}
