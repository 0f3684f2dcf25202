package decide

import (
	"fmt"
	"testing"
	"time"
)

// benchFleet returns one of a hundred front proxies before n servers in four zones.
func benchFleet(n int) (*Balancer, []Server) {
	zones := []string{"a", "b", "c", "d"}
	b := New(Settings{
		Node: 7, Nodes: max(1, min(100, n/4)), Zone: "a", Zones: 4, MaxAttempts: 4, AnswerGrace: 10 * ms,
		ColdCapacity: 0.3, WarmupTime: 8 * time.Second, CollapseMultiple: 2.5, CollapseWindow: time.Second,
		Classes: []Class{{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1},
			{LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 12}},
	}, 1, time.Second)
	list := make([]Server, n)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s%05d", i), Zone: zones[i%4], Cell: i / 8}
	}
	b.HandleList(time.Second, ListUpdate{Kind: ListFull, Servers: list}, nil)
	b.SetRoutePolicies(time.Second, []RoutePolicy{{AttemptTimeout: 300 * ms, MaxAttempts: 3}}, nil)
	return b, list
}

// BenchmarkDecision measures a request with its attempt and its end, with eight requests in flight.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, _ := benchFleet(n)
			type openAttempt struct {
				id     uint64
				server string
			}
			var out []openAttempt
			var buf []Action
			now := time.Second
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 500 * time.Microsecond
				r := Request{ID: uint64(i), Class: i % 2, Route: i % 3, Tenant: -1, TTL: 2 * time.Second}
				buf = d.HandleRequest(now, r, buf[:0])
				for _, a := range buf {
					if a.Kind == Send {
						out = append(out, openAttempt{a.Request, a.Server})
					}
				}
				if len(out) > 8 {
					f := out[0]
					out = append(out[:0], out[1:]...)
					buf = d.HandleOutcome(now, Outcome{Request: f.id, Server: f.server, Elapsed: 4 * ms,
						Final: true}, buf[:0])
				}
			}
		})
	}
}

// BenchmarkListChange measures an update of one server.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, list := benchFleet(n)
			now := time.Second
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 10 * ms
				e := list[i%n]
				e.Started = now
				d.HandleList(now, ListUpdate{Kind: ListDiff, Servers: []Server{e}}, nil)
			}
		})
	}
}
