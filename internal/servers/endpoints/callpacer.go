package endpoints

import (
	"math"
	"time"
)

const (
	// An overloaded call is followed by a backoff. The first backoffs give each node of the tier its own time slot,
	// and leave time for another call before the node counts as notified of pending changes. Each further overloaded
	// call doubles the backoff.
	firstBackoffPerNode = 190 * time.Millisecond
	minFirstBackoff     = 1250 * time.Millisecond
	maxFirstBackoff     = 5 * time.Second
	constantBackoffs    = 1 // backoffs after the first that are not doubled
	maxBackoff          = 48 * time.Second
	// A call that waited in the queue of discovery had that much work ahead of it. The first backoffs are a multiple
	// of this wait, so that the queue of a small fleet can clear. A node without an answer since its start calls
	// again as early as its time slot allows, because it counts as notified soon after the start.
	queueTimeFactor = 4
	// The longest backoff grows with the nodes of the tier. It has a floor, as the nodes of other tiers call too. A
	// node that is alone in its tier has a shorter one.
	maxBackoffPerNode    = 2 * time.Second
	maxBackoffFloor      = 16 * time.Second
	maxBackoffSingleNode = 2 * time.Second
	// A call that ended sooner than this was rejected by a full queue. It cost discovery nothing and counts less.
	minQueueTime       = 300 * time.Millisecond
	rejectedCallWeight = 0.5

	// A time slot that is nearer than this fraction of the backoff is skipped for the next one.
	minBackoffFraction = 0.25

	// The long polls of a whole fleet may be reset at once. A node then counts as notified of a change 6 s later. The
	// time slots of all nodes come earlier and leave 2 s for the call.
	maxResetSpread = notifiedAfterFailure - 2*time.Second

	// Periodic calls come at the interval after which a node counts as notified of what discovery has. Each one
	// starts between half an interval and one and a half intervals after the previous answer.
	periodicInterval    = notifiedAfterFailure
	minIntervalFraction = 0.5
	// The answer to a long poll costs discovery the subsequent call as well, and a whole list costs its lines.
	// According to the platform documentation a call costs 20 to 60 lines, so a list of this size costs no more than
	// that call.
	maxPeriodicServers = 20
	// An answer that took longer than slowAnswer shows that whole lists are too much for discovery, and one that took
	// less than fastAnswer that they are not. Between a slow answer and the next fast one, long polls replace them.
	slowAnswer = time.Second
	fastAnswer = slowAnswer / 2
	// After this many failed periodic calls in a row only the backoffs of long polls give discovery enough time.
	maxPeriodicFailures = 3
	// Periodic calls leave a node without a watch for an interval, and the next call may wait in the queue. A node
	// that must call again earlier than that makes no periodic calls.
	minPeriodicResubscribe = periodicInterval + maxDiscoveryQueueTime
	// After this many unchanged answers in a row the list is stable, and a long poll costs discovery less.
	maxUnchangedAnswers = 2
	// An overload is over once the overload count has fallen below this.
	overloadEndThreshold = 0.5
)

// callMode is how a node calls discovery.
type callMode int

const (
	longPolling  callMode = iota // one long poll after the other
	periodic                     // one call in each interval, at the time slot of the node
	longPollOnly                 // as longPolling, with no periodic calls until the overload has ended
)

// CallPacer controls how often a node calls discovery, based on the results of earlier calls. Otherwise the retries
// of a whole fleet would keep an overloaded discovery from answering any call. A backoff ends at the time slot of the
// node: the wall clock is divided into periods as long as the backoff, and the node number determines the offset in
// the period. So nodes whose calls fail together do not call again together.
//
// The answer to a long poll is followed by the next poll at once, even if discovery is busy: a node counts as
// notified of what changes in the 200 ms after an answer. If all nodes watch a list that changes, each change
// therefore costs a call of each node. In an overload a node with a short list fetches the whole list once in each
// interval instead. That is no watch, and one answer delivers all changes of the interval. If discovery is too slow
// for that too, the node makes long polls at the same interval. It then receives changes from the 200 ms after an
// answer late, but with one long poll after the other by all nodes most changes would be late.
type CallPacer struct {
	turnOffset   float64       // fraction of a period at which the time slot of this node begins
	overloads    float64       // overloaded calls in a row; each answer halves the count
	firstBackoff time.Duration // backoff after the first overloaded call
	backoffLimit time.Duration // limit of the backoff
	resetSpread  time.Duration // time over which the fleet spreads its calls after a reset

	allowsPeriodic   bool // the node may make periodic calls
	mode             callMode
	period           time.Duration // interval of periodic calls
	avoidsWholeLists bool          // discovery is too slow for whole lists
	periodicFailures int           // failed periodic calls in a row
	unchangedAnswers int           // answers to periodic calls in a row without changes
}

// NewCallPacer returns the pacer of the node at a position in its fleet.
func NewCallPacer(p FleetPosition) *CallPacer {
	nodes := time.Duration(max(0, p.NodeCount))
	if nodes <= 1 {
		return &CallPacer{turnOffset: p.turnOffset(), firstBackoff: minFirstBackoff, backoffLimit: maxBackoffSingleNode}
	}
	return &CallPacer{
		turnOffset:   p.turnOffset(),
		firstBackoff: min(max(minFirstBackoff, nodes*firstBackoffPerNode), maxFirstBackoff),
		backoffLimit: min(max(maxBackoffFloor, nodes*maxBackoffPerNode), maxBackoff),
		resetSpread:  maxResetSpread,

		allowsPeriodic: p.ResubscribeWithin == 0 || p.ResubscribeWithin >= minPeriodicResubscribe,
	}
}

// OverloadedCall describes a call that discovery had no capacity for.
type OverloadedCall struct {
	Took           time.Duration
	AnsweredBefore bool // discovery has answered since the start of the node
	Servers        int  // number of servers in the list of the node; 0: unknown
}

// RecordOverload records an overloaded call that ended at a wall clock time, and returns the backoff before the next
// call.
func (p *CallPacer) RecordOverload(wall time.Duration, call OverloadedCall) (pause time.Duration) {
	if p.updateMode(call) {
		return p.untilTurn(wall, p.period, minIntervalFraction)
	}
	doublings := min(max(0, p.overloads-constantBackoffs), 8)
	first := p.firstBackoff
	if call.AnsweredBefore {
		first = max(first, min(queueTimeFactor*call.Took, maxFirstBackoff))
	}
	period := min(time.Duration(math.Exp2(doublings)*float64(first)), p.backoffLimit)
	if call.Took < minQueueTime {
		p.overloads += rejectedCallWeight
	} else {
		p.overloads++
	}
	return p.untilTurn(wall, period, minBackoffFraction)
}

// updateMode updates the mode after an overloaded call, and reports whether the next call is a periodic one.
func (p *CallPacer) updateMode(call OverloadedCall) bool {
	switch {
	case p.mode == longPollOnly || !p.allowsPeriodic || call.Servers == 0 || call.Servers > maxPeriodicServers:
		p.mode = longPollOnly
	case p.mode == longPolling && call.AnsweredBefore:
		p.mode, p.period, p.avoidsWholeLists, p.periodicFailures, p.unchangedAnswers = periodic, periodicInterval, false, 0, 0
	case p.mode == periodic && call.Took >= minQueueTime:
		p.recordPeriodicFailure()
		return true
	}
	return p.mode == periodic
}

// recordPeriodicFailure records a periodic call that waited in the queue and failed. The next one costs discovery
// less, or comes later if that is not possible.
func (p *CallPacer) recordPeriodicFailure() {
	if p.avoidsWholeLists {
		p.period = min(2*p.period, p.backoffLimit)
	}
	p.avoidsWholeLists = true
	if p.periodicFailures++; p.periodicFailures == maxPeriodicFailures {
		p.mode, p.overloads = longPollOnly, max(p.overloads, constantBackoffs)
	}
}

// Periodic reports whether the node makes periodic calls.
func (p *CallPacer) Periodic() bool { return p.mode == periodic }

// FetchesWholeList reports whether the next call of a node that has a list fetches the whole list instead of polling
// for changes.
func (p *CallPacer) FetchesWholeList() bool { return p.mode == periodic && !p.avoidsWholeLists }

// Answer describes an answer of discovery.
type Answer struct {
	Took    time.Duration
	Whole   bool // the call was for the whole list; otherwise it was a long poll
	Changed bool // it contains changes that the node did not have
}

// RecordAnswer records an answer that came at a wall clock time, and returns the pause before the next call; 0: none.
// A single answer does not end an overload.
func (p *CallPacer) RecordAnswer(wall time.Duration, answer Answer) (pause time.Duration) {
	p.overloads /= 2
	if p.mode == longPollOnly && p.overloads < overloadEndThreshold {
		p.mode = longPolling
	}
	if p.mode != periodic {
		return 0
	}
	p.periodicFailures = 0
	switch {
	case answer.Took < fastAnswer:
		p.avoidsWholeLists = false
	case answer.Whole && answer.Took > slowAnswer:
		p.avoidsWholeLists = true
	}
	p.unchangedAnswers++
	if answer.Changed {
		p.unchangedAnswers = 0
	}
	// A poll that was open for longer than the interval shows that discovery has spare capacity.
	if p.unchangedAnswers >= maxUnchangedAnswers || !answer.Whole && answer.Took > p.period {
		p.mode = longPolling
		return 0
	}
	return p.untilTurn(wall, p.period, minIntervalFraction)
}

// RecordReset records that an open long poll was reset, and returns the pause before the next one.
func (p *CallPacer) RecordReset() (pause time.Duration) { return p.SpreadDelay(p.resetSpread) }

// SpreadDelay returns the delay of the first call of this node when the whole fleet moves to an address and spreads
// its calls over the given time.
func (p *CallPacer) SpreadDelay(spread time.Duration) time.Duration {
	return time.Duration(p.turnOffset * float64(spread))
}

// untilTurn returns the time until the next time slot of the node in a period, skipping a slot that is nearer than
// minFraction of the period.
func (p *CallPacer) untilTurn(wall, period time.Duration, minFraction float64) time.Duration {
	wait := (time.Duration(p.turnOffset*float64(period)) - wall%period + period) % period
	if wait < time.Duration(minFraction*float64(period)) {
		wait += period
	}
	return wait
}
