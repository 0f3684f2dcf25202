package serverdb

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a server as last reported by discovery. Rows contain its number.
type State byte

// The states. A higher one is further from serving.
const (
	Serving State = iota
	Draining
	Gone
)

// String returns the name of the state.
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

// Server is what is known of one server. A zero time is unknown. Its JSON is printed by curlewctl recall show: the tags
// keep keys that operators' scripts read.
type Server struct {
	ID         string
	Address    string
	Zone       string
	Cell       int
	Weight     float64
	State      State
	Started    time.Duration // since 1970, as reported by discovery; 0: unknown
	StateSince time.Time     `json:"Changed"` // wall time of the last change of State
	LastServed time.Time     `json:"Served"`  // wall time of the last answer, at the resolution of Settings.ServedResolution
}

// List is what is known of the list as a whole. Its JSON is printed by curlewctl recall show, as that of Server is.
type List struct {
	Generation        uint64
	HighestGeneration uint64    `json:"-"` // of all lists and partial answers, which the removals may belong to; 0: Generation
	Discovery         string    // address
	Confirmed         time.Time // wall time of the last answer of discovery, at the resolution of Settings.ConfirmInterval
	ServerRate        float64   `json:"Rate"`    // answers per second of one server to this node; 0: unknown
	ServingCount      int       `json:"Servers"` // number of serving servers at that time
	Digest            uint64    // of all servers as listed
	Consistent        bool      `json:"Sound"` // the rows of the servers belong to this generation; not written
	Incomplete        bool      `json:"-"`     // servers of this generation are held back: it is written as not consistent
}

// rowVersion is the first byte of each value. Later versions append fields, and readers skip unknown ones. A version
// that changes the meaning of a field needs a new table.
const rowVersion = 1

// truncatedError reports that the value of a row is too short.
type truncatedError struct{ rowName string }

func (e truncatedError) Error() string { return "the row of " + e.rowName + " is truncated" }

// toUnixMillis converts a time for a row. 0 stands for the zero time.
func toUnixMillis(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(max(1, t.UnixMilli()))
}

// fromUnixMillis is the inverse of toUnixMillis.
func fromUnixMillis(ms uint64) time.Time {
	if ms == 0 || ms > math.MaxInt64 {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms)).UTC()
}

// appendString appends a string with its length.
func appendString(buffer []byte, text string) []byte {
	return append(binary.AppendUvarint(buffer, uint64(len(text))), text...)
}

// appendFloat appends a number as a 32-bit float.
func appendFloat(buffer []byte, x float64) []byte {
	return binary.LittleEndian.AppendUint32(buffer, math.Float32bits(float32(x)))
}

// encode appends the value of the row of a server.
func (r *row) encode(buffer []byte) []byte {
	buffer = append(buffer, rowVersion, byte(r.State))
	buffer = appendString(appendString(buffer, r.Address), r.Zone)
	buffer = binary.AppendVarint(buffer, int64(r.Cell))
	buffer = appendFloat(buffer, r.Weight)
	buffer = binary.AppendVarint(buffer, r.Started.Milliseconds())
	buffer = binary.AppendUvarint(buffer, toUnixMillis(r.StateSince))
	buffer = binary.AppendUvarint(buffer, toUnixMillis(r.LastServed))
	return binary.AppendUvarint(buffer, r.removalSeq)
}

// decoder reads a value. Past its end, or after an invalid varint, it returns zero values and sets truncated.
type decoder struct {
	rest      []byte
	truncated bool
}

// take returns the next n bytes, or nil if there are fewer.
func (d *decoder) take(n uint64) []byte {
	if uint64(len(d.rest)) < n {
		d.rest, d.truncated = nil, true
		return nil
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *decoder) uvarint() uint64 { return readVarint(d, binary.Uvarint) }
func (d *decoder) varint() int64   { return readVarint(d, binary.Varint) }

// readVarint reads an integer with a function of package binary.
func readVarint[T int64 | uint64](d *decoder, decode func([]byte) (T, int)) T {
	value, n := decode(d.rest)
	if n <= 0 {
		d.rest, d.truncated = nil, true
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

func (d *decoder) string() string { return string(d.take(d.uvarint())) }

// float reads a number. An invalid one becomes 0.
func (d *decoder) float() float64 {
	b := d.take(4)
	if b == nil {
		return 0
	}
	x := float64(math.Float32frombits(binary.LittleEndian.Uint32(b)))
	if !(x >= 0 && x < 1e12) {
		return 0
	}
	return x
}

// maxMillis is the longest time.Duration, in milliseconds.
const maxMillis = math.MaxInt64 / int64(time.Millisecond)

// millis reads a duration. An invalid one becomes 0.
func (d *decoder) millis() time.Duration {
	ms := d.varint()
	if ms < 0 || ms > maxMillis {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// digest hashes what the list says of a server. The digest of a list is the exclusive or of those of its servers.
// Removed servers are not part of it.
func (s *Server) digest() uint64 {
	if s.ID == "" || s.State == Gone {
		return 0
	}
	var space [32]byte
	buffer := binary.LittleEndian.AppendUint64(append(space[:0], byte(s.State)), uint64(s.Started.Milliseconds()))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(s.Cell))
	var hash xxhash.Digest
	hash.Reset()
	hash.Write(buffer)
	for _, text := range [...]string{s.ID, s.Address, s.Zone} {
		hash.WriteString(text)
		hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// decodeRow decodes the value of the row of a server. Earlier versions wrote no removalSeq.
func decodeRow(id string, value []byte) (*row, error) {
	d := decoder{rest: value}
	if v := d.byte(); v == 0 {
		return nil, fmt.Errorf("the row of %s has no version", id)
	}
	s := Server{ID: id, State: State(d.byte())}
	s.Address, s.Zone = d.string(), d.string()
	s.Cell, s.Weight = int(d.varint()), d.float()
	s.Started = d.millis()
	s.StateSince, s.LastServed = fromUnixMillis(d.uvarint()), fromUnixMillis(d.uvarint())
	r := &row{Server: s, written: s}
	if len(d.rest) > 0 {
		r.removalSeq = d.uvarint()
	}
	if d.truncated {
		return nil, truncatedError{id}
	}
	if s.State > Gone {
		return nil, fmt.Errorf("the row of %s has the unknown state %d", id, s.State)
	}
	return r, nil
}

// encode appends the value of the row of the list.
func (l *List) encode(buffer []byte) []byte {
	buffer = append(buffer, rowVersion)
	buffer = binary.AppendUvarint(buffer, l.Generation)
	buffer = appendString(buffer, l.Discovery)
	buffer = binary.AppendUvarint(buffer, toUnixMillis(l.Confirmed))
	buffer = appendFloat(buffer, l.ServerRate)
	buffer = binary.AppendUvarint(buffer, uint64(max(0, l.ServingCount)))
	buffer = binary.LittleEndian.AppendUint64(buffer, l.Digest)
	return binary.AppendUvarint(buffer, l.HighestGeneration)
}

// decodeList decodes the value of the row of the list. Earlier versions wrote no HighestGeneration.
func decodeList(value []byte) (List, error) {
	d := decoder{rest: value}
	if d.byte() == 0 {
		return List{}, fmt.Errorf("the row of the list has no version")
	}
	l := List{Generation: d.uvarint(), Discovery: d.string(), Confirmed: fromUnixMillis(d.uvarint()), ServerRate: d.float()}
	servingCount := d.uvarint()
	digest := d.take(8)
	if len(d.rest) > 0 {
		l.HighestGeneration = d.uvarint()
	}
	if d.truncated {
		return List{}, truncatedError{"the list"}
	}
	l.Digest = binary.LittleEndian.Uint64(digest)
	l.ServingCount = int(min(servingCount, math.MaxInt32))
	return l, nil
}
