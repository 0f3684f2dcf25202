package front

import "time"

// CloseListener ends the taking in; those that have come are served on, and close
// with their next answer.
func (s *Server) CloseListener() (err error) {
	s.Do(func() {
		s.leaving = true
		s.lookAt = 0
		s.set.Transport.SetAccepting(false)
		err = s.set.Transport.CloseListener()
	})
	return err
}

// CloseParked closes the connections that are parked: the node ends. None with a
// request open or read in part is among them.
func (s *Server) CloseParked(slice time.Duration) (took time.Duration, more bool) {
	return s.step(slice, s.closeParked)
}

func (s *Server) closeParked(may func() bool) bool {
	for {
		i, ok := s.hold.IdleVictim()
		if !ok {
			return false
		}
		if !may() {
			return true
		}
		if c := s.table.at(i); !s.looks(i, c) {
			s.drop(i, c, closeLeaving)
		}
	}
}

// close ends all connections and the transport.
func (s *Server) close() {
	for i := range int32(s.table.low) {
		if c := s.table.at(i); c.state != free {
			if c.state == open {
				s.set.Handler.ClientGone(c.work.open)
			}
			s.drop(i, c, closeEnded)
		}
	}
	s.openCount.Store(0)
	s.set.Transport.CloseListener()
	s.set.Transport.Shutdown()
	close(s.ended)
}
