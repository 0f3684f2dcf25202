// Package worker drives the node's background work: it asks a background.Core which
// job has a step, and runs that.
//
// Its one goroutine, in Run, owns nothing but that: a step runs on the goroutine that
// owns what it works on, and says how long it took there. The package must not decide
// when a job runs; that is the core's.
package worker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"curlewring/internal/sched/background"
)

// Step does a piece of work for no longer than slice, but for its last bit, and tells
// how long it took and whether there is more.
type Step func(slice time.Duration) (took time.Duration, more bool)

// Worker runs jobs one step after another.
type Worker struct {
	now  func() time.Duration
	log  *slog.Logger
	wake chan struct{}

	mu            sync.Mutex
	scheduler     *background.Scheduler
	steps         []Step
	names         []string
	overrunLogged []bool // that it overran
}

// Job is a kind of work.
type Job struct {
	worker *Worker
	id     background.JobID
}

// New makes a worker without jobs.
func New(set background.Config, now func() time.Duration, log *slog.Logger) *Worker {
	return &Worker{now: now, log: log, wake: make(chan struct{}, 1), scheduler: background.New(set, now())}
}

// Add enters a job, before Run.
func (w *Worker) Add(name string, p background.Priority, step Step) *Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps, w.names, w.overrunLogged = append(w.steps, step), append(w.names, name), append(w.overrunLogged, false)
	return &Job{w, w.scheduler.Add(name, p)}
}

// Wake tells that a job has work, to be through within so long; 0: whenever. It does
// not wait, and any goroutine may call it.
func (j *Job) Wake(within time.Duration) {
	w := j.worker
	w.mu.Lock()
	now := w.now()
	deadline := time.Duration(0)
	if within > 0 {
		deadline = now + within
	}
	w.scheduler.Wake(now, j.id, deadline)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Cancel puts a job to sleep.
func (j *Job) Cancel() {
	j.worker.mu.Lock()
	defer j.worker.mu.Unlock()
	j.worker.scheduler.Cancel(j.id)
}

// Lag tells how long live traffic has waited just now.
func (w *Worker) ReportLag(now, lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduler.RecordLag(now, lag)
}

// Reports are what the jobs have done.
func (w *Worker) Reports() []background.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scheduler.Reports()
}

// Run runs steps until the context ends.
func (w *Worker) Run(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		w.mu.Lock()
		g, wait, ok := w.scheduler.Next(w.now())
		var step Step
		if ok {
			step = w.steps[g.Job]
		}
		w.mu.Unlock()
		if ok {
			took, more := step(g.Slice)
			w.mu.Lock()
			overran := w.scheduler.Done(w.now(), g, took, more) && !w.overrunLogged[g.Job]
			if overran {
				w.overrunLogged[g.Job] = true
			}
			w.mu.Unlock()
			if overran {
				w.log.Warn("a step of background work overran; further ones are counted", "job", w.names[g.Job], "took", took, "slice", g.Slice)
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		var after <-chan time.Time
		if wait > 0 {
			pause.Reset(wait)
			after = pause.C
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-after:
		}
	}
}
