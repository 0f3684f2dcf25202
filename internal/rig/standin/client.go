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

// Request is one request to a node.
type Request struct {
	ID           string
	Class        int
	Path         string
	Key          string
	Timeout      time.Duration // sent as X-Remaining-Ms; the client disconnects timeoutGrace later
	Body         []byte
	IsRetry      bool
	Tenant       string
	BudgetHeader string // curlewring's budget header, passed on; "": none
}

// Response is the result of a request for its client.
type Response struct {
	Outcome     judge.RequestOutcome
	RetryAfter  time.Duration
	Took        time.Duration
	Status      int
	NotSent     bool   // the request never reached a node
	SpentHeader string // curlewring's header with the spent part of a budget
}

// timeoutGrace is how long a client still reads after its timeout, to detect answers that come too late.
const timeoutGrace = 500 * time.Millisecond

// Client sends requests to one node. It keeps its connections open, sends one request at a time on each, and
// opens another one when all are busy. It implements HTTP/1.1 on sockets because http.Transport retries
// requests by itself.
type Client struct {
	Node    string // name reported to the judge
	address string
	plan    *Plan
	clock   Clock
	judge   *judge.Judge

	mu          sync.Mutex
	idle        []*clientConn
	closed      bool
	opened      int
	unavailable bool // the node is restarting: nothing is sent to it
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// NewClient returns a client of the node at an address.
func NewClient(node, address string, plan *Plan, clock Clock, j *judge.Judge) *Client {
	return &Client{Node: node, address: address, plan: plan, clock: clock, judge: j}
}

// Close closes idle connections at once, and those in use after their answer.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// SetAvailable sets whether the node may be used. Requests to an unavailable node are not sent.
func (c *Client) SetAvailable(available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailable = !available
}

// errNodeUnavailable means that the node may not be used at the moment.
var errNodeUnavailable = errors.New("the node is not available")

func (c *Client) getConn(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	if c.unavailable {
		c.mu.Unlock()
		return nil, errNodeUnavailable
	}
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

// encode returns a request in its wire format.
func (c *Client) encode(req *Request) []byte {
	class := &c.plan.Classes[req.Class]
	var b strings.Builder
	method := "POST"
	if class.Idempotency == judge.Idempotent {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n",
		method, req.Path, req.ID, class.Name, max(1, req.Timeout.Milliseconds()))
	if req.Tenant != "" {
		fmt.Fprintf(&b, "X-Org: %s\r\n", req.Tenant)
	}
	if req.BudgetHeader != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", budget.HeaderName, req.BudgetHeader)
	}
	if req.IsRetry {
		b.WriteString("X-Resent: 1\r\n")
	}
	if class.Idempotency == judge.Keyed {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", req.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	if method == "POST" {
		b.Write(req.Body)
	}
	return []byte(b.String())
}

// Do sends a request and reports the result to the judge. If the context ends, the client disconnects.
func (c *Client) Do(ctx context.Context, req Request) Response {
	start := c.clock.Now()
	response, answeredBy := c.send(ctx, &req)
	response.Took = c.clock.Now() - start
	if response.NotSent {
		c.judge.RequestNotSent(req.ID)
	} else {
		c.judge.RequestEnded(c.clock.Now(), req.ID, response.Outcome, answeredBy)
	}
	return response
}

// errIdleConnClosed means that the node closed an idle connection while a request was written to it. The
// request was never read and is sent again on another connection.
var errIdleConnClosed = errors.New("the node closed the connection between requests")

// errNewConnClosed means that the node closed a new connection without sending anything. If no server has the
// request either, it counts as failed rather than lost: a node at its connection limit may refuse connections
// in this way.
var errNewConnClosed = errors.New("the node closed a new connection")

func (c *Client) send(ctx context.Context, req *Request) (Response, string) {
	message := c.encode(req)
	for {
		conn, err := c.getConn(ctx)
		if err != nil {
			return Response{Outcome: judge.ConnectionLost, NotSent: true}, ""
		}
		response, answeredBy, err := c.sendOn(ctx, conn, req, message)
		if err == nil {
			return response, answeredBy
		}
		conn.Close()
		if errors.Is(err, errIdleConnClosed) && !c.judge.ReachedServer(req.ID) {
			continue
		}
		if errors.Is(err, errNewConnClosed) && !c.judge.ReachedServer(req.ID) {
			return Response{Outcome: judge.Failed}, ""
		}
		var timeout net.Error
		if ctx.Err() != nil || errors.As(err, &timeout) && timeout.Timeout() {
			return Response{Outcome: judge.ClientLeft}, ""
		}
		return Response{Outcome: judge.ConnectionLost}, ""
	}
}

// sendOn sends a request on a connection and reads the response.
func (c *Client) sendOn(ctx context.Context, conn *clientConn, req *Request, message []byte) (Response, string, error) {
	used := conn.used
	conn.SetDeadline(time.Now().Add(req.Timeout + timeoutGrace))
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.judge.RequestSent(c.clock.Now(), req.ID, req.Class, c.Node, req.Timeout)
	if _, err := conn.Write(message); err != nil {
		if used {
			return Response{}, "", errIdleConnClosed
		}
		return Response{}, "", fmt.Errorf("write request: %w", err)
	}
	if _, err := conn.reader.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return Response{}, "", fmt.Errorf("read response: %w", err)
		}
		if used {
			return Response{}, "", errIdleConnClosed
		}
		return Response{}, "", errNewConnClosed
	}
	response, answeredBy, closes, err := readAnswer(conn.reader, req.ID)
	if err != nil {
		return Response{}, "", err
	}
	if closes || !stop() {
		conn.Close()
	} else {
		c.putConn(conn)
	}
	return response, answeredBy, nil
}

// readAnswer reads the response to a request and returns the server that its body names, if it is the request's own
// answer, and whether the connection closes after it.
func readAnswer(reader *bufio.Reader, id string) (response Response, answeredBy string, closes bool, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Response{}, "", false, fmt.Errorf("read response: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, "", false, fmt.Errorf("read response body: %w", err)
	}
	response = Response{Status: resp.StatusCode, SpentHeader: resp.Header.Get(budget.SpentHeaderName)}
	switch resp.StatusCode {
	case http.StatusOK:
		response.Outcome = judge.Served
		if server, answeredID, _ := strings.Cut(strings.TrimSuffix(string(body), "\n"), " "); answeredID == id {
			answeredBy = server
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		response.Outcome = judge.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			response.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		response.Outcome = judge.Failed
	}
	return response, answeredBy, resp.Close, nil
}

// ConnsOpened returns how many connections the client has opened.
func (c *Client) ConnsOpened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}
