package idleconns

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// visit is one request in a trace: a controller asks, and has to connect anew if its
// connection was closed since.
type visit struct {
	at    time.Duration
	who   int
	class int
}

// trace is what a population of controllers does.
type trace struct {
	name   string
	places int // connections that may be held
	worths []float64
	visits []visit
}

// kind is a part of a population.
type kind struct {
	count  int
	class  int
	every  time.Duration
	jitter float64 // of every; 1: a memoryless wait
	once   bool    // each asks once, and another comes in its place
}

func draw(r *rand.Rand, length time.Duration, kinds ...kind) []visit {
	var all []visit
	who := 0
	for _, k := range kinds {
		for range k.count {
			who++
			for at := time.Duration(r.Float64() * float64(k.every)); at < length; {
				all = append(all, visit{at, who, k.class})
				if k.once {
					who++
				}
				wait := 1 + k.jitter*(2*r.Float64()-1)
				if k.jitter >= 1 {
					wait = r.ExpFloat64()
				}
				at += max(time.Millisecond, time.Duration(wait*float64(k.every)))
			}
		}
	}
	slices.SortStableFunc(all, func(x, y visit) int { return int(x.at - y.at) })
	return all
}

// traces are populations of lift controllers, desks and strangers.
func traces(seed uint64) []trace {
	r := rand.New(rand.NewPCG(seed, 3))
	worths := []float64{1, 12, 3} // zustand, notruf-abfrage, stoerung
	hour := time.Hour
	return []trace{
		{"every minute beside strangers", 700, worths, draw(r, hour/2,
			kind{count: 600, class: 0, every: time.Minute, jitter: .1}, kind{count: 300, class: 0, every: 20 * time.Second, once: true})},
		{"the desk beside many", 700, worths, draw(r, hour,
			kind{count: 60, class: 1, every: 4 * time.Minute, jitter: .5}, kind{count: 900, class: 0, every: time.Minute, jitter: .3})},
		{"seldom and often", 500, worths, draw(r, hour,
			kind{count: 300, class: 0, every: 30 * time.Second, jitter: .2}, kind{count: 900, class: 0, every: 10 * time.Minute, jitter: .2})},
		{"memoryless", 500, worths, draw(r, hour,
			kind{count: 400, class: 0, every: time.Minute, jitter: 1}, kind{count: 400, class: 2, every: 3 * time.Minute, jitter: 1})},
		{"all alike", 500, worths, draw(r, hour, kind{count: 800, class: 0, every: 2 * time.Minute, jitter: 1})},
		{"a loop larger than the room", 500, worths, draw(r, hour, kind{count: 600, class: 0, every: time.Minute, jitter: .02})},
		{"habits change", 600, worths, append(
			draw(r, hour/2, kind{count: 500, class: 1, every: 30 * time.Second, jitter: .2}, kind{count: 500, class: 0, every: 5 * time.Minute, jitter: .5}),
			shift(draw(r, hour/2, kind{count: 500, class: 0, every: 20 * time.Minute, jitter: .5}, kind{count: 500, class: 0, every: 30 * time.Second, jitter: .3}), hour/2)...)},
	}
}

func shift(all []visit, by time.Duration) []visit {
	for i := range all {
		all[i].at += by
	}
	return all
}

// replay returns the part of the worth of all returns that found their connection
// still open. Connections that others need the place of go by the policy.
func replay(t testing.TB, tr trace, p Policy) float64 {
	table := New(Settings{Policy: p, ClassWorths: tr.worths, NewcomerGrace: 250 * time.Millisecond, RememberedClients: 2 * tr.places}, nil, 0)
	type place struct{ who int }
	places := make([]place, tr.places)
	free := make([]int32, tr.places)
	for i := range free {
		free[i] = int32(i)
	}
	held, seen := map[int]int32{}, map[int]bool{}
	var kept, all float64
	for _, v := range tr.visits {
		id, ok := held[v.who]
		if seen[v.who] {
			all += tr.worths[v.class]
			if ok {
				kept += tr.worths[v.class]
			}
		}
		seen[v.who] = true
		if ok {
			table.RequestStarted(v.at, id)
		} else {
			if len(free) == 0 {
				out, word := table.Victim(v.at)
				if word != Found {
					t.Fatalf("%s: nobody makes room", tr.name)
				}
				table.Remove(out)
				delete(held, places[out].who)
				free = append(free, out)
			}
			id = free[len(free)-1]
			free = free[:len(free)-1]
			places[id].who, held[v.who] = v.who, id
			table.Add(v.at, id, 0, uint32(v.who))
		}
		table.RequestReceived(id, v.class)
		table.BecameIdle(v.at+5*time.Millisecond, id)
	}
	return kept / all
}

// What stays by value must be worth as much as what stays by recency, on each of the
// drawn traces but for a small part, and clearly more where connections differ.
func TestValueKeptIsNoLessThanByRecency(t *testing.T) {
	const part = 0.03
	sums := map[string][3]float64{}
	seeds := uint64(2)
	if os.Getenv("CURLEWRING_LONG") != "" {
		seeds = 10
	}
	for seed := range seeds {
		for _, tr := range traces(seed) {
			row := sums[tr.name]
			lru, slru, value := replay(t, tr, LRU), replay(t, tr, SegmentedLRU), replay(t, tr, LowestValue)
			for i, x := range []float64{lru, slru, value} {
				row[i] += x / float64(seeds)
			}
			sums[tr.name] = row
			if value < lru*(1-part) {
				t.Errorf("%s, seed %d: %.3f by value, %.3f by recency", tr.name, seed, value, lru)
			}
		}
	}
	better := 0
	for _, tr := range traces(0) {
		row := sums[tr.name]
		t.Logf("%-30s LRU %.3f  segmented %.3f  by value %.3f", tr.name, row[0], row[1], row[2])
		if row[2] > row[0]*1.1 {
			better++
		}
	}
	if better < 3 {
		t.Errorf("by value is better by a tenth on %d traces only", better)
	}
}

// model is what a table should know, kept plainly.
type model struct {
	idle, fresh, busy map[int32]bool
}

// Whatever happens: a victim is never one with a request open nor a young newcomer,
// and the counts are true; looking for a victim ends after a bounded number of lists.
func TestVictimsAreIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Settings{Policy: Policy(rapid.IntRange(0, 2).Draw(t, "policy")), ClassWorths: []float64{1, 12}, NewcomerGrace: 250 * time.Millisecond}, nil, time.Hour)
		m := model{map[int32]bool{}, map[int32]bool{}, map[int32]bool{}}
		came := map[int32]time.Duration{}
		now := time.Hour
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := int32(rapid.IntRange(0, 40).Draw(t, "id"))
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "on"))
			switch {
			case !m.idle[id] && !m.fresh[id] && !m.busy[id]:
				table.Add(now, id, 0, uint32(id+1))
				m.fresh[id], came[id] = true, now
			case m.idle[id]:
				table.RequestStarted(now, id)
				delete(m.idle, id)
				m.fresh[id], came[id] = true, now
			case m.fresh[id]:
				table.RequestReceived(id, rapid.IntRange(0, 1).Draw(t, "class"))
				delete(m.fresh, id)
				m.busy[id] = true
			default:
				table.BecameIdle(now, id)
				delete(m.busy, id)
				m.idle[id] = true
			}
			if table.Idle() != len(m.idle) || table.Incomplete() != len(m.fresh) {
				t.Fatalf("%d idle and %d fresh, told %d and %d", len(m.idle), len(m.fresh), table.Idle(), table.Incomplete())
			}
			old := 0
			for id := range m.fresh {
				if now-came[id] >= 260*time.Millisecond {
					old++
				}
			}
			switch v, word := table.Victim(now); {
			case word == Found && !m.idle[v] && !(m.fresh[v] && now-came[v] >= 240*time.Millisecond):
				t.Fatalf("%d must go: idle %v, fresh since %v", v, m.idle[v], now-came[v])
			case word == Found && old > 0 && m.idle[v]:
				t.Fatalf("%d must go though %d never sent a whole request", v, old)
			case word == OnlyNewcomers && len(m.idle) > 0, word == AllBusy && len(m.fresh)+len(m.idle) > 0:
				t.Fatalf("word %d with %d idle and %d fresh", word, len(m.idle), len(m.fresh))
			case word == Found && rapid.Bool().Draw(t, "take"):
				table.Remove(v)
				delete(m.idle, v)
				delete(m.fresh, v)
			}
		}
	})
}

// A controller that comes every minute is kept for its next request before one that
// came a moment ago for the first time; one long overdue is not.
func TestRegularOnesAreKept(t *testing.T) {
	table := New(Settings{Policy: LowestValue, ClassWorths: []float64{1}}, nil, 0)
	now := time.Duration(0)
	table.Add(now, 0, 0, 0)
	for range 10 {
		table.RequestReceived(0, 0)
		table.BecameIdle(now, 0)
		now += time.Minute
		table.RequestStarted(now, 0)
	}
	table.RequestReceived(0, 0)
	table.BecameIdle(now, 0)
	table.Add(now+time.Second, 1, 0, 0)
	table.RequestReceived(1, 0)
	table.BecameIdle(now+time.Second, 1)
	if id, _ := table.Victim(now + 50*time.Second); id != 1 {
		t.Error("the one that comes every minute went")
	}
	now += 20 * time.Minute // it has stayed away
	for range 100 {         // others come and go, and the hand goes round
		table.RequestStarted(now, 1)
		table.RequestReceived(1, 0)
		table.BecameIdle(now, 1)
	}
	if id, _ := table.Victim(now); id != 0 {
		t.Error("the one that stayed away was kept")
	}
}

func TestRulesMostSpecificWins(t *testing.T) {
	prefix := netip.MustParsePrefix
	rules, err := Compile([]Rule{
		{-1, netip.Prefix{}, time.Minute},
		{1, netip.Prefix{}, 2 * time.Minute},
		{-1, prefix("10.0.0.0/8"), time.Hour},
		{0, prefix("10.1.0.0/16"), 2 * time.Hour},
		{-1, prefix("::ffff:192.0.2.0/120"), 3 * time.Hour},
		{-1, prefix("2001:db8::/32"), 4 * time.Hour},
	}, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		from  string
		class int
		want  time.Duration
	}{
		{"", 0, time.Minute}, {"", 1, 2 * time.Minute}, {"", -1, time.Minute},
		{"10.9.9.9", 0, time.Hour}, {"10.9.9.9", 1, time.Hour}, {"::ffff:10.9.9.9", 1, time.Hour},
		{"10.1.2.3", 0, 2 * time.Hour}, {"10.1.2.3", 1, time.Hour}, {"10.1.2.3", -1, time.Hour},
		{"192.0.2.77", 0, 3 * time.Hour}, {"192.0.3.1", 0, time.Minute},
		{"2001:db8::1", 1, 4 * time.Hour}, {"fe80::1%eth0", 0, time.Minute},
	} {
		a, _ := netip.ParseAddr(x.from)
		if got, _ := rules.Timeout(rules.Source(a), x.class); got != x.want {
			t.Errorf("%q, class %d: %v, want %v", x.from, x.class, got, x.want)
		}
	}
	for name, all := range map[string][]Rule{
		"twice":            {{0, prefix("10.0.0.0/8"), time.Hour}, {0, prefix("10.2.3.4/8"), time.Minute}},
		"twice by mapping": {{-1, prefix("10.0.0.0/8"), time.Hour}, {-1, prefix("::ffff:10.0.0.0/104"), time.Minute}},
		"no class":         {{2, netip.Prefix{}, time.Hour}},
		"too short":        {{0, netip.Prefix{}, time.Millisecond}},
		"too long":         {{0, netip.Prefix{}, 25 * time.Hour}},
	} {
		if _, err := Compile(all, 2); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	var none *Rules
	if got, slack := none.Timeout(0, -1); got != DefaultTimeout || slack != 0 {
		t.Errorf("without rules: %v and %v", got, slack)
	}
}

// Choosing who goes costs the same however many there are.
func BenchmarkVictim(b *testing.B) {
	for _, n := range []int32{1_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := New(Settings{Policy: LowestValue, ClassWorths: []float64{1, 12}}, nil, 0)
			r := rand.New(rand.NewPCG(1, 1))
			now := time.Duration(0)
			for id := range n {
				table.Add(now, id, 0, uint32(id+1))
				table.RequestReceived(id, r.IntN(2))
				table.BecameIdle(now, id)
			}
			b.ReportAllocs()
			b.ReportMetric(float64(table.Bytes())/float64(n), "B/conn")
			for b.Loop() {
				now += time.Millisecond
				id, _ := table.Victim(now)
				table.Remove(id)
				table.Add(now, id, 0, uint32(id+1))
				table.RequestReceived(id, r.IntN(2))
				table.BecameIdle(now, id)
			}
		})
	}
}
