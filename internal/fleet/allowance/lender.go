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

// Member is one that may deal.
type Member struct {
	Life uint64
	Site string
}

// Out is a claim on its way to a member.
type Outgoing struct {
	To    uint64 // its life
	Claim Claim
}

// Holder lends this node's parts and keeps what is dealt to it.
type Lender struct {
	settings      Settings
	rng           *rand.Rand
	quietUntil    time.Duration // until then the last life's parts may still be lent
	parts         map[Server]*part
	allocators    map[uint64]*allocatorState
	members       []Member // as Tick was told last, by life
	id            uint64
	seq           uint64
	grants        []decide.Grant
	pendingClaims []pendingClaim // claims that may be answered yet, by Seq
}

type pendingClaim struct {
	seq    uint64
	sentAt time.Duration
	to     uint64
}

// part is this node's part of one cold server.
type part struct {
	cold           decide.ColdServer
	allocator      uint64        // the dealer that it is lent to; 0: to none
	lentUntil      time.Duration // until then
	lastGrantsUsed int           // cold.Used as it was last
	used           int           // sends on the loan
	granted        int           // sends of the loan that came here
	lost           int           // and those that did not
	wanted         int
	listed         bool
}

// dealer is one as this node knows it.
type allocatorState struct {
	stamp        uint64
	nextClaim    time.Duration // when the next claim is due
	waitingSince time.Duration // since when a claim is unanswered; 0: none is
	lastGrantSeq uint64        // of the last grant taken
	avoidUntil   time.Duration // passed over until then
}

// NewHolder returns the holder of a life that starts now.
func NewLender(set Settings, seed uint64, now time.Duration) *Lender {
	h := &Lender{settings: set.Default(), rng: rand.New(rand.NewPCG(seed, 0xc01d)), parts: map[Server]*part{}, allocators: map[uint64]*allocatorState{}}
	h.quietUntil = now + h.settings.lenderTerm()
	h.id = h.rng.Uint64() | 1
	return h
}

// Tick takes what the module says of cold servers, and who is a member; nobody, where that is not known. It
// returns claims to send, and what the module is to know. Both are good until the next call.
func (h *Lender) Tick(now time.Duration, members []Member, colds []decide.ColdServer) ([]Outgoing, []decide.Grant) {
	h.grants = h.grants[:0]
	h.members = members
	for _, p := range h.parts {
		p.listed = false
	}
	for i := range colds {
		server := Server{colds[i].Server, colds[i].Started}
		p := h.parts[server]
		if p == nil {
			p = &part{}
			h.parts[server] = p
			// Its part is about to be lent: what this node sent meanwhile by itself nobody would count.
			if p.lentUntil = now + h.settings.SilentAfter/2; len(members) < 2 {
				p.lentUntil = now
			}
			if p.lentUntil = max(p.lentUntil, h.quietUntil); now < p.lentUntil {
				h.grants = append(h.grants, decide.Grant{Server: server.ID, Started: server.Started, LentUntil: p.lentUntil})
			}
		}
		more := colds[i].GrantsUsed - p.lastGrantsUsed
		if more < 0 { // the module had forgotten the server, and counts anew
			more = colds[i].GrantsUsed
		}
		p.used += more
		p.cold, p.lastGrantsUsed, p.listed = colds[i], colds[i].GrantsUsed, true
	}
	for server, p := range h.parts {
		if !p.listed && now >= p.lentUntil {
			delete(h.parts, server)
		}
	}
	h.planWantedSends(colds)
	return h.makeClaims(now), h.grants
}

// claims lends and asks, once a while with each dealer.
func (h *Lender) makeClaims(now time.Duration) []Outgoing {
	h.checkAllocators(now)
	h.pendingClaims = slices.DeleteFunc(h.pendingClaims, func(a pendingClaim) bool { return now-a.sentAt >= h.settings.SilentAfter })
	byDealer := map[uint64][]Server{}
	for server, p := range h.parts {
		if !p.listed {
			continue
		}
		if now >= p.lentUntil && p.allocator != 0 { // the loan is over, with all that was dealt on it
			p.allocator = 0
		}
		to := p.allocator
		if to == 0 {
			to = h.chooseAllocator(now, server, p.cold.Zone)
		}
		if to != 0 && h.isMember(to) {
			byDealer[to] = append(byDealer[to], server)
		}
	}
	var all []Outgoing
	for _, to := range slices.Sorted(maps.Keys(byDealer)) {
		servers, d := byDealer[to], h.allocators[to]
		if d == nil {
			d = &allocatorState{nextClaim: now}
			h.allocators[to] = d
		}
		if now < d.nextClaim || now < d.avoidUntil {
			continue
		}
		d.nextClaim = now + time.Duration((0.75+h.rng.Float64()/2)*float64(h.settings.ClaimInterval))
		if d.waitingSince == 0 {
			d.waitingSince = now
		}
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started)) })
		for part := range slices.Chunk(servers, MaxClaimItems) {
			all = append(all, Outgoing{to, h.newClaim(now, to, d, part)})
		}
	}
	return all
}

// claim makes one claim. Without a stamp it lends nothing, and only asks for one.
func (h *Lender) newClaim(now time.Duration, to uint64, d *allocatorState, servers []Server) Claim {
	h.seq++
	h.pendingClaims = append(h.pendingClaims, pendingClaim{h.seq, now, to})
	c := Claim{Lender: h.id, Seq: h.seq, Stamp: d.stamp}
	if d.stamp == 0 || now < h.quietUntil { // what the last life lent is not to be lent again
		return c
	}
	for _, server := range servers {
		p := h.parts[server]
		if p.allocator == 0 {
			p.allocator, p.used, p.granted, p.lost = to, 0, 0, 0
		}
		p.lentUntil = now + h.settings.lenderTerm()
		h.grants = append(h.grants, decide.Grant{Server: server.ID, Started: server.Started, LentUntil: p.lentUntil})
		c.Items = append(c.Items, ClaimItem{
			Server: server, Rate: min(p.cold.SendRate, maxRate), Wanted: p.wanted, Answered: p.cold.Answered,
			Used: p.used, Unused: max(0, p.granted+p.lost-p.used-p.cold.GrantsHeld),
		})
	}
	return c
}

// share says how many sends to ask for: as many as this node is likely to use before they are no good any more, of those
// servers first that it was short of, and in an order that is drawn anew each time.
func (h *Lender) planWantedSends(colds []decide.ColdServer) {
	soon, held := 0.0, 0
	for i := range colds {
		soon += colds[i].MeanSendRate * (h.settings.SendLifetime + h.settings.ClaimInterval).Seconds()
		held += colds[i].GrantsHeld
	}
	left := int(math.Ceil(soon)) - held
	order := h.rng.Perm(len(colds))
	for _, short := range [...]bool{true, false} {
		for _, i := range order {
			c := &colds[i]
			p := h.parts[Server{c.Server, c.Started}]
			if c.Starved != short {
				continue
			}
			p.wanted = 0
			if left > 0 && c.GrantsHeld == 0 {
				p.wanted = min(left, max(1, int(c.MeanSendRate*(h.settings.SendLifetime+h.settings.ClaimInterval).Seconds())))
				left -= p.wanted
			}
		}
	}
}

// look finds dealers that do not answer, and forgets those that are members no more.
func (h *Lender) checkAllocators(now time.Duration) {
	for life, d := range h.allocators {
		switch {
		case d.waitingSince > 0 && now-d.waitingSince >= h.settings.SilentAfter:
			*d = allocatorState{avoidUntil: now + h.settings.AvoidFor, lastGrantSeq: d.lastGrantSeq}
		case !h.isMember(life) && now >= d.avoidUntil: // what it holds is over by itself
			delete(h.allocators, life)
		}
	}
}

// there tells whether a life is a member.
func (h *Lender) isMember(life uint64) bool {
	return slices.ContainsFunc(h.members, func(m Member) bool { return m.Life == life })
}

// choose is the dealer for a server: of the members of its own site, or of all where there are none, the one that
// hashing sets highest for this server and that answers.
func (h *Lender) chooseAllocator(now time.Duration, server Server, site string) (best uint64) {
	most := uint64(0)
	for _, own := range [...]bool{true, false} {
		for _, m := range h.members {
			if own && m.Site != site {
				continue
			}
			if d := h.allocators[m.Life]; d != nil && now < d.avoidUntil {
				continue
			}
			if at := rendezvousHash(server, m.Life); best == 0 || at > most {
				best, most = m.Life, at
			}
		}
		if best != 0 {
			break
		}
	}
	return best
}

// rank sets a member for a server (rendezvous hashing).
func rendezvousHash(server Server, life uint64) uint64 {
	x := life ^ uint64(server.Started)*0x9e3779b97f4a7c15
	for i := range len(server.ID) {
		x = (x ^ uint64(server.ID[i])) * 1099511628211
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Grant takes an answer of a member, and returns what the module is to know; what comes too late is no good to it. One
// that comes after a later one was taken counts as lost; its sends are told to be back.
func (h *Lender) HandleGrant(now time.Duration, from uint64, g *Grant) []decide.Grant {
	h.grants = h.grants[:0]
	i, open := slices.BinarySearchFunc(h.pendingClaims, g.Seq, func(a pendingClaim, seq uint64) int { return cmp.Compare(a.seq, seq) })
	d := h.allocators[from]
	if d == nil || !open || h.pendingClaims[i].to != from || g.Seq <= d.lastGrantSeq || now < d.avoidUntil {
		return nil
	}
	a := h.pendingClaims[i]
	if d.stamp == 0 {
		d.nextClaim = now // nothing was lent without it
	}
	d.lastGrantSeq, d.stamp, d.waitingSince = g.Seq, max(d.stamp, g.Stamp), 0
	until := a.sentAt + h.settings.SendLifetime
	for _, x := range g.Items {
		p := h.parts[x.Server]
		if p == nil || p.allocator != from || x.Sends <= 0 || x.TotalSends < p.granted+p.lost+x.Sends {
			continue
		}
		p.lost = x.TotalSends - p.granted - x.Sends
		p.granted += x.Sends
		h.grants = append(h.grants, decide.Grant{Server: x.ID, Started: x.Started, LentUntil: p.lentUntil, Sends: x.Sends, ValidUntil: until})
	}
	return h.grants
}

// Lent is the number of servers of which this node's part is lent now.
func (h *Lender) LentServers(now time.Duration) (n int) {
	for _, p := range h.parts {
		if now < p.lentUntil {
			n++
		}
	}
	return n
}
