package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"curlewring/internal/conns/membudget"
)

const (
	maxReadsPerTurn = 4 // successive reads of one connection
	maxSkippedBytes = 4 // of empty lines after a POST
)

// closeConn closes a connection in any state. The caller has to tell the handler about an open
// request.
func (s *Server) closeConn(i int32, c *conn, reason closeReason) {
	if s.logsDebug {
		s.config.Log.Debug("client connection closed", "connection", s.table.token(i), "reason", string(reason))
	}
	s.releaseActive(c)
	s.wheel.Cancel(i)
	s.idleConns.Remove(i)
	delete(s.deferrals, i)
	s.config.Transport.Close(c.socket)
	s.memory.Add(membudget.ConnectionState, -parkedConnBytes)
	s.table.release(i)
	s.capacityFreed = true
}

// clientGone closes a connection whose client has closed it.
func (s *Server) clientGone(i int32, c *conn) {
	s.stats.PeerClosed++
	if c.state == stateOpen {
		s.config.Handler.ClientGone(c.active.handle)
	}
	s.closeConn(i, c, closeClientLeft)
}

// handleReadable reads from a connection, or defers that, depending on its state.
func (s *Server) handleReadable(i int32, c *conn) {
	switch c.state {
	case stateParked:
		if s.memory.Level() != membudget.Normal {
			s.readWhileMemoryIsShort(i, c)
			return
		}
		s.beginRequest(i, c)
		generation := c.generation
		s.readConn(i, c)
		s.parkIfNothingCame(i, c, generation)
	case stateReading:
		if c.active == nil && s.memory.Level() != membudget.Normal {
			s.readWhileMemoryIsShort(i, c)
			return
		}
		s.readConn(i, c)
	case stateDeferred:
		if s.memory.Level() != membudget.Normal { // otherwise it is resumed in this turn
			s.readWhileMemoryIsShort(i, c)
		}
	case stateOpen:
		if c.peerEnded {
			s.clientGone(i, c)
			return
		}
		if c.pipelined {
			c.readPending = true
			return
		}
		// Not every transport reports that the client has closed, so peek. Unread bytes hide it.
		switch err := s.peekByte(c); {
		case err == nil:
			c.pipelined, c.readPending = true, true
		case errors.Is(err, ErrWouldBlock):
		default:
			s.clientGone(i, c)
		}
	case stateWriting:
		c.readPending = true
	case stateLingering:
		s.discardInput(i, c)
	}
}

// peekByte looks for unread bytes of a connection: nil if there are any.
func (s *Server) peekByte(c *conn) error {
	_, err := s.config.Transport.Peek(c.socket, s.peekBuffer[:])
	return err
}

// beginRequest ends a connection's idle time, as bytes of its next request have arrived.
func (s *Server) beginRequest(i int32, c *conn) {
	c.state = stateReading
	s.idleConns.RequestStarted(s.now, i)
	s.wheel.Arm(i, s.now+RequestTimeout)
}

// readConn reads until a complete request has come or there are no more bytes.
func (s *Server) readConn(i int32, c *conn) {
	if c.queued {
		c.readPending = true
		return
	}
	generation := c.generation
	for reads := 0; s.mayRead(c, generation); reads++ {
		if reads == maxReadsPerTurn {
			c.readPending = true
			s.enqueueRunnable(i, c)
			return
		}
		n, err := s.config.Transport.Read(c.socket, s.readBuffer)
		full := n == len(s.readBuffer)
		c.readPending = full // there may be more bytes, for which no event will come
		if n > 0 {
			s.consume(i, c, s.readBuffer[:n])
		}
		switch {
		case err == nil && full:
			if s.mayRead(c, generation) {
				c.readPending = false
			}
			continue
		case err == nil && c.generation == generation && c.peerEnded:
			continue // no other event will tell the end
		case err == nil:
			return
		case errors.Is(err, ErrWouldBlock):
		case errors.Is(err, io.EOF) && c.active != nil && (len(c.active.buf) > 0 || c.active.request != nil):
			// The client closed its sending side in the middle of a request, and may still read the
			// response.
			s.stats.PeerClosed++
			s.reject(i, c, &requestError{http.StatusBadRequest, "the request ends early"})
		default:
			s.clientGone(i, c)
		}
		return
	}
}

// consume processes received bytes of a connection in stateReading. Bytes of an incomplete request
// are kept.
func (s *Server) consume(i int32, c *conn, data []byte) {
	active := c.active
	if active != nil && active.request != nil {
		n := min(len(data), cap(active.body)-len(active.body))
		active.body = append(active.body, data[:n]...)
		active.lastRead = s.now
		if data = data[n:]; len(active.body) == cap(active.body) {
			s.dispatch(i, c, active.request, active.body, data)
		}
		return
	}
	scanFrom := 0
	if active != nil && len(active.buf) > 0 {
		active.buf = append(active.buf, data...)
		data, scanFrom = active.buf, active.scanFrom
	}
	skipped := skippedBytes(c, data)
	data, scanFrom = data[skipped:], max(0, scanFrom-skipped)
	end, next := headEnd(data, scanFrom)
	if end == 0 {
		if len(data) > s.config.MaxHeadSize+headSizeSlack {
			s.reject(i, c, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"})
			return
		}
		if len(data) == 0 {
			return
		}
		active = s.ensureActive(c)
		c.lastWasPOST = false
		active.buf = append(active.buf[:0], data...)
		active.scanFrom = next
		s.keepUnfinished(i, active, active.bytes())
		return
	}
	if end > s.config.MaxHeadSize+headSizeSlack {
		s.reject(i, c, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"})
		return
	}
	r, requestErr := s.parser.parseHead(data[:end])
	if requestErr != nil {
		s.reject(i, c, requestErr)
		return
	}
	c.lastWasPOST = r.Method == http.MethodPost
	s.ensureActive(c).headBytes = parsedHeadBytes(data[:end])
	s.handleHead(i, c, r, data[end:])
}

// skippedBytes returns how many bytes to skip before the next head: an old client may send an empty line after a POST
// (RFC 9112, 2.2).
func skippedBytes(c *conn, data []byte) (n int) {
	if !c.lastWasPOST {
		return 0
	}
	for n < min(len(data), maxSkippedBytes) && (data[n] == '\r' || data[n] == '\n') {
		n++
	}
	return n
}

// handleHead handles a request whose head is complete. rest is what follows the head.
func (s *Server) handleHead(i int32, c *conn, r *http.Request, rest []byte) {
	length := r.ContentLength
	rejected := s.isRejectedByHead(r)
	if !rejected && int64(len(rest)) >= length {
		s.dispatch(i, c, r, rest[:length], rest[length:])
		return
	}
	if rejected || c.refuse {
		// Such a body is not read. The handler refuses the request by its head, and what follows on
		// the connection can't be parsed.
		r.Body = io.NopCloser(strings.NewReader(""))
		c.readPending = true
		s.dispatch(i, c, r, nil, rest)
		return
	}
	switch expect := r.Header.Get("Expect"); {
	case strings.EqualFold(expect, "100-continue"):
		if _, err := s.config.Transport.Write(c.socket, []byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			s.clientGone(i, c)
			return
		}
	case expect != "":
		s.reject(i, c, &requestError{http.StatusExpectationFailed, "the expectation can't be met"})
		return
	}
	active := s.ensureActive(c)
	active.request = r
	active.body = append(make([]byte, 0, length), rest...)
	active.buf, active.scanFrom = active.buf[:0], 0
	s.keepUnfinished(i, active, active.bytes()+cap(active.body)+openRequestBytes+active.headBytes)
}

// keepUnfinished accounts for the memory of a part of a request of which bytes have just been read.
func (s *Server) keepUnfinished(i int32, active *activeState, bytes int) {
	active.lastRead = s.now
	if active.accounted[0] == 0 {
		s.idleConns.PartReceived(s.now, i)
		s.trackUnfinished(i)
	}
	s.account(active, 0, bytes)
}

// dispatch passes a complete request to the handler. rest is what follows the request.
func (s *Server) dispatch(i int32, c *conn, r *http.Request, body, rest []byte) {
	if c.peerEnded { // no one would read the response
		s.clientGone(i, c)
		return
	}
	if s.stalled && len(rest) == 0 {
		// The request came while the process was stalled: do no work for a client that has left
		// since.
		if err := s.peekByte(c); err != nil && !errors.Is(err, ErrWouldBlock) {
			s.clientGone(i, c)
			return
		}
	}
	endHidden, err := s.hidesEnd(c)
	if err != nil {
		s.clientGone(i, c)
		return
	}
	s.stats.Requests++
	active := s.ensureActive(c)
	active.inRow++
	s.monitor.requestReceived(s.table.token(i), active.inRow, len(rest))
	active.request, active.body = nil, nil
	if r.Body == http.NoBody || r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		r.Body = http.NoBody
	} else if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	active.headOnly = r.Method == http.MethodHead
	c.closeAfterResponse = r.Close || !r.ProtoAtLeast(1, 1) || c.refuse
	s.wheel.Cancel(i)
	c.state = stateOpen
	how := Arrival{Refuse: c.refuse, EndHidden: endHidden}
	if active.deferredAt > 0 {
		how.Waited, active.deferredAt = s.now-active.deferredAt, 0
	}
	handle, class, response := s.config.Handler.HandleRequest(Token(s.table.token(i)), r, how)
	if class >= 0 {
		s.idleConns.RequestReceived(i, class)
	} else {
		s.idleConns.UnclassifiedReceived(i)
	}
	// The handler has finished with the body, so rest may overwrite it.
	active.buf, active.scanFrom = append(active.buf[:0], rest...), 0
	c.pipelined = len(rest) > 0 // bytes of the next request hide that the client has closed
	s.account(active, 0, 0)
	s.account(active, 1, openRequestBytes+active.headBytes+len(body)+cap(active.buf))
	if response != nil {
		s.sendResponse(i, c, response)
		return
	}
	active.handle = handle
}

// reject answers an invalid request and closes its connection.
func (s *Server) reject(i int32, c *conn, e *requestError) {
	s.stats.Refused++
	s.monitor.current.rejected++
	if s.logsDebug {
		s.config.Log.Debug("request rejected", "connection", s.table.token(i), "status", e.status, "reason", e.text)
	}
	s.ensureActive(c)
	c.readPending = true
	s.idleConns.UnclassifiedReceived(i)
	s.sendResponse(i, c, &Response{Status: e.status, Text: e.text, Close: true})
}

// requestTimedOut ends a request that was not complete in time.
func (s *Server) requestTimedOut(i int32, c *conn) {
	if c.queued { // its next request has arrived
		s.wheel.Arm(i, s.now+RequestTimeout)
		return
	}
	token := s.table.token(i)
	if s.readRest(i, c) {
		if i, c = s.table.lookup(token); c == nil || c.state != stateReading {
			return
		}
	}
	if c.active != nil && c.active.request != nil {
		s.reject(i, c, &requestError{http.StatusRequestTimeout, "the body did not come"})
		return
	}
	if s.readArrived(i, c) { // the first bytes have just arrived
		if i, c = s.table.lookup(token); c != nil && c.state == stateReading && !s.wheel.Armed(i) {
			s.wheel.Arm(i, s.now+RequestTimeout)
		}
		return
	}
	s.closeConn(i, c, closeRequestTimeout)
}
