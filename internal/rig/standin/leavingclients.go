package standin

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"curlewring/internal/rig/standin/judge"
)

const (
	pipelinedRequests = 2000 // that a leaving client writes behind one another
	// A leaving client closes its connection this long after its first byte.
	pipelineLeaveAfter = 30 * time.Millisecond
	requestLeaveAfter  = 4 * time.Millisecond
	leaveInterval      = 50 * time.Millisecond // between two connections of a leaving client
)

// leavingClient is a client that closes its connections before it has all answers.
type leavingClient struct {
	*Client
	class int
}

// leavingBehavior is what a leaving client does again and again.
type leavingBehavior struct {
	act         func(c *leavingClient, ctx context.Context, id string)
	interval    time.Duration // shortest time between two connections of a client
	idempotency judge.Idempotency
}

// leavingBehaviors returns what leaving clients may do, by name.
func leavingBehaviors() map[string]leavingBehavior {
	return map[string]leavingBehavior{
		"pipelined":  {(*leavingClient).pipelineAndLeave, leaveInterval, judge.Idempotent},
		"again":      {(*leavingClient).leaveAndSendAgain, leaveInterval, judge.Keyed},
		"unfinished": {(*leavingClient).beginAndReset, floodReconnectInterval, judge.Idempotent},
	}
}

// LeaveNames returns the names of what leaving clients may do, in alphabetical order.
func LeaveNames() []string { return slices.Sorted(maps.Keys(leavingBehaviors())) }

// startLeaving starts clients of a node that close their connections before they have all answers.
func startLeaving(f *Fleet, node, address string, count int, what string) (*ClientGroup, error) {
	behavior, ok := leavingBehaviors()[what]
	if !ok {
		return nil, fmt.Errorf("unknown clients %q; known are %s", what, strings.Join(LeaveNames(), ", "))
	}
	class := slices.IndexFunc(f.Plan.Classes, func(c Class) bool { return c.Idempotency == behavior.idempotency })
	if class < 0 {
		return nil, fmt.Errorf("no class of the plan has such requests")
	}
	return startGroup(count, func(ctx context.Context, number int) {
		c := &leavingClient{NewClient(node, address, &f.Plan, f.Clock, f.Judge), class}
		repeatEvery(ctx, behavior.interval, func(round int) {
			behavior.act(c, ctx, fmt.Sprintf("leave-%s-%d-%d", node, number, round))
		})
	}), nil
}

// request returns a request of the client's class.
func (c *leavingClient) request(id string) *Request {
	class := &c.plan.Classes[c.class]
	return &Request{ID: id, Class: c.class, Path: "/" + class.Name + "/" + id, Key: id, Timeout: class.Deadline, Body: []byte("x")}
}

// pipelineAndLeave writes many requests on one connection, reads answers, and closes it with most requests unanswered.
func (c *leavingClient) pipelineAndLeave(ctx context.Context, id string) {
	requests := make([]*Request, pipelinedRequests)
	var message []byte
	for n := range requests {
		requests[n] = c.request(fmt.Sprintf("%s-%d", id, n))
		message = append(message, c.encode(requests[n])...)
	}
	answered, sent := 0, 0
	withConn(ctx, c.address, func(conn net.Conn) {
		for _, r := range requests {
			c.judge.RequestSent(c.clock.Now(), r.ID, r.Class, c.Node, r.Timeout)
		}
		sent = len(requests)
		conn.SetDeadline(time.Now().Add(pipelineLeaveAfter))
		var writing ClientGroup
		writing.running.Go(func() { conn.Write(message) })
		reader := bufio.NewReader(conn)
		for ; answered < len(requests); answered++ {
			response, answeredBy, _, err := readAnswer(reader, requests[answered].ID)
			if err != nil {
				break
			}
			c.judge.RequestEnded(c.clock.Now(), requests[answered].ID, response.Outcome, answeredBy)
		}
		writing.running.Wait()
	})
	for _, r := range requests[answered:sent] {
		c.judge.RequestEnded(c.clock.Now(), r.ID, judge.ClientLeft, "")
	}
}

// beginAndReset sends the beginning of a request and resets the connection at once.
func (c *leavingClient) beginAndReset(ctx context.Context, id string) {
	message := c.encode(c.request(id))
	withConn(ctx, c.address, func(conn net.Conn) {
		conn.Write(message[:1])
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	})
}

// leaveAndSendAgain sends a request, leaves while a server works on it, and sends the same again. For the judge both are
// one request: the second may be sent on only if the first never ran.
func (c *leavingClient) leaveAndSendAgain(ctx context.Context, id string) {
	r := c.request(id)
	message, sent := c.encode(r), false
	withConn(ctx, c.address, func(conn net.Conn) {
		c.judge.RequestSent(c.clock.Now(), r.ID, r.Class, c.Node, r.Timeout)
		sent = true
		conn.SetDeadline(time.Now().Add(requestLeaveAfter))
		conn.Write(message)
		conn.Read(make([]byte, 1))
	})
	if !sent {
		return
	}
	response, answeredBy := Response{Outcome: judge.ClientLeft}, ""
	withConn(ctx, c.address, func(conn net.Conn) {
		conn.SetDeadline(time.Now().Add(r.Timeout))
		if _, err := conn.Write(message); err != nil {
			return
		}
		if answer, server, _, err := readAnswer(bufio.NewReader(conn), id); err == nil {
			response, answeredBy = answer, server
		}
	})
	c.judge.RequestEnded(c.clock.Now(), r.ID, response.Outcome, answeredBy)
}
