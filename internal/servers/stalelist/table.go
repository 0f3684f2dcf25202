package stalelist

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"curlewring/decide"
)

// Settings bound a table. The zero value of each field but Node and Nodes stands for its default.
type Settings struct {
	NodeName          string        // its name: each node tries in an order of its own
	NodeCount         int           // of the tier
	MinOffered        int           // servers that a node keeps to; 8
	DecayTime         time.Duration // age at which 1/e of a list are still there; 7.6 days: three fifths are gone after a week
	FreshLimit        float64       // doubt by age up to which a list is offered whole; 0.05
	DefaultAge        time.Duration // age that a list of unknown age is taken to have; 7 days
	InitialRetryDelay time.Duration // a server that failed is tried again after this, doubled each time; 1 s
	MaxRetryDelay     time.Duration // up to this; 60 s
}

func (s Settings) withDefaults() Settings {
	s.MinOffered, s.DecayTime = cmp.Or(s.MinOffered, 8), cmp.Or(s.DecayTime, 182*time.Hour)
	s.FreshLimit, s.DefaultAge = cmp.Or(s.FreshLimit, 0.05), cmp.Or(s.DefaultAge, 7*24*time.Hour)
	s.InitialRetryDelay, s.MaxRetryDelay = cmp.Or(s.InitialRetryDelay, time.Second), cmp.Or(s.MaxRetryDelay, time.Minute)
	s.NodeCount = max(1, s.NodeCount)
	return s
}

// Odds, as logarithms, by which what was seen moves a doubt.
const (
	minPrior              = 0.01
	maxPrior              = 0.95
	connectFailureLogOdds = 4.0  // no connection
	timeoutLogOdds        = 1.5  // an answer that did not come, or broke off
	errorLogOdds          = 1.0  // an error: also one that is there may err
	foreignAnswerLogOdds  = 3.0  // an answer that is none of this protocol
	servedLogOdds         = -8.0 // the right answer
	fleetWeight           = 0.5  // weight of what trying others brought
	rackWeight            = 0.8  // and others in the same rack
	maxTallyLogOdds       = 2.5  // that others can bring, either way
	withdrawThreshold     = 0.9  // doubt from which a server is taken back
	maxFreshFailures      = 4    // servers of a young list that fail, and more than answer: it is not young
	lookAhead             = 16   // servers among which the least doubtful is tried next
)

// Server is one of an old list.
type Server struct {
	ID   string
	Rack string // those that went may have gone together
}

// Offer is a change of what the module may know.
type Change struct {
	ID              string
	State           State
	GoneProbability float64
}

// Standing is what becomes of a server.
type State int

// The standings.
const (
	Waiting   State = iota // not offered yet
	Trying                 // offered, as untried and cold
	Proven                 // offered, and it has answered
	Withdrawn              // taken back
)

type candidate struct {
	Server
	order         uint64
	state         State
	logOdds       float64 // of its own
	withdrawals   int
	retryAt       time.Duration // Out: not tried before
	countedFailed bool          // counted in its rack and the fleet
	countedProven bool          // the same
}

// tally counts servers that failed and that answered, each once.
type tally struct{ failed, proven float64 }

func (t *tally) logOdds(part float64) float64 {
	return min(max(part*math.Log((t.failed+1)/(t.proven+1)), -maxTallyLogOdds), maxTallyLogOdds)
}

// Table is what is doubted.
type Table struct {
	settings     Settings
	priorLogOdds float64 // odds by age
	servers      map[string]*candidate
	waiting      []*candidate // waiting, in this node's order
	fleet        tally
	racks        map[string]*tally
	trying       int
	proven       int
	fresh        bool // the list is young: all is offered
	changes      []Change
	nextRetry    time.Duration // when one that is out may be tried again; 0: never
}

// ByAge is the doubt of an entry that nothing is known of but its list's age, from 0 to 1.
func (s Settings) GoneProbability(age time.Duration) float64 {
	s = s.withDefaults()
	return min(max(1-math.Exp(-max(0, age.Seconds())/s.DecayTime.Seconds()), minPrior), maxPrior)
}

// New returns a table of a list that is so old; where that is not known, known is false. Begin offers the first.
func New(set Settings, age time.Duration, known bool, servers []Server) *Table {
	set = set.withDefaults()
	if !known {
		age = set.DefaultAge
	}
	p := set.GoneProbability(age)
	t := &Table{
		settings: set, priorLogOdds: math.Log(p / (1 - p)), fresh: p <= set.FreshLimit,
		servers: make(map[string]*candidate, len(servers)), racks: map[string]*tally{},
	}
	for _, s := range servers {
		if t.servers[s.ID] != nil {
			continue
		}
		x := &candidate{Server: s, order: xxhash.Sum64String(set.NodeName + "\x00" + s.ID)}
		t.servers[s.ID] = x
		t.waiting = append(t.waiting, x)
		if t.racks[s.Rack] == nil {
			t.racks[s.Rack] = &tally{}
		}
	}
	slices.SortFunc(t.waiting, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.ID, y.ID))
	})
	return t
}

// Young tells whether the list is offered whole, as discovery last told it.
func (t *Table) Fresh() bool { return t.fresh }

// Doubt is the odds that a server is not there, as a part from 0 to 1; 1 for one that the table has not.
func (t *Table) GoneProbability(id string) float64 {
	s := t.servers[id]
	if s == nil {
		return 1
	}
	return t.probability(s)
}

func (t *Table) probability(s *candidate) float64 {
	odds := t.priorLogOdds + s.logOdds + t.fleet.logOdds(fleetWeight) + t.racks[s.Rack].logOdds(rackWeight)
	return 1 / (1 + math.Exp(-odds))
}

// Standing is what has become of a server.
func (t *Table) State(id string) State {
	if s := t.servers[id]; s != nil {
		return s.state
	}
	return Withdrawn
}

// Counts are how many are tried, proven, and not offered now.
func (t *Table) Counts() (trying, proven, rest int) {
	return t.trying, t.proven, len(t.servers) - t.trying - t.proven
}

// Begin offers the first servers.
func (t *Table) OfferFirst(now time.Duration) []Change {
	t.changes = t.changes[:0]
	t.offerMore(now)
	return t.changes
}

// Due offers servers again that failed before, once it is time.
func (t *Table) OfferDue(now time.Duration) []Change {
	t.changes = t.changes[:0]
	if t.nextRetry > 0 && now >= t.nextRetry {
		t.offerMore(now)
	}
	return t.changes
}

// Next is when Due has something to do, and false if never.
func (t *Table) NextRetry() (at time.Duration, ok bool) { return t.nextRetry, t.nextRetry > 0 }

// Outcome takes how an attempt at a server ended.
func (t *Table) RecordResult(now time.Duration, id string, r decide.Result) []Change {
	t.changes = t.changes[:0]
	s := t.servers[id]
	if s == nil || s.state == Waiting || s.state == Withdrawn {
		return nil
	}
	odds := 0.0
	switch r {
	case decide.Served, decide.Rejected:
		t.markProven(now, s)
		return t.changes
	case decide.ConnectFailed:
		odds = connectFailureLogOdds
	case decide.TimedOut, decide.ConnectionLost:
		odds = timeoutLogOdds
	case decide.Errored:
		odds = errorLogOdds
	case decide.Malformed:
		odds = foreignAnswerLogOdds
	default:
		return nil
	}
	if s.state == Proven {
		return nil // it is there; what ails it is the module's to judge
	}
	s.logOdds += odds
	if t.probability(s) < withdrawThreshold && r != decide.ConnectFailed {
		return nil
	}
	if t.fresh {
		t.updateTallies(s, false)
		if t.fleet.failed >= maxFreshFailures && t.fleet.failed > t.fleet.proven {
			t.distrust(now)
		}
		return t.changes
	}
	t.withdraw(now, s)
	t.offerMore(now)
	return t.changes
}

// turn ends the trust in a list that was taken for young: most that were sent to are not there. What has not
// answered is untried from now on, and what failed is out.
func (t *Table) distrust(now time.Duration) {
	t.fresh = false
	p := t.settings.GoneProbability(t.settings.DefaultAge)
	t.priorLogOdds = math.Log(p / (1 - p))
	t.waiting = t.waiting[:0]
	var rest []*candidate
	for _, s := range t.servers {
		if s.state == Trying {
			rest = append(rest, s)
		}
	}
	slices.SortFunc(rest, func(x, y *candidate) int { return cmp.Compare(x.order, y.order) })
	for _, s := range rest {
		if s.countedFailed {
			t.withdraw(now, s)
			continue
		}
		t.trying--
		s.state = Waiting
		t.waiting = append(t.waiting, s)
		t.changes = append(t.changes, Change{s.ID, Withdrawn, t.probability(s)})
	}
	t.offerMore(now)
}

// prove notes that a server is there.
func (t *Table) markProven(now time.Duration, s *candidate) {
	s.logOdds = servedLogOdds
	if s.state == Proven {
		return
	}
	s.state = Proven
	t.trying--
	t.proven++
	t.updateTallies(s, true)
	t.changes = append(t.changes, Change{s.ID, Proven, t.probability(s)})
	t.offerMore(now)
}

// count books what came of a server, once each way, the last word for it.
func (t *Table) updateTallies(s *candidate, proven bool) {
	if s.countedFailed {
		t.fleet.failed--
		t.racks[s.Rack].failed--
	}
	if s.countedProven {
		t.fleet.proven--
		t.racks[s.Rack].proven--
	}
	s.countedFailed, s.countedProven = !proven, proven
	if proven {
		t.fleet.proven++
		t.racks[s.Rack].proven++
	} else {
		t.fleet.failed++
		t.racks[s.Rack].failed++
	}
}

// take takes a server back.
func (t *Table) withdraw(now time.Duration, s *candidate) {
	t.trying--
	s.state = Withdrawn
	s.retryAt = now + min(t.settings.InitialRetryDelay<<min(s.withdrawals, 16), t.settings.MaxRetryDelay)
	s.withdrawals++
	t.updateTallies(s, false)
	t.changes = append(t.changes, Change{s.ID, Withdrawn, t.probability(s)})
}

// There is how many servers of the list are likely to be there.
func (t *Table) EstimatedAlive() int {
	fleet := 1 / (1 + math.Exp(-(t.priorLogOdds + t.fleet.logOdds(fleetWeight))))
	return int(math.Ceil(float64(t.proven) + (1-fleet)*float64(len(t.servers)-t.proven)))
}

// want is how many servers may be offered: so many that the node's share of those that are there is among them.
func (t *Table) maxOffered() int {
	if t.fresh {
		return len(t.servers)
	}
	share := int(math.Ceil(float64(t.settings.MinOffered*t.EstimatedAlive()) / float64(t.settings.NodeCount)))
	return min(len(t.servers), max(t.settings.MinOffered, share))
}

// fill offers further servers: never more untried ones at once than a few, or than have proved to be there.
func (t *Table) offerMore(now time.Duration) {
	t.nextRetry = 0 // with all places taken, the next look comes with the next that falls free
	for t.trying+t.proven < t.maxOffered() && (t.fresh || t.trying < max(t.settings.MinOffered, t.proven)) {
		s := t.nextCandidate(now)
		if s == nil {
			break
		}
		s.state = Trying
		t.trying++
		t.changes = append(t.changes, Change{s.ID, Trying, t.probability(s)})
	}
}

// next is the one to be tried now: the least doubtful of those that come next in line, and then those that
// failed, once their time has come.
func (t *Table) nextCandidate(now time.Duration) *candidate {
	if n := min(lookAhead, len(t.waiting)); n > 0 {
		best := 0
		for i := 1; i < n; i++ {
			if t.probability(t.waiting[i]) < t.probability(t.waiting[best]) {
				best = i
			}
		}
		s := t.waiting[best]
		copy(t.waiting[1:best+1], t.waiting[:best])
		t.waiting = t.waiting[1:]
		return s
	}
	var due *candidate
	later := time.Duration(0)
	for _, s := range t.servers {
		switch {
		case s.state != Withdrawn:
		case s.retryAt > now:
			if later == 0 || s.retryAt < later {
				later = s.retryAt
			}
		case due == nil || s.retryAt < due.retryAt || s.retryAt == due.retryAt && s.order < due.order:
			due = s
		}
	}
	if due == nil {
		t.nextRetry = later
	}
	return due
}
