package endpoints

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewring/decide"
)

// Settings bound a view's doubts. The zero value of each field stands for its default.
type Settings struct {
	LossFraction     float64       // part of the serving servers whose loss by one list is asked about again; 0.5
	MinLoss          int           // and so many at the least; 3
	RollbackDelay    time.Duration // how long what an older list brings back waits; 30 s
	FlapWindow       time.Duration // returns further apart than this are none of one flapping; 30 s
	FlapThreshold    int           // returns in the window that are believed at once; 2
	FlapInitialDelay time.Duration // wait of the next one, doubled with each further; 2 s
	FlapMaxDelay     time.Duration // up to this; 30 s
	MaxTombstones    int           // servers remembered as gone; 4096
}

func (s Settings) withDefaults() Settings {
	s.LossFraction, s.MinLoss = cmp.Or(s.LossFraction, 0.5), cmp.Or(s.MinLoss, 3)
	s.RollbackDelay, s.FlapWindow = cmp.Or(s.RollbackDelay, 30*time.Second), cmp.Or(s.FlapWindow, 30*time.Second)
	s.FlapThreshold, s.FlapInitialDelay = cmp.Or(s.FlapThreshold, 2), cmp.Or(s.FlapInitialDelay, 2*time.Second)
	s.FlapMaxDelay, s.MaxTombstones = cmp.Or(s.FlapMaxDelay, 30*time.Second), cmp.Or(s.MaxTombstones, 4096)
	return s
}

// LongestDoubt is how long good news of a list waits at the most.
func (s Settings) MaxDelay() time.Duration {
	s = s.withDefaults()
	return max(s.RollbackDelay, s.FlapMaxDelay)
}

// row is what is known of a server, gone ones included.
type row struct {
	Entry                      // by the newest list
	passed       decide.Health // what was passed on
	returns      int           // in the window
	turnedAt     time.Duration // the last return or leaving
	heldUntil    time.Duration // good news waits till then; 0: none does
	byGeneration bool          // ... or till a list above the highest generation
	over         string        // a newer process at its address; "": none
	gonePlace    uint64        // in the order of the gone; 0: not among them
}

// turn notes that it comes or goes. After a calm its earlier returns count no more.
func (r *row) turn(now, window time.Duration) {
	if now-r.turnedAt > window {
		r.returns = 0
	}
	r.turnedAt = now
}

// View is what a node believes of the servers of its tier.
type View struct {
	set        Settings
	rows       map[string]*row
	owners     map[string]string // by address: who is passed on as serving there
	serving    int               // passed on as such
	generation uint64            // of the newest list
	highest    uint64            // of all
	begun      bool
	held       []string // ids whose good news waits
	beaten     []string // ids that another process has taken the address of
	gone       []goneID // oldest first
	nextGone   uint64
	out        []Entry
	odd        []Anomaly
}

type goneID struct {
	id    string
	place uint64
}

// Kind is what is odd about a list.
type AnomalyKind string

// The kinds.
const (
	GenerationRollback AnomalyKind = "the generation runs backwards"
	MassRemoval        AnomalyKind = "most servers are gone at once"
	EmptyList          AnomalyKind = "the whole list is empty"
	Flapping           AnomalyKind = "a server comes and goes"
	DuplicateEntry     AnomalyKind = "a server stands in one list twice"
	AddressConflict    AnomalyKind = "two servers are said to be at one address"
	ReturnInOlderList  AnomalyKind = "an older list brings a server back"
)

// Odd is one thing that is odd about a list.
type Anomaly struct {
	Kind AnomalyKind
	ID   string // of the server; "": the list as a whole
	Text string
}

func (o Anomaly) String() string {
	if o.ID == "" {
		return fmt.Sprintf("%s: %s", o.Kind, o.Text)
	}
	return fmt.Sprintf("%s: %s: %s", o.Kind, o.ID, o.Text)
}

// Update is what comes of a list.
type Update struct {
	Changes      []Entry   // to be carried out now; valid until the next call
	Anomalies    []Anomaly // the same
	RefetchWhole bool      // the whole list should be asked for once more
}

// New returns a view of nothing.
func New(set Settings) *View {
	return &View{set: set.withDefaults(), rows: map[string]*row{}, owners: map[string]string{}}
}

// Begin takes a list that the node had before it started. All of it is held to be passed on.
func (v *View) Restore(l *List) {
	for i := range l.Entries {
		e := &l.Entries[i]
		r := &row{Entry: *e, passed: e.Health}
		if old := v.rows[e.ID]; old != nil {
			v.leave(old)
		}
		v.rows[e.ID] = r
		if e.Health == decide.Healthy {
			v.serving++
			v.owners[e.Address] = e.ID
		} else if e.Health == decide.Removed {
			v.bury(r)
		}
	}
	v.generation, v.highest = l.Generation, l.Generation
	v.begun = l.Generation > 0
}

// Serving is how many servers are passed on as such, and Len how many rows are kept.
func (v *View) Serving() int { return v.serving }
func (v *View) Len() int     { return len(v.rows) }

// Apply takes a list. Whatever of it is bad news is among the changes.
func (v *View) Apply(now time.Duration, l *List) Update {
	v.out, v.odd = v.out[:0], v.odd[:0]
	backwards := v.begun && l.Generation < v.generation
	above := l.Generation > v.highest
	if backwards {
		v.strange(GenerationRollback, "", fmt.Sprintf("from %d to %d", v.generation, l.Generation))
	}
	before := v.serving
	entries := v.once(l.Entries)
	if l.Whole {
		v.missing(now, entries)
		if len(entries) == 0 && before > 0 {
			v.strange(EmptyList, "", fmt.Sprintf("%d servers were serving", before))
		}
	}
	// Bad news first: an address that is given up may be taken in the same list.
	for i := range entries {
		if e := &entries[i]; e.Health != decide.Healthy {
			v.bad(now, e)
		}
	}
	lost := before - v.serving
	for i := range entries {
		if e := &entries[i]; e.Health == decide.Healthy {
			v.good(now, e, backwards, above)
		}
	}
	v.revive()
	again := lost >= v.set.MinLoss && float64(lost) > v.set.LossFraction*float64(before) ||
		l.Whole && len(entries) == 0 && before > 0
	if again && v.serving+v.set.MinLoss > before { // replaced in the same list
		again = false
	}
	if again {
		v.strange(MassRemoval, "", fmt.Sprintf("%d of %d", lost, before))
	}
	v.generation, v.highest, v.begun = l.Generation, max(v.highest, l.Generation), true
	return Update{v.out, v.odd, again}
}

// Partial takes what a list that broke off told of servers that drain or are gone, and returns the changes. The list's
// generation is not reached: the next one tells the same again.
func (v *View) ApplyPartial(now time.Duration, bad []Entry) []Entry {
	v.out = v.out[:0]
	for i := range bad {
		v.bad(now, &bad[i])
	}
	return v.out
}

// Due passes on what has waited long enough.
func (v *View) ReleaseDue(now time.Duration) []Entry {
	v.out = v.out[:0]
	left := v.held[:0]
	for _, id := range v.held {
		r := v.rows[id]
		switch {
		case r == nil || r.heldUntil == 0:
		case r.heldUntil <= now:
			r.heldUntil, r.turnedAt = 0, now
			v.admit(now, r)
		default:
			left = append(left, id)
		}
	}
	clear(v.held[len(left):])
	v.held = left
	return v.out
}

// Next is when Due has something to do, and false if never.
func (v *View) NextRelease() (at time.Duration, ok bool) {
	for _, id := range v.held {
		if r := v.rows[id]; r != nil && r.heldUntil > 0 && (!ok || r.heldUntil < at) {
			at, ok = r.heldUntil, true
		}
	}
	return at, ok
}

// All are the servers that were passed on and not taken back, in order of their ids.
func (v *View) Published() []Entry {
	var all []Entry
	for _, r := range v.rows {
		if r.passed != decide.Removed {
			e := r.Entry
			e.Health = r.passed
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(x, y Entry) int { return strings.Compare(x.ID, y.ID) })
	return all
}

// Told is the newest list as discovery told it, gone servers left out, whatever of it is doubted here.
func (v *View) LatestList() *List {
	l := &List{Generation: v.generation, Whole: true}
	for _, r := range v.rows {
		if r.Health != decide.Removed {
			l.Entries = append(l.Entries, r.Entry)
		}
	}
	slices.SortFunc(l.Entries, func(x, y Entry) int { return strings.Compare(x.ID, y.ID) })
	return l
}

// Health is what was passed on of a server; Removed if nothing was.
func (v *View) Health(id string) decide.Health {
	if r := v.rows[id]; r != nil {
		return r.passed
	}
	return decide.Removed
}

func (v *View) strange(k AnomalyKind, id, text string) { v.odd = append(v.odd, Anomaly{k, id, text}) }

// pass makes a change.
func (v *View) pass(r *row, h decide.Health) {
	if r.passed == decide.Healthy {
		v.leave(r)
	}
	if r.passed = h; h == decide.Healthy {
		v.serving++
		v.owners[r.Address] = r.ID
	}
	e := r.Entry
	e.Health = h
	v.out = append(v.out, e)
}

// leave takes a row off the counts of what serves.
func (v *View) leave(r *row) {
	if r.passed != decide.Healthy {
		return
	}
	v.serving--
	if v.owners[r.Address] == r.ID {
		delete(v.owners, r.Address)
	}
}

// once leaves one entry of each server: the newer process, and of one process the worse news.
func (v *View) once(entries []Entry) []Entry {
	at := make(map[string]int, len(entries))
	for i := range entries {
		at[entries[i].ID] = i
	}
	if len(at) == len(entries) {
		return entries
	}
	kept := make([]Entry, 0, len(at))
	clear(at)
	for _, e := range entries {
		i, twice := at[e.ID]
		if !twice {
			at[e.ID] = len(kept)
			kept = append(kept, e)
			continue
		}
		old := &kept[i]
		v.strange(DuplicateEntry, e.ID, fmt.Sprintf("at %s and %s", old.Address, e.Address))
		if e.Started > old.Started || e.Started == old.Started && e.Health > old.Health {
			*old = e
		}
	}
	return kept
}

// missing removes what a whole list does not name.
func (v *View) missing(now time.Duration, entries []Entry) {
	named := make(map[string]struct{}, len(entries))
	for i := range entries {
		named[entries[i].ID] = struct{}{}
	}
	var lost []*row
	for id, r := range v.rows {
		if _, ok := named[id]; !ok && (r.passed != decide.Removed || r.Health != decide.Removed) {
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(x, y *row) int { return strings.Compare(x.ID, y.ID) })
	for _, r := range lost {
		e := r.Entry
		e.Health = decide.Removed
		v.bad(now, &e)
	}
}

// bad takes word that a server drains or is gone.
func (v *View) bad(now time.Duration, e *Entry) {
	r := v.rows[e.ID]
	if r == nil {
		r = &row{Entry: *e, passed: decide.Removed}
		v.rows[e.ID] = r
		if e.Health == decide.Draining {
			v.pass(r, decide.Draining)
		} else {
			v.bury(r)
		}
		return
	}
	if r.passed == decide.Healthy {
		r.turn(now, v.set.FlapWindow)
	}
	address, started := r.Address, r.Started
	was := r.passed
	if was == decide.Healthy {
		v.leave(r)
		r.passed = decide.Draining // off the counts
	}
	r.Entry, r.heldUntil, r.byGeneration, r.over = *e, 0, false, ""
	if r.Address == "" {
		r.Address = address
	}
	r.Started = max(r.Started, started)
	if was != e.Health {
		v.pass(r, e.Health)
	}
	if e.Health == decide.Removed {
		v.bury(r)
	} else {
		r.gonePlace = 0
	}
}

// good takes word that a server serves.
func (v *View) good(now time.Duration, e *Entry, backwards, above bool) {
	r := v.rows[e.ID]
	if r == nil {
		r = &row{Entry: *e, passed: decide.Removed}
		v.rows[e.ID] = r
		v.admit(now, r)
		return
	}
	newer := e.Started > r.Started
	if r.passed == decide.Healthy {
		if e.Started < r.Started { // an older word of a process that is gone: the start stays
			older := *e
			older.Started = r.Started
			e = &older
		}
		if *e == r.Entry {
			return
		}
		v.leave(r)
		r.passed = decide.Removed // so that whatever comes of it is passed on
		r.Entry = *e
		v.admit(now, r)
		return
	}
	known := r.Started
	r.Entry, r.gonePlace = *e, 0
	r.Started = max(known, e.Started)
	if r.over != "" && !newer {
		return // another process has its address; revive looks whether still
	}
	if r.heldUntil > 0 {
		if newer || r.byGeneration && above {
			r.heldUntil, r.byGeneration = 0, false
			v.admit(now, r)
		}
		return
	}
	wait := time.Duration(0)
	r.turn(now, v.set.FlapWindow)
	switch {
	case newer:
	case backwards:
		wait, r.byGeneration = v.set.RollbackDelay, true
		v.strange(ReturnInOlderList, e.ID, fmt.Sprintf("it waits for %v, or a newer list", wait))
	case r.returns >= v.set.FlapThreshold:
		wait = min(v.set.FlapInitialDelay<<min(r.returns-v.set.FlapThreshold, 16), v.set.FlapMaxDelay)
		v.strange(Flapping, e.ID, fmt.Sprintf("%d returns, the next waits for %v", r.returns, wait))
	}
	r.returns++
	if wait > 0 {
		r.heldUntil = now + wait
		v.held = append(v.held, r.ID)
		return
	}
	v.admit(now, r)
}

// admit passes a server on as serving, unless a newer process has its address.
func (v *View) admit(now time.Duration, r *row) {
	if id, ok := v.owners[r.Address]; ok && id != r.ID {
		other := v.rows[id]
		v.strange(AddressConflict, r.ID, fmt.Sprintf("%s is at %s too", id, r.Address))
		switch {
		case r.Started > other.Started && other.Started > 0:
			v.pass(other, decide.Draining)
			other.over = r.ID
			v.beaten = append(v.beaten, id)
		case r.Started < other.Started && r.Started > 0:
			r.over = id
			v.beaten = append(v.beaten, r.ID)
			if r.passed != decide.Draining {
				v.pass(r, decide.Draining)
			}
			return
		}
	}
	v.pass(r, decide.Healthy)
}

// revive passes those on again whose address the newer process has left.
func (v *View) revive() {
	left := v.beaten[:0]
	for _, id := range v.beaten {
		r := v.rows[id]
		switch {
		case r == nil || r.over == "":
		case v.Health(r.over) == decide.Healthy && v.rows[r.over].Address == r.Address:
			left = append(left, id)
		case r.Health == decide.Healthy:
			r.over = ""
			v.pass(r, decide.Healthy)
		}
	}
	v.beaten = left
}

// bury remembers a server as gone, and forgets the one gone longest where they are too many.
func (v *View) bury(r *row) {
	v.nextGone++
	r.gonePlace = v.nextGone
	v.gone = append(v.gone, goneID{r.ID, v.nextGone})
	for len(v.gone) > v.set.MaxTombstones {
		g := v.gone[0]
		v.gone = v.gone[1:]
		if x := v.rows[g.id]; x != nil && x.gonePlace == g.place {
			delete(v.rows, g.id)
		}
	}
}
