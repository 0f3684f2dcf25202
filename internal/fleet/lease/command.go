package lease

import (
	"fmt"
	"time"
)

// Holder identifies who holds or wants leases: one life of one node.
type Holder struct {
	Name        string
	Incarnation uint64
	Life        uint64 // random number drawn at the start, never 0
}

// Op is the operation of a command.
type Op uint8

// The operations.
const (
	Acquire Op = 1 + iota // take the lease, or join its queue
	Renew
	Release
	Transfer     // pass the lease to the waiter named in To
	LeaveQueue   // leave the queue
	Expire       // by the leader: end the lease, if Serial is still its last renewal
	ExpireWaiter // by the leader: remove a waiter, if Serial is still its last request
	ForceRelease // by an operator: take the lease from its holder under Token, though that holder may still act
)

// Command is one entry of the log.
type Command struct {
	Op     Op
	Lease  string
	Holder Holder // the requester; Expire, ExpireWaiter: whose lease or place ends
	Seq    uint64 // grows with each request of a holder
	Token  uint64 // Renew, Release, Transfer, ForceRelease: the token that is held
	TTL    time.Duration
	Serial uint64 // Expire, ExpireWaiter
	To     Holder // Transfer
}

// Limits of the replicated state and of commands.
const (
	MaxLeases    = 4096
	MaxWaiters   = 64 // per lease
	MaxSessions  = 8192
	maxNameBytes = 128
	MinTTL       = time.Second
	MaxTTL       = time.Hour
)

// Check returns an error for a command that is invalid in any state.
func (c *Command) Check() error {
	switch {
	case c.Op < Acquire || c.Op > ForceRelease:
		return fmt.Errorf("lease: unknown operation %d", c.Op)
	case c.Lease == "" || len(c.Lease) > maxNameBytes:
		return fmt.Errorf("lease: the name must have 1 to %d bytes, not %d", maxNameBytes, len(c.Lease))
	case c.Op != ForceRelease && (c.Holder.Life == 0 || c.Holder.Name == "" || len(c.Holder.Name) > maxNameBytes):
		return fmt.Errorf("lease %q: invalid holder: life %d, name of %d bytes", c.Lease, c.Holder.Life, len(c.Holder.Name))
	case c.Op == Acquire && (c.TTL < MinTTL || c.TTL > MaxTTL):
		return fmt.Errorf("lease %q: time to live of %v is outside %v to %v", c.Lease, c.TTL, MinTTL, MaxTTL)
	case c.Op == Transfer && (c.To.Life == 0 || c.To == c.Holder):
		return fmt.Errorf("lease %q: a transfer needs a receiver other than the holder", c.Lease)
	}
	return nil
}

// Outcome is the result of a command.
type Outcome uint8

// The outcomes.
const (
	Granted      Outcome = 1 + iota // granted or renewed: Token, TTL
	Waiting                         // queued: Place
	Freed                           // released, transferred, expired, or left the queue
	Refused                         // not held by this holder, or no longer
	LimitReached                    // too many leases, waiters or sessions
	Superseded                      // an expiry or forced release that no longer applies
)

// Answer is the reply to a command.
type Answer struct {
	Outcome Outcome
	Lease   string
	Token   uint64
	TTL     time.Duration
	Place   int    // in the queue, from 1
	Seq     uint64 // of the answered request; a grant counts from before the holder sent it
}

// Grant is a lease that passed to a waiter through another's command.
type Grant struct {
	Holder Holder
	Answer
}
