package endpoints

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/decide"
)

// report is one answer of discovery in a generated order: a list, or the drains and removals of a partial answer.
type report struct {
	Generation uint64
	Whole      bool
	Partial    bool
	Pause      time.Duration
	Entries    []Entry
}

// GoString formats the report, with its generation as drawn, for the sequence that rapid prints.
func (r report) GoString() string {
	if r.Partial {
		return fmt.Sprint("\n\tpartial answer ", r.Generation, " after ", r.Pause, ": ", describeChanges(r.Entries))
	}
	return fmt.Sprint("\n\tlist ", r.Generation, " whole ", r.Whole, " after ", r.Pause, ": ", describeChanges(r.Entries))
}

// reports generates orders of reports about five servers.
var reports = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) report {
	entries := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Entry {
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
		health := rapid.SampledFrom([]decide.Health{serving, removed, removed, draining}).Draw(t, "health")
		return entry(id, health, time.Duration(rapid.IntRange(1, 2).Draw(t, "started"))*second)
	}), 0, 5, func(e Entry) string { return e.ID })
	return report{
		Generation: rapid.Uint64Range(1, 9).Draw(t, "generation"), Whole: rapid.Bool().Draw(t, "whole"),
		Partial: rapid.Bool().Draw(t, "partial"), Pause: time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * second,
		Entries: entries.Draw(t, "entries"),
	}
}), 12, 60)

// removal is what a node must remember of a server that discovery removed.
type removal struct {
	generation uint64        // of the removal
	returnedAt time.Duration // when the first older list named the server as serving again; 0: none has
}

// removals follows the reports that a view is given and knows which servers may not be published as serving yet.
type removals struct {
	started map[string]time.Duration // of the newest known process
	removed map[string]*removal
}

// remove records that a server is removed as of a generation.
func (m *removals) remove(id string, generation uint64) {
	r := m.removed[id]
	if r == nil {
		r = &removal{}
		m.removed[id] = r
	}
	r.generation, r.returnedAt = max(r.generation, generation), 0
}

// record follows one report.
func (m *removals) record(now time.Duration, generation uint64, whole bool, entries []Entry) {
	listed := map[string]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		r, newer := m.removed[e.ID], e.Started > m.started[e.ID]
		m.started[e.ID] = max(m.started[e.ID], e.Started)
		switch {
		case e.Health == removed:
			m.remove(e.ID, generation)
		case e.Health == serving && r != nil && (newer || generation >= r.generation):
			delete(m.removed, e.ID)
		case e.Health == serving && r != nil && r.returnedAt == 0:
			r.returnedAt = now
		}
	}
	for id := range m.started {
		r := m.removed[id]
		if whole && !listed[id] && (r == nil || r.returnedAt > 0) {
			m.remove(id, generation)
		}
	}
}

// check returns an error if a removed server is published as serving too early.
func (m *removals) check(v *View, now time.Duration) error {
	for id, r := range m.removed {
		if v.Health(id) != serving {
			continue
		}
		if r.returnedAt == 0 || now < r.returnedAt+v.settings.RollbackDelay {
			return fmt.Errorf("%s was removed in generation %d and is published by an older list", id, r.generation)
		}
		delete(m.removed, id)
	}
	return nil
}

// A server that discovery removed must not be published by an older list before RollbackDelay is over, whatever is
// reported in between, as long as fewer than MaxTombstones servers are removed.
func TestOlderListsHoldRemovedServers(t *testing.T) {
	// Each list is either above all before it or below the one before it, so that the view sees every step back.
	t.Run("StepsBack", rapid.MakeCheck(func(t *rapid.T) { checkRemovals(t, false) }))
	// Lists may also lie between an older list and the removal, or have the generation that the view has already.
	t.Run("AnyGeneration", rapid.MakeCheck(func(t *rapid.T) { checkRemovals(t, true) }))
}

func checkRemovals(t *rapid.T, anyGeneration bool) {
	v := New(Settings{MaxTombstones: 6}) // five servers are reported
	m := removals{map[string]time.Duration{}, map[string]*removal{}}
	now := second
	for _, r := range reports.Draw(t, "reports") {
		now += r.Pause
		v.ReleaseDue(now)
		if err := m.check(v, now); err != nil {
			t.Fatal(err)
		}
		generation := r.Generation
		if !anyGeneration && generation >= v.generation {
			generation = v.highestGeneration + 1
		}
		if r.Partial {
			var unavailable []Entry
			for _, e := range r.Entries {
				if e.Health != serving {
					unavailable = append(unavailable, e)
				}
			}
			v.ApplyPartial(now, r.Generation, unavailable)
			m.record(now, max(v.generation+1, r.Generation), false, unavailable) // newer than the list that the view has
		} else {
			v.Apply(now, &List{Generation: generation, Whole: r.Whole, Entries: r.Entries})
			m.record(now, generation, r.Whole, r.Entries)
		}
		if err := m.check(v, now); err != nil {
			t.Fatal(err)
		}
	}
}

// namedServers returns count servers of one release, all with one health.
func namedServers(release string, count int, h decide.Health) (all []Entry) {
	for i := range count {
		all = append(all, entry(fmt.Sprintf("%s-%04d", release, i), h, second))
	}
	return all
}

// release returns a list that replaces the servers of one release by those of another.
func release(generation uint64, from, to string, count int) *List {
	return deltaList(generation, append(namedServers(from, count, removed), namedServers(to, count, serving)...)...)
}

// Forced orders in which a view could forget a removal: an older list must not publish r at once.
func TestRemovalsAreNotForgotten(t *testing.T) {
	r, x, gone := entry("r", serving, second), entry("x", serving, second), entry("r", removed, second)
	for name, c := range map[string]struct {
		order func(*View)
		older *List
	}{
		"another server is removed 4096 times": {func(v *View) {
			v.Apply(second, fullList(10, r, x))
			v.Apply(2*second, deltaList(11, gone))
			for range 4096 {
				v.ApplyPartial(3*second, 0, []Entry{entry("x", removed, second)})
			}
		}, fullList(10, r)},
		"a list lies between the older list and the removal": {func(v *View) {
			v.Apply(second, fullList(10, r, x))
			v.Apply(2*second, deltaList(20, gone))
			v.Apply(3*second, fullList(8, x))
		}, fullList(9, r, x)},
		"removed by a partial answer, then the list before it": {func(v *View) {
			v.Apply(second, fullList(10, r, x))
			v.ApplyPartial(2*second, 0, []Entry{gone})
		}, fullList(10, r, x)},
		"removed by a partial answer, then lists between that and the list before it": {func(v *View) {
			v.Apply(second, fullList(10, r, x))
			v.ApplyPartial(2*second, 15, []Entry{gone})
			v.Apply(3*second, fullList(10, r, x))
			v.Apply(3*second, fullList(13, r, x))
		}, fullList(14, r, x)},
		"removed before a restart":                   {func(v *View) { v.Restore(fullList(10, gone, x), 10) }, fullList(8, r, x)},
		"removed before an older list and a restart": {func(v *View) { v.Restore(fullList(8, gone, x), 20) }, fullList(9, r, x)},
		"removed before an older list and two restarts": {func(v *View) {
			first := New(Settings{})
			first.Restore(fullList(8, gone, x), 20)
			first.Apply(second, fullList(8, x))
			v.Restore(fullList(8, gone, x), first.HighestGeneration())
		}, fullList(9, r, x)},
		"removed by a partial answer before an older list and a restart": {func(v *View) {
			first := New(Settings{})
			first.Apply(second, fullList(10, r, x))
			first.ApplyPartial(second, 0, []Entry{gone})
			first.Apply(second, fullList(8, x))
			v.Restore(fullList(8, gone, x), first.HighestGeneration())
		}, fullList(10, r, x)},
	} {
		t.Run(name, func(t *testing.T) {
			v := New(Settings{})
			c.order(v)
			assertEqual(t, "changes", describeChanges(v.Apply(4*second, c.older).Changes), "[]")
			assertEqual(t, "health", v.Health("r"), removed)
		})
	}
}

// More servers than MaxTombstones are replaced under new names: an older list must not publish the old ones at once.
func TestOlderListAfterLargeReleases(t *testing.T) {
	const count = 3200
	first := fullList(1, namedServers("first", count, serving)...)
	v := New(Settings{})
	v.Apply(second, first)
	v.Apply(2*second, release(2, "first", "second", count))
	v.Apply(3*second, release(3, "second", "third", count))
	v.Apply(4*second, deltaList(1, first.Entries...))
	assertEqual(t, "serving after two releases and a list of changes", v.ServingCount(), count)
	v = New(Settings{})
	v.Apply(second, first)
	v.Apply(2*second, release(2, "first", "second", count))
	v.Apply(3*second, first) // removes the second release as well
	assertEqual(t, "serving after one release and the whole list before it", v.ServingCount(), 0)
}

// A forgotten server that an older list names stays held, also if the next older list drains it in between.
func TestForgottenServerDrainsWhileHeld(t *testing.T) {
	v := New(Settings{MaxTombstones: 2})
	v.Apply(second, fullList(1000, namedServers("old", 3, serving)...))
	v.Apply(second, deltaList(1001, namedServers("old", 3, removed)...))
	for i, h := range []decide.Health{serving, draining, serving} {
		v.Apply(2*second, deltaList(uint64(500+i), entry("old-0000", h, second)))
	}
	assertEqual(t, "health", v.Health("old-0000"), draining)
	assertEqual(t, "held", v.held.Len(), 1)
}

// A server that comes and goes must not lose its count of returns because others are reported as removed.
func TestReturnsAreCountedOverEviction(t *testing.T) {
	v, generation := New(Settings{MaxTombstones: 8}), uint64(10)
	apply := func(e Entry) { generation++; v.Apply(second, deltaList(generation, e)) }
	for range 3 { // the first appearance and the two returns that are admitted at once
		apply(entry("r", serving, second))
		apply(entry("r", removed, second))
	}
	for range 8 {
		apply(entry("x", removed, second))
	}
	apply(entry("r", serving, second))
	assertEqual(t, "health at the third return", v.Health("r"), removed)
}
