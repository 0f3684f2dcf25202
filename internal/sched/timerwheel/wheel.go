package timerwheel

import (
	"fmt"
	"math/bits"
	"time"
)

// The wheel has levels of 256 buckets. A bucket of level n spans 4^n ticks, and a
// timer stands in the finest level that reaches as far as it: no timer is moved
// from level to level later on. What that costs is lateness, told by Lateness.
const (
	levelCount      = 11
	bucketBits  = 8
	bucketsPerLevel     = 1 << bucketBits
	levelShift  = 2 // each level is this many bits coarser
	chunkBits   = 10
	chunkSize       = 1 << chunkBits
	dueHead = levelCount * bucketsPerLevel // list of what is due and not yet handed out
	headCount       = dueHead + 1
)

// mostTicks is how far ahead a timer may lie; what lies beyond is due then.
const maxTicks = (bucketsPerLevel - 2) << (levelShift * (levelCount - 1))

// node is a place in a ring: a timer's, or a list's head. next is 0 in a timer that
// is not armed, else one more than the index.
type listNode struct{ next, prev int32 }

// Wheel is a set of timers. Make one with New.
type Wheel struct {
	tick   time.Duration
	currentTick uint64 // ticks that have passed
	armed  int
	heads  [headCount]listNode
	occupied  [levelCount][bucketsPerLevel / 64]uint64 // buckets that may hold timers
	chunks []*[chunkSize]listNode
	latestTime  time.Duration // the latest time that was told
}

// New makes an empty wheel. Timers are due to one tick at the finest; now is any
// time from which the others count.
func New(tick, now time.Duration) *Wheel {
	if tick <= 0 {
		panic(fmt.Sprintf("wheel: a tick of %v", tick))
	}
	w := &Wheel{tick: tick, currentTick: uint64(max(0, now) / tick), latestTime: now}
	for i := range w.heads {
		w.heads[i] = listNode{int32(i) + 1, int32(i) + 1}
	}
	return w
}

// Lateness is the most by which a timer of this length is told later than asked,
// where Advance is called in time and is not cut short: a tick for the short ones,
// a sixty-third part for the long.
func (w *Wheel) MaxLateness(length time.Duration) time.Duration {
	ticks, grain := uint64(max(0, length)/w.tick)+1, uint64(1)
	for reach := uint64(bucketsPerLevel - 2); ticks > reach && reach < maxTicks; reach <<= levelShift {
		grain <<= levelShift
	}
	return time.Duration(grain+1) * w.tick
}

// Len is how many timers are armed.
func (w *Wheel) Len() int { return w.armed }

// Bytes is what the wheel takes: eight a timer's number, and its lists.
func (w *Wheel) Bytes() int {
	return len(w.chunks)*chunkSize*8 + headCount*8 + levelCount*bucketsPerLevel/8
}

// at returns a place by its number: heads first, then timers.
func (w *Wheel) nodeAt(i int32) *listNode {
	if i < headCount {
		return &w.heads[i]
	}
	i -= headCount
	return &w.chunks[i>>chunkBits][i&(chunkSize-1)]
}

// Arm sets a timer, which is due at a point in time and not before; one that is
// armed already is set anew.
func (w *Wheel) Arm(id int32, at time.Duration) {
	if id < 0 {
		panic(fmt.Sprintf("wheel: timer %d", id))
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

// Spread arms a timer between a point in time and one later by slack: which, goes
// by the timer's number, so that thousands armed in one instant are not due in one.
func (w *Wheel) ArmSpread(id int32, at, slack time.Duration) {
	if slack > 0 {
		// Fibonacci hashing: neighbours land far apart (Knuth, vol. 3, 6.4).
		part, _ := bits.Mul64(uint64(slack), uint64(uint32(id)*2654435769)<<32)
		at += time.Duration(part)
	}
	w.Arm(id, at)
}

// push puts a timer at a list's end.
func (w *Wheel) pushBack(head, id int32) {
	for int(id>>chunkBits) >= len(w.chunks) {
		w.chunks = append(w.chunks, new([chunkSize]listNode))
	}
	i := id + headCount
	h := w.nodeAt(head)
	*w.nodeAt(i) = listNode{head + 1, h.prev}
	w.nodeAt(h.prev - 1).next = i + 1
	h.prev = i + 1
	w.armed++
}

// Armed tells whether a timer is armed, or due and not yet handed out.
func (w *Wheel) Armed(id int32) bool {
	return int(id>>chunkBits) < len(w.chunks) && w.nodeAt(id+headCount).next != 0
}

// Cancel ends a timer, and tells whether it was armed. A timer that is due and not
// yet handed out is cancelled too.
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

// next is the first bucket that may hold timers, by the tick at which it is due.
func (w *Wheel) nextBucket() (due uint64, found bool) {
	for level := range w.occupied {
		shift := levelShift * level
		from := w.currentTick>>shift + 1
		for step := uint64(0); step < bucketsPerLevel; {
			index := (from + step) & (bucketsPerLevel - 1)
			word := w.occupied[level][index/64] >> (index % 64)
			if word == 0 {
				step += 64 - index%64
				continue
			}
			step += uint64(bits.TrailingZeros64(word))
			if at := (from + step) << shift; step < bucketsPerLevel && (!found || at < due) {
				due, found = at, true
			}
			break
		}
	}
	return due, found
}

// Next is when Advance has something to do, and false if never. It may be earlier
// than the first timer's time, never later.
func (w *Wheel) Next() (time.Duration, bool) {
	if w.heads[dueHead].next != dueHead+1 {
		return w.latestTime, true
	}
	due, found := w.nextBucket()
	return time.Duration(due) * w.tick, found
}

// Advance moves the wheel to a point in time and appends the timers that are due,
// at the most so many; they are armed no longer. What is left over comes first in
// the next call, in the order of the time at which it was due. A time before the
// last one told does nothing but hand out what was left over.
func (w *Wheel) Advance(now time.Duration, most int, due []int32) []int32 {
	w.latestTime = max(w.latestTime, now)
	target := uint64(w.latestTime / w.tick)
	for w.currentTick < target {
		at, found := w.nextBucket()
		if !found || at > target {
			w.currentTick = target
			break
		}
		w.currentTick = at
		for level := range w.occupied {
			shift := levelShift * level
			if at&(1<<shift-1) != 0 {
				break
			}
			index := (at >> shift) & (bucketsPerLevel - 1)
			w.occupied[level][index/64] &^= 1 << (index % 64)
			w.moveToDue(int32(level*bucketsPerLevel) + int32(index))
		}
	}
	head := &w.heads[dueHead]
	for ; most > 0 && head.next != dueHead+1; most-- {
		id := head.next - 1 - headCount
		w.Cancel(id)
		due = append(due, id)
	}
	return due
}

// splice moves a whole list to the end of what is due.
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
