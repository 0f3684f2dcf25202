package wire

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/bootstrap"
	"curlewring/internal/fleet/membership"
)

func randomMember(rng *rand.Rand) *membership.Member {
	return &membership.Member{
		Name: fmt.Sprintf("node-%d", rng.IntN(1e6)), Site: []string{"", "basel", "genf"}[rng.IntN(3)],
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(rng.IntN(256)), 0, 1}), uint16(1+rng.IntN(65535))),
		Life: 1 + rng.Uint64N(1<<60), Incarnation: uint64(rng.IntN(100)),
	}
}

// randomMessage returns a message in which any field may be set.
func randomMessage(rng *rand.Rand) *membership.Message {
	m := &membership.Message{
		Kind: membership.Kind(1 + rng.IntN(int(membership.Payload))), FleetID: rng.Uint64(), ViewNumber: rng.Uint64N(1000), SenderLife: 1 + rng.Uint64N(1<<50),
		Seq: rng.Uint64N(1 << 40), LowestSeed: uint32(rng.IntN(4)), WantedHash: rng.Uint64N(2) * rng.Uint64(),
	}
	if m.Kind == membership.Payload {
		m.Topic, m.Body = rng.Uint32(), []byte{byte(rng.IntN(256)), 2, 3}
	}
	if rng.IntN(2) == 0 {
		m.Self, m.NameHolder = randomMember(rng), randomMember(rng)
	}
	for range rng.IntN(20) {
		m.Alerts = append(m.Alerts, membership.Alert{Subject: rng.Uint32N(10000), WatcherSlot: rng.Uint32N(16), Seq: rng.Uint32(), Down: rng.IntN(2) == 0})
		m.Refutations = append(m.Refutations, membership.Refutation{Member: rng.Uint32(), Seq: rng.Uint32()})
		m.Departures = append(m.Departures, membership.Departure{Member: rng.Uint32N(1 << 31), Ended: rng.IntN(2) == 0})
	}
	if rng.IntN(2) == 0 {
		m.Vote = &membership.Vote{
			ViewNumber: rng.Uint64(), Ballot: rng.Uint64(), Promises: membership.BitSet{1, byte(rng.IntN(256))}, AcceptedBallot: rng.Uint64(), AcceptedValue: rng.Uint64(),
			Value: rng.Uint64(), Forced: rng.IntN(2) == 0, Accepts: membership.BitSet{7}, PromisersWithValue: membership.BitSet{byte(1 + rng.IntN(255))},
		}
		m.Proposal = &membership.Proposal{ViewNumber: rng.Uint64(), NextNumber: rng.Uint64(), Remove: []uint32{1, 5, 70000}, Add: []membership.Member{*randomMember(rng)}}
	}
	for range rng.IntN(3) {
		m.Joiners = append(m.Joiners, membership.Joiner{Member: *randomMember(rng), SponsorSlot: rng.Uint32N(16), LastViewNumber: rng.Uint64N(9)})
	}
	if rng.IntN(3) == 0 {
		var members []membership.Member
		for i := range 1 + rng.IntN(30) {
			member := randomMember(rng)
			member.Name = fmt.Sprintf("%s-%d", member.Name, i)
			members = append(members, *member)
		}
		m.View, _ = membership.NewView(1+rng.Uint64N(1e9), 1+rng.Uint64N(1e9), members, 10)
	}
	return m
}

// Messages must survive encoding and parsing unchanged.
func TestMessageRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		m := randomMessage(rng)
		got, err := Parse(Append(nil, 7, m), 7, 10)
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		if (m.View == nil) != (got.View == nil) || m.View != nil && m.View.Digest != got.View.Digest {
			t.Fatalf("the view changed")
		}
		m.View, got.View = nil, nil
		if !reflect.DeepEqual(m, got) {
			t.Fatalf("sent %+v\n got %+v", m, got)
		}
	}
}

// Input that is not a valid message of this fleet is rejected with the right fault.
func TestRejectedMessages(t *testing.T) {
	m := &membership.Message{Kind: membership.Probe, SenderLife: 3, Seq: 4}
	good := Append(nil, 7, m)
	change := func(at int, to byte) []byte {
		b := append([]byte(nil), good...)
		b[at] = to
		return b
	}
	for name, test := range map[string]struct {
		b    []byte
		want Fault
	}{
		"empty": {nil, TooShort}, "truncated header": {good[:HeaderSize-1], TooShort}, "text": {[]byte("GET / HTTP/1.1\r\n"), BadMagic},
		"next version": {change(2, Version+1), OtherVersion}, "other fleet": {Append(nil, 8, m), OtherFleet},
		"changed byte": {change(len(good)-1, good[len(good)-1]^1), BadChecksum}, "truncated": {good[:len(good)-1], BadChecksum},
		"no sender":                {Append(nil, 7, &membership.Message{Kind: membership.Probe}), Malformed},
		"no kind":                  {Append(nil, 7, &membership.Message{SenderLife: 1}), Malformed},
		"kind of the next version": {Append(nil, 7, &membership.Message{Kind: membership.Payload + 1, SenderLife: 1}), Malformed},
	} {
		_, err := Parse(test.b, 7, 10)
		var wireErr *Error
		if !errors.As(err, &wireErr) || wireErr.Fault != test.want {
			t.Errorf("%s: %v, want fault %d", name, err, test.want)
		}
	}
	// A change of any single byte is detected.
	for i := range good {
		if _, err := Parse(change(i, good[i]^0x10), 7, 10); err == nil {
			t.Errorf("change of byte %d is not detected", i)
		}
	}
}

// seal returns a message with the given fields and a valid header.
func seal(fields []byte) []byte {
	b := Append(nil, 7, &membership.Message{})[:HeaderSize]
	b = append(b, fields...)
	sum := checksum(b)
	b[8], b[9], b[10], b[11] = byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum)
	return b
}

// Fields added by a later writer of the same version are ignored.
func TestUnknownFields(t *testing.T) {
	fields := Append(nil, 7, &membership.Message{Kind: membership.Ack, SenderLife: 3, Seq: 9})[HeaderSize:]
	fields = protowire.AppendVarint(protowire.AppendTag(fields, 99, protowire.VarintType), 5)
	fields = protowire.AppendBytes(protowire.AppendTag(fields, 100, protowire.BytesType), []byte("later"))
	fields = protowire.AppendFixed32(protowire.AppendTag(fields, 101, protowire.Fixed32Type), 1)
	m, err := Parse(seal(fields), 7, 10)
	if err != nil || m.Kind != membership.Ack || m.Seq != 9 {
		t.Errorf("%+v, %v", m, err)
	}
}

// Parsing a datagram of maximum size must not allocate out of proportion, whatever its contents.
func TestAllocationIsBounded(t *testing.T) {
	repeated := func(field protowire.Number, content []byte) []byte {
		var fields []byte
		for len(fields) < MaxDatagram-HeaderSize-16 {
			fields = protowire.AppendBytes(protowire.AppendTag(fields, field, protowire.BytesType), content)
		}
		return append(fields, Append(nil, 7, &membership.Message{Kind: membership.Gossip, SenderLife: 1})[HeaderSize:]...)
	}
	for name, b := range map[string][]byte{
		"alerts": seal(repeated(fieldAlert, []byte{1, 1, 1})), "refutations": seal(repeated(fieldRefutation, []byte{1, 1})), "joiners": seal(repeated(fieldJoiner, nil)),
		"votes": seal(repeated(fieldVote, []byte{0x1a, 1, 1})), "departures": seal(repeated(fieldDepartures, make([]byte, 1000))),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		Parse(b, 7, 10)
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > 256<<10 {
			t.Errorf("%s: %d bytes allocated for %d", name, got, len(b))
		}
	}
}

// FuzzParse checks that arbitrary fields do not make the parser panic, and that what was parsed is the
// same after encoding and parsing again.
func FuzzParse(f *testing.F) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 30 {
		f.Add(Append(nil, 7, randomMessage(rng))[HeaderSize:])
	}
	f.Fuzz(func(t *testing.T, fields []byte) {
		m, err := Parse(seal(fields), 7, 10)
		if err != nil {
			return
		}
		again, err := Parse(Append(nil, 7, m), 7, 10)
		if err != nil {
			t.Fatalf("a parsed message can't be parsed after encoding: %v", err)
		}
		if m.View != nil && m.View.Digest != again.View.Digest {
			t.Fatal("the view changed")
		}
		m.View, again.View = nil, nil
		if !reflect.DeepEqual(m, again) {
			t.Fatalf("read %+v\nthen %+v", m, again)
		}
	})
}

// FuzzParseList does the same for messages about server lists.
func FuzzParseList(f *testing.F) {
	f.Add(AppendList(nil, &ListMessage{Message: bootstrap.Message{Kind: bootstrap.ListReply, From: "n", List: bootstrap.List{Generation: 4, Discovery: "d", Age: time.Second}, Body: []byte("{}")}, Addr: netip.MustParseAddrPort("127.0.0.1:1")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseList(b)
		if err != nil {
			return
		}
		again, err := ParseList(AppendList(nil, m))
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%+v, then %+v: %v", m, again, err)
		}
	})
}
