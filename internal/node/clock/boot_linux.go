package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started. It continues while the process is stopped
// and while the machine is suspended, is the same for all processes of the machine, and can't be
// set (clock_gettime(2): CLOCK_BOOTTIME).
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Without it nothing safe can be done.
		panic("clock: this kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
