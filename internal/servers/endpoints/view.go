package endpoints

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/orderedset"
)

// Settings configure a View. The zero value of a field selects its default.
type Settings struct {
	LossFraction     float64       // refetch if one list removes more than this share of what serves; default 0.5
	MinLoss          int           // ... and at least this many; default 3
	RollbackDelay    time.Duration // how long a server that returns in an older list is held back; default 30 s
	FlapWindow       time.Duration // returns are counted until a server has been stable for this long; default 30 s
	FlapThreshold    int           // returns in the window that are admitted at once; default 2
	FlapInitialDelay time.Duration // delay of the next return, doubled by each further one; default 2 s
	FlapMaxDelay     time.Duration // upper bound of that delay; default 30 s
	MaxTombstones    int           // removed servers that have a record; default 4096
}

func (s Settings) withDefaults() Settings {
	s.LossFraction, s.MinLoss = cmp.Or(s.LossFraction, 0.5), cmp.Or(s.MinLoss, 3)
	s.RollbackDelay, s.FlapWindow = cmp.Or(s.RollbackDelay, 30*time.Second), cmp.Or(s.FlapWindow, 30*time.Second)
	s.FlapThreshold, s.FlapInitialDelay = cmp.Or(s.FlapThreshold, 2), cmp.Or(s.FlapInitialDelay, 2*time.Second)
	s.FlapMaxDelay, s.MaxTombstones = cmp.Or(s.FlapMaxDelay, 30*time.Second), cmp.Or(s.MaxTombstones, 4096)
	return s
}

// MaxDelay returns the longest time for which a View holds back a server that is reported as serving.
func (s Settings) MaxDelay() time.Duration {
	s = s.withDefaults()
	return max(s.RollbackDelay, s.FlapMaxDelay)
}

// serverRecord is the state of one server, which may have been removed.
type serverRecord struct {
	Entry                             // as reported by the newest list
	published           decide.Health // health that the event loop has been given
	returnCount         int           // returns in the flap window
	lastTransition      time.Duration // time of the last return or departure
	departureGeneration uint64        // highest of the lists that reported it as draining or removed since it was last admitted
	heldUntil           time.Duration // not published as serving before this time; 0: not held
	endsWithNewerList   bool          // the hold also ends with a list above the highest generation
	rival               string        // ID of a process at its address that is not older; "": none
}

// recordTransition records that the server returns or departs. Returns before a stable period of length window are
// forgotten.
func (r *serverRecord) recordTransition(now, window time.Duration) {
	if now-r.lastTransition > window {
		r.returnCount = 0
	}
	r.lastTransition = now
}

// View holds the state of the servers of a node's tier. Its "published" state is what the event loop has received as
// changes, which can lag behind the newest list.
type View struct {
	settings          Settings
	records           map[string]*serverRecord
	listedAt          map[string][]*serverRecord // by address: the servers that the newest list names there
	serving           int                        // number of servers published as serving
	generation        uint64                     // of the newest list
	highestGeneration uint64                     // highest of any list since Restore
	departuresUpTo    uint64                     // highest generation of drains and removals in partial answers and before Restore
	hasList           bool
	held              orderedset.Set // IDs with heldUntil set
	rivals            orderedset.Set // IDs with rival set
	conflicts         orderedset.Set // addresses for resolveConflicts to check
	tombstones        orderedset.Set // IDs of removed servers, in order of removal
	forgotten         forgottenRemovals
	changes           []Entry
	anomalies         []Anomaly
}

// Update is the result of applying a list.
type Update struct {
	Changes      []Entry   // to apply now; valid until the next call of the View
	Anomalies    []Anomaly // valid until the next call of the View
	RefetchWhole bool      // the list is suspicious: fetch the whole list again
}

// New returns an empty view.
func New(settings Settings) *View {
	return &View{settings: settings.withDefaults(), records: map[string]*serverRecord{}, listedAt: map[string][]*serverRecord{}}
}

// Restore loads a list from before the node started. All its entries count as published, and the returned changes are
// to be applied after them. Its drains and removals may have been reported by lists up to the generation departures,
// which can be above that of the list.
func (v *View) Restore(l *List, departures uint64) []Entry {
	v.changes, v.anomalies = v.changes[:0], v.anomalies[:0]
	for i := range l.Entries {
		e := &l.Entries[i]
		r := &serverRecord{published: e.Health}
		if old := v.records[e.ID]; old != nil {
			v.removeFromServing(old)
			v.endHold(old)
			v.endRivalry(old)
			v.leaveAddress(old)
			v.tombstones.Delete(old.ID)
		}
		v.records[e.ID] = r
		v.setEntry(r, *e)
		if e.Health == decide.Healthy {
			v.serving++
			continue
		}
		r.departureGeneration = max(departures, v.departuresUpTo)
		if e.Health == decide.Removed {
			v.addTombstone(r)
		}
	}
	if v.tombstones.Len() >= v.settings.MaxTombstones { // the list may lack earlier removals
		for _, r := range v.records {
			v.forgotten.add(r)
		}
		v.forgotten.generation = departures
	}
	v.generation, v.highestGeneration = l.Generation, l.Generation
	v.departuresUpTo = max(v.departuresUpTo, departures)
	v.hasList = l.Generation > 0
	for _, r := range v.records {
		v.checkAddress(r)
	}
	v.resolveConflicts()
	return v.changes
}

// ServingCount returns how many servers are published as serving.
func (v *View) ServingCount() int { return v.serving }

// Len returns how many servers have a record, including removed ones.
func (v *View) Len() int { return len(v.records) }

// Apply processes a list from discovery. The changes include every drain and removal that it reports.
func (v *View) Apply(now time.Duration, l *List) Update {
	v.changes, v.anomalies = v.changes[:0], v.anomalies[:0]
	info := listInfo{
		receivedAt: now, generation: l.Generation,
		backwards: v.hasList && l.Generation < v.generation, aboveHighest: l.Generation > v.highestGeneration,
	}
	if info.backwards {
		v.reportAnomaly(GenerationRollback, "", fmt.Sprintf("from %d to %d", v.generation, l.Generation))
	}
	before := v.serving
	entries := v.deduplicate(l.Entries)
	if l.Whole {
		v.removeUnlisted(&info, entries)
		if len(entries) == 0 && before > 0 {
			v.reportAnomaly(EmptyList, "", fmt.Sprintf("%d servers were serving", before))
		}
	}
	// Drains and removals go first: an address that becomes free may be reused in the same list.
	for i := range entries {
		if e := &entries[i]; e.Health != decide.Healthy {
			v.applyNotServing(&info, e)
		}
	}
	lost := before - v.serving
	v.forgotten.recordList(&info, v.settings.RollbackDelay)
	for i := range entries {
		if e := &entries[i]; e.Health == decide.Healthy {
			v.applyServing(&info, e)
		}
	}
	v.resolveConflicts()
	refetch := lost >= v.settings.MinLoss && float64(lost) > v.settings.LossFraction*float64(before) ||
		l.Whole && len(entries) == 0 && before > 0
	if refetch && v.serving+v.settings.MinLoss > before { // the same list brings replacements
		refetch = false
	}
	if refetch {
		v.reportAnomaly(MassRemoval, "", fmt.Sprintf("%d of %d", lost, before))
	}
	v.generation, v.highestGeneration, v.hasList = l.Generation, max(v.highestGeneration, l.Generation), true
	return Update{v.changes, v.anomalies, refetch}
}

// ApplyPartial processes the drains and removals of a list that was cut off and returns the changes. The generation is
// 0 if it did not arrive. The view's generation stays as it is, so the next list repeats them.
func (v *View) ApplyPartial(now time.Duration, generation uint64, entries []Entry) []Entry {
	v.changes = v.changes[:0]
	info := listInfo{receivedAt: now, generation: max(v.generation+1, generation)}
	for i := range entries {
		v.applyNotServing(&info, &entries[i])
		v.departuresUpTo = max(v.departuresUpTo, info.generation)
	}
	v.withdrawConflicts()
	return v.changes
}

// Published returns the servers that are published and not removed, sorted by ID.
func (v *View) Published() []Entry {
	var all []Entry
	for _, r := range v.records {
		if r.published != decide.Removed {
			e := r.Entry
			e.Health = r.published
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y Entry) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// LatestList returns the newest list as discovery reported it, without removed servers and regardless of what is held
// back here.
func (v *View) LatestList() *List {
	l := &List{Generation: v.generation, Whole: true}
	for _, r := range v.records {
		if r.Health != decide.Removed {
			l.Entries = append(l.Entries, r.Entry)
		}
	}
	slices.SortFunc(l.Entries, func(x, y Entry) int { return strings.Compare(x.ID, y.ID) })
	return l
}

// Health returns the published health of a server, or Removed if it was never published.
func (v *View) Health(id string) decide.Health {
	if r := v.records[id]; r != nil {
		return r.published
	}
	return decide.Removed
}

// publish sets the published health of a server and adds the change to the current update.
func (v *View) publish(r *serverRecord, h decide.Health) {
	if r.published == decide.Healthy {
		v.removeFromServing(r)
	}
	if r.published = h; h == decide.Healthy {
		v.serving++
	}
	e := r.Entry
	e.Health = h
	v.changes = append(v.changes, e)
}

// removeFromServing takes a server out of the serving count.
func (v *View) removeFromServing(r *serverRecord) {
	if r.published == decide.Healthy {
		v.serving--
	}
}

// deduplicate keeps one entry per server: that of the newer process, and for the same process the one that is further
// from serving.
func (v *View) deduplicate(entries []Entry) []Entry {
	index := make(map[string]int, len(entries))
	for i := range entries {
		index[entries[i].ID] = i
	}
	if len(index) == len(entries) {
		return entries
	}
	kept := make([]Entry, 0, len(index))
	clear(index)
	for _, e := range entries {
		i, duplicate := index[e.ID]
		if !duplicate {
			index[e.ID] = len(kept)
			kept = append(kept, e)
			continue
		}
		old := &kept[i]
		v.reportAnomaly(DuplicateEntry, e.ID, fmt.Sprintf("at %s and %s", old.Address, e.Address))
		if e.Started > old.Started || e.Started == old.Started && e.Health > old.Health {
			*old = e
		}
	}
	return kept
}

// removeUnlisted removes every server that a whole list does not contain.
func (v *View) removeUnlisted(info *listInfo, entries []Entry) {
	listed := make(map[string]struct{}, len(entries))
	for i := range entries {
		listed[entries[i].ID] = struct{}{}
	}
	var unlisted []*serverRecord
	for id, r := range v.records {
		if _, ok := listed[id]; !ok && (r.published != decide.Removed || r.Health != decide.Removed) {
			unlisted = append(unlisted, r)
		}
	}
	slices.SortFunc(unlisted, func(x, y *serverRecord) int { return strings.Compare(x.ID, y.ID) })
	for _, r := range unlisted {
		e := r.Entry
		e.Health = decide.Removed
		v.applyNotServing(info, &e)
	}
}

// applyNotServing processes an entry that reports a server as draining or removed.
func (v *View) applyNotServing(info *listInfo, e *Entry) {
	r := v.records[e.ID]
	if r == nil {
		v.addNotServing(info, e)
		return
	}
	if r.published == decide.Healthy {
		r.recordTransition(info.receivedAt, v.settings.FlapWindow)
	}
	updated := *e
	updated.Address = cmp.Or(e.Address, r.Address)
	updated.Started = max(e.Started, r.Started)
	updated.ZoneUnknown, updated.CellUnknown = r.ZoneUnknown, r.CellUnknown
	previous := r.published
	if previous == decide.Healthy {
		v.removeFromServing(r)
		r.published = decide.Draining // already taken out of the serving count
	}
	v.endHold(r)
	v.endRivalry(r)
	v.setEntry(r, updated)
	r.departureGeneration = max(r.departureGeneration, info.generation)
	if previous != e.Health {
		v.publish(r, e.Health)
	}
	if e.Health == decide.Removed {
		v.addTombstone(r)
		return
	}
	v.tombstones.Delete(r.ID)
	v.checkAddress(r)
}

// addNotServing adds a server that is new to this view and reported as draining or removed.
func (v *View) addNotServing(info *listInfo, e *Entry) {
	r := &serverRecord{published: decide.Removed, departureGeneration: info.generation}
	v.records[e.ID] = r
	v.setEntry(r, *e)
	if e.Health == decide.Removed {
		v.addTombstone(r)
		return
	}
	v.publish(r, decide.Draining)
	v.checkAddress(r)
}

// applyServing processes an entry that reports a server as serving.
func (v *View) applyServing(info *listInfo, e *Entry) {
	r := v.records[e.ID]
	if r == nil {
		v.addServing(info, e)
		return
	}
	newer := e.Started > r.Started
	if r.published == decide.Healthy {
		v.updateServing(r, e)
		return
	}
	updated := *e
	updated.Started = max(e.Started, r.Started)
	updated.ZoneUnknown, updated.CellUnknown = r.ZoneUnknown, r.CellUnknown
	v.setEntry(r, updated)
	v.tombstones.Delete(r.ID)
	if r.rival != "" && !newer {
		v.conflicts.Add(r.Address) // a newer process had its address; resolveConflicts checks whether it still does
		return
	}
	if r.heldUntil > 0 {
		switch {
		case newer:
			v.endHold(r)
			v.admit(r)
		case r.endsWithNewerList && info.aboveHighest && !info.olderThan(r.departureGeneration):
			v.endHold(r)
			v.admitUnlessFlapping(info, r)
		default:
			v.checkAddress(r) // it may have moved
		}
		return
	}
	r.recordTransition(info.receivedAt, v.settings.FlapWindow)
	r.returnCount++
	switch {
	case newer:
		v.admit(r)
	case info.olderThan(r.departureGeneration):
		v.holdReturn(info, r)
	default:
		v.admitUnlessFlapping(info, r)
	}
}

// addServing adds a server that is new to this view and reported as serving.
func (v *View) addServing(info *listInfo, e *Entry) {
	r := &serverRecord{published: decide.Removed}
	v.records[e.ID] = r
	v.setEntry(r, *e)
	if v.forgotten.mayInclude(info, e) {
		r.departureGeneration = v.forgotten.generation
		v.holdReturn(info, r)
		return
	}
	v.admit(r)
}

// updateServing processes a further report that a server which is published as serving does so.
func (v *View) updateServing(r *serverRecord, e *Entry) {
	updated := *e
	updated.Started = max(e.Started, r.Started) // the report may be an outdated one of an earlier process
	updated.ZoneUnknown, updated.CellUnknown = r.ZoneUnknown, r.CellUnknown
	if updated == r.Entry {
		return
	}
	v.removeFromServing(r)
	r.published = decide.Removed // so that admit publishes it again
	v.setEntry(r, updated)
	v.admit(r)
}
