package node

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/fleet/allowance"
	"curlewring/internal/fleet/membership"
)

// poolTickInterval is how often the pool looks for cold servers of the balancer.
const poolTickInterval = 100 * time.Millisecond

// grantReceived is the answer to a claim.
type grantReceived struct {
	from uint64
	*allowance.Grant
}

// fleet is the part of the membership that the pool uses.
type fleet interface {
	View() *membership.View
	SendClaim(to uint64, c allowance.Claim)
}

// coldServerPool shares the budgets of cold servers with the other nodes. It belongs to the
// loop.
type coldServerPool struct {
	fleet       fleet
	lender      *allowance.Lender
	view        *membership.View // the view that members was built from
	members     []allowance.Member
	coldServers []decide.ColdServer
}

func newColdServerPool(f fleet, c *Config, now time.Duration) *coldServerPool {
	return &coldServerPool{fleet: f, lender: allowance.NewLender(allowance.Settings{Window: c.Settings.CollapseWindow}, c.Seed^uint64(now), now)}
}

// currentMembers returns the members of the current view; none without a view.
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

// schedulePoolTick calls claimAllowances at once, and again after each poolTickInterval.
func (l *loop) schedulePoolTick() {
	l.claimAllowances()
	l.after(poolTickInterval, timer{run: l.schedulePoolTick})
}

// claimAllowances lends this node's shares of cold servers' budgets, and claims sends from
// other nodes.
func (l *loop) claimAllowances() {
	p := l.pool
	p.coldServers = l.balancer.ColdServers(l.now, p.coldServers[:0])
	if len(p.coldServers) == 0 && p.lender.LentServers(l.now) == 0 {
		return
	}
	claims, grants := p.lender.Tick(l.now, p.currentMembers(), p.coldServers)
	l.applyGrants(grants)
	for i := range claims {
		p.fleet.SendClaim(claims[i].To, claims[i].Claim)
	}
}

// applyGrants passes grants of sends to cold servers to the balancer.
func (l *loop) applyGrants(grants []decide.Grant) {
	if len(grants) > 0 {
		l.execute(l.balancer.HandleGrants(l.now, grants, l.actions[:0]))
	}
}
