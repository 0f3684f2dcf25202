package upstream

import "sync/atomic"

// ConnLimiter limits the number of connections to servers.
type ConnLimiter struct {
	max  int64
	open atomic.Int64
}

// NewConnLimiter returns a limiter for at most limit connections.
func NewConnLimiter(limit int) *ConnLimiter { return &ConnLimiter{max: int64(limit)} }

// acquire counts a new connection and returns true unless the limit is reached.
func (l *ConnLimiter) acquire() bool {
	if l.open.Add(1) <= l.max {
		return true
	}
	l.open.Add(-1)
	return false
}

func (l *ConnLimiter) release() { l.open.Add(-1) }
