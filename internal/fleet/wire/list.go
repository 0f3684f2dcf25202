package wire

import (
	"net/netip"
	"time"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/fleet/protofields"
)

// ListMessage is a message about server lists, with its sender's address.
type ListMessage struct {
	bootstrap.Message
	Addr netip.AddrPort
}

// AppendList appends a message about server lists as the body of a message.
func AppendList(to []byte, m *ListMessage) []byte {
	to = protofields.AppendString(protofields.AppendUint(to, 1, uint64(m.Kind)), 2, m.From)
	to = protofields.AppendUint(to, 3, m.List.Generation)
	to = protofields.AppendString(to, 4, m.List.Discovery)
	to = protofields.AppendUint(to, 5, uint64(m.List.Age))
	if len(m.Body) > 0 {
		to = protofields.AppendBytes(to, 6, m.Body)
	}
	if m.Addr.IsValid() {
		to = protofields.AppendString(to, 7, m.Addr.String())
	}
	return to
}

const (
	maxNameBytes = 256       // of a node name or an address of discovery, in bytes
	maxListAge   = time.Hour // an older list is useless even to a node without a list
)

// ParseList parses the body of a message about server lists.
func ParseList(b []byte) (*ListMessage, error) {
	m := &ListMessage{}
	var r reader
	err := r.forEachField(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			if f.Uint < uint64(bootstrap.ListQuery) || f.Uint > uint64(bootstrap.ListReply) {
				return newError(Malformed, "list message: unknown kind %d", f.Uint)
			}
			m.Kind = bootstrap.Kind(f.Uint)
		case !f.IsUint && f.Number == 2:
			if len(f.Bytes) > maxNameBytes {
				return newError(Malformed, "list message: node name has %d bytes", len(f.Bytes))
			}
			m.From = string(f.Bytes)
		case f.IsUint && f.Number == 3:
			m.List.Generation = f.Uint
		case !f.IsUint && f.Number == 4:
			if len(f.Bytes) > maxNameBytes {
				return newError(Malformed, "list message: address of discovery has %d bytes", len(f.Bytes))
			}
			m.List.Discovery = string(f.Bytes)
		case f.IsUint && f.Number == 5:
			if f.Uint > uint64(maxListAge) {
				return newError(Malformed, "list message: list age of %d ns", f.Uint)
			}
			m.List.Age = time.Duration(f.Uint)
		case !f.IsUint && f.Number == 6:
			m.Body = append([]byte(nil), f.Bytes...)
		case !f.IsUint && f.Number == 7:
			addr, err := netip.ParseAddrPort(string(f.Bytes))
			if err != nil {
				return newError(Malformed, "list message: sender address: %v", err)
			}
			m.Addr = addr
		}
		return nil
	})
	if err == nil && (m.Kind == 0 || m.From == "" || m.Kind == bootstrap.ListReply && len(m.Body) == 0) {
		err = newError(Malformed, "list message: kind, sender or list is missing")
	}
	if err != nil {
		return nil, err
	}
	return m, nil
}
