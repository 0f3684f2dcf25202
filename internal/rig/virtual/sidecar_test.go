package virtual

import (
	"testing"
	"time"

	"curlewring/decide"
)

// Forty sidecars see a fortieth of the calls each, three shared nodes a third. On
// the same boxes and load they must serve nearly as much, at every load, and stay
// within a cold box's budget together.
func TestSidecarsAgainstSharedNodes(t *testing.T) {
	seeds := 2
	if longTests() {
		seeds = 10
	}
	service := func(r *Result) float64 { return r.ServedWorth }
	play := func(load float64, nodes int, steps []Step) (summary, float64, []string) {
		c := Default()
		c.Nodes, c.Steps, c.Duration = nodes, steps, 20*time.Second
		c.Kinds = []ServerKind{{Count: 24, Cores: 2, Speed: 1}}
		c.Rate = c.Capacity() * load
		s, breaches := playSeeds(c, decide.LimitLearned, seeds, service)
		conns, _ := playSeeds(c, decide.LimitLearned, 1, func(r *Result) float64 { return r.ConnsPerServer })
		return s, conns.mean, breaches
	}
	restart := []Step{
		{At: 6 * time.Second, Servers: func(i, _ int) bool { return i%3 == 0 }, Down: true},
		{At: 7 * time.Second, Servers: func(i, _ int) bool { return i%3 == 0 }, Up: true},
	}
	for _, x := range []struct {
		name  string
		load  float64
		steps []Step
		less  float64 // how much less the sidecars may serve
	}{
		{"0.3", 0.3, nil, 0.01}, {"0.7", 0.7, nil, 0.01}, {"0.9", 0.9, nil, 0.03}, {"1.1", 1.1, nil, 0.05}, {"1.5", 1.5, nil, 0.06},
		{"0.6, a third of the boxes starts anew", 0.6, restart, 0.03},
	} {
		shared, sharedConns, _ := play(x.load, 3, x.steps)
		sidecars, conns, breaches := play(x.load, 40, x.steps)
		t.Logf("| %s | %.3f (%.3f to %.3f) | %.3f (%.3f to %.3f) | %.1f | %.1f |", x.name, shared.mean, shared.min, shared.max,
			sidecars.mean, sidecars.min, sidecars.max, sharedConns, conns)
		if sidecars.mean < shared.mean-x.less {
			t.Errorf("load %s: sidecars %.3f, shared nodes %.3f", x.name, sidecars.mean, shared.mean)
		}
		if len(breaches) > 0 {
			t.Errorf("load %s: %s", x.name, firstBreach(breaches))
		}
	}
}
