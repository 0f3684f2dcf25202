package virtual

import (
	"math/rand/v2"
	"time"
)

// hardDay is a day of the table of hard cases.
type faultDay struct {
	name string
	fleetDay
	lastFaultAt time.Duration // when the last disturbance ends
}

// calmBefore is how long polls have been spread out before a day begins: the longest poll, once over.
const pollSpreadTime = 100 * time.Second

const (
	outageStart       = 3 * time.Second
	outageEnd         = 11 * time.Second
	maxChangedLines   = 20
	listToChangeRatio = 5                 // a whole list has so many times the lines of a change
	recoveryPeriod    = 150 * time.Second // the longest recovery, and the longest poll after it
)

// tiersOf shares nodes out: a sixth at the front, the others in two tiers.
func splitIntoTiers(nodes int) []int {
	if nodes < 3 {
		return []int{nodes}
	}
	front := max(1, nodes/6)
	inner := (nodes - front) / 2
	return []int{front, inner, nodes - front - inner}
}

// plainDay is a day on which nothing happens yet.
func uneventfulDay(nodes int, callOfEach time.Duration) fleetDay {
	return fleetDay{tiers: splitIntoTiers(nodes), fleetCallTime: callOfEach, backlogFactor: defaultBacklogFactor, resubscribeWithin: defaultResubscribeWithin, warmUp: pollSpreadTime,
		listLines: listToChangeRatio * changedLines(nodes)}
}

// linesOfChange is how many servers a change of a release names: the more, the larger the fleet.
func changedLines(nodes int) int { return min(max(1, nodes/6), maxChangedLines) }

// changesFrom are changes one after the other.
func changeSeries(nodes int, from, every, over time.Duration) (changes []change) {
	for at := from; at <= from+over; at += every {
		changes = append(changes, change{at, changedLines(nodes)})
	}
	return changes
}

// release are the changes of a release that begins as the registry returns.
func releaseChanges(nodes int) []change {
	return changeSeries(nodes, outageEnd-200*time.Millisecond, 850*time.Millisecond, 10*time.Second)
}

// outageIntoRelease has the registry down for 8 s, and back into a release.
func outageIntoRelease(day fleetDay, kind outageKind) fleetDay {
	day.outages = []outage{{outageStart, outageEnd, kind}}
	day.changes = releaseChanges(day.nodeCount())
	return day
}

// hardDays are the cases of the table for one fleet.
func faultDays(nodes int, callOfEach time.Duration) []faultDay {
	plain := uneventfulDay(nodes, callOfEach)
	down := outageIntoRelease(plain, failsSlowly)
	var days []faultDay
	add := func(name string, day fleetDay, adapt func(*fleetDay)) {
		if adapt != nil {
			adapt(&day)
		}
		last := lastFaultEnd(&day)
		day.duration = last + recoveryPeriod
		days = append(days, faultDay{name, day, last})
	}
	add("a release", plain, func(d *fleetDay) { d.changes = releaseChanges(nodes) })
	add("all begin in a second", plain, func(d *fleetDay) { d.warmUp, d.changes = 0, releaseChanges(nodes) })
	add("back into a release, 503 after 2 s", down, nil)
	add("back into a release, 503 at once", outageIntoRelease(plain, rejectsAtOnce), nil)
	add("back into a release, reset", outageIntoRelease(plain, resetsConnections), nil)
	add("back into a release, silent", outageIntoRelease(plain, dropsCalls), nil)
	add("silent, then 503 after 2 s", down, func(d *fleetDay) {
		d.outages = []outage{{outageStart, 7 * time.Second, dropsCalls}, {7 * time.Second, outageEnd, failsSlowly}}
	})
	add("back, overbook 1", down, func(d *fleetDay) { d.backlogFactor = 1 })
	add("back, others ask for half", down, func(d *fleetDay) { d.externalShare = 0.5 })
	add("back, seven in ten front nodes killed", down, func(d *fleetDay) {
		d.restarts = []restart{{at: outageEnd + 1500*time.Millisecond, share: 0.7}}
	})
	add("back, killed, others ask for half", down, func(d *fleetDay) {
		d.restarts = []restart{{at: outageEnd + 1500*time.Millisecond, share: 0.7}}
		d.externalShare = 0.5
	})
	add("rolling restart by tenths in a release", plain, func(d *fleetDay) {
		d.changes = releaseChanges(nodes)
		for tenth := range 10 {
			d.restarts = append(d.restarts, restart{at: 8*time.Second + time.Duration(tenth)*time.Second, over: time.Second, share: 0.1})
		}
	})
	add("back, moved while the queue is full", down, func(d *fleetDay) { d.registryMoves = []time.Duration{outageEnd + 2*time.Second} })
	add("moved in a release", plain, func(d *fleetDay) {
		d.changes, d.registryMoves = releaseChanges(nodes), []time.Duration{outageEnd}
	})
	add("open polls fall silent in a release", plain, func(d *fleetDay) {
		d.changes, d.pollSilences = releaseChanges(nodes), []time.Duration{outageEnd}
	})
	add("back, whole lists", down, func(d *fleetDay) { d.fullListAnswers = true })
	add("back, ask_within 2 s", down, func(d *fleetDay) { d.resubscribeWithin = 2 * time.Second })
	add("back, ask_within 60 s", down, func(d *fleetDay) { d.resubscribeWithin = time.Minute })
	return days
}

// lastDisturbance is when the last thing happens on a day, and what it sets off is over.
func lastFaultEnd(day *fleetDay) (last time.Duration) {
	for _, o := range day.outages {
		last = max(last, o.until)
	}
	for _, c := range day.changes {
		last = max(last, c.at)
	}
	for _, k := range day.restarts {
		last = max(last, k.at+k.over+2*restartTime)
	}
	for _, at := range day.registryMoves {
		last = max(last, at+moveSpread)
	}
	for _, at := range day.pollSilences {
		last = max(last, at)
	}
	return last
}

// randomDay has troubles of all kinds in any order for a minute, and then none.
func randomFaultDay(nodes int, callOfEach time.Duration, seed uint64) faultDay {
	rng := rand.New(rand.NewPCG(seed, 0x72616e646f6d))
	draw := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Float64()*float64(most-least))
	}
	day := uneventfulDay(nodes, callOfEach)
	day.externalShare = []float64{0, 0, 0.3, 0.5}[rng.IntN(4)]
	day.backlogFactor = []float64{1, 1.5, 2, 4}[rng.IntN(4)]
	const troubled = time.Minute
	for at := draw(0, 5*time.Second); at < troubled; at += draw(500*time.Millisecond, 12*time.Second) {
		switch rng.IntN(6) {
		case 0, 1:
			until := at + draw(0, 12*time.Second)
			day.outages = append(day.outages, outage{at, until, outageKind(1 + rng.IntN(int(outageKindsEnd)-1))})
			at = until
		case 2:
			day.restarts = append(day.restarts, restart{at: at, over: draw(0, 5*time.Second), share: rng.Float64()})
			at += 7 * time.Second // a node is killed once at a time
		case 3:
			day.registryMoves = append(day.registryMoves, at)
		case 4:
			day.pollSilences = append(day.pollSilences, at)
		case 5:
			day.changes = append(day.changes, changeSeries(nodes, at, 850*time.Millisecond, draw(0, 10*time.Second))...)
		}
	}
	last := lastFaultEnd(&day)
	day.duration = last + recoveryPeriod
	return faultDay{"troubles in any order", day, last}
}
