// Package idleconns says which clients' connections may stay while nothing is asked on
// them: for how long, by class and source network, and which go first where
// descriptors or memory run short.
//
// It is pure: events and time come in, numbers of connections go out. A Table
// belongs to one goroutine; Rules are never written to once they are made. It keeps
// 24 bytes for each connection's number and looks at a few of them an event,
// however many there are.
//
// It must not close anything, and it does not know requests: whether one is taken in
// is package decide's.
package idleconns
