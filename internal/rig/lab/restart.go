package lab

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"curlewring/internal/rig/standin"
)

// maxReadyTime is how long a restarted node may take to be ready if the run ends soon after.
const maxReadyTime = 6 * time.Second

// restarts makes clients use a restarted node only once it is ready, as the protocol says.
type restarts struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	pending map[*process]readyWait // nodes that are not ready yet
}

// readyWait is the wait for one node.
type readyWait struct {
	since  time.Time
	cancel context.CancelFunc
}

func newRestarts() *restarts {
	ctx, cancel := context.WithCancel(context.Background())
	return &restarts{ctx: ctx, cancel: cancel, pending: map[*process]readyWait{}}
}

// add makes the client of a node that is started next wait until it is ready.
func (r *restarts) add(p *process, client *standin.Client) {
	r.stop(p)
	ctx, cancel := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.pending[p] = readyWait{time.Now(), cancel}
	r.mu.Unlock()
	client.SetAvailable(false)
	r.wait.Go(func() {
		defer cancel()
		err := p.waitReady(ctx)
		for ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
			err = p.waitReady(ctx)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if err == nil && ctx.Err() == nil { // otherwise that process has been killed
			client.SetAvailable(true)
			delete(r.pending, p)
		}
	})
}

// stop ends the wait for a node that is killed, if there is one.
func (r *restarts) stop(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w, ok := r.pending[p]; ok {
		w.cancel()
		delete(r.pending, p)
	}
}

// finish ends all waits. A node that has been waited for longer than a limit counts as failed.
func (r *restarts) finish(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p, w := range r.pending {
		w.cancel()
		if waited := time.Since(w.since); waited > limit {
			p.fail(fmt.Errorf("%s was not ready %.1f s after its restart, at the end of the run", p.name, waited.Seconds()))
		}
	}
	clear(r.pending)
}

// close ends the waits.
func (r *restarts) close() {
	r.cancel()
	r.wait.Wait()
}
