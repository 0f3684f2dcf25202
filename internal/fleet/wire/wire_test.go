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

// drawn is a message with some of everything.
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
		var all []membership.Member
		for i := range 1 + rng.IntN(30) {
			x := randomMember(rng)
			x.Name = fmt.Sprintf("%s-%d", x.Name, i)
			all = append(all, *x)
		}
		m.View, _ = membership.NewView(1+rng.Uint64N(1e9), 1+rng.Uint64N(1e9), all, 10)
	}
	return m
}

func TestMessagesComeBack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		m := randomMessage(rng)
		got, err := Parse(Append(nil, 7, m), 7, 10)
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		if (m.View == nil) != (got.View == nil) || m.View != nil && m.View.Digest != got.View.Digest {
			t.Fatalf("another view came back")
		}
		m.View, got.View = nil, nil
		if !reflect.DeepEqual(m, got) {
			t.Fatalf("sent %+v\n got %+v", m, got)
		}
	}
}

// What is none of this fleet's is told apart, and each is passed over.
func TestPassedOver(t *testing.T) {
	m := &membership.Message{Kind: membership.Probe, SenderLife: 3, Seq: 4}
	good := Append(nil, 7, m)
	change := func(at int, to byte) []byte {
		b := append([]byte(nil), good...)
		b[at] = to
		return b
	}
	for name, x := range map[string]struct {
		b    []byte
		want Fault
	}{
		"nothing": {nil, TooShort}, "a head cut off": {good[:HeaderSize-1], TooShort}, "text": {[]byte("GET / HTTP/1.1\r\n"), BadMagic},
		"the next version": {change(2, Version+1), OtherVersion}, "another fleet": {Append(nil, 8, m), OtherFleet},
		"a byte changed": {change(len(good)-1, good[len(good)-1]^1), BadChecksum}, "cut off": {good[:len(good)-1], BadChecksum},
		"no sender":                  {Append(nil, 7, &membership.Message{Kind: membership.Probe}), Malformed},
		"no kind":                    {Append(nil, 7, &membership.Message{SenderLife: 1}), Malformed},
		"a kind of the next version": {Append(nil, 7, &membership.Message{Kind: membership.Payload + 1, SenderLife: 1}), Malformed},
	} {
		_, err := Parse(x.b, 7, 10)
		var bad *Error
		if !errors.As(err, &bad) || bad.Fault != x.want {
			t.Errorf("%s: %v, want fault %d", name, err, x.want)
		}
	}
	// Every single byte changed is found.
	for i := range good {
		if _, err := Parse(change(i, good[i]^0x10), 7, 10); err == nil {
			t.Errorf("byte %d changed: not found", i)
		}
	}
}

// seal gives fields a head that is right.
func seal(fields []byte) []byte {
	b := Append(nil, 7, &membership.Message{})[:HeaderSize]
	b = append(b, fields...)
	sum := checksum(b)
	b[8], b[9], b[10], b[11] = byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum)
	return b
}

// Fields that a later writer of this version adds are passed over.
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

// A datagram of the largest size makes the reader allocate no more than it warrants, whatever it says.
func TestAllocationIsWarranted(t *testing.T) {
	many := func(field protowire.Number, part []byte) []byte {
		var all []byte
		for len(all) < MaxDatagram-HeaderSize-16 {
			all = protowire.AppendBytes(protowire.AppendTag(all, field, protowire.BytesType), part)
		}
		return append(all, Append(nil, 7, &membership.Message{Kind: membership.Gossip, SenderLife: 1})[HeaderSize:]...)
	}
	for name, b := range map[string][]byte{
		"alerts": seal(many(fieldAlert, []byte{1, 1, 1})), "alive": seal(many(fieldRefutation, []byte{1, 1})), "joins": seal(many(fieldJoiner, nil)),
		"votes": seal(many(fieldVote, []byte{0x1a, 1, 1})), "leaving": seal(many(fieldDepartures, make([]byte, 1000))),
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

// FuzzParse: what comes never makes the reader panic, and what it reads it writes again as it was.
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
			t.Fatalf("what was read can't be written: %v", err)
		}
		if m.View != nil && m.View.Digest != again.View.Digest {
			t.Fatal("another view came back")
		}
		m.View, again.View = nil, nil
		if !reflect.DeepEqual(m, again) {
			t.Fatalf("read %+v\nthen %+v", m, again)
		}
	})
}

// A message about lists may be anything.
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
