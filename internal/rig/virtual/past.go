package virtual

import (
	"fmt"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/stalelist"
)

// Arm is what nodes make of an old list.
type OldListMode int

// The arms.
const (
	VerifyList  OldListMode = iota // as a node with a memory does
	TrustList                      // control: all of it is as the list says
	DiscardList                    // control: there is none
)

// Past has all nodes of the first tier start at once on an old list, while discovery is out.
type OldList struct {
	Mode         OldListMode
	Age          time.Duration
	StaleEntries int           // entries beside the boxes: half refuse, a quarter hang, at the others something else answers
	Outage       time.Duration // until discovery answers, to each node within 300 ms
	ColdServers  bool          // the boxes have just started
}

// What stands at the address of a box that is no more.
const (
	connectionRefused = 1 + iota
	noResponse
	wrongProcess
)

// remember makes the entries that are no more.
func (r *run) addStaleEntries() {
	p := r.config.OldList
	if p == nil {
		return
	}
	for i := range p.StaleEntries {
		b := &server{id: fmt.Sprintf("old-%05d-%08x", i, r.rng.Uint32()), site: i % max(1, r.config.Sites), index: 1_000_000 + i}
		b.staleKind = [...]int{connectionRefused, connectionRefused, noResponse, wrongProcess}[i%4]
		r.serversByID[0][b.id] = b
		r.staleEntries = append(r.staleEntries, b)
	}
	if p.ColdServers {
		for _, b := range r.servers[0] {
			b.started = r.balancerTime(0)
		}
	}
}

// beginOld starts a node on what it remembers.
func (r *run) startOnOldList(n *node) {
	p := r.config.OldList
	n.oldEntries = map[string]decide.Server{}
	var all []decide.Server
	var known []stalelist.Server
	for _, b := range append(append([]*server{}, r.servers[0]...), r.staleEntries...) {
		e := r.listEntry(b, decide.Healthy)
		e.Started = 0 // as of the list's time: long ago
		all = append(all, e)
		known = append(known, stalelist.Server{ID: b.id, Rack: fmt.Sprint(e.Zone, "/", e.Cell)})
		n.oldEntries[b.id] = e
	}
	switch p.Mode {
	case TrustList:
		r.applyList(n, decide.ListUpdate{Kind: decide.ListStored, Servers: all})
	case DiscardList:
		r.applyList(n, decide.ListUpdate{Kind: decide.ListStored})
	default:
		work, share := 0.0, 0.0
		for _, c := range r.config.Classes {
			work, share = work+c.Share*c.Work.Seconds(), share+c.Share
		}
		n.priorRate = max(r.config.Rate/float64(len(all)), share/work) / float64(max(1, r.config.Nodes))
		n.staleList = stalelist.New(stalelist.Settings{NodeName: n.name, NodeCount: r.settings.Nodes}, p.Age, true, known)
		r.applyListChanges(n, n.staleList.OfferFirst(r.now), decide.ListStored)
	}
	life := n.incarnation
	r.at(r.now+p.Outage+time.Duration(r.rng.Float64()*float64(300*time.Millisecond)), func() {
		if n.dead || n.incarnation != life {
			return
		}
		n.staleList, n.oldEntries = nil, nil
		var now []decide.Server
		for _, b := range r.servers[0] {
			if !b.down {
				now = append(now, r.listEntry(b, decide.Healthy))
			}
		}
		r.applyList(n, decide.ListUpdate{Kind: decide.ListFull, Servers: now})
	})
}

func (r *run) applyList(n *node, m decide.ListUpdate) {
	r.perform(n, n.balancer.HandleList(r.balancerTime(r.now), m, n.actionBuffer[:0]))
}

// offer tells a module which servers it may try, as a node's loop does.
func (r *run) applyListChanges(n *node, offers []stalelist.Change, change decide.ListKind) {
	var servers []decide.Server
	for _, o := range offers {
		e := n.oldEntries[o.ID]
		if o.State == stalelist.Withdrawn {
			e.Health = decide.Removed
		} else if !n.staleList.Fresh() {
			if o.State == stalelist.Trying {
				e.Started = r.balancerTime(r.now)
				n.oldEntries[o.ID] = e
			}
			e.Unverified = o.State == stalelist.Trying
		}
		servers = append(servers, e)
	}
	m := decide.ListUpdate{Kind: change, Servers: servers, PriorRate: n.priorRate, FleetSize: n.staleList.EstimatedAlive()}
	if n.staleList.Fresh() {
		m.PriorRate, m.FleetSize = 0, 0
	}
	r.applyList(n, m)
	r.scheduleListRetry(n)
}

// tryAgain looks at those that failed once it is time.
func (r *run) scheduleListRetry(n *node) {
	at, ok := n.staleList.NextRetry()
	if !ok || n.nextRetryAt > r.now && n.nextRetryAt <= at {
		return
	}
	n.nextRetryAt = max(at, r.now+time.Millisecond)
	life := n.incarnation
	r.at(n.nextRetryAt, func() {
		if n.dead || n.incarnation != life || n.staleList == nil {
			return
		}
		n.nextRetryAt = 0
		if offers := n.staleList.OfferDue(r.now); len(offers) > 0 {
			r.applyListChanges(n, offers, decide.ListRestored)
			return
		}
		r.scheduleListRetry(n)
	})
}

// weigh takes an outcome for the doubts.
func (r *run) recordListResult(n *node, id string, result decide.Result) {
	if n.staleList == nil {
		return
	}
	if offers := n.staleList.RecordResult(r.now, id, result); len(offers) > 0 {
		r.applyListChanges(n, offers, decide.ListRestored)
	} else {
		r.scheduleListRetry(n)
	}
}

// sendOld is an attempt at an address where no box is any more.
func (r *run) sendToStaleAddress(t *serverAttempt, wait, way time.Duration) {
	life := t.node.incarnation
	r.result.StaleAttempts++
	switch t.server.staleKind {
	case connectionRefused:
		r.after(2*way, func() { r.reportOutcome(t, life, decide.ConnectFailed) })
	case wrongProcess:
		r.result.WrongProcessAttempts++
		if r.config.Classes[t.request.class].Idempotency == decide.AtMostOnce {
			r.result.UnsafeMisdeliveries++
		}
		r.after(2*way, func() { r.reportOutcome(t, life, decide.Errored) })
	default:
		r.after(wait, func() { r.reportOutcome(t, life, decide.TimedOut) })
	}
}
