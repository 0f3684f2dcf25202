package endpoints

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/decide"
)

const (
	serving  = decide.Healthy
	draining = decide.Draining
	removed  = decide.Removed
)

func entry(id string, h decide.Health, started time.Duration) Entry {
	return Entry{Server: decide.Server{ID: id, Health: h, Started: started, Weight: 1}, Address: id + ":1"}
}

func fullList(g uint64, entries ...Entry) *List {
	return &List{Generation: g, Whole: true, Entries: entries}
}
func deltaList(g uint64, entries ...Entry) *List { return &List{Generation: g, Entries: entries} }

// changed lists changes as "id health".
func describeChanges(entries []Entry) (all []string) {
	for _, e := range entries {
		all = append(all, fmt.Sprintf("%s %s", e.ID, [...]string{"serves", "drains", "gone"}[e.Health]))
	}
	slices.Sort(all)
	return all
}

func anomalyKinds(odd []Anomaly) (all []AnomalyKind) {
	for _, o := range odd {
		all = append(all, o.Kind)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func assertEqual(t *testing.T, what string, got any, wanted any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(wanted) {
		t.Errorf("%s: %v, want %v", what, got, wanted)
	}
}

const second = time.Second

// fleet is a view of a to e, serving at generation 10.
func fiveServerView() *View {
	v := New(Settings{})
	v.Apply(second, fullList(10, entry("a", serving, second), entry("b", serving, second), entry("c", serving, second),
		entry("d", serving, second), entry("e", serving, second)))
	return v
}

func TestUsualLists(t *testing.T) {
	v := fiveServerView()
	assertEqual(t, "serving", v.Serving(), 5)
	u := v.Apply(2*second, deltaList(11, entry("a", draining, second), entry("f", serving, 2*second)))
	assertEqual(t, "changes", describeChanges(u.Changes), "[a drains f serves]")
	u = v.Apply(3*second, fullList(12, entry("b", serving, second), entry("c", serving, second), entry("d", serving, second),
		entry("e", serving, second), entry("f", serving, 2*second)))
	assertEqual(t, "a whole list", describeChanges(u.Changes), "[a gone]")
	assertEqual(t, "odd", u.Anomalies, "[]")
	// A server that starts again, or moves, is told with its new start or address.
	u = v.Apply(4*second, deltaList(13, entry("b", serving, 4*second)))
	assertEqual(t, "a new process", describeChanges(u.Changes), "[b serves]")
	moved := entry("c", serving, second)
	moved.Address = "z:9"
	u = v.Apply(4*second, deltaList(14, moved))
	assertEqual(t, "another address", u.Changes[0].Address, "z:9")
	assertEqual(t, "serving", v.Serving(), 5)
}

// Bad news counts at once, whatever else is odd; and an empty list is asked about again.
func TestSuddenLoss(t *testing.T) {
	v := fiveServerView()
	u := v.Apply(2*second, fullList(11))
	assertEqual(t, "changes", describeChanges(u.Changes), "[a gone b gone c gone d gone e gone]")
	assertEqual(t, "odd", anomalyKinds(u.Anomalies), "[most servers are gone at once the whole list is empty]")
	assertEqual(t, "again", u.RefetchWhole, true)
	u = v.Apply(3*second, fullList(12, entry("a", serving, second), entry("b", serving, second)))
	assertEqual(t, "they return", describeChanges(u.Changes), "[a serves b serves]")
	v = fiveServerView()
	u = v.Apply(2*second, deltaList(11, entry("a", removed, second), entry("b", draining, second), entry("c", removed, second)))
	assertEqual(t, "three of five", u.RefetchWhole, true)
	v = fiveServerView()
	u = v.Apply(2*second, deltaList(11, entry("a", removed, second), entry("b", draining, second)))
	assertEqual(t, "two of five", u.RefetchWhole, false)
	v = fiveServerView()
	u = v.Apply(2*second, deltaList(11, entry("a", removed, second), entry("b", removed, second), entry("c", removed, second),
		entry("a2", serving, 2*second), entry("b2", serving, 2*second), entry("c2", serving, 2*second)))
	assertEqual(t, "replaced in one list", u.RefetchWhole, false)
}

// A list from a backup: its bad news counts, what it brings back waits; a newer process, and what the old list
// knew nothing of, does not.
func TestGenerationBackwards(t *testing.T) {
	v := fiveServerView()
	v.Apply(2*second, deltaList(20, entry("a", draining, second), entry("b", removed, second), entry("c", removed, second)))
	u := v.Apply(3*second, fullList(8, entry("a", serving, second), entry("b", serving, second), entry("c", serving, 3*second),
		entry("d", serving, second), entry("new", serving, second)))
	assertEqual(t, "changes", describeChanges(u.Changes), "[c serves e gone new serves]")
	assertEqual(t, "odd", anomalyKinds(u.Anomalies), "[an older list brings a server back the generation runs backwards]")
	at, ok := v.NextRelease()
	assertEqual(t, "next", fmt.Sprint(at, ok), "33s true")
	assertEqual(t, "before its time", describeChanges(v.ReleaseDue(32*second)), "[]")
	// It counts on from there: no further doubt about what is told next.
	u = v.Apply(4*second, deltaList(9, entry("x", serving, second)))
	assertEqual(t, "the next", describeChanges(u.Changes), "[x serves]")
	assertEqual(t, "odd", u.Anomalies, "[]")
	assertEqual(t, "in time", describeChanges(v.ReleaseDue(33*second)), "[a serves b serves]")
	// A list above the highest generation settles it at once; bad news does too.
	v = fiveServerView()
	v.Apply(2*second, deltaList(20, entry("a", draining, second), entry("b", removed, second)))
	v.Apply(3*second, fullList(8, entry("a", serving, second), entry("b", serving, second), entry("c", serving, second), entry("d", serving, second), entry("e", serving, second)))
	u = v.Apply(4*second, deltaList(21, entry("a", serving, second), entry("b", draining, second)))
	assertEqual(t, "above the highest", describeChanges(u.Changes), "[a serves b drains]")
	assertEqual(t, "nothing waits", describeChanges(v.ReleaseDue(time.Hour)), "[]")
}

// Two registries that disagree, asked in turns: what drains by one of them gets nothing but for the waits' ends.
func TestTwoThatDisagree(t *testing.T) {
	v := fiveServerView()
	up := 0
	for i := range 300 {
		now := time.Duration(3+i) * second
		if i%2 == 0 {
			v.Apply(now, deltaList(uint64(100+i), entry("a", draining, second)))
		} else {
			v.Apply(now, deltaList(uint64(50+i), entry("a", serving, second)))
		}
		v.ReleaseDue(now)
		if v.Health("a") == serving {
			up++
		}
	}
	if up > 0 {
		t.Errorf("sent to in %d of 300 s", up)
	}
}

// The first two returns are believed at once, each further one waits longer; 30 s of calm clear it.
func TestFlapping(t *testing.T) {
	v := fiveServerView()
	g, now := uint64(10), second
	flap := func() (wait time.Duration) {
		g += 2
		now += 100 * time.Millisecond
		u := v.Apply(now, deltaList(g-1, entry("a", draining, second)))
		if v.Health("a") != draining {
			t.Fatalf("bad news waits: %v", u)
		}
		v.Apply(now, deltaList(g, entry("a", serving, second)))
		if v.Health("a") == serving {
			return 0
		}
		at, _ := v.NextRelease()
		wait = at - now
		now = at
		assertEqual(t, "in time", describeChanges(v.ReleaseDue(now)), "[a serves]")
		return wait
	}
	var waits []time.Duration
	for range 8 {
		waits = append(waits, flap())
	}
	assertEqual(t, "waits", waits, "[0s 0s 2s 4s 8s 16s 30s 30s]")
	now += 31 * second
	assertEqual(t, "after a calm", flap(), "0s")
	// One that never settles is served to for most of the time, and none of its drains waits.
	if u := v.Apply(now, deltaList(g+1, entry("a", serving, second))); len(u.Changes) > 0 {
		t.Error("told again")
	}
}

func TestDuplicatesAndConflicts(t *testing.T) {
	v := fiveServerView()
	u := v.Apply(2*second, deltaList(11, entry("a", serving, second), entry("a", draining, second), entry("b", removed, second), entry("b", serving, 2*second)))
	assertEqual(t, "worse news, newer process", describeChanges(u.Changes), "[a drains b serves]")
	assertEqual(t, "odd", anomalyKinds(u.Anomalies), "[a server stands in one list twice]")
	// Two at one address: the newer process has it, until it goes.
	at := func(id string, h decide.Health, started time.Duration) Entry {
		e := entry(id, h, started)
		e.Address = "c:1"
		return e
	}
	u = v.Apply(3*second, deltaList(12, at("new", serving, 3*second)))
	assertEqual(t, "the newer", describeChanges(u.Changes), "[c drains new serves]")
	assertEqual(t, "odd", anomalyKinds(u.Anomalies), "[two servers are said to be at one address]")
	u = v.Apply(3*second, deltaList(13, at("old", serving, second/2)))
	assertEqual(t, "the older", describeChanges(u.Changes), "[old drains]")
	u = v.Apply(4*second, deltaList(14, at("new", removed, 3*second)))
	if n := len(u.Changes); n < 2 || v.Health("new") != removed {
		t.Errorf("once it has gone: %v", describeChanges(u.Changes))
	}
	// Where starts are not known, both stay.
	v = fiveServerView()
	u = v.Apply(3*second, deltaList(12, at("same", serving, 0)))
	assertEqual(t, "unknown start", describeChanges(u.Changes), "[same serves]")
}

func TestBoundOnTheGone(t *testing.T) {
	v := New(Settings{MaxTombstones: 10})
	for i := range 1000 {
		id := fmt.Sprint("x", i)
		v.Apply(second, deltaList(uint64(2*i+1), entry(id, serving, second)))
		v.Apply(second, deltaList(uint64(2*i+2), entry(id, removed, second)))
	}
	assertEqual(t, "rows", v.Len(), 10)
}

// Whatever lists come: bad news is out in the same call; what is passed on is what a list says, or worse; all good
// news is believed within the stated bound; counts hold. Two lists in one second may tell anything.
func TestAnyLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(Settings{})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Duration(0)
		passed := map[string]Entry{} // as the loop has them
		last := map[string]Entry{}   // by the newest list
		since := map[string]time.Duration{}
		take := func(changes []Entry) {
			for _, e := range changes {
				if passed[e.ID] = e; e.Health == removed {
					delete(passed, e.ID)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "lists") {
			now += time.Duration(rng.IntN(5000)) * time.Millisecond
			take(v.ReleaseDue(now))
			l := &List{Generation: uint64(rng.IntN(40)), Whole: rng.IntN(3) == 0}
			told := map[string][]Entry{}
			for range rng.IntN(8) {
				e := entry(string(rune('a'+rng.IntN(6))), decide.Health(rng.IntN(3)), time.Duration(rng.IntN(3))*second)
				if rng.IntN(6) == 0 {
					e.Address = "shared:1"
				}
				l.Entries = append(l.Entries, e)
				told[e.ID] = append(told[e.ID], e)
			}
			take(v.Apply(now, l).Changes)
			if l.Whole {
				for id := range last {
					if told[id] == nil {
						delete(last, id)
						if _, ok := passed[id]; ok {
							t.Fatalf("%s was left out of a whole list and is kept", id)
						}
					}
				}
			}
			for id, all := range told {
				best := all[0]
				for _, e := range all[1:] {
					if e.Started > best.Started || e.Started == best.Started && e.Health > best.Health {
						best = e
					}
				}
				if last[id].Health != serving || last[id].ID == "" || best.Health != serving {
					since[id] = now
				}
				last[id] = best
				if best.Health != serving && passed[id].ID != "" && passed[id].Health == serving {
					t.Fatalf("%s is told %v and still served to", id, best.Health)
				}
			}
			serves := 0
			for id, e := range passed {
				if e.Health == serving {
					serves++
					if last[id].Health != serving || last[id].ID == "" {
						t.Fatalf("%s is served to and no list says so", id)
					}
				}
				if e.Health != v.Health(id) {
					t.Fatalf("%s: passed on as %v, known as %v", id, e.Health, v.Health(id))
				}
			}
			if serves != v.Serving() {
				t.Fatalf("%d serve, counted %d", serves, v.Serving())
			}
		}
		// No further list: all that serves by the newest word is served to, or another has its address.
		now += Settings{}.MaxDelay()
		take(v.ReleaseDue(now))
		if _, ok := v.NextRelease(); ok {
			t.Fatal("something waits for longer than stated")
		}
		for id, e := range last {
			if e.Health != serving || passed[id].Health == serving && passed[id].ID != "" {
				continue
			}
			taken := false
			for other, x := range passed {
				taken = taken || other != id && x.Health == serving && x.Address == v.records[id].Address
			}
			if !taken {
				t.Fatalf("%s serves by the newest list, and is not served to", id)
			}
		}
	})
}

// A change costs the same at any number of servers.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := New(Settings{})
			l := fullList(1)
			for i := range n {
				l.Entries = append(l.Entries, entry(fmt.Sprint("box-", i), serving, second))
			}
			v.Apply(0, l)
			g, now := uint64(1), time.Duration(0)
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint("box-", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ { // 5% a second: each drains, goes, and comes again as a new process
				id := ids[i%n]
				now += second / time.Duration(n/20)
				g += 3
				v.Apply(now, deltaList(g-2, entry(id, draining, second)))
				v.Apply(now, deltaList(g-1, entry(id, removed, second)))
				v.Apply(now, deltaList(g, entry(id, serving, now)))
			}
		})
	}
}
