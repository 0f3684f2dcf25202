package decide

import "time"

// Which servers may be sent to while the list is not confirmed: changes that this node has not heard of may
// count as told to it. A server that drains turns new work away, so one that takes work does not drain. That
// says nothing of one that was lost: it is listed as gone some time after its end, and may be back, and take
// work, while that still counts. Only a process that has lived on since before it could be listed so is
// proven.

const (
	// A server may take work 2 s beyond the listing of its drain.
	proofLasts = 4 * time.Second
	// A change counts as told after 6 s, and a server that is back is listed up to 3.5 s after its start: one
	// whose process has lived for longer than both counts as serving, whatever was listed of the process
	// before it.
	returnTold = 9500 * time.Millisecond
	// Discovery takes a call of each node in 2 s at the fastest, at 60 lines a call: a loss of so many
	// servers takes it 5 s and more to tell them all, and a node that starts then may not be heard.
	slowToTell = 150
	// A zone that refuses so many sends in a row is taken to drain or to be lost as a whole.
	zoneRefuses = 3
	// Discovery lists a server that drains or is lost up to so long after that.
	listedWithin = 5 * time.Second
	// What discovery has listed counts as told after so long at the latest.
	listedTold = 6 * time.Second
	// A process does not end and take work again sooner, nor is it listed as gone for so short an end.
	shortestOutage = time.Second
)

// lifetime is a span for which a server's process is known to have lived on.
type lifetime struct{ from, to time.Duration }

// extend adds a span for which a process lived on: it is the same one unless there was time in between to end
// and start again.
func (l *lifetime) extend(from, to time.Duration) {
	if l.to == 0 || from > l.to+shortestOutage {
		*l = lifetime{from, to}
		return
	}
	l.from, l.to = min(l.from, from), max(l.to, to)
}

// proof is the latest time at which the server is known to have taken new work: a process that has just
// started does.
func (s *server) proof() time.Duration { return max(s.provenAt, s.Started) }

// prove books what an outcome says of whether the server takes new work, and of its process: it has lived on
// since the connection was opened.
func (s *server) prove(now time.Duration, o *Outcome) {
	sent := now - o.Elapsed
	opened := min(sent, now-o.ConnAge)
	switch o.Result {
	case Served:
		s.provenAt = max(s.provenAt, sent)
	case Rejected:
		s.deniedAt = max(s.deniedAt, sent)
	case Errored, Malformed: // it answers
	default:
		return
	}
	if s.Started > 0 && opened >= s.Started && opened <= s.Started+proofLasts {
		opened = s.Started // the process that the list names
	}
	s.alive.extend(opened, sent)
}

// book counts what an attempt says of the zone as a whole.
func (z *zone) book(now time.Duration, r Result) {
	switch r {
	case Served:
		z.refusals, z.missed = 0, 0
	case Rejected:
		z.missed = 0
		z.refuse(now)
	case Errored, Malformed: // it answers
		z.missed = 0
	case ConnectFailed:
		z.refuse(now)
		z.miss(now)
	}
}

// refuse counts a send that the zone did not take.
func (z *zone) refuse(now time.Duration) {
	if z.refusals++; z.refusals >= zoneRefuses {
		z.doubted = now
	}
}

// miss counts a send that found no connection. Some in a row, over a while, say that the zone was lost.
func (z *zone) miss(now time.Duration) {
	if z.missed == 0 {
		z.unmade.from = now
	}
	z.missed++
	z.unmade.to = now
	if z.missed >= zoneRefuses && z.unmade.to-z.unmade.from >= shortestOutage {
		z.lost = z.unmade
	}
}

// leave books that a server of the zone is listed as draining or gone.
func (z *zone) leave(now time.Duration) {
	if now > z.leftAt+listedWithin {
		z.left = 0
	}
	z.left++
	z.leftAt = now
}

// confirm books until when the list is confirmed.
func (b *Balancer) confirm(m *ListUpdate) {
	if m.Kind == ListDiff || m.Kind == ListFull {
		b.heard, b.unconfirmed = b.now, 0
	}
	if m.AsOf > 0 {
		b.heard, b.unconfirmed = m.AsOf, 0
	}
	if m.ConfirmedUntil > 0 && (b.unconfirmed == 0 || m.ConfirmedUntil < b.unconfirmed) {
		b.unconfirmed = m.ConfirmedUntil
	}
}

// Unconfirmed tells whether changes of the list may count as told to this node that it has not heard of.
func (b *Balancer) Unconfirmed(now time.Duration) bool {
	return b.unconfirmed > 0 && now >= b.unconfirmed
}

// doubting tells whether changes may count as told now that this node has not heard of.
func (b *Balancer) doubting() bool { return b.Unconfirmed(b.now) }

// unproven tells whether the server may count as draining or gone though this node has not heard of it.
func (b *Balancer) unproven(s *server) bool {
	if b.doubting() && (b.now-s.proof() > proofLasts || !b.livedOn(s) || b.leavesToo(s)) {
		return true
	}
	return b.backUntold(s)
}

// backUntold tells whether a server may be back from a loss of its zone that counts as told by now though
// this node has not heard of it. Where discovery has hundreds of servers to tell every node of, its answer
// to an open long poll may wait for so long, and the list seems confirmed meanwhile.
func (b *Balancer) backUntold(s *server) bool {
	return b.untold(s.zone) && !b.livedOn(s) && b.anotherZone((*Balancer).untold)
}

// untold tells whether the loss of a zone counts as told though this node has not heard of it.
func (b *Balancer) untold(z *zone) bool {
	return z.lost.to > 0 && z.listed >= slowToTell && b.unlisted(z.lost.to) && b.now >= z.lost.from+listedTold
}

// anotherZone tells whether the subset has servers of a zone that is not in such a state.
func (b *Balancer) anotherZone(state func(*Balancer, *zone) bool) bool {
	for _, z := range b.zones {
		if z.members > 0 && !state(b, z) {
			return true
		}
	}
	return false
}

// leavesToo tells whether a server may drain or be gone together with others of its zone. Where these were
// listed by the hundred, discovery may be too busy to tell of the rest, and that one takes work proves
// nothing: a server may go on answering while it drains. A process that has started since is none of them.
// Another zone of the subset has to be left.
func (b *Balancer) leavesToo(s *server) bool {
	return s.Started <= s.zone.leftAt && b.leaving(s.zone) && b.anotherZone((*Balancer).leaving)
}

// leaving tells whether servers of a zone were listed as draining or gone by the hundred, and discovery may
// not have told of all of them.
func (b *Balancer) leaving(z *zone) bool { return z.left >= slowToTell && b.unlisted(z.leftAt) }

// livedOn tells whether no process of the server before this one can count as gone.
func (b *Balancer) livedOn(s *server) bool {
	if b.heard == 0 { // it knows nothing of what was before its start
		return !b.lostTogether(s)
	}
	from := s.alive.from
	return s.alive.to == 0 && s.Started > 0 || s.alive.to > 0 &&
		(from <= b.heard || b.now-from >= returnTold || s.Started > 0 && from == s.Started)
}

// lostTogether tells whether a server may have been lost together with this node, if it has not heard
// discovery since it started: what ended it may have ended its zone. Where that is so large that discovery
// can't tell its loss to all nodes in time, a node goes without it until it is heard. Other zones get the
// benefit of the doubt, and so does the only one.
func (b *Balancer) lostTogether(s *server) bool {
	return b.heard == 0 && s.near && len(b.others) > 0 && len(b.homes) >= slowToTell
}

// unlisted tells whether discovery may not have listed yet what happened at a time, when it was last heard.
func (b *Balancer) unlisted(at time.Duration) bool { return at > 0 && at+listedWithin > b.heard }

// denied tells whether the server turned work away since it or discovery proved it good.
func (b *Balancer) denied(s *server) bool { return s.deniedAt > s.provenAt && b.unlisted(s.deniedAt) }

// leastDoubtful is the server to send to where the list is not confirmed and none is proven: the one that was
// proven last, of the subset if possible, and none that has turned work away since. One whose process has
// lived on goes before all others. Where a zone drains or is lost as a whole, each of its servers would have
// to be tried before that is known of it, so those of other zones go first. A node that has not heard
// discovery since its start takes none of which it must fear that it was lost together with the node.
func (b *Balancer) leastDoubtful(c *call) *server {
	if !b.doubting() {
		return nil
	}
	for _, doubted := range [...]bool{false, true} {
		for _, lived := range [...]bool{true, false} {
			for _, list := range [...][]*server{b.near, b.far, b.homes, b.others} {
				if best := b.lastProven(c, list, doubted, lived); best != nil {
					return best
				}
			}
		}
	}
	return nil
}

// lastProven is the server of a list that was proven last, of those whose zone is doubted as a whole or not,
// and whose process is known to have lived on or not.
func (b *Balancer) lastProven(c *call, list []*server, doubted, lived bool) (best *server) {
	for _, s := range list {
		if (b.unlisted(s.zone.doubted) || b.leavesToo(s)) != doubted || b.livedOn(s) != lived {
			continue
		}
		if b.denied(s) || s.out(b.now) || b.lostTogether(s) {
			continue
		}
		if (best == nil || s.proof() > best.proof()) && b.allowed(c, s) {
			best = s
		}
	}
	return best
}
