package front

import "time"

// CloseListener stops accepting connections. Open connections are served on and close with their
// next response.
func (s *Server) CloseListener() (err error) {
	s.Do(func() {
		s.shuttingDown = true
		s.acceptRetryAt = 0
		s.config.Transport.SetAccepting(false)
		err = s.config.Transport.CloseListener()
	})
	return err
}

// CloseParked closes the parked connections when the node shuts down. Connections with an open or a
// partly read request are kept.
func (s *Server) CloseParked(slice time.Duration) (elapsed time.Duration, more bool) {
	return s.runStep(slice, s.closeParked)
}

func (s *Server) closeParked(mayContinue func() bool) bool {
	for {
		i, ok := s.idleConns.IdleVictim()
		if !ok {
			return false
		}
		if !mayContinue() {
			return true
		}
		if c := s.table.at(i); !s.readArrived(i, c) {
			s.closeConn(i, c, closeShutdown)
		}
	}
}

// closeAll closes all connections and the transport.
func (s *Server) closeAll() {
	for i := range int32(s.table.allocated) {
		if c := s.table.at(i); c.state != stateFree {
			if c.state == stateOpen {
				s.config.Handler.ClientGone(c.active.handle)
			}
			s.closeConn(i, c, closeServerStopped)
		}
	}
	s.openCount.Store(0)
	s.config.Transport.CloseListener()
	s.config.Transport.Shutdown()
	close(s.stopped)
}
