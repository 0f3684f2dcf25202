package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"curlewring/decide"
	"curlewring/internal/node/front"
	"curlewring/internal/node/upstream"
	"curlewring/internal/servers/endpoints"
)

// trace logs the loop's work at debug level: requests by their X-Txn, their attempts, and the
// state of the server list. Its methods do nothing on a nil trace.
type trace struct{ log *slog.Logger }

// newTrace returns nil unless debug logging is enabled.
func newTrace(log *slog.Logger) *trace {
	if log == nil || !log.Enabled(context.Background(), slog.LevelDebug) {
		return nil
	}
	return &trace{log}
}

func (t *trace) requestArrived(p *pendingRequest, now time.Duration) {
	if t != nil {
		t.log.Debug("request", "txn", p.txn, "class", p.request.Class, "wait", p.request.TTL, "connection", uint64(p.token), "queued", now-p.arrivedAt)
	}
}

// requestRejected logs a request that the front rejects or refuses before the loop has it.
func (t *trace) requestRejected(token front.Token, txn string, status int, reason string) {
	if t != nil {
		t.log.Debug("request rejected", "txn", txn, "connection", uint64(token), "status", status, "reason", reason)
	}
}

// clientLeft logs that a client has closed its connection before it had an answer.
func (t *trace) clientLeft(p *pendingRequest) {
	if t != nil {
		t.log.Debug("client left", "txn", p.txn, "connection", uint64(p.token), "attempts", len(p.attempts), "open", p.openAttempts)
	}
}

func (t *trace) attemptSent(p *pendingRequest, a *attempt, version uint64, unconfirmed bool) {
	if t != nil {
		t.log.Debug("attempt", "txn", p.txn, "number", a.number, "server", a.server, "version", version, "unconfirmed", unconfirmed)
	}
}

func (t *trace) attemptEnded(e *attemptEnded) {
	if t != nil {
		t.log.Debug("outcome", "txn", e.attempt.pending.txn, "number", e.number, "server", e.server, "result", e.Result.String(),
			"took", e.elapsed, "dial", e.DialTime, "conn", e.ConnNumber, "idle", e.IdleTime, "closed", e.ConnClosed, "err", e.Err)
	}
}

func (t *trace) answered(p *pendingRequest, status answerStatus, reason decide.Reason) {
	if t != nil {
		t.log.Debug("answer", "txn", p.txn, "ending", status.String(), "reason", reason.String(), "attempts", len(p.attempts))
	}
}

// answeredUnopened logs the answer to a request that the balancer never heard of.
func (t *trace) answeredUnopened(p *pendingRequest, status answerStatus, reason string) {
	if t != nil {
		t.log.Debug("answer", "txn", p.txn, "ending", status.String(), "reason", reason, "attempts", 0)
	}
}

func (t *trace) listReceived(l *endpoints.List, changes int) {
	if t != nil {
		t.log.Debug("list", "version", l.Generation, "whole", l.Whole, "entries", len(l.Entries), "changes", changes)
	}
}

func (t *trace) noList(f endpoints.CallFailure, version uint64, confirmed time.Duration) {
	if t != nil {
		t.log.Debug("no list", "reason", f.Reason.String(), "took", f.Took, "wait", f.PollWait, "version", version,
			"confirmed_for", confirmed)
	}
}

// serverConnClosed logs why a connection to a server was closed.
func (t *trace) serverConnClosed(c upstream.ClosedConn) {
	if t != nil {
		t.log.Debug("server connection closed", "server", c.Server, "conn", c.Number, "age", c.Age, "reason", string(c.Reason))
	}
}

// closeLogger logs closed connections to servers.
type closeLogger struct {
	log         *slog.Logger
	trace       *trace
	unsolicited sync.Once // guards the warning about bytes that belong to no request
}

// connClosed logs one closed connection. It is called by several goroutines.
func (l *closeLogger) connClosed(c upstream.ClosedConn) {
	l.trace.serverConnClosed(c)
	if c.Reason == upstream.CloseUnsolicited {
		l.unsolicited.Do(func() {
			l.log.Warn("a server sent bytes that belong to no request; further cases are logged at debug level only",
				"server", c.Server, "conn", c.Number, "age", c.Age)
		})
	}
}
