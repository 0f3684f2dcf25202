// Package front serves a node's clients: it accepts connections, reads requests, passes complete
// requests to a Handler, and writes the responses that the node supplies later.
//
// The goroutine of Server.Run owns all connections. A connection is a table row and a descriptor.
// Between two requests it is parked: it has no goroutine and no buffer, and takes about eighty
// bytes including its timer and its entry in package idleconns. A Transport reports which sockets
// are ready: epoll on Linux, one goroutine per connection elsewhere, and an in-memory transport in
// tests.
//
// The package doesn't decide whether a request is admitted (package decide does), which idle
// connection is closed first (package idleconns does), or when background work runs (package
// background does).
package front
