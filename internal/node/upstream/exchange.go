package upstream

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"curlewring/decide"
	"curlewring/internal/budget"
)

// Attempt sends a request to a server once and waits for the answer until a
// point in time, or until it is called off. Unless its last byte has left by another,
// it is not sent at all.
// more are header lines of this attempt alone.
func (u *Pool) Attempt(t *Canceler, p *Target, q *Request, more string, by, until time.Duration) Outcome {
	c := u.takeIdle(p)
	dialled := time.Duration(0)
	if c == nil {
		var err error
		begun := u.clock.Now()
		ctx, done := t.dialContext()
		c, err = u.dial(ctx, p, until)
		done()
		if err != nil {
			if t.isCanceled() {
				return Outcome{Result: decide.NotSent, ConnClosed: true}
			}
			return Outcome{Result: decide.ConnectFailed, ConnClosed: true}
		}
		dialled = u.clock.Now() - begun
	}
	o, keep := u.exchange(t, c, p, q, more, by, until)
	o.ConnAge = u.clock.Now() - c.opened
	if keep = keep && u.keepIdle(p, c); !keep {
		u.discard(c, p.ID, CloseUnusable)
	}
	o.ConnClosed, o.DialTime = !keep, dialled
	return o
}

// exchange makes an attempt on a connection, and tells whether the connection is
// as it was.
func (u *Pool) exchange(t *Canceler, c *conn, p *Target, q *Request, more string, by, until time.Duration) (_ Outcome, keep bool) {
	// The connection may have taken a while: the server may drain by now, and
	// the request may be over.
	if q.isFinished() || p.Closed.Load() || !t.attach(c, u.clock.WallTime(until), u.clock.WallTime(min(by, until))) {
		return Outcome{Result: decide.NotSent}, false
	}
	defer t.detach()

	now := u.clock.Now()
	left := until - now
	if left <= 0 || now > by {
		return Outcome{Result: decide.NotSent}, false
	}
	message, err := q.Encode(c.writeBuffer[:0], p.Address, more, left)
	if err != nil {
		return Outcome{Result: decide.ConnectFailed}, false
	}
	if c.writeBuffer = message; cap(message) > maxKeptBuffer {
		c.writeBuffer = nil
	}
	if n, _ := c.Write(message); n < len(message) { // its last byte never left, so it can't run
		if t.isCanceled() || u.clock.Now() > by {
			return Outcome{Result: decide.NotSent}, false
		}
		return Outcome{Result: decide.ConnectFailed}, false
	}
	resp, body, err := c.readResponse(q.Method)
	if err != nil {
		switch {
		case t.isCanceled():
			return Outcome{Result: decide.Cancelled}, false
		case isTimeout(err):
			return Outcome{Result: decide.TimedOut}, false
		case c.responseLimit.N > 0 && isConnectionError(err):
			return Outcome{Result: decide.ConnectionLost}, false
		}
		return Outcome{Result: decide.Malformed}, false
	}
	// Only a call-off that has not begun leaves the connection as it was, and
	// only an answer with nothing behind it.
	behind := c.reader.Buffered() > 0
	if behind {
		u.sawTrailingBytes.Store(true)
	}
	keep = !resp.Close && !behind && t.detach()
	switch {
	case resp.StatusCode == http.StatusOK:
		return Outcome{
			Result: decide.Served, Response: &Response{ContentType: resp.Header.Get("Content-Type"), Body: body},
			SpentBudget: resp.Header[budget.SpentHeaderName],
		}, keep
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Turned-Away") == "1":
		return Outcome{Result: decide.Rejected}, keep
	}
	return Outcome{Result: decide.Errored, SpentBudget: resp.Header[budget.SpentHeaderName]}, keep
}

// Encode appends the request as it goes on the wire, to be sent in one piece:
// what it holds came through net/http's parser, and FuzzEdge reads it back.
func (q *Request) Encode(to []byte, address, more string, left time.Duration) ([]byte, error) {
	host := cmp.Or(q.Host, address)
	for _, text := range [...]string{q.Method, q.URI, host, q.Txn, q.IdempotencyKey, q.ContentType} {
		if strings.ContainsFunc(text, func(r rune) bool { return r == '\r' || r == '\n' || r == 0 }) {
			return nil, errors.New("encoding a request: a line of it does not end where it should")
		}
	}
	if strings.ContainsAny(q.URI, " \t") || strings.ContainsAny(host, " \t/") {
		return nil, errors.New("encoding a request: white space in its first lines")
	}
	to = append(append(append(append(to, q.Method...), ' '), q.URI...), " HTTP/1.1\r\n"...)
	to = appendHeader(to, "Host", host)
	to = appendHeader(to, "X-Txn", q.Txn)
	to = append(strconv.AppendInt(append(to, "X-Remaining-Ms: "...), max(1, left.Milliseconds()), 10), "\r\n"...)
	if q.IdempotencyKey != "" {
		to = appendHeader(to, "Idempotency-Key", q.IdempotencyKey)
	}
	if q.ContentType != "" {
		to = appendHeader(to, "Content-Type", q.ContentType)
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost {
		to = append(strconv.AppendInt(append(to, "Content-Length: "...), int64(len(q.Body)), 10), "\r\n"...)
	}
	to = append(to, more...)
	return append(append(to, "\r\n"...), q.Body...), nil
}

func appendHeader(to []byte, name, value string) []byte {
	return append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
}

// read takes a whole answer off the connection. Whatever a server sends, it keeps
// no more than mostAnswer of it.
func (c *conn) readResponse(method string) (*http.Response, []byte, error) {
	c.responseLimit.N = maxResponseSize
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols { // interim
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, nil, fmt.Errorf("reading the answer: %w", err)
	}
	// The body is not closed: that would read all of it first, or wait for it.
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, nil, errors.New("the answer leaves HTTP")
	case resp.ContentLength > MaxBodySize:
		return nil, nil, fmt.Errorf("the answer is said to be larger than %d bytes", MaxBodySize)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// It ends where the connection does: a whole one looks like a cut one.
		return nil, nil, errors.New("the answer does not tell its end")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodySize+1))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the answer: %w", err)
	}
	if len(body) > MaxBodySize {
		return nil, nil, fmt.Errorf("the answer is larger than %d bytes", MaxBodySize)
	}
	return resp, body, nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isBreak tells whether the connection ended, in order or not.
func isConnectionError(err error) bool {
	var broken net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}
