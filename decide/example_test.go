package decide_test

import (
	"fmt"
	"time"

	"curlewring/decide"
)

// A node keeps one Balancer, passes it each event with the time, and carries out the returned actions.
func Example() {
	set := decide.Settings{
		Nodes: 1, MaxAttempts: 3, AnswerGrace: 10 * time.Millisecond,
		Classes: []decide.Class{{
			LatencyTarget: 300 * time.Millisecond, Deadline: time.Second, Worth: 1,
			Idempotency: decide.Idempotent,
		}},
	}
	now := time.Duration(0) // the node's own monotonic clock
	b := decide.New(set, 1, now)
	b.HandleList(now, decide.ListUpdate{Kind: decide.ListFull, Servers: []decide.Server{
		{ID: "10.0.0.1:80"}, {ID: "10.0.0.2:80"},
	}}, nil)

	request := decide.Request{ID: 7, Tenant: -1, TTL: time.Second}
	for _, a := range b.HandleRequest(now, request, nil) {
		if a.Kind != decide.Send {
			continue
		}
		fmt.Println("send request", a.Request)
		now += 20 * time.Millisecond // no connection to the server
		failed := decide.Outcome{Request: 7, Server: a.Server, Result: decide.ConnectFailed,
			Elapsed: 20 * time.Millisecond}
		for _, retry := range b.HandleOutcome(now, failed, nil) {
			if retry.Kind == decide.Send {
				fmt.Println("send again to another server:", retry.Server != a.Server)
			}
		}
	}
	// Output:
	// send request 7
	// send again to another server: true
}
