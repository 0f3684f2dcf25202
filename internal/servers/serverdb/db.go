package serverdb

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewring/internal/servers/orderedset"
	"curlewring/internal/store"
)

// Table numbers in the store.
const (
	tableServers = 1
	tableList    = 2
)

const listKey = "list"

// Settings configure a DB. The zero value of a field selects its default.
type Settings struct {
	MaxTombstones    int           // rows of removed servers; default 4096
	MaxServers       int           // other rows; default 20,000
	ServedResolution time.Duration // LastServed is written if it has advanced by this much; default 10 min
	ConfirmInterval  time.Duration // List.Confirmed is written if it has advanced by this much; default 1 min
	WritesPerSecond  float64       // rate limit of row writes that are not urgent; default 20
}

func (s Settings) withDefaults() Settings {
	s.MaxTombstones, s.MaxServers = cmp.Or(s.MaxTombstones, 4096), cmp.Or(s.MaxServers, 20_000)
	s.ServedResolution, s.ConfirmInterval = cmp.Or(s.ServedResolution, 10*time.Minute), cmp.Or(s.ConfirmInterval, time.Minute)
	s.WritesPerSecond = cmp.Or(s.WritesPerSecond, 20)
	return s
}

// burstSeconds is how many seconds of the write rate limit can accumulate.
const burstSeconds = 5

// Observation is the newest information of the event loop about a server. FromDiscovery is set if it contains what
// discovery has reported; otherwise only LastServed is used.
type Observation struct {
	Server
	FromDiscovery bool
}

// DB holds the persisted servers and the persisted list.
type DB struct {
	settings       Settings
	store          *store.Store
	rows           map[string]*row
	list           List
	tombstones     orderedset.Set // IDs of removed servers, in order of removal
	lastRemovalSeq uint64         // last sequence number in use
	digest         uint64         // of all servers as listed
	tokens         float64        // of the write rate limit
	refilledAt     time.Duration
	pending        map[string]struct{} // IDs of servers whose row waits for tokens
	listPending    bool
	buffer         []byte
	droppedRows    int // rows that did not fit
}

// row is a server with its state in the store.
type row struct {
	Server
	written    Server // as last written to the store
	removalSeq uint64 // gives the order of removal; 0: not removed, or removed by a version that did not write it
}

// Open reads the contents of the store. The warnings name the rows that could not be decoded, one line each.
func Open(s *store.Store, set Settings, now time.Duration) (*DB, []string) {
	db := &DB{
		settings: set.withDefaults(), store: s, rows: map[string]*row{}, pending: map[string]struct{}{}, refilledAt: now,
	}
	db.tokens = db.settings.WritesPerSecond * burstSeconds
	var warnings []string
	for _, id := range s.Keys(tableServers) {
		r, err := decodeRow(id, s.Get(tableServers, id))
		if err != nil {
			warnings = append(warnings, err.Error())
			continue
		}
		db.rows[id] = r
		db.digest ^= r.digest()
	}
	db.restoreTombstones()
	if value := s.Get(tableList, listKey); value != nil {
		var err error
		if db.list, err = decodeList(value); err != nil {
			warnings = append(warnings, err.Error())
		}
		// If the digests differ, a row is missing or belongs to another generation than the list. The changes since
		// that generation would then be incomplete.
		db.list.Consistent = err == nil && db.list.Digest == db.digest
	}
	return db, warnings
}

// restoreTombstones puts the tombstones in the order of their rows' sequence numbers. Wall times count only among rows
// that have none.
func (db *DB) restoreTombstones() {
	for _, r := range slices.SortedFunc(maps.Values(db.rows), func(x, y *row) int {
		return cmp.Or(cmp.Compare(x.removalSeq, y.removalSeq), x.StateSince.Compare(y.StateSince), strings.Compare(x.ID, y.ID))
	}) {
		if r.State == Gone {
			db.tombstones.Add(r.ID)
			db.lastRemovalSeq = max(db.lastRemovalSeq, r.removalSeq)
		}
	}
}

// Servers returns all known servers including removed ones, sorted by ID.
func (db *DB) Servers() []Server {
	all := make([]Server, 0, len(db.rows))
	for _, r := range db.rows {
		all = append(all, r.Server)
	}
	slices.SortFunc(all, func(x, y Server) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// List returns what is known of the list.
func (db *DB) List() List { return db.list }

// DroppedRows returns how many rows did not fit.
func (db *DB) DroppedRows() int { return db.droppedRows }

// Age returns the age of the list in wall time. It is unknown if the list has no time or one that is more than a
// minute in the future: then a clock is wrong, and it is not known which one.
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

// DeparturesUpTo returns the generation up to which the drains and removals in the rows may have been reported. Rows
// that are newer than the list belong at least to the next generation.
func (l *List) DeparturesUpTo() uint64 {
	highest := max(l.Generation, l.HighestGeneration)
	if l.Consistent || highest == 0 {
		return highest
	}
	return highest + 1
}

// Record stores what was observed since the last call. Drains and removals that discovery reported are written
// urgently.
func (db *DB) Record(now time.Duration, observations []Observation) {
	db.refillTokens(now)
	for i := range observations {
		db.recordOne(now, &observations[i])
	}
}

// recordOne stores a single observation.
func (db *DB) recordOne(now time.Duration, o *Observation) {
	r := db.rows[o.ID]
	if r == nil {
		if !o.FromDiscovery {
			return // discovery has never listed it
		}
		if len(db.rows)-db.tombstones.Len() >= db.settings.MaxServers {
			db.droppedRows++
			return
		}
		r = &row{}
		db.rows[o.ID] = r
	}
	before := r.Server
	if o.FromDiscovery {
		served := r.LastServed
		if o.Started > r.Started { // a new process has not served yet
			served = time.Time{}
		}
		changed := r.StateSince
		if before.ID == "" || before.State != o.State {
			changed = o.StateSince
		}
		r.Server = o.Server
		r.LastServed, r.StateSince = served, changed
		r.Started = max(r.Started, before.Started)
		if r.Address == "" { // a removal may come without an address
			r.Address = before.Address
		}
	}
	if !o.LastServed.IsZero() {
		r.LastServed = o.LastServed
	}
	db.digest ^= before.digest() ^ r.digest()
	db.updateTombstone(r)
	urgent := o.FromDiscovery && r.State != Serving && (before.ID == "" || before.State != r.State)
	if urgent || db.needsWrite(r) {
		db.write(now, r, urgent)
	}
	db.evictTombstones(now)
}

// needsWrite reports whether a row differs enough from what is written.
func (db *DB) needsWrite(r *row) bool {
	current, written := &r.Server, &r.written
	if written.ID == "" || current.State != written.State || current.Address != written.Address ||
		current.Zone != written.Zone || current.Cell != written.Cell ||
		current.Started != written.Started || float32(current.Weight) != float32(written.Weight) {
		return true
	}
	return current.LastServed.Sub(written.LastServed) >= db.settings.ServedResolution ||
		written.LastServed.IsZero() != current.LastServed.IsZero()
}

// write puts a row into the store if it is urgent or a token is available. Otherwise the row becomes pending.
func (db *DB) write(now time.Duration, r *row, urgent bool) {
	if db.tokens < 1 && !urgent {
		db.pending[r.ID] = struct{}{}
		return
	}
	db.tokens = max(db.tokens-1, -db.settings.WritesPerSecond*burstSeconds)
	db.buffer = r.encode(db.buffer[:0])
	if _, err := db.store.Put(now, tableServers, r.ID, db.buffer, urgent); err != nil {
		db.droppedRows++
		return
	}
	r.written = r.Server
	delete(db.pending, r.ID)
}

// updateTombstone marks a server as removed if it is, and else removes the mark.
func (db *DB) updateTombstone(r *row) {
	if r.State != Gone {
		db.tombstones.Delete(r.ID)
		r.removalSeq = 0
		return
	}
	if db.tombstones.Contains(r.ID) {
		return
	}
	db.lastRemovalSeq++
	r.removalSeq = db.lastRemovalSeq
	db.tombstones.Add(r.ID)
}

// evictTombstones forgets the oldest removals beyond the limit.
func (db *DB) evictTombstones(now time.Duration) {
	for db.tombstones.Len() > db.settings.MaxTombstones {
		oldest, _ := db.tombstones.Oldest()
		db.tombstones.Delete(oldest)
		delete(db.rows, oldest)
		delete(db.pending, oldest)
		db.store.Delete(now, tableServers, oldest, false)
	}
}

// RecordConfirmation records that discovery answered. A ServerRate of 0 keeps the previous one.
func (db *DB) RecordConfirmation(now time.Duration, l List) {
	db.refillTokens(now)
	if l.ServerRate == 0 {
		l.ServerRate = db.list.ServerRate
	}
	old := db.list
	db.list = l
	if l.Generation != old.Generation || l.Discovery != old.Discovery || l.Incomplete != old.Incomplete ||
		l.Confirmed.Sub(old.Confirmed) >= db.settings.ConfirmInterval || l.Confirmed.Before(old.Confirmed) {
		db.listPending = true
	} else {
		db.list.Confirmed = old.Confirmed
	}
	db.writeList(now)
}

// writeList writes the row of the list if it is pending and a token is available.
func (db *DB) writeList(now time.Duration) {
	if !db.listPending || db.tokens < 1 {
		return
	}
	db.tokens--
	db.list.Digest, db.list.Consistent = db.digest, true
	if db.list.Incomplete {
		db.list.Digest, db.list.Consistent = ^db.digest, false
	}
	db.buffer = db.list.encode(db.buffer[:0])
	if _, err := db.store.Put(now, tableList, listKey, db.buffer, false); err != nil {
		db.droppedRows++
		return
	}
	db.listPending = false
}

// WritePending writes pending rows as far as tokens are available, and reports whether some are left.
func (db *DB) WritePending(now time.Duration) (more bool) {
	db.refillTokens(now)
	db.writeList(now)
	for id := range db.pending {
		if db.tokens < 1 {
			break
		}
		if r := db.rows[id]; r != nil {
			db.write(now, r, false)
		}
		delete(db.pending, id)
	}
	return len(db.pending) > 0 || db.listPending
}

// refillTokens adds the tokens of the time since the last call.
func (db *DB) refillTokens(now time.Duration) {
	db.tokens = min(db.tokens+db.settings.WritesPerSecond*(now-db.refilledAt).Seconds(), db.settings.WritesPerSecond*burstSeconds)
	db.refilledAt = now
}

// Merge combines the list in the DB with the one in the configuration, which may be older. If both know a server, the
// newer process counts, and for the same process the state that is further from serving: a server that drained or was
// removed stays so over a restart.
func Merge(known []Server, configured []Server) []Server {
	index := make(map[string]int, len(known)+len(configured))
	all := slices.Clone(known)
	for i := range all {
		index[all[i].ID] = i
	}
	for _, server := range configured {
		i, ok := index[server.ID]
		if !ok {
			index[server.ID] = len(all)
			all = append(all, server)
			continue
		}
		merged := &all[i]
		if server.Started > merged.Started {
			*merged = server
		} else if server.Started == merged.Started && server.State > merged.State {
			merged.State = server.State
		}
	}
	slices.SortFunc(all, func(x, y Server) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// String formats the server on one line.
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
