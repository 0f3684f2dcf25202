package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/timeline"
)

// simulation runs nodes with clocks of different speeds on a network that loses, duplicates and
// delays messages and may be partitioned. It checks invariants with knowledge of all nodes.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	settings   Settings
	now        time.Duration // simulated true time
	events     timeline.Events
	nodes      []*process
	servers    []Server
	lossy      bool // messages are lost, duplicated or delayed
	partition  int  // 0: none; otherwise nodes with a lower index can't reach the others
	violations []string
	sent       map[Server][]sentRequest
	served     int // granted sends that were used
	claims     int
}

// sentRequest is a request sent to a cold server.
type sentRequest struct {
	at        time.Duration
	allocator *process // that granted the send; nil if the node used its own part
	life      int      // of the allocator's process
}

// process is one node: a lender, an allocator, and a model of the balancer.
type process struct {
	sim           *simulation
	index         int
	life          int // number of starts
	member        uint64
	skew          float64
	offset        time.Duration
	lender        *Lender
	allocator     *Allocator
	paused        bool
	deferred      []func()
	view          []Member
	states        map[Server]*balancerState
	formerLenders []uint64 // IDs of the lenders of its earlier lives
}

// balancerState models the state of one cold server in the balancer of package decide.
type balancerState struct {
	rate, requestRate     float64
	lentUntil, validUntil time.Duration
	granted, used         int
	from                  *process
	fromLife              int
	tokens                float64
	refilledAt            time.Duration
	starved               bool
	answered              int
}

func (s *simulation) after(d time.Duration, do func()) { s.events.At(s.now+d, do) }

func newSimulation(t *testing.T, seed uint64, nodes, servers int, rate float64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 11)), settings: Settings{}.Default(), sent: map[Server][]sentRequest{}}
	for i := range servers {
		s.servers = append(s.servers, Server{fmt.Sprintf("server-%d", i), time.Duration(i+1) * time.Hour})
	}
	for i := range nodes {
		p := &process{sim: s, index: i, skew: 1 + s.settings.ClockDrift/2*(2*s.rng.Float64()-1), offset: time.Duration(s.rng.Int64N(int64(1000 * time.Hour)))}
		s.nodes = append(s.nodes, p)
		p.start(rate)
	}
	for _, p := range s.nodes {
		p.view = s.members()
	}
	return s
}

// members returns the members of the fleet, which belong to two sites in turn.
func (s *simulation) members() (all []Member) {
	for _, p := range s.nodes {
		all = append(all, Member{p.member, fmt.Sprint("s", p.index%2)})
	}
	return all
}

// clock returns the reading of this process's clock.
func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.sim.now)*p.skew)
}

// start begins a new life of the process, with lender, allocator and balancer state anew.
func (p *process) start(rate float64) {
	p.life++
	p.member = uint64(p.index+1)<<32 | uint64(p.life)
	if p.lender != nil {
		p.formerLenders = append(p.formerLenders, p.lender.id)
	}
	p.lender = NewLender(Settings{}, p.sim.rng.Uint64(), p.clock())
	p.allocator = NewAllocator(Settings{})
	p.states = map[Server]*balancerState{}
	p.paused, p.deferred = false, nil
	for _, server := range p.sim.servers {
		p.states[server] = &balancerState{rate: rate * (0.5 + p.sim.rng.Float64()), requestRate: 2, refilledAt: p.clock()}
	}
	life := p.life
	p.tick() // before the first request: its earlier life may have lent the parts
	var tick, send func()
	tick = func() {
		if p.life != life {
			return
		}
		p.run(life, p.tick)
		p.sim.after(time.Duration((0.8+0.4*p.sim.rng.Float64())*float64(100*time.Millisecond)), tick)
	}
	send = func() {
		if p.life != life {
			return
		}
		p.run(life, p.request)
		p.sim.after(time.Duration(p.sim.rng.ExpFloat64()/3*float64(time.Second)), send)
	}
	p.sim.after(time.Duration(p.sim.rng.Int64N(int64(100*time.Millisecond))), tick)
	p.sim.after(time.Duration(p.sim.rng.Int64N(int64(time.Second))), send)
}

// run calls do for a life of the process; while the process is paused it is deferred.
func (p *process) run(life int, do func()) {
	if p.life != life {
		return
	}
	if p.paused {
		p.deferred = append(p.deferred, func() { p.run(life, do) })
		return
	}
	do()
}

// tick runs the lender and delivers its claims.
func (p *process) tick() {
	now := p.clock()
	var coldServers []decide.ColdServer
	for _, server := range p.sim.servers {
		state := p.states[server]
		coldServers = append(coldServers, decide.ColdServer{
			Server: server.ID, Started: server.Started, Zone: "s0", SendRate: state.rate, MeanSendRate: state.requestRate, GrantsUsed: state.used, GrantsHeld: state.held(now), Starved: state.starved, Answered: state.answered,
		})
		state.starved = false
	}
	claims, grants := p.lender.Tick(now, p.view, coldServers)
	p.applyGrants(grants, nil, 0)
	for _, server := range p.sim.servers {
		p.checkPartHolders(server)
	}
	for _, out := range claims {
		p.sim.claims++
		claim := out.Claim
		claim.Items = slices.Clone(claim.Items)
		p.sim.deliver(p, out.To, func(allocator *process) {
			grant, ok := allocator.allocator.HandleClaim(allocator.clock(), &claim)
			if !ok {
				return
			}
			from, life := allocator.member, allocator.life
			p.sim.deliver(allocator, p.member, func(p *process) {
				p.applyGrants(p.lender.HandleGrant(p.clock(), from, &grant), allocator, life)
			})
		})
	}
}

// applyGrants updates the balancer state with the grants of an allocator; from is nil for loans alone.
func (p *process) applyGrants(grants []decide.Grant, from *process, life int) {
	now := p.clock()
	for _, grant := range grants {
		state := p.states[Server{grant.Server, grant.Started}]
		held := state.held(now)
		if now >= state.lentUntil && grant.LentUntil > now {
			state.tokens = 0
		}
		state.lentUntil = max(state.lentUntil, grant.LentUntil)
		if grant.Sends == 0 || now >= grant.ValidUntil {
			continue
		}
		state.from, state.fromLife = from, life
		if state.granted = held + grant.Sends; held == 0 {
			state.validUntil = grant.ValidUntil
		} else {
			state.validUntil = min(state.validUntil, grant.ValidUntil)
		}
	}
}

// held returns the number of granted sends that have not expired.
func (r *balancerState) held(now time.Duration) int {
	if now >= r.validUntil || now >= r.lentUntil {
		r.granted = 0
	}
	return r.granted
}

// request sends to a random server if a granted send or the node's own part permits it.
func (p *process) request() {
	now := p.clock()
	server := p.sim.servers[p.sim.rng.IntN(len(p.sim.servers))]
	state := p.states[server]
	p.checkPartHolders(server)
	if now < state.lentUntil {
		state.tokens, state.refilledAt = 0, now
		if state.held(now) == 0 {
			state.starved = true
			return
		}
		state.granted--
		state.used++
		p.sim.served++
		life := p.life
		p.sim.after(100*time.Millisecond, func() { p.run(life, func() { state.answered++ }) })
		p.sim.sent[server] = append(p.sim.sent[server], sentRequest{p.sim.now, state.from, state.fromLife})
		return
	}
	state.tokens = min(state.tokens+state.rate*(now-state.refilledAt).Seconds(), 1)
	state.refilledAt = now
	if state.tokens < 1 {
		return
	}
	state.tokens--
	p.sim.sent[server] = append(p.sim.sent[server], sentRequest{p.sim.now, nil, 0})
}

// checkPartHolders records a violation if a node's part of a server is counted more than once: by the
// node itself or as a loan by any allocator.
func (p *process) checkPartHolders(server Server) {
	counted := 0
	if p.clock() >= p.states[server].lentUntil {
		counted = 1
	}
	for _, other := range p.sim.nodes {
		pool := other.allocator.pools[server]
		if pool == nil {
			continue
		}
		for _, loan := range pool.loans {
			if loan.endsAt <= other.clock() || loan.lender != p.lender.id && !slices.Contains(p.formerLenders, loan.lender) {
				continue
			}
			if counted++; counted > 1 {
				p.sim.violations = append(p.sim.violations, fmt.Sprintf("%v: part of node %d, lent for another %v by its own clock, is counted %d times, by node %d for another %v",
					p.sim.now, p.index, p.states[server].lentUntil-p.clock(), counted, other.index, loan.endsAt-other.clock()))
			}
		}
	}
}

// deliver transports a message to a member, with the faults of the network.
func (s *simulation) deliver(from *process, to uint64, do func(*process)) {
	copies := 1
	if s.lossy {
		switch draw := s.rng.Float64(); {
		case draw < 0.2:
			copies = 0
		case draw < 0.35:
			copies = 2
		}
	}
	for range copies {
		delay := time.Duration(s.rng.Int64N(int64(3 * time.Millisecond)))
		if s.lossy && s.rng.IntN(4) == 0 {
			delay = time.Duration(s.rng.Int64N(int64(4 * time.Second)))
		}
		s.after(delay, func() {
			for _, receiver := range s.nodes {
				if receiver.member != to || s.partition > 0 && (receiver.index < s.partition) != (from.index < s.partition) && receiver != from {
					continue
				}
				receiver.run(receiver.life, func() { do(receiver) })
			}
		})
	}
}

func (s *simulation) run(until time.Duration) { s.events.Run(until, &s.now) }

// injectFault changes the network or a random node in a random way.
func (s *simulation) injectFault(rate float64) {
	p := s.nodes[s.rng.IntN(len(s.nodes))]
	switch s.rng.IntN(8) {
	case 0:
		s.lossy = !s.lossy
	case 1:
		s.partition = s.rng.IntN(len(s.nodes))
	case 2:
		s.partition = 0
	case 3:
		p.start(rate)
	case 4, 5:
		if p.paused {
			break
		}
		p.paused = true
		life := p.life
		s.after(time.Duration(s.rng.Int64N(int64(6*time.Second))), func() {
			if p.life != life {
				return
			}
			p.paused = false
			for _, do := range p.deferred {
				do()
			}
			p.deferred = nil
		})
	default: // the node's view of the members becomes wrong
		members := s.members()
		s.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		p.view = members[:s.rng.IntN(len(members)+1)]
	}
}

// schedules returns the number of simulated runs.
func schedules(t *testing.T) int {
	if os.Getenv("CURLEWRING_LONG") != "" {
		return 3000
	}
	return 150
}

// A part must be with its node or with one allocator, never both, whatever messages are lost,
// duplicated or delayed, whichever nodes are partitioned, paused or restarted, and whatever view of
// the members each node has.
func TestPartHasOneHolder(t *testing.T) {
	served, claims := 0, 0
	for seed := range schedules(t) {
		rng := rand.New(rand.NewPCG(uint64(seed), 5))
		rate := []float64{0.02, 0.1, 0.4, 1.5}[rng.IntN(4)]
		s := newSimulation(t, uint64(seed), 3+rng.IntN(8), 1+rng.IntN(3), rate)
		for s.now < 60*time.Second {
			s.run(s.now + time.Duration(rng.Int64N(int64(2*time.Second))))
			s.injectFault(rate)
		}
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %d violations, first: %s", seed, len(s.violations), s.violations[0])
		}
		served, claims = served+s.served, claims+s.claims
	}
	t.Logf("%d granted sends used, %d claims", served, claims)
	if served < 10*schedules(t) {
		t.Errorf("only %d granted sends were used", served)
	}
}

// Without faults, most of the summed rate of the parts is used, in whole requests. After the death
// of an allocator the nodes use another one within the length of a loan.
func TestSummedRateIsUsed(t *testing.T) {
	for _, rate := range []float64{0.05, 0.25} {
		s := newSimulation(t, 9, 12, 1, rate)
		sum := 0.0
		for _, p := range s.nodes {
			sum += p.states[s.servers[0]].rate
		}
		s.run(10 * time.Second)
		before := len(s.sent[s.servers[0]])
		s.run(70 * time.Second)
		got := float64(len(s.sent[s.servers[0]])-before) / 60
		t.Logf("%.2f sends per second of %.2f allowed", got, sum)
		if got < 0.6*sum || got > sum+0.1 {
			t.Errorf("rate %v: %.2f sends per second of %.2f allowed", rate, got, sum)
		}
		allocator := s.nodes[0].lender.parts[s.servers[0]].allocator
		if allocator == 0 {
			t.Fatal("no part is lent")
		}
		for _, p := range s.nodes {
			if p.member == allocator { // it stops without notice
				p.life++
				p.paused = true
			}
		}
		diedAt := s.now
		s.run(diedAt + 8*time.Second)
		granted := 0
		for _, request := range s.sent[s.servers[0]] {
			if request.at > diedAt+5*time.Second && request.allocator != nil {
				granted++
			}
		}
		if granted == 0 {
			t.Error("no sends are granted 5 s after the death of the allocator")
		}
		if len(s.violations) > 0 {
			t.Error(s.violations[0])
		}
	}
}

// In no window may more sends be used than the parts allow, rounded up to whole sends, whenever sends
// are used and however incomplete the lenders' reports are.
func TestAllocatorLimitsSendsPerWindow(t *testing.T) {
	for seed := range schedules(t) {
		rng := rand.New(rand.NewPCG(uint64(seed), 17))
		settings := Settings{}.Default()
		lenderCount, rate := 1+rng.IntN(20), []float64{0.03, 0.2, 1.1, 3}[rng.IntN(4)]
		late, silent := rng.Float64(), rng.Float64()/2 // probabilities: last-moment sends, empty reports
		type lender struct {
			seq, stamp   uint64
			used, unused int
			next         time.Duration
			out          []time.Duration // when each send is used; if negative, when it is returned unused
		}
		lenders := make([]lender, lenderCount)
		allocator := NewAllocator(Settings{})
		var uses []time.Duration
		granted := 0
		for now := time.Hour; now < time.Hour+90*time.Second; now += 5 * time.Millisecond {
			for i := range lenders {
				l := &lenders[i]
				l.out = slices.DeleteFunc(l.out, func(at time.Duration) bool {
					switch {
					case at >= 0 && at <= now:
						uses = append(uses, at)
						l.used++
					case at < 0 && -at <= now:
						l.unused++
					default:
						return false
					}
					return true
				})
				if now < l.next {
					continue
				}
				l.next = now + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
				l.seq++
				item := ClaimItem{Server: Server{"b", 1}, Rate: rate / float64(lenderCount), Wanted: 1 + rng.IntN(4), Used: l.used, Unused: l.unused, Answered: l.used}
				if rng.Float64() < silent {
					item.Used, item.Unused = 0, 0
				}
				g, ok := allocator.HandleClaim(now, &Claim{Lender: uint64(i + 1), Seq: l.seq, Stamp: l.stamp, Items: []ClaimItem{item}})
				if !ok {
					t.Fatal("the claim was not answered")
				}
				l.stamp = g.Stamp
				if rng.Float64() < silent/2 { // the grant is lost
					for _, x := range g.Items {
						l.unused += x.Sends
					}
					continue
				}
				for _, x := range g.Items {
					granted += x.Sends
					for range x.Sends {
						wait := time.Duration(rng.Int64N(int64(settings.SendLifetime)))
						switch {
						case rng.Float64() < late:
							wait = settings.SendLifetime - 1
						case rng.IntN(3) == 0:
							wait = -wait - 2*now
						}
						l.out = append(l.out, now+wait)
					}
				}
			}
		}
		slices.Sort(uses)
		bound := max(1, int(math.Ceil(rate*settings.Window.Seconds()-1e-6)))
		for i := range uses {
			if j := i + bound; j < len(uses) && uses[j]-uses[i] < settings.Window {
				t.Fatalf("seed %d: rate %v, %d lenders: more than %d sends used within %v", seed, rate, lenderCount, bound, uses[j]-uses[i])
			}
		}
		if maxGranted := int(rate*90) + bound; granted > maxGranted || granted < maxGranted/8 {
			t.Fatalf("seed %d: rate %v: %d sends granted in 90 s, allowed are %d", seed, rate, granted, maxGranted)
		}
	}
}

// The sends to a server are limited by its answers to all nodes together: a server that does not
// answer gets few, whatever the summed rate of its parts.
func TestAnswersLimitSends(t *testing.T) {
	for _, answers := range []bool{true, false} {
		allocator := NewAllocator(Settings{})
		now, stamp, granted, answered := time.Hour, uint64(0), [3]int{}, 0
		for seq := uint64(1); seq < 200; seq++ {
			now += 50 * time.Millisecond
			for lender := range uint64(3) {
				g, _ := allocator.HandleClaim(now, &Claim{Lender: lender + 1, Seq: seq, Stamp: stamp, Items: []ClaimItem{{
					Server: Server{"b", 1}, Rate: 5, Wanted: 1, Used: granted[lender], Answered: answered,
				}}})
				stamp = g.Stamp
				for _, x := range g.Items {
					granted[lender] += x.Sends
				}
				if answers && lender == 0 { // only reported by the first lender: the sum counts
					answered = granted[0]
				}
			}
		}
		total := granted[0] + granted[1] + granted[2]
		t.Logf("answers %v: %d sends granted in 10 s", answers, total)
		if answers && total < 50 || !answers && total > 11*initialSends {
			t.Errorf("answers %v: %d sends granted in 10 s", answers, total)
		}
	}
}

// A loan that would end before a send granted now has left the window must not be used for grants.
func TestLoanOutlastsGrantedSends(t *testing.T) {
	allocator := NewAllocator(Settings{})
	settings := allocator.settings
	for i, x := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {settings.RenewalSlack, true}, {settings.RenewalSlack + 1, false}, {settings.loanTerm() - 1, false}, {time.Hour, false}} {
		now := time.Duration(i+10) * time.Hour
		server := Server{"b", time.Duration(i)}
		lend := func(at time.Duration, seq uint64) Grant {
			g, _ := allocator.HandleClaim(at, &Claim{Lender: 1, Seq: uint64(10*i) + seq, Stamp: stampOf(now - x.age), Items: []ClaimItem{{Server: server, Rate: 9, Wanted: 1}}})
			return g
		}
		lend(now-x.age, 1)
		if g := lend(now, 2); (len(g.Items) > 0) != (x.want && x.age > 0) && x.age > 0 {
			t.Errorf("loan with a stamp of %v ago: granted %+v", x.age, g.Items)
		}
	}
}

// The lifetime of a granted send starts when its claim is sent, so time on the way counts. Lost sends
// are reported as unused, and unexpected answers are ignored.
func TestSendLifetimeStartsAtClaim(t *testing.T) {
	now := time.Hour
	lender := NewLender(Settings{}, 1, now)
	now += lender.settings.lenderTerm()
	members := []Member{{7, "s"}}
	cold := []decide.ColdServer{{Server: "b", Zone: "s", Started: 1, SendRate: 5, MeanSendRate: 5}}
	step := func(g Grant, after time.Duration) (Claim, []decide.Grant) {
		out, _ := lender.Tick(now, members, cold)
		if len(out) != 1 || out[0].To != 7 {
			t.Fatalf("%+v", out)
		}
		now += after
		g.Seq = out[0].Claim.Seq
		return out[0].Claim, slices.Clone(lender.HandleGrant(now, 7, &g))
	}
	if c, _ := step(Grant{Stamp: 1}, 0); len(c.Items) != 0 || c.Stamp != 0 {
		t.Errorf("the first claim lends: %+v", c)
	}
	now += time.Second
	sentAt := now
	c, grants := step(Grant{Stamp: 2, Items: []Allotment{{Server{"b", 1}, 2, 5}}}, 300*time.Millisecond)
	if c.Stamp != 1 || len(c.Items) != 1 || c.Items[0].Rate != 5 || c.Items[0].Wanted == 0 {
		t.Errorf("%+v", c)
	}
	if len(grants) != 1 || grants[0].Sends != 2 || grants[0].ValidUntil != sentAt+lender.settings.SendLifetime {
		t.Errorf("claim sent at %v: grants %+v", sentAt, grants)
	}
	// Three of five sends were lost; of the other two one was used, the other is still held.
	cold[0].GrantsUsed, cold[0].GrantsHeld = 1, 1
	now += time.Second
	if c, _ = step(Grant{Stamp: 3}, 0); c.Items[0].Used != 1 || c.Items[0].Unused != 3 {
		t.Errorf("%+v", c)
	}
	// An answer from another member and a repeated answer must be ignored.
	if grants := lender.HandleGrant(now, 8, &Grant{Seq: c.Seq, Items: []Allotment{{Server{"b", 1}, 1, 6}}}); len(grants) > 0 {
		t.Error("a grant of another member was accepted")
	}
	if grants := lender.HandleGrant(now, 7, &Grant{Seq: c.Seq, Items: []Allotment{{Server{"b", 1}, 1, 6}}}); len(grants) > 0 {
		t.Error("a grant was accepted twice")
	}
}

// An allocator's memory is bounded, and pools without loans are dropped.
func TestAllocatorDropsUnusedPools(t *testing.T) {
	allocator := NewAllocator(Settings{})
	now := time.Hour
	for i := range maxPools + 1000 {
		c := &Claim{Lender: uint64(1 + i%500), Seq: uint64(1 + i/500), Stamp: stampOf(now), Items: []ClaimItem{{Server: Server{fmt.Sprint("b", i), 1}, Rate: 1, Wanted: 1}}}
		if _, ok := allocator.HandleClaim(now, c); !ok {
			t.Fatal("the claim was not answered")
		}
	}
	if allocator.Pools() != maxPools {
		t.Errorf("%d pools, want the maximum of %d", allocator.Pools(), maxPools)
	}
	now += time.Minute
	allocator.HandleClaim(now, &Claim{Lender: 1, Seq: 1000})
	if allocator.Pools() != 0 {
		t.Errorf("%d pools after a minute, want 0", allocator.Pools())
	}
	if statuses := allocator.PoolStatuses(now); len(statuses) != 0 {
		t.Errorf("%+v", statuses)
	}
}
