package node

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/clock"
	"curlewring/internal/servers/endpoints"
)

// Servers that come and go must not leave more timers for their release than servers can be held.
func TestReleaseTimersAreBounded(t *testing.T) {
	const servers = 20
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := newLoop(t.Context(), &Config{}, clock.New(), nil, log)
	l.now = time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	all := &endpoints.List{Generation: 1}
	for i := range servers {
		server := decide.Server{ID: fmt.Sprint("s", i), Started: time.Second, Weight: 1}
		all.Entries = append(all.Entries, endpoints.Entry{Server: server, Address: fmt.Sprint("h:", i)})
	}
	l.view.Apply(l.now, all)
	largest := 0
	for generation := range uint64(100_000) {
		l.now += 600 * time.Millisecond
		for len(l.timers) > 0 && l.timers[0].at <= l.now {
			l.fire(heap.Pop(&l.timers).(timer))
		}
		e := &all.Entries[rng.IntN(servers)]
		if rng.IntN(2) == 0 {
			e = &all.Entries[rng.IntN(3)]
		}
		if e.Health == decide.Healthy {
			e.Health = decide.Removed
		} else {
			e.Health = decide.Healthy
		}
		l.view.Apply(l.now, &endpoints.List{Generation: generation + 2, Entries: []endpoints.Entry{*e}})
		l.scheduleRelease()
		largest = max(largest, len(l.timers))
	}
	if largest > servers {
		t.Errorf("%d timers for %d servers", largest, servers)
	}
}
