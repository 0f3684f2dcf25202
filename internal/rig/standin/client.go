package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewring/internal/budget"
	"curlewring/internal/rig/standin/judge"
)

// Ask is one request to a node.
type Request struct {
	ID           string
	Class        int
	Path         string
	Key          string
	Timeout      time.Duration // X-Remaining-Ms; the caller leaves a little later
	Body         []byte
	IsRetry      bool
	Tenant       string
	BudgetHeader string // curlewring's budget header, handed on; "": none
}

// Answer is how a request ended for its caller.
type Response struct {
	Outcome     judge.RequestOutcome
	RetryAfter  time.Duration
	Took        time.Duration
	Status      int
	NotSent     bool   // no node has taken it
	SpentHeader string // curlewring's word of what was spent of a budget
}

// patience is how long a caller listens after its time is up, to find out
// whether an answer would still have come.
const timeoutGrace = 500 * time.Millisecond

// Client is a caller of one node. It keeps its connections, sends one request at
// a time on each, and opens more when all are busy. It is written on the sockets
// because http.Transport sends requests again by itself.
type Client struct {
	Node    string // as the judge knows it
	address string
	plan    *Plan
	clock   Clock
	judge   *judge.Judge

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
	opened int
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// NewClient returns a caller of the node at an address.
func NewClient(node, address string, plan *Plan, clock Clock, j *judge.Judge) *Client {
	return &Client{Node: node, address: address, plan: plan, clock: clock, judge: j}
}

// Close ends the idle connections, and those in use with their answer.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func (c *Client) getConn(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.opened++
	c.mu.Unlock()
	d := net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *Client) putConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	conn.used = true
	conn.SetDeadline(time.Time{})
	c.idle = append(c.idle, conn)
}

// encode writes a request as it stands on the wire.
func (c *Client) encode(a *Request) []byte {
	class := &c.plan.Classes[a.Class]
	var b strings.Builder
	method := "POST"
	if class.Idempotency == judge.Idempotent {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n",
		method, a.Path, a.ID, class.Name, max(1, a.Timeout.Milliseconds()))
	if a.Tenant != "" {
		fmt.Fprintf(&b, "X-Org: %s\r\n", a.Tenant)
	}
	if a.BudgetHeader != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", budget.HeaderName, a.BudgetHeader)
	}
	if a.IsRetry {
		b.WriteString("X-Resent: 1\r\n")
	}
	if class.Idempotency == judge.Keyed {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.Body))
	}
	b.WriteString("\r\n")
	if method == "POST" {
		b.Write(a.Body)
	}
	return []byte(b.String())
}

// Do asks once and tells the judge what became of it. Ending the context makes
// the caller leave.
func (c *Client) Do(ctx context.Context, a Request) Response {
	begun := c.clock.Now()
	answer, maker := c.send(ctx, &a)
	answer.Took = c.clock.Now() - begun
	if answer.NotSent {
		c.judge.RequestNotSent(a.ID)
	} else {
		c.judge.RequestEnded(c.clock.Now(), a.ID, answer.Outcome, maker)
	}
	return answer
}

// errCrossed says that the node closed an idle connection while a request was
// written to it: it was never read, and goes out once more on a new one.
var errIdleConnClosed = errors.New("the node closed the connection between requests")

// errDoor says that the node closed a new connection with nothing sent on it. If
// no box has the request either, it has failed, and is not lost: a node that has
// no room for connections may turn them back so.
var errNewConnClosed = errors.New("the node closed a new connection")

func (c *Client) send(ctx context.Context, a *Request) (Response, string) {
	message := c.encode(a)
	for {
		conn, err := c.getConn(ctx)
		if err != nil {
			return Response{Outcome: judge.ConnectionLost, NotSent: true}, ""
		}
		answer, maker, err := c.sendOn(ctx, conn, a, message)
		if err == nil {
			return answer, maker
		}
		conn.Close()
		if errors.Is(err, errIdleConnClosed) && !c.judge.ReachedServer(a.ID) {
			continue
		}
		if errors.Is(err, errNewConnClosed) && !c.judge.ReachedServer(a.ID) {
			return Response{Outcome: judge.Failed}, ""
		}
		var timeout net.Error
		if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
			return Response{Outcome: judge.ClientLeft}, ""
		}
		return Response{Outcome: judge.ConnectionLost}, ""
	}
}

// on makes a request on a connection.
func (c *Client) sendOn(ctx context.Context, conn *clientConn, a *Request, message []byte) (Response, string, error) {
	used := conn.used
	conn.SetDeadline(time.Now().Add(a.Timeout + timeoutGrace))
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.judge.RequestSent(c.clock.Now(), a.ID, a.Class, c.Node, a.Timeout)
	if _, err := conn.Write(message); err != nil {
		if used {
			return Response{}, "", errIdleConnClosed
		}
		return Response{}, "", fmt.Errorf("writing: %w", err)
	}
	if _, err := conn.reader.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return Response{}, "", fmt.Errorf("reading: %w", err)
		}
		if used {
			return Response{}, "", errIdleConnClosed
		}
		return Response{}, "", errNewConnClosed
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return Response{}, "", fmt.Errorf("reading: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, "", fmt.Errorf("reading the body: %w", err)
	}
	answer := Response{Status: resp.StatusCode, SpentHeader: resp.Header.Get(budget.SpentHeaderName)}
	maker := ""
	switch resp.StatusCode {
	case http.StatusOK:
		answer.Outcome = judge.Served
		if box, id, _ := strings.Cut(strings.TrimSuffix(string(body), "\n"), " "); id == a.ID {
			maker = box
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		answer.Outcome = judge.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			answer.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		answer.Outcome = judge.Failed
	}
	if resp.Close || !stop() {
		conn.Close()
	} else {
		c.putConn(conn)
	}
	return answer, maker, nil
}

// Opened is how many connections it has opened.
func (c *Client) ConnsOpened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}
