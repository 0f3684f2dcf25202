package endpoints

import (
	"testing"

	"pgregory.net/rapid"

	"curlewring/decide"
)

// A server that a newer list says is gone must not be opened again by an older word that still waits, and word of such servers
// must go first.
func TestNewerWordGoesFirst(t *testing.T) {
	var q ChangeQueue
	q.Add([]Entry{entry("a", serving, 0), entry("b", serving, 0), entry("c", removed, 0)})
	q.Add([]Entry{entry("d", serving, 0), entry("a", removed, 0)})
	assertEqual(t, "in order", describeChanges(q.Take(2)), []string{"a gone", "c gone"})
	assertEqual(t, "the rest", describeChanges(q.Take(9)), []string{"b serves", "d serves"})
	assertEqual(t, "left", q.Len(), 0)
}

// Whatever comes between the steps, each server ends as its newest word says, and once that is bad no good one follows.
func TestIncomingEndsWithTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q ChangeQueue
		newest, state := map[string]decide.Health{}, map[string]decide.Health{}
		take := func(most int) {
			for _, e := range q.Take(most) {
				if state[e.ID] = e.Health; newest[e.ID] != e.Health {
					t.Fatalf("%s is said to be %v, its newest word is %v", e.ID, e.Health, newest[e.ID])
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			var changes []Entry
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 6, rapid.ID[string]).Draw(t, "ids") {
				health := rapid.SampledFrom([]decide.Health{serving, draining, removed}).Draw(t, "health")
				newest[id] = health
				changes = append(changes, entry(id, health, 0))
			}
			q.Add(changes)
			take(rapid.IntRange(0, 4).Draw(t, "step"))
		}
		take(q.Len())
		for id := range newest {
			if state[id] != newest[id] {
				t.Fatalf("%s ends as %v, want %v", id, state[id], newest[id])
			}
		}
	})
}
