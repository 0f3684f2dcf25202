package background

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Priority says which job goes first where none has a deadline to miss; a lower one
// goes first.
type Priority int

const (
	Obligation Priority = iota // what an obligation hangs on
	Reclaim                    // what makes room for others
	Cleanup                    // what only saves
	Optional                   // what could as well never happen
	priorities
)

// Config is a core's. The zero value of each field stands for its default.
type Config struct {
	MaxShare       float64       // of a core that jobs may take together; 0.08
	MinShare       float64       // that is left to them however long live traffic waits; 0.005
	BudgetPeriod   time.Duration // whose budget may be saved up; 50 ms
	MaxSlice       time.Duration // the longest step; 300 us
	LowLag         time.Duration // live traffic's wait up to which the whole share is given; 500 us
	HighLag        time.Duration // and from which only the least; 10 ms
	AgeingInterval time.Duration // a job that waited this long counts as of one priority higher; 200 ms
}

func (c Config) withDefaults() Config {
	c.MaxShare, c.MinShare = cmp.Or(c.MaxShare, 0.08), cmp.Or(c.MinShare, 0.005)
	c.BudgetPeriod, c.MaxSlice = cmp.Or(c.BudgetPeriod, 50*time.Millisecond), cmp.Or(c.MaxSlice, 300*time.Microsecond)
	c.LowLag, c.HighLag = cmp.Or(c.LowLag, 500*time.Microsecond), cmp.Or(c.HighLag, 10*time.Millisecond)
	c.AgeingInterval = cmp.Or(c.AgeingInterval, 200*time.Millisecond)
	return c
}

const (
	leastSlice = 20 * time.Microsecond
	// A step that takes this many times what it was given is told.
	overrunTimes = 4
	overrunLeast = 2 * time.Millisecond
	// The highest wait of live traffic counts on, halved in each of these.
	lagHalf = 100 * time.Millisecond
	// A learned cost moves by this part towards the last.
	learnPart = 0.25
)

// ID names a job.
type JobID int

// job is what is known of one kind of work.
type job struct {
	name     string
	priority Priority
	awake    bool
	running  bool
	woken    bool          // again, while a step ran
	since    time.Duration // when it was woken or last had a step
	deadline time.Duration // 0: none
	spent    time.Duration // of this round
	cost     time.Duration // learned, of a round
	report   Report
}

// Report is what a job has done.
type Report struct {
	Name            string
	Rounds          int           // from being woken to having nothing left
	Steps           int           //
	Spent           time.Duration // in all
	RoundCost       time.Duration // learned, of a round
	LongestStep     time.Duration // step
	LongestWait     time.Duration // the longest wait for a step
	Overruns        int           // steps that took far more than they were given
	MissedDeadlines int           // deadlines
	UrgentSteps     int           // steps beyond the budget, for a deadline's sake
}

// Core shares the budget out.
type Scheduler struct {
	set    Config
	jobs   []job
	tokens time.Duration // what may be spent now; below 0 after a step
	filled time.Duration // when tokens were counted last
	lag    time.Duration // the highest wait of live traffic, decayed
	lagAt  time.Duration
	busy   bool // a step runs
}

// New makes a core without jobs.
func New(set Config, now time.Duration) *Scheduler {
	c := &Scheduler{set: set.withDefaults(), filled: now, lagAt: now}
	if !(c.set.MinShare > 0 && c.set.MinShare <= c.set.MaxShare && c.set.MaxShare <= 1) || c.set.HighLag <= c.set.LowLag {
		panic(fmt.Sprintf("background: odd settings %+v", c.set))
	}
	c.tokens = c.saved()
	return c
}

// saved is the most that may be saved up.
func (c *Scheduler) saved() time.Duration {
	return time.Duration(c.set.MaxShare * float64(c.set.BudgetPeriod))
}

// enough is what must be there for a step: steps of next to nothing would be spent on
// getting there.
func (c *Scheduler) enough() time.Duration { return max(leastSlice, min(c.set.MaxSlice, c.saved())/2) }

// Add enters a job, which sleeps.
func (c *Scheduler) Add(name string, p Priority) JobID {
	c.jobs = append(c.jobs, job{name: name, priority: min(max(p, 0), priorities-1), report: Report{Name: name}})
	return JobID(len(c.jobs) - 1)
}

// Wake tells that a job has work, which should be through by the deadline; 0: none.
// The earlier of two deadlines holds.
func (c *Scheduler) Wake(now time.Duration, id JobID, deadline time.Duration) {
	j := &c.jobs[id]
	if deadline > 0 && (j.deadline == 0 || deadline < j.deadline) {
		j.deadline = deadline
	}
	if j.running {
		j.woken = true
		return
	}
	if !j.awake {
		j.awake, j.since, j.spent = true, now, 0
	}
}

// Cancel puts a job to sleep; a step that runs may end.
func (c *Scheduler) Cancel(id JobID) {
	j := &c.jobs[id]
	j.awake, j.woken, j.deadline = false, false, 0
}

// Lag tells how long live traffic has just waited to be handled.
func (c *Scheduler) RecordLag(now, lag time.Duration) {
	if lag > c.lagNow(now) {
		c.lag, c.lagAt = lag, now
	}
}

// lagNow is the highest lag, halved for each time lagHalf that has passed.
func (c *Scheduler) lagNow(now time.Duration) time.Duration {
	past := float64(max(0, now-c.lagAt)) / float64(lagHalf)
	return time.Duration(float64(c.lag) * math.Exp2(-past))
}

// Share is the part of a core that jobs may take now.
func (c *Scheduler) CurrentShare(now time.Duration) float64 {
	lag := c.lagNow(now)
	switch {
	case lag <= c.set.LowLag:
		return c.set.MaxShare
	case lag >= c.set.HighLag:
		return c.set.MinShare
	}
	rest := float64(c.set.HighLag-lag) / float64(c.set.HighLag-c.set.LowLag)
	return c.set.MinShare + (c.set.MaxShare-c.set.MinShare)*rest
}

// fill counts the tokens that have come since the last time.
func (c *Scheduler) fill(now time.Duration) {
	if now > c.filled {
		c.tokens = min(c.saved(), c.tokens+time.Duration(c.CurrentShare(now)*float64(now-c.filled)))
		c.filled = now
	}
}

// Grant is one step of a job.
type Grant struct {
	Job    JobID
	Slice  time.Duration // that it may take
	Urgent bool          // the budget is spent, but its deadline is near
}

// Next says which job has a step now. ok is false if none has: then wait is how long
// to wait for, or 0 until the next Wake. One step runs at a time.
func (c *Scheduler) Next(now time.Duration) (g Grant, wait time.Duration, ok bool) {
	if c.busy {
		return Grant{}, 0, false
	}
	c.fill(now)
	best, urgent := -1, -1
	soon := time.Duration(0) // the earliest time at which a deadline presses
	for i := range c.jobs {
		j := &c.jobs[i]
		if !j.awake {
			continue
		}
		if j.deadline > 0 {
			// What is left, by what a round has cost so far, and as much again.
			press := j.deadline - 2*max(j.cost-j.spent, c.set.MaxSlice)
			if press <= now {
				if urgent < 0 || j.deadline < c.jobs[urgent].deadline {
					urgent = i
				}
			} else if soon == 0 || press < soon {
				soon = press
			}
		}
		if best < 0 || c.before(now, j, &c.jobs[best]) {
			best = i
		}
	}
	switch {
	case best < 0:
		return Grant{}, 0, false
	case urgent >= 0:
		g = Grant{Job: JobID(urgent), Slice: c.set.MaxSlice, Urgent: c.tokens < c.enough()}
	case c.tokens < c.enough():
		wait = max(time.Duration(float64(c.enough()-c.tokens)/c.CurrentShare(now))+1, time.Microsecond)
		if soon > 0 {
			wait = min(wait, soon-now)
		}
		return Grant{}, wait, false
	default:
		g = Grant{Job: JobID(best), Slice: max(c.enough(), min(c.set.MaxSlice, c.tokens))}
	}
	j := &c.jobs[g.Job]
	c.busy, j.running = true, true
	j.report.LongestWait = max(j.report.LongestWait, now-j.since)
	if g.Urgent {
		j.report.UrgentSteps++
	}
	return g, 0, true
}

// before tells whether a job goes before another: by priority, which rises with the
// time that it has waited, then the earlier deadline, then the longer wait.
func (c *Scheduler) before(now time.Duration, x, y *job) bool {
	rank := func(j *job) int { return int(j.priority) - int((now-j.since)/c.set.AgeingInterval) }
	deadline := func(j *job) time.Duration {
		if j.deadline == 0 {
			return 1 << 62
		}
		return j.deadline
	}
	return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(deadline(x), deadline(y)), cmp.Compare(x.since, y.since)) < 0
}

// Done tells how long the step that Next has granted took, and whether the job has
// more to do. It returns whether the step overran by far.
func (c *Scheduler) Done(now time.Duration, g Grant, took time.Duration, more bool) (overrun bool) {
	c.fill(now)
	j := &c.jobs[g.Job]
	c.busy, j.running = false, false
	c.tokens -= max(0, took)
	// A debt beyond a period's budget is let go: else one long step for a deadline
	// would stop all jobs for as long as that.
	c.tokens = max(c.tokens, -c.saved()-c.set.MaxSlice)
	j.spent += took
	r := &j.report
	r.Steps++
	r.Spent += took
	r.LongestStep = max(r.LongestStep, took)
	if overrun = took > max(overrunTimes*g.Slice, overrunLeast); overrun {
		r.Overruns++
	}
	j.since = now
	if more && j.awake {
		return overrun
	}
	if !more {
		r.Rounds++
		if j.cost == 0 {
			j.cost = j.spent
		} else {
			j.cost += time.Duration(learnPart * float64(j.spent-j.cost))
		}
		r.RoundCost = j.cost
		if j.deadline > 0 && now > j.deadline {
			r.MissedDeadlines++
		}
		j.spent = 0
		if !j.woken { // a deadline that came with further work holds on
			j.deadline = 0
		}
	}
	j.awake, j.woken = j.awake && j.woken, false
	return overrun
}

// Reports are what all jobs have done, in the order in which they were added.
func (c *Scheduler) Reports() []Report {
	all := make([]Report, len(c.jobs))
	for i := range c.jobs {
		all[i] = c.jobs[i].report
	}
	return all
}
