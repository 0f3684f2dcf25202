package lease

import (
	"fmt"
	"time"
)

// Phase is how far a tenant is.
type Phase uint8

// The phases, in the order in which they come; some may be passed over.
const (
	Asking    Phase = 1 + iota
	Queued          // others hold the lease, or stand before it
	Holding         // acts may begin, as long as the guard says so
	Stopping        // no act may begin any more; some may still last
	Releasing       // the machine is told that it is free
	Over
)

// String is the phase as operators read it.
func (p Phase) String() string {
	return [...]string{"", "asking", "in line", "holding", "stopping", "releasing", "over"}[p]
}

// EventKind says what a tenant has come to know.
type EventKind uint8

// The kinds of events.
const (
	PhaseChanged EventKind = 1 + iota // the phase is another one, or the place in line
	Extended                          // the lease goes on until Until
	Unreachable                       // nobody has answered for a while: there is no majority, or no way to it
	Reachable                         // after that, somebody has
)

// Event is something that a tenant's user wants to know.
type Event struct {
	Kind  EventKind
	Phase Phase
	Place int           // in line, from 1
	Token uint64        // from Holding on
	Until time.Duration // Holding, Extended: no act may last beyond, by the tenant's clock
	Why   string        // Over
}

// Tenant is one life's part in one lease, from its asking to its end: it says what is to be sent, and again if no answer
// comes, keeps the place in line, renews in time, and gives the lease up once no act lasts any more. It goes by its own
// clock alone, which must go on while the process stands still. It is used once: who wants the lease again is another life.
type Client struct {
	timing  Timing
	lease  string
	holder Holder
	ttl    time.Duration
	guard  *Guard
	phase  Phase
	place  int
	seq    uint64
	pending   *Command      // without an answer yet
	pendingSince  time.Duration // when it was asked for what is open
	firstSent  time.Duration // when the open request was first sent
	lastSent   time.Duration
	attempts  int           // of the open request
	refreshAt   time.Duration // when to ask again for the place in line
	unreachable  bool          // Unreachable was told
	releaseDeadline    time.Duration // of the releasing, whatever is answered
	transferTo Holder
	reason    string
	events []Event
}

const (
	maxRetryInterval, minRetryInterval = 300 * time.Millisecond, 50 * time.Millisecond
	fastRetryInterval          = 20 * time.Millisecond // after a voter's word that it can't help
	// An election takes one to two seconds; who has heard nobody for longer is told.
	noAnswerTimeout = 3 * time.Second
)

// NewTenant begins to ask for a lease.
func NewClient(terms Timing, name string, h Holder, ttl time.Duration, now time.Duration) (*Client, error) {
	t := &Client{timing: terms.Default(), lease: name, holder: h, ttl: ttl, phase: Asking}
	t.guard = NewGuard(t.timing)
	c := Command{Op: Acquire, Lease: name, Holder: h, TTL: ttl}
	if err := c.Check(); err != nil {
		return nil, err
	}
	t.startRequest(now, c)
	return t, nil
}

// Lease is the lease's name, Holder who asks, and Phase how far it is.
func (t *Client) Lease() string  { return t.lease }
func (t *Client) Holder() Holder { return t.holder }
func (t *Client) Phase() Phase   { return t.phase }

// Token is what was held last; 0: nothing yet.
func (t *Client) Token() uint64 { return t.guard.Token() }

// Tries is how often the open request was sent; 0: none is open.
func (t *Client) Attempts() int {
	if t.pending == nil {
		return 0
	}
	return t.attempts
}

// Events are what has happened since the last call.
func (t *Client) Events() []Event {
	e := t.events
	t.events = nil
	return e
}

func (t *Client) changePhase(p Phase, why string) {
	t.phase, t.reason = p, why
	t.events = append(t.events, Event{Kind: PhaseChanged, Phase: p, Place: t.place, Token: t.guard.Token(), Until: t.guard.validUntil, Why: why})
}

// retry is how long an answer is waited for.
func (t *Client) retryInterval() time.Duration { return min(max(t.ttl/12, minRetryInterval), maxRetryInterval) }

func (t *Client) startRequest(now time.Duration, c Command) {
	t.seq++
	c.Lease, c.Holder, c.Seq = t.lease, t.holder, t.seq
	t.pending, t.pendingSince, t.firstSent, t.lastSent, t.attempts = &c, now, now, now-time.Hour, 0
	t.guard.RequestSent(now, t.seq)
}

// Begin is to be called right before an act, as the guard's is: a token, or false.
func (t *Client) BeginAct(now, act time.Duration) (uint64, bool) {
	if t.phase != Holding {
		return 0, false
	}
	return t.guard.BeginAct(now, act)
}

// May tells how long acts may last at the most that begin now; 0: none may begin.
func (t *Client) MaxActDuration(now time.Duration) time.Duration {
	if t.phase != Holding {
		return 0
	}
	_, left, _ := t.guard.CanBegin(now, 0)
	return left
}

// Acted tells that all acts that had begun are over.
func (t *Client) ActsEnded(now time.Duration) { t.guard.EndActs(now) }

// Stop gives the lease up, or the wish for it. Once no act lasts any more the machine is told. To may name a waiter that it
// is to go to, ahead of others in line.
func (t *Client) Stop(now time.Duration, to Holder) {
	switch t.phase {
	case Asking, Queued:
		t.releaseDeadline = now + noAnswerTimeout
		t.startRequest(now, Command{Op: LeaveQueue})
		t.changePhase(Releasing, "given up")
	case Holding:
		t.transferTo = to
		t.guard.Stop(now)
		t.changePhase(Stopping, "given up")
	}
}

// Abandon has the tenant say and do nothing more: its user can't be asked any more whether its acts are over. The lease ends
// by its time.
func (t *Client) Abandon() {
	if t.phase == Over {
		return
	}
	t.guard.stopped, t.pending = true, nil
	t.changePhase(Over, "its user is gone; the lease runs out")
}

// Tick says what is to be sent now, if anything. It is to be called often, and after each other call.
func (t *Client) Tick(now time.Duration) (send *Command) {
	switch t.phase {
	case Over:
		return nil
	case Queued:
		if t.pending == nil && now >= t.refreshAt {
			t.startRequest(now, Command{Op: Acquire, TTL: t.ttl})
		}
	case Holding:
		if now > t.guard.validUntil {
			t.guard.Stop(now)
			t.changePhase(Stopping, "not renewed in time")
		} else if t.pending == nil && now >= t.guard.RenewAt() {
			t.startRequest(now, Command{Op: Renew, Token: t.guard.Token()})
		}
	}
	if t.phase == Stopping && !t.guard.Busy(now) {
		c := Command{Op: Release, Token: t.guard.Token()}
		if t.transferTo.Life != 0 {
			c.Op, c.To = Transfer, t.transferTo
		}
		t.releaseDeadline = now + 2*t.ttl
		t.startRequest(now, c)
		t.changePhase(Releasing, t.reason)
	}
	if t.phase == Releasing && now >= t.releaseDeadline {
		t.pending = nil
		t.changePhase(Over, t.reason)
		return nil
	}
	if t.pending == nil || now-t.lastSent < t.retryInterval() {
		return nil
	}
	if op := t.pending.Op; (op == Acquire || op == Renew) && now-t.firstSent >= t.ttl/4 {
		// What it is answered counts from its first sending: it would be over, or nearly, when it comes.
		since, tries := t.pendingSince, t.attempts
		t.startRequest(now, *t.pending)
		t.pendingSince, t.attempts = since, tries
	}
	if !t.unreachable && now-t.pendingSince >= noAnswerTimeout {
		t.unreachable = true
		t.events = append(t.events, Event{Kind: Unreachable, Phase: t.phase, Token: t.guard.Token(), Until: t.guard.validUntil})
	}
	t.lastSent = now
	t.attempts++
	return t.pending
}

// Hurry has the open request sent again soon, to another voter: the last one said that it can't help.
func (t *Client) RetrySoon(now time.Duration, seq uint64) {
	if t.pending != nil && t.pending.Seq == seq {
		t.lastSent = now - t.retryInterval() + min(fastRetryInterval<<min(t.attempts, 4), t.retryInterval())
	}
}

// Told takes an answer of the machine, in any order.
func (t *Client) HandleAnswer(now time.Duration, a Answer) {
	if t.phase == Over || a.Lease != t.lease {
		return
	}
	if t.unreachable {
		t.unreachable = false
		t.events = append(t.events, Event{Kind: Reachable, Phase: t.phase})
	}
	answers := t.pending != nil && a.Seq == t.pending.Seq
	var asked Op
	if answers {
		asked, t.pending = t.pending.Op, nil
	}
	switch a.Outcome {
	case Granted:
		t.handleGrant(now, a, asked)
	case Waiting:
		if answers && (t.phase == Asking || t.phase == Queued) {
			if t.refreshAt = now + min(t.timing.WaiterTimeout/3, t.ttl/4); t.phase != Queued || t.place != a.Place {
				t.place = a.Place
				t.changePhase(Queued, "")
			}
		}
	case Freed:
		if answers {
			t.changePhase(Over, t.reason)
		}
	case Refused, LimitReached:
		if !answers {
			return
		}
		switch {
		case t.phase == Releasing && asked == Transfer: // nobody of that name waits: it goes to the first in line
			t.startRequest(now, Command{Op: Release, Token: t.guard.Token()})
		case t.phase == Releasing:
			t.changePhase(Over, t.reason)
		case a.Outcome == LimitReached:
			t.changePhase(Over, "the line, or the table of leases, is full")
		case t.phase == Holding: // the renewal: the machine gave it to another, or an operator took it
			t.guard.Stop(now)
			t.changePhase(Stopping, "the lease was taken away")
		case t.phase != Stopping:
			t.changePhase(Over, "refused")
		}
	}
}

func (t *Client) handleGrant(now time.Duration, a Answer, asked Op) {
	switch t.phase {
	case Asking, Queued:
		t.guard.HandleAnswer(a)
		if t.guard.Token() != a.Token {
			return // its asking is not known any more
		}
		if asked != Acquire { // it came by the line; what is open asks for nothing new
			t.pending = nil
		}
		t.place = 0
		t.changePhase(Holding, "")
	case Holding:
		before := t.guard.validUntil
		if t.guard.HandleAnswer(a); t.guard.validUntil > before {
			t.events = append(t.events, Event{Kind: Extended, Phase: t.phase, Token: t.guard.Token(), Until: t.guard.validUntil})
		}
	case Releasing:
		if t.guard.Token() == 0 { // it was granted while the wish was being given up
			t.guard.HandleAnswer(a)
			t.guard.Stop(now)
			t.startRequest(now, Command{Op: Release, Token: a.Token})
		}
	}
}

// String is the tenant on one line.
func (t *Client) String() string {
	return fmt.Sprintf("%s of %s/%d: %s, token %d", t.lease, t.holder.Name, t.holder.Incarnation, t.phase, t.guard.Token())
}
