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

// failureMode is the way in which a server currently fails.
type failureMode int

const (
	healthy      failureMode = iota
	hanging                  // accepts requests and never answers
	resetting                // executes requests and resets the connection
	refusing                 // does not listen
	unresponsive             // neither receives nor sends, as if its machine had vanished
	malformed                // executes requests and sends malformed answers
	repeating                // sends each answer a second time, some time later
	unframed                 // sends answers without a length and ends the connection
	failing                  // executes nothing and answers 500
	rejecting                // answers everything with X-Turned-Away
	crashed                  // its process has ended
)

// keyStore remembers the keys that the servers of a rack have executed.
type keyStore struct {
	mu    sync.Mutex
	ranAt map[string]time.Duration
}

// addIfNew records a key and reports whether it was new within the window.
func (s *keyStore) addIfNew(key string, now, window time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.ranAt[key]; ok && now-at < window {
		return false
	}
	if len(s.ranAt) > 4096 {
		for other, at := range s.ranAt {
			if now-at >= window {
				delete(s.ranAt, other)
			}
		}
	}
	s.ranAt[key] = now
	return true
}

// Server is a stand-in for one server on a real socket.
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
	nextTier  *Client // node that calls to the next tier go through; nil: there is no next tier

	cores chan struct{} // one token per core
	slots chan struct{}

	mu              sync.Mutex
	failure         failureMode
	slowdown        float64       // factor on the duration of work
	longestRepeat   time.Duration // while repeating: longest time between an answer and its repetition
	cutFraction     float64       // while unframed: fraction of the answers that are cut off by a reset
	draining        bool
	startedAt       time.Duration // 0: long ago
	admitted        int           // requests in work or in the queue
	arrivals        []arrival     // while cold
	collapsed       bool
	conns           map[net.Conn]struct{}
	refused         int // connections over the limit
	rng             *rand.Rand
	httpServer      *http.Server
	serveDone       chan struct{} // closed when the current http.Server has ended
	processEnd      chan struct{} // closed at the end of the current process
	silenceEnd      chan struct{} // closed when the server responds again; nil: it responds
	served          int
	attemptTimeouts []timeoutStats // by class
}

// timeoutStats summarizes the time limits of attempts of a class since they were last read.
type timeoutStats struct {
	longest time.Duration
	count   int
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// listen opens the server's socket, at its previous address if it has one.
func (s *Server) listen(host string) error {
	if s.Address != "" {
		host = s.Address
	} else {
		host = net.JoinHostPort(host, "0")
	}
	l, err := listenWithRetry(host)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Address = l.Addr().String()
	s.conns = map[net.Conn]struct{}{}
	s.serveDone, s.processEnd = make(chan struct{}), make(chan struct{})
	s.httpServer = &http.Server{
		Handler: s, ErrorLog: log.New(io.Discard, "", 0), IdleTimeout: 10 * time.Second, MaxHeaderBytes: 32 << 10,
	}
	httpServer, serveDone := s.httpServer, s.serveDone
	go func() { // ends with close
		defer close(serveDone)
		httpServer.Serve(&cappedListener{l, s})
	}()
	return nil
}

// maxBindWait limits the wait for an address that was just released.
const maxBindWait = 5 * time.Second

// listenWithRetry binds an address that this process may have released a moment ago. Until a child process
// that is being started executes its program, it holds copies of all descriptors, including a listener that
// was closed here meanwhile.
func listenWithRetry(address string) (net.Listener, error) {
	retry := time.NewTicker(time.Millisecond)
	defer retry.Stop()
	for start := time.Now(); ; <-retry.C {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > maxBindWait {
			return l, err
		}
	}
}

// close ends the server's process: connections are reset and new ones refused.
func (s *Server) close() {
	s.mu.Lock()
	httpServer, serveDone := s.httpServer, s.serveDone
	s.httpServer = nil
	s.endSilence()
	for c := range s.conns {
		if t, ok := c.(*serverConn); ok {
			t.TCPConn.SetLinger(0)
		}
	}
	s.mu.Unlock()
	if httpServer == nil {
		return
	}
	close(s.processEnd) // ends the work in progress as well
	httpServer.Close()
	<-serveDone
}

// endSilence ends the unresponsive phase. Data sent meanwhile is lost, so its connections end.
func (s *Server) endSilence() {
	if s.silenceEnd != nil {
		close(s.silenceEnd)
		s.silenceEnd = nil
	}
}

// cappedListener counts a server's connections and resets those over its limit.
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
		tcpConn, s := c.(*net.TCPConn), l.server
		s.mu.Lock()
		if len(s.conns) >= s.plan.MaxConns {
			s.refused++
			s.mu.Unlock()
			tcpConn.SetLinger(0)
			tcpConn.Close()
			continue
		}
		conn := &serverConn{TCPConn: tcpConn, server: s}
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		return conn, nil
	}
}

// serverConn is a connection of a server, which may become unresponsive.
type serverConn struct {
	*net.TCPConn
	server  *Server
	repeats repeatTimers
}

// Read returns received data. While the server is unresponsive it blocks until that ends, and then closes the
// connection.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.server.mu.Lock()
	silenceEnd := c.server.silenceEnd
	c.server.mu.Unlock()
	if silenceEnd != nil {
		<-silenceEnd
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends nothing while the server is unresponsive.
func (c *serverConn) Write(p []byte) (int, error) {
	c.server.mu.Lock()
	silenceEnd := c.server.silenceEnd
	c.server.mu.Unlock()
	if silenceEnd != nil {
		<-silenceEnd
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Write(p)
	if delay, ok := c.server.drawRepeat(p); ok && err == nil {
		c.repeats.schedule(c.TCPConn, p, delay)
	}
	return n, err
}

func (c *serverConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	err := c.TCPConn.Close()
	c.repeats.stop()
	return err
}

// attempt identifies one attempt at a server.
type attempt struct {
	server    *Server
	requestID string
	number    int
}

func (a *attempt) end(outcome judge.AttemptOutcome) {
	a.server.judge.AttemptEnded(a.server.clock.Now(), a.requestID, a.number, outcome)
}

// ServeHTTP answers one attempt.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	id, key := r.Header.Get("X-Txn"), r.Header.Get("Idempotency-Key")
	if id == "" {
		http.Error(w, "request without X-Txn", http.StatusNotFound)
		return
	}
	now := s.clock.Now()
	a := &attempt{s, id, s.judge.AttemptArrived(now, id, s.ID, key)}
	s.callGraph.recordAttempt(id)
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	classIndex, ok := s.plan.classIndex(name)
	remainingMs, err := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	if !ok || err != nil {
		a.end(judge.Rejected)
		http.Error(w, "unknown class or invalid X-Remaining-Ms", http.StatusBadRequest)
		return
	}
	class := &s.plan.Classes[classIndex]
	deadline := now + time.Duration(remainingMs)*time.Millisecond

	s.mu.Lock()
	failure, slowdown, draining := s.failure, s.slowdown, s.draining
	work := time.Duration(float64(class.Work) * s.plan.tierShare(s.Tier) * s.workFactor(class.Spread))
	if s.attemptTimeouts == nil {
		s.attemptTimeouts = make([]timeoutStats, len(s.plan.Classes))
	}
	s.attemptTimeouts[classIndex].longest = max(s.attemptTimeouts[classIndex].longest, deadline-now)
	s.attemptTimeouts[classIndex].count++
	full := s.admitted >= s.plan.Slots+s.plan.Queue
	if s.recordColdWork(now, work) {
		failure = crashed
	}
	s.mu.Unlock()
	switch {
	case failure == crashed:
		a.end(judge.ConnectionCut)
		s.resetConn(w)
		return
	case failure == hanging:
		<-r.Context().Done()
		a.end(judge.Abandoned)
		panic(http.ErrAbortHandler)
	case failure == failing:
		a.end(judge.Errored)
		http.Error(w, "trouble", http.StatusInternalServerError)
		return
	case full || draining || failure == rejecting:
		a.reject(w)
		return
	}
	s.execute(w, r, a, class, &job{work: work, slowdown: slowdown, key: key, deadline: deadline, body: body, failure: failure})
}

// job holds the parameters for executing an attempt.
type job struct {
	work     time.Duration
	slowdown float64
	key      string
	deadline time.Duration
	body     []byte
	failure  failureMode
}

func (a *attempt) reject(w http.ResponseWriter) {
	a.end(judge.Rejected)
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// execute runs an attempt on a core and answers it.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, a *attempt, class *Class, j *job) {
	ctx := r.Context()
	s.mu.Lock()
	s.admitted++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.admitted--
		s.mu.Unlock()
	}()
	select { // wait for a free slot
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		a.end(judge.Abandoned)
		panic(http.ErrAbortHandler)
	}
	if s.clock.Now() >= j.deadline { // expired in the queue
		a.reject(w)
		return
	}
	if class.Idempotency != judge.Keyed || s.keys.addIfNew(j.key, s.clock.Now(), class.KeyTTL) {
		s.judge.AttemptExecuted(s.clock.Now(), a.requestID, a.number)
	}
	s.mu.Lock()
	processEnd := s.processEnd
	s.mu.Unlock()
	if !s.occupyCore(time.Duration(float64(j.work)*j.slowdown/2), processEnd) {
		a.end(judge.ConnectionCut)
		panic(http.ErrAbortHandler)
	}
	ok, spent := true, ""
	if s.nextTier != nil {
		ok, spent = s.callNextTier(ctx, class, r, j)
	}
	if spent != "" { // like an application that passes on the header of its last call
		w.Header().Set(budget.SpentHeaderName, spent)
	}
	if !ok {
		a.end(judge.Errored)
		http.Error(w, "the call to the next tier failed", http.StatusInternalServerError)
		return
	}
	if !s.occupyCore(time.Duration(float64(j.work)*j.slowdown/2), processEnd) {
		a.end(judge.ConnectionCut)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil { // the node has abandoned the attempt meanwhile
		a.end(judge.Abandoned)
		panic(http.ErrAbortHandler)
	}
	switch j.failure {
	case resetting:
		a.end(judge.ConnectionCut)
		s.resetConn(w)
		return
	case malformed:
		a.end(judge.Malformed)
		s.answerGarbage(w)
		return
	}
	s.mu.Lock()
	s.served++
	s.mu.Unlock()
	// Recorded before writing: the node may forward the answer before this goroutine runs again.
	a.end(judge.Succeeded)
	text := answerText(s.ID, a.requestID)
	if j.failure == unframed {
		s.answerUnframed(w, text)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
}

// answerText returns the body of a server's answer, which names the server and the request.
func answerText(server, id string) string { return server + " " + id + "\n" }

// callNextTier makes the calls to the next tier one after another, through this server's own node.
func (s *Server) callNextTier(ctx context.Context, class *Class, r *http.Request, j *job) (ok bool, spent string) {
	s.mu.Lock()
	calls := int(s.plan.CallsPerRequest)
	if s.rng.Float64() < s.plan.CallsPerRequest-float64(calls) {
		calls++
	}
	ids := make([]string, calls)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", s.rng.Uint64())
	}
	s.mu.Unlock()
	for i, id := range ids {
		key := ""
		if j.key != "" {
			key = j.key + "-" + strconv.Itoa(i)
		}
		remaining := j.deadline - s.clock.Now()
		if remaining < time.Millisecond {
			return false, spent
		}
		s.callGraph.recordCall(id, r.Header.Get("X-Txn"), i)
		classIndex, _ := s.plan.classIndex(class.Name)
		response := s.nextTier.Do(ctx, Request{
			ID: id, Class: classIndex, Path: r.URL.EscapedPath(), Key: key, Timeout: remaining, Body: j.body,
			BudgetHeader: r.Header.Get(budget.HeaderName),
		})
		spent = response.SpentHeader
		if response.Outcome != judge.Served {
			return false, spent
		}
	}
	return true, spent
}

// occupyCore keeps a core busy for the time that the work takes at the current speed. It returns false if the
// process ends first.
func (s *Server) occupyCore(work time.Duration, processEnd <-chan struct{}) bool {
	select {
	case s.cores <- struct{}{}:
	case <-processEnd:
		return false
	}
	defer func() { <-s.cores }()
	s.mu.Lock()
	fraction := s.capacityFraction(s.clock.Now())
	s.mu.Unlock()
	done := time.NewTimer(time.Duration(float64(work) / (s.speed * fraction)))
	defer done.Stop()
	select {
	case <-done.C:
		return true
	case <-processEnd:
		return false
	}
}

// capacityFraction returns the fraction of its capacity that the server has while it warms up.
func (s *Server) capacityFraction(now time.Duration) float64 {
	if s.startedAt == 0 || s.plan.WarmupTime <= 0 {
		return 1
	}
	age := float64(now-s.startedAt) / float64(s.plan.WarmupTime)
	return min(1, s.plan.ColdCapacity+(1-s.plan.ColdCapacity)*age)
}

// recordColdWork adds work sent to a cold server and reports whether the server has collapsed. It collapses
// when the work that arrived within one window exceeds CollapseMultiple times its capacity in that time, with
// a tolerance of a tenth for random variation.
func (s *Server) recordColdWork(now, work time.Duration) bool {
	if s.collapsed {
		return true
	}
	if s.capacityFraction(now) >= 1 {
		s.arrivals = nil
		return false
	}
	s.arrivals = append(s.arrivals, arrival{now, work})
	sum := time.Duration(0)
	for i := len(s.arrivals) - 1; i >= 0 && now-s.arrivals[i].at < s.plan.CollapseWindow; i-- {
		sum += s.arrivals[i].work
	}
	capacity := time.Duration(float64(s.plan.CollapseWindow) * float64(s.plan.Cores) * s.speed * s.capacityFraction(now))
	if limit := time.Duration(s.plan.CollapseMultiple * float64(capacity)); sum > limit+limit/10 {
		s.collapsed = true
		s.judge.ServerCollapsed(now, s.ID, fmt.Sprintf("%v of work in %v, it could do %v", sum, s.plan.CollapseWindow, capacity))
	}
	return s.collapsed
}

// workFactor draws a log-normal factor with mean 1 and the given coefficient of variation.
func (s *Server) workFactor(variation float64) float64 {
	if variation <= 0 {
		return 1
	}
	s2 := math.Log(1 + variation*variation)
	return math.Exp(s.rng.NormFloat64()*math.Sqrt(s2) - s2/2)
}

// resetConn resets the connection of a request.
func (s *Server) resetConn(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.(*serverConn).SetLinger(0)
		c.Close()
	}
}

// answerGarbage sends an answer that no client can parse.
func (s *Server) answerGarbage(w http.ResponseWriter) {
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

// setFailure sets the failure mode and the slowdown.
func (s *Server) setFailure(mode failureMode, slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure == unresponsive && mode != unresponsive {
		s.endSilence()
	}
	if mode == unresponsive && s.silenceEnd == nil {
		s.silenceEnd = make(chan struct{})
	}
	s.failure, s.slowdown = mode, slowdown
}

// setDraining sets whether the server rejects new requests.
func (s *Server) setDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// restart starts a new process, which is cold.
func (s *Server) restart() error {
	s.mu.Lock()
	s.failure, s.slowdown, s.draining, s.collapsed, s.arrivals = healthy, 1, false, false, nil
	s.startedAt = max(1, s.clock.Now())
	s.mu.Unlock()
	return s.listen("")
}

// ServerState is a snapshot of a server's counters.
type ServerState struct {
	ID      string
	Site    string
	Speed   float64
	Served  int
	Conns   int
	Refused int  // connections over the limit
	Fallen  bool // it collapsed while cold
}

// State returns the server's counters.
func (s *Server) State() ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerState{s.ID, s.Site, s.speed, s.served, len(s.conns), s.refused, s.collapsed}
}
