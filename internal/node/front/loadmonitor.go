package front

import (
	"log/slog"
	"time"
)

const (
	loadInterval = time.Second           // of the debug lines about load
	slowInterval = 10 * time.Second      // shortest time between two warnings about slow turns
	slowTurn     = 50 * time.Millisecond // a longer turn delays other clients' requests noticeably
)

// load describes the work of the server's goroutine in an interval.
type load struct {
	turns       int
	requests    int
	rejected    int
	late        int           // responses sent after the client's time
	longestTurn time.Duration // without the time between turns
	longestLine int           // connections with unprocessed bytes at the end of a turn
	busiest     uint64        // connection with the longest row of requests without a pause
	busiestRow  int           // requests in that row
	mostUnread  int           // unprocessed bytes that one connection's buffer held
}

// loadMonitor sums up the server's load and logs it: each interval at level debug, and as a warning if turns were slow or
// responses late.
type loadMonitor struct {
	log     *slog.Logger
	debug   bool
	since   time.Duration
	warnAt  time.Duration // earliest time of the next warning
	current load
}

func newLoadMonitor(log *slog.Logger, debug bool, now time.Duration) *loadMonitor {
	return &loadMonitor{log: log, debug: debug, since: now}
}

// requestReceived counts a request that is the row-th of its connection without a pause.
func (m *loadMonitor) requestReceived(connection uint64, row, unread int) {
	m.current.requests++
	m.current.mostUnread = max(m.current.mostUnread, unread)
	if row > m.current.busiestRow {
		m.current.busiest, m.current.busiestRow = connection, row
	}
}

// turnEnded counts a turn and logs the interval if it is over.
func (m *loadMonitor) turnEnded(started, ended time.Duration, line int) {
	m.current.turns++
	m.current.longestTurn = max(m.current.longestTurn, ended-started)
	m.current.longestLine = max(m.current.longestLine, line)
	if ended < m.since+loadInterval {
		return
	}
	m.report(ended)
	m.since, m.current = ended, load{}
}

// report logs the current interval, which ends now.
func (m *loadMonitor) report(now time.Duration) {
	l := &m.current
	attributes := []any{"seconds", (now - m.since).Seconds(), "turns", l.turns, "requests", l.requests, "rejected", l.rejected,
		"late", l.late, "longest_turn", l.longestTurn, "queued", l.longestLine, "busiest", l.busiest, "in_a_row", l.busiestRow, "unread", l.mostUnread}
	if (l.longestTurn >= slowTurn || l.late > 0) && now >= m.warnAt && m.log != nil {
		m.warnAt = now + slowInterval
		m.log.Warn("serving clients is slow", attributes...)
		return
	}
	if m.debug && l.requests > 0 {
		m.log.Debug("clients served", attributes...)
	}
}
