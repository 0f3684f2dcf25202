package maintenance

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// modelState is one state of a bounded model checker: a table of four machines in two racks, three of which vote. The
// events are commands of two coordinators, of which one may be a step behind, of machines that drain, begin their
// hooks, restart during the work and send commands late, and of operators that pause, resume and confirm. Violations
// are judged by what the machines do, not by what the table reports.
type modelState struct {
	table           *Table
	drained         []bool    // by machine: it accepts no requests any more, since it was last admitted
	hooksBegun      []int     // by machine: how often the hook of its request has begun
	delayed         []Command // sent, not yet delivered
	noRacksOrVoters bool      // the machines have no racks, and none of them votes
}

const machineCount = 4

func machineName(i int) string { return fmt.Sprint("m", i) }

func searchVoters() []string { return []string{machineName(0), machineName(1), machineName(2)} }

// newModelState returns the initial state, with two racks and three voters, or with neither.
func newModelState(t *testing.T, noRacksOrVoters bool) *modelState {
	w := &modelState{table: NewTable(), drained: make([]bool, machineCount), hooksBegun: make([]int, machineCount), noRacksOrVoters: noRacksOrVoters}
	w.table.limits = Limits{All: 2, Site: 2, Rack: 1}
	var requests []Request
	for i := range machineCount {
		m := Machine{Name: machineName(i), Site: "s", Rack: fmt.Sprint("r", i/2), RackSize: 2}
		if noRacksOrVoters {
			m.Rack, m.RackSize = "", 0
		}
		requests = append(requests, Request{Machine: m, Duration: time.Minute})
	}
	if a := w.table.Apply(&Command{Op: AddRequests, Requests: requests}, nil); !a.Done {
		t.Fatal(a.Reason)
	}
	return w
}

func (w *modelState) clone() *modelState {
	c := &modelState{table: NewTable(), drained: slices.Clone(w.drained), hooksBegun: slices.Clone(w.hooksBegun), delayed: slices.Clone(w.delayed), noRacksOrVoters: w.noRacksOrVoters}
	c.table.limits, c.table.pauseReason, c.table.lastSerial, c.table.lastRun = w.table.limits, w.table.pauseReason, w.table.lastSerial, w.table.lastRun
	c.table.lost = slices.Clone(w.table.lost)
	for n, x := range w.table.requests {
		y := *x
		c.table.requests[n] = &y
	}
	return c
}

// key identifies a state. Of the serials only whether a delayed command names the last one matters.
func (w *modelState) key() string {
	var s strings.Builder
	for i := range machineCount {
		x := w.table.requests[machineName(i)]
		fmt.Fprint(&s, x.State, x.HookRun > 0, x.HookError != "", w.drained[i], w.hooksBegun[i], ";")
	}
	fmt.Fprint(&s, w.table.pauseReason != "", len(w.table.lost))
	for _, c := range w.delayed {
		fmt.Fprint(&s, "|", c.Op, c.Machine, c.To, c.Serial == w.table.requests[c.Machine].Serial)
	}
	return s.String()
}

// modelEvent is one event of the model. An event without a command is a machine that has drained.
type modelEvent struct {
	label      string
	command    Command
	duplicated bool // the command is delivered now and once more later
	postponed  bool // the command is sent now and delivered later
}

// successors returns all events that may happen next.
func (w *modelState) successors() (all []modelEvent) {
	for i := range machineCount {
		x := w.table.requests[machineName(i)]
		step := func(to State) {
			all = append(all, modelEvent{fmt.Sprint(x.Name, " to ", to), Command{Op: Step, Machine: x.Name, Serial: x.Serial, To: to}, false, false})
		}
		begin := modelEvent{x.Name + " begins", Command{Op: BeginHook, Machine: x.Name, Serial: x.Serial}, false, false}
		switch x.State {
		case Requested:
			step(Admitted)
		case Admitted:
			step(Draining)
			step(Requested)
		case Draining:
			if w.drained[i] {
				step(OutOfService)
			} else {
				all = append(all, modelEvent{x.Name + " has drained", Command{}, false, false})
			}
			step(Requested)
		case OutOfService:
			all = append(all, begin) // also by a restarted process that does not know of the first run
			step(Returning)
			if x.HookRun > 0 {
				all = append(all, modelEvent{x.Name + " fails", Command{Op: HookFailed, Machine: x.Name}, false, false}, modelEvent{x.Name + " is confirmed", Command{Op: ConfirmDone, Machine: x.Name}, false, false})
			}
		case Returning:
			step(Warming)
		case Warming:
			step(InService)
		}
	}
	if w.table.pauseReason == "" {
		all = append(all, modelEvent{"pause", Command{Op: Pause}, false, false})
	} else {
		all = append(all, modelEvent{"resume", Command{Op: Resume}, false, false})
	}
	if len(w.table.lost) == 0 {
		all = append(all, modelEvent{"m3 is lost", Command{Op: ReportObservations, Lost: []Machine{{Name: machineName(3), Site: "s", Rack: "r1", RackSize: 2}}}, false, false})
	} else {
		all = append(all, modelEvent{"m3 is found", Command{Op: ReportObservations}, false, false})
	}
	if len(w.delayed) == 0 {
		for _, a := range slices.Clone(all) {
			if a.command.Op == Step || a.command.Op == BeginHook {
				all = append(all, modelEvent{a.label + ", delivered again later", a.command, true, false}, modelEvent{a.label + ", sent and not delivered yet", a.command, false, true})
			}
		}
	}
	for _, c := range w.delayed {
		all = append(all, modelEvent{fmt.Sprint("delayed: ", c.Op, " ", c.Machine, " ", c.To), c, false, false})
	}
	return all
}

// apply applies a command while the table lacks the check that fault names.
func (w *modelState) apply(c Command, fault string) Answer {
	t, voters := w.table, searchVoters()
	if w.noRacksOrVoters {
		voters = nil
	}
	limits, pauseReason, lost := t.limits, t.pauseReason, t.lost
	x := t.requests[c.Machine]
	rack := ""
	if x != nil {
		rack = x.Rack
	}
	switch fault {
	case "total limit":
		t.limits.All, t.limits.Site = 99, 99
	case "rack limit":
		t.limits.Rack = 99
		if x != nil {
			x.Rack = ""
		}
	case "majority of voters":
		voters = nil
	case "serial of the last change":
		if x != nil {
			c.Serial = x.Serial
		}
	case "hook begins once":
		if c.Op == BeginHook && x != nil {
			x.HookRun = 0
		}
	case "pause":
		if c.Op != Pause && c.Op != Resume {
			t.pauseReason = ""
		}
	case "lost machines count":
		if c.Op != ReportObservations {
			t.lost = nil
		}
	}
	a := t.Apply(&c, voters)
	if fault == "total limit" || fault == "rack limit" {
		t.limits = limits
	}
	if x != nil {
		x.Rack = rack
	}
	if fault == "pause" && c.Op != Pause && c.Op != Resume {
		t.pauseReason = pauseReason
	}
	if fault == "lost machines count" && c.Op != ReportObservations {
		t.lost = lost
	}
	return a
}

// perform applies an event and returns which rule the state violates then; "" for none.
func (w *modelState) perform(event modelEvent, fault string) (violation string) {
	i := int(strings.IndexByte("0123", lastDigit(event)))
	if event.command.Op == 0 { // the machine has drained
		w.drained[i] = true
		return ""
	}
	if event.postponed {
		w.delayed = []Command{event.command}
		return ""
	}
	before := map[string]State{}
	for n, x := range w.table.requests {
		before[n] = x.State
	}
	pausedBefore, lostBefore := w.table.pauseReason != "", len(w.table.lost)
	answer := w.apply(event.command, fault)
	if event.duplicated {
		w.delayed = []Command{event.command}
	}
	if event.command.Op == BeginHook && answer.Done {
		w.hooksBegun[i]++
	}
	out, racks, voters := 0, map[string]int{}, 0
	for n, x := range w.table.requests {
		k := int(n[1] - '0')
		if x.State == Requested || x.State == Admitted {
			w.drained[k] = false // it accepts requests
		}
		if x.State.countsAsOut() {
			out++
			racks[x.Rack]++
			if slices.Contains(searchVoters(), n) {
				voters++
			}
		}
		if x.State == OutOfService && before[n] == Draining && !w.drained[k] {
			return n + " is out of service while it accepts requests"
		}
		if x.State == Admitted && before[n] == Requested {
			if pausedBefore {
				return n + " is admitted while maintenance is paused"
			}
			if lostBefore > 0 && n != machineName(3) && !w.table.requests[machineName(3)].State.countsAsOut() && out+lostBefore > 2 {
				return n + " is admitted beside a lost machine and one out of service"
			}
		}
	}
	switch {
	case out > 2:
		return fmt.Sprint(out, " machines are out of service")
	case w.noRacksOrVoters:
	case racks["r0"] > 1 || racks["r1"] > 1:
		return "a whole rack is out of service"
	case voters > 1:
		return "two of three voters are out of service"
	case slices.ContainsFunc(w.hooksBegun, func(n int) bool { return n > 1 }):
		return "the hook of one request begins twice"
	}
	return ""
}

// lastDigit returns the digit of the machine that an event concerns; 0 if it concerns none.
func lastDigit(event modelEvent) byte {
	if event.command.Machine != "" {
		return event.command.Machine[1]
	}
	if event.label[0] == 'm' {
		return event.label[1]
	}
	return '0'
}

// search visits the states breadth first and returns the shortest path to a violation, if there is one.
func search(t *testing.T, fault string, noRacksOrVoters bool, maxStates int) (path []string, violation string, states int, exhaustive bool) {
	type visited struct {
		state  *modelState
		parent int
		label  string
	}
	queue := []visited{{newModelState(t, noRacksOrVoters), -1, ""}}
	seen := map[string]bool{queue[0].state.key(): true}
	for i := 0; i < len(queue); i++ {
		if len(seen) > maxStates {
			return nil, "", len(seen), false
		}
		for _, event := range queue[i].state.successors() {
			next := queue[i].state.clone()
			if violation := next.perform(event, fault); violation != "" {
				path := []string{event.label}
				for k := i; k > 0; k = queue[k].parent {
					path = append(path, queue[k].label)
				}
				slices.Reverse(path)
				return path, violation, len(seen), false
			}
			if k := next.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, visited{next, i, event.label})
			}
		}
	}
	return nil, "", len(seen), true
}

// No order of events violates a rule, and the search finds a violation for each check that is left out.
func TestTableKeepsLimits(t *testing.T) {
	maxStates := 8_000
	if os.Getenv("CURLEWRING_LONG") != "" {
		maxStates = 1_000_000
	}
	for _, noRacksOrVoters := range []bool{false, true} {
		path, violation, states, exhaustive := search(t, "", noRacksOrVoters, maxStates)
		if violation != "" {
			t.Errorf("%s, after %v", violation, path)
		}
		t.Logf("racks and voters %v: %d states, exhaustive: %v", !noRacksOrVoters, states, exhaustive)
	}
	for fault, noRacksOrVoters := range map[string]bool{
		"total limit": true, "rack limit": false, "majority of voters": false, "serial of the last change": false,
		"hook begins once": false, "pause": false, "lost machines count": true,
	} {
		path, violation, states, _ := search(t, fault, noRacksOrVoters, 60_000)
		if violation == "" {
			t.Errorf("without the check %q no violation is found in %d states", fault, states)
		} else {
			t.Logf("without the check %q: %s, after %d steps: %s", fault, violation, len(path), strings.Join(path, ", "))
		}
	}
}
