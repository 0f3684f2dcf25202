package wire

import (
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
)

func randomServer(rng *rand.Rand) allowance.Server {
	return allowance.Server{ID: strings.Repeat("x", 1+rng.IntN(40)), Started: time.Duration(rng.Int64() - rng.Int64())}
}

func randomClaim(rng *rand.Rand) *allowance.Claim {
	c := &allowance.Claim{Lender: 1 + rng.Uint64N(1<<62), Seq: 1 + rng.Uint64N(1000), Stamp: rng.Uint64() * rng.Uint64N(2)}
	for range rng.IntN(allowance.MaxClaimItems + 1) {
		c.Items = append(c.Items, allowance.ClaimItem{Server: randomServer(rng), Rate: 100 * rng.Float64(), Used: rng.IntN(9), Unused: rng.IntN(9), Wanted: rng.IntN(3), Answered: rng.IntN(5)})
	}
	return c
}

func randomGrant(rng *rand.Rand) *allowance.Grant {
	g := &allowance.Grant{Seq: rng.Uint64N(1000), Stamp: rng.Uint64()}
	for range rng.IntN(allowance.MaxClaimItems + 1) {
		g.Items = append(g.Items, allowance.Allotment{Server: randomServer(rng), Sends: rng.IntN(4), TotalSends: rng.IntN(100)})
	}
	return g
}

// Claims and grants must survive encoding and parsing unchanged, and the largest claim must fit a
// datagram with ids of realistic length.
func TestClaimAndGrantRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		c, g := randomClaim(rng), randomGrant(rng)
		if got, err := ParseClaim(AppendClaim(nil, c)); err != nil || !reflect.DeepEqual(c, got) {
			t.Fatalf("sent %+v\n got %+v, %v", c, got, err)
		}
		if got, err := ParseGrant(AppendGrant(nil, g)); err != nil || !reflect.DeepEqual(g, got) {
			t.Fatalf("sent %+v\n got %+v, %v", g, got, err)
		}
		message := Append(nil, 7, &membership.Message{Kind: membership.Payload, SenderLife: 1, Topic: TopicClaim, Body: AppendClaim(nil, c)})
		if len(message) > MaxDatagram+allowance.MaxClaimItems*32 { // ids of up to 40 bytes here; real ones have 8 to 20
			t.Fatalf("claim of %d bytes", len(message))
		}
	}
}

// FuzzClaim checks that arbitrary input does not make the parser, a lender or an allocator panic, and
// that what was parsed is the same after encoding and parsing again.
func FuzzClaim(f *testing.F) {
	rng := rand.New(rand.NewPCG(7, 8))
	for range 20 {
		f.Add(AppendClaim(nil, randomClaim(rng)))
		f.Add(AppendGrant(nil, randomGrant(rng)))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if g, err := ParseGrant(body); err == nil {
			if again, err := ParseGrant(AppendGrant(nil, g)); err != nil || !reflect.DeepEqual(g, again) {
				t.Fatalf("read %+v\nthen %+v, %v", g, again, err)
			}
			allowance.NewLender(allowance.Settings{}, 1, 0).HandleGrant(time.Second, 5, g)
		}
		c, err := ParseClaim(body)
		if err != nil {
			return
		}
		if again, err := ParseClaim(AppendClaim(nil, c)); err != nil || !reflect.DeepEqual(c, again) {
			t.Fatalf("read %+v\nthen %+v, %v", c, again, err)
		}
		d := allowance.NewAllocator(allowance.Settings{})
		first, ok := d.HandleClaim(time.Hour, c)
		if !ok {
			t.Fatal("the first claim was not answered")
		}
		c.Seq, c.Stamp = c.Seq+1, first.Stamp
		d.HandleClaim(time.Hour+time.Second, c)
		d.HandleClaim(time.Hour+time.Minute, c)
	})
}
