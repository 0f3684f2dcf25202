package endpoints

import (
	"math/rand/v2"
	"time"
)

const (
	// The list counts as stale after this many failures within failureWindow, of one server or of several servers.
	failureWindow          = 10 * time.Second
	minFailuresOfOneServer = 3
	minFailedServers       = 2
	maxTrackedServers      = 8 // servers whose failures are tracked
	// Minimum time between early fetches. It doubles after each fetch that brought nothing new.
	minRefetchInterval = 2 * time.Second
	maxRefetchInterval = time.Minute
	// Each early fetch is delayed by a random part of a time that grows with the number of nodes, because all of them
	// see the same failures.
	refetchSpreadPerNode = 5 * time.Millisecond
	maxRefetchSpread     = 2 * time.Second

	// A starting node that has a list delays its first call, so that nodes without one are answered first.
	startSpreadPerNode = 100 * time.Millisecond
	maxStartSpread     = 4 * time.Second
	// A starting node may have been away for 5 s. If discovery lists a loss 2 s after it happens, the node counts as
	// notified of it 6 s later, which is 3 s after the start. The first call must have been answered by then.
	maxStartDelay = 2500 * time.Millisecond
	// A call that times out in the queue of discovery has cost discovery its work all the same. The next call
	// therefore gets a longer timeout, up to what a fleet of this size may have to wait. In a small fleet the short
	// timeout detects a network that swallows calls sooner.
	timeoutFactor     = 2
	minTimeoutPerNode = 50 * time.Millisecond
	maxTimeoutPerNode = time.Second
)

// StalenessDetector detects from failures of servers that the list may be stale, and says when to fetch it early.
type StalenessDetector struct {
	nodeCount      int
	rng            *rand.Rand
	failures       []serverFailures // at most maxTrackedServers; a new server replaces the oldest
	interval       time.Duration    // minimum time to the next early fetch
	nextRefetchAt  time.Duration    // no early fetch before this time
	refetchPending bool             // an early fetch is running or scheduled
}

// serverFailures counts the recent failures of one server.
type serverFailures struct {
	id    string
	count int
	last  time.Duration
}

// NewStalenessDetector returns a detector without failures for one node of a fleet of the given size.
func NewStalenessDetector(nodeCount int, seed uint64) *StalenessDetector {
	return &StalenessDetector{nodeCount: max(1, nodeCount), rng: rand.New(rand.NewPCG(seed, 0x51475)), interval: minRefetchInterval}
}

// RecordFailure records a failed connection to a server or an attempt that it rejected. If ok, the list is to be
// fetched after the wait.
func (d *StalenessDetector) RecordFailure(now time.Duration, id string) (wait time.Duration, ok bool) {
	kept := d.failures[:0]
	count := -1
	for _, tracked := range d.failures {
		if now-tracked.last > failureWindow {
			continue
		}
		if tracked.id == id {
			tracked.count++
			tracked.last = now
			count = tracked.count
		}
		kept = append(kept, tracked)
	}
	if count < 0 {
		if len(kept) == maxTrackedServers {
			kept = append(kept[:0], kept[1:]...)
		}
		kept = append(kept, serverFailures{id, 1, now})
		count = 1
	}
	d.failures = kept
	if d.refetchPending || now < d.nextRefetchAt || count < minFailuresOfOneServer && len(kept) < minFailedServers {
		return 0, false
	}
	d.refetchPending = true
	return d.randomDelay(), true
}

// RecordSuccess records an answer of a server and forgets its failures.
func (d *StalenessDetector) RecordSuccess(id string) {
	for i := range d.failures {
		if d.failures[i].id == id {
			d.failures = append(d.failures[:i], d.failures[i+1:]...)
			return
		}
	}
}

// Empty reports whether no failures are recorded. It lets callers skip RecordSuccess in the usual case.
func (d *StalenessDetector) Empty() bool { return len(d.failures) == 0 }

// RequestRefetch schedules a second fetch of a suspicious list. If the interval since the last early fetch is not
// over, the wait includes the rest of it, since no further trigger may come.
func (d *StalenessDetector) RequestRefetch(now time.Duration) (wait time.Duration, ok bool) {
	if d.refetchPending {
		return 0, false
	}
	d.refetchPending = true
	return max(0, d.nextRefetchAt-now) + d.randomDelay(), true
}

// randomDelay returns the random delay of an early fetch.
func (d *StalenessDetector) randomDelay() time.Duration {
	maxDelay := min(time.Duration(d.nodeCount)*refetchSpreadPerNode, maxRefetchSpread)
	return time.Duration(d.rng.Float64() * float64(maxDelay))
}

// RecordFetch records the end of a call to discovery, early or not. changed: it brought an answer that differs from
// the list.
func (d *StalenessDetector) RecordFetch(now time.Duration, changed bool) {
	if changed {
		d.interval, d.failures = minRefetchInterval, d.failures[:0]
	} else if d.refetchPending {
		d.interval = min(2*d.interval, maxRefetchInterval)
	}
	if d.refetchPending {
		d.refetchPending, d.nextRefetchAt = false, now+d.interval
	}
}

// CallTiming determines when a starting node makes its first call to discovery, and how long a call may take. Each
// kind of call has a CallTiming of its own.
type CallTiming struct {
	nodeCount  int
	minTimeout time.Duration
	maxTimeout time.Duration
	timeout    time.Duration
}

// NewCallTiming returns the timing for a node of a fleet of the given size, with a lower bound for timeouts.
func NewCallTiming(nodeCount int, minTimeout time.Duration) *CallTiming {
	nodeCount = max(1, nodeCount)
	minTimeout = max(minTimeout, time.Duration(nodeCount)*minTimeoutPerNode)
	return &CallTiming{nodeCount: nodeCount, minTimeout: minTimeout,
		maxTimeout: max(timeoutFactor*minTimeout, time.Duration(nodeCount)*maxTimeoutPerNode), timeout: minTimeout}
}

// StartDelay returns how long a starting node waits before its first call. turnOffset is its turn as a fraction of
// the time over which the fleet spreads its calls. A node that has a list can serve meanwhile and lets those go first
// that have none.
func (t *CallTiming) StartDelay(hasList bool, turnOffset float64) time.Duration {
	if !hasList {
		return 0
	}
	return time.Duration(turnOffset * float64(min(t.StartSpread(), maxStartDelay)))
}

// StartSpread returns the time over which the first calls of a fleet are spread.
func (t *CallTiming) StartSpread() time.Duration {
	return min(time.Duration(t.nodeCount)*startSpreadPerNode, maxStartSpread)
}

// Timeout returns how long the next call may take: longer after each call that timed out, and a multiple of the
// duration of the last one that did not.
func (t *CallTiming) Timeout() time.Duration { return t.timeout }

// RecordCall records how long a call took, and whether it timed out.
func (t *CallTiming) RecordCall(took time.Duration, timedOut bool) {
	if timedOut {
		t.timeout = min(timeoutFactor*t.timeout, t.maxTimeout)
	} else {
		t.timeout = min(max(t.minTimeout, timeoutFactor*took), t.maxTimeout)
	}
}
