// Package bootstrap puts package fleet/record on the members' sockets and the leases: how a
// starting node without a list of servers comes by one.
//
// The goroutine in Run owns the Record. What it learns of lists comes by Told and Lost, which
// do not wait; what it wants done goes out by the functions in Loop, which must not either.
//
// It must not look into a list, and does not ask discovery itself.
package bootstrap

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/leases"
)

// Fleet is what this package needs of the membership.
type Fleet interface {
	View() *membership.View
	Address() netip.AddrPort
	Send(to string, at netip.AddrPort, topic uint32, body []byte) bool
	OnMessage(topic uint32, take func(body []byte))
	LearnAddress(name string, at netip.AddrPort)
}

// Loop is what it needs of the node's loop.
type Hooks struct {
	AllowDiscovery func()                                  // discovery may be asked
	DeliverList    func(list []byte, about bootstrap.List) // a list that was handed to this node
	CurrentList    func(ctx context.Context) (list []byte) // the present one as discovery writes it; nil: none
}

// Settings say who this node is.
type Settings struct {
	Name, Site string
	Seeds      []netip.AddrPort
	HasList    bool // it starts with a list of its own
}

const (
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = time.Second          // between two looks once there is a list
	inboxSize        = 8192                 // messages that wait for the goroutine: of as many nodes at once
	sendInterval     = 5 * time.Millisecond // between two lists that are sent
	maxQueuedSends   = 64
	leaseTTL         = 5 * time.Second
	listTimeout      = time.Second
)

// Record is one node's part.
type Runner struct {
	settings Settings
	fleet    Fleet
	leases   *leases.Leases
	hooks    Hooks
	log      *slog.Logger
	inbox    chan *wire.ListMessage
	notices  chan listNotice
}

type listNotice struct {
	generation uint64
	discovery  string
	rejected   bool
}

// New makes one. It must be called before the members run.
func New(set Settings, fleet Fleet, l *leases.Leases, loop Hooks, log *slog.Logger) *Runner {
	r := &Runner{settings: set, fleet: fleet, leases: l, hooks: loop, log: log, inbox: make(chan *wire.ListMessage, inboxSize), notices: make(chan listNotice, 4)}
	fleet.OnMessage(wire.TopicList, func(body []byte) {
		m, err := wire.ParseList(body)
		if err != nil {
			return
		}
		if m.Addr.IsValid() && m.Addr.Port() != 0 {
			fleet.LearnAddress(m.From, m.Addr)
		}
		select {
		case r.inbox <- m:
		default: // it is asked for again
		}
	})
	return r
}

// Told tells that discovery has told this node a list.
func (r *Runner) ListReceived(generation uint64, discovery string) {
	r.notify(listNotice{generation, discovery, false})
}

// Lost tells that a list that was handed to this node could not be used.
func (r *Runner) ListRejected() { r.notify(listNotice{rejected: true}) }

func (r *Runner) notify(t listNotice) {
	select {
	case r.notices <- t:
	default: // the newest word is as good
		select {
		case <-r.notices:
		default:
		}
		select {
		case r.notices <- t:
		default:
		}
	}
}

// Run takes part until the context ends.
func (r *Runner) Run(ctx context.Context) {
	c := bootstrap.New(bootstrap.Settings{Name: r.settings.Name}, r.settings.HasList, rand.Uint64(), clock.Boot())
	look := time.NewTicker(tickInterval)
	defer look.Stop()
	hand := time.NewTicker(sendInterval)
	defer hand.Stop()
	hand.Stop()
	var site *leases.LocalLease // the lease that this node asks for
	var queue []string          // who is to be sent the list
	defer func() {
		if site != nil {
			site.Release()
		}
	}()
	phase := c.Phase()
	var view *membership.View
	c.SetPeers(r.peers(nil))
	for {
		var events <-chan lease.Event
		if site != nil {
			events = site.Events
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			if v := r.fleet.View(); v != view {
				view = v
				c.SetPeers(r.peers(v))
			}
			c.Tick(clock.Boot())
		case m := <-r.inbox:
			c.Receive(clock.Boot(), &m.Message)
		case t := <-r.notices:
			if t.rejected {
				c.ListUnusable(clock.Boot())
			} else {
				c.DiscoveryAnswered(clock.Boot(), t.generation, t.discovery)
			}
		case e := <-events:
			if e.Kind == lease.PhaseChanged && e.Phase == lease.Holding {
				r.log.Info("this node asks for the list of servers on behalf of its site", "site", r.settings.Site, "token", e.Token)
				c.LeaseAcquired(clock.Boot())
			}
		case <-hand.C:
			if len(queue) == 0 {
				hand.Stop()
				continue
			}
			r.sendList(ctx, c, queue[0])
			queue = queue[1:]
		}
		outs, asks, list := c.Take()
		for _, o := range outs {
			if o.Kind == bootstrap.ListReply {
				if len(queue) < maxQueuedSends {
					if queue = append(queue, o.To); len(queue) == 1 {
						hand.Reset(sendInterval)
					}
				}
				continue
			}
			r.send(o.To, &bootstrap.Message{Kind: o.Kind})
		}
		if list != nil {
			r.hooks.DeliverList(list.Body, list.List)
		}
		if asks {
			r.hooks.AllowDiscovery()
		}
		if p := c.Phase(); p != phase {
			r.log.Debug("the list of servers", "was", phase.String(), "is", p.String())
			if phase = p; p == bootstrap.HasList {
				look.Reset(idleTickInterval)
			}
		}
		switch {
		case c.WantsLease() && site == nil:
			site = r.leases.Acquire("list/"+r.settings.Site, leaseTTL)
		case !c.WantsLease() && phase == bootstrap.HasList && site != nil:
			site.Release()
			site = nil
		}
	}
}

// near is whom to ask: at the start the seeds, then those of the own site; and far those of others.
func (r *Runner) peers(v *membership.View) (names, far []string) {
	for _, s := range r.settings.Seeds {
		if s != r.fleet.Address() {
			names = append(names, s.String())
		}
	}
	if v == nil {
		return names, nil
	}
	names = names[:0]
	for i := range v.Members {
		switch m := &v.Members[i]; {
		case m.Name == r.settings.Name:
		case m.Site == r.settings.Site:
			names = append(names, m.Name)
		default:
			far = append(far, m.Name)
		}
	}
	return names, far
}

// send sends to a name, or to an address of one that has none here yet.
func (r *Runner) send(to string, m *bootstrap.Message) {
	m.From = r.settings.Name
	at, _ := netip.ParseAddrPort(to) // a name is none
	r.fleet.Send(to, at, wire.TopicList, wire.AppendList(nil, &wire.ListMessage{Message: *m, Addr: r.fleet.Address()}))
}

// hand sends the present list.
func (r *Runner) sendList(ctx context.Context, c *bootstrap.Bootstrapper, to string) {
	about, ok := c.List(clock.Boot())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if list := r.hooks.CurrentList(ctx); list != nil {
		r.send(to, &bootstrap.Message{Kind: bootstrap.ListReply, List: about, Body: list})
	}
}
