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
type trouble int

const (
	healthy   trouble = iota
	stuck             // takes requests, answers none
	resets            // runs requests, and resets the connection
	refuses           // listens no longer
	silent            // its machine has vanished: nothing comes, nothing goes
	garbles           // runs requests, and answers noise
	errs              // runs nothing, answers 500
	turnsAway         // answers all with X-Turned-Away
	down              // its process has ended
)

// rack remembers the keys of what its boxes have run.
type rack struct {
	mu   sync.Mutex
	seen map[string]time.Duration
}

// first tells whether a key is new within the window, and notes it.
func (r *rack) first(key string, now, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.seen[key]; ok && now-at < window {
		return false
	}
	if len(r.seen) > 4096 {
		for k, at := range r.seen {
			if now-at >= window {
				delete(r.seen, k)
			}
		}
	}
	r.seen[key] = now
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

	plan  *Plan
	clock Clock
	judge *judge.Judge
	rack  *rack
	trees *trees
	below *Client // calls to the next tier go through this node; nil: there is none

	cores chan struct{} // one token a core
	slots chan struct{}

	mu       sync.Mutex
	trouble  trouble
	slower   float64 // times
	draining bool
	started  time.Duration // 0: long ago
	waiting  int           // in the house: in work or queue
	arrivals []arrival     // while cold
	fallen   bool
	conns    map[net.Conn]struct{}
	refused  int // connections over the cap
	rng      *rand.Rand
	server   *http.Server
	ended    chan struct{} // the present server has ended
	life     chan struct{} // closed at the end of the present process
	quiet    chan struct{} // closed when a silence is over
	served   int
	longest  []longest // by class
}

// longest is the longest that attempts of a class were said to last, of late.
type longest struct {
	most  time.Duration
	count int
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
	l, err := listenAgain(host)
	if err != nil {
		return fmt.Errorf("box %s: %w", b.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Address = l.Addr().String()
	b.conns = map[net.Conn]struct{}{}
	b.ended, b.life = make(chan struct{}), make(chan struct{})
	b.server = &http.Server{
		Handler: b, ErrorLog: log.New(io.Discard, "", 0), IdleTimeout: 10 * time.Second, MaxHeaderBytes: 32 << 10,
	}
	server, ended := b.server, b.ended
	go func() { // ends with close
		defer close(ended)
		server.Serve(&boxListener{l, b})
	}()
	return nil
}

// inheritedFor bounds the wait for an address that was just given up.
const inheritedFor = 5 * time.Second

// listenAgain binds an address that this process may have given up a moment ago. A child that is being started has a
// copy of every descriptor until its program runs, and holds a listener that was closed here meanwhile.
func listenAgain(address string) (net.Listener, error) {
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	for begun := time.Now(); ; <-look.C {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(begun) > inheritedFor {
			return l, err
		}
	}
}

// close ends the box's process: connections are reset, new ones refused.
func (b *Server) close() {
	b.mu.Lock()
	server, ended := b.server, b.ended
	b.server = nil
	b.hush()
	for c := range b.conns {
		if t, ok := c.(*boxConn); ok {
			t.TCPConn.SetLinger(0)
		}
	}
	b.mu.Unlock()
	if server == nil {
		return
	}
	close(b.life) // what runs is cut: a dead process works for nobody
	server.Close()
	<-ended
}

// hush ends a silence: what was sent into it never came, so its connections end.
func (b *Server) hush() {
	if b.quiet != nil {
		close(b.quiet)
		b.quiet = nil
	}
}

// boxListener counts a box's connections and turns back those over its cap.
type boxListener struct {
	net.Listener
	box *Server
}

func (l *boxListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tc, b := c.(*net.TCPConn), l.box
		b.mu.Lock()
		if len(b.conns) >= b.plan.MaxConns {
			b.refused++
			b.mu.Unlock()
			tc.SetLinger(0)
			tc.Close()
			continue
		}
		bc := &boxConn{TCPConn: tc, box: b}
		b.conns[bc] = struct{}{}
		b.mu.Unlock()
		return bc, nil
	}
}

// boxConn is a connection of a box, which may fall silent.
type boxConn struct {
	*net.TCPConn
	box *Server
}

// Read takes what came, unless the box is silent: then it waits for the end of
// that, and the connection is over.
func (c *boxConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.box.mu.Lock()
	quiet := c.box.quiet
	c.box.mu.Unlock()
	if quiet != nil {
		<-quiet
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write sends nothing while the box is silent.
func (c *boxConn) Write(p []byte) (int, error) {
	c.box.mu.Lock()
	quiet := c.box.quiet
	c.box.mu.Unlock()
	if quiet != nil {
		<-quiet
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(p)
}

func (c *boxConn) Close() error {
	c.box.mu.Lock()
	delete(c.box.conns, c)
	c.box.mu.Unlock()
	return c.TCPConn.Close()
}

// visit is an attempt at a box.
type visit struct {
	box    *Server
	id     string
	number int
}

func (v *visit) ended(how judge.AttemptOutcome) {
	v.box.judge.AttemptEnded(v.box.clock.Now(), v.id, v.number, how)
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
	v := &visit{b, id, b.judge.AttemptArrived(now, id, b.ID, key)}
	b.trees.arrived(id)
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	index, ok := b.plan.class(name)
	ms, err := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	if !ok || err != nil {
		v.ended(judge.Rejected)
		http.Error(w, "not a request of this service", http.StatusBadRequest)
		return
	}
	class := &b.plan.Classes[index]
	until := now + time.Duration(ms)*time.Millisecond

	b.mu.Lock()
	trouble, slower, draining := b.trouble, b.slower, b.draining
	work := time.Duration(float64(class.Work) * b.plan.part(b.Tier) * b.spread(class.Spread))
	if b.longest == nil {
		b.longest = make([]longest, len(b.plan.Classes))
	}
	b.longest[index].most = max(b.longest[index].most, until-now)
	b.longest[index].count++
	full := b.waiting >= b.plan.Slots+b.plan.Queue
	if b.tooMuch(now, work) {
		trouble = down
	}
	b.mu.Unlock()
	switch {
	case trouble == down:
		v.ended(judge.ConnectionCut)
		b.cut(w)
		return
	case trouble == stuck:
		<-r.Context().Done()
		v.ended(judge.Abandoned)
		panic(http.ErrAbortHandler)
	case trouble == errs:
		v.ended(judge.Errored)
		http.Error(w, "trouble", http.StatusInternalServerError)
		return
	case full || draining || trouble == turnsAway:
		v.turnAway(w)
		return
	}
	b.work(w, r, v, class, &job{work: work, slower: slower, key: key, until: until, body: body, trouble: trouble})
}

// job is what an attempt wants done.
type job struct {
	work    time.Duration
	slower  float64
	key     string
	until   time.Duration
	body    []byte
	trouble trouble
}

func (v *visit) turnAway(w http.ResponseWriter) {
	v.ended(judge.Rejected)
	w.Header().Set("X-Turned-Away", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// work runs an attempt on a core, and answers.
func (b *Server) work(w http.ResponseWriter, r *http.Request, v *visit, class *Class, j *job) {
	ctx := r.Context()
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select { // a slot, in turn
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-ctx.Done():
		v.ended(judge.Abandoned)
		panic(http.ErrAbortHandler)
	}
	if b.clock.Now() >= j.until { // over before it began
		v.turnAway(w)
		return
	}
	if class.Idempotency != judge.Keyed || b.rack.first(j.key, b.clock.Now(), class.KeyTTL) {
		b.judge.AttemptExecuted(b.clock.Now(), v.id, v.number)
	}
	b.mu.Lock()
	life := b.life
	b.mu.Unlock()
	if !b.hold(time.Duration(float64(j.work)*j.slower/2), life) {
		v.ended(judge.ConnectionCut)
		panic(http.ErrAbortHandler)
	}
	good, spent := true, ""
	if b.below != nil {
		good, spent = b.call(ctx, class, r, j)
	}
	if spent != "" { // as an application does that hands on what its last call said
		w.Header().Set(budget.SpentHeaderName, spent)
	}
	if !good {
		v.ended(judge.Errored)
		http.Error(w, "the tier below failed", http.StatusInternalServerError)
		return
	}
	if !b.hold(time.Duration(float64(j.work)*j.slower/2), life) {
		v.ended(judge.ConnectionCut)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil { // it ran to its end for nobody
		v.ended(judge.Abandoned)
		panic(http.ErrAbortHandler)
	}
	switch j.trouble {
	case resets:
		v.ended(judge.ConnectionCut)
		b.cut(w)
		return
	case garbles:
		v.ended(judge.Malformed)
		b.noise(w)
		return
	}
	b.mu.Lock()
	b.served++
	b.mu.Unlock()
	// Noted before it is written: the node may pass it on before this goroutine runs again.
	v.ended(judge.Succeeded)
	text := answerText(b.ID, v.id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
}

// answerText is the body of a box's answer: who made it, and for which request.
func answerText(box, id string) string { return box + " " + id + "\n" }

// call asks the tier below, one call after another, through this box's own node.
func (b *Server) call(ctx context.Context, class *Class, r *http.Request, j *job) (good bool, spent string) {
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
		left := j.until - b.clock.Now()
		if left < time.Millisecond {
			return false, spent
		}
		b.trees.call(id, r.Header.Get("X-Txn"), i)
		index, _ := b.plan.class(class.Name)
		a := b.below.Do(ctx, Request{
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
func (b *Server) hold(work time.Duration, life <-chan struct{}) bool {
	select {
	case b.cores <- struct{}{}:
	case <-life:
		return false
	}
	defer func() { <-b.cores }()
	b.mu.Lock()
	warmth := b.warmth(b.clock.Now())
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
func (b *Server) warmth(now time.Duration) float64 {
	if b.started == 0 || b.plan.WarmupTime <= 0 {
		return 1
	}
	age := float64(now-b.started) / float64(b.plan.WarmupTime)
	return min(1, b.plan.ColdCapacity+(1-b.plan.ColdCapacity)*age)
}

// tooMuch books work sent to a cold box, and tells whether it has fallen over.
// It falls when what came within any window is over the multiple of what it
// could do in that time, with a little room for chance.
func (b *Server) tooMuch(now, work time.Duration) bool {
	if b.fallen {
		return true
	}
	if b.warmth(now) >= 1 {
		b.arrivals = nil
		return false
	}
	b.arrivals = append(b.arrivals, arrival{now, work})
	sum := time.Duration(0)
	for i := len(b.arrivals) - 1; i >= 0 && now-b.arrivals[i].at < b.plan.CollapseWindow; i-- {
		sum += b.arrivals[i].work
	}
	can := time.Duration(float64(b.plan.CollapseWindow) * float64(b.plan.Cores) * b.speed * b.warmth(now))
	if room := time.Duration(b.plan.CollapseMultiple * float64(can)); sum > room+room/10 {
		b.fallen = true
		b.judge.ServerCollapsed(now, b.ID, fmt.Sprintf("%v of work in %v, it could do %v", sum, b.plan.CollapseWindow, can))
	}
	return b.fallen
}

// spread draws a factor of mean 1.
func (b *Server) spread(cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	s2 := math.Log(1 + cv*cv)
	return math.Exp(b.rng.NormFloat64()*math.Sqrt(s2) - s2/2)
}

// cut ends a connection in the middle.
func (b *Server) cut(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		c.(*boxConn).SetLinger(0)
		c.Close()
	}
}

// noise answers what no client can read.
func (b *Server) noise(w http.ResponseWriter) {
	c, buf, err := w.(http.Hijacker).Hijack()
	if err == nil {
		garble(buf.Writer)
		c.Close()
	}
}

func garble(w *bufio.Writer) {
	w.WriteString("HTP/7 \x00\x01 beyond reading\r\n: :\r\n\r\n")
	w.Flush()
}

// set changes what is wrong with the box.
func (b *Server) set(t trouble, slower float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.trouble == silent && t != silent {
		b.hush()
	}
	if t == silent && b.quiet == nil {
		b.quiet = make(chan struct{})
	}
	b.trouble, b.slower = t, slower
}

// drain makes the box turn away what is new, or ends that.
func (b *Server) drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// restart begins a new process, which is cold.
func (b *Server) restart() error {
	b.mu.Lock()
	b.trouble, b.slower, b.draining, b.fallen, b.arrivals = healthy, 1, false, false, nil
	b.started = max(1, b.clock.Now())
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
	return ServerState{b.ID, b.Site, b.speed, b.served, len(b.conns), b.refused, b.fallen}
}
