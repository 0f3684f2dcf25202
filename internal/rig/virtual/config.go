package virtual

import (
	"time"

	"curlewring/decide"
)

// Class is a class of requests: what the module is told, and what boxes do.
type Class struct {
	decide.Class
	Share  float64
	Work   time.Duration // mean, on a core of speed 1, in each tier
	Spread float64       // coefficient of variation, log-normal
	// Some requests cost many times the usual.
	HeavyShare, HeavyFactor float64
}

// Kind is a kind of boxes.
type ServerKind struct {
	Count int
	Cores int
	Speed float64
	Slots int // requests in work, those that wait for the tier below included; 0: 16 a core
	Queue int // 0: 32 a core
}

// Choke makes crowded boxes slower: when the mean of the requests held over a
// while is above cores + At x root of cores, until it has been mostly idle.
type Congestion struct {
	Threshold     float64
	AveragingTime time.Duration
	Slowdown      float64
	Rest          time.Duration
	MaxDuration   time.Duration
}

// Step changes the traffic or the fleet at a time.
type Step struct {
	At         time.Duration
	RateFactor float64 // times the usual traffic from now on; 0: as before
	Servers    func(i int, site int) bool
	Slowdown   float64 // these boxes; 0: as before
	Down       bool    // these boxes' processes end ...
	Up         bool    // ... or start again, cold
	RejectAll  bool    // these boxes turn all away ...
	AcceptAll  bool    // ... or no longer
	FailFast   bool    // these boxes fail fast
	Stuck      bool    // these boxes get no answer from the tier below
	Nodes      func(i int) bool
	KillNodes  bool // these nodes
	StartNodes bool
	// Replace takes these boxes out: each drains, and one of its kind starts cold in its place under an id of its own.
	Replace    bool
	Cut        func(a, b int) bool // sites that no longer reach each other, in either order; to heal, none
	AnswerLoss *float64            // part of the answers that are lost from now on ...
	ResetShare *float64            // ... and of those whose connection is reset under the request
}

// Config describes a run.
type Config struct {
	Seed             uint64
	Nodes            int // before the first tier
	Sites            int
	Kinds            []ServerKind // of the first tier
	LowerKinds       []ServerKind // of the second; empty: there is none
	CallsPerRequest  int          // of each request to the second tier
	Classes          []Class
	Rate             float64 // first tries a second at all nodes
	Duration         time.Duration
	Steps            []Step
	Retries          int           // of a caller
	Backoff          time.Duration // before a retry without advice
	MaxRetryAfter    time.Duration // the longest Retry-After; 0: none
	NoJitter         bool          // retries come in step, without jitter
	ListDelay        time.Duration
	ListLineRate     float64       // lines a second that discovery sends to all nodes of a tier; 0: any number
	DrainTime        time.Duration // a replaced box ends so long after the list has it draining
	Churn            float64       // boxes a second, as a share of all, that are replaced
	Congestion       *Congestion
	ColdCapacity     float64
	WarmupTime       time.Duration
	SiteLatency      time.Duration // one way within a site
	CrossSiteLatency time.Duration // one way between sites
	LimitMode        decide.LimitMode
	AllowHedging     bool
	JudgeEvery       int // one request in so many is judged; 0: all
	OldList          *OldList
	Pool             *Pool   // nil: each node goes by its own part of a cold box's budget
	HandshakePenalty float64 // price of a new connection, as the module is told
	ReportedNodes    int     // how many nodes the module is told of; 0: all; below 0: none
}

// Default is a small fleet in the likeness of the service, at a load of one half.
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

// Capacity is how many requests a second the first tier can do.
func (c *Config) Capacity() float64 {
	cores := 0.0
	for _, k := range c.Kinds {
		cores += float64(k.Count*k.Cores) * k.Speed
	}
	return cores / c.meanWork().Seconds()
}

// meanWork is the work of a request on average, on a core of speed 1.
func (c *Config) meanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, x := range c.Classes {
		heavy := 1 + x.HeavyShare*(x.HeavyFactor-1)
		work += x.Share * x.Work.Seconds() * heavy
		share += x.Share
	}
	return time.Duration(work / share * float64(time.Second))
}

// ClassResult counts the requests of a class.
type ClassResult struct {
	Requests, Served, Late, Refused, Failed int
	WrongRefusals                           int // refusals of tries that an average box would have answered within the aim
	ClientAttempts                                   int
	totalResponseTime                                     time.Duration
}

// Result is what came of a run.
type Result struct {
	Classes              []ClassResult
	Attempts             int
	Events               int
	ServedWorth          float64 // worth served within the aim, of the worth asked for
	WrongRefusalShare    float64 // wrong refusals, of all tries
	LateShare            float64
	AttemptsByServer     []int // attempts at each box of the first tier, in the end's order
	Capacity             []float64
	ConnsPerServer       float64   // pairs of a node and a box it sent to, a box
	PeakLoadRatio        float64   // attempts at the busiest box of a second, to the mean of that second; mean over seconds
	ServedWorthBySite    []float64 // Service of the requests that came in at each site
	StaleAttempts        int       // attempts at addresses of an old list where no box is any more
	WrongProcessAttempts int       // of these, where something else answered ...
	UnsafeMisdeliveries  int       // ... an unsafe request
	Breaches             []string
	Handshakes           int           // attempts for which a node had no idle connection to the box
	ColdWorkRatio        float64       // the most work sent to a cold box in a window, to what the rule lets all nodes send; see tooMuch
	ColdRequestRatio     float64       // the same in requests of mean work, to N + 2 x root(N) + 2, N being what the rule lets all nodes send
	Collapsed            int           // cold boxes that were sent too much
	Claims               int           // of pooled budgets
	GrantedSends         int           // sends dealt out of them
	ColdAttempts         int           // attempts at cold boxes
	AnsweringTime        time.Duration // virtual time from the first to the last answer
}

// Mean is the mean response time of what a class was served.
func (r *ClassResult) Mean() time.Duration {
	if n := r.Served + r.Late; n > 0 {
		return r.totalResponseTime / time.Duration(n)
	}
	return 0
}
