package virtual

import (
	"math"
	"sync"
	"testing"
	"time"

	"curlewring/decide"
)

// summary is a figure over several seeds.
type summary struct{ mean, min, max float64 }

// playSeeds runs a configuration with several seeds in a limit mode. It returns a figure of the results, and
// all breaches.
func playSeeds(c Config, mode decide.LimitMode, seeds int, figure func(*Result) float64) (s summary, breaches []string) {
	all := make([]*Result, seeds)
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Go(func() {
			c := c
			c.Seed, c.LimitMode = uint64(i)+1, mode
			all[i] = Run(c)
		})
	}
	wg.Wait()
	s.min, s.max = math.Inf(1), math.Inf(-1)
	for _, r := range all {
		value := figure(r)
		s.mean, s.min, s.max = s.mean+value/float64(seeds), min(s.min, value), max(s.max, value)
		breaches = append(breaches, r.Breaches...)
	}
	return s, breaches
}

// allServers selects all servers, see Step.Servers.
func allServers(int, int) bool { return true }

// Under conditions from which the learned concurrency limit could learn wrong values, or has nothing to learn
// from, it must serve a minimum, and hardly less than the fixed limit.
func TestLearnedLimitUnderAdverseConditions(t *testing.T) {
	seeds := 2
	if longTests() {
		seeds = 10
	}
	for _, test := range []struct {
		name           string
		minServedWorth float64 // with the learned limit
		set            func(c *Config)
	}{
		{"all servers four times slower for 6 s", 0.88, func(c *Config) {
			c.Steps = []Step{{At: 6 * time.Second, Servers: allServers, Slowdown: 4}, {At: 12 * time.Second, Servers: allServers, Slowdown: 1}}
		}},
		{"all servers four times slower for the first 8 s", 0.86, func(c *Config) {
			c.Steps = []Step{{At: 0, Servers: allServers, Slowdown: 4}, {At: 8 * time.Second, Servers: allServers, Slowdown: 1}}
		}},
		{"the first second after a start, load 0.9", 0.97, func(c *Config) {
			c.Duration, c.Rate = time.Second, c.Capacity()*0.9
		}},
		{"the first second after a start, load 2", 0.8, func(c *Config) {
			c.Duration, c.Rate = time.Second, c.Capacity()*2
		}},
		{"servers twice as fast after a release, then twice the traffic", 0.97, func(c *Config) {
			c.Rate = c.Capacity() * 0.7
			c.Steps = []Step{{At: 8 * time.Second, Servers: allServers, Slowdown: 0.5}, {At: 9 * time.Second, RateFactor: 2}}
		}},
		{"0.85% of a class take 29 times the work", 0.97, func(c *Config) {
			c.Classes[1].HeavyShare, c.Classes[1].HeavyFactor = 0.0085, 29
			c.Rate = c.Capacity() * 0.6
		}},
		{"2.4% of a class take 9.6 times the work", 0.97, func(c *Config) {
			c.Classes[1].HeavyShare, c.Classes[1].HeavyFactor = 0.024, 9.6
			c.Rate = c.Capacity() * 0.6
		}},
		{"refused clients retry without jitter, load 1.5", 0.84, func(c *Config) {
			c.Rate, c.NoJitter, c.Retries, c.MaxRetryAfter = c.Capacity()*1.5, true, 3, time.Second
		}},
		{"one class only, load 0.8", 0.97, func(c *Config) {
			c.Classes = c.Classes[1:]
			c.Rate = c.Capacity() * 0.8
		}},
		{"one class only, load 1.5", 0.62, func(c *Config) {
			c.Classes = c.Classes[1:]
			c.Rate = c.Capacity() * 1.5
		}},
		{"lower tier overloaded, first tier idle", 0.77, func(c *Config) {
			c.Kinds[0].Count, c.LowerKinds, c.CallsPerRequest = 24, []ServerKind{{Count: 8, Cores: 2, Speed: 1}}, 1
			c.Rate = c.Capacity() * 0.5 // 1.5 times the capacity of the lower tier
		}},
		{"number of nodes not given, load 0.8", 0.97, func(c *Config) {
			c.ReportedNodes, c.Rate = -1, c.Capacity()*0.8
		}},
		{"number of nodes not given, load 1.5", 0.8, func(c *Config) {
			c.ReportedNodes, c.Rate = -1, c.Capacity()*1.5
		}},
		{"all nodes restart twice, load 1.6", 0.82, func(c *Config) {
			c.Rate = c.Capacity() * 1.6
			all := func(int) bool { return true }
			c.Steps = []Step{{At: 6 * time.Second, Nodes: all, KillNodes: true}, {At: 6100 * time.Millisecond, Nodes: all, StartNodes: true},
				{At: 12 * time.Second, Nodes: all, KillNodes: true}, {At: 12100 * time.Millisecond, Nodes: all, StartNodes: true}}
		}},
		{"two requests a second at one node", 0.99, func(c *Config) {
			c.Nodes, c.Rate, c.Duration = 1, 2, 60*time.Second
		}},
	} {
		c := Default()
		test.set(&c)
		servedWorth := func(r *Result) float64 { return r.ServedWorth }
		learned, breaches := playSeeds(c, decide.LimitLearned, seeds, servedWorth)
		fixed, _ := playSeeds(c, decide.LimitFixed, seeds, servedWorth)
		unlimited, _ := playSeeds(c, decide.LimitNone, seeds, servedWorth)
		t.Logf("| %s | %.3f (%.3f to %.3f) | %.3f | %.3f |", test.name, learned.mean, learned.min, learned.max, fixed.mean, unlimited.mean)
		if learned.mean < test.minServedWorth || learned.mean < fixed.mean-0.03 {
			t.Errorf("%s: served worth %.3f with the learned limit, %.3f with the fixed one, want at least %.3f", test.name, learned.mean, fixed.mean, test.minServedWorth)
		}
		if len(breaches) > 0 {
			t.Errorf("%s: %s", test.name, firstBreach(breaches))
		}
	}
}

// A site that has lost most of its servers sends its requests to the other sites. These must go on serving their own
// requests: the spillover is limited to their spare capacity.
func TestSpilloverIsBounded(t *testing.T) {
	seeds := 2
	if longTests() {
		seeds = 10
	}
	for _, test := range []struct {
		load, minServedWorth float64 // served worth of the other sites
	}{{0.5, 0.99}, {0.7, 0.98}, {0.9, 0.94}, {1.1, 0.88}} {
		c := Default()
		c.Nodes, c.Sites, c.Kinds = 8, 4, []ServerKind{{Count: 40, Cores: 2, Speed: 1}}
		c.Rate = c.Capacity() * test.load
		others := func(r *Result) float64 {
			return (r.ServedWorthBySite[0] + r.ServedWorthBySite[2] + r.ServedWorthBySite[3]) / 3
		}
		affected := func(r *Result) float64 { return r.ServedWorthBySite[1] }
		before, _ := playSeeds(c, decide.LimitLearned, seeds, others)
		c.Steps = []Step{{At: 4 * time.Second, Servers: func(i, site int) bool { return site == 1 && i%20 != 1 }, Down: true}}
		after, breaches := playSeeds(c, decide.LimitLearned, seeds, others)
		own, _ := playSeeds(c, decide.LimitLearned, seeds, affected)
		t.Logf("| %.1f | %.3f | %.3f (%.3f to %.3f) | %.3f (%.3f to %.3f) |", test.load, before.mean, after.mean, after.min, after.max,
			own.mean, own.min, own.max)
		if after.mean < test.minServedWorth {
			t.Errorf("load %.1f: served worth of the other sites %.3f, %.3f without the loss", test.load, after.mean, before.mean)
		}
		if len(breaches) > 0 {
			t.Error(firstBreach(breaches))
		}
	}
}

// Servers whose calls to the lower tier hang keep every request until its deadline. They must get few requests.
func TestStuckSecondTier(t *testing.T) {
	c := Default()
	c.LowerKinds, c.CallsPerRequest = []ServerKind{{Count: 24, Cores: 2, Speed: 1}}, 1
	c.Rate = c.Capacity() * 0.5
	c.Steps = []Step{{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, Stuck: true}}
	r := Run(c)
	stuck, all := 0, 0
	for i, n := range r.AttemptsByServer {
		all += n
		if i < 2 {
			stuck += n
		}
	}
	share := float64(stuck) / float64(all)
	t.Logf("two of twelve servers with a stuck second tier: served worth %.3f, %.3f of the attempts at them", r.ServedWorth, share)
	if r.ServedWorth < 0.9 || share > 0.1 || len(r.Breaches) > 0 {
		t.Errorf("served worth %.3f, %.3f of the attempts at stuck servers, breaches %v", r.ServedWorth, share, r.Breaches)
	}
}
