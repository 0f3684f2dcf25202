package stalelist

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/decide"
)

const week = 7 * 24 * time.Hour

// list returns n servers, four in each rack.
func list(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: fmt.Sprint("s", i), Rack: fmt.Sprint(i / 4)})
	}
	return all
}

func TestGoneProbabilityByAge(t *testing.T) {
	settings := Settings{}
	if p := settings.GoneProbability(week); p < 0.58 || p > 0.62 {
		t.Errorf("after a week: %v, want about 0.6", p)
	}
	if p := settings.GoneProbability(time.Minute); p != minPrior {
		t.Errorf("after a minute: %v", p)
	}
	if p := settings.GoneProbability(10 * 365 * 24 * time.Hour); p != maxPrior {
		t.Errorf("after ten years: %v", p)
	}
	last := 0.0
	for h := range 2000 {
		if p := settings.GoneProbability(time.Duration(h) * time.Hour); p < last {
			t.Fatalf("after %d h: %v, an hour before %v", h, p, last)
		} else {
			last = p
		}
	}
}

// A fresh list is offered whole and stays so while its servers answer. If most of them fail, it is not treated as
// fresh any more.
func TestFreshList(t *testing.T) {
	table := New(Settings{NodeCount: 1}, time.Minute, true, list(100))
	if changes := table.OfferFirst(0); !table.Fresh() || len(changes) != 100 {
		t.Fatalf("%d of 100 servers are offered", len(changes))
	}
	table.RecordResult(0, "s0", decide.Served)
	for i := range 3 {
		if changes := table.RecordResult(0, fmt.Sprint("s", i+1), decide.ConnectFailed); len(changes) > 0 {
			t.Fatalf("after %d failures: changes %v", i+1, changes)
		}
	}
	table.RecordResult(0, "s4", decide.ConnectFailed)
	if table.Fresh() {
		t.Error("four of five servers failed, and the list is still fresh")
	}
	trying, proven, _ := table.Counts()
	if proven != 1 || trying > 8 {
		t.Errorf("%d servers are tried at once, %d are proven", trying, proven)
	}
}

// Few servers are tried at once. Each one that answers widens that limit, and each one that fails is withdrawn and
// replaced by the next.
func TestFewAtOnce(t *testing.T) {
	table := New(Settings{NodeName: "n", NodeCount: 1}, week, true, list(200))
	changes := table.OfferFirst(0)
	if len(changes) != 8 {
		t.Fatalf("%d servers offered first", len(changes))
	}
	first := changes[0].ID
	changes = table.RecordResult(0, first, decide.ConnectFailed)
	if len(changes) != 2 || changes[0].ID != first || changes[0].State != Withdrawn || changes[1].State != Trying {
		t.Errorf("after a failed connection: %v", changes)
	}
	at, ok := table.NextRetry()
	if ok {
		t.Errorf("a retry is due at %v although other servers are waiting", at)
	}
	maxTrying := 0
	for range 2000 {
		var id string
		for _, s := range table.servers {
			if s.state == Trying && (id == "" || s.order < table.servers[id].order) {
				id = s.ID
			}
		}
		if id == "" {
			break
		}
		table.RecordResult(0, id, decide.Served)
		trying, proven, _ := table.Counts()
		if maxTrying = max(maxTrying, trying); trying > max(8, proven) {
			t.Fatalf("%d servers are tried, %d are proven", trying, proven)
		}
	}
	if _, proven, _ := table.Counts(); proven < 190 || maxTrying < 40 {
		t.Errorf("%d of 200 servers are proven, at most %d were tried at once", proven, maxTrying)
	}
}

// After all servers have failed they are tried again at growing intervals, and one that returns is found.
func TestAllGone(t *testing.T) {
	table := New(Settings{NodeName: "n", NodeCount: 1}, week, true, list(12))
	now := time.Duration(0)
	attempts := map[string]int{}
	apply := func(changes []Change) {
		for len(changes) > 0 {
			var next []Change
			for _, change := range append([]Change{}, changes...) {
				if change.State == Trying {
					attempts[change.ID]++
					next = append(next, table.RecordResult(now, change.ID, decide.ConnectFailed)...)
				}
			}
			changes = next
		}
	}
	apply(table.OfferFirst(now))
	for now < 10*time.Minute {
		at, ok := table.NextRetry()
		if !ok {
			t.Fatalf("at %v no retry is scheduled: %v", now, attempts)
		}
		now = max(at, now+time.Millisecond)
		apply(table.OfferDue(now))
	}
	if len(attempts) != 12 {
		t.Errorf("servers tried: %v", attempts)
	}
	for id, n := range attempts {
		if n < 8 || n > 20 {
			t.Errorf("%s was tried %d times in ten minutes", id, n)
		}
	}
	at, _ := table.NextRetry()
	for _, change := range table.OfferDue(at) {
		table.RecordResult(at, change.ID, decide.Served)
		if table.State(change.ID) != Proven {
			t.Errorf("%s answered, its state is %v", change.ID, table.State(change.ID))
		}
	}
}

// Servers in a rack with failures are tried after servers in other racks.
func TestFailuresInARackCount(t *testing.T) {
	table := New(Settings{NodeName: "n", NodeCount: 50}, week, true, list(64))
	table.OfferFirst(0)
	for _, s := range []string{"s0", "s1", "s2"} { // in rack 0, whichever servers were offered
		server := table.servers[s]
		if server.state != Trying {
			server.state = Trying
			table.trying++
		}
		table.RecordResult(0, s, decide.ConnectFailed)
	}
	if sameRack, other := table.GoneProbability("s3"), table.GoneProbability("s9"); sameRack <= other {
		t.Errorf("gone probability %v in the rack with failures, %v in another", sameRack, other)
	}
}

// Each node tries the servers in an order of its own: the first eight servers of 50 nodes are not the same.
func TestNodesTryDifferentServers(t *testing.T) {
	count := map[string]int{}
	for n := range 50 {
		table := New(Settings{NodeName: fmt.Sprint("n", n), NodeCount: 50}, week, true, list(100))
		for _, change := range table.OfferFirst(0) {
			count[change.ID]++
		}
	}
	for id, n := range count {
		if n > 14 { // 4 on average
			t.Errorf("%s is tried by %d of 50 nodes at once", id, n)
		}
	}
	if len(count) < 85 {
		t.Errorf("%d of 100 servers are tried", len(count))
	}
}

// The probability that a server is gone never falls with age or with a failure and never rises with an answer. The
// number of offered servers stays within its limits, changes match the states, and some server is always tried or
// scheduled for a retry.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		n, nodes := 1+rng.IntN(60), 1+rng.IntN(30)
		age := time.Duration(rng.IntN(40*24)) * time.Hour
		settings := Settings{NodeName: "n", NodeCount: nodes}
		table, older := New(settings, age, true, list(n)), New(settings, age+time.Duration(rng.IntN(100))*time.Hour, true, list(n))
		for id := range table.servers {
			if table.GoneProbability(id) > older.GoneProbability(id) {
				t.Fatalf("%s: the gone probability falls with age", id)
			}
		}
		reported := map[string]State{}
		now := time.Duration(0)
		offered := false // by the last call
		apply := func(changes []Change) {
			offered = false
			for _, change := range changes {
				reported[change.ID] = change.State
				offered = offered || change.State == Trying
				if !(change.GoneProbability >= 0 && change.GoneProbability <= 1) {
					t.Fatalf("gone probability of %v", change.GoneProbability)
				}
			}
		}
		apply(table.OfferFirst(now))
		results := []decide.Result{decide.Served, decide.Errored, decide.Rejected, decide.TimedOut, decide.ConnectFailed,
			decide.ConnectionLost, decide.Cancelled, decide.NotSent, decide.Malformed}
		for range rng.IntN(200) {
			now += time.Duration(rng.IntN(1000)) * time.Millisecond
			apply(table.OfferDue(now))
			if at, ok := table.NextRetry(); ok && at <= now {
				t.Fatalf("at %v a retry is due at %v, although OfferDue was just called", now, at)
			}
			id := fmt.Sprint("s", rng.IntN(n))
			before, state := table.GoneProbability(id), table.State(id)
			r := results[rng.IntN(len(results))]
			apply(table.RecordResult(now, id, r))
			after := table.GoneProbability(id)
			switch {
			case state == Waiting || state == Withdrawn:
				if after != before {
					t.Fatalf("%s is not offered, but its gone probability changes", id)
				}
			case r == decide.Served && after > before+1e-12:
				t.Fatalf("an answer raises the gone probability of %s from %v to %v", id, before, after)
			case r != decide.Served && r != decide.Rejected && table.State(id) != Waiting && after < before-1e-12:
				t.Fatalf("result %v lowers the gone probability of %s from %v to %v", r, id, before, after)
			}
			trying, proven := 0, 0
			for id, s := range table.servers {
				if last, ok := reported[id]; ok && (last == Trying || last == Proven) != (s.state == Trying || s.state == Proven) {
					t.Fatalf("%s was last reported as %v and is %v", id, last, s.state)
				}
				if s.state == Trying {
					trying++
				}
				if s.state == Proven {
					proven++
				}
			}
			if gotTrying, gotProven, _ := table.Counts(); gotTrying != trying || gotProven != proven {
				t.Fatalf("Counts returns %d and %d, want %d and %d", gotTrying, gotProven, trying, proven)
			}
			if !table.Fresh() && trying > max(8, proven) {
				t.Fatalf("%d servers are tried, %d are proven", trying, proven)
			}
			share := int(math.Ceil(8 * float64(table.EstimatedAlive()) / float64(nodes)))
			if offered && !table.Fresh() && trying+proven > max(8, share) {
				t.Fatalf("a server is offered beside %d of %d that may be, about %d are there", trying+proven-1, max(8, share), table.EstimatedAlive())
			}
			if _, ok := table.NextRetry(); trying+proven == 0 && !ok {
				t.Fatal("no server is tried and no retry is scheduled")
			}
		}
	})
}

func BenchmarkRecordResult(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := New(Settings{NodeName: "n", NodeCount: 4}, week, true, list(n))
			table.OfferFirst(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.RecordResult(0, fmt.Sprint("s", i%n), decide.Served)
			}
		})
	}
}
