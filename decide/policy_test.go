package decide

import (
	"testing"
	"time"
)

// policyTest is a node before three servers, with an open request under a policy.
type policyTest struct {
	t        *testing.T
	b        *Balancer
	now      time.Duration
	id       uint64
	actions  []Action // of the last event
	attempts int      // attempts sent
	server   string   // server of the last attempt
}

func newPolicyTest(t *testing.T, class Class, mayHedge bool, policy RoutePolicy) *policyTest {
	t.Helper()
	set := Settings{Nodes: 1, MaxAttempts: 4, MayHedge: mayHedge, MayCancel: true, MayAdviseRetry: true,
		MaxRetryAfter: 2 * time.Second, Tier: 1, Classes: []Class{class}}
	d := &policyTest{t: t, b: New(set, 1, time.Second), now: time.Second, id: 7}
	d.b.HandleList(d.now, ListUpdate{Kind: ListFull, Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, nil)
	d.b.SetRoutePolicies(d.now, []RoutePolicy{{MaxAttempts: 1}, policy}, nil)
	d.apply(d.b.HandleRequest(d.now, Request{ID: d.id, Route: 2, Tenant: -1, TTL: class.Deadline}, nil))
	return d
}

func (d *policyTest) apply(out []Action) {
	d.actions = out
	for _, a := range out {
		if a.Kind == Send {
			d.attempts++
			d.server = a.Server
		}
	}
}

// find returns the first action of a kind from the last event.
func (d *policyTest) find(k ActionKind) (Action, bool) {
	for _, a := range d.actions {
		if a.Kind == k {
			return a, true
		}
	}
	return Action{}, false
}

// outcome ends the last attempt after some time.
func (d *policyTest) outcome(after time.Duration, r Result) {
	d.now += after
	d.apply(d.b.HandleOutcome(d.now, Outcome{Request: d.id, Attempt: d.attempts - 1, Server: d.server,
		Result: r, Elapsed: after}, nil))
}

// fireTimer lets time pass and fires the request's timer.
func (d *policyTest) fireTimer(after time.Duration) {
	d.now += after
	d.apply(d.b.HandleTimer(d.now, Timer{Token: d.id}, nil))
}

func (d *policyTest) wantAction(k ActionKind) Action {
	d.t.Helper()
	a, ok := d.find(k)
	if !ok {
		d.t.Fatalf("want action %d, got %+v", k, d.actions)
	}
	return a
}

func (d *policyTest) wantNoAction(k ActionKind) {
	d.t.Helper()
	if a, ok := d.find(k); ok {
		d.t.Fatalf("unexpected action %+v", a)
	}
}

func idempotentClass(deadline time.Duration) Class {
	return Class{LatencyTarget: time.Second, Deadline: deadline, Worth: 1}
}

func TestAttemptTimeout(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(2*time.Second), false, RoutePolicy{AttemptTimeout: 300 * ms})
	if a := d.wantAction(Send); a.Wait != 300*ms {
		t.Errorf("the attempt lasts %v", a.Wait)
	}
	for range 3 {
		d.outcome(300*ms, TimedOut)
		d.wantAction(Send)
	}
	d.outcome(300*ms, TimedOut) // the fourth and last attempt
	d.wantAction(Refuse)
}

// With 30 ms left an attempt lasts no longer than that, whatever its policy allows.
func TestAttemptTimeoutWithLittleTimeLeft(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(330*ms), false, RoutePolicy{AttemptTimeout: 300 * ms})
	d.outcome(300*ms, TimedOut)
	if a := d.wantAction(Send); a.Wait != 30*ms {
		t.Errorf("the second attempt lasts %v with 30 ms left", a.Wait)
	}
}

func TestMaxAttempts(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(2*time.Second), false, RoutePolicy{MaxAttempts: 2})
	d.outcome(ms, ConnectionLost)
	d.wantAction(Send)
	d.outcome(ms, ConnectionLost)
	d.wantAction(Refuse)
	if d.attempts != 2 {
		t.Errorf("%d attempts", d.attempts)
	}
}

func TestBackoffDoublesUpToMax(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(5*time.Second), false,
		RoutePolicy{BackoffInitial: 100 * ms, BackoffMax: 150 * ms})
	for i, want := range []time.Duration{100 * ms, 150 * ms, 150 * ms} {
		d.outcome(ms, ConnectionLost)
		d.wantNoAction(Send)
		if a := d.wantAction(StartTimer); a.Wait != want {
			t.Errorf("back-off %d: %v, want %v", i, a.Wait, want)
		}
		d.fireTimer(want - ms) // an earlier timer must not end the wait
		d.wantNoAction(Send)
		d.fireTimer(ms)
		d.wantAction(Send)
	}
}

func TestBackoffJitterShortensWait(t *testing.T) {
	shortest, longest := time.Second, time.Duration(0)
	for id := range uint64(200) {
		d := newPolicyTest(t, idempotentClass(5*time.Second), false,
			RoutePolicy{BackoffInitial: 100 * ms, BackoffJitter: 0.5})
		d.b.rng.Uint64()
		for range id { // use different random numbers each time
			d.b.rng.Uint64()
		}
		d.outcome(ms, ConnectionLost)
		wait := d.wantAction(StartTimer).Wait
		shortest, longest = min(shortest, wait), max(longest, wait)
	}
	if shortest < 50*ms || longest > 100*ms || longest-shortest < 30*ms {
		t.Errorf("waits of %v to %v, want 50 to 100 ms", shortest, longest)
	}
}

// A retry that would start after the request's deadline is given up at once instead of waiting.
func TestBackoffBeyondTheTimeLeft(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(300*ms), false, RoutePolicy{BackoffInitial: 400 * ms})
	d.outcome(ms, ConnectionLost)
	d.wantAction(Refuse)
}

// The wait counts towards the time for which a key is remembered; nine tenths of that time are used, to the
// millisecond.
func TestBackoffWithinKeyTTL(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		kind ActionKind
	}{{890 * ms, StartTimer}, {891 * ms, Fail}} {
		class := idempotentClass(5 * time.Second)
		class.Idempotency, class.Group, class.KeyTTL = Keyed, GroupCell, time.Second
		d := newPolicyTest(t, class, false, RoutePolicy{BackoffInitial: c.wait})
		d.outcome(10*ms, ConnectionLost) // the key's time runs from the send, 10 ms ago
		d.wantAction(c.kind)
	}
}

func TestRetryOnlyOnListedResults(t *testing.T) {
	for r := Errored; r <= Malformed; r++ {
		if r == Cancelled {
			continue
		}
		d := newPolicyTest(t, idempotentClass(2*time.Second), false,
			RoutePolicy{RetryOn: Rejected.Bit() | ConnectionLost.Bit()})
		d.outcome(ms, r)
		if _, again := d.find(Send); again != (r == Rejected || r == ConnectionLost) {
			t.Errorf("after result %d: %+v", r, d.actions)
		}
	}
}

func TestHedgeAfter(t *testing.T) {
	policy := RoutePolicy{HedgeAfter: 200 * ms}
	d := newPolicyTest(t, idempotentClass(2*time.Second), true, policy)
	if a := d.wantAction(StartTimer); a.Wait != 200*ms {
		t.Fatalf("hedge timer of %v", a.Wait)
	}
	d.fireTimer(199 * ms)
	d.wantNoAction(Send)
	first := d.server
	d.fireTimer(ms)
	if a := d.wantAction(Send); a.Server == first {
		t.Error("both attempts went to one server")
	}
	d.fireTimer(300 * ms) // no third attempt
	d.wantNoAction(Send)
	// The first response ends the request, and the other attempt is cancelled.
	d.apply(d.b.HandleOutcome(d.now, Outcome{Request: d.id, Attempt: 1, Server: d.server, Result: Served,
		Final: true}, nil))
	if a := d.wantAction(Cancel); a.Attempt != 0 {
		t.Errorf("cancelled attempt %d", a.Attempt)
	}

	keyed := idempotentClass(2 * time.Second)
	keyed.Idempotency, keyed.KeyTTL = Keyed, 10*time.Second
	for name, d := range map[string]*policyTest{
		"where hedging is not allowed": newPolicyTest(t, idempotentClass(2*time.Second), false, policy),
		"of a keyed class":             newPolicyTest(t, keyed, true, policy),
	} {
		d.fireTimer(250 * ms)
		if _, ok := d.find(Send); ok {
			t.Errorf("a hedged attempt was sent %s", name)
		}
	}
}

func TestDeadlineCap(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(2*time.Second), false, RoutePolicy{DeadlineCap: 250 * ms})
	if a := d.wantAction(Send); a.Wait != 250*ms {
		t.Errorf("the attempt lasts %v", a.Wait)
	}
	d.outcome(250*ms, TimedOut)
	d.wantAction(Fail) // its time is up, so nothing is promised
}

func TestRetryAfterIsBounded(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(5*time.Second), false,
		RoutePolicy{MaxAttempts: 1, MaxRetryAfter: 60 * ms})
	d.outcome(ms, Rejected)
	if a := d.wantAction(Refuse); a.Wait <= 0 || a.Wait > 60*ms {
		t.Errorf("retry-after of %v", a.Wait)
	}
}

// New policies apply to later requests; one in the middle of its second attempt keeps its own.
func TestNewPoliciesKeepOpenRequests(t *testing.T) {
	d := newPolicyTest(t, idempotentClass(2*time.Second), false,
		RoutePolicy{MaxAttempts: 3, AttemptTimeout: 100 * ms})
	d.outcome(100*ms, TimedOut)
	d.apply(d.b.SetRoutePolicies(d.now, []RoutePolicy{{}, {MaxAttempts: 1, AttemptTimeout: 50 * ms}}, nil))
	d.outcome(100*ms, TimedOut)
	if a := d.wantAction(Send); a.Wait != 100*ms {
		t.Errorf("the third attempt lasts %v", a.Wait)
	}
	d.outcome(100*ms, TimedOut)
	d.wantAction(Refuse)

	d.id, d.attempts = 8, 0
	d.apply(d.b.HandleRequest(d.now, Request{ID: d.id, Route: 2, Tenant: -1, TTL: time.Second}, nil))
	if a := d.wantAction(Send); a.Wait != 50*ms {
		t.Errorf("a new request's attempt lasts %v", a.Wait)
	}
	d.outcome(50*ms, TimedOut)
	d.wantAction(Refuse)
}

// A refused client whose request may have run must retry while its key is remembered: the retry-after is
// limited to that, and once the key has expired there is no refusal.
func TestRetryAfterWithinKeyTTL(t *testing.T) {
	class := idempotentClass(10 * time.Second)
	class.LatencyTarget, class.Idempotency, class.Group,
		class.KeyTTL = 10*time.Second, Keyed, GroupAll, time.Second
	d := newPolicyTest(t, class, false, RoutePolicy{MaxAttempts: 1})
	d.outcome(800*ms, ConnectionLost)
	if a := d.wantAction(Refuse); a.Wait > 100*ms {
		t.Errorf("retry-after of %v, the key is remembered for at most 100 ms more", a.Wait)
	}
	d = newPolicyTest(t, class, false, RoutePolicy{MaxAttempts: 1})
	d.outcome(950*ms, ConnectionLost)
	d.wantAction(Fail)
}
