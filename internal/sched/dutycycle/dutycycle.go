// Package dutycycle limits the share of time that repeated work may take, so that other work of the process gets its
// turn however much there is to do. It does no I/O and reads no clock.
package dutycycle

import "time"

// Limiter spaces rounds of work: after each round, the next one has to wait for a multiple of the time that the round
// took, up to a longest pause.
type Limiter struct {
	pauseFactor int
	maxPause    time.Duration
	nextAt      time.Duration
}

// New returns a limiter whose pauses are pauseFactor times as long as the rounds before them, so that the work takes at
// most one part in pauseFactor+1 of the time. A round may seem long because the process did not run; its pause is
// maxPause at most.
func New(pauseFactor int, maxPause time.Duration) *Limiter {
	return &Limiter{pauseFactor: max(0, pauseFactor), maxPause: maxPause}
}

// MayStart reports whether the next round may start.
func (l *Limiter) MayStart(now time.Duration) bool { return now >= l.nextAt }

// NextAt returns the earliest start of the next round.
func (l *Limiter) NextAt() time.Duration { return l.nextAt }

// RoundEnded records a round.
func (l *Limiter) RoundEnded(started, ended time.Duration) {
	took := max(0, ended-started)
	l.nextAt = ended + min(time.Duration(l.pauseFactor)*took, l.maxPause)
}
