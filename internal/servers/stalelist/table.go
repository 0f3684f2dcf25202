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
	leastPrior  = 0.01
	mostPrior   = 0.95
	refusedOdds = 4.0  // no connection
	silentOdds  = 1.5  // an answer that did not come, or broke off
	errorOdds   = 1.0  // an error: also one that is there may err
	foreignOdds = 3.0  // an answer that is none of this protocol
	servedOdds  = -8.0 // the right answer
	fleetPart   = 0.5  // weight of what trying others brought
	rackPart    = 0.8  // and others in the same rack
	mostOdds    = 2.5  // that others can bring, either way
	givenUp     = 0.9  // doubt from which a server is taken back
	tooMany     = 4    // servers of a young list that fail, and more than answer: it is not young
	lookAhead   = 16   // servers among which the least doubtful is tried next
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

type server struct {
	Server
	order  uint64
	is     State
	odds   float64 // of its own
	fails  int
	until  time.Duration // Out: not tried before
	failed bool          // counted in its rack and the fleet
	proved bool          // the same
}

// tally counts servers that failed and that answered, each once.
type tally struct{ failed, proven float64 }

func (t *tally) odds(part float64) float64 {
	return min(max(part*math.Log((t.failed+1)/(t.proven+1)), -mostOdds), mostOdds)
}

// Table is what is doubted.
type Table struct {
	set     Settings
	prior   float64 // odds by age
	servers map[string]*server
	line    []*server // waiting, in this node's order
	fleet   tally
	racks   map[string]*tally
	trying  int
	proven  int
	whole   bool // the list is young: all is offered
	out     []Change
	wake    time.Duration // when one that is out may be tried again; 0: never
}

// ByAge is the doubt of an entry that nothing is known of but its list's age, from 0 to 1.
func (s Settings) GoneProbability(age time.Duration) float64 {
	s = s.withDefaults()
	return min(max(1-math.Exp(-max(0, age.Seconds())/s.DecayTime.Seconds()), leastPrior), mostPrior)
}

// New returns a table of a list that is so old; where that is not known, known is false. Begin offers the first.
func New(set Settings, age time.Duration, known bool, servers []Server) *Table {
	set = set.withDefaults()
	if !known {
		age = set.DefaultAge
	}
	p := set.GoneProbability(age)
	t := &Table{
		set: set, prior: math.Log(p / (1 - p)), whole: p <= set.FreshLimit,
		servers: make(map[string]*server, len(servers)), racks: map[string]*tally{},
	}
	for _, s := range servers {
		if t.servers[s.ID] != nil {
			continue
		}
		x := &server{Server: s, order: xxhash.Sum64String(set.NodeName + "\x00" + s.ID)}
		t.servers[s.ID] = x
		t.line = append(t.line, x)
		if t.racks[s.Rack] == nil {
			t.racks[s.Rack] = &tally{}
		}
	}
	slices.SortFunc(t.line, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.order, y.order), cmp.Compare(x.ID, y.ID))
	})
	return t
}

// Young tells whether the list is offered whole, as discovery last told it.
func (t *Table) Fresh() bool { return t.whole }

// Doubt is the odds that a server is not there, as a part from 0 to 1; 1 for one that the table has not.
func (t *Table) GoneProbability(id string) float64 {
	s := t.servers[id]
	if s == nil {
		return 1
	}
	return t.doubt(s)
}

func (t *Table) doubt(s *server) float64 {
	odds := t.prior + s.odds + t.fleet.odds(fleetPart) + t.racks[s.Rack].odds(rackPart)
	return 1 / (1 + math.Exp(-odds))
}

// Standing is what has become of a server.
func (t *Table) State(id string) State {
	if s := t.servers[id]; s != nil {
		return s.is
	}
	return Withdrawn
}

// Counts are how many are tried, proven, and not offered now.
func (t *Table) Counts() (trying, proven, rest int) {
	return t.trying, t.proven, len(t.servers) - t.trying - t.proven
}

// Begin offers the first servers.
func (t *Table) OfferFirst(now time.Duration) []Change {
	t.out = t.out[:0]
	t.fill(now)
	return t.out
}

// Due offers servers again that failed before, once it is time.
func (t *Table) OfferDue(now time.Duration) []Change {
	t.out = t.out[:0]
	if t.wake > 0 && now >= t.wake {
		t.fill(now)
	}
	return t.out
}

// Next is when Due has something to do, and false if never.
func (t *Table) NextRetry() (at time.Duration, ok bool) { return t.wake, t.wake > 0 }

// Outcome takes how an attempt at a server ended.
func (t *Table) RecordResult(now time.Duration, id string, r decide.Result) []Change {
	t.out = t.out[:0]
	s := t.servers[id]
	if s == nil || s.is == Waiting || s.is == Withdrawn {
		return nil
	}
	odds := 0.0
	switch r {
	case decide.Served, decide.Rejected:
		t.prove(now, s)
		return t.out
	case decide.ConnectFailed:
		odds = refusedOdds
	case decide.TimedOut, decide.ConnectionLost:
		odds = silentOdds
	case decide.Errored:
		odds = errorOdds
	case decide.Malformed:
		odds = foreignOdds
	default:
		return nil
	}
	if s.is == Proven {
		return nil // it is there; what ails it is the module's to judge
	}
	s.odds += odds
	if t.doubt(s) < givenUp && r != decide.ConnectFailed {
		return nil
	}
	if t.whole {
		t.count(s, false)
		if t.fleet.failed >= tooMany && t.fleet.failed > t.fleet.proven {
			t.turn(now)
		}
		return t.out
	}
	t.take(now, s)
	t.fill(now)
	return t.out
}

// turn ends the trust in a list that was taken for young: most that were sent to are not there. What has not
// answered is untried from now on, and what failed is out.
func (t *Table) turn(now time.Duration) {
	t.whole = false
	p := t.set.GoneProbability(t.set.DefaultAge)
	t.prior = math.Log(p / (1 - p))
	t.line = t.line[:0]
	var rest []*server
	for _, s := range t.servers {
		if s.is == Trying {
			rest = append(rest, s)
		}
	}
	slices.SortFunc(rest, func(x, y *server) int { return cmp.Compare(x.order, y.order) })
	for _, s := range rest {
		if s.failed {
			t.take(now, s)
			continue
		}
		t.trying--
		s.is = Waiting
		t.line = append(t.line, s)
		t.out = append(t.out, Change{s.ID, Withdrawn, t.doubt(s)})
	}
	t.fill(now)
}

// prove notes that a server is there.
func (t *Table) prove(now time.Duration, s *server) {
	s.odds = servedOdds
	if s.is == Proven {
		return
	}
	s.is = Proven
	t.trying--
	t.proven++
	t.count(s, true)
	t.out = append(t.out, Change{s.ID, Proven, t.doubt(s)})
	t.fill(now)
}

// count books what came of a server, once each way, the last word for it.
func (t *Table) count(s *server, proven bool) {
	if s.failed {
		t.fleet.failed--
		t.racks[s.Rack].failed--
	}
	if s.proved {
		t.fleet.proven--
		t.racks[s.Rack].proven--
	}
	s.failed, s.proved = !proven, proven
	if proven {
		t.fleet.proven++
		t.racks[s.Rack].proven++
	} else {
		t.fleet.failed++
		t.racks[s.Rack].failed++
	}
}

// take takes a server back.
func (t *Table) take(now time.Duration, s *server) {
	t.trying--
	s.is = Withdrawn
	s.until = now + min(t.set.InitialRetryDelay<<min(s.fails, 16), t.set.MaxRetryDelay)
	s.fails++
	t.count(s, false)
	t.out = append(t.out, Change{s.ID, Withdrawn, t.doubt(s)})
}

// There is how many servers of the list are likely to be there.
func (t *Table) EstimatedAlive() int {
	fleet := 1 / (1 + math.Exp(-(t.prior + t.fleet.odds(fleetPart))))
	return int(math.Ceil(float64(t.proven) + (1-fleet)*float64(len(t.servers)-t.proven)))
}

// want is how many servers may be offered: so many that the node's share of those that are there is among them.
func (t *Table) want() int {
	if t.whole {
		return len(t.servers)
	}
	share := int(math.Ceil(float64(t.set.MinOffered*t.EstimatedAlive()) / float64(t.set.NodeCount)))
	return min(len(t.servers), max(t.set.MinOffered, share))
}

// fill offers further servers: never more untried ones at once than a few, or than have proved to be there.
func (t *Table) fill(now time.Duration) {
	t.wake = 0 // with all places taken, the next look comes with the next that falls free
	for t.trying+t.proven < t.want() && (t.whole || t.trying < max(t.set.MinOffered, t.proven)) {
		s := t.next(now)
		if s == nil {
			break
		}
		s.is = Trying
		t.trying++
		t.out = append(t.out, Change{s.ID, Trying, t.doubt(s)})
	}
}

// next is the one to be tried now: the least doubtful of those that come next in line, and then those that
// failed, once their time has come.
func (t *Table) next(now time.Duration) *server {
	if n := min(lookAhead, len(t.line)); n > 0 {
		best := 0
		for i := 1; i < n; i++ {
			if t.doubt(t.line[i]) < t.doubt(t.line[best]) {
				best = i
			}
		}
		s := t.line[best]
		copy(t.line[1:best+1], t.line[:best])
		t.line = t.line[1:]
		return s
	}
	var due *server
	later := time.Duration(0)
	for _, s := range t.servers {
		switch {
		case s.is != Withdrawn:
		case s.until > now:
			if later == 0 || s.until < later {
				later = s.until
			}
		case due == nil || s.until < due.until || s.until == due.until && s.order < due.order:
			due = s
		}
	}
	if due == nil {
		t.wake = later
	}
	return due
}
