package allowance

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Server is one life of a server.
type Server struct {
	ID      string
	Started time.Duration // start time in the list of servers
}

// Claim lends parts to an allocator and asks for sends.
type Claim struct {
	Lender uint64 // random per start of the process, never 0; unlike a member's life it survives removal from a view
	Seq    uint64 // grows with each claim
	Stamp  uint64 // last stamp of the allocator in its current life; 0 if unknown, then the claim lends nothing
	Items  []ClaimItem
}

// ClaimItem is the part of a claim for one server.
type ClaimItem struct {
	Server
	Rate     float64 // the part that is lent, in sends per second
	Used     int     // granted sends on this loan that were used
	Unused   int     // granted sends on this loan that will not be used
	Wanted   int     // sends wanted now
	Answered int     // requests from this node that the server has answered since its start
}

// Grant answers a claim.
type Grant struct {
	Seq   uint64 // of the claim
	Stamp uint64 // to be returned in the next claim
	Items []Allotment
}

// Allotment is the part of a grant for one server.
type Allotment struct {
	Server
	Sends      int
	TotalSends int // sends granted on the loan so far; those that did not arrive were lost
}

// Limits on messages.
const (
	MaxClaimItems  = 24 // servers per claim, so that it fits a datagram
	maxIDBytes     = 128
	maxRate        = 1e6
	maxWantedSends = 64
)

// Check returns an error for a claim that no correct node sends.
func (c *Claim) Check() error {
	if c.Lender == 0 || c.Seq == 0 {
		return errors.New("claim: lender or sequence number is 0")
	}
	if len(c.Items) > MaxClaimItems {
		return fmt.Errorf("claim: %d servers, the maximum is %d", len(c.Items), MaxClaimItems)
	}
	for i := range c.Items {
		item := &c.Items[i]
		switch {
		case item.ID == "" || len(item.ID) > maxIDBytes:
			return fmt.Errorf("claim: server id has %d bytes, must have 1 to %d", len(item.ID), maxIDBytes)
		case math.IsNaN(item.Rate) || item.Rate < 0 || item.Rate > maxRate:
			return fmt.Errorf("claim: rate of %v sends per second, must be 0 to %v", item.Rate, float64(maxRate))
		case min(item.Used, item.Unused, item.Wanted, item.Answered) < 0:
			return fmt.Errorf("claim: negative number: used %d, unused %d, wanted %d, answered %d", item.Used, item.Unused, item.Wanted, item.Answered)
		}
	}
	return nil
}

// Settings configures lenders and allocators. They must be the same at all nodes of a fleet.
type Settings struct {
	Window        time.Duration // period over which sends to a cold server are limited
	SendLifetime  time.Duration // a granted send expires this long after the claim was sent
	RenewalSlack  time.Duration // remaining time of a loan when it is renewed in time
	ClaimInterval time.Duration // between two claims to one allocator
	SilentAfter   time.Duration // an allocator without an answer for this time is avoided
	AvoidFor      time.Duration // how long it is avoided
	ClockDrift    float64       // maximum relative difference between the speeds of two clocks
}

// Default returns the settings with defaults in place of unset values.
func (s Settings) Default() Settings {
	for _, x := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&s.Window, time.Second}, {&s.SendLifetime, time.Second}, {&s.RenewalSlack, time.Second},
		{&s.ClaimInterval, 250 * time.Millisecond}, {&s.SilentAfter, time.Second}, {&s.AvoidFor, 10 * time.Second},
	} {
		if *x.value <= 0 {
			*x.value = x.fallback
		}
	}
	if s.ClockDrift <= 0 {
		s.ClockDrift = 1.0 / 64
	}
	return s
}

// loanTerm returns the length of a loan at the allocator, from the stamp of the claim.
func (s *Settings) loanTerm() time.Duration { return s.Window + s.SendLifetime + s.RenewalSlack }

// lenderTerm returns the length of a loan at the lender, from the sending of the claim. It exceeds
// loanTerm whatever the clocks' drift.
func (s *Settings) lenderTerm() time.Duration {
	return s.loanTerm() + time.Duration(2*s.ClockDrift*float64(s.loanTerm())) + time.Millisecond
}
