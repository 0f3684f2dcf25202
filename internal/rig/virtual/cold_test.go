package virtual

import (
	"slices"
	"testing"
	"time"
)

// lull is a day on which boxes start cold in a lull, after which all traffic is back at once.
func coldStartAfterLull(nodes int, kinds []ServerKind, part float64, seed uint64) Config {
	c := largeFleet()
	c.Seed, c.Nodes = seed, nodes
	if kinds != nil {
		c.Kinds = kinds
	}
	c.Rate = c.Capacity() * 0.6
	c.Duration = 11 * time.Second
	c.Steps = append(replaceServers(part, 3*time.Second, time.Second, 1), Step{At: 4500 * time.Millisecond, RateFactor: 0.03},
		Step{At: 7 * time.Second, RateFactor: 1.3})
	return c
}

// What all nodes together send a cold box in any window stays within what the rule allows and what chance explains, also
// right after a lull: chances that nobody used are not saved up by every node, to be used by all of them at once. The
// small boxes may be sent less than one request a node.
func TestColdServersAfterALull(t *testing.T) {
	usual := []ServerKind{{Count: 6, Cores: 2, Speed: 1.6}, {Count: 10, Cores: 2, Speed: 0.97}, {Count: 8, Cores: 2, Speed: 0.6}}
	small := []ServerKind{{Count: 12, Cores: 1, Speed: 0.5}}
	among := []ServerKind{{Count: 6, Cores: 2, Speed: 1.6}, {Count: 6, Cores: 1, Speed: 0.3}}
	for _, day := range []struct {
		name  string
		nodes int
		kinds []ServerKind
		part  float64 // of the boxes that start anew
		ci    bool    // played there, too
	}{
		{"20 nodes, four in ten cold", 20, usual, 0.4, false},
		{"30 nodes, four in ten cold", 30, usual, 0.4, true},
		{"300 nodes, four in ten cold", 300, nil, 0.4, false},
		{"20 nodes, small boxes, four in ten cold", 20, small, 0.4, false},
		{"30 nodes, small boxes, four in ten cold", 30, small, 0.4, false},
		{"30 nodes, small boxes among others, four in ten cold", 30, among, 0.4, false},
		{"20 nodes, all cold", 20, usual, 0.95, true},
		{"30 nodes, all cold", 30, usual, 0.95, false},
		{"300 nodes, all cold", 300, nil, 0.95, false},
		{"20 nodes, small boxes, all cold", 20, small, 0.95, false},
		{"30 nodes, small boxes, all cold", 30, small, 0.95, false},
		{"30 nodes, small boxes among others, all cold", 30, among, 0.95, true},
	} {
		if !day.ci && !longTests() {
			continue
		}
		seeds := 1
		if longTests() {
			seeds = 10
		}
		var worst []float64
		toCold, service := 0, 0.0
		for seed := range seeds {
			c := coldStartAfterLull(day.nodes, day.kinds, day.part, uint64(seed)+1)
			r := Run(c)
			worst = append(worst, r.ColdRequestRatio)
			toCold += r.ColdAttempts
			service += r.ServedWorth / float64(seeds)
		}
		slices.Sort(worst)
		t.Logf("| %s | %.2f | %.2f | %d | %.4f |", day.name, worst[len(worst)-1], worst[len(worst)/2], toCold/seeds, service)
		if worst[len(worst)-1] > 1 {
			t.Errorf("%s: a window has %.2f times what is allowed", day.name, worst[len(worst)-1])
		}
		if toCold == 0 {
			t.Errorf("%s: nothing was sent to cold boxes", day.name)
		}
	}
}
