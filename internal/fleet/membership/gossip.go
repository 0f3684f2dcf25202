package membership

import (
	"fmt"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// gossipItem identifies a piece of information to gossip. Its content is read from the detector
// when it is sent. Exactly one of the flags is set.
type gossipItem struct {
	alert, refutation, departure bool
	subject, slot                uint32
}

// maxCopies is above copiesPerItem for any size of the fleet.
const maxCopies = 32

// gossipQueue holds the items that this node still has to send, each a number of times. There is a
// FIFO for each number of copies left, so that thousands of items at once need no sorting. An entry
// is stale if its item has another number of copies left by now.
type gossipQueue struct {
	copiesLeft map[gossipItem]int
	buckets    [maxCopies]fifo // by copies left
	tokens     float64         // token bucket, in bytes
	refilledAt time.Duration

	lastRepeat   time.Duration
	repeatOffset int // first subject of the next repetition
}

// fifo is a queue of gossip items.
type fifo struct {
	items []gossipItem
	head  int
}

func (l *fifo) push(item gossipItem) {
	if l.head > 0 && len(l.items) == cap(l.items) { // reuse the space of removed items before growing
		l.items = append(l.items[:0], l.items[l.head:]...)
		l.head = 0
	}
	l.items = append(l.items, item)
}

// clear removes all items and keeps the memory of the queues.
func (q *gossipQueue) clear() {
	q.copiesLeft = map[gossipItem]int{}
	for i := range q.buckets {
		q.buckets[i].items, q.buckets[i].head = q.buckets[i].items[:0], 0
	}
}

// add queues an item for the given number of copies. It is ignored if the queue is full.
func (q *gossipQueue) add(item gossipItem, copies int) {
	copies = min(copies, maxCopies-1)
	previous, queued := q.copiesLeft[item]
	if !queued && len(q.copiesLeft) >= maxGossipItems {
		return
	}
	if q.copiesLeft[item] = copies; previous != copies {
		q.buckets[copies].push(item)
	}
}

// maxItemBytes is the largest encoded size of an item.
const maxItemBytes = 10

// compact drops the stale and duplicate entries of long queues.
func (q *gossipQueue) compact() {
	for copies := range q.buckets {
		queue := &q.buckets[copies]
		if len(queue.items)-queue.head < 2*maxGossipItems {
			continue
		}
		seen := make(map[gossipItem]bool, maxGossipItems)
		kept := queue.items[:0]
		for _, item := range queue.items[queue.head:] {
			if q.copiesLeft[item] == copies && !seen[item] {
				seen[item] = true
				kept = append(kept, item)
			}
		}
		queue.items, queue.head = kept, 0
	}
}

// fill adds items to a message, those with the most copies left first, each once, up to a number of
// bytes. It returns the number of bytes used.
func (q *gossipQueue) fill(n *Node, m *Message, bytes int) int {
	used := 0
	var remaining [maxCopies]int // items that move to the next bucket meanwhile are not sent again in this message
	for copies := range q.buckets {
		remaining[copies] = len(q.buckets[copies].items) - q.buckets[copies].head
	}
	for copies := maxCopies - 1; copies > 0; copies-- {
		queue := &q.buckets[copies]
		for ; remaining[copies] > 0 && used+maxItemBytes <= bytes; remaining[copies]-- {
			item := queue.items[queue.head]
			if queue.head++; queue.head == len(queue.items) {
				queue.items, queue.head = queue.items[:0], 0
			}
			if q.copiesLeft[item] != copies {
				continue
			}
			if copies == 1 {
				delete(q.copiesLeft, item)
			} else {
				q.copiesLeft[item] = copies - 1
				q.buckets[copies-1].push(item)
			}
			used += maxItemBytes
			state := n.detector.subjects[item.subject]
			switch {
			case item.departure:
				m.Departures = append(m.Departures, Departure{item.subject, slices.Contains(n.detector.ended, item.subject)})
			case item.refutation:
				m.Refutations = append(m.Refutations, Refutation{item.subject, state.refutationSeq})
			default:
				m.Alerts = append(m.Alerts, Alert{item.subject, item.slot, state.alertSeqs[item.slot], state.accusers&(1<<item.slot) != 0})
			}
		}
	}
	return used
}

// gossip sends queued items to random members, within the byte rate, together with the state of the
// ballot in progress or of a recent decision.
func (n *Node) gossip() {
	q := &n.queue
	q.tokens = min(float64(n.settings.NewsBytesPerSecond), q.tokens+float64(n.settings.NewsBytesPerSecond)*(n.now-q.refilledAt).Seconds())
	q.refilledAt = n.now
	n.repeatAccusations()
	q.compact()
	b := &n.ballots
	balloting := b.current.Ballot != 0 && n.now-b.progressAt < ballotTimeout
	if len(n.view.Members) < 2 || len(q.copiesLeft) == 0 && !balloting && b.announcementsLeft == 0 {
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
		case balloting:
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

// repeatAccusations queues some of the known accusations again from time to time, since gossip may
// not have reached all members.
func (n *Node) repeatAccusations() {
	q := &n.queue
	if len(q.copiesLeft) > 0 || len(n.detector.subjects) == 0 || n.now-q.lastRepeat < n.settings.ProbeInterval {
		return
	}
	q.lastRepeat = n.now
	accused := make([]uint32, 0, len(n.detector.subjects))
	for i, state := range n.detector.subjects {
		if state.accusers != 0 {
			accused = append(accused, i)
		}
	}
	slices.Sort(accused)
	items := n.settings.MaxNewsBytes / 2 / maxItemBytes
	for k := 0; k < len(accused) && items > 0; k++ {
		i := accused[(q.repeatOffset+k)%len(accused)]
		for _, a := range n.accusationsOf(i) {
			q.add(gossipItem{alert: true, subject: i, slot: a.WatcherSlot}, 1)
			items--
		}
	}
	q.repeatOffset++
}

// voteForMessage returns a copy of a vote for a message, with its proposal if that is short.
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

// approxBytes estimates the encoded size of a proposal.
func (p *Proposal) approxBytes() int { return 16 + 3*len(p.Remove) + 64*len(p.Add) }

// randomMember returns the address of a random other member, preferably one that is not silent.
func (n *Node) randomMember() (netip.AddrPort, bool) {
	for attempt := range 8 {
		i := uint32(n.rng.IntN(len(n.view.Members)))
		if i != n.index && (attempt > 5 || !n.isSilent(i)) {
			return n.view.Members[i].Addr, true
		}
	}
	return netip.AddrPort{}, false
}

// mergeNews records the alerts, refutations and departures of a message from the same view, and
// queues those that are new.
func (n *Node) mergeNews(m *Message) {
	for _, a := range m.Alerts {
		if int(a.Subject) < len(n.view.Members) && int(a.WatcherSlot) < len(n.view.watchers[a.Subject]) && n.view.watchers[a.Subject][a.WatcherSlot] == n.index {
			continue // this node is the authority on its own alerts
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
	for _, d := range m.Departures {
		if int(d.Member) < len(n.view.Members) && (d.Member != n.index || !d.Ended) {
			n.recordDeparture(d)
		}
	}
}

// recordDeparture records a departure and queues it if it is new.
func (n *Node) recordDeparture(d Departure) {
	if n.detector.recordDeparture(d.Member, d.Ended) {
		n.detector.changedAt = n.now
		n.queue.add(gossipItem{departure: true, subject: d.Member}, n.copiesPerItem())
	}
}

// describeChange describes a view change and its causes for the log.
func (n *Node) describeChange(p *Proposal) string {
	var text strings.Builder
	for k, i := range p.Remove {
		if k == 4 {
			fmt.Fprintf(&text, " and %d more out;", len(p.Remove)-k)
			break
		}
		m := &n.view.Members[i]
		switch state := n.detector.subjects[i]; {
		case slices.Contains(n.detector.departed, i):
			fmt.Fprintf(&text, " %s left;", m.Name)
		case slices.ContainsFunc(p.Add, func(a Member) bool { return a.Addr == m.Addr }):
			fmt.Fprintf(&text, " %s restarted;", m.Name)
		case state == nil:
			fmt.Fprintf(&text, " %s out;", m.Name)
		default:
			fmt.Fprintf(&text, " %s out, accused by %d of %d;", m.Name, bits.OnesCount16(state.accusers), len(n.view.watchers[i]))
		}
	}
	for k := range p.Add {
		if k == 4 {
			fmt.Fprintf(&text, " and %d more in;", len(p.Add)-k)
			break
		}
		fmt.Fprintf(&text, " %s in;", p.Add[k].Name)
	}
	fmt.Fprintf(&text, " %d of %d votes", n.ballots.current.Accepts.count(), len(n.view.Members))
	return strings.TrimSpace(text.String())
}
