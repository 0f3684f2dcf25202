package serverdb

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is a server's state as discovery told it last.
type State byte

// The states.
const (
	Serving State = iota
	Draining
	Gone
)

func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return fmt.Sprintf("state %d", byte(s))
}

// Server is what is known of one. Times are wall times; the zero time: unknown.
type Server struct {
	ID         string
	Address    string
	Zone       string
	Cell       int
	Weight     float64
	State      State
	Started    time.Duration // since 1970, as discovery tells it; 0: unknown
	StateSince time.Time     // when its state became what it is
	LastServed time.Time     // when it last served, to ten minutes
}

// List is what is known of the list as a whole.
type List struct {
	Generation   uint64
	Discovery    string    // its address
	Confirmed    time.Time // when discovery answered last, to a minute
	ServerRate   float64   // answers a second of one server to this node; 0: unknown
	ServingCount int       // that served then
	Digest       uint64    // of what the list said of all servers
	Consistent   bool      // the rows are those of this generation; not written
}

// rowVersion begins each value. Later versions append fields, and readers pass over what they
// do not know; one that changes the meaning of a field takes a new table.
const rowVersion = 1

// errShort says that a value ends too early.
type truncatedError struct{ what string }

func (e truncatedError) Error() string { return "the value of " + e.what + " ends too early" }

func toUnixMillis(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(1, t.UnixMilli()))
}

func fromUnixMillis(ms uint64) time.Time {
	if ms == 0 || ms > math.MaxInt64 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms)).UTC()
}

func appendString(to []byte, text string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(text))), text...)
}

func appendFloat(to []byte, x float64) []byte {
	return binary.LittleEndian.AppendUint32(to, math.Float32bits(float32(x)))
}

// encode appends a server's value.
func (s *Server) encode(to []byte) []byte {
	to = append(to, rowVersion, byte(s.State))
	to = appendString(appendString(to, s.Address), s.Zone)
	to = binary.AppendVarint(to, int64(s.Cell))
	to = appendFloat(to, s.Weight)
	to = binary.AppendVarint(to, s.Started.Milliseconds())
	to = binary.AppendUvarint(to, toUnixMillis(s.StateSince))
	return binary.AppendUvarint(to, toUnixMillis(s.LastServed))
}

// cursor reads a value. After its end everything is zero, and short is set.
type decoder struct {
	rest      []byte
	truncated bool
}

func (c *decoder) take(n uint64) []byte {
	if uint64(len(c.rest)) < n {
		c.rest, c.truncated = nil, true
		return nil
	}
	part := c.rest[:n]
	c.rest = c.rest[n:]
	return part
}

func (c *decoder) byte() byte {
	if b := c.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (c *decoder) uvarint() uint64 { return readVarint(c, binary.Uvarint) }
func (c *decoder) varint() int64   { return readVarint(c, binary.Varint) }

func readVarint[T int64 | uint64](c *decoder, number func([]byte) (T, int)) T {
	v, n := number(c.rest)
	if n <= 0 {
		c.rest, c.truncated = nil, true
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

func (c *decoder) string() string { return string(c.take(c.uvarint())) }

// float reads a number; one that is none of use is 0.
func (c *decoder) float() float64 {
	b := c.take(4)
	if b == nil {
		return 0
	}
	x := float64(math.Float32frombits(binary.LittleEndian.Uint32(b)))
	if !(x >= 0 && x < 1e12) {
		return 0
	}
	return x
}

const maxMillis = math.MaxInt64 / int64(time.Millisecond)

func (c *decoder) millis() time.Duration {
	ms := c.varint()
	if ms < 0 || ms > maxMillis {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// digest is a hash of what the list says of a server. Of a set of them it is the exclusive or; who is gone is
// not in it.
func (s *Server) digest() uint64 {
	if s.ID == "" || s.State == Gone {
		return 0
	}
	var b [32]byte
	to := binary.LittleEndian.AppendUint64(append(b[:0], byte(s.State)), uint64(s.Started.Milliseconds()))
	to = binary.LittleEndian.AppendUint64(to, uint64(s.Cell))
	var d xxhash.Digest
	d.Reset()
	d.Write(to)
	for _, text := range [...]string{s.ID, s.Address, s.Zone} {
		d.WriteString(text)
		d.Write([]byte{0})
	}
	return d.Sum64()
}

// decodeServer reads a server's value.
func decodeServer(id string, value []byte) (Server, error) {
	c := decoder{rest: value}
	if v := c.byte(); v == 0 {
		return Server{}, fmt.Errorf("the value of %s has no version", id)
	}
	s := Server{ID: id, State: State(c.byte())}
	s.Address, s.Zone = c.string(), c.string()
	s.Cell, s.Weight = int(c.varint()), c.float()
	s.Started = c.millis()
	s.StateSince, s.LastServed = fromUnixMillis(c.uvarint()), fromUnixMillis(c.uvarint())
	if c.truncated {
		return Server{}, truncatedError{id}
	}
	if s.State > Gone {
		return Server{}, fmt.Errorf("the value of %s has a state %d", id, s.State)
	}
	return s, nil
}

func (l *List) encode(to []byte) []byte {
	to = append(to, rowVersion)
	to = binary.AppendUvarint(to, l.Generation)
	to = appendString(to, l.Discovery)
	to = binary.AppendUvarint(to, toUnixMillis(l.Confirmed))
	to = appendFloat(to, l.ServerRate)
	to = binary.AppendUvarint(to, uint64(max(0, l.ServingCount)))
	return binary.LittleEndian.AppendUint64(to, l.Digest)
}

func decodeList(value []byte) (List, error) {
	c := decoder{rest: value}
	if c.byte() == 0 {
		return List{}, fmt.Errorf("the list's value has no version")
	}
	l := List{Generation: c.uvarint(), Discovery: c.string(), Confirmed: fromUnixMillis(c.uvarint()), ServerRate: c.float()}
	n := c.uvarint()
	digest := c.take(8)
	if c.truncated {
		return List{}, truncatedError{"the list"}
	}
	l.Digest = binary.LittleEndian.Uint64(digest)
	l.ServingCount = int(min(n, math.MaxInt32))
	return l, nil
}
