// Package node puts the decisions of package decide on real sockets: it takes
// requests from clients, makes attempts at servers, follows discovery, and
// leaves every choice to the module.
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
	// After the word to end, new connections go on coming for up to 0.4 s, and
	// clients go on using those that they have: where there is no other node near,
	// they have nowhere else to go. What comes last still has time for its answer.
	minShutdownWait = 1500 * time.Millisecond
	quietPeriod     = 200 * time.Millisecond
	// The kill comes no sooner than the longest deadline, of which this is the
	// most, and 0.7 s more.
	maxShutdownWait   = 3 * time.Second
	finalAnswerMargin = 300 * time.Millisecond
	// Between two looks whether there is a server to send to, at the start, and whether
	// clients are left, at the end.
	pollInterval = 5 * time.Millisecond

	closeExpiredWithin      = 2 * time.Second // an expired connection is closed so soon
	evictIdleWithin         = time.Second
	closeUpstreamIdleWithin = time.Second
	applyListWithin         = 250 * time.Millisecond // rule 3 gives 500 ms, and what drains is stopped at once
	clientMemoryDivisor     = 4                      // of the node's memory, for clients' connections
)

// Node is one real node.
type Node struct {
	config      *Config
	log         *slog.Logger
	clock       clock.Clock
	upstream    *upstream.Pool
	loop        *loop
	handler     *requestHandler
	front       *front.Server
	worker      *worker.Worker
	stateWriter *persist.Writer  // nil: nothing is kept over restarts
	members     *members.Members // nil: this node knows nothing of the others
	leases      *leases.Leases   // nil: it takes no part in the fleet's leases
	address     net.Addr
	jobs        jobs
	stop        context.CancelFunc // ends the loop, its attempts and discovery

	// Reload's own.
	reloads, badReloads int
	idleRules           bool // the operators' rules for idle connections are in use
}

// jobs are the node's kinds of background work.
type jobs struct {
	closeExpired, evictIdle, releaseBuffers, reapplyRules, closeParked, closeUpstreamIdle, applyList, expireLedger, writeState, recordServed *worker.Job
}

// New makes a node and binds its address.
func New(c *Config, log *slog.Logger) (*Node, error) {
	n := &Node{config: c, log: log, clock: clock.New()}
	clients, attempts := splitSockets(c.Sockets)
	n.worker = worker.New(background.Config{}, n.clock.Now, log)
	n.upstream = upstream.New(n.clock, upstream.NewConnLimiter(attempts), &c.Settings)
	inner, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.loop = newLoop(inner, c, n.clock, n.upstream, log)
	n.loop.reportLag = n.worker.ReportLag
	n.upstream.OnClose(n.loop.trace.closeLogger())
	place := endpoints.FleetPosition{
		NodeIndex: c.Settings.Node, NodeCount: c.Settings.Nodes, Tier: c.Settings.Tier, ListObligation: c.Settings.ResubscribeWithin,
		Pushed: !c.Settings.MustSubscribe, Seed: c.Seed,
	}
	n.loop.discovery = discovery.New(c.Discovery, place, log, func(u discovery.Update) { n.loop.post(u) })
	n.loop.budgets = newBudgets(c, log)
	n.handler = newRequestHandler(c, n.clock, n.loop)
	n.handler.budgets = n.loop.budgets
	n.loop.respond = n.handler.respond
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
	// Without rules of the operators' all stays as the platform knows it.
	policy, habits := idleconns.LRU, 0
	if c.Routes.Idle() != nil {
		policy, habits = idleconns.LowestValue, clients
	}
	var stood func() bool
	if c.Members != nil { // opened below, before the front runs
		stood = func() bool { return n.members.RecentlyPaused() }
	}
	n.front = front.New(front.Config{
		Transport: transport, Handler: n.handler, Log: log, Now: n.clock.Now,
		MaxConns: clients, MaxRefusalConns: refusalSockets, MemoryBudget: c.MemoryMB << 20 / clientMemoryDivisor,
		ClassWorths: worths, MaxHeadSize: maxHeaderBytes, MaxBodySize: upstream.MaxBodySize,
		EvictionPolicy: policy, RememberedClients: habits, IdleRules: c.Routes.Idle(),
		Hooks: front.Hooks{
			CloseExpired:   func() { n.jobs.closeExpired.Wake(closeExpiredWithin) },
			EvictIdle:      func() { n.jobs.evictIdle.Wake(evictIdleWithin) },
			ReleaseBuffers: func() { n.jobs.releaseBuffers.Wake(0) },
			ReapplyRules:   func() { n.jobs.reapplyRules.Wake(0) },
			ProcessStalled: stood,
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
		set.ColdWindow = c.Settings.CollapseWindow
		if n.members, err = members.Open(set, n.clock, log); err != nil {
			l.Close()
			return nil, err
		}
		if !set.UnpooledBudgets {
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
		ask, hand, list := n.loop.bootstrapHooks()
		n.loop.bootstrap = bootstrap.New(bootstrap.Settings{
			Name: c.Name, Site: c.Settings.Zone, Seeds: c.Members.Seeds, HasList: len(n.loop.saved.restored.Servers) > 0,
		}, n.members, n.leases, bootstrap.Hooks{AllowDiscovery: ask, DeliverList: hand, CurrentList: list}, log)
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

// remember opens what the node keeps over its restarts. Whatever is wrong with it, the node starts.
func (n *Node) openState() {
	state := n.config.State
	set := persist.Settings{Folder: state.Folder, MaxMB: state.MaxMB}
	var k *persist.Writer
	var known persist.Restored
	switch {
	case state.fs != nil:
		k, known = persist.New(state.fs, set, n.config.Name, n.clock, n.log)
	case state.Folder == "":
		return
	default:
		var err error
		if k, known, err = persist.Open(set, n.config.Name, n.clock, n.log); err != nil {
			n.log.Warn("the node starts without remembering", "err", err)
			return
		}
	}
	n.stateWriter = k
	n.loop.saved = newSavedState(k, known, n.config, n.clock.WallTime(n.clock.Now()))
	n.jobs.writeState = n.worker.Add("writing what is remembered", background.Cleanup, k.Step)
	n.jobs.recordServed = n.worker.Add("noting who has served", background.Optional, n.loop.backgroundStep(n.loop.recordServedServers))
	k.SetWake(n.jobs.writeState.Wake)
}

// leavePatience is how long the node's end waits for the other members' word.
const leaveTimeout = 2 * time.Second

// keeperPatience is how long the node's end waits for the disk.
const stateWriterTimeout = 500 * time.Millisecond

// WaitReady waits until the node serves and has a server to send to, or the
// context ends.
func (n *Node) WaitReady(ctx context.Context) error {
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for !n.loop.ready.Load() {
		select {
		case <-look.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.loop.ctx.Done():
			return errors.New("the node has ended")
		}
	}
	return nil
}

// Address is where clients connect.
func (n *Node) Address() net.Addr { return n.address }

// Reload reads both files again and goes by them as far as a running node can:
// it moves to the discovery that the configuration names, and takes the
// operators' rules for requests that come from now on. All else takes a restart.
// It is all or nothing: with an error, everything runs on as it was. Calls must
// not overlap.
func (n *Node) Reload(f Files) error {
	if err := n.reload(f); err != nil {
		n.badReloads++
		n.log.Error("the new configuration is bad; the old one stays", "err", err,
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
	// The next start would go by the new settings, and these are checked; the rows
	// are used with the settings that run.
	table, err := c.operatorRules.check(n.config)
	if err != nil {
		return fmt.Errorf("with the settings that run: %w", err)
	}
	done := make(chan struct{})
	n.loop.post(configReloaded{table, c.Discovery, done})
	select {
	case <-done:
	case <-n.loop.ctx.Done():
		return errors.New("the node has ended")
	}
	if idle := table.Idle(); idle != nil || n.idleRules {
		n.front.SetIdleRules(idle)
		n.idleRules = idle != nil
	}
	if !n.config.sameService(c) {
		n.log.Warn("the new configuration changes more than discovery and routes, which takes a restart")
	}
	return nil
}

// Run serves until the context ends, and then until what has come is answered.
func (n *Node) Run(ctx context.Context) error {
	inner := n.loop.ctx
	var parts sync.WaitGroup
	defer parts.Wait()
	defer n.stop()
	parts.Go(func() { n.loop.run(n.config.KnownServers) })
	since := n.loop.saved.watchFrom(n.config.KnownServers)
	if n.stateWriter != nil {
		go n.stateWriter.Run(inner)
		defer func() {
			n.stop()
			if err := n.stateWriter.Wait(stateWriterTimeout); err != nil {
				n.log.Warn("ending", "err", err)
			}
		}()
	}
	parts.Go(func() { n.loop.discovery.RunWatch(inner, since) })
	parts.Go(func() { n.loop.discovery.RunFetches(inner) })

	parts.Go(func() { n.worker.Run(inner) })
	if n.members != nil {
		parts.Go(func() { n.members.Run(inner) })
	}
	if n.leases != nil {
		parts.Go(func() { n.leases.Run(inner) })
	}
	if n.loop.bootstrap != nil {
		parts.Go(func() { n.loop.bootstrap.Run(inner) })
	}
	broke := make(chan struct{})
	parts.Go(func() {
		defer close(broke)
		n.front.Run(inner)
	})
	select {
	case <-broke:
		return errors.New("serving: the listener has ended")
	case <-ctx.Done():
	}
	err := n.shutDown()
	n.upstream.CloseIdle()
	return err
}

// leave ends the service in order. Closing the listener at once would reset the
// connections that wait in its backlog.
func (n *Node) shutDown() error {
	begun := n.clock.Now()
	n.log.Info("ending")
	n.handler.shuttingDown.Store(true)
	if n.members != nil { // the others need not find out by themselves
		var parts sync.WaitGroup
		defer parts.Wait()
		parts.Go(func() {
			if n.leases != nil { // while the others still know where this node is
				n.leases.Leave(leaveTimeout / 2)
			}
			n.members.Leave(leaveTimeout)
		})
	}
	longest := time.Duration(0)
	for _, c := range n.config.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	last := begun + min(longest, maxShutdownWait) + finalAnswerMargin
	for {
		now := n.clock.Now()
		quietAt := max(begun+minShutdownWait, n.front.LastAccept()+quietPeriod)
		if now >= min(quietAt, last) {
			break
		}
		time.Sleep(min(quietAt, last) - now)
	}
	// Parked connections close now, as fast as that harms no request, and those in use
	// with their answer.
	if err := n.front.CloseListener(); err != nil {
		return fmt.Errorf("ending: %w", err)
	}
	n.jobs.closeParked.Wake((last - n.clock.Now()) / 2)
	if n.waitForClients(last) {
		return nil
	}
	// What is left has no time: it gets its answer from the loop, and a moment to leave.
	n.loop.post(shutdownRequested{})
	n.waitForClients(n.clock.Now() + finalAnswerMargin/2)
	return nil
}

// emptied waits until no client is connected, and tells whether that was in time.
func (n *Node) waitForClients(last time.Duration) bool {
	look := time.NewTicker(pollInterval)
	defer look.Stop()
	for n.front.OpenConns() > 0 {
		if n.clock.Now() >= last {
			return false
		}
		<-look.C
	}
	return true
}
