package front

// closeReason is why a client's connection is closed, as logs have it.
type closeReason string

// The reasons.
const (
	closeLeaving    closeReason = "the node ends"
	closeEnded      closeReason = "the front has ended"
	closeClientLeft closeReason = "its client has left"
	closeNoRequest  closeReason = "no whole request in time"
	closeLingered   closeReason = "its last answer was given"
	closeTransport  closeReason = "it can't be waited for"
	closeForRoom    closeReason = "room for others"
	closeNotRead    closeReason = "its client does not read"
	closeNotWritten closeReason = "writing failed"
	closeIdle       closeReason = "idle for too long"
)
