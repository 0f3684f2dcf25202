package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"curlewring/internal/rig/standin/judge"
)

// Traffic is what callers ask for.
type Traffic struct {
	Rate           float64       // first tries a second
	Concurrency    int           // if above 0, so many callers ask one request after another instead
	Duration       time.Duration // arrivals stop after this
	Retries        int           // of one request, by its caller
	Backoff        time.Duration // before a retry without advice
	Mix            []float64     // shares by class; nil: the plan's
	BodyBytes      int           // bytes of a body, where a request has one
	CancelFraction float64       // part of the tries whose callers leave early, within their class's aim
}

// ClassReport is what became of a class's requests.
type ClassReport struct {
	Name     string
	Worth    float64
	Requests int // first tries
	Served   int // within the aim, retries counted with their first try
	Late     int
	Refused  int // by the last try
	Failed   int // by the last try, lost ones and those without answer included
	Tries    int // with the callers' retries
	// Latency of what was served, from the first try on.
	P50, P90, P99, P999, Max time.Duration
	histogram                *hdrhistogram.Histogram
}

// Callers send a plan's traffic to nodes. Arrivals do not wait for answers.
type LoadGenerator struct {
	plan    *Plan
	clients []*Client

	mu             sync.Mutex
	classes        []ClassReport
	pending        atomic.Int64
	requests       atomic.Int64
	triesByOutcome [6]atomic.Int64 // tries by judge.Ending
}

// NewCallers returns callers that spread their connections over these nodes.
func NewLoadGenerator(plan *Plan, clients []*Client) *LoadGenerator {
	c := &LoadGenerator{plan: plan, clients: clients, classes: make([]ClassReport, len(plan.Classes))}
	for i, class := range plan.Classes {
		c.classes[i] = ClassReport{
			Name: class.Name, Worth: class.Worth,
			histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		}
	}
	return c
}

// Progress tells first tries so far, those without an end, and tries by ending.
func (c *LoadGenerator) Progress() (asked, out int64, tries map[judge.RequestOutcome]int64) {
	tries = map[judge.RequestOutcome]int64{}
	for e := range c.triesByOutcome {
		tries[judge.RequestOutcome(e)] = c.triesByOutcome[e].Load()
	}
	return c.requests.Load(), c.pending.Load(), tries
}

// Run sends the traffic, and returns once all of it has ended. Ending the
// context stops arrivals; what is out has its time.
func (c *LoadGenerator) Run(ctx context.Context, t Traffic) {
	rng := c.plan.newRand("callers", 0)
	mix := t.Mix
	if mix == nil {
		for _, class := range c.plan.Classes {
			mix = append(mix, class.Share)
		}
	}
	sum := 0.0
	for _, share := range mix {
		sum += share
	}
	var all sync.WaitGroup
	defer all.Wait()
	begun := time.Now()
	for range t.Concurrency {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		all.Go(func() {
			for time.Since(begun) < t.Duration && ctx.Err() == nil {
				c.runRequest(ctx, &t, pickClass(mix, sum, own), own)
			}
		})
	}
	if t.Concurrency > 0 {
		return
	}
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / t.Rate * float64(time.Second))
		if at >= t.Duration {
			return
		}
		if wait := at - time.Since(begun); wait > 0 {
			alarm.Reset(wait)
			select {
			case <-alarm.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		class := pickClass(mix, sum, rng)
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		all.Go(func() { c.runRequest(ctx, &t, class, own) })
	}
}

// draw picks a class by its share.
func pickClass(mix []float64, sum float64, rng *rand.Rand) int {
	class, x := 0, rng.Float64()*sum
	for x >= mix[class] && class < len(mix)-1 {
		x -= mix[class]
		class++
	}
	return class
}

// request plays one request with its retries.
func (c *LoadGenerator) runRequest(ctx context.Context, t *Traffic, index int, rng *rand.Rand) {
	class := &c.plan.Classes[index]
	c.requests.Add(1)
	c.pending.Add(1)
	defer c.pending.Add(-1)
	begun := time.Now()
	a := Request{
		Class: index, Path: fmt.Sprintf("/%s/%s/%d", class.Name, c.plan.Sites[rng.IntN(len(c.plan.Sites))], rng.IntN(5000)),
		Key: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()), Body: make([]byte, t.BodyBytes),
	}
	for i := range a.Body {
		a.Body[i] = 'x'
	}
	node := rng.IntN(len(c.clients))
	tries := 0
	var answer Response
	for {
		left := class.Deadline - time.Since(begun)
		if left < time.Millisecond {
			break
		}
		a.ID, a.Timeout, a.IsRetry = fmt.Sprintf("%016x", rng.Uint64()), left, tries > 0
		// A request under way is not given up when arrivals stop.
		stays, leave := context.WithCancel(context.WithoutCancel(ctx))
		if t.CancelFraction > 0 && rng.Float64() < t.CancelFraction {
			time.AfterFunc(time.Duration(rng.Float64()*float64(class.LatencyTarget)), leave)
		}
		answer = c.clients[node%len(c.clients)].Do(stays, a)
		leave()
		c.triesByOutcome[answer.Outcome].Add(1)
		tries++
		if answer.Outcome == judge.Served || tries > t.Retries {
			break
		}
		wait := time.Duration((0.5 + rng.Float64()) * float64(t.Backoff))
		wait = max(wait, answer.RetryAfter)
		if time.Since(begun)+wait >= class.Deadline {
			break
		}
		time.Sleep(wait)
		node++ // another one, as the front would deal it out
	}
	took := time.Since(begun)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.classes[index]
	r.Requests++
	r.Tries += tries
	switch {
	case answer.Outcome == judge.Served && took <= class.LatencyTarget:
		r.Served++
	case answer.Outcome == judge.Served:
		r.Late++
	case answer.Outcome == judge.Refused:
		r.Refused++
	default:
		r.Failed++
	}
	if answer.Outcome == judge.Served {
		r.histogram.RecordValue(int64(took / time.Microsecond))
	}
}

// Report is what became of all requests so far.
func (c *LoadGenerator) Report() []ClassReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := make([]ClassReport, len(c.classes))
	for i, r := range c.classes {
		at := func(q float64) time.Duration {
			return time.Duration(r.histogram.ValueAtQuantile(q)) * time.Microsecond
		}
		r.P50, r.P90, r.P99, r.P999 = at(50), at(90), at(99), at(99.9)
		r.Max = time.Duration(r.histogram.Max()) * time.Microsecond
		reports[i] = r
	}
	return reports
}

// Service is the worth served in time over the worth asked for.
func ServedWorth(reports []ClassReport) float64 {
	asked, served := 0.0, 0.0
	for _, r := range reports {
		asked += r.Worth * float64(r.Requests)
		served += r.Worth * float64(r.Served)
	}
	if asked == 0 {
		return 0
	}
	return served / asked
}
