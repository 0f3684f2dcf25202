package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Effect says whether a request may run more than once.
type Idempotency int

// The three effects.
const (
	Idempotent Idempotency = iota
	Keyed
	AtMostOnce
)

// Group says which boxes drop the repeats of a keyed request.
type Group int

// The three groups.
const (
	GroupAll Group = iota
	GroupSite
	GroupRack
)

// Class is what the rules need of a class of requests.
type Class struct {
	Name        string
	Idempotency Idempotency
	Group       Group
	KeyTTL      time.Duration // Keyed: how long boxes drop repeats
}

// Rules are the figures that the rules go by.
type Rules struct {
	Classes      []Class
	MaxAttempts  int
	AllowHedging bool          // two attempts may be out at once, where the class is safe
	DrainGrace   time.Duration // nothing new to a box later than this after it was notified
	Tolerance    time.Duration // added to each time limit
}

// Place is where a box stands, for the groups.
type Location struct {
	Site string
	Rack int
}

// How says how an attempt ended at its box.
type AttemptOutcome int

// The ends of an attempt.
const (
	InProgress    AttemptOutcome = iota // it has not
	Succeeded                           // answered 200
	Rejected                            // answered that it never ran
	Errored                             // answered with an error
	ConnectionCut                       // the box or its machine ended the connection
	Abandoned                           // the node ended the connection
	Malformed                           // answered with what can't be read
)

func (h AttemptOutcome) String() string {
	return [...]string{"still open", "answered", "turned away", "erred", "cut", "given up", "spoilt"}[h]
}

// Ending is the final answer that a caller read.
type RequestOutcome int

// The endings.
const (
	Unanswered RequestOutcome = iota
	Served
	Refused
	Failed
	ConnectionLost // the connection ended without a whole answer
	ClientLeft     // the caller ended the connection itself
)

func (e RequestOutcome) String() string {
	return [...]string{"no answer", "served", "refused", "failed", "lost", "left by its caller"}[e]
}

// State is what discovery said of a box.
type State int

// The states.
const (
	Serving State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"serving", "draining", "gone"}[s] }

// Breach is a broken rule.
type Breach struct {
	Rule    int // 1 to 4
	What    string
	Request string // its id; "": none
	At      time.Duration
	History []string // of the request, in order
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %v: %s [%s]", b.Rule, b.At.Round(time.Millisecond), b.What, b.Request)
}

type attempt struct {
	server    string
	arrivedAt time.Duration // its last byte came
	key       string
	endedAt   time.Duration
	outcome   AttemptOutcome
	effects   int // 1: it had its effect; repeats that were dropped have none
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
	answeredBy string // the box that made the answer, as its body says
	attempts   []attempt
}

type delay struct{ at, length time.Duration }

// Judge is the ledger.
type Judge struct {
	rules Rules

	mu            sync.Mutex
	requests      map[string]*request
	locations     map[string]Location
	notifications map[string]map[string][]notification // by node, by box
	kills         map[string][]time.Duration
	starts        map[string][]time.Duration    // of processes that took the place of dead ones
	pauses        map[string][][2]time.Duration // when a node's process stood still
	collapses     []Breach
	unexpected    []Breach
	delays        []delay
}

// New returns an empty ledger.
func New(r Rules) *Judge {
	return &Judge{
		rules: r, requests: map[string]*request{}, locations: map[string]Location{},
		notifications: map[string]map[string][]notification{}, kills: map[string][]time.Duration{}, starts: map[string][]time.Duration{}, pauses: map[string][][2]time.Duration{},
	}
}

// Box says where a box stands; it must be told before the box's first request.
func (j *Judge) AddServer(id string, p Location) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.locations[id] = p
}

// Asked says that a caller has written the last byte of a request to a node, and
// how long it will wait.
func (j *Judge) RequestSent(at time.Duration, id string, class int, node string, wait time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{id: id, class: class, node: node, sentAt: at, timeout: wait}
}

// Untaken says that a request never reached a node: it is owed nothing.
func (j *Judge) RequestNotSent(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.requests[id]; r != nil && len(r.attempts) == 0 {
		delete(j.requests, id)
	}
}

// Reached tells whether a request has come to any box.
func (j *Judge) ReachedServer(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	return r != nil && len(r.attempts) > 0
}

// Answered says how a request ended for its caller. Of one that was served,
// maker is the box that the body names.
func (j *Judge) RequestEnded(at time.Duration, id string, e RequestOutcome, maker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	switch {
	case r == nil:
		j.unexpected = append(j.unexpected, Breach{Rule: 1, What: "an answer to what nobody asked", Request: id, At: at})
	case r.outcome != Unanswered:
		j.unexpected = append(j.unexpected, Breach{Rule: 1, What: fmt.Sprintf("a second final answer: %v after %v", e, r.outcome),
			Request: id, At: at, History: r.history()})
	default:
		r.outcome, r.endedAt, r.answeredBy = e, at, maker
	}
}

// Arrived says that the last byte of an attempt has come to a box, and returns
// its number for Ran and Ended.
func (j *Judge) AttemptArrived(at time.Duration, id, box, key string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.requests[id]
	if r == nil {
		j.unexpected = append(j.unexpected, Breach{Rule: 1, What: "box " + box + " got what nobody asked", Request: id, At: at})
		return -1
	}
	r.attempts = append(r.attempts, attempt{server: box, arrivedAt: at, key: key})
	return len(r.attempts) - 1
}

// Ran says that an attempt had its effect. A repeat that was dropped has none.
func (j *Judge) AttemptExecuted(at time.Duration, id string, number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a := j.attempt(id, number); a != nil {
		a.effects++
		a.ranAt = at
	}
}

// Ended says that an attempt is no longer out.
func (j *Judge) AttemptEnded(at time.Duration, id string, number int, how AttemptOutcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if a := j.attempt(id, number); a != nil && a.outcome == InProgress {
		a.endedAt, a.outcome = at, how
	}
}

func (j *Judge) attempt(id string, number int) *attempt {
	if r := j.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		return &r.attempts[number]
	}
	return nil
}

// Died says that a node was killed: what it held is its callers' to ask again.
// It starts again with what it was told before, so what it was notified of goes on counting.
func (j *Judge) NodeKilled(at time.Duration, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kills[node] = append(j.kills[node], at)
}

// Started says that a node that had died runs again.
func (j *Judge) NodeStarted(at time.Duration, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts[node] = append(j.starts[node], at)
}

// Stood says that a node's process stood still from one time to another: what it held then may be answered late, or
// be given up by its caller, but nothing is sent for it after its time.
func (j *Judge) NodePaused(from, to time.Duration, node string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.pauses[node] = append(j.pauses[node], [2]time.Duration{from, to})
}

// Fell says that a cold box was sent too much and fell over.
func (j *Judge) ServerCollapsed(at time.Duration, box, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.collapses = append(j.collapses, Breach{Rule: 4, What: "cold box " + box + " fell over: " + why, At: at})
}

// Lag says that this machine was late by so long: whoever should have run at this
// time ran later. Time limits near it are widened.
func (j *Judge) MachineDelayed(at, long time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.delays = append(j.delays, delay{at, long})
}

// Verdict is what the ledger holds.
type Verdict struct {
	Requests        int
	Attempts        int
	MaxAttempts     int // attempts of any one request
	ByClass         []ClassCount
	Outcomes        map[RequestOutcome]int
	Breaches        []Breach
	Excused         int           // time limits missed by no more than the machine's own delay
	MaxMachineDelay time.Duration // of the machine
}

// Count is the requests of a class, callers' retries included, and their attempts.
type ClassCount struct{ Requests, Attempts int }

// Judge goes through the ledger. Nothing further may be reported: what has no answer now
// will have none.
func (j *Judge) Check(now time.Duration) Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := Verdict{Requests: len(j.requests), Outcomes: map[RequestOutcome]int{}, ByClass: make([]ClassCount, len(j.rules.Classes))}
	slices.SortFunc(j.delays, func(x, y delay) int { return cmp.Compare(x.at, y.at) })
	for _, l := range j.delays {
		v.MaxMachineDelay = max(v.MaxMachineDelay, l.length)
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

// history tells a request's life, a line an event.
func (r *request) history() []string {
	type line struct {
		at   time.Duration
		text string
	}
	lines := []line{{r.sentAt, fmt.Sprintf("asked of node %s, waits for %v", r.node, r.timeout)}}
	for i, a := range r.attempts {
		lines = append(lines, line{a.arrivedAt, fmt.Sprintf("attempt %d came to box %s", i, a.server)})
		if a.effects > 0 {
			lines = append(lines, line{a.ranAt, fmt.Sprintf("attempt %d had its effect", i)})
		}
		if a.outcome != InProgress {
			lines = append(lines, line{a.endedAt, fmt.Sprintf("attempt %d %v", i, a.outcome)})
		}
	}
	if r.outcome != Unanswered {
		lines = append(lines, line{r.endedAt, r.outcome.String()})
	}
	slices.SortStableFunc(lines, func(x, y line) int { return cmp.Compare(x.at, y.at) })
	texts := make([]string, len(lines))
	for i, l := range lines {
		texts[i] = fmt.Sprintf("%9.1f ms  %s", float64(l.at-r.sentAt)/1e6, l.text)
	}
	return texts
}
