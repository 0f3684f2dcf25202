package front

// state is the state of a connection.
type state uint8

const (
	stateFree      state = iota // the row is unused
	stateReading                // waiting for a complete request
	stateDeferred               // unread bytes stay in the kernel until there is memory for them
	stateOpen                   // the handler has a request
	stateWriting                // part of the response is unsent
	stateParked                 // idle between two requests
	stateLingering              // final response sent: input is discarded until the client closes
)

func (s state) String() string {
	return [...]string{"free", "reading", "deferred", "open", "writing", "parked", "lingering"}[s]
}

// conn is the table row of a connection. It holds all that a parked connection needs.
type conn struct {
	active             *activeState // nil while parked
	socket             Socket
	generation         uint32 // incremented with each connection of the row, to drop events of earlier ones
	rulesVersion       uint8  // version of the idle rules by which its network was determined
	state              state
	readPending        bool // a readable event came and not all bytes were read
	pipelined          bool // bytes follow the open request, so a peek doesn't show that the client has closed
	peerEnded          bool // the client has closed its sending side
	refuse             bool // accepted above MaxConns, or waited for memory for too long: its requests are refused
	lastWasPOST        bool
	keepAlive          bool // TCP keepalive is enabled
	closeAfterResponse bool // close the connection after the response
	queued             bool // it is in the queue of runnable connections
}

// parkedConnBytes is the memory of a parked connection: its row, its timer, and its entry in
// idleconns.
const parkedConnBytes = 32 + 8 + 32

// Token identifies an open connection.
type Token uint64

const (
	chunkBits = 10
	chunkRows = 1 << chunkBits
)

// connTable holds the rows of all connections in chunks, so that a row never moves.
type connTable struct {
	chunks    []*[chunkRows]conn
	free      []int32
	inUse     int
	allocated int // rows below this index have been used
}

func (t *connTable) at(i int32) *conn { return &t.chunks[i>>chunkBits][i&(chunkRows-1)] }

// allocate returns a free row.
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

// release makes a row available for another connection.
func (t *connTable) release(i int32) {
	c := t.at(i)
	*c = conn{generation: c.generation + 1}
	t.free = append(t.free, i)
	t.inUse--
}

func (t *connTable) token(i int32) uint64 { return uint64(t.at(i).generation)<<32 | uint64(uint32(i)) }

// lookup returns the row of a token's connection, or nil if that connection is closed.
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
