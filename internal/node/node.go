// Package node runs a load-balancing node. It accepts requests from clients, sends attempts
// to servers and follows discovery; every load-balancing decision is left to package decide.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/node/bootstrap"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/discovery"
	"curlewring/internal/node/front"
	"curlewring/internal/node/leases"
	"curlewring/internal/node/members"
	"curlewring/internal/node/persist"
	"curlewring/internal/node/upstream"
	"curlewring/internal/node/worker"
	"curlewring/internal/sched/background"
	"curlewring/internal/servers/endpoints"
)

const (
	// After SIGTERM, new connections keep arriving for up to 0.4 s, and clients keep using
	// their open ones: without another node nearby they have nowhere else to go. So the listener
	// stays open for minShutdownWait at least, and until no connection has arrived for
	// quietPeriod. The last requests to arrive still have time to be answered.
	minShutdownWait = 1500 * time.Millisecond
	quietPeriod     = 200 * time.Millisecond
	// The process is killed no sooner than 0.7 s after the longest deadline of its classes, of
	// which no more than maxShutdownWait counts.
	maxShutdownWait   = 3 * time.Second
	finalAnswerMargin = 300 * time.Millisecond
	// pollInterval is how often WaitReady and waitForClients check their condition.
	pollInterval = 5 * time.Millisecond

	closeExpiredWithin      = 2 * time.Second // an expired client connection is closed within this time
	evictIdleWithin         = time.Second
	closeUpstreamIdleWithin = time.Second
	applyListWithin         = 250 * time.Millisecond // rule 3 allows 500 ms; draining servers are stopped at once
	clientMemoryDivisor     = 4                      // client connections may use 1/4 of the node's memory
)

// Node is a running load-balancing node.
type Node struct {
	config      *Config
	log         *slog.Logger
	clock       clock.Clock
	upstream    *upstream.Pool
	loop        *loop
	handler     *requestHandler
	front       *front.Server
	worker      *worker.Worker
	stateWriter *persist.Writer  // nil: no state is kept over restarts
	members     *members.Members // nil: it takes no part in the membership
	leases      *leases.Leases   // nil: it takes no part in the leases
	address     net.Addr
	jobs        jobs
	stop        context.CancelFunc // stops the loop, its attempts and discovery

	// Used by Reload only.
	reloads, badReloads int
	idleRules           bool // the operators' idle rules are in use
}

// jobs are the node's background jobs.
type jobs struct {
	closeExpired, evictIdle, releaseBuffers, reapplyRules, closeParked, closeUpstreamIdle,
	applyList, expireLedger, writeState, recordServed *worker.Job
}

// New creates a node and binds its listening address.
func New(c *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: c, log: log, clock: clock.New()}
	clients, attempts := splitSockets(c.Sockets)
	n.worker = worker.New(background.Config{}, n.clock.Now, log)
	n.upstream = upstream.New(n.clock, upstream.NewConnLimiter(attempts), &c.Settings)
	inner, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loop = newLoop(inner, c, n.clock, n.upstream, log)
	n.loop.reportLag = n.worker.RecordLag
	n.upstream.OnClose((&closeLogger{log: log, trace: n.loop.trace}).connClosed)
	position := endpoints.FleetPosition{
		NodeIndex: c.Settings.Node, NodeCount: c.Settings.Nodes, Tier: c.Settings.Tier, ResubscribeWithin: c.Settings.ResubscribeWithin,
		Pushed: !c.Settings.MustSubscribe, Seed: c.Seed,
	}
	n.loop.discovery = discovery.New(c.Discovery, position, log, func(u discovery.Update) { n.loop.post(u) })
	n.loop.budgets = newBudgets(c, log)
	n.handler = newRequestHandler(c, n.clock, n.loop)
	n.handler.budgets, n.handler.trace = n.loop.budgets, n.loop.trace
	n.loop.respond, n.loop.releaseTxn = n.handler.respond, n.handler.releaseTxn
	l, err := listen(c)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	n.address = l.Addr()
	transport, err := newTransport(l)
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("listening: %w", err)
	}
	worths := make([]float64, len(c.Settings.Classes))
	for i := range worths {
		worths[i] = c.Settings.Classes[i].Worth
	}
	// Without idle rules of the operators, eviction is LRU, as the platform expects.
	policy, rememberedClients := idleconns.LRU, 0
	if c.Routes.Idle() != nil {
		policy, rememberedClients = idleconns.LowestValue, clients
	}
	var processStalled func() bool
	if c.Members != nil { // n.members is opened below, before the front runs
		processStalled = func() bool { return n.members.RecentlyPaused() }
	}
	n.front = front.New(front.Config{
		Transport: transport, Handler: n.handler, Log: log, Now: n.clock.Now,
		MaxConns: clients, MaxRefusalConns: refusalSockets, MemoryBudget: c.MemoryMB << 20 / clientMemoryDivisor,
		ClassWorths: worths, MaxHeadSize: maxHeaderBytes, MaxBodySize: upstream.MaxBodySize,
		EvictionPolicy: policy, RememberedClients: rememberedClients, IdleRules: c.Routes.Idle(),
		Hooks: front.Hooks{
			CloseExpired:   func() { n.jobs.closeExpired.Wake(closeExpiredWithin) },
			EvictIdle:      func() { n.jobs.evictIdle.Wake(evictIdleWithin) },
			ReleaseBuffers: func() { n.jobs.releaseBuffers.Wake(0) },
			ReapplyRules:   func() { n.jobs.reapplyRules.Wake(0) },
			ProcessStalled: processStalled,
		},
	})
	n.handler.front = n.front
	n.idleRules = c.Routes.Idle() != nil
	n.jobs = jobs{
		closeExpired:      n.worker.Add("closing what has idled too long", background.Reclaim, n.front.CloseExpired),
		evictIdle:         n.worker.Add("closing for newcomers", background.Reclaim, n.front.EvictIdle),
		releaseBuffers:    n.worker.Add("giving buffers back", background.Optional, n.front.ReleaseBuffers),
		reapplyRules:      n.worker.Add("bringing idle connections to new rules", background.Cleanup, n.front.ReapplyRules),
		closeParked:       n.worker.Add("closing what is parked at the end", background.Obligation, n.front.CloseParked),
		applyList:         n.worker.Add("taking in a list", background.Obligation, n.loop.backgroundStep(n.loop.applyQueuedChanges)),
		closeUpstreamIdle: n.worker.Add("closing idle connections to servers", background.Reclaim, n.upstream.CloseExpired),
	}
	n.loop.scheduleApplyList = func() { n.jobs.applyList.Wake(applyListWithin) }
	if n.loop.budgets != nil {
		n.jobs.expireLedger = n.worker.Add("forgetting old attempts of budgets", background.Cleanup, n.loop.backgroundStep(n.loop.expireLedger))
	}
	if c.Members != nil {
		set := *c.Members
		set.CollapseWindow = c.Settings.CollapseWindow
		if n.members, err = members.Open(set, n.clock, log); err != nil {
			l.Close()
			return nil, err
		}
		if !set.DisableBudgetPooling {
			n.loop.pool = newColdServerPool(n.members, c, n.clock.Now())
			n.members.OnGrant(func(from uint64, g *allowance.Grant) { n.loop.post(grantReceived{from, g}) })
		}
	}
	if c.Leases != nil {
		if n.leases, err = leases.Open(*c.Leases, n.members, log); err != nil {
			l.Close()
			return nil, err
		}
	}
	n.openState()
	if c.Leases != nil && c.Leases.ShareLists && n.loop.saved != nil {
		allowDiscovery, deliverList, currentList := n.loop.bootstrapHooks()
		n.loop.bootstrap = bootstrap.New(bootstrap.Settings{
			Name: c.Name, Site: c.Settings.Zone, Seeds: c.Members.Seeds, HasList: len(n.loop.saved.restored.Servers) > 0,
		}, n.members, n.leases, bootstrap.Hooks{AllowDiscovery: allowDiscovery, DeliverList: deliverList, CurrentList: currentList}, log)
	}
	sweeps := 0
	n.loop.onSweep = func() {
		n.jobs.closeUpstreamIdle.Wake(closeUpstreamIdleWithin)
		if n.jobs.expireLedger != nil {
			n.jobs.expireLedger.Wake(0)
		}
		if sweeps++; n.jobs.recordServed != nil && sweeps%recordServedEvery == 0 {
			n.jobs.recordServed.Wake(0)
		}
	}
	return n, nil
}

// openState opens the state that the node keeps over restarts. The node starts without it if
// it can't be opened.
func (n *Node) openState() {
	state := n.config.State
	set := persist.Settings{Folder: state.Folder, MaxMB: state.MaxMB}
	var writer *persist.Writer
	var restored persist.Restored
	switch {
	case state.fs != nil:
		writer, restored = persist.New(state.fs, set, n.config.Name, n.clock, n.log)
	case state.Folder == "":
		return
	default:
		var err error
		if writer, restored, err = persist.Open(set, n.config.Name, n.clock, n.log); err != nil {
			n.log.Warn("starting without saved state", "err", err)
			return
		}
	}
	n.stateWriter = writer
	n.loop.saved = newSavedState(writer, restored, n.config, n.clock.WallTime(n.clock.Now()))
	n.jobs.writeState = n.worker.Add("writing what is remembered", background.Cleanup, writer.Step)
	n.jobs.recordServed = n.worker.Add("noting who has served", background.Optional, n.loop.backgroundStep(n.loop.recordServedServers))
	writer.SetWake(n.jobs.writeState.Wake)
}

// leaveTimeout is how long shutdown waits until the other members acknowledge the leave.
const leaveTimeout = 2 * time.Second

// stateWriterTimeout is how long shutdown waits for the disk.
const stateWriterTimeout = 500 * time.Millisecond

// WaitReady waits until the node serves and has a server to send to, or until the context
// is cancelled.
func (n *Node) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !n.loop.ready.Load() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.loop.ctx.Done():
			return errors.New("the node has stopped")
		}
	}
	return nil
}

// Address returns the address that clients connect to.
func (n *Node) Address() net.Addr { return n.address }

// Reload reads the files again and applies what a running node can change: the address of
// discovery, and the operators' rules for requests that arrive from now on. Other changes
// need a restart. On an error nothing is changed. Calls must not overlap.
func (n *Node) Reload(f Files) error {
	if err := n.reload(f); err != nil {
		n.badReloads++
		n.log.Error("the new configuration is invalid; the old one stays", "err", err,
			"reloads", n.reloads, "bad", n.badReloads)
		return err
	}
	n.reloads++
	n.log.Info("reloaded", "reloads", n.reloads, "bad", n.badReloads)
	return nil
}

func (n *Node) reload(f Files) error {
	c, err := f.Read()
	if err != nil {
		return err
	}
	// Read checked the rules against the new settings, which the next start will use. They
	// are checked again against the current settings, which they are used with until then.
	table, err := c.operatorRules.check(n.config)
	if err != nil {
		return fmt.Errorf("checking the operators' rules against the running settings: %w", err)
	}
	done := make(chan struct{})
	n.loop.post(configReloaded{table, c.Discovery, done})
	select {
	case <-done:
	case <-n.loop.ctx.Done():
		return errors.New("the node has stopped")
	}
	if idle := table.Idle(); idle != nil || n.idleRules {
		n.front.SetIdleRules(idle)
		n.idleRules = idle != nil
	}
	if !n.config.sameService(c) {
		n.log.Warn("the new configuration changes more than discovery and routes; the rest needs a restart")
	}
	return nil
}

// Run serves until the context is cancelled, and then until the requests that have arrived
// are answered.
func (n *Node) Run(ctx context.Context) error {
	inner := n.loop.ctx
	var running sync.WaitGroup
	defer running.Wait()
	defer n.stop()
	running.Go(func() { n.loop.run(n.config.KnownServers) })
	since := n.loop.saved.watchFrom(n.config.KnownServers)
	if n.stateWriter != nil {
		go n.stateWriter.Run(inner)
		defer func() {
			n.stop()
			if err := n.stateWriter.Wait(stateWriterTimeout); err != nil {
				n.log.Warn("saving the state at shutdown", "err", err)
			}
		}()
	}
	running.Go(func() { n.loop.discovery.RunWatch(inner, since) })
	running.Go(func() { n.loop.discovery.RunFetches(inner) })

	running.Go(func() { n.worker.Run(inner) })
	if n.members != nil {
		running.Go(func() { n.members.Run(inner) })
	}
	if n.leases != nil {
		running.Go(func() { n.leases.Run(inner) })
	}
	if n.loop.bootstrap != nil {
		running.Go(func() { n.loop.bootstrap.Run(inner) })
	}
	frontStopped := make(chan struct{})
	running.Go(func() {
		defer close(frontStopped)
		n.front.Run(inner)
	})
	select {
	case <-frontStopped:
		return errors.New("serving: the listener has been closed")
	case <-ctx.Done():
	}
	err := n.shutDown()
	n.upstream.CloseIdle()
	return err
}

// shutDown stops serving in order. Closing the listener at once would reset the connections
// that wait in its backlog.
func (n *Node) shutDown() error {
	startTime := n.clock.Now()
	n.log.Info("shutting down")
	n.handler.shuttingDown.Store(true)
	if n.members != nil { // spares the other members from detecting the departure
		var running sync.WaitGroup
		defer running.Wait()
		running.Go(func() {
			if n.leases != nil { // before Leave, while the other members still know this node's address
				n.leases.Leave(leaveTimeout / 2)
			}
			n.members.Leave(leaveTimeout)
		})
	}
	longestDeadline := time.Duration(0)
	for _, c := range n.config.Settings.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	lastAnswer := startTime + min(longestDeadline, maxShutdownWait) + finalAnswerMargin
	for {
		now := n.clock.Now()
		quietAt := max(startTime+minShutdownWait, n.front.LastAccept()+quietPeriod)
		if now >= min(quietAt, lastAnswer) {
			break
		}
		time.Sleep(min(quietAt, lastAnswer) - now)
	}
	// Idle connections are closed now, at a pace that delays no request; connections in use
	// are closed with their answer.
	if err := n.front.CloseListener(); err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	n.jobs.closeParked.Wake((lastAnswer - n.clock.Now()) / 2)
	if n.waitForClients(lastAnswer) {
		return nil
	}
	// The loop fails the requests that are left; their clients get a moment to disconnect.
	n.loop.post(shutdownRequested{})
	n.waitForClients(n.clock.Now() + finalAnswerMargin/2)
	return nil
}

// waitForClients waits until no client is connected. It returns false if some are still
// connected at the deadline.
func (n *Node) waitForClients(deadline time.Duration) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n.front.OpenConns() > 0 {
		if n.clock.Now() >= deadline {
			return false
		}
		<-ticker.C
	}
	return true
}
