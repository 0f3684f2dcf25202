// Package worker runs the node's background work. A background.Scheduler chooses the job that
// may run next, and the worker runs one step of it.
//
// Run has one goroutine, which calls one step at a time. A step that works on state of another
// goroutine runs there, and returns how long it took there. The package doesn't decide when a
// job runs; the scheduler does.
package worker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"curlewring/internal/sched/background"
)

// Step does work for about slice: it must start nothing new once that time has passed. It
// returns how long it took and whether there is more to do.
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
	overrunLogged []bool // by job: an overrun has been logged
}

// Job is a registered kind of background work.
type Job struct {
	worker *Worker
	id     background.JobID
}

// New creates a worker without jobs.
func New(set background.Config, now func() time.Duration, log *slog.Logger) *Worker {
	return &Worker{now: now, log: log, wake: make(chan struct{}, 1), scheduler: background.New(set, now())}
}

// Add registers a job. It must be called before Run.
func (w *Worker) Add(name string, p background.Priority, step Step) *Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps, w.names, w.overrunLogged = append(w.steps, step), append(w.names, name), append(w.overrunLogged, false)
	return &Job{w, w.scheduler.Add(name, p)}
}

// Wake tells the scheduler that a job has work, which should be done within a time; 0: whenever.
// It doesn't block, and any goroutine may call it.
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

// Cancel withdraws the job's work until the next Wake.
func (j *Job) Cancel() {
	j.worker.mu.Lock()
	defer j.worker.mu.Unlock()
	j.worker.scheduler.Cancel(j.id)
}

// RecordLag records how long live requests had to wait at a time.
func (w *Worker) RecordLag(now, lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.scheduler.RecordLag(now, lag)
}

// Reports returns the statistics of the jobs.
func (w *Worker) Reports() []background.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scheduler.Reports()
}

// Run runs steps until the context is cancelled.
func (w *Worker) Run(ctx context.Context) {
	nextStep := time.NewTimer(0)
	defer nextStep.Stop()
	for {
		w.mu.Lock()
		grant, wait, ok := w.scheduler.Next(w.now())
		var step Step
		if ok {
			step = w.steps[grant.Job]
		}
		w.mu.Unlock()
		if ok {
			took, more := step(grant.Slice)
			w.mu.Lock()
			overran := w.scheduler.Done(w.now(), grant, took, more) && !w.overrunLogged[grant.Job]
			if overran {
				w.overrunLogged[grant.Job] = true
			}
			w.mu.Unlock()
			if overran {
				w.log.Warn("a step of background work overran; further ones are counted", "job", w.names[grant.Job], "took", took, "slice", grant.Slice)
			}
			if ctx.Err() != nil {
				return
			}
			continue
		}
		var timeout <-chan time.Time
		if wait > 0 {
			nextStep.Reset(wait)
			timeout = nextStep.C
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-timeout:
		}
	}
}
