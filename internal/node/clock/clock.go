// Package clock is the node's time.
package clock

import "time"

// Clock counts from Unix time zero, so that it compares with the start times in
// lists, and runs on the monotonic clock, so that it never goes back.
type Clock struct{ base time.Time }

// New makes a clock that goes by the system's from now on.
func New() Clock { return Clock{time.Now()} }

// Began is when the clock was made.
func (c Clock) StartedAt() time.Duration { return time.Duration(c.base.UnixNano()) }

// Now is the time.
func (c Clock) Now() time.Duration {
	return time.Duration(c.base.UnixNano()) + time.Since(c.base)
}

// Wall turns a time of this clock into one for the deadlines of package net.
func (c Clock) WallTime(at time.Duration) time.Time {
	return c.base.Add(at - time.Duration(c.base.UnixNano()))
}
