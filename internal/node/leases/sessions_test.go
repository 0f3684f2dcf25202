package leases

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"curlewring/internal/fleet/lease"
)

// No goroutine of a lease may outlive it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// callLoop is a Leases of which only the loop of calls runs, in virtual time.
type callLoop struct {
	*Leases
	logged bytes.Buffer
	calls  int // that were run
	stop   chan struct{}
}

// newCallLoop starts a loop with the given number of clients.
func newCallLoop(clients int) *callLoop {
	l := &callLoop{stop: make(chan struct{})}
	l.Leases = &Leases{calls: make(chan func()), done: make(chan struct{}), sessions: map[uint64]*session{}, settings: Settings{Name: "n0"}}
	l.log = slog.New(slog.NewTextHandler(&l.logged, nil))
	for life := range uint64(clients) {
		l.sessions[life] = &session{}
	}
	go func() {
		defer close(l.done)
		for {
			select {
			case call := <-l.Leases.calls:
				l.calls++
				call()
			case <-l.stop:
				return
			}
		}
	}()
	return l
}

// advance lets virtual time pass until all goroutines wait.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// onLoop runs a function on the loop.
func (l *callLoop) onLoop(f func()) {
	synctest.Wait()
	l.call(context.Background(), f)
	synctest.Wait()
}

// ownClient returns the client of the lease "own"; nil if there is none. It must be called on the loop.
func (l *callLoop) ownClient() (life uint64, found *session) {
	for life, s := range l.sessions {
		if s.client != nil && s.client.Lease() == "own" {
			return life, s
		}
	}
	return 0, nil
}

// checkWarnings checks how many warnings with a text were logged.
func (l *callLoop) checkWarnings(t *testing.T, text string, want int) {
	t.Helper()
	l.onLoop(func() {
		if got := strings.Count(l.logged.String(), text); got != want {
			t.Errorf("%d warnings with %q, want %d: %s", got, text, want, l.logged.String())
		}
	})
}

// A node at its limit of clients must log that once, go on requesting its own lease, and get it requested when
// another client has ended.
func TestLocalLeaseIsRequestedAgainAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newCallLoop(maxSessions)
		defer close(l.stop)
		own := l.Acquire("own", time.Second)
		advance(100 * localRetryInterval)
		l.checkWarnings(t, "maximum of 4096", 1)
		l.onLoop(func() {
			if l.calls < 80 || l.calls > 137 {
				t.Errorf("%d requests in 100 intervals of %v", l.calls, localRetryInterval)
			}
			delete(l.sessions, 0)
		})
		advance(localRetryInterval * 5 / 4)
		l.onLoop(func() {
			if _, s := l.ownClient(); s == nil {
				t.Error("the lease is not requested although another client has ended")
			}
		})
		own.Release()
		l.onLoop(func() {
			if _, s := l.ownClient(); s != nil && s.client.Phase() != lease.Releasing {
				t.Errorf("after Release the client is %v", s.client.Phase())
			}
		})
	})
}

// A request that the voters refuse, as their waiters are at the limit, must be made again, with one warning. After an
// answer the next end of a request is logged anew.
func TestRefusedLocalLeaseIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newCallLoop(0)
		defer close(l.stop)
		own := l.Acquire("own", time.Second)
		answer := func(outcome lease.Outcome) {
			l.onLoop(func() {
				life, s := l.ownClient()
				if s == nil {
					t.Errorf("the lease is not requested: %s", l.logged.String())
					return
				}
				s.client.HandleAnswer(0, lease.Answer{Outcome: outcome, Lease: "own", Seq: 1})
				l.tickSession(0, life, s)
			})
		}
		for range 3 {
			answer(lease.LimitReached)
			advance(localRetryInterval * 5 / 4)
		}
		l.checkWarnings(t, "limit of waiters", 1)
		answer(lease.Waiting)
		l.onLoop(func() {
			if life, s := l.ownClient(); s != nil {
				s.client.Abandon()
				l.tickSession(0, life, s)
			}
		})
		advance(localRetryInterval * 5 / 4)
		answer(lease.LimitReached)
		l.checkWarnings(t, "level=WARN", 2)
		own.Release()
		synctest.Wait()
	})
}

// A LocalLease that waits to be requested again must end with Release and with the leases, and must not be requested
// while the node leaves.
func TestWaitingLocalLeaseEnds(t *testing.T) {
	for _, clients := range []int{0, maxSessions} {
		synctest.Test(t, func(t *testing.T) {
			l := newCallLoop(clients)
			defer close(l.stop)
			l.Acquire("released", time.Second).Release()
			l.Acquire("left", time.Second)
			l.onLoop(func() {
				l.leaving = true
				clear(l.sessions)
			})
			l.Acquire("late", time.Second)
			advance(10 * localRetryInterval)
			l.onLoop(func() {
				if len(l.sessions) > 0 {
					t.Errorf("%d leases are requested while the node leaves", len(l.sessions))
				}
			})
		})
	}
}
