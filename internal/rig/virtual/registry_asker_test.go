package virtual

import (
	"time"

	"curlewring/decide"
	"curlewring/internal/servers/endpoints"
)

// failure says how a call to the registry ended without an answer.
type callFailure int

const (
	errorStatus  callFailure = iota // the registry answered with an HTTP status, at once or after a wait
	noConnection                    // none came up, or it was reset soon
	pollReset                       // the connection of an open long poll was reset
)

// wholePatience is after how long a call for the whole list is given up.
const fullListTimeout = 3 * time.Second

// wallAtStart is the least time of the wall clock at which a run begins.
const minWallClock = time.Hour

// asker is the real code of one node that decides when it asks and for how long. It is the one part of the rig that
// knows the interfaces of packages decide and endpoints.
type registryClient struct {
	balancer   *decide.Balancer
	polls      *endpoints.PollSchedule
	pacer      *endpoints.CallPacer
	startDelay time.Duration // how long a starting node that has a list leaves the turn to others
	moveDelay  time.Duration // the same after the registry has moved
	wallStart  time.Duration // at the run's begin
	unreached  bool          // the last call did not get through
	contacted  bool          // the registry, since the node started
}

// newAsker starts the code of one node of a tier.
func newRegistryClient(now, wall time.Duration, place endpoints.FleetPosition, askWithin time.Duration, draw float64) *registryClient {
	settings := decide.Settings{
		Node: place.NodeIndex, Nodes: place.NodeCount, Tier: place.Tier, Tiers: place.Tier + 1,
		MustSubscribe: true, ResubscribeWithin: askWithin,
		Classes: []decide.Class{{LatencyTarget: time.Second, Deadline: time.Second, Worth: 1}},
	}
	pace := endpoints.NewCallPacer(place)
	asking := endpoints.NewCallTiming(place.NodeCount, time.Second)
	return &registryClient{
		wallStart:  wall,
		balancer:   decide.New(settings, place.Seed, now),
		polls:      endpoints.NewPollSchedule(place),
		pacer:      pace,
		startDelay: min(asking.StartDelay(true, draw), askWithin/2),
		moveDelay:  pace.SpreadDelay(asking.StartSpread()),
	}
}

// pause is a wait that the module asks for before the next call.
type retryTimer struct {
	wait  time.Duration
	token uint64
}

// pauseIn finds the pause among actions. The module asks for one whenever it has no watch.
func findRetryTimer(actions []decide.Action) retryTimer {
	for _, action := range actions {
		if action.Kind == decide.StartTimer {
			return retryTimer{action.Wait, action.Token}
		}
	}
	panic("the module neither watches nor pauses")
}

// started takes the list of the node's last life, and returns the pause before the first call.
func (a *registryClient) handleStart(now time.Duration) retryTimer {
	return findRetryTimer(a.balancer.HandleList(now, decide.ListUpdate{Kind: decide.ListStored}, nil))
}

// answered takes an answer, which may hold the whole list, and returns the pause before the next call.
func (a *registryClient) handleAnswer(now time.Duration, whole bool, answer endpoints.Answer) (pause time.Duration) {
	a.unreached, a.contacted = false, true
	change := decide.ListDiff
	if whole {
		change = decide.ListFull
	}
	a.balancer.HandleList(now, decide.ListUpdate{Kind: change}, nil)
	return a.pacer.RecordAnswer(a.wallStart+now, answer)
}

// failed takes a call that ended without an answer, and returns the pause before the next.
func (a *registryClient) handleFailure(now, took time.Duration, servers int, how callFailure) retryTimer {
	a.unreached = how == noConnection
	p := findRetryTimer(a.balancer.HandleList(now, decide.ListUpdate{Kind: decide.ListFailed}, nil))
	switch how {
	case errorStatus:
		p.wait = max(p.wait, a.pacer.RecordOverload(a.wallStart+now, endpoints.OverloadedCall{Took: took, AnsweredBefore: a.contacted, Servers: servers}))
	case pollReset: // the node's own pause, whatever the module's
		a.contacted = true
		if pause := a.pacer.RecordReset(); pause > 0 {
			p.wait = pause
		}
	}
	return p
}

// resume takes the end of a pause, and tells whether the node asks now.
func (a *registryClient) handleTimer(now time.Duration, token uint64) bool {
	for _, action := range a.balancer.HandleTimer(now, decide.Timer{Token: token}, nil) {
		if action.Kind == decide.WatchList {
			return true
		}
	}
	return false
}

// wait is how long a call that begins now may wait at the registry, and after which time it is given up.
func (a *registryClient) nextPoll(now time.Duration) (wait, patience time.Duration) {
	if a.pacer.FetchesWholeList() {
		return 0, fullListTimeout
	}
	return a.polls.NextPoll(a.wallStart+now, a.unreached)
}

// gaveUp takes a long poll without an answer in its time. The next call begins at once.
func (a *registryClient) handleTimeout() { a.unreached = true }

// moved takes a new address of the registry, and returns the pause before the first call there.
func (a *registryClient) handleMove() time.Duration {
	a.unreached = true
	return a.moveDelay
}
