package virtual

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"curlewring/internal/rig/registry"
	"curlewring/internal/servers/endpoints"
)

const (
	emptyCallLines = 40
	usualTimeout   = 2 * time.Second
	// drainGrace is by how much later than it counts as told a change may come.
	drainGrace = 500 * time.Millisecond
)

// outage is a time in which the registry is down.
type outage struct {
	from, until time.Duration
	kind        outageKind
}

// restart is a share of the front nodes that are killed one after the other, and start anew.
type restart struct {
	at, over time.Duration
	share    float64
}

// fleetDay is a fleet, its registry, and what happens to both. Times are after the warm-up.
type fleetDay struct {
	tiers      []int         // nodes in each; the first is the front, and its list alone changes
	callOfEach time.Duration // in which the registry works through an empty call of each node
	timeout    time.Duration // of a call in the queue; 0: the usual one
	overbook   float64
	others     float64 // share of the capacity that callers outside the fleet ask for
	askWithin  time.Duration
	servers    int  // lines of the whole list
	wholeLists bool // answers with news hold it, and not the changes

	warmUp  time.Duration // 0: all begin in the first second
	length  time.Duration // after the warm-up
	outages []outage
	changes []change
	killed  []restart
	moves   []time.Duration // of the registry, told to all nodes
	silent  []time.Duration // when open polls fall silent, once
	crowds  []crowd         // of callers outside the fleet
	anyWall bool            // the wall clock, by which nodes take turns, is drawn
}

// crowd is work of callers outside the fleet that comes at once.
type crowd struct{ at, work time.Duration }

const (
	wallVaries   = time.Minute
	restartTakes = 500 * time.Millisecond
	moveSpread   = 200 * time.Millisecond // SIGHUP does not reach all at once
	usualBook    = 2
	usualWithin  = 10 * time.Second
)

// fleetRun is a day as it is played.
type fleetRun struct {
	service
	day  fleetDay
	rng  *rand.Rand
	seed uint64
}

// allNodes is how many nodes there are.
func (d *fleetDay) allNodes() (all int) {
	for _, nodes := range d.tiers {
		all += nodes
	}
	return all
}

// capacity is what the registry works through, in lines a second.
func (d *fleetDay) capacity() float64 {
	return float64(d.allNodes()*emptyCallLines) / d.callOfEach.Seconds()
}

// playFleet plays a day. The same day and seed give the same result.
func playFleet(day fleetDay, seed uint64) *fleetResult { return runFleet(day, seed).result() }

// runFleet plays a day to its end.
func runFleet(day fleetDay, seed uint64) *fleetRun {
	r := &fleetRun{day: day, rng: rand.New(rand.NewPCG(seed, 0x666c656574)), seed: seed}
	r.callLines = emptyCallLines
	r.wall = wallAtStart
	if day.anyWall {
		r.wall += r.draw(wallVaries)
	}
	r.queue = registry.New(registry.Settings{
		LinesPerSecond: day.capacity(), LinesPerCall: emptyCallLines, QueueTimeout: cmp.Or(day.timeout, usualTimeout), BacklogFactor: day.overbook,
		ExternalLinesPerSecond: day.others * day.capacity(),
	})
	r.people()
	r.plan()
	end := day.warmUp + day.length
	r.events.Run(end, &r.now)
	r.settle()
	for _, n := range r.nodes {
		n.giveUpMissing()
	}
	return r
}

// people sets the nodes up, and has them begin within the warm-up.
func (r *fleetRun) people() {
	r.lists = make([]tierList, len(r.day.tiers))
	begin := max(r.day.warmUp/2, time.Second)
	for tier, nodes := range r.day.tiers {
		r.lists[tier] = tierList{servers: r.day.servers, whole: r.day.wholeLists}
		for i := range nodes {
			n := &fleetNode{
				service: &r.service, tier: tier, askWithin: r.day.askWithin,
				place: endpoints.FleetPosition{NodeIndex: i, NodeCount: nodes, Tier: tier, ListObligation: r.day.askWithin},
			}
			r.nodes = append(r.nodes, n)
			r.events.At(r.draw(begin), func() { r.startNode(n) })
		}
	}
}

// draw is a random part of a time.
func (r *fleetRun) draw(most time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(most))
}

func (r *fleetRun) startNode(n *fleetNode) { n.start(r.rng.Uint64(), r.rng.Float64()) }

// at plans something of the day.
func (r *fleetRun) at(when time.Duration, do func()) { r.events.At(r.day.warmUp+when, do) }

// plan plans what happens on the day.
func (r *fleetRun) plan() {
	for _, o := range r.day.outages {
		r.at(o.from, func() { r.goDown(o.kind) })
		if !slices.ContainsFunc(r.day.outages, func(next outage) bool { return next.from == o.until }) {
			r.at(o.until, r.comeBack)
		}
	}
	for _, c := range r.day.changes {
		r.at(c.at, func() { r.change(0, c.lines) })
	}
	for _, k := range r.day.killed {
		r.planRestart(k)
	}
	for _, when := range r.day.moves {
		for _, n := range r.nodes {
			r.at(when+r.draw(moveSpread), func() {
				if n.alive {
					n.moved()
				}
			})
		}
	}
	for _, c := range r.day.crowds {
		r.at(c.at, func() { r.queue.EnqueueLines(r.now, int(r.day.capacity()*c.work.Seconds())) })
	}
	for _, when := range r.day.silent {
		r.at(when, r.silence)
	}
}

// planRestart kills nodes of the front, and starts them anew.
func (r *fleetRun) planRestart(k restart) {
	front := r.day.tiers[0]
	killed := max(1, int(k.share*float64(front)))
	for i, which := range r.rng.Perm(front)[:killed] {
		n := r.nodes[which]
		when := k.at + k.over*time.Duration(i)/time.Duration(killed)
		r.at(when, n.stop)
		r.at(when+restartTakes+r.draw(restartTakes), func() { r.startNode(n) })
	}
}

// fleetResult is what came of a day.
type fleetResult struct {
	lateness  []time.Duration // of each telling to a front node, sorted
	ages      []time.Duration // of each change as it was told, sorted
	never     int             // tellings that did not come
	lateNodes float64         // share of front nodes that were told too late, beyond the grace
	perSecond []secondOfCalls // from the warm-up's end
	reached   time.Duration   // from the last return until each node has been heard once; below 0: not all were
	newest    time.Duration   // from the last return or change, whichever was later, until all have the newest list; below 0: not all have
	capacity  float64
}

// secondOfCalls is what came in one second, by the time of the call.
type secondOfCalls struct {
	calls, answered, timedOut, rejected, refused int
	lines                                        float64
}

// result sums a run up.
func (r *fleetRun) result() *fleetResult {
	front := r.day.tiers[0]
	x := &fleetResult{capacity: r.day.capacity() * (1 - r.day.others), perSecond: make([]secondOfCalls, int(r.day.length/time.Second)+1)}
	late := 0
	lastChange := time.Duration(0)
	for _, c := range r.lists[0].changes {
		lastChange = c.at
	}
	for _, n := range r.nodes[:front] {
		tooLate := false
		for _, t := range n.tellings {
			x.lateness = append(x.lateness, t.lateness)
			tooLate = tooLate || t.lateness > drainGrace
			if t.never {
				x.never++
			} else {
				x.ages = append(x.ages, t.age)
			}
		}
		if tooLate {
			late++
		}
		x.newest = max(x.newest, n.newestToldAt-max(r.back, lastChange))
	}
	x.lateNodes = float64(late) / float64(front)
	for _, n := range r.nodes {
		if n.known < len(r.lists[n.tier].changes) {
			x.newest = -1
		}
		if x.reached >= 0 {
			x.reached = max(x.reached, n.heardFirst-r.back)
		}
		if n.heardFirst < r.back {
			x.reached = -1
		}
	}
	slices.Sort(x.lateness)
	slices.Sort(x.ages)
	r.count(x)
	return x
}

// count sums calls up by seconds.
func (r *fleetRun) count(x *fleetResult) {
	for _, c := range r.calls {
		if c.at < r.day.warmUp {
			continue
		}
		second := &x.perSecond[int((c.at-r.day.warmUp)/time.Second)]
		second.calls++
		second.lines += c.lines
		switch {
		case c.refused:
			second.refused++
		case c.outcome == registry.Answered:
			second.answered++
		case c.outcome == registry.TimedOut:
			second.timedOut++
		default:
			second.rejected++
		}
	}
}

// between sums seconds up.
func (x *fleetResult) between(from, until time.Duration) (sum secondOfCalls) {
	for _, s := range x.perSecond[min(len(x.perSecond), int(from/time.Second)):min(len(x.perSecond), int(until/time.Second))] {
		sum.calls += s.calls
		sum.answered += s.answered
		sum.timedOut += s.timedOut
		sum.rejected += s.rejected
		sum.refused += s.refused
		sum.lines += s.lines
	}
	return sum
}

// answeredShare is the share of calls that were answered; all of none.
func (s secondOfCalls) answeredShare() float64 {
	if s.calls == 0 {
		return 1
	}
	return float64(s.answered) / float64(s.calls)
}

// quietAfter is how long after a time the registry is offered more than its capacity for the last time.
func (x *fleetResult) quietAfter(disturbed time.Duration) time.Duration {
	last := disturbed
	const window = int(usualTimeout / time.Second) // a burst that the queue holds for that long is no overload
	for second := window - 1; second < len(x.perSecond); second++ {
		lines := 0.0
		for _, s := range x.perSecond[second-window+1 : second+1] {
			lines += s.lines
		}
		if lines >= x.capacity*float64(window) {
			last = max(last, time.Duration(second+1)*time.Second)
		}
	}
	return last - disturbed
}

// part is a quantile of sorted times.
func part(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Round(time.Millisecond)
}

// worst is the last of sorted times.
func worst(sorted []time.Duration) time.Duration { return part(sorted, 1) }

// orNever names a time below 0 as never.
func orNever(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// String is one row of a table.
func (x *fleetResult) String() string {
	seconds := float64(len(x.perSecond) - 1)
	all := x.between(0, time.Duration(len(x.perSecond))*time.Second)
	return fmt.Sprintf("lateness p50 %v p99 %v worst %v, never %d, late nodes %.2f | %.1f calls/s, answered %.3f | all heard after %v, newest after %v",
		part(x.lateness, 0.5), part(x.lateness, 0.99), worst(x.lateness), x.never, x.lateNodes,
		float64(all.calls)/seconds, all.answeredShare(), orNever(x.reached), orNever(x.newest))
}
