package virtual

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/decide"
)

const ms = time.Millisecond

func longTests() bool { return os.Getenv("CURLEWRING_LONG") != "" }

// The same configuration must give the same run, or no figure can be repeated.
func TestRunsAreDeterministic(t *testing.T) {
	c := Default()
	c.LowerKinds, c.CallsPerRequest, c.Churn = []ServerKind{{Count: 12, Cores: 2, Speed: 1}}, 2, 0.05
	c.Steps = []Step{
		{At: 3 * time.Second, Servers: func(i, _ int) bool { return i < 3 }, Down: true},
		{At: 5 * time.Second, Servers: func(i, _ int) bool { return i < 3 }, Up: true},
		{At: 6 * time.Second, Nodes: func(i int) bool { return i == 1 }, KillNodes: true},
		{At: 8 * time.Second, Nodes: func(i int) bool { return i == 1 }, StartNodes: true},
	}
	a, b := Run(c), Run(c)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs differ:\n%+v\n%+v", a, b)
	}
	c.Seed++
	if reflect.DeepEqual(a.Classes, Run(c).Classes) {
		t.Error("another seed gives the same run")
	}
}

// Boxes must behave as queues do: at half load little waits, and capacity is what
// the cores can do.
func TestServersBehaveAsQueues(t *testing.T) {
	c := Default()
	c.Rate = c.Capacity() / 2
	r := Run(c)
	if m := r.Classes[1].Mean(); m < 100*ms || m > 150*ms {
		t.Errorf("a mean of %v at half load, the work is 100 ms", m)
	}
	c.Rate, c.LimitMode, c.Retries, c.Duration = 2*c.Capacity(), decide.LimitNone, 0, 30*time.Second
	r = Run(c)
	served := 0
	for _, x := range r.Classes {
		served += x.Served + x.Late
	}
	if rate := float64(served) / r.AnsweringTime.Seconds(); rate > c.Capacity()*1.05 || rate < c.Capacity()*0.5 {
		t.Errorf("%.0f a second were served, the boxes can do %.0f", rate, c.Capacity())
	}
}

// Whatever fleet and faults, the real module must keep the four rules.
func TestRandomFleetsKeepTheRules(t *testing.T) {
	checks := 40
	if longTests() {
		checks = 1000
	}
	n := 0
	// The same fleets in every run; others by -rapid.seed=...
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if n++; n > checks {
			return
		}
		c := Default()
		c.Seed = rapid.Uint64().Draw(t, "seed")
		c.Nodes = rapid.IntRange(1, 6).Draw(t, "nodes")
		c.Sites = rapid.IntRange(1, 3).Draw(t, "sites")
		c.Duration = 6 * time.Second
		c.Kinds = nil
		for range rapid.IntRange(1, 3).Draw(t, "kinds") {
			c.Kinds = append(c.Kinds, ServerKind{
				Count: rapid.IntRange(1, 6).Draw(t, "count"), Cores: rapid.SampledFrom([]int{2, 8, 16}).Draw(t, "cores"),
				Speed: rapid.SampledFrom([]float64{0.6, 1, 3}).Draw(t, "speed"),
			})
		}
		c.Classes = append(c.Classes, Class{
			Class: decide.Class{LatencyTarget: time.Second, Deadline: 3 * time.Second, Worth: 1, Idempotency: decide.Keyed, Group: decide.GroupCell, KeyTTL: 2 * time.Second},
			Share: 0.3, Work: 50 * ms, Spread: 0.5,
		}, Class{
			Class: decide.Class{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1, Idempotency: decide.AtMostOnce}, Share: 0.1, Work: 20 * ms, Spread: 0.5,
		})
		if rapid.Bool().Draw(t, "second tier") {
			c.LowerKinds, c.CallsPerRequest = []ServerKind{{Count: rapid.IntRange(1, 8).Draw(t, "below"), Cores: 2, Speed: 1}}, 2
		}
		c.MaxRetryAfter = rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "advice")
		c.Churn = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "churn")
		c.Rate = min(600, c.Capacity()*rapid.Float64Range(0.3, 3).Draw(t, "load"))
		c.ReportedNodes = rapid.SampledFrom([]int{0, 1, c.Nodes, 100}).Draw(t, "told")
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(500, 4000).Draw(t, "at")) * ms
			which := rapid.IntRange(0, 5).Draw(t, "box")
			hit := func(i, _ int) bool { return i%6 == which }
			node := func(i int) bool { return i == which }
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				c.Steps = append(c.Steps, Step{At: at, Servers: hit, Slowdown: 8}, Step{At: at + time.Second, Servers: hit, Slowdown: 1})
			case 1:
				c.Steps = append(c.Steps, Step{At: at, Servers: hit, Down: true}, Step{At: at + time.Second, Servers: hit, Up: true})
			case 2:
				c.Steps = append(c.Steps, Step{At: at, Servers: hit, RejectAll: true}, Step{At: at + time.Second, Servers: hit, AcceptAll: true})
			case 3:
				c.Steps = append(c.Steps, Step{At: at, Servers: hit, FailFast: true}, Step{At: at + time.Second, Servers: hit, AcceptAll: true})
			case 4:
				c.Steps = append(c.Steps, Step{At: at, Nodes: node, KillNodes: true}, Step{At: at + time.Second, Nodes: node, StartNodes: true})
			case 5:
				c.Steps = append(c.Steps, Step{At: at, RateFactor: 3}, Step{At: at + time.Second, RateFactor: 1})
			}
		}
		r := Run(c)
		breaches := slices.DeleteFunc(r.Breaches, func(b string) bool {
			// How many nodes share a cold box's budget can be known from the settings alone.
			return c.ReportedNodes > 0 && c.ReportedNodes < c.Nodes && strings.HasPrefix(b, "rule 4")
		})
		if len(breaches) > 0 {
			t.Fatalf("%d breaches, the first: %s", len(breaches), breaches[0])
		}
	})
}

// More worth must never be refused before less: at every load the share refused
// of the worthier class is at most that of the other.
func TestHigherWorthIsRefusedLast(t *testing.T) {
	for _, load := range []float64{0.3, 0.7, 0.9, 1, 1.2, 1.5, 2, 3} {
		high, low, highAsked, lowAsked := 0, 0, 0, 0
		for seed := range uint64(3) {
			c := Default()
			c.Seed, c.Retries = seed+1, 0
			c.Rate = c.Capacity() * load
			r := Run(c)
			high, highAsked = high+r.Classes[0].Refused, highAsked+r.Classes[0].Requests
			low, lowAsked = low+r.Classes[1].Refused, lowAsked+r.Classes[1].Requests
		}
		h, l := float64(high)/float64(highAsked), float64(low)/float64(lowAsked)
		t.Logf("load %.1f: worth 12 refused %.3f, worth 1 refused %.3f", load, h, l)
		if h > l+0.005 {
			t.Errorf("load %.1f: %.3f of worth 12 refused, %.3f of worth 1", load, h, l)
		}
		if load >= 1.5 && l < 0.05 {
			t.Errorf("load %.1f: nothing is refused", load)
		}
	}
}

// cell is one place of the table over boxes, service times and loads.
type loadCase struct {
	cores int
	work  time.Duration
	load  float64
}

// play runs a cell under a rule and returns service, wrong refusals and lateness.
func (x loadCase) play(rule decide.LimitMode, seed uint64) (service, wrong, late float64) {
	c := Default()
	c.Seed, c.LimitMode, c.Nodes = seed, rule, 4
	c.Kinds = []ServerKind{{Count: max(4, 16/x.cores), Cores: x.cores, Speed: 1, Slots: 32 * x.cores, Queue: 64 * x.cores}}
	for i := range c.Classes {
		c.Classes[i].Work = x.work
	}
	c.Rate = c.Capacity() * x.load
	c.Duration = time.Duration(min(8, max(2, 40000/c.Rate)) * float64(time.Second))
	// The traffic doubles for a quarter of it: the time that room is there for.
	c.Steps = []Step{{At: c.Duration * 3 / 8, RateFactor: 2}, {At: c.Duration * 5 / 8, RateFactor: 1}}
	c.JudgeEvery = 50
	r := Run(c)
	return r.ServedWorth, r.WrongRefusalShare, r.LateShare
}

// No kind of boxes may be served clearly worse with learned room than with the
// presumed one, at any load; where that refused needlessly it must be better.
func TestLearnedLimitAgainstFixedLimit(t *testing.T) {
	cores, services, loads, seeds := []int{2, 8, 64}, []time.Duration{ms, 20 * ms, 200 * ms}, []float64{0.3, 0.9, 2}, 2
	rules := []decide.LimitMode{decide.LimitLearned, decide.LimitFixed, decide.LimitNone}
	names := "learned | presumed | r alone"
	if longTests() {
		cores, loads, seeds = []int{1, 2, 8, 64}, []float64{0.3, 0.6, 0.9, 1.2, 2, 3}, 10
	}
	var table strings.Builder
	fmt.Fprintf(&table, "| cores | service | load | %s |\n", names)
	for _, n := range cores {
		for _, s := range services {
			for _, load := range loads {
				if capacity := float64(max(4, 16/n)*n) / s.Seconds(); capacity*load > 3000 && !longTests() || capacity*load > 30000 {
					continue // more of the same, for much time
				}
				x := loadCase{n, s, load}
				fmt.Fprintf(&table, "| %d | %v | %.1f |", n, s, load)
				means := map[decide.LimitMode]float64{}
				for _, rule := range rules {
					mean, least, most, wrong, late := 0.0, 2.0, 0.0, 0.0, 0.0
					var plays [10][3]float64
					var all sync.WaitGroup
					for seed := range seeds {
						all.Go(func() { plays[seed][0], plays[seed][1], plays[seed][2] = x.play(rule, uint64(seed)+1) })
					}
					all.Wait()
					for _, p := range plays[:seeds] {
						v, w, l := p[0], p[1], p[2]
						mean, wrong, late = mean+v/float64(seeds), wrong+w/float64(seeds), late+l/float64(seeds)
						least, most = min(least, v), max(most, v)
					}
					means[rule] = mean
					fmt.Fprintf(&table, " %.3f (%.3f to %.3f) %.1f%% %.1f%% |", mean, least, most, 100*wrong, 100*late)
				}
				table.WriteByte('\n')
				if means[decide.LimitLearned] < means[decide.LimitFixed]-0.03 {
					t.Errorf("%+v: learned %.3f, presumed %.3f", x, means[decide.LimitLearned], means[decide.LimitFixed])
				}
			}
		}
	}
	t.Logf("weighted service (least to most), wrong refusals, late\n%s", table.String())
}

// Each box must get the share that it can serve, whatever is wrong with others.
func TestFaultyServersGetASmallShare(t *testing.T) {
	for _, x := range []struct {
		name  string
		step  Step
		least float64 // weighted service
		most  float64 // share of all attempts at the bad boxes
	}{
		{"boxes that turn all away", Step{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, RejectAll: true}, 0.97, 0.2},
		{"boxes that fail fast", Step{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, FailFast: true}, 0.97, 0.1},
		{"boxes thirty times slower", Step{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, Slowdown: 30}, 0.9, 0.1},
	} {
		c := Default()
		c.Rate = c.Capacity() * 0.5
		c.Steps = []Step{x.step}
		r := Run(c)
		bad, all := 0, 0
		for i, n := range r.AttemptsByServer {
			all += n
			if i < 2 {
				bad += n
			}
		}
		share := float64(bad) / float64(all)
		t.Logf("%s: service %.3f, %.3f of the attempts at them, %.2f attempts a request", x.name, r.ServedWorth, share,
			float64(r.Attempts)/float64(r.Classes[0].Requests+r.Classes[1].Requests))
		if r.ServedWorth < x.least || share > x.most || len(r.Breaches) > 0 {
			t.Errorf("%s: service %.3f, share %.3f, %v", x.name, r.ServedWorth, share, r.Breaches)
		}
	}
}

// A node whose peers are gone must come to use what they could: the boxes are as
// idle as before, and more calls do not lengthen answers.
func TestLastNodeUsesFreeCapacity(t *testing.T) {
	play := func(rule decide.LimitMode) *Result {
		c := Default()
		c.LimitMode, c.Nodes, c.Duration = rule, 8, 40*time.Second
		c.Kinds = []ServerKind{{Count: 16, Cores: 8, Speed: 1}}
		c.Rate = c.Capacity() * 0.6
		c.Steps = []Step{{At: 5 * time.Second, Nodes: func(i int) bool { return i > 0 }, KillNodes: true}}
		return Run(c)
	}
	learned, presumed := play(decide.LimitLearned), play(decide.LimitFixed)
	t.Logf("service with seven of eight nodes gone: learned %.3f, presumed %.3f", learned.ServedWorth, presumed.ServedWorth)
	if learned.ServedWorth < 0.9 || learned.ServedWorth < presumed.ServedWorth-0.01 {
		t.Errorf("learned %.3f, presumed %.3f", learned.ServedWorth, presumed.ServedWorth)
	}
}

// BenchmarkScale is a large fleet: how fast virtual time goes.
func BenchmarkScale(b *testing.B) {
	for b.Loop() {
		c := Default()
		c.Nodes, c.Kinds, c.Sites = 200, []ServerKind{{Count: 1000, Cores: 2, Speed: 1}}, 4
		c.Rate, c.Duration, c.JudgeEvery = c.Capacity()*0.6, 5*time.Second, 100
		r := Run(c)
		b.ReportMetric(float64(r.Events)/float64(b.Elapsed().Seconds()), "events/s")
	}
}
