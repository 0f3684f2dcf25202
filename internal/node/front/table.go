package front

// state is what a connection is doing. It is in exactly one.
type state uint8

const (
	free      state = iota // the row is nobody's
	reading                // no whole request has come since the start or the last head
	deferred               // bytes wait in the kernel, for want of memory
	open                   // a request is with the node
	writing                // its answer waits for the client to take it
	parked                 // between two requests
	lingering              // answered for the last time: what comes is dropped until the peer ends
)

func (s state) String() string {
	return [...]string{"free", "reading", "deferred", "open", "writing", "parked", "lingering"}[s]
}

// conn is a connection's row. All that a parked one needs is here.
type conn struct {
	work    *work // nil while parked
	socket  Socket
	turn    uint32 // counts the row's connections: an event for an earlier one is dropped
	rules   uint8  // which of the rules its source is by
	state   state
	unread  bool // an event came that was not read to its end
	piped   bool // bytes wait behind the open request: a look does not show its client's end
	left    bool // its client has ended its sending
	crowded bool // it came over the budget: its requests are refused
	posted  bool // the last request was a POST
	kept    bool // the system looks whether its peer is still there
	closing bool // it ends with the answer
}

// rowBytes is what a parked connection takes: its row, its timer, and hold's entry.
const rowBytes = 32 + 8 + 32

// Token names a connection for as long as it lives.
type Token uint64

const (
	chunkBits = 10
	chunk     = 1 << chunkBits
)

// table holds all rows, in chunks that never move.
type table struct {
	chunks []*[chunk]conn
	free   []int32
	open   int
	low    int // rows below were in use once
}

func (t *table) at(i int32) *conn { return &t.chunks[i>>chunkBits][i&(chunk-1)] }

// take returns a free row.
func (t *table) take() (int32, *conn) {
	t.open++
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i, t.at(i)
	}
	i := int32(t.low)
	if t.low++; int(i>>chunkBits) >= len(t.chunks) {
		t.chunks = append(t.chunks, new([chunk]conn))
	}
	return i, t.at(i)
}

// give makes a row free for another connection.
func (t *table) give(i int32) {
	c := t.at(i)
	*c = conn{turn: c.turn + 1}
	t.free = append(t.free, i)
	t.open--
}

func (t *table) token(i int32) uint64 { return uint64(t.at(i).turn)<<32 | uint64(uint32(i)) }

// find returns the row that a token names, or nil if its connection is gone.
func (t *table) find(token uint64) (int32, *conn) {
	i := int32(uint32(token))
	if i < 0 || int(i) >= t.low {
		return 0, nil
	}
	c := t.at(i)
	if c.state == free || c.turn != uint32(token>>32) {
		return 0, nil
	}
	return i, c
}
