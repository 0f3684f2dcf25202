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
	HeavyShare, HeavyTimes float64
}

// Kind is a kind of boxes.
type Kind struct {
	Count int
	Cores int
	Speed float64
	Slots int // requests in work, those that wait for the tier below included; 0: 16 a core
	Queue int // 0: 32 a core
}

// Choke makes crowded boxes slower: when the mean of the requests held over a
// while is above cores + At x root of cores, until it has been mostly idle.
type Choke struct {
	At     float64
	Over   time.Duration
	Slower float64
	Rest   time.Duration
	Most   time.Duration
}

// Step changes the traffic or the fleet at a time.
type Step struct {
	At     time.Duration
	Rate   float64 // times the usual traffic from now on; 0: as before
	Boxes  func(i int, site int) bool
	Slower float64 // these boxes; 0: as before
	Down   bool    // these boxes' processes end ...
	Up     bool    // ... or start again, cold
	Turns  bool    // these boxes turn all away ...
	Takes  bool    // ... or no longer
	Errs   bool    // these boxes fail fast
	Stuck  bool    // these boxes get no answer from the tier below
	Nodes  func(i int) bool
	Dies   bool // these nodes
	Lives  bool
	// Replace takes these boxes out: each drains, and one of its kind starts cold in its place under an id of its own.
	Replace bool
	Cut     func(a, b int) bool // sites that no longer reach each other, in either order; to heal, none
	Mute    *float64            // part of the answers that are lost from now on ...
	Resets  *float64            // ... and of those whose connection is reset under the request
}

// Config describes a run.
type Config struct {
	Seed      uint64
	Nodes     int // before the first tier
	Sites     int
	Kinds     []Kind // of the first tier
	Below     []Kind // of the second; empty: there is none
	Calls     int    // of each request to the second tier
	Classes   []Class
	Rate      float64 // first tries a second at all nodes
	Length    time.Duration
	Steps     []Step
	Retries   int           // of a caller
	Backoff   time.Duration // before a retry without advice
	Advice    time.Duration // the longest Retry-After; 0: none
	InStep    bool          // retries come in step, without jitter
	ListDelay time.Duration
	ListLines float64       // lines a second that discovery sends to all nodes of a tier; 0: any number
	DrainFor  time.Duration // a replaced box ends so long after the list has it draining
	Churn     float64       // boxes a second, as a share of all, that are replaced
	Choke     *Choke
	ColdFrom  float64
	ColdFor   time.Duration
	Hop       time.Duration // one way within a site
	Cross     time.Duration // one way between sites
	Room      decide.LimitMode
	Copies    bool
	JudgeOne  int // one request in so many is judged; 0: all
	Past      *Past
	Pool      *Pool   // nil: each node goes by its own part of a cold box's budget
	Handshake float64 // price of a new connection, as the module is told
	TellNodes int     // how many nodes the module is told of; 0: all; below 0: none
}

// Default is a small fleet in the likeness of the service, at a load of one half.
func Default() Config {
	c := Config{
		Seed: 1, Nodes: 4, Sites: 2, Kinds: []Kind{{Count: 12, Cores: 2, Speed: 1}},
		Classes: []Class{
			{Class: decide.Class{LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second, Worth: 12}, Share: 0.16, Work: 100 * time.Millisecond, Spread: 0.8},
			{Class: decide.Class{LatencyTarget: time.Second, Deadline: 2500 * time.Millisecond, Worth: 1}, Share: 0.84, Work: 100 * time.Millisecond, Spread: 0.8},
		},
		Length: 20 * time.Second, Retries: 1, Backoff: 200 * time.Millisecond, ListDelay: 2 * time.Second,
		ColdFrom: 0.4, ColdFor: 5 * time.Second, Hop: 200 * time.Microsecond, Cross: 5 * time.Millisecond,
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
		heavy := 1 + x.HeavyShare*(x.HeavyTimes-1)
		work += x.Share * x.Work.Seconds() * heavy
		share += x.Share
	}
	return time.Duration(work / share * float64(time.Second))
}

// ClassResult counts the requests of a class.
type ClassResult struct {
	Asked, Served, Late, Refused, Failed int
	Wrong                                int // refusals of tries that an average box would have answered within the aim
	Tries                                int
	sum                                  time.Duration
}

// Result is what came of a run.
type Result struct {
	Classes     []ClassResult
	Attempts    int
	Events      int
	Service     float64 // worth served within the aim, of the worth asked for
	WrongShare  float64 // wrong refusals, of all tries
	LateShare   float64
	Sent        []int // attempts at each box of the first tier, in the end's order
	Capacity    []float64
	Connections float64   // pairs of a node and a box it sent to, a box
	Busiest     float64   // attempts at the busiest box of a second, to the mean of that second; mean over seconds
	Sites       []float64 // Service of the requests that came in at each site
	Misses      int       // attempts at addresses of an old list where no box is any more
	Strangers   int       // of these, where something else answered ...
	Unsafe      int       // ... an unsafe request
	Breaches    []string
	Handshakes  int           // attempts for which a node had no idle connection to the box
	Crowded     float64       // the most work sent to a cold box in a window, to what the rule lets all nodes send; see tooMuch
	ColdWindow  float64       // the same in requests of mean work, to N + 2 x root(N) + 2, N being what the rule lets all nodes send
	Fallen      int           // cold boxes that were sent too much
	Claims      int           // of pooled budgets
	Dealt       int           // sends dealt out of them
	ToCold      int           // attempts at cold boxes
	TookAll     time.Duration // virtual time from the first to the last answer
}

// Mean is the mean response time of what a class was served.
func (r *ClassResult) Mean() time.Duration {
	if n := r.Served + r.Late; n > 0 {
		return r.sum / time.Duration(n)
	}
	return 0
}
