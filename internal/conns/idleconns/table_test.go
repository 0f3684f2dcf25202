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

// visit is one request in a trace. The client has to reconnect if its connection was closed
// since its last request.
type visit struct {
	at     time.Duration
	client int
	class  int
}

// trace is the sequence of requests from a population of clients.
type trace struct {
	name     string
	capacity int // connections that may be open at a time
	worths   []float64
	visits   []visit
}

// clientGroup is a part of a population whose clients behave alike.
type clientGroup struct {
	count    int
	class    int
	interval time.Duration
	jitter   float64 // relative to the interval; 1: exponentially distributed intervals
	oneShot  bool    // each client sends one request and is then replaced by a new one
}

// generateVisits returns the requests of the given groups, sorted by time.
func generateVisits(r *rand.Rand, length time.Duration, groups ...clientGroup) []visit {
	var all []visit
	client := 0
	for _, group := range groups {
		for range group.count {
			client++
			for at := time.Duration(r.Float64() * float64(group.interval)); at < length; {
				all = append(all, visit{at, client, group.class})
				if group.oneShot {
					client++
				}
				wait := 1 + group.jitter*(2*r.Float64()-1)
				if group.jitter >= 1 {
					wait = r.ExpFloat64()
				}
				at += max(time.Millisecond, time.Duration(wait*float64(group.interval)))
			}
		}
	}
	slices.SortStableFunc(all, func(x, y visit) int { return int(x.at - y.at) })
	return all
}

// traces returns traces of lift controllers, control desks and one-time clients.
func traces(seed uint64) []trace {
	r := rand.New(rand.NewPCG(seed, 3))
	worths := []float64{1, 12, 3} // zustand, notruf-abfrage, stoerung
	hour := time.Hour
	return []trace{
		{"every minute, with one-time clients", 700, worths, generateVisits(r, hour/2,
			clientGroup{count: 600, class: 0, interval: time.Minute, jitter: .1}, clientGroup{count: 300, class: 0, interval: 20 * time.Second, oneShot: true})},
		{"control desks among many clients", 700, worths, generateVisits(r, hour,
			clientGroup{count: 60, class: 1, interval: 4 * time.Minute, jitter: .5}, clientGroup{count: 900, class: 0, interval: time.Minute, jitter: .3})},
		{"rare and frequent clients", 500, worths, generateVisits(r, hour,
			clientGroup{count: 300, class: 0, interval: 30 * time.Second, jitter: .2}, clientGroup{count: 900, class: 0, interval: 10 * time.Minute, jitter: .2})},
		{"exponential intervals", 500, worths, generateVisits(r, hour,
			clientGroup{count: 400, class: 0, interval: time.Minute, jitter: 1}, clientGroup{count: 400, class: 2, interval: 3 * time.Minute, jitter: 1})},
		{"uniform population", 500, worths, generateVisits(r, hour, clientGroup{count: 800, class: 0, interval: 2 * time.Minute, jitter: 1})},
		{"more periodic clients than capacity", 500, worths, generateVisits(r, hour, clientGroup{count: 600, class: 0, interval: time.Minute, jitter: .02})},
		{"return patterns change", 600, worths, append(
			generateVisits(r, hour/2, clientGroup{count: 500, class: 1, interval: 30 * time.Second, jitter: .2}, clientGroup{count: 500, class: 0, interval: 5 * time.Minute, jitter: .5}),
			delayVisits(generateVisits(r, hour/2, clientGroup{count: 500, class: 0, interval: 20 * time.Minute, jitter: .5}, clientGroup{count: 500, class: 0, interval: 30 * time.Second, jitter: .3}), hour/2)...)},
	}
}

// delayVisits moves all requests to a later time.
func delayVisits(all []visit, by time.Duration) []visit {
	for i := range all {
		all[i].at += by
	}
	return all
}

// replay returns the share of the worth of all repeat requests that found their connection
// still open. At capacity, the policy chooses which connection to close.
func replay(t testing.TB, tr trace, p Policy) float64 {
	table := New(Settings{Policy: p, ClassWorths: tr.worths, NewcomerGrace: 250 * time.Millisecond, RememberedClients: 2 * tr.capacity}, nil, 0)
	type slot struct{ client int }
	slots := make([]slot, tr.capacity)
	free := make([]int32, tr.capacity)
	for i := range free {
		free[i] = int32(i)
	}
	connections, seen := map[int]int32{}, map[int]bool{}
	var kept, all float64
	for _, v := range tr.visits {
		id, ok := connections[v.client]
		if seen[v.client] {
			all += tr.worths[v.class]
			if ok {
				kept += tr.worths[v.class]
			}
		}
		seen[v.client] = true
		if ok {
			table.RequestStarted(v.at, id)
		} else {
			if len(free) == 0 {
				victim, status := table.Victim(v.at)
				if status != Found {
					t.Fatalf("%s: no connection can be closed", tr.name)
				}
				table.Remove(victim)
				delete(connections, slots[victim].client)
				free = append(free, victim)
			}
			id = free[len(free)-1]
			free = free[:len(free)-1]
			slots[id].client, connections[v.client] = v.client, id
			table.Add(v.at, id, 0, uint32(v.client))
		}
		table.RequestReceived(id, v.class)
		table.BecameIdle(v.at+5*time.Millisecond, id)
	}
	return kept / all
}

// On each trace, LowestValue must keep at least the worth that LRU keeps, within a small
// tolerance, and clearly more where connections differ.
func TestLowestValueKeepsAsMuchWorthAsLRU(t *testing.T) {
	const tolerance = 0.03
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
			if value < lru*(1-tolerance) {
				t.Errorf("%s, seed %d: LowestValue keeps %.3f, LRU %.3f", tr.name, seed, value, lru)
			}
		}
	}
	better := 0
	for _, tr := range traces(0) {
		row := sums[tr.name]
		t.Logf("%-30s LRU %.3f  SegmentedLRU %.3f  LowestValue %.3f", tr.name, row[0], row[1], row[2])
		if row[2] > row[0]*1.1 {
			better++
		}
	}
	if better < 3 {
		t.Errorf("LowestValue is better by a tenth on only %d traces, want at least 3", better)
	}
}

// model tracks the expected state of a table.
type model struct {
	idle, incomplete, busy map[int32]bool
}

// For any sequence of events, a victim never has an open request and is never a new
// connection within its grace period, which is shorter only without idle connections and for parts of requests, the counts are correct, and the search for a victim
// ends after a bounded number of lists.
func TestVictimHasNoOpenRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Settings{Policy: Policy(rapid.IntRange(0, 2).Draw(t, "policy")), ClassWorths: []float64{1, 12}, NewcomerGrace: 250 * time.Millisecond,
			PartialGrace: time.Duration(rapid.SampledFrom([]int{0, 50}).Draw(t, "partial")) * time.Millisecond}, nil, time.Hour)
		m := model{map[int32]bool{}, map[int32]bool{}, map[int32]bool{}}
		partial := map[int32]bool{}
		incompleteSince := map[int32]time.Duration{}
		now := time.Hour
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := int32(rapid.IntRange(0, 40).Draw(t, "id"))
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "on"))
			switch {
			case !m.idle[id] && !m.incomplete[id] && !m.busy[id]:
				table.Add(now, id, 0, uint32(id+1))
				m.incomplete[id], incompleteSince[id] = true, now
			case m.idle[id]:
				table.RequestStarted(now, id)
				delete(m.idle, id)
				m.incomplete[id], incompleteSince[id] = true, now
			case m.incomplete[id] && !partial[id] && rapid.Bool().Draw(t, "part"):
				table.PartReceived(now, id)
				partial[id], incompleteSince[id] = true, now
			case m.incomplete[id]:
				delete(partial, id)
				table.RequestReceived(id, rapid.IntRange(0, 1).Draw(t, "class"))
				delete(m.incomplete, id)
				m.busy[id] = true
			default:
				table.BecameIdle(now, id)
				delete(m.busy, id)
				m.idle[id] = true
			}
			if table.Idle() != len(m.idle) || table.Incomplete() != len(m.incomplete) {
				t.Fatalf("%d idle and %d incomplete connections, the table counts %d and %d", len(m.idle), len(m.incomplete), table.Idle(), table.Incomplete())
			}
			grace := func(id int32) time.Duration {
				if partial[id] && table.settings.PartialGrace > 0 && len(m.idle) == 0 {
					return 50 * time.Millisecond
				}
				return 250 * time.Millisecond
			}
			expired := 0
			for id := range m.incomplete {
				if now-incompleteSince[id] >= grace(id)+10*time.Millisecond { // the resolution of the table's times
					expired++
				}
			}
			switch victim, status := table.Victim(now); {
			case status == Found && !m.idle[victim] && !(m.incomplete[victim] && now-incompleteSince[victim] >= grace(victim)-10*time.Millisecond):
				t.Fatalf("victim %d: idle %v, incomplete for %v", victim, m.idle[victim], now-incompleteSince[victim])
			case status == Found && expired > 0 && m.idle[victim]:
				t.Fatalf("victim is the idle connection %d, but %d connections past their grace period are incomplete", victim, expired)
			case status == OnlyNewcomers && len(m.idle)+expired > 0, status == AllBusy && len(m.incomplete)+len(m.idle) > 0:
				t.Fatalf("status %d with %d idle and %d incomplete connections", status, len(m.idle), len(m.incomplete))
			case status == Found && rapid.Bool().Draw(t, "take"):
				table.Remove(victim)
				delete(m.idle, victim)
				delete(m.incomplete, victim)
				delete(partial, victim)
			}
		}
	})
}

// A client that sends a request every minute is kept in preference to one that sent its
// first request a moment ago. A client that is long overdue is not.
func TestRegularClientsAreKept(t *testing.T) {
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
		t.Error("the victim is the client that sends a request every minute")
	}
	now += 20 * time.Minute // the regular client is overdue
	for range 100 {         // events of another connection drive the sweep over all entries
		table.RequestStarted(now, 1)
		table.RequestReceived(1, 0)
		table.BecameIdle(now, 1)
	}
	if id, _ := table.Victim(now); id != 0 {
		t.Error("the overdue client was kept")
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
		"duplicate":                 {{0, prefix("10.0.0.0/8"), time.Hour}, {0, prefix("10.2.3.4/8"), time.Minute}},
		"duplicate by IPv4 mapping": {{-1, prefix("10.0.0.0/8"), time.Hour}, {-1, prefix("::ffff:10.0.0.0/104"), time.Minute}},
		"unknown class":             {{2, netip.Prefix{}, time.Hour}},
		"too short":                 {{0, netip.Prefix{}, time.Millisecond}},
		"too long":                  {{0, netip.Prefix{}, 25 * time.Hour}},
	} {
		if _, err := Compile(all, 2); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	var none *Rules
	if got, slack := none.Timeout(0, -1); got != DefaultTimeout || slack != 0 {
		t.Errorf("without rules: timeout %v, slack %v", got, slack)
	}
}

// The cost of choosing a victim must not depend on the number of connections.
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

// The worths belong to the caller: what follows them in its array must stay, and bands must not depend on it.
func TestWorthBandLeavesCallersWorths(t *testing.T) {
	worths := []float64{1, 12, 48}
	table := New(Settings{ClassWorths: worths[:2]}, nil, 0)
	for class := range 2 {
		table.Add(0, int32(class), 0, 0)
		table.RequestReceived(int32(class), class)
	}
	if low, high := table.WorthBand(0, 4), table.WorthBand(1, 4); low != 0 || high != 3 {
		t.Errorf("bands %d and %d of worths 1 and 12, want 0 and 3", low, high)
	}
	if worths[2] != 48 {
		t.Errorf("the number after the worths was 48 and is %v", worths[2])
	}
}
