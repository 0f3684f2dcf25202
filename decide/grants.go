package decide

import "time"

// Grants of sends to cold servers that nodes agree on; nothing is decided in this file.

// grantState is this node's part in the pooled budget of a cold server.
type grantState struct {
	lentUntil        time.Duration // this node's own share is lent until then
	granted          int           // sends that it may make ...
	grantsValidUntil time.Duration // ... until then
	grantsUsed       int
	starved          bool // skipped for lack of a grant
	answered         int  // requests that it has served for this node, with a grant or without
}

// grantsHeld returns the number of granted sends that are left.
func (g *grantState) grantsHeld(now time.Duration) int {
	if now >= g.grantsValidUntil || now >= g.lentUntil {
		g.granted = 0
	}
	return g.granted
}

// spendGrant uses one granted send; it returns false while this node uses its own share.
func (g *grantState) spendGrant(now time.Duration) bool {
	if now >= g.lentUntil {
		return false
	}
	g.granted--
	g.grantsUsed++
	return true
}

// HandleGrants takes the grants that the nodes have agreed on. If they expire at different times, the
// earliest expiry applies to all unused ones.
func (b *Balancer) HandleGrants(now time.Duration, grants []Grant, out []Action) []Action {
	b.beginEvent(now, out)
	for i := range grants {
		g := &grants[i]
		s := b.servers[g.Server]
		if s == nil || s.Started != g.Started {
			continue
		}
		held := s.grantsHeld(now)
		s.lentUntil = max(s.lentUntil, g.LentUntil)
		if g.Sends <= 0 || now >= g.ValidUntil {
			continue
		}
		if s.granted = held + g.Sends; held == 0 {
			s.grantsValidUntil = g.ValidUntil
		} else {
			s.grantsValidUntil = min(s.grantsValidUntil, g.ValidUntil)
		}
	}
	return b.actions
}

// ColdServers appends the cold servers of the subset.
func (b *Balancer) ColdServers(now time.Duration, to []ColdServer) []ColdServer {
	b.beginEvent(now, nil)
	for i := range len(b.localSubset) + len(b.remoteSubset) {
		s := b.subsetServer(i)
		if b.capacityFraction(s) == 1 {
			continue
		}
		meanSendRate := 0.0
		if s.local {
			meanSendRate = max(
				b.currentAnswerRate()/float64(max(1, len(b.localSubset)+len(b.remoteSubset))), b.priorRate)
		}
		to = append(to, ColdServer{
			Server: s.ID, Zone: s.Zone, Started: s.Started, SendRate: b.slowStartRate(s, coldPoolShare),
			MeanSendRate: meanSendRate, GrantsUsed: s.grantsUsed, GrantsHeld: s.grantsHeld(now),
			Starved: s.starved, Answered: s.answered,
		})
		s.starved = false
	}
	return to
}
