package upstream

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/internal/conns/repeats"
)

// A response that arrives late or a second time would be taken for the response to the next request
// on its connection, as responses carry no request identifier.
const (
	// SettleTime is how long a connection rests after a response before it is used again, so that
	// bytes that follow the response arrive while it is idle, where they are noticed.
	SettleTime = 10 * time.Millisecond
	// CautiousSettleTime takes the place of SettleTime until copies can be told by their contents, and
	// for a cautionPeriod after a server has sent bytes that belong to no request.
	CautiousSettleTime = 100 * time.Millisecond
	cautionPeriod      = time.Minute
	// maxSettleWait is the longest wait of a request for a connection that is settling. A new one costs
	// the server work.
	maxSettleWait = 10 * time.Millisecond
	// maxCopies is the number of copies of earlier responses that are skipped for one request.
	maxCopies = 4
)

// desyncGuard keeps responses from being taken for those of other requests. It is safe for
// concurrent use.
type desyncGuard struct {
	cautiousUntil atomic.Int64 // a time of the clock; 0: no server has sent unsolicited bytes
	learned       atomic.Bool  // enough responses have been seen to tell copies, or that they can't be told
	seed          maphash.Seed

	mu      sync.Mutex
	repeats *repeats.Detector
}

func newDesyncGuard() *desyncGuard {
	return &desyncGuard{seed: maphash.MakeSeed(), repeats: repeats.NewDetector()}
}

// settleTime returns how long a connection has to rest before it is used again.
func (g *desyncGuard) settleTime(now time.Duration) time.Duration {
	if !g.learned.Load() || now < time.Duration(g.cautiousUntil.Load()) {
		return CautiousSettleTime
	}
	return SettleTime
}

// unsolicitedBytes records that a server has sent bytes that belong to no request.
func (g *desyncGuard) unsolicitedBytes(now time.Duration) {
	g.cautiousUntil.Store(int64(now + cautionPeriod))
}

// isCopy takes the body of a successful response and reports whether the response is a copy of an
// earlier one on its connection.
func (g *desyncGuard) isCopy(now time.Duration, c *conn, body []byte) bool {
	digest := maphash.Bytes(g.seed, body)
	g.mu.Lock()
	defer g.mu.Unlock()
	copied := g.repeats.IsCopy(now, repeats.Response{Conn: c.number, First: c.responses == 0, Digest: digest})
	if !g.repeats.Learning() {
		g.learned.Store(true)
	}
	return copied
}
