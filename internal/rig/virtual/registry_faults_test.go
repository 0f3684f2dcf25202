package virtual

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// maxRecoveryTime is the time after the last fault within which the load of the registry must fall below
	// its capacity. Where one call of each node takes longer than maxFastCallTime, the share of other clients
	// included, calls that wait in the queue behind some of the others time out at first, and the nodes' delays
	// must grow until that has ended.
	maxRecoveryTime     = 20 * time.Second
	maxSlowRecoveryTime = 100 * time.Second
	maxFastCallTime     = 4 * time.Second
	// minAnsweredShare is the minimum fraction of the calls in the final period of a day that must be answered.
	minAnsweredShare = 0.95
	finalPeriod      = 5 * time.Second
	// maxTimelyCallTime is the time for one call of each node up to which all changes must also be delivered in
	// time.
	maxTimelyCallTime = 2 * time.Second
)

// fleetSize is the size of a fleet, and the speed of its registry.
type fleetSize struct {
	nodes         int
	fleetCallTime time.Duration
}

// fleetSizes returns the sizes of the table: all for long tests, few otherwise.
func fleetSizes() (sizes []fleetSize) {
	if !longTests() {
		return []fleetSize{{30, 4 * time.Second}, {267, 2 * time.Second}, {350, 8 * time.Second}}
	}
	for _, nodes := range []int{5, 30, 120, 267, 350, 1000} {
		for _, seconds := range []time.Duration{2, 4, 8} {
			sizes = append(sizes, fleetSize{nodes, seconds * time.Second})
		}
	}
	return sizes
}

// faultSummary summarizes the results of a case over its seeds.
type faultSummary struct {
	lateness        []time.Duration
	undelivered     int
	lateNodes       float64       // mean
	calls           float64       // per second, mean
	answered        float64       // minimum fraction in the final period
	overloadedFor   time.Duration // maximum, like the next two
	allReachedAfter time.Duration
	allCurrentAfter time.Duration
	unreachedRuns   int // runs in which the registry did not reach all nodes
	outdatedRuns    int // runs in which not all nodes had the newest list at the end
}

// playFaultDay simulates a day with several seeds.
func playFaultDay(day func(seed uint64) faultDay, seeds uint64) faultSummary {
	summary := faultSummary{answered: 1}
	for seed := range seeds {
		d := day(seed)
		result := playFleet(d.fleetDay, seed)
		summary.lateness = append(summary.lateness, result.lateness...)
		summary.undelivered += result.undelivered
		summary.lateNodes += result.lateNodes / float64(seeds)
		all := result.sumBetween(0, d.duration)
		summary.calls += float64(all.calls) / d.duration.Seconds() / float64(seeds)
		last := result.sumBetween(d.duration-finalPeriod, d.duration)
		summary.answered = min(summary.answered, last.answeredShare())
		summary.overloadedFor = max(summary.overloadedFor, result.overloadedFor(d.lastFaultAt))
		summary.allReachedAfter, summary.allCurrentAfter = max(summary.allReachedAfter, result.allReachedAfter), max(summary.allCurrentAfter, result.allCurrentAfter)
		if result.allReachedAfter < 0 {
			summary.unreachedRuns++
		}
		if result.allCurrentAfter < 0 {
			summary.outdatedRuns++
		}
	}
	slices.Sort(summary.lateness)
	return summary
}

// String returns the summary as a row of the table.
func (r faultSummary) String() string {
	return fmt.Sprintf("%v | %v | %v | %.2f | %.1f | %.2f | %v | %v%s | %v%s |", quantile(r.lateness, 0.5), quantile(r.lateness, 0.99), worst(r.lateness),
		r.lateNodes, r.calls, r.answered, r.overloadedFor.Round(ms), r.allReachedAfter.Round(ms), runsWithout(r.unreachedRuns), r.allCurrentAfter.Round(ms), runsWithout(r.outdatedRuns))
}

// runsWithout marks a figure that some runs do not have.
func runsWithout(runs int) string {
	if runs == 0 {
		return ""
	}
	return fmt.Sprintf(" (never in %d)", runs)
}

// checkRecovery checks that calls fell below the capacity, and were answered again.
func (r faultSummary) checkRecovery(t *testing.T, within time.Duration) {
	if r.overloadedFor > within {
		t.Errorf("the registry is overloaded until %v after the last fault", r.overloadedFor)
	}
	if r.answered < minAnsweredShare {
		t.Errorf("%.2f of the calls in the final period were answered", r.answered)
	}
	if r.unreachedRuns+r.outdatedRuns > 0 {
		t.Errorf("some nodes were not reached in %d runs, or had an old list at the end of %d", r.unreachedRuns, r.outdatedRuns)
	}
}

// recoveryLimit returns the time within which calls must fall below the capacity.
func (d *faultDay) recoveryLimit() time.Duration {
	if float64(d.fleetCallTime) > float64(maxFastCallTime)*(1-d.externalShare) {
		return maxSlowRecoveryTime
	}
	return maxRecoveryTime
}

// registrySeeds returns the number of seeds of a row.
func registrySeeds() uint64 {
	if longTests() {
		return 10
	}
	return 2
}

// After every fault case the fleet must recover, and where the registry is fast enough, changes must arrive in time.
func TestRegistryFaultCases(t *testing.T) {
	t.Log("| nodes, one call of each in, case | lateness p50 | p99 | worst | late nodes | calls/s | answered at the end | overloaded for | all reached after | all current after |")
	for _, size := range fleetSizes() {
		for i, day := range faultDays(size.nodes, size.fleetCallTime) {
			t.Run(fmt.Sprintf("%d nodes, %v, %s", size.nodes, size.fleetCallTime, day.name), func(t *testing.T) {
				summary := playFaultDay(func(uint64) faultDay { return faultDays(size.nodes, size.fleetCallTime)[i] }, registrySeeds())
				t.Logf("| %d, %v, %s | %v", size.nodes, size.fleetCallTime, day.name, summary)
				summary.checkRecovery(t, day.recoveryLimit())
				if last := worst(summary.lateness); size.fleetCallTime <= maxTimelyCallTime && last > drainGrace {
					t.Errorf("a change arrives %v after the node is deemed to know it", last)
				}
			})
		}
	}
}

// After random faults in any order, calls must soon fall below the capacity, and be answered.
func TestRegistryRecoversFromRandomFaults(t *testing.T) {
	for _, size := range fleetSizes() {
		t.Run(fmt.Sprintf("%d nodes, %v", size.nodes, size.fleetCallTime), func(t *testing.T) {
			summary := playFaultDay(func(seed uint64) faultDay { return randomFaultDay(size.nodes, size.fleetCallTime, seed) }, 2*registrySeeds())
			t.Logf("| %d, %v, random faults | %v", size.nodes, size.fleetCallTime, summary)
			summary.checkRecovery(t, maxSlowRecoveryTime)
		})
	}
}

// A single node causes no congestion. Whatever delays it uses against congestion, it must call again after an
// outage as soon as if there were no queue to protect.
func TestSingleNodeIsUpdatedSoonAfterAnOutage(t *testing.T) {
	// A call may have started just before the end of the outage, and fail after 2 s or time out after 4 s. A
	// delay follows.
	const maxDelay = 1500 * time.Millisecond
	limits := map[outageKind]time.Duration{
		failsSlowly: slowFailureTime + maxDelay, rejectsAtOnce: maxDelay, resetsConnections: maxDelay, dropsCalls: 4 * time.Second,
	}
	for kind, limit := range limits {
		for seed := range 5 * registrySeeds() {
			day := uneventfulDay(1, 20*time.Millisecond)
			day.outages = []outage{{outageStart, outageEnd, kind}}
			day.changes = []change{{8 * time.Second, 1}, {20 * time.Second, 1}}
			// A node cannot notice an outage without answers that ends before its open poll does.
			if kind == dropsCalls {
				day.outages[0].until += 10 * time.Second
				day.changes[1].at += 10 * time.Second
			}
			day.duration = time.Minute
			result := playFleet(day, seed)
			if len(result.ages) != 2 {
				t.Fatalf("%v, seed %d: %d changes delivered, want 2", kind, seed, len(result.ages))
			}
			sinceOutage := worst(result.ages) - (day.outages[0].until - 8*time.Second)
			if sinceOutage > limit+200*time.Millisecond {
				t.Errorf("%v, seed %d: change delivered %v after the outage", kind, seed, sinceOutage)
			}
			if result.ages[0] > 100*time.Millisecond {
				t.Errorf("%v, seed %d: change delivered %v after it was made, on an open poll", kind, seed, result.ages[0])
			}
		}
	}
}
