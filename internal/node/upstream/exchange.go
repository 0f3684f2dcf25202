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

// Attempt sends a request to a server once and waits for the response until a deadline or until it
// is canceled. Unless its last byte can be written by the time sendBy, the request isn't sent at
// all. extraHeaders are header lines of this attempt only.
func (u *Pool) Attempt(canceler *Canceler, target *Target, request *Request, extraHeaders string, sendBy, until time.Duration) Outcome {
	c := u.takeIdle(target)
	dialTime := time.Duration(0)
	if c == nil {
		var err error
		started := u.clock.Now()
		ctx, release := canceler.dialContext()
		c, err = u.dial(ctx, target, until)
		release()
		if err != nil {
			if canceler.isCanceled() {
				return Outcome{Result: decide.NotSent, ConnClosed: true}
			}
			return Outcome{Result: decide.ConnectFailed, ConnClosed: true}
		}
		dialTime = u.clock.Now() - started
	}
	o, keep := u.exchange(canceler, c, target, request, extraHeaders, sendBy, until)
	o.ConnAge = u.clock.Now() - c.opened
	if keep = keep && u.keepIdle(target, c); !keep {
		u.discard(c, target.ID, CloseUnusable)
	}
	o.ConnClosed, o.DialTime = !keep, dialTime
	return o
}

// exchange makes an attempt on a connection and reports whether the connection can be reused.
func (u *Pool) exchange(canceler *Canceler, c *conn, target *Target, request *Request, extraHeaders string, sendBy, until time.Duration) (_ Outcome, keep bool) {
	// Getting the connection may have taken a while: by now the server may be draining, or the
	// request finished.
	if request.isFinished() || target.Closed.Load() || !canceler.attach(c, u.clock.WallTime(until), u.clock.WallTime(min(sendBy, until))) {
		return Outcome{Result: decide.NotSent}, false
	}
	defer canceler.detach()

	now := u.clock.Now()
	left := until - now
	if left <= 0 || now > sendBy {
		return Outcome{Result: decide.NotSent}, false
	}
	message, err := request.Encode(c.writeBuffer[:0], target.Address, extraHeaders, left)
	if err != nil {
		return Outcome{Result: decide.ConnectFailed}, false
	}
	if c.writeBuffer = message; cap(message) > maxKeptBuffer {
		c.writeBuffer = nil
	}
	if n, _ := c.Write(message); n < len(message) { // the request is incomplete, so the server can't run it
		if canceler.isCanceled() || u.clock.Now() > sendBy {
			return Outcome{Result: decide.NotSent}, false
		}
		return Outcome{Result: decide.ConnectFailed}, false
	}
	resp, body, err := c.readResponse(request.Method)
	if err != nil {
		switch {
		case canceler.isCanceled():
			return Outcome{Result: decide.Cancelled}, false
		case isTimeout(err):
			return Outcome{Result: decide.TimedOut}, false
		case c.responseLimit.N > 0 && isConnectionError(err):
			return Outcome{Result: decide.ConnectionLost}, false
		}
		return Outcome{Result: decide.Malformed}, false
	}
	// The connection can be reused only if the attempt wasn't canceled and nothing follows the
	// response.
	trailing := c.reader.Buffered() > 0
	if trailing {
		u.sawTrailingBytes.Store(true)
	}
	keep = !resp.Close && !trailing && canceler.detach()
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

// readResponse reads a complete response. It keeps at most maxResponseSize bytes, whatever the
// server sends.
func (c *conn) readResponse(method string) (*http.Response, []byte, error) {
	c.responseLimit.N = maxResponseSize
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols { // interim
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return nil, nil, fmt.Errorf("reading the response: %w", err)
	}
	// The body isn't closed: Close would first read all of it, or wait for it.
	switch {
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, nil, errors.New("the response switches to another protocol")
	case resp.ContentLength > MaxBodySize:
		return nil, nil, fmt.Errorf("the response declares a length above %d bytes", MaxBodySize)
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		// The body ends with the connection, so a truncated one can't be told from a complete one.
		return nil, nil, errors.New("the response has no length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodySize+1))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the response: %w", err)
	}
	if len(body) > MaxBodySize {
		return nil, nil, fmt.Errorf("the response is larger than %d bytes", MaxBodySize)
	}
	return resp, body, nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isConnectionError reports whether the connection ended, orderly or not.
func isConnectionError(err error) bool {
	var broken net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}
