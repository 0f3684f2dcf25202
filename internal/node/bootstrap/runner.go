// Package bootstrap connects package fleet/bootstrap to the members' sockets and the leases: it
// provides a server list to a node that starts without one.
//
// The goroutine in Run owns the Bootstrapper. DiscoveryAnswered and ListUnusable notify it of lists
// without blocking. It acts on the node through Hooks, which must not block it either.
//
// The package does not look into a list, and does not query discovery itself.
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

// Fleet is the part of the membership that this package uses.
type Fleet interface {
	View() *membership.View
	Address() netip.AddrPort
	Send(to string, addr netip.AddrPort, topic uint32, body []byte) bool
	OnMessage(topic uint32, handle func(body []byte))
	LearnAddress(name string, addr netip.AddrPort)
}

// Hooks are the functions of the node's loop that this package uses.
type Hooks struct {
	AllowDiscovery func()                                  // allows this node to query discovery
	DeliverList    func(list []byte, info bootstrap.List)  // passes on a list that this node received
	CurrentList    func(ctx context.Context) (list []byte) // the present list in discovery's encoding; nil: none
}

// Settings identify this node.
type Settings struct {
	Name, Site string
	Seeds      []netip.AddrPort
	HasList    bool // it starts with a list of its own
}

const (
	tickInterval     = 50 * time.Millisecond
	idleTickInterval = time.Second          // used once there is a list
	inboxSize        = 8192                 // messages waiting for Run: one from each node of a planned fleet
	sendInterval     = 5 * time.Millisecond // between two lists that are sent
	maxQueuedSends   = 64
	leaseTTL         = 5 * time.Second
	listTimeout      = time.Second
)

// Runner runs one node's part in passing on server lists.
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
	unusable   bool
}

// New creates a Runner. It must be called before the members run.
func New(settings Settings, fleet Fleet, nodeLeases *leases.Leases, hooks Hooks, log *slog.Logger) *Runner {
	runner := &Runner{settings: settings, fleet: fleet, leases: nodeLeases, hooks: hooks, log: log, inbox: make(chan *wire.ListMessage, inboxSize), notices: make(chan listNotice, 4)}
	fleet.OnMessage(wire.TopicList, func(body []byte) {
		message, err := wire.ParseList(body)
		if err != nil {
			return
		}
		if message.Addr.IsValid() && message.Addr.Port() != 0 {
			fleet.LearnAddress(message.From, message.Addr)
		}
		select {
		case runner.inbox <- message:
		default: // dropped: the peer repeats its message
		}
	})
	return runner
}

// DiscoveryAnswered notifies the runner that discovery has returned a list.
func (r *Runner) DiscoveryAnswered(generation uint64, discovery string) {
	r.notify(listNotice{generation, discovery, false})
}

// ListUnusable notifies the runner that a list which this node received from a peer could not be
// used.
func (r *Runner) ListUnusable() { r.notify(listNotice{unusable: true}) }

func (r *Runner) notify(notice listNotice) {
	select {
	case r.notices <- notice:
	default: // the newest notice replaces the oldest
		select {
		case <-r.notices:
		default:
		}
		select {
		case r.notices <- notice:
		default:
		}
	}
}

// Run takes part until the context ends.
func (r *Runner) Run(ctx context.Context) {
	bootstrapper := bootstrap.New(bootstrap.Settings{Name: r.settings.Name}, r.settings.HasList, rand.Uint64(), clock.Boot())
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	sendTick := time.NewTicker(sendInterval)
	defer sendTick.Stop()
	sendTick.Stop()
	var siteLease *leases.LocalLease // the site's lease that this node requests, or nil
	var sendQueue []string           // names of the nodes that are to be sent the list
	defer func() {
		if siteLease != nil {
			siteLease.Release()
		}
	}()
	phase := bootstrapper.Phase()
	var view *membership.View
	bootstrapper.SetPeers(r.peers(nil))
	for {
		var events <-chan lease.Event
		if siteLease != nil {
			events = siteLease.Events
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if current := r.fleet.View(); current != view {
				view = current
				bootstrapper.SetPeers(r.peers(current))
			}
			bootstrapper.Tick(clock.Boot())
		case message := <-r.inbox:
			bootstrapper.Receive(clock.Boot(), &message.Message)
		case notice := <-r.notices:
			if notice.unusable {
				bootstrapper.ListUnusable(clock.Boot())
			} else {
				bootstrapper.DiscoveryAnswered(clock.Boot(), notice.generation, notice.discovery)
			}
		case event := <-events:
			if event.Kind == lease.PhaseChanged && event.Phase == lease.Holding {
				r.log.Info("this node queries discovery for its site", "site", r.settings.Site, "token", event.Token)
				bootstrapper.LeaseAcquired(clock.Boot())
			}
		case <-sendTick.C:
			if len(sendQueue) == 0 {
				sendTick.Stop()
				continue
			}
			r.sendList(ctx, bootstrapper, sendQueue[0])
			sendQueue = sendQueue[1:]
		}
		messages, allowDiscovery, list := bootstrapper.TakeOutput()
		for _, message := range messages {
			if message.Kind == bootstrap.ListReply {
				if len(sendQueue) < maxQueuedSends {
					if sendQueue = append(sendQueue, message.To); len(sendQueue) == 1 {
						sendTick.Reset(sendInterval)
					}
				}
				continue
			}
			r.send(message.To, &bootstrap.Message{Kind: message.Kind})
		}
		if list != nil {
			r.hooks.DeliverList(list.Body, list.List)
		}
		if allowDiscovery {
			r.hooks.AllowDiscovery()
		}
		if current := bootstrapper.Phase(); current != phase {
			r.log.Debug("the bootstrap phase has changed", "was", phase.String(), "is", current.String())
			if phase = current; current == bootstrap.HasList {
				tick.Reset(idleTickInterval)
			}
		}
		switch {
		case bootstrapper.WantsLease() && siteLease == nil:
			siteLease = r.leases.Acquire("list/"+r.settings.Site, leaseTTL)
		case !bootstrapper.WantsLease() && phase == bootstrap.HasList && siteLease != nil:
			siteLease.Release()
			siteLease = nil
		}
	}
}

// peers returns the nodes to query. Before there is a view, near are the addresses of the seeds;
// with one, near are the other members of this site, and far those of other sites.
func (r *Runner) peers(view *membership.View) (near, far []string) {
	for _, seed := range r.settings.Seeds {
		if seed != r.fleet.Address() {
			near = append(near, seed.String())
		}
	}
	if view == nil {
		return near, nil
	}
	near = near[:0]
	for i := range view.Members {
		switch member := &view.Members[i]; {
		case member.Name == r.settings.Name:
		case member.Site == r.settings.Site:
			near = append(near, member.Name)
		default:
			far = append(far, member.Name)
		}
	}
	return near, far
}

// send sends a message to a member, or to an address of a node whose name is not known yet.
func (r *Runner) send(to string, message *bootstrap.Message) {
	message.From = r.settings.Name
	addr, _ := netip.ParseAddrPort(to) // the zero address if it is a name
	r.fleet.Send(to, addr, wire.TopicList, wire.AppendList(nil, &wire.ListMessage{Message: *message, Addr: r.fleet.Address()}))
}

// sendList sends the present list.
func (r *Runner) sendList(ctx context.Context, bootstrapper *bootstrap.Bootstrapper, to string) {
	info, ok := bootstrapper.List(clock.Boot())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if list := r.hooks.CurrentList(ctx); list != nil {
		r.send(to, &bootstrap.Message{Kind: bootstrap.ListReply, List: info, Body: list})
	}
}
