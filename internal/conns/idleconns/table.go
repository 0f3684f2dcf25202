package idleconns

import (
	"cmp"
	"math"
	"math/bits"
	"time"
)

// Policy selects the order in which idle connections are closed.
type Policy uint8

const (
	// LRU closes the least recently used connections first.
	LRU Policy = iota
	// SegmentedLRU closes connections that were never reused before those that were. It
	// exists for comparison only.
	SegmentedLRU
	// LowestValue closes the connection with the lowest ratio of the worth of its next
	// request to the expected time until it arrives. Among equal connections with regular
	// intervals it closes the one used most recently, because its next request is the
	// furthest in the future (Belady 1966).
	LowestValue
)

const (
	gradeCount       = 64             // value grades, each with a list of idle connections; 0: no worth, or overdue
	silentList       = gradeCount     // list of connections that have sent nothing of their next request
	partialList      = gradeCount + 1 // list of connections that have sent a part of a request
	listCount        = gradeCount + 2
	timeUnit         = 10 * time.Millisecond
	sweepSteps       = 2 // entries checked for being overdue whenever a connection becomes idle
	overdueIntervals = 4 // intervals without a request after which a connection counts as never reused
	chunkBits        = 10
	chunkSize        = 1 << chunkBits
	noList           = 0 // value of entry.list for an entry in no list; otherwise it is the list number plus 1

	// unknownWait is the expected time until the next request of a connection with an unknown
	// return pattern. It is long compared with typical known intervals.
	unknownWait = 10 * time.Minute
	// Value grades are logarithmic, starting at a worth of 1 in one gradePeriod.
	gradePeriod       = 24 * time.Hour
	gradesPerDoubling = 3
	// Intervals with a deviation below this, in sixteenths of the mean, count as regular.
	regularDeviation = 6
)

// entry is the state of one connection.
type entry struct {
	next, prev int32
	changedAt  uint32 // when the connection last changed state, in time units
	clientHash uint32 // hash of the client's address; 0: none
	returnPattern
	list   uint8
	source uint16
}

// entrySize is the size of an entry in bytes.
const entrySize = 28

// returnPattern describes how a client returns to an idle connection.
type returnPattern struct {
	interval  uint32 // smoothed time from an answer to the next request, in time units; 0: unknown
	returns   uint8  // number of returns, saturating
	deviation uint8  // mean deviation of the intervals, in sixteenths of the mean
	class     uint8  // class of the last request plus 1; 0: no request yet
}

// Settings configure a table for its lifetime.
type Settings struct {
	Policy            Policy
	ClassWorths       []float64     // by class number
	NewcomerGrace     time.Duration // time that a new connection has for its first request before it may be closed
	PartialGrace      time.Duration // the same from the first part of a request on, if no idle connection can be closed instead
	RememberedClients int           // clients whose return patterns are kept after their connections close; 0: none
}

// Table tracks the state of all client connections. Create one with New.
type Table struct {
	settings      Settings
	rules         *Rules
	base          time.Duration // time 0 of the times in entries
	heads         []entry
	nonEmptyLists uint64 // bit i: list i may hold connections
	clients       clientCache
	chunks        []*[chunkSize]entry
	sweepID       int32 // connection number that demoteOverdue checked last
	idLimit       int32 // all connection numbers are below this
	idle          int
	incomplete    int
}

// New returns an empty table whose internal times count from now. With nil rules,
// DefaultTimeout applies to all connections.
func New(settings Settings, rules *Rules, now time.Duration) *Table {
	t := &Table{settings: settings, rules: rules, base: now, heads: make([]entry, listCount), clients: newClientCache(settings.RememberedClients)}
	for i := range t.heads {
		t.heads[i].next, t.heads[i].prev = int32(-i-1), int32(-i-1)
	}
	return t
}

// SetRules replaces the rules for connections that become idle from now on.
func (t *Table) SetRules(rules *Rules) { t.rules = rules }

// Idle returns the number of connections that wait for their next request.
func (t *Table) Idle() int { return t.idle }

// Incomplete returns the number of connections that have not completed a request since
// they were opened or since its first bytes arrived.
func (t *Table) Incomplete() int { return t.incomplete }

// Bytes returns the memory that the table occupies.
func (t *Table) Bytes() int {
	return len(t.chunks)*chunkSize*entrySize + listCount*entrySize + t.clients.bytes()
}

// entryAt returns a connection's entry or, for a negative number, the head of a list.
func (t *Table) entryAt(i int32) *entry {
	if i < 0 {
		return &t.heads[-i-1]
	}
	return &t.chunks[i>>chunkBits][i&(chunkSize-1)]
}

// toUnits converts a time to the form stored in entries, which covers 497 days.
func (t *Table) toUnits(now time.Duration) uint32 { return uint32(max(0, now-t.base) / timeUnit) }

// fromUnits converts a time stored in an entry back to a duration.
func (t *Table) fromUnits(units uint32) time.Duration { return t.base + time.Duration(units)*timeUnit }

// pushBack appends a connection to a list.
func (t *Table) pushBack(list int, id int32) {
	e, head := t.entryAt(id), &t.heads[list]
	e.list = uint8(list + 1)
	e.next, e.prev = int32(-list-1), head.prev
	t.entryAt(head.prev).next, head.prev = id, id
	if list >= silentList {
		t.incomplete++
	} else {
		t.idle++
		t.nonEmptyLists |= 1 << list
	}
}

// unlink removes a connection from its list, if it is in one.
func (t *Table) unlink(id int32) {
	e := t.entryAt(id)
	switch {
	case e.list == noList:
		return
	case e.list > silentList:
		t.incomplete--
	default:
		t.idle--
	}
	t.entryAt(e.prev).next, t.entryAt(e.next).prev = e.next, e.prev
	e.list = noList
}

// Add adds a new connection under a number that no other connection uses. source is the
// result of Rules.Source for the client's address, and clientHash a hash of the address, or
// 0 if there is none.
func (t *Table) Add(now time.Duration, id int32, source uint16, clientHash uint32) {
	for int(id>>chunkBits) >= len(t.chunks) {
		t.chunks = append(t.chunks, new([chunkSize]entry))
	}
	t.idLimit = max(t.idLimit, id+1)
	e := t.entryAt(id)
	*e = entry{source: source, changedAt: t.toUnits(now), clientHash: clientHash}
	if pattern, lastActive, ok := t.clients.take(clientHash); ok { // a known client has reconnected
		e.returnPattern = pattern
		t.recordInterval(e, e.changedAt-lastActive)
	}
	t.pushBack(silentList, id)
}

// RequestStarted records that the first bytes of a request arrived on an idle connection.
func (t *Table) RequestStarted(now time.Duration, id int32) {
	t.unlink(id)
	e := t.entryAt(id)
	if e.class > 0 {
		t.recordInterval(e, t.toUnits(now)-e.changedAt)
	}
	e.changedAt = t.toUnits(now)
	t.pushBack(silentList, id)
}

// PartReceived records that a part of a request was read, for the first time since the connection
// was opened or became idle.
func (t *Table) PartReceived(now time.Duration, id int32) {
	t.unlink(id)
	t.entryAt(id).changedAt = t.toUnits(now)
	t.pushBack(partialList, id)
}

// RequestPipelined records that bytes of the next request had arrived before the last one
// was answered. The interval is not recorded in the return pattern.
func (t *Table) RequestPipelined(now time.Duration, id int32) {
	t.unlink(id)
	t.entryAt(id).changedAt = t.toUnits(now)
	t.pushBack(silentList, id)
}

// WorthBand assigns a connection to one of a number of bands by the worth of its last
// request. The highest band has the highest worth.
func (t *Table) WorthBand(id int32, bands int) int {
	worth, top := t.worth(t.entryAt(id)), 0.0
	for _, w := range t.settings.ClassWorths {
		top = max(top, w)
	}
	band := bands - 1
	for ; band > 0 && worth < top; band-- { // each band starts at half the worth of the band above
		top /= 2
	}
	return band
}

// IdleVictim returns the idle connection to close first.
func (t *Table) IdleVictim() (id int32, ok bool) { return t.selectIdle() }

// recordInterval updates the smoothed mean and mean deviation of the intervals, as TCP does
// for round-trip times (RFC 6298). The first interval becomes the initial mean.
func (t *Table) recordInterval(e *entry, interval uint32) {
	interval = max(interval, 1)
	if e.returns < 255 {
		e.returns++
	}
	if e.interval == 0 {
		e.interval, e.deviation = interval, 8
		return
	}
	difference := float64(interval) - float64(e.interval)
	mean := max(1, float64(e.interval)+difference/4)
	e.interval = uint32(min(mean, math.MaxUint32/8))
	relative := math.Abs(difference) / mean * 16
	e.deviation = uint8(min(255, (3*float64(e.deviation)+min(relative, 255))/4+0.5))
}

// RequestReceived records that a complete request of a class has arrived. The connection
// can't be chosen as a victim until BecameIdle.
func (t *Table) RequestReceived(id int32, class int) {
	t.unlink(id)
	t.entryAt(id).class = uint8(min(class, 254) + 1)
}

// UnclassifiedReceived records that a complete request without a class has arrived.
func (t *Table) UnclassifiedReceived(id int32) { t.unlink(id) }

// BecameIdle records that a connection waits for its next request. It returns how long it
// may wait, and the slack over which the expiry of many such connections is spread.
func (t *Table) BecameIdle(now time.Duration, id int32) (limit, slack time.Duration) {
	t.unlink(id)
	e := t.entryAt(id)
	e.changedAt = t.toUnits(now)
	t.pushBack(t.idleList(e), id)
	if t.settings.Policy == LowestValue {
		t.demoteOverdue(t.toUnits(now))
	}
	return t.rules.Timeout(e.source, int(e.class)-1)
}

// idleList returns the list in which an idle connection belongs.
func (t *Table) idleList(e *entry) int {
	switch t.settings.Policy {
	case LowestValue:
		return t.valueGrade(e)
	case SegmentedLRU:
		if e.returns > 0 {
			return 1
		}
	}
	return 0
}

// valueGrade grades the loss from closing a connection: the worth of its next request
// divided by the expected time until it arrives. A connection that has received no request,
// or whose last one has no worth, has grade 0.
func (t *Table) valueGrade(e *entry) int {
	worth := t.worth(e)
	if worth <= 0 {
		return 0
	}
	wait := unknownWait
	if e.interval > 0 {
		wait = time.Duration(e.interval) * timeUnit * time.Duration(16+e.deviation) / 16
		if e.returns == 1 {
			wait = max(wait, min(4*wait, unknownWait))
		}
	}
	grade := gradesPerDoubling * math.Log2(worth*float64(gradePeriod)/float64(wait))
	return int(min(max(grade, 1), gradeCount-1))
}

// worth returns the worth of a connection's last request.
func (t *Table) worth(e *entry) float64 {
	if e.class == 0 || int(e.class) > len(t.settings.ClassWorths) {
		return 0
	}
	return t.settings.ClassWorths[e.class-1]
}

// demoteOverdue checks the next few entries and treats connections whose next request is
// long overdue as never reused.
func (t *Table) demoteOverdue(now uint32) {
	for range sweepSteps {
		if t.sweepID++; t.sweepID >= t.idLimit {
			t.sweepID = 0
		}
		e := t.entryAt(t.sweepID)
		if e.list <= 1 || e.list > silentList {
			continue
		}
		maxWait := unknownWait
		if e.returns > 0 {
			maxWait = overdueIntervals * time.Duration(e.interval) * timeUnit * time.Duration(16+e.deviation) / 16
		}
		if time.Duration(now-e.changedAt)*timeUnit > maxWait {
			t.unlink(t.sweepID)
			e.returns, e.interval = 0, 0 // the return pattern counts as unknown again
			t.pushBack(0, t.sweepID)
		}
	}
}

// SetSource updates a connection's source number after the rules have changed.
func (t *Table) SetSource(id int32, source uint16) { t.entryAt(id).source = source }

// IdleTimeout returns since when an idle connection has been waiting and, under the current
// rules, its timeout and slack, as BecameIdle does.
func (t *Table) IdleTimeout(id int32) (since, limit, slack time.Duration) {
	e := t.entryAt(id)
	limit, slack = t.rules.Timeout(e.source, int(e.class)-1)
	return t.fromUnits(e.changedAt), limit, slack
}

// Remove deletes a connection. If it has received a request, its client's return pattern
// is kept.
func (t *Table) Remove(id int32) {
	t.unlink(id)
	if e := t.entryAt(id); e.class > 0 {
		t.clients.store(e.clientHash, e.returnPattern, e.changedAt)
	}
}

// VictimStatus is the result of Victim.
type VictimStatus uint8

const (
	Found         VictimStatus = iota // a connection may be closed
	OnlyNewcomers                     // only new connections within their grace period could be closed
	AllBusy                           // every connection has an open request
)

// Victim chooses the connection to close first: one without a complete request whose grace
// period is over, otherwise the first idle connection in the order of the policy, and
// without idle ones the oldest with a part of a request. It stays in the table until Remove.
func (t *Table) Victim(now time.Duration) (id int32, status VictimStatus) {
	for _, list := range [...]int{partialList, silentList} {
		if id, ok := t.oldest(list, now, t.settings.NewcomerGrace); ok {
			return id, Found
		}
	}
	if id, ok := t.selectIdle(); ok {
		return id, Found
	}
	if id, ok := t.oldest(partialList, now, cmp.Or(t.settings.PartialGrace, t.settings.NewcomerGrace)); ok {
		return id, Found
	}
	if t.incomplete > 0 {
		return 0, OnlyNewcomers
	}
	return 0, AllBusy
}

// oldest returns the connection that has been in a list for longest, if its grace period is over.
func (t *Table) oldest(list int, now, grace time.Duration) (id int32, ok bool) {
	first := t.heads[list].next
	return first, first >= 0 && now-t.fromUnits(t.entryAt(first).changedAt) >= grace
}

// selectIdle returns the idle connection to close first. Of those with the lowest value,
// it is the one that has been idle longest or, if intervals are regular, shortest.
func (t *Table) selectIdle() (id int32, ok bool) {
	for t.nonEmptyLists != 0 {
		list := bits.TrailingZeros64(t.nonEmptyLists)
		head := &t.heads[list]
		if head.next < 0 {
			t.nonEmptyLists &^= 1 << list
			continue
		}
		if last := t.entryAt(head.prev); t.settings.Policy == LowestValue && list > 0 && last.returns > 1 && last.deviation < regularDeviation {
			return head.prev, true
		}
		return head.next, true
	}
	return 0, false
}
