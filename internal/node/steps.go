package node

import (
	"time"

	"curlewring/internal/node/worker"
)

// forgetOld drops what is no longer needed of other tiers' attempts, as background work.
func (l *loop) forgetOld(slice time.Duration) (took time.Duration, more bool) {
	begun := l.clock.Now()
	l.budgets.ledger.Expire(l.now, mostForgotten)
	return l.clock.Now() - begun, false
}

// mostForgotten bounds a step of forgetOld.
const mostForgotten = 512

// step makes a piece of background work of what runs on the loop's goroutine.
func (l *loop) step(f func(time.Duration) (time.Duration, bool)) worker.Step {
	done := make(chan result, 1)
	return func(slice time.Duration) (time.Duration, bool) {
		l.post(stepped{f, slice, done})
		select {
		case r := <-done:
			return r.took, r.more
		case <-l.ctx.Done():
			return 0, false
		}
	}
}
