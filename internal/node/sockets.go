package node

import "sync/atomic"

const (
	ownSockets   = 24 // listener, discovery, standard streams, the runtime's own
	spareSockets = 32 // for clients over the budget, until they have their refusal
)

// sockets keeps count of the connections that a node holds, so that accepting
// one never fails for want of a descriptor.
type sockets struct {
	most int64
	open atomic.Int64
}

func newSockets(limit int) *sockets {
	return &sockets{most: int64(max(1, limit-ownSockets-spareSockets))}
}

// take books a connection if the budget has room for it.
func (s *sockets) take() bool {
	if s.open.Add(1) <= s.most {
		return true
	}
	s.open.Add(-1)
	return false
}

// force books a connection that is there already.
func (s *sockets) force() { s.open.Add(1) }

func (s *sockets) give() { s.open.Add(-1) }

// over tells whether more is open than the budget allows.
func (s *sockets) over() bool { return s.open.Load() > s.most }

// full tells whether the spare descriptors are gone too.
func (s *sockets) full() bool { return s.open.Load() >= s.most+spareSockets }
