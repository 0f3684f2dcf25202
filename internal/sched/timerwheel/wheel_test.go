package timerwheel

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tick = 8 * time.Millisecond

// Whatever is armed, armed anew and cancelled: no timer may be early or later than
// Lateness says, and none may be lost or come twice.
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
				_, was := armed[id]
				if w.Cancel(id) != was {
					t.Fatalf("cancelling %d told %v", id, !was)
				}
				delete(armed, id)
			default:
				next, found := w.Next()
				if found != (len(armed) > 0) && len(armed) > 0 {
					t.Fatalf("%d armed, and Next says never", len(armed))
				}
				for id, a := range armed {
					if next > a.latest {
						t.Fatalf("Next is %v, %d is due by %v", next, id, a.latest)
					}
				}
				now += time.Duration(lengths.Draw(t, "on"))
				for _, id := range w.Advance(now, 1<<30, nil) {
					a, ok := armed[id]
					if !ok || a.at > now {
						t.Fatalf("%d came at %v, armed for %v (%v)", id, now, a.at, ok)
					}
					delete(armed, id)
				}
				for id, a := range armed {
					if a.latest <= now {
						t.Fatalf("%d was due at %v, by %v at the latest, and has not come at %v", id, a.at, a.latest, now)
					}
				}
			}
			now = max(now, w.latestTime) // time does not go back for the owner
			if w.Len() != len(armed) {
				t.Fatalf("%d armed, %d told", len(armed), w.Len())
			}
		}
	})
}

// Work a call is bounded, and what is left over comes next, in its order.
func TestRemainingDueTimersComeFirst(t *testing.T) {
	const n = 100_000
	w := New(tick, 0)
	for id := range int32(n) {
		w.Arm(id, time.Second) // in one instant
	}
	w.Arm(n, 1500*time.Millisecond)
	now, got := time.Second+tick, []int32(nil)
	for rounds := 0; len(got) <= n; rounds++ {
		if at, found := w.Next(); !found || at > now {
			t.Fatalf("%d left over, and Next is %v", n-len(got), at)
		}
		was := len(got)
		if got = w.Advance(now, 64, got); len(got)-was > 64 || len(got) == was {
			t.Fatalf("round %d handed out %d", rounds, len(got)-was)
		}
		now += time.Millisecond
	}
	for i, id := range got { // the later one, which fell due meanwhile, is the last
		if id != int32(i) {
			t.Fatalf("place %d has %d", i, id)
		}
	}
}

// One that is due and waits to be handed out can still be cancelled or armed anew.
func TestDueTimerCanBeCancelled(t *testing.T) {
	w := New(tick, 0)
	for id := range int32(3) {
		w.Arm(id, time.Second)
	}
	if got := w.Advance(2*time.Second, 1, nil); len(got) != 1 || got[0] != 0 {
		t.Fatal(got)
	}
	if !w.Cancel(1) {
		t.Error("1 was not armed")
	}
	w.Arm(2, time.Minute)
	if got := w.Advance(2*time.Second, 9, nil); len(got) != 0 {
		t.Error(got)
	}
	if got := w.Advance(2*time.Minute, 9, nil); len(got) != 1 || got[0] != 2 {
		t.Error(got)
	}
}

// Armed in one instant, with slack: no tick may have more than a few times its share.
func TestArmSpreadDistributesTimers(t *testing.T) {
	const n = 100_000
	w := New(tick, 0)
	for id := range int32(n) {
		w.ArmSpread(id, time.Second, 800*time.Millisecond)
	}
	worst, all := 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += tick {
		got := len(w.Advance(now, n, nil))
		if got > 0 && now < time.Second {
			t.Fatalf("%d at %v", got, now)
		}
		worst, all = max(worst, got), all+got
	}
	if all != n || worst > 2*n/100 {
		t.Errorf("%d came, %d of them in one tick", all, worst)
	}
}

// The clock may step back or far ahead: nothing is lost or early.
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
