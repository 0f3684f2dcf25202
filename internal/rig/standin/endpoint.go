package standin

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"curlewring/internal/rig/registry"
)

// discoveryEndpoint is discovery as one node reaches it: by its addresses it knows whom it answers. Discovery's mutex guards
// what changes.
type discoveryEndpoint struct {
	discovery        *Discovery
	node             string
	addresses        []endpointAddress
	falseListChanges int             // that its node has been answered since
	silentUntil      []time.Duration // until when what a silent long poll missed does not count as delivered
	counts           CallCounts
}

// address is one at which an endpoint is served.
type endpointAddress struct {
	server *http.Server
	done   chan struct{}
}

// longestPoll is the longest wait that a long poll may ask for, in milliseconds.
const maxPollMillis = 60000

// Why a call gets no list.
var (
	errBadQuery     = errors.New("odd since or timeout_ms")
	errQueueFull    = errors.New("the queue is full")
	errQueueTimeout = errors.New("waited in the queue for too long")
	errUnavailable  = errors.New("discovery is down")
	errOutage       = errors.New("discovery has gone down")
	errSilenced     = errors.New("the long poll has fallen silent")
	errClientLeft   = errors.New("the caller has left")
)

// listCall is one call for the list.
type listCall struct {
	since      int           // the version that the caller has; wholeList: none
	wait       time.Duration // how long a call that finds nothing new waits
	pollEnd    time.Duration // when that is over
	polling    bool          // nothing new has been found yet
	silencings int           // discovery's count when the call came
	outages    int           // the same
}

const wholeList = -1

// parseListCall reads a call's parameters.
func parseListCall(query url.Values) (listCall, error) {
	text := query.Get("since")
	if text == "" {
		return listCall{since: wholeList}, nil
	}
	since, err := strconv.Atoi(text)
	if err != nil || since < 0 {
		return listCall{}, errBadQuery
	}
	ms, err := strconv.Atoi(query.Get("timeout_ms"))
	if err != nil || ms < 0 || ms > maxPollMillis {
		return listCall{}, errBadQuery
	}
	return listCall{since: since, wait: time.Duration(ms) * time.Millisecond}, nil
}

// ServeHTTP answers a call for the list.
func (e *discoveryEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	call, err := parseListCall(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.respond(w, r, call)
}

// serve works through a call, and ends it as one that failed if it gets no list.
func (e *discoveryEndpoint) respond(w http.ResponseWriter, r *http.Request, call listCall) {
	err := e.handle(r.Context(), w, &call)
	e.updateCounts(func(c *CallCounts) { c.countEnd(err) })
	switch err {
	case nil, errClientLeft:
	case errSilenced:
		<-r.Context().Done()
	case errOutage:
		if e.discovery.pushed { // an agent is silent meanwhile, and a call that met that stays so
			<-r.Context().Done()
			return
		}
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// work queues a call, and writes its answer when that is due.
func (e *discoveryEndpoint) handle(ctx context.Context, w http.ResponseWriter, call *listCall) error {
	admitted, err := e.admit(call)
	if err == errUnavailable {
		return e.discovery.answerInOutage(ctx)
	}
	if err != nil {
		return err
	}
	if err := e.waitUntil(ctx, call, admitted.readyAt); err != nil {
		return err
	}
	if admitted.timedOut {
		return errQueueTimeout
	}
	answer := admitted.answer
	if answer == nil {
		if answer, err = e.awaitChange(ctx, call); err != nil {
			return err
		}
	}
	return e.write(w, answer)
}

// admission is a call's place in the queue.
type admission struct {
	readyAt  time.Duration // when its turn comes, or it has timed out
	timedOut bool
	answer   *listAnswer // nil: there is nothing new yet
}

// admit queues a call that has come.
func (e *discoveryEndpoint) admit(call *listCall) (admission, error) {
	d := e.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	call.pollEnd, call.silencings, call.outages = now+call.wait, d.silencings, d.outages
	e.counts.Received++
	if d.isDown && d.outageAnswerDelay > 0 && !d.pushed {
		return admission{}, errUnavailable
	}
	if d.isDown {
		return admission{}, errOutage
	}
	var a admission
	entries := 0
	if n, _ := d.publishedVersion(now); e.hasAnswer(call, n, now) {
		a.answer = e.buildAnswer(call.since, n)
		entries = len(a.answer.Instances)
	}
	call.polling = a.answer == nil
	queued := d.queue.EnqueueCall(now, entries)
	switch queued.Outcome {
	case registry.Rejected:
		return admission{}, errQueueFull
	case registry.TimedOut:
		a.timedOut = true
	case registry.Answered:
		d.countAnswer(a.answer)
	}
	a.readyAt = queued.DoneAt
	return a, nil
}

// failLate ends a call that came in an outage, when it has waited for as long as a call may.
func (d *Discovery) answerInOutage(ctx context.Context) error {
	if !waitForChange(ctx, nil, d.outageAnswerDelay) {
		return errClientLeft
	}
	return errUnavailable
}

// due tells whether there is something to answer to a call; the mutex is held.
func (e *discoveryEndpoint) hasAnswer(call *listCall, version int, now time.Duration) bool {
	return call.since == wholeList || version > call.since || now >= call.pollEnd || e.falseListChanges != e.discovery.falseListChanges
}

// await waits for a time of discovery's clock, unless the call fails before.
func (e *discoveryEndpoint) waitUntil(ctx context.Context, call *listCall, until time.Duration) error {
	d := e.discovery
	for {
		d.mu.Lock()
		now, changed, err := d.clock.Now(), d.changed, e.callFailure(call)
		d.mu.Unlock()
		if err != nil {
			return err
		}
		if now >= until {
			return nil
		}
		if !waitForChange(ctx, changed, until-now) {
			return errClientLeft
		}
	}
}

// failed tells what has ended a call under way, if anything; the mutex is held.
func (e *discoveryEndpoint) callFailure(call *listCall) error {
	d := e.discovery
	switch {
	case call.polling && d.silencings != call.silencings:
		e.silentUntil = append(e.silentUntil, max(d.clock.Now()+deliveryLimit, call.pollEnd+silentPollGrace))
		return errSilenced
	case d.outages != call.outages:
		return errOutage
	}
	return nil
}

// listen keeps a long poll open until there is something to answer, and that is its turn.
func (e *discoveryEndpoint) awaitChange(ctx context.Context, call *listCall) (*listAnswer, error) {
	e.updateCounts(func(c *CallCounts) { c.OpenPolls++ })
	defer e.updateCounts(func(c *CallCounts) { c.OpenPolls-- })
	for {
		found, err := e.checkPoll(call)
		if err != nil {
			return nil, err
		}
		if found.answer != nil {
			return found.answer, e.waitUntil(ctx, call, found.readyAt)
		}
		if !waitForChange(ctx, found.changed, found.recheckAfter) {
			return nil, errClientLeft
		}
	}
}

// pollState is what an open long poll finds.
type pollState struct {
	answer       *listAnswer     // nil: there is nothing new
	readyAt      time.Duration   // when the answer's turn comes
	recheckAfter time.Duration   // how long until the poll must look again
	changed      <-chan struct{} // closed when it must look earlier
}

// look finds out how things stand for an open long poll, and queues its answer if there is one.
func (e *discoveryEndpoint) checkPoll(call *listCall) (pollState, error) {
	d := e.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := e.callFailure(call); err != nil {
		return pollState{}, err
	}
	now := d.clock.Now()
	n, next := d.publishedVersion(now)
	if !e.hasAnswer(call, n, now) {
		return pollState{recheckAfter: min(next, call.pollEnd-now), changed: d.changed}, nil
	}
	call.polling = false
	answer := e.buildAnswer(call.since, n)
	d.countAnswer(answer)
	return pollState{answer: answer, readyAt: d.queue.EnqueueLines(now, len(answer.Instances))}, nil
}

// sleep waits for a change or an alarm, and tells whether the caller is still there.
func waitForChange(ctx context.Context, changed <-chan struct{}, alarm time.Duration) bool {
	timer := time.NewTimer(alarm)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
