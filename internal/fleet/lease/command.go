package lease

import (
	"fmt"
	"time"
)

// Holder is one life of one node.
type Holder struct {
	Name        string
	Incarnation uint64
	Life        uint64 // drawn at its start, never 0
}

// Op says what a command does.
type Op uint8

// The operations.
const (
	Acquire Op = 1 + iota // take the lease, or a place in line
	Renew
	Release
	Transfer     // give the lease to the life named in To, which waits for it
	LeaveQueue   // leave the line
	Expire       // the leader: the lease is over, if Serial is still its last renewal
	ExpireWaiter // the leader: a waiter has not asked again, if Serial is still its last asking
	ForceRelease // an operator: take the lease from its holder under Token, whatever that risks
)

// Command is one entry of the log.
type Command struct {
	Op     Op
	Lease  string
	Holder Holder // who asks; End and Drop: of whom
	Seq    uint64 // grows with each request of a life
	Token  uint64 // Renew, Release, Hand, Force: which one is held
	TTL    time.Duration
	Serial uint64 // End, Drop
	To     Holder // Hand
}

// Bounds.
const (
	MaxLeases   = 4096
	MaxWaiters  = 64 // of one lease
	MaxSessions = 8192
	maxNameBytes    = 128
	MinTTL      = time.Second
	MaxTTL      = time.Hour
)

// Check finds what no command can be.
func (c *Command) Check() error {
	switch {
	case c.Op < Acquire || c.Op > ForceRelease:
		return fmt.Errorf("lease: no operation %d", c.Op)
	case c.Lease == "" || len(c.Lease) > maxNameBytes:
		return fmt.Errorf("lease: a name has 1 to %d bytes, this one %d", maxNameBytes, len(c.Lease))
	case c.Op != ForceRelease && (c.Holder.Life == 0 || c.Holder.Name == "" || len(c.Holder.Name) > maxNameBytes):
		return fmt.Errorf("lease %q: no holder has the life %d and a name of %d bytes", c.Lease, c.Holder.Life, len(c.Holder.Name))
	case c.Op == Acquire && (c.TTL < MinTTL || c.TTL > MaxTTL):
		return fmt.Errorf("lease %q: a time to live of %v, want %v to %v", c.Lease, c.TTL, MinTTL, MaxTTL)
	case c.Op == Transfer && (c.To.Life == 0 || c.To == c.Holder):
		return fmt.Errorf("lease %q: it can't be handed to nobody, or to its holder", c.Lease)
	}
	return nil
}

// Outcome says what came of a command.
type Outcome uint8

// The outcomes.
const (
	Granted      Outcome = 1 + iota // held, or held on: Token, TTL
	Waiting                         // in line: Place
	Freed                           // released, handed on, ended, or left
	Refused                         // not held by this life, or not any more
	LimitReached                    // too many leases, waiters or lives
	Superseded                      // an End or Drop that something came before
)

// Answer is what a command's asker is told.
type Answer struct {
	Outcome Outcome
	Lease   string
	Token   uint64
	TTL     time.Duration
	Place   int    // in line, from 1
	Seq     uint64 // of the holder's request that the grant rests on: it counts from before it sent that one
}

// Grant is a lease that went to one who waited, without a command of its own.
type Grant struct {
	Holder Holder
	Answer
}
