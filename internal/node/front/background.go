package front

import (
	"time"

	"curlewring/internal/conns/idleconns"
	"curlewring/internal/conns/membudget"
)

// Background work of the server. Each method does a slice of it on the server's goroutine; Hooks schedule them.

// closeExpired closes connections whose idle time is over as long as mayContinue allows. It reports
// whether there are more.
func (s *Server) closeExpired(mayContinue func() bool) bool {
	for s.expired.len() > 0 {
		if !mayContinue() {
			return true
		}
		i, c := s.table.lookup(s.expired.pop())
		// Bytes of a request may have arrived. And a connection that was used and parked again
		// since then has a new timer.
		if c == nil || c.state != stateParked || s.wheel.Armed(i) || s.readArrived(i, c) {
			continue
		}
		s.stats.Expired++
		s.closeConn(i, c, closeIdle)
	}
	return false
}

// runStep runs background work on the server's goroutine for about a time slice. It checks the
// clock every few rounds.
func (s *Server) runStep(slice time.Duration, f func(mayContinue func() bool) bool) (elapsed time.Duration, more bool) {
	s.Do(func() {
		started, rounds := s.config.Now(), 0
		more = f(func() bool {
			rounds++
			return rounds%8 != 0 || s.config.Now() < started+slice
		})
		s.now = max(s.now, s.config.Now())
		elapsed = s.now - started
	})
	return elapsed, more
}

// CloseExpired closes connections whose idle time is over.
func (s *Server) CloseExpired(slice time.Duration) (elapsed time.Duration, more bool) {
	return s.runStep(slice, s.closeExpired)
}

// EvictIdle closes idle connections until there is room for several new ones, so that not every
// accept has to wait for an eviction.
func (s *Server) EvictIdle(slice time.Duration) (elapsed time.Duration, more bool) {
	return s.runStep(slice, func(mayContinue func() bool) bool {
		for s.table.inUse > s.config.MaxConns-s.config.MaxConns/64 || s.memory.Level() == membudget.Full {
			if !mayContinue() {
				return true
			}
			if s.idleConns.Idle() == 0 || s.evictOne() != idleconns.Found {
				return false
			}
		}
		return false
	})
}

// ReleaseBuffers frees pooled buffers beyond the minimum.
func (s *Server) ReleaseBuffers(slice time.Duration) (elapsed time.Duration, more bool) {
	return s.runStep(slice, func(mayContinue func() bool) bool {
		for len(s.pool) > minPooled {
			if !mayContinue() {
				return true
			}
			n := len(s.pool) - 1
			s.memory.Add(membudget.PooledBuffers, -s.pool[n].bytes())
			s.pool[n] = nil
			s.pool = s.pool[:n]
		}
		return false
	})
}

// SetIdleRules replaces the idle rules. ReapplyRules then applies them to parked connections.
func (s *Server) SetIdleRules(r *idleconns.Rules) {
	s.Do(func() {
		s.config.IdleRules = r
		s.idleConns.SetRules(r)
		s.rulesVersion++
		s.reapplyNext = 0
		if s.config.Hooks.ReapplyRules != nil {
			s.config.Hooks.ReapplyRules()
		}
	})
}

// ReapplyRules applies the rules of SetIdleRules to parked connections.
func (s *Server) ReapplyRules(slice time.Duration) (elapsed time.Duration, more bool) {
	return s.runStep(slice, func(mayContinue func() bool) bool {
		for ; int(s.reapplyNext) < s.table.allocated; s.reapplyNext++ {
			if !mayContinue() {
				return true
			}
			i, c := s.reapplyNext, s.table.at(s.reapplyNext)
			if c.state != stateParked || c.rulesVersion == s.rulesVersion {
				continue
			}
			s.assignNetwork(i, c)
			since, limit, slack := s.idleConns.IdleTimeout(i)
			if s.wheel.Cancel(i) { // otherwise the idle time is over already
				s.wheel.ArmSpread(i, since+limit, slack)
			}
		}
		return false
	})
}

// assignNetwork determines anew which network of the idle rules a connection is from, as the rules
// have changed.
func (s *Server) assignNetwork(i int32, c *conn) {
	c.rulesVersion = s.rulesVersion
	s.idleConns.SetSource(i, s.config.IdleRules.Source(s.config.Transport.RemoteAddr(c.socket)))
}
