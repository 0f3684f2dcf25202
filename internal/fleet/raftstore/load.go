package raftstore

import (
	"cmp"

	"go.etcd.io/raft/v3/raftpb"

	"curlewring/internal/fleet/consensus"
)

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
	if err := s.loadBoots(state); err != nil {
		return loaded, err
	}
	if err := s.loadHardState(state); err != nil {
		return loaded, err
	}
	if err := s.loadSnapshot(state); err != nil {
		return loaded, err
	}
	if err := s.loadEntries(state); err != nil {
		return loaded, err
	}
	return loaded, checkHardState(state)
}

// loadBoots reads the latest known start of each voter.
func (s *Store) loadBoots(state *consensus.PersistentState) *RowError {
	state.Boots = map[uint64]uint64{}
	for _, key := range s.store.Keys(tableBoots) {
		id, keyErr := decodeUint64([]byte(key))
		boot, valueErr := decodeUint64(s.store.Get(tableBoots, key))
		if err := cmp.Or(keyErr, valueErr); err != nil {
			return rowErrorf(tableBoots, key, "%w", err)
		}
		state.Boots[id] = boot
	}
	return nil
}

// loadHardState reads the hard state, if there is one.
func (s *Store) loadHardState(state *consensus.PersistentState) *RowError {
	value := s.store.Get(tableVoter, rowHard)
	if value == nil {
		return nil
	}
	state.Hard = &raftpb.HardState{}
	return unmarshalRow(tableVoter, rowHard, value, state.Hard)
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
