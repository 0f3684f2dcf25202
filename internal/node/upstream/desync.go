package upstream

import (
	"hash/maphash"
	"sync"
	"time"

	"curlewring/internal/conns/repeats"
)

// A response that arrives late or a second time would be taken for the response to the next request
// on its connection, as responses carry no request identifier.
const (
	// SettleTime is how long a connection rests after a response before it is used again, so that
	// bytes that follow the response arrive while it is idle, where they are noticed.
	SettleTime = 10 * time.Millisecond
	// CautiousSettleTime takes the place of SettleTime until it is known whether copies can be told by
	// their contents, and where they can't for a cautionPeriod after a server has sent bytes that
	// belong to no request.
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
	seed maphash.Seed

	mu            sync.Mutex
	repeats       *repeats.Detector
	cautiousUntil time.Duration // 0: no server has sent unsolicited bytes
}

func newDesyncGuard() *desyncGuard {
	return &desyncGuard{seed: maphash.MakeSeed(), repeats: repeats.NewDetector()}
}

// settleTime returns how long a connection has to rest before it is used again.
func (g *desyncGuard) settleTime(now time.Duration, c *conn) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.repeats.Learning() {
		return CautiousSettleTime
	}
	if now < g.cautiousUntil && !(c.lastServed && g.repeats.Detects(now)) {
		return CautiousSettleTime
	}
	return SettleTime
}

// unsolicitedBytes records that a server has sent bytes that belong to no request.
func (g *desyncGuard) unsolicitedBytes(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cautiousUntil = now + cautionPeriod
}

// isCopy takes the body of a successful response and reports whether the response is a copy of an
// earlier one on its connection.
func (g *desyncGuard) isCopy(now time.Duration, c *conn, request *Request, body []byte) bool {
	response := repeats.Response{
		Conn: c.number, First: c.responses == 0, Digest: maphash.Bytes(g.seed, body), Request: g.requestDigest(request),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeats.IsCopy(now, response)
}

// requestDigest returns a digest of what a request asks for, without what identifies the request.
func (g *desyncGuard) requestDigest(request *Request) uint64 {
	var hash maphash.Hash
	hash.SetSeed(g.seed)
	hash.WriteString(request.Method)
	hash.WriteByte(' ')
	hash.WriteString(request.URI)
	hash.WriteByte('\n')
	hash.Write(request.Body)
	return hash.Sum64()
}

// refuteCopy records that a server has sent nothing in place of a response that was taken for a
// copy.
func (g *desyncGuard) refuteCopy(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.Refute(now)
}
