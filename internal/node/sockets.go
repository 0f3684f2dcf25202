package node

const (
	reservedSockets = 24 // listener, discovery, standard streams, the runtime's own
	refusalSockets  = 16 // for clients over the budget, until they have their refusal
)

// split divides the descriptors that a node may hold between its clients and
// its attempts, lest either starve the other.
func splitSockets(limit int) (clients, attempts int) {
	rest := max(2, limit-reservedSockets-refusalSockets)
	return rest - rest/2, rest / 2
}
