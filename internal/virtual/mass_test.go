package virtual

import (
	"testing"
	"time"

	"curlewring/decide"
)

// mass is a fleet of 300 nodes before 300 boxes of the kinds of the service, at four sites, at a load.
func mass(load float64) Config {
	c := Default()
	c.Nodes, c.Sites = 300, 4
	c.Kinds = []Kind{{Count: 108, Cores: 2, Speed: 1.6}, {Count: 126, Cores: 2, Speed: 0.97}, {Count: 66, Cores: 2, Speed: 0.6}}
	c.Classes = []Class{
		{Class: decide.Class{Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 12}, Share: 0.16, Work: 245 * time.Millisecond, Spread: 0.8},
		{Class: decide.Class{Aim: time.Second, Deadline: 2500 * time.Millisecond, Worth: 1}, Share: 0.52, Work: 140 * time.Millisecond, Spread: 0.8},
		{Class: decide.Class{Aim: 2 * time.Second, Deadline: 6 * time.Second, Worth: 1, Effect: decide.Keyed, Group: decide.GroupCell, KeyTTL: 10 * time.Second},
			Share: 0.32, Work: 300 * time.Millisecond, Spread: 0.8},
	}
	c.ColdFrom, c.ColdFor, c.DrainFor, c.ListDelay = 0.3, 8400*time.Millisecond, 3*time.Second, 2*time.Second
	c.Length, c.Advice = 24*time.Second, 500*time.Millisecond
	c.Rate = c.Capacity() * load
	return c
}

// inSteps replaces a share of the boxes in so many steps.
func inSteps(share float64, from, over time.Duration, steps int) []Step {
	var all []Step
	for k := range steps {
		all = append(all, Step{At: from + over*time.Duration(k)/time.Duration(steps), Replace: true, Boxes: func(i, _ int) bool {
			return float64(i*7919%1000) < 1000*share && i/4%steps == k
		}})
	}
	return all
}

func TestJoin(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.9, 1.2} {
		c := mass(load)
		c.Steps = append(inSteps(0.6, 6*time.Second, 7*time.Second, 3), Step{At: 6 * time.Second, Rate: 1.4}, Step{At: 14 * time.Second, Rate: 1})
		for seed := range uint64(3) {
			c.Seed = seed + 1
			r := Run(c)
			t.Logf("load %.1f seed %d: service %.3f crowded %.2f attempts %d breaches %v", load, c.Seed, r.Service, r.Crowded, r.Attempts, len(r.Breaches))
		}
	}
}
