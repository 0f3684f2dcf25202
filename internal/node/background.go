package node

import (
	"time"

	"curlewring/internal/node/worker"
)

// expireLedger drops expired ledger entries of other tiers' attempts, as background work.
func (l *loop) expireLedger(slice time.Duration) (took time.Duration, more bool) {
	startTime := l.clock.Now()
	l.budgets.ledger.Expire(l.now, maxExpiredPerStep)
	return l.clock.Now() - startTime, false
}

// maxExpiredPerStep bounds the entries that one step of expireLedger drops.
const maxExpiredPerStep = 512

// backgroundStep turns a function into a step of background work that runs on the loop's
// goroutine.
func (l *loop) backgroundStep(f func(time.Duration) (time.Duration, bool)) worker.Step {
	done := make(chan stepResult, 1)
	return func(slice time.Duration) (time.Duration, bool) {
		l.post(backgroundStep{f, slice, done})
		select {
		case r := <-done:
			return r.took, r.more
		case <-l.ctx.Done():
			return 0, false
		}
	}
}
