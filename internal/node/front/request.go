package front

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"curlewring/internal/conns/membudget"
)

const (
	maxReadsPerTurn    = 4  // successive reads of one connection
	maxRunnablePerTurn = 64 // connections with unprocessed bytes continued in one turn
	// pipelinePauseFactor leaves time for the loop, which may work longer for a request than the front does, and for
	// idle moments, in which the runtime looks for ready sockets.
	pipelinePauseFactor = 4
	minPooled           = 16  // activeStates kept for reuse
	maxPooled           = 256 // more than these are left to the garbage collector
	openRequestBytes    = 4 << 10
	maxPooledBuffer     = 4 << 10  // a larger buffer is not pooled
	maxSkippedBytes     = 4        // of empty lines after a POST
	hiddenEndBytes      = 16 << 10 // unread bytes behind which the close of a client may be hidden
)

// activeState is what a connection needs in addition to its row while it is not parked.
type activeState struct {
	buf        []byte // received bytes that are not consumed yet
	scanFrom   int    // where the search for the end of the head continues
	request    *http.Request
	body       []byte        // body of request, as far as received
	headBytes  int           // memory of the request's parsed head
	lastRead   time.Duration // when bytes of an unfinished request were last read
	deferredAt time.Duration // when the request began to wait for memory; 0: it did not wait
	handle     any           // the handler's identifier of the open request
	headOnly   bool          // HEAD request: the response has no body
	unsent     []byte        // part of the response that is not sent yet
	discarded  int           // bytes discarded while lingering
	lingersAt  time.Duration // when the connection began to linger
	inRow      int           // requests received since the connection was last idle
	accounted  [2]int        // bytes accounted in the memory budget: for reading, and for the open request
}

func (a *activeState) bytes() int { return 160 + cap(a.buf) }

// ensureActive returns the connection's activeState and creates one if it has none.
func (s *Server) ensureActive(c *conn) *activeState {
	if c.active == nil {
		if n := len(s.pool); n > 0 {
			c.active, s.pool = s.pool[n-1], s.pool[:n-1]
			s.memory.Add(membudget.PooledBuffers, -c.active.bytes())
		} else {
			c.active = &activeState{}
		}
	}
	return c.active
}

// account records in the memory budget how many bytes an activeState takes for a use: 0 is reading,
// 1 is the open request.
func (s *Server) account(active *activeState, which, bytes int) {
	use := [...]membudget.Category{membudget.PartialRequests, membudget.OpenRequests}[which]
	s.memory.Add(use, bytes-active.accounted[which])
	active.accounted[which] = bytes
}

// releaseActive removes a connection's activeState and returns it to the pool.
func (s *Server) releaseActive(c *conn) {
	active := c.active
	if active == nil {
		return
	}
	c.active = nil
	s.account(active, 0, 0)
	s.account(active, 1, 0)
	s.memory.Add(membudget.PendingAnswers, -len(active.unsent))
	if len(s.pool) >= maxPooled || cap(active.buf) > maxPooledBuffer {
		return
	}
	*active = activeState{buf: active.buf[:0]}
	s.pool = append(s.pool, active)
	s.memory.Add(membudget.PooledBuffers, active.bytes())
	if len(s.pool) == minPooled+1 && s.config.Hooks.ReleaseBuffers != nil {
		s.config.Hooks.ReleaseBuffers()
	}
}

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

// hidesEnd reports whether so many bytes of a connection are unread that the kernel may not have taken the client's close
// yet, which follows them. A kernel takes several times as many before it stops a client.
func (s *Server) hidesEnd(c *conn) (bool, error) {
	if !c.readPending {
		return false, nil
	}
	if s.backlogBuffer == nil {
		s.backlogBuffer = make([]byte, hiddenEndBytes)
	}
	n, err := s.config.Transport.Peek(c.socket, s.backlogBuffer)
	if errors.Is(err, ErrWouldBlock) {
		return false, nil
	}
	return n == len(s.backlogBuffer), err
}

// beginRequest ends a connection's idle time, as bytes of its next request have arrived.
func (s *Server) beginRequest(i int32, c *conn) {
	c.state = stateReading
	s.idleConns.RequestStarted(s.now, i)
	s.wheel.Arm(i, s.now+RequestTimeout)
}

// enqueueRunnable queues a connection that has, or may have, bytes of a next request.
func (s *Server) enqueueRunnable(i int32, c *conn) {
	if !c.queued {
		c.queued = true
		s.runnable.push(s.table.token(i))
	}
}

// processRunnable continues with the connections that have bytes of a next request: one request, or a few reads, for
// each. Clients that send one request at a time go first, as rounds are followed by a pause.
func (s *Server) processRunnable() {
	if s.runnable.len() == 0 || !s.pipelining.MayStart(s.now) {
		return
	}
	started := s.config.Now()
	for n := min(s.runnable.len(), maxRunnablePerTurn); n > 0; n-- {
		if i, c := s.table.lookup(s.runnable.pop()); c != nil {
			c.queued = false
			s.continueReading(i, c)
		}
	}
	s.pipelining.RoundEnded(started, s.config.Now())
}

// continueReading reads the next request of a connection from the bytes that followed the last one, and then from the
// socket.
func (s *Server) continueReading(i int32, c *conn) {
	if c.state != stateReading {
		return
	}
	generation := c.generation
	if active := c.active; active != nil && active.request == nil && len(active.buf) > 0 {
		rest := active.buf
		active.buf, active.scanFrom = nil, 0
		s.consume(i, c, rest)
	}
	if !s.mayRead(c, generation) {
		return
	}
	if c.readPending {
		c.readPending = false
		s.readConn(i, c)
	}
	s.parkIfNothingCame(i, c, generation)
}

// parkIfNothingCame parks a connection of a generation if there were no bytes of a next request after all.
func (s *Server) parkIfNothingCame(i int32, c *conn, generation uint32) {
	if s.mayRead(c, generation) && !c.readPending && (c.active == nil || len(c.active.buf) == 0 && c.active.request == nil) {
		s.park(i, c)
	}
}

// mayRead reports whether a connection is still the one of a generation and waits for bytes of a request. If its next
// request has been read already, it has to wait for its turn.
func (s *Server) mayRead(c *conn, generation uint32) bool {
	return c.generation == generation && c.state == stateReading && !c.queued
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

// discardInput discards what follows the final response until the client closes, so that no reset
// destroys the response. Beyond maxLingerDiscard bytes the rest stays in the kernel.
func (s *Server) discardInput(i int32, c *conn) {
	active := s.ensureActive(c)
	for active.discarded < maxLingerDiscard {
		n, err := s.config.Transport.Read(c.socket, s.readBuffer)
		active.discarded += n
		if errors.Is(err, ErrWouldBlock) {
			return
		}
		if err != nil {
			s.closeConn(i, c, closeLingered)
			return
		}
	}
}
