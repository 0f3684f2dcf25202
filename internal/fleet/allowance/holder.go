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
	set     Settings
	rng     *rand.Rand
	quiet   time.Duration // until then the last life's parts may still be lent
	parts   map[Server]*part
	dealers map[uint64]*dealer
	members []Member // as Tick was told last, by life
	id      uint64
	seq     uint64
	deals   []decide.Grant
	asked   []asked // claims that may be answered yet, by Seq
}

type asked struct {
	seq uint64
	at  time.Duration
	to  uint64
}

// part is this node's part of one cold server.
type part struct {
	cold    decide.ColdServer
	to      uint64        // the dealer that it is lent to; 0: to none
	lent    time.Duration // until then
	seen    int           // cold.Used as it was last
	used    int           // sends on the loan
	granted int           // sends of the loan that came here
	lost    int           // and those that did not
	want    int
	listed  bool
}

// dealer is one as this node knows it.
type dealer struct {
	stamp   uint64
	next    time.Duration // when the next claim is due
	waiting time.Duration // since when a claim is unanswered; 0: none is
	seq     uint64        // of the last grant taken
	avoid   time.Duration // passed over until then
}

// NewHolder returns the holder of a life that starts now.
func NewLender(set Settings, seed uint64, now time.Duration) *Lender {
	h := &Lender{set: set.Default(), rng: rand.New(rand.NewPCG(seed, 0xc01d)), parts: map[Server]*part{}, dealers: map[uint64]*dealer{}}
	h.quiet = now + h.set.held()
	h.id = h.rng.Uint64() | 1
	return h
}

// Tick takes what the module says of cold servers, and who is a member; nobody, where that is not known. It
// returns claims to send, and what the module is to know. Both are good until the next call.
func (h *Lender) Tick(now time.Duration, members []Member, colds []decide.ColdServer) ([]Outgoing, []decide.Grant) {
	h.deals = h.deals[:0]
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
			if p.lent = now + h.set.SilentAfter/2; len(members) < 2 {
				p.lent = now
			}
			if p.lent = max(p.lent, h.quiet); now < p.lent {
				h.deals = append(h.deals, decide.Grant{Server: server.ID, Started: server.Started, LentUntil: p.lent})
			}
		}
		more := colds[i].GrantsUsed - p.seen
		if more < 0 { // the module had forgotten the server, and counts anew
			more = colds[i].GrantsUsed
		}
		p.used += more
		p.cold, p.seen, p.listed = colds[i], colds[i].GrantsUsed, true
	}
	for server, p := range h.parts {
		if !p.listed && now >= p.lent {
			delete(h.parts, server)
		}
	}
	h.share(colds)
	return h.claims(now), h.deals
}

// claims lends and asks, once a while with each dealer.
func (h *Lender) claims(now time.Duration) []Outgoing {
	h.look(now)
	h.asked = slices.DeleteFunc(h.asked, func(a asked) bool { return now-a.at >= h.set.SilentAfter })
	byDealer := map[uint64][]Server{}
	for server, p := range h.parts {
		if !p.listed {
			continue
		}
		if now >= p.lent && p.to != 0 { // the loan is over, with all that was dealt on it
			p.to = 0
		}
		to := p.to
		if to == 0 {
			to = h.choose(now, server, p.cold.Zone)
		}
		if to != 0 && h.there(to) {
			byDealer[to] = append(byDealer[to], server)
		}
	}
	var all []Outgoing
	for _, to := range slices.Sorted(maps.Keys(byDealer)) {
		servers, d := byDealer[to], h.dealers[to]
		if d == nil {
			d = &dealer{next: now}
			h.dealers[to] = d
		}
		if now < d.next || now < d.avoid {
			continue
		}
		d.next = now + time.Duration((0.75+h.rng.Float64()/2)*float64(h.set.ClaimInterval))
		if d.waiting == 0 {
			d.waiting = now
		}
		slices.SortFunc(servers, func(a, b Server) int { return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started)) })
		for part := range slices.Chunk(servers, MaxClaimItems) {
			all = append(all, Outgoing{to, h.claim(now, to, d, part)})
		}
	}
	return all
}

// claim makes one claim. Without a stamp it lends nothing, and only asks for one.
func (h *Lender) claim(now time.Duration, to uint64, d *dealer, servers []Server) Claim {
	h.seq++
	h.asked = append(h.asked, asked{h.seq, now, to})
	c := Claim{Lender: h.id, Seq: h.seq, Stamp: d.stamp}
	if d.stamp == 0 || now < h.quiet { // what the last life lent is not to be lent again
		return c
	}
	for _, server := range servers {
		p := h.parts[server]
		if p.to == 0 {
			p.to, p.used, p.granted, p.lost = to, 0, 0, 0
		}
		p.lent = now + h.set.held()
		h.deals = append(h.deals, decide.Grant{Server: server.ID, Started: server.Started, LentUntil: p.lent})
		c.Items = append(c.Items, ClaimItem{
			Server: server, Rate: min(p.cold.SendRate, mostRate), Wanted: p.want, Answered: p.cold.Answered,
			Used: p.used, Unused: max(0, p.granted+p.lost-p.used-p.cold.GrantsHeld),
		})
	}
	return c
}

// share says how many sends to ask for: as many as this node is likely to use before they are no good any more, of those
// servers first that it was short of, and in an order that is drawn anew each time.
func (h *Lender) share(colds []decide.ColdServer) {
	soon, held := 0.0, 0
	for i := range colds {
		soon += colds[i].MeanSendRate * (h.set.SendLifetime + h.set.ClaimInterval).Seconds()
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
			p.want = 0
			if left > 0 && c.GrantsHeld == 0 {
				p.want = min(left, max(1, int(c.MeanSendRate*(h.set.SendLifetime+h.set.ClaimInterval).Seconds())))
				left -= p.want
			}
		}
	}
}

// look finds dealers that do not answer, and forgets those that are members no more.
func (h *Lender) look(now time.Duration) {
	for life, d := range h.dealers {
		switch {
		case d.waiting > 0 && now-d.waiting >= h.set.SilentAfter:
			*d = dealer{avoid: now + h.set.AvoidFor, seq: d.seq}
		case !h.there(life) && now >= d.avoid: // what it holds is over by itself
			delete(h.dealers, life)
		}
	}
}

// there tells whether a life is a member.
func (h *Lender) there(life uint64) bool {
	return slices.ContainsFunc(h.members, func(m Member) bool { return m.Life == life })
}

// choose is the dealer for a server: of the members of its own site, or of all where there are none, the one that
// hashing sets highest for this server and that answers.
func (h *Lender) choose(now time.Duration, server Server, site string) (best uint64) {
	most := uint64(0)
	for _, own := range [...]bool{true, false} {
		for _, m := range h.members {
			if own && m.Site != site {
				continue
			}
			if d := h.dealers[m.Life]; d != nil && now < d.avoid {
				continue
			}
			if at := rank(server, m.Life); best == 0 || at > most {
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
func rank(server Server, life uint64) uint64 {
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
	h.deals = h.deals[:0]
	i, open := slices.BinarySearchFunc(h.asked, g.Seq, func(a asked, seq uint64) int { return cmp.Compare(a.seq, seq) })
	d := h.dealers[from]
	if d == nil || !open || h.asked[i].to != from || g.Seq <= d.seq || now < d.avoid {
		return nil
	}
	a := h.asked[i]
	if d.stamp == 0 {
		d.next = now // nothing was lent without it
	}
	d.seq, d.stamp, d.waiting = g.Seq, max(d.stamp, g.Stamp), 0
	until := a.at + h.set.SendLifetime
	for _, x := range g.Items {
		p := h.parts[x.Server]
		if p == nil || p.to != from || x.Sends <= 0 || x.TotalSends < p.granted+p.lost+x.Sends {
			continue
		}
		p.lost = x.TotalSends - p.granted - x.Sends
		p.granted += x.Sends
		h.deals = append(h.deals, decide.Grant{Server: x.ID, Started: x.Started, LentUntil: p.lent, Sends: x.Sends, ValidUntil: until})
	}
	return h.deals
}

// Lent is the number of servers of which this node's part is lent now.
func (h *Lender) LentServers(now time.Duration) (n int) {
	for _, p := range h.parts {
		if now < p.lent {
			n++
		}
	}
	return n
}
