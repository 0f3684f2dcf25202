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

// past is what a node has of its last life, and what it keeps for the next. It belongs to the loop, but for the
// keeper.
type savedState struct {
	writer            *persist.Writer
	restored          persist.Restored
	staleList         *stalelist.Table // nil: discovery has spoken, or the list is young and trusted as it is
	staleEntries      map[string]endpoints.Entry
	answersPerSecond  float64 // a second, averaged
	servedSinceSweep  float64 // since the last sweep
	meanAnswerSeconds float64 // s; mean time of an answer
	answerSamples     float64 // answers that it is the mean of, up to tookMemory
	discoveryAddress  string  // of discovery
	fromOtherNode     bool    // the list is another node's
}

const (
	minPriorRate       = 1e-3 // answers a second of a server, where the last life has measured none
	maxAnswerSamples   = 255  // answers over which the time of one is averaged
	rateSweeps         = 60   // sweeps over which answers a second are averaged
	recordServedEvery  = 30   // sweeps between two looks at which servers have served
	maxRecordedPerStep = 256
)

// doubts tells whether discovery has not spoken since the start.
func (p *savedState) unconfirmed() bool { return p != nil && p.staleList != nil }

// rate is what each server answered each node a second in the last life, as long as that is all there is to go by.
func (p *savedState) priorRate() float64 {
	if !p.unconfirmed() || p.staleList.Fresh() {
		return 0
	}
	return max(p.restored.List.ServerRate, minPriorRate)
}

// there is how many servers there are likely to be, as long as not all are offered.
func (p *savedState) estimatedFleetSize() int {
	if !p.unconfirmed() || p.staleList.Fresh() {
		return 0
	}
	return p.staleList.EstimatedAlive()
}

// since is the generation that the first watch may ask from; nil: it must ask for the whole list.
func (p *savedState) watchFrom(known *endpoints.List) *uint64 {
	var since *uint64
	if known != nil {
		since = &known.Generation
	}
	if p == nil || len(p.restored.Servers) == 0 {
		return since
	}
	if p.restored.List.Consistent && (since == nil || p.restored.List.Generation >= *since) {
		return &p.restored.List.Generation
	}
	if since != nil && *since > p.restored.List.Generation {
		return since
	}
	return nil // rows of some generation, nobody knows which
}

// entry is a server in the list's form.
func toEntry(s *serverdb.Server) endpoints.Entry {
	health := [...]decide.Health{serverdb.Serving: decide.Healthy, serverdb.Draining: decide.Draining, serverdb.Gone: decide.Removed}
	return endpoints.Entry{
		Server: decide.Server{
			ID: s.ID, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, Started: s.Started, Health: health[s.State],
		},
		Address: s.Address,
	}
}

// row is an entry as the memory keeps it.
func toRow(e *endpoints.Entry, wall time.Time) serverdb.Server {
	state := [...]serverdb.State{decide.Healthy: serverdb.Serving, decide.Draining: serverdb.Draining, decide.Removed: serverdb.Gone}
	return serverdb.Server{
		ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Started: e.Started,
		State: state[e.Health], StateSince: wall,
	}
}

// newPast merges what the keeper found with the configuration's list.
func newSavedState(k *persist.Writer, known persist.Restored, c *Config, wall time.Time) *savedState {
	p := &savedState{writer: k, restored: known, staleEntries: map[string]endpoints.Entry{}, discoveryAddress: c.Discovery}
	if c.KnownServers != nil {
		brought := make([]serverdb.Server, len(c.KnownServers.Entries))
		for i := range c.KnownServers.Entries {
			brought[i] = toRow(&c.KnownServers.Entries[i], wall)
		}
		p.restored.Servers = serverdb.Merge(p.restored.Servers, brought)
	}
	return p
}

// recall begins with what is left of the last life.
func (l *loop) loadSavedState() {
	p := l.saved
	all := &endpoints.List{Generation: p.restored.List.Generation, Whole: true}
	var serving []stalelist.Server
	for i := range p.restored.Servers {
		e := toEntry(&p.restored.Servers[i])
		all.Entries = append(all.Entries, e)
		if e.Health == decide.Healthy {
			p.staleEntries[e.ID] = e
			serving = append(serving, stalelist.Server{ID: e.ID, Rack: fmt.Sprint(e.Zone, "/", e.Cell)})
		}
	}
	l.view.Restore(all)
	age, known := p.restored.List.Age(l.clock.WallTime(l.now))
	if !known && len(p.restored.Servers) > 0 && p.restored.List.Confirmed.IsZero() {
		age, known = 0, true // the configuration's list alone: the platform's word, as without a memory
	}
	p.staleList = stalelist.New(stalelist.Settings{NodeName: p.restored.Node, NodeCount: l.settings.Nodes}, age, known, serving)
	if len(serving) > 0 {
		l.log.Info("the node remembers", "servers", len(serving), "age", age.Round(time.Second).String(), "age known", known,
			"generation", p.restored.List.Generation, "complete", p.restored.List.Consistent, "trusted", p.staleList.Fresh())
	}
	l.updateServers(&endpoints.List{Entries: l.offeredEntries(p.staleList.OfferFirst(l.now))}, decide.ListStored)
	l.scheduleRetry()
}

// offered are offers in the list's form.
func (l *loop) offeredEntries(offers []stalelist.Change) []endpoints.Entry {
	p := l.saved
	entries := make([]endpoints.Entry, 0, len(offers))
	for _, o := range offers {
		e := p.staleEntries[o.ID]
		switch {
		case o.State == stalelist.Withdrawn:
			e.Health = decide.Removed
		case p.staleList.Fresh():
		default:
			// Nobody knows when what answers there started: as far as this node knows, just now. Once it is proven
			// it keeps the start that it was offered with.
			if o.State == stalelist.Trying {
				e.Started = l.now
				p.staleEntries[o.ID] = e
			}
			e.Unverified = o.State == stalelist.Trying
		}
		entries = append(entries, e)
	}
	return entries
}

// tried takes how an attempt ended, for the doubt and for the memory.
func (l *loop) recordSavedResult(server string, r decide.Result, took time.Duration) {
	p := l.saved
	if r == decide.Served {
		p.servedSinceSweep++
		p.meanAnswerSeconds += (max(took, time.Microsecond).Seconds() - p.meanAnswerSeconds) / (p.answerSamples + 1)
		p.answerSamples = min(p.answerSamples+1, maxAnswerSamples)
		if x := l.servers[server]; x != nil {
			x.lastServed = l.now
		}
	}
	if p.staleList == nil {
		return
	}
	if offers := p.staleList.RecordResult(l.now, server, r); len(offers) > 0 {
		l.updateServers(&endpoints.List{Entries: l.offeredEntries(offers)}, decide.ListRestored)
	}
	l.scheduleRetry()
}

// retry tries again what failed, once it is time.
func (l *loop) scheduleRetry() {
	at, ok := l.saved.staleList.NextRetry()
	if !ok || l.retryAt > l.now && l.retryAt <= at {
		return
	}
	l.retryAt = max(at, l.now+time.Millisecond) // whatever is due by now has had its turn
	l.at(l.retryAt, timer{run: func() {
		l.retryAt = 0
		if !l.saved.unconfirmed() {
			return
		}
		if offers := l.saved.staleList.OfferDue(l.now); len(offers) > 0 {
			l.updateServers(&endpoints.List{Entries: l.offeredEntries(offers)}, decide.ListRestored)
		}
		l.scheduleRetry()
	}})
}

// confirmed ends the doubt: discovery has spoken. All that it has not taken back is as it says; what was tried and is
// not named gets nothing more.
func (l *loop) endStaleList() []endpoints.Entry {
	trying, proven, rest := l.saved.staleList.Counts()
	l.log.Info("discovery has spoken", "tried", trying, "proven", proven, "not tried", rest, "serving", l.view.Serving())
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

// remember tells the keeper of a list, and of what changed with it.
func (l *loop) saveList(m *endpoints.List, changes []endpoints.Entry) {
	p := l.saved
	if p == nil || p.writer == nil {
		return
	}
	wall := l.clock.WallTime(l.now)
	for i := range changes {
		p.writer.RecordServer(serverdb.Observation{Server: toRow(&changes[i], wall), FromDiscovery: true})
	}
	if m != nil {
		p.writer.ConfirmList(serverdb.List{
			Generation: m.Generation, Discovery: p.discoveryAddress, Confirmed: wall, ServerRate: l.measuredServerRate(), ServingCount: l.view.Serving(),
		})
	}
}

// perServer is what each server surely answers a second, as this node's part among all: what it did answer, were all
// nodes to use all alike, or what it can as it answers one request after another.
func (l *loop) measuredServerRate() float64 {
	p, rate := l.saved, 0.0
	if n := l.view.Serving(); n > 0 {
		rate = p.answersPerSecond / float64(n)
	}
	if p.answerSamples == maxAnswerSamples {
		rate = max(rate, 1/(p.meanAnswerSeconds*float64(max(1, l.settings.Nodes))))
	}
	return rate
}

// average is called with each sweep: it follows the answers a second, and has what served remembered.
func (l *loop) updateAnswerRate() {
	p := l.saved
	p.answersPerSecond += (p.servedSinceSweep - p.answersPerSecond) / rateSweeps
	p.servedSinceSweep = 0
}

// noteServed tells the keeper which servers have served of late, as background work.
func (l *loop) recordServedServers(slice time.Duration) (took time.Duration, more bool) {
	begun := l.clock.Now()
	noted := 0
	for _, x := range l.servers { // in any order: what is left comes with the next look
		if x.lastServed > x.lastRecorded+recordServedInterval {
			x.lastRecorded = x.lastServed
			l.saved.writer.RecordServer(serverdb.Observation{Server: serverdb.Server{ID: x.ID, LastServed: l.clock.WallTime(x.lastServed)}})
			if noted++; noted == maxRecordedPerStep || l.clock.Now() > begun+slice {
				break
			}
		}
	}
	return l.clock.Now() - begun, false
}

const recordServedInterval = 10 * time.Minute
