// Package serverdb persists what a node knows of the servers of its tier, so that a restarted node can serve before
// discovery answers. It defines the rows for servers and for the list as a whole in package store, and what they
// mean.
//
// A DB owns its store. It belongs to one goroutine, which must not be the event loop. The event loop passes in
// Observations, the newest of each server. Times are passed in too, as wall time where they must outlast the process.
// A timestamp from a wrong clock yields no age, and tombstones are ordered by sequence number only.
//
// The package doesn't decide whether a request may be sent to a server; that is up to the packages stalelist and
// decide.
package serverdb
