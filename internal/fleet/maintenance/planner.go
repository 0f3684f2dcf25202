package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MachineFacts is what a machine reports and what others observe of it.
type MachineFacts struct {
	Machine
	Alive          bool          // it is in the members' view or on discovery's list
	Ready          bool          // it accepts requests
	Capacity       float64       // requests per second that it can serve when warm
	ServedShare    float64       // recently served part of its fair share of the site's requests, from 0
	ServedShareFor time.Duration // how long it has served that
}

// SiteFacts is what is known of a site.
type SiteFacts struct {
	// Requests per second that the site must be able to serve: the higher of its recent peak and that of the day
	// before, as a surge may come at any hour.
	RequiredCapacity float64
	Worth            float64 // served part of the requested worth, now
	UsualWorth       float64 // recent mean of Worth
	WorthSpread      float64 // its spread
	Lost             bool    // most of it has failed or is unreachable
}

// Observations is what a coordinator knows of the fleet.
type Observations struct {
	Machines    map[string]MachineFacts
	Sites       map[string]SiteFacts
	Crashes     int  // machines that have failed without a request in the last two minutes
	DiscoveryUp bool // discovery answers
	HasMajority bool // the members' view has a majority
	Voters      []string
}

// Rules are the settings of a planner. The zero value of a field stands for its default, which its comment ends with.
type Rules struct {
	SpareCapacity     float64       // part of a site's required capacity to keep free even if one machine fails; 0.1
	AdmissionInterval time.Duration // between two admissions of a site, as each moves connections; 20 s
	CalmPeriod        time.Duration // how long there must have been no cause to stop; 2 min
	WarmPeriod        time.Duration // how long a machine must have served its share; 30 s
	ColdCapacity      float64       // part of a machine's capacity to count while it warms up; 0.4
	DrainTimeout      time.Duration // how long a machine may drain; 1 min
	ReserveAfter      time.Duration // a request that has waited this long reserves capacity against later ones; 30 min
	CrashLimit        int           // number of failed machines that stops all maintenance; 2
}

func (r Rules) withDefaults() Rules {
	r.SpareCapacity, r.AdmissionInterval, r.CalmPeriod = cmp.Or(r.SpareCapacity, 0.1), cmp.Or(r.AdmissionInterval, 20*time.Second), cmp.Or(r.CalmPeriod, 2*time.Minute)
	r.WarmPeriod, r.ColdCapacity, r.DrainTimeout = cmp.Or(r.WarmPeriod, 30*time.Second), cmp.Or(r.ColdCapacity, 0.4), cmp.Or(r.DrainTimeout, time.Minute)
	r.ReserveAfter, r.CrashLimit = cmp.Or(r.ReserveAfter, 30*time.Minute), cmp.Or(r.CrashLimit, 2)
	return r
}

// Planner proposes the steps of maintenance. A node makes one when it becomes coordinator and discards it when it
// stops being that.
type Planner struct {
	rules         Rules
	stopReason    string                   // why all maintenance has stopped; "": it has not
	calmSince     time.Duration            // when a cause to stop was last seen, or the start
	lastAdmission map[string]time.Duration // time of the last admission, by site
	waitReasons   map[string]string        // why a machine is not admitted or does not proceed, by machine
	lastReport    time.Duration            // when time was last reported to the table
}

// NewPlanner returns the planner of a coordinator that begins now. It admits nothing before it has itself seen the
// fleet without a cause to stop for CalmPeriod.
func NewPlanner(r Rules, now time.Duration) *Planner {
	return &Planner{rules: r.withDefaults(), calmSince: now, lastReport: now, lastAdmission: map[string]time.Duration{}, waitReasons: map[string]string{}}
}

// StopReason returns why no machine is admitted, for operators; "" if maintenance goes on.
func (p *Planner) StopReason() string { return p.stopReason }

// WaitReason returns why a machine does not proceed now; "" if nothing keeps it.
func (p *Planner) WaitReason(name string) string { return p.waitReasons[name] }

// WaitReasons returns the wait reasons of all machines, by name; valid until the next Plan.
func (p *Planner) WaitReasons() map[string]string { return p.waitReasons }

// reportInterval is how often the elapsed time is reported to the table.
const reportInterval = 10 * time.Second

// Plan returns the commands to propose, from the table as applied on this node and from the observations. The same
// planner state, table and observations give the same commands.
func (p *Planner) Plan(now time.Duration, t *Table, f *Observations) (commands []Command) {
	clear(p.waitReasons)
	cause := p.stopCause(f)
	if cause != "" {
		p.calmSince = now
	}
	switch {
	case cause != "":
		p.stopReason = cause
	case now-p.calmSince < p.rules.CalmPeriod:
		p.stopReason = fmt.Sprintf("no cause to stop for %v, of %v required", (now - p.calmSince).Round(time.Second), p.rules.CalmPeriod)
	default:
		p.stopReason = ""
	}
	all := t.Requests()
	lost := p.lostMachines(all, f)
	if now-p.lastReport >= reportInterval || !slices.Equal(lost, t.lost) {
		commands = append(commands, Command{Op: ReportObservations, Elapsed: now - p.lastReport, Lost: lost})
		p.lastReport = now
	}
	for i := range all {
		if c, ok := p.nextStep(t, &all[i], f); ok {
			commands = append(commands, c)
		}
	}
	if c, ok := p.admit(now, t, all, f); ok {
		commands = append(commands, c)
	}
	return commands
}

// stopCause returns why all maintenance must stop; "": there is no cause.
func (p *Planner) stopCause(f *Observations) string {
	sites := make([]string, 0, len(f.Sites))
	for name := range f.Sites {
		sites = append(sites, name)
	}
	slices.Sort(sites)
	switch {
	case !f.HasMajority:
		return "the members' view has no majority"
	case !f.DiscoveryUp:
		return "discovery does not answer"
	case f.Crashes >= p.rules.CrashLimit:
		return fmt.Sprintf("%d machines have failed by themselves within two minutes", f.Crashes)
	}
	for _, name := range sites {
		site := f.Sites[name]
		if site.Lost {
			return fmt.Sprintf("site %s is lost", name)
		}
		if site.UsualWorth > 0 && site.Worth < site.UsualWorth-max(3*site.WorthSpread, 0.01) {
			return fmt.Sprintf("site %s serves %.3f of its worth, usually %.3f", name, site.Worth, site.UsualWorth)
		}
	}
	return ""
}

// lostMachines returns the machines that are out of service without a request.
func (p *Planner) lostMachines(all []Request, f *Observations) (lost []Machine) {
	for _, m := range f.Machines {
		if m.Alive {
			continue
		}
		i, requested := slices.BinarySearchFunc(all, m.Name, func(r Request, name string) int { return cmp.Compare(r.Name, name) })
		if !requested || !all[i].State.countsAsOut() {
			lost = append(lost, m.Machine)
		}
	}
	slices.SortFunc(lost, func(a, b Machine) int { return cmp.Compare(a.Name, b.Name) })
	return lost[:min(len(lost), MaxLost)]
}

// nextStep proposes the next step of a machine, if it is due, or records why it waits.
func (p *Planner) nextStep(t *Table, r *Request, f *Observations) (Command, bool) {
	m, known := f.Machines[r.Name]
	step := func(to State, reason string) (Command, bool) {
		return Command{Op: Step, Machine: r.Name, Serial: r.Serial, To: to, Reason: reason}, true
	}
	if p.stopReason != "" && (r.State == Admitted || r.State == Draining) {
		return step(Requested, "stopped: "+p.stopReason)
	}
	switch r.State {
	case Requested:
		if r.Deadline > 0 && t.now+r.Duration > r.Deadline {
			return Command{Op: CancelRequest, Machine: r.Name, Reason: "the work can no longer end before its deadline"}, true
		}
	case Admitted:
		return step(Draining, "")
	case Draining:
		// The table's time, by which Since is counted, may be behind by one report.
		if elapsed := t.now - r.Since; elapsed > p.rules.DrainTimeout+reportInterval {
			return Command{Op: CancelRequest, Machine: r.Name, Reason: fmt.Sprintf("has drained for %v and may for %v: needs an operator's attention", elapsed.Round(time.Second), p.rules.DrainTimeout)}, true
		}
		p.waitReasons[r.Name] = "drains"
	case OutOfService:
		elapsed := t.now - r.Since
		switch {
		case r.HookError != "":
			p.waitReasons[r.Name] = "waits for an operator's confirmation: " + r.HookError
		case r.HookRun == 0:
			p.waitReasons[r.Name] = "the hook has not begun"
		case elapsed > 2*r.Duration:
			p.waitReasons[r.Name] = fmt.Sprintf("out of service for %v, expected %v: needs an operator's attention", elapsed.Round(time.Second), r.Duration)
		}
	case Returning:
		if known && m.Alive && m.Ready {
			return step(Warming, "")
		}
		p.waitReasons[r.Name] = "is not ready yet"
	case Warming:
		switch {
		case !known || !m.Alive || !m.Ready:
			return step(Returning, "has failed again, or is not ready any more")
		case m.ServedShare >= 0.5 && m.ServedShareFor >= p.rules.WarmPeriod:
			return step(InService, fmt.Sprintf("has served its share for %v", m.ServedShareFor.Round(time.Second)))
		}
		p.waitReasons[r.Name] = fmt.Sprintf("serves %.0f%% of its share, for %v of the required %v", 100*m.ServedShare, m.ServedShareFor.Round(time.Second), p.rules.WarmPeriod)
	}
	return Command{}, false
}

// admissionOrder returns the requests that wait for admission: urgent ones first, then by the time left before the
// deadline, then by how long they have waited.
func (p *Planner) admissionOrder(t *Table, all []Request) (queue []*Request) {
	for i := range all {
		if all[i].State == Requested {
			queue = append(queue, &all[i])
		}
	}
	left := func(r *Request) time.Duration {
		if r.Deadline == 0 {
			return math.MaxInt64
		}
		return r.Deadline - t.now - r.Duration
	}
	slices.SortFunc(queue, func(a, b *Request) int {
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
	return queue
}

// admit proposes the next machine to admit and records why the others wait.
func (p *Planner) admit(now time.Duration, t *Table, all []Request, f *Observations) (Command, bool) {
	queue := p.admissionOrder(t, all)
	if p.stopReason != "" || t.pauseReason != "" {
		why := cmp.Or(p.stopReason, "paused: "+t.pauseReason)
		for _, r := range queue {
			p.waitReasons[r.Name] = why
		}
		return Command{}, false
	}
	var next *Request
	counts, capacities := t.countOut(f.Voters), p.siteCapacities(all, f)
	reservedFor := map[string]string{} // by site: the long-waiting machine that its capacity is reserved for
	for _, r := range queue {
		why := t.blockerWithCounts(r, f.Voters, counts)
		if why == "" {
			why = p.capacityBlocker(now, r, capacities[r.Site], f)
		}
		if by := reservedFor[r.Site]; why == "" && by != "" && !r.Urgent {
			why = fmt.Sprintf("the site's capacity is reserved for %s, which has waited longer", by)
		}
		if why != "" && t.now-r.RequestedAt > p.rules.ReserveAfter && reservedFor[r.Site] == "" {
			reservedFor[r.Site] = r.Name
		}
		switch {
		case why != "":
			p.waitReasons[r.Name] = why
		case next != nil:
			p.waitReasons[r.Name] = "waits for the admission of " + next.Name
		default:
			next = r
		}
	}
	if next == nil {
		return Command{}, false
	}
	p.lastAdmission[next.Site] = now
	return Command{Op: Step, Machine: next.Name, Serial: next.Serial, To: Admitted, Reason: "capacity is available"}, true
}

// siteCapacity is the capacity of a site's machines in service and of the largest two of them.
type siteCapacity struct{ total, largest, secondLargest float64 }

// remaining returns the site's capacity without a machine of the given capacity and without the largest other one.
func (c siteCapacity) remaining(machine float64) float64 {
	if machine >= c.largest {
		return c.total - machine - c.secondLargest
	}
	return c.total - machine - c.largest
}

// siteCapacities returns the capacities of all sites, by name.
func (p *Planner) siteCapacities(all []Request, f *Observations) map[string]siteCapacity {
	capacities := map[string]siteCapacity{}
	for _, m := range f.Machines {
		capacity := p.effectiveCapacity(&m, all)
		site := capacities[m.Site]
		site.total += capacity
		if capacity > site.largest {
			site.largest, site.secondLargest = capacity, site.largest
		} else {
			site.secondLargest = max(site.secondLargest, capacity)
		}
		capacities[m.Site] = site
	}
	return capacities
}

// effectiveCapacity returns the capacity that a machine can be relied on for in its present state.
func (p *Planner) effectiveCapacity(m *MachineFacts, all []Request) float64 {
	if !m.Alive || !m.Ready {
		return 0
	}
	if i, requested := slices.BinarySearchFunc(all, m.Name, func(r Request, name string) int { return cmp.Compare(r.Name, name) }); requested {
		switch all[i].State {
		case Admitted, Draining, OutOfService, Returning:
			return 0
		case Warming:
			return m.Capacity * p.rules.ColdCapacity
		}
	}
	return m.Capacity
}

// capacityBlocker returns why a machine's site can't do without it now; "": it can.
func (p *Planner) capacityBlocker(now time.Duration, r *Request, capacity siteCapacity, f *Observations) string {
	machine, known := f.Machines[r.Name]
	site, siteKnown := f.Sites[r.Site]
	switch {
	case !known || !siteKnown:
		return "nothing is known of the machine or of its site yet"
	case !machine.Alive:
		return "the machine has failed by itself"
	}
	if last, admitted := p.lastAdmission[r.Site]; admitted && now-last < p.rules.AdmissionInterval {
		return fmt.Sprintf("another machine of the site was admitted %v ago; one is admitted every %v, as connections move", (now - last).Round(time.Second), p.rules.AdmissionInterval)
	}
	machineCapacity := 0.0
	if machine.Ready {
		machineCapacity = machine.Capacity
	}
	if required, left := site.RequiredCapacity*(1+p.rules.SpareCapacity), capacity.remaining(machineCapacity); left < required {
		return fmt.Sprintf("site %s would have capacity for %.0f requests per second with one more machine lost, and needs %.0f", r.Site, max(0, left), required)
	}
	return ""
}
