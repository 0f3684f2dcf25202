package allowance

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"curlewring/decide"
)

// Member is a member of the fleet that may act as an allocator.
type Member struct {
	Life uint64
	Site string
}

// Outgoing is a claim to be sent to a member.
type Outgoing struct {
	To    uint64 // the member's life
	Claim Claim
}

// Lender lends this node's parts to allocators and receives their grants.
type Lender struct {
	settings      Settings
	rng           *rand.Rand
	quietUntil    time.Duration // until then parts lent by an earlier life may still be with an allocator
	parts         map[Server]*part
	allocators    map[uint64]*allocatorState
	members       []Member // of the last Tick
	id            uint64
	seq           uint64
	grants        []decide.Grant // returned by the current call
	pendingClaims []pendingClaim // claims that may still be answered, by seq
}

// pendingClaim is a claim that has been sent and not answered.
type pendingClaim struct {
	seq    uint64
	sentAt time.Duration
	to     uint64
}

// part is this node's part of the budget of one cold server.
type part struct {
	cold           decide.ColdServer
	allocator      uint64        // life of the allocator that it is lent to; 0 if none
	lentUntil      time.Duration // end of the loan
	lastGrantsUsed int           // cold.GrantsUsed at the previous Tick
	used           int           // granted sends that were used on the loan
	granted        int           // sends of the loan that arrived here
	lost           int           // sends of the loan whose grant was lost
	wanted         int           // sends to ask for in the next claim
	listed         bool          // the balancer listed the server at the last Tick
}

// allocatorState is what this node knows about an allocator.
type allocatorState struct {
	stamp        uint64        // highest stamp of its grants; 0 if none is known
	nextClaim    time.Duration // earliest time of the next claim
	waitingSince time.Duration // time since which claims are unanswered; 0 if none is
	lastGrantSeq uint64        // Seq of the last accepted grant
	avoidUntil   time.Duration // not used until then
}

// NewLender returns the lender of a life that starts at time now.
func NewLender(settings Settings, seed uint64, now time.Duration) *Lender {
	l := &Lender{settings: settings.Default(), rng: rand.New(rand.NewPCG(seed, 0xc01d)), parts: map[Server]*part{}, allocators: map[uint64]*allocatorState{}}
	l.quietUntil = now + l.settings.lenderTerm()
	l.id = l.rng.Uint64() | 1
	return l
}

// Tick takes the members, none if they are unknown, and the cold servers as reported by the
// balancer. It returns claims to send and grants for the balancer. Both are valid until the next call.
func (l *Lender) Tick(now time.Duration, members []Member, coldServers []decide.ColdServer) ([]Outgoing, []decide.Grant) {
	l.grants = l.grants[:0]
	l.members = members
	for _, p := range l.parts {
		p.listed = false
	}
	for i := range coldServers {
		server := Server{coldServers[i].Server, coldServers[i].Started}
		p := l.parts[server]
		if p == nil {
			p = &part{}
			l.parts[server] = p
			// The part is about to be lent. The balancer must not use it until then, since nobody would
			// count those sends.
			if p.lentUntil = now + l.settings.SilentAfter/2; len(members) < 2 {
				p.lentUntil = now
			}
			if p.lentUntil = max(p.lentUntil, l.quietUntil); now < p.lentUntil {
				l.grants = append(l.grants, decide.Grant{Server: server.ID, Started: server.Started, LentUntil: p.lentUntil})
			}
		}
		newlyUsed := coldServers[i].GrantsUsed - p.lastGrantsUsed
		if newlyUsed < 0 { // the balancer dropped the server and counts from zero again
			newlyUsed = coldServers[i].GrantsUsed
		}
		p.used += newlyUsed
		p.cold, p.lastGrantsUsed, p.listed = coldServers[i], coldServers[i].GrantsUsed, true
	}
	for server, p := range l.parts {
		if !p.listed && now >= p.lentUntil {
			delete(l.parts, server)
		}
	}
	l.planWantedSends(coldServers)
	return l.makeClaims(now), l.grants
}

// makeClaims returns the claims that are due: each lends parts to one allocator and asks for sends.
func (l *Lender) makeClaims(now time.Duration) []Outgoing {
	l.checkAllocators(now)
	l.pendingClaims = slices.DeleteFunc(l.pendingClaims, func(pending pendingClaim) bool { return now-pending.sentAt >= l.settings.SilentAfter })
	byAllocator := map[uint64][]Server{}
	for server, p := range l.parts {
		if !p.listed {
			continue
		}
		if now >= p.lentUntil && p.allocator != 0 { // the loan has ended, and the sends granted on it have expired
			p.allocator = 0
		}
		to := p.allocator
		if to == 0 {
			to = l.chooseAllocator(now, server, p.cold.Zone)
		}
		if to != 0 && l.isMember(to) {
			byAllocator[to] = append(byAllocator[to], server)
		}
	}
	var claims []Outgoing
	for _, to := range slices.Sorted(maps.Keys(byAllocator)) {
		servers, state := byAllocator[to], l.allocators[to]
		if state == nil {
			state = &allocatorState{nextClaim: now}
			l.allocators[to] = state
		}
		if now < state.nextClaim || now < state.avoidUntil {
			continue
		}
		state.nextClaim = now + time.Duration((0.75+l.rng.Float64()/2)*float64(l.settings.ClaimInterval))
		if state.waitingSince == 0 {
			state.waitingSince = now
		}
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started)) })
		for chunk := range slices.Chunk(servers, MaxClaimItems) {
			claims = append(claims, Outgoing{to, l.newClaim(now, to, state, chunk)})
		}
	}
	return claims
}

// newClaim returns a claim for some servers. While the allocator's stamp is unknown the claim lends
// nothing and only asks for a stamp.
func (l *Lender) newClaim(now time.Duration, to uint64, state *allocatorState, servers []Server) Claim {
	l.seq++
	l.pendingClaims = append(l.pendingClaims, pendingClaim{l.seq, now, to})
	claim := Claim{Lender: l.id, Seq: l.seq, Stamp: state.stamp}
	if state.stamp == 0 || now < l.quietUntil { // an earlier life may still have lent the same parts
		return claim
	}
	for _, server := range servers {
		p := l.parts[server]
		if p.allocator == 0 {
			p.allocator, p.used, p.granted, p.lost = to, 0, 0, 0
		}
		p.lentUntil = now + l.settings.lenderTerm()
		l.grants = append(l.grants, decide.Grant{Server: server.ID, Started: server.Started, LentUntil: p.lentUntil})
		claim.Items = append(claim.Items, ClaimItem{
			Server: server, Rate: min(p.cold.SendRate, maxRate), Wanted: p.wanted, Answered: p.cold.Answered,
			Used: p.used, Unused: max(0, p.granted+p.lost-p.used-p.cold.GrantsHeld),
		})
	}
	return claim
}

// planWantedSends determines how many sends to ask for: as many as this node is likely to use before
// they expire, first from the servers that had too few sends, otherwise in random order.
func (l *Lender) planWantedSends(coldServers []decide.ColdServer) {
	expectedSends, held := 0.0, 0
	for i := range coldServers {
		expectedSends += coldServers[i].MeanSendRate * (l.settings.SendLifetime + l.settings.ClaimInterval).Seconds()
		held += coldServers[i].GrantsHeld
	}
	left := int(math.Ceil(expectedSends)) - held
	order := l.rng.Perm(len(coldServers))
	for _, starved := range [...]bool{true, false} {
		for _, i := range order {
			server := &coldServers[i]
			p := l.parts[Server{server.Server, server.Started}]
			if server.Starved != starved {
				continue
			}
			p.wanted = 0
			if left > 0 && server.GrantsHeld == 0 {
				p.wanted = min(left, max(1, int(server.MeanSendRate*(l.settings.SendLifetime+l.settings.ClaimInterval).Seconds())))
				left -= p.wanted
			}
		}
	}
}

// checkAllocators avoids allocators that do not answer and drops those that are no longer members.
func (l *Lender) checkAllocators(now time.Duration) {
	for life, state := range l.allocators {
		switch {
		case state.waitingSince > 0 && now-state.waitingSince >= l.settings.SilentAfter:
			*state = allocatorState{avoidUntil: now + l.settings.AvoidFor, lastGrantSeq: state.lastGrantSeq}
		case !l.isMember(life) && now >= state.avoidUntil: // loans to it end by time
			delete(l.allocators, life)
		}
	}
}

// isMember reports whether a life is a member.
func (l *Lender) isMember(life uint64) bool {
	return slices.ContainsFunc(l.members, func(m Member) bool { return m.Life == life })
}

// chooseAllocator returns the allocator for a server: the member with the highest hash that is not
// avoided, at the server's site if there is one, otherwise anywhere; 0 if there is none.
func (l *Lender) chooseAllocator(now time.Duration, server Server, site string) (best uint64) {
	highest := uint64(0)
	for _, sameSite := range [...]bool{true, false} {
		for _, m := range l.members {
			if sameSite && m.Site != site {
				continue
			}
			if state := l.allocators[m.Life]; state != nil && now < state.avoidUntil {
				continue
			}
			if weight := rendezvousHash(server, m.Life); best == 0 || weight > highest {
				best, highest = m.Life, weight
			}
		}
		if best != 0 {
			break
		}
	}
	return best
}

// rendezvousHash returns the weight of a member for a server (rendezvous hashing).
func rendezvousHash(server Server, life uint64) uint64 {
	x := life ^ uint64(server.Started)*0x9e3779b97f4a7c15
	for i := range len(server.ID) {
		x = (x ^ uint64(server.ID[i])) * 1099511628211
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// HandleGrant handles a member's answer to a claim and returns the grants for the balancer,
// which ignores those that are too late. A grant that arrives after a later one counts as lost: its
// sends are reported as unused.
func (l *Lender) HandleGrant(now time.Duration, from uint64, g *Grant) []decide.Grant {
	l.grants = l.grants[:0]
	i, isPending := slices.BinarySearchFunc(l.pendingClaims, g.Seq, func(pending pendingClaim, seq uint64) int { return cmp.Compare(pending.seq, seq) })
	state := l.allocators[from]
	if state == nil || !isPending || l.pendingClaims[i].to != from || g.Seq <= state.lastGrantSeq || now < state.avoidUntil {
		return nil
	}
	pending := l.pendingClaims[i]
	if state.stamp == 0 {
		state.nextClaim = now // the first answer only brought a stamp: claim again at once
	}
	state.lastGrantSeq, state.stamp, state.waitingSince = g.Seq, max(state.stamp, g.Stamp), 0
	validUntil := pending.sentAt + l.settings.SendLifetime
	for _, allotment := range g.Items {
		p := l.parts[allotment.Server]
		if p == nil || p.allocator != from || allotment.Sends <= 0 || allotment.TotalSends < p.granted+p.lost+allotment.Sends {
			continue
		}
		p.lost = allotment.TotalSends - p.granted - allotment.Sends
		p.granted += allotment.Sends
		l.grants = append(l.grants, decide.Grant{Server: allotment.ID, Started: allotment.Started, LentUntil: p.lentUntil, Sends: allotment.Sends, ValidUntil: validUntil})
	}
	return l.grants
}

// LentServers returns the number of servers for which this node's part is currently lent.
func (l *Lender) LentServers(now time.Duration) (n int) {
	for _, p := range l.parts {
		if now < p.lentUntil {
			n++
		}
	}
	return n
}
