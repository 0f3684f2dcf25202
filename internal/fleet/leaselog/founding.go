package leaselog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// The steps of a founding, each with its bound.
const (
	askFor    = 1500 * time.Millisecond // whether somebody knows of voters
	drawFor   = 10 * time.Second
	beginFor  = 10 * time.Second
	foundStep = 300 * time.Millisecond
	mostAsked = 1024 // members that one step asks, besides those chosen; the next steps ask the others
)

// founding is one that was begun at this node.
type founding struct {
	id       uint64
	names    []string
	tokens   uint64
	step     int    // 0: asking, 1: numbers are drawn, 2: they begin
	reached  string // the member up to which, by name, each has been asked in this round
	rounds   int    // of asking all members, that are over
	since    time.Duration
	next     time.Duration
	unseated map[string]bool
	drawn    map[string]uint64
	begun    map[string]bool
	other    *VoterSet // somebody knows of voters already
	seats    VoterSet
	done     func(VoterSet, error)
}

// heard takes an answer to the asking, or to the word to begin.
func (f *founding) heard(m *Message) {
	switch {
	case f.step == 2 && m.VoterSet.Founding == f.id:
		f.begun[m.From] = true
	case f.step < 2:
		s := m.VoterSet.clone()
		f.other = &s
	}
}

// Found founds the fleet's log: n voters, chosen by rule, or those named; its tokens begin above one. It must be done once
// for a fleet, and finds out if it was. Done is called with who votes then. An error that comes at once means that nothing
// was begun.
func (c *Node) FoundLog(now time.Duration, names []string, n int, tokens uint64, done func(VoterSet, error)) error {
	c.now = max(c.now, now)
	switch {
	case c.founding != nil:
		return Error("a founding is under way at this node")
	case !c.inView:
		return Error("this node is in no view of the members")
	case len(names) == 0:
		if n < MinVoters || n > MaxVoters || n%2 == 0 {
			return fmt.Errorf("%d voters: want an odd number from %d to %d", n, MinVoters, MaxVoters)
		}
		names = choose(c.members, nil, n)
		if len(names) < n {
			return fmt.Errorf("%d voters are wanted, and %d members are there", n, len(names))
		}
	}
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	if len(names) > MaxVoters || len(names)%2 == 0 {
		return fmt.Errorf("%d voters: want an odd number from %d to %d", len(names), MinVoters, MaxVoters)
	}
	for _, name := range names {
		if _, in := c.members[name]; !in {
			return fmt.Errorf("%q is no member of the present view", name)
		}
	}
	c.founding = &founding{
		id: c.rng.Uint64() | 1, names: names, tokens: tokens, since: c.now, done: done,
		unseated: map[string]bool{}, drawn: map[string]uint64{}, begun: map[string]bool{},
	}
	c.found()
	c.settle()
	return nil
}

// ended tells the founder.
func (c *Node) ended(err error) {
	f := c.founding
	c.founding = nil
	f.done(f.seats.clone(), err)
}

// found does the next step of a founding that was begun here.
func (c *Node) found() {
	f := c.founding
	if f == nil || c.now < f.next {
		return
	}
	f.next = c.now + foundStep
	if f.other == nil && c.note.Seats.Founding != 0 && c.note.Seats.Founding != f.id {
		s := c.note.Seats.clone()
		f.other = &s
	}
	if f.other != nil && f.step < 2 { // that one may have ended half way: it is brought to its end
		for _, r := range f.other.Rows {
			s := f.other.clone()
			c.send(r.Name, &Message{Kind: VotersKnown, VoterSet: &s, StartVoter: true})
		}
		f.seats = *f.other
		c.ended(fmt.Errorf("there are voters already: %s", f.other.names()))
		return
	}
	lasted := c.now - f.since
	switch f.step {
	case 0:
		c.foundAsk(f, lasted)
	case 1:
		c.foundDraw(f, lasted)
	case 2:
		c.foundBegin(f, lasted)
	}
}

// advance begins the next step.
func (f *founding) advance(now time.Duration) { f.step, f.since, f.next = f.step+1, now, now }

// foundAsk asks the members whether they know of voters: a part of them in a step, and the chosen ones in each. It is over
// once all have answered, or all were asked, some time has passed, and those chosen have answered.
func (c *Node) foundAsk(f *founding, lasted time.Duration) {
	silent := slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return n == c.set.Name || f.unseated[n] })
	waiting := c.unanswered(f)
	for _, name := range c.nextAsked(f, waiting, silent) {
		c.send(name, &Message{Kind: QueryVoters, Founding: f.id})
	}
	switch {
	case len(waiting)+len(silent) == 0 || f.rounds > 0 && lasted >= askFor && len(silent) == 0:
		f.advance(c.now)
	case lasted >= drawFor:
		c.ended(fmt.Errorf("no answer from %s", strings.Join(silent, ", ")))
	}
}

// unanswered are the other members that have not said that they know of no voters, by name.
func (c *Node) unanswered(f *founding) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(c.members)), func(n string) bool { return n == c.set.Name || f.unseated[n] })
}

// nextAsked are those whom a step asks: the next of the members that have not answered, and the chosen ones of them.
func (c *Node) nextAsked(f *founding, waiting, chosen []string) []string {
	from, found := slices.BinarySearch(waiting, f.reached)
	if found {
		from++
	}
	next := waiting[from:min(len(waiting), from+mostAsked)]
	if from+len(next) == len(waiting) {
		f.reached, f.rounds = "", f.rounds+1
	} else {
		f.reached = next[len(next)-1]
	}
	next = append(slices.Clone(next), chosen...)
	slices.Sort(next)
	return slices.Compact(next)
}

// foundDraw has all that were chosen draw their numbers.
func (c *Node) foundDraw(f *founding, lasted time.Duration) {
	var silent []string
	for _, name := range f.names {
		if f.drawn[name] == 0 {
			silent = append(silent, name)
			c.send(name, &Message{Kind: RequestID, Founding: f.id})
		}
	}
	switch {
	case len(silent) == 0:
		f.seats = VoterSet{Founding: f.id, Index: 1, Tokens: f.tokens}
		for _, name := range f.names {
			f.seats.Rows = append(f.seats.Rows, VoterInfo{ID: f.drawn[name], Name: name, Site: c.members[name].Site, Addr: c.members[name].Addr})
		}
		f.advance(c.now)
	case lasted >= drawFor:
		c.ended(fmt.Errorf("no number was drawn by %s; nothing is founded", strings.Join(silent, ", ")))
	}
}

// foundBegin tells all of them the whole list.
func (c *Node) foundBegin(f *founding, lasted time.Duration) {
	var silent []string
	for _, name := range f.names {
		if !f.begun[name] {
			silent = append(silent, name)
			s := f.seats.clone()
			c.send(name, &Message{Kind: VotersKnown, VoterSet: &s, StartVoter: true, Founding: f.id})
		}
	}
	switch {
	case len(silent) == 0:
		c.ended(nil)
	case lasted >= beginFor:
		c.ended(fmt.Errorf("%s have not said that they began; asking once more goes on from here", strings.Join(silent, ", ")))
	}
}

// names is who they are.
func (s *VoterSet) names() string {
	var all []string
	for _, r := range s.Rows {
		all = append(all, cmp.Or(r.Name, "?"))
	}
	return strings.Join(all, ", ")
}

// emptyState is the state of a log that nothing was agreed on in.
func emptyState(s *VoterSet) []byte {
	empty := lease.NewStateMachine().Snapshot()
	empty.Tokens = s.Tokens
	return appendState(nil, s, &empty, maintenance.NewTable())
}
