package virtual

import (
	"math/rand/v2"
	"time"
)

// faultDay is a day of the table of fault cases.
type faultDay struct {
	name string
	fleetDay
	lastFaultAt time.Duration // when the effects of the last event are over, see lastFaultEnd
}

// pollSpreadTime is a warm-up in which the polls of the nodes spread out over time. It covers the longest poll.
const pollSpreadTime = 100 * time.Second

const (
	outageStart       = 3 * time.Second
	outageEnd         = 11 * time.Second
	maxChangedLines   = 20
	listToChangeRatio = 5                 // lines of the full list for each line of a change
	recoveryPeriod    = 150 * time.Second // covers the longest recovery, and the longest poll after it
)

// splitIntoTiers puts a sixth of the nodes into the front tier, and the others into two further tiers.
func splitIntoTiers(nodes int) []int {
	if nodes < 3 {
		return []int{nodes}
	}
	front := max(1, nodes/6)
	inner := (nodes - front) / 2
	return []int{front, inner, nodes - front - inner}
}

// uneventfulDay is a day without events.
func uneventfulDay(nodes int, fleetCallTime time.Duration) fleetDay {
	return fleetDay{tiers: splitIntoTiers(nodes), fleetCallTime: fleetCallTime, backlogFactor: defaultBacklogFactor, resubscribeWithin: defaultResubscribeWithin, warmUp: pollSpreadTime,
		listLines: listToChangeRatio * changedLines(nodes)}
}

// changedLines returns how many servers each change of a release affects. It grows with the fleet.
func changedLines(nodes int) int { return min(max(1, nodes/6), maxChangedLines) }

// changeSeries returns changes at regular intervals.
func changeSeries(nodes int, from, interval, duration time.Duration) (changes []change) {
	for at := from; at <= from+duration; at += interval {
		changes = append(changes, change{at, changedLines(nodes)})
	}
	return changes
}

// releaseChanges returns the changes of a release that starts just before the registry returns.
func releaseChanges(nodes int) []change {
	return changeSeries(nodes, outageEnd-200*time.Millisecond, 850*time.Millisecond, 10*time.Second)
}

// outageIntoRelease adds an outage of 8 s, at whose end a release has started.
func outageIntoRelease(day fleetDay, kind outageKind) fleetDay {
	day.outages = []outage{{outageStart, outageEnd, kind}}
	day.changes = releaseChanges(day.nodeCount())
	return day
}

// faultDays returns the cases of the table for one fleet.
func faultDays(nodes int, fleetCallTime time.Duration) []faultDay {
	uneventful := uneventfulDay(nodes, fleetCallTime)
	withOutage := outageIntoRelease(uneventful, failsSlowly)
	var days []faultDay
	add := func(name string, day fleetDay, adapt func(*fleetDay)) {
		if adapt != nil {
			adapt(&day)
		}
		lastEnd := lastFaultEnd(&day)
		day.duration = lastEnd + recoveryPeriod
		days = append(days, faultDay{name, day, lastEnd})
	}
	add("a release", uneventful, func(d *fleetDay) { d.changes = releaseChanges(nodes) })
	add("all nodes start within a second", uneventful, func(d *fleetDay) { d.warmUp, d.changes = 0, releaseChanges(nodes) })
	add("outage into a release, 503 after 2 s", withOutage, nil)
	add("outage into a release, 503 at once", outageIntoRelease(uneventful, rejectsAtOnce), nil)
	add("outage into a release, connections reset", outageIntoRelease(uneventful, resetsConnections), nil)
	add("outage into a release, no answers", outageIntoRelease(uneventful, dropsCalls), nil)
	add("outage without answers, then 503 after 2 s", withOutage, func(d *fleetDay) {
		d.outages = []outage{{outageStart, 7 * time.Second, dropsCalls}, {7 * time.Second, outageEnd, failsSlowly}}
	})
	add("outage, backlog factor 1", withOutage, func(d *fleetDay) { d.backlogFactor = 1 })
	add("outage, half of the capacity used by other clients", withOutage, func(d *fleetDay) { d.externalShare = 0.5 })
	add("outage, 70% of the front nodes killed", withOutage, func(d *fleetDay) {
		d.restarts = []restart{{at: outageEnd + 1500*time.Millisecond, share: 0.7}}
	})
	add("outage, 70% killed, half of the capacity used by other clients", withOutage, func(d *fleetDay) {
		d.restarts = []restart{{at: outageEnd + 1500*time.Millisecond, share: 0.7}}
		d.externalShare = 0.5
	})
	add("rolling restart by tenths during a release", uneventful, func(d *fleetDay) {
		d.changes = releaseChanges(nodes)
		for tenth := range 10 {
			d.restarts = append(d.restarts, restart{at: 8*time.Second + time.Duration(tenth)*time.Second, over: time.Second, share: 0.1})
		}
	})
	add("outage, registry moved while its queue is full", withOutage, func(d *fleetDay) { d.registryMoves = []time.Duration{outageEnd + 2*time.Second} })
	add("registry moved during a release", uneventful, func(d *fleetDay) {
		d.changes, d.registryMoves = releaseChanges(nodes), []time.Duration{outageEnd}
	})
	add("open polls lost during a release", uneventful, func(d *fleetDay) {
		d.changes, d.pollSilences = releaseChanges(nodes), []time.Duration{outageEnd}
	})
	add("outage, answers hold the full list", withOutage, func(d *fleetDay) { d.fullListAnswers = true })
	add("outage, resubscribe within 2 s", withOutage, func(d *fleetDay) { d.resubscribeWithin = 2 * time.Second })
	add("outage, resubscribe within 60 s", withOutage, func(d *fleetDay) { d.resubscribeWithin = time.Minute })
	return days
}

// lastFaultEnd returns when the last event of a day is over, with restarts and moves that follow from it.
func lastFaultEnd(day *fleetDay) (last time.Duration) {
	for _, o := range day.outages {
		last = max(last, o.until)
	}
	for _, c := range day.changes {
		last = max(last, c.at)
	}
	for _, r := range day.restarts {
		last = max(last, r.at+r.over+2*restartTime)
	}
	for _, at := range day.registryMoves {
		last = max(last, at+moveSpread)
	}
	for _, at := range day.pollSilences {
		last = max(last, at)
	}
	return last
}

// randomFaultDay has events of all kinds in random order for a minute, and then none.
func randomFaultDay(nodes int, fleetCallTime time.Duration, seed uint64) faultDay {
	rng := rand.New(rand.NewPCG(seed, 0x72616e646f6d))
	randomBetween := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(rng.Float64()*float64(longest-shortest))
	}
	day := uneventfulDay(nodes, fleetCallTime)
	day.externalShare = []float64{0, 0, 0.3, 0.5}[rng.IntN(4)]
	day.backlogFactor = []float64{1, 1.5, 2, 4}[rng.IntN(4)]
	const faultPeriod = time.Minute
	for at := randomBetween(0, 5*time.Second); at < faultPeriod; at += randomBetween(500*time.Millisecond, 12*time.Second) {
		switch rng.IntN(6) {
		case 0, 1:
			until := at + randomBetween(0, 12*time.Second)
			day.outages = append(day.outages, outage{at, until, outageKind(1 + rng.IntN(int(outageKindsEnd)-1))})
			at = until
		case 2:
			day.restarts = append(day.restarts, restart{at: at, over: randomBetween(0, 5*time.Second), share: rng.Float64()})
			at += 7 * time.Second // the next event must not kill a node that is already down
		case 3:
			day.registryMoves = append(day.registryMoves, at)
		case 4:
			day.pollSilences = append(day.pollSilences, at)
		case 5:
			day.changes = append(day.changes, changeSeries(nodes, at, 850*time.Millisecond, randomBetween(0, 10*time.Second))...)
		}
	}
	last := lastFaultEnd(&day)
	day.duration = last + recoveryPeriod
	return faultDay{"random faults", day, last}
}
