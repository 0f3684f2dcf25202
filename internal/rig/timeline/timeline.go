// Package timeline is the queue of what happens in virtual time: by time, and what happens at one moment in
// the order in which it was planned. All rigs in virtual time go by it. It must not know what happens.
package timeline

import "time"

// Events are planned events, as a heap of fanOut children a node: it is flatter than a binary one, and what moves up or down
// leaves a gap that is filled once. The zero value is empty.
type Events struct {
	queue []event
	order uint64
}

const fanOut = 4

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// before tells whether an event comes before another.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// At plans something.
func (e *Events) At(at time.Duration, do func()) {
	e.order++
	planned := event{at, e.order, do}
	e.queue = append(e.queue, planned)
	gap := len(e.queue) - 1
	for gap > 0 {
		parent := (gap - 1) / fanOut
		if !planned.before(&e.queue[parent]) {
			break
		}
		e.queue[gap] = e.queue[parent]
		gap = parent
	}
	e.queue[gap] = planned
}

// Next is the time of the next event; false if there is none.
func (e *Events) Next() (time.Duration, bool) {
	if len(e.queue) == 0 {
		return 0, false
	}
	return e.queue[0].at, true
}

// Pop takes the next event out. There must be one.
func (e *Events) Pop() (at time.Duration, do func()) {
	first := e.queue[0]
	last := len(e.queue) - 1
	moved := e.queue[last]
	e.queue[last] = event{}
	e.queue = e.queue[:last]
	if last > 0 {
		e.siftDown(moved)
	}
	return first.at, first.do
}

// sink puts an event in the place of the first.
func (e *Events) siftDown(moved event) {
	queue, gap := e.queue, 0
	for {
		child := gap*fanOut + 1
		if child >= len(queue) {
			break
		}
		least := child
		for other := child + 1; other < min(child+fanOut, len(queue)); other++ {
			if queue[other].before(&queue[least]) {
				least = other
			}
		}
		if !queue[least].before(&moved) {
			break
		}
		queue[gap] = queue[least]
		gap = least
	}
	queue[gap] = moved
}

// Run does what is planned up to a time, and sets the clock to each event's, and at last to that time.
func (e *Events) Run(until time.Duration, clock *time.Duration) {
	for at, ok := e.Next(); ok && at <= until; at, ok = e.Next() {
		now, do := e.Pop()
		*clock = now
		do()
	}
	*clock = until
}
