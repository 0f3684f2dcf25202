package serverdb

import (
	"fmt"
	"testing"
	"time"
)

// Servers that come and go for long must not let the DB grow: it is bounded by its rows, not by the events.
func TestMemoryIsBoundedByRows(t *testing.T) {
	const events, serverCount, eventsPerCommit = 1_000_000, 10, 10_000
	fs, now := newMemoryFS(), time.Duration(0)
	p, _ := open(fs, Settings{}, now)
	for i := range events {
		state := State(i / serverCount % 2 * int(Gone)) // all come, then all go
		p.Record(now, []Observation{fromDiscovery(fmt.Sprint("s", i%serverCount), state, 1, noon)})
		if (i+1)%eventsPerCommit == 0 {
			now = p.commit(t, now)
		}
		if i == events/2 {
			now = p.commit(t, now)
			p, _ = open(fs, Settings{}, now)
		}
	}
	if len(p.rows) != serverCount || len(p.pending) > serverCount || p.store.Len() != serverCount {
		t.Errorf("%d rows, %d pending, %d in the store", len(p.rows), len(p.pending), p.store.Len())
	}
	if bound := 2*len(p.rows) + 64; p.tombstones.Len() > bound {
		t.Errorf("%d tombstones of %d rows, want at most %d", p.tombstones.Len(), len(p.rows), bound)
	}
}

// After a restart the oldest removal is evicted first, also if the wall clock was wrong when it was recorded.
func TestEvictionOrderSurvivesARestart(t *testing.T) {
	for name, walls := range map[string][2]time.Time{
		"right clock":      {noon, noon.Add(time.Second)},
		"first ahead":      {noon.AddDate(1, 0, 0), noon},
		"second behind":    {noon, noon.AddDate(-1, 0, 0)},
		"same millisecond": {noon, noon.Add(time.Millisecond / 2)},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newMemoryFS()
			p, _ := open(fs, Settings{MaxTombstones: 2}, 0)
			p.Record(0, []Observation{fromDiscovery("removed first", Gone, 1, walls[0])})
			p.Record(0, []Observation{fromDiscovery("a removed second", Gone, 1, walls[1])})
			now := p.commit(t, 0)
			p, _ = open(fs, Settings{MaxTombstones: 2}, now)
			p.Record(now, []Observation{fromDiscovery("removed third", Gone, 1, noon.Add(time.Minute))})
			if got := fmt.Sprint(ids(p.Servers())); got != "[a removed second removed third]" {
				t.Errorf("remaining servers: %v", got)
			}
		})
	}
}

// After a restart the generation of removals must be known, also if an older list came after them or their rows are
// newer than that of the list.
func TestHighestGenerationSurvivesARestart(t *testing.T) {
	for name, c := range map[string]struct {
		change func(process)
		want   uint64
	}{
		"older list since": {func(p process) {
			p.RecordConfirmation(0, List{Generation: 8, HighestGeneration: 20, Confirmed: noon})
		}, 20},
		"newer rows": {func(p process) { p.Record(0, []Observation{fromDiscovery("a", Gone, 1, noon)}) }, 8},
	} {
		fs := newMemoryFS()
		p, _ := open(fs, Settings{}, 0)
		p.Record(0, []Observation{fromDiscovery("a", Serving, 1, noon)})
		p.RecordConfirmation(0, List{Generation: 7, Confirmed: noon})
		c.change(p)
		p.commit(t, 0)
		p, _ = open(fs, Settings{}, 0)
		l := p.List()
		if got := l.DeparturesUpTo(); got != c.want {
			t.Errorf("%s: generation %d, want %d", name, got, c.want)
		}
	}
}
