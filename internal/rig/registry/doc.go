// Package registry models a service registry that all nodes of a fleet call: a single server that handles
// calls in order of arrival at a fixed capacity, and fails those that wait too long.
//
// The package does no I/O and reads no clock: its user passes in the time and delivers the answers when the
// model says they are due. It holds no lists and no versions; an answer is a number of lines.
package registry
