package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"
)

// simulation is a fleet under maintenance, in steps of virtual time that begin at 22:00.
type simulation struct {
	rng                  *rand.Rand
	sites                int
	machines             []*simMachine
	byName               map[string]*simMachine
	lostSite             string // the site that is lost, from lostFrom until lostUntil
	lostFrom, lostUntil  time.Duration
	now                  time.Duration
	surgeStart           time.Duration // when a load surge begins; 0: there is none
	wholeRackSteps       int           // counts each rack in each step in which it was wholly out
	peakLoad             map[string]float64
	returnCapacityFactor float64 // multiplies the capacity of returned machines: below 1 models a bad new version
	served               float64
	requested            float64
	minServedShare       float64
	maxOut               int
	removals             int
	duration             time.Duration // of the simulation; 0: 48 h
	violation            string
}

// simMachine is one machine of a simulation.
type simMachine struct {
	Machine
	capacity float64
	out      bool
	workEnd  time.Duration // when its work ends
	readyAt  time.Duration // when it accepts requests again
	warmAt   time.Duration // when it has its full capacity again
	done     bool          // its maintenance has ended
	reduced  bool          // it returned with the reduced capacity
}

const (
	stepInterval    = 15 * time.Second
	workDuration    = 20 * time.Minute
	warmUpDuration  = 60 * time.Second
	restartDuration = 90 * time.Second
)

func newSimulation(seed uint64, machines int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 6)), sites: 4, byName: map[string]*simMachine{}, peakLoad: map[string]float64{}, minServedShare: 1, returnCapacityFactor: 1}
	for i := range machines {
		m := &simMachine{Machine: Machine{
			Name: fmt.Sprintf("m%04d", i), Site: fmt.Sprint("s", i%sim.sites), Rack: fmt.Sprintf("s%d-%d", i%sim.sites, i/sim.sites/4), RackSize: 4,
		}, capacity: 8 + 4*sim.rng.Float64()}
		sim.machines, sim.byName[m.Name] = append(sim.machines, m), m
	}
	return sim
}

// load returns the requests per second of a site: a daily wave, low at night, and a surge that rises within ten
// minutes.
func (sim *simulation) load(site int) float64 {
	hour := 22 + sim.now.Hours()
	wave := 0.55 + 0.3*math.Cos(2*math.Pi*(hour-15)/24)
	if sim.surgeStart > 0 {
		rise := min(max(0, (sim.now-sim.surgeStart).Seconds()/600), 1)
		if sim.now > sim.surgeStart+2*time.Hour {
			rise = 0
		}
		wave += rise * (0.9 - wave)
	}
	return wave * 10 * float64(len(sim.machines)/sim.sites)
}

func (sim *simulation) alive(m *simMachine) bool {
	return !(m.Site == sim.lostSite && sim.now >= sim.lostFrom && sim.now < sim.lostUntil)
}

// capacity returns the requests per second that a machine can serve now.
func (sim *simulation) capacity(m *simMachine) float64 {
	x := m.capacity
	if m.reduced {
		x *= sim.returnCapacityFactor
	}
	switch {
	case !sim.alive(m) || m.out || sim.now < m.readyAt:
		return 0
	case sim.now < m.warmAt:
		return 0.4 * x
	}
	return x
}

// observe returns what the nodes would report in this step and updates the statistics of the simulation.
func (sim *simulation) observe() *Observations {
	f := &Observations{Machines: map[string]MachineFacts{}, Sites: map[string]SiteFacts{}, DiscoveryUp: true, HasMajority: true}
	capacity := map[string]float64{}
	for _, m := range sim.machines {
		x := sim.capacity(m)
		capacity[m.Site] += x
		f.Machines[m.Name] = MachineFacts{
			Machine: m.Machine, Alive: sim.alive(m) && !m.out, Ready: sim.alive(m) && !m.out && sim.now >= m.readyAt, Capacity: m.capacity,
			ServedShare: x / m.capacity, ServedShareFor: max(0, sim.now-m.readyAt),
		}
	}
	out := 0
	for _, m := range sim.machines {
		if m.out || sim.now < m.readyAt {
			out++
		}
	}
	sim.maxOut = max(sim.maxOut, out)
	outByRack := map[string]int{}
	for _, m := range sim.machines {
		if m.out {
			if outByRack[m.Rack]++; outByRack[m.Rack] == m.RackSize {
				sim.wholeRackSteps++
			}
		}
	}
	for s := range sim.sites {
		site := fmt.Sprint("s", s)
		load := sim.load(s) * (1 + 0.03*(2*sim.rng.Float64()-1))
		// The peak of the day before counts as well, as a surge may bring as much at any hour.
		sim.peakLoad[site] = max(load, sim.peakLoad[site]*0.999, 0.85*10*float64(len(sim.machines)/sim.sites))
		share := min(1, capacity[site]/load)
		lost := site == sim.lostSite && sim.now >= sim.lostFrom && sim.now < sim.lostUntil
		if !lost {
			sim.served, sim.requested = sim.served+load*share, sim.requested+load
			sim.minServedShare = min(sim.minServedShare, share)
		}
		f.Sites[site] = SiteFacts{RequiredCapacity: sim.peakLoad[site], Worth: share, UsualWorth: 1, WorthSpread: 0.002, Lost: lost}
	}
	return f
}

// takeOut takes a machine out of service.
func (sim *simulation) takeOut(m *simMachine) {
	m.out, m.workEnd = true, sim.now+time.Duration((0.7+0.6*sim.rng.Float64())*float64(workDuration))
	sim.removals++
}

// bringBack ends a machine's work: it restarts and then warms up.
func (sim *simulation) bringBack(m *simMachine) {
	m.out, m.done, m.reduced = false, true, sim.returnCapacityFactor < 1
	m.readyAt = sim.now + restartDuration
	m.warmAt = m.readyAt + warmUpDuration
}

// runPlanned simulates maintenance with the table and the planner. The coordinator changes now and then, and some
// commands are lost or duplicated. It returns 0 for took if the maintenance did not end.
func runPlanned(seed uint64, machines int, limits Limits, edit func(*simulation)) (sim *simulation, took time.Duration, t *Table) {
	sim = newSimulation(seed, machines)
	if edit != nil {
		edit(sim)
	}
	t = NewTable()
	t.Apply(&Command{Op: SetLimits, Limits: limits}, nil)
	var requests []Request
	for _, m := range sim.machines {
		requests = append(requests, Request{Machine: m.Machine, Purpose: "kernel", Duration: workDuration})
	}
	t.Apply(&Command{Op: AddRequests, By: "night", Requests: requests}, nil)
	var p *Planner
	for sim.now = 0; sim.now < cmp.Or(sim.duration, 48*time.Hour); sim.now += stepInterval {
		if p == nil || sim.rng.IntN(700) == 0 { // about every three hours
			p = NewPlanner(Rules{}, sim.now)
		}
		f := sim.observe()
		for _, c := range p.Plan(sim.now, t, f) {
			if sim.rng.IntN(20) == 0 {
				continue // lost; the planner proposes it again
			}
			t.Apply(&c, nil)
			if sim.rng.IntN(20) == 0 {
				t.Apply(&c, nil)
			}
		}
		open, out, racks := 0, 0, map[string]int{}
		for _, r := range t.Requests() {
			m := sim.byName[r.Name]
			switch {
			case r.State == Draining && !m.out: // drained within a step
				if a := t.Apply(&Command{Op: Step, Machine: r.Name, Serial: r.Serial, To: OutOfService}, nil); a.Done {
					r, _ = t.Request(r.Name)
					if b := t.Apply(&Command{Op: BeginHook, Machine: r.Name, Serial: r.Serial}, nil); b.Done {
						sim.takeOut(m)
					}
				}
			case r.State == OutOfService && m.out && sim.now >= m.workEnd:
				if a := t.Apply(&Command{Op: Step, Machine: r.Name, Serial: r.Serial, To: Returning}, nil); a.Done {
					sim.bringBack(m)
				}
			}
			if !r.State.isFinal() {
				open++
			}
			if m.out {
				out++
				racks[m.Rack]++
			}
		}
		for rack, count := range racks {
			if count > limits.Rack {
				sim.violation = fmt.Sprintf("%v: %d machines of rack %s are out of service", sim.now, count, rack)
			}
		}
		if out > limits.All {
			sim.violation = fmt.Sprintf("%v: %d machines are out of service", sim.now, out)
		}
		if open == 0 {
			return sim, sim.now, t
		}
	}
	return sim, 0, t
}

// runFixed simulates maintenance without a planner: atOnce machines at a time, in the order of their names.
func runFixed(seed uint64, machines, atOnce int, edit func(*simulation)) (sim *simulation, took time.Duration) {
	sim = newSimulation(seed, machines)
	if edit != nil {
		edit(sim)
	}
	next := 0
	var out []*simMachine
	for sim.now = 0; sim.now < 2000*time.Hour; sim.now += stepInterval {
		sim.observe()
		out = slices.DeleteFunc(out, func(m *simMachine) bool {
			if m.out && sim.now >= m.workEnd {
				sim.bringBack(m)
			}
			return !m.out && sim.now >= m.warmAt
		})
		for len(out) < atOnce && next < len(sim.machines) {
			sim.takeOut(sim.machines[next])
			out = append(out, sim.machines[next])
			next++
		}
		if next == len(sim.machines) && len(out) == 0 {
			return sim, sim.now
		}
		if atOnce == 1 && sim.now > 48*time.Hour { // extrapolate the duration
			return sim, time.Duration(float64(sim.now) * float64(len(sim.machines)) / float64(next))
		}
	}
	return sim, 0
}

// Planned maintenance of a fleet, during which one site is lost and the load surges, must serve nearly all requests.
// The log compares it with a fifth of the machines at a time and with one at a time, both without a planner.
func TestPlannedMaintenanceOfFleet(t *testing.T) {
	machines, seeds := 240, uint64(1)
	if os.Getenv("CURLEWRING_LONG") != "" {
		machines, seeds = 2000, 10
	}
	limits := Limits{All: machines / 5, Site: machines / 20, Rack: 1}
	disturb := func(sim *simulation) {
		sim.lostSite, sim.lostFrom, sim.lostUntil, sim.surgeStart = "s2", 90*time.Minute, 110*time.Minute, 3*time.Hour
	}
	for seed := range seeds {
		sim, took, table := runPlanned(seed, machines, limits, disturb)
		if took == 0 || sim.violation != "" {
			open := map[State]int{}
			for _, r := range table.Requests() {
				open[r.State]++
			}
			t.Fatalf("seed %d: not done after 48 h, or a limit violated: %q, %v", seed, sim.violation, open)
		}
		if sim.minServedShare < 0.97 || sim.wholeRackSteps > 0 {
			t.Errorf("seed %d: lowest served share of a site %.3f, whole racks out in %d steps", seed, sim.minServedShare, sim.wholeRackSteps)
		}
		fifth, fifthTook := runFixed(seed, machines, machines/5, disturb)
		one, oneTook := runFixed(seed, machines, 1, disturb)
		t.Logf("seed %d: planned %v, served %.4f, worst %.3f, at most %d out; a fifth at a time %v, %.4f, worst %.3f, a whole rack out in %d steps; one by one %v, %.4f, %.3f", seed, took.Round(time.Minute), sim.served/sim.requested,
			sim.minServedShare, sim.maxOut, fifthTook.Round(time.Minute), fifth.served/fifth.requested, fifth.minServedShare, fifth.wholeRackSteps, oneTook.Round(time.Hour), one.served/one.requested, one.minServedShare)
	}
}

// A new version with a fifth of the capacity must stop the maintenance early: no machine is admitted once served
// worth falls.
func TestBadVersionStopsMaintenance(t *testing.T) {
	sim, took, table := runPlanned(3, 160, Limits{All: 80, Site: 32, Rack: 1}, func(sim *simulation) { sim.returnCapacityFactor, sim.duration = 0.2, 8*time.Hour })
	done := 0
	for _, m := range sim.machines {
		if m.done {
			done++
		}
	}
	if took != 0 || done > 20 || sim.minServedShare < 0.9 {
		t.Errorf("%d of 160 have the bad version, lowest served share of a site %.3f; %d requests", done, sim.minServedShare, len(table.Requests()))
	}
	t.Logf("%d of 160 have the bad version when maintenance stops, lowest served share of a site %.3f", done, sim.minServedShare)
}
