package membership

import (
	"math/bits"
	"slices"
	"time"
)

// cutDetector collects the alerts, refutations and departures of one view and determines which
// members to remove.
type cutDetector struct {
	subjects        map[uint32]*subjectState
	changedAt       time.Duration // last new information
	removalDueSince time.Duration // start of the time in which members wait for removal or admission; 0 if none do
	departed        []uint32      // members that announced their departure, or have certainly ended
	ended           []uint32      // those of departed whose address another life uses
}

// subjectState is what is known about one member.
type subjectState struct {
	alertSeqs         [maxWatchers]uint32 // latest Alert.Seq of each watcher
	accusers          uint16              // bit set of the watcher slots that accuse, maxWatchers at most
	refutedAt         time.Duration       // 0 if it never refuted
	refutationSeq     uint32
	halfAccusedSince  time.Duration // time since which half of the watchers accuse; 0 if they don't
	lowWatermarkSince time.Duration // time since which accusers reach the low watermark; 0 if they don't
}

// subject returns the state of member i, which it creates if necessary.
func (c *cutDetector) subject(i uint32) *subjectState {
	if c.subjects == nil {
		c.subjects = map[uint32]*subjectState{}
	}
	state := c.subjects[i]
	if state == nil {
		state = &subjectState{}
		c.subjects[i] = state
	}
	return state
}

// recordAlert stores an accusation or its withdrawal and reports whether it was new.
func (c *cutDetector) recordAlert(v *View, a Alert, now time.Duration) bool {
	if int(a.Subject) >= len(v.Members) || int(a.WatcherSlot) >= len(v.watchers[a.Subject]) {
		return false
	}
	state := c.subject(a.Subject)
	if a.Seq <= state.alertSeqs[a.WatcherSlot] {
		return false
	}
	state.alertSeqs[a.WatcherSlot] = a.Seq
	if a.Down {
		state.accusers |= 1 << a.WatcherSlot
	} else {
		state.accusers &^= 1 << a.WatcherSlot
	}
	accusers, watchers := bits.OnesCount16(state.accusers), len(v.watchers[a.Subject])
	updateSince(&state.halfAccusedSince, accusers >= halfOf(watchers), now)
	updateSince(&state.lowWatermarkSince, accusers >= lowWatermark(watchers), now)
	c.changedAt = now
	return true
}

// updateSince maintains the time since which a condition has held; 0 if it does not hold.
func updateSince(since *time.Duration, holds bool, now time.Duration) {
	if !holds {
		*since = 0
	} else if *since == 0 {
		*since = now
	}
}

// recordRefutation stores a refutation and reports whether it was new.
func (c *cutDetector) recordRefutation(v *View, a Refutation, now time.Duration) bool {
	if int(a.Member) >= len(v.Members) {
		return false
	}
	state := c.subject(a.Member)
	if a.Seq <= state.refutationSeq {
		return false
	}
	state.refutationSeq, state.refutedAt = a.Seq, now
	return true
}

// recordDeparture stores that a member is leaving, or has certainly ended because another life
// uses its address. It reports whether that was new.
func (c *cutDetector) recordDeparture(i uint32, ended bool) bool {
	isNew := false
	if !slices.Contains(c.departed, i) {
		c.departed, isNew = append(c.departed, i), true
	}
	if ended && !slices.Contains(c.ended, i) {
		c.ended, isNew = append(c.ended, i), true
	}
	return isNew
}

// refutes reports whether a recent refutation of the member is known.
func (s *subjectState) refutes(now time.Duration) bool {
	return s.refutedAt > 0 && now-s.refutedAt < refutationLifetime
}

// accused reports whether the accusers of a member reach the low watermark.
func (c *cutDetector) accused(v *View, i uint32) bool {
	state := c.subjects[i]
	return state != nil && bits.OnesCount16(state.accusers) >= lowWatermark(len(v.watchers[i])) && state.accusers != 0
}

// countAccusers returns the number of watchers that accuse a member, and that number with the
// unresponsive watchers added: those can't report, so they count as accusers.
func (c *cutDetector) countAccusers(v *View, i uint32, now time.Duration) (accusing, accusingOrUnresponsive int) {
	state := c.subjects[i]
	for slot, watcher := range v.watchers[i] {
		if state.accusers&(1<<slot) != 0 {
			accusing++
			accusingOrUnresponsive++
		} else if c.unresponsive(watcher, now) {
			accusingOrUnresponsive++
		}
	}
	return accusing, accusingOrUnresponsive
}

// unresponsive reports whether a member has been accused for so long that a refutation would have
// arrived, and none has.
func (c *cutDetector) unresponsive(i uint32, now time.Duration) bool {
	state := c.subjects[i]
	return state != nil && state.lowWatermarkSince > 0 && now-state.lowWatermarkSince >= refutationDeadline && !state.refutes(now)
}

// removals returns the members to remove from the view. clear reports that no member is between
// the two watermarks. A member that refutes is removed only if half of its watchers, and half of
// those at its own site, have had no contact for long, and if there are few such members: many of
// them indicate a partition between sites, not failing members.
func (c *cutDetector) removals(v *View, now time.Duration) (removed []uint32, clear bool) {
	clear = true
	var halfAccused []uint32
	for i, state := range c.subjects {
		if state.accusers == 0 {
			continue
		}
		accusing, accusingOrUnresponsive := c.countAccusers(v, i, now)
		watchers := len(v.watchers[i])
		switch {
		case state.refutes(now):
			if accusing >= halfOf(watchers) && now-state.halfAccusedSince >= halfAccusedRemoveAfter && c.accusedByOwnSite(v, i) {
				halfAccused = append(halfAccused, i)
			}
		case accusing >= lowWatermark(watchers) && accusingOrUnresponsive >= highWatermark(watchers) && now-state.lowWatermarkSince >= refutationGrace:
			removed = append(removed, i)
		case accusingOrUnresponsive >= lowWatermark(watchers):
			clear = false
		}
	}
	if len(halfAccused) <= max(1, len(v.Members)/10) {
		removed = append(removed, halfAccused...)
	}
	for _, i := range c.departed {
		if !slices.Contains(removed, i) {
			removed = append(removed, i)
		}
	}
	slices.Sort(removed)
	return removed, clear
}

// accusedByOwnSite reports whether half of a member's watchers at its own site accuse it. It is
// true for a member without such watchers.
func (c *cutDetector) accusedByOwnSite(v *View, i uint32) bool {
	siteWatchers, accusers := 0, 0
	for slot, watcher := range v.watchers[i] {
		if v.Members[watcher].Site != v.Members[i].Site {
			continue
		}
		siteWatchers++
		if c.subjects[i].accusers&(1<<slot) != 0 {
			accusers++
		}
	}
	return 2*accusers >= siteWatchers
}

// supportsRemoval reports whether this node's information supports removing a member.
func (c *cutDetector) supportsRemoval(v *View, i uint32, now time.Duration) bool {
	if slices.Contains(c.departed, i) {
		return true
	}
	if !c.accused(v, i) {
		return false
	}
	// The tolerance of one second covers the time that alerts take to spread.
	state := c.subjects[i]
	return !state.refutes(now) || state.halfAccusedSince > 0 && now-state.halfAccusedSince >= halfAccusedRemoveAfter-time.Second && c.accusedByOwnSite(v, i)
}

// refuteAccusations queues a refutation if this node is accused, at most one per
// refutationInterval.
func (n *Node) refuteAccusations() {
	if !n.detector.accused(n.view, n.index) {
		return
	}
	state := n.detector.subject(n.index)
	if state.refutedAt > 0 && n.now-state.refutedAt < refutationInterval {
		return
	}
	state.refutationSeq++
	state.refutedAt = n.now
	n.queue.add(gossipItem{refutation: true, subject: n.index}, n.copiesPerItem())
}
