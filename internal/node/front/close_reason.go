package front

// closeReason is why a client's connection is closed, as logs have it.
type closeReason string

// The reasons.
const (
	closeShutdown       closeReason = "the node ends"
	closeServerStopped  closeReason = "the front has ended"
	closeClientLeft     closeReason = "its client has left"
	closeRequestTimeout closeReason = "no whole request in time"
	closeLingered       closeReason = "its last answer was given"
	closeTransport      closeReason = "it can't be waited for"
	closeEvicted        closeReason = "room for others"
	closeWriteTimeout   closeReason = "its client does not read"
	closeWriteFailed    closeReason = "writing failed"
	closeIdle           closeReason = "idle for too long"
)
