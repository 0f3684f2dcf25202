package leaselog

import (
	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// Kind is the type of a message.
type Kind uint8

// The message types.
const (
	RaftMessage      Kind = 1 + iota // Voter: from one voter to another
	SubmitCommand                    // Command: to a voter, which forwards it to the leader
	CommandAnswer                    // Answer to the request Ref, or to the holder Life
	CannotServe                      // the sender can't serve Seq of Life, or Ref; VoterSet says who might
	QueryVoters                      // requests the known voter set
	VotersKnown                      // VoterSet as the sender knows it; with StartVoter: start as one of its voters
	RequestID                        // requests a voter ID for the log Founding
	IDOffered                        // ID was drawn
	ReplacementVoter                 // ID replaces the sender's voter ID, whose disk was lost
	QueryLeases                      // Ref: requests all leases
	LeasePage                        // Leases: Page of Pages
	NoVotersKnown                    // the sender knows no voters
	QueryMaintenance                 // Ref: requests the maintenance table
	MaintenanceReply                 // MaintenanceTable of the leader, or MaintenanceAnswer to the request Ref
	kindsEnd                         // follows the last type
)

// lastKind is the last message type that this program knows.
const lastKind = kindsEnd - 1

// ForwardedCommand is a command on its way to the leader: a lease command or a maintenance command.
type ForwardedCommand struct {
	Command     lease.Command
	Maintenance *maintenance.Command // nil: Command is set
	Origin      string               // the node to reply to
	Ref         uint64               // the origin's request number, for commands without a holder
}

// Message is what nodes send each other.
type Message struct {
	Kind              Kind
	From              string // the sender's name
	Addr              string // the sender's address
	Hops              int    // how often it was forwarded
	Life              uint64
	Seq               uint64
	Ref               uint64
	Origin            string // QueryLeases, QueryMaintenance: the node to reply to
	ID                uint64
	Founding          uint64
	StartVoter        bool
	Settled           bool   // VotersKnown: the sender votes, and raft's configuration matches the voter set
	Term              uint64 // LeasePage
	Page              int    // LeasePage: counted from 0
	Pages             int
	VoterSet          *VoterSet
	Voter             *consensus.Message
	Command           *ForwardedCommand
	Answer            *lease.Answer
	Leases            []lease.Lease
	MaintenanceAnswer *maintenance.Answer
	MaintenanceTable  []byte // encoded by package maintenance
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string // a node's name
	Addr    string // the last address in the voter set, for lack of a newer one; "": unknown
	Message *Message
}
