package decide

import (
	"math"
	"slices"
	"time"
)

// Admission of requests, by worth, response time and number of open calls.

const (
	shedAllRatio       = 1.0  // latency ratio at which even the highest worth is refused
	shedStartRatio     = 0.6  // latency ratio below which even the lowest worth is admitted
	rareWorthExponent  = 4    // a level's curve is shifted by (share of the traffic below it)^4
	shedAllUtilization = 2    // utilization at which even the highest worth is refused
	serverGrowthRate   = 0.15 // growth per second of the servers that count as capacity
)

// growCountedServers counts added servers as capacity while the limit causes refusals although the latency
// ratio shows no overload.
func (b *Balancer) growCountedServers() {
	if n := float64(b.memberCount()); b.limitReached &&
		b.countedServers < n && b.latencyRatio < shedStartRatio {
		b.countedServers = min(b.countedServers*(1+serverGrowthRate*measurePeriod.Seconds()), n)
	}
	b.limitReached = false
}

// latencyTarget returns the time within which a request earns its full worth.
func (b *Balancer) latencyTarget(r *Request) time.Duration {
	class := &b.cfg.Classes[r.Class]
	return min(class.LatencyTarget+time.Duration(class.TargetPerWork*float64(r.Work)), class.Deadline)
}

// targetLeft returns what is left of the latency target. A request with a shorter TTL than others of its
// class is a retry whose TTL the client's deadline has cut, which tells how long the client has waited.
func (b *Balancer) targetLeft(r *Request) time.Duration {
	b.maxTTL[r.Class] = max(b.maxTTL[r.Class], r.TTL)
	left := b.latencyTarget(r)
	if r.TTL < b.maxTTL[r.Class]*49/50 {
		left -= b.cfg.Classes[r.Class].Deadline - r.TTL
	}
	return left
}

// admitProbability returns the probability of admitting a request of this worth, P(a,b) of the paper that
// describes this scheme: 1 below the start a of the worth's curve, 0 above its end b, linear in between. The
// curves of the levels are stacked, so that a lower worth is refused entirely before a higher one starts to
// be refused.
func (b *Balancer) admitProbability(worth float64) float64 {
	level := b.worthLevel(worth)
	width := 1 / float64(len(b.worthLevels))
	start := width * float64(level)
	if worth < b.worthLevels[0] {
		start -= width // worth nothing any more: below all levels
	} else if level > 0 {
		start += math.Pow(1-b.shareAtOrAbove(level), rareWorthExponent)
	}
	return curve(b.pressure(), start, start+width)
}

// worthLevel returns the index of a worth among the stacked curves.
func (b *Balancer) worthLevel(worth float64) int {
	index, _ := slices.BinarySearch(b.worthLevels, worth)
	return min(index, len(b.worthLevels)-1)
}

// shareAtOrAbove returns the fraction of the traffic at a level or above it.
func (b *Balancer) shareAtOrAbove(level int) float64 {
	above, all := 0.0, 0.0
	for i, n := range b.arrivalsByLevel {
		all += n
		if i >= level {
			above += n
		}
	}
	return above / all
}

// pressure returns this node's position on the stacked curves, 0 at their start and 1 at their end: the
// greater of what response times and open calls indicate. Some servers slow down as soon as they hold too
// many calls, long before measured response times have risen.
func (b *Balancer) pressure() float64 {
	return max((b.latencyRatio-shedStartRatio)/(shedAllRatio-shedStartRatio),
		(b.utilization()-1)/(shedAllUtilization-1))
}

// utilization returns the open calls of this node relative to its share of the servers' concurrency limits.
// Ejected servers do not count as capacity, or else their load would overload the others. The few calls of
// one node fluctuate at random while servers see the sum over all nodes, so the open calls are averaged
// over arrivals and the random deviation that remains is allowed for.
func (b *Balancer) utilization() float64 {
	all := len(b.localSubset) + len(b.remoteSubset)
	ejected, _ := b.countEjected()
	capacity := b.limit.perServer() * b.effectiveServers() / float64(max(1, b.cfg.Nodes))
	capacity *= float64(all-ejected) / float64(max(1, all))
	return b.meanOpenCalls / max(1, capacity+math.Sqrt(capacity)/2)
}

// callsPerServer returns the open calls of a server, assuming that other nodes have as many as this one.
func (b *Balancer) callsPerServer() float64 {
	return b.meanOpenCalls * float64(max(1, b.cfg.Nodes)) / max(1, b.effectiveServers())
}

// effectiveServers returns the number of servers that count as capacity.
func (b *Balancer) effectiveServers() float64 {
	if b.fleetSize > 0 {
		return b.fleetSize
	}
	return min(float64(b.memberCount()), b.countedServers)
}

// curve falls linearly from 1 at a to 0 at b. The paper prints (r-a)/(b-a), which would rise with r;
// (b-r)/(b-a) is meant.
func curve(r, a, b float64) float64 {
	if r <= a {
		return 1
	}
	if r >= b {
		return 0
	}
	return (b - r) / (b - a)
}

// retryAfter returns a random retry-after, so that refused clients do not come back at the same time.
func (b *Balancer) retryAfter(policy *RoutePolicy, targetLeft time.Duration) time.Duration {
	if !b.cfg.MayAdviseRetry {
		return 0
	}
	wait := max(0, b.cfg.MaxRetryAfter)
	if policy.MaxRetryAfter > 0 {
		wait = min(wait, policy.MaxRetryAfter)
	}
	if targetLeft > 0 {
		wait = min(wait, targetLeft/2)
	}
	return b.jitter(wait)
}

// takeQuotaToken meters a tenant's requests by a token bucket that holds one second of its quota.
func (b *Balancer) takeQuotaToken(i int) bool {
	t := &b.tenants[i]
	quota := b.cfg.Tenants[i].Quota / float64(max(1, b.cfg.Nodes))
	t.tokens = min(t.tokens+quota*(b.now-t.refilledAt).Seconds(), max(quota, 1))
	t.refilledAt = b.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
