package node

import "time"

// clock counts from Unix time zero, so that it compares with the start times in
// lists, and runs on the monotonic clock, so that it never goes back.
type clock struct{ base time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration {
	return time.Duration(c.base.UnixNano()) + time.Since(c.base)
}

// wall turns a time of this clock into one for the deadlines of package net.
func (c clock) wall(at time.Duration) time.Time {
	return c.base.Add(at - time.Duration(c.base.UnixNano()))
}
