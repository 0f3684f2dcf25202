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
	// callOverlap is how long the previous call continues after a newer one was answered. What
	// discovery has written on it at the same time arrives within that.
	callOverlap = 250 * time.Millisecond
	// A younger call may still be queued at discovery, where a second one would only make the queue
	// longer.
	maxQueueTime = 4 * time.Second
)

// watchLoop is the state of RunWatch, which only its goroutine uses.
type watchLoop struct {
	*Client
	active, wanted bool
	pausing        bool    // no call starts before the pause ends
	since          *uint64 // generation of this node's list; nil: it has none
	wholeListNext  bool    // the next call asks for the whole list in any case
	unproven       bool    // the last call didn't get through, or the address is new

	everAnswered bool // discovery has answered since the watch started

	current       *pendingCall // nil: none is pending
	previous      *pendingCall // replaced by current, but what discovery writes on it still counts as delivered
	previousTimer *time.Timer
	pauseTimer    *time.Timer // ends a pause between calls
	restartTimer  *time.Timer // restarts the watch once the pending call has left discovery's queue
	acceptedTimer *time.Timer // fires when the current long poll counts as accepted
	results       chan callResult
	calls         sync.WaitGroup
}

// pendingCall is a call to discovery.
type pendingCall struct {
	wholeList bool
	since     *uint64
	started   time.Time
	pollWait  time.Duration // how long discovery was asked to wait
	cancel    context.CancelFunc
}

type callResult struct {
	*pendingCall
	list *endpoints.List
	err  error
}

// RunWatch runs the watch, while it is turned on, until the context ends. A failed call ends the
// watch, and the balancer decides when to call again. A long poll that gets no answer at all
// isn't such a failure and is repeated at once. A watch that is waiting for a lost poll at an old
// address restarts when the address changes.
//
// If lists are pushed, the balancer requests nothing: the watch on the local agent runs by
// itself, and failed calls are repeated after a short pause.
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
				continue // a call for the whole list includes everything
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

// stoppedTimer returns a timer that doesn't fire before it is reset.
func stoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
}

// startCall starts the next call.
func (w *watchLoop) startCall(ctx context.Context, at *service) {
	if resumeFrom := w.resumeGeneration.Swap(nil); w.since == nil {
		w.since = resumeFrom
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
		wait, timeout := w.pollTimes(wallClock(), w.unproven)
		p.pollWait = wait
		if !w.listsPushed && wait > w.acceptedAfter {
			w.acceptedTimer.Reset(w.acceptedAfter)
		}
		query := fmt.Sprintf("?since=%d&timeout_ms=%d", *p.since, wait.Milliseconds())
		call = func() (*endpoints.List, error) { return w.fetchFrom(at)(ctx, query, timeout) }
	}
	w.log.Debug("discovery call started", "whole", p.wholeList, "since", generationOrZero(p.since), "wait", p.pollWait)
	w.calls.Go(func() {
		defer cancel()
		l, err := call()
		w.log.Debug("discovery call ended", "since", generationOrZero(p.since), "took", time.Since(p.started), "err", err)
		select {
		case w.results <- callResult{p, l, err}:
		case <-ctx.Done(): // canceled
		}
	})
}

// restart starts the next call before the pending one has ended, as soon as that one has left
// discovery's queue.
func (w *watchLoop) restart() {
	if w.current == nil {
		return // the next call starts as early as the pacer allows
	}
	if wait := w.queueTime - time.Since(w.current.started); wait > 0 && !w.listsPushed {
		w.restartTimer.Reset(wait)
		return
	}
	w.replaceCurrent()
}

// handleMove continues the watch at the new address. All nodes move at the same time, so each
// delays its call by a part of the time that a fleet of this size needs. What the old address still
// sends counts as delivered.
func (w *watchLoop) handleMove() {
	if w.current != nil && w.current.wholeList && w.since != nil {
		w.wholeListNext = true
	}
	w.active, w.unproven = w.wanted, true // no call to the new address has succeeded yet
	w.replaceCurrent()
	if wait := w.moveDelay(); w.since != nil && wait > 0 {
		w.pauseCalls(wait)
	}
}

// pauseCalls delays the next call.
func (w *watchLoop) pauseCalls(pause time.Duration) {
	w.active, w.pausing = false, true
	w.pauseTimer.Reset(pause)
}

// cancelCall cancels a call, if there is one. Its result is ignored.
func (w *watchLoop) cancelCall(p *pendingCall) *pendingCall {
	if p != nil {
		p.cancel()
	}
	return nil
}

// replaceCurrent lets the next call start beside the pending one. At most two are pending.
func (w *watchLoop) replaceCurrent() {
	if w.current == nil {
		return
	}
	w.previousTimer.Stop() // it was set for the call that is canceled now
	w.cancelCall(w.previous)
	w.previous, w.current = w.current, nil
}

// handleResult handles the end of a call.
func (w *watchLoop) handleResult(e callResult) {
	switch e.pendingCall {
	case w.previous:
		w.previous = nil
		if e.err != nil { // the current call shows whether discovery answers
			if f := classifyFailure(e.err, 0, 0); f.Reason == endpoints.PartialAnswer {
				w.report(Update{Failure: f, Unavailable: unavailableOf(e.err), MoreExpected: true})
			}
			return
		}
		// The balancer learns that the watch continues, whatever became of the current call,
		// and changes from now on count as delivered. In an overload all nodes may have been
		// answered at the same time, and immediate calls would queue up behind each other for too
		// long.
		if !w.pacer.Periodic() {
			w.active = w.wanted
		}
	case w.current:
		w.current = nil
		w.acceptedTimer.Stop()
		w.restartTimer.Stop() // the restart is no longer needed
		if e.err != nil {
			if !w.listsPushed || !w.unproven { // an agent doesn't answer while discovery is down: log it once
				w.log.Warn("discovery watch call failed", "err", e.err)
			}
			w.handleFailure(e)
			return
		}
		w.unproven, w.everAnswered = false, true
		w.handleAnswer(e)
		if w.pausing { // the previous call is the only pending one, and what is written on it counts as delivered
			w.previousTimer.Stop()
		} else {
			w.previousTimer.Reset(callOverlap)
		}
	default:
		return // canceled while it ended
	}
	if e.since != w.since && w.since != nil && e.list.Generation < *w.since {
		return // the other call has returned a newer list meanwhile
	}
	w.since = &e.list.Generation
	w.report(Update{List: e.list, CallDuration: time.Since(e.started), PollWait: e.pollWait, WatchPaused: w.pausing})
}

// handleAnswer handles an answer to the current call, and delays the next call as the pacer
// requires.
func (w *watchLoop) handleAnswer(e callResult) {
	changed := w.since == nil || e.list.Generation != *w.since
	answer := endpoints.Answer{Took: time.Since(e.started), Whole: e.wholeList, Changed: changed}
	if pause := w.pacer.RecordAnswer(wallClock(), answer); pause > 0 {
		w.pauseCalls(pause)
	}
}

// handleFailure handles the end of the current call without a list.
func (w *watchLoop) handleFailure(e callResult) {
	f := classifyFailure(e.err, time.Since(e.started), e.pollWait)
	w.unproven = f.Reason == endpoints.Unreachable || f.Reason == endpoints.PartialAnswer
	if f.Reason != endpoints.PartialAnswer && !e.wholeList && errors.Is(e.err, context.DeadlineExceeded) {
		f.Reason, w.unproven = endpoints.PollTimedOut, true // it waited long enough: call again at once
		w.report(Update{Failure: f})
		return
	}
	w.active, w.pausing = false, false
	w.pauseTimer.Stop()
	switch {
	case w.listsPushed:
		w.pauseCalls(agentRetryPause)
	case f.Reason == endpoints.Overloaded: // the balancer may want to call sooner
		w.pauseCalls(w.pacer.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: f.Took, AnsweredBefore: w.everAnswered, Servers: int(w.serverCount.Load())}))
	case f.Reason == endpoints.PollReset:
		w.everAnswered = true // all changes would have arrived on it
		if pause := w.pacer.RecordReset(); pause > 0 {
			w.pauseCalls(pause)
		}
	}
	w.report(Update{Failure: f, Unavailable: unavailableOf(e.err)})
}

// generationOrZero returns a generation for the log; 0: none.
func generationOrZero(since *uint64) uint64 {
	if since == nil {
		return 0
	}
	return *since
}

// wallClock returns the time by which the nodes of a fleet take turns.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
