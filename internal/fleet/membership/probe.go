package membership

import (
	"fmt"
	"time"
)

// edge is this node's watch of one member.
type edge struct {
	member             Member
	subject            uint32 // its place in the view
	slot               uint32 // which of its watchers this node is
	startedAt          time.Duration
	lastContact        time.Duration // the last contact; 0: none
	nextRound          time.Duration // when the next round of probes begins
	attemptsMade       int           // in this round
	nextAttempt        time.Duration // when the next attempt is due
	outstanding        [8]sentProbe  // attempts without an answer, the oldest overwritten
	probesSent         int
	probesSinceContact int // attempts since the last contact
	accused            bool
	alertSeq           uint32 // of what this node says of it

	startedRounds, lostRounds int // rounds of probes, and those with no answer
	loss                      float64
	rtt                       time.Duration
	roundAnswered             bool // this round was
	hasView                   bool // it has this view
}

type sentProbe struct {
	seq uint64
	at  time.Duration
}

func (n *Node) newEdge(m Member) *edge {
	return &edge{member: m, startedAt: n.now, nextRound: n.now + time.Duration(n.rng.Float64()*float64(n.settings.ProbeInterval))}
}

// probe sends what is due and judges who is silent.
func (n *Node) probeWatched() {
	contact := false
	for _, subject := range n.view.watchedBy[n.index] {
		e := n.edges[subject]
		n.probeEdge(e)
		contact = contact || e.lastContact > 0 && n.now-e.lastContact < 2*n.settings.ProbeInterval || e.lastContact == 0 && n.now-e.startedAt < 2*n.settings.ProbeInterval
	}
	// Who hears nobody at all is itself cut off: it accuses nobody, and afterwards starts to count anew.
	if alone := !contact && len(n.edges) > 1; alone != n.isolated {
		n.isolated = alone
		for _, e := range n.edges {
			if !alone {
				e.startedAt = n.now
			}
		}
	}
	if n.isolated {
		return
	}
	for _, subject := range n.view.watchedBy[n.index] {
		e := n.edges[subject]
		if silent := n.now - max(e.lastContact, e.startedAt); !e.accused && silent >= n.settings.AccuseAfter && e.probesSinceContact >= 2*probeAttempts {
			e.accused = true
			n.stats.Accusations++
			n.publishAlert(subject, e)
			n.emit(Event{Kind: Accused, Member: e.member, Detail: fmt.Sprintf("no contact for %v, %d probes", silent.Round(time.Millisecond), e.probesSinceContact)})
		}
	}
}

func (n *Node) probeEdge(e *edge) {
	if n.now >= e.nextRound {
		if e.startedRounds > 0 {
			x := 0.0
			if !e.roundAnswered {
				x = 1
				e.lostRounds++
			}
			e.loss += (x - e.loss) / 16
		}
		e.startedRounds++
		e.nextRound += n.settings.ProbeInterval
		if e.nextRound <= n.now {
			e.nextRound = n.now + n.settings.ProbeInterval
		}
		e.attemptsMade, e.nextAttempt, e.roundAnswered = 0, n.now, false
	}
	if e.attemptsMade < probeAttempts && !e.roundAnswered && n.now >= e.nextAttempt {
		e.attemptsMade++
		e.nextAttempt = n.now + n.settings.ProbeRetryInterval
		e.probesSinceContact++
		n.seq++
		e.outstanding[e.probesSent%len(e.outstanding)] = sentProbe{n.seq, n.now}
		e.probesSent++
		m := &Message{Kind: Probe, Seq: n.seq, Alerts: n.accusationsOf(e.subject)}
		// It may be in a view that this node is not in any more; or not have this one yet, and then may not know this node,
		// or, if it has just been let in, nobody.
		if e.accused || !e.hasView || n.isolated || n.phase == Leaving {
			self := n.self
			m.Self = &self
		}
		n.send(e.member.Addr, m)
	}
}

// accuse makes news of what this node holds of one that it watches.
func (n *Node) publishAlert(subject uint32, e *edge) {
	e.alertSeq++
	a := Alert{Subject: subject, WatcherSlot: e.slot, Seq: e.alertSeq, Down: e.accused}
	if n.detector.recordAlert(n.view, a, n.now) {
		n.queue.add(gossipItem{alert: true, subject: subject, slot: e.slot}, n.copiesPerItem())
	}
}

// against is what is held against a member, for itself to hear: it may not have heard it from others.
func (n *Node) accusationsOf(i uint32) (all []Alert) {
	r := n.detector.subjects[i]
	if r == nil || r.accusers == 0 {
		return nil
	}
	for s := range uint32(len(n.view.watchers[i])) {
		if r.accusers&(1<<s) != 0 {
			all = append(all, Alert{i, s, r.alertSeqs[s], true})
		}
	}
	return all
}

// answer answers a probe, whoever sent it: the sender learns of this life and its view.
func (n *Node) handleProbe(m *Message) {
	to, ok := n.replyAddr(m)
	if !ok {
		return
	}
	ack := &Message{Kind: Ack, Seq: m.Seq}
	if n.view != nil {
		if i, in := n.view.IndexOfLife(m.SenderLife); in {
			ack.Alerts = n.accusationsOf(i)
		}
		n.refuteAccusations()
		if r := n.detector.subjects[n.index]; r != nil && r.refutes(n.now) {
			ack.Refutations = []Refutation{{n.index, r.refutationSeq}}
		}
	}
	if m.Self != nil {
		self := n.self
		ack.Self = &self
	}
	n.send(to, ack)
}

// acked takes a contact. An answer of another life, or to nothing that was asked, is none.
func (n *Node) handleAck(m *Message) {
	if t := n.trials[m.SenderLife]; t != nil {
		n.handleTrialAck(t, m.Seq)
	}
	if n.view == nil {
		return
	}
	i, ok := n.view.IndexOfLife(m.SenderLife)
	e := n.edges[i]
	if !ok || e == nil {
		return
	}
	for k := range e.outstanding {
		if o := &e.outstanding[k]; o.seq == m.Seq && o.seq != 0 {
			if rtt := n.now - o.at; e.rtt == 0 {
				e.rtt = rtt
			} else {
				e.rtt += (rtt - e.rtt) / 8
			}
			*o = sentProbe{}
			e.lastContact, e.probesSinceContact, e.roundAnswered = n.now, 0, true
			e.hasView = m.FleetID == n.view.FleetID && m.ViewNumber >= n.view.Number
			if e.accused {
				e.accused = false
				n.publishAlert(i, e)
				n.emit(Event{Kind: Accused, Member: e.member, Detail: "contact again"})
			}
			return
		}
	}
}
