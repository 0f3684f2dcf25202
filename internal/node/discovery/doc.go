// Package discovery asks discovery for the list of servers, and reads what it says.
//
// Its goroutines, RunWatch and RunFetches, own the calls and nothing else; what comes
// of them is reported to the node's loop, which owns the list.
//
// It must not decide when to ask again after a failure, nor what a list means: that
// is package decide's.
package discovery
