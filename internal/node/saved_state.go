package node

import (
	"fmt"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/persist"
	"curlewring/internal/servers/endpoints"
	"curlewring/internal/servers/serverdb"
	"curlewring/internal/servers/stalelist"
)

// savedState is what the node restored at its start and what it saves for its next start. It
// belongs to the loop, except for the writer, which has its own goroutine.
type savedState struct {
	writer            *persist.Writer
	restored          persist.Restored
	staleList         *stalelist.Table           // nil once discovery has sent a list
	staleEntries      map[string]endpoints.Entry // the servers of staleList, by id
	answersPerSecond  float64                    // moving average
	servedSinceSweep  float64                    // since the last sweep
	meanAnswerSeconds float64                    // mean time to an answer
	answerSamples     float64                    // answers in that mean, at most maxAnswerSamples
	discoveryAddress  string                     // written with each saved list
	fromOtherNode     bool                       // the restored list came from another node
}

const (
	minPriorRate       = 1e-3 // answers per second and server, where no rate was saved
	maxAnswerSamples   = 255  // answers over which meanAnswerSeconds is averaged
	rateSweeps         = 60   // sweeps over which answersPerSecond is averaged
	recordServedEvery  = 30   // sweeps between two runs of recordServedServers
	maxRecordedPerStep = 256
)

// unconfirmed reports whether discovery has sent no list since the start.
func (s *savedState) unconfirmed() bool { return s != nil && s.staleList != nil }

// priorRate returns the saved rate of answers per second, server and node, as long as the
// list is stale; 0 otherwise.
func (s *savedState) priorRate() float64 {
	if !s.unconfirmed() || s.staleList.Fresh() {
		return 0
	}
	return max(s.restored.List.ServerRate, minPriorRate)
}

// estimatedFleetSize returns how many servers of a stale list are probably alive, as long as
// not all of them are offered to the balancer; 0 otherwise.
func (s *savedState) estimatedFleetSize() int {
	if !s.unconfirmed() || s.staleList.Fresh() {
		return 0
	}
	return s.staleList.EstimatedAlive()
}

// watchFrom returns the generation that the first watch may start from; nil: it must request
// the whole list.
func (s *savedState) watchFrom(known *endpoints.List) *uint64 {
	var since *uint64
	if known != nil {
		since = &known.Generation
	}
	if s == nil || len(s.restored.Servers) == 0 {
		return since
	}
	if s.restored.List.Consistent && (since == nil || s.restored.List.Generation >= *since) {
		return &s.restored.List.Generation
	}
	if since != nil && *since > s.restored.List.Generation {
		return since
	}
	return nil // the generation of the saved rows is unknown
}

// toEntry converts a saved server to a list entry.
func toEntry(s *serverdb.Server) endpoints.Entry {
	health := [...]decide.Health{serverdb.Serving: decide.Healthy, serverdb.Draining: decide.Draining, serverdb.Gone: decide.Removed}
	return endpoints.Entry{
		Server: decide.Server{
			ID: s.ID, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, Started: s.Started, Health: health[s.State],
		},
		Address: s.Address,
	}
}

// toRow converts a list entry to the form that is saved.
func toRow(e *endpoints.Entry, wall time.Time) serverdb.Server {
	state := [...]serverdb.State{decide.Healthy: serverdb.Serving, decide.Draining: serverdb.Draining, decide.Removed: serverdb.Gone}
	return serverdb.Server{
		ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Started: e.Started,
		State: state[e.Health], StateSince: wall,
	}
}

// newSavedState merges the restored servers with the configuration's list.
func newSavedState(w *persist.Writer, restored persist.Restored, c *Config, wall time.Time) *savedState {
	s := &savedState{writer: w, restored: restored, staleEntries: map[string]endpoints.Entry{}, discoveryAddress: c.Discovery}
	if c.KnownServers != nil {
		configured := make([]serverdb.Server, len(c.KnownServers.Entries))
		for i := range c.KnownServers.Entries {
			configured[i] = toRow(&c.KnownServers.Entries[i], wall)
		}
		s.restored.Servers = serverdb.Merge(s.restored.Servers, configured)
	}
	return s
}

// loadSavedState starts with the restored list.
func (l *loop) loadSavedState() {
	saved := l.saved
	all := &endpoints.List{Generation: saved.restored.List.Generation, Whole: true}
	var serving []stalelist.Server
	for i := range saved.restored.Servers {
		all.Entries = append(all.Entries, toEntry(&saved.restored.Servers[i]))
	}
	l.view.Restore(all, saved.restored.List.DeparturesUpTo())
	for _, e := range l.view.Published() { // of two servers at one address the newer
		if e.Health == decide.Healthy {
			saved.staleEntries[e.ID] = e
			serving = append(serving, stalelist.Server{ID: e.ID, Rack: fmt.Sprint(e.Zone, "/", e.Cell)})
		}
	}
	age, known := saved.restored.List.Age(l.clock.WallTime(l.now))
	if !known && len(saved.restored.Servers) > 0 && saved.restored.List.Confirmed.IsZero() {
		age, known = 0, true // the configuration's list alone is trusted, as without saved state
	}
	saved.staleList = stalelist.New(stalelist.Settings{NodeName: saved.restored.Node, NodeCount: l.settings.Nodes}, age, known, serving)
	if len(serving) > 0 {
		l.log.Info("starting with the saved list", "servers", len(serving), "age", age.Round(time.Second).String(), "age known", known,
			"generation", saved.restored.List.Generation, "complete", saved.restored.List.Consistent, "trusted", saved.staleList.Fresh())
	}
	l.updateServers(&endpoints.List{Entries: l.offeredEntries(saved.staleList.OfferFirst(l.now))}, decide.ListStored)
	l.scheduleRetry()
}

// offeredEntries converts the changes of a stale list to list entries.
func (l *loop) offeredEntries(changes []stalelist.Change) []endpoints.Entry {
	saved := l.saved
	entries := make([]endpoints.Entry, 0, len(changes))
	for _, c := range changes {
		e := saved.staleEntries[c.ID]
		switch {
		case c.State == stalelist.Withdrawn:
			e.Health = decide.Removed
		case l.view.Health(c.ID) != decide.Healthy: // a partial answer has reported it as draining or removed
			e.Health = l.view.Health(c.ID)
		case saved.staleList.Fresh():
		default:
			// When the process at this address started is unknown: it counts as started now. Once
			// verified, it keeps the start time that it was offered with.
			if c.State == stalelist.Trying {
				e.Started = l.now
				saved.staleEntries[c.ID] = e
			}
			e.Unverified = c.State == stalelist.Trying
			e.ZoneUnknown, e.CellUnknown = e.ZoneUnknown || e.Unverified, e.CellUnknown || e.Unverified
		}
		entries = append(entries, e)
	}
	return entries
}

// recordSavedResult records the result of an attempt for the saved state and the stale list.
func (l *loop) recordSavedResult(server string, r decide.Result, took time.Duration) {
	saved := l.saved
	if r == decide.Served {
		saved.servedSinceSweep++
		saved.meanAnswerSeconds += (max(took, time.Microsecond).Seconds() - saved.meanAnswerSeconds) / (saved.answerSamples + 1)
		saved.answerSamples = min(saved.answerSamples+1, maxAnswerSamples)
		if s := l.servers[server]; s != nil {
			s.lastServed = l.now
		}
	}
	if saved.staleList == nil {
		return
	}
	if changes := saved.staleList.RecordResult(l.now, server, r); len(changes) > 0 {
		l.updateServers(&endpoints.List{Entries: l.offeredEntries(changes)}, decide.ListLocal)
	}
	l.scheduleRetry()
}

// scheduleRetry sets a timer for the next retry of failed servers of the stale list.
func (l *loop) scheduleRetry() {
	at, ok := l.saved.staleList.NextRetry()
	if !ok || l.retryAt > l.now && l.retryAt <= at {
		return
	}
	l.retryAt = max(at, l.now+time.Millisecond) // what is due now has just been handled
	l.at(l.retryAt, timer{run: func() {
		l.retryAt = 0
		if !l.saved.unconfirmed() {
			return
		}
		if changes := l.saved.staleList.OfferDue(l.now); len(changes) > 0 {
			l.updateServers(&endpoints.List{Entries: l.offeredEntries(changes)}, decide.ListLocal)
		}
		l.scheduleRetry()
	}})
}

// endStaleList discards the stale list once discovery has sent a list. It returns all entries
// of the current view, and a removal for each known server that the view does not name.
func (l *loop) endStaleList() []endpoints.Entry {
	trying, proven, rest := l.saved.staleList.Counts()
	l.log.Info("discovery has confirmed the list", "tried", trying, "proven", proven, "not tried", rest, "serving", l.view.ServingCount())
	l.saved.staleList, l.saved.staleEntries = nil, nil
	all := l.view.Published()
	named := make(map[string]bool, len(all))
	for i := range all {
		named[all[i].ID] = true
	}
	for id := range l.servers {
		if !named[id] {
			all = append(all, endpoints.Entry{Server: decide.Server{ID: id, Health: decide.Removed}})
		}
	}
	return all
}

// saveList passes a list and its changes to the writer.
func (l *loop) saveList(m *endpoints.List, changes []endpoints.Entry) {
	saved := l.saved
	if saved == nil || saved.writer == nil {
		return
	}
	wall := l.clock.WallTime(l.now)
	for i := range changes {
		saved.writer.RecordServer(serverdb.Observation{Server: toRow(&changes[i], wall), FromDiscovery: true})
	}
	if m != nil {
		saved.writer.ConfirmList(serverdb.List{
			Generation: m.Generation, HighestGeneration: l.view.HighestGeneration(), Discovery: saved.discoveryAddress,
			Confirmed: wall, ServerRate: l.measuredServerRate(), ServingCount: l.view.ServingCount(), Incomplete: l.view.Withholds(),
		})
	}
}

// measuredServerRate returns a lower bound of the answers per second of one server to one
// node: the measured rate, assuming that all nodes use all servers alike, or the rate at
// which a server answers requests one after another, divided among the nodes.
func (l *loop) measuredServerRate() float64 {
	saved, rate := l.saved, 0.0
	if n := l.view.ServingCount(); n > 0 {
		rate = saved.answersPerSecond / float64(n)
	}
	if saved.answerSamples == maxAnswerSamples {
		rate = max(rate, 1/(saved.meanAnswerSeconds*float64(max(1, l.settings.Nodes))))
	}
	return rate
}

// updateAnswerRate updates the moving average of answers per second. It is called with each
// sweep.
func (l *loop) updateAnswerRate() {
	saved := l.saved
	saved.answersPerSecond += (saved.servedSinceSweep - saved.answersPerSecond) / rateSweeps
	saved.servedSinceSweep = 0
}

// recordServedServers passes the servers that have served recently to the writer, as
// background work.
func (l *loop) recordServedServers(slice time.Duration) (took time.Duration, more bool) {
	startTime := l.clock.Now()
	recorded := 0
	for _, s := range l.servers { // in any order: the rest is recorded by the next run
		if s.lastServed > s.lastRecorded+recordServedInterval {
			s.lastRecorded = s.lastServed
			l.saved.writer.RecordServer(serverdb.Observation{Server: serverdb.Server{ID: s.ID, LastServed: l.clock.WallTime(s.lastServed)}})
			if recorded++; recorded == maxRecordedPerStep || l.clock.Now() > startTime+slice {
				break
			}
		}
	}
	return l.clock.Now() - startTime, false
}

const recordServedInterval = 10 * time.Minute
