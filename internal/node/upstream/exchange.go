package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"curlewring/decide"
	"curlewring/internal/budget"
)

// Attempt sends a request to a server once and waits for the response until a deadline or until it
// is canceled. Unless its last byte can be written by the time sendBy, the request isn't sent at
// all. extraHeaders are header lines of this attempt only.
func (u *Pool) Attempt(canceler *Canceler, target *Target, request *Request, extraHeaders string, sendBy, until time.Duration) Outcome {
	c, dialTime, err := u.acquire(canceler, target, until)
	if err != nil {
		if canceler.isCanceled() {
			return Outcome{Result: decide.NotSent, ConnClosed: true, Err: err}
		}
		return Outcome{Result: decide.ConnectFailed, ConnClosed: true, ConnRefused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	idleTime := time.Duration(0)
	if c.responses > 0 {
		idleTime = u.clock.Now() - c.idleSince
	}
	o, reason := u.exchange(canceler, c, target, request, extraHeaders, sendBy, until)
	o.ConnAge = u.clock.Now() - c.opened
	if reason == keepOpen && !u.keepIdle(target, c) {
		reason = CloseServerClosed
	}
	if reason != keepOpen {
		u.discard(c, target.ID, reason)
	}
	o.ConnClosed = reason != keepOpen
	o.DialTime, o.ConnNumber, o.IdleTime = dialTime, c.number, idleTime
	return o
}

// acquire returns an idle connection to a server, or opens one and returns the time that it took.
func (u *Pool) acquire(canceler *Canceler, target *Target, until time.Duration) (c *conn, dialTime time.Duration, err error) {
	if c = u.takeIdle(target); c != nil {
		return c, 0, nil
	}
	ctx, release := canceler.dialContext()
	defer release()
	if wait := u.beginWait(target.ID); wait > 0 {
		err := sleep(ctx, min(wait, until-u.clock.Now()))
		u.endWait(target.ID)
		if err != nil {
			return nil, 0, err
		}
		if c = u.takeIdle(target); c != nil {
			return c, 0, nil
		}
	}
	started := u.clock.Now()
	c, err = u.dial(ctx, target, until)
	return c, u.clock.Now() - started, err
}

// sleep waits for a duration, or returns an error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("waiting for a connection: %w", ctx.Err())
	}
}

// Reasons for which a request is not sent on a connection that is ready.
var (
	errRequestOver   = errors.New("the request is finished or canceled")
	errServerClosed  = errors.New("the server is draining or removed")
	errTooLateToSend = errors.New("too late to send the request")
)

// exchange makes an attempt on a connection. It returns the reason for closing the connection, or
// keepOpen if it can be reused.
func (u *Pool) exchange(canceler *Canceler, c *conn, target *Target, request *Request, extraHeaders string, sendBy, until time.Duration) (Outcome, CloseReason) {
	// Getting the connection may have taken a while: by now the server may be draining, or the
	// request finished.
	switch {
	case target.Closed.Load():
		return Outcome{Result: decide.NotSent, Err: errServerClosed}, CloseServerClosed
	case request.isFinished() || !canceler.attach(c, u.clock.WallTime(until), u.clock.WallTime(min(sendBy, until))):
		return Outcome{Result: decide.NotSent, Err: errRequestOver}, CloseNotSent
	}
	defer canceler.detach()

	if o := u.write(canceler, c, target, request, extraHeaders, sendBy, until); o.Err != nil {
		return o, CloseNotSent
	}
	resp, body, copies, err := u.readOwnResponse(c, canceler, request, until)
	if err != nil {
		return Outcome{Result: failureOf(err, canceler, c), Err: err}, CloseAttemptFailed
	}
	o := outcomeOf(resp, body)
	switch {
	case copies > 0:
		return o, CloseUnsolicited
	case c.reader.Buffered() > 0:
		u.desync.unsolicitedBytes(u.clock.Now())
		return o, CloseUnsolicited
	case resp.Close:
		return o, CloseRequested
	case !canceler.detach():
		return o, CloseAttemptFailed
	}
	return o, keepOpen
}

// write sends a request. If Err is set in the outcome, the server can't have received all of it.
func (u *Pool) write(canceler *Canceler, c *conn, target *Target, request *Request, extraHeaders string, sendBy, until time.Duration) Outcome {
	now := u.clock.Now()
	left := until - now
	if left <= 0 || now > sendBy {
		return Outcome{Result: decide.NotSent, Err: errTooLateToSend}
	}
	message, err := request.Encode(c.writeBuffer[:0], target.Address, extraHeaders, left)
	if err != nil {
		return Outcome{Result: decide.ConnectFailed, Err: err}
	}
	if c.writeBuffer = message; cap(message) > maxKeptBuffer {
		c.writeBuffer = nil
	}
	n, err := c.Write(message)
	if n == len(message) {
		return Outcome{}
	}
	err = fmt.Errorf("sending %d of %d bytes: %w", n, len(message), cmp.Or(err, io.ErrShortWrite))
	if canceler.isCanceled() || u.clock.Now() > sendBy {
		return Outcome{Result: decide.NotSent, Err: err}
	}
	return Outcome{Result: decide.ConnectFailed, Err: err}
}

// failureOf returns the result of an attempt whose request was sent and whose response can't be
// read.
func failureOf(err error, canceler *Canceler, c *conn) decide.Result {
	switch {
	case canceler.isCanceled():
		return decide.Cancelled
	case isTimeout(err):
		return decide.TimedOut
	case c.responseLimit.N > 0 && isConnectionError(err):
		return decide.ConnectionLost
	}
	return decide.Malformed
}

// outcomeOf returns the outcome of an attempt with a complete response.
func outcomeOf(resp *http.Response, body []byte) Outcome {
	switch {
	case resp.StatusCode == http.StatusOK:
		return Outcome{
			Result: decide.Served, Response: &Response{ContentType: resp.Header.Get("Content-Type"), Body: body},
			SpentBudget: resp.Header[budget.SpentHeaderName],
		}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Turned-Away") == "1":
		return Outcome{Result: decide.Rejected}
	}
	return Outcome{Result: decide.Errored, SpentBudget: resp.Header[budget.SpentHeaderName]}
}

// Encode appends the wire form of the request, which is sent in one piece. The fields came through
// net/http's parser, and FuzzEdge checks that the result can be parsed again.
func (r *Request) Encode(to []byte, address, extraHeaders string, left time.Duration) ([]byte, error) {
	host := cmp.Or(r.Host, address)
	for _, text := range [...]string{r.Method, r.URI, host, r.Txn, r.IdempotencyKey, r.ContentType} {
		if strings.ContainsFunc(text, func(char rune) bool { return char == '\r' || char == '\n' || char == 0 }) {
			return nil, errors.New("encoding a request: line break or NUL in a header or the request line")
		}
	}
	if strings.ContainsAny(r.URI, " \t") || strings.ContainsAny(host, " \t/") {
		return nil, errors.New("encoding a request: white space in the URI or the host")
	}
	to = append(append(append(append(to, r.Method...), ' '), r.URI...), " HTTP/1.1\r\n"...)
	to = appendHeader(to, "Host", host)
	to = appendHeader(to, "X-Txn", r.Txn)
	to = append(strconv.AppendInt(append(to, "X-Remaining-Ms: "...), max(1, left.Milliseconds()), 10), "\r\n"...)
	if r.IdempotencyKey != "" {
		to = appendHeader(to, "Idempotency-Key", r.IdempotencyKey)
	}
	if r.ContentType != "" {
		to = appendHeader(to, "Content-Type", r.ContentType)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost {
		to = append(strconv.AppendInt(append(to, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	to = append(to, extraHeaders...)
	return append(append(to, "\r\n"...), r.Body...), nil
}

func appendHeader(to []byte, name, value string) []byte {
	return append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
}
