package standin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/standin/judge"
)

// Class describes a class of requests for clients and servers.
type Class struct {
	Name          string
	Share         float64       // fraction of the arrivals
	Work          time.Duration // mean on a core of speed 1, over all tiers together
	Spread        float64       // coefficient of variation of the work, log-normal; 0: none
	LatencyTarget time.Duration // an answer within it earns the worth
	Deadline      time.Duration // clients give up after this, over all of their tries
	Worth         float64
	Idempotency   judge.Idempotency
	Group         judge.Group
	KeyTTL        time.Duration // Keyed: how long servers drop repeats
}

// Plan describes a fleet and its traffic.
type Plan struct {
	Seed    uint64
	Classes []Class
	Sites   []string
	Servers int // in each tier, spread over the sites
	Cores   int
	// Speeds of the servers, assigned in turn, relative to a core of speed 1.
	Speeds   []float64
	RackSize int
	Slots    int // requests in work, including those waiting for the next tier
	Queue    int
	MaxConns int // connections that a server accepts
	// A server that starts has the fraction ColdCapacity of its capacity, and all of it after WarmupTime.
	ColdCapacity      float64
	WarmupTime        time.Duration
	CollapseMultiple  float64 // a cold server collapses when sent this multiple of its capacity within CollapseWindow
	CollapseWindow    time.Duration
	Tiers             int       // at least 1; servers of one tier call the next through nodes of their own
	TierWork          []float64 // fraction of a class's work in each tier; nil: equal
	CallsPerRequest   float64   // mean calls to the next tier for each request
	PublishDelay      time.Duration
	CrashPublishDelay time.Duration     // from a server's crash until it is listed as deleted; 0: PublishDelay
	PublishEvery      time.Duration     // changes are published together at multiples of this; 0: each on its own
	Registry          registry.Settings // capacity of discovery and the cost of calls
	// AnswerInOutage: while discovery is down, a call is answered 503 after the registry's timeout; otherwise
	// its connection is closed.
	AnswerInOutage bool
	// PushedLists: each node has an agent beside it that receives changes at once and answers at no cost.
	// While discovery is down the agent is silent.
	PushedLists bool
	DrainGrace  time.Duration
}

// DefaultPlan returns a small fleet that resembles the real service: three classes, two sites, servers of
// three speeds. The work is a fortieth of the real one, so that a laptop can run hundreds of requests a
// second.
func DefaultPlan() Plan {
	return Plan{
		Seed: 1,
		Classes: []Class{
			{"notruf-abfrage", 0.16, 6 * time.Millisecond, 0.5, 2 * time.Second, 5 * time.Second, 12, judge.Idempotent, 0, 0},
			{"zustand", 0.52, 3 * time.Millisecond, 0.5, time.Second, 2500 * time.Millisecond, 1, judge.Idempotent, 0, 0},
			{"stoerung", 0.32, 7 * time.Millisecond, 0.5, 2 * time.Second, 6 * time.Second, 1, judge.Keyed, judge.GroupRack,
				10 * time.Second},
		},
		Sites: []string{"zuerich", "genf"}, Servers: 8, Cores: 2, Speeds: []float64{1.6, 1, 0.6}, RackSize: 2,
		Slots: 24, Queue: 40, MaxConns: 400, ColdCapacity: 0.4, WarmupTime: 5 * time.Second, CollapseMultiple: 2.5,
		CollapseWindow: time.Second, Tiers: 1, CallsPerRequest: 2, PublishDelay: 400 * time.Millisecond,
		Registry:   registry.Settings{LinesPerSecond: 2000, LinesPerCall: 1},
		DrainGrace: 500 * time.Millisecond,
	}
}

// tierShare returns the fraction of a class's work that a tier does.
func (p *Plan) tierShare(tier int) float64 {
	if tier < len(p.TierWork) {
		return p.TierWork[tier]
	}
	return 1 / float64(max(1, p.Tiers))
}

// MeanWork returns the mean work of a request.
func (p *Plan) MeanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, c := range p.Classes {
		work += c.Share * c.Work.Seconds()
		share += c.Share
	}
	return time.Duration(work / share * float64(time.Second))
}

// Capacity returns how many requests a second the slowest tier can serve when all servers are warm.
func (p *Plan) Capacity() float64 {
	work := p.MeanWork().Seconds()
	cores := 0.0
	for i := range p.Servers {
		cores += float64(p.Cores) * p.Speeds[i%len(p.Speeds)]
	}
	lowest, calls := 0.0, 1.0
	for tier := range max(1, p.Tiers) {
		c := cores / (work * p.tierShare(tier) * calls)
		if lowest == 0 || c < lowest {
			lowest = c
		}
		calls *= max(1, p.CallsPerRequest)
	}
	return lowest
}

// Rules returns the judge's rules for this plan.
func (p *Plan) Rules() judge.Rules {
	r := judge.Rules{MaxAttempts: 4, DrainGrace: p.DrainGrace, Tolerance: 50 * time.Millisecond}
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, judge.Class{Name: c.Name, Idempotency: c.Idempotency, Group: c.Group, KeyTTL: c.KeyTTL})
	}
	return r
}

// classIndex finds a class by its name.
func (p *Plan) classIndex(name string) (int, bool) {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// newRand returns a separate random source for one part of the fleet, so that its draws do not affect those
// of other parts.
func (p *Plan) newRand(part string, number int) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(fmt.Sprintf("%s/%d", part, number)) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(p.Seed, h))
}

// Clock measures time since the fleet's start.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// UnixMilli converts a time of this clock to Unix milliseconds, the format of discovery's list.
func (c Clock) UnixMilli(at time.Duration) int64 { return c.start.Add(at).UnixMilli() }
