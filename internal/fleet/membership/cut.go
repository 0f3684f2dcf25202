package membership

import (
	"math/bits"
	"slices"
	"time"
)

// cut is what is held against whom in this view: which watchers accuse, and who says that it lives.
type cutDetector struct {
	subjects        map[uint32]*subjectState
	changedAt       time.Duration // the last news
	removalDueSince time.Duration // since when somebody is to be taken out; 0: nobody is
	departed        []uint32      // who has said that it goes, or has ended for certain
	ended           []uint32      // of these, whose address another life has
}

type subjectState struct {
	alertSeqs         [16]uint32 // the latest from each watcher
	accusers          uint16     // who accuses
	refutedAt         time.Duration
	refutationSeq     uint32
	halfAccusedSince  time.Duration // since when half of the watchers accuse; 0: they don't
	lowWatermarkSince time.Duration // since when so many do that it is no noise; 0: they don't
}

func (c *cutDetector) subject(i uint32) *subjectState {
	if c.subjects == nil {
		c.subjects = map[uint32]*subjectState{}
	}
	r := c.subjects[i]
	if r == nil {
		r = &subjectState{}
		c.subjects[i] = r
	}
	return r
}

// alert books an accusation, or its end, and tells whether it was news.
func (c *cutDetector) recordAlert(v *View, a Alert, now time.Duration) bool {
	if int(a.Subject) >= len(v.Members) || int(a.WatcherSlot) >= len(v.watchers[a.Subject]) {
		return false
	}
	r := c.subject(a.Subject)
	if a.Seq <= r.alertSeqs[a.WatcherSlot] {
		return false
	}
	r.alertSeqs[a.WatcherSlot] = a.Seq
	if a.Down {
		r.accusers |= 1 << a.WatcherSlot
	} else {
		r.accusers &^= 1 << a.WatcherSlot
	}
	accusers, k := bits.OnesCount16(r.accusers), len(v.watchers[a.Subject])
	updateSince(&r.halfAccusedSince, accusers >= halfOf(k), now)
	updateSince(&r.lowWatermarkSince, accusers >= lowWatermark(k), now)
	c.changedAt = now
	return true
}

// since keeps the time from which something has held.
func updateSince(at *time.Duration, holds bool, now time.Duration) {
	if !holds {
		*at = 0
	} else if *at == 0 {
		*at = now
	}
}

// lives books a member's own word.
func (c *cutDetector) recordRefutation(v *View, a Refutation, now time.Duration) bool {
	if int(a.Member) >= len(v.Members) {
		return false
	}
	r := c.subject(a.Member)
	if a.Seq <= r.refutationSeq {
		return false
	}
	r.refutationSeq, r.refutedAt = a.Seq, now
	return true
}

// leaves books that a member goes; or has ended, for certain: another life has its address.
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

// speaks tells whether a member has lately said that it lives.
func (r *subjectState) refutes(now time.Duration) bool {
	return r.refutedAt > 0 && now-r.refutedAt < refutationLifetime
}

// accused tells whether so many accuse a member that it is no noise.
func (c *cutDetector) accused(v *View, i uint32) bool {
	r := c.subjects[i]
	return r != nil && bits.OnesCount16(r.accusers) >= lowWatermark(len(v.watchers[i])) && r.accusers != 0
}

// count is how many accuse a member. A watcher that is itself accused, and has not spoken in the time in which its
// word would have come, can't tell, and counts as if it did.
func (c *cutDetector) countAccusers(v *View, i uint32, now time.Duration) (explicit, all int) {
	r := c.subjects[i]
	for s, w := range v.watchers[i] {
		if r.accusers&(1<<s) != 0 {
			explicit++
			all++
		} else if c.unresponsive(w, now) {
			all++
		}
	}
	return explicit, all
}

// mute tells whether a member has been accused for so long that its own word would have come, and has not.
func (c *cutDetector) unresponsive(i uint32, now time.Duration) bool {
	r := c.subjects[i]
	return r != nil && r.lowWatermarkSince > 0 && now-r.lowWatermarkSince >= refutationDeadline && !r.refutes(now)
}

// verdict says who is to be taken out of the view, and whether that is clear: nobody stands between the
// two watermarks. Who speaks is taken out only where half of its watchers have long had no contact, its
// own site's among them, and there are few such: many are a cut between sites, not members that fail.
func (c *cutDetector) removals(v *View, now time.Duration) (out []uint32, clear bool) {
	clear = true
	var halved []uint32
	for i, r := range c.subjects {
		if r.accusers == 0 {
			continue
		}
		explicit, all := c.countAccusers(v, i, now)
		k := len(v.watchers[i])
		switch {
		case r.refutes(now):
			if explicit >= halfOf(k) && now-r.halfAccusedSince >= halfAccusedRemoveAfter && c.accusedByOwnSite(v, i) {
				halved = append(halved, i)
			}
		case explicit >= lowWatermark(k) && all >= highWatermark(k) && now-r.lowWatermarkSince >= refutationGrace:
			out = append(out, i)
		case all >= lowWatermark(k):
			clear = false
		}
	}
	if len(halved) <= max(1, len(v.Members)/10) {
		out = append(out, halved...)
	}
	for _, i := range c.departed {
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	slices.Sort(out)
	return out, clear
}

// ownSite tells whether half of a member's watchers at its own site accuse it. One that is alone at its site has none.
func (c *cutDetector) accusedByOwnSite(v *View, i uint32) bool {
	same, accuse := 0, 0
	for s, w := range v.watchers[i] {
		if v.Members[w].Site != v.Members[i].Site {
			continue
		}
		same++
		if c.subjects[i].accusers&(1<<s) != 0 {
			accuse++
		}
	}
	return 2*accuse >= same
}

// supports tells whether what is known here speaks for taking a member out.
func (c *cutDetector) supportsRemoval(v *View, i uint32, now time.Duration) bool {
	if slices.Contains(c.departed, i) {
		return true
	}
	if !c.accused(v, i) {
		return false
	}
	// Clocks differ by what news takes to come here.
	r := c.subjects[i]
	return !r.refutes(now) || r.halfAccusedSince > 0 && now-r.halfAccusedSince >= halfAccusedRemoveAfter-time.Second && c.accusedByOwnSite(v, i)
}

// defend speaks up where this node is accused.
func (n *Node) refuteAccusations() {
	if !n.detector.accused(n.view, n.index) {
		return
	}
	r := n.detector.subject(n.index)
	if r.refutedAt > 0 && n.now-r.refutedAt < refutationInterval {
		return
	}
	r.refutationSeq++
	r.refutedAt = n.now
	n.queue.add(gossipItem{refutation: true, subject: n.index}, n.copiesPerItem())
}
