package raftstore

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

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
