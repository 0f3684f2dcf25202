package standin

// NodeCalls are the calls of one node, and what became of them.
type CallCounts struct {
	Received       int // all that came
	Answered       int // a list was written
	TimedOut       int // 503, having waited in the queue for too long
	Rejected       int // 503 at once, the queue being too long
	Failed         int // cut off by an outage, or answered 503 in one
	OpenPolls      int // long polls that wait for a change now
	WrittenVersion int // the newest of the list that was written
}

// add counts a call that has ended.
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

// Calls is how many calls and list lines it has answered.
func (d *Discovery) Calls() (calls, lines int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callsAnswered, d.linesSent
}

// CallsByNode returns the calls of each node.
func (d *Discovery) CallsByNode() map[string]CallCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]CallCounts{}
	for _, e := range d.endpoints {
		all[e.node] = e.counts
	}
	return all
}

// Version is the newest published version of the list.
func (d *Discovery) Version() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n, _ := d.publishedVersion(d.clock.Now())
	return n
}

// count adds to the counts of an endpoint.
func (e *discoveryEndpoint) updateCounts(add func(c *CallCounts)) {
	e.discovery.mu.Lock()
	defer e.discovery.mu.Unlock()
	add(&e.counts)
}
