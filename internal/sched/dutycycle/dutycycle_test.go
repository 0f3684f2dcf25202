package dutycycle

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever the rounds take, they have at most their share of the time.
func TestWorkKeepsToItsShare(t *testing.T) {
	rng := rand.New(rand.NewPCG(77, 1))
	for _, factor := range []int{0, 1, 4} {
		l, now, worked := New(factor, time.Second), time.Duration(0), time.Duration(0)
		for range 1000 {
			if !l.MayStart(now) {
				now = l.NextAt()
			}
			if !l.MayStart(now) {
				t.Fatalf("factor %d: the round may not start at its time", factor)
			}
			took := time.Duration(rng.IntN(3_000_000))
			l.RoundEnded(now, now+took)
			now, worked = now+took, worked+took
		}
		if total := l.NextAt(); worked*time.Duration(factor+1) > total {
			t.Errorf("factor %d: worked %v of %v", factor, worked, total)
		}
	}
}

// Guards against a long pause after a round in which the process stood still.
func TestPauseIsLimited(t *testing.T) {
	l := New(4, 20*time.Millisecond)
	l.RoundEnded(0, time.Minute)
	if got := l.NextAt(); got != time.Minute+20*time.Millisecond {
		t.Errorf("the next round may start at %v", got)
	}
}
