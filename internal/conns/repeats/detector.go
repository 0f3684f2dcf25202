package repeats

import "time"

const (
	remembered = 256 // responses
	// A copy arrives soon after its original, while clients may ask for the same again at any time.
	copyWindow = time.Second
	// minDistinct is the number of different responses in a row from which an equal one is suspect.
	minDistinct = 16
	// equalHold is how long nothing is suspected after two responses that were equal by nature.
	equalHold = time.Minute
)

// Response identifies a response and how it was received.
type Response struct {
	Conn    uint64 // number of the connection, unique among all connections
	First   bool   // it is the first response on the connection, and so not a copy
	Digest  uint64 // digest of the contents
	Request uint64 // digest of the request, the same for requests that ask for the same
}

// record is a remembered response.
type record struct {
	digest  uint64
	request uint64
	conn    uint64
	at      time.Duration
}

// Detector decides whether a response is a copy of an earlier one. It isn't safe for concurrent
// use.
type Detector struct {
	records     []record       // a ring once it is full
	next        int            // the record to be replaced next
	byDigest    map[uint64]int // index in records
	byRequest   map[uint64]int // index in records of the latest response to a request
	seen        int            // responses, up to minDistinct
	distinct    int            // different responses in a row
	varying     int            // equal requests in a row whose responses were different
	quietBefore time.Duration  // nothing is suspected before this time
}

// NewDetector returns a detector that has seen no response.
func NewDetector() *Detector {
	return &Detector{byDigest: map[uint64]int{}, byRequest: map[uint64]int{}}
}

// IsCopy takes a response and reports whether it is a copy of an earlier one on its connection.
func (d *Detector) IsCopy(now time.Duration, r Response) bool {
	d.seen = min(d.seen+1, minDistinct)
	i, known := d.byDigest[r.Digest]
	if !known {
		if _, again := d.byRequest[r.Request]; again {
			d.varying = min(d.varying+1, minDistinct)
		}
		d.remember(record{r.Digest, r.Request, r.Conn, now})
		d.distinct = min(d.distinct+1, minDistinct)
		return false
	}
	original := &d.records[i]
	sameRequest := original.request == r.Request
	mayBeCopy := !r.First && original.conn == r.Conn && now-original.at <= copyWindow
	if mayBeCopy && d.Detects(now) && (!sameRequest || d.varying >= minDistinct) {
		return true
	}
	original.conn, original.at = r.Conn, now
	if sameRequest {
		d.varying = 0
		return false
	}
	d.distinct = 0
	if !mayBeCopy {
		d.quietBefore = now + equalHold
	}
	return false
}

// Refute takes back that a response was a copy: the server has sent no other one in its place.
func (d *Detector) Refute(now time.Duration) {
	d.distinct, d.varying, d.quietBefore = 0, 0, now+equalHold
}

// Learning reports whether too few responses have been seen to tell whether they differ.
func (d *Detector) Learning() bool { return d.seen < minDistinct }

// Detects reports whether copies can be told at a time.
func (d *Detector) Detects(now time.Duration) bool {
	return d.distinct >= minDistinct && now >= d.quietBefore
}

// remember adds a response in place of the oldest one.
func (d *Detector) remember(r record) {
	if len(d.records) < remembered {
		d.records = append(d.records, r)
		d.index(len(d.records) - 1)
		return
	}
	replaced := d.records[d.next]
	delete(d.byDigest, replaced.digest)
	if d.byRequest[replaced.request] == d.next {
		delete(d.byRequest, replaced.request)
	}
	d.records[d.next] = r
	d.index(d.next)
	d.next = (d.next + 1) % remembered
}

// index makes a record findable.
func (d *Detector) index(i int) {
	d.byDigest[d.records[i].digest] = i
	d.byRequest[d.records[i].request] = i
}
