package leases

import (
	"fmt"
	"math/rand/v2"
	"time"

	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/leaselog"
	"curlewring/internal/rig/timeline"
)

// Sim plays nodes with disks and clocks of their own, some of them voters, tenants on them that all want one lease, a network
// that loses, doubles, holds up and cuts, and a resource that keeps its own history and hears nobody's opinion.
type Sim struct {
	rng            *rand.Rand
	now            time.Duration
	events         timeline.Events
	terms          lease.Timing
	peers          []*peer
	byName         map[string]*peer
	Accesses       []Access
	Grants         int
	numbers        map[uint64]bool // that ever voted
	loss           float64
	twice          float64
	late           time.Duration
	cut            func(from, to *peer) bool
	slow           time.Duration // a sync takes up to so long
	Violations     []string
	OwnLeases      int  // each node holds so many leases of its own for good, in the place of all contending for one; 0: they contend
	SendBeforeSync bool // what a voter sends does not wait for its disk: a defence taken out
	ActAfterExpiry bool // tenants act on after the end of their lease: another one
}

// Act is one act at the resource, in true time.
type Access struct {
	from, to time.Duration
	token    uint64
	who      string
}

const (
	simTTL          = 2 * time.Second
	simReplaceAfter = 8 * time.Second
	simRound        = 100 * time.Millisecond
)

func (s *Sim) after(d time.Duration, do func()) { s.events.At(s.now+d, do) }

func (s *Sim) run(until time.Duration) { s.events.Run(until, &s.now) }

// peer is one node: a process that may be killed or stand still, and its disk.
type peer struct {
	s     *Sim
	name  string
	site  string
	life  int // counts the process's lives
	dead  bool
	still bool
	since time.Duration // of the death
	queue []func()
	skew  float64
	base  time.Duration

	disk    consensus.PersistentState
	note    []byte
	syncs   int
	sent    Traffic
	council *leaselog.Node
	tenants map[uint64]*tenant
}

// clock is the node's own, which goes on while it stands still.
func (p *peer) clock() time.Duration { return p.base + time.Duration(float64(p.s.now)*p.skew) }

// on does something in a life of the process, now or when it goes on.
func (p *peer) on(life int, do func()) {
	switch {
	case p.life != life || p.dead:
	case p.still:
		if len(p.queue) < 2000 {
			p.queue = append(p.queue, func() { p.on(life, do) })
		}
	default:
		do()
	}
}

func (p *peer) pause(d time.Duration) {
	if p.still || p.dead {
		return
	}
	p.still = true
	life := p.life
	p.s.after(d, func() {
		if p.life != life {
			return
		}
		p.still = false
		queue := p.queue
		p.queue = nil
		for _, do := range queue {
			do()
		}
	})
}

func (p *peer) kill() {
	if !p.dead {
		p.dead, p.since = true, p.s.now
		p.life++
	}
}

// every does something again and again in this life, so often by its own clock.
func (p *peer) every(d time.Duration, do func()) {
	life := p.life
	var loop func()
	loop = func() {
		if p.life != life || p.dead {
			return
		}
		p.on(life, do)
		p.s.after(time.Duration(float64(d)/p.skew), loop)
	}
	p.s.after(time.Duration(p.s.rng.Int64N(int64(d))), loop)
}

func (p *peer) start() {
	p.life++
	p.dead, p.still, p.queue = false, false, nil
	p.tenants = map[uint64]*tenant{}
	p.open()
	p.every(simRound, func() {
		if p.council.Broken() != nil { // as a node does: from the disk again
			p.open()
		}
		p.council.SetMembers(p.clock(), p.s.view())
		p.council.Tick(p.clock())
		p.carry()
	})
	p.every(50*time.Millisecond, p.act)
}

// open makes a council of the disk.
func (p *peer) open() {
	disk := p.disk.Clone()
	set := leaselog.Settings{
		Name: p.name, Site: p.site, Timing: p.s.terms, ReplaceAfter: simReplaceAfter, CompactEvery: 40,
		Consensus: consensus.Settings{TickInterval: simRound, KeepEntries: 8},
	}
	p.council = leaselog.New(set, &disk, p.note, "", p.s.rng.Uint64(), p.clock())
}

// view is who the members are by agreement: a stand-in for the membership, which finds the dead after a while.
func (s *Sim) view() map[string]leaselog.Member {
	view := map[string]leaselog.Member{}
	for _, p := range s.peers {
		if !p.dead || s.now-p.since < 5*time.Second {
			view[p.name] = leaselog.Member{Site: p.site}
		}
	}
	return view
}

// carry does what the council wants done: the disk first, then what rests on it.
func (p *peer) carry() {
	if s := p.council.TakeSave(); s != nil {
		life, c := p.life, p.council
		put := func() {
			if s.NewState != nil {
				p.disk = s.NewState.Clone()
			}
			p.disk.Apply(&s.Update)
			if s.UserData != nil {
				p.note = s.UserData
			}
			p.syncs++
		}
		wait := time.Millisecond + time.Duration(p.s.rng.Int64N(int64(p.s.slow)+1))
		if p.s.SendBeforeSync {
			p.s.after(wait+200*time.Millisecond, func() { p.on(life, put) })
			c.Saved(p.clock())
		} else {
			p.s.after(wait, func() {
				p.on(life, func() {
					put()
					if c == p.council {
						c.Saved(p.clock())
						p.carry()
					}
				})
			})
		}
	}
	outs, told := p.council.TakeOutgoing()
	for i := range outs {
		if to := p.s.byName[outs[i].To]; to != nil {
			m := outs[i].Message
			p.count(m)
			p.s.carry(p, to, func() {
				to.council.Receive(to.clock(), m)
				to.carry()
			})
		}
	}
	for i := range told {
		p.told(&told[i])
	}
}

func (s *Sim) carry(from, to *peer, do func()) {
	if s.cut != nil && s.cut(from, to) || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.Float64() < s.twice {
		copies = 2
	}
	for range copies {
		wait := time.Millisecond + time.Duration(s.rng.Int64N(int64(time.Millisecond)))
		if s.late > 0 && s.rng.IntN(3) == 0 {
			wait += time.Duration(s.rng.Int64N(int64(s.late)))
		}
		life := to.life
		s.after(wait, func() { to.on(life, do) })
	}
}

// New starts nodes, and founds their log with so many voters.
func New(seed uint64, nodes, voters int) *Sim {
	s := &Sim{rng: rand.New(rand.NewPCG(seed, 99)), byName: map[string]*peer{}, numbers: map[uint64]bool{}, terms: lease.Timing{}.Default(), slow: 2 * time.Millisecond}
	for i := range nodes {
		p := &peer{
			s: s, name: fmt.Sprint("n", i), site: fmt.Sprint("s", i%3), base: time.Duration(s.rng.Int64N(int64(1000 * time.Hour))),
			skew: 1 + s.terms.ClockDrift/2.1*(2*s.rng.Float64()-1),
		}
		s.peers, s.byName[p.name] = append(s.peers, p), p
	}
	for _, p := range s.peers {
		p.start()
	}
	s.after(500*time.Millisecond, func() {
		p := s.peers[s.rng.IntN(nodes)]
		p.council.SetMembers(p.clock(), s.view())
		if err := p.council.FoundLog(p.clock(), nil, voters, 0, func(_ leaselog.VoterSet, err error) {
			if err != nil {
				s.Violations = append(s.Violations, "founding: "+err.Error())
			}
		}); err != nil {
			s.Violations = append(s.Violations, "founding: "+err.Error())
		}
		p.carry()
	})
	return s
}

// voters are the peers that have seats, as the one who leads knows, and who that is; nil if nobody does.
func (s *Sim) voters() (all []*peer, leader *peer) {
	var best leaselog.Status
	for _, p := range s.peers {
		if p.dead {
			continue
		}
		if st := p.council.Status(); st.Leads && (leader == nil || st.Term > best.Term) {
			best, leader = st, p
		} else if leader == nil && st.Seats.Index > best.Seats.Index {
			best.Seats = st.Seats
		}
	}
	for _, r := range best.Seats.Rows {
		all = append(all, s.byName[r.Name])
		s.numbers[r.ID] = true
	}
	return all, leader
}
