package wire

import (
	"net/netip"
	"time"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/fleet/protofields"
)

// ListMessage is a message about lists of servers, with its sender's address.
type ListMessage struct {
	bootstrap.Message
	At netip.AddrPort
}

// AppendList appends the body of a message about lists.
func AppendList(to []byte, m *ListMessage) []byte {
	to = protofields.AppendString(protofields.AppendUint(to, 1, uint64(m.Kind)), 2, m.From)
	to = protofields.AppendUint(to, 3, m.List.Generation)
	to = protofields.AppendString(to, 4, m.List.Discovery)
	to = protofields.AppendUint(to, 5, uint64(m.List.Age))
	if len(m.Body) > 0 {
		to = protofields.AppendBytes(to, 6, m.Body)
	}
	if m.At.IsValid() {
		to = protofields.AppendString(to, 7, m.At.String())
	}
	return to
}

const (
	mostListName = 256       // bytes of a discovery's address
	mostListAge  = time.Hour // an older list is of no use to a node that has none at all
)

// ParseList reads the body of a message about lists.
func ParseList(b []byte) (*ListMessage, error) {
	m := &ListMessage{}
	var r reader
	err := r.fields(b, func(f protofields.Field) error {
		switch {
		case f.IsNum && f.Num == 1:
			if f.X < uint64(bootstrap.ListQuery) || f.X > uint64(bootstrap.ListReply) {
				return fault(Malformed, "kind %d", f.X)
			}
			m.Kind = bootstrap.Kind(f.X)
		case !f.IsNum && f.Num == 2:
			if len(f.B) > mostListName {
				return fault(Malformed, "a name of %d bytes", len(f.B))
			}
			m.From = string(f.B)
		case f.IsNum && f.Num == 3:
			m.List.Generation = f.X
		case !f.IsNum && f.Num == 4:
			if len(f.B) > mostListName {
				return fault(Malformed, "an address of %d bytes", len(f.B))
			}
			m.List.Discovery = string(f.B)
		case f.IsNum && f.Num == 5:
			if f.X > uint64(mostListAge) {
				return fault(Malformed, "a list of %d ns", f.X)
			}
			m.List.Age = time.Duration(f.X)
		case !f.IsNum && f.Num == 6:
			m.Body = append([]byte(nil), f.B...)
		case !f.IsNum && f.Num == 7:
			at, err := netip.ParseAddrPort(string(f.B))
			if err != nil {
				return fault(Malformed, "an address: %v", err)
			}
			m.At = at
		}
		return nil
	})
	if err == nil && (m.Kind == 0 || m.From == "" || m.Kind == bootstrap.ListReply && len(m.Body) == 0) {
		err = fault(Malformed, "a message about lists that lacks what it is for")
	}
	if err != nil {
		return nil, err
	}
	return m, nil
}
