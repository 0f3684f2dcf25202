package judge

import "time"

// notification is a state of a server that a node was notified of.
type notification struct {
	at       time.Duration
	state    State
	version  int  // of the list; a newer version overrides an older one, whichever was delivered first
	presumed bool // counts as delivered even if it was not
}

// StateWritten records that discovery has written a server's state to a node, for lists without versions. A repeated
// state is ignored, so that it does not start another grace period.
func (j *Judge) StateWritten(at time.Duration, node, server string, s State) {
	j.mu.Lock()
	defer j.mu.Unlock()
	states := j.notificationsOf(node)
	if all := states[server]; len(all) == 0 || all[len(all)-1].state != s {
		states[server] = append(all, notification{at: at, state: s})
	}
}

// notificationsOf returns the notifications of a node by server; j.mu is held.
func (j *Judge) notificationsOf(node string) map[string][]notification {
	states := j.notifications[node]
	if states == nil {
		states = map[string][]notification{}
		j.notifications[node] = states
	}
	return states
}

// StateDelivered records that a server's state counts as delivered to a node from a time on, as of a version
// of the list. Either it was written then or, if presumed, discovery had it and was reachable for as long as
// a node may take to ask.
func (j *Judge) StateDelivered(at time.Duration, node, server string, s State, version int, presumed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	states := j.notificationsOf(node)
	states[server] = append(states[server], notification{at, s, version, presumed})
}

// checkDrains checks rule 3: no attempt at a server later than the drain grace after its node was notified
// that the server is draining or gone.
func (c *requestCheck) checkDrains() {
	for _, a := range c.attempts {
		last := notification{}
		for _, n := range c.notifications[c.node][a.server] {
			if n.at <= a.arrivedAt && (n.version > last.version || n.version == last.version && (n.version == 0 || n.at < last.at)) {
				last = n
			}
		}
		notifiedAt := last.at
		for _, pause := range c.pauses[c.node] { // a suspended process receives it once it continues
			if pause[0] <= notifiedAt && notifiedAt < pause[1] {
				notifiedAt = pause[1]
			}
		}
		if last.state != Serving && c.isLate(notifiedAt+c.rules.DrainGrace, a.arrivedAt) {
			verb := "was told"
			if last.presumed {
				verb = "counts as told"
			}
			c.addBreach(3, a.arrivedAt, "box %s got it %v after node %s %s that it is %v", a.server, a.arrivedAt-last.at, c.node, verb, last.state)
		}
	}
}
