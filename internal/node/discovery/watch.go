package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"curlewring/internal/servers/endpoints"
)

const (
	// overlap is how long the call before goes on once a newer one has been answered: what discovery wrote on it at the
	// same time has come by then.
	callOverlap = 250 * time.Millisecond
	// A call that is younger than this may still wait in discovery's queue: a second one beside it would only make the
	// queue longer.
	maxQueueTime = 4 * time.Second
)

// watch is a watch as RunWatch keeps it. It belongs to that goroutine.
type watchLoop struct {
	*Client
	active, wanted bool
	pausing        bool    // until the pause ends no call begins
	since          *uint64 // the generation that this node has; nil: none
	wholeListNext  bool    // the next call is for the whole list all the same
	unproven       bool    // the last call did not get through, or discovery is new

	everAnswered bool // discovery, since the watch began

	current       *pendingCall // nil: none is out
	previous      *pendingCall // one that was made anew: its answer may be on its way, and has counted as told since it was written
	previousTimer *time.Timer
	pauseTimer    *time.Timer // ends a pause before the next call
	restartTimer  *time.Timer // ends the wait of an early question for the call that is out
	acceptedTimer *time.Timer // tells that the newest call has been accepted
	results       chan callResult
	calls         sync.WaitGroup
}

// poll is a call that is out.
type pendingCall struct {
	wholeList bool
	since     *uint64
	started   time.Time
	pollWait  time.Duration // for which discovery was asked to wait
	cancel    context.CancelFunc
}

type callResult struct {
	*pendingCall
	list *endpoints.List
	err  error
}

// RunWatch keeps the watch, while it is wanted, until the context ends. A call
// that fails ends the watch: the module decides when to ask again. A long poll that
// was swallowed in silence is no such call, and is made anew at once.
// A watch that waits for that in vain at an old address begins anew with a move.
//
// Where lists are pushed the module asks for nothing: the watch on the agent goes on by itself, and what fails is
// tried again at once.
func (d *Client) RunWatch(ctx context.Context, since *uint64) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watchLoop{Client: d, since: since, results: make(chan callResult), previousTimer: time.NewTimer(0)}
	w.pauseTimer, w.restartTimer, w.acceptedTimer = stoppedTimer(), stoppedTimer(), stoppedTimer()
	w.active, w.wanted = d.listsPushed, d.listsPushed
	defer w.previousTimer.Stop()
	defer w.pauseTimer.Stop()
	defer w.restartTimer.Stop()
	defer w.acceptedTimer.Stop()
	defer w.calls.Wait()
	defer cancel()
	for {
		at := d.service.Load()
		if w.active && w.current == nil {
			w.startCall(ctx, at)
		}
		select {
		case <-ctx.Done():
			return
		case on := <-d.watchWanted:
			w.active, w.wanted = on && !w.pausing, on
			if !on {
				w.current = w.cancelCall(w.current)
				w.previous = w.cancelCall(w.previous)
			}
		case whole := <-d.restartWatch:
			if w.current != nil && w.current.wholeList {
				continue // that is as much as can be asked for
			}
			w.wholeListNext = w.wholeListNext || whole
			w.restart()
		case <-w.restartTimer.C:
			w.restart()
		case <-at.moved.Done():
			w.handleMove()
		case e := <-w.results:
			w.handleResult(e)
		case <-w.acceptedTimer.C:
			if w.current != nil && !w.current.wholeList {
				w.report(Update{PollAccepted: true})
			}
		case <-w.pauseTimer.C:
			w.active, w.pausing = w.wanted, false
		case <-w.previousTimer.C:
			w.previous = w.cancelCall(w.previous)
		}
	}
}

// stoppedTimer returns a timer that fires once it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// begin makes the next call.
func (w *watchLoop) startCall(ctx context.Context, at *service) {
	if from := w.resumeGeneration.Swap(nil); w.since == nil {
		w.since = from
	}
	ctx, cancel := context.WithCancel(ctx)
	whole := w.wholeListNext || w.since == nil || w.pacer.FetchesWholeList()
	p := &pendingCall{wholeList: whole, since: w.since, cancel: cancel, started: time.Now()}
	w.current, w.wholeListNext = p, false
	w.acceptedTimer.Stop()
	var call func() (*endpoints.List, error)
	switch {
	case p.since == nil:
		call = func() (*endpoints.List, error) { return w.Client.fetchWholeList(ctx, w.fetchFrom(at), 0) }
	case p.wholeList && w.listsPushed:
		call = func() (*endpoints.List, error) {
			return w.Client.fetchWholeList(ctx, w.fetchFrom(at), agentListTimeout)
		}
	case p.wholeList:
		call = func() (*endpoints.List, error) {
			return w.Client.fetchWholeList(ctx, w.fetchFrom(at), wholeListTimeout)
		}
	default:
		wait, patience := w.pollTimes(wallClock(), w.unproven)
		p.pollWait = wait
		if !w.listsPushed && wait > w.acceptedAfter {
			w.acceptedTimer.Reset(w.acceptedAfter)
		}
		query := fmt.Sprintf("?since=%d&timeout_ms=%d", *p.since, wait.Milliseconds())
		call = func() (*endpoints.List, error) { return w.fetchFrom(at)(ctx, query, patience) }
	}
	w.log.Debug("call to discovery", "whole", p.wholeList, "since", generationOrZero(p.since), "wait", p.pollWait)
	w.calls.Go(func() {
		defer cancel()
		l, err := call()
		w.log.Debug("call to discovery ended", "since", generationOrZero(p.since), "took", time.Since(p.started), "err", err)
		select {
		case w.results <- callResult{p, l, err}:
		case <-ctx.Done(): // called off
		}
	})
}

// early makes the next call before the one that is out has ended, once that one has left discovery's queue.
func (w *watchLoop) restart() {
	if w.current == nil {
		return // the next call is as early as discovery can bear
	}
	if wait := w.queueTime - time.Since(w.current.started); wait > 0 && !w.listsPushed {
		w.restartTimer.Reset(wait)
		return
	}
	w.replaceCurrent()
}

// move has the watch go on at discovery's new address. All nodes move at once, so each waits for a part of the time that a
// fleet of this size needs; what the old address still tells counts meanwhile.
func (w *watchLoop) handleMove() {
	if w.current != nil && w.current.wholeList && w.since != nil {
		w.wholeListNext = true
	}
	w.active, w.unproven = w.wanted, true // the new address has yet to prove itself
	w.replaceCurrent()
	if wait := w.moveDelay(); w.since != nil && wait > 0 {
		w.pauseCalls(wait)
	}
}

// rest puts the next call off.
func (w *watchLoop) pauseCalls(pause time.Duration) {
	w.active, w.pausing = false, true
	w.pauseTimer.Reset(pause)
}

// callOff ends a call, if there is one; nothing that it brings is taken any more.
func (w *watchLoop) cancelCall(p *pendingCall) *pendingCall {
	if p != nil {
		p.cancel()
	}
	return nil
}

// anew lets the next call begin beside the one that is out. Two are out at the most.
func (w *watchLoop) replaceCurrent() {
	if w.current == nil {
		return
	}
	w.previousTimer.Stop() // it was for the one before
	w.cancelCall(w.previous)
	w.previous, w.current = w.current, nil
}

// take takes the end of a call.
func (w *watchLoop) handleResult(e callResult) {
	switch e.pendingCall {
	case w.previous:
		w.previous = nil
		if e.err != nil { // the newer one tells whether discovery answers
			if f := classifyFailure(e.err, 0, 0); f.Reason == endpoints.PartialAnswer {
				w.report(Update{Failure: f, Unavailable: unavailableOf(e.err), MoreExpected: true})
			}
			return
		}
		// The module hears that the watch goes on, whatever came of the newer one; and what changes now counts as told. In an overload
		// all nodes may have been answered together, and calls at once would keep each other waiting for too long.
		if !w.pacer.Periodic() {
			w.active = w.wanted
		}
	case w.current:
		w.current = nil
		w.acceptedTimer.Stop()
		w.restartTimer.Stop() // whatever it was that should be asked early, it has been
		if e.err != nil {
			if !w.listsPushed || !w.unproven { // an agent is silent while discovery is down: told once
				w.log.Warn("the watch failed", "err", e.err)
			}
			w.handleFailure(e)
			return
		}
		w.unproven, w.everAnswered = false, true
		w.handleAnswer(e)
		if w.pausing { // the call before is all that is out: what is written on it counts as told, and no other brings it
			w.previousTimer.Stop()
		} else {
			w.previousTimer.Reset(callOverlap)
		}
	default:
		return // called off as it ended
	}
	if e.since != w.since && w.since != nil && e.list.Generation < *w.since {
		return // the other call has brought a newer one meanwhile
	}
	w.since = &e.list.Generation
	w.report(Update{List: e.list, CallDuration: time.Since(e.started), PollWait: e.pollWait, WatchPaused: w.pausing})
}

// answered takes an answer to the newest call, and puts the next one off if the pace has it so.
func (w *watchLoop) handleAnswer(e callResult) {
	news := w.since == nil || e.list.Generation != *w.since
	answer := endpoints.Answer{Took: time.Since(e.started), Whole: e.wholeList, Changed: news}
	if pause := w.pacer.RecordAnswer(wallClock(), answer); pause > 0 {
		w.pauseCalls(pause)
	}
}

// failed takes the end of the newest call, which brought no list.
func (w *watchLoop) handleFailure(e callResult) {
	f := classifyFailure(e.err, time.Since(e.started), e.pollWait)
	w.unproven = f.Reason == endpoints.Unreachable || f.Reason == endpoints.PartialAnswer
	if f.Reason != endpoints.PartialAnswer && !e.wholeList && errors.Is(e.err, context.DeadlineExceeded) {
		f.Reason, w.unproven = endpoints.PollTimedOut, true // it took long enough: the next begins at once
		w.report(Update{Failure: f})
		return
	}
	w.active, w.pausing = false, false
	w.pauseTimer.Stop()
	switch {
	case w.listsPushed:
		w.pauseCalls(agentRetryPause)
	case f.Reason == endpoints.Overloaded: // the module's own pause may end before
		w.pauseCalls(w.pacer.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: f.Took, AnsweredBefore: w.everAnswered, Servers: int(w.serverCount.Load())}))
	case f.Reason == endpoints.PollReset:
		w.everAnswered = true // every change would have come on it
		if pause := w.pacer.RecordReset(); pause > 0 {
			w.pauseCalls(pause)
		}
	}
	w.report(Update{Failure: f, Unavailable: unavailableOf(e.err)})
}

// generation is that of a list as logs have it; 0: none.
func generationOrZero(since *uint64) uint64 {
	if since == nil {
		return 0
	}
	return *since
}

// wallClock is the time by which the nodes of a fleet take turns.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
