package front

import (
	"errors"
	"net/http"
	"time"

	"curlewring/internal/conns/membudget"
)

// While memory is short, a request that has arrived whole is still read and handled, as it needs no buffer of its
// own. Bytes of any other request stay in the kernel. A request that waits there for memory is refused before its
// client's time is up.

const (
	deferredBands     = 4  // priorities of deferred connections, by the worth of their last request
	maxResumesPerTurn = 64 // deferred connections resumed in one turn
	// memoryWaitTimeout is the longest time that a request waits for memory, and that the rest of it may take
	// after the wait.
	memoryWaitTimeout = RequestTimeout / 4
	// While others wait for memory, a request of which no bytes have come for stalledAfter gives way.
	stalledAfter    = NewConnGrace
	reclaimInterval = stalledAfter / 8 // between two searches for such requests
)

// deferral is the state of a deferred connection.
type deferral struct {
	since   time.Duration
	limited bool // the request's head has arrived, and its wait has been limited by the client's time
	whole   bool // the request has arrived whole
}

// arrival describes the unread bytes of a connection.
type arrival struct {
	whole    bool          // a whole request has arrived, or one that is rejected by what has arrived
	head     bool          // the head of a valid request has arrived
	timeLeft time.Duration // with head: how long the client waits for its answer
}

// bandQueue is a queue of tokens in bands. Those of the highest band come first.
type bandQueue [deferredBands]tokenQueue

func (q *bandQueue) len() (n int) {
	for band := range q {
		n += q[band].len()
	}
	return n
}

// pop removes the first token. The queue must not be empty.
func (q *bandQueue) pop() uint64 {
	for band := deferredBands - 1; ; band-- {
		if q[band].len() > 0 {
			return q[band].pop()
		}
	}
}

// readWhileMemoryIsShort reads a connection on which nothing has been read of its next request, if that request has
// arrived whole. Otherwise it defers reading.
func (s *Server) readWhileMemoryIsShort(i int32, c *conn) {
	arrived, err := s.inspect(c)
	switch {
	case errors.Is(err, ErrWouldBlock):
		return
	case err != nil, c.peerEnded && !arrived.whole:
		s.clientGone(i, c)
		return
	}
	if c.state == stateParked {
		s.beginRequest(i, c)
	}
	if arrived.whole && s.memory.Level() != membudget.Full {
		s.resume(i, c)
		return
	}
	s.deferRead(i, c, arrived)
}

// inspect looks at the unread bytes of a connection, and leaves them unread.
func (s *Server) inspect(c *conn) (arrival, error) {
	n, err := s.config.Transport.Peek(c.socket, s.readBuffer)
	if err != nil {
		return arrival{}, err
	}
	data := s.readBuffer[:n]
	data = data[skippedBytes(c, data):]
	end, _ := headEnd(data, 0)
	if end == 0 {
		return arrival{whole: n == len(s.readBuffer)}, nil // a full buffer: the head is too large
	}
	r, requestErr := s.parser.parseHead(data[:end])
	if requestErr != nil || s.isRejectedByHead(r) {
		return arrival{whole: true}, nil
	}
	return arrival{
		whole:    int64(len(data)-end) >= r.ContentLength,
		head:     true,
		timeLeft: s.config.Handler.TimeLeft(r),
	}, nil
}

// isRejectedByHead reports whether a request is rejected without reading its body.
func (s *Server) isRejectedByHead(r *http.Request) bool {
	return len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.ContentLength > s.config.MaxBodySize
}

// deferRead leaves a connection's bytes in the kernel until there is memory for them. It is called again for a
// deferred connection when more bytes have arrived.
func (s *Server) deferRead(i int32, c *conn, arrived arrival) {
	d, isDeferred := s.deferrals[i]
	if !isDeferred {
		d.since = s.now
		c.state = stateDeferred
		s.stats.Deferred++
		s.logMemoryWait("reading waits for memory", i)
		s.queueDeferred(&s.deferredPartial, i)
	}
	if arrived.whole && !d.whole {
		d.whole = true
		s.queueDeferred(&s.deferredWhole, i)
	}
	switch {
	case arrived.head && !d.limited:
		// Half of its time is left to the client for trying again elsewhere.
		d.limited = true
		s.wheel.Arm(i, s.now+min(arrived.timeLeft/2, memoryWaitTimeout))
	case !s.wheel.Armed(i): // it is read because its time for a request was over
		s.wheel.Arm(i, s.now+memoryWaitTimeout)
	}
	s.deferrals[i] = d
	if s.config.Hooks.EvictIdle != nil && s.memory.Level() == membudget.Full {
		s.config.Hooks.EvictIdle()
	}
}

// queueDeferred queues a deferred connection by the worth of its last request.
func (s *Server) queueDeferred(q *bandQueue, i int32) {
	q[s.idleConns.WorthBand(i, deferredBands)].push(s.table.token(i))
}

// canResume reports whether a deferred connection could be resumed now.
func (s *Server) canResume() bool {
	switch s.memory.Level() {
	case membudget.Normal:
		return s.deferredWhole.len()+s.deferredPartial.len() > 0
	case membudget.Constrained:
		return s.deferredWhole.len() > 0
	}
	return false
}

// resumeDeferred resumes deferred connections: those with whole requests first, and of these the ones whose last
// request had the highest worth.
func (s *Server) resumeDeferred() {
	for n := 0; n < maxResumesPerTurn && s.canResume(); n++ {
		q := &s.deferredWhole
		if q.len() == 0 {
			q = &s.deferredPartial
		}
		i, c := s.table.lookup(q.pop())
		switch {
		case c == nil || c.state != stateDeferred: // it has been resumed or closed since
		case s.memory.Level() == membudget.Normal:
			s.resume(i, c)
		default:
			s.readWhileMemoryIsShort(i, c)
		}
	}
}

// resume reads a connection whose reading may have been deferred.
func (s *Server) resume(i int32, c *conn) {
	if d, isDeferred := s.deferrals[i]; isDeferred {
		s.logMemoryWait("reading resumes", i)
		s.endDeferral(i, c, d)
	}
	c.state = stateReading
	s.readConn(i, c)
}

// endDeferral makes a deferred connection an ordinary one, whose request has some more time to come.
func (s *Server) endDeferral(i int32, c *conn, d deferral) {
	s.ensureActive(c).deferredAt = d.since
	delete(s.deferrals, i)
	s.wheel.Arm(i, s.now+memoryWaitTimeout)
}

// refuseDeferred ends the wait of a deferred connection. If the head of its request has arrived, the request is
// refused; otherwise the connection is closed. It reports whether the connection is closed by now.
func (s *Server) refuseDeferred(i int32, c *conn) (closed bool) {
	token := s.table.token(i)
	s.logMemoryWait("there was no memory in time", i)
	s.endDeferral(i, c, s.deferrals[i])
	c.refuse, c.state = true, stateReading
	s.readConn(i, c)
	if i, c = s.table.lookup(token); c != nil && c.state == stateReading {
		s.closeConn(i, c, closeRequestTimeout)
		return true
	}
	return c == nil
}

// trackUnfinished notes that a connection holds memory for a part of a request.
func (s *Server) trackUnfinished(i int32) {
	s.unfinished.pushAfterDropping(s.table.token(i), s.holdsUnfinished)
}

// holdsUnfinished reports whether a token's connection still holds memory for a part of a request.
func (s *Server) holdsUnfinished(token uint64) bool {
	_, c := s.table.lookup(token)
	return c != nil && c.state == stateReading && c.active != nil && c.active.accounted[0] > 0
}

// needsReclaim reports whether requests wait for memory that stalled ones may hold.
func (s *Server) needsReclaim() bool {
	return len(s.deferrals) > 0 && s.unfinished.len() > 0 && s.memory.Level() != membudget.Normal
}

// reclaimStalled times out stalled requests, in the order in which they began, until there is memory for those that
// wait.
func (s *Server) reclaimStalled() {
	if !s.needsReclaim() || s.now < s.reclaimAt {
		return
	}
	s.reclaimAt = s.now + reclaimInterval
	for n := s.unfinished.len(); n > 0 && s.memory.Level() != membudget.Normal; n-- {
		token := s.unfinished.pop()
		if !s.holdsUnfinished(token) {
			continue
		}
		i, c := s.table.lookup(token)
		if s.now >= c.active.lastRead+stalledAfter && !s.readRest(i, c) {
			s.stats.Reclaimed++
			s.requestTimedOut(i, c)
		} else if s.holdsUnfinished(token) {
			s.unfinished.push(token)
		}
	}
}

// logMemoryWait logs that a connection begins or ends to wait for memory, and what uses the memory.
func (s *Server) logMemoryWait(message string, i int32) {
	if !s.logsDebug {
		return
	}
	attributes := []any{"connection", s.table.token(i), "limit", s.memory.Limit()}
	for _, category := range membudget.Categories() {
		attributes = append(attributes, category.String(), s.memory.Used(category))
	}
	s.config.Log.Debug(message, attributes...)
}
