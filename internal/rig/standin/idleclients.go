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

// Idlers are controllers that each keep one connection to a node, and ask for
// something now and then.
type IdleClients struct {
	plan    *Plan
	clients []*Client
	class   int
	rng     *rand.Rand

	requests, served, unanswered atomic.Int64
}

// idleDials is how many of them connect or ask at once.
const maxIdleInFlight = 32

// NewIdlers makes count of them, spread over nodes, which ask for the plan's class
// that is worth least.
func NewIdleClients(plan *Plan, count int, nodes []*Client) *IdleClients {
	i := &IdleClients{plan: plan, rng: plan.newRand("idlers", 0)}
	for k := range plan.Classes {
		if plan.Classes[k].Worth < plan.Classes[i.class].Worth {
			i.class = k
		}
	}
	for k := range count {
		n := nodes[k%len(nodes)]
		i.clients = append(i.clients, NewClient(n.Node, n.address, plan, n.clock, n.judge))
	}
	return i
}

// Connect has each ask once, and returns when all have had an answer.
func (i *IdleClients) Connect(ctx context.Context) error {
	i.sendAll(ctx, 0)
	if err := ctx.Err(); err != nil {
		return err
	}
	if held := i.OpenConns(); held < len(i.clients) {
		return fmt.Errorf("%d of %d idle connections could be opened", held, len(i.clients))
	}
	return nil
}

// Wake has each ask again every so often, in the order in which they connected and
// spread over the time, until the context ends.
func (i *IdleClients) SendPeriodically(ctx context.Context, every time.Duration) {
	for ctx.Err() == nil {
		i.sendAll(ctx, every)
	}
}

// each has each ask once, spread over a time.
func (i *IdleClients) sendAll(ctx context.Context, over time.Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	turn := make(chan *Client)
	defer close(turn)
	for range maxIdleInFlight {
		seed := i.rng.Uint64()
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 5))
			for c := range turn {
				i.sendRequest(c, rng)
			}
		})
	}
	begun, alarm := time.Now(), time.NewTimer(0)
	defer alarm.Stop()
	for k, c := range i.clients {
		if wait := over*time.Duration(k)/time.Duration(len(i.clients)) - time.Since(begun); wait > 0 {
			alarm.Reset(wait)
			select {
			case <-alarm.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
		turn <- c
	}
}

func (i *IdleClients) sendRequest(c *Client, rng *rand.Rand) {
	class := &i.plan.Classes[i.class]
	i.requests.Add(1)
	answer := c.Do(context.Background(), Request{
		ID: fmt.Sprintf("%016x", rng.Uint64()), Class: i.class, Timeout: class.Deadline,
		Path: fmt.Sprintf("/%s/%s/%d", class.Name, i.plan.Sites[rng.IntN(len(i.plan.Sites))], rng.IntN(5000)),
		Key:  fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64()),
	})
	switch answer.Outcome {
	case judge.Served:
		i.served.Add(1)
	case judge.ConnectionLost, judge.ClientLeft:
		i.unanswered.Add(1)
	}
}

// Held is how many connections they have, as far as they know, and Opened how many
// they have opened in all.
func (i *IdleClients) OpenConns() (n int) {
	for _, c := range i.clients {
		c.mu.Lock()
		n += len(c.idle)
		c.mu.Unlock()
	}
	return n
}

func (i *IdleClients) ConnsOpened() (n int) {
	for _, c := range i.clients {
		n += c.ConnsOpened()
	}
	return n
}

// Counts are the requests so far: asked, served, and without an answer.
func (i *IdleClients) Counts() (asked, served, lost int64) {
	return i.requests.Load(), i.served.Load(), i.unanswered.Load()
}

// Close ends all their connections.
func (i *IdleClients) Close() {
	for _, c := range i.clients {
		c.Close()
	}
}
