package decide

import (
	"testing"
	"time"
)

// Guards against requests that have no time left being taken for an overload, so that requests of others are refused.
func TestExpiredRequestsAreNoOverload(t *testing.T) {
	b := New(Settings{Nodes: 1, MaxAttempts: 4, Tiers: 1, Tenants: []Tenant{{Quota: 100, Share: 1}}, Classes: []Class{
		{Worth: 1, LatencyTarget: time.Second, Deadline: 2 * time.Second},
		{Worth: 12, LatencyTarget: time.Second, Deadline: 2 * time.Second},
	}}, 1, 0)
	b.HandleList(0, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil)
	now, id := time.Duration(0), uint64(0)
	handle := func(class int, ttl time.Duration) Action {
		id++
		actions := b.HandleRequest(now, Request{ID: id, Class: class, Tenant: 0, TTL: ttl}, nil)
		for _, a := range actions {
			if a.Kind == Send || a.Kind == Refuse || a.Kind == Fail {
				return a
			}
		}
		t.Fatalf("request %d got neither an attempt nor an answer: %v", id, actions)
		return Action{}
	}
	handle(0, time.Second) // stays open
	for range 20 {
		for range 500 {
			now += 100 * time.Microsecond
			if a := handle(1, 0); a.Kind != Fail || a.Reason != DeadlineExceeded {
				t.Fatalf("a request with no time left got %v", a)
			}
		}
		if a := handle(0, time.Second); a.Kind != Send {
			t.Fatalf("after %d requests with no time left, another one got %v", id, a)
		}
		b.HandleOutcome(now, Outcome{Request: id, Server: "a", Result: Served, Elapsed: time.Millisecond, Final: true}, nil)
	}
}
