package registry

import "time"

// Settings holds the capacity of a registry and the cost of calls.
type Settings struct {
	LinesPerSecond float64       // capacity; 0: unlimited, every call is answered at once
	LinesPerCall   float64       // cost of each call, in addition to the lines of its answer
	QueueTimeout   time.Duration // a call that is not answered within it fails; 0: no limit
	BacklogFactor  float64       // calls are rejected while the backlog exceeds this many QueueTimeouts; 0: never
	// ExternalLinesPerSecond is the load of clients outside the fleet. It arrives evenly, queues like the
	// calls of the fleet, and is rejected in the same way.
	ExternalLinesPerSecond float64
}

// Outcome is the result of a call.
type Outcome int

// Outcomes of a call.
const (
	Answered Outcome = iota // answered within the timeout
	TimedOut                // failed in the queue; its work uses capacity all the same
	Rejected                // failed at once and costs no work
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case TimedOut:
		return "timed out"
	default:
		return "rejected"
	}
}

// Admission is the result of a call and the time at which its client receives it.
type Admission struct {
	Outcome Outcome
	DoneAt  time.Duration
}

// Queue is the backlog of a registry. Times passed to its methods must not decrease.
type Queue struct {
	settings Settings
	now      time.Duration
	backlog  time.Duration // time that the queued work takes
}

// New returns an empty queue at time 0.
func New(settings Settings) *Queue { return &Queue{settings: settings} }

// EnqueueCall queues a call whose answer has this many lines now; none for a long poll that finds nothing new
// yet.
func (q *Queue) EnqueueCall(now time.Duration, lines int) Admission {
	q.advance(now)
	if q.settings.LinesPerSecond <= 0 {
		return Admission{Answered, now}
	}
	if limit, limited := q.backlogLimit(); limited && q.backlog > limit {
		return Admission{Rejected, now}
	}
	q.backlog += q.duration(q.settings.LinesPerCall + float64(lines))
	if timeout := q.settings.QueueTimeout; timeout > 0 && q.backlog > timeout {
		return Admission{TimedOut, now + timeout}
	}
	return Admission{Answered, now + q.backlog}
}

// EnqueueLines queues the lines of the answer to an open long poll, and returns when they are written. It is
// never rejected.
func (q *Queue) EnqueueLines(now time.Duration, lines int) time.Duration {
	q.advance(now)
	q.backlog += q.duration(float64(lines))
	return now + q.backlog
}

// Backlog returns how long the work queued at a time takes.
func (q *Queue) Backlog(now time.Duration) time.Duration {
	q.advance(now)
	return q.backlog
}

// Clear drops all queued work, as when a registry restarts.
func (q *Queue) Clear(now time.Duration) {
	q.advance(now)
	q.backlog = 0
}

// duration returns how long a number of lines takes.
func (q *Queue) duration(lines float64) time.Duration {
	if q.settings.LinesPerSecond <= 0 {
		return 0
	}
	return time.Duration(lines / q.settings.LinesPerSecond * float64(time.Second))
}

// backlogLimit returns the backlog above which calls are rejected, if there is a limit.
func (q *Queue) backlogLimit() (time.Duration, bool) {
	limited := q.settings.BacklogFactor > 0 && q.settings.QueueTimeout > 0
	return time.Duration(q.settings.BacklogFactor * float64(q.settings.QueueTimeout)), limited
}

// advance reduces the backlog by the work done until now and adds the external load of that time.
func (q *Queue) advance(now time.Duration) {
	elapsed := now - q.now
	if elapsed <= 0 {
		return
	}
	q.now = now
	if q.settings.LinesPerSecond <= 0 {
		return
	}
	limit, limited := q.backlogLimit()
	if limited && q.backlog > limit { // external load is rejected until the backlog is down to the limit
		drained := min(elapsed, q.backlog-limit)
		q.backlog -= drained
		elapsed -= drained
		if q.backlog > limit {
			return
		}
	}
	arriving := q.settings.ExternalLinesPerSecond / q.settings.LinesPerSecond
	q.backlog = max(0, q.backlog+time.Duration((arriving-1)*float64(elapsed)))
	if limited {
		q.backlog = min(q.backlog, limit)
	}
}
