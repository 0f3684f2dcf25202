// Package leaselog is one node's part in the fleet's leases: it may have a seat among the
// voters or none, and asks on behalf of its tenants either way.
//
// A Council ties package agree (the log), package lease (the replicated machine and the
// leader's clock) and the seats (who votes) together. Messages, ticks, views of the
// members and requests come in; messages, answers, and what must be on disk first come
// out. It is pure and belongs to one goroutine.
//
// Order is what it is for: nothing that rests on what is not saved yet leaves it. A disk
// that does not end its write keeps it silent, and says so to those who ask.
//
// It must not open a socket, write a file or read a clock, and does not act under leases.
//
// Sources: Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4 (changes of voters),
// 6 (clients); Burrows, "The Chubby lock service", 2006 (cells, sessions through any replica).
package leaselog
