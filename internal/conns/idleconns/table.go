package idleconns

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Policy is in what order idle connections go.
type Policy uint8

const (
	// Recency lets those go first that have idled longest (LRU).
	LRU Policy = iota
	// Segments is segmented LRU: those that came back once are kept before those that
	// never did. It is here to be compared with.
	SegmentedLRU
	// Value lets those go first whose next request is worth least by the time until
	// it comes, as their habit tells it; among equals of a regular habit the one that was
	// here last, since its next request is the furthest away (Belady 1966).
	LowestValue
)

const (
	grades    = 64     // of values, each a list of idle connections; 0: never used, or long overdue
	unready   = grades // list: no whole request has come since the start or the last head
	lists     = grades + 1
	unit      = 10 * time.Millisecond
	handSteps = 2 // entries looked at for being overdue, with each that goes idle
	overdue   = 4 // intervals without a return, after which a connection counts as never used
	chunkBits = 10
	chunk     = 1 << chunkBits
	inNone    = 0 // entry.list: in no list; else one more than the list

	// A next request that nothing is known of is expected after unknown, which is long
	// against a habit that has shown.
	unknown = 10 * time.Minute
	// Grades of values: three to a doubling, from worth 1 in a day up.
	gradeDay   = 24 * time.Hour
	gradeSteps = 3
	// Those that come back with a spread below this, in sixteenths of the interval, are
	// taken for regular.
	regular = 6
)

// entry is what is known of one connection.
type entry struct {
	next, prev int32
	last       uint32 // when it went idle, in units
	who        uint32 // hash of its client's address; 0: none
	habit
	list   uint8
	source uint16
}

// entryBytes is an entry's size.
const entryBytes = 28

// habit is how a client comes back.
type habit struct {
	interval uint32 // learned time from an answer to the next request, in units; 0: none
	returns  uint8  // how often it came back, saturating
	spread   uint8  // of the intervals about the mean, in sixteenths of it
	class    uint8  // of the last request, one more; 0: none yet
}

// Settings are a table's, fixed for its life.
type Settings struct {
	Policy            Policy
	ClassWorths       []float64     // by class
	NewcomerGrace     time.Duration // how long a connection that has just come has for its first request
	RememberedClients int           // clients whose habits are remembered beyond their connections; 0: none
}

// Table is what is known of all connections. Make one with New.
type Table struct {
	set    Settings
	rules  *Rules
	base   time.Duration
	heads  []entry
	marks  uint64 // lists that may hold connections
	habits habits
	chunks []*[chunk]entry
	hand   int32
	most   int32 // numbers lie below
	idle   int
	fresh  int
}

// New makes an empty table, whose times count from now. The rules may be nil: then DefaultFor holds for all.
func New(set Settings, rules *Rules, now time.Duration) *Table {
	t := &Table{set: set, rules: rules, base: now, heads: make([]entry, lists), habits: newHabits(set.RememberedClients)}
	for i := range t.heads {
		t.heads[i].next, t.heads[i].prev = int32(-i-1), int32(-i-1)
	}
	return t
}

// Use takes other rules, for what goes idle from now on.
func (t *Table) SetRules(rules *Rules) { t.rules = rules }

// Idle and Fresh count the connections that wait for a next request, and those that
// have sent no whole one since they came or began it.
func (t *Table) Idle() int       { return t.idle }
func (t *Table) Incomplete() int { return t.fresh }

// Bytes is what the table takes.
func (t *Table) Bytes() int {
	return len(t.chunks)*chunk*entryBytes + lists*entryBytes + t.habits.bytes()
}

// at returns a connection's entry, or with a negative number a list's head.
func (t *Table) at(i int32) *entry {
	if i < 0 {
		return &t.heads[-i-1]
	}
	return &t.chunks[i>>chunkBits][i&(chunk-1)]
}

// stamp is a time as entries hold it: 497 days' worth.
func (t *Table) stamp(now time.Duration) uint32 { return uint32(max(0, now-t.base) / unit) }

func (t *Table) time(stamp uint32) time.Duration { return t.base + time.Duration(stamp)*unit }

func (t *Table) push(list int, id int32) {
	e, h := t.at(id), &t.heads[list]
	e.list = uint8(list + 1)
	e.next, e.prev = int32(-list-1), h.prev
	t.at(h.prev).next, h.prev = id, id
	if list == unready {
		t.fresh++
	} else {
		t.idle++
		t.marks |= 1 << list
	}
}

func (t *Table) drop(id int32) {
	e := t.at(id)
	switch e.list {
	case inNone:
		return
	case unready + 1:
		t.fresh--
	default:
		t.idle--
	}
	t.at(e.prev).next, t.at(e.next).prev = e.next, e.prev
	e.list = inNone
}

// Came enters a new connection under a number that no other has. source is what
// Rules.Source said of its address, and who a hash of that, or 0.
func (t *Table) Add(now time.Duration, id int32, source uint16, who uint32) {
	for int(id>>chunkBits) >= len(t.chunks) {
		t.chunks = append(t.chunks, new([chunk]entry))
	}
	t.most = max(t.most, id+1)
	e := t.at(id)
	*e = entry{source: source, last: t.stamp(now), who: who}
	if h, last, ok := t.habits.find(who); ok { // it was here, and its connection was closed meanwhile
		e.habit = h
		t.learn(e, e.last-last)
	}
	t.push(unready, id)
}

// Begun notes that a request's first bytes have come on an idle connection.
func (t *Table) RequestStarted(now time.Duration, id int32) {
	t.drop(id)
	e := t.at(id)
	if e.class > 0 {
		t.learn(e, t.stamp(now)-e.last)
	}
	e.last = t.stamp(now)
	t.push(unready, id)
}

// Again notes that bytes of a next request were there with the answer to the last:
// nothing is learned from that.
func (t *Table) RequestPipelined(now time.Duration, id int32) {
	t.drop(id)
	t.at(id).last = t.stamp(now)
	t.push(unready, id)
}

// Band sorts a connection by the worth of its last request into one of so many
// bands, of which the last is worth most.
func (t *Table) WorthBand(id int32, bands int) int {
	worth, top := t.worth(t.at(id)), slices.Max(append(t.set.ClassWorths, 0))
	band := bands - 1
	for ; band > 0 && worth < top; band-- { // each band holds half the worth of the one above
		top /= 2
	}
	return band
}

// FirstIdle is the idle connection that goes first.
func (t *Table) IdleVictim() (id int32, ok bool) { return t.victim() }

// learn takes one interval in: mean and mean deviation, as TCP's smoothed round
// trip (RFC 6298), with a first guess of the interval itself.
func (t *Table) learn(e *entry, took uint32) {
	took = max(took, 1)
	if e.returns < 255 {
		e.returns++
	}
	if e.interval == 0 {
		e.interval, e.spread = took, 8
		return
	}
	off := float64(took) - float64(e.interval)
	mean := max(1, float64(e.interval)+off/4)
	e.interval = uint32(min(mean, math.MaxUint32/8))
	relative := math.Abs(off) / mean * 16
	e.spread = uint8(min(255, (3*float64(e.spread)+min(relative, 255))/4+0.5))
}

// Busy notes that a whole request of a class has come: until Parked the connection
// is in nobody's way.
func (t *Table) RequestReceived(id int32, class int) {
	t.drop(id)
	t.at(id).class = uint8(min(class, 254) + 1)
}

// Other notes that a whole request of no class has come.
func (t *Table) UnclassifiedReceived(id int32) { t.drop(id) }

// Parked notes that a connection waits for its next request. It returns for how long
// it may, and by how much more where that spreads the ends of many.
func (t *Table) BecameIdle(now time.Duration, id int32) (limit, slack time.Duration) {
	t.drop(id)
	e := t.at(id)
	e.last = t.stamp(now)
	t.push(t.place(e), id)
	if t.set.Policy == LowestValue {
		t.sweep(t.stamp(now))
	}
	return t.rules.Timeout(e.source, int(e.class)-1)
}

// place is the list where an idle connection belongs.
func (t *Table) place(e *entry) int {
	switch t.set.Policy {
	case LowestValue:
		return t.value(e)
	case SegmentedLRU:
		if e.returns > 0 {
			return 1
		}
	}
	return 0
}

// value grades what is lost with a connection: the worth of its next request by the
// time until it comes. Never used is 0.
func (t *Table) value(e *entry) int {
	worth := t.worth(e)
	if worth <= 0 {
		return 0
	}
	wait := unknown
	if e.interval > 0 {
		wait = time.Duration(e.interval) * unit * time.Duration(16+e.spread) / 16
		if e.returns == 1 {
			wait = max(wait, min(4*wait, unknown))
		}
	}
	grade := gradeSteps * math.Log2(worth*float64(gradeDay)/float64(wait))
	return int(min(max(grade, 1), grades-1))
}

// worth is that of the last request.
func (t *Table) worth(e *entry) float64 {
	if e.class == 0 || int(e.class) > len(t.set.ClassWorths) {
		return 0
	}
	return t.set.ClassWorths[e.class-1]
}

// sweep looks at the next few entries, and takes what is long overdue for never used.
func (t *Table) sweep(now uint32) {
	for range handSteps {
		if t.hand++; t.hand >= t.most {
			t.hand = 0
		}
		e := t.at(t.hand)
		if e.list <= 1 || e.list == unready+1 {
			continue
		}
		patience := unknown
		if e.returns > 0 {
			patience = overdue * time.Duration(e.interval) * unit * time.Duration(16+e.spread) / 16
		}
		if time.Duration(now-e.last)*unit > patience {
			t.drop(t.hand)
			e.returns, e.interval = 0, 0 // it is as one that nothing is known of
			t.push(0, t.hand)
		}
	}
}

// From notes another source of a connection: the rules have changed.
func (t *Table) SetSource(id int32, source uint16) { t.at(id).source = source }

// Waits tells since when an idle connection waits, for how long it may by the
// present rules, and the slack, as Parked.
func (t *Table) IdleTimeout(id int32) (since, limit, slack time.Duration) {
	e := t.at(id)
	limit, slack = t.rules.Timeout(e.source, int(e.class)-1)
	return t.time(e.last), limit, slack
}

// Gone forgets a connection, but for its client's habit if it has one.
func (t *Table) Remove(id int32) {
	t.drop(id)
	if e := t.at(id); e.class > 0 {
		t.habits.keep(e.who, e.habit, e.last)
	}
}

// Word is what Victim found.
type VictimStatus uint8

const (
	Found         VictimStatus = iota
	OnlyNewcomers              // only newcomers are left, which have a moment yet
	AllBusy                    // each has a request open
)

// Victim says which connection goes first: one that never sent a whole request, but
// not one that has just come, and else the idle one that comes first by the policy.
// It stays in the table until Gone.
func (t *Table) Victim(now time.Duration) (id int32, w VictimStatus) {
	if first := t.heads[unready].next; first >= 0 && now-t.time(t.at(first).last) >= t.set.NewcomerGrace {
		return first, Found
	}
	if id, ok := t.victim(); ok {
		return id, Found
	}
	if t.fresh > 0 {
		return 0, OnlyNewcomers
	}
	return 0, AllBusy
}

// victim is the idle connection that goes first: of the least value, and of these the
// one that has idled longest, or for the shortest where habits are regular.
func (t *Table) victim() (id int32, ok bool) {
	for t.marks != 0 {
		list := bits.TrailingZeros64(t.marks)
		h := &t.heads[list]
		if h.next < 0 {
			t.marks &^= 1 << list
			continue
		}
		if last := t.at(h.prev); t.set.Policy == LowestValue && list > 0 && last.returns > 1 && last.spread < regular {
			return h.prev, true
		}
		return h.next, true
	}
	return 0, false
}
