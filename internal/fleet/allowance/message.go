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
	Started time.Duration // as the list of servers tells it
}

// Claim lends parts to a dealer, and asks for sends.
type Claim struct {
	Lender uint64 // drawn at the start of its process, never 0: it outlives lives as a member
	Seq    uint64 // grows with each claim
	Stamp  uint64 // the dealer's last, of its present life; 0: none is known, and nothing is lent
	Items  []ClaimItem
}

// Item is one server of a claim.
type ClaimItem struct {
	Server
	Rate     float64 // sends a second: the part that is lent
	Used     int     // of all that this dealer has dealt, sent
	Unused   int     // ... and given up unused
	Wanted   int     // sends wanted now
	Answered int     // requests that the server has answered this node since it started
}

// Grant answers a claim.
type Grant struct {
	Seq   uint64 // of the claim
	Stamp uint64 // to come back with the next claim
	Items []Allotment
}

// Dealt is what a grant deals for one server.
type Allotment struct {
	Server
	Sends      int
	TotalSends int // that this dealer has dealt to this life on the loan: what is missing of it was lost on the way
}

// Bounds of messages.
const (
	MaxClaimItems  = 24 // servers of one claim: a datagram holds them
	maxIDBytes     = 128
	maxRate        = 1e6
	maxWantedSends = 64
)

// Check finds what no honest node claims.
func (c *Claim) Check() error {
	if c.Lender == 0 || c.Seq == 0 {
		return errors.New("a claim of nobody, or without a number")
	}
	if len(c.Items) > MaxClaimItems {
		return fmt.Errorf("a claim for %d servers, at most %d", len(c.Items), MaxClaimItems)
	}
	for i := range c.Items {
		it := &c.Items[i]
		switch {
		case it.ID == "" || len(it.ID) > maxIDBytes:
			return fmt.Errorf("a claim for a server whose id has %d bytes, 1 to %d are allowed", len(it.ID), maxIDBytes)
		case math.IsNaN(it.Rate) || it.Rate < 0 || it.Rate > maxRate:
			return fmt.Errorf("a claim lends %v sends a second, 0 to %v are allowed", it.Rate, float64(maxRate))
		case min(it.Used, it.Unused, it.Wanted, it.Answered) < 0:
			return fmt.Errorf("a claim with a number below 0: used %d, back %d, wanted %d, answered %d", it.Used, it.Unused, it.Wanted, it.Answered)
		}
	}
	return nil
}

// Settings are what holders and dealers go by. All nodes of a fleet must have the same.
type Settings struct {
	Window        time.Duration // of the rule on cold servers
	SendLifetime  time.Duration // a dealt send may be used so long, from before it was asked for
	RenewalSlack  time.Duration // what is left of a loan when it is renewed in time
	ClaimInterval time.Duration // between two claims to one dealer
	SilentAfter   time.Duration // without an answer, after which a dealer is passed over ...
	AvoidFor      time.Duration // ... for so long
	ClockDrift    float64       // by which two clocks may differ, as a part
}

// Default fills in what is not set.
func (s Settings) Default() Settings {
	for _, x := range []struct {
		at *time.Duration
		d  time.Duration
	}{
		{&s.Window, time.Second}, {&s.SendLifetime, time.Second}, {&s.RenewalSlack, time.Second},
		{&s.ClaimInterval, 250 * time.Millisecond}, {&s.SilentAfter, time.Second}, {&s.AvoidFor, 10 * time.Second},
	} {
		if *x.at <= 0 {
			*x.at = x.d
		}
	}
	if s.ClockDrift <= 0 {
		s.ClockDrift = 1.0 / 64
	}
	return s
}

// term is how long a dealer counts a loan from the stamp that it came with.
func (s *Settings) loanTerm() time.Duration { return s.Window + s.SendLifetime + s.RenewalSlack }

// held is how long a node counts it, from when it sent the claim: longer than term by any clock.
func (s *Settings) lenderTerm() time.Duration {
	return s.loanTerm() + time.Duration(2*s.ClockDrift*float64(s.loanTerm())) + time.Millisecond
}
