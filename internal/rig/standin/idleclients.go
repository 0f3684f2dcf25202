package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/internal/rig/standin/judge"
)

// IdleClients are clients that each keep one connection to a node and send a request on it from time to time.
type IdleClients struct {
	plan    *Plan
	clients []*Client
	class   int
	rng     *rand.Rand

	requests, served, unanswered atomic.Int64
}

// maxIdleInFlight limits how many of them connect or send at the same time.
const maxIdleInFlight = 32

// NewIdleClients returns count clients, distributed over the nodes, which send requests of the plan's class
// with the lowest worth.
func NewIdleClients(plan *Plan, count int, nodes []*Client) *IdleClients {
	idle := &IdleClients{plan: plan, rng: plan.newRand("idlers", 0)}
	for k := range plan.Classes {
		if plan.Classes[k].Worth < plan.Classes[idle.class].Worth {
			idle.class = k
		}
	}
	for k := range count {
		n := nodes[k%len(nodes)]
		idle.clients = append(idle.clients, NewClient(n.Node, n.address, plan, n.clock, n.judge))
	}
	return idle
}

// Connect has each client send one request and returns when all have ended.
func (idle *IdleClients) Connect(ctx context.Context) error {
	idle.sendAll(ctx, 0)
	if err := ctx.Err(); err != nil {
		return err
	}
	if open := idle.OpenConns(); open < len(idle.clients) {
		return fmt.Errorf("opened only %d of %d idle connections", open, len(idle.clients))
	}
	return nil
}

// SendPeriodically has each client send a request once per period, in the order of the clients and spread
// evenly over the period, until the context ends.
func (idle *IdleClients) SendPeriodically(ctx context.Context, every time.Duration) {
	for ctx.Err() == nil {
		idle.sendAll(ctx, every)
	}
}

// sendAll has each client send one request, spread evenly over the period.
func (idle *IdleClients) sendAll(ctx context.Context, period time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := make(chan *Client)
	defer close(next)
	for range maxIdleInFlight {
		seed := idle.rng.Uint64()
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 5))
			for c := range next {
				idle.sendRequest(c, rng)
			}
		})
	}
	start, timer := time.Now(), time.NewTimer(0)
	defer timer.Stop()
	for k, c := range idle.clients {
		if wait := period*time.Duration(k)/time.Duration(len(idle.clients)) - time.Since(start); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		next <- c
	}
}

func (idle *IdleClients) sendRequest(c *Client, rng *rand.Rand) {
	class := &idle.plan.Classes[idle.class]
	idle.requests.Add(1)
	response := c.Do(context.Background(), Request{
		ID: fmt.Sprintf("%016x", rng.Uint64()), Class: idle.class, Timeout: class.Deadline,
		Path: fmt.Sprintf("/%s/%s/%d", class.Name, idle.plan.Sites[rng.IntN(len(idle.plan.Sites))], rng.IntN(5000)),
		Key:  fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()),
	})
	switch response.Outcome {
	case judge.Served:
		idle.served.Add(1)
	case judge.ConnectionLost, judge.ClientLeft:
		idle.unanswered.Add(1)
	}
}

// OpenConns returns how many connections are open as far as the clients know.
func (idle *IdleClients) OpenConns() (n int) {
	for _, c := range idle.clients {
		c.mu.Lock()
		n += len(c.idle)
		c.mu.Unlock()
	}
	return n
}

// ConnsOpened returns how many connections the clients have opened in all.
func (idle *IdleClients) ConnsOpened() (n int) {
	for _, c := range idle.clients {
		n += c.ConnsOpened()
	}
	return n
}

// Counts returns the requests so far: sent, served, and without an answer.
func (idle *IdleClients) Counts() (requests, served, unanswered int64) {
	return idle.requests.Load(), idle.served.Load(), idle.unanswered.Load()
}

// Close closes all connections.
func (idle *IdleClients) Close() {
	for _, c := range idle.clients {
		c.Close()
	}
}
