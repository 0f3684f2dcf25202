package lease

import "time"

// Signal is what a command that runs under a lease is to get.
type Signal uint8

// The signals.
const (
	None Signal = iota
	Term        // it is to end, and has Grace for that
	Kill
)

// Warden says when a command that runs under a lease is to end. It goes by the clock that the lease's end is told in, and
// must be asked often: what is not asked for Margin can't keep its word.
type Watchdog struct {
	grace  time.Duration
	margin time.Duration
	leaseEnd  time.Duration
	killAt   time.Duration // 0: none is planned
	termSent bool
	killSent bool
	lost   bool
}

// NewWarden watches a command under a lease of a time to live that ends at until. Grace is the time that the command has to
// end by itself; 0: a quarter of the lease.
func NewWatchdog(ttl, grace, until time.Duration) *Watchdog {
	if grace <= 0 {
		grace = ttl / 4
	}
	return &Watchdog{grace: min(grace, ttl/2), margin: max(ttl/50, 20*time.Millisecond), leaseEnd: until}
}

// Until tells that the lease goes on until then. A word that came late changes nothing.
func (w *Watchdog) Extend(until time.Duration) { w.leaseEnd = max(w.leaseEnd, until) }

// Stop has the command end: its lease is to pass on, or its operator wants that.
func (w *Watchdog) Stop(now time.Duration) {
	if w.killAt == 0 {
		w.killAt = now + w.grace
	}
}

// Due is the signal that the command is to get now, each once. The end of the lease goes before its grace.
func (w *Watchdog) NextSignal(now time.Duration) Signal {
	last := w.leaseEnd - w.margin
	if now >= last-w.grace && w.killAt == 0 {
		w.lost, w.killAt = true, last
	}
	switch {
	case w.killAt == 0:
		return None
	case !w.killSent && (now >= w.killAt || now >= last):
		w.lost = w.lost || now >= last
		w.termSent, w.killSent = true, true
		return Kill
	case !w.termSent:
		w.termSent = true
		return Term
	}
	return None
}

// Lost tells whether the command had to end because nobody renewed its lease.
func (w *Watchdog) Lost() bool { return w.lost }
