package upstream

import (
	"sync/atomic"
	"time"
)

// A response that arrives late or a second time would be taken for the response to the next request
// on its connection, as responses carry no request identifier.
const (
	// SettleTime is how long a connection rests after a response before it is used again, so that
	// bytes that follow the response arrive while it is idle, where they are noticed.
	SettleTime = 10 * time.Millisecond
	// cautiousSettleTime takes the place of SettleTime for a cautionPeriod after a server has sent
	// bytes that belong to no request.
	cautiousSettleTime = 50 * time.Millisecond
	cautionPeriod      = time.Minute
	// maxSettling is the number of connections to a server that may settle at the same time before a
	// request waits for one of them. A new connection costs the server work, and it holds only so many.
	maxSettling = 8
)

// desyncGuard keeps responses from being taken for those of other requests. It is safe for
// concurrent use.
type desyncGuard struct {
	cautiousUntil atomic.Int64 // a time of the clock; 0: no server has sent unsolicited bytes
}

// settleTime returns how long a connection has to rest before it is used again.
func (g *desyncGuard) settleTime(now time.Duration) time.Duration {
	if now < time.Duration(g.cautiousUntil.Load()) {
		return cautiousSettleTime
	}
	return SettleTime
}

// unsolicitedBytes records that a server has sent bytes that belong to no request.
func (g *desyncGuard) unsolicitedBytes(now time.Duration) {
	g.cautiousUntil.Store(int64(now + cautionPeriod))
}
