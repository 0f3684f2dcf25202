package virtual

import (
	"maps"
	"slices"
)

// sortedIDs returns the IDs of requests in ascending order: a run must not depend on map iteration order.
func sortedIDs(requests map[uint64]*nodeRequest) []uint64 { return slices.Sorted(maps.Keys(requests)) }
