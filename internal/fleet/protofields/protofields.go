// Package protofields encodes and decodes fields in the wire format of protocol buffers. Messages
// between nodes, entries of the replicated log and rows on disk consist of such fields. A reader
// ignores unknown fields, so that two successive versions can run in one fleet.
//
// The package is pure and must not know what the fields mean. Decoded bytes alias the input.
//
// Source: Protocol Buffers, "Encoding", as implemented by
// google.golang.org/protobuf/encoding/protowire.
package protofields

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field is one decoded field: an unsigned integer or bytes.
type Field struct {
	Number protowire.Number
	IsUint bool
	Uint   uint64
	Bytes  []byte
}

// Error reports malformed input.
type Error struct{ Text string }

func (e *Error) Error() string { return e.Text }

// Errorf returns an Error with a formatted text.
func Errorf(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// AppendUint appends an integer as a varint; 0 is omitted.
func AppendUint(to []byte, field protowire.Number, x uint64) []byte {
	if x == 0 {
		return to
	}
	return protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), x)
}

// AppendFixed appends an integer in 8 bytes, for values that are mostly large; 0 is omitted.
func AppendFixed(to []byte, field protowire.Number, x uint64) []byte {
	if x == 0 {
		return to
	}
	return protowire.AppendFixed64(protowire.AppendTag(to, field, protowire.Fixed64Type), x)
}

// AppendBytes appends bytes, also if there are none.
func AppendBytes(to []byte, field protowire.Number, b []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(to, field, protowire.BytesType), b)
}

// AppendString appends a string; an empty one is omitted.
func AppendString(to []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return to
	}
	return protowire.AppendString(protowire.AppendTag(to, field, protowire.BytesType), s)
}

// AppendBool appends a boolean; false is omitted.
func AppendBool(to []byte, field protowire.Number, on bool) []byte {
	if !on {
		return to
	}
	return AppendUint(to, field, 1)
}

// ForEach calls each for every field of b, until it returns an error. Fields of unsupported types
// are skipped.
func ForEach(b []byte, each func(Field) error) error {
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return Errorf("invalid field tag")
		}
		b = b[n:]
		f := Field{Number: number}
		switch wireType {
		case protowire.VarintType:
			f.Uint, n = protowire.ConsumeVarint(b)
			f.IsUint = true
		case protowire.Fixed64Type:
			f.Uint, n = protowire.ConsumeFixed64(b)
			f.IsUint = true
		case protowire.BytesType:
			f.Bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(number, wireType, b)
			f.Number = 0
		}
		if n < 0 {
			return Errorf("field %d is truncated", number)
		}
		b = b[n:]
		if f.Number == 0 {
			continue
		}
		if err := each(f); err != nil {
			return err
		}
	}
	return nil
}
