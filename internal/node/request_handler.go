package node

import (
	"hash/maphash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewring/decide"
	"curlewring/internal/budget"
	"curlewring/internal/conns/requestids"
	"curlewring/internal/node/clock"
	"curlewring/internal/node/front"
	"curlewring/internal/node/upstream"
)

const (
	maxHeaderBytes = 16 << 10
	maxRemaining   = 10 * time.Minute // larger times in headers are rejected as invalid

	minTxnRetention    = 10 * time.Second // of the X-Txn values of requests that may have run
	txnMemoryDivisor   = 64               // remembered X-Txn values may use 1/64 of the node's memory
	rememberedTxnBytes = 40
)

// requestHandler is the front.Handler of the node. It validates clients' requests, passes them
// to the loop, and turns the loop's answers into responses.
type requestHandler struct {
	clock        clock.Clock
	loop         *loop
	classes      map[string]int
	tenants      map[string]int
	idempotency  []decide.Idempotency
	budgets      *budgets        // nil: budgets are off
	maxWaits     []time.Duration // longest time that a client waits, by class
	front        *front.Server
	trace        *trace      // nil: debug logging is off
	shuttingDown atomic.Bool // shutdown has begun: /ready answers 503

	mu   sync.Mutex
	txns *requestids.Table // X-Txn values
}

func newRequestHandler(c *Config, clock clock.Clock, loop *loop) *requestHandler {
	h := &requestHandler{
		clock: clock, loop: loop, classes: map[string]int{}, tenants: map[string]int{},
		txns: requestids.New(txnSettings(c), clock.Now()),
	}
	for i, name := range c.Classes {
		h.classes[name] = i
		h.idempotency = append(h.idempotency, c.Settings.Classes[i].Idempotency)
		h.maxWaits = append(h.maxWaits, c.Settings.Classes[i].Deadline)
	}
	for i, name := range c.Tenants {
		h.tenants[name] = i
	}
	return h
}

// txnSettings returns how long, and how many, X-Txn values of requests that may have run are remembered.
func txnSettings(c *Config) requestids.Settings {
	retention := minTxnRetention
	for _, class := range c.Settings.Classes {
		retention = max(retention, class.Deadline, class.KeyTTL)
	}
	return requestids.Settings{
		Retention: retention, MaxRemembered: c.MemoryMB << 20 / txnMemoryDivisor / rememberedTxnBytes, Seed: maphash.MakeSeed(),
	}
}

// singleValueHeaders are the headers that a request must not repeat: node and server might
// each use another of the values.
var singleValueHeaders = [...]string{"X-Txn", "X-Lane", "X-Org", "X-Remaining-Ms", "X-Resent", "X-Estimate", "Idempotency-Key"}

// HandleRequest handles one request. It implements front.Handler.
func (h *requestHandler) HandleRequest(t front.Token, r *http.Request, a front.Arrival) (handle any, class int, _ *front.Response) {
	now := h.clock.Now()
	if r.URL.Path == "/ready" {
		if h.loop.ready.Load() && !h.shuttingDown.Load() {
			return nil, -1, &front.Response{Status: http.StatusOK, Text: "ready"}
		}
		return nil, -1, &front.Response{Status: http.StatusServiceUnavailable, Text: "not ready"}
	}
	p, status, problem := h.parse(r, a, now)
	spent := ""
	if p != nil && h.budgets != nil {
		rb, loop := h.budgets.read(r, p.request.Class, p.deadline-now)
		if p.budget = rb; rb == nil {
			spent = budget.EncodeSpent(0, budget.Loop)
			p, status, problem = nil, http.StatusLoopDetected, "the request has come round in a loop: "+loop
		} else {
			p.deadline = min(p.deadline, now+rb.grant.TimeLeft)
		}
	}
	if p != nil {
		if conflict := h.reserveTxn(now, p.txn); conflict != "" {
			p, status, problem = nil, http.StatusConflict, conflict
		}
	}
	if p == nil {
		// The connection is closed: after such an error, what follows on it may be no request
		// but, for instance, the rest of this one's body.
		h.trace.requestRejected(t, r.Header.Get("X-Txn"), status, problem)
		rejection := &front.Response{Status: status, Text: problem, Close: true}
		if spent != "" {
			rejection.HeaderName, rejection.HeaderValue = budget.SpentHeaderName, spent
		}
		return nil, -1, rejection
	}
	if reason := refusalReason(a); reason != "" {
		h.releaseTxn(p, now)
		h.trace.requestRejected(t, p.txn, http.StatusTooManyRequests, reason)
		return nil, p.request.Class, &front.Response{Status: http.StatusTooManyRequests, Text: reason, Close: a.Refuse}
	}
	p.token, p.arrivedAt = t, now
	h.loop.post(requestArrived{p})
	return p, p.request.Class, nil
}

// refusalReason returns why a request is refused by the way in which it arrived, or "" if it is not.
func refusalReason(a front.Arrival) string {
	switch {
	case a.Refuse:
		return "too many connections or too little memory"
	case a.EndHidden:
		return "too much has arrived behind the request"
	}
	return ""
}

// ClientGone abandons the request of a client that has disconnected. It implements
// front.Handler.
func (h *requestHandler) ClientGone(handle any) {
	p := handle.(*pendingRequest)
	p.finished.Store(true) // at once, before the loop gets to clientDisconnected
	h.loop.post(clientDisconnected{p})
}

// reserveTxn reserves a request's X-Txn, or returns why that is not possible. Servers use it to tell attempts apart and
// to drop duplicates, so with two requests of one X-Txn answers might reach the wrong client, or an effect happen twice.
func (h *requestHandler) reserveTxn(now time.Duration, txn string) (conflict string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.txns.Reserve(now, txn) {
	case requestids.InUse:
		return "another request with this X-Txn is open"
	case requestids.HasRun:
		return "a request with this X-Txn may have run"
	}
	return ""
}

// releaseTxn ends the reservation of a request's X-Txn, once it has its answer and no attempt is out.
func (h *requestHandler) releaseTxn(p *pendingRequest, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.txns.Release(now, p.txn, p.mayHaveRun && h.idempotency[p.request.Class] != decide.Idempotent)
}

// respond delivers the final answer to the client's connection. It does not block.
func (h *requestHandler) respond(p *pendingRequest, a answer) {
	to := front.Response{HeaderName: budget.SpentHeaderName, HeaderValue: a.spent, WriteDeadline: p.deadline + front.WriteGrace}
	if a.spent == "" {
		to.HeaderName = ""
	}
	if p.deadline > p.arrivedAt+answerMargin {
		to.Deadline = p.deadline
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
	h.front.Respond(p.token, to)
}

// TimeLeft returns how long the client of a request waits for its answer. It implements
// front.Handler.
func (h *requestHandler) TimeLeft(r *http.Request) time.Duration {
	wait, ok := parseWait(r)
	if class, known := h.classes[classNameOf(r)]; ok && known {
		return h.limitWait(wait, class)
	}
	return 0
}

// classNameOf returns the name of a request's class, the first part of its path.
func classNameOf(r *http.Request) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return first
}

// parseWait parses how long the client of a request waits.
func parseWait(r *http.Request) (wait time.Duration, ok bool) {
	ms, err := strconv.ParseUint(r.Header.Get("X-Remaining-Ms"), 10, 32)
	wait = time.Duration(ms) * time.Millisecond
	return wait, err == nil && wait <= maxRemaining
}

// limitWait limits a client's wait to the deadline of its request's class: no client waits longer.
func (h *requestHandler) limitWait(wait time.Duration, class int) time.Duration {
	if longest := h.maxWaits[class]; longest > 0 {
		return min(wait, longest)
	}
	return wait
}

// parse reads a request, without its body if it is refused. For an invalid one it returns the status
// and text of the answer. None of these statuses is a refusal, as a retry of such a request is of no use.
func (h *requestHandler) parse(r *http.Request, a front.Arrival, now time.Duration) (*pendingRequest, int, string) {
	// The client's time has run while its request waited for memory.
	p, status, problem := h.parseHead(r, now-a.Waited)
	if p == nil || a.Refuse || r.Body == http.NoBody {
		return p, status, problem
	}
	p.upstreamRequest.Body = make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, p.upstreamRequest.Body); err != nil {
		return nil, http.StatusRequestTimeout, "the body did not come"
	}
	return p, 0, ""
}

// parseHead reads a request but for its body. since is the time from which its client waits.
func (h *requestHandler) parseHead(r *http.Request, since time.Duration) (*pendingRequest, int, string) {
	// For a request with both Transfer-Encoding and Content-Length, net/http drops one, and a
	// server or proxy that uses the other finds a second request inside the body (request
	// smuggling). Chunked bodies are rejected altogether: no client needs them.
	if len(r.TransferEncoding) > 0 {
		return nil, http.StatusLengthRequired, "Transfer-Encoding is not taken"
	}
	if !r.ProtoAtLeast(1, 1) { // net/http silently drops Transfer-Encoding there
		return nil, http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"
	}
	for _, name := range singleValueHeaders {
		if len(r.Header.Values(name)) > 1 {
			return nil, http.StatusBadRequest, name + " stands there twice"
		}
	}
	first := classNameOf(r)
	class, ok := h.classes[first]
	if !ok {
		return nil, http.StatusNotFound, "no such class of requests"
	}
	if lane := r.Header.Get("X-Lane"); lane != "" && lane != first {
		return nil, http.StatusBadRequest, "X-Lane and the path differ"
	}
	key := r.Header.Get("Idempotency-Key")
	switch idempotency := h.idempotency[class]; {
	case idempotency == decide.Idempotent && r.Method != http.MethodGet,
		idempotency != decide.Idempotent && r.Method != http.MethodPost:
		return nil, http.StatusMethodNotAllowed, "the class does not go with the method"
	case idempotency == decide.Keyed && key == "":
		return nil, http.StatusBadRequest, "the class needs an Idempotency-Key"
	}
	txn := r.Header.Get("X-Txn")
	if txn == "" {
		return nil, http.StatusBadRequest, "no X-Txn"
	}
	wait, ok := parseWait(r)
	if !ok {
		return nil, http.StatusBadRequest, "X-Remaining-Ms is missing or odd"
	}
	p := &pendingRequest{
		path:     r.URL.Path,
		txn:      txn,
		deadline: since + h.limitWait(wait, class),
		request:  decide.Request{Class: class, Tenant: -1, IsRetry: r.Header.Get("X-Resent") == "1"},
	}
	if tenant, ok := h.tenants[r.Header.Get("X-Org")]; ok {
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
	if h.idempotency[class] == decide.Idempotent {
		return nil, http.StatusBadRequest, "the class takes no body"
	}
	if r.ContentLength > upstream.MaxBodySize {
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	return p, 0, ""
}
