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

// world plays nodes with clocks of their own, a network that loses, doubles, delays and cuts, and an onlooker who
// knows all of it.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	set        Settings
	now        time.Duration // true time
	events     timeline.Events
	nodes      []*process
	servers    []Server
	lossy      bool // the weather: messages are lost, doubled, late
	partition  int  // 0: nobody is cut off; else nodes below it are from the others
	violations []string
	sent       map[Server][]sentRequest
	served     int // dealt sends that were used
	claims     int
}

type sentRequest struct {
	at        time.Duration
	allocator *process // nil: of the node's own part
	life      int      // of the dealer's process
}

// process is one node: the parts, a dealer, and what stands for the module.
type process struct {
	sim           *simulation
	index         int
	life          int // of the process
	member        uint64
	skew          float64
	offset        time.Duration
	lender        *Lender
	allocator     *Allocator
	paused        bool
	deferred      []func()
	view          []Member
	states        map[Server]*moduleState
	formerLenders []uint64 // holders of its last lives
}

// row is a cold server as a module keeps it; see decide/pool.go.
type moduleState struct {
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

func (w *simulation) after(d time.Duration, do func()) { w.events.At(w.now+d, do) }

func newSimulation(t *testing.T, seed uint64, nodes, servers int, rate float64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 11)), set: Settings{}.Default(), sent: map[Server][]sentRequest{}}
	for i := range servers {
		w.servers = append(w.servers, Server{fmt.Sprintf("server-%d", i), time.Duration(i+1) * time.Hour})
	}
	for i := range nodes {
		p := &process{sim: w, index: i, skew: 1 + w.set.ClockDrift/2*(2*w.rng.Float64()-1), offset: time.Duration(w.rng.Int64N(int64(1000 * time.Hour)))}
		w.nodes = append(w.nodes, p)
		p.start(rate)
	}
	for _, p := range w.nodes {
		p.view = w.members()
	}
	return w
}

func (w *simulation) members() (all []Member) {
	for _, p := range w.nodes {
		all = append(all, Member{p.member, fmt.Sprint("s", p.index%2)})
	}
	return all
}

// clock is what this process's clock shows.
func (p *process) clock() time.Duration {
	return p.offset + time.Duration(float64(p.sim.now)*p.skew)
}

func (p *process) start(rate float64) {
	p.life++
	p.member = uint64(p.index+1)<<32 | uint64(p.life)
	if p.lender != nil {
		p.formerLenders = append(p.formerLenders, p.lender.id)
	}
	p.lender = NewLender(Settings{}, p.sim.rng.Uint64(), p.clock())
	p.allocator = NewAllocator(Settings{})
	p.states = map[Server]*moduleState{}
	p.paused, p.deferred = false, nil
	for _, b := range p.sim.servers {
		p.states[b] = &moduleState{rate: rate * (0.5 + p.sim.rng.Float64()), requestRate: 2, refilledAt: p.clock()}
	}
	life := p.life
	p.tick() // before it takes a request: its last life may have lent what it would use
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

// run does something at a process, once it does not stand still.
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

func (p *process) tick() {
	now := p.clock()
	var colds []decide.ColdServer
	for _, b := range p.sim.servers {
		r := p.states[b]
		colds = append(colds, decide.ColdServer{
			Server: b.ID, Started: b.Started, Zone: "s0", SendRate: r.rate, MeanSendRate: r.requestRate, GrantsUsed: r.used, GrantsHeld: r.held(now), Starved: r.starved, Answered: r.answered,
		})
		r.starved = false
	}
	outs, deals := p.lender.Tick(now, p.view, colds)
	p.applyGrants(deals, nil, 0)
	for _, b := range p.sim.servers {
		p.checkPartHolders(b)
	}
	for _, o := range outs {
		p.sim.claims++
		claim := o.Claim
		claim.Items = slices.Clone(claim.Items)
		p.sim.deliver(p, o.To, func(d *process) {
			g, ok := d.allocator.HandleClaim(d.clock(), &claim)
			if !ok {
				return
			}
			from, dealerLife := d.member, d.life
			p.sim.deliver(d, p.member, func(p *process) {
				p.applyGrants(p.lender.HandleGrant(p.clock(), from, &g), d, dealerLife)
			})
		})
	}
}

func (p *process) applyGrants(deals []decide.Grant, from *process, life int) {
	now := p.clock()
	for _, d := range deals {
		r := p.states[Server{d.Server, d.Started}]
		had := r.held(now)
		if now >= r.lentUntil && d.LentUntil > now {
			r.tokens = 0
		}
		r.lentUntil = max(r.lentUntil, d.LentUntil)
		if d.Sends == 0 || now >= d.ValidUntil {
			continue
		}
		r.from, r.fromLife = from, life
		if r.granted = had + d.Sends; had == 0 {
			r.validUntil = d.ValidUntil
		} else {
			r.validUntil = min(r.validUntil, d.ValidUntil)
		}
	}
}

func (r *moduleState) held(now time.Duration) int {
	if now >= r.validUntil || now >= r.lentUntil {
		r.granted = 0
	}
	return r.granted
}

// request sends to some server, if that may be.
func (p *process) request() {
	now := p.clock()
	b := p.sim.servers[p.sim.rng.IntN(len(p.sim.servers))]
	r := p.states[b]
	p.checkPartHolders(b)
	if now < r.lentUntil {
		r.tokens, r.refilledAt = 0, now
		if r.held(now) == 0 {
			r.starved = true
			return
		}
		r.granted--
		r.used++
		p.sim.served++
		life := p.life
		p.sim.after(100*time.Millisecond, func() { p.run(life, func() { r.answered++ }) })
		p.sim.sent[b] = append(p.sim.sent[b], sentRequest{p.sim.now, r.from, r.fromLife})
		return
	}
	r.tokens = min(r.tokens+r.rate*(now-r.refilledAt).Seconds(), 1)
	r.refilledAt = now
	if r.tokens < 1 {
		return
	}
	r.tokens--
	p.sim.sent[b] = append(p.sim.sent[b], sentRequest{p.sim.now, nil, 0})
}

// onlooker looks whether a part that its node may use is counted as lent by anyone, or any by two.
func (p *process) checkPartHolders(b Server) {
	counted := 0
	if p.clock() >= p.states[b].lentUntil {
		counted = 1
	}
	for _, q := range p.sim.nodes {
		pl := q.allocator.pools[b]
		if pl == nil {
			continue
		}
		for _, l := range pl.loans {
			if l.endsAt <= q.clock() || l.lender != p.lender.id && !slices.Contains(p.formerLenders, l.lender) {
				continue
			}
			if counted++; counted > 1 {
				p.sim.violations = append(p.sim.violations, fmt.Sprintf("%v: node %d's part, lent for %v more by its own clock, is counted by %d, by node %d for %v more",
					p.sim.now, p.index, p.states[b].lentUntil-p.clock(), counted, q.index, l.endsAt-q.clock()))
			}
		}
	}
}

// carry brings a message from a process to a member, as the weather has it.
func (w *simulation) deliver(from *process, to uint64, do func(*process)) {
	copies := 1
	if w.lossy {
		switch x := w.rng.Float64(); {
		case x < 0.2:
			copies = 0
		case x < 0.35:
			copies = 2
		}
	}
	for range copies {
		wait := time.Duration(w.rng.Int64N(int64(3 * time.Millisecond)))
		if w.lossy && w.rng.IntN(4) == 0 {
			wait = time.Duration(w.rng.Int64N(int64(4 * time.Second)))
		}
		w.after(wait, func() {
			for _, q := range w.nodes {
				if q.member != to || w.partition > 0 && (q.index < w.partition) != (from.index < w.partition) && q != from {
					continue
				}
				q.run(q.life, func() { do(q) })
			}
		})
	}
}

func (w *simulation) run(until time.Duration) { w.events.Run(until, &w.now) }

// trouble draws something that happens to the nodes.
func (w *simulation) injectFault(rate float64) {
	p := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(8) {
	case 0:
		w.lossy = !w.lossy
	case 1:
		w.partition = w.rng.IntN(len(w.nodes))
	case 2:
		w.partition = 0
	case 3:
		p.start(rate)
	case 4, 5:
		if p.paused {
			break
		}
		p.paused = true
		life := p.life
		w.after(time.Duration(w.rng.Int64N(int64(6*time.Second))), func() {
			if p.life != life {
				return
			}
			p.paused = false
			for _, do := range p.deferred {
				do()
			}
			p.deferred = nil
		})
	default: // it believes something else of the members, and not all of it is right
		all := w.members()
		w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		p.view = all[:w.rng.IntN(len(all)+1)]
	}
}

func schedules(t *testing.T) int {
	if os.Getenv("CURLEWRING_LONG") != "" {
		return 3000
	}
	return 150
}

// Whatever is lost, doubled, late, cut, paused or started anew, and whatever a node believes of the members: a part
// is with its node or with one dealer, never with both.
func TestAPartIsInOnePlace(t *testing.T) {
	served, asks := 0, 0
	for seed := range schedules(t) {
		rng := rand.New(rand.NewPCG(uint64(seed), 5))
		rate := []float64{0.02, 0.1, 0.4, 1.5}[rng.IntN(4)]
		w := newSimulation(t, uint64(seed), 3+rng.IntN(8), 1+rng.IntN(3), rate)
		for w.now < 60*time.Second {
			w.run(w.now + time.Duration(rng.Int64N(int64(2*time.Second))))
			w.injectFault(rate)
		}
		if len(w.violations) > 0 {
			t.Fatalf("seed %d: %d times, first: %s", seed, len(w.violations), w.violations[0])
		}
		served, asks = served+w.served, asks+w.claims
	}
	t.Logf("%d dealt sends used, %d claims", served, asks)
	if served < 10*schedules(t) {
		t.Errorf("only %d dealt sends were used", served)
	}
}

// With nothing wrong, all that is lent is of use: nearly the whole sum is sent, in whole requests, and after a dealer's
// death the nodes have another within a loan's time.
func TestTheWholeSumIsSent(t *testing.T) {
	for _, rate := range []float64{0.05, 0.25} {
		w := newSimulation(t, 9, 12, 1, rate)
		sum := 0.0
		for _, p := range w.nodes {
			sum += p.states[w.servers[0]].rate
		}
		w.run(10 * time.Second)
		before := len(w.sent[w.servers[0]])
		w.run(70 * time.Second)
		got := float64(len(w.sent[w.servers[0]])-before) / 60
		t.Logf("%.2f sends a second of %.2f that may be", got, sum)
		if got < 0.6*sum || got > sum+0.1 {
			t.Errorf("rate %v: %.2f sends a second of %.2f", rate, got, sum)
		}
		dealer := w.nodes[0].lender.parts[w.servers[0]].allocator
		if dealer == 0 {
			t.Fatal("nothing is lent")
		}
		for _, p := range w.nodes {
			if p.member == dealer { // nobody is told: it only falls silent
				p.life++
				p.paused = true
			}
		}
		at := w.now
		w.run(at + 8*time.Second)
		n := 0
		for _, s := range w.sent[w.servers[0]] {
			if s.at > at+5*time.Second && s.allocator != nil {
				n++
			}
		}
		if n == 0 {
			t.Error("5 s after a dealer's death nothing is dealt")
		}
		if len(w.violations) > 0 {
			t.Error(w.violations[0])
		}
	}
}

// Whatever becomes of what it deals, and whatever it is told of that or not: within no window is more used than the parts
// allow, rounded up to whole sends.
func TestDealerKeepsToTheWindow(t *testing.T) {
	for seed := range schedules(t) {
		rng := rand.New(rand.NewPCG(uint64(seed), 17))
		set := Settings{}.Default()
		holders, rate := 1+rng.IntN(20), []float64{0.03, 0.2, 1.1, 3}[rng.IntN(4)]
		late, silent := rng.Float64(), rng.Float64()/2 // how often sends wait for their last moment, and claims tell nothing
		type holder struct {
			seq, stamp uint64
			used, back int
			next       time.Duration
			out        []time.Duration // when each is used; negative: it comes back then
		}
		all := make([]holder, holders)
		d := NewAllocator(Settings{})
		var uses []time.Duration
		dealt := 0
		for now := time.Hour; now < time.Hour+90*time.Second; now += 5 * time.Millisecond {
			for i := range all {
				h := &all[i]
				h.out = slices.DeleteFunc(h.out, func(at time.Duration) bool {
					switch {
					case at >= 0 && at <= now:
						uses = append(uses, at)
						h.used++
					case at < 0 && -at <= now:
						h.back++
					default:
						return false
					}
					return true
				})
				if now < h.next {
					continue
				}
				h.next = now + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
				h.seq++
				it := ClaimItem{Server: Server{"b", 1}, Rate: rate / float64(holders), Wanted: 1 + rng.IntN(4), Used: h.used, Unused: h.back, Answered: h.used}
				if rng.Float64() < silent {
					it.Used, it.Unused = 0, 0
				}
				g, ok := d.HandleClaim(now, &Claim{Lender: uint64(i + 1), Seq: h.seq, Stamp: h.stamp, Items: []ClaimItem{it}})
				if !ok {
					t.Fatal("not answered")
				}
				h.stamp = g.Stamp
				if rng.Float64() < silent/2 { // the grant is lost
					for _, x := range g.Items {
						h.back += x.Sends
					}
					continue
				}
				for _, x := range g.Items {
					dealt += x.Sends
					for range x.Sends {
						wait := time.Duration(rng.Int64N(int64(set.SendLifetime)))
						switch {
						case rng.Float64() < late:
							wait = set.SendLifetime - 1
						case rng.IntN(3) == 0:
							wait = -wait - 2*now
						}
						h.out = append(h.out, now+wait)
					}
				}
			}
		}
		slices.Sort(uses)
		bound := max(1, int(math.Ceil(rate*set.Window.Seconds()-1e-6)))
		for i := range uses {
			if j := i + bound; j < len(uses) && uses[j]-uses[i] < set.Window {
				t.Fatalf("seed %d: rate %v of %d holders: more than %d used within %v", seed, rate, holders, bound, uses[j]-uses[i])
			}
		}
		if most := int(rate*90) + bound; dealt > most || dealt < most/8 {
			t.Fatalf("seed %d: rate %v: %d dealt in 90 s, at most %d", seed, rate, dealt, most)
		}
	}
}

// What a server answers to all nodes together tells what it may get: one that answers little, whatever its parts sum up to.
func TestSlowServersGetLittle(t *testing.T) {
	for _, answers := range []bool{true, false} {
		d := NewAllocator(Settings{})
		now, stamp, dealt, answered := time.Hour, uint64(0), [3]int{}, 0
		for seq := uint64(1); seq < 200; seq++ {
			now += 50 * time.Millisecond
			for h := range uint64(3) {
				g, _ := d.HandleClaim(now, &Claim{Lender: h + 1, Seq: seq, Stamp: stamp, Items: []ClaimItem{{
					Server: Server{"b", 1}, Rate: 5, Wanted: 1, Used: dealt[h], Answered: answered,
				}}})
				stamp = g.Stamp
				for _, x := range g.Items {
					dealt[h] += x.Sends
				}
				if answers && h == 0 { // to the first alone: it is the sum that counts
					answered = dealt[0]
				}
			}
		}
		all := dealt[0] + dealt[1] + dealt[2]
		t.Logf("answers %v: %d dealt in 10 s", answers, all)
		if answers && all < 50 || !answers && all > 11*initialSends {
			t.Errorf("answers %v: %d dealt in 10 s", answers, all)
		}
	}
}

// A loan that ends before what is dealt on it would have left the window counts no more.
func TestLoanOutlastsWhatIsDealt(t *testing.T) {
	d := NewAllocator(Settings{})
	set := d.settings
	for i, x := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {set.RenewalSlack, true}, {set.RenewalSlack + 1, false}, {set.loanTerm() - 1, false}, {time.Hour, false}} {
		now := time.Duration(i+10) * time.Hour
		server := Server{"b", time.Duration(i)}
		lend := func(at time.Duration, seq uint64) Grant {
			g, _ := d.HandleClaim(at, &Claim{Lender: 1, Seq: uint64(10*i) + seq, Stamp: stampOf(now - x.age), Items: []ClaimItem{{Server: server, Rate: 9, Wanted: 1}}})
			return g
		}
		lend(now-x.age, 1)
		if g := lend(now, 2); (len(g.Items) > 0) != (x.want && x.age > 0) && x.age > 0 {
			t.Errorf("a loan by a stamp of %v ago: %+v", x.age, g.Items)
		}
	}
}

// A send is good from before it was asked for, for as long as that took on the way.
func TestGoodFromBeforeTheAsking(t *testing.T) {
	now := time.Hour
	h := NewLender(Settings{}, 1, now)
	now += h.settings.lenderTerm()
	members := []Member{{7, "s"}}
	cold := []decide.ColdServer{{Server: "b", Zone: "s", Started: 1, SendRate: 5, MeanSendRate: 5}}
	step := func(g Grant, after time.Duration) (Claim, []decide.Grant) {
		out, _ := h.Tick(now, members, cold)
		if len(out) != 1 || out[0].To != 7 {
			t.Fatalf("%+v", out)
		}
		now += after
		g.Seq = out[0].Claim.Seq
		return out[0].Claim, slices.Clone(h.HandleGrant(now, 7, &g))
	}
	if c, _ := step(Grant{Stamp: 1}, 0); len(c.Items) != 0 || c.Stamp != 0 {
		t.Errorf("a first claim lends: %+v", c)
	}
	now += time.Second
	asked := now
	c, deals := step(Grant{Stamp: 2, Items: []Allotment{{Server{"b", 1}, 2, 5}}}, 300*time.Millisecond)
	if c.Stamp != 1 || len(c.Items) != 1 || c.Items[0].Rate != 5 || c.Items[0].Wanted == 0 {
		t.Errorf("%+v", c)
	}
	if len(deals) != 1 || deals[0].Sends != 2 || deals[0].ValidUntil != asked+h.settings.SendLifetime {
		t.Errorf("asked at %v: %+v", asked, deals)
	}
	// Three of five never came here; of the two one was used, the other is held.
	cold[0].GrantsUsed, cold[0].GrantsHeld = 1, 1
	now += time.Second
	if c, _ = step(Grant{Stamp: 3}, 0); c.Items[0].Used != 1 || c.Items[0].Unused != 3 {
		t.Errorf("%+v", c)
	}
	// Another's answer, one to nothing that was asked, and one that comes again are none.
	if d := h.HandleGrant(now, 8, &Grant{Seq: c.Seq, Items: []Allotment{{Server{"b", 1}, 1, 6}}}); len(d) > 0 {
		t.Error("taken from another")
	}
	if d := h.HandleGrant(now, 7, &Grant{Seq: c.Seq, Items: []Allotment{{Server{"b", 1}, 1, 6}}}); len(d) > 0 {
		t.Error("taken twice")
	}
}

// A dealer's memory goes with what is lent.
func TestDealerForgets(t *testing.T) {
	d := NewAllocator(Settings{})
	now := time.Hour
	for i := range maxPools + 1000 {
		c := &Claim{Lender: uint64(1 + i%500), Seq: uint64(1 + i/500), Stamp: stampOf(now), Items: []ClaimItem{{Server: Server{fmt.Sprint("b", i), 1}, Rate: 1, Wanted: 1}}}
		if _, ok := d.HandleClaim(now, c); !ok {
			t.Fatal("not answered")
		}
	}
	if d.Pools() != maxPools {
		t.Errorf("%d pools, at most %d", d.Pools(), maxPools)
	}
	now += time.Minute
	d.HandleClaim(now, &Claim{Lender: 1, Seq: 1000})
	if d.Pools() != 0 {
		t.Errorf("%d pools after a minute", d.Pools())
	}
	if all := d.PoolStatuses(now); len(all) != 0 {
		t.Errorf("%+v", all)
	}
}
