package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"curlewring/internal/rig/standin/judge"
)

// entry is a box as the Boxliste knows it, in the protocol's form.
type entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

func (e *entry) state() judge.State {
	switch e.Lifecycle {
	case "DRAINING":
		return judge.Draining
	case "DELETED":
		return judge.Gone
	}
	return judge.Serving
}

// change is one version of the list.
type change struct {
	entry
	visible time.Duration // from when it is told
}

// Liste is the Boxliste: whole lists, and watches that wait for changes. It
// tells each change some time after it happened, sends no more than so many
// lines a second to all, and may be out of order for a while.
type Liste struct {
	clock Clock
	judge *judge.Judge

	mu        sync.Mutex
	changes   []change // version n is changes[n-1]
	notice    time.Duration
	rate      int // lines a second; 0: any
	busyUntil time.Duration
	out       bool
	empty     bool          // it says that there is nothing
	frozen    time.Duration // it knows nothing of what it would have told later; 0: it does
	lies      int           // raised with each that begins or ends, so that watches hear of it
	changed   chan struct{} // closed and replaced with every change of any kind
	fronts    []*listeFront
	calls     int
	lines     int
	away      [][2]time.Duration // when it could not be reached, or told what was not so
	awaySince time.Duration      // 0: it can be
	pushed    bool               // each front is an agent: what it has counts as told at once
	swallowed int                // raised with each time that open watches fall silent
}

// toldAfter is how long after the list has had a change, and could be reached, it counts as told to every node; and a
// watch that has fallen silent counts as told of what it misses toldAfter later, or lateAfter the end of its wait.
const (
	toldAfter = 6 * time.Second
	lateAfter = 2 * time.Second
)

// listeFront is the Boxliste's address for one node, by which it knows whom it told.
type listeFront struct {
	liste  *Liste
	node   string
	server *http.Server
	ended  chan struct{}
	lies   int             // of which its node has heard; the liste's mutex guards it
	silent []time.Duration // until when what a swallowed watch has missed does not count as told; the same
}

// NewListe returns an empty list.
func NewListe(clock Clock, j *judge.Judge, notice time.Duration, rate int) *Liste {
	return &Liste{clock: clock, judge: j, notice: notice, rate: rate, changed: make(chan struct{})}
}

// newListe returns an empty list as a plan has it.
func newListe(clock Clock, j *judge.Judge, p *Plan) *Liste {
	l := NewListe(clock, j, p.Notice, p.LinesASecond)
	if p.Pushed {
		l.pushed, l.rate = true, 0
	}
	return l
}

// Front opens an address for one node.
func (l *Liste) Front(node, host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("boxliste: %w", err)
	}
	f := &listeFront{liste: l, node: node, ended: make(chan struct{})}
	f.server = &http.Server{Handler: f, ErrorLog: log.New(io.Discard, "", 0)}
	l.mu.Lock()
	l.fronts = append(l.fronts, f)
	l.mu.Unlock()
	go func() { // ends with Close
		defer close(f.ended)
		f.server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// Close ends all addresses.
func (l *Liste) Close() {
	l.mu.Lock()
	fronts := l.fronts
	l.fronts = nil
	l.mu.Unlock()
	for _, f := range fronts {
		f.server.Close()
		<-f.ended
	}
}

// Put tells of a box from the notice on, or at once.
func (l *Liste) Put(e entry, atOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.clock.Now()
	if !atOnce {
		at += l.notice
	}
	if n := len(l.changes); n > 0 {
		at = max(at, l.changes[n-1].visible) // in order
	}
	l.changes = append(l.changes, change{e, at})
	l.wake()
}

func (l *Liste) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Lag changes how long after it happened a change is told.
func (l *Liste) Lag(notice time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notice = notice
}

// Out puts the Boxliste out of order, or ends that. Watches end with it.
func (l *Liste) Out(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = on
	l.reach(!on)
	l.wake()
}

// reach notes whether it can be reached and tells the truth; l.mu is held.
func (l *Liste) reach(well bool) {
	now := max(1, l.clock.Now())
	switch {
	case !well && l.awaySince == 0:
		l.awaySince = now
	case well && l.awaySince > 0:
		l.away = append(l.away, [2]time.Duration{l.awaySince, now})
		l.awaySince = 0
	}
}

// Swallow has all watches that are open fall silent, as a network may: their connections stay, and nothing comes any more.
func (l *Liste) Swallow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.swallowed++
	l.wake()
}

// Settle tells the judge what counts as told without having been written. Nothing may be told after it.
func (l *Liste) Settle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reach(true)
	for n, c := range l.changes {
		for _, f := range l.fronts {
			l.judge.Known(f.due(c.visible), f.node, c.ID, c.state(), n+1, true)
		}
	}
}

// due is when a change counts as told to this front's node.
func (f *listeFront) due(visible time.Duration) time.Duration {
	after := toldAfter
	if f.liste.pushed {
		after = 0
	}
	at := visible + after
	for _, until := range f.silent {
		if visible < until {
			at = max(at, until)
		}
	}
	for _, x := range f.liste.away { // it could not be reached when the node should have asked
		if x[0] <= at && at-after < x[1] {
			at = max(at, x[1]+after)
		}
	}
	return at
}

// Empty has the Boxliste say that there is no box, as a whole list and of no generation's own, or ends that.
func (l *Liste) Empty(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = on
	l.reach(!on)
	l.lies++
	l.wake()
}

// Back has it go on from a backup that is so old: its generations run backwards, and what it says is what was true
// then. 0 ends that.
func (l *Liste) Back(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = 0
	if by > 0 {
		l.frozen = max(1, l.clock.Now()-by)
	}
	l.reach(by <= 0)
	l.lies++
	l.wake()
}

// Pace sets how many lines a second it can send from now on; 0: any.
func (l *Liste) Pace(lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = lines
}

// Calls is how many calls and list lines it has answered.
func (l *Liste) Calls() (calls, lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.lines
}

// version is the newest that may be told, and how long until the next may.
func (l *Liste) version(now time.Duration) (int, time.Duration) {
	if l.frozen > 0 {
		now = l.frozen
	}
	n := len(l.changes)
	for n > 0 && l.changes[n-1].visible > now {
		n--
	}
	if n < len(l.changes) {
		return n, l.changes[n].visible - now
	}
	return n, time.Hour
}

// upTo lists the newest entry of each box among versions (after, n].
func (l *Liste) upTo(after, n int) []entry {
	var entries []entry
	at := map[string]int{}
	for _, c := range l.changes[after:n] {
		if i, ok := at[c.ID]; ok {
			entries[i] = c.entry
			continue
		}
		at[c.ID] = len(entries)
		entries = append(entries, c.entry)
	}
	return entries
}

// ServeHTTP answers a call for the list.
func (f *listeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l := f.liste
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	since, waits := -1, time.Duration(0)
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.Atoi(text)
		ms, err2 := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		if err != nil || n < 0 || err2 != nil || ms < 0 || ms > 60000 {
			http.Error(w, "odd since or timeout_ms", http.StatusBadRequest)
			return
		}
		since, waits = n, time.Duration(ms)*time.Millisecond
	}
	end := l.clock.Now() + waits
	l.mu.Lock()
	swallowed := l.swallowed
	l.mu.Unlock()
	for {
		l.mu.Lock()
		now := l.clock.Now()
		if l.swallowed != swallowed {
			f.silent = append(f.silent, max(now+toldAfter, end+lateAfter))
			l.mu.Unlock()
			<-r.Context().Done()
			return
		}
		n, next := l.version(now)
		changed, out := l.changed, l.out
		ready := since < 0 || n > since || now >= end || f.lies != l.lies
		l.mu.Unlock()
		if out && l.pushed { // an agent is silent meanwhile, and a call that met that stays so
			<-r.Context().Done()
			return
		}
		if out {
			panic(http.ErrAbortHandler)
		}
		if ready {
			f.answer(w, r, since, n)
			return
		}
		alarm := time.NewTimer(min(next, end-now))
		select {
		case <-changed:
		case <-alarm.C:
		case <-r.Context().Done():
		}
		alarm.Stop()
		if r.Context().Err() != nil {
			return
		}
	}
}

// answer writes the list up to version n, in turn with all other answers.
func (f *listeFront) answer(w http.ResponseWriter, r *http.Request, since, n int) {
	l := f.liste
	l.mu.Lock()
	whole := since < 0 || since > n || l.empty || f.lies != l.lies
	f.lies = l.lies
	from := 0
	if !whole {
		from = since
	}
	entries := l.upTo(from, n)
	if whole {
		entries = slices.DeleteFunc(entries, func(e entry) bool { return l.empty || e.Lifecycle == "DELETED" })
	}
	turn := time.Duration(0)
	if l.rate > 0 {
		now := l.clock.Now()
		l.busyUntil = max(l.busyUntil, now) + time.Duration(len(entries)+1)*time.Second/time.Duration(l.rate)
		turn = l.busyUntil - now
	}
	gone := l.missing(whole, n, entries)
	l.calls++
	l.lines += len(entries)
	l.mu.Unlock()
	select {
	case <-time.After(turn):
	case <-r.Context().Done():
		return
	}
	text, err := json.Marshal(map[string]any{"generation": n, "reset": whole, "instances": append([]entry{}, entries...)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	writing := l.clock.Now()
	if _, err := w.Write(text); err != nil || http.NewResponseController(w).Flush() != nil {
		return // not told
	}
	now := l.clock.Now()
	for i := range entries {
		at := now
		if entries[i].state() == judge.Serving { // the node may go by it before this goroutine runs again
			at = writing
		}
		l.judge.Known(at, f.node, entries[i].ID, entries[i].state(), n, false)
	}
	for _, id := range gone {
		l.judge.Known(now, f.node, id, judge.Gone, n, false)
	}
}

// missing lists the boxes that a whole list leaves out.
func (l *Liste) missing(whole bool, n int, entries []entry) []string {
	if !whole {
		return nil
	}
	named := map[string]bool{}
	for i := range entries {
		named[entries[i].ID] = true
	}
	var gone []string
	for _, c := range l.changes[:n] {
		if !named[c.ID] {
			named[c.ID] = true
			gone = append(gone, c.ID)
		}
	}
	return gone
}

// known is the whole list as of now, as a node keeps it from its last life.
func (l *Liste) known() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, _ := l.version(l.clock.Now())
	entries := slices.DeleteFunc(l.upTo(0, n), func(e entry) bool { return e.Lifecycle == "DELETED" })
	text, err := json.Marshal(map[string]any{"generation": n, "reset": true, "instances": append([]entry{}, entries...)})
	if err != nil {
		return nil
	}
	return text
}
