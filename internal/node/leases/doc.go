// Package leases connects package leaselog to a disk, to the members' sockets and to a unix
// socket for operators' requests.
//
// The goroutine in Run owns the leaselog.Node and the lease clients of this node. A second one
// owns the disk; Run never waits for it. Operators' connections have goroutines of their own,
// which pass requests to Run over a channel and receive events over bounded ones. Times are
// those of clock.Boot, which keeps running while the process is paused.
//
// The package does not decide who votes, or who holds a lease and when: packages leaselog and
// lease do.
package leases
