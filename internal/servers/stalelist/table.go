package stalelist

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"curlewring/decide"
)

// Settings configure a Table. The zero value of a field other than NodeName and NodeCount selects its default.
type Settings struct {
	NodeName          string        // each node tries the servers in an order of its own
	NodeCount         int           // nodes of the tier
	MinOffered        int           // minimum number of servers that a node uses; default 8
	DecayTime         time.Duration // age at which 1/e of the servers are left; default 182 h: 3/5 gone in a week
	FreshLimit        float64       // a list is fresh if the probability by age is at most this; default 0.05
	DefaultAge        time.Duration // assumed if the age of the list is unknown; default 7 days
	InitialRetryDelay time.Duration // before a failed server is tried again, doubled each time; default 1 s
	MaxRetryDelay     time.Duration // upper bound of that delay; default 60 s
}

func (s Settings) withDefaults() Settings {
	s.MinOffered, s.DecayTime = cmp.Or(s.MinOffered, 8), cmp.Or(s.DecayTime, 182*time.Hour)
	s.FreshLimit, s.DefaultAge = cmp.Or(s.FreshLimit, 0.05), cmp.Or(s.DefaultAge, 7*24*time.Hour)
	s.InitialRetryDelay, s.MaxRetryDelay = cmp.Or(s.InitialRetryDelay, time.Second), cmp.Or(s.MaxRetryDelay, time.Minute)
	s.NodeCount = max(1, s.NodeCount)
	return s
}

// Log-odds that results add to the estimate that a server is gone, and thresholds.
const (
	minPrior              = 0.01 // lower bound of the probability by age
	maxPrior              = 0.95 // upper bound of the probability by age
	connectFailureLogOdds = 4.0  // no connection
	timeoutLogOdds        = 1.5  // no answer, or an incomplete one
	errorLogOdds          = 1.0  // an error, which servers that are there can return as well
	foreignAnswerLogOdds  = 3.0  // an answer of another protocol
	servedLogOdds         = -8.0 // a correct answer
	fleetWeight           = 0.5  // weight of the results of other servers
	rackWeight            = 0.8  // additional weight of servers in the same rack
	maxTallyLogOdds       = 2.5  // limit of what the results of others add, in both directions
	withdrawThreshold     = 0.9  // probability from which a server is withdrawn
	maxFreshFailures      = 4    // a list is no longer fresh if this many servers fail, and more than answer
	candidateWindow       = 16   // the next candidates in order, of which the least likely to be gone is tried first
)

// Server is a server of the stale list.
type Server struct {
	ID   string
	Rack string // servers of one rack may have gone together
}

// Change is a change of the state of a server.
type Change struct {
	ID              string
	State           State
	GoneProbability float64
}

// State is the state of a server in a Table.
type State int

// The states.
const (
	Waiting   State = iota // not offered yet
	Trying                 // offered as untried and cold
	Proven                 // offered, and it has answered
	Withdrawn              // failed, and may be tried again later
)

// candidate is a server of the list with what is known of it.
type candidate struct {
	Server
	order         uint64 // hash that gives the order of this node
	state         State
	logOdds       float64       // from its own results
	withdrawals   int           // number of times it was withdrawn
	retryAt       time.Duration // if Withdrawn: not tried before this time
	countedFailed bool          // counted as failed in the tallies
	countedProven bool          // counted as proven in the tallies
}

// tally counts servers that failed and that answered, each server once.
type tally struct{ failed, proven float64 }

// logOdds returns the log-odds that another server is gone, with a weight.
func (t *tally) logOdds(weight float64) float64 {
	return min(max(weight*math.Log((t.failed+1)/(t.proven+1)), -maxTallyLogOdds), maxTallyLogOdds)
}

// Table holds the estimates for the servers of a list.
type Table struct {
	settings     Settings
	priorLogOdds float64 // by age
	servers      map[string]*candidate
	waiting      []*candidate // not offered yet, in the order of this node
	fleet        tally
	racks        map[string]*tally
	trying       int
	proven       int
	fresh        bool // all servers are offered
	changes      []Change
	nextRetry    time.Duration // when a withdrawn server may be tried again; 0: never
}

// GoneProbability returns the probability, from 0 to 1, that a server is gone if only the age of its list is known.
func (s Settings) GoneProbability(age time.Duration) float64 {
	s = s.withDefaults()
	return min(max(1-math.Exp(-max(0, age.Seconds())/s.DecayTime.Seconds()), minPrior), maxPrior)
}

// New returns a table for a list of a certain age, which counts only if known is set. OfferFirst offers the first
// servers.
func New(settings Settings, age time.Duration, known bool, servers []Server) *Table {
	settings = settings.withDefaults()
	if !known {
		age = settings.DefaultAge
	}
	p := settings.GoneProbability(age)
	t := &Table{
		settings: settings, priorLogOdds: math.Log(p / (1 - p)), fresh: p <= settings.FreshLimit,
		servers: make(map[string]*candidate, len(servers)), racks: map[string]*tally{},
	}
	for _, s := range servers {
		if t.servers[s.ID] != nil {
			continue
		}
		c := &candidate{Server: s, order: xxhash.Sum64String(settings.NodeName + "\x00" + s.ID)}
		t.servers[s.ID] = c
		t.waiting = append(t.waiting, c)
		if t.racks[s.Rack] == nil {
			t.racks[s.Rack] = &tally{}
		}
	}
	slices.SortFunc(t.waiting, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.ID, y.ID))
	})
	return t
}

// Fresh reports whether the list is offered whole, as discovery last reported it.
func (t *Table) Fresh() bool { return t.fresh }

// GoneProbability returns the probability, from 0 to 1, that a server is gone; 1 if it is not in the table.
func (t *Table) GoneProbability(id string) float64 {
	c := t.servers[id]
	if c == nil {
		return 1
	}
	return t.probability(c)
}

// probability returns the probability that a server of the table is gone.
func (t *Table) probability(c *candidate) float64 {
	logOdds := t.priorLogOdds + c.logOdds + t.fleet.logOdds(fleetWeight) + t.racks[c.Rack].logOdds(rackWeight)
	return 1 / (1 + math.Exp(-logOdds))
}

// State returns the state of a server. A server that is not in the table is Withdrawn.
func (t *Table) State(id string) State {
	if c := t.servers[id]; c != nil {
		return c.state
	}
	return Withdrawn
}

// Counts returns how many servers are Trying, how many are Proven, and how many are not offered.
func (t *Table) Counts() (trying, proven, rest int) {
	return t.trying, t.proven, len(t.servers) - t.trying - t.proven
}

// OfferFirst offers the first servers.
func (t *Table) OfferFirst(now time.Duration) []Change {
	t.changes = t.changes[:0]
	t.offerMore(now)
	return t.changes
}

// OfferDue offers withdrawn servers again whose retry delay is over.
func (t *Table) OfferDue(now time.Duration) []Change {
	t.changes = t.changes[:0]
	if t.nextRetry > 0 && now >= t.nextRetry {
		t.offerMore(now)
	}
	return t.changes
}

// NextRetry returns when OfferDue has work to do next, and false if never.
func (t *Table) NextRetry() (at time.Duration, ok bool) { return t.nextRetry, t.nextRetry > 0 }

// RecordResult records the result of an attempt at a server and returns the changes that follow.
func (t *Table) RecordResult(now time.Duration, id string, r decide.Result) []Change {
	t.changes = t.changes[:0]
	c := t.servers[id]
	if c == nil || c.state == Waiting || c.state == Withdrawn {
		return nil
	}
	logOdds := 0.0
	switch r {
	case decide.Served, decide.Rejected:
		t.markProven(now, c)
		return t.changes
	case decide.ConnectFailed:
		logOdds = connectFailureLogOdds
	case decide.TimedOut, decide.ConnectionLost:
		logOdds = timeoutLogOdds
	case decide.Errored:
		logOdds = errorLogOdds
	case decide.Malformed:
		logOdds = foreignAnswerLogOdds
	default:
		return nil
	}
	if c.state == Proven {
		return nil // the server is there; its failures are handled by package decide
	}
	c.logOdds += logOdds
	if t.probability(c) < withdrawThreshold && r != decide.ConnectFailed {
		return nil
	}
	if t.fresh {
		t.updateTallies(c, false)
		if t.fleet.failed >= maxFreshFailures && t.fleet.failed > t.fleet.proven {
			t.distrust(now)
		}
		return t.changes
	}
	t.withdraw(now, c)
	t.offerMore(now)
	return t.changes
}

// distrust ends the special treatment of a list that was taken for fresh, because most servers that were tried are
// gone. Servers that have not answered are taken back and become Waiting, and failed ones are withdrawn.
func (t *Table) distrust(now time.Duration) {
	t.fresh = false
	p := t.settings.GoneProbability(t.settings.DefaultAge)
	t.priorLogOdds = math.Log(p / (1 - p))
	t.waiting = t.waiting[:0]
	var unproven []*candidate
	for _, c := range t.servers {
		if c.state == Trying {
			unproven = append(unproven, c)
		}
	}
	slices.SortFunc(unproven, func(x, y *candidate) int { return cmp.Compare(x.order, y.order) })
	for _, c := range unproven {
		if c.countedFailed {
			t.withdraw(now, c)
			continue
		}
		t.trying--
		c.state = Waiting
		t.waiting = append(t.waiting, c)
		t.changes = append(t.changes, Change{c.ID, Withdrawn, t.probability(c)})
	}
	t.offerMore(now)
}

// markProven records that a server is there.
func (t *Table) markProven(now time.Duration, c *candidate) {
	c.logOdds = servedLogOdds
	if c.state == Proven {
		return
	}
	c.state = Proven
	t.trying--
	t.proven++
	t.updateTallies(c, true)
	t.changes = append(t.changes, Change{c.ID, Proven, t.probability(c)})
	t.offerMore(now)
}

// updateTallies counts a server as proven or failed. Only its latest result counts.
func (t *Table) updateTallies(c *candidate, proven bool) {
	if c.countedFailed {
		t.fleet.failed--
		t.racks[c.Rack].failed--
	}
	if c.countedProven {
		t.fleet.proven--
		t.racks[c.Rack].proven--
	}
	c.countedFailed, c.countedProven = !proven, proven
	if proven {
		t.fleet.proven++
		t.racks[c.Rack].proven++
	} else {
		t.fleet.failed++
		t.racks[c.Rack].failed++
	}
}

// withdraw takes a server back and schedules its retry.
func (t *Table) withdraw(now time.Duration, c *candidate) {
	t.trying--
	c.state = Withdrawn
	c.retryAt = now + min(t.settings.InitialRetryDelay<<min(c.withdrawals, 16), t.settings.MaxRetryDelay)
	c.withdrawals++
	t.updateTallies(c, false)
	t.changes = append(t.changes, Change{c.ID, Withdrawn, t.probability(c)})
}

// EstimatedAlive returns how many servers of the list are probably there.
func (t *Table) EstimatedAlive() int {
	goneProbability := 1 / (1 + math.Exp(-(t.priorLogOdds + t.fleet.logOdds(fleetWeight))))
	return int(math.Ceil(float64(t.proven) + (1-goneProbability)*float64(len(t.servers)-t.proven)))
}

// maxOffered returns how many servers may be offered: enough to include the share of this node in those that are
// there.
func (t *Table) maxOffered() int {
	if t.fresh {
		return len(t.servers)
	}
	share := int(math.Ceil(float64(t.settings.MinOffered*t.EstimatedAlive()) / float64(t.settings.NodeCount)))
	return min(len(t.servers), max(t.settings.MinOffered, share))
}

// offerMore offers further servers. The number of untried servers never exceeds the larger of MinOffered and the
// number of proven ones.
func (t *Table) offerMore(now time.Duration) {
	t.nextRetry = 0 // if no further server may be offered, the next change offers more
	for t.trying+t.proven < t.maxOffered() && (t.fresh || t.trying < max(t.settings.MinOffered, t.proven)) {
		c := t.nextCandidate(now)
		if c == nil {
			break
		}
		c.state = Trying
		t.trying++
		t.changes = append(t.changes, Change{c.ID, Trying, t.probability(c)})
	}
}

// nextCandidate returns the server to try next: the one most likely to be there among the next in order, and after
// those the withdrawn ones that are due.
func (t *Table) nextCandidate(now time.Duration) *candidate {
	if n := min(candidateWindow, len(t.waiting)); n > 0 {
		best := 0
		for i := 1; i < n; i++ {
			if t.probability(t.waiting[i]) < t.probability(t.waiting[best]) {
				best = i
			}
		}
		c := t.waiting[best]
		copy(t.waiting[1:best+1], t.waiting[:best])
		t.waiting = t.waiting[1:]
		return c
	}
	var due *candidate
	earliest := time.Duration(0)
	for _, c := range t.servers {
		switch {
		case c.state != Withdrawn:
		case c.retryAt > now:
			if earliest == 0 || c.retryAt < earliest {
				earliest = c.retryAt
			}
		case due == nil || c.retryAt < due.retryAt || c.retryAt == due.retryAt && c.order < due.order:
			due = c
		}
	}
	if due == nil {
		t.nextRetry = earliest
	}
	return due
}
