package decide

import (
	"math"
	"time"
)

const (
	limitSamples       = 64               // responses per measurement, and ...
	firstSamples       = 16               // ... of the first one
	sampleTimeout      = 5 * time.Second  // time after which fewer responses are enough
	minLatencyMemory   = 15 * time.Second // a minimum response time expires after one to two of these
	initialMinLatency  = 1.0 / 40         // assumed before the first response, in latency targets
	latencyFloor       = 1e-4             // shorter times are not distinguished, in latency targets
	clearFraction      = 0.5              // of a latency target, in which all open calls must be cleared
	calmFactor         = 1.25             // calm: a mean up to this multiple of the minimum, and ...
	calmMax            = 0.2              // ... in targets, since the minimum may come from an overload
	congestedFactor    = 3                // mean above this multiple of the minimum: the server is congested
	rejectionThreshold = 0.1              // fraction of rejected calls above which servers count as full
	rejectionBackoff   = 0.7              // bound after rejections, relative to the calls then held
	limitGrowth        = 1.2              // growth of the estimated cores and of the rejection bound
	limitBackoff       = 0.9              // reduction of the estimated cores when congested
	limitDecay         = 0.99             // reduction of the estimated cores while the limit is not needed
)

// concurrencyLimit estimates how many calls a server can hold without harmful queueing. Normally the
// latency ratio decides on admission; the limit covers the time by which that ratio lags. A queue that is
// cleared well within the latency target does no harm in that time, whatever its length. So the limit is
// the number of calls that the cores clear within part of the target, each taking the recent minimum of the
// mean response times. The number of cores is estimated from below: it grows while the limit causes
// refusals and more calls do not lengthen response times. All times are in units of the latency target.
type concurrencyLimit struct {
	mode  LimitMode
	fixed float64 // calls per server without any measurement

	latencySum, count float64       // response times since ...
	since             time.Duration // ... this time
	waited            time.Duration // time since then
	shortestTarget    time.Duration // of all classes
	rejected          float64       // rejected calls among count
	reached           bool          // the limit caused a refusal since then

	minLatency     [2]float64 // minimum mean of this memory period and of the previous one; 0: none
	rotatedAt      time.Duration
	learnedCores   float64
	rejectionBound float64 // calls at which servers rejected some, reduced; grows back
}

func newConcurrencyLimit(mode LimitMode, fixed float64, now, shortestTarget time.Duration) concurrencyLimit {
	return concurrencyLimit{
		mode: mode, fixed: fixed, since: now, rotatedAt: now, shortestTarget: max(1, shortestTarget),
		learnedCores: 1, rejectionBound: math.Inf(1),
	}
}

// record adds a response time or a rejection, with the number of calls held on each server.
func (l *concurrencyLimit) record(now time.Duration, latency float64, rejected bool, callsHeld float64) {
	l.latencySum += latency
	l.count++
	if rejected {
		l.rejected++
	}
	if l.minLatency == [2]float64{} && l.count >= firstSamples { // get a first mean as soon as possible
		l.update(now, callsHeld)
	}
}

// update adjusts the limit once there are enough responses.
func (l *concurrencyLimit) update(now time.Duration, callsHeld float64) {
	if l.minLatency == [2]float64{} && l.count == 0 && callsHeld == 0 {
		l.since = now // nothing has been sent yet
	}
	l.waited = now - l.since
	enough := l.count >= limitSamples || l.count > 0 && now-l.since >= sampleTimeout ||
		l.count >= firstSamples && l.minLatency == [2]float64{}
	if !enough {
		return
	}
	mean := max(l.latencySum/l.count, latencyFloor)
	if now-l.rotatedAt >= minLatencyMemory {
		l.minLatency[1], l.minLatency[0], l.rotatedAt = l.minLatency[0], 0, now
	}
	if l.minLatency[0] == 0 || mean < l.minLatency[0] {
		l.minLatency[0] = mean
	}
	base := l.baseLatency()
	switch {
	case l.reached && mean <= calmFactor*base && mean <= calmMax:
		l.learnedCores = min(l.learnedCores*limitGrowth, 1e4)
	case mean > congestedFactor*base:
		l.learnedCores = max(1, l.learnedCores*limitBackoff)
	case !l.reached:
		l.learnedCores = max(1, l.learnedCores*limitDecay)
	}
	// Servers with short queues reject calls long before response times rise. A few servers that reject
	// everything do not get a large enough share of the calls to matter.
	if l.rejected > rejectionThreshold*l.count {
		l.rejectionBound = max(l.fixed, rejectionBackoff*min(l.rejectionBound, callsHeld))
	} else {
		l.rejectionBound *= limitGrowth
	}
	l.latencySum, l.count, l.rejected, l.since, l.reached = 0, 0, 0, now, false
}

// baseLatency returns the recent minimum of the mean response times. Before there is one, it is the mean so
// far, or the time that the first response has been outstanding: a node may start during an overload.
func (l *concurrencyLimit) baseLatency() float64 {
	switch {
	case l.minLatency[0] > 0 && l.minLatency[1] > 0:
		return min(l.minLatency[0], l.minLatency[1])
	case l.minLatency[0]+l.minLatency[1] > 0:
		return max(l.minLatency[0], l.minLatency[1])
	}
	if l.count > 0 {
		return max(initialMinLatency, l.latencySum/l.count)
	}
	return max(initialMinLatency, float64(l.waited)/float64(l.shortestTarget))
}

// perServer returns the calls that a server may hold.
func (l *concurrencyLimit) perServer() float64 {
	switch l.mode {
	case LimitFixed:
		return l.fixed
	case LimitNone:
		return math.Inf(1)
	}
	return max(l.fixed, min(l.rejectionBound, clearFraction*l.learnedCores/l.baseLatency()))
}
