// Package clock provides the time of a node and of its machine.
package clock

import "time"

// Clock counts from the Unix epoch, so that its times can be compared with the start times in
// server lists, and uses the monotonic clock, so that it never goes back.
type Clock struct{ base time.Time }

// New creates a clock that starts at the system's current time.
func New() Clock { return Clock{time.Now()} }

// StartedAt returns the time when the clock was created.
func (c Clock) StartedAt() time.Duration { return time.Duration(c.base.UnixNano()) }

// Now returns the current time.
func (c Clock) Now() time.Duration {
	return time.Duration(c.base.UnixNano()) + time.Since(c.base)
}

// WallTime converts a time of this clock to a time.Time, for deadlines of package net.
func (c Clock) WallTime(at time.Duration) time.Time {
	return c.base.Add(at - time.Duration(c.base.UnixNano()))
}
