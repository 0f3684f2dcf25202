package lease

import (
	"fmt"
	"time"
)

// Phase is the state of a client.
type Phase uint8

// The phases, in their order; some may be skipped.
const (
	Asking    Phase = 1 + iota // the first request has no answer yet
	Queued                     // waits while others hold the lease or are ahead in the queue
	Holding                    // acts may begin, as far as the guard permits
	Stopping                   // no act may begin; begun ones may still last
	Releasing                  // the release was sent and has no answer yet
	Over                       // ended; the client does nothing more
)

// String returns the phase as shown to operators.
func (p Phase) String() string {
	return [...]string{"", "asking", "in line", "holding", "stopping", "releasing", "over"}[p]
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events.
const (
	PhaseChanged EventKind = 1 + iota // the phase or the place in the queue has changed
	Extended                          // renewed: the lease lasts until Until
	Unreachable                       // no answer for noAnswerTimeout: no majority of the voters, or no path to it
	Reachable                         // an answer came after Unreachable
)

// Event is a change that a client reports to its user.
type Event struct {
	Kind  EventKind
	Phase Phase
	Place int           // in the queue, from 1
	Token uint64        // from Holding on
	Until time.Duration // Holding, Extended: every act must end by then, by the client's clock
	Why   string        // Stopping, Releasing, Over: the reason
}

// Client drives one holder's side of one lease, from the first request to the release. It returns the commands to
// send and resends them if no answer comes, keeps the place in the queue, renews in time, and releases the lease once
// no act lasts any more. It uses only its own clock, which must go on while the process is suspended. A Client is
// used once: to acquire the lease again takes a new Client with another life.
type Client struct {
	timing          Timing
	lease           string
	holder          Holder
	ttl             time.Duration
	guard           *Guard
	phase           Phase
	place           int
	seq             uint64
	pending         *Command      // the request that has no answer yet
	pendingSince    time.Duration // when what the pending request asks for was first requested
	firstSent       time.Duration // when the pending request was first sent
	lastSent        time.Duration
	attempts        int           // of the pending request
	refreshAt       time.Duration // when to repeat the request that keeps the place in the queue
	unreachable     bool          // Unreachable was reported
	releaseDeadline time.Duration // when Releasing ends even without an answer
	transferTo      Holder
	reason          string
	events          []Event
}

const (
	maxRetryInterval, minRetryInterval = 300 * time.Millisecond, 50 * time.Millisecond
	fastRetryInterval                  = 20 * time.Millisecond // after a voter has answered that it can't serve
	// An election takes one to two seconds; a longer time without an answer is reported.
	noAnswerTimeout = 3 * time.Second
)

// NewClient returns a client that requests a lease for h.
func NewClient(timing Timing, name string, h Holder, ttl time.Duration, now time.Duration) (*Client, error) {
	cl := &Client{timing: timing.Default(), lease: name, holder: h, ttl: ttl, phase: Asking}
	cl.guard = NewGuard(cl.timing)
	c := Command{Op: Acquire, Lease: name, Holder: h, TTL: ttl}
	if err := c.Check(); err != nil {
		return nil, err
	}
	cl.startRequest(now, c)
	return cl, nil
}

// Lease returns the lease's name.
func (cl *Client) Lease() string { return cl.lease }

// Holder returns the life that the client acts for.
func (cl *Client) Holder() Holder { return cl.holder }

// Phase returns the client's phase.
func (cl *Client) Phase() Phase { return cl.phase }

// Token returns the last token held; 0 if there was none.
func (cl *Client) Token() uint64 { return cl.guard.Token() }

// Attempts returns how often the pending request was sent; 0 if none is pending.
func (cl *Client) Attempts() int {
	if cl.pending == nil {
		return 0
	}
	return cl.attempts
}

// Events returns and clears the events since the last call.
func (cl *Client) Events() []Event {
	e := cl.events
	cl.events = nil
	return e
}

// changePhase enters a phase, for the given reason, and reports it as an event.
func (cl *Client) changePhase(p Phase, reason string) {
	cl.phase, cl.reason = p, reason
	cl.events = append(cl.events, Event{Kind: PhaseChanged, Phase: p, Place: cl.place, Token: cl.guard.Token(), Until: cl.guard.validUntil, Why: reason})
}

// retryInterval is how long to wait for an answer before the request is sent again.
func (cl *Client) retryInterval() time.Duration {
	return min(max(cl.ttl/12, minRetryInterval), maxRetryInterval)
}

// startRequest makes c the pending request, under a new sequence number.
func (cl *Client) startRequest(now time.Duration, c Command) {
	cl.seq++
	c.Lease, c.Holder, c.Seq = cl.lease, cl.holder, cl.seq
	cl.pending, cl.pendingSince, cl.firstSent, cl.lastSent, cl.attempts = &c, now, now, now-time.Hour, 0
	cl.guard.RequestSent(now, cl.seq)
}

// BeginAct must be called right before an act. It returns the token to act under, or false if the act may not begin.
func (cl *Client) BeginAct(now, act time.Duration) (uint64, bool) {
	if cl.phase != Holding {
		return 0, false
	}
	return cl.guard.BeginAct(now, act)
}

// MaxActDuration returns how long an act that begins now may last; 0: none may begin.
func (cl *Client) MaxActDuration(now time.Duration) time.Duration {
	if cl.phase != Holding {
		return 0
	}
	_, left, _ := cl.guard.CanBegin(now, 0)
	return left
}

// EndActs records that all begun acts have ended.
func (cl *Client) EndActs(now time.Duration) { cl.guard.EndActs(now) }

// Stop gives up the lease, or the request for it. The release is sent once no act lasts any more. If to names a
// waiter, the lease passes to that one, ahead of others in the queue.
func (cl *Client) Stop(now time.Duration, to Holder) {
	switch cl.phase {
	case Asking, Queued:
		cl.releaseDeadline = now + noAnswerTimeout
		cl.startRequest(now, Command{Op: LeaveQueue})
		cl.changePhase(Releasing, "given up")
	case Holding:
		cl.transferTo = to
		cl.guard.Stop(now)
		cl.changePhase(Stopping, "given up")
	}
}

// Abandon ends the client without a release, for a user that is gone and can't report whether its acts have ended.
// The lease then expires after its time to live.
func (cl *Client) Abandon() {
	if cl.phase == Over {
		return
	}
	cl.guard.stopped, cl.pending = true, nil
	cl.changePhase(Over, "the user is gone; the lease expires after its time to live")
}

// Tick returns the command to send now, or nil. It must be called often, and after each other call.
func (cl *Client) Tick(now time.Duration) (send *Command) {
	switch cl.phase {
	case Over:
		return nil
	case Queued:
		if cl.pending == nil && now >= cl.refreshAt {
			cl.startRequest(now, Command{Op: Acquire, TTL: cl.ttl})
		}
	case Holding:
		if now > cl.guard.validUntil {
			cl.guard.Stop(now)
			cl.changePhase(Stopping, "not renewed in time")
		} else if cl.pending == nil && now >= cl.guard.RenewAt() {
			cl.startRequest(now, Command{Op: Renew, Token: cl.guard.Token()})
		}
	}
	if cl.phase == Stopping && !cl.guard.Busy(now) {
		c := Command{Op: Release, Token: cl.guard.Token()}
		if cl.transferTo.Life != 0 {
			c.Op, c.To = Transfer, cl.transferTo
		}
		cl.releaseDeadline = now + 2*cl.ttl
		cl.startRequest(now, c)
		cl.changePhase(Releasing, cl.reason)
	}
	if cl.phase == Releasing && now >= cl.releaseDeadline {
		cl.pending = nil
		cl.changePhase(Over, cl.reason)
		return nil
	}
	if cl.pending == nil || now-cl.lastSent < cl.retryInterval() {
		return nil
	}
	if op := cl.pending.Op; (op == Acquire || op == Renew) && now-cl.firstSent >= cl.ttl/4 {
		// A grant counts from the first sending: after so long it would have expired, or nearly, when it arrives.
		pendingSince, attempts := cl.pendingSince, cl.attempts
		cl.startRequest(now, *cl.pending)
		cl.pendingSince, cl.attempts = pendingSince, attempts
	}
	if !cl.unreachable && now-cl.pendingSince >= noAnswerTimeout {
		cl.unreachable = true
		cl.events = append(cl.events, Event{Kind: Unreachable, Phase: cl.phase, Token: cl.guard.Token(), Until: cl.guard.validUntil})
	}
	cl.lastSent = now
	cl.attempts++
	return cl.pending
}

// RetrySoon shortens the wait before the pending request is sent to another voter, as the last one can't serve it.
func (cl *Client) RetrySoon(now time.Duration, seq uint64) {
	if cl.pending != nil && cl.pending.Seq == seq {
		cl.lastSent = now - cl.retryInterval() + min(fastRetryInterval<<min(cl.attempts, 4), cl.retryInterval())
	}
}

// HandleAnswer processes answers in any order.
func (cl *Client) HandleAnswer(now time.Duration, a Answer) {
	if cl.phase == Over || a.Lease != cl.lease {
		return
	}
	if cl.unreachable {
		cl.unreachable = false
		cl.events = append(cl.events, Event{Kind: Reachable, Phase: cl.phase})
	}
	answersPending := cl.pending != nil && a.Seq == cl.pending.Seq
	var answeredOp Op
	if answersPending {
		answeredOp, cl.pending = cl.pending.Op, nil
	}
	switch a.Outcome {
	case Granted:
		cl.handleGrant(now, a, answeredOp)
	case Waiting:
		if answersPending && (cl.phase == Asking || cl.phase == Queued) {
			if cl.refreshAt = now + min(cl.timing.WaiterTimeout/3, cl.ttl/4); cl.phase != Queued || cl.place != a.Place {
				cl.place = a.Place
				cl.changePhase(Queued, "")
			}
		}
	case Freed:
		if answersPending {
			cl.changePhase(Over, cl.reason)
		}
	case Refused, LimitReached:
		if !answersPending {
			return
		}
		switch {
		case cl.phase == Releasing && answeredOp == Transfer: // the waiter has left: release to the next one
			cl.startRequest(now, Command{Op: Release, Token: cl.guard.Token()})
		case cl.phase == Releasing:
			cl.changePhase(Over, cl.reason)
		case a.Outcome == LimitReached:
			cl.changePhase(Over, "the limit of waiters, leases or sessions is reached")
		case cl.phase == Holding: // a refused renewal: the lease has expired, or an operator took it
			cl.guard.Stop(now)
			cl.changePhase(Stopping, "the lease has expired or was taken by an operator")
		case cl.phase != Stopping:
			cl.changePhase(Over, "the request was refused")
		}
	}
}

// handleGrant processes a grant; answeredOp is the pending operation that it answers, 0 if it answers none.
func (cl *Client) handleGrant(now time.Duration, a Answer, answeredOp Op) {
	switch cl.phase {
	case Asking, Queued:
		cl.guard.HandleAnswer(a)
		if cl.guard.Token() != a.Token {
			return // the guard no longer knows when the request was sent
		}
		if answeredOp != Acquire { // granted as a waiter: the pending request is superfluous
			cl.pending = nil
		}
		cl.place = 0
		cl.changePhase(Holding, "")
	case Holding:
		previousEnd := cl.guard.validUntil
		if cl.guard.HandleAnswer(a); cl.guard.validUntil > previousEnd {
			cl.events = append(cl.events, Event{Kind: Extended, Phase: cl.phase, Token: cl.guard.Token(), Until: cl.guard.validUntil})
		}
	case Releasing:
		if cl.guard.Token() == 0 { // granted while the request was being given up
			cl.guard.HandleAnswer(a)
			cl.guard.Stop(now)
			cl.startRequest(now, Command{Op: Release, Token: a.Token})
		}
	}
}

// String describes the client on one line.
func (cl *Client) String() string {
	return fmt.Sprintf("%s of %s/%d: %s, token %d", cl.lease, cl.holder.Name, cl.holder.Incarnation, cl.phase, cl.guard.Token())
}
