package membership

import (
	"fmt"
	"net/netip"
	"time"
)

// Settings are what a node goes by. Zero values become the defaults of Default.
type Settings struct {
	Self  Member           // Life and Incarnation are drawn
	Seeds []netip.AddrPort // the same at all nodes; the first of them found the fleet
	// Of an earlier life of this node: nothing, or what it kept.
	Incarnation    uint64           // of that life
	LastViewNumber uint64           // of the last view that it was in
	KnownAddrs     []netip.AddrPort // some members of it

	WatchersPerMember  int           // of each member
	ProbeInterval      time.Duration // between two rounds of probes of one watched member
	ProbeRetryInterval time.Duration // between the attempts of a round; there are three
	AccuseAfter        time.Duration // without contact, after which a watcher accuses
	GossipInterval     time.Duration // between two rounds of gossip, and two ticks
	Fanout             int           // receivers of a round
	MaxNewsBytes       int           // bytes of news in a datagram
	NewsBytesPerSecond int           // bytes of news a second, in the long run

	// Next makes a view of a view and a proposal. It may hand out one view to many nodes; nil:
	// View.Next.
	NextView func(*View, *Proposal) (*View, error)
}

// Default fills in what is not set.
func (s Settings) Default() Settings {
	or := func(x *int, d int) {
		if *x <= 0 {
			*x = d
		}
	}
	dur := func(x *time.Duration, d time.Duration) {
		if *x <= 0 {
			*x = d
		}
	}
	or(&s.WatchersPerMember, 10)
	or(&s.Fanout, 3)
	or(&s.MaxNewsBytes, 1100)
	or(&s.NewsBytesPerSecond, 32<<10)
	dur(&s.ProbeInterval, time.Second)
	dur(&s.ProbeRetryInterval, 300*time.Millisecond)
	dur(&s.AccuseAfter, 3600*time.Millisecond)
	dur(&s.GossipInterval, 100*time.Millisecond)
	if len(s.Seeds) == 0 {
		s.Seeds = []netip.AddrPort{s.Self.Addr}
	}
	if s.NextView == nil {
		k := s.WatchersPerMember
		s.NextView = func(v *View, p *Proposal) (*View, error) { return v.Next(p, k) }
	}
	return s
}

// Check finds settings that can't work.
func (s *Settings) Check() error {
	self := s.Self
	self.Life = 1
	if err := self.Check(); err != nil {
		return err
	}
	if s.WatchersPerMember > 16 {
		return fmt.Errorf("watchers: at most 16, not %d", s.WatchersPerMember)
	}
	if s.AccuseAfter < 2*s.ProbeInterval {
		return fmt.Errorf("silence: at least two periods of %v, not %v", s.ProbeInterval, s.AccuseAfter)
	}
	return nil
}

// Bounds that hold whatever is set.
const (
	maxMembers             = 20_000
	maxFounders            = 16   // seeds, the first of the list, a majority of which founds the fleet
	maxSeedsPerJoin        = 8    // seeds that one attempt to get in asks; the next asks others
	maxAddsPerChange       = 1024 // in one change
	maxPendingJoiners      = 8192 // that want in
	maxInlineProposalBytes = 700  // bytes of a proposal that goes along with votes
	maxGossipItems         = 8192 // items
	probeAttempts          = 3    // of a round of probes
)

// Times that follow from no setting.
const (
	stallThreshold         = 700 * time.Millisecond  // between ticks: the node stood still
	refutationInterval     = time.Second             // an accused member speaks up so often
	refutationLifetime     = 3 * time.Second         // its word holds so long
	refutationGrace        = 700 * time.Millisecond  // an accused member may speak up before it is taken out
	refutationDeadline     = 1500 * time.Millisecond // its word has come by then, also by way of one node
	proposeQuietPeriod     = 300 * time.Millisecond  // no news for so long: propose
	maxProposeDelay        = 1500 * time.Millisecond
	halfAccusedRemoveAfter = 6 * time.Second // seen alive, accused by half for so long
	proposerStagger        = 700 * time.Millisecond
	ballotTimeout          = 2500 * time.Millisecond
	forceAfter             = time.Second // a proposer waits so long for promises that free it of what was accepted before
	joinInterval           = 500 * time.Millisecond
	maxJoinInterval        = 5 * time.Second
	joinTrialPeriod        = 8 * time.Second
	foundMinUptime         = 1500 * time.Millisecond
	foundStablePeriod      = time.Second
	seedReportLifetime     = 1800 * time.Millisecond
	seedProbeInterval      = 2 * time.Second // members look for seeds that are in no view
	pullInterval           = 500 * time.Millisecond
	readmitBackoff         = 5 * time.Second // a name taken out again and again waits, doubled each time
	maxReadmitBackoff      = 5 * time.Minute
	readmitBackoffReset    = 10 * time.Minute
	nameConflictBackoff    = 10 * time.Second
)
