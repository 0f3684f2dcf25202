package members

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/wire"
	"curlewring/internal/node/accept"
	"curlewring/internal/node/clock"
)

// Settings configure a node's membership.
type Settings struct {
	Fleet     string // messages of other fleets are ignored
	Name      string
	Site      string
	Listen    netip.AddrPort // UDP and TCP
	Advertise netip.AddrPort // the address that others send to; Listen if unset
	Seeds     []netip.AddrPort
	// RouteVia maps a member's advertised address to the one that this node sends to instead.
	RouteVia map[netip.AddrPort]netip.AddrPort
	Folder   string // holds the saved state and the operators' socket; "": neither
	// DisableBudgetPooling limits this node to its own part of a cold server's budget, instead
	// of pooling budgets with the other nodes.
	DisableBudgetPooling bool
	CollapseWindow       time.Duration // length of the window for which budgets of cold servers are granted
}

const (
	gossipInterval    = 100 * time.Millisecond
	watchersPerMember = 10
	inboxSize         = 8192 // messages waiting for Run: one from each node of a planned fleet
	maxStreams        = 8    // at once, in each direction
	streamTimeout     = 3 * time.Second
)

// Members connects one node to the membership of its fleet.
type Members struct {
	settings        Settings
	fleetNumber     uint32
	log             *slog.Logger
	clock           clock.Clock
	udp             *net.UDPConn
	tcp             *net.TCPListener
	stateWriter     *stateWriter // nil: no state is saved
	controlListener net.Listener // nil: no operators' socket

	inbox       chan *membership.Message
	calls       chan func(*membership.Node, time.Duration)
	done        chan struct{}
	streamSlots chan struct{} // one slot for each outgoing stream
	view        atomic.Pointer[membership.View]
	allocator   *allowance.Allocator                  // owned by Run
	claims      chan *outgoingClaim                   // claims to be sent
	onGrant     func(from uint64, g *allowance.Grant) // nil: grants are ignored
	payloads    chan *outgoingPayload                 // payloads of other packages to be sent
	handlers    map[uint32]func(body []byte)          // of received payloads, by topic
	addresses   map[string]netip.AddrPort             // owned by Run: the last known address of each name
	lastTick    atomic.Int64                          // when Run last ticked
	pausedAt    atomic.Int64                          // when Run last detected a pause of the process
	counters    TrafficCounters
}

// TrafficCounters count the traffic on the sockets.
type TrafficCounters struct {
	Datagrams, Bytes, Streams                        atomic.Int64 // sent
	Received, Dropped                                atomic.Int64 // datagrams; messages that did not fit into a queue
	Malformed, BadChecksum, OtherFleet, OtherVersion atomic.Int64 // ignored, by reason
}

// Open binds the addresses and loads the saved state.
func Open(settings Settings, clk clock.Clock, log *slog.Logger) (_ *Members, err error) {
	m := &Members{
		settings: settings, fleetNumber: wire.FleetNumber(settings.Fleet), log: log, clock: clk,
		inbox: make(chan *membership.Message, inboxSize), calls: make(chan func(*membership.Node, time.Duration)),
		done: make(chan struct{}), streamSlots: make(chan struct{}, maxStreams),
		allocator: allowance.NewAllocator(allowance.Settings{Window: settings.CollapseWindow}), claims: make(chan *outgoingClaim, maxQueuedClaims),
		payloads: make(chan *outgoingPayload, maxQueuedPayloads), handlers: map[uint32]func([]byte){}, addresses: map[string]netip.AddrPort{},
	}
	m.lastTick.Store(int64(clk.StartedAt())) // so that a pause before the first tick is detected
	defer func() {
		if err != nil {
			m.close()
		}
	}()
	if m.udp, m.tcp, err = bind(settings.Listen, listenTCP); err != nil {
		return nil, err
	}
	addr := m.udp.LocalAddr().(*net.UDPAddr).AddrPort()
	if !m.settings.Advertise.IsValid() {
		m.settings.Advertise = addr
	}
	if settings.Folder == "" {
		return m, nil
	}
	if m.stateWriter, err = openState(filepath.Join(settings.Folder, "members"), clk, log); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if m.controlListener, err = accept.ListenUnix(SocketPath(settings.Folder), controlTimeout); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return m, nil
}

// SocketPath is the path of the operators' socket of a node whose state is in the given folder.
func SocketPath(folder string) string { return filepath.Join(folder, "members.sock") }

func (m *Members) close() {
	if m.udp != nil {
		m.udp.Close()
	}
	if m.tcp != nil {
		m.tcp.Close()
	}
	if m.controlListener != nil {
		m.controlListener.Close()
	}
	if m.stateWriter != nil {
		m.stateWriter.close()
	}
}

// Address returns the address that other members send to.
func (m *Members) Address() netip.AddrPort { return m.settings.Advertise }

// View returns the current view, or nil while the node is in none. It is safe for concurrent use.
func (m *Members) View() *membership.View { return m.view.Load() }

// Run takes part in the membership until the context ends.
func (m *Members) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer close(m.done)
	defer workers.Wait()
	defer m.close()
	defer stop()
	workers.Go(m.readDatagrams)
	workers.Go(func() { m.acceptStreams(ctx) })
	if m.controlListener != nil {
		workers.Go(func() { m.serveControl(ctx) })
	}
	config := membership.Settings{
		Self:  membership.Member{Name: m.settings.Name, Site: m.settings.Site, Addr: m.settings.Advertise},
		Seeds: m.settings.Seeds, GossipInterval: gossipInterval, WatchersPerMember: watchersPerMember,
	}
	if m.stateWriter != nil {
		state := m.stateWriter.previous()
		config.Incarnation, config.LastViewNumber, config.KnownAddrs = state.Incarnation, state.Number, state.Known
		workers.Go(func() { m.stateWriter.run(ctx) })
	}
	node := membership.New(config, rand.Uint64(), m.clock.Now())
	m.flush(ctx, node, &workers)
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.detectPause(m.clock.Now())
			node.Tick(m.clock.Now())
		case message := <-m.inbox:
			if message.Kind == membership.Payload {
				m.send(ctx, m.handlePayload(node, message), &workers)
				continue
			}
			node.Receive(m.clock.Now(), message)
		case queued := <-m.claims:
			m.send(ctx, m.deliverClaim(node, queued), &workers)
			continue
		case queued := <-m.payloads:
			m.send(ctx, m.addressPayload(node, queued), &workers)
			continue
		case call := <-m.calls:
			call(node, m.clock.Now())
		}
		m.flush(ctx, node, &workers)
	}
}

const (
	pauseThreshold = 4 * gossipInterval  // a longer time without a tick counts as a pause
	pauseRecovery  = 10 * gossipInterval // after a pause, the time in which the backlog of messages is processed
)

// detectPause records a pause of the process if the previous tick is too long ago.
func (m *Members) detectPause(now time.Duration) {
	if now-time.Duration(m.lastTick.Load()) > pauseThreshold {
		m.pausedAt.Store(int64(now))
	}
	m.lastTick.Store(int64(now))
}

// RecentlyPaused reports whether the process is paused now, as far as it can tell, or was a moment
// ago. It is safe for concurrent use.
func (m *Members) RecentlyPaused() bool {
	now, lastTick, pausedAt := m.clock.Now(), time.Duration(m.lastTick.Load()), time.Duration(m.pausedAt.Load())
	return now-lastTick > pauseThreshold || pausedAt > 0 && now-pausedAt < pauseRecovery
}

// call runs a function on the goroutine that owns the node.
func (m *Members) call(ctx context.Context, f func(*membership.Node, time.Duration)) error {
	done := make(chan struct{})
	select {
	case m.calls <- func(node *membership.Node, now time.Duration) { f(node, now); close(done) }:
	case <-m.done:
		return errors.New("members: the membership has ended")
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Leave announces that the node is leaving, and waits until the other members have removed it or
// the timeout has passed.
func (m *Members) Leave(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if m.call(ctx, func(node *membership.Node, now time.Duration) { node.Leave(now, timeout) }) != nil {
		return
	}
	poll := time.NewTicker(gossipInterval / 4)
	defer poll.Stop()
	for gone := false; !gone; {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
		if m.call(ctx, func(node *membership.Node, _ time.Duration) { gone = node.Phase() == membership.Gone }) != nil {
			return
		}
	}
}

// flush sends the node's outgoing messages and handles its events.
func (m *Members) flush(ctx context.Context, node *membership.Node, workers *sync.WaitGroup) {
	messages, events := node.TakeOutput()
	m.send(ctx, messages, workers)
	for _, event := range events {
		m.handleEvent(node, event)
	}
}

// send writes messages to the sockets.
func (m *Members) send(ctx context.Context, messages []membership.Outgoing, workers *sync.WaitGroup) {
	var buf []byte
	for _, outgoing := range messages {
		addr := outgoing.To
		if via, ok := m.settings.RouteVia[addr]; ok {
			addr = via
		}
		buf = wire.Append(buf[:0], m.fleetNumber, outgoing.Message)
		if !outgoing.Stream && len(buf) <= wire.MaxDatagram {
			if _, err := m.udp.WriteToUDPAddrPort(buf, addr); err == nil {
				m.counters.Datagrams.Add(1)
				m.counters.Bytes.Add(int64(len(buf)))
			}
			continue
		}
		select {
		case m.streamSlots <- struct{}{}:
		default:
			continue // the recipient requests it again
		}
		data := append([]byte(nil), buf...)
		workers.Go(func() {
			defer func() { <-m.streamSlots }()
			m.sendStream(ctx, addr, data)
		})
	}
}

// handleEvent logs an event, publishes the view and saves the state that the next run resumes from.
func (m *Members) handleEvent(node *membership.Node, event membership.Event) {
	switch event.Kind {
	case membership.ViewChanged:
		m.log.Info("the membership view has changed", "view", event.View.Number, "members", len(event.View.Members), "why", event.Detail)
	case membership.Founded:
		m.log.Info("this node founded the fleet", "fleet", m.settings.Fleet, "view", event.View.Number)
	case membership.Evicted:
		m.log.Warn("this node was removed from the members; it rejoins with a new life", "view", event.View.Number, "why", event.Detail)
	case membership.Accused:
		m.log.Warn("contact with a member changed", "name", event.Member.Name, "address", event.Member.Addr.String(), "what", event.Detail)
	case membership.NameConflict:
		m.log.Error("another process has this node's name and was first; this one stays out", "name", event.Member.Name, "address", event.Member.Addr.String())
	case membership.Stalled:
		m.log.Warn("this node was paused", "for", event.Detail)
	case membership.ForeignFleet:
		m.log.Warn("another fleet of the same name prevails; this node joins it", "why", event.Detail)
	case membership.Left:
		m.log.Info("the other members have removed this node after its leave")
	}
	m.view.Store(node.View())
	if view := node.View(); view != nil {
		m.recordAddresses(view)
	}
	if m.stateWriter == nil {
		return
	}
	state := savedState{Incarnation: node.Self().Incarnation}
	if view := node.View(); view != nil {
		state.Number, state.Known = view.Number, sampleAddresses(view)
	}
	m.stateWriter.save(state)
}

// sampleAddresses returns the members' addresses, or, of a view with more than maxKnownAddresses
// members, that many spread evenly over it.
func sampleAddresses(view *membership.View) []netip.AddrPort {
	sample := make([]netip.AddrPort, min(maxKnownAddresses, len(view.Members)))
	for i := range sample {
		sample[i] = view.Members[i*len(view.Members)/len(sample)].Addr
	}
	return sample
}
