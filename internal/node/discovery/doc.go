// Package discovery is the client of the discovery service: it fetches the list of servers and
// parses it.
//
// Its goroutines, RunWatch and RunFetches, own the calls to the service and nothing else. Results
// are reported to the node's loop, which owns the list.
//
// The package doesn't decide when to call again after a failure or what a list means; package
// decide does.
package discovery
