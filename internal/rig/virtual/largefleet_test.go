package virtual

import (
	"testing"
	"time"

	"curlewring/decide"
)

// largeFleet returns a fleet of 300 nodes and 120 servers of the service's kinds, at four sites. Each node gets
// a few requests per second, and each server has connections from many nodes.
func largeFleet() Config {
	c := Default()
	c.Nodes, c.Sites = 300, 4
	c.Kinds = []ServerKind{{Count: 44, Cores: 2, Speed: 1.6}, {Count: 50, Cores: 2, Speed: 0.97}, {Count: 26, Cores: 2, Speed: 0.6}}
	c.Classes = []Class{
		{Class: decide.Class{LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second, Worth: 12}, Share: 0.16, Work: 245 * time.Millisecond, Spread: 0.8},
		{Class: decide.Class{LatencyTarget: time.Second, Deadline: 2500 * time.Millisecond, Worth: 1}, Share: 0.52, Work: 140 * time.Millisecond, Spread: 0.8},
		{Class: decide.Class{LatencyTarget: 2 * time.Second, Deadline: 6 * time.Second, Worth: 1, Idempotency: decide.Keyed, Group: decide.GroupCell, KeyTTL: 10 * time.Second},
			Share: 0.32, Work: 300 * time.Millisecond, Spread: 0.8},
	}
	c.ColdCapacity, c.WarmupTime, c.DrainTime, c.ListDelay = 0.3, 8400*time.Millisecond, 3*time.Second, 2*time.Second
	c.Duration, c.MaxRetryAfter, c.HandshakePenalty = 14*time.Second, 500*time.Millisecond, 0.03
	c.Rate = c.Capacity() * 0.6
	return c
}

// replaceServers returns steps that replace a fraction of the servers, one group after the other.
func replaceServers(share float64, from, over time.Duration, groups int) []Step {
	var replacements []Step
	for group := range groups {
		replacements = append(replacements, Step{At: from + over*time.Duration(group)/time.Duration(groups), Replace: true, Servers: func(i, _ int) bool {
			return float64(i*7919%1000) < 1000*share && i/4%groups == group
		}})
	}
	return replacements
}

// restartNodes returns steps that kill and restart one tenth of the nodes after the other.
func restartNodes(from, over time.Duration) []Step {
	var steps []Step
	for group := range 10 {
		at := from + over*time.Duration(group)/10
		tenth := func(i int) bool { return i%10 == group }
		steps = append(steps, Step{At: at, Nodes: tenth, KillNodes: true}, Step{At: at + 500*time.Millisecond, Nodes: tenth, StartNodes: true})
	}
	return steps
}

// The faults that operators describe, in a large fleet. The rules must hold, and a minimum must be served that is a
// little below the results of ten seeds (docs/operators/fleet-test.md).
func TestLargeFleetFaults(t *testing.T) {
	faultShare, noFaults := 0.04, 0.0
	for _, test := range []struct {
		name           string
		inCI           bool // run in CI, too: all six take two minutes on a slow machine
		minServedWorth float64
		set            func(c *Config)
	}{
		{"a traffic burst, no faults", false, 0.96, func(c *Config) {
			c.Steps = []Step{{At: 5 * time.Second, RateFactor: 1.5}, {At: 9 * time.Second, RateFactor: 1}}
		}},
		{"half of the servers replaced while the nodes restart by tenths", false, 0.94, func(c *Config) {
			c.Steps = append(replaceServers(0.5, 2*time.Second, 8*time.Second, 4), restartNodes(2*time.Second, 8*time.Second)...)
		}},
		{"70% of the nodes killed at once, discovery slow, one server in eight failing", false, 0.94, func(c *Config) {
			c.ListLineRate = 12000
			c.Steps = append(replaceServers(0.3, 2*time.Second, 6*time.Second, 3),
				Step{At: 0, Servers: func(i, _ int) bool { return i%8 == 3 }, FailFast: true},
				Step{At: 5 * time.Second, Nodes: func(i int) bool { return i%10 < 7 }, KillNodes: true},
				Step{At: 7 * time.Second, Nodes: func(i int) bool { return i%10 < 7 }, StartNodes: true})
		}},
		{"a site lost and back cold, another partitioned, one server in eight slow", false, 0.83, func(c *Config) {
			c.Steps = []Step{
				{At: 0, Servers: func(i, _ int) bool { return i%8 == 3 }, Slowdown: 5},
				{At: 2 * time.Second, Servers: func(_, site int) bool { return site == 1 }, Down: true},
				{At: 7 * time.Second, Servers: func(_, site int) bool { return site == 1 }, Up: true},
				{At: 4 * time.Second, Cut: func(a, _ int) bool { return a == 2 }},
				{At: 9 * time.Second, Cut: func(int, int) bool { return false }},
			}
		}},
		{"a site partitioned for 6 s, responses lost and reset, lists late", false, 0.94, func(c *Config) {
			c.ListDelay = 6 * time.Second
			c.Steps = []Step{
				{At: 3 * time.Second, Cut: func(a, _ int) bool { return a == 0 }, AnswerLoss: &faultShare, ResetShare: &faultShare},
				{At: 9 * time.Second, Cut: func(int, int) bool { return false }, AnswerLoss: &noFaults, ResetShare: &noFaults},
			}
		}},
		{"60% of the servers replaced within 7 s during a burst", true, 0.93, func(c *Config) {
			c.Steps = append(replaceServers(0.6, 3*time.Second, 7*time.Second, 3), Step{At: 3 * time.Second, RateFactor: 1.3}, Step{At: 9 * time.Second, RateFactor: 1})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !test.inCI && !longTests() {
				t.Skip("set CURLEWRING_LONG=1")
			}
			seeds := uint64(1)
			if longTests() {
				seeds = 10
			}
			for seed := range seeds {
				c := largeFleet()
				test.set(&c)
				c.Seed = seed + 1
				r := Run(c)
				if len(r.Breaches) > 0 {
					t.Errorf("seed %d: %s", c.Seed, firstBreach(r.Breaches))
				}
				t.Logf("seed %d: served worth %.3f, %.2f attempts per request, at most %.2f of a cold server's budget",
					c.Seed, r.ServedWorth, float64(r.Attempts)/float64(requestCount(r)), r.ColdWorkRatio)
				if r.ServedWorth < test.minServedWorth {
					t.Errorf("seed %d: served worth %.3f, want at least %.3f", c.Seed, r.ServedWorth, test.minServedWorth)
				}
			}
		})
	}
}

func requestCount(r *Result) (n int) {
	for _, class := range r.Classes {
		n += class.Requests
	}
	return n
}

// With a penalty for new connections nodes must open fewer of them, and serve as much.
func TestHandshakePenaltyReducesConnections(t *testing.T) {
	free, penalized := largeFleet(), largeFleet()
	free.HandshakePenalty = 0
	free.Duration, penalized.Duration = 8*time.Second, 8*time.Second
	freeResult, penalizedResult := Run(free), Run(penalized)
	t.Logf("connections opened: %d, %d with the penalty; served worth %.4f, %.4f", freeResult.Handshakes, penalizedResult.Handshakes, freeResult.ServedWorth, penalizedResult.ServedWorth)
	if float64(penalizedResult.Handshakes) > 0.9*float64(freeResult.Handshakes) || penalizedResult.ServedWorth < freeResult.ServedWorth-0.01 {
		t.Errorf("connections opened: %d, %d with the penalty; served worth %.4f, %.4f, want at most 90%% of the connections", freeResult.Handshakes, penalizedResult.Handshakes, freeResult.ServedWorth, penalizedResult.ServedWorth)
	}
}
