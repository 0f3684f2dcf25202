package scale

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"curlewring/internal/rig/lab"
	"curlewring/internal/rig/standin"
)

// FleetSettings describe a run of real nodes among hollow ones.
type FleetSettings struct {
	SimulatedNodes int
	RealNodes      int
	Zones          int           // of the hollow nodes
	SettleTime     time.Duration // after all have one view: rumours of the start go on for a while
	RestTime       time.Duration // over which control is measured with nothing happening
	LoadTime       time.Duration // over which calls are sent, straight to the servers and through the nodes
	Rate           float64       // calls a second at each real node
	Servers        int
}

// Bounds of a run.
const (
	mostHollow  = 2000
	mostReal    = 100
	mostZones   = 100
	mostServers = 200
	leastLength = 100 * time.Millisecond
	mostLength  = 5 * time.Minute
	mostRate    = 1000
)

// SettingError is a setting of a run or a report that is not allowed.
type SettingError struct {
	Key      string
	Value    any
	Min, Max any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %v is not allowed, %v to %v are", e.Key, e.Value, e.Min, e.Max)
}

// Validate tells what is wrong with the settings.
func (s *FleetSettings) Validate() error {
	for _, x := range []struct {
		key         string
		value       int
		least, most int
	}{
		{"hollow", s.SimulatedNodes, 0, mostHollow},
		{"real", s.RealNodes, 1, mostReal},
		{"zones", s.Zones, 1, mostZones},
		{"servers", s.Servers, 1, mostServers},
	} {
		if x.value < x.least || x.value > x.most {
			return &SettingError{x.key, x.value, x.least, x.most}
		}
	}
	if s.SimulatedNodes > 0 && s.SimulatedNodes < max(seedCount, s.Zones) {
		return &SettingError{"hollow", s.SimulatedNodes, max(seedCount, s.Zones), mostHollow}
	}
	for _, x := range []struct {
		key   string
		value time.Duration
	}{{"settle", s.SettleTime}, {"rest", s.RestTime}, {"load", s.LoadTime}} {
		if x.value < leastLength || x.value > mostLength {
			return &SettingError{x.key, x.value, leastLength, mostLength}
		}
	}
	if !(s.Rate >= 1 && s.Rate <= mostRate) { // NaN is neither
		return &SettingError{"rate", s.Rate, 1, mostRate}
	}
	return nil
}

// FleetReport is what was measured at the real nodes.
type FleetReport struct {
	Nodes             int
	Convergence       time.Duration // from the start of the real nodes until all have one view
	Bytes             float64       // sent for membership by a real node in a second, at rest
	Messages          float64
	Core              float64 // part of a core of a real node at rest, all that it does included
	CrashDetection    time.Duration
	ZoneLossDetection time.Duration // a zone of hollow nodes killed at once, until no real node's view has any of it; 0: there is none
	ZoneReturn        time.Duration // the same zone started at once, until all have one view again
	RealNodeDetection time.Duration // a real node killed, until all others know; 0: there is one only
	Latency           LatencyCost
	Violations        []string // rules
}

// Write prints the report as Markdown, with what the plan allows.
func (r *FleetReport) Write(w io.Writer, plan Plan) error {
	added, least, most := r.Latency.Added()
	var b strings.Builder
	fmt.Fprintf(&b, "| of %d nodes, at each real one | measured | allowed |\n| --- | --- | --- |\n", r.Nodes)
	for _, row := range []struct{ name, measured, allowed string }{
		{"sent for membership at rest", BytesPerSecond.format(r.Bytes), BytesPerSecond.format(plan.Control.BytesPerSecond)},
		{"messages sent at rest", PerSecond.format(r.Messages), "-"},
		{"processor time at rest, all of the node", Core.format(r.Core), Core.format(plan.Control.Core)},
		{"all started, until all agree", rounded(r.Convergence), "-"},
		{"a crash, until all know", rounded(r.CrashDetection), "-"},
		{"a zone killed at once, until all know", rounded(r.ZoneLossDetection), "-"},
		{"the zone back, until all agree", rounded(r.ZoneReturn), "-"},
		{"a real node killed, until all know", rounded(r.RealNodeDetection), "-"},
		{"a call straight to a server, median", rounded(r.Latency.DirectMedian), "-"},
		{"a call through a node, median", rounded(r.Latency.ProxiedMedian), "-"},
		{
			"added at p99, median of the rounds", fmt.Sprintf("%v (%v to %v)", rounded(added), rounded(least), rounded(most)),
			rounded(plan.AddedLatency),
		},
		{"rules broken", fmt.Sprint(len(r.Violations)), "0"},
	} {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", row.name, row.measured, row.allowed)
	}
	for _, broken := range r.Violations {
		fmt.Fprintf(&b, "\nbroken: %s\n", broken)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// rounded writes a time; none as a dash.
func rounded(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Microsecond).String()
}

// fleet is a run in progress.
type fleet struct {
	set     FleetSettings
	lab     *lab.Lab
	hollows *hollows
	down    int // real nodes that do not run
}

// datagramHeads is what UDP and IP add to a message.
const datagramHeads = 28

// Waits of a run.
const (
	agreePatience = 2 * time.Minute
	lookEvery     = 50 * time.Millisecond
)

// RunFleet starts hollow nodes in this process and real ones as children, measures the real ones at rest and under load, and
// again as nodes fail. It ends all that it started.
func RunFleet(ctx context.Context, set FleetSettings, progress func(string)) (*FleetReport, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	f := &fleet{set: set, hollows: &hollows{}}
	defer f.close()
	if err := f.start(ctx, progress); err != nil {
		return nil, err
	}
	r := &FleetReport{Nodes: set.SimulatedNodes + set.RealNodes}
	for _, part := range []struct {
		name string
		do   func(context.Context, *FleetReport) error
	}{
		{"until all agree", f.agreed}, {"rest", f.rest}, {"load", f.load}, {"a crash", f.crash}, {"a zone", f.zone}, {"a real node", f.killReal},
	} {
		progress(part.name)
		if err := part.do(ctx, r); err != nil {
			return nil, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	for _, breach := range f.lab.Fleet.Judge.Check(f.lab.Fleet.Clock.Now()).Breaches {
		r.Violations = append(r.Violations, breach.String())
	}
	return r, nil
}

func (f *fleet) start(ctx context.Context, progress func(string)) (err error) {
	progress(fmt.Sprintf("%d hollow nodes", f.set.SimulatedNodes))
	if f.hollows, err = startHollows(f.set.SimulatedNodes, f.set.Zones); err != nil {
		return err
	}
	plan := standin.DefaultPlan()
	plan.Servers, plan.Speeds = f.set.Servers, []float64{1}
	for i := range plan.Classes {
		plan.Classes[i].Work, plan.Classes[i].Spread = latencyWork, 0
	}
	progress(fmt.Sprintf("%d real nodes", f.set.RealNodes))
	f.lab, err = lab.Open(ctx, lab.Options{Plan: plan, Nodes: f.set.RealNodes, Membership: true, NoRelays: true, Seeds: f.hollows.seeds})
	return err
}

func (f *fleet) close() {
	if f.lab != nil {
		f.lab.Close()
	}
	f.hollows.close()
}

// living is how many nodes run.
func (f *fleet) living() int { return f.hollows.living() + f.set.RealNodes - f.down }

// await waits until all nodes that run have one view of each other and nobody else, and returns how long that took.
func (f *fleet) await(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		if f.together(ctx) {
			return time.Since(begun), nil
		}
		if time.Since(begun) > agreePatience {
			return 0, fmt.Errorf("%d nodes have no common view after %v", f.living(), agreePatience)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-tick.C:
		}
	}
}

// together tells whether all nodes that run have one view. The hollow ones are looked at first, as that costs nothing.
func (f *fleet) together(ctx context.Context) bool {
	if _, ok := f.hollows.agree(f.living()); !ok {
		return false
	}
	number := uint64(0)
	for i := range f.set.RealNodes - f.down {
		report, err := f.lab.MembershipOf(ctx, realName(i))
		standing := report.Standing
		if err != nil || len(standing.Members) != f.living() || i > 0 && standing.Number != number {
			return false
		}
		number = standing.Number
	}
	return true
}

// realName is the lab's name of a real node. The last ones are killed first.
func realName(i int) string { return fmt.Sprintf("n%d", i) }

func (f *fleet) agreed(ctx context.Context, r *FleetReport) (err error) {
	r.Convergence, err = f.await(ctx)
	return err
}

// pass lets time pass; what is measured over it is time itself.
func pass(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sent sums up what the real nodes have sent for membership.
func (f *fleet) sent(ctx context.Context) (messages, bytes int64, err error) {
	for i := range f.set.RealNodes {
		report, err := f.lab.MembershipOf(ctx, realName(i))
		if err != nil {
			return 0, 0, err
		}
		messages, bytes = messages+report.Sent, bytes+report.Bytes+report.Sent*datagramHeads
	}
	return messages, bytes, nil
}

func (f *fleet) rest(ctx context.Context, r *FleetReport) error {
	if err := pass(ctx, f.set.SettleTime); err != nil {
		return err
	}
	messages, bytes, err := f.sent(ctx)
	if err != nil {
		return err
	}
	begun, used := time.Now(), f.lab.CPUTime()
	if err := pass(ctx, f.set.RestTime); err != nil {
		return err
	}
	seconds := time.Since(begun).Seconds() * float64(f.set.RealNodes)
	r.Core = (f.lab.CPUTime() - used).Seconds() / seconds
	messagesAfter, bytesAfter, err := f.sent(ctx)
	r.Messages, r.Bytes = float64(messagesAfter-messages)/seconds, float64(bytesAfter-bytes)/seconds
	return err
}

func (f *fleet) load(ctx context.Context, r *FleetReport) (err error) {
	const rounds = 3
	set := LatencySettings{Rounds: rounds, RoundTime: f.set.LoadTime / (2 * rounds), Rate: f.set.Rate, Nodes: f.set.RealNodes}
	r.Latency, err = latencyIn(ctx, f.lab, set)
	return err
}

func (f *fleet) crash(ctx context.Context, r *FleetReport) (err error) {
	if f.set.SimulatedNodes <= seedCount {
		return nil
	}
	f.hollows.kill(f.hollows.nodes[f.set.SimulatedNodes-1:])
	r.CrashDetection, err = f.await(ctx)
	return err
}

func (f *fleet) zone(ctx context.Context, r *FleetReport) (err error) {
	if f.set.SimulatedNodes == 0 || f.set.Zones < 2 {
		return nil
	}
	zone := f.hollows.inZone(f.hollows.nodes[f.set.Zones-1].zone) // none of the seeds, if there are zones enough
	f.hollows.kill(zone)
	if r.ZoneLossDetection, err = f.await(ctx); err != nil {
		return err
	}
	for _, n := range zone {
		if err := f.hollows.start(n); err != nil {
			return err
		}
	}
	r.ZoneReturn, err = f.await(ctx)
	return err
}

func (f *fleet) killReal(ctx context.Context, r *FleetReport) (err error) {
	if f.set.RealNodes < 2 {
		return nil
	}
	if err := f.lab.Kill(realName(f.set.RealNodes - 1)); err != nil {
		return err
	}
	f.down++
	r.RealNodeDetection, err = f.await(ctx)
	return err
}
