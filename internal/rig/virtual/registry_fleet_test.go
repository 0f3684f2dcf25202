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
	// emptyCallLines is the cost of a call without an answer, in lines.
	emptyCallLines      = 40
	defaultQueueTimeout = 2 * time.Second
	// drainGrace is how long after a node is deemed to know a change the change may arrive.
	drainGrace = 500 * time.Millisecond
)

// outage is a period in which the registry is down.
type outage struct {
	from, until time.Duration
	kind        outageKind
}

// restart kills a fraction of the front nodes one after the other, and starts them again.
type restart struct {
	at, over time.Duration // first kill, and time from the first to the last
	share    float64
}

// fleetDay describes a fleet, its registry, and the events of a run. Times count from the end of the warm-up.
type fleetDay struct {
	tiers             []int         // number of nodes; the first tier is the front, and only its list changes
	fleetCallTime     time.Duration // time in which the registry processes one empty call of each node
	queueTimeout      time.Duration // of a call in the registry's queue; 0: defaultQueueTimeout
	backlogFactor     float64       // see registry.Settings
	externalShare     float64       // fraction of the capacity that clients outside the fleet use
	resubscribeWithin time.Duration // see decide.Settings
	listLines         int           // lines of the full list
	fullListAnswers   bool          // answers hold the full list instead of the changes

	warmUp          time.Duration // 0: all nodes start within the first second
	duration        time.Duration // after the warm-up
	outages         []outage
	changes         []change
	restarts        []restart
	registryMoves   []time.Duration // times at which all nodes get a new address of the registry
	pollSilences    []time.Duration // times at which open polls lose their connection without notice
	externalBursts  []externalBurst // of clients outside the fleet
	release         *release        // nil: the nodes get no requests
	randomWallClock bool            // randomizes the wall clock, which determines the nodes' turns
}

// externalBurst is work of clients outside the fleet that arrives at once.
type externalBurst struct{ at, work time.Duration }

const (
	maxWallClockOffset       = time.Minute
	restartTime              = 500 * time.Millisecond
	moveSpread               = 200 * time.Millisecond // nodes get SIGHUP at different times
	defaultBacklogFactor     = 2
	defaultResubscribeWithin = 10 * time.Second
)

// fleetRun is the simulation of a day.
type fleetRun struct {
	registryService
	day  fleetDay
	rng  *rand.Rand
	seed uint64
}

// nodeCount returns the number of nodes in all tiers.
func (d *fleetDay) nodeCount() (total int) {
	for _, nodes := range d.tiers {
		total += nodes
	}
	return total
}

// capacity returns the registry's capacity in lines per second.
func (d *fleetDay) capacity() float64 {
	return float64(d.nodeCount()*emptyCallLines) / d.fleetCallTime.Seconds()
}

// playFleet simulates a day. The same day and seed give the same result.
func playFleet(day fleetDay, seed uint64) *fleetResult { return runFleet(day, seed).result() }

// runFleet simulates a day to its end.
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

// createNodes creates the nodes, and schedules their start within the first half of the warm-up.
func (r *fleetRun) createNodes() {
	r.lists = make([]tierList, len(r.day.tiers))
	startPeriod := max(r.day.warmUp/2, time.Second)
	for tier, nodes := range r.day.tiers {
		r.lists[tier] = tierList{totalLines: r.day.listLines, fullAnswers: r.day.fullListAnswers}
		for i := range nodes {
			n := &fleetNode{
				registry: &r.registryService, tier: tier, resubscribeWithin: r.day.resubscribeWithin,
				position: endpoints.FleetPosition{NodeIndex: i, NodeCount: nodes, Tier: tier, ResubscribeWithin: r.day.resubscribeWithin},
			}
			if r.day.release != nil {
				n.sender = newSender(n, r.day.release, r.seed)
			}
			r.nodes = append(r.nodes, n)
			r.events.At(r.randomUpTo(startPeriod), func() { r.startNode(n) })
		}
	}
}

// randomUpTo returns a random duration up to a limit.
func (r *fleetRun) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Float64() * float64(limit))
}

// startNode starts a node with random values of the run.
func (r *fleetRun) startNode(n *fleetNode) { n.start(r.rng.Uint64(), r.rng.Float64()) }

// scheduleAt schedules an event at a time after the warm-up.
func (r *fleetRun) scheduleAt(when time.Duration, do func()) { r.events.At(r.day.warmUp+when, do) }

// scheduleDay schedules the events of the day.
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
	for _, restart := range r.day.restarts {
		r.scheduleRestart(restart)
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

// scheduleRestart schedules the kills and starts of a restart.
func (r *fleetRun) scheduleRestart(restart restart) {
	front := r.day.tiers[0]
	killed := max(1, int(restart.share*float64(front)))
	for i, which := range r.rng.Perm(front)[:killed] {
		n := r.nodes[which]
		when := restart.at + restart.over*time.Duration(i)/time.Duration(killed)
		r.scheduleAt(when, n.stop)
		r.scheduleAt(when+restartTime+r.randomUpTo(restartTime), func() { r.startNode(n) })
	}
}

// fleetResult is the result of a day.
type fleetResult struct {
	lateness    []time.Duration // of each delivery of a change to a front node, sorted
	ages        []time.Duration // of each change when it was delivered, sorted
	undelivered int             // changes that were late and never delivered
	lateNodes   float64         // fraction of front nodes with a delivery later than the drain grace
	perSecond   []callCounts    // from the end of the warm-up
	// allReachedAfter is the time from the last end of an outage until the registry has reached every node;
	// negative: it has not.
	allReachedAfter time.Duration
	// allCurrentAfter is the time from the last end of an outage or the last change, whichever was later, until
	// all nodes have the newest list; negative: not all have it.
	allCurrentAfter time.Duration
	capacity        float64
}

// callCounts counts the calls made in a second, or a longer period, by their outcome.
type callCounts struct {
	calls, answered, timedOut, rejected, refused int
	lines                                        float64
}

// result returns the result of a run.
func (r *fleetRun) result() *fleetResult {
	front := r.day.tiers[0]
	result := &fleetResult{capacity: r.day.capacity() * (1 - r.day.externalShare), perSecond: make([]callCounts, int(r.day.duration/time.Second)+1)}
	late := 0
	lastChange := time.Duration(0)
	for _, c := range r.lists[0].changes {
		lastChange = c.at
	}
	for _, n := range r.nodes[:front] {
		tooLate := false
		for _, d := range n.deliveries {
			result.lateness = append(result.lateness, d.lateness)
			tooLate = tooLate || d.lateness > drainGrace
			if d.undelivered {
				result.undelivered++
			} else {
				result.ages = append(result.ages, d.age)
			}
		}
		if tooLate {
			late++
		}
		result.allCurrentAfter = max(result.allCurrentAfter, n.newestDeliveredAt-max(r.reachableSince, lastChange))
	}
	result.lateNodes = float64(late) / float64(front)
	for _, n := range r.nodes {
		if n.knownChanges < len(r.lists[n.tier].changes) {
			result.allCurrentAfter = -1
		}
		if result.allReachedAfter >= 0 {
			result.allReachedAfter = max(result.allReachedAfter, n.firstContactAt-r.reachableSince)
		}
		if n.firstContactAt < r.reachableSince {
			result.allReachedAfter = -1
		}
	}
	slices.Sort(result.lateness)
	slices.Sort(result.ages)
	r.countCalls(result)
	return result
}

// countCalls counts the calls of each second.
func (r *fleetRun) countCalls(result *fleetResult) {
	for _, c := range r.calls {
		if c.at < r.day.warmUp {
			continue
		}
		second := &result.perSecond[int((c.at-r.day.warmUp)/time.Second)]
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

// sumBetween adds up the seconds of a period.
func (result *fleetResult) sumBetween(from, until time.Duration) (sum callCounts) {
	for _, s := range result.perSecond[min(len(result.perSecond), int(from/time.Second)):min(len(result.perSecond), int(until/time.Second))] {
		sum.calls += s.calls
		sum.answered += s.answered
		sum.timedOut += s.timedOut
		sum.rejected += s.rejected
		sum.refused += s.refused
		sum.lines += s.lines
	}
	return sum
}

// answeredShare returns the fraction of calls that were answered; 1 if there were none.
func (s callCounts) answeredShare() float64 {
	if s.calls == 0 {
		return 1
	}
	return float64(s.answered) / float64(s.calls)
}

// overloadedFor returns the time from the last fault until the registry is last offered more than its capacity.
func (result *fleetResult) overloadedFor(lastFault time.Duration) time.Duration {
	last := lastFault
	// A burst that the queue holds for this many seconds is no overload.
	const window = int(defaultQueueTimeout / time.Second)
	for second := window - 1; second < len(result.perSecond); second++ {
		lines := 0.0
		for _, s := range result.perSecond[second-window+1 : second+1] {
			lines += s.lines
		}
		if lines >= result.capacity*float64(window) {
			last = max(last, time.Duration(second+1)*time.Second)
		}
	}
	return last - lastFault
}

// quantile returns a quantile of sorted durations.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Round(time.Millisecond)
}

// worst returns the longest of sorted durations.
func worst(sorted []time.Duration) time.Duration { return quantile(sorted, 1) }

// orNever formats a duration; a negative one as never.
func orNever(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return d.Round(time.Millisecond).String()
}

// String returns the result as one row of a table.
func (result *fleetResult) String() string {
	seconds := float64(len(result.perSecond) - 1)
	all := result.sumBetween(0, time.Duration(len(result.perSecond))*time.Second)
	return fmt.Sprintf("lateness p50 %v p99 %v worst %v, undelivered %d, late nodes %.2f | %.1f calls/s, answered %.3f | all reached after %v, all current after %v",
		quantile(result.lateness, 0.5), quantile(result.lateness, 0.99), worst(result.lateness), result.undelivered, result.lateNodes,
		float64(all.calls)/seconds, all.answeredShare(), orNever(result.allReachedAfter), orNever(result.allCurrentAfter))
}
