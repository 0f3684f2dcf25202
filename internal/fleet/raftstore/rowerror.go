package raftstore

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// RowError reports a stored row that is missing, can't be decoded, or contradicts the others.
type RowError struct {
	Table string // "voter", "boots", "chunks" or "entries"
	Key   string // a name; of boots a voter ID, of chunks a position, of entries an index
	Err   error  // what is wrong
}

func (e *RowError) Error() string {
	return fmt.Sprintf("raftstore: row %s of table %s: %v", e.Key, e.Table, e.Err)
}

func (e *RowError) Unwrap() error { return e.Err }

// rowErrorf returns a RowError about a row, with a formatted text.
func rowErrorf(table byte, key, format string, args ...any) *RowError {
	names := [...]string{tableVoter: "voter", tableBoots: "boots", tableChunks: "chunks", tableEntries: "entries"}
	return &RowError{Table: names[table], Key: keyText(table, key), Err: fmt.Errorf(format, args...)}
}

// keyText returns a row's key as it is shown to operators.
func keyText(table byte, key string) string {
	number, err := decodeUint64([]byte(key))
	switch {
	case table == tableVoter:
		return key
	case err != nil:
		return fmt.Sprintf("with the invalid key %x", key)
	case table == tableBoots:
		return fmt.Sprintf("%x", number)
	default:
		return fmt.Sprint(number)
	}
}

// unmarshalRow decodes a row's value. Its error names the byte at which the value is malformed, if that is known.
func unmarshalRow(table byte, key string, value []byte, message proto.Message) *RowError {
	err := proto.Unmarshal(value, message)
	if err == nil {
		return nil
	}
	if offset, found := malformedField(value); found {
		return rowErrorf(table, key, "the field at byte %d of %d: %w", offset, len(value), err)
	}
	return rowErrorf(table, key, "a value of %d bytes: %w", len(value), err)
}

// malformedField returns the offset of the first field that can't be read; false: each of them can, but not what
// one of them contains.
func malformedField(value []byte) (offset int, found bool) {
	for offset < len(value) {
		_, _, size := protowire.ConsumeField(value[offset:])
		if size < 0 {
			return offset, true
		}
		offset += size
	}
	return 0, false
}
