package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the state of a machine's maintenance.
type State uint8

// The states, in their order.
const (
	Requested State = 1 + iota
	Admitted
	Draining
	OutOfService
	Returning
	Warming
	InService
	Cancelled
)

// String returns the state as shown to operators.
func (s State) String() string {
	names := [...]string{"", "wished", "admitted", "draining", "out", "returning", "warming", "back", "given up"}
	return names[min(int(s), len(names)-1)]
}

// countsAsOut reports whether a machine in this state counts against the limits.
func (s State) countsAsOut() bool { return s >= Admitted && s <= Warming }

// isFinal reports whether no state follows.
func (s State) isFinal() bool { return s >= InService }

// Machine identifies a machine and its failure domains.
type Machine struct {
	Name     string
	Site     string
	Rack     string // "": in no rack
	RackSize int    // number of machines in the rack, with this one
}

// Request is the maintenance of one machine.
type Request struct {
	Machine
	RequestedBy string        // operator or program that added the request
	Purpose     string        // for example kernel or disk
	Duration    time.Duration // expected duration of the work
	Deadline    time.Duration // in the table's time; 0: none
	Urgent      bool
	RequestedAt time.Duration // in the table's time
	State       State
	Since       time.Duration // when it entered this state
	Serial      uint64        // of the last change; a step must name it
	HookRun     uint64        // number of the hook's run; 0: none has begun
	HookError   string        // why the hook failed; "": it has not failed
	Reason      string        // of the last change
}

// Limits bound how many machines may be out of service at once: in all, per site and per rack.
type Limits struct{ All, Site, Rack int }

// Default returns l with defaults in place of unset fields.
func (l Limits) Default() Limits {
	l.All, l.Site, l.Rack = cmp.Or(l.All, 3), cmp.Or(l.Site, 1), cmp.Or(l.Rack, 1)
	return l
}

// Op is the operation of a command.
type Op uint8

// The operations.
const (
	AddRequests   Op = 1 + iota // add maintenance requests
	Step                        // move a machine from one state to the next
	BeginHook                   // begin a machine's hook, once per request
	HookFailed                  // the hook failed; the machine stays out of service until an operator confirms
	CancelRequest               // cancel a request whose machine is not out of service
	ConfirmDone                 // an operator confirms that the work on a machine has ended
	Pause                       // admit no machine; those not yet out of service return to Requested
	Resume
	SetLimits          // set new limits
	ReportObservations // report elapsed time and machines that are out without a request
)

// Command is one entry of the log.
type Command struct {
	Op       Op
	Machine  string        // Step, BeginHook, HookFailed, CancelRequest, ConfirmDone
	Serial   uint64        // Step, BeginHook: of the last change that the proposer knows
	To       State         // Step
	Requests []Request     // AddRequests: Machine, Purpose, Duration, Deadline (from now), Urgent
	Limits   Limits        // SetLimits
	Elapsed  time.Duration // ReportObservations: since the last report
	Lost     []Machine     // ReportObservations: machines that are out without a request
	By       string
	Reason   string
}

// Limits of the replicated state and of commands.
const (
	MaxRequests         = 4096
	MaxLost             = 256
	maxHistory          = 1024
	maxTextBytes        = 200
	maxElapsedPerReport = time.Minute // by which one report may advance the table's time
	MaxDuration         = 30 * 24 * time.Hour
)

// Answer is the reply to a command.
type Answer struct {
	Done   bool
	Reason string // why it was not done
	Run    uint64 // BeginHook: number of the hook's run
}

// Event is one entry of the history.
type Event struct {
	At      time.Duration
	Machine string // "": the event concerns the whole table
	From    State
	To      State
	By      string
	Reason  string
}

// Table is the replicated state of all maintenance.
type Table struct {
	now         time.Duration
	lastSerial  uint64
	lastRun     uint64
	pauseReason string // "": not paused
	limits      Limits
	requests    map[string]*Request // by machine name
	lost        []Machine
	history     []Event // the oldest first
}

// NewTable returns an empty table with the default limits.
func NewTable() *Table { return &Table{requests: map[string]*Request{}, limits: Limits{}.Default()} }

// rejected returns the answer to a command that is not applied.
func rejected(format string, args ...any) Answer { return Answer{Reason: fmt.Sprintf(format, args...)} }

// Apply applies a command. Voters are the machines that vote on the log, of which a majority must stay in service.
//
// The texts that Apply writes into the table are part of the replicated state: voters of different versions must write
// the same ones.
func (t *Table) Apply(c *Command, voters []string) Answer {
	if len(c.Reason) > maxTextBytes || len(c.By) > maxTextBytes {
		return rejected("the reason or the requester has more than %d bytes", maxTextBytes)
	}
	switch c.Op {
	case AddRequests:
		return t.addRequests(c)
	case Pause:
		return t.pause(c)
	case Resume:
		if t.pauseReason == "" {
			return rejected("maintenance is not paused")
		}
		t.pauseReason = ""
		t.addHistory(Event{By: c.By, Reason: "goes on: " + c.Reason})
		return Answer{Done: true}
	case SetLimits:
		l := c.Limits
		if l.All < 1 || l.Site < 1 || l.Rack < 1 || l.All > MaxRequests || l.Site > l.All || l.Rack > l.All {
			return rejected("invalid limits: %d in all, %d per site, %d per rack: each must be at least 1, and those per site and rack at most that in all", l.All, l.Site, l.Rack)
		}
		t.limits = l
		t.addHistory(Event{By: c.By, Reason: fmt.Sprintf("at most %d out, %d a site, %d a rack", l.All, l.Site, l.Rack)})
		return Answer{Done: true}
	case ReportObservations:
		t.now += min(max(c.Elapsed, 0), maxElapsedPerReport)
		if len(c.Lost) <= MaxLost {
			t.lost = slices.Clone(c.Lost)
		}
		return Answer{Done: true}
	}
	r := t.requests[c.Machine]
	if r == nil {
		return rejected("no maintenance is requested for %q", c.Machine)
	}
	switch c.Op {
	case Step:
		return t.step(c, r, voters)
	case BeginHook:
		switch {
		case r.State != OutOfService || r.Serial != c.Serial:
			return rejected("%s is %s, or has changed since: its hook may not begin", r.Name, r.State)
		case r.HookRun != 0:
			return rejected("the hook of %s has already begun, as run %d", r.Name, r.HookRun)
		}
		t.lastRun++
		r.HookRun = t.lastRun
		t.addHistory(Event{Machine: r.Name, From: OutOfService, To: OutOfService, By: c.By, Reason: fmt.Sprintf("its work begins, run %d", r.HookRun)})
		return Answer{Done: true, Run: r.HookRun}
	case HookFailed:
		if r.State != OutOfService || r.HookRun == 0 || r.HookError != "" {
			return rejected("%s has no hook running that could fail", r.Name)
		}
		r.HookError = cmp.Or(c.Reason, "its work has failed")
		t.addHistory(Event{Machine: r.Name, From: OutOfService, To: OutOfService, By: c.By, Reason: r.HookError})
		return Answer{Done: true}
	case ConfirmDone:
		if r.State != OutOfService {
			return rejected("%s is %s, not out of service", r.Name, r.State)
		}
		r.HookError = ""
		t.setState(r, Returning, c.By, cmp.Or(c.Reason, "confirmed"))
		return Answer{Done: true}
	case CancelRequest:
		if r.State >= OutOfService && !r.State.isFinal() {
			return rejected("%s is %s: its work must end before it can be cancelled", r.Name, r.State)
		}
		if r.State.isFinal() {
			return rejected("the maintenance of %s has already ended", r.Name)
		}
		t.setState(r, Cancelled, c.By, cmp.Or(c.Reason, "cancelled"))
		return Answer{Done: true}
	}
	return rejected("unknown operation %d", c.Op)
}

// addRequests adds all requests of a command, or none if one is invalid.
func (t *Table) addRequests(c *Command) Answer {
	if len(c.Requests) == 0 {
		return rejected("the command has no requests")
	}
	open := 0
	for _, r := range t.requests {
		if !r.State.isFinal() {
			open++
		}
	}
	if open+len(c.Requests) > MaxRequests {
		return rejected("%d open requests and %d new ones exceed the limit of %d", open, len(c.Requests), MaxRequests)
	}
	for i := range c.Requests { // validate all before any is added
		r := &c.Requests[i]
		switch had := t.requests[r.Name]; {
		case r.Name == "" || len(r.Name) > maxTextBytes || len(r.Site) > maxTextBytes || len(r.Rack) > maxTextBytes || len(r.Purpose) > maxTextBytes:
			return rejected("a machine's name is empty, or its name, site, rack or purpose has more than %d bytes", maxTextBytes)
		case had != nil && !had.State.isFinal():
			return rejected("maintenance of %s is already requested, by %s: %s", r.Name, had.RequestedBy, had.Purpose)
		case r.Duration <= 0 || r.Duration > MaxDuration:
			return rejected("%s: duration %v is not above 0 and at most %v", r.Name, r.Duration, MaxDuration)
		case r.Rack != "" && r.RackSize < 2:
			return rejected("%s is alone in rack %s: it can never be taken out, as one machine of a rack must stay to drop repeated requests", r.Name, r.Rack)
		case slices.ContainsFunc(c.Requests[:i], func(x Request) bool { return x.Name == r.Name }):
			return rejected("%s is listed twice", r.Name)
		}
	}
	for i := range c.Requests {
		r := c.Requests[i]
		r.RequestedBy, r.RequestedAt, r.HookRun, r.HookError = c.By, t.now, 0, ""
		if r.Deadline > 0 {
			r.Deadline += t.now
		}
		r.State = 0
		t.requests[r.Name] = &r
		t.setState(&r, Requested, c.By, r.Purpose)
	}
	t.evictFinished()
	return Answer{Done: true}
}

// pause stops maintenance and returns machines that are not yet out of service to Requested.
func (t *Table) pause(c *Command) Answer {
	t.pauseReason = cmp.Or(c.Reason, "held")
	t.addHistory(Event{By: c.By, Reason: "held: " + t.pauseReason})
	for _, r := range t.Requests() {
		if r.State == Admitted || r.State == Draining {
			t.setState(t.requests[r.Name], Requested, c.By, "held: "+t.pauseReason)
		}
	}
	return Answer{Done: true}
}

// step moves a machine to a state, if that state may follow and the limits permit it.
func (t *Table) step(c *Command, r *Request, voters []string) Answer {
	if r.Serial != c.Serial {
		return rejected("%s has changed since: it is %s", r.Name, r.State)
	}
	next := map[State][]State{
		Requested: {Admitted}, Admitted: {Draining, Requested}, Draining: {OutOfService, Requested}, OutOfService: {Returning}, Returning: {Warming}, Warming: {InService, Returning},
	}
	if !slices.Contains(next[r.State], c.To) {
		return rejected("%s is %s and can't become %s", r.Name, r.State, c.To)
	}
	switch c.To {
	case Admitted:
		if why := t.AdmissionBlocker(r, voters); why != "" {
			return rejected("%s", why)
		}
	case Draining, OutOfService:
		if t.pauseReason != "" {
			return rejected("paused: %s", t.pauseReason)
		}
	case Returning:
		if r.State == OutOfService && (r.HookRun == 0 || r.HookError != "") {
			return rejected("the work on %s has not ended", r.Name)
		}
	}
	t.setState(r, c.To, c.By, c.Reason)
	return Answer{Done: true}
}

// outCounts holds how many machines are out of service, by the limits that bound them.
type outCounts struct {
	all, voters    int
	bySite, byRack map[string]int
	lost           map[string]bool
}

// countOut counts the machines that are out of service, by request or by failure.
func (t *Table) countOut(voters []string) *outCounts {
	counts := &outCounts{bySite: map[string]int{}, byRack: map[string]int{}, lost: map[string]bool{}}
	count := func(m *Machine) {
		counts.all++
		counts.bySite[m.Site]++
		counts.byRack[m.Rack]++
		if slices.Contains(voters, m.Name) {
			counts.voters++
		}
	}
	for _, r := range t.requests {
		if r.State.countsAsOut() {
			count(&r.Machine)
		}
	}
	for i := range t.lost {
		m := &t.lost[i]
		if r := t.requests[m.Name]; r == nil || !r.State.countsAsOut() {
			counts.lost[m.Name] = true
			count(m)
		}
	}
	return counts
}

// AdmissionBlocker returns why the hard limits forbid to admit a machine now; "": they permit it.
func (t *Table) AdmissionBlocker(r *Request, voters []string) string {
	return t.blockerWithCounts(r, voters, t.countOut(voters))
}

// blockerWithCounts is AdmissionBlocker with counts made before.
func (t *Table) blockerWithCounts(r *Request, voters []string, counts *outCounts) string {
	spareVoters := (len(voters) - 1) / 2 // that may be out while a majority stays
	if spareVoters > 1 {
		spareVoters-- // of five or more voters one more stays, in reserve
	}
	switch rackOut := counts.byRack[r.Rack]; {
	case t.pauseReason != "":
		return "paused: " + t.pauseReason
	case counts.lost[r.Name]:
		return "the machine has failed by itself"
	case counts.all >= t.limits.All:
		return fmt.Sprintf("%d machines are out of service, the limit is %d", counts.all, t.limits.All)
	case counts.bySite[r.Site] >= t.limits.Site:
		return fmt.Sprintf("%d machines of site %s are out of service, the limit is %d", counts.bySite[r.Site], r.Site, t.limits.Site)
	case r.Rack != "" && rackOut >= min(t.limits.Rack, r.RackSize-1):
		return fmt.Sprintf("%d machines of rack %s are out of service, the limit is %d, and one of %d must stay", rackOut, r.Rack, t.limits.Rack, r.RackSize)
	case slices.Contains(voters, r.Name) && counts.voters >= spareVoters:
		return fmt.Sprintf("the machine votes on leases, and %d of %d voters are out of service", counts.voters, len(voters))
	}
	return ""
}

// setState moves a request to a state and records that in the history.
func (t *Table) setState(r *Request, to State, by, reason string) {
	t.lastSerial++
	t.addHistory(Event{Machine: r.Name, From: r.State, To: to, By: by, Reason: reason})
	r.State, r.Since, r.Serial, r.Reason = to, t.now, t.lastSerial, reason
	if to == Requested {
		r.HookRun, r.HookError = 0, ""
	}
}

// addHistory appends an event to the history and drops the oldest if it is full.
func (t *Table) addHistory(e Event) {
	e.At = t.now
	if len(t.history) >= maxHistory {
		t.history = slices.Delete(t.history, 0, len(t.history)-maxHistory+1)
	}
	t.history = append(t.history, e)
}

// evictFinished removes the oldest finished requests while there are more than MaxRequests.
func (t *Table) evictFinished() {
	if len(t.requests) <= MaxRequests {
		return
	}
	var ended []*Request
	for _, r := range t.requests {
		if r.State.isFinal() {
			ended = append(ended, r)
		}
	}
	slices.SortFunc(ended, func(a, b *Request) int { return cmp.Compare(a.Serial, b.Serial) })
	for _, r := range ended[:min(len(ended), len(t.requests)-MaxRequests)] {
		delete(t.requests, r.Name)
	}
}

// Requests returns copies of all requests, sorted by machine name.
func (t *Table) Requests() []Request {
	all := make([]Request, 0, len(t.requests))
	for _, r := range t.requests {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Request) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Request returns a copy of a machine's request; false if there is none.
func (t *Table) Request(name string) (Request, bool) {
	if r := t.requests[name]; r != nil {
		return *r, true
	}
	return Request{}, false
}

// Now returns the table's time.
func (t *Table) Now() time.Duration { return t.now }

// PauseReason returns why maintenance is paused; "" if it is not.
func (t *Table) PauseReason() string { return t.pauseReason }

// Limits returns the current limits.
func (t *Table) Limits() Limits { return t.limits }

// History returns a copy of the history, the oldest event first.
func (t *Table) History() []Event { return slices.Clone(t.history) }

// Lost returns a copy of the list of machines that are out without a request.
func (t *Table) Lost() []Machine { return slices.Clone(t.lost) }
