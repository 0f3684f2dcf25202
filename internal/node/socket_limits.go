package node

const (
	reservedSockets = 24 // listener, discovery, standard streams, the Go runtime
	refusalSockets  = 16 // for clients over the limit, until their refusal is written
)

// splitSockets divides the file descriptors between client connections and attempts, so that
// neither can starve the other.
func splitSockets(limit int) (clients, attempts int) {
	rest := max(2, limit-reservedSockets-refusalSockets)
	return rest - rest/2, rest / 2
}
