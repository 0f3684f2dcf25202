package upstream

import "sync/atomic"

// Sockets counts the connections to servers.
type ConnLimiter struct {
	most int64
	open atomic.Int64
}

func NewConnLimiter(most int) *ConnLimiter { return &ConnLimiter{most: int64(most)} }

// take books a connection if there is room for it.
func (s *ConnLimiter) take() bool {
	if s.open.Add(1) <= s.most {
		return true
	}
	s.open.Add(-1)
	return false
}

func (s *ConnLimiter) give() { s.open.Add(-1) }
