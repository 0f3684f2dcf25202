package node

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"curlewring/internal/node/clock"
	"curlewring/internal/node/front"
	"curlewring/internal/node/upstream"
)

// FuzzEdge passes everything that net/http accepts as a request to requestHandler.parse. An
// accepted request must keep all limits, and must be encoded for the server as exactly one
// request, the same that was received: no second request may be smuggled in it.
func FuzzEdge(f *testing.F) {
	for _, text := range []string{
		rawLook(),
		"POST /note/1 HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining-Ms: 5\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nab",
		"POST /act/%2e%2e//x?y HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining-Ms: 5\r\nContent-Length: 0\r\n\r\n",
		"POST /act/1 HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining-Ms: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET http://b/look/1 HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining-Ms: 5\r\n\r\n",
		"GET /look/1 HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining-Ms: 99999999999999999999\r\n\r\n",
		"GET /look HTTP/1.1\r\nHost: a b\r\nX-Txn: \x801\r\nX-Org: o\r\nX-Estimate: 7\r\nX-Remaining-Ms: 5\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	config, err := parseConfig([]byte(configText("127.0.0.1:1", "null", 1024)))
	if err != nil {
		f.Fatal(err)
	}
	clock := clock.New()
	h := newRequestHandler(config, clock, nil)
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		now := clock.Now()
		p, status, problem := h.parse(r, front.Arrival{}, now)
		if p == nil {
			if status < 400 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || problem == "" {
				t.Fatalf("rejected with %d %q", status, problem)
			}
			return
		}
		if p.request.Class < 0 || p.request.Class >= len(h.idempotency) || len(p.upstreamRequest.Body) > upstream.MaxBodySize ||
			p.deadline > clock.Now()+h.maxWaits[p.request.Class] || p.request.Work < 0 {
			t.Fatalf("accepted %+v", p.request)
		}
		if first, _, _ := strings.Cut(strings.TrimPrefix(p.path, "/"), "/"); h.classes[first] != p.request.Class {
			t.Fatalf("path %q is of class %d", p.path, p.request.Class)
		}
		message, err := p.upstreamRequest.Encode(nil, "127.0.0.1:1", "", time.Second)
		if err != nil {
			return // a request that can't be encoded is not sent
		}
		wire := bufio.NewReader(bytes.NewReader(message))
		sent, err := http.ReadRequest(wire)
		if err != nil {
			t.Fatalf("a server can't read %q: %v", message, err)
		}
		body, err := io.ReadAll(sent.Body)
		if err != nil || !bytes.Equal(body, p.upstreamRequest.Body) {
			t.Fatalf("a server reads the body %q (%v), %q was received", body, err, p.upstreamRequest.Body)
		}
		if rest, _ := io.ReadAll(wire); len(rest) > 0 {
			t.Fatalf("%q follows the request", rest)
		}
		if sent.Method != r.Method || sent.RequestURI != r.RequestURI || sent.Header.Get("X-Txn") != p.upstreamRequest.Txn ||
			len(sent.Header.Values("X-Txn")) != 1 || len(sent.TransferEncoding) > 0 {
			t.Fatalf("%q became %q", text, message)
		}
	})
}

// Guards against a request that waited for memory and is then given its whole time again: its answer would come after its
// client's time.
func TestWaitForMemoryCountsAgainstDeadline(t *testing.T) {
	const left, waited = 480 * time.Millisecond, 200 * time.Millisecond
	clock := clock.New()
	h := newRequestHandler(testConfig(t, "127.0.0.1:1", "null", 1024), clock, nil)
	r := httptest.NewRequest(http.MethodGet, "/look/1", nil)
	r.Header.Set("X-Txn", "1")
	r.Header.Set("X-Remaining-Ms", "480")
	if got := h.TimeLeft(r); got != left {
		t.Errorf("%v left, want %v", got, left)
	}
	now := clock.Now()
	p, status, problem := h.parse(r, front.Arrival{Waited: waited}, now)
	if p == nil || p.deadline != now+left-waited {
		t.Errorf("%d %q; want a deadline %v after the request was read", status, problem, left-waited)
	}
}

// A request that is refused for want of memory is refused without its body, so that its client may try again.
func TestRequestIsRefusedWithoutItsBody(t *testing.T) {
	h := newRequestHandler(testConfig(t, "127.0.0.1:1", "null", 1024), clock.New(), nil)
	r := httptest.NewRequest(http.MethodPost, "/act/1", strings.NewReader(""))
	r.ContentLength = 100
	r.Header.Set("X-Txn", "1")
	r.Header.Set("X-Remaining-Ms", "480")
	for range 2 { // the refusal leaves nothing open
		if _, _, response := h.HandleRequest(0, r, front.Arrival{Refuse: true}); response == nil || response.Status != http.StatusTooManyRequests || !response.Close {
			t.Errorf("got %+v", response)
		}
	}
}
