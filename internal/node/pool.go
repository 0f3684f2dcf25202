package node

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
)

// poolEvery is how often the module is asked for cold servers.
const poolEvery = 100 * time.Millisecond

// granted is an answer of a dealer.
type granted struct {
	from uint64
	*allowance.Grant
}

// fleet is what the pool needs of the membership: who is there, and a way to them.
type fleet interface {
	View() *membership.View
	SendClaim(to uint64, c allowance.Claim)
}

// pool is this node's part in the budgets of cold servers that the nodes pool. It belongs to the loop.
type pool struct {
	fleet   fleet
	holder  *allowance.Lender
	view    *membership.View // that members are of
	members []allowance.Member
	colds   []decide.ColdServer
}

func newPool(f fleet, c *Config, now time.Duration) *pool {
	return &pool{fleet: f, holder: allowance.NewLender(allowance.Settings{Window: c.Settings.CollapseWindow}, c.Seed^uint64(now), now)}
}

// known are the members of the present view; nobody, where there is none.
func (p *pool) known() []allowance.Member {
	v := p.fleet.View()
	if v == p.view {
		return p.members
	}
	p.view, p.members = v, nil
	if v != nil {
		for i := range v.Members {
			p.members = append(p.members, allowance.Member{Life: v.Members[i].Life, Site: v.Members[i].Site})
		}
	}
	return p.members
}

// lend looks after cold servers again and again.
func (l *loop) lend() {
	l.claim()
	l.after(poolEvery, timer{do: l.lend})
}

// claim lends this node's parts of cold servers, and asks for sends.
func (l *loop) claim() {
	p := l.pool
	p.colds = l.balancer.ColdServers(l.now, p.colds[:0])
	if len(p.colds) == 0 && p.holder.LentServers(l.now) == 0 {
		return
	}
	outs, deals := p.holder.Tick(l.now, p.known(), p.colds)
	l.pooled(deals)
	for i := range outs {
		p.fleet.SendClaim(outs[i].To, outs[i].Claim)
	}
}

// pooled tells the module what the nodes have settled.
func (l *loop) pooled(deals []decide.Grant) {
	if len(deals) > 0 {
		l.carryOut(l.balancer.HandleGrants(l.now, deals, l.actions[:0]))
	}
}
