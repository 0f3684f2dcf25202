package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is that of the records written here. A file of a later one is left alone.
const Version = 1

// What a record is.
const (
	opBegin  = 1 // of a file: version and generation
	opPut    = 2
	opDelete = 3
	opEnd    = 4 // of a snapshot: how many rows it has
	opCommit = 5 // of a commit: how many rows it has, all of which hold together
)

// A record, in little endian: magic 4, operation 1, table 1, length of the key 2, of the
// value 4, sequence number 8, key, value, checksum 8.
const (
	headerBytes   = 20
	checksumBytes = 8
	// MostKey and MostValue bound a row.
	MaxKeyBytes   = 1 << 10
	MaxValueBytes = 64 << 10
)

// magic begins each record. It is no text, and changes its bytes where a file was
// sent as such.
const magic = "\xc5w\nr"

// record is one change.
type record struct {
	op    byte
	table byte
	seq   uint64
	key   string
	value []byte
}

// size is what a record takes in a file.
func (r *record) size() int { return headerBytes + len(r.key) + len(r.value) + checksumBytes }

// append writes a record of a file of this generation.
func (r *record) append(to []byte, generation uint64) []byte {
	from := len(to)
	to = append(append(to, magic...), r.op, r.table)
	to = binary.LittleEndian.AppendUint16(to, uint16(len(r.key)))
	to = binary.LittleEndian.AppendUint32(to, uint32(len(r.value)))
	to = binary.LittleEndian.AppendUint64(to, r.seq)
	to = append(append(to, r.key...), r.value...)
	return binary.LittleEndian.AppendUint64(to, checksum(to[from:], generation))
}

// sum is a record's checksum. The generation goes in, so that a block that an older
// file left on the disk is none of this one's.
func checksum(data []byte, generation uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(generation)
	d.Write(data)
	return d.Sum64()
}

// read takes the record that the data begins with.
func readRecord(data []byte, generation uint64) (r record, size int, ok bool) {
	if len(data) < headerBytes+checksumBytes || string(data[:4]) != magic {
		return r, 0, false
	}
	keyed := int(binary.LittleEndian.Uint16(data[6:]))
	valued := int(binary.LittleEndian.Uint32(data[8:]))
	if keyed > MaxKeyBytes || valued > MaxValueBytes {
		return r, 0, false
	}
	size = headerBytes + keyed + valued + checksumBytes
	if len(data) < size || binary.LittleEndian.Uint64(data[size-checksumBytes:]) != checksum(data[:size-checksumBytes], generation) {
		return r, 0, false
	}
	r = record{op: data[4], table: data[5], seq: binary.LittleEndian.Uint64(data[12:])}
	r.key = string(data[headerBytes : headerBytes+keyed])
	r.value = bytes.Clone(data[headerBytes+keyed : headerBytes+keyed+valued])
	return r, size, true
}

// begin is a file's first record.
func beginRecord(generation uint64) record {
	value := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint16(nil, Version), generation)
	return record{op: opBegin, value: value}
}

// file is what was read of one.
type scannedFile struct {
	records        []record
	damagedBytes   int  // bytes between sound records
	truncatedBytes int  // bytes behind the last sound one: a write that was cut, most likely
	complete       bool // a snapshot with all its rows
	problem        string
}

// scan reads a file of a generation. It passes over what is damaged. With commits set, rows hold only from whole commits:
// those at the file's end that lack some were being written; others are damage.
func scan(data []byte, generation uint64, commits bool) (f scannedFile) {
	begun, rows, ended := false, 0, -1
	held, pending, hole := 0, 0, 0 // records that hold; behind them bytes of sound ones, and of others
	lost := 0
	for at := 0; at < len(data); {
		r, size, ok := readRecord(data[at:], generation)
		if !ok {
			next := bytes.Index(data[at+1:], []byte(magic))
			if next < 0 {
				f.truncatedBytes = lost + len(data) - at
				lost = 0
				break
			}
			lost += next + 1
			at += next + 1
			continue
		}
		if commits {
			hole += lost
		} else {
			f.damagedBytes += lost
		}
		lost = 0
		at += size
		switch r.op {
		case opBegin:
			if len(r.value) >= 2 {
				if v := binary.LittleEndian.Uint16(r.value); v > Version {
					return scannedFile{problem: fmt.Sprintf("it is of version %d, and this program reads %d", v, Version)}
				}
			}
			begun = true
		case opPut, opDelete:
			rows++
			pending += size
			f.records = append(f.records, r)
		case opCommit:
			if !commits {
				continue
			}
			if len(r.value) != 8 || binary.LittleEndian.Uint64(r.value) != uint64(len(f.records)-held) {
				f.records = f.records[:held]
				f.damagedBytes += pending
			}
			f.damagedBytes += hole // something sound follows it
			held, pending, hole = len(f.records), 0, 0
		case opEnd:
			if len(r.value) == 8 {
				ended = int(binary.LittleEndian.Uint64(r.value))
			}
		}
	}
	if commits {
		f.records = f.records[:held]
		f.truncatedBytes += pending + hole
	}
	if !begun && len(f.records) == 0 && len(data) > 0 {
		f.problem = "it is no file of this store"
	}
	f.complete = begun && ended == rows && f.damagedBytes == 0
	return f
}
