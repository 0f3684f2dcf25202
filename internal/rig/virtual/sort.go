package virtual

import (
	"maps"
	"slices"
)

// ids lists calls in order, so that a run does not depend on a map's.
func sortedIDs(calls map[uint64]*nodeRequest) []uint64 { return slices.Sorted(maps.Keys(calls)) }
