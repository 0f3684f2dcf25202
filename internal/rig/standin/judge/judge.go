package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency int

// Whether a request may run more than once: always, only under the same key, or never.
const (
	Idempotent Idempotency = iota
	Keyed
	AtMostOnce
)

// Group says which servers drop the repeats of a keyed request.
type Group int

// The servers that share their record of keys: all of them, those of a site, or those of a rack.
const (
	GroupAll Group = iota
	GroupSite
	GroupRack
)

// Class holds the properties of a class of requests that the rules need.
type Class struct {
	Name        string
	Idempotency Idempotency
	Group       Group
	KeyTTL      time.Duration // Keyed: how long servers drop repeats
}

// Rules holds the limits that the judge checks.
type Rules struct {
	Classes      []Class
	MaxAttempts  int
	AllowHedging bool          // two attempts may overlap if the class is idempotent
	DrainGrace   time.Duration // no new attempts at a server later than this after the node was notified
	Tolerance    time.Duration // added to each time limit
}

// Location is where a server runs, for Group.
type Location struct {
	Site string
	Rack int
}

// AttemptOutcome is how an attempt ended at its server.
type AttemptOutcome int

// Outcomes of an attempt.
const (
	InProgress    AttemptOutcome = iota // not ended yet
	Succeeded                           // answered 200
	Rejected                            // answered that it was not executed
	Errored                             // answered with an error
	ConnectionCut                       // the server or its machine closed the connection
	Abandoned                           // the node closed the connection
	Malformed                           // answered with something that cannot be parsed
)

func (h AttemptOutcome) String() string {
	return [...]string{"still open", "answered", "turned away", "erred", "cut", "given up", "spoilt"}[h]
}

// RequestOutcome is the final answer that a client received.
type RequestOutcome int

// Outcomes of a request.
const (
	Unanswered RequestOutcome = iota
	Served
	Refused
	Failed
	ConnectionLost // the connection ended without a complete answer
	ClientLeft     // the client closed the connection
)

func (outcome RequestOutcome) String() string {
	return [...]string{"no answer", "served", "refused", "failed", "lost", "left by its caller"}[outcome]
}

// State is the state of a server in discovery's list.
type State int

// States of a server.
const (
	Serving State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Breach is a violation of a rule.
type Breach struct {
	Rule    int // 1 to 4
	What    string
	Request string // request ID; "": none
	At      time.Duration
	History []string // events of the request, in order
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %v: %s [%s]", b.Rule, b.At.Round(time.Millisecond), b.What, b.Request)
}

type attempt struct {
	server    string
	arrivedAt time.Duration // of its last byte
	key       string
	endedAt   time.Duration
	outcome   AttemptOutcome
	effects   int // 1: it was executed; dropped repeats have none
	ranAt     time.Duration
}

type request struct {
	id         string
	class      int
	node       string
	sentAt     time.Duration
	timeout    time.Duration
	outcome    RequestOutcome
	endedAt    time.Duration
	answeredBy string // server named in the body of the answer
	attempts   []attempt
}

type delay struct{ at, length time.Duration }

// Judge records observations and checks them against the rules.
type Judge struct {
	rules Rules

	mu            sync.Mutex
	requests      map[string]*request
	locations     map[string]Location
	notifications map[string]map[string][]notification // by node, by server
	kills         map[string][]time.Duration
	pauses        map[string][][2]time.Duration // intervals in which a node's process was suspended
	collapses     []Breach
	unexpected    []Breach
	delays        []delay
}

// New returns a judge without records.
func New(r Rules) *Judge {
	return &Judge{
		rules: r, requests: map[string]*request{}, locations: map[string]Location{},
		notifications: map[string]map[string][]notification{},
		kills:         map[string][]time.Duration{}, pauses: map[string][][2]time.Duration{},
	}
}

// AddServer records the location of a server. It must be called before the server's first request.
func (j *Judge) AddServer(id string, location Location) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.locations[id] = location
}

// RequestSent records that a client has written the last byte of a request to a node, and how long it will
// wait.
func (j *Judge) RequestSent(at time.Duration, id string, class int, node string, timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{id: id, class: class, node: node, sentAt: at, timeout: timeout}
}

// RequestNotSent records that a request never reached a node. No rule applies to it.
func (j *Judge) RequestNotSent(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil && len(r.attempts) == 0 {
		delete(j.requests, id)
	}
}

// ReachedServer reports whether a request has arrived at any server.
func (j *Judge) ReachedServer(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	return r != nil && len(r.attempts) > 0
}

// RequestEnded records how a request ended for its client. If it was served, answeredBy is the server named
// in the body.
func (j *Judge) RequestEnded(at time.Duration, id string, outcome RequestOutcome, answeredBy string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	switch {
	case r == nil:
		j.unexpected = append(j.unexpected, Breach{Rule: 1, What: "an answer to what nobody asked", Request: id, At: at})
	case r.outcome != Unanswered:
		j.unexpected = append(j.unexpected, Breach{Rule: 1, What: fmt.Sprintf("a second final answer: %v after %v", outcome, r.outcome),
			Request: id, At: at, History: r.history()})
	default:
		r.outcome, r.endedAt, r.answeredBy = outcome, at, answeredBy
	}
}

// AttemptArrived records that the last byte of an attempt has arrived at a server. It returns the attempt's
// index for AttemptExecuted and AttemptEnded.
func (j *Judge) AttemptArrived(at time.Duration, id, server, key string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		j.unexpected = append(j.unexpected, Breach{Rule: 1, What: "box " + server + " got what nobody asked", Request: id, At: at})
		return -1
	}
	r.attempts = append(r.attempts, attempt{server: server, arrivedAt: at, key: key})
	return len(r.attempts) - 1
}

// AttemptExecuted records that an attempt was executed. A dropped repeat is not.
func (j *Judge) AttemptExecuted(at time.Duration, id string, index int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a := j.attempt(id, index); a != nil {
		a.effects++
		a.ranAt = at
	}
}

// AttemptEnded records how an attempt ended.
func (j *Judge) AttemptEnded(at time.Duration, id string, index int, outcome AttemptOutcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a := j.attempt(id, index); a != nil && a.outcome == InProgress {
		a.endedAt, a.outcome = at, outcome
	}
}

func (j *Judge) attempt(id string, index int) *attempt {
	if r := j.requests[id]; r != nil && index >= 0 && index < len(r.attempts) {
		return &r.attempts[index]
	}
	return nil
}

// NodeKilled records that a node was killed: clients must retry what it was handling. It restarts with the
// list it had, so earlier notifications still count.
func (j *Judge) NodeKilled(at time.Duration, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kills[node] = append(j.kills[node], at)
}

// NodePaused records that a node's process was suspended between two times. What it held then may be answered
// late or be abandoned by its client, but no attempt may be sent for it after its deadline.
func (j *Judge) NodePaused(from, to time.Duration, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pauses[node] = append(j.pauses[node], [2]time.Duration{from, to})
}

// ServerCollapsed records that a cold server received too much work and collapsed.
func (j *Judge) ServerCollapsed(at time.Duration, server, reason string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.collapses = append(j.collapses, Breach{Rule: 4, What: "cold box " + server + " fell over: " + reason, At: at})
}

// MachineDelayed records that this machine ran something due at a time late by length. Time limits near it
// are extended.
func (j *Judge) MachineDelayed(at, length time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delays = append(j.delays, delay{at, length})
}

// Verdict is the result of the check.
type Verdict struct {
	Requests        int
	Attempts        int
	MaxAttempts     int // highest number of attempts of a single request
	ByClass         []ClassCount
	Outcomes        map[RequestOutcome]int
	Breaches        []Breach
	Excused         int           // time limits missed by no more than the machine's own delay
	MaxMachineDelay time.Duration // longest delay passed to MachineDelayed
}

// ClassCount counts the requests of a class, including retries by clients, and their attempts.
type ClassCount struct{ Requests, Attempts int }

// Check checks all records against the rules. Nothing may be recorded after it: a request without an answer
// counts as unanswered.
func (j *Judge) Check(now time.Duration) Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := Verdict{Requests: len(j.requests), Outcomes: map[RequestOutcome]int{}, ByClass: make([]ClassCount, len(j.rules.Classes))}
	slices.SortFunc(j.delays, func(x, y delay) int { return cmp.Compare(x.at, y.at) })
	for _, d := range j.delays {
		v.MaxMachineDelay = max(v.MaxMachineDelay, d.length)
	}
	v.Breaches = append(v.Breaches, j.collapses...)
	v.Breaches = append(v.Breaches, j.unexpected...)
	c := &requestCheck{Judge: j, verdict: &v, now: now}
	for _, r := range j.requests {
		v.Attempts += len(r.attempts)
		v.ByClass[r.class].Requests++
		v.ByClass[r.class].Attempts += len(r.attempts)
		v.MaxAttempts = max(v.MaxAttempts, len(r.attempts))
		v.Outcomes[r.outcome]++
		c.request = r
		c.checkAnswer()
		c.checkAttempts()
		c.checkDrains()
	}
	slices.SortFunc(v.Breaches, func(x, y Breach) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Rule, y.Rule), cmp.Compare(x.Request, y.Request))
	})
	return v
}

// history describes the events of a request, one line each.
func (r *request) history() []string {
	type event struct {
		at   time.Duration
		text string
	}
	events := []event{{r.sentAt, fmt.Sprintf("asked of node %s, waits for %v", r.node, r.timeout)}}
	for i, a := range r.attempts {
		events = append(events, event{a.arrivedAt, fmt.Sprintf("attempt %d came to box %s", i, a.server)})
		if a.effects > 0 {
			events = append(events, event{a.ranAt, fmt.Sprintf("attempt %d had its effect", i)})
		}
		if a.outcome != InProgress {
			events = append(events, event{a.endedAt, fmt.Sprintf("attempt %d %v", i, a.outcome)})
		}
	}
	if r.outcome != Unanswered {
		events = append(events, event{r.endedAt, r.outcome.String()})
	}
	slices.SortStableFunc(events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	texts := make([]string, len(events))
	for i, e := range events {
		texts[i] = fmt.Sprintf("%9.1f ms  %s", float64(e.at-r.sentAt)/1e6, e.text)
	}
	return texts
}
