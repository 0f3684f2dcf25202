package lab

import (
	"context"
	"errors"
	"sync"

	"curlewring/internal/rig/standin"
)

// restarts makes clients use a restarted node only once it is ready, as the protocol says.
type restarts struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	pending map[*process]context.CancelFunc // ends the waits for nodes that are not ready yet
}

func newRestarts() *restarts {
	ctx, cancel := context.WithCancel(context.Background())
	return &restarts{ctx: ctx, cancel: cancel, pending: map[*process]context.CancelFunc{}}
}

// add makes the client of a node that is started next wait until it is ready.
func (r *restarts) add(p *process, client *standin.Client) {
	r.stop(p)
	ctx, cancel := context.WithCancel(r.ctx)
	r.mu.Lock()
	r.pending[p] = cancel
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
	if cancel, ok := r.pending[p]; ok {
		cancel()
		delete(r.pending, p)
	}
}

// close ends the waits.
func (r *restarts) close() {
	r.cancel()
	r.wait.Wait()
}
