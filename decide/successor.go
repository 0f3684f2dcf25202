package decide

import "time"

// A server that refuses connections has no process any more. The next one at its address may be another
// server, of another zone or cell, which discovery lists some seconds after its start. Until then nobody
// knows which servers drop repeats of what it runs.

// successorSuspicion is what is known of the process at a server's address since connections were refused
// there.
type successorSuspicion struct {
	since        time.Duration // first refusal; 0: the process is the listed one
	last         time.Duration // last refusal
	answeredFrom time.Duration // the process that answers has been running since; 0: none has answered
}

// refused records that nobody listened at the server's address.
func (p *successorSuspicion) refused(now time.Duration) {
	if p.since == 0 {
		p.since = now
	}
	p.last, p.answeredFrom = now, 0
}

// answered records a response over a connection that was opened at a time. It reports whether the
// suspicion is over: if the connection is older than the refusals, they were no end of the process. And a
// process that has been running for long would have been listed by now.
func (p *successorSuspicion) answered(now, opened time.Duration) (over bool) {
	switch {
	case p.since == 0:
		return false
	case opened <= p.since:
	case opened <= p.last:
		return false
	case p.answeredFrom == 0 || opened < p.answeredFrom:
		p.answeredFrom = opened
		return false
	case now-p.answeredFrom < restartKnownAfter:
		return false
	}
	return true
}

// recordSuccessor records what an outcome tells of the process at the server's address.
func (s *server) recordSuccessor(now time.Duration, o *Outcome) {
	switch o.Result {
	case ConnectFailed:
		if o.ConnRefused {
			s.successor.refused(now)
		}
	case Served, Rejected, Errored, Malformed:
		if s.successor.answered(now, now-o.ConnAge) {
			s.endSuspicion(now)
		}
	}
}

// endSuspicion records that the process at the server's address is the listed one from now on. What was
// sent before may have run elsewhere.
func (s *server) endSuspicion(now time.Duration) {
	if s.successor.since > 0 {
		s.zoneUnknownUntil, s.cellUnknownUntil = now, now
		s.successor = successorSuspicion{}
	}
}

// mayBeSuccessor reports whether what is sent to the server at a time may reach a process that is not the
// listed one.
func (s *server) mayBeSuccessor(sentAt time.Duration) bool {
	return s.successor.since > 0 && sentAt >= s.successor.since
}
