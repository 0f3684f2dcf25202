// Package timeline is the event queue of the simulations in virtual time. Events run in order of their time; events
// of the same time run in the order in which they were scheduled. The package must not depend on what events do.
package timeline

import "time"

// Events is a priority queue of scheduled events, kept as a heap with fanOut children per node. It is flatter than
// a binary heap, and an event that moves up or down is written only once, to its final position. The zero value is
// empty.
type Events struct {
	queue []event
	order uint64
}

// fanOut is the number of children of a heap node.
const fanOut = 4

// event is a scheduled event. Its order is the number of events scheduled so far, and breaks ties of time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// before reports whether an event runs before another.
func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// At schedules an event.
func (e *Events) At(at time.Duration, do func()) {
	e.order++
	added := event{at, e.order, do}
	e.queue = append(e.queue, added)
	gap := len(e.queue) - 1
	for gap > 0 {
		parent := (gap - 1) / fanOut
		if !added.before(&e.queue[parent]) {
			break
		}
		e.queue[gap] = e.queue[parent]
		gap = parent
	}
	e.queue[gap] = added
}

// Next returns the time of the next event; false if there is none.
func (e *Events) Next() (time.Duration, bool) {
	if len(e.queue) == 0 {
		return 0, false
	}
	return e.queue[0].at, true
}

// Pop removes and returns the next event. The queue must not be empty.
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

// siftDown replaces the first event by another, and restores the heap order.
func (e *Events) siftDown(moved event) {
	queue, gap := e.queue, 0
	for {
		child := gap*fanOut + 1
		if child >= len(queue) {
			break
		}
		first := child
		for other := child + 1; other < min(child+fanOut, len(queue)); other++ {
			if queue[other].before(&queue[first]) {
				first = other
			}
		}
		if !queue[first].before(&moved) {
			break
		}
		queue[gap] = queue[first]
		gap = first
	}
	queue[gap] = moved
}

// Run runs all events up to a time. It sets the clock to the time of each event, and to the given time at the end.
func (e *Events) Run(until time.Duration, clock *time.Duration) {
	for at, ok := e.Next(); ok && at <= until; at, ok = e.Next() {
		now, do := e.Pop()
		*clock = now
		do()
	}
	*clock = until
}
