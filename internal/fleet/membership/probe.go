package membership

import (
	"fmt"
	"time"
)

// edge is this node's watch of one member.
type edge struct {
	member  Member
	subject uint32 // its place in the view
	slot    uint32 // which of its watchers this node is
	begun   time.Duration
	heard   time.Duration // the last contact; 0: none
	round   time.Duration // when the next round of probes begins
	tries   int           // in this round
	next    time.Duration // when the next attempt is due
	open    [8]sent       // attempts without an answer, the oldest overwritten
	opens   int
	since   int // attempts since the last contact
	down    bool
	seq     uint32 // of what this node says of it

	rounds, lost int // rounds of probes, and those with no answer
	loss         float64
	rtt          time.Duration
	answered     bool // this round was
	knows        bool // it has this view
}

type sent struct {
	seq uint64
	at  time.Duration
}

func (n *Node) edge(m Member) *edge {
	return &edge{member: m, begun: n.now, round: n.now + time.Duration(n.rng.Float64()*float64(n.set.ProbeInterval))}
}

// probe sends what is due and judges who is silent.
func (n *Node) probe() {
	contact := false
	for _, subject := range n.view.watched[n.at] {
		e := n.edges[subject]
		n.probeOne(e)
		contact = contact || e.heard > 0 && n.now-e.heard < 2*n.set.ProbeInterval || e.heard == 0 && n.now-e.begun < 2*n.set.ProbeInterval
	}
	// Who hears nobody at all is itself cut off: it accuses nobody, and afterwards starts to count anew.
	if alone := !contact && len(n.edges) > 1; alone != n.isolated {
		n.isolated = alone
		for _, e := range n.edges {
			if !alone {
				e.begun = n.now
			}
		}
	}
	if n.isolated {
		return
	}
	for _, subject := range n.view.watched[n.at] {
		e := n.edges[subject]
		if silent := n.now - max(e.heard, e.begun); !e.down && silent >= n.set.AccuseAfter && e.since >= 2*attempts {
			e.down = true
			n.stats.Accusations++
			n.accuse(subject, e)
			n.event(Event{Kind: Accused, Member: e.member, Detail: fmt.Sprintf("no contact for %v, %d probes", silent.Round(time.Millisecond), e.since)})
		}
	}
}

func (n *Node) probeOne(e *edge) {
	if n.now >= e.round {
		if e.rounds > 0 {
			x := 0.0
			if !e.answered {
				x = 1
				e.lost++
			}
			e.loss += (x - e.loss) / 16
		}
		e.rounds++
		e.round += n.set.ProbeInterval
		if e.round <= n.now {
			e.round = n.now + n.set.ProbeInterval
		}
		e.tries, e.next, e.answered = 0, n.now, false
	}
	if e.tries < attempts && !e.answered && n.now >= e.next {
		e.tries++
		e.next = n.now + n.set.ProbeRetryInterval
		e.since++
		n.seq++
		e.open[e.opens%len(e.open)] = sent{n.seq, n.now}
		e.opens++
		m := &Message{Kind: Probe, Seq: n.seq, Alerts: n.against(e.subject)}
		// It may be in a view that this node is not in any more; or not have this one yet, and then may not know this node,
		// or, if it has just been let in, nobody.
		if e.down || !e.knows || n.isolated || n.phase == Leaving {
			self := n.self
			m.Self = &self
		}
		n.send(e.member.Addr, m)
	}
}

// accuse makes news of what this node holds of one that it watches.
func (n *Node) accuse(subject uint32, e *edge) {
	e.seq++
	a := Alert{Subject: subject, WatcherSlot: e.slot, Seq: e.seq, Down: e.down}
	if n.cut.alert(n.view, a, n.now) {
		n.news.add(newsItem{alert: true, subject: subject, slot: e.slot}, n.copies())
	}
}

// against is what is held against a member, for itself to hear: it may not have heard it from others.
func (n *Node) against(i uint32) (all []Alert) {
	r := n.cut.rows[i]
	if r == nil || r.down == 0 {
		return nil
	}
	for s := range uint32(len(n.view.watchers[i])) {
		if r.down&(1<<s) != 0 {
			all = append(all, Alert{i, s, r.seqs[s], true})
		}
	}
	return all
}

// answer answers a probe, whoever sent it: the sender learns of this life and its view.
func (n *Node) answer(m *Message) {
	to, ok := n.addressOf(m)
	if !ok {
		return
	}
	ack := &Message{Kind: Ack, Seq: m.Seq}
	if n.view != nil {
		if i, in := n.view.IndexOfLife(m.SenderLife); in {
			ack.Alerts = n.against(i)
		}
		n.defend()
		if r := n.cut.rows[n.at]; r != nil && r.speaks(n.now) {
			ack.Refutations = []Refutation{{n.at, r.aliveSeq}}
		}
	}
	if m.Self != nil {
		self := n.self
		ack.Self = &self
	}
	n.send(to, ack)
}

// acked takes a contact. An answer of another life, or to nothing that was asked, is none.
func (n *Node) acked(m *Message) {
	if t := n.trials[m.SenderLife]; t != nil {
		n.tried(t, m.Seq)
	}
	if n.view == nil {
		return
	}
	i, ok := n.view.IndexOfLife(m.SenderLife)
	e := n.edges[i]
	if !ok || e == nil {
		return
	}
	for k := range e.open {
		if o := &e.open[k]; o.seq == m.Seq && o.seq != 0 {
			if rtt := n.now - o.at; e.rtt == 0 {
				e.rtt = rtt
			} else {
				e.rtt += (rtt - e.rtt) / 8
			}
			*o = sent{}
			e.heard, e.since, e.answered = n.now, 0, true
			e.knows = m.FleetID == n.view.FleetID && m.ViewNumber >= n.view.Number
			if e.down {
				e.down = false
				n.accuse(i, e)
				n.event(Event{Kind: Accused, Member: e.member, Detail: "contact again"})
			}
			return
		}
	}
}
