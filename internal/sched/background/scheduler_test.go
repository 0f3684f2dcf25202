package background

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever jobs are added and however long their steps take, jobs without deadlines must
// not spend more in any time window than the budget of the window and one more period, plus
// one step; and each runnable job must get steps.
func TestBudgetIsKeptWithoutStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{MaxShare: rapid.Float64Range(0.02, 0.5).Draw(t, "share"), MinShare: 0.01}
		now := time.Hour
		scheduler := New(config, now)
		config = scheduler.config
		jobs := rapid.IntRange(1, 6).Draw(t, "jobs")
		lastStep := make([]time.Duration, jobs)
		for i := range jobs {
			scheduler.Add("job", Priority(rapid.IntRange(0, 3).Draw(t, "priority")))
			scheduler.Wake(now, JobID(i), 0)
			lastStep[i] = now
		}
		type step struct{ at, took time.Duration }
		var steps []step
		longest := time.Duration(0)
		for range 1500 {
			grant, wait, ok := scheduler.Next(now)
			if !ok {
				if wait <= 0 {
					t.Fatalf("%d jobs are runnable, but Next returns neither a grant nor a wait", jobs)
				}
				now += wait
				continue
			}
			// A step may take up to one and a half times its slice.
			took := time.Duration(rapid.Int64Range(1, int64(grant.Slice)*3/2).Draw(t, "took"))
			longest = max(longest, took)
			now += took
			steps = append(steps, step{now, took})
			scheduler.Done(now, grant, took, true)
			lastStep[grant.Job] = now
			if rapid.IntRange(0, 9).Draw(t, "lagging") == 0 {
				scheduler.RecordLag(now, time.Duration(rapid.Int64Range(0, int64(12*time.Millisecond)).Draw(t, "lag")))
			}
			for i := range lastStep {
				// At the minimum share, a step of each job takes the time to earn its cost. Jobs
				// of equal priority take turns, and waiting raises the priority.
				limit := time.Duration(jobs+1)*time.Duration(float64(2*longest)/config.MinShare) + 8*config.AgeingInterval
				if now-lastStep[i] > limit {
					t.Fatalf("job %d has waited %v, allowed: %v", i, now-lastStep[i], limit)
				}
			}
		}
		for from := 0; from < len(steps); from += 50 {
			sum := time.Duration(0)
			for to := from; to < len(steps); to++ {
				sum += steps[to].took
				window := steps[to].at - steps[from].at + steps[from].took
				limit := time.Duration(config.MaxShare*float64(window+config.BudgetPeriod)) + longest
				if sum > limit {
					t.Fatalf("jobs spent %v within %v, allowed: %v", sum, window, limit)
				}
			}
		}
	})
}

// When live traffic is delayed, the budget of the jobs must shrink to the minimum share.
func TestLagReducesBudget(t *testing.T) {
	spentAtLag := func(lag time.Duration) (spent time.Duration) {
		now := time.Hour
		scheduler := New(Config{}, now)
		id := scheduler.Add("job", Cleanup)
		scheduler.Wake(now, id, 0)
		for end := now + 10*time.Second; now < end; {
			scheduler.RecordLag(now, lag)
			grant, wait, ok := scheduler.Next(now)
			if !ok {
				now += min(wait, 10*time.Millisecond)
				continue
			}
			now += grant.Slice
			spent += grant.Slice
			scheduler.Done(now, grant, grant.Slice, true)
		}
		return spent
	}
	unloaded, delayed, overloaded := spentAtLag(0), spentAtLag(5*time.Millisecond), spentAtLag(time.Second)
	if unloaded < 700*time.Millisecond || delayed > unloaded*2/3 || overloaded > 70*time.Millisecond || overloaded < 40*time.Millisecond {
		t.Errorf("spent in 10 s: %v without lag, %v at a lag of 5 ms, %v at 1 s", unloaded, delayed, overloaded)
	}
}

// A job with a deadline must finish in time even beyond the budget, at the expense of other
// jobs.
func TestUrgentJobExceedsBudget(t *testing.T) {
	now := time.Hour
	scheduler := New(Config{MaxShare: 0.01, MinShare: 0.005}, now)
	background, urgent := scheduler.Add("background", Obligation), scheduler.Add("urgent", Optional)
	runRound := func(deadline time.Duration) (finished time.Duration) {
		scheduler.Wake(now, background, 0)
		scheduler.Wake(now, urgent, now+deadline)
		left := 20 * time.Millisecond // of work, for which the budget takes 2 s
		for left > 0 {
			grant, wait, ok := scheduler.Next(now)
			if !ok {
				now += wait
				continue
			}
			now += grant.Slice
			if grant.Job == urgent {
				left -= grant.Slice
			}
			scheduler.Done(now, grant, grant.Slice, grant.Job == background || left > 0)
		}
		return now
	}
	runRound(time.Second) // establishes the cost of a round
	start := now
	if end := runRound(300 * time.Millisecond); end > start+300*time.Millisecond {
		t.Errorf("the round took %v, want at most 300ms", end-start)
	}
	r := scheduler.Reports()[urgent]
	if r.UrgentSteps == 0 || r.MissedDeadlines > 1 || r.Rounds != 2 {
		t.Errorf("%+v", r)
	}
}

// A job of low priority that has waited long enough must run before one of high priority
// that never finishes.
func TestAgeingRaisesPriority(t *testing.T) {
	now := time.Hour
	scheduler := New(Config{MaxShare: 1, MinShare: 0.5}, now)
	high, low := scheduler.Add("high", Obligation), scheduler.Add("low", Optional)
	scheduler.Wake(now, high, 0)
	scheduler.Wake(now, low, 0)
	for range 10_000 {
		grant, wait, ok := scheduler.Next(now)
		if !ok {
			now += wait
			continue
		}
		if grant.Job == low {
			return
		}
		now += grant.Slice
		scheduler.Done(now, grant, grant.Slice, true)
	}
	t.Error("the job of low priority never got a step")
}

// A job woken during its own step must run again, and a cancelled job must not.
func TestWakeAndCancelDuringStep(t *testing.T) {
	now := time.Hour
	scheduler := New(Config{}, now)
	id := scheduler.Add("job", Obligation)
	if _, _, ok := scheduler.Next(now); ok {
		t.Fatal("a job that was not woken got a step")
	}
	scheduler.Wake(now, id, 0)
	grant, _, ok := scheduler.Next(now)
	if !ok {
		t.Fatal("a job that was woken got no step")
	}
	if _, _, again := scheduler.Next(now); again {
		t.Fatal("two steps were granted at once")
	}
	scheduler.Wake(now, id, 0)
	scheduler.Done(now, grant, time.Microsecond, false)
	if grant, _, ok = scheduler.Next(now); !ok {
		t.Fatal("a job woken during its step got no further step")
	}
	scheduler.Cancel(id)
	scheduler.Done(now, grant, time.Microsecond, true)
	if _, _, ok = scheduler.Next(now); ok {
		t.Error("a cancelled job got a step")
	}
	if !scheduler.Done(now, Grant{id, time.Microsecond, false}, time.Second, false) || scheduler.Reports()[id].Overruns != 1 {
		t.Error("an overrun was not reported")
	}
}
