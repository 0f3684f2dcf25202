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
	startTime := time.Now()
	w := New(background.Config{}, func() time.Duration { return time.Since(startTime) }, log)
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

// Steps must run one at a time until there is no more work, and again after another Wake.
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
	nodetest.WaitFor(t, "all work is done", func() bool { return left.Load() <= 0 })
	before := runs.Load()
	job.Wake(0)
	nodetest.WaitFor(t, "a job runs again", func() bool { return runs.Load() > before })
}

// A step that overruns its slice by far must be logged with its job's name, once.
func TestOverrunIsLoggedOnce(t *testing.T) {
	var text bytes.Buffer
	var runs atomic.Int64
	var job *Job
	w := start(t, slog.New(slog.NewTextHandler(&text, nil)), func(w *Worker) {
		job = w.Add("slow job", background.Optional, func(time.Duration) (time.Duration, bool) {
			runs.Add(1)
			return 20 * time.Millisecond, false
		})
	})
	for n := range int64(3) {
		job.Wake(time.Millisecond)
		nodetest.WaitFor(t, "the job has run", func() bool { return w.Reports()[0].Overruns == int(n)+1 })
	}
	if got := strings.Count(text.String(), "slow job"); got != 1 {
		t.Errorf("logged %d times: %s", got, text.String())
	}
}

// A cancelled job must not run, and Run must not wait at its end for a job that waits.
func TestCancelled(t *testing.T) {
	var runs atomic.Int64
	var job, after *Job
	w := start(t, nodetest.DiscardLogger(), func(w *Worker) {
		spend := func(time.Duration) (time.Duration, bool) { return 8 * time.Millisecond, false } // the whole budget
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
	nodetest.WaitFor(t, "the other job has run again", func() bool { return w.Reports()[0].Rounds == 2 })
	if runs.Load() != 0 {
		t.Errorf("%d steps of the cancelled job ran", runs.Load())
	}
}
