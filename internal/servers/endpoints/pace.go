package endpoints

import (
	"math"
	"time"
)

const (
	// A call that discovery had no capacity for is followed by a pause. The first ones give each node of the tier a turn of
	// its own, and leave time for a call before what discovery has counts as told; each further one doubles the pause.
	backOffTurn  = 190 * time.Millisecond
	backOffFirst = 1250 * time.Millisecond
	backOffSoon  = 5 * time.Second
	backOffHeld  = 1 // pauses beyond the first that are not doubled
	backOffMost  = 48 * time.Second
	// A call that waited for so long in the queue had as much work before it: the first pauses are a multiple of that wait, so that
	// the queue of a small fleet can clear. A node that has not heard discovery since its start asks again as early as its turn
	// lets it: what discovery has counts as told soon after the start.
	backOffWaits = 4
	// No pause is longer than this for each node of the tier, with a floor, as the nodes of other tiers call as well. A node
	// that is alone in its tier has a shorter one.
	backOffANode = 2 * time.Second
	backOffFleet = 16 * time.Second
	backOffAlone = 2 * time.Second
	// A call that ended sooner than this was turned away by a full queue. It cost discovery nothing, and counts less.
	queuedLeast = 300 * time.Millisecond
	turnedAway  = 0.5

	// A turn that comes sooner than this part of the pause is left out for the next.
	turnSoonest = 0.25

	// Long polls of a whole fleet may be reset at once. A change then counts as told 6 s later: each node has its turn before,
	// with 2 s left for the call.
	resetSpread = toldAfterFailure - 2*time.Second
)

// Pace controls a node's rate of calls to discovery by what becomes of them, as the retries of a whole fleet would keep an
// overloaded discovery from answering any. Pauses end at the node's turn in a period of their length, by its number and the
// wall clock, so that calls of nodes that fail together do not come together again.
//
// An answer is followed by the next long poll at once, however busy discovery is: what changes in the 200 ms after an answer
// counts as told.
type Pace struct {
	turn     float64       // part of a period after which this node's turn is
	failures float64       // calls in a row that discovery had no capacity for; an answer takes half of them back
	first    time.Duration // pause after an overloaded call ...
	most     time.Duration // ... and at the most
	reset    time.Duration // over which a fleet's calls are spread after a reset
}

// NewPace returns the pace of a node that stands there in its fleet.
func NewPace(p Place) *Pace {
	nodes := time.Duration(max(0, p.Nodes))
	if nodes <= 1 {
		return &Pace{turn: p.turn(), first: backOffFirst, most: backOffAlone}
	}
	return &Pace{
		turn:  p.turn(),
		first: min(max(backOffFirst, nodes*backOffTurn), backOffSoon),
		most:  min(max(backOffFleet, nodes*backOffANode), backOffMost),
		reset: resetSpread,
	}
}

// Overload is a call that discovery had no capacity for.
type Overload struct {
	Took  time.Duration
	Heard bool // discovery has been heard since the node's start
}

// Overloaded takes an overload that ended at a time of the wall clock, and returns the pause before the next call.
func (p *Pace) Overloaded(wall time.Duration, call Overload) (pause time.Duration) {
	doublings := min(max(0, p.failures-backOffHeld), 8)
	first := p.first
	if call.Heard {
		first = max(first, min(backOffWaits*call.Took, backOffSoon))
	}
	period := min(time.Duration(math.Exp2(doublings)*float64(first)), p.most)
	if call.Took < queuedLeast {
		p.failures += turnedAway
	} else {
		p.failures++
	}
	return p.until(wall, period)
}

// Answered takes an answer. One does not end an overload.
func (p *Pace) Answered() { p.failures /= 2 }

// Reset takes a long poll that was reset while it was open, and returns the pause before the next.
func (p *Pace) Reset() (pause time.Duration) { return p.Spread(p.reset) }

// Spread is the pause before a node's first call at an address to which all of the fleet come at once, of a time that the
// fleet may need.
func (p *Pace) Spread(all time.Duration) time.Duration { return time.Duration(p.turn * float64(all)) }

// until is the time up to the node's next turn in a period, or the one after that if it is too near.
func (p *Pace) until(wall, period time.Duration) time.Duration {
	wait := (time.Duration(p.turn*float64(period)) - wall%period + period) % period
	if wait < time.Duration(turnSoonest*float64(period)) {
		wait += period
	}
	return wait
}
