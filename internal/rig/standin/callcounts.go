package standin

// CallCounts counts the calls of one node by result.
type CallCounts struct {
	Received       int // all calls
	Answered       int // a list was written
	TimedOut       int // 503 after too long in the queue
	Rejected       int // 503 at once because the queue was full
	Failed         int // connection closed by an outage, or answered 503 in one
	OpenPolls      int // long polls waiting for a change now
	WrittenVersion int // newest version of the list that was written
}

// countEnd counts a call that has ended.
func (c *CallCounts) countEnd(err error) {
	switch err {
	case nil:
		c.Answered++
	case errQueueTimeout:
		c.TimedOut++
	case errQueueFull:
		c.Rejected++
	case errOutage, errUnavailable:
		c.Failed++
	}
}

// Calls returns how many calls were answered and how many list lines they contained.
func (d *Discovery) Calls() (calls, lines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callsAnswered, d.linesSent
}

// CallsByNode returns the counts of each node.
func (d *Discovery) CallsByNode() map[string]CallCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]CallCounts{}
	for _, e := range d.endpoints {
		all[e.node] = e.counts
	}
	return all
}

// Version returns the newest published version of the list.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, _ := d.publishedVersion(d.clock.Now())
	return n
}

// updateCounts changes the counts of an endpoint under the mutex.
func (e *discoveryEndpoint) updateCounts(add func(c *CallCounts)) {
	e.discovery.mu.Lock()
	defer e.discovery.mu.Unlock()
	add(&e.counts)
}
