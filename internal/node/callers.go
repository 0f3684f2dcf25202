package node

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/decide"
	"curlewring/internal/budget"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/front"
	"curlewring/internal/node/upstream"
)

const (
	maxHeaderBytes = 16 << 10
	maxRemaining   = 10 * time.Minute // longer waits are taken for nonsense
)

// callers turns clients' requests into the loop's, and its answers into theirs.
type requestHandler struct {
	clock        clock.Clock
	loop         *loop
	classes      map[string]int
	tenants      map[string]int
	idempotency  []decide.Idempotency
	budgets      *budgets        // nil: off
	maxWaits     []time.Duration // how long clients wait at the most, by class
	front        *front.Server
	shuttingDown atomic.Bool // a planned end has begun: no longer ready

	mu       sync.Mutex
	openTxns map[string]bool // the ids of requests that have no answer yet
}

func newRequestHandler(c *Config, clock clock.Clock, loop *loop) *requestHandler {
	s := &requestHandler{
		clock: clock, loop: loop, classes: map[string]int{}, tenants: map[string]int{},
		openTxns: map[string]bool{},
	}
	for i, name := range c.Classes {
		s.classes[name] = i
		s.idempotency = append(s.idempotency, c.Settings.Classes[i].Idempotency)
		s.maxWaits = append(s.maxWaits, c.Settings.Classes[i].Deadline)
	}
	for i, name := range c.Tenants {
		s.tenants[name] = i
	}
	return s
}

// single are the headers that a request must not repeat: which one counts would
// be for each to guess.
var singleValueHeaders = [...]string{"X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Resent", "X-Estimate", "Idempotency-Key"}

// Request takes one request; it is front.Handler's.
func (s *requestHandler) HandleRequest(t front.Token, r *http.Request, crowded bool) (open any, class int, _ *front.Response) {
	now := s.clock.Now()
	if r.URL.Path == "/ready" {
		if s.loop.ready.Load() && !s.shuttingDown.Load() {
			return nil, -1, &front.Response{Status: http.StatusOK, Text: "ready"}
		}
		return nil, -1, &front.Response{Status: http.StatusServiceUnavailable, Text: "not ready"}
	}
	p, status, why := s.parse(nil, r, now)
	spent := ""
	if p != nil && s.budgets != nil {
		g, loop := s.budgets.read(r, p.request.Class, p.deadline-now)
		if p.budget = g; g == nil {
			spent = budget.EncodeSpent(0, budget.Loop)
			p, status, why = nil, http.StatusLoopDetected, "the request has come round in a loop: "+loop
		} else {
			p.deadline = min(p.deadline, now+g.grant.TimeLeft)
		}
	}
	if p != nil && !s.reserveTxn(p.upstreamRequest.Txn) {
		p, status, why = nil, http.StatusConflict, "another request with this X-Txn is open"
	}
	if p == nil {
		// What follows on the connection of a client that makes such errors may be
		// no request at all: part of this one's body, say.
		a := &front.Response{Status: status, Text: why, Close: true}
		if spent != "" {
			a.HeaderName, a.HeaderValue = budget.SpentHeaderName, spent
		}
		return nil, -1, a
	}
	if crowded {
		s.releaseTxn(p.upstreamRequest.Txn)
		return nil, p.request.Class, &front.Response{Status: http.StatusTooManyRequests, Text: "too many connections", Close: true}
	}
	p.token, p.arrivedAt = t, now
	s.loop.post(requestArrived{p})
	return p, p.request.Class, nil
}

// Gone takes back what a client asked that has left; it is front.Handler's.
func (s *requestHandler) ClientGone(open any) {
	p := open.(*pendingRequest)
	p.finished.Store(true) // from this moment, however long the loop's turn may take
	s.releaseTxn(p.txn)
	s.loop.post(clientDisconnected{p})
}

// begin books a request's id, unless it is another open request's: servers drop
// repeats by it and tell attempts apart, so answers might go to the wrong client.
func (s *requestHandler) reserveTxn(txn string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openTxns[txn] {
		return false
	}
	s.openTxns[txn] = true
	return true
}

func (s *requestHandler) releaseTxn(txn string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.openTxns, txn)
}

// answer passes the final answer on. It does not wait.
func (s *requestHandler) respond(p *pendingRequest, a answer) {
	s.releaseTxn(p.txn)
	to := front.Response{HeaderName: budget.SpentHeaderName, HeaderValue: a.spent, WriteDeadline: p.deadline + front.WriteGrace}
	if a.spent == "" {
		to.HeaderName = ""
	}
	switch a.answerStatus {
	case served:
		to.Status, to.ContentType, to.Body = http.StatusOK, a.response.ContentType, a.response.Body
	case refused:
		to.Status, to.Text, to.RetryAfter = http.StatusTooManyRequests, "refused", a.retryAfter
	case failed:
		to.Status, to.Text = http.StatusBadGateway, "failed"
	case overdue:
		to.Status, to.Text = http.StatusGatewayTimeout, "no answer in time"
	}
	s.front.Respond(p.token, to)
}

// parse reads a request, or says what is wrong with it. None of the codes it
// returns is a refusal: trying such a request again is of no use.
func (s *requestHandler) parse(_ http.ResponseWriter, r *http.Request, now time.Duration) (*pendingRequest, int, string) {
	// Of a request with both lengths net/http hides one, and a server or proxy that
	// goes by the other finds a second request inside the body. Chunks are of no
	// use here: no client needs them.
	if len(r.TransferEncoding) > 0 {
		return nil, http.StatusLengthRequired, "Transfer-Encoding is not taken"
	}
	if !r.ProtoAtLeast(1, 1) { // there net/http drops Transfer-Encoding unseen
		return nil, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"
	}
	for _, name := range singleValueHeaders {
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
	switch effect := s.idempotency[class]; {
	case effect == decide.Idempotent && r.Method != http.MethodGet,
		effect != decide.Idempotent && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, "the class does not go with the method"
	case effect == decide.Keyed && key == "":
		return nil, http.StatusBadRequest, "the class needs an Idempotency-Key"
	}
	txn := r.Header.Get("X-Txn")
	if txn == "" {
		return nil, http.StatusBadRequest, "no X-Txn"
	}
	ms, err := strconv.ParseUint(r.Header.Get("X-Remaining-Ms"), 10, 32)
	wait := time.Duration(ms) * time.Millisecond
	if err != nil || wait > maxRemaining {
		return nil, http.StatusBadRequest, "X-Remaining-Ms is missing or odd"
	}
	if longest := s.maxWaits[class]; longest > 0 { // nobody waits for longer
		wait = min(wait, longest)
	}
	p := &pendingRequest{
		path:     r.URL.Path,
		txn:      txn,
		deadline: now + wait,
		request:  decide.Request{Class: class, Tenant: -1, IsRetry: r.Header.Get("X-Resent") == "1"},
	}
	if tenant, ok := s.tenants[r.Header.Get("X-Org")]; ok {
		p.request.Tenant = tenant
	}
	if text := r.Header.Get("X-Estimate"); text != "" {
		us, err := strconv.ParseUint(text, 10, 32)
		work := time.Duration(us) * time.Microsecond
		if err != nil || work > maxRemaining {
			return nil, http.StatusBadRequest, "X-Estimate is odd"
		}
		p.request.Work = work
	}
	p.upstreamRequest = &upstream.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Txn: txn, IdempotencyKey: key, ContentType: r.Header.Get("Content-Type"),
		Finished: &p.finished,
	}
	if !strings.HasPrefix(p.upstreamRequest.URI, "/") || strings.HasPrefix(p.upstreamRequest.URI, "//") {
		return nil, http.StatusBadRequest, "the target is no path"
	}
	if r.Body == http.NoBody {
		return p, 0, ""
	}
	if s.idempotency[class] == decide.Idempotent {
		return nil, http.StatusBadRequest, "the class takes no body"
	}
	if r.ContentLength > upstream.MaxBodySize {
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	p.upstreamRequest.Body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, p.upstreamRequest.Body); err != nil {
		return nil, http.StatusRequestTimeout, "the body did not come"
	}
	// A request begins with its last byte.
	p.deadline += s.clock.Now() - now
	return p, 0, ""
}
