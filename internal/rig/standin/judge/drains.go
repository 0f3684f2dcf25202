package judge

import "time"

// notification is a state of a box as a node was notified of it.
type notification struct {
	at       time.Duration
	state    State
	version  int  // of the list; a newer one goes before an older, whenever each was told
	presumed bool // it counts as told, whether or not it was
}

// Told says that discovery has written a box's state to a node.
func (j *Judge) StateWritten(at time.Duration, node, box string, s State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	boxes := j.notificationsOf(node)
	if all := boxes[box]; len(all) == 0 || all[len(all)-1].state != s {
		boxes[box] = append(all, notification{at: at, state: s})
	}
}

// notificationsOf are those of a node, by box; j.mu is held.
func (j *Judge) notificationsOf(node string) map[string][]notification {
	boxes := j.notifications[node]
	if boxes == nil {
		boxes = map[string][]notification{}
		j.notifications[node] = boxes
	}
	return boxes
}

// Known says that a box's state counts as told to a node from a time on, as of a version of the list: it has been written
// then, or, if due, discovery has had it and could be reached for as long as a node may take to ask.
func (j *Judge) StateDelivered(at time.Duration, node, box string, s State, version int, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	boxes := j.notificationsOf(node)
	boxes[box] = append(boxes[box], notification{at, s, version, due})
}

// startGrace is how long after its start what fell due before does not count as told to a process that takes a dead one's
// place: it has to ask first, and knows neither how old its list is nor which boxes still take work.
const restartGrace = 2 * time.Second

// began tells when the process that a node runs at a time took the place of a dead one, and false if none has died.
func (c *requestCheck) processStart(at time.Duration) (began time.Duration, ok bool) {
	for _, times := range [...][]time.Duration{c.kills[c.node], c.starts[c.node]} {
		for _, x := range times {
			if x < at {
				began, ok = max(began, x), true
			}
		}
	}
	return began, ok
}

// drains checks rule 3.
func (c *requestCheck) checkDrains() {
	for _, a := range c.attempts {
		last := notification{}
		for _, w := range c.notifications[c.node][a.server] {
			if w.at <= a.arrivedAt && (w.version > last.version || w.version == last.version && (w.version == 0 || w.at < last.at)) {
				last = w
			}
		}
		told := last.at
		for _, x := range c.pauses[c.node] { // what comes to a process that stands still it is told once it goes on
			if x[0] <= told && told < x[1] {
				told = x[1]
			}
		}
		if began, ok := c.processStart(a.arrivedAt); last.presumed && ok {
			told = max(told, began+restartGrace)
		}
		if last.state != Serving && c.isLate(told+c.rules.DrainGrace, a.arrivedAt) {
			what := "was told"
			if last.presumed {
				what = "counts as told"
			}
			c.addBreach(3, a.arrivedAt, "box %s got it %v after node %s %s that it is %v", a.server, a.arrivedAt-last.at, c.node, what, last.state)
		}
	}
}
