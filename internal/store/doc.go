// Package store keeps small tables across restarts, crashes and damaged files.
//
// All rows are in memory. Changes are appended to a journal, and from time to time all rows are
// written to a snapshot. Opening never fails: it uses whatever is intact and reports the rest.
//
// The package is pure: files are an interface, time is an argument, and nothing happens outside
// a call. A Store belongs to one goroutine. Commit and Compact wait for the disk, so that
// goroutine must not be the node's loop.
//
// The package does not know what its rows mean.
package store
