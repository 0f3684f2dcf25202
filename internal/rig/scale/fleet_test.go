package scale

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Real processes and simulated nodes must form one fleet: all agree, a killed zone and a killed real node are removed
// from all views, the zone returns to them, and the real nodes serve meanwhile without breaking a rule.
func TestRealNodesAmongSimulatedNodes(t *testing.T) {
	settings := FleetSettings{
		SimulatedNodes: 24, RealNodes: 3, Zones: 4, SettleTime: minPhaseTime, RestTime: time.Second, LoadTime: time.Second, Rate: 50, Servers: 6,
	}
	r, err := RunFleet(t.Context(), settings, func(phase string) { t.Log(phase) })
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	// The kernel accounts CPU time in ticks of 10 ms, so it may be 0.
	if r.Nodes != 27 || r.Bytes <= 0 || r.Messages <= 0 || r.Core >= 1 {
		t.Errorf("implausible report %+v", r)
	}
	for name, duration := range map[string]time.Duration{
		"convergence": r.Convergence, "crash detection": r.CrashDetection, "zone loss detection": r.ZoneLossDetection, "zone return": r.ZoneReturn, "real node detection": r.RealNodeDetection,
	} {
		if duration <= 0 {
			t.Errorf("%s: not measured", name)
		}
	}
	// TestLatencyOfNodesIsToldFromThatOfServers compares both medians.
	if len(r.Latency.Direct) == 0 || r.Latency.DirectMedian < latencyWork || r.Latency.ProxiedMedian < latencyWork {
		t.Errorf("implausible latency %+v", r.Latency)
	}
	if len(r.Violations) > 0 {
		t.Errorf("rule violations: %v", r.Violations)
	}
	var text strings.Builder
	if err := r.Write(&text, OperatorsPlan()); err != nil || strings.Count(text.String(), "\n") < 12 {
		t.Errorf("writing the report: error %v, text %q", err, text.String())
	}
}

// A run that is cancelled, as by a signal, must stop its child processes and simulated nodes. TestMain checks for
// leaked goroutines.
func TestCancelledRunStopsAllNodes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	settings := FleetSettings{
		SimulatedNodes: 6, RealNodes: 2, Zones: 2, SettleTime: minPhaseTime, RestTime: time.Second, LoadTime: time.Second, Rate: 10, Servers: 2,
	}
	_, err := RunFleet(ctx, settings, func(phase string) {
		if phase == "until all agree" { // all have started
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
	for i := range settings.SimulatedNodes {
		address := simulatedNodeAddress(i)
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			t.Errorf("%v is still in use: %v", address, err)
			continue
		}
		socket.Close()
	}
}

// A simulated node must cost the other nodes what a real one costs them, or runs among simulated nodes say nothing
// about a real fleet. The test compares a fleet of real nodes with one of mostly simulated nodes. With CURLEWRING_LONG
// it uses 50 nodes and compares their CPU time as well.
func TestSimulatedNodesCostAsMuchAsRealOnes(t *testing.T) {
	const zones, maxDifference = 2, 0.15
	nodes, rest := 8, 3*time.Second // CPU time is accounted in ticks and needs longer
	long := os.Getenv("CURLEWRING_LONG") != ""
	if long {
		nodes, rest = 50, time.Minute
	}
	settings := FleetSettings{RealNodes: nodes, Zones: zones, SettleTime: 2 * time.Second, RestTime: rest, LoadTime: time.Second, Rate: 10, Servers: 8}
	real, err := RunFleet(t.Context(), settings, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	settings.RealNodes, settings.SimulatedNodes = 3, nodes-3
	if long {
		settings.RealNodes, settings.SimulatedNodes = 5, nodes-5
	}
	mixed, err := RunFleet(t.Context(), settings, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name        string
		real, mixed float64
	}{{"bytes", real.Bytes, mixed.Bytes}, {"messages", real.Messages, mixed.Messages}, {"CPU time", real.Core, mixed.Core}} {
		difference := math.Abs(x.mixed-x.real) / x.real
		t.Logf("%s: %.4g with %d real nodes, %.4g among simulated nodes: difference %.1f%%", x.name, x.real, nodes, x.mixed, 100*difference)
		if difference > maxDifference && (long || x.name != "CPU time") {
			t.Errorf("%s: difference %.1f%%, want at most %.0f%%", x.name, 100*difference, 100*maxDifference)
		}
	}
}

func TestInvalidFleetSettingsAreRejected(t *testing.T) {
	valid := FleetSettings{SimulatedNodes: 20, RealNodes: 2, Zones: 4, SettleTime: time.Second, RestTime: time.Second, LoadTime: time.Second, Rate: 10, Servers: 4}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, modify := range []func(s *FleetSettings){
		func(s *FleetSettings) { s.SimulatedNodes = maxSimulatedNodes + 1 }, func(s *FleetSettings) { s.RealNodes = 0 },
		func(s *FleetSettings) { s.Zones = 21 }, func(s *FleetSettings) { s.Zones = 0 },
		func(s *FleetSettings) { s.Servers = 0 }, func(s *FleetSettings) { s.RestTime = time.Hour },
		func(s *FleetSettings) { s.LoadTime = 0 }, func(s *FleetSettings) { s.SettleTime = -1 },
		func(s *FleetSettings) { s.Rate = math.NaN() },
	} {
		invalid := valid
		modify(&invalid)
		var settingErr *SettingError
		if err := invalid.Validate(); !errors.As(err, &settingErr) || settingErr.Min == nil || settingErr.Max == nil {
			t.Errorf("%+v: error %v, want a SettingError with limits", invalid, err)
			continue
		}
		keys = append(keys, settingErr.Key)
		if _, err := RunFleet(t.Context(), invalid, func(string) { t.Error("a run with invalid settings has started") }); err == nil {
			t.Errorf("no error for %+v", invalid)
		}
	}
	if want := []string{"hollow", "real", "hollow", "zones", "servers", "rest", "load", "settle", "rate"}; !slices.Equal(keys, want) {
		t.Errorf("rejected keys %v, want %v", keys, want)
	}
}
