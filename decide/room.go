package decide

import (
	"math"
	"time"
)

const (
	roomSamples  = 64               // answers that make a mean of response times, and ...
	firstSamples = 16               // ... the first one
	roomPatience = 5 * time.Second  // after which fewer will do
	leastMemory  = 15 * time.Second // after one to two of these a least response time is forgotten
	leastStart   = 1.0 / 40         // aims that an answer is taken to need before any has come
	leastFloor   = 1e-4             // aims below which times are not told apart
	clearPart    = 0.5              // of an aim, within which a crowd must be cleared
	calmTimes    = 1.25             // a mean up to so many times the least says that more calls did no harm
	calmMost     = 0.2              // ... if it is no great part of the aim: the least may be a crowd's
	crowdedTimes = 3                // one above so many says that they did
	fullPart     = 0.1              // of calls turned away, above which servers are held to be full
	fullBack     = 0.7              // part of the calls held then that they have room for
	roomStep     = 1.2              // by which cores are learned with each calm mean, and ...
	roomBack     = 0.9              // ... forgotten with each crowded one ...
	roomFade     = 0.99             // ... or with one at which the room was not needed
)

// room learns how many calls a server holds without a crowd. r decides on the ordinary path; room guards
// only the time by which r lags. A crowd that is cleared well within the aim does no harm in that time,
// whatever its number: so room is what cores clear within a part of the aim, each call taking the least mean
// response time seen of late. Cores are learned from below: while calls are refused for want of room, and
// answers take no longer for more calls, there are more. All times are in units of the aim.
type room struct {
	rule     LimitMode
	presumed float64 // calls, without measurement

	sum, count float64 // response times since ...
	since      time.Duration
	waited     time.Duration // since then
	aim        time.Duration // the shortest
	full       float64       // of these, turned away
	wanted     bool          // calls were refused for want of room meanwhile

	least   [2]float64 // least mean in this span of memory and the one before; 0: none
	turned  time.Duration
	learned float64 // cores
	bound   float64 // calls at which servers turned away, less some; grows back
}

func newRoom(rule LimitMode, presumed float64, now, aim time.Duration) room {
	return room{
		rule: rule, presumed: presumed, since: now, turned: now, aim: max(1, aim),
		learned: 1, bound: math.Inf(1),
	}
}

// took books a response time, or that a server turned a call away, with so many calls held on each.
func (m *room) took(now time.Duration, x float64, full bool, held float64) {
	m.sum += x
	m.count++
	if full {
		m.full++
	}
	if m.least == [2]float64{} && m.count >= firstSamples { // the first mean is waited for
		m.measure(now, held)
	}
}

// measure draws conclusions once there are enough answers.
func (m *room) measure(now time.Duration, held float64) {
	if m.least == [2]float64{} && m.count == 0 && held == 0 {
		m.since = now // nothing has been sent yet
	}
	m.waited = now - m.since
	enough := m.count >= roomSamples || m.count > 0 && now-m.since >= roomPatience ||
		m.count >= firstSamples && m.least == [2]float64{}
	if !enough {
		return
	}
	mean := max(m.sum/m.count, leastFloor)
	if now-m.turned >= leastMemory {
		m.least[1], m.least[0], m.turned = m.least[0], 0, now
	}
	if m.least[0] == 0 || mean < m.least[0] {
		m.least[0] = mean
	}
	least := m.usual()
	switch {
	case m.wanted && mean <= calmTimes*least && mean <= calmMost:
		m.learned = min(m.learned*roomStep, 1e4)
	case mean > crowdedTimes*least:
		m.learned = max(1, m.learned*roomBack)
	case !m.wanted:
		m.learned = max(1, m.learned*roomFade)
	}
	// Where queues are short, servers turn calls away long before answers take longer. A few that turn all
	// away get no such part of the calls.
	if m.full > fullPart*m.count {
		m.bound = max(m.presumed, fullBack*min(m.bound, held))
	} else {
		m.bound *= roomStep
	}
	m.sum, m.count, m.full, m.since, m.wanted = 0, 0, 0, now, false
}

// usual is the least mean response time of late. Before there is one, it is what has come so far, or the time
// that the first answer has let wait for itself: a node may start in the midst of an overload.
func (m *room) usual() float64 {
	switch {
	case m.least[0] > 0 && m.least[1] > 0:
		return min(m.least[0], m.least[1])
	case m.least[0]+m.least[1] > 0:
		return max(m.least[0], m.least[1])
	}
	if m.count > 0 {
		return max(leastStart, m.sum/m.count)
	}
	return max(leastStart, float64(m.waited)/float64(m.aim))
}

// calls is the room of a server.
func (m *room) calls() float64 {
	switch m.rule {
	case LimitFixed:
		return m.presumed
	case LimitNone:
		return math.Inf(1)
	}
	return max(m.presumed, min(m.bound, clearPart*m.learned/m.usual()))
}
