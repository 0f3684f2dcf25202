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

// Sim simulates nodes with disks and clocks of their own, some of them voters, whose lease clients compete for one
// lease, the network between the nodes, and the resource that the lease protects. The resource records every access;
// the checks use that record, not any node's opinion.
type Sim struct {
	rng            *rand.Rand
	now            time.Duration
	events         timeline.Events
	timing         lease.Timing
	nodes          []*node
	nodesByName    map[string]*node
	Accesses       []Access
	Grants         int
	voterIDs       map[uint64]bool // of all voters that there ever were
	disturbances   []*conditions   // that are present
	Violations     []string
	LeasesPerNode  int  // each node holds this many leases of its own throughout; 0: all nodes compete for one
	SendBeforeSync bool // fault to be found: a voter sends messages before its disk sync is done
	ActAfterExpiry bool // fault to be found: clients go on acting after their lease has ended
}

// Access is one access to the resource, in simulation time.
type Access struct {
	start, end time.Duration
	token      uint64
	holder     string
}

const (
	simTTL          = 2 * time.Second
	simReplaceAfter = 8 * time.Second
	simTickInterval = 100 * time.Millisecond
)

// after schedules a function after a delay of simulation time.
func (s *Sim) after(d time.Duration, do func()) { s.events.At(s.now+d, do) }

// run runs all events up to a time.
func (s *Sim) run(until time.Duration) { s.events.Run(until, &s.now) }

// node is one node: a process that can be killed or paused, and its disk.
type node struct {
	sim         *Sim
	name        string
	site        string
	epoch       int // changes at every start and kill, so that steps of an earlier process are dropped
	dead        bool
	paused      bool
	pausedUntil time.Duration // when the longest pause of the process ends
	downUntil   time.Duration // when the longest crash of the process ends
	diedAt      time.Duration // when it was last killed
	queued      []func()      // steps that arrived while the process was paused
	clockRate   float64       // seconds of the node's clock per second of simulation time
	clockOffset time.Duration

	disk     consensus.PersistentState
	userData []byte
	syncs    int
	sent     Traffic
	log      *leaselog.Node
	clients  []*leaseClient // in the order in which they were created
}

// clock returns the node's own time. It goes on while the process is paused.
func (n *node) clock() time.Duration {
	return n.clockOffset + time.Duration(float64(n.sim.now)*n.clockRate)
}

// runStep runs a step of the process now, or when the process resumes if it is paused. Steps of an ended process are
// dropped.
func (n *node) runStep(epoch int, do func()) {
	switch {
	case n.epoch != epoch || n.dead:
	case n.paused:
		if len(n.queued) < 2000 {
			n.queued = append(n.queued, func() { n.runStep(epoch, do) })
		}
	default:
		do()
	}
}

// pause suspends the process for a while, or for longer if another pause ends later. Steps that arrive meanwhile run
// when it resumes.
func (n *node) pause(duration time.Duration) {
	if n.dead {
		return
	}
	n.paused, n.pausedUntil = true, max(n.pausedUntil, n.sim.now+duration)
	epoch := n.epoch
	n.sim.after(duration, func() {
		if n.epoch != epoch || n.sim.now < n.pausedUntil {
			return
		}
		n.paused = false
		queued := n.queued
		n.queued = nil
		for _, do := range queued {
			do()
		}
	})
}

// kill ends the process. The disk keeps what was synced.
func (n *node) kill() {
	if !n.dead {
		n.dead, n.diedAt = true, n.sim.now
		n.epoch++
	}
}

// runEvery runs a step of the process periodically until the process ends. The interval is of the node's own clock.
func (n *node) runEvery(interval time.Duration, do func()) {
	epoch := n.epoch
	var loop func()
	loop = func() {
		if n.epoch != epoch || n.dead {
			return
		}
		n.runStep(epoch, do)
		n.sim.after(time.Duration(float64(interval)/n.clockRate), loop)
	}
	n.sim.after(time.Duration(n.sim.rng.Int64N(int64(interval))), loop)
}

// start starts a process with what the disk holds.
func (n *node) start() {
	n.epoch++
	n.dead, n.paused, n.pausedUntil, n.queued = false, false, 0, nil
	n.clients = nil
	n.openLog()
	n.runEvery(simTickInterval, func() {
		if n.log.Broken() != nil { // reopen it from the disk, as a real node does
			n.openLog()
		}
		n.log.SetMembers(n.clock(), n.sim.membershipView())
		n.log.Tick(n.clock())
		n.processOutput()
	})
	n.runEvery(50*time.Millisecond, n.stepClients)
}

// openLog opens the lease log with what the disk holds.
func (n *node) openLog() {
	disk := n.disk.Clone()
	settings := leaselog.Settings{
		Name: n.name, Site: n.site, Timing: n.sim.timing, ReplaceAfter: simReplaceAfter, CompactEvery: 40,
		Consensus: consensus.Settings{TickInterval: simTickInterval, KeepEntries: 8},
	}
	n.log = leaselog.New(settings, &disk, n.userData, "", n.sim.rng.Uint64(), n.clock())
}

// membershipView returns the current members. It stands in for the membership protocol, which removes a crashed node
// after 5 s.
func (s *Sim) membershipView() map[string]leaselog.Member {
	view := map[string]leaselog.Member{}
	for _, n := range s.nodes {
		if !n.dead || s.now-n.diedAt < 5*time.Second {
			view[n.name] = leaselog.Member{Site: n.site}
		}
	}
	return view
}

// processOutput saves and sends what the lease log produced. The state is on disk before messages that depend on it
// are sent.
func (n *node) processOutput() {
	if save := n.log.TakeSave(); save != nil {
		epoch, log := n.epoch, n.log
		writeDisk := func() {
			if save.NewState != nil {
				n.disk = save.NewState.Clone()
			}
			n.disk.Apply(&save.Update)
			if save.UserData != nil {
				n.userData = save.UserData
			}
			n.syncs++
		}
		wait := time.Millisecond + time.Duration(n.sim.rng.Int64N(int64(n.sim.conditions().maxSyncTime)+1))
		if n.sim.SendBeforeSync {
			n.sim.after(wait+200*time.Millisecond, func() { n.runStep(epoch, writeDisk) })
			log.Saved(n.clock())
		} else {
			n.sim.after(wait, func() {
				n.runStep(epoch, func() {
					writeDisk()
					if log == n.log {
						log.Saved(n.clock())
						n.processOutput()
					}
				})
			})
		}
	}
	outgoing, replies := n.log.TakeOutgoing()
	for i := range outgoing {
		if to := n.sim.nodesByName[outgoing[i].To]; to != nil {
			m := outgoing[i].Message
			n.countMessage(m)
			n.sim.deliver(n, to, func() {
				to.log.Receive(to.clock(), m)
				to.processOutput()
			})
		}
	}
	for i := range replies {
		n.handleReply(&replies[i])
	}
}

// deliver runs a step at the receiving node for a message, unless the network loses it; duplicates and delays apply.
func (s *Sim) deliver(from, to *node, do func()) {
	present := s.conditions()
	if s.cuts(from, to) || s.rng.Float64() < present.lossProbability {
		return
	}
	copies := 1
	if s.rng.Float64() < present.duplicateProbability {
		copies = 2
	}
	for range copies {
		wait := time.Millisecond + time.Duration(s.rng.Int64N(int64(time.Millisecond)))
		if present.maxExtraDelay > 0 && s.rng.IntN(3) == 0 {
			wait += time.Duration(s.rng.Int64N(int64(present.maxExtraDelay)))
		}
		epoch := to.epoch
		s.after(wait, func() { to.runStep(epoch, do) })
	}
}

// New starts nodes and schedules the founding of their log with the given number of voters.
func New(seed uint64, nodes, voters int) *Sim {
	s := &Sim{rng: rand.New(rand.NewPCG(seed, 99)), nodesByName: map[string]*node{}, voterIDs: map[uint64]bool{}, timing: lease.Timing{}.Default()}
	for i := range nodes {
		n := &node{
			sim: s, name: fmt.Sprint("n", i), site: fmt.Sprint("s", i%3), clockOffset: time.Duration(s.rng.Int64N(int64(1000 * time.Hour))),
			clockRate: 1 + s.timing.ClockDrift/2.1*(2*s.rng.Float64()-1),
		}
		s.nodes, s.nodesByName[n.name] = append(s.nodes, n), n
	}
	for _, n := range s.nodes {
		n.start()
	}
	s.after(500*time.Millisecond, func() {
		n := s.nodes[s.rng.IntN(nodes)]
		n.log.SetMembers(n.clock(), s.membershipView())
		if err := n.log.FoundLog(n.clock(), nil, voters, 0, func(_ leaselog.VoterSet, err error) {
			if err != nil {
				s.Violations = append(s.Violations, "founding the log: "+err.Error())
			}
		}); err != nil {
			s.Violations = append(s.Violations, "founding the log: "+err.Error())
		}
		n.processOutput()
	})
	return s
}

// voters returns the nodes that are voters according to the leader of the latest term, and that leader. Without a
// leader the latest known voter set counts, and leader is nil.
func (s *Sim) voters() (voters []*node, leader *node) {
	var latest leaselog.Status
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		if status := n.log.Status(); status.Leads && (leader == nil || status.Term > latest.Term) {
			latest, leader = status, n
		} else if leader == nil && status.Seats.Index > latest.Seats.Index {
			latest.Seats = status.Seats
		}
	}
	for _, row := range latest.Seats.Rows {
		voters = append(voters, s.nodesByName[row.Name])
		s.voterIDs[row.ID] = true
	}
	return voters, leader
}
