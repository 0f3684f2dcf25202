package virtual

import (
	"slices"
	"time"

	"curlewring/internal/servers/endpoints"
)

const (
	// What the registry has had for so long, and could be reached, counts as told after a call without an answer.
	deemedKnownAfter = 6 * time.Second
	// What a silent long poll misses counts as told so long after its wait is over, if that is later.
	deemedKnownAfterPoll = 2 * time.Second
	// A watch goes on if the next call comes within this after an answer.
	watchGap = 200 * time.Millisecond
)

// standing is what decides from when on a node is held to changes that it has not been told.
type watchState int

const (
	unanswered watchState = iota // a new process, or the last call failed, was refused or given up
	paused                       // the last call was answered, and no watch is open
	watching                     // a long poll is open, or goes on
)

// gap is the time from an answer to a watch until the call that goes on with it, or watchGap if none does.
type callGap struct{ from, until time.Duration }

// missed is a change that a node has not been told.
type pendingChange struct {
	madeAt time.Duration // when it was made
	inGap  bool          // between an answer to a watch and the call that goes on with it
	late   bool
	dueAt  time.Duration // when it came to count as told
}

// telling is how a node was told a change, or that it was not.
type delivery struct {
	madeAt      time.Duration
	age         time.Duration // since the change was made
	lateness    time.Duration // since it counted as told; below 0: in time
	inGap       bool          // it was made between an answer to a watch and the call that goes on with it
	undelivered bool          // the node's life or the run ended first
}

// fleetNode is one node as it asks the registry, and the judge of what it was told in time.
type fleetNode struct {
	registry          *registryService
	position          endpoints.FleetPosition
	tier              int
	resubscribeWithin time.Duration
	client            *registryClient
	alive             bool
	incarnation       int // counts starts: pauses of older ones are dropped
	call              *registryCall
	knownChanges      int // changes of its list that it has been told

	state             watchState
	stateSince        time.Duration // of the standing
	startedAt         time.Duration
	lastAnswerAt      time.Duration
	firstContactAt    time.Duration // the first answer, or poll taken up, since the registry was last back
	pollEnd           time.Duration // of the watch's present poll
	pollSilent        bool
	excusedUntil      time.Duration // what silent calls have missed counts as told no sooner
	gaps              []callGap     // after each answer to a watch
	pending           []pendingChange
	deliveries        []delivery
	newestDeliveredAt time.Duration
}

// start begins a life of the node, with the list of the one before.
func (n *fleetNode) start(seed uint64, draw float64) {
	s := n.registry
	n.incarnation++
	n.alive, n.startedAt = true, s.now
	n.position.Seed = seed
	n.client = newRegistryClient(s.now, s.wallStart, n.position, n.resubscribeWithin, draw)
	n.setState(unanswered)
	n.retryAfter(n.client.handleStart(s.now), n.client.startDelay)
}

// stop ends a life of the node.
func (n *fleetNode) stop() {
	n.markLate()
	n.endCall()
	n.incarnation++
	n.alive = false
	n.abandonPending()
}

// giveUpMissing notes what the node will not be told any more and is late. A next life is held to it anew.
func (n *fleetNode) abandonPending() {
	for i := range n.pending {
		if m := &n.pending[i]; m.late {
			n.deliveries = append(n.deliveries, delivery{m.madeAt, n.registry.now - m.madeAt, n.registry.now - m.dueAt, m.inGap, true})
			m.late = false
		}
	}
}

// resumeAfter asks again after a pause.
func (n *fleetNode) retryAfter(p retryTimer, more time.Duration) {
	s, life := n.registry, n.incarnation
	s.after(p.wait, func() {
		if n.incarnation == life && n.client.handleTimer(s.now, p.token) {
			s.after(more, func() { n.pollIfAlive(life) })
		}
	})
}

// pollIn makes the next call if the node still lives.
func (n *fleetNode) pollIfAlive(life int) {
	if n.incarnation == life && n.call == nil {
		n.poll()
	}
}

// poll makes the next call.
func (n *fleetNode) poll() {
	s := n.registry
	wait, patience := n.client.nextPoll(s.now)
	if n.state == watching && s.now-n.lastAnswerAt > watchGap {
		n.setState(paused)
	}
	c := &registryCall{node: n, startedAt: s.now, pollEnd: s.now + wait, whole: n.client.pacer.FetchesWholeList()}
	n.call = c
	if last := len(n.gaps) - 1; last >= 0 {
		n.gaps[last].until = min(n.gaps[last].until, s.now)
	}
	if n.state == watching {
		n.markLate()
		n.pollEnd = c.pollEnd
	}
	s.after(patience, func() {
		if !c.ended {
			n.handleTimeout()
		}
	})
	s.handleCall(c)
}

// endCall ends the call that is out.
func (n *fleetNode) endCall() {
	if n.call != nil {
		n.call.ended = true
		n.call = nil
	}
}

// opened takes that the registry has taken up a long poll.
func (n *fleetNode) handleOpened(c *registryCall) {
	n.setState(watching)
	n.pollEnd = c.pollEnd
	n.noteContact()
}

// answered takes an answer with the list up to a version.
func (n *fleetNode) handleAnswer(c *registryCall, version int) {
	s := n.registry
	news := version > n.knownChanges
	n.deliver(version)
	n.endCall()
	if c.whole {
		n.setState(paused)
	} else {
		n.setState(watching)
		n.gaps = append(n.gaps, callGap{s.now, s.now + watchGap})
	}
	n.pollEnd = s.now // until the next call
	n.lastAnswerAt = s.now
	n.noteContact()
	whole := c.whole || s.lists[n.tier].fullAnswers && news
	pause := n.client.handleAnswer(s.now, whole, endpoints.Answer{Took: s.now - c.startedAt, Whole: c.whole, Changed: news})
	life := n.incarnation
	s.after(networkDelay+pause, func() { n.pollIfAlive(life) })
}

// failed takes the end of a call without an answer.
func (n *fleetNode) handleFailure(c *registryCall, how callFailure) {
	n.endCall()
	n.setState(unanswered)
	n.retryAfter(n.client.handleFailure(n.registry.now, n.registry.now-c.startedAt, n.registry.lists[n.tier].totalLines, how), 0)
}

// gaveUp takes that a call had no answer in its time.
func (n *fleetNode) handleTimeout() {
	n.endCall()
	n.setState(unanswered)
	n.client.handleTimeout()
	n.poll()
}

// moved takes a new address of the registry: the call that is out is made anew there.
func (n *fleetNode) handleMove() {
	pause := n.client.handleMove()
	if n.call == nil {
		return
	}
	n.endCall()
	life := n.incarnation
	n.registry.after(pause, func() { n.pollIfAlive(life) })
}

// swallow takes that nothing reaches the node any more on the call that is out.
func (n *fleetNode) dropCall() {
	if n.call.dropped {
		return
	}
	n.markLate()
	n.call.dropped = true
	n.pollSilent, n.pollEnd = true, n.call.pollEnd
	n.excusedUntil = max(n.excusedUntil, n.registry.now+deemedKnownAfter, n.pollEnd+deemedKnownAfterPoll)
}

// become changes what the node is held to, from now on.
func (n *fleetNode) setState(next watchState) {
	n.markLate()
	n.state, n.stateSince, n.pollSilent = next, n.registry.now, false
}

// due is when a change counts as told, as things stand. While the registry is down it does so only for what went
// wrong before.
func (n *fleetNode) dueTime(made time.Duration) (at time.Duration, ok bool) {
	if n.state != watching && n.registry.outage != reachable {
		return 0, false
	}
	return max(n.dueByState(made), n.excusedUntil), true
}

// dueByStanding is when a change counts as told if no call is silent.
func (n *fleetNode) dueByState(made time.Duration) time.Duration {
	switch {
	case n.state == watching && n.pollSilent:
		return made
	case n.state == watching:
		return max(made+deemedKnownAfter, n.pollEnd+deemedKnownAfterPoll)
	case n.state == paused:
		return max(max(made, n.lastAnswerAt)+n.resubscribeWithin, n.registry.reachableSince)
	default:
		return max(made, n.startedAt, n.registry.reachableSince) + deemedKnownAfter
	}
}

// settle notes which changes have come to count as told since the last change of standing.
func (n *fleetNode) markLate() {
	if !n.alive {
		return
	}
	n.collectPending()
	for i := range n.pending {
		m := &n.pending[i]
		if at, ok := n.dueTime(m.madeAt); ok && !m.late && at < n.registry.now {
			m.late, m.dueAt = true, max(at, n.stateSince)
		}
	}
}

// notice takes up changes that were made since the last look.
func (n *fleetNode) collectPending() {
	changes := n.registry.lists[n.tier].changes
	for _, c := range changes[n.knownChanges+len(n.pending):] {
		inGap := slices.ContainsFunc(n.gaps, func(g callGap) bool { return c.at > g.from && c.at <= g.until })
		n.pending = append(n.pending, pendingChange{madeAt: c.at, inGap: inGap})
	}
}

// told takes the list up to a version.
func (n *fleetNode) deliver(version int) {
	n.markLate()
	now := n.registry.now
	for version > n.knownChanges {
		m := n.pending[0]
		n.pending = n.pending[1:]
		n.knownChanges++
		lateness := time.Duration(0)
		if m.late {
			lateness = now - m.dueAt
		} else if at, ok := n.dueTime(m.madeAt); ok {
			lateness = now - at
		}
		n.deliveries = append(n.deliveries, delivery{m.madeAt, now - m.madeAt, lateness, m.inGap, false})
		n.newestDeliveredAt = now
	}
}

// hear notes that the registry has answered, or has taken up a poll.
func (n *fleetNode) noteContact() {
	if n.firstContactAt < n.registry.reachableSince {
		n.firstContactAt = n.registry.now
	}
}
