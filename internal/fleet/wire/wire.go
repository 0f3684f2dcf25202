package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/membership"
	"curlewring/internal/fleet/protofields"
)

// Version is the version of the encoding. Messages of other versions are rejected.
const Version = 1

// HeaderSize is the number of bytes before the fields: magic, version, fleet, checksum.
const HeaderSize = 12

// MaxDatagram is the size of the largest datagram that is sent, in bytes.
const MaxDatagram = 1400

// MaxStreamMessage is the size of the largest message on a stream, in bytes.
const MaxStreamMessage = 2 << 20

// Fault is the reason why a message was rejected.
type Fault uint8

// The reasons why a message is rejected.
const (
	TooShort Fault = 1 + iota
	BadMagic       // the magic bytes are wrong
	OtherVersion
	OtherFleet
	BadChecksum // the checksum is wrong
	Malformed   // the fields are invalid
)

// Error reports a rejected message.
type Error struct {
	Fault Fault
	Text  string
}

func (e *Error) Error() string { return e.Text }

// newError returns an Error with a formatted text.
func newError(f Fault, format string, args ...any) error {
	return &Error{f, fmt.Sprintf(format, args...)}
}

// FleetNumber returns the number that stands for a fleet's name in the header.
func FleetNumber(name string) uint32 {
	return crc32.Checksum([]byte(name), crc32.MakeTable(crc32.Castagnoli))
}

// Field numbers. A number is never reused for another field.
const (
	fieldKind = 1 + iota
	fieldFleetID
	fieldViewNumber
	fieldSenderLife
	fieldSelf
	fieldSeq
	fieldAlert
	fieldRefutation
	fieldDepartures
	fieldVote
	fieldJoiner
	fieldNameHolder
	fieldLowestSeed
	fieldWantedHash
	fieldView
	fieldProposal
	fieldTopic
	fieldBody
)

// Append appends an encoded message for the given fleet.
func Append(to []byte, fleet uint32, m *membership.Message) []byte {
	start := len(to)
	to = append(to, 0xC1, 0x7E, Version, 0)
	to = binary.BigEndian.AppendUint32(to, fleet)
	to = append(to, 0, 0, 0, 0)
	to = protofields.AppendUint(to, fieldKind, uint64(m.Kind))
	to = protofields.AppendFixed(to, fieldFleetID, m.FleetID)
	to = protofields.AppendUint(to, fieldViewNumber, m.ViewNumber)
	to = protofields.AppendFixed(to, fieldSenderLife, m.SenderLife)
	to = appendMember(to, fieldSelf, m.Self)
	to = protofields.AppendUint(to, fieldSeq, m.Seq)
	var sub []byte
	for _, a := range m.Alerts {
		down := uint64(0)
		if a.Down {
			down = 1
		}
		sub = protowire.AppendVarint(sub[:0], uint64(a.Subject))
		sub = protowire.AppendVarint(sub, uint64(a.WatcherSlot)<<1|down)
		sub = protowire.AppendVarint(sub, uint64(a.Seq))
		to = protofields.AppendBytes(to, fieldAlert, sub)
	}
	for _, a := range m.Refutations {
		sub = protowire.AppendVarint(sub[:0], uint64(a.Member))
		sub = protowire.AppendVarint(sub, uint64(a.Seq))
		to = protofields.AppendBytes(to, fieldRefutation, sub)
	}
	departures := make([]uint32, 0, len(m.Departures))
	for _, d := range m.Departures {
		packed := d.Member << 1
		if d.Ended {
			packed |= 1
		}
		departures = append(departures, packed)
	}
	to = appendPacked(to, fieldDepartures, departures)
	if m.Vote != nil {
		to = protofields.AppendBytes(to, fieldVote, appendVote(nil, m.Vote))
	}
	for i := range m.Joiners {
		sub = appendMember(sub[:0], 1, &m.Joiners[i].Member)
		to = protofields.AppendBytes(to, fieldJoiner, protofields.AppendUint(protofields.AppendUint(sub, 2, uint64(m.Joiners[i].SponsorSlot)), 3, m.Joiners[i].LastViewNumber))
	}
	to = appendMember(to, fieldNameHolder, m.NameHolder)
	to = protofields.AppendUint(to, fieldLowestSeed, uint64(m.LowestSeed))
	to = protofields.AppendFixed(to, fieldWantedHash, m.WantedHash)
	if v := m.View; v != nil {
		sub = protofields.AppendUint(protofields.AppendFixed(nil, 1, v.FleetID), 2, v.Number)
		for i := range v.Members {
			sub = appendMember(sub, 3, &v.Members[i])
		}
		to = protofields.AppendBytes(to, fieldView, sub)
	}
	if p := m.Proposal; p != nil {
		sub = appendPacked(protofields.AppendUint(protofields.AppendUint(nil, 1, p.ViewNumber), 4, p.NextNumber), 2, p.Remove)
		for i := range p.Add {
			sub = appendMember(sub, 3, &p.Add[i])
		}
		to = protofields.AppendBytes(to, fieldProposal, sub)
	}
	to = protofields.AppendUint(to, fieldTopic, uint64(m.Topic))
	if len(m.Body) > 0 {
		to = protofields.AppendBytes(to, fieldBody, m.Body)
	}
	binary.BigEndian.PutUint32(to[start+8:], checksum(to[start:]))
	return to
}

// checksum returns the checksum of a message without the checksum field.
func checksum(b []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	return crc32.Update(crc32.Checksum(b[:8], table), table, b[HeaderSize:])
}

// appendPacked appends a list of integers as packed varints; an empty one is omitted.
func appendPacked(to []byte, field protowire.Number, values []uint32) []byte {
	if len(values) == 0 {
		return to
	}
	var packed []byte
	for _, x := range values {
		packed = protowire.AppendVarint(packed, uint64(x))
	}
	return protofields.AppendBytes(to, field, packed)
}

// appendMember appends a member; nil is omitted.
func appendMember(to []byte, field protowire.Number, m *membership.Member) []byte {
	if m == nil {
		return to
	}
	var fields []byte
	if m.Name != "" {
		fields = protofields.AppendBytes(fields, 1, []byte(m.Name))
	}
	if m.Site != "" {
		fields = protofields.AppendBytes(fields, 2, []byte(m.Site))
	}
	if m.Addr.IsValid() {
		addr, _ := m.Addr.MarshalBinary() // never fails
		fields = protofields.AppendBytes(fields, 3, addr)
	}
	fields = protofields.AppendUint(protofields.AppendFixed(fields, 4, m.Life), 5, m.Incarnation)
	return protofields.AppendBytes(to, field, fields)
}

func appendVote(to []byte, v *membership.Vote) []byte {
	to = protofields.AppendUint(protofields.AppendUint(to, 1, v.ViewNumber), 2, v.Ballot)
	if len(v.Promises) > 0 {
		to = protofields.AppendBytes(to, 3, v.Promises)
	}
	to = protofields.AppendFixed(protofields.AppendFixed(protofields.AppendUint(to, 4, v.AcceptedBallot), 5, v.AcceptedValue), 6, v.Value)
	if v.Forced {
		to = protofields.AppendUint(to, 7, 1)
	}
	if len(v.Accepts) > 0 {
		to = protofields.AppendBytes(to, 8, v.Accepts)
	}
	if len(v.PromisersWithValue) > 0 {
		to = protofields.AppendBytes(to, 9, v.PromisersWithValue)
	}
	return to
}

// Parse parses a message of the given fleet. watchers is the number of watchers per member of a
// parsed view. The result does not alias b.
func Parse(b []byte, fleet uint32, watchers int) (*membership.Message, error) {
	switch {
	case len(b) < HeaderSize:
		return nil, newError(TooShort, "message of %d bytes is shorter than the header", len(b))
	case b[0] != 0xC1 || b[1] != 0x7E:
		return nil, newError(BadMagic, "message begins with %x, not with the magic bytes", b[:2])
	case b[2] != Version:
		return nil, newError(OtherVersion, "unsupported version %d, want %d", b[2], Version)
	case binary.BigEndian.Uint32(b[4:]) != fleet:
		return nil, newError(OtherFleet, "message is for another fleet")
	case binary.BigEndian.Uint32(b[8:]) != checksum(b):
		return nil, newError(BadChecksum, "wrong checksum of a message of %d bytes", len(b))
	}
	m := &membership.Message{}
	r := reader{watchers: watchers}
	if err := r.forEachField(b[HeaderSize:], func(f protofields.Field) error { return r.parseField(m, f) }); err != nil {
		return nil, err
	}
	if m.Kind < membership.Probe || m.Kind > membership.Payload {
		return nil, newError(Malformed, "unknown message kind %d", m.Kind)
	}
	if m.SenderLife == 0 {
		return nil, newError(Malformed, "sender is missing")
	}
	return m, nil
}

// reader parses fields into the types of package membership.
type reader struct{ watchers int }

// forEachField calls each for every field of b and converts errors.
func (r *reader) forEachField(b []byte, each func(protofields.Field) error) error {
	err := protofields.ForEach(b, each)
	if malformed := (*protofields.Error)(nil); errors.As(err, &malformed) {
		return newError(Malformed, "%s", malformed.Text)
	}
	return err
}

// parseUint32 converts an integer, which must fit 32 bits.
func parseUint32(x uint64) (uint32, error) {
	if x > 1<<32-1 {
		return 0, newError(Malformed, "%d exceeds 32 bits", x)
	}
	return uint32(x), nil
}

// parseField stores one field of a message.
func (r *reader) parseField(m *membership.Message, f protofields.Field) (err error) {
	if f.IsUint {
		switch f.Number {
		case fieldKind:
			m.Kind = membership.Kind(min(f.Uint, 255))
		case fieldFleetID:
			m.FleetID = f.Uint
		case fieldViewNumber:
			m.ViewNumber = f.Uint
		case fieldSenderLife:
			m.SenderLife = f.Uint
		case fieldSeq:
			m.Seq = f.Uint
		case fieldLowestSeed:
			m.LowestSeed, err = parseUint32(f.Uint)
		case fieldWantedHash:
			m.WantedHash = f.Uint
		case fieldTopic:
			m.Topic, err = parseUint32(f.Uint)
		}
		return err
	}
	switch f.Number {
	case fieldSelf:
		m.Self, err = r.parseMember(f.Bytes)
	case fieldNameHolder:
		m.NameHolder, err = r.parseMember(f.Bytes)
	case fieldAlert:
		x, err := parseUint32List(f.Bytes, 3, 3)
		if err != nil {
			return err
		}
		m.Alerts = append(m.Alerts, membership.Alert{Subject: x[0], WatcherSlot: x[1] >> 1, Down: x[1]&1 == 1, Seq: x[2]})
	case fieldRefutation:
		x, err := parseUint32List(f.Bytes, 2, 2)
		if err != nil {
			return err
		}
		m.Refutations = append(m.Refutations, membership.Refutation{Member: x[0], Seq: x[1]})
	case fieldDepartures:
		x, err := parseUint32List(f.Bytes, 0, len(f.Bytes))
		if err != nil {
			return err
		}
		for _, x := range x {
			m.Departures = append(m.Departures, membership.Departure{Member: x >> 1, Ended: x&1 == 1})
		}
	case fieldVote:
		m.Vote, err = r.parseVote(f.Bytes)
	case fieldJoiner:
		joiner := membership.Joiner{}
		err = r.forEachField(f.Bytes, func(f protofields.Field) error {
			switch {
			case f.Number == 1 && !f.IsUint:
				x, err := r.parseMember(f.Bytes)
				if err == nil {
					joiner.Member = *x
				}
				return err
			case f.Number == 2 && f.IsUint:
				var err error
				joiner.SponsorSlot, err = parseUint32(f.Uint)
				return err
			case f.Number == 3 && f.IsUint:
				joiner.LastViewNumber = f.Uint
			}
			return nil
		})
		if err == nil && joiner.Member.Check() != nil {
			return newError(Malformed, "joiner: invalid member")
		}
		m.Joiners = append(m.Joiners, joiner)
	case fieldView:
		m.View, err = r.parseView(f.Bytes)
	case fieldProposal:
		m.Proposal, err = r.parseProposal(f.Bytes)
	case fieldBody:
		m.Body = append([]byte(nil), f.Bytes...)
	}
	return err
}

// parseUint32List parses packed 32-bit varints, of which there must be minCount to maxCount.
func parseUint32List(b []byte, minCount, maxCount int) ([]uint32, error) {
	var values []uint32
	for len(b) > 0 {
		x, n := protowire.ConsumeVarint(b)
		if n < 0 || x > 1<<32-1 || len(values) == maxCount {
			return nil, newError(Malformed, "not a list of %d to %d 32-bit integers", minCount, maxCount)
		}
		values, b = append(values, uint32(x)), b[n:]
	}
	if len(values) < minCount {
		return nil, newError(Malformed, "not a list of %d to %d 32-bit integers", minCount, maxCount)
	}
	return values, nil
}

func (r *reader) parseMember(b []byte) (*membership.Member, error) {
	m := &membership.Member{}
	err := r.forEachField(b, func(f protofields.Field) error {
		switch {
		case f.Number == 1 && !f.IsUint:
			m.Name = string(f.Bytes)
		case f.Number == 2 && !f.IsUint:
			m.Site = string(f.Bytes)
		case f.Number == 3 && !f.IsUint:
			if len(f.Bytes) > 64 { // an IPv6 zone may make an address arbitrarily long
				return newError(Malformed, "member: address of %d bytes", len(f.Bytes))
			}
			var a netip.AddrPort
			if err := a.UnmarshalBinary(f.Bytes); err != nil {
				return newError(Malformed, "member: address: %v", err)
			}
			m.Addr = a
		case f.Number == 4 && f.IsUint:
			m.Life = f.Uint
		case f.Number == 5 && f.IsUint:
			m.Incarnation = f.Uint
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := m.Check(); err != nil {
		return nil, newError(Malformed, "%v", err)
	}
	return m, nil
}

func (r *reader) parseVote(b []byte) (*membership.Vote, error) {
	v := &membership.Vote{}
	err := r.forEachField(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			v.ViewNumber = f.Uint
		case f.IsUint && f.Number == 2:
			v.Ballot = f.Uint
		case !f.IsUint && f.Number == 3:
			v.Promises = append(membership.BitSet(nil), f.Bytes...)
		case f.IsUint && f.Number == 4:
			v.AcceptedBallot = f.Uint
		case f.IsUint && f.Number == 5:
			v.AcceptedValue = f.Uint
		case f.IsUint && f.Number == 6:
			v.Value = f.Uint
		case f.IsUint && f.Number == 7:
			v.Forced = f.Uint != 0
		case !f.IsUint && f.Number == 8:
			v.Accepts = append(membership.BitSet(nil), f.Bytes...)
		case !f.IsUint && f.Number == 9:
			v.PromisersWithValue = append(membership.BitSet(nil), f.Bytes...)
		}
		return nil
	})
	return v, err
}

func (r *reader) parseView(b []byte) (*membership.View, error) {
	fleetID, number := uint64(0), uint64(0)
	var members []membership.Member
	err := r.forEachField(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			fleetID = f.Uint
		case f.IsUint && f.Number == 2:
			number = f.Uint
		case !f.IsUint && f.Number == 3:
			m, err := r.parseMember(f.Bytes)
			if err == nil {
				members = append(members, *m)
			}
			return err
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	v, err := membership.NewView(fleetID, number, members, r.watchers)
	if err != nil {
		return nil, newError(Malformed, "%v", err)
	}
	return v, nil
}

func (r *reader) parseProposal(b []byte) (*membership.Proposal, error) {
	p := &membership.Proposal{}
	err := r.forEachField(b, func(f protofields.Field) (err error) {
		switch {
		case f.IsUint && f.Number == 1:
			p.ViewNumber = f.Uint
		case f.IsUint && f.Number == 4:
			p.NextNumber = f.Uint
		case !f.IsUint && f.Number == 2:
			p.Remove, err = parseUint32List(f.Bytes, 0, len(f.Bytes))
		case !f.IsUint && f.Number == 3:
			m, err := r.parseMember(f.Bytes)
			if err == nil {
				p.Add = append(p.Add, *m)
			}
			return err
		}
		return err
	})
	return p, err
}
