package store

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is the format version of the records written here. A file of a later version is left
// untouched.
const Version = 1

// Operations of records.
const (
	opBegin  = 1 // first in a file: version and generation
	opPut    = 2
	opDelete = 3
	opEnd    = 4 // last in a snapshot: its number of rows
	opCommit = 5 // last in an atomic commit: its number of rows
)

// Layout of a record, in little endian: magic 4 bytes, operation 1, table 1, length of the key 2,
// length of the value 4, sequence number 8, key, value, checksum 8.
const (
	valueLengthOffset = 8
	headerBytes       = 20
	checksumBytes     = 8
	// MaxKeyBytes and MaxValueBytes bound a row.
	MaxKeyBytes   = 1 << 10
	MaxValueBytes = 64 << 10
)

// magic begins each record. It is not valid text, and includes a line feed, so that it is changed,
// and the damage noticed, if a file was transferred as text.
const magic = "\xc5w\nr"

// record is one entry of a file.
type record struct {
	op    byte
	table byte
	seq   uint64
	key   string
	value []byte
}

// size returns the encoded size.
func (r *record) size() int { return headerBytes + len(r.key) + len(r.value) + checksumBytes }

// append appends the encoded record, for a file of the given generation.
func (r *record) append(buf []byte, generation uint64) []byte {
	start := len(buf)
	buf = append(append(buf, magic...), r.op, r.table)
	buf = binary.LittleEndian.AppendUint16(buf, uint16(len(r.key)))
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r.value)))
	buf = binary.LittleEndian.AppendUint64(buf, r.seq)
	buf = append(append(buf, r.key...), r.value...)
	return binary.LittleEndian.AppendUint64(buf, checksum(buf[start:], generation))
}

// checksum returns a record's checksum. It is seeded with the generation, so that a block which an
// older file left on the disk is not accepted as part of this one.
func checksum(data []byte, generation uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(generation)
	digest.Write(data)
	return digest.Sum64()
}

// readRecord decodes the record that the data begins with.
func readRecord(data []byte, generation uint64) (decoded record, size int, ok bool) {
	if len(data) < headerBytes+checksumBytes || string(data[:4]) != magic {
		return decoded, 0, false
	}
	keyLength := int(binary.LittleEndian.Uint16(data[6:]))
	valueLength := int(binary.LittleEndian.Uint32(data[valueLengthOffset:]))
	if keyLength > MaxKeyBytes || valueLength > MaxValueBytes {
		return decoded, 0, false
	}
	size = headerBytes + keyLength + valueLength + checksumBytes
	if len(data) < size || binary.LittleEndian.Uint64(data[size-checksumBytes:]) != checksum(data[:size-checksumBytes], generation) {
		return decoded, 0, false
	}
	decoded = record{op: data[4], table: data[5], seq: binary.LittleEndian.Uint64(data[12:])}
	decoded.key = string(data[headerBytes : headerBytes+keyLength])
	decoded.value = bytes.Clone(data[headerBytes+keyLength : headerBytes+keyLength+valueLength])
	return decoded, size, true
}

// Layout of the value of a file's first record, in little endian: version 2 bytes, generation 8, and in a journal that is
// written to more than one file the number of its copies, 1.
const copiesOffset = 2 + 8

// beginRecord returns the first record of a file.
func beginRecord(generation uint64) record {
	value := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint16(nil, Version), generation)
	return record{op: opBegin, value: value}
}

// beginJournalRecord returns the first record of a journal that is written to so many files.
func beginJournalRecord(generation uint64, copies int) record {
	begin := beginRecord(generation)
	if copies > 1 {
		begin.value = append(begin.value, byte(copies))
	}
	return begin
}

// copiesOf returns the number of copies that a file's first record names.
func copiesOf(begin *record) int {
	if len(begin.value) <= copiesOffset {
		return 1
	}
	return int(begin.value[copiesOffset])
}

// scannedFile is the result of reading one file.
type scannedFile struct {
	records        []record
	damagedBytes   int  // bytes between intact records
	truncatedBytes int  // bytes after the last intact record: most likely a torn write
	firstProblem   int  // offset of the first byte that is in no intact record; the file's size if there is none
	copies         int  // files that the content is written to; 0: not known, as the first record can't be read
	commits        int  // complete atomic commits
	committedBytes int  // size of the file up to the last of them
	complete       bool // it is a snapshot with all its rows
	problem        string
}

// scan reads a file of a generation, skipping damaged parts. With atomicCommits set, rows count
// only as parts of complete commits: incomplete ones at the file's end were being written, any
// others are damage.
func scan(data []byte, generation uint64, atomicCommits bool) (result scannedFile) {
	began, rowCount, endCount := false, 0, -1
	// Records in complete commits, and the bytes of intact records and of damage after them.
	committed, pendingBytes, gapBytes := 0, 0, 0
	skippedBytes := 0
	result.firstProblem = len(data)
	for offset := 0; offset < len(data); {
		entry, size, ok := readRecord(data[offset:], generation)
		if !ok {
			result.firstProblem = min(result.firstProblem, offset)
			next := bytes.Index(data[offset+1:], []byte(magic))
			if next < 0 {
				result.truncatedBytes = skippedBytes + len(data) - offset
				skippedBytes = 0
				break
			}
			skippedBytes += next + 1
			offset += next + 1
			continue
		}
		if atomicCommits {
			gapBytes += skippedBytes
		} else {
			result.damagedBytes += skippedBytes
		}
		skippedBytes = 0
		offset += size
		switch entry.op {
		case opBegin:
			if len(entry.value) >= 2 {
				if version := binary.LittleEndian.Uint16(entry.value); version > Version {
					return scannedFile{problem: fmt.Sprintf("it is of version %d, and this program reads %d", version, Version)}
				}
			}
			began = true
			result.copies = copiesOf(&entry)
		case opPut, opDelete:
			rowCount++
			pendingBytes += size
			result.records = append(result.records, entry)
		case opCommit:
			if !atomicCommits {
				continue
			}
			if len(entry.value) != 8 || binary.LittleEndian.Uint64(entry.value) != uint64(len(result.records)-committed) {
				result.records = result.records[:committed]
				result.damagedBytes += pendingBytes
				result.firstProblem = min(result.firstProblem, offset-size)
			} else {
				result.commits++
				result.committedBytes = offset
			}
			result.damagedBytes += gapBytes // an intact record follows, so it is no torn write
			committed, pendingBytes, gapBytes = len(result.records), 0, 0
		case opEnd:
			if len(entry.value) == 8 {
				endCount = int(binary.LittleEndian.Uint64(entry.value))
			}
		}
	}
	if atomicCommits {
		result.records = result.records[:committed]
		result.truncatedBytes += pendingBytes + gapBytes
	}
	if !began && len(result.records) == 0 && len(data) > 0 {
		result.problem = "it is no file of this store"
	}
	result.complete = began && endCount == rowCount && result.damagedBytes == 0
	return result
}
