package node

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
)

// poolEvery is how often the module is asked for cold servers.
const poolTickInterval = 100 * time.Millisecond

// granted is an answer of a dealer.
type grantReceived struct {
	from uint64
	*allowance.Grant
}

// fleet is what the pool needs of the membership: who is there, and a way to them.
type fleet interface {
	View() *membership.View
	SendClaim(to uint64, c allowance.Claim)
}

// pool is this node's part in the budgets of cold servers that the nodes pool. It belongs to the loop.
type coldServerPool struct {
	fleet       fleet
	lender      *allowance.Lender
	view        *membership.View // that members are of
	members     []allowance.Member
	coldServers []decide.ColdServer
}

func newColdServerPool(f fleet, c *Config, now time.Duration) *coldServerPool {
	return &coldServerPool{fleet: f, lender: allowance.NewLender(allowance.Settings{Window: c.Settings.CollapseWindow}, c.Seed^uint64(now), now)}
}

// known are the members of the present view; nobody, where there is none.
func (p *coldServerPool) currentMembers() []allowance.Member {
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
func (l *loop) schedulePoolTick() {
	l.claimAllowances()
	l.after(poolTickInterval, timer{run: l.schedulePoolTick})
}

// claim lends this node's parts of cold servers, and asks for sends.
func (l *loop) claimAllowances() {
	p := l.pool
	p.coldServers = l.balancer.ColdServers(l.now, p.coldServers[:0])
	if len(p.coldServers) == 0 && p.lender.LentServers(l.now) == 0 {
		return
	}
	outs, deals := p.lender.Tick(l.now, p.currentMembers(), p.coldServers)
	l.applyGrants(deals)
	for i := range outs {
		p.fleet.SendClaim(outs[i].To, outs[i].Claim)
	}
}

// pooled tells the module what the nodes have settled.
func (l *loop) applyGrants(deals []decide.Grant) {
	if len(deals) > 0 {
		l.execute(l.balancer.HandleGrants(l.now, deals, l.actions[:0]))
	}
}
