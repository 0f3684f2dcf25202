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
	overlap = 250 * time.Millisecond
	// A call that is younger than this may still wait in discovery's queue: a second one beside it would only make the
	// queue longer.
	queued = 4 * time.Second
)

// watch is a watch as RunWatch keeps it. It belongs to that goroutine.
type watch struct {
	*Client
	on, wanted bool
	resting    bool    // until the pause ends no call begins
	since      *uint64 // the generation that this node has; nil: none
	whole      bool    // the next call is for the whole list all the same
	lost       bool    // the last call did not get through, or discovery is new

	heard bool // discovery, since the watch began

	newest *poll // nil: none is out
	before *poll // one that was made anew: its answer may be on its way, and has counted as told since it was written
	limit  *time.Timer
	pause  *time.Timer // ends a pause before the next call
	again  *time.Timer // ends the wait of an early question for the call that is out
	kept   *time.Timer // tells that the newest call has been accepted
	ended  chan ended
	out    sync.WaitGroup
}

// poll is a call that is out.
type poll struct {
	whole  bool
	since  *uint64
	begun  time.Time
	wait   time.Duration // for which discovery was asked to wait
	cancel context.CancelFunc
}

type ended struct {
	*poll
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
	w := &watch{Client: d, since: since, ended: make(chan ended), limit: time.NewTimer(0)}
	w.pause, w.again, w.kept = stoppedTimer(), stoppedTimer(), stoppedTimer()
	w.on, w.wanted = d.pushed, d.pushed
	defer w.limit.Stop()
	defer w.pause.Stop()
	defer w.again.Stop()
	defer w.kept.Stop()
	defer w.out.Wait()
	defer cancel()
	for {
		at := d.service.Load()
		if w.on && w.newest == nil {
			w.begin(ctx, at)
		}
		select {
		case <-ctx.Done():
			return
		case on := <-d.watch:
			w.on, w.wanted = on && !w.resting, on
			if !on {
				w.newest = w.callOff(w.newest)
				w.before = w.callOff(w.before)
			}
		case whole := <-d.renew:
			if w.newest != nil && w.newest.whole {
				continue // that is as much as can be asked for
			}
			w.whole = w.whole || whole
			w.early()
		case <-w.again.C:
			w.early()
		case <-at.left.Done():
			w.move()
		case e := <-w.ended:
			w.take(e)
		case <-w.kept.C:
			if w.newest != nil && !w.newest.whole {
				w.report(Update{PollAccepted: true})
			}
		case <-w.pause.C:
			w.on, w.resting = w.wanted, false
		case <-w.limit.C:
			w.before = w.callOff(w.before)
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
func (w *watch) begin(ctx context.Context, at *service) {
	if from := w.from.Swap(nil); w.since == nil {
		w.since = from
	}
	ctx, cancel := context.WithCancel(ctx)
	whole := w.whole || w.since == nil || w.pace.FetchesWholeList()
	p := &poll{whole: whole, since: w.since, cancel: cancel, begun: time.Now()}
	w.newest, w.whole = p, false
	w.kept.Stop()
	var call func() (*endpoints.List, error)
	switch {
	case p.since == nil:
		call = func() (*endpoints.List, error) { return w.Client.whole(ctx, w.ask(at), 0) }
	case p.whole && w.pushed:
		call = func() (*endpoints.List, error) { return w.Client.whole(ctx, w.ask(at), agentWhole) }
	case p.whole:
		call = func() (*endpoints.List, error) { return w.Client.whole(ctx, w.ask(at), wholeWait) }
	default:
		wait, patience := w.poll(wallClock(), w.lost)
		p.wait = wait
		if !w.pushed && wait > w.accepted {
			w.kept.Reset(w.accepted)
		}
		query := fmt.Sprintf("?since=%d&timeout_ms=%d", *p.since, wait.Milliseconds())
		call = func() (*endpoints.List, error) { return w.ask(at)(ctx, query, patience) }
	}
	w.log.Debug("call to discovery", "whole", p.whole, "since", generation(p.since), "wait", p.wait)
	w.out.Go(func() {
		defer cancel()
		l, err := call()
		w.log.Debug("call to discovery ended", "since", generation(p.since), "took", time.Since(p.begun), "err", err)
		select {
		case w.ended <- ended{p, l, err}:
		case <-ctx.Done(): // called off
		}
	})
}

// early makes the next call before the one that is out has ended, once that one has left discovery's queue.
func (w *watch) early() {
	if w.newest == nil {
		return // the next call is as early as discovery can bear
	}
	if wait := w.queued - time.Since(w.newest.begun); wait > 0 && !w.pushed {
		w.again.Reset(wait)
		return
	}
	w.anew()
}

// move has the watch go on at discovery's new address. All nodes move at once, so each waits for a part of the time that a
// fleet of this size needs; what the old address still tells counts meanwhile.
func (w *watch) move() {
	if w.newest != nil && w.newest.whole && w.since != nil {
		w.whole = true
	}
	w.on, w.lost = w.wanted, true // the new address has yet to prove itself
	w.anew()
	if wait := w.spread(); w.since != nil && wait > 0 {
		w.rest(wait)
	}
}

// rest puts the next call off.
func (w *watch) rest(pause time.Duration) {
	w.on, w.resting = false, true
	w.pause.Reset(pause)
}

// callOff ends a call, if there is one; nothing that it brings is taken any more.
func (w *watch) callOff(p *poll) *poll {
	if p != nil {
		p.cancel()
	}
	return nil
}

// anew lets the next call begin beside the one that is out. Two are out at the most.
func (w *watch) anew() {
	if w.newest == nil {
		return
	}
	w.limit.Stop() // it was for the one before
	w.callOff(w.before)
	w.before, w.newest = w.newest, nil
}

// take takes the end of a call.
func (w *watch) take(e ended) {
	switch e.poll {
	case w.before:
		w.before = nil
		if e.err != nil { // the newer one tells whether discovery answers
			if f := failure(e.err, 0, 0); f.Reason == endpoints.PartialAnswer {
				w.report(Update{Failure: f, Unavailable: partial(e.err), MoreExpected: true})
			}
			return
		}
		// The module hears that the watch goes on, whatever came of the newer one; and what changes now counts as told. In an overload
		// all nodes may have been answered together, and calls at once would keep each other waiting for too long.
		if !w.pace.Periodic() {
			w.on = w.wanted
		}
	case w.newest:
		w.newest = nil
		w.kept.Stop()
		w.again.Stop() // whatever it was that should be asked early, it has been
		if e.err != nil {
			if !w.pushed || !w.lost { // an agent is silent while discovery is down: told once
				w.log.Warn("the watch failed", "err", e.err)
			}
			w.failed(e)
			return
		}
		w.lost, w.heard = false, true
		w.answered(e)
		if w.resting { // the call before is all that is out: what is written on it counts as told, and no other brings it
			w.limit.Stop()
		} else {
			w.limit.Reset(overlap)
		}
	default:
		return // called off as it ended
	}
	if e.since != w.since && w.since != nil && e.list.Generation < *w.since {
		return // the other call has brought a newer one meanwhile
	}
	w.since = &e.list.Generation
	w.report(Update{List: e.list, CallDuration: time.Since(e.begun), PollWait: e.wait, WatchPaused: w.resting})
}

// answered takes an answer to the newest call, and puts the next one off if the pace has it so.
func (w *watch) answered(e ended) {
	news := w.since == nil || e.list.Generation != *w.since
	answer := endpoints.Answer{Took: time.Since(e.begun), Whole: e.whole, Changed: news}
	if pause := w.pace.RecordAnswer(wallClock(), answer); pause > 0 {
		w.rest(pause)
	}
}

// failed takes the end of the newest call, which brought no list.
func (w *watch) failed(e ended) {
	f := failure(e.err, time.Since(e.begun), e.wait)
	w.lost = f.Reason == endpoints.Unreachable || f.Reason == endpoints.PartialAnswer
	if f.Reason != endpoints.PartialAnswer && !e.whole && errors.Is(e.err, context.DeadlineExceeded) {
		f.Reason, w.lost = endpoints.PollTimedOut, true // it took long enough: the next begins at once
		w.report(Update{Failure: f})
		return
	}
	w.on, w.resting = false, false
	w.pause.Stop()
	switch {
	case w.pushed:
		w.rest(agentPause)
	case f.Reason == endpoints.Overloaded: // the module's own pause may end before
		w.rest(w.pace.RecordOverload(wallClock(), endpoints.OverloadedCall{Took: f.Took, AnsweredBefore: w.heard, Servers: int(w.servers.Load())}))
	case f.Reason == endpoints.PollReset:
		w.heard = true // every change would have come on it
		if pause := w.pace.RecordReset(); pause > 0 {
			w.rest(pause)
		}
	}
	w.report(Update{Failure: f, Unavailable: partial(e.err)})
}

// generation is that of a list as logs have it; 0: none.
func generation(since *uint64) uint64 {
	if since == nil {
		return 0
	}
	return *since
}

// wallClock is the time by which the nodes of a fleet take turns.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }
