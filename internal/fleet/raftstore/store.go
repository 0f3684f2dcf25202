package raftstore

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/store"
)

// The store's tables. Their numbers must not be reused for other data.
const (
	tableVoter   = 1 + iota // rowID, rowUserData, rowHard, rowSnapshot
	tableBoots              // by voter ID
	tableChunks             // of the snapshot's data, by position
	tableEntries            // by log index
)

const (
	rowID, rowUserData, rowHard, rowSnapshot = "id", "note", "hard", "snapshot"

	chunkBytes    = 48 << 10
	maxStoreBytes = 48 << 20
	maxStoreRows  = 1 << 16
)

// Settings returns the settings that a Store needs its underlying store to be opened with.
func Settings() store.Settings {
	return store.Settings{MaxRows: maxStoreRows, MaxBytes: maxStoreBytes, UrgentSyncInterval: 1, AtomicCommits: true, MirrorJournal: true}
}

// Loaded is what was found on disk.
type Loaded struct {
	State    consensus.PersistentState // ID 0: there is none
	UserData []byte                    // the user's record
	// DistrustReason says why the state must not be trusted; "": it can be. Otherwise State holds the voter ID
	// alone.
	DistrustReason string
	RowError       *RowError // the first row that is missing or can't be read; nil: all can
}

// Store keeps a voter's persistent state.
type Store struct {
	store                 *store.Store
	firstIndex, lastIndex uint64 // indices of the stored entries; lastIndex < firstIndex: none
	chunks                int    // of the stored snapshot
}

// New loads the state from a store that was opened with Settings.
func New(opened *store.Store, report store.Report) (*Store, Loaded) {
	s := &Store{store: opened, firstIndex: 1}
	loaded, err := s.load()
	var reasons []string
	if report.DamagedBytes > 0 || report.LostBytes > 0 || report.IncompleteSnapshots > 0 || report.NoSnapshot && report.Rows > 0 {
		reasons = append(reasons, report.String())
	}
	if len(report.Notes) > 0 {
		reasons = append(reasons, strings.Join(report.Notes, "; "))
	}
	if err != nil {
		reasons = append(reasons, err.Error())
	}
	if len(reasons) > 0 {
		state := consensus.PersistentState{ID: loaded.State.ID}
		loaded = Loaded{State: state, DistrustReason: strings.Join(reasons, "; "), RowError: err}
	}
	return s, loaded
}

func encodeUint64(x uint64) string { return string(binary.BigEndian.AppendUint64(nil, x)) }

func decodeUint64(b []byte) (uint64, error) {
	if len(b) != 8 {
		return 0, fmt.Errorf("value has %d bytes, want 8", len(b))
	}
	return binary.BigEndian.Uint64(b), nil
}

// load reads the persistent state from the rows.
func (s *Store) load() (loaded Loaded, _ *RowError) {
	b := s.store.Get(tableVoter, rowID)
	if b == nil {
		loaded.UserData = s.store.Get(tableVoter, rowUserData)
		if s.store.Len() > 1 || s.store.Len() == 1 && loaded.UserData == nil {
			return loaded, rowErrorf(tableVoter, rowID, "it is missing, and there are other rows")
		}
		return loaded, nil
	}
	state := &loaded.State
	var err error
	if state.ID, err = decodeUint64(b); err != nil {
		return loaded, rowErrorf(tableVoter, rowID, "%w: %x", err, b)
	}
	if state.ID == 0 {
		return loaded, rowErrorf(tableVoter, rowID, "the voter ID is 0")
	}
	loaded.UserData = s.store.Get(tableVoter, rowUserData)
	state.Boots = map[uint64]uint64{}
	for _, key := range s.store.Keys(tableBoots) {
		id, err := decodeUint64([]byte(key))
		boot, err2 := decodeUint64(s.store.Get(tableBoots, key))
		if err = cmp.Or(err, err2); err != nil {
			return loaded, rowErrorf(tableBoots, key, "%w", err)
		}
		state.Boots[id] = boot
	}
	if b := s.store.Get(tableVoter, rowHard); b != nil {
		state.Hard = &raftpb.HardState{}
		if err := unmarshalRow(tableVoter, rowHard, b, state.Hard); err != nil {
			return loaded, err
		}
	}
	if err := s.loadSnapshot(state); err != nil {
		return loaded, err
	}
	if err := s.loadEntries(state); err != nil {
		return loaded, err
	}
	return loaded, checkHardState(state)
}

// checkHardState returns an error if the hard state is missing or older than the snapshot and the entries: the voter
// may have voted since, and would not know it. Each Update that raises one of them has the hard state with it.
func checkHardState(state *consensus.PersistentState) *RowError {
	term, commit := state.Snapshot.GetMetadata().GetTerm(), state.Snapshot.GetMetadata().GetIndex()
	if last := len(state.Entries); last > 0 {
		term = max(term, state.Entries[last-1].GetTerm())
	}
	if state.Hard == nil && term > 0 {
		return rowErrorf(tableVoter, rowHard, "it is missing, and the log has reached term %d", term)
	}
	if state.Hard.GetTerm() < term {
		return rowErrorf(tableVoter, rowHard, "its term is %d, and the log has reached term %d", state.Hard.GetTerm(), term)
	}
	if state.Hard.GetCommit() < commit {
		return rowErrorf(tableVoter, rowHard, "it is committed up to index %d, and the snapshot ends at %d",
			state.Hard.GetCommit(), commit)
	}
	return nil
}

func (s *Store) loadSnapshot(state *consensus.PersistentState) *RowError {
	keys := s.store.Keys(tableChunks)
	s.chunks = len(keys)
	b := s.store.Get(tableVoter, rowSnapshot)
	if b == nil {
		if len(keys) > 0 {
			return rowErrorf(tableVoter, rowSnapshot, "it is missing, and there are %d chunks", len(keys))
		}
		return nil
	}
	state.Snapshot = &raftpb.Snapshot{}
	if err := unmarshalRow(tableVoter, rowSnapshot, b, state.Snapshot); err != nil {
		return err
	}
	if state.Snapshot.GetMetadata().GetIndex() == 0 {
		return rowErrorf(tableVoter, rowSnapshot, "it has no index")
	}
	chunks, err := decodeUint64(state.Snapshot.GetData()) // the number of chunks is stored in place of the data
	if err != nil {
		return rowErrorf(tableVoter, rowSnapshot, "the number of chunks: %w", err)
	}
	if chunks != uint64(len(keys)) {
		return rowErrorf(tableVoter, rowSnapshot, "it has %d of %d chunks", len(keys), chunks)
	}
	state.Snapshot.Data = nil
	for i, key := range keys {
		if key != encodeUint64(uint64(i)) {
			return rowErrorf(tableChunks, encodeUint64(uint64(i)), "it is missing")
		}
		chunk := s.store.Get(tableChunks, key)
		if i < len(keys)-1 && len(chunk) != chunkBytes {
			return rowErrorf(tableChunks, key, "it has %d bytes, want %d", len(chunk), chunkBytes)
		}
		state.Snapshot.Data = append(state.Snapshot.Data, chunk...)
	}
	return nil
}

func (s *Store) loadEntries(state *consensus.PersistentState) *RowError {
	firstIndex := state.Snapshot.GetMetadata().GetIndex() + 1
	keys := s.store.Keys(tableEntries)
	for i, key := range keys {
		index, err := decodeUint64([]byte(key))
		if err != nil {
			return rowErrorf(tableEntries, key, "its index: %w", err)
		}
		if i == 0 {
			s.firstIndex, s.lastIndex = index, index-1
		}
		if index != s.lastIndex+1 {
			return rowErrorf(tableEntries, encodeUint64(s.lastIndex+1), "it is missing, the next one is %d", index)
		}
		s.lastIndex = index
		entry := &raftpb.Entry{}
		if err := unmarshalRow(tableEntries, key, s.store.Get(tableEntries, key), entry); err != nil {
			return err
		}
		if entry.GetIndex() != index {
			return rowErrorf(tableEntries, key, "its value has index %d", entry.GetIndex())
		}
		if index >= firstIndex {
			state.Entries = append(state.Entries, entry)
		}
	}
	if len(state.Entries) > 0 && state.Entries[0].GetIndex() != firstIndex {
		return rowErrorf(tableEntries, encodeUint64(firstIndex),
			"it is missing, the snapshot ends before it and the first entry is %d", state.Entries[0].GetIndex())
	}
	if lastIndex := firstIndex - 1 + uint64(len(state.Entries)); state.Hard.GetCommit() > lastIndex {
		return rowErrorf(tableEntries, encodeUint64(lastIndex+1), "it is missing, and entries up to %d are committed",
			state.Hard.GetCommit())
	}
	return nil
}

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

// Save writes an Update, and the user's record unless it is nil, and waits for the disk. After an error nothing of
// it may be acted on, and the same Update must be saved again, until that succeeds, before any other.
func (s *Store) Save(now time.Duration, update *consensus.Update, userData []byte) error {
	b := &batch{target: s, now: now}
	if userData != nil {
		b.put(tableVoter, rowUserData, userData)
	}
	for id, boot := range update.Boots {
		b.put(tableBoots, encodeUint64(id), []byte(encodeUint64(boot)))
	}
	if update.Hard != nil {
		b.putProto(tableVoter, rowHard, update.Hard)
	}
	if update.Snapshot != nil {
		b.putSnapshot(update.Snapshot)
		if update.CompactedTo == 0 { // the leader's snapshot: older entries are useless
			b.deleteEntries(0, math.MaxUint64)
			s.firstIndex = update.Snapshot.GetMetadata().GetIndex() + 1
			s.lastIndex = s.firstIndex - 1
		}
	}
	if len(update.Entries) > 0 {
		from := update.Entries[0].GetIndex()
		b.deleteEntries(from+uint64(len(update.Entries)), math.MaxUint64)
		for _, entry := range update.Entries {
			b.putProto(tableEntries, encodeUint64(entry.GetIndex()), entry)
		}
		if s.lastIndex < s.firstIndex {
			s.firstIndex = from
		}
		s.lastIndex = from + uint64(len(update.Entries)) - 1
	}
	if update.CompactedTo > 0 {
		b.deleteEntries(0, update.CompactedTo)
		s.firstIndex = max(s.firstIndex, min(update.CompactedTo, s.lastIndex)+1)
	}
	return s.commit(b)
}

// commit writes the batch to disk.
func (s *Store) commit(b *batch) error {
	if b.err != nil {
		return b.err
	}
	seq := s.store.Seq()
	// After a failure the store waits before it tries again; the caller has waited already.
	at, due := s.store.Due()
	if err := s.store.Commit(max(b.now, at)); err != nil {
		return err
	}
	if due && s.store.Durable() < seq {
		return cmp.Or(s.store.WriteError(), errors.New("raftstore: the store has not written the update"))
	}
	return nil
}

// Reset replaces all stored state, and removes the files of what was there before: damage in them must not make the new
// state distrusted.
func (s *Store) Reset(now time.Duration, state *consensus.PersistentState, userData []byte) error {
	b := &batch{target: s, now: now}
	for _, table := range []byte{tableVoter, tableBoots, tableChunks, tableEntries} {
		for _, key := range s.store.Keys(table) {
			b.delete(table, key)
		}
	}
	s.firstIndex, s.lastIndex, s.chunks = 1, 0, 0
	if userData != nil {
		b.put(tableVoter, rowUserData, userData)
	}
	if state.ID != 0 {
		b.put(tableVoter, rowID, []byte(encodeUint64(state.ID)))
	}
	for id, boot := range state.Boots {
		b.put(tableBoots, encodeUint64(id), []byte(encodeUint64(boot)))
	}
	if state.Hard != nil {
		b.putProto(tableVoter, rowHard, state.Hard)
	}
	if state.Snapshot != nil {
		b.putSnapshot(state.Snapshot)
		s.firstIndex = state.Snapshot.GetMetadata().GetIndex() + 1
		s.lastIndex = s.firstIndex - 1
	}
	for _, entry := range state.Entries {
		b.putProto(tableEntries, encodeUint64(entry.GetIndex()), entry)
		s.lastIndex = entry.GetIndex()
	}
	if err := s.commit(b); err != nil {
		return err
	}
	return s.store.RemoveSuperseded()
}

// Compact takes a bounded step to shorten the store's files, and reports whether there is more to do.
func (s *Store) Compact(now time.Duration) (more bool, err error) { return s.store.Compact(now) }

// Size returns the size of the rows in bytes, and Stats what was written.
func (s *Store) Size() int          { return s.store.Bytes() }
func (s *Store) Stats() store.Stats { return s.store.Stats() }
