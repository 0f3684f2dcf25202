package decide

import "time"

// What follows keeps what the nodes have settled for cold servers among themselves, and decides nothing.

// pooled is what a node has lent and was dealt of a cold server's budget.
type pooled struct {
	lent     time.Duration // until then its own part is lent
	dealt    int           // sends that it may make ...
	until    time.Duration // ... up to then
	used     int           // those made
	short    bool          // it was passed over for want of one
	answered int           // requests that it has served this node, dealt or not
}

// held is how many sends are in hand.
func (p *pooled) held(now time.Duration) int {
	if now >= p.until || now >= p.lent {
		p.dealt = 0
	}
	return p.dealt
}

// spend takes a send of those dealt; false where the node's own part is in use.
func (p *pooled) spend(now time.Duration) bool {
	if now >= p.lent {
		return false
	}
	p.dealt--
	p.used++
	return true
}

// Deal takes word of what the nodes have settled. Of sends that are good for different times the shorter holds for
// all that are in hand.
func (b *Balancer) HandleGrants(now time.Duration, deals []Grant, out []Action) []Action {
	b.begin(now, out)
	for i := range deals {
		d := &deals[i]
		s := b.servers[d.Server]
		if s == nil || s.Started != d.Started {
			continue
		}
		had := s.held(now)
		s.lent = max(s.lent, d.LentUntil)
		if d.Sends <= 0 || now >= d.ValidUntil {
			continue
		}
		if s.dealt = had + d.Sends; had == 0 {
			s.until = d.ValidUntil
		} else {
			s.until = min(s.until, d.ValidUntil)
		}
	}
	return b.out
}

// Colds appends the cold servers of the subset.
func (b *Balancer) ColdServers(now time.Duration, to []ColdServer) []ColdServer {
	b.begin(now, nil)
	for i := range len(b.near) + len(b.far) {
		s := b.subset(i)
		if b.cold(s) == 1 {
			continue
		}
		calls := 0.0
		if s.near {
			calls = max(b.answers()/float64(max(1, len(b.near)+len(b.far))), b.before)
		}
		to = append(to, ColdServer{
			Server: s.ID, Zone: s.Zone, Started: s.Started, SendRate: b.slowStart(s, coldPooled),
			MeanSendRate: calls, GrantsUsed: s.used, GrantsHeld: s.held(now), Starved: s.short, Answered: s.answered,
		})
		s.short = false
	}
	return to
}
