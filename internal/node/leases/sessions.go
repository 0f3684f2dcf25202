package leases

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/leaselog"
	"curlewring/internal/node/clock"
)

// session is a lease client on this node with its user.
type session struct {
	client *lease.Client
	notify func(lease.Event) bool // must not block; false: the user is gone
}

const maxSessions = 4096

// startSession starts a client that requests a lease. Only Run's goroutine may call it.
func (l *Leases) startSession(name string, ttl time.Duration, notify func(lease.Event) bool) (*lease.Client, error) {
	if len(l.sessions) >= maxSessions {
		return nil, fmt.Errorf("leases: this node already has the maximum of %d lease clients", maxSessions)
	}
	holder := lease.Holder{Name: l.settings.Name, Incarnation: uint64(l.incarnation()), Life: rand.Uint64() | 1}
	client, err := lease.NewClient(lease.Timing{}, name, holder, ttl, clock.Boot())
	if err != nil {
		return nil, err
	}
	l.sessions[holder.Life] = &session{client, notify}
	return client, nil
}

// incarnation returns the node's incarnation in the current view, or 0 without one.
func (l *Leases) incarnation() uint64 {
	if l.view == nil {
		return 0
	}
	if i, ok := l.view.IndexOfName(l.settings.Name); ok {
		return l.view.Members[i].Incarnation
	}
	return 0
}

// tickSessions ticks each session's client.
func (l *Leases) tickSessions() {
	now := clock.Boot()
	for life, s := range l.sessions {
		l.tickSession(now, life, s)
	}
}

// tickSession sends the command that a client wants sent, passes its events to its user, and
// removes the session once it is over.
func (l *Leases) tickSession(now time.Duration, life uint64, s *session) {
	attempt := s.client.Attempts()
	if command := s.client.Tick(now); command != nil && l.node.SendLeaseCommand(now, *command, 0, attempt) != nil {
		s.client.RetrySoon(now, command.Seq) // no voter is known yet
	}
	for _, event := range s.client.Events() {
		if event.Kind == lease.PhaseChanged && event.Phase == lease.Holding || event.Kind == lease.Extended {
			s.client.BeginAct(now, event.Until-now) // held until the lease ends, unless the user stops earlier
		}
		if !s.notify(event) {
			s.client.Abandon()
		}
	}
	if s.client.Phase() == lease.Over {
		delete(l.sessions, life)
	}
}

// abandonSessions notifies all users that this node ends; the leases that they hold expire.
func (l *Leases) abandonSessions() {
	l.leaving = true
	for _, s := range l.sessions {
		s.client.Abandon()
		for _, event := range s.client.Events() {
			event.Why = "the node has ended; the lease expires"
			s.notify(event)
		}
	}
}

// handleReply passes a reply to the session or query that it answers.
func (l *Leases) handleReply(reply *leaselog.LocalReply) {
	if s := l.sessions[reply.Life]; s != nil {
		switch reply.Kind {
		case leaselog.CommandAnswer:
			s.client.HandleAnswer(clock.Boot(), reply.Answer)
		case leaselog.CannotServe:
			s.client.RetrySoon(clock.Boot(), reply.Seq)
		}
		l.tickSession(clock.Boot(), reply.Life, s)
		return
	}
	if q := l.queries[reply.Ref]; q != nil && reply.Ref != 0 {
		q.handleReply(reply)
	}
}

// query is a request to the voters that belongs to no session, such as an operator's.
type query struct {
	ref       uint64
	startedAt time.Duration
	sentAt    time.Duration
	attempt   int
	send      func(attempt int) error
	onReply   func(reply *leaselog.LocalReply) (done bool)
	onError   func(error)
}

const (
	queryRetryInterval = 300 * time.Millisecond
	queryTimeout       = 5 * time.Second
)

// startQuery sends a query, and registers it to be sent again until it is answered.
func (l *Leases) startQuery(q *query) {
	l.lastRef++
	q.ref, q.startedAt, q.sentAt = l.lastRef, clock.Boot(), clock.Boot()
	if err := q.send(0); err != nil {
		q.onError(err)
		return
	}
	l.queries[q.ref] = q
}

func (q *query) handleReply(reply *leaselog.LocalReply) {
	if reply.Kind == leaselog.CannotServe {
		q.sentAt = min(q.sentAt, clock.Boot()-queryRetryInterval+50*time.Millisecond)
		return
	}
	if q.onReply != nil && q.onReply(reply) {
		q.onReply = nil
	}
}

// retryQueries sends unanswered queries again, and fails those that have timed out.
func (l *Leases) retryQueries() {
	now := clock.Boot()
	for ref, q := range l.queries {
		switch {
		case q.onReply == nil:
			delete(l.queries, ref)
		case now-q.startedAt > queryTimeout:
			delete(l.queries, ref)
			q.onError(errors.New("leases: no majority of the voters answers: no leader was found within " + queryTimeout.String()))
		case now-q.sentAt >= queryRetryInterval:
			q.sentAt = now
			q.attempt++
			if err := q.send(q.attempt); err != nil {
				delete(l.queries, ref)
				q.onError(err)
			}
		}
	}
}

// LocalLease is a lease that this node itself requests or holds. The request is made again, after a
// wait around localRetryInterval, whenever it is refused or the lease is lost.
type LocalLease struct {
	Events   chan lease.Event // an event that does not fit is dropped
	leases   *Leases
	name     string
	ttl      time.Duration
	released chan struct{}

	// Owned by the goroutine of Leases.Run.
	client      *lease.Client // of the present request; nil: it could not be made
	ended       chan struct{} // closed when the present request has ended
	stopping    bool          // the lease is being released
	unavailable bool          // a request has ended, which was logged, and none was answered since
}

// localRetryInterval is the mean wait before a LocalLease is requested again.
const localRetryInterval = 5 * time.Second

// retryWait draws a wait from three to five quarters of localRetryInterval.
func retryWait() time.Duration {
	return time.Duration((0.75 + rand.Float64()/2) * float64(localRetryInterval))
}

// Acquire requests a lease on behalf of this node. It does not block. The caller must Release it.
func (l *Leases) Acquire(name string, ttl time.Duration) *LocalLease {
	held := &LocalLease{Events: make(chan lease.Event, eventBuffer), leases: l, name: name, ttl: ttl, released: make(chan struct{})}
	go held.run()
	return held
}

// run ends after Release, or with the leases.
func (l *LocalLease) run() {
	ctx := context.Background() // a call ends with the leases
	for {
		if l.leases.call(ctx, l.request) != nil {
			return
		}
		select {
		case <-l.ended:
		case <-l.released:
			l.leases.call(ctx, l.stop)
			return
		case <-l.leases.done:
			return
		}
		select {
		case <-time.After(retryWait()):
		case <-l.released:
			return
		case <-l.leases.done:
			return
		}
	}
}

// request starts a client that requests the lease, unless the node is leaving.
func (l *LocalLease) request() {
	l.client, l.ended = nil, make(chan struct{})
	if l.leases.leaving {
		close(l.ended)
		return
	}
	client, err := l.leases.startSession(l.name, l.ttl, l.handleEvent)
	if err != nil {
		l.requestEnded(err.Error())
		return
	}
	l.client = client
}

// handleEvent passes on an event of the client.
func (l *LocalLease) handleEvent(event lease.Event) bool {
	select {
	case l.Events <- event:
	default:
	}
	if event.Kind != lease.PhaseChanged {
		return true
	}
	switch event.Phase {
	case lease.Queued, lease.Holding:
		if l.unavailable {
			l.leases.log.Info("this node holds its own lease or waits for it", "lease", l.name)
		}
		l.unavailable = false
	case lease.Over:
		l.requestEnded(event.Why)
	}
	return true
}

// requestEnded notes that the present request has ended. It logs why, once until a request is answered.
func (l *LocalLease) requestEnded(why string) {
	close(l.ended)
	if l.stopping || l.leases.leaving || l.unavailable {
		return
	}
	l.unavailable = true
	l.leases.log.Warn("this node does not get a lease of its own, or has lost it, and requests it again",
		"lease", l.name, "why", why, "every", localRetryInterval)
}

// stop releases the lease, or withdraws the request for it.
func (l *LocalLease) stop() {
	l.stopping = true
	if l.client == nil {
		return
	}
	l.client.EndActs(clock.Boot())
	l.client.Stop(clock.Boot(), lease.Holder{})
}

// Release releases the lease, or withdraws the request for it. What was done under the lease must
// be complete.
func (l *LocalLease) Release() {
	select {
	case <-l.released:
	default:
		close(l.released)
	}
}
