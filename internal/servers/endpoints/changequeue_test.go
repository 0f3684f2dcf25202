package endpoints

import (
	"testing"

	"pgregory.net/rapid"

	"curlewring/decide"
)

// A server that a newer list removes must not be readmitted by an older change that is still queued, and drains and
// removals must come first.
func TestNewerChangeReplacesQueuedOne(t *testing.T) {
	var q ChangeQueue
	q.Add([]Entry{entry("a", serving, 0), entry("b", serving, 0), entry("c", removed, 0)})
	q.Add([]Entry{entry("d", serving, 0), entry("a", removed, 0)})
	assertEqual(t, "first changes", describeChanges(q.Take(2)), []string{"a gone", "c gone"})
	assertEqual(t, "remaining changes", describeChanges(q.Take(9)), []string{"b serves", "d serves"})
	assertEqual(t, "queue length", q.Len(), 0)
}

// However adds and takes are interleaved, each server ends in its newest state, and no outdated change is handed out.
func TestChangeQueueEndsWithTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q ChangeQueue
		newest, applied := map[string]decide.Health{}, map[string]decide.Health{}
		take := func(limit int) {
			for _, e := range q.Take(limit) {
				if applied[e.ID] = e.Health; newest[e.ID] != e.Health {
					t.Fatalf("%s: change to %v, its newest change is to %v", e.ID, e.Health, newest[e.ID])
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
			if applied[id] != newest[id] {
				t.Fatalf("%s ends as %v, want %v", id, applied[id], newest[id])
			}
		}
	})
}

// Of two servers at one address in a long list, the queue must not publish the older process after its withdrawal.
func TestQueueKeepsTheLastChangeOfAServer(t *testing.T) {
	v := New(Settings{})
	older, newer := entry("older", serving, second), entry("newer", serving, 2*second)
	newer.Address = older.Address
	u := v.Apply(3*second, fullList(1, older, newer))
	var q ChangeQueue
	q.Add(u.Changes)
	for _, e := range q.Take(len(u.Changes)) {
		if e.Health != v.Health(e.ID) {
			t.Errorf("%s: queued as %v, the view returns %v", e.ID, e.Health, v.Health(e.ID))
		}
	}
}
