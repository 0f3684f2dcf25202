package endpoints

import (
	"testing"
	"time"
)

// Two servers that come and go faster than their holds end must not make the list of held servers grow, since each
// list and each release reads all of it.
func TestHeldServersAreListedOnce(t *testing.T) {
	v := fiveServerView()
	now, release, largest := second, time.Duration(0), 0
	for i := range 4000 {
		now += 300 * time.Millisecond
		e := entry([]string{"a", "b"}[i/2%2], draining, second)
		if i%2 == 1 {
			e.Health = serving
		}
		v.Apply(now, deltaList(uint64(11+i), e))
		if release > 0 && now >= release { // the node's timer
			v.ReleaseDue(now)
			release = 0
		}
		if at, ok := v.NextRelease(); ok && release == 0 {
			release = at
		}
		largest = max(largest, len(v.held))
	}
	if largest > 2*2 {
		t.Errorf("%d entries for two held servers", largest)
	}
}

// A server whose address belongs to a newer process, here that of server a, must not be listed again each time that
// it restarts, or that its drain arrives in an answer that was cut off.
func TestSupersededServersAreListedOnce(t *testing.T) {
	for name, between := range map[string]func(v *View, now time.Duration, old *Entry){
		"it restarts": func(_ *View, _ time.Duration, old *Entry) { old.Started += time.Millisecond },
		"partial answers": func(v *View, now time.Duration, old *Entry) {
			drained := *old
			drained.Health = draining
			v.ApplyPartial(now, []Entry{drained})
		},
	} {
		v, old := New(Settings{}), entry("old", serving, second)
		old.Address = "a:1"
		v.Apply(second, fullList(1, entry("a", serving, time.Hour)))
		for i := range 1000 {
			now := time.Duration(i+1) * time.Minute
			v.Apply(now, deltaList(uint64(2+i), old))
			between(v, now, &old)
		}
		if len(v.superseded) > 2 {
			t.Errorf("%s: %d entries for one server", name, len(v.superseded))
		}
	}
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
