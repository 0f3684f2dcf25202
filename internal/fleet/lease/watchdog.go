package lease

import "time"

// Signal is a signal to send to a command that runs under a lease.
type Signal uint8

// The signals.
const (
	None Signal = iota
	Term        // asks the command to end within its grace time
	Kill        // ends it at once
)

// Watchdog decides when a command that runs under a lease must end. It uses the clock of the lease's Until times.
// NextSignal must be called more often than once in the safety margin, or the command may outlive the lease.
type Watchdog struct {
	grace    time.Duration
	margin   time.Duration // the command is killed this long before the lease ends
	leaseEnd time.Duration
	killAt   time.Duration // 0: no end is planned
	termSent bool
	killSent bool
	lost     bool
}

// NewWatchdog returns the watchdog of a command under a lease with the given time to live that ends at until. Grace
// is how long the command has to end after Term; 0: a quarter of the time to live.
func NewWatchdog(ttl, grace, until time.Duration) *Watchdog {
	if grace <= 0 {
		grace = ttl / 4
	}
	return &Watchdog{grace: min(grace, ttl/2), margin: max(ttl/50, 20*time.Millisecond), leaseEnd: until}
}

// Extend records a renewal of the lease until the given time. An outdated, earlier time changes nothing.
func (w *Watchdog) Extend(until time.Duration) { w.leaseEnd = max(w.leaseEnd, until) }

// Stop makes the command end, as the lease is to pass on or an operator wants it.
func (w *Watchdog) Stop(now time.Duration) {
	if w.killAt == 0 {
		w.killAt = now + w.grace
	}
}

// NextSignal returns the signal to send now, each at most once. The grace never extends beyond the lease.
func (w *Watchdog) NextSignal(now time.Duration) Signal {
	deadline := w.leaseEnd - w.margin
	if now >= deadline-w.grace && w.killAt == 0 {
		w.lost, w.killAt = true, deadline
	}
	switch {
	case w.killAt == 0:
		return None
	case !w.killSent && (now >= w.killAt || now >= deadline):
		w.lost = w.lost || now >= deadline
		w.termSent, w.killSent = true, true
		return Kill
	case !w.termSent:
		w.termSent = true
		return Term
	}
	return None
}

// Lost reports whether the command had to end because its lease was not renewed.
func (w *Watchdog) Lost() bool { return w.lost }
