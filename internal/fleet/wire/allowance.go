package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/protofields"
)

// The topics of carried messages. They are never used anew for something else.
const (
	TopicClaim uint32 = 1 + iota // of package allowance
	TopicGrant
	TopicLease // of package council
	TopicList  // of package record
)

// AppendClaim appends the body of a claim.
func AppendClaim(to []byte, c *allowance.Claim) []byte {
	to = protofields.AppendFixed(to, 1, c.Lender)
	to = protofields.AppendUint(to, 2, c.Seq)
	to = protofields.AppendUint(to, 3, c.Stamp)
	var part []byte
	for i := range c.Items {
		it := &c.Items[i]
		part = appendServer(part[:0], it.Server)
		part = protofields.AppendFixed(part, 3, math.Float64bits(it.Rate))
		part = protofields.AppendUint(part, 4, uint64(it.Used))
		part = protofields.AppendUint(part, 5, uint64(it.Unused))
		part = protofields.AppendUint(part, 6, uint64(it.Wanted))
		part = protofields.AppendUint(part, 7, uint64(it.Answered))
		to = protofields.AppendBytes(to, 4, part)
	}
	return to
}

// AppendGrant appends the body of a grant.
func AppendGrant(to []byte, g *allowance.Grant) []byte {
	to = protofields.AppendUint(to, 1, g.Seq)
	to = protofields.AppendUint(to, 2, g.Stamp)
	var part []byte
	for i := range g.Items {
		part = appendServer(part[:0], g.Items[i].Server)
		part = protofields.AppendUint(part, 3, uint64(g.Items[i].Sends))
		part = protofields.AppendUint(part, 4, uint64(g.Items[i].TotalSends))
		to = protofields.AppendBytes(to, 3, part)
	}
	return to
}

func appendServer(to []byte, b allowance.Server) []byte {
	return protofields.AppendUint(protofields.AppendBytes(to, 1, []byte(b.ID)), 2, protowire.EncodeZigZag(int64(b.Started)))
}

// ParseClaim reads the body of a claim.
func ParseClaim(b []byte) (*allowance.Claim, error) {
	c := &allowance.Claim{}
	var r reader
	err := r.fields(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			c.Lender = f.Uint
		case f.IsUint && f.Number == 2:
			c.Seq = f.Uint
		case f.IsUint && f.Number == 3:
			c.Stamp = f.Uint
		case !f.IsUint && f.Number == 4:
			if len(c.Items) == allowance.MaxClaimItems {
				return newError(Malformed, "a claim for more than %d servers", allowance.MaxClaimItems)
			}
			var it allowance.ClaimItem
			err := r.fields(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case f.IsUint && f.Number == 3:
					it.Rate = math.Float64frombits(f.Uint)
				case f.IsUint && f.Number == 4:
					it.Used, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 5:
					it.Unused, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 6:
					it.Wanted, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 7:
					it.Answered, err = parseCount(f.Uint)
				default:
					readServer(&it.Server, f)
				}
				return err
			})
			if err != nil {
				return err
			}
			c.Items = append(c.Items, it)
		}
		return nil
	})
	if err == nil && c.Check() != nil {
		err = newError(Malformed, "%v", c.Check())
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// ParseGrant reads the body of a grant.
func ParseGrant(b []byte) (*allowance.Grant, error) {
	g := &allowance.Grant{}
	var r reader
	err := r.fields(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			g.Seq = f.Uint
		case f.IsUint && f.Number == 2:
			g.Stamp = f.Uint
		case !f.IsUint && f.Number == 3:
			if len(g.Items) == allowance.MaxClaimItems {
				return newError(Malformed, "a grant for more than %d servers", allowance.MaxClaimItems)
			}
			var x allowance.Allotment
			err := r.fields(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case f.IsUint && f.Number == 3:
					x.Sends, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 4:
					x.TotalSends, err = parseCount(f.Uint)
				default:
					readServer(&x.Server, f)
				}
				return err
			})
			if err != nil {
				return err
			}
			g.Items = append(g.Items, x)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return g, nil
}

func readServer(b *allowance.Server, f protofields.Field) {
	switch {
	case !f.IsUint && f.Number == 1:
		b.ID = string(f.Bytes)
	case f.IsUint && f.Number == 2:
		b.Started = time.Duration(protowire.DecodeZigZag(f.Uint))
	}
}

// count takes a number of 31 bits.
func parseCount(x uint64) (int, error) {
	if x > math.MaxInt32 {
		return 0, newError(Malformed, "%d is no count", x)
	}
	return int(x), nil
}
