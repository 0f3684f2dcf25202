package virtual

import (
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/timeline"
)

// networkDelay is how long a message takes one way.
const networkDelay = time.Millisecond

// slowFailure is how long a call takes that a registry fails which is down.
const slowFailureTime = 2 * time.Second

// outageKind says what becomes of calls while the registry is down.
type outageKind int

const (
	reachable         outageKind = iota
	failsSlowly                  // 503 after 2 s
	rejectsAtOnce                // 503 at once
	resetsConnections            // the connection is reset
	dropsCalls                   // no answer, and open polls stay open
	outageKindsEnd               // not a kind
	// openLeast is how long a call must have been out for its reset to be that of an open poll.
	minOpenPollAge = 500 * time.Millisecond
)

func (k outageKind) String() string {
	return [...]string{"up", "503 after 2 s", "503 at once", "reset", "silent"}[k]
}

// change is one new version of a tier's list.
type change struct {
	at    time.Duration
	lines int
}

// tierList is the list that the registry keeps for the nodes of one tier.
type tierList struct {
	totalLines  int  // lines of the whole list: an answer holds each server once
	fullAnswers bool // all answers with news hold the whole list
	changes     []change
}

// linesSince is how many lines an answer takes to one that knows so many changes.
func (l *tierList) linesSince(known int) int {
	lines := 0
	for _, c := range l.changes[known:] {
		lines += c.lines
	}
	if lines > 0 && l.fullAnswers {
		return l.totalLines
	}
	return min(lines, l.totalLines)
}

// offered is one call as it came, and what became of it.
type callRecord struct {
	at      time.Duration
	lines   float64
	outcome registry.Outcome
	refused bool // by a registry that is down
}

// service is the registry as the calls of a fleet find it: the queue, the open polls and the outages.
type registryService struct {
	events         timeline.Events
	now            time.Duration
	wallStart      time.Duration // time of the wall clock at the run's begin
	queue          *registry.Queue
	callLines      float64
	lists          []tierList // by tier
	nodes          []*fleetNode
	outage         outageKind
	reachableSince time.Duration // when it could last be reached again
	calls          []callRecord
}

// registryCall is a call of one node.
type registryCall struct {
	node       *fleetNode
	startedAt  time.Duration
	whole      bool          // for the whole list, which is answered at once
	pollEnd    time.Duration // when the registry ends the poll, whether or not there is news
	open       bool          // worked through, and waiting for news
	answerSent bool          // its answer is on the way
	dropped    bool          // nothing reaches the node any more
	ended      bool          // the node has its end
}

func (s *registryService) after(wait time.Duration, do func()) { s.events.At(s.now+wait, do) }

// receive takes a call.
func (s *registryService) handleCall(c *registryCall) {
	if s.outage != reachable {
		s.calls = append(s.calls, callRecord{at: s.now, lines: s.callLines, refused: true})
	}
	switch s.outage {
	case failsSlowly:
		s.after(slowFailureTime, func() { s.sendFailure(c, errorStatus) })
	case rejectsAtOnce:
		s.after(networkDelay, func() { s.sendFailure(c, errorStatus) })
	case resetsConnections:
		s.after(networkDelay, func() { s.sendFailure(c, noConnection) })
	case dropsCalls:
		c.node.dropCall()
	case reachable:
		s.enqueue(c)
	}
}

// admit queues a call.
func (s *registryService) enqueue(c *registryCall) {
	list := &s.lists[c.node.tier]
	version := len(list.changes)
	lines := list.linesSince(c.node.knownChanges)
	if c.whole {
		lines = list.totalLines
	}
	admission := s.queue.EnqueueCall(s.now, lines)
	s.calls = append(s.calls, callRecord{at: s.now, lines: s.callLines + float64(lines), outcome: admission.Outcome})
	wait := admission.DoneAt - s.now
	switch admission.Outcome {
	case registry.Rejected:
		s.after(networkDelay, func() { s.sendFailure(c, errorStatus) })
	case registry.TimedOut:
		s.after(wait, func() { s.sendFailure(c, errorStatus) })
	case registry.Answered:
		s.after(wait, func() {
			if lines > 0 {
				s.sendAnswer(c, version)
			} else {
				s.openPoll(c)
			}
		})
	}
}

// begin opens a long poll that has been worked through.
func (s *registryService) openPoll(c *registryCall) {
	if c.ended || c.dropped {
		return
	}
	c.open = true
	c.node.handleOpened(c)
	s.sendChanges(c)
	s.after(max(0, c.pollEnd-s.now), func() {
		if !c.answerSent {
			s.sendAnswer(c, c.node.knownChanges)
		}
	})
}

// tell writes what the node of an open poll lacks, if it lacks something.
func (s *registryService) sendChanges(c *registryCall) {
	list := &s.lists[c.node.tier]
	lines := list.linesSince(c.node.knownChanges)
	if !c.open || c.answerSent || c.ended || c.dropped || lines == 0 {
		return
	}
	c.answerSent = true
	version := len(list.changes)
	s.events.At(s.queue.EnqueueLines(s.now, lines), func() { s.sendAnswer(c, version) })
}

// answer ends a call with the list up to a version.
func (s *registryService) sendAnswer(c *registryCall, version int) {
	if !c.ended && !c.dropped {
		c.node.handleAnswer(c, version)
	}
}

// fail ends a call without an answer.
func (s *registryService) sendFailure(c *registryCall, how callFailure) {
	if !c.ended && !c.dropped {
		c.node.handleFailure(c, how)
	}
}

// change makes a new version of a tier's list.
func (s *registryService) publishChange(tier, lines int) {
	s.lists[tier].changes = append(s.lists[tier].changes, change{s.now, lines})
	for _, n := range s.nodes {
		if n.tier == tier && n.call != nil {
			s.sendChanges(n.call)
		}
	}
}

// goDown begins an outage, or turns one into another. Calls that are out end, or are swallowed.
func (s *registryService) startOutage(kind outageKind) {
	s.markLate()
	s.outage = kind
	s.queue.Clear(s.now)
	for _, n := range s.nodes {
		c := n.call
		switch {
		case c == nil:
		case kind == dropsCalls:
			n.dropCall()
		case s.now-c.startedAt < minOpenPollAge:
			s.after(networkDelay, func() { s.sendFailure(c, noConnection) })
		default:
			s.after(networkDelay, func() { s.sendFailure(c, pollReset) })
		}
	}
}

// comeBack ends an outage.
func (s *registryService) endOutage() {
	s.markLate()
	s.outage, s.reachableSince = reachable, s.now
}

// silence swallows all open polls, once, and takes new calls.
func (s *registryService) silencePolls() {
	for _, n := range s.nodes {
		if n.call != nil {
			n.dropCall()
		}
	}
}

// settle holds all nodes to what counts as told up to now.
func (s *registryService) markLate() {
	for _, n := range s.nodes {
		n.markLate()
	}
}
