package endpoints

import "time"

// How long a change that a node has not received may still be held not to count as told to it (STANDING, PROTOCOL).
const (
	// toldAfterFailure holds after any call that failed, was refused or given up.
	toldAfterFailure = 6 * time.Second
	// toldAfterWait holds for a long poll that fell silent, from the end of its wait.
	toldAfterWait = 2 * time.Second
	// toldAfterMove holds once discovery has moved to another address.
	toldAfterMove = 4 * time.Second
	// A node that starts has the list of its last life, which ended this long before at the most, as far as it can tell.
	// What changed since counts as told to it like to any other. That is of weight where the list is so long that discovery
	// may be too busy to tell: a node with a short one is answered before, and would go by few servers in vain.
	longestRestart = 4 * time.Second
	longList       = 150
	// Discovery gives calls up that have waited in its queue for so long. That may have been the answer to a long poll.
	longestQueue = 3 * time.Second
	// A call that fails sooner than this may have waited in discovery's queue all the time. One that lasted longer was an
	// open long poll, on which every change would have come.
	openAfter = 4 * time.Second
)

// Reason is why a call to discovery brought no list.
type FailureReason int

// The reasons.
const (
	Unreachable   FailureReason = iota // no connection, or an answer that can't be read
	Overloaded                         // an HTTP error: discovery is down, or has more calls than it can work through
	PollTimedOut                       // nothing came in time on a long poll; the next one begins at once
	PollReset                          // the connection of an open long poll was ended: the network delivers
	PartialAnswer                      // an answer has begun and did not come whole, or has not yet: it counts as told
)

// String names the reason, as logs have it.
func (r FailureReason) String() string {
	names := [...]string{"unreachable", "overloaded", "silent", "reset", "partial"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Failure is a call to discovery that brought no list.
type CallFailure struct {
	Reason   FailureReason
	Took     time.Duration
	PollWait time.Duration // how long discovery was asked to wait for a change
}

// Confirmation tracks until when a node's list is as good as confirmed: no change that the node has not received can count
// as told to it before.
type Confirmation struct {
	heard    time.Duration // every change that discovery had by then has been received
	troubled bool          // a call has failed, or discovery has moved, since its last answer
}

// AcceptedAfter is how long a long poll has to be out until discovery surely keeps it open: what it had for the node by the
// time at which the call came would have been written, or the call have failed in the queue.
const PollAcceptedAfter = longestQueue + 500*time.Millisecond

// Accepted takes a long poll that has been out for AcceptedAfter. It returns as of when that confirms the list, and until when: 0,
// as long as the poll is open, unless a call has failed since the last answer. Discovery may then be so slow that what changes waits
// in its queue for too long.
func (c *Confirmation) RecordOpenPoll(now time.Duration) (asOf, until time.Duration) {
	c.heard = max(c.heard, now-PollAcceptedAfter)
	if c.troubled {
		until = c.ConfirmedUntil()
	}
	return c.heard, until
}

// NewConfirmation is for a node that starts now.
func NewConfirmation(now time.Duration) *Confirmation { return &Confirmation{heard: now} }

// Begin takes the list of so many servers that a node starts with, and returns until when it is confirmed; 0: until a call fails.
func (c *Confirmation) Restore(servers int) (until time.Duration) {
	if servers < longList {
		return 0
	}
	c.heard -= longestRestart
	return c.ConfirmedUntil()
}

// Until is until when the list is confirmed as long as nothing is heard of discovery.
func (c *Confirmation) ConfirmedUntil() time.Duration { return c.heard + toldAfterFailure }

// Answered takes an answer to a call that took so long and let discovery wait for changes, and returns as of when it confirms the
// list. One that came before the end of that wait may have been made up to longestQueue before, and have waited in the queue.
func (c *Confirmation) RecordAnswer(now, took, wait time.Duration) (asOf time.Duration) {
	if asOf = now - min(took, longestQueue); wait > 0 && took >= wait {
		asOf = now - (took - wait)
	}
	c.heard, c.troubled = max(c.heard, asOf), false
	return c.heard
}

// Failed takes a call that failed and returns until when the list is confirmed.
func (c *Confirmation) RecordFailure(now time.Duration, failure CallFailure) (until time.Duration) {
	c.troubled = true
	switch failure.Reason {
	case PartialAnswer:
		return now
	case PollTimedOut:
		begun := now - failure.Took
		return begun + failure.PollWait + toldAfterWait
	}
	if failure.Took > openAfter {
		if failure.Reason == Overloaded {
			now -= longestQueue
		}
		c.heard = max(c.heard, now)
	}
	return c.ConfirmedUntil()
}

// Moved takes a move of discovery to another address and returns until when the list is confirmed.
func (c *Confirmation) RecordMove(now time.Duration) (until time.Duration) {
	c.troubled = true
	return now + toldAfterMove
}
