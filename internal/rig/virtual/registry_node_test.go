package virtual

import (
	"slices"
	"time"

	"curlewring/internal/servers/endpoints"
)

const (
	// What the registry has had for so long, and could be reached, counts as told after a call without an answer.
	toldAfter = 6 * time.Second
	// What a silent long poll misses counts as told so long after its wait is over, if that is later.
	toldAfterWait = 2 * time.Second
	// A watch goes on if the next call comes within this after an answer.
	watchGap = 200 * time.Millisecond
)

// standing is what decides from when on a node is held to changes that it has not been told.
type standing int

const (
	unanswered standing = iota // a new process, or the last call failed, was refused or given up
	paused                     // the last call was answered, and no watch is open
	watching                   // a long poll is open, or goes on
)

// gap is the time from an answer to a watch until the call that goes on with it, or watchGap if none does.
type gap struct{ from, until time.Duration }

// missed is a change that a node has not been told.
type missed struct {
	at     time.Duration // when it was made
	inGap  bool          // between an answer to a watch and the call that goes on with it
	late   bool
	lateAt time.Duration // when it came to count as told
}

// telling is how a node was told a change, or that it was not.
type telling struct {
	made     time.Duration
	age      time.Duration // since the change was made
	lateness time.Duration // since it counted as told; below 0: in time
	inGap    bool          // it was made between an answer to a watch and the call that goes on with it
	never    bool          // the node's life or the run ended first
}

// fleetNode is one node as it asks the registry, and the judge of what it was told in time.
type fleetNode struct {
	service   *service
	place     endpoints.FleetPosition
	tier      int
	askWithin time.Duration
	asker     *asker
	alive     bool
	life      int // counts starts: pauses of older ones are dropped
	call      *registryCall
	known     int // changes of its list that it has been told

	standing     standing
	since        time.Duration // of the standing
	started      time.Duration
	lastAnswer   time.Duration
	heardFirst   time.Duration // the first answer, or poll taken up, since the registry was last back
	pollEnd      time.Duration // of the watch's present poll
	silent       bool
	excused      time.Duration // what silent calls have missed counts as told no sooner
	gaps         []gap         // after each answer to a watch
	missing      []missed
	tellings     []telling
	newestToldAt time.Duration
}

// start begins a life of the node, with the list of the one before.
func (n *fleetNode) start(seed uint64, draw float64) {
	s := n.service
	n.life++
	n.alive, n.started = true, s.now
	n.place.Seed = seed
	n.asker = newAsker(s.now, s.wall, n.place, n.askWithin, draw)
	n.become(unanswered)
	n.resumeAfter(n.asker.started(s.now), n.asker.first)
}

// stop ends a life of the node.
func (n *fleetNode) stop() {
	n.settle()
	n.endCall()
	n.life++
	n.alive = false
	n.giveUpMissing()
}

// giveUpMissing notes what the node will not be told any more and is late. A next life is held to it anew.
func (n *fleetNode) giveUpMissing() {
	for i := range n.missing {
		if m := &n.missing[i]; m.late {
			n.tellings = append(n.tellings, telling{m.at, n.service.now - m.at, n.service.now - m.lateAt, m.inGap, true})
			m.late = false
		}
	}
}

// resumeAfter asks again after a pause.
func (n *fleetNode) resumeAfter(p pause, more time.Duration) {
	s, life := n.service, n.life
	s.after(p.wait, func() {
		if n.life == life && n.asker.resume(s.now, p.token) {
			s.after(more, func() { n.pollIn(life) })
		}
	})
}

// pollIn makes the next call if the node still lives.
func (n *fleetNode) pollIn(life int) {
	if n.life == life && n.call == nil {
		n.poll()
	}
}

// poll makes the next call.
func (n *fleetNode) poll() {
	s := n.service
	wait, patience := n.asker.wait(s.now)
	if n.standing == watching && s.now-n.lastAnswer > watchGap {
		n.become(paused)
	}
	c := &registryCall{node: n, begun: s.now, waitEnd: s.now + wait, whole: n.asker.pace.FetchesWholeList()}
	n.call = c
	if last := len(n.gaps) - 1; last >= 0 {
		n.gaps[last].until = min(n.gaps[last].until, s.now)
	}
	if n.standing == watching {
		n.settle()
		n.pollEnd = c.waitEnd
	}
	s.after(patience, func() {
		if !c.over {
			n.gaveUp()
		}
	})
	s.receive(c)
}

// endCall ends the call that is out.
func (n *fleetNode) endCall() {
	if n.call != nil {
		n.call.over = true
		n.call = nil
	}
}

// opened takes that the registry has taken up a long poll.
func (n *fleetNode) opened(c *registryCall) {
	n.become(watching)
	n.pollEnd = c.waitEnd
	n.hear()
}

// answered takes an answer with the list up to a version.
func (n *fleetNode) answered(c *registryCall, version int) {
	s := n.service
	news := version > n.known
	n.told(version)
	n.endCall()
	if c.whole {
		n.become(paused)
	} else {
		n.become(watching)
		n.gaps = append(n.gaps, gap{s.now, s.now + watchGap})
	}
	n.pollEnd = s.now // until the next call
	n.lastAnswer = s.now
	n.hear()
	whole := c.whole || s.lists[n.tier].whole && news
	pause := n.asker.answered(s.now, whole, endpoints.Answer{Took: s.now - c.begun, Whole: c.whole, Changed: news})
	life := n.life
	s.after(networkDelay+pause, func() { n.pollIn(life) })
}

// failed takes the end of a call without an answer.
func (n *fleetNode) failed(c *registryCall, how failure) {
	n.endCall()
	n.become(unanswered)
	n.resumeAfter(n.asker.failed(n.service.now, n.service.now-c.begun, n.service.lists[n.tier].servers, how), 0)
}

// gaveUp takes that a call had no answer in its time.
func (n *fleetNode) gaveUp() {
	n.endCall()
	n.become(unanswered)
	n.asker.gaveUp()
	n.poll()
}

// moved takes a new address of the registry: the call that is out is made anew there.
func (n *fleetNode) moved() {
	pause := n.asker.moved()
	if n.call == nil {
		return
	}
	n.endCall()
	life := n.life
	n.service.after(pause, func() { n.pollIn(life) })
}

// swallow takes that nothing reaches the node any more on the call that is out.
func (n *fleetNode) swallow() {
	if n.call.swallowed {
		return
	}
	n.settle()
	n.call.swallowed = true
	n.silent, n.pollEnd = true, n.call.waitEnd
	n.excused = max(n.excused, n.service.now+toldAfter, n.pollEnd+toldAfterWait)
}

// become changes what the node is held to, from now on.
func (n *fleetNode) become(next standing) {
	n.settle()
	n.standing, n.since, n.silent = next, n.service.now, false
}

// due is when a change counts as told, as things stand. While the registry is down it does so only for what went
// wrong before.
func (n *fleetNode) due(made time.Duration) (at time.Duration, ok bool) {
	if n.standing != watching && n.service.outage != up {
		return 0, false
	}
	return max(n.dueByStanding(made), n.excused), true
}

// dueByStanding is when a change counts as told if no call is silent.
func (n *fleetNode) dueByStanding(made time.Duration) time.Duration {
	switch {
	case n.standing == watching && n.silent:
		return made
	case n.standing == watching:
		return max(made+toldAfter, n.pollEnd+toldAfterWait)
	case n.standing == paused:
		return max(max(made, n.lastAnswer)+n.askWithin, n.service.back)
	default:
		return max(made, n.started, n.service.back) + toldAfter
	}
}

// settle notes which changes have come to count as told since the last change of standing.
func (n *fleetNode) settle() {
	if !n.alive {
		return
	}
	n.notice()
	for i := range n.missing {
		m := &n.missing[i]
		if at, ok := n.due(m.at); ok && !m.late && at < n.service.now {
			m.late, m.lateAt = true, max(at, n.since)
		}
	}
}

// notice takes up changes that were made since the last look.
func (n *fleetNode) notice() {
	changes := n.service.lists[n.tier].changes
	for _, c := range changes[n.known+len(n.missing):] {
		inGap := slices.ContainsFunc(n.gaps, func(g gap) bool { return c.at > g.from && c.at <= g.until })
		n.missing = append(n.missing, missed{at: c.at, inGap: inGap})
	}
}

// told takes the list up to a version.
func (n *fleetNode) told(version int) {
	n.settle()
	now := n.service.now
	for version > n.known {
		m := n.missing[0]
		n.missing = n.missing[1:]
		n.known++
		lateness := time.Duration(0)
		if m.late {
			lateness = now - m.lateAt
		} else if at, ok := n.due(m.at); ok {
			lateness = now - at
		}
		n.tellings = append(n.tellings, telling{m.at, now - m.at, lateness, m.inGap, false})
		n.newestToldAt = now
	}
}

// hear notes that the registry has answered, or has taken up a poll.
func (n *fleetNode) hear() {
	if n.heardFirst < n.service.back {
		n.heardFirst = n.service.now
	}
}
