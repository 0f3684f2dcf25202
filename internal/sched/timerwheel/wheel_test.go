package timerwheel

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 8 * time.Millisecond

// For any sequence of arming, rearming and cancelling, no timer may fire early or later than
// MaxLateness allows, be lost or fire twice.
func TestNoTimerIsEarlyLateOrLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "start"))
		w := New(tick, now)
		type timer struct{ at, latest time.Duration }
		armed := map[int32]timer{}
		lengths := rapid.OneOf(
			rapid.Int64Range(-int64(time.Second), int64(3*time.Second)),
			rapid.Int64Range(0, int64(10*time.Minute)),
			rapid.Int64Range(0, int64(40*time.Hour)))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := int32(rapid.IntRange(0, 3000).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				length := time.Duration(lengths.Draw(t, "length"))
				w.Arm(id, now+length)
				armed[id] = timer{now + length, now + max(0, length) + w.MaxLateness(length)}
			case 3:
				_, wasArmed := armed[id]
				if w.Cancel(id) != wasArmed {
					t.Fatalf("Cancel(%d) = %v", id, !wasArmed)
				}
				delete(armed, id)
			default:
				next, found := w.Next()
				if found != (len(armed) > 0) && len(armed) > 0 {
					t.Fatalf("%d timers are armed, but Next finds none", len(armed))
				}
				for id, a := range armed {
					if next > a.latest {
						t.Fatalf("Next is %v, but timer %d must fire by %v", next, id, a.latest)
					}
				}
				now += time.Duration(lengths.Draw(t, "on"))
				for _, id := range w.Advance(now, 1<<30, nil) {
					a, ok := armed[id]
					if !ok || a.at > now {
						t.Fatalf("timer %d fired at %v, set to %v (armed: %v)", id, now, a.at, ok)
					}
					delete(armed, id)
				}
				for id, a := range armed {
					if a.latest <= now {
						t.Fatalf("timer %d was due at %v, by %v at the latest, but has not fired at %v", id, a.at, a.latest, now)
					}
				}
			}
			now = max(now, w.latestTime) // the caller's time does not go back
			if w.Len() != len(armed) {
				t.Fatalf("%d timers are armed, Len is %d", len(armed), w.Len())
			}
		}
	})
}

// Each call of Advance returns a bounded number of timers, and the remaining due timers come
// first in the next call, in order.
func TestRemainingDueTimersComeFirst(t *testing.T) {
	const n = 100_000
	w := New(tick, 0)
	for id := range int32(n) {
		w.Arm(id, time.Second) // all at the same time
	}
	w.Arm(n, 1500*time.Millisecond)
	now, got := time.Second+tick, []int32(nil)
	for rounds := 0; len(got) <= n; rounds++ {
		if at, found := w.Next(); !found || at > now {
			t.Fatalf("%d due timers remain, but Next is %v", n-len(got), at)
		}
		before := len(got)
		if got = w.Advance(now, 64, got); len(got)-before > 64 || len(got) == before {
			t.Fatalf("round %d returned %d timers", rounds, len(got)-before)
		}
		now += time.Millisecond
	}
	for i, id := range got { // the later timer, which became due meanwhile, is the last
		if id != int32(i) {
			t.Fatalf("position %d has timer %d", i, id)
		}
	}
}

// A timer that is due and not yet returned can still be cancelled or rearmed.
func TestDueTimerCanBeCancelled(t *testing.T) {
	w := New(tick, 0)
	for id := range int32(3) {
		w.Arm(id, time.Second)
	}
	if got := w.Advance(2*time.Second, 1, nil); len(got) != 1 || got[0] != 0 {
		t.Fatal(got)
	}
	if !w.Cancel(1) {
		t.Error("timer 1 was not armed")
	}
	w.Arm(2, time.Minute)
	if got := w.Advance(2*time.Second, 9, nil); len(got) != 0 {
		t.Error(got)
	}
	if got := w.Advance(2*time.Minute, 9, nil); len(got) != 1 || got[0] != 2 {
		t.Error(got)
	}
}

// With timers armed at the same time and a slack, no tick may have more than a few times its
// share of them.
func TestArmSpreadDistributesTimers(t *testing.T) {
	const n = 100_000
	w := New(tick, 0)
	for id := range int32(n) {
		w.ArmSpread(id, time.Second, 800*time.Millisecond)
	}
	maxPerTick, total := 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += tick {
		got := len(w.Advance(now, n, nil))
		if got > 0 && now < time.Second {
			t.Fatalf("%d timers fired early, at %v", got, now)
		}
		maxPerTick, total = max(maxPerTick, got), total+got
	}
	if total != n || maxPerTick > 2*n/100 {
		t.Errorf("%d timers fired, up to %d in one tick", total, maxPerTick)
	}
}

// If the clock steps back or far ahead, no timer may be lost or fire early.
func TestClockSteps(t *testing.T) {
	w := New(tick, time.Hour)
	w.Arm(1, time.Hour+time.Second)
	if got := w.Advance(0, 9, nil); len(got) != 0 {
		t.Error(got)
	}
	if got := w.Advance(300*24*time.Hour, 9, nil); len(got) != 1 {
		t.Error(got)
	}
	w.Arm(2, 300*24*time.Hour+time.Second)
	if got := w.Advance(300*24*time.Hour+2*time.Second, 9, nil); len(got) != 1 {
		t.Error(got)
	}
}

func BenchmarkRearm(b *testing.B) {
	for _, n := range []int32{1_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := New(tick, 0)
			for id := range n {
				w.Arm(id, time.Hour)
			}
			b.ReportAllocs()
			b.ReportMetric(float64(w.Bytes())/float64(n), "B/timer")
			now, id := time.Duration(0), int32(0)
			for b.Loop() {
				w.Arm(id, now+time.Hour)
				id = (id + 7919) % n
				now += time.Microsecond
			}
		})
	}
}
