package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/decide"
)

const (
	mostHeader    = 16 << 10
	headerWait    = 5 * time.Second  // for a request's head, once it has begun
	mostRemaining = 10 * time.Minute // longer waits are taken for nonsense
	writeGrace    = time.Second      // after its deadline a client that does not read is cut off
	writeWait     = 10 * time.Second // the same where no deadline is known
)

// callers answers the clients.
type callers struct {
	clock    clock
	loop     *loop
	sockets  *sockets
	classes  map[string]int
	tenants  map[string]int
	effects  []decide.Effect
	server   *http.Server
	leaving  atomic.Bool  // a planned end has begun
	accepted atomic.Int64 // when the last connection came, on the clock

	mu   sync.Mutex
	open map[string]bool // the ids of requests that have no answer yet
}

func newCallers(c *Config, clock clock, loop *loop, sockets *sockets, log *slog.Logger) *callers {
	s := &callers{
		clock: clock, loop: loop, sockets: sockets, classes: map[string]int{}, tenants: map[string]int{},
		open: map[string]bool{},
	}
	for i, name := range c.Classes {
		s.classes[name] = i
		s.effects = append(s.effects, c.Settings.Classes[i].Effect)
	}
	for i, name := range c.Tenants {
		s.tenants[name] = i
	}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerWait,
		IdleTimeout:       5 * time.Minute, // clients keep their connections
		WriteTimeout:      writeWait,       // counted anew with each request
		MaxHeaderBytes:    mostHeader,
		// An answer of its own to OPTIONS * would stand for a server's.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, crowdedKey{}, c.(*clientConn).crowded)
		},
	}
	return s
}

// single are the headers that a request must not repeat: which one counts would
// be for each to guess.
var single = [...]string{"X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Resent", "X-Estimate", "Idempotency-Key"}

// crowdedKey marks the context of a connection that came over the budget.
type crowdedKey struct{}

// ServeHTTP answers one request.
func (s *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := s.clock.now()
	crowded, _ := r.Context().Value(crowdedKey{}).(bool)
	if crowded {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/ready" {
		if s.loop.ready.Load() && !s.leaving.Load() {
			reply(w, http.StatusOK, "ready")
		} else {
			reply(w, http.StatusServiceUnavailable, "not ready")
		}
		return
	}
	p, status, why := s.parse(w, r, now)
	if p != nil && !s.begin(p.call.txn) {
		p, status, why = nil, http.StatusConflict, "another request with this X-Txn is open"
	}
	if p == nil {
		// What follows on the connection of a client that makes such errors may be
		// no request at all: part of this one's body, say.
		w.Header().Set("Connection", "close")
		reply(w, status, why)
		return
	}
	defer s.end(p.call.txn)
	http.NewResponseController(w).SetWriteDeadline(s.clock.wall(p.deadline + writeGrace))
	if crowded {
		reply(w, http.StatusTooManyRequests, "too many connections")
		return
	}
	s.loop.post(arrived{p})
	select {
	case a := <-p.answer:
		s.partIfLeaving(w)
		s.write(w, a)
	case <-r.Context().Done():
		s.loop.post(departed{p})
		// A client that only ended its sending could still read: returning would
		// tell it 200 with an empty body, which no server made.
		panic(http.ErrAbortHandler)
	case <-s.loop.ctx.Done(): // the node ends, and has answered what it could
		reply(w, http.StatusBadGateway, "the node is ending")
	}
}

// begin books a request's id, unless it is another open request's: servers drop
// repeats by it and tell attempts apart, so answers might go to the wrong client.
func (s *callers) begin(txn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[txn] {
		return false
	}
	s.open[txn] = true
	return true
}

func (s *callers) end(txn string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, txn)
}

// partIfLeaving closes the connection with the answer once a planned end has
// begun. It looks at the time of the answer: the request may have come before.
func (s *callers) partIfLeaving(w http.ResponseWriter) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
}

// write passes the final answer on.
func (s *callers) write(w http.ResponseWriter, a answer) {
	switch a.ending {
	case served:
		if a.response.kind != "" {
			w.Header().Set("Content-Type", a.response.kind)
		} else {
			w.Header()["Content-Type"] = nil // nothing is guessed
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.response.body)))
		w.Write(a.response.body)
	case refused:
		if a.retryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		reply(w, http.StatusTooManyRequests, "refused")
	case failed:
		reply(w, http.StatusBadGateway, "failed")
	case overdue:
		reply(w, http.StatusGatewayTimeout, "no answer in time")
	}
}

func reply(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// parse reads a request, or says what is wrong with it. None of the codes it
// returns is a refusal: trying such a request again is of no use.
func (s *callers) parse(w http.ResponseWriter, r *http.Request, now time.Duration) (*pending, int, string) {
	// Of a request with both lengths net/http hides one, and a server or proxy that
	// goes by the other finds a second request inside the body. Chunks are of no
	// use here: no client needs them.
	if len(r.TransferEncoding) > 0 {
		return nil, http.StatusLengthRequired, "Transfer-Encoding is not taken"
	}
	if !r.ProtoAtLeast(1, 1) { // there net/http drops Transfer-Encoding unseen
		return nil, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"
	}
	for _, name := range single {
		if len(r.Header.Values(name)) > 1 {
			return nil, http.StatusBadRequest, name + " stands there twice"
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := s.classes[first]
	if !ok {
		return nil, http.StatusNotFound, "no such class of requests"
	}
	if lane := r.Header.Get("X-Lane"); lane != "" && lane != first {
		return nil, http.StatusBadRequest, "X-Lane and the path differ"
	}
	key := r.Header.Get("Idempotency-Key")
	switch effect := s.effects[class]; {
	case effect == decide.Repeatable && r.Method != http.MethodGet,
		effect != decide.Repeatable && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, "the class does not go with the method"
	case effect == decide.Keyed && key == "":
		return nil, http.StatusBadRequest, "the class needs an Idempotency-Key"
	}
	txn := r.Header.Get("X-Txn")
	if txn == "" {
		return nil, http.StatusBadRequest, "no X-Txn"
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Remaining-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > mostRemaining.Milliseconds() {
		return nil, http.StatusBadRequest, "X-Remaining-Ms is missing or odd"
	}
	p := &pending{
		answer:   make(chan answer, 1),
		deadline: now + time.Duration(ms)*time.Millisecond,
		request:  decide.Request{Class: class, Tenant: -1, Repeat: r.Header.Get("X-Resent") == "1"},
	}
	if tenant, ok := s.tenants[r.Header.Get("X-Org")]; ok {
		p.request.Tenant = tenant
	}
	if text := r.Header.Get("X-Estimate"); text != "" {
		us, err := strconv.ParseInt(text, 10, 64)
		if err != nil || us < 0 || us > mostRemaining.Microseconds() {
			return nil, http.StatusBadRequest, "X-Estimate is odd"
		}
		p.request.Work = time.Duration(us) * time.Microsecond
	}
	p.call = &call{
		method: r.Method, uri: r.RequestURI, host: r.Host, txn: txn, key: key, kind: r.Header.Get("Content-Type"),
	}
	if !strings.HasPrefix(p.call.uri, "/") || strings.HasPrefix(p.call.uri, "//") {
		return nil, http.StatusBadRequest, "the target is no path"
	}
	if r.Body == http.NoBody {
		return p, 0, ""
	}
	if s.effects[class] == decide.Repeatable {
		return nil, http.StatusBadRequest, "the class takes no body"
	}
	// The body must be here before the client's time is up.
	control := http.NewResponseController(w)
	control.SetReadDeadline(s.clock.wall(p.deadline))
	p.call.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	if err != nil {
		return nil, http.StatusBadRequest, "the body did not come"
	}
	// A request begins with its last byte.
	p.deadline += s.clock.now() - now
	return p, 0, ""
}

// clientConn gives its place in the budget back when it closes. It is a whole
// TCP connection to the server above it, which half-closes one after a request
// that it can't read to its end: the answer would else be lost in a reset.
type clientConn struct {
	*net.TCPConn
	sockets *sockets
	crowded bool
	closed  atomic.Bool
}

func (c *clientConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		defer c.sockets.give()
	}
	return c.TCPConn.Close()
}

// listener books clients' connections. One over the budget takes the place of
// an idle connection to a server, or has its requests refused.
type listener struct {
	*net.TCPListener
	callers *callers
	relieve func() bool
}

func (l *listener) Accept() (net.Conn, error) {
	for l.callers.sockets.full() { // what waits stays in the backlog for a moment
		if !l.relieve() {
			time.Sleep(time.Millisecond)
		}
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	s := l.callers
	s.accepted.Store(int64(s.clock.now()))
	s.sockets.force()
	for s.sockets.over() && l.relieve() {
	}
	return &clientConn{TCPConn: c, sockets: s.sockets, crowded: s.sockets.over()}, nil
}
