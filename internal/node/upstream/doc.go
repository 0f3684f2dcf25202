// Package upstream makes attempts at servers, that is, it sends requests to them.
//
// It keeps connections to the servers, each of which carries one request at a time, and reports how
// each attempt ended, in particular whether the request may have run. The lock of Pool guards the
// idle connections; a connection in use belongs to its attempt. The node's loop owns each Target
// and sets its Closed flag.
//
// The package neither chooses a server nor retries (package decide does). Pool.CloseExpired is
// background work, which the worker schedules.
package upstream
