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

// longTests reports whether the long versions of the tests are wanted.
func longTests() bool { return os.Getenv("CURLEWRING_LONG") != "" }

// The same configuration and seed must give the same run. Otherwise no result can be reproduced.
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
		t.Errorf("two runs of the same configuration differ:\n%+v\n%+v", a, b)
	}
	c.Seed++
	if reflect.DeepEqual(a.Classes, Run(c).Classes) {
		t.Error("another seed gives the same result")
	}
}

// Servers must behave as queues do: at half load requests hardly wait, and the cores limit the throughput.
func TestServersBehaveAsQueues(t *testing.T) {
	c := Default()
	c.Rate = c.Capacity() / 2
	r := Run(c)
	if mean := r.Classes[1].Mean(); mean < 100*ms || mean > 150*ms {
		t.Errorf("mean response time at half load: %v, the work takes 100 ms", mean)
	}
	c.Rate, c.LimitMode, c.Retries, c.Duration = 2*c.Capacity(), decide.LimitNone, 0, 30*time.Second
	r = Run(c)
	served := 0
	for _, class := range r.Classes {
		served += class.Served + class.Late
	}
	if rate := float64(served) / r.Elapsed.Seconds(); rate > c.Capacity()*1.05 || rate < c.Capacity()*0.5 {
		t.Errorf("%.0f requests per second were served, the capacity is %.0f", rate, c.Capacity())
	}
}

// The real balancer must keep the four rules in random fleets with random faults.
func TestRandomFleetsKeepTheRules(t *testing.T) {
	checks := 40
	if longTests() {
		checks = 1000
	}
	n := 0
	// Every run draws the same fleets, unless -rapid.seed is given.
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
			target := rapid.IntRange(0, 5).Draw(t, "box")
			servers := func(i, _ int) bool { return i%6 == target }
			nodes := func(i int) bool { return i == target }
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				c.Steps = append(c.Steps, Step{At: at, Servers: servers, Slowdown: 8}, Step{At: at + time.Second, Servers: servers, Slowdown: 1})
			case 1:
				c.Steps = append(c.Steps, Step{At: at, Servers: servers, Down: true}, Step{At: at + time.Second, Servers: servers, Up: true})
			case 2:
				c.Steps = append(c.Steps, Step{At: at, Servers: servers, RejectAll: true}, Step{At: at + time.Second, Servers: servers, AcceptAll: true})
			case 3:
				c.Steps = append(c.Steps, Step{At: at, Servers: servers, FailFast: true}, Step{At: at + time.Second, Servers: servers, AcceptAll: true})
			case 4:
				c.Steps = append(c.Steps, Step{At: at, Nodes: nodes, KillNodes: true}, Step{At: at + time.Second, Nodes: nodes, StartNodes: true})
			case 5:
				c.Steps = append(c.Steps, Step{At: at, RateFactor: 3}, Step{At: at + time.Second, RateFactor: 1})
			}
		}
		r := Run(c)
		breaches := slices.DeleteFunc(r.Breaches, func(b string) bool {
			// Nodes know only from the settings how many of them share a cold server's budget: a number that is
			// too low makes them break rule 4.
			return c.ReportedNodes > 0 && c.ReportedNodes < c.Nodes && strings.HasPrefix(b, "rule 4")
		})
		if len(breaches) > 0 {
			t.Fatalf("%d breaches, the first: %s", len(breaches), breaches[0])
		}
	})
}

// Requests of higher worth must not be refused before those of lower worth: at every load the fraction refused
// of the class of higher worth is at most that of the other.
func TestHigherWorthIsRefusedLast(t *testing.T) {
	for _, load := range []float64{0.3, 0.7, 0.9, 1, 1.2, 1.5, 2, 3} {
		highRefused, lowRefused, highRequests, lowRequests := 0, 0, 0, 0
		for seed := range uint64(3) {
			c := Default()
			c.Seed, c.Retries = seed+1, 0
			c.Rate = c.Capacity() * load
			r := Run(c)
			highRefused, highRequests = highRefused+r.Classes[0].Refused, highRequests+r.Classes[0].Requests
			lowRefused, lowRequests = lowRefused+r.Classes[1].Refused, lowRequests+r.Classes[1].Requests
		}
		highShare, lowShare := float64(highRefused)/float64(highRequests), float64(lowRefused)/float64(lowRequests)
		t.Logf("load %.1f: refused %.3f of worth 12, %.3f of worth 1", load, highShare, lowShare)
		if highShare > lowShare+0.005 {
			t.Errorf("load %.1f: refused %.3f of worth 12, but %.3f of worth 1", load, highShare, lowShare)
		}
		if load >= 1.5 && lowShare < 0.05 {
			t.Errorf("load %.1f: hardly any request of worth 1 is refused", load)
		}
	}
}

// loadCase is one combination of cores per server, work per request and load.
type loadCase struct {
	cores int
	work  time.Duration
	load  float64
}

// play runs a case in a limit mode, and returns the served worth and the fractions of wrong refusals and late
// requests.
func (x loadCase) play(mode decide.LimitMode, seed uint64) (servedWorth, wrongRefusals, lateShare float64) {
	c := Default()
	c.Seed, c.LimitMode, c.Nodes = seed, mode, 4
	c.Kinds = []ServerKind{{Count: max(4, 16/x.cores), Cores: x.cores, Speed: 1, Slots: 32 * x.cores, Queue: 64 * x.cores}}
	for i := range c.Classes {
		c.Classes[i].Work = x.work
	}
	c.Rate = c.Capacity() * x.load
	c.Duration = time.Duration(min(8, max(2, 40000/c.Rate)) * float64(time.Second))
	// The traffic doubles for a quarter of the run: the concurrency limit is there for such overloads.
	c.Steps = []Step{{At: c.Duration * 3 / 8, RateFactor: 2}, {At: c.Duration * 5 / 8, RateFactor: 1}}
	c.JudgeEvery = 50
	r := Run(c)
	return r.ServedWorth, r.WrongRefusalShare, r.LateShare
}

// With the learned concurrency limit no kind of server may serve clearly less than with the fixed one, at any load.
// Where the fixed limit refuses needlessly, the learned one should serve more.
func TestLearnedLimitAgainstFixedLimit(t *testing.T) {
	cores, works, loads, seeds := []int{2, 8, 64}, []time.Duration{ms, 20 * ms, 200 * ms}, []float64{0.3, 0.9, 2}, 2
	modes := []decide.LimitMode{decide.LimitLearned, decide.LimitFixed, decide.LimitNone}
	names := "learned limit | fixed limit | no limit"
	if longTests() {
		cores, loads, seeds = []int{1, 2, 8, 64}, []float64{0.3, 0.6, 0.9, 1.2, 2, 3}, 10
	}
	var table strings.Builder
	fmt.Fprintf(&table, "| cores | work | load | %s |\n", names)
	for _, serverCores := range cores {
		for _, work := range works {
			for _, load := range loads {
				if capacity := float64(max(4, 16/serverCores)*serverCores) / work.Seconds(); capacity*load > 3000 && !longTests() || capacity*load > 30000 {
					continue // similar to the other cases, but takes long
				}
				testCase := loadCase{serverCores, work, load}
				fmt.Fprintf(&table, "| %d | %v | %.1f |", serverCores, work, load)
				means := map[decide.LimitMode]float64{}
				for _, mode := range modes {
					mean, lowest, highest, meanWrong, meanLate := 0.0, 2.0, 0.0, 0.0, 0.0
					var results [10][3]float64
					var all sync.WaitGroup
					for seed := range seeds {
						all.Go(func() { results[seed][0], results[seed][1], results[seed][2] = testCase.play(mode, uint64(seed)+1) })
					}
					all.Wait()
					for _, result := range results[:seeds] {
						servedWorth, wrongRefusals, lateShare := result[0], result[1], result[2]
						mean, meanWrong, meanLate = mean+servedWorth/float64(seeds), meanWrong+wrongRefusals/float64(seeds), meanLate+lateShare/float64(seeds)
						lowest, highest = min(lowest, servedWorth), max(highest, servedWorth)
					}
					means[mode] = mean
					fmt.Fprintf(&table, " %.3f (%.3f to %.3f) %.1f%% %.1f%% |", mean, lowest, highest, 100*meanWrong, 100*meanLate)
				}
				table.WriteByte('\n')
				if means[decide.LimitLearned] < means[decide.LimitFixed]-0.03 {
					t.Errorf("%+v: served worth %.3f with the learned limit, %.3f with the fixed one", testCase, means[decide.LimitLearned], means[decide.LimitFixed])
				}
			}
		}
	}
	t.Logf("served worth (lowest to highest), wrong refusals, late\n%s", table.String())
}

// Faulty servers must get only a small share of the attempts, and the others must serve nearly all requests.
func TestFaultyServersGetASmallShare(t *testing.T) {
	for _, test := range []struct {
		name           string
		step           Step
		minServedWorth float64
		maxShare       float64 // of the attempts, at the faulty servers
	}{
		{"servers that reject all requests", Step{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, RejectAll: true}, 0.97, 0.2},
		{"servers that fail fast", Step{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, FailFast: true}, 0.97, 0.1},
		{"servers thirty times slower", Step{At: 2 * time.Second, Servers: func(i, _ int) bool { return i < 2 }, Slowdown: 30}, 0.9, 0.1},
	} {
		c := Default()
		c.Rate = c.Capacity() * 0.5
		c.Steps = []Step{test.step}
		r := Run(c)
		faulty, all := 0, 0
		for i, n := range r.AttemptsByServer {
			all += n
			if i < 2 {
				faulty += n
			}
		}
		share := float64(faulty) / float64(all)
		t.Logf("%s: served worth %.3f, %.3f of the attempts at them, %.2f attempts per request", test.name, r.ServedWorth, share,
			float64(r.Attempts)/float64(r.Classes[0].Requests+r.Classes[1].Requests))
		if r.ServedWorth < test.minServedWorth || share > test.maxShare || len(r.Breaches) > 0 {
			t.Errorf("%s: served worth %.3f, %.3f of the attempts at them, breaches %v", test.name, r.ServedWorth, share, r.Breaches)
		}
	}
}

// A node whose peers have all failed must learn to use the capacity that they used: the servers are as idle as
// before, and more calls do not increase response times.
func TestLastNodeUsesFreeCapacity(t *testing.T) {
	play := func(mode decide.LimitMode) *Result {
		c := Default()
		c.LimitMode, c.Nodes, c.Duration = mode, 8, 40*time.Second
		c.Kinds = []ServerKind{{Count: 16, Cores: 8, Speed: 1}}
		c.Rate = c.Capacity() * 0.6
		c.Steps = []Step{{At: 5 * time.Second, Nodes: func(i int) bool { return i > 0 }, KillNodes: true}}
		return Run(c)
	}
	learned, fixed := play(decide.LimitLearned), play(decide.LimitFixed)
	t.Logf("served worth with seven of eight nodes killed: %.3f with the learned limit, %.3f with the fixed one", learned.ServedWorth, fixed.ServedWorth)
	if learned.ServedWorth < 0.9 || learned.ServedWorth < fixed.ServedWorth-0.01 {
		t.Errorf("served worth %.3f with the learned limit, %.3f with the fixed one", learned.ServedWorth, fixed.ServedWorth)
	}
}

// BenchmarkScale measures the events per second of the simulation of a large fleet.
func BenchmarkScale(b *testing.B) {
	for b.Loop() {
		c := Default()
		c.Nodes, c.Kinds, c.Sites = 200, []ServerKind{{Count: 1000, Cores: 2, Speed: 1}}, 4
		c.Rate, c.Duration, c.JudgeEvery = c.Capacity()*0.6, 5*time.Second, 100
		r := Run(c)
		b.ReportMetric(float64(r.Events)/float64(b.Elapsed().Seconds()), "events/s")
	}
}
