package stalelist

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"curlewring/decide"
)

const week = 7 * 24 * time.Hour

func list(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: fmt.Sprint("s", i), Rack: fmt.Sprint(i / 4)})
	}
	return all
}

func TestDoubtByAge(t *testing.T) {
	set := Settings{}
	if p := set.GoneProbability(week); p < 0.58 || p > 0.62 {
		t.Errorf("a week: %v, want three fifths", p)
	}
	if p := set.GoneProbability(time.Minute); p != minPrior {
		t.Errorf("a minute: %v", p)
	}
	if p := set.GoneProbability(10 * 365 * 24 * time.Hour); p != maxPrior {
		t.Errorf("ten years: %v", p)
	}
	last := 0.0
	for h := range 2000 {
		if p := set.GoneProbability(time.Duration(h) * time.Hour); p < last {
			t.Fatalf("%d h: %v after %v", h, p, last)
		} else {
			last = p
		}
	}
}

// A young list is offered whole and stays so while its servers answer; one that most fail in is not young.
func TestYoungList(t *testing.T) {
	x := New(Settings{NodeCount: 1}, time.Minute, true, list(100))
	if offers := x.OfferFirst(0); !x.Fresh() || len(offers) != 100 {
		t.Fatalf("%d offered", len(offers))
	}
	x.RecordResult(0, "s0", decide.Served)
	for i := range 3 {
		if offers := x.RecordResult(0, fmt.Sprint("s", i+1), decide.ConnectFailed); len(offers) > 0 {
			t.Fatalf("%d failed: %v", i+1, offers)
		}
	}
	x.RecordResult(0, "s4", decide.ConnectFailed)
	if x.Fresh() {
		t.Error("four of five failed, and it is trusted")
	}
	trying, proven, _ := x.Counts()
	if proven != 1 || trying > 8 {
		t.Errorf("%d tried at once, %d proven", trying, proven)
	}
}

// Few are tried at once; what proves to be there widens that; what fails is taken back and the next comes.
func TestFewAtOnce(t *testing.T) {
	x := New(Settings{NodeName: "n", NodeCount: 1}, week, true, list(200))
	offers := x.OfferFirst(0)
	if len(offers) != 8 {
		t.Fatalf("%d tried at first", len(offers))
	}
	first := offers[0].ID
	offers = x.RecordResult(0, first, decide.ConnectFailed)
	if len(offers) != 2 || offers[0].ID != first || offers[0].State != Withdrawn || offers[1].State != Trying {
		t.Errorf("after a refusal: %v", offers)
	}
	at, ok := x.NextRetry()
	if ok {
		t.Errorf("others wait in line, and %v is looked at again", at)
	}
	most := 0
	for range 2000 {
		var id string
		for _, s := range x.servers {
			if s.state == Trying && (id == "" || s.order < x.servers[id].order) {
				id = s.ID
			}
		}
		if id == "" {
			break
		}
		x.RecordResult(0, id, decide.Served)
		trying, proven, _ := x.Counts()
		if most = max(most, trying); trying > max(8, proven) {
			t.Fatalf("%d tried beside %d proven", trying, proven)
		}
	}
	if _, proven, _ := x.Counts(); proven < 190 || most < 40 {
		t.Errorf("%d proven of 200 that are there, %d tried at once at the most", proven, most)
	}
}

// Once all have failed, they are tried again, later and later, and one that returns is found.
func TestAllGone(t *testing.T) {
	x := New(Settings{NodeName: "n", NodeCount: 1}, week, true, list(12))
	now := time.Duration(0)
	tries := map[string]int{}
	take := func(offers []Change) {
		for len(offers) > 0 {
			var next []Change
			for _, o := range append([]Change{}, offers...) {
				if o.State == Trying {
					tries[o.ID]++
					next = append(next, x.RecordResult(now, o.ID, decide.ConnectFailed)...)
				}
			}
			offers = next
		}
	}
	take(x.OfferFirst(now))
	for now < 10*time.Minute {
		at, ok := x.NextRetry()
		if !ok {
			t.Fatalf("at %v nothing is tried any more: %v", now, tries)
		}
		now = max(at, now+time.Millisecond)
		take(x.OfferDue(now))
	}
	if len(tries) != 12 {
		t.Errorf("tried: %v", tries)
	}
	for id, n := range tries {
		if n < 8 || n > 20 {
			t.Errorf("%s was tried %d times in ten minutes", id, n)
		}
	}
	at, _ := x.NextRetry()
	for _, o := range x.OfferDue(at) {
		x.RecordResult(at, o.ID, decide.Served)
		if x.State(o.ID) != Proven {
			t.Errorf("%s answers, and is %v", o.ID, x.State(o.ID))
		}
	}
}

// What went with its rack is tried after what did not.
func TestRackMates(t *testing.T) {
	x := New(Settings{NodeName: "n", NodeCount: 50}, week, true, list(64))
	x.OfferFirst(0)
	for _, s := range []string{"s0", "s1", "s2"} { // of rack 0, whoever was offered
		y := x.servers[s]
		if y.state != Trying {
			y.state = Trying
			x.trying++
		}
		x.RecordResult(0, s, decide.ConnectFailed)
	}
	if bad, other := x.GoneProbability("s3"), x.GoneProbability("s9"); bad <= other {
		t.Errorf("the rack's last: %v, one of another: %v", bad, other)
	}
}

// Nodes try in orders of their own: the first eight of 50 nodes are not the same.
func TestNodesSpread(t *testing.T) {
	count := map[string]int{}
	for n := range 50 {
		x := New(Settings{NodeName: fmt.Sprint("n", n), NodeCount: 50}, week, true, list(100))
		for _, o := range x.OfferFirst(0) {
			count[o.ID]++
		}
	}
	for id, n := range count {
		if n > 14 { // 4 on average
			t.Errorf("%s is tried by %d of 50 nodes at once", id, n)
		}
	}
	if len(count) < 85 {
		t.Errorf("%d of 100 are tried", len(count))
	}
}

// A doubt never falls with age, never falls with a failure, never rises with an answer; what is offered stays
// within its bounds; a server is offered or out as told; something is always tried or about to be.
func TestDoubtsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		n, nodes := 1+rng.IntN(60), 1+rng.IntN(30)
		age := time.Duration(rng.IntN(40*24)) * time.Hour
		set := Settings{NodeName: "n", NodeCount: nodes}
		x, older := New(set, age, true, list(n)), New(set, age+time.Duration(rng.IntN(100))*time.Hour, true, list(n))
		for id := range x.servers {
			if x.GoneProbability(id) > older.GoneProbability(id) {
				t.Fatalf("%s: doubt falls with age", id)
			}
		}
		offered := map[string]State{}
		now := time.Duration(0)
		take := func(offers []Change) {
			for _, o := range offers {
				offered[o.ID] = o.State
				if !(o.GoneProbability >= 0 && o.GoneProbability <= 1) {
					t.Fatalf("a doubt of %v", o.GoneProbability)
				}
			}
		}
		take(x.OfferFirst(now))
		results := []decide.Result{decide.Served, decide.Errored, decide.Rejected, decide.TimedOut, decide.ConnectFailed,
			decide.ConnectionLost, decide.Cancelled, decide.NotSent, decide.Malformed}
		for range rng.IntN(200) {
			now += time.Duration(rng.IntN(1000)) * time.Millisecond
			take(x.OfferDue(now))
			if at, ok := x.NextRetry(); ok && at <= now {
				t.Fatalf("at %v the next look is due at %v, and was just taken", now, at)
			}
			id := fmt.Sprint("s", rng.IntN(n))
			before, was := x.GoneProbability(id), x.State(id)
			r := results[rng.IntN(len(results))]
			take(x.RecordResult(now, id, r))
			after := x.GoneProbability(id)
			switch {
			case was == Waiting || was == Withdrawn:
				if after != before {
					t.Fatalf("%s is not offered and its doubt moves", id)
				}
			case r == decide.Served && after > before+1e-12:
				t.Fatalf("an answer raises the doubt of %s from %v to %v", id, before, after)
			case r != decide.Served && r != decide.Rejected && x.State(id) != Waiting && after < before-1e-12:
				t.Fatalf("%v lowers the doubt of %s from %v to %v", r, id, before, after)
			}
			trying, proven := 0, 0
			for id, s := range x.servers {
				if o, ok := offered[id]; ok && (o == Trying || o == Proven) != (s.state == Trying || s.state == Proven) {
					t.Fatalf("%s was told as %v and is %v", id, o, s.state)
				}
				if s.state == Trying {
					trying++
				}
				if s.state == Proven {
					proven++
				}
			}
			if a, b, _ := x.Counts(); a != trying || b != proven {
				t.Fatalf("counted %d and %d, there are %d and %d", a, b, trying, proven)
			}
			if !x.Fresh() && trying > max(8, proven) && trying+proven > n {
				t.Fatalf("%d tried beside %d", trying, proven)
			}
			if _, ok := x.NextRetry(); trying+proven == 0 && !ok {
				t.Fatal("nothing is tried, and nothing will be")
			}
		}
	})
}

func BenchmarkOutcome(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := New(Settings{NodeName: "n", NodeCount: 4}, week, true, list(n))
			x.OfferFirst(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x.RecordResult(0, fmt.Sprint("s", i%n), decide.Served)
			}
		})
	}
}
