package node

import (
	"container/heap"
	"slices"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/discovery"
	"curlewring/internal/node/upstream"
	"curlewring/internal/servers/endpoints"
)

const (
	longListEntries = 256 // longer lists are applied in steps: the balancer takes up to 5 us an entry
	listStepEntries = 32  // entries between two checks of the slice's end
)

// loadInitialList starts with the saved list or, without saved state, with the configuration's.
func (l *loop) loadInitialList(known *endpoints.List) {
	if l.saved != nil {
		l.loadSavedState()
		return
	}
	stored := &endpoints.List{}
	if known != nil {
		stored = known
	}
	changes := l.view.Restore(stored, stored.Generation)
	l.discovery.SetServerCount(l.view.ServingCount())
	l.updateServers(stored, decide.ListStored)
	if len(changes) > 0 { // two servers are listed at one address
		l.updateServers(&endpoints.List{Entries: changes}, decide.ListLocal)
	}
	if !l.settings.MustSubscribe {
		return
	}
	if until := l.confirmation.Restore(len(stored.Entries)); until > 0 { // the list is from before the restart
		l.setConfirmedUntil(until)
	}
}

// updateReady updates whether the node is ready.
func (l *loop) updateReady() { l.ready.Store(l.sendable > 0) }

// handleOpenPoll handles that discovery keeps a long poll open: it has nothing newer.
func (l *loop) handleOpenPoll() {
	asOf, until := l.confirmation.RecordOpenPoll(l.now)
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListLocal, AsOf: max(1, asOf), ConfirmedUntil: until, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
}

// setConfirmedUntil tells the balancer until when the list counts as confirmed. Afterwards,
// servers may have changed without this node's knowledge.
func (l *loop) setConfirmedUntil(until time.Duration) {
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListLocal, ConfirmedUntil: until, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
}

// handleList handles a list from discovery.
func (l *loop) handleList(update *discovery.Update) {
	m := update.List
	l.lastGeneration = m.Generation
	asOf := max(1, l.confirmation.RecordAnswer(l.now, update.CallDuration, update.PollWait))
	u := l.view.Apply(l.now, m)
	l.discovery.SetServerCount(l.view.ServingCount())
	l.trace.listReceived(m, len(u.Changes))
	l.logAnomalies(u.Anomalies)
	l.staleness.RecordFetch(l.now, len(u.Changes) > 0)
	if u.RefetchWhole {
		if wait, ok := l.staleness.RequestRefetch(l.now); ok {
			l.after(wait, timer{run: func() { l.discovery.RestartWatch(true) }})
		}
	}
	changes := u.Changes
	if l.saved.unconfirmed() {
		changes = l.endStaleList()
	}
	if l.bootstrap != nil {
		l.bootstrap.DiscoveryAnswered(m.Generation, l.discovery.Address())
		if l.saved.fromOtherNode { // discovery has now confirmed the other node's list
			l.saved.fromOtherNode = false
			l.saveList(m, l.view.LatestList().Entries)
		}
	}
	l.saveList(m, u.Changes)
	l.applyChanges(changes, decide.ListDiff)
	confirmed := time.Duration(0)
	if update.WatchPaused {
		confirmed = l.confirmation.ConfirmedUntil()
	}
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListLocal, AsOf: asOf, ConfirmedUntil: confirmed, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
	l.scheduleRelease()
}

// handleNoList handles a call to discovery that returned no list, or none yet.
func (l *loop) handleNoList(u *discovery.Update) {
	f := u.Failure
	m := decide.ListUpdate{
		Kind: decide.ListFailed, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}
	switch {
	case f.Reason == endpoints.PollTimedOut, u.MoreExpected: // the watch continues
		m.Kind = decide.ListLocal
	default:
		l.staleness.RecordFetch(l.now, false)
	}
	// With pushed lists, an agent that does not answer has nothing new either; a partial
	// answer shows that it has.
	if l.settings.MustSubscribe || f.Reason == endpoints.PartialAnswer {
		m.ConfirmedUntil = l.confirmation.RecordFailure(l.now, f)
	}
	l.trace.noList(f, l.lastGeneration, m.ConfirmedUntil-l.now)
	if unavailable := l.view.ApplyPartial(l.now, f.Generation, u.Unavailable); len(unavailable) > 0 {
		l.saveList(nil, unavailable)
		l.applyChanges(unavailable, decide.ListLocal)
	}
	l.execute(l.balancer.HandleList(l.now, m, l.actions[:0]))
}

// handleDiscoveryMove handles a change of discovery's address.
func (l *loop) handleDiscoveryMove() {
	if l.settings.MustSubscribe {
		l.setConfirmedUntil(l.confirmation.RecordMove(l.now))
	}
}

// scheduleRelease sets a timer for the changes that the view holds back.
func (l *loop) scheduleRelease() {
	at, ok := l.view.NextRelease()
	if !ok || l.releaseAt > l.now && l.releaseAt <= at {
		return
	}
	l.cancelRelease()
	l.releaseAt = at
	l.at(at, timer{release: true, run: func() {
		l.releaseAt = 0
		if due := l.view.ReleaseDue(l.now); len(due) > 0 {
			l.saveList(nil, due)
			l.applyChanges(due, decide.ListLocal)
		}
		l.scheduleRelease()
	}})
}

// cancelRelease removes the timer of the next release, if there is one.
func (l *loop) cancelRelease() {
	if i := slices.IndexFunc(l.timers, func(t timer) bool { return t.release }); i >= 0 {
		heap.Remove(&l.timers, i)
	}
}

// maxLoggedAnomalies bounds the log lines about one list.
const maxLoggedAnomalies = 4

func (l *loop) logAnomalies(anomalies []endpoints.Anomaly) {
	for i, a := range anomalies {
		if i == maxLoggedAnomalies {
			l.log.Warn("the list is odd in more places", "more", len(anomalies)-i)
			return
		}
		l.log.Warn("the list is odd", "what", a.String())
	}
}

// startWatch starts the watch of discovery, once bootstrap allows it: a starting node with a
// list lets nodes without one go first.
func (l *loop) startWatch() {
	if l.bootstrap != nil && !l.mayAskDiscovery {
		l.watchDeferred = true
		return
	}
	if l.watchRequested {
		l.discovery.SetWatch(true)
		return
	}
	l.watchRequested = true
	wait := l.callTiming.StartDelay(l.sendable > 0, l.rng.Float64())
	if within := l.settings.ResubscribeWithin / 2; within > 0 {
		wait = min(wait, within)
	}
	if wait <= 0 {
		l.discovery.SetWatch(true)
		return
	}
	l.after(wait, timer{run: func() { l.discovery.SetWatch(true) }})
}

// recordResult checks the result of an attempt for signs that the list is stale.
func (l *loop) recordResult(server string, r decide.Result, took time.Duration) {
	switch r {
	case decide.ConnectFailed, decide.Rejected:
		if !l.settings.MustSubscribe {
			break
		}
		if wait, ok := l.staleness.RecordFailure(l.now, server); ok {
			l.after(wait, timer{run: func() { l.discovery.RestartWatch(false) }})
		}
	case decide.Served:
		if !l.staleness.Empty() {
			l.staleness.RecordSuccess(server)
		}
	}
	if l.saved != nil {
		l.recordSavedResult(server, r, took)
	}
}

// applyChanges applies changes of the list. Draining and removed servers receive no new
// attempts from now on; the rest of a long list is applied as background work with a deadline.
func (l *loop) applyChanges(entries []endpoints.Entry, change decide.ListKind) {
	if len(entries) <= l.maxListAtOnce && l.queuedChanges.Len() == 0 {
		l.updateServers(&endpoints.List{Entries: entries}, change)
		return
	}
	for i := range entries {
		if e := &entries[i]; e.Health != decide.Healthy {
			if server := l.servers[e.ID]; server != nil {
				l.setSendable(server, false)
			}
		}
	}
	l.updateReady()
	l.queuedChanges.Add(entries)
	// The balancer learns at once whether discovery answers.
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{Kind: change, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate()}, l.actions[:0]))
	l.scheduleApplyList()
}

// applyQueuedChanges applies queued entries of long lists, as background work.
func (l *loop) applyQueuedChanges(slice time.Duration) (took time.Duration, more bool) {
	startTime := l.clock.Now()
	for l.queuedChanges.Len() > 0 {
		l.updateServers(&endpoints.List{Entries: l.queuedChanges.Take(listStepEntries)}, decide.ListLocal)
		if l.clock.Now() >= startTime+slice {
			break
		}
	}
	return l.clock.Now() - startTime, l.queuedChanges.Len() > 0
}

// updateServers updates the known servers and passes them to the balancer. A list of kind
// ListStored replaces all servers.
func (l *loop) updateServers(m *endpoints.List, change decide.ListKind) {
	if change == decide.ListStored {
		named := make(map[string]bool, len(m.Entries))
		for i := range m.Entries {
			named[m.Entries[i].ID] = true
		}
		for id, server := range l.servers {
			if !named[id] {
				l.removeServer(server)
			}
		}
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		server := l.servers[e.ID]
		if server != nil && (e.Health == decide.Removed || e.Address != server.Address || e.Started > l.startTimes[e.ID]) {
			// Attempts in flight to the old process or address must not reach the new one.
			l.removeServer(server)
			server = nil
		}
		if e.Health == decide.Removed {
			continue
		}
		if server == nil {
			server = &knownServer{Target: upstream.Target{ID: e.ID, Address: e.Address}}
			l.servers[e.ID], l.startTimes[e.ID] = server, e.Started
		}
		l.setSendable(server, e.Health == decide.Healthy)
	}
	l.updateReady()
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: change, Servers: m.Servers(), FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
	if l.pool != nil { // before the next request: the budget of a new cold server is shared
		l.claimAllowances()
	}
}

// setSendable sets whether a server may receive new attempts. If not, its idle connections
// are closed.
func (l *loop) setSendable(server *knownServer, sendable bool) {
	if sendable != server.sendable {
		server.sendable = sendable
		if sendable {
			l.sendable++
		} else {
			l.sendable--
		}
	}
	if server.Closed.Store(!sendable); !sendable {
		l.upstream.CloseIdleTo(server.ID)
	}
}

// removeServer forgets a server: attempts that are not yet on the wire are not sent, and its
// idle connections are closed.
func (l *loop) removeServer(server *knownServer) {
	l.setSendable(server, false)
	delete(l.servers, server.ID)
	delete(l.startTimes, server.ID)
}
