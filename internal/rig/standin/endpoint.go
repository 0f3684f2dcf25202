package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"curlewring/internal/rig/standin/judge"
)

// discoveryEndpoint is discovery's address for one node, by which it knows whom it answers.
type discoveryEndpoint struct {
	discovery   *Discovery
	node        string
	server      *http.Server
	ended       chan struct{}
	falsehoods  int             // that its node has been answered since; discovery's mutex guards it
	silentUntil []time.Duration // until when what a silent long poll missed does not count as delivered; the same
}

// longestPoll is the longest wait that a long poll may ask for, in milliseconds.
const longestPoll = 60000

var errBadPoll = errors.New("odd since or timeout_ms")

// listCall is one call for the list.
type listCall struct {
	since    int           // the version that the caller has; wholeList: none
	wait     time.Duration // how long a call that finds nothing new waits
	end      time.Duration // when that is over
	silences int           // discovery's count when the call came
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
		return listCall{}, errBadPoll
	}
	ms, err := strconv.Atoi(query.Get("timeout_ms"))
	if err != nil || ms < 0 || ms > longestPoll {
		return listCall{}, errBadPoll
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
	e.serve(w, r, call)
}

// serve waits until a call's answer is due, and writes it.
func (e *discoveryEndpoint) serve(w http.ResponseWriter, r *http.Request, call listCall) {
	d := e.discovery
	d.mu.Lock()
	call.end = d.clock.Now() + call.wait
	call.silences = d.silences
	d.mu.Unlock()
	for {
		look := e.look(&call)
		switch {
		case look.silent:
			<-r.Context().Done()
			return
		case look.down && d.pushed: // an agent is silent meanwhile, and a call that met that stays so
			<-r.Context().Done()
			return
		case look.down:
			panic(http.ErrAbortHandler)
		case look.due:
			e.answer(w, r, call.since, look.version)
			return
		}
		if !sleepUntil(r, look.changed, look.next) {
			return
		}
	}
}

// pollState is what a waiting call finds.
type pollState struct {
	version int
	next    time.Duration   // how long until the call must look again
	changed <-chan struct{} // closed when it must look earlier
	down    bool
	due     bool // the answer is
	silent  bool // nothing comes on this call any more
}

// look finds out how things stand for a waiting call.
func (e *discoveryEndpoint) look(call *listCall) pollState {
	d := e.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.silences != call.silences {
		e.silentUntil = append(e.silentUntil, max(now+countedAfter, call.end+lateAfter))
		return pollState{silent: true}
	}
	n, next := d.version(now)
	return pollState{
		version: n, next: min(next, call.end-now), changed: d.changed, down: d.down,
		due: call.since == wholeList || n > call.since || now >= call.end || e.falsehoods != d.falsehoods,
	}
}

// sleepUntil waits for a change or an alarm, and tells whether the caller is still there.
func sleepUntil(r *http.Request, changed <-chan struct{}, alarm time.Duration) bool {
	timer := time.NewTimer(alarm)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return r.Context().Err() == nil
}

// listAnswer is an answer's body, in the protocol's form.
type listAnswer struct {
	Generation int     `json:"generation"`
	Whole      bool    `json:"reset"`
	Instances  []entry `json:"instances"`

	gone []string // boxes that a whole list leaves out
}

func (a *listAnswer) encode() ([]byte, error) {
	if a.Instances == nil {
		a.Instances = []entry{} // null otherwise
	}
	return json.Marshal(a)
}

// answer writes the list up to version n, in turn with all other answers.
func (e *discoveryEndpoint) answer(w http.ResponseWriter, r *http.Request, since, n int) {
	answer, turn := e.compose(since, n)
	select {
	case <-time.After(turn):
	case <-r.Context().Done():
		return
	}
	e.write(w, &answer)
}

// compose makes the answer to a call, and tells how long until it is its turn.
func (e *discoveryEndpoint) compose(since, n int) (listAnswer, time.Duration) {
	d := e.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	a := listAnswer{Generation: n}
	a.Whole = since == wholeList || since > n || d.empty || e.falsehoods != d.falsehoods
	e.falsehoods = d.falsehoods
	switch {
	case a.Whole && d.empty:
		a.gone = d.missing(n, nil)
	case a.Whole:
		a.Instances = withoutDeleted(d.upTo(0, n))
		a.gone = d.missing(n, a.Instances)
	default:
		a.Instances = d.upTo(since, n)
	}
	d.calls++
	d.lines += len(a.Instances)
	return a, d.turn(len(a.Instances) + 1)
}

// turn queues so many lines, and tells how long until they are sent; d.mu is held.
func (d *Discovery) turn(lines int) time.Duration {
	if d.linesPerSecond <= 0 {
		return 0
	}
	now := d.clock.Now()
	d.busyUntil = max(d.busyUntil, now) + time.Duration(lines)*time.Second/time.Duration(d.linesPerSecond)
	return d.busyUntil - now
}

// write sends an answer, and reports to the judge what it delivered.
func (e *discoveryEndpoint) write(w http.ResponseWriter, a *listAnswer) {
	text, err := a.encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	d := e.discovery
	w.Header().Set("Content-Type", "application/json")
	writing := d.clock.Now()
	if _, err := w.Write(text); err != nil || http.NewResponseController(w).Flush() != nil {
		return // not delivered
	}
	now := d.clock.Now()
	for i := range a.Instances {
		box := &a.Instances[i]
		at := now
		if box.state() == judge.Serving { // the node may go by it before this goroutine runs again
			at = writing
		}
		d.judge.Known(at, e.node, box.ID, box.state(), a.Generation, false)
	}
	for _, id := range a.gone {
		d.judge.Known(now, e.node, id, judge.Gone, a.Generation, false)
	}
}
