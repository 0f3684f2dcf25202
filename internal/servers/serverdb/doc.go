// Package serverdb is what a node knows of its tier's servers over its restarts: the rows
// of package store that tell of servers and of the list, and what they mean.
//
// A Memory owns its store, and belongs to one goroutine, which is not the loop's. What the
// loop has seen comes as Notes, the newest of each server; time comes in, wall time where
// it must outlast the process. Times of a clock that cannot be right give no age, and
// tombstones go by number alone.
//
// It must not decide whether a server may be sent to: that is doubt's and the module's.
package serverdb
