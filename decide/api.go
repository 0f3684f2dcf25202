// Package decide makes the decisions of a load balancer for services that call other services: which
// requests to admit, which server gets an attempt, and when to retry.
//
// A node creates one Balancer, passes it every event together with the current time, and carries out the
// actions that it returns. The package does no I/O, reads no clock and starts no goroutines.
package decide

import "time"

// Idempotency says whether a request may run more than once.
type Idempotency int

// Kinds of idempotency.
const (
	Idempotent Idempotency = iota // safe to repeat
	Keyed                         // servers of a group drop repeats by key, for a limited time
	AtMostOnce                    // must never run twice
)

// Group is the set of servers that drop repeats of a keyed request.
type Group int

// Scopes of deduplication: all servers, the servers of one zone, or those of one cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	LatencyTarget time.Duration // a response within it earns the full worth
	TargetPerWork float64       // the target grows by this multiple of the request's expected work
	Deadline      time.Duration // how long the client waits over all of its attempts
	Worth         float64
	LateWorth     float64 // fraction of the worth that is left after the latency target
	Idempotency   Idempotency
	Group         Group         // Keyed: the servers that drop repeats
	KeyTTL        time.Duration // Keyed: validity of a key, from the first attempt that may have run
}

// WeightSource says what Server.Weight contains.
type WeightSource int

// Sources of server weights.
const (
	WeightNone        WeightSource = iota // always 1
	WeightNominal                         // the registered size
	WeightApproximate                     // roughly the size
	WeightLive                            // size / (1 + open calls per core), as of some time ago
)

// Tenant is one of the customers that share the service.
type Tenant struct {
	Quota float64 // requests per second over all nodes that are within its share; 0: unknown
	Share float64 // fraction of the service
}

// Penalties are subtracted from the score, each multiplied by its share or rate.
type Penalties struct {
	CrossZone   float64 // cross-zone attempts per first attempt
	Handshake   float64 // new connections per first attempt
	Probe       float64 // probes per first attempt
	Waste       float64 // work that produced no response, as a fraction of all work offered
	LateFailure float64 // worth of requests that failed after their latency target
}

// Objective weighs the parts of the score.
type Objective struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
	Nines                                         float64 // decimal orders of magnitude of unserved worth ...
	FullNines                                     float64 // ... and how many of them earn the full score
}

// Settings are the facts that a node is given at its start; unknown ones are zero. Invalid settings neither
// panic nor break a safety rule: a node count below one counts as one, a negative wait as none, and without
// classes every request fails.
type Settings struct {
	Node, Nodes        int // this node's number among the nodes of its tier
	Tier, Tiers        int // tier 0: front proxy
	Zone               string
	Zones              int
	Classes            []Class
	Tenants            []Tenant
	OverShareWorth     float64 // worth of a request beyond its tenant's share
	ByWork             bool    // worth is counted by work instead of by request
	WeightSource       WeightSource
	MustSubscribe      bool          // discovery sends the server list only to subscribers
	ResubscribeWithin  time.Duration // without a watch, the longest time between two calls for the list
	DrainGrace         time.Duration // attempts on a draining server must have ended after this
	ColdCapacity       float64       // minimum fraction of its capacity that a newly started server has
	WarmupTime         time.Duration
	CollapseMultiple   float64       // a server fails if it is sent this multiple of its current capacity ...
	CollapseWindow     time.Duration // ... within this time
	AnswerGrace        time.Duration // a final response still counts this long after the deadline
	MinEventInterval   time.Duration // events arrive no closer together
	MarksRetries       bool          // clients mark their retries
	PropagatesDeadline bool          // a call to the next tier carries the remaining time of its client
	Penalties          Penalties
	Objective          Objective
	MaxAttempts        int
	MaxOpenRequests    int // requests that a node can hold open; 0: unknown
	MaxRetryAfter      time.Duration
	ConnIdleTimeout    time.Duration // connections idle for longer are closed
	ConnSettleTime     time.Duration // connections are not reused sooner after a response; 0: at once
	ConnectTimeout     time.Duration
	StreamsPerConn     int // concurrent attempts per connection
	MayCancel          bool
	MayProbe           bool
	MayHedge           bool
	MayAdviseRetry     bool // refusals may carry a retry-after
	LimitMode          LimitMode
}

// LimitMode selects how the concurrency limit of a server is determined. Nodes use LimitLearned; the other
// modes are baselines for comparison.
type LimitMode int

// Modes of the concurrency limit.
const (
	LimitLearned LimitMode = iota // from the minimum response time and an estimate of the server's cores
	LimitFixed                    // a fixed number of calls for each tier
	LimitNone                     // no limit: admission depends on response times alone
)

// ListKind says how a list of servers relates to the previous one.
type ListKind int

// Kinds of list updates.
const (
	ListDiff   ListKind = iota // changed entries only
	ListFull                   // complete: servers that are missing from it are removed
	ListStored                 // complete, as this node last stored it; possibly outdated
	ListFailed                 // a call for the list failed, or the watch was lost
	ListLocal                  // changed entries or none, determined by this node itself
)

// Health is a server's state in the list.
type Health int

// States of a server.
const (
	Healthy Health = iota
	Draining
	Removed
)

// Server is one entry of the server list.
type Server struct {
	ID      string
	Zone    string
	Cell    int
	Health  Health
	Weight  float64       // relative size; 0 counts as 1
	Started time.Duration // start time of its process; 0: long ago
	// Unverified marks an entry of a stored list at whose address another process may answer, so that
	// requests that must not run twice are not sent there.
	Unverified bool
	// ZoneUnknown and CellUnknown mark a server at whose address a process of another zone or cell may
	// answer, so that it is unknown which servers drop repeats of what is sent there.
	ZoneUnknown, CellUnknown bool
}

// ListUpdate carries a new list of servers or changes to it.
type ListUpdate struct {
	Kind      ListKind
	Servers   []Server
	FleetSize int // estimated number of servers if the list is part of a stored one; 0: those listed
	// PriorRate is the number of responses per second that each server gave each node before this node's
	// restart, if all nodes shared it evenly; 0: unknown.
	PriorRate float64

	AsOf time.Duration // discovery had nothing newer at this time and reports changes; 0: unknown
	// ConfirmedUntil is the time from which changes that this node has not received may count as announced
	// to it; 0: unknown or never.
	ConfirmedUntil time.Duration
}

// ResultSet is a set of attempt results, one bit each.
type ResultSet uint16

// Bit returns the set that contains only this result.
func (r Result) Bit() ResultSet { return 1 << r }

// RoutePolicy holds the operators' timing rules for some of the traffic. A policy only narrows what the
// settings and the safety rules allow; zero fields change nothing. A request keeps the policy under which
// it arrived.
type RoutePolicy struct {
	AttemptTimeout time.Duration // time-out of an attempt; 0: the request's remaining time
	MaxAttempts    int           // including the first attempt and hedged ones; 0: Settings.MaxAttempts
	BackoffInitial time.Duration // wait before the second attempt, doubled for each further one ...
	BackoffMax     time.Duration // ... up to this; 0: unbounded
	BackoffJitter  float64       // up to this fraction of a wait, 0 to 1, is subtracted at random
	RetryOn        ResultSet     // results that may be retried; 0: any
	HedgeAfter     time.Duration // a hedged attempt starts this long after the first; 0: never
	DeadlineCap    time.Duration // a request is given up this long after its arrival; 0: at its deadline
	MaxRetryAfter  time.Duration // longest retry-after of a refusal; 0: Settings.MaxRetryAfter
}

// Request is a call that this node must answer exactly once.
type Request struct {
	ID      uint64
	Class   int           // index into Settings.Classes
	Route   int           // 1 + index into the policies of the last SetRoutePolicies; 0: no policy
	Tenant  int           // index into Settings.Tenants; -1: none
	TTL     time.Duration // time until the client gives up
	Work    time.Duration // expected work; 0: unknown
	IsRetry bool          // marked as a client's retry

	// A request with a budget shares it with the tiers below. ExtraAttempts is the number of attempts
	// beyond the first that are left of it; Outcome.Spent reports what the tiers below used.
	Budgeted      bool
	ExtraAttempts int
}

// Result is how an attempt ended.
type Result int

// Results of attempts. Rejected, ConnectFailed and NotSent prove that the request did not run.
const (
	Served Result = iota
	Errored
	Rejected       // refused by the server before processing
	TimedOut       // no response in time
	ConnectFailed  // no connection could be made
	ConnectionLost // the connection broke before a response
	Cancelled
	NotSent
	Malformed // invalid response; neither the server nor the connection was dead
)

// String returns the result as written in logs.
func (r Result) String() string {
	names := [...]string{
		"served", "error", "turned away", "timed out", "unconnected", "broken", "cancelled", "not sent",
		"spoilt",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Outcome reports the end of one attempt.
type Outcome struct {
	Request uint64
	Attempt int
	Server  string
	Result  Result
	Elapsed time.Duration // since the attempt was sent
	ConnAge time.Duration // age of the connection that carried the response; 0: unknown
	// DialTime is the part of Elapsed until a new connection was established, if a response came on one.
	DialTime    time.Duration
	ConnRefused bool // with ConnectFailed: nobody listened at the server's address
	Final       bool // the request is finished
	ConnClosed  bool // the connection can't be used again
	Spent       int  // extra attempts of the request's budget that the tiers below made for this one
}

// ProbeResult reports the end of one probe.
type ProbeResult struct {
	Server  string
	Result  Result
	Elapsed time.Duration
}

// Timer reports that a timer of StartTimer has fired.
type Timer struct{ Token uint64 }

// Disconnect reports that a request's client has left.
type Disconnect struct{ Request uint64 }

// ActionKind is the type of an Action.
type ActionKind int

// Kinds of actions, with the fields of Action that each uses.
const (
	Send        ActionKind = iota // Request, Server, Wait (time-out of the attempt), SendWithin
	Refuse                        // Request, Wait (retry-after; 0: none), Reason
	Fail                          // Request, Reason
	Cancel                        // Request, Attempt
	Probe                         // Server
	WatchList                     // subscribe to changes of the server list
	UnwatchList                   // end the subscription
	CloseIdle                     // Server: close the idle connections to it
	FetchList                     // fetch the whole list once
	StartTimer                    // Token, Wait
	Log                           // Text
)

// Reason says why a request is refused or failed.
type Reason int

// Reasons for refusing or failing a request.
const (
	NoReason            Reason = iota
	Overloaded                 // admission: response times or open calls are too high for the request's worth
	NoServer                   // no server was available for as long as the request could wait
	DeadlineExceeded           // its time is up
	OutOfAttempts              // it has used all attempts that it may have
	OutOfRetryBudget           // this node makes too many retries
	MayHaveRun                 // it must not run twice, and an attempt may have run
	KeyExpired                 // servers may have dropped its key, and an attempt may have run
	RouteDisallowsRetry        // the route's policy allows no retry after this result
	UnknownClass               // no such class in the settings
)

// String returns the reason as written in logs.
func (r Reason) String() string {
	names := [...]string{
		"none", "crowded", "no server", "out of time", "out of attempts", "out of retry budget",
		"may have run", "key forgotten", "route forbids", "unknown class",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Action is something that the node must do.
type Action struct {
	Kind       ActionKind
	Request    uint64
	Attempt    int
	Server     string
	Wait       time.Duration
	SendWithin time.Duration // Send: the last byte must leave within this, or it is not sent; 0: no limit
	Token      uint64
	Text       string
	Reason     Reason // Refuse, Fail
}

// ColdServer describes a cold server of this node's subset, for nodes that pool their send budgets for it.
type ColdServer struct {
	Server   string
	Zone     string
	Started  time.Duration
	SendRate float64 // this node's share of the send budget, in sends per second; spent in whole sends
	// MeanSendRate is the average number of sends per second that this node makes to a server; 0 if the
	// node uses this server only when no server of its own zone is available.
	MeanSendRate float64
	GrantsUsed   int  // granted sends used since the server started
	GrantsHeld   int  // granted sends that are left
	Answered     int  // requests that it has served for this node since it started
	Starved      bool // skipped for lack of a grant since the last call of ColdServers
}

// Grant is what the nodes have agreed on for a cold server.
type Grant struct {
	Server  string
	Started time.Duration // start time of the process that it applies to; void for any other
	// Until LentUntil this node's own share is lent to the pool, and only granted sends are made.
	LentUntil  time.Duration
	Sends      int           // granted sends ...
	ValidUntil time.Duration // ... and until when they can be used
}
