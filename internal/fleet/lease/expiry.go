package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Terms are what holders and leader count by. All nodes of a fleet must have the same.
type Timing struct {
	ClockDrift    float64       // by which the speeds of two clocks may differ, as a part; 0: 1/64
	WaiterTimeout time.Duration // a waiter that has not asked again for so long is dropped; 0: 3 s
}

// Default fills in what is not set.
func (t Timing) Default() Timing {
	if t.ClockDrift <= 0 {
		t.ClockDrift = 1.0 / 64
	}
	if t.WaiterTimeout <= 0 {
		t.WaiterTimeout = 3 * time.Second
	}
	return t
}

// held is how long a holder counts a lease, by its own clock, from before it asked.
func (t Timing) holderTTL(ttl time.Duration) time.Duration {
	return ttl - time.Duration(t.ClockDrift*float64(ttl))
}

// given is how long the leader counts it, by its own clock, from after it has applied it.
func (t Timing) leaderTTL(ttl time.Duration) time.Duration {
	return ttl + time.Duration(t.ClockDrift*float64(ttl)) + time.Millisecond
}

// Keeper is the leader's part: which leases and waiters are over by its clock. One is made when a node becomes leader,
// and dropped when it is none any more.
type ExpiryTracker struct {
	timing Timing
	leases map[string]observation // by lease
	waiters map[waiterKey]observation
}

type waiterKey struct {
	lease  string
	holder Holder
}

// counted is since when this leader has known of a renewal, or of an asking.
type observation struct {
	serial uint64
	firstSeen     time.Duration
	proposedAt   time.Duration // when its end was last proposed; 0: not yet
}

// again is how long an End or Drop that was proposed has to come back.
const proposalRetryInterval = time.Second

// NewKeeper returns the keeper of a leader that begins now. What stands in the log by then counts from now: it was asked
// for before, whoever led.
func NewExpiryTracker(t Timing) *ExpiryTracker {
	return &ExpiryTracker{timing: t.Default(), leases: map[string]observation{}, waiters: map[waiterKey]observation{}}
}

// Due looks at the machine as it is applied here, and returns what is to be proposed: ends of leases that were not renewed,
// and of waits that were not asked for again.
func (k *ExpiryTracker) Expired(now time.Duration, m *StateMachine) []Command {
	var due []Command
	seen := make(map[string]bool, len(m.leases))
	waiting := map[waiterKey]bool{}
	for name, l := range m.leases {
		seen[name] = true
		if l.Holder.Life != 0 && checkExpired(k.leases, name, l.Serial, now, k.timing.leaderTTL(l.TTL)) {
			due = append(due, Command{Op: Expire, Lease: name, Holder: l.Holder, Serial: l.Serial})
		}
		for i := range l.Waiters {
			w := &l.Waiters[i]
			key := waiterKey{name, w.Holder}
			waiting[key] = true
			if checkExpired(k.waiters, key, w.Serial, now, k.timing.WaiterTimeout) {
				due = append(due, Command{Op: ExpireWaiter, Lease: name, Holder: w.Holder, Serial: w.Serial})
			}
		}
	}
	for name := range k.leases {
		if !seen[name] {
			delete(k.leases, name)
		}
	}
	for key := range k.waiters {
		if !waiting[key] {
			delete(k.waiters, key)
		}
	}
	slices.SortFunc(due, func(a, b Command) int {
		return cmp.Or(strings.Compare(a.Lease, b.Lease), cmp.Compare(a.Op, b.Op), cmp.Compare(a.Serial, b.Serial))
	})
	return due
}

// over counts one thing, and tells whether its end is to be proposed.
func checkExpired[K comparable](all map[K]observation, key K, serial uint64, now, lasts time.Duration) bool {
	c, known := all[key]
	if !known || c.serial != serial {
		all[key] = observation{serial: serial, firstSeen: now}
		return false
	}
	if now-c.firstSeen <= lasts || c.proposedAt > 0 && now-c.proposedAt < proposalRetryInterval {
		return false
	}
	c.proposedAt = now
	all[key] = c
	return true
}
