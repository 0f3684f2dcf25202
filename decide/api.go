// Package decide makes the decisions of a load balancer for services that call
// services: whom to admit, which server to ask, when to try again.
//
// A node creates one Balancer, hands it every event with the present time, and
// carries out the actions it gets back. The package does no I/O, reads no
// clock and starts no goroutine.
package decide

import "time"

// Effect says whether a request may run more than once.
type Idempotency int

// The three effects.
const (
	Idempotent Idempotency = iota // safe to repeat
	Keyed                         // repeats are dropped inside a group of servers, for a time
	AtMostOnce                    // must never run twice
)

// Group is the set of servers that drop repeats of a keyed request.
type Group int

// The three groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	LatencyTarget time.Duration // an answer within it earns the full worth
	TargetPerWork float64       // the aim grows by this multiple of the request's own work
	Deadline      time.Duration // the client's wait over all of its tries
	Worth         float64
	LateWorth     float64 // part of the worth left after the aim
	Idempotency   Idempotency
	Group         Group         // Keyed: who drops repeats
	KeyTTL        time.Duration // Keyed: for how long, from the first send that may have run
}

// Weights says what a Server's Weight holds.
type WeightSource int

// The kinds of weight.
const (
	WeightNone        WeightSource = iota // always 1
	WeightNominal                         // the registered size
	WeightApproximate                     // the size, give or take
	WeightLive                            // the size divided by 1 + calls held a core, some time ago
)

// Tenant is one of those who share the service.
type Tenant struct {
	Quota float64 // requests a second over all nodes within its share; 0: not told
	Share float64 // part of the service
}

// Prices are taken off the result, each times its share or rate.
type Penalties struct {
	CrossZone   float64 // attempts that cross zones, a first try
	Handshake   float64 // new connections, a first try
	Probe       float64 // probes, a first try
	Waste       float64 // work that served no answer, as a part of all work offered
	LateFailure float64 // worth that ended unserved after its aim
}

// Goal weighs the parts of the result.
type Objective struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
	Nines                                         float64 // tenfold steps of the worth not served ...
	FullNines                                     float64 // ... and how many of them earn it in full
}

// Settings are the facts a node is told at its start; what is absent is zero. Settings that make no sense do
// not panic and break no rule: less than one node counts as one, a negative wait as none, and without a class
// every request fails.
type Settings struct {
	Node, Nodes        int // this node's number among the nodes of its tier
	Tier, Tiers        int // tier 0: front proxy
	Zone               string
	Zones              int
	Classes            []Class
	Tenants            []Tenant
	OverShareWorth     float64 // worth of a request over its tenant's share
	ByWork             bool    // worth is counted by work, not by request
	WeightSource       WeightSource
	MustSubscribe      bool // the list of servers comes only when asked for
	ResubscribeWithin  time.Duration
	DrainGrace         time.Duration // sends to a draining server must have ended after this
	ColdCapacity       float64       // a started server has at least this part of its capacity
	WarmupTime         time.Duration
	CollapseMultiple   float64 // sent this multiple of its present capacity ...
	CollapseWindow     time.Duration
	AnswerGrace        time.Duration // a final answer still counts this long after the deadline
	MinEventInterval   time.Duration // events come no closer together
	MarksRetries       bool          // clients mark their repeats
	PropagatesDeadline bool          // a call to the next tier carries the time that its caller has left
	Penalties          Penalties
	Objective          Objective
	MaxAttempts        int
	MaxOpenRequests    int // requests that a node can have open; 0: not told
	MaxRetryAfter      time.Duration
	ConnIdleTimeout    time.Duration // idle connections are closed after this
	ConnectTimeout     time.Duration
	StreamsPerConn     int // attempts that one connection carries at once
	MayCancel          bool
	MayProbe           bool
	MayHedge           bool
	MayAdviseRetry     bool // refusals may carry a retry-after
	LimitMode          LimitMode
}

// RoomRule says how the module finds out what a server holds without a crowd. Nodes leave it at RoomLearned; the
// others are controls for comparison.
type LimitMode int

// The rules.
const (
	LimitLearned LimitMode = iota // by the least response time, and cores learned from below
	LimitFixed                    // a number of calls a tier
	LimitNone                     // no bound: the response time alone decides
)

// Change says how a list of servers relates to the one before.
type ListKind int

// The kinds of list.
const (
	ListDiff     ListKind = iota // changed entries only
	ListFull                     // complete: what is missing is gone
	ListStored                   // complete, as the node last held it; perhaps old
	ListFailed                   // a call for the list failed, or the watch was lost
	ListRestored                 // changed entries only, of what the node had: no word of discovery's
)

// Health is a server's state in the list.
type Health int

// The states.
const (
	Healthy Health = iota
	Draining
	Removed
)

// Server is one entry of the list of servers.
type Server struct {
	ID         string
	Zone       string
	Cell       int
	Health     Health
	Weight     float64       // relative size; 0 counts as 1
	Started    time.Duration // the time of its start; 0: long ago
	Unverified bool          // of an old list: something else may answer at its address, so nothing unsafe is sent there
}

// Members brings word of the servers.
type ListUpdate struct {
	Kind      ListKind
	Servers   []Server
	FleetSize int     // servers that there are likely to be, if this is a part of an old list; 0: those listed
	PriorRate float64 // answers a second that each server gave each node in the last life, if all shared it; 0: not known

	AsOf           time.Duration // discovery had nothing newer then, and tells what changes; 0: not told
	ConfirmedUntil time.Duration // from then on a change that this node lacks may count as told; 0: not told, or never
}

// Outcomes is a set of results of attempts, one bit each.
type ResultSet uint16

// Bit is the set of this result alone.
func (r Result) Bit() ResultSet { return 1 << r }

// Bounds are the operators' timing rules for a part of the traffic. They only narrow what the settings and the
// four rules allow; what is zero stays as it is without them. A request keeps those that it arrived under.
type RoutePolicy struct {
	AttemptTimeout time.Duration // an attempt is given up after this; 0: when the request's time is up
	MaxAttempts    int           // at most, the first one and second copies included; 0: Settings.MaxTries
	BackoffInitial time.Duration // wait before the second attempt, doubled for each further one ...
	BackoffMax     time.Duration // ... up to this; 0: no bound
	BackoffJitter  float64       // up to this part of a wait is taken off at random, 0 to 1
	RetryOn        ResultSet     // what another attempt may follow; 0: any
	HedgeAfter     time.Duration // a second copy goes out this long after the first; 0: none
	DeadlineCap    time.Duration // the request is given up this long after it came; 0: at its own time
	MaxRetryAfter  time.Duration // the longest advice in refusals; 0: Settings.MaxRetryAfter
}

// Request is a call that this node must now answer once.
type Request struct {
	ID      uint64
	Class   int           // index into Settings.Classes
	Route   int           // 1 + index into the bounds that Routes took last; 0: none apply
	Tenant  int           // index into Settings.Tenants; -1: none
	TTL     time.Duration // what is left until the caller gives up
	Work    time.Duration // expected work; 0: unknown
	IsRetry bool          // known to be a client's retry

	// A budget that the request shares with the tiers below. Extra is how many attempts beyond the first are left
	// of it; what they spend comes back in Outcome.Spent.
	Budgeted      bool
	ExtraAttempts int
}

// Result is how an attempt ended.
type Result int

// The results; Full, Unconnected and NotSent prove that nothing ran.
const (
	Served Result = iota
	Errored
	Rejected       // rejected unseen
	TimedOut       // no answer in time
	ConnectFailed  // no connection
	ConnectionLost // connection lost while waiting
	Cancelled
	NotSent
	Malformed // an answer that is none; it came, so neither server nor connection was dead
)

// String names the result, as logs have it.
func (r Result) String() string {
	names := [...]string{
		"served", "error", "turned away", "timed out", "unconnected", "broken", "cancelled", "not sent", "spoilt",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Outcome ends one attempt.
type Outcome struct {
	Request    uint64
	Attempt    int
	Server     string
	Result     Result
	Elapsed    time.Duration // since the send
	ConnAge    time.Duration // of the connection on which an answer came; 0: not told
	DialTime   time.Duration // of the time since the send, until a new connection was there, if an answer came on one
	Final      bool          // the request is finished
	ConnClosed bool          // its connection is of no further use
	Spent      int           // further attempts that were made below for this one, of the request's budget
}

// Probed ends one probe.
type ProbeResult struct {
	Server  string
	Result  Result
	Elapsed time.Duration
}

// Timer is a due After.
type Timer struct{ Token uint64 }

// Gone says that a request's client has left.
type Disconnect struct{ Request uint64 }

// Kind names an action.
type ActionKind int

// The actions and the fields of Action that each uses.
const (
	Send        ActionKind = iota // Request, Server, Wait (time-out of the attempt)
	Refuse                        // Request, Wait (retry-after; 0: no advice), Reason
	Fail                          // Request, Reason
	Cancel                        // Request, Attempt
	Probe                         // Server
	WatchList                     // ask for changes of the list from now on
	UnwatchList                   // ask for no more changes
	CloseIdle                     // Server: close the idle connections to it
	FetchList                     // ask for the whole list once
	StartTimer                    // Token, Wait
	Log                           // Text
)

// Reason says why a request is refused or failed.
type Reason int

// The reasons.
const (
	NoReason            Reason = iota
	Overloaded                 // admission: response times or the calls here are too high for its worth
	NoServer                   // no server could take it for as long as it could wait
	DeadlineExceeded           // its time is up
	OutOfAttempts              // it has had as many attempts as it may
	OutOfRetryBudget           // the node makes too many retries
	MayHaveRun                 // it must not run twice, and an attempt may have run
	KeyExpired                 // servers may have forgotten its key, and an attempt may have run
	RouteDisallowsRetry        // the operators' rule wants no attempt after such an outcome
	UnknownClass               // the settings have no such class
)

// String names the reason, as logs have it.
func (r Reason) String() string {
	names := [...]string{
		"none", "crowded", "no server", "out of time", "out of attempts", "out of retry budget", "may have run",
		"key forgotten", "route forbids", "unknown class",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Action is something the node must do.
type Action struct {
	Kind       ActionKind
	Request    uint64
	Attempt    int
	Server     string
	Wait       time.Duration
	SendWithin time.Duration // Send: its last byte leaves within this, or it is not sent; 0: whenever
	Token      uint64
	Text       string
	Reason     Reason // Refuse, Fail
}

// Cold is a cold server of this node's subset, for nodes that pool what they may send to it.
type ColdServer struct {
	Server       string
	Zone         string
	Started      time.Duration
	SendRate     float64 // sends a second that are this node's part of the budget, as it may be used by whole sends
	MeanSendRate float64 // sends a second that it makes to a server on average; 0 of one that it turns to where no near one may
	GrantsUsed   int     // of what was dealt since the server started, sent
	GrantsHeld   int     // of that, still there
	Answered     int     // requests that it has served this node since it started
	Starved      bool    // it was passed over for want of one, since it was last looked at
}

// Deal is what the nodes have settled for a cold server.
type Grant struct {
	Server     string
	Started    time.Duration // of its life; another's is void
	LentUntil  time.Duration // until then this node's own part is lent to the pool, and only what is dealt is sent
	Sends      int           // dealt with this word ...
	ValidUntil time.Duration // ... and good until then
}
