package upstream

import "time"

// CloseReason is the reason for closing a connection to a server, as written to the log.
type CloseReason string

// Reasons for closing a connection to a server.
const (
	CloseExpired        CloseReason = "idle timeout"
	CloseAddressChanged CloseReason = "server address changed"
	CloseByServer       CloseReason = "closed by the server"
	CloseUnsolicited    CloseReason = "bytes that belong to no request"
	CloseNotSent        CloseReason = "request not sent"
	CloseAttemptFailed  CloseReason = "attempt failed or canceled"
	CloseRequested      CloseReason = "server announced the close"
	CloseServerClosed   CloseReason = "server is draining or removed"
	CloseEvicted        CloseReason = "evicted to make room"
	CloseShutdown       CloseReason = "node is shutting down"

	// keepOpen is the reason of connections that are not closed.
	keepOpen CloseReason = ""
)

// ClosedConn describes a connection to a server that has been closed.
type ClosedConn struct {
	Server string
	Number uint64 // as in Outcome.ConnNumber
	Age    time.Duration
	Reason CloseReason
}
