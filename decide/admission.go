package decide

import (
	"math"
	"slices"
	"time"
)

// Which requests are let in: the curves of worth, response time and crowding.

const (
	curveTop   = 1.0  // r, in aims, at which even the highest worth is shut out
	curveFoot  = 0.6  // r, in aims, below which the lowest worth is let in whole
	rareGap    = 4    // power of the rest of the traffic by which a curve stands off
	crowdTop   = 2    // crowding at which even the highest worth is shut out
	roomGrowth = 0.15 // a second, of the servers that count as room
)

// widen lets servers that were added count as room while calls are refused and r does not say overload.
func (b *Balancer) widen() {
	if n := float64(b.members()); b.limited && b.known < n && b.r < curveFoot {
		b.known = min(b.known*(1+roomGrowth*period.Seconds()), n)
	}
	b.limited = false
}

// aim is the time within which a request earns its full worth.
func (b *Balancer) aim(r *Request) time.Duration {
	class := &b.set.Classes[r.Class]
	return min(class.LatencyTarget+time.Duration(class.TargetPerWork*float64(r.Work)), class.Deadline)
}

// aimLeft is what remains of the aim. A try with less time than others of its class is a later one, cut
// by the client's deadline, and that tells how long the client has waited.
func (b *Balancer) aimLeft(r *Request) time.Duration {
	b.longest[r.Class] = max(b.longest[r.Class], r.TTL)
	left := b.aim(r)
	if r.TTL < b.longest[r.Class]*49/50 {
		left -= b.set.Classes[r.Class].Deadline - r.TTL
	}
	return left
}

// admits is the paper's P(a,b) for the curve of this worth: one below a, zero above b, linear between.
// The curves are stacked, so that a lower worth is shut out before a higher one starts to be refused.
func (b *Balancer) admits(worth float64) float64 {
	level := b.level(worth)
	width := 1 / float64(len(b.levels))
	lo := width * float64(level)
	if worth < b.levels[0] { // a request worth nothing any more: below all others
		lo -= width
	} else if level > 0 {
		lo += math.Pow(1-b.share(level), rareGap)
	}
	return curve(b.pressure(), lo, lo+width)
}

// level is the place of a worth on the stack.
func (b *Balancer) level(worth float64) int {
	at, _ := slices.BinarySearch(b.levels, worth)
	return min(at, len(b.levels)-1)
}

// share is the part of the traffic that lies on a level or above.
func (b *Balancer) share(level int) float64 {
	above, all := 0.0, 0.0
	for i, n := range b.offered {
		all += n
		if i >= level {
			above += n
		}
	}
	return above / all
}

// pressure says where on the stack of curves this node stands: 0 at its foot, 1 at its top. It is what r
// says, or what the calls here say where that is more: some servers turn slow at once when they hold too
// many, long before response times have risen.
func (b *Balancer) pressure() float64 {
	return max((b.r-curveFoot)/(curveTop-curveFoot), (b.crowding()-1)/(crowdTop-1))
}

// crowding is the number of calls here against what this node's part of the servers holds without a crowd.
// Servers that are ejected are no room: the others would else be crowded in their place. A node's few calls
// vary by chance, while the servers see the sum over nodes: so the calls are averaged over some arrivals,
// and what chance leaves of that is no crowd.
func (b *Balancer) crowding() float64 {
	all := len(b.near) + len(b.far)
	ejected, _ := b.faults()
	room := b.room.calls() * b.fleet() / float64(max(1, b.set.Nodes))
	room *= float64(all-ejected) / float64(max(1, all))
	return b.crowd / max(1, room+math.Sqrt(room)/2)
}

// perServer is the number of calls that a server holds, if other nodes have as many as this one.
func (b *Balancer) perServer() float64 {
	return b.crowd * float64(max(1, b.set.Nodes)) / max(1, b.fleet())
}

// fleet is the number of servers that count as room.
func (b *Balancer) fleet() float64 {
	if b.there > 0 {
		return b.there
	}
	return min(float64(b.members()), b.known)
}

// curve is (b-r)/(b-a) between a and b; the paper prints (r-a)/(b-a), which would rise with r.
func curve(r, a, b float64) float64 {
	if r <= a {
		return 1
	}
	if r >= b {
		return 0
	}
	return (b - r) / (b - a)
}

// retryAfter spreads the return of refused clients.
func (b *Balancer) retryAfter(bounds *RoutePolicy, aimLeft time.Duration) time.Duration {
	if !b.set.MayAdviseRetry {
		return 0
	}
	wait := max(0, b.set.MaxRetryAfter)
	if bounds.MaxRetryAfter > 0 {
		wait = min(wait, bounds.MaxRetryAfter)
	}
	if aimLeft > 0 {
		wait = min(wait, aimLeft/2)
	}
	return b.jitter(wait)
}

// withinShare meters a tenant's request by a token bucket of one second of its quota.
func (b *Balancer) withinShare(i int) bool {
	t := &b.tenants[i]
	q := b.set.Tenants[i].Quota / float64(max(1, b.set.Nodes))
	t.tokens = min(t.tokens+q*(b.now-t.filled).Seconds(), max(q, 1))
	t.filled = b.now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
