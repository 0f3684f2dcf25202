package maintenance

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// The search goes through all that can be done to a table of four machines in two racks, three of which vote: by two
// coordinators of which one knows what was one step ago, by machines that drain, begin their work, restart in the midst of
// it and say things late, and by operators that hold, resume and confirm. It looks at what the machines do, not at what the
// table says of itself.
type world struct {
	table   *Table
	drained []bool // the machine takes nothing any more, in this round
	begun   []int  // times that the work of this wish has begun
	late    []Command
	plain   bool
}

const searched = 4

func name(i int) string { return fmt.Sprint("m", i) }

func searchVoters() []string { return []string{name(0), name(1), name(2)} }

// newWorld has two racks and three voters; a plain one has neither.
func newWorld(t *testing.T, plain bool) *world {
	w := &world{table: NewTable(), drained: make([]bool, searched), begun: make([]int, searched), plain: plain}
	w.table.limits = Limits{All: 2, Site: 2, Rack: 1}
	var wishes []Request
	for i := range searched {
		m := Machine{Name: name(i), Site: "s", Rack: fmt.Sprint("r", i/2), RackSize: 2}
		if plain {
			m.Rack, m.RackSize = "", 0
		}
		wishes = append(wishes, Request{Machine: m, Duration: time.Minute})
	}
	if a := w.table.Apply(&Command{Op: AddRequests, Requests: wishes}, nil); !a.Done {
		t.Fatal(a.Reason)
	}
	return w
}

func (w *world) clone() *world {
	c := &world{table: NewTable(), drained: slices.Clone(w.drained), begun: slices.Clone(w.begun), late: slices.Clone(w.late), plain: w.plain}
	c.table.limits, c.table.held, c.table.serials, c.table.runs = w.table.limits, w.table.held, w.table.serials, w.table.runs
	c.table.lost = slices.Clone(w.table.lost)
	for n, x := range w.table.wishes {
		y := *x
		c.table.wishes[n] = &y
	}
	return c
}

// key is what matters of a world: serials only as far as what is late is of the last step or not.
func (w *world) key() string {
	var s strings.Builder
	for i := range searched {
		x := w.table.wishes[name(i)]
		fmt.Fprint(&s, x.State, x.HookRun > 0, x.HookError != "", w.drained[i], w.begun[i], ";")
	}
	fmt.Fprint(&s, w.table.held != "", len(w.table.lost))
	for _, c := range w.late {
		fmt.Fprint(&s, "|", c.Op, c.Machine, c.To, c.Serial == w.table.wishes[c.Machine].Serial)
	}
	return s.String()
}

// act is something that may happen.
type act struct {
	what string
	c    Command
	late bool // it stays under way, too
	held bool // it is under way, and does not come yet
}

func (w *world) acts() (all []act) {
	for i := range searched {
		x := w.table.wishes[name(i)]
		step := func(to State) {
			all = append(all, act{fmt.Sprint(x.Name, " to ", to), Command{Op: Step, Machine: x.Name, Serial: x.Serial, To: to}, false, false})
		}
		begin := act{x.Name + " begins", Command{Op: BeginHook, Machine: x.Name, Serial: x.Serial}, false, false}
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
				all = append(all, act{x.Name + " has drained", Command{}, false, false})
			}
			step(Requested)
		case OutOfService:
			all = append(all, begin) // also a process that started anew, and knows nothing of the first
			step(Returning)
			if x.HookRun > 0 {
				all = append(all, act{x.Name + " fails", Command{Op: HookFailed, Machine: x.Name}, false, false}, act{x.Name + " is confirmed", Command{Op: ConfirmDone, Machine: x.Name}, false, false})
			}
		case Returning:
			step(Warming)
		case Warming:
			step(InService)
		}
	}
	if w.table.held == "" {
		all = append(all, act{"hold", Command{Op: Pause}, false, false})
	} else {
		all = append(all, act{"resume", Command{Op: Resume}, false, false})
	}
	if len(w.table.lost) == 0 {
		all = append(all, act{"m3 is lost", Command{Op: ReportObservations, Lost: []Machine{{Name: name(3), Site: "s", Rack: "r1", RackSize: 2}}}, false, false})
	} else {
		all = append(all, act{"m3 is found", Command{Op: ReportObservations}, false, false})
	}
	if len(w.late) == 0 {
		for _, a := range slices.Clone(all) {
			if a.c.Op == Step || a.c.Op == BeginHook {
				all = append(all, act{a.what + ", and again later", a.c, true, false}, act{a.what + ", said and not heard yet", a.c, false, true})
			}
		}
	}
	for _, c := range w.late {
		all = append(all, act{fmt.Sprint("late: ", c.Op, " ", c.Machine, " ", c.To), c, false, false})
	}
	return all
}

// apply applies a command with one guard taken out.
func (w *world) apply(c Command, out string) Answer {
	t, voters := w.table, searchVoters()
	if w.plain {
		voters = nil
	}
	limits, held, lost := t.limits, t.held, t.lost
	x := t.wishes[c.Machine]
	rack := ""
	if x != nil {
		rack = x.Rack
	}
	switch out {
	case "the limit in all":
		t.limits.All, t.limits.Site = 99, 99
	case "the limit of a rack":
		t.limits.Rack = 99
		if x != nil {
			x.Rack = ""
		}
	case "the voters' majority":
		voters = nil
	case "a step names the one before it":
		if x != nil {
			c.Serial = x.Serial
		}
	case "work begins once":
		if c.Op == BeginHook && x != nil {
			x.HookRun = 0
		}
	case "hold":
		if c.Op != Pause && c.Op != Resume {
			t.held = ""
		}
	case "the lost count":
		if c.Op != ReportObservations {
			t.lost = nil
		}
	}
	a := t.Apply(&c, voters)
	if out == "the limit in all" || out == "the limit of a rack" {
		t.limits = limits
	}
	if x != nil {
		x.Rack = rack
	}
	if out == "hold" && c.Op != Pause && c.Op != Resume {
		t.held = held
	}
	if out == "the lost count" && c.Op != ReportObservations {
		t.lost = lost
	}
	return a
}

// do does it, and tells what is wrong then.
func (w *world) do(a act, out string) (wrong string) {
	i := int(strings.IndexByte("0123", lastDigit(a)))
	if a.c.Op == 0 { // the machine's own
		w.drained[i] = true
		return ""
	}
	if a.held {
		w.late = []Command{a.c}
		return ""
	}
	before := map[string]State{}
	for n, x := range w.table.wishes {
		before[n] = x.State
	}
	heldBefore, lostBefore := w.table.held != "", len(w.table.lost)
	answer := w.apply(a.c, out)
	if a.late {
		w.late = []Command{a.c}
	}
	if a.c.Op == BeginHook && answer.Done {
		w.begun[i]++
	}
	places, racks, voters := 0, map[string]int{}, 0
	for n, x := range w.table.wishes {
		k := int(n[1] - '0')
		if x.State == Requested || x.State == Admitted {
			w.drained[k] = false // it takes requests, or again
		}
		if x.State.places() {
			places++
			racks[x.Rack]++
			if slices.Contains(searchVoters(), n) {
				voters++
			}
		}
		if x.State == OutOfService && before[n] == Draining && !w.drained[k] {
			return n + " is out and takes requests"
		}
		if x.State == Admitted && before[n] == Requested {
			if heldBefore {
				return n + " goes out while all is held"
			}
			if lostBefore > 0 && n != name(3) && !w.table.wishes[name(3)].State.places() && places+lostBefore > 2 {
				return n + " goes out beside one that is lost and one that is out"
			}
		}
	}
	switch {
	case places > 2:
		return fmt.Sprint(places, " are out")
	case w.plain:
	case racks["r0"] > 1 || racks["r1"] > 1:
		return "a whole rack is out"
	case voters > 1:
		return "two of three voters are out"
	case slices.ContainsFunc(w.begun, func(n int) bool { return n > 1 }):
		return "the work of one wish begins twice"
	}
	return ""
}

func lastDigit(a act) byte {
	if a.c.Machine != "" {
		return a.c.Machine[1]
	}
	if a.what[0] == 'm' {
		return a.what[1]
	}
	return '0'
}

// search goes breadth first, and returns the shortest way to something wrong.
func search(t *testing.T, out string, plain bool, most int) (way []string, wrong string, states int, whole bool) {
	type place struct {
		w    *world
		from int
		what string
	}
	queue := []place{{newWorld(t, plain), -1, ""}}
	seen := map[string]bool{queue[0].w.key(): true}
	for at := 0; at < len(queue); at++ {
		if len(seen) > most {
			return nil, "", len(seen), false
		}
		for _, a := range queue[at].w.acts() {
			next := queue[at].w.clone()
			if wrong := next.do(a, out); wrong != "" {
				way := []string{a.what}
				for k := at; k > 0; k = queue[k].from {
					way = append(way, queue[k].what)
				}
				slices.Reverse(way)
				return way, wrong, len(seen), false
			}
			if k := next.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, place{next, at, a.what})
			}
		}
	}
	return nil, "", len(seen), true
}

func TestTheTableKeepsItsBounds(t *testing.T) {
	most := 8_000
	if os.Getenv("CURLEWRING_LONG") != "" {
		most = 1_000_000
	}
	for _, plain := range []bool{false, true} {
		way, wrong, states, whole := search(t, "", plain, most)
		if wrong != "" {
			t.Errorf("%s, after %v", wrong, way)
		}
		t.Logf("racks and voters %v: %d states, to the end: %v", !plain, states, whole)
	}
	for out, plain := range map[string]bool{
		"the limit in all": true, "the limit of a rack": false, "the voters' majority": false, "a step names the one before it": false,
		"work begins once": false, "hold": false, "the lost count": true,
	} {
		way, wrong, states, _ := search(t, out, plain, 60_000)
		if wrong == "" {
			t.Errorf("without %q nothing is found in %d states", out, states)
		} else {
			t.Logf("without %q: %s, after %d steps: %s", out, wrong, len(way), strings.Join(way, ", "))
		}
	}
}
