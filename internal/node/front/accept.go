package front

import (
	"errors"
	"hash/maphash"
	"net/netip"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/conns/membudget"
)

// acceptPending accepts waiting connections as long as there is room.
func (s *Server) acceptPending() {
	for n := range maxAcceptsPerTurn {
		if n > 0 && s.table.inUse >= s.config.MaxConns {
			return // perhaps none is waiting, so don't evict a connection for it
		}
		if !s.makeRoom() {
			s.config.Transport.SetAccepting(false)
			s.acceptRetryAt = s.now + acceptRetryInterval
			return
		}
		socket, remote, err := s.config.Transport.Accept()
		if errors.Is(err, ErrWouldBlock) {
			return
		}
		if err != nil {
			// Most likely the process is out of descriptors. Accept again when some are freed; the
			// others wait in the backlog.
			if !s.acceptErrorLogged {
				s.acceptErrorLogged = true
				s.config.Log.Warn("accepting a connection failed; further failures are not logged", "err", err, "open", s.table.inUse)
			}
			s.config.Transport.SetAccepting(false)
			s.acceptRetryAt = s.now + acceptRetryInterval
			return
		}
		s.addConn(socket, remote)
	}
}

// addConn adds a new connection.
func (s *Server) addConn(socket Socket, remote netip.Addr) {
	overLimit := s.table.inUse >= s.config.MaxConns
	i, c := s.table.allocate()
	c.socket, c.state, c.refuse = socket, stateReading, overLimit
	c.rulesVersion = s.rulesVersion
	s.memory.Add(membudget.ConnectionState, parkedConnBytes)
	s.idleConns.Add(s.now, i, s.config.IdleRules.Source(remote), s.clientHash(remote))
	s.wheel.Arm(i, s.now+RequestTimeout)
	s.lastAccept.Store(int64(s.now))
	s.stats.Accepted++
	if err := s.config.Transport.Register(socket, s.table.token(i)); err != nil {
		s.config.Log.Warn("registering a connection with the transport failed", "err", err)
		s.closeConn(i, c, closeTransport)
	}
}

// clientHash returns a hash of an address, keyed by a random seed so that nobody outside can choose
// addresses that collide. It returns 0 if there is no address or the eviction policy doesn't need
// one.
func (s *Server) clientHash(a netip.Addr) uint32 {
	if !a.IsValid() || s.config.EvictionPolicy != idleconns.LowestValue {
		return 0
	}
	b := a.As16()
	return uint32(maphash.Bytes(s.seed, b[:])) | 1
}

// makeRoom reports whether another connection may be accepted, and evicts an idle one if necessary.
// If all connections have open requests, a few more are accepted in order to be refused.
func (s *Server) makeRoom() bool {
	if s.table.inUse < s.config.MaxConns {
		return true
	}
	if s.closeLingering() {
		return true
	}
	if s.config.Hooks.EvictIdle != nil {
		s.config.Hooks.EvictIdle()
	}
	switch s.evictOne() {
	case idleconns.Found:
		return true
	case idleconns.AllBusy:
		return s.table.inUse < s.config.MaxConns+s.config.MaxRefusalConns
	}
	return false
}

// evictOne closes the idle connection that is first in eviction order. If bytes have arrived on it,
// it is no longer idle and is read instead, and so is the next one, up to maxAvertedCloses.
func (s *Server) evictOne() idleconns.VictimStatus {
	for range maxAvertedCloses {
		i, status := s.idleConns.Victim(s.now)
		if status != idleconns.Found {
			return status
		}
		c := s.table.at(i)
		switch {
		case c.state == stateDeferred:
			if s.refuseDeferred(i, c) {
				return idleconns.Found
			}
		case c.queued: // its next request has arrived
			s.stats.AvertedCloses++
			s.idleConns.RequestPipelined(s.now, i)
		case s.readArrived(i, c) || s.readRest(i, c):
		default:
			s.stats.Evicted++
			s.closeConn(i, c, closeEvicted)
			return idleconns.Found
		}
	}
	return idleconns.OnlyNewcomers // there may be others, but bytes have arrived on many
}

// readArrived reports whether bytes have arrived on a connection that is parked or has never been
// read, and reads them.
func (s *Server) readArrived(i int32, c *conn) bool {
	if c.state != stateParked && (c.state != stateReading || c.active != nil) || s.peekByte(c) != nil {
		return false
	}
	s.stats.AvertedCloses++
	s.handleReadable(i, c)
	return true
}

// readRest reports whether more bytes of an unfinished request have arrived, and reads them.
func (s *Server) readRest(i int32, c *conn) bool {
	if c.state != stateReading || c.active == nil || s.peekByte(c) != nil {
		return false
	}
	s.stats.AvertedCloses++
	s.readConn(i, c)
	return true
}
