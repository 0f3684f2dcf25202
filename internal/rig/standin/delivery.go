package standin

import "time"

// A change counts as delivered to every node deliveryLimit after its publication, provided that discovery was
// reachable. For a node whose long poll was silenced it counts from deliveryLimit after the silence began, or
// from silentPollGrace after the end of the poll's wait, whichever is later.
const (
	deliveryLimit   = 6 * time.Second
	silentPollGrace = 2 * time.Second
)

// interval is a span of time, excluding its end.
type interval struct{ from, to time.Duration }

// recordFault records whether discovery is down or answers falsely; d.mu is held.
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

// ReportDeliveries reports to the judge from when each change counts as delivered even if it was not written.
// Nothing may be written after it.
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

// deliveredFrom returns from when a change counts as delivered to this endpoint's node, given its publication
// time.
func (e *discoveryEndpoint) deliveredFrom(published time.Duration) time.Duration {
	limit := deliveryLimit
	if e.discovery.pushed {
		limit = 0
	}
	at := published + limit
	for _, until := range e.silentUntil {
		if published < until {
			at = max(at, until)
		}
	}
	for _, fault := range e.discovery.faultIntervals { // discovery was unreachable when the node should have called
		if fault.from <= at && at-limit < fault.to {
			at = max(at, fault.to+limit)
		}
	}
	return at
}
