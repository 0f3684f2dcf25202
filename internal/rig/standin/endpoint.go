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

// discoveryEndpoint is discovery as one node reaches it; its addresses identify the node. Discovery's mutex
// guards the fields that change.
type discoveryEndpoint struct {
	discovery        *Discovery
	node             string
	addresses        []endpointAddress
	falseListChanges int             // discovery's count at the last answer to the node
	silentUntil      []time.Duration // changes missed by a silenced long poll count as delivered from these times
	counts           CallCounts
}

// endpointAddress is an address at which an endpoint is served.
type endpointAddress struct {
	server *http.Server
	done   chan struct{}
}

// maxPollMillis is the longest timeout of a long poll, in milliseconds.
const maxPollMillis = 60000

// Reasons for which a call gets no list.
var (
	errBadQuery     = errors.New("invalid since or timeout_ms")
	errQueueFull    = errors.New("the queue of discovery is full")
	errQueueTimeout = errors.New("timed out in the queue of discovery")
	errUnavailable  = errors.New("discovery is down")
	errOutage       = errors.New("discovery went down during the call")
	errSilenced     = errors.New("the long poll was silenced")
	errClientLeft   = errors.New("the client closed the connection")
)

// listCall is one call for the list.
type listCall struct {
	since      int           // version that the client has; wholeList: none
	wait       time.Duration // how long the call waits if there is nothing new
	pollEnd    time.Duration // when that wait ends
	polling    bool          // nothing new has been found yet
	silencings int           // discovery's count when the call arrived
	outages    int           // discovery's count when the call arrived
}

const wholeList = -1

// parseListCall parses the parameters of a call.
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

// respond handles a call and answers with an error if it gets no list.
func (e *discoveryEndpoint) respond(w http.ResponseWriter, r *http.Request, call listCall) {
	err := e.handle(r.Context(), w, &call)
	e.updateCounts(func(c *CallCounts) { c.countEnd(err) })
	switch err {
	case nil, errClientLeft:
	case errSilenced:
		<-r.Context().Done()
	case errOutage:
		if e.discovery.pushed { // an agent is silent during an outage, and calls that met it stay silent
			<-r.Context().Done()
			return
		}
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// handle queues a call and writes its answer when its turn comes.
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

// admission is the place of a call in the queue.
type admission struct {
	readyAt  time.Duration // when its turn comes or it times out
	timedOut bool
	answer   *listAnswer // nil: nothing new yet
}

// admit queues a call that has arrived.
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
	lines := 0
	if n, _ := d.publishedVersion(now); e.hasAnswer(call, n, now) {
		a.answer = e.buildAnswer(call.since, n)
		lines = len(a.answer.Instances)
	}
	call.polling = a.answer == nil
	queued := d.queue.EnqueueCall(now, lines)
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

// answerInOutage ends a call that arrived during an outage after the delay of such answers.
func (d *Discovery) answerInOutage(ctx context.Context) error {
	if !waitForChange(ctx, nil, d.outageAnswerDelay) {
		return errClientLeft
	}
	return errUnavailable
}

// hasAnswer reports whether a call can be answered now; the mutex is held.
func (e *discoveryEndpoint) hasAnswer(call *listCall, version int, now time.Duration) bool {
	return call.since == wholeList || version > call.since || now >= call.pollEnd || e.falseListChanges != e.discovery.falseListChanges
}

// waitUntil waits for a time of discovery's clock, and returns an error if the call fails first.
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

// callFailure returns the error that ended a call in progress, if any; the mutex is held.
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

// awaitChange keeps a long poll open until there is something to answer and its turn in the queue has come.
func (e *discoveryEndpoint) awaitChange(ctx context.Context, call *listCall) (*listAnswer, error) {
	e.updateCounts(func(c *CallCounts) { c.OpenPolls++ })
	defer e.updateCounts(func(c *CallCounts) { c.OpenPolls-- })
	for {
		poll, err := e.checkPoll(call)
		if err != nil {
			return nil, err
		}
		if poll.answer != nil {
			return poll.answer, e.waitUntil(ctx, call, poll.readyAt)
		}
		if !waitForChange(ctx, poll.changed, poll.recheckAfter) {
			return nil, errClientLeft
		}
	}
}

// pollState is the state of an open long poll.
type pollState struct {
	answer       *listAnswer     // nil: nothing new
	readyAt      time.Duration   // when the answer's turn comes
	recheckAfter time.Duration   // how long until the poll must check again
	changed      <-chan struct{} // closed when it must check earlier
}

// checkPoll checks whether an open long poll can be answered, and queues its answer if so.
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

// waitForChange waits for a change or the timeout, and reports whether the client is still connected.
func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
