package node

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/node/discovery"
	"curlewring/internal/node/upstream"
	"curlewring/internal/servers/endpoints"
)

// Lists of more entries than this are taken in by steps: the module's part of an
// entry costs up to 5 us.
const (
	longListEntries = 256
	listStepEntries = 32 // entries between two looks at the clock
)

// begin takes the list that the node starts with: the configuration's, or what is left of its last life.
func (l *loop) loadInitialList(known *endpoints.List) {
	if l.saved != nil {
		l.loadSavedState()
		return
	}
	stored := &endpoints.List{}
	if known != nil {
		stored = known
	}
	l.view.Restore(stored)
	l.discovery.SetServerCount(l.view.Serving())
	l.updateServers(stored, decide.ListStored)
	if !l.settings.MustSubscribe {
		return
	}
	if until := l.confirmation.Restore(len(stored.Entries)); until > 0 { // the list is as old as the last life
		l.setConfirmedUntil(until)
	}
}

// accepted takes word that discovery keeps a long poll open: it has nothing newer.
func (l *loop) handleOpenPoll() {
	asOf, until := l.confirmation.RecordOpenPoll(l.now)
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListRestored, AsOf: max(1, asOf), ConfirmedUntil: until, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
}

// unconfirm tells the module from when on changes that this node lacks may count as told.
func (l *loop) setConfirmedUntil(from time.Duration) {
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListRestored, ConfirmedUntil: from, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
}

// listed takes a list that discovery has told.
func (l *loop) handleList(answer *discovery.Update) {
	m := answer.List
	l.lastGeneration = m.Generation
	asOf := max(1, l.confirmation.RecordAnswer(l.now, answer.CallDuration, answer.PollWait))
	u := l.view.Apply(l.now, m)
	l.discovery.SetServerCount(l.view.Serving())
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
		l.bootstrap.ListReceived(m.Generation, l.discovery.Address())
		if l.saved.fromOtherNode { // what was handed on is discovery's word by now
			l.saved.fromOtherNode = false
			l.saveList(m, l.view.LatestList().Entries)
		}
	}
	l.saveList(m, u.Changes)
	l.applyChanges(changes, decide.ListDiff)
	confirmed := time.Duration(0)
	if answer.WatchPaused {
		confirmed = l.confirmation.ConfirmedUntil()
	}
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListRestored, AsOf: asOf, ConfirmedUntil: confirmed, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
	l.scheduleRelease()
}

// unlisted takes a call to discovery that brought no list, or not yet.
func (l *loop) handleNoList(u *discovery.Update) {
	f := u.Failure
	m := decide.ListUpdate{
		Kind: decide.ListFailed, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}
	switch {
	case f.Reason == endpoints.PollTimedOut, u.MoreExpected: // the watch goes on by itself
		m.Kind = decide.ListRestored
	default:
		l.staleness.RecordFetch(l.now, false)
	}
	// An agent that is silent has learnt nothing either; one that has begun to answer has.
	if l.settings.MustSubscribe || f.Reason == endpoints.PartialAnswer {
		m.ConfirmedUntil = l.confirmation.RecordFailure(l.now, f)
	}
	l.trace.noList(f, l.lastGeneration, m.ConfirmedUntil-l.now)
	if bad := l.view.ApplyPartial(l.now, u.Unavailable); len(bad) > 0 {
		l.saveList(nil, bad)
		l.applyChanges(bad, decide.ListRestored)
	}
	l.execute(l.balancer.HandleList(l.now, m, l.actions[:0]))
}

// moved takes a move of discovery to another address.
func (l *loop) handleDiscoveryMove() {
	if l.settings.MustSubscribe {
		l.setConfirmedUntil(l.confirmation.RecordMove(l.now))
	}
}

// later passes on what the view lets wait, once it is time.
func (l *loop) scheduleRelease() {
	at, ok := l.view.NextRelease()
	if !ok || l.releaseAt > l.now && l.releaseAt <= at {
		return
	}
	l.releaseAt = at
	l.at(at, timer{run: func() {
		l.releaseAt = 0
		if due := l.view.ReleaseDue(l.now); len(due) > 0 {
			l.saveList(nil, due)
			l.applyChanges(due, decide.ListRestored)
		}
		l.scheduleRelease()
	}})
}

// mostStrange is how many odd things of one list are logged.
const maxLoggedAnomalies = 4

func (l *loop) logAnomalies(odd []endpoints.Anomaly) {
	for i, o := range odd {
		if i == maxLoggedAnomalies {
			l.log.Warn("the list is odd in more places", "more", len(odd)-i)
			return
		}
		l.log.Warn("the list is odd", "what", o.String())
	}
}

// watch turns the watch on. A starting node that has a list leaves the turn to those that have none.
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

// weigh looks at how an attempt ended for signs that the list is old.
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

// changed carries out changes of the list. What is drained or gone gets nothing new from this moment; the rest of
// many is background work with a deadline.
func (l *loop) applyChanges(entries []endpoints.Entry, change decide.ListKind) {
	if len(entries) <= l.maxListAtOnce && l.queuedChanges.Len() == 0 {
		l.updateServers(&endpoints.List{Entries: entries}, change)
		return
	}
	for i := range entries {
		if e := &entries[i]; e.Health != decide.Healthy {
			if p := l.servers[e.ID]; p != nil {
				l.setSendable(p, false)
			}
		}
	}
	l.ready.Store(l.sendable > 0)
	l.queuedChanges.Add(entries)
	// The module hears at once whether discovery answers.
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{Kind: change, FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate()}, l.actions[:0]))
	l.scheduleApplyList()
}

// takeIn takes entries of long lists in, as background work.
func (l *loop) applyQueuedChanges(slice time.Duration) (took time.Duration, more bool) {
	begun := l.clock.Now()
	for l.queuedChanges.Len() > 0 {
		l.updateServers(&endpoints.List{Entries: l.queuedChanges.Take(listStepEntries)}, decide.ListRestored)
		if l.clock.Now() >= begun+slice {
			break
		}
	}
	return l.clock.Now() - begun, l.queuedChanges.Len() > 0
}

// members takes a list of servers and tells the module.
func (l *loop) updateServers(m *endpoints.List, change decide.ListKind) {
	if change == decide.ListStored {
		named := make(map[string]bool, len(m.Entries))
		for i := range m.Entries {
			named[m.Entries[i].ID] = true
		}
		for id, p := range l.servers {
			if !named[id] {
				l.removeServer(p)
			}
		}
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		p := l.servers[e.ID]
		if p != nil && (e.Health == decide.Removed || e.Address != p.Address || e.Started > l.startTimes[e.ID]) {
			// What is on its way to the old process or address is for it alone.
			l.removeServer(p)
			p = nil
		}
		if e.Health == decide.Removed {
			continue
		}
		if p == nil {
			p = &knownServer{Target: upstream.Target{ID: e.ID, Address: e.Address}}
			l.servers[e.ID], l.startTimes[e.ID] = p, e.Started
		}
		l.setSendable(p, e.Health == decide.Healthy)
	}
	l.ready.Store(l.sendable > 0)
	l.execute(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: change, Servers: m.Servers(), FleetSize: l.saved.estimatedFleetSize(), PriorRate: l.saved.priorRate(),
	}, l.actions[:0]))
	if l.pool != nil { // before the next request: a new cold server is not this node's alone
		l.claimAllowances()
	}
}

// allow says whether a server may get anything new. One that may not has its idle
// connections closed.
func (l *loop) setSendable(p *knownServer, open bool) {
	if open != p.sendable {
		p.sendable = open
		if open {
			l.sendable++
		} else {
			l.sendable--
		}
	}
	if p.Closed.Store(!open); !open {
		l.upstream.CloseServer(p.ID)
	}
}

// remove stops all that is on its way to a server and closes its idle connections.
func (l *loop) removeServer(p *knownServer) {
	l.setSendable(p, false)
	delete(l.servers, p.ID)
	delete(l.startTimes, p.ID)
}
