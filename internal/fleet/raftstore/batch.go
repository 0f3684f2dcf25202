package raftstore

import (
	"cmp"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// batch is a set of row changes. It keeps the first error.
type batch struct {
	target *Store
	now    time.Duration
	err    error
}

func (b *batch) put(table byte, key string, value []byte) {
	if b.err == nil {
		_, b.err = b.target.store.Put(b.now, table, key, value, true)
	}
}

func (b *batch) putProto(table byte, key string, message proto.Message) {
	value, err := proto.Marshal(message)
	if b.err = cmp.Or(b.err, err); b.err == nil {
		b.put(table, key, value)
	}
}

func (b *batch) delete(table byte, key string) { b.target.store.Delete(b.now, table, key, true) }

// deleteEntries deletes the entries from one index to another, both included.
func (b *batch) deleteEntries(from, to uint64) {
	for i := max(from, b.target.firstIndex); i <= min(to, b.target.lastIndex); i++ {
		b.delete(tableEntries, encodeUint64(i))
	}
}

// putSnapshot stores the snapshot's metadata, and its data in chunks.
func (b *batch) putSnapshot(snapshot *raftpb.Snapshot) {
	data := snapshot.GetData()
	chunks := 0
	for ; len(data) > 0; chunks++ {
		size := min(len(data), chunkBytes)
		b.put(tableChunks, encodeUint64(uint64(chunks)), data[:size])
		data = data[size:]
	}
	for i := chunks; i < b.target.chunks; i++ {
		b.delete(tableChunks, encodeUint64(uint64(i)))
	}
	b.target.chunks = chunks
	b.putProto(tableVoter, rowSnapshot, &raftpb.Snapshot{Metadata: snapshot.GetMetadata(), Data: []byte(encodeUint64(uint64(chunks)))})
}
