package leases

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"curlewring/internal/fleet/consensus"
)

// trouble draws something that goes wrong; disk has it be a voter's disk, or its long absence.
func (s *Sim) trouble(disk bool) {
	v := s.peers[s.rng.IntN(len(s.peers))]
	lasts := time.Duration((0.2 + 5*s.rng.Float64()) * float64(time.Second))
	voters, leader := s.voters()
	if len(voters) > 0 && s.rng.IntN(2) == 0 {
		v = voters[s.rng.IntN(len(voters))]
	}
	if leader == nil {
		leader = v
	}
	kind := s.rng.IntN(12)
	if disk && len(voters) > 0 {
		v, kind = voters[s.rng.IntN(len(voters))], 12+s.rng.IntN(2)
	}
	switch kind {
	case 0:
		v = leader
		fallthrough
	case 1:
		s.killFor(v, lasts)
	case 2:
		leader.pause(lasts)
	case 3:
		v.pause(lasts)
	case 4:
		for _, p := range s.peers { // whoever holds
			for _, x := range p.tenants {
				if x.t.MaxActDuration(p.clock()) > 0 {
					p.pause(lasts)
				}
			}
		}
	case 5:
		for _, p := range s.peers {
			for _, x := range p.tenants {
				if x.t.MaxActDuration(p.clock()) > 0 {
					s.killFor(p, lasts)
				}
			}
		}
	case 6:
		s.loss, s.twice = 0.3*s.rng.Float64(), 0.2
		s.after(lasts, func() { s.loss, s.twice = 0, 0 })
	case 7:
		s.late = 4 * time.Second
		s.after(lasts, func() { s.late = 0 })
	case 8:
		n := s.rng.IntN(len(s.peers))
		side := func(p *peer) bool { return slices.Index(s.peers, p) < n }
		s.cut = func(from, to *peer) bool { return side(from) != side(to) }
		s.after(lasts, func() { s.cut = nil })
	case 9: // a leader that sends and does not hear, or hears and can't send
		hears := s.rng.IntN(2) == 0
		s.cut = func(from, to *peer) bool { return hears && from == leader || !hears && to == leader }
		s.after(lasts, func() { s.cut = nil })
	case 10:
		s.slow = 400 * time.Millisecond
		s.after(lasts, func() { s.slow = 2 * time.Millisecond })
	case 11:
		for _, p := range voters {
			s.killFor(p, lasts+time.Duration(s.rng.Int64N(int64(time.Second))))
		}
	case 12:
		s.loseDisk(v, lasts)
	case 13: // away for so long that its seat goes to another
		s.killFor(v, 5*time.Second+simReplaceAfter+lasts)
	}
}

// killFor kills a process and starts it again later.
func (s *Sim) killFor(p *peer, lasts time.Duration) {
	if p.dead {
		return
	}
	p.kill()
	life := p.life
	s.after(lasts, func() {
		if p.dead && p.life == life {
			p.start()
		}
	})
}

// loseDisk ends a node whose disk is gone, or goes back to what it was two starts ago.
func (s *Sim) loseDisk(p *peer, lasts time.Duration) {
	if p.dead {
		return
	}
	old, note := consensus.PersistentState{}, []byte(nil)
	if s.rng.IntN(2) == 0 {
		old, note = p.disk.Clone(), p.note
	}
	p.kill()
	back := func() { // two starts, then the old disk
		if p.dead {
			p.start()
		}
	}
	if old.ID != 0 {
		s.after(100*time.Millisecond, back)
		s.after(700*time.Millisecond, p.kill)
		s.after(800*time.Millisecond, back)
		s.after(1400*time.Millisecond, p.kill)
	}
	s.after(1500*time.Millisecond+lasts, func() {
		if p.dead {
			p.disk, p.note = old, note
			p.start()
		}
	})
}

// check goes through the resource's history.
func (s *Sim) check() {
	slices.SortStableFunc(s.Accesses, func(a, b Access) int { return int(a.from - b.from) })
	last := Access{}
	highest := uint64(0)
	for _, a := range s.Accesses {
		if a.from < last.to && a.token != last.token {
			s.Violations = append(s.Violations, fmt.Sprintf("%v: %s acts under token %d while %s acts under %d until %v", a.from, a.who, a.token, last.who, last.token, last.to))
		}
		if a.token < highest {
			s.Violations = append(s.Violations, fmt.Sprintf("%v: %s comes with token %d after %d", a.from, a.who, a.token, highest))
		}
		highest = max(highest, a.token)
		if a.to > last.to || a.token != last.token {
			last = a
		}
	}
	for i, a := range s.Accesses { // one token is one life's
		for _, b := range s.Accesses[max(0, i-200):i] {
			if a.token == b.token && a.who != b.who {
				s.Violations = append(s.Violations, fmt.Sprintf("token %d is both %s's and %s's", a.token, b.who, a.who))
				return
			}
		}
	}
}

// whole tells whether each seat has its number at its node, and all of it: one of their disks may be lost then.
func (s *Sim) whole(voters int) bool {
	before := len(s.Violations)
	s.settled(voters)
	wrong := len(s.Violations) > before
	s.Violations = s.Violations[:before]
	_, leader := s.voters()
	if wrong || leader == nil {
		return false
	}
	applied := leader.council.Status().Applied
	for _, r := range leader.council.Status().Seats.Rows {
		if st := s.byName[r.Name].council.Status(); s.byName[r.Name].dead || st.Applied+20 < applied {
			return false
		}
	}
	return true
}

// settled wants as many voters at the end as were founded, each seat's number at its node, and none elsewhere.
func (s *Sim) settled(voters int) {
	all, leader := s.voters()
	if leader == nil || len(all) != voters {
		s.Violations = append(s.Violations, fmt.Sprintf("%d voters at the end, of %d, leader %v", len(all), voters, leader != nil))
		return
	}
	seats := leader.council.Status().Seats
	for _, p := range s.peers {
		st, id := p.council.Status(), uint64(0)
		for _, r := range seats.Rows {
			if r.Name == p.name {
				id = r.ID
			}
		}
		if id != 0 && st.ID != id || id == 0 && st.ID != 0 && st.Seats.Index < seats.Index {
			s.Violations = append(s.Violations, fmt.Sprintf("%s has number %x, and its seat's is %x", p.name, st.ID, id))
		}
	}
}

// Play plays one schedule: a minute of troubles, and a while without, in which somebody must come to hold.
func Play(seed uint64, edit func(*Sim)) (*Sim, string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	voters := 3 + 2*rng.IntN(2)
	s := New(seed, voters+rng.IntN(5), voters)
	if edit != nil {
		edit(s)
	}
	s.run(8 * time.Second)
	first, _ := s.voters()
	if len(first) != voters {
		return s, fmt.Sprintf("%d of %d voters after 8 s", len(first), voters)
	}
	// Two disks that are lost within the time that it takes to replace one may be a majority's.
	disk := 9*time.Second + time.Duration(rng.Int64N(int64(20*time.Second)))
	for s.now < time.Minute {
		s.run(s.now + time.Duration(rng.ExpFloat64()*float64(2*time.Second)))
		lose := s.now >= disk && s.whole(voters)
		if lose {
			disk += 40 * time.Second
		}
		s.trouble(lose)
	}
	s.run(s.now + 7*time.Second) // the last of them is over
	s.loss, s.twice, s.late, s.cut, s.slow = 0, 0, 0, nil, 2*time.Millisecond
	for _, p := range s.peers {
		if p.dead {
			p.start()
		}
	}
	before := len(s.Accesses)
	s.run(s.now + 15*time.Second)
	s.check()
	s.settled(voters)
	if len(s.Violations) > 0 {
		return s, s.Violations[0]
	}
	if len(s.Accesses) == before {
		return s, "nobody holds 15 s after all was well"
	}
	return s, ""
}
