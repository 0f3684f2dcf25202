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

// Traffic describes the requests that clients send.
type Traffic struct {
	Rate           float64       // first tries a second
	Concurrency    int           // if above 0, so many clients send one request after another; Rate is ignored
	Duration       time.Duration // no new requests after this
	Retries        int           // of one request, by its client
	Backoff        time.Duration // before a retry without Retry-After
	Mix            []float64     // share of each class; nil: the plan's
	BodyBytes      int           // size of the body of requests that have one
	CancelFraction float64       // fraction of the tries that clients cancel, within the latency target
}

// ClassReport summarizes the requests of a class.
type ClassReport struct {
	Name     string
	Worth    float64
	Requests int // first tries
	Served   int // within the latency target, measured from the first try
	Late     int
	Refused  int // outcome of the last try
	Failed   int // outcome of the last try, including lost and unanswered ones
	Tries    int // including retries by clients
	// Latency of served requests, from the first try on.
	P50, P90, P99, P999, Max time.Duration
	histogram                *hdrhistogram.Histogram
}

// LoadGenerator sends a plan's traffic to nodes. It is open-loop: arrivals do not wait for answers.
type LoadGenerator struct {
	plan    *Plan
	clients []*Client

	mu             sync.Mutex
	classes        []ClassReport
	pending        atomic.Int64
	requests       atomic.Int64
	triesByOutcome [6]atomic.Int64 // indexed by judge.RequestOutcome
}

// NewLoadGenerator returns a generator that distributes requests over the clients.
func NewLoadGenerator(plan *Plan, clients []*Client) *LoadGenerator {
	g := &LoadGenerator{plan: plan, clients: clients, classes: make([]ClassReport, len(plan.Classes))}
	for i, class := range plan.Classes {
		g.classes[i] = ClassReport{
			Name: class.Name, Worth: class.Worth,
			histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		}
	}
	return g
}

// Progress returns the number of first tries, the requests in progress, and the tries by outcome.
func (g *LoadGenerator) Progress() (requests, pending int64, tries map[judge.RequestOutcome]int64) {
	tries = map[judge.RequestOutcome]int64{}
	for outcome := range g.triesByOutcome {
		tries[judge.RequestOutcome(outcome)] = g.triesByOutcome[outcome].Load()
	}
	return g.requests.Load(), g.pending.Load(), tries
}

// Run sends the traffic and returns once every request has ended. If the context ends, no new requests
// arrive; those in progress continue.
func (g *LoadGenerator) Run(ctx context.Context, traffic Traffic) {
	rng := g.plan.newRand("callers", 0)
	mix := traffic.Mix
	if mix == nil {
		for _, class := range g.plan.Classes {
			mix = append(mix, class.Share)
		}
	}
	sum := 0.0
	for _, share := range mix {
		sum += share
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for range traffic.Concurrency {
		requestRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() {
			for time.Since(start) < traffic.Duration && ctx.Err() == nil {
				g.runRequest(ctx, &traffic, pickClass(mix, sum, requestRNG), requestRNG)
			}
		})
	}
	if traffic.Concurrency > 0 {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / traffic.Rate * float64(time.Second))
		if at >= traffic.Duration {
			return
		}
		if wait := at - time.Since(start); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		} else if ctx.Err() != nil {
			return
		}
		class := pickClass(mix, sum, rng)
		requestRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { g.runRequest(ctx, &traffic, class, requestRNG) })
	}
}

// pickClass picks a class at random by its share.
func pickClass(mix []float64, sum float64, rng *rand.Rand) int {
	class, x := 0, rng.Float64()*sum
	for x >= mix[class] && class < len(mix)-1 {
		x -= mix[class]
		class++
	}
	return class
}

// runRequest sends one request with its retries.
func (g *LoadGenerator) runRequest(ctx context.Context, traffic *Traffic, index int, rng *rand.Rand) {
	class := &g.plan.Classes[index]
	g.requests.Add(1)
	g.pending.Add(1)
	defer g.pending.Add(-1)
	start := time.Now()
	req := Request{
		Class: index, Path: fmt.Sprintf("/%s/%s/%d", class.Name, g.plan.Sites[rng.IntN(len(g.plan.Sites))], rng.IntN(5000)),
		Key: fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()), Body: make([]byte, traffic.BodyBytes),
	}
	for i := range req.Body {
		req.Body[i] = 'x'
	}
	node := rng.IntN(len(g.clients))
	tries := 0
	var response Response
	for {
		remaining := class.Deadline - time.Since(start)
		if remaining < time.Millisecond {
			break
		}
		req.ID, req.Timeout, req.IsRetry = fmt.Sprintf("%016x", rng.Uint64()), remaining, tries > 0
		// Requests in progress continue after the context ends.
		reqCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		if traffic.CancelFraction > 0 && rng.Float64() < traffic.CancelFraction {
			time.AfterFunc(time.Duration(rng.Float64()*float64(class.LatencyTarget)), cancel)
		}
		response = g.clients[node%len(g.clients)].Do(reqCtx, req)
		cancel()
		g.triesByOutcome[response.Outcome].Add(1)
		tries++
		if response.Outcome == judge.Served || tries > traffic.Retries {
			break
		}
		wait := time.Duration((0.5 + rng.Float64()) * float64(traffic.Backoff))
		wait = max(wait, response.RetryAfter)
		if time.Since(start)+wait >= class.Deadline {
			break
		}
		time.Sleep(wait)
		node++ // a retry goes to another node, as a load balancer in front of the nodes would send it
	}
	took := time.Since(start)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.classes[index]
	r.Requests++
	r.Tries += tries
	switch {
	case response.Outcome == judge.Served && took <= class.LatencyTarget:
		r.Served++
	case response.Outcome == judge.Served:
		r.Late++
	case response.Outcome == judge.Refused:
		r.Refused++
	default:
		r.Failed++
	}
	if response.Outcome == judge.Served {
		r.histogram.RecordValue(int64(took / time.Microsecond))
	}
}

// Report returns the results of all requests so far.
func (g *LoadGenerator) Report() []ClassReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	reports := make([]ClassReport, len(g.classes))
	for i, r := range g.classes {
		at := func(q float64) time.Duration {
			return time.Duration(r.histogram.ValueAtQuantile(q)) * time.Microsecond
		}
		r.P50, r.P90, r.P99, r.P999 = at(50), at(90), at(99), at(99.9)
		r.Max = time.Duration(r.histogram.Max()) * time.Microsecond
		reports[i] = r
	}
	return reports
}

// ServedWorth returns the worth served in time as a fraction of the worth requested.
func ServedWorth(reports []ClassReport) float64 {
	requests, served := 0.0, 0.0
	for _, r := range reports {
		requests += r.Worth * float64(r.Requests)
		served += r.Worth * float64(r.Served)
	}
	if requests == 0 {
		return 0
	}
	return served / requests
}
