package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testTTL = 10 * time.Second

func newTestClient(t *testing.T) *Client {
	t.Helper()
	x, err := NewClient(Timing{}, "l", Holder{"n", 1, 7}, testTTL, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// held is a tenant that holds under token 5, from an hour on.
func newHoldingClient(t *testing.T) *Client {
	t.Helper()
	x := newTestClient(t)
	c := x.Tick(time.Hour)
	x.HandleAnswer(time.Hour, Answer{Outcome: Granted, Lease: "l", Token: 5, TTL: testTTL, Seq: c.Seq})
	x.Events()
	if x.Phase() != Holding || x.Token() != 5 {
		t.Fatal(x)
	}
	return x
}

func phasesOf(events []Event) (phases []Phase) {
	for _, e := range events {
		if e.Kind == PhaseChanged {
			phases = append(phases, e.Phase)
		}
	}
	return phases
}

// A lease is renewed after a third, asked for again without an answer, and given up where none comes in time: before the
// leader's clock can have ended it, acts included.
func TestTenantRenewsOrStops(t *testing.T) {
	x := newHoldingClient(t)
	at := time.Hour + testTTL/3 - 1
	if c := x.Tick(at); c != nil {
		t.Fatalf("too early: %+v", c)
	}
	c := x.Tick(at + 1)
	if c == nil || c.Op != Renew || c.Token != 5 {
		t.Fatalf("%+v", c)
	}
	if again := x.Tick(at + 2); again != nil {
		t.Fatalf("at once again: %+v", again)
	}
	again := x.Tick(at + x.retryInterval() + 2)
	if again == nil || again.Seq != c.Seq {
		t.Fatalf("the same request does not come again: %+v", again)
	}
	x.HandleAnswer(at+400*time.Millisecond, Answer{Outcome: Granted, Lease: "l", Token: 5, TTL: testTTL, Seq: c.Seq})
	until := time.Duration(0)
	for _, e := range x.Events() {
		if e.Kind == Extended {
			until = e.Until
		}
	}
	if until != at+1+x.timing.holderTTL(testTTL) {
		t.Fatalf("it lasts until %v, and was asked for at %v", until, at+1)
	}
	if _, ok := x.BeginAct(until-time.Second, 900*time.Millisecond); !ok {
		t.Fatal("an act within the lease is refused")
	}
	if _, ok := x.BeginAct(until-time.Second, 1100*time.Millisecond); ok {
		t.Fatal("an act beyond the lease is allowed")
	}
	for now := at + time.Second; now <= until; now += 50 * time.Millisecond {
		x.Tick(now)
	}
	told := phasesOf(x.Events())
	if len(told) != 0 {
		t.Fatal("given up before its time")
	}
	x.Tick(until + 1)
	if p := phasesOf(x.Events()); len(p) < 1 || p[0] != Stopping || x.MaxActDuration(until+1) > 0 {
		t.Fatal(x)
	}
	if c := x.Tick(until + time.Second); c == nil || c.Op != Release {
		t.Fatalf("it is not given back: %+v", c)
	}
}

// A grant counts from before it was asked for; one that was asked for long ago would be over when it comes, so it is asked
// for anew.
func TestTenantAsksAnew(t *testing.T) {
	x := newTestClient(t)
	last := uint64(0)
	now := time.Hour
	for ; now < time.Hour+3*testTTL; now += 20 * time.Millisecond {
		if c := x.Tick(now); c != nil {
			last = c.Seq
		}
	}
	x.HandleAnswer(now, Answer{Outcome: Granted, Lease: "l", Token: 5, TTL: testTTL, Seq: last})
	if left := x.MaxActDuration(now); left < testTTL/2 {
		t.Errorf("%v of %v are left", left, testTTL)
	}
}

// Acts that have begun go before the word that the lease is free.
func TestTenantWaitsForItsActs(t *testing.T) {
	x := newHoldingClient(t)
	if _, ok := x.BeginAct(time.Hour+1, 2*time.Second); !ok {
		t.Fatal(x)
	}
	x.Stop(time.Hour+2, Holder{"other", 1, 9})
	if c := x.Tick(time.Hour + time.Second); c != nil {
		t.Fatalf("an act lasts: %+v", c)
	}
	x.ActsEnded(time.Hour + time.Second)
	c := x.Tick(time.Hour + time.Second + 1)
	if c == nil || c.Op != Transfer || c.To.Life != 9 {
		t.Fatalf("%+v", c)
	}
	x.HandleAnswer(time.Hour+2*time.Second, Answer{Outcome: Refused, Lease: "l", Seq: c.Seq}) // the other waits no more
	if c = x.Tick(time.Hour + 2*time.Second); c == nil || c.Op != Release {
		t.Fatalf("%+v", c)
	}
	x.HandleAnswer(time.Hour+2*time.Second, Answer{Outcome: Freed, Lease: "l", Token: 5, Seq: c.Seq})
	if x.Phase() != Over {
		t.Fatal(x)
	}
}

// A wish that is given up leaves the line; where the lease came meanwhile it is given back.
func TestTenantGivesUpItsWish(t *testing.T) {
	x := newTestClient(t)
	c := x.Tick(time.Hour)
	x.HandleAnswer(time.Hour, Answer{Outcome: Waiting, Lease: "l", Place: 2, Seq: c.Seq})
	if x.Phase() != Queued || x.Events()[0].Place != 2 {
		t.Fatal(x)
	}
	next := time.Hour + x.timing.WaiterTimeout/3 // asked again before it is dropped
	again := x.Tick(next)
	if again == nil || again.Op != Acquire || again.Seq <= c.Seq {
		t.Fatalf("%+v", again)
	}
	x.Stop(next+1, Holder{})
	f := x.Tick(next + 1)
	if f == nil || f.Op != LeaveQueue {
		t.Fatalf("%+v", f)
	}
	x.HandleAnswer(next+2, Answer{Outcome: Granted, Lease: "l", Token: 8, TTL: testTTL, Seq: c.Seq})
	r := x.Tick(next + 2)
	if r == nil || r.Op != Release || r.Token != 8 || x.MaxActDuration(next+2) > 0 {
		t.Fatalf("%+v", r)
	}
}

// What takes the lease away is told: a renewal that is refused, an operator, a full table.
func TestTenantLoses(t *testing.T) {
	x := newHoldingClient(t)
	c := x.Tick(time.Hour + testTTL/2)
	x.HandleAnswer(time.Hour+testTTL/2, Answer{Outcome: Refused, Lease: "l", Seq: c.Seq})
	if x.Phase() != Stopping || x.MaxActDuration(time.Hour+testTTL/2) > 0 {
		t.Fatal(x)
	}
	y := newTestClient(t)
	c = y.Tick(time.Hour)
	y.HandleAnswer(time.Hour, Answer{Outcome: LimitReached, Lease: "l", Seq: c.Seq})
	if y.Phase() != Over {
		t.Fatal(y)
	}
	z := newHoldingClient(t)
	z.Abandon()
	if z.Tick(2*time.Hour) != nil || z.Phase() != Over || z.MaxActDuration(time.Hour+1) > 0 {
		t.Fatal(z)
	}
	if _, err := NewClient(Timing{}, "l", Holder{"n", 1, 7}, time.Millisecond, 0); err == nil {
		t.Error("a lease of a millisecond")
	}
}

// Nobody who answers is told once, after an election's time, and so is that somebody does again.
func TestTenantTellsThatNobodyAnswers(t *testing.T) {
	x := newTestClient(t)
	told, sends := 0, 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += 10 * time.Millisecond {
		if c := x.Tick(now); c != nil {
			sends++
			x.RetrySoon(now, c.Seq) // each voter says that it can't help
		}
		for _, e := range x.Events() {
			if e.Kind == Unreachable {
				told++
				if since := now - time.Hour; since < noAnswerTimeout || since > noAnswerTimeout+maxRetryInterval {
					t.Errorf("told after %v", since)
				}
			}
		}
	}
	if told != 1 || sends > 50 {
		t.Errorf("told %d times, sent %d times", told, sends)
	}
	x.HandleAnswer(2*time.Hour, Answer{Outcome: Waiting, Lease: "l", Place: 1, Seq: 1})
	if e := x.Events(); len(e) == 0 || e[0].Kind != Reachable {
		t.Errorf("%+v", e)
	}
}

// Answers in any order, of any kind, to any request: a tenant never holds longer than from before it asked, and ends.
func TestTenantTakesAnything(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		x := newTestClient(t)
		now := time.Hour
		asked := map[uint64]time.Duration{}
		var seqs []uint64
		for range 200 {
			now += time.Duration(rng.IntN(400)) * time.Millisecond
			if c := x.Tick(now); c != nil {
				if _, again := asked[c.Seq]; !again {
					asked[c.Seq], seqs = now, append(seqs, c.Seq)
				}
			}
			switch rng.IntN(5) {
			case 0, 1:
				if len(seqs) > 0 {
					a := Answer{Outcome: Outcome(1 + rng.IntN(6)), Lease: "l", Token: uint64(1 + rng.IntN(3)), TTL: testTTL, Place: 1, Seq: seqs[rng.IntN(len(seqs))]}
					x.HandleAnswer(now, a)
				}
			case 2:
				x.BeginAct(now, time.Duration(rng.IntN(3000))*time.Millisecond)
			case 3:
				x.RetrySoon(now, uint64(rng.IntN(9)))
			}
			last := time.Duration(0)
			for _, at := range asked {
				last = max(last, at)
			}
			if left := x.MaxActDuration(now); left > 0 && now+left > last+testTTL {
				t.Fatalf("seed %d: holds until %v, and asked at %v at the latest", seed, now+left, last)
			}
			x.Events()
		}
		x.Stop(now, Holder{})
		for range 300 {
			now += 200 * time.Millisecond
			x.Tick(now)
		}
		if x.Phase() != Over {
			t.Fatalf("seed %d: %v", seed, x)
		}
	}
}

// A command gets its grace before the lease ends, and is killed before it does, whatever it was told meanwhile.
func TestWarden(t *testing.T) {
	const until = time.Hour + 10*time.Second
	w := NewWatchdog(10*time.Second, 2*time.Second, until)
	if w.NextSignal(until-2300*time.Millisecond) != None || w.Lost() {
		t.Error("too early")
	}
	w.Extend(until + 5*time.Second)
	w.Extend(until) // a late word
	if w.NextSignal(until) != None {
		t.Error("it was extended")
	}
	last := until + 5*time.Second - 200*time.Millisecond
	if w.NextSignal(last-2*time.Second) != Term || !w.Lost() {
		t.Error("no time to end by itself")
	}
	if w.NextSignal(last-time.Millisecond) != None || w.NextSignal(last) != Kill || w.NextSignal(last+1) != None {
		t.Error("not killed once, before the lease ends")
	}
	// Told to end: the grace counts from there, and never beyond the lease.
	w = NewWatchdog(10*time.Second, 2*time.Second, until)
	w.Stop(until - 8*time.Second)
	if w.NextSignal(until-8*time.Second) != Term || w.NextSignal(until-6*time.Second-1) != None || w.NextSignal(until-6*time.Second) != Kill || w.Lost() {
		t.Error("told to end")
	}
	w = NewWatchdog(10*time.Second, 2*time.Second, until)
	w.Stop(until - time.Second)
	if s := w.NextSignal(until - 200*time.Millisecond); s != Kill {
		t.Errorf("%v at the lease's end", s)
	}
	// One that was not asked for long does not waste time on a grace.
	w = NewWatchdog(10*time.Second, 0, until)
	if w.NextSignal(until+time.Minute) != Kill || !w.Lost() {
		t.Error("woken after the end")
	}
}

// Forms are read as written, and anything can be read.
func FuzzForms(f *testing.F) {
	m := NewStateMachine()
	h := Holder{"n", 1, 9}
	m.Apply(&Command{Op: Acquire, Lease: "l", Holder: h, Seq: 1, TTL: time.Minute})
	m.Apply(&Command{Op: Acquire, Lease: "l", Holder: Holder{"o", 2, 8}, Seq: 4, TTL: time.Hour})
	s := m.Snapshot()
	f.Add(AppendSnapshot(nil, &s))
	f.Add(AppendCommand(nil, &Command{Op: Transfer, Lease: "l", Holder: h, Seq: 3, Token: 4, To: h, TTL: 5, Serial: 6}))
	f.Add(AppendAnswer(nil, &Answer{Granted, "l", 3, time.Second, 4, 5}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := ParseSnapshot(b); err == nil {
			again := Restore(s).Snapshot()
			if x, err := ParseSnapshot(AppendSnapshot(nil, &again)); err != nil || len(x.Leases) != len(again.Leases) {
				t.Fatalf("%v: %+v", err, again)
			}
		}
		if c, err := ParseCommand(b); err == nil {
			if d, err := ParseCommand(AppendCommand(nil, &c)); err != nil || c != d {
				t.Fatalf("%+v, then %+v: %v", c, d, err)
			}
			NewStateMachine().Apply(&c)
		}
		if a, err := ParseAnswer(b); err == nil {
			if d, err := ParseAnswer(AppendAnswer(nil, &a)); err != nil || a != d {
				t.Fatalf("%+v, then %+v: %v", a, d, err)
			}
		}
	})
}
