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
type gossipItem struct {
	alert, refutation, departure bool
	subject, slot                uint32
}

// mostCopies is more than an item is passed on, whatever the fleet's size.
const maxCopies = 32

// news is what this node still passes on, each item some times. Items wait in a line for each number of times that they
// are still to be passed on, so that a storm of thousands costs no sorting; an entry that is not at its item's number
// any more is void.
type gossipQueue struct {
	copiesLeft map[gossipItem]int
	buckets    [maxCopies]fifo
	tokens     float64 // bytes
	refilledAt time.Duration

	lastRepeat   time.Duration
	repeatOffset int
}

// line is a queue.
type fifo struct {
	items []gossipItem
	head  int
}

func (l *fifo) push(i gossipItem) {
	if l.head > 0 && len(l.items) == cap(l.items) { // no longer than what waits
		l.items = append(l.items[:0], l.items[l.head:]...)
		l.head = 0
	}
	l.items = append(l.items, i)
}

func (q *gossipQueue) clear() {
	q.copiesLeft = map[gossipItem]int{}
	for i := range q.buckets {
		q.buckets[i].items, q.buckets[i].head = q.buckets[i].items[:0], 0
	}
}

func (q *gossipQueue) add(i gossipItem, copies int) {
	copies = min(copies, maxCopies-1)
	had, there := q.copiesLeft[i]
	if !there && len(q.copiesLeft) >= maxGossipItems {
		return
	}
	if q.copiesLeft[i] = copies; had != copies {
		q.buckets[copies].push(i)
	}
}

// Bytes that an item takes, at the most.
const maxItemBytes = 10

// tidy drops the void entries of lines that have grown long of them.
func (q *gossipQueue) compact() {
	for c := range q.buckets {
		l := &q.buckets[c]
		if len(l.items)-l.head < 2*maxGossipItems {
			continue
		}
		had := make(map[gossipItem]bool, maxGossipItems)
		kept := l.items[:0]
		for _, i := range l.items[l.head:] {
			if q.copiesLeft[i] == c && !had[i] {
				had[i] = true
				kept = append(kept, i)
			}
		}
		l.items, l.head = kept, 0
	}
}

// pick fills a message with the items that were passed on least, each once.
func (q *gossipQueue) fill(n *Node, m *Message, bytes int) int {
	used := 0
	var ends [maxCopies]int // what moves down a line meanwhile is not of this message
	for c := range q.buckets {
		ends[c] = len(q.buckets[c].items) - q.buckets[c].head
	}
	for c := maxCopies - 1; c > 0; c-- {
		l := &q.buckets[c]
		for ; ends[c] > 0 && used+maxItemBytes <= bytes; ends[c]-- {
			i := l.items[l.head]
			if l.head++; l.head == len(l.items) {
				l.items, l.head = l.items[:0], 0
			}
			if q.copiesLeft[i] != c {
				continue
			}
			if c == 1 {
				delete(q.copiesLeft, i)
			} else {
				q.copiesLeft[i] = c - 1
				q.buckets[c-1].push(i)
			}
			used += maxItemBytes
			r := n.detector.subjects[i.subject]
			switch {
			case i.departure:
				m.Departures = append(m.Departures, Departure{i.subject, slices.Contains(n.detector.ended, i.subject)})
			case i.refutation:
				m.Refutations = append(m.Refutations, Refutation{i.subject, r.refutationSeq})
			default:
				m.Alerts = append(m.Alerts, Alert{i.subject, i.slot, r.alertSeqs[i.slot], r.accusers&(1<<i.slot) != 0})
			}
		}
	}
	return used
}

// gossip passes news on to some members, within the budget, and the state of a decision while there is one.
func (n *Node) gossip() {
	q := &n.queue
	q.tokens = min(float64(n.settings.NewsBytesPerSecond), q.tokens+float64(n.settings.NewsBytesPerSecond)*(n.now-q.refilledAt).Seconds())
	q.refilledAt = n.now
	n.repeatAccusations()
	q.compact()
	b := &n.ballots
	voting := b.current.Ballot != 0 && n.now-b.progressAt < ballotTimeout
	if len(n.view.Members) < 2 || len(q.copiesLeft) == 0 && !voting && b.announcementsLeft == 0 {
		return
	}
	for range min(n.settings.Fanout, len(n.view.Members)-1) {
		to, ok := n.randomMember()
		if !ok {
			return
		}
		m := &Message{Kind: Gossip}
		if q.tokens > 0 && len(q.copiesLeft) > 0 {
			q.tokens -= float64(q.fill(n, m, n.settings.MaxNewsBytes))
		}
		switch {
		case voting:
			m.Vote, m.Proposal = n.voteForMessage(b.current, b.proposals[b.current.Value])
		case b.announcementsLeft > 0 && b.decidedVote != nil:
			m.Vote, m.Proposal = n.voteForMessage(*b.decidedVote, b.decidedProposal)
		}
		if m.Vote != nil || len(m.Alerts)+len(m.Refutations)+len(m.Departures) > 0 {
			n.send(to, m)
		}
	}
	b.announcementsLeft = max(0, b.announcementsLeft-1)
}

// repeat passes a part of what is held against members on again, once in a while: gossip alone may miss some.
func (n *Node) repeatAccusations() {
	q := &n.queue
	if len(q.copiesLeft) > 0 || len(n.detector.subjects) == 0 || n.now-q.lastRepeat < n.settings.ProbeInterval {
		return
	}
	q.lastRepeat = n.now
	rows := make([]uint32, 0, len(n.detector.subjects))
	for i, r := range n.detector.subjects {
		if r.accusers != 0 {
			rows = append(rows, i)
		}
	}
	slices.Sort(rows)
	items := n.settings.MaxNewsBytes / 2 / maxItemBytes
	for k := 0; k < len(rows) && items > 0; k++ {
		i := rows[(q.repeatOffset+k)%len(rows)]
		for _, a := range n.accusationsOf(i) {
			q.add(gossipItem{alert: true, subject: i, slot: a.WatcherSlot}, 1)
			items--
		}
	}
	q.repeatOffset++
}

// ballot is a copy of a decision's state for a message, with the proposal if it is short.
func (n *Node) voteForMessage(v Vote, p *Proposal) (*Vote, *Proposal) {
	if v.Value != 0 {
		v.Promises, v.PromisersWithValue = nil, nil
		v.Accepts = slices.Clone(v.Accepts)
	} else {
		v.Promises, v.PromisersWithValue = slices.Clone(v.Promises), slices.Clone(v.PromisersWithValue)
		p = nil
	}
	if p != nil && p.approxBytes() > maxInlineProposalBytes {
		p = nil
	}
	return &v, p
}

// bytes is about what a proposal takes.
func (p *Proposal) approxBytes() int { return 16 + 3*len(p.Remove) + 64*len(p.Add) }

// someone draws a member to talk to: not this one, and rather one that is not silent.
func (n *Node) randomMember() (netip.AddrPort, bool) {
	for try := range 8 {
		i := uint32(n.rng.IntN(len(n.view.Members)))
		if i != n.index && (try > 5 || !n.isSilent(i)) {
			return n.view.Members[i].Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// heardNews takes what a message of the same view brings.
func (n *Node) mergeNews(m *Message) {
	for _, a := range m.Alerts {
		if int(a.Subject) < len(n.view.Members) && int(a.WatcherSlot) < len(n.view.watchers[a.Subject]) && n.view.watchers[a.Subject][a.WatcherSlot] == n.index {
			continue // what this node holds it knows best
		}
		if n.detector.recordAlert(n.view, a, n.now) {
			n.queue.add(gossipItem{alert: true, subject: a.Subject, slot: a.WatcherSlot}, n.copiesPerItem())
		}
	}
	for _, a := range m.Refutations {
		if a.Member != n.index && n.detector.recordRefutation(n.view, a, n.now) {
			n.queue.add(gossipItem{refutation: true, subject: a.Member}, n.copiesPerItem())
		}
	}
	for _, l := range m.Departures {
		if int(l.Member) < len(n.view.Members) && (l.Member != n.index || !l.Ended) {
			n.recordDeparture(l)
		}
	}
}

func (n *Node) recordDeparture(l Departure) {
	if n.detector.recordDeparture(l.Member, l.Ended) {
		n.detector.changedAt = n.now
		n.queue.add(gossipItem{departure: true, subject: l.Member}, n.copiesPerItem())
	}
}

// reason says what led to a change, for the log.
func (n *Node) describeChange(p *Proposal) string {
	var s strings.Builder
	for k, i := range p.Remove {
		if k == 4 {
			fmt.Fprintf(&s, " and %d more out;", len(p.Remove)-k)
			break
		}
		m := &n.view.Members[i]
		switch r := n.detector.subjects[i]; {
		case slices.Contains(n.detector.departed, i):
			fmt.Fprintf(&s, " %s left;", m.Name)
		case slices.ContainsFunc(p.Add, func(a Member) bool { return a.Addr == m.Addr }):
			fmt.Fprintf(&s, " %s started anew;", m.Name)
		case r == nil:
			fmt.Fprintf(&s, " %s out;", m.Name)
		default:
			fmt.Fprintf(&s, " %s out, accused by %d of %d;", m.Name, bits.OnesCount16(r.accusers), len(n.view.watchers[i]))
		}
	}
	for k := range p.Add {
		if k == 4 {
			fmt.Fprintf(&s, " and %d more in;", len(p.Add)-k)
			break
		}
		fmt.Fprintf(&s, " %s in;", p.Add[k].Name)
	}
	fmt.Fprintf(&s, " %d of %d votes", n.ballots.current.Accepts.count(), len(n.view.Members))
	return strings.TrimSpace(s.String())
}
