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

// night is a fleet over which a night's work goes, in steps of some seconds of virtual time.
type night struct {
	rng      *rand.Rand
	sites    int
	machines []*nightMachine
	byName   map[string]*nightMachine
	lost     string // the site that is lost, and when
	from, to time.Duration
	now      time.Duration
	storm    time.Duration // when one begins; 0: none does
	racks    int           // steps in which a whole rack was out
	peak     map[string]float64
	slower   float64 // a machine that comes back carries so much less: a bad new version
	served   float64
	asked    float64
	worst    float64
	mostOut  int
	moves    int
	ends     time.Duration // of the play; 0: 48 h
	broken   string
}

type nightMachine struct {
	Machine
	room   float64
	out    bool
	until  time.Duration // its work ends
	ready  time.Duration // it takes requests again
	warm   time.Duration
	done   bool
	slower bool
}

const (
	nightStep   = 15 * time.Second
	nightWork   = 20 * time.Minute
	nightCold   = 60 * time.Second
	nightReturn = 90 * time.Second
)

func newNight(seed uint64, machines int) *night {
	n := &night{rng: rand.New(rand.NewPCG(seed, 6)), sites: 4, byName: map[string]*nightMachine{}, peak: map[string]float64{}, worst: 1, slower: 1}
	for i := range machines {
		m := &nightMachine{Machine: Machine{
			Name: fmt.Sprintf("m%04d", i), Site: fmt.Sprint("s", i%n.sites), Rack: fmt.Sprintf("s%d-%d", i%n.sites, i/n.sites/4), RackSize: 4,
		}, room: 8 + 4*n.rng.Float64()}
		n.machines, n.byName[m.Name] = append(n.machines, m), m
	}
	return n
}

// need is what a site is asked for: a day's wave, low in the night, and a storm that begins within ten minutes.
func (n *night) need(site int) float64 {
	hour := 22 + n.now.Hours()
	wave := 0.55 + 0.3*math.Cos(2*math.Pi*(hour-15)/24)
	if n.storm > 0 {
		rise := min(max(0, (n.now-n.storm).Seconds()/600), 1)
		if n.now > n.storm+2*time.Hour {
			rise = 0
		}
		wave += rise * (0.9 - wave)
	}
	return wave * 10 * float64(len(n.machines)/n.sites)
}

func (n *night) alive(m *nightMachine) bool {
	return !(m.Site == n.lost && n.now >= n.from && n.now < n.to)
}

// carries is what a machine carries now.
func (n *night) carries(m *nightMachine) float64 {
	x := m.room
	if m.slower {
		x *= n.slower
	}
	switch {
	case !n.alive(m) || m.out || n.now < m.ready:
		return 0
	case n.now < m.warm:
		return 0.4 * x
	}
	return x
}

// facts are what the nodes would tell, and how the fleet is served in this step.
func (n *night) facts() *Observations {
	f := &Observations{Machines: map[string]MachineFacts{}, Sites: map[string]SiteFacts{}, DiscoveryUp: true, HasMajority: true}
	room := map[string]float64{}
	for _, m := range n.machines {
		x := n.carries(m)
		room[m.Site] += x
		f.Machines[m.Name] = MachineFacts{
			Machine: m.Machine, Alive: n.alive(m) && !m.out, Ready: n.alive(m) && !m.out && n.now >= m.ready, Capacity: m.room,
			ServedShare: x / m.room, ServedShareFor: max(0, n.now-m.ready),
		}
	}
	out := 0
	for _, m := range n.machines {
		if m.out || n.now < m.ready {
			out++
		}
	}
	n.mostOut = max(n.mostOut, out)
	whole := map[string]int{}
	for _, m := range n.machines {
		if m.out {
			if whole[m.Rack]++; whole[m.Rack] == m.RackSize {
				n.racks++
			}
		}
	}
	for s := range n.sites {
		site := fmt.Sprint("s", s)
		need := n.need(s) * (1 + 0.03*(2*n.rng.Float64()-1))
		// The day before had its peak, and a storm asks for as much at any hour.
		n.peak[site] = max(need, n.peak[site]*0.999, 0.85*10*float64(len(n.machines)/n.sites))
		share := min(1, room[site]/need)
		lost := site == n.lost && n.now >= n.from && n.now < n.to
		if !lost {
			n.served, n.asked = n.served+need*share, n.asked+need
			n.worst = min(n.worst, share)
		}
		f.Sites[site] = SiteFacts{RequiredCapacity: n.peak[site], Worth: share, UsualWorth: 1, WorthSpread: 0.002, Lost: lost}
	}
	return f
}

// take has a machine go out, or come back.
func (n *night) take(m *nightMachine) {
	m.out, m.until = true, n.now+time.Duration((0.7+0.6*n.rng.Float64())*float64(nightWork))
	n.moves++
}

func (n *night) back(m *nightMachine) {
	m.out, m.done, m.slower = false, true, n.slower < 1
	m.ready = n.now + nightReturn
	m.warm = m.ready + nightCold
}

// planned plays a night with the table and the planner; coordinators change now and then, and commands are lost or come twice.
func planned(seed uint64, machines int, limits Limits, edit func(*night)) (n *night, took time.Duration, t *Table) {
	n = newNight(seed, machines)
	if edit != nil {
		edit(n)
	}
	t = NewTable()
	t.Apply(&Command{Op: SetLimits, Limits: limits}, nil)
	var wishes []Request
	for _, m := range n.machines {
		wishes = append(wishes, Request{Machine: m.Machine, Purpose: "kernel", Duration: nightWork})
	}
	t.Apply(&Command{Op: AddRequests, By: "night", Requests: wishes}, nil)
	var p *Planner
	for n.now = 0; n.now < cmp.Or(n.ends, 48*time.Hour); n.now += nightStep {
		if p == nil || n.rng.IntN(700) == 0 { // every three hours or so
			p = NewPlanner(Rules{}, n.now)
		}
		f := n.facts()
		for _, c := range p.Plan(n.now, t, f) {
			if n.rng.IntN(20) == 0 {
				continue // lost; it is proposed again
			}
			t.Apply(&c, nil)
			if n.rng.IntN(20) == 0 {
				t.Apply(&c, nil)
			}
		}
		open, out, racks := 0, 0, map[string]int{}
		for _, w := range t.Requests() {
			m := n.byName[w.Name]
			switch {
			case w.State == Draining && !m.out: // drained within a step
				if a := t.Apply(&Command{Op: Step, Machine: w.Name, Serial: w.Serial, To: OutOfService}, nil); a.Done {
					w, _ = t.Request(w.Name)
					if b := t.Apply(&Command{Op: BeginHook, Machine: w.Name, Serial: w.Serial}, nil); b.Done {
						n.take(m)
					}
				}
			case w.State == OutOfService && m.out && n.now >= m.until:
				if a := t.Apply(&Command{Op: Step, Machine: w.Name, Serial: w.Serial, To: Returning}, nil); a.Done {
					n.back(m)
				}
			}
			if !w.State.ended() {
				open++
			}
			if m.out {
				out++
				racks[m.Rack]++
			}
		}
		for r, k := range racks {
			if k > limits.Rack {
				n.broken = fmt.Sprintf("%v: %d machines of rack %s are out", n.now, k, r)
			}
		}
		if out > limits.All {
			n.broken = fmt.Sprintf("%v: %d machines are out", n.now, out)
		}
		if open == 0 {
			return n, n.now, t
		}
	}
	return n, 0, t
}

// fixed plays a night without looking: so many at once, in the order of their names.
func fixed(seed uint64, machines, atOnce int, edit func(*night)) (n *night, took time.Duration) {
	n = newNight(seed, machines)
	if edit != nil {
		edit(n)
	}
	next := 0
	var out []*nightMachine
	for n.now = 0; n.now < 2000*time.Hour; n.now += nightStep {
		n.facts()
		out = slices.DeleteFunc(out, func(m *nightMachine) bool {
			if m.out && n.now >= m.until {
				n.back(m)
			}
			return !m.out && n.now >= m.warm
		})
		for len(out) < atOnce && next < len(n.machines) {
			n.take(n.machines[next])
			out = append(out, n.machines[next])
			next++
		}
		if next == len(n.machines) && len(out) == 0 {
			return n, n.now
		}
		if atOnce == 1 && n.now > 48*time.Hour { // what it would take is known by then
			return n, time.Duration(float64(n.now) * float64(len(n.machines)) / float64(next))
		}
	}
	return n, 0
}

// A night's work over many machines, with a site lost in the middle of it: and a storm towards its end: beside a fifth at a
// time, and one by one, both without looking.
func TestANight(t *testing.T) {
	machines, seeds := 240, uint64(1)
	if os.Getenv("CURLEWRING_LONG") != "" {
		machines, seeds = 2000, 10
	}
	limits := Limits{All: machines / 5, Site: machines / 20, Rack: 1}
	lose := func(n *night) { n.lost, n.from, n.to, n.storm = "s2", 90*time.Minute, 110*time.Minute, 3*time.Hour }
	for seed := range seeds {
		n, took, table := planned(seed, machines, limits, lose)
		if took == 0 || n.broken != "" {
			open := map[State]int{}
			for _, w := range table.Requests() {
				open[w.State]++
			}
			t.Fatalf("seed %d: not done after 48 h, or broken: %q, %v", seed, n.broken, open)
		}
		if n.worst < 0.97 || n.racks > 0 {
			t.Errorf("seed %d: a site served %.3f at its worst, whole racks out in %d steps", seed, n.worst, n.racks)
		}
		tenths, tenthsTook := fixed(seed, machines, machines/5, lose)
		one, oneTook := fixed(seed, machines, 1, lose)
		t.Logf("seed %d: planned %v, served %.4f, worst %.3f, at most %d out; a fifth at a time %v, %.4f, worst %.3f, a whole rack out in %d steps; one by one %v, %.4f, %.3f", seed, took.Round(time.Minute), n.served/n.asked,
			n.worst, n.mostOut, tenthsTook.Round(time.Minute), tenths.served/tenths.asked, tenths.worst, tenths.racks, oneTook.Round(time.Hour), one.served/one.asked, one.worst)
	}
}

// A new version that carries a third less is seen and held within one wave: when served worth falls, nothing more goes out.
func TestABadVersionIsHeld(t *testing.T) {
	n, took, table := planned(3, 160, Limits{All: 80, Site: 32, Rack: 1}, func(n *night) { n.slower, n.ends = 0.2, 8*time.Hour })
	done := 0
	for _, m := range n.machines {
		if m.done {
			done++
		}
	}
	if took != 0 || done > 20 || n.worst < 0.9 {
		t.Errorf("%d of 160 have the bad version, a site served %.3f at its worst; %d wishes", done, n.worst, len(table.Requests()))
	}
	t.Logf("%d of 160 have it when it is held, a site served %.3f at its worst", done, n.worst)
}
