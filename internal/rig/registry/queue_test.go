package registry

import (
	"testing"
	"time"
)

// fortyCalls is a registry that works through 40 empty calls a second.
func fortyCalls() Settings {
	return Settings{LinesPerSecond: 1200, LinesPerCall: 30, QueueTimeout: 2 * time.Second, BacklogFactor: 2}
}

// tally counts outcomes of calls in a time.
type tally map[Outcome]int

// offer brings calls at an even rate, and counts the outcomes of those that come in the last part of the time.
func offer(q *Queue, from, until time.Duration, perSecond float64, last time.Duration) tally {
	counted := tally{}
	step := time.Duration(float64(time.Second) / perSecond)
	for now := from; now < until; now += step {
		admission := q.EnqueueCall(now, 0)
		if now >= until-last {
			counted[admission.Outcome]++
		}
	}
	return counted
}

func TestUnlimitedRegistryAnswersAtOnce(t *testing.T) {
	q := New(Settings{LinesPerCall: 30, QueueTimeout: time.Second, BacklogFactor: 1, ExternalLinesPerSecond: 1000})
	for now := range 1000 * time.Nanosecond {
		if a := q.EnqueueCall(now, 500); a != (Admission{Answered, now}) {
			t.Fatalf("call at %v: %v", now, a)
		}
	}
	if at := q.EnqueueLines(time.Second, 500); at != time.Second {
		t.Errorf("written at %v", at)
	}
}

func TestCallsAreWorkedThroughInTurn(t *testing.T) {
	q := New(fortyCalls())
	for i, want := range []time.Duration{25, 50, 75} {
		if a := q.EnqueueCall(0, 0); a != (Admission{Answered, want * time.Millisecond}) {
			t.Errorf("call %d: %v", i, a)
		}
	}
	// 65 ms of work are left after 10 ms; 30 lines of an answer take as long as the call itself.
	if a := q.EnqueueCall(10*time.Millisecond, 30); a != (Admission{Answered, 125 * time.Millisecond}) {
		t.Errorf("call with an answer: %v", a)
	}
	if at := q.EnqueueLines(10*time.Millisecond, 12); at != 135*time.Millisecond {
		t.Errorf("written at %v", at)
	}
	// The queue is empty by then, and work is not done ahead.
	if a := q.EnqueueCall(time.Second, 0); a != (Admission{Answered, 1025 * time.Millisecond}) {
		t.Errorf("call at an empty queue: %v", a)
	}
}

func TestWaitingCallsTimeOutAndSpendTheirWork(t *testing.T) {
	q := New(fortyCalls())
	for i := range 200 { // 80 are worked through within 2 s, and 81 more are queued up to 4 s of work
		a := q.EnqueueCall(0, 0)
		want := Admission{Answered, time.Duration(i+1) * 25 * time.Millisecond}
		switch {
		case i >= 161:
			want = Admission{Rejected, 0}
		case i >= 80:
			want = Admission{TimedOut, 2 * time.Second}
		}
		if a != want {
			t.Fatalf("call %d: %v, not %v", i, a, want)
		}
	}
	if left := q.Backlog(0); left != 161*25*time.Millisecond {
		t.Errorf("%v of work: those that time out spend theirs, those rejected none", left)
	}
}

func TestPersistentOverloadAnswersNobodyWhereOverbooked(t *testing.T) {
	q := New(fortyCalls())
	counted := offer(q, 0, 20*time.Second, 80, 10*time.Second)
	if counted[Answered] != 0 {
		t.Errorf("%v: a queue of 4 s of work answered within 2 s", counted)
	}
	if counted[TimedOut] < 390 || counted[TimedOut] > 410 {
		t.Errorf("%v: the capacity is 40 calls a second", counted)
	}
	if counted[Rejected] < 390 {
		t.Errorf("%v: the others are rejected", counted)
	}
}

func TestPersistentOverloadAnswersAtCapacityWhereNotOverbooked(t *testing.T) {
	settings := fortyCalls()
	settings.BacklogFactor = 0.9
	counted := offer(New(settings), 0, 20*time.Second, 80, 10*time.Second)
	if counted[Answered] < 390 || counted[TimedOut] != 0 {
		t.Errorf("%v", counted)
	}
}

func TestLoadUnderCapacityRecovers(t *testing.T) {
	q := New(fortyCalls())
	offer(q, 0, 20*time.Second, 120, time.Second)
	if left := q.Backlog(20 * time.Second); left < 3900*time.Millisecond {
		t.Fatalf("%v of work after an overload", left)
	}
	// A quarter of the capacity is left over: the backlog of 4 s goes in 16 s, and falls under 2 s after 8 s.
	counted := offer(q, 20*time.Second, 40*time.Second, 30, 10*time.Second)
	if counted[TimedOut]+counted[Rejected] != 0 || counted[Answered] < 299 {
		t.Errorf("%v", counted)
	}
	if left := q.Backlog(40 * time.Second); left > 25*time.Millisecond {
		t.Errorf("%v of work left", left)
	}
}

func TestOtherCallersTakeTheirShare(t *testing.T) {
	settings := fortyCalls()
	settings.ExternalLinesPerSecond = 600
	q := New(settings)
	if counted := offer(q, 0, 20*time.Second, 18, 20*time.Second); counted[Answered] != 361 {
		t.Errorf("%v under half of the capacity", counted)
	}
	if counted := offer(q, 20*time.Second, 80*time.Second, 25, 20*time.Second); counted[Answered] != 0 {
		t.Errorf("%v over half of the capacity", counted)
	}
}

func TestOtherCallersAloneFillTheQueueUpToItsLimit(t *testing.T) {
	settings := fortyCalls()
	settings.ExternalLinesPerSecond = 3000
	q := New(settings)
	if left := q.Backlog(time.Minute); left != 4*time.Second {
		t.Errorf("%v of work", left)
	}
	q.Clear(time.Minute)
	if left := q.Backlog(time.Minute); left != 0 {
		t.Errorf("%v of work in a registry that started anew", left)
	}
}
