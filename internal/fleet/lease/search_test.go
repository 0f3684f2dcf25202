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

// The search plays every order of what can happen to two holders, a leader that changes, the messages between them and
// their clocks, within bounds, breadth first: what it finds, it finds on the shortest way.

// A model's defence that is taken out.
type broken struct {
	noWait    bool // a new leader ends leases at once, without counting them anew
	lateAsk   bool // holders count from the answer, not from before they asked
	noDrift   bool // nobody allows for clocks that differ
	oneLife   bool // a process that starts anew is the same holder
	sameTok   bool // tokens do not grow
	anyEnd    bool // an end does not name the renewal that it saw
	noStop    bool // holders go on to begin acts while they release
	noWaitEnd bool // holders do not wait for the end of their acts before they release
	noBound   bool // the guard is not told how long acts take
	noDedupe  bool // requests that come again are done again
}

// world is one state of the search.
type world struct {
	now     int // s, true time
	machine *StateMachine
	keeper  *ExpiryTracker
	changes int
	procs   [2]proc
	mail    []mail
	acts    [2]int // until when each holder's act lasts; 0: none
	may     [2]bool
	seen    uint64    // the highest token that the resource has seen ...
	by      int       // ... and whose it was
	due     []Command // by the leader's clock
	trace   *step
}

type step struct {
	what string
	last *step
}

type proc struct {
	holder  Holder
	guard   *Guard
	seq     uint64
	asks    int
	crashes int
}

type mail struct {
	to     int // 0, 1: an answer to that process; -1: a command
	life   uint64
	c      Command
	answer Answer
	again  bool // it has been delivered once
}

type bounds struct {
	time, asks, crashes, changes, mail, states int
	speeds                                     [3]int // of the holders' clocks and of the leader's, in quarters
	ttl                                        time.Duration
	act                                        int // s, true time, at the most
	terms                                      Timing
	plain                                      bool // nothing is released, and nothing comes twice
}

func usual() bounds {
	return bounds{
		time: 6, asks: 2, crashes: 1, changes: 1, mail: 2, states: 15_000, speeds: [3]int{4, 4, 4}, ttl: 2 * time.Second, act: 1,
		terms: Timing{ClockDrift: 0.25, WaiterTimeout: 2 * time.Second},
	}
}

func (w *world) clock(b *bounds, i int) time.Duration {
	return time.Duration(w.now*b.speeds[i]) * time.Second / 4
}

func (w *world) copy() *world {
	x := *w
	m := &StateMachine{tokens: w.machine.tokens, serials: w.machine.serials, leases: make(map[string]*Lease, 1), sessions: make(map[Holder]*session, 4)}
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
	x.keeper = &ExpiryTracker{w.keeper.terms, maps.Clone(w.keeper.since), maps.Clone(w.keeper.lines)}
	for i := range x.procs {
		g := *w.procs[i].guard
		g.asked = maps.Clone(g.asked)
		x.procs[i].guard = &g
	}
	x.mail = slices.Clone(w.mail)
	return &x
}

// key names a state: two that have the same go on in the same ways. Times count from now, serials and tokens in the order
// in which they stand.
func (w *world) key() uint64 {
	var buf [1024]byte
	b := buf[:0]
	num := func(all ...int64) {
		for _, x := range all {
			b = binary.AppendVarint(b, x)
		}
	}
	holder := func(h Holder) { num(int64(h.Life)) }
	num(int64(w.now), int64(w.changes), int64(w.acts[0]), int64(w.acts[1]), int64(w.seen), int64(w.by))
	num(int64(w.machine.tokens), int64(w.machine.serials))
	answer := func(a *Answer) { num(int64(a.Outcome), int64(a.Token), int64(a.Place), int64(a.Seq)) }
	if l := w.machine.leases["l"]; l != nil {
		holder(l.Holder)
		num(int64(l.Token), int64(l.Serial), int64(l.Seq))
		for i := range l.Waiters {
			holder(l.Waiters[i].Holder)
			num(int64(l.Waiters[i].Serial), int64(l.Waiters[i].Seq))
		}
	}
	for life := range uint64(24) { // all that there can be, in order
		for i := range w.procs {
			h := Holder{w.procs[i].holder.Name, life/10 + 1, life}
			if s := w.machine.sessions[h]; s != nil {
				holder(h)
				num(int64(s.Seq))
				answer(&s.Answer)
			}
			if c, ok := w.keeper.lines[waits{"l", h}]; ok {
				holder(h)
				num(int64(c.serial), int64(c.at), int64(c.told))
			}
		}
	}
	if c, ok := w.keeper.since["l"]; ok {
		num(-2, int64(c.serial), int64(c.at), int64(c.told))
	}
	for i := range w.procs {
		p := &w.procs[i]
		g := p.guard
		holder(p.holder)
		shut := int64(0)
		if g.shut {
			shut = 1
		}
		num(int64(p.seq), int64(p.asks), int64(p.crashes), int64(g.token), int64(g.begun), int64(g.ends), int64(g.last), int64(g.busy), shut)
		for s := uint64(1); s <= p.seq; s++ {
			if at, ok := g.asked[s]; ok {
				num(int64(s), int64(at))
			}
		}
	}
	// Letters in any order: a sum of their hashes.
	sum := uint64(0)
	head := len(b)
	for i := range w.mail {
		m := &w.mail[i]
		again := int64(0)
		if m.again {
			again = 1
		}
		num(int64(m.to), int64(m.life), again, int64(m.c.Op), int64(m.c.Seq), int64(m.c.Token), int64(m.c.Serial), int64(m.c.Holder.Life))
		answer(&m.answer)
		sum += xxhash.Sum64(b[head:])
		b = b[:head]
	}
	b = binary.AppendUvarint(b, sum)
	return xxhash.Sum64(b)
}

// apply has the log take a command, and answers go out.
func (w *world) apply(x *broken, c Command, to int, life uint64) {
	if x.anyEnd && c.Op == Expire {
		if l, ok := w.machine.Lease(c.Lease); ok {
			c.Serial = l.Serial
		}
	}
	if x.noDedupe {
		delete(w.machine.sessions, c.Holder)
	}
	a, grants := w.machine.Apply(&c)
	if x.sameTok {
		for _, l := range w.machine.leases {
			l.Token = 1
		}
		a.Token = min(a.Token, 1)
	}
	if to >= 0 {
		w.mail = append(w.mail, mail{to: to, life: life, answer: a})
	}
	for _, g := range grants {
		if x.sameTok {
			g.Token = 1
		}
		for i := range w.procs {
			if w.procs[i].holder == g.Holder {
				w.mail = append(w.mail, mail{to: i, life: w.procs[i].holder.Life, answer: g.Answer})
			}
		}
	}
}

// next returns all that may follow.
func (w *world) next(b *bounds, x *broken) (all []*world) {
	add := func(what string, do func(*world)) {
		n := w.copy()
		n.trace = &step{fmt.Sprintf("%d s: %s", w.now, what), w.trace}
		do(n)
		n.look(b)
		all = append(all, n)
	}
	if w.now < b.time {
		add("a second passes", func(n *world) { n.now++ })
	}
	if w.changes < b.changes {
		add("another node leads", func(n *world) {
			n.changes++
			n.keeper = NewExpiryTracker(b.terms)
			if x.noWait {
				for name, l := range n.machine.leases {
					n.keeper.since[name] = counted{serial: l.Serial, at: -time.Hour}
				}
			}
		})
	}
	for i := range w.due {
		add(fmt.Sprintf("the leader ends what is over (%v)", w.due[i].Op), func(n *world) { n.apply(x, w.due[i], -1, 0) })
		if c := w.due[i]; c.Op == Expire && len(w.mail) < b.mail && !slices.ContainsFunc(w.mail, func(m mail) bool { return m.c.Op == Expire }) {
			add("the leader proposes an end", func(n *world) { n.mail = append(n.mail, mail{to: -1, c: c}) })
		}
	}
	for i := range w.procs {
		p := &w.procs[i]
		now := w.clock(b, i)
		send := func(what string, op Op) {
			if p.asks >= b.asks || len(w.mail) >= b.mail {
				return
			}
			add(fmt.Sprintf("%s %s (request %d)", p.holder.Name, what, p.seq+1), func(n *world) {
				q := &n.procs[i]
				q.asks++
				q.seq++
				if !x.lateAsk {
					q.guard.RequestSent(now, q.seq)
				}
				c := Command{Op: op, Lease: "l", Holder: q.holder, Seq: q.seq, TTL: b.ttl}
				if op != Acquire {
					c.Token = q.guard.Token()
				}
				if op == Release && !x.noStop {
					q.guard.Stop(now)
				}
				n.mail = append(n.mail, mail{to: -1, life: q.holder.Life, c: c})
			})
		}
		send("asks for the lease", Acquire)
		if p.guard.token != 0 && !p.guard.shut {
			if i == 0 {
				send("renews", Renew)
			}
			if i == 0 && !b.plain && (p.guard.busy <= now || x.noWaitEnd) {
				send("releases", Release)
			}
		}
		act := time.Duration(b.act*b.speeds[i]) * time.Second / 4 // what it takes by its own clock
		if x.noBound {
			act = 0
		}
		// Of bert's acts it is enough that they might begin.
		if token, _, ok := p.guard.CanBegin(now, act); ok && i == 0 && b.act > 0 && w.acts[i] <= w.now {
			add(fmt.Sprintf("%s acts under token %d until %d s", p.holder.Name, token, w.now+b.act), func(n *world) {
				n.procs[i].guard.BeginAct(now, act)
				n.acts[i] = n.now + b.act
			})
		}
		if p.crashes < b.crashes && p.asks > 0 && i == 0 {
			add(p.holder.Name+" is killed and starts anew", func(n *world) {
				q := &n.procs[i]
				q.crashes++
				q.guard = NewGuard(b.terms)
				if n.acts[i] > n.now { // what it did ends with it
					n.acts[i] = n.now
				}
				q.seq = 0
				if !x.oneLife {
					q.holder.Incarnation++
					q.holder.Life += 10
				}
			})
		}
	}
	for k := range w.mail {
		m := w.mail[k]
		deliver := func(n *world) {
			if m.to < 0 {
				to := -1
				for i := range n.procs {
					if m.c.Op != Expire && n.procs[i].holder.Name == m.c.Holder.Name {
						to = i
					}
				}
				n.apply(x, m.c, to, m.life)
				return
			}
			q := &n.procs[m.to]
			if q.holder.Life != m.life {
				return // for a life that is over
			}
			if x.lateAsk {
				q.guard.RequestSent(n.clock(b, m.to), m.answer.Seq)
			}
			q.guard.HandleAnswer(m.answer)
		}
		what := fmt.Sprintf("the log takes request %d of %s", m.c.Seq, m.c.Holder.Name)
		if m.to >= 0 {
			what = fmt.Sprintf("%s is told: outcome %d, token %d (request %d)", w.procs[m.to].holder.Name, m.answer.Outcome, m.answer.Token, m.answer.Seq)
		}
		add(what, func(n *world) {
			n.mail = slices.Delete(n.mail, k, k+1)
			deliver(n)
		})
		if !m.again && m.to < 0 && !b.plain && len(w.mail) < b.mail {
			add(what+", which comes once more", func(n *world) {
				n.mail[k].again = true
				deliver(n)
			})
		}
	}
	return all
}

// look has the leader look at its clock, as it does all the time, and the resource at who might come to it.
func (w *world) look(b *bounds) {
	w.due = w.keeper.Expired(w.clock(b, 2), w.machine)
	for k := range w.due { // what it has proposed it would wait for
		c := &w.due[k]
		if c.Op == Expire {
			x := w.keeper.since[c.Lease]
			x.told = 0
			w.keeper.since[c.Lease] = x
		} else {
			key := waits{c.Lease, c.Holder}
			x := w.keeper.lines[key]
			x.told = 0
			w.keeper.lines[key] = x
		}
	}
	for i := range w.procs {
		token, _, ok := w.procs[i].guard.CanBegin(w.clock(b, i), 0)
		switch {
		case !ok:
		case token < w.seen || token == w.seen && w.by != i+1:
			w.by = -1 - i // the resource has seen a higher one, or the same of another
		default:
			w.seen, w.by = token, i+1
		}
		w.may[i] = ok
	}
}

// wrong tells what must never be.
func (w *world) wrong() string {
	if (w.acts[0] > w.now || w.may[0]) && w.may[1] {
		return "two may act at once"
	}
	if w.by < 0 {
		return "the resource is sent a token that is not above another holder's"
	}
	return ""
}

// search goes through all states within the bounds, and returns the shortest way to a wrong one.
func search(b bounds, x broken) (found string, states, depth int, whole bool) {
	if x.noDrift {
		b.terms.ClockDrift = 1e-9
	}
	first := &world{machine: NewStateMachine(), keeper: NewExpiryTracker(b.terms)}
	for i := range first.procs {
		first.procs[i] = proc{holder: Holder{[]string{"anna", "bert"}[i], 1, uint64(i + 1)}, guard: NewGuard(b.terms)}
	}
	seen := map[uint64]bool{}
	level := []*world{first}
	for len(level) > 0 {
		var deeper []*world
		for _, w := range level {
			for _, n := range w.next(&b, &x) {
				if what := n.wrong(); what != "" {
					steps := []string{what}
					for s := n.trace; s != nil; s = s.last {
						steps = append(steps, s.what)
					}
					slices.Reverse(steps)
					return strings.Join(steps, "\n"), len(seen), depth + 1, false
				}
				key := n.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				deeper = append(deeper, n)
			}
			if len(seen) > b.states {
				return "", len(seen), depth, false
			}
		}
		level = deeper
		depth++
	}
	return "", len(seen), depth, true
}

// Within smaller bounds every state there is.
func TestSearchToTheEnd(t *testing.T) {
	for name, x := range map[string]struct {
		ci   bool // the others take a slow machine a minute with the race detector
		edit func(*bounds)
	}{
		"a leader that changes": {false, func(b *bounds) { b.crashes, b.plain, b.time, b.act = 0, true, 3, 0 }},
		"a holder that crashes": {true, func(b *bounds) { b.changes, b.plain, b.time, b.asks, b.act = 0, true, 3, 1, 1 }},
		"clocks that differ":    {false, func(b *bounds) { b.changes, b.crashes, b.asks, b.speeds = 0, 0, 1, [3]int{4, 4, 6} }},
	} {
		t.Run(name, func(t *testing.T) {
			if !x.ci && os.Getenv("CURLEWRING_LONG") == "" {
				t.Skip("set CURLEWRING_LONG=1")
			}
			t.Parallel()
			b := usual()
			b.states = 2_000_000
			x.edit(&b)
			begun := time.Now()
			found, states, depth, whole := search(b, broken{})
			t.Logf("%d states to depth %d, all of them %v, in %v", states, depth, whole, time.Since(begun).Round(time.Millisecond))
			if found != "" || !whole {
				t.Errorf("after %d states:\n%s", states, found)
			}
		})
	}
}

// No order of events makes two holders act at once, or sends the resource a token that falls.
func TestSearch(t *testing.T) {
	for _, speeds := range [][3]int{{4, 4, 4}, {4, 4, 6}, {6, 4, 4}} {
		t.Run(fmt.Sprint(speeds), func(t *testing.T) {
			t.Parallel()
			b := usual()
			b.speeds = speeds
			if os.Getenv("CURLEWRING_LONG") != "" {
				b.states = 3_000_000
			}
			begun := time.Now()
			found, states, depth, whole := search(b, broken{})
			t.Logf("clocks %v quarters: %d states to depth %d, all of them %v, in %v", speeds, states, depth, whole, time.Since(begun).Round(time.Millisecond))
			if found != "" {
				t.Errorf("after %d states:\n%s", states, found)
			}
		})
	}
}

// Each defence taken out is found, on the shortest way.
func TestSearchFinds(t *testing.T) {
	for name, c := range map[string]struct {
		x      broken
		speeds [3]int
		edit   func(*bounds)
	}{
		"a new leader waits":                {x: broken{noWait: true}, edit: func(b *bounds) { b.crashes = 0 }},
		"the holder counts from before":     {x: broken{lateAsk: true}, edit: func(b *bounds) { b.crashes, b.changes = 0, 0 }},
		"clocks may differ":                 {x: broken{noDrift: true}, speeds: [3]int{4, 4, 6}, edit: func(b *bounds) { b.crashes, b.changes, b.asks, b.ttl = 0, 0, 1, 4*time.Second }},
		"a holder is a life":                {x: broken{oneLife: true}, edit: func(b *bounds) { b.changes, b.act, b.time, b.plain = 0, 0, 3, true }},
		"tokens grow":                       {x: broken{sameTok: true}, edit: func(b *bounds) { b.crashes, b.changes = 0, 0 }},
		"an end names the renewal":          {x: broken{anyEnd: true}, edit: func(b *bounds) { b.crashes, b.changes, b.act, b.time, b.plain = 0, 0, 0, 3, true }},
		"a holder stops before it releases": {x: broken{noStop: true}, edit: func(b *bounds) { b.crashes, b.changes = 0, 0 }},
		"a holder waits for its acts":       {x: broken{noWaitEnd: true}, edit: func(b *bounds) { b.crashes, b.changes = 0, 0 }},
		"the guard knows how long acts are": {x: broken{noBound: true}, edit: func(b *bounds) { b.crashes, b.changes, b.act = 0, 0, 2 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := usual()
			if c.speeds != [3]int{} {
				b.speeds = c.speeds
			}
			b.states = 900_000
			c.edit(&b)
			found, states, depth, whole := search(b, c.x)
			if found == "" {
				t.Fatalf("not found in %d states to depth %d, all of them %v", states, depth, whole)
			}
			t.Logf("found after %d states, %d steps:\n%s", states, depth, found)
		})
	}
}
