package front

import (
	"errors"
	"time"
)

const (
	lingerTimeout = 500 * time.Millisecond
	// lingerGrace is left to the client of a lingering connection before the connection gives way to others.
	lingerGrace      = 20 * time.Millisecond
	maxLingerDiscard = 64 << 10 // bytes discarded after the final response
)

// linger ends a connection whose final response has been written (RFC 9112, 9.6): closing a socket with unread bytes resets
// the connection, and the client may lose the response. Such bytes may arrive right before the close.
func (s *Server) linger(i int32, c *conn) {
	active := c.active
	s.config.Transport.CloseWrite(c.socket)
	c.state = stateLingering
	active.buf, active.request, active.body = nil, nil, nil
	s.account(active, 0, 0)
	s.account(active, 1, 0)
	s.idleConns.UnclassifiedReceived(i)
	s.wheel.Arm(i, s.now+lingerTimeout)
	active.lingersAt = s.now
	s.lingering.pushAfterDropping(s.table.token(i), s.isLingering)
	s.discardInput(i, c)
}

// isLingering reports whether a token's connection is lingering.
func (s *Server) isLingering(token uint64) bool {
	_, c := s.table.lookup(token)
	return c != nil && c.state == stateLingering
}

// closeLingering closes the connection that has lingered longest, unless that has just begun.
func (s *Server) closeLingering() bool {
	for s.lingering.len() > 0 && !s.isLingering(s.lingering.first()) {
		s.lingering.pop()
	}
	if s.lingering.len() == 0 {
		return false
	}
	i, c := s.table.lookup(s.lingering.first())
	if s.now < c.active.lingersAt+lingerGrace {
		return false
	}
	s.lingering.pop()
	s.closeConn(i, c, closeLingered)
	return true
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
