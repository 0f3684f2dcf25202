// Package leaselog is one node's part of the replicated log of leases. A node may be one of the voters or not; in
// both cases it sends commands on behalf of its local clients.
//
// A Node combines package consensus (the log), package lease (the replicated state machine and the leader's expiry
// tracker), package maintenance (the table of machines under maintenance) and the voter set (which nodes vote).
// Its inputs are messages, ticks, membership views and requests. Its outputs are messages, replies and state that
// must be saved first. It is pure and is used by one goroutine.
//
// It enforces the order of effects: nothing that depends on unsaved state is sent. While a disk write hangs, the
// voter stays silent, and requests are answered with CannotServe.
//
// It must not open a socket, write a file or read a clock, and it does not act on the leases that it records.
//
// Sources: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4 (cluster membership changes),
// chapter 6 (client interaction); Burrows, "The Chubby lock service for loosely-coupled distributed systems", 2006
// (cells, sessions through any replica).
package leaselog
