package membership

import (
	"fmt"
	"time"
)

// edge is the state of monitoring one member that this node watches.
type edge struct {
	member             Member
	subject            uint32        // the member's index in the view
	slot               uint32        // this node's position among the member's watchers
	startedAt          time.Duration // silence is measured from the later of this and lastContact
	lastContact        time.Duration // 0 if there was none
	nextRound          time.Duration // start of the next probe round
	attemptsMade       int           // in the current round
	nextAttempt        time.Duration // earliest time of the next attempt of the round
	outstanding        [8]sentProbe  // ring buffer of unanswered probes
	probesSent         int
	probesSinceContact int
	accused            bool
	alertSeq           uint32 // Seq of the last alert about it

	startedRounds, lostRounds int           // probe rounds, and those without an answer
	loss                      float64       // moving average of the share of lost rounds
	rtt                       time.Duration // moving average; 0 before the first answer
	roundAnswered             bool          // the current round was answered
	hasView                   bool          // the member has the current view
}

// sentProbe is a probe that has not been answered.
type sentProbe struct {
	seq uint64
	at  time.Duration
}

// newEdge returns an edge to m whose first round starts at a random time within a probe interval.
func (n *Node) newEdge(m Member) *edge {
	return &edge{member: m, startedAt: n.now, nextRound: n.now + time.Duration(n.rng.Float64()*float64(n.settings.ProbeInterval))}
}

// probeWatched sends the probes that are due and accuses watched members that are silent.
func (n *Node) probeWatched() {
	contact := false
	for _, subject := range n.view.watchedBy[n.index] {
		e := n.edges[subject]
		n.probeEdge(e)
		contact = contact || e.lastContact > 0 && n.now-e.lastContact < 2*n.settings.ProbeInterval || e.lastContact == 0 && n.now-e.startedAt < 2*n.settings.ProbeInterval
	}
	// A node without contact to any watched member is isolated itself. It accuses nobody, and
	// measures silence anew from its next contact.
	if isolated := !contact && len(n.edges) > 1; isolated != n.isolated {
		n.isolated = isolated
		for _, e := range n.edges {
			if !isolated {
				e.startedAt = n.now
			}
		}
	}
	if n.isolated {
		return
	}
	for _, subject := range n.view.watchedBy[n.index] {
		e := n.edges[subject]
		if silence := n.now - max(e.lastContact, e.startedAt); !e.accused && silence >= n.settings.AccuseAfter && e.probesSinceContact >= 2*probeAttempts {
			e.accused = true
			n.stats.Accusations++
			n.publishAlert(subject, e)
			n.emit(Event{Kind: Accused, Member: e.member, Detail: fmt.Sprintf("no contact for %v, %d probes unanswered", silence.Round(time.Millisecond), e.probesSinceContact)})
		}
	}
}

// probeEdge starts a probe round or sends the next attempt of the current one, whichever is due.
func (n *Node) probeEdge(e *edge) {
	if n.now >= e.nextRound {
		if e.startedRounds > 0 {
			lost := 0.0
			if !e.roundAnswered {
				lost = 1
				e.lostRounds++
			}
			e.loss += (lost - e.loss) / 16
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
		// The member may have a newer view without this node. Or it may not have the current view
		// yet: then it may not know this node or, if it has just been admitted, any member.
		if e.accused || !e.hasView || n.isolated || n.phase == Leaving {
			self := n.self
			m.Self = &self
		}
		n.send(e.member.Addr, m)
	}
}

// publishAlert queues an alert with this node's current opinion of a member that it watches.
func (n *Node) publishAlert(subject uint32, e *edge) {
	e.alertSeq++
	a := Alert{Subject: subject, WatcherSlot: e.slot, Seq: e.alertSeq, Down: e.accused}
	if n.detector.recordAlert(n.view, a, n.now) {
		n.queue.add(gossipItem{alert: true, subject: subject, slot: e.slot}, n.copiesPerItem())
	}
}

// accusationsOf returns the known accusations of a member. They are also sent to the member
// itself, which may not have received them from others.
func (n *Node) accusationsOf(i uint32) (alerts []Alert) {
	state := n.detector.subjects[i]
	if state == nil || state.accusers == 0 {
		return nil
	}
	for slot := range uint32(len(n.view.watchers[i])) {
		if state.accusers&(1<<slot) != 0 {
			alerts = append(alerts, Alert{i, slot, state.alertSeqs[slot], true})
		}
	}
	return alerts
}

// handleProbe answers a probe from any sender, which so learns of this life and its view.
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
		if state := n.detector.subjects[n.index]; state != nil && state.refutes(n.now) {
			ack.Refutations = []Refutation{{n.index, state.refutationSeq}}
		}
	}
	if m.Self != nil {
		self := n.self
		ack.Self = &self
	}
	n.send(to, ack)
}

// handleAck records contact with a member. An answer from another life, or to no outstanding
// probe, is not a contact.
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
		if probe := &e.outstanding[k]; probe.seq == m.Seq && probe.seq != 0 {
			if rtt := n.now - probe.at; e.rtt == 0 {
				e.rtt = rtt
			} else {
				e.rtt += (rtt - e.rtt) / 8
			}
			*probe = sentProbe{}
			e.lastContact, e.probesSinceContact, e.roundAnswered = n.now, 0, true
			e.hasView = m.FleetID == n.view.FleetID && m.ViewNumber >= n.view.Number
			if e.accused {
				e.accused = false
				n.publishAlert(i, e)
				n.emit(Event{Kind: Accused, Member: e.member, Detail: "contact restored"})
			}
			return
		}
	}
}
