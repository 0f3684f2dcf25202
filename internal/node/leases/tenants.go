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
type holding struct {
	tenant *lease.Client
	tell   func(lease.Event) bool // must not wait; false: the user is gone
}

const mostTenants = 4096

// hold begins to ask for a lease. Run's goroutine alone may call it.
func (l *Leases) hold(name string, ttl time.Duration, tell func(lease.Event) bool) (*lease.Client, error) {
	if len(l.tenants) >= mostTenants {
		return nil, fmt.Errorf("%d leases are asked for at this node, which is the most", mostTenants)
	}
	h := lease.Holder{Name: l.set.Name, Incarnation: uint64(l.incarnation()), Life: rand.Uint64() | 1}
	t, err := lease.NewClient(lease.Timing{}, name, h, ttl, clock.Boot())
	if err != nil {
		return nil, err
	}
	l.tenants[h.Life] = &holding{t, tell}
	return t, nil
}

// incarnation is the node's, as the members know it; 0 before there is a view.
func (l *Leases) incarnation() uint64 {
	if l.view == nil {
		return 0
	}
	if i, ok := l.view.IndexOfName(l.set.Name); ok {
		return l.view.Members[i].Incarnation
	}
	return 0
}

// turn has each tenant do what is due.
func (l *Leases) turn() {
	now := clock.Boot()
	for life, h := range l.tenants {
		l.turnOf(now, life, h)
	}
}

// turnOf has one of them do so.
func (l *Leases) turnOf(now time.Duration, life uint64, h *holding) {
	tries := h.tenant.Attempts()
	if c := h.tenant.Tick(now); c != nil && l.council.SendLeaseCommand(now, *c, 0, tries) != nil {
		h.tenant.RetrySoon(now, c.Seq) // nobody to ask yet
	}
	for _, e := range h.tenant.Events() {
		if e.Kind == lease.PhaseChanged && e.Phase == lease.Holding || e.Kind == lease.Extended {
			h.tenant.BeginAct(now, e.Until-now) // the user acts as long as it may, unless it says otherwise
		}
		if !h.tell(e) {
			h.tenant.Abandon()
		}
	}
	if h.tenant.Phase() == lease.Over {
		delete(l.tenants, life)
	}
}

// disband tells all users that this node ends; what they hold runs out.
func (l *Leases) disband() {
	for _, h := range l.tenants {
		h.tenant.Abandon()
		for _, e := range h.tenant.Events() {
			e.Why = "the node has ended; the lease runs out"
			h.tell(e)
		}
	}
}

// told hands out what came for this node's own.
func (l *Leases) told(m *leaselog.LocalReply) {
	if h := l.tenants[m.Life]; h != nil {
		switch m.Kind {
		case leaselog.CommandAnswer:
			h.tenant.HandleAnswer(clock.Boot(), m.Answer)
		case leaselog.CannotServe:
			h.tenant.RetrySoon(clock.Boot(), m.Seq)
		}
		l.turnOf(clock.Boot(), m.Life, h)
		return
	}
	if a := l.asks[m.Ref]; a != nil && m.Ref != 0 {
		a.told(m)
	}
}

// asking is a question of an operator's, which is no tenant's.
type asking struct {
	ref    uint64
	begun  time.Duration
	sent   time.Duration
	try    int
	send   func(try int) error
	answer func(m *leaselog.LocalReply) (done bool)
	fail   func(error)
}

const (
	askAgain = 300 * time.Millisecond
	askFor   = 5 * time.Second
)

// ask puts a question, and again until it is answered.
func (l *Leases) ask(a *asking) {
	l.refs++
	a.ref, a.begun, a.sent = l.refs, clock.Boot(), clock.Boot()
	if err := a.send(0); err != nil {
		a.fail(err)
		return
	}
	l.asks[a.ref] = a
}

func (a *asking) told(m *leaselog.LocalReply) {
	if m.Kind == leaselog.CannotServe {
		a.sent = min(a.sent, clock.Boot()-askAgain+50*time.Millisecond)
		return
	}
	if a.answer != nil && a.answer(m) {
		a.answer = nil
	}
}

// timeouts asks again where no answer has come, and ends what has taken too long.
func (l *Leases) timeouts() {
	now := clock.Boot()
	for ref, a := range l.asks {
		switch {
		case a.answer == nil:
			delete(l.asks, ref)
		case now-a.begun > askFor:
			delete(l.asks, ref)
			a.fail(errors.New("no majority of the voters answers: no leader was found within " + askFor.String()))
		case now-a.sent >= askAgain:
			a.sent = now
			a.try++
			if err := a.send(a.try); err != nil {
				delete(l.asks, ref)
				a.fail(err)
			}
		}
	}
}

// Local is a lease that this node itself asks for, or holds.
type LocalLease struct {
	Events chan lease.Event // what does not fit is lost: the newest phase is asked for by Holds
	leases *Leases
	name   string
	ttl    time.Duration
	gone   chan struct{}
}

// Hold asks for a lease on behalf of this node. It does not wait. The caller must Give it back.
func (l *Leases) Acquire(name string, ttl time.Duration) *LocalLease {
	x := &LocalLease{Events: make(chan lease.Event, mostEvents), leases: l, name: name, ttl: ttl, gone: make(chan struct{})}
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
	if x.leases.call(ctx, func() { t, _ = x.leases.hold(x.name, x.ttl, tell) }) != nil || t == nil {
		return
	}
	select {
	case <-x.gone:
	case <-x.leases.ended:
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
	case <-x.gone:
	default:
		close(x.gone)
	}
}
