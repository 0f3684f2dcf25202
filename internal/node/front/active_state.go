package front

import (
	"net/http"
	"time"

	"curlewring/internal/conns/membudget"
)

const (
	minPooled        = 16      // activeStates kept for reuse
	maxPooled        = 256     // more than these are left to the garbage collector
	maxPooledBuffer  = 4 << 10 // a larger buffer is not pooled
	openRequestBytes = 4 << 10
)

// activeState is what a connection needs in addition to its row while it is not parked.
type activeState struct {
	buf        []byte // received bytes that are not consumed yet
	scanFrom   int    // where the search for the end of the head continues
	request    *http.Request
	body       []byte        // body of request, as far as received
	headBytes  int           // memory of the request's parsed head
	lastRead   time.Duration // when bytes of an unfinished request were last read
	deferredAt time.Duration // when the request began to wait for memory; 0: it did not wait
	handle     any           // the handler's identifier of the open request
	headOnly   bool          // HEAD request: the response has no body
	unsent     []byte        // part of the response that is not sent yet
	discarded  int           // bytes discarded while lingering
	lingersAt  time.Duration // when the connection began to linger
	inRow      int           // requests received since the connection was last idle
	accounted  [2]int        // bytes accounted in the memory budget: for reading, and for the open request
}

func (a *activeState) bytes() int { return 160 + cap(a.buf) }

// ensureActive returns the connection's activeState and creates one if it has none.
func (s *Server) ensureActive(c *conn) *activeState {
	if c.active == nil {
		if n := len(s.pool); n > 0 {
			c.active, s.pool = s.pool[n-1], s.pool[:n-1]
			s.memory.Add(membudget.PooledBuffers, -c.active.bytes())
		} else {
			c.active = &activeState{}
		}
	}
	return c.active
}

// account records in the memory budget how many bytes an activeState takes for a use: 0 is reading,
// 1 is the open request.
func (s *Server) account(active *activeState, which, bytes int) {
	use := [...]membudget.Category{membudget.PartialRequests, membudget.OpenRequests}[which]
	s.memory.Add(use, bytes-active.accounted[which])
	active.accounted[which] = bytes
}

// releaseActive removes a connection's activeState and returns it to the pool.
func (s *Server) releaseActive(c *conn) {
	active := c.active
	if active == nil {
		return
	}
	c.active = nil
	s.account(active, 0, 0)
	s.account(active, 1, 0)
	s.memory.Add(membudget.PendingAnswers, -len(active.unsent))
	if len(s.pool) >= maxPooled || cap(active.buf) > maxPooledBuffer {
		return
	}
	*active = activeState{buf: active.buf[:0]}
	s.pool = append(s.pool, active)
	s.memory.Add(membudget.PooledBuffers, active.bytes())
	if len(s.pool) == minPooled+1 && s.config.Hooks.ReleaseBuffers != nil {
		s.config.Hooks.ReleaseBuffers()
	}
}
