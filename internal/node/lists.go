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
	longList = 256
	listStep = 32 // entries between two looks at the clock
)

// begin takes the list that the node starts with: the configuration's, or what is left of its last life.
func (l *loop) begin(known *endpoints.List) {
	if l.past != nil {
		l.recall()
		return
	}
	stored := &endpoints.List{}
	if known != nil {
		stored = known
	}
	l.view.Restore(stored)
	l.discovery.SetServerCount(l.view.Serving())
	l.members(stored, decide.ListStored)
	if !l.set.MustSubscribe {
		return
	}
	if until := l.confirmation.Restore(len(stored.Entries)); until > 0 { // the list is as old as the last life
		l.unconfirm(until)
	}
}

// accepted takes word that discovery keeps a long poll open: it has nothing newer.
func (l *loop) accepted() {
	asOf, until := l.confirmation.RecordOpenPoll(l.now)
	l.carryOut(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListRestored, AsOf: max(1, asOf), ConfirmedUntil: until, FleetSize: l.past.there(), PriorRate: l.past.rate(),
	}, l.actions[:0]))
}

// unconfirm tells the module from when on changes that this node lacks may count as told.
func (l *loop) unconfirm(from time.Duration) {
	l.carryOut(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListRestored, ConfirmedUntil: from, FleetSize: l.past.there(), PriorRate: l.past.rate(),
	}, l.actions[:0]))
}

// listed takes a list that discovery has told.
func (l *loop) listed(answer *discovery.Update) {
	m := answer.List
	l.told = m.Generation
	asOf := max(1, l.confirmation.RecordAnswer(l.now, answer.CallDuration, answer.PollWait))
	u := l.view.Apply(l.now, m)
	l.discovery.SetServerCount(l.view.Serving())
	l.trace.listed(m, len(u.Changes))
	l.strange(u.Anomalies)
	l.signs.RecordFetch(l.now, len(u.Changes) > 0)
	if u.RefetchWhole {
		if wait, ok := l.signs.RequestRefetch(l.now); ok {
			l.after(wait, timer{do: func() { l.discovery.RestartWatch(true) }})
		}
	}
	changes := u.Changes
	if l.past.doubts() {
		changes = l.confirmed()
	}
	if l.record != nil {
		l.record.ListReceived(m.Generation, l.discovery.Address())
		if l.past.handed { // what was handed on is discovery's word by now
			l.past.handed = false
			l.remember(m, l.view.LatestList().Entries)
		}
	}
	l.remember(m, u.Changes)
	l.changed(changes, decide.ListDiff)
	confirmed := time.Duration(0)
	if answer.WatchPaused {
		confirmed = l.confirmation.ConfirmedUntil()
	}
	l.carryOut(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: decide.ListRestored, AsOf: asOf, ConfirmedUntil: confirmed, FleetSize: l.past.there(), PriorRate: l.past.rate(),
	}, l.actions[:0]))
	l.later()
}

// unlisted takes a call to discovery that brought no list, or not yet.
func (l *loop) unlisted(u *discovery.Update) {
	f := u.Failure
	m := decide.ListUpdate{
		Kind: decide.ListFailed, FleetSize: l.past.there(), PriorRate: l.past.rate(),
	}
	switch {
	case f.Reason == endpoints.PollTimedOut, u.MoreExpected: // the watch goes on by itself
		m.Kind = decide.ListRestored
	default:
		l.signs.RecordFetch(l.now, false)
	}
	// An agent that is silent has learnt nothing either; one that has begun to answer has.
	if l.set.MustSubscribe || f.Reason == endpoints.PartialAnswer {
		m.ConfirmedUntil = l.confirmation.RecordFailure(l.now, f)
	}
	l.trace.unlisted(f, l.told, m.ConfirmedUntil-l.now)
	if bad := l.view.ApplyPartial(l.now, u.Unavailable); len(bad) > 0 {
		l.remember(nil, bad)
		l.changed(bad, decide.ListRestored)
	}
	l.carryOut(l.balancer.HandleList(l.now, m, l.actions[:0]))
}

// moved takes a move of discovery to another address.
func (l *loop) moved() {
	if l.set.MustSubscribe {
		l.unconfirm(l.confirmation.RecordMove(l.now))
	}
}

// later passes on what the view lets wait, once it is time.
func (l *loop) later() {
	at, ok := l.view.NextRelease()
	if !ok || l.laterAt > l.now && l.laterAt <= at {
		return
	}
	l.laterAt = at
	l.at(at, timer{do: func() {
		l.laterAt = 0
		if due := l.view.ReleaseDue(l.now); len(due) > 0 {
			l.remember(nil, due)
			l.changed(due, decide.ListRestored)
		}
		l.later()
	}})
}

// mostStrange is how many odd things of one list are logged.
const mostStrange = 4

func (l *loop) strange(odd []endpoints.Anomaly) {
	for i, o := range odd {
		if i == mostStrange {
			l.log.Warn("the list is odd in more places", "more", len(odd)-i)
			return
		}
		l.log.Warn("the list is odd", "what", o.String())
	}
}

// watch turns the watch on. A starting node that has a list leaves the turn to those that have none.
func (l *loop) watch() {
	if l.record != nil && !l.turn {
		l.waits = true
		return
	}
	if l.asked {
		l.discovery.SetWatch(true)
		return
	}
	l.asked = true
	wait := l.asking.StartDelay(l.sendable > 0, l.draw.Float64())
	if within := l.set.ResubscribeWithin / 2; within > 0 {
		wait = min(wait, within)
	}
	if wait <= 0 {
		l.discovery.SetWatch(true)
		return
	}
	l.after(wait, timer{do: func() { l.discovery.SetWatch(true) }})
}

// weigh looks at how an attempt ended for signs that the list is old.
func (l *loop) weigh(server string, r decide.Result, took time.Duration) {
	switch r {
	case decide.ConnectFailed, decide.Rejected:
		if !l.set.MustSubscribe {
			break
		}
		if wait, ok := l.signs.RecordFailure(l.now, server); ok {
			l.after(wait, timer{do: func() { l.discovery.RestartWatch(false) }})
		}
	case decide.Served:
		if !l.signs.Empty() {
			l.signs.RecordSuccess(server)
		}
	}
	if l.past != nil {
		l.tried(server, r, took)
	}
}

// changed carries out changes of the list. What is drained or gone gets nothing new from this moment; the rest of
// many is background work with a deadline.
func (l *loop) changed(entries []endpoints.Entry, change decide.ListKind) {
	if len(entries) <= l.longList && l.coming.Len() == 0 {
		l.members(&endpoints.List{Entries: entries}, change)
		return
	}
	for i := range entries {
		if e := &entries[i]; e.Health != decide.Healthy {
			if p := l.peers[e.ID]; p != nil {
				l.allow(p, false)
			}
		}
	}
	l.ready.Store(l.sendable > 0)
	l.coming.Add(entries)
	// The module hears at once whether discovery answers.
	l.carryOut(l.balancer.HandleList(l.now, decide.ListUpdate{Kind: change, FleetSize: l.past.there(), PriorRate: l.past.rate()}, l.actions[:0]))
	l.entries()
}

// takeIn takes entries of long lists in, as background work.
func (l *loop) takeIn(slice time.Duration) (took time.Duration, more bool) {
	begun := l.clock.Now()
	for l.coming.Len() > 0 {
		l.members(&endpoints.List{Entries: l.coming.Take(listStep)}, decide.ListRestored)
		if l.clock.Now() >= begun+slice {
			break
		}
	}
	return l.clock.Now() - begun, l.coming.Len() > 0
}

// members takes a list of servers and tells the module.
func (l *loop) members(m *endpoints.List, change decide.ListKind) {
	if change == decide.ListStored {
		named := make(map[string]bool, len(m.Entries))
		for i := range m.Entries {
			named[m.Entries[i].ID] = true
		}
		for id, p := range l.peers {
			if !named[id] {
				l.remove(p)
			}
		}
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		p := l.peers[e.ID]
		if p != nil && (e.Health == decide.Removed || e.Address != p.Address || e.Started > l.started[e.ID]) {
			// What is on its way to the old process or address is for it alone.
			l.remove(p)
			p = nil
		}
		if e.Health == decide.Removed {
			continue
		}
		if p == nil {
			p = &peer{Target: upstream.Target{ID: e.ID, Address: e.Address}}
			l.peers[e.ID], l.started[e.ID] = p, e.Started
		}
		l.allow(p, e.Health == decide.Healthy)
	}
	l.ready.Store(l.sendable > 0)
	l.carryOut(l.balancer.HandleList(l.now, decide.ListUpdate{
		Kind: change, Servers: m.Servers(), FleetSize: l.past.there(), PriorRate: l.past.rate(),
	}, l.actions[:0]))
	if l.pool != nil { // before the next request: a new cold server is not this node's alone
		l.claim()
	}
}

// allow says whether a server may get anything new. One that may not has its idle
// connections closed.
func (l *loop) allow(p *peer, open bool) {
	if open != p.counted {
		p.counted = open
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
func (l *loop) remove(p *peer) {
	l.allow(p, false)
	delete(l.peers, p.ID)
	delete(l.started, p.ID)
}
