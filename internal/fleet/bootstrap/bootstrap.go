// Package bootstrap decides where a node that starts without a list of servers gets one: from another node or from
// discovery, and when it may call discovery itself, so that a fleet that starts at once does not overload discovery.
//
// It is pure: messages, ticks and events come in; messages and actions for the node come out. A Bootstrapper belongs
// to one goroutine. It does not know the contents of a list: to it a list is a generation, the discovery instance
// that it comes from, and its age.
//
// The package opens no socket, holds no lease and validates no list: it says when a lease is wanted, and passes
// received lists on for the node to check.
package bootstrap

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings configure a Bootstrapper. The zero value of a field stands for its default.
type Settings struct {
	Name        string
	PeerTimeout time.Duration // how long peers have to answer before discovery is called; default 1 s
	MaxWait     time.Duration // longest wait for other starting nodes; default 10 s
}

const (
	defaultPeerTimeout, defaultMaxWait = time.Second, 10 * time.Second
	peersPerQuery                      = 3                      // near peers queried at once
	queryInterval                      = 500 * time.Millisecond // between queries to peers
	slowDiscoveryCall                  = time.Second            // a longer call: peers may answer sooner
	maxPendingQueries                  = 8192                   // nodes remembered to be sent a list once there is one
	pendingQueryLifetime               = 3 * time.Second        // how long a query is remembered
	maxRepliesPerSecond                = 32                     // lists sent to peers per second
)

// List describes a list without its contents.
type List struct {
	Generation uint64
	Discovery  string        // the discovery instance that it comes from
	Age        time.Duration // time since discovery returned it
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	ListQuery Kind = 1 + iota // requests a list
	Starting                  // reply of a node that is starting too and has no list
	ListReply                 // a list, in Body
)

// Message is a message between nodes.
type Message struct {
	Kind Kind
	From string
	List List
	Body []byte // ListReply: the list as discovery returned it
}

// Outgoing is a message to send. The caller adds the body of a ListReply.
type Outgoing struct {
	To   string
	Kind Kind
}

// Phase is the state of a bootstrapping node.
type Phase uint8

// The phases.
const (
	AskingPeers     Phase = 1 + iota // queries peers
	WaitingForPeer                   // other nodes are starting too: waits for one of them to get a list
	AskingDiscovery                  // calls discovery
	HasList                          // has a list
)

// String returns the phase as shown in logs.
func (p Phase) String() string { return [...]string{"", "near", "holding", "asking", "having"}[p] }

// Bootstrapper decides for one node.
type Bootstrapper struct {
	settings          Settings
	rng               *rand.Rand
	phase             Phase
	phaseStart        time.Duration // when the phase began
	nextQuery         time.Duration // when to query peers next
	list              *knownList
	nearPeers         []string                 // the seeds at first, then the peers of this site
	farPeers          []string                 // peers of other sites
	pendingQueries    map[string]time.Duration // time of the last query, by sender
	maxWait           time.Duration            // in WaitingForPeer, drawn at random below Settings.MaxWait
	repliesThisSecond int                      // replies since secondStart
	secondStart       time.Duration
	outgoing          []Outgoing
	discoveryDue      bool     // the node is to call discovery
	receivedList      *Message // a peer's list, for the next Take
}

// knownList is the list that this node can send to peers.
type knownList struct {
	List
	fromDiscovery bool // received from discovery, not from a peer
	receivedAt    time.Duration
}

// New returns a Bootstrapper that begins now. With hasList the node starts with a list of its own and calls discovery
// at once.
func New(settings Settings, hasList bool, seed uint64, now time.Duration) *Bootstrapper {
	if settings.PeerTimeout <= 0 {
		settings.PeerTimeout = defaultPeerTimeout
	}
	if settings.MaxWait <= 0 {
		settings.MaxWait = defaultMaxWait
	}
	b := &Bootstrapper{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x12ec)), phase: AskingPeers, phaseStart: now, pendingQueries: map[string]time.Duration{}}
	// Without leases, each node calls discovery after a random wait, and few waits are short: of 300 nodes the first
	// calls after about four tenths of MaxWait, and only a handful before it has a list to send to the others.
	b.maxWait = time.Duration(math.Pow(b.rng.Float64(), 1.0/6) * float64(settings.MaxWait))
	if hasList {
		b.startDiscovery(now)
	}
	return b
}

// Phase returns the node's phase.
func (b *Bootstrapper) Phase() Phase { return b.phase }

// SetPeers sets the nodes to query: the near ones, and far ones of other sites.
func (b *Bootstrapper) SetPeers(near, far []string) { b.nearPeers, b.farPeers = near, far }

// WantsLease reports whether this node should acquire its site's lease to call discovery.
func (b *Bootstrapper) WantsLease() bool { return b.phase == WaitingForPeer }

// TakeOutput returns and clears what is to be done since the last call: messages to send, whether to start calling
// discovery, and a list received from a peer, nil if there is none.
func (b *Bootstrapper) TakeOutput() (outgoing []Outgoing, callDiscovery bool, list *Message) {
	outgoing, callDiscovery, list = b.outgoing, b.discoveryDue, b.receivedList
	b.outgoing, b.discoveryDue, b.receivedList = nil, false, nil
	return outgoing, callDiscovery, list
}

// enterPhase enters a phase; the next query to peers is due at once.
func (b *Bootstrapper) enterPhase(now time.Duration, p Phase) {
	b.phase, b.phaseStart, b.nextQuery = p, now, now
}

// startDiscovery makes the node call discovery, unless it does so already.
func (b *Bootstrapper) startDiscovery(now time.Duration) {
	if b.phase < AskingDiscovery {
		b.discoveryDue = true
		b.enterPhase(now, AskingDiscovery)
		b.nextQuery = now + slowDiscoveryCall
	}
}

// Tick starts what is due: a call to discovery, or queries to peers.
func (b *Bootstrapper) Tick(now time.Duration) {
	switch b.phase {
	case AskingPeers:
		if now-b.phaseStart >= b.settings.PeerTimeout { // no peer has answered with a list
			b.startDiscovery(now)
		}
	case WaitingForPeer:
		if now-b.phaseStart >= b.maxWait {
			b.startDiscovery(now)
		}
	}
	if b.phase < HasList && b.list == nil && now >= b.nextQuery {
		b.nextQuery = now + queryInterval
		b.queryPeers()
	}
}

// queryPeers sends queries to some peers: in AskingPeers to the first near ones, later to random ones, near and far.
func (b *Bootstrapper) queryPeers() {
	n := min(peersPerQuery, len(b.nearPeers))
	if b.phase == AskingPeers {
		for _, name := range b.nearPeers[:n] {
			b.queueMessage(name, ListQuery)
		}
		return
	}
	for range n {
		b.queueMessage(b.nearPeers[b.rng.IntN(len(b.nearPeers))], ListQuery)
	}
	if len(b.farPeers) > 0 { // a site that can't reach discovery gets its list from another site
		b.queueMessage(b.farPeers[b.rng.IntN(len(b.farPeers))], ListQuery)
	}
}

// queueMessage adds a message to send, unless it is to this node itself or queued already.
func (b *Bootstrapper) queueMessage(to string, k Kind) {
	if to != b.settings.Name && !slices.Contains(b.outgoing, Outgoing{to, k}) {
		b.outgoing = append(b.outgoing, Outgoing{to, k})
	}
}

// LeaseAcquired records that this node holds its site's lease: it calls discovery for the site.
func (b *Bootstrapper) LeaseAcquired(now time.Duration) {
	if b.phase == WaitingForPeer {
		b.startDiscovery(now)
	}
}

// DiscoveryAnswered records that discovery has returned a list to this node.
func (b *Bootstrapper) DiscoveryAnswered(now time.Duration, generation uint64, discovery string) {
	b.setList(now, knownList{List{Generation: generation, Discovery: discovery}, true, now})
}

// ListUnusable records that the list from a peer could not be used: it is dropped, and discovery is called.
func (b *Bootstrapper) ListUnusable(now time.Duration) {
	if b.list != nil && !b.list.fromDiscovery {
		b.list = nil
		b.enterPhase(now, AskingPeers)
		b.startDiscovery(now)
	}
}

// setList stores the list; with the first one it replies to the pending queries.
func (b *Bootstrapper) setList(now time.Duration, l knownList) {
	first := b.list == nil
	b.list = &l
	if b.phase != HasList {
		b.enterPhase(now, HasList)
	}
	if !first {
		return
	}
	for name, askedAt := range b.pendingQueries {
		if now-askedAt <= pendingQueryLifetime && b.allowReply(now) {
			b.queueMessage(name, ListReply)
		}
	}
	clear(b.pendingQueries)
}

// allowReply counts a reply with a list and reports whether it is within the limit per second.
func (b *Bootstrapper) allowReply(now time.Duration) bool {
	if now-b.secondStart >= time.Second {
		b.secondStart, b.repliesThisSecond = now, 0
	}
	b.repliesThisSecond++
	return b.repliesThisSecond <= maxRepliesPerSecond
}

// List returns the list that this node can send to peers, with its present age; false if it has none.
func (b *Bootstrapper) List(now time.Duration) (List, bool) {
	if b.list == nil {
		return List{}, false
	}
	l := b.list.List
	l.Age += now - b.list.receivedAt
	return l, true
}

// Receive processes a message from another node.
func (b *Bootstrapper) Receive(now time.Duration, m *Message) {
	switch m.Kind {
	case ListQuery:
		switch {
		case b.list != nil:
			if b.allowReply(now) {
				b.queueMessage(m.From, ListReply)
			}
		case b.phase < HasList:
			if len(b.pendingQueries) >= maxPendingQueries {
				clear(b.pendingQueries)
			}
			b.pendingQueries[m.From] = now
			b.queueMessage(m.From, Starting)
		}
	case Starting:
		if b.phase == AskingPeers {
			b.enterPhase(now, WaitingForPeer)
			b.nextQuery = now + queryInterval
		}
	case ListReply:
		if b.list != nil || m.List.Age < 0 {
			return // a known list takes precedence; a negative age is invalid
		}
		b.receivedList = m
		first := b.phase < AskingDiscovery
		b.setList(now, knownList{m.List, false, now})
		b.discoveryDue = b.discoveryDue || first // the node calls discovery in its turn for later changes
	}
}
