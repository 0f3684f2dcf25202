package leases

import (
	"slices"
	"time"
)

// conditions are the faults of the network and of the disks at one time. The zero value has none.
type conditions struct {
	lossProbability      float64
	duplicateProbability float64
	maxExtraDelay        time.Duration             // of a message
	maxSyncTime          time.Duration             // upper bound of the random time of a disk sync
	isCut                func(from, to *node) bool // nil: no link is cut
}

// usualSyncTime is the upper bound of the time of a disk sync without a fault.
const usualSyncTime = 2 * time.Millisecond

// disturb adds conditions for a while. Others that overlap them last until their own end.
func (s *Sim) disturb(duration time.Duration, c conditions) {
	added := &c
	s.disturbances = append(s.disturbances, added)
	s.after(duration, func() {
		s.disturbances = slices.DeleteFunc(s.disturbances, func(x *conditions) bool { return x == added })
	})
}

// conditions returns the worst of the present conditions, without the cuts.
func (s *Sim) conditions() conditions {
	worst := conditions{maxSyncTime: usualSyncTime}
	for _, c := range s.disturbances {
		worst.lossProbability = max(worst.lossProbability, c.lossProbability)
		worst.duplicateProbability = max(worst.duplicateProbability, c.duplicateProbability)
		worst.maxExtraDelay = max(worst.maxExtraDelay, c.maxExtraDelay)
		worst.maxSyncTime = max(worst.maxSyncTime, c.maxSyncTime)
	}
	return worst
}

// cuts reports whether a link is cut at present.
func (s *Sim) cuts(from, to *node) bool {
	return slices.ContainsFunc(s.disturbances, func(c *conditions) bool { return c.isCut != nil && c.isCut(from, to) })
}
