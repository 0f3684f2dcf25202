package membership

import "net/netip"

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	Probe          Kind = 1 + iota // request for an Ack with the same Seq
	Ack                            // answer to a Probe
	Gossip                         // only the fields that any message may carry
	Join                           // Self asks to be admitted; ViewNumber is the last view it knew
	ProbeJoiner                    // asks the receiver to probe Joiners[0], which wants to join
	JoinerAnswered                 // tells the proposers that Joiners answered probes
	NameTaken                      // NameHolder has the name that the receiver wants
	StateRequest                   // asks for the view, or for the proposal with the hash WantedHash
	State                          // answer to a StateRequest: a View or a Proposal
	Payload                        // Body belongs to another user of the same sockets; ignored by this package
)

// Message is a message between two nodes. Any kind may carry alerts, refutations, departures and
// a vote.
type Message struct {
	Kind       Kind
	FleetID    uint64 // fleet of the sender's view; 0 if it has no view
	ViewNumber uint64
	SenderLife uint64
	Self       *Member
	Seq        uint64

	Alerts      []Alert
	Refutations []Refutation
	Departures  []Departure
	Vote        *Vote
	Joiners     []Joiner
	NameHolder  *Member
	LowestSeed  uint32 // Join: position of the first founder that the sender has contact with, from 1
	WantedHash  uint64
	View        *View
	Proposal    *Proposal
	Topic       uint32 // Payload: type of Body
	Body        []byte
}

// Alert is a watcher's statement about a member that it watches: an accusation if Down is set,
// otherwise the withdrawal of one. The alert with the highest Seq is valid.
type Alert struct {
	Subject     uint32 // index in the view
	WatcherSlot uint32 // position among the subject's watchers
	Seq         uint32
	Down        bool
}

// Refutation is a member's own statement that it is alive, sent only while it is accused.
type Refutation struct {
	Member uint32 // index in the view
	Seq    uint32
}

// Departure states that a member is leaving, or that it has ended because another life uses its
// address.
type Departure struct {
	Member uint32 // index in the view
	Ended  bool
}

// Joiner is a node that wants to join, together with the sponsor that probes it.
type Joiner struct {
	Member         Member
	SponsorSlot    uint32
	LastViewNumber uint64 // number of the last view that it knew
}

// Vote is the state of a Paxos ballot as its sender knows it: in the first phase who promised and
// the latest value that any of them had accepted, in the second phase who accepted.
type Vote struct {
	ViewNumber         uint64 // view that the ballot is to change
	Ballot             uint64
	Promises           BitSet
	PromisersWithValue BitSet // members of Promises that had accepted a value; nil if none had
	AcceptedBallot     uint64 // highest ballot in which a member of Promises accepted a value; 0 if none
	AcceptedValue      uint64 // the value accepted in AcceptedBallot
	Value              uint64 // hash of the proposal voted on; 0 in the first phase
	Forced             bool   // Value was taken over from an earlier ballot
	Accepts            BitSet
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      netip.AddrPort
	Message *Message
	Stream  bool // may be too long for a datagram
}

// EventKind is the type of an event.
type EventKind uint8

// The kinds of events.
const (
	ViewChanged    EventKind = 1 + iota // a new view is in effect
	Evicted                             // this life is not in the view; a new life begins
	NewIncarnation                      // this node has a new life; the caller must persist Incarnation
	Accused                             // this node accuses Member or withdraws the accusation
	NameConflict                        // Member already has this node's name
	Stalled                             // this process was paused; Detail is the duration
	Founded                             // this node founded the fleet
	Left                                // this node has left the fleet
	ForeignFleet                        // this node gave up its view for that of another fleet of the same name
)

// Event reports a state change to the node's user. Detail explains its cause.
type Event struct {
	Kind   EventKind
	View   *View
	Member Member
	Detail string
}
