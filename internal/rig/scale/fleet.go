package scale

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"curlewring/internal/rig/lab"
)

// FleetSettings describes a run of real node processes among simulated nodes.
type FleetSettings struct {
	SimulatedNodes int
	RealNodes      int
	Zones          int           // of the simulated nodes
	SettleTime     time.Duration // wait after all agree: gossip about the start continues for a while
	RestTime       time.Duration // how long the idle cost is measured
	LoadTime       time.Duration // how long calls are sent, directly to the servers and through the nodes
	Rate           float64       // calls per second at each real node
	Servers        int
}

// Limits of the settings of a run.
const (
	maxSimulatedNodes = 2000
	maxRealNodes      = 100
	maxZones          = 100
	maxServers        = 200
	minPhaseTime      = 100 * time.Millisecond
	maxPhaseTime      = 5 * time.Minute
	maxRate           = 1000
)

// SettingError reports a setting of a run or a report that is out of range.
type SettingError struct {
	Key      string
	Value    any
	Min, Max any
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s: %v is out of range, want %v to %v", e.Key, e.Value, e.Min, e.Max)
}

// Validate returns a SettingError for the first setting that is out of range.
func (s *FleetSettings) Validate() error {
	for _, x := range []struct {
		key      string
		value    int
		min, max int
	}{
		{"hollow", s.SimulatedNodes, 0, maxSimulatedNodes},
		{"real", s.RealNodes, 1, maxRealNodes},
		{"zones", s.Zones, 1, maxZones},
		{"servers", s.Servers, 1, maxServers},
	} {
		if x.value < x.min || x.value > x.max {
			return &SettingError{x.key, x.value, x.min, x.max}
		}
	}
	if s.SimulatedNodes > 0 && s.SimulatedNodes < max(seedCount, s.Zones) {
		return &SettingError{"hollow", s.SimulatedNodes, max(seedCount, s.Zones), maxSimulatedNodes}
	}
	for _, x := range []struct {
		key   string
		value time.Duration
	}{{"settle", s.SettleTime}, {"rest", s.RestTime}, {"load", s.LoadTime}} {
		if x.value < minPhaseTime || x.value > maxPhaseTime {
			return &SettingError{x.key, x.value, minPhaseTime, maxPhaseTime}
		}
	}
	if !(s.Rate >= 1 && s.Rate <= maxRate) { // also rejects NaN
		return &SettingError{"rate", s.Rate, 1, maxRate}
	}
	return nil
}

// FleetReport holds what was measured at the real nodes.
type FleetReport struct {
	Nodes             int
	Convergence       time.Duration // from the start of the real nodes until all nodes have one view
	Bytes             float64       // sent for membership per real node and second, idle
	Messages          float64
	Core              float64       // fraction of a core that a whole real node uses when idle
	CrashDetection    time.Duration // from the kill of a simulated node until all views lack it; 0: not measured
	ZoneLossDetection time.Duration // from the kill of a zone until all views lack it; 0: no zone to kill
	ZoneReturn        time.Duration // from the restart of that zone until all nodes have one view again
	RealNodeDetection time.Duration // from its kill until all views lack it; 0: there is only one
	Latency           LatencyCost
	Violations        []string // of the rules for nodes
}

// Write prints the report as Markdown, with the limits of the plan.
func (r *FleetReport) Write(w io.Writer, plan Plan) error {
	added, lowest, highest := r.Latency.Added()
	var b strings.Builder
	fmt.Fprintf(&b, "| of %d nodes, at each real one | measured | allowed |\n| --- | --- | --- |\n", r.Nodes)
	for _, row := range []struct{ name, measured, allowed string }{
		{"sent for membership at rest", BytesPerSecond.format(r.Bytes), BytesPerSecond.format(plan.Control.BytesPerSecond)},
		{"messages sent at rest", PerSecond.format(r.Messages), "-"},
		{"processor time at rest, all of the node", Core.format(r.Core), Core.format(plan.Control.Core)},
		{"all started, until all agree", formatDuration(r.Convergence), "-"},
		{"a crash, until all know", formatDuration(r.CrashDetection), "-"},
		{"a zone killed at once, until all know", formatDuration(r.ZoneLossDetection), "-"},
		{"the zone back, until all agree", formatDuration(r.ZoneReturn), "-"},
		{"a real node killed, until all know", formatDuration(r.RealNodeDetection), "-"},
		{"a call straight to a server, median", formatDuration(r.Latency.DirectMedian), "-"},
		{"a call through a node, median", formatDuration(r.Latency.ProxiedMedian), "-"},
		{
			"added at p99, median of the rounds", fmt.Sprintf("%v (%v to %v)", formatDuration(added), formatDuration(lowest), formatDuration(highest)),
			formatDuration(plan.AddedLatency),
		},
		{"rules broken", fmt.Sprint(len(r.Violations)), "0"},
	} {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", row.name, row.measured, row.allowed)
	}
	for _, violation := range r.Violations {
		fmt.Fprintf(&b, "\nbroken: %s\n", violation)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatDuration formats a duration for a table; 0, which means not measured, is a dash.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Microsecond).String()
}

// fleetRun is a run in progress.
type fleetRun struct {
	settings        FleetSettings
	lab             *lab.Lab
	simulated       *simulatedNodes
	killedRealNodes int // the last ones, by their index
}

// datagramHeaders is the length of the UDP and IP headers of a datagram in bytes.
const datagramHeaders = 28

// Timing of the waits for agreement.
const (
	agreementTimeout = 2 * time.Minute
	pollInterval     = 50 * time.Millisecond
)

// RunFleet starts simulated nodes in this process and real nodes as child processes, and measures the real nodes idle,
// under load and while nodes fail. It stops all nodes before it returns. Progress is reported with a line for each
// phase.
func RunFleet(ctx context.Context, settings FleetSettings, progress func(string)) (*FleetReport, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	f := &fleetRun{settings: settings, simulated: &simulatedNodes{}}
	defer f.close()
	if err := f.start(ctx, progress); err != nil {
		return nil, err
	}
	r := &FleetReport{Nodes: settings.SimulatedNodes + settings.RealNodes}
	for _, phase := range []struct {
		name string
		do   func(context.Context, *FleetReport) error
	}{
		{"until all agree", f.measureConvergence}, {"rest", f.measureRest}, {"load", f.measureLoad}, {"a crash", f.measureCrash}, {"a zone", f.measureZoneLoss}, {"a real node", f.measureRealNodeLoss},
	} {
		progress(phase.name)
		if err := phase.do(ctx, r); err != nil {
			return nil, fmt.Errorf("%s: %w", phase.name, err)
		}
	}
	for _, breach := range f.lab.Fleet.Judge.Check(f.lab.Fleet.Clock.Now()).Breaches {
		r.Violations = append(r.Violations, breach.String())
	}
	return r, nil
}

// start starts the simulated nodes, then the lab with the real ones.
func (f *fleetRun) start(ctx context.Context, progress func(string)) error {
	progress(fmt.Sprintf("%d simulated nodes", f.settings.SimulatedNodes))
	simulated, err := startSimulatedNodes(f.settings.SimulatedNodes, f.settings.Zones)
	if err != nil {
		return err
	}
	f.simulated = simulated
	progress(fmt.Sprintf("%d real nodes", f.settings.RealNodes))
	f.lab, err = lab.Open(ctx, lab.Options{
		Plan: latencyPlan(f.settings.Servers), Nodes: f.settings.RealNodes, Membership: true, NoRelays: true, Seeds: f.simulated.seeds,
	})
	return err
}

func (f *fleetRun) close() {
	if f.lab != nil {
		f.lab.Close()
	}
	f.simulated.close()
}

// runningCount returns how many nodes run.
func (f *fleetRun) runningCount() int {
	return f.simulated.runningCount() + f.settings.RealNodes - f.killedRealNodes
}

// awaitAgreement waits until all running nodes have one view with exactly these members, and returns how long that
// took.
func (f *fleetRun) awaitAgreement(ctx context.Context) (time.Duration, error) {
	start := time.Now()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if f.allAgree(ctx) {
			return time.Since(start), nil
		}
		if time.Since(start) > agreementTimeout {
			return 0, fmt.Errorf("%d nodes do not agree on one view after %v", f.runningCount(), agreementTimeout)
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-tick.C:
		}
	}
}

// allAgree reports whether all running nodes have one view. It checks the simulated nodes first because that is cheap.
func (f *fleetRun) allAgree(ctx context.Context) bool {
	if _, ok := f.simulated.agreedView(f.runningCount()); !ok {
		return false
	}
	number := uint64(0)
	for i := range f.settings.RealNodes - f.killedRealNodes {
		report, err := f.lab.MembershipOf(ctx, realNodeName(i))
		membership := report.Standing
		if err != nil || len(membership.Members) != f.runningCount() || i > 0 && membership.Number != number {
			return false
		}
		number = membership.Number
	}
	return true
}

// realNodeName returns the name of a real node in the lab. The node with the highest index is killed first.
func realNodeName(i int) string { return fmt.Sprintf("n%d", i) }

// measureConvergence waits until all nodes agree after the start.
func (f *fleetRun) measureConvergence(ctx context.Context, r *FleetReport) (err error) {
	r.Convergence, err = f.awaitAgreement(ctx)
	return err
}

// sleep waits for a duration. It is used for intervals over which rates are measured, never to wait for a condition.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// totalSent returns what all real nodes together have sent for membership, headers included.
func (f *fleetRun) totalSent(ctx context.Context) (messages, bytes int64, err error) {
	for i := range f.settings.RealNodes {
		report, err := f.lab.MembershipOf(ctx, realNodeName(i))
		if err != nil {
			return 0, 0, err
		}
		messages, bytes = messages+report.Sent, bytes+report.Bytes+report.Sent*datagramHeaders
	}
	return messages, bytes, nil
}

// measureRest measures the cost of the real nodes while nothing happens.
func (f *fleetRun) measureRest(ctx context.Context, r *FleetReport) error {
	if err := sleep(ctx, f.settings.SettleTime); err != nil {
		return err
	}
	messages, bytes, err := f.totalSent(ctx)
	if err != nil {
		return err
	}
	start, cpuTime := time.Now(), f.lab.CPUTime()
	if err := sleep(ctx, f.settings.RestTime); err != nil {
		return err
	}
	nodeSeconds := time.Since(start).Seconds() * float64(f.settings.RealNodes)
	r.Core = (f.lab.CPUTime() - cpuTime).Seconds() / nodeSeconds
	messagesAfter, bytesAfter, err := f.totalSent(ctx)
	r.Messages, r.Bytes = float64(messagesAfter-messages)/nodeSeconds, float64(bytesAfter-bytes)/nodeSeconds
	return err
}

// measureLoad measures the latency that the real nodes add to calls.
func (f *fleetRun) measureLoad(ctx context.Context, r *FleetReport) (err error) {
	const rounds = 3
	settings := LatencySettings{Rounds: rounds, RoundTime: f.settings.LoadTime / (2 * rounds), Rate: f.settings.Rate}
	r.Latency, err = measureLatency(ctx, f.lab.Fleet, f.lab.Clients(), settings)
	return err
}

// measureCrash kills one simulated node that is not a seed.
func (f *fleetRun) measureCrash(ctx context.Context, r *FleetReport) (err error) {
	if f.settings.SimulatedNodes <= seedCount {
		return nil
	}
	f.simulated.kill(f.simulated.nodes[f.settings.SimulatedNodes-1:])
	r.CrashDetection, err = f.awaitAgreement(ctx)
	return err
}

// measureZoneLoss kills a zone of simulated nodes at once and starts it again.
func (f *fleetRun) measureZoneLoss(ctx context.Context, r *FleetReport) (err error) {
	if f.settings.SimulatedNodes == 0 || f.settings.Zones < 2 {
		return nil
	}
	// This zone has no seeds if there are more zones than seeds.
	zone := f.simulated.nodesInZone(f.simulated.nodes[f.settings.Zones-1].zone)
	f.simulated.kill(zone)
	if r.ZoneLossDetection, err = f.awaitAgreement(ctx); err != nil {
		return err
	}
	for _, n := range zone {
		if err := f.simulated.start(n); err != nil {
			return err
		}
	}
	r.ZoneReturn, err = f.awaitAgreement(ctx)
	return err
}

// measureRealNodeLoss kills a real node.
func (f *fleetRun) measureRealNodeLoss(ctx context.Context, r *FleetReport) (err error) {
	if f.settings.RealNodes < 2 {
		return nil
	}
	if err := f.lab.Kill(realNodeName(f.settings.RealNodes - 1)); err != nil {
		return err
	}
	f.killedRealNodes++
	r.RealNodeDetection, err = f.awaitAgreement(ctx)
	return err
}
