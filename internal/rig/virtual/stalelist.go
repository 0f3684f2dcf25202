package virtual

import (
	"fmt"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/stalelist"
)

// StaleListMode selects how nodes use a stale list.
type StaleListMode int

// Modes. TrustList and DiscardList are control cases.
const (
	VerifyList  StaleListMode = iota // as real nodes do: entries are verified by their responses
	TrustList                        // all entries are taken as current
	DiscardList                      // nodes have no list until discovery is back
)

// StaleList starts all nodes of the first tier at once with a stale list, while discovery is unavailable.
type StaleList struct {
	Mode StaleListMode
	Age  time.Duration // of the list
	// StaleEntries is the number of entries in addition to the servers: half of them refuse connections, a quarter
	// never answer, and a quarter are other processes.
	StaleEntries int
	Outage       time.Duration // until discovery is back; each node has the list at most 300 ms later
	ColdServers  bool          // the servers have just started
}

// What answers at the address of a server that no longer exists. wrongProcess is another process, which answers with
// an error.
const (
	connectionRefused = 1 + iota
	noResponse
	wrongProcess
)

// addStaleEntries creates the entries of servers that no longer exist.
func (r *run) addStaleEntries() {
	staleList := r.config.StaleList
	if staleList == nil {
		return
	}
	for i := range staleList.StaleEntries {
		srv := &server{id: fmt.Sprintf("old-%05d-%08x", i, r.rng.Uint32()), site: i % max(1, r.config.Sites), index: 1_000_000 + i}
		srv.staleKind = [...]int{connectionRefused, connectionRefused, noResponse, wrongProcess}[i%4]
		r.serversByID[0][srv.id] = srv
		r.staleEntries = append(r.staleEntries, srv)
	}
	if staleList.ColdServers {
		for _, srv := range r.servers[0] {
			srv.started = r.balancerTime(0)
		}
	}
}

// startOnStaleList gives a starting node the stale list, and schedules the end of the outage of discovery.
func (r *run) startOnStaleList(n *node) {
	staleList := r.config.StaleList
	n.staleListEntries = map[string]decide.Server{}
	var entries []decide.Server
	var known []stalelist.Server
	for _, srv := range append(append([]*server{}, r.servers[0]...), r.staleEntries...) {
		entry := r.listEntry(srv, decide.Healthy)
		entry.Started = 0 // they started before the list was written
		entries = append(entries, entry)
		known = append(known, stalelist.Server{ID: srv.id, Rack: fmt.Sprint(entry.Zone, "/", entry.Cell)})
		n.staleListEntries[srv.id] = entry
	}
	switch staleList.Mode {
	case TrustList:
		r.applyList(n, decide.ListUpdate{Kind: decide.ListStored, Servers: entries})
	case DiscardList:
		r.applyList(n, decide.ListUpdate{Kind: decide.ListStored})
	default:
		work, share := 0.0, 0.0
		for _, class := range r.config.Classes {
			work, share = work+class.Share*class.Work.Seconds(), share+class.Share
		}
		n.priorRate = max(r.config.Rate/float64(len(entries)), share/work) / float64(max(1, r.config.Nodes))
		n.staleList = stalelist.New(stalelist.Settings{NodeName: n.name, NodeCount: r.settings.Nodes}, staleList.Age, true, known)
		r.applyListChanges(n, n.staleList.OfferFirst(r.now), decide.ListStored)
	}
	incarnation := n.incarnation
	r.at(r.now+staleList.Outage+time.Duration(r.rng.Float64()*float64(300*time.Millisecond)), func() {
		if n.dead || n.incarnation != incarnation {
			return
		}
		n.staleList, n.staleListEntries = nil, nil
		var current []decide.Server
		for _, srv := range r.servers[0] {
			if !srv.down {
				current = append(current, r.listEntry(srv, decide.Healthy))
			}
		}
		r.applyList(n, decide.ListUpdate{Kind: decide.ListFull, Servers: current})
	})
}

// applyList passes a list update to a node's balancer.
func (r *run) applyList(n *node, update decide.ListUpdate) {
	r.perform(n, n.balancer.HandleList(r.balancerTime(r.now), update, n.actionBuffer[:0]))
}

// applyListChanges tells a node's balancer which servers it may use, as a real node's event loop does.
func (r *run) applyListChanges(n *node, changes []stalelist.Change, kind decide.ListKind) {
	var servers []decide.Server
	for _, change := range changes {
		entry := n.staleListEntries[change.ID]
		if change.State == stalelist.Withdrawn {
			entry.Health = decide.Removed
		} else if !n.staleList.Fresh() {
			if change.State == stalelist.Trying {
				entry.Started = r.balancerTime(r.now)
				n.staleListEntries[change.ID] = entry
			}
			entry.Unverified = change.State == stalelist.Trying
		}
		servers = append(servers, entry)
	}
	update := decide.ListUpdate{Kind: kind, Servers: servers, PriorRate: n.priorRate, FleetSize: n.staleList.EstimatedAlive()}
	if n.staleList.Fresh() {
		update.PriorRate, update.FleetSize = 0, 0
	}
	r.applyList(n, update)
	r.scheduleListRetry(n)
}

// scheduleListRetry schedules the time at which failed servers of the stale list may be tried again.
func (r *run) scheduleListRetry(n *node) {
	at, ok := n.staleList.NextRetry()
	if !ok || n.nextRetryAt > r.now && n.nextRetryAt <= at {
		return
	}
	n.nextRetryAt = max(at, r.now+time.Millisecond)
	incarnation := n.incarnation
	r.at(n.nextRetryAt, func() {
		if n.dead || n.incarnation != incarnation || n.staleList == nil {
			return
		}
		n.nextRetryAt = 0
		if changes := n.staleList.OfferDue(r.now); len(changes) > 0 {
			r.applyListChanges(n, changes, decide.ListLocal)
			return
		}
		r.scheduleListRetry(n)
	})
}

// recordListResult records the outcome of an attempt in the estimates for a stale list.
func (r *run) recordListResult(n *node, id string, result decide.Result) {
	if n.staleList == nil {
		return
	}
	if changes := n.staleList.RecordResult(r.now, id, result); len(changes) > 0 {
		r.applyListChanges(n, changes, decide.ListLocal)
	} else {
		r.scheduleListRetry(n)
	}
}

// sendToStaleAddress simulates an attempt at the address of a server that no longer exists.
func (r *run) sendToStaleAddress(attempt *serverAttempt, timeout time.Duration) {
	r.result.StaleAttempts++
	switch attempt.server.staleKind {
	case connectionRefused:
		r.after(2*attempt.latency, func() { r.reportOutcome(attempt, decide.ConnectFailed) })
	case wrongProcess:
		r.result.WrongProcessAttempts++
		if r.config.Classes[attempt.request.class].Idempotency == decide.AtMostOnce {
			r.result.UnsafeMisdeliveries++
		}
		r.after(2*attempt.latency, func() { r.reportOutcome(attempt, decide.Errored) })
	default:
		r.after(timeout, func() { r.reportOutcome(attempt, decide.TimedOut) })
	}
}
