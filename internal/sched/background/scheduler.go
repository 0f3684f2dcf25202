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
	priorityCount
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
	minSlice = 20 * time.Microsecond
	// A step that takes this many times what it was given is told.
	overrunFactor = 4
	minOverrun    = 2 * time.Millisecond
	// The highest wait of live traffic counts on, halved in each of these.
	lagHalfLife = 100 * time.Millisecond
	// A learned cost moves by this part towards the last.
	costSmoothing = 0.25
)

// ID names a job.
type JobID int

// job is what is known of one kind of work.
type job struct {
	name              string
	priority          Priority
	runnable          bool
	running           bool
	wokenWhileRunning bool          // again, while a step ran
	waitingSince      time.Duration // when it was woken or last had a step
	deadline          time.Duration // 0: none
	roundSpent        time.Duration // of this round
	roundCost         time.Duration // learned, of a round
	report            Report
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
	config      Config
	jobs        []job
	tokens      time.Duration // what may be spent now; below 0 after a step
	refilledAt  time.Duration // when tokens were counted last
	peakLag     time.Duration // the highest wait of live traffic, decayed
	peakLagAt   time.Duration
	stepRunning bool // a step runs
}

// New makes a core without jobs.
func New(set Config, now time.Duration) *Scheduler {
	c := &Scheduler{config: set.withDefaults(), refilledAt: now, peakLagAt: now}
	if !(c.config.MinShare > 0 && c.config.MinShare <= c.config.MaxShare && c.config.MaxShare <= 1) || c.config.HighLag <= c.config.LowLag {
		panic(fmt.Sprintf("background: odd settings %+v", c.config))
	}
	c.tokens = c.maxTokens()
	return c
}

// saved is the most that may be saved up.
func (c *Scheduler) maxTokens() time.Duration {
	return time.Duration(c.config.MaxShare * float64(c.config.BudgetPeriod))
}

// enough is what must be there for a step: steps of next to nothing would be spent on
// getting there.
func (c *Scheduler) minTokens() time.Duration {
	return max(minSlice, min(c.config.MaxSlice, c.maxTokens())/2)
}

// Add enters a job, which sleeps.
func (c *Scheduler) Add(name string, p Priority) JobID {
	c.jobs = append(c.jobs, job{name: name, priority: min(max(p, 0), priorityCount-1), report: Report{Name: name}})
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
		j.wokenWhileRunning = true
		return
	}
	if !j.runnable {
		j.runnable, j.waitingSince, j.roundSpent = true, now, 0
	}
}

// Cancel puts a job to sleep; a step that runs may end.
func (c *Scheduler) Cancel(id JobID) {
	j := &c.jobs[id]
	j.runnable, j.wokenWhileRunning, j.deadline = false, false, 0
}

// Lag tells how long live traffic has just waited to be handled.
func (c *Scheduler) RecordLag(now, lag time.Duration) {
	if lag > c.currentLag(now) {
		c.peakLag, c.peakLagAt = lag, now
	}
}

// lagNow is the highest lag, halved for each time lagHalf that has passed.
func (c *Scheduler) currentLag(now time.Duration) time.Duration {
	past := float64(max(0, now-c.peakLagAt)) / float64(lagHalfLife)
	return time.Duration(float64(c.peakLag) * math.Exp2(-past))
}

// Share is the part of a core that jobs may take now.
func (c *Scheduler) CurrentShare(now time.Duration) float64 {
	lag := c.currentLag(now)
	switch {
	case lag <= c.config.LowLag:
		return c.config.MaxShare
	case lag >= c.config.HighLag:
		return c.config.MinShare
	}
	rest := float64(c.config.HighLag-lag) / float64(c.config.HighLag-c.config.LowLag)
	return c.config.MinShare + (c.config.MaxShare-c.config.MinShare)*rest
}

// fill counts the tokens that have come since the last time.
func (c *Scheduler) refill(now time.Duration) {
	if now > c.refilledAt {
		c.tokens = min(c.maxTokens(), c.tokens+time.Duration(c.CurrentShare(now)*float64(now-c.refilledAt)))
		c.refilledAt = now
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
	if c.stepRunning {
		return Grant{}, 0, false
	}
	c.refill(now)
	best, urgent := -1, -1
	soon := time.Duration(0) // the earliest time at which a deadline presses
	for i := range c.jobs {
		j := &c.jobs[i]
		if !j.runnable {
			continue
		}
		if j.deadline > 0 {
			// What is left, by what a round has cost so far, and as much again.
			press := j.deadline - 2*max(j.roundCost-j.roundSpent, c.config.MaxSlice)
			if press <= now {
				if urgent < 0 || j.deadline < c.jobs[urgent].deadline {
					urgent = i
				}
			} else if soon == 0 || press < soon {
				soon = press
			}
		}
		if best < 0 || c.precedes(now, j, &c.jobs[best]) {
			best = i
		}
	}
	switch {
	case best < 0:
		return Grant{}, 0, false
	case urgent >= 0:
		g = Grant{Job: JobID(urgent), Slice: c.config.MaxSlice, Urgent: c.tokens < c.minTokens()}
	case c.tokens < c.minTokens():
		wait = max(time.Duration(float64(c.minTokens()-c.tokens)/c.CurrentShare(now))+1, time.Microsecond)
		if soon > 0 {
			wait = min(wait, soon-now)
		}
		return Grant{}, wait, false
	default:
		g = Grant{Job: JobID(best), Slice: max(c.minTokens(), min(c.config.MaxSlice, c.tokens))}
	}
	j := &c.jobs[g.Job]
	c.stepRunning, j.running = true, true
	j.report.LongestWait = max(j.report.LongestWait, now-j.waitingSince)
	if g.Urgent {
		j.report.UrgentSteps++
	}
	return g, 0, true
}

// before tells whether a job goes before another: by priority, which rises with the
// time that it has waited, then the earlier deadline, then the longer wait.
func (c *Scheduler) precedes(now time.Duration, x, y *job) bool {
	rank := func(j *job) int { return int(j.priority) - int((now-j.waitingSince)/c.config.AgeingInterval) }
	deadline := func(j *job) time.Duration {
		if j.deadline == 0 {
			return 1 << 62
		}
		return j.deadline
	}
	return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(deadline(x), deadline(y)), cmp.Compare(x.waitingSince, y.waitingSince)) < 0
}

// Done tells how long the step that Next has granted took, and whether the job has
// more to do. It returns whether the step overran by far.
func (c *Scheduler) Done(now time.Duration, g Grant, took time.Duration, more bool) (overrun bool) {
	c.refill(now)
	j := &c.jobs[g.Job]
	c.stepRunning, j.running = false, false
	c.tokens -= max(0, took)
	// A debt beyond a period's budget is let go: else one long step for a deadline
	// would stop all jobs for as long as that.
	c.tokens = max(c.tokens, -c.maxTokens()-c.config.MaxSlice)
	j.roundSpent += took
	r := &j.report
	r.Steps++
	r.Spent += took
	r.LongestStep = max(r.LongestStep, took)
	if overrun = took > max(overrunFactor*g.Slice, minOverrun); overrun {
		r.Overruns++
	}
	j.waitingSince = now
	if more && j.runnable {
		return overrun
	}
	if !more {
		r.Rounds++
		if j.roundCost == 0 {
			j.roundCost = j.roundSpent
		} else {
			j.roundCost += time.Duration(costSmoothing * float64(j.roundSpent-j.roundCost))
		}
		r.RoundCost = j.roundCost
		if j.deadline > 0 && now > j.deadline {
			r.MissedDeadlines++
		}
		j.roundSpent = 0
		if !j.wokenWhileRunning { // a deadline that came with further work holds on
			j.deadline = 0
		}
	}
	j.runnable, j.wokenWhileRunning = j.runnable && j.wokenWhileRunning, false
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
