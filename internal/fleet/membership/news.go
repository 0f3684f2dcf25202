package membership

import (
	"cmp"
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// newsItem names something that is passed on; what it says is read when it goes out.
type newsItem struct {
	alert, alive, leaving bool
	subject, slot         uint32
}

// news is what this node still passes on, each item some times.
type news struct {
	left   map[newsItem]int
	queue  []newsItem // those in left, in the order that they came
	tokens float64    // bytes
	filled time.Duration

	repeated time.Duration
	turn     int
}

func (q *news) clear() { q.left, q.queue = map[newsItem]int{}, q.queue[:0] }

func (q *news) add(i newsItem, copies int) {
	if _, there := q.left[i]; !there {
		if len(q.queue) >= mostNewsKept {
			return
		}
		q.queue = append(q.queue, i)
	}
	q.left[i] = copies
}

// Bytes that an item takes, at the most.
const itemBytes = 10

// pick fills a message with the items that were passed on least.
func (q *news) pick(n *Node, m *Message, bytes int) int {
	slices.SortStableFunc(q.queue, func(a, b newsItem) int { return cmp.Compare(q.left[b], q.left[a]) })
	used := 0
	for _, i := range q.queue {
		if used+itemBytes > bytes {
			break
		}
		used += itemBytes
		r := n.cut.rows[i.subject]
		switch {
		case i.leaving:
			m.Leaving = append(m.Leaving, Leave{i.subject, slices.Contains(n.cut.ended, i.subject)})
		case i.alive:
			m.Alive = append(m.Alive, Alive{i.subject, r.aliveSeq})
		default:
			m.Alerts = append(m.Alerts, Alert{i.subject, i.slot, r.seqs[i.slot], r.down&(1<<i.slot) != 0})
		}
		q.left[i]--
	}
	q.queue = slices.DeleteFunc(q.queue, func(i newsItem) bool {
		if q.left[i] > 0 {
			return false
		}
		delete(q.left, i)
		return true
	})
	return used
}

// gossip passes news on to some members, within the budget, and the state of a decision while there is one.
func (n *Node) gossip() {
	q := &n.news
	q.tokens = min(float64(n.set.Budget), q.tokens+float64(n.set.Budget)*(n.now-q.filled).Seconds())
	q.filled = n.now
	n.repeat()
	b := &n.vote
	voting := b.cur.Ballot != 0 && n.now-b.grown < ballotLong
	if len(n.view.Members) < 2 || len(q.queue) == 0 && !voting && b.tell == 0 {
		return
	}
	for range min(n.set.Fanout, len(n.view.Members)-1) {
		to, ok := n.someone()
		if !ok {
			return
		}
		m := &Message{Kind: Gossip}
		if q.tokens > 0 && len(q.queue) > 0 {
			q.tokens -= float64(q.pick(n, m, n.set.MostNews))
		}
		switch {
		case voting:
			m.Vote, m.Change = n.ballot(b.cur, b.proposals[b.cur.Value])
		case b.tell > 0 && b.last != nil:
			m.Vote, m.Change = n.ballot(*b.last, b.made)
		}
		if m.Vote != nil || len(m.Alerts)+len(m.Alive)+len(m.Leaving) > 0 {
			n.send(to, m)
		}
	}
	b.tell = max(0, b.tell-1)
}

// repeat passes a part of what is held against members on again, once in a while: gossip alone may miss some.
func (n *Node) repeat() {
	q := &n.news
	if len(q.queue) > 0 || len(n.cut.rows) == 0 || n.now-q.repeated < n.set.Period {
		return
	}
	q.repeated = n.now
	rows := make([]uint32, 0, len(n.cut.rows))
	for i, r := range n.cut.rows {
		if r.down != 0 {
			rows = append(rows, i)
		}
	}
	slices.Sort(rows)
	items := n.set.MostNews / 2 / itemBytes
	for k := 0; k < len(rows) && items > 0; k++ {
		i := rows[(q.turn+k)%len(rows)]
		for _, a := range n.against(i) {
			q.add(newsItem{alert: true, subject: i, slot: a.Slot}, 1)
			items--
		}
	}
	q.turn++
}

// ballot is a copy of a decision's state for a message, with the proposal if it is short.
func (n *Node) ballot(v Vote, p *Proposal) (*Vote, *Proposal) {
	if v.Value != 0 {
		v.Promises = nil
		v.Accepts = slices.Clone(v.Accepts)
	} else {
		v.Promises = slices.Clone(v.Promises)
		p = nil
	}
	if p != nil && p.bytes() > mostInline {
		p = nil
	}
	return &v, p
}

// bytes is about what a proposal takes.
func (p *Proposal) bytes() int { return 16 + 3*len(p.Remove) + 64*len(p.Add) }

// someone draws a member to talk to: not this one, and rather one that is not silent.
func (n *Node) someone() (netip.AddrPort, bool) {
	for try := range 8 {
		i := uint32(n.rng.IntN(len(n.view.Members)))
		if i != n.at && (try > 5 || !n.silent(i)) {
			return n.view.Members[i].Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// heardNews takes what a message of the same view brings.
func (n *Node) heardNews(m *Message) {
	for _, a := range m.Alerts {
		if int(a.Subject) < len(n.view.Members) && int(a.Slot) < len(n.view.watchers[a.Subject]) && n.view.watchers[a.Subject][a.Slot] == n.at {
			continue // what this node holds it knows best
		}
		if n.cut.alert(n.view, a, n.now) {
			n.news.add(newsItem{alert: true, subject: a.Subject, slot: a.Slot}, n.copies())
		}
	}
	for _, a := range m.Alive {
		if a.Member != n.at && n.cut.lives(n.view, a, n.now) {
			n.news.add(newsItem{alive: true, subject: a.Member}, n.copies())
		}
	}
	for _, l := range m.Leaving {
		if int(l.Member) < len(n.view.Members) && (l.Member != n.at || !l.Ended) {
			n.leaving(l)
		}
	}
}

func (n *Node) leaving(l Leave) {
	if n.cut.leaves(l.Member, l.Ended) {
		n.cut.changed = n.now
		n.news.add(newsItem{leaving: true, subject: l.Member}, n.copies())
	}
}

// reason says what led to a change, for the log.
func (n *Node) reason(p *Proposal) string {
	var s strings.Builder
	for k, i := range p.Remove {
		if k == 4 {
			fmt.Fprintf(&s, " and %d more out;", len(p.Remove)-k)
			break
		}
		m := &n.view.Members[i]
		switch r := n.cut.rows[i]; {
		case slices.Contains(n.cut.left, i):
			fmt.Fprintf(&s, " %s left;", m.Name)
		case slices.ContainsFunc(p.Add, func(a Member) bool { return a.Addr == m.Addr }):
			fmt.Fprintf(&s, " %s started anew;", m.Name)
		case r == nil:
			fmt.Fprintf(&s, " %s out;", m.Name)
		default:
			fmt.Fprintf(&s, " %s out, accused by %d of %d;", m.Name, bits.OnesCount16(r.down), len(n.view.watchers[i]))
		}
	}
	for k := range p.Add {
		if k == 4 {
			fmt.Fprintf(&s, " and %d more in;", len(p.Add)-k)
			break
		}
		fmt.Fprintf(&s, " %s in;", p.Add[k].Name)
	}
	fmt.Fprintf(&s, " %d of %d votes", n.vote.cur.Accepts.count(), len(n.view.Members))
	return strings.TrimSpace(s.String())
}
