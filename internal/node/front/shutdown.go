package front

import "time"

// CloseListener ends the taking in; those that have come are served on, and close
// with their next answer.
func (s *Server) CloseListener() (err error) {
	s.Do(func() {
		s.shuttingDown = true
		s.acceptRetryAt = 0
		s.config.Transport.SetAccepting(false)
		err = s.config.Transport.CloseListener()
	})
	return err
}

// CloseParked closes the connections that are parked: the node ends. None with a
// request open or read in part is among them.
func (s *Server) CloseParked(slice time.Duration) (took time.Duration, more bool) {
	return s.runStep(slice, s.closeParked)
}

func (s *Server) closeParked(may func() bool) bool {
	for {
		i, ok := s.idleConns.IdleVictim()
		if !ok {
			return false
		}
		if !may() {
			return true
		}
		if c := s.table.at(i); !s.readArrived(i, c) {
			s.closeConn(i, c, closeShutdown)
		}
	}
}

// close ends all connections and the transport.
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
