package registry

import "time"

// Settings are the capacity of a registry, and what a call costs it.
type Settings struct {
	LinesPerSecond float64       // capacity; 0: unlimited, and every call is answered at once
	LinesPerCall   float64       // cost of each call, on top of the lines of its answer
	QueueTimeout   time.Duration // a call that is not worked through by then fails; 0: none does
	BacklogFactor  float64       // with more than this many time-outs of work queued a call is rejected; 0: none is
	// OtherLinesPerSecond is the work offered by callers outside the fleet. It arrives evenly, takes its place in the
	// queue, and is rejected like any other call.
	ExternalLinesPerSecond float64
}

// Outcome is what becomes of a call.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota // worked through in time
	TimedOut                // failed while it was queued; its work is spent all the same
	Rejected                // failed at once; no work is spent
)

// String names the outcome.
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

// Admission is what becomes of a call, and when the caller learns it.
type Admission struct {
	Outcome Outcome
	DoneAt  time.Duration
}

// Queue is the work that a registry has still to do. Times given to its methods must not decrease.
type Queue struct {
	settings Settings
	now      time.Duration
	backlog  time.Duration // how long the queued work takes
}

// New returns an empty queue at time 0.
func New(settings Settings) *Queue { return &Queue{settings: settings} }

// Call queues a call for which so many lines are known now: none for a long poll that finds nothing new yet.
func (q *Queue) EnqueueCall(now time.Duration, entries int) Admission {
	q.advance(now)
	if q.settings.LinesPerSecond <= 0 {
		return Admission{Answered, now}
	}
	if limit, limited := q.backlogLimit(); limited && q.backlog > limit {
		return Admission{Rejected, now}
	}
	q.backlog += q.duration(q.settings.LinesPerCall + float64(entries))
	if timeout := q.settings.QueueTimeout; timeout > 0 && q.backlog > timeout {
		return Admission{TimedOut, now + timeout}
	}
	return Admission{Answered, now + q.backlog}
}

// Write queues so many lines of the answer to a long poll that is open already, and returns when they are written. It
// is never rejected.
func (q *Queue) EnqueueLines(now time.Duration, entries int) time.Duration {
	q.advance(now)
	q.backlog += q.duration(float64(entries))
	return now + q.backlog
}

// Backlog returns how long the work takes that is queued at a time.
func (q *Queue) Backlog(now time.Duration) time.Duration {
	q.advance(now)
	return q.backlog
}

// Restart drops all queued work, as a registry does that starts anew.
func (q *Queue) Clear(now time.Duration) {
	q.advance(now)
	q.backlog = 0
}

// work is how long so many lines take.
func (q *Queue) duration(lines float64) time.Duration {
	if q.settings.LinesPerSecond <= 0 {
		return 0
	}
	return time.Duration(lines / q.settings.LinesPerSecond * float64(time.Second))
}

// limit is the backlog above which calls are rejected, if there is one.
func (q *Queue) backlogLimit() (time.Duration, bool) {
	limited := q.settings.BacklogFactor > 0 && q.settings.QueueTimeout > 0
	return time.Duration(q.settings.BacklogFactor * float64(q.settings.QueueTimeout)), limited
}

// advance works the queue off up to a time, while work from outside the fleet arrives.
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
	if limited && q.backlog > limit { // work from outside is rejected until the backlog is down to the limit
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
