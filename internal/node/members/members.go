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

// Settings say where a node's membership listens and whom it seeks.
type Settings struct {
	Fleet     string // nodes of another are not heard
	Name      string
	Site      string
	Listen    netip.AddrPort // UDP and TCP
	Advertise netip.AddrPort // what others send to; Listen, if it is not set
	Seeds     []netip.AddrPort
	// Via says where to send in the place of an address: as members are seen from here.
	RouteVia map[netip.AddrPort]netip.AddrPort
	Folder   string // for what outlives a restart, and the operators' socket; "": neither
	// Alone has this node go by its own part of a cold server's budget, instead of pooling it with the others'.
	UnpooledBudgets bool
	ColdWindow      time.Duration // of the rule on cold servers
}

const (
	gossipInterval    = 100 * time.Millisecond
	watchersPerMember = 10
	inboxSize         = 8192 // messages that wait for the goroutine: of as many nodes at once
	maxStreams        = 8    // at once, in each direction
	streamTimeout     = 3 * time.Second
)

// Members is one node's part in the membership of its fleet.
type Members struct {
	settings        Settings
	fleetNumber     uint32
	log             *slog.Logger
	clock           clock.Clock
	udp             *net.UDPConn
	tcp             *net.TCPListener
	stateWriter     *stateWriter // nil: nothing is kept
	controlListener net.Listener // nil: nobody asks

	inbox       chan *membership.Message
	calls       chan func(*membership.Node, time.Duration)
	done        chan struct{}
	streamSlots chan struct{} // a place for each that goes out
	view        atomic.Pointer[membership.View]
	allocator   *allowance.Allocator                  // Run's
	claims      chan *outgoingClaim                   // to be sent
	onGrant     func(from uint64, g *allowance.Grant) // nil: nobody waits for grants
	payloads    chan *outgoingPayload                 // to be sent, for others that use the sockets
	handlers    map[uint32]func(body []byte)          // of carried messages, by topic
	addresses   map[string]netip.AddrPort             // Run's: where each name was last, as views said
	lastTick    atomic.Int64                          // when Run last ticked
	pausedAt    atomic.Int64                          // when it found that the process had stood still
	counters    TrafficCounters
}

// Counts is what passed the sockets.
type TrafficCounters struct {
	Datagrams, Bytes, Streams                        atomic.Int64 // sent
	Received, Dropped                                atomic.Int64 // datagrams; of them, those that no longer fitted
	Malformed, BadChecksum, OtherFleet, OtherVersion atomic.Int64 // passed over: no message, checksum, fleet, version
}

// Open binds the addresses and reads what was kept.
func Open(set Settings, c clock.Clock, log *slog.Logger) (_ *Members, err error) {
	m := &Members{
		settings: set, fleetNumber: wire.FleetNumber(set.Fleet), log: log, clock: c,
		inbox: make(chan *membership.Message, inboxSize), calls: make(chan func(*membership.Node, time.Duration)),
		done: make(chan struct{}), streamSlots: make(chan struct{}, maxStreams),
		allocator: allowance.NewAllocator(allowance.Settings{Window: set.ColdWindow}), claims: make(chan *outgoingClaim, maxQueuedClaims),
		payloads: make(chan *outgoingPayload, maxQueuedPayloads), handlers: map[uint32]func([]byte){}, addresses: map[string]netip.AddrPort{},
	}
	m.lastTick.Store(int64(c.StartedAt())) // it may stand still from its first moment on
	defer func() {
		if err != nil {
			m.close()
		}
	}()
	if m.udp, m.tcp, err = bind(set.Listen, listenTCP); err != nil {
		return nil, err
	}
	at := m.udp.LocalAddr().(*net.UDPAddr).AddrPort()
	if !m.settings.Advertise.IsValid() {
		m.settings.Advertise = at
	}
	if set.Folder == "" {
		return m, nil
	}
	if m.stateWriter, err = openState(filepath.Join(set.Folder, "members"), c, log); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	if m.controlListener, err = accept.ListenUnix(SocketPath(set.Folder), controlTimeout); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return m, nil
}

// SocketIn is where operators ask a node that keeps its state in a folder.
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

// Address is where the others send to.
func (m *Members) Address() netip.AddrPort { return m.settings.Advertise }

// View is the present view; nil while the node is in none. Any goroutine may call it.
func (m *Members) View() *membership.View { return m.view.Load() }

// Run takes part until the context ends.
func (m *Members) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer close(m.done)
	defer parts.Wait()
	defer m.close()
	defer stop()
	parts.Go(m.readDatagrams)
	parts.Go(func() { m.acceptStreams(ctx) })
	if m.controlListener != nil {
		parts.Go(func() { m.serveControl(ctx) })
	}
	set := membership.Settings{
		Self:  membership.Member{Name: m.settings.Name, Site: m.settings.Site, Addr: m.settings.Advertise},
		Seeds: m.settings.Seeds, GossipInterval: gossipInterval, WatchersPerMember: watchersPerMember,
	}
	if m.stateWriter != nil {
		k := m.stateWriter.previous()
		set.Incarnation, set.LastViewNumber, set.KnownAddrs = k.Incarnation, k.Number, k.Known
		parts.Go(func() { m.stateWriter.run(ctx) })
	}
	n := membership.New(set, rand.Uint64(), m.clock.Now())
	m.flush(ctx, n, &parts)
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.detectPause(m.clock.Now())
			n.Tick(m.clock.Now())
		case x := <-m.inbox:
			if x.Kind == membership.Payload {
				m.send(ctx, m.handlePayload(n, x), &parts)
				continue
			}
			n.Receive(m.clock.Now(), x)
		case c := <-m.claims:
			m.send(ctx, m.deliverClaim(n, c), &parts)
			continue
		case c := <-m.payloads:
			m.send(ctx, m.addressPayload(n, c), &parts)
			continue
		case do := <-m.calls:
			do(n, m.clock.Now())
		}
		m.flush(ctx, n, &parts)
	}
}

const (
	pauseThreshold = 4 * gossipInterval  // without a tick
	pauseRecovery  = 10 * gossipInterval // after it: what came meanwhile is taken in
)

// tick finds out whether the process has stood still.
func (m *Members) detectPause(now time.Duration) {
	if now-time.Duration(m.lastTick.Load()) > pauseThreshold {
		m.pausedAt.Store(int64(now))
	}
	m.lastTick.Store(int64(now))
}

// Stood tells whether this process stands still by what is known now, or has a moment ago. Any goroutine may call it.
func (m *Members) RecentlyPaused() bool {
	now, beat, stood := m.clock.Now(), time.Duration(m.lastTick.Load()), time.Duration(m.pausedAt.Load())
	return now-beat > pauseThreshold || stood > 0 && now-stood < pauseRecovery
}

// call runs something on the goroutine that owns the node.
func (m *Members) call(ctx context.Context, do func(*membership.Node, time.Duration)) error {
	done := make(chan struct{})
	select {
	case m.calls <- func(n *membership.Node, now time.Duration) { do(n, now); close(done) }:
	case <-m.done:
		return errors.New("the membership has ended")
	case <-ctx.Done():
		return ctx.Err()
	}
	<-done
	return nil
}

// Leave tells the others that the node goes, and waits until they let it, or so long.
func (m *Members) Leave(patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if m.call(ctx, func(n *membership.Node, now time.Duration) { n.Leave(now, patience) }) != nil {
		return
	}
	look := time.NewTicker(gossipInterval / 4)
	defer look.Stop()
	for gone := false; !gone; {
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
		if m.call(ctx, func(n *membership.Node, _ time.Duration) { gone = n.Phase() == membership.Gone }) != nil {
			return
		}
	}
}

// carry sends what the node wants sent, and tells what happened.
func (m *Members) flush(ctx context.Context, n *membership.Node, parts *sync.WaitGroup) {
	sends, events := n.TakeOutput()
	m.send(ctx, sends, parts)
	for _, e := range events {
		m.handleEvent(n, e)
	}
}

// send puts messages on the sockets.
func (m *Members) send(ctx context.Context, sends []membership.Outgoing, parts *sync.WaitGroup) {
	var buf []byte
	for _, s := range sends {
		to := s.To
		if via, ok := m.settings.RouteVia[to]; ok {
			to = via
		}
		buf = wire.Append(buf[:0], m.fleetNumber, s.Message)
		if !s.Stream && len(buf) <= wire.MaxDatagram {
			if _, err := m.udp.WriteToUDPAddrPort(buf, to); err == nil {
				m.counters.Datagrams.Add(1)
				m.counters.Bytes.Add(int64(len(buf)))
			}
			continue
		}
		select {
		case m.streamSlots <- struct{}{}:
		default:
			continue // it is asked for again
		}
		b := append([]byte(nil), buf...)
		parts.Go(func() {
			defer func() { <-m.streamSlots }()
			m.sendStream(ctx, to, b)
		})
	}
}

// note logs an event, and keeps what is to outlive a restart.
func (m *Members) handleEvent(n *membership.Node, e membership.Event) {
	switch e.Kind {
	case membership.ViewChanged:
		m.log.Info("the members have changed", "view", e.View.Number, "members", len(e.View.Members), "why", e.Detail)
	case membership.Founded:
		m.log.Info("this node founds the fleet", "fleet", m.settings.Fleet, "view", e.View.Number)
	case membership.Evicted:
		m.log.Warn("this life is not among the members any more; a new one begins", "view", e.View.Number, "why", e.Detail)
	case membership.Accused:
		m.log.Warn("a member", "name", e.Member.Name, "address", e.Member.Addr.String(), "what", e.Detail)
	case membership.NameConflict:
		m.log.Error("another process has this node's name and was first; this one stays out", "name", e.Member.Name, "address", e.Member.Addr.String())
	case membership.Stalled:
		m.log.Warn("this node stood still", "for", e.Detail)
	case membership.ForeignFleet:
		m.log.Warn("another fleet of this name holds; this node joins it", "why", e.Detail)
	case membership.Left:
		m.log.Info("the others have let this node go")
	}
	m.view.Store(n.View())
	if v := n.View(); v != nil {
		m.recordAddresses(v)
	}
	if m.stateWriter == nil {
		return
	}
	k := savedState{Incarnation: n.Self().Incarnation}
	if v := n.View(); v != nil {
		k.Number, k.Known = v.Number, sampleAddresses(v)
	}
	m.stateWriter.save(k)
}

// someKnown are members to remember: all, or of more than are kept as many, from all over the view.
func sampleAddresses(v *membership.View) []netip.AddrPort {
	some := make([]netip.AddrPort, min(maxKnownAddresses, len(v.Members)))
	for i := range some {
		some[i] = v.Members[i*len(v.Members)/len(some)].Addr
	}
	return some
}
