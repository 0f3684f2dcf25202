package front

import (
	"errors"
	"time"
)

// Clients may send requests without waiting for the answers. Such a client gets one answer at a time and one buffer, and
// all of them together a part of the time, so that others are answered beside them.

const (
	maxRunnablePerTurn = 64 // connections with unprocessed bytes continued in one turn
	// pipelinePauseFactor leaves time for the loop, which may work longer for a request than the front does, and for
	// idle moments, in which the runtime looks for ready sockets.
	pipelinePauseFactor = 4
	maxPipelinePause    = 20 * time.Millisecond
	hiddenEndBytes      = 32 << 10 // unread bytes behind which the close of a client may be hidden
)

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
