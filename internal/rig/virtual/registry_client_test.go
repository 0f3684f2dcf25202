package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// callFailure is the way in which a call to the registry failed.
type callFailure int

const (
	errorStatus  callFailure = iota // the registry answered with an HTTP error status, at once or after a wait
	noConnection                    // the connection could not be established, or was reset soon
	pollReset                       // the connection of an open long poll was reset
)

// fullListTimeout is the timeout of a call for the full list.
const fullListTimeout = 3 * time.Second

// minWallClock is the earliest wall-clock time at which a run starts.
const minWallClock = time.Hour

// registryClient is the real code that decides when a node calls the registry, and how long a call may take. It
// is the only part of the simulation that uses the interfaces of packages decide and endpoints.
type registryClient struct {
	balancer   *decide.Balancer
	polls      *endpoints.PollSchedule
	pacer      *endpoints.CallPacer
	startDelay time.Duration // before the first call of a starting node that has a list, so that others go first
	moveDelay  time.Duration // before the first call after the registry has moved
	wallStart  time.Duration // wall-clock time at the start of the run
	unreached  bool          // the last call did not reach the registry
	contacted  bool          // the registry has answered since the node started
}

// newRegistryClient returns the client of a starting node.
func newRegistryClient(now, wallStart time.Duration, position endpoints.FleetPosition, resubscribeWithin time.Duration, random float64) *registryClient {
	settings := decide.Settings{
		Node: position.NodeIndex, Nodes: position.NodeCount, Tier: position.Tier, Tiers: position.Tier + 1,
		MustSubscribe: true, ResubscribeWithin: resubscribeWithin,
		Classes: []decide.Class{{LatencyTarget: time.Second, Deadline: time.Second, Worth: 1}},
	}
	pacer := endpoints.NewCallPacer(position)
	timing := endpoints.NewCallTiming(position.NodeCount, time.Second)
	return &registryClient{
		wallStart:  wallStart,
		balancer:   decide.New(settings, position.Seed, now),
		polls:      endpoints.NewPollSchedule(position),
		pacer:      pacer,
		startDelay: min(timing.StartDelay(true, random), resubscribeWithin/2),
		moveDelay:  pacer.SpreadDelay(timing.StartSpread()),
	}
}

// retryTimer is the timer that the balancer starts before the next call.
type retryTimer struct {
	wait  time.Duration
	token uint64
}

// findRetryTimer finds the retry timer among actions. The balancer starts one whenever it does not watch the list.
func findRetryTimer(actions []decide.Action) retryTimer {
	for _, action := range actions {
		if action.Kind == decide.StartTimer {
			return retryTimer{action.Wait, action.Token}
		}
	}
	panic("the balancer neither watches the list nor starts a retry timer")
}

// handleStart passes the stored list of the node's last run to the balancer, and returns the timer before the
// first call.
func (c *registryClient) handleStart(now time.Duration) retryTimer {
	return findRetryTimer(c.balancer.HandleList(now, decide.ListUpdate{Kind: decide.ListStored}, nil))
}

// handleAnswer processes an answer, which may hold the full list, and returns the delay before the next call.
func (c *registryClient) handleAnswer(now time.Duration, fullList bool, answer endpoints.Answer) (delay time.Duration) {
	c.unreached, c.contacted = false, true
	kind := decide.ListDiff
	if fullList {
		kind = decide.ListFull
	}
	c.balancer.HandleList(now, decide.ListUpdate{Kind: kind}, nil)
	return c.pacer.RecordAnswer(c.wallStart+now, answer)
}

// handleFailure processes a failed call, and returns the timer before the next.
func (c *registryClient) handleFailure(now, duration time.Duration, listLines int, failure callFailure) retryTimer {
	c.unreached = failure == noConnection
	timer := findRetryTimer(c.balancer.HandleList(now, decide.ListUpdate{Kind: decide.ListFailed}, nil))
	switch failure {
	case errorStatus:
		timer.wait = max(timer.wait, c.pacer.RecordOverload(c.wallStart+now, endpoints.OverloadedCall{Took: duration, AnsweredBefore: c.contacted, Servers: listLines}))
	case pollReset: // the delay of the node replaces that of the balancer
		c.contacted = true
		if delay := c.pacer.RecordReset(); delay > 0 {
			timer.wait = delay
		}
	}
	return timer
}

// handleTimer processes the end of a retry timer, and reports whether the node calls now.
func (c *registryClient) handleTimer(now time.Duration, token uint64) bool {
	for _, action := range c.balancer.HandleTimer(now, decide.Timer{Token: token}, nil) {
		if action.Kind == decide.WatchList {
			return true
		}
	}
	return false
}

// nextPoll returns how long a call that starts now may wait at the registry, and the timeout of the call.
func (c *registryClient) nextPoll(now time.Duration) (wait, timeout time.Duration) {
	if c.pacer.FetchesWholeList() {
		return 0, fullListTimeout
	}
	return c.polls.NextPoll(c.wallStart+now, c.unreached)
}

// handleTimeout processes a long poll that timed out. The next call starts at once.
func (c *registryClient) handleTimeout() { c.unreached = true }

// handleMove processes a new address of the registry, and returns the delay before the first call there.
func (c *registryClient) handleMove() time.Duration {
	c.unreached = true
	return c.moveDelay
}
