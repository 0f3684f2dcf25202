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

// holding is a tenant with its user.
type session struct {
	client *lease.Client
	notify func(lease.Event) bool // must not wait; false: the user is gone
}

const maxSessions = 4096

// hold begins to ask for a lease. Run's goroutine alone may call it.
func (l *Leases) startSession(name string, ttl time.Duration, tell func(lease.Event) bool) (*lease.Client, error) {
	if len(l.sessions) >= maxSessions {
		return nil, fmt.Errorf("%d leases are asked for at this node, which is the most", maxSessions)
	}
	h := lease.Holder{Name: l.settings.Name, Incarnation: uint64(l.incarnation()), Life: rand.Uint64() | 1}
	t, err := lease.NewClient(lease.Timing{}, name, h, ttl, clock.Boot())
	if err != nil {
		return nil, err
	}
	l.sessions[h.Life] = &session{t, tell}
	return t, nil
}

// incarnation is the node's, as the members know it; 0 before there is a view.
func (l *Leases) incarnation() uint64 {
	if l.view == nil {
		return 0
	}
	if i, ok := l.view.IndexOfName(l.settings.Name); ok {
		return l.view.Members[i].Incarnation
	}
	return 0
}

// turn has each tenant do what is due.
func (l *Leases) tickSessions() {
	now := clock.Boot()
	for life, h := range l.sessions {
		l.tickSession(now, life, h)
	}
}

// turnOf has one of them do so.
func (l *Leases) tickSession(now time.Duration, life uint64, h *session) {
	tries := h.client.Attempts()
	if c := h.client.Tick(now); c != nil && l.node.SendLeaseCommand(now, *c, 0, tries) != nil {
		h.client.RetrySoon(now, c.Seq) // nobody to ask yet
	}
	for _, e := range h.client.Events() {
		if e.Kind == lease.PhaseChanged && e.Phase == lease.Holding || e.Kind == lease.Extended {
			h.client.BeginAct(now, e.Until-now) // the user acts as long as it may, unless it says otherwise
		}
		if !h.notify(e) {
			h.client.Abandon()
		}
	}
	if h.client.Phase() == lease.Over {
		delete(l.sessions, life)
	}
}

// disband tells all users that this node ends; what they hold runs out.
func (l *Leases) abandonSessions() {
	for _, h := range l.sessions {
		h.client.Abandon()
		for _, e := range h.client.Events() {
			e.Why = "the node has ended; the lease runs out"
			h.notify(e)
		}
	}
}

// told hands out what came for this node's own.
func (l *Leases) handleReply(m *leaselog.LocalReply) {
	if h := l.sessions[m.Life]; h != nil {
		switch m.Kind {
		case leaselog.CommandAnswer:
			h.client.HandleAnswer(clock.Boot(), m.Answer)
		case leaselog.CannotServe:
			h.client.RetrySoon(clock.Boot(), m.Seq)
		}
		l.tickSession(clock.Boot(), m.Life, h)
		return
	}
	if a := l.queries[m.Ref]; a != nil && m.Ref != 0 {
		a.handleReply(m)
	}
}

// asking is a question of an operator's, which is no tenant's.
type query struct {
	ref       uint64
	startedAt time.Duration
	sentAt    time.Duration
	attempt   int
	send      func(try int) error
	onReply   func(m *leaselog.LocalReply) (done bool)
	onError   func(error)
}

const (
	queryRetryInterval = 300 * time.Millisecond
	queryTimeout       = 5 * time.Second
)

// ask puts a question, and again until it is answered.
func (l *Leases) startQuery(a *query) {
	l.lastRef++
	a.ref, a.startedAt, a.sentAt = l.lastRef, clock.Boot(), clock.Boot()
	if err := a.send(0); err != nil {
		a.onError(err)
		return
	}
	l.queries[a.ref] = a
}

func (a *query) handleReply(m *leaselog.LocalReply) {
	if m.Kind == leaselog.CannotServe {
		a.sentAt = min(a.sentAt, clock.Boot()-queryRetryInterval+50*time.Millisecond)
		return
	}
	if a.onReply != nil && a.onReply(m) {
		a.onReply = nil
	}
}

// timeouts asks again where no answer has come, and ends what has taken too long.
func (l *Leases) retryQueries() {
	now := clock.Boot()
	for ref, a := range l.queries {
		switch {
		case a.onReply == nil:
			delete(l.queries, ref)
		case now-a.startedAt > queryTimeout:
			delete(l.queries, ref)
			a.onError(errors.New("no majority of the voters answers: no leader was found within " + queryTimeout.String()))
		case now-a.sentAt >= queryRetryInterval:
			a.sentAt = now
			a.attempt++
			if err := a.send(a.attempt); err != nil {
				delete(l.queries, ref)
				a.onError(err)
			}
		}
	}
}

// Local is a lease that this node itself asks for, or holds.
type LocalLease struct {
	Events   chan lease.Event // what does not fit is lost: the newest phase is asked for by Holds
	leases   *Leases
	name     string
	ttl      time.Duration
	released chan struct{}
}

// Hold asks for a lease on behalf of this node. It does not wait. The caller must Give it back.
func (l *Leases) Acquire(name string, ttl time.Duration) *LocalLease {
	x := &LocalLease{Events: make(chan lease.Event, eventBuffer), leases: l, name: name, ttl: ttl, released: make(chan struct{})}
	go x.run()
	return x
}

// run ends with Give, or with the leases.
func (x *LocalLease) run() {
	ctx := context.Background() // a call ends with the leases
	var t *lease.Client
	tell := func(e lease.Event) bool {
		select {
		case x.Events <- e:
		default:
		}
		return true
	}
	if x.leases.call(ctx, func() { t, _ = x.leases.startSession(x.name, x.ttl, tell) }) != nil || t == nil {
		return
	}
	select {
	case <-x.released:
	case <-x.leases.done:
		return
	}
	x.leases.call(ctx, func() {
		t.ActsEnded(clock.Boot())
		t.Stop(clock.Boot(), lease.Holder{})
	})
}

// Give gives the lease back, or the wish for it. What was done under it must be over.
func (x *LocalLease) Release() {
	select {
	case <-x.released:
	default:
		close(x.released)
	}
}
