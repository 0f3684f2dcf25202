package virtual

import (
	"slices"
	"time"

	"curlewring/internal/servers/endpoints"
)

const (
	// After a failed call a node is deemed to know what the registry has had for this long while it was reachable.
	deemedKnownAfter = 6 * time.Second
	// A change that an open long poll misses is deemed known this long after the end of the poll, if that is later.
	deemedKnownAfterPoll = 2 * time.Second
	// A watch continues if the next call follows an answer within this time.
	watchGap = 200 * time.Millisecond
)

// watchState determines when a node is deemed to know changes that it has not received.
type watchState int

const (
	unanswered watchState = iota // a new process, or the last call failed or timed out
	paused                       // the last call was answered, and the node does not watch
	watching                     // a long poll is open, or about to continue
)

// callGap is the time from an answer until the next call of the same watch, at most watchGap.
type callGap struct{ from, until time.Duration }

// pendingChange is a change that a node has not received.
type pendingChange struct {
	madeAt time.Duration // when it was made
	inGap  bool          // made between an answer and the next call of a watch
	late   bool          // the node was deemed to know it at dueAt, and did not
	dueAt  time.Duration // when the node was first deemed to know it
}

// delivery is the delivery of a change to a node, or that it was not delivered.
type delivery struct {
	madeAt      time.Duration
	age         time.Duration // since the change was made
	lateness    time.Duration // since the node was deemed to know it; negative: in time
	inGap       bool          // made between an answer and the next call of a watch
	undelivered bool          // the node's process or the run ended first
}

// fleetNode simulates the calls of one node to the registry, and checks that changes reach it in time.
type fleetNode struct {
	registry          *registryService
	position          endpoints.FleetPosition
	tier              int
	resubscribeWithin time.Duration
	client            *registryClient
	alive             bool
	incarnation       int           // counts starts: timers of earlier ones are ignored
	call              *registryCall // nil: none is open
	knownChanges      int           // number of changes of its list that it has received

	state             watchState
	stateSince        time.Duration // start of the state
	startedAt         time.Duration
	lastAnswerAt      time.Duration
	firstContactAt    time.Duration // first answer, or poll that the registry kept open, since the last outage
	pollEnd           time.Duration // of the watch's current poll
	pollSilent        bool          // no answer to the open poll can arrive
	excusedUntil      time.Duration // changes that dropped calls have missed are not deemed known earlier
	gaps              []callGap     // after the answers of watches
	pending           []pendingChange
	deliveries        []delivery
	newestDeliveredAt time.Duration
	sender            *sender // nil: the node gets no requests
}

// start starts the node's process, with the list of the previous one.
func (n *fleetNode) start(seed uint64, random float64) {
	s := n.registry
	n.incarnation++
	n.alive, n.startedAt = true, s.now
	n.position.Seed = seed
	n.client = newRegistryClient(s.now, s.wallStart, n.position, n.resubscribeWithin, random)
	if n.sender != nil {
		n.sender.start(seed)
	}
	n.setState(unanswered)
	n.retryAfter(n.client.handleStart(s.now), n.client.startDelay)
}

// stop ends the node's process.
func (n *fleetNode) stop() {
	n.markLate()
	n.endCall()
	n.incarnation++
	n.alive = false
	n.abandonPending()
}

// abandonPending records late changes that the node's process did not receive. The next process must receive
// them anew.
func (n *fleetNode) abandonPending() {
	for i := range n.pending {
		if pending := &n.pending[i]; pending.late {
			n.deliveries = append(n.deliveries, delivery{pending.madeAt, n.registry.now - pending.madeAt, n.registry.now - pending.dueAt, pending.inGap, true})
			pending.late = false
		}
	}
}

// retryAfter calls again after a timer of the balancer and a further delay.
func (n *fleetNode) retryAfter(timer retryTimer, delay time.Duration) {
	s, incarnation := n.registry, n.incarnation
	s.after(timer.wait, func() {
		if n.incarnation == incarnation && n.client.handleTimer(s.now, timer.token) {
			s.after(delay, func() { n.pollIfAlive(incarnation) })
		}
	})
}

// pollIfAlive makes the next call, unless the node's process has ended or a call is open.
func (n *fleetNode) pollIfAlive(incarnation int) {
	if n.incarnation == incarnation && n.call == nil {
		n.poll()
	}
}

// poll makes the next call to the registry.
func (n *fleetNode) poll() {
	s := n.registry
	wait, timeout := n.client.nextPoll(s.now)
	if n.state == watching && s.now-n.lastAnswerAt > watchGap {
		n.setState(paused)
	}
	call := &registryCall{node: n, startedAt: s.now, pollEnd: s.now + wait, fetchesFullList: n.client.pacer.FetchesWholeList()}
	n.call = call
	if last := len(n.gaps) - 1; last >= 0 {
		n.gaps[last].until = min(n.gaps[last].until, s.now)
	}
	if n.state == watching {
		n.markLate()
		n.pollEnd = call.pollEnd
	}
	s.after(timeout, func() {
		if !call.ended {
			n.handleTimeout()
		}
	})
	if n.sender != nil && wait > endpoints.PollAcceptedAfter {
		s.after(endpoints.PollAcceptedAfter, func() {
			if !call.ended {
				n.sender.handleOpenPoll()
			}
		})
	}
	s.handleCall(call)
}

// endCall ends the open call.
func (n *fleetNode) endCall() {
	if n.call != nil {
		n.call.ended = true
		n.call = nil
	}
}

// handleOpened processes the start of a long poll at the registry.
func (n *fleetNode) handleOpened(c *registryCall) {
	n.setState(watching)
	n.pollEnd = c.pollEnd
	n.noteContact()
}

// handleAnswer processes an answer that holds the list up to a version.
func (n *fleetNode) handleAnswer(c *registryCall, version int) {
	s := n.registry
	changed := version > n.knownChanges
	n.deliver(version)
	n.endCall()
	if c.fetchesFullList {
		n.setState(paused)
	} else {
		n.setState(watching)
		n.gaps = append(n.gaps, callGap{s.now, s.now + watchGap})
	}
	n.pollEnd = s.now // until the next call sets it
	n.lastAnswerAt = s.now
	n.noteContact()
	fullList := c.fetchesFullList || s.lists[n.tier].fullAnswers && changed
	delay := n.client.handleAnswer(s.now, fullList, endpoints.Answer{Took: s.now - c.startedAt, Whole: c.fetchesFullList, Changed: changed})
	if n.sender != nil {
		n.sender.handleAnswer(c, version, delay > 0)
	}
	incarnation := n.incarnation
	s.after(networkDelay+delay, func() { n.pollIfAlive(incarnation) })
}

// handleFailure processes a failed call.
func (n *fleetNode) handleFailure(c *registryCall, failure callFailure) {
	n.endCall()
	if n.sender != nil {
		n.sender.handleFailure(c, [...]endpoints.FailureReason{endpoints.Overloaded, endpoints.Unreachable, endpoints.PollReset}[failure])
	}
	n.setState(unanswered)
	n.retryAfter(n.client.handleFailure(n.registry.now, n.registry.now-c.startedAt, n.registry.lists[n.tier].totalLines, failure), 0)
}

// handleTimeout processes a call that timed out.
func (n *fleetNode) handleTimeout() {
	if n.sender != nil {
		n.sender.handleFailure(n.call, endpoints.PollTimedOut)
	}
	n.endCall()
	n.setState(unanswered)
	n.client.handleTimeout()
	n.poll()
}

// handleMove processes a new address of the registry: the open call is repeated there.
func (n *fleetNode) handleMove() {
	delay := n.client.handleMove()
	if n.sender != nil {
		n.sender.handleMove()
	}
	if n.call == nil {
		return
	}
	n.endCall()
	incarnation := n.incarnation
	n.registry.after(delay, func() { n.pollIfAlive(incarnation) })
}

// dropCall makes the open call silent: no answer to it arrives.
func (n *fleetNode) dropCall() {
	if n.call.dropped {
		return
	}
	n.markLate()
	n.call.dropped = true
	n.pollSilent, n.pollEnd = true, n.call.pollEnd
	n.excusedUntil = max(n.excusedUntil, n.registry.now+deemedKnownAfter, n.pollEnd+deemedKnownAfterPoll)
}

// setState changes the state, which determines when changes are deemed known from now on.
func (n *fleetNode) setState(state watchState) {
	n.markLate()
	n.state, n.stateSince, n.pollSilent = state, n.registry.now, false
}

// dueTime returns when the node is deemed to know a change in the current state; false if it is not. While the
// registry is down, a node is deemed to know changes only in state watching, that is for what went wrong before the
// outage.
func (n *fleetNode) dueTime(madeAt time.Duration) (at time.Duration, ok bool) {
	if n.state != watching && n.registry.outage != reachable {
		return 0, false
	}
	return max(n.dueByState(madeAt), n.excusedUntil), true
}

// dueByState returns when the node is deemed to know a change, without the exceptions for dropped calls.
func (n *fleetNode) dueByState(madeAt time.Duration) time.Duration {
	switch {
	case n.state == watching && n.pollSilent:
		return madeAt
	case n.state == watching:
		return max(madeAt+deemedKnownAfter, n.pollEnd+deemedKnownAfterPoll)
	case n.state == paused:
		return max(max(madeAt, n.lastAnswerAt)+n.resubscribeWithin, n.registry.reachableSince)
	default:
		return max(madeAt, n.startedAt, n.registry.reachableSince) + deemedKnownAfter
	}
}

// markLate marks the pending changes that the node is deemed to know by now, by its state so far.
func (n *fleetNode) markLate() {
	if !n.alive {
		return
	}
	n.collectPending()
	for i := range n.pending {
		pending := &n.pending[i]
		if at, ok := n.dueTime(pending.madeAt); ok && !pending.late && at < n.registry.now {
			pending.late, pending.dueAt = true, max(at, n.stateSince)
		}
	}
}

// collectPending adds the changes made since its last call to the pending ones.
func (n *fleetNode) collectPending() {
	changes := n.registry.lists[n.tier].changes
	for _, c := range changes[n.knownChanges+len(n.pending):] {
		inGap := slices.ContainsFunc(n.gaps, func(g callGap) bool { return c.at > g.from && c.at <= g.until })
		n.pending = append(n.pending, pendingChange{madeAt: c.at, inGap: inGap})
	}
}

// deliver records the delivery of all changes up to a version.
func (n *fleetNode) deliver(version int) {
	n.markLate()
	now := n.registry.now
	for version > n.knownChanges {
		pending := n.pending[0]
		n.pending = n.pending[1:]
		n.knownChanges++
		lateness := time.Duration(0)
		if pending.late {
			lateness = now - pending.dueAt
		} else if at, ok := n.dueTime(pending.madeAt); ok {
			lateness = now - at
		}
		n.deliveries = append(n.deliveries, delivery{pending.madeAt, now - pending.madeAt, lateness, pending.inGap, false})
		n.newestDeliveredAt = now
	}
}

// noteContact records the first answer or opened poll since the last outage.
func (n *fleetNode) noteContact() {
	if n.firstContactAt < n.registry.reachableSince {
		n.firstContactAt = n.registry.now
	}
}
