package virtual

import (
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/rig/standin/judge"
)

// oneServerRun is a run with one server of one core in site 0 and a node in each of two sites. The work of a request
// takes 100 ms.
func oneServerRun() *run {
	c := Default()
	c.Nodes, c.Kinds = 2, []ServerKind{{Count: 1, Cores: 1, Speed: 1}}
	c.SiteLatency, c.CrossSiteLatency, c.ListDelay, c.WarmupTime = ms, 50*ms, time.Minute, 0
	c.Classes = []Class{{
		Class: decide.Class{LatencyTarget: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Idempotency: decide.AtMostOnce},
		Share: 1, Work: 100 * ms,
	}}
	return newRun(c)
}

// ending is how and when a request ended.
type ending struct {
	outcome judge.RequestOutcome
	at      time.Duration
}

// submitAt submits a request to a node and returns its ending, which is set during the run.
func submitAt(r *run, at time.Duration, node int) *ending {
	end := &ending{}
	r.at(at, func() {
		r.submit(r.nodes[node], 0, 100*ms, 5*time.Second, false, func(outcome judge.RequestOutcome, _ time.Duration) {
			*end = ending{outcome, r.now}
		})
	})
	return end
}

// The response to an attempt that has waited in a server's queue must take the latency to the attempt's own node, not
// that of the attempt whose arrival made the server begin.
func TestResponsesTakeTheirOwnLatency(t *testing.T) {
	r := oneServerRun()
	near, far, nearAgain := submitAt(r, 0, 0), submitAt(r, 0, 1), submitAt(r, 10*ms, 0)
	r.processEvents(func() bool { return r.now >= 10*time.Second })
	// The server works until 101, 201 and 301 ms: the second request of the near node arrives before the far one.
	for name, got := range map[string]struct{ got, want ending }{
		"near": {*near, ending{judge.Served, 102 * ms}}, "near again": {*nearAgain, ending{judge.Served, 202 * ms}}, "far": {*far, ending{judge.Served, 351 * ms}},
	} {
		if got.got != got.want {
			t.Errorf("%s: ended as %v, want %v", name, got.got, got.want)
		}
	}
}

// An attempt that is under way when its server's process ends has not reached it. It must find what is there when it
// arrives, and its node must not be told before that a connection was lost.
func TestStopCutsOnlyAttemptsThatArrived(t *testing.T) {
	for name, restarts := range map[string]bool{"restarted meanwhile": true, "down": false} {
		r := oneServerRun()
		far := submitAt(r, 0, 1)
		r.at(10*ms, func() { r.stopServer(r.servers[0][0]) })
		if restarts {
			r.at(20*ms, func() { r.restartServer(r.servers[0][0]) })
		}
		r.processEvents(func() bool { return far.at > 0 })
		if restarts && *far != (ending{judge.Served, 200 * ms}) {
			t.Errorf("%s: ended as %v, want it served after 200 ms", name, *far)
		}
		if !restarts && far.at < 100*ms {
			t.Errorf("%s: ended as %v, before it can have been refused a connection", name, *far)
		}
	}
}
