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
	"curlewring/internal/node/upstream"
)

// FuzzEdge feeds the node's edge whatever net/http takes for a request. What the
// edge lets through must keep its bounds, and stand on the wire to a server as
// one request, the same that came: nothing may hide in it.
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
	s := newRequestHandler(config, clock, nil)
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		now := clock.Now()
		p, status, why := s.parse(httptest.NewRecorder(), r, now)
		if p == nil {
			if status < 400 || status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || why == "" {
				t.Fatalf("turned away with %d %q", status, why)
			}
			return
		}
		if p.request.Class < 0 || p.request.Class >= len(s.idempotency) || len(p.upstreamRequest.Body) > upstream.MaxBodySize ||
			p.deadline > clock.Now()+s.maxWaits[p.request.Class] || p.request.Work < 0 {
			t.Fatalf("let through %+v", p.request)
		}
		if first, _, _ := strings.Cut(strings.TrimPrefix(p.path, "/"), "/"); s.classes[first] != p.request.Class {
			t.Fatalf("path %q is of class %d", p.path, p.request.Class)
		}
		message, err := p.upstreamRequest.Encode(nil, "127.0.0.1:1", "", time.Second)
		if err != nil {
			return // what can't be written is not sent
		}
		wire := bufio.NewReader(bytes.NewReader(message))
		sent, err := http.ReadRequest(wire)
		if err != nil {
			t.Fatalf("a server can't read %q: %v", message, err)
		}
		body, err := io.ReadAll(sent.Body)
		if err != nil || !bytes.Equal(body, p.upstreamRequest.Body) {
			t.Fatalf("a server reads the body %q (%v), %q came", body, err, p.upstreamRequest.Body)
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
