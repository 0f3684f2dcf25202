package worker

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"curlewring/internal/node/nodetest"
	"curlewring/internal/sched/background"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, log *slog.Logger, jobs func(w *Worker)) *Worker {
	t.Helper()
	begun := time.Now()
	w := New(background.Config{}, func() time.Duration { return time.Since(begun) }, log)
	jobs(w)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// Steps run one at a time until there is no more, and again when woken meanwhile.
func TestStepsRunUntilDone(t *testing.T) {
	var left, running, runs atomic.Int64
	left.Store(100)
	var job, other *Job
	start(t, nodetest.DiscardLogger(), func(w *Worker) {
		step := func(time.Duration) (time.Duration, bool) {
			if running.Add(1) != 1 {
				t.Error("two steps at once")
			}
			defer running.Add(-1)
			runs.Add(1)
			return time.Microsecond, left.Add(-1) > 0
		}
		job, other = w.Add("a", background.Cleanup, step), w.Add("b", background.Obligation, step)
	})
	job.Wake(0)
	other.Wake(time.Second)
	nodetest.WaitFor(t, "all is done", func() bool { return left.Load() <= 0 })
	was := runs.Load()
	job.Wake(0)
	nodetest.WaitFor(t, "it runs again", func() bool { return runs.Load() > was })
}

// A step that overruns by far is told with its name, once.
func TestOverrunIsTold(t *testing.T) {
	var text bytes.Buffer
	var rounds atomic.Int64
	var job *Job
	w := start(t, slog.New(slog.NewTextHandler(&text, nil)), func(w *Worker) {
		job = w.Add("counting sheep", background.Optional, func(time.Duration) (time.Duration, bool) {
			rounds.Add(1)
			return 20 * time.Millisecond, false
		})
	})
	for n := range int64(3) {
		job.Wake(time.Millisecond)
		nodetest.WaitFor(t, "it has run", func() bool { return w.Reports()[0].Overruns == int(n)+1 })
	}
	if got := strings.Count(text.String(), "counting sheep"); got != 1 {
		t.Errorf("told %d times: %s", got, text.String())
	}
}

// What is cancelled does not run, and the end does not wait for what sleeps.
func TestCancelled(t *testing.T) {
	var runs atomic.Int64
	var job, after *Job
	w := start(t, nodetest.DiscardLogger(), func(w *Worker) {
		spend := func(time.Duration) (time.Duration, bool) { return 8 * time.Millisecond, false } // all of the budget
		after = w.Add("after", background.Obligation, spend)
		job = w.Add("job", background.Optional, func(time.Duration) (time.Duration, bool) {
			runs.Add(1)
			return 0, true
		})
	})
	after.Wake(0)
	nodetest.WaitFor(t, "the budget is spent", func() bool { return w.Reports()[0].Rounds == 1 })
	job.Wake(0)
	job.Cancel()
	after.Wake(0)
	nodetest.WaitFor(t, "another has run", func() bool { return w.Reports()[0].Rounds == 2 })
	if runs.Load() != 0 {
		t.Errorf("%d steps of what was cancelled", runs.Load())
	}
}
