package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"curlewring/internal/budget"
	"curlewring/internal/rig/standin/judge"
)

// trouble is what a box does wrong at the moment.
type failureMode int

const (
	healthy      failureMode = iota
	hanging                  // takes requests, answers none
	resetting                // runs requests, and resets the connection
	refusing                 // listens no longer
	unresponsive             // its machine has vanished: nothing comes, nothing goes
	malformed                // runs requests, and answers noise
	failing                  // runs nothing, answers 500
	rejecting                // answers all with X-Turned-Away
	crashed                  // its process has ended
)

// rack remembers the keys of what its boxes have run.
type keyStore struct {
	mu    sync.Mutex
	ranAt map[string]time.Duration
}

// first tells whether a key is new within the window, and notes it.
func (r *keyStore) addIfNew(key string, now, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.ranAt[key]; ok && now-at < window {
		return false
	}
	if len(r.ranAt) > 4096 {
		for k, at := range r.ranAt {
			if now-at >= window {
				delete(r.ranAt, k)
			}
		}
	}
	r.ranAt[key] = now
	return true
}

// Box is one box on a real socket.
type Server struct {
	ID      string
	Site    string
	Rack    int
	Tier    int
	Address string
	speed   float64

	plan      *Plan
	clock     Clock
	judge     *judge.Judge
	keys      *keyStore
	callGraph *callGraph
	nextTier  *Client // calls to the next tier go through this node; nil: there is none

	cores chan struct{} // one token a core
	slots chan struct{}

	mu              sync.Mutex
	failure         failureMode
	slowdown        float64 // times
	draining        bool
	startedAt       time.Duration // 0: long ago
	admitted        int           // in the house: in work or queue
	arrivals        []arrival     // while cold
	collapsed       bool
	conns           map[net.Conn]struct{}
	refused         int // connections over the cap
	rng             *rand.Rand
	httpServer      *http.Server
	serveDone       chan struct{} // the present server has ended
	processEnd      chan struct{} // closed at the end of the present process
	silenceEnd      chan struct{} // closed when a silence is over
	served          int
	attemptTimeouts []timeoutStats // by class
}

// longest is the longest that attempts of a class were said to last, of late.
type timeoutStats struct {
	longest time.Duration
	count   int
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// listen opens the box's socket, at its own address if it has one already.
func (b *Server) listen(host string) error {
	if b.Address != "" {
		host = b.Address
	} else {
		host = net.JoinHostPort(host, "0")
	}
	l, err := listenWithRetry(host)
	if err != nil {
		return fmt.Errorf("box %s: %w", b.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Address = l.Addr().String()
	b.conns = map[net.Conn]struct{}{}
	b.serveDone, b.processEnd = make(chan struct{}), make(chan struct{})
	b.httpServer = &http.Server{
		Handler: b, ErrorLog: log.New(io.Discard, "", 0), IdleTimeout: 10 * time.Second, MaxHeaderBytes: 32 << 10,
	}
	server, ended := b.httpServer, b.serveDone
	go func() { // ends with close
		defer close(ended)
		server.Serve(&cappedListener{l, b})
	}()
	return nil
}

// inheritedFor bounds the wait for an address that was just given up.
const maxBindWait = 5 * time.Second

// listenAgain binds an address that this process may have given up a moment ago. A child that is being started has a
// copy of every descriptor until its program runs, and holds a listener that was closed here meanwhile.
func listenWithRetry(address string) (net.Listener, error) {
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	for begun := time.Now(); ; <-look.C {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(begun) > maxBindWait {
			return l, err
		}
	}
}

// close ends the box's process: connections are reset, new ones refused.
func (b *Server) close() {
	b.mu.Lock()
	server, ended := b.httpServer, b.serveDone
	b.httpServer = nil
	b.endSilence()
	for c := range b.conns {
		if t, ok := c.(*serverConn); ok {
			t.TCPConn.SetLinger(0)
		}
	}
	b.mu.Unlock()
	if server == nil {
		return
	}
	close(b.processEnd) // what runs is cut: a dead process works for nobody
	server.Close()
	<-ended
}

// hush ends a silence: what was sent into it never came, so its connections end.
func (b *Server) endSilence() {
	if b.silenceEnd != nil {
		close(b.silenceEnd)
		b.silenceEnd = nil
	}
}

// boxListener counts a box's connections and turns back those over its cap.
type cappedListener struct {
	net.Listener
	server *Server
}

func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc, b := c.(*net.TCPConn), l.server
		b.mu.Lock()
		if len(b.conns) >= b.plan.MaxConns {
			b.refused++
			b.mu.Unlock()
			tc.SetLinger(0)
			tc.Close()
			continue
		}
		bc := &serverConn{TCPConn: tc, server: b}
		b.conns[bc] = struct{}{}
		b.mu.Unlock()
		return bc, nil
	}
}

// boxConn is a connection of a box, which may fall silent.
type serverConn struct {
	*net.TCPConn
	server *Server
}

// Read takes what came, unless the box is silent: then it waits for the end of
// that, and the connection is over.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.server.mu.Lock()
	quiet := c.server.silenceEnd
	c.server.mu.Unlock()
	if quiet != nil {
		<-quiet
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends nothing while the box is silent.
func (c *serverConn) Write(p []byte) (int, error) {
	c.server.mu.Lock()
	quiet := c.server.silenceEnd
	c.server.mu.Unlock()
	if quiet != nil {
		<-quiet
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(p)
}

func (c *serverConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.TCPConn.Close()
}

// visit is an attempt at a box.
type attempt struct {
	server    *Server
	requestID string
	number    int
}

func (v *attempt) end(how judge.AttemptOutcome) {
	v.server.judge.AttemptEnded(v.server.clock.Now(), v.requestID, v.number, how)
}

// ServeHTTP answers one attempt.
func (b *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	id, key := r.Header.Get("X-Txn"), r.Header.Get("Idempotency-Key")
	if id == "" {
		http.Error(w, "no X-Txn", http.StatusNotFound)
		return
	}
	now := b.clock.Now()
	v := &attempt{b, id, b.judge.AttemptArrived(now, id, b.ID, key)}
	b.callGraph.recordAttempt(id)
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	index, ok := b.plan.classIndex(name)
	ms, err := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	if !ok || err != nil {
		v.end(judge.Rejected)
		http.Error(w, "not a request of this service", http.StatusBadRequest)
		return
	}
	class := &b.plan.Classes[index]
	until := now + time.Duration(ms)*time.Millisecond

	b.mu.Lock()
	trouble, slower, draining := b.failure, b.slowdown, b.draining
	work := time.Duration(float64(class.Work) * b.plan.tierShare(b.Tier) * b.workFactor(class.Spread))
	if b.attemptTimeouts == nil {
		b.attemptTimeouts = make([]timeoutStats, len(b.plan.Classes))
	}
	b.attemptTimeouts[index].longest = max(b.attemptTimeouts[index].longest, until-now)
	b.attemptTimeouts[index].count++
	full := b.admitted >= b.plan.Slots+b.plan.Queue
	if b.recordColdWork(now, work) {
		trouble = crashed
	}
	b.mu.Unlock()
	switch {
	case trouble == crashed:
		v.end(judge.ConnectionCut)
		b.resetConn(w)
		return
	case trouble == hanging:
		<-r.Context().Done()
		v.end(judge.Abandoned)
		panic(http.ErrAbortHandler)
	case trouble == failing:
		v.end(judge.Errored)
		http.Error(w, "trouble", http.StatusInternalServerError)
		return
	case full || draining || trouble == rejecting:
		v.reject(w)
		return
	}
	b.execute(w, r, v, class, &job{work: work, slowdown: slower, key: key, deadline: until, body: body, failure: trouble})
}

// job is what an attempt wants done.
type job struct {
	work     time.Duration
	slowdown float64
	key      string
	deadline time.Duration
	body     []byte
	failure  failureMode
}

func (v *attempt) reject(w http.ResponseWriter) {
	v.end(judge.Rejected)
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// work runs an attempt on a core, and answers.
func (b *Server) execute(w http.ResponseWriter, r *http.Request, v *attempt, class *Class, j *job) {
	ctx := r.Context()
	b.mu.Lock()
	b.admitted++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.admitted--
		b.mu.Unlock()
	}()
	select { // a slot, in turn
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-ctx.Done():
		v.end(judge.Abandoned)
		panic(http.ErrAbortHandler)
	}
	if b.clock.Now() >= j.deadline { // over before it began
		v.reject(w)
		return
	}
	if class.Idempotency != judge.Keyed || b.keys.addIfNew(j.key, b.clock.Now(), class.KeyTTL) {
		b.judge.AttemptExecuted(b.clock.Now(), v.requestID, v.number)
	}
	b.mu.Lock()
	life := b.processEnd
	b.mu.Unlock()
	if !b.occupyCore(time.Duration(float64(j.work)*j.slowdown/2), life) {
		v.end(judge.ConnectionCut)
		panic(http.ErrAbortHandler)
	}
	good, spent := true, ""
	if b.nextTier != nil {
		good, spent = b.callNextTier(ctx, class, r, j)
	}
	if spent != "" { // as an application does that hands on what its last call said
		w.Header().Set(budget.SpentHeaderName, spent)
	}
	if !good {
		v.end(judge.Errored)
		http.Error(w, "the tier below failed", http.StatusInternalServerError)
		return
	}
	if !b.occupyCore(time.Duration(float64(j.work)*j.slowdown/2), life) {
		v.end(judge.ConnectionCut)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil { // it ran to its end for nobody
		v.end(judge.Abandoned)
		panic(http.ErrAbortHandler)
	}
	switch j.failure {
	case resetting:
		v.end(judge.ConnectionCut)
		b.resetConn(w)
		return
	case malformed:
		v.end(judge.Malformed)
		b.answerGarbage(w)
		return
	}
	b.mu.Lock()
	b.served++
	b.mu.Unlock()
	// Noted before it is written: the node may pass it on before this goroutine runs again.
	v.end(judge.Succeeded)
	text := answerText(b.ID, v.requestID)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
}

// answerText is the body of a box's answer: who made it, and for which request.
func answerText(box, id string) string { return box + " " + id + "\n" }

// call asks the tier below, one call after another, through this box's own node.
func (b *Server) callNextTier(ctx context.Context, class *Class, r *http.Request, j *job) (good bool, spent string) {
	b.mu.Lock()
	calls := int(b.plan.CallsPerRequest)
	if b.rng.Float64() < b.plan.CallsPerRequest-float64(calls) {
		calls++
	}
	ids := make([]string, calls)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", b.rng.Uint64())
	}
	b.mu.Unlock()
	for i, id := range ids {
		key := ""
		if j.key != "" {
			key = j.key + "-" + strconv.Itoa(i)
		}
		left := j.deadline - b.clock.Now()
		if left < time.Millisecond {
			return false, spent
		}
		b.callGraph.recordCall(id, r.Header.Get("X-Txn"), i)
		index, _ := b.plan.classIndex(class.Name)
		a := b.nextTier.Do(ctx, Request{
			ID: id, Class: index, Path: r.URL.EscapedPath(), Key: key, Timeout: left, Body: j.body,
			BudgetHeader: r.Header.Get(budget.HeaderName),
		})
		spent = a.SpentHeader
		if a.Outcome != judge.Served {
			return false, spent
		}
	}
	return true, spent
}

// hold keeps a core busy for the time that work takes here and now; false if the process ends before.
func (b *Server) occupyCore(work time.Duration, life <-chan struct{}) bool {
	select {
	case b.cores <- struct{}{}:
	case <-life:
		return false
	}
	defer func() { <-b.cores }()
	b.mu.Lock()
	warmth := b.capacityFraction(b.clock.Now())
	b.mu.Unlock()
	done := time.NewTimer(time.Duration(float64(work) / (b.speed * warmth)))
	defer done.Stop()
	select {
	case <-done.C:
		return true
	case <-life:
		return false
	}
}

// warmth is the part of its capacity that the box has.
func (b *Server) capacityFraction(now time.Duration) float64 {
	if b.startedAt == 0 || b.plan.WarmupTime <= 0 {
		return 1
	}
	age := float64(now-b.startedAt) / float64(b.plan.WarmupTime)
	return min(1, b.plan.ColdCapacity+(1-b.plan.ColdCapacity)*age)
}

// tooMuch books work sent to a cold box, and tells whether it has fallen over.
// It falls when what came within any window is over the multiple of what it
// could do in that time, with a little room for chance.
func (b *Server) recordColdWork(now, work time.Duration) bool {
	if b.collapsed {
		return true
	}
	if b.capacityFraction(now) >= 1 {
		b.arrivals = nil
		return false
	}
	b.arrivals = append(b.arrivals, arrival{now, work})
	sum := time.Duration(0)
	for i := len(b.arrivals) - 1; i >= 0 && now-b.arrivals[i].at < b.plan.CollapseWindow; i-- {
		sum += b.arrivals[i].work
	}
	can := time.Duration(float64(b.plan.CollapseWindow) * float64(b.plan.Cores) * b.speed * b.capacityFraction(now))
	if room := time.Duration(b.plan.CollapseMultiple * float64(can)); sum > room+room/10 {
		b.collapsed = true
		b.judge.ServerCollapsed(now, b.ID, fmt.Sprintf("%v of work in %v, it could do %v", sum, b.plan.CollapseWindow, can))
	}
	return b.collapsed
}

// spread draws a factor of mean 1.
func (b *Server) workFactor(cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s2 := math.Log(1 + cv*cv)
	return math.Exp(b.rng.NormFloat64()*math.Sqrt(s2) - s2/2)
}

// cut ends a connection in the middle.
func (b *Server) resetConn(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.(*serverConn).SetLinger(0)
		c.Close()
	}
}

// noise answers what no client can read.
func (b *Server) answerGarbage(w http.ResponseWriter) {
	c, buf, err := w.(http.Hijacker).Hijack()
	if err == nil {
		writeGarbage(buf.Writer)
		c.Close()
	}
}

func writeGarbage(w *bufio.Writer) {
	w.WriteString("HTP/7 \x00\x01 beyond reading\r\n: :\r\n\r\n")
	w.Flush()
}

// set changes what is wrong with the box.
func (b *Server) setFailure(t failureMode, slower float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failure == unresponsive && t != unresponsive {
		b.endSilence()
	}
	if t == unresponsive && b.silenceEnd == nil {
		b.silenceEnd = make(chan struct{})
	}
	b.failure, b.slowdown = t, slower
}

// drain makes the box turn away what is new, or ends that.
func (b *Server) setDraining(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// restart begins a new process, which is cold.
func (b *Server) restart() error {
	b.mu.Lock()
	b.failure, b.slowdown, b.draining, b.collapsed, b.arrivals = healthy, 1, false, false, nil
	b.startedAt = max(1, b.clock.Now())
	b.mu.Unlock()
	return b.listen("")
}

// BoxState is what a box has seen so far.
type ServerState struct {
	ID      string
	Site    string
	Speed   float64
	Served  int
	Conns   int
	Refused int // connections over its cap
	Fallen  bool
}

// State tells how the box fares.
func (b *Server) State() ServerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ServerState{b.ID, b.Site, b.speed, b.served, len(b.conns), b.refused, b.collapsed}
}
