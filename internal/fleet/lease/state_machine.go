package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Lease is one lease as the machine has it.
type Lease struct {
	Name    string
	Holder  Holder // Life 0: nobody holds it
	Token   uint64
	TTL     time.Duration
	Serial  uint64 // raised by the grant and by each renewal
	Seq     uint64 // of the holder's request that it rests on
	Waiters []Waiter
}

// Waiter is one in line.
type Waiter struct {
	Holder Holder
	TTL    time.Duration
	Serial uint64 // raised each time it asks again
	Seq    uint64
}

// session is what a life was last told.
type session struct {
	Holder Holder
	Seq    uint64
	Answer Answer
	lastUsed   uint64 // the command that used it last: the longest unused goes first
}

// Machine is the replicated state.
type StateMachine struct {
	lastToken   uint64 // the last that was given out
	lastSerial  uint64
	applied  uint64 // commands
	leases   map[string]*Lease
	sessions map[Holder]*session
	grants   []Grant
}

// NewMachine returns an empty one.
func NewStateMachine() *StateMachine {
	return &StateMachine{leases: map[string]*Lease{}, sessions: map[Holder]*session{}}
}

// Apply applies a command. The grants are leases that went to waiters by it, good until the next call. A request
// that came before, and was lost on its way back, is answered as it was then; an older one is refused.
func (m *StateMachine) Apply(c *Command) (Answer, []Grant) {
	m.grants = m.grants[:0]
	m.applied++
	if c.Check() != nil {
		return Answer{Outcome: Refused, Lease: c.Lease}, nil
	}
	switch c.Op {
	case Expire, ExpireWaiter, ForceRelease:
		return m.applyLeaderCommand(c), m.grants
	}
	s, known := m.sessions[c.Holder]
	switch {
	case known && c.Seq == s.Seq:
		s.lastUsed = m.applied
		return s.Answer, nil
	case known && c.Seq < s.Seq:
		return Answer{Outcome: Refused, Lease: c.Lease, Seq: c.Seq}, nil
	case !known:
		s = &session{Holder: c.Holder}
		if !m.ensureSessionCapacity() {
			return Answer{Outcome: LimitReached, Lease: c.Lease, Seq: c.Seq}, nil
		}
		m.sessions[c.Holder] = s
	}
	a := m.applyRequest(c)
	s.Seq, s.Answer, s.lastUsed = c.Seq, a, m.applied
	return a, m.grants
}

// request does what a life asks for.
func (m *StateMachine) applyRequest(c *Command) Answer {
	refused := Answer{Outcome: Refused, Lease: c.Lease, Seq: c.Seq}
	l := m.leases[c.Lease]
	if c.Op == Acquire {
		return m.acquire(c, l)
	}
	if l == nil {
		return refused
	}
	if c.Op == LeaveQueue {
		at := l.waiterIndex(c.Holder)
		if at < 0 {
			return refused
		}
		l.Waiters = slices.Delete(l.Waiters, at, at+1)
		m.deleteIfUnused(l)
		return Answer{Outcome: Freed, Lease: c.Lease, Seq: c.Seq}
	}
	if l.Holder != c.Holder || l.Token != c.Token {
		return refused
	}
	switch c.Op {
	case Renew:
		return m.renew(c, l)
	case Release:
		m.passOn(l)
		return Answer{Outcome: Freed, Lease: c.Lease, Token: c.Token, Seq: c.Seq}
	case Transfer:
		at := l.waiterIndex(c.To)
		if at < 0 {
			return refused
		}
		w := l.Waiters[at]
		l.Waiters = slices.Delete(l.Waiters, at, at+1)
		m.grant(l, w)
		return Answer{Outcome: Freed, Lease: c.Lease, Token: c.Token, Seq: c.Seq}
	}
	return refused
}

func (m *StateMachine) acquire(c *Command, l *Lease) Answer {
	if l == nil {
		if len(m.leases) >= MaxLeases {
			return Answer{Outcome: LimitReached, Lease: c.Lease, Seq: c.Seq}
		}
		l = &Lease{Name: c.Lease}
		m.leases[c.Lease] = l
	}
	if l.Holder == c.Holder {
		l.TTL = c.TTL
		return m.renew(c, l)
	}
	m.lastSerial++
	w := Waiter{Holder: c.Holder, TTL: c.TTL, Serial: m.lastSerial, Seq: c.Seq}
	if l.Holder.Life == 0 { // and nobody waits: a lease that is free goes to the first at once
		m.grant(l, w)
		m.grants = m.grants[:0] // the answer says it
		return l.answer()
	}
	at := l.waiterIndex(c.Holder)
	switch {
	case at >= 0:
		l.Waiters[at] = w
	case len(l.Waiters) >= MaxWaiters:
		return Answer{Outcome: LimitReached, Lease: c.Lease, Seq: c.Seq}
	default:
		at = len(l.Waiters)
		l.Waiters = append(l.Waiters, w)
	}
	return Answer{Outcome: Waiting, Lease: c.Lease, Place: at + 1, Seq: c.Seq}
}

func (m *StateMachine) renew(c *Command, l *Lease) Answer {
	m.lastSerial++
	l.Serial, l.Seq = m.lastSerial, c.Seq
	return l.answer()
}

// leader does what the leader's clock or an operator says.
func (m *StateMachine) applyLeaderCommand(c *Command) Answer {
	void := Answer{Outcome: Superseded, Lease: c.Lease}
	l := m.leases[c.Lease]
	switch {
	case l == nil:
		return void
	case c.Op == ForceRelease:
		if l.Holder.Life == 0 || l.Token != c.Token {
			return void // it is another's by now: a word that comes twice takes it away once
		}
	case c.Op == Expire:
		if l.Holder != c.Holder || l.Serial != c.Serial {
			return void // it was renewed, or is another's by now
		}
	case c.Op == ExpireWaiter:
		at := l.waiterIndex(c.Holder)
		if at < 0 || l.Waiters[at].Serial != c.Serial {
			return void
		}
		l.Waiters = slices.Delete(l.Waiters, at, at+1)
		return Answer{Outcome: Freed, Lease: c.Lease}
	}
	token := l.Token
	m.passOn(l)
	return Answer{Outcome: Freed, Lease: c.Lease, Token: token}
}

// free takes a lease from its holder and gives it to the first in line.
func (m *StateMachine) passOn(l *Lease) {
	l.Holder = Holder{}
	if len(l.Waiters) > 0 {
		w := l.Waiters[0]
		l.Waiters = slices.Delete(l.Waiters, 0, 1)
		m.grant(l, w)
		return
	}
	m.deleteIfUnused(l)
}

// tidy forgets a lease that nobody holds or waits for. Its token is not forgotten: the count is one for all.
func (m *StateMachine) deleteIfUnused(l *Lease) {
	if l.Holder.Life == 0 && len(l.Waiters) == 0 {
		delete(m.leases, l.Name)
	}
}

// grant gives a lease to one, under a new token.
func (m *StateMachine) grant(l *Lease, w Waiter) {
	m.lastToken++
	m.lastSerial++
	l.Holder, l.Token, l.TTL, l.Serial, l.Seq = w.Holder, m.lastToken, w.TTL, m.lastSerial, w.Seq
	m.grants = append(m.grants, Grant{w.Holder, l.answer()})
}

func (l *Lease) answer() Answer {
	return Answer{Outcome: Granted, Lease: l.Name, Token: l.Token, TTL: l.TTL, Seq: l.Seq}
}

func (l *Lease) waiterIndex(h Holder) int {
	return slices.IndexFunc(l.Waiters, func(w Waiter) bool { return w.Holder == h })
}

// room makes room for a session: of lives that hold nothing and wait for nothing the one that was used longest ago goes.
// What it asks for again afterwards is done anew, which for such a life harms nobody: an old Acquire of it can at most
// take a place in line, and a Renew or Release finds nothing that it holds.
func (m *StateMachine) ensureSessionCapacity() bool {
	if len(m.sessions) < MaxSessions {
		return true
	}
	busy := map[Holder]bool{}
	for _, l := range m.leases {
		busy[l.Holder] = true
		for i := range l.Waiters {
			busy[l.Waiters[i].Holder] = true
		}
	}
	var oldest *session
	for h, s := range m.sessions {
		if !busy[h] && (oldest == nil || s.lastUsed < oldest.lastUsed) { // no two were used by one command
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.sessions, oldest.Holder)
	return true
}

// Leases are all leases, by name; copies.
func (m *StateMachine) Leases() []Lease {
	all := make([]Lease, 0, len(m.leases))
	for _, l := range m.leases {
		x := *l
		x.Waiters = slices.Clone(l.Waiters)
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b Lease) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Len is how many leases there are.
func (m *StateMachine) Len() int { return len(m.leases) }

// Lease is one of them; false if nobody holds it or waits for it.
func (m *StateMachine) Lease(name string) (Lease, bool) {
	l := m.leases[name]
	if l == nil {
		return Lease{}, false
	}
	x := *l
	x.Waiters = slices.Clone(l.Waiters)
	return x, true
}

// Snapshot is the whole state, in an order that depends on nothing else.
type Snapshot struct {
	Tokens, Serials, Applied uint64
	Leases                   []Lease
	Sessions                 []Session
}

// Session is what a life was last told.
type Session struct {
	Holder Holder
	Seq    uint64
	Used   uint64
	Answer Answer
}

// Snapshot copies the state.
func (m *StateMachine) Snapshot() Snapshot {
	s := Snapshot{Tokens: m.lastToken, Serials: m.lastSerial, Applied: m.applied, Leases: m.Leases()}
	for _, x := range m.sessions {
		s.Sessions = append(s.Sessions, Session{x.Holder, x.Seq, x.lastUsed, x.Answer})
	}
	slices.SortFunc(s.Sessions, func(a, b Session) int {
		return cmp.Or(strings.Compare(a.Holder.Name, b.Holder.Name), cmp.Compare(a.Holder.Incarnation, b.Holder.Incarnation), cmp.Compare(a.Holder.Life, b.Holder.Life))
	})
	return s
}

// Restore makes a machine of a snapshot.
func Restore(s Snapshot) *StateMachine {
	m := NewStateMachine()
	m.lastToken, m.lastSerial, m.applied = s.Tokens, s.Serials, s.Applied
	for i := range s.Leases {
		l := s.Leases[i]
		l.Waiters = slices.Clone(l.Waiters)
		m.leases[l.Name] = &l
	}
	for _, x := range s.Sessions {
		m.sessions[x.Holder] = &session{x.Holder, x.Seq, x.Answer, x.Used}
	}
	return m
}
