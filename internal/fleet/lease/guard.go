package lease

import "time"

// Guard decides whether an act under a lease may begin. It uses only its holder's clock, which must go on while the
// process is suspended and, where the system has such a clock, while the machine sleeps.
type Guard struct {
	timing     Timing
	sentAt     map[uint64]time.Duration // when each request was first sent, by Seq
	token      uint64                   // 0: none yet
	validFrom  time.Duration            // when the request that was granted last was sent
	validUntil time.Duration            // every act must end by then
	ttl        time.Duration
	lastSeq    uint64        // Seq of the last grant or renewal accepted
	actsUntil  time.Duration // acts that have begun may last until then
	stopped    bool          // given up or lost: no act may begin, though the lease may last longer
}

// maxTrackedRequests bounds the requests whose sending times a guard keeps.
const maxTrackedRequests = 64

// NewGuard returns a guard that holds nothing and permits no act.
func NewGuard(t Timing) *Guard {
	return &Guard{timing: t.Default(), sentAt: map[uint64]time.Duration{}}
}

// RequestSent must be called before a request is sent: a lease that the answer grants counts from this time. For a
// request that is sent again the first time counts.
func (g *Guard) RequestSent(now time.Duration, seq uint64) {
	if _, known := g.sentAt[seq]; known {
		return
	}
	if len(g.sentAt) >= maxTrackedRequests {
		for s := range g.sentAt { // drop the oldest
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

// HandleAnswer processes answers in any order. A grant for a request whose sending time is unknown is ignored.
func (g *Guard) HandleAnswer(a Answer) {
	switch a.Outcome {
	case Granted:
		sent, known := g.sentAt[a.Seq]
		if !known || a.Token < g.token || a.Token == g.token && (g.stopped || a.Seq < g.lastSeq) {
			return // outdated, or given up meanwhile
		}
		if a.Token > g.token {
			g.stopped = false
		}
		g.token, g.validFrom, g.ttl, g.lastSeq = a.Token, sent, a.TTL, a.Seq
		g.validUntil = sent + g.timing.holderTTL(a.TTL)
	case Refused, Freed:
		if a.Token == g.token || a.Outcome == Refused && a.Seq >= g.lastSeq {
			g.stopped = true
		}
	}
}

// Stop forbids further acts under the token that is held; a later grant under a new token permits them again. A
// holder calls it before it releases or transfers the lease, and waits for the returned time, until which begun acts
// may last.
func (g *Guard) Stop(now time.Duration) (wait time.Duration) {
	g.stopped = true
	return max(0, g.actsUntil-now)
}

// CanBegin reports whether an act that takes at most the given time could begin, with its token and the time left.
func (g *Guard) CanBegin(now, act time.Duration) (token uint64, left time.Duration, ok bool) {
	if g.token == 0 || g.stopped || now < g.validFrom || now+act > g.validUntil {
		return 0, 0, false
	}
	return g.token, g.validUntil - now, true
}

// BeginAct must be called right before an act. It reports whether the act may begin, as CanBegin does, and records
// until when it may last. The act must end within the time given here.
func (g *Guard) BeginAct(now, act time.Duration) (token uint64, ok bool) {
	token, _, ok = g.CanBegin(now, act)
	if ok {
		g.actsUntil = max(g.actsUntil, now+act)
	}
	return token, ok
}

// EndActs records that all begun acts have ended.
func (g *Guard) EndActs(now time.Duration) { g.actsUntil = min(g.actsUntil, now) }

// Stopped reports whether the last lease was given up by the holder or reported as ended.
func (g *Guard) Stopped() bool { return g.stopped }

// Busy reports whether begun acts may still be going on.
func (g *Guard) Busy(now time.Duration) bool { return g.actsUntil > now }

// Token returns the last token held; 0 if there was none.
func (g *Guard) Token() uint64 { return g.token }

// RenewAt returns when to renew: after a third of the lease, so that two answers may be lost.
func (g *Guard) RenewAt() time.Duration { return g.validFrom + g.ttl/3 }
