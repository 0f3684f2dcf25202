package front

// state is what a connection is doing. It is in exactly one.
type state uint8

const (
	stateFree      state = iota // the row is nobody's
	stateReading                // no whole request has come since the start or the last head
	stateDeferred               // bytes wait in the kernel, for want of memory
	stateOpen                   // a request is with the node
	stateWriting                // its answer waits for the client to take it
	stateParked                 // between two requests
	stateLingering              // answered for the last time: what comes is dropped until the peer ends
)

func (s state) String() string {
	return [...]string{"free", "reading", "deferred", "open", "writing", "parked", "lingering"}[s]
}

// conn is a connection's row. All that a parked one needs is here.
type conn struct {
	active             *activeState // nil while parked
	socket             Socket
	generation         uint32 // counts the row's connections: an event for an earlier one is dropped
	rulesVersion       uint8  // which of the rules its source is by
	state              state
	readPending        bool // an event came that was not read to its end
	pipelined          bool // bytes wait behind the open request: a look does not show its client's end
	peerEnded          bool // its client has ended its sending
	overLimit          bool // it came over the budget: its requests are refused
	lastWasPOST        bool // the last request was a POST
	keepAlive          bool // the system looks whether its peer is still there
	closeAfterResponse bool // it ends with the answer
}

// rowBytes is what a parked connection takes: its row, its timer, and hold's entry.
const parkedConnBytes = 32 + 8 + 32

// Token names a connection for as long as it lives.
type Token uint64

const (
	chunkBits = 10
	chunkRows = 1 << chunkBits
)

// table holds all rows, in chunks that never move.
type connTable struct {
	chunks    []*[chunkRows]conn
	free      []int32
	inUse     int
	allocated int // rows below were in use once
}

func (t *connTable) at(i int32) *conn { return &t.chunks[i>>chunkBits][i&(chunkRows-1)] }

// take returns a free row.
func (t *connTable) allocate() (int32, *conn) {
	t.inUse++
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i, t.at(i)
	}
	i := int32(t.allocated)
	if t.allocated++; int(i>>chunkBits) >= len(t.chunks) {
		t.chunks = append(t.chunks, new([chunkRows]conn))
	}
	return i, t.at(i)
}

// give makes a row free for another connection.
func (t *connTable) release(i int32) {
	c := t.at(i)
	*c = conn{generation: c.generation + 1}
	t.free = append(t.free, i)
	t.inUse--
}

func (t *connTable) token(i int32) uint64 { return uint64(t.at(i).generation)<<32 | uint64(uint32(i)) }

// find returns the row that a token names, or nil if its connection is gone.
func (t *connTable) lookup(token uint64) (int32, *conn) {
	i := int32(uint32(token))
	if i < 0 || int(i) >= t.allocated {
		return 0, nil
	}
	c := t.at(i)
	if c.state == stateFree || c.generation != uint32(token>>32) {
		return 0, nil
	}
	return i, c
}
