package membership

import (
	"math/bits"
	"slices"
	"time"
)

// cut is what is held against whom in this view: which watchers accuse, and who says that it lives.
type cut struct {
	rows    map[uint32]*row
	changed time.Duration // the last news
	ripe    time.Duration // since when somebody is to be taken out; 0: nobody is
	left    []uint32      // who has said that it goes, or has ended for certain
	ended   []uint32      // of these, whose address another life has
}

type row struct {
	seqs     [16]uint32 // the latest from each watcher
	down     uint16     // who accuses
	alive    time.Duration
	aliveSeq uint32
	halved   time.Duration // since when half of the watchers accuse; 0: they don't
	since    time.Duration // since when so many do that it is no noise; 0: they don't
}

func (c *cut) row(i uint32) *row {
	if c.rows == nil {
		c.rows = map[uint32]*row{}
	}
	r := c.rows[i]
	if r == nil {
		r = &row{}
		c.rows[i] = r
	}
	return r
}

// alert books an accusation, or its end, and tells whether it was news.
func (c *cut) alert(v *View, a Alert, now time.Duration) bool {
	if int(a.Subject) >= len(v.Members) || int(a.WatcherSlot) >= len(v.watchers[a.Subject]) {
		return false
	}
	r := c.row(a.Subject)
	if a.Seq <= r.seqs[a.WatcherSlot] {
		return false
	}
	r.seqs[a.WatcherSlot] = a.Seq
	if a.Down {
		r.down |= 1 << a.WatcherSlot
	} else {
		r.down &^= 1 << a.WatcherSlot
	}
	accusers, k := bits.OnesCount16(r.down), len(v.watchers[a.Subject])
	since(&r.halved, accusers >= half(k), now)
	since(&r.since, accusers >= low(k), now)
	c.changed = now
	return true
}

// since keeps the time from which something has held.
func since(at *time.Duration, holds bool, now time.Duration) {
	if !holds {
		*at = 0
	} else if *at == 0 {
		*at = now
	}
}

// lives books a member's own word.
func (c *cut) lives(v *View, a Refutation, now time.Duration) bool {
	if int(a.Member) >= len(v.Members) {
		return false
	}
	r := c.row(a.Member)
	if a.Seq <= r.aliveSeq {
		return false
	}
	r.aliveSeq, r.alive = a.Seq, now
	return true
}

// leaves books that a member goes; or has ended, for certain: another life has its address.
func (c *cut) leaves(i uint32, ended bool) bool {
	isNew := false
	if !slices.Contains(c.left, i) {
		c.left, isNew = append(c.left, i), true
	}
	if ended && !slices.Contains(c.ended, i) {
		c.ended, isNew = append(c.ended, i), true
	}
	return isNew
}

// speaks tells whether a member has lately said that it lives.
func (r *row) speaks(now time.Duration) bool { return r.alive > 0 && now-r.alive < aliveFresh }

// accused tells whether so many accuse a member that it is no noise.
func (c *cut) accused(v *View, i uint32) bool {
	r := c.rows[i]
	return r != nil && bits.OnesCount16(r.down) >= low(len(v.watchers[i])) && r.down != 0
}

// count is how many accuse a member. A watcher that is itself accused, and has not spoken in the time in which its
// word would have come, can't tell, and counts as if it did.
func (c *cut) count(v *View, i uint32, now time.Duration) (explicit, all int) {
	r := c.rows[i]
	for s, w := range v.watchers[i] {
		if r.down&(1<<s) != 0 {
			explicit++
			all++
		} else if c.mute(w, now) {
			all++
		}
	}
	return explicit, all
}

// mute tells whether a member has been accused for so long that its own word would have come, and has not.
func (c *cut) mute(i uint32, now time.Duration) bool {
	r := c.rows[i]
	return r != nil && r.since > 0 && now-r.since >= wordWithin && !r.speaks(now)
}

// verdict says who is to be taken out of the view, and whether that is clear: nobody stands between the
// two watermarks. Who speaks is taken out only where half of its watchers have long had no contact, its
// own site's among them, and there are few such: many are a cut between sites, not members that fail.
func (c *cut) verdict(v *View, now time.Duration) (out []uint32, clear bool) {
	clear = true
	var halved []uint32
	for i, r := range c.rows {
		if r.down == 0 {
			continue
		}
		explicit, all := c.count(v, i, now)
		k := len(v.watchers[i])
		switch {
		case r.speaks(now):
			if explicit >= half(k) && now-r.halved >= halfAfter && c.ownSite(v, i) {
				halved = append(halved, i)
			}
		case explicit >= low(k) && all >= high(k) && now-r.since >= wordFirst:
			out = append(out, i)
		case all >= low(k):
			clear = false
		}
	}
	if len(halved) <= max(1, len(v.Members)/10) {
		out = append(out, halved...)
	}
	for _, i := range c.left {
		if !slices.Contains(out, i) {
			out = append(out, i)
		}
	}
	slices.Sort(out)
	return out, clear
}

// ownSite tells whether half of a member's watchers at its own site accuse it. One that is alone at its site has none.
func (c *cut) ownSite(v *View, i uint32) bool {
	same, accuse := 0, 0
	for s, w := range v.watchers[i] {
		if v.Members[w].Site != v.Members[i].Site {
			continue
		}
		same++
		if c.rows[i].down&(1<<s) != 0 {
			accuse++
		}
	}
	return 2*accuse >= same
}

// supports tells whether what is known here speaks for taking a member out.
func (c *cut) supports(v *View, i uint32, now time.Duration) bool {
	if slices.Contains(c.left, i) {
		return true
	}
	if !c.accused(v, i) {
		return false
	}
	// Clocks differ by what news takes to come here.
	r := c.rows[i]
	return !r.speaks(now) || r.halved > 0 && now-r.halved >= halfAfter-time.Second && c.ownSite(v, i)
}

// defend speaks up where this node is accused.
func (n *Node) defend() {
	if !n.cut.accused(n.view, n.at) {
		return
	}
	r := n.cut.row(n.at)
	if r.alive > 0 && n.now-r.alive < aliveEvery {
		return
	}
	r.aliveSeq++
	r.alive = n.now
	n.news.add(newsItem{alive: true, subject: n.at}, n.copies())
}
