package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/protofields"
)

// The topics of Payload messages. A number is never reused for another topic.
const (
	TopicClaim uint32 = 1 + iota // a claim of package allowance
	TopicGrant                   // a grant of package allowance
	TopicLease                   // a message of package leaselog
	TopicList                    // a message of package bootstrap
)

// AppendClaim appends a claim as the body of a message.
func AppendClaim(to []byte, c *allowance.Claim) []byte {
	to = protofields.AppendFixed(to, 1, c.Lender)
	to = protofields.AppendUint(to, 2, c.Seq)
	to = protofields.AppendUint(to, 3, c.Stamp)
	var itemFields []byte
	for i := range c.Items {
		item := &c.Items[i]
		itemFields = appendServer(itemFields[:0], item.Server)
		itemFields = protofields.AppendFixed(itemFields, 3, math.Float64bits(item.Rate))
		itemFields = protofields.AppendUint(itemFields, 4, uint64(item.Used))
		itemFields = protofields.AppendUint(itemFields, 5, uint64(item.Unused))
		itemFields = protofields.AppendUint(itemFields, 6, uint64(item.Wanted))
		itemFields = protofields.AppendUint(itemFields, 7, uint64(item.Answered))
		to = protofields.AppendBytes(to, 4, itemFields)
	}
	return to
}

// AppendGrant appends a grant as the body of a message.
func AppendGrant(to []byte, g *allowance.Grant) []byte {
	to = protofields.AppendUint(to, 1, g.Seq)
	to = protofields.AppendUint(to, 2, g.Stamp)
	var itemFields []byte
	for i := range g.Items {
		itemFields = appendServer(itemFields[:0], g.Items[i].Server)
		itemFields = protofields.AppendUint(itemFields, 3, uint64(g.Items[i].Sends))
		itemFields = protofields.AppendUint(itemFields, 4, uint64(g.Items[i].TotalSends))
		to = protofields.AppendBytes(to, 3, itemFields)
	}
	return to
}

// appendServer appends the fields that identify a life of a server.
func appendServer(to []byte, server allowance.Server) []byte {
	return protofields.AppendUint(protofields.AppendBytes(to, 1, []byte(server.ID)), 2, protowire.EncodeZigZag(int64(server.Started)))
}

// ParseClaim parses the body of a claim.
func ParseClaim(b []byte) (*allowance.Claim, error) {
	c := &allowance.Claim{}
	var r reader
	err := r.forEachField(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			c.Lender = f.Uint
		case f.IsUint && f.Number == 2:
			c.Seq = f.Uint
		case f.IsUint && f.Number == 3:
			c.Stamp = f.Uint
		case !f.IsUint && f.Number == 4:
			if len(c.Items) == allowance.MaxClaimItems {
				return newError(Malformed, "claim: more than %d servers", allowance.MaxClaimItems)
			}
			var item allowance.ClaimItem
			err := r.forEachField(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case f.IsUint && f.Number == 3:
					item.Rate = math.Float64frombits(f.Uint)
				case f.IsUint && f.Number == 4:
					item.Used, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 5:
					item.Unused, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 6:
					item.Wanted, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 7:
					item.Answered, err = parseCount(f.Uint)
				default:
					readServer(&item.Server, f)
				}
				return err
			})
			if err != nil {
				return err
			}
			c.Items = append(c.Items, item)
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

// ParseGrant parses the body of a grant.
func ParseGrant(b []byte) (*allowance.Grant, error) {
	g := &allowance.Grant{}
	var r reader
	err := r.forEachField(b, func(f protofields.Field) error {
		switch {
		case f.IsUint && f.Number == 1:
			g.Seq = f.Uint
		case f.IsUint && f.Number == 2:
			g.Stamp = f.Uint
		case !f.IsUint && f.Number == 3:
			if len(g.Items) == allowance.MaxClaimItems {
				return newError(Malformed, "grant: more than %d servers", allowance.MaxClaimItems)
			}
			var allotment allowance.Allotment
			err := r.forEachField(f.Bytes, func(f protofields.Field) (err error) {
				switch {
				case f.IsUint && f.Number == 3:
					allotment.Sends, err = parseCount(f.Uint)
				case f.IsUint && f.Number == 4:
					allotment.TotalSends, err = parseCount(f.Uint)
				default:
					readServer(&allotment.Server, f)
				}
				return err
			})
			if err != nil {
				return err
			}
			g.Items = append(g.Items, allotment)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return g, nil
}

// readServer stores a field appended by appendServer.
func readServer(server *allowance.Server, f protofields.Field) {
	switch {
	case !f.IsUint && f.Number == 1:
		server.ID = string(f.Bytes)
	case f.IsUint && f.Number == 2:
		server.Started = time.Duration(protowire.DecodeZigZag(f.Uint))
	}
}

// parseCount converts a count, which must fit 31 bits.
func parseCount(x uint64) (int, error) {
	if x > math.MaxInt32 {
		return 0, newError(Malformed, "count %d is out of range", x)
	}
	return int(x), nil
}
