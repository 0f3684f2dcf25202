package lease

import "time"

// Guard says whether an act under a lease may begin. It goes by its own clock alone, one that goes on while the process
// stands still, and, where the system has one, while the machine sleeps.
type Guard struct {
	timing Timing
	sentAt map[uint64]time.Duration // when requests were sent, by Seq
	token uint64                   // 0: nothing is held
	validFrom time.Duration            // from when the lease counts
	validUntil  time.Duration            // no act may last beyond
	ttl   time.Duration
	lastSeq  uint64        // Seq of the latest answer taken
	actsUntil  time.Duration // acts that have begun may last until then
	stopped  bool          // the holder has given it up, and must not act however long it lasts
}

// mostAsked bounds the requests whose sending a guard remembers.
const maxTrackedRequests = 64

// NewGuard returns a guard that says no.
func NewGuard(t Timing) *Guard { return &Guard{timing: t.Default(), sentAt: map[uint64]time.Duration{}} }

// Asked must be called before a request is sent: what it is answered counts from here. One that is sent again counts from
// its first sending.
func (g *Guard) RequestSent(now time.Duration, seq uint64) {
	if _, before := g.sentAt[seq]; before {
		return
	}
	if len(g.sentAt) >= maxTrackedRequests {
		for s := range g.sentAt { // the oldest is of no use any more
			oldest := true
			for other := range g.sentAt {
				oldest = oldest && s <= other
			}
			if oldest {
				delete(g.sentAt, s)
				break
			}
		}
	}
	g.sentAt[seq] = now
}

// Told takes what the machine said, in any order. An answer to a request whose sending is not known counts for nothing.
func (g *Guard) HandleAnswer(a Answer) {
	switch a.Outcome {
	case Granted:
		at, known := g.sentAt[a.Seq]
		if !known || a.Token < g.token || a.Token == g.token && (g.stopped || a.Seq < g.lastSeq) {
			return // older than what is known, or given up
		}
		if a.Token > g.token {
			g.stopped = false
		}
		g.token, g.validFrom, g.ttl, g.lastSeq = a.Token, at, a.TTL, a.Seq
		g.validUntil = at + g.timing.holderTTL(a.TTL)
	case Refused, Freed:
		if a.Token == g.token || a.Outcome == Refused && a.Seq >= g.lastSeq {
			g.stopped = true
		}
	}
}

// Stop has the guard say no from now on for the token that is held; a later grant opens it again. A holder calls it before
// it releases or hands on, and waits as long as it says: acts that have begun go on until then.
func (g *Guard) Stop(now time.Duration) (wait time.Duration) {
	g.stopped = true
	return max(0, g.actsUntil-now)
}

// May tells whether an act that takes so long at the most could begin: its token, and the time that is left.
func (g *Guard) CanBegin(now, act time.Duration) (token uint64, left time.Duration, ok bool) {
	if g.token == 0 || g.stopped || now < g.validFrom || now+act > g.validUntil {
		return 0, 0, false
	}
	return g.token, g.validUntil - now, true
}

// Begin is to be called right before an act: it says whether it may begin, as May does, and books it. The act must be over
// when it said it would be.
func (g *Guard) BeginAct(now, act time.Duration) (token uint64, ok bool) {
	token, _, ok = g.CanBegin(now, act)
	if ok {
		g.actsUntil = max(g.actsUntil, now+act)
	}
	return token, ok
}

// End tells that all acts that had begun are over earlier than they might have been.
func (g *Guard) EndActs(now time.Duration) { g.actsUntil = min(g.actsUntil, now) }

// Stopped tells whether the holder has given up what it held last, or was told that it is over.
func (g *Guard) Stopped() bool { return g.stopped }

// Busy tells whether acts that have begun may go on.
func (g *Guard) Busy(now time.Duration) bool { return g.actsUntil > now }

// Token is the token that was held last; 0: none was.
func (g *Guard) Token() uint64 { return g.token }

// RenewAt is when to renew: after a third of the lease, so that two answers may be lost.
func (g *Guard) RenewAt() time.Duration { return g.validFrom + g.ttl/3 }
