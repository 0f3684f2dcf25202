package background

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever jobs ask for and however long their steps take: in no window do jobs spend
// more than the budget of the window and one period, one step, and what deadlines
// forced; and each job that is awake has its turn.
func TestBudgetIsKeptWithoutStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Config{MaxShare: rapid.Float64Range(0.02, 0.5).Draw(t, "share"), MinShare: 0.01}
		now := time.Hour
		c := New(set, now)
		set = c.config
		jobs := rapid.IntRange(1, 6).Draw(t, "jobs")
		served := make([]time.Duration, jobs)
		for i := range jobs {
			c.Add("job", Priority(rapid.IntRange(0, 3).Draw(t, "priority")))
			c.Wake(now, JobID(i), 0)
			served[i] = now
		}
		type spell struct{ at, took time.Duration }
		var spent []spell
		longest := time.Duration(0)
		for range 1500 {
			g, wait, ok := c.Next(now)
			if !ok {
				if wait <= 0 {
					t.Fatalf("%d jobs are awake and nobody has a turn", jobs)
				}
				now += wait
				continue
			}
			// At each level of lag a job may take up to the slice, and some more.
			took := time.Duration(rapid.Int64Range(1, int64(g.Slice)*3/2).Draw(t, "took"))
			longest = max(longest, took)
			now += took
			spent = append(spent, spell{now, took})
			c.Done(now, g, took, true)
			served[g.Job] = now
			if rapid.IntRange(0, 9).Draw(t, "lagging") == 0 {
				c.RecordLag(now, time.Duration(rapid.Int64Range(0, int64(12*time.Millisecond)).Draw(t, "lag")))
			}
			for i := range served {
				// With the least share each slice takes as long as that gives, for all jobs
				// of a rank; and ranks rise with waiting.
				most := time.Duration(jobs+1)*time.Duration(float64(2*longest)/set.MinShare) + 8*set.AgeingInterval
				if now-served[i] > most {
					t.Fatalf("job %d has waited %v, at most %v", i, now-served[i], most)
				}
			}
		}
		for from := 0; from < len(spent); from += 50 {
			sum := time.Duration(0)
			for to := from; to < len(spent); to++ {
				sum += spent[to].took
				window := spent[to].at - spent[from].at + spent[from].took
				most := time.Duration(set.MaxShare*float64(window+set.BudgetPeriod)) + longest
				if sum > most {
					t.Fatalf("%v spent in %v, at most %v", sum, window, most)
				}
			}
		}
	})
}

// Live traffic that waits takes the budget from the jobs, but for the least.
func TestLagReducesBudget(t *testing.T) {
	play := func(lag time.Duration) (spent time.Duration) {
		now := time.Hour
		c := New(Config{}, now)
		id := c.Add("job", Cleanup)
		c.Wake(now, id, 0)
		for end := now + 10*time.Second; now < end; {
			c.RecordLag(now, lag)
			g, wait, ok := c.Next(now)
			if !ok {
				now += min(wait, 10*time.Millisecond)
				continue
			}
			now += g.Slice
			spent += g.Slice
			c.Done(now, g, g.Slice, true)
		}
		return spent
	}
	calm, busy, worst := play(0), play(5*time.Millisecond), play(time.Second)
	if calm < 700*time.Millisecond || busy > calm*2/3 || worst > 70*time.Millisecond || worst < 40*time.Millisecond {
		t.Errorf("of 10 s: %v when calm, %v when traffic waits 5 ms, %v when it waits 1 s", calm, busy, worst)
	}
}

// A job with a deadline gets its steps in time whatever the budget, and others pay.
func TestUrgentJobExceedsBudget(t *testing.T) {
	now := time.Hour
	c := New(Config{MaxShare: 0.01, MinShare: 0.005}, now)
	slow, duty := c.Add("slow", Obligation), c.Add("duty", Optional)
	rounds := func(deadline time.Duration) (done time.Duration) {
		c.Wake(now, slow, 0)
		c.Wake(now, duty, now+deadline)
		left := 20 * time.Millisecond // of work: 2 s of the budget
		for left > 0 {
			g, wait, ok := c.Next(now)
			if !ok {
				now += wait
				continue
			}
			now += g.Slice
			if g.Job == duty {
				left -= g.Slice
			}
			c.Done(now, g, g.Slice, g.Job == slow || left > 0)
		}
		return now
	}
	rounds(time.Second) // its cost is learned
	begun := now
	if end := rounds(300 * time.Millisecond); end > begun+300*time.Millisecond {
		t.Errorf("done after %v", end-begun)
	}
	r := c.Reports()[duty]
	if r.UrgentSteps == 0 || r.MissedDeadlines > 1 || r.Rounds != 2 {
		t.Errorf("%+v", r)
	}
}

// A low one that has waited goes before a higher one that never ends.
func TestAgeingRaisesPriority(t *testing.T) {
	now := time.Hour
	c := New(Config{MaxShare: 1, MinShare: 0.5}, now)
	high, low := c.Add("high", Obligation), c.Add("low", Optional)
	c.Wake(now, high, 0)
	c.Wake(now, low, 0)
	for range 10_000 {
		g, wait, ok := c.Next(now)
		if !ok {
			now += wait
			continue
		}
		if g.Job == low {
			return
		}
		now += g.Slice
		c.Done(now, g, g.Slice, true)
	}
	t.Error("the low one never had a step")
}

// What is woken while its step runs runs again; what is cancelled does not.
func TestWakeAndCancelDuringStep(t *testing.T) {
	now := time.Hour
	c := New(Config{}, now)
	id := c.Add("job", Obligation)
	if _, _, ok := c.Next(now); ok {
		t.Fatal("a job that sleeps has a step")
	}
	c.Wake(now, id, 0)
	g, _, ok := c.Next(now)
	if !ok {
		t.Fatal("no step")
	}
	if _, _, again := c.Next(now); again {
		t.Fatal("two steps at once")
	}
	c.Wake(now, id, 0)
	c.Done(now, g, time.Microsecond, false)
	if g, _, ok = c.Next(now); !ok {
		t.Fatal("woken meanwhile, and no step")
	}
	c.Cancel(id)
	c.Done(now, g, time.Microsecond, true)
	if _, _, ok = c.Next(now); ok {
		t.Error("cancelled, and a step")
	}
	if !c.Done(now, Grant{id, time.Microsecond, false}, time.Second, false) || c.Reports()[id].Overruns != 1 {
		t.Error("an overrun is not told")
	}
}
