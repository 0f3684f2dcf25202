package timerwheel

import (
	"fmt"
	"math/bits"
	"time"
)

// The wheel has levels of 256 buckets. A bucket of level n spans 4^n ticks. A timer is put
// into the finest level that covers its due time and is never moved to a finer level later.
// The cost is that long timers fire late, by up to MaxLateness.
const (
	levelCount      = 11
	bucketBits      = 8
	bucketsPerLevel = 1 << bucketBits
	levelShift      = 2 // the bucket span grows by this many bits from level to level
	chunkBits       = 10
	chunkSize       = 1 << chunkBits
	dueHead         = levelCount * bucketsPerLevel // list of timers that are due and not yet returned by Advance
	headCount       = dueHead + 1
)

// maxTicks is the longest possible timer in ticks. Longer ones are shortened to it.
const maxTicks = (bucketsPerLevel - 2) << (levelShift * (levelCount - 1))

// listNode is a link of a circular list, of a timer or of a list's head. The fields hold an
// index plus 1; next is 0 in a timer that is not armed.
type listNode struct{ next, prev int32 }

// Wheel is a set of timers. Create one with New.
type Wheel struct {
	tick        time.Duration
	currentTick uint64 // number of ticks that have passed
	armed       int
	heads       [headCount]listNode
	occupied    [levelCount][bucketsPerLevel / 64]uint64 // buckets that may hold timers
	chunks      []*[chunkSize]listNode
	latestTime  time.Duration // latest time passed to New or Advance
}

// New returns an empty wheel. tick is the finest resolution of the timers, and now the
// current time on the clock that the caller uses in all further calls.
func New(tick, now time.Duration) *Wheel {
	if tick <= 0 {
		panic(fmt.Sprintf("timerwheel: tick is %v, must be positive", tick))
	}
	w := &Wheel{tick: tick, currentTick: uint64(max(0, now) / tick), latestTime: now}
	for i := range w.heads {
		w.heads[i] = listNode{int32(i) + 1, int32(i) + 1}
	}
	return w
}

// MaxLateness returns the most by which a timer of this length may be late, provided that
// Advance is called in time and is not limited: about a tick for short timers, and about
// 1/63 of the length for long ones.
func (w *Wheel) MaxLateness(length time.Duration) time.Duration {
	ticks, bucketSpan := uint64(max(0, length)/w.tick)+1, uint64(1)
	for maxReach := uint64(bucketsPerLevel - 2); ticks > maxReach && maxReach < maxTicks; maxReach <<= levelShift {
		bucketSpan <<= levelShift
	}
	return time.Duration(bucketSpan+1) * w.tick
}

// Len returns the number of armed timers.
func (w *Wheel) Len() int { return w.armed }

// Bytes returns the memory that the wheel occupies: eight bytes for each timer number, and
// its lists.
func (w *Wheel) Bytes() int {
	return len(w.chunks)*chunkSize*8 + headCount*8 + levelCount*bucketsPerLevel/8
}

// nodeAt returns a node by its index: list heads come first, then timers.
func (w *Wheel) nodeAt(i int32) *listNode {
	if i < headCount {
		return &w.heads[i]
	}
	i -= headCount
	return &w.chunks[i>>chunkBits][i&(chunkSize-1)]
}

// Arm sets a timer to a point in time. It is never due earlier. A timer that is already
// armed is reset.
func (w *Wheel) Arm(id int32, at time.Duration) {
	if id < 0 {
		panic(fmt.Sprintf("timerwheel: timer number is %d, must not be negative", id))
	}
	w.Cancel(id)
	due := uint64((max(0, at) + w.tick - 1) / w.tick)
	due = min(max(due, w.currentTick+1), w.currentTick+maxTicks)
	for level := 0; ; level++ {
		shift := levelShift * level
		bucket := (due + 1<<shift - 1) >> shift
		if bucket-w.currentTick>>shift < bucketsPerLevel {
			index := bucket & (bucketsPerLevel - 1)
			w.occupied[level][index/64] |= 1 << (index % 64)
			w.pushBack(int32(level*bucketsPerLevel)+int32(index), id)
			return
		}
	}
}

// ArmSpread sets a timer to a point between at and at+slack. The point depends on the timer
// number, so that thousands of timers armed at the same time are not all due together.
func (w *Wheel) ArmSpread(id int32, at, slack time.Duration) {
	if slack > 0 {
		// Fibonacci hashing spreads consecutive numbers far apart (Knuth, vol. 3, 6.4).
		delay, _ := bits.Mul64(uint64(slack), uint64(uint32(id)*2654435769)<<32)
		at += time.Duration(delay)
	}
	w.Arm(id, at)
}

// pushBack appends a timer to a list.
func (w *Wheel) pushBack(head, id int32) {
	for int(id>>chunkBits) >= len(w.chunks) {
		w.chunks = append(w.chunks, new([chunkSize]listNode))
	}
	index := id + headCount
	list := w.nodeAt(head)
	*w.nodeAt(index) = listNode{head + 1, list.prev}
	w.nodeAt(list.prev - 1).next = index + 1
	list.prev = index + 1
	w.armed++
}

// Armed reports whether a timer is armed, or due and not yet returned by Advance.
func (w *Wheel) Armed(id int32) bool {
	return int(id>>chunkBits) < len(w.chunks) && w.nodeAt(id+headCount).next != 0
}

// Cancel disarms a timer and reports whether it was armed. A timer that is due and not yet
// returned by Advance is cancelled as well.
func (w *Wheel) Cancel(id int32) bool {
	if !w.Armed(id) {
		return false
	}
	n := w.nodeAt(id + headCount)
	w.nodeAt(n.prev - 1).next = n.next
	w.nodeAt(n.next - 1).prev = n.prev
	*n = listNode{}
	w.armed--
	return true
}

// nextBucket returns the tick at which the first bucket that may hold timers is due.
func (w *Wheel) nextBucket() (due uint64, found bool) {
	for level := range w.occupied {
		shift := levelShift * level
		first := w.currentTick>>shift + 1
		for step := uint64(0); step < bucketsPerLevel; {
			index := (first + step) & (bucketsPerLevel - 1)
			word := w.occupied[level][index/64] >> (index % 64)
			if word == 0 {
				step += 64 - index%64
				continue
			}
			step += uint64(bits.TrailingZeros64(word))
			if at := (first + step) << shift; step < bucketsPerLevel && (!found || at < due) {
				due, found = at, true
			}
			break
		}
	}
	return due, found
}

// Next returns the time at which Advance must be called next, or false if it has nothing to do.
// It may be earlier than the time of the first due timer, but never later.
func (w *Wheel) Next() (time.Duration, bool) {
	if w.heads[dueHead].next != dueHead+1 {
		return w.latestTime, true
	}
	due, found := w.nextBucket()
	return time.Duration(due) * w.tick, found
}

// Advance moves the wheel to a point in time, appends up to limit due timers to the slice and
// disarms them. Due timers beyond the limit come first in the next call, ordered by the time
// at which they were due. If now is before the latest time passed, only such remaining timers
// are returned.
func (w *Wheel) Advance(now time.Duration, limit int, due []int32) []int32 {
	w.latestTime = max(w.latestTime, now)
	target := uint64(w.latestTime / w.tick)
	for w.currentTick < target {
		bucketTick, found := w.nextBucket()
		if !found || bucketTick > target {
			w.currentTick = target
			break
		}
		w.currentTick = bucketTick
		for level := range w.occupied {
			shift := levelShift * level
			if bucketTick&(1<<shift-1) != 0 {
				break
			}
			index := (bucketTick >> shift) & (bucketsPerLevel - 1)
			w.occupied[level][index/64] &^= 1 << (index % 64)
			w.moveToDue(int32(level*bucketsPerLevel) + int32(index))
		}
	}
	head := &w.heads[dueHead]
	for ; limit > 0 && head.next != dueHead+1; limit-- {
		id := head.next - 1 - headCount
		w.Cancel(id)
		due = append(due, id)
	}
	return due
}

// moveToDue moves all timers of a list to the end of the list of due timers.
func (w *Wheel) moveToDue(head int32) {
	from, to := &w.heads[head], &w.heads[dueHead]
	if from.next == head+1 {
		return
	}
	w.nodeAt(to.prev - 1).next = from.next
	w.nodeAt(from.next - 1).prev = to.prev
	w.nodeAt(from.prev - 1).next = dueHead + 1
	to.prev = from.prev
	*from = listNode{head + 1, head + 1}
}
