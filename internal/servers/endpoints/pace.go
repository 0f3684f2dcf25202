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

	// Periodic calls come as often as what discovery has counts as told, each between half a period and one and a half after the
	// answer before.
	periodicCalls   = toldAfterFailure
	periodicSoonest = 0.5
	// An answer to a long poll costs discovery the call that follows it as well, and the whole list its lines. By the platform's page
	// a call costs 20 to 60 lines: a list of so many costs no more than that call.
	periodicServers = 20
	// An answer that took longer than answeredLate says that whole lists are more than discovery can bear, and one that came sooner
	// than answeredSoon that they are not. Long polls take their place meanwhile.
	answeredLate = time.Second
	answeredSoon = answeredLate / 2
	// After so many periodic calls in a row that failed, only the pauses of long polls give discovery time enough.
	periodicInVain = 3
	// Periodic calls leave a node without a watch for a period, and the next call may wait in the queue before it is answered. A node
	// that is held to its list for less than that makes none.
	periodicLeast = periodicCalls + longestQueue
	// After so many answers in a row with nothing new the node's list is quiet, and a long poll costs discovery less.
	periodicQuiet = 2
	// An overload counts as over when so much of the failures is left.
	overloadEnded = 0.5
)

// mode is how a node asks discovery.
type mode int

const (
	longPolling  mode = iota // one long poll after the other
	periodic                 // at its turn in a period
	longPollOnly             // as longPolling, until the overload has ended
)

// Pace controls a node's rate of calls to discovery by what becomes of them, as the retries of a whole fleet would keep an
// overloaded discovery from answering any. Pauses end at the node's turn in a period of their length, by its number and the
// wall clock, so that calls of nodes that fail together do not come together again.
//
// An answer to a long poll is followed by the next at once, however busy discovery is: what changes in the 200 ms after an answer
// counts as told. So where all nodes watch a list that changes, each change costs a call of each node. In an overload a node with a
// short list asks for the whole of it instead, once in a period: that is no watch, and one answer tells all changes of the period.
// Where discovery is too slow for that as well, long polls come as seldom. What changes in the 200 ms after their answers is heard
// late then; where all nodes go on with one long poll after the other, most that changes is.
type CallPacer struct {
	turn     float64       // part of a period after which this node's turn is
	failures float64       // calls in a row that discovery had no capacity for; an answer takes half of them back
	first    time.Duration // pause after an overloaded call ...
	most     time.Duration // ... and at the most
	reset    time.Duration // over which a fleet's calls are spread after a reset

	seldom bool // calls may be as seldom as periodic ones
	mode   mode
	period time.Duration // of periodic calls
	slow   bool          // discovery, to write whole lists
	failed int           // periodic calls that failed in a row
	quiet  int           // answers to periodic calls in a row with nothing new
}

// NewPace returns the pace of a node that stands there in its fleet.
func NewCallPacer(p FleetPosition) *CallPacer {
	nodes := time.Duration(max(0, p.NodeCount))
	if nodes <= 1 {
		return &CallPacer{turn: p.turn(), first: backOffFirst, most: backOffAlone}
	}
	return &CallPacer{
		turn:  p.turn(),
		first: min(max(backOffFirst, nodes*backOffTurn), backOffSoon),
		most:  min(max(backOffFleet, nodes*backOffANode), backOffMost),
		reset: resetSpread,

		seldom: p.ListObligation == 0 || p.ListObligation >= periodicLeast,
	}
}

// Overload is a call that discovery had no capacity for.
type OverloadedCall struct {
	Took           time.Duration
	AnsweredBefore bool // discovery has been heard since the node's start
	Servers        int  // that the node's list has; 0: not known
}

// Overloaded takes an overload that ended at a time of the wall clock, and returns the pause before the next call.
func (p *CallPacer) RecordOverload(wall time.Duration, call OverloadedCall) (pause time.Duration) {
	if p.askPeriodically(call) {
		return p.until(wall, p.period, periodicSoonest)
	}
	doublings := min(max(0, p.failures-backOffHeld), 8)
	first := p.first
	if call.AnsweredBefore {
		first = max(first, min(backOffWaits*call.Took, backOffSoon))
	}
	period := min(time.Duration(math.Exp2(doublings)*float64(first)), p.most)
	if call.Took < queuedLeast {
		p.failures += turnedAway
	} else {
		p.failures++
	}
	return p.until(wall, period, turnSoonest)
}

// askPeriodically takes an overload, and tells whether the node asks once in a period from now on.
func (p *CallPacer) askPeriodically(call OverloadedCall) bool {
	switch {
	case p.mode == longPollOnly || !p.seldom || call.Servers == 0 || call.Servers > periodicServers:
		p.mode = longPollOnly
	case p.mode == longPolling && call.AnsweredBefore:
		p.mode, p.period, p.slow, p.failed, p.quiet = periodic, periodicCalls, false, 0, 0
	case p.mode == periodic && call.Took >= queuedLeast:
		p.periodicFailed()
		return true
	}
	return p.mode == periodic
}

// periodicFailed takes a periodic call that waited in vain. The next one costs discovery less, if that is possible, or comes later.
func (p *CallPacer) periodicFailed() {
	if p.slow {
		p.period = min(2*p.period, p.most)
	}
	p.slow = true
	if p.failed++; p.failed == periodicInVain {
		p.mode, p.failures = longPollOnly, max(p.failures, backOffHeld)
	}
}

// Periodic tells whether the node makes its calls once in a period.
func (p *CallPacer) Periodic() bool { return p.mode == periodic }

// AsksForWhole tells whether the next call of a node that has a list is for the whole list, and no long poll.
func (p *CallPacer) FetchesWholeList() bool { return p.mode == periodic && !p.slow }

// Answer is an answer of discovery.
type Answer struct {
	Took    time.Duration
	Whole   bool // to a call for the whole list; else to a long poll
	Changed bool // it holds what the node did not have
}

// Answered takes an answer that came at a time of the wall clock, and returns the pause before the next call; 0: none. One answer
// does not end an overload.
func (p *CallPacer) RecordAnswer(wall time.Duration, answer Answer) (pause time.Duration) {
	p.failures /= 2
	if p.mode == longPollOnly && p.failures < overloadEnded {
		p.mode = longPolling
	}
	if p.mode != periodic {
		return 0
	}
	p.failed = 0
	switch {
	case answer.Took < answeredSoon:
		p.slow = false
	case answer.Whole && answer.Took > answeredLate:
		p.slow = true
	}
	p.quiet++
	if answer.Changed {
		p.quiet = 0
	}
	if p.quiet >= periodicQuiet || !answer.Whole && answer.Took > p.period { // it was open for long: discovery has time
		p.mode = longPolling
		return 0
	}
	return p.until(wall, p.period, periodicSoonest)
}

// Reset takes a long poll that was reset while it was open, and returns the pause before the next.
func (p *CallPacer) RecordReset() (pause time.Duration) { return p.SpreadDelay(p.reset) }

// Spread is the pause before a node's first call at an address to which all of the fleet come at once, of a time that the
// fleet may need.
func (p *CallPacer) SpreadDelay(all time.Duration) time.Duration {
	return time.Duration(p.turn * float64(all))
}

// until is the time up to the node's next turn in a period, or the one after that if it is nearer than a part of the period.
func (p *CallPacer) until(wall, period time.Duration, soonest float64) time.Duration {
	wait := (time.Duration(p.turn*float64(period)) - wall%period + period) % period
	if wait < time.Duration(soonest*float64(period)) {
		wait += period
	}
	return wait
}
