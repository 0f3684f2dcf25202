package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// errTooManyCopies means that a server goes on sending responses to earlier requests.
var errTooManyCopies = errors.New("too many copies of earlier responses")

// readOwnResponse reads the response to the request that was sent last. It skips copies of earlier
// responses and returns how many there were.
func (u *Pool) readOwnResponse(c *conn, canceler *Canceler, request *Request, until time.Duration) (resp *http.Response, body []byte, copies int, err error) {
	for ; copies <= maxCopies; copies++ {
		if resp, body, err = u.readResponse(c, canceler, request.Method, until); err != nil {
			if copies > 0 && isTimeout(err) {
				u.desync.refuteCopy(u.clock.Now())
			}
			return nil, nil, copies, err
		}
		c.lastServed = resp.StatusCode == http.StatusOK
		isCopy := c.lastServed && u.desync.isCopy(u.clock.Now(), c, request, body)
		c.responses++
		if !isCopy {
			return resp, body, copies, nil
		}
		u.desync.unsolicitedBytes(u.clock.Now())
	}
	return nil, nil, copies, errTooManyCopies
}

// readResponse reads a complete response. It keeps at most maxResponseSize bytes, whatever the
// server sends.
func (u *Pool) readResponse(c *conn, canceler *Canceler, method string, until time.Duration) (*http.Response, []byte, error) {
	c.responseLimit.N = maxResponseSize
	resp, err := c.readHead(method)
	for err == nil && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols { // interim
		resp, err = c.readHead(method)
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
	}
	reader := io.Reader(resp.Body)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		reader = &closeDelimitedBody{body: resp.Body, pool: u, canceler: canceler, until: until}
	}
	body, err := io.ReadAll(io.LimitReader(reader, MaxBodySize+1))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the response: %w", err)
	}
	// The end of a body without a length may be that of responseLimit.
	if len(body) > MaxBodySize || c.responseLimit.N <= 0 {
		return nil, nil, fmt.Errorf("the response is larger than %d bytes", MaxBodySize)
	}
	return resp, body, nil
}

// readHead reads the status line and the headers of a response.
func (c *conn) readHead(method string) (*http.Response, error) {
	if err := c.checkFraming(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// errTwoLengths means that a response has both Content-Length and Transfer-Encoding. Recipients
// differ in which they use, and so in where the response ends (RFC 9112, 6.3); net/http drops the
// former.
var errTwoLengths = errors.New("the response has both Content-Length and Transfer-Encoding")

// maxResponseFields limits the header fields of a response: a parsed field takes many times the bytes of a short one.
const maxResponseFields = 128

var errTooManyFields = fmt.Errorf("the response has more than %d header fields", maxResponseFields)

// checkFraming waits for the headers of a response and returns an error if they tell its length in
// two ways or are too many. It leaves to net/http what is longer than the reader's buffer or otherwise malformed.
func (c *conn) checkFraming() error {
	for n := 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return nil // the same error ends the reading
		}
		text, _ := c.reader.Peek(c.reader.Buffered())
		end := headEnd(text)
		head := text
		if end >= 0 {
			head = text[:end]
		}
		if bytes.Count(head, []byte{'\n'}) > maxResponseFields {
			return errTooManyFields
		}
		if end < 0 {
			continue
		}
		head = bytes.ToLower(head)
		if bytes.Contains(head, []byte("\ncontent-length:")) && bytes.Contains(head, []byte("\ntransfer-encoding:")) {
			return errTwoLengths
		}
		return nil
	}
	return nil
}

// headEnd returns the index of the empty line that ends the headers, or -1. Lines may end with a
// bare line feed.
func headEnd(text []byte) int {
	crlf, lf := bytes.Index(text, []byte("\n\r\n")), bytes.Index(text, []byte("\n\n"))
	if crlf < 0 || lf >= 0 && lf < crlf {
		return lf
	}
	return crlf
}

// closeTimeout is the longest silence of a server in a body that ends with the connection. A server
// that keeps the connection open would hold the request until its deadline.
const closeTimeout = 250 * time.Millisecond

var (
	// errNotClosed means that a server neither told the length of a response nor closed the connection.
	errNotClosed = errors.New("the response has no length, and the connection stays open")
	// errCutOff means that the connection broke in a body without a length. The server did respond, so
	// its connections are not lost.
	errCutOff = errors.New("the response has no length, and was cut off")
)

// closeDelimitedBody reads the body of a response without a length. It ends when the server closes
// the connection in order (RFC 9112, 6.3); a reset is an error, as the body is incomplete.
type closeDelimitedBody struct {
	body     io.Reader
	pool     *Pool
	canceler *Canceler
	until    time.Duration // deadline of the attempt
}

// Read returns errNotClosed after a silence of closeTimeout, and errCutOff if the connection breaks.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	limit := b.pool.clock.Now() + closeTimeout
	b.canceler.setReadDeadline(b.pool.clock.WallTime(min(limit, b.until)))
	n, err := b.body.Read(p)
	switch {
	case err == nil || err == io.EOF:
		return n, err
	case !isTimeout(err):
		return n, fmt.Errorf("%w: %v", errCutOff, err)
	case limit < b.until:
		return n, errNotClosed
	}
	return n, err
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
