package leases

import (
	"fmt"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/leaselog"
)

// tenant is one life that wants the lease, on a node.
type tenant struct {
	t     *lease.Client
	until time.Duration // when it gives the lease up
	held  uint64
	hand  bool
}

// act has the tenants of a node act, and the node begin anew with one where there is none.
func (p *peer) act() {
	now := p.clock()
	if len(p.tenants) < max(1, p.s.OwnLeases) && p.s.rng.IntN(10) == 0 {
		name, until := "l", now+time.Duration(5+p.s.rng.IntN(20))*time.Second
		if p.s.OwnLeases > 0 {
			name, until = fmt.Sprint(p.name, "/", len(p.tenants)), now+time.Hour
		}
		h := lease.Holder{Name: p.name, Incarnation: uint64(p.life), Life: p.s.rng.Uint64() | 1}
		t, err := lease.NewClient(p.s.terms, name, h, simTTL, now)
		if err != nil {
			p.s.Violations = append(p.s.Violations, err.Error())
			return
		}
		p.tenants[h.Life] = &tenant{t: t, until: until, hand: p.s.rng.IntN(3) == 0}
	}
	for life, x := range p.tenants { // one at the most where they contend
		p.turn(x, now)
		if x.t.Phase() == lease.Over {
			delete(p.tenants, life)
		}
	}
	p.carry()
}

func (p *peer) turn(x *tenant, now time.Duration) {
	act := time.Duration(20+p.s.rng.IntN(200)) * time.Millisecond
	token, ok := x.t.BeginAct(now, act)
	if p.s.ActAfterExpiry && x.held != 0 {
		token, ok = x.held, true
	}
	if ok {
		took := time.Duration(p.s.rng.Float64() * float64(act) / p.skew)
		p.s.Accesses = append(p.s.Accesses, Access{p.s.now, p.s.now + took, token, fmt.Sprint(p.name, "/", p.life, "/", x.t.Holder().Life%1000)})
	}
	if ph := x.t.Phase(); now > x.until && ph != lease.Stopping && ph != lease.Releasing {
		var to lease.Holder
		if x.hand {
			to = p.s.waiter()
		}
		x.t.Stop(now, to)
	}
	tries := x.t.Attempts()
	if c := x.t.Tick(now); c != nil && p.council.SendLeaseCommand(now, *c, 0, tries) != nil {
		x.t.RetrySoon(now, c.Seq)
	}
	for _, e := range x.t.Events() {
		if e.Kind == lease.PhaseChanged && e.Phase == lease.Holding {
			p.s.Grants++
			x.held = e.Token
			if p.s.OwnLeases == 0 {
				x.until = now + time.Duration(1+p.s.rng.IntN(6))*time.Second
			}
		}
	}
}

// waiter is anybody who stands in line.
func (s *Sim) waiter() lease.Holder {
	for _, p := range s.peers {
		for _, x := range p.tenants {
			if x.t.Phase() == lease.Queued {
				return x.t.Holder()
			}
		}
	}
	return lease.Holder{}
}

func (p *peer) told(m *leaselog.LocalReply) {
	x := p.tenants[m.Life]
	if x == nil {
		return
	}
	switch m.Kind {
	case leaselog.CommandAnswer:
		x.t.HandleAnswer(p.clock(), m.Answer)
	case leaselog.CannotServe:
		x.t.RetrySoon(p.clock(), m.Seq)
	}
}
