package scale

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// samplesOf are what a law gives at sizes, off by a few hundredths.
func samplesOf(law func(n float64) float64, sizes ...int) (samples []Sample) {
	for i, size := range sizes {
		off := 1 + 0.02*float64(i%2*2-1)
		samples = append(samples, Sample{size, off * law(float64(size))})
	}
	return samples
}

// A fit must find the growth that made the samples, and say at which size it exceeds a limit.
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
			t.Errorf("%v: fitted as %+v", growth, fit)
		}
		limit := law(5400)
		if at := fit.LimitExceededAt(1.2 * limit); growth != Constant && (at < 5000 || growth > Logarithmic && at > 8000) {
			t.Errorf("%v: breaks at %d", growth, at)
		}
		if at := fit.LimitExceededAt(math.Inf(1)); at != 0 {
			t.Errorf("%v: breaks without a limit, at %d", growth, at)
		}
	}
}

// A figure that was measured at the planned size counts as measured; one that was not, by its fit. What breaks the allowance
// must be told.
func TestFigureIsJudged(t *testing.T) {
	plan := OperatorsPlan()
	linear := func(n float64) float64 { return n }
	for name, c := range map[string]struct {
		samples []Sample
		allowed float64
		verdict Verdict
		planned float64
	}{
		"extrapolated":          {samplesOf(linear, 10, 20, 40, 80), 1000, OverLimit, 5400},
		"measured":              {append(samplesOf(linear, 10, 20, 40), Sample{plan.Nodes, 900}), 1000, WithinLimit, 900},
		"without an allowance":  {samplesOf(linear, 10, 20, 40, 80), 0, NoLimit, 5400},
		"far under the ceiling": {samplesOf(linear, 10, 20, 40, 80), 1e6, WithinLimit, 5400},
	} {
		f := Figure{Samples: c.samples, Allowed: c.allowed}
		_, planned, verdict := f.Evaluate(plan)
		if verdict != c.verdict || math.Abs(planned-c.planned) > c.planned/10 {
			t.Errorf("%s: %v at %.0f, want %v at about %.0f", name, verdict, planned, c.verdict, c.planned)
		}
	}
}

func TestBadSizesAreRefused(t *testing.T) {
	good := func() Sizes {
		return Sizes{
			Membership: []int{40, 50, 60, 70}, State: []int{40, 50, 60, 70}, Servers: []int{100, 200, 300, 400}, Discovery: []int{50, 60, 70, 80}, Leases: []int{40, 50, 60, 70},
		}
	}
	const zones = 17
	sizes := good()
	if err := sizes.Validate(zones); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(s *Sizes){
		"too few":           func(s *Sizes) { s.Membership = s.Membership[:3] },
		"no nodes":          func(s *Sizes) { s.State[0] = 0 },
		"a zone without":    func(s *Sizes) { s.Membership[0] = zones },
		"not growing":       func(s *Sizes) { s.Servers[2] = s.Servers[1] },
		"more than allowed": func(s *Sizes) { s.Discovery[3] = MaxNodes + 1 },
	} {
		sizes := good()
		spoil(&sizes)
		var wrong *SettingError
		if err := sizes.Validate(zones); !errors.As(err, &wrong) || wrong.Key == "" || wrong.Max != MaxNodes {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Discovery of a fixed capacity needs the longer the more nodes watch a list, and beyond its time-out calls fail and come
// again: the report rests on the real pauses.
func TestWatchersBackAfterAChange(t *testing.T) {
	set := CurrentDiscovery()
	few, many := MeasureWatcherReconnect(100, set), MeasureWatcherReconnect(3000, set)
	if few > time.Second {
		t.Errorf("100 watchers are back after %v", few)
	}
	if least := time.Duration(3000 / set.CallsPerSecond * float64(time.Second)); many < least {
		t.Errorf("3000 watchers are back after %v, discovery needs %v at the least", many, least)
	}
}

// The whole report must run at small sizes, with a row for each figure and no figure of 0.
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
			if len(f.Samples) != leastSizes || !(s.Value > 0) {
				t.Errorf("%s, %s: %v", f.Role, f.Name, f.Samples)
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
			t.Errorf("a path of %d nodes: %v", p.Hops, p.Err)
		}
	}
}
