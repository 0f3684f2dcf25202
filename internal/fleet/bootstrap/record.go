// Package bootstrap decides how a starting node without a list of servers comes by one: from
// another node, or from discovery, and when it is its turn to ask that.
//
// It is pure: messages, ticks and what the node learns come in; messages and what the node
// is to do come out. A Record belongs to one goroutine. It does not know what a list says:
// a list is a generation, the discovery that told it, and how old it is.
//
// It must not open a socket, hold a lease or believe a list: it says that a lease is wanted,
// and hands a list over for what it is worth.
package bootstrap

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are what a record goes by. The zero value of each field stands for its default.
type Settings struct {
	Name        string
	PeerTimeout time.Duration // how long anybody has to answer at the start; 1 s
	MaxWait     time.Duration // how long a node waits for others that start too, at the most; 10 s
}

const (
	usualNear, usualHold = time.Second, 10 * time.Second
	contacts             = 3                      // that are asked at once
	wantEvery            = 500 * time.Millisecond // while holding
	slowCall             = time.Second            // a call to discovery that takes longer: others may be quicker
	mostWanting          = 8192                   // nodes that are to be handed a list once there is one
	wantingFor           = 3 * time.Second        // how long one's wish is remembered
	mostHanded           = 32                     // lists handed on a second
)

// List is what is known of a list without looking into it.
type List struct {
	Generation uint64
	Discovery  string        // who told it
	Age        time.Duration // since then
}

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	ListQuery Kind = 1 + iota // has somebody a list?
	Starting                  // the sender has none either, and wants one
	ListReply                 // a list, in Body
)

// Message is what one node tells another.
type Message struct {
	Kind Kind
	From string
	List List
	Body []byte // Here: as discovery writes it
}

// Out is a message on its way out. The body of a Here is the sender's to add.
type Outgoing struct {
	To   string
	Kind Kind
}

// Phase is how far a node is.
type Phase uint8

// The phases.
const (
	AskingPeers     Phase = 1 + iota // asking around
	WaitingForPeer                   // others start too: waiting for one of them
	AskingDiscovery                  // discovery is asked
	HasList                          // there is a list
)

// String is the phase for logs.
func (p Phase) String() string { return [...]string{"", "near", "holding", "asking", "having"}[p] }

// Record is one node's part.
type Bootstrapper struct {
	set     Settings
	rng     *rand.Rand
	phase   Phase
	begun   time.Duration // of the phase
	next    time.Duration // when to ask around again
	list    *heldList
	known   []string // whom to ask: seeds first, then those of the own site
	far     []string // and those of others
	wanting map[string]time.Duration
	hold    time.Duration // of this node
	handed  int           // in the present second
	second  time.Duration
	outs    []Outgoing
	asks    bool // discovery is to be asked
	take    *Message
}

// heldList is what this node can hand on.
type heldList struct {
	List
	direct bool // discovery told this node
	at     time.Duration
}

// New begins. Has tells that the node starts with a list of its own: it then only hands on.
func New(set Settings, has bool, seed uint64, now time.Duration) *Bootstrapper {
	if set.PeerTimeout <= 0 {
		set.PeerTimeout = usualNear
	}
	if set.MaxWait <= 0 {
		set.MaxWait = usualHold
	}
	r := &Bootstrapper{set: set, rng: rand.New(rand.NewPCG(seed, 0x12ec)), phase: AskingPeers, begun: now, wanting: map[string]time.Duration{}}
	// Where nobody gives out leases, nodes ask by themselves, few of them early: of 300 the first after four tenths of the
	// time, and a handful by the time that it hands its list on.
	r.hold = time.Duration(math.Pow(r.rng.Float64(), 1.0/6) * float64(set.MaxWait))
	if has {
		r.ask(now)
	}
	return r
}

// Phase is how far this node is.
func (r *Bootstrapper) Phase() Phase { return r.phase }

// Know tells whom this node could ask: those near it, and others.
func (r *Bootstrapper) SetPeers(near, far []string) { r.known, r.far = near, far }

// Wants tells whether this node wants to be the one that asks for its site.
func (r *Bootstrapper) WantsLease() bool { return r.phase == WaitingForPeer }

// Take returns what is to be done since the last call: messages, whether discovery is to be asked from now on, and a list
// that was handed to this node; nil: none.
func (r *Bootstrapper) Take() (outs []Outgoing, asks bool, list *Message) {
	outs, asks, list = r.outs, r.asks, r.take
	r.outs, r.asks, r.take = nil, false, nil
	return outs, asks, list
}

func (r *Bootstrapper) move(now time.Duration, p Phase) { r.phase, r.begun, r.next = p, now, now }

// ask has discovery asked, once.
func (r *Bootstrapper) ask(now time.Duration) {
	if r.phase < AskingDiscovery {
		r.asks = true
		r.move(now, AskingDiscovery)
		r.next = now + slowCall
	}
}

// Tick does what is due.
func (r *Bootstrapper) Tick(now time.Duration) {
	switch r.phase {
	case AskingPeers:
		if now-r.begun >= r.set.PeerTimeout { // nobody is there, or nobody has one
			r.ask(now)
		}
	case WaitingForPeer:
		if now-r.begun >= r.hold {
			r.ask(now)
		}
	}
	if r.phase < HasList && r.list == nil && now >= r.next {
		r.next = now + wantEvery
		r.around()
	}
}

// around asks some whom this node knows: at first those that stand first, later any.
func (r *Bootstrapper) around() {
	n := min(contacts, len(r.known))
	if r.phase == AskingPeers {
		for _, name := range r.known[:n] {
			r.send(name, ListQuery)
		}
		return
	}
	for range n {
		r.send(r.known[r.rng.IntN(len(r.known))], ListQuery)
	}
	if len(r.far) > 0 { // a site of which nobody can ask discovery is told by another
		r.send(r.far[r.rng.IntN(len(r.far))], ListQuery)
	}
}

func (r *Bootstrapper) send(to string, k Kind) {
	if to != r.set.Name && !slices.Contains(r.outs, Outgoing{to, k}) {
		r.outs = append(r.outs, Outgoing{to, k})
	}
}

// Held tells that this node has the lease of its site: it asks for all.
func (r *Bootstrapper) LeaseAcquired(now time.Duration) {
	if r.phase == WaitingForPeer {
		r.ask(now)
	}
}

// Told tells that discovery has told this node a list.
func (r *Bootstrapper) DiscoveryAnswered(now time.Duration, generation uint64, discovery string) {
	r.have(now, heldList{List{Generation: generation, Discovery: discovery}, true, now})
}

// Lost tells that what was handed on could not be used.
func (r *Bootstrapper) ListUnusable(now time.Duration) {
	if r.list != nil && !r.list.direct {
		r.list = nil
		r.move(now, AskingPeers)
		r.ask(now)
	}
}

func (r *Bootstrapper) have(now time.Duration, l heldList) {
	first := r.list == nil
	r.list = &l
	if r.phase != HasList {
		r.move(now, HasList)
	}
	if !first {
		return
	}
	for name, at := range r.wanting {
		if now-at <= wantingFor && r.may(now) {
			r.send(name, ListReply)
		}
	}
	clear(r.wanting)
}

// may bounds how many lists are handed on.
func (r *Bootstrapper) may(now time.Duration) bool {
	if now-r.second >= time.Second {
		r.second, r.handed = now, 0
	}
	r.handed++
	return r.handed <= mostHanded
}

// List is what this node can hand on now; false if it has none.
func (r *Bootstrapper) List(now time.Duration) (List, bool) {
	if r.list == nil {
		return List{}, false
	}
	l := r.list.List
	l.Age += now - r.list.at
	return l, true
}

// Receive takes a message of another node.
func (r *Bootstrapper) Receive(now time.Duration, m *Message) {
	switch m.Kind {
	case ListQuery:
		switch {
		case r.list != nil:
			if r.may(now) {
				r.send(m.From, ListReply)
			}
		case r.phase < HasList:
			if len(r.wanting) >= mostWanting {
				clear(r.wanting)
			}
			r.wanting[m.From] = now
			r.send(m.From, Starting)
		}
	case Starting:
		if r.phase == AskingPeers {
			r.move(now, WaitingForPeer)
			r.next = now + wantEvery
		}
	case ListReply:
		if r.list != nil || m.List.Age < 0 {
			return // what it has, or discovery's own word, goes before
		}
		r.take = m
		first := r.phase < AskingDiscovery
		r.have(now, heldList{m.List, false, now})
		r.asks = r.asks || first // when its turn comes, for what has changed since
	}
}
