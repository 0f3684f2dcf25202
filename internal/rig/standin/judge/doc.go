// Package judge keeps a ledger of what callers, boxes and discovery saw, and
// finds breaches of the four rules in it. It never hears anything from a node.
//
// Times are handed in, counted from any common start, so that the same judge
// serves on sockets and in virtual time. All methods may be called from any
// goroutine; the Judge owns the ledger under one lock. It must not guess: what
// could be the machine's own delay is excused by what Lag reported, and counted.
package judge
