package leases

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/leaselog"
	"curlewring/internal/node/clock"
)

// Request is what an operator's tool asks a node for, one JSON object a line.
type Request struct {
	Do     string        // "hold", then "stopped"; "list", "force", "hand", "found", "standing"
	Lease  string        `json:",omitempty"`
	TTL    time.Duration `json:",omitempty"` // hold
	To     string        `json:",omitempty"` // hand: the node whose waiter is to have it
	Voters int           `json:",omitempty"` // found
	Names  []string      `json:",omitempty"` // found: in the place of a number
	Tokens uint64        `json:",omitempty"` // found: they begin above it
}

// Reply is what it is answered, one JSON object a line. A request but "hold" gets one.
type Reply struct {
	Error    string             `json:",omitempty"`
	Event    *lease.Event       `json:",omitempty"`
	Leases   []lease.Lease      `json:",omitempty"`
	Leader   string             `json:",omitempty"`
	Term     uint64             `json:",omitempty"`
	Answer   *lease.Answer      `json:",omitempty"`
	Standing *leaselog.Status   `json:",omitempty"`
	Seats    *leaselog.VoterSet `json:",omitempty"`
	Syncs    int64              `json:",omitempty"` // standing: of this node's disk, since its start
	Written  int64              `json:",omitempty"` // standing: bytes
}

const (
	maxOperatorConnections = 256
	eventBuffer            = 64
	maxRequestBytes        = 64 << 10
	requestTimeout         = 5 * time.Second
	writeTimeout           = 2 * time.Second
	callTimeout            = 30 * time.Second
)

// operator serves one connection.
func (l *Leases) serveConnection(ctx context.Context, c net.Conn) {
	c.SetReadDeadline(time.Now().Add(requestTimeout))
	in := json.NewDecoder(io.LimitReader(c, maxRequestBytes))
	var q Request
	if err := in.Decode(&q); err != nil {
		return
	}
	c.SetReadDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { c.SetReadDeadline(time.Unix(1, 0)) }) // what was set is gone
	defer stop()
	if q.Do == "hold" {
		l.serveHolder(ctx, c, in, &q)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan Reply, 1)
	say := func(r Reply) {
		select {
		case replies <- r:
		default:
		}
	}
	if err := l.call(ctx, func() { l.handleRequest(&q, say) }); err != nil {
		say(Reply{Error: err.Error()})
	}
	select {
	case r := <-replies:
		writeReply(c, r)
	case <-ctx.Done():
		writeReply(c, Reply{Error: "no answer in time"})
	}
}

func writeReply(c net.Conn, r Reply) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return json.NewEncoder(c).Encode(r)
}

// serve does what is asked on Run's goroutine.
func (l *Leases) handleRequest(q *Request, say func(Reply)) {
	fail := func(err error) { say(Reply{Error: err.Error()}) }
	now := clock.Boot()
	switch q.Do {
	case "standing":
		s := l.node.Status()
		say(Reply{Standing: &s, Syncs: l.writer.syncs.Load(), Written: l.writer.bytesWritten.Load()})
	case "found":
		l.updateMembers() // the view of now
		if err := l.node.FoundLog(now, q.Names, q.Voters, q.Tokens, func(s leaselog.VoterSet, err error) {
			r := Reply{Seats: &s}
			if err != nil {
				r.Error = err.Error()
			}
			say(r)
		}); err != nil {
			fail(err)
		}
	case "list":
		l.listLeases(func(all []lease.Lease, m *leaselog.LocalReply) { say(Reply{Leases: all, Leader: m.From, Term: m.Term}) }, fail)
	case "force":
		l.forceRelease(q, say, fail)
	case "hand":
		l.handOver(q, say, fail)
	default:
		fail(fmt.Errorf("%q is nothing that can be asked for", q.Do))
	}
}

// list asks the leader which leases there are.
func (l *Leases) listLeases(done func([]lease.Lease, *leaselog.LocalReply), fail func(error)) {
	pages := map[int][]lease.Lease{}
	first := &leaselog.LocalReply{}
	a := &query{onError: fail, onReply: func(m *leaselog.LocalReply) bool {
		if m.Term != first.Term || m.From != first.From { // another leader's
			first = m
			clear(pages)
		}
		pages[m.Page] = m.Leases
		if len(pages) < m.Pages {
			return false
		}
		var all []lease.Lease
		for i := range m.Pages {
			all = append(all, pages[i]...)
		}
		done(all, m)
		return true
	}}
	a.send = func(try int) error { return l.node.RequestLeaseList(clock.Boot(), a.ref, try) }
	l.startQuery(a)
}

// force takes a lease from who holds it now, and from nobody else if the word has to be said again.
func (l *Leases) forceRelease(q *Request, say func(Reply), fail func(error)) {
	l.listLeases(func(all []lease.Lease, _ *leaselog.LocalReply) {
		for i := range all {
			if all[i].Name != q.Lease || all[i].Holder.Life == 0 {
				continue
			}
			a := &query{onError: fail, onReply: func(m *leaselog.LocalReply) bool {
				say(Reply{Answer: &m.Answer, Leader: m.From})
				return true
			}}
			x := lease.Command{Op: lease.ForceRelease, Lease: q.Lease, Token: all[i].Token}
			a.send = func(try int) error { return l.node.SendLeaseCommand(clock.Boot(), x, a.ref, try) }
			l.startQuery(a)
			return
		}
		fail(fmt.Errorf("nobody holds %q", q.Lease))
	}, fail)
}

// handOn has the tenant of this node that holds a lease give it to another node's waiter.
func (l *Leases) handOver(q *Request, say func(Reply), fail func(error)) {
	var own *lease.Client
	for _, h := range l.sessions {
		if h.client.Lease() == q.Lease && h.client.Phase() == lease.Holding {
			own = h.client
		}
	}
	if own == nil {
		fail(fmt.Errorf("%q is not held at this node: ask the node that holds it", q.Lease))
		return
	}
	l.listLeases(func(all []lease.Lease, _ *leaselog.LocalReply) {
		for i := range all {
			if all[i].Name != q.Lease {
				continue
			}
			for _, w := range all[i].Waiters {
				if w.Holder.Name == q.To {
					own.Stop(clock.Boot(), w.Holder)
					say(Reply{})
					return
				}
			}
		}
		fail(fmt.Errorf("%s does not wait for %q", q.To, q.Lease))
	}, fail)
}

// serveHolder holds a lease for as long as the connection's user wants it. A connection that ends before its user has said
// that it stopped leaves the lease to run out: nobody knows whether it still acts.
func (l *Leases) serveHolder(ctx context.Context, c net.Conn, in *json.Decoder, q *Request) {
	events := make(chan lease.Event, eventBuffer)
	var t *lease.Client
	var wrong error
	tell := func(e lease.Event) bool {
		select {
		case events <- e:
			return true
		default:
			return false
		}
	}
	if err := l.call(ctx, func() { t, wrong = l.startSession(q.Lease, q.TTL, tell) }); err != nil || wrong != nil {
		writeReply(c, Reply{Error: errors.Join(err, wrong).Error()})
		return
	}
	if writeReply(c, Reply{}) != nil { // it is asked for
		l.call(ctx, t.Abandon)
		return
	}
	gone := make(chan struct{})
	go func() { // ends with the connection
		defer close(gone)
		for {
			var more Request
			if in.Decode(&more) != nil {
				return
			}
			now := clock.Boot()
			switch more.Do {
			case "stop": // it wants no more, and says when it has stopped
				l.call(ctx, func() { t.Stop(now, lease.Holder{}) })
			case "stopped":
				l.call(ctx, func() {
					t.ActsEnded(clock.Boot())
					t.Stop(clock.Boot(), lease.Holder{})
				})
			}
		}
	}()
	over := false
	for !over {
		select {
		case e := <-events:
			over = e.Kind == lease.PhaseChanged && e.Phase == lease.Over
			if writeReply(c, Reply{Event: &e}) != nil {
				over = true
			}
		case <-gone:
			over = true
		case <-l.done:
			over = true
		}
	}
	l.call(ctx, func() {
		if t.Phase() != lease.Over {
			t.Abandon()
		}
	})
	c.Close()
	<-gone
}
