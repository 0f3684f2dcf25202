package front

// closeReason is the reason for closing a client's connection, as written to the log.
type closeReason string

// Reasons for closing a client's connection.
const (
	closeShutdown       closeReason = "node is shutting down"
	closeServerStopped  closeReason = "server has stopped"
	closeClientLeft     closeReason = "client closed the connection"
	closeRequestTimeout closeReason = "request timed out"
	closeLingered       closeReason = "final response sent"
	closeTransport      closeReason = "registration with the transport failed"
	closeEvicted        closeReason = "evicted to make room"
	closeWriteTimeout   closeReason = "client does not read the response"
	closeWriteFailed    closeReason = "write failed"
	closeIdle           closeReason = "idle timeout"
)
