package resource

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func start(t *testing.T, checkTokens bool) *Resource {
	t.Helper()
	r, err := Start(checkTokens)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func begin(t *testing.T, r *Resource, holder string, token uint64) *ActiveAccess {
	t.Helper()
	a, err := Begin(r.Address, holder, token)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Violations are recorded: a holder that overlaps with another, one whose token is lower than an earlier one,
// and one that uses another holder's token. Accesses in close succession are no violation.
func TestViolationsRecorded(t *testing.T) {
	r := start(t, false)
	for i := range uint64(300) {
		begin(t, r, "a", 2*i+1).End()
		begin(t, r, "b", 2*i+2).End()
	}
	if violations := r.Violations(); len(violations) > 0 {
		t.Fatalf("successive accesses: %v", violations)
	}
	for name, violate := range map[string]func(r *Resource){
		"overlapping access":     func(r *Resource) { begin(t, r, "b", 6).End() },
		"another holder's token": func(r *Resource) { begin(t, r, "b", 5).End() },
		"lower token": func(r *Resource) {
			begin(t, r, "a", 5).End()
			begin(t, r, "b", 4).End()
		},
	} {
		r := start(t, false)
		a := begin(t, r, "a", 5)
		violate(r)
		a.End()
		if len(r.Violations()) == 0 {
			t.Errorf("%s: no violation recorded", name)
		}
	}
}

// A resource that checks tokens refuses lower ones, which is then no violation.
func TestStaleTokensRefused(t *testing.T) {
	r := start(t, true)
	begin(t, r, "a", 5).End()
	if _, err := Begin(r.Address, "b", 4); err == nil {
		t.Error("a lower token was accepted")
	}
	begin(t, r, "c", 6).End()
	if violations := r.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
	history := r.History()
	for end := time.Now().Add(5 * time.Second); len(history) != 3 || history[2].To.IsZero(); history = r.History() {
		if time.Now().After(end) {
			t.Fatalf("%+v", history)
		}
		time.Sleep(time.Millisecond)
	}
	if !history[1].Refused || history[0].Refused {
		t.Errorf("%+v", history)
	}
}
