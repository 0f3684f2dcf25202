package virtual

import (
	"testing"
	"time"

	"curlewring/decide"
)

// Forty sidecars see a fortieth of the requests each, three shared nodes a third. With the same servers the sidecars
// must serve nearly as much at every load, and together keep a cold server's budget.
func TestSidecarsAgainstSharedNodes(t *testing.T) {
	seeds := 2
	if longTests() {
		seeds = 10
	}
	servedWorth := func(r *Result) float64 { return r.ServedWorth }
	play := func(load float64, nodes int, steps []Step) (summary, float64, []string) {
		c := Default()
		c.Nodes, c.Steps, c.Duration = nodes, steps, 20*time.Second
		c.Kinds = []ServerKind{{Count: 24, Cores: 2, Speed: 1}}
		c.Rate = c.Capacity() * load
		s, breaches := playSeeds(c, decide.LimitLearned, seeds, servedWorth)
		conns, _ := playSeeds(c, decide.LimitLearned, 1, func(r *Result) float64 { return r.ConnsPerServer })
		return s, conns.mean, breaches
	}
	restart := []Step{
		{At: 6 * time.Second, Servers: func(i, _ int) bool { return i%3 == 0 }, Down: true},
		{At: 7 * time.Second, Servers: func(i, _ int) bool { return i%3 == 0 }, Up: true},
	}
	for _, test := range []struct {
		name      string
		load      float64
		steps     []Step
		tolerance float64 // by how much less the sidecars may serve
	}{
		{"0.3", 0.3, nil, 0.01}, {"0.7", 0.7, nil, 0.01}, {"0.9", 0.9, nil, 0.03}, {"1.1", 1.1, nil, 0.05}, {"1.5", 1.5, nil, 0.06},
		{"0.6, a third of the servers restarts", 0.6, restart, 0.03},
	} {
		shared, sharedConns, _ := play(test.load, 3, test.steps)
		sidecars, conns, breaches := play(test.load, 40, test.steps)
		t.Logf("| %s | %.3f (%.3f to %.3f) | %.3f (%.3f to %.3f) | %.1f | %.1f |", test.name, shared.mean, shared.min, shared.max,
			sidecars.mean, sidecars.min, sidecars.max, sharedConns, conns)
		if sidecars.mean < shared.mean-test.tolerance {
			t.Errorf("load %s: served worth %.3f by sidecars, %.3f by shared nodes", test.name, sidecars.mean, shared.mean)
		}
		if len(breaches) > 0 {
			t.Errorf("load %s: %s", test.name, firstBreach(breaches))
		}
	}
}
