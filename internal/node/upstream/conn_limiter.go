package upstream

import "sync/atomic"

// ConnLimiter limits the number of connections to servers.
type ConnLimiter struct {
	max  int64
	open atomic.Int64
}

func NewConnLimiter(most int) *ConnLimiter { return &ConnLimiter{max: int64(most)} }

// acquire counts a new connection and returns true unless the limit is reached.
func (s *ConnLimiter) acquire() bool {
	if s.open.Add(1) <= s.max {
		return true
	}
	s.open.Add(-1)
	return false
}

func (s *ConnLimiter) release() { s.open.Add(-1) }
