package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is how far a machine's work is.
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

// String is the state as operators read it.
func (s State) String() string {
	names := [...]string{"", "wished", "admitted", "draining", "out", "returning", "warming", "back", "given up"}
	return names[min(int(s), len(names)-1)]
}

// places tells whether a machine in this state counts as out.
func (s State) places() bool { return s >= Admitted && s <= Warming }

// ended tells whether nothing follows.
func (s State) ended() bool { return s >= InService }

// Machine is one that may go out.
type Machine struct {
	Name     string
	Site     string
	Rack     string // "": it is in none
	RackSize int    // machines of the rack, itself included
}

// Wish is one machine's work.
type Request struct {
	Machine
	RequestedBy string        // who wished
	Purpose     string        // kernel, disk, ...
	Duration    time.Duration // that the work is expected to take
	Deadline    time.Duration // on the table's time; 0: none
	Urgent      bool
	RequestedAt time.Duration // on the table's time
	State       State
	Since       time.Duration // that it is in this state
	Serial      uint64        // of the last step: a step names the one before it
	HookRun     uint64        // of its hook; 0: none has begun
	HookError   string        // why its hook has failed; "": it has not
	Reason      string        // of the last step
}

// Limits bound how many machines may be out at once.
type Limits struct{ All, Site, Rack int }

// Default fills in what is not set.
func (l Limits) Default() Limits {
	l.All, l.Site, l.Rack = cmp.Or(l.All, 3), cmp.Or(l.Site, 1), cmp.Or(l.Rack, 1)
	return l
}

// Op says what a command does.
type Op uint8

// The operations.
const (
	AddRequests   Op = 1 + iota // wish machines out
	Step                        // a machine goes from one state to the next
	BeginHook                   // its hook begins: once for a wish
	HookFailed                  // its hook has failed; it stays out until a person says what to do
	CancelRequest               // the wish is given up, if its machine is not out
	ConfirmDone                 // a person says that the work of a machine that is out has ended
	Pause                       // nothing goes out; who is not out yet turns back
	Resume
	SetLimits          // new limits
	ReportObservations // the coordinator's clock, and machines that were lost by themselves
)

// Command is one entry of the log.
type Command struct {
	Op       Op
	Machine  string    // Step, Begin, Fail, Cancel, Confirm
	Serial   uint64    // Step, Begin, Fail: of the step that it knows as the last
	To       State     // Step
	Requests []Request // Ask: Machine, By, Why, Length, Deadline (from now), Urgent
	Limits   Limits    // Bound
	Elapsed  time.Duration
	Lost     []Machine // Tell: that are out though nobody wished it
	By       string
	Reason   string
}

// Bounds of what is kept.
const (
	MaxRequests = 4096
	MaxLost     = 256
	mostHistory = 1024
	mostText    = 200
	mostElapsed = time.Minute // that one Tell lets the table's time go on
	MaxDuration = 30 * 24 * time.Hour
)

// Answer is what a command's proposer is told.
type Answer struct {
	Done   bool
	Reason string // not done: why
	Run    uint64 // Begin: the hook's run
}

// Event is one line of the history.
type Event struct {
	At      time.Duration
	Machine string // "": the whole
	From    State
	To      State
	By      string
	Reason  string
}

// Table is the replicated state.
type Table struct {
	now     time.Duration
	serials uint64
	runs    uint64
	held    string // why; "": it is not
	limits  Limits
	wishes  map[string]*Request // by machine
	lost    []Machine
	history []Event // the oldest goes first
}

// NewTable returns an empty one.
func NewTable() *Table { return &Table{wishes: map[string]*Request{}, limits: Limits{}.Default()} }

func no(format string, args ...any) Answer { return Answer{Reason: fmt.Sprintf(format, args...)} }

// Apply applies a command. Voters are the machines that vote on the log, of which a majority must stay.
func (t *Table) Apply(c *Command, voters []string) Answer {
	if len(c.Reason) > mostText || len(c.By) > mostText {
		return no("a reason of more than %d bytes", mostText)
	}
	switch c.Op {
	case AddRequests:
		return t.ask(c)
	case Pause:
		return t.hold(c)
	case Resume:
		if t.held == "" {
			return no("nothing is held")
		}
		t.held = ""
		t.note(Event{By: c.By, Reason: "goes on: " + c.Reason})
		return Answer{Done: true}
	case SetLimits:
		l := c.Limits
		if l.All < 1 || l.Site < 1 || l.Rack < 1 || l.All > MaxRequests || l.Site > l.All || l.Rack > l.All {
			return no("limits of %d in all, %d a site and %d a rack: each from 1 to that in all", l.All, l.Site, l.Rack)
		}
		t.limits = l
		t.note(Event{By: c.By, Reason: fmt.Sprintf("at most %d out, %d a site, %d a rack", l.All, l.Site, l.Rack)})
		return Answer{Done: true}
	case ReportObservations:
		t.now += min(max(c.Elapsed, 0), mostElapsed)
		if len(c.Lost) <= MaxLost {
			t.lost = slices.Clone(c.Lost)
		}
		return Answer{Done: true}
	}
	w := t.wishes[c.Machine]
	if w == nil {
		return no("nobody wishes %q out", c.Machine)
	}
	switch c.Op {
	case Step:
		return t.step(c, w, voters)
	case BeginHook:
		switch {
		case w.State != OutOfService || w.Serial != c.Serial:
			return no("%s is %s, and was not told to begin", w.Name, w.State)
		case w.HookRun != 0:
			return no("the hook of %s has begun once, as run %d", w.Name, w.HookRun)
		}
		t.runs++
		w.HookRun = t.runs
		t.note(Event{Machine: w.Name, From: OutOfService, To: OutOfService, By: c.By, Reason: fmt.Sprintf("its work begins, run %d", w.HookRun)})
		return Answer{Done: true, Run: w.HookRun}
	case HookFailed:
		if w.State != OutOfService || w.HookRun == 0 || w.HookError != "" {
			return no("%s has no work that could fail", w.Name)
		}
		w.HookError = cmp.Or(c.Reason, "its work has failed")
		t.note(Event{Machine: w.Name, From: OutOfService, To: OutOfService, By: c.By, Reason: w.HookError})
		return Answer{Done: true}
	case ConfirmDone:
		if w.State != OutOfService {
			return no("%s is %s, not out", w.Name, w.State)
		}
		w.HookError = ""
		t.move(w, Returning, c.By, cmp.Or(c.Reason, "confirmed"))
		return Answer{Done: true}
	case CancelRequest:
		if w.State >= OutOfService && !w.State.ended() {
			return no("%s is %s: its work must end first", w.Name, w.State)
		}
		if w.State.ended() {
			return no("%s has ended", w.Name)
		}
		t.move(w, Cancelled, c.By, cmp.Or(c.Reason, "cancelled"))
		return Answer{Done: true}
	}
	return no("no operation %d", c.Op)
}

// ask takes wishes in.
func (t *Table) ask(c *Command) Answer {
	if len(c.Requests) == 0 {
		return no("nobody is wished out")
	}
	open := 0
	for _, w := range t.wishes {
		if !w.State.ended() {
			open++
		}
	}
	if open+len(c.Requests) > MaxRequests {
		return no("%d wishes and %d more: at most %d", open, len(c.Requests), MaxRequests)
	}
	for i := range c.Requests { // all or none
		w := &c.Requests[i]
		switch had := t.wishes[w.Name]; {
		case w.Name == "" || len(w.Name) > mostText || len(w.Site) > mostText || len(w.Rack) > mostText || len(w.Purpose) > mostText:
			return no("a machine with a name, site, rack or reason of 0 or more than %d bytes", mostText)
		case had != nil && !had.State.ended():
			return no("%s is wished out already, by %s: %s", w.Name, had.RequestedBy, had.Purpose)
		case w.Duration <= 0 || w.Duration > MaxDuration:
			return no("%s: work of %v, want up to %v", w.Name, w.Duration, MaxDuration)
		case w.Rack != "" && w.RackSize < 2:
			return no("%s is alone in rack %s: it can never be out, as a rack must keep who drops repeats", w.Name, w.Rack)
		case slices.ContainsFunc(c.Requests[:i], func(x Request) bool { return x.Name == w.Name }):
			return no("%s stands there twice", w.Name)
		}
	}
	for i := range c.Requests {
		w := c.Requests[i]
		w.RequestedBy, w.RequestedAt, w.HookRun, w.HookError = c.By, t.now, 0, ""
		if w.Deadline > 0 {
			w.Deadline += t.now
		}
		w.State = 0
		t.wishes[w.Name] = &w
		t.move(&w, Requested, c.By, w.Purpose)
	}
	t.tidy()
	return Answer{Done: true}
}

// hold stops all that is not out yet.
func (t *Table) hold(c *Command) Answer {
	t.held = cmp.Or(c.Reason, "held")
	t.note(Event{By: c.By, Reason: "held: " + t.held})
	for _, w := range t.Requests() {
		if w.State == Admitted || w.State == Draining {
			t.move(t.wishes[w.Name], Requested, c.By, "held: "+t.held)
		}
	}
	return Answer{Done: true}
}

// step moves a machine, if that is its next state, and fits.
func (t *Table) step(c *Command, w *Request, voters []string) Answer {
	if w.Serial != c.Serial {
		return no("%s has moved on: it is %s", w.Name, w.State)
	}
	next := map[State][]State{
		Requested: {Admitted}, Admitted: {Draining, Requested}, Draining: {OutOfService, Requested}, OutOfService: {Returning}, Returning: {Warming}, Warming: {InService, Returning},
	}
	if !slices.Contains(next[w.State], c.To) {
		return no("%s is %s, and can't be %s next", w.Name, w.State, c.To)
	}
	switch c.To {
	case Admitted:
		if why := t.AdmissionBlocker(w, voters); why != "" {
			return no("%s", why)
		}
	case Draining, OutOfService:
		if t.held != "" {
			return no("held: %s", t.held)
		}
	case Returning:
		if w.State == OutOfService && (w.HookRun == 0 || w.HookError != "") {
			return no("the work of %s has not ended", w.Name)
		}
	}
	t.move(w, c.To, c.By, c.Reason)
	return Answer{Done: true}
}

// tally is who is out, by what bounds it.
type tally struct {
	all, voters int
	site, rack  map[string]int
	lost        map[string]bool
}

func (t *Table) tally(voters []string) *tally {
	n := &tally{site: map[string]int{}, rack: map[string]int{}, lost: map[string]bool{}}
	count := func(m *Machine) {
		n.all++
		n.site[m.Site]++
		n.rack[m.Rack]++
		if slices.Contains(voters, m.Name) {
			n.voters++
		}
	}
	for _, w := range t.wishes {
		if w.State.places() {
			count(&w.Machine)
		}
	}
	for i := range t.lost {
		m := &t.lost[i]
		if w := t.wishes[m.Name]; w == nil || !w.State.places() {
			n.lost[m.Name] = true
			count(m)
		}
	}
	return n
}

// Fits tells why a machine that is wished out can't be admitted by the hard bounds; "": it can.
func (t *Table) AdmissionBlocker(w *Request, voters []string) string {
	return t.fits(w, voters, t.tally(voters))
}

func (t *Table) fits(w *Request, voters []string, n *tally) string {
	spare := (len(voters) - 1) / 2 // that may be gone
	if spare > 1 {
		spare-- // where there are enough, one more stays
	}
	switch rack := n.rack[w.Rack]; {
	case t.held != "":
		return "held: " + t.held
	case n.lost[w.Name]:
		return "it is lost by itself"
	case n.all >= t.limits.All:
		return fmt.Sprintf("%d machines are out, %d may be", n.all, t.limits.All)
	case n.site[w.Site] >= t.limits.Site:
		return fmt.Sprintf("%d machines of site %s are out, %d may be", n.site[w.Site], w.Site, t.limits.Site)
	case w.Rack != "" && rack >= min(t.limits.Rack, w.RackSize-1):
		return fmt.Sprintf("%d machines of rack %s are out, %d may be, and one must stay of %d", rack, w.Rack, t.limits.Rack, w.RackSize)
	case slices.Contains(voters, w.Name) && n.voters >= spare:
		return fmt.Sprintf("it votes on leases, and %d of %d who do are out", n.voters, len(voters))
	}
	return ""
}

func (t *Table) move(w *Request, to State, by, reason string) {
	t.serials++
	t.note(Event{Machine: w.Name, From: w.State, To: to, By: by, Reason: reason})
	w.State, w.Since, w.Serial, w.Reason = to, t.now, t.serials, reason
	if to == Requested {
		w.HookRun, w.HookError = 0, ""
	}
}

func (t *Table) note(e Event) {
	e.At = t.now
	if len(t.history) >= mostHistory {
		t.history = slices.Delete(t.history, 0, len(t.history)-mostHistory+1)
	}
	t.history = append(t.history, e)
}

// tidy forgets wishes that have ended, the oldest first, where there are too many.
func (t *Table) tidy() {
	if len(t.wishes) <= MaxRequests {
		return
	}
	var ended []*Request
	for _, w := range t.wishes {
		if w.State.ended() {
			ended = append(ended, w)
		}
	}
	slices.SortFunc(ended, func(a, b *Request) int { return cmp.Compare(a.Serial, b.Serial) })
	for _, w := range ended[:min(len(ended), len(t.wishes)-MaxRequests)] {
		delete(t.wishes, w.Name)
	}
}

// All are all wishes, by name; copies.
func (t *Table) Requests() []Request {
	all := make([]Request, 0, len(t.wishes))
	for _, w := range t.wishes {
		all = append(all, *w)
	}
	slices.SortFunc(all, func(a, b Request) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Of is one machine's wish; false if there is none.
func (t *Table) Request(name string) (Request, bool) {
	if w := t.wishes[name]; w != nil {
		return *w, true
	}
	return Request{}, false
}

// Now is the table's time, Held why nothing goes out ("": it does), and History what has happened, the oldest first.
func (t *Table) Now() time.Duration  { return t.now }
func (t *Table) PauseReason() string { return t.held }
func (t *Table) Limits() Limits      { return t.limits }
func (t *Table) History() []Event    { return slices.Clone(t.history) }
func (t *Table) Lost() []Machine     { return slices.Clone(t.lost) }
