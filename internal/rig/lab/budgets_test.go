package lab

import (
	"context"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// The servers of the lower of two tiers fail. With shared budgets no call may have more attempts over both
// tiers together than its class allows. Without them, the control, the attempts of the tiers multiply.
func TestSharedBudgetsAcrossTiers(t *testing.T) {
	run := func(withBudgets bool) (maxAttempts int, r *Report) {
		o := defaultOptions()
		o.Plan.Tiers, o.Plan.Servers, o.Plan.CallsPerRequest, o.Nodes, o.ShareBudgets = 2, 4, 1, 1, withBudgets
		o.Traffic.Rate, o.Traffic.Retries, o.Traffic.Duration = 60, 0, 3*time.Second
		for _, server := range []string{"box-100", "box-101", "box-102", "box-103"} {
			f, err := standin.ParseFault("error:box=" + server + ",at=500ms,for=1500ms")
			if err != nil {
				t.Fatal(err)
			}
			o.Faults = append(o.Faults, f)
		}
		l, err := Open(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		if r, err = l.Run(context.Background(), nil); err != nil {
			t.Fatal(err)
		}
		checkReport(t, r)
		maxAttempts, _ = l.Fleet.MaxCallAttempts()
		return maxAttempts, r
	}
	withBudgets, with := run(true)
	withoutBudgets, without := run(false)
	t.Logf("max attempts per call: %d with budgets, %d without; weighted service %.3f and %.3f, attempts per request %.2f and %.2f",
		withBudgets, withoutBudgets, with.ServedWorth, without.ServedWorth, with.AttemptsPerRequest, without.AttemptsPerRequest)
	if withBudgets > 4 {
		t.Errorf("a call had %d attempts, its class allows 4", withBudgets)
	}
	if withoutBudgets <= 4 {
		t.Errorf("at most %d attempts per call without budgets: the control does not exceed the limit", withoutBudgets)
	}
}
