// Package protofields writes and reads fields in the form of protocol buffers: messages between nodes, entries
// of the agreed log and rows on disk are made of them. A reader passes over fields that it does not know,
// so that a version before and one after live in one fleet.
//
// It is pure, and must not know what the fields mean. What it returns of bytes refers to what it was given.
//
// Source: Protocol Buffers, "Encoding" (the wire form), by google.golang.org/protobuf/encoding/protowire.
package protofields

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field is one field: a number, or bytes.
type Field struct {
	Number protowire.Number
	IsUint bool
	Uint   uint64
	Bytes  []byte
}

// Error says why bytes are no fields.
type Error struct{ Text string }

func (e *Error) Error() string { return e.Text }

// Wrong makes an Error.
func Errorf(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Number appends a number; 0 is left out.
func AppendUint(to []byte, field protowire.Number, x uint64) []byte {
	if x == 0 {
		return to
	}
	return protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), x)
}

// Fixed appends a number that is mostly large; 0 is left out.
func AppendFixed(to []byte, field protowire.Number, x uint64) []byte {
	if x == 0 {
		return to
	}
	return protowire.AppendFixed64(protowire.AppendTag(to, field, protowire.Fixed64Type), x)
}

// Bytes appends bytes, also none.
func AppendBytes(to []byte, field protowire.Number, b []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(to, field, protowire.BytesType), b)
}

// Text appends a text; an empty one is left out.
func AppendString(to []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return to
	}
	return protowire.AppendString(protowire.AppendTag(to, field, protowire.BytesType), s)
}

// Flag appends a flag; false is left out.
func AppendBool(to []byte, field protowire.Number, on bool) []byte {
	if !on {
		return to
	}
	return AppendUint(to, field, 1)
}

// Each hands out each field of some bytes. Those of types that are not used here are passed over.
func ForEach(b []byte, each func(Field) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return Errorf("a field has no number")
		}
		b = b[n:]
		f := Field{Number: num}
		switch typ {
		case protowire.VarintType:
			f.Uint, n = protowire.ConsumeVarint(b)
			f.IsUint = true
		case protowire.Fixed64Type:
			f.Uint, n = protowire.ConsumeFixed64(b)
			f.IsUint = true
		case protowire.BytesType:
			f.Bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
			f.Number = 0
		}
		if n < 0 {
			return Errorf("field %d is cut off", num)
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
