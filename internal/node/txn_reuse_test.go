package node

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	. "curlewring/internal/node/nodetest"
)

// Guards against a request that runs twice because it comes again under its X-Txn after its client has left or has its
// answer.
func TestRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	t.Parallel()
	served := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }
	turnedAway := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Turned-Away", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	hangs := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, c := range map[string]struct {
		class, key string
		first      http.HandlerFunc
		leaves     bool
		second     int // status
	}{
		"unsafe and left":           {"act", "", hangs, true, http.StatusConflict},
		"keyed and left":            {"note", "k1", hangs, true, http.StatusConflict},
		"unsafe and served":         {"act", "", served, false, http.StatusConflict},
		"unsafe and never run":      {"act", "", turnedAway, false, http.StatusOK},
		"safe to repeat and left":   {"look", "", hangs, true, http.StatusOK},
		"safe to repeat and served": {"look", "", served, false, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var isSecond atomic.Bool
			s := NewServer(t, func(w http.ResponseWriter, r *http.Request) {
				if isSecond.Load() {
					served(w, r)
				} else {
					c.first(w, r)
				}
			})
			n := startWithServers(t, s)
			text := rawRequest(c.class, c.key)
			first := dialRaw(t, n)
			first.send(t, text)
			WaitFor(t, "the first is out", func() bool { return s.RequestCount() > 0 })
			if c.leaves {
				first.Close()
			} else {
				first.receive(t)
			}
			WaitFor(t, "no attempt is out", func() bool {
				n.handler.mu.Lock()
				defer n.handler.mu.Unlock()
				return n.handler.txns.InUse() == 0
			})
			isSecond.Store(true)
			second := dialRaw(t, n)
			second.send(t, text)
			if resp := second.receive(t); resp.StatusCode != c.second {
				t.Errorf("the second got %s, want status %d", resp.Status, c.second)
			}
		})
	}
}

// rawRequest returns a request of a class with a new X-Txn.
func rawRequest(class, key string) string {
	method, body := "POST", "Content-Length: 1\r\n\r\nx"
	if class == "look" {
		method, body = "GET", "\r\n"
	}
	if key != "" {
		key = "Idempotency-Key: " + key + "\r\n"
	}
	return method + " /" + class + "/1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + NewRequestID() +
		"\r\nX-Lane: " + class + "\r\nX-Remaining-Ms: 15000\r\n" + key + body
}
