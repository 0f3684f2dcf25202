package virtual

import (
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/timeline"
)

// networkDelay is the one-way latency of messages.
const networkDelay = time.Millisecond

// slowFailureTime is the response time of an unavailable registry that fails calls slowly.
const slowFailureTime = 2 * time.Second

// outageKind is the way in which calls fail while the registry is down.
type outageKind int

const (
	reachable         outageKind = iota
	failsSlowly                  // 503 after slowFailureTime
	rejectsAtOnce                // 503 at once
	resetsConnections            // the connection is reset
	dropsCalls                   // calls get no answer, and open polls stay open
	outageKindsEnd               // number of kinds
	// minOpenPollAge is the minimum age of a call whose reset counts as that of an open poll.
	minOpenPollAge = 500 * time.Millisecond
)

func (k outageKind) String() string {
	return [...]string{"reachable", "503 after 2 s", "503 at once", "connection reset", "no answer"}[k]
}

// change is a new version of a tier's list.
type change struct {
	at    time.Duration
	lines int // changed servers
}

// tierList is the registry's list for the nodes of one tier.
type tierList struct {
	totalLines  int  // lines of the full list, and thus the limit of an answer, which holds each server once
	fullAnswers bool // answers hold the full list instead of the changes
	changes     []change
}

// linesSince returns the number of lines of an answer to a node that knows a number of changes.
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

// callRecord records a call and its outcome.
type callRecord struct {
	at      time.Duration
	lines   float64
	outcome registry.Outcome
	refused bool // the registry was down
}

// registryService simulates the registry for the calls of a fleet: its queue, open polls and outages.
type registryService struct {
	events         timeline.Events
	now            time.Duration
	wallStart      time.Duration // wall-clock time at the start of the run
	queue          *registry.Queue
	callLines      float64
	lists          []tierList // by tier
	nodes          []*fleetNode
	outage         outageKind    // reachable: none
	reachableSince time.Duration // end of the last outage
	calls          []callRecord
}

// registryCall is a call of a node to the registry.
type registryCall struct {
	node            *fleetNode
	startedAt       time.Duration
	fetchesFullList bool          // fetches the full list, and is answered at once
	pollEnd         time.Duration // when the registry ends the poll even if nothing has changed
	open            bool          // processed, and waiting for changes
	answerSent      bool          // its answer is on the way
	dropped         bool          // no answer reaches the node
	ended           bool          // the node has its outcome
}

// after schedules an event after a delay.
func (s *registryService) after(delay time.Duration, do func()) { s.events.At(s.now+delay, do) }

// handleCall processes a call of a node.
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

// enqueue adds a call to the queue, and schedules its outcome.
func (s *registryService) enqueue(c *registryCall) {
	list := &s.lists[c.node.tier]
	version := len(list.changes)
	lines := list.linesSince(c.node.knownChanges)
	if c.fetchesFullList {
		lines = list.totalLines
	}
	admission := s.queue.EnqueueCall(s.now, lines)
	s.calls = append(s.calls, callRecord{at: s.now, lines: s.callLines + float64(lines), outcome: admission.Outcome})
	delay := admission.DoneAt - s.now
	switch admission.Outcome {
	case registry.Rejected:
		s.after(networkDelay, func() { s.sendFailure(c, errorStatus) })
	case registry.TimedOut:
		s.after(delay, func() { s.sendFailure(c, errorStatus) })
	case registry.Answered:
		s.after(delay, func() {
			if lines > 0 {
				s.sendAnswer(c, version)
			} else {
				s.openPoll(c)
			}
		})
	}
}

// openPoll opens a long poll after its time in the queue.
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

// sendChanges answers an open poll if its node lacks changes.
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

// sendAnswer answers a call with the list up to a version.
func (s *registryService) sendAnswer(c *registryCall, version int) {
	if !c.ended && !c.dropped {
		c.node.handleAnswer(c, version)
	}
}

// sendFailure ends a call with a failure.
func (s *registryService) sendFailure(c *registryCall, failure callFailure) {
	if !c.ended && !c.dropped {
		c.node.handleFailure(c, failure)
	}
}

// publishChange makes a new version of a tier's list, and sends it to open polls.
func (s *registryService) publishChange(tier, lines int) {
	s.lists[tier].changes = append(s.lists[tier].changes, change{s.now, lines})
	for _, n := range s.nodes {
		if n.tier == tier && n.call != nil {
			s.sendChanges(n.call)
		}
	}
}

// startOutage starts an outage, or turns one into another kind. Open calls fail or are dropped.
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

// endOutage ends an outage.
func (s *registryService) endOutage() {
	s.markLate()
	s.outage, s.reachableSince = reachable, s.now
}

// silencePolls drops all open calls. New calls are processed as usual.
func (s *registryService) silencePolls() {
	for _, n := range s.nodes {
		if n.call != nil {
			n.dropCall()
		}
	}
}

// markLate marks the late changes of all nodes.
func (s *registryService) markLate() {
	for _, n := range s.nodes {
		n.markLate()
	}
}
