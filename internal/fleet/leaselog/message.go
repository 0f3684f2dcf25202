package leaselog

import (
	"curlewring/internal/fleet/consensus"
	"curlewring/internal/fleet/lease"
	"curlewring/internal/fleet/maintenance"
)

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	RaftMessage      Kind = 1 + iota // Voter: between voters
	SubmitCommand                    // Item: to a voter, which passes it to the leader
	CommandAnswer                    // Answer, of the request Ref or of the life Life
	CannotServe                      // the sender can't help with the request Seq of the life Life, or with Ref; Seats says who might
	QueryVoters                      // who votes?
	VotersKnown                      // Seats, as the sender knows them; with Begin: start as a voter from them
	RequestID                        // draw a number for the log Founding
	IDOffered                        // ID is drawn
	ReplacementVoter                 // ID is the number of the sender, whose seat's disk is lost
	QueryLeases                      // Ref: which leases are there?
	LeasePage                        // Leases, Page of Pages
	NoVotersKnown                    // the sender knows of nobody who votes
	QueryMaintenance                 // Ref: how do the machines out for work stand?
	MaintenanceReply                 // Table, as the leader has it; or Work, the answer to the request Ref
)

// Item is a command on its way to the leader: one of a lease, or of the machines out for work.
type ForwardedCommand struct {
	Command     lease.Command
	Maintenance *maintenance.Command // nil: Command is meant
	Origin      string               // the node that is to be answered
	Ref         uint64               // of the origin's, for what is no holder's
}

// Message is what one node tells another.
type Message struct {
	Kind              Kind
	From              string // the sender's name
	Addr              string // where it is
	Hops              int    // how often it was passed on
	Life              uint64
	Seq               uint64
	Ref               uint64
	Origin            string // List: who is to be answered
	ID                uint64
	Founding          uint64
	StartVoter        bool
	Settled           bool   // Seated: the sender votes, and those who vote are those who have the seats
	Term              uint64 // Listed
	Page              int    // Listed, from 0
	Pages             int
	VoterSet          *VoterSet
	Voter             *consensus.Message
	Command           *ForwardedCommand
	Answer            *lease.Answer
	Leases            []lease.Lease
	MaintenanceAnswer *maintenance.Answer
	MaintenanceTable  []byte // of package maintenance
}

// Out is a message on its way out.
type Outgoing struct {
	To      string // a node's name
	Addr    string // where it was, for those who know nothing newer; "": not known
	Message *Message
}
