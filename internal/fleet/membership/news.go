package membership

import (
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

// mostCopies is more than an item is passed on, whatever the fleet's size.
const mostCopies = 32

// news is what this node still passes on, each item some times. Items wait in a line for each number of times that they
// are still to be passed on, so that a storm of thousands costs no sorting; an entry that is not at its item's number
// any more is void.
type news struct {
	left   map[newsItem]int
	lines  [mostCopies]line
	tokens float64 // bytes
	filled time.Duration

	repeated time.Duration
	turn     int
}

// line is a queue.
type line struct {
	items []newsItem
	head  int
}

func (l *line) push(i newsItem) {
	if l.head > 0 && len(l.items) == cap(l.items) { // no longer than what waits
		l.items = append(l.items[:0], l.items[l.head:]...)
		l.head = 0
	}
	l.items = append(l.items, i)
}

func (q *news) clear() {
	q.left = map[newsItem]int{}
	for i := range q.lines {
		q.lines[i].items, q.lines[i].head = q.lines[i].items[:0], 0
	}
}

func (q *news) add(i newsItem, copies int) {
	copies = min(copies, mostCopies-1)
	had, there := q.left[i]
	if !there && len(q.left) >= mostNewsKept {
		return
	}
	if q.left[i] = copies; had != copies {
		q.lines[copies].push(i)
	}
}

// Bytes that an item takes, at the most.
const itemBytes = 10

// tidy drops the void entries of lines that have grown long of them.
func (q *news) tidy() {
	for c := range q.lines {
		l := &q.lines[c]
		if len(l.items)-l.head < 2*mostNewsKept {
			continue
		}
		had := make(map[newsItem]bool, mostNewsKept)
		kept := l.items[:0]
		for _, i := range l.items[l.head:] {
			if q.left[i] == c && !had[i] {
				had[i] = true
				kept = append(kept, i)
			}
		}
		l.items, l.head = kept, 0
	}
}

// pick fills a message with the items that were passed on least, each once.
func (q *news) pick(n *Node, m *Message, bytes int) int {
	used := 0
	var ends [mostCopies]int // what moves down a line meanwhile is not of this message
	for c := range q.lines {
		ends[c] = len(q.lines[c].items) - q.lines[c].head
	}
	for c := mostCopies - 1; c > 0; c-- {
		l := &q.lines[c]
		for ; ends[c] > 0 && used+itemBytes <= bytes; ends[c]-- {
			i := l.items[l.head]
			if l.head++; l.head == len(l.items) {
				l.items, l.head = l.items[:0], 0
			}
			if q.left[i] != c {
				continue
			}
			if c == 1 {
				delete(q.left, i)
			} else {
				q.left[i] = c - 1
				q.lines[c-1].push(i)
			}
			used += itemBytes
			r := n.cut.rows[i.subject]
			switch {
			case i.leaving:
				m.Departures = append(m.Departures, Departure{i.subject, slices.Contains(n.cut.ended, i.subject)})
			case i.alive:
				m.Refutations = append(m.Refutations, Refutation{i.subject, r.aliveSeq})
			default:
				m.Alerts = append(m.Alerts, Alert{i.subject, i.slot, r.seqs[i.slot], r.down&(1<<i.slot) != 0})
			}
		}
	}
	return used
}

// gossip passes news on to some members, within the budget, and the state of a decision while there is one.
func (n *Node) gossip() {
	q := &n.news
	q.tokens = min(float64(n.set.NewsBytesPerSecond), q.tokens+float64(n.set.NewsBytesPerSecond)*(n.now-q.filled).Seconds())
	q.filled = n.now
	n.repeat()
	q.tidy()
	b := &n.vote
	voting := b.cur.Ballot != 0 && n.now-b.grown < ballotLong
	if len(n.view.Members) < 2 || len(q.left) == 0 && !voting && b.tell == 0 {
		return
	}
	for range min(n.set.Fanout, len(n.view.Members)-1) {
		to, ok := n.someone()
		if !ok {
			return
		}
		m := &Message{Kind: Gossip}
		if q.tokens > 0 && len(q.left) > 0 {
			q.tokens -= float64(q.pick(n, m, n.set.MaxNewsBytes))
		}
		switch {
		case voting:
			m.Vote, m.Proposal = n.ballot(b.cur, b.proposals[b.cur.Value])
		case b.tell > 0 && b.last != nil:
			m.Vote, m.Proposal = n.ballot(*b.last, b.made)
		}
		if m.Vote != nil || len(m.Alerts)+len(m.Refutations)+len(m.Departures) > 0 {
			n.send(to, m)
		}
	}
	b.tell = max(0, b.tell-1)
}

// repeat passes a part of what is held against members on again, once in a while: gossip alone may miss some.
func (n *Node) repeat() {
	q := &n.news
	if len(q.left) > 0 || len(n.cut.rows) == 0 || n.now-q.repeated < n.set.ProbeInterval {
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
	items := n.set.MaxNewsBytes / 2 / itemBytes
	for k := 0; k < len(rows) && items > 0; k++ {
		i := rows[(q.turn+k)%len(rows)]
		for _, a := range n.against(i) {
			q.add(newsItem{alert: true, subject: i, slot: a.WatcherSlot}, 1)
			items--
		}
	}
	q.turn++
}

// ballot is a copy of a decision's state for a message, with the proposal if it is short.
func (n *Node) ballot(v Vote, p *Proposal) (*Vote, *Proposal) {
	if v.Value != 0 {
		v.Promises, v.PromisersWithValue = nil, nil
		v.Accepts = slices.Clone(v.Accepts)
	} else {
		v.Promises, v.PromisersWithValue = slices.Clone(v.Promises), slices.Clone(v.PromisersWithValue)
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
		if int(a.Subject) < len(n.view.Members) && int(a.WatcherSlot) < len(n.view.watchers[a.Subject]) && n.view.watchers[a.Subject][a.WatcherSlot] == n.at {
			continue // what this node holds it knows best
		}
		if n.cut.alert(n.view, a, n.now) {
			n.news.add(newsItem{alert: true, subject: a.Subject, slot: a.WatcherSlot}, n.copies())
		}
	}
	for _, a := range m.Refutations {
		if a.Member != n.at && n.cut.lives(n.view, a, n.now) {
			n.news.add(newsItem{alive: true, subject: a.Member}, n.copies())
		}
	}
	for _, l := range m.Departures {
		if int(l.Member) < len(n.view.Members) && (l.Member != n.at || !l.Ended) {
			n.leaving(l)
		}
	}
}

func (n *Node) leaving(l Departure) {
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
