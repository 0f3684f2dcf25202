package scale

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// samplesOf returns samples of a function of the size, with an error of 2% up or down.
func samplesOf(law func(n float64) float64, sizes ...int) (samples []Sample) {
	for i, size := range sizes {
		factor := 1 + 0.02*float64(i%2*2-1)
		samples = append(samples, Sample{size, factor * law(float64(size))})
	}
	return samples
}

// A fit must find the growth that the samples were made with, and the size at which it exceeds a limit.
func TestFitFindsTheGrowth(t *testing.T) {
	for growth, law := range map[Growth]func(n float64) float64{
		Constant:    func(float64) float64 { return 40 },
		Logarithmic: func(n float64) float64 { return 10 * math.Log2(n) },
		Linear:      func(n float64) float64 { return 5 + 0.1*n },
		Quadratic:   func(n float64) float64 { return 5 + 0.001*n*n },
	} {
		samples := samplesOf(law, 50, 200, 800, 3200)
		fit := NewFit(samples)
		if fit.Growth != growth || fit.Residual > 0.25 || fit.Largest != 3200 {
			t.Errorf("%v: fit %+v", growth, fit)
		}
		limit := law(5400)
		if at := fit.LimitExceededAt(1.2 * limit); growth != Constant && (at < 5000 || growth > Logarithmic && at > 8000) {
			t.Errorf("%v: limit exceeded at %d", growth, at)
		}
		if at := fit.LimitExceededAt(math.Inf(1)); at != 0 {
			t.Errorf("%v: infinite limit exceeded at %d", growth, at)
		}
	}
}

// A figure measured at the planned size must be evaluated by that value, any other by its fit. A figure over its limit
// must be reported.
func TestFigureEvaluation(t *testing.T) {
	plan := OperatorsPlan()
	linear := func(n float64) float64 { return n }
	for name, c := range map[string]struct {
		samples []Sample
		allowed float64
		verdict Verdict
		planned float64
	}{
		"extrapolated":        {samplesOf(linear, 10, 20, 40, 80), 1000, OverLimit, 5400},
		"measured":            {append(samplesOf(linear, 10, 20, 40), Sample{plan.Nodes, 900}), 1000, WithinLimit, 900},
		"without a limit":     {samplesOf(linear, 10, 20, 40, 80), 0, NoLimit, 5400},
		"far below the limit": {samplesOf(linear, 10, 20, 40, 80), 1e6, WithinLimit, 5400},
	} {
		f := Figure{Samples: c.samples, Allowed: c.allowed}
		_, planned, verdict := f.Evaluate(plan)
		if verdict != c.verdict || math.Abs(planned-c.planned) > c.planned/10 {
			t.Errorf("%s: verdict %q at %.0f, want %q at about %.0f", name, verdict, planned, c.verdict, c.planned)
		}
	}
}

func TestInvalidSizesAreRejected(t *testing.T) {
	valid := func() Sizes {
		return Sizes{
			Membership: []int{40, 50, 60, 70}, State: []int{40, 50, 60, 70}, Servers: []int{100, 200, 300, 400}, Discovery: []int{50, 60, 70, 80}, Leases: []int{40, 50, 60, 70},
		}
	}
	const zones = 17
	sizes := valid()
	if err := sizes.Validate(zones); err != nil {
		t.Fatal(err)
	}
	for name, modify := range map[string]func(s *Sizes){
		"too few sizes":     func(s *Sizes) { s.Membership = s.Membership[:3] },
		"size 0":            func(s *Sizes) { s.State[0] = 0 },
		"empty zone":        func(s *Sizes) { s.Membership[0] = zones },
		"not increasing":    func(s *Sizes) { s.Servers[2] = s.Servers[1] },
		"above the maximum": func(s *Sizes) { s.Discovery[3] = MaxNodes + 1 },
	} {
		sizes := valid()
		modify(&sizes)
		var settingErr *SettingError
		if err := sizes.Validate(zones); !errors.As(err, &settingErr) || settingErr.Key == "" || settingErr.Max != MaxNodes {
			t.Errorf("%s: error %v, want a SettingError with a key and the maximum", name, err)
		}
	}
}

// The more nodes watch a list, the longer a discovery of fixed capacity takes until all watch again. Beyond its queue
// timeout calls fail and are repeated, with the pauses of the real CallPacer.
func TestWatchersReconnectAfterAChange(t *testing.T) {
	settings := CurrentDiscovery()
	few, many := MeasureWatcherReconnect(100, settings), MeasureWatcherReconnect(3000, settings)
	if few > time.Second {
		t.Errorf("100 watchers reconnect after %v, want at most 1 s", few)
	}
	if capacityTime := time.Duration(3000 / settings.CallsPerSecond * float64(time.Second)); many < capacityTime {
		t.Errorf("3000 watchers reconnect after %v, but discovery needs at least %v", many, capacityTime)
	}
}

// A report of small sizes must have a row for each figure, and no sample may be 0.
func TestReport(t *testing.T) {
	sizes := Sizes{
		Membership: []int{34, 40, 46, 52}, State: []int{34, 40, 46, 52}, Servers: []int{50, 100, 150, 200}, Discovery: []int{40, 80, 160, 320},
		Leases: []int{34, 40, 46, 52},
	}
	r, err := Run(OperatorsPlan(), sizes, 1, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Figures {
		for _, s := range f.Samples {
			if len(f.Samples) != minSizeCount || !(s.Value > 0) {
				t.Errorf("%s, %s: samples %v", f.Role, f.Name, f.Samples)
			}
		}
	}
	var text strings.Builder
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, f := range r.Figures {
		if !strings.Contains(text.String(), f.Name) {
			t.Errorf("%q is not in the report", f.Name)
		}
	}
	for _, p := range r.Path {
		if p.Err != nil {
			t.Errorf("path of %d nodes: %v", p.Hops, p.Err)
		}
	}
}
