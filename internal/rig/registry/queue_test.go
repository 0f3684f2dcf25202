package registry

import (
	"testing"
	"time"
)

// settingsFor40Calls are the settings of a registry that handles 40 empty calls a second.
func settingsFor40Calls() Settings {
	return Settings{LinesPerSecond: 1200, LinesPerCall: 30, QueueTimeout: 2 * time.Second, BacklogFactor: 2}
}

// outcomeCounts counts calls by outcome.
type outcomeCounts map[Outcome]int

// offerLoad makes calls at an even rate, and counts the outcomes of those within the last part of the time.
func offerLoad(q *Queue, from, until time.Duration, perSecond float64, last time.Duration) outcomeCounts {
	counts := outcomeCounts{}
	step := time.Duration(float64(time.Second) / perSecond)
	for now := from; now < until; now += step {
		admission := q.EnqueueCall(now, 0)
		if now >= until-last {
			counts[admission.Outcome]++
		}
	}
	return counts
}

func TestUnlimitedRegistryAnswersAtOnce(t *testing.T) {
	q := New(Settings{LinesPerCall: 30, QueueTimeout: time.Second, BacklogFactor: 1, ExternalLinesPerSecond: 1000})
	for now := range 1000 * time.Nanosecond {
		if admission := q.EnqueueCall(now, 500); admission != (Admission{Answered, now}) {
			t.Fatalf("call at %v: admission %v", now, admission)
		}
	}
	if at := q.EnqueueLines(time.Second, 500); at != time.Second {
		t.Errorf("lines written at %v", at)
	}
}

func TestCallsAreAnsweredInOrder(t *testing.T) {
	q := New(settingsFor40Calls())
	for i, want := range []time.Duration{25, 50, 75} {
		if admission := q.EnqueueCall(0, 0); admission != (Admission{Answered, want * time.Millisecond}) {
			t.Errorf("call %d: admission %v", i, admission)
		}
	}
	// After 10 ms, 65 ms of work are left. An answer of 30 lines takes as long as the call itself.
	if admission := q.EnqueueCall(10*time.Millisecond, 30); admission != (Admission{Answered, 125 * time.Millisecond}) {
		t.Errorf("call with an answer: %v", admission)
	}
	if at := q.EnqueueLines(10*time.Millisecond, 12); at != 135*time.Millisecond {
		t.Errorf("lines written at %v", at)
	}
	// The queue is empty by then; idle time does not earn capacity.
	if admission := q.EnqueueCall(time.Second, 0); admission != (Admission{Answered, 1025 * time.Millisecond}) {
		t.Errorf("call at an empty queue: %v", admission)
	}
}

func TestTimedOutCallsCostWork(t *testing.T) {
	q := New(settingsFor40Calls())
	for i := range 200 { // 80 are answered within 2 s, and another 81 are queued up to 4 s of work
		admission := q.EnqueueCall(0, 0)
		want := Admission{Answered, time.Duration(i+1) * 25 * time.Millisecond}
		switch {
		case i >= 161:
			want = Admission{Rejected, 0}
		case i >= 80:
			want = Admission{TimedOut, 2 * time.Second}
		}
		if admission != want {
			t.Fatalf("call %d: admission %v, want %v", i, admission, want)
		}
	}
	if backlog := q.Backlog(0); backlog != 161*25*time.Millisecond {
		t.Errorf("backlog of %v: calls that time out cost work, rejected ones none", backlog)
	}
}

func TestOverloadWithLongQueueAnswersNoCall(t *testing.T) {
	q := New(settingsFor40Calls())
	counts := offerLoad(q, 0, 20*time.Second, 80, 10*time.Second)
	if counts[Answered] != 0 {
		t.Errorf("%v: calls were answered although the queue holds 4 s of work and the timeout is 2 s", counts)
	}
	if counts[TimedOut] < 390 || counts[TimedOut] > 410 {
		t.Errorf("%v: the capacity is 40 calls a second", counts)
	}
	if counts[Rejected] < 390 {
		t.Errorf("%v: the other calls must be rejected", counts)
	}
}

func TestOverloadWithShortQueueAnswersAtCapacity(t *testing.T) {
	settings := settingsFor40Calls()
	settings.BacklogFactor = 0.9
	counts := offerLoad(New(settings), 0, 20*time.Second, 80, 10*time.Second)
	if counts[Answered] < 390 || counts[TimedOut] != 0 {
		t.Errorf("outcomes %v", counts)
	}
}

func TestLoadUnderCapacityRecovers(t *testing.T) {
	q := New(settingsFor40Calls())
	offerLoad(q, 0, 20*time.Second, 120, time.Second)
	if backlog := q.Backlog(20 * time.Second); backlog < 3900*time.Millisecond {
		t.Fatalf("backlog of %v after an overload", backlog)
	}
	// A quarter of the capacity is free: the backlog of 4 s is done after 16 s, and drops below 2 s after 8 s.
	counts := offerLoad(q, 20*time.Second, 40*time.Second, 30, 10*time.Second)
	if counts[TimedOut]+counts[Rejected] != 0 || counts[Answered] < 299 {
		t.Errorf("outcomes %v", counts)
	}
	if backlog := q.Backlog(40 * time.Second); backlog > 25*time.Millisecond {
		t.Errorf("backlog of %v left", backlog)
	}
}

func TestExternalLoadTakesCapacity(t *testing.T) {
	settings := settingsFor40Calls()
	settings.ExternalLinesPerSecond = 600
	q := New(settings)
	if counts := offerLoad(q, 0, 20*time.Second, 18, 20*time.Second); counts[Answered] != 361 {
		t.Errorf("%v at under half of the capacity", counts)
	}
	if counts := offerLoad(q, 20*time.Second, 80*time.Second, 25, 20*time.Second); counts[Answered] != 0 {
		t.Errorf("%v at over half of the capacity", counts)
	}
}

func TestExternalLoadFillsQueueToLimit(t *testing.T) {
	settings := settingsFor40Calls()
	settings.ExternalLinesPerSecond = 3000
	q := New(settings)
	if backlog := q.Backlog(time.Minute); backlog != 4*time.Second {
		t.Errorf("backlog of %v", backlog)
	}
	q.Clear(time.Minute)
	if backlog := q.Backlog(time.Minute); backlog != 0 {
		t.Errorf("backlog of %v after a restart", backlog)
	}
}
