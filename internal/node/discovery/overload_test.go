package discovery

import (
	"testing"
	"time"

	. "curlewring/internal/node/nodetest"
	"curlewring/internal/servers/endpoints"
)

// A call that is out may still wait in discovery's queue: an early question must wait until it has left that, and then be
// asked all the same.
func TestEarlyQuestionWaitsForTheQueue(t *testing.T) {
	s := newHeldServer(t)
	d := New(s.address, place(), Quiet(), func(Update) {})
	d.queued = 300 * time.Millisecond
	stop := running(t, d, 3)
	defer stop()
	begun := time.Now()
	d.SetWatch(true)
	s.call(t)
	d.Renew(false)
	s.call(t)
	if took := time.Since(begun); took < d.queued {
		t.Errorf("the second call came %v after the first", took)
	}
}

// The end of the call that was in the queue answers the early question: no further call may go out for it.
func TestAnAnswerEndsAnEarlyQuestion(t *testing.T) {
	s := newHeldServer(t)
	lists := make(chan *endpoints.List, 10)
	d := New(s.address, place(), Quiet(), listsTo(lists))
	d.queued = 200 * time.Millisecond
	stop := running(t, d, 3)
	defer stop()
	d.SetWatch(true)
	first := s.call(t)
	d.Renew(false)
	first.write(t, ListOf(4, false, "127.0.0.1:1 DRAINING"))
	first.write(t, "")
	<-lists
	s.call(t) // the watch goes on
	select {
	case c := <-s.calls:
		t.Errorf("a further call %q", c.query)
	case <-time.After(3 * d.queued):
	}
}

// All nodes move with discovery at once. Each must wait for a part of the time that the fleet needs, while what the old
// address still writes counts.
func TestMovesAreSpread(t *testing.T) {
	old, next := newHeldServer(t), newHeldServer(t)
	lists := make(chan *endpoints.List, 10)
	d := New(old.address, place(), Quiet(), listsTo(lists))
	d.spread = func() time.Duration { return 400 * time.Millisecond }
	stop := running(t, d, 3)
	defer stop()
	d.SetWatch(true)
	first := old.call(t)
	moved := time.Now()
	d.Move(next.address)
	first.write(t, ListOf(4, false, "127.0.0.1:1 DRAINING"))
	first.write(t, "")
	if l := <-lists; l == nil || l.Generation != 4 {
		t.Errorf("reported %v, want what the old address wrote", l)
	}
	next.call(t)
	if took := time.Since(moved); took < 400*time.Millisecond {
		t.Errorf("the first call at the new address came after %v", took)
	}
}

// A node whose calls discovery had no capacity for must pause after an answer with changes, and must say why calls failed:
// the module's own pauses go by that.
func TestOverloadedWatchPauses(t *testing.T) {
	d := NewDiscoveryServer(t)
	updates := make(chan Update, 10)
	watched := New(d.Listener.Addr().String(), place(), Quiet(), func(u Update) { updates <- u })
	stop := running(t, watched, 3)
	defer stop()
	watched.SetWatch(true)
	d.Tell(t, "") // 503
	if u := <-updates; u.List != nil || u.Failure.Reason != endpoints.Overloaded || u.Failure.Wait <= 0 {
		t.Errorf("reported %+v", u)
	}
	watched.SetWatch(true)
	d.Tell(t, ListOf(4, false, "127.0.0.1:1 DRAINING"))
	<-updates
	answered := time.Now()
	WaitFor(t, "the watch goes on", func() bool { return d.Calls() == 3 })
	if took := time.Since(answered); took < 200*time.Millisecond {
		t.Errorf("the watch goes on after %v", took)
	}
}
