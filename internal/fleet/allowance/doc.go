// Package allowance pools the send budgets that the nodes of a fleet have for cold servers.
//
// Each node's decide.Balancer has a share, called a part, of a cold server's budget. A Lender
// lends the part for a limited time to an Allocator at one of the members, and receives grants of
// whole sends in return. An Allocator never grants more sends per window of a server than the
// parts lent to it add up to. At any time a part is either with its node or with one allocator,
// never with both. This alone preserves the total during partitions and pauses; it does not
// depend on an agreed view of the fleet.
//
// A Lender belongs to the goroutine that owns the node's Balancer, an Allocator to the one
// that owns the membership. Both are pure: messages and times are inputs, messages and grants for
// the Balancer are outputs. Times are readings of a monotonic clock, and times of two
// nodes are never compared.
//
// The package must not choose servers or admit requests, and needs no agreement on which nodes
// are alive.
//
// Sources: Barbara, Garcia-Molina, "The Demarcation Protocol", 1992, and O'Neil, "The Escrow
// Transactional Method", 1986 (a bound on a sum kept by its parts); Thaler, Ravishankar,
// "A Name-Based Mapping Scheme for Rendezvous", 1996 (the choice of an allocator).
package allowance
