package lease

import (
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The tests of this file are a bounded model checker. A breadth-first search goes through every order of events of
// two holders, a changing leader, the messages between them and their clocks, and so reports the shortest path to a
// violation.

// faults selects the defences that the model leaves out, each on purpose, to prove that the search finds the
// violation.
type faults struct {
	newLeaderExpiresAtOnce bool // a new leader expires leases at once instead of counting them anew
	countFromAnswer        bool // holders count a lease from its grant instead of from before the request
	ignoreDrift            bool // no allowance for clocks of different speed
	reuseLife              bool // a restarted process counts as the same holder
	constantToken          bool // every grant has the same token
	expireAnyRenewal       bool // an Expire applies to any renewal, not only to the one observed
	actWhileReleasing      bool // holders begin acts after they have sent the release
	releaseDuringActs      bool // holders release while acts last
	unboundedActs          bool // the guard does not know how long acts last
	repeatRequests         bool // repeated requests are applied again
}

// modelState is one state of the search.
type modelState struct {
	now           int // s, true time
	machine       *StateMachine
	expiry        *ExpiryTracker
	leaderChanges int
	holders       [2]modelHolder
	inFlight      []message
	actsUntil     [2]int // s, until when each holder's act lasts; 0: none
	mayAct        [2]bool
	highestToken  uint64    // the highest token that the resource has seen
	highestOwner  int       // its holder's index + 1; negative after a violation
	expired       []Command // what the leader's clock finds expired
	trace         *traceStep
}

// traceStep is one event on the path to a state.
type traceStep struct {
	what     string
	previous *traceStep
}

// modelHolder is a process that acquires the lease.
type modelHolder struct {
	holder   Holder
	guard    *Guard
	seq      uint64
	requests int
	crashes  int
}

// message is a command or an answer in flight.
type message struct {
	to        int // 0, 1: an answer to that holder; -1: a command
	life      uint64
	c         Command
	answer    Answer
	delivered bool // delivered once, and may be delivered again
}

// bounds limits the search.
type bounds struct {
	seconds, requests, crashes, leaderChanges, inFlight, states int
	clockSpeeds                                                 [3]int // of both holders and the leader, in quarters
	ttl                                                         time.Duration
	actSeconds                                                  int // s, true time, at most
	timing                                                      Timing
	noReleaseOrDuplicate                                        bool // no releases and no duplicated messages
}

func defaultBounds() bounds {
	return bounds{
		seconds: 6, requests: 2, crashes: 1, leaderChanges: 1, inFlight: 2, states: 15_000, clockSpeeds: [3]int{4, 4, 4}, ttl: 2 * time.Second, actSeconds: 1,
		timing: Timing{ClockDrift: 0.25, WaiterTimeout: 2 * time.Second},
	}
}

// clock returns the time on a holder's clock, or on the leader's for 2.
func (w *modelState) clock(b *bounds, i int) time.Duration {
	return time.Duration(w.now*b.clockSpeeds[i]) * time.Second / 4
}

func (w *modelState) clone() *modelState {
	x := *w
	m := &StateMachine{lastToken: w.machine.lastToken, lastSerial: w.machine.lastSerial, leases: make(map[string]*Lease, 1), sessions: make(map[Holder]*session, 4)}
	for n, l := range w.machine.leases {
		c := *l
		c.Waiters = slices.Clone(l.Waiters)
		m.leases[n] = &c
	}
	for h, s := range w.machine.sessions {
		c := *s
		m.sessions[h] = &c
	}
	x.machine = m
	x.expiry = &ExpiryTracker{w.expiry.timing, maps.Clone(w.expiry.leases), maps.Clone(w.expiry.waiters)}
	for i := range x.holders {
		g := *w.holders[i].guard
		g.sentAt = maps.Clone(g.sentAt)
		x.holders[i].guard = &g
	}
	x.inFlight = slices.Clone(w.inFlight)
	return &x
}

// hash identifies a state: states with the same hash have the same successors.
func (w *modelState) hash() uint64 {
	var buf [1024]byte
	b := buf[:0]
	num := func(all ...int64) {
		for _, x := range all {
			b = binary.AppendVarint(b, x)
		}
	}
	holder := func(h Holder) { num(int64(h.Life)) }
	num(int64(w.now), int64(w.leaderChanges), int64(w.actsUntil[0]), int64(w.actsUntil[1]), int64(w.highestToken), int64(w.highestOwner))
	num(int64(w.machine.lastToken), int64(w.machine.lastSerial))
	answer := func(a *Answer) { num(int64(a.Outcome), int64(a.Token), int64(a.Place), int64(a.Seq)) }
	if l := w.machine.leases["l"]; l != nil {
		holder(l.Holder)
		num(int64(l.Token), int64(l.Serial), int64(l.Seq))
		for i := range l.Waiters {
			holder(l.Waiters[i].Holder)
			num(int64(l.Waiters[i].Serial), int64(l.Waiters[i].Seq))
		}
	}
	for life := range uint64(24) { // every possible life, in order
		for i := range w.holders {
			h := Holder{w.holders[i].holder.Name, life/10 + 1, life}
			if s := w.machine.sessions[h]; s != nil {
				holder(h)
				num(int64(s.Seq))
				answer(&s.Answer)
			}
			if c, ok := w.expiry.waiters[waiterKey{"l", h}]; ok {
				holder(h)
				num(int64(c.serial), int64(c.firstSeen), int64(c.proposedAt))
			}
		}
	}
	if c, ok := w.expiry.leases["l"]; ok {
		num(-2, int64(c.serial), int64(c.firstSeen), int64(c.proposedAt))
	}
	for i := range w.holders {
		p := &w.holders[i]
		g := p.guard
		holder(p.holder)
		stopped := int64(0)
		if g.stopped {
			stopped = 1
		}
		num(int64(p.seq), int64(p.requests), int64(p.crashes), int64(g.token), int64(g.validFrom), int64(g.validUntil), int64(g.lastSeq), int64(g.actsUntil), stopped)
		for s := uint64(1); s <= p.seq; s++ {
			if at, ok := g.sentAt[s]; ok {
				num(int64(s), int64(at))
			}
		}
	}
	// The order of messages does not matter, so their hashes are added.
	sum := uint64(0)
	head := len(b)
	for i := range w.inFlight {
		m := &w.inFlight[i]
		delivered := int64(0)
		if m.delivered {
			delivered = 1
		}
		num(int64(m.to), int64(m.life), delivered, int64(m.c.Op), int64(m.c.Seq), int64(m.c.Token), int64(m.c.Serial), int64(m.c.Holder.Life))
		answer(&m.answer)
		sum += xxhash.Sum64(b[head:])
		b = b[:head]
	}
	b = binary.AppendUvarint(b, sum)
	return xxhash.Sum64(b)
}

// apply applies a command of the log and sends the answers.
func (w *modelState) apply(x *faults, c Command, to int, life uint64) {
	if x.expireAnyRenewal && c.Op == Expire {
		if l, ok := w.machine.Lease(c.Lease); ok {
			c.Serial = l.Serial
		}
	}
	if x.repeatRequests {
		delete(w.machine.sessions, c.Holder)
	}
	a, grants := w.machine.Apply(&c)
	if x.constantToken {
		for _, l := range w.machine.leases {
			l.Token = 1
		}
		a.Token = min(a.Token, 1)
	}
	if to >= 0 {
		w.inFlight = append(w.inFlight, message{to: to, life: life, answer: a})
	}
	for _, g := range grants {
		if x.constantToken {
			g.Token = 1
		}
		for i := range w.holders {
			if w.holders[i].holder == g.Holder {
				w.inFlight = append(w.inFlight, message{to: i, life: w.holders[i].holder.Life, answer: g.Answer})
			}
		}
	}
}

// successors returns all states that one event leads to.
func (w *modelState) successors(b *bounds, x *faults) (all []*modelState) {
	add := func(what string, do func(*modelState)) {
		n := w.clone()
		n.trace = &traceStep{fmt.Sprintf("%d s: %s", w.now, what), w.trace}
		do(n)
		n.observe(b)
		all = append(all, n)
	}
	if w.now < b.seconds {
		add("a second passes", func(n *modelState) { n.now++ })
	}
	if w.leaderChanges < b.leaderChanges {
		add("another node leads", func(n *modelState) {
			n.leaderChanges++
			n.expiry = NewExpiryTracker(b.timing)
			if x.newLeaderExpiresAtOnce {
				for name, l := range n.machine.leases {
					n.expiry.leases[name] = observation{serial: l.Serial, firstSeen: -time.Hour}
				}
			}
		})
	}
	for i := range w.expired {
		add(fmt.Sprintf("the leader's expiry is applied (%v)", w.expired[i].Op), func(n *modelState) { n.apply(x, w.expired[i], -1, 0) })
		if c := w.expired[i]; c.Op == Expire && len(w.inFlight) < b.inFlight && !slices.ContainsFunc(w.inFlight, func(m message) bool { return m.c.Op == Expire }) {
			add("the leader proposes an expiry", func(n *modelState) { n.inFlight = append(n.inFlight, message{to: -1, c: c}) })
		}
	}
	for i := range w.holders {
		p := &w.holders[i]
		now := w.clock(b, i)
		send := func(what string, op Op) {
			if p.requests >= b.requests || len(w.inFlight) >= b.inFlight {
				return
			}
			add(fmt.Sprintf("%s %s (request %d)", p.holder.Name, what, p.seq+1), func(n *modelState) {
				q := &n.holders[i]
				q.requests++
				q.seq++
				if !x.countFromAnswer {
					q.guard.RequestSent(now, q.seq)
				}
				c := Command{Op: op, Lease: "l", Holder: q.holder, Seq: q.seq, TTL: b.ttl}
				if op != Acquire {
					c.Token = q.guard.Token()
				}
				if op == Release && !x.actWhileReleasing {
					q.guard.Stop(now)
				}
				n.inFlight = append(n.inFlight, message{to: -1, life: q.holder.Life, c: c})
			})
		}
		send("requests the lease", Acquire)
		if p.guard.token != 0 && !p.guard.stopped {
			if i == 0 {
				send("renews", Renew)
			}
			if i == 0 && !b.noReleaseOrDuplicate && (p.guard.actsUntil <= now || x.releaseDuringActs) {
				send("releases", Release)
			}
		}
		act := time.Duration(b.actSeconds*b.clockSpeeds[i]) * time.Second / 4 // its duration by the holder's clock
		if x.unboundedActs {
			act = 0
		}
		// For bert it is enough to know whether an act might begin.
		if token, _, ok := p.guard.CanBegin(now, act); ok && i == 0 && b.actSeconds > 0 && w.actsUntil[i] <= w.now {
			add(fmt.Sprintf("%s acts under token %d until %d s", p.holder.Name, token, w.now+b.actSeconds), func(n *modelState) {
				n.holders[i].guard.BeginAct(now, act)
				n.actsUntil[i] = n.now + b.actSeconds
			})
		}
		if p.crashes < b.crashes && p.requests > 0 && i == 0 {
			add(p.holder.Name+" is killed and restarts", func(n *modelState) {
				q := &n.holders[i]
				q.crashes++
				q.guard = NewGuard(b.timing)
				if n.actsUntil[i] > n.now { // the act ends with the process
					n.actsUntil[i] = n.now
				}
				q.seq = 0
				if !x.reuseLife {
					q.holder.Incarnation++
					q.holder.Life += 10
				}
			})
		}
	}
	for k := range w.inFlight {
		m := w.inFlight[k]
		deliver := func(n *modelState) {
			if m.to < 0 {
				to := -1
				for i := range n.holders {
					if m.c.Op != Expire && n.holders[i].holder.Name == m.c.Holder.Name {
						to = i
					}
				}
				n.apply(x, m.c, to, m.life)
				return
			}
			q := &n.holders[m.to]
			if q.holder.Life != m.life {
				return // for an earlier life
			}
			if x.countFromAnswer {
				q.guard.RequestSent(n.clock(b, m.to), m.answer.Seq)
			}
			q.guard.HandleAnswer(m.answer)
		}
		what := fmt.Sprintf("the log applies request %d of %s", m.c.Seq, m.c.Holder.Name)
		if m.to >= 0 {
			what = fmt.Sprintf("%s receives outcome %d, token %d (request %d)", w.holders[m.to].holder.Name, m.answer.Outcome, m.answer.Token, m.answer.Seq)
		}
		add(what, func(n *modelState) {
			n.inFlight = slices.Delete(n.inFlight, k, k+1)
			deliver(n)
		})
		if !m.delivered && m.to < 0 && !b.noReleaseOrDuplicate && len(w.inFlight) < b.inFlight {
			add(what+", which will be delivered again", func(n *modelState) {
				n.inFlight[k].delivered = true
				deliver(n)
			})
		}
	}
	return all
}

// observe lets the leader check for expiry, as it does all the time, and checks the tokens of possible acts at the
// resource.
func (w *modelState) observe(b *bounds) {
	w.expired = w.expiry.Expired(w.clock(b, 2), w.machine)
	for k := range w.expired { // allow every expiry to be proposed again at once
		c := &w.expired[k]
		if c.Op == Expire {
			x := w.expiry.leases[c.Lease]
			x.proposedAt = 0
			w.expiry.leases[c.Lease] = x
		} else {
			key := waiterKey{c.Lease, c.Holder}
			x := w.expiry.waiters[key]
			x.proposedAt = 0
			w.expiry.waiters[key] = x
		}
	}
	for i := range w.holders {
		token, _, ok := w.holders[i].guard.CanBegin(w.clock(b, i), 0)
		switch {
		case !ok:
		case token < w.highestToken || token == w.highestToken && w.highestOwner != i+1:
			w.highestOwner = -1 - i // the resource has seen a higher token, or this one from another holder
		default:
			w.highestToken, w.highestOwner = token, i+1
		}
		w.mayAct[i] = ok
	}
}

// violation returns which safety property the state violates; "" for none.
func (w *modelState) violation() string {
	if (w.actsUntil[0] > w.now || w.mayAct[0]) && w.mayAct[1] {
		return "two holders may act at once"
	}
	if w.highestOwner < 0 {
		return "the resource receives a token that is not above another holder's"
	}
	return ""
}

// search visits all states within the bounds and returns the shortest path to a violation, if there is one.
func search(b bounds, x faults) (path string, states, depth int, exhaustive bool) {
	if x.ignoreDrift {
		b.timing.ClockDrift = 1e-9
	}
	first := &modelState{machine: NewStateMachine(), expiry: NewExpiryTracker(b.timing)}
	for i := range first.holders {
		first.holders[i] = modelHolder{holder: Holder{[]string{"anna", "bert"}[i], 1, uint64(i + 1)}, guard: NewGuard(b.timing)}
	}
	seen := map[uint64]bool{}
	level := []*modelState{first}
	for len(level) > 0 {
		var nextLevel []*modelState
		for _, w := range level {
			for _, n := range w.successors(&b, &x) {
				if what := n.violation(); what != "" {
					steps := []string{what}
					for s := n.trace; s != nil; s = s.previous {
						steps = append(steps, s.what)
					}
					slices.Reverse(steps)
					return strings.Join(steps, "\n"), len(seen), depth + 1, false
				}
				key := n.hash()
				if seen[key] {
					continue
				}
				seen[key] = true
				nextLevel = append(nextLevel, n)
			}
			if len(seen) > b.states {
				return "", len(seen), depth, false
			}
		}
		level = nextLevel
		depth++
	}
	return "", len(seen), depth, true
}

// Within smaller bounds the search covers every state.
func TestSearchExhaustive(t *testing.T) {
	for name, x := range map[string]struct {
		ci   bool // the others take a minute on a slow machine with the race detector
		edit func(*bounds)
	}{
		"a leader that changes": {false, func(b *bounds) { b.crashes, b.noReleaseOrDuplicate, b.seconds, b.actSeconds = 0, true, 3, 0 }},
		"a holder that crashes": {true, func(b *bounds) {
			b.leaderChanges, b.noReleaseOrDuplicate, b.seconds, b.requests, b.actSeconds = 0, true, 3, 1, 1
		}},
		"clocks of different speed": {false, func(b *bounds) { b.leaderChanges, b.crashes, b.requests, b.clockSpeeds = 0, 0, 1, [3]int{4, 4, 6} }},
	} {
		t.Run(name, func(t *testing.T) {
			if !x.ci && os.Getenv("CURLEWRING_LONG") == "" {
				t.Skip("set CURLEWRING_LONG=1")
			}
			t.Parallel()
			b := defaultBounds()
			b.states = 2_000_000
			x.edit(&b)
			started := time.Now()
			path, states, depth, exhaustive := search(b, faults{})
			t.Logf("%d states to depth %d, exhaustive: %v, in %v", states, depth, exhaustive, time.Since(started).Round(time.Millisecond))
			if path != "" || !exhaustive {
				t.Errorf("after %d states:\n%s", states, path)
			}
		})
	}
}

// No order of events lets two holders act at once or sends the resource a falling token.
func TestSearch(t *testing.T) {
	for _, speeds := range [][3]int{{4, 4, 4}, {4, 4, 6}, {6, 4, 4}} {
		t.Run(fmt.Sprint(speeds), func(t *testing.T) {
			t.Parallel()
			b := defaultBounds()
			b.clockSpeeds = speeds
			if os.Getenv("CURLEWRING_LONG") != "" {
				b.states = 3_000_000
			}
			started := time.Now()
			path, states, depth, exhaustive := search(b, faults{})
			t.Logf("clocks %v quarters: %d states to depth %d, exhaustive: %v, in %v", speeds, states, depth, exhaustive, time.Since(started).Round(time.Millisecond))
			if path != "" {
				t.Errorf("after %d states:\n%s", states, path)
			}
		})
	}
}

// The search finds a violation for each defence that is left out.
func TestSearchFindsFaults(t *testing.T) {
	for name, c := range map[string]struct {
		x      faults
		speeds [3]int
		edit   func(*bounds)
	}{
		"a new leader waits for a full lease":       {x: faults{newLeaderExpiresAtOnce: true}, edit: func(b *bounds) { b.crashes = 0 }},
		"the holder counts from before its request": {x: faults{countFromAnswer: true}, edit: func(b *bounds) { b.crashes, b.leaderChanges = 0, 0 }},
		"allowance for clock drift":                 {x: faults{ignoreDrift: true}, speeds: [3]int{4, 4, 6}, edit: func(b *bounds) { b.crashes, b.leaderChanges, b.requests, b.ttl = 0, 0, 1, 4*time.Second }},
		"a restart is another holder":               {x: faults{reuseLife: true}, edit: func(b *bounds) { b.leaderChanges, b.actSeconds, b.seconds, b.noReleaseOrDuplicate = 0, 0, 3, true }},
		"tokens grow":                               {x: faults{constantToken: true}, edit: func(b *bounds) { b.crashes, b.leaderChanges = 0, 0 }},
		"an expiry names the renewal": {x: faults{expireAnyRenewal: true}, edit: func(b *bounds) {
			b.crashes, b.leaderChanges, b.actSeconds, b.seconds, b.noReleaseOrDuplicate = 0, 0, 0, 3, true
		}},
		"a holder stops before it releases":  {x: faults{actWhileReleasing: true}, edit: func(b *bounds) { b.crashes, b.leaderChanges = 0, 0 }},
		"a holder waits for its acts to end": {x: faults{releaseDuringActs: true}, edit: func(b *bounds) { b.crashes, b.leaderChanges = 0, 0 }},
		"the guard knows how long acts last": {x: faults{unboundedActs: true}, edit: func(b *bounds) { b.crashes, b.leaderChanges, b.actSeconds = 0, 0, 2 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := defaultBounds()
			if c.speeds != [3]int{} {
				b.clockSpeeds = c.speeds
			}
			b.states = 900_000
			c.edit(&b)
			path, states, depth, exhaustive := search(b, c.x)
			if path == "" {
				t.Fatalf("no violation found in %d states to depth %d, exhaustive: %v", states, depth, exhaustive)
			}
			t.Logf("violation found after %d states, %d steps:\n%s", states, depth, path)
		})
	}
}
