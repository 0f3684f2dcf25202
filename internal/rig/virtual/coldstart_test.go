package virtual

import (
	"slices"
	"testing"
	"time"
)

// coldStartAfterLull returns a scenario in which servers start cold during a lull, before all traffic returns
// at once.
func coldStartAfterLull(nodes int, kinds []ServerKind, share float64, seed uint64) Config {
	c := largeFleet()
	c.Seed, c.Nodes = seed, nodes
	if kinds != nil {
		c.Kinds = kinds
	}
	c.Rate = c.Capacity() * 0.6
	c.Duration = 11 * time.Second
	c.Steps = append(replaceServers(share, 3*time.Second, time.Second, 1), Step{At: 4500 * time.Millisecond, RateFactor: 0.03},
		Step{At: 7 * time.Second, RateFactor: 1.3})
	return c
}

// All nodes together must not send a cold server more in any window than the rule and random variation allow,
// also right after a lull: unused budget must not accumulate at every node, and be spent by all of them at
// once. The budget of the small servers is less than one request per node.
func TestColdServersAfterALull(t *testing.T) {
	mixed := []ServerKind{{Count: 6, Cores: 2, Speed: 1.6}, {Count: 10, Cores: 2, Speed: 0.97}, {Count: 8, Cores: 2, Speed: 0.6}}
	small := []ServerKind{{Count: 12, Cores: 1, Speed: 0.5}}
	someSmall := []ServerKind{{Count: 6, Cores: 2, Speed: 1.6}, {Count: 6, Cores: 1, Speed: 0.3}}
	for _, day := range []struct {
		name  string
		nodes int
		kinds []ServerKind
		share float64 // fraction of the servers that are replaced
		inCI  bool    // run in CI, too
	}{
		{"20 nodes, 40% cold", 20, mixed, 0.4, false},
		{"30 nodes, 40% cold", 30, mixed, 0.4, true},
		{"300 nodes, 40% cold", 300, nil, 0.4, false},
		{"20 nodes, small servers, 40% cold", 20, small, 0.4, false},
		{"30 nodes, small servers, 40% cold", 30, small, 0.4, false},
		{"30 nodes, some small servers, 40% cold", 30, someSmall, 0.4, false},
		{"20 nodes, all cold", 20, mixed, 0.95, true},
		{"30 nodes, all cold", 30, mixed, 0.95, false},
		{"300 nodes, all cold", 300, nil, 0.95, false},
		{"20 nodes, small servers, all cold", 20, small, 0.95, false},
		{"30 nodes, small servers, all cold", 30, small, 0.95, false},
		{"30 nodes, some small servers, all cold", 30, someSmall, 0.95, true},
	} {
		if !day.inCI && !longTests() {
			continue
		}
		seeds := 1
		if longTests() {
			seeds = 10
		}
		var ratios []float64
		coldAttempts, servedWorth := 0, 0.0
		for seed := range seeds {
			c := coldStartAfterLull(day.nodes, day.kinds, day.share, uint64(seed)+1)
			r := Run(c)
			ratios = append(ratios, r.ColdRequestRatio)
			coldAttempts += r.ColdAttempts
			servedWorth += r.ServedWorth / float64(seeds)
		}
		slices.Sort(ratios)
		t.Logf("| %s | %.2f | %.2f | %d | %.4f |", day.name, ratios[len(ratios)-1], ratios[len(ratios)/2], coldAttempts/seeds, servedWorth)
		if ratios[len(ratios)-1] > 1 {
			t.Errorf("%s: a window has %.2f times the requests that are allowed", day.name, ratios[len(ratios)-1])
		}
		if coldAttempts == 0 {
			t.Errorf("%s: nothing was sent to cold servers", day.name)
		}
	}
}
