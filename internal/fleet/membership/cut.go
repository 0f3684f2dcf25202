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
	left    []uint32      // who has said that it goes
}

type row struct {
	seqs     [16]uint32 // the latest from each watcher
	down     uint16     // who accuses
	alive    time.Duration
	aliveSeq uint32
	halved   time.Duration // since when half of the watchers accuse; 0: they don't
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
	if int(a.Subject) >= len(v.Members) || int(a.Slot) >= len(v.watchers[a.Subject]) {
		return false
	}
	r := c.row(a.Subject)
	if a.Seq <= r.seqs[a.Slot] {
		return false
	}
	r.seqs[a.Slot] = a.Seq
	if a.Down {
		r.down |= 1 << a.Slot
	} else {
		r.down &^= 1 << a.Slot
	}
	if accusers := bits.OnesCount16(r.down); accusers < half(len(v.watchers[a.Subject])) {
		r.halved = 0
	} else if r.halved == 0 {
		r.halved = now
	}
	c.changed = now
	return true
}

// lives books a member's own word.
func (c *cut) lives(v *View, a Alive, now time.Duration) bool {
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

func (c *cut) leaves(i uint32) bool {
	if slices.Contains(c.left, i) {
		return false
	}
	c.left = append(c.left, i)
	return true
}

// speaks tells whether a member has lately said that it lives.
func (r *row) speaks(now time.Duration) bool { return r.alive > 0 && now-r.alive < aliveFresh }

// accused tells whether so many accuse a member that it is no noise.
func (c *cut) accused(v *View, i uint32) bool {
	r := c.rows[i]
	return r != nil && bits.OnesCount16(r.down) >= low(len(v.watchers[i])) && r.down != 0
}

// count is how many accuse a member. A watcher that is itself accused and does not speak can't tell, and
// counts as if it did.
func (c *cut) count(v *View, i uint32, now time.Duration) (explicit, all int) {
	r := c.rows[i]
	for s, w := range v.watchers[i] {
		if r.down&(1<<s) != 0 {
			explicit++
			all++
		} else if c.accused(v, w) && !c.rows[w].speaks(now) {
			all++
		}
	}
	return explicit, all
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
		case explicit >= low(k) && all >= high(k):
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

// ownSite tells whether half of a member's watchers at its own site accuse it, if there are any.
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
	r := c.rows[i]
	return !r.speaks(now) || bits.OnesCount16(r.down) >= half(len(v.watchers[i]))
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
