package membership

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"
)

// Arbitrary messages in arbitrary order must neither make a node panic nor make it send an
// unbounded number of messages.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 200, 100, 50})
	f.Add([]byte("a longer one, that goes through several messages of several kinds and comes to votes"))
	f.Fuzz(func(t *testing.T, data []byte) {
		data = data[:min(len(data), 600)]
		next := func() uint64 {
			var b [8]byte
			n := copy(b[:], data)
			data = data[min(n, 2):]
			return binary.LittleEndian.Uint64(b[:])
		}
		addr := func(x uint64) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1 + byte(x%5)}), 7000)
		}
		member := func() Member {
			x := next()
			return Member{Name: string(rune('a' + x%6)), Addr: addr(x >> 8), Life: 1 + x>>16%7, Incarnation: x >> 24 % 4}
		}
		n := New(Settings{Self: Member{Name: "a", Addr: addr(0)}, Seeds: []netip.AddrPort{addr(0)}}, 1, time.Second)
		now := time.Second
		for range 60 {
			now += 100 * time.Millisecond
			n.Tick(now)
		}
		var members []Member
		for i := range 4 {
			members = append(members, Member{Name: string(rune('b' + i)), Addr: addr(uint64(i) + 1), Life: uint64(i) + 1})
		}
		if v, err := NewView(n.view.FleetID, 2, append(members, n.self), 10); err == nil {
			n.installView(v, "")
		}
		for len(data) > 0 {
			x := next()
			m := &Message{Kind: Kind(1 + x%9), FleetID: 1, ViewNumber: x >> 8 % 5, SenderLife: x >> 16 % 8, Seq: x >> 20 % 16, LowestSeed: uint32(x >> 24 % 3)}
			if n.view != nil && x>>30&1 == 0 {
				m.FleetID, m.ViewNumber = n.view.FleetID, n.view.Number
			}
			if x>>31&1 == 1 {
				self := member()
				self.Life = max(1, m.SenderLife)
				m.Self = &self
				holder := member()
				m.NameHolder = &holder
			}
			y := next()
			m.Alerts = []Alert{{uint32(y % 8), uint32(y >> 8 % 6), uint32(y >> 16 % 9), y>>24&1 == 1}}
			m.Refutations = []Refutation{{uint32(y >> 26 % 8), uint32(y >> 32 % 9)}}
			m.Departures = []Departure{{uint32(y >> 36 % 8), y>>40&1 == 1}}
			if y>>41&1 == 1 {
				z := next()
				p := &Proposal{ViewNumber: m.ViewNumber, NextNumber: m.ViewNumber + z%3, Remove: []uint32{uint32(z >> 8 % 6), uint32(z >> 16 % 6)}, Add: []Member{member()}}
				m.Vote = &Vote{ViewNumber: m.ViewNumber, Ballot: z >> 24 % 9 << 32, Promises: BitSet{byte(z >> 32)}, AcceptedBallot: z >> 40 % 3, AcceptedValue: p.Hash(), Value: p.Hash() * (z >> 44 % 2), Forced: z>>46&1 == 1, Accepts: BitSet{byte(z >> 48)}}
				m.Proposal, m.WantedHash = p, p.Hash()
				m.Joiners = []Joiner{{Member: member(), SponsorSlot: uint32(z >> 56 % 20), LastViewNumber: z >> 60}}
				if z>>50&1 == 1 {
					m.View, _ = NewView(m.FleetID, m.ViewNumber+1, []Member{member(), n.self}, 10)
				}
			}
			n.Receive(now, m)
			if x>>32&1 == 1 {
				now += time.Duration(x>>33%2000) * time.Millisecond
				n.Tick(now)
			}
			outgoing, _ := n.TakeOutput()
			if len(outgoing) > 2000 {
				t.Fatalf("%d outgoing messages for one received message", len(outgoing))
			}
			n.Status(now)
		}
	})
}
