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
	emptyCallLines      = 40
	defaultQueueTimeout = 2 * time.Second
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
	tiers             []int         // nodes in each; the first is the front, and its list alone changes
	fleetCallTime     time.Duration // in which the registry works through an empty call of each node
	queueTimeout      time.Duration // of a call in the queue; 0: the usual one
	backlogFactor     float64
	externalShare     float64 // share of the capacity that callers outside the fleet ask for
	resubscribeWithin time.Duration
	listLines         int  // lines of the whole list
	fullListAnswers   bool // answers with news hold it, and not the changes

	warmUp          time.Duration // 0: all begin in the first second
	duration        time.Duration // after the warm-up
	outages         []outage
	changes         []change
	restarts        []restart
	registryMoves   []time.Duration // of the registry, told to all nodes
	pollSilences    []time.Duration // when open polls fall silent, once
	externalBursts  []externalBurst // of callers outside the fleet
	randomWallClock bool            // the wall clock, by which nodes take turns, is drawn
}

// crowd is work of callers outside the fleet that comes at once.
type externalBurst struct{ at, work time.Duration }

const (
	maxWallClockOffset       = time.Minute
	restartTime              = 500 * time.Millisecond
	moveSpread               = 200 * time.Millisecond // SIGHUP does not reach all at once
	defaultBacklogFactor     = 2
	defaultResubscribeWithin = 10 * time.Second
)

// fleetRun is a day as it is played.
type fleetRun struct {
	registryService
	day  fleetDay
	rng  *rand.Rand
	seed uint64
}

// allNodes is how many nodes there are.
func (d *fleetDay) nodeCount() (all int) {
	for _, nodes := range d.tiers {
		all += nodes
	}
	return all
}

// capacity is what the registry works through, in lines a second.
func (d *fleetDay) capacity() float64 {
	return float64(d.nodeCount()*emptyCallLines) / d.fleetCallTime.Seconds()
}

// playFleet plays a day. The same day and seed give the same result.
func playFleet(day fleetDay, seed uint64) *fleetResult { return runFleet(day, seed).result() }

// runFleet plays a day to its end.
func runFleet(day fleetDay, seed uint64) *fleetRun {
	r := &fleetRun{day: day, rng: rand.New(rand.NewPCG(seed, 0x666c656574)), seed: seed}
	r.callLines = emptyCallLines
	r.wallStart = minWallClock
	if day.randomWallClock {
		r.wallStart += r.randomUpTo(maxWallClockOffset)
	}
	r.queue = registry.New(registry.Settings{
		LinesPerSecond: day.capacity(), LinesPerCall: emptyCallLines, QueueTimeout: cmp.Or(day.queueTimeout, defaultQueueTimeout), BacklogFactor: day.backlogFactor,
		ExternalLinesPerSecond: day.externalShare * day.capacity(),
	})
	r.createNodes()
	r.scheduleDay()
	end := day.warmUp + day.duration
	r.events.Run(end, &r.now)
	r.markLate()
	for _, n := range r.nodes {
		n.abandonPending()
	}
	return r
}

// people sets the nodes up, and has them begin within the warm-up.
func (r *fleetRun) createNodes() {
	r.lists = make([]tierList, len(r.day.tiers))
	begin := max(r.day.warmUp/2, time.Second)
	for tier, nodes := range r.day.tiers {
		r.lists[tier] = tierList{totalLines: r.day.listLines, fullAnswers: r.day.fullListAnswers}
		for i := range nodes {
			n := &fleetNode{
				registry: &r.registryService, tier: tier, resubscribeWithin: r.day.resubscribeWithin,
				position: endpoints.FleetPosition{NodeIndex: i, NodeCount: nodes, Tier: tier, ListObligation: r.day.resubscribeWithin},
			}
			r.nodes = append(r.nodes, n)
			r.events.At(r.randomUpTo(begin), func() { r.startNode(n) })
		}
	}
}

// draw is a random part of a time.
func (r *fleetRun) randomUpTo(most time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(most))
}

func (r *fleetRun) startNode(n *fleetNode) { n.start(r.rng.Uint64(), r.rng.Float64()) }

// at plans something of the day.
func (r *fleetRun) scheduleAt(when time.Duration, do func()) { r.events.At(r.day.warmUp+when, do) }

// plan plans what happens on the day.
func (r *fleetRun) scheduleDay() {
	for _, o := range r.day.outages {
		r.scheduleAt(o.from, func() { r.startOutage(o.kind) })
		if !slices.ContainsFunc(r.day.outages, func(next outage) bool { return next.from == o.until }) {
			r.scheduleAt(o.until, r.endOutage)
		}
	}
	for _, c := range r.day.changes {
		r.scheduleAt(c.at, func() { r.publishChange(0, c.lines) })
	}
	for _, k := range r.day.restarts {
		r.scheduleRestart(k)
	}
	for _, when := range r.day.registryMoves {
		for _, n := range r.nodes {
			r.scheduleAt(when+r.randomUpTo(moveSpread), func() {
				if n.alive {
					n.handleMove()
				}
			})
		}
	}
	for _, c := range r.day.externalBursts {
		r.scheduleAt(c.at, func() { r.queue.EnqueueLines(r.now, int(r.day.capacity()*c.work.Seconds())) })
	}
	for _, when := range r.day.pollSilences {
		r.scheduleAt(when, r.silencePolls)
	}
}

// planRestart kills nodes of the front, and starts them anew.
func (r *fleetRun) scheduleRestart(k restart) {
	front := r.day.tiers[0]
	killed := max(1, int(k.share*float64(front)))
	for i, which := range r.rng.Perm(front)[:killed] {
		n := r.nodes[which]
		when := k.at + k.over*time.Duration(i)/time.Duration(killed)
		r.scheduleAt(when, n.stop)
		r.scheduleAt(when+restartTime+r.randomUpTo(restartTime), func() { r.startNode(n) })
	}
}

// fleetResult is what came of a day.
type fleetResult struct {
	lateness        []time.Duration // of each telling to a front node, sorted
	ages            []time.Duration // of each change as it was told, sorted
	undelivered     int             // tellings that did not come
	lateNodes       float64         // share of front nodes that were told too late, beyond the grace
	perSecond       []callCounts    // from the warm-up's end
	allReachedAfter time.Duration   // from the last return until each node has been heard once; below 0: not all were
	allCurrentAfter time.Duration   // from the last return or change, whichever was later, until all have the newest list; below 0: not all have
	capacity        float64
}

// secondOfCalls is what came in one second, by the time of the call.
type callCounts struct {
	calls, answered, timedOut, rejected, refused int
	lines                                        float64
}

// result sums a run up.
func (r *fleetRun) result() *fleetResult {
	front := r.day.tiers[0]
	x := &fleetResult{capacity: r.day.capacity() * (1 - r.day.externalShare), perSecond: make([]callCounts, int(r.day.duration/time.Second)+1)}
	late := 0
	lastChange := time.Duration(0)
	for _, c := range r.lists[0].changes {
		lastChange = c.at
	}
	for _, n := range r.nodes[:front] {
		tooLate := false
		for _, t := range n.deliveries {
			x.lateness = append(x.lateness, t.lateness)
			tooLate = tooLate || t.lateness > drainGrace
			if t.undelivered {
				x.undelivered++
			} else {
				x.ages = append(x.ages, t.age)
			}
		}
		if tooLate {
			late++
		}
		x.allCurrentAfter = max(x.allCurrentAfter, n.newestDeliveredAt-max(r.reachableSince, lastChange))
	}
	x.lateNodes = float64(late) / float64(front)
	for _, n := range r.nodes {
		if n.knownChanges < len(r.lists[n.tier].changes) {
			x.allCurrentAfter = -1
		}
		if x.allReachedAfter >= 0 {
			x.allReachedAfter = max(x.allReachedAfter, n.firstContactAt-r.reachableSince)
		}
		if n.firstContactAt < r.reachableSince {
			x.allReachedAfter = -1
		}
	}
	slices.Sort(x.lateness)
	slices.Sort(x.ages)
	r.countCalls(x)
	return x
}

// count sums calls up by seconds.
func (r *fleetRun) countCalls(x *fleetResult) {
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
func (x *fleetResult) sumBetween(from, until time.Duration) (sum callCounts) {
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
func (s callCounts) answeredShare() float64 {
	if s.calls == 0 {
		return 1
	}
	return float64(s.answered) / float64(s.calls)
}

// quietAfter is how long after a time the registry is offered more than its capacity for the last time.
func (x *fleetResult) overloadedFor(disturbed time.Duration) time.Duration {
	last := disturbed
	const window = int(defaultQueueTimeout / time.Second) // a burst that the queue holds for that long is no overload
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
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Round(time.Millisecond)
}

// worst is the last of sorted times.
func worst(sorted []time.Duration) time.Duration { return quantile(sorted, 1) }

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
	all := x.sumBetween(0, time.Duration(len(x.perSecond))*time.Second)
	return fmt.Sprintf("lateness p50 %v p99 %v worst %v, never %d, late nodes %.2f | %.1f calls/s, answered %.3f | all heard after %v, newest after %v",
		quantile(x.lateness, 0.5), quantile(x.lateness, 0.99), worst(x.lateness), x.undelivered, x.lateNodes,
		float64(all.calls)/seconds, all.answeredShare(), orNever(x.allReachedAfter), orNever(x.allCurrentAfter))
}
