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
	Holder uint64 // drawn at the start of its process, never 0: it outlives lives as a member
	Seq    uint64 // grows with each claim
	Stamp  uint64 // the dealer's last, of its present life; 0: none is known, and nothing is lent
	Items  []Item
}

// Item is one server of a claim.
type Item struct {
	Server
	Rate     float64 // sends a second: the part that is lent
	Used     int     // of all that this dealer has dealt, sent
	Back     int     // ... and given up unused
	Want     int     // sends wanted now
	Answered int     // requests that the server has answered this node since it started
}

// Grant answers a claim.
type Grant struct {
	Seq   uint64 // of the claim
	Stamp uint64 // to come back with the next claim
	Items []Dealt
}

// Dealt is what a grant deals for one server.
type Dealt struct {
	Server
	Sends int
	Total int // that this dealer has dealt to this life on the loan: what is missing of it was lost on the way
}

// Bounds of messages.
const (
	MostItems = 24 // servers of one claim: a datagram holds them
	mostID    = 128
	mostRate  = 1e6
	mostWant  = 64
)

// Check finds what no honest node claims.
func (c *Claim) Check() error {
	if c.Holder == 0 || c.Seq == 0 {
		return errors.New("a claim of nobody, or without a number")
	}
	if len(c.Items) > MostItems {
		return fmt.Errorf("a claim for %d servers, at most %d", len(c.Items), MostItems)
	}
	for i := range c.Items {
		it := &c.Items[i]
		switch {
		case it.ID == "" || len(it.ID) > mostID:
			return fmt.Errorf("a claim for a server whose id has %d bytes, 1 to %d are allowed", len(it.ID), mostID)
		case math.IsNaN(it.Rate) || it.Rate < 0 || it.Rate > mostRate:
			return fmt.Errorf("a claim lends %v sends a second, 0 to %v are allowed", it.Rate, float64(mostRate))
		case min(it.Used, it.Back, it.Want, it.Answered) < 0:
			return fmt.Errorf("a claim with a number below 0: used %d, back %d, wanted %d, answered %d", it.Used, it.Back, it.Want, it.Answered)
		}
	}
	return nil
}

// Settings are what holders and dealers go by. All nodes of a fleet must have the same.
type Settings struct {
	Window time.Duration // of the rule on cold servers
	Good   time.Duration // a dealt send may be used so long, from before it was asked for
	Slack  time.Duration // what is left of a loan when it is renewed in time
	Every  time.Duration // between two claims to one dealer
	Silent time.Duration // without an answer, after which a dealer is passed over ...
	Avoid  time.Duration // ... for so long
	Drift  float64       // by which two clocks may differ, as a part
}

// Default fills in what is not set.
func (s Settings) Default() Settings {
	for _, x := range []struct {
		at *time.Duration
		d  time.Duration
	}{
		{&s.Window, time.Second}, {&s.Good, time.Second}, {&s.Slack, time.Second},
		{&s.Every, 250 * time.Millisecond}, {&s.Silent, time.Second}, {&s.Avoid, 10 * time.Second},
	} {
		if *x.at <= 0 {
			*x.at = x.d
		}
	}
	if s.Drift <= 0 {
		s.Drift = 1.0 / 64
	}
	return s
}

// term is how long a dealer counts a loan from the stamp that it came with.
func (s *Settings) term() time.Duration { return s.Window + s.Good + s.Slack }

// held is how long a node counts it, from when it sent the claim: longer than term by any clock.
func (s *Settings) held() time.Duration {
	return s.term() + time.Duration(2*s.Drift*float64(s.term())) + time.Millisecond
}
