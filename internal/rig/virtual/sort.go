package virtual

import (
	"maps"
	"slices"
)

// ids lists calls in order, so that a run does not depend on a map's.
func ids(calls map[uint64]*call) []uint64 { return slices.Sorted(maps.Keys(calls)) }
