// Package idleconns decides which idle client connections to keep: for how long, by
// request class and source network, and which to close first when file descriptors or
// memory run short.
//
// It is pure: events and times come in, connection numbers go out. A Table must be used
// by one goroutine; Rules are immutable once compiled. A Table takes 28 bytes for each
// connection number and does a bounded amount of work for each event, however many
// connections there are.
//
// It closes nothing itself and knows nothing of requests beyond their class: whether a
// request is admitted is decided by package decide.
package idleconns
