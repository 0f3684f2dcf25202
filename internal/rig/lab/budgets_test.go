package lab

import (
	"context"
	"testing"
	"time"

	"curlewring/internal/rig/standin"
)

// Two tiers whose lower one fails: with budgets no call of a graph may be tried
// more often than its class has attempts, over both tiers together. Without, the
// control, they multiply.
func TestSharedBudgetsAcrossTiers(t *testing.T) {
	play := func(on bool) (worst int, r *Report) {
		o := defaultOptions()
		o.Plan.Tiers, o.Plan.Servers, o.Plan.CallsPerRequest, o.Nodes, o.ShareBudgets = 2, 4, 1, 1, on
		o.Traffic.Rate, o.Traffic.Retries, o.Traffic.Duration = 60, 0, 3*time.Second
		for _, box := range []string{"box-100", "box-101", "box-102", "box-103"} {
			f, err := standin.ParseFault("error:box=" + box + ",at=500ms,for=1500ms")
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
		worst, _ = l.Fleet.MaxCallAttempts()
		return worst, r
	}
	on, with := play(true)
	off, without := play(false)
	t.Logf("most attempts of a call: %d with budgets, %d without; weighted service %.3f and %.3f, attempts a request %.2f and %.2f",
		on, off, with.ServedWorth, without.ServedWorth, with.AttemptsPerRequest, without.AttemptsPerRequest)
	if on > 4 {
		t.Errorf("a call was tried %d times, its class has 4", on)
	}
	if off <= 4 {
		t.Errorf("without budgets a call is tried %d times at the most: this shows nothing", off)
	}
}
