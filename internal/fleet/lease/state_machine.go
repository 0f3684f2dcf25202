package lease

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Lease is the state of one lease.
type Lease struct {
	Name    string
	Holder  Holder // Life 0: the lease is free
	Token   uint64
	TTL     time.Duration
	Serial  uint64 // set anew by the grant and by each renewal
	Seq     uint64 // of the holder's request that the grant or renewal answers
	Waiters []Waiter
}

// Waiter is one entry of a lease's queue.
type Waiter struct {
	Holder Holder
	TTL    time.Duration
	Serial uint64 // set anew each time the waiter repeats its Acquire
	Seq    uint64
}

// session is the last answer to one holder, kept to answer a repeated request alike.
type session struct {
	Holder   Holder
	Seq      uint64
	Answer   Answer
	lastUsed uint64 // number of the command that used it last; the least recently used is evicted first
}

// StateMachine is the replicated state of all leases.
type StateMachine struct {
	lastToken  uint64 // the last fencing token granted
	lastSerial uint64
	applied    uint64 // number of commands applied
	leases     map[string]*Lease
	sessions   map[Holder]*session
	grants     []Grant
}

// NewStateMachine returns an empty state machine.
func NewStateMachine() *StateMachine {
	return &StateMachine{leases: map[string]*Lease{}, sessions: map[Holder]*session{}}
}

// Apply applies a command. The returned grants are leases that passed to waiters; the slice is valid until the next
// call. A holder's latest request that arrives again, because its answer was lost, gets the same answer; an older one
// is refused.
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

// applyRequest applies a holder's request.
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
		i := l.waiterIndex(c.Holder)
		if i < 0 {
			return refused
		}
		l.Waiters = slices.Delete(l.Waiters, i, i+1)
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
		i := l.waiterIndex(c.To)
		if i < 0 {
			return refused
		}
		w := l.Waiters[i]
		l.Waiters = slices.Delete(l.Waiters, i, i+1)
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
	if l.Holder.Life == 0 { // a free lease has no waiters, so it is granted at once
		m.grant(l, w)
		m.grants = m.grants[:0] // the answer already reports this grant
		return l.answer()
	}
	i := l.waiterIndex(c.Holder)
	switch {
	case i >= 0:
		l.Waiters[i] = w
	case len(l.Waiters) >= MaxWaiters:
		return Answer{Outcome: LimitReached, Lease: c.Lease, Seq: c.Seq}
	default:
		i = len(l.Waiters)
		l.Waiters = append(l.Waiters, w)
	}
	return Answer{Outcome: Waiting, Lease: c.Lease, Place: i + 1, Seq: c.Seq}
}

func (m *StateMachine) renew(c *Command, l *Lease) Answer {
	m.lastSerial++
	l.Serial, l.Seq = m.lastSerial, c.Seq
	return l.answer()
}

// applyLeaderCommand applies an expiry that the leader proposed or an operator's forced release.
func (m *StateMachine) applyLeaderCommand(c *Command) Answer {
	superseded := Answer{Outcome: Superseded, Lease: c.Lease}
	l := m.leases[c.Lease]
	switch {
	case l == nil:
		return superseded
	case c.Op == ForceRelease:
		if l.Holder.Life == 0 || l.Token != c.Token {
			return superseded // the holder has changed: a repeated command takes the lease away only once
		}
	case c.Op == Expire:
		if l.Holder != c.Holder || l.Serial != c.Serial {
			return superseded // renewed, or held by another by now
		}
	case c.Op == ExpireWaiter:
		i := l.waiterIndex(c.Holder)
		if i < 0 || l.Waiters[i].Serial != c.Serial {
			return superseded
		}
		l.Waiters = slices.Delete(l.Waiters, i, i+1)
		return Answer{Outcome: Freed, Lease: c.Lease}
	}
	token := l.Token
	m.passOn(l)
	return Answer{Outcome: Freed, Lease: c.Lease, Token: token}
}

// passOn takes a lease from its holder and grants it to the first waiter, if there is one.
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

// deleteIfUnused deletes a lease without holder and waiters. Tokens still never repeat: all leases share one counter.
func (m *StateMachine) deleteIfUnused(l *Lease) {
	if l.Holder.Life == 0 && len(l.Waiters) == 0 {
		delete(m.leases, l.Name)
	}
}

// grant gives a lease to a waiter, under a new token.
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

// ensureSessionCapacity reports whether another session can be added. In a full table it evicts the least recently
// used session among holders that hold nothing and wait for nothing. A repeated request of an evicted holder is
// applied again, which does no harm: an old Acquire can at most join a queue, and a Renew or Release finds nothing
// that the holder holds.
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
		if !busy[h] && (oldest == nil || s.lastUsed < oldest.lastUsed) { // unique: each command uses one session
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.sessions, oldest.Holder)
	return true
}

// Leases returns copies of all leases, sorted by name.
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

// Len returns the number of leases.
func (m *StateMachine) Len() int { return len(m.leases) }

// Lease returns a copy of the named lease; false if it has neither holder nor waiters.
func (m *StateMachine) Lease(name string) (Lease, bool) {
	l := m.leases[name]
	if l == nil {
		return Lease{}, false
	}
	x := *l
	x.Waiters = slices.Clone(l.Waiters)
	return x, true
}

// Snapshot is the whole state in a canonical order.
type Snapshot struct {
	Tokens, Serials, Applied uint64
	Leases                   []Lease
	Sessions                 []Session
}

// Session is the last answer to one holder.
type Session struct {
	Holder Holder
	Seq    uint64
	Used   uint64
	Answer Answer
}

// Snapshot returns a copy of the state.
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

// Restore returns a state machine with the state of a snapshot.
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
