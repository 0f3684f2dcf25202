package decide

import "time"

// Servers that are safe to use while the list is not confirmed, that is while changes that this node has
// not received may count as announced to it. A draining server rejects new work, so a server that accepts
// work does not drain. That does not prove that a server was not lost: a loss is listed some time after it
// happened, and the server may be back and accepting work while the loss still counts. Only a process that
// has been running since before it could have been listed as lost is safe.

const (
	// A server may accept work for 2 s after it is listed as draining.
	acceptanceValidFor = 4 * time.Second
	// A change counts as announced after 6 s, and a restarted server is listed up to 3.5 s after its start.
	// A process that has been running for longer than both together counts as serving, whatever was listed
	// about the process before it.
	restartKnownAfter = 9500 * time.Millisecond
	// At 60 lines per call, discovery needs at least 2 s to answer one call of each node. Announcing the
	// loss of this many servers to all nodes takes it 5 s or more, and a node that starts then may get no
	// answer.
	slowAnnouncementSize = 150
	// Consecutive refused sends after which a zone is assumed to be draining or lost as a whole.
	zoneRefusalLimit = 3
	// Discovery lists a draining or lost server at most this long after the event.
	listingDelay = 5 * time.Second
	// A listed change counts as announced after at most this time.
	announcementDelay = 6 * time.Second
	// A process can't end and accept work again sooner, and is not listed as lost for a shorter time.
	minOutage = time.Second
)

// timeSpan is a period of time, such as one in which a server's process is known to have been running.
type timeSpan struct{ from, to time.Duration }

// extend adds a period in which a process was running. It is the same process unless the gap is long enough
// for a restart.
func (s *timeSpan) extend(from, to time.Duration) {
	if s.to == 0 || from > s.to+minOutage {
		*s = timeSpan{from, to}
		return
	}
	s.from, s.to = min(s.from, from), max(s.to, to)
}

// lastAccepted returns the latest time at which the server is known to have accepted new work. A process
// that has just started accepts work.
func (s *server) lastAccepted() time.Duration { return max(s.acceptedAt, s.Started) }

// recordOutcome records whether the server accepts new work, and that its process has been running since
// the connection was opened.
func (s *server) recordOutcome(now time.Duration, o *Outcome) {
	sent := now - o.Elapsed
	opened := min(sent, now-o.ConnAge)
	switch o.Result {
	case Served:
		s.acceptedAt = max(s.acceptedAt, sent)
	case Rejected:
		s.rejectedAt = max(s.rejectedAt, sent)
	case Errored, Malformed: // it responded
	default:
		return
	}
	if s.Started > 0 && opened >= s.Started && opened <= s.Started+acceptanceValidFor {
		// It was opened so soon after the listed start that it belongs to the process that the list names.
		opened = s.Started
	}
	s.uptime.extend(opened, sent)
}

// recordResult records what an attempt says about the zone as a whole.
func (z *zone) recordResult(now time.Duration, r Result) {
	switch r {
	case Served:
		z.refusals, z.connectFailures = 0, 0
	case Rejected:
		z.connectFailures = 0
		z.recordRefusal(now)
	case Errored, Malformed: // it responded
		z.connectFailures = 0
	case ConnectFailed:
		z.recordRefusal(now)
		z.recordConnectFailure(now)
	}
}

// recordRefusal counts a send that the zone did not accept.
func (z *zone) recordRefusal(now time.Duration) {
	if z.refusals++; z.refusals >= zoneRefusalLimit {
		z.doubtedAt = now
	}
}

// recordConnectFailure counts a send that found no connection. Several in a row over some time indicate the
// loss of the zone.
func (z *zone) recordConnectFailure(now time.Duration) {
	if z.connectFailures == 0 {
		z.connectFailureSpan.from = now
	}
	z.connectFailures++
	z.connectFailureSpan.to = now
	if z.connectFailures >= zoneRefusalLimit &&
		z.connectFailureSpan.to-z.connectFailureSpan.from >= minOutage {
		z.outage = z.connectFailureSpan
	}
}

// recordDeparture records that a server of the zone was listed as draining or removed.
func (z *zone) recordDeparture(now time.Duration) {
	if now > z.lastDeparture+listingDelay {
		z.departures = 0
	}
	z.departures++
	z.lastDeparture = now
}

// updateConfirmation records until when the list is confirmed.
func (b *Balancer) updateConfirmation(m *ListUpdate) {
	if m.Kind == ListDiff || m.Kind == ListFull {
		b.confirmedAt, b.confirmedUntil = b.now, 0
	}
	if m.AsOf > 0 {
		b.confirmedAt, b.confirmedUntil = m.AsOf, 0
	}
	if m.ConfirmedUntil > 0 && (b.confirmedUntil == 0 || m.ConfirmedUntil < b.confirmedUntil) {
		b.confirmedUntil = m.ConfirmedUntil
	}
}

// Unconfirmed reports whether changes that this node has not received may count as announced to it.
func (b *Balancer) Unconfirmed(now time.Duration) bool {
	return b.confirmedUntil > 0 && now >= b.confirmedUntil
}

// listUnconfirmed reports whether the list is unconfirmed now.
func (b *Balancer) listUnconfirmed() bool { return b.Unconfirmed(b.now) }

// doubtful reports whether the server may count as draining or lost although this node has not been
// notified.
func (b *Balancer) doubtful(s *server) bool {
	if b.listUnconfirmed() &&
		(b.now-s.lastAccepted() > acceptanceValidFor || !b.sameProcess(s) || b.mayLeaveWithZone(s)) {
		return true
	}
	return b.mayHaveRestarted(s)
}

// mayHaveRestarted reports whether a server may be back after a loss of its zone that counts as announced
// by now although this node has not been notified. If discovery has to announce hundreds of servers to
// every node, its response to an open long poll may be delayed that long while the list seems confirmed.
func (b *Balancer) mayHaveRestarted(s *server) bool {
	return b.lossUnseen(s.zone) && !b.sameProcess(s) && b.otherZoneExists((*Balancer).lossUnseen)
}

// lossUnseen reports whether the loss of a zone counts as announced although this node has not been
// notified.
func (b *Balancer) lossUnseen(z *zone) bool {
	return z.outage.to > 0 && z.listedServers >= slowAnnouncementSize &&
		b.maybeUnlisted(z.outage.to) && b.now >= z.outage.from+announcementDelay
}

// otherZoneExists reports whether the subset has servers of a zone that is not in the given state.
func (b *Balancer) otherZoneExists(state func(*Balancer, *zone) bool) bool {
	for _, z := range b.zones {
		if z.subsetServers > 0 && !state(b, z) {
			return true
		}
	}
	return false
}

// mayLeaveWithZone reports whether a server may be draining or lost together with others of its zone. After
// hundreds of them were listed, discovery may be too busy to announce the rest. Accepted work proves
// nothing then, since a server may go on responding while it drains. A process that started later is not
// among them. The subset must have another zone to use instead.
func (b *Balancer) mayLeaveWithZone(s *server) bool {
	return s.Started <= s.zone.lastDeparture && b.zoneLeaving(s.zone) &&
		b.otherZoneExists((*Balancer).zoneLeaving)
}

// zoneLeaving reports whether hundreds of servers of a zone were listed as draining or removed, and
// discovery may not have announced all of them.
func (b *Balancer) zoneLeaving(z *zone) bool {
	return z.departures >= slowAnnouncementSize && b.maybeUnlisted(z.lastDeparture)
}

// sameProcess reports whether no earlier process of the server can count as lost.
func (b *Balancer) sameProcess(s *server) bool {
	if b.confirmedAt == 0 { // nothing is known from before this node's start
		return !b.maybeLostWithNode(s)
	}
	from := s.uptime.from
	return s.uptime.to == 0 && s.Started > 0 || s.uptime.to > 0 &&
		(from <= b.confirmedAt || b.now-from >= restartKnownAfter || s.Started > 0 && from == s.Started)
}

// maybeLostWithNode reports whether a server may have been lost together with this node, which has received
// nothing from discovery since its start: the cause may have affected the whole zone. If the zone is so
// large that discovery can't announce its loss to all nodes in time, the node does not use it until
// discovery responds. Other zones are not suspected, nor is the only one.
func (b *Balancer) maybeLostWithNode(s *server) bool {
	return b.confirmedAt == 0 && s.local &&
		len(b.remoteServers) > 0 && len(b.localServers) >= slowAnnouncementSize
}

// maybeUnlisted reports whether discovery may not have listed an event of that time when it last confirmed
// the list.
func (b *Balancer) maybeUnlisted(at time.Duration) bool {
	return at > 0 && at+listingDelay > b.confirmedAt
}

// rejectedSinceAccepted reports whether the server has rejected work since it last accepted some or
// discovery last confirmed it.
func (b *Balancer) rejectedSinceAccepted(s *server) bool {
	return s.rejectedAt > s.acceptedAt && b.maybeUnlisted(s.rejectedAt)
}

// leastDoubtful returns the server to use if the list is not confirmed and no server is eligible: the one
// that last accepted work, preferably of the subset, unless it has rejected work since. Servers whose
// process is known to have kept running come first. If a zone drains or is lost as a whole, each of its
// servers would have to be tried to find out, so servers of other zones come first. A node that has
// received nothing from discovery since its start uses no server that may have been lost together with it.
func (b *Balancer) leastDoubtful(c *call) *server {
	if !b.listUnconfirmed() {
		return nil
	}
	for _, doubted := range [...]bool{false, true} {
		for _, running := range [...]bool{true, false} {
			for _, list := range [...][]*server{b.localSubset, b.remoteSubset,
				b.localServers, b.remoteServers} {
				if best := b.lastAcceptedOf(c, list, doubted, running); best != nil {
					return best
				}
			}
		}
	}
	return nil
}

// lastAcceptedOf returns the server of a list that last accepted work, among those whose zone is doubted as
// a whole or not and whose process is known to have kept running or not.
func (b *Balancer) lastAcceptedOf(c *call, list []*server, doubted, running bool) (best *server) {
	for _, s := range list {
		if (b.maybeUnlisted(s.zone.doubtedAt) || b.mayLeaveWithZone(s)) != doubted ||
			b.sameProcess(s) != running {
			continue
		}
		if b.rejectedSinceAccepted(s) || s.unavailable(b.now) || b.maybeLostWithNode(s) {
			continue
		}
		if (best == nil || s.lastAccepted() > best.lastAccepted()) && b.permitted(c, s) {
			best = s
		}
	}
	return best
}
