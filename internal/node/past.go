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
type past struct {
	keeper  *persist.Writer
	known   persist.Restored
	table   *stalelist.Table // nil: discovery has spoken, or the list is young and trusted as it is
	entries map[string]endpoints.Entry
	answers float64 // a second, averaged
	served  float64 // since the last sweep
	took    float64 // s; mean time of an answer
	seen    float64 // answers that it is the mean of, up to tookMemory
	address string  // of discovery
	handed  bool    // the list is another node's
}

const (
	leastRate     = 1e-3 // answers a second of a server, where the last life has measured none
	tookMemory    = 255  // answers over which the time of one is averaged
	rateMemory    = 60   // sweeps over which answers a second are averaged
	rememberEvery = 30   // sweeps between two looks at which servers have served
	mostNoted     = 256
)

// doubts tells whether discovery has not spoken since the start.
func (p *past) doubts() bool { return p != nil && p.table != nil }

// rate is what each server answered each node a second in the last life, as long as that is all there is to go by.
func (p *past) rate() float64 {
	if !p.doubts() || p.table.Fresh() {
		return 0
	}
	return max(p.known.List.ServerRate, leastRate)
}

// there is how many servers there are likely to be, as long as not all are offered.
func (p *past) there() int {
	if !p.doubts() || p.table.Fresh() {
		return 0
	}
	return p.table.EstimatedAlive()
}

// since is the generation that the first watch may ask from; nil: it must ask for the whole list.
func (p *past) since(known *endpoints.List) *uint64 {
	var since *uint64
	if known != nil {
		since = &known.Generation
	}
	if p == nil || len(p.known.Servers) == 0 {
		return since
	}
	if p.known.List.Consistent && (since == nil || p.known.List.Generation >= *since) {
		return &p.known.List.Generation
	}
	if since != nil && *since > p.known.List.Generation {
		return since
	}
	return nil // rows of some generation, nobody knows which
}

// entry is a server in the list's form.
func entry(s *serverdb.Server) endpoints.Entry {
	health := [...]decide.Health{serverdb.Serving: decide.Healthy, serverdb.Draining: decide.Draining, serverdb.Gone: decide.Removed}
	return endpoints.Entry{
		Server: decide.Server{
			ID: s.ID, Zone: s.Zone, Cell: s.Cell, Weight: s.Weight, Started: s.Started, Health: health[s.State],
		},
		Address: s.Address,
	}
}

// row is an entry as the memory keeps it.
func row(e *endpoints.Entry, wall time.Time) serverdb.Server {
	state := [...]serverdb.State{decide.Healthy: serverdb.Serving, decide.Draining: serverdb.Draining, decide.Removed: serverdb.Gone}
	return serverdb.Server{
		ID: e.ID, Address: e.Address, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight, Started: e.Started,
		State: state[e.Health], StateSince: wall,
	}
}

// newPast merges what the keeper found with the configuration's list.
func newPast(k *persist.Writer, known persist.Restored, c *Config, wall time.Time) *past {
	p := &past{keeper: k, known: known, entries: map[string]endpoints.Entry{}, address: c.Discovery}
	if c.KnownServers != nil {
		brought := make([]serverdb.Server, len(c.KnownServers.Entries))
		for i := range c.KnownServers.Entries {
			brought[i] = row(&c.KnownServers.Entries[i], wall)
		}
		p.known.Servers = serverdb.Merge(p.known.Servers, brought)
	}
	return p
}

// recall begins with what is left of the last life.
func (l *loop) recall() {
	p := l.past
	all := &endpoints.List{Generation: p.known.List.Generation, Whole: true}
	var serving []stalelist.Server
	for i := range p.known.Servers {
		e := entry(&p.known.Servers[i])
		all.Entries = append(all.Entries, e)
		if e.Health == decide.Healthy {
			p.entries[e.ID] = e
			serving = append(serving, stalelist.Server{ID: e.ID, Rack: fmt.Sprint(e.Zone, "/", e.Cell)})
		}
	}
	l.view.Restore(all)
	age, known := p.known.List.Age(l.clock.WallTime(l.now))
	if !known && len(p.known.Servers) > 0 && p.known.List.Confirmed.IsZero() {
		age, known = 0, true // the configuration's list alone: the platform's word, as without a memory
	}
	p.table = stalelist.New(stalelist.Settings{NodeName: p.known.Node, NodeCount: l.set.Nodes}, age, known, serving)
	if len(serving) > 0 {
		l.log.Info("the node remembers", "servers", len(serving), "age", age.Round(time.Second).String(), "age known", known,
			"generation", p.known.List.Generation, "complete", p.known.List.Consistent, "trusted", p.table.Fresh())
	}
	l.members(&endpoints.List{Entries: l.offered(p.table.OfferFirst(l.now))}, decide.ListStored)
	l.retry()
}

// offered are offers in the list's form.
func (l *loop) offered(offers []stalelist.Change) []endpoints.Entry {
	p := l.past
	entries := make([]endpoints.Entry, 0, len(offers))
	for _, o := range offers {
		e := p.entries[o.ID]
		switch {
		case o.State == stalelist.Withdrawn:
			e.Health = decide.Removed
		case p.table.Fresh():
		default:
			// Nobody knows when what answers there started: as far as this node knows, just now. Once it is proven
			// it keeps the start that it was offered with.
			if o.State == stalelist.Trying {
				e.Started = l.now
				p.entries[o.ID] = e
			}
			e.Unverified = o.State == stalelist.Trying
		}
		entries = append(entries, e)
	}
	return entries
}

// tried takes how an attempt ended, for the doubt and for the memory.
func (l *loop) tried(server string, r decide.Result, took time.Duration) {
	p := l.past
	if r == decide.Served {
		p.served++
		p.took += (max(took, time.Microsecond).Seconds() - p.took) / (p.seen + 1)
		p.seen = min(p.seen+1, tookMemory)
		if x := l.peers[server]; x != nil {
			x.served = l.now
		}
	}
	if p.table == nil {
		return
	}
	if offers := p.table.RecordResult(l.now, server, r); len(offers) > 0 {
		l.members(&endpoints.List{Entries: l.offered(offers)}, decide.ListRestored)
	}
	l.retry()
}

// retry tries again what failed, once it is time.
func (l *loop) retry() {
	at, ok := l.past.table.NextRetry()
	if !ok || l.retryAt > l.now && l.retryAt <= at {
		return
	}
	l.retryAt = max(at, l.now+time.Millisecond) // whatever is due by now has had its turn
	l.at(l.retryAt, timer{do: func() {
		l.retryAt = 0
		if !l.past.doubts() {
			return
		}
		if offers := l.past.table.OfferDue(l.now); len(offers) > 0 {
			l.members(&endpoints.List{Entries: l.offered(offers)}, decide.ListRestored)
		}
		l.retry()
	}})
}

// confirmed ends the doubt: discovery has spoken. All that it has not taken back is as it says; what was tried and is
// not named gets nothing more.
func (l *loop) confirmed() []endpoints.Entry {
	trying, proven, rest := l.past.table.Counts()
	l.log.Info("discovery has spoken", "tried", trying, "proven", proven, "not tried", rest, "serving", l.view.Serving())
	l.past.table, l.past.entries = nil, nil
	all := l.view.Published()
	named := make(map[string]bool, len(all))
	for i := range all {
		named[all[i].ID] = true
	}
	for id := range l.peers {
		if !named[id] {
			all = append(all, endpoints.Entry{Server: decide.Server{ID: id, Health: decide.Removed}})
		}
	}
	return all
}

// remember tells the keeper of a list, and of what changed with it.
func (l *loop) remember(m *endpoints.List, changes []endpoints.Entry) {
	p := l.past
	if p == nil || p.keeper == nil {
		return
	}
	wall := l.clock.WallTime(l.now)
	for i := range changes {
		p.keeper.RecordServer(serverdb.Observation{Server: row(&changes[i], wall), FromDiscovery: true})
	}
	if m != nil {
		p.keeper.ConfirmList(serverdb.List{
			Generation: m.Generation, Discovery: p.address, Confirmed: wall, ServerRate: l.perServer(), ServingCount: l.view.Serving(),
		})
	}
}

// perServer is what each server surely answers a second, as this node's part among all: what it did answer, were all
// nodes to use all alike, or what it can as it answers one request after another.
func (l *loop) perServer() float64 {
	p, rate := l.past, 0.0
	if n := l.view.Serving(); n > 0 {
		rate = p.answers / float64(n)
	}
	if p.seen == tookMemory {
		rate = max(rate, 1/(p.took*float64(max(1, l.set.Nodes))))
	}
	return rate
}

// average is called with each sweep: it follows the answers a second, and has what served remembered.
func (l *loop) average() {
	p := l.past
	p.answers += (p.served - p.answers) / rateMemory
	p.served = 0
}

// noteServed tells the keeper which servers have served of late, as background work.
func (l *loop) noteServed(slice time.Duration) (took time.Duration, more bool) {
	begun := l.clock.Now()
	noted := 0
	for _, x := range l.peers { // in any order: what is left comes with the next look
		if x.served > x.noted+servedStep {
			x.noted = x.served
			l.past.keeper.RecordServer(serverdb.Observation{Server: serverdb.Server{ID: x.ID, LastServed: l.clock.WallTime(x.served)}})
			if noted++; noted == mostNoted || l.clock.Now() > begun+slice {
				break
			}
		}
	}
	return l.clock.Now() - begun, false
}

const servedStep = 10 * time.Minute
