// Package registry is a model of a service registry that all nodes of a fleet ask: one server that works through
// calls in the order in which they come, at a fixed capacity, and fails those that have waited too long.
//
// The package is pure: the caller brings the time, and plays the answers when the model says that they are due. It
// holds no lists and knows no versions: what is asked for is a number of lines.
package registry
