package standin

import "time"

// A change counts as delivered to every node that long after it was published, provided that discovery could be
// reached. A long poll that has fallen silent has until countedAfter later, or until lateAfter the end of its wait,
// whichever is later.
const (
	deliveryLimit   = 6 * time.Second
	silentPollGrace = 2 * time.Second
)

// interval is a span of time, its end excluded.
type interval struct{ from, to time.Duration }

// noteFault records whether discovery is down or its answers false; d.mu is held.
func (d *Discovery) recordFault(faulty bool) {
	now := max(1, d.clock.Now())
	switch {
	case faulty && d.faultySince == 0:
		d.faultySince = now
	case !faulty && d.faultySince > 0:
		d.faultIntervals = append(d.faultIntervals, interval{d.faultySince, now})
		d.faultySince = 0
	}
}

// Settle reports to the judge from when each change counts as delivered whether or not it was written. Nothing may be
// written after it.
func (d *Discovery) ReportDeliveries() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordFault(false)
	for n, c := range d.versions {
		for _, e := range d.endpoints {
			d.judge.StateDelivered(e.deliveredFrom(c.publishedAt), e.node, c.ID, c.state(), n+1, true)
		}
	}
}

// countsFrom is when a change published at a time counts as delivered to this endpoint's node.
func (e *discoveryEndpoint) deliveredFrom(published time.Duration) time.Duration {
	after := deliveryLimit
	if e.discovery.pushed {
		after = 0
	}
	at := published + after
	for _, until := range e.silentUntil {
		if published < until {
			at = max(at, until)
		}
	}
	for _, x := range e.discovery.faultIntervals { // it could not be reached when the node should have asked
		if x.from <= at && at-after < x.to {
			at = max(at, x.to+after)
		}
	}
	return at
}
