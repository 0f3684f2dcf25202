package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fact is what a machine tells of itself, or is told of it.
type MachineFacts struct {
	Machine
	Alive          bool    // in the members' view, or on discovery's list
	Ready          bool    // it takes requests
	Capacity       float64 // requests a second that it can carry when warm
	ServedShare    float64 // of its fair share of the site's requests that it has served of late, from 0
	ServedShareFor time.Duration
}

// SiteFact is what is known of a site.
type SiteFacts struct {
	RequiredCapacity float64 // requests a second that it must bear: its recent peak, and that of the day before, as a storm comes at any hour
	Worth            float64 // share of the worth asked for that is served now
	UsualWorth       float64 // the recent mean of that ...
	WorthSpread      float64 // ... and its spread
	Lost             bool    // most of it is gone, or cut off
}

// Facts are what a coordinator has seen.
type Observations struct {
	Machines    map[string]MachineFacts
	Sites       map[string]SiteFacts
	Crashes     int  // machines that have gone by themselves in the last two minutes
	DiscoveryUp bool // it answers
	HasMajority bool // the members' view has one
	Voters      []string
}

// Rules are what a planner goes by. The zero value of each field stands for its default.
type Rules struct {
	SpareCapacity     float64       // of a site's need that must be left over beside one machine's loss; 0.1
	AdmissionInterval time.Duration // between two admissions of a site: connections move with each; 20 s
	CalmPeriod        time.Duration // that a cause to stop must have been gone for; 2 min
	WarmPeriod        time.Duration // that a machine must have served its share for; 30 s
	ColdCapacity      float64       // of a machine's room while it is cold; 0.4
	DrainTimeout      time.Duration // that a machine may drain for before it is told; 1 min
	ReserveAfter      time.Duration // a wish that has waited for so long keeps room from later ones; 30 min
	CrashLimit        int           // that stop everything; 2
}

func (r Rules) withDefaults() Rules {
	r.SpareCapacity, r.AdmissionInterval, r.CalmPeriod = cmp.Or(r.SpareCapacity, 0.1), cmp.Or(r.AdmissionInterval, 20*time.Second), cmp.Or(r.CalmPeriod, 2*time.Minute)
	r.WarmPeriod, r.ColdCapacity, r.DrainTimeout = cmp.Or(r.WarmPeriod, 30*time.Second), cmp.Or(r.ColdCapacity, 0.4), cmp.Or(r.DrainTimeout, time.Minute)
	r.ReserveAfter, r.CrashLimit = cmp.Or(r.ReserveAfter, 30*time.Minute), cmp.Or(r.CrashLimit, 2)
	return r
}

// Planner is a coordinator's part. One is made when a node becomes coordinator, and dropped when it is none any more.
type Planner struct {
	rules    Rules
	stopped  string                   // the cause; "": none
	calm     time.Duration            // since when there has been none
	admitted map[string]time.Duration // by site
	reasons  map[string]string        // by machine: why not now
	told     time.Duration            // when the table was last told of time
}

// NewPlanner returns the planner of a coordinator that begins now. It admits nothing before things have been calm for long
// enough under its own eyes.
func NewPlanner(r Rules, now time.Duration) *Planner {
	return &Planner{rules: r.withDefaults(), calm: now, told: now, admitted: map[string]time.Duration{}, reasons: map[string]string{}}
}

// Stopped is why nothing goes out, in operators' words; "": it may. Reason is why a machine does not go out now.
func (p *Planner) StopReason() string             { return p.stopped }
func (p *Planner) WaitReason(name string) string  { return p.reasons[name] }
func (p *Planner) WaitReasons() map[string]string { return p.reasons }

const tellEvery = 10 * time.Second

// Plan looks at the table as it is applied here, and at the facts, and returns what is to be proposed. The same table and
// facts give the same proposals.
func (p *Planner) Plan(now time.Duration, t *Table, f *Observations) (todo []Command) {
	clear(p.reasons)
	cause := p.cause(f)
	if cause != "" {
		p.calm = now
	}
	switch {
	case cause != "":
		p.stopped = cause
	case now-p.calm < p.rules.CalmPeriod:
		p.stopped = fmt.Sprintf("calm for %v, of %v", (now - p.calm).Round(time.Second), p.rules.CalmPeriod)
	default:
		p.stopped = ""
	}
	all := t.Requests()
	lost := p.lost(all, f)
	if now-p.told >= tellEvery || !slices.Equal(lost, t.lost) {
		todo = append(todo, Command{Op: ReportObservations, Elapsed: now - p.told, Lost: lost})
		p.told = now
	}
	for i := range all {
		if c, ok := p.follow(t, &all[i], f); ok {
			todo = append(todo, c)
		}
	}
	if c, ok := p.admit(now, t, all, f); ok {
		todo = append(todo, c)
	}
	return todo
}

// cause is why everything must stop; "": nothing.
func (p *Planner) cause(f *Observations) string {
	sites := make([]string, 0, len(f.Sites))
	for s := range f.Sites {
		sites = append(sites, s)
	}
	slices.Sort(sites)
	switch {
	case !f.HasMajority:
		return "the members' view has no majority"
	case !f.DiscoveryUp:
		return "discovery does not answer"
	case f.Crashes >= p.rules.CrashLimit:
		return fmt.Sprintf("%d machines have gone by themselves within two minutes", f.Crashes)
	}
	for _, s := range sites {
		x := f.Sites[s]
		if x.Lost {
			return fmt.Sprintf("site %s is lost", s)
		}
		if x.UsualWorth > 0 && x.Worth < x.UsualWorth-max(3*x.WorthSpread, 0.01) {
			return fmt.Sprintf("site %s serves %.3f of its worth, usually %.3f", s, x.Worth, x.UsualWorth)
		}
	}
	return ""
}

// lost are machines that are out though nobody wished it.
func (p *Planner) lost(all []Request, f *Observations) (lost []Machine) {
	for _, m := range f.Machines {
		if m.Alive {
			continue
		}
		i, wished := slices.BinarySearchFunc(all, m.Name, func(w Request, name string) int { return cmp.Compare(w.Name, name) })
		if !wished || !all[i].State.places() {
			lost = append(lost, m.Machine)
		}
	}
	slices.SortFunc(lost, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	return lost[:min(len(lost), MaxLost)]
}

// follow proposes the next step of a machine that is under way.
func (p *Planner) follow(t *Table, w *Request, f *Observations) (Command, bool) {
	m, known := f.Machines[w.Name]
	step := func(to State, reason string) (Command, bool) {
		return Command{Op: Step, Machine: w.Name, Serial: w.Serial, To: to, Reason: reason}, true
	}
	if p.stopped != "" && (w.State == Admitted || w.State == Draining) {
		return step(Requested, "turns back: "+p.stopped)
	}
	switch w.State {
	case Requested:
		if w.Deadline > 0 && t.now+w.Duration > w.Deadline {
			return Command{Op: CancelRequest, Machine: w.Name, Reason: "its work can't end before its deadline any more"}, true
		}
	case Admitted:
		return step(Draining, "")
	case OutOfService:
		late := t.now - w.Since
		switch {
		case w.HookError != "":
			p.reasons[w.Name] = "waits for a person: " + w.HookError
		case w.HookRun == 0:
			p.reasons[w.Name] = "its work has not begun"
		case late > 2*w.Duration:
			p.reasons[w.Name] = fmt.Sprintf("out for %v, its work was to take %v: a person should look", late.Round(time.Second), w.Duration)
		}
	case Returning:
		if known && m.Alive && m.Ready {
			return step(Warming, "")
		}
		p.reasons[w.Name] = "is not back yet"
	case Warming:
		switch {
		case !known || !m.Alive || !m.Ready:
			return step(Returning, "it is gone again")
		case m.ServedShare >= 0.5 && m.ServedShareFor >= p.rules.WarmPeriod:
			return step(InService, fmt.Sprintf("has served its share for %v", m.ServedShareFor.Round(time.Second)))
		}
		p.reasons[w.Name] = fmt.Sprintf("serves %.0f%% of its share, for %v of %v", 100*m.ServedShare, m.ServedShareFor.Round(time.Second), p.rules.WarmPeriod)
	}
	return Command{}, false
}

// order is who is looked at first: urgent ones, then by what is left before the deadline, then who has waited longest.
func (p *Planner) order(t *Table, all []Request) (line []*Request) {
	for i := range all {
		if all[i].State == Requested {
			line = append(line, &all[i])
		}
	}
	left := func(w *Request) time.Duration {
		if w.Deadline == 0 {
			return math.MaxInt64
		}
		return w.Deadline - t.now - w.Duration
	}
	slices.SortFunc(line, func(a, b *Request) int {
		switch {
		case a.Urgent != b.Urgent:
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(left(a), left(b)), cmp.Compare(a.RequestedAt, b.RequestedAt),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return line
}

// admit proposes the next machine to go, and notes why each other one does not.
func (p *Planner) admit(now time.Duration, t *Table, all []Request, f *Observations) (Command, bool) {
	line := p.order(t, all)
	if p.stopped != "" || t.held != "" {
		why := cmp.Or(p.stopped, "held: "+t.held)
		for _, w := range line {
			p.reasons[w.Name] = why
		}
		return Command{}, false
	}
	var next *Request
	out, rooms := t.tally(f.Voters), p.rooms(all, f)
	kept := map[string]string{} // sites whose room is kept for one that has waited long
	for _, w := range line {
		why := t.fits(w, f.Voters, out)
		if why == "" {
			why = p.room(now, w, rooms[w.Site], f)
		}
		if by := kept[w.Site]; why == "" && by != "" && !w.Urgent {
			why = fmt.Sprintf("its room is kept for %s, which has waited longer", by)
		}
		if why != "" && t.now-w.RequestedAt > p.rules.ReserveAfter && kept[w.Site] == "" {
			kept[w.Site] = w.Name
		}
		switch {
		case why != "":
			p.reasons[w.Name] = why
		case next != nil:
			p.reasons[w.Name] = "after " + next.Name
		default:
			next = w
		}
	}
	if next == nil {
		return Command{}, false
	}
	p.admitted[next.Site] = now
	return Command{Op: Step, Machine: next.Name, Serial: next.Serial, To: Admitted, Reason: "there is room"}, true
}

// siteRoom is what a site can carry with those that are there, and the largest two of them.
type siteRoom struct{ all, first, second float64 }

// left is what the site has without a machine of so much room, and without one more.
func (r siteRoom) left(room float64) float64 {
	if room >= r.first {
		return r.all - room - r.second
	}
	return r.all - room - r.first
}

// rooms are those of all sites.
func (p *Planner) rooms(all []Request, f *Observations) map[string]siteRoom {
	rooms := map[string]siteRoom{}
	for _, m := range f.Machines {
		x := p.carries(&m, all)
		r := rooms[m.Site]
		r.all += x
		if x > r.first {
			r.first, r.second = x, r.first
		} else {
			r.second = max(r.second, x)
		}
		rooms[m.Site] = r
	}
	return rooms
}

// carries is what a machine can be counted on for.
func (p *Planner) carries(m *MachineFacts, all []Request) float64 {
	if !m.Alive || !m.Ready {
		return 0
	}
	if i, wished := slices.BinarySearchFunc(all, m.Name, func(w Request, name string) int { return cmp.Compare(w.Name, name) }); wished {
		switch all[i].State {
		case Admitted, Draining, OutOfService, Returning:
			return 0
		case Warming:
			return m.Capacity * p.rules.ColdCapacity
		}
	}
	return m.Capacity
}

// room tells why a site can't do without a machine now; "": it can.
func (p *Planner) room(now time.Duration, w *Request, r siteRoom, f *Observations) string {
	own, known := f.Machines[w.Name]
	site, told := f.Sites[w.Site]
	switch {
	case !known || !told:
		return "nothing is known of it or of its site yet"
	case !own.Alive:
		return "it is gone by itself"
	}
	if at, had := p.admitted[w.Site]; had && now-at < p.rules.AdmissionInterval {
		return fmt.Sprintf("another of its site went %v ago; connections move, one every %v", (now - at).Round(time.Second), p.rules.AdmissionInterval)
	}
	room := 0.0
	if own.Ready {
		room = own.Capacity
	}
	if need, left := site.RequiredCapacity*(1+p.rules.SpareCapacity), r.left(room); left < need {
		return fmt.Sprintf("site %s would have room for %.0f a second with one more machine lost, and needs %.0f", w.Site, max(0, left), need)
	}
	return ""
}
