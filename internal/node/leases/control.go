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

// Request is a request of an operator's tool to a node: one JSON object per line.
type Request struct {
	Do     string        // "hold", followed by "stop" and "stopped"; "list", "force", "hand", "found", "standing"
	Lease  string        `json:",omitempty"`
	TTL    time.Duration `json:",omitempty"` // for "hold"
	To     string        `json:",omitempty"` // for "hand": the node whose waiting client is to get the lease
	Voters int           `json:",omitempty"` // for "found": number of voters
	Names  []string      `json:",omitempty"` // for "found": the voters by name, instead of their number
	Tokens uint64        `json:",omitempty"` // for "found": tokens are issued above this one
}

// Reply is a node's answer: one JSON object per line. Each request gets one reply; "hold" gets one
// that confirms the request, and then one per event.
type Reply struct {
	Error    string             `json:",omitempty"`
	Event    *lease.Event       `json:",omitempty"`
	Leases   []lease.Lease      `json:",omitempty"`
	Leader   string             `json:",omitempty"`
	Term     uint64             `json:",omitempty"`
	Answer   *lease.Answer      `json:",omitempty"`
	Standing *leaselog.Status   `json:",omitempty"`
	Seats    *leaselog.VoterSet `json:",omitempty"`
	Syncs    int64              `json:",omitempty"` // for "standing": syncs of this node's disk since its start
	Written  int64              `json:",omitempty"` // for "standing": bytes written to it
}

const (
	maxOperatorConnections = 256
	eventBuffer            = 64
	maxRequestBytes        = 64 << 10
	requestTimeout         = 5 * time.Second
	writeTimeout           = 2 * time.Second
	callTimeout            = 30 * time.Second
)

// serveConnection serves one operator's connection.
func (l *Leases) serveConnection(ctx context.Context, conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(requestTimeout))
	decoder := json.NewDecoder(io.LimitReader(conn, maxRequestBytes))
	var request Request
	if err := decoder.Decode(&request); err != nil {
		return
	}
	conn.SetReadDeadline(time.Time{})
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) }) // overrides any other deadline
	defer stop()
	if request.Do == "hold" {
		l.serveHolder(ctx, conn, decoder, &request)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make(chan Reply, 1)
	reply := func(answer Reply) {
		select {
		case replies <- answer:
		default:
		}
	}
	if err := l.call(ctx, func() { l.handleRequest(&request, reply) }); err != nil {
		reply(Reply{Error: err.Error()})
	}
	select {
	case answer := <-replies:
		writeReply(conn, answer)
	case <-ctx.Done():
		writeReply(conn, Reply{Error: "the request timed out"})
	}
}

func writeReply(conn net.Conn, reply Reply) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return json.NewEncoder(conn).Encode(reply)
}

// handleRequest handles one request on Run's goroutine.
func (l *Leases) handleRequest(request *Request, reply func(Reply)) {
	replyError := func(err error) { reply(Reply{Error: err.Error()}) }
	now := clock.Boot()
	switch request.Do {
	case "standing":
		status := l.node.Status()
		reply(Reply{Standing: &status, Syncs: l.writer.syncs.Load(), Written: l.writer.bytesWritten.Load()})
	case "found":
		l.updateMembers() // the log is founded with the current members
		if err := l.node.FoundLog(now, request.Names, request.Voters, request.Tokens, func(voters leaselog.VoterSet, err error) {
			answer := Reply{Seats: &voters}
			if err != nil {
				answer.Error = err.Error()
			}
			reply(answer)
		}); err != nil {
			replyError(err)
		}
	case "list":
		l.listLeases(func(all []lease.Lease, page *leaselog.LocalReply) {
			reply(Reply{Leases: all, Leader: page.From, Term: page.Term})
		}, replyError)
	case "force":
		l.forceRelease(request, reply, replyError)
	case "hand":
		l.handOver(request, reply, replyError)
	default:
		replyError(fmt.Errorf("leases: unknown request %q", request.Do))
	}
}

// listLeases requests all leases from the leader.
func (l *Leases) listLeases(onDone func([]lease.Lease, *leaselog.LocalReply), onError func(error)) {
	pages := map[int][]lease.Lease{}
	first := &leaselog.LocalReply{}
	q := &query{onError: onError, onReply: func(page *leaselog.LocalReply) bool {
		if page.Term != first.Term || page.From != first.From { // pages of another leader
			first = page
			clear(pages)
		}
		pages[page.Page] = page.Leases
		if len(pages) < page.Pages {
			return false
		}
		var all []lease.Lease
		for i := range page.Pages {
			all = append(all, pages[i]...)
		}
		onDone(all, page)
		return true
	}}
	q.send = func(attempt int) error { return l.node.RequestLeaseList(clock.Boot(), q.ref, attempt) }
	l.startQuery(q)
}

// forceRelease takes a lease from its present holder. The command carries the holder's token, so
// that a retry cannot take the lease from its successor.
func (l *Leases) forceRelease(request *Request, reply func(Reply), onError func(error)) {
	l.listLeases(func(all []lease.Lease, _ *leaselog.LocalReply) {
		for i := range all {
			if all[i].Name != request.Lease || all[i].Holder.Life == 0 {
				continue
			}
			q := &query{onError: onError, onReply: func(message *leaselog.LocalReply) bool {
				reply(Reply{Answer: &message.Answer, Leader: message.From})
				return true
			}}
			command := lease.Command{Op: lease.ForceRelease, Lease: request.Lease, Token: all[i].Token}
			q.send = func(attempt int) error { return l.node.SendLeaseCommand(clock.Boot(), command, q.ref, attempt) }
			l.startQuery(q)
			return
		}
		onError(fmt.Errorf("lease %q is not held", request.Lease))
	}, onError)
}

// handOver makes this node's client that holds a lease pass it to the waiting client of another
// node.
func (l *Leases) handOver(request *Request, reply func(Reply), onError func(error)) {
	var holder *lease.Client
	for _, s := range l.sessions {
		if s.client.Lease() == request.Lease && s.client.Phase() == lease.Holding {
			holder = s.client
		}
	}
	if holder == nil {
		onError(fmt.Errorf("lease %q is not held at this node: send the request to the node that holds it", request.Lease))
		return
	}
	l.listLeases(func(all []lease.Lease, _ *leaselog.LocalReply) {
		for i := range all {
			if all[i].Name != request.Lease {
				continue
			}
			for _, waiter := range all[i].Waiters {
				if waiter.Holder.Name == request.To {
					holder.Stop(clock.Boot(), waiter.Holder)
					reply(Reply{})
					return
				}
			}
		}
		onError(fmt.Errorf("node %s has no client waiting for lease %q", request.To, request.Lease))
	}, onError)
}

// serveHolder holds a lease for as long as the connection's user wants it. If the connection ends
// before the user has confirmed that it stopped, the lease is left to expire, since the user may
// still be acting under it.
func (l *Leases) serveHolder(ctx context.Context, conn net.Conn, decoder *json.Decoder, request *Request) {
	events := make(chan lease.Event, eventBuffer)
	var client *lease.Client
	var startErr error
	notify := func(event lease.Event) bool {
		select {
		case events <- event:
			return true
		default:
			return false
		}
	}
	if err := l.call(ctx, func() { client, startErr = l.startSession(request.Lease, request.TTL, notify) }); err != nil || startErr != nil {
		writeReply(conn, Reply{Error: errors.Join(err, startErr).Error()})
		return
	}
	if writeReply(conn, Reply{}) != nil { // confirms that the lease is requested
		l.call(ctx, client.Abandon)
		return
	}
	connClosed := make(chan struct{})
	go func() { // ends with the connection
		defer close(connClosed)
		for {
			var next Request
			if decoder.Decode(&next) != nil {
				return
			}
			now := clock.Boot()
			switch next.Do {
			case "stop": // the lease is no longer wanted; "stopped" follows when the user has stopped
				l.call(ctx, func() { client.Stop(now, lease.Holder{}) })
			case "stopped":
				l.call(ctx, func() {
					client.EndActs(clock.Boot())
					client.Stop(clock.Boot(), lease.Holder{})
				})
			}
		}
	}()
	finished := false
	for !finished {
		select {
		case event := <-events:
			finished = event.Kind == lease.PhaseChanged && event.Phase == lease.Over
			if writeReply(conn, Reply{Event: &event}) != nil {
				finished = true
			}
		case <-connClosed:
			finished = true
		case <-l.done:
			finished = true
		}
	}
	l.call(ctx, func() {
		if client.Phase() != lease.Over {
			client.Abandon()
		}
	})
	conn.Close()
	<-connClosed
}
