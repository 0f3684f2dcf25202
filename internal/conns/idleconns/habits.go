package idleconns

import "math/bits"

// habits remembers how clients come back whose connections were closed: a
// controller that comes every minute is known when it does, also where there is no
// room to let it stay once. It has a fixed number of places, two for each hash.
type habits struct {
	places []remembered
	shift  int
}

type remembered struct {
	who  uint32 // 0: free
	last uint32 // when it was answered, in units
	habit
}

const rememberedBytes = 16

// newHabits makes room for so many clients, or a few more.
func newHabits(n int) habits {
	if n <= 0 {
		return habits{}
	}
	width := max(1, bits.Len(uint(n-1)))
	return habits{places: make([]remembered, 1<<width), shift: 32 - width}
}

func (h *habits) bytes() int { return len(h.places) * rememberedBytes }

// pair is where a client may stand.
func (h *habits) pair(who uint32) (*remembered, *remembered) {
	at := who * 2654435769 >> h.shift
	return &h.places[at], &h.places[at^1]
}

// find returns what is remembered of a client, and takes it out.
func (h *habits) find(who uint32) (_ habit, last uint32, ok bool) {
	if who == 0 || len(h.places) == 0 {
		return habit{}, 0, false
	}
	for a, b := h.pair(who); a != nil; a, b = b, nil {
		if a.who == who {
			r := *a
			a.who = 0
			return r.habit, r.last, true
		}
	}
	return habit{}, 0, false
}

// keep remembers a client. Where both its places are taken, it gets one only from a
// client that has come back less often, or that is overdue: a flood of clients that
// come once can't push out those that come back.
func (h *habits) keep(who uint32, x habit, last uint32) {
	if who == 0 || len(h.places) == 0 {
		return
	}
	var worst *remembered
	for a, b := h.pair(who); a != nil; a, b = b, nil {
		if a.who == 0 || a.who == who {
			worst = a
			break
		}
		if worst == nil || a.returns < worst.returns {
			worst = a
		}
	}
	away := last - worst.last // since it was answered last; by the clock of the one that leaves now
	if worst.who == 0 || worst.who == who || worst.returns <= x.returns || worst.interval > 0 && away > overdue*2*worst.interval {
		*worst = remembered{who, last, x}
	}
}
