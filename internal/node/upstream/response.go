package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// errTooManyCopies means that a server goes on sending responses to earlier requests.
var errTooManyCopies = errors.New("too many copies of earlier responses")

// readOwnResponse reads the response to the request that was sent last. It skips copies of earlier
// responses and returns how many there were.
func (u *Pool) readOwnResponse(c *conn, request *Request) (resp *http.Response, body []byte, copies int, err error) {
	for ; copies <= maxCopies; copies++ {
		if resp, body, err = c.readResponse(request.Method); err != nil {
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
func (c *conn) readResponse(method string) (*http.Response, []byte, error) {
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

// checkFraming waits for the headers of a response and returns an error if they tell its length in
// two ways. It leaves to net/http what is longer than the reader's buffer or otherwise malformed.
func (c *conn) checkFraming() error {
	for n := 1; n <= c.reader.Size(); n = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(n); err != nil {
			return nil // the same error ends the reading
		}
		text, _ := c.reader.Peek(c.reader.Buffered())
		end := headEnd(text)
		if end < 0 {
			continue
		}
		head := bytes.ToLower(text[:end])
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

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// isConnectionError reports whether the connection ended, orderly or not.
func isConnectionError(err error) bool {
	var broken net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken)
}
