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

// The tables of the store. They are never used anew for something else.
const (
	tableSelf    = 1 + iota // rowID, rowNote, rowHard, rowSnapshot
	tableBoots              // by voter
	tablePieces             // of the snapshot's data, by place
	tableEntries            // by index
)

const (
	rowID, rowNote, rowHard, rowSnapshot = "id", "note", "hard", "snapshot"

	pieceBytes = 48 << 10
	mostBytes  = 48 << 20
	mostRows   = 1 << 16
)

// Settings are those of the store that a Ledger needs.
func Settings() store.Settings {
	return store.Settings{MaxRows: mostRows, MaxBytes: mostBytes, UrgentSyncInterval: 1, AtomicCommits: true}
}

// Found is what stood on the disk.
type Loaded struct {
	State    consensus.PersistentState // ID 0: none
	UserData []byte                    // its user's
	// Doubt says why the disk must not be trusted; "": it can be. The number is told then, and nothing else is.
	DistrustReason string
}

// Ledger is a voter's disk.
type Store struct {
	s           *store.Store
	first, last uint64 // indices of the entries there; last < first: none
	pieces      int
}

// New looks through a store that was opened with Settings.
func New(s *store.Store, r store.Report) (*Store, Loaded) {
	l := &Store{s: s, first: 1}
	f, err := l.read()
	var wrong []string
	if r.DamagedBytes > 0 || r.IncompleteSnapshots > 0 || r.NoSnapshot && r.Rows > 0 {
		wrong = append(wrong, r.String())
	}
	if len(r.Notes) > 0 {
		wrong = append(wrong, strings.Join(r.Notes, "; "))
	}
	if err != nil {
		wrong = append(wrong, err.Error())
	}
	if len(wrong) > 0 {
		f = Loaded{State: consensus.PersistentState{ID: f.State.ID}, DistrustReason: strings.Join(wrong, "; ")}
	}
	return l, f
}

func key(x uint64) string { return string(binary.BigEndian.AppendUint64(nil, x)) }

func number(b []byte) (uint64, error) {
	if len(b) != 8 {
		return 0, fmt.Errorf("a number of %d bytes", len(b))
	}
	return binary.BigEndian.Uint64(b), nil
}

// read makes a disk of the rows.
func (l *Store) read() (f Loaded, err error) {
	b := l.s.Get(tableSelf, rowID)
	if b == nil {
		f.UserData = l.s.Get(tableSelf, rowNote)
		if l.s.Len() > 1 || l.s.Len() == 1 && f.UserData == nil {
			return f, errors.New("there are rows, and no voter's number")
		}
		return f, nil
	}
	d := &f.State
	if d.ID, err = number(b); err != nil || d.ID == 0 {
		return f, fmt.Errorf("the voter's number is none: %x", b)
	}
	f.UserData = l.s.Get(tableSelf, rowNote)
	d.Boots = map[uint64]uint64{}
	for _, k := range l.s.Keys(tableBoots) {
		id, err := number([]byte(k))
		n, err2 := number(l.s.Get(tableBoots, k))
		if err = cmp.Or(err, err2); err != nil {
			return f, fmt.Errorf("a count of starts: %w", err)
		}
		d.Boots[id] = n
	}
	if b := l.s.Get(tableSelf, rowHard); b != nil {
		d.Hard = &raftpb.HardState{}
		if err := proto.Unmarshal(b, d.Hard); err != nil {
			return f, fmt.Errorf("the voter's state: %w", err)
		}
	}
	if err := l.readSnapshot(d); err != nil {
		return f, err
	}
	return f, l.readEntries(d)
}

func (l *Store) readSnapshot(d *consensus.PersistentState) error {
	keys := l.s.Keys(tablePieces)
	l.pieces = len(keys)
	b := l.s.Get(tableSelf, rowSnapshot)
	if b == nil {
		if len(keys) > 0 {
			return errors.New("pieces of a snapshot that is not there")
		}
		return nil
	}
	d.Snapshot = &raftpb.Snapshot{}
	if err := proto.Unmarshal(b, d.Snapshot); err != nil {
		return fmt.Errorf("the snapshot: %w", err)
	}
	want, err := number(d.Snapshot.GetData()) // in the place of the data: how many pieces it has
	if err != nil || want != uint64(len(keys)) {
		return fmt.Errorf("the snapshot has %d of %d pieces", len(keys), want)
	}
	d.Snapshot.Data = nil
	for i, k := range keys {
		if k != key(uint64(i)) {
			return fmt.Errorf("the snapshot lacks piece %d", i)
		}
		d.Snapshot.Data = append(d.Snapshot.Data, l.s.Get(tablePieces, k)...)
	}
	return nil
}

func (l *Store) readEntries(d *consensus.PersistentState) error {
	begin := d.Snapshot.GetMetadata().GetIndex() + 1
	keys := l.s.Keys(tableEntries)
	for i, k := range keys {
		index, err := number([]byte(k))
		if err != nil {
			return fmt.Errorf("an entry: %w", err)
		}
		if i == 0 {
			l.first, l.last = index, index-1
		}
		if index != l.last+1 {
			return fmt.Errorf("entries %d to %d are missing", l.last+1, index-1)
		}
		l.last = index
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(l.s.Get(tableEntries, k), e); err != nil || e.GetIndex() != index {
			return fmt.Errorf("entry %d can't be read: %v", index, err)
		}
		if index >= begin {
			d.Entries = append(d.Entries, e)
		}
	}
	if len(d.Entries) > 0 && d.Entries[0].GetIndex() != begin {
		return fmt.Errorf("the snapshot ends at %d, and the entries begin at %d", begin-1, d.Entries[0].GetIndex())
	}
	if have := begin - 1 + uint64(len(d.Entries)); d.Hard.GetCommit() > have {
		return fmt.Errorf("entries up to %d are agreed on, and %d are here", d.Hard.GetCommit(), have)
	}
	return nil
}

// batch is rows that are put together.
type batch struct {
	l   *Store
	now time.Duration
	err error
}

func (b *batch) put(table byte, key string, value []byte) {
	if b.err == nil {
		_, b.err = b.l.s.Put(b.now, table, key, value, true)
	}
}

func (b *batch) message(table byte, key string, m proto.Message) {
	value, err := proto.Marshal(m)
	if b.err = cmp.Or(b.err, err); b.err == nil {
		b.put(table, key, value)
	}
}

func (b *batch) drop(table byte, key string) { b.l.s.Delete(b.now, table, key, true) }

// entries removes those from one index to another.
func (b *batch) entries(from, to uint64) {
	for i := max(from, b.l.first); i <= min(to, b.l.last); i++ {
		b.drop(tableEntries, key(i))
	}
}

func (b *batch) snapshot(s *raftpb.Snapshot) {
	data := s.GetData()
	n := 0
	for ; len(data) > 0; n++ {
		size := min(len(data), pieceBytes)
		b.put(tablePieces, key(uint64(n)), data[:size])
		data = data[size:]
	}
	for i := n; i < b.l.pieces; i++ {
		b.drop(tablePieces, key(uint64(i)))
	}
	b.l.pieces = n
	b.message(tableSelf, rowSnapshot, &raftpb.Snapshot{Metadata: s.GetMetadata(), Data: []byte(key(uint64(n)))})
}

// Put writes a Save, and a note if there is one, and waits for the disk. After an error nothing of it may be acted on;
// the same Save must be put again before anything else is, and that until it succeeds.
func (l *Store) Save(now time.Duration, s *consensus.Update, note []byte) error {
	b := &batch{l: l, now: now}
	if note != nil {
		b.put(tableSelf, rowNote, note)
	}
	for id, n := range s.Boots {
		b.put(tableBoots, key(id), []byte(key(n)))
	}
	if s.Hard != nil {
		b.message(tableSelf, rowHard, s.Hard)
	}
	if s.Snapshot != nil {
		b.snapshot(s.Snapshot)
		if s.CompactedTo == 0 { // another's: what was here is of no use
			b.entries(0, math.MaxUint64)
			l.first = s.Snapshot.GetMetadata().GetIndex() + 1
			l.last = l.first - 1
		}
	}
	if len(s.Entries) > 0 {
		from := s.Entries[0].GetIndex()
		b.entries(from+uint64(len(s.Entries)), math.MaxUint64)
		for _, e := range s.Entries {
			b.message(tableEntries, key(e.GetIndex()), e)
		}
		if l.last < l.first {
			l.first = from
		}
		l.last = from + uint64(len(s.Entries)) - 1
	}
	if s.CompactedTo > 0 {
		b.entries(0, s.CompactedTo)
		l.first = max(l.first, min(s.CompactedTo, l.last)+1)
	}
	return l.commit(b)
}

// commit writes what was put.
func (l *Store) commit(b *batch) error {
	if b.err != nil {
		return b.err
	}
	seq := l.s.Seq()
	// A store that has failed waits before it tries again: whoever calls has waited.
	at, due := l.s.Due()
	if err := l.s.Commit(max(b.now, at)); err != nil {
		return err
	}
	if due && l.s.Durable() < seq {
		return cmp.Or(l.s.WriteError(), errors.New("ledger: the store has not written"))
	}
	return nil
}

// Begin puts another voter's disk in the place of whatever there is.
func (l *Store) Reset(now time.Duration, d *consensus.PersistentState, note []byte) error {
	b := &batch{l: l, now: now}
	for _, table := range []byte{tableSelf, tableBoots, tablePieces, tableEntries} {
		for _, k := range l.s.Keys(table) {
			b.drop(table, k)
		}
	}
	l.first, l.last, l.pieces = 1, 0, 0
	if note != nil {
		b.put(tableSelf, rowNote, note)
	}
	if d.ID != 0 {
		b.put(tableSelf, rowID, []byte(key(d.ID)))
	}
	for id, n := range d.Boots {
		b.put(tableBoots, key(id), []byte(key(n)))
	}
	if d.Hard != nil {
		b.message(tableSelf, rowHard, d.Hard)
	}
	if d.Snapshot != nil {
		b.snapshot(d.Snapshot)
		l.first = d.Snapshot.GetMetadata().GetIndex() + 1
		l.last = l.first - 1
	}
	for _, e := range d.Entries {
		b.message(tableEntries, key(e.GetIndex()), e)
		l.last = e.GetIndex()
	}
	return l.commit(b)
}

// Tidy keeps the store's files short, by a bounded step; it tells whether there is more.
func (l *Store) Compact(now time.Duration) (more bool, err error) { return l.s.Compact(now) }

// Size is how many bytes the rows take, and Stats what was written.
func (l *Store) Size() int          { return l.s.Bytes() }
func (l *Store) Stats() store.Stats { return l.s.Stats() }
