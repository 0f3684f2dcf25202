package scale

import (
	"fmt"
	"io"
	"strings"
	"time"

	"curlewring/internal/rig/leases"
)

// Unit is the unit of a figure.
type Unit int

// The units.
const (
	Bytes Unit = iota
	BytesPerSecond
	PerSecond
	Core
	Seconds
)

// format formats a value with its unit.
func (u Unit) format(value float64) string {
	switch u {
	case Bytes, BytesPerSecond:
		text := formatBytes(value)
		if u == BytesPerSecond {
			text += "/s"
		}
		return text
	case PerSecond:
		return fmt.Sprintf("%.3g/s", value)
	case Core:
		return fmt.Sprintf("%.2f%% of a core", 100*value)
	default:
		return time.Duration(value * float64(time.Second)).Round(100 * time.Nanosecond).String()
	}
}

// formatBytes formats a number of bytes with a binary unit prefix.
func formatBytes(value float64) string {
	switch {
	case value >= 1<<20:
		return fmt.Sprintf("%.1f MB", value/(1<<20))
	case value >= 1<<10:
		return fmt.Sprintf("%.1f kB", value/(1<<10))
	default:
		return fmt.Sprintf("%.0f B", value)
	}
}

// Figure is one cost of one role, measured at several sizes.
type Figure struct {
	Role      string
	Name      string
	Mechanism string // what causes the cost
	Unit      Unit
	Allowed   float64 // at the planned size; 0: no limit is stated
	Samples   []Sample
}

// Verdict says whether a figure is within its limit at the planned size.
type Verdict string

// The verdicts.
const (
	WithinLimit Verdict = "holds"
	OverLimit   Verdict = "does not hold"
	NoLimit     Verdict = "no limit is stated"
)

// Evaluate compares a figure at the planned size with its limit. The value there is extrapolated by the fit unless it
// was measured.
func (f *Figure) Evaluate(plan Plan) (fit Fit, planned float64, verdict Verdict) {
	fit = NewFit(f.Samples)
	planned = fit.At(plan.Nodes)
	if largest := f.Samples[len(f.Samples)-1]; largest.Size == plan.Nodes {
		planned = largest.Value // measured, not extrapolated
	}
	switch {
	case f.Allowed == 0:
		verdict = NoLimit
	case planned <= f.Allowed:
		verdict = WithinLimit
	default:
		verdict = OverLimit
	}
	return fit, planned, verdict
}

// Report holds all figures of one run.
type Report struct {
	Plan       Plan
	Figures    []Figure
	Unmeasured []Unmeasured
	Path       []PathRow
}

// Unmeasured is a requirement of the plan that no run measures.
type Unmeasured struct {
	Requirement string
	Verdict     string
	Reason      string
}

// PathRow says whether the next node accepts the budget header of a long path.
type PathRow struct {
	Hops      int
	NameBytes int
	Length    int
	Err       error // why the header is rejected; nil: it is accepted
}

// Sizes holds the sizes that a report measures, each list in increasing order.
type Sizes struct {
	Membership []int // fleets simulated in virtual time
	State      []int // fleets in which each node has its own view, to measure its memory
	Servers    []int // lengths of server lists
	Discovery  []int // nodes that watch one list
	Leases     []int // nodes with one lease each
}

// MaxNodes is the largest size that a report measures.
const MaxNodes = 20_000

// minSizeCount is how many sizes a fit needs.
const minSizeCount = 4

// Validate returns a SettingError for the first list of sizes that is too short, not increasing or out of range.
func (s *Sizes) Validate(zones int) error {
	for _, list := range []struct {
		key   string
		sizes []int
	}{{"membership", s.Membership}, {"state", s.State}, {"servers", s.Servers}, {"discovery", s.Discovery}, {"leases", s.Leases}} {
		if len(list.sizes) < minSizeCount {
			return &SettingError{list.key + " (number of sizes)", len(list.sizes), minSizeCount, MaxNodes}
		}
		previous := 2*zones - 1 // a fleet needs at least two nodes in each zone
		for _, size := range list.sizes {
			if size <= previous || size > MaxNodes {
				return &SettingError{list.key, size, previous + 1, MaxNodes}
			}
			previous = size
		}
	}
	return nil
}

// Run measures all figures. Progress is reported with a line for each size.
func Run(plan Plan, sizes Sizes, seed uint64, progress func(string)) (*Report, error) {
	if err := sizes.Validate(plan.Zones); err != nil {
		return nil, err
	}
	r := &Report{Plan: plan, Unmeasured: unmeasuredRequirements(plan)}
	if err := r.measureMembership(sizes, seed, progress); err != nil {
		return nil, err
	}
	if err := r.measureLeases(sizes, seed, progress); err != nil {
		return nil, err
	}
	if err := r.measureServers(sizes, progress); err != nil {
		return nil, err
	}
	r.measureDiscovery(sizes, progress)
	for _, hops := range []int{4, 8, 16, plan.Hops} {
		const nameBytes = 16
		length, err := PathHeader(hops, nameBytes)
		r.Path = append(r.Path, PathRow{hops, nameBytes, length, err})
	}
	return r, nil
}

// measureMembership adds the figures of package membership.
func (r *Report) measureMembership(sizes Sizes, seed uint64, progress func(string)) error {
	control := r.Plan.Control
	const mechanism = "`fleet/membership`: each node watches ten others and learns of changes by gossip"
	figures := []Figure{
		{Name: "sent at rest", Unit: BytesPerSecond, Allowed: control.BytesPerSecond},
		{Name: "messages sent at rest", Unit: PerSecond},
		{Name: "processor time at rest", Unit: Core, Allowed: control.Core},
		{Name: "sent in the 10 s after a zone is lost", Unit: BytesPerSecond, Allowed: control.BytesPerSecond},
		{Name: "sent in the 10 s after it is back", Unit: BytesPerSecond, Allowed: control.BytesPerSecond},
		{Name: "sent during a release of all nodes in an hour", Unit: BytesPerSecond, Allowed: control.BytesPerSecond},
		{Name: "all started at once, until all agree", Unit: Seconds},
		{Name: "a crash, until all know", Unit: Seconds},
		{Name: "a zone lost, until all know (10 s at the least)", Unit: Seconds},
	}
	for _, size := range sizes.Membership {
		progress(fmt.Sprintf("membership of %d nodes", size))
		c, err := MeasureMembership(size, r.Plan.Zones, seed)
		if err != nil {
			return err
		}
		for i, value := range []float64{
			c.RestBytes, c.RestMessages, c.RestCore, c.ZoneLossBytes, c.ZoneReturnBytes, c.ReleaseBytes,
			c.Convergence.Seconds(), c.CrashDetection.Seconds(), c.ZoneLossDetection.Seconds(),
		} {
			figures[i].Samples = append(figures[i].Samples, Sample{size, value})
		}
	}
	state := Figure{Name: "memory of a node's view and its watch on others", Unit: Bytes, Allowed: float64(control.Memory)}
	for _, size := range sizes.State {
		progress(fmt.Sprintf("state of %d members", size))
		bytes, err := MeasureMembershipState(size, seed)
		if err != nil {
			return err
		}
		state.Samples = append(state.Samples, Sample{size, bytes})
	}
	for _, f := range append(figures, state) {
		f.Role, f.Mechanism = "member", mechanism
		r.Figures = append(r.Figures, f)
	}
	return nil
}

// measureLeases adds the figures of the leases and their log.
func (r *Report) measureLeases(sizes Sizes, seed uint64, progress func(string)) error {
	const mechanism = "`fleet/lease` in the log of `fleet/consensus`: 7 voters, one lease a node, renewed within its time to live of 2 s"
	figures := []Figure{
		{Role: "leader of 7 voters", Name: "sent, one lease a node", Unit: BytesPerSecond},
		{Role: "leader of 7 voters", Name: "messages sent", Unit: PerSecond},
		{Role: "leader of 7 voters", Name: "syncs of its disk", Unit: PerSecond},
		{Role: "voter", Name: "sent, one lease a node", Unit: BytesPerSecond},
		{Role: "holder of a lease", Name: "sent", Unit: BytesPerSecond, Allowed: r.Plan.Control.BytesPerSecond},
	}
	for _, size := range sizes.Leases {
		progress(fmt.Sprintf("leases of %d nodes", size))
		c, err := leases.MeasureCost(size, r.Plan.Voters, 1, seed)
		if err != nil {
			return err
		}
		for i, value := range []float64{c.LeaderBytes, c.LeaderMessages, c.LeaderSyncs, c.VoterBytes, c.HolderBytes} {
			figures[i].Samples = append(figures[i].Samples, Sample{size, value})
		}
	}
	for _, f := range figures {
		f.Mechanism = mechanism
		r.Figures = append(r.Figures, f)
	}
	return nil
}

// measureServers adds the figures of a node that watches the server list of one service.
func (r *Report) measureServers(sizes Sizes, progress func(string)) error {
	figures := []Figure{
		{Name: "a whole answer of discovery", Unit: Bytes},
		{Name: "memory of the view and the module", Unit: Bytes, Allowed: float64(r.Plan.Control.Memory)},
		{Name: "reading a whole answer", Unit: Seconds},
		{Name: "one change, from the answer to the module", Unit: Seconds},
		{Name: "one decision", Unit: Seconds, Allowed: r.Plan.AddedLatency.Seconds()},
	}
	for _, size := range sizes.Servers {
		progress(fmt.Sprintf("a list of %d servers", size))
		c, err := MeasureServers(size)
		if err != nil {
			return err
		}
		for i, value := range []float64{c.ListBytes, c.Heap, c.Parse.Seconds(), c.Change.Seconds(), c.Decision.Seconds()} {
			figures[i].Samples = append(figures[i].Samples, Sample{size, value})
		}
	}
	for _, f := range figures {
		f.Role, f.Mechanism = "watcher of one service", "`servers/endpoints` and `decide`: each node holds the whole list of the service, and sends to a subset"
		r.Figures = append(r.Figures, f)
	}
	return nil
}

// measureDiscovery adds the figure of the watchers that call discovery again after a change.
func (r *Report) measureDiscovery(sizes Sizes, progress func(string)) {
	f := Figure{
		Role: "watcher of one service", Name: "one change, until all watch again, 165 calls a second", Unit: Seconds,
		Mechanism: "`endpoints.CallPacer`: each node calls discovery once for each change of a list that it watches",
		Allowed:   r.Plan.ConfigDelay.Seconds(),
	}
	for _, size := range sizes.Discovery {
		progress(fmt.Sprintf("%d watchers", size))
		f.Samples = append(f.Samples, Sample{size, MeasureWatcherReconnect(size, CurrentDiscovery()).Seconds()})
	}
	r.Figures = append(r.Figures, f)
}

// unmeasuredRequirements returns the requirements of the plan that no run of this package measures.
func unmeasuredRequirements(plan Plan) []Unmeasured {
	return []Unmeasured{
		{
			fmt.Sprintf("%d changes of configuration a day, in force everywhere within %v", plan.ConfigChanges, plan.ConfigDelay),
			"does not hold", "nothing distributes configuration: files and SIGHUP, node by node",
		},
		{
			fmt.Sprintf("%d regions lose each other for an hour", plan.Regions),
			"not known", "membership is one view that wants a majority: a region apart is a minority; not played at this size",
		},
		{fmt.Sprintf("%d machines for control: processor time of a voter", plan.Voters), "not known", "virtual time counts messages, bytes and syncs"},
		{fmt.Sprintf("subsets of %d services of very different sizes", plan.Services), "not known", "played for one service only"},
		{"clocks that differ", "not known", "turns fall by chance then; not played at this size"},
	}
}

// Write prints the report as Markdown.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| role | figure | samples (size: value) | grows | residual | at the planned size | extrapolated | allowed | verdict | breaks at |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range r.Figures {
		r.Figures[i].writeRow(&b, r.Plan)
	}
	b.WriteString("\nMechanisms:\n\n")
	written := map[string]bool{}
	for _, f := range r.Figures {
		if line := fmt.Sprintf("- %s: %s.\n", f.Role, f.Mechanism); !written[line] {
			written[line] = true
			b.WriteString(line)
		}
	}
	b.WriteString("\n| nodes on a path | bytes of each name | bytes of the budget header | taken by the next node |\n| --- | --- | --- | --- |\n")
	for _, p := range r.Path {
		taken := "yes"
		if p.Err != nil {
			taken = "no: " + p.Err.Error()
		}
		fmt.Fprintf(&b, "| %d | %d | %d | %s |\n", p.Hops, p.NameBytes, p.Length, taken)
	}
	b.WriteString("\n| requirement | verdict | why |\n| --- | --- | --- |\n")
	for _, m := range r.Unmeasured {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", m.Requirement, m.Verdict, m.Reason)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeRow writes the figure as a row of the report's table.
func (f *Figure) writeRow(b *strings.Builder, plan Plan) {
	fit, planned, verdict := f.Evaluate(plan)
	samples := make([]string, len(f.Samples))
	for i, s := range f.Samples {
		samples[i] = fmt.Sprintf("%d: %s", s.Size, f.Unit.format(s.Value))
	}
	extrapolated := "no"
	if factor := float64(plan.Nodes) / float64(fit.Largest); factor > 1 {
		extrapolated = fmt.Sprintf("%.1f times", factor)
	}
	allowed, exceededAt := "-", "-"
	if f.Allowed > 0 {
		allowed = f.Unit.format(f.Allowed)
		if size := fit.LimitExceededAt(f.Allowed); size > 0 {
			exceededAt = fmt.Sprint(size)
		}
	}
	fmt.Fprintf(b, "| %s | %s | %s | %s | %.0f%% | %s | %s | %s | %s | %s |\n", f.Role, f.Name, strings.Join(samples, ", "), fit.Growth,
		100*fit.Residual, f.Unit.format(planned), extrapolated, allowed, verdict, exceededAt)
}
