package membership

import "net/netip"

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	Probe          Kind = 1 + iota // answer with an Ack of the same Seq
	Ack                            // of a Probe
	Gossip                         // news alone
	Join                           // Self wants to be let in; Number is the last view it knew of
	ProbeJoiner                    // Joins[0] wants to be let in, and the receiver is to try it
	JoinerAnswered                 // Joins were tried and answer; for those who propose
	NameTaken                      // Holder has the name that Self wants
	StateRequest                   // send the view, or the proposal named by Want
	State                          // a View, or a Proposal that was pulled
	Payload                        // Body, for another user of the same sockets: none of the membership's
)

// Message is what one node tells another. Any may carry news.
type Message struct {
	Kind       Kind
	FleetID    uint64 // of the sender's view; 0: it has none
	ViewNumber uint64
	SenderLife uint64 // of the sender
	Self       *Member
	Seq        uint64

	Alerts      []Alert
	Refutations []Refutation
	Departures  []Departure
	Vote        *Vote
	Joiners     []Joiner
	NameHolder  *Member
	LowestSeed  uint32 // Join: the first of the seeds that the sender hears, from 1
	WantedHash  uint64
	View        *View
	Proposal    *Proposal
	Topic       uint32 // Carry: what Body is
	Body        []byte
}

// Alert is what a watcher says of one that it watches. The higher Seq holds.
type Alert struct {
	Subject     uint32 // place in the view
	WatcherSlot uint32 // which of the subject's watchers
	Seq         uint32
	Down        bool
}

// Alive is a member's own word that it lives, given only where it is accused.
type Refutation struct {
	Member uint32 // place in the view
	Seq    uint32
}

// Leave says that a member goes, or that it has ended: another life has its address.
type Departure struct {
	Member uint32 // place in the view
	Ended  bool
}

// Candidate is one that wants in, and which of its sponsors has tried it.
type Joiner struct {
	Member         Member
	SponsorSlot    uint32
	LastViewNumber uint64 // of the last view that it knew of
}

// Vote is the state of a decision, as far as its sender knows: in the first phase who
// promised and the latest value any of them accepted, in the second who accepted.
type Vote struct {
	ViewNumber         uint64 // number of the view that is to change
	Ballot             uint64
	Promises           BitSet
	PromisersWithValue BitSet // those of Promises who had accepted something; nil: none had
	AcceptedBallot     uint64 // ballot of the latest value accepted by those who promised; 0: none
	AcceptedValue      uint64 // that value
	Value              uint64 // what is voted on; 0: the first phase
	Forced             bool   // it had to be taken over from an earlier ballot
	Accepts            BitSet
}

// Send is a message on its way out.
type Outgoing struct {
	To      netip.AddrPort
	Message *Message
	Stream  bool // too long for a datagram
}

// EventKind says what happened.
type EventKind uint8

// The kinds of events.
const (
	ViewChanged    EventKind = 1 + iota // there is a new view
	Evicted                             // this life is not in the view; a new one begins
	NewIncarnation                      // this node has a new life; Incarnation is to be kept
	Accused                             // this node accuses Member, or takes it back
	NameConflict                        // Member has this node's name
	Stalled                             // this node stood still for so long
	Founded                             // this node founded the fleet
	Left                                // the others have let this node go
	ForeignFleet                        // another fleet of the same name was met, and holds
)

// Event is something that the node's user may want to know, with what led to it.
type Event struct {
	Kind   EventKind
	View   *View
	Member Member
	Detail string
}
