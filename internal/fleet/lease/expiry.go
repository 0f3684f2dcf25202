package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Timing holds what holders and leader calculate lease times with. It must be the same on all nodes of a fleet.
type Timing struct {
	ClockDrift    float64       // maximal relative difference between the speeds of two clocks; 0: 1/64
	WaiterTimeout time.Duration // a waiter that has not repeated its request for this long is removed; 0: 3 s
}

// Default returns t with defaults in place of unset fields.
func (t Timing) Default() Timing {
	if t.ClockDrift <= 0 {
		t.ClockDrift = 1.0 / 64
	}
	if t.WaiterTimeout <= 0 {
		t.WaiterTimeout = 3 * time.Second
	}
	return t
}

// holderTTL returns how long a lease is valid by the holder's clock, counted from before it sent its request.
func (t Timing) holderTTL(ttl time.Duration) time.Duration {
	return ttl - time.Duration(t.ClockDrift*float64(ttl))
}

// leaderTTL returns how long a lease is valid by the leader's clock, counted from after it has applied the command.
func (t Timing) leaderTTL(ttl time.Duration) time.Duration {
	return ttl + time.Duration(t.ClockDrift*float64(ttl)) + time.Millisecond
}

// ExpiryTracker finds, by the leader's clock, the leases and waiters that have expired. A node makes one when it
// becomes leader and discards it when it stops leading.
type ExpiryTracker struct {
	timing  Timing
	leases  map[string]observation // by lease
	waiters map[waiterKey]observation
}

// waiterKey identifies one waiter of one lease.
type waiterKey struct {
	lease  string
	holder Holder
}

// observation is when this leader first saw a renewal of a lease or a request of a waiter.
type observation struct {
	serial     uint64
	firstSeen  time.Duration
	proposedAt time.Duration // when its expiry was last proposed; 0: not yet
}

// proposalRetryInterval is how long a proposed expiry may take to be applied before it is proposed again.
const proposalRetryInterval = time.Second

// NewExpiryTracker returns the tracker of a leader that begins now. Leases and waiters that are already in the log
// count from their first observation by this leader, which is later than their requests, whoever led then.
func NewExpiryTracker(t Timing) *ExpiryTracker {
	return &ExpiryTracker{timing: t.Default(), leases: map[string]observation{}, waiters: map[waiterKey]observation{}}
}

// Expired examines the state machine as applied on this node and returns the commands to propose: an Expire for each
// lease that was not renewed in time, an ExpireWaiter for each waiter that did not repeat its request.
func (t *ExpiryTracker) Expired(now time.Duration, m *StateMachine) []Command {
	var expired []Command
	present := make(map[string]bool, len(m.leases))
	waiting := map[waiterKey]bool{}
	for name, l := range m.leases {
		present[name] = true
		if l.Holder.Life != 0 && checkExpired(t.leases, name, l.Serial, now, t.timing.leaderTTL(l.TTL)) {
			expired = append(expired, Command{Op: Expire, Lease: name, Holder: l.Holder, Serial: l.Serial})
		}
		for i := range l.Waiters {
			w := &l.Waiters[i]
			key := waiterKey{name, w.Holder}
			waiting[key] = true
			if checkExpired(t.waiters, key, w.Serial, now, t.timing.WaiterTimeout) {
				expired = append(expired, Command{Op: ExpireWaiter, Lease: name, Holder: w.Holder, Serial: w.Serial})
			}
		}
	}
	for name := range t.leases {
		if !present[name] {
			delete(t.leases, name)
		}
	}
	for key := range t.waiters {
		if !waiting[key] {
			delete(t.waiters, key)
		}
	}
	slices.SortFunc(expired, func(a, b Command) int {
		return cmp.Or(strings.Compare(a.Lease, b.Lease), cmp.Compare(a.Op, b.Op), cmp.Compare(a.Serial, b.Serial))
	})
	return expired
}

// checkExpired records when a serial was first seen and reports whether its expiry is to be proposed now.
func checkExpired[K comparable](all map[K]observation, key K, serial uint64, now, lifetime time.Duration) bool {
	c, known := all[key]
	if !known || c.serial != serial {
		all[key] = observation{serial: serial, firstSeen: now}
		return false
	}
	if now-c.firstSeen <= lifetime || c.proposedAt > 0 && now-c.proposedAt < proposalRetryInterval {
		return false
	}
	c.proposedAt = now
	all[key] = c
	return true
}
