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
	supersededBy        string        // ID of a newer process at its address; "": none
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
	addressOwners     map[string]string // by address: ID of the server that is published as serving there
	serving           int               // number of servers published as serving
	generation        uint64            // of the newest list
	highestGeneration uint64            // highest of any list since Restore
	departuresUpTo    uint64            // highest generation of drains and removals in partial answers and before Restore
	hasList           bool
	held              orderedset.Set // IDs with heldUntil set
	superseded        orderedset.Set // IDs with supersededBy set
	tombstones        orderedset.Set // IDs of removed servers, in order of removal
	forgotten         forgottenRemovals
	changes           []Entry
	anomalies         []Anomaly
}

// forgottenRemovals describes the removed servers that have no record any more.
type forgottenRemovals struct {
	generation uint64        // highest departureGeneration
	started    time.Duration // latest start time
	heldUntil  time.Duration // end of RollbackDelay from the first of the older lists; 0: the newest list is not older
}

// add extends the description by a server.
func (f *forgottenRemovals) add(r *serverRecord) {
	f.generation, f.started = max(f.generation, r.departureGeneration), max(f.started, r.Started)
}

// recordList notes whether a list is older than the removals. Discovery may have been restored from a backup: if all its
// lists are older, they are believed after rollbackDelay.
func (f *forgottenRemovals) recordList(info *listInfo, rollbackDelay time.Duration) {
	if info.generation >= f.generation {
		f.heldUntil = 0
	} else if f.heldUntil == 0 {
		f.heldUntil = info.receivedAt + rollbackDelay
	}
}

// mayInclude reports whether a server without a record may have been removed after the recorded list.
func (f *forgottenRemovals) mayInclude(info *listInfo, e *Entry) bool {
	return info.receivedAt < f.heldUntil && e.Started <= f.started
}

// listInfo describes the list whose entries are being processed.
type listInfo struct {
	receivedAt   time.Duration
	generation   uint64
	backwards    bool // it is older than the list before it
	aboveHighest bool // its generation is above the highest so far
}

// olderThan reports whether the list is older than a generation.
func (l *listInfo) olderThan(generation uint64) bool { return l.backwards || l.generation < generation }

// AnomalyKind classifies an anomaly of a list.
type AnomalyKind string

// The kinds of anomalies. Logs and operators' tools use these texts.
const (
	GenerationRollback AnomalyKind = "the generation runs backwards"
	MassRemoval        AnomalyKind = "most servers are gone at once"
	EmptyList          AnomalyKind = "the whole list is empty"
	Flapping           AnomalyKind = "a server comes and goes"
	DuplicateEntry     AnomalyKind = "a server stands in one list twice"
	AddressConflict    AnomalyKind = "two servers are said to be at one address"
	ReturnInOlderList  AnomalyKind = "an older list brings a server back"
)

// Anomaly is an inconsistency in a list, or between a list and those before it.
type Anomaly struct {
	Kind AnomalyKind
	ID   string // of the server; "": concerns the list as a whole
	Text string
}

// String formats the anomaly for logs.
func (a Anomaly) String() string {
	if a.ID == "" {
		return fmt.Sprintf("%s: %s", a.Kind, a.Text)
	}
	return fmt.Sprintf("%s: %s: %s", a.Kind, a.ID, a.Text)
}

// Update is the result of applying a list.
type Update struct {
	Changes      []Entry   // to apply now; valid until the next call of the View
	Anomalies    []Anomaly // valid until the next call of the View
	RefetchWhole bool      // the list is suspicious: fetch the whole list again
}

// New returns an empty view.
func New(settings Settings) *View {
	return &View{settings: settings.withDefaults(), records: map[string]*serverRecord{}, addressOwners: map[string]string{}}
}

// Restore loads a list from before the node started. All its entries count as published. Its drains and removals may
// have been reported by lists up to the generation departures, which can be above that of the list.
func (v *View) Restore(l *List, departures uint64) {
	for i := range l.Entries {
		e := &l.Entries[i]
		r := &serverRecord{Entry: *e, published: e.Health}
		if old := v.records[e.ID]; old != nil {
			v.removeFromServing(old)
			v.endHold(old)
			v.endSuperseded(old)
			v.tombstones.Delete(old.ID)
		}
		v.records[e.ID] = r
		if e.Health == decide.Healthy {
			v.serving++
			v.addressOwners[e.Address] = e.ID
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
}

// KeepDepartures changes the entries of a list from before a partial answer: what the answer reported as draining or
// removed stays so, except for newer processes.
func (v *View) KeepDepartures(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if r := v.records[e.ID]; r != nil && r.Health > e.Health && r.Started >= e.Started {
			e.Health = r.Health
		}
	}
}

// HighestGeneration returns the highest generation of any list or partial answer, including those from before Restore.
func (v *View) HighestGeneration() uint64 { return max(v.highestGeneration, v.departuresUpTo) }

// Serving returns how many servers are published as serving.
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
	v.restoreSuperseded()
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
	return v.changes
}

// ReleaseDue publishes the held servers whose delay is over.
func (v *View) ReleaseDue(now time.Duration) []Entry {
	v.changes = v.changes[:0]
	for id := range v.held.All() {
		r := v.records[id]
		if r.heldUntil > now {
			continue
		}
		v.endHold(r)
		r.lastTransition = now
		v.admit(r)
	}
	return v.changes
}

// NextRelease returns when ReleaseDue has work to do next, and false if no server is held.
func (v *View) NextRelease() (at time.Duration, ok bool) {
	for id := range v.held.All() {
		if r := v.records[id]; !ok || r.heldUntil < at {
			at, ok = r.heldUntil, true
		}
	}
	return at, ok
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

// reportAnomaly adds an anomaly to the current update.
func (v *View) reportAnomaly(k AnomalyKind, id, text string) {
	v.anomalies = append(v.anomalies, Anomaly{k, id, text})
}

// publish sets the published health of a server and adds the change to the current update.
func (v *View) publish(r *serverRecord, h decide.Health) {
	if r.published == decide.Healthy {
		v.removeFromServing(r)
	}
	if r.published = h; h == decide.Healthy {
		v.serving++
		v.addressOwners[r.Address] = r.ID
	}
	e := r.Entry
	e.Health = h
	v.changes = append(v.changes, e)
}

// removeFromServing takes a server out of the serving count and the address owners.
func (v *View) removeFromServing(r *serverRecord) {
	if r.published != decide.Healthy {
		return
	}
	v.serving--
	if v.addressOwners[r.Address] == r.ID {
		delete(v.addressOwners, r.Address)
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
	address, started := r.Address, r.Started
	previous := r.published
	if previous == decide.Healthy {
		v.removeFromServing(r)
		r.published = decide.Draining // already taken out of the serving count
	}
	v.endHold(r)
	v.endSuperseded(r)
	r.Entry, r.departureGeneration = *e, max(r.departureGeneration, info.generation)
	if r.Address == "" {
		r.Address = address
	}
	r.Started = max(r.Started, started)
	if previous != e.Health {
		v.publish(r, e.Health)
	}
	if e.Health == decide.Removed {
		v.addTombstone(r)
	} else {
		v.tombstones.Delete(r.ID)
	}
}

// addNotServing adds a server that is new to this view and reported as draining or removed.
func (v *View) addNotServing(info *listInfo, e *Entry) {
	r := &serverRecord{Entry: *e, published: decide.Removed, departureGeneration: info.generation}
	v.records[e.ID] = r
	if e.Health == decide.Draining {
		v.publish(r, decide.Draining)
	} else {
		v.addTombstone(r)
	}
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
	known := r.Started
	r.Entry = *e
	r.Started = max(known, e.Started)
	v.tombstones.Delete(r.ID)
	if r.supersededBy != "" && !newer {
		return // a newer process has its address; restoreSuperseded checks whether it still does
	}
	if r.heldUntil > 0 {
		switch {
		case newer:
			v.endHold(r)
			v.admit(r)
		case r.endsWithNewerList && info.aboveHighest && !info.olderThan(r.departureGeneration):
			v.endHold(r)
			v.admitUnlessFlapping(info, r)
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
	r := &serverRecord{Entry: *e, published: decide.Removed}
	v.records[e.ID] = r
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
	if updated == r.Entry {
		return
	}
	v.removeFromServing(r)
	r.published = decide.Removed // so that admit publishes it again
	r.Entry = updated
	v.admit(r)
}

// holdReturn holds back a server that a list reports as serving although it departed after that list.
func (v *View) holdReturn(info *listInfo, r *serverRecord) {
	v.reportAnomaly(ReturnInOlderList, r.ID, fmt.Sprintf("held for %v or until a newer list arrives", v.settings.RollbackDelay))
	v.hold(r, info.receivedAt+v.settings.RollbackDelay)
	r.endsWithNewerList = true
}

// admitUnlessFlapping publishes a server whose return is counted already, or holds it back if it returns too often. A
// hold that ended just before counts towards MaxDelay.
func (v *View) admitUnlessFlapping(info *listInfo, r *serverRecord) {
	excess := r.returnCount - v.settings.FlapThreshold
	if excess <= 0 {
		v.admit(r)
		return
	}
	delay := min(v.settings.FlapInitialDelay<<min(excess-1, 16), v.settings.FlapMaxDelay)
	v.reportAnomaly(Flapping, r.ID, fmt.Sprintf("%d returns, held for %v", r.returnCount, delay))
	v.hold(r, min(info.receivedAt+delay, r.lastTransition+v.settings.MaxDelay()))
}

// hold holds back a server until a time.
func (v *View) hold(r *serverRecord, until time.Duration) {
	r.heldUntil = until
	v.held.Add(r.ID)
}

// endHold ends the hold of a server, if there is one.
func (v *View) endHold(r *serverRecord) {
	r.heldUntil, r.endsWithNewerList = 0, false
	v.held.Delete(r.ID)
}

// admit publishes a server as serving, unless a newer process has its address.
func (v *View) admit(r *serverRecord) {
	v.endSuperseded(r)
	if id, ok := v.addressOwners[r.Address]; ok && id != r.ID {
		other := v.records[id]
		v.reportAnomaly(AddressConflict, r.ID, fmt.Sprintf("%s is at %s too", id, r.Address))
		switch {
		case r.Started > other.Started && other.Started > 0:
			v.publish(other, decide.Draining)
			v.supersede(other, r.ID)
		case r.Started < other.Started && r.Started > 0:
			v.supersede(r, id)
			if r.published != decide.Draining {
				v.publish(r, decide.Draining)
			}
			return
		}
	}
	r.departureGeneration = 0
	v.publish(r, decide.Healthy)
}

// supersede marks a server whose address belongs to a newer process.
func (v *View) supersede(r *serverRecord, by string) {
	r.supersededBy = by
	v.superseded.Add(r.ID)
}

// endSuperseded clears that mark, if it is set.
func (v *View) endSuperseded(r *serverRecord) {
	r.supersededBy = ""
	v.superseded.Delete(r.ID)
}

// restoreSuperseded publishes servers again whose address the newer process has left.
func (v *View) restoreSuperseded() {
	for id := range v.superseded.All() {
		r := v.records[id]
		if v.Health(r.supersededBy) == decide.Healthy && v.records[r.supersededBy].Address == r.Address {
			continue
		}
		v.endSuperseded(r)
		v.publish(r, decide.Healthy)
	}
}

// addTombstone marks a server as removed and forgets the oldest removals beyond the limit.
func (v *View) addTombstone(r *serverRecord) {
	v.tombstones.Add(r.ID)
	for v.tombstones.Len() > v.settings.MaxTombstones {
		oldest, _ := v.tombstones.Oldest()
		v.forgotten.add(v.records[oldest])
		v.tombstones.Delete(oldest)
		delete(v.records, oldest)
	}
}
