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

// Real processes among hollow nodes must be one fleet: all agree, a zone that dies at once and a real node that is killed are
// out of all views, the zone comes back into them, and the real nodes serve meanwhile with all rules kept.
func TestRealNodesAmongHollowOnes(t *testing.T) {
	set := FleetSettings{
		SimulatedNodes: 24, RealNodes: 3, Zones: 4, SettleTime: leastLength, RestTime: time.Second, LoadTime: time.Second, Rate: 50, Servers: 6,
	}
	r, err := RunFleet(t.Context(), set, func(part string) { t.Log(part) })
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Nodes != 27 || r.Bytes <= 0 || r.Messages <= 0 || r.Core >= 1 { // the system counts processor time by ticks of 10 ms
		t.Errorf("measured %+v", r)
	}
	for name, took := range map[string]time.Duration{
		"agreed": r.Convergence, "crash": r.CrashDetection, "zone": r.ZoneLossDetection, "zone back": r.ZoneReturn, "real node": r.RealNodeDetection,
	} {
		if took <= 0 {
			t.Errorf("%s: not measured", name)
		}
	}
	if len(r.Latency.Direct) == 0 || r.Latency.DirectMedian < latencyWork || r.Latency.ProxiedMedian < r.Latency.DirectMedian {
		t.Errorf("latency %+v", r.Latency)
	}
	if len(r.Violations) > 0 {
		t.Errorf("broken: %v", r.Violations)
	}
	var text strings.Builder
	if err := r.Write(&text, OperatorsPlan()); err != nil || strings.Count(text.String(), "\n") < 12 {
		t.Errorf("%v, wrote %q", err, text.String())
	}
}

// A run that is ended before its time, as by a signal, must end its children and hollow nodes: TestMain looks for what is left.
func TestEndedRunLeavesNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	set := FleetSettings{
		SimulatedNodes: 6, RealNodes: 2, Zones: 2, SettleTime: leastLength, RestTime: time.Second, LoadTime: time.Second, Rate: 10, Servers: 2,
	}
	_, err := RunFleet(ctx, set, func(part string) {
		if part == "until all agree" { // all have started
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	for i := range set.SimulatedNodes {
		at := hollowAddress(i)
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
		if err != nil {
			t.Errorf("%v is not free: %v", at, err)
			continue
		}
		socket.Close()
	}
}

// A hollow node must cost the others what a real one costs them, or a run among hollow ones would tell nothing of the fleet:
// the same fleet once all real, and once with a few real nodes; of 50, with their processor time, by hand.
func TestHollowNodesCountAsRealOnes(t *testing.T) {
	const zones, most = 2, 0.15
	nodes, rest := 8, 3*time.Second // processor time is counted by ticks, and needs longer
	long := os.Getenv("CURLEWRING_LONG") != ""
	if long {
		nodes, rest = 50, time.Minute
	}
	set := FleetSettings{RealNodes: nodes, Zones: zones, SettleTime: 2 * time.Second, RestTime: rest, LoadTime: time.Second, Rate: 10, Servers: 8}
	real, err := RunFleet(t.Context(), set, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	set.RealNodes, set.SimulatedNodes = 3, nodes-3
	if long {
		set.RealNodes, set.SimulatedNodes = 5, nodes-5
	}
	mixed, err := RunFleet(t.Context(), set, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		name        string
		real, mixed float64
	}{{"bytes", real.Bytes, mixed.Bytes}, {"messages", real.Messages, mixed.Messages}, {"processor time", real.Core, mixed.Core}} {
		off := math.Abs(x.mixed-x.real) / x.real
		t.Logf("%s: %.4g with %d real nodes, %.4g among hollow ones: apart by %.1f%%", x.name, x.real, nodes, x.mixed, 100*off)
		if off > most && (long || x.name != "processor time") {
			t.Errorf("%s are apart by %.1f%%, %.0f%% are allowed", x.name, 100*off, 100*most)
		}
	}
}

func TestBadSettingsOfARunAreRefused(t *testing.T) {
	good := FleetSettings{SimulatedNodes: 20, RealNodes: 2, Zones: 4, SettleTime: time.Second, RestTime: time.Second, LoadTime: time.Second, Rate: 10, Servers: 4}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, spoil := range []func(s *FleetSettings){
		func(s *FleetSettings) { s.SimulatedNodes = mostHollow + 1 }, func(s *FleetSettings) { s.RealNodes = 0 },
		func(s *FleetSettings) { s.Zones = 21 }, func(s *FleetSettings) { s.Zones = 0 },
		func(s *FleetSettings) { s.Servers = 0 }, func(s *FleetSettings) { s.RestTime = time.Hour },
		func(s *FleetSettings) { s.LoadTime = 0 }, func(s *FleetSettings) { s.SettleTime = -1 },
		func(s *FleetSettings) { s.Rate = math.NaN() },
	} {
		bad := good
		spoil(&bad)
		var wrong *SettingError
		if err := bad.Validate(); !errors.As(err, &wrong) || wrong.Min == nil || wrong.Max == nil {
			t.Errorf("%+v: %v", bad, err)
			continue
		}
		keys = append(keys, wrong.Key)
		if _, err := RunFleet(t.Context(), bad, func(string) { t.Error("it has begun") }); err == nil {
			t.Errorf("%+v was run", bad)
		}
	}
	if want := []string{"hollow", "real", "hollow", "zones", "servers", "rest", "load", "settle", "rate"}; !slices.Equal(keys, want) {
		t.Errorf("told %v, want %v", keys, want)
	}
}
