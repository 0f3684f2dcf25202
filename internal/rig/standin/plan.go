package standin

import (
	"fmt"
	"math/rand/v2"
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/rig/standin/judge"
)

// Class is a class of requests as callers and boxes know it.
type Class struct {
	Name          string
	Share         float64       // of the arrivals
	Work          time.Duration // mean, on a core of speed 1, for the first tier and those below together
	Spread        float64       // coefficient of variation of the work, log-normal; 0: none
	LatencyTarget time.Duration // an answer within it earns the worth
	Deadline      time.Duration // callers wait no longer, over all of their tries
	Worth         float64
	Idempotency   judge.Idempotency
	Group         judge.Group
	KeyTTL        time.Duration // Keyed: how long boxes drop repeats
}

// Plan describes a fleet and its traffic.
type Plan struct {
	Seed    uint64
	Classes []Class
	Sites   []string
	Servers int // of the first tier, spread over the sites
	Cores   int
	// Speeds of the boxes, dealt out in turn; 1 is the yardstick.
	Speeds   []float64
	RackSize int
	Slots    int // requests in work, those that wait for the tier below included
	Queue    int
	MaxConns int // connections that a box accepts
	// A box that starts has this part of its capacity, and all of it after ColdFor.
	ColdCapacity      float64
	WarmupTime        time.Duration
	CollapseMultiple  float64 // sent so many times what it can do ...
	CollapseWindow    time.Duration
	Tiers             int       // 1 or more; boxes of one tier call the next through nodes of their own
	TierWork          []float64 // the share of a class's work by tier; even if empty
	CallsPerRequest   float64   // mean calls to the next tier for each request
	PublishDelay      time.Duration
	CrashPublishDelay time.Duration     // from a box's crash until it is listed as gone; 0: Notice
	PublishEvery      time.Duration     // changes become visible together at multiples of this; 0: each by itself
	Registry          registry.Settings // what calls of all nodes cost discovery, and what it can bear
	// OutageAnswers: while discovery is down, a call is answered 503 after the registry's time-out; else it is cut off.
	AnswerInOutage bool
	// Pushed: lists come from an agent beside each node, which has a change at once and answers at no cost; while the
	// discovery is out of order it is silent.
	PushedLists bool
	DrainGrace  time.Duration
}

// Default is a small fleet in the likeness of the service: three classes, two
// sites, boxes of three speeds. Work is a fortieth of the real one, so that a
// laptop plays hundreds of requests a second.
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
		CollapseWindow: time.Second, Tiers: 1, CallsPerRequest: 2, PublishDelay: 400 * time.Millisecond, Registry: registry.Settings{LinesPerSecond: 2000, LinesPerCall: 1},
		DrainGrace: 500 * time.Millisecond,
	}
}

// part is the share of a class's work that a tier does.
func (p *Plan) tierShare(tier int) float64 {
	if tier < len(p.TierWork) {
		return p.TierWork[tier]
	}
	return 1 / float64(max(1, p.Tiers))
}

// MeanWork is the mean work of a request.
func (p *Plan) MeanWork() time.Duration {
	work, share := 0.0, 0.0
	for _, c := range p.Classes {
		work += c.Share * c.Work.Seconds()
		share += c.Share
	}
	return time.Duration(work / share * float64(time.Second))
}

// Capacity is how many requests a second the slowest tier can do, all boxes warm.
func (p *Plan) Capacity() float64 {
	work := p.MeanWork().Seconds()
	cores := 0.0
	for i := range p.Servers {
		cores += float64(p.Cores) * p.Speeds[i%len(p.Speeds)]
	}
	least, times := 0.0, 1.0
	for tier := range max(1, p.Tiers) {
		c := cores / (work * p.tierShare(tier) * times)
		if least == 0 || c < least {
			least = c
		}
		times *= max(1, p.CallsPerRequest)
	}
	return least
}

// Rules are the judge's figures for this plan.
func (p *Plan) Rules() judge.Rules {
	r := judge.Rules{MaxAttempts: 4, DrainGrace: p.DrainGrace, Tolerance: 50 * time.Millisecond}
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, judge.Class{Name: c.Name, Idempotency: c.Idempotency, Group: c.Group, KeyTTL: c.KeyTTL})
	}
	return r
}

// class finds a class by its name.
func (p *Plan) classIndex(name string) (int, bool) {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// draw returns random numbers of their own for one part of the fleet, so that
// what one part draws does not change what another does.
func (p *Plan) newRand(part string, number int) *rand.Rand {
	h := uint64(14695981039346656037)
	for _, b := range []byte(fmt.Sprintf("%s/%d", part, number)) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return rand.New(rand.NewPCG(p.Seed, h))
}

// Clock counts from the fleet's start.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Unix is a time of this clock in milliseconds, as discovery lists it.
func (c Clock) UnixMilli(at time.Duration) int64 { return c.start.Add(at).UnixMilli() }
