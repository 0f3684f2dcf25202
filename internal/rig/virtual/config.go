package virtual

import (
	"time"

	"curlewring/decide"
)

// Class is a class of requests: the part that the balancer knows, and the work that requests take.
type Class struct {
	decide.Class
	Share  float64       // of all requests, relative to the other classes
	Work   time.Duration // mean, on a core of speed 1, in each tier
	Spread float64       // coefficient of variation, log-normal
	// HeavyShare of the requests take HeavyFactor times the work.
	HeavyShare, HeavyFactor float64
}

// ServerKind describes a number of identical servers.
type ServerKind struct {
	Count int
	Cores int
	Speed float64
	Slots int // concurrent requests, including those that wait for the lower tier; 0: 16 per core
	Queue int // queue length; 0: 32 per core
}

// Congestion slows overloaded servers down: a server whose mean number of requests in flight exceeds
// cores + Threshold x sqrt(cores) becomes Slowdown times slower, until it has been mostly idle or for MaxDuration.
type Congestion struct {
	Threshold     float64
	AveragingTime time.Duration // of the mean number of requests in flight
	Slowdown      float64
	Rest          time.Duration // not read: the mean alone ends congestion early
	MaxDuration   time.Duration
}

// Step changes the traffic or the fleet at a given time.
type Step struct {
	At         time.Duration
	RateFactor float64                    // multiple of Config.Rate from now on; 0: unchanged
	Servers    func(i int, site int) bool // selects servers of the first tier; nil: none
	Slowdown   float64                    // of these servers; 0: unchanged
	Down       bool                       // stops the processes of these servers
	Up         bool                       // starts them again, cold
	RejectAll  bool                       // these servers reject all requests
	AcceptAll  bool                       // ends RejectAll, FailFast and Stuck
	FailFast   bool                       // these servers answer with an error at once
	Stuck      bool                       // these servers get no response from the lower tier
	Nodes      func(i int) bool           // selects nodes of the first tier; nil: none
	KillNodes  bool                       // kills these nodes
	StartNodes bool                       // starts them again
	// Replace replaces these servers: each drains, and one of its kind starts cold in its place under a new ID.
	Replace    bool
	Cut        func(a, b int) bool // site pairs that a partition separates, in either order; to end it: none
	AnswerLoss *float64            // fraction of responses that are lost from now on
	ResetShare *float64            // fraction of requests whose connection is reset before the response
}

// Config describes a run.
type Config struct {
	Seed             uint64
	Nodes            int // in front of the first tier
	Sites            int
	Kinds            []ServerKind // servers of the first tier
	LowerKinds       []ServerKind // servers of the second tier; empty: there is none
	CallsPerRequest  int          // calls to the second tier for each request
	Classes          []Class
	Rate             float64 // new requests per second, retries excluded, at all nodes
	Duration         time.Duration
	Steps            []Step
	Retries          int           // maximum per request, by the client
	Backoff          time.Duration // delay before a retry; a longer Retry-After takes precedence
	MaxRetryAfter    time.Duration // 0: nodes send no Retry-After
	NoJitter         bool          // clients that failed at the same time retry at the same time
	ListDelay        time.Duration // maximum delay of a list change; the minimum is half of it
	ListLineRate     float64       // lines per second that discovery sends to a tier in total; 0: unlimited
	DrainTime        time.Duration // from the drain of a replaced server until its process ends
	Churn            float64       // fraction of the servers replaced per second
	Congestion       *Congestion
	ColdCapacity     float64       // fraction of its capacity that a newly started server has
	WarmupTime       time.Duration // until a started server has its full capacity; 0: servers start warm
	SiteLatency      time.Duration // one-way, within a site
	CrossSiteLatency time.Duration // one-way, between sites
	LimitMode        decide.LimitMode
	AllowHedging     bool
	JudgeEvery       int // the judge checks one of this many requests; 0: all
	StaleList        *StaleList
	Pool             *Pool   // nil: each node uses only its own part of a cold server's budget
	HandshakePenalty float64 // the balancer's penalty for a new connection
	ReportedNodes    int     // number of nodes in the balancer's settings; 0: Nodes; negative: not given
}

// Default returns a small fleet similar to the service, at half of its capacity.
func Default() Config {
	c := Config{
		Seed: 1, Nodes: 4, Sites: 2, Kinds: []ServerKind{{Count: 12, Cores: 2, Speed: 1}},
		Classes: []Class{
			{Class: decide.Class{LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second, Worth: 12}, Share: 0.16, Work: 100 * time.Millisecond, Spread: 0.8},
			{Class: decide.Class{LatencyTarget: time.Second, Deadline: 2500 * time.Millisecond, Worth: 1}, Share: 0.84, Work: 100 * time.Millisecond, Spread: 0.8},
		},
		Duration: 20 * time.Second, Retries: 1, Backoff: 200 * time.Millisecond, ListDelay: 2 * time.Second,
		ColdCapacity: 0.4, WarmupTime: 5 * time.Second, SiteLatency: 200 * time.Microsecond, CrossSiteLatency: 5 * time.Millisecond,
	}
	c.Rate = c.Capacity() / 2
	return c
}

// Capacity returns the number of requests per second that the first tier can process.
func (c *Config) Capacity() float64 {
	cores := 0.0
	for _, kind := range c.Kinds {
		cores += float64(kind.Count*kind.Cores) * kind.Speed
	}
	return cores / c.meanWork().Seconds()
}

// meanWork returns the mean work of a request, on a core of speed 1.
func (c *Config) meanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, class := range c.Classes {
		heavy := 1 + class.HeavyShare*(class.HeavyFactor-1)
		work += class.Share * class.Work.Seconds() * heavy
		share += class.Share
	}
	return time.Duration(work / share * float64(time.Second))
}

// ClassResult counts the requests of a class by their outcome.
type ClassResult struct {
	Requests, Served, Late, Refused, Failed int
	// WrongRefusals counts refusals although a randomly chosen server would have met the latency target.
	WrongRefusals     int
	ClientAttempts    int // requests and retries that clients sent
	totalResponseTime time.Duration
}

// Result is the result of a run.
type Result struct {
	Classes           []ClassResult
	Attempts          int
	Events            int
	ServedWorth       float64   // fraction of the requested worth that was served within the latency target
	WrongRefusalShare float64   // wrong refusals per client attempt
	LateShare         float64   // fraction of the requests answered after the latency target
	AttemptsByServer  []int     // attempts at each server that the first tier has at the end
	Capacity          []float64 // cores x speed of each of these servers
	ConnsPerServer    float64   // mean number of nodes connected to a server
	// PeakLoadRatio is the ratio of the attempts at the busiest server to those at the mean server in one second, as
	// the mean over the seconds.
	PeakLoadRatio        float64
	ServedWorthBySite    []float64 // ServedWorth of the requests that entered at each site
	StaleAttempts        int       // attempts at addresses of a stale list where the server no longer exists
	WrongProcessAttempts int       // of these, answered by another process
	UnsafeMisdeliveries  int       // of these, requests that must not run twice
	Breaches             []string
	Handshakes           int // attempts for which the node had no idle connection to the server
	// ColdWorkRatio is the maximum ratio of the work sent to a cold server in a window to what the rule allows all
	// nodes together, see collapses.
	ColdWorkRatio float64
	// ColdRequestRatio is the same in requests of mean work, relative to N + 2 x sqrt(N) + 2, where the rule allows
	// all nodes together N requests.
	ColdRequestRatio float64
	Collapsed        int           // cold servers that failed because they were sent too much
	Claims           int           // messages that claim sends of a pooled budget
	GrantedSends     int           // sends granted in reply
	ColdAttempts     int           // attempts at cold servers
	Elapsed          time.Duration // virtual time at the end of the run
}

// Mean returns the mean response time of the answered requests of a class.
func (r *ClassResult) Mean() time.Duration {
	if n := r.Served + r.Late; n > 0 {
		return r.totalResponseTime / time.Duration(n)
	}
	return 0
}
