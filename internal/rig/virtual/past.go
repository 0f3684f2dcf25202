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
	nobody = 1 + iota
	silence
	stranger
)

// remember makes the entries that are no more.
func (r *run) remember() {
	p := r.c.OldList
	if p == nil {
		return
	}
	for i := range p.StaleEntries {
		b := &box{id: fmt.Sprintf("old-%05d-%08x", i, r.rng.Uint32()), site: i % max(1, r.c.Sites), index: 1_000_000 + i}
		b.stale = [...]int{nobody, nobody, silence, stranger}[i%4]
		r.byID[0][b.id] = b
		r.old = append(r.old, b)
	}
	if p.ColdServers {
		for _, b := range r.boxes[0] {
			b.started = r.start(0)
		}
	}
}

// beginOld starts a node on what it remembers.
func (r *run) beginOld(n *node) {
	p := r.c.OldList
	n.past = map[string]decide.Server{}
	var all []decide.Server
	var known []stalelist.Server
	for _, b := range append(append([]*box{}, r.boxes[0]...), r.old...) {
		e := r.entry(b, decide.Healthy)
		e.Started = 0 // as of the list's time: long ago
		all = append(all, e)
		known = append(known, stalelist.Server{ID: b.id, Rack: fmt.Sprint(e.Zone, "/", e.Cell)})
		n.past[b.id] = e
	}
	switch p.Mode {
	case TrustList:
		r.listed(n, decide.ListUpdate{Kind: decide.ListStored, Servers: all})
	case DiscardList:
		r.listed(n, decide.ListUpdate{Kind: decide.ListStored})
	default:
		work, share := 0.0, 0.0
		for _, c := range r.c.Classes {
			work, share = work+c.Share*c.Work.Seconds(), share+c.Share
		}
		n.rate = max(r.c.Rate/float64(len(all)), share/work) / float64(max(1, r.c.Nodes))
		n.doubts = stalelist.New(stalelist.Settings{NodeName: n.name, NodeCount: r.set.Nodes}, p.Age, true, known)
		r.offer(n, n.doubts.OfferFirst(r.now), decide.ListStored)
	}
	life := n.life
	r.at(r.now+p.Outage+time.Duration(r.rng.Float64()*float64(300*time.Millisecond)), func() {
		if n.dead || n.life != life {
			return
		}
		n.doubts, n.past = nil, nil
		var now []decide.Server
		for _, b := range r.boxes[0] {
			if !b.down {
				now = append(now, r.entry(b, decide.Healthy))
			}
		}
		r.listed(n, decide.ListUpdate{Kind: decide.ListFull, Servers: now})
	})
}

func (r *run) listed(n *node, m decide.ListUpdate) {
	r.carry(n, n.b.HandleList(r.start(r.now), m, n.buf[:0]))
}

// offer tells a module which servers it may try, as a node's loop does.
func (r *run) offer(n *node, offers []stalelist.Change, change decide.ListKind) {
	var servers []decide.Server
	for _, o := range offers {
		e := n.past[o.ID]
		if o.State == stalelist.Withdrawn {
			e.Health = decide.Removed
		} else if !n.doubts.Fresh() {
			if o.State == stalelist.Trying {
				e.Started = r.start(r.now)
				n.past[o.ID] = e
			}
			e.Unverified = o.State == stalelist.Trying
		}
		servers = append(servers, e)
	}
	m := decide.ListUpdate{Kind: change, Servers: servers, PriorRate: n.rate, FleetSize: n.doubts.EstimatedAlive()}
	if n.doubts.Fresh() {
		m.PriorRate, m.FleetSize = 0, 0
	}
	r.listed(n, m)
	r.tryAgain(n)
}

// tryAgain looks at those that failed once it is time.
func (r *run) tryAgain(n *node) {
	at, ok := n.doubts.NextRetry()
	if !ok || n.againAt > r.now && n.againAt <= at {
		return
	}
	n.againAt = max(at, r.now+time.Millisecond)
	life := n.life
	r.at(n.againAt, func() {
		if n.dead || n.life != life || n.doubts == nil {
			return
		}
		n.againAt = 0
		if offers := n.doubts.OfferDue(r.now); len(offers) > 0 {
			r.offer(n, offers, decide.ListRestored)
			return
		}
		r.tryAgain(n)
	})
}

// weigh takes an outcome for the doubts.
func (r *run) weigh(n *node, id string, result decide.Result) {
	if n.doubts == nil {
		return
	}
	if offers := n.doubts.RecordResult(r.now, id, result); len(offers) > 0 {
		r.offer(n, offers, decide.ListRestored)
	} else {
		r.tryAgain(n)
	}
}

// sendOld is an attempt at an address where no box is any more.
func (r *run) sendOld(t *task, wait, way time.Duration) {
	life := t.node.life
	r.result.StaleAttempts++
	switch t.box.stale {
	case nobody:
		r.after(2*way, func() { r.outcome(t, life, decide.ConnectFailed) })
	case stranger:
		r.result.WrongProcessAttempts++
		if r.c.Classes[t.call.class].Idempotency == decide.AtMostOnce {
			r.result.UnsafeMisdeliveries++
		}
		r.after(2*way, func() { r.outcome(t, life, decide.Errored) })
	default:
		r.after(wait, func() { r.outcome(t, life, decide.TimedOut) })
	}
}
