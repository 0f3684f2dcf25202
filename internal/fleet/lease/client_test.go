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

// newHoldingClient returns a client that holds its lease under token 5, as of one hour on its clock.
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

// A client renews after a third of the lease, repeats a renewal that gets no answer, and stops when none is answered
// in time, so that its acts end before the leader's clock can expire the lease.
func TestClientRenewsOrStops(t *testing.T) {
	x := newHoldingClient(t)
	at := time.Hour + testTTL/3 - 1
	if c := x.Tick(at); c != nil {
		t.Fatalf("renewed too early: %+v", c)
	}
	c := x.Tick(at + 1)
	if c == nil || c.Op != Renew || c.Token != 5 {
		t.Fatalf("%+v", c)
	}
	if again := x.Tick(at + 2); again != nil {
		t.Fatalf("resent without waiting: %+v", again)
	}
	again := x.Tick(at + x.retryInterval() + 2)
	if again == nil || again.Seq != c.Seq {
		t.Fatalf("the same request is not resent: %+v", again)
	}
	x.HandleAnswer(at+400*time.Millisecond, Answer{Outcome: Granted, Lease: "l", Token: 5, TTL: testTTL, Seq: c.Seq})
	until := time.Duration(0)
	for _, e := range x.Events() {
		if e.Kind == Extended {
			until = e.Until
		}
	}
	if until != at+1+x.timing.holderTTL(testTTL) {
		t.Fatalf("the renewal lasts until %v, requested at %v", until, at+1)
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
	phases := phasesOf(x.Events())
	if len(phases) != 0 {
		t.Fatal("given up before the lease ended")
	}
	x.Tick(until + 1)
	if p := phasesOf(x.Events()); len(p) < 1 || p[0] != Stopping || x.MaxActDuration(until+1) > 0 {
		t.Fatal(x)
	}
	if c := x.Tick(until + time.Second); c == nil || c.Op != Release {
		t.Fatalf("the lease is not released: %+v", c)
	}
}

// A grant counts from the sending of its request. After a long time without an answer the client sends a new request,
// or the grant would have expired on arrival.
func TestClientRenumbersOldRequests(t *testing.T) {
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
		t.Errorf("%v of %v left after the grant", left, testTTL)
	}
}

// The release is sent only after begun acts have ended.
func TestClientWaitsForItsActs(t *testing.T) {
	x := newHoldingClient(t)
	if _, ok := x.BeginAct(time.Hour+1, 2*time.Second); !ok {
		t.Fatal(x)
	}
	x.Stop(time.Hour+2, Holder{"other", 1, 9})
	if c := x.Tick(time.Hour + time.Second); c != nil {
		t.Fatalf("released during an act: %+v", c)
	}
	x.EndActs(time.Hour + time.Second)
	c := x.Tick(time.Hour + time.Second + 1)
	if c == nil || c.Op != Transfer || c.To.Life != 9 {
		t.Fatalf("%+v", c)
	}
	// The receiver has left the queue.
	x.HandleAnswer(time.Hour+2*time.Second, Answer{Outcome: Refused, Lease: "l", Seq: c.Seq})
	if c = x.Tick(time.Hour + 2*time.Second); c == nil || c.Op != Release {
		t.Fatalf("%+v", c)
	}
	x.HandleAnswer(time.Hour+2*time.Second, Answer{Outcome: Freed, Lease: "l", Token: 5, Seq: c.Seq})
	if x.Phase() != Over {
		t.Fatal(x)
	}
}

// A client that gives up while it waits leaves the queue, and releases the lease if that was granted meanwhile.
func TestClientLeavesQueue(t *testing.T) {
	x := newTestClient(t)
	c := x.Tick(time.Hour)
	x.HandleAnswer(time.Hour, Answer{Outcome: Waiting, Lease: "l", Place: 2, Seq: c.Seq})
	if x.Phase() != Queued || x.Events()[0].Place != 2 {
		t.Fatal(x)
	}
	next := time.Hour + x.timing.WaiterTimeout/3 // repeated before the waiter expires
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

// A refused renewal, a full table and Abandon each end the client's right to act; an invalid time to live is refused.
func TestClientLosesLease(t *testing.T) {
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
		t.Error("a time to live of a millisecond was accepted")
	}
}

// Unreachable is reported once, after the time of an election without an answer, and Reachable after the next answer.
func TestClientReportsUnreachable(t *testing.T) {
	x := newTestClient(t)
	reports, sends := 0, 0
	for now := time.Hour; now < time.Hour+10*time.Second; now += 10 * time.Millisecond {
		if c := x.Tick(now); c != nil {
			sends++
			x.RetrySoon(now, c.Seq) // each voter answers that it can't serve
		}
		for _, e := range x.Events() {
			if e.Kind == Unreachable {
				reports++
				if since := now - time.Hour; since < noAnswerTimeout || since > noAnswerTimeout+maxRetryInterval {
					t.Errorf("reported after %v", since)
				}
			}
		}
	}
	if reports != 1 || sends > 50 {
		t.Errorf("reported %d times, sent %d times", reports, sends)
	}
	x.HandleAnswer(2*time.Hour, Answer{Outcome: Waiting, Lease: "l", Place: 1, Seq: 1})
	if e := x.Events(); len(e) == 0 || e[0].Kind != Reachable {
		t.Errorf("%+v", e)
	}
}

// With random answers, in any order and to any request, a client never holds longer than its time to live from the
// last request, and ends after Stop.
func TestClientWithRandomAnswers(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		x := newTestClient(t)
		now := time.Hour
		sentAt := map[uint64]time.Duration{}
		var seqs []uint64
		for range 200 {
			now += time.Duration(rng.IntN(400)) * time.Millisecond
			if c := x.Tick(now); c != nil {
				if _, resent := sentAt[c.Seq]; !resent {
					sentAt[c.Seq], seqs = now, append(seqs, c.Seq)
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
			for _, at := range sentAt {
				last = max(last, at)
			}
			if left := x.MaxActDuration(now); left > 0 && now+left > last+testTTL {
				t.Fatalf("seed %d: holds until %v, last request sent at %v", seed, now+left, last)
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

// A command gets its grace time before the lease ends and is killed before the end, also after a stop or a renewal.
func TestWatchdog(t *testing.T) {
	const until = time.Hour + 10*time.Second
	w := NewWatchdog(10*time.Second, 2*time.Second, until)
	if w.NextSignal(until-2300*time.Millisecond) != None || w.Lost() {
		t.Error("signal or loss too early")
	}
	w.Extend(until + 5*time.Second)
	w.Extend(until) // an outdated renewal
	if w.NextSignal(until) != None {
		t.Error("signal despite the renewal")
	}
	last := until + 5*time.Second - 200*time.Millisecond
	if w.NextSignal(last-2*time.Second) != Term || !w.Lost() {
		t.Error("no Term a grace time before the end")
	}
	if w.NextSignal(last-time.Millisecond) != None || w.NextSignal(last) != Kill || w.NextSignal(last+1) != None {
		t.Error("not killed exactly once before the lease ends")
	}
	// After Stop the grace counts from that call, and never extends beyond the lease.
	w = NewWatchdog(10*time.Second, 2*time.Second, until)
	w.Stop(until - 8*time.Second)
	if w.NextSignal(until-8*time.Second) != Term || w.NextSignal(until-6*time.Second-1) != None || w.NextSignal(until-6*time.Second) != Kill || w.Lost() {
		t.Error("wrong signals after Stop")
	}
	w = NewWatchdog(10*time.Second, 2*time.Second, until)
	w.Stop(until - time.Second)
	if s := w.NextSignal(until - 200*time.Millisecond); s != Kill {
		t.Errorf("signal %v at the margin before the lease's end, want Kill", s)
	}
	// A watchdog first called after the lease's end kills without a grace time.
	w = NewWatchdog(10*time.Second, 0, until)
	if w.NextSignal(until+time.Minute) != Kill || !w.Lost() {
		t.Error("no Kill after the lease's end")
	}
}

// Encodings decode to what was encoded, and decoding survives any input.
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
				t.Fatalf("restored snapshot does not decode: %v: %+v", err, again)
			}
		}
		if c, err := ParseCommand(b); err == nil {
			if d, err := ParseCommand(AppendCommand(nil, &c)); err != nil || c != d {
				t.Fatalf("command %+v decodes as %+v: %v", c, d, err)
			}
			NewStateMachine().Apply(&c)
		}
		if a, err := ParseAnswer(b); err == nil {
			if d, err := ParseAnswer(AppendAnswer(nil, &a)); err != nil || a != d {
				t.Fatalf("answer %+v decodes as %+v: %v", a, d, err)
			}
		}
	})
}
