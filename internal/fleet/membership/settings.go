package membership

import (
	"fmt"
	"net/netip"
	"time"
)

// Settings configures a node. Default replaces zero values.
type Settings struct {
	Self  Member           // Life and Incarnation are assigned by New
	Seeds []netip.AddrPort // the same list at all nodes; the first ones found the fleet
	// State kept from an earlier run of this node; zero if there is none.
	Incarnation    uint64           // of the earlier run
	LastViewNumber uint64           // number of the last view that contained the node
	KnownAddrs     []netip.AddrPort // addresses of some members of that view

	WatchersPerMember  int           // watchers of each member
	ProbeInterval      time.Duration // between two probe rounds of one watched member
	ProbeRetryInterval time.Duration // between the attempts of one probe round
	AccuseAfter        time.Duration // a watcher accuses a member after this time without contact
	GossipInterval     time.Duration // between two gossip rounds, and between two ticks
	Fanout             int           // receivers per gossip round
	MaxNewsBytes       int           // gossip items per datagram, in bytes
	NewsBytesPerSecond int           // long-term limit on gossip items sent

	// NextView applies a proposal to a view. It may return one view to many nodes, as simulations
	// do. nil stands for View.Next.
	NextView func(*View, *Proposal) (*View, error)
}

// Default returns the settings with defaults in place of unset values.
func (s Settings) Default() Settings {
	defaultInt := func(value *int, fallback int) {
		if *value <= 0 {
			*value = fallback
		}
	}
	defaultDuration := func(value *time.Duration, fallback time.Duration) {
		if *value <= 0 {
			*value = fallback
		}
	}
	defaultInt(&s.WatchersPerMember, 10)
	defaultInt(&s.Fanout, 3)
	defaultInt(&s.MaxNewsBytes, 1100)
	defaultInt(&s.NewsBytesPerSecond, 32<<10)
	defaultDuration(&s.ProbeInterval, time.Second)
	defaultDuration(&s.ProbeRetryInterval, 300*time.Millisecond)
	defaultDuration(&s.AccuseAfter, 3600*time.Millisecond)
	defaultDuration(&s.GossipInterval, 100*time.Millisecond)
	if len(s.Seeds) == 0 {
		s.Seeds = []netip.AddrPort{s.Self.Addr}
	}
	if s.NextView == nil {
		watchers := s.WatchersPerMember
		s.NextView = func(v *View, p *Proposal) (*View, error) { return v.Next(p, watchers) }
	}
	return s
}

// Check returns an error for settings that can't work.
func (s *Settings) Check() error {
	self := s.Self
	self.Life = 1
	if err := self.Check(); err != nil {
		return err
	}
	if s.WatchersPerMember > maxWatchers {
		return fmt.Errorf("WatchersPerMember: %d is above the maximum of %d", s.WatchersPerMember, maxWatchers)
	}
	if s.AccuseAfter < 2*s.ProbeInterval {
		return fmt.Errorf("AccuseAfter: must be at least two probe intervals of %v, is %v", s.ProbeInterval, s.AccuseAfter)
	}
	return nil
}

// The most watchers that a member can have, and the most sponsors of a joiner: in a view whose members
// all watch each other, each of them is a sponsor. Bit sets of their slots must hold that many.
const (
	maxWatchers = 16
	maxSponsors = maxWatchers + 1
)

// Limits that are not configurable.
const (
	maxMembers             = 20_000
	maxFounders            = 16   // first seeds of the list, a majority of which founds the fleet
	maxSeedsPerJoin        = 8    // seeds contacted by one join attempt; the next attempt picks others
	maxAddsPerChange       = 1024 // joiners in one view change
	maxPendingJoiners      = 8192 // known joiners that are not admitted yet
	maxInlineProposalBytes = 700  // a larger proposal is not sent along with votes
	maxGossipItems         = 8192 // queued for gossip
	probeAttempts          = 3    // per probe round
)

// Times that are not configurable.
const (
	stallThreshold         = 700 * time.Millisecond  // a longer gap between ticks counts as a pause of this process
	refutationInterval     = time.Second             // between two refutations by an accused member
	refutationLifetime     = 3 * time.Second         // a refutation is valid for this time
	refutationGrace        = 700 * time.Millisecond  // time for an accused member to refute before it may be removed
	refutationDeadline     = 1500 * time.Millisecond // a refutation arrives within this time, also through one relay
	proposeQuietPeriod     = 300 * time.Millisecond  // without new alerts before a proposal is made
	maxProposeDelay        = 1500 * time.Millisecond // propose by then even if alerts keep arriving
	halfAccusedRemoveAfter = 6 * time.Second         // half of the watchers accuse a member that refutes
	proposerStagger        = 700 * time.Millisecond  // between the turns of two proposers
	ballotTimeout          = 2500 * time.Millisecond // an open ballot may be superseded after this time
	forceAfter             = time.Second             // wait for promises that rule out an earlier decision before adopting its value
	joinInterval           = 500 * time.Millisecond  // between join attempts, at first
	maxJoinInterval        = 5 * time.Second
	joinTrialPeriod        = 8 * time.Second         // a sponsor probes a joiner for this time after its last request
	foundMinUptime         = 1500 * time.Millisecond // uptime before a seed may found a fleet
	foundStablePeriod      = time.Second             // the conditions to found a fleet must have held this long
	seedReportLifetime     = 1800 * time.Millisecond
	seedProbeInterval      = 2 * time.Second        // between probes of seeds that are not in the view
	pullInterval           = 500 * time.Millisecond // between requests for a view or a proposal
	readmitBackoff         = 5 * time.Second        // wait after a repeated removal, doubled each time
	maxReadmitBackoff      = 5 * time.Minute
	readmitBackoffReset    = 10 * time.Minute // without a removal, after which the backoff starts over
	nameConflictBackoff    = 10 * time.Second // a node whose name is taken waits this long
)
