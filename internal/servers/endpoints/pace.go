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
	// No pause is longer than this for each node of the tier: where there are few, the last calls of others are soon over.
	backOffANode = 2 * time.Second
	backOffLeast = 1500 * time.Millisecond
	// A call that ended sooner than this was turned away by a full queue. It cost discovery nothing, and counts less.
	queuedLeast = 300 * time.Millisecond
	turnedAway  = 0.5

	// A turn that comes sooner than this part of the pause is left out for the next.
	turnSoonest = 0.25
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
}

// NewPace returns the pace of a node that stands there in its fleet.
func NewPace(p Place) *Pace {
	most := min(max(backOffLeast, time.Duration(max(0, p.Nodes))*backOffANode), backOffMost)
	first := min(max(backOffFirst, time.Duration(p.Nodes)*backOffTurn), backOffSoon)
	return &Pace{turn: p.turn(), first: first, most: max(first, most)}
}

// Overloaded takes a call that discovery had no capacity for, and that took so long. It returns the pause before the next.
func (p *Pace) Overloaded(wall, took time.Duration) (pause time.Duration) {
	doublings := min(max(0, p.failures-backOffHeld), 8)
	period := min(time.Duration(math.Exp2(doublings)*float64(p.first)), p.most)
	if took < queuedLeast {
		p.failures += turnedAway
	} else {
		p.failures++
	}
	return p.until(wall, period)
}

// Answered takes an answer. One does not end an overload.
func (p *Pace) Answered() { p.failures /= 2 }

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
