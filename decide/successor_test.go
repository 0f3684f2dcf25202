package decide

import (
	"testing"
	"time"
)

// Guards against a keyed request that is repeated in the listed cell of a server, though its process has ended and
// another one, of another cell, may have run it.
func TestKeyedCallIsNotRepeatedAfterRefusedConnections(t *testing.T) {
	const group = 10 * time.Second
	type event struct {
		at      time.Duration
		result  Result
		refused bool
		opened  time.Duration // when the connection that carried the response was opened
	}
	refusal := event{at: 2 * time.Second, result: ConnectFailed, refused: true}
	for name, c := range map[string]struct {
		history []event
		at      time.Duration // of the keyed call
		restart bool          // discovery lists a new start before
		repeats bool
	}{
		"no refusal":                    {nil, 5 * time.Second, false, true},
		"never connected":               {[]event{{at: 2 * time.Second, result: ConnectFailed}}, 5 * time.Second, false, true},
		"refused":                       {[]event{refusal}, 5 * time.Second, false, false},
		"refused, answers since":        {[]event{refusal, {5 * time.Second, Served, false, 3 * time.Second}}, 6 * time.Second, false, false},
		"refused, the same process":     {[]event{refusal, {5 * time.Second, Served, false, time.Second}}, 6 * time.Second, false, true},
		"opened between two refusals":   {[]event{refusal, {at: 4 * time.Second, result: ConnectFailed, refused: true}, {5 * time.Second, Served, false, 3 * time.Second}}, 20 * time.Second, false, false},
		"it would have been listed":     {[]event{refusal, {3 * time.Second, Served, false, 3 * time.Second}, {15 * time.Second, Served, false, 14 * time.Second}}, 16 * time.Second, false, true},
		"refused, listed as restarted":  {[]event{refusal}, 6 * time.Second, true, true},
		"refused again after an answer": {[]event{refusal, {3 * time.Second, Served, false, 3 * time.Second}, {at: 12 * time.Second, result: ConnectFailed, refused: true}, {15 * time.Second, Served, false, 14 * time.Second}}, 16 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(Settings{Nodes: 1, MaxAttempts: 4, Tier: 1, Classes: []Class{
				{Worth: 1, LatencyTarget: time.Minute, Deadline: time.Minute, Idempotency: Keyed, Group: GroupCell, KeyTTL: group},
			}}, 1, 0)
			servers := []Server{{ID: "a", Cell: 1}, {ID: "b", Cell: 1}}
			b.HandleList(0, ListUpdate{Kind: ListFull, Servers: servers}, nil)
			for _, e := range c.history {
				b.HandleOutcome(e.at, Outcome{Request: 99, Server: "a", Result: e.result, ConnRefused: e.refused, ConnAge: e.at - e.opened}, nil)
			}
			if c.restart {
				servers[0].Started = 4 * time.Second
				b.HandleList(c.at-time.Second, ListUpdate{Kind: ListDiff, Servers: servers[:1]}, nil)
			}
			repeated, sentToA := false, false
			for id := range uint64(40) {
				sends := b.HandleRequest(c.at, Request{ID: id, Tenant: -1, TTL: time.Minute}, nil)
				if len(sends) == 0 || sends[0].Kind != Send || sends[0].Server != "a" {
					continue
				}
				sentToA = true
				for _, a := range b.HandleOutcome(c.at+time.Millisecond, Outcome{Request: id, Server: "a", Result: Errored, ConnAge: time.Millisecond}, nil) {
					repeated = repeated || a.Kind == Send
				}
				break
			}
			if !sentToA {
				t.Fatal("nothing was sent to the server")
			}
			if repeated != c.repeats {
				t.Errorf("repeated: %v, want %v", repeated, c.repeats)
			}
		})
	}
}
