// Package persist saves a node's server list to disk and restores it at the next start.
//
// The goroutine in Run owns the store and the database on it, and is the only one that waits
// for the disk. It writes when the scheduler grants it a step, so that writing is background
// work like any other; a sync that takes seconds delays neither the loop nor other jobs.
// Updates from the loop wait in a table that holds the newest one for each server, so their
// number is bounded.
//
// The package doesn't decide which updates are worth saving (package serverdb) or how far
// a restored list can be trusted (package stalelist).
package persist
