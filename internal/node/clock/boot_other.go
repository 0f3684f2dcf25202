//go:build !linux

package clock

import "golang.org/x/sys/unix"
import "time"

// Boot returns the monotonic time of the machine. It may stop while the machine is suspended.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic("clock: no monotonic clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
