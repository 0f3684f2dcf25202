package endpoints

import "time"

// Under the protocol a node counts as notified of a change that it has not received after these times (STANDING,
// PROTOCOL).
const (
	// notifiedAfterFailure applies after a call that failed, was rejected or was given up.
	notifiedAfterFailure = 6 * time.Second
	// notifiedAfterPollEnd applies to a long poll without an answer, from the end of its wait.
	notifiedAfterPollEnd = 2 * time.Second
	// notifiedAfterMove applies after discovery has moved to another address.
	notifiedAfterMove = 4 * time.Second
	// A starting node has the list of its previous process, which ended at most this long ago as far as the node can
	// tell. The node counts as notified of later changes like any other. This matters only for a list so long that
	// discovery may be too busy to answer: a node with a short list gets its answer earlier, and restricting it to a
	// few servers meanwhile would bring nothing.
	maxRestartGap = 4 * time.Second
	longListSize  = 150
	// Discovery gives up calls that have waited in its queue for this long, among them possibly the answer to a long
	// poll.
	maxDiscoveryQueueTime = 3 * time.Second
	// A call that fails sooner than this may have been in the queue of discovery all the time. One that lasted longer
	// was an open long poll, which would have delivered every change.
	openPollAge = 4 * time.Second
)

// FailureReason is why a call to discovery brought no list.
type FailureReason int

// The reasons.
const (
	Unreachable   FailureReason = iota // no connection, or an answer that can't be parsed
	Overloaded                         // an HTTP error: discovery is down or has more calls than it can process
	PollTimedOut                       // no answer to a long poll in time; the next poll starts at once
	PollReset                          // the connection of an open long poll was closed: the network is up
	PartialAnswer                      // the answer is incomplete; the node counts as notified of all of it
)

// String returns the name of the reason for logs.
func (r FailureReason) String() string {
	names := [...]string{"unreachable", "overloaded", "silent", "reset", "partial"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// CallFailure describes a call to discovery that brought no list.
type CallFailure struct {
	Reason     FailureReason
	Took       time.Duration
	PollWait   time.Duration // how long the call let discovery wait for a change
	Generation uint64        // with PartialAnswer: of the list; 0 if it was not received
}

// Confirmation tracks until when the list of a node counts as confirmed: until then the node counts as notified of no
// change that it has not received.
type Confirmation struct {
	currentAsOf time.Duration // the node has received every change that discovery had at this time
	disturbed   bool          // since the last answer a call has failed or discovery has moved
}

// PollAcceptedAfter is how long a long poll has to be open before discovery must have accepted it. Changes from
// before the call would have been written by then, or the call would have failed in the queue.
const PollAcceptedAfter = maxDiscoveryQueueTime + 500*time.Millisecond

// RecordOpenPoll records that a long poll has been open for PollAcceptedAfter. It returns as of when this confirms
// the list and until when; until is 0 if the list stays confirmed while the poll is open. If a call has failed since
// the last answer, the confirmation ends earlier: discovery may be so slow that changes wait in its queue for too
// long.
func (c *Confirmation) RecordOpenPoll(now time.Duration) (asOf, until time.Duration) {
	c.currentAsOf = max(c.currentAsOf, now-PollAcceptedAfter)
	if c.disturbed {
		until = c.ConfirmedUntil()
	}
	return c.currentAsOf, until
}

// NewConfirmation returns the confirmation of a node that starts now.
func NewConfirmation(now time.Duration) *Confirmation { return &Confirmation{currentAsOf: now} }

// Restore takes the number of servers in the list that a node starts with, and returns until when that list is
// confirmed; 0: until a call fails.
func (c *Confirmation) Restore(serverCount int) (until time.Duration) {
	if serverCount < longListSize {
		return 0
	}
	c.currentAsOf -= maxRestartGap
	return c.ConfirmedUntil()
}

// ConfirmedUntil returns until when the list is confirmed if discovery sends nothing more.
func (c *Confirmation) ConfirmedUntil() time.Duration { return c.currentAsOf + notifiedAfterFailure }

// RecordAnswer records the answer to a call that took a certain time and let discovery wait for changes, and returns
// as of when it confirms the list. An answer from before the end of that wait may have been in the queue for up to
// maxDiscoveryQueueTime.
func (c *Confirmation) RecordAnswer(now, took, wait time.Duration) (asOf time.Duration) {
	if asOf = now - min(took, maxDiscoveryQueueTime); wait > 0 && took >= wait {
		asOf = now - (took - wait)
	}
	c.currentAsOf, c.disturbed = max(c.currentAsOf, asOf), false
	return c.currentAsOf
}

// RecordFailure records a failed call and returns until when the list is confirmed.
func (c *Confirmation) RecordFailure(now time.Duration, failure CallFailure) (until time.Duration) {
	c.disturbed = true
	switch failure.Reason {
	case PartialAnswer:
		return now
	case PollTimedOut:
		start := now - failure.Took
		return start + failure.PollWait + notifiedAfterPollEnd
	}
	if failure.Took > openPollAge {
		if failure.Reason == Overloaded {
			now -= maxDiscoveryQueueTime
		}
		c.currentAsOf = max(c.currentAsOf, now)
	}
	return c.ConfirmedUntil()
}

// RecordMove records that discovery has moved to another address, and returns until when the list is confirmed.
func (c *Confirmation) RecordMove(now time.Duration) (until time.Duration) {
	c.disturbed = true
	return now + notifiedAfterMove
}
