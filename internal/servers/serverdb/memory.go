package serverdb

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewring/internal/store"
)

// Tables of the store.
const (
	tableServers = 1
	tableList    = 2
)

const listKey = "list"

// Settings bound a memory. The zero value of each field stands for its default.
type Settings struct {
	MaxTombstones    int           // tombstones; 4096
	MaxServers       int           // rows besides; 20,000
	ServedResolution time.Duration // between two times of serving that are told apart; 10 min
	ConfirmInterval  time.Duration // between two confirmations; 1 min
	WritesPerSecond  float64       // rows a second that are not urgent; 20
}

func (s Settings) withDefaults() Settings {
	s.MaxTombstones, s.MaxServers = cmp.Or(s.MaxTombstones, 4096), cmp.Or(s.MaxServers, 20_000)
	s.ServedResolution, s.ConfirmInterval = cmp.Or(s.ServedResolution, 10*time.Minute), cmp.Or(s.ConfirmInterval, time.Minute)
	s.WritesPerSecond = cmp.Or(s.WritesPerSecond, 20)
	return s
}

// writesBurst is how many seconds of writes may be saved up.
const burstSeconds = 5

// Note is what the loop tells of a server, the newest for each. Told is set where discovery has spoken.
type Observation struct {
	Server
	FromDiscovery bool
}

// Memory is what a node knows over its restarts.
type DB struct {
	settings                         Settings
	store                            *store.Store
	rows                             map[string]*row
	list                             List
	tombstones                       []tombstone // in the order in which they went; some may have come back
	lastTombstoneSeq, tombstoneCount int         // places given, and tombstones there are
	digest                           uint64      // of what the list says, over all servers
	tokens                           float64
	refilledAt                       time.Duration
	pending                          map[string]struct{} // servers with something to write for which there were no tokens
	listPending                      bool
	buffer                           []byte
	droppedRows                      int // rows that did not fit
}

type row struct {
	Server
	written      Server // as the store has it
	tombstoneSeq int    // among the gone; 0: it is not
}

type tombstone struct {
	id  string
	seq int
}

// Open reads what the store has. The notes are rows that it could not make sense of, a line each.
func Open(s *store.Store, set Settings, now time.Duration) (*DB, []string) {
	m := &DB{
		settings: set.withDefaults(), store: s, rows: map[string]*row{}, pending: map[string]struct{}{}, refilledAt: now,
	}
	m.tokens = m.settings.WritesPerSecond * burstSeconds
	var notes []string
	for _, id := range s.Keys(tableServers) {
		x, err := decodeServer(id, s.Get(tableServers, id))
		if err != nil {
			notes = append(notes, err.Error())
			continue
		}
		m.rows[id] = &row{Server: x, written: x}
		m.digest ^= x.digest()
	}
	for _, x := range slices.SortedFunc(maps.Values(m.rows), func(x, y *row) int {
		return cmp.Or(x.StateSince.Compare(y.StateSince), strings.Compare(x.ID, y.ID))
	}) {
		m.addTombstone(x)
	}
	if value := s.Get(tableList, listKey); value != nil {
		var err error
		if m.list, err = decodeList(value); err != nil {
			notes = append(notes, err.Error())
		}
		// A row was lost or is older than the list's: what changed since that generation is not all that changed.
		m.list.Consistent = err == nil && m.list.Digest == m.digest
	}
	return m, notes
}

// Servers are all that are known, by id, gone ones included.
func (m *DB) Servers() []Server {
	all := make([]Server, 0, len(m.rows))
	for _, k := range m.rows {
		all = append(all, k.Server)
	}
	slices.SortFunc(all, func(x, y Server) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// List is what is known of the list.
func (m *DB) List() List { return m.list }

// Lost is how many rows did not fit.
func (m *DB) DroppedRows() int { return m.droppedRows }

// Age is how old the list is, by wall time. It is not known where the list has no time, or one after now
// by more than a minute: then a clock is wrong, and nobody can tell which.
func (l *List) Age(wall time.Time) (age time.Duration, known bool) {
	if l.Confirmed.IsZero() {
		return 0, false
	}
	age = wall.Sub(l.Confirmed)
	if age < -time.Minute {
		return 0, false
	}
	return max(0, age), true
}

// Take takes what was seen since the last time. What discovery told of drains and ends is urgent.
func (m *DB) Record(now time.Duration, notes []Observation) {
	m.refillTokens(now)
	for i := range notes {
		m.recordOne(now, &notes[i])
	}
}

func (m *DB) recordOne(now time.Duration, n *Observation) {
	k := m.rows[n.ID]
	if k == nil {
		if !n.FromDiscovery {
			return // nobody has said that it exists
		}
		if len(m.rows)-m.tombstoneCount >= m.settings.MaxServers {
			m.droppedRows++
			return
		}
		k = &row{}
		m.rows[n.ID] = k
	}
	was := k.Server
	if n.FromDiscovery {
		served := k.LastServed
		if n.Started > k.Started { // a new process, which has not served yet
			served = time.Time{}
		}
		changed := k.StateSince
		if was.ID == "" || was.State != n.State {
			changed = n.StateSince
		}
		k.Server = n.Server
		k.LastServed, k.StateSince = served, changed
		k.Started = max(k.Started, was.Started)
		if k.Address == "" { // word of an end may name none
			k.Address = was.Address
		}
	}
	if !n.LastServed.IsZero() {
		k.LastServed = n.LastServed
	}
	m.digest ^= was.digest() ^ k.digest()
	if k.State != Gone && k.tombstoneSeq > 0 {
		k.tombstoneSeq = 0
		m.tombstoneCount--
	}
	m.addTombstone(k)
	urgent := n.FromDiscovery && k.State != Serving && (was.ID == "" || was.State != k.State)
	if urgent || m.needsWrite(k) {
		m.write(now, k, urgent)
	}
	m.evictTombstones(now)
}

// matters tells whether a row differs from what is written by enough.
func (m *DB) needsWrite(k *row) bool {
	x, y := &k.Server, &k.written
	if y.ID == "" || x.State != y.State || x.Address != y.Address || x.Zone != y.Zone || x.Cell != y.Cell ||
		x.Started != y.Started || float32(x.Weight) != float32(y.Weight) {
		return true
	}
	return x.LastServed.Sub(y.LastServed) >= m.settings.ServedResolution || y.LastServed.IsZero() != x.LastServed.IsZero()
}

// write puts a row to the store, if there are tokens or it is urgent.
func (m *DB) write(now time.Duration, k *row, urgent bool) {
	if m.tokens < 1 && !urgent {
		m.pending[k.ID] = struct{}{}
		return
	}
	m.tokens = max(m.tokens-1, -m.settings.WritesPerSecond*burstSeconds)
	m.buffer = k.encode(m.buffer[:0])
	if _, err := m.store.Put(now, tableServers, k.ID, m.buffer, urgent); err != nil {
		m.droppedRows++
		return
	}
	k.written = k.Server
	delete(m.pending, k.ID)
}

// entomb counts a server that is gone among those.
func (m *DB) addTombstone(k *row) {
	if k.State != Gone || k.tombstoneSeq > 0 {
		return
	}
	m.lastTombstoneSeq++
	k.tombstoneSeq = m.lastTombstoneSeq
	m.tombstoneCount++
	m.tombstones = append(m.tombstones, tombstone{k.ID, k.tombstoneSeq})
}

// bury forgets those gone longest where there are too many.
func (m *DB) evictTombstones(now time.Duration) {
	for m.tombstoneCount > m.settings.MaxTombstones {
		g := m.tombstones[0]
		m.tombstones = m.tombstones[1:]
		if k := m.rows[g.id]; k != nil && k.tombstoneSeq == g.seq {
			m.tombstoneCount--
			delete(m.rows, g.id)
			delete(m.pending, g.id)
			m.store.Delete(now, tableServers, g.id, false)
		}
	}
}

// Confirm takes word that discovery answered. Rate is what a server answers this node a second, 0 if that is
// not known; servers are those that serve.
func (m *DB) RecordConfirmation(now time.Duration, l List) {
	m.refillTokens(now)
	if l.ServerRate == 0 {
		l.ServerRate = m.list.ServerRate
	}
	old := m.list
	m.list = l
	if l.Generation != old.Generation || l.Discovery != old.Discovery ||
		l.Confirmed.Sub(old.Confirmed) >= m.settings.ConfirmInterval || l.Confirmed.Before(old.Confirmed) {
		m.listPending = true
	} else {
		m.list.Confirmed = old.Confirmed
	}
	m.writeList(now)
}

// flush writes the list's row.
func (m *DB) writeList(now time.Duration) {
	if !m.listPending || m.tokens < 1 {
		return
	}
	m.tokens--
	m.list.Digest, m.list.Consistent = m.digest, true
	m.buffer = m.list.encode(m.buffer[:0])
	if _, err := m.store.Put(now, tableList, listKey, m.buffer, false); err != nil {
		m.droppedRows++
		return
	}
	m.listPending = false
}

// Catch writes what waited for tokens, as far as there are any now, and tells whether there is more.
func (m *DB) WritePending(now time.Duration) (more bool) {
	m.refillTokens(now)
	m.writeList(now)
	for id := range m.pending {
		if m.tokens < 1 {
			break
		}
		if k := m.rows[id]; k != nil {
			m.write(now, k, false)
		}
		delete(m.pending, id)
	}
	return len(m.pending) > 0 || m.listPending
}

func (m *DB) refillTokens(now time.Duration) {
	m.tokens = min(m.tokens+m.settings.WritesPerSecond*(now-m.refilledAt).Seconds(), m.settings.WritesPerSecond*burstSeconds)
	m.refilledAt = now
}

// Merge is the list that a starting node goes by: what the memory has, and what its configuration brings, which
// may be the older. Of a server that both know the newer process counts, and of one process the worse news: what
// was told drained or gone stays so over a restart.
func Merge(known []Server, brought []Server) []Server {
	at := make(map[string]int, len(known)+len(brought))
	all := slices.Clone(known)
	for i := range all {
		at[all[i].ID] = i
	}
	for _, x := range brought {
		i, ok := at[x.ID]
		if !ok {
			at[x.ID] = len(all)
			all = append(all, x)
			continue
		}
		y := &all[i]
		if x.Started > y.Started {
			*y = x
		} else if x.Started == y.Started && x.State > y.State {
			y.State = x.State
		}
	}
	slices.SortFunc(all, func(x, y Server) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// String is a server on one line.
func (s Server) String() string {
	text := fmt.Sprintf("%s %s at %s, zone %s, cell %d", s.ID, s.State, s.Address, s.Zone, s.Cell)
	if !s.StateSince.IsZero() {
		text += ", since " + s.StateSince.UTC().Format(time.RFC3339)
	}
	if !s.LastServed.IsZero() {
		text += ", served " + s.LastServed.UTC().Format(time.RFC3339)
	}
	return text
}
