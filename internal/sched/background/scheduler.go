package background

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// Priority orders jobs whose deadlines are not urgent. Lower values run first.
type Priority int

const (
	Obligation Priority = iota // an obligation depends on it
	Reclaim                    // frees resources that others need
	Cleanup                    // only saves resources
	Optional                   // may be postponed indefinitely
	priorityCount
)

// Config configures a Scheduler. A field that is zero gets the default at the end of its comment.
type Config struct {
	MaxShare       float64       // share of a core for all jobs together; 0.08
	MinShare       float64       // share that jobs keep however long live traffic is delayed; 0.005
	BudgetPeriod   time.Duration // unused budget accumulates for up to this long; 50 ms
	MaxSlice       time.Duration // longest step; 300 us
	LowLag         time.Duration // delay of live traffic up to which jobs get MaxShare; 500 us
	HighLag        time.Duration // delay of live traffic from which jobs get MinShare; 10 ms
	AgeingInterval time.Duration // waiting this long raises a job by one priority; 200 ms
}

func (c Config) withDefaults() Config {
	c.MaxShare, c.MinShare = cmp.Or(c.MaxShare, 0.08), cmp.Or(c.MinShare, 0.005)
	c.BudgetPeriod, c.MaxSlice = cmp.Or(c.BudgetPeriod, 50*time.Millisecond), cmp.Or(c.MaxSlice, 300*time.Microsecond)
	c.LowLag, c.HighLag = cmp.Or(c.LowLag, 500*time.Microsecond), cmp.Or(c.HighLag, 10*time.Millisecond)
	c.AgeingInterval = cmp.Or(c.AgeingInterval, 200*time.Millisecond)
	return c
}

const (
	// minSlice is the shortest slice that is granted.
	minSlice = 20 * time.Microsecond
	// A step that takes longer than both overrunFactor times its slice and minOverrun is
	// reported as an overrun.
	overrunFactor = 4
	minOverrun    = 2 * time.Millisecond
	// The peak delay of live traffic decays with this half-life.
	lagHalfLife = 100 * time.Millisecond
	// Weight of the latest round in the smoothed cost of a round.
	costSmoothing = 0.25
)

// JobID identifies a job.
type JobID int

// job is the state of one kind of background work.
type job struct {
	name              string
	priority          Priority
	runnable          bool
	running           bool
	wokenWhileRunning bool          // woken again while a step was running
	waitingSince      time.Duration // when it was woken or finished its last step
	deadline          time.Duration // 0: none
	roundSpent        time.Duration // time spent in the current round
	roundCost         time.Duration // smoothed cost of a round
	report            Report
}

// Report holds the statistics of a job.
type Report struct {
	Name            string
	Rounds          int           // completed rounds; a round lasts from waking until no work is left
	Steps           int           // completed steps
	Spent           time.Duration // total time spent
	RoundCost       time.Duration // smoothed cost of a round
	LongestStep     time.Duration // longest time that a step took
	LongestWait     time.Duration // longest wait for a step
	Overruns        int           // steps that took far longer than their slice
	MissedDeadlines int           // rounds that ended after their deadline
	UrgentSteps     int           // steps granted beyond the budget because of a deadline
}

// Scheduler divides the budget among jobs with a token bucket.
type Scheduler struct {
	config      Config
	jobs        []job
	tokens      time.Duration // time that may be spent now; may be negative after a step
	refilledAt  time.Duration // when tokens were last added
	peakLag     time.Duration // peak delay of live traffic as of peakLagAt
	peakLagAt   time.Duration
	stepRunning bool // a step is running
}

// New returns a Scheduler without jobs.
func New(config Config, now time.Duration) *Scheduler {
	s := &Scheduler{config: config.withDefaults(), refilledAt: now, peakLagAt: now}
	if !(s.config.MinShare > 0 && s.config.MinShare <= s.config.MaxShare && s.config.MaxShare <= 1) || s.config.HighLag <= s.config.LowLag {
		panic(fmt.Sprintf("background: invalid config %+v", s.config))
	}
	s.tokens = s.maxTokens()
	return s
}

// maxTokens returns the capacity of the token bucket.
func (s *Scheduler) maxTokens() time.Duration {
	return time.Duration(s.config.MaxShare * float64(s.config.BudgetPeriod))
}

// minTokens returns the tokens that a step requires. Shorter steps would spend most of their
// time on switching to the job.
func (s *Scheduler) minTokens() time.Duration {
	return max(minSlice, min(s.config.MaxSlice, s.maxTokens())/2)
}

// Add registers a job, which is not runnable until it is woken.
func (s *Scheduler) Add(name string, priority Priority) JobID {
	s.jobs = append(s.jobs, job{name: name, priority: min(max(priority, 0), priorityCount-1), report: Report{Name: name}})
	return JobID(len(s.jobs) - 1)
}

// Wake makes a job runnable. Its work should be finished by the deadline; 0 means no
// deadline. Of two deadlines, the earlier one applies.
func (s *Scheduler) Wake(now time.Duration, id JobID, deadline time.Duration) {
	j := &s.jobs[id]
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

// Cancel makes a job not runnable. A running step may finish.
func (s *Scheduler) Cancel(id JobID) {
	j := &s.jobs[id]
	j.runnable, j.wokenWhileRunning, j.deadline = false, false, 0
}

// RecordLag records by how long live traffic was just delayed.
func (s *Scheduler) RecordLag(now, lag time.Duration) {
	if lag > s.currentLag(now) {
		s.peakLag, s.peakLagAt = lag, now
	}
}

// currentLag returns the peak lag, decayed by the time since it was recorded.
func (s *Scheduler) currentLag(now time.Duration) time.Duration {
	halfLives := float64(max(0, now-s.peakLagAt)) / float64(lagHalfLife)
	return time.Duration(float64(s.peakLag) * math.Exp2(-halfLives))
}

// CurrentShare returns the share of a core that jobs may use now.
func (s *Scheduler) CurrentShare(now time.Duration) float64 {
	lag := s.currentLag(now)
	switch {
	case lag <= s.config.LowLag:
		return s.config.MaxShare
	case lag >= s.config.HighLag:
		return s.config.MinShare
	}
	fraction := float64(s.config.HighLag-lag) / float64(s.config.HighLag-s.config.LowLag)
	return s.config.MinShare + (s.config.MaxShare-s.config.MinShare)*fraction
}

// refill adds the tokens for the time since the last call.
func (s *Scheduler) refill(now time.Duration) {
	if now > s.refilledAt {
		s.tokens = min(s.maxTokens(), s.tokens+time.Duration(s.CurrentShare(now)*float64(now-s.refilledAt)))
		s.refilledAt = now
	}
}

// Grant permits one step of a job.
type Grant struct {
	Job    JobID
	Slice  time.Duration // time that the step may take
	Urgent bool          // granted beyond the budget because the deadline is near
}

// Next grants a step to a job. If no job may run now, ok is false and wait is the time until
// the next call, or 0 to wait for the next Wake. Only one step runs at a time.
func (s *Scheduler) Next(now time.Duration) (grant Grant, wait time.Duration, ok bool) {
	if s.stepRunning {
		return Grant{}, 0, false
	}
	s.refill(now)
	best, urgent := -1, -1
	nextUrgent := time.Duration(0) // the earliest time at which a deadline becomes urgent
	for i := range s.jobs {
		j := &s.jobs[i]
		if !j.runnable {
			continue
		}
		if j.deadline > 0 {
			// A deadline becomes urgent at twice the expected remaining cost of the round ahead of it.
			urgentFrom := j.deadline - 2*max(j.roundCost-j.roundSpent, s.config.MaxSlice)
			if urgentFrom <= now {
				if urgent < 0 || j.deadline < s.jobs[urgent].deadline {
					urgent = i
				}
			} else if nextUrgent == 0 || urgentFrom < nextUrgent {
				nextUrgent = urgentFrom
			}
		}
		if best < 0 || s.precedes(now, j, &s.jobs[best]) {
			best = i
		}
	}
	switch {
	case best < 0:
		return Grant{}, 0, false
	case urgent >= 0:
		grant = Grant{Job: JobID(urgent), Slice: s.config.MaxSlice, Urgent: s.tokens < s.minTokens()}
	case s.tokens < s.minTokens():
		wait = max(time.Duration(float64(s.minTokens()-s.tokens)/s.CurrentShare(now))+1, time.Microsecond)
		if nextUrgent > 0 {
			wait = min(wait, nextUrgent-now)
		}
		return Grant{}, wait, false
	default:
		grant = Grant{Job: JobID(best), Slice: max(s.minTokens(), min(s.config.MaxSlice, s.tokens))}
	}
	j := &s.jobs[grant.Job]
	s.stepRunning, j.running = true, true
	j.report.LongestWait = max(j.report.LongestWait, now-j.waitingSince)
	if grant.Urgent {
		j.report.UrgentSteps++
	}
	return grant, 0, true
}

// precedes reports whether job x runs before job y: by priority, which rises with the
// waiting time, then by the earlier deadline, then by the longer wait.
func (s *Scheduler) precedes(now time.Duration, x, y *job) bool {
	rank := func(j *job) int { return int(j.priority) - int((now-j.waitingSince)/s.config.AgeingInterval) }
	deadline := func(j *job) time.Duration {
		if j.deadline == 0 {
			return 1 << 62
		}
		return j.deadline
	}
	return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(deadline(x), deadline(y)), cmp.Compare(x.waitingSince, y.waitingSince)) < 0
}

// Done records how long a granted step took and whether the job has more work. It reports
// whether the step was an overrun.
func (s *Scheduler) Done(now time.Duration, grant Grant, took time.Duration, more bool) (overrun bool) {
	s.refill(now)
	j := &s.jobs[grant.Job]
	s.stepRunning, j.running = false, false
	s.tokens -= max(0, took)
	// The debt is limited to about the budget of one period. Otherwise one long urgent step
	// would block all jobs until its whole time was earned back.
	s.tokens = max(s.tokens, -s.maxTokens()-s.config.MaxSlice)
	j.roundSpent += took
	report := &j.report
	report.Steps++
	report.Spent += took
	report.LongestStep = max(report.LongestStep, took)
	if overrun = took > max(overrunFactor*grant.Slice, minOverrun); overrun {
		report.Overruns++
	}
	j.waitingSince = now
	if more && j.runnable {
		return overrun
	}
	if !more {
		report.Rounds++
		if j.roundCost == 0 {
			j.roundCost = j.roundSpent
		} else {
			j.roundCost += time.Duration(costSmoothing * float64(j.roundSpent-j.roundCost))
		}
		report.RoundCost = j.roundCost
		if j.deadline > 0 && now > j.deadline {
			report.MissedDeadlines++
		}
		j.roundSpent = 0
		if !j.wokenWhileRunning { // a deadline set together with further work remains
			j.deadline = 0
		}
	}
	j.runnable, j.wokenWhileRunning = j.runnable && j.wokenWhileRunning, false
	return overrun
}

// Reports returns the reports of all jobs in the order in which they were added.
func (s *Scheduler) Reports() []Report {
	reports := make([]Report, len(s.jobs))
	for i := range s.jobs {
		reports[i] = s.jobs[i].report
	}
	return reports
}
