package decide

import (
	"testing"
	"time"
)

// bounded is one node before three servers, with a request under these bounds under way.
type bounded struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
	id  uint64
	out []Action // the last answer of the module
	n   int      // attempts sent
	to  string   // the last of them
}

func underBounds(t *testing.T, class Class, copies bool, bounds RoutePolicy) *bounded {
	t.Helper()
	set := Settings{Nodes: 1, MaxAttempts: 4, MayHedge: copies, MayCancel: true, MayAdviseRetry: true,
		MaxRetryAfter: 2 * time.Second, Tier: 1, Classes: []Class{class}}
	d := &bounded{t: t, b: New(set, 1, time.Second), now: time.Second, id: 7}
	d.b.HandleList(d.now, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil)
	d.b.SetRoutePolicies(d.now, []RoutePolicy{{MaxAttempts: 1}, bounds}, nil)
	d.took(d.b.HandleRequest(d.now, Request{ID: d.id, Route: 2, Tenant: -1, TTL: class.Deadline}, nil))
	return d
}

func (d *bounded) took(out []Action) {
	d.out = out
	for _, a := range out {
		if a.Kind == Send {
			d.n++
			d.to = a.Server
		}
	}
}

// find returns the first action of a kind in the last answer.
func (d *bounded) find(k ActionKind) (Action, bool) {
	for _, a := range d.out {
		if a.Kind == k {
			return a, true
		}
	}
	return Action{}, false
}

// outcome ends the last attempt after a while.
func (d *bounded) outcome(after time.Duration, r Result) {
	d.now += after
	d.took(d.b.HandleOutcome(d.now, Outcome{Request: d.id, Attempt: d.n - 1, Server: d.to, Result: r, Elapsed: after}, nil))
}

// tick passes time and rings the request's timer.
func (d *bounded) tick(after time.Duration) {
	d.now += after
	d.took(d.b.HandleTimer(d.now, Timer{Token: d.id}, nil))
}

func (d *bounded) want(k ActionKind) Action {
	d.t.Helper()
	a, ok := d.find(k)
	if !ok {
		d.t.Fatalf("wanted action %d, got %+v", k, d.out)
	}
	return a
}

func (d *bounded) wantNot(k ActionKind) {
	d.t.Helper()
	if a, ok := d.find(k); ok {
		d.t.Fatalf("got %+v", a)
	}
}

func safe(deadline time.Duration) Class {
	return Class{LatencyTarget: time.Second, Deadline: deadline, Worth: 1}
}

func TestAttemptTimeoutCutsAnAttempt(t *testing.T) {
	d := underBounds(t, safe(2*time.Second), false, RoutePolicy{AttemptTimeout: 300 * ms})
	if a := d.want(Send); a.Wait != 300*ms {
		t.Errorf("the attempt lasts %v", a.Wait)
	}
	for range 3 {
		d.outcome(300*ms, TimedOut)
		d.want(Send)
	}
	d.outcome(300*ms, TimedOut) // four attempts are out
	d.want(Refuse)
}

// With 30 ms left an attempt lasts no longer than that, whatever its bounds allow.
func TestAttemptTimeoutWithLittleLeft(t *testing.T) {
	d := underBounds(t, safe(330*ms), false, RoutePolicy{AttemptTimeout: 300 * ms})
	d.outcome(300*ms, TimedOut)
	if a := d.want(Send); a.Wait != 30*ms {
		t.Errorf("the second attempt lasts %v with 30 ms left", a.Wait)
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	d := underBounds(t, safe(2*time.Second), false, RoutePolicy{MaxAttempts: 2})
	d.outcome(ms, ConnectionLost)
	d.want(Send)
	d.outcome(ms, ConnectionLost)
	d.want(Refuse)
	if d.n != 2 {
		t.Errorf("%d attempts", d.n)
	}
}

func TestBackoffDoublesUpToItsMost(t *testing.T) {
	d := underBounds(t, safe(5*time.Second), false, RoutePolicy{BackoffInitial: 100 * ms, BackoffMax: 150 * ms})
	for i, want := range []time.Duration{100 * ms, 150 * ms, 150 * ms} {
		d.outcome(ms, ConnectionLost)
		d.wantNot(Send)
		if a := d.want(StartTimer); a.Wait != want {
			t.Errorf("back-off %d: %v, want %v", i, a.Wait, want)
		}
		d.tick(want - ms) // a timer of before must not end the wait
		d.wantNot(Send)
		d.tick(ms)
		d.want(Send)
	}
}

func TestBackoffJitterTakesOff(t *testing.T) {
	least, most := time.Second, time.Duration(0)
	for id := range uint64(200) {
		d := underBounds(t, safe(5*time.Second), false, RoutePolicy{BackoffInitial: 100 * ms, BackoffJitter: 0.5})
		d.b.rng.Uint64()
		for range id { // another draw each time
			d.b.rng.Uint64()
		}
		d.outcome(ms, ConnectionLost)
		wait := d.want(StartTimer).Wait
		least, most = min(least, wait), max(most, wait)
	}
	if least < 50*ms || most > 100*ms || most-least < 30*ms {
		t.Errorf("waits of %v to %v, want 50 to 100 ms", least, most)
	}
}

// What could only be sent after the request's time is given up at once, not held back.
func TestBackoffBeyondTheTimeLeft(t *testing.T) {
	d := underBounds(t, safe(300*ms), false, RoutePolicy{BackoffInitial: 400 * ms})
	d.outcome(ms, ConnectionLost)
	d.want(Refuse)
}

// The wait counts toward the window in which a key is remembered, to the millisecond: nine tenths of it are used.
func TestBackoffAndTheKeysWindow(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		kind ActionKind
	}{{890 * ms, StartTimer}, {891 * ms, Fail}} {
		class := safe(5 * time.Second)
		class.Idempotency, class.Group, class.KeyTTL = Keyed, GroupCell, time.Second
		d := underBounds(t, class, false, RoutePolicy{BackoffInitial: c.wait})
		d.outcome(10*ms, ConnectionLost) // the window runs from the send, 10 ms ago
		d.want(c.kind)
	}
}

func TestRetryOnlyOnWhatIsNamed(t *testing.T) {
	for r := Errored; r <= Malformed; r++ {
		if r == Cancelled {
			continue
		}
		d := underBounds(t, safe(2*time.Second), false, RoutePolicy{RetryOn: Rejected.Bit() | ConnectionLost.Bit()})
		d.outcome(ms, r)
		if _, again := d.find(Send); again != (r == Rejected || r == ConnectionLost) {
			t.Errorf("after result %d: %+v", r, d.out)
		}
	}
}

func TestSecondCopyAfter(t *testing.T) {
	bounds := RoutePolicy{HedgeAfter: 200 * ms}
	d := underBounds(t, safe(2*time.Second), true, bounds)
	if a := d.want(StartTimer); a.Wait != 200*ms {
		t.Fatalf("looks for a copy after %v", a.Wait)
	}
	d.tick(199 * ms)
	d.wantNot(Send)
	first := d.to
	d.tick(ms)
	if a := d.want(Send); a.Server == first {
		t.Error("both copies went to one server")
	}
	d.tick(300 * ms) // no third
	d.wantNot(Send)
	// The first to answer ends the request, and the other copy is called off.
	d.took(d.b.HandleOutcome(d.now, Outcome{Request: d.id, Attempt: 1, Server: d.to, Result: Served, Final: true}, nil))
	if a := d.want(Cancel); a.Attempt != 0 {
		t.Errorf("called off attempt %d", a.Attempt)
	}

	keyed := safe(2 * time.Second)
	keyed.Idempotency, keyed.KeyTTL = Keyed, 10*time.Second
	for name, d := range map[string]*bounded{
		"where copies are ruled out": underBounds(t, safe(2*time.Second), false, bounds),
		"of a keyed class":           underBounds(t, keyed, true, bounds),
	} {
		d.tick(250 * ms)
		if _, ok := d.find(Send); ok {
			t.Errorf("a second copy went out %s", name)
		}
	}
}

func TestDeadlineCap(t *testing.T) {
	d := underBounds(t, safe(2*time.Second), false, RoutePolicy{DeadlineCap: 250 * ms})
	if a := d.want(Send); a.Wait != 250*ms {
		t.Errorf("the attempt lasts %v", a.Wait)
	}
	d.outcome(250*ms, TimedOut)
	d.want(Fail) // its time is up: no promise
}

func TestRetryAfterIsBounded(t *testing.T) {
	d := underBounds(t, safe(5*time.Second), false, RoutePolicy{MaxAttempts: 1, MaxRetryAfter: 60 * ms})
	d.outcome(ms, Rejected)
	if a := d.want(Refuse); a.Wait <= 0 || a.Wait > 60*ms {
		t.Errorf("advice of %v", a.Wait)
	}
}

// New bounds hold for requests that come from then on: one in the middle of its second attempt keeps its own.
func TestNewBoundsSpareWhatIsUnderWay(t *testing.T) {
	d := underBounds(t, safe(2*time.Second), false, RoutePolicy{MaxAttempts: 3, AttemptTimeout: 100 * ms})
	d.outcome(100*ms, TimedOut)
	d.took(d.b.SetRoutePolicies(d.now, []RoutePolicy{{}, {MaxAttempts: 1, AttemptTimeout: 50 * ms}}, nil))
	d.outcome(100*ms, TimedOut)
	if a := d.want(Send); a.Wait != 100*ms {
		t.Errorf("the third attempt lasts %v", a.Wait)
	}
	d.outcome(100*ms, TimedOut)
	d.want(Refuse)

	d.id, d.n = 8, 0
	d.took(d.b.HandleRequest(d.now, Request{ID: d.id, Route: 2, Tenant: -1, TTL: time.Second}, nil))
	if a := d.want(Send); a.Wait != 50*ms {
		t.Errorf("a new request's attempt lasts %v", a.Wait)
	}
	d.outcome(50*ms, TimedOut)
	d.want(Refuse)
}

// A refused client whose request may have run must be back while its key is
// known: the advice is cut to that, and after the window there is no refusal.
func TestAdviceStaysInTheKeysWindow(t *testing.T) {
	class := safe(10 * time.Second)
	class.LatencyTarget, class.Idempotency, class.Group, class.KeyTTL = 10*time.Second, Keyed, GroupAll, time.Second
	d := underBounds(t, class, false, RoutePolicy{MaxAttempts: 1})
	d.outcome(800*ms, ConnectionLost)
	if a := d.want(Refuse); a.Wait > 100*ms {
		t.Errorf("advice of %v, the key is known for 100 ms more at the most", a.Wait)
	}
	d = underBounds(t, class, false, RoutePolicy{MaxAttempts: 1})
	d.outcome(950*ms, ConnectionLost)
	d.want(Fail)
}
