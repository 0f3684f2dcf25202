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
	deleted  = decide.Removed
)

func entry(id string, h decide.Health, started time.Duration) Entry {
	return Entry{Server: decide.Server{ID: id, Health: h, Started: started, Weight: 1}, Address: id + ":1"}
}

func whole(g uint64, entries ...Entry) *List {
	return &List{Generation: g, Whole: true, Entries: entries}
}
func diff(g uint64, entries ...Entry) *List { return &List{Generation: g, Entries: entries} }

// changed lists changes as "id health".
func changed(entries []Entry) (all []string) {
	for _, e := range entries {
		all = append(all, fmt.Sprintf("%s %s", e.ID, [...]string{"serves", "drains", "gone"}[e.Health]))
	}
	slices.Sort(all)
	return all
}

func kinds(odd []Anomaly) (all []AnomalyKind) {
	for _, o := range odd {
		all = append(all, o.Kind)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func want(t *testing.T, what string, got any, wanted any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(wanted) {
		t.Errorf("%s: %v, want %v", what, got, wanted)
	}
}

const s = time.Second

// fleet is a view of a to e, serving at generation 10.
func fleet() *View {
	v := New(Settings{})
	v.Apply(s, whole(10, entry("a", serving, s), entry("b", serving, s), entry("c", serving, s),
		entry("d", serving, s), entry("e", serving, s)))
	return v
}

func TestUsualLists(t *testing.T) {
	v := fleet()
	want(t, "serving", v.Serving(), 5)
	u := v.Apply(2*s, diff(11, entry("a", draining, s), entry("f", serving, 2*s)))
	want(t, "changes", changed(u.Changes), "[a drains f serves]")
	u = v.Apply(3*s, whole(12, entry("b", serving, s), entry("c", serving, s), entry("d", serving, s),
		entry("e", serving, s), entry("f", serving, 2*s)))
	want(t, "a whole list", changed(u.Changes), "[a gone]")
	want(t, "odd", u.Anomalies, "[]")
	// A server that starts again, or moves, is told with its new start or address.
	u = v.Apply(4*s, diff(13, entry("b", serving, 4*s)))
	want(t, "a new process", changed(u.Changes), "[b serves]")
	moved := entry("c", serving, s)
	moved.Address = "z:9"
	u = v.Apply(4*s, diff(14, moved))
	want(t, "another address", u.Changes[0].Address, "z:9")
	want(t, "serving", v.Serving(), 5)
}

// Bad news counts at once, whatever else is odd; and an empty list is asked about again.
func TestSuddenLoss(t *testing.T) {
	v := fleet()
	u := v.Apply(2*s, whole(11))
	want(t, "changes", changed(u.Changes), "[a gone b gone c gone d gone e gone]")
	want(t, "odd", kinds(u.Anomalies), "[most servers are gone at once the whole list is empty]")
	want(t, "again", u.RefetchWhole, true)
	u = v.Apply(3*s, whole(12, entry("a", serving, s), entry("b", serving, s)))
	want(t, "they return", changed(u.Changes), "[a serves b serves]")
	v = fleet()
	u = v.Apply(2*s, diff(11, entry("a", deleted, s), entry("b", draining, s), entry("c", deleted, s)))
	want(t, "three of five", u.RefetchWhole, true)
	v = fleet()
	u = v.Apply(2*s, diff(11, entry("a", deleted, s), entry("b", draining, s)))
	want(t, "two of five", u.RefetchWhole, false)
	v = fleet()
	u = v.Apply(2*s, diff(11, entry("a", deleted, s), entry("b", deleted, s), entry("c", deleted, s),
		entry("a2", serving, 2*s), entry("b2", serving, 2*s), entry("c2", serving, 2*s)))
	want(t, "replaced in one list", u.RefetchWhole, false)
}

// A list from a backup: its bad news counts, what it brings back waits; a newer process, and what the old list
// knew nothing of, does not.
func TestGenerationBackwards(t *testing.T) {
	v := fleet()
	v.Apply(2*s, diff(20, entry("a", draining, s), entry("b", deleted, s), entry("c", deleted, s)))
	u := v.Apply(3*s, whole(8, entry("a", serving, s), entry("b", serving, s), entry("c", serving, 3*s),
		entry("d", serving, s), entry("new", serving, s)))
	want(t, "changes", changed(u.Changes), "[c serves e gone new serves]")
	want(t, "odd", kinds(u.Anomalies), "[an older list brings a server back the generation runs backwards]")
	at, ok := v.NextRelease()
	want(t, "next", fmt.Sprint(at, ok), "33s true")
	want(t, "before its time", changed(v.ReleaseDue(32*s)), "[]")
	// It counts on from there: no further doubt about what is told next.
	u = v.Apply(4*s, diff(9, entry("x", serving, s)))
	want(t, "the next", changed(u.Changes), "[x serves]")
	want(t, "odd", u.Anomalies, "[]")
	want(t, "in time", changed(v.ReleaseDue(33*s)), "[a serves b serves]")
	// A list above the highest generation settles it at once; bad news does too.
	v = fleet()
	v.Apply(2*s, diff(20, entry("a", draining, s), entry("b", deleted, s)))
	v.Apply(3*s, whole(8, entry("a", serving, s), entry("b", serving, s), entry("c", serving, s), entry("d", serving, s), entry("e", serving, s)))
	u = v.Apply(4*s, diff(21, entry("a", serving, s), entry("b", draining, s)))
	want(t, "above the highest", changed(u.Changes), "[a serves b drains]")
	want(t, "nothing waits", changed(v.ReleaseDue(time.Hour)), "[]")
}

// Two registries that disagree, asked in turns: what drains by one of them gets nothing but for the waits' ends.
func TestTwoThatDisagree(t *testing.T) {
	v := fleet()
	up := 0
	for i := range 300 {
		now := time.Duration(3+i) * s
		if i%2 == 0 {
			v.Apply(now, diff(uint64(100+i), entry("a", draining, s)))
		} else {
			v.Apply(now, diff(uint64(50+i), entry("a", serving, s)))
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
	v := fleet()
	g, now := uint64(10), s
	flap := func() (wait time.Duration) {
		g += 2
		now += 100 * time.Millisecond
		u := v.Apply(now, diff(g-1, entry("a", draining, s)))
		if v.Health("a") != draining {
			t.Fatalf("bad news waits: %v", u)
		}
		v.Apply(now, diff(g, entry("a", serving, s)))
		if v.Health("a") == serving {
			return 0
		}
		at, _ := v.NextRelease()
		wait = at - now
		now = at
		want(t, "in time", changed(v.ReleaseDue(now)), "[a serves]")
		return wait
	}
	var waits []time.Duration
	for range 8 {
		waits = append(waits, flap())
	}
	want(t, "waits", waits, "[0s 0s 2s 4s 8s 16s 30s 30s]")
	now += 31 * s
	want(t, "after a calm", flap(), "0s")
	// One that never settles is served to for most of the time, and none of its drains waits.
	if u := v.Apply(now, diff(g+1, entry("a", serving, s))); len(u.Changes) > 0 {
		t.Error("told again")
	}
}

func TestDuplicatesAndConflicts(t *testing.T) {
	v := fleet()
	u := v.Apply(2*s, diff(11, entry("a", serving, s), entry("a", draining, s), entry("b", deleted, s), entry("b", serving, 2*s)))
	want(t, "worse news, newer process", changed(u.Changes), "[a drains b serves]")
	want(t, "odd", kinds(u.Anomalies), "[a server stands in one list twice]")
	// Two at one address: the newer process has it, until it goes.
	at := func(id string, h decide.Health, started time.Duration) Entry {
		e := entry(id, h, started)
		e.Address = "c:1"
		return e
	}
	u = v.Apply(3*s, diff(12, at("new", serving, 3*s)))
	want(t, "the newer", changed(u.Changes), "[c drains new serves]")
	want(t, "odd", kinds(u.Anomalies), "[two servers are said to be at one address]")
	u = v.Apply(3*s, diff(13, at("old", serving, s/2)))
	want(t, "the older", changed(u.Changes), "[old drains]")
	u = v.Apply(4*s, diff(14, at("new", deleted, 3*s)))
	if n := len(u.Changes); n < 2 || v.Health("new") != deleted {
		t.Errorf("once it has gone: %v", changed(u.Changes))
	}
	// Where starts are not known, both stay.
	v = fleet()
	u = v.Apply(3*s, diff(12, at("same", serving, 0)))
	want(t, "unknown start", changed(u.Changes), "[same serves]")
}

func TestBoundOnTheGone(t *testing.T) {
	v := New(Settings{MaxTombstones: 10})
	for i := range 1000 {
		id := fmt.Sprint("x", i)
		v.Apply(s, diff(uint64(2*i+1), entry(id, serving, s)))
		v.Apply(s, diff(uint64(2*i+2), entry(id, deleted, s)))
	}
	want(t, "rows", v.Len(), 10)
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
				if passed[e.ID] = e; e.Health == deleted {
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
				e := entry(string(rune('a'+rng.IntN(6))), decide.Health(rng.IntN(3)), time.Duration(rng.IntN(3))*s)
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
				taken = taken || other != id && x.Health == serving && x.Address == v.rows[id].Address
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
			l := whole(1)
			for i := range n {
				l.Entries = append(l.Entries, entry(fmt.Sprint("box-", i), serving, s))
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
				now += s / time.Duration(n/20)
				g += 3
				v.Apply(now, diff(g-2, entry(id, draining, s)))
				v.Apply(now, diff(g-1, entry(id, deleted, s)))
				v.Apply(now, diff(g, entry(id, serving, now)))
			}
		})
	}
}
