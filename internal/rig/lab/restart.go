package lab

import (
	"context"
	"sync"

	"curlewring/internal/rig/standin"
)

// restarts makes clients use a restarted node only once it is ready, as the protocol says.
type restarts struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   *sync.WaitGroup
}

func newRestarts() restarts {
	ctx, cancel := context.WithCancel(context.Background())
	return restarts{ctx, cancel, &sync.WaitGroup{}}
}

// add makes the client of a node that has just been started wait until it is ready.
func (r *restarts) add(p *process, client *standin.Client) {
	client.SetAvailable(false)
	r.wait.Go(func() {
		if p.waitReady(r.ctx) == nil {
			client.SetAvailable(true)
		}
	})
}

// close ends the waits.
func (r *restarts) close() {
	r.cancel()
	r.wait.Wait()
}
