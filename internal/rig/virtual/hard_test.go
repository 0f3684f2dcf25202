package virtual

import (
	"math"
	"sync"
	"testing"
	"time"

	"curlewring/decide"
)

// spread is a figure over seeds.
type summary struct{ mean, min, max float64 }

// over plays a configuration with so many seeds under a rule.
func playSeeds(c Config, rule decide.LimitMode, seeds int, figure func(*Result) float64) (s summary, breaches []string) {
	all := make([]*Result, seeds)
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Go(func() {
			c := c
			c.Seed, c.LimitMode = uint64(i)+1, rule
			all[i] = Run(c)
		})
	}
	wg.Wait()
	s.min, s.max = math.Inf(1), math.Inf(-1)
	for _, r := range all {
		x := figure(r)
		s.mean, s.min, s.max = s.mean+x/float64(seeds), min(s.min, x), max(s.max, x)
		breaches = append(breaches, r.Breaches...)
	}
	return s, breaches
}

func allServers(int, int) bool { return true }

// The days on which room could learn the wrong thing, or has nothing to learn
// from. On each the learned room must serve what it should, and no less than the
// presumed one.
func TestLearnedLimitUnderAdverseConditions(t *testing.T) {
	seeds := 2
	if longTests() {
		seeds = 10
	}
	for _, x := range []struct {
		name  string
		least float64 // weighted service
		set   func(c *Config)
	}{
		{"a slowness of all boxes for 6 s, four times", 0.88, func(c *Config) {
			c.Steps = []Step{{At: 6 * time.Second, Servers: allServers, Slowdown: 4}, {At: 12 * time.Second, Servers: allServers, Slowdown: 1}}
		}},
		{"slow from the start, usual after 8 s", 0.86, func(c *Config) {
			c.Steps = []Step{{At: 0, Servers: allServers, Slowdown: 4}, {At: 8 * time.Second, Servers: allServers, Slowdown: 1}}
		}},
		{"the first second after a start, load 0.9", 0.97, func(c *Config) {
			c.Duration, c.Rate = time.Second, c.Capacity()*0.9
		}},
		{"the first second after a start, load 2", 0.8, func(c *Config) {
			c.Duration, c.Rate = time.Second, c.Capacity()*2
		}},
		{"boxes twice as fast after a release, and twice the traffic", 0.97, func(c *Config) {
			c.Rate = c.Capacity() * 0.7
			c.Steps = []Step{{At: 8 * time.Second, Servers: allServers, Slowdown: 0.5}, {At: 9 * time.Second, RateFactor: 2}}
		}},
		{"0.85% of a class cost 29 times the usual", 0.97, func(c *Config) {
			c.Classes[1].HeavyShare, c.Classes[1].HeavyFactor = 0.0085, 29
			c.Rate = c.Capacity() * 0.6
		}},
		{"2.4% of a class cost 9.6 times the usual", 0.97, func(c *Config) {
			c.Classes[1].HeavyShare, c.Classes[1].HeavyFactor = 0.024, 9.6
			c.Rate = c.Capacity() * 0.6
		}},
		{"refused clients come back in step, load 1.5", 0.84, func(c *Config) {
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
		{"the tier below short, the first idle", 0.77, func(c *Config) {
			c.Kinds[0].Count, c.LowerKinds, c.CallsPerRequest = 24, []ServerKind{{Count: 8, Cores: 2, Speed: 1}}, 1
			c.Rate = c.Capacity() * 0.5 // one and a half times what the tier below can do
		}},
		{"no number of nodes told, load 0.8", 0.97, func(c *Config) {
			c.ReportedNodes, c.Rate = -1, c.Capacity()*0.8
		}},
		{"no number of nodes told, load 1.5", 0.8, func(c *Config) {
			c.ReportedNodes, c.Rate = -1, c.Capacity()*1.5
		}},
		{"all nodes start anew in the midst of load 1.6", 0.82, func(c *Config) {
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
		x.set(&c)
		service := func(r *Result) float64 { return r.ServedWorth }
		learned, breaches := playSeeds(c, decide.LimitLearned, seeds, service)
		presumed, _ := playSeeds(c, decide.LimitFixed, seeds, service)
		alone, _ := playSeeds(c, decide.LimitNone, seeds, service)
		t.Logf("| %s | %.3f (%.3f to %.3f) | %.3f | %.3f |", x.name, learned.mean, learned.min, learned.max, presumed.mean, alone.mean)
		if learned.mean < x.least || learned.mean < presumed.mean-0.03 {
			t.Errorf("%s: learned %.3f, presumed %.3f, at least %.3f is wanted", x.name, learned.mean, presumed.mean, x.least)
		}
		if len(breaches) > 0 {
			t.Errorf("%s: %s", x.name, firstBreach(breaches))
		}
	}
}

// A site that has lost most of its boxes leans on the others. These must go on
// serving their own: what spills over is bounded by what they have to spare.
func TestSpilloverIsBounded(t *testing.T) {
	seeds := 2
	if longTests() {
		seeds = 10
	}
	for _, x := range []struct {
		load, least float64 // weighted service of the other sites
	}{{0.5, 0.99}, {0.7, 0.98}, {0.9, 0.94}, {1.1, 0.88}} {
		c := Default()
		c.Nodes, c.Sites, c.Kinds = 8, 4, []ServerKind{{Count: 40, Cores: 2, Speed: 1}}
		c.Rate = c.Capacity() * x.load
		others := func(r *Result) float64 {
			return (r.ServedWorthBySite[0] + r.ServedWorthBySite[2] + r.ServedWorthBySite[3]) / 3
		}
		hurt := func(r *Result) float64 { return r.ServedWorthBySite[1] }
		before, _ := playSeeds(c, decide.LimitLearned, seeds, others)
		c.Steps = []Step{{At: 4 * time.Second, Servers: func(i, site int) bool { return site == 1 && i%20 != 1 }, Down: true}}
		after, breaches := playSeeds(c, decide.LimitLearned, seeds, others)
		own, _ := playSeeds(c, decide.LimitLearned, seeds, hurt)
		t.Logf("| %.1f | %.3f | %.3f (%.3f to %.3f) | %.3f (%.3f to %.3f) |", x.load, before.mean, after.mean, after.min, after.max,
			own.mean, own.min, own.max)
		if after.mean < x.least {
			t.Errorf("load %.1f: the other sites serve %.3f, %.3f before", x.load, after.mean, before.mean)
		}
		if len(breaches) > 0 {
			t.Error(firstBreach(breaches))
		}
	}
}

// Boxes whose calls to the tier below hang hold what they are given until its
// time is up: they must get little of it.
func TestStuckSecondTier(t *testing.T) {
	c := Default()
	c.LowerKinds, c.CallsPerRequest = []ServerKind{{Count: 24, Cores: 2, Speed: 1}}, 1
	c.Rate = c.Capacity() * 0.5
	c.Steps = []Step{{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, Stuck: true}}
	r := Run(c)
	bad, all := 0, 0
	for i, n := range r.AttemptsByServer {
		all += n
		if i < 2 {
			bad += n
		}
	}
	share := float64(bad) / float64(all)
	t.Logf("two of twelve boxes with a stuck second tier: service %.3f, %.3f of the attempts at them", r.ServedWorth, share)
	if r.ServedWorth < 0.9 || share > 0.1 || len(r.Breaches) > 0 {
		t.Errorf("service %.3f, share %.3f, %v", r.ServedWorth, share, r.Breaches)
	}
}
