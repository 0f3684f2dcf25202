package lab

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
	"curlewring/internal/rig/standin/judge"
)

// A node that never gets ready again must fail the run: its client sends nothing, which breaks no rule. A node that is
// killed during the wait must not become available by the readiness of its previous process.
func TestRestartedNodeThatIsNotReady(t *testing.T) {
	var ready atomic.Bool
	polls, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ready" {
			return
		}
		isReady := ready.Load()
		select {
		case polls <- struct{}{}:
			<-release
		case <-r.Context().Done():
		}
		if !isReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	p := &process{name: "n0", address: server.Listener.Addr().String()}
	plan := standin.Plan{Classes: standin.DefaultPlan().Classes}
	client := standin.NewClient(p.name, p.address, &plan, standin.NewClock(), judge.New(judge.Rules{}))
	available := func() bool {
		return !client.Do(t.Context(), standin.Request{ID: "1", Path: "/a/1", Timeout: time.Second}).NotSent
	}
	r := newRestarts()
	defer r.close()
	answerPoll := func() {
		<-polls
		release <- struct{}{}
	}

	ready.Store(true)
	r.add(p, client)
	<-polls // the first process answers that it is ready
	r.stop(p)
	ready.Store(false)
	r.add(p, client)
	release <- struct{}{}
	answerPoll()
	answerPoll()
	if available() {
		t.Error("the client uses a node that is not ready")
	}
	r.finish(0)
	if p.failure == nil {
		t.Error("a node that is not ready after its restart is not reported")
	}
}
